//! Pulling the entries of differing partitions in pieces, from one or several members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use super::message::PieceRequest;
use super::version::VersionVector;
use crate::interface::{Span, Time};

/// Pieces that are asked for at once.
const IN_FLIGHT: usize = 6;
/// A piece that has not come by then is asked for again, of another member.
const PIECE_TIMEOUT: Span = Span::from_millis(400);
/// Without any piece for so long the pull is given up.
const PULL_TIMEOUT: Span = Span::from_millis(10_000);

#[derive(Debug, Default)]
struct Part {
    after: String,
    asked: Option<Time>,
}

/// One pull.
#[derive(Debug)]
pub struct Pull {
    parts: BTreeMap<u8, Part>,
    members: Vec<SocketAddr>,
    next_member: usize,
    told: VersionVector,
    progress: Time,
}

impl Pull {
    /// Begins to pull `partitions` from `members`, of which the first has told `vector`.
    pub fn new(now: Time, partitions: &[u8], members: Vec<SocketAddr>, vector: VersionVector) -> Pull {
        let parts = partitions.iter().map(|partition| (*partition, Part::default())).collect();
        Pull { parts, members, next_member: 0, told: vector, progress: now }
    }

    /// Whether this member told the hashes.
    pub fn is_begun_by(&self, member: SocketAddr) -> bool {
        self.members.first() == Some(&member)
    }

    /// Whether everything has come.
    pub fn is_done(&self) -> bool {
        self.parts.is_empty()
    }

    /// Whether nothing has come for too long.
    pub fn is_stuck(&self, now: Time) -> bool {
        now.since(self.progress) >= PULL_TIMEOUT
    }

    /// What whoever has all pieces has applied: the least that the members told.
    pub fn told(&self) -> VersionVector {
        self.told
    }

    /// When the next request falls due.
    pub fn due(&self) -> Time {
        let next = self.parts.values().take(IN_FLIGHT);
        let due = next.map(|part| part.asked.map_or(self.progress, |asked| asked.plus(PIECE_TIMEOUT)));
        due.min().unwrap_or(self.progress)
    }

    /// The requests that have fallen due.
    pub fn requests(&mut self, now: Time) -> Vec<(SocketAddr, PieceRequest)> {
        let mut requests = Vec::new();
        for (partition, part) in self.parts.iter_mut().take(IN_FLIGHT) {
            if part.asked.is_some_and(|asked| now.since(asked) < PIECE_TIMEOUT) {
                continue;
            }
            part.asked = Some(now);
            let member = self.members[self.next_member % self.members.len()];
            self.next_member += 1;
            requests.push((member, PieceRequest { partition: *partition, after: part.after.clone() }));
        }
        requests
    }

    /// A piece came whose entries end with `last`; whether it was asked for.
    pub fn take(
        &mut self,
        now: Time,
        partition: u8,
        after: &str,
        last: Option<&str>,
        vector: &VersionVector,
    ) -> bool {
        let Some(part) = self.parts.get_mut(&partition).filter(|part| part.after == after) else {
            return false;
        };
        self.progress = now;
        self.told = self.told.lower(vector);
        match last {
            Some(last) => *part = Part { after: last.to_string(), asked: None },
            None => {
                self.parts.remove(&partition);
            }
        }
        true
    }
}
