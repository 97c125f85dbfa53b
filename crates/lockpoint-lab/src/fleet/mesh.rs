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

/// Longer than any datagram between controllers.
pub const LONGEST: usize = 2_048;

/// Tracks which controllers have received an observation, and when.
pub struct Watch {
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
    pub watch: RefCell<Option<Watch>>,
    /// Datagrams delivered.
    pub delivered: Cell<u64>,
    /// Datagrams lost.
    pub lost: Cell<u64>,
    /// The address that each controller listens on.
    listens: Vec<SocketAddr>,
    /// By controller and peer: the relay's socket that the controller sends to, and receives from, for that peer.
    seats: Vec<Vec<Option<Rc<UdpSocket>>>>,
    rng: RefCell<Pcg64Mcg>,
}

/// An address of 127.0.0.0/8 that no other mesh of this machine has: by process and by count within it. Ports that the
/// system picks at 127.0.0.1 do not meet those here.
pub fn address_of_its_own() -> Ipv4Addr {
    static MESHES: AtomicU8 = AtomicU8::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    // Not 0: 127.0.0.1 is everybody's.
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
        // Guards against another process, or another test of this one, that is given a controller's port while nobody
        // holds it: before its start, and between its lives.
        let own_address = address_of_its_own();
        let (mut listens, mut seats) = (Vec::new(), Vec::new());
        let mut held = Vec::new();
        for me in 0..controllers {
            // Held until all are chosen, so that no two are alike.
            let own = socket(own_address).await?;
            listens.push(own.local_addr().map_err(|why| LabError::Socket { what: "a link".into(), why })?);
            held.push(own);
            let mut row = Vec::new();
            for other in 0..controllers {
                row.push(if other == me { None } else { Some(Rc::new(socket(Ipv4Addr::LOCALHOST).await?)) });
            }
            seats.push(row);
        }
        drop(held);
        let rng = RefCell::new(Pcg64Mcg::seed_from_u64(seed));
        let (delivered, lost, links) = (Cell::new(0), Cell::new(0), RefCell::new(links));
        let mesh = Rc::new(Mesh { links, watch: RefCell::default(), delivered, lost, listens, seats, rng });
        for from in 0..controllers {
            for to in (0..controllers).filter(|to| *to != from) {
                spawn_local(mesh.clone().carry(from, to));
            }
        }
        Ok(mesh)
    }

    /// The address that a controller listens on.
    pub fn listens_at(&self, me: u16) -> SocketAddr {
        self.listens[usize::from(me)]
    }

    /// The addresses at which a controller reaches all controllers, itself included.
    pub fn peers_of(&self, me: u16) -> Vec<SocketAddr> {
        let row = self.seats[usize::from(me)].iter();
        let own = self.listens_at(me);
        row.map(|seat| seat.as_ref().and_then(|seat| seat.local_addr().ok()).unwrap_or(own)).collect()
    }

    fn seat(&self, me: u16, other: u16) -> Option<Rc<UdpSocket>> {
        self.seats[usize::from(me)][usize::from(other)].clone()
    }

    /// Notes whether a delivered datagram holds the tracked observation.
    fn track(&self, to: u16, bytes: &[u8]) {
        let mut watch = self.watch.borrow_mut();
        let Some(watch) = watch.as_mut().filter(|watch| watch.origin != to) else { return };
        if let Ok((_, Body::Observations(items))) = datagram::decode(bytes) {
            if items.iter().any(|item| item.key == watch.key && item.origin == watch.origin) {
                watch.received_at.entry(to).or_insert_with(Instant::now);
            }
        }
    }

    async fn carry(self: Rc<Self>, from: u16, to: u16) {
        let (Some(inner), Some(outer)) = (self.seat(from, to), self.seat(to, from)) else { return };
        let mut bytes = vec![0; LONGEST];
        loop {
            // A controller that is gone shows as an error of the socket; the next datagram is another's matter.
            let Ok((n, sender)) = inner.recv_from(&mut bytes).await else { continue };
            if sender != self.listens_at(from) {
                continue;
            }
            let fate = self.links.borrow().fate(from, to, &mut self.rng.borrow_mut());
            let count = if fate.is_empty() { &self.lost } else { &self.delivered };
            count.set(count.get() + 1);
            for latency in fate {
                let (outer, bytes, at) = (outer.clone(), bytes[..n].to_vec(), self.listens_at(to));
                let mesh = self.clone();
                spawn_local(async move {
                    tokio::time::sleep(Duration::from_micros(latency.0)).await;
                    mesh.track(to, &bytes);
                    let _ = outer.send_to(&bytes, at).await;
                });
            }
        }
    }
}
