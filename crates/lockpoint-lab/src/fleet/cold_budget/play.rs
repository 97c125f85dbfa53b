//! Plays a scenario: the module's own controllers, the laboratory's processors and callers, in driven time.

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

/// How long a caller waits for a call to stand.
const PATIENCE: Span = Span::from_millis(9_000);
/// Shortest and longest way between a controller and a call server, in seconds.
const WAY: (f64, f64) = (0.003, 0.021);
/// After a start the call server's state comes on the first connection, so much later at most.
const FIRST_STATE: f64 = 0.06;
/// How long a call stands before its release is work for the call server, on average.
const HOLD: f64 = 9.0;
/// Lines that a call server has for each call a second that it bears.
const LINES: f64 = 10.0;
const PORT: u16 = 5_060;

/// The worst of a run.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Worst {
    /// Set-ups within the window as a share of N + 2 x root of N + 2.
    pub ratio: f64,
    /// Those set-ups.
    pub sent: usize,
    /// N.
    pub budget: f64,
    /// After the start of the call server.
    pub age: Span,
}

/// What a run brought.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct RunOutcome {
    /// By controllers that had been told of the start.
    pub told: Worst,
    /// By all.
    pub all: Worst,
    /// Set-ups sent to cold call servers.
    pub to_cold: u64,
    /// Calls that came.
    pub asked: u64,
    /// Calls that stood.
    pub stood: u64,
}

#[derive(Debug, Clone, Copy)]
struct Caller {
    cell: u16,
    redialled: u32,
}

/// A controller in one of its lives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Life {
    controller: usize,
    no: u32,
}

enum Due {
    Asks(Caller),
    Arrives { from: Life, server: usize, call: CallId, attempt: Attempt, told: bool },
    Answers { to: Life, server: usize, call: CallId, attempt: Attempt, answer: Answer },
    State { to: Life, server: usize },
    Fires { to: Life, token: TimerToken },
    List { to: usize, server: usize, entry: ServerEntry },
    Stops { server: usize },
    Starts { server: usize },
    Restarts { controller: usize },
    Releases { server: usize },
}

/// What a call server says to a set-up.
#[derive(Debug, Clone, Copy)]
enum Answer {
    Stands,
    Full(Span),
    Error,
    NotConnected,
}

struct Machine {
    processor: Processor,
    entry: ServerEntry,
    down: bool,
    recent: VecDeque<(Time, bool)>,
}

/// The attempts of a call so far.
#[derive(Debug, Clone, Copy, Default)]
struct Attempts {
    made: u16,
    /// Which is out, where, and when it was sent.
    out: Option<(Attempt, ServerId, Time)>,
}

struct Member {
    controller: Controller,
    life: u32,
    next_call: u32,
    callers: BTreeMap<CallId, Caller>,
    attempts: BTreeMap<CallId, Attempts>,
    /// The start of each call server that it has been told of.
    told: Vec<Time>,
}

struct Run<'a> {
    scenario: &'a Scenario,
    settings: Settings,
    now: Time,
    begin: Time,
    members: Vec<Member>,
    /// Sums of the weights, to draw a controller by.
    sums: Vec<f64>,
    machines: Vec<Machine>,
    due: BinaryHeap<Reverse<(Time, u64)>>,
    what: BTreeMap<u64, Due>,
    booked: u64,
    rng: Pcg64Mcg,
    outcome: RunOutcome,
}

/// Plays it to the end of the last call server's cold time.
pub fn play(scenario: &Scenario) -> RunOutcome {
    let mut run = Run::new(scenario);
    let stop = run.begin.plus(scenario.usual);
    let mut last = stop;
    for server in 0..scenario.stopped {
        run.book(stop, Due::Stops { server });
        let start = stop.plus(scenario.away).plus(scenario.stagger.scale(server as f64));
        run.book(start, Due::Starts { server });
        last = last.max(start);
    }
    let first = stop.plus(scenario.away).plus(scenario.restarts.begin);
    for controller in 0..scenario.weights.len() {
        if random_fraction(&mut run.rng) < scenario.restarts.share {
            let at = first.plus(scenario.restarts.spread.scale(random_fraction(&mut run.rng)));
            run.book(at, Due::Restarts { controller });
        }
    }
    run.pass(last.plus(run.settings.warm_up));
    run.outcome
}

impl<'a> Run<'a> {
    fn new(scenario: &'a Scenario) -> Run<'a> {
        let now = Time(1_000_000_000);
        let settings = scenario.settings();
        let machine = |server: usize| Machine {
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
            sums: sums.collect(),
            machines: (0..scenario.capacities.len()).map(machine).collect(),
            due: BinaryHeap::new(),
            what: BTreeMap::new(),
            booked: 0,
            rng: Pcg64Mcg::seed_from_u64(scenario.seed ^ 0x6275_6467),
            outcome: RunOutcome::default(),
        };
        for controller in 0..scenario.weights.len() {
            let member = run.member(controller, 0);
            run.members.push(member);
            run.hears_all(controller);
        }
        run.next_caller();
        run
    }

    /// A controller that knows nothing.
    fn member(&mut self, controller: usize, life: u32) -> Member {
        let seed = self.scenario.seed ^ ((controller as u64) << 20) ^ (u64::from(life) << 52);
        Member {
            controller: Controller::new(self.settings.clone(), seed),
            life,
            next_call: 0,
            callers: BTreeMap::new(),
            attempts: BTreeMap::new(),
            told: vec![Time::default(); self.machines.len()],
        }
    }

    fn book(&mut self, at: Time, due: Due) {
        self.booked += 1;
        self.due.push(Reverse((at, self.booked)));
        self.what.insert(self.booked, due);
    }

    fn pass(&mut self, end: Time) {
        while let Some(Reverse((at, no))) = self.due.pop() {
            if at > end {
                return;
            }
            self.now = at;
            if let Some(due) = self.what.remove(&no) {
                self.happens(due);
            }
        }
    }

    fn happens(&mut self, due: Due) {
        match due {
            Due::Asks(caller) => {
                if caller.redialled == 0 {
                    self.outcome.asked += 1;
                    self.next_caller();
                }
                self.asks(caller);
            }
            Due::Arrives { from, server, call, attempt, told } => {
                self.arrives(from, server, call, attempt, told);
            }
            Due::Answers { to, server, call, attempt, answer } => {
                self.answers(to, server, call, attempt, answer);
            }
            Due::State { to, server } => {
                let load = self.report(server);
                let server = self.machines[server].entry.server;
                self.tell(to, Event::Load { server, outcome: Outcome::Ok, load });
            }
            Due::Fires { to, token } => self.tell(to, Event::Timer(token)),
            Due::List { to, server, entry } => self.hears(to, server, entry),
            Due::Stops { server } => self.stops(server),
            Due::Starts { server } => self.starts(server),
            Due::Restarts { controller } => self.restarts(controller),
            Due::Releases { server } => {
                let machine = &mut self.machines[server];
                if !machine.down {
                    machine.processor.release(self.now);
                }
            }
        }
    }

    // ---- Call servers and the list -------------------------------------------------------

    fn stops(&mut self, server: usize) {
        let machine = &mut self.machines[server];
        machine.down = true;
        machine.entry.state = ServerState::Gone;
        if self.scenario.notice == Notice::GoneThenReady {
            self.publish(server);
        }
    }

    fn starts(&mut self, server: usize) {
        let now = self.now;
        let machine = &mut self.machines[server];
        machine.processor.start(now);
        machine.down = false;
        machine.recent.clear();
        machine.entry.state = ServerState::Ready;
        machine.entry.started = now;
        self.publish(server);
    }

    /// The list changes: each controller hears it some time later.
    fn publish(&mut self, server: usize) {
        let entry = self.machines[server].entry;
        for to in 0..self.members.len() {
            let mut late = self.scenario.list_late.scale(random_fraction(&mut self.rng));
            if random_fraction(&mut self.rng) < self.scenario.very_late_share {
                late = Span(late.0 + self.scenario.very_late.scale(random_fraction(&mut self.rng)).0);
            }
            self.book(self.now.plus(late), Due::List { to, server, entry });
        }
    }

    fn hears(&mut self, to: usize, server: usize, entry: ServerEntry) {
        // What a new life heard at its start may be newer.
        let newest = &mut self.members[to].told[server];
        if *newest > entry.started {
            return;
        }
        *newest = entry.started;
        let list = Event::List { kind: ListKind::Delta, entries: vec![entry] };
        let life = self.life(to);
        self.tell(life, list);
        if entry.state == ServerState::Ready {
            self.connects(life, server);
        }
    }

    /// A new life reads the whole list.
    fn hears_all(&mut self, to: usize) {
        let told = |machine: &Machine| match (self.scenario.notice, machine.down) {
            (Notice::RestartOnly, true) => ServerEntry { state: ServerState::Ready, ..machine.entry },
            _ => machine.entry,
        };
        let entries: Vec<ServerEntry> = self.machines.iter().map(told).collect();
        self.members[to].told = entries.iter().map(|entry| entry.started).collect();
        let life = self.life(to);
        self.tell(life, Event::List { kind: ListKind::Full, entries });
        for server in 0..self.machines.len() {
            self.connects(life, server);
        }
    }

    /// Its state comes first of all on a new connection.
    fn connects(&mut self, to: Life, server: usize) {
        let late = Span::from_secs(FIRST_STATE * random_fraction(&mut self.rng));
        self.book(self.now.plus(late), Due::State { to, server });
    }

    fn report(&mut self, server: usize) -> LoadReport {
        let (_, pending) = self.machines[server].processor.report(self.now);
        LoadReport(vec![-1.0, (self.scenario.capacities[server] * LINES) as f32, -1.0, pending as f32])
    }

    // ---- Controllers ---------------------------------------------------------------------

    fn life(&self, controller: usize) -> Life {
        Life { controller, no: self.members[controller].life }
    }

    /// Killed and started: it knows nothing but the list, and its callers call again.
    fn restarts(&mut self, controller: usize) {
        let life = self.members[controller].life + 1;
        let fresh = self.member(controller, life);
        let before = std::mem::replace(&mut self.members[controller], fresh);
        let mut cut: Vec<(CallId, Caller)> = before.callers.into_iter().collect();
        cut.sort_by_key(|(call, _)| *call);
        cut.into_iter().for_each(|(_, caller)| self.redials(caller, Span::default()));
        self.hears_all(controller);
    }

    fn tell(&mut self, to: Life, event: Event) {
        let mut actions = Vec::new();
        let member = &mut self.members[to.controller];
        if member.life == to.no {
            member.controller.handle(self.now, event, &mut actions);
        }
        actions.into_iter().for_each(|action| self.carry_out(to, action));
    }

    fn carry_out(&mut self, from: Life, action: Action) {
        match action {
            Action::Send { call, server, .. } => self.sends(from, call, server),
            Action::Refuse { call, retry_after } => self.turned_away(from, call, retry_after),
            Action::Fail { call } => self.turned_away(from, call, Span::default()),
            Action::Cancel { call, attempt } => self.cancels(from, call, attempt),
            Action::Timer { after, token } => self.book(self.now.plus(after), Due::Fires { to: from, token }),
            _ => {}
        }
    }

    fn sends(&mut self, from: Life, call: CallId, id: ServerId) {
        let (sent, way, server) = (self.now, self.way(), id.address as usize);
        let member = &mut self.members[from.controller];
        let attempts = member.attempts.entry(call).or_default();
        let attempt = Attempt(attempts.made);
        attempts.made += 1;
        attempts.out = Some((attempt, id, sent));
        let told = member.told[server] == self.machines[server].entry.started;
        self.book(sent.plus(way), Due::Arrives { from, server, call, attempt, told });
    }

    fn cancels(&mut self, from: Life, call: CallId, attempt: Attempt) {
        let server = self.members[from.controller].attempts.get(&call).and_then(|a| a.out);
        if let Some((_, server, _)) = server.filter(|(out, ..)| *out == attempt) {
            self.ends(from, server, call, attempt, Outcome::Cancelled, Cause::None);
        }
    }

    /// An attempt ends without a call that stands; each ends once.
    fn ends(
        &mut self,
        to: Life,
        server: ServerId,
        call: CallId,
        attempt: Attempt,
        outcome: Outcome,
        cause: Cause,
    ) {
        let Some(sent) = self.no_longer_out(to, call, attempt) else { return };
        let member = &mut self.members[to.controller];
        let closed = !member.callers.contains_key(&call);
        if closed {
            member.attempts.remove(&call);
        }
        let (took, load) = (self.now.since(sent), self.report(server.address as usize));
        self.tell(to, Event::Ended(AttemptEnd { call, attempt, server, outcome, cause, took, closed, load }));
    }

    /// When the attempt was sent, if it is out.
    fn no_longer_out(&mut self, to: Life, call: CallId, attempt: Attempt) -> Option<Time> {
        let member = self.members.get_mut(to.controller).filter(|member| member.life == to.no)?;
        let attempts = member.attempts.get_mut(&call)?;
        let (_, _, sent) = attempts.out.filter(|(out, ..)| *out == attempt)?;
        attempts.out = None;
        Some(sent)
    }

    fn answers(&mut self, to: Life, server: usize, call: CallId, attempt: Attempt, answer: Answer) {
        let id = self.machines[server].entry.server;
        match answer {
            Answer::Full(wait) => {
                self.ends(to, id, call, attempt, Outcome::Full, Cause::ProcessorFullFor(wait));
            }
            Answer::Error => self.ends(to, id, call, attempt, Outcome::Error, Cause::None),
            Answer::NotConnected => self.ends(to, id, call, attempt, Outcome::ConnectFailed, Cause::None),
            Answer::Stands => {
                let Some(sent) = self.no_longer_out(to, call, attempt) else { return };
                let member = &mut self.members[to.controller];
                member.attempts.remove(&call);
                self.outcome.stood += u64::from(member.callers.remove(&call).is_some());
                let took = self.now.since(sent);
                self.tell(to, Event::Established { call, attempt, server: id, took });
            }
        }
    }

    fn way(&mut self) -> Span {
        Span::from_secs(WAY.0 + (WAY.1 - WAY.0) * random_fraction(&mut self.rng))
    }

    // ---- Set-ups at a call server --------------------------------------------------------

    fn arrives(&mut self, from: Life, server: usize, call: CallId, attempt: Attempt, told: bool) {
        let (now, back) = (self.now, self.way());
        let errs = random_fraction(&mut self.rng) < self.scenario.errors;
        let machine = &mut self.machines[server];
        let (at, answer) = if machine.down {
            (now, Answer::NotConnected)
        } else {
            match machine.processor.offer(now) {
                Admission::Accepted(at) if errs => (at, Answer::Error),
                Admission::Accepted(at) => (at, Answer::Stands),
                Admission::Rejected(at, wait) => (at, Answer::Full(wait)),
                Admission::Crashed => (now, Answer::NotConnected),
            }
        };
        if !machine.down {
            self.weighs(server, told);
        }
        if matches!(answer, Answer::Stands) {
            let hold: f64 = Exp1.sample(&mut self.rng);
            self.book(at.plus(Span::from_secs(hold * HOLD)), Due::Releases { server });
        }
        self.book(at.plus(back), Due::Answers { to: from, server, call, attempt, answer });
    }

    /// Counts a set-up against what the cold call server bears within the window.
    fn weighs(&mut self, server: usize, told: bool) {
        let now = self.now;
        let machine = &mut self.machines[server];
        let age = now.since(machine.entry.started);
        if machine.entry.started == Time::default() || age >= self.settings.warm_up {
            return;
        }
        self.outcome.to_cold += 1;
        let window = self.settings.overload_time;
        machine.recent.push_back((now, told));
        while machine.recent.front().is_some_and(|(at, _)| now.since(*at) >= window) {
            machine.recent.pop_front();
        }
        let capacity = self.scenario.capacities[server];
        let warmth = machine.processor.capacity_share(now);
        let budget = self.settings.overload_factor * capacity * warmth * window.secs();
        let bound = budget + 2.0 * budget.sqrt() + 2.0;
        let told = machine.recent.iter().filter(|(_, told)| *told).count();
        for (worst, sent) in [(&mut self.outcome.told, told), (&mut self.outcome.all, machine.recent.len())] {
            let ratio = sent as f64 / bound;
            if ratio > worst.ratio {
                *worst = Worst { ratio, sent, budget, age };
            }
        }
    }

    // ---- Callers -------------------------------------------------------------------------

    /// Books the next new caller.
    fn next_caller(&mut self) {
        let all: f64 = self.scenario.capacities.iter().sum();
        let troubled = self.now.since(self.begin) > self.scenario.usual;
        let burst = if troubled { self.scenario.burst } else { 1.0 };
        let gap: f64 = Exp1.sample(&mut self.rng);
        let at = self.now.plus(Span::from_secs(gap / (all * self.scenario.load * burst)));
        let to_cold = troubled && random_fraction(&mut self.rng) < self.scenario.drawn_to_cold;
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
        self.book(at, Due::Asks(Caller { cell, redialled: 0 }));
    }

    /// A caller comes to a controller drawn by its share of the traffic.
    fn asks(&mut self, caller: Caller) {
        let drawn = random_fraction(&mut self.rng) * self.sums.last().copied().unwrap_or_default();
        let to = self.sums.partition_point(|sum| *sum <= drawn).min(self.members.len() - 1);
        let member = &mut self.members[to];
        member.next_call += 1;
        let call = CallId(member.next_call);
        member.callers.insert(call, caller);
        let new = NewCall {
            call,
            class: 0,
            tenant: None,
            number: Number(0),
            valid_until: self.now.plus(PATIENCE),
            first_choice: Some(Cell(caller.cell)),
            redialled: false,
            in_transit: false,
        };
        let life = self.life(to);
        self.tell(life, Event::Call(new));
    }

    fn turned_away(&mut self, from: Life, call: CallId, retry_after: Span) {
        let member = &mut self.members[from.controller];
        if member.attempts.get(&call).is_some_and(|attempts| attempts.out.is_none()) {
            member.attempts.remove(&call);
        }
        if let Some(caller) = member.callers.remove(&call) {
            self.redials(caller, retry_after);
        }
    }

    /// A caller who got nothing calls again, if he does.
    fn redials(&mut self, caller: Caller, retry_after: Span) {
        let (redial, most) = self.scenario.redial;
        if caller.redialled >= most || random_fraction(&mut self.rng) >= redial {
            return;
        }
        let at = self.now.plus(retry_after).plus(Span::from_secs(random_fraction(&mut self.rng)));
        self.book(at, Due::Asks(Caller { redialled: caller.redialled + 1, ..caller }));
    }
}
