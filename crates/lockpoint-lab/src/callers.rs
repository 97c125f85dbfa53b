//! A simulated JSON-lines caller on a socket.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::TcpStream;
use tokio::sync::Mutex;
use tokio::task::{spawn_local, JoinHandle};

use crate::event_log::{Ask, EventKind, EventLog};
use crate::sip::write_in_pieces;

/// A call request for tests to which class and number do not matter.
pub fn default_ask(left_ms: u64, text: &str) -> Rc<Ask> {
    Rc::new(Ask {
        class: "judge-call".to_owned(),
        number: "7f3a9c21e0b4d655".to_owned(),
        text: text.to_owned(),
        left_ms,
    })
}

/// A simulated JSON-lines caller with one connection.
pub struct Caller {
    events: EventLog,
    name: String,
    writer: Rc<Mutex<Option<OwnedWriteHalf>>>,
    /// Whether it confirms releases.
    confirms: Rc<Cell<bool>>,
    /// Whether it drops the connection itself.
    dropped: Cell<bool>,
    reading: JoinHandle<()>,
}

impl Caller {
    /// Connects; panics if the controller does not accept.
    pub async fn connect(events: &EventLog, name: &str, at: SocketAddr) -> Caller {
        Caller::try_connect(events, name, at).await.expect("the controller accepts connections")
    }

    /// Connects, or returns the error.
    pub async fn try_connect(events: &EventLog, name: &str, at: SocketAddr) -> std::io::Result<Caller> {
        let stream = TcpStream::connect(at).await?;
        stream.set_nodelay(true)?;
        let (reader, writer) = stream.into_split();
        let (log, source) = (events.clone(), name.to_owned());
        let writer = Rc::new(Mutex::new(Some(writer)));
        let confirms = Rc::new(Cell::new(false));
        let (replies, confirming) = (writer.clone(), confirms.clone());
        let reading = spawn_local(async move {
            let mut lines = BufReader::new(reader).lines();
            while let Ok(Some(line)) = lines.next_line().await {
                let line: Value = serde_json::from_str(&line).expect("the controller writes JSON lines");
                let text = |field: &str| line[field].as_str().unwrap_or_default().to_owned();
                let code = line["code"].as_u64().unwrap_or(0) as u16;
                let kind = match line["msg"].as_str() {
                    Some("ready") => EventKind::Ready(text("text")),
                    Some("close") => {
                        let wait = line["attrs"]["wait"].as_str().and_then(|ms| ms.parse().ok());
                        EventKind::Close(code, wait)
                    }
                    Some("closed") => EventKind::Closed,
                    other => EventKind::Other(format!("{} {code}", other.unwrap_or("?"))),
                };
                let closed = matches!(kind, EventKind::Close(..)) && confirming.get();
                log.record(&source, &text("sid"), kind);
                if closed {
                    let line = json!({"msg": "closed", "sid": text("sid"), "attrs": {}});
                    if let Some(writer) = replies.lock().await.as_mut() {
                        let _ = write_in_pieces(0, writer, format!("{line}\n").as_bytes()).await;
                    }
                }
            }
        });
        let dropped = Cell::new(false);
        Ok(Caller { events: events.clone(), name: name.to_owned(), writer, confirms, dropped, reading })
    }

    /// Makes it confirm each release from now on.
    pub fn confirm_releases(&self) {
        self.confirms.set(true);
    }

    /// Sends bytes in pieces of `pieces` bytes; 0: in one piece.
    pub async fn send_in_pieces(&self, pieces: usize, bytes: &[u8]) {
        self.try_send(pieces, bytes).await.expect("written");
    }

    /// Like `send_in_pieces`, but returns an error if the connection is closed.
    pub async fn try_send(&self, pieces: usize, bytes: &[u8]) -> std::io::Result<()> {
        let mut writer = self.writer.lock().await;
        let writer = writer.as_mut().ok_or(std::io::ErrorKind::NotConnected)?;
        write_in_pieces(pieces, writer, bytes).await
    }

    /// Sends bytes in one piece.
    pub async fn send(&self, bytes: &[u8]) {
        self.send_in_pieces(0, bytes).await;
    }

    /// Whether it has dropped the connection itself, or is about to.
    pub fn has_dropped(&self) -> bool {
        self.dropped.get()
    }

    /// Whether the connection has ended.
    pub fn is_disconnected(&self) -> bool {
        self.reading.is_finished()
    }

    /// Requests a call.
    pub async fn open(&self, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.open_in_pieces(0, sid, left_ms, dest, description).await;
    }

    /// Requests a call with a message in pieces of `pieces` bytes; 0: in one piece.
    pub async fn open_in_pieces(&self, pieces: usize, sid: &str, left_ms: u64, dest: u16, description: &str) {
        self.try_open(pieces, sid, dest, &default_ask(left_ms, description)).await.expect("written");
    }

    /// Requests a call, or returns an error if the connection is closed.
    pub async fn try_open(&self, pieces: usize, sid: &str, dest: u16, ask: &Rc<Ask>) -> std::io::Result<()> {
        self.events.record(&self.name, sid, EventKind::Asked(ask.clone()));
        let line = json!({"msg": "open", "sid": sid, "attrs": {"class": ask.class, "left": ask.left_ms.to_string(),
            "key": ask.number, "extras": format!("dest:{dest};width:1;via:-1"), "unknown": 1}, "text": ask.text, "more": {}});
        self.try_send(pieces, format!("{line}\n").as_bytes()).await
    }

    /// Cancels a set-up or ends an established call.
    pub async fn close(&self, sid: &str, cause: u16) {
        let _ = self.try_close(sid, cause).await;
    }

    /// Like `close`, but returns an error if the connection is closed.
    pub async fn try_close(&self, sid: &str, cause: u16) -> std::io::Result<()> {
        let line = json!({"msg": "close", "sid": sid, "attrs": {}, "code": cause});
        self.try_send(0, format!("{line}\n").as_bytes()).await
    }

    /// Reads nothing more: it is about to drop the connection.
    pub fn stop_reading(&self) {
        self.dropped.set(true);
        self.reading.abort();
    }

    /// Drops the connection without closing any call.
    pub fn drop_connection(&self) {
        self.stop_reading();
        if let Ok(mut writer) = self.writer.try_lock() {
            writer.take();
        }
    }

    /// Resets the connection without closing any call.
    pub fn reset_connection(&self) {
        if let Ok(Some(writer)) = self.writer.try_lock().as_deref() {
            let _ = writer.as_ref().set_zero_linger();
        }
        self.drop_connection();
    }
}
