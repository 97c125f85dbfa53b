//! Stage 6: the book of calls that stand and of those that lately ended, and the releases that they owe.

use serde::{Deserialize, Serialize};

use std::collections::{BTreeMap, VecDeque};

use crate::core::relay::{CAUSE_CLEARED, CAUSE_CUT};
use crate::core::send::ended;
use crate::core::{Caller, Client, Core, Deadline, Effect, FrontKind, LoadValues, Sid};
use crate::interface::{Attempt, AttemptEnd, CallId, Cause, Event, Outcome, ServerId, Span, Time};
use crate::recovery::records::Change;

/// An ended call is remembered this long: a release that crosses ours must not be taken for an unknown call's.
const REMEMBERED: Span = Span::from_millis(30_000);
/// A release that found no connection waits this long for one.
const UNSAID: Span = Span::from_millis(30_000);
/// A new connection on which nothing is said within this is no test: releases that wait go on it.
const GREETS: Span = Span::from_millis(50);
/// A release is said so often at most.
const MOST_SAID: u8 = 4;
/// Ended calls and waiting releases kept at most; memory only.
const MOST_KEPT: usize = 16_384;

/// Calls not known here that one caller may end; it may have had so many before a restart of this controller.
const MOST_STRANGERS: usize = 256;

/// A call that stands.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Standing {
    client: Client,
    server: ServerId,
    id: CallId,
    attempt: u16,
    since: Time,
}

/// A release that a caller is owed.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
pub(super) struct Owed {
    cause: u16,
    /// How often it was said.
    said: u8,
}

/// Calls that stand, calls that ended lately, releases not yet said.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct Book {
    pub(super) standing: BTreeMap<Sid, Standing>,
    /// How many of them were asked for on each connection.
    carried: BTreeMap<Client, usize>,
    ended: BTreeMap<Sid, ()>,
    order: VecDeque<Sid>,
    unsaid: BTreeMap<Sid, Owed>,
    /// Releases said on a connection whose caller has not confirmed them.
    unheard: BTreeMap<Sid, (Client, Owed)>,
}

impl Book {
    /// Whether the name is that of a call that stands or has lately ended.
    pub(super) fn knows(&self, sid: Sid) -> bool {
        self.standing.contains_key(&sid) || self.ended.contains_key(&sid)
    }
    pub(super) fn stands_at(&self, sid: Sid, server: ServerId) -> bool {
        self.standing.get(&sid).is_some_and(|s| s.server == server)
    }
    pub(super) fn stands(
        &mut self,
        sid: Sid,
        client: Client,
        server: ServerId,
        id: CallId,
        attempt: u16,
        since: Time,
    ) {
        self.standing.insert(sid, Standing { client, server, id, attempt, since });
        *self.carried.entry(client).or_default() += 1;
    }
    fn no_longer_stands(&mut self, sid: Sid) -> Option<Standing> {
        let standing = self.standing.remove(&sid)?;
        if let Some(carried) = self.carried.get_mut(&standing.client) {
            *carried -= 1;
            if *carried == 0 {
                self.carried.remove(&standing.client);
            }
        }
        Some(standing)
    }
    #[cfg(test)]
    pub(super) fn is_empty(&self) -> bool {
        let calls = self.standing.is_empty() && self.carried.is_empty();
        calls
            && self.ended.is_empty()
            && self.order.is_empty()
            && self.unsaid.is_empty()
            && self.unheard.is_empty()
    }
    pub(super) fn any_at(&self, server: ServerId) -> bool {
        self.standing.values().any(|s| s.server == server)
    }
    pub(super) fn carries(&self, client: Client) -> bool {
        self.carried.contains_key(&client)
    }
    pub(super) fn heard(&mut self, sid: Sid) {
        self.unsaid.remove(&sid);
        self.unheard.remove(&sid);
    }
    pub(super) fn forget(&mut self, sid: Sid) {
        self.ended.remove(&sid);
        self.unheard.remove(&sid);
        // Guards against an order that holds the names of a whole day.
        while self.order.front().is_some_and(|oldest| !self.ended.contains_key(oldest)) {
            self.order.pop_front();
        }
    }
    pub(super) fn drop_unsaid(&mut self, sid: Sid) {
        self.unsaid.remove(&sid);
    }
}

impl Core {
    pub(super) fn client_up(&mut self, client: Client) {
        self.clients.insert(client, Caller::default());
        if client.front == FrontKind::JsonLines && !self.book.unsaid.is_empty() {
            self.deadlines.set(self.now.plus(GREETS), Deadline::FirstMessage(client));
        }
    }

    /// Whoever tests is the front, which knows of no calls. Guards against releases that are said to it while callers
    /// are sent away, and against tests that it takes for failed because of them.
    pub(super) fn client_tests(&mut self, client: Client) {
        self.deadlines.clear(&Deadline::FirstMessage(client));
        if let Some(caller) = self.clients.get_mut(&client) {
            caller.tests = !caller.served && caller.owed == 0;
        }
    }

    /// A caller is there: releases that found no connection go on its own.
    pub(super) fn client_speaks(&mut self, client: Client, out: &mut Vec<Effect>) {
        let Some(caller) = self.clients.get_mut(&client) else { return };
        caller.tests = false;
        if self.book.unsaid.is_empty() || client.front != FrontKind::JsonLines {
            return;
        }
        self.deadlines.clear(&Deadline::FirstMessage(client));
        for (sid, unsaid) in std::mem::take(&mut self.book.unsaid) {
            self.deadlines.clear(&Deadline::PendingRelease(sid));
            self.say_release(client, sid, unsaid.cause, unsaid.said, out);
        }
    }

    /// The caller's connection is gone: what was being set up on it is given up, what stands stays up. A leg of
    /// IAX2 is its call, and ends with it.
    pub(super) fn client_down(&mut self, client: Client, out: &mut Vec<Effect>) {
        self.clients.remove(&client);
        self.deadlines.clear(&Deadline::FirstMessage(client));
        let open: Vec<Sid> =
            self.open.iter().filter(|(_, o)| o.client == client).map(|(sid, _)| *sid).collect();
        for sid in open {
            self.hang_up(sid, out);
        }
        // Guards against releases that were written on a connection which its caller was just closing.
        let unheard = self.book.unheard.iter().filter(|(_, (on, _))| *on == client);
        let unheard: Vec<(Sid, Owed)> = unheard.map(|(sid, (_, owed))| (*sid, *owed)).collect();
        for (sid, owed) in unheard {
            self.book.unheard.remove(&sid);
            self.say_release(client, sid, owed.cause, owed.said, out);
        }
        if client.front == FrontKind::Iax2 {
            let standing = self.book.standing.iter().filter(|(_, s)| s.client == client);
            let standing: Vec<Sid> = standing.map(|(sid, _)| *sid).collect();
            for sid in standing {
                self.end_standing(sid, CAUSE_CLEARED, out);
            }
        }
    }

    /// A caller gives a set-up up, or ends its call, on whatever connection.
    pub(super) fn client_closes(&mut self, client: Client, sid: Sid, cause: u16, out: &mut Vec<Effect>) {
        if let Some(open) = self.open.get(&sid) {
            // Guards against a caller who takes back what is another's.
            let own = open.client == client;
            return if own { self.hang_up(sid, out) } else { out.push(Effect::ConfirmRelease(client, sid)) };
        }
        out.push(Effect::ConfirmRelease(client, sid));
        if self.book.standing.contains_key(&sid) {
            self.end_standing(sid, cause, out);
        } else if !self.book.ended.contains_key(&sid) {
            // Guards against a caller who ends hundreds of calls that nobody knows, each at every call server.
            let strangers = self.clients.get_mut(&client).map_or(0, |caller| {
                caller.strangers += 1;
                caller.strangers
            });
            if strangers > MOST_STRANGERS {
                return;
            }
            // Set up before a restart of this controller: whichever call server holds it lets it go.
            self.remember(sid);
            let servers: Vec<ServerId> = self.servers.keys().copied().collect();
            out.extend(servers.into_iter().map(|server| Effect::Bye(server, sid, cause)));
        }
    }

    fn hang_up(&mut self, sid: Sid, out: &mut Vec<Effect>) {
        let Some(call) = self.open.get(&sid).map(|open| open.id) else { return };
        self.counts.given_up += 1;
        self.feed(Event::HungUp(call), out);
        self.take_back(sid, Outcome::Cancelled, out);
        if let Some(open) = self.close(sid) {
            out.push(Effect::AnswerNoLongerOwed(open.client));
        }
        self.remember(sid);
        self.pump(out);
    }

    /// Ends a call that stands from this side.
    pub(super) fn end_standing(&mut self, sid: Sid, cause: u16, out: &mut Vec<Effect>) {
        let Some(s) = self.book.no_longer_stands(sid) else { return };
        self.remember(sid);
        self.note_change(|| Change::Ends(sid));
        self.no_longer_trusted(sid);
        out.push(Effect::Bye(s.server, sid, cause));
        self.tell_end(s, Outcome::Cancelled, &LoadValues::new(), out);
    }

    /// A call server's release: the caller hears of it at once, on its own connection or any other.
    pub(super) fn server_releases(
        &mut self,
        server: ServerId,
        sid: Sid,
        cause: u16,
        report: LoadValues,
        out: &mut Vec<Effect>,
    ) {
        if self.book.stands_at(sid, server) {
            let Some(s) = self.book.no_longer_stands(sid) else { return };
            self.remember(sid);
            self.say_release(s.client, sid, cause, 0, out);
            let outcome = if cause == CAUSE_CLEARED { Outcome::Ok } else { Outcome::Reset };
            self.tell_end(s, outcome, &report, out);
            return;
        }
        if self.open.get(&sid).is_some_and(|open| open.may_stand_at(server)) {
            self.released_before_its_answer(server, sid, &report, out);
        } else if !self.book.knows(sid) && !self.open.contains_key(&sid) {
            // Guards against calls left standing at callers by a restart: the name is unknown here, the caller
            // still waits for its release.
            self.remember(sid);
            self.counts.unknown_released += 1;
            let nobody = Client { front: FrontKind::JsonLines, no: u64::MAX };
            self.say_release(nobody, sid, cause, 0, out);
        }
    }

    /// A release has overtaken its answer. Only a call that stood is released, so this one stood and is over: its caller is
    /// owed a release, and without the answer's description the call cannot be answered. Guards against another attempt
    /// for a call that has run, while its caller is told of its end too late.
    fn released_before_its_answer(
        &mut self,
        server: ServerId,
        sid: Sid,
        report: &LoadValues,
        out: &mut Vec<Effect>,
    ) {
        let Some(open) = self.open.get(&sid) else { return };
        let (call, is_out) = (open.id, open.is_out_at(server));
        if is_out {
            let load = self.load_of(report);
            self.attempt_ended(sid, Outcome::Reset, Cause::None, load);
        }
        self.caller_gives_up(call, out);
    }

    /// All calls of a call server are cut.
    pub(super) fn server_died(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        let cut = self.book.standing.iter().filter(|(_, s)| s.server == server);
        let cut: Vec<Sid> = cut.map(|(sid, _)| *sid).collect();
        cut.into_iter().for_each(|sid| self.cut(sid, out));
    }

    /// A call that stood is over, and nobody said so but the end of what carried it.
    pub(super) fn cut(&mut self, sid: Sid, out: &mut Vec<Effect>) {
        let Some(s) = self.book.no_longer_stands(sid) else { return };
        self.remember(sid);
        self.say_release(s.client, sid, CAUSE_CUT, 0, out);
        self.tell_end(s, Outcome::Reset, &LoadValues::new(), out);
    }

    /// The release goes on the call's own connection, else on any open one of its front, else on the next to open.
    pub(super) fn say_release(
        &mut self,
        client: Client,
        sid: Sid,
        cause: u16,
        said: u8,
        out: &mut Vec<Effect>,
    ) {
        // Guards against one that is said again and again where each connection goes before it is confirmed.
        if said >= MOST_SAID {
            return;
        }
        self.no_longer_trusted(sid);
        let own = self.clients.contains_key(&client).then_some(client);
        let shared = client.front == FrontKind::JsonLines;
        // Guards against a release that is said to whoever came last: it may be one of those who only fill the door.
        let newest = |served: bool| {
            let fit = |(c, caller): &(&Client, &Caller)| {
                c.front == client.front && caller.served >= served && !caller.tests
            };
            self.clients.iter().rfind(fit).map(|(c, _)| *c).filter(|_| shared)
        };
        let any = || newest(true).or_else(|| newest(false));
        match own.or_else(any) {
            Some(client) => {
                self.counts.released += 1;
                self.note_change(|| Change::Ends(sid));
                if shared && self.book.unheard.len() < MOST_KEPT {
                    self.book.unheard.insert(sid, (client, Owed { cause, said: said + 1 }));
                }
                out.push(Effect::Release(client, sid, cause));
            }
            None if shared && self.book.unsaid.len() < MOST_KEPT => {
                self.book.unsaid.insert(sid, Owed { cause, said });
                self.note_change(|| Change::Owes(sid, cause));
                self.deadlines.set(self.now.plus(UNSAID), Deadline::PendingRelease(sid));
            }
            None => self.note_change(|| Change::Ends(sid)),
        }
    }

    fn tell_end(&mut self, s: Standing, outcome: Outcome, report: &LoadValues, out: &mut Vec<Effect>) {
        let took = self.now.since(s.since);
        let mut event = ended(s.id, s.attempt, s.server, outcome, Cause::None, took);
        let load = self.load_of(report);
        if let Event::Ended(AttemptEnd { closed, load: told, attempt, .. }) = &mut event {
            (*closed, *told, *attempt) = (true, load, Attempt(s.attempt));
        }
        self.feed(event, out);
    }

    /// Keeps an ended call's name for a while.
    pub(super) fn remember(&mut self, sid: Sid) {
        if self.book.ended.insert(sid, ()).is_none() {
            self.book.order.push_back(sid);
        }
        self.deadlines.set(self.now.plus(REMEMBERED), Deadline::ForgetCall(sid));
        while self.book.order.len() > MOST_KEPT {
            let Some(oldest) = self.book.order.pop_front() else { break };
            self.book.forget(oldest);
            self.deadlines.clear(&Deadline::ForgetCall(oldest));
        }
    }
}
