//! Snapshot pull: fetches the entries of differing partitions in pieces, from one or several members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::message::PieceRequest;
use super::version::VersionVector;
use crate::interface::{Span, Time};

/// Maximum number of piece requests in flight.
const IN_FLIGHT: usize = 6;
/// Time after which a missing piece is requested again, from the next member.
const PIECE_TIMEOUT: Span = Span::from_millis(400);
/// Time without any piece after which the pull is abandoned.
const PULL_TIMEOUT: Span = Span::from_millis(10_000);

/// Progress of the pull of one partition.
#[derive(Debug, Default)]
struct PartitionCursor {
    after: String,
    requested_at: Option<Time>,
}

/// A snapshot pull in progress.
#[derive(Debug)]
pub struct Pull {
    remaining: BTreeMap<u8, PartitionCursor>,
    members: Vec<SocketAddr>,
    next_member: usize,
    common_vector: VersionVector,
    last_progress: Time,
}

impl Pull {
    /// Starts to pull `partitions` from `members`, the first of which sent `vector` with its hashes.
    pub fn new(now: Time, partitions: &[u8], members: Vec<SocketAddr>, vector: VersionVector) -> Pull {
        let remaining = partitions.iter().map(|partition| (*partition, PartitionCursor::default())).collect();
        Pull { remaining, members, next_member: 0, common_vector: vector, last_progress: now }
    }

    /// Returns whether this is the member whose hashes started the pull.
    pub fn was_started_by(&self, member: SocketAddr) -> bool {
        self.members.first() == Some(&member)
    }

    /// Returns whether all pieces have arrived.
    pub fn is_done(&self) -> bool {
        self.remaining.is_empty()
    }

    /// Returns whether no piece has arrived for [`PULL_TIMEOUT`].
    pub fn is_stuck(&self, now: Time) -> bool {
        now.since(self.last_progress) >= PULL_TIMEOUT
    }

    /// Returns the version vector that the complete snapshot includes at least: the lowest of those that the members
    /// sent.
    pub fn common_vector(&self) -> VersionVector {
        self.common_vector
    }

    /// Returns when the next request is due.
    pub fn next_due(&self) -> Time {
        let next = self.remaining.values().take(IN_FLIGHT);
        let due = next.map(|cursor| {
            cursor.requested_at.map_or(self.last_progress, |requested_at| requested_at.plus(PIECE_TIMEOUT))
        });
        due.min().unwrap_or(self.last_progress)
    }

    /// Returns the requests that are due at `now`.
    pub fn requests(&mut self, now: Time) -> Vec<(SocketAddr, PieceRequest)> {
        let mut requests = Vec::new();
        for (partition, cursor) in self.remaining.iter_mut().take(IN_FLIGHT) {
            if cursor.requested_at.is_some_and(|requested_at| now.since(requested_at) < PIECE_TIMEOUT) {
                continue;
            }
            cursor.requested_at = Some(now);
            let member = self.members[self.next_member % self.members.len()];
            self.next_member += 1;
            requests.push((member, PieceRequest { partition: *partition, after: cursor.after.clone() }));
        }
        requests
    }

    /// Accepts a piece and returns whether it was expected. `last` is its last key, or `None` if it completes the
    /// partition.
    pub fn accept_piece(
        &mut self,
        now: Time,
        partition: u8,
        after: &str,
        last: Option<&str>,
        vector: &VersionVector,
    ) -> bool {
        let Some(cursor) = self.remaining.get_mut(&partition).filter(|cursor| cursor.after == after) else {
            return false;
        };
        self.last_progress = now;
        self.common_vector = self.common_vector.lower(vector);
        match last {
            Some(last) => *cursor = PartitionCursor { after: last.to_string(), requested_at: None },
            None => {
                self.remaining.remove(&partition);
            }
        }
        true
    }
}
