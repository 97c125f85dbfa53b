//! Runs an experiment: simulated peers on sockets, a controller in its own process, open-loop callers and timed faults.
//! The results are computed from the events at the simulated peers.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::fs::File;
use std::io::{BufWriter, Write as _};
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lockpoint::core::Sid;
use lockpoint::interface::{Span, Time};
use serde_json::{json, Value};
use tokio::sync::mpsc;

use crate::audit::Audit;
use crate::bulletin::{list_entry, Bulletin};
use crate::callers::Caller;
use crate::event_log::{now, sleep_until, time_of, Ask, EventKind, EventLog, ListedState, RecordedEvent};
use crate::experiment::{Experiment, Fault, FaultKind, ServerConfig, ServerProtocol, RECORD_LIFE};
use crate::flood::Flood;
use crate::iax2::{IaxCaller, IaxServer};
use crate::load::{CallerPlan, Load};
use crate::resolver::{Resolver, SERVICE};
use crate::results::{latency_histogram, quantile_ms, Outcome, ProtocolResults, Second};
use crate::server_model::ServerModel;
use crate::sip::{ServerBehaviour, SipServer};
use crate::under_test::{address, Agent, LabError, ResourceUsage, TempDir};

/// The speed of a slow call server, as a share of its usual speed.
const SLOW_SPEED: f64 = 0.25;
/// Calls that are still established this long after the last arrival are ended by their callers.
const FINAL_HANG_UP_DELAY: Span = Span::from_millis(2_000);
/// The delay after which a directory lists a restarted call server.
const RESTART_LISTING_DELAY: Span = Span::from_millis(300);
/// The maximum rate of set-ups on one IAX2 socket, in calls per second, so that its call numbers do not run out.
const MAX_RATE_PER_SOCKET: f64 = 60.0;

/// A loopback address with a free port.
pub(crate) fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

fn socket(what: &str) -> impl FnOnce(std::io::Error) -> LabError + '_ {
    move |why| LabError::Socket { what: what.to_owned(), why }
}

enum ProtocolServer {
    Sip(Rc<SipServer>),
    Iax2(Rc<IaxServer>),
}

/// A call server of an experiment.
struct Server {
    name: String,
    cell: u16,
    protocol_server: ProtocolServer,
    model: Rc<ServerModel>,
    started_ms: u64,
}

/// The simulated peers of a controller: its directories and call servers.
pub struct TestBed {
    log: EventLog,
    events: mpsc::UnboundedReceiver<RecordedEvent>,
    /// The directory of the SIP call servers.
    pub bulletin: Rc<Bulletin>,
    /// The directory of the IAX2 call servers.
    pub resolver: Rc<Resolver>,
    servers: Vec<Server>,
}

impl TestBed {
    /// Starts the simulated peers of an experiment; the directories listen at the given addresses.
    pub async fn start(
        experiment: &Experiment,
        bulletin: SocketAddr,
        resolver: SocketAddr,
    ) -> Result<TestBed, LabError> {
        let log = EventLog::without_history();
        let events = log.subscribe();
        let bulletin = Bulletin::start_at(&log, bulletin).await.map_err(socket("bulletin"))?;
        let resolver = Resolver::start_at(resolver).await.map_err(socket("resolver"))?;
        let mut servers = Vec::new();
        for (n, ServerConfig { name, protocol, processor }) in experiment.server.iter().enumerate() {
            let seed = experiment.seed.wrapping_mul(1_000).wrapping_add(n as u64);
            let model = ServerModel::new(*processor, experiment.hold_ms, seed);
            let behaviour = ServerBehaviour::Model(model.clone());
            let protocol_server = match protocol {
                ServerProtocol::Sip => ProtocolServer::Sip(SipServer::start(&log, name, behaviour).await),
                ServerProtocol::Iax2 => ProtocolServer::Iax2(
                    IaxServer::start_on_path(&log, name, behaviour, experiment.path, seed).await,
                ),
            };
            servers.push(Server {
                name: name.clone(),
                cell: n as u16,
                protocol_server,
                model,
                started_ms: 0,
            });
        }
        let test_bed = TestBed { log, events, bulletin, resolver, servers };
        let sip = test_bed.servers.iter().filter_map(|s| s.list_entry("ready")).collect();
        test_bed.bulletin.publish(true, sip);
        test_bed.servers.iter().for_each(|server| test_bed.list(server, ListedState::Ready));
        Ok(test_bed)
    }

    /// Discards all further events.
    pub(crate) fn stop_recording(&mut self) {
        self.events.close();
    }

    /// Publishes the state of a call server in its directory.
    fn list(&self, server: &Server, state: ListedState) {
        let state_name = match state {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        };
        let mut delay = Duration::ZERO;
        match &server.protocol_server {
            ProtocolServer::Sip(_) => {
                self.bulletin.publish(false, server.list_entry(state_name).into_iter().collect())
            }
            ProtocolServer::Iax2(iax2) => {
                delay = Duration::from_secs(u64::from(RECORD_LIFE));
                let text = [
                    ("cell", server.cell.to_string()),
                    ("zone", "east".into()),
                    ("state", state_name.into()),
                ];
                let mut text: Vec<String> = text.map(|(key, value)| format!("{key}={value}")).to_vec();
                text.push(format!("born_ms={}", server.started_ms));
                self.resolver.remove_server(&server.name);
                self.resolver.add_server(&server.name, iax2.at, RECORD_LIFE, &text);
            }
        }
        self.log.record(&server.name, "", EventKind::News(state, delay));
    }
}

impl Server {
    /// Its entry of the bulletin; `None` for call servers that the bulletin does not list.
    fn list_entry(&self, state: &str) -> Option<serde_json::Value> {
        let ProtocolServer::Sip(sip) = &self.protocol_server else { return None };
        let mut entry = list_entry(&self.name, sip.at, self.cell, state);
        entry["born_ms"] = json!(self.started_ms);
        Some(entry)
    }
}

/// The configuration file of an agent with one instance that uses the test bed's directories.
pub(crate) fn agent_file(
    experiment: &Experiment,
    test_bed: &TestBed,
    control: &Path,
    limits: Value,
) -> Result<String, LabError> {
    let mut instance = json!({"name": "lab", "listen": any_port(), "bulletin": test_bed.bulletin.at, "seed": 1,
        "limits": limits,
        "iax2": {"listen": any_port(), "from": any_port()},
        "settings": experiment.settings()});
    for (key, value) in &experiment.iax2 {
        instance["iax2"][key] = serde_json::to_value(value).map_err(|e| LabError::file(control, e))?;
    }
    if test_bed.servers.iter().any(|s| matches!(s.protocol_server, ProtocolServer::Iax2(_))) {
        instance["dns_sd"] = json!({"resolver": test_bed.resolver.at, "service": SERVICE});
    }
    let file = json!({"control": control, "instance": [instance]});
    toml::to_string(&file).map_err(|e| LabError::file(control, e))
}

/// A scheduled action.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Action {
    Second,
    Arrive(u64),
    Cancel(String),
    HangUp(String),
    BeginFault(usize),
    EndFault(usize),
    ListAsReady(usize),
    EndRemainingCalls,
}

struct ActiveCall {
    plan: CallerPlan,
    asked: Time,
    connection: usize,
    established: bool,
}

/// A running experiment.
struct Run<'a> {
    experiment: &'a Experiment,
    test_bed: TestBed,
    agent: Agent,
    json_at: SocketAddr,
    iax2_at: SocketAddr,
    json: Vec<Rc<Caller>>,
    iax2: Vec<Rc<IaxCaller>>,
    load: Load,
    schedule: BinaryHeap<Reverse<(Time, Action)>>,
    plans: BTreeMap<u64, CallerPlan>,
    active: BTreeMap<String, ActiveCall>,
    audit: Audit,
    started_at: Time,
    seconds: Vec<Second>,
    second: Second,
    in_second: hdrhistogram::Histogram<u64>,
    sides: [ProtocolResults; 2],
    usage: ResourceUsage,
    forged: u64,
    output: OutputOptions,
}

/// The output while an experiment runs.
#[derive(Debug, Default)]
pub struct OutputOptions {
    /// Print one line per second to standard output.
    pub live: bool,
    /// Write each event to this file: milliseconds, simulated peer, call, kind.
    pub trace: Option<BufWriter<File>>,
}

/// Starts an agent and runs an experiment with it.
pub async fn run(
    experiment: &Experiment,
    program: &Path,
    output: OutputOptions,
) -> Result<Outcome, LabError> {
    let folder = TempDir::new("run")?;
    let control = folder.path().join("control.sock");
    let test_bed = TestBed::start(experiment, any_port(), any_port()).await?;
    let config: PathBuf = folder.path().join("agent.toml");
    let text = agent_file(experiment, &test_bed, &control, json!({"sockets": 1024, "memory_mb": 192}))?;
    std::fs::write(&config, text).map_err(|e| LabError::file(&config, e))?;
    let agent = Agent::start(program, &config, &control, true)?;
    run_on(experiment, test_bed, agent, "lab", output).await
}

/// Runs an experiment on a started test bed with a started agent; the callers connect to `instance`.
pub async fn run_on(
    experiment: &Experiment,
    test_bed: TestBed,
    mut agent: Agent,
    instance: &str,
    output: OutputOptions,
) -> Result<Outcome, LabError> {
    let count = test_bed.servers.len();
    let ready =
        agent.wait_until(|i| i.name != instance || (i.state == "serving" && i.servers.len() >= count));
    let status = ready.await?;
    let status = status.iter().find(|status| status.name == instance);
    let status = status.ok_or_else(|| LabError::NotServing(format!("it has no instance '{instance}'")))?;
    let (json_at, iax2_at) = (address(&status.listen, "listen")?, address(&status.iax2, "iax2.listen")?);
    let max_rate =
        experiment.burst.iter().fold(1.0, |most: f64, b| most.max(b.factor)) * experiment.rate(-1.0);
    let sockets = (max_rate / MAX_RATE_PER_SOCKET).ceil().max(experiment.callers.connections as f64) as usize;
    let (mut json, mut iax2) = (Vec::new(), Vec::new());
    for n in 0..experiment.callers.connections.max(1) {
        let caller = Caller::try_connect(&test_bed.log, &format!("json{n}"), json_at).await;
        json.push(Rc::new(caller.map_err(socket("a caller"))?));
    }
    for n in 0..sockets {
        let seed = experiment.seed.wrapping_mul(77).wrapping_add(n as u64);
        let (name, path) = (format!("iax2-{n}"), experiment.path);
        let ip = Ipv4Addr::new(127, 1, (n / 250) as u8, (n % 250 + 1) as u8);
        iax2.push(IaxCaller::start_on_path(&test_bed.log, &name, iax2_at, ip, path, seed).await);
    }
    let load = Load::new(experiment.callers.clone(), count as u16, experiment.seed);
    let usage = agent.used();
    let run = Run {
        experiment,
        test_bed,
        agent,
        json_at,
        iax2_at,
        json,
        iax2,
        load,
        schedule: BinaryHeap::new(),
        plans: BTreeMap::new(),
        active: BTreeMap::new(),
        audit: Audit::default(),
        started_at: now(),
        seconds: Vec::new(),
        second: Second::default(),
        in_second: latency_histogram(),
        sides: [ProtocolResults::new("json"), ProtocolResults::new("iax2")],
        usage,
        forged: 0,
        output,
    };
    run.execute().await
}

impl Run<'_> {
    fn schedule_at(&mut self, at: Time, action: Action) {
        self.schedule.push(Reverse((at, action)));
    }

    fn at(&self, secs: f64) -> Time {
        self.started_at.plus(Span::from_secs(secs))
    }

    fn next_arrival(&mut self, after: Time) {
        let elapsed = after.since(self.started_at).secs();
        if elapsed < self.experiment.seconds {
            let plan = self.load.arrival(after, self.experiment.rate(elapsed));
            self.schedule_call(plan);
        }
    }

    fn schedule_call(&mut self, plan: CallerPlan) {
        self.schedule_at(plan.at, Action::Arrive(plan.number));
        self.plans.insert(plan.number, plan);
    }

    async fn execute(mut self) -> Result<Outcome, LabError> {
        let Experiment { seconds, callers, fault, .. } = self.experiment;
        let flood = self.experiment.flood.as_ref().map(|flood| Flood::start(flood, self.iax2_at));
        let mut flood = flood.transpose().map_err(socket("the flood"))?;
        self.next_arrival(self.started_at);
        self.schedule_at(self.at(1.0), Action::Second);
        for (n, Fault { at, seconds, .. }) in fault.iter().enumerate() {
            self.schedule_at(self.at(*at), Action::BeginFault(n));
            self.schedule_at(self.at(at + seconds), Action::EndFault(n));
        }
        let asked_until = self.at(*seconds);
        self.schedule_at(asked_until.plus(FINAL_HANG_UP_DELAY), Action::EndRemainingCalls);
        // Redials follow the last arrival, and each waits at most for the callers' timeout. After that no call may be open.
        let end = asked_until.plus(Span::from_millis(callers.patience_ms * (1 + u64::from(callers.redials))));
        let end = end.plus(Span::from_millis(10_000));
        if self.output.live {
            println!(
                "{:>4} {:>7} {:>7} {:>7} {:>8} {:>9} {:>9} {:>9} {:>6}",
                "s", "asked", "stood", "in aim", "refused", "p50 ms", "p99 ms", "standing", "cpu"
            );
        }
        loop {
            let next = self.schedule.peek().map_or(end, |Reverse((at, _))| *at).min(end);
            tokio::select! {
                biased;
                Some(event) = self.test_bed.events.recv() => self.handle_event(&event),
                _ = sleep_until(next) => {
                    if let Some(Reverse((_, action))) = self.schedule.pop() {
                        self.perform(next, action).await;
                    }
                }
            }
            let elapsed = now();
            if elapsed > asked_until {
                if let Some(mut flood) = flood.take() {
                    self.forged = flood.stop();
                }
            }
            let over = elapsed > asked_until && self.active.is_empty() && self.plans.is_empty();
            if elapsed >= end || (over && self.audit.pending() == (0, 0)) {
                break;
            }
        }
        while let Ok(event) = self.test_bed.events.try_recv() {
            self.handle_event(&event);
        }
        self.audit.finish(now());
        let usage = self.agent.used();
        let counter_lines =
            self.agent.counters().await.iter().map(lockpoint::counters::Counters::line).collect();
        let stopped_cleanly = self.agent.stop().await;
        let broken = self.audit.violations().iter().map(|(rule, (n, first))| (*rule, *n, first.clone()));
        Ok(Outcome {
            name: self.experiment.name.clone(),
            seed: self.experiment.seed,
            rate: self.experiment.rate(-1.0),
            capacity: self.experiment.capacity(),
            seconds: self.seconds,
            sides: self.sides,
            counts: self.audit.counts.clone(),
            forged: self.forged,
            violations: broken.collect(),
            used: usage,
            stopped_cleanly,
            counter_lines,
        })
    }

    async fn perform(&mut self, due: Time, action: Action) {
        match action {
            Action::Second => {
                self.tick();
                self.schedule_at(due.plus(Span::from_millis(1_000)), Action::Second);
            }
            Action::Arrive(no) => {
                let Some(plan) = self.plans.remove(&no) else { return };
                if plan.redialled == 0 {
                    self.next_arrival(plan.at);
                }
                self.ask(plan).await;
            }
            Action::Cancel(sid) => {
                if let Some(active) = self.active.get(&sid).filter(|active| !active.established) {
                    self.test_bed.log.record("caller", &sid, EventKind::GaveUp);
                    self.end_call(&sid, active.plan.iax2, active.connection).await;
                    self.second.given_up += 1;
                    self.active.remove(&sid);
                }
            }
            Action::HangUp(sid) => self.hang_up(&sid).await,
            Action::EndRemainingCalls => {
                let standing: Vec<String> =
                    self.active.iter().filter(|(_, a)| a.established).map(|(sid, _)| sid.clone()).collect();
                for sid in standing {
                    self.hang_up(&sid).await;
                }
                if !self.active.is_empty() || !self.plans.is_empty() {
                    self.schedule_at(due.plus(FINAL_HANG_UP_DELAY), Action::EndRemainingCalls);
                }
            }
            Action::BeginFault(n) => self.fault(n, true).await,
            Action::EndFault(n) => self.fault(n, false).await,
            Action::ListAsReady(server) => {
                self.test_bed.list(&self.test_bed.servers[server], ListedState::Ready)
            }
        }
    }

    async fn hang_up(&mut self, sid: &str) {
        if let Some(active) = self.active.remove(sid) {
            self.test_bed.log.record("caller", sid, EventKind::HungUp);
            self.end_call(sid, active.plan.iax2, active.connection).await;
        }
    }

    async fn end_call(&self, sid: &str, iax2: bool, connection: usize) {
        if iax2 {
            self.iax2[connection].hang_up(sid);
        } else {
            self.json[connection].close(sid, 16).await;
        }
    }

    async fn ask(&mut self, plan: CallerPlan) {
        let sid = Sid::from_number(0x1ab0_0000_0000_0000_u64.wrapping_add(plan.number)).to_string();
        let text = "v=0 offer ".repeat(self.experiment.callers.text_bytes.div_ceil(10));
        let ask = Rc::new(Ask {
            class: "judge-call".to_owned(),
            number: format!("{:016x}", plan.number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            text,
            left_ms: self.experiment.callers.patience_ms,
        });
        let many = if plan.iax2 { self.iax2.len() } else { self.json.len() };
        let connection = usize::try_from(plan.number).unwrap_or(0) % many;
        let asked = now();
        let side = usize::from(plan.iax2);
        self.sides[side].asked += 1;
        *[&mut self.second.asked_json, &mut self.second.asked_iax2][side] += 1;
        if plan.iax2 {
            if !self.iax2[connection].try_open(&sid, plan.dest, &ask) {
                return;
            }
        } else {
            if self.json[connection].is_disconnected() {
                // The controller may close a connection without open calls; the caller then connects again.
                match Caller::try_connect(&self.test_bed.log, &format!("json{connection}"), self.json_at)
                    .await
                {
                    Ok(caller) => self.json[connection] = Rc::new(caller),
                    Err(_) => return,
                }
            }
            if self.json[connection].try_open(0, &sid, plan.dest, &ask).await.is_err() {
                return;
            }
        }
        if let Some(after) = plan.gives_up_after {
            self.schedule_at(asked.plus(after), Action::Cancel(sid.clone()));
        }
        self.active.insert(sid, ActiveCall { plan, asked, connection, established: false });
    }

    fn handle_event(&mut self, event: &RecordedEvent) {
        let at = time_of(event.at);
        if let Some(trace) = &mut self.output.trace {
            let ms = at.since(self.started_at).0 as f64 / 1000.0;
            // An experiment continues when its trace cannot be written.
            let _ = writeln!(trace, "{ms:.1} {} {} {:?}", event.source, event.sid, event.kind);
        }
        self.audit.record(at, &event.source, &event.sid, &event.kind);
        match &event.kind {
            EventKind::SetUp(..) => self.second.attempts += 1,
            EventKind::Ready(_) => {
                let Some(active) = self.active.get_mut(&event.sid).filter(|active| !active.established)
                else {
                    return;
                };
                active.established = true;
                let took = at.since(active.asked);
                let side = usize::from(active.plan.iax2);
                let in_aim = took <= Span::from_millis(self.experiment.aim_ms);
                let hangs_up = active.plan.hangs_up;
                self.sides[side].stood += 1;
                self.sides[side].in_aim += u64::from(in_aim);
                self.sides[side].latency.saturating_record(took.0);
                self.in_second.saturating_record(took.0);
                *[&mut self.second.stood_json, &mut self.second.stood_iax2][side] += 1;
                self.second.stood_in_aim += u64::from(in_aim);
                if hangs_up {
                    let after = Span::from_millis(self.experiment.hold_ms / 2);
                    self.schedule_at(at.plus(after), Action::HangUp(event.sid.clone()));
                }
            }
            EventKind::Close(_, wait) => {
                let Some(active) = self.active.remove(&event.sid) else { return };
                if !active.established {
                    self.second.refused += 1;
                    let wait = Span::from_millis(wait.unwrap_or(0));
                    let again = self.load.redial(at, &active.plan, wait);
                    // No redials after the end of the load: the run only waits for the remaining calls.
                    let until = self.at(self.experiment.seconds);
                    if let Some(plan) = again.filter(|plan| plan.at < until) {
                        self.schedule_call(plan);
                    }
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let usage = self.agent.used();
        let (pending, standing) = self.audit.pending();
        let number = self.seconds.len() as u64;
        let mut second = std::mem::take(&mut self.second);
        second.second = number;
        second.p50_ms = quantile_ms(&self.in_second, 0.5);
        second.p99_ms = quantile_ms(&self.in_second, 0.99);
        (second.pending, second.standing) = (pending, standing);
        second.cpu_share = ((usage.cpu - self.usage.cpu) * 100.0).round() / 100.0;
        second.memory_mib = (usage.memory as f64 / f64::from(1 << 20) * 10.0).round() / 10.0;
        self.usage = usage;
        self.in_second.reset();
        if self.output.live {
            println!(
                "{:>4} {:>7} {:>7} {:>7} {:>8} {:>9.1} {:>9.1} {:>9} {:>5.0}%",
                number + 1,
                second.asked_json + second.asked_iax2,
                second.stood_json + second.stood_iax2,
                second.stood_in_aim,
                second.refused,
                second.p50_ms,
                second.p99_ms,
                standing,
                second.cpu_share * 100.0
            );
        }
        self.seconds.push(second);
    }

    async fn fault(&mut self, n: usize, begins: bool) {
        let Fault { server, kind, .. } = &self.experiment.fault[n];
        let Some(position) = self.test_bed.servers.iter().position(|s| s.name == *server) else { return };
        let server = &self.test_bed.servers[position];
        match kind {
            FaultKind::Silent => server.model.set_silent(begins),
            FaultKind::Slow => server.model.set_speed(if begins { SLOW_SPEED } else { 1.0 }),
            FaultKind::Errors => server.model.set_failing(begins),
            FaultKind::Drain => {
                self.test_bed.list(server, if begins { ListedState::Draining } else { ListedState::Ready })
            }
            FaultKind::Restart if begins => match &server.protocol_server {
                ProtocolServer::Sip(sip) => sip.die(),
                ProtocolServer::Iax2(iax2) => iax2.die(),
            },
            FaultKind::Restart => {
                match &server.protocol_server {
                    ProtocolServer::Sip(sip) => drop(sip.restart().await),
                    ProtocolServer::Iax2(iax2) => iax2.restart(),
                }
                let started = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
                self.test_bed.servers[position].started_ms = u64::try_from(started).unwrap_or(0);
                self.schedule_at(now().plus(RESTART_LISTING_DELAY), Action::ListAsReady(position));
            }
        }
    }
}
