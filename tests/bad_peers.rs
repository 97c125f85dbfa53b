//! Bad call servers and a bad bulletin on real sockets: what they spoil costs what it touched, and no more.

mod support;

use std::time::Duration;

use rstest::rstest;
use support::{
    list_entry, name, on_one_thread, Caller, Controller, EventKind, EventLog, RecordedEvent, ResponseFault,
    ServerBehaviour,
};

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

/// Guards against a spoilt answer that leaves its own call, or the others on its connection, waiting.
#[rstest]
#[case::noise("\u{1}\u{2} noise \u{3}\r\n\r\n")]
#[case::no_such_line("SIP/2.0 OK 200\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny")]
#[case::a_length_that_does_not_fit(
    "SIP/2.0 200 OK\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Length: -4\r\n\r\ny"
)]
#[case::three_gigabytes(
    "SIP/2.0 200 OK\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Length: 3000000000\r\n\r\ny"
)]
#[case::stops_short("SIP/2.0 200 OK\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Length: 9\r\n\r\ny")]
#[case::stops_in_a_header("SIP/2.0 200 OK\r\nCall-ID: {sid}\r\nCSe")]
fn a_spoilt_answer_ends_its_connection_and_its_call_stands_elsewhere(#[case] spoilt: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        let does = [ServerBehaviour::Raw(spoilt.to_owned()), answers("b")];
        let (controller, servers, _) = Controller::with_servers(&world, &does).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        let first = world
            .wait_for("the set-up", |s| s.source == "s0" && matches!(s.kind, EventKind::SetUp(..)))
            .await;
        assert_eq!(first.sid, name(1));
        // From now on it answers well.
        *servers[0].behaviour.borrow_mut() = answers("a");
        let answer = world.final_answer(&name(1)).await;
        assert!(matches!(answer.kind, EventKind::Ready(_)), "{answer:?}");
        let took = answer.at - first.at;
        assert!(took >= Duration::from_millis(500), "none for the time of a release, but {took:?}");
        assert!(took < Duration::from_millis(1_800), "within the aim, but {took:?}");
        let c = controller.instance.counters();
        assert_eq!((c.spoilt, c.completed, c.cancelled), (1, 1, 0));
    });
}

/// Guards against calls lost by resets of connections that carried none.
#[test]
fn a_reset_of_idle_connections_costs_no_call() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answers("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        for n in 1..=20 {
            let before = controller.instance.counters().connected;
            servers[0].reset_connections();
            controller.turns("a connection is there anew", |i| i.counters().connected > before).await;
            caller.open(&name(n), 9_000, 0, "x").await;
            assert_eq!(world.final_answer(&name(n)).await.kind, EventKind::Ready("a".into()));
        }
        assert_eq!(controller.instance.counters().standing, 20);
    });
}

/// Guards against a drain that is heard late because the bulletin broke off, or stalled, in the midst of telling it.
#[rstest]
#[case::breaks_off(ResponseFault::Truncate)]
#[case::stalls(ResponseFault::Stall)]
#[case::dribbles(ResponseFault::Trickle)]
fn a_bulletin_that_spoils_its_answer_is_asked_again_in_time(#[case] how: ResponseFault) {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, bulletin) =
            Controller::with_servers(&world, &[answers("a"), answers("b")]).await;
        bulletin.response_fault.set(Some(how));
        bulletin.publish(false, vec![list_entry("s0", servers[0].at, 0, "draining")]);
        let told = |s: &RecordedEvent| matches!(s.kind, EventKind::Told(_));
        let told = world.wait_for_count("told", 2, told).await[1].at;
        let drains = |i: &lockpoint::instance::Instance| {
            i.servers().iter().any(|l| l.state == lockpoint::interface::ServerState::Draining)
        };
        controller.turns("the drain is heard", drains).await;
        assert!(told.elapsed() < Duration::from_secs(2), "heard after {:?}", told.elapsed());
        assert!(controller.instance.counters().bulletin_failures > 0);
    });
}
