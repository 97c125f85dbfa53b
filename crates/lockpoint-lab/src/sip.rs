//! A simulated SIP call server on a socket. It behaves as a test tells it to, or as a [`ServerModel`] does.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;

use lockpoint::core::Sid;
use lockpoint::upstream::sip::message::{self, StartLine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle};

use crate::event_log::{EventKind, EventLog};
use crate::ports::listen_again;
use crate::server_model::{ModelEvent, ServerModel};

/// Writes in pieces of `pieces` bytes, so that each can travel in its own packet; 0: in one piece.
pub async fn write_in_pieces(
    pieces: usize,
    writer: &mut (impl AsyncWriteExt + Unpin),
    bytes: &[u8],
) -> std::io::Result<()> {
    for piece in bytes.chunks(if pieces == 0 { bytes.len().max(1) } else { pieces }) {
        writer.write_all(piece).await?;
        if pieces > 0 {
            tokio::task::yield_now().await;
        }
    }
    Ok(())
}

/// How a call server treats a set-up.
#[derive(Debug, Clone)]
pub enum ServerBehaviour {
    /// It answers with this description.
    Answer(String),
    /// It refuses with this status code (SIP) or cause (IAX2) and these SIP headers.
    Refuse(u16, String),
    /// It does not respond.
    Silent,
    /// It sends this text unchanged but for `{sid}`, which becomes the call's name (SIP only).
    Raw(String),
    /// It does what the model of a call server does.
    Model(Rc<ServerModel>),
}

/// A fault of one answer to a set-up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnswerFault {
    /// The connection is reset in the middle of it.
    CutOff,
    /// Its description is not text.
    NotText,
    /// It says a length that is too small.
    WrongLength,
    /// It comes twice.
    Twice,
    /// It cannot be read.
    Unreadable,
}

/// Headers and start of an answer that a call server sends although the call is not established there.
const UNREADABLE_ANSWER: &[u8] = b"SIP/2.0 two-hundred OK\r\n\r\n";
/// How many bytes the length of an answer with a wrong length is too small by.
const MISSING_BYTES: usize = 20;

/// The description with which a modelled call server answers a call.
pub fn model_answer(sid: &str) -> String {
    format!("{sid}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n")
}

type Writer = mpsc::UnboundedSender<Vec<u8>>;

/// An open connection.
struct Connection {
    /// The address of the controller that opened it: what concerns a call goes to the controller that set it up.
    controller: IpAddr,
    writer: Writer,
    reset: Rc<Notify>,
}

/// A release that is not confirmed.
struct UnconfirmedRelease {
    controller: IpAddr,
    /// The connection on which it was sent.
    writer: Writer,
    request: Vec<u8>,
}

/// A simulated SIP call server.
pub struct SipServer {
    /// Its name in the bulletin.
    pub name: String,
    /// The address at which it listens.
    pub at: SocketAddr,
    /// How it treats a set-up.
    pub behaviour: RefCell<ServerBehaviour>,
    /// The size of the pieces in which it writes, in bytes; 0: in one piece.
    pub pieces: Cell<usize>,
    /// Of so many releases of the controller one is not confirmed; 0: all are.
    pub unconfirmed_every: Cell<u32>,
    received_releases: Cell<u32>,
    /// The faults of the next answers, the next one last.
    pub answer_faults: RefCell<Vec<AnswerFault>>,
    /// Set-ups without a final response, with their connections.
    set_ups: RefCell<BTreeMap<String, Writer>>,
    events: EventLog,
    connections: RefCell<Vec<Connection>>,
    /// The controllers of the calls.
    controllers: RefCell<BTreeMap<String, IpAddr>>,
    listening: RefCell<Option<JoinHandle<()>>>,
    /// Messages that are sent on the next connection of a controller because none was open.
    queued_messages: RefCell<Vec<(Option<IpAddr>, Vec<u8>)>>,
    /// Releases that are not yet confirmed, by call, with the connection on which each was sent. If that connection ends
    /// first, the release is sent again on the next one of the same controller.
    unconfirmed_releases: RefCell<BTreeMap<String, UnconfirmedRelease>>,
}

impl SipServer {
    /// Starts a call server on a free port.
    pub async fn start(events: &EventLog, name: &str, behaviour: ServerBehaviour) -> Rc<SipServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        SipServer::start_on(events, name, behaviour, listener)
    }

    /// Starts a call server on a socket that listens already.
    pub fn start_on(
        events: &EventLog,
        name: &str,
        behaviour: ServerBehaviour,
        listener: TcpListener,
    ) -> Rc<SipServer> {
        let server = Rc::new(SipServer {
            name: name.to_owned(),
            at: listener.local_addr().expect("the local address"),
            behaviour: RefCell::new(behaviour),
            pieces: Cell::new(0),
            unconfirmed_every: Cell::new(0),
            received_releases: Cell::new(0),
            answer_faults: RefCell::default(),
            set_ups: RefCell::default(),
            events: events.clone(),
            connections: RefCell::default(),
            controllers: RefCell::default(),
            listening: RefCell::default(),
            queued_messages: RefCell::default(),
            unconfirmed_releases: RefCell::default(),
        });
        server.listen(listener);
        server
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let server = self.clone();
        let listening = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(server.clone().serve(stream));
            }
        });
        *self.listening.borrow_mut() = Some(listening);
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let (writer, mut queue) = mpsc::unbounded_channel::<Vec<u8>>();
        let reset = Rc::new(Notify::new());
        let controller = stream.peer_addr().map_or(Ipv4Addr::LOCALHOST.into(), |address| address.ip());
        self.connections.borrow_mut().retain(|connection| !connection.writer.is_closed());
        let connection = Connection { controller, writer: writer.clone(), reset: reset.clone() };
        self.connections.borrow_mut().push(connection);
        let report = match &*self.behaviour.borrow() {
            ServerBehaviour::Model(model) => model.report(),
            // No queue length: a test determines the load through the refusals. An empty queue, reported on a connection
            // that opens late, would revoke the wait of a refusal that the controller has just received.
            _ => "x0:500;x1:500;util:0.1".to_owned(),
        };
        let state = format!(
            "NOTIFY sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCSeq: 1 NOTIFY\r\nP-Report: {report}\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = writer.send(state.into_bytes());
        let is_for_other = |to: &Option<IpAddr>| to.is_some_and(|to| to != controller);
        self.queued_messages
            .borrow_mut()
            .retain(|(to, message)| is_for_other(to) || writer.send(message.clone()).is_err());
        self.resend_releases(controller, &writer);
        self.exchange(controller, &mut stream, &writer, &mut queue, &reset).await;
        self.give_up_set_ups(&writer);
    }

    /// The end of a connection gives up the set-ups on it that have no final response.
    fn give_up_set_ups(&self, writer: &Writer) {
        let ServerBehaviour::Model(model) = self.behaviour.borrow().clone() else { return };
        let mut set_ups = self.set_ups.borrow_mut();
        let ended: Vec<String> =
            set_ups.iter().filter(|(_, on)| on.same_channel(writer)).map(|(sid, _)| sid.clone()).collect();
        for sid in ended {
            set_ups.remove(&sid);
            model.end_call(&sid);
            self.events.record(&self.name, &sid, EventKind::Cancel);
        }
    }

    /// Reads and writes on a connection until it ends.
    async fn exchange(
        self: &Rc<Self>,
        controller: IpAddr,
        stream: &mut TcpStream,
        writer: &Writer,
        queue: &mut mpsc::UnboundedReceiver<Vec<u8>>,
        reset: &Notify,
    ) {
        let mut bytes = Vec::new();
        if stream.set_nodelay(true).is_err() {
            return;
        }
        loop {
            let mut chunk = [0; 4096];
            tokio::select! {
                Some(out) = queue.recv() => {
                    if write_in_pieces(self.pieces.get(), stream, &out).await.is_err() { return; }
                }
                _ = reset.notified() => {
                    let _ = stream.set_zero_linger();
                    return;
                }
                n = stream.read(&mut chunk) => match n {
                    Ok(n) if n > 0 => {
                        bytes.extend_from_slice(&chunk[..n]);
                        while let Ok(Some((message, used))) = message::parse(&bytes) {
                            bytes.drain(..used);
                            self.handle(controller, &message, writer);
                        }
                    }
                    _ => return,
                },
            }
        }
    }

    fn handle(self: &Rc<Self>, controller: IpAddr, m: &message::Message, writer: &Writer) {
        let StartLine::Request(method) = &m.start else {
            if m.cseq.1 == "BYE" {
                self.unconfirmed_releases.borrow_mut().remove(&m.call_id);
            }
            return;
        };
        let record = |kind| self.events.record(&self.name, &m.call_id, kind);
        let behaviour = self.behaviour.borrow().clone();
        let confirm = || {
            let silent = matches!(&behaviour, ServerBehaviour::Model(model) if model.silent());
            if !silent {
                let _ = writer.send(response(200, m, "", ""));
            }
        };
        match method.as_str() {
            "INVITE" => {
                let body = String::from_utf8_lossy(&m.body).into_owned();
                record(EventKind::SetUp(m.kind.clone(), m.number.clone(), body));
                self.controllers.borrow_mut().insert(m.call_id.clone(), controller);
                match behaviour {
                    ServerBehaviour::Answer(description) => {
                        record(EventKind::Answered(description.clone()));
                        let _ = writer.send(response(200, m, "", &description));
                    }
                    ServerBehaviour::Refuse(code, headers) => {
                        record(EventKind::Refused);
                        let _ = writer.send(response(code, m, &headers, ""));
                    }
                    ServerBehaviour::Silent => {}
                    ServerBehaviour::Raw(text) => {
                        let _ = writer.send(text.replace("{sid}", &m.call_id).into_bytes());
                    }
                    ServerBehaviour::Model(model) => {
                        self.set_ups.borrow_mut().insert(m.call_id.clone(), writer.clone());
                        let (server, m, writer) = (self.clone(), m.clone(), writer.clone());
                        model.handle_set_up(&m.call_id.clone(), move |event| {
                            server.send_model_event(&m, &writer, event)
                        });
                    }
                }
            }
            "CANCEL" => {
                record(EventKind::Cancel);
                self.set_ups.borrow_mut().remove(&m.call_id);
                if let ServerBehaviour::Model(model) = &behaviour {
                    model.end_call(&m.call_id);
                }
                confirm();
            }
            "BYE" => {
                record(EventKind::Bye(m.cause.unwrap_or(0)));
                if let ServerBehaviour::Model(model) = &behaviour {
                    model.end_call(&m.call_id);
                }
                if self.confirms_release() {
                    confirm();
                }
            }
            _ => {}
        }
    }

    fn confirms_release(&self) -> bool {
        self.received_releases.set(self.received_releases.get() + 1);
        let every = self.unconfirmed_every.get();
        every == 0 || !self.received_releases.get().is_multiple_of(every)
    }

    /// Sends what its model emits for a set-up.
    fn send_model_event(&self, m: &message::Message, writer: &Writer, event: ModelEvent) {
        let record = |kind| self.events.record(&self.name, &m.call_id, kind);
        if !matches!(event, ModelEvent::Release(_) | ModelEvent::Down) {
            self.set_ups.borrow_mut().remove(&m.call_id);
        }
        let bytes = match event {
            ModelEvent::Answer => {
                let fault = self.answer_faults.borrow_mut().pop();
                if let Some(fault) = fault {
                    return self.send_faulty_answer(m, writer, fault);
                }
                let description = model_answer(&m.call_id);
                record(EventKind::Answered(description.clone()));
                response(200, m, "", &description)
            }
            ModelEvent::Full(wait, report) => {
                record(EventKind::Refused);
                let ms = wait.0 / 1000;
                let headers = format!("P-Reason: queue_long\r\nP-Line-Ms: {ms}\r\nP-Report: {report}\r\n");
                response(503, m, &headers, "")
            }
            ModelEvent::Error => {
                record(EventKind::Refused);
                response(500, m, "", "")
            }
            ModelEvent::Release(report) => {
                return self.release_with(&m.call_id, 16, &format!("P-Report: {report}\r\n"));
            }
            ModelEvent::Down => {
                self.events.record(&self.name, "", EventKind::Tipped);
                return self.die();
            }
        };
        if writer.send(bytes.clone()).is_err() {
            self.send_to(self.controller_of(&m.call_id), &bytes);
        }
    }

    fn send_faulty_answer(&self, m: &message::Message, writer: &Writer, fault: AnswerFault) {
        let description = model_answer(&m.call_id);
        let whole = response(200, m, "", &description);
        let bytes = match fault {
            AnswerFault::CutOff => whole[..whole.len() - MISSING_BYTES].to_vec(),
            AnswerFault::NotText => {
                let mut bytes = whole;
                let last = bytes.len() - 3;
                bytes[last] = 0xff;
                bytes
            }
            AnswerFault::WrongLength => {
                let shorter = response(200, m, "", &description[..description.len() - MISSING_BYTES]);
                [&shorter[..], &description.as_bytes()[description.len() - MISSING_BYTES..]].concat()
            }
            AnswerFault::Twice => {
                self.events.record(&self.name, &m.call_id, EventKind::Answered(description));
                [&whole[..], &whole[..]].concat()
            }
            AnswerFault::Unreadable => UNREADABLE_ANSWER.to_vec(),
        };
        let _ = writer.send(bytes);
        if fault != AnswerFault::Twice {
            self.events.record(&self.name, &m.call_id, EventKind::SpoiltAnswer);
        }
        if matches!(fault, AnswerFault::CutOff | AnswerFault::Unreadable) {
            // The set-up stays open until its connection ends.
            self.set_ups.borrow_mut().insert(m.call_id.clone(), writer.clone());
        }
        if fault == AnswerFault::CutOff {
            self.reset_connection_soon(writer);
        }
    }

    /// Resets the connection of a writer once it has written what is queued.
    fn reset_connection_soon(&self, writer: &Writer) {
        let connections = self.connections.borrow();
        let connection = connections.iter().find(|connection| connection.writer.same_channel(writer));
        let Some(reset) = connection.map(|connection| connection.reset.clone()) else { return };
        let (events, name) = (self.events.clone(), self.name.clone());
        spawn_local(async move {
            tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            events.record(&name, "", EventKind::ConnectionsReset);
            reset.notify_one();
        });
    }

    /// Releases all calls as cut, as a process does that is stopped in order.
    pub fn cut_calls(&self) {
        let behaviour = self.behaviour.borrow().clone();
        let ServerBehaviour::Model(model) = behaviour else { return };
        for sid in model.established_calls() {
            model.end_call(&sid);
            self.release_with(&sid, 41, "");
        }
    }

    /// Sends the unconfirmed releases of a controller's ended connections again.
    fn resend_releases(&self, controller: IpAddr, writer: &Writer) {
        for release in self.unconfirmed_releases.borrow_mut().values_mut() {
            if release.controller == controller && release.writer.is_closed() {
                let _ = writer.send(release.request.clone());
                release.writer = writer.clone();
            }
        }
    }

    /// The controller that set up a call; `None` if none did.
    fn controller_of(&self, sid: &str) -> Option<IpAddr> {
        self.controllers.borrow().get(sid).copied()
    }

    /// Waits until all its connections have ended: messages sent after that are queued for the next connection.
    pub async fn wait_until_disconnected(&self) {
        let disconnected = async {
            while self.connections.borrow().iter().any(|connection| !connection.writer.is_closed()) {
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(std::time::Duration::from_secs(30), disconnected)
            .await
            .expect("all connections end within 30 s");
    }

    /// Ends an established call.
    pub fn release(&self, sid: &str, cause: u16) {
        self.release_with(sid, cause, "");
    }

    fn release_with(&self, sid: &str, cause: u16, headers: &str) {
        self.events.record(&self.name, sid, EventKind::Released);
        let Some(name) = Sid::parse(sid) else { return };
        let headers = format!("Reason: Q.850;cause={cause}\r\n{headers}");
        let release = message::request("BYE", "peer", name, (7, "BYE"), &headers, "");
        let controller = self.controller_of(sid);
        self.controllers.borrow_mut().remove(sid);
        let open = self.open_connection(controller);
        let Some(of) = controller.or(open.as_ref().map(|(of, _)| *of)) else {
            return self.send_to(None, &release);
        };
        // Without a connection it waits for the next one, like those whose connection has ended.
        let writer = open.map_or_else(|| mpsc::unbounded_channel().0, |(_, writer)| writer);
        let _ = writer.send(release.to_vec());
        let unconfirmed = UnconfirmedRelease { controller: of, writer, request: release.to_vec() };
        self.unconfirmed_releases.borrow_mut().insert(sid.to_owned(), unconfirmed);
    }

    /// Sends bytes on the oldest open connection, or on the next one if none is open.
    pub fn send(&self, bytes: &[u8]) {
        self.send_to(None, bytes);
    }

    /// The same with the connections of one controller.
    fn send_to(&self, controller: Option<IpAddr>, bytes: &[u8]) {
        match self.open_connection(controller) {
            Some((_, writer)) => drop(writer.send(bytes.to_vec())),
            None => self.queued_messages.borrow_mut().push((controller, bytes.to_vec())),
        }
    }

    /// The oldest open connection of a controller, or of any if `None`.
    fn open_connection(&self, controller: Option<IpAddr>) -> Option<(IpAddr, Writer)> {
        let connections = self.connections.borrow();
        let open = connections.iter().filter(|connection| !connection.writer.is_closed());
        let mut of_controller =
            open.filter(|c| controller.is_none_or(|controller| c.controller == controller));
        of_controller.next().map(|connection| (connection.controller, connection.writer.clone()))
    }

    /// Ends the process: its connections are reset and new ones refused.
    pub fn die(&self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
        if let ServerBehaviour::Model(model) = &*self.behaviour.borrow() {
            model.clear_calls();
            self.events.record(&self.name, "", EventKind::Died);
        }
        self.queued_messages.borrow_mut().clear();
        self.set_ups.borrow_mut().clear();
        self.unconfirmed_releases.borrow_mut().clear();
        self.reset_connections();
    }

    /// Restarts the process, cold, at the same address.
    pub async fn restart(self: &Rc<Self>) -> std::io::Result<()> {
        if let ServerBehaviour::Model(model) = &*self.behaviour.borrow() {
            model.restart();
        }
        self.listen(listen_again(self.at).await?);
        Ok(())
    }

    /// Resets its connections.
    pub fn reset_connections(&self) {
        self.connections.borrow_mut().drain(..).for_each(|connection| connection.reset.notify_one());
    }
}

fn response(code: u16, to: &message::Message, headers: &str, body: &str) -> Vec<u8> {
    format!(
        "SIP/2.0 {code} X\r\nVia: {}\r\nCall-ID: {}\r\nCSeq: {} {}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        to.via,
        to.call_id,
        to.cseq.0,
        to.cseq.1,
        body.len()
    )
    .into_bytes()
}
