//! A datagram path that loses, repeats, reorders and delays by a seed. No socket here: it says what becomes of each.

use lockpoint::interface::Span;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Deserialize;

/// What a path does.
#[derive(Debug, Clone, Copy, PartialEq, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PathConfig {
    /// Share of the datagrams that never arrive.
    pub loss: f64,
    /// Share that arrives twice.
    pub repeat: f64,
    /// Share that is held back by `held_ms`, so that later ones overtake it.
    pub reorder: f64,
    /// How long those are held back, in milliseconds.
    pub held_ms: f64,
    /// The shortest delay of all, in milliseconds.
    pub delay_ms: f64,
    /// Up to so many milliseconds more, each datagram by itself.
    pub jitter_ms: f64,
}

impl Default for PathConfig {
    fn default() -> Self {
        Self { loss: 0.0, repeat: 0.0, reorder: 0.0, held_ms: 15.0, delay_ms: 0.0, jitter_ms: 0.0 }
    }
}

/// A share of 1 by chance.
pub fn random_fraction(rng: &mut Pcg64Mcg) -> f64 {
    // 53 bits: as many as the mantissa holds.
    (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64
}

/// One direction of a path.
#[derive(Debug, Clone)]
pub struct Path {
    config: PathConfig,
    rng: Pcg64Mcg,
}

impl Path {
    /// A path; the same seed gives the same fates.
    pub fn new(config: PathConfig, seed: u64) -> Path {
        Path { config, rng: Pcg64Mcg::seed_from_u64(seed) }
    }

    /// After how long each copy of the next datagram arrives; none: it is lost.
    pub fn delivery_delays(&mut self) -> Vec<Span> {
        let PathConfig { loss, repeat, reorder, held_ms, delay_ms, jitter_ms } = self.config;
        // Always as many draws, so that one figure changed leaves the other fates as they were.
        let [lost, twice, late, jitter, more] = [(); 5].map(|()| random_fraction(&mut self.rng));
        if lost < loss {
            return Vec::new();
        }
        let held = if late < reorder { held_ms } else { 0.0 };
        let ms = |ms: f64| Span((ms.max(0.0) * 1000.0) as u64);
        let first = ms(delay_ms + jitter * jitter_ms + held);
        if twice < repeat {
            return vec![first, ms(delay_ms + more * jitter_ms + held)];
        }
        vec![first]
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn fates_come_in_the_shares_asked_for_and_again_with_the_same_seed() {
        let config = PathConfig { loss: 0.05, repeat: 0.02, reorder: 0.02, ..PathConfig::default() };
        let fates = |seed| {
            let mut path = Path::new(config, seed);
            (0..100_000).map(|_| path.delivery_delays()).collect::<Vec<_>>()
        };
        let all = fates(7);
        let share = |which: fn(&Vec<Span>) -> bool| all.iter().filter(|f| which(f)).count() as f64 / 1e5;
        assert!((share(Vec::is_empty) - 0.05).abs() < 0.005);
        assert!((share(|f| f.len() == 2) - 0.019).abs() < 0.003);
        assert!((share(|f| f.first() == Some(&Span::from_millis(15))) - 0.019).abs() < 0.003);
        assert_eq!(all, fates(7));
        assert_ne!(all, fates(8));
    }
}
