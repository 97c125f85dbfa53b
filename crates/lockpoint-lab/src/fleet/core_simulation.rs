//! Controllers, call servers and callers in driven time: each controller is the very core of the program, each call
//! server the laboratory's model of a processor, and the links between controllers fail by a seed. What is counted is
//! what the call servers were sent and what the callers got. The same seed gives the same run.

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
use crate::load::{CallersConfig, Load, Wanted};
use crate::path::chance;
use crate::processor::{Offer, Processor, ProcessorConfig};

/// How long a caller waits for a call to stand.
const PATIENCE: Span = Span::from_millis(9_000);
/// A call that stands within this is in time.
const AIM: Span = Span::from_millis(2_000);
const CLIENT: Client = Client { front: FrontKind::JsonLines, no: 1 };

/// What is at work, and how much is asked of it.
#[derive(Debug, Clone)]
pub struct CoreSimulationConfig {
    /// Controllers.
    pub controllers: u16,
    /// Call servers.
    pub servers: u16,
    /// What each of them is like.
    pub processor: ProcessorConfig,
    /// Calls a second, as a share of what all call servers bear when warm.
    pub load: f64,
    /// This share of the calls comes to the first controller; the others share the rest evenly.
    pub first: f64,
    /// How long a call stands.
    pub hold: Span,
    /// How the controllers share; `None`: they do not.
    pub shares: Option<FleetConfig>,
    /// The links between them.
    pub links: Links,
    /// The longest that the list takes to reach a controller; each time it is drawn anew for each.
    pub list_late: Span,
    /// For all draws.
    pub seed: u64,
}

impl Default for CoreSimulationConfig {
    fn default() -> Self {
        CoreSimulationConfig {
            controllers: 6,
            servers: 4,
            processor: ProcessorConfig::default(),
            load: 0.8,
            first: 0.0,
            hold: Span::from_millis(9_000),
            shares: None,
            links: Links::default(),
            list_late: Span::from_millis(300),
            seed: 1,
        }
    }
}

/// What was counted.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Counts {
    /// New callers.
    pub asked: u64,
    /// Calls that stood, redials' too.
    pub established: u64,
    /// Those of them that stood within the aim.
    pub in_aim: u64,
    /// Set-ups refused or failed.
    pub refused: u64,
    /// Set-ups that a call server got while it was cold.
    pub to_cold: u64,
    /// The most that a cold call server was sent within the rule's window, as a share of what makes it fall over.
    pub most_to_cold: f64,
    /// Call servers that fell over.
    pub fell: u64,
    /// Set-ups that reached a call server more than 250 ms after the first controller's list said that it drains.
    pub after_drain: u64,
}

enum Then {
    Asks(Wanted),
    GivesUp(u16, u64),
    Says(u16, u16, Sid, ServerEvent),
    Ends(u16, u16, Sid),
    Mail(u16, u16, Vec<u8>),
    List(u16, Vec<DirectoryEntry>),
    Wakes,
}

struct Machine {
    processor: Processor,
    line: DirectoryEntry,
    down: bool,
    /// When somebody's list first said that it drains.
    drains: Option<Time>,
}

struct Controller {
    core: Core,
    /// Its numbers of the call servers, and theirs by its numbers.
    numbers: BTreeMap<ServerId, u16>,
    ids: BTreeMap<u16, ServerId>,
    /// Until when it stands still.
    stalled: Option<Time>,
    /// What came meanwhile.
    waits: Vec<Then>,
}

/// A fleet at work.
pub struct CoreSimulation {
    /// The time.
    pub now: Time,
    /// What the links do from now on.
    pub links: Links,
    /// What was counted so far.
    pub counts: Counts,
    config: CoreSimulationConfig,
    controllers: Vec<Controller>,
    machines: Vec<Machine>,
    load: Load,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    then: BTreeMap<u64, Then>,
    booked: u64,
    deadlines: BTreeSet<(Time, u16)>,
    deadline: Vec<Option<Time>>,
    asked: BTreeMap<Sid, (u16, Wanted)>,
    /// Controllers that hear no list any more.
    deaf: BTreeSet<u16>,
    rng: Pcg64Mcg,
}

fn settings(config: &CoreSimulationConfig) -> Settings {
    let cells = Some((0..config.servers).map(Cell).collect());
    let class =
        ClassSettings { setup_target: AIM, worth: 1.0, late_worth: 0.1, cells, ..ClassSettings::default() };
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
    /// All warm and listed, nothing asked yet.
    pub fn new(config: CoreSimulationConfig) -> CoreSimulation {
        let now = Time(1_000_000_000);
        let machine = |n: u16| Machine {
            processor: Processor::new(config.processor, config.seed.wrapping_add(u64::from(n))),
            line: DirectoryEntry {
                host: format!("s{n}"),
                address: SocketAddr::from(([127, 0, 0, 1], 1_000 + n)),
                protocol: Protocol::Sip,
                cell: Cell(n),
                zone: 0,
                started_ms: 0,
                state: ServerState::Ready,
            },
            down: false,
            drains: None,
        };
        let mut driven = CoreSimulation {
            now,
            links: config.links.clone(),
            counts: Counts::default(),
            controllers: Vec::new(),
            machines: (0..config.servers).map(machine).collect(),
            load: Load::new(CallersConfig::default(), config.servers, config.seed),
            due: BinaryHeap::new(),
            then: BTreeMap::new(),
            booked: 0,
            deadlines: BTreeSet::new(),
            deadline: vec![None; usize::from(config.controllers)],
            asked: BTreeMap::new(),
            deaf: BTreeSet::new(),
            rng: Pcg64Mcg::seed_from_u64(config.seed ^ 0x6472_6976),
            config,
        };
        for me in 0..driven.config.controllers {
            let controller = driven.begin(me, 0);
            driven.controllers.push(controller);
            driven.starts(me);
        }
        let rate = driven.rate();
        let first = driven.load.arrival(now, rate);
        driven.book(first.at, Then::Asks(first));
        driven
    }

    fn rate(&self) -> f64 {
        self.config.processor.capacity * f64::from(self.config.servers) * self.config.load
    }

    /// A controller that has no observations yet.
    fn begin(&self, me: u16, incarnation: u32) -> Controller {
        let config = &self.config;
        let seed = config
            .seed
            .wrapping_mul(0x9e37_79b9)
            .wrapping_add(u64::from(me) + (u64::from(incarnation) << 32));
        let fleet = config.shares.clone().map(|shares| FleetConfig {
            me,
            controllers: config.controllers,
            incarnation: (self.now.0 / 1_000) as u32,
            seed,
            ..shares
        });
        let core = Core::new(CoreConfig {
            settings: settings(config),
            classes: vec!["judge-call".into()],
            tenants: Vec::new(),
            max_pending_calls: 20_000,
            max_pending_bytes: 8 << 20,
            max_caller_wait: PATIENCE,
            seed,
            fleet,
        });
        Controller { core, numbers: BTreeMap::new(), ids: BTreeMap::new(), stalled: None, waits: Vec::new() }
    }

    fn starts(&mut self, me: u16) {
        self.input(me, Input::ClientUp(CLIENT));
        let hosts = self.machines.iter().map(|machine| machine.line.clone()).collect();
        self.list(me, hosts, true);
    }

    /// A controller's process is killed, and starts again knowing nothing but the list. Its calls are lost.
    pub fn restart(&mut self, me: u16) {
        let incarnation = (self.now.0 / 1_000) as u32;
        self.asked.retain(|_, (at, _)| *at != me);
        self.controllers[usize::from(me)] = self.begin(me, incarnation);
        self.starts(me);
    }

    /// A controller stands still for so long; what comes meanwhile waits for it.
    pub fn suspend(&mut self, me: u16, how_long: Span) {
        let until = self.now.plus(how_long);
        self.controllers[usize::from(me)].stalled = Some(until);
        self.book(until, Then::Wakes);
    }

    /// A controller hears no list any more.
    pub fn deafen(&mut self, me: u16) {
        self.deaf.insert(me);
    }

    /// A call server's process ends, and the lists say that it is gone.
    pub fn kill_server(&mut self, server: u16) {
        let machine = &mut self.machines[usize::from(server)];
        machine.down = true;
        machine.line.state = ServerState::Gone;
        self.tell(server);
    }

    /// It is there again, and cold; the lists say so.
    pub fn start_server(&mut self, server: u16) {
        let now = self.now;
        let machine = &mut self.machines[usize::from(server)];
        machine.processor.start(now);
        (machine.down, machine.drains) = (false, None);
        machine.line =
            DirectoryEntry { started_ms: now.0 / 1_000, state: ServerState::Ready, ..machine.line.clone() };
        self.tell(server);
    }

    /// The lists say that it takes no new calls.
    pub fn drain_server(&mut self, server: u16) {
        self.machines[usize::from(server)].line.state = ServerState::Draining;
        self.tell(server);
    }

    /// Permits that a controller holds for a call server, in calls; `None`: it needs none.
    pub fn permits(&self, me: u16, server: u16) -> Option<f64> {
        let host = &self.machines[usize::from(server)].line.host;
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

    /// Calls that a controller owes an answer.
    pub fn pending_calls(&self, me: u16) -> usize {
        self.controllers[usize::from(me)].core.pending_calls()
    }

    /// Lets so much time pass.
    pub fn advance(&mut self, how_long: Span) {
        let end = self.now.plus(how_long);
        while self.step(end) {}
        self.now = end;
    }

    fn tell(&mut self, server: u16) {
        let line = self.machines[usize::from(server)].line.clone();
        for me in 0..self.config.controllers {
            let late = self.config.list_late.scale(chance(&mut self.rng));
            self.book(self.now.plus(late), Then::List(me, vec![line.clone()]));
        }
    }

    fn book(&mut self, at: Time, then: Then) {
        self.booked += 1;
        self.due.push(Reverse((at, self.booked)));
        self.then.insert(self.booked, then);
    }

    /// Goes to the next thing due; `false`: nothing is due by `end`.
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
                if let Some(then) = no.and_then(|no| self.then.remove(&no)) {
                    self.happens(then);
                }
                true
            }
            _ => false,
        }
    }

    /// Whom something is for, if it waits for a controller that stands still.
    fn stands_still(&self, then: &Then) -> Option<u16> {
        let me = match then {
            Then::GivesUp(me, _) | Then::Says(me, ..) | Then::Mail(_, me, _) | Then::List(me, _) => *me,
            _ => return None,
        };
        self.controllers[usize::from(me)].stalled.map(|_| me)
    }

    fn happens(&mut self, then: Then) {
        if let Some(me) = self.stands_still(&then) {
            return self.controllers[usize::from(me)].waits.push(then);
        }
        match then {
            Then::Asks(wanted) => self.ask(wanted),
            Then::GivesUp(me, no) => {
                if self.asked.remove(&Sid::from_number(no)).is_some() {
                    self.input(me, Input::HangUp(CLIENT, Sid::from_number(no), 16));
                }
            }
            Then::Says(me, server, sid, says) => self.says(me, server, sid, says),
            Then::Ends(me, server, sid) => {
                let machine = &mut self.machines[usize::from(server)];
                let released = machine.processor.release(self.now);
                let says = ServerEvent::Released(16, Vec::new());
                self.book(released, Then::Says(me, server, sid, says));
            }
            Then::Mail(from, to, data) => self.input(to, Input::PeerMessage(from, data)),
            Then::List(me, hosts) => self.list(me, hosts, false),
            Then::Wakes => {
                for me in 0..self.config.controllers {
                    let controller = &mut self.controllers[usize::from(me)];
                    if controller.stalled.is_some_and(|until| until <= self.now) {
                        controller.stalled = None;
                        let waited = std::mem::take(&mut controller.waits);
                        self.note_deadline(me);
                        waited.into_iter().for_each(|then| self.happens(then));
                    }
                }
            }
        }
    }

    fn says(&mut self, me: u16, server: u16, sid: Sid, says: ServerEvent) {
        if matches!(says, ServerEvent::Answered(_)) {
            self.book(self.now.plus(self.config.hold), Then::Ends(me, server, sid));
        }
        if let Some(id) = self.controllers[usize::from(me)].ids.get(&server).copied() {
            self.input(me, Input::Server(id, sid, says));
        }
    }

    fn list(&mut self, me: u16, hosts: Vec<DirectoryEntry>, whole: bool) {
        if self.deaf.contains(&me) {
            return;
        }
        for line in &hosts {
            let machine = self.machines.iter_mut().find(|m| m.line.host == line.host);
            if let Some(machine) = machine.filter(|_| line.state == ServerState::Draining) {
                machine.drains.get_or_insert(self.now);
            }
        }
        self.input(me, Input::List { source: Source::Bulletin, whole, hosts });
    }

    fn ask(&mut self, wanted: Wanted) {
        let me = if wanted.redialled == 0 {
            self.counts.asked += 1;
            let rate = self.rate();
            let next = self.load.arrival(self.now, rate);
            self.book(next.at, Then::Asks(next));
            self.draw()
        } else {
            self.draw()
        };
        if let Some(after) = wanted.gives_up {
            self.book(self.now.plus(after), Then::GivesUp(me, wanted.no));
        }
        let (class, number): (Rc<str>, Rc<str>) = ("judge-call".into(), "7f".into());
        let sid = Sid::from_number(wanted.no);
        let (body, dest, redialled): (Rc<str>, _, _) =
            ("x".into(), Some(Cell(wanted.dest)), wanted.redialled > 0);
        self.asked.insert(sid, (me, wanted));
        let set_up = SetUp { sid, class, tenant: None, left: PATIENCE, number, dest, redialled, body };
        if self.controllers[usize::from(me)].stalled.is_none() {
            self.input(me, Input::SetUp(CLIENT, set_up));
        }
    }

    /// The controller that a caller comes to.
    fn draw(&mut self) -> u16 {
        let (first, all) = (self.config.first, self.config.controllers);
        if all == 1 || chance(&mut self.rng) < first {
            return 0;
        }
        let even = (chance(&mut self.rng) * f64::from(all)) as u16;
        even.min(all - 1)
    }

    fn input(&mut self, me: u16, input: Input) {
        let mut effects = Vec::new();
        self.controllers[usize::from(me)].core.handle(self.now, input, &mut effects);
        self.carry_out(me, effects);
    }

    fn note_deadline(&mut self, me: u16) {
        let controller = &self.controllers[usize::from(me)];
        let next = controller.core.deadlines.next_at().filter(|_| controller.stalled.is_none());
        let before = std::mem::replace(&mut self.deadline[usize::from(me)], next);
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
                    let at = self.machines.iter().position(|m| m.line.address == address);
                    if let Some(at) = at.and_then(|at| u16::try_from(at).ok()) {
                        let controller = &mut self.controllers[usize::from(me)];
                        controller.numbers.insert(server, at);
                        controller.ids.insert(at, server);
                    }
                }
                Effect::Invite { server, sid, .. } => self.invited(me, server, sid),
                Effect::Answer(_, sid, _) => {
                    self.counts.established += 1;
                    if let Some((_, wanted)) = self.asked.remove(&sid) {
                        self.counts.in_aim += u64::from(self.now.since(wanted.at) <= AIM);
                    }
                }
                Effect::Refuse { sid, retry_after: wait, .. } => {
                    self.counts.refused += 1;
                    let of = self.asked.remove(&sid);
                    if let Some(again) = of.and_then(|(_, of)| self.load.redial(self.now, &of, wait)) {
                        self.book(again.at, Then::Asks(again));
                    }
                }
                Effect::Release(_, sid, _) => self.input(me, Input::ReleaseConfirmed(sid)),
                Effect::SendToPeers(Some(to), data) => {
                    for way in self.links.fate(me, to, &mut self.rng) {
                        self.book(self.now.plus(way), Then::Mail(me, to, data.clone()));
                    }
                }
                _ => {}
            }
        }
        self.note_deadline(me);
    }

    /// A set-up reaches a call server.
    fn invited(&mut self, me: u16, id: ServerId, sid: Sid) {
        let Some(server) = self.controllers[usize::from(me)].numbers.get(&id).copied() else { return };
        let now = self.now;
        let machine = &mut self.machines[usize::from(server)];
        let not_there = ServerEvent::Lost(AttemptError {
            error: TransportError::ConnectFailed,
            progress: Progress::NotConnected,
        });
        if machine.down {
            return self.book(now.plus(Span::from_millis(2)), Then::Says(me, server, sid, not_there));
        }
        let too_late = machine.drains.is_some_and(|told| now.since(told) > Span::from_millis(250));
        self.counts.after_drain += u64::from(too_late);
        let cold = machine.processor.share(now) < 1.0;
        self.counts.to_cold += u64::from(cold);
        let offer = machine.processor.offer(now);
        if cold {
            self.counts.most_to_cold = self.counts.most_to_cold.max(machine.processor.pressure(now));
        }
        let (at, says) = match offer {
            Offer::Taken(at) => (at, ServerEvent::Answered("y".into())),
            Offer::TurnedAway(at, wait) => {
                (at, ServerEvent::Refused(Refusal::Full, Cause::ProcessorFullFor(wait), Vec::new()))
            }
            Offer::Tipped => {
                machine.down = true;
                self.counts.fell += 1;
                (now.plus(Span::from_millis(2)), not_there)
            }
        };
        self.book(at, Then::Says(me, server, sid, says));
    }
}
