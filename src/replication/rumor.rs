//! Rumor mongering: new changes that are still being forwarded to random members.

use std::sync::Arc;

use super::message::{encoded_length, Change, MAX_CHANGES};
use super::version::Stamp;
use crate::interface::{Span, Time};

/// Maximum number of active rumors; older changes spread by anti-entropy.
const MAX_RUMORS: usize = 256;

#[derive(Debug)]
struct Rumor {
    change: Arc<Change>,
    added_at: Time,
    rounds_left: u8,
    length: usize,
}

/// The active rumors, the newest last.
#[derive(Debug, Default)]
pub struct Rumors {
    rumors: Vec<Rumor>,
}

/// Returns the number of rounds for which a change is forwarded: enough to reach all `members` with this fanout, and
/// one more.
pub fn round_count(members: usize, fanout: u16) -> u8 {
    let growth = f64::from(fanout.max(1)) + 1.0;
    let reach = (members.max(2) as f64).ln() / growth.ln();
    reach.ceil() as u8 + 1
}

impl Rumors {
    /// Returns whether there are no active rumors.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// Adds a change that is new here.
    pub fn add(&mut self, now: Time, change: Arc<Change>, rounds: u8) {
        if self.rumors.len() == MAX_RUMORS {
            self.rumors.remove(0);
        }
        let length = encoded_length(&change);
        self.rumors.push(Rumor { change, added_at: now, rounds_left: rounds, length });
    }

    /// Records a duplicate of a change: other members know it too, so it is forwarded one round less.
    pub fn note_duplicate(&mut self, stamp: Stamp) {
        if let Some(rumor) = self.rumors.iter_mut().find(|rumor| rumor.change.stamp == stamp) {
            rumor.rounds_left = rumor.rounds_left.saturating_sub(1);
        }
    }

    /// Drops rumors older than `lifetime`, since anti-entropy spreads old changes more efficiently.
    pub fn expire(&mut self, now: Time, lifetime: Span) {
        self.rumors.retain(|rumor| now.since(rumor.added_at) < lifetime);
    }

    /// Returns the changes of one round that fit into `room` bytes, newest first, and counts a round for each of them.
    pub fn next_round(&mut self, room: usize) -> Vec<Arc<Change>> {
        self.rumors.retain(|rumor| rumor.rounds_left > 0);
        let mut left = room;
        let mut round = Vec::new();
        for rumor in self.rumors.iter_mut().rev() {
            if rumor.length > left || round.len() == MAX_CHANGES {
                break;
            }
            left -= rumor.length;
            rumor.rounds_left -= 1;
            round.push(rumor.change.clone());
        }
        self.rumors.retain(|rumor| rumor.rounds_left > 0);
        round
    }
}
