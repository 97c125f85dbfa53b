//! The load model: open-loop arrivals, redials and impatient callers, driven by a seed. It uses no socket and reads no
//! clock.

use lockpoint::interface::{Span, Time};
use rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::path::random_fraction;

/// The behaviour of the callers.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallersConfig {
    /// The share of calls requested by IAX2 callers; JSON-lines callers request the rest.
    pub iax2: f64,
    /// How long a caller waits for an answer, in milliseconds.
    pub patience_ms: u64,
    /// The share of callers that cancel at a random moment before that.
    pub impatient: f64,
    /// The share of established calls that the caller ends, after half the mean duration.
    pub hang_up: f64,
    /// The probability that a refused caller redials.
    pub redial: f64,
    /// The maximum number of redials of one caller.
    pub redials: u32,
    /// The length of a description, in bytes.
    pub text_bytes: usize,
    /// The number of connections (JSON lines) and sockets (IAX2) that the callers share.
    pub connections: usize,
}

impl Default for CallersConfig {
    fn default() -> Self {
        Self {
            iax2: 0.5,
            patience_ms: 9_000,
            impatient: 0.02,
            hang_up: 0.1,
            redial: 0.5,
            redials: 2,
            text_bytes: 120,
            connections: 4,
        }
    }
}

/// A caller's planned call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPlan {
    /// When the caller requests the call.
    pub at: Time,
    /// The number of the call; its name and number called follow from it.
    pub number: u64,
    /// Whether the caller uses IAX2.
    pub iax2: bool,
    /// The cell of the caller's first choice.
    pub dest: u16,
    /// The caller cancels after this time if there is no answer.
    pub gives_up_after: Option<Span>,
    /// Whether the caller ends the established call.
    pub hangs_up: bool,
    /// The number of earlier requests of this caller.
    pub redialled: u32,
}

/// A generator of arrivals and redials.
#[derive(Debug, Clone)]
pub struct Load {
    config: CallersConfig,
    cells: u16,
    rng: Pcg64Mcg,
    last_number: u64,
}

impl Load {
    /// A load on `cells` cells; the same seed gives the same callers.
    pub fn new(config: CallersConfig, cells: u16, seed: u64) -> Load {
        Load { config, cells: cells.max(1), rng: Pcg64Mcg::seed_from_u64(seed), last_number: 0 }
    }

    /// The next arrival after `now` in a Poisson process with `rate` arrivals per second.
    pub fn arrival(&mut self, now: Time, rate: f64) -> CallerPlan {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.plan(now.plus(Span::from_secs(gap / rate.max(1e-6))), 0)
    }

    fn plan(&mut self, at: Time, redialled: u32) -> CallerPlan {
        let [iax2, impatient, when, hangs_up] = [(); 4].map(|()| random_fraction(&mut self.rng));
        let dest = (self.rng.next_u32() % u32::from(self.cells)) as u16;
        let timeout = Span::from_millis(self.config.patience_ms);
        self.last_number += 1;
        CallerPlan {
            at,
            number: self.last_number,
            iax2: iax2 < self.config.iax2,
            dest,
            gives_up_after: (impatient < self.config.impatient).then(|| timeout.scale(when)),
            hangs_up: hangs_up < self.config.hang_up,
            redialled,
        }
    }

    /// The redial of a refused caller who was told to wait for `wait`; `None` if the caller does not redial. The protocol
    /// and the destination stay the same, but it is a new call.
    pub fn redial(&mut self, now: Time, refused: &CallerPlan, wait: Span) -> Option<CallerPlan> {
        let (draw, spread) = (random_fraction(&mut self.rng), random_fraction(&mut self.rng));
        if refused.redialled >= self.config.redials || draw >= self.config.redial {
            return None;
        }
        let at = now.plus(wait).plus(Span::from_millis(500).scale(spread));
        let mut plan = self.plan(at, refused.redialled + 1);
        (plan.iax2, plan.dest) = (refused.iax2, refused.dest);
        Some(plan)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrivals_have_the_given_rate_and_redials_are_limited() {
        let mut load = Load::new(CallersConfig { redial: 1.0, ..CallersConfig::default() }, 3, 5);
        let (mut now, mut iax2) = (Time(0), 0);
        for _ in 0..20_000 {
            let plan = load.arrival(now, 100.0);
            (now, iax2) = (plan.at, iax2 + u32::from(plan.iax2));
        }
        assert!((now.0 as f64 / 1e6 - 200.0).abs() < 6.0, "{now:?}");
        assert!((9_700..10_300).contains(&iax2), "{iax2}");
        let first = load.arrival(now, 1.0);
        let second = load.redial(first.at, &first, Span::from_millis(100)).expect("a first redial");
        assert!(second.at >= first.at.plus(Span::from_millis(100)) && second.number != first.number);
        let third = load.redial(second.at, &second, Span::default()).expect("a second redial");
        assert_eq!(load.redial(third.at, &third, Span::default()), None);
    }
}
