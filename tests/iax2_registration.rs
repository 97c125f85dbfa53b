//! IAX2 registration: call servers that become members, leave, return and disappear; in simulated time, and over
//! sockets.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use lockpoint::config::{Iax2Config, Iax2Secrets};
use lockpoint::core::{DeadlineOwner, DirectoryEntry, Input, Source};
use lockpoint::front::iax2::call_token_gate::CallTokenGate;
use lockpoint::front::iax2::registration::apparent;
use lockpoint::front::iax2::{Callers, Defaults};
use lockpoint::iax2::auth::{Account, Users};
use lockpoint::iax2::frame::{ie, parse, Datagram, Elements, Frame, Iax, Kind};
use lockpoint::iax2::legs::{LegEvent, Legs, Outgoing};
use lockpoint::iax2::tokens::TokenPolicy;
use lockpoint::interface::{Span, Time};
use lockpoint::upstream::AdapterOutput;
use support::iax2::{IaxCaller, IaxServer};
use support::{name, on_one_thread, Controller, EventKind, EventLog, ServerBehaviour};

const USERS: &str =
    "[user.s1]\nsecret = 'wort'\nserver = { cell = 2, zone = 'east' }\n[user.box]\nsecret = 'b'\n";

fn account(name: &str, secret: &str) -> Account {
    Account::parse(&format!("username = '{name}'\nsecret = '{secret}'")).expect("valid TOML")
}

/// A front and a peer that registers with it, without sockets.
struct Pair {
    front: Callers,
    peer: Legs<()>,
    at: SocketAddr,
    now: Time,
    /// The last list of call servers that the front reported.
    list: Option<Vec<DirectoryEntry>>,
    /// The deadline of the front for its registrations, and its key.
    due: Option<(Time, u64)>,
}

impl Pair {
    fn new() -> Pair {
        let defaults = Defaults {
            class: "c".into(),
            left: Span::from_millis(9_000),
            zones: vec!["east".into()],
            seed: 1,
        };
        let mut front = Callers::new(defaults, CallTokenGate::new(TokenPolicy::Required, [2; 32]));
        front.reconfigure(Span::from_millis(9_000), &[], TokenPolicy::Required, Default::default());
        front.set_users(Users::parse(USERS).ok().as_ref(), [3; 32]);
        let at = SocketAddr::from(([127, 0, 0, 1], 4_001));
        Pair { front, peer: Legs::default(), at, now: Time(1_700_000_000_000_000), list: None, due: None }
    }

    fn apply(&mut self, todo: AdapterOutput) -> Vec<Outgoing> {
        for input in todo.inputs {
            let Input::List { source, whole, hosts } = input else { panic!("{input:?}") };
            assert_eq!((source, whole), (Source::Registered, true));
            self.list = Some(hosts);
        }
        for (at, part, key) in todo.deadlines {
            assert_eq!(part, DeadlineOwner::Iax2Front);
            self.due = if key > 0xffff { Some((at, key)) } else { self.due };
        }
        todo.to_callers
    }

    /// Registers or unregisters, and returns the final frame of the front.
    fn register(&mut self, kind: Iax, me: &Account, secs: u16) -> Frame {
        let front_at = SocketAddr::from(([127, 0, 0, 1], 4_569));
        let mut out = Vec::new();
        let no = self.peer.open_outgoing(front_at, (), self.now).expect("a number");
        let with_refresh = |e: Elements| e.with(ie::REFRESH, &secs.to_be_bytes());
        let first = with_refresh(Elements::default())
            .with(ie::USERNAME, me.username.as_bytes())
            .with(ie::CALLTOKEN, &[]);
        self.peer.send(no, Kind::Iax(kind), first, self.now, &mut out);
        let mut last = None;
        while !out.is_empty() {
            let mut replies = Vec::new();
            for (_, bytes) in out.drain(..) {
                let mut todo = AdapterOutput::default();
                self.front.handle_datagram(self.at, &bytes, self.now, &mut todo);
                replies.extend(self.apply(todo));
            }
            for (_, bytes) in replies {
                let Ok(Datagram::Full(frame)) = parse(&bytes) else { panic!("a reply does not parse") };
                match self.peer.receive(front_at, &frame, self.now, &mut out) {
                    Some(LegEvent::Frame(no, asked)) if asked.kind == Kind::Iax(Iax::RegAuth) => {
                        let answer = with_refresh(me.respond(&asked.elements).expect("an answer"));
                        self.peer.send(no, Kind::Iax(kind), answer, self.now, &mut out);
                    }
                    Some(LegEvent::Frame(_, frame)) => last = Some(frame),
                    _ => {}
                }
            }
        }
        last.expect("a final frame")
    }

    /// Lets time pass, and runs the deadlines of the front.
    fn pass(&mut self, secs: u64) {
        let until = self.now.plus(Span::from_millis(secs * 1_000));
        while let Some((at, key)) = self.due.filter(|(at, _)| *at <= until) {
            (self.now, self.due) = (at, None);
            let mut todo = AdapterOutput::default();
            self.front.run_timer(key, at, &mut todo);
            self.apply(todo);
        }
        self.now = until;
    }

    /// Host, cell and start time of each listed call server.
    fn listed(&self) -> Vec<(String, u16, u64)> {
        let lines = self.list.iter().flatten();
        lines.map(|line| (line.host.clone(), line.cell.0, line.started_ms)).collect()
    }
}

#[test]
fn a_call_server_is_listed_until_its_registration_expires_or_is_released() {
    let mut pair = Pair::new();
    let me = account("s1", "wort");
    let began = pair.now.0 / 1_000;
    let ack = pair.register(Iax::RegReq, &me, 60);
    assert_eq!(ack.kind, Kind::Iax(Iax::RegAck));
    assert_eq!(ack.elements.get(ie::REFRESH), Some(&[0, 60][..]));
    assert_eq!(ack.elements.get(ie::APPARENT_ADDR), Some(&apparent(pair.at)[..]));
    assert_eq!(pair.listed(), [("s1".to_owned(), 2, began)]);
    // A renewal in time keeps the start time.
    pair.pass(50);
    pair.register(Iax::RegReq, &me, 60);
    assert_eq!(pair.listed(), [("s1".to_owned(), 2, began)]);
    // Without a renewal it is removed, but not before its registration expires.
    pair.pass(65);
    assert_eq!(pair.listed().len(), 1);
    pair.pass(2);
    assert_eq!(pair.listed(), []);
    // It returns as a call server that has just started.
    pair.pass(10);
    pair.register(Iax::RegReq, &me, 60);
    assert_eq!(pair.listed(), [("s1".to_owned(), 2, began + 127_000)]);
    assert_eq!(pair.register(Iax::RegRel, &me, 0).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(pair.listed(), []);
}

#[test]
fn a_wrong_secret_another_address_or_a_user_without_server_does_not_change_the_list() {
    let mut pair = Pair::new();
    assert_eq!(pair.register(Iax::RegReq, &account("s1", "wrong"), 60).kind, Kind::Iax(Iax::RegRej));
    assert_eq!(pair.list, None);
    assert_eq!(pair.register(Iax::RegReq, &account("box", "b"), 60).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(pair.listed(), []);
    let me = account("s1", "wort");
    assert_eq!(pair.register(Iax::RegReq, &me, 60).kind, Kind::Iax(Iax::RegAck));
    let dial = |pair: &Pair| pair.list.iter().flatten().map(|line| line.address.port()).collect::<Vec<_>>();
    // Two call servers with one secret: the second is rejected for ten seconds, then replaces the first.
    pair.at.set_port(4_002);
    assert_eq!(pair.register(Iax::RegReq, &me, 60).kind, Kind::Iax(Iax::RegRej));
    assert_eq!(dial(&pair), [4_001]);
    pair.pass(11);
    assert_eq!(pair.register(Iax::RegReq, &me, 60).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(dial(&pair), [4_002]);
    pair.at.set_port(4_001);
    assert_eq!(pair.register(Iax::RegRel, &me, 0).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(dial(&pair), [4_002], "a release from another address changes nothing");
    // A user that is removed from the file is removed from the list on reload.
    let remaining = Users::parse("[user.box]\nsecret = 'b'\n").expect("valid TOML");
    pair.front.set_users(Some(&remaining), [3; 32]);
    let (mut todo, now) = (AdapterOutput::default(), pair.now);
    pair.front.expire(now, &mut todo);
    pair.apply(todo);
    assert!(dial(&pair).is_empty());
}

#[test]
fn calls_are_sent_to_a_registered_call_server_and_none_after_its_release() {
    on_one_thread(async {
        let world = EventLog::default();
        let mut config = support::config("127.0.0.1:9".parse().expect("an address"));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        config.iax2 = Some(Iax2Config { tokens: TokenPolicy::Required, ..Iax2Config::new(any, any) });
        (config.bulletin, config.secrets) =
            (None, Iax2Secrets { users: Users::parse(USERS).ok(), account: None });
        let controller = Controller::start(config).await;
        let at = controller.iax2_at.expect("a port");
        let server = IaxServer::start(&world, "s1", ServerBehaviour::Answer("a".into())).await;
        let me = account("s1", "wort");
        let says = |what: &'static str| move |s: &support::RecordedEvent| matches!(&s.kind, EventKind::Other(said) if said.contains(what));
        server.register(at, &me, false);
        world.wait_for("the registration is acknowledged", says("RegAck")).await;
        controller.wait_for_list().await;
        let caller = IaxCaller::start(&world, "c", at).await;
        *caller.account.borrow_mut() = Some(account("box", "b"));
        // It has just started and is cold, so that the first callers may be asked to retry.
        let mut n = 0;
        let answer = loop {
            n += 1;
            caller.open(&name(n), 5_000, 2, "x");
            match world.final_answer(&name(n)).await.kind {
                EventKind::Ready(body) => break body,
                EventKind::Close(42, Some(wait)) => tokio::time::sleep(Duration::from_millis(wait)).await,
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(answer, "a");
        let (first, next) = (name(n), name(n + 1));
        server.register(at, &me, true);
        world.wait_for_count("the release is acknowledged", 2, says("RegAck")).await;
        caller.open(&next, 1_500, 2, "x");
        assert!(matches!(world.final_answer(&next).await.kind, EventKind::Close(..)));
        assert_eq!(world.count(|s| s.sid == next && matches!(s.kind, EventKind::SetUp(..))), 0);
        // The established call continues: a release stops new calls only.
        assert_eq!(world.count(|s| s.sid == first && matches!(s.kind, EventKind::Close(..))), 0);
        server.release(&first, 16);
        world
            .wait_for("the release of the call", |s| s.sid == first && s.kind == EventKind::Close(16, None))
            .await;
        controller.stop().await;
    });
}

#[test]
fn a_controller_registers_at_another_and_retries_after_a_refusal() {
    on_one_thread(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = |iax2, secrets| {
            let mut config = support::config("127.0.0.1:9".parse().expect("an address"));
            (config.bulletin, config.iax2, config.secrets) = (None, Some(iax2), secrets);
            config
        };
        let nobody = Users::parse("[user.other]\nsecret = 'x'\n").ok();
        let iax2 = || Iax2Config { tokens: TokenPolicy::Required, ..Iax2Config::new(any, any) };
        let registrar = Controller::start(config(iax2(), Iax2Secrets { users: nobody, account: None })).await;
        let at = registrar.iax2_at.expect("a port");
        let mine = Iax2Secrets { users: None, account: Some(account("s1", "wort")) };
        let mut upstream = config(Iax2Config { register: vec![at], ..iax2() }, mine);
        upstream.console = None;
        let controller = Controller::start(upstream).await;
        registrar
            .wait_for("the registration is refused", |instance| instance.counters().iax2_not_let_in > 0)
            .await;
        assert_eq!(controller.instance.counters().iax2_registered_at, 0);
        // A reload adds the user; the next attempt, at most a second later, is granted.
        let users = Users::parse(USERS).ok();
        registrar.instance.reload(config(iax2(), Iax2Secrets { users, account: None }));
        controller
            .wait_for("the controller is registered", |instance| instance.counters().iax2_registered_at == 1)
            .await;
        registrar
            .wait_for("the registration makes it a member", |instance| {
                instance.servers().iter().any(|s| s.host == "s1")
            })
            .await;
        let dial = registrar.instance.servers()[0].address;
        assert_eq!(
            Some(dial),
            controller.iax2_at,
            "the registered address is the one at which the controller takes calls"
        );
        controller.stop().await;
        registrar.stop().await;
    });
}
