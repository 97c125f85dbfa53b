//! How a controller comes back after its process has died, alone or with all others: what it trusts of its records, what
//! it asks the others, and in which order service returns. Sans-IO; `docs/recovery.md` gives the reasons.
//!
//! The order: the records are read before anything is taken; then the others are asked what they see of the call servers;
//! no set-up leaves before all that the life before may have had out is over; then work comes at a rising rate, unless
//! another controller answered, so that the fleet is at work and only this one was away; call servers that are cold are
//! given work last.

pub mod records;

use crate::interface::{Span, Time};

/// What a recovery goes by.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryConfig {
    /// After an attempt that may have been out nothing may go for its call for so long.
    pub resend_delay: Span,
    /// The others are waited for this long; they answer within two ways and a round.
    pub peer_query_timeout: Span,
    /// The time in which work rises from `initial_share` to all of it, where nobody else was at work.
    pub ramp_up: Span,
    /// The share of the set-ups that is taken first.
    pub initial_share: f64,
    /// A call of the records whose call server is not listed by then is over, as far as anybody can know: the release
    /// that it is owed must be said within 8 s.
    pub directory_timeout: Span,
    /// A line of the list older than this says nothing of who is ready; that a call server drained or had gone counts on.
    pub max_entry_age: Span,
}

impl Default for RecoveryConfig {
    fn default() -> Self {
        Self {
            resend_delay: Span::from_millis(500),
            peer_query_timeout: Span::from_millis(300),
            ramp_up: Span::from_millis(3_000),
            initial_share: 0.25,
            directory_timeout: Span::from_millis(6_000),
            max_entry_age: Span::from_millis(600_000),
        }
    }
}

/// Where a recovery stands. Each phase begins when the one before has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The others are asked; nothing is taken.
    QueryingPeers,
    /// What the life before may have had out is waited for; nothing is taken.
    WaitingForAttempts,
    /// Work comes at a rising rate; cold call servers get none.
    RampingUp,
    /// Full service.
    Serving,
}

/// A phase has begun: for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PhaseStart {
    /// Which.
    pub phase: Phase,
    /// So long after the start.
    pub after: Span,
    /// Whether another controller has answered.
    pub answered: bool,
}

impl std::fmt::Display for PhaseStart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = self.after.0 / 1_000;
        let what = match (self.phase, self.answered) {
            (Phase::QueryingPeers, _) => "the others are asked",
            (Phase::WaitingForAttempts, true) => "another controller has answered; no set-up leaves yet",
            (Phase::WaitingForAttempts, false) => "nobody answers; no set-up leaves yet",
            (Phase::RampingUp, _) => "work comes at a rising rate",
            (Phase::Serving, _) => "full service, cold call servers too",
        };
        write!(f, "recovery: {ms} ms after the start: {what}")
    }
}

/// One recovery, from the start of the process to full service.
#[derive(Debug)]
pub struct Recovery {
    config: RecoveryConfig,
    began: Time,
    phase: Phase,
    /// When the phase began.
    since: Time,
    /// Whether there is anybody to ask.
    others: bool,
    answered: bool,
    /// Of the set-ups that came while work rises: how far the next that is taken has come.
    credit: f64,
}

impl Recovery {
    /// Begins at the start of the process; `others`: there are other controllers to ask.
    pub fn new(config: RecoveryConfig, began: Time, others: bool) -> Recovery {
        Recovery {
            config,
            began,
            phase: Phase::QueryingPeers,
            since: began,
            others,
            answered: false,
            credit: 0.0,
        }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Another controller has told what it sees: it was at work while this one was not.
    pub fn record_peer_answer(&mut self) {
        self.answered = true;
    }

    /// What has begun by `now`, in order.
    pub fn advance(&mut self, now: Time) -> Vec<PhaseStart> {
        let mut began = Vec::new();
        while let Some(at) = self.phase_end().filter(|at| *at <= now) {
            let (phase, since) = match self.phase {
                Phase::QueryingPeers => (Phase::WaitingForAttempts, at),
                Phase::WaitingForAttempts if self.answered => (Phase::Serving, at),
                Phase::WaitingForAttempts => (Phase::RampingUp, at),
                Phase::RampingUp | Phase::Serving => (Phase::Serving, at),
            };
            // A process that stood still goes on from when it woke, not from when the phase should have begun.
            (self.phase, self.since) = (phase, since.max(self.began));
            let after = now.since(self.began);
            began.push(PhaseStart { phase, after, answered: self.answered });
        }
        began
    }

    /// When the phase ends; `None`: it lasts.
    pub fn phase_end(&self) -> Option<Time> {
        match self.phase {
            Phase::QueryingPeers if self.answered || !self.others => Some(self.since),
            Phase::QueryingPeers => Some(self.began.plus(self.config.peer_query_timeout)),
            Phase::WaitingForAttempts => Some(self.began.plus(self.config.resend_delay).max(self.since)),
            Phase::RampingUp => Some(self.since.plus(self.config.ramp_up)),
            Phase::Serving => None,
        }
    }

    /// Whether a set-up that has just come is taken. While work rises, so many of all are that each in turn has its
    /// chance.
    pub fn admits(&mut self, now: Time) -> bool {
        match self.phase {
            Phase::QueryingPeers | Phase::WaitingForAttempts => false,
            Phase::RampingUp => {
                let first = self.config.initial_share.clamp(0.0, 1.0);
                let risen = now.since(self.since).between(Span::default(), self.config.ramp_up);
                self.credit += first + (1.0 - first) * risen;
                let taken = self.credit >= 1.0;
                self.credit -= f64::from(u8::from(taken));
                taken
            }
            Phase::Serving => true,
        }
    }

    /// Whether a call server that is cold is given work.
    pub fn allows_cold_servers(&self) -> bool {
        self.phase == Phase::Serving
    }
}

/// What is done with a call that the records say stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveredCallState {
    /// Trusted: its call server is the one it was; the call stands until that says otherwise, dies or is silent.
    Established,
    /// Its call server has started anew, or nobody lists it: the call is over, and its caller is owed the release.
    Ended,
    /// Its call server is not listed yet: the list is waited for until then.
    Undecided(Time),
}

/// The fate of a call that the records say stands at a call server born at `born_ms`, where a list (the records' own at
/// first, then the directories') says that the one of this name was born at `listed`, and the process began at `began`.
/// What else a list says does not matter: it is seconds late and may be wrong, and a call at a call server that drains or
/// is listed as gone ends when that says so, dies or is silent, as for a controller that was at work all the while.
pub fn recovered_call_state(
    config: &RecoveryConfig,
    began: Time,
    now: Time,
    born_ms: u64,
    listed: Option<u64>,
) -> RecoveredCallState {
    let until = began.plus(config.directory_timeout);
    match listed {
        Some(born) if born != born_ms => RecoveredCallState::Ended,
        Some(_) => RecoveredCallState::Established,
        None if now < until => RecoveredCallState::Undecided(until),
        None => RecoveredCallState::Ended,
    }
}

#[cfg(test)]
mod tests {
    use rstest::rstest;

    use super::*;

    fn at(ms: u64) -> Time {
        Time(3_000_000_000 + ms * 1_000)
    }

    /// The phases and when they began, looked at every 10 ms for 10 s.
    fn phases(others: bool, answer_at: Option<u64>) -> Vec<(u64, Phase)> {
        let mut recovery = Recovery::new(RecoveryConfig::default(), at(0), others);
        let mut seen = Vec::new();
        for ms in (0..10_000).step_by(10) {
            if answer_at == Some(ms) {
                recovery.record_peer_answer();
            }
            seen.extend(recovery.advance(at(ms)).into_iter().map(|b| (b.after.0 / 1_000, b.phase)));
            assert_eq!(recovery.phase() < Phase::RampingUp, !recovery.admits(at(ms)) && ms < 500, "{ms}");
        }
        seen
    }

    #[test]
    fn service_returns_in_order_and_at_once_where_the_fleet_is_at_work() {
        let (holding, rising, serving) = (Phase::WaitingForAttempts, Phase::RampingUp, Phase::Serving);
        assert_eq!(phases(false, None), [(0, holding), (500, rising), (3_500, serving)]);
        assert_eq!(phases(true, None), [(300, holding), (500, rising), (3_500, serving)]);
        assert_eq!(phases(true, Some(40)), [(40, holding), (500, serving)]);
        // An answer that comes while work rises changes nothing: the others have just come back too.
        assert_eq!(phases(true, Some(700)), [(300, holding), (500, rising), (3_500, serving)]);
    }

    #[test]
    fn work_rises_from_a_quarter_to_all_of_it() {
        let mut recovery = Recovery::new(RecoveryConfig::default(), at(0), false);
        let mut taken = Vec::new();
        for second in 0..4u64 {
            let mut count = 0;
            for ms in 0..1_000 {
                recovery.advance(at(500 + second * 1_000 + ms));
                count += u32::from(recovery.admits(at(500 + second * 1_000 + ms)));
            }
            taken.push(count);
        }
        // Of a thousand a second: the means of 0.25 to 0.5, 0.5 to 0.75, 0.75 to 1, then all.
        for (got, wanted) in taken.iter().zip([375, 625, 875, 1_000]) {
            assert!(got.abs_diff(wanted) <= 2, "{taken:?}");
        }
    }

    #[test]
    fn one_that_stood_still_right_after_its_start_does_not_skip_the_rise() {
        let mut recovery = Recovery::new(RecoveryConfig::default(), at(0), true);
        let began = recovery.advance(at(9_000));
        assert_eq!(began.last().map(|b| b.phase), Some(Phase::Serving));
        assert!(recovery.admits(at(9_000)), "nine seconds are enough for all that was out");
    }

    #[rstest]
    #[case::the_same(Some(7), 100, RecoveredCallState::Established)]
    #[case::started_anew(Some(8), 100, RecoveredCallState::Ended)]
    #[case::not_listed_yet(None, 100, RecoveredCallState::Undecided(at(6_000)))]
    #[case::not_listed_for_long(None, 6_000, RecoveredCallState::Ended)]
    fn what_becomes_of_a_call_that_stood(
        #[case] listed: Option<u64>,
        #[case] now: u64,
        #[case] wanted: RecoveredCallState,
    ) {
        assert_eq!(recovered_call_state(&RecoveryConfig::default(), at(0), at(now), 7, listed), wanted);
    }
}
