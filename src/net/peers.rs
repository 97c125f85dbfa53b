//! Datagrams between the controllers of a tier.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// The longest datagram that may be sent to a peer.
pub const MAX_DATAGRAM_BYTES: usize = 256;

/// Where the peers are.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// By number.
    pub addresses: Vec<SocketAddr>,
    /// All of them at once.
    pub broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Sends without waiting; what cannot be sent now is lost, as any datagram may be.
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
