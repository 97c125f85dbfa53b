//! IAX2 from caller to call server, its directory, and both protocols together under overload.

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
use support::{host, name, on_one_thread, Bulletin, Caller, Controller, Does, Seen, SipServer, What, World};
use tokio::net::UdpSocket;

fn answers(text: &str) -> Does {
    Does::Answer(text.to_owned())
}

fn is(sid: &str, what: What) -> impl Fn(&Seen) -> bool + '_ {
    move |seen| seen.sid == sid && seen.what == what
}

/// A controller with both fronts, whose SIP call servers come by bulletin and IAX2 ones by DNS-SD.
async fn controller(bulletin: &Bulletin, resolver: &Resolver) -> Controller {
    let mut config = support::config(bulletin.at);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    config.iax2 = Some(Iax2Config::at(any, any));
    config.dns_sd = Some(DnsSdConfig { resolver: resolver.at, service: SERVICE.to_owned() });
    Controller::start(config).await
}

/// One with a single IAX2 call server of cell 0.
async fn with_server(world: &World, does: Does) -> (Controller, Rc<IaxServer>, Rc<Resolver>) {
    let (bulletin, resolver) = (Bulletin::start(world).await, Resolver::start().await);
    let server = IaxServer::start(world, "i0", does).await;
    resolver.name_server("i0", server.at, 1, &["cell=0".into(), "zone=east".into()]);
    let controller = controller(&bulletin, &resolver).await;
    controller.holds_list().await;
    (controller, server, resolver)
}

#[test]
fn a_call_goes_from_an_iax2_caller_to_an_iax2_server_and_ends_from_either_side() {
    on_one_thread(async {
        let world = World::default();
        let (controller, server, _) = with_server(&world, answers(&"answer \u{e9}".repeat(60))).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        let description = "offer ".repeat(100);
        for n in 1..=2 {
            caller.open(&name(n), 2_000, 0, &description);
            assert_eq!(world.answer(&name(n)).await.what, What::Ready("answer \u{e9}".repeat(60)));
            let whole = What::SetUp("judge-call".into(), "7f3a9c21e0b4d655".into(), description.clone());
            world.until("all passes unchanged", is(&name(n), whole)).await;
        }
        server.release(&name(1), 41);
        world.until("the release", is(&name(1), What::Close(41, None))).await;
        caller.hang_up(&name(2));
        world.until("ended there", is(&name(2), What::Bye(16))).await;
        let counters = controller.stop().await;
        assert_eq!((counters.iax2_calls_in, counters.iax2_calls_out, counters.standing), (2, 2, 0));
    });
}

/// Guards against figures and a drain that know of one front only.
#[test]
fn operators_see_and_empty_an_iax2_front_as_any_other() {
    on_one_thread(async {
        let world = World::default();
        let (controller, server, _) = with_server(&world, answers("y")).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert_eq!(world.answer(&name(1)).await.what, What::Ready("y".into()));
        let figures = controller.instance.metrics_text();
        for line in ["judge-call.completed:1|c", "upstream_requests:1|c", "pending:1|g", "members:1|g"] {
            assert!(figures.contains(line), "{line} in {figures}");
        }
        controller.instance.lameduck();
        // Calls are taken for a while yet, then refused at once; the one that stands goes on.
        let mut n = 1;
        let refused = loop {
            n += 1;
            caller.open(&name(n), 2_000, 0, "x");
            match world.answer(&name(n)).await.what {
                What::Ready(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                other => break other,
            }
        };
        assert!(matches!(refused, What::Close(42, Some(_))) && n > 2, "{refused:?} for call {n}");
        server.release(&name(1), 16);
        world.until("the release", is(&name(1), What::Close(16, None))).await;
        assert_eq!(controller.instance.rejoin(), Ok(()));
        caller.open(&name(999), 2_000, 0, "x");
        assert_eq!(world.answer(&name(999)).await.what, What::Ready("y".into()));
    });
}

#[test]
fn a_refusal_and_an_error_each_reach_an_iax2_caller_as_one_reject() {
    on_one_thread(async {
        let world = World::default();
        let (controller, server, _) = with_server(&world, Does::Refuse(42, String::new())).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 9_000, 0, "x");
        assert!(matches!(world.answer(&name(1)).await.what, What::Close(42, Some(wait)) if wait > 0));
        // A class that nobody knows, and a caller who gives up while the server says nothing.
        *server.does.borrow_mut() = Does::Silent;
        caller.open(&name(2), 9_000, 0, "x");
        let other = world.until("one of the two", |s| {
            s.sid == name(2) && matches!(s.what, What::SetUp(..) | What::Close(..))
        });
        if matches!(other.await.what, What::SetUp(..)) {
            caller.hang_up(&name(2));
            world.until("given up there", is(&name(2), What::Cancel)).await;
        }
        assert_eq!(controller.stop().await.open, 0);
        assert!(world.count(|s| s.sid == name(1) && matches!(s.what, What::Close(..))) == 1);
    });
}

/// Guards against a leg left waiting for an answer that its namesake gets.
#[test]
fn a_second_leg_with_the_name_of_a_call_that_is_known_is_rejected_and_the_first_keeps_its_answer() {
    on_one_thread(async {
        let world = World::default();
        let (controller, _server, _) = with_server(&world, answers("y")).await;
        let at = controller.iax2_at.expect("a port");
        let (first, second) =
            (IaxCaller::start(&world, "c", at).await, IaxCaller::start(&world, "d", at).await);
        first.open(&name(1), 2_000, 0, "x");
        world.until("the answer", is(&name(1), What::Ready("y".into()))).await;
        second.open(&name(1), 2_000, 0, "x");
        let rejected = world.until("the second's", |s| s.who == "d" && s.what == What::Close(31, None));
        rejected.await;
        first.hang_up(&name(1));
        world.until("ended there", is(&name(1), What::Bye(16))).await;
        assert_eq!(controller.instance.counters().iax2_calls_out, 1);
    });
}

#[test]
fn a_server_silent_mid_set_up_costs_one_attempt_and_the_next_waits_for_the_release() {
    on_one_thread(async {
        let world = World::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let (sip, iax) = (
            SipServer::start(&world, "s1", answers("y")).await,
            IaxServer::start(&world, "i0", Does::Silent).await,
        );
        iax.silent.set(true);
        bulletin.tell(true, vec![host("s1", sip.at, 1, "ready")]);
        resolver.name_server("i0", iax.at, 1, &["cell=0".into()]);
        let controller = controller(&bulletin, &resolver).await;
        controller.turns("both lists are held", |i| i.servers().len() == 2).await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 9_000, 0, "x");
        assert_eq!(world.answer(&name(1)).await.what, What::Ready("y".into()));
        let gave_up = world.until("given up", is(&name(1), What::Cancel)).await.at;
        let at = |who: &'static str| move |s: &Seen| s.who == who && matches!(s.what, What::SetUp(..));
        assert!(world.until("second", at("s1")).await.at >= gave_up + Duration::from_millis(500));
        // Its NEW was sent again meanwhile: no new attempt.
        assert_eq!((world.count(at("i0")), controller.instance.counters().iax2_calls_out), (1, 1));
    });
}

#[test]
fn calls_of_an_iax2_server_that_falls_silent_are_released_and_a_dead_caller_s_call_is_ended() {
    on_one_thread(async {
        let world = World::default();
        let (controller, server, _) = with_server(&world, answers("y")).await;
        let at = controller.iax2_at.expect("a port");
        let caller = IaxCaller::start(&world, "c", at).await;
        caller.open(&name(1), 2_000, 0, "x");
        // A caller that sets a call up by hand and never says anything again.
        let dead = Raw::start(at).await;
        dead.say(0, 0, 0, Kind::Iax(Iax::New), new_elements(&name(2))).await;
        world.until("it stands", is(&name(2), What::Answered("y".into()))).await;
        world.until("the other's is ended", is(&name(2), What::Bye(16))).await;
        server.silent.set(true);
        let silent = Instant::now();
        let heard = world.until("the release", is(&name(1), What::Close(41, None))).await;
        assert!(heard.at - silent < Duration::from_secs(8), "{:?}", heard.at - silent);
    });
}

// ---- Frames by hand --------------------------------------------------------------------------------------

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
        socket.connect(to).await.expect("a way");
        Raw(socket)
    }
    async fn say(&self, dest: u16, oseq: u8, iseq: u8, kind: Kind, elements: Elements) {
        let timestamp = u32::from(oseq) * 10 + 3;
        let data = Vec::new();
        let frame =
            Frame { source: 77, dest, retransmitted: false, timestamp, oseq, iseq, kind, elements, data };
        self.0.send(&frame.bytes()).await.expect("sent");
    }
    /// The next frame of this kind; others are passed over.
    async fn hears(&self, kind: Kind) -> Frame {
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
fn frames_repeated_out_of_turn_or_unknown_are_answered_by_the_book() {
    on_one_thread(async {
        let world = World::default();
        let (controller, _server, _) = with_server(&world, answers("y")).await;
        let raw = Raw::start(controller.iax2_at.expect("a port")).await;
        let none = Elements::default;
        // A duplicate NEW is no new call, and is acknowledged like the first.
        let mut acks = Vec::new();
        for _ in 0..3 {
            raw.say(0, 0, 0, Kind::Iax(Iax::New), new_elements(&name(1))).await;
            acks.push(raw.hears(Kind::Iax(Iax::Ack)).await);
        }
        assert!(acks.iter().all(|ack| ack.timestamp == 3 && ack.iseq == 1 && ack.dest == 77));
        let me = acks[0].source;
        let accept = raw.hears(Kind::Iax(Iax::Accept)).await;
        let answer = raw.hears(Kind::Control(Control::Answer)).await;
        assert_eq!((accept.oseq, answer.oseq, accept.iseq), (0, 1, 1));
        // VNAK: both are sent retransmitted, marked so. They are not acknowledged, so they come again by themselves too.
        raw.say(me, 1, 0, Kind::Iax(Iax::Vnak), none()).await;
        let again = raw.hears(Kind::Iax(Iax::Accept)).await;
        assert!(again.retransmitted && again.oseq == 0 && again.timestamp == accept.timestamp);
        assert!(raw.hears(Kind::Iax(Iax::Accept)).await.retransmitted);
        // PING and LAGRQ are echoed with their time; a frame ahead of its turn is not acted on.
        raw.say(me, 1, 2, Kind::Iax(Iax::Ping), none()).await;
        assert_eq!(raw.hears(Kind::Iax(Iax::Pong)).await.timestamp, 13);
        raw.say(me, 2, 3, Kind::Iax(Iax::LagRq), none()).await;
        assert_eq!(raw.hears(Kind::Iax(Iax::LagRp)).await.timestamp, 23);
        raw.say(me, 9, 4, Kind::Iax(Iax::Hangup), none()).await;
        assert_eq!(raw.hears(Kind::Iax(Iax::Vnak)).await.iseq, 3);
        assert_eq!(controller.instance.counters().standing, 1);
        raw.say(me, 3, 4, Kind::Iax(Iax::Other(0x50)), none()).await;
        assert_eq!(raw.hears(Kind::Iax(Iax::Unsupport)).await.elements.get(0x17), Some(&[0x50][..]));
        // A frame of no call, and a look from outside a call.
        raw.say(me + 1, 4, 0, Kind::Iax(Iax::LagRq), none()).await;
        assert_eq!(raw.hears(Kind::Iax(Iax::Inval)).await.source, me + 1);
        raw.say(0, 0, 0, Kind::Iax(Iax::Poke), none()).await;
        raw.hears(Kind::Iax(Iax::Pong)).await;
        raw.0.send(&[0x80, 1, 0]).await.expect("sent");
        raw.say(me, 4, 5, Kind::Iax(Iax::Hangup), none()).await;
        world.until("ended there", is(&name(1), What::Bye(16))).await;
        let counters = controller.instance.counters();
        assert_eq!((counters.iax2_calls_in, counters.taken, counters.iax2_malformed), (1, 1, 1));
        // A NEW without a number is rejected.
        let raw = Raw::start(controller.iax2_at.expect("a port")).await;
        raw.say(0, 0, 0, Kind::Iax(Iax::New), none().with(ie::VERSION, &[0, 2])).await;
        let reject = raw.hears(Kind::Iax(Iax::Reject)).await;
        assert_eq!(reject.elements.number(ie::CAUSE_CODE), Some(28));
    });
}

#[test]
fn an_ended_call_s_number_rests_before_it_is_used_again_and_an_old_new_starts_nothing() {
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
    // The same NEW, late: acknowledged, nothing more. Another one is a call of its own, on another number.
    assert_eq!(legs.receive(peer, &new(3), at(20), &mut out), None);
    assert!(matches!(legs.receive(peer, &new(900), at(900), &mut out), Some(LegEvent::New(_))));
    let next = legs.open_incoming(peer, &new(900), 2, at(900), &mut out).expect("a number");
    assert_ne!(no, next);
    let called = legs.open_outgoing(peer, 3, at(900)).expect("a number");
    legs.end(called, at(1_000));
    legs.run_timers(called, at(10_999), &mut out);
    assert!(legs.next_deadline(called).is_some(), "it still rests");
    legs.run_timers(called, at(11_000), &mut out);
    assert_eq!(legs.next_deadline(called), None);
}

#[test]
fn records_make_the_list_their_life_is_honoured_and_a_vanished_one_is_gone() {
    on_one_thread(async {
        let world = World::default();
        let (controller, server, resolver) = with_server(&world, answers("y")).await;
        let state = |i: &lockpoint::instance::Instance| {
            i.servers().iter().map(|line| format!("{:?}", line.state)).collect::<Vec<_>>().join(" ")
        };
        let asked = resolver.asked.get();
        resolver.forget_server("i0");
        resolver.name_server("i0", server.at, 30, &["cell=0".into(), "state=draining".into()]);
        controller.turns("it drains", |i| state(i) == "Draining").await;
        assert!(resolver.asked.get() > asked);
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert!(matches!(world.answer(&name(1)).await.what, What::Close(42, _)));
        // Records that live for 30 s are not asked for again for most of them.
        let asked = resolver.asked.get();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        assert_eq!(resolver.asked.get(), asked);
    });
    on_one_thread(async {
        let world = World::default();
        let (controller, _server, resolver) = with_server(&world, answers("y")).await;
        resolver.forget_server("i0");
        controller.turns("it is gone", |i| format!("{:?}", i.servers()[0].state) == "Gone").await;
        let caller = IaxCaller::start(&world, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert!(matches!(world.answer(&name(1)).await.what, What::Close(42, _)));
        assert_eq!(world.count(|s| s.who == "i0"), 0);
    });
}

// ---- Both protocols at 120% of the planned load ----------------------------------------------------------

/// Set-ups a second that each stand-in was planned for, and how long the callers keep on.
const PLANNED: usize = 20;
const SECONDS: usize = 4;
const LEFT: Duration = Duration::from_millis(3_000);
const GRACE: Duration = Duration::from_millis(250);
const RELEASE: Duration = Duration::from_millis(500);

/// What the cold server can do at an age, a second: the least that the settings allow it to be.
fn cold_capacity(age: Duration) -> f64 {
    PLANNED as f64 * (0.36 + 0.64 * (age.as_secs_f64() / 14.0).min(1.0))
}

#[test]
fn both_protocols_at_120_percent_keep_every_rule_while_one_server_falls_silent_and_one_drains() {
    on_one_thread(async {
        let world = World::default();
        let (bulletin, resolver) = (Bulletin::start(&world).await, Resolver::start().await);
        let s0 = SipServer::start(&world, "s0", answers("from s0")).await;
        let s1 = SipServer::start(&world, "s1", answers("from s1")).await;
        let i0 = IaxServer::start(&world, "i0", answers("from i0")).await;
        let i1 = IaxServer::start(&world, "i1", answers("from i1")).await;
        let born = Instant::now();
        let born_ms = SystemTime::now().duration_since(UNIX_EPOCH).expect("a clock").as_millis();
        bulletin.tell(true, vec![host("s0", s0.at, 0, "ready"), host("s1", s1.at, 1, "ready")]);
        resolver.name_server("i0", i0.at, 1, &["cell=2".into()]);
        resolver.name_server("i1", i1.at, 1, &["cell=3".into(), format!("born_ms={born_ms}")]);
        let controller = controller(&bulletin, &resolver).await;
        controller.turns("all four are known", |i| i.servers().len() == 4).await;
        let lines = [
            Caller::connect(&world, "j0", controller.at).await,
            Caller::connect(&world, "j1", controller.at).await,
        ];
        let desks = [
            IaxCaller::start(&world, "d0", controller.iax2_at.expect("a port")).await,
            IaxCaller::start(&world, "d1", controller.iax2_at.expect("a port")).await,
        ];

        // 4 servers of 20 a second were planned for 80; 96 come. One in eight is over as soon as it stands.
        let calls = 4 * PLANNED * SECONDS * 12 / 10;
        let gap = Duration::from_secs(SECONDS as u64) / calls as u32;
        let start = tokio::time::Instant::now();
        for n in 0..calls {
            // The server that falls silent gets the least: nothing may have turned calls away from it before.
            let dest = if n % 7 == 6 { 2 } else { [0, 1, 3][n % 7 % 3] };
            let (sid, left) = (name(n as u64), LEFT.as_millis() as u64);
            let text = format!("offer of {sid}");
            match n % 4 {
                0 | 2 => lines[n / 2 % 2].open(&sid, left, dest, &text).await,
                _ => desks[n / 2 % 2].open(&sid, left, dest, &text),
            }
            if n == calls / 8 {
                // Mid set-up: it has acknowledged calls that it has not answered, and from now on says nothing.
                i0.silent.set(true);
                bulletin.tell(false, vec![host("s0", s0.at, 0, "draining")]);
            }
            // Each stand-in turns away what is over its plan, by what it has seen of late.
            let busy = |who: &str| {
                let lately = Instant::now() - Duration::from_secs(1);
                world.count(|s| s.who == who && s.at > lately && matches!(s.what, What::SetUp(..))) >= PLANNED
            };
            for s in [&s0, &s1] {
                let text = "P-Reason: queue_long\r\nP-Line-Ms: 900\r\n".to_owned();
                *s.does.borrow_mut() = if busy(&s.name) {
                    Does::Refuse(503, text)
                } else {
                    answers(&format!("from {}", s.name))
                };
            }
            for i in [&i0, &i1] {
                let stalls = i.name == "i0" && n + 8 >= calls / 8;
                *i.does.borrow_mut() = if stalls {
                    Does::Silent
                } else if busy(&i.name) {
                    Does::Refuse(42, String::new())
                } else {
                    answers(&format!("from {}", i.name))
                };
            }
            if n % 8 == 7 {
                let standing = world.all().into_iter().rev().find(|s| matches!(s.what, What::Answered(_)));
                match standing {
                    Some(s) if s.who == "s1" => s1.release(&s.sid, 16),
                    Some(s) if s.who == "i1" => i1.release(&s.sid, 16),
                    _ => {}
                }
            }
            tokio::time::sleep_until(start + gap * (n as u32 + 1)).await;
        }
        for n in 0..calls {
            world.answer(&name(n as u64)).await;
        }
        let released = world.count(|s| s.what == What::Released);
        let ended: Vec<String> =
            world.all().iter().filter(|s| s.what == What::Released).map(|s| s.sid.clone()).collect();
        for sid in &ended {
            world.until("the release", is(sid, What::Close(16, None))).await;
        }
        assert!(released > 5, "only {released} releases");
        check(&world.all(), calls, born);
        let counters = controller.stop().await;
        assert_eq!((counters.open, counters.held_back), (0, 0));
    });
}

/// Every rule, from what the stand-ins wrote down.
fn check(seen: &[Seen], calls: usize, born: Instant) {
    let drained = seen.iter().filter(|s| matches!(s.what, What::Told(_))).nth(1).expect("the drain").at;
    let mut of: BTreeMap<&str, Vec<&Seen>> = BTreeMap::new();
    seen.iter().filter(|s| !s.sid.is_empty()).for_each(|s| of.entry(&s.sid).or_default().push(s));
    assert_eq!(of.len(), calls);
    let (mut stood, mut lost_to_silence) = (BTreeMap::<String, usize>::new(), 0);
    for (sid, seen) in &of {
        let asked = seen.iter().find(|s| matches!(s.what, What::Asked(_))).expect("asked").at;
        // One final answer, in time; after one that it stands a release may follow, after a refusal nothing.
        let told: Vec<_> =
            seen.iter().filter(|s| matches!(s.what, What::Ready(_) | What::Close(..))).collect();
        assert!(told[0].at <= asked + LEFT, "{sid} answered after {:?}", told[0].at - asked);
        match &told[0].what {
            What::Ready(text) => {
                let by = seen
                    .iter()
                    .find(|s| s.what == What::Answered(text.clone()))
                    .expect("a server's own words");
                *stood.entry(by.who.clone()).or_default() += 1;
                assert!(
                    told.len() <= 2 && told[1..].iter().all(|s| matches!(s.what, What::Close(..))),
                    "{told:?}"
                );
            }
            What::Close(cause, wait) => {
                assert!(told.len() == 1 && (*cause != 42 || wait.is_some()), "{told:?}");
            }
            _ => unreachable!("filtered"),
        }
        // A release is passed on within 1 s.
        if let Some(released) = seen.iter().find(|s| s.what == What::Released) {
            let heard = told.get(1).expect("passed on").at;
            assert!(heard < released.at + Duration::from_secs(1));
        }
        // One attempt out at a time, at most five, none within 500 ms of one that was given up, all unchanged.
        let mut out: Option<&str> = None;
        let (mut attempts, mut given_up) = (0, None::<Instant>);
        for s in seen {
            match &s.what {
                What::SetUp(class, number, text) => {
                    assert_eq!(out, None, "{sid} has two attempts out");
                    assert!(given_up.is_none_or(|at| s.at >= at + RELEASE), "{sid} too soon");
                    assert!(s.who != "s0" || s.at <= drained + GRACE, "{sid} to a draining server");
                    let whole = (class.as_str(), number.as_str(), text.as_str());
                    assert_eq!(whole, ("judge-call", "7f3a9c21e0b4d655", format!("offer of {sid}").as_str()));
                    (attempts, out) = (attempts + 1, Some(s.who.as_str()));
                }
                What::Cancel => {
                    (out, given_up) = (None, Some(s.at));
                    lost_to_silence += usize::from(s.who == "i0");
                }
                What::Refused | What::Answered(_) => out = None,
                _ => {}
            }
        }
        assert!(attempts <= 5, "{sid} had {attempts} attempts");
    }
    // The cold server is never sent over 2.5 times what it can do, in any second.
    let cold: Vec<Instant> =
        seen.iter().filter(|s| s.who == "i1" && matches!(s.what, What::SetUp(..))).map(|s| s.at).collect();
    for (n, from) in cold.iter().enumerate() {
        let sent = cold[n..].iter().take_while(|at| **at < *from + Duration::from_secs(1)).count();
        assert!((sent as f64) <= 2.5 * cold_capacity(*from - born), "{sent} in a second to a cold server");
    }
    // The day was what it claims to be: all servers took calls, and the silence hit some of them.
    assert!(stood.len() == 4 && lost_to_silence > 0, "{stood:?} {lost_to_silence}");
}
