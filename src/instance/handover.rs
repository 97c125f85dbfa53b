//! Handover of a running controller's state and sockets to its successor within one event loop iteration, and the
//! takeover in the successor.

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
use crate::net::client_connections::ClientConnections;
use crate::net::conn::Connection;
use crate::takeover::{FrameKind, TakeoverChannel, TakeoverError};
use crate::upstream::sip::Trunks;

/// A successor that has connected must send its first frame head within this time.
const FIRST_FRAME_TIMEOUT: Duration = Duration::from_millis(500);

/// The remote side of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Side {
    /// A caller's.
    Caller,
    /// A call server's.
    Server,
}

/// The use of one transferred socket; the list is in the order of the sockets.
#[derive(Debug, Serialize, Deserialize)]
enum SocketKind {
    /// The listener for JSON-lines callers.
    Listener,
    /// The listener of the operators' console.
    Console,
    /// The UDP socket for peer messages.
    Peers,
    /// A connection: its remote side, its number, and the bytes read from it that are not yet a whole message.
    #[serde(rename = "Line")]
    Connection(Side, u64, Bytes),
}

/// The transferred state as it is serialized, by reference; [`TakeoverState`] is its deserialized form.
#[derive(Serialize)]
struct TakeoverStateRef<'a> {
    now: Time,
    #[serde(rename = "after")]
    last_bulletin_event: u64,
    classes: &'a [Rc<str>],
    zones: &'a [String],
    next_client: u64,
    drain: Drain,
    core: &'a Core,
    #[serde(rename = "guests")]
    client_connections: &'a ClientConnections,
    sip: &'a Trunks,
    sockets: Vec<SocketKind>,
}

/// The transferred state as it is deserialized.
#[derive(Deserialize)]
struct TakeoverState {
    now: Time,
    #[serde(rename = "after")]
    last_bulletin_event: u64,
    classes: Vec<Rc<str>>,
    /// Missing in the state of a predecessor of an older build.
    #[serde(default)]
    zones: Vec<String>,
    next_client: u64,
    drain: Drain,
    core: Core,
    #[serde(rename = "guests")]
    client_connections: ClientConnections,
    sip: Trunks,
    sockets: Vec<SocketKind>,
}

/// State and sockets received from the predecessor.
pub struct Inheritance {
    state: TakeoverState,
    pub(super) listener: Option<TcpListener>,
    pub(super) console: Option<TcpListener>,
    pub(super) peers: Option<UdpSocket>,
    connections: BTreeMap<(Side, u64), (TcpStream, Bytes)>,
}

impl Inheritance {
    /// Requests the predecessor's state and sockets. They still belong to the predecessor until
    /// [`TakeoverChannel::confirm`] returns `Ok`.
    pub fn request(
        channel: &mut TakeoverChannel,
        config: &InstanceConfig,
    ) -> Result<Inheritance, TakeoverError> {
        let (bytes, sockets) = channel.request_state()?;
        let unusable = |why: String| TakeoverError::Unusable(why);
        let mut state: TakeoverState =
            rmp_serde::from_slice(&bytes).map_err(|error| unusable(error.to_string()))?;
        if state.classes != config.core.classes {
            return Err(unusable("its list of classes differs from the configured one".to_owned()));
        }
        if !config.zones.starts_with(&state.zones) {
            return Err(unusable("its list of zones differs from the configured one".to_owned()));
        }
        let kinds = std::mem::take(&mut state.sockets);
        if kinds.len() != sockets.len() {
            return Err(unusable(format!("{} of {} sockets received", sockets.len(), kinds.len())));
        }
        let mut inheritance =
            Inheritance { state, listener: None, console: None, peers: None, connections: BTreeMap::new() };
        for (kind, socket) in kinds.into_iter().zip(sockets) {
            inheritance.add(kind, socket).map_err(|error| unusable(error.to_string()))?;
        }
        Ok(inheritance)
    }

    fn add(&mut self, kind: SocketKind, socket: OwnedFd) -> io::Result<()> {
        match kind {
            SocketKind::Listener => self.listener = Some(listener_of(socket)?),
            SocketKind::Console => self.console = Some(listener_of(socket)?),
            SocketKind::Peers => {
                let socket = std::net::UdpSocket::from(socket);
                socket.set_nonblocking(true)?;
                self.peers = Some(UdpSocket::from_std(socket)?);
            }
            SocketKind::Connection(side, no, read) => {
                let stream = std::net::TcpStream::from(socket);
                stream.set_nonblocking(true)?;
                self.connections.insert((side, no), (TcpStream::from_std(stream)?, read));
            }
        }
        Ok(())
    }

    /// The predecessor's clock when it serialized its state.
    pub(super) fn now(&self) -> Time {
        self.state.now
    }
}

fn listener_of(socket: OwnedFd) -> io::Result<TcpListener> {
    let listener = std::net::TcpListener::from(socket);
    listener.set_nonblocking(true)?;
    TcpListener::from_std(listener)
}

/// Counts for the log line of a takeover.
fn summary(state: &State) -> String {
    let (pending, established, connections) =
        (state.core.pending_calls(), state.core.established_calls(), state.connections.len());
    format!("{pending} pending calls, {established} established calls, {connections} connections")
}

/// Work left until the event loop runs: connections to serve, to make and to clean up.
#[derive(Default)]
pub(super) struct PendingConnections {
    callers: Vec<(u64, Rc<Connection>)>,
    servers: Vec<(u64, Rc<Connection>)>,
    to_connect: Vec<(u64, SocketAddr)>,
    lost: Vec<(Side, u64)>,
}

/// A controller's listening sockets; callers' and the console's are part of a handover.
pub(super) struct Listeners {
    /// For JSON-lines callers; closed before the process ends.
    pub(super) callers: RefCell<Option<Rc<TcpListener>>>,
    pub(super) console: Option<Rc<TcpListener>>,
    /// The Unix socket on which a successor connects.
    pub(super) successors: Option<UnixListener>,
}

impl Instance {
    /// Restores the predecessor's state.
    pub(super) fn inherit(&self, inheritance: Inheritance, config: &InstanceConfig) -> PendingConnections {
        let Inheritance { state: inherited, connections, .. } = inheritance;
        let limits = config.limits;
        let mut pending = PendingConnections::default();
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        state.core = inherited.core.resume(config.core.clone());
        let max_callers = limits.client_connections_beside(state.core.listed_servers().count());
        state.client_connections = inherited.client_connections.resume(max_callers, &self.0.caller_bytes);
        state.next_client = inherited.next_client;
        let has_socket = |no: u64| connections.contains_key(&(Side::Server, no));
        let sip = inherited.sip.resume(&self.0.server_bytes, limits.extra_server_connections(), has_socket);
        (state.sip, pending.to_connect) = (sip.trunks, sip.to_make);
        pending.lost.extend(sip.lost.into_iter().map(|no| (Side::Server, no)));
        let without_socket = state
            .client_connections
            .numbers()
            .into_iter()
            .filter(|no| !connections.contains_key(&(Side::Caller, *no)));
        pending.lost.extend(without_socket.map(|no| (Side::Caller, no)));
        for ((side, no), (stream, read)) in connections {
            let buffers = match side {
                Side::Caller => &self.0.client_buffers,
                Side::Server => &self.0.server_buffers,
            };
            let Some(line) = Connection::resume(stream, &read, buffers).map(Rc::new) else {
                pending.lost.push((side, no));
                continue;
            };
            state.connections.insert((side, no), line.clone());
            match side {
                Side::Caller => pending.callers.push((no, line)),
                Side::Server => pending.servers.push((no, line)),
            }
        }
        // A drain by LAMEDUCK is inherited. A stop is not: it concerns the old process only.
        state.drain = match inherited.drain.phase() {
            Phase::Draining { stopping: false, .. } => inherited.drain,
            _ => Drain::default(),
        };
        state.core.refuse_set_ups_from(state.drain.refuses_set_ups_from());
        tracing::info!("takeover complete: {}", summary(state));
        *self.0.bulletin_cursor.borrow_mut() = Cursor::at(inherited.last_bulletin_event);
        pending
    }

    /// Serves the inherited connections, makes those the predecessor had begun to make, and cleans up after lost
    /// ones.
    pub(super) fn resume_connections(&self, pending: PendingConnections) {
        for (side, no) in pending.lost {
            match side {
                Side::Caller => self.client_disconnected(no),
                Side::Server => self.link_lost(no),
            }
        }
        for (no, line) in pending.callers {
            self.serve_client(no, line);
        }
        for (no, line) in pending.servers {
            tokio::task::spawn_local(self.clone().resume_link(no, line));
        }
        self.apply(|_, todo| todo.connects = pending.to_connect);
    }

    /// Waits for successors and returns once one has taken over. Must be polled by the future that runs the
    /// controller, so that nothing else runs between the handover and the controller's end.
    pub(super) async fn hand_over(&self, listeners: &Listeners) {
        let Some(successors) = &listeners.successors else { return std::future::pending().await };
        loop {
            let Ok((stream, _)) = successors.accept().await else {
                tokio::time::sleep(Duration::from_millis(100)).await;
                continue;
            };
            match self.hand_over_to(stream, listeners).await {
                Ok(true) => return,
                Ok(false) => {}
                Err(error) => tracing::warn!("handover failed: {error}"),
            }
        }
    }

    async fn hand_over_to(
        &self,
        mut stream: UnixStream,
        listeners: &Listeners,
    ) -> Result<bool, TakeoverError> {
        // The first frame head is awaited without blocking the event loop: a connection that sends nothing costs
        // nothing.
        let mut head = [0; 8];
        let read = timeout(FIRST_FRAME_TIMEOUT, stream.read_exact(&mut head)).await;
        read.map_err(|_| io::Error::from(io::ErrorKind::TimedOut))??;
        let mut channel = TakeoverChannel::to_successor(stream.into_std()?)?;
        let kind = match FrameKind::parse_request(&head) {
            Ok(kind) => kind,
            Err(error) => {
                channel.send(FrameKind::Refusal, error.to_string().as_bytes())?;
                return Err(error);
            }
        };
        if kind == FrameKind::Stop {
            tracing::info!("stopping: a successor started without this process's state");
            self.0.stop_requested.notify_one();
            return Ok(false);
        }
        let mut state = self.0.state.borrow_mut();
        let state = &mut *state;
        if state.iax2_front_socket.is_some() || state.iax2_server_socket.is_some() {
            channel.send(FrameKind::Refusal, b"IAX2 calls cannot be handed over")?;
            return Ok(false);
        }
        let listener = listeners.callers.borrow().clone();
        let (state_bytes, sockets) = match self.snapshot(state, listener.as_deref(), listeners) {
            Ok(snapshot) => snapshot,
            Err(why) => {
                channel.send(FrameKind::Refusal, why.as_bytes())?;
                return Ok(false);
            }
        };
        channel.send_state(&state_bytes, &sockets)?;
        tracing::info!("handover complete: {}", summary(state));
        Ok(true)
    }

    /// Serializes the state and lists the sockets that go with it.
    fn snapshot<'a>(
        &self,
        state: &'a State,
        listener: Option<&'a TcpListener>,
        listeners: &'a Listeners,
    ) -> Result<(Vec<u8>, Vec<BorrowedFd<'a>>), String> {
        let (mut kinds, mut sockets) = (Vec::new(), Vec::new());
        let mut add = |kind, socket| {
            kinds.push(kind);
            sockets.push(socket);
        };
        if let Some(listener) = listener {
            add(SocketKind::Listener, listener.as_fd());
        }
        if let Some(console) = &listeners.console {
            add(SocketKind::Console, console.as_fd());
        }
        if let Some(peers) = &state.peer_socket {
            add(SocketKind::Peers, peers.as_fd());
        }
        for ((side, no), line) in &state.connections {
            add(SocketKind::Connection(*side, *no, line.partial_message().into()), line.stream().as_fd());
        }
        let directories = self.0.directories.borrow();
        let transferred = TakeoverStateRef {
            now: self.0.clock.now(),
            last_bulletin_event: self.0.bulletin_cursor.borrow().after(),
            classes: state.core.classes(),
            zones: &directories.zones,
            next_client: state.next_client,
            drain: state.drain,
            core: &state.core,
            client_connections: &state.client_connections,
            sip: &state.sip,
            sockets: kinds,
        };
        let bytes = rmp_serde::to_vec_named(&transferred).map_err(|error| error.to_string())?;
        Ok((bytes, sockets))
    }
}

/// The process that a new one takes over from, if there is one, and the Unix socket of takeovers.
pub struct Predecessor {
    channel: Option<TakeoverChannel>,
    socket_path: Option<PathBuf>,
}

impl Predecessor {
    /// No predecessor, and no successor later.
    pub fn none() -> Predecessor {
        Predecessor { channel: None, socket_path: None }
    }
    /// Looks for a predecessor at this Unix socket, on which a successor may connect later.
    pub fn find_at(socket_path: PathBuf) -> Predecessor {
        Predecessor { channel: TakeoverChannel::to_predecessor(&socket_path), socket_path: Some(socket_path) }
    }
    /// Whether a predecessor is running.
    pub fn is_running(&self) -> bool {
        self.channel.is_some()
    }
    /// The Unix socket on which a successor connects.
    pub(super) fn socket_path(&self) -> Option<&PathBuf> {
        self.socket_path.as_ref()
    }
    /// Takes over the predecessor's state; tries again where the predecessor cancelled because of a timeout. `None`:
    /// no predecessor is running, or its state cannot be used.
    pub(super) fn inherit(&mut self, config: &InstanceConfig) -> Option<Inheritance> {
        let socket_path = self.socket_path.clone()?;
        for _ in 0..MAX_TRIES {
            let mut channel =
                self.channel.take().or_else(|| TakeoverChannel::to_predecessor(&socket_path))?;
            let taken = Inheritance::request(&mut channel, config)
                .and_then(|inheritance| channel.confirm().map(|()| inheritance));
            match taken {
                Ok(inheritance) => return Some(inheritance),
                Err(error) => {
                    tracing::warn!("takeover failed: {error}");
                    if matches!(
                        error,
                        TakeoverError::Refused(_) | TakeoverError::Unusable(_) | TakeoverError::InvalidFrame
                    ) {
                        break;
                    }
                }
            }
        }
        None
    }
    /// Asks the predecessor to finish its accepted calls and to end. Only to be called once this process can serve
    /// without the predecessor's state, or no controller would be left.
    pub(super) fn ask_to_stop(&self) {
        if let Some(mut channel) =
            self.socket_path.as_ref().and_then(|path| TakeoverChannel::to_predecessor(path))
        {
            let _ = channel.send(FrameKind::Stop, b"");
        }
    }
}

/// Takeover attempts in all.
const MAX_TRIES: usize = 3;
