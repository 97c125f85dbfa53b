//! One process takes over from another under traffic: two real programs, and stand-ins for all others.

mod support;

use std::cell::Cell;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::AsRawFd;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::rc::Rc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lockpoint::takeover::{self, Kind, TakeoverError, Way};
use rstest::rstest;
use serde_json::json;
use support::{
    list_entry, name, on_one_thread, settings, Bulletin, Caller, EventKind, EventLog, RecordedEvent,
    ResponseFault, ServerBehaviour, SipServer,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The platform's side of a controller: its folder, its listening socket, its call server and bulletin.
struct Place {
    world: EventLog,
    dir: PathBuf,
    held: TcpListener,
    bulletin: Rc<Bulletin>,
    server: Rc<SipServer>,
    no: usize,
    consoles: Cell<u8>,
}

impl Place {
    async fn new(test: &str, does: ServerBehaviour) -> Place {
        static PLACES: AtomicUsize = AtomicUsize::new(0);
        let world = EventLog::default();
        let no = PLACES.fetch_add(1, Ordering::Relaxed);
        let dir = std::env::temp_dir().join(format!("lockpoint-{test}-{}-{no}", std::process::id()));
        std::fs::create_dir_all(&dir).expect("a folder");
        let held = TcpListener::bind("127.0.0.1:0").expect("a port");
        rustix::io::fcntl_setfd(&held, rustix::io::FdFlags::empty()).expect("children inherit it");
        let bulletin = Bulletin::start(&world).await;
        let server = SipServer::start(&world, "s0", does).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        Place { world, dir, held, bulletin, server, no, consoles: Cell::new(0) }
    }

    fn at(&self) -> SocketAddr {
        self.held.local_addr().expect("an address")
    }

    fn socket(&self) -> PathBuf {
        takeover::place(&self.dir, "n1")
    }

    /// A console address of this process's own, on a port that the system picks.
    fn a_console(&self) -> SocketAddr {
        let id = std::process::id();
        self.consoles.set(self.consoles.get() + 1);
        let host = [127, 1 + (id % 200) as u8, 1 + (self.no % 200) as u8, self.consoles.get()];
        TcpListener::bind((std::net::Ipv4Addr::from(host), 0)).and_then(|l| l.local_addr()).expect("a port")
    }

    fn write_config(&self, change: impl Fn(&mut serde_json::Value)) -> PathBuf {
        let file = self.dir.join("config.json");
        let mut text = json!({"name": "n1", "listen": self.at().to_string(), "bulletin": self.bulletin.at.to_string(),
            "limits": {"cores": 1.0, "memory_mb": 48, "sockets": 256}, "settings": settings(1)});
        change(&mut text);
        std::fs::write(&file, text.to_string()).expect("written");
        file
    }

    /// One for which the platform holds no socket: it looks for no predecessor, so it cannot listen.
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
        command.env("ROUTER_FD", self.held.as_raw_fd().to_string()).env("TMPDIR", &self.dir);
        command.env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME").stderr(Stdio::piped());
        Program { child: command.spawn().expect("it starts"), console }
    }

    /// Starts a process and waits until it says that it can serve.
    async fn start(&self) -> Program {
        let program = self.start_with(self.a_console(), |_| ());
        until("it can serve", async || program.call("PING").await.starts_with("SUCCESS")).await;
        program
    }
}

impl Drop for Place {
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

/// One of the two processes; it does not outlive its test.
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
    fn runs(&mut self) -> bool {
        self.child.try_wait().expect("a child").is_none()
    }
    /// Waits for its end: its code and its log.
    async fn end(mut self) -> (Option<i32>, String) {
        until("it ends", async || !self.runs()).await;
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

/// Guards against calls, answers and releases lost, or attempts sent twice, where one process follows another.
#[test]
fn what_one_process_took_the_next_one_answers_on_the_same_connections() {
    on_one_thread(async {
        let place = Place::new("across", answers("a")).await;
        let world = &place.world;
        let first = place.start().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        caller.open(&name(2), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        world.final_answer(&name(2)).await;
        // One that is out, and one of which half has come.
        *place.server.behaviour.borrow_mut() = ServerBehaviour::Silent;
        caller.open(&name(3), 9_000, 0, "x").await;
        world.wait_for("it is out", set_up(&name(3))).await;
        let half = format!(
            r#"{{"msg":"open","sid":"{}","attrs":{{"class":"judge-call","left":"9000","key":"7f3a"}},"te"#,
            name(4)
        );
        caller.send(half.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(20)).await; // read by then, or read by the next one: both must hold

        let second = place.start().await;
        let (code, log) = first.end().await;
        assert_eq!(code, Some(0), "{log}");
        let info = second.call("INFO").await;
        assert!(info.contains("controller.pending:3|g"), "two stand, one is out: {info}");
        assert!(info.contains("judge-call.completed:0|c"), "each process counts from 0: {info}");

        // The answer comes to the one, though the other had asked.
        let out = format!(
            "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 4\r\n\r\nlate",
            name(3)
        );
        place.server.send(out.as_bytes());
        assert_eq!(world.final_answer(&name(3)).await.kind, EventKind::Ready("late".into()));
        *place.server.behaviour.borrow_mut() = answers("b");
        caller.send(b"xt\":\"y\"}\n").await;
        assert_eq!(world.final_answer(&name(4)).await.kind, EventKind::Ready("b".into()));
        // Releases from either side find their calls.
        place.server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
        caller.close(&name(2), 16).await;
        world.wait_for("ended there", is(&name(2), EventKind::Bye(16))).await;
        for n in 1..=4 {
            let finals = |s: &RecordedEvent| s.sid == name(n) && matches!(s.kind, EventKind::Ready(_));
            assert_eq!((world.count(set_up(&name(n))), world.count(finals)), (1, 1), "call {n}");
        }
        assert!(second.call("INFO").await.contains("judge-call.completed:2|c"));
    });
}

/// Guards against a drain that is heard late because the bulletin stalled, or broke off, while the process was replaced.
#[rstest]
#[case::breaks_off(ResponseFault::Truncate)]
#[case::stalls(ResponseFault::Stall)]
fn a_bulletin_that_spoils_its_answer_during_an_upgrade_is_asked_again_in_time(#[case] how: ResponseFault) {
    on_one_thread(async {
        let place = Place::new("bulletin", answers("a")).await;
        let first = place.start().await;
        place.bulletin.response_fault.set(Some(how));
        place.bulletin.publish(false, vec![list_entry("s0", place.server.at, 0, "draining")]);
        let told = Instant::now();
        let second = place.start().await;
        until("the drain is heard", async || second.call("INFO").await.contains("members_unavailable:1|g"))
            .await;
        assert!(told.elapsed() < Duration::from_secs(2), "heard after {:?}", told.elapsed());
        let (code, log) = first.end().await;
        assert!(code == Some(0) && log.contains("handed over: 0 calls that wait, 0 that stand"), "{log}");
    });
}

/// Guards against upgrades that work only once, or not with a configuration reread in between, and against a drain that
/// a new process forgets.
#[test]
fn upgrades_repeat_and_keep_a_drain_and_sighup_works_throughout() {
    on_one_thread(async {
        let place = Place::new("again", answers("a")).await;
        let world = &place.world;
        let mut now = place.start().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        for n in 1..=4 {
            caller.open(&name(n), 9_000, 0, "x").await;
            assert_eq!(world.final_answer(&name(n)).await.kind, EventKind::Ready("a".into()));
            now.signal("-HUP");
            let next = place.start().await;
            let (code, log) = std::mem::replace(&mut now, next).end().await;
            assert_eq!(code, Some(0), "{log}");
        }
        assert!(now.call("INFO").await.contains("controller.pending:4|g"));
        assert!(now.call("LAMEDUCK").await.starts_with("SUCCESS"));
        let next = place.start().await;
        assert_eq!(std::mem::replace(&mut now, next).end().await.0, Some(0));
        caller.send(b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n").await;
        world.wait_for("still not ready", |s| s.kind == EventKind::Other("probed 0".into())).await;
        assert!(now.call("REJOIN").await.starts_with("SUCCESS"));
        now.signal("-TERM");
        assert_eq!(now.end().await.0, Some(0));
    });
}

/// Guards against a predecessor that lets go before its successor could serve.
#[test]
fn a_successor_that_cannot_serve_costs_nothing() {
    on_one_thread(async {
        let place = Place::new("fails", answers("a")).await;
        let world = &place.world;
        let mut first = place.start().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        // One whose file is bad, and one whose peers' address cannot be opened.
        let bad = place.start_with(place.a_console(), |text| text["settings"] = json!(5));
        let (code, log) = bad.end().await;
        assert_eq!((code, log.lines().count()), (Some(2), 1), "{log}");
        let busy = place.start_with(place.a_console(), |text| {
            text["peer_listen"] = json!("203.0.113.1:9"); // no address of this machine
        });
        assert_eq!(busy.end().await.0, Some(2));
        assert!(first.runs());
        caller.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("a".into()));
        place.server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
    });
}

/// Guards against a predecessor that is lost to whoever connects to it: a successor that dies with all it was handed,
/// one that says nothing, noise, another version.
#[rstest]
#[case::dies_with_all_of_it(None)]
#[case::says_nothing(Some(b"".to_vec()))]
#[case::noise(Some(b"GET / HTTP/1.1\r\n\r\n".to_vec()))]
#[case::another_version(Some(b"LP\x09\x01\0\0\0\0".to_vec()))]
#[case::a_length_beyond_measure(Some(b"LP\x01\x01\xff\xff\xff\xff".to_vec()))]
#[case::half_a_word(Some(b"LP\x01\x01".to_vec()))]
#[case::asks_and_hears_nothing(Some(b"LP\x01\x01\0\0\0\0".to_vec()))]
fn a_successor_that_breaks_off_leaves_the_predecessor_at_work(#[case] says: Option<Vec<u8>>) {
    on_one_thread(async {
        let place = Place::new("breaks", answers("a")).await;
        let world = &place.world;
        let mut first = place.start().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.final_answer(&name(1)).await;
        let _stays;
        match says {
            None => {
                let mut way = Way::to_predecessor(&place.socket()).expect("it waits there");
                let (state, sockets) = way.ask().expect("it hands over");
                assert!(!state.is_empty() && sockets.len() >= 3, "doors and connections");
            }
            Some(bytes) => {
                let mut stream =
                    std::os::unix::net::UnixStream::connect(place.socket()).expect("it waits there");
                std::io::Write::write_all(&mut stream, &bytes).expect("said");
                _stays = stream;
            }
        }
        caller.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("a".into()));
        assert!(first.runs());
        // And a real one still takes over.
        let _second = place.start().await;
        assert_eq!(first.end().await.0, Some(0));
        place.server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
    });
}

/// Guards against a start that fails, or waits, where the last process was killed.
#[test]
fn a_killed_predecessor_leaves_a_socket_behind_and_the_next_one_serves() {
    on_one_thread(async {
        let place = Place::new("killed", answers("a")).await;
        let world = &place.world;
        let first = place.start().await;
        first.signal("-KILL");
        first.end().await;
        assert!(place.socket().exists());
        let second = place.start().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
        // And the second is found in its turn.
        let _third = place.start().await;
        assert_eq!(second.end().await.0, Some(0));
    });
}

/// Another list of classes or zones cannot go by the old one's places: the new process starts anew, the old one finishes.
#[rstest]
#[case::classes("/settings/classes/0/name", json!("ruling"))]
#[case::zones("/settings/zones", json!(["west", "east"]))]
fn a_successor_that_cannot_use_what_is_held_starts_anew_and_the_predecessor_finishes(
    #[case] key: &str,
    #[case] value: serde_json::Value,
) {
    on_one_thread(async {
        let place = Place::new("classes", answers("a")).await;
        let world = &place.world;
        let first = place.start().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        *place.server.behaviour.borrow_mut() = ServerBehaviour::Silent;
        caller.open(&name(1), 9_000, 0, "x").await;
        world.wait_for("it is out", set_up(&name(1))).await;
        let second = place.start_with(place.a_console(), |text| {
            *text.pointer_mut(key).expect("there") = value.clone();
        });
        until("it can serve", async || second.call("PING").await.starts_with("SUCCESS")).await;
        let out =
            format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny", name(1));
        place.server.send(out.as_bytes());
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let (code, log) = first.end().await;
        assert!(log.contains("asked to leave by a successor that starts anew"), "{log}");
        assert_eq!(code, Some(0), "{log}");
    });
}

/// Guards against a predecessor that is sent away by a successor which then cannot serve either.
#[test]
fn a_successor_that_can_neither_use_what_is_held_nor_listen_ends_and_the_predecessor_stays() {
    on_one_thread(async {
        let place = Place::new("neither", answers("a")).await;
        let mut first = place.start().await;
        let second = place.start_without_descriptor(place.a_console(), |text| {
            text["settings"]["classes"][0]["name"] = json!("ruling");
        });
        let (code, log) = second.end().await;
        assert!(code == Some(2) && log.contains("cannot listen at"), "{log}");
        let caller = Caller::connect(&place.world, "c", place.at()).await;
        caller.send(b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n").await;
        place.world.wait_for("it is ready", |s| s.kind == EventKind::Other("probed 1".into())).await;
        assert!(first.runs());
        // One that can use it gets the same console from the predecessor.
        let third = place.start_with(first.console, |_| ());
        let (code, log) = first.end().await;
        assert_eq!(code, Some(0), "{log}");
        until("it can serve", async || third.call("PING").await.starts_with("SUCCESS")).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(place.world.final_answer(&name(1)).await.kind, EventKind::Ready("a".into()));
    });
}

/// A descriptor that is no listening socket is named on one line.
#[rstest]
#[case::no_number("three")]
#[case::not_open("250")]
#[case::standard_error("2")]
fn a_bad_descriptor_is_one_line(#[case] descriptor: &str) {
    on_one_thread(async {
        let place = Place::new("descriptor", answers("a")).await;
        let mut command = Command::new(env!("CARGO_BIN_EXE_lockpoint"));
        command.env("ROUTER_CONFIG", place.write_config(|_| ())).env("ROUTER_FD", descriptor);
        command.env("TMPDIR", &place.dir).env_remove("ROUTER_LISTEN").env_remove("ROUTER_NAME");
        let output = command.output().expect("it runs");
        let said = String::from_utf8_lossy(&output.stderr).into_owned();
        assert_eq!((output.status.code(), said.lines().count()), (Some(2), 1), "{said}");
        assert!(said.contains("ROUTER_FD"), "{said}");
    });
}

/// What the two say to each other at the end decides whose it is: never both, and never nobody where one still lives.
#[test]
fn the_last_word_decides_whose_it_is() {
    let pair = || {
        let (a, b) = std::os::unix::net::UnixStream::pair().expect("a pair");
        (Way::to_successor(a).expect("a way"), Way::to_successor(b).expect("a way"))
    };
    let (mut old, mut new) = pair();
    old.say(Kind::Yours, b"").expect("said");
    assert!(new.take().is_ok());
    let (mut old, mut new) = pair();
    old.say(Kind::Keep, b"").expect("said");
    drop(old);
    assert!(matches!(new.take(), Err(TakeoverError::Kept)));
    // It was killed after it had handed all over: whoever works on says so first.
    let (old, mut new) = pair();
    let heard = std::thread::spawn(move || new.take().is_ok());
    std::thread::sleep(Duration::from_millis(20));
    drop(old);
    assert!(heard.join().expect("no panic"));
    // The successor dies before its word: nothing has changed hands.
    let (mut old, new) = pair();
    drop(new);
    assert!(old.hand_over(b"all", &[]).is_err());
}

/// A hand-over with calls that wait: one in its rest, one on a connection that is still coming up, one that is given up in
/// the moment when the process changes. Each is seen to once, and no rest is cut short.
#[test]
fn a_hand_over_with_calls_that_wait() {
    on_one_thread(async {
        let place = Place::new("waits", ServerBehaviour::Silent).await;
        let world = &place.world;
        let hand = support::Hand::start("s1").await;
        let (late, fill) = support::Hand::full("s2").await;
        place.bulletin.publish(false, vec![hand.host(1, "ready"), late.host(2, "ready")]);
        let long = |text: &mut serde_json::Value| {
            text["settings"]["bounds"]["connect-timeout-us"] = json!(60_000_000u64);
        };
        let first = place.start_with(place.a_console(), long);
        until("it can serve", async || first.call("PING").await.starts_with("SUCCESS")).await;
        until("all are known", async || first.call("INFO").await.contains("controller.members:3|g")).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(world, "c", place.at()).await;
        caller.open(&name(2), 9_000, 2, "x").await;
        caller.open(&name(3), 9_000, 0, "x").await;
        world.wait_for("it is out", set_up(&name(3))).await;
        caller.open(&name(1), 9_000, 1, "x").await;
        assert_eq!(wire.hears("INVITE").await, name(1));
        let reset = Instant::now();
        wire.replies(&name(1), 504, "").await;
        wire.hears("ACK").await;
        let second = place.start_with(place.a_console(), long);
        // Said to whichever of the two reads it.
        caller.close(&name(3), 16).await;
        let (code, log) = first.end().await;
        assert_eq!(code, Some(0), "{log}");
        world.wait_for("the end of the one that was out", is(&name(3), EventKind::Cancel)).await;
        // The rest that began in one process ends in the other.
        let call = name(1);
        let again = tokio::select! {
            call = wire.hears("INVITE") => call,
            seen = world.wait_for("elsewhere", set_up(&call)) => seen.sid,
        };
        assert_eq!(again, name(1));
        assert!(reset.elapsed() >= Duration::from_millis(500), "after {:?}", reset.elapsed());
        if world.count(set_up(&name(1))) == 0 {
            wire.answers(&name(1), "y").await;
        } else {
            let text = format!(
                "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INVITE\r\nContent-Length: 1\r\n\r\ny",
                name(1)
            );
            place.server.send(text.as_bytes());
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        // The connection that one process had begun, the other makes.
        drop(fill);
        let mut kept = Vec::new();
        loop {
            let mut wire = late.greets().await;
            if let Ok(Some((method, call))) =
                tokio::time::timeout(Duration::from_millis(1_000), wire.next()).await
            {
                assert_eq!((method.as_str(), call), ("INVITE", name(2)));
                wire.answers(&name(2), "z").await;
                break;
            }
            kept.push(wire);
        }
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("z".into()));
        let info = second.call("INFO").await;
        assert!(info.contains("controller.pending:2|g"), "two stand and nothing waits: {info}");
        for n in 1..=3 {
            let finals = |s: &RecordedEvent| {
                s.sid == name(n) && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..))
            };
            assert_eq!(world.count(finals), usize::from(n < 3), "call {n}");
        }
    });
}
