//! The call servers' wires.

pub mod iax2;
pub mod sip;

use std::net::SocketAddr;

use crate::core::{DeadlineOwner, Input};
use crate::iax2::legs::Outgoing;
use crate::interface::Time;

/// What follows from something a wire was told: for the core, for the sockets, for the deadlines.
#[derive(Debug, Default)]
pub struct AdapterOutput {
    /// For the core, in order.
    pub inputs: Vec<Input>,
    /// Connections to be made: their numbers and where to.
    pub connects: Vec<(u64, SocketAddr)>,
    /// Datagrams to IAX2 callers.
    pub to_callers: Vec<Outgoing>,
    /// Datagrams to IAX2 call servers.
    pub to_servers: Vec<Outgoing>,
    /// Deadlines to be set.
    pub deadlines: Vec<(Time, DeadlineOwner, u64)>,
}
