//! Drain of a controller: LAMEDUCK, REJOIN and the stop of the process. Without clock and sockets of its own.

use serde::{Deserialize, Serialize};

use crate::interface::{Span, Time};

/// New connections may come for this long after a drain begins: the front end runs a health check every 100 ms and
/// sends some connections for another 200 ms.
const CONNECTIONS_ACCEPTED: Span = Span::from_millis(350);
/// Time from the start of a drain until set-ups are refused. Guards against requests that are still in progress when
/// the controller is to be empty.
const SET_UPS_ACCEPTED: Span = Span::from_millis(1_800);
/// Time for which a connection is kept open for the releases of its established calls; most calls have ended by then.
const RELEASES_AWAITED: Span = Span::from_millis(3_600);
/// Time for new connections when the process is to end; longer, as the front end notices a stop later.
const CONNECTIONS_ACCEPTED_BEFORE_STOP: Span = Span::from_millis(650);
/// Time until set-ups are refused when the process is to end: what comes later than 700 ms after SIGTERM must be answered
/// before the process may be killed, which a call server that hangs would prevent. Shorter, as the process must not stay for long.
const SET_UPS_ACCEPTED_BEFORE_STOP: Span = Span::from_millis(650);
/// After that, time for callers to close their side of the connections closed here.
pub const CLOSE_AWAITED: Span = Span::from_millis(500);

/// Whether a controller works or drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Phase {
    /// It accepts connections and set-ups.
    #[default]
    Working,
    /// It drains.
    #[serde(rename = "Emptying")]
    Draining {
        /// Start of the drain.
        since: Time,
        /// Whether the process ends after the drain.
        #[serde(rename = "ends")]
        stopping: bool,
    },
}

/// What to do with a caller's connection that waits for no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionReview {
    /// Keep it by the rules of normal work.
    Keep,
    /// Review it again at this time.
    ReviewAt(Time),
    /// Close it now.
    Close,
}

/// The most important work that is left, in order of importance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outstanding {
    /// Set-ups without an answer; each gets one within its caller's time limit.
    Calls,
    /// Answers that their callers have not read yet.
    Answers,
    /// Callers' connections that wait for no answer.
    Connections,
    /// Nothing.
    Nothing,
}

/// State machine for `LAMEDUCK`, `REJOIN` and SIGTERM.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Drain(Phase);

/// `REJOIN` is refused: the process was asked to stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("this process is stopping")]
pub struct ProcessEnding;

impl Drain {
    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.0
    }
    /// `LAMEDUCK`. A repetition changes nothing: the times count from the first.
    pub fn lameduck(&mut self, now: Time) {
        if self.0 == Phase::Working {
            self.0 = Phase::Draining { since: now, stopping: false };
        }
    }
    /// `REJOIN`, also without a drain before it.
    pub fn rejoin(&mut self) -> Result<(), ProcessEnding> {
        if let Phase::Draining { stopping: true, .. } = self.0 {
            return Err(ProcessEnding);
        }
        self.0 = Phase::Working;
        Ok(())
    }
    /// SIGTERM: drains and ends the process. During a drain by `LAMEDUCK` the times count anew.
    pub fn begin_stop(&mut self, now: Time) {
        if !matches!(self.0, Phase::Draining { stopping: true, .. }) {
            self.0 = Phase::Draining { since: now, stopping: true };
        }
    }
    /// Whether health checks pass.
    pub fn is_working(&self) -> bool {
        self.0 == Phase::Working
    }
    /// Time from which on set-ups are refused.
    pub fn refuses_set_ups_from(&self) -> Option<Time> {
        match self.0 {
            Phase::Working => None,
            Phase::Draining { since, stopping } => {
                Some(since.plus(if stopping { SET_UPS_ACCEPTED_BEFORE_STOP } else { SET_UPS_ACCEPTED }))
            }
        }
    }
    /// Time until which new connections may come.
    pub fn accepts_connections_until(&self) -> Option<Time> {
        match self.0 {
            Phase::Working => None,
            Phase::Draining { since, stopping } => Some(since.plus(if stopping {
                CONNECTIONS_ACCEPTED_BEFORE_STOP
            } else {
                CONNECTIONS_ACCEPTED
            })),
        }
    }
    /// Reviews a connection that waits for no answer. `connected_at`: when it was accepted; `has_calls`: calls that
    /// were set up on it are still established.
    pub fn review_connection(&self, connected_at: Time, has_calls: bool, now: Time) -> ConnectionReview {
        let (Some(accepts_until), Some(refuses_from)) =
            (self.accepts_connections_until(), self.refuses_set_ups_from())
        else {
            return ConnectionReview::Keep;
        };
        // A new connection is given time to send its set-up.
        let first = accepts_until.max(connected_at.plus(CONNECTIONS_ACCEPTED));
        let last = match self.0 {
            Phase::Draining { since, stopping: false } => since.plus(RELEASES_AWAITED),
            // The releases of these calls are taken from the call servers until the process ends.
            _ if has_calls => now.plus(CONNECTIONS_ACCEPTED),
            _ => refuses_from,
        };
        let until = if has_calls { last.max(first) } else { first };
        if until > now {
            ConnectionReview::ReviewAt(until)
        } else {
            ConnectionReview::Close
        }
    }
    /// Whether the process may end, once it has closed its callers' connections: it was asked to stop, set-ups are refused,
    /// and no set-up waits for its answer.
    /// Callers who read no answers delay the end by `max_caller_wait` at most, the longest time any caller waits.
    pub fn may_exit(&self, outstanding: Outstanding, max_caller_wait: Span, now: Time) -> bool {
        let Phase::Draining { stopping: true, .. } = self.0 else { return false };
        let Some(refuses_from) = self.refuses_set_ups_from() else { return false };
        now >= refuses_from
            && match outstanding {
                Outstanding::Calls => false,
                Outstanding::Answers => now >= refuses_from.plus(max_caller_wait),
                Outstanding::Connections | Outstanding::Nothing => true,
            }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn at(ms: u64) -> Time {
        Time(1_000_000 + ms * 1_000)
    }

    /// Guards against connections kept longer than operators allow, and against closing early those on which the
    /// front end still sends.
    #[test]
    fn an_idle_connection_ends_once_no_new_connections_are_accepted() {
        let mut drain = Drain::default();
        assert_eq!(drain.review_connection(at(0), false, at(99_000)), ConnectionReview::Keep);
        drain.lameduck(at(1_000));
        assert!(!drain.is_working());
        let table = [
            // connected_at, has_calls, now, review
            (0, false, 1_000, ConnectionReview::ReviewAt(at(1_350))),
            (0, false, 1_349, ConnectionReview::ReviewAt(at(1_350))),
            (0, false, 1_350, ConnectionReview::Close),
            (0, true, 1_350, ConnectionReview::ReviewAt(at(4_600))),
            (0, true, 4_600, ConnectionReview::Close),
            (1_200, false, 1_350, ConnectionReview::ReviewAt(at(1_550))),
            (1_200, false, 1_550, ConnectionReview::Close),
            (4_500, true, 4_500, ConnectionReview::ReviewAt(at(4_850))),
            (4_500, true, 4_850, ConnectionReview::Close),
        ];
        for (connected_at, has_calls, now, review) in table {
            assert_eq!(
                drain.review_connection(at(connected_at), has_calls, at(now)),
                review,
                "{connected_at} {has_calls} {now}"
            );
        }
        assert_eq!(drain.refuses_set_ups_from(), Some(at(2_800)));
    }

    /// Guards against a repeated LAMEDUCK that restarts the times, and against a drain that cannot be revoked.
    #[test]
    fn lameduck_and_rejoin_may_be_repeated_and_rejoin_works_during_a_drain() {
        let mut drain = Drain::default();
        drain.lameduck(at(0));
        drain.lameduck(at(900));
        assert_eq!(drain.refuses_set_ups_from(), Some(at(1_800)));
        for _ in 0..2 {
            assert_eq!(drain.rejoin(), Ok(()));
            assert!(drain.is_working() && drain.refuses_set_ups_from().is_none());
        }
        drain.lameduck(at(5_000));
        assert_eq!(drain.refuses_set_ups_from(), Some(at(6_800)));
        assert!(
            !drain.may_exit(Outstanding::Nothing, Span::default(), at(99_000)),
            "it was not asked to stop"
        );
    }

    #[test]
    fn a_stopping_process_ends_once_all_is_answered_and_refuses_rejoin() {
        let mut drain = Drain::default();
        drain.lameduck(at(0));
        drain.begin_stop(at(1_000));
        drain.begin_stop(at(1_500));
        drain.lameduck(at(1_600));
        assert_eq!(drain.rejoin(), Err(ProcessEnding));
        let with_calls = drain.review_connection(at(0), true, at(30_000));
        assert!(matches!(with_calls, ConnectionReview::ReviewAt(_)), "its releases are still to be told");
        assert_eq!(drain.review_connection(at(0), false, at(30_000)), ConnectionReview::Close);
        let max_caller_wait = Span::from_millis(3_000);
        let table = [
            // what is outstanding, now, exits
            (Outstanding::Nothing, 1_649, false),
            (Outstanding::Nothing, 1_650, true),
            (Outstanding::Connections, 1_649, false),
            (Outstanding::Connections, 1_650, true),
            (Outstanding::Answers, 2_400, false),
            (Outstanding::Answers, 4_649, false),
            (Outstanding::Answers, 4_650, true),
            // Guards against a call left without an answer because its caller waits a little longer than its class
            // does.
            (Outstanding::Calls, 4_900, false),
            (Outstanding::Calls, 99_000, false),
        ];
        for (outstanding, now, exits) in table {
            assert_eq!(drain.may_exit(outstanding, max_caller_wait, at(now)), exits, "{outstanding:?} {now}");
        }
    }
}
