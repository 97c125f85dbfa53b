//! When this controller registers at another registrar: before the registration expires, and after a failure at
//! growing intervals with jitter, so that many registrants that lost the same registrar do not return at once. This
//! module opens no socket and reads no clock.

use std::net::SocketAddr;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::interface::{Span, Time};

/// The retry interval after the first failure. It doubles with each further failure.
const FIRST_RETRY: Span = Span::from_millis(1_000);
/// The longest retry interval.
const MAX_RETRY: Span = Span::from_millis(300_000);
/// A request without an answer within this time has failed.
const ANSWER_TIMEOUT: Span = Span::from_millis(8_000);
/// The registration time requested, in seconds.
pub const REQUESTED_REFRESH_SECS: u16 = 60;
/// A registration is renewed after a random fraction of the granted time, between these two.
const RENEWAL_FRACTION: (f64, f64) = (0.5, 0.8);

/// The state of the registration at one registrar.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    /// The next request is due at this time.
    Waiting(Time),
    /// A request was sent. No answer by this time is a failure.
    Requested(Time),
}

/// This controller's registration at one registrar.
#[derive(Debug, Clone)]
pub struct Registrant {
    /// The address of the registrar.
    pub address: SocketAddr,
    state: State,
    failures: u32,
    /// When the current registration expires.
    expires: Option<Time>,
    rng: Pcg64Mcg,
}

/// What [`Registrant::run_timer`] requires.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RegistrantAction {
    /// Nothing is due yet.
    Wait,
    /// A registration request is to be sent now.
    SendRequest,
    /// The request was not answered in time: it is given up, and another one follows later.
    GiveUp,
}

impl Registrant {
    /// Creates a registrant whose first request is due within a second of `now`. `seed` determines its jitter.
    pub fn new(address: SocketAddr, now: Time, seed: u64) -> Registrant {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let first = now.plus(FIRST_RETRY.scale(uniform(&mut rng)));
        Registrant { address, state: State::Waiting(first), failures: 0, expires: None, rng }
    }

    /// When [`Registrant::run_timer`] is next due.
    pub fn next_deadline(&self) -> Time {
        match self.state {
            State::Waiting(at) | State::Requested(at) => at,
        }
    }

    /// Returns what is due. After `SendRequest` the answer timeout runs.
    pub fn run_timer(&mut self, now: Time) -> RegistrantAction {
        match self.state {
            State::Waiting(at) if now >= at => {
                self.state = State::Requested(now.plus(ANSWER_TIMEOUT));
                RegistrantAction::SendRequest
            }
            State::Requested(at) if now >= at => {
                self.failed(now);
                RegistrantAction::GiveUp
            }
            State::Waiting(_) | State::Requested(_) => RegistrantAction::Wait,
        }
    }

    /// The registrar has granted a registration for `secs` seconds.
    pub fn granted(&mut self, secs: u32, now: Time) {
        let granted = Span::from_millis(u64::from(secs.max(1)) * 1000);
        let (min, max) = RENEWAL_FRACTION;
        let fraction = min + (max - min) * uniform(&mut self.rng);
        (self.failures, self.expires) = (0, Some(now.plus(granted)));
        self.state = State::Waiting(now.plus(granted.scale(fraction)));
    }

    /// The registrar has refused the request or not answered it.
    pub fn failed(&mut self, now: Time) {
        let interval = Span(FIRST_RETRY.0 << self.failures.min(20)).min(MAX_RETRY);
        self.failures += 1;
        // A random part of the interval between half and all of it, so that retries are spread and none is immediate.
        let interval = interval.scale(0.5 + 0.5 * uniform(&mut self.rng));
        self.state = State::Waiting(now.plus(interval));
    }

    /// Whether the registration is valid at `now`.
    pub fn is_registered(&self, now: Time) -> bool {
        self.expires.is_some_and(|expires| now < expires)
    }
}

/// A random number from 0 up to but not including 1.
fn uniform(rng: &mut Pcg64Mcg) -> f64 {
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
    fn a_registration_is_renewed_before_it_expires() {
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
    fn retry_intervals_grow_with_failures_and_are_spread_over_registrants() {
        let mut sixth_intervals = Vec::new();
        for seed in 0..200 {
            let mut registrant = registrant(seed);
            let mut now = registrant.next_deadline();
            assert_eq!(registrant.run_timer(now), RegistrantAction::SendRequest);
            assert_eq!(registrant.run_timer(now), RegistrantAction::Wait);
            let mut intervals = Vec::new();
            for _ in 0..14 {
                now = registrant.next_deadline();
                assert_eq!(registrant.run_timer(now), RegistrantAction::GiveUp);
                intervals.push(registrant.next_deadline().since(now).secs());
                now = registrant.next_deadline();
                assert_eq!(registrant.run_timer(now), RegistrantAction::SendRequest);
            }
            for (n, interval) in intervals.iter().enumerate() {
                let longest = (1_u64 << n).min(300) as f64;
                assert!((longest / 2.0..=longest).contains(interval), "seed {seed}, failure {n}: {interval}");
            }
            sixth_intervals.push(intervals[5]);
            registrant.granted(60, now);
            registrant.failed(now);
            assert!(
                registrant.next_deadline().since(now).secs() <= 1.0,
                "a success resets the count of failures"
            );
        }
        let early = sixth_intervals.iter().filter(|interval| **interval < 24.0).count();
        assert!((60..140).contains(&early), "{early} of 200 intervals in the first half of the range");
    }
}
