//! Simulation of controllers, call servers and callers in virtual time: each controller is the program's `lockpoint::core`,
//! each call server the laboratory's processor model, and the links between controllers fail at random. Counted is what
//! the call servers received and what the callers got. Runs with the same seed are identical.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::rc::Rc;

use lockpoint::core::{
    AttemptError, Client, Core, CoreConfig, DirectoryEntry, Effect, FrontKind, Input, Progress, Protocol,
    Refusal, ServerEvent, SetUp, Sid, Source, TransportError,
};
use lockpoint::fleet::credit_transfer::CreditCounts;
use lockpoint::fleet::FleetConfig;
use lockpoint::interface::{
    Cause, Cell, ClassSettings, LoadField, ServerId, ServerState, Settings, Span, Time,
};
use rand_core::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::sim::Links;
use crate::load::{CallerPlan, CallersConfig, Load};
use crate::path::random_fraction;
use crate::processor::{Admission, Processor, ProcessorConfig};

/// How long a caller waits for its call to be established.
const CALLER_TIMEOUT: Span = Span::from_millis(9_000);
/// Target time for establishing a call.
const SETUP_TARGET: Span = Span::from_millis(2_000);
const CLIENT: Client = Client { front: FrontKind::JsonLines, no: 1 };

/// The size of the simulated site, its load and its links.
#[derive(Debug, Clone)]
pub struct CoreSimulationConfig {
    /// Controllers.
    pub controllers: u16,
    /// Call servers.
    pub servers: u16,
    /// The processor model of each call server.
    pub processor: ProcessorConfig,
    /// Calls per second, as a share of the capacity of all call servers when warm.
    pub load: f64,
    /// Share of the calls that the first controller receives in any case; the rest is spread evenly over all.
    pub first_share: f64,
    /// How long an established call lasts.
    pub call_duration: Span,
    /// How the controllers exchange observations and permits; `None`: they do not.
    pub fleet: Option<FleetConfig>,
    /// The links between the controllers.
    pub links: Links,
    /// Longest delay of a list update; drawn for each update and controller.
    pub max_list_delay: Span,
    /// Seed of all random choices.
    pub seed: u64,
}

impl Default for CoreSimulationConfig {
    fn default() -> Self {
        CoreSimulationConfig {
            controllers: 6,
            servers: 4,
            processor: ProcessorConfig::default(),
            load: 0.8,
            first_share: 0.0,
            call_duration: Span::from_millis(9_000),
            fleet: None,
            links: Links::default(),
            max_list_delay: Span::from_millis(300),
            seed: 1,
        }
    }
}

/// Counters of a simulation.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// Calls attempted, without redials.
    pub calls: u64,
    /// Calls established, including those of redials.
    pub established: u64,
    /// Those of them established within the target time.
    pub in_target: u64,
    /// Set-ups refused or failed.
    pub refused: u64,
    /// Set-ups that call servers received while they were cold.
    pub to_cold: u64,
    /// Highest load on a cold call server within the overload window, as a share of the load that makes it fail.
    pub max_cold_load: f64,
    /// Call servers that failed under overload.
    pub failed_servers: u64,
    /// Set-ups that reached a call server more than 250 ms after the first controller was notified that it drains.
    pub after_drain: u64,
}

enum SimEvent {
    CallArrives(CallerPlan),
    CallerHangsUp(u16, u64),
    ServerReplies(u16, u16, Sid, ServerEvent),
    CallEnds(u16, u16, Sid),
    PeerMessage(u16, u16, Vec<u8>),
    List(u16, Vec<DirectoryEntry>),
    Resumes,
}

struct Server {
    processor: Processor,
    entry: DirectoryEntry,
    down: bool,
    /// When a controller was first notified that it drains.
    drain_notified_at: Option<Time>,
}

struct Controller {
    core: Core,
    /// The indexes of the call servers by the controller's ids, and the reverse.
    indexes: BTreeMap<ServerId, u16>,
    ids: BTreeMap<u16, ServerId>,
    /// Until when it is suspended.
    suspended_until: Option<Time>,
    /// Events that arrived while it was suspended.
    queued: Vec<SimEvent>,
}

/// A fleet of controllers with its call servers and callers.
pub struct CoreSimulation {
    /// The virtual time.
    pub now: Time,
    /// Faults and latency of the links from now on.
    pub links: Links,
    /// Counters so far.
    pub counts: Counts,
    config: CoreSimulationConfig,
    controllers: Vec<Controller>,
    servers: Vec<Server>,
    load: Load,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    scheduled: u64,
    deadlines: BTreeSet<(Time, u16)>,
    next_deadlines: Vec<Option<Time>>,
    callers: BTreeMap<Sid, (u16, CallerPlan)>,
    /// Controllers that receive no list updates any more.
    without_list: BTreeSet<u16>,
    rng: Pcg64Mcg,
}

fn settings(config: &CoreSimulationConfig) -> Settings {
    let cells = Some((0..config.servers).map(Cell).collect());
    let class = ClassSettings {
        setup_target: SETUP_TARGET,
        worth: 1.0,
        late_worth: 0.1,
        cells,
        ..ClassSettings::default()
    };
    let processor = &config.processor;
    Settings {
        controllers: u32::from(config.controllers),
        classes: vec![class],
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

impl CoreSimulation {
    /// A simulation in which all call servers are warm and listed, before the first call.
    pub fn new(config: CoreSimulationConfig) -> CoreSimulation {
        let now = Time(1_000_000_000);
        let call_server = |n: u16| Server {
            processor: Processor::new(config.processor, config.seed.wrapping_add(u64::from(n))),
            entry: DirectoryEntry {
                host: format!("s{n}"),
                address: SocketAddr::from(([127, 0, 0, 1], 1_000 + n)),
                protocol: Protocol::Sip,
                cell: Cell(n),
                zone: 0,
                started_ms: 0,
                state: ServerState::Ready,
            },
            down: false,
            drain_notified_at: None,
        };
        let mut simulation = CoreSimulation {
            now,
            links: config.links.clone(),
            counts: Counts::default(),
            controllers: Vec::new(),
            servers: (0..config.servers).map(call_server).collect(),
            load: Load::new(CallersConfig::default(), config.servers, config.seed),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            deadlines: BTreeSet::new(),
            next_deadlines: vec![None; usize::from(config.controllers)],
            callers: BTreeMap::new(),
            without_list: BTreeSet::new(),
            rng: Pcg64Mcg::seed_from_u64(config.seed ^ 0x6472_6976),
            config,
        };
        for me in 0..simulation.config.controllers {
            let controller = simulation.new_controller(me, 0);
            simulation.controllers.push(controller);
            simulation.connect_and_list(me);
        }
        let rate = simulation.rate();
        let first = simulation.load.arrival(now, rate);
        simulation.schedule(first.at, SimEvent::CallArrives(first));
        simulation
    }

    fn rate(&self) -> f64 {
        self.config.processor.capacity * f64::from(self.config.servers) * self.config.load
    }

    /// A new controller process, without observations.
    fn new_controller(&self, me: u16, incarnation: u32) -> Controller {
        let config = &self.config;
        let seed = config
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(u64::from(me) + (u64::from(incarnation) << 32));
        let fleet = config.fleet.clone().map(|fleet| FleetConfig {
            me,
            controllers: config.controllers,
            incarnation: (self.now.0 / 1_000) as u32,
            seed,
            ..fleet
        });
        let core = Core::new(CoreConfig {
            settings: settings(config),
            classes: vec!["judge-call".into()],
            tenants: Vec::new(),
            max_pending_calls: 20_000,
            max_pending_bytes: 8 << 20,
            max_caller_wait: CALLER_TIMEOUT,
            seed,
            fleet,
        });
        Controller {
            core,
            indexes: BTreeMap::new(),
            ids: BTreeMap::new(),
            suspended_until: None,
            queued: Vec::new(),
        }
    }

    fn connect_and_list(&mut self, me: u16) {
        self.input(me, Input::ClientUp(CLIENT));
        let hosts = self.servers.iter().map(|call_server| call_server.entry.clone()).collect();
        self.list_update(me, hosts, true);
    }

    /// Kills a controller's process and starts it again without any state but the list. Its calls are lost.
    pub fn restart(&mut self, me: u16) {
        let incarnation = (self.now.0 / 1_000) as u32;
        self.callers.retain(|_, (at, _)| *at != me);
        self.controllers[usize::from(me)] = self.new_controller(me, incarnation);
        self.connect_and_list(me);
    }

    /// Suspends a controller; events that arrive meanwhile are queued.
    pub fn suspend(&mut self, me: u16, duration: Span) {
        let until = self.now.plus(duration);
        self.controllers[usize::from(me)].suspended_until = Some(until);
        self.schedule(until, SimEvent::Resumes);
    }

    /// Stops list updates to a controller.
    pub fn stop_list_updates(&mut self, me: u16) {
        self.without_list.insert(me);
    }

    /// Ends a call server's process; the lists report it as gone.
    pub fn kill_server(&mut self, server: u16) {
        let call_server = &mut self.servers[usize::from(server)];
        call_server.down = true;
        call_server.entry.state = ServerState::Gone;
        self.publish(server);
    }

    /// Starts a call server again, cold; the lists report the start.
    pub fn start_server(&mut self, server: u16) {
        let now = self.now;
        let call_server = &mut self.servers[usize::from(server)];
        call_server.processor.start(now);
        (call_server.down, call_server.drain_notified_at) = (false, None);
        call_server.entry = DirectoryEntry {
            started_ms: now.0 / 1_000,
            state: ServerState::Ready,
            ..call_server.entry.clone()
        };
        self.publish(server);
    }

    /// Drains a call server: the lists report that it takes no new calls.
    pub fn drain_server(&mut self, server: u16) {
        self.servers[usize::from(server)].entry.state = ServerState::Draining;
        self.publish(server);
    }

    /// Permits that a controller holds for a call server, in calls; `None`: it needs none.
    pub fn permits(&self, me: u16, server: u16) -> Option<f64> {
        let host = &self.servers[usize::from(server)].entry.host;
        let view = self.controllers[usize::from(me)].core.fleet_view(self.now);
        view.into_iter().find(|v| v.host == *host).and_then(|v| v.permits)
    }

    /// Credit transferred by all controllers together.
    pub fn credit_counts(&self) -> CreditCounts {
        let mut total = CreditCounts::default();
        for counts in self.controllers.iter().filter_map(|c| c.core.credit_counts()) {
            total.lent += counts.lent;
            total.borrowed += counts.borrowed;
            total.too_late += counts.too_late;
        }
        total
    }

    /// Calls of a controller that have no final answer yet.
    pub fn pending_calls(&self, me: u16) -> usize {
        self.controllers[usize::from(me)].core.pending_calls()
    }

    /// Advances the time.
    pub fn advance(&mut self, duration: Span) {
        let end = self.now.plus(duration);
        while self.step(end) {}
        self.now = end;
    }

    fn publish(&mut self, server: u16) {
        let entry = self.servers[usize::from(server)].entry.clone();
        for me in 0..self.config.controllers {
            let delay = self.config.max_list_delay.scale(random_fraction(&mut self.rng));
            self.schedule(self.now.plus(delay), SimEvent::List(me, vec![entry.clone()]));
        }
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.scheduled += 1;
        self.due.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    /// Handles the next event or deadline; `false`: none is due by `end`.
    fn step(&mut self, end: Time) -> bool {
        let next = self.due.peek().map(|Reverse((at, _))| *at);
        let deadline = self.deadlines.first().copied();
        match (next, deadline) {
            (next, Some((at, me))) if next.is_none_or(|next| at <= next) && at <= end => {
                self.now = self.now.max(at);
                let mut effects = Vec::new();
                let _ = self.controllers[usize::from(me)].core.expire_deadlines(self.now, &mut effects);
                self.carry_out(me, effects);
                true
            }
            (Some(at), _) if at <= end => {
                self.now = self.now.max(at);
                let no = self.due.pop().map(|Reverse((_, no))| no);
                if let Some(event) = no.and_then(|no| self.events.remove(&no)) {
                    self.handle_event(event);
                }
                true
            }
            _ => false,
        }
    }

    /// The controller that an event is for, if that controller is suspended.
    fn suspended_recipient(&self, event: &SimEvent) -> Option<u16> {
        let me = match event {
            SimEvent::CallerHangsUp(me, _)
            | SimEvent::ServerReplies(me, ..)
            | SimEvent::PeerMessage(_, me, _)
            | SimEvent::List(me, _) => *me,
            _ => return None,
        };
        self.controllers[usize::from(me)].suspended_until.map(|_| me)
    }

    fn handle_event(&mut self, event: SimEvent) {
        if let Some(me) = self.suspended_recipient(&event) {
            return self.controllers[usize::from(me)].queued.push(event);
        }
        match event {
            SimEvent::CallArrives(wanted) => self.call_arrives(wanted),
            SimEvent::CallerHangsUp(me, no) => {
                if self.callers.remove(&Sid::from_number(no)).is_some() {
                    self.input(me, Input::HangUp(CLIENT, Sid::from_number(no), 16));
                }
            }
            SimEvent::ServerReplies(me, server, sid, reply) => self.server_replies(me, server, sid, reply),
            SimEvent::CallEnds(me, server, sid) => {
                let call_server = &mut self.servers[usize::from(server)];
                let released = call_server.processor.release(self.now);
                let reply = ServerEvent::Released(16, Vec::new());
                self.schedule(released, SimEvent::ServerReplies(me, server, sid, reply));
            }
            SimEvent::PeerMessage(from, to, data) => self.input(to, Input::PeerMessage(from, data)),
            SimEvent::List(me, hosts) => self.list_update(me, hosts, false),
            SimEvent::Resumes => {
                for me in 0..self.config.controllers {
                    let controller = &mut self.controllers[usize::from(me)];
                    if controller.suspended_until.is_some_and(|until| until <= self.now) {
                        controller.suspended_until = None;
                        let queued = std::mem::take(&mut controller.queued);
                        self.note_deadline(me);
                        queued.into_iter().for_each(|event| self.handle_event(event));
                    }
                }
            }
        }
    }

    fn server_replies(&mut self, me: u16, server: u16, sid: Sid, reply: ServerEvent) {
        if matches!(reply, ServerEvent::Answered(_)) {
            self.schedule(self.now.plus(self.config.call_duration), SimEvent::CallEnds(me, server, sid));
        }
        if let Some(id) = self.controllers[usize::from(me)].ids.get(&server).copied() {
            self.input(me, Input::Server(id, sid, reply));
        }
    }

    fn list_update(&mut self, me: u16, hosts: Vec<DirectoryEntry>, whole: bool) {
        if self.without_list.contains(&me) {
            return;
        }
        for entry in &hosts {
            let call_server = self.servers.iter_mut().find(|m| m.entry.host == entry.host);
            if let Some(call_server) = call_server.filter(|_| entry.state == ServerState::Draining) {
                call_server.drain_notified_at.get_or_insert(self.now);
            }
        }
        self.input(me, Input::List { source: Source::Bulletin, whole, hosts });
    }

    fn call_arrives(&mut self, wanted: CallerPlan) {
        let me = if wanted.redialled == 0 {
            self.counts.calls += 1;
            let rate = self.rate();
            let next = self.load.arrival(self.now, rate);
            self.schedule(next.at, SimEvent::CallArrives(next));
            self.draw_controller()
        } else {
            self.draw_controller()
        };
        if let Some(after) = wanted.gives_up_after {
            self.schedule(self.now.plus(after), SimEvent::CallerHangsUp(me, wanted.number));
        }
        let (class, number): (Rc<str>, Rc<str>) = ("judge-call".into(), "7f".into());
        let sid = Sid::from_number(wanted.number);
        let (body, dest, redialled): (Rc<str>, _, _) =
            ("x".into(), Some(Cell(wanted.dest)), wanted.redialled > 0);
        self.callers.insert(sid, (me, wanted));
        let set_up = SetUp { sid, class, tenant: None, left: CALLER_TIMEOUT, number, dest, redialled, body };
        if self.controllers[usize::from(me)].suspended_until.is_none() {
            self.input(me, Input::SetUp(CLIENT, set_up));
        }
    }

    /// Draws the controller that a caller connects to.
    fn draw_controller(&mut self) -> u16 {
        let (first, all) = (self.config.first_share, self.config.controllers);
        if all == 1 || random_fraction(&mut self.rng) < first {
            return 0;
        }
        let drawn = (random_fraction(&mut self.rng) * f64::from(all)) as u16;
        drawn.min(all - 1)
    }

    fn input(&mut self, me: u16, input: Input) {
        let mut effects = Vec::new();
        self.controllers[usize::from(me)].core.handle(self.now, input, &mut effects);
        self.carry_out(me, effects);
    }

    fn note_deadline(&mut self, me: u16) {
        let controller = &self.controllers[usize::from(me)];
        let next = controller.core.deadlines.next_at().filter(|_| controller.suspended_until.is_none());
        let before = std::mem::replace(&mut self.next_deadlines[usize::from(me)], next);
        if let Some(at) = before {
            self.deadlines.remove(&(at, me));
        }
        if let Some(at) = next {
            self.deadlines.insert((at, me));
        }
    }

    fn carry_out(&mut self, me: u16, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Connect { server, address, .. } => {
                    let at = self.servers.iter().position(|m| m.entry.address == address);
                    if let Some(at) = at.and_then(|at| u16::try_from(at).ok()) {
                        let controller = &mut self.controllers[usize::from(me)];
                        controller.indexes.insert(server, at);
                        controller.ids.insert(at, server);
                    }
                }
                Effect::Invite { server, sid, .. } => self.set_up_arrives(me, server, sid),
                Effect::Answer(_, sid, _) => {
                    self.counts.established += 1;
                    if let Some((_, wanted)) = self.callers.remove(&sid) {
                        self.counts.in_target += u64::from(self.now.since(wanted.at) <= SETUP_TARGET);
                    }
                }
                Effect::Refuse { sid, retry_after: wait, .. } => {
                    self.counts.refused += 1;
                    let caller = self.callers.remove(&sid);
                    if let Some(again) =
                        caller.and_then(|(_, caller)| self.load.redial(self.now, &caller, wait))
                    {
                        self.schedule(again.at, SimEvent::CallArrives(again));
                    }
                }
                Effect::Release(_, sid, _) => self.input(me, Input::ReleaseConfirmed(sid)),
                Effect::SendToPeers(Some(to), data) => {
                    for delay in self.links.delivery_delays(me, to, &mut self.rng) {
                        self.schedule(self.now.plus(delay), SimEvent::PeerMessage(me, to, data.clone()));
                    }
                }
                _ => {}
            }
        }
        self.note_deadline(me);
    }

    /// Handles a set-up that reaches a call server.
    fn set_up_arrives(&mut self, me: u16, id: ServerId, sid: Sid) {
        let Some(server) = self.controllers[usize::from(me)].indexes.get(&id).copied() else { return };
        let now = self.now;
        let call_server = &mut self.servers[usize::from(server)];
        let not_connected = ServerEvent::Lost(AttemptError {
            error: TransportError::ConnectFailed,
            progress: Progress::NotConnected,
        });
        if call_server.down {
            return self.schedule(
                now.plus(Span::from_millis(2)),
                SimEvent::ServerReplies(me, server, sid, not_connected),
            );
        }
        let after_drain = call_server
            .drain_notified_at
            .is_some_and(|notified_at| now.since(notified_at) > Span::from_millis(250));
        self.counts.after_drain += u64::from(after_drain);
        let cold = call_server.processor.capacity_share(now) < 1.0;
        self.counts.to_cold += u64::from(cold);
        let offer = call_server.processor.offer(now);
        if cold {
            self.counts.max_cold_load =
                self.counts.max_cold_load.max(call_server.processor.overload_share(now));
        }
        let (at, reply) = match offer {
            Admission::Accepted(at) => (at, ServerEvent::Answered("y".into())),
            Admission::Rejected(at, wait) => {
                (at, ServerEvent::Refused(Refusal::Full, Cause::ProcessorFullFor(wait), Vec::new()))
            }
            Admission::Crashed => {
                call_server.down = true;
                self.counts.failed_servers += 1;
                (now.plus(Span::from_millis(2)), not_connected)
            }
        };
        self.schedule(at, SimEvent::ServerReplies(me, server, sid, reply));
    }
}
