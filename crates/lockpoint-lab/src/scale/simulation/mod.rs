//! A fleet of hollow controllers in simulated time: one queue of events, one random generator, one thread. The same seed
//! gives the same run.

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
use super::controller::{Channel, HollowController};
use super::directory::{Directories, MACHINES};
use super::links::Links;
use super::servers::Servers;
use super::services::Service;
use super::spread::Spread;
use super::topology::Topology;
use super::traffic::Traffic;
use crate::path::random_fraction;
use crate::processor::ProcessorConfig;
pub use event::{Action, RemoteDatagram};
use event::{Event, Scheduled};

/// When a simulation begins.
const BEGIN: Time = Time(1_000_000_000);
/// How long a caller waits for an answer.
const PATIENCE: Span = Span::from_millis(9_000);
/// A call that stands within this earns its full worth.
const AIM: Span = Span::from_millis(2_000);
/// How long a call stands.
const HOLD: Span = Span::from_millis(4_000);
/// Calls a second that all call servers bear together, as a multiple of those that come.
const HEADROOM: f64 = 2.0;
/// Calls a second that a call server bears at least, so that a single call does not fill it.
const LEAST_CAPACITY: f64 = 5.0;
/// The longest that a directory's news takes to reach a controller.
const DIRECTORY_DELAY: Span = Span::from_millis(300);

/// What a simulation is made of.
#[derive(Clone)]
pub struct SimulationConfig {
    /// Controllers, remote ones included.
    pub controllers: u16,
    /// Those of them, the last ones, that are processes of their own: what is sent to them is handed out, what they
    /// send is handed in.
    pub remote: u16,
    /// Call servers.
    pub servers: u16,
    /// The services that they carry.
    pub services: Vec<Service>,
    /// Controllers start at drawn moments within this, so that their rounds are not in step.
    pub starts_within: Span,
    /// Where all stand.
    pub topology: Topology,
    /// Calls a second that come to each controller.
    pub calls_per_controller: f64,
    /// For all draws.
    pub seed: u64,
    /// What spreads changes of configuration; `None`: nothing does.
    pub make_control_plane: Option<MakeControlPlane>,
}

/// News that the simulation follows.
#[derive(Default)]
pub struct Followed {
    /// By call server, that it drains.
    pub drains: BTreeMap<u16, Spread>,
    /// By member, that it is dead.
    pub deaths: BTreeMap<u16, Spread>,
    /// By change, that it is in force.
    pub changes: BTreeMap<ChangeId, Spread>,
    /// By member that was replaced, that its new address is heard.
    pub replacements: BTreeMap<u16, Spread>,
}

/// A fleet in simulated time.
pub struct Simulation {
    /// The time.
    pub now: Time,
    /// The links between controllers.
    pub links: Links,
    /// The call servers.
    pub servers: Servers,
    /// The centre as it is today.
    pub directories: Directories,
    /// The news whose spread is measured.
    pub followed: Followed,
    /// By member, its control traffic so far.
    pub traffic: Vec<Traffic>,
    /// Suspicions of members that were alive and could be reached, at least.
    pub false_suspicions: u64,
    /// Datagrams that a controller dropped as they came from an address that it does not know.
    pub from_strangers: u64,
    /// Calls that came, and those that stood.
    pub calls: (u64, u64),
    /// Datagrams that have arrived at remote controllers, to be handed out.
    pub outbox: Vec<RemoteDatagram>,
    config: SimulationConfig,
    settings: Settings,
    class_names: Vec<Rc<str>>,
    /// By member; `None`: it is dead.
    controllers: Vec<Option<HollowController>>,
    /// Members that each controller suspected last.
    suspected: Vec<usize>,
    members: HashMap<Address, u16>,
    address_book: Rc<AddressBook>,
    addresses: Vec<Address>,
    /// How many sources there are; they have the numbers after the controllers.
    sources: u16,
    next_address: u32,
    dead: BTreeSet<u16>,
    /// Members that have another address than the first lists say.
    replaced: BTreeSet<u16>,
    arrivals: Arrivals,
    calls_made: u64,
    /// Time on control that ended processes had spent, by member.
    ended_control_time: Vec<Duration>,
    queue: BinaryHeap<Reverse<Scheduled>>,
    scheduled: u64,
    rng: Pcg64Mcg,
}

/// The processor of a call server that bears its share of the calls.
pub fn processor(config: &SimulationConfig) -> ProcessorConfig {
    let rate = config.calls_per_controller * f64::from(config.controllers);
    ProcessorConfig {
        capacity: (rate * HEADROOM / f64::from(config.servers.max(1))).max(LEAST_CAPACITY),
        ..ProcessorConfig::default()
    }
}

fn settings(config: &SimulationConfig, processor: &ProcessorConfig) -> Settings {
    let class = |service: &Service| ClassSettings {
        setup_target: AIM,
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
    /// All controllers about to start, all call servers warm, no call yet.
    pub fn new(config: SimulationConfig) -> Simulation {
        let processor = processor(&config);
        let sources = if config.make_control_plane.is_some() { MACHINES } else { 0 };
        let members = config.controllers + sources;
        let addresses: Vec<Address> = (0..u32::from(members)).map(Address).collect();
        let rate = config.calls_per_controller * f64::from(config.controllers);
        let slots = usize::from(members);
        let mut simulation = Simulation {
            now: BEGIN,
            links: Links::new(config.topology),
            servers: Servers::new(config.servers, processor, config.seed),
            directories: Directories::new(),
            followed: Followed::default(),
            traffic: vec![Traffic::default(); slots],
            false_suspicions: 0,
            from_strangers: 0,
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
        simulation.directories.connect(simulation.config.controllers, MACHINES);
        let hollow = simulation.config.controllers - simulation.config.remote;
        let starting = (0..hollow).chain(simulation.config.controllers..members);
        for member in starting {
            let offset = simulation.config.starts_within.scale(random_fraction(&mut simulation.rng));
            simulation.schedule(BEGIN.plus(offset), Event::Start(member));
        }
        let first = simulation.arrivals.next(BEGIN.plus(simulation.config.starts_within));
        simulation.schedule(first.at, Event::Arrive(first));
        simulation
    }

    /// When the simulation began.
    pub fn began(&self) -> Time {
        BEGIN
    }

    /// Controllers in all, dead ones included.
    pub fn controllers(&self) -> u16 {
        self.config.controllers
    }

    /// Calls a second that come to all controllers together.
    pub fn call_rate(&self) -> f64 {
        self.config.calls_per_controller * f64::from(self.config.controllers)
    }

    /// Lets something happen at a moment.
    pub fn act_at(&mut self, at: Time, action: Action) {
        self.schedule(at, Event::Act(action));
    }

    /// Lets time pass until `end`.
    pub fn run_until(&mut self, end: Time) {
        while self.queue.peek().is_some_and(|Reverse(next)| next.at <= end) {
            let Some(Reverse(next)) = self.queue.pop() else { break };
            self.now = self.now.max(next.at);
            self.happen(next.event);
        }
        self.now = self.now.max(end);
    }

    /// A datagram of a remote controller sets out.
    pub fn send_from_remote(&mut self, datagram: RemoteDatagram) {
        let to = self.addresses[usize::from(datagram.to)];
        self.send(datagram.from, to, Channel::Fleet, datagram.bytes.to_vec());
    }

    /// By controller, the time that it has spent on control.
    pub fn control_time(&self) -> Vec<Duration> {
        let each = self.controllers.iter().zip(&self.ended_control_time);
        let time = |(controller, ended): (&Option<HollowController>, &Duration)| {
            *ended + controller.as_ref().map_or(Duration::ZERO, |controller| controller.control_time)
        };
        each.map(time).take(usize::from(self.config.controllers)).collect()
    }

    /// Time that all controllers alive have spent on calls, together.
    pub fn call_time(&self) -> Duration {
        self.controllers.iter().flatten().map(|controller| controller.call_time).sum()
    }

    /// The most call servers that a controller holds something of.
    pub fn most_entries_held(&self) -> usize {
        let alive = self.controllers.iter().flatten();
        alive.map(|controller| controller.entries_held(self.now)).max().unwrap_or(0)
    }

    fn schedule(&mut self, at: Time, event: Event) {
        self.scheduled += 1;
        self.queue.push(Reverse(Scheduled { at, order: self.scheduled, event }));
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Act(action) => self.act(action),
            Event::Start(member) => self.start(member),
            Event::Wake(member, address) => self.wake(member, address),
            Event::Deliver(delivery) => self.deliver(&delivery),
            Event::Arrive(arrival) => self.arrive(arrival),
            Event::Says { controller, address, server, sid, says } => {
                self.server_says(controller, address, server, sid, says);
            }
            Event::CallEnds { controller, address, server, sid } => {
                let at = self.servers.release(self.now, server);
                let says = ServerEvent::Released(16, Vec::new());
                self.schedule(at, Event::Says { controller, address, server, sid, says });
            }
            Event::Listed { controller, lines, whole } => {
                self.directories.answer(controller, &lines);
                let hosts = lines.as_ref().clone();
                self.input(controller, Input::List { source: Source::Bulletin, whole, hosts });
            }
        }
    }

    /// Members that the control planes of the controllers know: the fewest that one knows, and the mean.
    pub fn members_known(&self) -> Option<(usize, f64)> {
        let alive = self.controllers.iter().take(usize::from(self.config.controllers)).flatten();
        let planes = alive.filter_map(|controller| controller.control_plane.as_ref());
        let known: Vec<usize> = planes.map(|plane| plane.members_known()).collect();
        let fewest = known.iter().copied().min()?;
        Some((fewest, known.iter().sum::<usize>() as f64 / known.len() as f64))
    }

    /// The control planes of the machines set aside for control, for their memory.
    pub fn source_entries_held(&self) -> usize {
        let sources = self.controllers.iter().skip(usize::from(self.config.controllers)).flatten();
        let planes = sources.filter_map(|source| source.control_plane.as_ref());
        planes.map(|plane| plane.entries_held()).max().unwrap_or(0)
    }
}
