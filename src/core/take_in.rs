//! Stage 1: a set-up is checked against the settings and entered in the table of pending calls.

use std::collections::BTreeSet;

use crate::core::{Client, Core, Deadline, Effect, FrontKind, PendingCall, RefusalReason, SetUp, Sid};
use crate::interface::{CallId, Event, NewCall, Number, Span, Time};
use crate::metrics::Ending;

/// Subtracted from the caller's wait, for the way back to the caller and one event loop iteration. Guards against a
/// final answer that is written just before the deadline and read just after it.
const ANSWER_MARGIN: Span = Span::from_millis(15);
/// How much longer than any class allows a caller may say that it waits; a longer wait is invalid.
const CALLER_WAIT_SLACK: Span = Span::from_millis(1_000);
/// Limit of number and description together: a longer message exceeds what a call server reads. Guards against set-ups
/// on which a call server closes a connection that other calls share.
const MAX_TEXT_BYTES: usize = 15 * 1024;

impl Core {
    /// Handles a set-up request.
    pub(super) fn take_in(&mut self, client: Client, set_up: SetUp, out: &mut Vec<Effect>) {
        if self.pending.contains_key(&set_up.sid) {
            return self.duplicate_set_up(client, &set_up, out);
        }
        if self.registry.is_known(set_up.sid) {
            // The call is established or has ended: its identifier cannot be used again.
            self.counts.duplicates += 1;
            let class = self.config.classes.iter().position(|name| *name == set_up.class);
            self.record_outcome(class, Ending::Failed);
            return out.push(Effect::Refuse {
                client,
                sid: set_up.sid,
                retryable: false,
                retry_after: Span::default(),
                reason: RefusalReason::DuplicateIdentifier,
            });
        }
        self.counts.taken += 1;
        let id = CallId(self.next_call);
        self.next_call = self.next_call.wrapping_add(1);
        let class = self.config.classes.iter().position(|name| *name == set_up.class);
        let longest = self.config.max_caller_wait;
        let out_of_range = set_up.left > Span(longest.0.saturating_add(CALLER_WAIT_SLACK.0))
            || set_up.number.len() + set_up.body.len() > MAX_TEXT_BYTES;
        let Some(class) = class.filter(|_| !out_of_range) else {
            return self.refuse_unusable(client, set_up.sid, class, out);
        };
        if !self.admits(client) {
            return self.refuse_for_capacity(client, set_up.sid, class, out);
        }
        let valid_until = self.now.plus(set_up.left.saturating_sub(ANSWER_MARGIN));
        let new = NewCall {
            call: id,
            class,
            tenant: self.tenant_of(&set_up),
            number: Number(u64::from_str_radix(&set_up.number, 16).unwrap_or(0)),
            valid_until,
            first_choice: set_up.dest,
            redialled: set_up.redialled,
            in_transit: false,
        };
        let sid = set_up.sid;
        self.add_pending(sid, id, client, class, valid_until, set_up);
        self.feed(Event::Call(new), out);
    }

    /// Index of the tenant that a set-up names; `None`: no tenant, or an unknown one.
    pub(super) fn tenant_of(&self, set_up: &SetUp) -> Option<usize> {
        let name = set_up.tenant.as_ref()?;
        self.config.tenants.iter().position(|tenant| tenant == name)
    }

    /// A set-up with the identifier of a pending call. The same set-up again is no new call: its answer goes to the
    /// connection of the latest request. Guards against a caller that uses another's identifier: that call continues.
    fn duplicate_set_up(&mut self, client: Client, set_up: &SetUp, out: &mut Vec<Effect>) {
        self.counts.duplicates += 1;
        let sid = set_up.sid;
        let Some(call) = self.pending.get_mut(&sid) else { return };
        let class = self.config.classes.get(call.class);
        let same = call.number == set_up.number && call.body == set_up.body && class == Some(&set_up.class);
        let (id, first) = (call.id, call.client);
        let shared = client.front == FrontKind::JsonLines && first.front == client.front;
        if same && shared {
            call.client = client;
            self.move_pending(first, client);
            return out.push(Effect::AnswerNoLongerOwed(first));
        }
        if first != client {
            // Guards against a leg that waits for an answer which the other call with its identifier gets.
            let reason = RefusalReason::DuplicateIdentifier;
            let retry_after = Span::default();
            return out.push(Effect::Refuse { client, sid, retryable: false, retry_after, reason });
        }
        // One client uses an identifier for two calls: it could not tell their answers apart.
        self.fail_and_report_hang_up(id, RefusalReason::DuplicateIdentifier, out);
        out.push(Effect::AnswerNoLongerOwed(client));
        out.push(Effect::ProtocolViolation(client));
    }

    fn add_pending(
        &mut self,
        sid: Sid,
        id: CallId,
        client: Client,
        class: usize,
        valid_until: Time,
        set_up: SetUp,
    ) {
        let SetUp { number, body, .. } = set_up;
        let not_before = Time::default();
        let call = PendingCall {
            id,
            client,
            class,
            number,
            body,
            valid_until,
            attempts: 0,
            outstanding: None,
            unsettled: BTreeSet::new(),
            not_before,
        };
        self.pending_bytes += call.body.len();
        self.pending.insert(sid, call);
        self.clients.entry(client).or_default().pending += 1;
        self.sids.insert(id, sid);
        self.deadlines.set(valid_until, Deadline::CallerTimeout(id));
    }
}
