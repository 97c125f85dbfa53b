//! Counters of a controller, for the status line and `lockpoint stats`.

use serde::{Deserialize, Serialize};

/// The counters of one controller.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // README lists them
pub struct Counters {
    pub name: String,
    pub open: usize,
    pub standing: usize,
    pub pending: usize,
    pub members: usize,
    pub members_unavailable: usize,
    pub upstream_requests: u64,
    pub clients: usize,
    pub taken: u64,
    pub duplicates: u64,
    pub completed: u64,
    pub rejected: u64,
    pub failed: u64,
    pub given_up: u64,
    pub released: u64,
    pub unknown_released: u64,
    pub attempts: u64,
    pub cancelled: u64,
    pub held_back: u64,
    pub late_answers: u64,
    pub unknown_answers: u64,
    pub invites: u64,
    pub withdrawn: u64,
    pub connected: u64,
    pub not_made: u64,
    pub moved: u64,
    pub spoilt: u64,
    pub stale: u64,
    pub malformed_lines: u64,
    pub malformed_sip: u64,
    pub malformed_bulletin: u64,
    pub bulletin_failures: u64,
    pub dns_failures: u64,
    pub iax2_callers: usize,
    pub iax2_calls_in: u64,
    pub iax2_calls_out: u64,
    pub iax2_withdrawn: u64,
    pub iax2_received: u64,
    pub iax2_malformed: u64,
    #[serde(default)]
    pub iax2_registered_at: usize,
    #[serde(default)]
    pub iax2_not_let_in: u64,
    #[serde(default)]
    pub iax2_tokens_asked: u64,
    #[serde(default)]
    pub iax2_tokens_refused: u64,
    pub mail: u64,
    pub lost_connections: u64,
    pub turned_away: u64,
    pub expired: u64,
    pub unusable: u64,
    pub reloads: u64,
    pub reload_failures: u64,
    pub panics: u64,
}

impl Counters {
    /// One line of `name=value` pairs.
    pub fn line(&self) -> String {
        let value = serde_json::to_value(self).unwrap_or_default();
        let counts = value.as_object().into_iter().flatten().filter(|(_, value)| value.is_number());
        let pairs = counts.map(|(name, value)| format!(" {name}={value}"));
        format!("name={}{}", self.name, pairs.collect::<String>())
    }
}
