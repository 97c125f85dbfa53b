//! Tests of the core with simulated time.

use std::net::SocketAddr;
use std::rc::Rc;

use rstest::rstest;

use super::deadlines::Deadlines;
use super::*;
use crate::fleet::observation::encode_listing;
use crate::fleet::{Fleet, FleetConfig, Key};
use crate::interface::{Cause, Cell, ClassSettings, LoadField, ServerState, Span};
use crate::recovery::records::{CallRecord, DirectoryRecord, Records};
use crate::recovery::RecoveryConfig;

const CLIENT: Client = Client { front: FrontKind::JsonLines, no: 1 };

struct Drive {
    core: Core,
    now: Time,
}

fn line(host: &str, cell: u16, state: ServerState, started_ms: u64) -> DirectoryEntry {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + cell));
    DirectoryEntry {
        host: host.into(),
        address,
        protocol: Protocol::Sip,
        cell: Cell(cell),
        zone: 0,
        started_ms,
        state,
    }
}

impl Drive {
    fn new(servers: u16) -> Drive {
        let aim = Span::from_millis(2_000);
        let class = ClassSettings {
            setup_target: aim,
            worth: 1.0,
            cells: Some((0..9).map(Cell).collect()),
            ..Default::default()
        };
        let settings = Settings {
            controllers: 1,
            classes: vec![class],
            load_fields: vec![LoadField::Idle, LoadField::Circuits, LoadField::Pending],
            max_attempts: 5,
            may_cancel: true,
            may_send_retry_after: true,
            max_retry_after: Span::from_millis(2_000),
            resend_delay: Span::from_millis(500),
            tick: Span::from_millis(5),
            ..Settings::default()
        };
        let config = CoreConfig {
            settings,
            classes: vec!["judge-call".into()],
            tenants: Vec::new(),
            max_pending_calls: 3,
            max_pending_bytes: 1 << 20,
            max_caller_wait: Span::from_millis(9_000),
            seed: 1,
            fleet: None,
        };
        let mut drive = Drive { core: Core::new(config), now: Time(1_000_000_000) };
        drive.input(Input::ClientUp(CLIENT));
        let hosts = (0..servers).map(|n| line(&format!("s{n}"), n, ServerState::Ready, 0)).collect();
        drive.input(Input::List { source: Source::Bulletin, whole: true, hosts });
        drive
    }
    fn input(&mut self, input: Input) -> Vec<Effect> {
        let mut out = Vec::new();
        self.core.handle(self.now, input, &mut out);
        out
    }
    /// Advances the time, handling each deadline when it is due.
    fn advance(&mut self, ms: u64) -> Vec<(Time, Effect)> {
        let end = self.now.plus(Span::from_millis(ms));
        let mut seen = Vec::new();
        while let Some(at) = self.core.deadlines.next_at().filter(|at| *at <= end) {
            self.now = self.now.max(at);
            let mut out = Vec::new();
            self.core.expire_deadlines(self.now, &mut out);
            seen.extend(out.into_iter().map(|effect| (self.now, effect)));
        }
        self.now = end;
        seen
    }
    fn set_up(&mut self, n: u64, left_ms: u64) -> Vec<Effect> {
        let (class, number, body): (Rc<str>, Rc<str>, Rc<str>) =
            ("judge-call".into(), "7f".into(), "x".into());
        let left = Span::from_millis(left_ms);
        let sid = Sid::from_number(n);
        let dest = Some(Cell(0));
        self.input(Input::SetUp(
            CLIENT,
            SetUp { sid, class, tenant: None, left, number, dest, redialled: false, body },
        ))
    }
    /// Hands the core over to another process.
    fn take_over(&mut self) {
        let held = rmp_serde::to_vec_named(&self.core).expect("written");
        let core: Core = rmp_serde::from_slice(&held).expect("read");
        self.core = core.resume(self.core.config.clone());
    }
    fn server_event(&mut self, server: ServerId, n: u64, event: ServerEvent) -> Vec<Effect> {
        self.input(Input::Server(server, Sid::from_number(n), event))
    }
}

fn invited<'a>(effects: impl IntoIterator<Item = &'a Effect>) -> Option<ServerId> {
    effects.into_iter().find_map(|e| match e {
        Effect::Invite { server, .. } => Some(*server),
        _ => None,
    })
}

fn final_answers<'a>(effects: impl IntoIterator<Item = &'a Effect>) -> usize {
    effects.into_iter().filter(|e| matches!(e, Effect::Answer(..) | Effect::Refuse { .. })).count()
}

fn refused_as_full() -> ServerEvent {
    ServerEvent::Refused(Refusal::Full, Cause::NoCircuit, LoadValues::new())
}

#[test]
fn deadlines_are_ordered_by_time_then_by_insertion_and_can_be_moved() {
    let mut deadlines = Deadlines::default();
    for (at, key) in [(30, 'c'), (10, 'a'), (20, 'x'), (10, 'b')] {
        deadlines.set(Time(at), key);
    }
    deadlines.set(Time(40), 'x');
    deadlines.clear(&'c');
    assert_eq!((deadlines.len(), deadlines.next_at()), (3, Some(Time(10))));
    assert_eq!(std::iter::from_fn(|| deadlines.pop(Time(39))).collect::<String>(), "ab");
    assert_eq!((deadlines.pop(Time(40)), deadlines.is_empty()), (Some('x'), true));
}

#[test]
fn a_refused_call_goes_to_the_next_server_and_after_the_last_is_refused_once_without_delay() {
    let mut drive = Drive::new(3);
    let mut server = invited(&drive.set_up(1, 9_000));
    let mut attempts = 0;
    let mut ends = 0;
    while let Some(at) = server {
        attempts += 1;
        let effects = drive.server_event(at, 1, refused_as_full());
        ends += final_answers(&effects);
        server = invited(&effects);
    }
    assert!((1..=3).contains(&attempts));
    assert_eq!((ends, drive.core.pending_calls()), (1, 0));
    // A late answer causes no further final answer.
    let server = ServerId { address: 1, port: 0 };
    assert_eq!(final_answers(&drive.server_event(server, 1, ServerEvent::Answered("late".into()))), 0);
    assert!(drive.advance(30_000).iter().all(|(_, e)| final_answers([e]) == 0));
}

#[rstest]
#[case::never_connected(Progress::NotConnected, 0)]
#[case::queued(Progress::Queued, 0)]
#[case::may_have_run(Progress::Written, 500)]
fn the_progress_of_a_lost_attempt_decides_when_the_next_may_be_sent(
    #[case] progress: Progress,
    #[case] wait_ms: u64,
) {
    let mut drive = Drive::new(2);
    let first = invited(&drive.set_up(1, 9_000)).expect("sent");
    let began = drive.now;
    let error = AttemptError { error: TransportError::ConnectionClosed, progress };
    let effects = drive.server_event(first, 1, ServerEvent::Lost(error));
    let (at, second) = match invited(&effects) {
        Some(server) => (drive.now, server),
        None => {
            let later = drive.advance(8_000);
            let found = later.iter().find_map(|(at, e)| Some((*at, invited([e])?)));
            found.expect("sent again")
        }
    };
    assert_ne!(first, second);
    let waited = at.since(began);
    assert!(waited >= Span::from_millis(wait_ms) && waited < Span::from_millis(wait_ms + 50), "{waited:?}");
}

#[test]
fn one_attempt_is_outstanding_at_a_time_and_an_unanswered_call_ends_before_its_caller_s_wait() {
    let mut drive = Drive::new(3);
    let began = drive.now;
    let mut outstanding = invited(&drive.set_up(1, 9_000)).into_iter().count();
    let (mut most, mut sends, mut ends, mut last_cancel) =
        (outstanding, outstanding, Vec::new(), None::<Time>);
    for (at, effect) in drive.advance(10_000) {
        match effect {
            Effect::Invite { .. } => {
                assert!(last_cancel.is_none_or(|c| at.since(c) >= Span::from_millis(500)));
                (outstanding, sends) = (outstanding + 1, sends + 1);
            }
            Effect::Cancel(..) => (outstanding, last_cancel) = (outstanding - 1, Some(at)),
            Effect::Refuse { .. } => ends.push(at),
            _ => {}
        }
        most = most.max(outstanding);
    }
    assert_eq!((most, outstanding, ends.len()), (1, 0, 1));
    assert!((2..=5).contains(&sends), "{sends} attempts");
    assert!(ends[0].since(began) < Span::from_millis(9_000));
}

#[test]
fn a_call_answered_after_its_cancel_is_ended_at_the_server_and_not_passed_on() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    let effects = drive.input(Input::HangUp(CLIENT, Sid::from_number(1), 16));
    assert!(effects.iter().any(|e| matches!(e, Effect::Cancel(s, _) if *s == server)));
    assert_eq!(final_answers(&effects), 0); // a caller that hangs up gets no answer
    let effects = drive.server_event(server, 1, ServerEvent::Answered("y".into()));
    assert!(matches!(effects[..], [Effect::Bye(s, _, 16)] if s == server));
    assert_eq!(drive.core.counts().late_answers, 1);
}

/// Guards against another attempt for a call that has run and ended, whose caller is not told: the answer is delayed and
/// the release overtakes it.
#[rstest]
#[case::ended_in_order(CAUSE_CLEARED)]
#[case::cut(CAUSE_CUT)]
fn a_release_that_overtakes_the_answer_fails_the_call(#[case] cause: u16) {
    let mut drive = Drive::new(3);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    drive.advance(20);
    let effects = drive.server_event(server, 1, ServerEvent::Released(cause, LoadValues::new()));
    let failed = |e: &Effect| matches!(e, Effect::Refuse { client: CLIENT, retryable: false, .. });
    assert!(matches!(&effects[..], [e] if failed(e)), "{effects:?}");
    assert_eq!((drive.core.pending_calls(), drive.core.established_calls()), (0, 0));
    assert!(drive.core.module.in_flight().is_empty());
    // The late answer is not passed on, and the call is ended at the call server.
    let effects = drive.server_event(server, 1, answered("late"));
    assert!(matches!(effects[..], [Effect::Bye(at, ..)] if at == server), "{effects:?}");
    let later = drive.advance(9_500);
    assert!(!later.iter().any(|(_, e)| matches!(e, Effect::Invite { .. })), "{later:?}");
    assert_eq!(final_answers(later.iter().map(|(_, e)| e)), 0);
    assert_eq!(drive.core.metrics().count("judge-call", Ending::Failed), 1);
}

/// The same where the attempt has been cancelled, and the next attempt is about to be sent or has been sent. After a late
/// answer the call is ended at the first server, and a release that crosses that end does not affect the call.
#[rstest]
#[case::before_the_next_attempt(100, false)]
#[case::during_the_next_attempt(1_000, false)]
#[case::after_a_late_answer(1_000, true)]
fn a_release_from_the_server_of_a_cancelled_attempt(#[case] after_ms: u64, #[case] answered_late: bool) {
    let mut drive = Drive::new(2);
    let first = invited(&drive.set_up(1, 9_000)).expect("sent");
    let mut next_server = None;
    let cancelled = (0..900).any(|_| {
        drive.advance(10);
        drive.core.pending.get(&Sid::from_number(1)).is_some_and(|call| call.unsettled.contains(&first))
    });
    assert!(cancelled);
    for (_, effect) in drive.advance(after_ms) {
        next_server = next_server.or(invited([&effect]));
    }
    assert_eq!(next_server.is_some(), after_ms > 500);
    if answered_late {
        drive.server_event(first, 1, answered("late"));
    }
    let effects = drive.server_event(first, 1, ServerEvent::Released(CAUSE_CLEARED, LoadValues::new()));
    assert_eq!(final_answers(&effects), usize::from(!answered_late), "{effects:?}");
    let next_cancelled =
        effects.iter().any(|e| matches!(e, Effect::Cancel(at, _) if Some(*at) == next_server));
    assert_eq!(next_cancelled, next_server.is_some() && !answered_late);
    assert_eq!(drive.core.module.in_flight().len(), usize::from(answered_late));
}

#[test]
fn a_closed_connection_cancels_its_pending_calls_and_keeps_its_established_ones() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    drive.server_event(server, 1, ServerEvent::Answered("y".into()));
    drive.set_up(2, 9_000);
    let effects = drive.input(Input::ClientDown(CLIENT));
    assert!(matches!(effects[..], [Effect::Cancel(..), Effect::AnswerNoLongerOwed(_)]), "{effects:?}");
    assert_eq!((drive.core.pending_calls(), drive.core.established_calls()), (0, 1));
    // Its release waits for another caller's connection: one with a message, or a new one that is silent for 50 ms.
    assert!(drive.server_event(server, 1, ServerEvent::Released(16, LoadValues::new())).is_empty());
    drive.advance(7_900);
    let next = Client { no: 2, ..CLIENT };
    assert!(drive.input(Input::ClientUp(next)).is_empty());
    let effects: Vec<Effect> = drive.advance(60).into_iter().map(|(_, effect)| effect).collect();
    assert!(matches!(effects[..], [Effect::Release(c, _, 16)] if c == next));
}

/// Guards against releases that are sent to the platform's health checker during a drain: it knows of no calls, and
/// counts a health check as failed if the reply is something else.
#[test]
fn a_release_is_never_sent_to_a_health_checker_and_is_sent_a_limited_number_of_times() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    drive.server_event(server, 1, ServerEvent::Answered("y".into()));
    drive.input(Input::ClientDown(CLIENT));
    let checker = Client { no: 2, ..CLIENT };
    drive.input(Input::ClientUp(checker));
    drive.input(Input::HealthCheck(checker));
    assert!(drive.server_event(server, 1, ServerEvent::Released(16, LoadValues::new())).is_empty());
    assert!(drive.advance(500).is_empty());
    let mut sent = 0;
    for no in 3..20 {
        let caller = Client { no, ..CLIENT };
        drive.input(Input::ClientUp(caller));
        let effects = drive.input(Input::HangUp(caller, Sid::from_number(99), 16));
        sent += effects.iter().filter(|e| matches!(e, Effect::Release(c, ..) if *c == caller)).count();
        drive.input(Input::ClientDown(caller));
    }
    assert_eq!(sent, 4);
}

/// Guards against requests that are counted twice, never, or under a wrong ending: one case for each ending.
#[rstest]
#[case::established("answered", [1, 0, 0])]
#[case::refused_by_all("full", [0, 1, 0])]
#[case::number_busy("busy", [0, 1, 0])]
#[case::timed_out("timed out", [0, 0, 1])]
#[case::cancelled_by_the_caller("hang-up", [0, 0, 0])]
#[case::client_connection_closed("closed", [0, 0, 0])]
#[case::no_capacity("no capacity", [0, 1, 0])]
#[case::draining("draining", [0, 1, 0])]
#[case::value_out_of_range("too long", [0, 0, 1])]
#[case::unknown_class("unknown class", [0, 0, 0])]
#[case::same_identifier_as_an_established_call("duplicate", [1, 0, 1])]
fn a_request_is_counted_once_under_its_class(#[case] scenario: &str, #[case] expected: [u64; 3]) {
    let mut drive = Drive::new(1);
    let server = ServerId { address: 1, port: 0 };
    match scenario {
        "no capacity" => drive.core.config.max_pending_calls = 0,
        "draining" => drive.core.refuse_set_ups_from(Some(drive.now)),
        _ => {}
    }
    match scenario {
        "too long" => drop(drive.set_up(1, 99_000)),
        "unknown class" => {
            let text = |text: &str| -> Rc<str> { text.into() };
            let (class, number, body) = (text("made-up"), text("7f"), text("x"));
            let (sid, left) = (Sid::from_number(1), Span::from_millis(900));
            let set_up = SetUp { sid, class, tenant: None, left, number, dest: None, redialled: false, body };
            drive.input(Input::SetUp(CLIENT, set_up));
        }
        _ => drop(drive.set_up(1, 900)),
    }
    let busy = ServerEvent::Refused(Refusal::Error, Cause::NumberBusy, LoadValues::new());
    match scenario {
        "answered" | "duplicate" => drop(drive.server_event(server, 1, ServerEvent::Answered("y".into()))),
        "full" => drop(drive.server_event(server, 1, refused_as_full())),
        "busy" => drop(drive.server_event(server, 1, busy)),
        "hang-up" => drop(drive.input(Input::HangUp(CLIENT, Sid::from_number(1), 16))),
        "closed" => drop(drive.input(Input::ClientDown(CLIENT))),
        _ => {}
    }
    if scenario == "duplicate" {
        drive.set_up(1, 900);
    }
    drive.advance(5_000);
    drive.server_event(server, 1, ServerEvent::Released(16, LoadValues::new()));
    use crate::metrics::Ending::{Completed, Failed, Rejected};
    let metrics = drive.core.metrics();
    let got = [Completed, Rejected, Failed].map(|ending| metrics.count("judge-call", ending));
    assert_eq!(got, expected);
    assert!(!crate::metrics::format_metrics(metrics, &drive.core.gauges(drive.now)).contains("made-up"));
    assert_eq!(drive.core.gauges(drive.now).pending, 0);
}

/// Calls at three call servers, of which one refuses some, one is silent and one has just started. Returns all effects in
/// order. `takeovers`: after each effect another process takes the core over.
fn run_scenario(takeovers: bool) -> Vec<String> {
    let mut drive = Drive::new(2);
    let mut config = drive.core.config.clone();
    (config.max_pending_calls, config.settings.warm_up, config.settings.cold_share) =
        (999, Span::from_millis(14_000), 0.36);
    (config.settings.overload_factor, config.settings.overload_time) = (2.5, Span::from_millis(1_000));
    assert!(drive.core.reconfigure(config));
    let hosts = vec![line("s2", 2, ServerState::Ready, drive.now.0 / 1_000)];
    drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
    let mut log = Vec::new();
    for n in 1..250 {
        let mut waiting: VecDeque<Effect> = drive.set_up(n, 3_000).into();
        waiting.extend(drive.advance(25).into_iter().map(|(_, effect)| effect));
        if n % 7 == 0 {
            waiting.extend(drive.input(Input::HangUp(CLIENT, Sid::from_number(n / 2), 16)));
        }
        while let Some(effect) = waiting.pop_front() {
            if takeovers {
                drive.take_over();
            }
            if let Effect::Invite { server, sid, .. } = &effect {
                let event = match (server.address, sid.0[15] % 4) {
                    (1, 0) => Some(refused_as_full()),
                    (1 | 3, _) => Some(ServerEvent::Answered("y".into())),
                    _ => None,
                };
                if let Some(event) = event {
                    drive.now = drive.now.plus(Span::from_millis(3));
                    waiting.extend(drive.input(Input::Server(*server, *sid, event)));
                }
            }
            // The limits on repeated log lines are not part of the state that is handed over.
            if !matches!(effect, Effect::Log(_)) {
                log.push(format!("{:?} {effect:?}", drive.now));
            }
        }
    }
    log
}

/// Guards against state that a takeover loses: windows, waits, silent servers, permits of a cold server, attempts made and
/// the earliest time of the next attempt. Without it the new process would send what the old one would not have sent.
#[test]
fn a_core_handed_over_after_every_effect_behaves_as_without_takeovers() {
    let log = run_scenario(false);
    let count = |effect: &str| log.iter().filter(|line| line.contains(effect)).count();
    assert!(count("Invite") > 200 && count("Cancel(") > 3 && count("Refuse") > 10, "the scenario has faults");
    assert!(
        (5..150).contains(&count("Invite { server: ServerId { address: 3")),
        "a cold server has few permits"
    );
    let other = run_scenario(true);
    let differs = log.iter().zip(&other).position(|(one, other)| one != other);
    assert_eq!((differs, log.len()), (None, other.len()), "{:?}", differs.map(|at| (&log[at], &other[at])));
}

/// Guards against gauges that drift from the state that they describe.
#[test]
fn gauges_show_calls_held_and_servers_avoided() {
    let mut drive = Drive::new(3);
    let first = invited(&drive.set_up(1, 9_000)).expect("sent");
    let gauges = |drive: &Drive| drive.core.gauges(drive.now);
    let shown = |g: crate::metrics::Gauges| (g.pending, g.members, g.members_unavailable);
    assert_eq!(shown(gauges(&drive)), (1, 3, 0));
    drive.server_event(first, 1, ServerEvent::Answered("y".into()));
    drive.set_up(2, 9_000);
    assert_eq!(shown(gauges(&drive)), (2, 3, 0), "one call is established, one is pending");
    // The other call's server gives no answer.
    drive.advance(1_000);
    assert_eq!(gauges(&drive).members_unavailable, 1);
    let hosts = vec![line("s2", 2, ServerState::Gone, 0), line("s1", 1, ServerState::Draining, 0)];
    drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
    assert_eq!((gauges(&drive).members, gauges(&drive).members_unavailable), (2, 2));
}

/// Guards against a release that is lost because it was written while the caller was closing the connection.
#[test]
fn an_unconfirmed_release_is_sent_again_when_its_connection_closes() {
    for confirmed in [false, true] {
        let mut drive = Drive::new(1);
        let other = Client { no: 2, ..CLIENT };
        drive.input(Input::ClientUp(other));
        let server = invited(&drive.set_up(1, 9_000)).expect("sent");
        drive.server_event(server, 1, ServerEvent::Answered("y".into()));
        let effects = drive.server_event(server, 1, ServerEvent::Released(16, LoadValues::new()));
        assert!(matches!(effects[..], [Effect::Release(CLIENT, _, 16)]));
        if confirmed {
            drive.input(Input::ReleaseConfirmed(Sid::from_number(1)));
        }
        let effects = drive.input(Input::ClientDown(CLIENT));
        let resent = effects.iter().any(|e| matches!(e, Effect::Release(c, _, 16) if *c == other));
        assert_eq!(resent, !confirmed);
    }
}

#[test]
fn a_draining_or_gone_server_gets_no_calls_and_its_queued_set_ups_are_cancelled() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut drive = Drive::new(1);
        let server = invited(&drive.set_up(1, 9_000)).expect("sent");
        let hosts = vec![line("s0", 0, state, 0)];
        let effects = drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
        assert!(effects.iter().any(|e| matches!(e, Effect::CancelQueued(s) if *s == server)));
        let effects = drive.set_up(2, 9_000);
        assert_eq!((invited(&effects), final_answers(&effects)), (None, 1));
    }
}

/// A call server that is listed as gone may still have its calls. Which calls a restart has ended depends on the
/// connections that carried their answers, which only the protocol adapters know: the core releases none by itself.
/// Guards against releases of calls that are established, and against a restart that the adapters are not told of,
/// whatever the state that the call server is listed in.
#[rstest]
#[case(ServerState::Ready)]
#[case(ServerState::Draining)]
#[case(ServerState::Gone)]
fn a_listed_restart_is_reported_to_the_adapters_and_releases_no_call_itself(#[case] restarted: ServerState) {
    let mut drive = Drive::new(1);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    drive.server_event(server, 1, ServerEvent::Answered("y".into()));
    for (state, born) in [(ServerState::Gone, 0), (restarted, 1_000_500)] {
        let hosts = vec![line("s0", 0, state, born)];
        let effects = drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
        let reports =
            |e: &&Effect| matches!(e, Effect::ServerRestarted(s, Time(1_000_500_000)) if *s == server);
        assert_eq!(effects.iter().filter(reports).count(), usize::from(born > 0), "{effects:?}");
        assert!(!effects.iter().any(|e| matches!(e, Effect::Release(..))), "{effects:?}");
    }
    let effects = drive.input(Input::ServerDied(server));
    assert!(matches!(effects[..], [Effect::Release(CLIENT, _, CAUSE_CUT)]));
}

#[test]
fn a_complete_list_removes_only_servers_of_its_own_directory() {
    let mut drive = Drive::new(1);
    let hosts = vec![line("club", 1, ServerState::Ready, 0)];
    drive.input(Input::List { source: Source::DnsSd, whole: true, hosts });
    drive.input(Input::List { source: Source::DnsSd, whole: true, hosts: Vec::new() });
    let states: Vec<_> = drive.core.listed_servers().map(|l| (l.host.as_str(), l.state)).collect();
    assert_eq!(states, [("s0", ServerState::Ready), ("club", ServerState::Gone)]);
}

#[test]
fn no_more_calls_are_pending_than_the_settings_allow() {
    let mut drive = Drive::new(1);
    for n in 1..=3 {
        assert_eq!(final_answers(&drive.set_up(n, 9_000)), 0);
    }
    let effects = drive.set_up(4, 9_000);
    assert!(
        matches!(effects[..], [Effect::Refuse { retryable: true, retry_after, .. }] if retry_after > Span::default())
    );
    assert_eq!(drive.core.pending_calls(), 3);
}

fn answered(text: &str) -> ServerEvent {
    ServerEvent::Answered(text.into())
}

/// Guards against unbounded memory: call servers are replaced by new ones all the time.
#[test]
fn no_state_is_kept_of_servers_that_have_left() {
    let mut drive = Drive::new(1);
    for n in 1..=300_u16 {
        let (old, new) = (format!("s{}", n - 1), format!("s{n}"));
        let hosts = vec![line(&old, n - 1, ServerState::Gone, 0), line(&new, n, ServerState::Ready, 0)];
        drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
        drive.advance(1_000);
        assert!(drive.core.servers.len() <= 22, "{} after {n} s", drive.core.servers.len());
        assert_eq!(drive.core.servers.len(), drive.core.hosts.len());
    }
    let forgotten =
        drive.advance(30_000).into_iter().filter(|(_, e)| matches!(e, Effect::ForgetServer(_))).count();
    assert!(forgotten > 0);
    assert_eq!((drive.core.servers.len(), drive.core.deadlines.len()), (1, 0));
}

/// Guards against unbounded memory: client connections and calls are always new.
#[test]
fn no_state_is_kept_of_closed_connections_and_ended_calls() {
    let mut drive = Drive::new(1);
    for n in 0..2_000 {
        let client = Client { front: FrontKind::JsonLines, no: 10 + n };
        drive.input(Input::ClientUp(client));
        // Some are refused by adaptive throttling, some by the call server.
        match invited(&drive.set_up(n, 9_000)) {
            Some(server) if n % 3 == 0 => {
                drive.server_event(server, n, refused_as_full());
            }
            Some(server) => {
                drive.server_event(server, n, answered("y"));
                drive.server_event(server, n, ServerEvent::Released(16, LoadValues::new()));
            }
            None => {}
        }
        drive.input(Input::ClientDown(client));
        drive.advance(20);
    }
    drive.advance(60_000);
    let registry = &drive.core.registry;
    assert!(registry.is_empty(), "{registry:?}");
    let core = &drive.core;
    assert_eq!((core.pending.len(), core.sids.len(), core.clients.len(), core.deadlines.len()), (0, 0, 1, 0));
    assert_eq!(core.pending_bytes, 0);
}

/// Guards against calls that stay established at a call server whose address another has taken.
#[test]
fn a_new_server_at_an_address_ends_the_calls_of_the_previous_one() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    drive.server_event(server, 1, answered("y"));
    let at_old = DirectoryEntry { host: "new".into(), ..line("s0", 0, ServerState::Ready, 5) };
    let update = |hosts| Input::List { source: Source::Bulletin, whole: false, hosts };
    let effects = drive.input(update(vec![at_old.clone()]));
    assert!(
        effects.iter().any(|e| matches!(e, Effect::ServerReplaced(old) if *old == server)),
        "{effects:?}"
    );
    let effects = drive.input(Input::ServerDied(server));
    assert!(matches!(effects[..], [Effect::Release(CLIENT, _, CAUSE_CUT)]), "{effects:?}");
    // Later list entries for the old server do not affect the new one.
    for state in [ServerState::Draining, ServerState::Gone] {
        let effects = drive.input(update(vec![line("s0", 0, state, 0)]));
        assert!(!effects.iter().any(|e| matches!(e, Effect::ServerReplaced(_))), "{effects:?}");
    }
    let next = invited(&drive.set_up(2, 9_000)).expect("sent");
    assert_ne!(next, server);
}

/// Guards against answers that affect calls which they do not belong to.
#[test]
fn repeated_answers_and_answers_for_unknown_calls_are_ignored() {
    let mut drive = Drive::new(2);
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    assert!(drive.server_event(server, 77, answered("z")).is_empty());
    assert_eq!(final_answers(&drive.server_event(server, 1, answered("y"))), 1);
    assert!(drive.server_event(server, 1, answered("y")).is_empty());
    assert_eq!((drive.core.established_calls(), drive.core.counts().unknown_answers), (1, 1));
    // A call whose answer crossed our cancel must not stay established.
    let server = invited(&drive.set_up(2, 9_000)).expect("sent");
    drive.input(Input::HangUp(CLIENT, Sid::from_number(2), 16));
    let effects = drive.server_event(server, 2, answered("y"));
    assert!(matches!(effects[..], [Effect::Bye(..)]), "{effects:?}");
}

/// Guards against a decision module whose count of outstanding attempts drifts from those sent: it would keep calls from a
/// server for attempts that are over, or overload one with attempts that it does not count.
#[test]
fn the_decision_module_and_the_core_agree_on_the_outstanding_attempts() {
    let mut drive = Drive::new(3);
    let mut seed = 7_u64;
    let mut draw = |n: u64| {
        seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (seed >> 33) % n
    };
    let mut most = 0;
    for n in 0..4_000 {
        drive.core.config.max_pending_calls = 50;
        let back = n - draw(20).min(n);
        let outstanding = drive.core.pending.get(&Sid::from_number(back)).and_then(|call| call.outstanding);
        let at = outstanding.map_or(ServerId { address: 1, port: 0 }, |attempt| attempt.server);
        let lost =
            |progress| ServerEvent::Lost(AttemptError { error: TransportError::ConnectionClosed, progress });
        match draw(9) {
            0 => drop(drive.server_event(at, back, refused_as_full())),
            1 => drop(drive.server_event(at, back, answered("y"))),
            2 => drop(drive.server_event(at, back, lost(Progress::Written))),
            3 => drop(drive.server_event(at, back, lost(Progress::Queued))),
            4 => drop(drive.input(Input::HangUp(CLIENT, Sid::from_number(back), 16))),
            5 => drop(drive.server_event(at, back, ServerEvent::Released(41, LoadValues::new()))),
            6 if n % 50 == 0 => {
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][draw(3) as usize];
                let server = draw(3) as u16;
                let hosts = vec![line(&format!("s{server}"), server, state, n)];
                drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
            }
            _ => drop(drive.set_up(n, 500 + draw(4_000))),
        }
        drive.advance(draw(60));
        let sent = drive.core.pending.values().filter_map(|call| Some((call.outstanding?.server, call.id)));
        let sent: std::collections::BTreeSet<_> = sent.collect();
        assert_eq!(drive.core.module.in_flight(), sent, "after step {n}");
        most = most.max(sent.len());
    }
    assert!(most > 3, "never more than {most} outstanding");
}

/// Guards against a caller that ends hundreds of unknown calls, each at every call server.
#[test]
fn hang_ups_for_unknown_calls_are_limited_per_connection() {
    let mut drive = Drive::new(2);
    let mut byes = 0;
    for n in 0..1_000 {
        let effects = drive.input(Input::HangUp(CLIENT, Sid::from_number(n), 16));
        assert!(matches!(effects.first(), Some(Effect::ConfirmRelease(..))), "{effects:?}");
        byes += effects.iter().filter(|e| matches!(e, Effect::Bye(..))).count();
    }
    assert_eq!(byes, 2 * 256);
}

/// Guards against sending a release to the newest connection whatever it is: it may be one of a flood of idle connections.
#[test]
fn a_release_goes_to_a_connection_that_has_had_established_calls_rather_than_to_the_newest() {
    let mut drive = Drive::new(1);
    let caller = |no| Client { front: FrontKind::JsonLines, no };
    let server = invited(&drive.set_up(1, 9_000)).expect("sent");
    drive.server_event(server, 1, answered("y"));
    drive.input(Input::ClientUp(caller(2)));
    let mut set_up = SetUp {
        sid: Sid::from_number(2),
        class: "judge-call".into(),
        tenant: None,
        left: Span::from_millis(2_000),
        number: "7f".into(),
        dest: Some(Cell(0)),
        redialled: false,
        body: "x".into(),
    };
    drive.input(Input::SetUp(caller(2), set_up.clone()));
    drive.server_event(server, 2, answered("y"));
    // A connection without any established call.
    drive.input(Input::ClientUp(caller(3)));
    set_up.sid = Sid::from_number(3);
    drive.input(Input::SetUp(caller(3), set_up));
    drive.input(Input::ClientDown(CLIENT));
    let effects = drive.server_event(server, 1, ServerEvent::Released(16, LoadValues::new()));
    assert!(matches!(effects[..], [Effect::Release(to, _, 16)] if to == caller(2)), "{effects:?}");
}

/// One of three controllers, without a list so far, and a datagram of another that found `s1` full.
fn fleet_of_three() -> (Drive, Vec<u8>) {
    let mut drive = Drive::new(0);
    let config = FleetConfig { controllers: 3, ..FleetConfig::default() };
    drive.core.config.fleet = Some(config.clone());
    let mut other = Fleet::new(FleetConfig { me: 1, ..config }, drive.now);
    other.observe(drive.now, Key::of("s1"), Span::from_millis(4_000), false);
    let mut out = Vec::new();
    other.poll(drive.now, &mut out);
    (drive, out.remove(0).bytes)
}

fn list_servers(drive: &mut Drive) {
    let hosts = (0..2).map(|n| line(&format!("s{n}"), n, ServerState::Ready, 0)).collect();
    drive.input(Input::List { source: Source::Bulletin, whole: true, hosts });
}

/// Host name of the call server that a call for the cell of `s1` is sent to.
fn invited_host(drive: &mut Drive) -> Option<String> {
    let (class, number, body): (Rc<str>, Rc<str>, Rc<str>) = ("judge-call".into(), "7f".into(), "x".into());
    let (left, dest) = (Span::from_millis(9_000), Some(Cell(1)));
    let set_up =
        SetUp { sid: Sid::from_number(1), class, tenant: None, left, number, dest, redialled: false, body };
    let effects = drive.input(Input::SetUp(CLIENT, set_up));
    let to = effects.iter().find_map(|e| match e {
        Effect::Invite { server, .. } => Some(*server),
        _ => None,
    })?;
    drive.core.servers.get(&to).map(|listed| listed.entry.host.clone())
}

#[rstest]
#[case::no_observation(&[], "s1")]
#[case::observed_while_listed(&["list", "peer message"], "s0")]
#[case::observed_before_the_list(&["peer message", "list"], "s0")]
fn a_peer_s_observation_counts_whether_or_not_the_server_was_listed_before(
    #[case] order: &[&str],
    #[case] to: &str,
) {
    let (mut drive, message) = fleet_of_three();
    for step in order {
        match *step {
            "peer message" => drop(drive.input(Input::PeerMessage(1, message.clone()))),
            _ => list_servers(&mut drive),
        }
    }
    if order.is_empty() {
        list_servers(&mut drive);
    }
    assert_eq!(invited_host(&mut drive).as_deref(), Some(to));
}

/// Guards against a drain that a peer reports right after our own directory's entry and that counts as the older one, since
/// the age of a report is overestimated: it was ignored for good.
#[rstest]
#[case::later(2, "s0")]
#[case::long_before(-1_000, "s1")]
fn a_peer_s_drain_counts_unless_our_own_entry_is_certainly_newer(
    #[case] after_own_ms: i64,
    #[case] to: &str,
) {
    let mut drive = Drive::new(0);
    let config = FleetConfig { controllers: 3, ..FleetConfig::default() };
    drive.core.config.fleet = Some(config.clone());
    let mut other = Fleet::new(FleetConfig { me: 1, ..config }, drive.now);
    let draining = encode_listing(ServerState::Draining);
    let wait = Span::from_millis(after_own_ms.unsigned_abs());
    if after_own_ms < 0 {
        other.observe(drive.now, Key::of_listing("s1"), draining, false);
        drive.now = drive.now.plus(wait);
        list_servers(&mut drive);
    } else {
        list_servers(&mut drive);
        drive.now = drive.now.plus(wait);
        other.observe(drive.now, Key::of_listing("s1"), draining, false);
    }
    let mut out = Vec::new();
    other.poll(drive.now, &mut out);
    drive.now = drive.now.plus(Span::from_millis(1));
    drive.input(Input::PeerMessage(1, out.remove(0).bytes));
    assert_eq!(invited_host(&mut drive).as_deref(), Some(to));
}

#[test]
fn a_refusal_as_full_is_sent_to_the_peers_within_20_ms() {
    let (mut drive, _) = fleet_of_three();
    list_servers(&mut drive);
    let sid = Sid::from_number(1);
    assert_eq!(invited_host(&mut drive).as_deref(), Some("s1"));
    let server = drive.core.pending[&sid].outstanding.expect("sent").server;
    let full =
        ServerEvent::Refused(Refusal::Full, Cause::ProcessorFullFor(Span::from_millis(3_000)), Vec::new());
    drive.input(Input::Server(server, sid, full));
    let effects = drive.advance(20);
    let datagrams = effects.iter().filter(|(_, e)| matches!(e, Effect::SendToPeers(Some(1 | 2), _)));
    assert!(datagrams.count() > 0);
    let view = drive.core.fleet_view(drive.now);
    let wait = view.iter().find(|v| v.host == "s1").and_then(|v| v.newest).map(|o| o.wait);
    assert_eq!(wait, Some(Span::from_millis(3_000)));
}

#[test]
fn without_a_fleet_nothing_is_sent_and_a_datagram_goes_to_the_decision_module_only() {
    let (mut drive, message) = fleet_of_three();
    drive.core.config.fleet = None;
    list_servers(&mut drive);
    assert!(drive.input(Input::PeerMessage(1, message)).is_empty());
    assert_eq!(invited_host(&mut drive).as_deref(), Some("s1"));
    assert!(drive.advance(5_000).iter().all(|(_, effect)| !matches!(effect, Effect::SendToPeers(..))));
    assert!(drive.core.fleet_view(drive.now).is_empty() && drive.core.fleet_counts().is_none());
}

/// The records of a controller with call 7 at `s0`, and a list with a cold `s0` and a warm `s1`.
fn records(born_ms: u64) -> Records {
    let listed = |host: &str, cell, started_ms| DirectoryRecord {
        source: Source::Bulletin,
        entry: line(host, cell, ServerState::Ready, started_ms),
        listed_ms: 1_000_000,
    };
    let call = CallRecord {
        host: "s0".into(),
        started_ms: born_ms,
        number: "7f".into(),
        since_ms: 999_000,
        leg: false,
    };
    Records {
        calls: vec![(Sid::from_number(7), call)],
        directory: vec![listed("s0", 0, 999_900), listed("s1", 1, 0)],
        ..Records::default()
    }
}

fn recovered(found: &Records) -> (Drive, Vec<Effect>) {
    let mut drive = Drive::new(0);
    drive.core.config.settings.warm_up = Span::from_millis(14_000);
    drive.core.config.settings.cold_share = 0.36;
    let mut out = Vec::new();
    drive.core.record_changes();
    drive.core.recover(drive.now, RecoveryConfig::default(), found, &mut out);
    (drive, out)
}

#[test]
fn after_a_power_loss_nothing_is_sent_at_first_and_cold_servers_get_calls_last() {
    let (mut drive, _) = recovered(&records(999_900));
    assert!(drive.core.ready(), "the recorded list is in use");
    drive.advance(499);
    assert!(
        invited(&drive.set_up(1, 9_000)).is_none(),
        "attempts of the previous run may still be outstanding"
    );
    drive.advance(2_900);
    // Set-ups are admitted at a rising rate; the cold preferred server gets none.
    let to = (10..20).find_map(|n| invited(&drive.set_up(n, 9_000))).expect("some are admitted");
    assert_eq!(drive.core.servers[&to].entry.host, "s1");
    drive.advance(200);
    assert_eq!(drive.core.recovery.changes.as_ref().map(Vec::len), Some(2), "two entries are recorded again");
    let cold = *drive.core.servers.iter().find(|(_, l)| l.entry.host == "s0").expect("listed").0;
    let reached = (30..400).any(|n| {
        drive.advance(50);
        let to = invited(&drive.set_up(n, 9_000));
        if let Some(to) = to {
            drive.server_event(to, n, ServerEvent::Answered("y".into()));
        }
        to == Some(cold)
    });
    assert!(reached, "in full service the cold server gets calls as its permits allow");
}

#[rstest]
#[case::same_process(999_900, true)]
#[case::restarted_process(5, false)]
fn a_recorded_call_is_restored_if_its_process_still_runs_and_else_released(
    #[case] born_ms: u64,
    #[case] restored: bool,
) {
    let (mut drive, out) = recovered(&records(born_ms));
    let sid = Sid::from_number(7);
    assert_eq!(drive.core.registry.established.contains_key(&sid), restored);
    assert_eq!(out.iter().any(|e| matches!(e, Effect::RestoreCall { sid: s, .. } if *s == sid)), restored);
    let released = |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::Release(_, s, 41) if *s == sid));
    assert_eq!(released(&out), !restored);
    // The list names a later process of that host: the calls of the earlier one are over.
    let hosts = vec![line("s0", 0, ServerState::Ready, 1_000_500)];
    let effects = drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
    assert_eq!(released(&effects), restored);
    let changes = drive.core.take_changes();
    assert!(changes.contains(&RecordChange::CallEnded(sid)), "{changes:?}");
}

/// Guards against calls that are attributed to another tenant, or to none.
#[test]
fn a_call_s_tenant_is_looked_up_in_the_present_settings() {
    let mut drive = Drive::new(1);
    let tenant_of = |drive: &Drive, attrs: &str| {
        let line = format!(r#"{{"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{attrs},"text":"x"}}"#);
        match crate::front::jsonl::parse(line.as_bytes()) {
            Ok(crate::front::jsonl::Line::Open(set_up)) => drive.core.tenant_of(&set_up),
            other => panic!("{other:?}"),
        }
    };
    let named = |name: &str| format!(r#"{{"class":"judge-call","left":"9","key":"7f","tenant":"{name}"}}"#);
    let reload = |drive: &mut Drive, tenants: &[&str]| {
        let tenants = tenants.iter().map(|name| Rc::from(*name)).collect();
        assert!(drive.core.reconfigure(CoreConfig { tenants, ..drive.core.config.clone() }));
    };
    reload(&mut drive, &["a", "b"]);
    assert_eq!(
        ["a", "b", "c", ""].map(|name| tenant_of(&drive, &named(name))),
        [Some(0), Some(1), None, None]
    );
    assert_eq!(tenant_of(&drive, r#"{"class":"judge-call","left":"9","key":"7f"}"#), None);
    reload(&mut drive, &["c", "a"]);
    assert_eq!(["a", "b", "c"].map(|name| tenant_of(&drive, &named(name))), [Some(1), None, Some(0)]);
}
