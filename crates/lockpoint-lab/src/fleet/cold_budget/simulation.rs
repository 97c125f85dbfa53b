//! Simulates a scenario in virtual time, with the controllers of the decision module and the laboratory's processors and
//! callers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

use lockpoint::interface::{
    Action, Attempt, AttemptEnd, CallId, Cause, Cell, Event, ListKind, LoadReport, NewCall, Number, Outcome,
    ServerEntry, ServerId, ServerState, Settings, Span, Time, TimerToken,
};
use lockpoint::rules::Controller;
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp1};
use rand_pcg::Pcg64Mcg;

use super::scenario::{Notice, Scenario};
use crate::path::random_fraction;
use crate::processor::{Admission, Processor};

/// How long a caller waits for its call to be established.
const CALLER_TIMEOUT: Span = Span::from_millis(9_000);
/// Shortest and longest one-way latency between a controller and a call server, in seconds.
const LATENCY_S: (f64, f64) = (0.003, 0.021);
/// Longest time from a connection to the first load report on it, in seconds.
const MAX_FIRST_REPORT_DELAY_S: f64 = 0.06;
/// Mean duration of a call, in seconds; its release costs the call server work.
const MEAN_CALL_DURATION_S: f64 = 9.0;
/// Lines of a call server for each call per second of its capacity.
const LINES_PER_CALL_RATE: f64 = 10.0;
const PORT: u16 = 5_060;

/// The window with the highest load in a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct PeakLoad {
    /// Set-ups within the window as a share of N + 2 sqrt(N) + 2.
    pub ratio: f64,
    /// Number of these set-ups.
    pub sent: usize,
    /// N: the set-ups that the settings allow within the window.
    pub budget: f64,
    /// Time since the start of the call server.
    pub age: Span,
}

/// The result of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunOutcome {
    /// Load from the controllers that had been notified of the start.
    pub notified: PeakLoad,
    /// Load from all controllers.
    pub all: PeakLoad,
    /// Set-ups sent to cold call servers.
    pub to_cold: u64,
    /// Calls attempted, without redials.
    pub calls: u64,
    /// Calls established.
    pub established: u64,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    cell: u16,
    redialled: u32,
}

/// One process incarnation of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Incarnation {
    controller: usize,
    number: u32,
}

enum SimEvent {
    CallArrives(Caller),
    SetUpArrives { from: Incarnation, server: usize, call: CallId, attempt: Attempt, notified: bool },
    ReplyArrives { to: Incarnation, server: usize, call: CallId, attempt: Attempt, reply: Reply },
    LoadReport { to: Incarnation, server: usize },
    TimerFires { to: Incarnation, token: TimerToken },
    ListUpdate { to: usize, server: usize, entry: ServerEntry },
    ServerStops { server: usize },
    ServerStarts { server: usize },
    ControllerRestarts { controller: usize },
    CallReleased { server: usize },
}

/// A call server's reply to a set-up.
#[derive(Debug, Clone, Copy)]
enum Reply {
    Established,
    Full(Span),
    Error,
    NotConnected,
}

struct Server {
    processor: Processor,
    entry: ServerEntry,
    down: bool,
    recent: VecDeque<(Time, bool)>,
}

/// The attempts of a call so far.
#[derive(Debug, Clone, Copy, Default)]
struct Attempts {
    made: u16,
    /// The outstanding attempt, its call server, and when it was sent.
    outstanding: Option<(Attempt, ServerId, Time)>,
}

struct Member {
    controller: Controller,
    incarnation: u32,
    next_call: u32,
    callers: BTreeMap<CallId, Caller>,
    attempts: BTreeMap<CallId, Attempts>,
    /// The latest start of each call server that it has been notified of.
    notified: Vec<Time>,
}

struct Run<'a> {
    scenario: &'a Scenario,
    settings: Settings,
    now: Time,
    begin: Time,
    members: Vec<Member>,
    /// Cumulative weights, to draw a controller by its share of the traffic.
    cumulative_weights: Vec<f64>,
    servers: Vec<Server>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    events: BTreeMap<u64, SimEvent>,
    scheduled: u64,
    rng: Pcg64Mcg,
    outcome: RunOutcome,
}

/// Simulates a scenario until the last call server is warm.
pub fn simulate(scenario: &Scenario) -> RunOutcome {
    let mut run = Run::new(scenario);
    let stop = run.begin.plus(scenario.usual);
    let mut last = stop;
    for server in 0..scenario.stopped {
        run.schedule(stop, SimEvent::ServerStops { server });
        let start = stop.plus(scenario.away).plus(scenario.stagger.scale(server as f64));
        run.schedule(start, SimEvent::ServerStarts { server });
        last = last.max(start);
    }
    let first = stop.plus(scenario.away).plus(scenario.restarts.begin);
    for controller in 0..scenario.weights.len() {
        if random_fraction(&mut run.rng) < scenario.restarts.share {
            let at = first.plus(scenario.restarts.spread.scale(random_fraction(&mut run.rng)));
            run.schedule(at, SimEvent::ControllerRestarts { controller });
        }
    }
    run.run_until(last.plus(run.settings.warm_up));
    run.outcome
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        let now = Time(1_000_000_000);
        let settings = scenario.settings();
        let call_server = |server: usize| Server {
            processor: Processor::new(scenario.processor(server), scenario.seed.wrapping_add(server as u64)),
            entry: ServerEntry {
                server: ServerId { address: server as u32, port: PORT },
                cell: Cell(server as u16),
                zone: 0,
                started: Time::default(),
                state: ServerState::Ready,
            },
            down: false,
            recent: VecDeque::new(),
        };
        let mut sum = 0.0;
        let sums = scenario.weights.iter().map(|weight| {
            sum += weight;
            sum
        });
        let mut run = Run {
            scenario,
            settings,
            now,
            begin: now,
            members: Vec::new(),
            cumulative_weights: sums.collect(),
            servers: (0..scenario.capacities.len()).map(call_server).collect(),
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
            scheduled: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed ^ 0x6275_6467),
            outcome: RunOutcome::default(),
        };
        for controller in 0..scenario.weights.len() {
            let member = run.new_member(controller, 0);
            run.members.push(member);
            run.read_full_list(controller);
        }
        run.next_caller();
        run
    }

    /// A new controller process, without state.
    fn new_member(&mut self, controller: usize, incarnation: u32) -> Member {
        let seed = self.scenario.seed ^ ((controller as u64) << 20) ^ (u64::from(incarnation) << 52);
        Member {
            controller: Controller::new(self.settings.clone(), seed),
            incarnation,
            next_call: 0,
            callers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            notified: vec![Time::default(); self.servers.len()],
        }
    }

    fn schedule(&mut self, at: Time, event: SimEvent) {
        self.scheduled += 1;
        self.due.push(Reverse((at, self.scheduled)));
        self.events.insert(self.scheduled, event);
    }

    fn run_until(&mut self, end: Time) {
        while let Some(Reverse((at, no))) = self.due.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(event) = self.events.remove(&no) {
                self.handle_event(event);
            }
        }
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::CallArrives(caller) => {
                if caller.redialled == 0 {
                    self.outcome.calls += 1;
                    self.next_caller();
                }
                self.call_arrives(caller);
            }
            SimEvent::SetUpArrives { from, server, call, attempt, notified } => {
                self.set_up_arrives(from, server, call, attempt, notified);
            }
            SimEvent::ReplyArrives { to, server, call, attempt, reply } => {
                self.reply_arrives(to, server, call, attempt, reply);
            }
            SimEvent::LoadReport { to, server } => {
                let load = self.load_report(server);
                let server = self.servers[server].entry.server;
                self.handle(to, Event::Load { server, outcome: Outcome::Ok, load });
            }
            SimEvent::TimerFires { to, token } => self.handle(to, Event::Timer(token)),
            SimEvent::ListUpdate { to, server, entry } => self.receive_list_update(to, server, entry),
            SimEvent::ServerStops { server } => self.stop_server(server),
            SimEvent::ServerStarts { server } => self.start_server(server),
            SimEvent::ControllerRestarts { controller } => self.restart_controller(controller),
            SimEvent::CallReleased { server } => {
                let call_server = &mut self.servers[server];
                if !call_server.down {
                    call_server.processor.release(self.now);
                }
            }
        }
    }

    // ---- Call servers and the list -------------------------------------------------------

    fn stop_server(&mut self, server: usize) {
        let call_server = &mut self.servers[server];
        call_server.down = true;
        call_server.entry.state = ServerState::Gone;
        if self.scenario.notice == Notice::GoneThenReady {
            self.publish(server);
        }
    }

    fn start_server(&mut self, server: usize) {
        let now = self.now;
        let call_server = &mut self.servers[server];
        call_server.processor.start(now);
        call_server.down = false;
        call_server.recent.clear();
        call_server.entry.state = ServerState::Ready;
        call_server.entry.started = now;
        self.publish(server);
    }

    /// Publishes a change of the list: each controller is notified after a random delay.
    fn publish(&mut self, server: usize) {
        let entry = self.servers[server].entry;
        for to in 0..self.members.len() {
            let mut delay = self.scenario.list_late.scale(random_fraction(&mut self.rng));
            if random_fraction(&mut self.rng) < self.scenario.very_late_share {
                delay = Span(delay.0 + self.scenario.very_late.scale(random_fraction(&mut self.rng)).0);
            }
            self.schedule(self.now.plus(delay), SimEvent::ListUpdate { to, server, entry });
        }
    }

    fn receive_list_update(&mut self, to: usize, server: usize, entry: ServerEntry) {
        // The list that a new process read at its start may be newer.
        let newest = &mut self.members[to].notified[server];
        if *newest > entry.started {
            return;
        }
        *newest = entry.started;
        let list = Event::List { kind: ListKind::Delta, entries: vec![entry] };
        let incarnation = self.incarnation(to);
        self.handle(incarnation, list);
        if entry.state == ServerState::Ready {
            self.schedule_load_report(incarnation, server);
        }
    }

    /// A new process reads the whole list.
    fn read_full_list(&mut self, to: usize) {
        let notified = |call_server: &Server| match (self.scenario.notice, call_server.down) {
            (Notice::RestartOnly, true) => ServerEntry { state: ServerState::Ready, ..call_server.entry },
            _ => call_server.entry,
        };
        let entries: Vec<ServerEntry> = self.servers.iter().map(notified).collect();
        self.members[to].notified = entries.iter().map(|entry| entry.started).collect();
        let incarnation = self.incarnation(to);
        self.handle(incarnation, Event::List { kind: ListKind::Full, entries });
        for server in 0..self.servers.len() {
            self.schedule_load_report(incarnation, server);
        }
    }

    /// A call server sends its load report first on a new connection.
    fn schedule_load_report(&mut self, to: Incarnation, server: usize) {
        let delay = Span::from_secs(MAX_FIRST_REPORT_DELAY_S * random_fraction(&mut self.rng));
        self.schedule(self.now.plus(delay), SimEvent::LoadReport { to, server });
    }

    fn load_report(&mut self, server: usize) -> LoadReport {
        let (_, pending) = self.servers[server].processor.report(self.now);
        LoadReport(vec![
            -1.0,
            (self.scenario.capacities[server] * LINES_PER_CALL_RATE) as f32,
            -1.0,
            pending as f32,
        ])
    }

    // ---- Controllers ---------------------------------------------------------------------

    fn incarnation(&self, controller: usize) -> Incarnation {
        Incarnation { controller, number: self.members[controller].incarnation }
    }

    /// Kills a controller and starts it again, without any state but the list; its callers redial.
    fn restart_controller(&mut self, controller: usize) {
        let incarnation = self.members[controller].incarnation + 1;
        let new_process = self.new_member(controller, incarnation);
        let before = std::mem::replace(&mut self.members[controller], new_process);
        let mut disconnected: Vec<(CallId, Caller)> = before.callers.into_iter().collect();
        disconnected.sort_by_key(|(call, _)| *call);
        disconnected.into_iter().for_each(|(_, caller)| self.schedule_redial(caller, Span::default()));
        self.read_full_list(controller);
    }

    fn handle(&mut self, to: Incarnation, event: Event) {
        let mut actions = Vec::new();
        let member = &mut self.members[to.controller];
        if member.incarnation == to.number {
            member.controller.handle(self.now, event, &mut actions);
        }
        actions.into_iter().for_each(|action| self.carry_out(to, action));
    }

    fn carry_out(&mut self, from: Incarnation, action: Action) {
        match action {
            Action::Send { call, server, .. } => self.send(from, call, server),
            Action::Refuse { call, retry_after } => self.refused(from, call, retry_after),
            Action::Fail { call } => self.refused(from, call, Span::default()),
            Action::Cancel { call, attempt } => self.cancel(from, call, attempt),
            Action::Timer { after, token } => {
                self.schedule(self.now.plus(after), SimEvent::TimerFires { to: from, token })
            }
            _ => {}
        }
    }

    fn send(&mut self, from: Incarnation, call: CallId, id: ServerId) {
        let (sent, latency, server) = (self.now, self.latency(), id.address as usize);
        let member = &mut self.members[from.controller];
        let attempts = member.attempts.entry(call).or_default();
        let attempt = Attempt(attempts.made);
        attempts.made += 1;
        attempts.outstanding = Some((attempt, id, sent));
        let notified = member.notified[server] == self.servers[server].entry.started;
        self.schedule(sent.plus(latency), SimEvent::SetUpArrives { from, server, call, attempt, notified });
    }

    fn cancel(&mut self, from: Incarnation, call: CallId, attempt: Attempt) {
        let server = self.members[from.controller].attempts.get(&call).and_then(|a| a.outstanding);
        if let Some((_, server, _)) = server.filter(|(outstanding, ..)| *outstanding == attempt) {
            self.end_attempt(from, server, call, attempt, Outcome::Cancelled, Cause::None);
        }
    }

    /// Ends an attempt that did not establish a call; each attempt ends once.
    fn end_attempt(
        &mut self,
        to: Incarnation,
        server: ServerId,
        call: CallId,
        attempt: Attempt,
        outcome: Outcome,
        cause: Cause,
    ) {
        let Some(sent) = self.take_outstanding(to, call, attempt) else { return };
        let member = &mut self.members[to.controller];
        let closed = !member.callers.contains_key(&call);
        if closed {
            member.attempts.remove(&call);
        }
        let (took, load) = (self.now.since(sent), self.load_report(server.address as usize));
        self.handle(
            to,
            Event::Ended(AttemptEnd { call, attempt, server, outcome, cause, took, closed, load }),
        );
    }

    /// Clears the attempt if it is outstanding, and returns when it was sent.
    fn take_outstanding(&mut self, to: Incarnation, call: CallId, attempt: Attempt) -> Option<Time> {
        let member = self.members.get_mut(to.controller).filter(|member| member.incarnation == to.number)?;
        let attempts = member.attempts.get_mut(&call)?;
        let (_, _, sent) = attempts.outstanding.filter(|(outstanding, ..)| *outstanding == attempt)?;
        attempts.outstanding = None;
        Some(sent)
    }

    fn reply_arrives(
        &mut self,
        to: Incarnation,
        server: usize,
        call: CallId,
        attempt: Attempt,
        reply: Reply,
    ) {
        let id = self.servers[server].entry.server;
        match reply {
            Reply::Full(wait) => {
                self.end_attempt(to, id, call, attempt, Outcome::Full, Cause::ProcessorFullFor(wait));
            }
            Reply::Error => self.end_attempt(to, id, call, attempt, Outcome::Error, Cause::None),
            Reply::NotConnected => {
                self.end_attempt(to, id, call, attempt, Outcome::ConnectFailed, Cause::None)
            }
            Reply::Established => {
                let Some(sent) = self.take_outstanding(to, call, attempt) else { return };
                let member = &mut self.members[to.controller];
                member.attempts.remove(&call);
                self.outcome.established += u64::from(member.callers.remove(&call).is_some());
                let took = self.now.since(sent);
                self.handle(to, Event::Established { call, attempt, server: id, took });
            }
        }
    }

    fn latency(&mut self) -> Span {
        Span::from_secs(LATENCY_S.0 + (LATENCY_S.1 - LATENCY_S.0) * random_fraction(&mut self.rng))
    }

    // ---- Set-ups at a call server --------------------------------------------------------

    fn set_up_arrives(
        &mut self,
        from: Incarnation,
        server: usize,
        call: CallId,
        attempt: Attempt,
        notified: bool,
    ) {
        let (now, return_latency) = (self.now, self.latency());
        let fails = random_fraction(&mut self.rng) < self.scenario.errors;
        let call_server = &mut self.servers[server];
        let (at, reply) = if call_server.down {
            (now, Reply::NotConnected)
        } else {
            match call_server.processor.offer(now) {
                Admission::Accepted(at) if fails => (at, Reply::Error),
                Admission::Accepted(at) => (at, Reply::Established),
                Admission::Rejected(at, wait) => (at, Reply::Full(wait)),
                Admission::Crashed => (now, Reply::NotConnected),
            }
        };
        if !call_server.down {
            self.count_set_up(server, notified);
        }
        if matches!(reply, Reply::Established) {
            let factor: f64 = Exp1.sample(&mut self.rng);
            self.schedule(
                at.plus(Span::from_secs(factor * MEAN_CALL_DURATION_S)),
                SimEvent::CallReleased { server },
            );
        }
        self.schedule(
            at.plus(return_latency),
            SimEvent::ReplyArrives { to: from, server, call, attempt, reply },
        );
    }

    /// Counts a set-up to a cold call server, and compares the count within the window with the bound.
    fn count_set_up(&mut self, server: usize, notified: bool) {
        let now = self.now;
        let call_server = &mut self.servers[server];
        let age = now.since(call_server.entry.started);
        if call_server.entry.started == Time::default() || age >= self.settings.warm_up {
            return;
        }
        self.outcome.to_cold += 1;
        let window = self.settings.overload_time;
        call_server.recent.push_back((now, notified));
        while call_server.recent.front().is_some_and(|(at, _)| now.since(*at) >= window) {
            call_server.recent.pop_front();
        }
        let capacity = self.scenario.capacities[server];
        let warm_share = call_server.processor.capacity_share(now);
        let budget = self.settings.overload_factor * capacity * warm_share * window.secs();
        let bound = budget + 2.0 * budget.sqrt() + 2.0;
        let notified = call_server.recent.iter().filter(|(_, notified)| *notified).count();
        for (peak, sent) in
            [(&mut self.outcome.notified, notified), (&mut self.outcome.all, call_server.recent.len())]
        {
            let ratio = sent as f64 / bound;
            if ratio > peak.ratio {
                *peak = PeakLoad { ratio, sent, budget, age };
            }
        }
    }

    // ---- Callers -------------------------------------------------------------------------

    /// Schedules the next new caller.
    fn next_caller(&mut self) {
        let all: f64 = self.scenario.capacities.iter().sum();
        let after_stop = self.now.since(self.begin) > self.scenario.usual;
        let burst = if after_stop { self.scenario.burst } else { 1.0 };
        let gap: f64 = Exp1.sample(&mut self.rng);
        let at = self.now.plus(Span::from_secs(gap / (all * self.scenario.load * burst)));
        let to_cold = after_stop && random_fraction(&mut self.rng) < self.scenario.drawn_to_cold;
        let capacities = if to_cold {
            &self.scenario.capacities[..self.scenario.stopped]
        } else {
            &self.scenario.capacities[..]
        };
        let mut left = random_fraction(&mut self.rng) * capacities.iter().sum::<f64>();
        let cell = capacities.iter().position(|capacity| {
            left -= capacity;
            left < 0.0
        });
        let cell = cell.unwrap_or(0) as u16;
        self.schedule(at, SimEvent::CallArrives(Caller { cell, redialled: 0 }));
    }

    /// A caller connects to a controller drawn by its share of the traffic.
    fn call_arrives(&mut self, caller: Caller) {
        let drawn =
            random_fraction(&mut self.rng) * self.cumulative_weights.last().copied().unwrap_or_default();
        let to = self.cumulative_weights.partition_point(|sum| *sum <= drawn).min(self.members.len() - 1);
        let member = &mut self.members[to];
        member.next_call += 1;
        let call = CallId(member.next_call);
        member.callers.insert(call, caller);
        let new = NewCall {
            call,
            class: 0,
            tenant: None,
            number: Number(0),
            valid_until: self.now.plus(CALLER_TIMEOUT),
            first_choice: Some(Cell(caller.cell)),
            redialled: false,
            in_transit: false,
        };
        let incarnation = self.incarnation(to);
        self.handle(incarnation, Event::Call(new));
    }

    fn refused(&mut self, from: Incarnation, call: CallId, retry_after: Span) {
        let member = &mut self.members[from.controller];
        if member.attempts.get(&call).is_some_and(|attempts| attempts.outstanding.is_none()) {
            member.attempts.remove(&call);
        }
        if let Some(caller) = member.callers.remove(&call) {
            self.schedule_redial(caller, retry_after);
        }
    }

    /// Schedules a redial of a caller whose call failed, if that caller redials.
    fn schedule_redial(&mut self, caller: Caller, retry_after: Span) {
        let (redial, max_redials) = self.scenario.redial;
        if caller.redialled >= max_redials || random_fraction(&mut self.rng) >= redial {
            return;
        }
        let at = self.now.plus(retry_after).plus(Span::from_secs(random_fraction(&mut self.rng)));
        self.schedule(at, SimEvent::CallArrives(Caller { redialled: caller.redialled + 1, ..caller }));
    }
}
