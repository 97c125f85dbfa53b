//! The checker: verifies the five rules and the rule of one final answer from the events at the simulated peers, never
//! from what the controller reports. It uses no socket and reads no clock.

use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use lockpoint::interface::{Span, Time};
use serde::Serialize;

use crate::event_log::{Ask, EventKind, ListedState};

/// The tolerance added to every time limit, because the simulated peers and the controller share one machine's scheduler.
const TOLERANCE: Span = Span::from_millis(50);
/// A call server listed as draining or gone must get no new work after this time.
const DRAIN_GRACE: Span = Span::from_millis(250);
/// After a time-out, a reset or a cancellation there must be no further attempt for 500 ms, less the delay with which the
/// simulated peers may have recorded the event.
const RETRY_GAP: Span = Span::from_millis(500 - 50);
/// The caller of an established call that ended must receive a release within this time.
const RELEASE_LIMIT: Span = Span::from_millis(1_000);
/// The same when the call server's process died and could send nothing.
const RELEASE_LIMIT_AFTER_DEATH: Span = Span::from_millis(8_000);
/// No attempt may begin later than this after its caller has left.
const ATTEMPT_LIMIT_AFTER_LEAVING: Span = Span::from_millis(100);
/// The maximum number of attempts of one call.
const MAX_ATTEMPTS: u32 = 5;
/// A call server may send answers on a connection for this long after it was reset.
const RESET_NOTICED: Span = Span::from_millis(200);
/// How long ended calls are kept.
const RETENTION: Span = Span::from_millis(20_000);

/// A rule that the controller must keep. Summaries contain the variants' names.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Rule {
    /// An accepted call gets exactly one final answer before its caller's timeout.
    OneAnswer,
    /// A call has one outstanding attempt at a time and at most five in all, and none within 500 ms of one that may still
    /// be outstanding.
    OneAttempt,
    /// A call server gets no new work later than 250 ms after it is listed as draining or gone, and none if not listed.
    Drain,
    /// No cold call server is overloaded until it crashes.
    Cold,
    /// The caller of an established call that ended receives a release within 1 s.
    Release,
    /// Class, number and description are passed on unchanged, and the answer is one that a call server gave.
    Unchanged,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Final {
    Established,
    Refused,
}

#[derive(Debug, Default)]
struct Call {
    asked: Time,
    ask: Option<Rc<Ask>>,
    final_outcome: Option<(Time, Final)>,
    gave_up: bool,
    hung_up: bool,
    outstanding: Option<String>,
    attempts: u32,
    no_attempt_before: Time,
    answers: Vec<String>,
    /// The call server whose answer may have been lost on its way: its attempt has ended, and the controller cannot know it.
    answer_lost_from: Option<String>,
    /// When its established call ended, and by when its caller must receive the release.
    ended_at: Option<Time>,
    release_due: Option<Time>,
    release_received: Option<Time>,
    gave_up_at: Option<Time>,
    /// Whether its controller has ended since it was established.
    orphaned: bool,
    /// The call server at which it ended.
    ended_by: Option<String>,
    last_event: Time,
}

/// The checker's counts.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct Counts {
    /// Set-ups requested, including redials.
    pub asked: u64,
    /// Calls that were established.
    pub stood: u64,
    /// Calls refused or failed, by a final answer.
    pub refused: u64,
    /// Calls cancelled by their callers before an answer.
    pub given_up: u64,
    /// Set-ups received by call servers.
    pub attempts: u64,
    /// Releases received by callers.
    pub released: u64,
}

/// The checker.
#[derive(Debug, Default)]
pub struct Audit {
    calls: BTreeMap<String, Call>,
    listed_states: BTreeMap<String, (ListedState, Time)>,
    /// When the connections of a call server were last reset.
    reset_at: BTreeMap<String, Time>,
    /// The call servers whose messages may be lost or late.
    disturbed: BTreeSet<String>,
    violations: BTreeMap<Rule, (u64, String)>,
    /// The counts so far.
    pub counts: Counts,
    last_sweep: Time,
}

impl Audit {
    fn add_violation(&mut self, rule: Rule, sid: &str, detail: &str) {
        let entry = self.violations.entry(rule).or_insert_with(|| (0, format!("{sid}: {detail}")));
        entry.0 += 1;
    }

    /// The number of violations of each broken rule, and the first case.
    pub fn violations(&self) -> &BTreeMap<Rule, (u64, String)> {
        &self.violations
    }

    /// Processes an event: its time, the simulated peer, the call and the kind.
    pub fn record(&mut self, at: Time, source: &str, sid: &str, kind: &EventKind) {
        match kind {
            EventKind::News(state, later) => {
                let later = Span(u64::try_from(later.as_micros()).unwrap_or(u64::MAX));
                self.listed_states.insert(source.to_owned(), (*state, at.plus(later)));
            }
            EventKind::Tipped => {
                self.add_violation(Rule::Cold, source, "a cold call server was overloaded and crashed")
            }
            EventKind::Died => self.server_died(at, source),
            EventKind::Disturbed(true) => self.disturb(at, source),
            EventKind::ConnectionsReset => {
                self.reset_at.insert(source.to_owned(), at);
                self.mark_lost_answers(at, source);
            }
            EventKind::Disturbed(false) => drop(self.disturbed.remove(source)),
            _ if sid.is_empty() => {}
            EventKind::Asked(ask) => {
                self.counts.asked += 1;
                let ask = Some(ask.clone());
                self.calls.insert(sid.to_owned(), Call { asked: at, ask, last_event: at, ..Call::default() });
            }
            _ => self.record_call_event(at, source, sid, kind),
        }
        if at.since(self.last_sweep) > Span::from_millis(1_000) {
            self.last_sweep = at;
            self.sweep(at, false);
        }
    }

    fn record_call_event(&mut self, at: Time, source: &str, sid: &str, kind: &EventKind) {
        let Some(mut call) = self.calls.remove(sid) else {
            if matches!(kind, EventKind::SetUp(..)) {
                self.add_violation(Rule::Unchanged, sid, "a set-up that no caller requested");
            }
            return;
        };
        call.last_event = at;
        self.apply(at, source, sid, kind, &mut call);
        self.calls.insert(sid.to_owned(), call);
    }

    fn apply(&mut self, at: Time, source: &str, sid: &str, kind: &EventKind, call: &mut Call) {
        match kind {
            EventKind::SetUp(class, number, text) => {
                self.set_up(at, source, sid, (class, number, text), call)
            }
            EventKind::Answered(text) => {
                call.answers.push(text.clone());
                let reset_at = self.reset_at.get(source);
                if self.disturbed.contains(source)
                    || reset_at.is_some_and(|reset| at.since(*reset) < RESET_NOTICED)
                {
                    call.answer_lost_from = Some(source.to_owned());
                }
            }
            EventKind::Refused if call.outstanding.as_deref() == Some(source) => call.outstanding = None,
            // The attempt has ended as a reset; a BYE may follow, later.
            EventKind::SpoiltAnswer if call.outstanding.as_deref() == Some(source) => {
                call.outstanding = None;
                call.no_attempt_before = at.plus(RETRY_GAP);
            }
            // Messages of call servers about attempts that were abandoned before do not concern the caller any more.
            EventKind::Cancel | EventKind::Bye(_) | EventKind::Released
                if call.outstanding.as_deref() != Some(source) => {}
            // Here a BYE ends a call whose answer came too late or never reached the controller.
            EventKind::Cancel | EventKind::Bye(_)
                if !matches!(call.final_outcome, Some((_, Final::Established))) =>
            {
                call.outstanding = None;
                // On a disturbed path it arrives later than it was sent.
                if !self.disturbed.contains(source) {
                    call.no_attempt_before = at.plus(RETRY_GAP);
                }
            }
            EventKind::Cancel | EventKind::Bye(_) | EventKind::Released => {
                call.outstanding = None;
                let lost = call.orphaned || self.disturbed.contains(source);
                self.end_call(at, if lost { RELEASE_LIMIT_AFTER_DEATH } else { RELEASE_LIMIT }, call);
                call.ended_by = Some(source.to_owned());
            }
            EventKind::GaveUp => {
                call.gave_up = true;
                call.gave_up_at.get_or_insert(at);
            }
            EventKind::HungUp => call.hung_up = true,
            EventKind::Orphaned => {
                call.orphaned = true;
                // Without a release of the call server the next process cannot know that it has ended.
                let ended_at = call.ended_at.filter(|_| call.ended_by.is_some());
                call.release_due = ended_at.map(|at| at.plus(RELEASE_LIMIT_AFTER_DEATH).plus(TOLERANCE));
            }
            EventKind::Ready(text) => self.final_answer(at, sid, Final::Established, Some(text), call),
            // Releases may come until they are confirmed, also from a controller's next process.
            EventKind::Close(..) if call.gave_up && call.final_outcome.is_some() => {}
            EventKind::Close(..) => match call.final_outcome {
                Some((_, Final::Established)) => {
                    self.counts.released += u64::from(call.release_received.is_none());
                    call.release_received.get_or_insert(at);
                }
                _ => self.final_answer(at, sid, Final::Refused, None, call),
            },
            _ => {}
        }
    }

    fn set_up(&mut self, at: Time, source: &str, sid: &str, passed: (&str, &str, &str), call: &mut Call) {
        self.counts.attempts += 1;
        call.attempts += 1;
        let late = self.disturbed.contains(source);
        if late && call.outstanding.as_deref().is_some_and(|other| other != source) {
            return; // cancelled before it arrived
        }
        // The end of an earlier attempt does not concern the caller any more.
        (call.ended_at, call.release_due) = (None, None);
        let asked = call.ask.as_deref().map(|ask| (&*ask.class, &*ask.number, &*ask.text));
        if asked != Some(passed) {
            self.add_violation(Rule::Unchanged, sid, "class, number or description was changed");
        }
        let other = call.outstanding.replace(source.to_owned());
        // A cancellation on a disturbed path does not arrive.
        let lost_from = call.answer_lost_from.take();
        let ended = |other: &String| lost_from.as_ref() == Some(other);
        if let Some(other) = other.filter(|other| !self.disturbed.contains(other) && !ended(other)) {
            self.add_violation(
                Rule::OneAttempt,
                sid,
                &format!("sent to {source} while an attempt is outstanding at {other}"),
            );
        }
        if call.attempts > MAX_ATTEMPTS {
            self.add_violation(Rule::OneAttempt, sid, "a sixth attempt");
        }
        if at < call.no_attempt_before {
            self.add_violation(
                Rule::OneAttempt,
                sid,
                "sent again within 500 ms of an attempt that may still be outstanding",
            );
        }
        // One that was sent right before the final answer may arrive right after it.
        let answered_before =
            call.final_outcome.is_some_and(|(answered_at, _)| at > answered_at.plus(TOLERANCE));
        if answered_before && !call.gave_up && !late {
            self.add_violation(Rule::OneAttempt, sid, "sent after its final answer");
        }
        let left_at = call.gave_up_at.filter(|_| !late);
        if left_at.is_some_and(|left| at > left.plus(ATTEMPT_LIMIT_AFTER_LEAVING).plus(TOLERANCE)) {
            self.add_violation(Rule::OneAttempt, sid, "sent after its caller had left");
        }
        match self.listed_states.get(source) {
            None => self.add_violation(Rule::Drain, sid, &format!("sent to {source}, which is not listed")),
            Some((ListedState::Ready, _)) => {}
            Some(_) if late => {}
            Some((_, changed_at)) => {
                let late = at.since(changed_at.plus(DRAIN_GRACE).plus(TOLERANCE));
                if late > Span::default() {
                    let detail = format!("sent to {source} {} ms too late", late.0 / 1000);
                    self.add_violation(Rule::Drain, sid, &detail);
                }
            }
        }
    }

    fn final_answer(&mut self, at: Time, sid: &str, outcome: Final, text: Option<&str>, call: &mut Call) {
        if call.final_outcome.is_some() {
            return self.add_violation(Rule::OneAnswer, sid, "a second final answer");
        }
        call.final_outcome = Some((at, outcome));
        // An answer that crosses the caller's cancellation is not counted.
        if !call.gave_up {
            let left = call.ask.as_ref().map_or(0, |ask| ask.left_ms);
            if at > call.asked.plus(Span::from_millis(left)).plus(TOLERANCE) {
                self.add_violation(Rule::OneAnswer, sid, "its final answer came too late");
            }
            match outcome {
                Final::Established => self.counts.stood += 1,
                Final::Refused => self.counts.refused += 1,
            }
        }
        if text.is_some_and(|text| !call.answers.iter().any(|answer| answer == text)) {
            self.add_violation(Rule::Unchanged, sid, "answered with a description that no call server gave");
        }
    }

    fn end_call(&mut self, at: Time, within: Span, call: &mut Call) {
        if call.ended_at.is_none() {
            call.ended_at = Some(at);
            call.release_due = Some(at.plus(within).plus(TOLERANCE));
        }
    }

    fn server_died(&mut self, at: Time, source: &str) {
        let mut calls = std::mem::take(&mut self.calls);
        // Releases that have not arrived die with their call server.
        for call in calls.values_mut().filter(|call| call.ended_by.as_deref() == Some(source)) {
            if call.release_received.is_none() {
                call.ended_by = None;
                call.release_due = call.release_due.filter(|_| !call.orphaned);
            }
        }
        for call in calls.values_mut().filter(|call| call.outstanding.as_deref() == Some(source)) {
            call.outstanding = None;
            call.last_event = at;
            // An attempt whose answer was lost has ended before.
            if call.answer_lost_from.as_deref() != Some(source) {
                call.no_attempt_before = at.plus(RETRY_GAP);
            }
            // The next process of a controller cannot know of a call that never gets a release.
            if !call.answers.is_empty() && !call.orphaned {
                self.end_call(at, RELEASE_LIMIT_AFTER_DEATH, call);
            }
        }
        self.calls = calls;
    }

    /// Releases that were sent just now may have been lost: they count as not sent.
    fn disturb(&mut self, at: Time, source: &str) {
        self.disturbed.insert(source.to_owned());
        self.mark_lost_answers(at, source);
        for call in self.calls.values_mut() {
            let Some(ended_at) = call.ended_at.filter(|_| call.ended_by.as_deref() == Some(source)) else {
                continue;
            };
            if call.release_due.is_some()
                && call.release_received.is_none()
                && at.since(ended_at) < RELEASE_LIMIT
            {
                call.release_due = Some(ended_at.plus(RELEASE_LIMIT_AFTER_DEATH).plus(TOLERANCE));
            }
        }
    }

    /// Answers of a call server that their callers have not received may have been lost.
    fn mark_lost_answers(&mut self, at: Time, source: &str) {
        let unanswered = self.calls.values_mut().filter(|call| call.final_outcome.is_none());
        for call in unanswered {
            let marked = call.answer_lost_from.as_deref() == Some(source);
            if !call.answers.is_empty() && call.outstanding.as_deref() == Some(source) && !marked {
                call.answer_lost_from = Some(source.to_owned());
                call.no_attempt_before = at.plus(RETRY_GAP);
            }
        }
    }

    /// Checks for overdue answers and releases, and drops calls that ended long ago. At the `end` every call is kept and
    /// checked.
    fn sweep(&mut self, now: Time, end: bool) {
        let mut calls = std::mem::take(&mut self.calls);
        calls.retain(|sid, call| {
            let left = call.ask.as_ref().map_or(0, |ask| ask.left_ms);
            if call.final_outcome.is_none() && call.gave_up {
                self.counts.given_up += 1;
                call.final_outcome = Some((now, Final::Refused));
            }
            if call.final_outcome.is_none() && now > call.asked.plus(Span::from_millis(left + 1_000)) {
                self.add_violation(Rule::OneAnswer, sid, "no final answer");
                call.final_outcome = Some((now, Final::Refused));
                return true;
            }
            // A caller that cancelled while the answer was on its way is owed nothing.
            let Some((_, Final::Established)) = call.final_outcome else {
                return end || now.since(call.last_event) < RETENTION;
            };
            let release_owed = !call.hung_up && !call.gave_up;
            let since = call.final_outcome.map_or(now, |(at, _)| at);
            let release_due = call
                .release_due
                .map(|release_due| release_due.max(since.plus(RELEASE_LIMIT).plus(TOLERANCE)));
            let late = match (release_due, call.release_received) {
                (Some(release_due), None) => now > release_due,
                (Some(release_due), Some(release_received)) => release_received > release_due,
                (None, _) => false,
            };
            if release_owed && late {
                self.add_violation(Rule::Release, sid, "its caller did not receive the release in time");
                return false;
            }
            if end && call.hung_up && !call.gave_up && call.ended_at.is_none() {
                self.add_violation(
                    Rule::Release,
                    sid,
                    "its call server was never told that the caller hung up",
                );
            }
            let done = call.ended_at.is_some() && (call.release_received.is_some() || !release_owed);
            end || !done || now.since(call.last_event) < RETENTION
        });
        self.calls = calls;
    }

    /// The numbers of requested calls without a final answer and of established calls.
    pub fn pending(&self) -> (usize, usize) {
        let calls = self.calls.values();
        let open = calls.clone().filter(|call| call.final_outcome.is_none() && !call.gave_up).count();
        let established = |call: &&Call| {
            matches!(call.final_outcome, Some((_, Final::Established))) && call.ended_at.is_none()
        };
        (open, calls.filter(established).count())
    }

    /// Ends the check after the last event: overdue answers and releases are counted.
    pub fn finish(&mut self, now: Time) {
        self.sweep(now, true);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::time::Duration;

    /// The events of a call that keeps all rules; each test case below changes one of them.
    fn script() -> Vec<(u64, &'static str, EventKind)> {
        let ask = Ask { class: "c".into(), number: "n".into(), text: "t".into(), left_ms: 2_000 };
        vec![
            (0, "s0", EventKind::News(ListedState::Ready, Duration::ZERO)),
            (0, "s1", EventKind::News(ListedState::Ready, Duration::ZERO)),
            (10, "caller", EventKind::Asked(Rc::new(ask))),
            (20, "s0", EventKind::SetUp("c".into(), "n".into(), "t".into())),
            (400, "s0", EventKind::Cancel),
            (901, "s1", EventKind::SetUp("c".into(), "n".into(), "t".into())),
            (950, "s1", EventKind::Answered("a".into())),
            (960, "caller", EventKind::Ready("a".into())),
            (3_000, "s1", EventKind::Released),
            (3_010, "caller", EventKind::Close(16, None)),
        ]
    }

    fn violated_rules(script: &[(u64, &'static str, EventKind)]) -> Vec<Rule> {
        let mut audit = Audit::default();
        for (ms, source, kind) in script {
            let of_server = matches!(
                kind,
                EventKind::News(..)
                    | EventKind::Died
                    | EventKind::Tipped
                    | EventKind::Disturbed(_)
                    | EventKind::ConnectionsReset
            );
            let sid = if of_server { "" } else { "1" };
            audit.record(Time(1_000_000 + ms * 1000), source, sid, kind);
        }
        audit.finish(Time(60_000_000));
        audit.violations().keys().copied().collect()
    }

    #[test]
    fn each_fault_violates_its_rule_and_a_correct_call_none() {
        assert_eq!(violated_rules(&script()), []);
        type Change = fn(&mut Vec<(u64, &'static str, EventKind)>);
        let cases: &[(Rule, Change)] = &[
            (Rule::OneAnswer, |s| drop(s.drain(7..))),
            (Rule::OneAnswer, |s| s[7].0 = 2_100),
            (Rule::OneAnswer, |s| s.insert(8, (970, "caller", EventKind::Ready("a".into())))),
            (Rule::OneAttempt, |s| drop(s.remove(4))),
            (Rule::OneAttempt, |s| s[5].0 = 800),
            (Rule::OneAttempt, |s| {
                for n in 0..5 {
                    let sent = EventKind::SetUp("c".into(), "n".into(), "t".into());
                    s.insert(3, (19, "s0", EventKind::Refused));
                    s.insert(3, (19 - n, "s0", sent));
                }
            }),
            (Rule::Drain, |s| s[1].2 = EventKind::News(ListedState::Draining, Duration::from_millis(590))),
            (Rule::Drain, |s| drop(s.remove(1))),
            (Rule::Cold, |s| s.push((4_000, "s0", EventKind::Tipped))),
            (Rule::Release, |s| drop(s.pop())),
            (Rule::Release, |s| s[9].0 = 4_100),
            (Rule::Release, |s| s[8] = (3_000, "caller", EventKind::HungUp)),
            (Rule::Unchanged, |s| s[5].2 = EventKind::SetUp("c".into(), "n".into(), "u".into())),
            (Rule::Unchanged, |s| s[7].2 = EventKind::Ready("b".into())),
            (Rule::Release, |s| {
                s[8].2 = EventKind::Died;
                s[9].0 = 11_100;
            }),
        ];
        for (n, (rule, change)) in cases.iter().enumerate() {
            let mut script = script();
            change(&mut script);
            assert!(
                violated_rules(&script).contains(rule),
                "case {n}: the violation of {rule:?} is not detected"
            );
        }
    }

    #[test]
    fn cancelling_and_the_grace_periods_for_draining_and_dead_servers_violate_no_rule() {
        let mut script = script();
        script.truncate(4);
        script.push((300, "caller", EventKind::GaveUp));
        script.push((310, "s0", EventKind::Cancel));
        assert_eq!(violated_rules(&script), []);
        let mut script = self::script();
        script[1].2 = EventKind::News(ListedState::Draining, Duration::from_millis(700));
        script[8].2 = EventKind::Died;
        script[9].0 = 10_000;
        assert_eq!(violated_rules(&script), []);
    }

    /// Guards against a checker that excuses more than the disturbance, the reset or the end of the controller does.
    #[test]
    fn releases_and_attempts_are_excused_only_as_far_as_a_fault_outside_the_controller_reaches() {
        type Change = fn(&mut Vec<(u64, &'static str, EventKind)>);
        let cases: [(&[Rule], Change); 14] = [
            // A release that was on its way when its call server died: the controller must notice the death.
            (&[Rule::Release], |s| {
                s.insert(8, (2_900, "s1", EventKind::Disturbed(true)));
                s.insert(10, (3_100, "s1", EventKind::Died));
                s[11].0 = 11_100;
            }),
            (&[], |s| {
                s.insert(9, (3_005, "s1", EventKind::Died));
                s.insert(10, (3_010, "caller", EventKind::Orphaned));
                s.truncate(11);
            }),
            (&[], |s| {
                s.insert(8, (2_900, "s1", EventKind::Disturbed(true)));
                s[10].0 = 11_000;
            }),
            (&[Rule::Release], |s| {
                s.insert(8, (2_900, "s1", EventKind::Disturbed(true)));
                s[10].0 = 11_100;
            }),
            (&[Rule::Release], |s| {
                s.insert(8, (2_800, "s1", EventKind::Disturbed(true)));
                s.insert(9, (2_900, "s1", EventKind::Disturbed(false)));
                s[11].0 = 4_100;
            }),
            (&[Rule::Release], |s| {
                s.insert(9, (3_005, "s1", EventKind::ConnectionsReset));
                s[10].0 = 4_100;
            }),
            (&[], |s| {
                s.insert(9, (3_100, "caller", EventKind::Orphaned));
                s[10].0 = 11_000;
            }),
            (&[Rule::Release], |s| {
                s.insert(9, (3_100, "caller", EventKind::Orphaned));
                s[10].0 = 11_100;
            }),
            (&[Rule::OneAttempt], |s| s.insert(4, (300, "caller", EventKind::GaveUp))),
            (&[Rule::OneAttempt], |s| {
                s[4] = (30, "s0", EventKind::Answered("a".into()));
            }),
            (&[], |s| {
                s[4] = (30, "s0", EventKind::Answered("a".into()));
                s.insert(5, (35, "s0", EventKind::ConnectionsReset));
            }),
            // Its attempt ended with the reset: the 500 ms count from then, whenever its call server dies.
            (&[Rule::OneAttempt], |s| {
                s[4] = (30, "s0", EventKind::Answered("a".into()));
                s.insert(5, (35, "s0", EventKind::ConnectionsReset));
                s[6].0 = 480;
            }),
            (&[Rule::OneAttempt], |s| {
                s[4] = (30, "s0", EventKind::Answered("a".into()));
                s.insert(5, (35, "s0", EventKind::Disturbed(true)));
                s[6].0 = 480;
            }),
            (&[], |s| {
                s[4] = (30, "s0", EventKind::Answered("a".into()));
                s.insert(5, (35, "s0", EventKind::ConnectionsReset));
                s.insert(6, (500, "s0", EventKind::Died));
                s[7].0 = 600;
            }),
        ];
        for (n, (rules, change)) in cases.iter().enumerate() {
            let mut script = script();
            change(&mut script);
            assert_eq!(violated_rules(&script), *rules, "case {n}");
        }
    }
}
