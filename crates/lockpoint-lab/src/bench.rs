//! Compares the controller with a minimal relay, in turn and with the same call server and caller: set-ups per second of a
//! core, added signalling latency and memory of an established call.

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
use crate::ports::free_address;
use crate::results::{latency_histogram, quantile_ms};
use crate::run::{agent_file, any_port, TestBed};
use crate::sip::{ServerBehaviour, SipServer};
use crate::under_test::{
    address, resource_usage, sibling_program, spawn, Agent, LabError, ResourceUsage, TempDir,
};

/// The number of outstanding set-ups in the closed-loop measurement.
const OUTSTANDING: usize = 32;
/// The rate of set-ups per second at which latency is measured.
const LATENCY_RATE: f64 = 500.0;
/// How long a caller waits, in milliseconds.
const CALLER_TIMEOUT_MS: u64 = 9_000;
/// After this time a missing answer is an error.
const ANSWER_TIMEOUT: Span = Span::from_millis(15_000);

/// The options of the benchmark.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// The duration of each measurement, in seconds.
    #[arg(long, default_value_t = 4.0)]
    seconds: f64,
    /// Rounds; each runs the relay and the controller in turn.
    #[arg(long, default_value_t = 3)]
    rounds: usize,
    /// The number of established calls while memory is measured.
    #[arg(long, default_value_t = 5_000)]
    standing: usize,
    /// The controller; by default the one in this program's directory.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// The results of one program in one round.
#[derive(Debug)]
struct Measurement {
    per_core: f64,
    latency: Histogram<u64>,
    bytes: f64,
}

/// A caller and the events that it records.
struct Driver {
    caller: Caller,
    events: mpsc::UnboundedReceiver<RecordedEvent>,
    last_call: u64,
}

impl Driver {
    fn sid(&mut self) -> String {
        self.last_call += 1;
        Sid::from_number(0xbe9c_0000_0000_0000 + self.last_call).to_string()
    }

    async fn ask(&mut self) -> Result<(), LabError> {
        let sid = self.sid();
        let asked = self.caller.try_open(0, &sid, 0, &default_ask(CALLER_TIMEOUT_MS, "v=0 bench")).await;
        asked.map_err(|why| LabError::Socket { what: "the caller".to_owned(), why })
    }

    /// Waits for the next answered call.
    async fn answered(&mut self) -> Result<(String, Time), LabError> {
        let wait = async {
            loop {
                let event = self.events.recv().await?;
                if let EventKind::Ready(_) = event.kind {
                    return Some((event.sid, time_of(event.at)));
                }
            }
        };
        let no_answer = || LabError::NotServing("a call was not answered".to_owned());
        tokio::time::timeout(Duration::from_micros(ANSWER_TIMEOUT.0), wait)
            .await
            .ok()
            .flatten()
            .ok_or_else(no_answer)
    }

    /// Set-ups per second of a core, with `OUTSTANDING` set-ups at any moment. Each call is ended once it is established.
    async fn throughput(&mut self, seconds: f64, used: impl Fn() -> ResourceUsage) -> Result<f64, LabError> {
        for _ in 0..OUTSTANDING {
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
        for _ in 0..OUTSTANDING {
            let (sid, _) = self.answered().await?;
            self.caller.close(&sid, 16).await;
        }
        Ok(f64::from(stood) / cpu.max(0.01))
    }

    /// The time from request to answer at the rate `LATENCY_RATE`.
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
            due = due.plus(Span::from_secs(1.0 / LATENCY_RATE)).max(now());
        }
        Ok(histogram)
    }

    /// The memory per call with `standing` established calls, in bytes.
    async fn bytes(&mut self, standing: usize, used: impl Fn() -> ResourceUsage) -> Result<f64, LabError> {
        let before = used().memory;
        let mut asked = 0;
        for n in 0..standing {
            while asked < standing && asked < n + OUTSTANDING {
                self.ask().await?;
                asked += 1;
            }
            self.answered().await?;
        }
        Ok(used().memory.saturating_sub(before) as f64 / standing as f64)
    }

    async fn measure(
        &mut self,
        options: &Options,
        used: impl Fn() -> ResourceUsage,
    ) -> Result<Measurement, LabError> {
        let bytes = self.bytes(options.standing, &used).await?;
        let latency = self.latency(options.seconds).await?;
        let per_core = self.throughput(options.seconds, &used).await?;
        Ok(Measurement { per_core, latency, bytes })
    }
}

async fn driver(log: &EventLog, at: SocketAddr) -> Result<Driver, LabError> {
    let events = log.subscribe();
    let caller = Caller::try_connect(log, "bench", at).await;
    let caller = caller.map_err(|why| LabError::Socket { what: "the caller".to_owned(), why })?;
    Ok(Driver { caller, events, last_call: 0 })
}

async fn server(log: &EventLog) -> Rc<SipServer> {
    SipServer::start(log, "s0", ServerBehaviour::Answer("v=0 answer".to_owned())).await
}

async fn measure_relay(options: &Options) -> Result<Measurement, LabError> {
    let log = EventLog::without_history();
    let server = server(&log).await;
    let at =
        free_address(any_port().ip()).map_err(|why| LabError::Socket { what: "a port".to_owned(), why })?;
    let (listen, call) = (at.to_string(), server.at.to_string());
    let program = sibling_program("lockpoint-lab");
    let child = spawn(&program, &["relay", "--listen", &listen, "--server", &call], true)?;
    let pid = child.id().unwrap_or(0);
    let mut driver = loop {
        match driver(&log, at).await {
            Ok(driver) => break driver,
            Err(_) if resource_usage(pid).memory > 0 => tokio::time::sleep(Duration::from_millis(10)).await,
            Err(error) => return Err(error),
        }
    };
    driver.measure(options, || resource_usage(pid)).await
}

async fn measure_controller(options: &Options) -> Result<Measurement, LabError> {
    let folder = TempDir::new("bench")?;
    let control = folder.path().join("control.sock");
    let text = "name = 'bench'\nseconds = 1\nload = 1\n[[server]]\nname = 's0'\nspeaks = 'sip'\n";
    let experiment = Experiment::parse(text).map_err(LabError::NotServing)?;
    let mut test_bed = TestBed::start(&experiment, any_port(), any_port()).await?;
    // Not the modelled call server of the test bed: one that answers at once, as the relay's does.
    let log = EventLog::without_history();
    let server = server(&log).await;
    test_bed.bulletin.publish(true, vec![crate::bulletin::list_entry("s0", server.at, 0, "ready")]);
    let config = folder.path().join("agent.toml");
    let file = agent_file(&experiment, &test_bed, &control, json!({"sockets": 1024, "memory_mb": 512}))?;
    std::fs::write(&config, file).map_err(|e| LabError::file(&config, e))?;
    let program = options.program.clone().unwrap_or_else(|| sibling_program("lockpoint"));
    let mut agent = Agent::start(&program, &config, &control, true)?;
    let server_address = server.at.to_string();
    let instances = agent
        .wait_until(|i| i.state == "serving" && i.servers.iter().any(|s| s.dial == server_address))
        .await?;
    test_bed.stop_recording();
    let pid = agent.pid;
    let mut driver = driver(&log, address(&instances[0].listen, "listen")?).await?;
    let measurement = driver.measure(options, || resource_usage(pid)).await;
    drop(driver);
    agent.kill().await;
    measurement
}

fn median(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values[values.len() / 2]
}

/// Measures both programs in turn and prints a table; each row holds the medians of the rounds.
pub async fn run(options: &Options) -> Result<(), LabError> {
    let (mut relay, mut controller) = (Vec::new(), Vec::new());
    for _ in 0..options.rounds.max(1) {
        relay.push(measure_relay(options).await?);
        controller.push(measure_controller(options).await?);
    }
    println!(
        "SIP call server, JSON-lines caller; {} rounds of {} s, {} calls standing; medians of the rounds",
        options.rounds.max(1),
        options.seconds,
        options.standing
    );
    println!("| figure | relay | controller | controller / relay |\n| --- | ---: | ---: | ---: |");
    let row = |name: &str, value: &dyn Fn(&Measurement) -> f64| {
        let of = |measurements: &[Measurement]| median(measurements.iter().map(value).collect());
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
