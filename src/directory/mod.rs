//! Who the call servers are.

pub mod bulletin;
