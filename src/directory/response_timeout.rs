//! How long a directory may take for a response: adapts to a slow one, without clock and sockets of its own.

use std::time::Duration;

/// Timeout for a directory that has always responded faster than half of it. Short, so that one that stalls is noticed.
const MIN_TIMEOUT: Duration = Duration::from_millis(500);
/// Longest timeout. The timeouts before it, doubled each time, add up to about as much, so that news from a directory that
/// is this slow is known within 7 s.
const MAX_TIMEOUT: Duration = Duration::from_millis(3_000);

/// The timeout for the next response, like a retransmission timeout: doubled after each response that came too late, and
/// set by each one that came in time. A fixed timeout would never let a response of a slower directory pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ResponseTimeout(Duration);

impl Default for ResponseTimeout {
    fn default() -> Self {
        ResponseTimeout(MIN_TIMEOUT)
    }
}

impl ResponseTimeout {
    /// The timeout for the next response.
    pub fn current(&self) -> Duration {
        self.0
    }
    /// A response came in time and took this long.
    pub fn record_response(&mut self, took: Duration) {
        self.0 = took.saturating_mul(2).clamp(MIN_TIMEOUT, MAX_TIMEOUT);
    }
    /// A response did not come in time.
    pub fn record_timeout(&mut self) {
        self.0 = self.0.saturating_mul(2).min(MAX_TIMEOUT);
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    /// News counts as told after this long.
    const TOLD_WITHIN: Duration = Duration::from_secs(7);

    #[test]
    fn timeout_follows_the_directory_within_its_limits() {
        let mut timeout = ResponseTimeout::default();
        assert_eq!(timeout.current(), MIN_TIMEOUT);
        timeout.record_timeout();
        assert_eq!(timeout.current(), MIN_TIMEOUT * 2);
        timeout.record_response(Duration::from_millis(900));
        assert_eq!(timeout.current(), Duration::from_millis(1_800), "the next one may take longer");
        for _ in 0..9 {
            timeout.record_timeout();
        }
        assert_eq!(timeout.current(), MAX_TIMEOUT);
        timeout.record_response(Duration::from_millis(1));
        assert_eq!(timeout.current(), MIN_TIMEOUT, "a stall of a fast directory is noticed soon");
    }

    /// Guards against a directory that is only just fast enough and still heard too late.
    #[test]
    fn slowest_directory_is_heard_before_its_news_counts_as_told() {
        let (mut timeout, mut passed) = (ResponseTimeout::default(), Duration::ZERO);
        while timeout.current() < MAX_TIMEOUT {
            passed += timeout.current();
            timeout.record_timeout();
        }
        assert!(passed + MAX_TIMEOUT < TOLD_WITHIN, "{passed:?}");
    }
}
