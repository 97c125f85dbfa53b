//! Real controllers beside a simulated fleet, in real time: they take calls and receive the control traffic of the whole
//! fleet over loopback while one simulated controller dies.

use std::path::Path;
use std::time::{Duration, Instant};

use lockpoint::core::Sid;
use lockpoint::interface::{Span, Time};
use serde_json::json;

use super::options::Options;
use super::propagation::{Delays, Propagation};
use super::real_links::RealLinks;
use super::report::{CentralServers, Mode, PropagationResult, Row};
use super::run::simulation_config;
use super::scenario::Fault;
use super::simulation::{Action, Simulation, SimulationConfig};
use super::traffic::{MeanMax, Traffic};
use crate::bulletin::{list_entry, Bulletin};
use crate::callers::Caller;
use crate::event_log::{EventKind, EventLog};
use crate::fleet::processes::{settings, Process};
use crate::sip::{ServerBehaviour, SipServer};
use crate::under_test::{LabError, ResourceUsage, TempDir};

/// Number of call servers that the real and the simulated controllers list.
const SERVERS: u16 = 6;
/// Interval of the calls at each real controller.
const CALL_INTERVAL: Duration = Duration::from_millis(500);
/// How long a caller waits for its call to be established.
const CALLER_TIMEOUT_MS: u64 = 5_000;
/// Interval at which the metrics of the real controllers are read.
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the simulation is advanced.
const STEP: Duration = Duration::from_millis(1);
/// Longest wait until each real controller has all peers alive.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Duration of the measurement.
const MEASUREMENT: Duration = Duration::from_secs(12);
/// The call server whose drain is announced to one simulated controller.
const DRAINED: u16 = SERVERS - 1;

/// State of a run.
struct RealTimeRun {
    world: EventLog,
    simulation: Simulation,
    links: RealLinks,
    began: Instant,
    first: Time,
    processes: Vec<Process>,
    /// Keeps the files of the processes until they have ended.
    _folder: TempDir,
    first_real: u16,
    calls: u64,
}

/// Runs `options.real` processes of `program` beside `options.beside_real` simulated controllers.
pub async fn measure_real(options: &Options, program: &Path) -> Result<Row, LabError> {
    let mut run = RealTimeRun::start(options, program).await?;
    run.settle().await?;
    let before = run.counts();
    let since = Instant::now();
    let callers = run.callers().await?;
    let simulated = run.first_real;
    let notified = (options.seed % u64::from(simulated)) as u16;
    let dies = (notified + 1) % simulated;
    let started_at = run.simulation.now;
    run.simulation.act_at(started_at, Action::NotifyDrain(notified, DRAINED));
    run.simulation.act_at(started_at, Action::Kill(dies));
    let (drain, death, false_suspicions) = run.watch(started_at, dies, &callers).await;
    let seconds = since.elapsed().as_secs_f64();
    let established = run.wait_for_answers().await;
    let row = run.row(seconds, &before, established);
    let (drain, death) = (PropagationResult::Measured(drain), PropagationResult::Measured(death));
    let row = Row { drain, death, false_suspicions, ..row };
    for process in run.processes {
        if !process.stop().await {
            return Err(LabError::NotServing("a real controller did not stop gracefully".to_owned()));
        }
    }
    Ok(row)
}

/// Resource use and traffic up to a point in time.
struct Counts {
    used: Vec<ResourceUsage>,
    traffic: Vec<Traffic>,
}

impl RealTimeRun {
    async fn start(options: &Options, program: &Path) -> Result<RealTimeRun, LabError> {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let mut lines = Vec::new();
        for number in 0..SERVERS {
            let name = format!("s{number}");
            let server = SipServer::start(&world, &name, ServerBehaviour::Answer("v=0\r\n".into())).await;
            lines.push(list_entry(&name, server.at, number, "ready"));
        }
        bulletin.publish(true, lines);
        let controllers = options.beside_real + options.real;
        let size = Options { servers: Some(SERVERS), services: Some(2), ..options.clone() };
        let config = simulation_config(&size, controllers, None);
        let config = SimulationConfig { remote: options.real, ..config };
        let links = RealLinks::new(controllers, options.real).await?;
        let folder = TempDir::new(&format!("scale-{}", options.seed))?;
        let mut processes = Vec::new();
        for me in options.beside_real..controllers {
            let mut settings = settings();
            settings["balancers"] = json!(controllers);
            let fleet = json!({"listen": links.listens_at(me), "peers": links.peers_of(me), "me": me});
            let instance = json!({"name": format!("c{me}"), "listen": "127.0.0.1:0", "bulletin": bulletin.at,
                "seed": u64::from(me) + 1, "settings": settings, "fleet": fleet});
            processes.push(Process::start(program, folder.path(), me, &instance).await?);
        }
        let simulation = Simulation::new(config);
        let (began, first) = (Instant::now(), simulation.now);
        let first_real = options.beside_real;
        Ok(RealTimeRun {
            world,
            simulation,
            links,
            began,
            first,
            processes,
            _folder: folder,
            first_real,
            calls: 0,
        })
    }

    /// Advances the simulation to the real time, and forwards datagrams in both directions.
    async fn drive_for(&mut self, duration: Duration) {
        let end = Instant::now() + duration;
        loop {
            while let Ok(datagram) = self.links.received.try_recv() {
                self.simulation.send_from_remote(datagram);
            }
            let passed = Span(u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX));
            self.simulation.run_until(self.first.plus(passed));
            for datagram in std::mem::take(&mut self.simulation.outbox) {
                self.links.deliver(&datagram);
            }
            if Instant::now() >= end {
                return;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Waits until all peers of each real controller are alive.
    async fn settle(&mut self) -> Result<(), LabError> {
        let others = u64::from(self.simulation.controllers()) - 1;
        let end = Instant::now() + SETTLE_TIMEOUT;
        loop {
            self.drive_for(POLL_INTERVAL).await;
            let mut least = others;
            for process in &self.processes {
                let metrics = process.metrics().await;
                least = least.min(metrics.get("fleet.peers_alive").copied().unwrap_or(0));
            }
            if least == others {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(LabError::NotServing(format!(
                    "a real controller reports {least} of {others} peers alive"
                )));
            }
        }
    }

    async fn callers(&self) -> Result<Vec<Caller>, LabError> {
        let mut callers = Vec::new();
        for process in &self.processes {
            let connected = Caller::try_connect(&self.world, "caller", process.client_address).await;
            callers.push(connected.map_err(|why| LabError::Socket { what: "a caller".to_owned(), why })?);
        }
        Ok(callers)
    }

    /// Places calls and tracks the updates at the real controllers: delays of the drain and of the death, and suspicions
    /// of controllers that are running.
    async fn watch(&mut self, started_at: Time, dies: u16, callers: &[Caller]) -> (Delays, Delays, u64) {
        let real = self.processes.len();
        let (mut drain, mut death) =
            (Propagation::new(started_at, vec![true; real]), Propagation::new(started_at, vec![true; real]));
        let (mut false_suspicions, mut next_call) = (0, Instant::now());
        let end = Instant::now() + MEASUREMENT;
        let warned = format!("fleet.server.s{DRAINED}.warned");
        println!("controller {dies} dies, one simulated controller is notified that s{DRAINED} drains");
        while Instant::now() < end {
            self.drive_for(POLL_INTERVAL).await;
            if Instant::now() >= next_call {
                next_call += CALL_INTERVAL;
                self.place_calls(callers).await;
            }
            for number in 0..real {
                let metrics = self.processes[number].metrics().await;
                let lost = metrics.get("fleet.peers_lost").copied().unwrap_or(0);
                let (now, member) = (self.simulation.now, number as u16);
                false_suspicions = false_suspicions.max(lost.saturating_sub(1));
                if lost >= 1 {
                    death.record(now, member);
                }
                if metrics.contains_key(&warned) {
                    drain.record(now, member);
                }
            }
        }
        (drain.delays(), death.delays(), false_suspicions)
    }

    async fn place_calls(&mut self, callers: &[Caller]) {
        for caller in callers {
            self.calls += 1;
            let sid = Sid::from_number(0x5ca1_e000 + self.calls).to_string();
            let dest = (self.calls % u64::from(SERVERS)) as u16;
            caller.open(&sid, CALLER_TIMEOUT_MS, dest, "v=0\r\n").await;
        }
    }

    /// Waits for outstanding answers, up to a caller's timeout; returns the calls established by the real controllers.
    async fn wait_for_answers(&mut self) -> u64 {
        let end = Instant::now() + Duration::from_millis(CALLER_TIMEOUT_MS);
        while self.established() < self.calls && Instant::now() < end {
            self.drive_for(POLL_INTERVAL).await;
        }
        self.established()
    }

    /// Calls established by the real controllers so far.
    fn established(&self) -> u64 {
        let answers = self.world.events().into_iter().filter(|seen| matches!(seen.kind, EventKind::Ready(_)));
        answers.count() as u64
    }

    fn counts(&self) -> Counts {
        let used = self.processes.iter().map(Process::used).collect();
        let traffic = self.simulation.traffic[usize::from(self.first_real)..].to_vec();
        Counts { used, traffic }
    }

    /// The result row: resource use and traffic of the real controllers since `before`.
    fn row(&self, seconds: f64, before: &Counts, established: u64) -> Row {
        let now = self.counts();
        let traffic: Vec<Traffic> =
            now.traffic.iter().zip(&before.traffic).map(|(n, b)| n.since(b)).collect();
        let rate = |value: fn(&Traffic) -> u64| {
            MeanMax::of(traffic.iter().map(|traffic| value(traffic) as f64 / seconds))
        };
        let used = now.used.iter().zip(&before.used);
        let core_share = MeanMax::of(used.map(|(now, before)| (now.cpu - before.cpu) / seconds));
        let memory = MeanMax::of(now.used.iter().map(|used| used.memory as f64 / 1_024.0));
        Row {
            mode: Mode::RealTime,
            controllers: self.simulation.controllers(),
            real: self.processes.len() as u16,
            fault: Fault::OneDies,
            seconds,
            call_rate: self.calls as f64 / seconds,
            datagrams_out: rate(|traffic| traffic.datagrams_out),
            datagrams_in: rate(|traffic| traffic.datagrams_in),
            bytes_out: rate(|traffic| traffic.bytes_out),
            bytes_in: rate(|traffic| traffic.bytes_in),
            bytes: rate(|traffic| traffic.bytes_out + traffic.bytes_in),
            core_share,
            call_micros: 0.0,
            memory_kib: Some(memory.max),
            entries: 0,
            members_known: None,
            drain: PropagationResult::NotMeasured,
            death: PropagationResult::NotMeasured,
            change: PropagationResult::NoMechanism,
            replacement: PropagationResult::NotMeasured,
            false_suspicions: 0,
            from_unknown_senders: self.simulation.from_unknown_senders,
            cold_set_ups: 0,
            cold_budget: 0.0,
            cold_failed: 0,
            calls: (self.calls, established),
            central_servers: CentralServers {
                connections: self.processes.len() as u64,
                ..CentralServers::default()
            },
        }
    }
}
