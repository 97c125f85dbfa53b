//! Gossip between controllers about the state of the call servers.
//!
//! Each controller publishes its own observations and keeps the newest observation of each call server, regardless of
//! which controller made it. The module is sans-IO: observations, datagrams and times go in; datagrams and updates come
//! out. `docs/fleet-limits.md` compares the designs considered and states the bounds.
//!
//! An observation that changes the severity of a call server is an update. It is forwarded to a few random peers per
//! round, for as many rounds as are expected to inform the whole fleet (rumour mongering). Periodic anti-entropy
//! exchanges deliver what was missed because of lost datagrams. The bytes sent per second are limited independently of
//! the fleet's size; the largest changes are sent first.

mod config;
pub mod credit_transfer;
pub mod datagram;
pub mod failure_detector;
pub mod observation;
pub mod peer_clock;
mod send_budget;
pub mod token_bucket;
pub mod warnings;

use std::cmp::Reverse;
use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::{Permits, Span, Time};
pub use config::FleetConfig;
use credit_transfer::{timestamp_ms, CreditMessage, CreditTransfer, Urgency};
use datagram::{Body, DatagramError, Header, ObservationItem, MAX_OBSERVATIONS};
use failure_detector::{FailureDetector, PeerChange, HEARTBEAT_INTERVAL};
pub use observation::{Key, Observation, Severity};
use peer_clock::PeerClock;
use send_budget::SendBudget;

/// Maximum number of call servers tracked at once; bounds memory use.
const MAX_TRACKED_SERVERS: usize = 1_024;
/// A severity that differs from the known one by fewer steps is not published before the next refresh.
const MIN_SEVERITY_CHANGE: u8 = 2;

/// Information received from a peer, for the decision module.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PeerUpdate {
    /// A newer observation of a call server.
    Observed(Key, Observation),
    /// Credit requested or granted.
    Credit(CreditMessage),
}

/// A datagram to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Outgoing {
    /// Index of the recipient.
    pub to: u16,
    /// The encoded datagram.
    pub bytes: Vec<u8>,
}

/// Counters since the start.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct FleetCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams received that could be decoded.
    pub received: u64,
    /// Datagrams dropped because they were out of order, duplicates, or from an earlier incarnation.
    pub dropped: u64,
    /// Datagrams that could not be decoded.
    pub malformed: u64,
    /// Gossip rounds deferred because the byte budget was used up.
    pub rounds_deferred: u64,
}

/// The newest known observation of a call server, and how far it has been forwarded.
#[derive(Debug)]
struct Entry {
    observation: Observation,
    /// Remaining rounds in which it is forwarded.
    rounds_left: u8,
    /// Difference to the severity known before; larger changes are sent first.
    severity_change: u8,
}

/// One controller's membership in the fleet.
#[derive(Debug)]
pub struct Fleet {
    config: FleetConfig,
    rng: Pcg32,
    entries: BTreeMap<Key, Entry>,
    /// The latest observations made by this controller, published or not.
    own: BTreeMap<Key, Observation>,
    peer_clocks: BTreeMap<u16, PeerClock>,
    /// Peers that requested newer observations, and the call servers whose observations they lack.
    pending_replies: BTreeMap<u16, Vec<Key>>,
    /// Version number of the next observation published by this controller.
    next_version: u16,
    /// Sequence number of the last datagram sent.
    last_sequence: u32,
    send_budget: SendBudget,
    /// Credit lent and borrowed.
    pub credit: CreditTransfer,
    /// Which peers are alive.
    pub failure_detector: FailureDetector,
    /// Peer changes not yet reported.
    peer_changes: Vec<PeerChange>,
    next_round: Time,
    next_anti_entropy: Time,
    next_heartbeat: Time,
    /// Counters.
    pub counts: FleetCounts,
}

impl Fleet {
    /// Creates a member that has no observations yet.
    pub fn new(config: FleetConfig, now: Time) -> Fleet {
        Fleet {
            next_version: (config.incarnation & 0xffff) as u16,
            rng: Pcg32::seed_from_u64(config.seed),
            entries: BTreeMap::new(),
            own: BTreeMap::new(),
            peer_clocks: BTreeMap::new(),
            pending_replies: BTreeMap::new(),
            last_sequence: 0,
            send_budget: SendBudget::new(config.max_bytes_per_second, now),
            credit: CreditTransfer::default(),
            failure_detector: FailureDetector::new(config.me, config.controllers, now),
            peer_changes: Vec::new(),
            next_round: now,
            // Immediately, so that a controller that has just started knows its peers' observations before its first
            // call.
            next_anti_entropy: now,
            next_heartbeat: now,
            config,
            counts: FleetCounts::default(),
        }
    }

    /// The newest observation of a call server, unless it is older than the maximum age.
    pub fn view(&self, key: Key, now: Time) -> Option<Observation> {
        self.entries.get(&key).map(|entry| entry.observation).filter(|o| o.age(now) < self.config.max_age)
    }

    /// This controller's own latest observation of a call server, unless it is older than the maximum age.
    pub fn own_view(&self, key: Key, now: Time) -> Option<Observation> {
        self.own.get(&key).copied().filter(|o| o.age(now) < self.config.max_age)
    }

    /// Records this controller's own observation of a call server; publishes it if it is an update, or if a refresh is
    /// due.
    pub fn observe(&mut self, now: Time, key: Key, wait: Span, silent: bool) {
        if !self.has_room_for(key) {
            return;
        }
        let (origin, version) = (self.config.me, self.next_version);
        let observation = Observation { wait, silent, observed_at: now, origin, version };
        self.own.insert(key, observation);
        let known = self.view(key, now);
        let severity_change = severity_change(known, &observation);
        let silence_changed = known.is_some_and(|k| k.silent != silent);
        let refresh_due = known.is_none_or(|k| k.age(now) >= self.config.refresh_interval);
        if severity_change >= MIN_SEVERITY_CHANGE || silence_changed || refresh_due {
            self.next_version = self.next_version.wrapping_add(1);
            self.publish(key, observation, severity_change);
        }
    }

    /// Whether a call server is tracked already, or can be added.
    fn has_room_for(&self, key: Key) -> bool {
        self.entries.contains_key(&key) || self.entries.len() < MAX_TRACKED_SERVERS
    }

    /// Stores an observation and forwards it in the next rounds.
    fn publish(&mut self, key: Key, observation: Observation, severity_change: u8) {
        let rounds_left = self.config.gossip_rounds();
        self.entries.insert(key, Entry { observation, rounds_left, severity_change });
    }

    /// Handles a datagram of a peer; returns the updates in it.
    pub fn receive(&mut self, now: Time, from: u16, bytes: &[u8]) -> Result<Vec<PeerUpdate>, DatagramError> {
        let decoded = datagram::decode(bytes);
        let (header, body) = decoded.inspect_err(|_| self.counts.malformed += 1)?;
        self.counts.received += 1;
        let Some(extra_delay) = self.peer_clocks.entry(from).or_default().receive(now, &header) else {
            self.counts.dropped += 1;
            return Ok(Vec::new());
        };
        self.failure_detector.record_contact(now, from);
        Ok(match body {
            Body::Credit(items) => {
                let messages = if header.is_request {
                    self.credit.receive_request(from, header.sent_ms, &items)
                } else {
                    self.credit.receive_grant(now, from, &items)
                };
                messages.into_iter().map(PeerUpdate::Credit).collect()
            }
            Body::Observations(items) => {
                if header.is_request {
                    self.prepare_reply(from, &items);
                }
                let transit = Span(extra_delay.0.saturating_add(self.config.min_latency.0));
                items.iter().filter_map(|item| self.merge(now, transit, item)).collect()
            }
        })
    }

    /// Notes which observations a requesting peer lacks, judged by those in its request.
    fn prepare_reply(&mut self, from: u16, items: &[ObservationItem]) {
        let peer_has = |key: &Key, observation: &Observation| {
            let item = items.iter().find(|item| item.key == *key);
            item.is_some_and(|item| (item.origin, item.version) == (observation.origin, observation.version))
        };
        let missing = self.entries.iter().filter(|(key, entry)| !peer_has(key, &entry.observation));
        let missing: Vec<Key> = missing.map(|(key, _)| *key).take(MAX_OBSERVATIONS).collect();
        if !missing.is_empty() {
            self.pending_replies.insert(from, missing);
        }
    }

    /// Merges a received observation that was in transit for `transit`; returns it if it supersedes the known one.
    fn merge(&mut self, now: Time, transit: Span, item: &ObservationItem) -> Option<PeerUpdate> {
        let age = item.age.0.saturating_add(transit.0);
        let observation = Observation {
            wait: item.wait,
            silent: item.silent,
            observed_at: Time(now.0.saturating_sub(age)),
            origin: item.origin,
            version: item.version,
        };
        // The local record of this controller's own observations is more accurate than a forwarded copy.
        if item.origin == self.config.me || observation.age(now) >= self.config.max_age {
            return None;
        }
        let known = self.view(item.key, now);
        let is_newer = known.is_none_or(|known| observation.supersedes(&known));
        if !is_newer || !self.has_room_for(item.key) {
            return None;
        }
        self.publish(item.key, observation, severity_change(known, &observation));
        Some(PeerUpdate::Observed(item.key, observation))
    }

    /// When [`Fleet::poll`] is to be called next.
    pub fn next_poll(&self) -> Time {
        let has_rumours = self.entries.values().any(|entry| entry.rounds_left > 0);
        let has_round_work = has_rumours || !self.pending_replies.is_empty();
        let periodic = self.next_anti_entropy.min(self.next_heartbeat);
        match self.credit.urgency() {
            Some(Urgency::Immediate) => Time::default(),
            Some(Urgency::NextRound) => self.next_round.min(periodic),
            None if has_round_work => self.next_round.min(periodic),
            None => periodic,
        }
    }

    /// Takes the changes to the set of live peers since the last call.
    pub fn take_peer_changes(&mut self) -> Vec<PeerChange> {
        std::mem::take(&mut self.peer_changes)
    }

    /// Notes that this controller is short of permits for a cold call server; peers are asked in the next round.
    pub fn request_credit(&mut self, now: Time, key: Key, permits: Permits) {
        if self.config.controllers > 1 {
            self.credit.request(now, key, permits);
        }
    }

    /// Runs everything that is due at `now`; appends the datagrams to send to `out`.
    pub fn poll(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        self.remove_stale(now);
        if self.config.controllers < 2 {
            self.next_round = now.plus(self.config.round);
            self.next_anti_entropy = now.plus(self.config.anti_entropy_interval);
            self.next_heartbeat = self.next_anti_entropy;
            return;
        }
        self.send_grants(now, out);
        if now >= self.next_anti_entropy {
            self.start_anti_entropy(now, out);
        }
        if now >= self.next_heartbeat {
            self.send_heartbeats(now, out);
        }
        if now >= self.next_round {
            self.next_round = now.plus(self.config.round);
            self.send_credit_request(now, out);
            self.send_replies(now, out);
            self.send_rumours(now, out);
        }
    }

    fn remove_stale(&mut self, now: Time) {
        let max_age = self.config.max_age;
        self.entries.retain(|_, entry| entry.observation.age(now) < max_age);
        self.own.retain(|_, observation| observation.age(now) < max_age);
    }

    /// Sends the pending grants. The credit in a grant that exceeds the byte budget is lost, as if the datagram had
    /// been lost in transit.
    fn send_grants(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        let grants: Vec<_> = self.credit.take_grants().collect();
        for grant in grants {
            self.send(now, grant.to, false, &Body::Credit(grant.items), out);
        }
    }

    /// Sends the newest observations to a random peer and asks it for newer ones.
    fn start_anti_entropy(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        // Between 0.5 and 1.5 intervals, so that controllers that start together do not stay synchronized.
        let jitter = f64::from(self.rng.next_u32()) / f64::from(u32::MAX);
        self.next_anti_entropy = now.plus(self.config.anti_entropy_interval.scale(0.5 + jitter));
        let newest = self.select(now, |_, _| true, |entry| Reverse(entry.observation.observed_at));
        let to = self.random_peer();
        self.send(now, to, true, &Body::Observations(newest), out);
    }

    /// Checks which peers are alive and sends the heartbeats of this round.
    fn send_heartbeats(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        self.next_heartbeat = now.plus(HEARTBEAT_INTERVAL);
        self.peer_changes.extend(self.failure_detector.check(now));
        for to in self.failure_detector.next_recipients() {
            self.send(now, to, false, &Body::Observations(Vec::new()), out);
        }
    }

    /// Requests credit from peers if this controller is short of permits.
    fn send_credit_request(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        let (me, peers, rng) = (self.config.me, self.config.controllers - 1, &mut self.rng);
        let Some(request) = self.credit.take_request(now, peers, || random_peer(rng, me, peers)) else {
            return;
        };
        let body = Body::Credit(request.items);
        for to in request.recipients {
            self.send(now, to, true, &body, out);
        }
    }

    /// Replies to the peers that requested newer observations.
    fn send_replies(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        for (to, keys) in std::mem::take(&mut self.pending_replies) {
            let is_missing = |key: &Key, _: &Entry| keys.contains(key);
            let missing = self.select(now, is_missing, |entry| Reverse(entry.observation.observed_at));
            if !missing.is_empty() {
                self.send(now, to, false, &Body::Observations(missing), out);
            }
        }
    }

    /// Forwards the observations that have rounds left to random peers.
    fn send_rumours(&mut self, now: Time, out: &mut Vec<Outgoing>) {
        let by_change = |e: &Entry| (Reverse(e.severity_change), Reverse(e.observation.observed_at));
        let rumours = self.select(now, |_, entry| entry.rounds_left > 0, by_change);
        if rumours.is_empty() {
            return;
        }
        let keys: Vec<Key> = rumours.iter().map(|item| item.key).collect();
        let body = Body::Observations(rumours);
        let mut any_sent = false;
        for _ in 0..self.config.fanout.min(self.config.controllers - 1) {
            let to = self.random_peer();
            any_sent |= self.send(now, to, false, &body, out);
        }
        if !any_sent {
            self.counts.rounds_deferred += 1;
            return;
        }
        for key in keys {
            if let Some(entry) = self.entries.get_mut(&key) {
                entry.rounds_left = entry.rounds_left.saturating_sub(1);
            }
        }
    }

    /// The first matching entries in the given order, as many as fit into a datagram.
    fn select<K: Ord>(
        &self,
        now: Time,
        matches: impl Fn(&Key, &Entry) -> bool,
        order: impl Fn(&Entry) -> K,
    ) -> Vec<ObservationItem> {
        let matching = self.entries.iter().filter(|(key, entry)| matches(key, entry));
        let mut selected: Vec<(&Key, &Entry)> = matching.collect();
        selected.sort_by_key(|(_, entry)| order(entry));
        selected.truncate(MAX_OBSERVATIONS);
        let item = |(key, entry): (&Key, &Entry)| ObservationItem::of(*key, &entry.observation, now);
        selected.into_iter().map(item).collect()
    }

    fn random_peer(&mut self) -> u16 {
        random_peer(&mut self.rng, self.config.me, self.config.controllers - 1)
    }

    /// Appends a datagram to `out`. Returns `false` if the byte budget is exhausted.
    fn send(&mut self, now: Time, to: u16, is_request: bool, body: &Body, out: &mut Vec<Outgoing>) -> bool {
        let header = Header {
            incarnation: self.config.incarnation,
            sequence: self.last_sequence.wrapping_add(1),
            sent_ms: timestamp_ms(now),
            is_request,
        };
        let bytes = datagram::encode(header, body);
        if !self.send_budget.try_take(now, bytes.len()) {
            return false;
        }
        self.last_sequence = header.sequence;
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        out.push(Outgoing { to, bytes });
        true
    }
}

/// Change of severity caused by an observation. The first observation of a call server always counts as an update.
fn severity_change(known: Option<Observation>, new: &Observation) -> u8 {
    known.map_or(MIN_SEVERITY_CHANGE, |known| known.severity().distance(new.severity()))
}

/// A random controller other than `me`, out of `peers` peers.
fn random_peer(rng: &mut Pcg32, me: u16, peers: u16) -> u16 {
    let drawn = (rng.next_u32() % u32::from(peers)) as u16;
    drawn + u16::from(drawn >= me)
}
