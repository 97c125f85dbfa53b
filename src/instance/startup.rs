//! Start of a controller: its sockets are bound or inherited before it accepts anything.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, UdpSocket, UnixListener};
use tokio::sync::{watch, Notify};
use tokio::task::LocalSet;

use crate::config::InstanceConfig;
use crate::core::Core;
use crate::counters::Counters;
use crate::drain::Drain;
use crate::front::iax2::call_token_gate::CallTokenGate;
use crate::front::iax2::{Callers, Defaults};
use crate::instance::handover::{Listeners, PendingConnections, Predecessor};
use crate::instance::persistence::RecordWriter;
use crate::instance::replication::Replication;
use crate::instance::{Clock, DirectoryConfig, FixedConfig, Instance, LocalCounters, Shared, State};
use crate::net::client_connections::ClientConnections;
use crate::net::pool::BufferPool;
use crate::net::queue::Budget;
use crate::takeover;
use crate::upstream::iax2::Servers;
use crate::upstream::sip::Trunks;

/// Target of the log lines of this module. Log filters and log readers use the name, so it does not follow the path.
const LOG_TARGET: &str = "lockpoint::instance::open";

/// Why a controller cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be bound.
    #[error("cannot listen at {address} ({key}): {why}")]
    Listen {
        /// The key of the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// The error.
        why: io::Error,
    },
    /// The record store cannot be opened.
    #[error("store.file {}: {why}", file.display())]
    Store {
        /// The store's file.
        file: std::path::PathBuf,
        /// The error.
        why: lockpoint_store::StoreError,
    },
    /// The system provides no random bytes.
    #[error("no random bytes for call tokens and challenges: {0}")]
    Random(String),
    /// The inherited descriptor is not a listening socket.
    #[error("cannot listen on descriptor {descriptor} (ROUTER_FD): {why}")]
    Inherited {
        /// The descriptor.
        descriptor: i32,
        /// The error.
        why: io::Error,
    },
}

/// A controller with its sockets open, ready to run.
pub struct BoundInstance {
    instance: Instance,
    config: InstanceConfig,
    listeners: Listeners,
    pending: PendingConnections,
}

impl BoundInstance {
    /// Opens the sockets on which the controller listens.
    pub async fn open(config: InstanceConfig) -> Result<BoundInstance, StartError> {
        BoundInstance::open_with_predecessor(Predecessor::none(), config).await
    }

    /// Opens a controller that takes over from a running predecessor, once everything else is ready. Guards against
    /// callers left without a controller by a successor that cannot serve.
    pub async fn open_with_predecessor(
        mut predecessor: Predecessor,
        config: InstanceConfig,
    ) -> Result<BoundInstance, StartError> {
        let has_predecessor = predecessor.is_running();
        // Sockets on addresses that the predecessor uses come with its state.
        let in_use_by_predecessor =
            |error: &io::Error| has_predecessor && error.kind() == io::ErrorKind::AddrInUse;
        let fail = |key, address| move |why| StartError::Listen { key, address, why };
        let listener = match (config.inherited_fd, config.listen) {
            (Some(descriptor), _) => {
                let taken = takeover::inherited_listener(descriptor).and_then(TcpListener::from_std);
                Some(taken.map_err(|why| StartError::Inherited { descriptor, why })?)
            }
            (None, Some(address)) => {
                opened(listen(address), in_use_by_predecessor).map_err(fail("listen", address))?
            }
            (None, None) => None,
        };
        let console = match config.console {
            Some(address) => {
                opened(listen(address), in_use_by_predecessor).map_err(fail("console", address))?
            }
            None => None,
        };
        let peer_socket = match config.peer_listen {
            Some(at) => {
                opened(UdpSocket::bind(at).await, in_use_by_predecessor).map_err(fail("peer_listen", at))?
            }
            None => None,
        };
        let (iax2_front_socket, iax2_server_socket) = match &config.iax2 {
            Some(iax2) => {
                let (listen, from) = (iax2.listen, iax2.from);
                let callers = UdpSocket::bind(listen).await.map_err(fail("iax2.listen", listen))?;
                let servers = UdpSocket::bind(from).await.map_err(fail("iax2.from", from))?;
                (Some(Rc::new(callers)), Some(Rc::new(servers)))
            }
            None => (None, None),
        };
        let replication = match &config.replication {
            Some(replicated) => {
                let listen = replicated.listen;
                let socket = UdpSocket::bind(listen).await.map_err(fail("replication.listen", listen))?;
                Some((replicated, socket))
            }
            None => None,
        };
        let mut inherited = predecessor.inherit(&config);
        let mut inheritance = inherited.as_mut();
        let listener = listener.or_else(|| inheritance.as_mut().and_then(|all| all.listener.take()));
        let console = console.or_else(|| inheritance.as_mut().and_then(|all| all.console.take()));
        let peer_socket =
            peer_socket.or_else(|| inheritance.as_mut().and_then(|all| all.peers.take())).map(Rc::new);
        for (key, address, open) in
            [("listen", config.listen, listener.is_some()), ("console", config.console, console.is_some())]
        {
            if let Some(address) = address.filter(|_| !open) {
                return Err(fail(key, address)(io::ErrorKind::AddrInUse.into()));
            }
        }
        if has_predecessor && inherited.is_none() {
            predecessor.ask_to_stop();
            if let Some(at) = config.peer_listen.filter(|_| peer_socket.is_none()) {
                tracing::warn!(
                    target: LOG_TARGET,
                    %at,
                    "address in use by the predecessor: no peer messages until the next start"
                );
            }
        }
        let record_writer = config.store.as_ref().map(|store| {
            RecordWriter::open(store).map_err(|why| StartError::Store { file: store.file.clone(), why })
        });
        let record_writer = record_writer.transpose()?;
        let limits = config.limits;
        let (caller_bytes, server_bytes) =
            (Budget::new(limits.memory_share()), Budget::new(limits.memory_share()));
        let state = State {
            core: Core::new(config.core.clone()),
            client_connections: ClientConnections::new(limits.client_connections()),
            next_client: 0,
            sip: Trunks::with_budget(&server_bytes, limits.extra_server_connections()),
            iax2_front: iax2_front(&config)?,
            iax2_servers: iax2_servers(&config),
            iax2_front_socket,
            iax2_server_socket,
            peer_socket,
            peers: config.peers.clone(),
            counters: LocalCounters::default(),
            drain: Drain::default(),
            record_writer,
            connections: BTreeMap::new(),
        };
        let clock = Clock::not_before(inherited.as_ref().map(|all| all.now()).unwrap_or_default());
        let replication = replication
            .map(|(replicated, socket)| Replication::new(&config, replicated, socket, clock.now()));
        let shared = Shared {
            fixed_config: FixedConfig {
                name: config.name.clone(),
                listen: config.listen,
                console: config.console,
                peer_listen: config.peer_listen,
                iax2: config.iax2.clone(),
                store: config.store.clone(),
                replication: config.replication.clone(),
            },
            directories: watch::Sender::new(DirectoryConfig::of(&config)),
            bulletin_cursor: RefCell::default(),
            clock,
            state: RefCell::new(state),
            rearm: Notify::new(),
            stop_requested: Notify::new(),
            panics: Cell::new(0),
            outages: RefCell::default(),
            stopped: Cell::new(false),
            closing_connections: Cell::new(0),
            limits: Cell::new(limits),
            client_buffers: BufferPool::new(limits.client_buffers()),
            server_buffers: BufferPool::new(limits.server_buffers()),
            caller_bytes,
            server_bytes,
            connect_timeout: Cell::new(Duration::from_micros(config.connect_timeout.0)),
            replication,
            leg_file: RefCell::default(),
        };
        let instance = Instance(Rc::new(shared));
        let pending = inherited.map(|all| instance.inherit(all, &config)).unwrap_or_default();
        // From here on a successor may request this process's state.
        let successors = predecessor.socket_path().and_then(|path| {
            match takeover::listen_for_successor(path).and_then(UnixListener::from_std) {
                Ok(successors) => {
                    tracing::info!(target: LOG_TARGET, place = %path.display(), "listening for a successor");
                    Some(successors)
                }
                Err(error) => {
                    tracing::warn!(
                        target: LOG_TARGET,
                        place = %path.display(),
                        %error,
                        "cannot listen for a successor"
                    );
                    None
                }
            }
        });
        let listeners = Listeners {
            callers: RefCell::new(listener.map(Rc::new)),
            console: console.map(Rc::new),
            successors,
        };
        Ok(BoundInstance { instance, config, listeners, pending })
    }

    /// A handle on the controller, valid before, during and after [`BoundInstance::run`].
    pub fn handle(&self) -> Instance {
        self.instance.clone()
    }

    /// The address for JSON-lines callers.
    pub fn listens_at(&self) -> Option<SocketAddr> {
        self.listeners.callers.borrow().as_ref().and_then(|l| l.local_addr().ok())
    }

    /// The address of the operators' console.
    pub fn console_at(&self) -> Option<SocketAddr> {
        self.listeners.console.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// The address for IAX2 callers.
    pub fn iax2_at(&self) -> Option<SocketAddr> {
        let state = self.instance.0.state.borrow();
        state.iax2_front_socket.as_ref().and_then(|socket| socket.local_addr().ok())
    }

    /// Serves until `stop`, then finishes the accepted calls.
    pub async fn run(self, stop: impl std::future::Future<Output = ()>) -> Counters {
        let local = LocalSet::new();
        let BoundInstance { instance, config, listeners, pending } = self;
        local.run_until(instance.clone().serve(config, listeners, pending, stop)).await;
        instance.counters()
    }
}

/// The IAX2 front, with no callers yet.
fn iax2_front(config: &InstanceConfig) -> Result<Callers, StartError> {
    let usual = Defaults {
        class: config.core.classes.first().cloned().unwrap_or_else(|| "".into()),
        left: config.default_caller_wait,
        zones: config.zones.clone(),
        seed: config.core.seed,
    };
    let (tokens, bounds) = config.iax2.as_ref().map(|iax2| (iax2.tokens, iax2.bounds)).unwrap_or_default();
    let mut callers = Callers::new(usual, CallTokenGate::new(tokens, random()?));
    callers.reconfigure(config.default_caller_wait, &config.zones, tokens, bounds);
    callers.set_users(config.secrets.users.as_ref(), random()?);
    Ok(callers)
}

/// The IAX2 upstream, with no call servers yet.
fn iax2_servers(config: &InstanceConfig) -> Servers {
    let mut servers = Servers::default();
    servers.set_account(config.secrets.account.as_ref());
    servers
}

/// A key from the system's random source.
pub(super) fn random() -> Result<[u8; 32], StartError> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|why| StartError::Random(why.to_string()))?;
    Ok(bytes)
}

/// The opened socket; `None`: its address is in use by the predecessor.
fn opened<S>(result: io::Result<S>, is_in_use: impl Fn(&io::Error) -> bool) -> io::Result<Option<S>> {
    match result {
        Ok(socket) => Ok(Some(socket)),
        Err(error) if is_in_use(&error) => Ok(None),
        Err(error) => Err(error),
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // Lets a restarted process bind an address whose last connections are still in TIME_WAIT.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
