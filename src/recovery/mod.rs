//! Recovery of a controller after its process was terminated without a takeover, alone or together with all other
//! controllers: which records it trusts, what it asks its peers, and in which order service resumes. Sans-IO;
//! `docs/recovery.md` gives the reasons.
//!
//! The records are read before any set-up is admitted. Then the peers are asked for their observations of the call
//! servers. No set-up is sent until every attempt that the previous run may have left outstanding is over. After that,
//! set-ups are admitted at a rising rate; if a peer has answered, the fleet kept working and full service resumes at
//! once. Cold call servers get set-ups only at full service.

pub mod records;

use crate::interface::{Span, Time};

/// Configuration of a recovery.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RecoveryConfig {
    /// Time after an attempt that may be outstanding during which no set-up may be sent for its call.
    pub resend_delay: Span,
    /// Time to wait for the peers' answers. They take at most two one-way latencies and one gossip round.
    pub peer_query_timeout: Span,
    /// Time in which the share of admitted set-ups rises from `initial_share` to 1, if no peer has answered.
    pub ramp_up: Span,
    /// Share of the set-ups that is admitted at the start of the ramp-up.
    pub initial_share: f64,
    /// Time after the start within which the call server of a recorded call must be listed; otherwise the call is
    /// considered ended. Less than the 8 s within which the release of an ended call must be sent.
    pub directory_timeout: Span,
    /// Maximum age of a recorded directory entry that lists a call server as ready. Entries that list it as draining or
    /// gone have no maximum age.
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

/// Phases of a recovery, in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Phase {
    /// The peers are asked for their observations; no set-up is admitted.
    QueryingPeers,
    /// Waits until the previous run's outstanding attempts are over; no set-up is admitted.
    WaitingForAttempts,
    /// Set-ups are admitted at a rising rate; cold call servers get none.
    RampingUp,
    /// Full service.
    Serving,
}

/// The start of a phase, to be logged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PhaseStart {
    /// The phase.
    pub phase: Phase,
    /// Time since the start of the process.
    pub elapsed: Span,
    /// Whether a peer has answered.
    pub peer_answered: bool,
}

impl std::fmt::Display for PhaseStart {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let ms = self.elapsed.0 / 1_000;
        let text = match (self.phase, self.peer_answered) {
            (Phase::QueryingPeers, _) => "asking the other controllers for their observations",
            (Phase::WaitingForAttempts, true) => "another controller has answered; no set-ups are sent yet",
            (Phase::WaitingForAttempts, false) => "no other controller has answered; no set-ups are sent yet",
            (Phase::RampingUp, _) => "admitting set-ups at a rising rate",
            (Phase::Serving, _) => "full service, including cold call servers",
        };
        write!(f, "recovery: {ms} ms after the start: {text}")
    }
}

/// One recovery, from the start of the process to full service.
#[derive(Debug)]
pub struct Recovery {
    config: RecoveryConfig,
    started_at: Time,
    phase: Phase,
    /// When the current phase began.
    phase_started_at: Time,
    /// Whether there are peers to ask.
    has_peers: bool,
    peer_answered: bool,
    /// Accumulated admission share during the ramp-up; a set-up is admitted whenever this reaches 1.
    admission_credit: f64,
}

impl Recovery {
    /// Begins a recovery at the start of the process; `has_peers` tells whether there are peers to ask.
    pub fn new(config: RecoveryConfig, started_at: Time, has_peers: bool) -> Recovery {
        Recovery {
            config,
            started_at,
            phase: Phase::QueryingPeers,
            phase_started_at: started_at,
            has_peers,
            peer_answered: false,
            admission_credit: 0.0,
        }
    }

    /// The current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Records that a peer has answered with an observation, which shows that it was working while this controller was
    /// not.
    pub fn record_peer_answer(&mut self) {
        self.peer_answered = true;
    }

    /// Advances to the phase that applies at `now`; returns the phases that have begun, in order.
    pub fn advance(&mut self, now: Time) -> Vec<PhaseStart> {
        let mut began = Vec::new();
        while let Some(at) = self.phase_end().filter(|at| *at <= now) {
            let (phase, phase_started_at) = match self.phase {
                Phase::QueryingPeers => (Phase::WaitingForAttempts, at),
                Phase::WaitingForAttempts if self.peer_answered => (Phase::Serving, at),
                Phase::WaitingForAttempts => (Phase::RampingUp, at),
                Phase::RampingUp | Phase::Serving => (Phase::Serving, at),
            };
            // A phase begins at the scheduled end of the one before, even if the process was suspended at that time.
            (self.phase, self.phase_started_at) = (phase, phase_started_at.max(self.started_at));
            let elapsed = now.since(self.started_at);
            began.push(PhaseStart { phase, elapsed, peer_answered: self.peer_answered });
        }
        began
    }

    /// When the current phase ends; `None` if it is the last one.
    pub fn phase_end(&self) -> Option<Time> {
        match self.phase {
            Phase::QueryingPeers if self.peer_answered || !self.has_peers => Some(self.phase_started_at),
            Phase::QueryingPeers => Some(self.started_at.plus(self.config.peer_query_timeout)),
            Phase::WaitingForAttempts => {
                Some(self.started_at.plus(self.config.resend_delay).max(self.phase_started_at))
            }
            Phase::RampingUp => Some(self.phase_started_at.plus(self.config.ramp_up)),
            Phase::Serving => None,
        }
    }

    /// Whether to admit a set-up that has just arrived. During the ramp-up the current share of the set-ups is
    /// admitted, spread evenly over the arrivals.
    pub fn admits(&mut self, now: Time) -> bool {
        match self.phase {
            Phase::QueryingPeers | Phase::WaitingForAttempts => false,
            Phase::RampingUp => {
                let initial = self.config.initial_share.clamp(0.0, 1.0);
                let progress =
                    now.since(self.phase_started_at).fraction_between(Span::default(), self.config.ramp_up);
                self.admission_credit += initial + (1.0 - initial) * progress;
                let admitted = self.admission_credit >= 1.0;
                self.admission_credit -= f64::from(u8::from(admitted));
                admitted
            }
            Phase::Serving => true,
        }
    }

    /// Whether set-ups may be sent to cold call servers.
    pub fn allows_cold_servers(&self) -> bool {
        self.phase == Phase::Serving
    }
}

/// State of a call that the records list as established.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RecoveredCallState {
    /// Its call server has not restarted: the call is treated as established until the call server releases it, dies or
    /// is silent.
    Established,
    /// Its call server has restarted, or is not listed: the call has ended, and the release must be sent to its caller.
    Ended,
    /// Its call server is not listed yet; the decision is made at this time at the latest.
    Undecided(Time),
}

/// Determines the state of a call that the records list as established at a call server started at `recorded_start_ms`.
/// `listed_start_ms` is the start time of the call server of the same name according to a directory (at first the one
/// in the records), and `started_at` is when this process started. The listed state is not considered, since a
/// directory is seconds late and may be wrong: as in a controller that did not restart, a call at a call server that is
/// listed as draining or gone ends when the call server releases it, dies or is silent.
pub fn recovered_call_state(
    config: &RecoveryConfig,
    started_at: Time,
    now: Time,
    recorded_start_ms: u64,
    listed_start_ms: Option<u64>,
) -> RecoveredCallState {
    let until = started_at.plus(config.directory_timeout);
    match listed_start_ms {
        Some(start_ms) if start_ms != recorded_start_ms => RecoveredCallState::Ended,
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

    /// The phases and when they began in ms, checked every 10 ms for 10 s.
    fn phases(has_peers: bool, answer_at: Option<u64>) -> Vec<(u64, Phase)> {
        let mut recovery = Recovery::new(RecoveryConfig::default(), at(0), has_peers);
        let mut phases = Vec::new();
        for ms in (0..10_000).step_by(10) {
            if answer_at == Some(ms) {
                recovery.record_peer_answer();
            }
            phases.extend(recovery.advance(at(ms)).into_iter().map(|b| (b.elapsed.0 / 1_000, b.phase)));
            assert_eq!(recovery.phase() < Phase::RampingUp, !recovery.admits(at(ms)) && ms < 500, "{ms}");
        }
        phases
    }

    #[test]
    fn phases_follow_in_order_and_the_ramp_up_is_skipped_if_a_peer_has_answered() {
        let (waiting, ramping_up, serving) = (Phase::WaitingForAttempts, Phase::RampingUp, Phase::Serving);
        assert_eq!(phases(false, None), [(0, waiting), (500, ramping_up), (3_500, serving)]);
        assert_eq!(phases(true, None), [(300, waiting), (500, ramping_up), (3_500, serving)]);
        assert_eq!(phases(true, Some(40)), [(40, waiting), (500, serving)]);
        // An answer during the ramp-up changes nothing: the peers have just recovered, too.
        assert_eq!(phases(true, Some(700)), [(300, waiting), (500, ramping_up), (3_500, serving)]);
    }

    #[test]
    fn the_admitted_share_rises_from_a_quarter_to_all_set_ups() {
        let mut recovery = Recovery::new(RecoveryConfig::default(), at(0), false);
        let mut admitted = Vec::new();
        for second in 0..4u64 {
            let mut count = 0;
            for ms in 0..1_000 {
                recovery.advance(at(500 + second * 1_000 + ms));
                count += u32::from(recovery.admits(at(500 + second * 1_000 + ms)));
            }
            admitted.push(count);
        }
        // At 1,000 set-ups per second: the means of 0.25 to 0.5, 0.5 to 0.75 and 0.75 to 1, then all.
        for (got, wanted) in admitted.iter().zip([375, 625, 875, 1_000]) {
            assert!(got.abs_diff(wanted) <= 2, "{admitted:?}");
        }
    }

    #[test]
    fn a_process_suspended_for_longer_than_the_recovery_resumes_at_full_service() {
        let mut recovery = Recovery::new(RecoveryConfig::default(), at(0), true);
        let began = recovery.advance(at(9_000));
        assert_eq!(began.last().map(|b| b.phase), Some(Phase::Serving));
        assert!(recovery.admits(at(9_000)), "all phases have ended after nine seconds");
    }

    #[rstest]
    #[case::same_process(Some(7), 100, RecoveredCallState::Established)]
    #[case::restarted(Some(8), 100, RecoveredCallState::Ended)]
    #[case::not_listed_yet(None, 100, RecoveredCallState::Undecided(at(6_000)))]
    #[case::not_listed_in_time(None, 6_000, RecoveredCallState::Ended)]
    fn recorded_calls_are_classified_by_the_listed_start_of_their_call_server(
        #[case] listed: Option<u64>,
        #[case] now: u64,
        #[case] wanted: RecoveredCallState,
    ) {
        assert_eq!(recovered_call_state(&RecoveryConfig::default(), at(0), at(now), 7, listed), wanted);
    }
}
