//! Helpers of the decision module: timers, a rate limit for log lines, and an estimate of the usual call
//! rate. They read no clock: every time is passed in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time, TimerToken};
use crate::window::Window;

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

/// Rates are averaged over at least this time: over a shorter time too few calls come for a usable estimate.
const MIN_AVERAGING_TIME: Span = Span::from_millis(3_000);

/// The usual rate of accepted set-ups per call server of mean size: the highest rate measured so far. Guards
/// against a ramp that is derived from the few calls accepted in the middle of an outage.
#[derive(Debug, Serialize, Deserialize)]
pub struct UsualRate {
    span: Span,
    /// Accepts of all call servers together.
    #[serde(rename = "taken")]
    accepts: Window,
    /// In calls per second.
    #[serde(rename = "most")]
    highest: f64,
    #[serde(rename = "began")]
    started_at: Option<Time>,
}

impl UsualRate {
    /// No measurement yet; rates are averaged over the last `span`.
    pub fn new(span: Span) -> Self {
        Self { span, accepts: Window::new(span), highest: 0.0, started_at: None }
    }

    /// Starts the measurement if it has not started yet; returns whether it did so now.
    pub fn start(&mut self, now: Time) -> bool {
        let first = self.started_at.is_none();
        self.started_at.get_or_insert(now);
        first
    }

    /// Records an accepted set-up. `size` is the total size of the call servers in service, in units of the
    /// mean size.
    pub fn record_accept(&mut self, now: Time, size: f64) {
        self.accepts.add(now, 0, 1);
        let elapsed = self.elapsed(now);
        if size > 0.0 && elapsed > MIN_AVERAGING_TIME {
            let rate = f64::from(self.accepts.counts(now).1) / elapsed.secs();
            self.highest = self.highest.max(rate / size);
        }
    }

    /// Whether set-ups have been accepted for long enough to estimate the rate.
    pub fn is_known(&self) -> bool {
        self.highest > 0.0
    }

    /// The usual rate; until it is known, an estimate from the `arrivals` within the span.
    pub fn rate(&self, now: Time, arrivals: f64, size: f64) -> f64 {
        if self.is_known() {
            return self.highest;
        }
        arrivals / self.elapsed(now).max(MIN_AVERAGING_TIME).secs() / size.max(1.0)
    }

    /// Time since the start, at most the span.
    fn elapsed(&self, now: Time) -> Span {
        now.since(self.started_at.unwrap_or(now)).min(self.span)
    }
}
