//! Callers' connections: their number, their idle timeouts, and which one is closed to make room.
//!
//! Holds no sockets: a connection is a number with a write queue.

use serde::{Deserialize, Serialize};

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;

use crate::interface::{Span, Time};
use crate::net::queue::{Budget, WriteQueue};

/// Idle timeout of a connection on which no set-up has been answered. Otherwise connections that send nothing
/// would fill the controller; they must be closed within 3 s.
const FIRST_ANSWER_TIMEOUT: Span = Span::from_millis(2_000);
/// The same for a connection on which a message has begun: its rest is awaited, but not beyond the 3 s.
const PARTIAL_MESSAGE_TIMEOUT: Span = Span::from_millis(2_900);
/// Idle timeout of a connection without pending or established calls. Callers close theirs after 4 s; those
/// that never do would fill the controller in the course of a day.
const IDLE_TIMEOUT: Span = Span::from_millis(5_000);
/// Interval between checks of a connection with pending or established calls.
const CHECK_INTERVAL: Span = Span::from_millis(1_000);
/// Gaps between the first liveness probes of a client whose stream has ended while it waits, counted from
/// that end. The first probe leaves at once, but a client that has closed answers it with a reset only after
/// a round trip, and some stacks report that reset only with the next write.
const FIRST_PROBE_GAPS: [Span; 3] = [Span::from_millis(10), Span::from_millis(15), Span::from_millis(20)];
/// Gap between all further probes. A client that closed its writing half and leaves later gives no other sign
/// of it, and no attempt may begin more than 100 ms after that: two gaps fit in that time.
const PROBE_GAP: Span = Span::from_millis(40);
/// A caller turned away for malformed messages is not read any more and is disconnected after this time.
/// Callers that resend the same as soon as they are turned away thus spend much time on it, and the
/// controller little.
const MALFORMED_CLOSE_DELAY: Span = Span::from_millis(1_000);
/// Malformed messages after which a connection is closed, even if each could be answered with its call's
/// name.
const MAX_MALFORMED: u32 = 4;

/// State of the client's end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum ClientEnd {
    /// The client may still write.
    Open,
    /// The client's stream has ended: it closed the connection or only its writing half. Only the fate of a
    /// later write shows which.
    HalfClosed {
        /// Liveness probes written since.
        probes: usize,
    },
}

impl ClientEnd {
    fn is_half_closed(self) -> bool {
        matches!(self, ClientEnd::HalfClosed { .. })
    }
    /// Time until the next check of a connection on which an answer is pending.
    fn next_check(self) -> Span {
        match self {
            ClientEnd::Open => CHECK_INTERVAL,
            ClientEnd::HalfClosed { probes } => {
                let gap = probes.checked_sub(1).and_then(|sent| FIRST_PROBE_GAPS.get(sent));
                gap.copied().unwrap_or(PROBE_GAP)
            }
        }
    }
}

/// One caller's connection.
#[derive(Debug, Serialize, Deserialize)]
struct ClientConnection {
    queue: Rc<WriteQueue>,
    /// When it was accepted.
    #[serde(rename = "since")]
    accepted_at: Time,
    /// When a message last arrived, or an answer was last given.
    #[serde(rename = "used")]
    last_used: Time,
    /// Set-ups without an answer.
    #[serde(rename = "owed")]
    unanswered: usize,
    /// Whether a set-up was ever answered on it.
    #[serde(rename = "told")]
    answered: bool,
    client_end: ClientEnd,
    /// Malformed messages received on it.
    #[serde(rename = "strikes")]
    malformed: u32,
    /// It is not read any more and is closed once no answer is pending.
    ending: bool,
}

/// Result of an idle check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleCheck {
    /// The connection stays; check it again at this time.
    CheckAgainAt(Time),
    /// The connection is closing, or is gone.
    Closed,
}

/// All connections of callers.
#[derive(Debug, Serialize, Deserialize)]
pub struct ClientConnections {
    connections: BTreeMap<u64, ClientConnection>,
    #[serde(rename = "most")]
    max: usize,
}

impl ClientConnections {
    /// No connections yet, with room for `max`.
    pub fn new(max: usize) -> Self {
        Self { connections: BTreeMap::new(), max }
    }
    /// Continues with the connections handed over by the old process of a takeover.
    pub fn resume(mut self, max: usize, budget: &Budget) -> Self {
        self.max = max;
        for connection in self.connections.values_mut() {
            if let Some(queue) = Rc::get_mut(&mut connection.queue) {
                queue.move_to_budget(budget);
            }
        }
        self
    }
    /// The write queue of a connection, for the task that serves its socket.
    pub fn queue_of(&self, no: u64) -> Option<Rc<WriteQueue>> {
        self.connections.get(&no).map(|connection| connection.queue.clone())
    }
    /// Changes the limit. Connections beyond it are closed only when others need the room.
    pub fn set_max(&mut self, max: usize) {
        self.max = max;
    }
    /// Whether another connection fits without closing one; `closing`: connections whose sockets are still
    /// closing.
    pub fn has_room(&self, closing: usize) -> bool {
        self.connections.len() + closing < self.max
    }
    /// Whether the present connections are within the limit.
    pub fn is_within_limit(&self, closing: usize) -> bool {
        self.connections.len() + closing <= self.max
    }
    /// Adds a connection and returns when to check it first.
    pub fn add(&mut self, no: u64, queue: Rc<WriteQueue>, now: Time) -> Time {
        let connection = ClientConnection {
            queue,
            accepted_at: now,
            last_used: now,
            unanswered: 0,
            answered: false,
            client_end: ClientEnd::Open,
            malformed: 0,
            ending: false,
        };
        self.connections.insert(no, connection);
        now.plus(FIRST_ANSWER_TIMEOUT)
    }
    /// Removes a connection that has ended.
    pub fn remove(&mut self, no: u64) {
        self.connections.remove(&no);
    }
    /// Number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
    /// Whether there is no connection.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
    /// Whether everything queued has been written.
    pub fn all_written(&self) -> bool {
        self.connections.values().all(|c| c.queue.is_empty())
    }
    /// A set-up arrived on the connection.
    pub fn set_up_received(&mut self, no: u64, now: Time) {
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.unanswered += 1;
            connection.last_used = now;
        }
    }
    /// A set-up of the connection needs no answer any more; `answered`: it has got one.
    pub fn set_up_settled(&mut self, no: u64, answered: bool, now: Time) {
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.unanswered = connection.unanswered.saturating_sub(1);
            connection.last_used = now;
            connection.answered |= answered;
            if connection.client_end.is_half_closed() && connection.unanswered == 0 {
                connection.queue.finish();
            }
        }
    }
    /// A well-formed message arrived.
    pub fn message_received(&mut self, no: u64, now: Time) {
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.last_used = now;
        }
    }
    /// A malformed message arrived. `answerable`: the caller gets an answer that names the call, and may go
    /// on for a while. Returns when to check the connection if it is not read any more.
    pub fn malformed_received(&mut self, no: u64, answerable: bool, now: Time) -> Option<Time> {
        let connection = self.connections.get_mut(&no)?;
        connection.malformed += 1;
        connection.answered |= answerable;
        if answerable && connection.malformed < MAX_MALFORMED {
            return None;
        }
        self.stop_reading(no, now)
    }
    /// Whether the connection is not read any more.
    pub fn is_ending(&self, no: u64) -> bool {
        self.connections.get(&no).is_none_or(|connection| connection.ending)
    }
    /// The client's stream has ended. Returns whether anything is still to be written to it.
    pub fn half_closed(&mut self, no: u64) -> bool {
        self.connections.get_mut(&no).is_some_and(|connection| {
            connection.client_end = ClientEnd::HalfClosed { probes: 0 };
            if connection.unanswered == 0 {
                connection.queue.finish();
            }
            connection.unanswered > 0 || !connection.queue.is_empty()
        })
    }
    /// Writes a liveness probe, which a client that is there ignores, if the client's stream has ended and an
    /// answer is pending. A client that has left answers with a reset, which ends the connection.
    pub fn probe(&mut self, no: u64, message: impl FnOnce() -> Option<Bytes>) {
        let Some(connection) = self.connections.get_mut(&no).filter(|connection| connection.unanswered > 0)
        else {
            return;
        };
        let ClientEnd::HalfClosed { probes } = &mut connection.client_end else { return };
        let Some(message) = message() else { return };
        *probes += 1;
        self.write(no, message);
    }
    /// The numbers of all connections.
    pub fn numbers(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }
    /// When a connection was accepted, if no answer is pending on it and it is not closing.
    pub fn accepted_at_if_idle(&self, no: u64) -> Option<Time> {
        let connection =
            self.connections.get(&no).filter(|c| c.unanswered == 0 && !c.ending && !c.queue.is_closing());
        connection.map(|connection| connection.accepted_at)
    }
    /// Closes a connection once everything queued has been written.
    pub fn finish(&self, no: u64) {
        if let Some(connection) = self.connections.get(&no) {
            connection.queue.finish();
        }
    }
    /// Queues a message. A connection whose caller does not read fast enough for it is closed.
    pub fn write(&self, no: u64, bytes: Bytes) -> bool {
        let Some(connection) = self.connections.get(&no) else { return false };
        let taken = connection.queue.push(bytes, None);
        if !taken {
            connection.queue.abort();
        }
        taken
    }

    /// Whether to wait for the rest of a partial message before closing the connection as idle.
    pub fn awaits_rest_of_message(&self, no: u64, now: Time) -> bool {
        let waits = |connection: &ClientConnection| {
            !connection.ending
                && (connection.answered || now < connection.accepted_at.plus(PARTIAL_MESSAGE_TIMEOUT))
        };
        self.connections.get(&no).is_some_and(waits)
    }

    /// Checks whether a connection has been idle for too long; `carries`: it has an established call.
    pub fn check_idle(&mut self, no: u64, carries: bool, now: Time) -> IdleCheck {
        let Some(connection) = self.connections.get(&no) else { return IdleCheck::Closed };
        if connection.unanswered > 0 {
            return IdleCheck::CheckAgainAt(now.plus(connection.client_end.next_check()));
        }
        let until = match (connection.ending, connection.answered) {
            (true, _) => now,
            (false, false) => connection.accepted_at.plus(FIRST_ANSWER_TIMEOUT),
            (false, true) if carries => now.plus(CHECK_INTERVAL),
            (false, true) => connection.last_used.plus(IDLE_TIMEOUT),
        };
        if until > now {
            return IdleCheck::CheckAgainAt(until);
        }
        connection.queue.finish();
        IdleCheck::Closed
    }

    /// Whether set-ups of the connection wait for their answers.
    pub fn has_pending_answers(&self, no: u64) -> bool {
        self.connections.get(&no).is_some_and(|connection| connection.unanswered > 0)
    }

    /// Stops reading set-ups from a connection: it ends once no answer is pending. Returns when to check it.
    pub fn stop_reading(&mut self, no: u64, now: Time) -> Option<Time> {
        let connection = self.connections.get_mut(&no).filter(|connection| !connection.ending)?;
        connection.ending = true;
        connection.queue.stop_reading();
        Some(now.plus(MALFORMED_CLOSE_DELAY))
    }

    /// Makes room by closing the connection that needs it least.
    pub fn make_room(&mut self, carries: impl Fn(u64) -> bool) -> bool {
        self.close_least_needed(|_| true, carries).is_some()
    }

    /// Closes the connection that is needed least, among those that are `eligible` and have no pending answers: first
    /// those that never got an answer, then those without an established call, then the others; within each
    /// group the one idle longest. Returns its number.
    pub fn close_least_needed(
        &mut self,
        eligible: impl Fn(u64) -> bool,
        carries: impl Fn(u64) -> bool,
    ) -> Option<u64> {
        let idle = self.connections.iter().filter(|(_, c)| c.unanswered == 0 && !c.queue.is_closing());
        let least = idle
            .filter(|(no, _)| eligible(**no))
            .min_by_key(|(no, c)| (!c.ending, c.answered, c.answered && carries(**no), c.last_used));
        let no = least.map(|(no, _)| *no)?;
        self.connections.remove(&no)?.queue.abort();
        Some(no)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_000_000 + ms * 1000)
    }

    fn with_connections(max: usize, n: u64) -> (ClientConnections, Vec<Rc<WriteQueue>>) {
        let mut connections = ClientConnections::new(max);
        let queues: Vec<Rc<WriteQueue>> = (0..n).map(|_| Rc::default()).collect();
        for (no, queue) in (0..).zip(&queues) {
            assert_eq!(connections.add(no, queue.clone(), at(no)), at(no + 2_000));
        }
        (connections, queues)
    }

    /// Connections that send nothing, or ask once and then stay, must not fill the controller.
    #[test]
    fn idle_connections_are_closed_unless_calls_are_pending_or_established() {
        let (mut connections, queues) = with_connections(9, 3);
        for no in [1, 2] {
            connections.set_up_received(no, at(10));
        }
        assert_eq!(connections.check_idle(0, false, at(2_000)), IdleCheck::Closed);
        assert!(queues[0].is_closing());
        assert_eq!(connections.check_idle(1, false, at(2_001)), IdleCheck::CheckAgainAt(at(3_001)));
        connections.set_up_settled(1, true, at(2_500));
        assert_eq!(connections.check_idle(1, true, at(9_000)), IdleCheck::CheckAgainAt(at(10_000)));
        assert_eq!(connections.check_idle(1, false, at(3_001)), IdleCheck::CheckAgainAt(at(7_500)));
        assert_eq!(connections.check_idle(1, false, at(7_500)), IdleCheck::Closed);
        // A cancelled set-up got no answer, so its connection keeps the timeout of one that was never
        // answered.
        connections.set_up_settled(2, false, at(100));
        assert_eq!(connections.check_idle(2, false, at(2_002)), IdleCheck::Closed);
    }

    /// Callers must not be shut out by connections that nobody uses.
    #[test]
    fn least_needed_connection_is_evicted_and_never_one_with_a_pending_answer() {
        let (mut connections, queues) = with_connections(4, 4);
        assert!(!connections.has_room(0));
        for no in [0, 1, 2] {
            connections.set_up_received(no, at(10));
        }
        connections.set_up_settled(0, true, at(20));
        connections.set_up_settled(1, true, at(30));
        let mut gone = Vec::new();
        for _ in 0..3 {
            assert!(connections.make_room(|no| no == 0));
            gone.extend(
                (0..4).filter(|no| queues[*no].is_closing() && !gone.contains(no)).collect::<Vec<_>>(),
            );
        }
        assert_eq!(gone, [3, 1, 0]);
        assert!(!connections.make_room(|_| false), "the last one waits for an answer");
    }

    /// Callers that resend the same as soon as they are turned away must be disconnected.
    #[test]
    fn unanswerable_or_repeated_malformed_messages_close_the_connection() {
        let (mut connections, queues) = with_connections(9, 2);
        assert_eq!(connections.malformed_received(0, false, at(5)), Some(at(1_005)));
        assert!(queues[0].reading_stopped() && !queues[0].is_closing());
        assert_eq!(connections.check_idle(0, false, at(1_005)), IdleCheck::Closed);
        let ends =
            (0..4).map(|_| connections.malformed_received(1, true, at(5))).position(|end| end.is_some());
        assert_eq!(ends, Some(3));
    }
}
