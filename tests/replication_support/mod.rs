//! A simulated network of replicas in simulated time.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use lockpoint::interface::{Span, Time};
use lockpoint::replication::{Dot, Replica, ReplicaConfig, SourceId, Validator, MAX_DATAGRAM};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// Name of the cluster of all replicas here.
pub const CLUSTER: &str = "test";
/// The value that a replica rejects after [`Net::refuse`].
pub const REFUSED_VALUE: &[u8] = b"refused";
/// Number of sent datagrams that are kept as samples.
const MAX_SAMPLES: usize = 24;
/// Start time of every run, in 2023.
const START_TIME: Time = Time(1_700_000_000_000_000);

/// Returns a span of seconds.
pub fn secs(secs: u64) -> Span {
    Span::from_millis(secs * 1_000)
}

/// Faults and delays of the links.
#[derive(Debug, Clone)]
pub struct Links {
    /// Fraction of datagrams that are lost.
    pub loss: f64,
    /// Fraction of datagrams that are duplicated.
    pub duplicated: f64,
    /// Shortest and longest delay; datagrams with different delays may be reordered.
    pub delay_ms: (u64, u64),
}

impl Default for Links {
    fn default() -> Self {
        Links { loss: 0.0, duplicated: 0.0, delay_ms: (1, 20) }
    }
}

struct RefusingValidator(Rc<Cell<bool>>);

impl Validator for RefusingValidator {
    fn validate(&self, _key: &str, value: Option<&[u8]>) -> Result<(), String> {
        if self.0.get() && value == Some(REFUSED_VALUE) {
            return Err("this value is refused here".to_string());
        }
        Ok(())
    }
}

struct Node {
    replica: Replica,
    refuses: Rc<Cell<bool>>,
    /// When it must be polled next; `None` while it is paused.
    due: Option<Time>,
}

struct InFlight {
    from: SocketAddr,
    to: usize,
    bytes: Vec<u8>,
}

/// The replicas and the datagrams between them.
pub struct Net {
    /// The current simulated time.
    pub now: Time,
    /// Partition group of each replica; datagrams between groups are lost.
    pub groups: Vec<u8>,
    seed: u64,
    sources: usize,
    links: Links,
    rng: Pcg32,
    nodes: Vec<Option<Node>>,
    queue: BinaryHeap<Reverse<(Time, usize)>>,
    polls: BinaryHeap<Reverse<(Time, usize)>>,
    in_flight: Vec<Option<InFlight>>,
    free: Vec<usize>,
    samples: Vec<Vec<u8>>,
    longest: usize,
}

/// Returns the configuration of replica `no`; the first `sources` replicas are sources.
pub fn config(no: usize, sources: usize, incarnation: u32) -> ReplicaConfig {
    // A source of another zone first, then the others in order.
    let seeds = (0..sources).map(|place| address_of((no + 1 + place) % sources)).collect();
    ReplicaConfig {
        cluster: CLUSTER.to_string(),
        name: format!("n{no}"),
        address: address_of(no),
        region: format!("r{}", no % 3),
        zone: format!("z{}", no % 6),
        service: "calls".to_string(),
        incarnation,
        source: (no < sources).then_some(SourceId(no as u8)),
        seeds,
        seed: no as u64 * 1_000 + u64::from(incarnation),
        ..ReplicaConfig::default()
    }
}

fn address_of(no: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::new(127, 0, (no / 250) as u8, (no % 250) as u8 + 1), 7_000))
}

fn number_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { unreachable!("IPv4 throughout") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) * 250 + usize::from(low) - 1
}

impl Net {
    /// Creates a network without replicas.
    pub fn new(seed: u64, sources: usize, links: Links) -> Net {
        Net {
            now: START_TIME,
            groups: Vec::new(),
            seed,
            sources,
            links,
            rng: Pcg32::seed_from_u64(seed),
            nodes: Vec::new(),
            queue: BinaryHeap::new(),
            polls: BinaryHeap::new(),
            in_flight: Vec::new(),
            free: Vec::new(),
            samples: Vec::new(),
            longest: 0,
        }
    }

    /// Returns the number of replicas, stopped ones included.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// Returns a random number below `limit`.
    pub fn random_below(&mut self, limit: usize) -> usize {
        self.rng.next_u32() as usize % limit.max(1)
    }

    /// Returns the address of a replica.
    pub fn address(&self, no: usize) -> SocketAddr {
        address_of(no)
    }

    /// Starts an empty replica.
    pub fn start(&mut self, no: usize, incarnation: u32) {
        self.start_as(no, &format!("n{no}"), incarnation);
    }

    /// Starts an empty replica under another name.
    pub fn start_as(&mut self, no: usize, name: &str, incarnation: u32) {
        let refuses = Rc::new(Cell::new(false));
        let mut config = config(no, self.sources, incarnation);
        config.name = name.to_string();
        config.seed ^= self.seed << 20;
        let replica = Replica::new(config, Box::new(RefusingValidator(refuses.clone())), self.now);
        while self.nodes.len() <= no {
            self.nodes.push(None);
            self.groups.push(0);
        }
        self.nodes[no] = Some(Node { replica, refuses, due: Some(self.now) });
        self.polls.push(Reverse((self.now, no)));
    }

    /// Kills the process of a replica.
    pub fn stop(&mut self, no: usize) {
        self.nodes[no] = None;
    }

    /// Shuts a replica down gracefully: it leaves the cluster.
    pub fn leave(&mut self, no: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.replica_mut(no).leave(now, &mut out);
        self.send(no, out);
        self.nodes[no] = None;
    }

    /// Pauses the process of a replica; datagrams to it are lost.
    pub fn pause(&mut self, no: usize) {
        self.node_mut(no).due = None;
    }

    /// Resumes a paused process.
    pub fn resume(&mut self, no: usize) {
        let now = self.now;
        self.node_mut(no).due = Some(now);
        self.polls.push(Reverse((now, no)));
    }

    /// Makes the replica reject [`REFUSED_VALUE`] from now on.
    pub fn refuse(&mut self, no: usize) {
        self.node_mut(no).refuses.set(true);
    }

    /// Heals all partitions.
    pub fn heal(&mut self) {
        self.groups.iter_mut().for_each(|group| *group = 0);
    }

    /// Returns a replica.
    pub fn replica(&self, no: usize) -> &Replica {
        &self.nodes[no].as_ref().expect("started").replica
    }

    /// Returns a replica for modification.
    pub fn replica_mut(&mut self, no: usize) -> &mut Replica {
        &mut self.node_mut(no).replica
    }

    fn node_mut(&mut self, no: usize) -> &mut Node {
        self.nodes[no].as_mut().expect("started")
    }

    /// Lets a source accept a change; panics if it refuses.
    pub fn propose(&mut self, no: usize, key: &str, value: Option<&[u8]>) -> Dot {
        let (now, seed) = (self.now, self.seed);
        let dot = self.replica_mut(no).propose(now, key, value);
        self.schedule(no);
        dot.unwrap_or_else(|error| panic!("seed {seed}: source {no}: {error}"))
    }

    /// Discards the events of all replicas.
    pub fn take_all_events(&mut self) {
        self.nodes.iter_mut().flatten().for_each(|node| drop(node.replica.take_events()));
    }

    fn running(&self) -> impl Iterator<Item = &Replica> {
        self.nodes.iter().flatten().filter(|node| node.due.is_some()).map(|node| &node.replica)
    }

    /// Returns whether all running replicas are members.
    pub fn all_joined(&self) -> bool {
        self.running().all(|replica| replica.is_member())
    }

    /// Returns whether all running replicas hold the same entries and have applied the same changes.
    pub fn agrees(&self) -> bool {
        let mut all = self.running().map(|replica| (replica.state_hash(), *replica.version()));
        let first = all.next();
        all.all(|other| Some(other) == first)
    }

    /// Returns samples of the datagrams sent so far.
    pub fn sent_samples(&self) -> Vec<Vec<u8>> {
        self.samples.clone()
    }

    /// Returns the length of the longest datagram sent.
    pub fn longest_datagram(&self) -> usize {
        self.longest
    }

    /// Runs until `holds` returns true, and panics if that takes longer than `span`.
    pub fn run_until(&mut self, span: Span, condition: &str, holds: impl Fn(&Net) -> bool) {
        let end = self.now.plus(span);
        while !holds(self) {
            assert!(self.now < end, "seed {}: not within {} s: {condition}", self.seed, span.secs());
            self.run(Span::from_millis(100));
        }
    }

    /// Advances the time without processing anything.
    pub fn jump(&mut self, span: Span) {
        self.now = self.now.plus(span);
    }

    /// Processes all datagrams and polls due within `span`.
    pub fn run(&mut self, span: Span) {
        let end = self.now.plus(span);
        loop {
            let datagram = self.queue.peek().map(|Reverse((at, _))| *at);
            let poll = self.polls.peek().map(|Reverse((at, _))| *at);
            let Some(next) = datagram.into_iter().chain(poll).min().filter(|at| *at <= end) else {
                self.now = end;
                return;
            };
            self.now = self.now.max(next);
            if datagram == Some(next) {
                self.deliver();
            } else {
                self.poll();
            }
        }
    }

    fn deliver(&mut self) {
        let Some(Reverse((_, slot))) = self.queue.pop() else { return };
        let Some(InFlight { from, to, bytes }) = self.in_flight[slot].take() else { return };
        self.free.push(slot);
        let now = self.now;
        if self.groups[number_of(from)] != self.groups[to] {
            return;
        }
        if let Some(node) = self.nodes[to].as_mut().filter(|node| node.due.is_some()) {
            // The replica counts refused datagrams itself.
            let _ = node.replica.receive(now, from, &bytes);
            self.schedule(to);
        }
    }

    fn poll(&mut self) {
        let Some(Reverse((at, no))) = self.polls.pop() else { return };
        let now = self.now;
        let Some(node) = self.nodes[no].as_mut().filter(|node| node.due == Some(at)) else { return };
        let mut out = Vec::new();
        node.replica.poll(now, &mut out);
        let due = node.replica.next_due();
        assert!(due > now, "seed {}: replica {no} is due again immediately", self.seed);
        node.due = Some(due);
        if due < Time(u64::MAX) {
            self.polls.push(Reverse((due, no)));
        }
        self.send(no, out);
    }

    /// Reschedules the poll of a replica that may be due earlier now.
    fn schedule(&mut self, no: usize) {
        let now = self.now;
        let node = self.node_mut(no);
        let due = node.replica.next_due().max(now);
        if node.due.is_some_and(|known| due < known) {
            node.due = Some(due);
            self.polls.push(Reverse((due, no)));
        }
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Vec<u8>)>) {
        for (to, bytes) in out {
            assert!(bytes.len() <= MAX_DATAGRAM, "seed {}: {} bytes", self.seed, bytes.len());
            self.longest = self.longest.max(bytes.len());
            if self.samples.len() < MAX_SAMPLES {
                self.samples.push(bytes.clone());
            }
            if self.random_fraction() < self.links.duplicated {
                self.put_in_flight(from, to, bytes.clone());
            }
            if self.random_fraction() >= self.links.loss {
                self.put_in_flight(from, to, bytes);
            }
        }
    }

    fn put_in_flight(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let to = number_of(to);
        if to >= self.nodes.len() {
            return;
        }
        let (min, max) = self.links.delay_ms;
        let delay = min + self.random_below((max - min + 1) as usize) as u64;
        let datagram = Some(InFlight { from: address_of(from), to, bytes });
        let slot = self.free.pop().unwrap_or(self.in_flight.len());
        if slot == self.in_flight.len() {
            self.in_flight.push(None);
        }
        self.in_flight[slot] = datagram;
        self.queue.push(Reverse((self.now.plus(Span::from_millis(delay)), slot)));
    }

    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}
