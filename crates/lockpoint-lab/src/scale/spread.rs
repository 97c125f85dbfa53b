//! How long a piece of news takes until every controller knows it.

use lockpoint::interface::{Span, Time};

/// A piece of news on its way through the fleet.
#[derive(Debug, Clone)]
pub struct Spread {
    began: Time,
    /// Members that are to know it.
    expected: Vec<bool>,
    known_at: Vec<Option<Time>>,
    /// Members that could not be reached until this moment; their time counts from there.
    reachable_from: Vec<Time>,
}

/// The delays of one or more pieces of news.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delays {
    /// Of those who know, in order.
    known: Vec<Span>,
    /// Those who never did while the run lasted.
    pub unknown: usize,
}

impl Spread {
    /// News that begins now and concerns these members.
    pub fn new(now: Time, expected: Vec<bool>) -> Spread {
        let members = expected.len();
        Spread { began: now, expected, known_at: vec![None; members], reachable_from: vec![now; members] }
    }

    /// A member knows it; only the first time counts.
    pub fn known(&mut self, now: Time, member: u16) {
        self.known_at[usize::from(member)].get_or_insert(now);
    }

    /// A member need not know it any more, as it is gone.
    pub fn excuse(&mut self, member: u16) {
        if self.known_at[usize::from(member)].is_none() {
            self.expected[usize::from(member)] = false;
        }
    }

    /// A member that does not know it yet can be reached from now on only.
    pub fn reachable(&mut self, now: Time, member: u16) {
        self.reachable_from[usize::from(member)] = now;
    }

    /// Whether a member knows it.
    pub fn is_known_to(&self, member: u16) -> bool {
        self.known_at[usize::from(member)].is_some()
    }

    /// How long it took.
    pub fn delays(&self) -> Delays {
        let mut delays = Delays::default();
        for member in (0..self.expected.len()).filter(|member| self.expected[*member]) {
            let from = self.reachable_from[member].max(self.began);
            match self.known_at[member] {
                // Known before it became reachable directly: it counts from the beginning.
                Some(at) if at < from => delays.known.push(at.since(self.began)),
                Some(at) => delays.known.push(at.since(from)),
                None => delays.unknown += 1,
            }
        }
        delays.known.sort_unstable();
        delays
    }
}

impl Delays {
    /// Takes in the delays of another piece of news.
    pub fn merge(&mut self, other: Delays) {
        self.known.extend(other.known);
        self.known.sort_unstable();
        self.unknown += other.unknown;
    }

    /// The delay at a share of all who are to know, in milliseconds; `None`: more than the rest never knew.
    pub fn at_share(&self, share: f64) -> Option<u64> {
        let all = self.known.len() + self.unknown;
        let index = (all.saturating_sub(1) as f64 * share) as usize;
        self.known.get(index).map(|delay| delay.0 / 1_000)
    }

    /// Whether anything was to be known at all.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty() && self.unknown == 0
    }
}
