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
    pub release: Span,
    /// The others are waited for this long; they answer within two ways and a round.
    pub ask: Span,
    /// The time in which work rises from `first_share` to all of it, where nobody else was at work.
    pub rise: Span,
    /// The share of the set-ups that is taken first.
    pub first_share: f64,
    /// A call of the records whose call server is not listed by then is over, as far as anybody can know: the release
    /// that it is owed must be said within 8 s.
    pub list_patience: Span,
    /// A line of the list older than this says nothing of who is ready; that a call server drained or had gone counts on.
    pub line_age: Span,
}

impl Default for RecoveryConfig {
    fn default() -> Self {
        Self {
            release: Span::from_millis(500),
            ask: Span::from_millis(300),
            rise: Span::from_millis(3_000),
            first_share: 0.25,
            list_patience: Span::from_millis(6_000),
            line_age: Span::from_millis(600_000),
        }
    }
}

/// Where a recovery stands. Each phase begins when the one before has ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The others are asked; nothing is taken.
    Asking,
    /// What the life before may have had out is waited for; nothing is taken.
    Holding,
    /// Work comes at a rising rate; cold call servers get none.
    Rising,
    /// Full service.
    Serving,
}

/// A phase has begun: for the log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Began {
    /// Which.
    pub phase: Phase,
    /// So long after the start.
    pub after: Span,
    /// Whether another controller has answered.
    pub answered: bool,
}

impl std::fmt::Display for Began {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = self.after.0 / 1_000;
        let what = match (self.phase, self.answered) {
            (Phase::Asking, _) => "the others are asked",
            (Phase::Holding, true) => "another controller has answered; no set-up leaves yet",
            (Phase::Holding, false) => "nobody answers; no set-up leaves yet",
            (Phase::Rising, _) => "work comes at a rising rate",
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
        Recovery { config, began, phase: Phase::Asking, since: began, others, answered: false, credit: 0.0 }
    }

    /// Where it stands.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Another controller has told what it sees: it was at work while this one was not.
    pub fn hears(&mut self) {
        self.answered = true;
    }

    /// What has begun by `now`, in order.
    pub fn look(&mut self, now: Time) -> Vec<Began> {
        let mut began = Vec::new();
        while let Some(at) = self.ends().filter(|at| *at <= now) {
            let (phase, since) = match self.phase {
                Phase::Asking => (Phase::Holding, at),
                Phase::Holding if self.answered => (Phase::Serving, at),
                Phase::Holding => (Phase::Rising, at),
                Phase::Rising | Phase::Serving => (Phase::Serving, at),
            };
            // A process that stood still goes on from when it woke, not from when the phase should have begun.
            (self.phase, self.since) = (phase, since.max(self.began));
            let after = now.since(self.began);
            began.push(Began { phase, after, answered: self.answered });
        }
        began
    }

    /// When the phase ends; `None`: it lasts.
    pub fn ends(&self) -> Option<Time> {
        match self.phase {
            Phase::Asking if self.answered || !self.others => Some(self.since),
            Phase::Asking => Some(self.began.plus(self.config.ask)),
            Phase::Holding => Some(self.began.plus(self.config.release).max(self.since)),
            Phase::Rising => Some(self.since.plus(self.config.rise)),
            Phase::Serving => None,
        }
    }

    /// Whether a set-up that has just come is taken. While work rises, so many of all are that each in turn has its
    /// chance.
    pub fn takes(&mut self, now: Time) -> bool {
        match self.phase {
            Phase::Asking | Phase::Holding => false,
            Phase::Rising => {
                let first = self.config.first_share.clamp(0.0, 1.0);
                let risen = now.since(self.since).fraction_between(Span::default(), self.config.rise);
                self.credit += first + (1.0 - first) * risen;
                let taken = self.credit >= 1.0;
                self.credit -= f64::from(u8::from(taken));
                taken
            }
            Phase::Serving => true,
        }
    }

    /// Whether a call server that is cold is given work.
    pub fn gives_to_cold(&self) -> bool {
        self.phase == Phase::Serving
    }
}

/// What is done with a call that the records say stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Fate {
    /// Trusted: its call server is the one it was; the call stands until that says otherwise, dies or is silent.
    Stands,
    /// Its call server has started anew, or nobody lists it: the call is over, and its caller is owed the release.
    Over,
    /// Its call server is not listed yet: the list is waited for until then.
    Unknown(Time),
}

/// The fate of a call that the records say stands at a call server born at `born_ms`, where a list (the records' own at
/// first, then the directories') says that the one of this name was born at `listed`, and the process began at `began`.
/// What else a list says does not matter: it is seconds late and may be wrong, and a call at a call server that drains or
/// is listed as gone ends when that says so, dies or is silent, as for a controller that was at work all the while.
pub fn fate(config: &RecoveryConfig, began: Time, now: Time, born_ms: u64, listed: Option<u64>) -> Fate {
    let until = began.plus(config.list_patience);
    match listed {
        Some(born) if born != born_ms => Fate::Over,
        Some(_) => Fate::Stands,
        None if now < until => Fate::Unknown(until),
        None => Fate::Over,
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
                recovery.hears();
            }
            seen.extend(recovery.look(at(ms)).into_iter().map(|b| (b.after.0 / 1_000, b.phase)));
            assert_eq!(recovery.phase() < Phase::Rising, !recovery.takes(at(ms)) && ms < 500, "{ms}");
        }
        seen
    }

    #[test]
    fn service_returns_in_order_and_at_once_where_the_fleet_is_at_work() {
        let (holding, rising, serving) = (Phase::Holding, Phase::Rising, Phase::Serving);
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
                recovery.look(at(500 + second * 1_000 + ms));
                count += u32::from(recovery.takes(at(500 + second * 1_000 + ms)));
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
        let began = recovery.look(at(9_000));
        assert_eq!(began.last().map(|b| b.phase), Some(Phase::Serving));
        assert!(recovery.takes(at(9_000)), "nine seconds are enough for all that was out");
    }

    #[rstest]
    #[case::the_same(Some(7), 100, Fate::Stands)]
    #[case::started_anew(Some(8), 100, Fate::Over)]
    #[case::not_listed_yet(None, 100, Fate::Unknown(at(6_000)))]
    #[case::not_listed_for_long(None, 6_000, Fate::Over)]
    fn what_becomes_of_a_call_that_stood(
        #[case] listed: Option<u64>,
        #[case] now: u64,
        #[case] wanted: Fate,
    ) {
        assert_eq!(fate(&RecoveryConfig::default(), at(0), at(now), 7, listed), wanted);
    }
}
