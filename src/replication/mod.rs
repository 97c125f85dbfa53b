//! Replicated configuration and membership: numbered changes that reach every controller by themselves.
//!
//! Sans-IO: datagrams and times go into a [`Replica`], datagrams and [`Event`]s come out. `docs/replication.md` weighs the
//! ways and states the bounds.
//!
//! A few controllers are *sources*: they accept changes, each into a log of its own. Every controller is a replica: it
//! holds the current entry of each key, passes new changes on to members drawn at random (rumor), and compares what it
//! has with one member each second (anti-entropy). The highest stamp wins a key, on every replica alike. Who is a member
//! is itself an entry, written by the sources.
//!
//! Times are microseconds since 1970 by a clock that does not step back: the stamps of changes are made of them, and
//! deleted keys are forgotten by them.

mod acknowledgement;
mod anti_entropy;
mod entries;
mod log;
mod membership;
pub mod message;
mod rate;
mod residence;
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
use entries::{Entries, Merged};
pub use entries::{MAX_ENTRIES, TOMBSTONE_RETENTION};
use log::{ChangeLog, Offered};
pub use membership::{Member, MemberRecord, MAX_MEMBERS, MEMBER_PREFIX};
use membership::{Members, Residents};
use message::{cluster_tag, encoded_length, Change, Changes, Message, Summary};
pub use message::{MessageError, MAX_DATAGRAM, MAX_KEY_LENGTH, MAX_VALUE_LENGTH};
use rate::TokenBucket;
use residence::Standing;
use rumor::Rumors;
use snapshot::Pull;
pub use version::{Dot, Epoch, SourceId, SourceVersion, Stamp, VersionVector};
use version::{MAX_EPOCH, MAX_NUMBER, MAX_SOURCES};

/// Bytes of a datagram that are left for changes.
const ROOM_FOR_CHANGES: usize = MAX_DATAGRAM - 32;
/// A new change is passed on for so many intervals of anti-entropy at most.
const RUMOR_COMPARISONS: u64 = 2;
/// One part in so many of a second's bytes is kept from rumors, for comparisons and answers.
const RESERVED_PART: usize = 2;
/// Conflicts that are kept for the operators to see.
const MAX_CONFLICTS: usize = 64;
/// Events that wait to be taken; the oldest go first.
const MAX_EVENTS: usize = 16_384;
/// Datagrams that wait for the next poll.
const MAX_OUTBOX: usize = 512;
/// How often deleted keys are looked at.
const EXPIRY_INTERVAL: Span = Span::from_millis(60_000);

/// How a controller takes part.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicaConfig {
    /// The name of the cluster: datagrams of another one are dropped.
    pub cluster: String,
    /// Its name among the members.
    pub name: String,
    /// Where it sends from and is reached.
    pub address: SocketAddr,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Its service.
    pub service: String,
    /// Higher in each life of the process than in the one before, such as the seconds since 1970 at its start.
    pub incarnation: u32,
    /// Its number, if it is a source.
    pub source: Option<SourceId>,
    /// Where the sources are reached, the preferred home first: best one of the same region and another zone, so that a
    /// zone never fails together with the homes of its members.
    pub seeds: Vec<SocketAddr>,
    /// For random draws.
    pub seed: u64,
    /// How many members a new change is passed on to in a round.
    pub fanout: u16,
    /// The time between two rounds while there is something to pass on.
    pub rumor_interval: Span,
    /// The time between two comparisons with another member.
    pub anti_entropy_interval: Span,
    /// The time between two heartbeats.
    pub heartbeat_interval: Span,
    /// A member that misses so many in a row is removed.
    pub missed_heartbeats: u32,
    /// A source that nobody answers for so long accepts changes by itself.
    pub bootstrap_after: Span,
    /// Bytes a second that it sends at most, over any long while.
    pub bytes_per_second: u32,
    /// Bytes a second of snapshots that it sends at most, over any long while.
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
    /// A member not heard for so long is gone; half a heartbeat more than the missed ones, for delays.
    fn silence(&self) -> Span {
        Span(self.heartbeat_interval.0 * u64::from(self.missed_heartbeats) + self.heartbeat_interval.0 / 2)
    }
}

/// Says which settings a controller can use.
pub trait Validator {
    /// Why the value cannot be in force here; `None`: the key is deleted.
    fn validate(&self, key: &str, value: Option<&[u8]>) -> Result<(), String>;
}

/// Why a change was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum ProposeError {
    /// Only sources accept changes.
    #[error("not a source")]
    NotASource,
    /// It has not caught up with the other members yet.
    #[error("not caught up with the other members yet")]
    NotCaughtUp,
    /// The value is not valid.
    #[error("{0}")]
    Invalid(String),
    /// The key is empty or longer than [`MAX_KEY_LENGTH`].
    #[error("a key has 1 to {MAX_KEY_LENGTH} bytes, not {0}")]
    KeyLength(usize),
    /// The value is longer than [`MAX_VALUE_LENGTH`].
    #[error("a value has {MAX_VALUE_LENGTH} bytes at most, not {0}")]
    ValueTooLong(usize),
    /// Members are written by joining and leaving.
    #[error("keys of members are not set by hand")]
    MemberKey,
    /// There are [`MAX_ENTRIES`] keys.
    #[error("{MAX_ENTRIES} keys are all that there can be")]
    Full,
}

/// Two sides have changed a key without knowing of each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Conflict {
    /// The key.
    pub key: Arc<str>,
    /// The change that is current.
    pub winner: Stamp,
    /// The change that is not.
    pub loser: Stamp,
    /// What the loser would have set.
    pub lost_value: Option<Bytes>,
}

/// What happened.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// A key has another value in force here, or none any more.
    ValueChanged {
        /// The key.
        key: String,
    },
    /// The current value of a key is not valid here: the one before stays in force.
    Rejected {
        /// The key.
        key: String,
        /// What is wrong with it.
        why: String,
    },
    /// Two sides have changed a key without knowing of each other.
    Conflict {
        /// The key.
        key: String,
        /// The change that is current.
        winner: Stamp,
        /// The change that is not.
        loser: Stamp,
    },
    /// A member joined.
    MemberJoined {
        /// Its name.
        name: String,
    },
    /// A member left or was removed.
    MemberLeft {
        /// Its name.
        name: String,
    },
    /// This controller has become a member.
    Joined,
    /// This controller was removed; it joins again by itself.
    Removed,
    /// Another process has joined under this controller's name: this one takes no part any more.
    Replaced,
    /// It has caught up with the other members.
    CaughtUp,
}

/// Plain counts.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ReplicaCounts {
    /// Datagrams sent.
    pub sent: u64,
    /// Their bytes.
    pub sent_bytes: u64,
    /// Bytes of snapshot pieces among them.
    pub snapshot_bytes: u64,
    /// Datagrams received.
    pub received: u64,
    /// Their bytes.
    pub received_bytes: u64,
    /// Datagrams dropped: of another cluster or of a stranger.
    pub dropped: u64,
    /// Datagrams that cannot be read.
    pub malformed: u64,
    /// Datagrams or rounds put off for want of bytes.
    pub deferred: u64,
    /// Snapshots pulled.
    pub snapshots: u64,
    /// Changes of a key by two sides that did not know of each other.
    pub conflicts: u64,
    /// Changes not valid here.
    pub rejected: u64,
    /// Changes received, with those that were known.
    pub changes_received: u64,
}

/// One controller's replica.
pub struct Replica {
    config: ReplicaConfig,
    cluster: u64,
    validator: Box<dyn Validator>,
    rng: Pcg32,
    entries: Entries,
    logs: [ChangeLog; MAX_SOURCES],
    vector: VersionVector,
    rumors: Rumors,
    pull: Option<Pull>,
    members: Members,
    /// Members told of by a source that were no members here yet.
    introduced: Vec<SocketAddr>,
    standing: Standing,
    residents: Residents,
    summaries: [Option<Summary>; MAX_SOURCES],
    /// When each of the other sources told its summary last.
    sources_heard: [Option<Time>; MAX_SOURCES],
    /// The epoch of the log that this life of the source writes.
    epoch: Option<Epoch>,
    /// The highest time of all stamps seen.
    clock_millis: u64,
    /// It has caught up with the others.
    ready: bool,
    events: VecDeque<Event>,
    conflicts: VecDeque<Conflict>,
    outbox: Vec<(SocketAddr, Vec<u8>)>,
    bytes: TokenBucket,
    snapshot_bytes: TokenBucket,
    counts: ReplicaCounts,
    last_poll: Time,
    last_contact: Time,
    /// When a member that has caught up was heard last.
    last_ready_peer: Time,
    next_round: Time,
    next_digest: Time,
    next_heartbeat: Time,
    next_expiry: Time,
}

impl Replica {
    /// One that knows nothing yet.
    pub fn new(config: ReplicaConfig, validator: Box<dyn Validator>, now: Time) -> Replica {
        Replica {
            cluster: cluster_tag(&config.cluster),
            validator,
            rng: Pcg32::seed_from_u64(config.seed),
            entries: Entries::new(),
            logs: Default::default(),
            vector: VersionVector::default(),
            rumors: Rumors::default(),
            pull: None,
            members: Members::default(),
            introduced: Vec::new(),
            standing: Standing::new(config.incarnation),
            residents: Residents::default(),
            summaries: Default::default(),
            sources_heard: Default::default(),
            epoch: None,
            clock_millis: 0,
            ready: false,
            events: VecDeque::new(),
            conflicts: VecDeque::new(),
            outbox: Vec::new(),
            bytes: TokenBucket::new(config.bytes_per_second, now),
            snapshot_bytes: TokenBucket::new(config.snapshot_bytes_per_second, now),
            counts: ReplicaCounts::default(),
            last_poll: now,
            last_contact: now,
            last_ready_peer: now,
            next_round: now,
            next_digest: now,
            next_heartbeat: now,
            next_expiry: now.plus(EXPIRY_INTERVAL),
            config,
        }
    }

    /// A datagram came.
    pub fn receive(&mut self, now: Time, from: SocketAddr, bytes: &[u8]) -> Result<(), MessageError> {
        self.counts.received += 1;
        self.counts.received_bytes += bytes.len() as u64;
        let message = match Message::decode(self.cluster, bytes) {
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
        if !self.takes_part() {
            return Ok(());
        }
        if !matches!(message, Message::Join(_)) && !self.is_peer(from) {
            self.counts.dropped += 1;
            return Err(MessageError::UnknownSender(from));
        }
        self.discard_if_away_too_long(now);
        self.last_contact = now;
        self.handle(now, from, message);
        Ok(())
    }

    /// Takes what has fallen due by `now`: datagrams to send.
    pub fn poll(&mut self, now: Time, out: &mut Vec<(SocketAddr, Vec<u8>)>) {
        if !self.takes_part() {
            self.outbox.clear();
            return;
        }
        if now.since(self.last_poll) > Span(2 * self.config.heartbeat_interval.0) {
            // This process stood still: what it did not hear was not silence.
            self.forgive_silence(now);
        }
        self.last_poll = self.last_poll.max(now);
        self.bootstrap(now);
        if now >= self.next_heartbeat {
            self.next_heartbeat = now.plus(self.config.heartbeat_interval);
            self.keep_membership(now);
        }
        if now >= self.next_digest {
            self.compare_with_a_member(now);
        }
        if now >= self.next_round && !self.rumors.is_empty() {
            self.pass_on(now);
        }
        self.continue_pull(now);
        if now >= self.next_expiry {
            self.next_expiry = now.plus(EXPIRY_INTERVAL);
            self.entries.expire(now);
        }
        out.append(&mut self.outbox);
    }

    /// When [`Replica::poll`] is to be called next; a time that has passed: at once.
    pub fn next_due(&self) -> Time {
        if !self.takes_part() {
            return Time(u64::MAX);
        }
        if !self.outbox.is_empty() {
            return self.last_poll;
        }
        let usual = self.next_heartbeat.min(self.next_digest).min(self.next_expiry);
        let round = if self.rumors.is_empty() { usual } else { usual.min(self.next_round) };
        self.pull.as_ref().map_or(round, |pull| round.min(pull.due()))
    }

    /// Accepts a change of a key, at a source; no value: the key is deleted.
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
        self.write(now, key, value)
    }

    /// What happened since this was asked last.
    pub fn take_events(&mut self) -> Vec<Event> {
        self.events.drain(..).collect()
    }

    /// The value of a key that is in force here.
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.entries.get(key)?.in_force()
    }

    /// The keys that begin so and have a value in force here, by key.
    pub fn values<'a>(&'a self, prefix: &'a str) -> impl Iterator<Item = (&'a str, &'a [u8])> {
        self.entries.with_prefix(prefix).filter_map(|(key, entry)| Some((key, entry.in_force()?)))
    }

    /// The stamp of the current change of a key, deleted or not.
    pub fn stamp(&self, key: &str) -> Option<Stamp> {
        self.entries.get(key).map(|entry| entry.change.stamp)
    }

    /// The members known here.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        self.members.iter()
    }

    /// What has been applied here.
    pub fn version(&self) -> &VersionVector {
        &self.vector
    }

    /// The hash of all entries: the same wherever they are the same.
    pub fn state_hash(&self) -> u64 {
        self.entries.hash()
    }

    /// Whether this replica has caught up with the others.
    pub fn is_caught_up(&self) -> bool {
        self.ready
    }

    /// The latest conflicts, the newest last.
    pub fn conflicts(&self) -> impl Iterator<Item = &Conflict> {
        self.conflicts.iter()
    }

    /// The keys whose current change is not valid here.
    pub fn rejected_keys(&self) -> impl Iterator<Item = &str> {
        self.entries.rejected().map(|change| change.key.as_ref())
    }

    /// Plain counts.
    pub fn counts(&self) -> ReplicaCounts {
        self.counts
    }

    /// A change by this source, of whatever key.
    fn write(&mut self, now: Time, key: &str, value: Option<&[u8]>) -> Result<Dot, ProposeError> {
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
        self.take_change(now, &Arc::new(Change { key: key.into(), value, stamp, seen }), true);
        Ok(stamp.dot)
    }

    /// The identity of this source's next change. A log that this life has not begun goes on in a new epoch.
    fn next_dot(&mut self, source: SourceId) -> Dot {
        let version = self.vector.get(source);
        if self.epoch == Some(version.epoch) && version.number < MAX_NUMBER {
            return Dot { source, epoch: version.epoch, number: version.number + 1 };
        }
        let epoch = Epoch(self.config.incarnation.max(version.epoch.0 + 1).min(MAX_EPOCH));
        self.epoch = Some(epoch);
        Dot { source, epoch, number: 1 }
    }

    /// Takes a change of another or of this source; `is_new`: it is to be passed on.
    fn take_change(&mut self, now: Time, change: &Arc<Change>, is_new: bool) {
        let source = change.stamp.dot.source;
        let offered = self.logs[source.index()].offer(change);
        self.vector.set(source, self.logs[source.index()].version());
        match offered {
            Offered::Known => self.rumors.heard_again(change.stamp),
            Offered::Early => self.compare_soon(now),
            Offered::FormerEpoch => {
                if self.apply(now, change) && is_new {
                    self.rumor(now, change.clone());
                }
            }
            Offered::Ready(changes) => {
                for change in changes {
                    self.apply(now, &change);
                    if is_new {
                        self.rumor(now, change);
                    }
                }
            }
        }
    }

    /// Merges a change into the entries; whether it is the current one of its key now.
    fn apply(&mut self, now: Time, change: &Arc<Change>) -> bool {
        self.clock_millis = self.clock_millis.max(change.stamp.millis);
        let wins = self.entries.get(&change.key).is_none_or(|held| held.change.stamp < change.stamp);
        let checked = if wins { self.check(change) } else { Ok(()) };
        match self.entries.merge(now, change, checked.is_ok()) {
            Merged::Unchanged | Merged::Full => false,
            Merged::Lost { winner, concurrent } => {
                if concurrent {
                    self.report_conflict(winner, change);
                }
                false
            }
            Merged::Won { conflicting } => {
                if let Some(loser) = conflicting {
                    self.report_conflict(change.stamp, &loser);
                }
                self.report_current(now, change, checked);
                true
            }
        }
    }

    fn check(&self, change: &Change) -> Result<(), String> {
        if change.key.starts_with(MEMBER_PREFIX) {
            let readable = change.value.as_ref().is_none_or(|value| MemberRecord::read(value).is_some());
            return if readable { Ok(()) } else { Err("no record of a member".to_string()) };
        }
        self.validator.validate(&change.key, change.value.as_deref())
    }

    fn report_current(&mut self, now: Time, change: &Arc<Change>, checked: Result<(), String>) {
        if let Err(why) = checked {
            self.counts.rejected += 1;
            self.report(Event::Rejected { key: change.key.to_string(), why });
            return;
        }
        match change.key.strip_prefix(MEMBER_PREFIX) {
            Some(name) => self.member_changed(now, name, change.value.as_deref()),
            None => self.report(Event::ValueChanged { key: change.key.to_string() }),
        }
    }

    /// Conflicts about members are no news: whoever is wrong about one is told by the member itself.
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
        self.report(Event::Conflict { key: loser.key.to_string(), winner, loser: loser.stamp });
    }

    fn report(&mut self, event: Event) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(event);
    }

    fn rumor(&mut self, now: Time, change: Arc<Change>) {
        let rounds = rumor::rounds(self.members.len(), self.config.fanout);
        self.rumors.add(now, change, rounds);
    }

    /// Passes the newest changes on to members drawn at random.
    fn pass_on(&mut self, now: Time) {
        self.next_round = now.plus(self.config.rumor_interval);
        let fanout = usize::from(self.config.fanout.max(1));
        self.rumors.expire(now, Span(RUMOR_COMPARISONS * self.config.anti_entropy_interval.0));
        let reserved = self.config.bytes_per_second as usize / RESERVED_PART;
        let available = self.bytes.available(now).saturating_sub(reserved);
        let affordable = (available / fanout).saturating_sub(MAX_DATAGRAM - ROOM_FOR_CHANGES);
        let changes = self.rumors.next_round(affordable.min(ROOM_FOR_CHANGES));
        if changes.is_empty() {
            self.counts.deferred += u64::from(!self.rumors.is_empty());
            return;
        }
        let message = Message::Changes(Changes { changes, more: false, rumor: true });
        for _ in 0..fanout {
            if let Some(to) = self.draw_peer() {
                self.send_if_affordable(now, to, &message);
            }
        }
    }

    /// A member drawn at random; a seed, while no member is known.
    fn draw_peer(&mut self) -> Option<SocketAddr> {
        let member = self.members.draw(&mut self.rng, self.config.address);
        member.or_else(|| self.draw_seed())
    }

    /// A seed drawn at random, or a member that a source told of.
    fn draw_seed(&mut self) -> Option<SocketAddr> {
        let own = self.config.address;
        let known = self.config.seeds.iter().chain(&self.introduced).filter(|address| **address != own);
        let known: Vec<SocketAddr> = known.copied().collect();
        let drawn = self.rng.next_u32() as usize;
        (!known.is_empty()).then(|| known[drawn % known.len()])
    }

    fn is_peer(&self, address: SocketAddr) -> bool {
        self.members.at(address).is_some()
            || self.config.seeds.contains(&address)
            || self.introduced.contains(&address)
    }

    /// Sends what must not wait.
    fn send(&mut self, now: Time, to: SocketAddr, message: &Message) {
        let bytes = message.encode(self.cluster);
        self.bytes.take(now, bytes.len());
        self.put_out(to, bytes);
    }

    /// Sends what may be lost, if the bytes are there.
    fn send_if_affordable(&mut self, now: Time, to: SocketAddr, message: &Message) -> bool {
        let bytes = message.encode(self.cluster);
        let affordable = self.bytes.try_take(now, bytes.len());
        if affordable {
            self.put_out(to, bytes);
        } else {
            self.counts.deferred += 1;
        }
        affordable
    }

    /// Sends a part of a snapshot, if the bytes are there.
    fn send_snapshot(&mut self, now: Time, to: SocketAddr, message: &Message) {
        let bytes = message.encode(self.cluster);
        if self.snapshot_bytes.try_take(now, bytes.len()) {
            self.counts.snapshot_bytes += bytes.len() as u64;
            self.put_out(to, bytes);
        } else {
            self.counts.deferred += 1;
        }
    }

    fn put_out(&mut self, to: SocketAddr, bytes: Vec<u8>) {
        if self.outbox.len() >= MAX_OUTBOX {
            self.counts.deferred += 1;
            return;
        }
        self.counts.sent += 1;
        self.counts.sent_bytes += bytes.len() as u64;
        self.outbox.push((to, bytes));
    }

    /// A share drawn evenly from 0 to 1.
    fn draw_share(&mut self) -> f64 {
        f64::from(self.rng.next_u32()) / f64::from(u32::MAX)
    }
}

/// What the writer of the next change of a key has seen: the held change and what its writer had seen.
fn seen_after(held: &Change) -> Box<[Dot]> {
    let dot = held.stamp.dot;
    let others = held.seen.iter().filter(|seen| seen.source != dot.source);
    others.copied().chain([dot]).collect()
}

/// Splits changes into lists that fit a datagram each.
fn into_datagrams(changes: impl Iterator<Item = Arc<Change>>, most: usize) -> (Vec<Vec<Arc<Change>>>, bool) {
    let mut datagrams: Vec<Vec<Arc<Change>>> = Vec::new();
    let mut room = 0;
    for change in changes {
        let length = encoded_length(&change);
        let full = datagrams.last().is_none_or(|last| length > room || last.len() == message::MAX_CHANGES);
        if full {
            if datagrams.len() == most {
                return (datagrams, true);
            }
            datagrams.push(Vec::new());
            room = ROOM_FOR_CHANGES;
        }
        room = room.saturating_sub(length);
        if let Some(last) = datagrams.last_mut() {
            last.push(change);
        }
    }
    (datagrams, false)
}
