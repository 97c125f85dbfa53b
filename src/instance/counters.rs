//! Counters of one controller that its parts do not keep themselves.

/// Counters that belong to no protocol adapter's own state.
#[derive(Debug, Default)]
pub(super) struct LocalCounters {
    pub(super) malformed_lines: u64,
    pub(super) malformed_sip: u64,
    pub(super) malformed_bulletin: u64,
    pub(super) bulletin_failures: u64,
    pub(super) dns_failures: u64,
    pub(super) peer_messages: u64,
    pub(super) lost_connections: u64,
    pub(super) turned_away: u64,
    pub(super) expired: u64,
    pub(super) reloads: u64,
    pub(super) reload_failures: u64,
}
