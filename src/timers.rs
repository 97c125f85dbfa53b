//! Small helpers of the decisions that decide nothing: every time and number is passed in.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time, TimerToken};
use crate::window::Window;

/// What timers that were set are for.
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
    /// The token of a new timer for this.
    pub fn set(&mut self, what: W) -> TimerToken {
        let token = TimerToken(self.next);
        self.next = self.next.wrapping_add(1);
        self.set.insert(token, what);
        token
    }

    /// What a timer that has run out was for.
    pub fn take(&mut self, token: TimerToken) -> Option<W> {
        self.set.remove(&token)
    }
}

/// Lines of a log, each said now and then only.
#[derive(Debug, Default)]
pub struct LogLimiter(BTreeMap<&'static str, Time>);

impl LogLimiter {
    /// The line, unless it was said within `every`.
    pub fn says(&mut self, now: Time, every: Span, line: &'static str) -> Option<String> {
        if self.0.get(line).is_some_and(|&at| now.since(at) < every) {
            return None;
        }
        self.0.insert(line, now);
        Some(line.to_owned())
    }
}

/// A rate is reckoned over no less than this: fewer calls tell nothing of it.
const RATE_FROM: Span = Span::from_millis(3_000);

/// What servers take in usual times, in calls a second for each of mean size: the most that was seen. Guards against a
/// ramp that starts from the little that stands in the midst of a trouble.
#[derive(Debug, Serialize, Deserialize)]
pub struct UsualRate {
    span: Span,
    /// Accepts of all servers together.
    taken: Window,
    most: f64,
    began: Option<Time>,
}

impl UsualRate {
    /// Nothing seen yet; a rate is reckoned over the last `span`.
    pub fn new(span: Span) -> Self {
        Self { span, taken: Window::new(span), most: 0.0, began: None }
    }

    /// Whether this is the first moment that there is.
    pub fn begins(&mut self, now: Time) -> bool {
        let first = self.began.is_none();
        self.began.get_or_insert(now);
        first
    }

    /// A call was taken; `size`: of all servers that take calls, in those of mean size.
    pub fn took(&mut self, now: Time, size: f64) {
        self.taken.add(now, 0, 1);
        let passed = self.passed(now);
        if size > 0.0 && passed > RATE_FROM {
            let rate = f64::from(self.taken.counts(now).1) / passed.secs();
            self.most = self.most.max(rate / size);
        }
    }

    /// Whether calls were taken for long enough to tell.
    pub fn is_known(&self) -> bool {
        self.most > 0.0
    }

    /// The rate; from the calls that came within the span while none was taken.
    pub fn rate(&self, now: Time, came: f64, size: f64) -> f64 {
        if self.is_known() {
            return self.most;
        }
        came / self.passed(now).max(RATE_FROM).secs() / size.max(1.0)
    }

    /// What of the span has passed since the start.
    fn passed(&self, now: Time) -> Span {
        now.since(self.began.unwrap_or(now)).min(self.span)
    }
}
