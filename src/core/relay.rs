//! Stage 5: events from call servers go to the decision module and, if they are final, to the caller.

use std::rc::Rc;

use crate::core::{AttemptError, Client, Core, Effect, FrontKind, Refusal, RefusalReason, ServerEvent, Sid};
use crate::interface::{Attempt, CallId, Cause, Event, LoadReport, Outcome, ServerId, Span};
use crate::metrics::Ending;
use crate::recovery::records::{CallRecord, RecordChange};

/// Cause of a call that its user ended.
pub const CAUSE_CLEARED: u16 = 16;
/// Cause of a call that was cut.
pub const CAUSE_CUT: u16 = 41;

impl Core {
    /// Handles an event of a call at a call server.
    pub(super) fn server_event(
        &mut self,
        server: ServerId,
        sid: Sid,
        event: ServerEvent,
        out: &mut Vec<Effect>,
    ) {
        let has_attempt = self.pending.get(&sid).is_some_and(|call| call.has_attempt_at(server));
        match event {
            ServerEvent::Answered(body) if has_attempt => self.establish(sid, body, out),
            ServerEvent::Answered(_) => {
                if let Some(call) = self.pending.get_mut(&sid) {
                    call.unsettled.remove(&server); // the BYE below ends it there
                }
                if self.pending.contains_key(&sid) || self.registry.is_known(sid) {
                    // The answer crossed our cancel: the call must not stay established there. A second copy of the
                    // answer is ignored.
                    if !self.registry.is_established_at(sid, server) {
                        self.counts.late_answers += 1;
                        out.push(Effect::Bye(server, sid, CAUSE_CLEARED));
                    }
                } else {
                    self.counts.unknown_answers += 1;
                }
            }
            ServerEvent::Refused(refusal, cause, report) => {
                let load = self.load_of(&report);
                if has_attempt {
                    self.attempt_ended(sid, outcome_of(refusal), cause, load);
                    self.process_events(out);
                } else if !load.0.is_empty() {
                    self.feed(Event::Load { server, outcome: Outcome::Ok, load }, out);
                }
            }
            ServerEvent::Lost(error) if has_attempt => {
                self.attempt_ended(
                    sid,
                    outcome_of_transport_error(error),
                    Cause::None,
                    LoadReport::default(),
                );
                self.process_events(out);
            }
            ServerEvent::Lost(_) => {}
            ServerEvent::Released(cause, report) => self.release_received(server, sid, cause, report, out),
        }
    }

    /// Handles the first answer: the caller gets it unchanged, at once and exactly once.
    fn establish(&mut self, sid: Sid, body: Rc<str>, out: &mut Vec<Effect>) {
        let Some(call) = self.remove_pending(sid) else { return };
        let Some(attempt) = call.outstanding else { return };
        self.record_outcome(Some(call.class), Ending::Completed);
        if let Some(caller) = self.clients.get_mut(&call.client) {
            caller.served = true;
        }
        out.push(Effect::Answer(call.client, sid, body));
        if let Some(entry) = self.servers.get(&attempt.server).map(|listed| &listed.entry) {
            let (host, born_ms, number) = (entry.host.clone(), entry.started_ms, call.number.to_string());
            let (since_ms, leg) = (self.now.0 / 1_000, call.client.front == FrontKind::Iax2);
            self.record_change(|| {
                RecordChange::CallEstablished(
                    sid,
                    CallRecord { host, started_ms: born_ms, number, since_ms, leg },
                )
            });
        }
        self.registry.add_established(sid, call.client, attempt.server, call.id, attempt.attempt, self.now);
        let took = self.now.since(attempt.sent);
        let (id, attempt, server) = (call.id, Attempt(attempt.attempt), attempt.server);
        self.feed(Event::Established { call: id, attempt, server, took }, out);
        if !self.clients.contains_key(&call.client) {
            // The client connection was closed while the answer was under way: nobody can receive it.
            self.end_established(sid, CAUSE_CLEARED, out);
        }
    }

    /// Final answer: refused.
    pub(super) fn refuse(&mut self, call: CallId, wait: Span, out: &mut Vec<Effect>) {
        self.reject_call(call, true, wait, RefusalReason::Decided, out);
    }

    /// Final answer: failed.
    pub(super) fn fail(&mut self, call: CallId, out: &mut Vec<Effect>) {
        self.reject_call(call, false, Span::default(), RefusalReason::Decided, out);
    }

    /// Gives a call its negative final answer.
    fn reject_call(
        &mut self,
        call: CallId,
        retryable: bool,
        retry_after: Span,
        reason: RefusalReason,
        out: &mut Vec<Effect>,
    ) {
        let Some(&sid) = self.sids.get(&call) else { return };
        // No attempt may stay outstanding for a call that is over.
        self.cancel_attempt(sid, Outcome::Cancelled, out);
        let Some(call) = self.remove_pending(sid) else { return };
        self.record_outcome(Some(call.class), if retryable { Ending::Rejected } else { Ending::Failed });
        self.remember_ended(sid);
        out.push(Effect::Refuse { client: call.client, sid, retryable, retry_after, reason });
    }

    /// Fails a call and reports a hang-up to the decision module, which has not ended it: when the caller's wait is over,
    /// this guarantees the one final answer.
    pub(super) fn fail_and_report_hang_up(
        &mut self,
        call: CallId,
        reason: RefusalReason,
        out: &mut Vec<Effect>,
    ) {
        self.reject_call(call, false, Span::default(), reason, out);
        self.feed(Event::HungUp(call), out);
    }

    /// Removes a call from the table of pending calls.
    pub(super) fn remove_pending(&mut self, sid: Sid) -> Option<crate::core::PendingCall> {
        let call = self.pending.remove(&sid)?;
        self.pending_bytes = self.pending_bytes.saturating_sub(call.body.len());
        if let Some(caller) = self.clients.get_mut(&call.client) {
            caller.pending = caller.pending.saturating_sub(1);
        }
        self.sids.remove(&call.id);
        self.deadlines.clear(&crate::core::Deadline::Attempt(call.id));
        self.deadlines.clear(&crate::core::Deadline::CallerTimeout(call.id));
        Some(call)
    }
}

impl Core {
    /// Counts a pending call for another connection, which gets its answer.
    pub(super) fn move_pending(&mut self, from: Client, to: Client) {
        if let Some(caller) = self.clients.get_mut(&from) {
            caller.pending = caller.pending.saturating_sub(1);
        }
        self.clients.entry(to).or_default().pending += 1;
    }
}

fn outcome_of(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::Full => Outcome::Full,
        Refusal::Error => Outcome::Error,
        Refusal::NotSent => Outcome::NotSent,
        Refusal::Reset => Outcome::Reset,
    }
}

/// The outcome of an attempt whose transport failed; its progress tells whether it may have run.
fn outcome_of_transport_error(error: AttemptError) -> Outcome {
    if error.progress.never_ran() {
        Outcome::ConnectFailed
    } else {
        Outcome::Reset
    }
}
