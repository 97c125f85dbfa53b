//! Connections to call servers, driven by given times.

use super::*;
use crate::core::Refusal;
use crate::interface::Time;

const NOTIFY: &str = "NOTIFY sip:a@b SIP/2.0\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n";
const SERVER: ServerId = ServerId { address: 1, port: 0 };

struct Drive {
    trunks: Trunks,
    now: Time,
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn sid(n: u64) -> Sid {
    Sid::from_number(n)
}

impl Drive {
    fn new() -> (Drive, u64) {
        let mut drive = Drive { trunks: Trunks::default(), now: at(0) };
        let mut todo = AdapterOutput::default();
        drive.trunks.connect(SERVER, ([127, 0, 0, 1], 1).into(), None, &mut todo);
        (drive, todo.connects[0].0)
    }
    fn invite(&mut self, n: u64) -> AdapterOutput {
        let mut todo = AdapterOutput::default();
        let (number, left) = ("7f".into(), Span::from_millis(2_000));
        self.trunks.invite(SERVER, sid(n), "judge-call", &number, left, "x", self.now, &mut todo);
        todo
    }
    fn hears(&mut self, link: u64, text: &str) -> AdapterOutput {
        let (message, _) = message::parse(text.as_bytes()).expect("readable").expect("whole");
        let mut todo = AdapterOutput::default();
        self.trunks.handle_message(link, &message, self.now, &mut todo);
        todo
    }
    /// A connection stands and its call server has said something on it.
    fn up(&mut self, link: u64) {
        self.trunks.link_up(link, self.now, &mut AdapterOutput::default());
        self.hears(link, NOTIFY);
    }
    fn stands(&mut self, link: u64, n: u64) {
        self.invite(n);
        let text =
            format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", sid(n));
        let todo = self.hears(link, &text);
        assert!(matches!(todo.inputs[..], [Input::Server(SERVER, _, ServerEvent::Answered(_))]));
    }
    fn ends(&mut self, link: u64, how: LinkEnd) -> AdapterOutput {
        let mut todo = AdapterOutput::default();
        self.trunks.link_ended(link, how, self.now, &mut todo);
        todo
    }
    fn watch(&mut self) -> AdapterOutput {
        let mut todo = AdapterOutput::default();
        self.trunks.check_silence(1, self.now, &mut todo);
        todo
    }
}

fn died(todo: &AdapterOutput) -> bool {
    todo.inputs.iter().any(|input| matches!(input, Input::ServerDied(SERVER)))
}

/// Guards against a set-up that waits for a connection and leaves after its server was told to drain.
#[test]
fn a_drain_takes_back_what_has_not_left_and_says_that_it_never_ran() {
    let (mut drive, link) = Drive::new();
    drive.invite(1);
    let mut todo = AdapterOutput::default();
    drive.trunks.cancel_queued(SERVER, &mut todo);
    let [Input::Server(_, name, ServerEvent::Lost(error))] = &todo.inputs[..] else { panic!("{todo:?}") };
    assert!(*name == sid(1) && error.progress == Progress::NotConnected && error.progress.never_ran());
    assert!(drive.trunks.queue_of(link).expect("kept").is_empty());
    // Nor does a cancel of it say anything.
    drive.trunks.cancel(SERVER, sid(1));
    assert!(drive.trunks.queue_of(link).expect("kept").is_empty());
}

/// Any connection may be reset on its way; a process that has died refuses the next one. Guards against calls that
/// were released while they stood, and against calls left standing at a dead process.
#[test]
fn a_reset_is_a_death_only_if_the_next_connection_is_refused() {
    for (next, dies) in [(LinkEnd::Refused, true), (LinkEnd::ConnectFailed, false)] {
        let (mut drive, link) = Drive::new();
        drive.up(link);
        drive.stands(link, 1);
        drive.now = at(100);
        let todo = drive.ends(link, LinkEnd::Closed(CloseReason::Reset));
        assert!(!died(&todo));
        let (again, _, key) = todo.deadlines[0];
        assert!(again <= at(300), "in time for the release");
        drive.now = again;
        let mut todo = AdapterOutput::default();
        drive.trunks.reconnect(key, &mut todo);
        assert_eq!(died(&drive.ends(todo.connects[0].0, next)), dies);
    }
}

/// Guards against calls that end unheard at a machine that has vanished: they are owed a release within 8 s.
#[test]
fn calls_of_a_server_silent_for_long_are_released_and_it_is_told_should_it_live() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    drive.stands(link, 1);
    drive.now = at(3_000);
    let todo = drive.watch();
    assert!(!died(&todo) && todo.connects.len() == 1, "another connection is offered");
    assert_eq!(todo.deadlines, [(at(4_000), DeadlineOwner::SipSilence, 1)]);
    // An answer that was held up on its way is no word of today: it was given up long ago.
    let late =
        format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", sid(9));
    drive.hears(link, &late);
    drive.now = at(6_000);
    let last = drive.watch();
    assert!(!died(&last));
    assert_eq!(last.deadlines, [(at(6_500), DeadlineOwner::SipSilence, 1)]);
    drive.now = at(6_500);
    assert!(died(&drive.watch()));
    let second = todo.connects[0].0;
    drive.up(second);
    assert!(!drive.trunks.queue_of(second).expect("kept").is_empty());
}

/// The list tells of a start seconds late, when a new connection already stands. Guards against releases lost on a
/// connection that was closed for it.
#[test]
fn a_late_word_of_a_start_ends_the_connections_made_before_it_and_no_other() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    drive.now = at(800);
    drive.invite(1);
    drive.now = at(2_000);
    let second = drive.invite(2).connects[0].0;
    drive.up(second);
    let mut todo = AdapterOutput::default();
    drive.trunks.connect(SERVER, ([127, 0, 0, 1], 1).into(), Some(at(1_500)), &mut todo);
    assert!(drive.trunks.queue_of(link).is_none() && drive.trunks.queue_of(second).is_some());
    let [Input::Server(_, name, ServerEvent::Lost(_))] = &todo.inputs[..] else { panic!("{todo:?}") };
    assert_eq!((*name, todo.connects.len()), (sid(1), 0));
    // At another address everything is the old process's.
    drive.trunks.connect(SERVER, ([127, 0, 0, 2], 1).into(), Some(at(1_500)), &mut todo);
    assert!(drive.trunks.queue_of(second).is_none() && todo.connects.len() == 1);
}

#[test]
fn a_server_that_speaks_keeps_its_calls_however_long_they_last() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    drive.stands(link, 1);
    for second in 1..=30 {
        drive.now = at(second * 1000);
        drive.hears(link, "NOTIFY sip:a@b SIP/2.0\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n");
        assert!(!died(&drive.watch()));
    }
}

#[test]
fn a_connection_that_answers_nothing_gets_no_further_set_ups_while_another_can_be_had() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    drive.invite(1);
    drive.now = at(800);
    let todo = drive.invite(2);
    assert_eq!(todo.connects.len(), 1);
    // The new connection is refused: the second set-up never ran, the first is still out.
    let todo = drive.ends(todo.connects[0].0, LinkEnd::ConnectFailed);
    let [Input::Server(_, name, ServerEvent::Lost(error))] = &todo.inputs[..] else { panic!("{todo:?}") };
    assert!(*name == sid(2) && error.progress.never_ran());
}

#[test]
fn what_concerns_a_call_goes_on_the_next_connection_when_one_is_lost() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    drive.stands(link, 1);
    let todo = drive.ends(link, LinkEnd::Closed(CloseReason::Closed));
    assert!(!died(&todo));
    let (again, part, key) = todo.deadlines[0];
    assert_eq!((part, key), (DeadlineOwner::SipReconnect, 1));
    let mut todo = AdapterOutput::default();
    drive.now = again;
    drive.trunks.reconnect(key, &mut todo);
    let next = todo.connects[0].0;
    drive.trunks.bye(SERVER, sid(1), 16, drive.now, &mut AdapterOutput::default());
    drive.up(next);
    assert!(!drive.trunks.queue_of(next).expect("kept").is_empty());
}

/// Drives a call server with several connections that speak, as many as there can be.
fn spread() -> (Drive, Vec<u64>) {
    let (mut drive, first) = Drive::new();
    drive.trunks.set_max_links(9);
    drive.up(first);
    let mut links = vec![first];
    for n in 100..108 {
        for link in drive.invite(n).connects {
            drive.up(link.0);
            links.push(link.0);
        }
    }
    (drive, links)
}

fn lost(todo: &AdapterOutput) -> Vec<(Sid, Progress)> {
    let lost = |input: &Input| match input {
        Input::Server(SERVER, sid, ServerEvent::Lost(error)) => Some((*sid, error.progress)),
        _ => None,
    };
    todo.inputs.iter().filter_map(lost).collect()
}

/// Guards against one spoilt answer that costs all set-ups at a call server.
#[test]
fn set_ups_are_spread_over_connections_and_a_spoilt_one_costs_its_own_alone() {
    let (mut drive, links) = spread();
    assert_eq!(links.len(), 4);
    for n in 0..8 {
        drive.invite(n);
    }
    let on_first = drive.trunks.queue_of(links[0]).expect("kept");
    // Written: it may have run.
    on_first.mark_all_written();
    let todo = drive.ends(links[0], LinkEnd::Closed(CloseReason::Malformed));
    let lost = lost(&todo);
    assert!((1..=4).contains(&lost.len()), "{lost:?}");
    assert!(lost.iter().all(|(_, progress)| *progress == Progress::Written));
    assert!(!died(&todo) && drive.trunks.counts.closed_malformed == 1);
}

/// Guards against calls lost because a connection was reset when it was new or idle: they provably never ran.
#[test]
fn what_has_not_left_goes_to_another_connection_and_nobody_hears_of_it() {
    let (mut drive, link) = Drive::new();
    drive.invite(1);
    // It stands, but nothing was heard on it yet: the set-up is kept back.
    drive.trunks.link_up(link, drive.now, &mut AdapterOutput::default());
    assert!(!drive.trunks.queue_of(link).expect("kept").may_write());
    let todo = drive.ends(link, LinkEnd::Closed(CloseReason::Reset));
    assert!(todo.inputs.is_empty(), "{todo:?}");
    let next = todo.connects[0].0;
    drive.up(next);
    assert!(drive.trunks.queue_of(next).expect("kept").may_write());
    assert_eq!(drive.trunks.counts.moved, 1);
    // Without end it does not go round.
    let mut link = next;
    let mut moves = 0;
    while let [(next, _)] = drive.ends(link, LinkEnd::Closed(CloseReason::Reset)).connects[..] {
        (link, moves) = (next, moves + 1);
        assert!(moves < 9);
    }
    assert_eq!(drive.trunks.counts.moved, 3);
}

#[test]
fn a_new_connection_that_says_nothing_carries_set_ups_all_the_same_after_a_while() {
    let (mut drive, link) = Drive::new();
    drive.invite(1);
    let mut todo = AdapterOutput::default();
    drive.trunks.link_up(link, drive.now, &mut todo);
    assert_eq!(todo.deadlines, [(at(150), DeadlineOwner::SipFirstMessage, link)]);
    drive.trunks.first_message_overdue(link);
    assert!(drive.trunks.queue_of(link).expect("kept").may_write());
}

/// Guards against entries that nobody takes away: answers under unknown names, call servers that have left.
#[test]
fn nothing_is_kept_of_unknown_answers_nor_of_a_server_that_was_forgotten() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    let unknown =
        "SIP/2.0 200 OK\r\nCall-ID: 00000000000000ff\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny";
    drive.hears(link, unknown);
    assert!(drive.trunks.trunks[&SERVER].standing.is_empty());
    let queue = drive.trunks.queue_of(link).expect("kept");
    drive.trunks.forget(SERVER);
    assert!(queue.is_closing() && drive.trunks.trunks.is_empty() && drive.trunks.of_link.is_empty());
}

/// Guards against calls left standing at a call server whose place another has taken.
#[test]
fn a_server_that_was_replaced_is_dead_and_no_way_is_made_to_it() {
    let (mut drive, link) = Drive::new();
    drive.up(link);
    drive.stands(link, 1);
    let mut todo = AdapterOutput::default();
    drive.trunks.replaced(SERVER, &mut todo);
    assert!(died(&todo) && todo.connects.is_empty());
    assert!(drive.invite(2).connects.is_empty());
}

/// Guards against releases that are lost on a connection that has gone silent while the others speak.
#[test]
fn a_connection_that_is_silent_while_others_speak_gives_way_to_a_new_one() {
    let (mut drive, links) = spread();
    drive.stands(links[0], 1);
    drive.now = at(3_500);
    for link in &links[1..] {
        drive.hears(*link, NOTIFY);
    }
    let todo = drive.watch();
    assert!(drive.trunks.queue_of(links[0]).is_none() && todo.connects.len() == 1);
    assert!(!died(&todo) && drive.trunks.counts.stale == 1);
    assert!(links[1..].iter().all(|link| drive.trunks.queue_of(*link).is_some()));
}

/// Half of a set-up has left when its connection ends: it may have run, and is not sent on. Those behind it have not left,
/// and go to another connection.
#[test]
fn half_a_set_up_that_has_left_is_settled_as_one_that_may_have_run() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream = tokio::net::TcpStream::connect(listener.local_addr().expect("its address")).await;
        let (stream, _there) = (stream.expect("connected"), listener.accept().await.expect("accepted"));
        let (mut drive, link) = Drive::new();
        drive.up(link);
        let queue = drive.trunks.queue_of(link).expect("a queue");
        // The other side reads nothing.
        let (mut n, number, long) = (0, "7f".into(), "y".repeat(14_000));
        let mut waiting = 0;
        while waiting < 3 {
            n += 1;
            let left = Span::from_millis(2_000);
            drive.trunks.invite(
                SERVER,
                sid(n),
                "c",
                &number,
                left,
                &long,
                drive.now,
                &mut AdapterOutput::default(),
            );
            stream.writable().await.expect("writable, or full at the last look");
            queue.write_to(&stream).expect("written");
            waiting = if queue.is_empty() { 0 } else { waiting + 1 };
            assert!(n < 4_000, "a connection that takes no more");
            if waiting > 0 {
                // Full: the others are put behind it without a look.
                for _ in waiting..3 {
                    n += 1;
                    drive.trunks.invite(
                        SERVER,
                        sid(n),
                        "c",
                        &number,
                        left,
                        &long,
                        drive.now,
                        &mut AdapterOutput::default(),
                    );
                }
                break;
            }
        }
        let todo = drive.ends(link, LinkEnd::Closed(CloseReason::Reset));
        let lost: Vec<(Sid, Progress)> = todo
            .inputs
            .iter()
            .filter_map(|input| match input {
                Input::Server(_, sid, ServerEvent::Lost(error)) => Some((*sid, error.progress)),
                _ => None,
            })
            .collect();
        assert!(lost.iter().all(|(_, progress)| !progress.never_ran()), "{lost:?}");
        // The last two had not begun to leave; the one before them had, and all before that had left.
        let written: Vec<Sid> = lost.iter().map(|(sid, _)| *sid).collect();
        assert_eq!(written, (1..=n - 2).map(sid).collect::<Vec<_>>());
        assert_eq!(drive.trunks.counts.moved, 2);
    });
}

/// A call that was given up on one connection goes to its call server once more on another, and the last word on the first
/// set-up is not taken for one on the second.
#[test]
fn a_late_last_word_on_a_set_up_given_up_does_not_end_the_next_one() {
    let (mut drive, first) = Drive::new();
    drive.up(first);
    drive.invite(1);
    let second = drive.invite(9).connects[0].0; // another is made for those to come
    drive.up(second);
    drive.trunks.queue_of(first).expect("a queue").mark_all_written();
    drive.trunks.cancel(SERVER, sid(1));
    // The first has fewer set-ups open, but this call was given up there.
    drive.invite(8);
    drive.invite(7);
    let before = drive.trunks.queue_of(first).expect("a queue").cancel_all_unsent().len();
    drive.invite(1);
    assert_eq!(
        drive.trunks.queue_of(first).expect("a queue").cancel_all_unsent().len(),
        0,
        "of {before} before"
    );
    let late = format!("SIP/2.0 486 X\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", sid(1));
    assert!(drive.hears(first, &late).inputs.is_empty(), "it is about the one that was given up");
    let refused = |todo: &AdapterOutput| {
        matches!(todo.inputs[..], [Input::Server(SERVER, _, ServerEvent::Refused(Refusal::Error, ..))])
    };
    assert!(refused(&drive.hears(second, &late)), "and this about the one that is out");
    // A late answer means that the call stands there, by whichever set-up: the other is out no longer.
    drive.invite(2);
    let on = [first, second]
        .into_iter()
        .find(|no| drive.trunks.queue_of(*no).expect("a queue").cancel_unsent(sid(2)));
    let on = on.expect("on one of them");
    let other = if on == first { second } else { first };
    let yes =
        format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", sid(2));
    let todo = drive.hears(other, &yes);
    assert!(matches!(todo.inputs[..], [Input::Server(SERVER, _, ServerEvent::Answered(_))]));
    assert!(drive
        .ends(on, LinkEnd::Closed(CloseReason::Closed))
        .inputs
        .iter()
        .all(|input| { !matches!(input, Input::Server(_, name, ServerEvent::Lost(_)) if *name == sid(2)) }));
}

/// The end of a call waits on a connection that ends while another stands: it is said there, not kept for the next to come.
#[test]
fn the_end_of_a_call_goes_on_another_connection_that_stands() {
    let (mut drive, first) = Drive::new();
    drive.up(first);
    drive.stands(first, 1);
    drive.invite(2);
    let second = drive.invite(3).connects[0].0;
    drive.up(second);
    let queue = |drive: &Drive, no| drive.trunks.queue_of(no).expect("a queue");
    for no in [first, second] {
        queue(&drive, no).mark_all_written();
    }
    drive.trunks.bye(SERVER, sid(1), 16, drive.now, &mut AdapterOutput::default());
    let (on, other) = if queue(&drive, first).is_empty() { (second, first) } else { (first, second) };
    assert!(queue(&drive, other).is_empty());
    drive.ends(on, LinkEnd::Closed(CloseReason::Reset));
    let said: Vec<_> = queue(&drive, other).take_unsent().iter().map(|item| item.bytes.clone()).collect();
    assert!(said.len() == 1 && said[0].starts_with(b"BYE"), "{said:?}");
}
