//! Simulates power losses of fleets of real controllers under load: all, half or one of them are killed at once and started
//! again in random order and after random delays, some while the links are cut, some killed again during recovery. Checks
//! what the call servers and the callers observed, and measures the time until service is restored and the cost of the
//! records.

use std::collections::BTreeMap;
use std::io::Write;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::{Args, Subcommand};
use lockpoint::core::Sid;
use lockpoint::recovery::records::{CallRecord, RecordChange};
use lockpoint_store::{Batch, Durability, Store};
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;
use serde_json::json;

use super::processes::{settings, Processes};
use crate::bulletin::{list_entry, Bulletin};
use crate::callers::Caller;
use crate::event_log::{EventKind, EventLog};
use crate::path::random_fraction;
use crate::processor::ProcessorConfig;
use crate::server_model::ServerModel;
use crate::sip::{ServerBehaviour, SipServer};
use crate::under_test::{sibling_program, LabError};

/// Mean duration of a call.
const CALL_DURATION_MS: u64 = 1_200;
/// Time under load before the power loss, and after all controllers have restarted.
const BEFORE: Duration = Duration::from_millis(1_500);
const AFTER: Duration = Duration::from_millis(2_500);
/// Time between two calls, over all controllers: two thirds of the capacity of the call servers.
const CALL_INTERVAL: Duration = Duration::from_millis(4);
/// A message sent within this time of a power loss may have been lost in transit.
const IN_TRANSIT: Duration = Duration::from_millis(100);
/// A restarted controller may not send a set-up within this time, as its previous run may have had an attempt outstanding.
const QUIET_AFTER_RESTART: Duration = Duration::from_millis(500);
/// A pending release is sent within this time of the restart of its controller.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(8);

/// The power-loss measurements.
#[derive(Debug, Subcommand)]
pub enum Crash {
    /// Kill random controllers of a fleet under load; ends with `N passed, N failed`.
    Fleet(Options),
    /// Measure the recovery time with many established calls, and the cost of the records on this disk.
    Return(Return),
}

/// Options for rounds of power losses.
#[derive(Debug, Args)]
pub struct Options {
    /// The first seed; each round uses the next one.
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Number of rounds.
    #[arg(long, default_value_t = 50)]
    rounds: u64,
    /// The program under test; by default the one in this program's directory.
    #[arg(long)]
    program: Option<PathBuf>,
    /// Directory for the table.
    #[arg(long, default_value = "target/crash")]
    out: PathBuf,
}

/// Options for the measurement of the recovery time.
#[derive(Debug, Args)]
pub struct Return {
    /// Calls established at the power loss.
    #[arg(long, value_delimiter = ',', default_values_t = [0, 10_000, 100_000])]
    standing: Vec<u64>,
    /// Number of controllers.
    #[arg(long, default_value_t = 4)]
    controllers: u16,
    /// The program under test; by default the one in this program's directory.
    #[arg(long)]
    program: Option<PathBuf>,
}

/// Runs the chosen measurement.
pub async fn run(crash: &Crash) -> Result<bool, LabError> {
    match crash {
        Crash::Fleet(options) => power_losses(options).await,
        Crash::Return(options) => recovery_time(options).await.map(|()| true),
    }
}

/// Which controllers lose power, and the fault during their recovery.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    All,
    Half,
    One,
    AllAndLinksCut,
    AllAndAgainWhileComingBack,
    AllAndACallServer,
}

const KINDS: [Kind; 6] = [
    Kind::All,
    Kind::Half,
    Kind::One,
    Kind::AllAndLinksCut,
    Kind::AllAndAgainWhileComingBack,
    Kind::AllAndACallServer,
];

#[derive(Debug, Serialize)]
struct Row {
    seed: u64,
    kind: Kind,
    controllers: u16,
    asked: usize,
    stood: usize,
    stood_when_lost: usize,
    full_service_ms: u64,
    refused_while_back: usize,
    broken: String,
}

struct Round {
    world: EventLog,
    servers: Vec<Rc<SipServer>>,
    fleet: Processes,
    callers: BTreeMap<u16, Caller>,
    asked: u64,
    /// The times of the power losses.
    losses: Vec<Instant>,
}

impl Round {
    async fn start(program: &Path, controllers: u16, seed: u64) -> Result<Round, LabError> {
        let world = EventLog::default();
        let bulletin = Bulletin::start(&world).await;
        let mut servers = Vec::new();
        for n in 0..3 {
            let config = ProcessorConfig { capacity: 120.0, ..ProcessorConfig::default() };
            let machine = ServerModel::new(config, CALL_DURATION_MS, seed.wrapping_add(n));
            servers.push(SipServer::start(&world, &format!("s{n}"), ServerBehaviour::Model(machine)).await);
        }
        let lines =
            servers.iter().zip(0..).map(|(server, n)| list_entry(&server.name, server.at, n, "ready"));
        bulletin.publish(true, lines.collect());
        let mut fleet = Processes::prepare(program, controllers, bulletin.at, &settings(), seed).await?;
        (fleet.fleet_settings, fleet.store_settings) = (Some(json!({})), Some(json!({})));
        fleet.start_all().await?;
        let (callers, losses) = (BTreeMap::new(), Vec::new());
        let mut round = Round { world, servers, fleet, callers, asked: 0, losses };
        for me in 0..controllers {
            round.connect(me).await;
        }
        Ok(round)
    }

    async fn connect(&mut self, me: u16) {
        let Some(at) = self.fleet.client_address(me) else { return };
        if let Ok(caller) = Caller::try_connect(&self.world, &format!("caller{me}"), at).await {
            caller.confirm_releases();
            self.callers.insert(me, caller);
        }
    }

    /// Places calls at the running controllers.
    async fn load(&mut self, duration: Duration) {
        self.load_every(CALL_INTERVAL, duration).await;
    }

    async fn load_every(&mut self, every: Duration, duration: Duration) {
        let end = Instant::now() + duration;
        let every = every * u32::try_from(self.callers.len().max(1)).unwrap_or(1);
        while Instant::now() < end {
            for (me, caller) in &self.callers {
                if self.fleet.client_address(*me).is_none() {
                    continue;
                }
                self.asked += 1;
                let sid = Sid::from_number(0x10_0000 + self.asked).to_string();
                let line = json!({"msg": "open", "sid": sid, "attrs": {"class": "judge-call", "left": "5000",
                    "key": "7f3a9c21e0b4d655", "extras": format!("dest:{}", self.asked % 3)}, "text": "v=0\r\n"});
                let _ = caller.try_send(0, format!("{line}\n").as_bytes()).await;
            }
            tokio::time::sleep(every).await;
        }
    }

    async fn kill(&mut self, who: &[u16]) {
        self.losses.push(Instant::now());
        for me in who {
            self.fleet.kill(*me).await;
            self.callers.remove(me);
        }
    }
}

async fn run_round(program: &Path, kind: Kind, seed: u64) -> Result<Row, LabError> {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let controllers = 3 + (rng.next_u32() % 6) as u16;
    let mut round = Round::start(program, controllers, seed).await?;
    round.load(BEFORE).await;
    let killed: Vec<u16> = match kind {
        Kind::Half => (0..controllers / 2).collect(),
        Kind::One => vec![(rng.next_u32() % u32::from(controllers)) as u16],
        _ => (0..controllers).collect(),
    };
    let lost = Instant::now();
    round.kill(&killed).await;
    let all = killed.len() == usize::from(controllers);
    let stood_when_lost = round.servers.iter().map(|s| established_calls(s)).sum();
    if kind == Kind::AllAndACallServer {
        round.servers[2].wait_until_disconnected().await;
        round.servers[2].die();
    }
    if kind == Kind::AllAndLinksCut {
        round.fleet.mesh.links.borrow_mut().split(controllers / 2, controllers);
    }
    let mut order = killed.clone();
    for at in (1..order.len()).rev() {
        order.swap(at, rng.next_u32() as usize % (at + 1));
    }
    let mut again = kind == Kind::AllAndAgainWhileComingBack;
    let mut first_start = None;
    while let Some(me) = order.pop() {
        tokio::time::sleep(Duration::from_millis(300).mul_f64(random_fraction(rng))).await;
        first_start.get_or_insert_with(Instant::now);
        round.fleet.start_controller(me).await?;
        if std::mem::take(&mut again) {
            // Killed again during its recovery; the next run starts from the records written by then.
            round.kill(&[me]).await;
            order.insert(0, me);
            continue;
        }
        round.connect(me).await;
    }
    let back = Instant::now();
    let refused_before = round.world.count(|s| matches!(s.kind, EventKind::Close(42 | 34, _)));
    // Full service: each restarted controller has established a call.
    let mut served: BTreeMap<u16, Instant> = BTreeMap::new();
    let end = back + Duration::from_secs(15);
    while served.len() < killed.len() && Instant::now() < end {
        round.load(Duration::from_millis(50)).await;
        for me in &killed {
            let name = format!("caller{me}");
            let ready = round.world.events().into_iter().filter(|s| s.at > back && s.source == name);
            let ready = ready.filter(|s| matches!(s.kind, EventKind::Ready(_))).map(|s| s.at).min();
            if let Some(at) = ready {
                served.entry(*me).or_insert(at);
            }
        }
    }
    round.fleet.mesh.links.borrow_mut().groups.clear();
    round.load(AFTER).await;
    let refused = round.world.count(|s| matches!(s.kind, EventKind::Close(42 | 34, _))) - refused_before;
    // The last calls end. Callers keep placing calls: after 5 s without a message a caller's connection is closed, and
    // releases for it would stay pending.
    round.load_every(CALL_INTERVAL * 20, Duration::from_millis(CALL_DURATION_MS * 6)).await;
    let mut broken = violated_rules(&round.world, &round.losses, first_start.unwrap_or(lost), back, all);
    if served.len() < killed.len() {
        broken.push(format!("{} of {} came back to service", served.len(), killed.len()));
    }
    let full = served.values().max().map_or(Duration::ZERO, |at| at.duration_since(back));
    let asked = usize::try_from(round.asked).unwrap_or(usize::MAX);
    let stood = round.world.count(|s| matches!(s.kind, EventKind::Ready(_)));
    round.fleet.stop().await;
    Ok(Row {
        seed,
        kind,
        controllers,
        asked,
        stood,
        stood_when_lost,
        full_service_ms: u64::try_from(full.as_millis()).unwrap_or(u64::MAX),
        refused_while_back: refused,
        broken: broken.join("; "),
    })
}

fn established_calls(server: &SipServer) -> usize {
    match &*server.behaviour.borrow() {
        ServerBehaviour::Model(machine) => machine.standing(),
        _ => 0,
    }
}

/// What was observed of one call.
#[derive(Default)]
struct CallHistory {
    /// Final answers to its caller.
    answers: usize,
    established: bool,
    /// When its call server released it or died.
    ended: Option<Instant>,
    server: Option<String>,
    releases: Vec<Instant>,
    outstanding: usize,
    max_outstanding: usize,
}

/// Returns the rules that were violated, each with the number of cases and the first one.
fn violated_rules(
    world: &EventLog,
    losses: &[Instant],
    start: Instant,
    back: Instant,
    all: bool,
) -> Vec<String> {
    let Some(&lost) = losses.first() else { return vec!["no controller was killed".to_owned()] };
    let in_transit =
        |at: Instant| losses.iter().any(|lost| (*lost - IN_TRANSIT..*lost + IN_TRANSIT).contains(&at));
    let mut calls: BTreeMap<String, CallHistory> = BTreeMap::new();
    let mut found: BTreeMap<&'static str, (usize, String)> = BTreeMap::new();
    let mut violation = |rule: &'static str, sid: &str| {
        let entry = found.entry(rule).or_insert_with(|| (0, sid.to_owned()));
        entry.0 += 1;
    };
    for seen in world.events() {
        if matches!(seen.kind, EventKind::Died) {
            for call in
                calls.values_mut().filter(|c| c.server.as_deref() == Some(&seen.source) && c.ended.is_none())
            {
                call.ended = Some(seen.at);
            }
        }
        if matches!(seen.kind, EventKind::Tipped) {
            violation("a cold call server fell over", &seen.source);
        }
        if seen.sid.is_empty() {
            continue;
        }
        let call = calls.entry(seen.sid.clone()).or_default();
        match &seen.kind {
            EventKind::SetUp(..) => {
                if all && seen.at > lost && seen.at < start + QUIET_AFTER_RESTART {
                    violation("a set-up was sent within 500 ms of a restart", &seen.sid);
                }
                call.outstanding += 1;
                call.max_outstanding = call.max_outstanding.max(call.outstanding);
                call.server = Some(seen.source.clone());
            }
            EventKind::Answered(_) | EventKind::Refused | EventKind::Cancel => {
                call.outstanding = call.outstanding.saturating_sub(1)
            }
            EventKind::Ready(_) => (call.established, call.answers) = (true, call.answers + 1),
            EventKind::Close(..) if call.established => call.releases.push(seen.at),
            EventKind::Close(..) => call.answers += 1,
            EventKind::Released => call.ended = Some(seen.at),
            _ => {}
        }
    }
    let observed_until = Instant::now();
    for (sid, call) in &calls {
        // When the call ended and its releases were sent, in milliseconds relative to the first power loss.
        let ms = |at: &Instant| match at.checked_duration_since(lost) {
            Some(after) => format!("+{}", after.as_millis()),
            None => format!("-{}", lost.duration_since(*at).as_millis()),
        };
        let released: Vec<String> = call.releases.iter().map(&ms).collect();
        let ended = call.ended.as_ref().map_or_else(|| "established".to_owned(), &ms);
        let sid = &format!(
            "{sid} at {} ended {ended} released [{}]",
            call.server.as_deref().unwrap_or("?"),
            released.join(" ")
        );
        if call.answers > 1 {
            violation("two final answers", sid);
        }
        if call.max_outstanding > 1 {
            violation("two attempts outstanding at once", sid);
        }
        if !call.established {
            continue;
        }
        match (call.ended, call.releases.as_slice()) {
            (None, []) => {}
            (None, _) => violation("an established call was released", sid),
            // The round ends while the release is in transit.
            (Some(ended), []) if observed_until.duration_since(ended) < Duration::from_secs(1) => {}
            (Some(ended), []) if in_transit(ended) => {}
            (Some(_), []) => violation("a pending release was never sent", sid),
            (Some(ended), [first, rest @ ..]) => {
                if first.duration_since(ended.max(back).min(*first)) > RELEASE_TIMEOUT {
                    violation("a release came after 8 s", sid);
                }
                // A release sent just before the power loss may be sent again by the next run, which has no record of it.
                if rest.iter().any(|at| *first > lost || *at < lost) {
                    violation("a release was sent twice", sid);
                }
            }
        }
    }
    found.into_iter().map(|(rule, (times, sid))| format!("{rule} ({times} times, first {sid})")).collect()
}

async fn power_losses(options: &Options) -> Result<bool, LabError> {
    let program = options.program.clone().unwrap_or_else(|| sibling_program("lockpoint"));
    println!("seeds from {}, {} rounds", options.seed, options.rounds);
    println!(
        "{:>5} {:>26} {:>11} {:>6} {:>6} {:>10} {:>10} {:>8}  broken",
        "seed", "lost", "controllers", "asked", "stood", "stood then", "full in ms", "refused"
    );
    let mut rows = Vec::new();
    for no in 0..options.rounds {
        let kind = KINDS[usize::try_from(no).unwrap_or(0) % KINDS.len()];
        let row = run_round(&program, kind, options.seed + no).await?;
        println!(
            "{:>5} {:>26} {:>11} {:>6} {:>6} {:>10} {:>10} {:>8}  {}",
            row.seed,
            format!("{:?}", row.kind),
            row.controllers,
            row.asked,
            row.stood,
            row.stood_when_lost,
            row.full_service_ms,
            row.refused_while_back,
            row.broken
        );
        rows.push(row);
    }
    std::fs::create_dir_all(&options.out).map_err(|e| LabError::file(&options.out, e))?;
    let file = options.out.join("crash.csv");
    let mut writer = csv::Writer::from_path(&file).map_err(|e| LabError::file(&file, e))?;
    for row in &rows {
        writer.serialize(row).map_err(|e| LabError::file(&file, e))?;
    }
    writer.flush().map_err(|e| LabError::file(&file, e))?;
    let failed = rows.iter().filter(|row| !row.broken.is_empty()).count();
    println!("{} holds crash.csv", options.out.display());
    println!("{} passed, {failed} failed", rows.len() - failed);
    Ok(failed == 0)
}

/// Measures the recovery of one, half and all controllers, each with the given numbers of established calls; then the cost
/// of the records.
async fn recovery_time(options: &Return) -> Result<(), LabError> {
    let program = options.program.clone().unwrap_or_else(|| sibling_program("lockpoint"));
    println!(
        "{:>9} {:>9} {:>12} {:>14} {:>18} {:>8}",
        "standing", "lost", "serves, ms", "first call, ms", "all taken, ms", "refused"
    );
    for &calls in &options.standing {
        for lost in [1, options.controllers.div_ceil(2), options.controllers] {
            let mut round = Round::start(&program, options.controllers, calls + 1).await?;
            // The other controllers have calls, and so have something to report to the restarted ones.
            round.load(Duration::from_millis(600)).await;
            let killed: Vec<u16> = (0..lost).collect();
            round.kill(&killed).await;
            for me in &killed {
                write_records(&round.fleet.record_file(*me), &round.servers[0].name, calls)?;
            }
            let start = Instant::now();
            let mut serves = Duration::ZERO;
            for me in &killed {
                round.fleet.start_controller(*me).await?;
                serves = serves.max(start.elapsed());
                round.connect(*me).await;
            }
            let asked_from = round.asked;
            let refused =
                |round: &Round| round.world.count(|s| matches!(s.kind, EventKind::Close(42 | 34, _)));
            let refused_from = refused(&round);
            let (mut first, mut all) = (None, None);
            let end = start + Duration::from_secs(30);
            while all.is_none() && Instant::now() < end {
                let (asked, refused_before) = (round.asked, refused(&round));
                round.load(Duration::from_millis(100)).await;
                let name = |s: &str| killed.iter().any(|me| s == format!("caller{me}"));
                if first.is_none() {
                    let ready = round.world.events().into_iter();
                    let ready = ready
                        .filter(|s| s.at > start && name(&s.source) && matches!(s.kind, EventKind::Ready(_)));
                    first = ready.map(|s| s.at).min();
                }
                // Recovered: no call was refused for 100 ms.
                if first.is_some() && refused(&round) == refused_before && round.asked > asked {
                    all = Some(Instant::now());
                }
            }
            let ms = |at: Option<Instant>| at.map_or(0, |at| at.duration_since(start).as_millis());
            println!(
                "{calls:>9} {lost:>9} {:>12} {:>14} {:>18} {:>8}",
                serves.as_millis(),
                ms(first),
                ms(all),
                refused(&round) - refused_from
            );
            assert!(round.asked > asked_from);
            round.fleet.stop().await;
        }
    }
    record_costs()
}

/// Writes `calls` established calls to a record file that no process has open.
fn write_records(file: &Path, host: &str, calls: u64) -> Result<(), LabError> {
    let fail = |error: lockpoint_store::StoreError| LabError::file(file, error);
    let mut store = Store::open(file).map_err(fail)?;
    let mut batch = Batch::default();
    for no in 0..calls {
        let record = CallRecord {
            host: host.to_owned(),
            started_ms: 0,
            number: "7f3a9c21e0b4d655".into(),
            since_ms: 1,
            leg: false,
        };
        if let (key, Some(value)) =
            RecordChange::CallEstablished(Sid::from_number(0xf000_0000_0000 + no), record).encoded()
        {
            batch.put(&key, &value);
        }
    }
    store.commit(&batch, Durability::Synced).map_err(fail).map(|_| ())
}

/// Measures how many call records per second can be written, and the plain sync rate of the disk.
fn record_costs() -> Result<(), LabError> {
    const DURATION: Duration = Duration::from_secs(2);
    let file = std::env::temp_dir().join(format!("lockpoint-lab-costs-{}", std::process::id()));
    let fail = |error: &dyn std::fmt::Display| LabError::file(&file, error.to_string());
    let mut raw = std::fs::File::create(&file).map_err(|e| fail(&e))?;
    let (begin, mut syncs) = (Instant::now(), 0u32);
    while begin.elapsed() < DURATION {
        raw.write_all(&[7; 4096]).and_then(|()| raw.sync_data()).map_err(|e| fail(&e))?;
        syncs += 1;
    }
    let rate = f64::from(syncs) / begin.elapsed().as_secs_f64();
    println!("a write of 4 KiB and a sync: {rate:.0} a second");
    drop(raw);
    std::fs::remove_file(&file).map_err(|e| fail(&e))?;
    for (name, group, durability) in [
        ("each call synced", 1, Durability::Synced),
        ("10 calls a sync", 10, Durability::Synced),
        ("100 calls a sync", 100, Durability::Synced),
        ("not synced", 1, Durability::Deferred),
    ] {
        let mut store = Store::open(&file).map_err(|e| fail(&e))?;
        let (begin, mut calls) = (Instant::now(), 0u64);
        while begin.elapsed() < DURATION {
            let mut batch = Batch::default();
            for _ in 0..group {
                let record = CallRecord {
                    host: "s0".into(),
                    started_ms: 0,
                    number: "7f3a9c21e0b4d655".into(),
                    since_ms: 1,
                    leg: false,
                };
                if let (key, Some(value)) =
                    RecordChange::CallEstablished(Sid::from_number(calls), record).encoded()
                {
                    batch.put(&key, &value);
                }
                calls += 1;
            }
            store.commit(&batch, durability).map_err(|e| fail(&e))?;
        }
        println!("{name}: {:.0} calls a second", calls as f64 / begin.elapsed().as_secs_f64());
        drop(store);
        std::fs::remove_file(&file).map_err(|e| fail(&e))?;
    }
    Ok(())
}
