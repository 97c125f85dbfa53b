//! Observations of call servers, and which of two observations of the same call server is newer.

use crate::interface::{ServerState, Span, Time};

/// A call server's identifier in datagrams: the first four bytes of the SHA-256 of its host name. The controllers'
/// internal numbers for call servers differ from each other, so they cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

impl Key {
    /// The key of the call server with this host name.
    pub fn of(host: &str) -> Key {
        Key::hashed(&[host])
    }

    /// The key for the call server's state as listed by directories. It differs from [`Key::of`], so that observations
    /// of the processor and of the listing do not replace each other.
    pub fn of_listing(host: &str) -> Key {
        Key::hashed(&["listing:", host])
    }

    fn hashed(parts: &[&str]) -> Key {
        use sha2::Digest;
        let digest = parts.iter().fold(sha2::Sha256::new(), |sha, part| sha.chain_update(part)).finalize();
        Key(u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]))
    }
}

/// The wait that encodes each state in an observation of a listing. The severities of these waits are far enough apart
/// that every change of the state is published.
const LISTING_WAITS: [(ServerState, Span); 3] = [
    (ServerState::Ready, Span::from_millis(0)),
    (ServerState::Draining, Span::from_millis(1_000)),
    (ServerState::Gone, Span::from_millis(30_000)),
];

/// The wait that encodes a listed state.
pub fn encode_listing(state: ServerState) -> Span {
    LISTING_WAITS.iter().find(|(listed, _)| *listed == state).map(|(_, wait)| *wait).unwrap_or_default()
}

/// The listed state that a wait encodes; `None` if this version knows no such state.
pub fn decode_listing(wait: Span) -> Option<ServerState> {
    LISTING_WAITS.iter().find(|(_, encoded)| *encoded == wait).map(|(state, _)| *state)
}

/// The longest wait or age that fits into a datagram: 65.535 s.
pub const MAX_ENCODED_SPAN: Span = Span::from_millis(u16::MAX as u64);

/// The state of a call server as observed by one controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The wait at its processor.
    pub wait: Span,
    /// Whether it failed to answer.
    pub silent: bool,
    /// When it was observed, by the local clock. A received observation may be newer than this value, but is never
    /// older as long as the smallest latency of the link is at most
    /// [`FleetConfig::min_latency`](super::FleetConfig::min_latency).
    pub observed_at: Time,
    /// Index of the controller that observed it.
    pub origin: u16,
    /// Number of observations published by the origin; wraps around at 65,536.
    pub version: u16,
}

/// Two observations of one origin whose versions differ by at most this are ordered by version. If they differ by more,
/// the origin has restarted its count, and the observations are ordered by time.
const VERSION_WINDOW: u16 = 1_024;

/// Waits below this have the lowest severity.
const SEVERITY_UNIT_US: u64 = 50_000;

/// Load of a call server on a logarithmic scale: each step doubles the wait.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Severity(u8);

impl Severity {
    /// The severity of a call server that does not answer.
    pub const SILENT: Severity = Severity(u8::MAX);

    /// Number of steps between two severities.
    pub fn distance(self, other: Severity) -> u8 {
        self.0.abs_diff(other.0)
    }
}

impl Observation {
    /// Its severity. Waits under 50 ms are not distinguished.
    pub fn severity(&self) -> Severity {
        if self.silent {
            return Severity::SILENT;
        }
        let units = self.wait.0 / SEVERITY_UNIT_US;
        Severity((u64::BITS - units.leading_zeros()) as u8)
    }

    /// Its age at `now`.
    pub fn age(&self, now: Time) -> Span {
        now.since(self.observed_at)
    }

    /// Weight of this observation in a decision: 1 when it is new, decreasing linearly to 0 at `max_age`.
    pub fn weight(&self, now: Time, max_age: Span) -> f64 {
        1.0 - self.age(now).fraction_between(Span::default(), max_age)
    }

    /// Whether this observation replaces the other one because it is newer. Two observations of the same origin are
    /// ordered by version, so that a duplicate never counts as new. Of two with the same time the more severe one takes
    /// precedence, then the one with the lower origin. All controllers therefore converge to the same observation
    /// regardless of the order of arrival.
    pub fn supersedes(&self, other: &Observation) -> bool {
        if self.origin == other.origin {
            let ahead = self.version.wrapping_sub(other.version);
            if ahead <= VERSION_WINDOW {
                return ahead > 0;
            }
            if ahead.wrapping_neg() <= VERSION_WINDOW {
                return false;
            }
        }
        let rank = |o: &Observation| (o.observed_at, o.severity(), o.wait, std::cmp::Reverse(o.origin));
        rank(self) > rank(other)
    }
}

#[cfg(test)]
mod tests;
