//! Samples from probability distributions; the source of randomness is passed in.

use rand_core::RngCore;

/// Samples from a source of randomness.
pub trait Sample {
    /// A sample from the uniform distribution over [0, 1).
    fn uniform(&mut self) -> f64;
    /// A sample from the exponential distribution with mean 1.
    fn exponential(&mut self) -> f64;
}

impl<R: RngCore> Sample for R {
    fn uniform(&mut self) -> f64 {
        f64::from(self.next_u32()) / (f64::from(u32::MAX) + 1.0)
    }

    fn exponential(&mut self) -> f64 {
        -(1.0 - self.uniform()).ln()
    }
}
