//! Stage 5: what a call server says of a call goes to the module and, where it is final, to the caller.

use std::rc::Rc;

use crate::core::{AttemptError, Client, Core, Effect, FrontKind, Refusal, ServerEvent, Sid};
use crate::interface::{Attempt, CallId, Cause, Event, LoadReport, Outcome, ServerId, Span};
use crate::metrics::Ending;
use crate::recovery::records::{Change, KeptCall};

/// Cause of a call that was ended by its user.
pub const CAUSE_CLEARED: u16 = 16;
/// Cause of a call that was cut.
pub const CAUSE_CUT: u16 = 41;

impl Core {
    pub(super) fn server_says(
        &mut self,
        server: ServerId,
        sid: Sid,
        says: ServerEvent,
        out: &mut Vec<Effect>,
    ) {
        let is_out = self.open.get(&sid).is_some_and(|open| open.is_out_at(server));
        match says {
            ServerEvent::Answered(body) if is_out => self.stands(sid, body, out),
            ServerEvent::Answered(_) => {
                if let Some(open) = self.open.get_mut(&sid) {
                    open.unsettled.remove(&server); // it is ended there now
                }
                if self.open.contains_key(&sid) || self.book.knows(sid) {
                    // The answer crossed our giving it up: the call must not stay up there. A second copy is dropped.
                    if !self.book.stands_at(sid, server) {
                        self.counts.late_answers += 1;
                        out.push(Effect::Bye(server, sid, CAUSE_CLEARED));
                    }
                } else {
                    self.counts.unknown_answers += 1;
                }
            }
            ServerEvent::Refused(refusal, cause, report) => {
                let load = self.load_of(&report);
                if is_out {
                    self.attempt_ended(sid, outcome_of(refusal), cause, load);
                    self.pump(out);
                } else if !load.0.is_empty() {
                    self.feed(Event::Load { server, outcome: Outcome::Ok, load }, out);
                }
            }
            ServerEvent::Lost(error) if is_out => {
                self.attempt_ended(sid, outcome_of_loss(error), Cause::None, LoadReport::default());
                self.pump(out);
            }
            ServerEvent::Lost(_) => {}
            ServerEvent::Released(cause, report) => self.server_releases(server, sid, cause, report, out),
        }
    }

    /// The first answer: the caller gets it unchanged, at once and once.
    fn stands(&mut self, sid: Sid, body: Rc<str>, out: &mut Vec<Effect>) {
        let Some(open) = self.close(sid) else { return };
        let Some(o) = open.out else { return };
        self.ends(Some(open.class), Ending::Completed);
        if let Some(caller) = self.clients.get_mut(&open.client) {
            caller.served = true;
        }
        out.push(Effect::Answer(open.client, sid, body));
        if let Some(line) = self.servers.get(&o.server).map(|listed| &listed.line) {
            let (host, born_ms, number) = (line.host.clone(), line.started_ms, open.number.to_string());
            let (since_ms, leg) = (self.now.0 / 1_000, open.client.front == FrontKind::Iax2);
            self.note_change(|| Change::Stands(sid, KeptCall { host, born_ms, number, since_ms, leg }));
        }
        self.book.stands(sid, open.client, o.server, open.id, o.attempt, self.now);
        let (call, attempt, server) = (open.id, Attempt(o.attempt), o.server);
        self.feed(Event::Stands { call, attempt, server, took: self.now.since(o.sent) }, out);
        if !self.clients.contains_key(&open.client) {
            // The caller's connection went while the answer was on its way here: nobody hears it.
            self.end_standing(sid, CAUSE_CLEARED, out);
        }
    }

    /// Final answer: refused.
    pub(super) fn refuse(&mut self, call: CallId, wait: Span, out: &mut Vec<Effect>) {
        self.turn_down(call, true, wait, out);
    }

    /// Final answer: failed.
    pub(super) fn fail(&mut self, call: CallId, out: &mut Vec<Effect>) {
        self.turn_down(call, false, Span::default(), out);
    }

    fn turn_down(&mut self, call: CallId, again: bool, wait: Span, out: &mut Vec<Effect>) {
        let Some(&sid) = self.names.get(&call) else { return };
        // Nothing may stay out for a call that is over.
        self.take_back(sid, Outcome::Cancelled, out);
        let Some(open) = self.close(sid) else { return };
        self.ends(Some(open.class), if again { Ending::Rejected } else { Ending::Failed });
        self.remember(sid);
        out.push(Effect::Refuse { client: open.client, sid, retryable: again, retry_after: wait });
    }

    /// The caller's wait is over and the module has said nothing: the last guard of the one final answer.
    pub(super) fn caller_gives_up(&mut self, call: CallId, out: &mut Vec<Effect>) {
        self.turn_down(call, false, Span::default(), out);
        self.feed(Event::HungUp(call), out);
    }

    /// Takes a call out of the table of those that are owed an answer.
    pub(super) fn close(&mut self, sid: Sid) -> Option<crate::core::Open> {
        let open = self.open.remove(&sid)?;
        self.held_bytes = self.held_bytes.saturating_sub(open.body.len());
        if let Some(caller) = self.clients.get_mut(&open.client) {
            caller.owed = caller.owed.saturating_sub(1);
        }
        self.names.remove(&open.id);
        self.deadlines.clear(&crate::core::Deadline::Attempt(open.id));
        self.deadlines.clear(&crate::core::Deadline::CallerTimeout(open.id));
        Some(open)
    }
}

impl Core {
    /// A call that is owed its answer is now another connection's.
    pub(super) fn moved(&mut self, from: Client, to: Client) {
        if let Some(caller) = self.clients.get_mut(&from) {
            caller.owed = caller.owed.saturating_sub(1);
        }
        self.clients.entry(to).or_default().owed += 1;
    }
}

fn outcome_of(refusal: Refusal) -> Outcome {
    match refusal {
        Refusal::Full => Outcome::Full,
        Refusal::Error => Outcome::Error,
        Refusal::NotSent => Outcome::Moot,
        Refusal::Reset => Outcome::Reset,
    }
}

/// How far an attempt had come tells whether it provably never ran.
fn outcome_of_loss(error: AttemptError) -> Outcome {
    if error.progress.never_ran() {
        Outcome::ConnectFailed
    } else {
        Outcome::Reset
    }
}
