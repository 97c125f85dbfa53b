//! A simulated bulletin on a socket: it publishes the list of call servers over HTTP long polls, and can spoil a response.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::event_log::{EventKind, EventLog};
use crate::sip::write_in_pieces;

/// A fault of the next response that contains events.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ResponseFault {
    /// The response is truncated and the connection closed.
    Truncate,
    /// The response stops before its end and the connection stays open.
    Stall,
    /// As `Stall`, with one byte every 100 ms.
    Trickle,
}

/// A simulated bulletin.
pub struct Bulletin {
    /// The address at which it listens.
    pub at: SocketAddr,
    event_log: EventLog,
    events: RefCell<Vec<Value>>,
    published: Notify,
    /// The fault of the next response that contains events.
    pub response_fault: Cell<Option<ResponseFault>>,
    /// The size of the pieces in which it writes, in bytes; 0: in one piece.
    pub pieces: Cell<usize>,
    /// How long it takes to write a response, in several pieces.
    pub write_time: Cell<Duration>,
}

/// An entry of the list.
pub fn list_entry(name: &str, at: SocketAddr, cell: u16, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "east", "class": "std", "block": cell, "health": health,
        "share": 1, "born_ms": 0, "new_field": [1]})
}

/// The entry of a call server that started at `started_ms`, a Unix time in milliseconds.
pub fn list_entry_started_at(name: &str, at: SocketAddr, cell: u16, started_ms: u64) -> Value {
    let mut line = list_entry(name, at, cell, "ready");
    line["born_ms"] = json!(started_ms);
    line
}

impl Bulletin {
    /// Starts a bulletin on a free port.
    pub async fn start(event_log: &EventLog) -> Rc<Bulletin> {
        Bulletin::start_at(event_log, SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port")
    }

    /// Starts a bulletin at an address.
    pub async fn start_at(event_log: &EventLog, at: SocketAddr) -> std::io::Result<Rc<Bulletin>> {
        Bulletin::start_on(event_log, TcpListener::bind(at).await?)
    }

    /// Starts a bulletin on a socket that listens already.
    pub fn start_on(event_log: &EventLog, listener: TcpListener) -> std::io::Result<Rc<Bulletin>> {
        let at = listener.local_addr()?;
        let bulletin = Rc::new(Bulletin {
            at,
            event_log: event_log.clone(),
            events: RefCell::default(),
            published: Notify::new(),
            response_fault: Cell::new(None),
            pieces: Cell::new(0),
            write_time: Cell::new(Duration::ZERO),
        });
        let service = bulletin.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(service.clone().serve(stream));
            }
        });
        Ok(bulletin)
    }

    /// Publishes a full list (`whole`) or changes of it.
    pub fn publish(&self, whole: bool, entries: Vec<Value>) {
        let no = self.events.borrow().len() + 1;
        let event = json!({"no": no, "roster": {"seq": no, "whole": whole, "hosts": entries}});
        self.event_log.record("bulletin", "", EventKind::Told(event.to_string()));
        self.events.borrow_mut().push(event);
        self.published.notify_waiters();
    }

    /// Publishes an event that may be malformed.
    pub fn publish_raw(&self, event: Value) {
        self.event_log.record("bulletin", "", EventKind::Told(event.to_string()));
        self.events.borrow_mut().push(event);
        self.published.notify_waiters();
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Some(query) = line.strip_prefix("GET /bulletins?") else { continue };
            let parameter = |name: &str| {
                let pair = query.split([' ', '&']).find_map(|pair| pair.strip_prefix(name));
                pair.and_then(|value| value.parse::<usize>().ok())
            };
            let (Some(after), Some(wait_ms)) = (parameter("after="), parameter("patience=")) else { return };
            let published = async {
                loop {
                    let published = self.published.notified();
                    if self.events.borrow().len() > after {
                        return;
                    }
                    published.await;
                }
            };
            let _ = tokio::time::timeout(Duration::from_millis(wait_ms as u64), published).await;
            let body = {
                let events = self.events.borrow();
                json!({"no": events.len(), "items": events.get(after..).unwrap_or_default()}).to_string()
            };
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let has_events = self.events.borrow().len() > after;
            if let Some(fault) = self.response_fault.get().filter(|_| has_events) {
                self.response_fault.set(None);
                let incomplete = &answer.as_bytes()[..answer.len() - 20];
                let _ = writer.write_all(incomplete).await;
                match fault {
                    ResponseFault::Truncate => return,
                    ResponseFault::Stall => std::future::pending().await,
                    ResponseFault::Trickle => loop {
                        tokio::time::sleep(Duration::from_millis(100)).await;
                        if writer.write_all(b" ").await.is_err() {
                            return;
                        }
                    },
                }
            }
            let written = if self.write_time.get().is_zero() {
                write_in_pieces(self.pieces.get(), &mut writer, answer.as_bytes()).await
            } else {
                write_within(self.write_time.get(), &mut writer, answer.as_bytes()).await
            };
            if written.is_err() {
                return;
            }
        }
    }
}

/// Writes a response in pieces, the first at once and the last after `write_time`.
async fn write_within(
    write_time: Duration,
    writer: &mut (impl tokio::io::AsyncWrite + Unpin),
    response: &[u8],
) -> std::io::Result<()> {
    const PIECES: usize = 10;
    let pieces: Vec<&[u8]> = response.chunks(response.len().div_ceil(PIECES)).collect();
    let pause = write_time / u32::try_from(pieces.len().saturating_sub(1).max(1)).unwrap_or(1);
    for (at, piece) in pieces.iter().enumerate() {
        if at > 0 {
            tokio::time::sleep(pause).await;
        }
        writer.write_all(piece).await?;
    }
    Ok(())
}
