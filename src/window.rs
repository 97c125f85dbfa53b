//! Sliding-window counters of requests and accepts; every time is passed in.

use serde::{Deserialize, Serialize};

use std::collections::VecDeque;

use crate::interface::{Span, Time};

/// Counts of the requests and accepts within the last `span`.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Window {
    span: Span,
    entries: VecDeque<(Time, u32, u32)>,
    requests: u32,
    accepts: u32,
}

impl Window {
    /// Empty counts; entries older than `span` expire.
    pub fn new(span: Span) -> Self {
        Self { span, entries: VecDeque::new(), requests: 0, accepts: 0 }
    }

    /// Counts that start with the given numbers.
    pub fn starting_with(span: Span, now: Time, requests: u32, accepts: u32) -> Self {
        let mut window = Self::new(span);
        window.add(now, requests, accepts);
        window
    }

    /// Adds to both counts at `now`.
    pub fn add(&mut self, now: Time, requests: u32, accepts: u32) {
        self.entries.push_back((now, requests, accepts));
        self.requests += requests;
        self.accepts += accepts;
        self.remove_expired(now);
    }

    /// Removes expired entries and returns (requests, accepts) within the window.
    pub fn counts(&mut self, now: Time) -> (u32, u32) {
        self.remove_expired(now);
        (self.requests, self.accepts)
    }

    /// Changes the length of the window.
    pub fn set_span(&mut self, span: Span) {
        self.span = span;
    }

    /// Resets the counts.
    pub fn clear(&mut self) {
        self.entries.clear();
        self.requests = 0;
        self.accepts = 0;
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(&(at, requests, accepts)) = self.entries.front() {
            if now.since(at) < self.span {
                break;
            }
            self.requests -= requests;
            self.accepts -= accepts;
            self.entries.pop_front();
        }
    }
}

/// Counts of the calls within the last `span`, by rank.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct DemandByRank {
    span: Span,
    ranks: Vec<(f64, Window)>,
}

impl DemandByRank {
    /// No calls yet; calls older than `span` expire.
    pub fn new(span: Span) -> Self {
        Self { span, ranks: Vec::new() }
    }

    /// Records a call of this rank.
    pub fn add(&mut self, now: Time, rank: f64) {
        match self.ranks.iter_mut().find(|(r, _)| r.total_cmp(&rank).is_eq()) {
            Some((_, window)) => window.add(now, 1, 0),
            None => self.ranks.push((rank, Window::starting_with(self.span, now, 1, 0))),
        }
    }

    /// Numbers of calls of lower rank, of this rank, and of any rank.
    pub fn counts_around(&mut self, now: Time, rank: f64) -> (f64, f64, f64) {
        let (mut below, mut same, mut all) = (0.0, 0.0, 0.0);
        for (other, window) in &mut self.ranks {
            let calls = f64::from(window.counts(now).0);
            all += calls;
            match other.total_cmp(&rank) {
                std::cmp::Ordering::Less => below += calls,
                std::cmp::Ordering::Equal => same += calls,
                std::cmp::Ordering::Greater => {}
            }
        }
        (below, same, all)
    }
}
