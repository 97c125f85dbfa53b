//! When we register elsewhere: anew before our time is over, and after a failure with growing gaps and jitter, so that
//! many who lost the same registrar do not come back at once. No socket and no clock here.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::{Span, Time};

/// The gap after the first failure; each further one is twice as long.
const FIRST_GAP: Span = Span::from_millis(1_000);
/// The longest gap.
const LONGEST_GAP: Span = Span::from_millis(300_000);
/// An answer must have come within this.
const ANSWERS_WITHIN: Span = Span::from_millis(8_000);
/// What is asked for, in seconds.
pub const REQUESTED_REFRESH_SECS: u16 = 60;
/// Registered anew after a share of the granted time between these.
const RENEWED: (f64, f64) = (0.5, 0.8);

/// How it stands with one registrar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// To be asked then.
    Waits(Time),
    /// Asked; no answer by then is a failure.
    Asked(Time),
}

/// Our registration at one registrar.
#[derive(Debug, Clone)]
pub struct Registrant {
    /// Where the registrar is.
    pub address: SocketAddr,
    state: State,
    failures: u32,
    /// Until when we are registered.
    until: Option<Time>,
    rng: Pcg64Mcg,
}

/// What falls due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrantAction {
    /// Nothing yet.
    Wait,
    /// Ask now.
    SendRequest,
    /// What was asked is not answered: given up, and asked again later.
    GiveUp,
}

impl Registrant {
    /// One that asks within a second of `now`. `seed`: where its jitter comes from.
    pub fn new(address: SocketAddr, now: Time, seed: u64) -> Registrant {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first = now.plus(FIRST_GAP.scale(chance(&mut rng)));
        Registrant { address, state: State::Waits(first), failures: 0, until: None, rng }
    }

    /// When `due` has something to say.
    pub fn next_deadline(&self) -> Time {
        match self.state {
            State::Waits(at) | State::Asked(at) => at,
        }
    }

    /// What is due. After `Ask` an answer is waited for.
    pub fn run_timer(&mut self, now: Time) -> RegistrantAction {
        match self.state {
            State::Waits(at) if now >= at => {
                self.state = State::Asked(now.plus(ANSWERS_WITHIN));
                RegistrantAction::SendRequest
            }
            State::Asked(at) if now >= at => {
                self.failed(now);
                RegistrantAction::GiveUp
            }
            State::Waits(_) | State::Asked(_) => RegistrantAction::Wait,
        }
    }

    /// Registered for so many seconds.
    pub fn granted(&mut self, secs: u32, now: Time) {
        let granted = Span::from_millis(u64::from(secs.max(1)) * 1000);
        let (least, most) = RENEWED;
        let share = least + (most - least) * chance(&mut self.rng);
        (self.failures, self.until) = (0, Some(now.plus(granted)));
        self.state = State::Waits(now.plus(granted.scale(share)));
    }

    /// Refused, or not answered.
    pub fn failed(&mut self, now: Time) {
        let gap = Span(FIRST_GAP.0 << self.failures.min(20)).min(LONGEST_GAP);
        self.failures += 1;
        // Between a half and the whole of the gap: spread, and never at once.
        let gap = gap.scale(0.5 + 0.5 * chance(&mut self.rng));
        self.state = State::Waits(now.plus(gap));
    }

    /// Whether we are registered there.
    pub fn is_registered(&self, now: Time) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}

fn chance(rng: &mut Pcg64Mcg) -> f64 {
    f64::from(rng.next_u32()) / (f64::from(u32::MAX) + 1.0)
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(secs: f64) -> Time {
        Time(1_000_000_000 + (secs * 1e6) as u64)
    }

    fn registrant(seed: u64) -> Registrant {
        Registrant::new(SocketAddr::from(([127, 0, 0, 1], 1)), at(0.0), seed)
    }

    #[test]
    fn it_renews_before_its_time_is_over() {
        for seed in 0..200 {
            let mut registrant = registrant(seed);
            let first = registrant.next_deadline();
            assert!(
                first <= at(1.0)
                    && registrant.run_timer(first) == RegistrantAction::SendRequest
                    && !registrant.is_registered(first)
            );
            registrant.granted(60, first);
            let next = registrant.next_deadline().since(first).secs();
            assert!(
                (30.0..=48.0).contains(&next) && registrant.is_registered(registrant.next_deadline()),
                "{next}"
            );
        }
    }

    #[test]
    fn failures_make_the_gaps_grow_and_many_do_not_come_back_at_once() {
        let mut firsts = Vec::new();
        for seed in 0..200 {
            let mut registrant = registrant(seed);
            let mut now = registrant.next_deadline();
            assert_eq!(registrant.run_timer(now), RegistrantAction::SendRequest);
            assert_eq!(registrant.run_timer(now), RegistrantAction::Wait);
            let mut gaps = Vec::new();
            for _ in 0..14 {
                now = registrant.next_deadline();
                assert_eq!(registrant.run_timer(now), RegistrantAction::GiveUp);
                gaps.push(registrant.next_deadline().since(now).secs());
                now = registrant.next_deadline();
                assert_eq!(registrant.run_timer(now), RegistrantAction::SendRequest);
            }
            for (n, gap) in gaps.iter().enumerate() {
                let whole = (1_u64 << n).min(300) as f64;
                assert!((whole / 2.0..=whole).contains(gap), "seed {seed}, failure {n}: {gap}");
            }
            firsts.push(gaps[5]);
            registrant.granted(60, now);
            registrant.failed(now);
            assert!(registrant.next_deadline().since(now).secs() <= 1.0, "a success forgives the failures");
        }
        let early = firsts.iter().filter(|gap| **gap < 24.0).count();
        assert!((60..140).contains(&early), "{early} of 200 in the first half");
    }
}
