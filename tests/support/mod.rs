//! Stand-ins on loopback, all on ports that the system picks: SIP call servers, the bulletin, JSON-lines callers,
//! IAX2 callers and call servers, a resolver. They write down what they see; tests wait for what is written.
#![allow(dead_code)] // each test file uses its own part

pub mod iax2;

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::config::{parse_platform, InstanceConfig};
use lockpoint::core::Sid;
use lockpoint::counters::Counters;
use lockpoint::instance::{Bound, Instance};
use lockpoint::upstream::sip::message::{self, Start};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, Notify};
use tokio::task::{spawn_local, JoinHandle, LocalSet};

/// What a stand-in saw.
#[derive(Debug, Clone, PartialEq)]
pub enum What {
    /// A set-up reached a call server: class, number, description.
    SetUp(String, String, String),
    /// A set-up was given up there.
    Cancel,
    /// A call that stood was ended there.
    Bye(u16),
    /// A call server answered, refused, released.
    Answered(String),
    Refused,
    Released,
    /// A caller sent its set-up.
    Asked,
    /// A caller got an answer, a refusal or failure (cause and wait), a release, word that its release was heard.
    Ready(String),
    Close(u16, Option<u64>),
    Closed,
    /// A caller got something else.
    Other(String),
    /// A list was put on the bulletin.
    Told(String),
}

#[derive(Debug, Clone)]
pub struct Seen {
    pub at: Instant,
    pub who: String,
    pub sid: String,
    pub what: What,
}

/// What all stand-ins saw, in order.
#[derive(Clone, Default)]
pub struct World(Rc<(RefCell<Vec<Seen>>, Notify)>);

impl World {
    pub fn note(&self, who: &str, sid: &str, what: What) {
        let seen = Seen { at: Instant::now(), who: who.to_owned(), sid: sid.to_owned(), what };
        self.0 .0.borrow_mut().push(seen);
        self.0 .1.notify_waiters();
    }
    pub fn all(&self) -> Vec<Seen> {
        self.0 .0.borrow().clone()
    }
    pub fn count(&self, which: impl Fn(&Seen) -> bool) -> usize {
        self.0 .0.borrow().iter().filter(|seen| which(seen)).count()
    }
    /// Waits until something was seen.
    pub async fn until(&self, name: &str, which: impl Fn(&Seen) -> bool) -> Seen {
        self.until_all(name, 1, which).await.remove(0)
    }
    /// Waits until so many were seen.
    pub async fn until_all(&self, name: &str, n: usize, which: impl Fn(&Seen) -> bool) -> Vec<Seen> {
        let wait = async {
            loop {
                let changed = self.0 .1.notified();
                let found: Vec<Seen> = self.0 .0.borrow().iter().filter(|s| which(s)).cloned().collect();
                if found.len() >= n {
                    return found;
                }
                changed.await;
            }
        };
        match tokio::time::timeout(Duration::from_secs(30), wait).await {
            Ok(found) => found,
            Err(_) => panic!(
                "never seen: {name}; seen: {:#?}",
                self.all().iter().rev().take(30).collect::<Vec<_>>()
            ),
        }
    }
    /// The one final answer of a call.
    pub async fn answer(&self, sid: &str) -> Seen {
        let final_one = |s: &Seen| s.sid == sid && matches!(s.what, What::Ready(_) | What::Close(..));
        self.until(&format!("an answer to {sid}"), final_one).await
    }
}

/// Writes in pieces of so many bytes, each a packet of its own; 0: whole.
async fn write_in(
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

/// Runs a test's world on one thread.
pub fn on_one_thread(test: impl std::future::Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, test);
}

// ---- Call servers ----------------------------------------------------------------------------------------

/// What a call server does with a set-up.
#[derive(Debug, Clone)]
pub enum Does {
    Answer(String),
    Refuse(u16, String),
    Silent,
    /// Says this as it stands, `{sid}` being the call's name.
    Say(String),
}

/// How the bulletin spoils its next answer that tells something.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Break {
    Off,
    Stall,
    Dribble,
}

type Writer = mpsc::UnboundedSender<Vec<u8>>;

pub struct SipServer {
    pub name: String,
    pub at: SocketAddr,
    pub does: RefCell<Does>,
    /// It writes in pieces of so many bytes; 0: whole.
    pub pieces: Cell<usize>,
    world: World,
    connections: RefCell<Vec<(Writer, Rc<Notify>)>>,
    listening: RefCell<Option<JoinHandle<()>>>,
}

impl SipServer {
    pub async fn start(world: &World, name: &str, does: Does) -> Rc<SipServer> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let server = Rc::new(SipServer {
            name: name.to_owned(),
            at,
            does: RefCell::new(does),
            pieces: Cell::new(0),
            world: world.clone(),
            connections: RefCell::default(),
            listening: RefCell::default(),
        });
        let serving = server.clone();
        let listening = spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        *server.listening.borrow_mut() = Some(listening);
        server
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let (writer, mut queue) = mpsc::unbounded_channel::<Vec<u8>>();
        let reset = Rc::new(Notify::new());
        self.connections.borrow_mut().push((writer.clone(), reset.clone()));
        let state = b"NOTIFY sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCSeq: 1 NOTIFY\r\nP-Report: x0:500;x1:500;util:0.1;queue:0\r\nContent-Length: 0\r\n\r\n";
        let _ = writer.send(state.to_vec());
        let mut bytes = Vec::new();
        stream.set_nodelay(true).expect("set");
        loop {
            let mut chunk = [0; 4096];
            tokio::select! {
                Some(out) = queue.recv() => {
                    if write_in(self.pieces.get(), &mut stream, &out).await.is_err() { return; }
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

    fn take(&self, m: &message::Message, writer: &Writer) {
        let Start::Request(method) = &m.start else { return };
        let note = |what| self.world.note(&self.name, &m.call_id, what);
        match method.as_str() {
            "INVITE" => {
                let body = String::from_utf8_lossy(&m.body).into_owned();
                note(What::SetUp(m.kind.clone(), m.number.clone(), body));
                let does = self.does.borrow().clone();
                match does {
                    Does::Answer(description) => {
                        note(What::Answered(description.clone()));
                        let _ = writer.send(response(200, m, "", &description));
                    }
                    Does::Refuse(code, headers) => {
                        note(What::Refused);
                        let _ = writer.send(response(code, m, &headers, ""));
                    }
                    Does::Silent => {}
                    Does::Say(text) => {
                        let _ = writer.send(text.replace("{sid}", &m.call_id).into_bytes());
                    }
                }
            }
            "CANCEL" => {
                note(What::Cancel);
                let _ = writer.send(response(200, m, "", ""));
            }
            "BYE" => {
                note(What::Bye(m.cause.unwrap_or(0)));
                let _ = writer.send(response(200, m, "", ""));
            }
            _ => {}
        }
    }

    /// Ends a call that stands here.
    pub fn release(&self, sid: &str, cause: u16) {
        self.world.note(&self.name, sid, What::Released);
        let bye = message::request(
            "BYE",
            "peer",
            Sid::parse(sid).expect("a name"),
            (7, "BYE"),
            &format!("Reason: Q.850;cause={cause}\r\n"),
            "",
        );
        self.say(&bye);
    }

    /// Says something on the oldest connection that is open.
    pub fn say(&self, bytes: &[u8]) {
        let connections = self.connections.borrow();
        let (writer, _) = connections.iter().find(|(w, _)| !w.is_closed()).expect("a connection");
        let _ = writer.send(bytes.to_vec());
    }

    /// The process dies: its connections are reset and new ones refused.
    pub fn die(&self) {
        if let Some(listening) = self.listening.take() {
            listening.abort();
        }
        self.reset();
    }

    /// Its connections are reset.
    pub fn reset(&self) {
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

// ---- The bulletin ----------------------------------------------------------------------------------------

pub struct Bulletin {
    pub at: SocketAddr,
    world: World,
    events: RefCell<Vec<Value>>,
    more: Notify,
    pub breaks: Cell<Option<Break>>,
    /// It writes in pieces of so many bytes; 0: whole.
    pub pieces: Cell<usize>,
}

pub fn host(name: &str, at: SocketAddr, cell: u16, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "east", "class": "std", "block": cell, "health": health,
        "share": 1, "born_ms": 0, "new_field": [1]})
}

impl Bulletin {
    pub async fn start(world: &World) -> Rc<Bulletin> {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let at = listener.local_addr().expect("an address");
        let bulletin = Rc::new(Bulletin {
            at,
            world: world.clone(),
            events: RefCell::default(),
            more: Notify::new(),
            breaks: Cell::new(None),
            pieces: Cell::new(0),
        });
        let serving = bulletin.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        bulletin
    }

    pub fn tell(&self, whole: bool, hosts: Vec<Value>) {
        let no = self.events.borrow().len() + 1;
        let event = json!({"no": no, "roster": {"seq": no, "whole": whole, "hosts": hosts}});
        self.world.note("bulletin", "", What::Told(event.to_string()));
        self.events.borrow_mut().push(event);
        self.more.notify_waiters();
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        stream.set_nodelay(true).expect("set");
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Some(query) = line.strip_prefix("GET /bulletins?") else { continue };
            let figure = |name: &str| {
                let pair = query.split([' ', '&']).find_map(|pair| pair.strip_prefix(name));
                pair.and_then(|value| value.parse::<usize>().ok()).expect("a figure")
            };
            let (after, patience) = (figure("after="), figure("patience="));
            let more = async {
                loop {
                    let more = self.more.notified();
                    if self.events.borrow().len() > after {
                        return;
                    }
                    more.await;
                }
            };
            let _ = tokio::time::timeout(Duration::from_millis(patience as u64), more).await;
            let body = {
                let events = self.events.borrow();
                json!({"no": events.len(), "items": events.get(after..).unwrap_or_default()}).to_string()
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let tells = self.events.borrow().len() > after;
            if let Some(how) = self.breaks.get().filter(|_| tells) {
                self.breaks.set(None);
                let half = &answer.as_bytes()[..answer.len() - 20];
                let _ = writer.write_all(half).await;
                match how {
                    Break::Off => return,
                    Break::Stall => std::future::pending().await,
                    Break::Dribble => loop {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                        if writer.write_all(b" ").await.is_err() {
                            return;
                        }
                    },
                }
            }
            if write_in(self.pieces.get(), &mut writer, answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

// ---- Callers ---------------------------------------------------------------------------------------------

pub struct Caller {
    world: World,
    name: String,
    writer: RefCell<Option<tokio::net::tcp::OwnedWriteHalf>>,
    reading: JoinHandle<()>,
}

impl Caller {
    pub async fn connect(world: &World, name: &str, at: SocketAddr) -> Caller {
        let stream = TcpStream::connect(at).await.expect("the controller listens");
        stream.set_nodelay(true).expect("set");
        let (reader, writer) = stream.into_split();
        let (noted, who) = (world.clone(), name.to_owned());
        let reading = spawn_local(async move {
            let mut lines = BufReader::new(reader).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let line: Value = serde_json::from_str(&line).expect("a JSON line");
                let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
                let code = line["code"].as_u64().unwrap_or(0) as u16;
                let what = match line["msg"].as_str() {
                    Some("ready") => What::Ready(text("text")),
                    Some("close") => {
                        let wait = line["attrs"]["wait"].as_str().and_then(|ms| ms.parse().ok());
                        What::Close(code, wait)
                    }
                    Some("closed") => What::Closed,
                    other => What::Other(format!("{} {code}", other.unwrap_or("?"))),
                };
                noted.note(&who, &text("sid"), what);
            }
        });
        Caller { world: world.clone(), name: name.to_owned(), writer: RefCell::new(Some(writer)), reading }
    }

    /// Says something in pieces of so many bytes; 0: whole.
    pub async fn say_in(&self, pieces: usize, bytes: &[u8]) {
        let mut writer = self.writer.borrow_mut().take().expect("a connection");
        write_in(pieces, &mut writer, bytes).await.expect("written");
        *self.writer.borrow_mut() = Some(writer);
    }

    pub async fn say(&self, bytes: &[u8]) {
        let mut writer = self.writer.borrow_mut().take().expect("a connection");
        writer.write_all(bytes).await.expect("written");
        *self.writer.borrow_mut() = Some(writer);
    }

    pub async fn open(&self, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.open_in(0, sid, left_ms, dest, description).await;
    }

    pub async fn open_in(&self, pieces: usize, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.world.note(&self.name, sid, What::Asked);
        let line = json!({"msg": "open", "sid": sid, "attrs": {"class": "judge-call", "left": left_ms.to_string(),
            "key": "7f3a9c21e0b4d655", "extras": format!("dest:{dest};width:1;via:-1"), "unknown": 1}, "text": description, "more": {}});
        self.say_in(pieces, format!("{line}\n").as_bytes()).await;
    }

    pub async fn close(&self, sid: &str, cause: u16) {
        self.say(format!("{}\n", json!({"msg": "close", "sid": sid, "attrs": {}, "code": cause})).as_bytes())
            .await;
    }

    /// The caller's machine drops the connection.
    pub fn drop_connection(&self) {
        self.reading.abort();
        self.writer.borrow_mut().take();
    }
}

// ---- The controller --------------------------------------------------------------------------------------

pub fn settings(gateways: u32) -> Value {
    json!({"balancers": gateways, "new_key": {"a": 1},
        "bounds": {"cancel": true, "connect-timeout-us": 500000, "max-attempts": 5, "max-retry-after-us": 2000000,
            "may-tell": true, "most-held": 2000, "probing": false, "retry-after": true, "second-copies": false},
        "classes": [{"dedup-scope": "all", "goal-time-us": 2000000, "hard-limit-us": 9000000, "late-worth": 0.1,
            "name": "judge-call", "semantics": "free", "streamed": true, "window-us": 5000000, "worth": 1.0}],
        "discovery": "push",
        "extra": {"class-cells": [[0, 1, 2, 3]], "clear-wait-us": 500000, "holding-us": [9800000], "shape": "skills",
            "this-node": -1, "widths": [1], "says-wait": true},
        "granularity-us": 5000,
        "report": {"how": "inline", "names": ["idle", "circuits", "cpu_share", "pending"]},
        "rules": {"cold-share": 0.36, "cold-us": 14000000, "overload-factor": 2.5, "tip-after-us": 1000000},
        "zones": ["east"]})
}

pub fn config(bulletin: SocketAddr) -> InstanceConfig {
    let text = json!({"name": "n1", "listen": "127.0.0.1:0", "seed": "8c1f30d27a5be964", "unknown": true,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "bulletin": bulletin.to_string(),
        "settings": settings(1)});
    parse_platform(Path::new("config.json"), text.to_string().as_bytes()).expect("a configuration")
}

pub struct Controller {
    pub at: SocketAddr,
    pub iax2_at: Option<SocketAddr>,
    pub console_at: Option<SocketAddr>,
    pub instance: Instance,
    stop: Rc<Notify>,
    running: JoinHandle<Counters>,
}

impl Controller {
    pub async fn start(config: InstanceConfig) -> Controller {
        let bound = Bound::open(config).await.expect("free ports");
        let stop = Rc::new(Notify::new());
        let (at, iax2_at, instance) = (bound.listens_at(), bound.iax2_at(), bound.handle());
        let console_at = bound.console_at();
        let stopped = stop.clone();
        let running = spawn_local(bound.run(async move { stopped.notified().await }));
        Controller { at: at.expect("a port"), iax2_at, console_at, instance, stop, running }
    }

    /// Starts with one SIP call server for each cell, and waits until the list is held.
    pub async fn with_servers(
        world: &World,
        does: &[Does],
    ) -> (Controller, Vec<Rc<SipServer>>, Rc<Bulletin>) {
        let bulletin = Bulletin::start(world).await;
        let mut servers = Vec::new();
        for (cell, does) in does.iter().enumerate() {
            servers.push(SipServer::start(world, &format!("s{cell}"), does.clone()).await);
        }
        let hosts = servers.iter().enumerate().map(|(cell, s)| host(&s.name, s.at, cell as u16, "ready"));
        bulletin.tell(true, hosts.collect());
        let controller = Controller::start(config(bulletin.at)).await;
        controller.holds_list().await;
        (controller, servers, bulletin)
    }

    pub async fn holds_list(&self) {
        self.turns("the list is held", |instance| instance.ready()).await;
    }

    /// Waits until the controller has come to a state.
    pub async fn turns(&self, name: &str, into: impl Fn(&Instance) -> bool) {
        let waited = tokio::time::timeout(Duration::from_secs(20), async {
            while !into(&self.instance) {
                tokio::time::sleep(Duration::from_millis(2)).await;
            }
        });
        assert!(waited.await.is_ok(), "never: {name}; {:?}", self.instance.counters());
    }

    pub async fn stop(self) -> Counters {
        self.stop.notify_one();
        tokio::time::timeout(Duration::from_secs(20), self.running).await.expect("it ends").expect("no panic")
    }

    pub fn ask_to_stop(&self) {
        self.stop.notify_one();
    }
}

pub fn name(n: u64) -> String {
    Sid::numbered(0x9b1f_03aa_0000_0000 + n).to_string()
}
