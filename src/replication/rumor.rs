//! New changes that are still to be passed on to members drawn at random.

use std::sync::Arc;

use super::message::{encoded_length, Change, MAX_CHANGES};
use super::version::Stamp;
use crate::interface::{Span, Time};

/// Changes passed on at once at most; what is beyond comes by anti-entropy.
const MAX_RUMORS: usize = 256;

#[derive(Debug)]
struct Rumor {
    change: Arc<Change>,
    since: Time,
    rounds_left: u8,
    length: usize,
}

/// The changes to be passed on, the newest last.
#[derive(Debug, Default)]
pub struct Rumors {
    rumors: Vec<Rumor>,
}

/// Rounds for which a change is passed on among `members`.
pub fn rounds(members: usize, fanout: u16) -> u8 {
    let growth = f64::from(fanout.max(1)) + 1.0;
    let reach = (members.max(2) as f64).ln() / growth.ln();
    reach.ceil() as u8 + 1
}

impl Rumors {
    /// Whether there is nothing to pass on.
    pub fn is_empty(&self) -> bool {
        self.rumors.is_empty()
    }

    /// A change is new here.
    pub fn add(&mut self, now: Time, change: Arc<Change>, rounds: u8) {
        if self.rumors.len() == MAX_RUMORS {
            self.rumors.remove(0);
        }
        let length = encoded_length(&change);
        self.rumors.push(Rumor { change, since: now, rounds_left: rounds, length });
    }

    /// A change came once more: others know it too, so it is passed on one round less.
    pub fn heard_again(&mut self, stamp: Stamp) {
        if let Some(rumor) = self.rumors.iter_mut().find(|rumor| rumor.change.stamp == stamp) {
            rumor.rounds_left = rumor.rounds_left.saturating_sub(1);
        }
    }

    /// What has waited for `lifetime` is not passed on any more: by then anti-entropy does better.
    pub fn expire(&mut self, now: Time, lifetime: Span) {
        self.rumors.retain(|rumor| now.since(rumor.since) < lifetime);
    }

    /// The changes of one round that fit so many bytes, newest first; each counts as passed on once more.
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
