//! The set-up of a caller who leaves while its call is pending is not sent to a call server, whatever the call waits
//! for and however the caller leaves. The tests control the call servers step by step, so that each call waits where
//! it is meant to until its caller has left.

mod support;

use std::future::Future;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use lockpoint::config::{DnsSdConfig, Iax2Config};
use lockpoint::iax2::frame::{parse, Datagram, Iax, Kind};
use rstest::rstest;
use serde_json::json;
use support::iax2::{IaxCaller, Resolver, SERVICE};
use support::{
    in_time, name, on_one_thread, Bulletin, Controller, EventKind, EventLog, ScriptedServer, ServerConnection,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpStream, UdpSocket};

/// No attempt may begin later than this after its client has closed its connection or cancelled.
const MAX_ATTEMPT_DELAY: Duration = Duration::from_millis(100);
const RESEND_DELAY: Duration = Duration::from_millis(500);

fn open_line(sid: &str, text: &str) -> String {
    let attrs =
        json!({"class": "judge-call", "left": "9000", "key": "7f", "extras": "dest:0;width:1;via:-1"});
    format!("{}\n", json!({"msg": "open", "sid": sid, "attrs": attrs, "text": text}))
}

fn close_line(sid: &str) -> String {
    format!("{}\n", json!({"msg": "close", "sid": sid, "attrs": {}, "code": 16}))
}

async fn connect_and_open(at: SocketAddr, sid: &str) -> TcpStream {
    let mut stream = TcpStream::connect(at).await.expect("it listens");
    stream.write_all(open_line(sid, "x").as_bytes()).await.expect("written");
    stream
}

/// What a call waits for.
#[derive(Debug, Clone, Copy)]
enum WaitsFor {
    /// A connection to its call server.
    Connection,
    /// Its call server's first message on a new connection.
    FirstMessage,
    /// The first message on the connection that replaces the one on which it was to be sent.
    Reconnection,
    /// The delay after its last attempt, in which that attempt's resources are released.
    ResendDelay,
}

/// How a caller leaves.
#[derive(Debug, Clone, Copy)]
enum Leaves {
    GivesUp,
    Closes,
    Resets,
}

async fn leave(mut stream: TcpStream, how: Leaves) -> Option<TcpStream> {
    match how {
        Leaves::GivesUp => {
            stream.write_all(close_line(&name(1)).as_bytes()).await.expect("written");
            return Some(stream);
        }
        Leaves::Closes => {}
        Leaves::Resets => stream.set_zero_linger().expect("set"),
    }
    None
}

/// A controller and its call server, with call 1 pending.
struct Scene {
    world: EventLog,
    controller: Controller,
    _bulletin: std::rc::Rc<Bulletin>,
    hand: ScriptedServer,
    /// Connections on which set-ups may arrive.
    links: Vec<ServerConnection>,
    /// Connections that fill the call server's backlog.
    backlog: Vec<std::net::TcpStream>,
}

impl Scene {
    async fn with(waits: WaitsFor) -> Scene {
        Scene::with_config(waits, |_| {}).await
    }

    async fn with_config(
        waits: WaitsFor,
        change: impl FnOnce(&mut lockpoint::config::InstanceConfig),
    ) -> Scene {
        let world = EventLog::default();
        let (hand, backlog) = match waits {
            WaitsFor::Connection => ScriptedServer::with_full_backlog("s0").await,
            _ => (ScriptedServer::start("s0").await, Vec::new()),
        };
        // The connect timeout is longer than the test: the connection comes up when the test lets it.
        let long = |config: &mut lockpoint::config::InstanceConfig| {
            config.connect_timeout = lockpoint::interface::Span::from_millis(60_000);
            let any = SocketAddr::from(([127, 0, 0, 1], 0));
            config.iax2 = Some(Iax2Config::new(any, any));
            change(config);
        };
        let (controller, bulletin) = Controller::with_scripted_servers(&world, &[&hand], long).await;
        Scene { world, controller, _bulletin: bulletin, hand, links: Vec::new(), backlog }
    }

    /// Opens call 1 by `open` and brings it to where it waits.
    async fn wait_for<T>(&mut self, waits: WaitsFor, open: impl AsyncFnOnce(&Controller) -> T) -> T {
        match waits {
            WaitsFor::Connection => {}
            WaitsFor::FirstMessage => {
                // A new connection on which the call server sends nothing.
                self.hand.accept_ready().await.reset();
                let link = self.hand.accept().await;
                self.links.push(link);
            }
            WaitsFor::Reconnection => self.links.push(self.hand.accept().await),
            WaitsFor::ResendDelay => self.links.push(self.hand.accept_ready().await),
        }
        let caller = open(&self.controller).await;
        self.controller.wait_for("the call is accepted", |i| i.counters().taken == 1).await;
        match waits {
            WaitsFor::Reconnection => {
                self.links.remove(0).reset();
                let link = self.hand.accept().await;
                self.links.push(link);
            }
            WaitsFor::ResendDelay => {
                let link = &mut self.links[0];
                assert_eq!(link.expect_request("INVITE").await, name(1));
                link.replies(&name(1), 504, "").await;
                // The answer has been read by now: later messages of the call server are handled after it.
                link.expect_request("ACK").await;
            }
            _ => {}
        }
        caller
    }

    /// Checks that call 1 has ended, that none of its attempts was sent too late, and that another call is served.
    async fn assert_nothing_sent(mut self, waits: WaitsFor, left: Instant) {
        self.controller.wait_for("the call is given up", |i| i.counters().open == 0).await;
        assert!(left.elapsed() < Duration::from_secs(5), "given up only by its time limit");
        let counters = self.controller.instance.counters();
        assert_eq!((counters.given_up, counters.failed, counters.completed), (1, 0, 0));
        self.backlog.clear();
        if matches!(waits, WaitsFor::ResendDelay) {
            tokio::time::sleep(RESEND_DELAY + Duration::from_millis(100)).await;
        }
        let other = connect_and_open(self.controller.at, &name(2)).await;
        if matches!(waits, WaitsFor::Connection) {
            loop {
                // The connections that filled the backlog come first and send nothing.
                let mut link = self.hand.accept_ready().await;
                if let Ok(Some((method, call))) =
                    tokio::time::timeout(Duration::from_millis(1_000), link.next()).await
                {
                    assert_eq!(
                        (method.as_str(), call),
                        ("INVITE", name(2)),
                        "the first set-up on the connection"
                    );
                    break;
                }
            }
            return drop(other);
        }
        // Whichever connection carries the other call, no attempt of call 1 was sent on it later than allowed.
        let mut link = self.links.pop().expect("a connection");
        loop {
            let (method, call) =
                in_time("the other call", link.next()).await.expect("the connection is open");
            match method.as_str() {
                "INVITE" if call == name(2) => return,
                "INVITE" => {
                    assert!(
                        left.elapsed() < MAX_ATTEMPT_DELAY,
                        "{call} sent {:?} after its caller had left",
                        left.elapsed()
                    )
                }
                _ => {}
            }
        }
    }
}

/// Guards against load on call servers for callers who have left.
#[rstest]
fn no_set_up_is_sent_for_a_caller_who_has_left(
    #[values(WaitsFor::Connection, WaitsFor::FirstMessage, WaitsFor::Reconnection, WaitsFor::ResendDelay)]
    waits: WaitsFor,
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    on_one_thread(async {
        let mut scene = Scene::with(waits).await;
        let caller = scene.wait_for(waits, async |c| connect_and_open(c.at, &name(1)).await).await;
        let open = leave(caller, how).await;
        scene.assert_nothing_sent(waits, Instant::now()).await;
        drop(open);
    });
}

/// The same for IAX2 callers.
#[rstest]
fn no_set_up_is_sent_for_an_iax2_caller_who_has_left(
    #[values(WaitsFor::Connection, WaitsFor::FirstMessage, WaitsFor::Reconnection, WaitsFor::ResendDelay)]
    waits: WaitsFor,
) {
    on_one_thread(async {
        let mut scene = Scene::with(waits).await;
        let world = scene.world.clone();
        let open = async |c: &Controller| {
            let caller = IaxCaller::start(&world, "c", c.iax2_at.expect("a port")).await;
            caller.open(&name(1), 9_000, 0, "x");
            caller
        };
        let caller = scene.wait_for(waits, open).await;
        caller.hang_up(&name(1));
        scene.assert_nothing_sent(waits, Instant::now()).await;
    });
}

/// A caller who closes only its writing half has not left and gets its answer.
#[test]
fn a_caller_who_half_closes_its_connection_is_served() {
    on_one_thread(async {
        let mut scene = Scene::with(WaitsFor::ResendDelay).await;
        let mut caller =
            scene.wait_for(WaitsFor::ResendDelay, async |c| connect_and_open(c.at, &name(1)).await).await;
        caller.shutdown().await.expect("half closed");
        let link = &mut scene.links[0];
        assert_eq!(link.expect_request("INVITE").await, name(1), "the next attempt, after the delay");
        link.answers(&name(1), "y").await;
        let mut heard = String::new();
        in_time("the end", caller.read_to_string(&mut heard)).await.expect("read");
        let last = heard.lines().last().expect("an answer");
        assert!(last.contains("\"ready\"") && last.contains(&name(1)), "{heard}");
        let others = heard.lines().filter(|line| !line.contains("\"trying\"")).count();
        assert_eq!(others, 1, "one answer, and progress messages: {heard}");
        // The caller has read the answer and closes: its call stays established.
        drop(caller);
        scene.controller.wait_for("the connection is removed", |i| i.counters().clients == 0).await;
        assert_eq!(scene.controller.instance.counters().standing, 1);
    });
}

/// Guards against a caller whose leaving goes unnoticed because its connection is no longer read after a malformed
/// message.
#[rstest]
fn no_set_up_is_sent_for_a_caller_who_leaves_after_a_malformed_message(
    #[values(Leaves::GivesUp, Leaves::Closes, Leaves::Resets)] how: Leaves,
) {
    on_one_thread(async {
        let mut scene = Scene::with(WaitsFor::ResendDelay).await;
        let mut caller =
            scene.wait_for(WaitsFor::ResendDelay, async |c| connect_and_open(c.at, &name(1)).await).await;
        caller.write_all(b"[]\n").await.expect("written");
        scene.controller.wait_for("the message is rejected", |i| i.counters().malformed_lines == 1).await;
        let open = leave(caller, how).await;
        scene.assert_nothing_sent(WaitsFor::ResendDelay, Instant::now()).await;
        drop(open);
    });
}

/// Guards against set-ups left queued on a connection whose peer does not read, and against sent ones whose CANCEL
/// finds no room in the queue.
#[test]
fn queued_set_ups_are_withdrawn_and_sent_ones_are_cancelled() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = ScriptedServer::with_small_receive_buffer("s0").await;
        let (controller, _bulletin) = Controller::with_scripted_servers(&world, &[&hand], |c| {
            support::long_setup_target(c);
            c.connect_timeout = lockpoint::interface::Span::from_millis(60_000);
        })
        .await;
        let mut link = hand.accept_ready().await;
        let speaks = |i: &lockpoint::instance::Instance| i.counters().connected == 1;
        controller.wait_for("a connection", speaks).await;
        let _backlog = hand.fill_backlog(); // no second connection comes up

        // The call server reads nothing from here on. The caller sends more at once than the connection takes.
        const ALL: u64 = 250;
        let mut caller = TcpStream::connect(controller.at).await.expect("it listens");
        let all: String = (1..=ALL).map(|n| open_line(&name(n), &"y".repeat(14_000))).collect();
        caller.write_all(all.as_bytes()).await.expect("written");
        controller.wait_for("all are accepted", |i| i.counters().taken == ALL).await;
        drop(caller);
        controller.wait_for("all are given up", |i| i.counters().open == 0).await;
        let counters = controller.instance.counters();
        assert!(counters.withdrawn > 0, "some were still queued: {counters:?}");
        let (mut out, mut seen) = (std::collections::BTreeSet::new(), 0);
        let read = async {
            while seen + counters.withdrawn < counters.invites || !out.is_empty() {
                let Some((method, call)) = link.next().await else { break };
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
        assert!(read_all.is_ok(), "sent but not cancelled: {out:?}; {seen} of {counters:?}");
        assert_eq!(seen + counters.withdrawn, counters.invites, "each was sent or withdrawn");
    });
}

/// Guards against retransmissions of an unanswered NEW for a caller who has left.
#[test]
fn an_unanswered_new_is_not_retransmitted_once_its_caller_has_left() {
    on_one_thread(async {
        let world = EventLog::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let server = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        let at = server.local_addr().expect("an address");
        resolver.add_server("i0", at, 1, &["cell=0".into(), "zone=east".into()]);
        let mut config = support::config(bulletin.at);
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        config.iax2 = Some(Iax2Config::new(any, any));
        config.dns_sd = Some(DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
        let controller = Controller::start(config).await;
        controller.wait_for_list().await;
        let caller = connect_and_open(controller.at, &name(1)).await;
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
        // Retransmissions may come until the leaving is detected; then the HANGUP and its retransmissions.
        let mut ended = 0;
        while ended < 3 {
            match kind().await {
                Kind::Iax(Iax::Hangup) => ended += 1,
                Kind::Iax(Iax::New) => assert_eq!(ended, 0, "a NEW after the HANGUP"),
                other => panic!("{other:?}"),
            }
        }
        assert_eq!(controller.instance.counters().given_up, 1);
        let _ = world.count(|s| s.kind == EventKind::Closed);
    });
}

// ---- How soon a leaving is detected -----------------------------------------------------------------------------

/// How the controller can detect that a connection was closed.
#[derive(Debug, Clone, Copy)]
enum Detected {
    /// The client's system resets the connection on the first write after the end of its stream.
    AtOnce,
    /// The reset comes only after this time, as over a network: until then the connection looks half closed.
    After(Duration),
    /// The client closed its writing half long before, so its leaving sends no further segment.
    WithoutSignal,
    /// As `AtOnce`, on a connection that is read rarely because of a malformed message.
    AfterRejection,
}

/// The next request on any of the connections, and which of them it came on.
async fn next_request(links: &mut [ServerConnection]) -> (usize, Option<(String, String)>) {
    let mut pending: Vec<_> = links.iter_mut().map(|link| Box::pin(link.next())).collect();
    std::future::poll_fn(|context| {
        for (index, next) in pending.iter_mut().enumerate() {
            if let std::task::Poll::Ready(request) = next.as_mut().poll(context) {
                return std::task::Poll::Ready((index, request));
            }
        }
        std::task::Poll::Pending
    })
    .await
}

/// Refuses this many set-ups, on whichever connections they come: the controller opens further ones while set-ups are
/// outstanding on the first.
async fn refuse_set_ups(scene: &mut Scene, count: u64) {
    let mut refused = 0;
    while refused < count {
        let (index, request) = tokio::select! {
            link = scene.hand.accept_ready() => {
                scene.links.push(link);
                continue;
            }
            next = next_request(&mut scene.links) => next,
        };
        let (method, call) = request.expect("an open connection");
        if method == "INVITE" {
            scene.links[index].replies(&call, 504, "").await;
            refused += 1;
        }
    }
}

/// Clients with one pending call each, which all wait for the same.
async fn waiting_clients(scene: &mut Scene, waits: WaitsFor, count: u64) -> Vec<TcpStream> {
    let mut clients = Vec::new();
    match waits {
        WaitsFor::FirstMessage => {
            scene.hand.accept_ready().await.reset();
            scene.links.push(scene.hand.accept().await);
        }
        WaitsFor::ResendDelay => scene.links.push(scene.hand.accept_ready().await),
        WaitsFor::Connection | WaitsFor::Reconnection => {}
    }
    for n in 1..=count {
        clients.push(connect_and_open(scene.controller.at, &name(n)).await);
    }
    scene.controller.wait_for("all are accepted", |i| i.counters().taken == count).await;
    if matches!(waits, WaitsFor::ResendDelay) {
        let attempts = scene.controller.instance.counters().attempts;
        support::in_time("all attempts are refused", refuse_set_ups(scene, attempts)).await;
    }
    clients
}

/// Closes a connection after reading everything from it: with unread bytes the client's system would send a reset at
/// once, which would reveal its leaving.
fn close_having_read_all(client: TcpStream) {
    use std::io::Read;
    let mut client = client.into_std().expect("a socket");
    let mut unread = [0; 4_096];
    while client.read(&mut unread).is_ok_and(|read| read > 0) {}
}

/// Closes one client's connection and measures the time until its call is given up.
async fn detection_time(scene: &Scene, mut client: TcpStream, detected: Detected) -> Duration {
    let given_up = scene.controller.instance.counters().given_up;
    assert!(scene.controller.instance.counters().open > 0, "{:?}", scene.controller.instance.counters());
    let closed = Instant::now();
    if let Detected::After(delay) = detected {
        client.shutdown().await.expect("half closed");
        tokio::time::sleep(delay).await;
    }
    close_having_read_all(client);
    while scene.controller.instance.counters().given_up == given_up {
        assert!(closed.elapsed() < Duration::from_secs(5), "never detected");
        tokio::task::yield_now().await;
    }
    closed.elapsed()
}

/// Guards against set-ups sent because a closed connection is taken for a half-closed one for too long.
#[rstest]
#[case::connection(WaitsFor::Connection, Detected::AtOnce, 200)]
#[case::first_message(WaitsFor::FirstMessage, Detected::AtOnce, 200)]
#[case::resend_delay(WaitsFor::ResendDelay, Detected::AtOnce, 200)]
#[case::refused_5_ms_later(WaitsFor::Connection, Detected::After(Duration::from_millis(5)), 20)]
#[case::refused_20_ms_later(WaitsFor::Connection, Detected::After(Duration::from_millis(20)), 20)]
#[case::refused_40_ms_later(WaitsFor::Connection, Detected::After(Duration::from_millis(40)), 20)]
#[case::half_closed_long_ago(WaitsFor::Connection, Detected::WithoutSignal, 20)]
#[case::after_a_malformed_message(WaitsFor::Connection, Detected::AfterRejection, 20)]
fn a_closed_connection_is_detected_within_a_tenth_of_a_second(
    #[case] waits: WaitsFor,
    #[case] detected: Detected,
    #[case] count: u64,
) {
    on_one_thread(async {
        let mut scene = Scene::with_config(waits, support::long_setup_target).await;
        let mut clients = waiting_clients(&mut scene, waits, count).await;
        match detected {
            Detected::WithoutSignal => {
                for client in &mut clients {
                    client.shutdown().await.expect("half closed");
                }
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
            Detected::AfterRejection => {
                for client in &mut clients {
                    client.write_all(b"[]\n").await.expect("written");
                }
                scene
                    .controller
                    .wait_for("all messages are rejected", |i| i.counters().malformed_lines == count)
                    .await;
            }
            Detected::AtOnce | Detected::After(_) => {}
        }
        let mut times = Vec::new();
        for client in clients {
            times.push(detection_time(&scene, client, detected).await);
        }
        times.sort();
        let (median, most) = (times[times.len() / 2], times[times.len() - 1]);
        println!("{waits:?}, {detected:?}: {count} closings, p50 {median:?}, max {most:?}");
        // A machine that stalls for tens of milliseconds may delay one in ten; a slow check would delay all of them.
        let late = times.iter().filter(|after| **after >= MAX_ATTEMPT_DELAY.mul_f64(0.9)).count();
        assert!(late <= times.len() / 10 && median < MAX_ATTEMPT_DELAY.mul_f64(0.6), "{times:?}");
    });
}
