//! The simulated IAX2 callers and call servers of the laboratory.

pub use lockpoint_lab::iax2::{IaxCaller, IaxServer};
pub use lockpoint_lab::resolver::{Resolver, SERVICE};
