//! The links between real controllers and the simulated fleet: each pair of a real controller and another member has a
//! separate socket, so that the real controller identifies the sender by its address.

use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use super::simulation::RemoteDatagram;
use crate::fleet::mesh::{unique_loopback_address, MAX_DATAGRAM_BYTES};
use crate::under_test::LabError;

/// The sockets of one real controller.
struct RealEnd {
    /// The address that the controller listens on.
    listens_at: SocketAddr,
    /// By member, the socket to which the controller sends for that member; `None` for itself.
    relay_sockets: Vec<Option<Rc<UdpSocket>>>,
}

/// All links of the real controllers, which have the last numbers of the fleet.
pub struct RealLinks {
    first_real: u16,
    ends: Vec<RealEnd>,
    /// Datagrams sent by the real controllers.
    pub received: mpsc::UnboundedReceiver<RemoteDatagram>,
}

async fn bind(at: Ipv4Addr) -> Result<UdpSocket, LabError> {
    let bound = UdpSocket::bind(SocketAddr::from((at, 0))).await;
    bound.map_err(|why| LabError::Socket { what: "a link".to_owned(), why })
}

fn address_of(socket: &UdpSocket) -> Result<SocketAddr, LabError> {
    socket.local_addr().map_err(|why| LabError::Socket { what: "a link".to_owned(), why })
}

impl RealLinks {
    /// Links for `real` controllers, the last of `controllers`.
    pub async fn new(controllers: u16, real: u16) -> Result<RealLinks, LabError> {
        let first_real = controllers - real;
        let own_address = unique_loopback_address();
        let (sender, received) = mpsc::unbounded_channel();
        let (mut ends, mut reserved) = (Vec::new(), Vec::new());
        for me in first_real..controllers {
            // Held until all are chosen, so that each port is distinct.
            let own = bind(own_address).await?;
            let listens_at = address_of(&own)?;
            reserved.push(own);
            let mut relay_sockets = Vec::new();
            for other in 0..controllers {
                let relay_socket =
                    if other == me { None } else { Some(Rc::new(bind(Ipv4Addr::LOCALHOST).await?)) };
                if let Some(relay_socket) = &relay_socket {
                    spawn_local(listen(relay_socket.clone(), listens_at, me, other, sender.clone()));
                }
                relay_sockets.push(relay_socket);
            }
            ends.push(RealEnd { listens_at, relay_sockets });
        }
        drop(reserved);
        Ok(RealLinks { first_real, ends, received })
    }

    /// The address that a real controller listens on.
    pub fn listens_at(&self, me: u16) -> SocketAddr {
        self.ends[usize::from(me - self.first_real)].listens_at
    }

    /// The addresses at which a real controller reaches all members, itself included.
    pub fn peers_of(&self, me: u16) -> Vec<SocketAddr> {
        let end = &self.ends[usize::from(me - self.first_real)];
        let relay_sockets = end.relay_sockets.iter();
        let address = |relay_socket: &Option<Rc<UdpSocket>>| {
            relay_socket.as_ref().and_then(|relay_socket| relay_socket.local_addr().ok())
        };
        relay_sockets.map(|relay_socket| address(relay_socket).unwrap_or(end.listens_at)).collect()
    }

    /// Delivers a datagram to a real controller.
    pub fn deliver(&self, datagram: &RemoteDatagram) {
        let end = &self.ends[usize::from(datagram.to - self.first_real)];
        if let Some(relay_socket) = &end.relay_sockets[usize::from(datagram.from)] {
            // A datagram that cannot be sent now is lost, as any datagram may be.
            let _ = relay_socket.try_send_to(&datagram.bytes, end.listens_at);
        }
    }
}

/// Forwards the datagrams that the real controller `me` sends to `other`.
async fn listen(
    relay_socket: Rc<UdpSocket>,
    listens_at: SocketAddr,
    me: u16,
    other: u16,
    out: mpsc::UnboundedSender<RemoteDatagram>,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // A controller that has ended causes a socket error here; later datagrams are not affected by it.
        let Ok((length, sender)) = relay_socket.recv_from(&mut bytes).await else { continue };
        if sender != listens_at {
            continue;
        }
        if out.send(RemoteDatagram { from: me, to: other, bytes: bytes[..length].into() }).is_err() {
            return;
        }
    }
}
