//! Simulated IAX2 callers and call servers on sockets, each behind its own datagram path.
//!
//! The events that the checker evaluates are recorded at the controller's side of the path: a HANGUP of the controller
//! counts when it is sent, whether or not the path loses it; a release of a call server counts when a datagram of it
//! passes the path.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, VecDeque};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;

use lockpoint::front::iax2::call_token_gate::{Admission, CallTokenGate};
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

/// The owner of call legs for registrations, in place of a call's name.
const REGISTRATION: &str = "registration";
/// The wait in microseconds when nothing is scheduled.
const IDLE_WAIT_US: u64 = 3_600_000_000;

/// A datagram that the path delays.
#[derive(Debug, PartialEq, Eq, PartialOrd, Ord)]
struct DelayedDatagram {
    due: Time,
    no: u64,
    incoming: bool,
    peer: SocketAddr,
    bytes: Vec<u8>,
}

/// A full frame from the controller.
enum Received {
    /// The controller has sent it; the path has not delivered it yet.
    Sent(SocketAddr, Frame),
    /// The path has delivered it.
    Delivered(SocketAddr, Frame),
}

/// A socket with its call legs and the simulated path in front of it.
struct Endpoint {
    socket: UdpSocket,
    legs: RefCell<Legs<String>>,
    number_of: RefCell<BTreeMap<String, u16>>,
    path: RefCell<(Path, Path)>,
    in_transit: RefCell<BinaryHeap<Reverse<DelayedDatagram>>>,
    delivered: RefCell<VecDeque<(SocketAddr, Vec<u8>)>>,
    timers: RefCell<BinaryHeap<Reverse<(Time, u16)>>>,
    /// The valid entry of `dues` for each leg; other entries are ignored.
    armed: RefCell<BTreeMap<u16, Time>>,
    sent: Cell<u64>,
    /// The legs whose HANGUP has passed the path.
    hung_up: RefCell<BTreeSet<u16>>,
}

impl Endpoint {
    async fn bind(ip: Ipv4Addr, config: PathConfig, seed: u64) -> Endpoint {
        Endpoint {
            socket: UdpSocket::bind((ip, 0)).await.expect("a free port"),
            legs: RefCell::default(),
            number_of: RefCell::default(),
            path: RefCell::new((Path::new(config, seed), Path::new(config, !seed))),
            in_transit: RefCell::default(),
            delivered: RefCell::default(),
            timers: RefCell::default(),
            armed: RefCell::default(),
            sent: Cell::new(0),
            hung_up: RefCell::default(),
        }
    }

    fn route(&self, incoming: bool, peer: SocketAddr, bytes: &[u8]) {
        let (inbound, outbound) = &mut *self.path.borrow_mut();
        let delays = if incoming { inbound.delivery_delays() } else { outbound.delivery_delays() };
        if !delays.is_empty() && !incoming {
            if let Ok(Datagram::Full(Frame { source, kind: Kind::Iax(Iax::Hangup), .. })) = parse(bytes) {
                self.hung_up.borrow_mut().insert(source);
            }
        }
        for after in delays {
            let no = self.sent.get();
            self.sent.set(no + 1);
            let due = now().plus(after);
            self.in_transit.borrow_mut().push(Reverse(DelayedDatagram {
                due,
                no,
                incoming,
                peer,
                bytes: bytes.to_vec(),
            }));
        }
    }

    fn send(&self, out: Vec<Outgoing>) {
        out.iter().for_each(|(to, bytes)| self.route(false, *to, bytes));
        self.flush();
    }

    /// Sends the outgoing datagrams that are due and queues the incoming ones for `next`.
    fn flush(&self) {
        let mut in_transit = self.in_transit.borrow_mut();
        while in_transit.peek().is_some_and(|Reverse(next)| next.due <= now()) {
            let Some(Reverse(next)) = in_transit.pop() else { return };
            if next.incoming {
                self.delivered.borrow_mut().push_back((next.peer, next.bytes));
            } else {
                let _ = self.socket.try_send_to(&next.bytes, next.peer);
            }
        }
    }

    fn arm(&self, no: u16) {
        let Some(at) = self.legs.borrow().next_deadline(no) else { return };
        // A deadline that has passed and is still set waits for another event: it is checked again 1 ms later.
        let at = at.max(now().plus(Span::from_millis(1)));
        if self.armed.borrow().get(&no).is_none_or(|armed| at < *armed) {
            self.armed.borrow_mut().insert(no, at);
            self.timers.borrow_mut().push(Reverse((at, no)));
        }
    }

    fn send_frame(&self, no: u16, kind: Kind, elements: Elements) {
        let mut out = Vec::new();
        self.legs.borrow_mut().send(no, kind, elements, now(), &mut out);
        self.send(out);
        self.arm(no);
    }

    fn hang_up(&self, no: u16, kind: Iax, elements: Elements) {
        self.send_frame(no, Kind::Iax(kind), elements);
        self.legs.borrow_mut().end(no, now());
        self.arm(no);
    }

    fn leg_of(&self, sid: &str) -> Option<u16> {
        let no = self.number_of.borrow().get(sid).copied()?;
        self.legs.borrow().owner(no).is_some_and(|of| of == sid).then_some(no)
    }

    /// Runs the expired timers of the legs.
    fn run_timers(&self) {
        loop {
            let next = self.timers.borrow().peek().map(|Reverse(due)| *due);
            let Some((at, no)) = next.filter(|(at, _)| *at <= now()) else { return };
            self.timers.borrow_mut().pop();
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
        let datagram_due = self.in_transit.borrow().peek().map(|Reverse(next)| next.due);
        let due = self.timers.borrow().peek().map(|Reverse((at, _))| *at);
        datagram_due.into_iter().chain(due).min().unwrap_or(Time(now().0 + IDLE_WAIT_US))
    }

    /// The next full frame: once when the controller sends it, then once for each copy that the path delivers.
    async fn next(&self) -> Received {
        let mut bytes = vec![0; 20_000];
        loop {
            self.run_timers();
            self.flush();
            let delivered = self.delivered.borrow_mut().pop_front();
            if let Some((from, bytes)) = delivered {
                if let Ok(Datagram::Full(frame)) = parse(&bytes) {
                    return Received::Delivered(from, frame);
                }
                continue;
            }
            tokio::select! {
                got = self.socket.recv_from(&mut bytes) => {
                    let Ok((n, from)) = got else { continue };
                    self.route(true, from, &bytes[..n]);
                    if let Ok(Datagram::Full(frame)) = parse(&bytes[..n]) {
                        return Received::Sent(from, frame);
                    }
                }
                _ = sleep_until(self.next_at()) => {}
            }
        }
    }

    /// Processes a delivered frame.
    fn receive(&self, from: SocketAddr, frame: &Frame) -> Option<LegEvent<String>> {
        let mut out = Vec::new();
        let event = self.legs.borrow_mut().receive(from, frame, now(), &mut out);
        self.send(out);
        self.arm(frame.dest);
        event
    }
}

fn sid_of(endpoint: &Endpoint, no: u16) -> String {
    endpoint.legs.borrow().owner(no).cloned().unwrap_or_default()
}

fn cause_of(frame: &Frame) -> u16 {
    frame.elements.number(ie::CAUSE_CODE).unwrap_or(0) as u16
}

fn cause(code: u16) -> Elements {
    Elements::default().with(ie::CAUSE_CODE, &[u8::try_from(code).unwrap_or(u8::MAX)])
}

// ---- Call servers ----------------------------------------------------------------------------------------

/// A simulated IAX2 call server.
pub struct IaxServer {
    /// Its name in the DNS-SD records.
    pub name: String,
    /// The address at which it listens.
    pub at: SocketAddr,
    /// How it treats a set-up.
    pub behaviour: RefCell<ServerBehaviour>,
    /// Whether it receives frames but sends nothing.
    pub silent: Cell<bool>,
    /// Checks the call tokens of NEWs.
    pub token_check: RefCell<CallTokenGate>,
    /// Authenticates the controller, if set.
    pub authenticator: RefCell<Option<Authenticator>>,
    challenges: RefCell<BTreeMap<u16, IssuedChallenge>>,
    account: RefCell<Option<Account>>,
    registrations: RefCell<BTreeMap<u16, Iax>>,
    log: EventLog,
    endpoint: Endpoint,
    established: RefCell<BTreeSet<String>>,
    calls: RefCell<BTreeMap<(SocketAddr, u16), String>>,
    /// Set-ups that were recorded.
    set_ups: RefCell<BTreeMap<(SocketAddr, u16), String>>,
    /// Legs whose end by the controller was recorded.
    ended: RefCell<BTreeSet<(SocketAddr, u16)>>,
    /// Releases that were sent and have not passed the path yet, by leg.
    releasing: RefCell<BTreeMap<u16, String>>,
}

impl IaxServer {
    /// Starts a call server on a free port, behind a path without faults.
    pub async fn start(log: &EventLog, name: &str, behaviour: ServerBehaviour) -> Rc<IaxServer> {
        IaxServer::start_on_path(log, name, behaviour, PathConfig::default(), 1).await
    }

    /// Starts a call server on a free port behind a path.
    pub async fn start_on_path(
        log: &EventLog,
        name: &str,
        behaviour: ServerBehaviour,
        path: PathConfig,
        seed: u64,
    ) -> Rc<IaxServer> {
        let endpoint = Endpoint::bind(Ipv4Addr::LOCALHOST, path, seed).await;
        let server = Rc::new(IaxServer {
            name: name.to_owned(),
            at: endpoint.socket.local_addr().expect("the local address"),
            behaviour: RefCell::new(behaviour),
            silent: Cell::new(false),
            token_check: RefCell::new(CallTokenGate::new(TokenPolicy::Off, [5; 32])),
            authenticator: RefCell::default(),
            challenges: RefCell::default(),
            account: RefCell::default(),
            registrations: RefCell::default(),
            log: log.clone(),
            endpoint,
            established: RefCell::default(),
            calls: RefCell::default(),
            set_ups: RefCell::default(),
            ended: RefCell::default(),
            releasing: RefCell::default(),
        });
        let receiver = server.clone();
        spawn_local(async move {
            loop {
                match receiver.endpoint.next().await {
                    Received::Sent(from, frame) => receiver.sent(from, &frame),
                    Received::Delivered(from, frame) => receiver.delivered(from, &frame),
                }
                receiver.record_releases();
            }
        });
        server
    }

    fn is_silent(&self) -> bool {
        self.silent.get()
            || matches!(&*self.behaviour.borrow(), ServerBehaviour::Model(model) if model.silent())
    }

    /// Records what the controller's frame means for a call, before the path can lose it.
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
            let was_established = self.established.borrow_mut().remove(&sid);
            let kind = if was_established { EventKind::Bye(cause_of(frame)) } else { EventKind::Cancel };
            self.log.record(&self.name, &sid, kind);
        }
    }

    fn delivered(self: &Rc<Self>, from: SocketAddr, frame: &Frame) {
        let sid = frame.elements.variable("callid").unwrap_or_default();
        if frame.kind == Kind::Iax(Iax::New) && !self.is_silent() {
            let entry = self.token_check.borrow().check(from, frame, now());
            if let Admission::Reply(answer) = &entry {
                self.endpoint.send(vec![(from, answer.bytes())]);
            }
            if entry != Admission::Admitted {
                return;
            }
        }
        if frame.kind == Kind::Iax(Iax::New) {
            // A copy of a received NEW is not another set-up, and a NEW that its HANGUP has overtaken is cancelled.
            let key = (from, frame.source);
            let before = self.set_ups.borrow_mut().insert(key, sid.clone());
            if before.as_ref() != Some(&sid) && !self.ended.borrow().contains(&key) {
                let text = |element| frame.elements.text(element).unwrap_or_default().to_owned();
                let body = frame.elements.variable("desc").unwrap_or_default();
                let kind = EventKind::SetUp(text(ie::CALLED_CONTEXT), text(ie::CALLED_NUMBER), body);
                self.log.record(&self.name, &sid, kind);
            }
        }
        if self.is_silent() {
            return;
        }
        match self.endpoint.receive(from, frame) {
            Some(LegEvent::New(new)) => {
                let mut out = Vec::new();
                let no =
                    self.endpoint.legs.borrow_mut().open_incoming(from, &new, sid.clone(), now(), &mut out);
                self.endpoint.send(out);
                if let Some(no) = no {
                    self.endpoint.number_of.borrow_mut().insert(sid.clone(), no);
                    self.endpoint.arm(no);
                    if let Some(authenticator) = &mut *self.authenticator.borrow_mut() {
                        let (elements, challenge) =
                            authenticator.challenge(new.elements.text(ie::USERNAME).unwrap_or_default());
                        self.challenges.borrow_mut().insert(no, challenge);
                        return self.endpoint.send_frame(no, Kind::Iax(Iax::AuthReq), elements);
                    }
                    let behaviour = self.behaviour.borrow().clone();
                    self.respond(no, &sid, behaviour);
                }
            }
            Some(LegEvent::Frame(no, frame))
                if matches!(frame.kind, Kind::Iax(Iax::RegAuth | Iax::RegAck | Iax::RegRej)) =>
            {
                self.registration(no, &frame);
            }
            Some(LegEvent::Frame(no, frame)) if frame.kind == Kind::Iax(Iax::AuthRep) => {
                let Some(challenge) = self.challenges.borrow_mut().remove(&no) else { return };
                let checked =
                    self.authenticator.borrow_mut().as_mut().map(|authenticator| {
                        authenticator.verify(from.ip(), &challenge, &frame.elements, now())
                    });
                let behaviour = match checked {
                    Some(Err(_)) => ServerBehaviour::Refuse(21, String::new()),
                    _ => self.behaviour.borrow().clone(),
                };
                self.respond(no, &sid_of(&self.endpoint, no), behaviour);
            }
            Some(LegEvent::Frame(no, frame)) if frame.kind == Kind::Iax(Iax::Hangup) => {
                let sid = self.endpoint.legs.borrow().owner(no).cloned();
                self.endpoint.legs.borrow_mut().end(no, now());
                self.endpoint.arm(no);
                if let (Some(sid), ServerBehaviour::Model(model)) = (sid, &*self.behaviour.borrow()) {
                    model.end_call(&sid);
                }
            }
            _ => {}
        }
    }

    fn respond(self: &Rc<Self>, no: u16, sid: &str, behaviour: ServerBehaviour) {
        match behaviour {
            ServerBehaviour::Answer(description) => self.answer(no, sid, &description),
            ServerBehaviour::Refuse(code, _) => {
                self.log.record(&self.name, sid, EventKind::Refused);
                self.endpoint.hang_up(no, Iax::Reject, cause(code));
            }
            ServerBehaviour::Silent | ServerBehaviour::Raw(_) => {}
            ServerBehaviour::Model(model) => {
                let (server, name) = (self.clone(), sid.to_owned());
                model.handle_set_up(sid, move |event| server.send_model_event(no, &name, event));
            }
        }
    }

    fn answer(&self, no: u16, sid: &str, description: &str) {
        self.log.record(&self.name, sid, EventKind::Answered(description.to_owned()));
        self.established.borrow_mut().insert(sid.to_owned());
        let accept = Elements::default().with_variable("desc", description);
        self.endpoint.send_frame(no, Kind::Iax(Iax::Accept), accept.with(ie::FORMAT, &4u32.to_be_bytes()));
        self.endpoint.send_frame(no, Kind::Control(Control::Ringing), Elements::default());
        self.endpoint.send_frame(no, Kind::Control(Control::Answer), Elements::default());
    }

    /// Sends what its model emits for a set-up.
    fn send_model_event(&self, no: u16, sid: &str, event: ModelEvent) {
        match event {
            ModelEvent::Answer => self.answer(no, sid, &model_answer(sid)),
            ModelEvent::Full(wait, report) => {
                self.log.record(&self.name, sid, EventKind::Refused);
                let wait = (wait.0 / 1000).to_string();
                let elements = cause(42).with_variable("wait", &wait).with_variable("report", &report);
                self.endpoint.hang_up(no, Iax::Reject, elements);
            }
            ModelEvent::Error => {
                self.log.record(&self.name, sid, EventKind::Refused);
                self.endpoint.hang_up(no, Iax::Reject, cause(38 + 3));
            }
            ModelEvent::Release(report) => self.release_with(sid, cause(16).with_variable("report", &report)),
            ModelEvent::Down => {
                self.log.record(&self.name, "", EventKind::Tipped);
                self.die();
            }
        }
    }

    /// Registers at the controller, or cancels the registration.
    pub fn register(&self, to: SocketAddr, me: &Account, leaves: bool) {
        let Some(no) = self.endpoint.legs.borrow_mut().open_outgoing(to, REGISTRATION.to_owned(), now())
        else {
            return;
        };
        *self.account.borrow_mut() = Some(me.clone());
        let kind = if leaves { Iax::RegRel } else { Iax::RegReq };
        let elements = Elements::default().with(ie::USERNAME, me.username.as_bytes());
        self.endpoint.send_frame(no, Kind::Iax(kind), elements.with(ie::CALLTOKEN, &[]));
        self.registrations.borrow_mut().insert(no, kind);
    }

    /// Processes the controller's reply to a registration.
    fn registration(&self, no: u16, frame: &Frame) {
        let Some(kind) = self.registrations.borrow().get(&no).copied() else { return };
        if frame.kind == Kind::Iax(Iax::RegAuth) {
            let answer = self.account.borrow().as_ref().and_then(|me| me.respond(&frame.elements));
            return self.endpoint.send_frame(no, Kind::Iax(kind), answer.unwrap_or_default());
        }
        self.registrations.borrow_mut().remove(&no);
        self.endpoint.legs.borrow_mut().end(no, now());
        self.endpoint.arm(no);
        self.log.record(&self.name, "", EventKind::Other(format!("{:?}", frame.kind)));
    }

    /// Ends an established call.
    pub fn release(&self, sid: &str, code: u8) {
        self.release_with(sid, cause(code.into()));
    }

    fn release_with(&self, sid: &str, elements: Elements) {
        if !self.established.borrow_mut().remove(sid) {
            return;
        }
        let Some(no) = self.endpoint.leg_of(sid) else { return };
        self.endpoint.hung_up.borrow_mut().remove(&no);
        self.releasing.borrow_mut().insert(no, sid.to_owned());
        self.endpoint.hang_up(no, Iax::Hangup, elements);
        self.record_releases();
    }

    /// Records the releases that have passed the path.
    fn record_releases(&self) {
        let delivered = std::mem::take(&mut *self.endpoint.hung_up.borrow_mut());
        for no in delivered {
            if let Some(sid) = self.releasing.borrow_mut().remove(&no) {
                self.log.record(&self.name, &sid, EventKind::Released);
            }
        }
    }

    /// Ends the process: it is silent and its calls are lost.
    pub fn die(&self) {
        if let ServerBehaviour::Model(model) = &*self.behaviour.borrow() {
            model.clear_calls();
            model.set_silent(true);
        }
        self.established.borrow_mut().clear();
        self.releasing.borrow_mut().clear();
        *self.endpoint.legs.borrow_mut() = Legs::default();
        self.log.record(&self.name, "", EventKind::Died);
    }

    /// Restarts the process, cold.
    pub fn restart(&self) {
        if let ServerBehaviour::Model(model) = &*self.behaviour.borrow() {
            model.restart();
        }
    }
}

// ---- Callers ---------------------------------------------------------------------------------------------

/// A simulated IAX2 caller: one socket with many calls.
pub struct IaxCaller {
    /// The account with which it authenticates itself when challenged.
    pub account: RefCell<Option<Account>>,
    name: String,
    to: SocketAddr,
    log: EventLog,
    endpoint: Endpoint,
    /// The call of each leg, also after the leg's end.
    sids: RefCell<BTreeMap<u16, String>>,
    bodies: RefCell<BTreeMap<String, String>>,
    /// Recorded frames, so that a copy does not count as a second answer.
    recorded_frames: RefCell<BTreeMap<u16, BTreeSet<(u8, u32)>>>,
}

impl IaxCaller {
    /// Starts a caller behind a path without faults.
    pub async fn start(log: &EventLog, name: &str, to: SocketAddr) -> Rc<IaxCaller> {
        IaxCaller::start_on_path(log, name, to, Ipv4Addr::LOCALHOST, PathConfig::default(), 2).await
    }

    /// Starts a caller behind a path and at its own address, because the controller limits the set-ups of one address.
    pub async fn start_on_path(
        log: &EventLog,
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
            log: log.clone(),
            endpoint: Endpoint::bind(ip, path, seed).await,
            sids: RefCell::default(),
            bodies: RefCell::default(),
            recorded_frames: RefCell::default(),
        });
        let receiver = caller.clone();
        spawn_local(async move {
            loop {
                match receiver.endpoint.next().await {
                    Received::Sent(_, frame) => receiver.sent(&frame),
                    Received::Delivered(from, frame) => receiver.delivered(from, &frame),
                }
            }
        });
        caller
    }

    /// Records what the controller's frame means for the caller, before the path can lose it.
    fn sent(&self, frame: &Frame) {
        let Some(sid) = self.sids.borrow().get(&frame.dest).cloned() else { return };
        // An INVAL in reply to a NEW is a refusal; later it concerns only the leg.
        let is_recorded = match frame.kind {
            Kind::Iax(Iax::Accept | Iax::Reject | Iax::Hangup) | Kind::Control(Control::Answer) => true,
            Kind::Iax(Iax::Inval) => !self.recorded_frames.borrow().contains_key(&frame.dest),
            _ => false,
        };
        let place = (frame.oseq, frame.timestamp);
        if !is_recorded || !self.recorded_frames.borrow_mut().entry(frame.dest).or_default().insert(place) {
            return;
        }
        match frame.kind {
            Kind::Iax(Iax::Accept) => {
                self.bodies.borrow_mut().insert(sid, description_of(&frame.elements));
            }
            Kind::Control(Control::Answer) => {
                let body = self.bodies.borrow_mut().remove(&sid).unwrap_or_default();
                self.log.record(&self.name, &sid, EventKind::Ready(body));
            }
            _ => {
                let wait = frame.elements.variable("wait").and_then(|ms| ms.parse().ok());
                self.log.record(&self.name, &sid, EventKind::Close(cause_of(frame), wait));
            }
        }
    }

    fn delivered(&self, from: SocketAddr, frame: &Frame) {
        if let Some(LegEvent::Frame(no, frame)) = self.endpoint.receive(from, frame) {
            if frame.kind == Kind::Iax(Iax::AuthReq) {
                let answer = self.account.borrow().as_ref().and_then(|me| me.respond(&frame.elements));
                self.endpoint.send_frame(no, Kind::Iax(Iax::AuthRep), answer.unwrap_or_default());
            }
            if matches!(frame.kind, Kind::Iax(Iax::Reject | Iax::Hangup)) {
                self.endpoint.legs.borrow_mut().end(no, now());
                self.endpoint.arm(no);
            }
        }
    }

    /// Requests a call.
    pub fn open(&self, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.try_open(sid, dest, &default_ask(left_ms, description));
    }

    /// Requests a call; returns `false` if no call number is free.
    pub fn try_open(&self, sid: &str, dest: u16, ask: &Rc<Ask>) -> bool {
        let Some(no) = self.endpoint.legs.borrow_mut().open_outgoing(self.to, sid.to_owned(), now()) else {
            return false;
        };
        self.log.record(&self.name, sid, EventKind::Asked(ask.clone()));
        self.endpoint.number_of.borrow_mut().insert(sid.to_owned(), no);
        self.sids.borrow_mut().insert(no, sid.to_owned());
        self.recorded_frames.borrow_mut().remove(&no);
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
        self.endpoint.send_frame(no, Kind::Iax(Iax::New), elements.with_variable("desc", &ask.text));
        true
    }

    /// Cancels a set-up or ends an established call; does nothing if it has ended.
    pub fn hang_up(&self, sid: &str) {
        if let Some(no) = self.endpoint.leg_of(sid) {
            let mut legs = self.endpoint.legs.borrow_mut();
            if !legs.answered(no) {
                // A NEW without a reply is not retransmitted after its HANGUP.
                legs.cancel_retransmissions(no);
            }
            drop(legs);
            self.endpoint.hang_up(no, Iax::Hangup, cause(16));
        }
    }

    /// Sends a frame without elements on a call's leg.
    pub fn send_frame(&self, sid: &str, kind: Kind) {
        let no = self.endpoint.leg_of(sid).expect("the call has a leg");
        self.endpoint.send_frame(no, kind, Elements::default());
    }
}
