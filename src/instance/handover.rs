//! What a controller at work holds, handed to its successor in one turn of the loop, and taken over by it.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{AsFd, BorrowedFd, OwnedFd};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpStream, UdpSocket, UnixListener, UnixStream};
use tokio::time::timeout;

use crate::config::InstanceConfig;
use crate::core::Core;
use crate::directory::bulletin::Cursor;
use crate::drain::{Drain, Phase};
use crate::instance::{Instance, State};
use crate::interface::Time;
use crate::net::conn::Line;
use crate::net::guests::Guests;
use crate::takeover::{Kind, TakeoverError, Way};
use crate::upstream::sip::Trunks;

/// A successor that has connected must say what it wants within this.
const SPEAKS_WITHIN: Duration = Duration::from_millis(500);

/// Whose connection a socket is.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// A caller's.
    Caller,
    /// A call server's.
    Server,
}

/// What a socket that comes along is, in the sockets' order.
#[derive(Debug, Serialize, Deserialize)]
enum Socket {
    /// Where callers connect.
    Listener,
    /// Where operators call.
    Console,
    /// Where peers' datagrams arrive.
    Peers,
    /// A connection: whose, its number, and the part of a message that was read from it.
    Line(Side, u64, Bytes),
}

/// All that is handed over, as it is written; [`Held`] is the same as it is read.
#[derive(Serialize)]
struct Holds<'a> {
    now: Time,
    after: u64,
    classes: &'a [Rc<str>],
    zones: &'a [String],
    next_client: u64,
    drain: Drain,
    core: &'a Core,
    guests: &'a Guests,
    sip: &'a Trunks,
    sockets: Vec<Socket>,
}

#[derive(Deserialize)]
struct Held {
    now: Time,
    after: u64,
    classes: Vec<Rc<str>>,
    /// A predecessor of an older build does not tell them.
    #[serde(default)]
    zones: Vec<String>,
    next_client: u64,
    drain: Drain,
    core: Core,
    guests: Guests,
    sip: Trunks,
    sockets: Vec<Socket>,
}

/// What a process goes on with.
pub struct Inheritance {
    held: Held,
    pub(super) listener: Option<TcpListener>,
    pub(super) console: Option<TcpListener>,
    pub(super) peers: Option<UdpSocket>,
    lines: BTreeMap<(Side, u64), (TcpStream, Bytes)>,
}

impl Inheritance {
    /// Asks the predecessor for what it holds. Nothing has changed hands yet: see [`Way::take`].
    pub fn ask(way: &mut Way, config: &InstanceConfig) -> Result<Inheritance, TakeoverError> {
        let (state, sockets) = way.ask()?;
        let unusable = |why: String| TakeoverError::Unusable(why);
        let mut held: Held = rmp_serde::from_slice(&state).map_err(|error| unusable(error.to_string()))?;
        if held.classes != config.core.classes {
            return Err(unusable("the list of classes differs".to_owned()));
        }
        if !config.zones.starts_with(&held.zones) {
            return Err(unusable("the list of zones differs".to_owned()));
        }
        let forms = std::mem::take(&mut held.sockets);
        if forms.len() != sockets.len() {
            return Err(unusable(format!("{} sockets of {}", sockets.len(), forms.len())));
        }
        let mut all =
            Inheritance { held, listener: None, console: None, peers: None, lines: BTreeMap::new() };
        for (form, socket) in forms.into_iter().zip(sockets) {
            all.add(form, socket).map_err(|error| unusable(error.to_string()))?;
        }
        Ok(all)
    }

    fn add(&mut self, form: Socket, socket: OwnedFd) -> io::Result<()> {
        match form {
            Socket::Listener => self.listener = Some(listener_of(socket)?),
            Socket::Console => self.console = Some(listener_of(socket)?),
            Socket::Peers => {
                let socket = std::net::UdpSocket::from(socket);
                socket.set_nonblocking(true)?;
                self.peers = Some(UdpSocket::from_std(socket)?);
            }
            Socket::Line(side, no, read) => {
                let stream = std::net::TcpStream::from(socket);
                stream.set_nonblocking(true)?;
                self.lines.insert((side, no), (TcpStream::from_std(stream)?, read));
            }
        }
        Ok(())
    }

    /// The predecessor's time when it let go.
    pub(super) fn now(&self) -> Time {
        self.held.now
    }
}

fn listener_of(socket: OwnedFd) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// What is held, for the people on call.
fn summary(state: &State) -> String {
    let (open, standing, lines) =
        (state.core.pending_calls(), state.core.established_calls(), state.lines.len());
    format!("{open} calls that wait, {standing} that stand, {lines} connections")
}

/// What is to be done once the loop runs: connections to serve and to make.
#[derive(Default)]
pub(super) struct Unfinished {
    callers: Vec<(u64, Rc<Line>)>,
    servers: Vec<(u64, Rc<Line>)>,
    to_make: Vec<(u64, SocketAddr)>,
    lost: Vec<(Side, u64)>,
}

/// The sockets beside its connections that a controller hands over.
pub(super) struct Doors {
    /// Where callers connect; closed before the process ends.
    pub(super) listener: RefCell<Option<Rc<TcpListener>>>,
    pub(super) console: Option<Rc<TcpListener>>,
    /// Where it waits for a successor.
    pub(super) heirs: Option<UnixListener>,
}

impl Instance {
    /// Goes on with what the predecessor held.
    pub(super) fn inherit(&self, all: Inheritance, config: &InstanceConfig) -> Unfinished {
        let Inheritance { held, lines, .. } = all;
        let limits = config.limits;
        let mut left = Unfinished::default();
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        state.core = held.core.resume(config.core.clone());
        let callers = limits.client_connections_beside(state.core.listed_servers().count());
        state.guests = held.guests.resume(callers, &self.0.caller_bytes);
        state.next_client = held.next_client;
        let stands = |no: u64| lines.contains_key(&(Side::Server, no));
        let sip = held.sip.resume(&self.0.server_bytes, limits.extra_server_connections(), stands);
        (state.sip, left.to_make) = (sip.trunks, sip.to_make);
        left.lost.extend(sip.lost.into_iter().map(|no| (Side::Server, no)));
        let without =
            state.guests.numbers().into_iter().filter(|no| !lines.contains_key(&(Side::Caller, *no)));
        left.lost.extend(without.map(|no| (Side::Caller, no)));
        for ((side, no), (stream, read)) in lines {
            let Some(line) = Line::resumed(stream, &read, &self.0.pool).map(Rc::new) else {
                left.lost.push((side, no));
                continue;
            };
            state.lines.insert((side, no), line.clone());
            match side {
                Side::Caller => left.callers.push((no, line)),
                Side::Server => left.servers.push((no, line)),
            }
        }
        // A predecessor that was told to end is ending; this process is not.
        state.drain = match held.drain.phase() {
            Phase::Emptying { ends: false, .. } => held.drain,
            _ => Drain::default(),
        };
        state.core.refuse_set_ups_from(state.drain.refuses_from());
        tracing::info!("taken over: {}", summary(state));
        *self.0.heard.borrow_mut() = Cursor::at(held.after);
        left
    }

    /// Serves and makes the connections that came along.
    pub(super) fn finish(&self, left: Unfinished) {
        for (side, no) in left.lost {
            match side {
                Side::Caller => self.client_gone(no),
                Side::Server => self.link_gone(no),
            }
        }
        for (no, line) in left.callers {
            self.serve_client(no, line);
        }
        for (no, line) in left.servers {
            tokio::task::spawn_local(self.clone().resume_link(no, line));
        }
        self.turn(|_, todo| todo.links = left.to_make);
    }

    /// Waits for a successor and hands everything over; returns when this controller holds nothing any more. To be
    /// polled by the future that runs the controller: nothing else may run between the hand-over and its end.
    pub(super) async fn hand_over(&self, doors: &Doors) {
        let Some(heirs) = &doors.heirs else { return std::future::pending().await };
        loop {
            let Ok((stream, _)) = heirs.accept().await else {
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            match self.hand_to(stream, doors).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => tracing::warn!("not handed over: {error}"),
            }
        }
    }

    async fn hand_to(&self, mut stream: UnixStream, doors: &Doors) -> Result<bool, TakeoverError> {
        // Only the first word is waited for without standing still: whoever connects and says nothing costs nothing.
        let mut head = [0; 8];
        let read = timeout(SPEAKS_WITHIN, stream.read_exact(&mut head)).await;
        read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let mut way = Way::to_successor(stream.into_std()?)?;
        let kind = match Kind::asked(&head) {
            Ok(kind) => kind,
            Err(error) => {
                way.say(Kind::No, error.to_string().as_bytes())?;
                return Err(error);
            }
        };
        if kind == Kind::Leave {
            tracing::info!("asked to leave by a successor that starts anew");
            self.0.leave.notify_one();
            return Ok(false);
        }
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        if state.callers_socket.is_some() || state.servers_socket.is_some() {
            way.say(Kind::No, b"calls of IAX2 cannot change hands")?;
            return Ok(false);
        }
        let listener = doors.listener.borrow().clone();
        let (text, sockets) = match self.all_held(state, listener.as_deref(), doors) {
            Ok(all) => all,
            Err(why) => {
                way.say(Kind::No, why.as_bytes())?;
                return Ok(false);
            }
        };
        way.hand_over(&text, &sockets)?;
        tracing::info!("handed over: {}", summary(state));
        Ok(true)
    }

    fn all_held<'a>(
        &self,
        state: &'a State,
        listener: Option<&'a TcpListener>,
        doors: &'a Doors,
    ) -> Result<(Vec<u8>, Vec<BorrowedFd<'a>>), String> {
        let (mut forms, mut sockets) = (Vec::new(), Vec::new());
        let mut add = |form, socket| {
            forms.push(form);
            sockets.push(socket);
        };
        if let Some(listener) = listener {
            add(Socket::Listener, listener.as_fd());
        }
        if let Some(console) = &doors.console {
            add(Socket::Console, console.as_fd());
        }
        if let Some(peers) = &state.peer_socket {
            add(Socket::Peers, peers.as_fd());
        }
        for ((side, no), line) in &state.lines {
            add(Socket::Line(*side, *no, line.read_so_far().into()), line.stream().as_fd());
        }
        let followed = self.0.followed.borrow();
        let holds = Holds {
            now: self.0.clock.now(),
            after: self.0.heard.borrow().after(),
            classes: state.core.classes(),
            zones: &followed.zones,
            next_client: state.next_client,
            drain: state.drain,
            core: &state.core,
            guests: &state.guests,
            sip: &state.sip,
            sockets: forms,
        };
        let text = rmp_serde::to_vec_named(&holds).map_err(|error| error.to_string())?;
        Ok((text, sockets))
    }
}

/// How a process comes to its start: alone, or after another.
pub struct Before {
    way: Option<Way>,
    place: Option<PathBuf>,
}

impl Before {
    /// Nobody is before it, and nobody comes after.
    pub fn nobody() -> Before {
        Before { way: None, place: None }
    }
    /// Looks for a predecessor at this place, where a successor will look too.
    pub fn at(place: PathBuf) -> Before {
        Before { way: Way::to_predecessor(&place), place: Some(place) }
    }
    /// Whether there is a predecessor.
    pub fn somebody(&self) -> bool {
        self.way.is_some()
    }
    /// Where a successor will look.
    pub(super) fn place(&self) -> Option<&PathBuf> {
        self.place.as_ref()
    }
    /// Takes what the predecessor holds; tries again where it could not let go in time. `None`: there is nobody, or
    /// nothing that can be used.
    pub(super) fn inherit(&mut self, config: &InstanceConfig) -> Option<Inheritance> {
        let place = self.place.clone()?;
        for _ in 0..TRIES {
            let mut way = self.way.take().or_else(|| Way::to_predecessor(&place))?;
            let taken = Inheritance::ask(&mut way, config).and_then(|all| way.take().map(|()| all));
            match taken {
                Ok(all) => return Some(all),
                Err(error) => {
                    tracing::warn!("not taken over: {error}");
                    if matches!(
                        error,
                        TakeoverError::No(_) | TakeoverError::Unusable(_) | TakeoverError::Form
                    ) {
                        break;
                    }
                }
            }
        }
        None
    }
    /// Asks the predecessor to finish what it took, and to end. To be said by a process that can serve without what the
    /// other holds, or there would be nobody.
    pub(super) fn ask_to_leave(&self) {
        if let Some(mut way) = self.place.as_ref().and_then(|place| Way::to_predecessor(place)) {
            let _ = way.say(Kind::Leave, b"");
        }
    }
}

/// So often is a predecessor asked.
const TRIES: usize = 3;
