//! A caller who has left while its call waited: its set-up is not sent on, wherever it waits and however the caller left.
//! The call servers are held in the test's hand, so that each call waits where it is meant to until its caller has left.

mod support;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lockpoint::config::{DnsSdConfig, Iax2Config};
use lockpoint::iax2::frame::{parse, Datagram, Iax, Kind};
use rstest::rstest;
use serde_json::json;
use support::iax2::{IaxCaller, Resolver, SERVICE};
use support::{in_time, name, on_one_thread, Bulletin, Controller, EventKind, EventLog, Hand, Wire};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

/// No attempt may begin so long after its client closed its connection or cancelled.
const NO_ATTEMPT_AFTER: Duration = Duration::from_millis(100);
const REST: Duration = Duration::from_millis(500);

fn ask(sid: &str, text: &str) -> String {
    let attrs =
        json!({"class": "judge-call", "left": "9000", "key": "7f", "extras": "dest:0;width:1;via:-1"});
    format!("{}\n", json!({"msg": "open", "sid": sid, "attrs": attrs, "text": text}))
}

fn close(sid: &str) -> String {
    format!("{}\n", json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}))
}

async fn asks(at: SocketAddr, sid: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(ask(sid, "x").as_bytes()).await.expect("written");
    stream
}

/// Where a call waits.
#[derive(Debug, Clone, Copy)]
enum Waits {
    /// For a connection that comes up.
    ComingUp,
    /// For its call server's first word on a new connection.
    FirstWord,
    /// On the connection that follows one which ended under it.
    Moved,
    /// For what its last attempt held to be released.
    Rest,
}

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    GivesUp,
    Closes,
    Resets,
}

async fn leaves(mut stream: TcpStream, how: Leaves) -> Option<TcpStream> {
    match how {
        Leaves::GivesUp => {
            stream.write_all(close(&name(1)).as_bytes()).await.expect("written");
            return Some(stream);
        }
        Leaves::Closes => {}
        Leaves::Resets => stream.set_zero_linger().expect("set"),
    }
    None
}

/// A controller and its call server, with call 1 waiting where it is to wait.
struct Scene {
    world: EventLog,
    controller: Controller,
    _bulletin: std::rc::Rc<Bulletin>,
    hand: Hand,
    /// Connections on which set-ups may come.
    wires: Vec<Wire>,
    /// Whoever fills the call server's queue of connections.
    fill: Vec<std::net::TcpStream>,
}

impl Scene {
    async fn with(waits: Waits) -> Scene {
        Scene::with_config(waits, |_| {}).await
    }

    async fn with_config(waits: Waits, change: impl FnOnce(&mut lockpoint::config::InstanceConfig)) -> Scene {
        let world = EventLog::default();
        let (hand, fill) = match waits {
            Waits::ComingUp => Hand::full("s0").await,
            _ => (Hand::start("s0").await, Vec::new()),
        };
        // The connection may take longer than the test: it comes up when the test lets it.
        let long = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = lockpoint::interface::Span::from_millis(60_000);
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            config.iax2 = Some(Iax2Config::at(any, any));
            change(config);
        };
        let (controller, bulletin) = Controller::with_hands(&world, &[&hand], long).await;
        Scene { world, controller, _bulletin: bulletin, hand, wires: Vec::new(), fill }
    }

    /// Lets call 1, which `asks` makes, come to where it waits.
    async fn waits<T>(&mut self, waits: Waits, asks: impl AsyncFnOnce(&Controller) -> T) -> T {
        match waits {
            Waits::ComingUp => {}
            Waits::FirstWord => {
                // A new connection, on which nothing is said.
                self.hand.greets().await.reset();
                let wire = self.hand.accept().await;
                self.wires.push(wire);
            }
            Waits::Moved => self.wires.push(self.hand.accept().await),
            Waits::Rest => self.wires.push(self.hand.greets().await),
        }
        let caller = asks(&self.controller).await;
        self.controller.turns("the call is taken", |i| i.counters().taken == 1).await;
        match waits {
            Waits::Moved => {
                self.wires.remove(0).reset();
                let wire = self.hand.accept().await;
                self.wires.push(wire);
            }
            Waits::Rest => {
                let wire = &mut self.wires[0];
                assert_eq!(wire.hears("INVITE").await, name(1));
                wire.replies(&name(1), 504, "").await;
                // Read by now: what the call server says next is heard after it.
                wire.hears("ACK").await;
            }
            _ => {}
        }
        caller
    }

    /// Call 1 is over, and nothing of it was sent on later than may be; another call is served.
    async fn nothing_is_sent_on(mut self, waits: Waits, left: Instant) {
        self.controller.turns("it is given up", |i| i.counters().open == 0).await;
        assert!(left.elapsed() < Duration::from_secs(5), "not at once, but when its time was over");
        let counters = self.controller.instance.counters();
        assert_eq!((counters.given_up, counters.failed, counters.completed), (1, 0, 0));
        self.fill.clear();
        if matches!(waits, Waits::Rest) {
            tokio::time::sleep(REST + Duration::from_millis(100)).await;
        }
        let other = asks(self.controller.at, &name(2)).await;
        if matches!(waits, Waits::ComingUp) {
            loop {
                // Those that filled the queue come first, and say nothing.
                let mut wire = self.hand.greets().await;
                if let Ok(Some((method, call))) =
                    tokio::time::timeout(Duration::from_millis(1_000), wire.next()).await
                {
                    assert_eq!((method.as_str(), call), ("INVITE", name(2)), "the first set-up on it");
                    break;
                }
            }
            return drop(other);
        }
        // On whichever connection the other call comes, it is served, and call 1 came on none, but for what had left.
        let mut wire = self.wires.pop().expect("a connection");
        loop {
            let (method, call) = in_time("the other call", wire.next()).await.expect("the connection stands");
            match method.as_str() {
                "INVITE" if call == name(2) => return,
                "INVITE" => {
                    assert!(left.elapsed() < NO_ATTEMPT_AFTER, "{call} sent {:?} after", left.elapsed())
                }
                _ => {}
            }
        }
    }
}

/// Guards against work sent to call servers for callers who have left.
#[rstest]
fn a_caller_who_has_left_has_nothing_sent_on(
    #[values(Waits::ComingUp, Waits::FirstWord, Waits::Moved, Waits::Rest)] waits: Waits,
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    on_one_thread(async {
        let mut scene = Scene::with(waits).await;
        let caller = scene.waits(waits, async |c| asks(c.at, &name(1)).await).await;
        let kept = leaves(caller, how).await;
        scene.nothing_is_sent_on(waits, Instant::now()).await;
        drop(kept);
    });
}

/// The same for callers of the other front.
#[rstest]
fn an_iax2_caller_who_has_left_has_nothing_sent_on(
    #[values(Waits::ComingUp, Waits::FirstWord, Waits::Moved, Waits::Rest)] waits: Waits,
) {
    on_one_thread(async {
        let mut scene = Scene::with(waits).await;
        let world = scene.world.clone();
        let asks = async |c: &Controller| {
            let caller = IaxCaller::start(&world, "c", c.iax2_at.expect("a port")).await;
            caller.open(&name(1), 9_000, 0, "x");
            caller
        };
        let caller = scene.waits(waits, asks).await;
        caller.hang_up(&name(1));
        scene.nothing_is_sent_on(waits, Instant::now()).await;
    });
}

/// A caller who only writes no more, and still reads, has not left: it gets its answer.
#[test]
fn a_caller_who_closes_its_half_is_served() {
    on_one_thread(async {
        let mut scene = Scene::with(Waits::Rest).await;
        let mut caller = scene.waits(Waits::Rest, async |c| asks(c.at, &name(1)).await).await;
        caller.shutdown().await.expect("its half is closed");
        let wire = &mut scene.wires[0];
        assert_eq!(wire.hears("INVITE").await, name(1), "once more, after the rest");
        wire.answers(&name(1), "y").await;
        let mut heard = String::new();
        in_time("the end", caller.read_to_string(&mut heard)).await.expect("read");
        let last = heard.lines().last().expect("an answer");
        assert!(last.contains("\"ready\"") && last.contains(&name(1)), "{heard}");
        let others = heard.lines().filter(|line| !line.contains("\"trying\"")).count();
        assert_eq!(others, 1, "one answer, and words that mean nothing: {heard}");
        // It has read the answer and closes: what it is called for stands.
        drop(caller);
        scene.controller.turns("it is gone", |i| i.counters().clients == 0).await;
        assert_eq!(scene.controller.instance.counters().standing, 1);
    });
}

/// Guards against callers who are turned away for what they sent, read no more, and whose leaving is heard by nobody.
#[rstest]
fn a_caller_who_is_turned_away_and_leaves_has_nothing_sent_on(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    on_one_thread(async {
        let mut scene = Scene::with(Waits::Rest).await;
        let mut caller = scene.waits(Waits::Rest, async |c| asks(c.at, &name(1)).await).await;
        caller.write_all(b"[]\n").await.expect("written");
        scene.controller.turns("it is turned away", |i| i.counters().malformed_lines == 1).await;
        let kept = leaves(caller, how).await;
        scene.nothing_is_sent_on(Waits::Rest, Instant::now()).await;
        drop(kept);
    });
}

/// Guards against set-ups that wait behind others on a connection that takes no more, and against those whose end finds no
/// room behind them.
#[test]
fn a_line_of_set_ups_is_taken_back_and_what_had_left_is_given_up() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::narrow("s0").await;
        let (controller, _bulletin) = Controller::with_hands(&world, &[&hand], |c| {
            support::unhurried(c);
            c.connect_timeout = lockpoint::interface::Span::from_millis(60_000);
        })
        .await;
        let mut wire = hand.greets().await;
        let speaks = |i: &lockpoint::instance::Instance| i.counters().connected == 1;
        controller.turns("a connection", speaks).await;
        let _fill = hand.fill(); // no other comes up beside it
                                 // It reads nothing from here on. A caller asks for more at once than the connection takes.
        const ALL: u64 = 250;
        let mut caller = TcpStream::connect(controller.at).await.expect("it listens");
        let all: String = (1..=ALL).map(|n| ask(&name(n), &"y".repeat(14_000))).collect();
        caller.write_all(all.as_bytes()).await.expect("written");
        controller.turns("all are taken", |i| i.counters().taken == ALL).await;
        drop(caller);
        controller.turns("all are given up", |i| i.counters().open == 0).await;
        let counters = controller.instance.counters();
        assert!(counters.withdrawn > 0, "some waited: {counters:?}");
        let (mut out, mut seen) = (std::collections::BTreeSet::new(), 0);
        let read = async {
            while seen + counters.withdrawn < counters.invites || !out.is_empty() {
                let Some((method, call)) = wire.next().await else { break };
                match method.as_str() {
                    "INVITE" => {
                        seen += 1;
                        out.insert(call);
                    }
                    "CANCEL" => drop(out.remove(&call)),
                    _ => {}
                }
            }
        };
        let read_all = tokio::time::timeout(Duration::from_secs(20), read).await;
        assert!(read_all.is_ok(), "left without an end: {out:?}; {seen} of {counters:?}");
        assert_eq!(seen + counters.withdrawn, counters.invites, "each left, or was taken back");
    });
}

/// Guards against copies of a NEW that a call server has not answered, sent for a caller who has left.
#[test]
fn an_unanswered_new_is_not_said_again_once_its_caller_has_left() {
    on_one_thread(async {
        let world = EventLog::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let server = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let at = server.local_addr().expect("an address");
        resolver.add_server("i0", at, 1, &["cell=0".into(), "zone=east".into()]);
        let mut config = support::config(bulletin.at);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        config.iax2 = Some(Iax2Config::at(any, any));
        config.dns_sd = Some(DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
        let controller = Controller::start(config).await;
        controller.holds_list().await;
        let caller = asks(controller.at, &name(1)).await;
        let mut bytes = vec![0; 4_096];
        let mut kind = async || {
            let (n, _) = in_time("a frame", server.recv_from(&mut bytes)).await.expect("heard");
            match parse(&bytes[..n]) {
                Ok(Datagram::Full(frame)) => frame.kind,
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(kind().await, Kind::Iax(Iax::New));
        drop(caller);
        // Copies of it may come until its leaving is known; then its end, and copies of that, to the last.
        let mut ended = 0;
        while ended < 3 {
            match kind().await {
                Kind::Iax(Iax::Hangup) => ended += 1,
                Kind::Iax(Iax::New) => assert_eq!(ended, 0, "a NEW after the end"),
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(controller.instance.counters().given_up, 1);
        let _ = world.count(|s| s.kind == EventKind::Closed);
    });
}

// ---- How soon a leaving is found -----------------------------------------------------------------------------

/// How the closing of a connection shows here.
#[derive(Debug, Clone, Copy)]
enum Shows {
    /// The client's system refuses at once what is written after the end of the stream.
    AtOnce,
    /// It refuses only so much later, as over a network: until then the connection looks half closed.
    After(Duration),
    /// The client had closed its writing half long ago, and leaves without a further word.
    NothingNew,
    /// As at once, on a connection that is read seldom for what was said on it.
    TurnedAway,
}

/// Clients that each wait for one call, at one place.
async fn clients_that_wait(scene: &mut Scene, waits: Waits, count: u64) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    match waits {
        Waits::FirstWord => {
            scene.hand.greets().await.reset();
            scene.wires.push(scene.hand.accept().await);
        }
        Waits::Rest => scene.wires.push(scene.hand.greets().await),
        Waits::ComingUp | Waits::Moved => {}
    }
    for n in 1..=count {
        clients.push(asks(scene.controller.at, &name(n)).await);
    }
    scene.controller.turns("all are taken", |i| i.counters().taken == count).await;
    if matches!(waits, Waits::Rest) {
        for _ in 1..=scene.controller.instance.counters().attempts {
            let call = scene.wires[0].hears("INVITE").await;
            scene.wires[0].replies(&call, 504, "").await;
        }
    }
    clients
}

/// Closes a connection as a client does that reads what comes: with bytes unread its system would send a reset at once,
/// and its leaving would show by that.
fn close_having_read_all(client: TcpStream) {
    use std::io::Read;
    let mut client = client.into_std().expect("a socket");
    let mut unread = [0; 4_096];
    while client.read(&mut unread).is_ok_and(|read| read > 0) {}
}

/// Closes one client's connection and measures until its call is given up.
async fn found_after(scene: &Scene, mut client: TcpStream, shows: Shows) -> Duration {
    let given_up = scene.controller.instance.counters().given_up;
    assert!(scene.controller.instance.counters().open > 0, "{:?}", scene.controller.instance.counters());
    let closed = Instant::now();
    if let Shows::After(delay) = shows {
        client.shutdown().await.expect("its half is closed");
        tokio::time::sleep(delay).await;
    }
    close_having_read_all(client);
    while scene.controller.instance.counters().given_up == given_up {
        assert!(closed.elapsed() < Duration::from_secs(5), "never found");
        tokio::task::yield_now().await;
    }
    closed.elapsed()
}

/// Guards against set-ups sent on because a closed connection was taken for a half closed one for too long.
#[rstest]
#[case::coming_up(Waits::ComingUp, Shows::AtOnce, 200)]
#[case::first_word(Waits::FirstWord, Shows::AtOnce, 200)]
#[case::rest(Waits::Rest, Shows::AtOnce, 200)]
#[case::refused_5_ms_later(Waits::ComingUp, Shows::After(Duration::from_millis(5)), 20)]
#[case::refused_20_ms_later(Waits::ComingUp, Shows::After(Duration::from_millis(20)), 20)]
#[case::refused_40_ms_later(Waits::ComingUp, Shows::After(Duration::from_millis(40)), 20)]
#[case::half_closed_long_ago(Waits::ComingUp, Shows::NothingNew, 20)]
#[case::turned_away(Waits::ComingUp, Shows::TurnedAway, 20)]
fn a_closing_is_found_before_a_tenth_of_a_second(
    #[case] waits: Waits,
    #[case] shows: Shows,
    #[case] count: u64,
) {
    on_one_thread(async {
        let mut scene = Scene::with_config(waits, support::unhurried).await;
        let mut clients = clients_that_wait(&mut scene, waits, count).await;
        match shows {
            Shows::NothingNew => {
                for client in &mut clients {
                    client.shutdown().await.expect("its half is closed");
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            Shows::TurnedAway => {
                for client in &mut clients {
                    client.write_all(b"[]\n").await.expect("written");
                }
                scene.controller.turns("all offend", |i| i.counters().malformed_lines == count).await;
            }
            Shows::AtOnce | Shows::After(_) => {}
        }
        let mut found = Vec::new();
        for client in clients {
            found.push(found_after(&scene, client, shows).await);
        }
        found.sort();
        let (median, most) = (found[found.len() / 2], found[found.len() - 1]);
        println!("{waits:?}, {shows:?}: {count} closings, p50 {median:?}, max {most:?}");
        // A machine that stalls for tens of milliseconds may make one in ten late; a slow look makes all of them late.
        let late = found.iter().filter(|after| **after >= NO_ATTEMPT_AFTER.mul_f64(0.9)).count();
        assert!(late <= found.len() / 10 && median < NO_ATTEMPT_AFTER.mul_f64(0.6), "{found:?}");
    });
}
