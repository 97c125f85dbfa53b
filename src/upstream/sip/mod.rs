//! SIP call servers: few long-lived connections each. No socket here: connections are numbers with a queue.

pub mod message;
#[cfg(test)]
mod tests;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{AttemptError, DeadlineOwner, Input, Progress, ServerEvent, Sid, TransportError};
use crate::interface::{ServerId, Span, Time};
use crate::net::conn::CloseReason;
use crate::net::queue::{Budget, WriteQueue};
use crate::upstream::AdapterOutput;
use message::{parse_report, refusal_from_response, request, response, Message, StartLine};

/// Connections to one call server at most. Set-ups are spread over them: whatever spoils or ends one costs the others
/// nothing.
const MOST_LINKS: usize = 4;
/// A new connection carries no set-up before its call server has said something on it, or this time has passed. Guards
/// against set-ups lost on connections that are reset when they are new.
const FIRST_WORD: Span = Span::from_millis(150);
/// A set-up that has not left when its connection ends goes to another so often.
const MOST_MOVES: u8 = 3;
/// A connection that has said nothing for so long after a set-up gets no new one while another may be had. Guards
/// against calls lost into the open and silent connections of a machine that has vanished.
const SUSPECT: Span = Span::from_millis(700);
/// First and longest wait before a connection is tried again.
const AGAIN: (Span, Span) = (Span::from_millis(100), Span::from_millis(1_000));
/// After so long without a word, a call server with calls is offered another connection, on which it must speak.
const ASK_AFTER: Span = Span::from_millis(3_000);
/// So often is a call server with calls looked at.
const LOOK_EVERY: Span = Span::from_millis(1_000);
/// After so long without a word its calls are released. Guards against calls that end unheard at a machine that has
/// vanished: their callers are owed a release within 8 s, and any call may have ended with the first moment, or a little
/// ahead of it on a connection that fell silent first.
const CUT_AFTER: Span = Span::from_millis(6_500);
/// Set-ups given up on a connection, and ends of calls said on it, that are remembered; later ones push out the first. More
/// than leave on one within the time that a call is tried for.
const MOST_GIVEN_UP: usize = 256;
/// The end of a call that was said so lately on a connection which ends, and not confirmed, is said again on another. What
/// is older was heard by a call server that confirms nothing, or its connection would have broken under it before.
const SAID_AGAIN: Span = Span::from_millis(3_000);
/// Messages that may wait for the next connection.
const MOST_WAITING: usize = 4_096;
/// Stands in for a number that is not known, in the first line of a request that only its `Call-ID` matters for.
const NO_NUMBER: &str = "0000000000000000";

/// How a connection came to nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkEnd {
    /// It was refused: no process is there.
    Refused,
    /// It was not made in time, or could not be made.
    ConnectFailed,
    /// It stood and ended.
    Closed(CloseReason),
}

/// A set-up on a connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct SetUpOut {
    /// The number called.
    number: Rc<str>,
    /// How often it went to another connection before it left.
    moves: u8,
    /// When it was put to write.
    since: Time,
}

#[derive(Debug, Serialize, Deserialize)]
struct Link {
    queue: Rc<WriteQueue>,
    /// Since when it stands.
    up: Option<Time>,
    /// Set-ups open on it.
    out: BTreeMap<Sid, SetUpOut>,
    /// Set-ups that had left when they were given up, the latest last: a last word on them may still come.
    given_up: VecDeque<Sid>,
    /// Ends of calls said on it that nobody has confirmed, the latest last.
    unheard: VecDeque<(Sid, Bytes, Time)>,
    /// When the first set-up went out since anything was heard.
    asked: Option<Time>,
    /// The last word on it.
    heard: Time,
    /// Whether it carries set-ups: something was heard on it, or it has stood for long enough.
    speaks: bool,
}

impl Link {
    fn gives_up(&mut self, sid: Sid) {
        if self.given_up.len() >= MOST_GIVEN_UP {
            self.given_up.pop_front();
        }
        self.given_up.push_back(sid);
    }
    /// Says the end of a call.
    fn says_end(&mut self, sid: Sid, bytes: Bytes, now: Time) {
        self.queue.push(bytes.clone(), None);
        if self.unheard.len() >= MOST_GIVEN_UP {
            self.unheard.pop_front();
        }
        self.unheard.push_back((sid, bytes, now));
    }
    /// Whether a last word on a set-up is about one that was given up here.
    fn was_given_up(&mut self, sid: Sid) -> bool {
        let at = self.given_up.iter().position(|given_up| *given_up == sid);
        at.and_then(|at| self.given_up.remove(at)).is_some()
    }
}

#[derive(Debug, Serialize, Deserialize)]
struct Trunk {
    dial: SocketAddr,
    links: BTreeMap<u64, Link>,
    /// Requests and answers for the next connection.
    waiting: VecDeque<Bytes>,
    /// Numbers called, of the calls that stand here.
    standing: BTreeMap<Sid, Rc<str>>,
    wanted: bool,
    again: Span,
    /// The last word from there.
    heard: Time,
    /// Whether its silence is watched.
    watched: bool,
}

impl Trunk {
    /// The connection on which the end of a call is said: one that stands, best one that has spoken since it was asked.
    fn link_for_ends(&mut self) -> Option<&mut Link> {
        let up = self.links.values_mut().filter(|l| l.up.is_some());
        up.max_by_key(|l| l.asked.is_none())
    }
}

/// Plain counts of what these wires did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SipCounts {
    /// INVITEs put to write.
    pub invites: u64,
    /// INVITEs taken back before a byte had left.
    pub withdrawn: u64,
    /// Messages read.
    pub received: u64,
    /// Messages that could not be read.
    pub malformed: u64,
    /// Connections made.
    pub connected: u64,
    /// Connections that could not be made.
    pub connect_failures: u64,
    /// Set-ups that went to another connection because theirs ended before they left.
    pub moved: u64,
    /// Connections ended because of what came on them.
    pub closed_malformed: u64,
    /// Connections ended because nothing came on them while others spoke.
    pub stale: u64,
}

/// What a process goes on with.
pub struct ResumedTrunks {
    /// All of it.
    pub trunks: Trunks,
    /// Connections to be made.
    pub to_make: Vec<(u64, SocketAddr)>,
    /// Connections that have ended on the way.
    pub lost: Vec<u64>,
}

/// All SIP call servers.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Trunks {
    trunks: BTreeMap<ServerId, Trunk>,
    of_link: BTreeMap<u64, ServerId>,
    next_link: u64,
    #[serde(skip)]
    budget: Budget,
    /// Connections to all call servers together, beyond one each.
    #[serde(skip)]
    most_links: usize,
    /// What was done so far.
    #[serde(skip)]
    pub counts: SipCounts,
}

impl Trunks {
    /// No call server yet; what waits to be written to them counts against a budget, and so many connections may be
    /// made beyond one for each.
    pub fn with_budget(budget: &Budget, most_links: usize) -> Self {
        Self { budget: budget.clone(), most_links, ..Self::default() }
    }

    /// Goes on with what another process held. Returns the connections that it had not made yet: their numbers and
    /// where to. `stands`: whether the socket of one has come along; one without it has ended.
    pub fn resume(
        mut self,
        budget: &Budget,
        most_links: usize,
        stands: impl Fn(u64) -> bool,
    ) -> ResumedTrunks {
        (self.budget, self.most_links) = (budget.clone(), most_links);
        let (mut to_make, mut lost) = (Vec::new(), Vec::new());
        for trunk in self.trunks.values_mut() {
            for (no, link) in &mut trunk.links {
                if let Some(queue) = Rc::get_mut(&mut link.queue) {
                    queue.move_to_budget(budget);
                }
                match link.up {
                    None => to_make.push((*no, trunk.dial)),
                    Some(_) if !stands(*no) => lost.push(*no),
                    Some(_) => {}
                }
            }
        }
        ResumedTrunks { trunks: self, to_make, lost }
    }

    /// From now on so many connections may be made beyond one for each call server.
    pub fn set_max_links(&mut self, most_links: usize) {
        self.most_links = most_links;
    }

    /// Keeps up a way to a call server. One that started anew has none of the connections made before that. Those
    /// made since are its own: the list tells of a start seconds late, and what is under way on them must not be
    /// lost. Guards against releases that crossed our closing of the connection they came on.
    pub fn connect(
        &mut self,
        server: ServerId,
        dial: SocketAddr,
        fresh: Option<Time>,
        todo: &mut AdapterOutput,
    ) {
        if let Some(born) = fresh {
            self.drop_links(server, dial, born, todo);
        }
        let trunk = self.trunks.entry(server).or_insert_with(|| Trunk {
            dial,
            links: BTreeMap::new(),
            waiting: VecDeque::new(),
            standing: BTreeMap::new(),
            wanted: true,
            again: AGAIN.0,
            heard: Time::default(),
            watched: false,
        });
        (trunk.dial, trunk.wanted) = (dial, true);
        if fresh.is_some() {
            trunk.again = AGAIN.0;
        }
        if trunk.links.is_empty() {
            self.open_link(server, todo);
        }
    }

    /// Makes no more ways to a call server. Those that are there end by themselves: releases may still come on them.
    pub fn stop_connecting(&mut self, server: ServerId) {
        if let Some(trunk) = self.trunks.get_mut(&server) {
            trunk.wanted = false;
            trunk.waiting.clear();
        }
    }

    /// A call stands there, as the records of a life before tell: its call server's silence is watched from now on.
    pub fn restore_call(
        &mut self,
        server: ServerId,
        sid: Sid,
        number: Rc<str>,
        now: Time,
        todo: &mut AdapterOutput,
    ) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        trunk.standing.insert(sid, number);
        if !std::mem::replace(&mut trunk.watched, true) {
            trunk.heard = trunk.heard.max(now);
            todo.deadlines.push((now.plus(ASK_AFTER), DeadlineOwner::SipSilence, u64::from(server.address)));
        }
    }

    /// Looks whether a call server with calls has been silent for too long.
    pub fn check_silence(&mut self, key: u64, now: Time, todo: &mut AdapterOutput) {
        let server = ServerId { address: u32::try_from(key).unwrap_or(0), port: 0 };
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        trunk.watched = !trunk.standing.is_empty();
        if !trunk.watched {
            return;
        }
        let silent = now.since(trunk.heard);
        if silent >= CUT_AFTER {
            trunk.watched = false;
            self.died(server, todo);
            return;
        }
        todo.deadlines.push((
            trunk.heard.plus(CUT_AFTER).min(now.plus(LOOK_EVERY)),
            DeadlineOwner::SipSilence,
            key,
        ));
        // Guards against releases that are lost on a connection that has gone silent while the others speak: they are
        // said again on the next one that opens.
        let stale = |l: &Link| l.up.is_some() && trunk.heard.since(l.heard) >= ASK_AFTER;
        let stale = trunk.links.iter().find(|(_, l)| stale(l)).map(|(no, l)| (*no, l.queue.clone()));
        if let Some((no, queue)) = stale {
            self.counts.stale += 1;
            queue.abort();
            self.end_link(server, no, LinkEnd::Closed(CloseReason::ClosedHere), now, todo);
            self.open_link(server, todo);
            return;
        }
        let speaks = trunk.links.values().any(|l| l.up.is_none());
        if silent >= ASK_AFTER && trunk.wanted && !speaks && trunk.links.len() < MOST_LINKS {
            self.open_link(server, todo);
        }
    }

    /// The calls there are over as far as anybody here can know; should it live, it is told so.
    fn died(&mut self, server: ServerId, todo: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        for (sid, number) in std::mem::take(&mut trunk.standing) {
            if trunk.wanted && trunk.waiting.len() < MOST_WAITING {
                let reason = "Reason: Q.850;cause=41\r\n";
                trunk.waiting.push_back(request("BYE", &number, sid, (2, "BYE"), reason, ""));
            }
        }
        todo.inputs.push(Input::ServerDied(server));
    }

    /// Another call server has its address: its process is gone, and its calls with it.
    pub fn replaced(&mut self, server: ServerId, todo: &mut AdapterOutput) {
        self.stop_connecting(server);
        let links = self.trunks.get(&server).map(|t| t.links.keys().copied().collect::<Vec<_>>());
        for link in links.into_iter().flatten() {
            if let Some(queue) = self.queue_of(link) {
                queue.abort();
            }
            self.end_link(server, link, LinkEnd::Closed(CloseReason::ClosedHere), Time::default(), todo);
        }
        if let Some(trunk) = self.trunks.get_mut(&server) {
            trunk.standing.clear();
            todo.inputs.push(Input::ServerDied(server));
        }
    }

    /// A call server that has left for good: nothing is kept of it.
    pub fn forget(&mut self, server: ServerId) {
        let Some(trunk) = self.trunks.remove(&server) else { return };
        for (no, link) in trunk.links {
            self.of_link.remove(&no);
            link.queue.abort();
        }
    }

    fn drop_links(&mut self, server: ServerId, dial: SocketAddr, born: Time, todo: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get(&server) else { return };
        let moved = trunk.dial != dial;
        let old = trunk.links.iter().filter(|(_, l)| moved || l.up.is_some_and(|since| since < born));
        let old: Vec<u64> = old.map(|(no, _)| *no).collect();
        for link in old {
            if let Some(l) = self.trunks.get(&server).and_then(|t| t.links.get(&link)) {
                l.queue.abort();
            }
            self.end_link(server, link, LinkEnd::Closed(CloseReason::ClosedHere), Time::default(), todo);
        }
    }

    fn open_link(&mut self, server: ServerId, todo: &mut AdapterOutput) -> Option<u64> {
        let trunk = self.trunks.get_mut(&server)?;
        let no = self.next_link;
        self.next_link += 1;
        let queue = Rc::new(WriteQueue::with_budget(&self.budget));
        queue.hold(true);
        trunk.links.insert(
            no,
            Link {
                queue,
                up: None,
                out: BTreeMap::new(),
                given_up: VecDeque::new(),
                unheard: VecDeque::new(),
                asked: None,
                heard: Time::default(),
                speaks: false,
            },
        );
        self.of_link.insert(no, server);
        todo.connects.push((no, trunk.dial));
        Some(no)
    }

    /// The queue of a connection, for whoever serves its socket; `None` once it is not wanted any more.
    pub fn queue_of(&self, link: u64) -> Option<Rc<WriteQueue>> {
        let server = self.of_link.get(&link)?;
        Some(self.trunks.get(server)?.links.get(&link)?.queue.clone())
    }

    /// Sends a set-up on the best connection there is.
    #[allow(clippy::too_many_arguments)] // one set-up, as the wire wants it
    pub fn invite(
        &mut self,
        server: ServerId,
        sid: Sid,
        class: &str,
        number: &Rc<str>,
        left: Span,
        body: &str,
        now: Time,
        todo: &mut AdapterOutput,
    ) {
        let lost = |progress, why| {
            Input::Server(server, sid, ServerEvent::Lost(AttemptError { error: why, progress }))
        };
        let Some(no) = self.pick(server, sid, now, todo) else {
            return todo.inputs.push(lost(Progress::NotConnected, TransportError::ConnectFailed));
        };
        let extra = format!("P-Kind: {class}\r\nP-Time-Left: {}\r\n", left.0 / 1000);
        let bytes = request("INVITE", number, sid, (1, "INVITE"), &extra, body);
        let link = self.trunks.get_mut(&server).and_then(|t| t.links.get_mut(&no));
        let Some(link) = link else { return };
        if !link.queue.push(bytes, Some(sid)) {
            return todo.inputs.push(lost(Progress::Queued, TransportError::Cancelled));
        }
        self.counts.invites += 1;
        link.out.insert(sid, SetUpOut { number: number.clone(), moves: 0, since: now });
        link.asked.get_or_insert(now);
    }

    /// The connection that the next set-up goes on: one that stands and speaks, with the fewest set-ups open. Where each
    /// has some, another is made for those to come. A call that was given up on one goes on another if it can: the last word
    /// on its first set-up must not be taken for that on the next.
    fn pick(&mut self, server: ServerId, sid: Sid, now: Time, todo: &mut AdapterOutput) -> Option<u64> {
        let spare = self.of_link.len() < self.trunks.len() + self.most_links;
        let trunk = self.trunks.get(&server).filter(|t| t.wanted)?;
        // A second one is always to be had: the first may have gone silent.
        let few = trunk.links.len() < 2 || (trunk.links.len() < MOST_LINKS && spare);
        let suspect = |l: &Link| l.asked.is_some_and(|at| now.since(at) > SUSPECT);
        let least = |which: &dyn Fn(&Link) -> bool| {
            let fit = trunk.links.iter().filter(|(_, l)| which(l));
            fit.min_by_key(|(_, l)| l.out.len()).map(|(no, l)| (*no, l.out.len()))
        };
        let anew = |l: &Link| !l.given_up.contains(&sid);
        let healthy = least(&|l| l.speaks && !suspect(l) && anew(l));
        let healthy = healthy.or_else(|| least(&|l| l.speaks && !suspect(l)));
        let coming = least(&|l| !l.speaks && !suspect(l)).map(|(no, _)| no);
        match healthy {
            Some((no, open)) => {
                if open > 0 && coming.is_none() && few {
                    self.open_link(server, todo);
                }
                Some(no)
            }
            None if coming.is_some() => coming,
            None if few => self.open_link(server, todo),
            None => least(&|_| true).map(|(no, _)| no),
        }
    }

    /// Gives a set-up up; one of which no byte has left is simply taken back.
    pub fn cancel(&mut self, server: ServerId, sid: Sid) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        for link in trunk.links.values_mut() {
            let Some(SetUpOut { number, .. }) = link.out.remove(&sid) else { continue };
            if link.queue.cancel_unsent(sid) {
                self.counts.withdrawn += 1;
            } else {
                link.queue.push(request("CANCEL", &number, sid, (1, "CANCEL"), "", ""), None);
                link.gives_up(sid);
            }
        }
    }

    /// Ends a call that stands there, on any connection, or on the next.
    pub fn bye(&mut self, server: ServerId, sid: Sid, cause: u16, now: Time, todo: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let number = trunk.standing.remove(&sid);
        let extra = format!("Reason: Q.850;cause={cause}\r\n");
        let number = number.as_deref().unwrap_or(NO_NUMBER);
        let bytes = request("BYE", number, sid, (2, "BYE"), &extra, "");
        if let Some(link) = trunk.link_for_ends() {
            return link.says_end(sid, bytes, now);
        }
        if trunk.wanted && trunk.waiting.len() < MOST_WAITING {
            trunk.waiting.push_back(bytes);
            if trunk.links.is_empty() {
                self.open_link(server, todo);
            }
        }
    }

    /// Takes back every set-up of which no byte has left.
    pub fn cancel_queued(&mut self, server: ServerId, todo: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        for link in trunk.links.values_mut() {
            let progress = if link.up.is_some() { Progress::Queued } else { Progress::NotConnected };
            for sid in link.queue.cancel_all_unsent() {
                link.out.remove(&sid);
                self.counts.withdrawn += 1;
                let error = AttemptError { error: TransportError::Cancelled, progress };
                todo.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
            }
        }
    }

    /// A connection was made.
    pub fn link_up(&mut self, no: u64, now: Time, todo: &mut AdapterOutput) {
        let Some(server) = self.of_link.get(&no) else { return };
        let Some(trunk) = self.trunks.get_mut(server) else { return };
        self.counts.connected += 1;
        (trunk.again, trunk.heard) = (AGAIN.0, now);
        let waiting = std::mem::take(&mut trunk.waiting);
        let Some(link) = trunk.links.get_mut(&no) else { return };
        (link.up, link.heard) = (Some(now), now);
        link.asked = link.asked.map(|_| now);
        for bytes in waiting {
            link.queue.push(bytes, None);
        }
        todo.deadlines.push((now.plus(FIRST_WORD), DeadlineOwner::SipFirstMessage, no));
    }

    /// A connection that stands may carry set-ups now, whether its call server has said something on it or not.
    pub fn first_message_overdue(&mut self, no: u64) {
        let Some(server) = self.of_link.get(&no) else { return };
        let link = self.trunks.get_mut(server).and_then(|t| t.links.get_mut(&no));
        if let Some(link) = link.filter(|l| l.up.is_some() && !l.speaks) {
            link.speaks = true;
            link.queue.hold(false);
        }
    }

    /// A connection ended or could not be made.
    pub fn link_ended(&mut self, no: u64, how: LinkEnd, now: Time, todo: &mut AdapterOutput) {
        let Some(&server) = self.of_link.get(&no) else { return };
        if how == LinkEnd::Closed(CloseReason::Malformed) || how == LinkEnd::Closed(CloseReason::Incomplete) {
            self.counts.closed_malformed += 1;
        }
        self.end_link(server, no, how, now, todo);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let none_up = trunk.links.values().all(|l| l.up.is_none() || l.asked.is_some());
        let dead = match how {
            LinkEnd::Refused => true,
            // Guards against calls that stand cut at a mere reset: any connection may be reset on its way. A process
            // that has died refuses the next one, which is made for that at once.
            // One that has left the list and whose last connection ends has nothing more to say.
            LinkEnd::Closed(CloseReason::Closed | CloseReason::Reset) => !trunk.wanted,
            LinkEnd::Closed(_) | LinkEnd::ConnectFailed => false,
        };
        if dead && none_up {
            // Guards against calls left standing at callers when the process that carried them dies: it sends no
            // releases, it only resets its connections.
            trunk.standing.clear();
            todo.inputs.push(Input::ServerDied(server));
        }
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        if trunk.wanted && trunk.links.is_empty() {
            todo.deadlines.push((
                now.plus(trunk.again),
                DeadlineOwner::SipReconnect,
                u64::from(server.address),
            ));
            trunk.again = Span(trunk.again.0.saturating_mul(2)).min(AGAIN.1);
        }
    }

    /// Takes a connection off the books. Each set-up on it is settled by how far it had come: one that has left may have
    /// run; one that has not goes to another connection, since only this one was at fault.
    fn end_link(&mut self, server: ServerId, no: u64, how: LinkEnd, now: Time, todo: &mut AdapterOutput) {
        self.of_link.remove(&no);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let Some(mut link) = trunk.links.remove(&no) else { return };
        if !matches!(how, LinkEnd::Closed(_)) {
            self.counts.connect_failures += 1;
        }
        let rest = link.queue.take_unsent();
        let mut waiting = Vec::new();
        for item in rest {
            let Some(sid) = item.set_up else {
                waiting.push(item.bytes);
                continue;
            };
            let Some(set_up) = link.out.remove(&sid) else { continue };
            let stood = matches!(how, LinkEnd::Closed(end) if end != CloseReason::ClosedHere);
            if !(stood
                && set_up.moves < MOST_MOVES
                && self.move_on(server, sid, &set_up, &item.bytes, now, todo))
            {
                let (why, progress) = match link.up {
                    None => (TransportError::ConnectFailed, Progress::NotConnected),
                    Some(_) => (TransportError::ConnectionClosed, Progress::Queued),
                };
                let error = AttemptError { error: why, progress };
                todo.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
            }
        }
        for sid in link.out.keys() {
            let error = AttemptError { error: TransportError::ConnectionClosed, progress: Progress::Written };
            todo.inputs.push(Input::Server(server, *sid, ServerEvent::Lost(error)));
        }
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        // Guards against calls left standing whose end was said on a connection that its call server was just closing, and
        // against what had not left and waits for the next connection while another stands.
        let again = |(_, bytes, said): &(Sid, Bytes, Time)| {
            now.since(*said) < SAID_AGAIN && now >= *said && !waiting.contains(bytes)
        };
        let again: Vec<(Sid, Bytes, Time)> = link.unheard.iter().filter(|end| again(end)).cloned().collect();
        if let Some(other) = trunk.link_for_ends() {
            for bytes in waiting {
                let _ = other.queue.push(bytes, None); // one that takes no more is at its end itself
            }
            return again.into_iter().for_each(|(sid, bytes, _)| other.says_end(sid, bytes, now));
        }
        let room = MOST_WAITING.saturating_sub(trunk.waiting.len());
        let again = again.into_iter().map(|(_, bytes, _)| bytes).filter(|_| trunk.wanted);
        trunk.waiting.extend(waiting.into_iter().chain(again).take(room));
    }

    fn move_on(
        &mut self,
        server: ServerId,
        sid: Sid,
        set_up: &SetUpOut,
        bytes: &Bytes,
        now: Time,
        todo: &mut AdapterOutput,
    ) -> bool {
        let Some(no) = self.pick(server, sid, now, todo) else { return false };
        let link = self.trunks.get_mut(&server).and_then(|t| t.links.get_mut(&no));
        let Some(link) = link.filter(|l| l.queue.push(bytes.clone(), Some(sid))) else { return false };
        let (number, moves) = (set_up.number.clone(), set_up.moves + 1);
        link.out.insert(sid, SetUpOut { number, moves, since: now });
        link.asked.get_or_insert(now);
        self.counts.moved += 1;
        true
    }

    /// Where the call server of a connection is.
    pub fn address_of(&self, link: u64) -> Option<SocketAddr> {
        Some(self.trunks.get(self.of_link.get(&link)?)?.dial)
    }

    /// A wait before the next connection is over.
    pub fn reconnect(&mut self, key: u64, todo: &mut AdapterOutput) {
        let server = ServerId { address: u32::try_from(key).unwrap_or(0), port: 0 };
        if self.trunks.get(&server).is_some_and(|t| t.wanted && t.links.is_empty()) {
            self.open_link(server, todo);
        }
    }

    /// A message came on a connection.
    pub fn handle_message(&mut self, no: u64, message: &Message, now: Time, todo: &mut AdapterOutput) {
        self.counts.received += 1;
        let Some(&server) = self.of_link.get(&no) else { return };
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let Some(link) = trunk.links.get_mut(&no) else { return };
        link.asked = None;
        // Guards against calls left standing at a machine that has vanished: an answer that was held up on its way is no
        // word of today. It tells that the call server lived when it was asked.
        let word = match (&message.start, Sid::parse(&message.call_id).and_then(|sid| link.out.get(&sid))) {
            (StartLine::Request(_), _) => now,
            (StartLine::Response(_), Some(set_up)) => set_up.since,
            (StartLine::Response(_), None) => link.heard,
        };
        link.heard = link.heard.max(word);
        trunk.heard = trunk.heard.max(word);
        if !std::mem::replace(&mut link.speaks, true) {
            link.queue.hold(false);
        }
        let sid = Sid::parse(&message.call_id);
        match (&message.start, message.cseq.1.as_str(), sid) {
            (StartLine::Response(100..=199), _, _) => {}
            (StartLine::Response(code), "INVITE", Some(sid)) => {
                let mut number = link.out.remove(&sid).map(|set_up| set_up.number);
                let late = number.is_none() && link.was_given_up(sid);
                if late && *code >= 300 {
                    // Guards against a call that is tried here once more, and whose attempt is taken for refused by the
                    // last word on the one before: it would go elsewhere while this one is out.
                    let to = trunk.standing.get(&sid).map_or(NO_NUMBER, |number| number);
                    link.queue.push(request("ACK", to, sid, (message.cseq.0, "ACK"), "", ""), None);
                    if !message.report.is_empty() {
                        todo.inputs.push(Input::Load(server, message.report.clone()));
                    }
                    return;
                }
                if number.is_none() {
                    // The call stands by its first set-up, or by one whose connection has ended there: the one that is
                    // out on another connection is the same call.
                    let mut others = trunk.links.values_mut();
                    number = others.find_map(|l| l.out.remove(&sid)).map(|set_up| set_up.number);
                }
                let Some(link) = trunk.links.get_mut(&no) else { return };
                let asked = number.is_some();
                let known = number.or_else(|| trunk.standing.get(&sid).cloned());
                let to = known.as_deref().unwrap_or(NO_NUMBER);
                link.queue.push(request("ACK", to, sid, (message.cseq.0, "ACK"), "", ""), None);
                let says = match (*code, std::str::from_utf8(&message.body)) {
                    (200..=299, Ok(body)) => {
                        // Guards against entries for calls that nobody asked for here: a second copy, an unknown name.
                        if let Some(number) = known.filter(|_| asked) {
                            trunk.standing.insert(sid, number);
                        }
                        if asked && !std::mem::replace(&mut trunk.watched, true) {
                            let key = u64::from(server.address);
                            todo.deadlines.push((now.plus(ASK_AFTER), DeadlineOwner::SipSilence, key));
                        }
                        ServerEvent::Answered(body.into())
                    }
                    (200..=299, Err(_)) => {
                        // A description that is no text cannot be passed on unchanged: the call must not stand.
                        self.counts.malformed += 1;
                        self.bye(server, sid, 16, now, todo);
                        let error =
                            AttemptError { error: TransportError::Malformed, progress: Progress::Answered };
                        ServerEvent::Lost(error)
                    }
                    (code, _) => {
                        let (refusal, cause) = refusal_from_response(message, code);
                        ServerEvent::Refused(refusal, cause, message.report.clone())
                    }
                };
                todo.inputs.push(Input::Server(server, sid, says));
            }
            (StartLine::Response(_), "BYE", Some(sid)) => {
                link.unheard.retain(|(unheard, ..)| *unheard != sid)
            }
            (StartLine::Response(_), _, _) => {}
            (StartLine::Request(method), _, sid) => match (method.as_str(), sid) {
                ("BYE", Some(sid)) => {
                    link.queue.push(response(200, "OK", message), None);
                    link.out.remove(&sid);
                    trunk.standing.remove(&sid);
                    let says = ServerEvent::Released(message.cause.unwrap_or(16), message.report.clone());
                    todo.inputs.push(Input::Server(server, sid, says));
                }
                ("NOTIFY", _) => {
                    let in_body = std::str::from_utf8(&message.body).map(parse_report).unwrap_or_default();
                    let report = if message.report.is_empty() { in_body } else { message.report.clone() };
                    if !report.is_empty() {
                        todo.inputs.push(Input::Load(server, report));
                    }
                }
                ("ACK", _) => {}
                ("OPTIONS", _) => {
                    link.queue.push(response(200, "OK", message), None);
                }
                _ => {
                    self.counts.malformed += 1;
                    link.queue.push(response(501, "Not Implemented", message), None);
                }
            },
        }
    }
}
