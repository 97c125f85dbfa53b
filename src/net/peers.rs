//! Datagrams between the controllers of a tier.

use std::net::SocketAddr;

use tokio::net::UdpSocket;

/// The longest datagram that may be sent to a peer.
pub const LONGEST: usize = 256;

/// Where the peers are.
#[derive(Debug, Clone, Default)]
pub struct Peers {
    /// By number.
    pub each: Vec<SocketAddr>,
    /// All of them at once.
    pub all: Option<SocketAddr>,
}

impl Peers {
    /// Sends without waiting; what cannot be sent now is lost, as any datagram may be.
    pub fn tell(&self, socket: &UdpSocket, to: Option<u16>, data: &[u8]) -> bool {
        let to = match to {
            Some(no) => self.each.get(usize::from(no)).copied(),
            None => self.all,
        };
        data.len() <= LONGEST && to.is_some_and(|to| socket.try_send_to(data, to).is_ok())
    }

    /// The number of the peer at this address.
    pub fn number_of(&self, from: SocketAddr) -> Option<u16> {
        self.each.iter().position(|peer| *peer == from).and_then(|at| u16::try_from(at).ok())
    }
}
