//! A simulated SIP call server on a socket. It behaves as a test tells it to, or as a [`ServerModel`] does.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use lockpoint::core::Sid;
use lockpoint::upstream::sip::message::{self, StartLine};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle};

use crate::event_log::{EventKind, EventLog};
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

/// The description with which a modelled call server answers a call.
pub fn model_answer(sid: &str) -> String {
    format!("{sid}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n")
}

type Writer = mpsc::UnboundedSender<Vec<u8>>;

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
    events: EventLog,
    connections: RefCell<Vec<(Writer, Rc<Notify>)>>,
    listening: RefCell<Option<JoinHandle<()>>>,
    /// Messages that are sent on the next connection because none was open.
    queued_messages: RefCell<Vec<Vec<u8>>>,
    /// Releases that are not yet confirmed, by call, with the connection on which each was sent. If that connection ends
    /// first, the release is sent again on the next one.
    unconfirmed_releases: RefCell<BTreeMap<String, (Writer, Vec<u8>)>>,
}

impl SipServer {
    /// Starts a call server on a free port.
    pub async fn start(events: &EventLog, name: &str, behaviour: ServerBehaviour) -> Rc<SipServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let server = Rc::new(SipServer {
            name: name.to_owned(),
            at: listener.local_addr().expect("the local address"),
            behaviour: RefCell::new(behaviour),
            pieces: Cell::new(0),
            events: events.clone(),
            connections: RefCell::default(),
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
        self.connections.borrow_mut().retain(|(writer, _)| !writer.is_closed());
        self.connections.borrow_mut().push((writer.clone(), reset.clone()));
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
        self.queued_messages.borrow_mut().drain(..).for_each(|release| drop(writer.send(release)));
        self.resend_releases(&writer);
        let mut bytes = Vec::new();
        if stream.set_nodelay(true).is_err() {
            return;
        }
        loop {
            let mut chunk = [0; 4096];
            tokio::select! {
                Some(out) = queue.recv() => {
                    if write_in_pieces(self.pieces.get(), &mut stream, &out).await.is_err() { return; }
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
                            self.handle(&message, &writer);
                        }
                    }
                    _ => return,
                },
            }
        }
    }

    fn handle(self: &Rc<Self>, m: &message::Message, writer: &Writer) {
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
                        let (server, m, writer) = (self.clone(), m.clone(), writer.clone());
                        model.handle_set_up(&m.call_id.clone(), move |event| {
                            server.send_model_event(&m, &writer, event)
                        });
                    }
                }
            }
            "CANCEL" => {
                record(EventKind::Cancel);
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
                confirm();
            }
            _ => {}
        }
    }

    /// Sends what its model emits for a set-up.
    fn send_model_event(&self, m: &message::Message, writer: &Writer, event: ModelEvent) {
        let record = |kind| self.events.record(&self.name, &m.call_id, kind);
        let bytes = match event {
            ModelEvent::Answer => {
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
            self.send(&bytes);
        }
    }

    /// Sends the unconfirmed releases of ended connections again.
    fn resend_releases(&self, writer: &Writer) {
        for (on, release) in
            self.unconfirmed_releases.borrow_mut().values_mut().filter(|(on, _)| on.is_closed())
        {
            let _ = writer.send(release.clone());
            *on = writer.clone();
        }
    }

    /// Waits until all its connections have ended: messages sent after that are queued for the next connection.
    pub async fn wait_until_disconnected(&self) {
        let disconnected = async {
            while self.connections.borrow().iter().any(|(writer, _)| !writer.is_closed()) {
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
        if let Some(on) = self.open_connection() {
            self.unconfirmed_releases.borrow_mut().insert(sid.to_owned(), (on, release.to_vec()));
        }
        self.send(&release);
    }

    /// Sends bytes on the oldest open connection, or on the next one if none is open.
    pub fn send(&self, bytes: &[u8]) {
        match self.open_connection() {
            Some(writer) => drop(writer.send(bytes.to_vec())),
            None => self.queued_messages.borrow_mut().push(bytes.to_vec()),
        }
    }

    /// The oldest open connection.
    fn open_connection(&self) -> Option<Writer> {
        let connections = self.connections.borrow();
        connections.iter().find(|(writer, _)| !writer.is_closed()).map(|(writer, _)| writer.clone())
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
        self.unconfirmed_releases.borrow_mut().clear();
        self.reset_connections();
    }

    /// Restarts the process, cold, at the same address.
    pub async fn restart(self: &Rc<Self>) -> std::io::Result<()> {
        if let ServerBehaviour::Model(model) = &*self.behaviour.borrow() {
            model.restart();
        }
        self.listen(TcpListener::bind(self.at).await?);
        Ok(())
    }

    /// Resets its connections.
    pub fn reset_connections(&self) {
        self.connections.borrow_mut().drain(..).for_each(|(_, reset)| reset.notify_one());
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
