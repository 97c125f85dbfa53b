//! Protocol adapters towards call servers.

pub mod iax2;
pub mod sip;

use std::net::SocketAddr;

use crate::core::{DeadlineOwner, Input};
use crate::iax2::legs::Outgoing;
use crate::interface::Time;

/// What a protocol adapter asks for after an event: inputs for the core, messages for the sockets, deadlines.
#[derive(Debug, Default)]
pub struct AdapterOutput {
    /// For the core, in order.
    pub inputs: Vec<Input>,
    /// Connections to open: their numbers and addresses.
    pub connects: Vec<(u64, SocketAddr)>,
    /// Datagrams to IAX2 callers.
    pub to_callers: Vec<Outgoing>,
    /// Datagrams to IAX2 call servers.
    pub to_servers: Vec<Outgoing>,
    /// Deadlines to set: time, owner and the owner's key.
    pub deadlines: Vec<(Time, DeadlineOwner, u64)>,
}
