//! The links between real controllers and the simulated fleet: for each pair of a real one and any other member a socket
//! of its own, so that the real one knows by the address who speaks.

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
    /// Where it listens.
    listens_at: SocketAddr,
    /// By member, where it sends to reach that one; `None` at its own place.
    seats: Vec<Option<Rc<UdpSocket>>>,
}

/// All links of the real controllers, which have the last numbers of the fleet.
pub struct RealLinks {
    first_real: u16,
    ends: Vec<RealEnd>,
    /// What the real controllers have sent.
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
        let (mut ends, mut held) = (Vec::new(), Vec::new());
        for me in first_real..controllers {
            // Held until all are chosen, so that no two are alike.
            let own = bind(own_address).await?;
            let listens_at = address_of(&own)?;
            held.push(own);
            let mut seats = Vec::new();
            for other in 0..controllers {
                let seat = if other == me { None } else { Some(Rc::new(bind(Ipv4Addr::LOCALHOST).await?)) };
                if let Some(seat) = &seat {
                    spawn_local(listen(seat.clone(), listens_at, me, other, sender.clone()));
                }
                seats.push(seat);
            }
            ends.push(RealEnd { listens_at, seats });
        }
        drop(held);
        Ok(RealLinks { first_real, ends, received })
    }

    /// Where a real controller listens.
    pub fn listens_at(&self, me: u16) -> SocketAddr {
        self.ends[usize::from(me - self.first_real)].listens_at
    }

    /// All members as a real controller reaches them, itself included.
    pub fn peers_of(&self, me: u16) -> Vec<SocketAddr> {
        let end = &self.ends[usize::from(me - self.first_real)];
        let seats = end.seats.iter();
        let address = |seat: &Option<Rc<UdpSocket>>| seat.as_ref().and_then(|seat| seat.local_addr().ok());
        seats.map(|seat| address(seat).unwrap_or(end.listens_at)).collect()
    }

    /// Hands a datagram to the real controller that it is for.
    pub fn hand_over(&self, datagram: &RemoteDatagram) {
        let end = &self.ends[usize::from(datagram.to - self.first_real)];
        if let Some(seat) = &end.seats[usize::from(datagram.from)] {
            // What cannot be sent now is lost, as any datagram may be.
            let _ = seat.try_send_to(&datagram.bytes, end.listens_at);
        }
    }
}

/// Passes on what the real controller `me` sends to `other`.
async fn listen(
    seat: Rc<UdpSocket>,
    listens_at: SocketAddr,
    me: u16,
    other: u16,
    out: mpsc::UnboundedSender<RemoteDatagram>,
) {
    let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        // A controller that is gone shows as an error of the socket; the next datagram is another's matter.
        let Ok((length, sender)) = seat.recv_from(&mut bytes).await else { continue };
        if sender != listens_at {
            continue;
        }
        if out.send(RemoteDatagram { from: me, to: other, bytes: bytes[..length].into() }).is_err() {
            return;
        }
    }
}
