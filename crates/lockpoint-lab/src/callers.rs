//! A JSON-lines caller on a socket.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::{spawn_local, JoinHandle};

use crate::sip::write_in_pieces;
use crate::world::{Ask, EventKind, EventLog};

/// What a caller asks for who does not care.
pub fn default_ask(left_ms: u64, text: &str) -> Rc<Ask> {
    Rc::new(Ask {
        class: "judge-call".to_owned(),
        number: "7f3a9c21e0b4d655".to_owned(),
        text: text.to_owned(),
        left_ms,
    })
}

/// A JSON-lines caller: one connection.
pub struct Caller {
    world: EventLog,
    name: String,
    writer: Rc<Mutex<Option<OwnedWriteHalf>>>,
    /// It says that it has heard of a release.
    confirms: Rc<Cell<bool>>,
    reading: JoinHandle<()>,
}

impl Caller {
    /// Connects.
    pub async fn connect(world: &EventLog, name: &str, at: SocketAddr) -> Caller {
        Caller::try_connect(world, name, at).await.expect("the controller listens")
    }

    /// Connects where somebody listens.
    pub async fn try_connect(world: &EventLog, name: &str, at: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let (noted, who) = (world.clone(), name.to_owned());
        let writer = Rc::new(Mutex::new(Some(writer)));
        let confirms = Rc::new(Cell::new(false));
        let (answers, says) = (writer.clone(), confirms.clone());
        let reading = spawn_local(async move {
            let mut lines = BufReader::new(reader).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let line: Value = serde_json::from_str(&line).expect("the controller writes JSON lines");
                let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
                let code = line["code"].as_u64().unwrap_or(0) as u16;
                let what = match line["msg"].as_str() {
                    Some("ready") => EventKind::Ready(text("text")),
                    Some("close") => {
                        let wait = line["attrs"]["wait"].as_str().and_then(|ms| ms.parse().ok());
                        EventKind::Close(code, wait)
                    }
                    Some("closed") => EventKind::Closed,
                    other => EventKind::Other(format!("{} {code}", other.unwrap_or("?"))),
                };
                let closed = matches!(what, EventKind::Close(..)) && says.get();
                noted.record(&who, &text("sid"), what);
                if closed {
                    let line = json!({"msg": "closed", "sid": text("sid"), "attrs": {}});
                    if let Some(writer) = answers.lock().await.as_mut() {
                        let _ = write_in_pieces(0, writer, format!("{line}\n").as_bytes()).await;
                    }
                }
            }
        });
        Ok(Caller { world: world.clone(), name: name.to_owned(), writer, confirms, reading })
    }

    /// From now on it says that it has heard of a release.
    pub fn confirm_releases(&self) {
        self.confirms.set(true);
    }

    /// Says something in pieces of so many bytes; 0: whole.
    pub async fn send_in_pieces(&self, pieces: usize, bytes: &[u8]) {
        self.try_send(pieces, bytes).await.expect("written");
    }

    /// The same; an error where the connection has gone.
    pub async fn try_send(&self, pieces: usize, bytes: &[u8]) -> std::io::Result<()> {
        let mut writer = self.writer.lock().await;
        let writer = writer.as_mut().ok_or(std::io::ErrorKind::NotConnected)?;
        write_in_pieces(pieces, writer, bytes).await
    }

    /// Says something.
    pub async fn send(&self, bytes: &[u8]) {
        self.send_in_pieces(0, bytes).await;
    }

    /// Whether the controller has ended the connection.
    pub fn is_disconnected(&self) -> bool {
        self.reading.is_finished()
    }

    /// Asks for a call.
    pub async fn open(&self, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.open_in_pieces(0, sid, left_ms, dest, description).await;
    }

    /// Asks for a call in pieces of so many bytes; 0: whole.
    pub async fn open_in_pieces(&self, pieces: usize, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.try_open(pieces, sid, dest, &default_ask(left_ms, description)).await.expect("written");
    }

    /// Asks for a call.
    pub async fn try_open(&self, pieces: usize, sid: &str, dest: u16, ask: &Rc<Ask>) -> std::io::Result<()> {
        self.world.record(&self.name, sid, EventKind::Asked(ask.clone()));
        let line = json!({"msg": "open", "sid": sid, "attrs": {"class": ask.class, "left": ask.left_ms.to_string(),
            "key": ask.number, "extras": format!("dest:{dest};width:1;via:-1"), "unknown": 1}, "text": ask.text, "more": {}});
        self.try_send(pieces, format!("{line}\n").as_bytes()).await
    }

    /// Gives a set-up up, or ends a call that stands.
    pub async fn close(&self, sid: &str, cause: u16) {
        let _ = self.try_close(sid, cause).await;
    }

    /// The same; an error where the connection has gone.
    pub async fn try_close(&self, sid: &str, cause: u16) -> std::io::Result<()> {
        let line = json!({"msg": "close", "sid": sid, "attrs": {}, "code": cause});
        self.try_send(0, format!("{line}\n").as_bytes()).await
    }

    /// The caller's machine drops the connection.
    pub fn drop_connection(&self) {
        self.reading.abort();
        if let Ok(mut writer) = self.writer.try_lock() {
            writer.take();
        }
    }
}
