//! A call server's processor: one line of work, a queue, turning away, a cold start, and falling over. No socket and no
//! clock here; all figures are the model's own, no measurement of a real machine.

use std::collections::VecDeque;

use lockpoint::interface::{Span, Time};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::path::random_fraction;

/// Shares of a call's work that its set-up, its answer and its release take.
const SHARES: (f64, f64, f64) = (0.6, 0.15, 0.25);
/// What turning a set-up away costs, as a share of a whole call's work.
const TURNING_AWAY: f64 = 0.1;
/// A little slack for chance before a cold processor falls over: so many calls beyond the budget.
const TIP_SLACK: f64 = 4.0;

/// What a processor is like.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProcessorConfig {
    /// Calls a second, from set-up to release, when warm.
    pub capacity: f64,
    /// Set-ups that would wait longer than this are turned away, in milliseconds.
    pub longest_wait_ms: u64,
    /// The share of its capacity that it starts with.
    pub cold_share: f64,
    /// How long it takes to be warm, in milliseconds.
    pub cold_ms: u64,
    /// More work than this multiple of its present capacity ...
    pub overload_factor: f64,
    /// ... within so many milliseconds makes a cold one fall over.
    pub tip_ms: u64,
    /// Reports show what was so many milliseconds ago ...
    pub report_late_ms: u64,
    /// ... wrong by up to this share.
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

/// What becomes of a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It is answered at this time.
    Accepted(Time),
    /// It is turned away at this time, for a wait so long.
    Rejected(Time, Span),
    /// It was too much for a cold processor: the machine is down.
    Crashed,
}

/// A processor at work.
#[derive(Debug, Clone)]
pub struct Processor {
    config: ProcessorConfig,
    /// When the process started; `None`: long ago, so that it is warm.
    born: Option<Time>,
    /// Of its usual speed.
    speed: f64,
    /// When all that was taken so far is done.
    free_at: Time,
    /// Work offered in the last `tip_ms`, in warm seconds.
    recent: VecDeque<(Time, f64)>,
    /// How busy it was and how much waited, for reports that come late.
    past: VecDeque<(Time, f64, f64)>,
    rng: Pcg64Mcg,
}

impl Processor {
    /// A processor that has been warm for long.
    pub fn new(config: ProcessorConfig, seed: u64) -> Processor {
        Processor {
            config,
            born: None,
            speed: 1.0,
            free_at: Time(0),
            recent: VecDeque::new(),
            past: VecDeque::new(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Its process starts anew, and cold.
    pub fn start(&mut self, now: Time) {
        (self.born, self.free_at) = (Some(now), now);
        self.recent.clear();
        self.past.clear();
    }

    /// From now on it works at this share of its usual speed.
    pub fn set_speed(&mut self, speed: f64) {
        self.speed = speed.max(0.01);
    }

    /// The share of its capacity that it has now.
    pub fn capacity_share(&self, now: Time) -> f64 {
        let ProcessorConfig { cold_share, cold_ms, .. } = self.config;
        let Some(born) = self.born else { return 1.0 };
        let age = now.since(born).0 as f64 / (cold_ms.max(1) * 1000) as f64;
        (cold_share + (1.0 - cold_share) * age).min(1.0)
    }

    /// A call's whole work, in seconds of a warm processor.
    fn whole(&self) -> f64 {
        1.0 / self.config.capacity.max(0.001)
    }

    fn wait(&self, now: Time) -> Span {
        self.free_at.since(now)
    }

    fn work(&mut self, share: f64, now: Time) -> Time {
        let took = self.whole() * share / (self.capacity_share(now) * self.speed);
        let start = self.free_at.max(now);
        self.free_at = start.plus(Span::from_secs(took));
        self.free_at
    }

    /// A set-up arrives.
    pub fn offer(&mut self, now: Time) -> Admission {
        let ProcessorConfig { overload_factor, tip_ms, longest_wait_ms, .. } = self.config;
        let (window, whole) = (Span::from_millis(tip_ms), self.whole());
        while self.recent.front().is_some_and(|(at, _)| now.since(*at) > window) {
            self.recent.pop_front();
        }
        self.recent.push_back((now, whole));
        let share = self.capacity_share(now);
        let offered: f64 = self.recent.iter().map(|(_, work)| work).sum();
        let bears = overload_factor * share * (tip_ms as f64 / 1000.0) + TIP_SLACK * whole;
        if share < 1.0 && offered > bears {
            return Admission::Crashed;
        }
        let wait = self.wait(now);
        self.remember(now, wait);
        if wait > Span::from_millis(longest_wait_ms) {
            return Admission::Rejected(
                self.work(TURNING_AWAY, now).min(now.plus(Span::from_millis(5))),
                wait,
            );
        }
        Admission::Accepted(self.work(SHARES.0 + SHARES.1, now))
    }

    /// What a cold processor was offered within its window, as a share of what makes it fall over, no slack counted.
    pub fn overload_share(&self, now: Time) -> f64 {
        let ProcessorConfig { overload_factor, tip_ms, .. } = self.config;
        let offered: f64 = self.recent.iter().map(|(_, work)| work).sum();
        offered
            / (overload_factor * self.capacity_share(now) * (tip_ms as f64 / 1000.0)).max(f64::MIN_POSITIVE)
    }

    /// A call that stood ends: when its release is said. Releases go ahead of set-ups that wait.
    pub fn release(&mut self, now: Time) -> Time {
        self.work(SHARES.2, now);
        now.plus(Span::from_secs(self.whole() * SHARES.2))
    }

    fn remember(&mut self, now: Time, wait: Span) {
        let busy = (wait.0 as f64 / 1e6).min(1.0);
        self.past.push_back((now, busy, wait.0 as f64 / 1e6 / self.whole()));
        let kept = Span::from_millis(self.config.report_late_ms + 1_000);
        while self.past.len() > 1 && self.past.front().is_some_and(|(at, ..)| now.since(*at) > kept) {
            self.past.pop_front();
        }
    }

    /// How busy it says it is (0 to 1) and how many it says wait: late and noisy.
    pub fn report(&mut self, now: Time) -> (f64, f64) {
        let late = Span::from_millis(self.config.report_late_ms);
        let then = self.past.iter().rev().find(|(at, ..)| now.since(*at) >= late);
        let (at, busy, waiting) = then.copied().unwrap_or((now, 0.0, 0.0));
        // What waited then has been worked on since: a queue that gets nothing is empty some time.
        let since = now.since(late_by(at, late)).secs();
        let (busy, waiting) = ((busy - since).max(0.0), (waiting - since / self.whole()).max(0.0));
        let noise = 1.0 + self.config.report_noise * (2.0 * random_fraction(&mut self.rng) - 1.0);
        ((busy * noise).clamp(0.0, 1.0), (waiting * noise).max(0.0).round())
    }
}

/// When a report that shows the state of `at` is as late as it usually is.
fn late_by(at: Time, late: Span) -> Time {
    at.plus(late)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(60_000_000 + ms * 1000)
    }

    #[test]
    fn it_takes_its_capacity_and_turns_the_rest_away() {
        let mut processor = Processor::new(ProcessorConfig::default(), 1);
        // 20 s at twice its capacity, each call released after a second.
        let (mut taken, mut releases) = (0, VecDeque::new());
        for ms in (0..20_000).step_by(10) {
            while releases.front().is_some_and(|due: &Time| *due <= at(ms)) {
                releases.pop_front();
                processor.release(at(ms));
            }
            if let Admission::Accepted(done) = processor.offer(at(ms)) {
                taken += 1;
                releases.push_back(done.plus(Span::from_millis(1_000)));
            }
        }
        // 50 a second, less the work of turning a thousand away, and what waits at the end.
        assert!((850..1_080).contains(&taken), "{taken}");
    }

    #[test]
    fn a_report_of_a_full_queue_empties_when_nothing_comes_any_more() {
        let mut processor = Processor::new(ProcessorConfig { report_noise: 0.0, ..Default::default() }, 1);
        for _ in 0..100 {
            processor.offer(at(0));
        }
        assert!(processor.report(at(300)).1 > 50.0);
        assert_eq!(processor.report(at(5_000)), (0.0, 0.0));
    }

    #[test]
    fn a_cold_one_is_slower_and_falls_over_at_a_burst_that_a_warm_one_bears() {
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
