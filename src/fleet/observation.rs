//! Observations of call servers, and which of two observations of the same call server is newer.

use crate::interface::{ServerState, Span, Time};

/// A call server's identifier in datagrams: the first four bytes of the SHA-256 of its host name. Each controller
/// numbers the call servers in its own way, so those numbers cannot be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key(pub u32);

impl Key {
    /// The key of the call server with this host name.
    pub fn of(host: &str) -> Key {
        Key::hashed(&[host])
    }

    /// The key for what the directories list about the call server. It differs from [`Key::of`], so that an observation
    /// of its processor and one of its listing do not replace each other.
    pub fn of_listing(host: &str) -> Key {
        Key::hashed(&["listing:", host])
    }

    fn hashed(parts: &[&str]) -> Key {
        use sha2::Digest;
        let digest = parts.iter().fold(sha2::Sha256::new(), |sha, part| sha.chain_update(part)).finalize();
        Key(u32::from_be_bytes([digest[0], digest[1], digest[2], digest[3]]))
    }
}

/// The wait that encodes each listed state in an observation of a listing. The waits are far enough apart in severity
/// that every change of the state is news.
const LISTING_WAITS: [(ServerState, Span); 3] = [
    (ServerState::Ready, Span::from_millis(0)),
    (ServerState::Draining, Span::from_millis(1_000)),
    (ServerState::Gone, Span::from_millis(30_000)),
];

/// The wait that encodes a listed state.
pub fn encode_listing(state: ServerState) -> Span {
    LISTING_WAITS.iter().find(|(listed, _)| *listed == state).map(|(_, wait)| *wait).unwrap_or_default()
}

/// The listed state that a wait encodes; `None`: none that this version knows.
pub fn decode_listing(wait: Span) -> Option<ServerState> {
    LISTING_WAITS.iter().find(|(_, encoded)| *encoded == wait).map(|(state, _)| *state)
}

/// The longest wait, and the highest age, that a datagram can carry: 65.535 s.
pub const MAX_ENCODED_SPAN: Span = Span::from_millis(u16::MAX as u64);

/// The state of a call server as one controller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Observation {
    /// The wait at its processor.
    pub wait: Span,
    /// Whether it did not answer.
    pub silent: bool,
    /// When it was observed, by the holder's own clock. A received observation may be newer than this, but never older
    /// while the smallest latency of the link is within the allowance
    /// ([`FleetConfig::min_latency`](super::FleetConfig::min_latency)).
    pub observed_at: Time,
    /// Index of the controller that observed it.
    pub origin: u16,
    /// Counts the observations that the origin has published; wraps around after 65,536.
    pub version: u16,
}

/// Two observations of one origin whose versions are no further apart are ordered by version. Further apart, the origin
/// has restarted its count, and their times decide.
const VERSION_WINDOW: u16 = 1_024;

/// Waits below this are all of the lowest severity.
const SEVERITY_UNIT_US: u64 = 50_000;

/// How loaded a call server looks, on a logarithmic scale: each step is twice the wait of the one before.
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
    /// Its severity; waits under 50 ms are all alike.
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

    /// Weight of this observation in a decision: 1 when it is fresh, falling linearly to 0 at `max_age`.
    pub fn weight(&self, now: Time, max_age: Span) -> f64 {
        1.0 - self.age(now).fraction_between(Span::default(), max_age)
    }

    /// Whether this observation replaces the other one, that is, whether it is newer. Of two by one origin their
    /// versions decide, so that one received again never counts as new. Of two with the same time the more severe one
    /// wins, then that of the lower origin: all controllers converge to the same observation in whatever order they
    /// receive them.
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
