//! A model of a datagram path with loss, duplication, reordering and delay, driven by a seed. It uses no socket: it only
//! decides what happens to each datagram.

use lockpoint::interface::Span;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

/// The faults of a path.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathConfig {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share that is duplicated.
    pub repeat: f64,
    /// The share that is delayed by `held_ms`, so that later datagrams overtake it.
    pub reorder: f64,
    /// The additional delay of reordered datagrams, in milliseconds.
    pub held_ms: f64,
    /// The minimum delay, in milliseconds.
    pub delay_ms: f64,
    /// The largest random delay added to each datagram, in milliseconds.
    pub jitter_ms: f64,
}

impl Default for PathConfig {
    fn default() -> Self {
        Self { loss: 0.0, repeat: 0.0, reorder: 0.0, held_ms: 15.0, delay_ms: 0.0, jitter_ms: 0.0 }
    }
}

/// A uniformly distributed random number from 0 up to, but not including, 1.
pub fn random_fraction(rng: &mut Pcg64Mcg) -> f64 {
    // 53 bits: the precision of the mantissa.
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// One direction of a path.
#[derive(Debug, Clone)]
pub struct Path {
    config: PathConfig,
    rng: Pcg64Mcg,
}

impl Path {
    /// A path; the same seed gives the same delays.
    pub fn new(config: PathConfig, seed: u64) -> Path {
        Path { config, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// The delay of each copy of the next datagram; empty if it is lost.
    pub fn delivery_delays(&mut self) -> Vec<Span> {
        let PathConfig { loss, repeat, reorder, held_ms, delay_ms, jitter_ms } = self.config;
        // The number of random draws is constant, so that a change of one setting leaves the others' effects as they were.
        let [lost, duplicated, reordered, jitter, second_jitter] =
            [(); 5].map(|()| random_fraction(&mut self.rng));
        if lost < loss {
            return Vec::new();
        }
        let extra_delay = if reordered < reorder { held_ms } else { 0.0 };
        let ms = |ms: f64| Span((ms.max(0.0) * 1000.0) as u64);
        let first = ms(delay_ms + jitter * jitter_ms + extra_delay);
        if duplicated < repeat {
            return vec![first, ms(delay_ms + second_jitter * jitter_ms + extra_delay)];
        }
        vec![first]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn faults_have_the_configured_shares_and_repeat_with_the_same_seed() {
        let config = PathConfig { loss: 0.05, repeat: 0.02, reorder: 0.02, ..PathConfig::default() };
        let delays = |seed| {
            let mut path = Path::new(config, seed);
            (0..100_000).map(|_| path.delivery_delays()).collect::<Vec<_>>()
        };
        let all = delays(7);
        let share = |matches_delays: fn(&Vec<Span>) -> bool| {
            all.iter().filter(|f| matches_delays(f)).count() as f64 / 1e5
        };
        assert!((share(Vec::is_empty) - 0.05).abs() < 0.005);
        assert!((share(|f| f.len() == 2) - 0.019).abs() < 0.003);
        assert!((share(|f| f.first() == Some(&Span::from_millis(15))) - 0.019).abs() < 0.003);
        assert_eq!(all, delays(7));
        assert_ne!(all, delays(8));
    }
}
