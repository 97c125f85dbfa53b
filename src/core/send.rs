//! Stage 4: attempts are sent and cancelled. The checks here enforce the rules even if a decision breaks them.

use crate::core::{Core, Deadline, Effect, OutstandingAttempt, Sid};
use crate::interface::{
    Attempt, AttemptEnd, CallId, Cause, Event, LoadReport, Outcome, ServerId, ServerState, Span,
};

impl Core {
    pub(super) fn send(
        &mut self,
        call: CallId,
        server: ServerId,
        timeout: Option<Span>,
        out: &mut Vec<Effect>,
    ) {
        let Some(&sid) = self.sids.get(&call) else { return };
        let allowed = self.may_send(sid, server);
        let now = self.now;
        let Some(pending) = self.pending.get_mut(&sid) else { return };
        let attempt = pending.attempts;
        pending.attempts += 1;
        if !allowed {
            self.counts.held_back += 1;
            let end =
                attempt_end_event(call, attempt, server, Outcome::NotSent, Cause::None, Span::default());
            self.events.push_back(end);
            return;
        }
        pending.outstanding = Some(OutstandingAttempt { server, attempt, sent: now });
        let left = pending.valid_until.since(now);
        let left = timeout.map_or(left, |p| p.min(left));
        let class = self.config.classes.get(pending.class).cloned().unwrap_or_else(|| "".into());
        let (number, body) = (pending.number.clone(), pending.body.clone());
        self.deadlines.set(now.plus(left), Deadline::Attempt(call));
        self.counts.sent += 1;
        out.push(Effect::Invite { server, sid, class, number, left, body });
    }

    /// Whether an attempt is allowed: one outstanding at a time, at most `max_attempts` in all, none before `not_before`,
    /// and only to a call server that is listed as ready and allowed for the class.
    fn may_send(&self, sid: Sid, server: ServerId) -> bool {
        let Some(call) = self.pending.get(&sid) else { return false };
        let settings = &self.config.settings;
        let cells = settings.classes.get(call.class).and_then(|class| class.cells.as_ref());
        let listed = self.servers.get(&server).filter(|l| l.entry.state == ServerState::Ready);
        let fits = listed.is_some_and(|l| cells.is_none_or(|cells| cells.contains(&l.entry.cell)));
        fits && call.outstanding.is_none()
            && u32::from(call.attempts) < settings.max_attempts.max(1)
            && self.now >= call.not_before
    }

    /// The decision module cancels an attempt.
    pub(super) fn cancel(&mut self, call: CallId, attempt: u16, out: &mut Vec<Effect>) {
        let Some(&sid) = self.sids.get(&call) else { return };
        let outstanding = self.pending.get(&sid).and_then(|pending| pending.outstanding);
        if outstanding.is_some_and(|outstanding| outstanding.attempt == attempt) {
            self.counts.cancelled += 1;
            self.cancel_attempt(sid, Outcome::Cancelled, out);
        }
    }

    /// An attempt's timeout has passed.
    pub(super) fn attempt_timed_out(&mut self, call: CallId, out: &mut Vec<Effect>) {
        let Some(&sid) = self.sids.get(&call) else { return };
        self.cancel_attempt(sid, Outcome::TimedOut, out);
        self.process_events(out);
    }

    /// Cancels the outstanding attempt of a call, if any, and queues its end for the decision module.
    pub(super) fn cancel_attempt(&mut self, sid: Sid, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(outstanding) = self.pending.get(&sid).and_then(|call| call.outstanding) else { return };
        out.push(Effect::Cancel(outstanding.server, sid));
        self.attempt_ended(sid, outcome, Cause::None, LoadReport::default());
    }

    /// Queues the end of the outstanding attempt for the decision module.
    pub(super) fn attempt_ended(&mut self, sid: Sid, outcome: Outcome, cause: Cause, load: LoadReport) {
        let now = self.now;
        let release = self.config.settings.resend_delay;
        let Some(pending) = self.pending.get_mut(&sid) else { return };
        let Some(attempt) = pending.outstanding.take() else { return };
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            pending.not_before = now.plus(release);
            pending.unsettled.insert(attempt.server);
        }
        let call = pending.id;
        self.deadlines.clear(&Deadline::Attempt(call));
        let mut end =
            attempt_end_event(call, attempt.attempt, attempt.server, outcome, cause, now.since(attempt.sent));
        if let Event::Ended(end) = &mut end {
            end.load = load;
        }
        self.events.push_back(end);
    }
}

/// The event for the end of an attempt.
pub(super) fn attempt_end_event(
    call: CallId,
    attempt: u16,
    server: ServerId,
    outcome: Outcome,
    cause: Cause,
    took: Span,
) -> Event {
    let (attempt, load) = (Attempt(attempt), LoadReport::default());
    Event::Ended(AttemptEnd { call, attempt, server, outcome, cause, took, closed: false, load })
}
