//! Opening a controller: its sockets are bound or inherited before it takes anything.

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
use crate::front::iax2::door::Door;
use crate::front::iax2::{Callers, Usual};
use crate::instance::handover::{Before, Doors, Unfinished};
use crate::instance::keep::Keeper;
use crate::instance::replication::Replication;
use crate::instance::{BoundTo, Clock, Followed, Instance, Shared, State, Tally};
use crate::net::guests::Guests;
use crate::net::pool::Pool;
use crate::net::queue::Budget;
use crate::takeover;
use crate::upstream::iax2::Servers;
use crate::upstream::sip::Trunks;

/// A controller that cannot start.
#[derive(Debug, thiserror::Error)]
pub enum StartError {
    /// An address cannot be listened at.
    #[error("cannot listen at {address} ({key}): {why}")]
    Listen {
        /// Which key of the configuration.
        key: &'static str,
        /// The address.
        address: SocketAddr,
        /// Why.
        why: io::Error,
    },
    /// The records cannot be opened.
    #[error("store.file {}: {why}", file.display())]
    Store {
        /// Which.
        file: std::path::PathBuf,
        /// Why.
        why: lockpoint_store::StoreError,
    },
    /// The system gives no random bytes.
    #[error("no random bytes for call tokens and challenges: {0}")]
    Random(String),
    /// The inherited descriptor is no listening socket.
    #[error("cannot take descriptor {descriptor} (ROUTER_FD): {why}")]
    Inherited {
        /// Which.
        descriptor: i32,
        /// Why.
        why: io::Error,
    },
}

/// The sockets of a controller that is ready to run.
pub struct Bound {
    instance: Instance,
    config: InstanceConfig,
    doors: Doors,
    left: Unfinished,
}

impl Bound {
    /// Opens what the controller listens at.
    pub async fn open(config: InstanceConfig) -> Result<Bound, StartError> {
        Bound::open_after(Before::nobody(), config).await
    }

    /// The same beside a predecessor, whose place it takes once all else is there. Guards against callers left without
    /// a controller by a successor that could not serve.
    pub async fn open_after(mut before: Before, config: InstanceConfig) -> Result<Bound, StartError> {
        let somebody = before.somebody();
        // An address that the predecessor holds comes along with all the rest.
        let unless_held = |error: &io::Error| somebody && error.kind() == io::ErrorKind::AddrInUse;
        let fail = |key, address| move |why| StartError::Listen { key, address, why };
        let listener = match (config.inherited_fd, config.listen) {
            (Some(descriptor), _) => {
                let taken = takeover::inherited(descriptor).and_then(TcpListener::from_std);
                Some(taken.map_err(|why| StartError::Inherited { descriptor, why })?)
            }
            (None, Some(address)) => opened(listen(address), unless_held).map_err(fail("listen", address))?,
            (None, None) => None,
        };
        let console = match config.console {
            Some(address) => opened(listen(address), unless_held).map_err(fail("console", address))?,
            None => None,
        };
        let peer_socket = match config.peer_listen {
            Some(at) => opened(UdpSocket::bind(at).await, unless_held).map_err(fail("peer_listen", at))?,
            None => None,
        };
        let (callers_socket, servers_socket) = match &config.iax2 {
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
        let mut inherited = before.inherit(&config);
        let mut given = inherited.as_mut();
        let listener = listener.or_else(|| given.as_mut().and_then(|all| all.listener.take()));
        let console = console.or_else(|| given.as_mut().and_then(|all| all.console.take()));
        let peer_socket =
            peer_socket.or_else(|| given.as_mut().and_then(|all| all.peers.take())).map(Rc::new);
        for (key, address, open) in
            [("listen", config.listen, listener.is_some()), ("console", config.console, console.is_some())]
        {
            if let Some(address) = address.filter(|_| !open) {
                return Err(fail(key, address)(io::ErrorKind::AddrInUse.into()));
            }
        }
        if somebody && inherited.is_none() {
            before.ask_to_leave();
            if let Some(at) = config.peer_listen.filter(|_| peer_socket.is_none()) {
                tracing::warn!(%at, "peers are not heard before the next start");
            }
        }
        let keeper = config.store.as_ref().map(|store| {
            Keeper::open(store).map_err(|why| StartError::Store { file: store.file.clone(), why })
        });
        let keeper = keeper.transpose()?;
        let limits = config.limits;
        let (caller_bytes, server_bytes) =
            (Budget::new(limits.memory_share()), Budget::new(limits.memory_share()));
        let state = State {
            core: Core::new(config.core.clone()),
            guests: Guests::new(limits.client_connections()),
            next_client: 0,
            sip: Trunks::within(&server_bytes, limits.extra_server_connections()),
            callers: callers_of(&config)?,
            servers: servers_of(&config),
            callers_socket,
            servers_socket,
            peer_socket,
            peers: config.peers.clone(),
            tally: Tally::default(),
            drain: Drain::default(),
            keeper,
            lines: BTreeMap::new(),
        };
        let clock = Clock::from(inherited.as_ref().map(|all| all.now()).unwrap_or_default());
        let replication = replication
            .map(|(replicated, socket)| Replication::new(&config, replicated, socket, clock.now()));
        let shared = Shared {
            bound_to: BoundTo {
                name: config.name.clone(),
                listen: config.listen,
                console: config.console,
                peer_listen: config.peer_listen,
                iax2: config.iax2.clone(),
                store: config.store.clone(),
                replication: config.replication.clone(),
            },
            followed: watch::Sender::new(Followed::of(&config)),
            heard: RefCell::default(),
            clock,
            state: RefCell::new(state),
            rearm: Notify::new(),
            leave: Notify::new(),
            panics: Cell::new(0),
            outages: RefCell::default(),
            ended: Cell::new(false),
            parting: Cell::new(0),
            limits: Cell::new(limits),
            pool: Pool::new(limits.buffers()),
            caller_bytes,
            server_bytes,
            connect_timeout: Cell::new(Duration::from_micros(config.connect_timeout.0)),
            replication,
        };
        let instance = Instance(Rc::new(shared));
        let left = inherited.map(|all| instance.inherit(all, &config)).unwrap_or_default();
        // From here on a successor may ask for what is held.
        let heirs = before.place().and_then(|place| {
            match takeover::wait_at(place).and_then(UnixListener::from_std) {
                Ok(heirs) => {
                    tracing::info!(place = %place.display(), "a successor may take over here");
                    Some(heirs)
                }
                Err(error) => {
                    tracing::warn!(place = %place.display(), %error, "no successor can take over");
                    None
                }
            }
        });
        let doors =
            Doors { listener: RefCell::new(listener.map(Rc::new)), console: console.map(Rc::new), heirs };
        Ok(Bound { instance, config, doors, left })
    }

    /// A handle for whoever wants to look on.
    pub fn handle(&self) -> Instance {
        self.instance.clone()
    }

    /// Where JSON-lines callers connect.
    pub fn listens_at(&self) -> Option<SocketAddr> {
        self.doors.listener.borrow().as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Where operators call.
    pub fn console_at(&self) -> Option<SocketAddr> {
        self.doors.console.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Where IAX2 callers send to.
    pub fn iax2_at(&self) -> Option<SocketAddr> {
        let state = self.instance.0.state.borrow();
        state.callers_socket.as_ref().and_then(|socket| socket.local_addr().ok())
    }

    /// Serves until `stop`, then finishes what was taken.
    pub async fn run(self, stop: impl std::future::Future<Output = ()>) -> Counters {
        let local = LocalSet::new();
        let Bound { instance, config, doors, left } = self;
        local.run_until(instance.clone().serve(config, doors, left, stop)).await;
        instance.counters()
    }
}

/// The IAX2 front, without a caller.
fn callers_of(config: &InstanceConfig) -> Result<Callers, StartError> {
    let usual = Usual {
        class: config.core.classes.first().cloned().unwrap_or_else(|| "".into()),
        left: config.default_caller_wait,
        zones: config.zones.clone(),
        seed: config.core.seed,
    };
    let (tokens, bounds) = config.iax2.as_ref().map(|iax2| (iax2.tokens, iax2.bounds)).unwrap_or_default();
    let mut callers = Callers::new(usual, Door::new(tokens, random()?));
    callers.reconfigure(config.default_caller_wait, &config.zones, tokens, bounds);
    callers.examine(config.secrets.users.as_ref(), random()?);
    Ok(callers)
}

/// The IAX2 call servers, none of them known yet.
fn servers_of(config: &InstanceConfig) -> Servers {
    let mut servers = Servers::default();
    servers.introduce(config.secrets.account.as_ref());
    servers
}

/// Random bytes that nobody can guess.
pub(super) fn random() -> Result<[u8; 32], StartError> {
    let mut bytes = [0; 32];
    getrandom::fill(&mut bytes).map_err(|why| StartError::Random(why.to_string()))?;
    Ok(bytes)
}

/// What was opened; `None`: its place is held by the predecessor.
fn opened<S>(tried: io::Result<S>, held: impl Fn(&io::Error) -> bool) -> io::Result<Option<S>> {
    match tried {
        Ok(socket) => Ok(Some(socket)),
        Err(error) if held(&error) => Ok(None),
        Err(error) => Err(error),
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restart takes the address over from a process that has just gone.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
