//! Calls that end at their call server while connections, lists and earlier attempts get in the way: their callers must be
//! told in time (incident-518301). The controller runs as a program, as the platform starts it.

#[path = "support/platform.rs"]
mod platform;
#[path = "support/scene.rs"]
mod scene;
mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::core::CAUSE_CUT;
use lockpoint::upstream::sip::message::{parse, StartLine};
use rstest::rstest;
use scene::Scene;
use support::{name, on_one_thread, EventKind, RecordedEvent, ScriptedServer};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// A caller must be told of the end of its call within this time of the release by either side.
const RELEASE_LIMIT: Duration = Duration::from_millis(1_050);

/// What a call server has received: when, the method and the call.
type Received = Rc<RefCell<Vec<(Instant, String, String)>>>;

/// A call server that gives the first set-up of the call `spoilt` a description that is not text, answers all others, and
/// confirms no release of that call.
async fn spoiling_server(spoilt: String) -> (std::net::SocketAddr, Received) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    let received = Received::default();
    let record = received.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_spoiling(stream, spoilt.clone(), record.clone()));
        }
    });
    (at, received)
}

async fn serve_spoiling(mut stream: TcpStream, spoilt: String, received: Received) {
    let mut bytes = Vec::new();
    while stream.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {
        while let Ok(Some((message, used))) = parse(&bytes) {
            bytes.drain(..used);
            let StartLine::Request(method) = &message.start else { continue };
            let sid = message.call_id.clone();
            let earlier = received.borrow().iter().filter(|(_, m, s)| m == "INVITE" && *s == sid).count();
            received.borrow_mut().push((Instant::now(), method.clone(), sid.clone()));
            let description: &[u8] = if sid == spoilt && earlier == 0 { b"\xff\xfe\r\n" } else { b"y\r\n" };
            let body = if method == "INVITE" { description } else { b"" };
            if method == "ACK" || (method == "BYE" && sid == spoilt) {
                continue;
            }
            let (no, of) = &message.cseq;
            let head = format!(
                "SIP/2.0 200 OK\r\nCall-ID: {sid}\r\nCSeq: {no} {of}\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            let response = [head.as_bytes(), body].concat();
            if stream.write_all(&response).await.is_err() {
                return;
            }
        }
    }
}

/// Guards against a release for an earlier attempt that is retransmitted after the same call was set up again at that call
/// server: it ends the call, and its caller is never told.
#[test]
fn release_of_an_earlier_attempt_does_not_end_the_call_that_was_set_up_again() {
    on_one_thread(async {
        let (at, received) = spoiling_server(name(1)).await;
        let scene = Scene::new("retransmitted", support::list_entry("s0", at, 0, "ready")).await;
        // The call server confirms releases: those that it does not confirm are retransmitted.
        scene.caller.open(&name(9), 9_000, 0, "x").await;
        scene.expect_answer(&name(9)).await;
        scene.caller.close(&name(9), 16).await;
        scene.caller.open(&name(1), 9_000, 0, "x").await;
        scene.expect_answer(&name(1)).await;
        let answered_at = Instant::now();
        tokio::time::sleep(Duration::from_millis(4_500)).await;
        let of_call = |(at, method, sid): &(Instant, String, String)| {
            (*sid == name(1)).then(|| (method.clone(), at.saturating_duration_since(answered_at)))
        };
        let seen: Vec<(String, Duration)> = received.borrow().iter().filter_map(of_call).collect();
        let count = |method: &str| seen.iter().filter(|(m, _)| m == method).count();
        assert_eq!(count("INVITE"), 2, "{seen:?}");
        let last_invite = seen.iter().rposition(|(method, _)| method == "INVITE").expect("a set-up");
        assert!(seen[last_invite..].iter().all(|(method, _)| method != "BYE"), "{seen:?}");
    });
}

/// Guards against calls whose call server ends, and is listed as gone before the controller has connected again: nothing
/// connects any more, and the end is noticed seconds later.
#[rstest]
fn calls_of_a_server_that_ends_just_before_it_is_listed_as_gone_are_released(
    #[values(0, 20, 60)] listed_after_ms: u64,
) {
    on_one_thread(async {
        let server = ScriptedServer::start("s0").await;
        let scene = Scene::new(&format!("gone-{listed_after_ms}"), server.host(0, "ready")).await;
        let mut connection = server.accept_ready().await;
        scene.establish(&mut connection, 1).await;
        let gone = server.host(0, "gone");
        scene.bulletin.publish(false, vec![server.host(0, "draining")]);
        tokio::time::sleep(Duration::from_millis(100)).await;
        let ended_at = Instant::now();
        drop(server);
        connection.reset();
        tokio::time::sleep(Duration::from_millis(listed_after_ms)).await;
        scene.bulletin.publish(false, vec![gone]);
        let told_after = scene.release_of(&name(1)).await.saturating_duration_since(ended_at);
        assert!(told_after < RELEASE_LIMIT, "{told_after:?}");
    });
}

/// How one of a call server's connections ends.
#[derive(Debug, Clone, Copy)]
enum End {
    Reset,
    /// The call server sends something unreadable, and the controller closes the connection.
    Unreadable,
}

/// Guards against a release that is lost with its connection while another one is open: its call server sends it again on
/// the next connection that opens, so one must be opened.
#[rstest]
fn release_that_is_lost_with_its_connection_is_received_on_a_new_one(
    #[values("ready", "draining", "gone")] state: &str,
    #[values(End::Reset, End::Unreadable)] end: End,
) {
    on_one_thread(async {
        let server = ScriptedServer::start("s0").await;
        let scene = Scene::new(&format!("lost-{state}-{end:?}"), server.host(0, "ready")).await;
        let mut first = server.accept_ready().await;
        scene.establish(&mut first, 1).await;
        // A set-up is outstanding on the only connection: a second one is opened for later set-ups.
        for call in [2, 3] {
            scene.caller.open(&name(call), 9_000, 0, "x").await;
            first.expect_request("INVITE").await;
        }
        let mut second = server.accept_ready().await;
        for call in [2, 3] {
            first.answers(&name(call), "y\r\n").await;
            scene.expect_answer(&name(call)).await;
        }
        if state != "ready" {
            scene.bulletin.publish(false, vec![server.host(0, state)]);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
        // The release of call 1 was sent on the first connection, which ends before it has been read.
        let ended_at = Instant::now();
        match end {
            End::Reset => first.reset(),
            End::Unreadable => first.send("SIP/2.0 nonsense\r\n\r\n").await,
        }
        let mut third = server.accept_ready().await;
        third.releases(&name(1), 16).await;
        let told_after = scene.release_of(&name(1)).await.saturating_duration_since(ended_at);
        assert!(told_after < RELEASE_LIMIT, "{told_after:?}");
        let others = |seen: &RecordedEvent| {
            [name(2), name(3)].contains(&seen.sid) && seen.kind == EventKind::Close(CAUSE_CUT, None)
        };
        assert_eq!(scene.events.count(others), 0, "the other calls go on");
        second.send("\r\n").await;
    });
}

/// Guards against a stopping controller that takes releases from its call servers when no caller can be told any more: each
/// is told, or left to the call server, which sends it to the next process.
#[test]
fn release_that_comes_in_a_stop_is_told_or_left_to_the_next_process() {
    const CALLS: u64 = 40;
    const PAUSE: Duration = Duration::from_millis(50);
    on_one_thread(async {
        let server = ScriptedServer::start("s0").await;
        let scene = Scene::new("stopping", server.host(0, "ready")).await;
        let mut connection = server.accept_ready().await;
        for call in 1..=CALLS {
            scene.establish(&mut connection, call).await;
        }
        scene.controller.signal("-TERM");
        let (mut reader, mut writer) = connection.stream.into_split();
        let releases = spawn_local(async move {
            for call in 1..=CALLS {
                tokio::time::sleep(PAUSE).await;
                let release = format!("BYE sip:peer@net SIP/2.0\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n", name(call));
                if writer.write_all(release.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        let mut bytes = Vec::new();
        while reader.read_buf(&mut bytes).await.is_ok_and(|count| count > 0) {}
        releases.await.expect("no panic");
        let mut confirmed = Vec::new();
        while let Ok(Some((message, used))) = parse(&bytes) {
            bytes.drain(..used);
            if message.start == StartLine::Response(200) && message.cseq.1 == "BYE" {
                confirmed.push(message.call_id);
            }
        }
        tokio::time::sleep(PAUSE).await;
        let told = |sid: &String| {
            scene.events.count(|seen| seen.sid == *sid && matches!(seen.kind, EventKind::Close(..))) == 1
        };
        let untold: Vec<&String> = confirmed.iter().filter(|sid| !told(sid)).collect();
        assert!(confirmed.len() >= 8, "the process was there for at least 0.4 s: {confirmed:?}");
        assert!(untold.is_empty(), "{untold:?} of {} confirmed", confirmed.len());
    });
}
