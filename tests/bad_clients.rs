//! Bad clients on real sockets: each is turned away in time, and costs usual callers nothing.

mod support;

use std::time::{Duration, Instant};

use lockpoint::counters::Counters;
use rstest::rstest;
use serde_json::json;
use support::{
    list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog, ServerBehaviour,
    SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

/// What a bad client hears until it is closed or told, at most 3 s after it connected.
async fn heard(at: std::net::SocketAddr, says: &[u8]) -> String {
    let mut stream = TcpStream::connect(at).await.expect("the controller listens");
    let began = Instant::now();
    let mut heard = Vec::new();
    let talk = async {
        // Whoever is closed while it writes has got its close.
        if stream.write_all(says).await.is_ok() {
            let mut chunk = [0; 1024];
            while let Ok(n @ 1..) = stream.read(&mut chunk).await {
                heard.extend_from_slice(&chunk[..n]);
            }
        }
    };
    assert!(tokio::time::timeout(Duration::from_secs(10), talk).await.is_ok(), "never closed: {says:?}");
    let heard = String::from_utf8(heard).expect("text");
    let took = began.elapsed();
    assert!(took < Duration::from_secs(3) || heard.contains("\"close\""), "nothing for {took:?}: {says:?}");
    heard
}

fn open(sid: &str, change: (&str, &str)) -> Vec<u8> {
    let line = format!(
        r#"{{"msg":"open","sid":"{sid}","attrs":{{"class":"judge-call","left":"2000","key":"7f3a","extras":"dest:0;width:1;via:-1"}},"text":"x"}}"#
    );
    assert!(line.contains(change.0));
    (line.replace(change.0, change.1) + "\n").into_bytes()
}

/// Guards against clients that wait in vain, and against calls set up for what nobody can mean.
#[rstest]
#[case::nothing(Vec::new(), "")]
#[case::noise(b"\x00\xff\xfe noise\n".to_vec(), "")]
#[case::half_a_message(open(&name(1), ("\"text\"", "\n")), "")]
#[case::no_end(vec![b'x'; 3 << 20], "")]
#[case::a_body_beyond_measure(open(&name(1), ("\"x\"", &format!("\"{}\"", "y".repeat(3 << 20)))), "")]
#[case::no_name(open("", ("dest:0", "dest:0")), "")]
#[case::an_unknown_class(open(&name(1), ("judge-call", "no-such")), "close")]
#[case::time_not_a_number(open(&name(1), ("2000", "NaN")), "close")]
#[case::time_below_zero(open(&name(1), ("2000", "-5")), "close")]
#[case::time_out_of_range(open(&name(1), ("2000", "1e300")), "close")]
#[case::a_place_out_of_range(open(&name(1), ("dest:0", "dest:70000")), "close")]
#[case::a_place_not_a_number(open(&name(1), ("dest:0", "dest:x")), "close")]
#[case::a_width_below_zero(open(&name(1), ("width:1", "width:-1")), "close")]
#[case::a_number_too_long(open(&name(1), ("7f3a", &"7".repeat(100))), "close")]
#[case::more_than_a_message_holds(open(&name(1), ("\"x\"", &format!("\"{}\"", "y".repeat(15_900)))), "close")]
#[case::taken_back([open(&name(1), ("x", "x")), format!("{{\"msg\":\"close\",\"sid\":\"{}\"}}\n", name(1)).into()].concat(), "")]
#[case::one_name_for_two([open(&name(1), ("x", "x")), open(&name(1), ("\"x\"", "\"z\""))].concat(), "close")]
fn a_bad_client_is_turned_away_in_time_and_never_served(#[case] says: Vec<u8>, #[case] answer: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        // It answers nothing: what a bad client gets, it gets from the controller.
        let (controller, _servers, _) = Controller::with_servers(&world, &[ServerBehaviour::Silent]).await;
        let heard = heard(controller.at, &says).await;
        assert!(!heard.contains("ready"), "{heard}");
        assert!(heard.contains(answer), "{heard}");
        controller.turns("its connection is gone", |i| i.counters().clients == 0).await;
        assert_eq!(controller.instance.counters().open, 0);
    });
}

/// Guards against callers shut out by connections that say nothing.
#[test]
fn silent_connections_fill_no_room_that_a_caller_needs() {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", answers("a")).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        let mut config = support::config(bulletin.at);
        config.limits.sockets = 64;
        let room = config.limits.callers();
        let controller = Controller::start(config).await;
        controller.holds_list().await;
        let mut silent = Vec::new();
        for _ in 0..2 * room {
            silent.push(TcpStream::connect(controller.at).await.expect("it listens"));
        }
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        assert!(controller.instance.counters().clients <= room);
        server.release(&name(1), 16);
        world.wait_for("the release", |s| s.kind == EventKind::Close(16, None)).await;
    });
}

/// Guards against a caller that asks for hundreds at once and takes the place of the others.
#[test]
fn one_caller_holds_no_more_than_its_share() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _servers, _) = Controller::with_servers(&world, &[ServerBehaviour::Silent]).await;
        let greedy = Caller::connect(&world, "greedy", controller.at).await;
        // All at once: had they come over more than 0.7 s, as on a busy machine, the silent call server would be
        // found out meanwhile, and the later ones refused for that.
        let ask = |n| {
            let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f", "extras": "dest:0;width:1;via:-1"});
            format!("{}\n", json!({"msg": "open", "sid": name(n), "attrs": attrs, "text": "x"}))
        };
        greedy.send((0..400).map(ask).collect::<String>().as_bytes()).await;
        let refused = |s: &support::RecordedEvent| matches!(s.kind, EventKind::Close(42, Some(_)));
        world.wait_for_count("those beyond its share", 144, refused).await;
        assert_eq!(controller.instance.counters().open, 256);
        let usual = Caller::connect(&world, "usual", controller.at).await;
        usual.open(&name(1_000), 9_000, 0, "x").await;
        controller.turns("the usual one is taken", |i| i.counters().open == 257).await;
    });
}

/// Guards against a caller that takes another's name, or takes back what is another's.
#[test]
fn nobody_takes_a_name_that_is_anothers() {
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
            .wait_for("it is turned away", |s| s.source == "bad" && matches!(s.kind, EventKind::Close(31, _)))
            .await;
        let call = lockpoint::core::Sid::parse(&name(1)).expect("a name");
        let answer =
            format!("SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\na");
        servers[0].send(answer.as_bytes());
        let served = world.wait_for("the answer", |s| s.kind == EventKind::Ready("a".into())).await;
        assert_eq!((served.source.as_str(), served.sid), ("usual", name(1)));
        // It stands: its name is still nobody else's.
        bad.open(&name(1), 9_000, 0, "x").await;
        world
            .wait_for_count("away", 2, |s| s.source == "bad" && matches!(s.kind, EventKind::Close(31, _)))
            .await;
        let Counters { completed, standing, .. } = controller.instance.counters();
        assert_eq!((completed, standing), (1, 1));
    });
}
