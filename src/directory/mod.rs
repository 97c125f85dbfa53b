//! Directories: the sources of the list of call servers.

pub mod bulletin;
pub mod dns_sd;
mod response_timeout;
