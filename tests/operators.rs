//! The operators' console on real sockets: commands, metrics, drain and rejoin.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use lockpoint::config::InstanceConfig;
use rstest::rstest;
use support::{
    list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog, ServerBehaviour,
    SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Every command must be answered within this time.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

fn with_console(bulletin: SocketAddr) -> InstanceConfig {
    InstanceConfig { console: Some("127.0.0.1:0".parse().expect("an address")), ..support::config(bulletin) }
}

/// Starts an answering call server and a controller that lists it; returns the controller's console address too.
async fn start(world: &EventLog) -> (Controller, std::rc::Rc<SipServer>, SocketAddr) {
    let bulletin = Bulletin::start(world).await;
    let server = SipServer::start(world, "s0", ServerBehaviour::Answer("a".into())).await;
    bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
    let controller = Controller::start(with_console(bulletin.at)).await;
    controller.wait_for_list().await;
    let console = controller.console_at.expect("a console");
    (controller, server, console)
}

/// Sends bytes piece by piece and returns the reply.
async fn send_pieces(console: SocketAddr, pieces: &[Vec<u8>]) -> String {
    let exchange = async {
        let mut stream = TcpStream::connect(console).await.expect("the console listens");
        stream.set_nodelay(true).expect("set");
        for piece in pieces {
            let _ = stream.write_all(piece).await;
            tokio::task::yield_now().await;
        }
        let mut text = String::new();
        stream.read_to_string(&mut text).await.expect("a reply, and an orderly close");
        text
    };
    tokio::time::timeout(REPLY_TIMEOUT, exchange).await.expect("answered in time")
}

async fn command(console: SocketAddr, line: &str) -> String {
    send_pieces(console, &[format!("{line}\n").into_bytes()]).await
}

fn metric(info: &str, name: &str) -> String {
    let value = |line: &str| Some(line.strip_prefix(&format!("controller.{name}:"))?.to_owned());
    info.lines().find_map(value).unwrap_or_else(|| panic!("no {name} in {info}"))
}

#[rstest]
#[case::whole(vec![b"PING\n".to_vec()], "SUCCESS")]
#[case::with_a_return(vec![b"PING\r\n".to_vec()], "SUCCESS")]
#[case::byte_by_byte(b"PING\n".iter().map(|b| vec![*b]).collect(), "SUCCESS")]
#[case::unknown(vec![b"STOP\n".to_vec()], "FAILURE unknown command 'STOP'")]
#[case::nothing(vec![b"\n".to_vec()], "FAILURE unknown command ''")]
#[case::noise(vec![b"\xff\x00\x1b[2J\n".to_vec()], "FAILURE")]
#[case::too_long(vec![vec![b'P'; 5_000], b"\n".to_vec()], "FAILURE line longer than")]
#[case::without_end(vec![vec![b'P'; 129]], "FAILURE line longer than")]
fn a_line_gets_a_reply_or_an_error(#[case] pieces: Vec<Vec<u8>>, #[case] answer: &str) {
    on_one_thread(async {
        let world = EventLog::default();
        let (_controller, _server, console) = start(&world).await;
        let got = send_pieces(console, &pieces).await;
        assert!(got.starts_with(answer) && got.lines().count() == 1, "{got}");
    });
}

#[test]
fn ping_succeeds_once_calls_can_be_served() {
    on_one_thread(async {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", ServerBehaviour::Answer("a".into())).await;
        let controller = Controller::start(with_console(bulletin.at)).await;
        let console = controller.console_at.expect("a console");
        assert!(command(console, "PING").await.starts_with("FAILURE no list"));
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        controller.wait_for_list().await;
        assert!(command(console, "PING").await.starts_with("SUCCESS"));
    });
}

/// Guards against connections that send nothing, or half a command, and use up the console's descriptors.
#[test]
fn idle_connections_do_not_keep_a_command_from_its_reply() {
    on_one_thread(async {
        let world = EventLog::default();
        let (_controller, _server, console) = start(&world).await;
        let mut idle = Vec::new();
        for n in 0..120 {
            let mut stream = TcpStream::connect(console).await.expect("the console listens");
            if n % 2 == 0 {
                stream.write_all(b"INF").await.expect("sent");
            }
            idle.push(stream);
        }
        for line in ["PING", "INFO", "PING"] {
            assert!(command(console, line).await.starts_with("SUCCESS"));
        }
    });
}

#[test]
fn info_reports_how_requests_ended_and_what_is_pending() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, console) = start(&world).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        for n in 1..=2 {
            caller.open(&name(n), 2_000, 0, "x").await;
            world.final_answer(&name(n)).await;
        }
        *server.behaviour.borrow_mut() = ServerBehaviour::Refuse(503, String::new());
        caller.open(&name(3), 2_000, 0, "x").await;
        world.final_answer(&name(3)).await;
        let info = command(console, "INFO").await;
        assert!(info.starts_with("SUCCESS") && info.ends_with("\nEOT\n"), "{info}");
        let table = [
            ("downstream_requests.judge-call.completed", "2|c"),
            ("downstream_requests.judge-call.rejected", "1|c"),
            ("downstream_requests.judge-call.failed", "0|c"),
            ("upstream_requests", "3|c"),
            ("pending", "2|g"),
            ("members", "1|g"),
            ("members_unavailable", "0|g"),
        ];
        for (name, value) in table {
            assert_eq!(metric(&info, name), value, "{name}");
        }
        server.release(&name(1), 16);
        world.wait_for("the release", |s| s.sid == name(1) && s.kind == EventKind::Close(16, None)).await;
        assert_eq!(metric(&command(console, "INFO").await, "pending"), "1|g");
    });
}

async fn health_check_passes(at: SocketAddr) -> bool {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    let probe = b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n";
    stream.write_all(probe).await.expect("sent");
    let mut heard = [0; 256];
    let n = stream.read(&mut heard).await.expect("an answer");
    String::from_utf8_lossy(&heard[..n]).contains("\"code\":1")
}

#[test]
fn a_drain_answers_accepted_calls_then_closes_connections_in_order_and_rejoin_revokes_it() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, console) = start(&world).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        *server.behaviour.borrow_mut() = ServerBehaviour::Silent;
        caller.open(&name(2), 9_000, 0, "x").await;
        world
            .wait_for("the attempt is out", |s| s.sid == name(2) && matches!(s.kind, EventKind::SetUp(..)))
            .await;
        let idle = TcpStream::connect(controller.at).await.expect("it listens");
        for _ in 0..2 {
            assert!(command(console, "LAMEDUCK").await.starts_with("SUCCESS"));
        }
        assert!(!health_check_passes(controller.at).await, "health checks fail at once");
        // New connections are still accepted and served.
        *server.behaviour.borrow_mut() = ServerBehaviour::Answer("b".into());
        let late = Caller::connect(&world, "late", controller.at).await;
        late.open(&name(3), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(3)).await.kind, EventKind::Ready("b".into()));
        // The idle connection is closed in order; that of the established call stays open for its release.
        let mut rest = Vec::new();
        let mut idle = idle;
        let end = tokio::time::timeout(Duration::from_secs(2), idle.read_to_end(&mut rest)).await;
        assert!(matches!(end, Ok(Ok(0))), "{end:?}");
        server.release(&name(1), 16);
        world.wait_for("the release", |s| s.sid == name(1) && s.kind == EventKind::Close(16, None)).await;
        assert!(command(console, "PING").await.starts_with("SUCCESS"), "the process can serve");
        for _ in 0..2 {
            assert!(command(console, "REJOIN").await.starts_with("SUCCESS"));
        }
        assert!(health_check_passes(controller.at).await, "health checks pass again");
        let after = Caller::connect(&world, "after", controller.at).await;
        after.open(&name(4), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(4)).await.kind, EventKind::Ready("b".into()));
    });
}

/// Guards against idle connections and accepted set-ups in a controller that is to be empty.
#[test]
fn a_drained_controller_has_no_connection_after_four_seconds() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _server, console) = start(&world).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        command(console, "LAMEDUCK").await;
        let began = std::time::Instant::now();
        // The established call keeps its connection for its release; a late set-up on it is refused at once.
        let mut n = 1;
        let refused = loop {
            n += 1;
            caller.open(&name(n), 9_000, 0, "x").await;
            match world.final_answer(&name(n)).await.kind {
                EventKind::Ready(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                other => break other,
            }
        };
        assert!(matches!(refused, EventKind::Close(42, Some(_))) && n > 2, "{refused:?} for call {n}");
        assert!(began.elapsed() < Duration::from_secs(2), "{:?}", began.elapsed());
        controller.wait_for("no connection is left", |i| i.counters().clients == 0).await;
        assert!(began.elapsed() < Duration::from_secs(4), "{:?}", began.elapsed());
        assert_eq!(controller.instance.counters().standing, n as usize - 1, "established calls continue");
    });
}
