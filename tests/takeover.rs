//! Takeover between two real processes under traffic, with simulated callers, call servers and bulletin.

mod support;

use std::cell::Cell;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lockpoint::takeover::{self, FrameKind, TakeoverChannel, TakeoverError};
use lockpoint_lab::ports::free_address;
use rstest::rstest;
use serde_json::json;
use support::{
    list_entry, name, on_one_thread, settings, Bulletin, Caller, EventKind, EventLog, RecordedEvent,
    ResponseFault, ServerBehaviour, SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The platform's side of a controller: its folder and listening socket, a call server and a bulletin.
struct Platform {
    world: EventLog,
    dir: PathBuf,
    listener: TcpListener,
    bulletin: Rc<Bulletin>,
    server: Rc<SipServer>,
    no: usize,
    consoles: Cell<u8>,
}

impl Platform {
    async fn new(test: &str, does: ServerBehaviour) -> Platform {
        static INSTANCES: AtomicUsize = AtomicUsize::new(0);
        let world = EventLog::default();
        let no = INSTANCES.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lockpoint-{test}-{}-{no}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
        rustix::io::fcntl_setfd(&listener, rustix::io::FdFlags::empty()).expect("children inherit it");
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", does).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        Platform { world, dir, listener, bulletin, server, no, consoles: Cell::new(0) }
    }

    fn at(&self) -> SocketAddr {
        self.listener.local_addr().expect("an address")
    }

    fn socket(&self) -> PathBuf {
        takeover::socket_path(&self.dir, "n1")
    }

    /// A console address that no other test process uses, on a port that the system picks.
    fn free_console_address(&self) -> SocketAddr {
        let id = std::process::id();
        self.consoles.set(self.consoles.get() + 1);
        let host =
            Ipv4Addr::from([127, 1 + (id % 200) as u8, 1 + (self.no % 200) as u8, self.consoles.get()]);
        free_address(host.into()).expect("a port")
    }

    fn write_config(&self, change: impl Fn(&mut serde_json::Value)) -> PathBuf {
        let file = self.dir.join("config.json");
        let mut text = json!({"name": "n1", "listen": self.at().to_string(), "bulletin": self.bulletin.at.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 256}, "settings": settings(1)});
        change(&mut text);
        std::fs::write(&file, text.to_string()).expect("written");
        file
    }

    /// Starts a process without an inherited listener: it looks for no predecessor, so its address is in use.
    fn start_without_descriptor(
        &self,
        console: SocketAddr,
        change: impl Fn(&mut serde_json::Value),
    ) -> Program {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", self.write_config(change)).env("ROUTER_CONSOLE", console.to_string());
        command.env("TMPDIR", &self.dir).env_remove("ROUTER_FD").env_remove("ROUTER_LISTEN");
        Program {
            child: command.env_remove("ROUTER_NAME").stderr(Stdio::piped()).spawn().expect("it starts"),
            console,
        }
    }

    fn start_with(&self, console: SocketAddr, change: impl Fn(&mut serde_json::Value)) -> Program {
        let file = self.write_config(change);
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", file).env("ROUTER_CONSOLE", console.to_string());
        command.env("ROUTER_FD", self.listener.as_raw_fd().to_string()).env("TMPDIR", &self.dir);
        command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").stderr(Stdio::piped());
        Program { child: command.spawn().expect("it starts"), console }
    }

    /// Starts a process and waits until it reports that it can serve.
    async fn start(&self) -> Program {
        let program = self.start_with(self.free_console_address(), |_| ());
        until("the process can serve", async || program.call("PING").await.starts_with("SUCCESS")).await;
        program
    }
}

impl Drop for Platform {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

async fn until(what: &str, mut holds: impl AsyncFnMut() -> bool) {
    let end = Instant::now() + Duration::from_secs(20);
    while !holds().await {
        assert!(Instant::now() < end, "never: {what}");
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
}

/// A controller process, killed at the end of its test.
struct Program {
    child: Child,
    console: SocketAddr,
}

impl Program {
    async fn call(&self, line: &str) -> String {
        let mut text = String::new();
        if let Ok(mut stream) = TcpStream::connect(self.console).await {
            let _ = stream.write_all(format!("{line}\n").as_bytes()).await;
            let _ = stream.read_to_string(&mut text).await;
        }
        text
    }
    fn signal(&self, which: &str) {
        let kill = Command::new("kill").args([which, &self.child.id().to_string()]).status();
        assert!(kill.expect("it runs").success());
    }
    fn is_running(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
    /// Waits for the process to end; returns its exit code and its log.
    async fn end(mut self) -> (Option<i32>, String) {
        until("it ends", async || !self.is_running()).await;
        let mut log = String::new();
        std::io::Read::read_to_string(&mut self.child.stderr.take().expect("piped"), &mut log)
            .expect("its log");
        (self.child.wait().expect("ended").code(), log)
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

fn is(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

fn set_up(sid: &str) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && matches!(seen.kind, EventKind::SetUp(..))
}

/// Guards against calls, answers and releases lost, or attempts sent twice, in a takeover.
#[test]
fn the_new_process_answers_pending_calls_on_the_same_connections() {
    on_one_thread(async {
        let platform = Platform::new("across", answers("a")).await;
        let world = &platform.world;
        let first = platform.start().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        caller.open(&name(2), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        world.final_answer(&name(2)).await;
        // One call with an outstanding attempt, and one whose set-up is half received.
        *platform.server.behaviour.borrow_mut() = ServerBehaviour::Silent;
        caller.open(&name(3), 9_000, 0, "x").await;
        world.wait_for("the attempt is out", set_up(&name(3))).await;
        let half = format!(
            r#"{{"msg":"open","sid":"{}","attrs":{{"class":"judge-call","left":"9000","key":"7f3a"}},"te"#,
            name(4)
        );
        caller.send(half.as_bytes()).await;
        // Read by the old process or by the new one: the result must be the same.
        tokio::time::sleep(Duration::from_millis(20)).await;

        let second = platform.start().await;
        let (code, log) = first.end().await;
        assert_eq!(code, Some(0), "{log}");
        let info = second.call("INFO").await;
        assert!(info.contains("controller.pending:3|g"), "two established, one pending: {info}");
        assert!(info.contains("judge-call.completed:0|c"), "counters start at 0 in each process: {info}");

        // The answer to the old process's attempt arrives at the new process.
        let out = format!(
            "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nlate",
            name(3)
        );
        platform.server.send(out.as_bytes());
        assert_eq!(world.final_answer(&name(3)).await.kind, EventKind::Ready("late".into()));
        *platform.server.behaviour.borrow_mut() = answers("b");
        caller.send(b"xt\":\"y\"}\n").await;
        assert_eq!(world.final_answer(&name(4)).await.kind, EventKind::Ready("b".into()));
        // Releases from both sides find their calls.
        platform.server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
        caller.close(&name(2), 16).await;
        world.wait_for("the BYE", is(&name(2), EventKind::Bye(16))).await;
        for n in 1..=4 {
            let finals = |s: &RecordedEvent| s.sid == name(n) && matches!(s.kind, EventKind::Ready(_));
            assert_eq!((world.count(set_up(&name(n))), world.count(finals)), (1, 1), "call {n}");
        }
        assert!(second.call("INFO").await.contains("judge-call.completed:2|c"));
    });
}

/// Guards against a late reaction to a draining call server after the bulletin's answer stalled or broke off during a
/// takeover.
#[rstest]
#[case::breaks_off(ResponseFault::Truncate)]
#[case::stalls(ResponseFault::Stall)]
fn an_incomplete_bulletin_answer_during_a_takeover_is_requested_again_in_time(#[case] how: ResponseFault) {
    on_one_thread(async {
        let platform = Platform::new("bulletin", answers("a")).await;
        let first = platform.start().await;
        platform.bulletin.response_fault.set(Some(how));
        platform.bulletin.publish(false, vec![list_entry("s0", platform.server.at, 0, "draining")]);
        let told = Instant::now();
        let second = platform.start().await;
        until("the drain takes effect", async || {
            second.call("INFO").await.contains("members_unavailable:1|g")
        })
        .await;
        assert!(told.elapsed() < Duration::from_secs(2), "took effect after {:?}", told.elapsed());
        let (code, log) = first.end().await;
        assert!(
            code == Some(0) && log.contains("handover complete: 0 pending calls, 0 established calls"),
            "{log}"
        );
    });
}

/// Guards against takeovers that work only once or not after a reload, and against a drain that is lost in a
/// takeover.
#[test]
fn takeovers_can_be_repeated_keep_a_drain_and_allow_reloads() {
    on_one_thread(async {
        let platform = Platform::new("again", answers("a")).await;
        let world = &platform.world;
        let mut now = platform.start().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        for n in 1..=4 {
            caller.open(&name(n), 9_000, 0, "x").await;
            assert_eq!(world.final_answer(&name(n)).await.kind, EventKind::Ready("a".into()));
            now.signal("-HUP");
            let next = platform.start().await;
            let (code, log) = std::mem::replace(&mut now, next).end().await;
            assert_eq!(code, Some(0), "{log}");
        }
        assert!(now.call("INFO").await.contains("controller.pending:4|g"));
        assert!(now.call("LAMEDUCK").await.starts_with("SUCCESS"));
        let next = platform.start().await;
        assert_eq!(std::mem::replace(&mut now, next).end().await.0, Some(0));
        caller.send(b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n").await;
        world.wait_for("still not ready", |s| s.kind == EventKind::Other("probed 0".into())).await;
        assert!(now.call("REJOIN").await.starts_with("SUCCESS"));
        now.signal("-TERM");
        assert_eq!(now.end().await.0, Some(0));
    });
}

/// Guards against a predecessor that ends before its successor is able to serve.
#[test]
fn a_successor_that_cannot_start_does_not_affect_the_predecessor() {
    on_one_thread(async {
        let platform = Platform::new("fails", answers("a")).await;
        let world = &platform.world;
        let mut first = platform.start().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        // One with an invalid file, and one whose peer address cannot be bound.
        let bad = platform.start_with(platform.free_console_address(), |text| text["settings"] = json!(5));
        let (code, log) = bad.end().await;
        assert_eq!((code, log.lines().count()), (Some(2), 1), "{log}");
        let busy = platform.start_with(platform.free_console_address(), |text| {
            text["peer_listen"] = json!("203.0.113.1:9"); // no address of this machine
        });
        assert_eq!(busy.end().await.0, Some(2));
        assert!(first.is_running());
        caller.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("a".into()));
        platform.server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
    });
}

/// Guards against a predecessor that stops serving because of a client on its takeover socket: one that dies after it
/// has received the state, one that sends nothing, random bytes, another version.
#[rstest]
#[case::dies_with_the_state(None)]
#[case::sends_nothing(Some(b"".to_vec()))]
#[case::noise(Some(b"GET / HTTP/1.1\r\n\r\n".to_vec()))]
#[case::another_version(Some(b"LP\x09\x01\0\0\0\0".to_vec()))]
#[case::a_huge_length(Some(b"LP\x01\x01\xff\xff\xff\xff".to_vec()))]
#[case::half_a_header(Some(b"LP\x01\x01".to_vec()))]
#[case::a_request_of_an_old_version(Some(b"LP\x01\x01\0\0\0\0".to_vec()))]
fn an_interrupted_takeover_leaves_the_predecessor_serving(#[case] sends: Option<Vec<u8>>) {
    on_one_thread(async {
        let platform = Platform::new("breaks", answers("a")).await;
        let world = &platform.world;
        let mut first = platform.start().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        let _open_stream;
        match sends {
            None => {
                let mut channel =
                    TakeoverChannel::to_predecessor(&platform.socket()).expect("the predecessor listens");
                let (state, sockets) = channel.request_state().expect("the state is sent");
                assert!(!state.is_empty() && sockets.len() >= 3, "listeners and connections");
            }
            Some(bytes) => {
                let mut stream = std::os::unix::net::UnixStream::connect(platform.socket())
                    .expect("the predecessor listens");
                std::io::Write::write_all(&mut stream, &bytes).expect("sent");
                _open_stream = stream;
            }
        }
        caller.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("a".into()));
        assert!(first.is_running());
        // A real successor can still take over.
        let _second = platform.start().await;
        assert_eq!(first.end().await.0, Some(0));
        platform.server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
    });
}

/// Guards against a start that fails or hangs because of the socket of a killed process.
#[test]
fn a_process_starts_although_a_killed_predecessor_left_its_socket() {
    on_one_thread(async {
        let platform = Platform::new("killed", answers("a")).await;
        let world = &platform.world;
        let first = platform.start().await;
        first.signal("-KILL");
        first.end().await;
        assert!(platform.socket().exists());
        let second = platform.start().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        // The new process listens for a successor again.
        let _third = platform.start().await;
        assert_eq!(second.end().await.0, Some(0));
    });
}

/// Calls refer to classes and zones by index, so state with another list cannot be used: the new process starts
/// without it, and the old one finishes its calls.
#[rstest]
#[case::classes("/settings/classes/0/name", json!("ruling"))]
#[case::zones("/settings/zones", json!(["west", "east"]))]
fn a_successor_that_cannot_use_the_state_starts_without_it_and_the_predecessor_finishes(
    #[case] key: &str,
    #[case] value: serde_json::Value,
) {
    on_one_thread(async {
        let platform = Platform::new("classes", answers("a")).await;
        let world = &platform.world;
        let first = platform.start().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        *platform.server.behaviour.borrow_mut() = ServerBehaviour::Silent;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.wait_for("the attempt is out", set_up(&name(1))).await;
        let second = platform.start_with(platform.free_console_address(), |text| {
            *text.pointer_mut(key).expect("there") = value.clone();
        });
        until("the process can serve", async || second.call("PING").await.starts_with("SUCCESS")).await;
        let out =
            format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", name(1));
        platform.server.send(out.as_bytes());
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let (code, log) = first.end().await;
        assert!(log.contains("stopping: a successor started without this process's state"), "{log}");
        assert_eq!(code, Some(0), "{log}");
    });
}

/// Guards against a predecessor that is stopped by a successor which then cannot serve either.
#[test]
fn a_successor_that_can_neither_use_the_state_nor_listen_ends_and_the_predecessor_stays() {
    on_one_thread(async {
        let platform = Platform::new("neither", answers("a")).await;
        let mut first = platform.start().await;
        let second = platform.start_without_descriptor(platform.free_console_address(), |text| {
            text["settings"]["classes"][0]["name"] = json!("ruling");
        });
        let (code, log) = second.end().await;
        assert!(code == Some(2) && log.contains("cannot listen at"), "{log}");
        let caller = Caller::connect(&platform.world, "c", platform.at()).await;
        caller.send(b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n").await;
        platform.world.wait_for("it is ready", |s| s.kind == EventKind::Other("probed 1".into())).await;
        assert!(first.is_running());
        // A successor that can use the state inherits the same console.
        let third = platform.start_with(first.console, |_| ());
        let (code, log) = first.end().await;
        assert_eq!(code, Some(0), "{log}");
        until("the process can serve", async || third.call("PING").await.starts_with("SUCCESS")).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(platform.world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
    });
}

/// A descriptor that is not a listening socket is reported in one line.
#[rstest]
#[case::no_number("three")]
#[case::not_open("250")]
#[case::standard_error("2")]
fn a_bad_descriptor_is_reported_in_one_line(#[case] descriptor: &str) {
    on_one_thread(async {
        let platform = Platform::new("descriptor", answers("a")).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", platform.write_config(|_| ())).env("ROUTER_FD", descriptor);
        command.env("TMPDIR", &platform.dir).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
        let output = command.output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains("ROUTER_FD"), "{said}");
    });
}

/// The last frame decides which process owns the state: never both, and never neither while one of them is alive.
#[test]
fn the_last_frame_decides_which_process_owns_the_state() {
    let pair = || {
        let (a, b) = std::os::unix::net::UnixStream::pair().expect("a pair");
        (
            TakeoverChannel::to_successor(a).expect("a channel"),
            TakeoverChannel::to_successor(b).expect("a channel"),
        )
    };
    let (mut old, mut new) = pair();
    old.send(FrameKind::Released, b"").expect("sent");
    assert!(new.confirm().is_ok());
    let (mut old, mut new) = pair();
    old.send(FrameKind::Cancel, b"").expect("sent");
    drop(old);
    assert!(matches!(new.confirm(), Err(TakeoverError::Cancelled)));
    // The predecessor was killed after it had sent the state: one that continues to serve sends `Cancel` first.
    let (old, mut new) = pair();
    let confirmed = std::thread::spawn(move || new.confirm().is_ok());
    std::thread::sleep(Duration::from_millis(20));
    drop(old);
    assert!(confirmed.join().expect("no panic"));
    // The successor dies before it confirms: the state stays with the predecessor.
    let (mut old, new) = pair();
    drop(new);
    assert!(old.send_state(b"all", &[]).is_err());
}

/// A takeover with pending calls: one in its delay before the next attempt, one on a connection that is not up yet,
/// one that its caller gives up during the takeover. Each is handled once, and no delay is cut short.
#[test]
fn a_takeover_with_pending_calls() {
    on_one_thread(async {
        let platform = Platform::new("waits", ServerBehaviour::Silent).await;
        let world = &platform.world;
        let hand = support::ScriptedServer::start("s1").await;
        let (late, fill) = support::ScriptedServer::with_full_backlog("s2").await;
        platform.bulletin.publish(false, vec![hand.host(1, "ready"), late.host(2, "ready")]);
        let long = |text: &mut serde_json::Value| {
            text["settings"]["bounds"]["connect-timeout-us"] = json!(60_000_000u64);
        };
        let first = platform.start_with(platform.free_console_address(), long);
        until("the process can serve", async || first.call("PING").await.starts_with("SUCCESS")).await;
        until("all call servers are known", async || {
            first.call("INFO").await.contains("controller.members:3|g")
        })
        .await;
        let mut link = hand.accept_ready().await;
        let caller = Caller::connect(world, "c", platform.at()).await;
        caller.open(&name(2), 9_000, 2, "x").await;
        caller.open(&name(3), 9_000, 0, "x").await;
        world.wait_for("the attempt is out", set_up(&name(3))).await;
        caller.open(&name(1), 9_000, 1, "x").await;
        assert_eq!(link.expect_request("INVITE").await, name(1));
        let refused_at = Instant::now();
        link.replies(&name(1), 504, "").await;
        link.expect_request("ACK").await;
        let second = platform.start_with(platform.free_console_address(), long);
        // Read by either of the two processes.
        caller.close(&name(3), 16).await;
        let (code, log) = first.end().await;
        assert_eq!(code, Some(0), "{log}");
        world.wait_for("the CANCEL of the outstanding attempt", is(&name(3), EventKind::Cancel)).await;
        // The delay that began in the old process ends in the new one.
        let call = name(1);
        let retried = tokio::select! {
            call = link.expect_request("INVITE") => call,
            seen = world.wait_for("another server", set_up(&call)) => seen.sid,
        };
        assert_eq!(retried, name(1));
        assert!(refused_at.elapsed() >= Duration::from_millis(500), "after {:?}", refused_at.elapsed());
        if world.count(set_up(&name(1))) == 0 {
            link.answers(&name(1), "y").await;
        } else {
            let text = format!(
                "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny",
                name(1)
            );
            platform.server.send(text.as_bytes());
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        // The new process makes the connection that the old one had begun.
        drop(fill);
        let mut kept = Vec::new();
        loop {
            let mut link = late.accept_ready().await;
            if let Ok(Some((method, call))) =
                tokio::time::timeout(Duration::from_millis(1_000), link.next()).await
            {
                assert_eq!((method.as_str(), call), ("INVITE", name(2)));
                link.answers(&name(2), "z").await;
                break;
            }
            kept.push(link);
        }
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("z".into()));
        let info = second.call("INFO").await;
        assert!(info.contains("controller.pending:2|g"), "two established, none pending: {info}");
        for n in 1..=3 {
            let finals = |s: &RecordedEvent| {
                s.sid == name(n) && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..))
            };
            assert_eq!(world.count(finals), usize::from(n < 3), "call {n}");
        }
    });
}
