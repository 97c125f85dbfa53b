//! Idle clients take all descriptors they can get while discovery is down. The list, the call servers, the
//! console and signals must still work, and a real client must be served. The controller runs as a program
//! under a system limit on its descriptors.

#[path = "support/platform.rs"]
mod platform;
mod support;

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use platform::Platform;
use rstest::rstest;
use serde_json::{json, Value};
use support::{
    in_time, list_entry, name, on_one_thread, settings, Bulletin, Caller, EventKind, EventLog,
    ServerBehaviour, SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::spawn_local;

/// System limit on the controller's descriptors.
const DESCRIPTORS: u32 = 96;
/// Number of idle clients, more than the controller has descriptors.
const IDLE: usize = 150;
/// Call servers besides the one that answers.
const OTHERS: u16 = 24;
/// How long after discovery recovers the list must be there and calls be served.
const LIST_WITHIN: Duration = Duration::from_secs(3);

/// Connects and sends nothing; connects again whenever it is disconnected.
async fn stay_idle(at: SocketAddr) {
    loop {
        if let Ok(mut stream) = TcpStream::connect(at).await {
            let mut bytes = [0; 64];
            while stream.read(&mut bytes).await.is_ok_and(|read| read > 0) {}
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// A call server that accepts, keeps every connection and sends nothing.
async fn silent_server(connected: Rc<Cell<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let at = listener.local_addr().expect("an address");
    spawn_local(async move {
        let mut connections = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            if connections.is_empty() {
                connected.set(connected.get() + 1);
            }
            connections.push(stream);
        }
    });
    at
}

/// Whether the health check of the front passes.
async fn health_check_passes(at: SocketAddr) -> bool {
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

/// Calls the console without blocking the test's other tasks.
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

/// Idle callers must not take the descriptors that everything else needs.
#[rstest]
#[case::limit_from_the_configuration(json!({"sockets": DESCRIPTORS}))]
#[case::limit_from_the_system(json!({}))]
fn idle_clients_leave_descriptors_for_list_servers_console_and_a_real_client(#[case] limits: Value) {
    on_one_thread(async {
        let world = EventLog::default();
        // Bound, so that its port stays free for it, and refusing connections until it listens.
        let bulletin = TcpSocket::new_v4().expect("a socket");
        bulletin.bind("127.0.0.1:0".parse().expect("an address")).expect("a port");
        let bulletin_address = bulletin.local_addr().expect("an address").to_string();
        let config = json!({"bulletin": bulletin_address, "limits": limits, "settings": settings(1)});
        let label = format!("descriptors-{}", limits.as_object().map_or(0, serde_json::Map::len));
        let platform = Rc::new(Platform::start(&label, &config, Some(DESCRIPTORS)));
        until("the controller listens", Duration::from_secs(10), async || {
            TcpStream::connect(platform.at).await.is_ok()
        })
        .await;
        for _ in 0..IDLE {
            spawn_local(stay_idle(platform.at));
        }
        // By now they have connected, and those beyond the limit for callers have been disconnected more than
        // once.
        tokio::time::sleep(Duration::from_millis(500)).await;
        println!("{} descriptors held with discovery down", platform.descriptors());
        assert!(console(&platform, "PING").await.starts_with("FAILURE no list"), "the console answers");

        let connected = Rc::new(Cell::new(0));
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".to_owned())).await;
        let mut hosts = vec![list_entry("s0", server.at, 0, "ready")];
        for n in 1..=OTHERS {
            hosts.push(list_entry(&format!("s{n}"), silent_server(connected.clone()).await, 10 + n, "ready"));
        }
        let recovered = Bulletin::start_on(&world, bulletin.listen(1_024).expect("discovery recovers"))
            .expect("discovery recovers");
        recovered.publish(true, hosts);
        let listed =
            until("the health check passes", LIST_WITHIN, async || health_check_passes(platform.at).await)
                .await;
        let all = usize::from(OTHERS);
        let reached =
            until("all call servers are connected", LIST_WITHIN, async || connected.get() == all).await;
        println!(
            "list {listed:?}, all call servers {reached:?} later; {} descriptors",
            platform.descriptors()
        );
        assert!(console(&platform, "PING").await.starts_with("SUCCESS"), "the console answers");

        let caller = Caller::connect(&world, "real", platform.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        // A connection in use stays, however many idle ones arrive.
        tokio::time::sleep(Duration::from_millis(500)).await;
        assert!(!caller.is_disconnected(), "the least used connection must be closed first");
        server.release(&name(1), 16);
        in_time("the release", world.wait_for("it is closed", |s| s.kind == EventKind::Close(16, None)))
            .await;
        // Signals are handled.
        platform.signal("-HUP");
        platform.signal("-TERM");
        let pid = platform.child.id();
        until("the controller ends", Duration::from_secs(10), async || {
            let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
            stat.is_empty() || stat.contains(") Z ")
        })
        .await;
    });
}
