//! Counts of one controller that its parts do not keep themselves.

/// Counts that belong to no wire's own state.
#[derive(Debug, Default)]
pub(super) struct LocalCounters {
    pub(super) lines: u64,
    pub(super) sip: u64,
    pub(super) bulletin: u64,
    pub(super) bulletin_failures: u64,
    pub(super) dns_failures: u64,
    pub(super) mail: u64,
    pub(super) lost: u64,
    pub(super) turned_away: u64,
    pub(super) expired: u64,
    pub(super) reloads: u64,
    pub(super) reload_failures: u64,
}
