//! Stage 4: attempts go out and are taken back. The guards here hold the rules even if a decision did not.

use crate::core::{Core, Deadline, Effect, Out, Sid};
use crate::interface::{
    Attempt, AttemptEnd, CallId, Cause, Event, LoadReport, Outcome, ServerId, ServerState, Span,
};

impl Core {
    pub(super) fn send(
        &mut self,
        call: CallId,
        server: ServerId,
        patience: Option<Span>,
        out: &mut Vec<Effect>,
    ) {
        let Some(&sid) = self.names.get(&call) else { return };
        let allowed = self.may_send(sid, server);
        let now = self.now;
        let Some(open) = self.open.get_mut(&sid) else { return };
        let attempt = open.attempts;
        open.attempts += 1;
        if !allowed {
            self.counts.held_back += 1;
            let end = ended(call, attempt, server, Outcome::Moot, Cause::None, Span::default());
            self.events.push_back(end);
            return;
        }
        open.out = Some(Out { server, attempt, sent: now });
        let left = open.valid_until.since(now);
        let left = patience.map_or(left, |p| p.min(left));
        let class = self.config.classes.get(open.class).cloned().unwrap_or_else(|| "".into());
        let (number, body) = (open.number.clone(), open.body.clone());
        self.deadlines.set(now.plus(left), Deadline::Attempt(call));
        self.counts.sent += 1;
        out.push(Effect::Invite { server, sid, class, number, left, body });
    }

    /// One attempt out at a time, at most so many in all, none within the release time, only to call servers that
    /// are listed as ready and allowed to the class.
    fn may_send(&self, sid: Sid, server: ServerId) -> bool {
        let Some(open) = self.open.get(&sid) else { return false };
        let settings = &self.config.settings;
        let cells = settings.classes.get(open.class).and_then(|class| class.cells.as_ref());
        let listed = self.servers.get(&server).filter(|l| l.line.state == ServerState::Ready);
        let fits = listed.is_some_and(|l| cells.is_none_or(|cells| cells.contains(&l.line.cell)));
        fits && open.out.is_none()
            && u32::from(open.attempts) < settings.max_attempts.max(1)
            && self.now >= open.not_before
    }

    /// The module gives an attempt up.
    pub(super) fn cancel(&mut self, call: CallId, attempt: u16, out: &mut Vec<Effect>) {
        let Some(&sid) = self.names.get(&call) else { return };
        let is_out = self.open.get(&sid).and_then(|open| open.out).is_some_and(|o| o.attempt == attempt);
        if is_out {
            self.counts.cancelled += 1;
            self.take_back(sid, Outcome::Cancelled, out);
        }
    }

    /// An attempt has been waited for as long as was asked.
    pub(super) fn attempt_overdue(&mut self, call: CallId, out: &mut Vec<Effect>) {
        let Some(&sid) = self.names.get(&call) else { return };
        self.take_back(sid, Outcome::TimedOut, out);
        self.pump(out);
    }

    /// Withdraws what is out for a call and tells the module how it ended.
    pub(super) fn take_back(&mut self, sid: Sid, outcome: Outcome, out: &mut Vec<Effect>) {
        let Some(o) = self.open.get(&sid).and_then(|open| open.out) else { return };
        out.push(Effect::Cancel(o.server, sid));
        self.attempt_ended(sid, outcome, Cause::None, LoadReport::default());
    }

    /// Books the end of the attempt that is out, for the module to hear.
    pub(super) fn attempt_ended(&mut self, sid: Sid, outcome: Outcome, cause: Cause, load: LoadReport) {
        let now = self.now;
        let release = self.config.settings.release;
        let Some(open) = self.open.get_mut(&sid) else { return };
        let Some(o) = open.out.take() else { return };
        if matches!(outcome, Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled) {
            open.not_before = now.plus(release);
            open.unsettled.insert(o.server);
        }
        let call = open.id;
        self.deadlines.clear(&Deadline::Attempt(call));
        let mut end = ended(call, o.attempt, o.server, outcome, cause, now.since(o.sent));
        if let Event::Ended(end) = &mut end {
            end.load = load;
        }
        self.events.push_back(end);
    }
}

/// The end of an attempt, as the module hears it.
pub(super) fn ended(
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
