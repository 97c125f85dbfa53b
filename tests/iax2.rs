//! IAX2 calls from caller to call server, DNS-SD as their directory, and both protocols together under overload.

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lockpoint::config::{DnsSdConfig, Iax2Config};
use lockpoint::iax2::frame::{ie, parse, Control, Datagram, Elements, Frame, Iax, Kind};
use lockpoint::iax2::legs::{LegEvent, Legs};
use lockpoint::interface::Time;
use support::iax2::{IaxCaller, IaxServer, Resolver, SERVICE};
use support::{
    list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog, RecordedEvent,
    ServerBehaviour, SipServer,
};
use tokio::net::UdpSocket;

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

fn is(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

/// A controller with both fronts, which gets SIP call servers from the bulletin and IAX2 call servers from DNS-SD.
async fn controller(bulletin: &Bulletin, resolver: &Resolver) -> Controller {
    let mut config = support::config(bulletin.at);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    config.iax2 = Some(Iax2Config::new(any, any));
    config.dns_sd = Some(DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
    Controller::start(config).await
}

/// A controller with a single IAX2 call server, of cell 0.
async fn with_server(world: &EventLog, does: ServerBehaviour) -> (Controller, Rc<IaxServer>, Rc<Resolver>) {
    let (bulletin, resolver) = (Bulletin::start(world).await, Resolver::start().await);
    let server = IaxServer::start(world, "i0", does).await;
    resolver.add_server("i0", server.at, 1, &["cell=0".into(), "zone=east".into()]);
    let controller = controller(&bulletin, &resolver).await;
    controller.wait_for_list().await;
    (controller, server, resolver)
}

#[test]
fn an_iax2_call_is_set_up_unchanged_and_either_side_can_end_it() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, _) = with_server(&world, answers(&"answer \u{e9}".repeat(60))).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        let description = "offer ".repeat(100);
        for n in 1..=2 {
            caller.open(&name(n), 2_000, 0, &description);
            assert_eq!(world.final_answer(&name(n)).await.kind, EventKind::Ready("answer \u{e9}".repeat(60)));
            let set_up =
                EventKind::SetUp("judge-call".into(), "7f3a9c21e0b4d655".into(), description.clone());
            world.wait_for("the set-up arrives unchanged", is(&name(n), set_up)).await;
        }
        server.release(&name(1), 41);
        world.wait_for("the release", is(&name(1), EventKind::Close(41, None))).await;
        caller.hang_up(&name(2));
        world.wait_for("the call server gets the end", is(&name(2), EventKind::Bye(16))).await;
        let counters = controller.stop().await;
        assert_eq!((counters.iax2_calls_in, counters.iax2_calls_out, counters.standing), (2, 2, 0));
    });
}

/// Guards against metrics and a drain that take only one front into account.
#[test]
fn metrics_and_drain_cover_the_iax2_front() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, _) = with_server(&world, answers("y")).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let figures = controller.instance.metrics_text();
        for line in ["judge-call.completed:1|c", "upstream_requests:1|c", "pending:1|g", "members:1|g"] {
            assert!(figures.contains(line), "{line} in {figures}");
        }
        controller.instance.lameduck();
        // Calls are still taken for a while, then refused at once; the established call continues.
        let mut n = 1;
        let refused = loop {
            n += 1;
            caller.open(&name(n), 2_000, 0, "x");
            match world.final_answer(&name(n)).await.kind {
                EventKind::Ready(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                other => break other,
            }
        };
        assert!(matches!(refused, EventKind::Close(42, Some(_))) && n > 2, "{refused:?} for call {n}");
        server.release(&name(1), 16);
        world.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
        assert_eq!(controller.instance.rejoin(), Ok(()));
        caller.open(&name(999), 2_000, 0, "x");
        assert_eq!(world.final_answer(&name(999)).await.kind, EventKind::Ready("y".into()));
    });
}

#[test]
fn a_refused_iax2_call_gets_one_reject_and_a_call_given_up_is_cancelled() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, _) = with_server(&world, ServerBehaviour::Refuse(42, String::new())).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 9_000, 0, "x");
        assert!(
            matches!(world.final_answer(&name(1)).await.kind, EventKind::Close(42, Some(wait)) if wait > 0)
        );
        // A caller that gives up while the call server does not answer.
        *server.behaviour.borrow_mut() = ServerBehaviour::Silent;
        caller.open(&name(2), 9_000, 0, "x");
        let other = world.wait_for("a set-up or a refusal", |s| {
            s.sid == name(2) && matches!(s.kind, EventKind::SetUp(..) | EventKind::Close(..))
        });
        if matches!(other.await.kind, EventKind::SetUp(..)) {
            caller.hang_up(&name(2));
            world.wait_for("the call server gets the cancel", is(&name(2), EventKind::Cancel)).await;
        }
        assert_eq!(controller.stop().await.open, 0);
        assert!(world.count(|s| s.sid == name(1) && matches!(s.kind, EventKind::Close(..))) == 1);
    });
}

/// Guards against a leg that waits forever because the answer goes to the other leg with the same call name.
#[test]
fn a_second_leg_with_the_name_of_a_known_call_is_rejected_and_the_first_keeps_its_call() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _server, _) = with_server(&world, answers("y")).await;
        let at = controller.iax2_at.expect("a port");
        let (first, second) =
            (IaxCaller::start(&world, "c", at).await, IaxCaller::start(&world, "d", at).await);
        first.open(&name(1), 2_000, 0, "x");
        world.wait_for("the answer", is(&name(1), EventKind::Ready("y".into()))).await;
        second.open(&name(1), 2_000, 0, "x");
        let rejected = world.wait_for("the reject of the second leg", |s| {
            s.source == "d" && s.kind == EventKind::Close(31, None)
        });
        rejected.await;
        first.hang_up(&name(1));
        world.wait_for("the call server gets the end", is(&name(1), EventKind::Bye(16))).await;
        assert_eq!(controller.instance.counters().iax2_calls_out, 1);
    });
}

#[test]
fn a_call_server_silent_during_set_up_costs_one_attempt_and_the_next_waits_for_its_cancel() {
    on_one_thread(async {
        let world = EventLog::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let (sip, iax) = (
            SipServer::start(&world, "s1", answers("y")).await,
            IaxServer::start(&world, "i0", ServerBehaviour::Silent).await,
        );
        iax.silent.set(true);
        bulletin.publish(true, vec![list_entry("s1", sip.at, 1, "ready")]);
        resolver.add_server("i0", iax.at, 1, &["cell=0".into()]);
        let controller = controller(&bulletin, &resolver).await;
        controller.wait_for("both lists have arrived", |i| i.servers().len() == 2).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 9_000, 0, "x");
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        let gave_up = world.wait_for("the cancel", is(&name(1), EventKind::Cancel)).await.at;
        let at = |who: &'static str| {
            move |s: &RecordedEvent| s.source == who && matches!(s.kind, EventKind::SetUp(..))
        };
        assert!(
            world.wait_for("the second attempt", at("s1")).await.at >= gave_up + Duration::from_millis(500)
        );
        // The retransmissions of its NEW do not count as attempts.
        assert_eq!((world.count(at("i0")), controller.instance.counters().iax2_calls_out), (1, 1));
    });
}

#[test]
fn calls_of_a_silent_iax2_call_server_are_released_and_the_call_of_a_dead_caller_is_ended() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, _) = with_server(&world, answers("y")).await;
        let at = controller.iax2_at.expect("a port");
        let caller = IaxCaller::start(&world, "c", at).await;
        caller.open(&name(1), 2_000, 0, "x");
        // A caller that sends one NEW and nothing more.
        let dead = Raw::start(at).await;
        dead.send(0, 0, 0, Kind::Iax(Iax::New), new_elements(&name(2))).await;
        world.wait_for("the call is established", is(&name(2), EventKind::Answered("y".into()))).await;
        world.wait_for("the call of the dead caller is ended", is(&name(2), EventKind::Bye(16))).await;
        server.silent.set(true);
        let silent = Instant::now();
        let release = world.wait_for("the release", is(&name(1), EventKind::Close(41, None))).await;
        assert!(release.at - silent < Duration::from_secs(8), "{:?}", release.at - silent);
    });
}

// ---- Hand-made frames ------------------------------------------------------------------------------------

/// A socket that sends hand-made frames.
struct Raw(UdpSocket);

fn new_elements(sid: &str) -> Elements {
    Elements::default()
        .with(ie::CALLED_NUMBER, b"7f3a")
        .with_variable("callid", sid)
        .with_variable("left", "9000")
}

impl Raw {
    async fn start(to: SocketAddr) -> Raw {
        let socket = UdpSocket::bind("127.0.0.1:0").await.expect("a port");
        socket.connect(to).await.expect("connected");
        Raw(socket)
    }
    async fn send(&self, dest: u16, oseq: u8, iseq: u8, kind: Kind, elements: Elements) {
        let timestamp = u32::from(oseq) * 10 + 3;
        let data = Vec::new();
        let frame =
            Frame { source: 77, dest, retransmitted: false, timestamp, oseq, iseq, kind, elements, data };
        self.0.send(&frame.bytes()).await.expect("sent");
    }
    /// The next frame of this kind; others are skipped.
    async fn receive(&self, kind: Kind) -> Frame {
        let mut bytes = vec![0; 20_000];
        let wait = async {
            loop {
                let n = self.0.recv(&mut bytes).await.expect("a datagram");
                match parse(&bytes[..n]) {
                    Ok(Datagram::Full(frame)) if frame.kind == kind => return frame,
                    _ => {}
                }
            }
        };
        tokio::time::timeout(Duration::from_secs(20), wait).await.unwrap_or_else(|_| panic!("no {kind:?}"))
    }
}

#[test]
fn duplicate_out_of_sequence_and_unknown_frames_are_answered_as_the_rfc_requires() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _server, _) = with_server(&world, answers("y")).await;
        let raw = Raw::start(controller.iax2_at.expect("a port")).await;
        let none = Elements::default;
        // A duplicate NEW opens no second call, and is acknowledged like the first.
        let mut acks = Vec::new();
        for _ in 0..3 {
            raw.send(0, 0, 0, Kind::Iax(Iax::New), new_elements(&name(1))).await;
            acks.push(raw.receive(Kind::Iax(Iax::Ack)).await);
        }
        assert!(acks.iter().all(|ack| ack.timestamp == 3 && ack.iseq == 1 && ack.dest == 77));
        let no = acks[0].source;
        let accept = raw.receive(Kind::Iax(Iax::Accept)).await;
        let answer = raw.receive(Kind::Control(Control::Answer)).await;
        assert_eq!((accept.oseq, answer.oseq, accept.iseq), (0, 1, 1));
        // VNAK: both frames are retransmitted, with the R bit. As they stay unacknowledged, timers retransmit them as
        // well.
        raw.send(no, 1, 0, Kind::Iax(Iax::Vnak), none()).await;
        let again = raw.receive(Kind::Iax(Iax::Accept)).await;
        assert!(again.retransmitted && again.oseq == 0 && again.timestamp == accept.timestamp);
        assert!(raw.receive(Kind::Iax(Iax::Accept)).await.retransmitted);
        // PING and LAGRQ are answered with their timestamp; a frame ahead of its sequence is not acted on.
        raw.send(no, 1, 2, Kind::Iax(Iax::Ping), none()).await;
        assert_eq!(raw.receive(Kind::Iax(Iax::Pong)).await.timestamp, 13);
        raw.send(no, 2, 3, Kind::Iax(Iax::LagRq), none()).await;
        assert_eq!(raw.receive(Kind::Iax(Iax::LagRp)).await.timestamp, 23);
        raw.send(no, 9, 4, Kind::Iax(Iax::Hangup), none()).await;
        assert_eq!(raw.receive(Kind::Iax(Iax::Vnak)).await.iseq, 3);
        assert_eq!(controller.instance.counters().standing, 1);
        raw.send(no, 3, 4, Kind::Iax(Iax::Other(0x50)), none()).await;
        assert_eq!(raw.receive(Kind::Iax(Iax::Unsupport)).await.elements.get(0x17), Some(&[0x50][..]));
        // A frame of an unknown call, and a POKE outside any call.
        raw.send(no + 1, 4, 0, Kind::Iax(Iax::LagRq), none()).await;
        assert_eq!(raw.receive(Kind::Iax(Iax::Inval)).await.source, no + 1);
        raw.send(0, 0, 0, Kind::Iax(Iax::Poke), none()).await;
        raw.receive(Kind::Iax(Iax::Pong)).await;
        raw.0.send(&[0x80, 1, 0]).await.expect("sent");
        raw.send(no, 4, 5, Kind::Iax(Iax::Hangup), none()).await;
        world.wait_for("the call server gets the end", is(&name(1), EventKind::Bye(16))).await;
        let counters = controller.instance.counters();
        assert_eq!((counters.iax2_calls_in, counters.taken, counters.iax2_malformed), (1, 1, 1));
        // A NEW without a called number is rejected.
        let raw = Raw::start(controller.iax2_at.expect("a port")).await;
        raw.send(0, 0, 0, Kind::Iax(Iax::New), none().with(ie::VERSION, &[0, 2])).await;
        let reject = raw.receive(Kind::Iax(Iax::Reject)).await;
        assert_eq!(reject.elements.number(ie::CAUSE_CODE), Some(28));
    });
}

#[test]
fn the_number_of_an_ended_call_is_not_reused_for_a_while_and_a_late_new_opens_no_call() {
    let at = |ms: u64| Time(1_000_000 + ms * 1000);
    let peer = SocketAddr::from(([127, 0, 0, 1], 9));
    let new = |timestamp| Frame {
        source: 5,
        dest: 0,
        retransmitted: false,
        timestamp,
        oseq: 0,
        iseq: 0,
        kind: Kind::Iax(Iax::New),
        elements: Elements::default(),
        data: Vec::new(),
    };
    let (mut legs, mut out) = (Legs::<u8>::default(), Vec::new());
    assert!(matches!(legs.receive(peer, &new(3), at(0), &mut out), Some(LegEvent::New(_))));
    let no = legs.open_incoming(peer, &new(3), 1, at(0), &mut out).expect("a number");
    legs.end(no, at(10));
    // A late copy of the same NEW is only acknowledged. Another NEW is a new call, with another number.
    assert_eq!(legs.receive(peer, &new(3), at(20), &mut out), None);
    assert!(matches!(legs.receive(peer, &new(900), at(900), &mut out), Some(LegEvent::New(_))));
    let next = legs.open_incoming(peer, &new(900), 2, at(900), &mut out).expect("a number");
    assert_ne!(no, next);
    let called = legs.open_outgoing(peer, 3, at(900)).expect("a number");
    legs.end(called, at(1_000));
    legs.run_timers(called, at(10_999), &mut out);
    assert!(legs.next_deadline(called).is_some(), "its number is not reusable yet");
    legs.run_timers(called, at(11_000), &mut out);
    assert_eq!(legs.next_deadline(called), None);
}

#[test]
fn dns_records_make_the_list_their_ttl_is_kept_and_a_server_without_records_is_gone() {
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, server, resolver) = with_server(&world, answers("y")).await;
        let state = |i: &lockpoint::instance::Instance| {
            i.servers().iter().map(|line| format!("{:?}", line.state)).collect::<Vec<_>>().join(" ")
        };
        let asked = resolver.queries.get();
        resolver.remove_server("i0");
        resolver.add_server("i0", server.at, 30, &["cell=0".into(), "state=draining".into()]);
        controller.wait_for("the call server drains", |i| state(i) == "Draining").await;
        assert!(resolver.queries.get() > asked);
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert!(matches!(world.final_answer(&name(1)).await.kind, EventKind::Close(42, _)));
        // Records with a TTL of 30 s are not queried again within most of it.
        let asked = resolver.queries.get();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(resolver.queries.get(), asked);
    });
    on_one_thread(async {
        let world = EventLog::default();
        let (controller, _server, resolver) = with_server(&world, answers("y")).await;
        resolver.remove_server("i0");
        controller
            .wait_for("the call server is gone", |i| format!("{:?}", i.servers()[0].state) == "Gone")
            .await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert!(matches!(world.final_answer(&name(1)).await.kind, EventKind::Close(42, _)));
        assert_eq!(world.count(|s| s.source == "i0"), 0);
    });
}

// ---- Both protocols at 120% of the planned load ----------------------------------------------------------

/// Set-ups per second that each simulated call server is planned for.
const PLANNED: usize = 20;
/// How long the callers keep sending.
const SECONDS: usize = 4;
const LEFT: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_millis(250);
const RELEASE: Duration = Duration::from_millis(500);

/// The capacity of the cold call server at an age, in set-ups per second: the least that the settings allow.
fn cold_capacity(age: Duration) -> f64 {
    PLANNED as f64 * (0.36 + 0.64 * (age.as_secs_f64() / 14.0).min(1.0))
}

#[test]
fn both_protocols_keep_every_rule_at_120_percent_while_one_server_falls_silent_and_one_drains() {
    on_one_thread(async {
        let world = EventLog::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let s0 = SipServer::start(&world, "s0", answers("from s0")).await;
        let s1 = SipServer::start(&world, "s1", answers("from s1")).await;
        let i0 = IaxServer::start(&world, "i0", answers("from i0")).await;
        let i1 = IaxServer::start(&world, "i1", answers("from i1")).await;
        let born = Instant::now();
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
        bulletin
            .publish(true, vec![list_entry("s0", s0.at, 0, "ready"), list_entry("s1", s1.at, 1, "ready")]);
        resolver.add_server("i0", i0.at, 1, &["cell=2".into()]);
        resolver.add_server("i1", i1.at, 1, &["cell=3".into(), format!("born_ms={born_ms}")]);
        let controller = controller(&bulletin, &resolver).await;
        controller.wait_for("all four are known", |i| i.servers().len() == 4).await;
        let json_callers = [
            Caller::connect(&world, "j0", controller.at).await,
            Caller::connect(&world, "j1", controller.at).await,
        ];
        let iax2_callers = [
            IaxCaller::start(&world, "d0", controller.iax2_at.expect("a port")).await,
            IaxCaller::start(&world, "d1", controller.iax2_at.expect("a port")).await,
        ];

        // 4 servers of 20 set-ups per second are planned for 80; 96 are sent. One call in eight is released as soon
        // as it is established.
        let calls = 4 * PLANNED * SECONDS * 12 / 10;
        let gap = Duration::from_secs(SECONDS as u64) / calls as u32;
        let start = tokio::time::Instant::now();
        for n in 0..calls {
            // The server that falls silent gets the least, so that no refusal turns calls away from it before.
            let dest = if n % 7 == 6 { 2 } else { [0, 1, 3][n % 7 % 3] };
            let (sid, left) = (name(n as u64), LEFT.as_millis() as u64);
            let text = format!("offer of {sid}");
            match n % 4 {
                0 | 2 => json_callers[n / 2 % 2].open(&sid, left, dest, &text).await,
                _ => iax2_callers[n / 2 % 2].open(&sid, left, dest, &text),
            }
            if n == calls / 8 {
                // From now on i0 sends nothing, although it has acknowledged calls that it has not answered.
                i0.silent.set(true);
                bulletin.publish(false, vec![list_entry("s0", s0.at, 0, "draining")]);
            }
            // Each server refuses set-ups beyond its planned rate over the last second.
            let busy = |who: &str| {
                let lately = Instant::now() - Duration::from_secs(1);
                world.count(|s| s.source == who && s.at > lately && matches!(s.kind, EventKind::SetUp(..)))
                    >= PLANNED
            };
            for s in [&s0, &s1] {
                let text = "P-Reason: queue_long\r\nP-Line-Ms: 900\r\n".to_owned();
                *s.behaviour.borrow_mut() = if busy(&s.name) {
                    ServerBehaviour::Refuse(503, text)
                } else {
                    answers(&format!("from {}", s.name))
                };
            }
            for i in [&i0, &i1] {
                let stalls = i.name == "i0" && n + 8 >= calls / 8;
                *i.behaviour.borrow_mut() = if stalls {
                    ServerBehaviour::Silent
                } else if busy(&i.name) {
                    ServerBehaviour::Refuse(42, String::new())
                } else {
                    answers(&format!("from {}", i.name))
                };
            }
            if n % 8 == 7 {
                let standing =
                    world.events().into_iter().rev().find(|s| matches!(s.kind, EventKind::Answered(_)));
                match standing {
                    Some(s) if s.source == "s1" => s1.release(&s.sid, 16),
                    Some(s) if s.source == "i1" => i1.release(&s.sid, 16),
                    _ => {}
                }
            }
            tokio::time::sleep_until(start + gap * (n as u32 + 1)).await;
        }
        for n in 0..calls {
            world.final_answer(&name(n as u64)).await;
        }
        let released = world.count(|s| s.kind == EventKind::Released);
        let ended: Vec<String> =
            world.events().iter().filter(|s| s.kind == EventKind::Released).map(|s| s.sid.clone()).collect();
        for sid in &ended {
            world.wait_for("the release", is(sid, EventKind::Close(16, None))).await;
        }
        assert!(released > 5, "only {released} releases");
        check(&world.events(), calls, born);
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.held_back), (0, 0));
    });
}

/// Checks every rule against the events that the simulated callers and servers recorded.
fn check(seen: &[RecordedEvent], calls: usize, born: Instant) {
    let drained = seen.iter().filter(|s| matches!(s.kind, EventKind::Told(_))).nth(1).expect("the drain").at;
    let mut by_sid: BTreeMap<&str, Vec<&RecordedEvent>> = BTreeMap::new();
    seen.iter().filter(|s| !s.sid.is_empty()).for_each(|s| by_sid.entry(&s.sid).or_default().push(s));
    assert_eq!(by_sid.len(), calls);
    let (mut established, mut lost_to_silence) = (BTreeMap::<String, usize>::new(), 0);
    for (sid, seen) in &by_sid {
        let asked = seen.iter().find(|s| matches!(s.kind, EventKind::Asked(_))).expect("asked").at;
        // One final answer, in time. A release may follow an answer that establishes the call; nothing follows a
        // refusal.
        let answers: Vec<_> =
            seen.iter().filter(|s| matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..))).collect();
        assert!(answers[0].at <= asked + LEFT, "{sid} answered after {:?}", answers[0].at - asked);
        match &answers[0].kind {
            EventKind::Ready(text) => {
                let by = seen
                    .iter()
                    .find(|s| s.kind == EventKind::Answered(text.clone()))
                    .expect("the answer of a call server");
                *established.entry(by.source.clone()).or_default() += 1;
                assert!(
                    answers.len() <= 2 && answers[1..].iter().all(|s| matches!(s.kind, EventKind::Close(..))),
                    "{answers:?}"
                );
            }
            EventKind::Close(cause, wait) => {
                assert!(answers.len() == 1 && (*cause != 42 || wait.is_some()), "{answers:?}");
            }
            _ => unreachable!("filtered"),
        }
        // A release is forwarded within 1 s.
        if let Some(released) = seen.iter().find(|s| s.kind == EventKind::Released) {
            let forwarded = answers.get(1).expect("forwarded").at;
            assert!(forwarded < released.at + Duration::from_secs(1));
        }
        // One outstanding attempt at a time, at most five in all, none within 500 ms after a cancel, all unchanged.
        let mut outstanding: Option<&str> = None;
        let (mut attempts, mut cancelled) = (0, None::<Instant>);
        for s in seen {
            match &s.kind {
                EventKind::SetUp(class, number, text) => {
                    assert_eq!(outstanding, None, "{sid} has two outstanding attempts");
                    assert!(
                        cancelled.is_none_or(|at| s.at >= at + RELEASE),
                        "{sid} was attempted too soon after a cancel"
                    );
                    assert!(s.source != "s0" || s.at <= drained + GRACE, "{sid} to a draining server");
                    let set_up = (class.as_str(), number.as_str(), text.as_str());
                    assert_eq!(
                        set_up,
                        ("judge-call", "7f3a9c21e0b4d655", format!("offer of {sid}").as_str())
                    );
                    (attempts, outstanding) = (attempts + 1, Some(s.source.as_str()));
                }
                EventKind::Cancel => {
                    (outstanding, cancelled) = (None, Some(s.at));
                    lost_to_silence += usize::from(s.source == "i0");
                }
                EventKind::Refused | EventKind::Answered(_) => outstanding = None,
                _ => {}
            }
        }
        assert!(attempts <= 5, "{sid} had {attempts} attempts");
    }
    // In no second does the cold server get more than 2.5 times its capacity.
    let cold: Vec<Instant> = seen
        .iter()
        .filter(|s| s.source == "i1" && matches!(s.kind, EventKind::SetUp(..)))
        .map(|s| s.at)
        .collect();
    for (n, from) in cold.iter().enumerate() {
        let sent = cold[n..].iter().take_while(|at| **at < *from + Duration::from_secs(1)).count();
        assert!(
            (sent as f64) <= 2.5 * cold_capacity(*from - born),
            "{sent} set-ups in a second to a cold server"
        );
    }
    // The run covers what it is meant to: all servers took calls, and the silence hit some of them.
    assert!(established.len() == 4 && lost_to_silence > 0, "{established:?} {lost_to_silence}");
}
