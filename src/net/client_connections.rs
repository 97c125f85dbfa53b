//! Callers' connections: how many there may be, how long each may stay without use, and which goes when room is short.
//! No socket here: a connection is a number with a queue.

use serde::{Deserialize, Serialize};

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;

use crate::interface::{Span, Time};
use crate::net::queue::{Budget, WriteQueue};

/// A connection on which nothing was asked that got an answer ends after this. Guards against connections that say
/// nothing and fill the controller; they are owed their end within 3 s.
const SPEAK_WITHIN: Span = Span::from_millis(2_000);
/// The same where a message has begun on it: its rest is waited for, though not beyond what is owed to the silent.
const BEGUN_WITHIN: Span = Span::from_millis(2_900);
/// A connection that owes and carries nothing ends after this. Callers end theirs after 4 s; those that never do
/// would fill the controller in the course of a day.
const IDLE: Span = Span::from_millis(5_000);
/// A connection that is looked at again for what it still owes or carries.
const LOOK_AGAIN: Span = Span::from_millis(1_000);
/// Gaps between the first liveness probes of a client that writes no more and waits, counted from the end of its stream.
/// The first probe leaves at once, but a client that has closed answers it with a reset only after a round trip, and some
/// stacks report that reset only with the next write.
const FIRST_PROBE_GAPS: [Span; 3] = [Span::from_millis(10), Span::from_millis(15), Span::from_millis(20)];
/// Gap between all further probes. A client that closed its writing half and leaves later says nothing more when it does,
/// and no attempt may begin more than 100 ms after that: two gaps fit in that time.
const PROBE_GAP: Span = Span::from_millis(40);
/// A caller who was turned away for what it sent is read no more and loses its connection after this. Guards against
/// callers who send the same again as soon as they are turned away: each turn costs them so much time, and us little.
const LINGER: Span = Span::from_millis(1_000);
/// So many malformed messages end a connection even if each could be answered by name.
const MOST_STRIKES: u32 = 4;

/// What is known of the client's end of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
enum ClientEnd {
    /// It may write.
    Open,
    /// Its stream has ended: it closed the connection, or only its writing half. Which of the two shows only in what
    /// becomes of something that is written to it.
    HalfClosed {
        /// Liveness probes written since.
        probes: usize,
    },
}

impl ClientEnd {
    fn is_half_closed(self) -> bool {
        matches!(self, ClientEnd::HalfClosed { .. })
    }
    /// How long after the latest look the connection is looked at again while an answer is owed on it.
    fn next_look(self) -> Span {
        match self {
            ClientEnd::Open => LOOK_AGAIN,
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
    /// When it came.
    since: Time,
    /// When it last said something, or was given its answer.
    used: Time,
    /// Set-ups owed an answer on it.
    owed: usize,
    /// Whether a set-up was ever answered on it.
    told: bool,
    client_end: ClientEnd,
    strikes: u32,
    /// It is read no more and ends once nothing is owed.
    ending: bool,
}

/// What is to become of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum IdleCheck {
    /// It stays; it is to be looked at again then.
    CheckAgainAt(Time),
    /// It ends, or has ended.
    Closed,
}

/// The connections of callers.
#[derive(Debug, Serialize, Deserialize)]
pub struct ClientConnections {
    connections: BTreeMap<u64, ClientConnection>,
    most: usize,
}

impl ClientConnections {
    /// Room for so many.
    pub fn new(most: usize) -> Self {
        Self { connections: BTreeMap::new(), most }
    }
    /// Goes on with what another process held, with room for so many.
    pub fn resume(mut self, most: usize, budget: &Budget) -> Self {
        self.most = most;
        for guest in self.connections.values_mut() {
            if let Some(queue) = Rc::get_mut(&mut guest.queue) {
                queue.move_to_budget(budget);
            }
        }
        self
    }
    /// The queue of a connection, for whoever serves its socket.
    pub fn queue_of(&self, no: u64) -> Option<Rc<WriteQueue>> {
        self.connections.get(&no).map(|guest| guest.queue.clone())
    }
    /// From now on there is room for so many; those beyond end as they would for others.
    pub fn set_max(&mut self, most: usize) {
        self.most = most;
    }
    /// Whether another may come without one having to go; `parting`: those whose sockets are closing.
    pub fn has_room(&self, parting: usize) -> bool {
        self.connections.len() + parting < self.most
    }
    /// Whether there is room for those that are there.
    pub fn is_within_limit(&self, parting: usize) -> bool {
        self.connections.len() + parting <= self.most
    }
    /// A connection came; when to look at it first.
    pub fn add(&mut self, no: u64, queue: Rc<WriteQueue>, now: Time) -> Time {
        let guest = ClientConnection {
            queue,
            since: now,
            used: now,
            owed: 0,
            told: false,
            client_end: ClientEnd::Open,
            strikes: 0,
            ending: false,
        };
        self.connections.insert(no, guest);
        now.plus(SPEAK_WITHIN)
    }
    /// It is gone.
    pub fn remove(&mut self, no: u64) {
        self.connections.remove(&no);
    }
    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
    /// Whether all that is owed has been written.
    pub fn all_written(&self) -> bool {
        self.connections.values().all(|c| c.queue.is_empty())
    }
    /// A set-up came in on it.
    pub fn set_up_received(&mut self, no: u64, now: Time) {
        if let Some(guest) = self.connections.get_mut(&no) {
            guest.owed += 1;
            guest.used = now;
        }
    }
    /// One of its set-ups needs no answer any more; `told`: it has got one.
    pub fn set_up_settled(&mut self, no: u64, told: bool, now: Time) {
        if let Some(guest) = self.connections.get_mut(&no) {
            guest.owed = guest.owed.saturating_sub(1);
            guest.used = now;
            guest.told |= told;
            if guest.client_end.is_half_closed() && guest.owed == 0 {
                guest.queue.finish();
            }
        }
    }
    /// It said something that can be read.
    pub fn message_received(&mut self, no: u64, now: Time) {
        if let Some(guest) = self.connections.get_mut(&no) {
            guest.used = now;
        }
    }
    /// It said something that cannot be read. `answerable`: it hears so by name, and may go on for a while. Returns
    /// when to look at it, if it is read no more.
    pub fn malformed_received(&mut self, no: u64, answerable: bool, now: Time) -> Option<Time> {
        let guest = self.connections.get_mut(&no)?;
        guest.strikes += 1;
        guest.told |= answerable;
        if guest.ending || (answerable && guest.strikes < MOST_STRIKES) {
            return None;
        }
        guest.ending = true;
        guest.queue.stop_reading();
        Some(now.plus(LINGER))
    }
    /// Whether it is read no more.
    pub fn is_ending(&self, no: u64) -> bool {
        self.connections.get(&no).is_none_or(|guest| guest.ending)
    }
    /// The caller writes no more; whether anything is still to be written to it.
    pub fn half_closed(&mut self, no: u64) -> bool {
        self.connections.get_mut(&no).is_some_and(|guest| {
            guest.client_end = ClientEnd::HalfClosed { probes: 0 };
            if guest.owed == 0 {
                guest.queue.finish();
            }
            guest.owed > 0 || !guest.queue.is_empty()
        })
    }
    /// Writes a liveness probe, which means nothing to a client that is there, if its stream has ended and an answer is
    /// owed to it. One that has left answers with a reset, and its connection ends by that.
    pub fn probe(&mut self, no: u64, message: impl FnOnce() -> Option<Bytes>) {
        let Some(guest) = self.connections.get_mut(&no).filter(|guest| guest.owed > 0) else { return };
        let ClientEnd::HalfClosed { probes } = &mut guest.client_end else { return };
        let Some(message) = message() else { return };
        *probes += 1;
        self.write(no, message);
    }
    /// The numbers of all.
    pub fn numbers(&self) -> Vec<u64> {
        self.connections.keys().copied().collect()
    }
    /// When a connection came that is owed nothing now and has not been ended.
    pub fn accepted_at_if_idle(&self, no: u64) -> Option<Time> {
        let guest = self.connections.get(&no).filter(|g| g.owed == 0 && !g.ending && !g.queue.is_closing());
        guest.map(|guest| guest.since)
    }
    /// Ends a connection once all is written on it.
    pub fn finish(&self, no: u64) {
        if let Some(guest) = self.connections.get(&no) {
            guest.queue.finish();
        }
    }
    /// Writes a line on a connection. One whose caller reads nothing for too long ends.
    pub fn write(&self, no: u64, bytes: Bytes) -> bool {
        let Some(guest) = self.connections.get(&no) else { return false };
        let taken = guest.queue.push(bytes, None);
        if !taken {
            guest.queue.abort();
        }
        taken
    }

    /// Whether the rest of a message that has begun on a connection is waited for before it is ended for want of use.
    pub fn awaits_rest_of_message(&self, no: u64, now: Time) -> bool {
        let waits =
            |guest: &ClientConnection| !guest.ending && (guest.told || now < guest.since.plus(BEGUN_WITHIN));
        self.connections.get(&no).is_some_and(waits)
    }

    /// Looks whether a connection has stayed for too long without use; `carries`: a call that stands was asked for
    /// on it.
    pub fn check_idle(&mut self, no: u64, carries: bool, now: Time) -> IdleCheck {
        let Some(guest) = self.connections.get(&no) else { return IdleCheck::Closed };
        if guest.owed > 0 {
            return IdleCheck::CheckAgainAt(now.plus(guest.client_end.next_look()));
        }
        let until = match (guest.ending, guest.told) {
            (true, _) => now,
            (false, false) => guest.since.plus(SPEAK_WITHIN),
            (false, true) if carries => now.plus(LOOK_AGAIN),
            (false, true) => guest.used.plus(IDLE),
        };
        if until > now {
            return IdleCheck::CheckAgainAt(until);
        }
        guest.queue.finish();
        IdleCheck::Closed
    }

    /// Makes room for another: ends the connection that needs it least, one that owes no answer. Those that never got
    /// an answer go first, then those that carry no call, then the others; of each kind the one longest without use.
    pub fn make_room(&mut self, carries: impl Fn(u64) -> bool) -> bool {
        let idle = self.connections.iter().filter(|(_, g)| g.owed == 0 && !g.queue.is_closing());
        let least = idle.min_by_key(|(no, g)| (!g.ending, g.told, g.told && carries(**no), g.used));
        let Some(no) = least.map(|(no, _)| *no) else { return false };
        if let Some(guest) = self.connections.remove(&no) {
            guest.queue.abort();
        }
        true
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_000_000 + ms * 1000)
    }

    fn guests(most: usize, n: u64) -> (ClientConnections, Vec<Rc<WriteQueue>>) {
        let mut guests = ClientConnections::new(most);
        let queues: Vec<Rc<WriteQueue>> = (0..n).map(|_| Rc::default()).collect();
        for (no, queue) in (0..).zip(&queues) {
            assert_eq!(guests.add(no, queue.clone(), at(no)), at(no + 2_000));
        }
        (guests, queues)
    }

    /// Guards against connections that say nothing, or ask once and stay for good, and fill the controller.
    #[test]
    fn a_connection_without_use_ends_and_one_that_owes_or_carries_does_not() {
        let (mut guests, queues) = guests(9, 3);
        for no in [1, 2] {
            guests.set_up_received(no, at(10));
        }
        assert_eq!(guests.check_idle(0, false, at(2_000)), IdleCheck::Closed);
        assert!(queues[0].is_closing());
        assert_eq!(guests.check_idle(1, false, at(2_001)), IdleCheck::CheckAgainAt(at(3_001)));
        guests.set_up_settled(1, true, at(2_500));
        assert_eq!(guests.check_idle(1, true, at(9_000)), IdleCheck::CheckAgainAt(at(10_000)));
        assert_eq!(guests.check_idle(1, false, at(3_001)), IdleCheck::CheckAgainAt(at(7_500)));
        assert_eq!(guests.check_idle(1, false, at(7_500)), IdleCheck::Closed);
        // A set-up that was taken back got no answer: its connection has nothing to wait for.
        guests.set_up_settled(2, false, at(100));
        assert_eq!(guests.check_idle(2, false, at(2_002)), IdleCheck::Closed);
    }

    /// Guards against callers shut out by connections that are of no use to anybody.
    #[test]
    fn room_is_made_by_the_connection_that_needs_it_least_and_never_by_one_that_is_owed_an_answer() {
        let (mut guests, queues) = guests(4, 4);
        assert!(!guests.has_room(0));
        for no in [0, 1, 2] {
            guests.set_up_received(no, at(10));
        }
        guests.set_up_settled(0, true, at(20));
        guests.set_up_settled(1, true, at(30));
        let mut gone = Vec::new();
        for _ in 0..3 {
            assert!(guests.make_room(|no| no == 0));
            gone.extend(
                (0..4).filter(|no| queues[*no].is_closing() && !gone.contains(no)).collect::<Vec<_>>(),
            );
        }
        assert_eq!(gone, [3, 1, 0]);
        assert!(!guests.make_room(|_| false), "the last one is owed an answer");
    }

    /// Guards against callers who send the same again as soon as they are turned away.
    #[test]
    fn who_cannot_be_answered_or_offends_again_and_again_is_read_no_more_and_ends() {
        let (mut guests, queues) = guests(9, 2);
        assert_eq!(guests.malformed_received(0, false, at(5)), Some(at(1_005)));
        assert!(queues[0].reading_stopped() && !queues[0].is_closing());
        assert_eq!(guests.check_idle(0, false, at(1_005)), IdleCheck::Closed);
        let ends = (0..4).map(|_| guests.malformed_received(1, true, at(5))).position(|end| end.is_some());
        assert_eq!(ends, Some(3));
    }
}
