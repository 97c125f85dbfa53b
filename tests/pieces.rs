//! Peers that send messages in fragments of any size, stall in the middle of a message, or disconnect there.

mod support;

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use lockpoint_lab::ports::free_address;
use rstest::rstest;
use serde_json::json;
use support::{
    list_entry, name, on_one_thread, Caller, Controller, EventKind, EventLog, RecordedEvent, ScriptedServer,
    ServerBehaviour,
};

const DESCRIPTION: &str = "v=0\r\n\u{e9}\u{1f0a1} \"quoted\"\r\n\r\n";

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

fn is(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

/// Guards against parsers that take a fragment for a whole message. Bulletin, call server and caller send
/// fragments down to one byte, with empty lines in between.
#[rstest]
fn all_parsers_accept_fragments_of_any_size(#[values(1, 2, 3, 7, 50)] fragment: usize) {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, bulletin) = Controller::with_servers(&world, &[answers(DESCRIPTION)]).await;
        servers[0].pieces.set(fragment);
        bulletin.pieces.set(fragment);
        let caller = Caller::connect(&world, "c", controller.at).await;
        for n in 1..=3 {
            caller.send_in_pieces(fragment, b"\n\r\n").await;
            caller.open_in_pieces(fragment, &name(n), 9_000, 0, DESCRIPTION).await;
            assert_eq!(world.final_answer(&name(n)).await.kind, EventKind::Ready(DESCRIPTION.into()));
            let asked = world
                .wait_for("the set-up", |s| matches!(s.kind, EventKind::SetUp(..)) && s.sid == name(n))
                .await;
            let EventKind::SetUp(_, _, description) = asked.kind else { panic!("a set-up") };
            assert_eq!(description, DESCRIPTION);
            servers[0].send(b"\r\n\r\n");
            servers[0].release(&name(n), 16);
            world.wait_for("the release", is(&name(n), EventKind::Close(16, None))).await;
        }
        bulletin.publish(
            false,
            vec![
                list_entry("s1", servers[0].at, 1, "draining"),
                list_entry("s2", unused_address(), 2, "ready"),
            ],
        );
        controller.wait_for("the bulletin update", |i| i.servers().len() == 3).await;
        let c = controller.instance.counters();
        assert_eq!((c.malformed_lines, c.malformed_sip, c.spoilt, c.bulletin_failures), (0, 0, 0, 0));
    });
}

/// An address on which nothing listens.
fn unused_address() -> SocketAddr {
    free_address(Ipv4Addr::LOCALHOST.into()).expect("a port")
}

/// Guards against a set-up that is resent too early after its connection is lost. The call server had begun
/// to answer, so the call may have been executed and may go elsewhere only after the resend delay.
#[rstest]
#[case::stalls(false)]
#[case::disconnects(true)]
fn a_call_server_lost_within_an_answer_affects_only_its_own_connection(#[case] disconnects: bool) {
    on_one_thread(async {
        let world = EventLog::default();
        let half = "SIP/2.0 200 OK\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Le";
        let does = [ServerBehaviour::Raw(half.to_owned()), answers("b")];
        let (controller, servers, _) = Controller::with_servers(&world, &does).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(2), 9_000, 1, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("b".into()));
        caller.open(&name(1), 9_000, 0, "x").await;
        let first = world
            .wait_for("the set-up", |s| s.source == "s0" && matches!(s.kind, EventKind::SetUp(..)))
            .await;
        if disconnects {
            servers[0].die();
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("b".into()));
        let again = world.wait_for("again", |s| s.source == "s1" && s.sid == name(1)).await;
        assert!(again.at - first.at >= Duration::from_millis(500), "{:?}", again.at - first.at);
        // Connections and calls of the other server are unaffected.
        servers[1].release(&name(2), 16);
        world.wait_for("the release", is(&name(2), EventKind::Close(16, None))).await;
    });
}

/// Guards against an incomplete message of a caller that affects its other calls, or whose connection stays
/// open forever.
#[rstest]
#[case::stalls(false)]
#[case::disconnects(true)]
fn a_caller_lost_within_a_message_affects_only_its_own_connection(#[case] disconnects: bool) {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answers("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        let other = Caller::connect(&world, "d", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        caller.send(b"{\"msg\":\"open\",\"sid\":\"").await;
        if disconnects {
            caller.drop_connection();
        }
        controller.wait_for("its connection has been closed", |i| i.counters().clients == 1).await;
        // The established call continues; its release goes to the other connection.
        assert_eq!(controller.instance.counters().standing, 1);
        servers[0].release(&name(1), 16);
        assert_eq!(world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await.source, "d");
        other.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("a".into()));
    });
}

/// Guards against answers that are lost because their caller pauses within its next message for longer than a message may
/// take (review, `half-message`). The message is read to its end, and answered too.
#[test]
fn a_caller_silent_within_a_message_gets_the_answers_it_waits_for() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _bulletin) =
            Controller::with_scripted_servers(&world, &[&server], support::long_setup_target).await;
        let mut link = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        link.expect_request("INVITE").await;
        let attrs =
            json!({"class": "judge-call", "left": "9000", "key": "7f", "extras": "dest:0;width:1;via:-1"});
        let line = format!("{}\n", json!({"msg": "open", "sid": name(2), "attrs": attrs, "text": "x"}));
        let (begun, rest) = line.as_bytes().split_at(60);
        caller.send(begun).await;
        // Longer than the 1.5 s within which a message has to be whole on a connection that waits for nothing.
        tokio::time::sleep(Duration::from_millis(2_000)).await;
        link.replies(&name(1), 100, "").await; // or the call server's connection would count as unresponsive
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!caller.is_disconnected(), "an answer is pending on its connection");
        caller.send(rest).await;
        link.expect_request("INVITE").await;
        link.answers(&name(1), "y").await;
        link.answers(&name(2), "z").await;
        for (call, description) in [(1, "y"), (2, "z")] {
            assert_eq!(world.final_answer(&name(call)).await.kind, EventKind::Ready(description.into()));
        }
        // With no answer pending, a message that stays incomplete ends its connection as before.
        caller.send(begun).await;
        controller.wait_for("its connection has been closed", |i| i.counters().clients == 0).await;
    });
}
