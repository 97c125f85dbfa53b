//! The call servers' wires.

pub mod sip;

use std::net::SocketAddr;

use crate::core::{Input, WirePart};
use crate::interface::Time;

/// What follows from something a call server's wire was told: for the core, for the sockets, for the deadlines.
#[derive(Debug, Default)]
pub struct Todo {
    /// For the core, in order.
    pub inputs: Vec<Input>,
    /// Connections to be made: their numbers and where to.
    pub links: Vec<(u64, SocketAddr)>,
    /// Deadlines to be set.
    pub dues: Vec<(Time, WirePart, u64)>,
}
