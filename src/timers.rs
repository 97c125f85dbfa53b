//! Helpers of the decision module: timers and a rate limit for log lines. They read no clock: every time is
//! passed in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time, TimerToken};

/// Pending timers with the purpose of each.
#[derive(Debug, Serialize, Deserialize)]
pub struct Timers<W> {
    set: BTreeMap<TimerToken, W>,
    next: u32,
}

impl<W> Default for Timers<W> {
    fn default() -> Self {
        Self { set: BTreeMap::new(), next: 0 }
    }
}

impl<W> Timers<W> {
    /// Registers a timer and returns its token.
    pub fn set(&mut self, purpose: W) -> TimerToken {
        let token = TimerToken(self.next);
        self.next = self.next.wrapping_add(1);
        self.set.insert(token, purpose);
        token
    }

    /// Removes an expired timer and returns its purpose.
    pub fn take(&mut self, token: TimerToken) -> Option<W> {
        self.set.remove(&token)
    }
}

/// Limits how often each log line is written.
#[derive(Debug, Default)]
pub struct LogLimiter(BTreeMap<&'static str, Time>);

impl LogLimiter {
    /// Returns the line, unless it was returned within the last `interval`.
    pub fn admit(&mut self, now: Time, interval: Span, line: &'static str) -> Option<String> {
        if self.0.get(line).is_some_and(|&at| now.since(at) < interval) {
            return None;
        }
        self.0.insert(line, now);
        Some(line.to_owned())
    }
}
