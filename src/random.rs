//! Draws from distributions. Mechanical: the source of randomness is passed in.

use rand_core::RngCore;

/// Draws from any source of randomness.
pub trait Sample {
    /// Evenly from 0 (included) to 1 (excluded).
    fn uniform(&mut self) -> f64;
    /// From the exponential distribution of mean 1.
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
