//! Who the call servers are.

pub mod bulletin;
pub mod dns_sd;
