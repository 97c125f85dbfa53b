//! Stage 2: set-ups for which the controller has no capacity or no list of call servers are refused before they reach
//! the decision module.

use crate::core::{Client, Core, Effect, RefusalReason, Sid};
use crate::interface::Span;
use crate::metrics::Ending;

/// Limit of the pending calls of one connection. Guards against a caller that requests hundreds of calls at once and
/// takes the capacity from the others.
const MAX_PENDING_PER_CLIENT: usize = 256;
/// How long a caller is asked to wait when there is no capacity.
const NO_ROOM_RETRY_AFTER: Span = Span::from_millis(500);

impl Core {
    /// Whether a new call of this client is admitted.
    pub(super) fn admits(&mut self, client: Client) -> bool {
        let has_capacity = self.pending.len() < self.config.max_pending_calls
            && self.pending_bytes < self.config.max_pending_bytes;
        let of_client = self.clients.get(&client).map_or(0, |caller| caller.pending);
        let accepts = self.refuses_from.is_none_or(|at| self.now < at);
        self.has_list
            && accepts
            && has_capacity
            && of_client < MAX_PENDING_PER_CLIENT
            && self.recovery_admits()
    }

    /// Refuses an invalid set-up, one with an unknown class or a value out of range: a repeat would fail as well.
    pub(super) fn refuse_unusable(
        &mut self,
        client: Client,
        sid: Sid,
        class: Option<usize>,
        out: &mut Vec<Effect>,
    ) {
        self.record_outcome(class, Ending::Failed);
        self.counts.unusable += 1;
        self.remember_ended(sid);
        let (retry_after, reason) = (Span::default(), RefusalReason::Invalid);
        out.push(Effect::Refuse { client, sid, retryable: false, retry_after, reason });
        out.push(Effect::ProtocolViolation(client));
    }

    /// Refuses a set-up that is not admitted; the caller may try again.
    pub(super) fn refuse_for_capacity(
        &mut self,
        client: Client,
        sid: Sid,
        class: usize,
        out: &mut Vec<Effect>,
    ) {
        self.record_outcome(Some(class), Ending::Rejected);
        let wait = NO_ROOM_RETRY_AFTER.min(self.config.settings.max_retry_after);
        self.remember_ended(sid);
        let stopping = self.refuses_from.is_some_and(|at| self.now >= at);
        let reason = if stopping { RefusalReason::Stopping } else { RefusalReason::NoCapacity };
        out.push(Effect::Refuse { client, sid, retryable: true, retry_after: wait, reason });
    }
}
