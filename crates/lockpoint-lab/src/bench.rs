//! The controller and a bare relay in turn, in front of the same call server and callers: set-ups a second of a core,
//! added signalling latency, bytes of a call that stands.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use clap::Args;
use hdrhistogram::Histogram;
use lockpoint::core::Sid;
use lockpoint::interface::{Span, Time};
use serde_json::json;
use tokio::sync::mpsc;

use crate::callers::{default_ask, Caller};
use crate::event_log::{now, sleep_until, time_of, EventKind, EventLog, RecordedEvent};
use crate::experiment::Experiment;
use crate::results::{latency_histogram, quantile_ms};
use crate::run::{agent_file, any_port, TestBed};
use crate::sip::{ServerBehaviour, SipServer};
use crate::under_test::{
    address, resource_usage, sibling_program, spawn, Agent, LabError, ResourceUsage, TempDir,
};

/// Callers in a closed loop: so many calls are asked for at any moment.
const AT_ONCE: usize = 32;
/// Set-ups a second in open loop, at which latency is measured.
const PACE: f64 = 500.0;
/// How long a caller waits, in milliseconds.
const LEFT_MS: u64 = 9_000;
/// An answer that has not come by then never will.
const NEVER_AFTER: Span = Span::from_millis(15_000);

/// What is measured.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// Seconds of each measurement.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Rounds; each runs the relay and the controller in turn.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// Calls that stand while memory is measured.
    #[arg(long, default_value_t = 5_000)]
    standing: usize,
    /// The controller; the one beside this program where it is not said.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// What one subject showed in one round.
#[derive(Debug)]
struct Figures {
    per_core: f64,
    latency: Histogram<u64>,
    bytes: f64,
}

/// One caller's connection and what it has heard.
struct Driver {
    caller: Caller,
    seen: mpsc::UnboundedReceiver<RecordedEvent>,
    next: u64,
}

impl Driver {
    fn sid(&mut self) -> String {
        self.next += 1;
        Sid::from_number(0xbe9c_0000_0000_0000 + self.next).to_string()
    }

    async fn ask(&mut self) -> Result<(), LabError> {
        let sid = self.sid();
        let asked = self.caller.try_open(0, &sid, 0, &default_ask(LEFT_MS, "v=0 bench")).await;
        asked.map_err(|why| LabError::Socket { what: "the caller".to_owned(), why })
    }

    /// The next call that stands.
    async fn answered(&mut self) -> Result<(String, Time), LabError> {
        let wait = async {
            loop {
                let seen = self.seen.recv().await?;
                if let EventKind::Ready(_) = seen.kind {
                    return Some((seen.sid, time_of(seen.at)));
                }
            }
        };
        let never = || LabError::NotServing("a call was not answered".to_owned());
        tokio::time::timeout(Duration::from_micros(NEVER_AFTER.0), wait)
            .await
            .ok()
            .flatten()
            .ok_or_else(never)
    }

    /// Set-ups a second of a core, with `AT_ONCE` asked for at any moment. Each call is ended when it stands.
    async fn throughput(&mut self, seconds: f64, used: impl Fn() -> ResourceUsage) -> Result<f64, LabError> {
        for _ in 0..AT_ONCE {
            self.ask().await?;
        }
        let (until, before) = (now().plus(Span::from_secs(seconds)), used());
        let mut stood = 0_u32;
        while now() < until {
            let (sid, _) = self.answered().await?;
            stood += 1;
            self.caller.close(&sid, 16).await;
            self.ask().await?;
        }
        let cpu = used().cpu - before.cpu;
        for _ in 0..AT_ONCE {
            let (sid, _) = self.answered().await?;
            self.caller.close(&sid, 16).await;
        }
        Ok(f64::from(stood) / cpu.max(0.01))
    }

    /// From asking to the answer, at `PACE`.
    async fn latency(&mut self, seconds: f64) -> Result<Histogram<u64>, LabError> {
        let mut histogram = latency_histogram();
        let (mut due, until) = (now(), now().plus(Span::from_secs(seconds)));
        while due < until {
            sleep_until(due).await;
            let asked = now();
            self.ask().await?;
            let (sid, at) = self.answered().await?;
            histogram.saturating_record(at.since(asked).0.max(1));
            self.caller.close(&sid, 16).await;
            due = due.plus(Span::from_secs(1.0 / PACE)).max(now());
        }
        Ok(histogram)
    }

    /// Bytes of memory for each of so many calls that stand at once.
    async fn bytes(&mut self, standing: usize, used: impl Fn() -> ResourceUsage) -> Result<f64, LabError> {
        let before = used().memory;
        let mut asked = 0;
        for n in 0..standing {
            while asked < standing && asked < n + AT_ONCE {
                self.ask().await?;
                asked += 1;
            }
            self.answered().await?;
        }
        Ok(used().memory.saturating_sub(before) as f64 / standing as f64)
    }

    async fn figures(
        &mut self,
        options: &Options,
        used: impl Fn() -> ResourceUsage,
    ) -> Result<Figures, LabError> {
        let bytes = self.bytes(options.standing, &used).await?;
        let latency = self.latency(options.seconds).await?;
        let per_core = self.throughput(options.seconds, &used).await?;
        Ok(Figures { per_core, latency, bytes })
    }
}

async fn driver(world: &EventLog, at: SocketAddr) -> Result<Driver, LabError> {
    let seen = world.subscribe();
    let caller = Caller::try_connect(world, "bench", at).await;
    let caller = caller.map_err(|why| LabError::Socket { what: "the caller".to_owned(), why })?;
    Ok(Driver { caller, seen, next: 0 })
}

async fn server(world: &EventLog) -> Rc<SipServer> {
    SipServer::start(world, "s0", ServerBehaviour::Answer("v=0 answer".to_owned())).await
}

async fn of_relay(options: &Options) -> Result<Figures, LabError> {
    let world = EventLog::without_history();
    let server = server(&world).await;
    let free = std::net::TcpListener::bind(any_port()).and_then(|listener| listener.local_addr());
    let at = free.map_err(|why| LabError::Socket { what: "a port".to_owned(), why })?;
    let (listen, call) = (at.to_string(), server.at.to_string());
    let program = sibling_program("lockpoint-lab");
    let child = spawn(&program, &["relay", "--listen", &listen, "--server", &call], true)?;
    let pid = child.id().unwrap_or(0);
    let mut driver = loop {
        match driver(&world, at).await {
            Ok(driver) => break driver,
            Err(_) if resource_usage(pid).memory > 0 => tokio::time::sleep(Duration::from_millis(10)).await,
            Err(error) => return Err(error),
        }
    };
    driver.figures(options, || resource_usage(pid)).await
}

async fn of_controller(options: &Options) -> Result<Figures, LabError> {
    let folder = TempDir::new("bench")?;
    let control = folder.path().join("control.sock");
    let text = "name = 'bench'\nseconds = 1\nload = 1\n[[server]]\nname = 's0'\nspeaks = 'sip'\n";
    let experiment = Experiment::parse(text).map_err(LabError::NotServing)?;
    let mut stage = TestBed::start(&experiment, any_port(), any_port()).await?;
    // Not the model: a call server that answers at once, as the relay's does.
    let world = EventLog::without_history();
    let server = server(&world).await;
    stage.bulletin.publish(true, vec![crate::bulletin::list_entry("s0", server.at, 0, "ready")]);
    let config = folder.path().join("agent.toml");
    let file = agent_file(&experiment, &stage, &control, json!({"sockets": 1024, "memory_mb": 512}))?;
    std::fs::write(&config, file).map_err(|e| LabError::file(&config, e))?;
    let program = options.program.clone().unwrap_or_else(|| sibling_program("lockpoint"));
    let mut agent = Agent::start(&program, &config, &control, true)?;
    let dial = server.at.to_string();
    let held = agent.wait_until(|i| i.state == "serving" && i.servers.iter().any(|s| s.dial == dial)).await?;
    stage.stop_recording();
    let pid = agent.pid;
    let mut driver = driver(&world, address(&held[0].listen, "listen")?).await?;
    let figures = driver.figures(options, || resource_usage(pid)).await;
    drop(driver);
    agent.kill().await;
    figures
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Runs both in turn and prints the figures; each row is the median of the rounds.
pub async fn run(options: &Options) -> Result<(), LabError> {
    let (mut relay, mut controller) = (Vec::new(), Vec::new());
    for _ in 0..options.rounds.max(1) {
        relay.push(of_relay(options).await?);
        controller.push(of_controller(options).await?);
    }
    println!(
        "SIP call server, JSON-lines caller; {} rounds of {} s, {} calls standing; medians of the rounds",
        options.rounds.max(1),
        options.seconds,
        options.standing
    );
    println!("| figure | relay | controller | controller / relay |\n| --- | ---: | ---: | ---: |");
    let row = |name: &str, value: &dyn Fn(&Figures) -> f64| {
        let of = |figures: &[Figures]| median(figures.iter().map(value).collect());
        let ratio =
            median(relay.iter().zip(&controller).map(|(r, c)| value(c) / value(r).max(1e-9)).collect());
        println!("| {name} | {:.3} | {:.3} | {ratio:.2} |", of(&relay), of(&controller));
    };
    row("set-ups a second of a core", &|f| f.per_core);
    row("answer after, p50 ms", &|f| quantile_ms(&f.latency, 0.5));
    row("answer after, p99 ms", &|f| quantile_ms(&f.latency, 0.99));
    row("answer after, p99.9 ms", &|f| quantile_ms(&f.latency, 0.999));
    row("bytes of a call that stands", &|f| f.bytes);
    let added = |share| {
        let pairs = relay.iter().zip(&controller);
        median(pairs.map(|(r, c)| quantile_ms(&c.latency, share) - quantile_ms(&r.latency, share)).collect())
    };
    println!(
        "added by the controller: p50 {:.3} ms, p99 {:.3} ms, p99.9 {:.3} ms",
        added(0.5),
        added(0.99),
        added(0.999)
    );
    Ok(())
}
