//! Measures how long an update takes to reach every controller.

use lockpoint::interface::{Span, Time};

/// An update that propagates through the fleet.
#[derive(Debug, Clone)]
pub struct Propagation {
    started_at: Time,
    /// Members that are expected to receive it.
    expected: Vec<bool>,
    known_at: Vec<Option<Time>>,
    /// Times from which the members were reachable; their delays count from there.
    reachable_from: Vec<Time>,
}

/// The propagation delays of one or more updates.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Delays {
    /// Delays of the members that received it, sorted.
    known: Vec<Span>,
    /// Number of members that did not receive it during the run.
    pub unknown: usize,
}

impl Propagation {
    /// An update that starts now and is expected to reach these members.
    pub fn new(now: Time, expected: Vec<bool>) -> Propagation {
        let members = expected.len();
        Propagation {
            started_at: now,
            expected,
            known_at: vec![None; members],
            reachable_from: vec![now; members],
        }
    }

    /// Records that a member has received it; only the first time counts.
    pub fn record(&mut self, now: Time, member: u16) {
        self.known_at[usize::from(member)].get_or_insert(now);
    }

    /// Stops expecting a member that has ended.
    pub fn stop_expecting(&mut self, member: u16) {
        if self.known_at[usize::from(member)].is_none() {
            self.expected[usize::from(member)] = false;
        }
    }

    /// Records that a member has been unreachable until now.
    pub fn reachable(&mut self, now: Time, member: u16) {
        self.reachable_from[usize::from(member)] = now;
    }

    /// Whether a member has received it.
    pub fn has_reached(&self, member: u16) -> bool {
        self.known_at[usize::from(member)].is_some()
    }

    /// The delay of each expected member.
    pub fn delays(&self) -> Delays {
        let mut delays = Delays::default();
        for member in (0..self.expected.len()).filter(|member| self.expected[*member]) {
            let from = self.reachable_from[member].max(self.started_at);
            match self.known_at[member] {
                // Received before the member was directly reachable: counts from the start of the update.
                Some(at) if at < from => delays.known.push(at.since(self.started_at)),
                Some(at) => delays.known.push(at.since(from)),
                None => delays.unknown += 1,
            }
        }
        delays.known.sort_unstable();
        delays
    }
}

impl Delays {
    /// Adds the delays of another update.
    pub fn merge(&mut self, other: Delays) {
        self.known.extend(other.known);
        self.known.sort_unstable();
        self.unknown += other.unknown;
    }

    /// Percentile of the delays over all expected members, in milliseconds; `None`: that member never received it.
    pub fn percentile_ms(&self, share: f64) -> Option<u64> {
        let all = self.known.len() + self.unknown;
        let index = (all.saturating_sub(1) as f64 * share) as usize;
        self.known.get(index).map(|delay| delay.0 / 1_000)
    }

    /// Whether no member was expected at all.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty() && self.unknown == 0
    }
}
