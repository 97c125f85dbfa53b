//! The bulletin on a socket: which call servers there are, told by HTTP long polls, whole or spoilt.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::sip::write_in_pieces;
use crate::world::{EventKind, EventLog};

/// How the bulletin spoils its next answer that tells something.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum ResponseFault {
    /// It ends half way.
    Truncate,
    /// It stops half way and stays open.
    Stall,
    /// The same, with a byte now and then.
    Trickle,
}

/// The bulletin: a list of call servers by HTTP long polls.
pub struct Bulletin {
    /// Where it listens.
    pub at: SocketAddr,
    world: EventLog,
    events: RefCell<Vec<Value>>,
    more: Notify,
    /// How it spoils its next answer that tells something.
    pub response_fault: Cell<Option<ResponseFault>>,
    /// It writes in pieces of so many bytes; 0: whole.
    pub pieces: Cell<usize>,
}

/// A line of the list.
pub fn list_entry(name: &str, at: SocketAddr, cell: u16, health: &str) -> Value {
    json!({"host": name, "dial": at.to_string(), "site": "east", "class": "std", "block": cell, "health": health,
        "share": 1, "born_ms": 0, "new_field": [1]})
}

/// The line of a call server that has just started: it is cold.
pub fn list_entry_started_at(name: &str, at: SocketAddr, cell: u16, born_ms: u64) -> Value {
    let mut line = list_entry(name, at, cell, "ready");
    line["born_ms"] = json!(born_ms);
    line
}

impl Bulletin {
    /// Starts one on a port that the system picks.
    pub async fn start(world: &EventLog) -> Rc<Bulletin> {
        Bulletin::start_at(world, SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a port")
    }

    /// Starts one at an address.
    pub async fn start_at(world: &EventLog, at: SocketAddr) -> std::io::Result<Rc<Bulletin>> {
        let listener = TcpListener::bind(at).await?;
        let at = listener.local_addr()?;
        let bulletin = Rc::new(Bulletin {
            at,
            world: world.clone(),
            events: RefCell::default(),
            more: Notify::new(),
            response_fault: Cell::new(None),
            pieces: Cell::new(0),
        });
        let serving = bulletin.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                spawn_local(serving.clone().serve(stream));
            }
        });
        Ok(bulletin)
    }

    /// Puts a list, or changes of it, on the bulletin.
    pub fn publish(&self, whole: bool, hosts: Vec<Value>) {
        let no = self.events.borrow().len() + 1;
        let event = json!({"no": no, "roster": {"seq": no, "whole": whole, "hosts": hosts}});
        self.world.record("bulletin", "", EventKind::Told(event.to_string()));
        self.events.borrow_mut().push(event);
        self.more.notify_waiters();
    }

    /// Puts an event on the bulletin that may be none.
    pub fn publish_raw(&self, event: Value) {
        self.world.record("bulletin", "", EventKind::Told(event.to_string()));
        self.events.borrow_mut().push(event);
        self.more.notify_waiters();
    }

    async fn serve(self: Rc<Self>, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let (reader, mut writer) = stream.into_split();
        let mut lines = BufReader::new(reader).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            let Some(query) = line.strip_prefix("GET /bulletins?") else { continue };
            let figure = |name: &str| {
                let pair = query.split([' ', '&']).find_map(|pair| pair.strip_prefix(name));
                pair.and_then(|value| value.parse::<usize>().ok())
            };
            let (Some(after), Some(patience)) = (figure("after="), figure("patience=")) else { return };
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
            if let Some(how) = self.response_fault.get().filter(|_| tells) {
                self.response_fault.set(None);
                let half = &answer.as_bytes()[..answer.len() - 20];
                let _ = writer.write_all(half).await;
                match how {
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
            if write_in_pieces(self.pieces.get(), &mut writer, answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}
