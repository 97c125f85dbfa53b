//! Tests of the SIP adapter, driven with given times.

use super::*;
use crate::core::Refusal;
use crate::interface::Time;

const NOTIFY: &str = "NOTIFY sip:a@b SIP/2.0\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n";
const SERVER: ServerId = ServerId { address: 1, port: 0 };

struct TestBench {
    trunks: Trunks,
    now: Time,
}

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1000)
}

fn sid(n: u64) -> Sid {
    Sid::from_number(n)
}

impl TestBench {
    fn new() -> (TestBench, u64) {
        let mut bench = TestBench { trunks: Trunks::default(), now: at(0) };
        let mut output = AdapterOutput::default();
        bench.trunks.connect(SERVER, ([127, 0, 0, 1], 1).into(), &mut output);
        (bench, output.connects[0].0)
    }
    fn invite(&mut self, n: u64) -> AdapterOutput {
        let mut output = AdapterOutput::default();
        let (number, left) = ("7f".into(), Span::from_millis(2_000));
        self.trunks.invite(SERVER, sid(n), "judge-call", &number, left, "x", self.now, &mut output);
        output
    }
    fn receive(&mut self, link: u64, text: &str) -> AdapterOutput {
        let (message, _) = message::parse(text.as_bytes()).expect("valid").expect("complete");
        let mut output = AdapterOutput::default();
        self.trunks.handle_message(link, &message, self.now, &mut output);
        output
    }
    /// Opens a connection on which its call server sends something.
    fn open(&mut self, link: u64) {
        self.trunks.link_up(link, self.now, &mut AdapterOutput::default());
        self.receive(link, NOTIFY);
    }
    fn establish(&mut self, link: u64, n: u64) {
        self.invite(n);
        let text =
            format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", sid(n));
        let output = self.receive(link, &text);
        assert!(matches!(output.inputs[..], [Input::Server(SERVER, _, ServerEvent::Answered(_))]));
    }
    fn close(&mut self, link: u64, how: LinkEnd) -> AdapterOutput {
        let mut output = AdapterOutput::default();
        self.trunks.link_ended(link, how, self.now, &mut output);
        output
    }
    fn check_silence(&mut self) -> AdapterOutput {
        let mut output = AdapterOutput::default();
        self.trunks.run_timer(1, self.now, &mut output);
        output
    }
}

fn reports_death(output: &AdapterOutput) -> bool {
    output.inputs.iter().any(|input| matches!(input, Input::ServerDied(SERVER)))
}

/// A set-up that waits for a connection must not be sent after its call server was told to drain.
#[test]
fn draining_withdraws_unsent_set_ups_and_reports_that_they_never_ran() {
    let (mut bench, link) = TestBench::new();
    bench.invite(1);
    let mut output = AdapterOutput::default();
    bench.trunks.cancel_queued(SERVER, &mut output);
    let [Input::Server(_, name, ServerEvent::Lost(error))] = &output.inputs[..] else { panic!("{output:?}") };
    assert!(*name == sid(1) && error.progress == Progress::NotConnected && error.progress.never_ran());
    assert!(bench.trunks.queue_of(link).expect("a queue").is_empty());
    // Cancelling it afterwards sends nothing either.
    bench.trunks.cancel(SERVER, sid(1));
    assert!(bench.trunks.queue_of(link).expect("a queue").is_empty());
}

/// Any connection may be reset on its path, while a process that has died refuses the next one. Established
/// calls must not be released for a reset, and must not stay established at a dead process.
#[test]
fn reset_means_death_only_if_the_next_connection_is_refused() {
    for (next, dies) in [(LinkEnd::Refused, true), (LinkEnd::ConnectFailed, false)] {
        let (mut bench, link) = TestBench::new();
        bench.open(link);
        bench.establish(link, 1);
        bench.now = at(100);
        let output = bench.close(link, LinkEnd::Closed(CloseReason::Reset));
        assert!(!reports_death(&output));
        let (again, _, key) = output.deadlines[0];
        assert!(again <= at(300), "in time for the release");
        bench.now = again;
        let mut output = AdapterOutput::default();
        bench.trunks.reconnect(key, &mut output);
        assert_eq!(reports_death(&bench.close(output.connects[0].0, next)), dies);
    }
}

/// Calls at a machine that has vanished must be released within 8 s.
#[test]
fn calls_of_a_silent_server_are_released_on_both_sides() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    bench.now = at(3_000);
    let output = bench.check_silence();
    assert!(!reports_death(&output) && output.connects.len() == 1, "another connection is opened");
    assert_eq!(output.deadlines, [(at(4_000), DeadlineOwner::SipSilence, 1)]);
    // A delayed response to a request given up long ago is no sign of life.
    let late =
        format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", sid(9));
    bench.receive(link, &late);
    bench.now = at(6_000);
    let last = bench.check_silence();
    assert!(!reports_death(&last));
    assert_eq!(last.deadlines, [(at(6_500), DeadlineOwner::SipSilence, 1)]);
    bench.now = at(6_500);
    assert!(reports_death(&bench.check_silence()));
    let second = output.connects[0].0;
    bench.open(second);
    assert!(!bench.trunks.queue_of(second).expect("a queue").is_empty());
}

/// The list reports a restart seconds late, when a new connection is already open; releases on that
/// connection must not be lost because it is closed for the restart.
#[test]
fn late_report_of_a_restart_closes_only_the_connections_opened_before_it() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.now = at(800);
    bench.invite(1);
    bench.now = at(2_000);
    let second = bench.invite(2).connects[0].0;
    bench.open(second);
    let mut output = AdapterOutput::default();
    bench.trunks.restarted(SERVER, at(1_500), &mut output);
    bench.trunks.connect(SERVER, ([127, 0, 0, 1], 1).into(), &mut output);
    assert!(bench.trunks.queue_of(link).is_none() && bench.trunks.queue_of(second).is_some());
    let [Input::Server(_, name, ServerEvent::Lost(_))] = &output.inputs[..] else { panic!("{output:?}") };
    assert_eq!((*name, output.connects.len()), (sid(1), 0));
    // At another address all connections belong to the old process.
    bench.trunks.connect(SERVER, ([127, 0, 0, 2], 1).into(), &mut output);
    assert!(bench.trunks.queue_of(second).is_none() && output.connects.len() == 1);
}

/// The new process has none of the calls of the one before it, and never releases them. Those that were answered on a
/// connection opened since belong to it and stay, as does a call of the old process that has ended already.
#[test]
fn report_of_a_restart_cuts_only_the_calls_answered_on_connections_opened_before_it() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    bench.establish(link, 2);
    bench.trunks.bye(SERVER, sid(2), 16, bench.now, &mut AdapterOutput::default());
    bench.now = at(2_000);
    let next = bench.close(link, LinkEnd::Closed(CloseReason::Reset)).connects.first().map(|link| link.0);
    let next = next.unwrap_or_else(|| {
        let mut output = AdapterOutput::default();
        bench.trunks.reconnect(1, &mut output);
        output.connects[0].0
    });
    bench.open(next);
    bench.establish(next, 3);
    let mut output = AdapterOutput::default();
    bench.trunks.restarted(SERVER, at(1_500), &mut output);
    let cut = |input: &Input| match input {
        Input::Server(SERVER, sid, ServerEvent::Released(CAUSE_CUT, _)) => Some(*sid),
        _ => None,
    };
    assert_eq!(output.inputs.iter().filter_map(cut).collect::<Vec<_>>(), [sid(1)]);
    assert!(bench.trunks.queue_of(next).is_some() && output.connects.is_empty());
    // The same report again, and one of an earlier start, change nothing.
    let mut again = AdapterOutput::default();
    bench.trunks.restarted(SERVER, at(1_500), &mut again);
    bench.trunks.restarted(SERVER, at(500), &mut again);
    assert!(again.inputs.is_empty() && bench.trunks.queue_of(next).is_some(), "{again:?}");
}

#[test]
fn calls_of_a_server_that_sends_messages_are_kept() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    for second in 1..=30 {
        bench.now = at(second * 1000);
        bench.receive(link, "NOTIFY sip:a@b SIP/2.0\r\nCSeq: 1 NOTIFY\r\nContent-Length: 0\r\n\r\n");
        assert!(!reports_death(&bench.check_silence()));
    }
}

#[test]
fn unresponsive_connection_gets_no_further_set_ups_while_another_can_be_opened() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.invite(1);
    bench.now = at(800);
    let output = bench.invite(2);
    assert_eq!(output.connects.len(), 1);
    // The new connection is refused: the second set-up never ran, the first is still outstanding.
    let output = bench.close(output.connects[0].0, LinkEnd::ConnectFailed);
    let [Input::Server(_, name, ServerEvent::Lost(error))] = &output.inputs[..] else { panic!("{output:?}") };
    assert!(*name == sid(2) && error.progress.never_ran());
}

#[test]
fn release_waits_for_the_next_connection_when_the_only_one_is_lost() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    let output = bench.close(link, LinkEnd::Closed(CloseReason::Closed));
    assert!(!reports_death(&output));
    let (again, owner, key) = output.deadlines[0];
    assert_eq!((owner, key), (DeadlineOwner::SipReconnect, 1));
    let mut output = AdapterOutput::default();
    bench.now = again;
    bench.trunks.reconnect(key, &mut output);
    let next = output.connects[0].0;
    bench.trunks.bye(SERVER, sid(1), 16, bench.now, &mut AdapterOutput::default());
    bench.open(next);
    assert!(!bench.trunks.queue_of(next).expect("a queue").is_empty());
}

/// A call server with as many connections as allowed, all of which carry set-ups.
fn all_links_open() -> (TestBench, Vec<u64>) {
    let (mut bench, first) = TestBench::new();
    bench.trunks.set_max_links(9);
    bench.open(first);
    let mut links = vec![first];
    for n in 100..108 {
        for link in bench.invite(n).connects {
            bench.open(link.0);
            links.push(link.0);
        }
    }
    (bench, links)
}

fn lost(output: &AdapterOutput) -> Vec<(Sid, Progress)> {
    let lost = |input: &Input| match input {
        Input::Server(SERVER, sid, ServerEvent::Lost(error)) => Some((*sid, error.progress)),
        _ => None,
    };
    output.inputs.iter().filter_map(lost).collect()
}

/// One malformed response must not cost all set-ups at a call server.
#[test]
fn set_ups_are_spread_over_connections_and_malformed_input_costs_only_those_on_its_connection() {
    let (mut bench, links) = all_links_open();
    assert_eq!(links.len(), 4);
    for n in 0..8 {
        bench.invite(n);
    }
    let on_first = bench.trunks.queue_of(links[0]).expect("a queue");
    // Written, so it may have run.
    on_first.mark_all_written();
    let output = bench.close(links[0], LinkEnd::Closed(CloseReason::Malformed));
    let lost = lost(&output);
    assert!((1..=4).contains(&lost.len()), "{lost:?}");
    assert!(lost.iter().all(|(_, progress)| *progress == Progress::Written));
    assert!(!reports_death(&output) && bench.trunks.counts.closed_malformed == 1);
}

/// Set-ups on a connection that is reset while new or idle never ran, and must not be lost.
#[test]
fn unsent_set_ups_are_moved_to_another_connection_without_a_report() {
    let (mut bench, link) = TestBench::new();
    bench.invite(1);
    // It is open, but nothing has arrived on it yet: the set-up is held back.
    bench.trunks.link_up(link, bench.now, &mut AdapterOutput::default());
    assert!(!bench.trunks.queue_of(link).expect("a queue").may_write());
    let output = bench.close(link, LinkEnd::Closed(CloseReason::Reset));
    assert!(output.inputs.is_empty(), "{output:?}");
    let next = output.connects[0].0;
    bench.open(next);
    assert!(bench.trunks.queue_of(next).expect("a queue").may_write());
    assert_eq!(bench.trunks.counts.moved, 1);
    // The number of moves is limited.
    let mut link = next;
    let mut moves = 0;
    while let [(next, _)] = bench.close(link, LinkEnd::Closed(CloseReason::Reset)).connects[..] {
        (link, moves) = (next, moves + 1);
        assert!(moves < 9);
    }
    assert_eq!(bench.trunks.counts.moved, 3);
}

#[test]
fn silent_new_connection_carries_set_ups_after_the_first_message_timeout() {
    let (mut bench, link) = TestBench::new();
    bench.invite(1);
    let mut output = AdapterOutput::default();
    bench.trunks.link_up(link, bench.now, &mut output);
    assert_eq!(output.deadlines, [(at(150), DeadlineOwner::SipFirstMessage, link)]);
    bench.trunks.first_message_overdue(link);
    assert!(bench.trunks.queue_of(link).expect("a queue").may_write());
}

/// No entries may remain for responses with unknown names, nor for call servers that are gone.
#[test]
fn unknown_answers_and_forgotten_servers_leave_no_entries() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    let unknown =
        "SIP/2.0 200 OK\r\nCall-ID: 00000000000000ff\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny";
    bench.receive(link, unknown);
    assert!(bench.trunks.trunks[&SERVER].established.is_empty());
    let queue = bench.trunks.queue_of(link).expect("a queue");
    bench.trunks.forget(SERVER);
    assert!(queue.is_closing() && bench.trunks.trunks.is_empty() && bench.trunks.server_of_link.is_empty());
}

/// Calls must not stay established at a call server whose address another has taken over.
#[test]
fn replaced_server_is_reported_dead_and_gets_no_new_connection() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    let mut output = AdapterOutput::default();
    bench.trunks.replaced(SERVER, &mut output);
    assert!(reports_death(&output) && output.connects.is_empty());
    assert!(bench.invite(2).connects.is_empty());
}

/// Releases must not be lost on a connection that is silent while others are not.
#[test]
fn connection_that_is_silent_while_others_are_not_is_replaced() {
    let (mut bench, links) = all_links_open();
    bench.establish(links[0], 1);
    bench.now = at(3_500);
    for link in &links[1..] {
        bench.receive(*link, NOTIFY);
    }
    let output = bench.check_silence();
    assert!(bench.trunks.queue_of(links[0]).is_none() && output.connects.len() == 1);
    assert!(!reports_death(&output) && bench.trunks.counts.stale == 1);
    assert!(links[1..].iter().all(|link| bench.trunks.queue_of(*link).is_some()));
}

/// A sound call server whose connections are all open and which has nothing to send keeps its calls: it answers a new
/// connection. One that answers none loses them in time (review, `lull`).
#[test]
fn silent_server_with_all_connections_open_is_offered_another_in_place_of_one() {
    let (mut bench, links) = all_links_open();
    for n in 100..108 {
        bench.trunks.cancel(SERVER, sid(n));
    }
    bench.establish(links[0], 1);
    let connections = |bench: &TestBench| bench.trunks.trunks[&SERVER].links.len();
    let mut replaced = 0;
    for second in 1..=30 {
        bench.now = at(second * 1_000);
        let output = bench.check_silence();
        assert!(!reports_death(&output), "after {second} s");
        for (link, _) in output.connects {
            bench.open(link);
            replaced += 1;
        }
        assert!(connections(&bench) <= MAX_LINKS);
    }
    assert!(replaced >= 9, "{replaced} connections in 30 s");
    let silent_since = bench.trunks.trunks[&SERVER].last_seen;
    let mut dies_at = None;
    for second in 31..=40 {
        bench.now = at(second * 1_000).min(silent_since.plus(SILENCE_TIMEOUT));
        let output = bench.check_silence();
        if reports_death(&output) {
            dies_at = Some(bench.now);
            break;
        }
        for (link, _) in output.connects {
            bench.close(link, LinkEnd::ConnectFailed);
        }
    }
    assert_eq!(dies_at, Some(silent_since.plus(SILENCE_TIMEOUT)));
}

/// A set-up that is half written when its connection ends may have run, and is not sent again. Those behind
/// it were not written, and are moved to another connection.
#[test]
fn partly_written_set_up_counts_as_one_that_may_have_run() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    runtime.block_on(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream = tokio::net::TcpStream::connect(listener.local_addr().expect("its address")).await;
        let (stream, _there) = (stream.expect("connected"), listener.accept().await.expect("accepted"));
        let (mut bench, link) = TestBench::new();
        bench.open(link);
        let queue = bench.trunks.queue_of(link).expect("a queue");
        // The peer reads nothing.
        let (mut n, number, long) = (0, "7f".into(), "y".repeat(14_000));
        let mut waiting = 0;
        while waiting < 3 {
            n += 1;
            let left = Span::from_millis(2_000);
            bench.trunks.invite(
                SERVER,
                sid(n),
                "c",
                &number,
                left,
                &long,
                bench.now,
                &mut AdapterOutput::default(),
            );
            stream.writable().await.expect("writable, or full at the last check");
            queue.write_to(&stream).expect("written");
            waiting = if queue.is_empty() { 0 } else { waiting + 1 };
            assert!(n < 4_000, "the connection never became full");
            if waiting > 0 {
                // The socket is full: the others are queued without trying to write.
                for _ in waiting..3 {
                    n += 1;
                    bench.trunks.invite(
                        SERVER,
                        sid(n),
                        "c",
                        &number,
                        left,
                        &long,
                        bench.now,
                        &mut AdapterOutput::default(),
                    );
                }
                break;
            }
        }
        let output = bench.close(link, LinkEnd::Closed(CloseReason::Reset));
        let lost: Vec<(Sid, Progress)> = output
            .inputs
            .iter()
            .filter_map(|input| match input {
                Input::Server(_, sid, ServerEvent::Lost(error)) => Some((*sid, error.progress)),
                _ => None,
            })
            .collect();
        assert!(lost.iter().all(|(_, progress)| !progress.never_ran()), "{lost:?}");
        // The last two were not written at all; the one before them was written in part, all others
        // completely.
        let written: Vec<Sid> = lost.iter().map(|(sid, _)| *sid).collect();
        assert_eq!(written, (1..=n - 2).map(sid).collect::<Vec<_>>());
        assert_eq!(bench.trunks.counts.moved, 2);
    });
}

/// A call cancelled on one connection is tried again at its call server on another. The final response to the
/// first set-up must not be taken for one to the second.
#[test]
fn late_response_to_a_cancelled_set_up_does_not_end_the_next_attempt() {
    let (mut bench, first) = TestBench::new();
    bench.open(first);
    bench.invite(1);
    let second = bench.invite(9).connects[0].0; // opens another for later set-ups
    bench.open(second);
    bench.trunks.queue_of(first).expect("a queue").mark_all_written();
    bench.trunks.cancel(SERVER, sid(1));
    // The first connection has fewer set-ups, but this call was cancelled there.
    bench.invite(8);
    bench.invite(7);
    let before = bench.trunks.queue_of(first).expect("a queue").cancel_all_unsent().len();
    bench.invite(1);
    assert_eq!(
        bench.trunks.queue_of(first).expect("a queue").cancel_all_unsent().len(),
        0,
        "of {before} before"
    );
    let late = format!("SIP/2.0 486 X\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 0\r\n\r\n", sid(1));
    assert!(bench.receive(first, &late).inputs.is_empty(), "it belongs to the cancelled set-up");
    let refused = |output: &AdapterOutput| {
        matches!(output.inputs[..], [Input::Server(SERVER, _, ServerEvent::Refused(Refusal::Error, ..))])
    };
    assert!(refused(&bench.receive(second, &late)), "and this to the outstanding one");
    // A late answer means that the call is established, by whichever set-up: the other is no longer
    // outstanding.
    bench.invite(2);
    let on = [first, second]
        .into_iter()
        .find(|no| bench.trunks.queue_of(*no).expect("a queue").cancel_unsent(sid(2)));
    let on = on.expect("on one of them");
    let other = if on == first { second } else { first };
    let ok = format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", sid(2));
    let output = bench.receive(other, &ok);
    assert!(matches!(output.inputs[..], [Input::Server(SERVER, _, ServerEvent::Answered(_))]));
    assert!(bench
        .close(on, LinkEnd::Closed(CloseReason::Closed))
        .inputs
        .iter()
        .all(|input| { !matches!(input, Input::Server(_, name, ServerEvent::Lost(_)) if *name == sid(2)) }));
}

/// The release of a call is queued on a connection that ends while another is open: it must be sent on that
/// one, not kept for the next.
#[test]
fn unsent_release_is_moved_to_another_open_connection() {
    let (mut bench, first) = TestBench::new();
    bench.open(first);
    bench.establish(first, 1);
    bench.invite(2);
    let second = bench.invite(3).connects[0].0;
    bench.open(second);
    let queue = |bench: &TestBench, no| bench.trunks.queue_of(no).expect("a queue");
    for no in [first, second] {
        queue(&bench, no).mark_all_written();
    }
    bench.trunks.bye(SERVER, sid(1), 16, bench.now, &mut AdapterOutput::default());
    let (on, other) = if queue(&bench, first).is_empty() { (second, first) } else { (first, second) };
    assert!(queue(&bench, other).is_empty());
    bench.close(on, LinkEnd::Closed(CloseReason::Reset));
    let sent: Vec<_> = queue(&bench, other).take_unsent().iter().map(|item| item.bytes.clone()).collect();
    assert!(sent.len() == 1 && sent[0].starts_with(b"BYE"), "{sent:?}");
}

/// Guards against a cancellation that outlives its connection and cancels a later attempt of the same call on another.
#[test]
fn cancellation_of_an_ended_connection_is_not_sent_on_another() {
    let (mut bench, first) = TestBench::new();
    bench.open(first);
    bench.invite(1);
    let second = bench.invite(2).connects[0].0;
    bench.open(second);
    bench.trunks.queue_of(first).expect("a queue").mark_all_written();
    bench.trunks.cancel(SERVER, sid(1));
    bench.now = at(600);
    bench.invite(1);
    bench.close(first, LinkEnd::Closed(CloseReason::Reset));
    let sent = bench.trunks.queue_of(second).expect("a queue").take_unsent();
    let sent: Vec<&[u8]> = sent.iter().map(|message| &message.bytes[..6]).collect();
    assert!(sent.contains(&&b"INVITE"[..]) && !sent.contains(&&b"CANCEL"[..]), "{sent:?}");
}

/// Guards against a release for an earlier attempt that overtakes, or follows, the set-up of the same call on another
/// connection and ends it: the set-up follows the release on its connection, or is not sent where that is silent.
#[test]
fn call_whose_release_is_not_confirmed_is_set_up_again_behind_that_release_or_not_at_all() {
    for silent in [false, true] {
        let (mut bench, links) = all_links_open();
        for n in 100..108 {
            bench.trunks.cancel(SERVER, sid(n));
        }
        bench.trunks.bye(SERVER, sid(1), 16, bench.now, &mut AdapterOutput::default());
        let of_call = |bench: &TestBench, link: u64| {
            let queue = bench.trunks.queue_of(link).expect("a queue").take_unsent();
            let name = sid(1).to_string();
            let texts = queue.iter().map(|message| String::from_utf8_lossy(&message.bytes).into_owned());
            texts.filter(|text| text.contains(&name)).map(|text| text[..3].to_owned()).collect::<Vec<_>>()
        };
        let with_release = links.iter().find(|link| of_call(&bench, **link) == ["BYE"]).expect("sent");
        bench.now = at(if silent { 5_000 } else { 400 });
        for link in links.iter().filter(|link| *link != with_release) {
            bench.receive(*link, NOTIFY);
        }
        let output = bench.invite(1);
        let carriers: Vec<u64> =
            links.iter().filter(|link| !of_call(&bench, **link).is_empty()).copied().collect();
        if silent {
            assert!(matches!(lost(&output)[..], [(_, Progress::NotConnected)]) && carriers.is_empty());
        } else {
            assert_eq!(carriers, [*with_release]);
            bench.now = at(30_000);
            bench.check_silence();
            assert!(links.iter().all(|link| bench.trunks.queue_of(*link).is_none()
                || !of_call(&bench, *link).contains(&"BYE".to_owned())));
        }
    }
}

/// Guards against a stopping process that opens a connection, is sent the releases that wait for one, and drops them.
#[test]
fn no_connection_is_opened_once_releases_are_left_to_the_next_process() {
    for leaves in [false, true] {
        let (mut bench, link) = TestBench::new();
        bench.open(link);
        bench.establish(link, 1);
        let second = bench.invite(2).connects.len() + bench.invite(3).connects.len();
        assert_eq!(second, 1);
        if leaves {
            bench.trunks.leave_releases();
        }
        let mut connects = bench.close(link, LinkEnd::Closed(CloseReason::Reset)).connects.len();
        let mut output = AdapterOutput::default();
        bench.trunks.reconnect(1, &mut output);
        bench.now = at(5_000);
        connects +=
            output.connects.len() + bench.check_silence().connects.len() + bench.invite(4).connects.len();
        assert_eq!(connects == 0, leaves);
    }
}

/// The releases queued on a connection, which are written by this.
fn written_releases(bench: &TestBench, link: u64) -> usize {
    let queue = bench.trunks.queue_of(link).expect("a queue");
    let sent = queue.take_unsent();
    sent.iter().filter(|message| message.bytes.starts_with(b"BYE")).count()
}

fn confirmation(n: u64) -> String {
    format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n", sid(n))
}

/// A release on a connection that has fallen silent must not be taken for one that arrived (review case 10). It is sent
/// until it is confirmed or given up, and no longer.
#[test]
fn unconfirmed_release_is_retransmitted_on_other_connections_until_it_is_confirmed_or_given_up() {
    for confirmed in [true, false] {
        let (mut bench, links) = all_links_open();
        bench.establish(links[0], 1);
        bench.establish(links[0], 2);
        let mut output = AdapterOutput::default();
        bench.trunks.bye(SERVER, sid(1), 16, bench.now, &mut output);
        assert_eq!(written_releases(&bench, links[0]), 1, "the connection with the latest input");
        let mut due = output.deadlines.last().expect("a retransmission is scheduled").0;
        assert_eq!(due, at(500));
        let mut sent = BTreeMap::new();
        while bench.now < at(60_000) {
            bench.now = due;
            let output = bench.check_silence();
            for link in links.iter().filter(|link| bench.trunks.queue_of(**link).is_some()) {
                *sent.entry(*link).or_insert(0) += written_releases(&bench, *link);
            }
            // Call 2 stands: the call server is not given up while it speaks.
            bench.receive(links[1], NOTIFY);
            let answering = sent.iter().find(|(_, count)| **count > 0).map(|(link, _)| *link);
            if let Some(link) = answering.filter(|_| confirmed) {
                bench.receive(link, &confirmation(1));
            }
            match output.deadlines.last() {
                Some((next, ..)) => due = *next,
                None => break,
            }
        }
        let total: usize = sent.values().sum();
        if confirmed {
            assert_eq!(total, 1, "{sent:?}");
        } else {
            assert!((2..=10).contains(&total) && sent[&links[0]] < total, "{sent:?}");
        }
        assert!(bench.trunks.trunks[&SERVER].releases.next_check().is_none());
    }
}

/// Confirmations are optional: a call server that sends none, and speaks, gets each release once.
#[test]
fn call_server_that_confirms_nothing_gets_a_release_once_while_its_connection_is_in_use() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    bench.trunks.bye(SERVER, sid(1), 16, bench.now, &mut AdapterOutput::default());
    assert_eq!(written_releases(&bench, link), 1);
    bench.now = at(100);
    bench.receive(link, NOTIFY);
    bench.now = at(500);
    let output = bench.check_silence();
    assert!(output.connects.is_empty() && output.deadlines.iter().all(|(due, ..)| *due > at(500)));
    assert_eq!(written_releases(&bench, link), 0);
    // Nor again where the connection ends.
    bench.close(link, LinkEnd::Closed(CloseReason::Closed));
    let mut output = AdapterOutput::default();
    bench.trunks.reconnect(1, &mut output);
    let next = output.connects[0].0;
    bench.open(next);
    assert_eq!(written_releases(&bench, next), 0);
}

/// A call server with as many connections as it accepts refuses further ones. Its calls go on, although every open
/// connection has an outstanding set-up (review case 7).
#[test]
fn refused_connection_releases_no_calls_while_another_is_open() {
    let (mut bench, link) = TestBench::new();
    bench.open(link);
    bench.establish(link, 1);
    bench.invite(2);
    let second = bench.invite(3).connects[0].0;
    let output = bench.close(second, LinkEnd::Refused);
    assert!(!reports_death(&output));
    assert!(bench.invite(4).connects.is_empty(), "none is opened for the next set-up");
    bench.now = at(1_100);
    bench.receive(link, NOTIFY);
    let third = bench.invite(5).connects[0].0;
    assert!(!reports_death(&bench.close(third, LinkEnd::Refused)));
    // A process that dies resets its connections and refuses the next.
    bench.trunks.queue_of(link).expect("a queue").mark_all_written();
    assert!(!reports_death(&bench.close(link, LinkEnd::Closed(CloseReason::Reset))));
    let mut output = AdapterOutput::default();
    bench.trunks.reconnect(1, &mut output);
    assert!(reports_death(&bench.close(output.connects[0].0, LinkEnd::Refused)));
}

/// A quiet call server that accepts no further connection must not lose its calls: it answers tests on the present ones.
/// One that answers nothing loses them in time (`maximum-quiet` of the review).
#[test]
fn silent_server_that_refuses_connections_keeps_its_calls_while_it_answers_tests() {
    for sound in [true, false] {
        let (mut bench, link) = TestBench::new();
        bench.open(link);
        bench.establish(link, 1);
        let (mut tests, mut died_at) = (0, None);
        for second in 1..=30 {
            bench.now = at(second * 1_000);
            let output = bench.check_silence();
            if reports_death(&output) {
                died_at = Some(second);
                break;
            }
            for (refused, _) in output.connects {
                assert!(!reports_death(&bench.close(refused, LinkEnd::Refused)));
            }
            let sent = bench.trunks.queue_of(link).expect("a queue").take_unsent();
            let sent = sent.iter().filter(|message| message.bytes.starts_with(b"OPTIONS sip:ping@net"));
            for _ in sent {
                tests += 1;
                if sound {
                    let answer = "SIP/2.0 200 OK\r\nCall-ID: 0000000000000000\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";
                    bench.receive(link, answer);
                }
            }
        }
        assert_eq!(died_at, (!sound).then_some(7), "{tests} tests");
        assert!(if sound { tests >= 9 } else { tests == 1 }, "{tests} tests");
    }
}
