//! What callers want: arrivals in open loop, bursts, redials and impatience, by a seed. No socket and no clock here.

use lockpoint::interface::{Span, Time};
use rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

use crate::path::random_fraction;

/// What callers are like.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CallersConfig {
    /// Share of the calls that IAX2 callers ask for; JSON-lines callers ask for the rest.
    pub iax2: f64,
    /// How long a caller waits, in milliseconds.
    pub patience_ms: u64,
    /// Share that gives up at a random moment before.
    pub impatient: f64,
    /// Share of the calls that stand which the caller ends, after half the usual hold.
    pub hang_up: f64,
    /// How often a refused caller asks again, each time with this chance ...
    pub redial: f64,
    /// ... and at most so often.
    pub redials: u32,
    /// Bytes of a description.
    pub text_bytes: usize,
    /// Connections (JSON lines) and sockets (IAX2) that callers share.
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

/// A caller who wants a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallerPlan {
    /// When he asks.
    pub at: Time,
    /// His number among all calls: names and chances follow from it.
    pub number: u64,
    /// Over IAX2.
    pub iax2: bool,
    /// The cell of his first choice.
    pub dest: u16,
    /// He gives up after this, if the answer is not there.
    pub gives_up_after: Option<Span>,
    /// He ends the call himself.
    pub hangs_up: bool,
    /// How often he has asked before.
    pub redialled: u32,
}

/// Arrivals and what becomes of refused callers.
#[derive(Debug, Clone)]
pub struct Load {
    config: CallersConfig,
    cells: u16,
    rng: Pcg64Mcg,
    next_no: u64,
}

impl Load {
    /// Callers of so many cells; the same seed gives the same callers.
    pub fn new(config: CallersConfig, cells: u16, seed: u64) -> Load {
        Load { config, cells: cells.max(1), rng: Pcg64Mcg::seed_from_u64(seed), next_no: 0 }
    }

    /// The next arrival after `now` at a rate of so many a second (Poisson).
    pub fn arrival(&mut self, now: Time, rate: f64) -> CallerPlan {
        let gap: f64 = Exp1.sample(&mut self.rng);
        self.wanted(now.plus(Span::from_secs(gap / rate.max(1e-6))), 0)
    }

    fn wanted(&mut self, at: Time, redialled: u32) -> CallerPlan {
        let [iax2, impatient, when, hangs_up] = [(); 4].map(|()| random_fraction(&mut self.rng));
        let dest = (self.rng.next_u32() % u32::from(self.cells)) as u16;
        let patience = Span::from_millis(self.config.patience_ms);
        self.next_no += 1;
        CallerPlan {
            at,
            number: self.next_no,
            iax2: iax2 < self.config.iax2,
            dest,
            gives_up_after: (impatient < self.config.impatient).then(|| patience.scale(when)),
            hangs_up: hangs_up < self.config.hang_up,
            redialled,
        }
    }

    /// A refused caller, told to stay away for `wait`: when he asks again, if he does. He is the same caller as before,
    /// with the same patience and on the same wire, but his call is a new one.
    pub fn redial(&mut self, now: Time, of: &CallerPlan, wait: Span) -> Option<CallerPlan> {
        let (again, spread) = (random_fraction(&mut self.rng), random_fraction(&mut self.rng));
        if of.redialled >= self.config.redials || again >= self.config.redial {
            return None;
        }
        let at = now.plus(wait).plus(Span::from_millis(500).scale(spread));
        let mut wanted = self.wanted(at, of.redialled + 1);
        (wanted.iax2, wanted.dest) = (of.iax2, of.dest);
        Some(wanted)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn arrivals_keep_their_rate_and_redials_their_bound() {
        let mut load = Load::new(CallersConfig { redial: 1.0, ..CallersConfig::default() }, 3, 5);
        let (mut now, mut iax2) = (Time(0), 0);
        for _ in 0..20_000 {
            let wanted = load.arrival(now, 100.0);
            (now, iax2) = (wanted.at, iax2 + u32::from(wanted.iax2));
        }
        assert!((now.0 as f64 / 1e6 - 200.0).abs() < 6.0, "{now:?}");
        assert!((9_700..10_300).contains(&iax2), "{iax2}");
        let first = load.arrival(now, 1.0);
        let second = load.redial(first.at, &first, Span::from_millis(100)).expect("asks again");
        assert!(second.at >= first.at.plus(Span::from_millis(100)) && second.number != first.number);
        let third = load.redial(second.at, &second, Span::default()).expect("and again");
        assert_eq!(load.redial(third.at, &third, Span::default()), None);
    }
}
