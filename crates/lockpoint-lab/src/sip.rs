//! A SIP call server on a socket: what a test tells it to do, or a [`ServerModel`] behind it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use lockpoint::core::Sid;
use lockpoint::upstream::sip::message::{self, Start};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle};

use crate::server_model::{ModelEvent, ServerModel};
use crate::world::{EventKind, EventLog};

/// Writes in pieces of so many bytes, each a packet of its own; 0: whole.
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

/// What a call server does with a set-up.
#[derive(Debug, Clone)]
pub enum ServerBehaviour {
    /// Answers with this description.
    Answer(String),
    /// Refuses with this code (SIP) or cause (IAX2) and these SIP headers.
    Refuse(u16, String),
    /// Nothing.
    Silent,
    /// Says this as it stands, `{sid}` being the call's name (SIP).
    Raw(String),
    /// What a model of a call server does.
    Model(Rc<ServerModel>),
}

/// The description that a modelled call server gives for a call.
pub fn model_answer(sid: &str) -> String {
    format!("{sid}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n")
}

type Writer = mpsc::UnboundedSender<Vec<u8>>;

/// A SIP call server.
pub struct SipServer {
    /// Its name in the list.
    pub name: String,
    /// Where it listens.
    pub at: SocketAddr,
    /// What it does with a set-up.
    pub behaviour: RefCell<ServerBehaviour>,
    /// It writes in pieces of so many bytes; 0: whole.
    pub pieces: Cell<usize>,
    world: EventLog,
    connections: RefCell<Vec<(Writer, Rc<Notify>)>>,
    listening: RefCell<Option<JoinHandle<()>>>,
    /// Releases that found no connection open.
    owed: RefCell<Vec<Vec<u8>>>,
    /// Releases that nobody has answered yet, by call, and the connections they were said on: where one ends before that,
    /// they are said again on the next that opens.
    unheard: RefCell<BTreeMap<String, (Writer, Vec<u8>)>>,
}

impl SipServer {
    /// Starts one on a port that the system picks.
    pub async fn start(world: &EventLog, name: &str, does: ServerBehaviour) -> Rc<SipServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let server = Rc::new(SipServer {
            name: name.to_owned(),
            at: listener.local_addr().expect("an address"),
            behaviour: RefCell::new(does),
            pieces: Cell::new(0),
            world: world.clone(),
            connections: RefCell::default(),
            listening: RefCell::default(),
            owed: RefCell::default(),
            unheard: RefCell::default(),
        });
        server.listen(listener);
        server
    }

    fn listen(self: &Rc<Self>, listener: TcpListener) {
        let serving = self.clone();
        let listening = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
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
            ServerBehaviour::Model(machine) => machine.report(),
            // No queue: a test sets what the processor says by what it does with a set-up. An empty one, said on a
            // connection that comes up late, would take back a wait that the test has just let somebody see.
            _ => "x0:500;x1:500;util:0.1".to_owned(),
        };
        let state = format!(
            "NOTIFY sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCSeq: 1 NOTIFY\r\nP-Report: {report}\r\nContent-Length: 0\r\n\r\n"
        );
        let _ = writer.send(state.into_bytes());
        self.owed.borrow_mut().drain(..).for_each(|release| drop(writer.send(release)));
        self.say_again(&writer);
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
                            self.take(&message, &writer);
                        }
                    }
                    _ => return,
                },
            }
        }
    }

    fn take(self: &Rc<Self>, m: &message::Message, writer: &Writer) {
        let Start::Request(method) = &m.start else {
            if m.cseq.1 == "BYE" {
                self.unheard.borrow_mut().remove(&m.call_id);
            }
            return;
        };
        let note = |what| self.world.record(&self.name, &m.call_id, what);
        let does = self.behaviour.borrow().clone();
        let heard = || {
            let mute = matches!(&does, ServerBehaviour::Model(machine) if machine.silent());
            if !mute {
                let _ = writer.send(response(200, m, "", ""));
            }
        };
        match method.as_str() {
            "INVITE" => {
                let body = String::from_utf8_lossy(&m.body).into_owned();
                note(EventKind::SetUp(m.kind.clone(), m.number.clone(), body));
                match does {
                    ServerBehaviour::Answer(description) => {
                        note(EventKind::Answered(description.clone()));
                        let _ = writer.send(response(200, m, "", &description));
                    }
                    ServerBehaviour::Refuse(code, headers) => {
                        note(EventKind::Refused);
                        let _ = writer.send(response(code, m, &headers, ""));
                    }
                    ServerBehaviour::Silent => {}
                    ServerBehaviour::Raw(text) => {
                        let _ = writer.send(text.replace("{sid}", &m.call_id).into_bytes());
                    }
                    ServerBehaviour::Model(machine) => {
                        let (server, m, writer) = (self.clone(), m.clone(), writer.clone());
                        machine
                            .handle_set_up(&m.call_id.clone(), move |says| server.say_of(&m, &writer, says));
                    }
                }
            }
            "CANCEL" => {
                note(EventKind::Cancel);
                if let ServerBehaviour::Model(machine) = &does {
                    machine.end_call(&m.call_id);
                }
                heard();
            }
            "BYE" => {
                note(EventKind::Bye(m.cause.unwrap_or(0)));
                if let ServerBehaviour::Model(machine) = &does {
                    machine.end_call(&m.call_id);
                }
                heard();
            }
            _ => {}
        }
    }

    /// What its model says of a set-up.
    fn say_of(&self, m: &message::Message, writer: &Writer, says: ModelEvent) {
        let note = |what| self.world.record(&self.name, &m.call_id, what);
        let bytes = match says {
            ModelEvent::Answer => {
                let description = model_answer(&m.call_id);
                note(EventKind::Answered(description.clone()));
                response(200, m, "", &description)
            }
            ModelEvent::Full(wait, report) => {
                note(EventKind::Refused);
                let ms = wait.0 / 1000;
                let headers = format!("P-Reason: queue_long\r\nP-Line-Ms: {ms}\r\nP-Report: {report}\r\n");
                response(503, m, &headers, "")
            }
            ModelEvent::Error => {
                note(EventKind::Refused);
                response(500, m, "", "")
            }
            ModelEvent::Release(report) => {
                return self.release_with(&m.call_id, 16, &format!("P-Report: {report}\r\n"));
            }
            ModelEvent::Down => {
                self.world.record(&self.name, "", EventKind::Tipped);
                return self.die();
            }
        };
        if writer.send(bytes.clone()).is_err() {
            self.send(&bytes);
        }
    }

    /// Says again what was said on a connection that has ended since, and that nobody has answered.
    fn say_again(&self, writer: &Writer) {
        for (on, release) in self.unheard.borrow_mut().values_mut().filter(|(on, _)| on.is_closed()) {
            let _ = writer.send(release.clone());
            *on = writer.clone();
        }
    }

    /// Waits until all its connections have ended: what it says from then on waits for the next one.
    pub async fn wait_until_disconnected(&self) {
        let gone = async {
            while self.connections.borrow().iter().any(|(writer, _)| !writer.is_closed()) {
                tokio::time::sleep(std::time::Duration::from_millis(2)).await;
            }
        };
        tokio::time::timeout(std::time::Duration::from_secs(30), gone).await.expect("its connections end");
    }

    /// Ends a call that stands here.
    pub fn release(&self, sid: &str, cause: u16) {
        self.release_with(sid, cause, "");
    }

    fn release_with(&self, sid: &str, cause: u16, headers: &str) {
        self.world.record(&self.name, sid, EventKind::Released);
        let Some(name) = Sid::parse(sid) else { return };
        let headers = format!("Reason: Q.850;cause={cause}\r\n{headers}");
        let release = message::request("BYE", "peer", name, (7, "BYE"), &headers, "");
        if let Some(on) = self.open_connection() {
            self.unheard.borrow_mut().insert(sid.to_owned(), (on, release.to_vec()));
        }
        self.send(&release);
    }

    /// Says something on the oldest connection that is open, else on the next one.
    pub fn send(&self, bytes: &[u8]) {
        match self.open_connection() {
            Some(writer) => drop(writer.send(bytes.to_vec())),
            None => self.owed.borrow_mut().push(bytes.to_vec()),
        }
    }

    /// The oldest connection that is open.
    fn open_connection(&self) -> Option<Writer> {
        let connections = self.connections.borrow();
        connections.iter().find(|(writer, _)| !writer.is_closed()).map(|(writer, _)| writer.clone())
    }

    /// The process dies: its connections are reset and new ones refused.
    pub fn die(&self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
        if let ServerBehaviour::Model(machine) = &*self.behaviour.borrow() {
            machine.clear_calls();
            self.world.record(&self.name, "", EventKind::Died);
        }
        self.owed.borrow_mut().clear();
        self.unheard.borrow_mut().clear();
        self.reset_connections();
    }

    /// The process starts again at its address, and cold.
    pub async fn restart(self: &Rc<Self>) -> std::io::Result<()> {
        if let ServerBehaviour::Model(machine) = &*self.behaviour.borrow() {
            machine.restart();
        }
        self.listen(TcpListener::bind(self.at).await?);
        Ok(())
    }

    /// Its connections are reset.
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
