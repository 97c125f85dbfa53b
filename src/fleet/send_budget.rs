//! Rate limit on the bytes that a controller sends to its peers.

use crate::interface::Time;

/// A token bucket of bytes that holds one second's worth.
#[derive(Debug)]
pub(super) struct SendBudget {
    bytes_per_second: f64,
    available: f64,
    updated_at: Time,
}

impl SendBudget {
    /// Creates a full bucket.
    pub(super) fn new(bytes_per_second: u32, now: Time) -> SendBudget {
        let bytes_per_second = f64::from(bytes_per_second);
        SendBudget { bytes_per_second, available: bytes_per_second, updated_at: now }
    }

    /// Takes `bytes` from the bucket if they are available; otherwise takes nothing and returns `false`.
    pub(super) fn try_take(&mut self, now: Time, bytes: usize) -> bool {
        let earned = now.since(self.updated_at).secs() * self.bytes_per_second;
        self.available = (self.available + earned).min(self.bytes_per_second);
        self.updated_at = now;
        if bytes as f64 > self.available {
            return false;
        }
        self.available -= bytes as f64;
        true
    }
}
