//! Races between two events: shutdown, retries, closing connections, list updates, drains, late answers, cancels and
//! reloads. Each test forces the order of events with a scripted peer; docs/crossings.md lists the races by test name.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::config::{DnsSdConfig, Iax2Config};
use lockpoint::interface::{ServerState, Span};
use lockpoint::net::conn::{serve, Connection, MalformedInput, MessageReader};
use lockpoint::net::pool::{BufferPool, PoolLimits};
use lockpoint::net::queue::WriteQueue;
use rstest::rstest;
use serde_json::{json, Value};
use support::iax2::{Resolver, SERVICE};
use support::{
    config, in_time, name, on_one_thread, Caller, Controller, EventKind, EventLog, RecordedEvent,
    ScriptedServer,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const RESEND_DELAY: Duration = Duration::from_millis(500);

fn received(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

fn final_messages(world: &EventLog, sid: &str) -> usize {
    world.count(|s| s.sid == sid && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..)))
}

// ---- Shutdown ------------------------------------------------------------------------------------------------

/// SIGTERM arrives while a set-up is outstanding: the later answer is passed on exactly once before the process ends.
#[test]
fn sigterm_waits_for_the_answer_to_an_outstanding_set_up() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        controller.ask_to_stop();
        controller.wait_for("the controller is stopping", |i| i.stopping()).await;
        connection.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.completed, final_messages(&world, &name(1))), (0, 1, 1));
    });
}

/// SIGTERM arrives during a call's resend delay: the delay runs to its end, the set-up is sent once more, and the caller is
/// answered before the process ends.
#[test]
fn sigterm_waits_for_a_call_in_its_resend_delay() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        let reset = Instant::now();
        connection.replies(&name(1), 504, "").await;
        connection.expect_request("ACK").await;
        controller.ask_to_stop();
        connection.expect_request("INVITE").await;
        assert!(reset.elapsed() >= RESEND_DELAY, "after {:?}", reset.elapsed());
        connection.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.attempts, final_messages(&world, &name(1))), (0, 2, 1));
    });
}

/// SIGTERM arrives while a set-up waits for its connection to be established: it is sent once the connection is up.
#[test]
fn sigterm_waits_for_a_set_up_queued_on_a_pending_connection() {
    on_one_thread(async {
        let world = EventLog::default();
        let (server, fill) = ScriptedServer::with_full_backlog("s0").await;
        let long_timeout = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = Span::from_millis(60_000);
        };
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], long_timeout).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        controller.wait_for("the attempt has started", |i| i.counters().attempts == 1).await;
        controller.ask_to_stop();
        controller.wait_for("the controller is stopping", |i| i.stopping()).await;
        drop(fill);
        let mut kept = Vec::new();
        loop {
            let mut connection = server.accept_ready().await;
            match tokio::time::timeout(Duration::from_millis(1_000), connection.next()).await {
                Ok(Some((method, _))) if method == "INVITE" => {
                    connection.answers(&name(1), "y").await;
                    kept.push(connection);
                    break;
                }
                _ => kept.push(connection),
            }
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.attempts, final_messages(&world, &name(1))), (0, 1, 1));
    });
}

/// A caller that connects after SIGTERM is refused at once instead of waiting in the accept queue of a listener that nobody
/// serves any more.
#[test]
fn sigterm_refuses_new_client_connections() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        // The pending answer keeps the process running.
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        controller.ask_to_stop();
        let refused = async {
            loop {
                match Caller::try_connect(&world, "late", controller.at).await {
                    Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => return,
                    // Connected while the listener was being closed.
                    Err(_) => {}
                    Ok(late) => drop(late),
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        in_time("a late client connection is refused", refused).await;
        assert_eq!(controller.instance.counters().open, 1, "the accepted call is still pending");
        connection.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        controller.stop().await;
    });
}

/// The controller closes a client connection on SIGTERM while the caller hangs up on it: the call server still gets the
/// release.
#[test]
fn a_hang_up_that_crosses_the_close_at_sigterm_reaches_the_call_server() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let mut caller = TcpStream::connect(controller.at).await.expect("it listens");
        let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f"});
        let open = json!({"msg": "open", "sid": name(1), "attrs": attrs, "text": "x"});
        caller.write_all(format!("{open}\n").as_bytes()).await.expect("written");
        connection.expect_request("INVITE").await;
        connection.answers(&name(1), "y").await;
        controller.wait_for("the call is established", |i| i.counters().standing == 1).await;
        controller.ask_to_stop();
        // At end of file the controller has closed its half; the hang-up below crosses that close.
        let mut received_text = String::new();
        in_time("the end of the stream", caller.read_to_string(&mut received_text)).await.expect("read");
        assert!(received_text.contains("ready"), "{received_text}");
        let close = json!({"msg": "close", "sid": name(1), "attrs": {}, "code": 16});
        caller.write_all(format!("{close}\n").as_bytes()).await.expect("written");
        assert_eq!(connection.expect_request("BYE").await, name(1));
        controller.stop().await;
    });
}

/// Why the controller closes a client connection gracefully.
#[derive(Debug, Clone, Copy, PartialEq)]
enum CloseReason {
    /// No message arrived within the time allowed after connecting.
    NothingReceived,
    /// Its calls are over and it has been idle for a while.
    Idle,
    Sigterm,
}

/// A set-up arrives on a connection that the controller has just closed: it is discarded completely, so that the caller can
/// repeat it under the same name on another connection, as the protocol allows, and it runs only once.
#[rstest]
fn a_set_up_that_crosses_the_close_by_the_controller_is_discarded(
    #[values(CloseReason::NothingReceived, CloseReason::Idle, CloseReason::Sigterm)] closes: CloseReason,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let mut crossed = TcpStream::connect(controller.at).await.expect("it listens");
        let line = |n| {
            let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f"});
            format!("{}\n", json!({"msg": "open", "sid": name(n), "attrs": attrs, "text": "x"}))
        };
        if closes == CloseReason::Idle {
            crossed.write_all(line(1).as_bytes()).await.expect("written");
            connection.expect_request("INVITE").await;
            connection.answers(&name(1), "y").await;
            connection.expect_request("ACK").await;
            let close = json!({"msg": "close", "sid": name(1), "attrs": {}, "code": 16});
            crossed.write_all(format!("{close}\n").as_bytes()).await.expect("written");
            connection.expect_request("BYE").await;
        }
        controller.wait_for("the client is connected", |i| i.counters().clients == 1).await;
        if closes == CloseReason::Sigterm {
            controller.ask_to_stop();
        }
        // At end of file the controller has closed its half; the set-up below crosses that close.
        in_time("the end of the stream", crossed.read_to_string(&mut String::new())).await.expect("read");
        crossed.write_all(line(2).as_bytes()).await.expect("written");
        let before = controller.instance.counters();
        let mut taken = 0;
        if closes != CloseReason::Sigterm {
            // The repeat under the same name is served: the discarded set-up was not registered as a call.
            let again = Caller::connect(&world, "c", controller.at).await;
            again.open(&name(2), 9_000, 0, "x").await;
            assert_eq!(connection.expect_request("INVITE").await, name(2));
            connection.answers(&name(2), "y").await;
            assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("y".into()));
            taken = 1;
        }
        drop(crossed);
        let after = controller.stop().await;
        let counts =
            |c: &lockpoint::counters::Counters| [c.taken, c.attempts, c.duplicates, c.malformed_lines];
        let [took, sent, named_again, malformed] = counts(&before);
        assert_eq!(counts(&after), [took + taken, sent + taken, named_again, malformed], "{closes:?}");
    });
}

/// SIGTERM closes connections without pending answers. On one of them half a set-up has arrived: the controller waits for
/// the remainder and answers on that connection.
#[test]
fn sigterm_answers_a_partially_received_set_up() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let mut idle = TcpStream::connect(controller.at).await.expect("it listens");
        let mut caller = TcpStream::connect(controller.at).await.expect("it listens");
        let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f"});
        let open = json!({"msg": "open", "sid": name(1), "attrs": attrs, "text": "x"}).to_string();
        caller.write_all(&open.as_bytes()[..open.len() / 2]).await.expect("written");
        controller.wait_for("both clients are connected", |i| i.counters().clients == 2).await;
        controller.ask_to_stop();
        // The idle connection has been closed.
        in_time("the end of the stream", idle.read_to_string(&mut String::new())).await.expect("read");
        caller.write_all(&open.as_bytes()[open.len() / 2..]).await.expect("written");
        caller.write_all(b"\n").await.expect("written");
        // Accepted, or refused if the process no longer accepts set-ups; answered in either case.
        let (mut lines, mut line) = (BufReader::new(caller), String::new());
        tokio::select! {
            read = lines.read_line(&mut line) => drop(read.expect("read")),
            _ = connection.expect_request("INVITE") => {
                connection.answers(&name(1), "y").await;
                in_time("an answer", lines.read_line(&mut line)).await.expect("read");
            }
        }
        assert!(line.contains(&name(1)) && (line.contains("ready") || line.contains("42")), "{line:?}");
        drop(lines);
        controller.stop().await;
    });
}

/// A caller cancels its call just before SIGTERM: no answer is pending, and the process ends.
#[test]
fn sigterm_does_not_wait_for_a_cancelled_call() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        caller.close(&name(1), 16).await;
        controller.ask_to_stop();
        assert_eq!(connection.expect_request("CANCEL").await, name(1));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.given_up, final_messages(&world, &name(1))), (0, 1, 0));
    });
}

// ---- Connections that close ----------------------------------------------------------------------------------

/// How a call server closes a connection on which a set-up has just been sent.
#[derive(Debug, Clone, Copy)]
enum ServerClose {
    /// By a reset, without having read the set-up.
    Unread,
    /// After having read the set-up.
    Read,
    /// Gracefully, after a complete answer.
    Answered,
    /// Gracefully, after part of an answer.
    HalfAnswered,
}

/// A set-up is sent while its call server closes the connection. A complete answer counts; without one the set-up is sent
/// again after the resend delay, because it may have run.
#[rstest]
fn a_set_up_whose_connection_closes_is_answered_or_sent_again(
    #[values(ServerClose::Unread, ServerClose::Read, ServerClose::Answered, ServerClose::HalfAnswered)]
    closes: ServerClose,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        controller.wait_for("a connection is up", |i| i.counters().connected == 1).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        match closes {
            ServerClose::Unread => {
                controller.wait_for("the set-up is written", |i| i.counters().upstream_requests == 1).await;
                connection.reset();
            }
            ServerClose::Read => {
                connection.expect_request("INVITE").await;
                drop(connection);
            }
            ServerClose::Answered => {
                connection.expect_request("INVITE").await;
                connection.answers(&name(1), "y").await;
                drop(connection);
            }
            ServerClose::HalfAnswered => {
                connection.expect_request("INVITE").await;
                connection.send(&format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INV", name(1))).await;
                drop(connection);
            }
        }
        let closed = Instant::now();
        let mut next = server.accept_ready().await;
        if matches!(closes, ServerClose::Answered) {
            assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
            assert_eq!(controller.instance.counters().attempts, 1);
            return;
        }
        // The set-up may have run: it is sent again on the next connection after the resend delay.
        assert_eq!(next.expect_request("INVITE").await, name(1));
        assert!(closed.elapsed() >= RESEND_DELAY - Duration::from_millis(20), "after {:?}", closed.elapsed());
        next.answers(&name(1), "z").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("z".into()));
        assert_eq!((controller.instance.counters().attempts, final_messages(&world, &name(1))), (2, 1));
    });
}

/// A release is sent on a connection that its call server resets before reading it: it is sent again on the next
/// connection, so that the call does not stay established.
#[test]
fn a_release_lost_with_its_connection_is_sent_again() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        connection.answers(&name(1), "y").await;
        connection.expect_request("ACK").await;
        world.final_answer(&name(1)).await;
        caller.close(&name(1), 16).await;
        let mut peeked = [0; 4_096];
        in_time("the BYE has arrived", async {
            loop {
                let n = connection.stream.peek(&mut peeked).await.expect("there");
                if peeked[..n].windows(3).any(|three| three == b"BYE") {
                    return;
                }
                tokio::task::yield_now().await;
            }
        })
        .await;
        connection.reset();
        let mut next = server.accept_ready().await;
        assert_eq!(next.expect_request("BYE").await, name(1));
        // The release is confirmed here and is not sent a third time.
        next.send(&format!(
            "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n",
            name(1)
        ))
        .await;
        caller.open(&name(2), 9_000, 0, "x").await;
        next.expect_request("INVITE").await;
        next.reset();
        let mut last = server.accept_ready().await;
        assert_eq!(last.next().await, Some(("INVITE".to_owned(), name(2))), "and no BYE before it");
    });
}

struct RecordingReader(Rc<RefCell<Vec<u8>>>);

impl MessageReader for RecordingReader {
    fn read(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn end_of_stream(&mut self) -> bool {
        false
    }
    fn message_timeout(&self) -> Duration {
        Duration::from_secs(1)
    }
}

/// A peer answers and resets the connection just before data is written to it: the answer is read all the same.
#[test]
fn an_answer_is_read_before_a_write_to_a_reset_connection_fails() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let stream = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
        let (mut peer, _) = listener.accept().await.expect("accepted");
        peer.write_all(b"an answer").await.expect("written");
        stream.readable().await.expect("the answer has arrived");
        peer.set_zero_linger().expect("set");
        drop(peer);
        // The reset has arrived as well, and the first operation on the connection is a write.
        let (line, queue, received_bytes) =
            (Connection::new(stream), WriteQueue::default(), Rc::new(RefCell::new(Vec::new())));
        in_time("writable", line.stream().writable()).await.expect("writable");
        assert!(queue.push("x".into(), None));
        let mut reader = RecordingReader(received_bytes.clone());
        let end = in_time(
            "the end of the stream",
            serve(&line, &queue, &BufferPool::new(PoolLimits::same_for_all(64)), &mut reader),
        )
        .await;
        assert_eq!(received_bytes.borrow().as_slice(), b"an answer", "ended: {end}");
    });
}

// ---- Lists ---------------------------------------------------------------------------------------------------

/// A bulletin server that sends only what a test makes it send.
struct ScriptedBulletin {
    listener: TcpListener,
}

/// One polling connection to the bulletin server.
struct BulletinPoll {
    stream: BufReader<TcpStream>,
    after: u64,
}

impl ScriptedBulletin {
    async fn start() -> ScriptedBulletin {
        ScriptedBulletin { listener: TcpListener::bind("127.0.0.1:0").await.expect("a port") }
    }
    fn at(&self) -> std::net::SocketAddr {
        self.listener.local_addr().expect("an address")
    }
    async fn poll(&self) -> BulletinPoll {
        let (stream, _) = in_time("a poll", self.listener.accept()).await.expect("accepted");
        let mut poll = BulletinPoll { stream: BufReader::new(stream), after: 0 };
        poll.read_request().await;
        poll
    }
}

impl BulletinPoll {
    /// Reads the next request on the connection and stores its `after`.
    async fn read_request(&mut self) {
        loop {
            let mut line = String::new();
            let read = in_time("a request", self.stream.read_line(&mut line)).await.expect("read");
            assert!(read > 0, "the poll ended");
            if let Some(after) = line.split(['=', '&']).nth(1).filter(|_| line.starts_with("GET")) {
                self.after = after.parse().expect("a number");
            }
            if line == "\r\n" {
                return;
            }
        }
    }
    async fn send(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).await.expect("written");
    }
    async fn send_page(&mut self, page: &Value) {
        self.send(&http_response(page)).await;
    }
}

fn http_response(page: &Value) -> Vec<u8> {
    let body = page.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn event(no: u64, hosts: &[Value]) -> Value {
    json!({"no": no, "roster": {"seq": no, "whole": no == 1, "hosts": hosts}})
}

async fn listed(controller: &Controller, which: &str, state: ServerState) {
    let in_state = |i: &lockpoint::instance::Instance| {
        i.servers().iter().any(|line| line.host == which && line.state == state)
    };
    controller.wait_for(&format!("{which} is {state:?}"), in_state).await;
}

/// A bulletin poll stays open and is never answered: it times out, the bulletin is polled again, and a drain published in
/// the meantime takes effect. The known list is kept.
#[test]
fn a_silent_bulletin_poll_times_out_and_is_repeated() {
    on_one_thread(async {
        let (bulletin, server) = (ScriptedBulletin::start().await, ScriptedServer::start("s0").await);
        let controller = Controller::start(config(bulletin.at())).await;
        let mut first = bulletin.poll().await;
        first.send_page(&json!({"no": 1, "items": [event(1, &[server.host(0, "ready")])]})).await;
        listed(&controller, "s0", ServerState::Ready).await;
        first.read_request().await;
        assert_eq!(first.after, 1);
        // The bulletin answers neither this poll nor the next, and both connections stay open.
        let second = bulletin.poll().await;
        let asked = Instant::now();
        let mut third = bulletin.poll().await;
        assert!(asked.elapsed() < Duration::from_secs(4), "timed out after {:?}", asked.elapsed());
        listed(&controller, "s0", ServerState::Ready).await;
        assert_eq!((second.after, third.after), (1, 1));
        third.send_page(&json!({"no": 2, "items": [event(2, &[server.host(0, "draining")])]})).await;
        listed(&controller, "s0", ServerState::Draining).await;
        drop((first, second));
    });
}

/// A reload moves the watch to another bulletin while half an answer has been read: the new poll requests the whole answer.
#[test]
fn a_bulletin_answer_cut_short_by_a_reload_is_requested_again() {
    on_one_thread(async {
        let (old, new, server) = (
            ScriptedBulletin::start().await,
            ScriptedBulletin::start().await,
            ScriptedServer::start("s0").await,
        );
        let controller = Controller::start(config(old.at())).await;
        let mut poll = old.poll().await;
        poll.send_page(&json!({"no": 1, "items": [event(1, &[server.host(0, "ready")])]})).await;
        listed(&controller, "s0", ServerState::Ready).await;
        poll.read_request().await;
        let drain = json!({"no": 2, "items": [event(2, &[server.host(0, "draining")])]});
        let bytes = http_response(&drain);
        poll.send(&bytes[..bytes.len() - 10]).await;
        assert!(controller.instance.reload(config(new.at())).is_empty());
        // The remainder is sent after the controller has stopped reading this connection.
        poll.send(&bytes[bytes.len() - 10..]).await;
        let mut next = new.poll().await;
        assert_eq!(next.after, 1, "the incomplete answer was not applied");
        next.send_page(&drain).await;
        listed(&controller, "s0", ServerState::Draining).await;
        // A reload that names the same bulletin leaves its poll running.
        next.read_request().await;
        assert!(controller.instance.reload(config(new.at())).is_empty());
        next.send_page(&json!({"no": 3, "items": [event(3, &[server.host(0, "ready")])]})).await;
        listed(&controller, "s0", ServerState::Ready).await;
    });
}

/// An answer gives a last event number that is far too high: later events are received all the same.
#[rstest]
#[case::with_an_event(true)]
#[case::with_none(false)]
fn a_wrong_last_event_number_does_not_skip_events(#[case] with: bool) {
    on_one_thread(async {
        let (bulletin, server) = (ScriptedBulletin::start().await, ScriptedServer::start("s0").await);
        let controller = Controller::start(config(bulletin.at())).await;
        let mut poll = bulletin.poll().await;
        let items = [event(1, &[server.host(0, "ready")])];
        if !with {
            poll.send_page(&json!({"no": 1, "items": items})).await;
            listed(&controller, "s0", ServerState::Ready).await;
            poll.read_request().await;
        }
        poll.send_page(&json!({"no": 4_000_000, "items": if with { &items[..] } else { &[] }})).await;
        listed(&controller, "s0", ServerState::Ready).await;
        let mut poll = if with {
            poll.read_request().await;
            poll
        } else {
            bulletin.poll().await
        };
        assert_eq!(poll.after, 1);
        poll.send_page(&json!({"no": 2, "items": [event(2, &[server.host(0, "draining")])]})).await;
        listed(&controller, "s0", ServerState::Draining).await;
    });
}

/// An event with a drain arrives malformed: it is requested again, and the events after it are not applied before it. An
/// event that stays malformed is skipped.
#[test]
fn a_malformed_event_is_requested_again_and_then_skipped() {
    on_one_thread(async {
        let (bulletin, a, b) = (
            ScriptedBulletin::start().await,
            ScriptedServer::start("a").await,
            ScriptedServer::start("b").await,
        );
        let controller = Controller::start(config(bulletin.at())).await;
        let mut poll = bulletin.poll().await;
        let ready = event(1, &[a.host(0, "ready"), b.host(1, "ready")]);
        poll.send_page(&json!({"no": 1, "items": [ready]})).await;
        listed(&controller, "b", ServerState::Ready).await;
        poll.read_request().await;
        let spoilt = event(2, &[a.host(0, "dra\u{fffd}ning")]);
        let gone = event(3, &[b.host(1, "gone")]);
        poll.send_page(&json!({"no": 3, "items": [spoilt, gone]})).await;
        let mut poll = bulletin.poll().await;
        assert_eq!(poll.after, 1, "the malformed event is requested again");
        listed(&controller, "b", ServerState::Ready).await;
        poll.send_page(&json!({"no": 3, "items": [event(2, &[a.host(0, "draining")]), gone]})).await;
        listed(&controller, "a", ServerState::Draining).await;
        listed(&controller, "b", ServerState::Gone).await;
        // An event that is malformed each time it is sent.
        poll.read_request().await;
        poll.send_page(&json!({"no": 4, "items": [{"no": "four"}]})).await;
        for _ in 0..2 {
            let mut poll = bulletin.poll().await;
            assert_eq!(poll.after, 3);
            poll.send_page(&json!({"no": 5, "items": [{"no": "four"}, event(5, &[a.host(0, "gone")])]}))
                .await;
        }
        listed(&controller, "a", ServerState::Gone).await;
        assert_eq!(controller.instance.counters().malformed_bulletin, 1);
    });
}

/// A bulletin answers at once although it has no events, instead of holding the poll: the controller pauses between polls.
#[test]
fn a_bulletin_that_answers_without_events_is_not_polled_in_a_tight_loop() {
    on_one_thread(async {
        let (bulletin, server) = (ScriptedBulletin::start().await, ScriptedServer::start("s0").await);
        let controller = Controller::start(config(bulletin.at())).await;
        let mut poll = bulletin.poll().await;
        poll.send_page(&json!({"no": 1, "items": [event(1, &[server.host(0, "ready")])]})).await;
        poll.read_request().await;
        let began = Instant::now();
        const POLLS: u32 = 20;
        for _ in 0..POLLS {
            poll.send_page(&json!({"no": 1, "items": []})).await;
            poll.read_request().await;
        }
        let each = began.elapsed() / POLLS;
        assert!(each >= Duration::from_millis(20), "polled again after {each:?}");
        assert!(controller.instance.ready());
    });
}

/// A bulletin closes the connection after each answer without events: the delay before the next poll does not grow, so that
/// an event published between two polls is received soon.
#[test]
fn a_bulletin_that_closes_after_each_answer_is_polled_without_growing_delays() {
    on_one_thread(async {
        let (bulletin, server) = (ScriptedBulletin::start().await, ScriptedServer::start("s0").await);
        let controller = Controller::start(config(bulletin.at())).await;
        let mut poll = bulletin.poll().await;
        poll.send_page(&json!({"no": 1, "items": [event(1, &[server.host(0, "ready")])]})).await;
        drop(poll);
        let (began, polls) = (Instant::now(), 12);
        for _ in 0..polls {
            bulletin.poll().await.send_page(&json!({"no": 1, "items": []})).await;
        }
        // With delays that grow up to 250 ms each, this would take more than two seconds.
        assert!(began.elapsed() < Duration::from_millis(1_500), "{polls} polls in {:?}", began.elapsed());
        assert!(controller.instance.ready());
    });
}

/// A reload ends a watch of DNS-SD records, and a call server's records are removed before the next watch starts: the call
/// server leaves the list. If the new configuration has no DNS-SD watch, all its call servers leave the list.
#[rstest]
fn a_call_server_that_leaves_dns_sd_during_a_reload_is_removed(#[values(true, false)] watches_on: bool) {
    on_one_thread(async {
        let (bulletin, resolver, any) =
            (ScriptedBulletin::start().await, Resolver::start().await, any_address());
        let register = |n: &str| {
            let at = "127.0.0.1:9".parse().expect("an address");
            resolver.add_server(n, at, 30, &["cell=0".into(), "zone=east".into()]);
        };
        register("i0");
        let with = |dns: bool| {
            let mut config = config(bulletin.at());
            config.iax2 = Some(Iax2Config::new(any, any));
            config.dns_sd = dns.then(|| DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
            config
        };
        let controller = Controller::start(with(true)).await;
        let any_in_state =
            |i: &lockpoint::instance::Instance, state| i.servers().iter().any(|l| l.state == state);
        controller.wait_for("the call server is listed", |i| any_in_state(i, ServerState::Ready)).await;
        // The records have a TTL of 30 s: the running watch does not query again before that.
        resolver.remove_server("i0");
        let mut next = with(watches_on);
        next.bulletin = Some(ScriptedBulletin::start().await.at());
        controller.instance.reload(next);
        controller.wait_for("the call server is gone", |i| !any_in_state(i, ServerState::Ready)).await;
    });
}

fn any_address() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 0))
}

// ---- Drains --------------------------------------------------------------------------------------------------

/// A call server starts to drain after it was chosen and before the set-up could be sent: the set-up goes to another call
/// server at once.
#[test]
fn a_drain_before_the_send_moves_the_set_up_to_another_call_server() {
    on_one_thread(async {
        let world = EventLog::default();
        let (chosen, fill) = ScriptedServer::with_full_backlog("s0").await;
        let other = ScriptedServer::start("s1").await;
        let long_timeout = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = Span::from_millis(60_000);
        };
        let (controller, bulletin) =
            Controller::with_scripted_servers(&world, &[&chosen, &other], long_timeout).await;
        let mut connection = other.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        controller.wait_for("the attempt has started", |i| i.counters().attempts == 1).await;
        bulletin.publish(false, vec![chosen.host(0, "draining")]);
        assert_eq!(connection.expect_request("INVITE").await, name(1));
        connection.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        // The connections to the draining call server come up afterwards and carry no set-up.
        let waiting = fill.len();
        drop(fill);
        for _ in 0..=waiting {
            let mut connection = chosen.accept_ready().await;
            let said = tokio::time::timeout(Duration::from_millis(300), connection.next()).await;
            assert!(!matches!(&said, Ok(Some((method, _))) if method == "INVITE"), "{said:?}");
        }
    });
}

// ---- Late answers --------------------------------------------------------------------------------------------

/// A call server answers after its attempt timed out and the call was sent to another one, before or after that one
/// answers: the caller gets one answer, and the late call is released at its call server.
#[rstest]
fn a_late_answer_from_an_abandoned_call_server_is_released(#[values(true, false)] ahead: bool) {
    on_one_thread(async {
        let world = EventLog::default();
        let (silent, other) = (ScriptedServer::start("s0").await, ScriptedServer::start("s1").await);
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&silent, &other], |_| {}).await;
        let (mut first, mut second) = (silent.accept_ready().await, other.accept_ready().await);
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        first.expect_request("INVITE").await;
        first.expect_request("CANCEL").await;
        let given_up = Instant::now();
        second.expect_request("INVITE").await;
        assert!(
            given_up.elapsed() >= RESEND_DELAY - Duration::from_millis(20),
            "after {:?}",
            given_up.elapsed()
        );
        if !ahead {
            second.answers(&name(1), "y").await;
            world.final_answer(&name(1)).await;
        }
        first.answers(&name(1), "late").await;
        assert_eq!(first.expect_request("BYE").await, name(1));
        if ahead {
            second.answers(&name(1), "y").await;
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.instance.counters();
        assert_eq!((counters.late_answers, counters.standing, final_messages(&world, &name(1))), (1, 1, 1));
    });
}

/// A release overtakes the delayed answer of its call: the call was established and is over. The caller is told at once, no
/// other call server is tried, and the late answer is released at its call server.
#[test]
fn a_release_that_overtakes_the_answer_ends_the_call() {
    on_one_thread(async {
        let world = EventLog::default();
        let (held_up, other) = (ScriptedServer::start("s0").await, ScriptedServer::start("s1").await);
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&held_up, &other], |_| {}).await;
        let (mut connection, _idle) = (held_up.accept_ready().await, other.accept_ready().await);
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        connection.releases(&name(1), 16).await;
        assert!(matches!(world.final_answer(&name(1)).await.kind, EventKind::Close(31, _)));
        connection.answers(&name(1), "late").await;
        assert_eq!(connection.expect_request("BYE").await, name(1));
        tokio::time::sleep(RESEND_DELAY * 2).await;
        let counters = controller.instance.counters();
        assert_eq!((counters.attempts, counters.standing, final_messages(&world, &name(1))), (1, 0, 1));
    });
}

/// A call server answers a set-up twice, and answers another one after the call timed out: each caller gets one final
/// answer, and the call that nobody waits for is released.
#[test]
fn a_second_answer_is_ignored_and_one_after_the_time_out_is_released() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        connection.answers(&name(1), "y").await;
        world.final_answer(&name(1)).await;
        connection.answers(&name(1), "z").await;
        caller.open(&name(2), 300, 0, "x").await;
        connection.expect_request("INVITE").await;
        assert!(matches!(world.final_answer(&name(2)).await.kind, EventKind::Close(31, _)));
        connection.expect_request("CANCEL").await;
        connection.answers(&name(2), "late").await;
        assert_eq!(
            connection.expect_request("BYE").await,
            name(2),
            "no BYE for the duplicate answer before it"
        );
        let counters = controller.instance.counters();
        assert_eq!((counters.standing, counters.late_answers), (1, 1));
        assert_eq!((final_messages(&world, &name(1)), final_messages(&world, &name(2))), (1, 1));
    });
}

// ---- A client's cancel ---------------------------------------------------------------------------------------

/// A cancel crosses the answer: whichever arrives first, the call does not stay established.
#[rstest]
#[case::the_cancel_first(true)]
#[case::the_answer_first(false)]
fn a_cancel_that_crosses_the_answer_ends_the_call(#[case] cancel_first: bool) {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        if cancel_first {
            caller.close(&name(1), 16).await;
            connection.expect_request("CANCEL").await;
            connection.answers(&name(1), "y").await;
        } else {
            connection.answers(&name(1), "y").await;
            controller.wait_for("the call is answered", |i| i.counters().completed == 1).await;
            caller.close(&name(1), 16).await;
            world.wait_for("the release is confirmed", received(&name(1), EventKind::Closed)).await;
        }
        assert_eq!(connection.expect_request("BYE").await, name(1));
        let counters = controller.instance.counters();
        assert_eq!((counters.open, counters.standing), (0, 0));
        assert_eq!(
            final_messages(&world, &name(1)),
            usize::from(!cancel_first),
            "no answer after the cancel"
        );
    });
}

/// The cancel and the answer may arrive in the same event loop iteration: the call ends, and its caller gets at most one
/// answer.
#[test]
fn a_cancel_sent_together_with_the_answer_ends_the_call() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _b) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        for n in 1..=20 {
            caller.open(&name(n), 9_000, 0, "x").await;
            connection.expect_request("INVITE").await;
            connection.answers(&name(n), "y").await;
            caller.close(&name(n), 16).await;
            assert_eq!(connection.expect_request("BYE").await, name(n));
            controller.wait_for("the call is over", |i| i.counters().open + i.counters().standing == 0).await;
            assert!(final_messages(&world, &name(n)) <= 1);
        }
    });
}

// ---- Reloads -------------------------------------------------------------------------------------------------

/// A reload during a call's resend delay: the call keeps the delay it started with, obeys the new limit of attempts, and gets
/// its one answer.
#[rstest]
#[case::a_shorter_resend_delay(|c: &mut lockpoint::config::InstanceConfig| c.core.settings.resend_delay = Span::from_millis(10), true)]
#[case::no_more_attempts(|c: &mut lockpoint::config::InstanceConfig| c.core.settings.max_attempts = 1, false)]
fn a_reload_during_the_resend_delay_keeps_the_delay_and_applies_max_attempts(
    #[case] change: fn(&mut lockpoint::config::InstanceConfig),
    #[case] sends_again: bool,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, bulletin) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        let reset = Instant::now();
        connection.replies(&name(1), 504, "").await;
        connection.expect_request("ACK").await;
        let mut next = config(bulletin.at);
        change(&mut next);
        assert!(controller.instance.reload(next).is_empty());
        if sends_again {
            connection.expect_request("INVITE").await;
            assert!(reset.elapsed() >= RESEND_DELAY, "after {:?}", reset.elapsed());
            connection.answers(&name(1), "y").await;
        }
        let answer = world.final_answer(&name(1)).await.kind;
        assert_eq!(matches!(answer, EventKind::Ready(_)), sends_again, "{answer:?}");
        let counters = controller.instance.counters();
        assert_eq!((counters.open, counters.attempts), (0, 1 + u64::from(sends_again)));
    });
}

/// A reload brings the settings of another deployment: they are rejected as a whole, together with the values that depend
/// on them.
#[test]
fn a_reload_with_incompatible_settings_is_rejected_as_a_whole() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, bulletin) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        connection.expect_request("INVITE").await;
        let mut other = config(bulletin.at);
        other.core.classes = vec!["another".into()];
        other.zones = vec!["elsewhere".into(), "east".into()];
        other.core.max_caller_wait = Span::from_millis(100);
        assert_eq!(controller.instance.reload(other.clone()), ["settings.zones", "settings.classes"]);
        other.core.classes = vec!["judge-call".into()];
        assert_eq!(controller.instance.reload(other.clone()), ["settings.zones"]);
        // Zones appended at the end do not change the numbers of the existing ones.
        other.zones = vec!["east".into(), "elsewhere".into()];
        other.core.max_caller_wait = Span::from_millis(9_000);
        assert!(controller.instance.reload(other.clone()).is_empty());
        // Another number for this controller: its peers know it by the old one.
        other.core.fleet =
            Some(lockpoint::fleet::FleetConfig { me: 1, controllers: 2, ..Default::default() });
        assert_eq!(controller.instance.reload(other), ["fleet"]);
        // Entries that name their zone are read with the zones of the settings in force.
        bulletin.publish(false, vec![server.host(0, "ready")]);
        let second = ScriptedServer::start("s1").await;
        bulletin.publish(false, vec![second.host(1, "ready")]);
        listed(&controller, "s1", ServerState::Ready).await;
        assert!(controller.instance.servers().iter().all(|line| line.zone == 0), "east is the first zone");
        connection.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
    });
}

/// The connect timeout follows the settings of a reload.
#[test]
fn a_reload_changes_the_connect_timeout() {
    on_one_thread(async {
        let world = EventLog::default();
        let (first, (full, _fill)) =
            (ScriptedServer::start("s0").await, ScriptedServer::with_full_backlog("s1").await);
        let long_timeout = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = Span::from_millis(60_000);
        };
        let (controller, bulletin) = Controller::with_scripted_servers(&world, &[&first], long_timeout).await;
        let mut next = config(bulletin.at);
        next.connect_timeout = Span::from_millis(50);
        assert!(controller.instance.reload(next).is_empty());
        bulletin.publish(false, vec![full.host(1, "ready")]);
        controller.wait_for("a connect attempt times out", |i| i.counters().not_made > 0).await;
    });
}
