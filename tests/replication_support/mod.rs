//! A network of replicas in driven time.

use std::cell::Cell;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use lockpoint::interface::{Span, Time};
use lockpoint::replication::{Dot, Replica, ReplicaConfig, SourceId, Validator, MAX_DATAGRAM};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

/// The cluster that all replicas here are of.
pub const CLUSTER: &str = "test";
/// The value that a replica does not use once it was told to refuse it.
pub const REFUSED_VALUE: &[u8] = b"refused";
/// Datagrams kept as samples of what is sent.
const SAMPLES: usize = 24;
/// When runs begin: some time in 2023.
const BEGIN: Time = Time(1_700_000_000_000_000);

/// So many seconds.
pub fn secs(secs: u64) -> Span {
    Span::from_millis(secs * 1_000)
}

/// What happens to datagrams.
#[derive(Debug, Clone)]
pub struct Links {
    /// The share that is lost.
    pub loss: f64,
    /// The share that comes twice.
    pub twice: f64,
    /// The least and the longest time on the way: whoever takes longer is overtaken.
    pub delay_ms: (u64, u64),
}

impl Default for Links {
    fn default() -> Self {
        Links { loss: 0.0, twice: 0.0, delay_ms: (1, 20) }
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
    /// When it is to be polled; none: it stands still.
    due: Option<Time>,
}

struct InFlight {
    from: SocketAddr,
    to: usize,
    bytes: Vec<u8>,
}

/// The replicas and the datagrams between them.
pub struct Net {
    /// The present.
    pub now: Time,
    /// Replicas of different groups do not hear each other.
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

/// The configuration of replica `no`, the first `sources` of which are sources.
pub fn config(no: usize, sources: usize, incarnation: u32) -> ReplicaConfig {
    // A source of another zone first, others by turn.
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
    /// No replica yet.
    pub fn new(seed: u64, sources: usize, links: Links) -> Net {
        Net {
            now: BEGIN,
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

    /// Places for replicas, those stopped included.
    pub fn len(&self) -> usize {
        self.nodes.len()
    }

    /// A number below `below`.
    pub fn draw(&mut self, below: usize) -> usize {
        self.rng.next_u32() as usize % below.max(1)
    }

    /// The address of a replica.
    pub fn address(&self, no: usize) -> SocketAddr {
        address_of(no)
    }

    /// Starts a replica that knows nothing yet.
    pub fn start(&mut self, no: usize, incarnation: u32) {
        self.start_as(no, &format!("n{no}"), incarnation);
    }

    /// Starts a replica of another name.
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

    /// The process is gone.
    pub fn stop(&mut self, no: usize) {
        self.nodes[no] = None;
    }

    /// The process leaves in good order.
    pub fn leave(&mut self, no: usize) {
        let now = self.now;
        let mut out = Vec::new();
        self.replica_mut(no).leave(now, &mut out);
        self.send(no, out);
        self.nodes[no] = None;
    }

    /// The process stands still; what comes for it is lost.
    pub fn pause(&mut self, no: usize) {
        self.node_mut(no).due = None;
    }

    /// The process goes on.
    pub fn resume(&mut self, no: usize) {
        let now = self.now;
        self.node_mut(no).due = Some(now);
        self.polls.push(Reverse((now, no)));
    }

    /// From now on the replica refuses [`REFUSED_VALUE`].
    pub fn refuse(&mut self, no: usize) {
        self.node_mut(no).refuses.set(true);
    }

    /// All hear each other.
    pub fn heal(&mut self) {
        self.groups.iter_mut().for_each(|group| *group = 0);
    }

    /// A replica.
    pub fn replica(&self, no: usize) -> &Replica {
        &self.nodes[no].as_ref().expect("started").replica
    }

    /// A replica.
    pub fn replica_mut(&mut self, no: usize) -> &mut Replica {
        &mut self.node_mut(no).replica
    }

    fn node_mut(&mut self, no: usize) -> &mut Node {
        self.nodes[no].as_mut().expect("started")
    }

    /// A source accepts a change.
    pub fn propose(&mut self, no: usize, key: &str, value: Option<&[u8]>) -> Dot {
        let (now, seed) = (self.now, self.seed);
        let dot = self.replica_mut(no).propose(now, key, value);
        self.schedule(no);
        dot.unwrap_or_else(|error| panic!("seed {seed}: source {no}: {error}"))
    }

    /// Nobody's events are kept.
    pub fn take_all_events(&mut self) {
        self.nodes.iter_mut().flatten().for_each(|node| drop(node.replica.take_events()));
    }

    fn running(&self) -> impl Iterator<Item = &Replica> {
        self.nodes.iter().flatten().filter(|node| node.due.is_some()).map(|node| &node.replica)
    }

    /// Whether all that run are members.
    pub fn all_joined(&self) -> bool {
        self.running().all(|replica| replica.is_member())
    }

    /// Whether all that run hold the same and have applied the same.
    pub fn agrees(&self) -> bool {
        let mut all = self.running().map(|replica| (replica.state_hash(), *replica.version()));
        let first = all.next();
        all.all(|other| Some(other) == first)
    }

    /// Some of the datagrams sent so far.
    pub fn sent_samples(&self) -> Vec<Vec<u8>> {
        self.samples.clone()
    }

    /// The length of the longest datagram sent.
    pub fn longest_datagram(&self) -> usize {
        self.longest
    }

    /// Lets time pass until `holds`, which must come within `span`.
    pub fn run_until(&mut self, span: Span, what: &str, holds: impl Fn(&Net) -> bool) {
        let end = self.now.plus(span);
        while !holds(self) {
            assert!(self.now < end, "seed {}: not within {} s: {what}", self.seed, span.secs());
            self.run(Span::from_millis(100));
        }
    }

    /// Time passes for all at once, without anything happening.
    pub fn jump(&mut self, span: Span) {
        self.now = self.now.plus(span);
    }

    /// Lets time pass.
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
        let Some(Reverse((_, place))) = self.queue.pop() else { return };
        let Some(InFlight { from, to, bytes }) = self.in_flight[place].take() else { return };
        self.free.push(place);
        let now = self.now;
        if self.groups[number_of(from)] != self.groups[to] {
            return;
        }
        if let Some(node) = self.nodes[to].as_mut().filter(|node| node.due.is_some()) {
            // What a replica refuses it counts.
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
        assert!(due > now, "seed {}: replica {no} is due at once again", self.seed);
        node.due = Some(due);
        if due < Time(u64::MAX) {
            self.polls.push(Reverse((due, no)));
        }
        self.send(no, out);
    }

    /// The replica may be due earlier now.
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
            if self.samples.len() < SAMPLES {
                self.samples.push(bytes.clone());
            }
            if self.share() < self.links.twice {
                self.put_on_the_way(from, to, bytes.clone());
            }
            if self.share() >= self.links.loss {
                self.put_on_the_way(from, to, bytes);
            }
        }
    }

    fn put_on_the_way(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        let to = number_of(to);
        if to >= self.nodes.len() {
            return;
        }
        let (least, most) = self.links.delay_ms;
        let delay = least + self.draw((most - least + 1) as usize) as u64;
        let datagram = Some(InFlight { from: address_of(from), to, bytes });
        let place = self.free.pop().unwrap_or(self.in_flight.len());
        if place == self.in_flight.len() {
            self.in_flight.push(None);
        }
        self.in_flight[place] = datagram;
        self.queue.push(Reverse((self.now.plus(Span::from_millis(delay)), place)));
    }

    fn share(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}
