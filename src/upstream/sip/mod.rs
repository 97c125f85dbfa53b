//! Protocol adapter for SIP call servers, with a few long-lived connections to each.
//!
//! Holds no sockets: a connection is a number with a write queue.

mod link;
pub mod message;
mod releases;
#[cfg(test)]
mod tests;
mod trunk;

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::{
    AttemptError, DeadlineOwner, Input, LoadValues, Progress, ServerEvent, Sid, TransportError,
    CAUSE_CLEARED, CAUSE_CUT,
};
use crate::interface::{ServerId, Span, Time};
use crate::net::conn::CloseReason;
use crate::net::queue::{Budget, WriteQueue};
use crate::upstream::AdapterOutput;
pub use link::LinkEnd;
use link::{HeldAnswer, Link, OutstandingSetUp};
use message::{parse_report, refusal_from_response, request, response, Message, StartLine};
use releases::{LastSent, PendingReleases};
use trunk::Trunk;

/// Largest number of connections to one call server. Set-ups are spread over them, so that malformed input or
/// a close on one does not affect the others.
const MAX_LINKS: usize = 4;
/// A new connection carries set-ups once its call server has sent something on it, or after this time:
/// set-ups would be lost on connections that are reset right after they open.
const FIRST_MESSAGE_TIMEOUT: Span = Span::from_millis(150);
/// How often a set-up that has not been written when its connection ends is moved to another.
const MAX_MOVES: u8 = 3;
/// Shortest and longest delay before reconnecting.
const RECONNECT_DELAY: (Span, Span) = (Span::from_millis(100), Span::from_millis(1_000));
/// After this much silence, a call server with established calls is offered another connection, on which it
/// must send something.
const PROBE_AFTER: Span = Span::from_millis(3_000);
/// Interval between silence checks of a call server with established calls.
const SILENCE_CHECK_INTERVAL: Span = Span::from_millis(1_000);
/// After this much silence the calls of a call server are released. When its machine vanishes, their callers
/// must get a release within 8 s, and a call may have ended at the start of the silence, or shortly before it
/// on a connection that fell silent first.
const SILENCE_TIMEOUT: Span = Span::from_millis(6_500);
/// Placeholder for an unknown number in a request URI; call servers use only the `Call-ID` of such a request.
const NO_NUMBER: &str = "0000000000000000";

/// Counters of this adapter.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct SipCounts {
    /// INVITEs queued.
    pub invites: u64,
    /// INVITEs withdrawn before a byte was written.
    pub withdrawn: u64,
    /// Messages received.
    pub received: u64,
    /// Messages that could not be used.
    pub malformed: u64,
    /// Connections opened.
    pub connected: u64,
    /// Connections that could not be opened.
    pub connect_failures: u64,
    /// Set-ups moved to another connection because theirs ended before they were written.
    pub moved: u64,
    /// Connections closed because of malformed or incomplete input.
    pub closed_malformed: u64,
    /// Connections closed because they were silent while others to the same call server were not.
    pub stale: u64,
}

/// What the new process of a takeover continues with.
pub struct ResumedTrunks {
    /// The restored state.
    pub trunks: Trunks,
    /// Connections to open.
    pub to_make: Vec<(u64, SocketAddr)>,
    /// Connections whose sockets were lost in the takeover.
    pub lost: Vec<u64>,
}

/// All SIP call servers and the connections to them.
#[derive(Debug, Default, Serialize, Deserialize)]
pub struct Trunks {
    trunks: BTreeMap<ServerId, Trunk>,
    #[serde(rename = "of_link")]
    server_of_link: BTreeMap<u64, ServerId>,
    next_link: u64,
    #[serde(skip)]
    budget: Budget,
    /// Whether call servers' releases are neither handled nor confirmed any more.
    #[serde(skip)]
    leaves_releases: bool,
    /// Largest number of connections in all, beyond one for each call server.
    #[serde(skip)]
    max_links: usize,
    /// Counters since the start.
    #[serde(skip)]
    pub counts: SipCounts,
}

impl Trunks {
    /// No call servers yet. What is queued for them counts against `budget`; `max_links` connections may be
    /// open beyond one for each call server.
    pub fn with_budget(budget: &Budget, max_links: usize) -> Self {
        Self { budget: budget.clone(), max_links, ..Self::default() }
    }

    /// Continues with the state handed over by the old process of a takeover. `has_socket`: whether the
    /// socket of a connection was handed over; one without it has ended.
    pub fn resume(
        mut self,
        budget: &Budget,
        max_links: usize,
        has_socket: impl Fn(u64) -> bool,
    ) -> ResumedTrunks {
        (self.budget, self.max_links) = (budget.clone(), max_links);
        let (mut to_make, mut lost) = (Vec::new(), Vec::new());
        for trunk in self.trunks.values_mut() {
            let releases = &mut trunk.releases;
            for (no, link) in &mut trunk.links {
                for (sid, request, sent_at) in link.inherited_releases.drain(..) {
                    releases.add(sid, request, Some(*no), sent_at);
                }
                if let Some(queue) = Rc::get_mut(&mut link.queue) {
                    queue.move_to_budget(budget);
                }
                match link.connected_at {
                    None => to_make.push((*no, trunk.address)),
                    Some(_) if !has_socket(*no) => lost.push(*no),
                    Some(_) => {}
                }
            }
        }
        ResumedTrunks { trunks: self, to_make, lost }
    }

    /// Changes the number of connections allowed beyond one for each call server.
    pub fn set_max_links(&mut self, max_links: usize) {
        self.max_links = max_links;
    }

    /// Keeps a connection open to a call server. At a new address all its connections belong to another
    /// process and are closed.
    pub fn connect(&mut self, server: ServerId, address: SocketAddr, output: &mut AdapterOutput) {
        if self.trunks.get(&server).is_some_and(|trunk| trunk.address != address) {
            self.close_links(server, |_| true, output);
        }
        let trunk = self.trunks.entry(server).or_insert_with(|| Trunk {
            address,
            links: BTreeMap::new(),
            waiting_messages: VecDeque::new(),
            established: BTreeMap::new(),
            answered_on: BTreeMap::new(),
            releases: PendingReleases::default(),
            wanted: true,
            replacement_due: false,
            refused_at: None,
            reconnect_delay: RECONNECT_DELAY.0,
            last_seen: Time::default(),
            silence_watched: false,
            silence_check_at: Time::default(),
        });
        (trunk.address, trunk.wanted) = (address, true);
        if trunk.links.is_empty() {
            self.open_link(server, output);
        }
    }

    /// A directory reports that a call server restarted. The connections opened before that are lost, and so are
    /// the calls that were answered on them: the new process does not have them and will never release them.
    /// Connections opened since belong to the new process: the report is seconds late, and releases in transit
    /// on them would be lost if they were closed.
    pub fn restarted(&mut self, server: ServerId, restarted_at: Time, output: &mut AdapterOutput) {
        let is_old = |link: &Link| link.connected_at.is_some_and(|since| since < restarted_at);
        self.close_links(server, is_old, output);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        trunk.reconnect_delay = RECONNECT_DELAY.0;
        for sid in trunk.take_established_before(restarted_at) {
            let cut = ServerEvent::Released(CAUSE_CUT, LoadValues::new());
            output.inputs.push(Input::Server(server, sid, cut));
        }
    }

    /// Opens no more connections to a call server for set-ups. The present ones stay until they end, as releases may
    /// still arrive on them. Where calls stand there and none is open, one more shows whether its process still runs.
    pub fn stop_connecting(&mut self, server: ServerId, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        trunk.stop_using();
        if trunk.needs_link() && !trunk.has_open_link() {
            self.open_link(server, output);
        }
    }

    /// Restores an established call from the records of a previous run, and begins to watch the call server's
    /// silence.
    pub fn restore_call(
        &mut self,
        server: ServerId,
        sid: Sid,
        number: Rc<str>,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        trunk.add_established(sid, number, now);
        if !trunk.silence_watched {
            trunk.last_seen = trunk.last_seen.max(now);
            trunk.watch_silence(now);
        }
        self.arm_timer(server, output);
    }

    /// Runs the timer of a call server: retransmits releases, and checks for silence.
    pub fn run_timer(&mut self, key: u64, now: Time, output: &mut AdapterOutput) {
        let server = ServerId { address: u32::try_from(key).unwrap_or(0), port: 0 };
        self.retransmit_releases(server, now, output);
        let check_due = self
            .trunks
            .get(&server)
            .is_some_and(|trunk| trunk.silence_watched && trunk.silence_check_at <= now);
        if check_due {
            self.check_silence(server, now, output);
        }
        self.arm_timer(server, output);
    }

    /// Sets the deadline of a call server's timer.
    fn arm_timer(&self, server: ServerId, output: &mut AdapterOutput) {
        if let Some(at) = self.trunks.get(&server).and_then(Trunk::timer_due_at) {
            output.deadlines.push((at, DeadlineOwner::SipSilence, u64::from(server.address)));
        }
    }

    /// Sends the releases again that have not been confirmed in time, each on another connection than before: its own may
    /// have fallen silent. Where there is no other, one is opened.
    fn retransmit_releases(&mut self, server: ServerId, now: Time, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let links = &trunk.links;
        let due = trunk
            .releases
            .take_due(now, |no, since| links.get(&no).is_some_and(|link| link.last_input > since));
        let mut needs_link = false;
        for release in due {
            if let Some(no) = trunk.link_for_releases(release.previous_link) {
                trunk.resend_release(&release, no, now);
            } else {
                trunk.releases.mark_waiting(release.sid);
                needs_link = true;
            }
        }
        if needs_link && trunk.wanted && !trunk.has_opening_link() {
            self.open_link(server, output);
        }
    }

    /// Checks whether a call server with established calls has been silent for too long.
    fn check_silence(&mut self, server: ServerId, now: Time, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        trunk.silence_watched = !trunk.established.is_empty();
        if !trunk.silence_watched {
            return;
        }
        let silent = now.since(trunk.last_seen);
        if silent >= SILENCE_TIMEOUT {
            trunk.silence_watched = false;
            self.give_up_calls(server, now, output);
            return;
        }
        trunk.silence_check_at = trunk.last_seen.plus(SILENCE_TIMEOUT).min(now.plus(SILENCE_CHECK_INTERVAL));
        // Releases may be lost on a connection that is silent while others are not; closing it sends them
        // again on the next one that opens.
        let stale = |l: &Link| l.connected_at.is_some() && trunk.last_seen.since(l.last_seen) >= PROBE_AFTER;
        let stale = trunk.links.iter().find(|(_, l)| stale(l)).map(|(no, l)| (*no, l.queue.clone()));
        if let Some((no, queue)) = stale {
            self.counts.stale += 1;
            self.replace_link(server, no, &queue, now, output);
            return;
        }
        if silent >= PROBE_AFTER {
            trunk.test_connections(now);
        }
        if silent >= PROBE_AFTER && !trunk.has_opening_link() {
            self.open_probe_link(server, now, output);
        }
    }

    /// Opens a connection to see whether a silent call server is there. Where it has as many as allowed, the new one takes
    /// the place of the one without set-ups that has been silent longest: a sound call server with nothing to send
    /// would otherwise lose its calls.
    fn open_probe_link(&mut self, server: ServerId, now: Time, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get(&server) else { return };
        if trunk.links.len() >= MAX_LINKS {
            let idle = trunk.links.iter().filter(|(_, link)| link.set_ups.is_empty());
            let longest_silent = idle.min_by_key(|(_, link)| link.last_seen);
            let Some((no, queue)) = longest_silent.map(|(no, link)| (*no, link.queue.clone())) else {
                return;
            };
            return self.replace_link(server, no, &queue, now, output);
        }
        self.open_link(server, output);
    }

    /// Closes a connection and opens another.
    fn replace_link(
        &mut self,
        server: ServerId,
        no: u64,
        queue: &WriteQueue,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        queue.abort();
        self.end_link(server, no, LinkEnd::Closed(CloseReason::ClosedHere), now, output);
        if let Some(trunk) = self.trunks.get_mut(&server) {
            trunk.replacement_due = true;
        }
        self.open_link(server, output);
    }

    /// Gives up the calls of a silent call server. Their releases are kept for the next connection, in case
    /// it is alive.
    fn give_up_calls(&mut self, server: ServerId, now: Time, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        for (sid, number) in trunk.take_established() {
            if trunk.wanted {
                let reason = "Reason: Q.850;cause=41\r\n";
                trunk.send_release(sid, request("BYE", &number, sid, (2, "BYE"), reason, ""), None, now);
            }
        }
        output.inputs.push(Input::ServerDied(server));
    }

    /// Another call server has taken over the address: the process is gone, and its calls with it.
    pub fn replaced(&mut self, server: ServerId, output: &mut AdapterOutput) {
        if let Some(trunk) = self.trunks.get_mut(&server) {
            trunk.stop_using();
        }
        self.close_links(server, |_| true, output);
        if let Some(trunk) = self.trunks.get_mut(&server) {
            trunk.take_established();
            output.inputs.push(Input::ServerDied(server));
        }
    }

    /// Removes a call server that is gone for good.
    pub fn forget(&mut self, server: ServerId) {
        let Some(trunk) = self.trunks.remove(&server) else { return };
        for (no, link) in trunk.links {
            self.server_of_link.remove(&no);
            link.queue.abort();
        }
    }

    /// Closes the connections that meet a condition: the process that they lead to is gone, and its calls with it.
    fn close_links(&mut self, server: ServerId, closes: impl Fn(&Link) -> bool, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let closing = trunk.links.iter().filter(|(_, link)| closes(link));
        let closing: Vec<(u64, Rc<WriteQueue>)> =
            closing.map(|(no, link)| (*no, link.queue.clone())).collect();
        for (no, _) in &closing {
            trunk.releases.discard_on_link(*no);
        }
        for (no, queue) in closing {
            queue.abort();
            self.end_link(server, no, LinkEnd::Closed(CloseReason::ClosedHere), Time::default(), output);
        }
    }

    fn open_link(&mut self, server: ServerId, output: &mut AdapterOutput) -> Option<u64> {
        // A call server sends its releases on the next connection that opens: that is to be one of the next process.
        if self.leaves_releases {
            return None;
        }
        let trunk = self.trunks.get_mut(&server)?;
        let no = self.next_link;
        self.next_link += 1;
        let queue = Rc::new(WriteQueue::with_budget(&self.budget));
        queue.hold(true);
        trunk.links.insert(
            no,
            Link {
                queue,
                connected_at: None,
                set_ups: BTreeMap::new(),
                cancelled: VecDeque::new(),
                inherited_releases: VecDeque::new(),
                unanswered_since: None,
                last_seen: Time::default(),
                last_input: Time::default(),
                tested_at: None,
                held_answer: None,
                carries_set_ups: false,
            },
        );
        self.server_of_link.insert(no, server);
        output.connects.push((no, trunk.address));
        Some(no)
    }

    /// The number called of an established call.
    pub fn number_of(&self, server: ServerId, sid: Sid) -> Option<Rc<str>> {
        self.trunks.get(&server)?.established.get(&sid).cloned()
    }

    /// Call servers' releases are neither handled nor confirmed from now on: they send them to the next process.
    pub fn leave_releases(&mut self) {
        self.leaves_releases = true;
    }

    /// Whether releases were sent and are not confirmed.
    pub fn has_unconfirmed_releases(&self) -> bool {
        self.trunks.values().any(|trunk| trunk.releases.has_unconfirmed())
    }

    /// The write queue of a connection, for the task that serves its socket; `None` once the connection is
    /// dropped.
    pub fn queue_of(&self, link: u64) -> Option<Rc<WriteQueue>> {
        let server = self.server_of_link.get(&link)?;
        Some(self.trunks.get(server)?.links.get(&link)?.queue.clone())
    }

    /// Sends a set-up on the best connection.
    #[allow(clippy::too_many_arguments)] // the parts of one set-up
    pub fn invite(
        &mut self,
        server: ServerId,
        sid: Sid,
        class: &str,
        number: &Rc<str>,
        left: Span,
        body: &str,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let lost = |progress, why| {
            Input::Server(server, sid, ServerEvent::Lost(AttemptError { error: why, progress }))
        };
        let Some(no) = self.link_for_set_up(server, sid, now, output) else {
            return output.inputs.push(lost(Progress::NotConnected, TransportError::ConnectFailed));
        };
        let extra = format!("P-Kind: {class}\r\nP-Time-Left: {}\r\n", left.0 / 1000);
        let bytes = request("INVITE", number, sid, (1, "INVITE"), &extra, body);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let Some(link) = trunk.links.get_mut(&no) else { return };
        if !link.queue.push(bytes, Some(sid)) {
            return output.inputs.push(lost(Progress::Queued, TransportError::Cancelled));
        }
        trunk.releases.withdraw(sid);
        self.counts.invites += 1;
        link.set_ups.insert(sid, OutstandingSetUp { number: number.clone(), moves: 0, queued_at: now });
        link.unanswered_since.get_or_insert(now);
    }

    /// The connection for a set-up. Where an earlier attempt of the same call was released here and the release is not
    /// confirmed, it is the one that carries the release, so that the release cannot arrive after the set-up and end
    /// it; `None` if that connection does not respond.
    fn link_for_set_up(
        &mut self,
        server: ServerId,
        sid: Sid,
        now: Time,
        output: &mut AdapterOutput,
    ) -> Option<u64> {
        let trunk = self.trunks.get(&server).filter(|trunk| trunk.wanted)?;
        let Some(LastSent::OnLink(no)) = trunk.releases.last_sent(sid) else {
            return self.pick(server, sid, now, output);
        };
        match trunk.links.get(&no) {
            Some(link) => (!link.is_suspect(now)).then_some(no),
            None => self.pick(server, sid, now, output),
        }
    }

    /// Picks the connection for the next set-up: an open one that carries set-ups, with the fewest of them.
    /// Where each has some, another is opened for later ones. A call that was cancelled on one connection
    /// goes to another if possible: the final response to its first set-up must not be taken for one to the
    /// next.
    fn pick(&mut self, server: ServerId, sid: Sid, now: Time, output: &mut AdapterOutput) -> Option<u64> {
        let spare = self.server_of_link.len() < self.trunks.len() + self.max_links;
        let trunk = self.trunks.get(&server).filter(|t| t.wanted)?;
        // A second connection is always allowed, as the first may have gone silent.
        let has_room = trunk.links.len() < 2 || (trunk.links.len() < MAX_LINKS && spare);
        // Guards against a connection for each set-up at a call server that accepts no more of them.
        let refused = trunk.refused_at.is_some_and(|at| now.since(at) < RECONNECT_DELAY.1);
        let may_open = has_room && (trunk.links.is_empty() || !refused);
        let suspect = |l: &Link| l.is_suspect(now);
        let least_loaded = |which: &dyn Fn(&Link) -> bool| {
            let eligible = trunk.links.iter().filter(|(_, l)| which(l));
            eligible.min_by_key(|(_, l)| l.set_ups.len()).map(|(no, l)| (*no, l.set_ups.len()))
        };
        let not_cancelled = |l: &Link| !l.cancelled.contains(&sid);
        let healthy = least_loaded(&|l| l.carries_set_ups && !suspect(l) && not_cancelled(l));
        let healthy = healthy.or_else(|| least_loaded(&|l| l.carries_set_ups && !suspect(l)));
        let opening = least_loaded(&|l| !l.carries_set_ups && !suspect(l)).map(|(no, _)| no);
        match healthy {
            Some((no, outstanding)) => {
                if outstanding > 0 && opening.is_none() && may_open {
                    self.open_link(server, output);
                }
                Some(no)
            }
            None if opening.is_some() => opening,
            None if may_open => self.open_link(server, output),
            None => least_loaded(&|_| true).map(|(no, _)| no),
        }
    }

    /// Cancels a set-up; one of which no byte has been written is withdrawn.
    pub fn cancel(&mut self, server: ServerId, sid: Sid) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        for link in trunk.links.values_mut() {
            let Some(OutstandingSetUp { number, .. }) = link.set_ups.remove(&sid) else { continue };
            if link.queue.cancel_unsent(sid) {
                self.counts.withdrawn += 1;
            } else {
                link.queue.push(request("CANCEL", &number, sid, (1, "CANCEL"), "", ""), None);
                link.mark_cancelled(sid);
            }
        }
    }

    /// Releases an established call on any open connection, or on the next one.
    pub fn bye(&mut self, server: ServerId, sid: Sid, cause: u16, now: Time, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let number = trunk.remove_established(sid);
        let extra = format!("Reason: Q.850;cause={cause}\r\n");
        let number = number.as_deref().unwrap_or(NO_NUMBER);
        let bytes = request("BYE", number, sid, (2, "BYE"), &extra, "");
        let link = trunk.link_for_releases(None);
        if link.is_some() || trunk.wanted {
            trunk.send_release(sid, bytes, link, now);
        }
        if trunk.wanted && trunk.links.is_empty() {
            self.open_link(server, output);
        }
        self.arm_timer(server, output);
    }

    /// Withdraws every set-up of which no byte has been written.
    pub fn cancel_queued(&mut self, server: ServerId, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        for link in trunk.links.values_mut() {
            let progress =
                if link.connected_at.is_some() { Progress::Queued } else { Progress::NotConnected };
            for sid in link.queue.cancel_all_unsent() {
                link.set_ups.remove(&sid);
                self.counts.withdrawn += 1;
                let error = AttemptError { error: TransportError::Cancelled, progress };
                output.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
            }
        }
    }

    /// A connection was opened.
    pub fn link_up(&mut self, no: u64, now: Time, output: &mut AdapterOutput) {
        let Some(&server) = self.server_of_link.get(&no) else { return };
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        self.counts.connected += 1;
        (trunk.reconnect_delay, trunk.last_seen) = (RECONNECT_DELAY.0, now);
        trunk.replacement_due = false;
        let waiting = std::mem::take(&mut trunk.waiting_messages);
        let Some(link) = trunk.links.get_mut(&no) else { return };
        (link.connected_at, link.last_seen, link.last_input) = (Some(now), now, now);
        link.unanswered_since = link.unanswered_since.map(|_| now);
        for bytes in waiting {
            link.queue.push(bytes, None);
        }
        output.deadlines.push((now.plus(FIRST_MESSAGE_TIMEOUT), DeadlineOwner::SipFirstMessage, no));
        let waiting = trunk.releases.waiting();
        for release in &waiting {
            trunk.resend_release(release, no, now);
        }
        if !waiting.is_empty() {
            self.arm_timer(server, output);
        }
    }

    /// An open connection may carry set-ups now, even if nothing has arrived on it.
    pub fn first_message_overdue(&mut self, no: u64) {
        let Some(server) = self.server_of_link.get(&no) else { return };
        let link = self.trunks.get_mut(server).and_then(|t| t.links.get_mut(&no));
        if let Some(link) = link.filter(|l| l.connected_at.is_some() && !l.carries_set_ups) {
            link.carries_set_ups = true;
            link.queue.hold(false);
        }
    }

    /// A connection ended or could not be opened.
    pub fn link_ended(&mut self, no: u64, how: LinkEnd, now: Time, output: &mut AdapterOutput) {
        let Some(&server) = self.server_of_link.get(&no) else { return };
        if how == LinkEnd::Closed(CloseReason::Malformed) || how == LinkEnd::Closed(CloseReason::Incomplete) {
            self.counts.closed_malformed += 1;
        }
        let link = self.trunks.get(&server).and_then(|trunk| trunk.links.get(&no));
        let had_set_ups = link.is_some_and(|link| !link.set_ups.is_empty());
        self.end_link(server, no, how, now, output);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let none_open = !trunk.has_open_link();
        match how {
            LinkEnd::Refused => trunk.refused_at = Some(now),
            LinkEnd::ConnectFailed => {}
            // An idle connection that its call server closes in order has delivered all that was sent on it.
            LinkEnd::Closed(CloseReason::Closed) if !had_set_ups => {}
            LinkEnd::Closed(_) => trunk.replacement_due = !trunk.established.is_empty(),
        }
        let dead = match how {
            // With a connection open it does not: a process that dies resets its connections, and a call server with as
            // many connections as it accepts refuses further ones.
            LinkEnd::Refused => true,
            // A reset alone does not mean death, or established calls would be cut off: any connection may be
            // reset on its path. A process that has died refuses the next connection, which is opened at once
            // for that. A call server that has left the list and whose last connection ends will send nothing
            // more.
            LinkEnd::Closed(CloseReason::Closed | CloseReason::Reset) => !trunk.wanted,
            // One that has left the list and cannot be reached will not come back.
            LinkEnd::ConnectFailed => !trunk.wanted,
            LinkEnd::Closed(_) => false,
        };
        if dead && none_open {
            // Otherwise callers would keep established calls at a process that has died: it sends no
            // releases, its connections are only reset.
            trunk.take_established();
            output.inputs.push(Input::ServerDied(server));
        }
        self.connect_again(server, how, now, output);
    }

    /// Opens the connection that a call server needs after one has ended: at once in place of one that was lost while others
    /// are open, and otherwise after a delay, which grows with each failure.
    fn connect_again(&mut self, server: ServerId, how: LinkEnd, now: Time, output: &mut AdapterOutput) {
        let Some(trunk) = self.trunks.get_mut(&server).filter(|trunk| trunk.needs_link()) else { return };
        if matches!(how, LinkEnd::Closed(_)) && !trunk.links.is_empty() {
            self.open_link(server, output);
            return;
        }
        let (at, key) = (now.plus(trunk.reconnect_delay), u64::from(server.address));
        output.deadlines.push((at, DeadlineOwner::SipReconnect, key));
        trunk.reconnect_delay = Span(trunk.reconnect_delay.0.saturating_mul(2)).min(RECONNECT_DELAY.1);
    }

    /// Removes a connection. A set-up on it that was written may have run, and is lost; one that was not is
    /// moved to another connection, since only this one failed.
    fn end_link(&mut self, server: ServerId, no: u64, how: LinkEnd, now: Time, output: &mut AdapterOutput) {
        self.server_of_link.remove(&no);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let Some(mut link) = trunk.links.remove(&no) else { return };
        if !matches!(how, LinkEnd::Closed(_)) {
            self.counts.connect_failures += 1;
        }
        let held_answer = link.held_answer.take();
        let unsent = link.queue.take_unsent();
        for message in unsent {
            // Everything but set-ups ends with its connection: a cancellation is implied by the end of the connection, and on
            // another one it could cancel a later attempt. Releases are sent again by their owner.
            let Some(sid) = message.set_up else { continue };
            let Some(set_up) = link.set_ups.remove(&sid) else { continue };
            let was_open = matches!(how, LinkEnd::Closed(end) if end != CloseReason::ClosedHere);
            if !(was_open
                && set_up.moves < MAX_MOVES
                && self.move_set_up(server, sid, &set_up, &message.bytes, now, output))
            {
                let (why, progress) = match link.connected_at {
                    None => (TransportError::ConnectFailed, Progress::NotConnected),
                    Some(_) => (TransportError::ConnectionClosed, Progress::Queued),
                };
                let error = AttemptError { error: why, progress };
                output.inputs.push(Input::Server(server, sid, ServerEvent::Lost(error)));
            }
        }
        for sid in link.set_ups.keys() {
            let error = AttemptError { error: TransportError::ConnectionClosed, progress: Progress::Written };
            output.inputs.push(Input::Server(server, *sid, ServerEvent::Lost(error)));
        }
        self.release_after_held_answer(server, held_answer, output);
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        // A release sent on a connection that the call server was just closing must be sent again, and one
        // not written yet must not wait for the next connection while another is open.
        let releases = trunk.releases.take_from_link(no, |since| link.last_input > since);
        if let Some(other) = trunk.link_for_releases(None) {
            for release in &releases {
                trunk.resend_release(release, other, now);
            }
        } else if !trunk.wanted {
            trunk.releases.discard_waiting();
        }
    }

    fn move_set_up(
        &mut self,
        server: ServerId,
        sid: Sid,
        set_up: &OutstandingSetUp,
        bytes: &Bytes,
        now: Time,
        output: &mut AdapterOutput,
    ) -> bool {
        let Some(no) = self.pick(server, sid, now, output) else { return false };
        let link = self.trunks.get_mut(&server).and_then(|t| t.links.get_mut(&no));
        let Some(link) = link.filter(|l| l.queue.push(bytes.clone(), Some(sid))) else { return false };
        let (number, moves) = (set_up.number.clone(), set_up.moves + 1);
        link.set_ups.insert(sid, OutstandingSetUp { number, moves, queued_at: now });
        link.unanswered_since.get_or_insert(now);
        self.counts.moved += 1;
        true
    }

    /// The address of the call server that a connection leads to.
    pub fn address_of(&self, link: u64) -> Option<SocketAddr> {
        Some(self.trunks.get(self.server_of_link.get(&link)?)?.address)
    }

    /// The reconnect delay of a call server has passed.
    pub fn reconnect(&mut self, key: u64, output: &mut AdapterOutput) {
        let server = ServerId { address: u32::try_from(key).unwrap_or(0), port: 0 };
        if self.trunks.get(&server).is_some_and(Trunk::needs_link) {
            self.open_link(server, output);
        }
    }

    /// An answer has been read on a connection whose end is not certain yet. It is handled later, before any other
    /// message of its connection.
    pub fn hold_answer(&mut self, no: u64, message: &Message) {
        let Some(sid) = Sid::parse(&message.call_id) else { return };
        let Some(server) = self.server_of_link.get(&no) else { return };
        let link = self.trunks.get_mut(server).and_then(|trunk| trunk.links.get_mut(&no));
        if let Some(link) = link {
            link.held_answer.get_or_insert(HeldAnswer { sid, release_cause: None });
        }
    }

    /// Handles a message received on a connection.
    pub fn handle_message(&mut self, no: u64, message: &Message, now: Time, output: &mut AdapterOutput) {
        self.counts.received += 1;
        let Some(&server) = self.server_of_link.get(&no) else { return };
        let link = self.trunks.get_mut(&server).and_then(|trunk| trunk.links.get_mut(&no));
        let held_answer = link.and_then(|link| link.held_answer.take());
        self.process_message(server, no, message, now, output);
        self.release_after_held_answer(server, held_answer, output);
    }

    /// Passes on the release that arrived while the answer of its call was held, now that the answer has been handled or
    /// its connection has ended.
    fn release_after_held_answer(
        &mut self,
        server: ServerId,
        held_answer: Option<HeldAnswer>,
        output: &mut AdapterOutput,
    ) {
        let Some(HeldAnswer { sid, release_cause: Some(cause) }) = held_answer else { return };
        if let Some(trunk) = self.trunks.get_mut(&server) {
            trunk.remove_established(sid);
        }
        let event = ServerEvent::Released(cause, LoadValues::new());
        output.inputs.push(Input::Server(server, sid, event));
    }

    fn process_message(
        &mut self,
        server: ServerId,
        no: u64,
        message: &Message,
        now: Time,
        output: &mut AdapterOutput,
    ) {
        let Some(trunk) = self.trunks.get_mut(&server) else { return };
        let Some(link) = trunk.links.get_mut(&no) else { return };
        link.unanswered_since = None;
        link.last_input = now;
        // A delayed response does not show that the call server is alive now, only that it was when the
        // request was sent. Otherwise the calls at a machine that has vanished would be kept too long.
        let alive_at =
            match (&message.start, Sid::parse(&message.call_id).and_then(|sid| link.set_ups.get(&sid))) {
                (StartLine::Request(_), _) => now,
                (StartLine::Response(_), Some(set_up)) => set_up.queued_at,
                (StartLine::Response(_), None) if message.cseq.1 == "OPTIONS" => {
                    link.tested_at.take().unwrap_or(link.last_seen)
                }
                (StartLine::Response(_), None) => link.last_seen,
            };
        link.last_seen = link.last_seen.max(alive_at);
        trunk.last_seen = trunk.last_seen.max(alive_at);
        if !std::mem::replace(&mut link.carries_set_ups, true) {
            link.queue.hold(false);
        }
        let sid = Sid::parse(&message.call_id);
        match (&message.start, message.cseq.1.as_str(), sid) {
            (StartLine::Response(100..=199), _, _) => {}
            (StartLine::Response(code), "INVITE", Some(sid)) => {
                let mut number = link.set_ups.remove(&sid).map(|set_up| set_up.number);
                let is_late = number.is_none() && link.take_cancelled(sid);
                if is_late && *code >= 300 {
                    // The call may have been tried here again. The final response to the cancelled set-up
                    // must not end the new attempt, or the call would go elsewhere while this one is
                    // outstanding.
                    let to = trunk.established.get(&sid).map_or(NO_NUMBER, |number| number);
                    link.queue.push(request("ACK", to, sid, (message.cseq.0, "ACK"), "", ""), None);
                    if !message.report.is_empty() {
                        output.inputs.push(Input::Load(server, message.report.clone()));
                    }
                    return;
                }
                if number.is_none() {
                    // The call is established by its first set-up, or by one whose connection has ended; an
                    // attempt outstanding on another connection belongs to the same call.
                    let mut others = trunk.links.values_mut();
                    number = others.find_map(|l| l.set_ups.remove(&sid)).map(|set_up| set_up.number);
                }
                let Some(link) = trunk.links.get_mut(&no) else { return };
                let connected_at = link.connected_at.unwrap_or(now);
                let requested = number.is_some();
                let known = number.or_else(|| trunk.established.get(&sid).cloned());
                let to = known.as_deref().unwrap_or(NO_NUMBER);
                link.queue.push(request("ACK", to, sid, (message.cseq.0, "ACK"), "", ""), None);
                let event = match (*code, message.description()) {
                    (200..=299, Some(body)) => {
                        // Only for calls that were requested here, not for a second copy or an unknown name.
                        if let Some(number) = known.filter(|_| requested) {
                            trunk.add_established(sid, number, connected_at);
                        }
                        if requested {
                            trunk.watch_silence(now);
                            self.arm_timer(server, output);
                        }
                        ServerEvent::Answered(body.into())
                    }
                    (200..=299, None) => {
                        // A description that is not text, or not the whole of it, cannot be passed on unchanged,
                        // so the call must not be established.
                        self.counts.malformed += 1;
                        self.bye(server, sid, 16, now, output);
                        let error =
                            AttemptError { error: TransportError::Malformed, progress: Progress::Answered };
                        ServerEvent::Lost(error)
                    }
                    (code, _) => {
                        let (refusal, cause) = refusal_from_response(message, code);
                        ServerEvent::Refused(refusal, cause, message.report.clone())
                    }
                };
                output.inputs.push(Input::Server(server, sid, event));
            }
            (StartLine::Response(_), "BYE", Some(sid)) => {
                trunk.releases.confirm(sid);
            }
            (StartLine::Response(_), _, _) => {}
            (StartLine::Request(method), _, sid) => match (method.as_str(), sid) {
                ("BYE", Some(_)) if self.leaves_releases => {}
                ("BYE", Some(sid)) => {
                    link.queue.push(response(200, "OK", message), None);
                    let cause = message.cause.unwrap_or(CAUSE_CLEARED);
                    if let Some(held_answer) = trunk.held_answer(sid) {
                        held_answer.release_cause.get_or_insert(cause);
                        if !message.report.is_empty() {
                            output.inputs.push(Input::Load(server, message.report.clone()));
                        }
                        return;
                    }
                    if let Some(link) = trunk.links.get_mut(&no) {
                        link.set_ups.remove(&sid);
                    }
                    trunk.remove_established(sid);
                    let event = ServerEvent::Released(cause, message.report.clone());
                    output.inputs.push(Input::Server(server, sid, event));
                }
                ("NOTIFY", _) => {
                    let in_body = std::str::from_utf8(&message.body).map(parse_report).unwrap_or_default();
                    let report = if message.report.is_empty() { in_body } else { message.report.clone() };
                    if !report.is_empty() {
                        output.inputs.push(Input::Load(server, report));
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
