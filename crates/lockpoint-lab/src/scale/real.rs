//! Real controllers beside a simulated fleet, at the pace of real time: they take calls, see the control traffic of the
//! whole fleet over loopback, and one hollow controller dies.

use std::path::Path;
use std::time::{Duration, Instant};

use lockpoint::core::Sid;
use lockpoint::interface::{Span, Time};
use serde_json::json;

use super::options::Options;
use super::real_links::RealLinks;
use super::report::{Centre, Known, Mode, Row};
use super::run::simulation_config;
use super::scenario::Fault;
use super::simulation::{Action, Simulation, SimulationConfig};
use super::spread::{Delays, Spread};
use super::traffic::{MeanMax, Traffic};
use crate::bulletin::{host, Bulletin};
use crate::callers::Caller;
use crate::fleet::processes::{settings, Process};
use crate::sip::{Does, SipServer};
use crate::under_test::{Folder, LabError, Used};
use crate::world::{What, World};

/// Call servers that the real controllers and the hollow ones list.
const SERVERS: u16 = 6;
/// The real controllers are asked for a call each so often.
const CALL_EVERY: Duration = Duration::from_millis(500);
/// A caller waits for so many milliseconds.
const CALLER_WAITS_MS: u64 = 5_000;
/// How often the real controllers are asked for what they know.
const ASK_EVERY: Duration = Duration::from_millis(100);
/// The simulation is driven on at least so often.
const STEP: Duration = Duration::from_millis(1);
/// All controllers are heard within this, or never.
const SETTLES_WITHIN: Duration = Duration::from_secs(20);
/// News is watched for this long.
const WATCHED: Duration = Duration::from_secs(12);
/// The call server whose drain one hollow controller hears of.
const DRAINED: u16 = SERVERS - 1;

/// The scene of a run.
struct Scene {
    world: World,
    simulation: Simulation,
    links: RealLinks,
    began: Instant,
    first: Time,
    processes: Vec<Process>,
    /// Holds the files of the processes until they have ended.
    _folder: Folder,
    first_real: u16,
    calls: u64,
}

/// Runs `options.real` processes of `program` beside `options.beside_real` hollow controllers.
pub async fn measure_real(options: &Options, program: &Path) -> Result<Row, LabError> {
    let mut scene = Scene::set(options, program).await?;
    scene.settle().await?;
    let before = scene.counts();
    let since = Instant::now();
    let callers = scene.callers().await?;
    let hollow = scene.first_real;
    let teller = (options.seed % u64::from(hollow)) as u16;
    let dies = (teller + 1) % hollow;
    let told = scene.simulation.now;
    scene.simulation.act_at(told, Action::DrainToldTo(teller, DRAINED));
    scene.simulation.act_at(told, Action::Kill(dies));
    let (drain, death, false_suspicions) = scene.watch(told, dies, &callers).await;
    let seconds = since.elapsed().as_secs_f64();
    let stood = scene.answers().await;
    let row = scene.row(seconds, &before, stood);
    let (drain, death) = (Known::After(drain), Known::After(death));
    let row = Row { drain, death, false_suspicions, ..row };
    for process in scene.processes {
        if !process.stop().await {
            return Err(LabError::Serves("a real controller did not end in order".to_owned()));
        }
    }
    Ok(row)
}

/// What was used and sent until a moment.
struct Counts {
    used: Vec<Used>,
    traffic: Vec<Traffic>,
}

impl Scene {
    async fn set(options: &Options, program: &Path) -> Result<Scene, LabError> {
        let world = World::default();
        let bulletin = Bulletin::start(&world).await;
        let mut lines = Vec::new();
        for number in 0..SERVERS {
            let name = format!("s{number}");
            let server = SipServer::start(&world, &name, Does::Answer("v=0\r\n".into())).await;
            lines.push(host(&name, server.at, number, "ready"));
        }
        bulletin.tell(true, lines);
        let controllers = options.beside_real + options.real;
        let size = Options { servers: Some(SERVERS), services: Some(2), ..options.clone() };
        let config = simulation_config(&size, controllers, None);
        let config = SimulationConfig { remote: options.real, ..config };
        let links = RealLinks::new(controllers, options.real).await?;
        let folder = Folder::new(&format!("scale-{}", options.seed))?;
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
        Ok(Scene { world, simulation, links, began, first, processes, _folder: folder, first_real, calls: 0 })
    }

    /// Lets the simulation catch up with real time, and datagrams pass both ways.
    async fn drive_for(&mut self, how_long: Duration) {
        let end = Instant::now() + how_long;
        loop {
            while let Ok(datagram) = self.links.received.try_recv() {
                self.simulation.send_from_remote(datagram);
            }
            let passed = Span(u64::try_from(self.began.elapsed().as_micros()).unwrap_or(u64::MAX));
            self.simulation.run_until(self.first.plus(passed));
            for datagram in std::mem::take(&mut self.simulation.outbox) {
                self.links.hand_over(&datagram);
            }
            if Instant::now() >= end {
                return;
            }
            tokio::time::sleep(STEP).await;
        }
    }

    /// Waits until each real controller hears all others.
    async fn settle(&mut self) -> Result<(), LabError> {
        let others = u64::from(self.simulation.controllers()) - 1;
        let end = Instant::now() + SETTLES_WITHIN;
        loop {
            self.drive_for(ASK_EVERY).await;
            let mut least = others;
            for process in &self.processes {
                let figures = process.metrics().await;
                least = least.min(figures.get("fleet.peers_alive").copied().unwrap_or(0));
            }
            if least == others {
                return Ok(());
            }
            if Instant::now() > end {
                return Err(LabError::Serves(format!("a real controller hears {least} of {others} others")));
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

    /// Places calls and follows the news at the real controllers: delays of the drain and of the death, and suspicions
    /// of controllers that are there.
    async fn watch(&mut self, told: Time, dies: u16, callers: &[Caller]) -> (Delays, Delays, u64) {
        let real = self.processes.len();
        let (mut drain, mut death) =
            (Spread::new(told, vec![true; real]), Spread::new(told, vec![true; real]));
        let (mut false_suspicions, mut next_call) = (0, Instant::now());
        let end = Instant::now() + WATCHED;
        let warned = format!("fleet.server.s{DRAINED}.warned");
        println!("controller {dies} dies, one hollow controller hears that s{DRAINED} drains");
        while Instant::now() < end {
            self.drive_for(ASK_EVERY).await;
            if Instant::now() >= next_call {
                next_call += CALL_EVERY;
                self.place_calls(callers).await;
            }
            for number in 0..real {
                let figures = self.processes[number].metrics().await;
                let lost = figures.get("fleet.peers_lost").copied().unwrap_or(0);
                let (now, member) = (self.simulation.now, number as u16);
                false_suspicions = false_suspicions.max(lost.saturating_sub(1));
                if lost >= 1 {
                    death.known(now, member);
                }
                if figures.contains_key(&warned) {
                    drain.known(now, member);
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
            caller.open(&sid, CALLER_WAITS_MS, dest, "v=0\r\n").await;
        }
    }

    /// Waits for the answers that are out, as long as a caller would; calls of the real controllers that stood.
    async fn answers(&mut self) -> u64 {
        let end = Instant::now() + Duration::from_millis(CALLER_WAITS_MS);
        while self.stood() < self.calls && Instant::now() < end {
            self.drive_for(ASK_EVERY).await;
        }
        self.stood()
    }

    /// Calls of the real controllers that stood so far.
    fn stood(&self) -> u64 {
        let answers = self.world.all().into_iter().filter(|seen| matches!(seen.what, What::Ready(_)));
        answers.count() as u64
    }

    fn counts(&self) -> Counts {
        let used = self.processes.iter().map(Process::used).collect();
        let traffic = self.simulation.traffic[usize::from(self.first_real)..].to_vec();
        Counts { used, traffic }
    }

    /// What the real controllers used and sent since then.
    fn row(&self, seconds: f64, before: &Counts, stood: u64) -> Row {
        let now = self.counts();
        let traffic: Vec<Traffic> =
            now.traffic.iter().zip(&before.traffic).map(|(n, b)| n.since(b)).collect();
        let rate = |figure: fn(&Traffic) -> u64| {
            MeanMax::of(traffic.iter().map(|traffic| figure(traffic) as f64 / seconds))
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
            drain: Known::NotAsked,
            death: Known::NotAsked,
            change: Known::NoMechanism,
            replacement: Known::NotAsked,
            false_suspicions: 0,
            from_strangers: self.simulation.from_strangers,
            cold_set_ups: 0,
            cold_budget: 0.0,
            cold_fell: 0,
            calls: (self.calls, stood),
            centre: Centre { connections: self.processes.len() as u64, ..Centre::default() },
        }
    }
}
