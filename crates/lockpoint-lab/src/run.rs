//! Runs an experiment: stand-ins on sockets, a controller in a process of its own, callers in open loop, faults by the
//! clock. What is counted comes from what the stand-ins saw.

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

/// Speed of a slow call server.
const SLOW: f64 = 0.25;
/// Calls that still stand so long after the last arrival are ended by their callers.
const HANG_UP_AFTER: Span = Span::from_millis(2_000);
/// News of a restart reaches the list after this.
const LIST_LATE: Span = Span::from_millis(300);
/// Most set-ups of one IAX2 socket, so that its call numbers last.
const NUMBERS_OF_ONE: f64 = 60.0;

/// A port that the system picks.
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
    on_wire: ProtocolServer,
    machine: Rc<ServerModel>,
    born_ms: u64,
}

/// All that a controller talks to, before it starts.
pub struct TestBed {
    world: EventLog,
    seen: mpsc::UnboundedReceiver<RecordedEvent>,
    /// The list of SIP call servers.
    pub bulletin: Rc<Bulletin>,
    /// The records of IAX2 call servers.
    pub resolver: Rc<Resolver>,
    servers: Vec<Server>,
}

impl TestBed {
    /// Sets the stand-ins of an experiment up; the directories listen where they are told to.
    pub async fn start(
        experiment: &Experiment,
        bulletin: SocketAddr,
        resolver: SocketAddr,
    ) -> Result<TestBed, LabError> {
        let world = EventLog::without_history();
        let seen = world.subscribe();
        let bulletin = Bulletin::start_at(&world, bulletin).await.map_err(socket("bulletin"))?;
        let resolver = Resolver::start_at(resolver).await.map_err(socket("resolver"))?;
        let mut servers = Vec::new();
        for (n, ServerConfig { name, protocol, processor }) in experiment.server.iter().enumerate() {
            let seed = experiment.seed.wrapping_mul(1_000).wrapping_add(n as u64);
            let machine = ServerModel::new(*processor, experiment.hold_ms, seed);
            let does = ServerBehaviour::Model(machine.clone());
            let on_wire = match protocol {
                ServerProtocol::Sip => ProtocolServer::Sip(SipServer::start(&world, name, does).await),
                ServerProtocol::Iax2 => ProtocolServer::Iax2(
                    IaxServer::start_on_path(&world, name, does, experiment.path, seed).await,
                ),
            };
            servers.push(Server { name: name.clone(), cell: n as u16, on_wire, machine, born_ms: 0 });
        }
        let stage = TestBed { world, seen, bulletin, resolver, servers };
        let sip = stage.servers.iter().filter_map(|s| s.line("ready")).collect();
        stage.bulletin.publish(true, sip);
        stage.servers.iter().for_each(|server| stage.list(server, ListedState::Ready));
        Ok(stage)
    }

    /// What its own call servers see from now on is nobody's.
    pub(crate) fn stop_recording(&mut self) {
        self.seen.close();
    }

    /// Puts news of a call server on its list.
    fn list(&self, server: &Server, news: ListedState) {
        let state = match news {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        };
        let mut later = Duration::ZERO;
        match &server.on_wire {
            ProtocolServer::Sip(_) => self.bulletin.publish(false, server.line(state).into_iter().collect()),
            ProtocolServer::Iax2(iax2) => {
                later = Duration::from_secs(u64::from(RECORD_LIFE));
                let text =
                    [("cell", server.cell.to_string()), ("zone", "east".into()), ("state", state.into())];
                let mut text: Vec<String> = text.map(|(key, value)| format!("{key}={value}")).to_vec();
                text.push(format!("born_ms={}", server.born_ms));
                self.resolver.remove_server(&server.name);
                self.resolver.add_server(&server.name, iax2.at, RECORD_LIFE, &text);
            }
        }
        self.world.record(&server.name, "", EventKind::News(news, later));
    }
}

impl Server {
    /// Its line of the bulletin, if it is of that list.
    fn line(&self, state: &str) -> Option<serde_json::Value> {
        let ProtocolServer::Sip(sip) = &self.on_wire else { return None };
        let mut line = list_entry(&self.name, sip.at, self.cell, state);
        line["born_ms"] = json!(self.born_ms);
        Some(line)
    }
}

/// An operator's file for one instance that stands in the midst of a stage.
pub(crate) fn agent_file(
    experiment: &Experiment,
    stage: &TestBed,
    control: &Path,
    limits: Value,
) -> Result<String, LabError> {
    let mut instance = json!({"name": "lab", "listen": any_port(), "bulletin": stage.bulletin.at, "seed": 1,
        "limits": limits,
        "iax2": {"listen": any_port(), "from": any_port()},
        "settings": experiment.settings()});
    for (key, value) in &experiment.iax2 {
        instance["iax2"][key] = serde_json::to_value(value).map_err(|e| LabError::file(control, e))?;
    }
    if stage.servers.iter().any(|s| matches!(s.on_wire, ProtocolServer::Iax2(_))) {
        instance["dns_sd"] = json!({"resolver": stage.resolver.at, "service": SERVICE});
    }
    let file = json!({"control": control, "instance": [instance]});
    toml::to_string(&file).map_err(|e| LabError::file(control, e))
}

/// What falls due.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Act {
    Tick,
    Arrive(u64),
    GiveUp(String),
    HangUp(String),
    Begin(usize),
    End(usize),
    Relist(usize),
    LastCalls,
}

struct Active {
    wanted: CallerPlan,
    asked: Time,
    by: usize,
    stands: bool,
}

/// An experiment under way.
struct Run<'a> {
    experiment: &'a Experiment,
    stage: TestBed,
    agent: Agent,
    json_at: SocketAddr,
    iax2_at: SocketAddr,
    json: Vec<Rc<Caller>>,
    iax2: Vec<Rc<IaxCaller>>,
    load: Load,
    agenda: BinaryHeap<Reverse<(Time, Act)>>,
    wanted: BTreeMap<u64, CallerPlan>,
    active: BTreeMap<String, Active>,
    audit: Audit,
    began: Time,
    seconds: Vec<Second>,
    second: Second,
    in_second: hdrhistogram::Histogram<u64>,
    sides: [ProtocolResults; 2],
    used: ResourceUsage,
    forged: u64,
    show: OutputOptions,
}

/// What is shown while an experiment runs.
#[derive(Debug, Default)]
pub struct OutputOptions {
    /// A line a second goes to standard output.
    pub live: bool,
    /// All that the stand-ins see goes here: milliseconds, who, which call, what.
    pub trace: Option<BufWriter<File>>,
}

/// Runs an experiment against an agent of its own.
pub async fn run(experiment: &Experiment, program: &Path, show: OutputOptions) -> Result<Outcome, LabError> {
    let folder = TempDir::new("run")?;
    let control = folder.path().join("control.sock");
    let stage = TestBed::start(experiment, any_port(), any_port()).await?;
    let config: PathBuf = folder.path().join("agent.toml");
    let text = agent_file(experiment, &stage, &control, json!({"sockets": 1024, "memory_mb": 192}))?;
    std::fs::write(&config, text).map_err(|e| LabError::file(&config, e))?;
    let agent = Agent::start(program, &config, &control, true)?;
    run_on(experiment, stage, agent, "lab", show).await
}

/// The same on a stage that is set and an agent that was started; `instance` is the one that callers call.
pub async fn run_on(
    experiment: &Experiment,
    stage: TestBed,
    mut agent: Agent,
    instance: &str,
    show: OutputOptions,
) -> Result<Outcome, LabError> {
    let count = stage.servers.len();
    let ready =
        agent.wait_until(|i| i.name != instance || (i.state == "serving" && i.servers.len() >= count));
    let status = ready.await?;
    let status = status.iter().find(|status| status.name == instance);
    let status = status.ok_or_else(|| LabError::NotServing(format!("it has no instance '{instance}'")))?;
    let (json_at, iax2_at) = (address(&status.listen, "listen")?, address(&status.iax2, "iax2.listen")?);
    let most_rate =
        experiment.burst.iter().fold(1.0, |most: f64, b| most.max(b.factor)) * experiment.rate(-1.0);
    let sockets = (most_rate / NUMBERS_OF_ONE).ceil().max(experiment.callers.connections as f64) as usize;
    let (mut json, mut iax2) = (Vec::new(), Vec::new());
    for n in 0..experiment.callers.connections.max(1) {
        let caller = Caller::try_connect(&stage.world, &format!("json{n}"), json_at).await;
        json.push(Rc::new(caller.map_err(socket("a caller"))?));
    }
    for n in 0..sockets {
        let seed = experiment.seed.wrapping_mul(77).wrapping_add(n as u64);
        let (name, path) = (format!("iax2-{n}"), experiment.path);
        let ip = Ipv4Addr::new(127, 1, (n / 250) as u8, (n % 250 + 1) as u8);
        iax2.push(IaxCaller::start_on_path(&stage.world, &name, iax2_at, ip, path, seed).await);
    }
    let load = Load::new(experiment.callers.clone(), count as u16, experiment.seed);
    let used = agent.used();
    let run = Run {
        experiment,
        stage,
        agent,
        json_at,
        iax2_at,
        json,
        iax2,
        load,
        agenda: BinaryHeap::new(),
        wanted: BTreeMap::new(),
        active: BTreeMap::new(),
        audit: Audit::default(),
        began: now(),
        seconds: Vec::new(),
        second: Second::default(),
        in_second: latency_histogram(),
        sides: [ProtocolResults::new("json"), ProtocolResults::new("iax2")],
        used,
        forged: 0,
        show,
    };
    run.drive().await
}

impl Run<'_> {
    fn set(&mut self, at: Time, act: Act) {
        self.agenda.push(Reverse((at, act)));
    }

    fn at(&self, secs: f64) -> Time {
        self.began.plus(Span::from_secs(secs))
    }

    fn next_arrival(&mut self, after: Time) {
        let passed = after.since(self.began).secs();
        if passed < self.experiment.seconds {
            let wanted = self.load.arrival(after, self.experiment.rate(passed));
            self.want(wanted);
        }
    }

    fn want(&mut self, wanted: CallerPlan) {
        self.set(wanted.at, Act::Arrive(wanted.number));
        self.wanted.insert(wanted.number, wanted);
    }

    async fn drive(mut self) -> Result<Outcome, LabError> {
        let Experiment { seconds, callers, fault, .. } = self.experiment;
        let flood = self.experiment.flood.as_ref().map(|flood| Flood::start(flood, self.iax2_at));
        let mut flood = flood.transpose().map_err(socket("the flood"))?;
        self.next_arrival(self.began);
        self.set(self.at(1.0), Act::Tick);
        for (n, Fault { at, seconds, .. }) in fault.iter().enumerate() {
            self.set(self.at(*at), Act::Begin(n));
            self.set(self.at(at + seconds), Act::End(n));
        }
        let asked_until = self.at(*seconds);
        self.set(asked_until.plus(HANG_UP_AFTER), Act::LastCalls);
        // Redials come after the last arrival; each waits at most his patience. Then nothing may be open.
        let end = asked_until.plus(Span::from_millis(callers.patience_ms * (1 + u64::from(callers.redials))));
        let end = end.plus(Span::from_millis(10_000));
        if self.show.live {
            println!(
                "{:>4} {:>7} {:>7} {:>7} {:>8} {:>9} {:>9} {:>9} {:>6}",
                "s", "asked", "stood", "in aim", "refused", "p50 ms", "p99 ms", "standing", "cpu"
            );
        }
        loop {
            let next = self.agenda.peek().map_or(end, |Reverse((at, _))| *at).min(end);
            tokio::select! {
                biased;
                Some(seen) = self.stage.seen.recv() => self.seen(&seen),
                _ = sleep_until(next) => {
                    if let Some(Reverse((_, act))) = self.agenda.pop() {
                        self.act(next, act).await;
                    }
                }
            }
            let passed = now();
            if passed > asked_until {
                if let Some(mut flood) = flood.take() {
                    self.forged = flood.stop();
                }
            }
            let over = passed > asked_until && self.active.is_empty() && self.wanted.is_empty();
            if passed >= end || (over && self.audit.pending() == (0, 0)) {
                break;
            }
        }
        while let Ok(seen) = self.stage.seen.try_recv() {
            self.seen(&seen);
        }
        self.audit.finish(now());
        let used = self.agent.used();
        let says = self.agent.counters().await.iter().map(lockpoint::counters::Counters::line).collect();
        let ended = self.agent.stop().await;
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
            used,
            stopped_cleanly: ended,
            counter_lines: says,
        })
    }

    async fn act(&mut self, due: Time, act: Act) {
        match act {
            Act::Tick => {
                self.tick();
                self.set(due.plus(Span::from_millis(1_000)), Act::Tick);
            }
            Act::Arrive(no) => {
                let Some(wanted) = self.wanted.remove(&no) else { return };
                if wanted.redialled == 0 {
                    self.next_arrival(wanted.at);
                }
                self.ask(wanted).await;
            }
            Act::GiveUp(sid) => {
                if let Some(active) = self.active.get(&sid).filter(|active| !active.stands) {
                    self.stage.world.record("caller", &sid, EventKind::GaveUp);
                    self.end_call(&sid, active.wanted.iax2, active.by).await;
                    self.second.given_up += 1;
                    self.active.remove(&sid);
                }
            }
            Act::HangUp(sid) => self.hang_up(&sid).await,
            Act::LastCalls => {
                let standing: Vec<String> =
                    self.active.iter().filter(|(_, a)| a.stands).map(|(sid, _)| sid.clone()).collect();
                for sid in standing {
                    self.hang_up(&sid).await;
                }
                if !self.active.is_empty() || !self.wanted.is_empty() {
                    self.set(due.plus(HANG_UP_AFTER), Act::LastCalls);
                }
            }
            Act::Begin(n) => self.fault(n, true).await,
            Act::End(n) => self.fault(n, false).await,
            Act::Relist(server) => self.stage.list(&self.stage.servers[server], ListedState::Ready),
        }
    }

    async fn hang_up(&mut self, sid: &str) {
        if let Some(active) = self.active.remove(sid) {
            self.stage.world.record("caller", sid, EventKind::HungUp);
            self.end_call(sid, active.wanted.iax2, active.by).await;
        }
    }

    async fn end_call(&self, sid: &str, iax2: bool, by: usize) {
        if iax2 {
            self.iax2[by].hang_up(sid);
        } else {
            self.json[by].close(sid, 16).await;
        }
    }

    async fn ask(&mut self, wanted: CallerPlan) {
        let sid = Sid::from_number(0x1ab0_0000_0000_0000_u64.wrapping_add(wanted.number)).to_string();
        let text = "v=0 offer ".repeat(self.experiment.callers.text_bytes.div_ceil(10));
        let ask = Rc::new(Ask {
            class: "judge-call".to_owned(),
            number: format!("{:016x}", wanted.number.wrapping_mul(0x9e37_79b9_7f4a_7c15)),
            text,
            left_ms: self.experiment.callers.patience_ms,
        });
        let many = if wanted.iax2 { self.iax2.len() } else { self.json.len() };
        let by = usize::try_from(wanted.number).unwrap_or(0) % many;
        let asked = now();
        let side = usize::from(wanted.iax2);
        self.sides[side].asked += 1;
        *[&mut self.second.asked_json, &mut self.second.asked_iax2][side] += 1;
        if wanted.iax2 {
            if !self.iax2[by].try_open(&sid, wanted.dest, &ask) {
                return;
            }
        } else {
            if self.json[by].is_disconnected() {
                // The controller may close a connection that has nothing open; the caller's next call makes another.
                match Caller::try_connect(&self.stage.world, &format!("json{by}"), self.json_at).await {
                    Ok(caller) => self.json[by] = Rc::new(caller),
                    Err(_) => return,
                }
            }
            if self.json[by].try_open(0, &sid, wanted.dest, &ask).await.is_err() {
                return;
            }
        }
        if let Some(after) = wanted.gives_up_after {
            self.set(asked.plus(after), Act::GiveUp(sid.clone()));
        }
        self.active.insert(sid, Active { wanted, asked, by, stands: false });
    }

    fn seen(&mut self, seen: &RecordedEvent) {
        let at = time_of(seen.at);
        if let Some(trace) = &mut self.show.trace {
            let ms = at.since(self.began).0 as f64 / 1000.0;
            // A trace that cannot be written is no reason to spoil the experiment.
            let _ = writeln!(trace, "{ms:.1} {} {} {:?}", seen.source, seen.sid, seen.kind);
        }
        self.audit.record(at, &seen.source, &seen.sid, &seen.kind);
        match &seen.kind {
            EventKind::SetUp(..) => self.second.attempts += 1,
            EventKind::Ready(_) => {
                let Some(active) = self.active.get_mut(&seen.sid).filter(|active| !active.stands) else {
                    return;
                };
                active.stands = true;
                let took = at.since(active.asked);
                let side = usize::from(active.wanted.iax2);
                let in_aim = took <= Span::from_millis(self.experiment.aim_ms);
                let hangs_up = active.wanted.hangs_up;
                self.sides[side].stood += 1;
                self.sides[side].in_aim += u64::from(in_aim);
                self.sides[side].latency.saturating_record(took.0);
                self.in_second.saturating_record(took.0);
                *[&mut self.second.stood_json, &mut self.second.stood_iax2][side] += 1;
                self.second.stood_in_aim += u64::from(in_aim);
                if hangs_up {
                    let after = Span::from_millis(self.experiment.hold_ms / 2);
                    self.set(at.plus(after), Act::HangUp(seen.sid.clone()));
                }
            }
            EventKind::Close(_, wait) => {
                let Some(active) = self.active.remove(&seen.sid) else { return };
                if !active.stands {
                    self.second.refused += 1;
                    let wait = Span::from_millis(wait.unwrap_or(0));
                    let again = self.load.redial(at, &active.wanted, wait);
                    // Nobody asks after the end: the last calls are waited for.
                    let until = self.at(self.experiment.seconds);
                    if let Some(wanted) = again.filter(|wanted| wanted.at < until) {
                        self.want(wanted);
                    }
                }
            }
            _ => {}
        }
    }

    fn tick(&mut self) {
        let used = self.agent.used();
        let (pending, standing) = self.audit.pending();
        let number = self.seconds.len() as u64;
        let mut second = std::mem::take(&mut self.second);
        second.second = number;
        second.p50_ms = quantile_ms(&self.in_second, 0.5);
        second.p99_ms = quantile_ms(&self.in_second, 0.99);
        (second.pending, second.standing) = (pending, standing);
        second.cpu_share = ((used.cpu - self.used.cpu) * 100.0).round() / 100.0;
        second.memory_mib = (used.memory as f64 / f64::from(1 << 20) * 10.0).round() / 10.0;
        self.used = used;
        self.in_second.reset();
        if self.show.live {
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
        let Some(place) = self.stage.servers.iter().position(|s| s.name == *server) else { return };
        let server = &self.stage.servers[place];
        match kind {
            FaultKind::Silent => server.machine.set_silent(begins),
            FaultKind::Slow => server.machine.set_speed(if begins { SLOW } else { 1.0 }),
            FaultKind::Errors => server.machine.set_failing(begins),
            FaultKind::Drain => {
                self.stage.list(server, if begins { ListedState::Draining } else { ListedState::Ready })
            }
            FaultKind::Restart if begins => match &server.on_wire {
                ProtocolServer::Sip(sip) => sip.die(),
                ProtocolServer::Iax2(iax2) => iax2.die(),
            },
            FaultKind::Restart => {
                match &server.on_wire {
                    ProtocolServer::Sip(sip) => drop(sip.restart().await),
                    ProtocolServer::Iax2(iax2) => iax2.restart(),
                }
                let born = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis());
                self.stage.servers[place].born_ms = u64::try_from(born).unwrap_or(0);
                self.set(now().plus(LIST_LATE), Act::Relist(place));
            }
        }
    }
}
