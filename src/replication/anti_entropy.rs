//! Anti-entropy: compares states with another member, and transfers missing changes or, if too many, a snapshot.

use std::net::SocketAddr;
use std::sync::Arc;

use super::message::{encoded_length, Change, Changes, Digest, Hashes, Message, Piece, PieceRequest};
use super::message::{MAX_CHANGES, MAX_DATAGRAM};
use super::snapshot::Pull;
use super::version::VersionVector;
use super::{into_datagrams, Event, Replica, TOMBSTONE_RETENTION};
use crate::interface::{Span, Time};

/// Maximum number of missing changes that are sent one by one; beyond that a snapshot takes fewer bytes.
const MAX_MISSING_CHANGES: usize = 256;
/// Maximum number of datagrams of changes in one answer.
const MAX_ANSWER_DATAGRAMS: usize = 4;
/// Probability that a comparison is made with a seed, so that groups of members that have removed each other still
/// reconnect.
const SEED_PROBABILITY: f64 = 1.0 / 8.0;
/// Rumor rounds until the next comparison while changes are known to be missing.
const SOON_ROUNDS: u64 = 4;
/// Members from which a snapshot is pulled besides the one that sent the hashes.
const EXTRA_PULL_MEMBERS: usize = 3;
/// Maximum bytes of a snapshot piece besides its entries, with the longest key and vectors of all sources.
const PIECE_OVERHEAD: usize = 280;

impl Replica {
    /// Sends a digest of this replica's state to one member.
    pub(super) fn start_comparison(&mut self, now: Time) {
        let spread = 0.75 + self.random_fraction() / 2.0;
        self.next_digest = now.plus(self.config.anti_entropy_interval.scale(spread));
        if !self.ready {
            self.compare_soon(now);
        }
        let from_seeds = self.random_fraction() < SEED_PROBABILITY;
        let peer = if from_seeds { self.random_seed_address() } else { self.random_peer() };
        if let Some(to) = peer {
            let digest = self.digest(false);
            self.send_if_affordable(now, to, &digest);
        }
    }

    /// Schedules the next comparison early, since changes are known to be missing.
    pub(super) fn compare_soon(&mut self, now: Time) {
        self.next_digest = self.next_digest.min(now.plus(Span(self.config.rumor_interval.0 * SOON_ROUNDS)));
    }

    fn digest(&self, reply: bool) -> Message {
        let (vector, hash) = (self.vector, self.entries.hash());
        Message::Digest(Digest { vector, hash, ready: self.ready, reply })
    }

    fn hashes(&self, reply: bool) -> Message {
        let hashes = self.entries.partition_hashes();
        Message::Hashes(Hashes { vector: self.vector, hashes, ready: self.ready, reply })
    }

    /// Handles the digest of a member: sends what the member misses, and asks for what is missing here.
    pub(super) fn handle_digest(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        self.note_peer_readiness(now, digest.ready);
        let ahead = !digest.vector.is_at_least(&self.vector);
        let behind = !self.vector.is_at_least(&digest.vector);
        if behind && !digest.reply {
            let answer = self.digest(true);
            self.send_if_affordable(now, from, &answer);
        }
        if ahead {
            self.send_missing_changes(now, from, &digest.vector);
        } else if !behind && digest.hash != self.entries.hash() {
            let hashes = self.hashes(false);
            self.send_snapshot(now, from, &hashes);
        } else if !behind && digest.ready {
            self.mark_caught_up();
        }
    }

    /// Sends the changes that a member misses, or the partition hashes if the changes are too many or no longer
    /// retained.
    fn send_missing_changes(&mut self, now: Time, to: SocketAddr, vector: &VersionVector) {
        let Some(missing) = self.missing_changes(vector) else {
            let hashes = self.hashes(false);
            self.send_snapshot(now, to, &hashes);
            return;
        };
        let (datagrams, more) = into_datagrams(missing.into_iter(), MAX_ANSWER_DATAGRAMS);
        let last = datagrams.len().saturating_sub(1);
        for (index, changes) in datagrams.into_iter().enumerate() {
            let message = Message::Changes(Changes { changes, more: more && index == last, rumor: false });
            if !self.send_if_affordable(now, to, &message) {
                return;
            }
        }
    }

    /// Returns the changes applied here that `vector` does not include; `None` if they are too many or no longer
    /// retained.
    fn missing_changes(&self, vector: &VersionVector) -> Option<Vec<Arc<Change>>> {
        let mut missing = Vec::new();
        for (source, version) in self.vector.iter() {
            let theirs = vector.get(source);
            if theirs >= version {
                continue;
            }
            missing.extend(self.logs[source.index()].after(theirs)?.cloned());
            if missing.len() > MAX_MISSING_CHANGES {
                return None;
            }
        }
        Some(missing)
    }

    /// Handles a batch of changes.
    pub(super) fn handle_changes(&mut self, now: Time, from: SocketAddr, changes: &Changes) {
        self.counts.changes_received += changes.changes.len() as u64;
        for change in &changes.changes {
            self.accept_change(now, change, changes.rumor);
        }
        if changes.more {
            let digest = self.digest(false);
            self.send_if_affordable(now, from, &digest);
        }
    }

    /// Handles the partition hashes of a member: starts to pull the partitions that differ.
    pub(super) fn handle_hashes(&mut self, now: Time, from: SocketAddr, hashes: &Hashes) {
        self.note_peer_readiness(now, hashes.ready);
        let differing = self.entries.differing_partitions(&hashes.hashes);
        if differing.is_empty() {
            self.adopt_vector(now, &hashes.vector);
            if hashes.ready {
                self.mark_caught_up();
            }
            return;
        }
        let nothing_new = self.vector.is_at_least(&hashes.vector);
        if nothing_new && !hashes.reply {
            // Either side may hold entries that the other misses.
            let answer = self.hashes(true);
            self.send_snapshot(now, from, &answer);
        }
        if self.pull.is_some() {
            return;
        }
        let mut members = vec![from];
        if !nothing_new {
            members.extend((0..EXTRA_PULL_MEMBERS).filter_map(|_| self.random_peer()));
        }
        self.pull = Some(Pull::new(now, &differing, members, hashes.vector));
    }

    /// Sends the requests of the current pull that are due, or abandons the pull if it is stuck.
    pub(super) fn continue_pull(&mut self, now: Time) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        if pull.is_stuck(now) {
            self.pull = None;
            return;
        }
        for (to, request) in pull.requests(now) {
            self.send_if_affordable(now, to, &Message::PieceRequest(request));
        }
    }

    /// Answers a request for a snapshot piece.
    pub(super) fn handle_piece_request(&mut self, now: Time, from: SocketAddr, request: &PieceRequest) {
        let mut room = MAX_DATAGRAM - PIECE_OVERHEAD;
        let mut entries: Vec<Arc<Change>> = Vec::new();
        let mut more = false;
        for change in self.entries.in_partition(request.partition, &request.after) {
            let length = encoded_length(change);
            // A single entry always fits: its length is bounded.
            if !entries.is_empty() && (length > room || entries.len() == MAX_CHANGES) {
                more = true;
                break;
            }
            room = room.saturating_sub(length);
            entries.push(change.clone());
        }
        let after = request.after.clone();
        let (partition, vector, ready) = (request.partition, self.vector, self.ready);
        self.send_snapshot(
            now,
            from,
            &Message::Piece(Piece { partition, after, vector, ready, more, entries }),
        );
    }

    /// Handles a snapshot piece, and completes the pull with the last one.
    pub(super) fn handle_piece(&mut self, now: Time, from: SocketAddr, piece: &Piece) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        if !piece.ready && !pull.was_started_by(from) {
            return;
        }
        let last = piece.entries.last().filter(|_| piece.more).map(|change| change.key.as_ref());
        if !pull.accept_piece(now, piece.partition, &piece.after, last, &piece.vector) {
            return;
        }
        let common_vector = pull.common_vector();
        let done = pull.is_done();
        for change in &piece.entries {
            self.apply(now, change);
        }
        if done {
            self.pull = None;
            self.counts.snapshots += 1;
            self.adopt_vector(now, &common_vector);
            self.compare_soon(now);
            if piece.ready {
                self.mark_caught_up();
            }
        }
    }

    /// Advances the logs to `vector`, since the entries include everything in it.
    fn adopt_vector(&mut self, now: Time, vector: &VersionVector) {
        for (source, version) in vector.iter() {
            let changes = self.logs[source.index()].advance(version);
            self.vector.set(source, self.logs[source.index()].version());
            for change in changes {
                self.apply(now, &change);
            }
        }
    }

    fn note_peer_readiness(&mut self, now: Time, ready: bool) {
        if ready {
            self.last_ready_peer = now;
        }
    }

    fn mark_caught_up(&mut self) {
        if !self.ready {
            self.ready = true;
            self.emit(Event::CaughtUp);
        }
    }

    /// Lets a source accept changes if no caught-up member has answered for `bootstrap_after`.
    pub(super) fn bootstrap_if_alone(&mut self, now: Time) {
        let alone = now.since(self.last_ready_peer) >= self.config.bootstrap_after;
        if self.config.source.is_some() && !self.ready && alone {
            self.mark_caught_up();
        }
    }

    /// Discards the state after an isolation longer than tombstones are retained, since keys deleted in the meantime
    /// would be resurrected from here. Changes that this source itself wrote during the isolation are kept.
    pub(super) fn discard_if_away_too_long(&mut self, now: Time) {
        if now.since(self.last_contact) < TOMBSTONE_RETENTION {
            return;
        }
        let left_millis = self.last_contact.0 / 1_000;
        let source = self.config.source;
        self.entries
            .retain(|change| Some(change.stamp.dot.source) == source && change.stamp.millis >= left_millis);
        for index in 0..self.logs.len() {
            self.logs[index] = Default::default();
        }
        self.vector = VersionVector::default();
        (self.pull, self.epoch, self.ready) = (None, None, false);
        self.last_ready_peer = now;
        self.compare_soon(now);
    }
}
