//! A fleet of simulated controllers in simulated time: one queue of events, one random generator, one thread. Runs with
//! the same seed are identical.

mod actions;
mod calls;
mod event;
mod network;
mod processes;

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use lockpoint::core::{Input, ServerEvent, Source};
use lockpoint::interface::{Cell, ClassSettings, LoadField, Settings, Span, Time};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::address::{Address, AddressBook};
use super::arrivals::Arrivals;
use super::control_plane::{ChangeId, MakeControlPlane};
use super::controller::{Channel, SimulatedController};
use super::directory::{Directories, CENTRAL_SERVERS};
use super::links::Links;
use super::propagation::Propagation;
use super::servers::Servers;
use super::services::Service;
use super::topology::Topology;
use super::traffic::Traffic;
use crate::path::random_fraction;
use crate::processor::ProcessorConfig;
pub use event::{Action, RemoteDatagram};
use event::{Event, Scheduled};

/// When a simulation begins.
const START_TIME: Time = Time(1_000_000_000);
/// How long a caller waits for its call to be established.
const CALLER_TIMEOUT: Span = Span::from_millis(9_000);
/// Target time for establishing a call, within which it has its full worth.
const SETUP_TARGET: Span = Span::from_millis(2_000);
/// Duration of an established call.
const CALL_DURATION: Span = Span::from_millis(4_000);
/// Capacity of all call servers together, as a multiple of the call rate.
const HEADROOM: f64 = 2.0;
/// Smallest capacity of a call server in calls per second, so that a single call does not fill it.
const MIN_CAPACITY: f64 = 5.0;
/// Longest delay of a directory update to a controller.
const MAX_DIRECTORY_DELAY: Span = Span::from_millis(300);

/// Configuration of a simulation.
#[derive(Clone)]
pub struct SimulationConfig {
    /// Controllers, remote ones included.
    pub controllers: u16,
    /// Number of them, the last ones, that are real processes: datagrams to them are put into the outbox, datagrams from
    /// them are passed in.
    pub remote: u16,
    /// Number of call servers.
    pub servers: u16,
    /// The services and their call servers.
    pub services: Vec<Service>,
    /// Controllers start at random times within this, so that their periodic work is not synchronized.
    pub start_window: Span,
    /// Location of the members.
    pub topology: Topology,
    /// Calls per second at each controller.
    pub calls_per_controller: f64,
    /// Seed of all random choices.
    pub seed: u64,
    /// Creates the module that distributes configuration changes; `None`: there is none.
    pub make_control_plane: Option<MakeControlPlane>,
}

/// Updates whose propagation is measured.
#[derive(Default)]
pub struct TrackedUpdates {
    /// Drains, by call server.
    pub drains: BTreeMap<u16, Propagation>,
    /// Deaths, by member.
    pub deaths: BTreeMap<u16, Propagation>,
    /// Configuration changes.
    pub changes: BTreeMap<ChangeId, Propagation>,
    /// Replacements, by member: the first datagram from the new address.
    pub replacements: BTreeMap<u16, Propagation>,
}

/// A fleet in simulated time.
pub struct Simulation {
    /// The simulated time.
    pub now: Time,
    /// The links between controllers.
    pub links: Links,
    /// The call servers.
    pub servers: Servers,
    /// The directories on the central servers.
    pub directories: Directories,
    /// The updates whose propagation is measured.
    pub tracked: TrackedUpdates,
    /// Control traffic so far, by member.
    pub traffic: Vec<Traffic>,
    /// Lower bound on the suspicions of members that were running and reachable.
    pub false_suspicions: u64,
    /// Datagrams dropped by controllers because the sender's address was unknown.
    pub from_unknown_senders: u64,
    /// Calls placed, and calls established.
    pub calls: (u64, u64),
    /// Datagrams that have arrived for remote controllers.
    pub outbox: Vec<RemoteDatagram>,
    config: SimulationConfig,
    settings: Settings,
    class_names: Vec<Rc<str>>,
    /// By member; `None`: it is not running.
    controllers: Vec<Option<SimulatedController>>,
    /// Number of members that each controller suspected last.
    suspected: Vec<usize>,
    members: HashMap<Address, u16>,
    address_book: Rc<AddressBook>,
    addresses: Vec<Address>,
    /// Number of control-plane sources; their numbers follow those of the controllers.
    sources: u16,
    next_address: u32,
    dead: BTreeSet<u16>,
    /// Members that no longer have their initial address.
    replaced: BTreeSet<u16>,
    arrivals: Arrivals,
    calls_made: u64,
    /// Processing time of control traffic in ended processes, by member.
    ended_control_time: Vec<Duration>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    rng: Pcg64Mcg,
}

/// The processor model of a call server, sized for its share of the calls.
pub fn processor(config: &SimulationConfig) -> ProcessorConfig {
    let rate = config.calls_per_controller * f64::from(config.controllers);
    ProcessorConfig {
        capacity: (rate * HEADROOM / f64::from(config.servers.max(1))).max(MIN_CAPACITY),
        ..ProcessorConfig::default()
    }
}

fn settings(config: &SimulationConfig, processor: &ProcessorConfig) -> Settings {
    let class = |service: &Service| ClassSettings {
        setup_target: SETUP_TARGET,
        worth: 1.0,
        late_worth: 0.1,
        cells: Some(service.servers.iter().map(|server| Cell(*server)).collect()),
        ..ClassSettings::default()
    };
    Settings {
        controllers: u32::from(config.controllers),
        classes: config.services.iter().map(class).collect(),
        load_fields: vec![LoadField::Idle, LoadField::Circuits, LoadField::Share, LoadField::Pending],
        max_attempts: 5,
        may_cancel: true,
        may_send_retry_after: true,
        max_retry_after: Span::from_millis(2_000),
        resend_delay: Span::from_millis(500),
        tick: Span::from_millis(5),
        cold_share: processor.cold_share,
        warm_up: Span::from_millis(processor.cold_ms),
        overload_factor: processor.overload_factor,
        overload_time: Span::from_millis(processor.tip_ms),
        ..Settings::default()
    }
}

impl Simulation {
    /// A simulation whose controllers are about to start; all call servers are warm, and there are no calls yet.
    pub fn new(config: SimulationConfig) -> Simulation {
        let processor = processor(&config);
        let sources = if config.make_control_plane.is_some() { CENTRAL_SERVERS } else { 0 };
        let members = config.controllers + sources;
        let addresses: Vec<Address> = (0..u32::from(members)).map(Address).collect();
        let rate = config.calls_per_controller * f64::from(config.controllers);
        let slots = usize::from(members);
        let mut simulation = Simulation {
            now: START_TIME,
            links: Links::new(config.topology),
            servers: Servers::new(config.servers, processor, config.seed),
            directories: Directories::new(),
            tracked: TrackedUpdates::default(),
            traffic: vec![Traffic::default(); slots],
            false_suspicions: 0,
            from_unknown_senders: 0,
            calls: (0, 0),
            outbox: Vec::new(),
            settings: settings(&config, &processor),
            class_names: (0..config.services.len()).map(|no| format!("service-{no}").into()).collect(),
            controllers: (0..slots).map(|_| None).collect(),
            suspected: vec![0; slots],
            members: addresses.iter().copied().zip(0..).collect(),
            address_book: Rc::new(AddressBook::new(addresses[..usize::from(config.controllers)].to_vec())),
            sources,
            next_address: u32::from(members),
            addresses,
            dead: BTreeSet::new(),
            replaced: BTreeSet::new(),
            arrivals: Arrivals::new(&config.services, config.controllers - config.remote, rate, config.seed),
            calls_made: 0,
            ended_control_time: vec![Duration::ZERO; slots],
            queue: BinaryHeap::new(),
            scheduled: 0,
            rng: Pcg64Mcg::seed_from_u64(config.seed),
            config,
        };
        simulation.directories.connect(simulation.config.controllers, CENTRAL_SERVERS);
        let simulated = simulation.config.controllers - simulation.config.remote;
        let starting = (0..simulated).chain(simulation.config.controllers..members);
        for member in starting {
            let offset = simulation.config.start_window.scale(random_fraction(&mut simulation.rng));
            simulation.schedule(START_TIME.plus(offset), Event::Start(member));
        }
        let first = simulation.arrivals.next(START_TIME.plus(simulation.config.start_window));
        simulation.schedule(first.at, Event::Arrive(first));
        simulation
    }

    /// Start time of the simulation.
    pub fn began(&self) -> Time {
        START_TIME
    }

    /// Number of controllers, including ended ones.
    pub fn controllers(&self) -> u16 {
        self.config.controllers
    }

    /// Calls per second over all controllers.
    pub fn call_rate(&self) -> f64 {
        self.config.calls_per_controller * f64::from(self.config.controllers)
    }

    /// Schedules an action.
    pub fn act_at(&mut self, at: Time, action: Action) {
        self.schedule(at, Event::Act(action));
    }

    /// Runs the simulation until `end`.
    pub fn run_until(&mut self, end: Time) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.handle_event(next.event);
        }
        self.now = self.now.max(end);
    }

    /// Sends a datagram of a remote controller.
    pub fn send_from_remote(&mut self, datagram: RemoteDatagram) {
        let to = self.addresses[usize::from(datagram.to)];
        self.send(datagram.from, to, Channel::Fleet, datagram.bytes.to_vec());
    }

    /// Processing time of control traffic, by controller.
    pub fn control_time(&self) -> Vec<Duration> {
        let each = self.controllers.iter().zip(&self.ended_control_time);
        let time = |(controller, ended): (&Option<SimulatedController>, &Duration)| {
            *ended + controller.as_ref().map_or(Duration::ZERO, |controller| controller.control_time)
        };
        each.map(time).take(usize::from(self.config.controllers)).collect()
    }

    /// Processing time of calls, summed over the running controllers.
    pub fn call_time(&self) -> Duration {
        self.controllers.iter().flatten().map(|controller| controller.call_time).sum()
    }

    /// Highest number of call servers of which one controller has an observation.
    pub fn max_entries_held(&self) -> usize {
        let alive = self.controllers.iter().flatten();
        alive.map(|controller| controller.entries_held(self.now)).max().unwrap_or(0)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.scheduled, event }));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Act(action) => self.act(action),
            Event::Start(member) => self.start(member),
            Event::Wake(member, address) => self.wake(member, address),
            Event::Deliver(delivery) => self.deliver(&delivery),
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::ServerReplies { controller, address, server, sid, reply } => {
                self.server_replies(controller, address, server, sid, reply);
            }
            Event::CallEnds { controller, address, server, sid } => {
                let at = self.servers.release(self.now, server);
                let reply = ServerEvent::Released(16, Vec::new());
                self.schedule(at, Event::ServerReplies { controller, address, server, sid, reply });
            }
            Event::ListUpdate { controller, lines, whole } => {
                self.directories.answer(controller, &lines);
                let hosts = lines.as_ref().clone();
                self.input(controller, Input::List { source: Source::Bulletin, whole, hosts });
            }
        }
    }

    /// Members known to the controllers' control planes: the minimum and the mean.
    pub fn members_known(&self) -> Option<(usize, f64)> {
        let alive = self.controllers.iter().take(usize::from(self.config.controllers)).flatten();
        let planes = alive.filter_map(|controller| controller.control_plane.as_ref());
        let known: Vec<usize> = planes.map(|plane| plane.members_known()).collect();
        let fewest = known.iter().copied().min()?;
        Some((fewest, known.iter().sum::<usize>() as f64 / known.len() as f64))
    }

    /// Highest number of entries held by a control-plane source.
    pub fn source_entries_held(&self) -> usize {
        let sources = self.controllers.iter().skip(usize::from(self.config.controllers)).flatten();
        let planes = sources.filter_map(|source| source.control_plane.as_ref());
        planes.map(|plane| plane.entries_held()).max().unwrap_or(0)
    }
}
