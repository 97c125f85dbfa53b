//! Idle clients that take all the descriptors they can get while discovery is down: the list, the call servers, the console
//! and the signals keep descriptors of their own, and a real client is served. The controller is the real program, under a
//! limit of the system's on its descriptors.

#[path = "support/platform.rs"]
mod platform;
mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform::{free_address, Platform};
use rstest::rstest;
use serde_json::{json, Value};
use support::{
    in_time, list_entry, name, on_one_thread, settings, Bulletin, Caller, EventKind, EventLog,
    ServerBehaviour, SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// The system's limit on the controller's descriptors.
const DESCRIPTORS: u32 = 96;
/// Idle clients at once: more than the controller has descriptors.
const IDLE: usize = 150;
/// Call servers beside the one that answers.
const OTHERS: u16 = 24;
/// The list is there, and calls are served, so long after discovery has returned.
const LIST_WITHIN: Duration = Duration::from_secs(3);

/// Connects and says nothing; comes again whenever it is turned away.
async fn stays_idle(at: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(at).await {
            let mut bytes = [0; 64];
            while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A call server that accepts, keeps every connection and says nothing.
async fn silent_server(connected: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    spawn_local(async move {
        let mut kept = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if kept.is_empty() {
                connected.set(connected.get() + 1);
            }
            kept.push(stream);
        }
    });
    at
}

/// Whether the test that the front makes passes.
async fn test_passes(at: SocketAddr) -> bool {
    let Ok(mut stream) = TcpStream::connect(at).await else { return false };
    let probe = json!({"msg": "probe", "sid": name(9_999), "attrs": {}, "code": 0});
    if stream.write_all(format!("{probe}\n").as_bytes()).await.is_err() {
        return false;
    }
    let mut bytes = [0; 256];
    let read = tokio::time::timeout(Duration::from_millis(500), stream.read(&mut bytes)).await;
    let read = read.ok().and_then(Result::ok).unwrap_or(0);
    std::str::from_utf8(&bytes[..read]).is_ok_and(|text| text.contains("\"code\":1"))
}

async fn until(what: &str, within: Duration, mut holds: impl AsyncFnMut() -> bool) -> Duration {
    let began = Instant::now();
    while !holds().await {
        assert!(began.elapsed() < within, "not within {within:?}: {what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    began.elapsed()
}

/// Calls the console without keeping the test's other tasks waiting.
async fn console(platform: &Rc<Platform>, word: &'static str) -> String {
    let address = platform.console;
    let asked = async {
        let mut stream = TcpStream::connect(address).await.ok()?;
        stream.write_all(format!("{word}\n").as_bytes()).await.ok()?;
        let mut answer = String::new();
        stream.read_to_string(&mut answer).await.ok()?;
        Some(answer)
    };
    tokio::time::timeout(Duration::from_secs(1), asked).await.ok().flatten().unwrap_or_default()
}

/// Guards against callers who say nothing and take the descriptors that all else needs.
#[rstest]
#[case::limits_say_it(json!({"sockets": DESCRIPTORS}))]
#[case::only_the_system_says_it(json!({}))]
fn idle_clients_leave_descriptors_for_the_list_the_servers_the_console_and_a_real_client(
    #[case] limits: Value,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = free_address();
        let config = json!({"bulletin": bulletin.to_string(), "limits": limits, "settings": settings(1)});
        let label = format!("descriptors-{}", limits.as_object().map_or(0, serde_json::Map::len));
        let platform = Rc::new(Platform::start(&label, &config, Some(DESCRIPTORS)));
        until("it listens", Duration::from_secs(10), async || TcpStream::connect(platform.at).await.is_ok())
            .await;
        for _ in 0..IDLE {
            spawn_local(stays_idle(platform.at));
        }
        // They have come, and those beyond what callers may hold have been turned away more than once.
        tokio::time::sleep(Duration::from_millis(500)).await;
        println!("{} descriptors held with discovery down", platform.descriptors());
        assert!(console(&platform, "PING").await.starts_with("FAILURE no list"), "the console answers");

        let connected = Rc::new(Cell::new(0));
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".to_owned())).await;
        let mut hosts = vec![list_entry("s0", server.at, 0, "ready")];
        for n in 1..=OTHERS {
            hosts.push(list_entry(&format!("s{n}"), silent_server(connected.clone()).await, 10 + n, "ready"));
        }
        let returned = Bulletin::start_at(&world, bulletin).await.expect("discovery returns");
        returned.publish(true, hosts);
        let listed = until("the test passes", LIST_WITHIN, async || test_passes(platform.at).await).await;
        let all = usize::from(OTHERS);
        let reached =
            until("all call servers are reached", LIST_WITHIN, async || connected.get() == all).await;
        println!(
            "list {listed:?}, all call servers {reached:?} later; {} descriptors",
            platform.descriptors()
        );
        assert!(console(&platform, "PING").await.starts_with("SUCCESS"), "the console answers");

        let caller = Caller::connect(&world, "real", platform.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        // Whoever is of use stays, however many come that are not.
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!caller.is_disconnected(), "the least used goes first");
        server.release(&name(1), 16);
        in_time("the release", world.wait_for("it", |s| s.kind == EventKind::Close(16, None))).await;
        // Signals are heard.
        platform.signal("-HUP");
        platform.signal("-TERM");
        let pid = platform.child.id();
        until("it ends", Duration::from_secs(10), async || {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            stat.is_empty() || stat.contains(") Z ")
        })
        .await;
    });
}
