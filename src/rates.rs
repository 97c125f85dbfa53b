//! Estimates of how many set-ups call servers usually accept, for the decision module. They read no clock: every
//! time is passed in.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time};
use crate::window::Window;

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

    /// The rate of accepts within the span for a total size, however short it was measured.
    pub fn recent_rate(&mut self, now: Time, size: f64) -> f64 {
        let accepts = f64::from(self.accepts.counts(now).1);
        accepts / self.elapsed(now).max(MIN_AVERAGING_TIME).secs() / size.max(1.0)
    }

    /// Time since the start, at most the span; `None` while it is too short for an average.
    pub fn averaging_time(&self, now: Time) -> Option<Span> {
        Some(self.elapsed(now)).filter(|elapsed| *elapsed > MIN_AVERAGING_TIME)
    }

    /// Time since the start, at most the span.
    fn elapsed(&self, now: Time) -> Span {
        now.since(self.started_at.unwrap_or(now)).min(self.span)
    }
}

/// The highest rate of accepted set-ups per line, where each set-up counts by the lines that were in service when it was
/// accepted. Guards against a rate that doubles when half of the capacity leaves.
#[derive(Debug, Serialize, Deserialize)]
pub struct CapacityRate {
    span: Span,
    /// Accepted set-ups, each with the inverse of the lines in service.
    accepts: VecDeque<(Time, f64)>,
    /// Sum of these inverses.
    sum: f64,
    /// In calls per second and line.
    highest: f64,
    /// Mean number of lines of a call server when any was last reported. Until then each counts as one line.
    mean_lines: Option<f64>,
}

impl CapacityRate {
    /// No measurement yet; rates are averaged over the last `span`.
    pub fn new(span: Span) -> Self {
        Self { span, accepts: VecDeque::new(), sum: 0.0, highest: 0.0, mean_lines: None }
    }

    /// Records a set-up accepted while call servers with these lines were in service; `None`: not reported.
    /// `averaging_time`: over how long the rate is averaged; `None`: it cannot be averaged yet.
    pub fn record_accept(&mut self, now: Time, in_service: &[Option<f64>], averaging_time: Option<Span>) {
        let lines: f64 = in_service.iter().map(|lines| self.lines_or_mean(*lines)).sum();
        if lines <= 0.0 {
            return;
        }
        self.accepts.push_back((now, 1.0 / lines));
        self.sum += 1.0 / lines;
        while self.accepts.front().is_some_and(|(at, _)| now.since(*at) >= self.span) {
            self.sum -= self.accepts.pop_front().map_or(0.0, |(_, share)| share);
        }
        if let Some(time) = averaging_time {
            self.highest = self.highest.max(self.sum / time.secs());
        }
    }

    /// Sets the mean number of lines of the call servers that report any.
    pub fn set_mean_lines(&mut self, mean: f64) {
        if self.mean_lines.replace(mean).is_none() {
            // What was measured so far counts call servers, not lines.
            (self.sum, self.highest) = (0.0, 0.0);
            self.accepts.clear();
        }
    }

    /// The rate of a call server with this many lines, in calls per second; `None` while no rate is known.
    pub fn rate(&self, lines: Option<f64>) -> Option<f64> {
        let rate = self.lines_or_mean(lines) * self.highest;
        Some(rate).filter(|rate| *rate > 0.0)
    }

    fn lines_or_mean(&self, lines: Option<f64>) -> f64 {
        lines.or(self.mean_lines).unwrap_or(1.0)
    }
}
