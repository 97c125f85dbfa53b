//! Two events that meet in one moment: shutdown, retries, connections that close, lists, drains, late answers, cancels and
//! reloads. Each crossing is forced by a stand-in that holds one side; docs/crossings.md lists them by these names.

mod support;

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::config::{DnsSdConfig, Iax2Config};
use lockpoint::interface::{ServerState, Span};
use lockpoint::net::conn::{serve, Line, Reader, Unreadable};
use lockpoint::net::pool::Pool;
use lockpoint::net::queue::WriteQueue;
use rstest::rstest;
use serde_json::{json, Value};
use support::iax2::{Resolver, SERVICE};
use support::{
    config, in_time, name, on_one_thread, Caller, Controller, EventKind, EventLog, Hand, RecordedEvent,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const REST: Duration = Duration::from_millis(500);

fn is(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

fn finals(world: &EventLog, sid: &str) -> usize {
    world.count(|s| s.sid == sid && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..)))
}

// ---- Shutdown ------------------------------------------------------------------------------------------------

/// SIGTERM with a set-up out: its answer comes afterwards and is passed on, once, before the process ends.
#[test]
fn sigterm_with_a_set_up_out() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        controller.ask_to_stop();
        controller.turns("it stops", |i| i.stopping()).await;
        wire.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.completed, finals(&world, &name(1))), (0, 1, 1));
    });
}

/// SIGTERM with a call in its rest: it rests to the end, goes out once more, and is answered before the process ends.
#[test]
fn sigterm_with_a_call_waiting_for_its_rest() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        let reset = Instant::now();
        wire.replies(&name(1), 504, "").await;
        wire.hears("ACK").await;
        controller.ask_to_stop();
        wire.hears("INVITE").await;
        assert!(reset.elapsed() >= REST, "after {:?}", reset.elapsed());
        wire.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.attempts, finals(&world, &name(1))), (0, 2, 1));
    });
}

/// SIGTERM with a set-up on a connection that is still coming up: it leaves once that stands.
#[test]
fn sigterm_with_a_set_up_on_a_connection_coming_up() {
    on_one_thread(async {
        let world = EventLog::default();
        let (hand, fill) = Hand::full("s0").await;
        let long = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = Span::from_millis(60_000);
        };
        let (controller, _b) = Controller::with_hands(&world, &[&hand], long).await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        controller.turns("it is taken", |i| i.counters().attempts == 1).await;
        controller.ask_to_stop();
        controller.turns("it stops", |i| i.stopping()).await;
        drop(fill);
        let mut kept = Vec::new();
        loop {
            let mut wire = hand.greets().await;
            match tokio::time::timeout(Duration::from_millis(1_000), wire.next()).await {
                Ok(Some((method, _))) if method == "INVITE" => {
                    wire.answers(&name(1), "y").await;
                    kept.push(wire);
                    break;
                }
                _ => kept.push(wire),
            }
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.attempts, finals(&world, &name(1))), (0, 1, 1));
    });
}

/// SIGTERM and a caller who comes so late that nobody stands at the door: it is refused, not left waiting.
#[test]
fn sigterm_and_a_caller_who_comes_late() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        // It waits for its answer, and so does the process.
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        controller.ask_to_stop();
        let refused = async {
            loop {
                match Caller::try_connect(&world, "late", controller.at).await {
                    Err(error) if error.kind() == std::io::ErrorKind::ConnectionRefused => return,
                    // It came in the moment when the door was closed.
                    Err(_) => {}
                    Ok(late) => drop(late),
                }
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        };
        in_time("a late one is refused", refused).await;
        assert_eq!(controller.instance.counters().open, 1, "what was taken is still seen to");
        wire.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        controller.stop().await;
    });
}

/// SIGTERM closes a caller's connection in the moment when the caller ends its call on it: the call server hears of it.
#[test]
fn sigterm_closes_a_connection_on_which_a_call_is_ended() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let mut caller = TcpStream::connect(controller.at).await.expect("it listens");
        let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f"});
        let open = json!({"msg": "open", "sid": name(1), "attrs": attrs, "text": "x"});
        caller.write_all(format!("{open}\n").as_bytes()).await.expect("written");
        wire.hears("INVITE").await;
        wire.answers(&name(1), "y").await;
        controller.turns("it stands", |i| i.counters().standing == 1).await;
        controller.ask_to_stop();
        // Read to the end: the controller has closed its half. What is said now crosses that.
        let mut heard = String::new();
        in_time("the end", caller.read_to_string(&mut heard)).await.expect("read");
        assert!(heard.contains("ready"), "{heard}");
        let close = json!({"msg": "close", "sid": name(1), "attrs": {}, "code": 16});
        caller.write_all(format!("{close}\n").as_bytes()).await.expect("written");
        assert_eq!(wire.hears("BYE").await, name(1));
        controller.stop().await;
    });
}

/// Why the controller ends a caller's connection in order.
#[derive(Debug, Clone, Copy, PartialEq)]
enum OurClose {
    /// Nothing was said on it in time.
    Unspoken,
    /// Its calls are over and nothing was said on it for a while.
    Idle,
    Sigterm,
}

/// The controller closes a connection, and a set-up comes on it that was on its way: it is thrown away whole, so that the
/// caller can make it again by the same name elsewhere, as the protocol has it, and it is carried out once.
#[rstest]
fn a_set_up_that_crosses_our_close(
    #[values(OurClose::Unspoken, OurClose::Idle, OurClose::Sigterm)] closes: OurClose,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let mut crossed = TcpStream::connect(controller.at).await.expect("it listens");
        let line = |n| {
            let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f"});
            format!("{}\n", json!({"msg": "open", "sid": name(n), "attrs": attrs, "text": "x"}))
        };
        if closes == OurClose::Idle {
            crossed.write_all(line(1).as_bytes()).await.expect("written");
            wire.hears("INVITE").await;
            wire.answers(&name(1), "y").await;
            wire.hears("ACK").await;
            let close = json!({"msg": "close", "sid": name(1), "attrs": {}, "code": 16});
            crossed.write_all(format!("{close}\n").as_bytes()).await.expect("written");
            wire.hears("BYE").await;
        }
        controller.turns("it is there", |i| i.counters().clients == 1).await;
        if closes == OurClose::Sigterm {
            controller.ask_to_stop();
        }
        // Read to the end: the controller has closed its half. What is written now crosses that.
        in_time("the end", crossed.read_to_string(&mut String::new())).await.expect("read");
        crossed.write_all(line(2).as_bytes()).await.expect("written");
        let before = controller.instance.counters();
        let mut taken = 0;
        if closes != OurClose::Sigterm {
            // Made again, by the same name: served, so the first was not taken for the call.
            let again = Caller::connect(&world, "c", controller.at).await;
            again.open(&name(2), 9_000, 0, "x").await;
            assert_eq!(wire.hears("INVITE").await, name(2));
            wire.answers(&name(2), "y").await;
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

/// SIGTERM ends connections that are owed nothing, and on one of them half a set-up has come: its rest is waited for, and it
/// is answered there.
#[test]
fn sigterm_and_half_a_set_up() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let mut idle = TcpStream::connect(controller.at).await.expect("it listens");
        let mut caller = TcpStream::connect(controller.at).await.expect("it listens");
        let attrs = json!({"class": "judge-call", "left": "9000", "key": "7f"});
        let open = json!({"msg": "open", "sid": name(1), "attrs": attrs, "text": "x"}).to_string();
        caller.write_all(&open.as_bytes()[..open.len() / 2]).await.expect("written");
        controller.turns("both are there", |i| i.counters().clients == 2).await;
        controller.ask_to_stop();
        // The other one that is owed nothing has been ended.
        in_time("the end", idle.read_to_string(&mut String::new())).await.expect("read");
        caller.write_all(&open.as_bytes()[open.len() / 2..]).await.expect("written");
        caller.write_all(b"\n").await.expect("written");
        // Taken, or refused if the process takes nothing more by now; answered in any case.
        let (mut lines, mut line) = (BufReader::new(caller), String::new());
        tokio::select! {
            read = lines.read_line(&mut line) => drop(read.expect("read")),
            _ = wire.hears("INVITE") => {
                wire.answers(&name(1), "y").await;
                in_time("an answer", lines.read_line(&mut line)).await.expect("read");
            }
        }
        assert!(line.contains(&name(1)) && (line.contains("ready") || line.contains("42")), "{line:?}");
        drop(lines);
        controller.stop().await;
    });
}

/// A caller gives up in the moment of SIGTERM: nothing is owed, and the process ends.
#[test]
fn sigterm_and_a_caller_who_gives_up() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        caller.close(&name(1), 16).await;
        controller.ask_to_stop();
        assert_eq!(wire.hears("CANCEL").await, name(1));
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.given_up, finals(&world, &name(1))), (0, 1, 0));
    });
}

// ---- Connections that close ----------------------------------------------------------------------------------

/// How a call server closes a connection on which it has just been sent a set-up.
#[derive(Debug, Clone, Copy)]
enum Closes {
    /// Without having read it.
    Unread,
    /// Having read it.
    Read,
    /// In order, having answered.
    Answered,
    /// In order, having said half an answer.
    HalfAnswered,
}

/// A set-up races its call server's close of an idle connection.
#[rstest]
fn a_set_up_and_the_close_of_its_connection(
    #[values(Closes::Unread, Closes::Read, Closes::Answered, Closes::HalfAnswered)] closes: Closes,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        controller.turns("a connection", |i| i.counters().connected == 1).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        match closes {
            Closes::Unread => {
                controller.turns("it has left", |i| i.counters().upstream_requests == 1).await;
                wire.reset();
            }
            Closes::Read => {
                wire.hears("INVITE").await;
                drop(wire);
            }
            Closes::Answered => {
                wire.hears("INVITE").await;
                wire.answers(&name(1), "y").await;
                drop(wire);
            }
            Closes::HalfAnswered => {
                wire.hears("INVITE").await;
                wire.say(&format!("SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 1 INV", name(1))).await;
                drop(wire);
            }
        }
        let closed = Instant::now();
        let mut next = hand.greets().await;
        if matches!(closes, Closes::Answered) {
            assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
            assert_eq!(controller.instance.counters().attempts, 1);
            return;
        }
        // It may have run: it rests, and goes on the next connection.
        assert_eq!(next.hears("INVITE").await, name(1));
        assert!(closed.elapsed() >= REST - Duration::from_millis(20), "after {:?}", closed.elapsed());
        next.answers(&name(1), "z").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("z".into()));
        assert_eq!((controller.instance.counters().attempts, finals(&world, &name(1))), (2, 1));
    });
}

/// The end of a call is said on a connection that its call server closes unread in the same moment: it is said again on the
/// next, and the call does not stay up.
#[test]
fn the_end_of_a_call_and_the_close_of_its_connection() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        wire.answers(&name(1), "y").await;
        wire.hears("ACK").await;
        world.final_answer(&name(1)).await;
        caller.close(&name(1), 16).await;
        let mut come = [0; 4_096];
        in_time("it has come", async {
            loop {
                let n = wire.stream.peek(&mut come).await.expect("there");
                if come[..n].windows(3).any(|three| three == b"BYE") {
                    return;
                }
                tokio::task::yield_now().await;
            }
        })
        .await;
        wire.reset();
        let mut next = hand.greets().await;
        assert_eq!(next.hears("BYE").await, name(1));
        // Confirmed there, it is not said a third time.
        next.say(&format!(
            "SIP/2.0 200 OK\r\nCall-ID: {}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n",
            name(1)
        ))
        .await;
        caller.open(&name(2), 9_000, 0, "x").await;
        next.hears("INVITE").await;
        next.reset();
        let mut last = hand.greets().await;
        assert_eq!(last.next().await, Some(("INVITE".to_owned(), name(2))), "and no BYE before it");
    });
}

struct Hears(Rc<RefCell<Vec<u8>>>);

impl Reader for Hears {
    fn read(&mut self, bytes: &[u8]) -> Result<usize, Unreadable> {
        self.0.borrow_mut().extend_from_slice(bytes);
        Ok(bytes.len())
    }
    fn ended(&mut self) -> bool {
        false
    }
    fn patience(&self) -> Duration {
        Duration::from_secs(1)
    }
}

/// The other side answers and dies in the moment when something is to be written to it: the answer is heard.
#[test]
fn an_answer_and_a_write_to_a_connection_that_breaks() {
    on_one_thread(async {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let here = TcpStream::connect(listener.local_addr().expect("an address")).await.expect("connected");
        let (mut there, _) = listener.accept().await.expect("accepted");
        there.write_all(b"an answer").await.expect("written");
        here.readable().await.expect("it has come");
        there.set_zero_linger().expect("set");
        drop(there);
        // The reset has come too, and the first thing that is done with the connection is a write.
        let (line, queue, heard) =
            (Line::new(here), WriteQueue::default(), Rc::new(RefCell::new(Vec::new())));
        in_time("writable", line.stream().writable()).await.expect("writable");
        assert!(queue.push("x".into(), None));
        let mut reader = Hears(heard.clone());
        let end = in_time("the end", serve(&line, &queue, &Pool::new(64), &mut reader)).await;
        assert_eq!(heard.borrow().as_slice(), b"an answer", "ended: {end}");
    });
}

// ---- Lists ---------------------------------------------------------------------------------------------------

/// A bulletin that says only what a test tells it to.
struct Board {
    listener: TcpListener,
}

/// One poll of it.
struct Poll {
    stream: BufReader<TcpStream>,
    after: u64,
}

impl Board {
    async fn start() -> Board {
        Board { listener: TcpListener::bind("127.0.0.1:0").await.expect("a port") }
    }
    fn at(&self) -> std::net::SocketAddr {
        self.listener.local_addr().expect("an address")
    }
    async fn poll(&self) -> Poll {
        let (stream, _) = in_time("a poll", self.listener.accept()).await.expect("accepted");
        let mut poll = Poll { stream: BufReader::new(stream), after: 0 };
        poll.again().await;
        poll
    }
}

impl Poll {
    /// The next question on the connection.
    async fn again(&mut self) {
        loop {
            let mut line = String::new();
            let read = in_time("a question", self.stream.read_line(&mut line)).await.expect("read");
            assert!(read > 0, "the poll ended");
            if let Some(after) = line.split(['=', '&']).nth(1).filter(|_| line.starts_with("GET")) {
                self.after = after.parse().expect("a number");
            }
            if line == "\r\n" {
                return;
            }
        }
    }
    async fn says(&mut self, bytes: &[u8]) {
        self.stream.get_mut().write_all(bytes).await.expect("written");
    }
    async fn tells(&mut self, page: &Value) {
        self.says(&answer(page)).await;
    }
}

fn answer(page: &Value) -> Vec<u8> {
    let body = page.to_string();
    format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len()).into_bytes()
}

fn event(no: u64, hosts: &[Value]) -> Value {
    json!({"no": no, "roster": {"seq": no, "whole": no == 1, "hosts": hosts}})
}

async fn listed(controller: &Controller, which: &str, state: ServerState) {
    let is_so = |i: &lockpoint::instance::Instance| {
        i.servers().iter().any(|line| line.host == which && line.state == state)
    };
    controller.turns(&format!("{which} is {state:?}"), is_so).await;
}

/// A list watch stays open and silent for good: it is given up, the bulletin is asked anew, and a drain that was told
/// meanwhile is heard. What was known stays.
#[test]
fn a_list_watch_that_is_silent_for_good() {
    on_one_thread(async {
        let (board, hand) = (Board::start().await, Hand::start("s0").await);
        let controller = Controller::start(config(board.at())).await;
        let mut first = board.poll().await;
        first.tells(&json!({"no": 1, "items": [event(1, &[hand.host(0, "ready")])]})).await;
        listed(&controller, "s0", ServerState::Ready).await;
        first.again().await;
        assert_eq!(first.after, 1);
        // It never answers this one, nor the next, and both stay open.
        let second = board.poll().await;
        let asked = Instant::now();
        let mut third = board.poll().await;
        assert!(asked.elapsed() < Duration::from_secs(4), "given up after {:?}", asked.elapsed());
        listed(&controller, "s0", ServerState::Ready).await;
        assert_eq!((second.after, third.after), (1, 1));
        third.tells(&json!({"no": 2, "items": [event(2, &[hand.host(0, "draining")])]})).await;
        listed(&controller, "s0", ServerState::Draining).await;
        drop((first, second));
    });
}

/// A list watch ends, half an answer read, because the configuration is read anew: the next one is asked for all of it.
#[test]
fn a_list_watch_that_ends_during_a_reread() {
    on_one_thread(async {
        let (old, new, hand) = (Board::start().await, Board::start().await, Hand::start("s0").await);
        let controller = Controller::start(config(old.at())).await;
        let mut poll = old.poll().await;
        poll.tells(&json!({"no": 1, "items": [event(1, &[hand.host(0, "ready")])]})).await;
        listed(&controller, "s0", ServerState::Ready).await;
        poll.again().await;
        let drain = json!({"no": 2, "items": [event(2, &[hand.host(0, "draining")])]});
        let bytes = answer(&drain);
        poll.says(&bytes[..bytes.len() - 10]).await;
        assert!(controller.instance.reload(config(new.at())).is_empty());
        // The rest comes too late: nobody reads it any more.
        poll.says(&bytes[bytes.len() - 10..]).await;
        let mut next = new.poll().await;
        assert_eq!(next.after, 1, "what was half told was not taken");
        next.tells(&drain).await;
        listed(&controller, "s0", ServerState::Draining).await;
        // The same bulletin in a file that is read anew: its watch goes on.
        next.again().await;
        assert!(controller.instance.reload(config(new.at())).is_empty());
        next.tells(&json!({"no": 3, "items": [event(3, &[hand.host(0, "ready")])]})).await;
        listed(&controller, "s0", ServerState::Ready).await;
    });
}

/// A page that says that its last event is one far ahead: the events to come are heard all the same.
#[rstest]
#[case::with_an_event(true)]
#[case::with_none(false)]
fn a_list_whose_number_is_spoilt(#[case] with: bool) {
    on_one_thread(async {
        let (board, hand) = (Board::start().await, Hand::start("s0").await);
        let controller = Controller::start(config(board.at())).await;
        let mut poll = board.poll().await;
        let items = [event(1, &[hand.host(0, "ready")])];
        if !with {
            poll.tells(&json!({"no": 1, "items": items})).await;
            listed(&controller, "s0", ServerState::Ready).await;
            poll.again().await;
        }
        poll.tells(&json!({"no": 4_000_000, "items": if with { &items[..] } else { &[] }})).await;
        listed(&controller, "s0", ServerState::Ready).await;
        let mut poll = if with {
            poll.again().await;
            poll
        } else {
            board.poll().await
        };
        assert_eq!(poll.after, 1);
        poll.tells(&json!({"no": 2, "items": [event(2, &[hand.host(0, "draining")])]})).await;
        listed(&controller, "s0", ServerState::Draining).await;
    });
}

/// An event that is spoilt on its way, with a drain in it: it is asked for again, in order, and those after it wait. One
/// that is spoilt for good is passed over.
#[test]
fn a_list_with_an_event_that_is_spoilt() {
    on_one_thread(async {
        let (board, a, b) = (Board::start().await, Hand::start("a").await, Hand::start("b").await);
        let controller = Controller::start(config(board.at())).await;
        let mut poll = board.poll().await;
        let ready = event(1, &[a.host(0, "ready"), b.host(1, "ready")]);
        poll.tells(&json!({"no": 1, "items": [ready]})).await;
        listed(&controller, "b", ServerState::Ready).await;
        poll.again().await;
        let spoilt = event(2, &[a.host(0, "dra\u{fffd}ning")]);
        let gone = event(3, &[b.host(1, "gone")]);
        poll.tells(&json!({"no": 3, "items": [spoilt, gone]})).await;
        let mut poll = board.poll().await;
        assert_eq!(poll.after, 1, "the spoilt one is asked for again");
        listed(&controller, "b", ServerState::Ready).await;
        poll.tells(&json!({"no": 3, "items": [event(2, &[a.host(0, "draining")]), gone]})).await;
        listed(&controller, "a", ServerState::Draining).await;
        listed(&controller, "b", ServerState::Gone).await;
        // One that stays spoilt.
        poll.again().await;
        poll.tells(&json!({"no": 4, "items": [{"no": "four"}]})).await;
        for _ in 0..2 {
            let mut poll = board.poll().await;
            assert_eq!(poll.after, 3);
            poll.tells(&json!({"no": 5, "items": [{"no": "four"}, event(5, &[a.host(0, "gone")])]})).await;
        }
        listed(&controller, "a", ServerState::Gone).await;
        assert_eq!(controller.instance.counters().malformed_bulletin, 1);
    });
}

/// A bulletin that answers at once although there is no news: it is not asked without a rest.
#[test]
fn a_list_that_does_not_wait_for_news() {
    on_one_thread(async {
        let (board, hand) = (Board::start().await, Hand::start("s0").await);
        let controller = Controller::start(config(board.at())).await;
        let mut poll = board.poll().await;
        poll.tells(&json!({"no": 1, "items": [event(1, &[hand.host(0, "ready")])]})).await;
        poll.again().await;
        let began = Instant::now();
        const POLLS: u32 = 20;
        for _ in 0..POLLS {
            poll.tells(&json!({"no": 1, "items": []})).await;
            poll.again().await;
        }
        let each = began.elapsed() / POLLS;
        assert!(each >= Duration::from_millis(20), "asked again after {each:?}");
        assert!(controller.instance.ready());
    });
}

/// A bulletin that closes after each answer, without news: what it tells between two polls is heard soon, however often it
/// had none.
#[test]
fn a_list_whose_bulletin_closes_after_each_answer() {
    on_one_thread(async {
        let (board, hand) = (Board::start().await, Hand::start("s0").await);
        let controller = Controller::start(config(board.at())).await;
        let mut poll = board.poll().await;
        poll.tells(&json!({"no": 1, "items": [event(1, &[hand.host(0, "ready")])]})).await;
        drop(poll);
        let (began, polls) = (Instant::now(), 12);
        for _ in 0..polls {
            board.poll().await.tells(&json!({"no": 1, "items": []})).await;
        }
        // Growing waits, up to 250 ms each, would make it over two seconds.
        assert!(began.elapsed() < Duration::from_millis(1_500), "{polls} polls in {:?}", began.elapsed());
        assert!(controller.instance.ready());
    });
}

/// A watch of DNS-SD records ends because the configuration is read anew, and a call server leaves before the next one has
/// begun: it is gone from the list. So are all where the file names no records any more.
#[rstest]
fn a_watch_of_records_that_ends_during_a_reread(#[values(true, false)] watches_on: bool) {
    on_one_thread(async {
        let (board, resolver, any) = (Board::start().await, Resolver::start().await, any());
        let name_it = |n: &str| {
            let at = "127.0.0.1:9".parse().expect("an address");
            resolver.add_server(n, at, 30, &["cell=0".into(), "zone=east".into()]);
        };
        name_it("i0");
        let with = |dns: bool| {
            let mut config = config(board.at());
            config.iax2 = Some(Iax2Config::at(any, any));
            config.dns_sd = dns.then(|| DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
            config
        };
        let controller = Controller::start(with(true)).await;
        let which = |i: &lockpoint::instance::Instance, state| i.servers().iter().any(|l| l.state == state);
        controller.turns("it is listed", |i| which(i, ServerState::Ready)).await;
        // Its records live for half a minute: this watch looks no sooner.
        resolver.remove_server("i0");
        let mut next = with(watches_on);
        next.bulletin = Some(Board::start().await.at());
        controller.instance.reload(next);
        controller.turns("it is gone", |i| !which(i, ServerState::Ready)).await;
    });
}

fn any() -> std::net::SocketAddr {
    std::net::SocketAddr::from(([127, 0, 0, 1], 0))
}

// ---- Drains --------------------------------------------------------------------------------------------------

/// A drain is told between the choice of a call server and the send: the set-up goes elsewhere at once.
#[test]
fn a_drain_between_the_choice_and_the_send() {
    on_one_thread(async {
        let world = EventLog::default();
        let (chosen, fill) = Hand::full("s0").await;
        let other = Hand::start("s1").await;
        let long = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = Span::from_millis(60_000);
        };
        let (controller, bulletin) = Controller::with_hands(&world, &[&chosen, &other], long).await;
        let mut wire = other.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        controller.turns("it is sent", |i| i.counters().attempts == 1).await;
        bulletin.publish(false, vec![chosen.host(0, "draining")]);
        assert_eq!(wire.hears("INVITE").await, name(1));
        wire.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        // Its connection comes up afterwards: no set-up is on it.
        let waiting = fill.len();
        drop(fill);
        for _ in 0..=waiting {
            let mut wire = chosen.greets().await;
            let said = tokio::time::timeout(Duration::from_millis(300), wire.next()).await;
            assert!(!matches!(&said, Ok(Some((method, _))) if method == "INVITE"), "{said:?}");
        }
    });
}

// ---- Late answers --------------------------------------------------------------------------------------------

/// A call server that was given up answers after the call was sent elsewhere, ahead of the other or behind it: the caller
/// gets one answer, and the late one is released where it stands.
#[rstest]
fn a_late_answer_after_the_call_was_sent_elsewhere(#[values(true, false)] ahead: bool) {
    on_one_thread(async {
        let world = EventLog::default();
        let (silent, other) = (Hand::start("s0").await, Hand::start("s1").await);
        let (controller, _b) = Controller::with_hands(&world, &[&silent, &other], |_| {}).await;
        let (mut first, mut second) = (silent.greets().await, other.greets().await);
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        first.hears("INVITE").await;
        first.hears("CANCEL").await;
        let given_up = Instant::now();
        second.hears("INVITE").await;
        assert!(given_up.elapsed() >= REST - Duration::from_millis(20), "after {:?}", given_up.elapsed());
        if !ahead {
            second.answers(&name(1), "y").await;
            world.final_answer(&name(1)).await;
        }
        first.answers(&name(1), "late").await;
        assert_eq!(first.hears("BYE").await, name(1));
        if ahead {
            second.answers(&name(1), "y").await;
        }
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let counters = controller.instance.counters();
        assert_eq!((counters.late_answers, counters.standing, finals(&world, &name(1))), (1, 1, 1));
    });
}

/// The end of a call overtakes its answer, which is held up on its way: the call stood and is over. Its caller hears so
/// at once, nobody else is asked, and the late answer is released where it comes from.
#[test]
fn the_end_of_a_call_ahead_of_its_answer() {
    on_one_thread(async {
        let world = EventLog::default();
        let (held_up, other) = (Hand::start("s0").await, Hand::start("s1").await);
        let (controller, _b) = Controller::with_hands(&world, &[&held_up, &other], |_| {}).await;
        let (mut wire, _idle) = (held_up.greets().await, other.greets().await);
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        wire.releases(&name(1), 16).await;
        assert!(matches!(world.final_answer(&name(1)).await.kind, EventKind::Close(31, _)));
        wire.answers(&name(1), "late").await;
        assert_eq!(wire.hears("BYE").await, name(1));
        tokio::time::sleep(REST * 2).await;
        let counters = controller.instance.counters();
        assert_eq!((counters.attempts, counters.standing, finals(&world, &name(1))), (1, 0, 1));
    });
}

/// A second answer, some milliseconds after the first, and an answer after the call was over by time-out: one final answer
/// each, and what stands unasked is released.
#[test]
fn a_late_second_answer_and_one_after_a_time_out() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        wire.answers(&name(1), "y").await;
        world.final_answer(&name(1)).await;
        wire.answers(&name(1), "z").await;
        caller.open(&name(2), 300, 0, "x").await;
        wire.hears("INVITE").await;
        assert!(matches!(world.final_answer(&name(2)).await.kind, EventKind::Close(31, _)));
        wire.hears("CANCEL").await;
        wire.answers(&name(2), "late").await;
        assert_eq!(wire.hears("BYE").await, name(2), "and none for the second copy before it");
        let counters = controller.instance.counters();
        assert_eq!((counters.standing, counters.late_answers), (1, 1));
        assert_eq!((finals(&world, &name(1)), finals(&world, &name(2))), (1, 1));
    });
}

// ---- A client's cancel ---------------------------------------------------------------------------------------

/// A cancel crosses the answer: whichever is heard first, the call does not stay up.
#[rstest]
#[case::the_cancel_first(true)]
#[case::the_answer_first(false)]
fn a_cancel_and_an_answer(#[case] cancel_first: bool) {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        if cancel_first {
            caller.close(&name(1), 16).await;
            wire.hears("CANCEL").await;
            wire.answers(&name(1), "y").await;
        } else {
            wire.answers(&name(1), "y").await;
            controller.turns("it is answered", |i| i.counters().completed == 1).await;
            caller.close(&name(1), 16).await;
            world.wait_for("the end is heard", is(&name(1), EventKind::Closed)).await;
        }
        assert_eq!(wire.hears("BYE").await, name(1));
        let counters = controller.instance.counters();
        assert_eq!((counters.open, counters.standing), (0, 0));
        assert_eq!(finals(&world, &name(1)), usize::from(!cancel_first), "no answer after the cancel");
    });
}

/// Both are there in one moment: the call is over, and its caller hears at most one answer.
#[test]
fn a_cancel_and_an_answer_at_once() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _b) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        for n in 1..=20 {
            caller.open(&name(n), 9_000, 0, "x").await;
            wire.hears("INVITE").await;
            wire.answers(&name(n), "y").await;
            caller.close(&name(n), 16).await;
            assert_eq!(wire.hears("BYE").await, name(n));
            controller.turns("it is over", |i| i.counters().open + i.counters().standing == 0).await;
            assert!(finals(&world, &name(n)) <= 1);
        }
    });
}

// ---- Reloads -------------------------------------------------------------------------------------------------

/// A reload while a call waits: its rest is the one that it began under, its attempts those of the new settings, and it
/// gets its one answer.
#[rstest]
#[case::a_shorter_rest(|c: &mut lockpoint::config::InstanceConfig| c.core.settings.resend_delay = Span::from_millis(10), true)]
#[case::no_more_attempts(|c: &mut lockpoint::config::InstanceConfig| c.core.settings.max_attempts = 1, false)]
fn a_reload_while_a_call_waits(
    #[case] change: fn(&mut lockpoint::config::InstanceConfig),
    #[case] goes_again: bool,
) {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, bulletin) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        let reset = Instant::now();
        wire.replies(&name(1), 504, "").await;
        wire.hears("ACK").await;
        let mut next = config(bulletin.at);
        change(&mut next);
        assert!(controller.instance.reload(next).is_empty());
        if goes_again {
            wire.hears("INVITE").await;
            assert!(reset.elapsed() >= REST, "after {:?}", reset.elapsed());
            wire.answers(&name(1), "y").await;
        }
        let answer = world.final_answer(&name(1)).await.kind;
        assert_eq!(matches!(answer, EventKind::Ready(_)), goes_again, "{answer:?}");
        let counters = controller.instance.counters();
        assert_eq!((counters.open, counters.attempts), (0, 1 + u64::from(goes_again)));
    });
}

/// A reload brings the settings of another customer: they stay out as a whole, and what goes with them too.
#[test]
fn a_reload_with_the_settings_of_another() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, bulletin) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        wire.hears("INVITE").await;
        let mut other = config(bulletin.at);
        other.core.classes = vec!["another".into()];
        other.zones = vec!["elsewhere".into(), "east".into()];
        other.core.max_caller_wait = Span::from_millis(100);
        assert_eq!(controller.instance.reload(other.clone()), ["settings.zones", "settings.classes"]);
        other.core.classes = vec!["judge-call".into()];
        assert_eq!(controller.instance.reload(other.clone()), ["settings.zones"]);
        // Further zones take nobody's place.
        other.zones = vec!["east".into(), "elsewhere".into()];
        other.core.max_caller_wait = Span::from_millis(9_000);
        assert!(controller.instance.reload(other.clone()).is_empty());
        // Another number among the controllers, for which the others would not know it.
        other.core.fleet =
            Some(lockpoint::fleet::FleetConfig { me: 1, controllers: 2, ..Default::default() });
        assert_eq!(controller.instance.reload(other), ["fleet"]);
        // A line that names its zone comes after that: it is read by the zones that the settings in force name.
        bulletin.publish(false, vec![hand.host(0, "ready")]);
        let second = Hand::start("s1").await;
        bulletin.publish(false, vec![second.host(1, "ready")]);
        listed(&controller, "s1", ServerState::Ready).await;
        assert!(controller.instance.servers().iter().all(|line| line.zone == 0), "east is the first zone");
        wire.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
    });
}

/// What a connection may take is a setting like others: a reload changes it.
#[test]
fn a_reload_changes_how_long_a_connection_may_take() {
    on_one_thread(async {
        let world = EventLog::default();
        let (first, (full, _fill)) = (Hand::start("s0").await, Hand::full("s1").await);
        let long = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = Span::from_millis(60_000);
        };
        let (controller, bulletin) = Controller::with_hands(&world, &[&first], long).await;
        let mut next = config(bulletin.at);
        next.connect_timeout = Span::from_millis(50);
        assert!(controller.instance.reload(next).is_empty());
        bulletin.publish(false, vec![full.host(1, "ready")]);
        controller.turns("it is not made in time", |i| i.counters().not_made > 0).await;
    });
}
