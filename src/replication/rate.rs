//! Token bucket that limits bytes sent per second.

use crate::interface::Time;

/// Token bucket that refills at a rate of bytes per second; its capacity is one second's bytes.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn new(bytes_per_second: u32, now: Time) -> TokenBucket {
        TokenBucket {
            per_second: f64::from(bytes_per_second),
            tokens: f64::from(bytes_per_second),
            refilled_at: now,
        }
    }

    /// Returns the number of bytes that may be sent now.
    pub fn available(&mut self, now: Time) -> usize {
        self.refill(now);
        self.tokens.max(0.0) as usize
    }

    /// Takes the bytes if they are available; returns whether it did.
    pub fn try_take(&mut self, now: Time, bytes: usize) -> bool {
        self.refill(now);
        let wanted = bytes as f64;
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    /// Takes the bytes even if that leaves a debt, for messages that must not wait, such as heartbeats. The debt is
    /// bounded by one second's bytes.
    pub fn take_with_debt(&mut self, now: Time, bytes: usize) {
        self.refill(now);
        self.tokens = (self.tokens - bytes as f64).max(-self.per_second);
    }

    fn refill(&mut self, now: Time) {
        let added = now.since(self.refilled_at).secs() * self.per_second;
        self.tokens = (self.tokens + added).min(self.per_second);
        self.refilled_at = self.refilled_at.max(now);
    }
}
