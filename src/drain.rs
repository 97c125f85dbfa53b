//! Sending callers away: working, emptying, working again. No clock and no socket here.

use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time};

/// After a call to empty, new connections come for so long: the front asks every 100 ms, and sends some for 200 ms more.
const NEW_ONES_COME: Span = Span::from_millis(350);
/// From then on set-ups are refused and connections that are owed nothing end. Guards against requests that are still
/// under way when the controller is to be empty.
const TAKES: Span = Span::from_millis(1_800);
/// A connection for the releases of calls that stand is kept for so long; by then calls have mostly come to their end.
const RELEASES: Span = Span::from_millis(3_600);
/// The same where the process is to end: the front notices that later, and the process is not to stay for long.
const NEW_ONES_COME_TO_THE_END: Span = Span::from_millis(650);
const TAKES_TO_THE_END: Span = Span::from_millis(900);
/// A process that ends waits so long after that for callers to close what it has closed.
const PARTS: Span = Span::from_millis(500);

/// Where a controller stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It takes what comes.
    #[default]
    Working,
    /// It sends callers away.
    #[serde(rename = "Emptying")]
    Draining {
        /// Since when.
        since: Time,
        /// Whether the process ends then.
        #[serde(rename = "ends")]
        stopping: bool,
    },
}

/// What is to become of a caller's connection that is owed nothing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Door {
    /// It stays for as long as it would at work.
    Stays,
    /// It is to be looked at again then.
    Again(Time),
    /// It ends now.
    Ends,
}

/// What is still held, the weightiest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Held {
    /// Calls that are owed an answer; each gets one by the time its caller said.
    Calls,
    /// Answers not read by those they are for.
    Answers,
    /// Connections of callers who are owed nothing.
    Connections,
    /// Nothing.
    Nothing,
}

/// The one machine for `LAMEDUCK`, `REJOIN` and SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Drain(Phase);

/// It cannot be brought back: the process is told to end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("this process is about to end")]
pub struct AboutToEnd;

impl Drain {
    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.0
    }
    /// `LAMEDUCK`. One more changes nothing: the times count from the first.
    pub fn lameduck(&mut self, now: Time) {
        if self.0 == Phase::Working {
            self.0 = Phase::Draining { since: now, stopping: false };
        }
    }
    /// `REJOIN`, also where it never left.
    pub fn rejoin(&mut self) -> Result<(), AboutToEnd> {
        if let Phase::Draining { stopping: true, .. } = self.0 {
            return Err(AboutToEnd);
        }
        self.0 = Phase::Working;
        Ok(())
    }
    /// SIGTERM: empties, and the process ends. Counts anew where callers were being sent away already.
    pub fn end(&mut self, now: Time) {
        if !matches!(self.0, Phase::Draining { stopping: true, .. }) {
            self.0 = Phase::Draining { since: now, stopping: true };
        }
    }
    /// Whether tests pass.
    pub fn works(&self) -> bool {
        self.0 == Phase::Working
    }
    /// From when on set-ups are refused.
    pub fn refuses_from(&self) -> Option<Time> {
        match self.0 {
            Phase::Working => None,
            Phase::Draining { since, stopping } => {
                Some(since.plus(if stopping { TAKES_TO_THE_END } else { TAKES }))
            }
        }
    }
    /// Until when new connections come.
    pub fn new_ones_until(&self) -> Option<Time> {
        match self.0 {
            Phase::Working => None,
            Phase::Draining { since, stopping } => {
                Some(since.plus(if stopping { NEW_ONES_COME_TO_THE_END } else { NEW_ONES_COME }))
            }
        }
    }
    /// Looks at a connection that is owed nothing: when it came, and whether a call that stands was asked for on it.
    pub fn look(&self, came: Time, carries: bool, now: Time) -> Door {
        let (Some(new_ones), Some(refuses)) = (self.new_ones_until(), self.refuses_from()) else {
            return Door::Stays;
        };
        // One that has just come is given time to say what it came for.
        let first = new_ones.max(came.plus(NEW_ONES_COME));
        let last = match self.0 {
            Phase::Draining { since, stopping: false } => since.plus(RELEASES),
            _ => refuses,
        };
        let until = if carries { last.max(first) } else { first };
        if until > now {
            Door::Again(until)
        } else {
            Door::Ends
        }
    }
    /// Whether the process may leave: it was told to, nothing more is taken, and nobody is owed an answer. `held` tells
    /// what else is there. `longest`: what any caller waits; who reads no answers keeps no process from its end.
    pub fn may_leave(&self, held: Held, longest: Span, now: Time) -> bool {
        let Phase::Draining { stopping: true, .. } = self.0 else { return false };
        let Some(refuses) = self.refuses_from() else { return false };
        now >= refuses
            && match held {
                Held::Calls => false,
                Held::Answers => now >= refuses.plus(longest),
                Held::Connections => now >= refuses.plus(PARTS),
                Held::Nothing => true,
            }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_000_000 + ms * 1_000)
    }

    /// Guards against connections that are held for longer than operators allow, and against closing those early on
    /// which the front still sends.
    #[test]
    fn a_connection_that_is_owed_nothing_ends_once_new_ones_have_stopped_coming() {
        let mut drain = Drain::default();
        assert_eq!(drain.look(at(0), false, at(99_000)), Door::Stays);
        drain.lameduck(at(1_000));
        assert!(!drain.works());
        let table = [
            // came, carries, now, what becomes of it
            (0, false, 1_000, Door::Again(at(1_350))),
            (0, false, 1_349, Door::Again(at(1_350))),
            (0, false, 1_350, Door::Ends),
            (0, true, 1_350, Door::Again(at(4_600))),
            (0, true, 4_600, Door::Ends),
            (1_200, false, 1_350, Door::Again(at(1_550))),
            (1_200, false, 1_550, Door::Ends),
            (4_500, true, 4_500, Door::Again(at(4_850))),
            (4_500, true, 4_850, Door::Ends),
        ];
        for (came, carries, now, door) in table {
            assert_eq!(drain.look(at(came), carries, at(now)), door, "{came} {carries} {now}");
        }
        assert_eq!(drain.refuses_from(), Some(at(2_800)));
    }

    /// Guards against a second call that starts the times anew, and against a drain that cannot be called off.
    #[test]
    fn both_calls_repeat_and_rejoin_holds_in_the_midst_of_a_drain() {
        let mut drain = Drain::default();
        drain.lameduck(at(0));
        drain.lameduck(at(900));
        assert_eq!(drain.refuses_from(), Some(at(1_800)));
        for _ in 0..2 {
            assert_eq!(drain.rejoin(), Ok(()));
            assert!(drain.works() && drain.refuses_from().is_none());
        }
        drain.lameduck(at(5_000));
        assert_eq!(drain.refuses_from(), Some(at(6_800)));
        assert!(!drain.may_leave(Held::Nothing, Span::default(), at(99_000)), "it was not told to end");
    }

    #[test]
    fn a_process_that_is_told_to_end_leaves_once_all_is_answered_and_stays_gone() {
        let mut drain = Drain::default();
        drain.lameduck(at(0));
        drain.end(at(1_000));
        drain.end(at(1_500));
        drain.lameduck(at(1_600));
        assert_eq!(drain.rejoin(), Err(AboutToEnd));
        let longest = Span::from_millis(3_000);
        let table = [
            // what is held, now, leaves
            (Held::Nothing, 1_899, false),
            (Held::Nothing, 1_900, true),
            (Held::Connections, 1_900, false),
            (Held::Connections, 2_399, false),
            (Held::Connections, 2_400, true),
            (Held::Answers, 2_400, false),
            (Held::Answers, 4_899, false),
            (Held::Answers, 4_900, true),
            // Guards against a call whose caller waits a little longer than its class and is left without an answer.
            (Held::Calls, 4_900, false),
            (Held::Calls, 99_000, false),
        ];
        for (held, now, leaves) in table {
            assert_eq!(drain.may_leave(held, longest, at(now)), leaves, "{held:?} {now}");
        }
    }
}
