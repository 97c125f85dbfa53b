//! Opening a controller: its sockets are bound or inherited before it takes anything.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::{watch, Notify};
use tokio::task::LocalSet;

use crate::config::InstanceConfig;
use crate::core::Core;
use crate::counters::Counters;
use crate::drain::Drain;
use crate::front::iax2::{Callers, Usual};
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
    listener: Option<TcpListener>,
    console: Option<TcpListener>,
}

impl Bound {
    /// Opens what the controller listens at.
    pub async fn open(config: InstanceConfig) -> Result<Bound, StartError> {
        let fail = |key, address| move |why| StartError::Listen { key, address, why };
        let listener = match (config.inherited, config.listen) {
            (Some(descriptor), _) => {
                let taken = takeover::inherited(descriptor).and_then(TcpListener::from_std);
                Some(taken.map_err(|why| StartError::Inherited { descriptor, why })?)
            }
            (None, Some(address)) => Some(listen(address).map_err(fail("listen", address))?),
            (None, None) => None,
        };
        let console = match config.console {
            Some(address) => Some(listen(address).map_err(fail("console", address))?),
            None => None,
        };
        let peer_socket = match config.peer_listen {
            Some(at) => Some(Rc::new(UdpSocket::bind(at).await.map_err(fail("peer_listen", at))?)),
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
        let limits = config.limits;
        let (caller_bytes, server_bytes) = (Budget::new(limits.eighth()), Budget::new(limits.eighth()));
        let state = State {
            core: Core::new(config.core.clone()),
            guests: Guests::new(limits.callers()),
            next_client: 0,
            sip: Trunks::within(&server_bytes, limits.links()),
            callers: Callers::new(Usual {
                class: config.core.classes.first().cloned().unwrap_or_else(|| "".into()),
                left: config.usual_left,
                seed: config.core.seed,
            }),
            servers: Servers::default(),
            callers_socket,
            servers_socket,
            peer_socket,
            peers: config.peers.clone(),
            tally: Tally::default(),
            drain: Drain::default(),
        };
        let shared = Shared {
            bound_to: BoundTo {
                name: config.name.clone(),
                listen: config.listen,
                peer_listen: config.peer_listen,
                iax2: config.iax2.clone(),
            },
            followed: watch::Sender::new(Followed::of(&config)),
            after: Cell::new(0),
            clock: Clock::new(),
            state: RefCell::new(state),
            rearm: Notify::new(),
            panics: Cell::new(0),
            ended: Cell::new(false),
            parting: Cell::new(0),
            pool: Pool::new(limits.buffers()),
            caller_bytes,
            server_bytes,
            connect_timeout: Duration::from_micros(config.connect_timeout.0),
        };
        Ok(Bound { instance: Instance(Rc::new(shared)), config, listener, console })
    }

    /// A handle for whoever wants to look on.
    pub fn handle(&self) -> Instance {
        self.instance.clone()
    }

    /// Where JSON-lines callers connect.
    pub fn listens_at(&self) -> Option<SocketAddr> {
        self.listener.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Where operators call.
    pub fn console_at(&self) -> Option<SocketAddr> {
        self.console.as_ref().and_then(|l| l.local_addr().ok())
    }

    /// Where IAX2 callers send to.
    pub fn iax2_at(&self) -> Option<SocketAddr> {
        let state = self.instance.0.state.borrow();
        state.callers_socket.as_ref().and_then(|socket| socket.local_addr().ok())
    }

    /// Serves until `stop`, then finishes what was taken.
    pub async fn run(self, stop: impl std::future::Future<Output = ()>) -> Counters {
        let local = LocalSet::new();
        let Bound { instance, config, listener, console } = self;
        local.run_until(instance.clone().serve(config, listener, console, stop)).await;
        instance.counters()
    }
}

fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    // A restart takes the address over from a process that has just gone.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(1024)
}
