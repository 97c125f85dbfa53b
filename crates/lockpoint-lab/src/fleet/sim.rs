//! Simulation of a fleet in virtual time: each controller's `lockpoint::fleet::Fleet`, and links between them that lose,
//! delay, duplicate and block datagrams at random. Runs with the same seed are identical.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};

use lockpoint::fleet::{Fleet, FleetConfig, Key, Observation, Outgoing};
use lockpoint::interface::{Span, Time};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::path::random_fraction;

/// Faults and latency of the links between controllers.
#[derive(Debug, Clone, PartialEq)]
pub struct Links {
    /// Share of the datagrams that are lost.
    pub loss: f64,
    /// Share of the datagrams that are duplicated.
    pub duplication: f64,
    /// The smallest and the largest one-way latency.
    pub latency: (Span, Span),
    /// Partition: a controller receives only from its own group. Empty: all are in group 0.
    pub groups: Vec<u8>,
    /// Links blocked in this direction alone.
    pub cut: BTreeSet<(u16, u16)>,
}

impl Default for Links {
    fn default() -> Self {
        let latency = (Span::from_millis(1), Span::from_millis(13));
        Links { loss: 0.0, duplication: 0.0, latency, groups: Vec::new(), cut: BTreeSet::new() }
    }
}

impl Links {
    /// Partitions the fleet into the first `first` of `controllers`, and the rest.
    pub fn split(&mut self, first: u16, controllers: u16) {
        self.groups = (0..controllers).map(|no| u8::from(no >= first)).collect();
    }

    /// The latency of each copy of a datagram; empty if it is lost.
    pub fn delivery_delays(&self, from: u16, to: u16, rng: &mut Pcg64Mcg) -> Vec<Span> {
        let group = |no: u16| self.groups.get(usize::from(no)).copied().unwrap_or(0);
        if group(from) != group(to) || self.cut.contains(&(from, to)) || random_fraction(rng) < self.loss {
            return Vec::new();
        }
        let copies = 1 + usize::from(random_fraction(rng) < self.duplication);
        let (least, most) = self.latency;
        (0..copies)
            .map(|_| Span(least.0 + most.saturating_sub(least).scale(random_fraction(rng)).0))
            .collect()
    }
}

type Datagram = (u16, u16, Vec<u8>);

/// A fleet and the links between its controllers.
pub struct Sim {
    /// The virtual time.
    pub now: Time,
    /// Faults and latency from now on.
    pub links: Links,
    fleets: Vec<Fleet>,
    /// When each controller is polled next, in order of time.
    polls: BTreeSet<(Time, u16)>,
    due: Vec<Time>,
    /// Until when a controller is suspended.
    suspended_until: BTreeMap<u16, Time>,
    in_flight: BinaryHeap<Reverse<(Time, u64, Datagram)>>,
    sent: u64,
    rng: Pcg64Mcg,
}

impl Sim {
    /// A fleet of controllers that have no observations yet.
    pub fn new(controllers: u16, seed: u64, links: Links, config: &FleetConfig) -> Sim {
        let now = Time(1_000_000_000);
        let new_fleet = |me: u16| {
            let seed = seed.wrapping_mul(0x9e37_79b9).wrapping_add(u64::from(me));
            let incarnation = (now.0 / 1_000) as u32;
            Fleet::new(FleetConfig { me, controllers, seed, incarnation, ..config.clone() }, now)
        };
        let fleets: Vec<Fleet> = (0..controllers).map(new_fleet).collect();
        let due: Vec<Time> = fleets.iter().map(Fleet::next_poll).collect();
        Sim {
            now,
            links,
            polls: due.iter().copied().zip(0u16..).collect(),
            due,
            fleets,
            suspended_until: BTreeMap::new(),
            in_flight: BinaryHeap::new(),
            sent: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// A controller observes a call server.
    pub fn observe(&mut self, controller: u16, key: Key, wait: Span, silent: bool) {
        let now = self.now;
        self.fleets[usize::from(controller)].observe(now, key, wait, silent);
        self.schedule(controller);
    }

    /// Updates when a controller is polled next.
    fn schedule(&mut self, controller: u16) {
        let due = self.resumes_at(controller, self.fleets[usize::from(controller)].next_poll());
        let before = std::mem::replace(&mut self.due[usize::from(controller)], due);
        self.polls.remove(&(before, controller));
        self.polls.insert((due, controller));
    }

    /// The newest observation of a call server that a controller has.
    pub fn view(&self, controller: u16, key: Key) -> Option<Observation> {
        self.fleets[usize::from(controller)].view(key, self.now)
    }

    /// Suspends a controller; datagrams that arrive meanwhile wait for it.
    pub fn suspend(&mut self, controller: u16, duration: Span) {
        self.suspended_until.insert(controller, self.now.plus(duration));
        self.schedule(controller);
    }

    /// Bytes sent by each controller so far.
    pub fn bytes(&self) -> Vec<u64> {
        self.fleets.iter().map(|fleet| fleet.counts.bytes).collect()
    }

    /// Datagrams dropped by their receivers.
    pub fn dropped(&self) -> u64 {
        self.fleets.iter().map(|fleet| fleet.counts.dropped).sum()
    }

    /// Advances the time.
    pub fn advance(&mut self, duration: Span) {
        self.run_until(self.now.plus(duration), |_| false);
    }

    /// Advances the time until `done` holds or `end` is reached; `true`: it holds.
    pub fn run_until(&mut self, end: Time, done: impl Fn(&Sim) -> bool) -> bool {
        loop {
            if done(self) {
                return true;
            }
            let poll = self.polls.first().copied().unwrap_or((end, 0));
            let arrival = self.in_flight.peek().map(|Reverse((at, ..))| *at);
            let next = arrival.map_or(poll.0, |at| at.min(poll.0));
            if next > end {
                self.now = end;
                return false;
            }
            self.now = self.now.max(next);
            if arrival == Some(next) {
                self.deliver_next();
            } else {
                self.poll(poll.1);
            }
        }
    }

    /// The time at which a controller handles what is due at `at`.
    fn resumes_at(&self, controller: u16, at: Time) -> Time {
        self.suspended_until.get(&controller).map_or(at, |until| at.max(*until))
    }

    fn deliver_next(&mut self) {
        let Some(Reverse((_, order, (from, to, bytes)))) = self.in_flight.pop() else { return };
        let resumes_at = self.resumes_at(to, self.now);
        if resumes_at > self.now {
            self.in_flight.push(Reverse((resumes_at, order, (from, to, bytes))));
            return;
        }
        let received = self.fleets[usize::from(to)].receive(self.now, from, &bytes);
        assert!(received.is_ok(), "a controller decodes what another encoded: {received:?}");
        self.schedule(to);
    }

    fn poll(&mut self, controller: u16) {
        let mut out = Vec::new();
        self.fleets[usize::from(controller)].poll(self.now, &mut out);
        self.schedule(controller);
        for Outgoing { to, bytes } in out {
            for latency in self.links.delivery_delays(controller, to, &mut self.rng) {
                self.sent += 1;
                self.in_flight.push(Reverse((
                    self.now.plus(latency),
                    self.sent,
                    (controller, to, bytes.clone()),
                )));
            }
        }
    }
}

/// Time until each peer has an observation that one controller makes now; `None`: not within `limit`.
pub fn staleness(sim: &mut Sim, controller: u16, key: Key, silent: bool, limit: Span) -> Vec<Option<Span>> {
    let from = sim.now;
    let wait = if silent { Span::default() } else { Span::from_millis(5) };
    sim.observe(controller, key, wait, silent);
    let mut missing: BTreeSet<u16> = (0..sim.fleets.len() as u16).filter(|no| *no != controller).collect();
    let mut times = Vec::new();
    let has_observation =
        |sim: &Sim, no: u16| sim.view(no, key).is_some_and(|s| s.origin == controller && s.silent == silent);
    while !missing.is_empty() {
        let still_missing = missing.clone();
        if !sim.run_until(from.plus(limit), |sim| still_missing.iter().any(|no| has_observation(sim, *no))) {
            break;
        }
        let received: Vec<u16> = missing.iter().copied().filter(|no| has_observation(sim, *no)).collect();
        for no in received {
            missing.remove(&no);
            times.push(Some(sim.now.since(from)));
        }
    }
    times.extend(missing.iter().map(|_| None));
    times
}
