//! Comparing with another member: changes that one lacks, and snapshots where changes are not enough.

use std::net::SocketAddr;
use std::sync::Arc;

use super::message::{encoded_length, Change, Changes, Digest, Hashes, Message, Piece, PieceRequest};
use super::message::{MAX_CHANGES, MAX_DATAGRAM};
use super::snapshot::Pull;
use super::version::VersionVector;
use super::{into_datagrams, Event, Replica, TOMBSTONE_RETENTION};
use crate::interface::{Span, Time};

/// Changes that a member may lack and still be told one by one; beyond that a snapshot takes fewer bytes.
const MAX_LACKING: usize = 256;
/// Datagrams of changes in one answer.
const MAX_ANSWER: usize = 4;
/// One comparison in so many is made with a seed: members forgotten on both sides find each other again.
const SEED_DRAWS: f64 = 1.0 / 8.0;
/// While something is known to be lacking, the next comparison comes after so many rounds.
const SOON_ROUNDS: u64 = 4;
/// Other members that a snapshot is pulled from besides the one that told the hashes.
const PULL_HELPERS: usize = 3;
/// Bytes of a piece that are not entries, with the longest key and vectors of all sources.
const PIECE_HEAD: usize = 280;

impl Replica {
    /// Tells one member what there is here.
    pub(super) fn compare_with_a_member(&mut self, now: Time) {
        let spread = 0.75 + self.draw_share() / 2.0;
        self.next_digest = now.plus(self.config.anti_entropy_interval.share(spread));
        if !self.ready {
            self.compare_soon(now);
        }
        let from_seeds = self.draw_share() < SEED_DRAWS;
        let peer = if from_seeds { self.draw_seed() } else { self.draw_peer() };
        if let Some(to) = peer {
            let digest = self.digest(false);
            self.send_if_affordable(now, to, &digest);
        }
    }

    /// Something is known to be lacking.
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

    /// A member told what it has.
    pub(super) fn take_digest(&mut self, now: Time, from: SocketAddr, digest: &Digest) {
        self.heard_peer(now, digest.ready);
        let ahead = !digest.vector.is_at_least(&self.vector);
        let behind = !self.vector.is_at_least(&digest.vector);
        if behind && !digest.reply {
            let answer = self.digest(true);
            self.send_if_affordable(now, from, &answer);
        }
        if ahead {
            self.tell_lacking(now, from, &digest.vector);
        } else if !behind && digest.hash != self.entries.hash() {
            let hashes = self.hashes(false);
            self.send_snapshot(now, from, &hashes);
        } else if !behind && digest.ready {
            self.caught_up();
        }
    }

    /// Sends the changes that a member lacks, or the hashes if they are too many or not kept any more.
    fn tell_lacking(&mut self, now: Time, to: SocketAddr, vector: &VersionVector) {
        let Some(lacking) = self.lacking(vector) else {
            let hashes = self.hashes(false);
            self.send_snapshot(now, to, &hashes);
            return;
        };
        let (datagrams, more) = into_datagrams(lacking.into_iter(), MAX_ANSWER);
        let last = datagrams.len().saturating_sub(1);
        for (place, changes) in datagrams.into_iter().enumerate() {
            let message = Message::Changes(Changes { changes, more: more && place == last, rumor: false });
            if !self.send_if_affordable(now, to, &message) {
                return;
            }
        }
    }

    fn lacking(&self, vector: &VersionVector) -> Option<Vec<Arc<Change>>> {
        let mut lacking = Vec::new();
        for (source, version) in self.vector.iter() {
            let theirs = vector.get(source);
            if theirs >= version {
                continue;
            }
            lacking.extend(self.logs[source.index()].after(theirs)?.cloned());
            if lacking.len() > MAX_LACKING {
                return None;
            }
        }
        Some(lacking)
    }

    /// Changes came.
    pub(super) fn take_changes(&mut self, now: Time, from: SocketAddr, changes: &Changes) {
        self.counts.changes_received += changes.changes.len() as u64;
        for change in &changes.changes {
            self.take_change(now, change, changes.rumor);
        }
        if changes.more {
            let digest = self.digest(false);
            self.send_if_affordable(now, from, &digest);
        }
    }

    /// A member told the hashes of its partitions: those that differ are pulled.
    pub(super) fn take_hashes(&mut self, now: Time, from: SocketAddr, hashes: &Hashes) {
        self.heard_peer(now, hashes.ready);
        let differing = self.entries.differing(&hashes.hashes);
        if differing.is_empty() {
            self.adopt(now, &hashes.vector);
            if hashes.ready {
                self.caught_up();
            }
            return;
        }
        let nothing_new = self.vector.is_at_least(&hashes.vector);
        if nothing_new && !hashes.reply {
            // Each may hold what the other lacks.
            let answer = self.hashes(true);
            self.send_snapshot(now, from, &answer);
        }
        if self.pull.is_some() {
            return;
        }
        let mut members = vec![from];
        if !nothing_new {
            members.extend((0..PULL_HELPERS).filter_map(|_| self.draw_peer()));
        }
        self.pull = Some(Pull::new(now, &differing, members, hashes.vector));
    }

    /// Sends the requests of the pull that have fallen due.
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

    /// A member asks for a piece.
    pub(super) fn take_piece_request(&mut self, now: Time, from: SocketAddr, request: &PieceRequest) {
        let mut room = MAX_DATAGRAM - PIECE_HEAD;
        let mut entries: Vec<Arc<Change>> = Vec::new();
        let mut more = false;
        for change in self.entries.of_partition(request.partition, &request.after) {
            let length = encoded_length(change);
            // One always fits: its length is bounded.
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

    /// A piece came.
    pub(super) fn take_piece(&mut self, now: Time, from: SocketAddr, piece: &Piece) {
        let Some(pull) = &mut self.pull else {
            return;
        };
        if !piece.ready && !pull.is_begun_by(from) {
            return;
        }
        let last = piece.entries.last().filter(|_| piece.more).map(|change| change.key.as_ref());
        if !pull.take(now, piece.partition, &piece.after, last, &piece.vector) {
            return;
        }
        let told = pull.told();
        let done = pull.is_done();
        for change in &piece.entries {
            self.apply(now, change);
        }
        if done {
            self.pull = None;
            self.counts.snapshots += 1;
            self.adopt(now, &told);
            self.compare_soon(now);
            if piece.ready {
                self.caught_up();
            }
        }
    }

    /// All that is in `vector` is in the entries.
    fn adopt(&mut self, now: Time, vector: &VersionVector) {
        for (source, version) in vector.iter() {
            let changes = self.logs[source.index()].advance(version);
            self.vector.set(source, self.logs[source.index()].version());
            for change in changes {
                self.apply(now, &change);
            }
        }
    }

    fn heard_peer(&mut self, now: Time, ready: bool) {
        if ready {
            self.last_ready_peer = now;
        }
    }

    fn caught_up(&mut self) {
        if !self.ready {
            self.ready = true;
            self.report(Event::CaughtUp);
        }
    }

    /// A source that nobody answers accepts changes by itself.
    pub(super) fn bootstrap(&mut self, now: Time) {
        let alone = now.since(self.last_ready_peer) >= self.config.bootstrap_after;
        if self.config.source.is_some() && !self.ready && alone {
            self.caught_up();
        }
    }

    /// After a time without others that is longer than deleted keys are remembered, keys that were deleted meanwhile
    /// would come back from here: all is discarded but what this source wrote meanwhile.
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
