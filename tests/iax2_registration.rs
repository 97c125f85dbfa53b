//! Registration: call servers that become members, leave, come back and vanish; in driven time, and on sockets.

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
use support::{name, on_one_thread, Controller, Does, What, World};

const USERS: &str =
    "[user.s1]\nsecret = 'wort'\nserver = { cell = 2, zone = 'east' }\n[user.box]\nsecret = 'b'\n";

fn account(name: &str, secret: &str) -> Account {
    Account::parse(&format!("username = '{name}'\nsecret = '{secret}'")).expect("good")
}

/// A front and a peer that registers, without a socket between them.
struct Pair {
    front: Callers,
    peer: Legs<()>,
    at: SocketAddr,
    now: Time,
    /// The last list that the front told.
    list: Option<Vec<DirectoryEntry>>,
    /// When the front wants to be looked at for its registrations.
    due: Option<(Time, u64)>,
}

impl Pair {
    fn new() -> Pair {
        let usual = Defaults {
            class: "c".into(),
            left: Span::from_millis(9_000),
            zones: vec!["east".into()],
            seed: 1,
        };
        let mut front = Callers::new(usual, CallTokenGate::new(TokenPolicy::Required, [2; 32]));
        front.reconfigure(Span::from_millis(9_000), &[], TokenPolicy::Required, Default::default());
        front.set_users(Users::parse(USERS).ok().as_ref(), [3; 32]);
        let at = SocketAddr::from(([127, 0, 0, 1], 4_001));
        Pair { front, peer: Legs::default(), at, now: Time(1_700_000_000_000_000), list: None, due: None }
    }

    fn took(&mut self, todo: AdapterOutput) -> Vec<Outgoing> {
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

    /// Registers or leaves; what the front says in the end.
    fn registers(&mut self, kind: Iax, me: &Account, secs: u16) -> Frame {
        let front_at = SocketAddr::from(([127, 0, 0, 1], 4_569));
        let mut out = Vec::new();
        let no = self.peer.open_outgoing(front_at, (), self.now).expect("a number");
        let refresh = |e: Elements| e.with(ie::REFRESH, &secs.to_be_bytes());
        let first =
            refresh(Elements::default()).with(ie::USERNAME, me.username.as_bytes()).with(ie::CALLTOKEN, &[]);
        self.peer.send(no, Kind::Iax(kind), first, self.now, &mut out);
        let mut ends = None;
        while !out.is_empty() {
            let mut back = Vec::new();
            for (_, bytes) in out.drain(..) {
                let mut todo = AdapterOutput::default();
                self.front.handle_datagram(self.at, &bytes, self.now, &mut todo);
                back.extend(self.took(todo));
            }
            for (_, bytes) in back {
                let Ok(Datagram::Full(frame)) = parse(&bytes) else { panic!("not read") };
                match self.peer.receive(front_at, &frame, self.now, &mut out) {
                    Some(LegEvent::Frame(no, asked)) if asked.kind == Kind::Iax(Iax::RegAuth) => {
                        let answer = refresh(me.respond(&asked.elements).expect("an answer"));
                        self.peer.send(no, Kind::Iax(kind), answer, self.now, &mut out);
                    }
                    Some(LegEvent::Frame(_, frame)) => ends = Some(frame),
                    _ => {}
                }
            }
        }
        ends.expect("an end")
    }

    fn pass(&mut self, secs: u64) {
        let until = self.now.plus(Span::from_millis(secs * 1_000));
        while let Some((at, key)) = self.due.filter(|(at, _)| *at <= until) {
            (self.now, self.due) = (at, None);
            let mut todo = AdapterOutput::default();
            self.front.run_timer(key, at, &mut todo);
            self.took(todo);
        }
        self.now = until;
    }

    fn told(&self) -> Vec<(String, u16, u64)> {
        let lines = self.list.iter().flatten();
        lines.map(|line| (line.host.clone(), line.cell.0, line.started_ms)).collect()
    }
}

#[test]
fn a_call_server_is_listed_from_its_registration_to_its_end() {
    let mut pair = Pair::new();
    let me = account("s1", "wort");
    let began = pair.now.0 / 1_000;
    let ack = pair.registers(Iax::RegReq, &me, 60);
    assert_eq!(ack.kind, Kind::Iax(Iax::RegAck));
    assert_eq!(ack.elements.get(ie::REFRESH), Some(&[0, 60][..]));
    assert_eq!(ack.elements.get(ie::APPARENT_ADDR), Some(&apparent(pair.at)[..]));
    assert_eq!(pair.told(), [("s1".to_owned(), 2, began)]);
    // A renewal in time keeps it as old as it is.
    pair.pass(50);
    pair.registers(Iax::RegReq, &me, 60);
    assert_eq!(pair.told(), [("s1".to_owned(), 2, began)]);
    // Not renewed, it is gone, no sooner than its time is over.
    pair.pass(65);
    assert_eq!(pair.told().len(), 1);
    pair.pass(2);
    assert_eq!(pair.told(), []);
    // It comes back as one that has just started.
    pair.pass(10);
    pair.registers(Iax::RegReq, &me, 60);
    assert_eq!(pair.told(), [("s1".to_owned(), 2, began + 127_000)]);
    assert_eq!(pair.registers(Iax::RegRel, &me, 0).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(pair.told(), []);
}

#[test]
fn a_wrong_secret_another_place_and_a_mere_caller_change_no_list() {
    let mut pair = Pair::new();
    assert_eq!(pair.registers(Iax::RegReq, &account("s1", "wrong"), 60).kind, Kind::Iax(Iax::RegRej));
    assert_eq!(pair.list, None);
    assert_eq!(pair.registers(Iax::RegReq, &account("box", "b"), 60).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(pair.told(), []);
    let me = account("s1", "wort");
    assert_eq!(pair.registers(Iax::RegReq, &me, 60).kind, Kind::Iax(Iax::RegAck));
    let dial = |pair: &Pair| pair.list.iter().flatten().map(|line| line.address.port()).collect::<Vec<_>>();
    // Two machines with one secret: the later one waits until the first has settled, then takes its place.
    pair.at.set_port(4_002);
    assert_eq!(pair.registers(Iax::RegReq, &me, 60).kind, Kind::Iax(Iax::RegRej));
    assert_eq!(dial(&pair), [4_001]);
    pair.pass(11);
    assert_eq!(pair.registers(Iax::RegReq, &me, 60).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(dial(&pair), [4_002]);
    pair.at.set_port(4_001);
    assert_eq!(pair.registers(Iax::RegRel, &me, 0).kind, Kind::Iax(Iax::RegAck));
    assert_eq!(dial(&pair), [4_002], "who is not there takes nobody away");
    // A user who is struck from the file is gone with the reload.
    let rest = Users::parse("[user.box]\nsecret = 'b'\n").expect("good");
    pair.front.set_users(Some(&rest), [3; 32]);
    let (mut todo, now) = (AdapterOutput::default(), pair.now);
    pair.front.expire(now, &mut todo);
    pair.took(todo);
    assert!(dial(&pair).is_empty());
}

#[test]
fn calls_go_to_a_registered_call_server_and_none_after_it_has_left() {
    on_one_thread(async {
        let world = World::default();
        let mut config = support::config("127.0.0.1:9".parse().expect("an address"));
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        config.iax2 = Some(Iax2Config { tokens: TokenPolicy::Required, ..Iax2Config::at(any, any) });
        (config.bulletin, config.secrets) =
            (None, Iax2Secrets { users: Users::parse(USERS).ok(), account: None });
        let controller = Controller::start(config).await;
        let at = controller.iax2_at.expect("a port");
        let server = IaxServer::start(&world, "s1", Does::Answer("a".into())).await;
        let me = account("s1", "wort");
        let says = |what: &'static str| move |s: &support::Seen| matches!(&s.what, What::Other(said) if said.contains(what));
        server.register(at, &me, false);
        world.until("registered", says("RegAck")).await;
        controller.holds_list().await;
        let caller = IaxCaller::start(&world, "c", at).await;
        *caller.account.borrow_mut() = Some(account("box", "b"));
        // It has just started: it is eased in, so the first callers may be told to come back.
        let mut n = 0;
        let stands = loop {
            n += 1;
            caller.open(&name(n), 5_000, 2, "x");
            match world.answer(&name(n)).await.what {
                What::Ready(body) => break body,
                What::Close(42, Some(wait)) => tokio::time::sleep(Duration::from_millis(wait)).await,
                other => panic!("{other:?}"),
            }
        };
        assert_eq!(stands, "a");
        let (first, next) = (name(n), name(n + 1));
        server.register(at, &me, true);
        world.until_all("it has left", 2, says("RegAck")).await;
        caller.open(&next, 1_500, 2, "x");
        assert!(matches!(world.answer(&next).await.what, What::Close(..)));
        assert_eq!(world.count(|s| s.sid == next && matches!(s.what, What::SetUp(..))), 0);
        // The call that stood goes on: leaving takes no new work, and cuts none.
        assert_eq!(world.count(|s| s.sid == first && matches!(s.what, What::Close(..))), 0);
        server.release(&first, 16);
        world.until("its end", |s| s.sid == first && s.what == What::Close(16, None)).await;
        controller.stop().await;
    });
}

#[test]
fn a_controller_registers_at_another_and_once_more_when_it_was_refused() {
    on_one_thread(async {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let config = |iax2, secrets| {
            let mut config = support::config("127.0.0.1:9".parse().expect("an address"));
            (config.bulletin, config.iax2, config.secrets) = (None, Some(iax2), secrets);
            config
        };
        let nobody = Users::parse("[user.other]\nsecret = 'x'\n").ok();
        let iax2 = || Iax2Config { tokens: TokenPolicy::Required, ..Iax2Config::at(any, any) };
        let registrar = Controller::start(config(iax2(), Iax2Secrets { users: nobody, account: None })).await;
        let at = registrar.iax2_at.expect("a port");
        let mine = Iax2Secrets { users: None, account: Some(account("s1", "wort")) };
        let mut upstream = config(Iax2Config { register: vec![at], ..iax2() }, mine);
        upstream.console = None;
        let controller = Controller::start(upstream).await;
        registrar.turns("it is refused", |instance| instance.counters().iax2_not_let_in > 0).await;
        assert_eq!(controller.instance.counters().iax2_registered_at, 0);
        // Its user is added by a reload; the next try, a second later at most, is granted.
        let users = Users::parse(USERS).ok();
        registrar.instance.reload(config(iax2(), Iax2Secrets { users, account: None }));
        controller.turns("it is registered", |instance| instance.counters().iax2_registered_at == 1).await;
        registrar.turns("it is a member", |instance| instance.servers().iter().any(|s| s.host == "s1")).await;
        let dial = registrar.instance.servers()[0].address;
        assert_eq!(Some(dial), controller.iax2_at, "calls are to come where it takes them");
        controller.stop().await;
        registrar.stop().await;
    });
}
