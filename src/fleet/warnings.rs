//! Warnings: a peer reports that its directory lists a call server as draining or gone, before this controller's own
//! directory does.
//!
//! A directory may be seconds late, or unreachable. A warning only keeps new calls away from the call server; it never
//! sends any there, and the next entry from the local directory ends it.

use std::collections::BTreeMap;

use crate::interface::{ServerId, ServerState, Span, Time};

/// Time after which a warning expires if the local directory does not confirm it. An entry counts as published after 7 s
/// at the latest, so by then the local directory lists it too, or the peer was wrong.
const WARNING_TTL: Span = Span::from_millis(10_000);

/// Effect of a peer's report on the active warnings.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarningChange {
    /// No change: the local directory's entry is newer, or the warning was active already.
    Unchanged,
    /// A warning was raised; it expires at this time unless the report is repeated.
    Raised(Time),
    /// The warning was withdrawn: the local directory's entry applies again.
    Withdrawn,
}

/// Result of an expiry check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum WarningExpiry {
    /// The warning has expired and was removed.
    Expired,
    /// The warning is active and expires at this time.
    ActiveUntil(Time),
}

/// An active warning.
#[derive(Debug, Clone, Copy)]
struct Warning {
    /// When the peer's directory reported the state, by the local clock.
    reported_at: Time,
    expires_at: Time,
}

/// The active warnings.
#[derive(Debug, Default)]
pub struct Warnings {
    /// When the local directory last listed each call server.
    own_listed_at: BTreeMap<ServerId, Time>,
    active: BTreeMap<ServerId, Warning>,
}

impl Warnings {
    /// Records that the local directory lists a call server; this ends any warning for it.
    pub fn record_own_listing(&mut self, now: Time, server: ServerId) {
        self.own_listed_at.insert(server, now);
        self.active.remove(&server);
    }

    /// Records that a peer's directory reported `state` at `reported_at`, by the local clock.
    pub fn record_peer_listing(
        &mut self,
        now: Time,
        server: ServerId,
        state: ServerState,
        reported_at: Time,
    ) -> WarningChange {
        // Call servers that the local directory does not list are ignored; a newer entry in it takes precedence.
        if self.own_listed_at.get(&server).is_none_or(|listed_at| reported_at <= *listed_at) {
            return WarningChange::Unchanged;
        }
        match (state, self.active.get(&server)) {
            (ServerState::Ready, Some(warning)) if reported_at > warning.reported_at => {
                self.active.remove(&server);
                WarningChange::Withdrawn
            }
            (ServerState::Ready, _) => WarningChange::Unchanged,
            (ServerState::Draining | ServerState::Gone, known) => {
                let is_new = known.is_none();
                let expires_at = now.plus(WARNING_TTL);
                // A repeated report extends the warning.
                self.active.insert(server, Warning { reported_at, expires_at });
                if is_new {
                    WarningChange::Raised(expires_at)
                } else {
                    WarningChange::Unchanged
                }
            }
        }
    }

    /// Removes the warning if it has expired; `None` if there is no warning.
    pub fn check_expiry(&mut self, now: Time, server: ServerId) -> Option<WarningExpiry> {
        let expires_at = self.active.get(&server)?.expires_at;
        if now < expires_at {
            return Some(WarningExpiry::ActiveUntil(expires_at));
        }
        self.active.remove(&server);
        Some(WarningExpiry::Expired)
    }

    /// Whether a warning currently keeps new calls away from a call server.
    pub fn is_active(&self, server: ServerId) -> bool {
        self.active.contains_key(&server)
    }

    /// Removes all state of a call server that was removed permanently.
    pub fn forget(&mut self, server: ServerId) {
        self.own_listed_at.remove(&server);
        self.active.remove(&server);
    }
}

#[cfg(test)]
mod tests;
