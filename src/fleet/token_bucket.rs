//! A token bucket of permits to send calls to one server, parts of which can be lent to other controllers.
//!
//! All controllers together must not overload the server. Each has a bucket that refills at a rate of its own; what
//! exceeds the capacity is discarded. A call consumes one permit. Credit is taken off the lender's bucket before the
//! borrower hears of it, so permits may be lost with a datagram but are never duplicated. Safety needs no link, clock
//! or reply of another controller.

use serde::{Deserialize, Serialize};

use crate::interface::{Permits, Span, Time};

/// Share of the capacity that a lender keeps for its own calls. Higher: permits are discarded here that others need.
/// Lower: the lender itself runs short a moment later.
const RESERVED_SHARE: f64 = 0.5;

/// Permits for one call server, counted in calls. The serialized field names are those of earlier releases, whose
/// records and hand-overs must stay readable.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct TokenBucket {
    /// Permits available; a call may be sent from 0 on.
    #[serde(rename = "own")]
    tokens: f64,
    /// Permits kept at most.
    #[serde(rename = "most")]
    capacity: f64,
    /// Time of the last refill.
    #[serde(rename = "at")]
    refilled_at: Time,
}

impl TokenBucket {
    /// A bucket with `tokens` permits; a negative number delays the first call until so many have been added.
    pub fn new(tokens: f64, now: Time) -> TokenBucket {
        TokenBucket { tokens, capacity: 0.0, refilled_at: now }
    }

    /// Adds the permits earned by `now` at `rate` per second. What exceeds `capacity` is discarded in steps drawn from
    /// `step`, so that many controllers do not discard in lockstep.
    pub fn refill(&mut self, now: Time, rate: f64, capacity: f64, mut step: impl FnMut() -> f64) {
        self.tokens += now.since(self.refilled_at).secs() * rate;
        (self.refilled_at, self.capacity) = (now, capacity);
        while self.tokens > capacity {
            self.tokens -= step();
        }
    }

    /// Permits available; a negative number is the shortfall.
    pub fn available(&self) -> f64 {
        self.tokens
    }

    /// Consumes the permit of one call. Its size is 1 on average.
    pub fn consume(&mut self, size: f64) {
        self.tokens -= size;
    }

    /// Takes credit for another controller off this bucket, at most `wanted`; returns what was taken.
    pub fn lend(&mut self, wanted: Permits) -> Permits {
        let reserved = self.capacity.max(0.0) * RESERVED_SHARE;
        let lent = Permits::from_calls((self.tokens - reserved).max(0.0)).min(wanted);
        self.tokens -= lent.as_calls();
        lent
    }

    /// Adds credit that another controller lent. It is treated like refilled permits: it stays until it is consumed, or
    /// discarded above the capacity.
    pub fn borrow(&mut self, lent: Permits) {
        self.tokens += lent.as_calls();
    }
}

/// Upper bound on the calls that any number of controllers send to one call server within `window`. `rate` is the sum
/// of all refill rates per second, `lapse` the time in which a bucket fills, and `transfer_ttl` the longest time that
/// credit is in transit. Permits held or in transit when the window begins were earned within `lapse + transfer_ttl`
/// before it; the rest is earned within the window. Lost links, pauses and restarts only reduce the number.
pub fn max_consumed_within(window: Span, rate: f64, lapse: Span, transfer_ttl: Span) -> f64 {
    rate * (window.secs() + lapse.secs() + transfer_ttl.secs())
}

#[cfg(test)]
mod tests;
