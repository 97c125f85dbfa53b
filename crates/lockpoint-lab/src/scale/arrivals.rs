//! Open-loop call arrivals: time, service and controller of each call, generated from a seed.

use lockpoint::interface::{Span, Time};
use rand_core::{RngCore, SeedableRng};
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use super::services::Service;

/// An arriving call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Arrival {
    /// Time of arrival.
    pub at: Time,
    /// Controller at which it arrives.
    pub controller: u16,
    /// Requested service.
    pub service: u16,
    /// Its call server of first choice.
    pub server: u16,
}

/// Generates calls. Each service's share is proportional to the number of its call servers, so that these are used evenly.
#[derive(Debug)]
pub struct Arrivals {
    rng: Pcg64Mcg,
    controllers: u16,
    rate: f64,
    /// One pair of service and call server for each call server of each service.
    choices: Vec<(u16, u16)>,
}

impl Arrivals {
    /// A generator of `rate` calls per second over all controllers.
    pub fn new(services: &[Service], controllers: u16, rate: f64, seed: u64) -> Arrivals {
        let pairs = |(service, no): (&Service, u16)| -> Vec<(u16, u16)> {
            service.servers.iter().map(|server| (no, *server)).collect()
        };
        let choices = services.iter().zip(0..).flat_map(pairs).collect();
        Arrivals { rng: Pcg64Mcg::seed_from_u64(seed ^ 0x6361_6c6c), controllers, rate, choices }
    }

    /// The next call after `now`.
    pub fn next(&mut self, now: Time) -> Arrival {
        let gap: f64 = Exp1.sample(&mut self.rng);
        let controller = (self.rng.next_u32() % u32::from(self.controllers)) as u16;
        let choice = (self.rng.next_u64() % self.choices.len().max(1) as u64) as usize;
        let (service, server) = self.choices.get(choice).copied().unwrap_or_default();
        Arrival { at: now.plus(Span::from_secs(gap / self.rate)), controller, service, server }
    }
}
