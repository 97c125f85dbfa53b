//! The faults of a trial, drawn from its seed. It uses no socket and reads no clock.

use std::time::Duration;

use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use crate::path::random_fraction;

/// The number of controllers of a trial.
pub const CONTROLLERS: usize = 2;
/// The number of call servers that are listed at its start.
pub const SERVERS: usize = 4;
/// How long callers request calls.
pub const LOAD_TIME: Duration = Duration::from_secs(10);
/// Faults begin after this time, when calls stand, and before the load ends.
const FIRST_FAULT: f64 = 0.8;
const LAST_FAULT: f64 = 7.0;

/// A fault.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Fault {
    /// The controller is stopped by SIGTERM, killed at the earliest, and started again after its end.
    StopController(usize),
    /// The controller is killed and started again.
    KillController(usize),
    /// The controllers' configuration is written anew this often, with a SIGHUP each.
    Reload {
        /// How often.
        times: u32,
        /// Whether discovery moves to another address with each.
        moves_discovery: bool,
    },
    /// The call server drains, is stopped after `drain_time` and listed as gone `listed_after` later; another one takes its place.
    ReplaceServer {
        /// Its number.
        server: usize,
        /// From the listing as draining to its end.
        drain_time: Duration,
        /// From its end to the listing as gone.
        listed_after: Duration,
        /// Whether it sends releases for its calls before it ends.
        sends_releases: bool,
    },
    /// The network to the call server is cut for this long.
    Cut(usize, Duration),
    /// The call server's machine vanishes with its calls, and is back, cold, after this long.
    Vanish(usize, Duration),
    /// The call server receives and sends nothing for this long.
    Hang(usize, Duration),
    /// The call server dies and is back, cold, after this long.
    Restart(usize, Duration),
    /// All connections to the call server are reset.
    Reset(usize),
    /// New connections to the call server carry nothing for this long.
    LateConnections(usize, Duration),
    /// New connections to the call server are closed after this long.
    ShortConnections(usize, Duration),
    /// The next answers of the call server are spoilt.
    SpoiltAnswers(usize),
    /// Discovery says nothing for this long; a call server is listed as draining just before the end.
    SilentDiscovery(Duration),
    /// Discovery refuses connections for this long; a call server is listed as draining just before the end.
    DiscoveryDown(Duration),
    /// Many clients connect at once and stay idle.
    Crowd(usize),
}

/// The plan of a trial.
#[derive(Debug, Clone, PartialEq)]
pub struct Plan {
    /// Its seed.
    pub seed: u64,
    /// Set-ups per second at each controller.
    pub rate: f64,
    /// The mean duration of a call.
    pub hold: Duration,
    /// The longest deadline of a call.
    pub deadline: Duration,
    /// Whether callers confirm releases.
    pub callers_confirm: bool,
    /// Whether messages of callers and call servers travel in pieces.
    pub in_pieces: bool,
    /// Of so many releases of a controller a call server leaves one unconfirmed; 0: none.
    pub unconfirmed_every: u32,
    /// The share of callers that leave before their answer.
    pub impatient: f64,
    /// The share of refused callers that come again at once.
    pub repeats: f64,
    /// Whether bad clients send what cannot be read, stop in the middle of a message, or write slowly.
    pub bad_clients: bool,
    /// Whether a controller that stops gets further signals until its end: SIGHUP and SIGTERM by turns.
    pub signals_in_series: bool,
    /// Whether callers close or reset their connections while calls wait and stand.
    pub callers_disconnect: bool,
    /// The faults and when they begin, in order.
    pub faults: Vec<(Duration, Fault)>,
}

impl Plan {
    /// The plan of a seed.
    pub fn new(seed: u64) -> Plan {
        let mut draw = Draw(Pcg64Mcg::seed_from_u64(seed));
        let rate = draw.between(15.0, 50.0);
        let hold = Duration::from_secs_f64(draw.between(0.5, 4.0));
        let deadline = Duration::from_millis([1_500, 2_500, 9_000][draw.below(3)]);
        let mut plan = Plan {
            seed,
            rate,
            hold,
            deadline,
            callers_confirm: draw.one_in(2),
            in_pieces: draw.one_in(3),
            unconfirmed_every: draw.below(4) as u32,
            impatient: draw.between(0.0, 0.2),
            repeats: draw.between(0.3, 1.0),
            bad_clients: draw.one_in(2),
            signals_in_series: false,
            callers_disconnect: false,
            faults: Vec::new(),
        };
        let count = 4 + draw.below(6);
        for _ in 0..count {
            let at = Duration::from_secs_f64(draw.between(FIRST_FAULT, LAST_FAULT));
            let fault = draw.fault();
            plan.faults.push((at, fault));
        }
        // Each trial has a stop, and every second one a series of them.
        let first = draw.between(FIRST_FAULT, 3.0);
        for n in 0..1 + draw.below(2) {
            let at = Duration::from_secs_f64(first + n as f64 * draw.between(0.05, 1.5));
            plan.faults.push((at, Fault::StopController(n)));
        }
        plan.signals_in_series = draw.one_in(2);
        plan.callers_disconnect = draw.one_in(2);
        plan.faults.sort_by_key(|(at, _)| *at);
        plan
    }
}

/// Random draws.
struct Draw(Pcg64Mcg);

impl Draw {
    fn between(&mut self, least: f64, most: f64) -> f64 {
        least + (most - least) * random_fraction(&mut self.0)
    }
    fn below(&mut self, count: usize) -> usize {
        (random_fraction(&mut self.0) * count as f64) as usize
    }
    fn one_in(&mut self, count: usize) -> bool {
        self.below(count) == 0
    }
    fn secs(&mut self, least: f64, most: f64) -> Duration {
        Duration::from_secs_f64(self.between(least, most))
    }
    fn fault(&mut self) -> Fault {
        let server = self.below(SERVERS);
        match self.below(15) {
            0 => Fault::KillController(self.below(CONTROLLERS)),
            1 => Fault::Reload { times: 1 + self.below(5) as u32, moves_discovery: self.one_in(2) },
            2 | 3 => Fault::ReplaceServer {
                server,
                drain_time: self.secs(0.3, 2.5),
                listed_after: self.secs(0.0, 0.3),
                sends_releases: self.one_in(2),
            },
            4 => Fault::Vanish(server, self.secs(1.0, 5.0)),
            5 => Fault::Hang(server, self.secs(1.0, 5.0)),
            6 => Fault::Restart(server, self.secs(0.05, 2.0)),
            7 | 8 => Fault::Reset(server),
            9 => Fault::LateConnections(server, self.secs(0.05, 1.0)),
            10 => Fault::ShortConnections(server, self.secs(0.05, 1.0)),
            11 => Fault::SpoiltAnswers(server),
            12 => {
                let time = self.secs(0.5, 4.0);
                if self.one_in(2) {
                    Fault::SilentDiscovery(time)
                } else {
                    Fault::DiscoveryDown(time)
                }
            }
            13 => Fault::Cut(server, self.secs(1.0, 5.0)),
            _ => Fault::Crowd(50 + self.below(150)),
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_seed_always_gives_the_same_plan_and_all_faults_are_drawn() {
        assert_eq!(Plan::new(7), Plan::new(7));
        assert_ne!(Plan::new(7), Plan::new(8));
        let kinds = (0..100).flat_map(|seed| Plan::new(seed).faults);
        let kinds: std::collections::BTreeSet<String> = kinds
            .map(|(_, fault)| format!("{fault:?}").split(['(', ' ']).next().unwrap_or_default().to_owned())
            .collect();
        assert_eq!(kinds.len(), 15, "{kinds:?}");
    }
}
