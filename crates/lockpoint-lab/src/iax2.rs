//! IAX2 callers and call servers on sockets, each behind a datagram path of its own.
//!
//! What concerns the rules is noted at the controller's side of the path: a HANGUP that the controller sent counts from
//! then on, whether or not the path loses it; a release of a call server counts from the datagram that gets through.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use lockpoint::front::iax2::door::{Door, Entry};
use lockpoint::iax2::auth::{Account, Authenticator, IssuedChallenge};
use lockpoint::iax2::describe::description_of;
use lockpoint::iax2::frame::{ie, parse, Control, Datagram, Elements, Frame, Iax, Kind};
use lockpoint::iax2::legs::{LegEvent, Legs, Outgoing};
use lockpoint::iax2::tokens::TokenPolicy;
use lockpoint::interface::{Span, Time};
use tokio::net::UdpSocket;
use tokio::task::spawn_local;

use crate::callers::default_ask;
use crate::event_log::{now, sleep_until, Ask, EventKind, EventLog};
use crate::path::{Path, PathConfig};
use crate::server_model::ModelEvent;
use crate::sip::{model_answer, ServerBehaviour};

/// What a leg is for that registers.
const REGISTRATION: &str = "registration";
/// Far enough ahead that nothing else is due before.
const LONG: u64 = 3_600_000_000;

/// A datagram on its way.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct OnItsWay {
    due: Time,
    no: u64,
    inwards: bool,
    peer: SocketAddr,
    bytes: Vec<u8>,
}

/// A full frame that came.
enum Came {
    /// The controller has sent it. Nothing hears of it yet.
    Sent(SocketAddr, Frame),
    /// The path has let it through.
    Through(SocketAddr, Frame),
}

/// A socket, its legs, and the path in front of it.
struct Wire {
    socket: UdpSocket,
    legs: RefCell<Legs<String>>,
    number_of: RefCell<BTreeMap<String, u16>>,
    path: RefCell<(Path, Path)>,
    ways: RefCell<BinaryHeap<Reverse<OnItsWay>>>,
    through: RefCell<VecDeque<(SocketAddr, Vec<u8>)>>,
    dues: RefCell<BinaryHeap<Reverse<(Time, u16)>>>,
    /// The entry of `dues` that counts for a leg; others are passed over.
    armed: RefCell<BTreeMap<u16, Time>>,
    sent: Cell<u64>,
    /// Numbers of legs whose HANGUP got through.
    hung_up: RefCell<BTreeSet<u16>>,
}

impl Wire {
    async fn bind(ip: Ipv4Addr, config: PathConfig, seed: u64) -> Wire {
        Wire {
            socket: UdpSocket::bind((ip, 0)).await.expect("a port"),
            legs: RefCell::default(),
            number_of: RefCell::default(),
            path: RefCell::new((Path::new(config, seed), Path::new(config, !seed))),
            ways: RefCell::default(),
            through: RefCell::default(),
            dues: RefCell::default(),
            armed: RefCell::default(),
            sent: Cell::new(0),
            hung_up: RefCell::default(),
        }
    }

    fn put(&self, inwards: bool, peer: SocketAddr, bytes: &[u8]) {
        let (inside, outside) = &mut *self.path.borrow_mut();
        let fates = if inwards { inside.delivery_delays() } else { outside.delivery_delays() };
        if !fates.is_empty() && !inwards {
            if let Ok(Datagram::Full(Frame { source, kind: Kind::Iax(Iax::Hangup), .. })) = parse(bytes) {
                self.hung_up.borrow_mut().insert(source);
            }
        }
        for after in fates {
            let no = self.sent.get();
            self.sent.set(no + 1);
            let due = now().plus(after);
            self.ways.borrow_mut().push(Reverse(OnItsWay { due, no, inwards, peer, bytes: bytes.to_vec() }));
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        out.iter().for_each(|(to, bytes)| self.put(false, *to, bytes));
        self.flush();
    }

    /// Sends what is due; what came through meanwhile waits for `next`.
    fn flush(&self) {
        let mut ways = self.ways.borrow_mut();
        while ways.peek().is_some_and(|Reverse(next)| next.due <= now()) {
            let Some(Reverse(next)) = ways.pop() else { return };
            if next.inwards {
                self.through.borrow_mut().push_back((next.peer, next.bytes));
            } else {
                let _ = self.socket.try_send_to(&next.bytes, next.peer);
            }
        }
    }

    fn arm(&self, no: u16) {
        let Some(at) = self.legs.borrow().next_deadline(no) else { return };
        // What is overdue and still there waits for something else: looked at again a little later.
        let at = at.max(now().plus(Span::from_millis(1)));
        if self.armed.borrow().get(&no).is_none_or(|armed| at < *armed) {
            self.armed.borrow_mut().insert(no, at);
            self.dues.borrow_mut().push(Reverse((at, no)));
        }
    }

    fn say(&self, no: u16, kind: Kind, elements: Elements) {
        let mut out = Vec::new();
        self.legs.borrow_mut().send(no, kind, elements, now(), &mut out);
        self.send(out);
        self.arm(no);
    }

    fn hang_up(&self, no: u16, kind: Iax, elements: Elements) {
        self.say(no, Kind::Iax(kind), elements);
        self.legs.borrow_mut().end(no, now());
        self.arm(no);
    }

    fn leg_of(&self, sid: &str) -> Option<u16> {
        let no = self.number_of.borrow().get(sid).copied()?;
        self.legs.borrow().owner(no).is_some_and(|of| of == sid).then_some(no)
    }

    /// Does what is due on legs.
    fn look(&self) {
        loop {
            let next = self.dues.borrow().peek().map(|Reverse(due)| *due);
            let Some((at, no)) = next.filter(|(at, _)| *at <= now()) else { return };
            self.dues.borrow_mut().pop();
            if self.armed.borrow().get(&no) != Some(&at) {
                continue;
            }
            self.armed.borrow_mut().remove(&no);
            let mut out = Vec::new();
            self.legs.borrow_mut().run_timers(no, now(), &mut out);
            self.send(out);
            self.arm(no);
        }
    }

    fn next_at(&self) -> Time {
        let way = self.ways.borrow().peek().map(|Reverse(next)| next.due);
        let due = self.dues.borrow().peek().map(|Reverse((at, _))| *at);
        way.into_iter().chain(due).min().unwrap_or(Time(now().0 + LONG))
    }

    /// The next full frame, first as the controller sent it, then each copy that comes through.
    async fn next(&self) -> Came {
        let mut bytes = vec![0; 20_000];
        loop {
            self.look();
            self.flush();
            let through = self.through.borrow_mut().pop_front();
            if let Some((from, bytes)) = through {
                if let Ok(Datagram::Full(frame)) = parse(&bytes) {
                    return Came::Through(from, frame);
                }
                continue;
            }
            tokio::select! {
                got = self.socket.recv_from(&mut bytes) => {
                    let Ok((n, from)) = got else { continue };
                    self.put(true, from, &bytes[..n]);
                    if let Ok(Datagram::Full(frame)) = parse(&bytes[..n]) {
                        return Came::Sent(from, frame);
                    }
                }
                _ = sleep_until(self.next_at()) => {}
            }
        }
    }

    /// Takes a frame that came through.
    fn receive(&self, from: SocketAddr, frame: &Frame) -> Option<LegEvent<String>> {
        let mut out = Vec::new();
        let told = self.legs.borrow_mut().receive(from, frame, now(), &mut out);
        self.send(out);
        self.arm(frame.dest);
        told
    }
}

fn sid_of(wire: &Wire, no: u16) -> String {
    wire.legs.borrow().owner(no).cloned().unwrap_or_default()
}

fn cause_of(frame: &Frame) -> u16 {
    frame.elements.number(ie::CAUSE_CODE).unwrap_or(0) as u16
}

fn cause(code: u16) -> Elements {
    Elements::default().with(ie::CAUSE_CODE, &[u8::try_from(code).unwrap_or(u8::MAX)])
}

// ---- Call servers ----------------------------------------------------------------------------------------

/// An IAX2 call server.
pub struct IaxServer {
    /// Its name in the records.
    pub name: String,
    /// Where it listens.
    pub at: SocketAddr,
    /// What it does with a set-up.
    pub behaviour: RefCell<ServerBehaviour>,
    /// It hears and says nothing.
    pub silent: Cell<bool>,
    /// Whom it lets in.
    pub token_check: RefCell<Door>,
    /// Asks the controller who it is, where it is set.
    pub authenticator: RefCell<Option<Authenticator>>,
    asked: RefCell<BTreeMap<u16, IssuedChallenge>>,
    account: RefCell<Option<Account>>,
    registers: RefCell<BTreeMap<u16, Iax>>,
    world: EventLog,
    wire: Wire,
    stands: RefCell<BTreeSet<String>>,
    calls: RefCell<BTreeMap<(SocketAddr, u16), String>>,
    /// Set-ups that were noted.
    set_ups: RefCell<BTreeMap<(SocketAddr, u16), String>>,
    /// Legs whose end by the controller has been noted.
    ended: RefCell<BTreeSet<(SocketAddr, u16)>>,
    /// Releases that were said, by leg, and have not got through yet.
    releasing: RefCell<BTreeMap<u16, String>>,
}

impl IaxServer {
    /// Starts one on a port that the system picks, on a path that does nothing.
    pub async fn start(world: &EventLog, name: &str, does: ServerBehaviour) -> Rc<IaxServer> {
        IaxServer::start_on_path(world, name, does, PathConfig::default(), 1).await
    }

    /// The same behind a path.
    pub async fn start_on_path(
        world: &EventLog,
        name: &str,
        does: ServerBehaviour,
        path: PathConfig,
        seed: u64,
    ) -> Rc<IaxServer> {
        let wire = Wire::bind(Ipv4Addr::LOCALHOST, path, seed).await;
        let server = Rc::new(IaxServer {
            name: name.to_owned(),
            at: wire.socket.local_addr().expect("an address"),
            behaviour: RefCell::new(does),
            silent: Cell::new(false),
            token_check: RefCell::new(Door::new(TokenPolicy::Off, [5; 32])),
            authenticator: RefCell::default(),
            asked: RefCell::default(),
            account: RefCell::default(),
            registers: RefCell::default(),
            world: world.clone(),
            wire,
            stands: RefCell::default(),
            calls: RefCell::default(),
            set_ups: RefCell::default(),
            ended: RefCell::default(),
            releasing: RefCell::default(),
        });
        let serving = server.clone();
        spawn_local(async move {
            loop {
                match serving.wire.next().await {
                    Came::Sent(from, frame) => serving.sent(from, &frame),
                    Came::Through(from, frame) => serving.through(from, &frame),
                }
                serving.note_released();
            }
        });
        server
    }

    fn mute(&self) -> bool {
        self.silent.get()
            || matches!(&*self.behaviour.borrow(), ServerBehaviour::Model(machine) if machine.silent())
    }

    /// The controller has sent a frame.
    fn sent(&self, from: SocketAddr, frame: &Frame) {
        let key = (from, frame.source);
        if frame.kind == Kind::Iax(Iax::New) {
            let sid = frame.elements.variable("callid").unwrap_or_default();
            if self.calls.borrow_mut().insert(key, sid.clone()).is_some_and(|before| before != sid) {
                self.ended.borrow_mut().remove(&key);
            }
        }
        if frame.kind != Kind::Iax(Iax::Hangup) {
            return;
        }
        let Some(sid) = self.calls.borrow().get(&key).cloned() else { return };
        if self.ended.borrow_mut().insert(key) {
            let stood = self.stands.borrow_mut().remove(&sid);
            let what = if stood { EventKind::Bye(cause_of(frame)) } else { EventKind::Cancel };
            self.world.record(&self.name, &sid, what);
        }
    }

    fn through(self: &Rc<Self>, from: SocketAddr, frame: &Frame) {
        let sid = frame.elements.variable("callid").unwrap_or_default();
        if frame.kind == Kind::Iax(Iax::New) && !self.mute() {
            let entry = self.token_check.borrow().look(from, frame, now());
            if let Entry::Answered(answer) = &entry {
                self.wire.send(vec![(from, answer.bytes())]);
            }
            if entry != Entry::In {
                return;
            }
        }
        if frame.kind == Kind::Iax(Iax::New) {
            // A copy of a NEW that was heard is no further set-up, and one that its HANGUP has overtaken is given up.
            let key = (from, frame.source);
            let before = self.set_ups.borrow_mut().insert(key, sid.clone());
            if before.as_ref() != Some(&sid) && !self.ended.borrow().contains(&key) {
                let text = |element| frame.elements.text(element).unwrap_or_default().to_owned();
                let body = frame.elements.variable("desc").unwrap_or_default();
                let what = EventKind::SetUp(text(ie::CALLED_CONTEXT), text(ie::CALLED_NUMBER), body);
                self.world.record(&self.name, &sid, what);
            }
        }
        if self.mute() {
            return;
        }
        match self.wire.receive(from, frame) {
            Some(LegEvent::New(new)) => {
                let mut out = Vec::new();
                let no = self.wire.legs.borrow_mut().open_incoming(from, &new, sid.clone(), now(), &mut out);
                self.wire.send(out);
                if let Some(no) = no {
                    self.wire.number_of.borrow_mut().insert(sid.clone(), no);
                    self.wire.arm(no);
                    if let Some(examiner) = &mut *self.authenticator.borrow_mut() {
                        let (elements, asked) =
                            examiner.challenge(new.elements.text(ie::USERNAME).unwrap_or_default());
                        self.asked.borrow_mut().insert(no, asked);
                        return self.wire.say(no, Kind::Iax(Iax::AuthReq), elements);
                    }
                    let does = self.behaviour.borrow().clone();
                    self.treat(no, &sid, does);
                }
            }
            Some(LegEvent::Frame(no, frame))
                if matches!(frame.kind, Kind::Iax(Iax::RegAuth | Iax::RegAck | Iax::RegRej)) =>
            {
                self.registration(no, &frame);
            }
            Some(LegEvent::Frame(no, frame)) if frame.kind == Kind::Iax(Iax::AuthRep) => {
                let Some(asked) = self.asked.borrow_mut().remove(&no) else { return };
                let checked = self
                    .authenticator
                    .borrow_mut()
                    .as_mut()
                    .map(|examiner| examiner.verify(from.ip(), &asked, &frame.elements, now()));
                let does = match checked {
                    Some(Err(_)) => ServerBehaviour::Refuse(21, String::new()),
                    _ => self.behaviour.borrow().clone(),
                };
                self.treat(no, &sid_of(&self.wire, no), does);
            }
            Some(LegEvent::Frame(no, frame)) if frame.kind == Kind::Iax(Iax::Hangup) => {
                let sid = self.wire.legs.borrow().owner(no).cloned();
                self.wire.legs.borrow_mut().end(no, now());
                self.wire.arm(no);
                if let (Some(sid), ServerBehaviour::Model(machine)) = (sid, &*self.behaviour.borrow()) {
                    machine.end_call(&sid);
                }
            }
            _ => {}
        }
    }

    fn treat(self: &Rc<Self>, no: u16, sid: &str, does: ServerBehaviour) {
        match does {
            ServerBehaviour::Answer(description) => self.answer(no, sid, &description),
            ServerBehaviour::Refuse(code, _) => {
                self.world.record(&self.name, sid, EventKind::Refused);
                self.wire.hang_up(no, Iax::Reject, cause(code));
            }
            ServerBehaviour::Silent | ServerBehaviour::Raw(_) => {}
            ServerBehaviour::Model(machine) => {
                let (server, name) = (self.clone(), sid.to_owned());
                machine.handle_set_up(sid, move |says| server.say_of(no, &name, says));
            }
        }
    }

    fn answer(&self, no: u16, sid: &str, description: &str) {
        self.world.record(&self.name, sid, EventKind::Answered(description.to_owned()));
        self.stands.borrow_mut().insert(sid.to_owned());
        let accept = Elements::default().with_variable("desc", description);
        self.wire.say(no, Kind::Iax(Iax::Accept), accept.with(ie::FORMAT, &4u32.to_be_bytes()));
        self.wire.say(no, Kind::Control(Control::Ringing), Elements::default());
        self.wire.say(no, Kind::Control(Control::Answer), Elements::default());
    }

    /// What its model says of a set-up.
    fn say_of(&self, no: u16, sid: &str, says: ModelEvent) {
        match says {
            ModelEvent::Answer => self.answer(no, sid, &model_answer(sid)),
            ModelEvent::Full(wait, report) => {
                self.world.record(&self.name, sid, EventKind::Refused);
                let wait = (wait.0 / 1000).to_string();
                let elements = cause(42).with_variable("wait", &wait).with_variable("report", &report);
                self.wire.hang_up(no, Iax::Reject, elements);
            }
            ModelEvent::Error => {
                self.world.record(&self.name, sid, EventKind::Refused);
                self.wire.hang_up(no, Iax::Reject, cause(38 + 3));
            }
            ModelEvent::Release(report) => self.release_with(sid, cause(16).with_variable("report", &report)),
            ModelEvent::Down => {
                self.world.record(&self.name, "", EventKind::Tipped);
                self.die();
            }
        }
    }

    /// Registers at the controller, or leaves it.
    pub fn register(&self, to: SocketAddr, me: &Account, leaves: bool) {
        let Some(no) = self.wire.legs.borrow_mut().open_outgoing(to, REGISTRATION.to_owned(), now()) else {
            return;
        };
        *self.account.borrow_mut() = Some(me.clone());
        let kind = if leaves { Iax::RegRel } else { Iax::RegReq };
        let elements = Elements::default().with(ie::USERNAME, me.username.as_bytes());
        self.wire.say(no, Kind::Iax(kind), elements.with(ie::CALLTOKEN, &[]));
        self.registers.borrow_mut().insert(no, kind);
    }

    /// The controller has answered to a registration.
    fn registration(&self, no: u16, frame: &Frame) {
        let Some(kind) = self.registers.borrow().get(&no).copied() else { return };
        if frame.kind == Kind::Iax(Iax::RegAuth) {
            let answer = self.account.borrow().as_ref().and_then(|me| me.respond(&frame.elements));
            return self.wire.say(no, Kind::Iax(kind), answer.unwrap_or_default());
        }
        self.registers.borrow_mut().remove(&no);
        self.wire.legs.borrow_mut().end(no, now());
        self.wire.arm(no);
        self.world.record(&self.name, "", EventKind::Other(format!("{:?}", frame.kind)));
    }

    /// Ends a call that stands here.
    pub fn release(&self, sid: &str, code: u8) {
        self.release_with(sid, cause(code.into()));
    }

    fn release_with(&self, sid: &str, elements: Elements) {
        if !self.stands.borrow_mut().remove(sid) {
            return;
        }
        let Some(no) = self.wire.leg_of(sid) else { return };
        self.wire.hung_up.borrow_mut().remove(&no);
        self.releasing.borrow_mut().insert(no, sid.to_owned());
        self.wire.hang_up(no, Iax::Hangup, elements);
        self.note_released();
    }

    /// Notes releases that have got through.
    fn note_released(&self) {
        let through = std::mem::take(&mut *self.wire.hung_up.borrow_mut());
        for no in through {
            if let Some(sid) = self.releasing.borrow_mut().remove(&no) {
                self.world.record(&self.name, &sid, EventKind::Released);
            }
        }
    }

    /// The machine is down: it says nothing more and knows no call.
    pub fn die(&self) {
        if let ServerBehaviour::Model(machine) = &*self.behaviour.borrow() {
            machine.clear_calls();
            machine.set_silent(true);
        }
        self.stands.borrow_mut().clear();
        self.releasing.borrow_mut().clear();
        *self.wire.legs.borrow_mut() = Legs::default();
        self.world.record(&self.name, "", EventKind::Died);
    }

    /// The machine is up again, and cold.
    pub fn restart(&self) {
        if let ServerBehaviour::Model(machine) = &*self.behaviour.borrow() {
            machine.restart();
        }
    }
}

// ---- Callers ---------------------------------------------------------------------------------------------

/// An IAX2 caller: one socket, many calls.
pub struct IaxCaller {
    /// Who it says it is, where it is asked.
    pub account: RefCell<Option<Account>>,
    name: String,
    to: SocketAddr,
    world: EventLog,
    wire: Wire,
    /// What each leg is for, also after its end.
    sids: RefCell<BTreeMap<u16, String>>,
    bodies: RefCell<BTreeMap<String, String>>,
    /// Frames that were noted: a copy of one is no second answer.
    noted: RefCell<BTreeMap<u16, BTreeSet<(u8, u32)>>>,
}

impl IaxCaller {
    /// Starts one on a path that does nothing.
    pub async fn start(world: &EventLog, name: &str, to: SocketAddr) -> Rc<IaxCaller> {
        IaxCaller::start_on_path(world, name, to, Ipv4Addr::LOCALHOST, PathConfig::default(), 2).await
    }

    /// The same behind a path, and at an address of its own: what one address may begin is bounded.
    pub async fn start_on_path(
        world: &EventLog,
        name: &str,
        to: SocketAddr,
        ip: Ipv4Addr,
        path: PathConfig,
        seed: u64,
    ) -> Rc<IaxCaller> {
        let caller = Rc::new(IaxCaller {
            account: RefCell::default(),
            name: name.to_owned(),
            to,
            world: world.clone(),
            wire: Wire::bind(ip, path, seed).await,
            sids: RefCell::default(),
            bodies: RefCell::default(),
            noted: RefCell::default(),
        });
        let reading = caller.clone();
        spawn_local(async move {
            loop {
                match reading.wire.next().await {
                    Came::Sent(_, frame) => reading.sent(&frame),
                    Came::Through(from, frame) => reading.through(from, &frame),
                }
            }
        });
        caller
    }

    /// The controller has sent a frame.
    fn sent(&self, frame: &Frame) {
        let Some(sid) = self.sids.borrow().get(&frame.dest).cloned() else { return };
        // "No such call" to a NEW is a refusal; to anything later it is about the leg alone.
        let says = match frame.kind {
            Kind::Iax(Iax::Accept | Iax::Reject | Iax::Hangup) | Kind::Control(Control::Answer) => true,
            Kind::Iax(Iax::Inval) => !self.noted.borrow().contains_key(&frame.dest),
            _ => false,
        };
        let place = (frame.oseq, frame.timestamp);
        if !says || !self.noted.borrow_mut().entry(frame.dest).or_default().insert(place) {
            return;
        }
        match frame.kind {
            Kind::Iax(Iax::Accept) => {
                self.bodies.borrow_mut().insert(sid, description_of(&frame.elements));
            }
            Kind::Control(Control::Answer) => {
                let body = self.bodies.borrow_mut().remove(&sid).unwrap_or_default();
                self.world.record(&self.name, &sid, EventKind::Ready(body));
            }
            _ => {
                let wait = frame.elements.variable("wait").and_then(|ms| ms.parse().ok());
                self.world.record(&self.name, &sid, EventKind::Close(cause_of(frame), wait));
            }
        }
    }

    fn through(&self, from: SocketAddr, frame: &Frame) {
        if let Some(LegEvent::Frame(no, frame)) = self.wire.receive(from, frame) {
            if frame.kind == Kind::Iax(Iax::AuthReq) {
                let answer = self.account.borrow().as_ref().and_then(|me| me.respond(&frame.elements));
                self.wire.say(no, Kind::Iax(Iax::AuthRep), answer.unwrap_or_default());
            }
            if matches!(frame.kind, Kind::Iax(Iax::Reject | Iax::Hangup)) {
                self.wire.legs.borrow_mut().end(no, now());
                self.wire.arm(no);
            }
        }
    }

    /// Asks for a call.
    pub fn open(&self, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.try_open(sid, dest, &default_ask(left_ms, description));
    }

    /// Asks for a call. `false`: no call number is free.
    pub fn try_open(&self, sid: &str, dest: u16, ask: &Rc<Ask>) -> bool {
        let Some(no) = self.wire.legs.borrow_mut().open_outgoing(self.to, sid.to_owned(), now()) else {
            return false;
        };
        self.world.record(&self.name, sid, EventKind::Asked(ask.clone()));
        self.wire.number_of.borrow_mut().insert(sid.to_owned(), no);
        self.sids.borrow_mut().insert(no, sid.to_owned());
        self.noted.borrow_mut().remove(&no);
        let elements = Elements::default()
            .with(ie::VERSION, &[0, 2])
            .with(ie::CALLED_NUMBER, ask.number.as_bytes())
            .with(ie::CALLED_CONTEXT, ask.class.as_bytes())
            .with(ie::CALLTOKEN, &[])
            .with_variable("callid", sid)
            .with_variable("left", &ask.left_ms.to_string())
            .with_variable("dest", &dest.to_string());
        let elements = match &*self.account.borrow() {
            Some(account) => elements.with(ie::USERNAME, account.username.as_bytes()),
            None => elements,
        };
        self.wire.say(no, Kind::Iax(Iax::New), elements.with_variable("desc", &ask.text));
        true
    }

    /// Gives a set-up up, or ends a call that stands; nothing where it has ended.
    pub fn hang_up(&self, sid: &str) {
        if let Some(no) = self.wire.leg_of(sid) {
            let mut legs = self.wire.legs.borrow_mut();
            if !legs.answered(no) {
                // A NEW that was never heard is not said again after its HANGUP.
                legs.cancel_retransmissions(no);
            }
            drop(legs);
            self.wire.hang_up(no, Iax::Hangup, cause(16));
        }
    }

    /// Says something of its own on a call's leg.
    pub fn send_frame(&self, sid: &str, kind: Kind) {
        let no = self.wire.leg_of(sid).expect("a leg");
        self.wire.say(no, kind, Elements::default());
    }
}
