//! Token bucket of bytes.

use crate::interface::Time;

/// Lets through so many bytes a second, and as many at once after a pause.
#[derive(Debug)]
pub struct TokenBucket {
    per_second: f64,
    tokens: f64,
    filled: Time,
}

impl TokenBucket {
    /// A full bucket.
    pub fn new(bytes_per_second: u32, now: Time) -> TokenBucket {
        TokenBucket {
            per_second: f64::from(bytes_per_second),
            tokens: f64::from(bytes_per_second),
            filled: now,
        }
    }

    /// Bytes that may be sent now.
    pub fn available(&mut self, now: Time) -> usize {
        self.fill(now);
        self.tokens.max(0.0) as usize
    }

    /// Takes the bytes if they are there.
    pub fn try_take(&mut self, now: Time, bytes: usize) -> bool {
        self.fill(now);
        let wanted = bytes as f64;
        if self.tokens < wanted {
            return false;
        }
        self.tokens -= wanted;
        true
    }

    /// Takes the bytes even if that leaves a debt: for what must not wait, such as heartbeats. The debt is bounded by
    /// one second's bytes.
    pub fn take(&mut self, now: Time, bytes: usize) {
        self.fill(now);
        self.tokens = (self.tokens - bytes as f64).max(-self.per_second);
    }

    fn fill(&mut self, now: Time) {
        let come = now.since(self.filled).secs() * self.per_second;
        self.tokens = (self.tokens + come).min(self.per_second);
        self.filled = self.filled.max(now);
    }
}
