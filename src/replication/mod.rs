//! Replicated configuration and membership: an eventually consistent key-value store that spreads by gossip.
//!
//! Sans-IO: datagrams and times go into a [`Replica`], datagrams and [`Event`]s come out. `docs/replication.md`
//! compares the alternatives and states the bounds.
//!
//! A few controllers are *sources*: they accept changes, each into a log of its own. Every controller is a replica: it
//! holds the current entry of each key, forwards new changes to randomly chosen members (rumor mongering), and compares
//! its state with one member each second (anti-entropy). Every replica resolves a key to the change with the highest
//! stamp (last writer wins). The membership list is itself a set of entries, written by the sources.
//!
//! Times are microseconds since 1970 from a clock that never steps back: stamps of changes and the expiry of tombstones
//! are derived from them.

mod acknowledgement;
mod anti_entropy;
mod entries;
mod log;
mod membership;
mod membership_protocol;
pub mod message;
mod rate;
mod rumor;
mod snapshot;
#[cfg(test)]
mod tests;
pub mod version;

use std::collections::VecDeque;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;

use crate::interface::{Span, Time};
pub use acknowledgement::Acknowledgement;
use entries::{Entries, MergeOutcome};
pub use entries::{MAX_ENTRIES, TOMBSTONE_RETENTION};
use log::{ChangeLog, OfferOutcome};
use membership::{HomeMembers, Members};
pub use membership::{Member, MemberRecord, MAX_MEMBERS, MEMBER_PREFIX};
use membership_protocol::OwnMembership;
use message::{cluster_tag, encoded_length, Change, Changes, Message, Summary};
pub use message::{MessageError, MAX_DATAGRAM, MAX_KEY_LENGTH, MAX_VALUE_LENGTH};
use rate::TokenBucket;
use rumor::Rumors;
use snapshot::Pull;
pub use version::{Dot, Epoch, SourceId, SourceVersion, Stamp, VersionVector};
use version::{MAX_EPOCH, MAX_NUMBER, MAX_SOURCES};

/// Bytes of a datagram that are available for changes.
const MAX_CHANGES_BYTES: usize = MAX_DATAGRAM - 32;
/// Maximum lifetime of a rumor, in anti-entropy intervals.
const RUMOR_LIFETIME_INTERVALS: u64 = 2;
/// Divisor for the share of each second's byte budget that rumors must leave for comparisons and answers.
const RESERVED_DIVISOR: usize = 2;
/// Maximum number of recent conflicts that are kept for operators.
const MAX_CONFLICTS: usize = 64;
/// Maximum number of queued events; the oldest are dropped first.
const MAX_EVENTS: usize = 16_384;
/// Maximum number of datagrams queued for the next poll.
const MAX_OUTBOX: usize = 512;
/// Interval between removals of expired tombstones.
const EXPIRY_INTERVAL: Span = Span::from_millis(60_000);

/// Configuration of a controller's replica.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaConfig {
    /// Name of the cluster; datagrams of other clusters are dropped.
    pub cluster: String,
    /// Unique name of this member.
    pub name: String,
    /// Address from which it sends and at which others reach it.
    pub address: SocketAddr,
    /// Region of this member.
    pub region: String,
    /// Zone of this member.
    pub zone: String,
    /// Service of this member.
    pub service: String,
    /// Incarnation of the process: higher than in every earlier run, such as the start time in seconds since 1970.
    pub incarnation: u32,
    /// Source number, if this controller is a source.
    pub source: Option<SourceId>,
    /// Addresses of the sources, the preferred home first. A source of the same region but another zone is best, so
    /// that a zone never fails together with the homes of its members.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Number of members to which a new change is sent in each round.
    pub fanout: u16,
    /// Time between two rumor rounds while there are rumors to send.
    pub rumor_interval: Span,
    /// Time between two comparisons with another member.
    pub anti_entropy_interval: Span,
    /// Time between two heartbeats.
    pub heartbeat_interval: Span,
    /// Number of consecutive missed heartbeats after which a member is removed.
    pub missed_heartbeats: u32,
    /// Time without an answer from a caught-up member after which a source accepts changes on its own.
    pub bootstrap_after: Span,
    /// Long-term limit of bytes sent per second, without snapshots.
    pub bytes_per_second: u32,
    /// Long-term limit of snapshot bytes sent per second.
    pub snapshot_bytes_per_second: u32,
}

impl Default for ReplicaConfig {
    fn default() -> Self {
        Self {
            cluster: String::new(),
            name: String::new(),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            region: String::new(),
            zone: String::new(),
            service: String::new(),
            incarnation: 1,
            source: None,
            seeds: Vec::new(),
            seed: 0,
            fanout: 3,
            rumor_interval: Span::from_millis(50),
            anti_entropy_interval: Span::from_millis(1_000),
            heartbeat_interval: Span::from_millis(1_000),
            missed_heartbeats: 8,
            bootstrap_after: Span::from_millis(10_000),
            bytes_per_second: 8_000,
            snapshot_bytes_per_second: 64_000,
        }
    }
}

impl ReplicaConfig {
    /// Time without a heartbeat after which a member is considered dead: the missed heartbeats, and half an interval
    /// more to allow for delays.
    fn silence_timeout(&self) -> Span {
        Span(self.heartbeat_interval.0 * u64::from(self.missed_heartbeats) + self.heartbeat_interval.0 / 2)
    }
}

/// Decides which values a controller can apply.
pub trait Validator {
    /// Returns an error with the reason if the value cannot take effect here. `None` means that the key is deleted.
    fn validate(&self, key: &str, value: Option<&[u8]>) -> Result<(), String>;
}

/// Reason why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Only sources accept changes.
    #[error("this controller is not a source")]
    NotASource,
    /// The source has not caught up with the other members yet.
    #[error("this source has not caught up with the other members yet")]
    NotCaughtUp,
    /// The validator rejected the value.
    #[error("{0}")]
    Invalid(String),
    /// The key is empty or longer than [`MAX_KEY_LENGTH`].
    #[error("key length must be 1 to {MAX_KEY_LENGTH} bytes, got {0}")]
    KeyLength(usize),
    /// The value is longer than [`MAX_VALUE_LENGTH`].
    #[error("value length must be at most {MAX_VALUE_LENGTH} bytes, got {0}")]
    ValueTooLong(usize),
    /// Keys of members change only when members join or leave.
    #[error("keys that begin with {MEMBER_PREFIX} are reserved for membership and cannot be set")]
    MemberKey,
    /// The limit of [`MAX_ENTRIES`] keys is reached.
    #[error("the limit of {MAX_ENTRIES} keys is reached")]
    Full,
}

/// Two concurrent changes of a key: neither writer knew of the other's change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The key.
    pub key: Arc<str>,
    /// Stamp of the change that is current.
    pub winner: Stamp,
    /// Stamp of the change that lost.
    pub loser: Stamp,
    /// Value of the losing change; `None` if it deleted the key.
    pub lost_value: Option<Bytes>,
}

/// Event for the owner of the replica.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The value of a key that is in force here has changed, or the key was deleted.
    ValueChanged {
        /// The key.
        key: String,
    },
    /// The current value of a key is not valid here; the previous one stays in force.
    Rejected {
        /// The key.
        key: String,
        /// Reason given by the validator.
        why: String,
    },
    /// Two concurrent changes of a key were found.
    Conflict {
        /// The key.
        key: String,
        /// Stamp of the change that is current.
        winner: Stamp,
        /// Stamp of the change that lost.
        loser: Stamp,
    },
    /// A member joined.
    MemberJoined {
        /// Name of the member.
        name: String,
    },
    /// A member left or was removed.
    MemberLeft {
        /// Name of the member.
        name: String,
    },
    /// This controller has become a member.
    Joined,
    /// This controller was removed from the members; it rejoins automatically.
    Removed,
    /// Another process has joined under this controller's name; this replica stops for good.
    Replaced,
    /// This replica has caught up with the other members.
    CaughtUp,
}

/// Counters of a replica.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes sent for snapshots, included in `sent_bytes`.
    pub snapshot_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Bytes received.
    pub received_bytes: u64,
    /// Datagrams dropped because they came from another cluster or from an unknown sender.
    pub dropped: u64,
    /// Datagrams that could not be decoded or had a field out of bounds.
    pub malformed: u64,
    /// Datagrams or rumor rounds deferred because the byte budget or the outbox was exhausted.
    pub deferred: u64,
    /// Snapshot pulls completed.
    pub snapshots: u64,
    /// Concurrent changes of a key.
    pub conflicts: u64,
    /// Changes that became current but are not valid here.
    pub rejected: u64,
    /// Changes received, including duplicates.
    pub changes_received: u64,
}

/// The replica of one controller.
pub struct Replica {
    config: ReplicaConfig,
    cluster_tag: u64,
    validator: Box<dyn Validator>,
    rng: Pcg32,
    entries: Entries,
    logs: [ChangeLog; MAX_SOURCES],
    vector: VersionVector,
    rumors: Rumors,
    pull: Option<Pull>,
    members: Members,
    /// Peers named by a source that may not be in the member list here yet.
    introduced_peers: Vec<SocketAddr>,
    membership: OwnMembership,
    home_members: HomeMembers,
    summaries: [Option<Summary>; MAX_SOURCES],
    /// When the last summary of each other source arrived.
    summaries_received_at: [Option<Time>; MAX_SOURCES],
    /// Epoch of the log that this run of the source writes; `None` until its first change.
    epoch: Option<Epoch>,
    /// Highest stamp time seen so far, for the hybrid logical clock.
    clock_millis: u64,
    /// Whether this replica has caught up with the others.
    ready: bool,
    events: VecDeque<Event>,
    conflicts: VecDeque<Conflict>,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    byte_budget: TokenBucket,
    snapshot_budget: TokenBucket,
    counts: ReplicaCounts,
    last_poll: Time,
    last_contact: Time,
    /// When a caught-up member last sent a digest or hashes.
    last_ready_peer: Time,
    next_rumor_round: Time,
    next_digest: Time,
    next_heartbeat: Time,
    next_expiry: Time,
}

impl Replica {
    /// Creates an empty replica that is not a member yet.
    pub fn new(config: ReplicaConfig, validator: Box<dyn Validator>, now: Time) -> Replica {
        Replica {
            cluster_tag: cluster_tag(&config.cluster),
            validator,
            rng: Pcg32::seed_from_u64(config.seed),
            entries: Entries::new(),
            logs: Default::default(),
            vector: VersionVector::default(),
            rumors: Rumors::default(),
            pull: None,
            members: Members::default(),
            introduced_peers: Vec::new(),
            membership: OwnMembership::new(config.incarnation),
            home_members: HomeMembers::default(),
            summaries: Default::default(),
            summaries_received_at: Default::default(),
            epoch: None,
            clock_millis: 0,
            ready: false,
            events: VecDeque::new(),
            conflicts: VecDeque::new(),
            outbox: Vec::new(),
            byte_budget: TokenBucket::new(config.bytes_per_second, now),
            snapshot_budget: TokenBucket::new(config.snapshot_bytes_per_second, now),
            counts: ReplicaCounts::default(),
            last_poll: now,
            last_contact: now,
            last_ready_peer: now,
            next_rumor_round: now,
            next_digest: now,
            next_heartbeat: now,
            next_expiry: now.plus(EXPIRY_INTERVAL),
            config,
        }
    }

    /// Processes a received datagram.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Result<(), MessageError> {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let message = match Message::decode(self.cluster_tag, bytes) {
            Ok(message) => message,
            Err(MessageError::OtherCluster) => {
                self.counts.dropped += 1;
                return Err(MessageError::OtherCluster);
            }
            Err(error) => {
                self.counts.malformed += 1;
                return Err(error);
            }
        };
        if !self.is_active() {
            return Ok(());
        }
        if !matches!(message, Message::Join(_)) && !self.is_peer(from) {
            self.counts.dropped += 1;
            return Err(MessageError::UnknownSender(from));
        }
        self.discard_if_away_too_long(now);
        self.last_contact = now;
        self.dispatch(now, from, message);
        Ok(())
    }

    /// Does everything that is due at `now` and appends the datagrams to send to `out`.
    pub fn poll(&mut self, now: Time, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        if !self.is_active() {
            self.outbox.clear();
            return;
        }
        if now.since(self.last_poll) > Span(2 * self.config.heartbeat_interval.0) {
            // This process was stalled: missing heartbeats in that time do not mean that members are dead.
            self.reset_silence_timers(now);
        }
        self.last_poll = self.last_poll.max(now);
        self.bootstrap_if_alone(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.plus(self.config.heartbeat_interval);
            self.maintain_membership(now);
        }
        if now >= self.next_digest {
            self.start_comparison(now);
        }
        if now >= self.next_rumor_round && !self.rumors.is_empty() {
            self.send_rumors(now);
        }
        self.continue_pull(now);
        if now >= self.next_expiry {
            self.next_expiry = now.plus(EXPIRY_INTERVAL);
            self.entries.expire(now);
        }
        out.append(&mut self.outbox);
    }

    /// When [`Replica::poll`] must be called next; a time in the past means immediately.
    pub fn next_due(&self) -> Time {
        if !self.is_active() {
            return Time(u64::MAX);
        }
        if !self.outbox.is_empty() {
            return self.last_poll;
        }
        let usual = self.next_heartbeat.min(self.next_digest).min(self.next_expiry);
        let round = if self.rumors.is_empty() { usual } else { usual.min(self.next_rumor_round) };
        self.pull.as_ref().map_or(round, |pull| round.min(pull.next_due()))
    }

    /// Accepts a change of a key at a source; `None` deletes the key.
    pub fn propose(&mut self, now: Time, key: &str, value: Option<&[u8]>) -> Result<Dot, ProposeError> {
        if key.is_empty() || key.len() > MAX_KEY_LENGTH {
            return Err(ProposeError::KeyLength(key.len()));
        }
        if key.starts_with(MEMBER_PREFIX) {
            return Err(ProposeError::MemberKey);
        }
        if let Some(value) = value.filter(|value| value.len() > MAX_VALUE_LENGTH) {
            return Err(ProposeError::ValueTooLong(value.len()));
        }
        self.validator.validate(key, value).map_err(ProposeError::Invalid)?;
        self.write_change(now, key, value)
    }

    /// Takes the events since the last call.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    /// Returns the value of a key that is in force here.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.entries.get(key)?.in_force()
    }

    /// Returns the keys with this prefix and their values in force here, in key order.
    pub fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.entries.with_prefix(prefix).filter_map(|(key, entry)| Some((key, entry.in_force()?)))
    }

    /// Returns the stamp of the current change of a key, even if that change deleted it.
    pub fn stamp(&self, key: &str) -> Option<Stamp> {
        self.entries.get(key).map(|entry| entry.change.stamp)
    }

    /// Returns the members known here.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// Returns the version vector of the changes applied here.
    pub fn version(&self) -> &VersionVector {
        &self.vector
    }

    /// Returns the hash of all entries; replicas with equal entries have equal hashes.
    pub fn state_hash(&self) -> u64 {
        self.entries.hash()
    }

    /// Whether this replica has caught up with the others.
    pub fn is_caught_up(&self) -> bool {
        self.ready
    }

    /// Returns the latest conflicts, the newest last.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }

    /// Returns the keys whose current change is not valid here.
    pub fn rejected_keys(&self) -> impl Iterator<Item = &str> {
        self.entries.rejected().map(|change| change.key.as_ref())
    }

    /// Returns the counters.
    pub fn counts(&self) -> ReplicaCounts {
        self.counts
    }

    /// Writes a change of any key, membership records included, as this source.
    fn write_change(&mut self, now: Time, key: &str, value: Option<&[u8]>) -> Result<Dot, ProposeError> {
        let Some(source) = self.config.source else {
            return Err(ProposeError::NotASource);
        };
        if !self.ready {
            return Err(ProposeError::NotCaughtUp);
        }
        let held = self.entries.get(key).map(|entry| entry.change.clone());
        if held.is_none() && self.entries.len() >= MAX_ENTRIES {
            return Err(ProposeError::Full);
        }
        let millis = (now.0 / 1_000).max(self.clock_millis + 1);
        let stamp = Stamp { millis, dot: self.next_dot(source) };
        let seen = held.map(|held| seen_after(&held)).unwrap_or_default();
        let value = value.map(Bytes::copy_from_slice);
        self.accept_change(now, &Arc::new(Change { key: key.into(), value, stamp, seen }), true);
        Ok(stamp.dot)
    }

    /// Returns the identity of this source's next change. A log that another run began, or that has no numbers left,
    /// continues in a new epoch.
    fn next_dot(&mut self, source: SourceId) -> Dot {
        let version = self.vector.get(source);
        if self.epoch == Some(version.epoch) && version.number < MAX_NUMBER {
            return Dot { source, epoch: version.epoch, number: version.number + 1 };
        }
        let epoch = Epoch(self.config.incarnation.max(version.epoch.0 + 1).min(MAX_EPOCH));
        self.epoch = Some(epoch);
        Dot { source, epoch, number: 1 }
    }

    /// Adds a change of any source to its log and applies it; `is_new` says whether it is forwarded as a rumor.
    fn accept_change(&mut self, now: Time, change: &Arc<Change>, is_new: bool) {
        let source = change.stamp.dot.source;
        let offered = self.logs[source.index()].offer(change);
        self.vector.set(source, self.logs[source.index()].version());
        match offered {
            OfferOutcome::Known => self.rumors.note_duplicate(change.stamp),
            OfferOutcome::OutOfOrder => self.compare_soon(now),
            OfferOutcome::PastEpoch => {
                if self.apply(now, change) && is_new {
                    self.start_rumor(now, change.clone());
                }
            }
            OfferOutcome::Ready(changes) => {
                for change in changes {
                    self.apply(now, &change);
                    if is_new {
                        self.start_rumor(now, change);
                    }
                }
            }
        }
    }

    /// Merges a change into the entries and returns whether it became the current change of its key.
    fn apply(&mut self, now: Time, change: &Arc<Change>) -> bool {
        self.clock_millis = self.clock_millis.max(change.stamp.millis);
        let wins = self.entries.get(&change.key).is_none_or(|held| held.change.stamp < change.stamp);
        let checked = if wins { self.check(change) } else { Ok(()) };
        match self.entries.merge(now, change, checked.is_ok()) {
            MergeOutcome::Unchanged | MergeOutcome::Full => false,
            MergeOutcome::Lost { winner, concurrent } => {
                if concurrent {
                    self.report_conflict(winner, change);
                }
                false
            }
            MergeOutcome::Won { conflicting } => {
                if let Some(loser) = conflicting {
                    self.report_conflict(change.stamp, &loser);
                }
                self.on_current_changed(now, change, checked);
                true
            }
        }
    }

    fn check(&self, change: &Change) -> Result<(), String> {
        if change.key.starts_with(MEMBER_PREFIX) {
            let readable = change.value.as_ref().is_none_or(|value| MemberRecord::decode(value).is_some());
            return if readable { Ok(()) } else { Err("not a valid member record".to_string()) };
        }
        self.validator.validate(&change.key, change.value.as_deref())
    }

    fn on_current_changed(&mut self, now: Time, change: &Arc<Change>, checked: Result<(), String>) {
        if let Err(why) = checked {
            self.counts.rejected += 1;
            self.emit(Event::Rejected { key: change.key.to_string(), why });
            return;
        }
        match change.key.strip_prefix(MEMBER_PREFIX) {
            Some(name) => self.member_changed(now, name, change.value.as_deref()),
            None => self.emit(Event::ValueChanged { key: change.key.to_string() }),
        }
    }

    /// Records a conflict. Conflicts over member records are ignored: the member itself corrects a wrong record.
    fn report_conflict(&mut self, winner: Stamp, loser: &Change) {
        if loser.key.starts_with(MEMBER_PREFIX) {
            return;
        }
        self.counts.conflicts += 1;
        if self.conflicts.len() == MAX_CONFLICTS {
            self.conflicts.pop_front();
        }
        let lost_value = loser.value.clone();
        self.conflicts.push_back(Conflict { key: loser.key.clone(), winner, loser: loser.stamp, lost_value });
        self.emit(Event::Conflict { key: loser.key.to_string(), winner, loser: loser.stamp });
    }

    fn emit(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    fn start_rumor(&mut self, now: Time, change: Arc<Change>) {
        let rounds = rumor::round_count(self.members.len(), self.config.fanout);
        self.rumors.add(now, change, rounds);
    }

    /// Sends the newest changes to randomly chosen members.
    fn send_rumors(&mut self, now: Time) {
        self.next_rumor_round = now.plus(self.config.rumor_interval);
        let fanout = usize::from(self.config.fanout.max(1));
        self.rumors.expire(now, Span(RUMOR_LIFETIME_INTERVALS * self.config.anti_entropy_interval.0));
        let reserved = self.config.bytes_per_second as usize / RESERVED_DIVISOR;
        let available = self.byte_budget.available(now).saturating_sub(reserved);
        let affordable = (available / fanout).saturating_sub(MAX_DATAGRAM - MAX_CHANGES_BYTES);
        let changes = self.rumors.next_round(affordable.min(MAX_CHANGES_BYTES));
        if changes.is_empty() {
            self.counts.deferred += u64::from(!self.rumors.is_empty());
            return;
        }
        let message = Message::Changes(Changes { changes, more: false, rumor: true });
        for _ in 0..fanout {
            if let Some(to) = self.random_peer() {
                self.send_if_affordable(now, to, &message);
            }
        }
    }

    /// Returns a random member, or a random seed while no other member is known.
    fn random_peer(&mut self) -> Option<SocketAddr> {
        let member = self.members.random_address(&mut self.rng, self.config.address);
        member.or_else(|| self.random_seed_address())
    }

    /// Returns a random seed, or a peer that a source introduced.
    fn random_seed_address(&mut self) -> Option<SocketAddr> {
        let own = self.config.address;
        let known = self.config.seeds.iter().chain(&self.introduced_peers).filter(|address| **address != own);
        let known: Vec<SocketAddr> = known.copied().collect();
        let drawn = self.rng.next_u32() as usize;
        (!known.is_empty()).then(|| known[drawn % known.len()])
    }

    fn is_peer(&self, address: SocketAddr) -> bool {
        self.members.by_address(address).is_some()
            || self.config.seeds.contains(&address)
            || self.introduced_peers.contains(&address)
    }

    /// Sends a message that must not be deferred, even beyond the byte budget.
    fn send(&mut self, now: Time, to: SocketAddr, message: &Message) {
        let bytes = message.encode(self.cluster_tag);
        self.byte_budget.take_with_debt(now, bytes.len());
        self.enqueue(to, bytes);
    }

    /// Sends a message that may be lost, if the byte budget allows it; returns whether it did.
    fn send_if_affordable(&mut self, now: Time, to: SocketAddr, message: &Message) -> bool {
        let bytes = message.encode(self.cluster_tag);
        let affordable = self.byte_budget.try_take(now, bytes.len());
        if affordable {
            self.enqueue(to, bytes);
        } else {
            self.counts.deferred += 1;
        }
        affordable
    }

    /// Sends a part of a snapshot, if the snapshot budget allows it.
    fn send_snapshot(&mut self, now: Time, to: SocketAddr, message: &Message) {
        let bytes = message.encode(self.cluster_tag);
        if self.snapshot_budget.try_take(now, bytes.len()) {
            self.counts.snapshot_bytes += bytes.len() as u64;
            self.enqueue(to, bytes);
        } else {
            self.counts.deferred += 1;
        }
    }

    fn enqueue(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if self.outbox.len() >= MAX_OUTBOX {
            self.counts.deferred += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.outbox.push((to, bytes));
    }

    /// Returns a random number, uniformly distributed from 0 to 1.
    fn random_fraction(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}

/// Returns the causal history for the next change of a key: the held change, and what its writer had seen.
fn seen_after(held: &Change) -> Box<[Dot]> {
    let dot = held.stamp.dot;
    let others = held.seen.iter().filter(|seen| seen.source != dot.source);
    others.copied().chain([dot]).collect()
}

/// Splits changes into lists that each fit a datagram; the flag says that changes remain after `max_datagrams` lists.
fn into_datagrams(
    changes: impl Iterator<Item = Arc<Change>>,
    max_datagrams: usize,
) -> (Vec<Vec<Arc<Change>>>, bool) {
    let mut datagrams: Vec<Vec<Arc<Change>>> = Vec::new();
    let mut room = 0;
    for change in changes {
        let length = encoded_length(&change);
        let full = datagrams.last().is_none_or(|last| length > room || last.len() == message::MAX_CHANGES);
        if full {
            if datagrams.len() == max_datagrams {
                return (datagrams, true);
            }
            datagrams.push(Vec::new());
            room = MAX_CHANGES_BYTES;
        }
        room = room.saturating_sub(length);
        if let Some(last) = datagrams.last_mut() {
            last.push(change);
        }
    }
    (datagrams, false)
}
