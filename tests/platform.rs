//! The requirements on a controller, one test each, over real sockets with the platform's protocols: JSON lines, SIP
//! and the bulletin.

mod support;

use std::time::Duration;

use support::{
    list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog, RecordedEvent,
    ServerBehaviour, SipServer,
};

const DESCRIPTION: &str =
    "9d41c07a5be2f318\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n\"\u{e9}\\\t";

fn answer_with(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

fn event(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

fn set_up_at(server: &str) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.source == server && matches!(seen.kind, EventKind::SetUp(..))
}

#[test]
fn a_call_gets_one_final_answer_and_its_contents_pass_unchanged() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _servers, _) = Controller::with_servers(&world, &[answer_with(DESCRIPTION)]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, DESCRIPTION).await;
        // A repeated set-up is not a new call.
        caller.open(&name(1), 2_000, 0, DESCRIPTION).await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready(DESCRIPTION.to_owned()));
        let sent = world.wait_for("the set-up", set_up_at("s0")).await;
        let expected = EventKind::SetUp("judge-call".into(), "7f3a9c21e0b4d655".into(), DESCRIPTION.into());
        assert_eq!((sent.sid, sent.kind), (name(1), expected));
        let counters = controller.stop().await;
        assert_eq!(
            (counters.taken, counters.completed, counters.duplicates, counters.attempts),
            (1, 1, 1, 1)
        );
        assert_eq!(world.count(|s| s.source == "c" && !matches!(s.kind, EventKind::Asked(_))), 1);
    });
}

#[test]
fn a_call_that_no_call_server_accepts_is_refused_early_with_a_wait() {
    on_one_thread(async {
        let world = EventLog::default();
        let full = ServerBehaviour::Refuse(503, "P-Reason: queue_long\r\nP-Line-Ms: 2500\r\n".into());
        let (controller, _servers, _) = Controller::with_servers(&world, &[full.clone(), full]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        let asked =
            world.wait_for("asked", |s| s.sid == name(1) && matches!(s.kind, EventKind::Asked(_))).await;
        let answer = world.final_answer(&name(1)).await;
        assert!(matches!(answer.kind, EventKind::Close(34 | 42 | 102, Some(wait)) if wait > 0), "{answer:?}");
        assert!(
            answer.at - asked.at < Duration::from_secs(4),
            "refused only after {:?}",
            answer.at - asked.at
        );
        let refusals = world.events().into_iter().filter(|s| s.kind == EventKind::Refused).count();
        assert!((1..=5).contains(&refusals));
    });
}

#[test]
fn after_a_silent_call_server_the_second_attempt_waits_for_the_release_of_the_first() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _servers, _) =
            Controller::with_servers(&world, &[ServerBehaviour::Silent, answer_with("y")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let cancel = world.wait_for("the cancel", event(&name(1), EventKind::Cancel)).await;
        let second = world.wait_for("the second attempt", set_up_at("s1")).await;
        assert!(second.at >= cancel.at + Duration::from_millis(500), "{:?} after", second.at - cancel.at);
        assert_eq!(controller.instance.counters().held_back, 0);
    });
}

#[test]
fn a_draining_call_server_gets_no_new_calls() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, bulletin) =
            Controller::with_servers(&world, &[answer_with("a"), answer_with("b")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        bulletin.publish(false, vec![list_entry("s0", servers[0].at, 0, "draining")]);
        let listed =
            world.wait_for_count("the lists", 2, |s| matches!(s.kind, EventKind::Told(_))).await[1].at;
        // Calls continue to arrive. From 250 ms after the bulletin lists the drain, none may reach the draining call
        // server.
        for n in 2..60 {
            caller.open(&name(n), 2_000, 0, "x").await;
            world.final_answer(&name(n)).await;
            tokio::time::sleep(Duration::from_millis(6)).await;
        }
        let late = |s: &RecordedEvent| set_up_at("s0")(s) && s.at > listed + Duration::from_millis(250);
        assert_eq!(world.count(late), 0);
        assert!(world.count(|s| set_up_at("s1")(s) && s.at > listed + Duration::from_millis(250)) > 0);
        // Calls established there continue, and their release still reaches the caller.
        servers[0].release(&name(1), 16);
        world.wait_for("the release", event(&name(1), EventKind::Close(16, None))).await;
    });
}

#[test]
fn a_release_reaches_the_caller_on_another_connection_or_on_the_next_one() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answer_with("a")]).await;
        let first = Caller::connect(&world, "first", controller.at).await;
        let second = Caller::connect(&world, "second", controller.at).await;
        for n in 1..=2 {
            first.open(&name(n), 2_000, 0, "x").await;
            world.final_answer(&name(n)).await;
        }
        first.drop_connection();
        controller.wait_for("one connection left", |i| i.counters().clients == 1).await;
        servers[0].release(&name(1), 41);
        let release = world.wait_for("the release", event(&name(1), EventKind::Close(41, None))).await;
        assert_eq!(release.source, "second");
        second.drop_connection();
        controller.wait_for("none left", |i| i.counters().clients == 0).await;
        servers[0].release(&name(2), 16);
        controller.wait_for("the release is received", |i| i.counters().standing == 0).await;
        let _third = Caller::connect(&world, "third", controller.at).await;
        assert_eq!(
            world.wait_for("the second release", event(&name(2), EventKind::Close(16, None))).await.source,
            "third"
        );
    });
}

#[test]
fn a_caller_ends_its_call_on_any_connection_and_crossing_releases_are_resolved() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answer_with("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        let other = Caller::connect(&world, "d", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        other.close(&name(1), 16).await;
        assert_eq!(world.wait_for("the confirmation", event(&name(1), EventKind::Closed)).await.source, "d");
        world.wait_for("the BYE", event(&name(1), EventKind::Bye(16))).await;
        // The call server's own release has crossed that of the caller, which must not get another one.
        servers[0].release(&name(1), 16);
        servers[0].release(&name(9), 16);
        world.wait_for("the next release", event(&name(9), EventKind::Close(16, None))).await;
        assert_eq!(world.count(event(&name(1), EventKind::Close(16, None))), 0);
    });
}

#[test]
fn calls_of_a_call_server_that_dies_are_released_to_their_callers() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answer_with("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        servers[0].die();
        world.wait_for("the release", event(&name(1), EventKind::Close(41, None))).await;
        assert_eq!(controller.instance.counters().standing, 0);
    });
}

/// Guards against established calls being released because a connection to their call server was reset.
#[test]
fn established_calls_survive_a_reset_of_the_connection() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answer_with("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        let before = controller.instance.counters().connected;
        servers[0].reset_connections();
        controller.wait_for("a new connection is established", |i| i.counters().connected > before).await;
        assert_eq!(controller.instance.counters().standing, 1);
        servers[0].release(&name(1), 16);
        world.wait_for("the release", event(&name(1), EventKind::Close(16, None))).await;
    });
}

#[test]
fn a_release_of_a_call_that_was_set_up_before_a_restart_is_passed_on() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[answer_with("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        controller
            .wait_for("caller and call server are connected", |i| {
                i.counters().clients == 1 && i.counters().connected == 1
            })
            .await;
        servers[0].release(&name(7), 16);
        world.wait_for("the release", event(&name(7), EventKind::Close(16, None))).await;
        // A release by the caller is sent to the call servers.
        caller.close(&name(8), 16).await;
        world.wait_for("the BYE", event(&name(8), EventKind::Bye(16))).await;
    });
}

#[test]
fn a_health_check_passes_only_once_a_list_is_received() {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", answer_with("a")).await;
        let controller = Controller::start(support::config(bulletin.at)).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        let probe = b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n";
        caller.send(probe).await;
        world.wait_for("the health check fails", |s| s.kind == EventKind::Other("probed 0".into())).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert!(matches!(world.final_answer(&name(1)).await.kind, EventKind::Close(42, Some(_))));
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        controller.wait_for_list().await;
        caller.send(probe).await;
        world.wait_for("the health check passes", |s| s.kind == EventKind::Other("probed 1".into())).await;
    });
}

#[test]
fn a_stopping_controller_accepts_calls_for_a_while_and_answers_all_that_it_took() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _servers, _) =
            Controller::with_servers(&world, &[answer_with("a"), ServerBehaviour::Silent]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        // One call server is silent; the other one answers more than a second later.
        caller.open(&name(1), 9_000, 1, "x").await;
        controller.ask_to_stop();
        controller.wait_for("the controller is stopping", |i| i.stopping()).await;
        let late = Caller::connect(&world, "late", controller.at).await;
        late.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("a".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.taken), (0, 2));
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
    });
}

#[test]
fn a_malformed_message_costs_only_itself_or_its_connection() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, bulletin) = Controller::with_servers(&world, &[answer_with("a")]).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        let other = Caller::connect(&world, "d", controller.at).await;
        // A line that cannot be parsed closes its connection. A set-up whose sid can be read is refused, and the
        // connection stays open.
        let malformed =
            [&b"{\"msg\":\"open\"\n"[..], b"[]\n", b"\xff\xfe\n", b"{\"msg\":\"open\",\"sid\":\"short\"}\n"];
        for line in malformed {
            Caller::connect(&world, "bad", controller.at).await.send(line).await;
        }
        let incomplete = format!("{{\"msg\":\"open\",\"sid\":\"{}\"}}\n", name(9));
        caller.send(incomplete.as_bytes()).await;
        world.wait_for("the refusal", event(&name(9), EventKind::Close(100, None))).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        // A SIP message that cannot be parsed closes its connection, which is established again.
        servers[0].send(b"NOISE\r\nContent-Length: 3\r\n\r\nabc");
        bulletin.publish(false, vec![serde_json::json!({"host": 5})]);
        caller.open(&name(2), 2_000, 0, "x").await;
        world.final_answer(&name(2)).await;
        servers[0].send(b"NOTIFY sip:a@b SIP/2.0\r\n\r\n");
        other.send(&[b'x'; 20_000]).await;
        controller
            .wait_for("all malformed messages are counted", |i| {
                let c = i.counters();
                c.malformed_lines == 6
                    && c.malformed_sip == 2
                    && c.malformed_bulletin == 1
                    && c.connected >= 3
            })
            .await;
        caller.open(&name(3), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(3)).await.kind, EventKind::Ready("a".into()));
        assert_eq!(controller.instance.counters().standing, 3);
    });
}
