//! The model of a call server's processor: a single server with a queue that rejects set-ups when it is full, is slow after
//! a cold start and crashes when overloaded while cold. It uses no socket and reads no clock. Its figures are not
//! measurements of a real call server.

use std::collections::VecDeque;

use lockpoint::interface::{Span, Time};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::path::random_fraction;

/// The shares of a call's work that its set-up, its answer and its release take.
const WORK_SHARES: (f64, f64, f64) = (0.6, 0.15, 0.25);
/// The work of rejecting a set-up, as a share of a whole call's work.
const REJECTION_WORK: f64 = 0.1;
/// A cold processor crashes only when it is offered this many calls beyond its budget, to allow for random bursts.
const CRASH_SLACK_CALLS: f64 = 4.0;

/// The properties of a processor.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessorConfig {
    /// Whole calls per second, from set-up to release, when warm.
    pub capacity: f64,
    /// Set-ups that would queue for longer than this are rejected, in milliseconds.
    pub longest_wait_ms: u64,
    /// The share of its capacity right after a start.
    pub cold_share: f64,
    /// The time from a start until it is warm, in milliseconds.
    pub cold_ms: u64,
    /// A cold processor crashes when the work offered within `tip_ms` exceeds this multiple of its present capacity.
    pub overload_factor: f64,
    /// The window of `overload_factor`, in milliseconds.
    pub tip_ms: u64,
    /// The age of the state that a load report shows, in milliseconds.
    pub report_late_ms: u64,
    /// The largest relative error of a load report.
    pub report_noise: f64,
}

impl Default for ProcessorConfig {
    fn default() -> Self {
        Self {
            capacity: 50.0,
            longest_wait_ms: 1_500,
            cold_share: 0.36,
            cold_ms: 14_000,
            overload_factor: 2.5,
            tip_ms: 1_000,
            report_late_ms: 300,
            report_noise: 0.1,
        }
    }
}

/// The processor's decision on a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The set-up is answered at this time.
    Accepted(Time),
    /// The set-up is rejected at this time; the span is the queueing delay.
    Rejected(Time, Span),
    /// The cold processor was overloaded: the call server crashes.
    Crashed,
}

/// A processor and its queue.
#[derive(Debug, Clone)]
pub struct Processor {
    config: ProcessorConfig,
    /// When the process started; `None`: it has always been warm.
    started: Option<Time>,
    /// The speed as a share of the usual one.
    speed: f64,
    /// When all accepted work is done.
    free_at: Time,
    /// Work offered within the last `tip_ms`, in seconds of a warm processor.
    recent: VecDeque<(Time, f64)>,
    /// Past utilisation and queue lengths, which delayed reports show.
    history: VecDeque<(Time, f64, f64)>,
    rng: Pcg64Mcg,
}

impl Processor {
    /// A warm processor with an empty queue.
    pub fn new(config: ProcessorConfig, seed: u64) -> Processor {
        Processor {
            config,
            started: None,
            speed: 1.0,
            free_at: Time(0),
            recent: VecDeque::new(),
            history: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Restarts the process: the processor is cold and its queue empty.
    pub fn start(&mut self, now: Time) {
        (self.started, self.free_at) = (Some(now), now);
        self.recent.clear();
        self.history.clear();
    }

    /// Sets its speed as a share of its usual speed.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.max(0.01);
    }

    /// The present capacity as a share of the warm capacity.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let ProcessorConfig { cold_share, cold_ms, .. } = self.config;
        let Some(started) = self.started else { return 1.0 };
        let age = now.since(started).0 as f64 / (cold_ms.max(1) * 1000) as f64;
        (cold_share + (1.0 - cold_share) * age).min(1.0)
    }

    /// The work of a whole call, in seconds of a warm processor.
    fn call_work(&self) -> f64 {
        1.0 / self.config.capacity.max(0.001)
    }

    fn queueing_delay(&self, now: Time) -> Span {
        self.free_at.since(now)
    }

    fn work(&mut self, share: f64, now: Time) -> Time {
        let duration = self.call_work() * share / (self.capacity_share(now) * self.speed);
        let start = self.free_at.max(now);
        self.free_at = start.plus(Span::from_secs(duration));
        self.free_at
    }

    /// Processes the arrival of a set-up.
    pub fn offer(&mut self, now: Time) -> Admission {
        let ProcessorConfig { overload_factor, tip_ms, longest_wait_ms, .. } = self.config;
        let (window, call_work) = (Span::from_millis(tip_ms), self.call_work());
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, call_work));
        let share = self.capacity_share(now);
        let offered: f64 = self.recent.iter().map(|(_, work)| work).sum();
        let limit = overload_factor * share * (tip_ms as f64 / 1000.0) + CRASH_SLACK_CALLS * call_work;
        if share < 1.0 && offered > limit {
            return Admission::Crashed;
        }
        let queueing_delay = self.queueing_delay(now);
        self.store_state(now, queueing_delay);
        if queueing_delay > Span::from_millis(longest_wait_ms) {
            return Admission::Rejected(
                self.work(REJECTION_WORK, now).min(now.plus(Span::from_millis(5))),
                queueing_delay,
            );
        }
        Admission::Accepted(self.work(WORK_SHARES.0 + WORK_SHARES.1, now))
    }

    /// The work offered within the window as a share of what crashes a cold processor, without the slack.
    pub fn overload_share(&self, now: Time) -> f64 {
        let ProcessorConfig { overload_factor, tip_ms, .. } = self.config;
        let offered: f64 = self.recent.iter().map(|(_, work)| work).sum();
        offered
            / (overload_factor * self.capacity_share(now) * (tip_ms as f64 / 1000.0)).max(f64::MIN_POSITIVE)
    }

    /// Processes the end of an established call and returns when its release is sent. Releases overtake queued set-ups.
    pub fn release(&mut self, now: Time) -> Time {
        self.work(WORK_SHARES.2, now);
        now.plus(Span::from_secs(self.call_work() * WORK_SHARES.2))
    }

    fn store_state(&mut self, now: Time, queueing_delay: Span) {
        let utilisation = (queueing_delay.0 as f64 / 1e6).min(1.0);
        self.history.push_back((now, utilisation, queueing_delay.0 as f64 / 1e6 / self.call_work()));
        let retention = Span::from_millis(self.config.report_late_ms + 1_000);
        while self.history.len() > 1
            && self.history.front().is_some_and(|(at, ..)| now.since(*at) > retention)
        {
            self.history.pop_front();
        }
    }

    /// The reported utilisation (0 to 1) and queue length: delayed and with an error.
    pub fn report(&mut self, now: Time) -> (f64, f64) {
        let delay = Span::from_millis(self.config.report_late_ms);
        let then = self.history.iter().rev().find(|(at, ..)| now.since(*at) >= delay);
        let (at, utilisation, queued) = then.copied().unwrap_or((now, 0.0, 0.0));
        // Without new arrivals the queue of that time has been worked on since and becomes empty.
        let since = now.since(reported_at(at, delay)).secs();
        let (utilisation, queued) =
            ((utilisation - since).max(0.0), (queued - since / self.call_work()).max(0.0));
        let noise = 1.0 + self.config.report_noise * (2.0 * random_fraction(&mut self.rng) - 1.0);
        ((utilisation * noise).clamp(0.0, 1.0), (queued * noise).max(0.0).round())
    }
}

/// The time at which a report normally shows the state of `at`.
fn reported_at(at: Time, delay: Span) -> Time {
    at.plus(delay)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(60_000_000 + ms * 1000)
    }

    #[test]
    fn set_ups_beyond_the_capacity_are_rejected() {
        let mut processor = Processor::new(ProcessorConfig::default(), 1);
        // 20 s at twice the capacity; each call is released after a second.
        let (mut accepted, mut releases) = (0, VecDeque::new());
        for ms in (0..20_000).step_by(10) {
            while releases.front().is_some_and(|due: &Time| *due <= at(ms)) {
                releases.pop_front();
                processor.release(at(ms));
            }
            if let Admission::Accepted(done) = processor.offer(at(ms)) {
                accepted += 1;
                releases.push_back(done.plus(Span::from_millis(1_000)));
            }
        }
        // 50 per second, less the work of a thousand rejections and the set-ups that are still queued at the end.
        assert!((850..1_080).contains(&accepted), "{accepted}");
    }

    #[test]
    fn a_reported_queue_drains_without_new_arrivals() {
        let mut processor = Processor::new(ProcessorConfig { report_noise: 0.0, ..Default::default() }, 1);
        for _ in 0..100 {
            processor.offer(at(0));
        }
        assert!(processor.report(at(300)).1 > 50.0);
        assert_eq!(processor.report(at(5_000)), (0.0, 0.0));
    }

    #[test]
    fn a_cold_processor_is_slower_and_crashes_at_a_burst_that_a_warm_one_handles() {
        let burst = |processor: &mut Processor, from: u64| {
            (0..100).any(|n| processor.offer(at(from + n * 5)) == Admission::Crashed)
        };
        let mut processor = Processor::new(ProcessorConfig::default(), 1);
        assert!(!burst(&mut processor, 0));
        processor.start(at(1_000));
        assert!((processor.capacity_share(at(1_000)) - 0.36).abs() < 1e-9);
        assert!((processor.capacity_share(at(8_000)) - 0.68).abs() < 1e-9);
        assert!(burst(&mut processor, 1_000));
        processor.start(at(2_000));
        assert!(!burst(&mut processor, 30_000));
    }
}
