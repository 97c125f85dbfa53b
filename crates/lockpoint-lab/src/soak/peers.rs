//! The call servers and the discovery of a trial, each behind a path with faults.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use serde_json::Value;
use tokio::net::TcpListener;

use crate::bulletin::{list_entry, Bulletin};
use crate::event_log::{EventKind, EventLog, ListedState};
use crate::ports::free_address;
use crate::processor::ProcessorConfig;
use crate::server_model::ServerModel;
use crate::sip::{ServerBehaviour, SipServer};
use crate::soak::plan::{Plan, CONTROLLERS, SERVERS};
use crate::soak::tcp_path::{ConnectionFaults, TcpPath};

/// A change counts as told this long after discovery had it and could be reached, once a call to it has failed.
const TOLD_WITHIN: Duration = Duration::from_secs(6);
/// The capacity of a call server, in calls per second: these trials do not test overload.
const CAPACITY: f64 = 400.0;

/// After this many trials of a process the addresses of the first are given again.
const TRIALS_PER_PROCESS: u32 = 16;
/// The last byte of the first controller's address, above those that are given to listeners.
const FIRST_CONTROLLER_HOST: u8 = 240;

/// Addresses that belong to one trial alone.
pub struct Addresses {
    network: [u8; 2],
    next: Cell<u8>,
}

impl Addresses {
    /// The addresses of the next trial of this process.
    pub fn new() -> Addresses {
        static TRIALS: AtomicU32 = AtomicU32::new(0);
        let trial = TRIALS.fetch_add(1, Ordering::Relaxed) % TRIALS_PER_PROCESS;
        let id = std::process::id().wrapping_mul(TRIALS_PER_PROCESS) + trial;
        Addresses { network: [2 + (id / 250 % 250) as u8, 1 + (id % 250) as u8], next: Cell::new(0) }
    }
    /// The address from which peers see the connections of a controller come.
    fn of_controller(&self, number: usize) -> IpAddr {
        Ipv4Addr::new(127, self.network[0], self.network[1], FIRST_CONTROLLER_HOST + number as u8).into()
    }
    fn next_ip(&self) -> IpAddr {
        self.next.set(self.next.get() % (FIRST_CONTROLLER_HOST - 1) + 1);
        Ipv4Addr::new(127, self.network[0], self.network[1], self.next.get()).into()
    }
    /// A free address for a controller.
    pub fn free(&self) -> io::Result<SocketAddr> {
        free_address(self.next_ip())
    }
    /// A listener at an address that is not given again.
    async fn listen(&self) -> io::Result<TcpListener> {
        TcpListener::bind((self.next_ip(), 0)).await
    }
}

impl Default for Addresses {
    fn default() -> Self {
        Addresses::new()
    }
}

/// A call server and the path to it.
pub struct Server {
    /// The stand-in.
    pub server: Rc<SipServer>,
    /// Its model.
    pub model: Rc<ServerModel>,
    /// The path to it from each controller, whose entry is listed to that controller.
    pub paths: Vec<Rc<TcpPath>>,
    cell: u16,
    started_ms: Cell<u64>,
    /// How many faults of the path to it there are at present.
    pub disturbances: Cell<u32>,
    /// How many faults keep its process down at present.
    pub outages: Cell<u32>,
    /// Its state in discovery.
    pub listed: Cell<ListedState>,
}

/// All peers of the controllers but the callers.
pub struct Peers {
    events: EventLog,
    plan: Rc<Plan>,
    addresses: Rc<Addresses>,
    /// The discovery of each controller.
    bulletins: Vec<Rc<Bulletin>>,
    /// Two paths to each, at different addresses.
    pub discovery_paths: Vec<[Rc<TcpPath>; 2]>,
    /// The path that the present configurations name.
    pub discovery_path: Cell<usize>,
    /// When discovery can be reached again after the last failed calls to it.
    reachable_at: Cell<Option<Instant>>,
    servers: RefCell<Vec<Rc<Server>>>,
}

fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

impl Peers {
    /// Starts the peers of a trial.
    pub async fn start(
        events: &EventLog,
        plan: &Rc<Plan>,
        addresses: &Rc<Addresses>,
    ) -> io::Result<Rc<Peers>> {
        let (mut bulletins, mut discovery_paths) = (Vec::new(), Vec::new());
        for number in 0..CONTROLLERS {
            let bulletin = Bulletin::start_on(events, addresses.listen().await?)?;
            let from = addresses.of_controller(number);
            discovery_paths.push([
                TcpPath::open(addresses.listen().await?, bulletin.at, from)?,
                TcpPath::open(addresses.listen().await?, bulletin.at, from)?,
            ]);
            bulletins.push(bulletin);
        }
        let peers = Rc::new(Peers {
            events: events.clone(),
            plan: plan.clone(),
            addresses: addresses.clone(),
            bulletins,
            discovery_paths,
            discovery_path: Cell::new(0),
            reachable_at: Cell::new(None),
            servers: RefCell::default(),
        });
        for cell in 0..SERVERS {
            peers.add_server(cell as u16, 0).await?;
        }
        let servers = peers.servers.borrow().clone();
        servers.iter().for_each(|server| peers.record_state(server, ListedState::Ready));
        for (number, bulletin) in peers.bulletins.iter().enumerate() {
            bulletin.publish(true, servers.iter().map(|server| server.entry(number)).collect());
        }
        Ok(peers)
    }

    /// Starts another call server; it is not listed yet.
    pub async fn add_server(&self, cell: u16, started_ms: u64) -> io::Result<Rc<Server>> {
        let number = self.servers.borrow().len();
        let processor = ProcessorConfig { capacity: CAPACITY, ..ProcessorConfig::default() };
        let model =
            ServerModel::new(processor, self.plan.hold.as_millis() as u64, self.plan.seed + number as u64);
        let behaviour = ServerBehaviour::Model(model.clone());
        // At an address of the trial's own, which no outgoing connection takes while the call server is down.
        let listener = self.addresses.listen().await?;
        let server = SipServer::start_on(&self.events, &format!("s{number}"), behaviour, listener);
        server.pieces.set(if self.plan.in_pieces { 30 } else { 0 });
        server.unconfirmed_every.set(self.plan.unconfirmed_every);
        let mut paths = Vec::new();
        for number in 0..CONTROLLERS {
            let from = self.addresses.of_controller(number);
            paths.push(TcpPath::open(self.addresses.listen().await?, server.at, from)?);
        }
        let (started_ms, listed) = (Cell::new(started_ms), Cell::new(ListedState::Ready));
        let server = Rc::new(Server {
            server,
            model,
            paths,
            cell,
            started_ms,
            disturbances: Cell::new(0),
            outages: Cell::new(0),
            listed,
        });
        self.servers.borrow_mut().push(server.clone());
        Ok(server)
    }

    /// The call server of this number that is listed as ready, if it still is.
    pub fn ready_server(&self, number: usize) -> Option<Rc<Server>> {
        let servers = self.servers.borrow();
        servers.iter().rev().find(|s| usize::from(s.cell) == number).cloned().filter(|s| s.is_ready())
    }

    /// The number of call servers that are listed as ready.
    pub fn ready_count(&self) -> usize {
        self.servers.borrow().iter().filter(|server| server.is_ready()).count()
    }

    fn record_state(&self, server: &Server, state: ListedState) {
        server.listed.set(state);
        self.events.record(&server.server.name, "", EventKind::News(state, self.told_delay()));
    }

    /// Lists the state of a call server.
    pub fn list(&self, server: &Server, state: ListedState) {
        self.record_state(server, state);
        for (number, bulletin) in self.bulletins.iter().enumerate() {
            bulletin.publish(false, vec![server.entry(number)]);
        }
    }

    /// How much later than now a change may count as told.
    fn told_delay(&self) -> Duration {
        let now = Instant::now();
        match self.reachable_at.get() {
            Some(reachable_at) if now < reachable_at + TOLD_WITHIN => {
                reachable_at.saturating_duration_since(now) + TOLD_WITHIN
            }
            _ => Duration::ZERO,
        }
    }

    /// Calls to discovery fail until it can be reached again after this time.
    pub fn discovery_fails_for(&self, time: Duration) {
        self.reachable_at.set(self.reachable_at.get().max(Some(Instant::now() + time)));
    }
}

impl Server {
    /// Its entry in the list of a controller.
    fn entry(&self, controller: usize) -> Value {
        let health = match self.listed.get() {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        };
        let mut entry = list_entry(&self.server.name, self.paths[controller].at, self.cell, health);
        entry["born_ms"] = self.started_ms.get().into();
        entry
    }
    /// Sets how the next connections to it behave.
    pub fn set_faults(&self, faults: ConnectionFaults) {
        self.paths.iter().for_each(|path| path.set_faults(faults));
    }
    /// Nothing passes to or from it any more.
    pub fn cut(&self) {
        self.paths.iter().for_each(|path| path.cut());
    }
    /// Its connections are reset.
    pub fn reset(&self) {
        self.paths.iter().for_each(|path| path.reset());
    }
    /// Its connections are reset, and new ones refused.
    pub fn refuse(&self) {
        self.paths.iter().for_each(|path| path.refuse());
    }
    /// New connections are accepted again.
    pub async fn accept(&self) -> io::Result<()> {
        for path in &self.paths {
            path.accept().await?;
        }
        Ok(())
    }
    /// Whether it is listed as ready.
    pub fn is_ready(&self) -> bool {
        self.listed.get() == ListedState::Ready
    }
    /// Its number.
    pub fn number(&self) -> u16 {
        self.cell
    }
    /// It has been started now.
    pub fn mark_started(&self) {
        self.started_ms.set(unix_ms());
    }
}
