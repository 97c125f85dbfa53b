//! Datagrams between the controllers of a cluster.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// Longest datagram to a peer.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Addresses of the peers.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// Each peer's address, indexed by controller number.
    pub addresses: Vec<SocketAddr>,
    /// The address that reaches all peers at once.
    pub broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Sends without blocking, to one peer or (`None`) to all. A datagram that cannot be sent now is dropped.
    pub fn send(&self, socket: &UdpSocket, to: Option<u16>, data: &[u8]) -> bool {
        let to = match to {
            Some(no) => self.addresses.get(usize::from(no)).copied(),
            None => self.broadcast,
        };
        data.len() <= MAX_DATAGRAM_BYTES && to.is_some_and(|to| socket.try_send_to(data, to).is_ok())
    }

    /// The number of the peer at this address.
    pub fn number_of(&self, from: SocketAddr) -> Option<u16> {
        self.addresses.iter().position(|peer| *peer == from).and_then(|at| u16::try_from(at).ok())
    }
}
