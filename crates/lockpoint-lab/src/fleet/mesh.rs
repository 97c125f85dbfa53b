//! Links between controllers on real sockets. Every datagram passes a relay that loses, delays, duplicates and blocks at
//! random. Each controller has a separate address for each peer, so that no datagram bypasses the relay.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use lockpoint::fleet::datagram::{self, Body};
use lockpoint::fleet::Key;
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use super::sim::Links;
use crate::under_test::LabError;

/// Size of the receive buffer; longer than any datagram between controllers.
pub const MAX_DATAGRAM_BYTES: usize = 2_048;

/// Tracks which controllers have received an observation, and when.
pub struct TrackedObservation {
    /// The call server observed.
    pub key: Key,
    /// Index of the controller that made the observation.
    pub origin: u16,
    /// By controller, when the relay first delivered a datagram with the observation.
    pub received_at: BTreeMap<u16, Instant>,
}

/// The links between controllers.
pub struct Mesh {
    /// Faults and latency from now on.
    pub links: RefCell<Links>,
    /// The observation that is tracked.
    pub tracked: RefCell<Option<TrackedObservation>>,
    /// Datagrams delivered.
    pub delivered: Cell<u64>,
    /// Datagrams lost.
    pub lost: Cell<u64>,
    /// The address that each controller listens on.
    listen_addresses: Vec<SocketAddr>,
    /// By controller and peer: the relay's socket that the controller sends to, and receives from, for that peer.
    relay_sockets: Vec<Vec<Option<Rc<UdpSocket>>>>,
    rng: RefCell<Pcg64Mcg>,
}

/// An address of 127.0.0.0/8 that no other mesh on this machine uses, derived from the process id and a counter within the
/// process. Ports that the system picks at 127.0.0.1 do not conflict with ports at this address.
pub fn unique_loopback_address() -> Ipv4Addr {
    static MESHES: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    // Not 0: other programs bind to 127.0.0.1.
    let mesh = MESHES.fetch_add(1, Ordering::Relaxed) % 254 + 1;
    Ipv4Addr::new(127, mesh, high, low)
}

impl Mesh {
    /// Links between `controllers` controllers, on ports picked by the system.
    pub async fn new(controllers: u16, seed: u64, links: Links) -> Result<Rc<Mesh>, LabError> {
        let socket = |at: Ipv4Addr| async move {
            let bound = UdpSocket::bind(SocketAddr::from((at, 0))).await;
            bound.map_err(|why| LabError::Socket { what: "a link".to_owned(), why })
        };
        // Prevents another process, or another test of this process, from being assigned a controller's port while it is
        // unbound: before its start, and between two runs of that controller.
        let own_address = unique_loopback_address();
        let (mut listen_addresses, mut relay_sockets) = (Vec::new(), Vec::new());
        let mut reserved = Vec::new();
        for me in 0..controllers {
            // Held until all are chosen, so that each port is distinct.
            let own = socket(own_address).await?;
            listen_addresses
                .push(own.local_addr().map_err(|why| LabError::Socket { what: "a link".into(), why })?);
            reserved.push(own);
            let mut row = Vec::new();
            for other in 0..controllers {
                row.push(if other == me { None } else { Some(Rc::new(socket(Ipv4Addr::LOCALHOST).await?)) });
            }
            relay_sockets.push(row);
        }
        drop(reserved);
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        let (delivered, lost, links) = (Cell::new(0), Cell::new(0), RefCell::new(links));
        let mesh = Rc::new(Mesh {
            links,
            tracked: RefCell::default(),
            delivered,
            lost,
            listen_addresses,
            relay_sockets,
            rng,
        });
        for from in 0..controllers {
            for to in (0..controllers).filter(|to| *to != from) {
                spawn_local(mesh.clone().relay(from, to));
            }
        }
        Ok(mesh)
    }

    /// The address that a controller listens on.
    pub fn listens_at(&self, me: u16) -> SocketAddr {
        self.listen_addresses[usize::from(me)]
    }

    /// The addresses at which a controller reaches all controllers, itself included.
    pub fn peers_of(&self, me: u16) -> Vec<SocketAddr> {
        let row = self.relay_sockets[usize::from(me)].iter();
        let own = self.listens_at(me);
        row.map(|relay_socket| {
            relay_socket.as_ref().and_then(|relay_socket| relay_socket.local_addr().ok()).unwrap_or(own)
        })
        .collect()
    }

    fn relay_socket(&self, me: u16, other: u16) -> Option<Rc<UdpSocket>> {
        self.relay_sockets[usize::from(me)][usize::from(other)].clone()
    }

    /// Records whether a delivered datagram contains the tracked observation.
    fn track(&self, to: u16, bytes: &[u8]) {
        let mut tracked = self.tracked.borrow_mut();
        let Some(tracked) = tracked.as_mut().filter(|tracked| tracked.origin != to) else { return };
        if let Ok((_, Body::Observations(items))) = datagram::decode(bytes) {
            if items.iter().any(|item| item.key == tracked.key && item.origin == tracked.origin) {
                tracked.received_at.entry(to).or_insert_with(Instant::now);
            }
        }
    }

    async fn relay(self: Rc<Self>, from: u16, to: u16) {
        let (Some(sender_side), Some(receiver_side)) =
            (self.relay_socket(from, to), self.relay_socket(to, from))
        else {
            return;
        };
        let mut bytes = vec![0; MAX_DATAGRAM_BYTES];
        loop {
            // A controller that has ended causes a socket error here; later datagrams are not affected by it.
            let Ok((n, sender)) = sender_side.recv_from(&mut bytes).await else { continue };
            if sender != self.listens_at(from) {
                continue;
            }
            let delays = self.links.borrow().delivery_delays(from, to, &mut self.rng.borrow_mut());
            let count = if delays.is_empty() { &self.lost } else { &self.delivered };
            count.set(count.get() + 1);
            for latency in delays {
                let (receiver_side, bytes, at) =
                    (receiver_side.clone(), bytes[..n].to_vec(), self.listens_at(to));
                let mesh = self.clone();
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(latency.0)).await;
                    mesh.track(to, &bytes);
                    let _ = receiver_side.send_to(&bytes, at).await;
                });
            }
        }
    }
}
