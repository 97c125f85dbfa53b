//! The core, driven by given times.

use std::net::SocketAddr;
use std::rc::Rc;

use rstest::rstest;

use super::deadlines::Deadlines;
use super::*;
use crate::fleet::{Fleet, FleetConfig, Key};
use crate::interface::{Cause, Cell, ClassSettings, LoadField, ServerState, Span};
use crate::recovery::records::{Found, KeptCall, KeptLine};
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
        let class =
            ClassSettings { aim, worth: 1.0, cells: Some((0..9).map(Cell).collect()), ..Default::default() };
        let settings = Settings {
            gateways: 1,
            classes: vec![class],
            load_fields: vec![LoadField::Idle, LoadField::Circuits, LoadField::Pending],
            max_attempts: 5,
            may_cancel: true,
            may_say_retry_after: true,
            max_retry_after: Span::from_millis(2_000),
            release: Span::from_millis(500),
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
    /// Lets time pass, sweeping at each deadline.
    fn pass(&mut self, ms: u64) -> Vec<(Time, Effect)> {
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
    fn open(&mut self, n: u64, left_ms: u64) -> Vec<Effect> {
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
    /// Another process goes on with it.
    fn change_hands(&mut self) {
        let held = rmp_serde::to_vec_named(&self.core).expect("written");
        let core: Core = rmp_serde::from_slice(&held).expect("read");
        self.core = core.resume(self.core.config.clone());
    }
    fn says(&mut self, server: ServerId, n: u64, says: ServerEvent) -> Vec<Effect> {
        self.input(Input::Server(server, Sid::from_number(n), says))
    }
}

fn invited<'a>(effects: impl IntoIterator<Item = &'a Effect>) -> Option<ServerId> {
    effects.into_iter().find_map(|e| match e {
        Effect::Invite { server, .. } => Some(*server),
        _ => None,
    })
}

fn finals<'a>(effects: impl IntoIterator<Item = &'a Effect>) -> usize {
    effects.into_iter().filter(|e| matches!(e, Effect::Answer(..) | Effect::Refuse { .. })).count()
}

fn full() -> ServerEvent {
    ServerEvent::Refused(Refusal::Full, Cause::NoCircuit, LoadValues::new())
}

#[test]
fn deadlines_come_in_order_of_time_then_of_setting_and_can_be_moved() {
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
fn a_full_server_is_followed_by_another_and_the_last_by_one_refusal_at_once() {
    let mut drive = Drive::new(3);
    let mut server = invited(&drive.open(1, 9_000));
    let mut attempts = 0;
    let mut ends = 0;
    while let Some(at) = server {
        attempts += 1;
        let effects = drive.says(at, 1, full());
        ends += finals(&effects);
        server = invited(&effects);
    }
    assert!((1..=3).contains(&attempts));
    assert_eq!((ends, drive.core.pending_calls()), (1, 0));
    // Nothing more is said, whatever still comes of it.
    let server = ServerId { address: 1, port: 0 };
    assert_eq!(finals(&drive.says(server, 1, ServerEvent::Answered("late".into()))), 0);
    assert!(drive.pass(30_000).iter().all(|(_, e)| finals([e]) == 0));
}

#[rstest]
#[case::never_connected(Progress::NotConnected, 0)]
#[case::withdrawn(Progress::Queued, 0)]
#[case::may_have_run(Progress::Written, 500)]
fn how_far_an_attempt_had_come_tells_when_the_next_may_go(#[case] progress: Progress, #[case] wait_ms: u64) {
    let mut drive = Drive::new(2);
    let first = invited(&drive.open(1, 9_000)).expect("sent");
    let began = drive.now;
    let error = AttemptError { error: TransportError::ConnectionClosed, progress };
    let effects = drive.says(first, 1, ServerEvent::Lost(error));
    let (at, second) = match invited(&effects) {
        Some(server) => (drive.now, server),
        None => {
            let later = drive.pass(8_000);
            let found = later.iter().find_map(|(at, e)| Some((*at, invited([e])?)));
            found.expect("sent again")
        }
    };
    assert_ne!(first, second);
    let waited = at.since(began);
    assert!(waited >= Span::from_millis(wait_ms) && waited < Span::from_millis(wait_ms + 50), "{waited:?}");
}

#[test]
fn one_attempt_is_out_at_a_time_and_a_call_left_alone_ends_before_its_caller_gives_up() {
    let mut drive = Drive::new(3);
    let began = drive.now;
    let mut out = invited(&drive.open(1, 9_000)).into_iter().count();
    let (mut most, mut sends, mut ends, mut last_cancel) = (out, out, Vec::new(), None::<Time>);
    for (at, effect) in drive.pass(10_000) {
        match effect {
            Effect::Invite { .. } => {
                assert!(last_cancel.is_none_or(|c| at.since(c) >= Span::from_millis(500)));
                (out, sends) = (out + 1, sends + 1);
            }
            Effect::Cancel(..) => (out, last_cancel) = (out - 1, Some(at)),
            Effect::Refuse { .. } => ends.push(at),
            _ => {}
        }
        most = most.max(out);
    }
    assert_eq!((most, out, ends.len()), (1, 0, 1));
    assert!((2..=5).contains(&sends), "{sends} attempts");
    assert!(ends[0].since(began) < Span::from_millis(9_000));
}

#[test]
fn an_answer_that_crosses_the_cancel_is_ended_there_and_not_passed_on() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    let effects = drive.input(Input::HangUp(CLIENT, Sid::from_number(1), 16));
    assert!(effects.iter().any(|e| matches!(e, Effect::Cancel(s, _) if *s == server)));
    assert_eq!(finals(&effects), 0); // who gives up is owed no answer
    let effects = drive.says(server, 1, ServerEvent::Answered("y".into()));
    assert!(matches!(effects[..], [Effect::Bye(s, _, 16)] if s == server));
    assert_eq!(drive.core.counts().late_answers, 1);
}

/// Guards against a call that has run and is over while its caller is told nothing of its end: the answer is held up on
/// its way, the release overtakes it, and another attempt would go out for the call.
#[rstest]
#[case::ended_in_order(CAUSE_CLEARED)]
#[case::cut(CAUSE_CUT)]
fn a_release_ahead_of_its_answer_is_the_call_s_final_answer(#[case] cause: u16) {
    let mut drive = Drive::new(3);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    drive.pass(20);
    let effects = drive.says(server, 1, ServerEvent::Released(cause, LoadValues::new()));
    let failed = |e: &Effect| matches!(e, Effect::Refuse { client: CLIENT, retryable: false, .. });
    assert!(matches!(&effects[..], [e] if failed(e)), "{effects:?}");
    assert_eq!((drive.core.pending_calls(), drive.core.established_calls()), (0, 0));
    assert!(drive.core.module.in_flight().is_empty());
    // The answer comes after all: nothing is passed on, and the call does not stay up there.
    let effects = drive.says(server, 1, answered("late"));
    assert!(matches!(effects[..], [Effect::Bye(at, ..)] if at == server), "{effects:?}");
    let later = drive.pass(9_500);
    assert!(!later.iter().any(|(_, e)| matches!(e, Effect::Invite { .. })), "{later:?}");
    assert_eq!(finals(later.iter().map(|(_, e)| e)), 0);
    assert_eq!(drive.core.metrics().count("judge-call", Ending::Failed), 1);
}

/// The same where the attempt has just been given up, and the call is about to go elsewhere or has gone. A late answer
/// settles it: the call is ended there, and a release that crosses that end says nothing of the call that goes on.
#[rstest]
#[case::in_its_rest(100, false)]
#[case::out_elsewhere(1_000, false)]
#[case::after_a_late_answer(1_000, true)]
fn a_release_from_where_an_attempt_was_given_up(#[case] after_ms: u64, #[case] answered_late: bool) {
    let mut drive = Drive::new(2);
    let first = invited(&drive.open(1, 9_000)).expect("sent");
    let mut elsewhere = None;
    let given_up = (0..900).any(|_| {
        drive.pass(10);
        drive.core.open.get(&Sid::from_number(1)).is_some_and(|open| open.unsettled.contains(&first))
    });
    assert!(given_up);
    for (_, effect) in drive.pass(after_ms) {
        elsewhere = elsewhere.or(invited([&effect]));
    }
    assert_eq!(elsewhere.is_some(), after_ms > 500);
    if answered_late {
        drive.says(first, 1, answered("late"));
    }
    let effects = drive.says(first, 1, ServerEvent::Released(CAUSE_CLEARED, LoadValues::new()));
    assert_eq!(finals(&effects), usize::from(!answered_late), "{effects:?}");
    let withdrawn = effects.iter().any(|e| matches!(e, Effect::Cancel(at, _) if Some(*at) == elsewhere));
    assert_eq!(withdrawn, elsewhere.is_some() && !answered_late);
    assert_eq!(drive.core.module.in_flight().len(), usize::from(answered_late));
}

#[test]
fn a_call_whose_caller_lost_its_connection_is_withdrawn_and_one_that_stands_stays() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    drive.says(server, 1, ServerEvent::Answered("y".into()));
    drive.open(2, 9_000);
    let effects = drive.input(Input::ClientDown(CLIENT));
    assert!(matches!(effects[..], [Effect::Cancel(..), Effect::AnswerNoLongerOwed(_)]), "{effects:?}");
    assert_eq!((drive.core.pending_calls(), drive.core.established_calls()), (0, 1));
    // Its release waits for a caller's connection: for one that says something, or that says nothing for a moment.
    assert!(drive.says(server, 1, ServerEvent::Released(16, LoadValues::new())).is_empty());
    drive.pass(7_900);
    let next = Client { no: 2, ..CLIENT };
    assert!(drive.input(Input::ClientUp(next)).is_empty());
    let effects: Vec<Effect> = drive.pass(60).into_iter().map(|(_, effect)| effect).collect();
    assert!(matches!(effects[..], [Effect::Release(c, _, 16)] if c == next));
}

/// Guards against releases that are said to the front, which only tests, while callers are sent away: it knows of no
/// calls, and takes a test for failed that is answered by something else.
#[test]
fn a_release_is_never_said_to_whoever_tests_and_is_said_a_bounded_number_of_times() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    drive.says(server, 1, ServerEvent::Answered("y".into()));
    drive.input(Input::ClientDown(CLIENT));
    let front = Client { no: 2, ..CLIENT };
    drive.input(Input::ClientUp(front));
    drive.input(Input::HealthCheck(front));
    assert!(drive.says(server, 1, ServerEvent::Released(16, LoadValues::new())).is_empty());
    assert!(drive.pass(500).is_empty());
    let mut said = 0;
    for no in 3..20 {
        let caller = Client { no, ..CLIENT };
        drive.input(Input::ClientUp(caller));
        let effects = drive.input(Input::HangUp(caller, Sid::from_number(99), 16));
        said += effects.iter().filter(|e| matches!(e, Effect::Release(c, ..) if *c == caller)).count();
        drive.input(Input::ClientDown(caller));
    }
    assert_eq!(said, 4);
}

/// Guards against requests that are booked twice, never, or under another ending: one row for each way to end.
#[rstest]
#[case::stands("answered", [1, 0, 0])]
#[case::refused_by_all("full", [0, 1, 0])]
#[case::its_number_busy("busy", [0, 1, 0])]
#[case::time_over("overdue", [0, 0, 1])]
#[case::the_caller_gave_up("given up", [0, 0, 0])]
#[case::the_caller_s_connection_went("gone", [0, 0, 0])]
#[case::no_room("no room", [0, 1, 0])]
#[case::being_emptied("emptied", [0, 1, 0])]
#[case::a_figure_out_of_range("too long", [0, 0, 1])]
#[case::a_class_nobody_knows("no such class", [0, 0, 0])]
#[case::named_like_one_that_stood("again", [1, 0, 1])]
fn a_request_is_booked_once_under_its_class(#[case] way: &str, #[case] booked: [u64; 3]) {
    let mut drive = Drive::new(1);
    let server = ServerId { address: 1, port: 0 };
    match way {
        "no room" => drive.core.config.max_pending_calls = 0,
        "emptied" => drive.core.refuse_set_ups_from(Some(drive.now)),
        _ => {}
    }
    match way {
        "too long" => drop(drive.open(1, 99_000)),
        "no such class" => {
            let text = |text: &str| -> Rc<str> { text.into() };
            let (class, number, body) = (text("made-up"), text("7f"), text("x"));
            let (sid, left) = (Sid::from_number(1), Span::from_millis(900));
            let set_up = SetUp { sid, class, tenant: None, left, number, dest: None, redialled: false, body };
            drive.input(Input::SetUp(CLIENT, set_up));
        }
        _ => drop(drive.open(1, 900)),
    }
    let busy = ServerEvent::Refused(Refusal::Error, Cause::NumberBusy, LoadValues::new());
    match way {
        "answered" | "again" => drop(drive.says(server, 1, ServerEvent::Answered("y".into()))),
        "full" => drop(drive.says(server, 1, full())),
        "busy" => drop(drive.says(server, 1, busy)),
        "given up" => drop(drive.input(Input::HangUp(CLIENT, Sid::from_number(1), 16))),
        "gone" => drop(drive.input(Input::ClientDown(CLIENT))),
        _ => {}
    }
    if way == "again" {
        drive.open(1, 900);
    }
    drive.pass(5_000);
    drive.says(server, 1, ServerEvent::Released(16, LoadValues::new()));
    use crate::metrics::Ending::{Completed, Failed, Rejected};
    let figures = drive.core.metrics();
    let got = [Completed, Rejected, Failed].map(|how| figures.count("judge-call", how));
    assert_eq!(got, booked);
    assert!(!crate::metrics::format_metrics(figures, &drive.core.gauges(drive.now)).contains("made-up"));
    assert_eq!(drive.core.gauges(drive.now).pending, 0);
}

/// Calls at three call servers, of which one fails some, one is silent and one has just started; all that was asked of
/// the wires, in order. `hands`: after each input another process goes on.
fn story(hands: bool) -> Vec<String> {
    let mut drive = Drive::new(2);
    let mut config = drive.core.config.clone();
    (config.max_pending_calls, config.settings.cold, config.settings.cold_share) =
        (999, Span::from_millis(14_000), 0.36);
    (config.settings.overload_factor, config.settings.overload_time) = (2.5, Span::from_millis(1_000));
    assert!(drive.core.reconfigure(config));
    let hosts = vec![line("s2", 2, ServerState::Ready, drive.now.0 / 1_000)];
    drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
    let mut told = Vec::new();
    for n in 1..250 {
        let mut waiting: VecDeque<Effect> = drive.open(n, 3_000).into();
        waiting.extend(drive.pass(25).into_iter().map(|(_, effect)| effect));
        if n % 7 == 0 {
            waiting.extend(drive.input(Input::HangUp(CLIENT, Sid::from_number(n / 2), 16)));
        }
        while let Some(effect) = waiting.pop_front() {
            if hands {
                drive.change_hands();
            }
            if let Effect::Invite { server, sid, .. } = &effect {
                let says = match (server.address, sid.0[15] % 4) {
                    (1, 0) => Some(full()),
                    (1 | 3, _) => Some(ServerEvent::Answered("y".into())),
                    _ => None,
                };
                if let Some(says) = says {
                    drive.now = drive.now.plus(Span::from_millis(3));
                    waiting.extend(drive.input(Input::Server(*server, *sid, says)));
                }
            }
            // What was logged lately is each process's own.
            if !matches!(effect, Effect::Log(_)) {
                told.push(format!("{:?} {effect:?}", drive.now));
            }
        }
    }
    told
}

/// Guards against a successor that starts blind: windows, waits, who is silent, a cold server's rights, attempts made
/// and the time of a release all change hands, or it would send what the predecessor would not have sent.
#[test]
fn a_core_that_changes_hands_after_every_input_does_what_it_would_have_done() {
    let told = story(false);
    let count = |what: &str| told.iter().filter(|line| line.contains(what)).count();
    assert!(count("Invite") > 200 && count("Cancel") > 3 && count("Refuse") > 10, "a story with troubles");
    assert!(
        (5..150).contains(&count("Invite { server: ServerId { address: 3")),
        "rights of a cold server are few"
    );
    let other = story(true);
    let differs = told.iter().zip(&other).position(|(one, other)| one != other);
    assert_eq!((differs, told.len()), (None, other.len()), "{:?}", differs.map(|at| (&told[at], &other[at])));
}

/// Guards against gauges that are counted beside what is held.
#[test]
fn gauges_show_what_is_held_and_whom_the_module_avoids() {
    let mut drive = Drive::new(3);
    let first = invited(&drive.open(1, 9_000)).expect("sent");
    let gauges = |drive: &Drive| drive.core.gauges(drive.now);
    let shown = |g: crate::metrics::Gauges| (g.pending, g.members, g.members_unavailable);
    assert_eq!(shown(gauges(&drive)), (1, 3, 0));
    drive.says(first, 1, ServerEvent::Answered("y".into()));
    drive.open(2, 9_000);
    assert_eq!(shown(gauges(&drive)), (2, 3, 0), "one stands, one is owed its answer");
    // The other call's server says nothing.
    drive.pass(1_000);
    assert_eq!(gauges(&drive).members_unavailable, 1);
    let hosts = vec![line("s2", 2, ServerState::Gone, 0), line("s1", 1, ServerState::Draining, 0)];
    drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
    assert_eq!((gauges(&drive).members, gauges(&drive).members_unavailable), (2, 2));
}

/// Guards against a release written on a connection that its caller was just closing.
#[test]
fn a_release_that_was_not_confirmed_is_said_again_when_its_connection_goes() {
    for confirmed in [false, true] {
        let mut drive = Drive::new(1);
        let other = Client { no: 2, ..CLIENT };
        drive.input(Input::ClientUp(other));
        let server = invited(&drive.open(1, 9_000)).expect("sent");
        drive.says(server, 1, ServerEvent::Answered("y".into()));
        let effects = drive.says(server, 1, ServerEvent::Released(16, LoadValues::new()));
        assert!(matches!(effects[..], [Effect::Release(CLIENT, _, 16)]));
        if confirmed {
            drive.input(Input::ReleaseConfirmed(Sid::from_number(1)));
        }
        let effects = drive.input(Input::ClientDown(CLIENT));
        let again = effects.iter().any(|e| matches!(e, Effect::Release(c, _, 16) if *c == other));
        assert_eq!(again, !confirmed);
    }
}

#[test]
fn what_drains_or_is_gone_gets_nothing_and_has_its_waiting_set_ups_withdrawn() {
    for state in [ServerState::Draining, ServerState::Gone] {
        let mut drive = Drive::new(1);
        let server = invited(&drive.open(1, 9_000)).expect("sent");
        let hosts = vec![line("s0", 0, state, 0)];
        let effects = drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
        assert!(effects.iter().any(|e| matches!(e, Effect::CancelQueued(s) if *s == server)));
        let effects = drive.open(2, 9_000);
        assert_eq!((invited(&effects), finals(&effects)), (None, 1));
    }
}

/// A vanished machine that comes back, or is listed as gone for a while, may hold its calls all the same: guards
/// against calls released while they stood.
#[test]
fn a_return_or_a_listing_as_gone_releases_no_call() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    drive.says(server, 1, ServerEvent::Answered("y".into()));
    for (state, born) in [(ServerState::Gone, 0), (ServerState::Ready, 1_000_500)] {
        let hosts = vec![line("s0", 0, state, born)];
        let effects = drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
        assert!(!effects.iter().any(|e| matches!(e, Effect::Release(..))), "{effects:?}");
    }
    let effects = drive.input(Input::ServerDied(server));
    assert!(matches!(effects[..], [Effect::Release(CLIENT, _, CAUSE_CUT)]));
}

#[test]
fn a_directory_speaks_for_its_own_servers_only() {
    let mut drive = Drive::new(1);
    let hosts = vec![line("club", 1, ServerState::Ready, 0)];
    drive.input(Input::List { source: Source::DnsSd, whole: true, hosts });
    drive.input(Input::List { source: Source::DnsSd, whole: true, hosts: Vec::new() });
    let states: Vec<_> = drive.core.listed_servers().map(|l| (l.host.as_str(), l.state)).collect();
    assert_eq!(states, [("s0", ServerState::Ready), ("club", ServerState::Gone)]);
}

#[test]
fn no_more_calls_are_held_than_the_settings_allow_nor_of_a_class_not_known() {
    let mut drive = Drive::new(1);
    for n in 1..=3 {
        assert_eq!(finals(&drive.open(n, 9_000)), 0);
    }
    let effects = drive.open(4, 9_000);
    assert!(
        matches!(effects[..], [Effect::Refuse { retryable: true, retry_after, .. }] if retry_after > Span::default())
    );
    assert_eq!(drive.core.pending_calls(), 3);
}

fn answered(text: &str) -> ServerEvent {
    ServerEvent::Answered(text.into())
}

/// Guards against memory that grows all day: call servers are replaced by new ones throughout it.
#[test]
fn of_call_servers_that_have_left_nothing_is_kept() {
    let mut drive = Drive::new(1);
    for n in 1..=300_u16 {
        let (old, new) = (format!("s{}", n - 1), format!("s{n}"));
        let hosts = vec![line(&old, n - 1, ServerState::Gone, 0), line(&new, n, ServerState::Ready, 0)];
        drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
        drive.pass(1_000);
        assert!(drive.core.servers.len() <= 22, "{} after {n} s", drive.core.servers.len());
        assert_eq!(drive.core.servers.len(), drive.core.hosts.len());
    }
    let forgotten =
        drive.pass(30_000).into_iter().filter(|(_, e)| matches!(e, Effect::ForgetServer(_))).count();
    assert!(forgotten > 0);
    assert_eq!((drive.core.servers.len(), drive.core.deadlines.len()), (1, 0));
}

/// Guards against memory that grows all day: callers and calls are always new.
#[test]
fn of_callers_and_calls_that_are_over_nothing_is_kept() {
    let mut drive = Drive::new(1);
    for n in 0..2_000 {
        let client = Client { front: FrontKind::JsonLines, no: 10 + n };
        drive.input(Input::ClientUp(client));
        // Some are refused by the throttle, some by the call server.
        match invited(&drive.open(n, 9_000)) {
            Some(server) if n % 3 == 0 => {
                drive.says(server, n, full());
            }
            Some(server) => {
                drive.says(server, n, answered("y"));
                drive.says(server, n, ServerEvent::Released(16, LoadValues::new()));
            }
            None => {}
        }
        drive.input(Input::ClientDown(client));
        drive.pass(20);
    }
    drive.pass(60_000);
    let book = &drive.core.book;
    assert!(book.is_empty(), "{book:?}");
    let core = &drive.core;
    assert_eq!((core.open.len(), core.names.len(), core.clients.len(), core.deadlines.len()), (0, 0, 1, 0));
    assert_eq!(core.held_bytes, 0);
}

/// Guards against calls left standing at a call server whose place another has taken.
#[test]
fn a_new_call_server_at_an_old_address_ends_the_calls_of_the_one_that_was_there() {
    let mut drive = Drive::new(1);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    drive.says(server, 1, answered("y"));
    let at_old = DirectoryEntry { host: "new".into(), ..line("s0", 0, ServerState::Ready, 5) };
    let news = |hosts| Input::List { source: Source::Bulletin, whole: false, hosts };
    let effects = drive.input(news(vec![at_old.clone()]));
    assert!(
        effects.iter().any(|e| matches!(e, Effect::ServerReplaced(old) if *old == server)),
        "{effects:?}"
    );
    let effects = drive.input(Input::ServerDied(server));
    assert!(matches!(effects[..], [Effect::Release(CLIENT, _, CAUSE_CUT)]), "{effects:?}");
    // The list's own word of the old one comes late; the new one stays.
    for state in [ServerState::Draining, ServerState::Gone] {
        let effects = drive.input(news(vec![line("s0", 0, state, 0)]));
        assert!(!effects.iter().any(|e| matches!(e, Effect::ServerReplaced(_))), "{effects:?}");
    }
    let next = invited(&drive.open(2, 9_000)).expect("sent");
    assert_ne!(next, server);
}

/// Guards against calls ended by answers that bring more than belongs to them.
#[test]
fn second_copies_and_answers_under_unknown_names_are_dropped() {
    let mut drive = Drive::new(2);
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    assert!(drive.says(server, 77, answered("z")).is_empty());
    assert_eq!(finals(&drive.says(server, 1, answered("y"))), 1);
    assert!(drive.says(server, 1, answered("y")).is_empty());
    assert_eq!((drive.core.established_calls(), drive.core.counts().unknown_answers), (1, 1));
    // One that crossed our giving it up must not stay up.
    let server = invited(&drive.open(2, 9_000)).expect("sent");
    drive.input(Input::HangUp(CLIENT, Sid::from_number(2), 16));
    let effects = drive.says(server, 2, answered("y"));
    assert!(matches!(effects[..], [Effect::Bye(..)]), "{effects:?}");
}

/// Guards against a view of the load that drifts from what is on the wire: the module would keep calls from a server
/// for set-ups that are long over, or press one by those that it has forgotten.
#[test]
fn the_module_sees_out_what_is_out_whatever_happens() {
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
        let out = drive.core.open.get(&Sid::from_number(back)).and_then(|open| open.out);
        let at = out.map_or(ServerId { address: 1, port: 0 }, |o| o.server);
        let lost =
            |progress| ServerEvent::Lost(AttemptError { error: TransportError::ConnectionClosed, progress });
        match draw(9) {
            0 => drop(drive.says(at, back, full())),
            1 => drop(drive.says(at, back, answered("y"))),
            2 => drop(drive.says(at, back, lost(Progress::Written))),
            3 => drop(drive.says(at, back, lost(Progress::Queued))),
            4 => drop(drive.input(Input::HangUp(CLIENT, Sid::from_number(back), 16))),
            5 => drop(drive.says(at, back, ServerEvent::Released(41, LoadValues::new()))),
            6 if n % 50 == 0 => {
                let state = [ServerState::Ready, ServerState::Draining, ServerState::Gone][draw(3) as usize];
                let server = draw(3) as u16;
                let hosts = vec![line(&format!("s{server}"), server, state, n)];
                drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
            }
            _ => drop(drive.open(n, 500 + draw(4_000))),
        }
        drive.pass(draw(60));
        let wire = drive.core.open.values().filter_map(|open| Some((open.out?.server, open.id)));
        let wire: std::collections::BTreeSet<_> = wire.collect();
        assert_eq!(drive.core.module.in_flight(), wire, "after step {n}");
        most = most.max(wire.len());
    }
    assert!(most > 3, "never more than {most} out");
}

/// Guards against a caller who ends hundreds of calls that nobody knows, each at every call server.
#[test]
fn a_caller_ends_so_many_calls_that_nobody_knows_and_no_more() {
    let mut drive = Drive::new(2);
    let mut byes = 0;
    for n in 0..1_000 {
        let effects = drive.input(Input::HangUp(CLIENT, Sid::from_number(n), 16));
        assert!(matches!(effects.first(), Some(Effect::ConfirmRelease(..))), "{effects:?}");
        byes += effects.iter().filter(|e| matches!(e, Effect::Bye(..))).count();
    }
    assert_eq!(byes, 2 * 256);
}

/// Guards against a release that is said to whoever came last: it may be one of those who only fill the door.
#[test]
fn a_release_goes_to_a_caller_whose_calls_have_stood_rather_than_to_the_newest() {
    let mut drive = Drive::new(1);
    let caller = |no| Client { front: FrontKind::JsonLines, no };
    let server = invited(&drive.open(1, 9_000)).expect("sent");
    drive.says(server, 1, answered("y"));
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
    drive.says(server, 2, answered("y"));
    // One that never had a call that stood.
    drive.input(Input::ClientUp(caller(3)));
    set_up.sid = Sid::from_number(3);
    drive.input(Input::SetUp(caller(3), set_up));
    drive.input(Input::ClientDown(CLIENT));
    let effects = drive.says(server, 1, ServerEvent::Released(16, LoadValues::new()));
    assert!(matches!(effects[..], [Effect::Release(to, _, 16)] if to == caller(2)), "{effects:?}");
}

/// A controller of three that holds no list yet, and a datagram of another that found `s1` full.
fn one_of_three() -> (Drive, Vec<u8>) {
    let mut drive = Drive::new(0);
    let config = FleetConfig { controllers: 3, ..FleetConfig::default() };
    drive.core.config.fleet = Some(config.clone());
    let mut other = Fleet::new(FleetConfig { me: 1, ..config }, drive.now);
    other.observe(drive.now, Key::of("s1"), Span::from_millis(4_000), false);
    let mut out = Vec::new();
    other.poll(drive.now, &mut out);
    (drive, out.remove(0).bytes)
}

fn listed(drive: &mut Drive) {
    let hosts = (0..2).map(|n| line(&format!("s{n}"), n, ServerState::Ready, 0)).collect();
    drive.input(Input::List { source: Source::Bulletin, whole: true, hosts });
}

/// The host that a call for the cell of `s1` goes to.
fn host_asked(drive: &mut Drive) -> Option<String> {
    let (class, number, body): (Rc<str>, Rc<str>, Rc<str>) = ("judge-call".into(), "7f".into(), "x".into());
    let (left, dest) = (Span::from_millis(9_000), Some(Cell(1)));
    let set_up =
        SetUp { sid: Sid::from_number(1), class, tenant: None, left, number, dest, redialled: false, body };
    let effects = drive.input(Input::SetUp(CLIENT, set_up));
    let to = effects.iter().find_map(|e| match e {
        Effect::Invite { server, .. } => Some(*server),
        _ => None,
    })?;
    drive.core.servers.get(&to).map(|listed| listed.line.host.clone())
}

#[rstest]
#[case::nothing_heard(&[], "s1")]
#[case::heard_while_listed(&["list", "mail"], "s0")]
#[case::heard_before_the_list(&["mail", "list"], "s0")]
fn what_another_saw_counts_whether_the_call_server_was_listed_by_then_or_not(
    #[case] order: &[&str],
    #[case] to: &str,
) {
    let (mut drive, mail) = one_of_three();
    for step in order {
        match *step {
            "mail" => drop(drive.input(Input::PeerMessage(1, mail.clone()))),
            _ => listed(&mut drive),
        }
    }
    if order.is_empty() {
        listed(&mut drive);
    }
    assert_eq!(host_asked(&mut drive).as_deref(), Some(to));
}

#[test]
fn what_this_controller_finds_full_it_tells_the_others_within_a_round() {
    let (mut drive, _) = one_of_three();
    listed(&mut drive);
    let sid = Sid::from_number(1);
    assert_eq!(host_asked(&mut drive).as_deref(), Some("s1"));
    let server = drive.core.open[&sid].out.expect("out").server;
    let full =
        ServerEvent::Refused(Refusal::Full, Cause::ProcessorFullFor(Span::from_millis(3_000)), Vec::new());
    drive.input(Input::Server(server, sid, full));
    let told = drive.pass(20);
    let told = told.iter().filter(|(_, e)| matches!(e, Effect::SendToPeers(Some(1 | 2), _)));
    assert!(told.count() > 0);
    let view = drive.core.fleet_view(drive.now);
    let wait = view.iter().find(|v| v.host == "s1").and_then(|v| v.newest).map(|o| o.wait);
    assert_eq!(wait, Some(Span::from_millis(3_000)));
}

#[test]
fn without_a_fleet_nothing_is_told_and_a_datagram_is_the_modules_alone() {
    let (mut drive, mail) = one_of_three();
    drive.core.config.fleet = None;
    listed(&mut drive);
    assert!(drive.input(Input::PeerMessage(1, mail)).is_empty());
    assert_eq!(host_asked(&mut drive).as_deref(), Some("s1"));
    assert!(drive.pass(5_000).iter().all(|(_, effect)| !matches!(effect, Effect::SendToPeers(..))));
    assert!(drive.core.fleet_view(drive.now).is_empty() && drive.core.fleet_counts().is_none());
}

/// What a controller kept whose call 7 stood at `s0`, of a list of a cold `s0` and a warm `s1`.
fn records(born_ms: u64) -> Found {
    let listed = |host: &str, cell, born| KeptLine {
        source: Source::Bulletin,
        line: line(host, cell, ServerState::Ready, born),
        told_ms: 1_000_000,
    };
    let call = KeptCall { host: "s0".into(), born_ms, number: "7f".into(), since_ms: 999_000, leg: false };
    Found {
        calls: vec![(Sid::from_number(7), call)],
        list: vec![listed("s0", 0, 999_900), listed("s1", 1, 0)],
        ..Found::default()
    }
}

fn came_back(found: &Found) -> (Drive, Vec<Effect>) {
    let mut drive = Drive::new(0);
    drive.core.config.settings.cold = Span::from_millis(14_000);
    drive.core.config.settings.cold_share = 0.36;
    let mut out = Vec::new();
    drive.core.record_changes();
    drive.core.recover(drive.now, RecoveryConfig::default(), found, &mut out);
    (drive, out)
}

#[test]
fn after_a_power_loss_nothing_leaves_at_first_and_cold_call_servers_come_last() {
    let (mut drive, _) = came_back(&records(999_900));
    assert!(drive.core.ready(), "the list of the records serves");
    drive.pass(499);
    assert!(invited(&drive.open(1, 9_000)).is_none(), "what the life before had out is not over yet");
    drive.pass(2_900);
    // Work rises; the cold first choice gets none of it.
    let to = (10..20).find_map(|n| invited(&drive.open(n, 9_000))).expect("some are taken");
    assert_eq!(drive.core.servers[&to].line.host, "s1");
    drive.pass(200);
    assert_eq!(drive.core.returns.changes.as_ref().map(Vec::len), Some(2), "two lines are kept again");
    let cold = *drive.core.servers.iter().find(|(_, l)| l.line.host == "s0").expect("listed").0;
    let given = (30..400).any(|n| {
        drive.pass(50);
        let to = invited(&drive.open(n, 9_000));
        if let Some(to) = to {
            drive.says(to, n, ServerEvent::Answered("y".into()));
        }
        to == Some(cold)
    });
    assert!(given, "full service: by its rights the cold one has its turn");
}

#[rstest]
#[case::the_process_it_stood_at(999_900, true)]
#[case::another_process_of_that_name(5, false)]
fn a_call_of_the_records_stands_where_its_process_lives_and_is_released_where_not(
    #[case] born_ms: u64,
    #[case] stands: bool,
) {
    let (mut drive, out) = came_back(&records(born_ms));
    let sid = Sid::from_number(7);
    assert_eq!(drive.core.book.standing.contains_key(&sid), stands);
    assert_eq!(out.iter().any(|e| matches!(e, Effect::RestoreCall { sid: s, .. } if *s == sid)), stands);
    let said = |out: &[Effect]| out.iter().any(|e| matches!(e, Effect::Release(_, s, 41) if *s == sid));
    assert_eq!(said(&out), !stands);
    // The list names a later process of that name: what stood at the earlier one is over.
    let hosts = vec![line("s0", 0, ServerState::Ready, 1_000_500)];
    let told = drive.input(Input::List { source: Source::Bulletin, whole: false, hosts });
    assert_eq!(said(&told), stands);
    let kept = drive.core.take_changes();
    assert!(kept.contains(&Change::Ends(sid)), "{kept:?}");
}

/// Guards against a tenant's calls that are counted as another's, or as nobody's.
#[test]
fn a_call_is_that_tenants_which_it_names_by_its_place_in_the_settings_of_now() {
    let mut drive = Drive::new(1);
    let asks = |drive: &Drive, attrs: &str| {
        let line = format!(r#"{{"msg":"open","sid":"9b1f03aa5c7e2d41","attrs":{attrs},"text":"x"}}"#);
        match crate::front::jsonl::parse(line.as_bytes()) {
            Ok(crate::front::jsonl::Line::Open(set_up)) => drive.core.tenant_of(&set_up),
            other => panic!("{other:?}"),
        }
    };
    let named = |name: &str| format!(r#"{{"class":"judge-call","left":"9","key":"7f","tenant":"{name}"}}"#);
    let reread = |drive: &mut Drive, tenants: &[&str]| {
        let tenants = tenants.iter().map(|name| Rc::from(*name)).collect();
        assert!(drive.core.reconfigure(CoreConfig { tenants, ..drive.core.config.clone() }));
    };
    reread(&mut drive, &["a", "b"]);
    assert_eq!(["a", "b", "c", ""].map(|name| asks(&drive, &named(name))), [Some(0), Some(1), None, None]);
    assert_eq!(asks(&drive, r#"{"class":"judge-call","left":"9","key":"7f"}"#), None);
    reread(&mut drive, &["c", "a"]);
    assert_eq!(["a", "b", "c"].map(|name| asks(&drive, &named(name))), [Some(1), None, Some(0)]);
}
