//! A token bucket of permits to send set-ups to one call server. Permits, or fractions of them, can be lent to other
//! controllers.
//!
//! All controllers together must not overload the call server. Each controller has a bucket that refills at its own
//! rate; permits above the capacity are discarded. A call consumes one permit. Credit is deducted from the lender's
//! bucket before it is sent to the borrower, so permits may be lost with a datagram but are never duplicated. The limit
//! therefore holds without any link to, clock of, or reply from another controller.

use serde::{Deserialize, Serialize};

use crate::interface::{Permits, Span, Time};

/// Share of the capacity that a lender keeps for its own calls. With a higher share, permits are discarded here while
/// other controllers need them; with a lower one, the lender itself runs short a moment later.
const RESERVED_SHARE: f64 = 0.5;

/// Permits for one call server, counted in calls. The serialized field names are those of earlier releases, so that
/// their records and takeover state stay readable.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TokenBucket {
    /// Permits available; a call may be sent while this is at least 0.
    #[serde(rename = "own")]
    tokens: f64,
    /// Maximum number of permits kept.
    #[serde(rename = "most")]
    capacity: f64,
    /// Time of the last refill.
    #[serde(rename = "at")]
    refilled_at: Time,
}

impl TokenBucket {
    /// Creates a bucket with `tokens` permits; a negative number delays the first call until that many have been added.
    pub fn new(tokens: f64, now: Time) -> TokenBucket {
        TokenBucket { tokens, capacity: 0.0, refilled_at: now }
    }

    /// Adds the permits earned until `now` at `rate` per second. Permits above `capacity` are discarded in steps drawn
    /// from `step`, so that the controllers do not discard in lockstep.
    pub fn refill(&mut self, now: Time, rate: f64, capacity: f64, mut step: impl FnMut() -> f64) {
        self.tokens += now.since(self.refilled_at).secs() * rate;
        (self.refilled_at, self.capacity) = (now, capacity);
        while self.tokens > capacity {
            self.tokens -= step();
        }
    }

    /// Permits available; a negative number is a shortfall.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Consumes the permit of one call; `size` is 1 on average.
    pub fn consume(&mut self, size: f64) {
        self.tokens -= size;
    }

    /// Deducts credit for another controller from this bucket, at most `wanted`; returns the amount deducted.
    pub fn lend(&mut self, wanted: Permits) -> Permits {
        let reserved = self.capacity.max(0.0) * RESERVED_SHARE;
        let lent = Permits::from_calls((self.tokens - reserved).max(0.0)).min(wanted);
        self.tokens -= lent.as_calls();
        lent
    }

    /// Adds credit lent by another controller. It is treated like refilled permits: it remains until it is consumed, or
    /// discarded because the capacity is exceeded.
    pub fn borrow(&mut self, lent: Permits) {
        self.tokens += lent.as_calls();
    }
}

/// Upper bound on the number of calls that any number of controllers send to one call server within `window`. `rate` is
/// the sum of all refill rates per second, `fill_time` the time in which a bucket fills, and `transfer_ttl` the longest
/// time for which credit is in transit. Permits held or in transit when the window begins were earned within
/// `fill_time + transfer_ttl` before it; the rest is earned within the window. Link failures, pauses and restarts only
/// reduce the number.
pub fn max_consumed_within(window: Span, rate: f64, fill_time: Span, transfer_ttl: Span) -> f64 {
    rate * (window.secs() + fill_time.secs() + transfer_ttl.secs())
}

#[cfg(test)]
mod tests;
