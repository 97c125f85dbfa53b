//! Misbehaving clients on real sockets: each is turned away in time without harm to other callers.

mod support;

use std::time::{Duration, Instant};

use lockpoint::counters::Counters;
use rstest::rstest;
use serde_json::json;
use support::{
    in_time, list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog,
    ScriptedServer, ServerBehaviour, SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

/// Sends `input` and returns what the controller sends until it closes. Closing must take less than 3 s unless
/// the call was refused.
async fn talk_until_closed(at: std::net::SocketAddr, input: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.expect("the controller listens");
    let began = Instant::now();
    let mut received = Vec::new();
    let exchange = async {
        // If the write fails, the connection has been closed already.
        if stream.write_all(input).await.is_ok() {
            let mut chunk = [0; 1024];
            while let Ok(n @ 1..) = stream.read(&mut chunk).await {
                received.extend_from_slice(&chunk[..n]);
            }
        }
    };
    assert!(tokio::time::timeout(Duration::from_secs(10), exchange).await.is_ok(), "never closed: {input:?}");
    let received = String::from_utf8(received).expect("text");
    let took = began.elapsed();
    assert!(
        took < Duration::from_secs(3) || received.contains("\"close\""),
        "no reply for {took:?}: {input:?}"
    );
    received
}

fn open(sid: &str, change: (&str, &str)) -> Vec<u8> {
    let line = format!(
        r#"{{"msg":"open","sid":"{sid}","attrs":{{"class":"judge-call","left":"2000","key":"7f3a","extras":"dest:0;width:1;via:-1"}},"text":"x"}}"#
    );
    assert!(line.contains(change.0));
    (line.replace(change.0, change.1) + "\n").into_bytes()
}

/// Clients must not wait in vain, and no call may be set up for a malformed request.
#[rstest]
#[case::nothing(Vec::new(), "")]
#[case::noise(b"\x00\xff\xfe noise\n".to_vec(), "")]
#[case::half_a_message(open(&name(1), ("\"text\"", "\n")), "")]
#[case::an_endless_line(vec![b'x'; 3 << 20], "")]
#[case::an_oversized_body(open(&name(1), ("\"x\"", &format!("\"{}\"", "y".repeat(3 << 20)))), "")]
#[case::no_name(open("", ("dest:0", "dest:0")), "")]
#[case::an_unknown_class(open(&name(1), ("judge-call", "no-such")), "close")]
#[case::time_not_a_number(open(&name(1), ("2000", "NaN")), "close")]
#[case::time_below_zero(open(&name(1), ("2000", "-5")), "close")]
#[case::time_out_of_range(open(&name(1), ("2000", "1e300")), "close")]
#[case::a_cell_out_of_range(open(&name(1), ("dest:0", "dest:70000")), "close")]
#[case::a_cell_not_a_number(open(&name(1), ("dest:0", "dest:x")), "close")]
#[case::a_width_below_zero(open(&name(1), ("width:1", "width:-1")), "close")]
#[case::a_number_too_long(open(&name(1), ("7f3a", &"7".repeat(100))), "close")]
#[case::a_message_too_long(open(&name(1), ("\"x\"", &format!("\"{}\"", "y".repeat(15_900)))), "close")]
#[case::cancelled([open(&name(1), ("x", "x")), format!("{{\"msg\":\"close\",\"sid\":\"{}\"}}\n", name(1)).into()].concat(), "")]
#[case::one_name_for_two([open(&name(1), ("x", "x")), open(&name(1), ("\"x\"", "\"z\""))].concat(), "close")]
fn misbehaving_clients_are_turned_away_in_time_and_never_served(
    #[case] input: Vec<u8>,
    #[case] answer: &str,
) {
    on_one_thread(async {
        let world = EventLog::default();
        // The call server does not answer, so every reply comes from the controller.
        let (controller, _servers, _) = Controller::with_servers(&world, &[ServerBehaviour::Silent]).await;
        let received = talk_until_closed(controller.at, &input).await;
        assert!(!received.contains("ready"), "{received}");
        assert!(received.contains(answer), "{received}");
        controller.wait_for("the connection is closed", |i| i.counters().clients == 0).await;
        assert_eq!(controller.instance.counters().open, 0);
    });
}

/// Callers must not be shut out by connections that send nothing.
#[test]
fn silent_connections_make_room_for_callers() {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", answers("a")).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let mut config = support::config(bulletin.at);
        config.limits.sockets = 64;
        let room = config.limits.client_connections();
        let controller = Controller::start(config).await;
        controller.wait_for_list().await;
        let mut silent = Vec::new();
        for _ in 0..2 * room {
            silent.push(TcpStream::connect(controller.at).await.expect("the controller listens"));
        }
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        assert!(controller.instance.counters().clients <= room);
        server.release(&name(1), 16);
        world.wait_for("the release", |s| s.kind == EventKind::Close(16, None)).await;
    });
}

/// A caller that asks for hundreds of calls at once must not take the place of the others.
#[test]
fn one_caller_cannot_exceed_its_share() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _servers, _) = Controller::with_servers(&world, &[ServerBehaviour::Silent]).await;
        let greedy = Caller::connect(&world, "greedy", controller.at).await;
        // All at once: if they arrived over more than 0.7 s, as on a busy machine, the silent call server
        // would be found out meanwhile, and the later ones refused for that.
        let ask = |n| {
            let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f", "extras": "dest:0;width:1;via:-1"});
            format!("{}\n", json!({"msg": "open", "sid": name(n), "attrs": attrs, "text": "x"}))
        };
        let usual = Caller::connect(&world, "usual", controller.at).await;
        greedy.send((0..400).map(ask).collect::<String>().as_bytes()).await;
        usual.open(&name(1_000), 9_000, 0, "x").await;
        let refused = |s: &support::RecordedEvent| matches!(s.kind, EventKind::Close(42, Some(_)));
        world.wait_for_count("set-ups beyond its share are refused", 144, refused).await;
        controller.wait_for("the set-up of the other caller is accepted", |i| i.counters().open == 257).await;
        assert_eq!(world.count(refused), 144);
    });
}

/// A caller must not take the name of another's call, or cancel it.
#[test]
fn names_of_other_callers_calls_cannot_be_taken() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, servers, _) = Controller::with_servers(&world, &[ServerBehaviour::Silent]).await;
        let usual = Caller::connect(&world, "usual", controller.at).await;
        usual.open(&name(1), 9_000, 0, "x").await;
        world.wait_for("the set-up", |s| matches!(s.kind, EventKind::SetUp(..))).await;
        let bad = Caller::connect(&world, "bad", controller.at).await;
        bad.close(&name(1), 16).await;
        bad.open(&name(1), 9_000, 0, "z").await;
        world
            .wait_for("the duplicate is turned away", |s| {
                s.source == "bad" && matches!(s.kind, EventKind::Close(31, _))
            })
            .await;
        let call = lockpoint::core::Sid::parse(&name(1)).expect("a valid name");
        let answer =
            format!("SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\na");
        servers[0].send(answer.as_bytes());
        let served = world.wait_for("the answer", |s| s.kind == EventKind::Ready("a".into())).await;
        assert_eq!((served.source.as_str(), served.sid), ("usual", name(1)));
        // The call is established, and its name still belongs to its caller.
        bad.open(&name(1), 9_000, 0, "x").await;
        world
            .wait_for_count("turned away again", 2, |s| {
                s.source == "bad" && matches!(s.kind, EventKind::Close(31, _))
            })
            .await;
        let Counters { completed, standing, .. } = controller.instance.counters();
        assert_eq!((completed, standing), (1, 1));
    });
}

/// Half a message of a client, or a message that never ends, with an answer pending on the same connection.
#[derive(Debug, Clone, Copy)]
enum Unusable {
    Half,
    Endless,
}

/// Guards against clients that hold every read buffer with half a message each and so end the connections of the others:
/// a caller whose message comes in two pieces, and a call server whose answer does (review case 2). A connection on which
/// an answer is pending stays until it is written, even if its own input cannot be used.
#[rstest]
fn half_messages_of_many_clients_end_no_connection_with_pending_answers(
    #[values(Unusable::Half, Unusable::Endless)] unusable: Unusable,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (mut buffers, mut clients) = (0, 0);
        let (controller, _bulletin) = Controller::with_scripted_servers(&world, &[&server], |config| {
            config.limits.memory_mb = 8;
            (buffers, clients) = (config.limits.client_buffers().max, config.limits.client_connections());
            support::long_setup_target(config);
        })
        .await;
        assert!(2 * buffers < clients, "{buffers} buffers, {clients} connections");
        let mut link = server.accept_ready().await;
        let caller = Caller::connect(&world, "usual", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(link.expect_request("INVITE").await, name(1));
        let other = Caller::connect(&world, "unusable", controller.at).await;
        other.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(link.expect_request("INVITE").await, name(2));
        // It was opened because a set-up is outstanding on the first connection, and carries the third set-up.
        let mut second_link = server.accept_ready().await;
        let opened = |i: &lockpoint::instance::Instance| i.counters().connected == 2;
        controller.wait_for("a second connection is open", opened).await;
        let mut bad = Vec::new();
        for n in 0..2 * buffers {
            let line = open(&name(100 + n as u64), ("x", "x"));
            let mut stream = TcpStream::connect(controller.at).await.expect("the controller listens");
            stream.write_all(&line[..line.len() / 2]).await.expect("written");
            bad.push(stream);
        }
        let full =
            |i: &lockpoint::instance::Instance| i.counters().turned_away + i.counters().lost_connections > 0;
        controller.wait_for("buffers are short", full).await;
        let line = open(&name(3), ("x", "x"));
        let (first, rest) = line.split_at(line.len() / 2);
        caller.send(first).await;
        match unusable {
            Unusable::Half => other.send(first).await,
            Unusable::Endless => other.send(&vec![b'x'; 64 << 10]).await,
        }
        tokio::time::sleep(Duration::from_millis(30)).await;
        caller.send(rest).await;
        assert_eq!(second_link.expect_request("INVITE").await, name(3));
        // The answers come in two pieces, too.
        for call in [1, 2, 3] {
            let answer = format!(
                "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny",
                name(call)
            );
            let (first, rest) = answer.split_at(answer.len() / 2);
            let link = if call == 3 { &mut second_link } else { &mut link };
            link.send(first).await;
            tokio::time::sleep(Duration::from_millis(30)).await;
            link.send(rest).await;
            assert_eq!(world.final_answer(&name(call)).await.kind, EventKind::Ready("y".into()));
        }
        assert!(!caller.is_disconnected());
        // Nothing is pending on it any more.
        in_time("the end of the connection with unusable input", async {
            while !other.is_disconnected() {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        })
        .await;
    });
}
