//! Measures the bounds stated in `docs/fleet-limits.md`: propagation time of an observation under random faults, time to
//! convergence after a partition, and bytes sent. In virtual time, with the code of the controllers.

use std::path::{Path, PathBuf};

use clap::Args;
use lockpoint::fleet::{FleetConfig, Key};
use lockpoint::interface::Span;
use plotters::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::sim::{staleness, Links, Sim};
use crate::under_test::{sibling_program, LabError};

/// Call servers observed all the time, besides the one that a fault concerns.
const BACKGROUND_SERVERS: u32 = 10;
const SUBJECT: Key = Key(1_000);
/// How long a fleet runs before the fault, and the time between two observations of a controller.
const BEFORE: Span = Span::from_millis(3_000);
const OBSERVATION_INTERVAL: Span = Span::from_millis(200);
/// Longer than any bound: a controller without the observation by then is counted as never.
const LIMIT: Span = Span::from_millis(5_000);

/// What to measure.
#[derive(Debug, Args)]
pub struct Options {
    /// The first seed; each run uses the next one.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Faults for each size of the fleet.
    #[arg(long, default_value_t = 200)]
    pub faults: u64,
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [5, 20, 100])]
    pub controllers: Vec<u16>,
    /// Measure real processes instead of virtual time: fleets of these sizes, 20 refusals at each loss rate.
    #[arg(long, value_delimiter = ',')]
    pub processes: Vec<u16>,
    /// Directory for the table and the chart.
    #[arg(long, default_value = "target/fleet-limits")]
    pub out: PathBuf,
}

/// The fault that is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Nothing,
    Loss10,
    Loss30,
    OneWayCuts,
    StandsStill,
    HalvesThenHeal,
    OneAgainstAll,
}

const KINDS: [Kind; 7] = [
    Kind::Nothing,
    Kind::Loss10,
    Kind::Loss30,
    Kind::OneWayCuts,
    Kind::StandsStill,
    Kind::HalvesThenHeal,
    Kind::OneAgainstAll,
];

impl Kind {
    /// The bound on the staleness of all, in milliseconds; for partitions counted from the time at which they heal.
    fn bound_ms(self) -> u64 {
        match self {
            Kind::Nothing => 1_500,
            Kind::Loss10 | Kind::OneWayCuts => 2_500,
            Kind::Loss30 => 4_000,
            Kind::StandsStill => 1_500,
            Kind::HalvesThenHeal | Kind::OneAgainstAll => 4_000,
        }
    }
}

#[derive(Debug, Serialize)]
struct Row {
    controllers: u16,
    fault: Kind,
    faults: usize,
    p50_ms: u64,
    p99_ms: u64,
    max_ms: u64,
    bound_ms: u64,
    failed: usize,
    bytes_a_second: u64,
    most_bytes_a_second: u64,
}

struct Outcome {
    times: Vec<u64>,
    passed: bool,
    bytes: Vec<u64>,
}

/// Advances the time of a fleet under load: each controller observes a random call server at regular intervals.
fn run_with_background(sim: &mut Sim, controllers: u16, rng: &mut Pcg64Mcg, duration: Span) {
    let end = sim.now.plus(duration);
    while sim.now < end {
        for observer in 0..controllers {
            let wait = Span::from_millis(u64::from(rng.next_u32() % 40));
            sim.observe(observer, Key(rng.next_u32() % BACKGROUND_SERVERS), wait, false);
        }
        sim.advance(OBSERVATION_INTERVAL);
    }
}

fn run_fault(kind: Kind, controllers: u16, seed: u64) -> Outcome {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let mut sim =
        Sim::new(controllers, seed, Links { duplication: 0.01, ..Links::default() }, &FleetConfig::default());
    run_with_background(&mut sim, controllers, rng, BEFORE);
    let bytes = sim.bytes().iter().map(|bytes| bytes * 1_000_000 / BEFORE.0).collect();
    let observer = (rng.next_u32() % u32::from(controllers)) as u16;
    let mut exempt = None;
    match kind {
        Kind::Nothing => {}
        Kind::Loss10 => sim.links.loss = 0.1,
        Kind::Loss30 => sim.links.loss = 0.3,
        Kind::OneWayCuts => {
            for from in 0..controllers {
                let to = (rng.next_u32() % u32::from(controllers)) as u16;
                sim.links.cut.insert((from, to));
            }
        }
        Kind::StandsStill => {
            let suspended = (observer + 1) % controllers;
            sim.suspend(suspended, LIMIT);
            exempt = Some(suspended);
        }
        Kind::HalvesThenHeal => sim.links.split(controllers / 2, controllers),
        Kind::OneAgainstAll => sim.links.split(1, controllers),
    }
    let partitioned = matches!(kind, Kind::HalvesThenHeal | Kind::OneAgainstAll);
    let mut none_across = true;
    if partitioned {
        sim.observe(observer, SUBJECT, Span::default(), true);
        sim.advance(Span::from_millis(1_000));
        let group = |no: u16| sim.links.groups[usize::from(no)];
        none_across =
            (0..controllers).all(|no| group(no) == group(observer) || sim.view(no, SUBJECT).is_none());
        sim.links.groups.clear();
    }
    let healed = sim.now;
    let times: Vec<Option<Span>> = if partitioned {
        let has_observation = |sim: &Sim, no: u16| sim.view(no, SUBJECT).is_some_and(|s| s.silent);
        let mut times = Vec::new();
        for no in 0..controllers {
            let received = sim.run_until(healed.plus(LIMIT), |sim| has_observation(sim, no));
            times.push(received.then(|| sim.now.since(healed)));
        }
        times
    } else {
        let others = usize::from(controllers) - 1 - usize::from(exempt.is_some());
        let mut times = staleness(&mut sim, observer, SUBJECT, true, LIMIT);
        times.truncate(others);
        times
    };
    let never = LIMIT.0 / 1_000;
    let times: Vec<u64> = times.into_iter().map(|t| t.map_or(never, |t| t.0 / 1_000)).collect();
    let passed = none_across && times.iter().all(|ms| *ms <= kind.bound_ms());
    Outcome { times, passed, bytes }
}

fn row(kind: Kind, controllers: u16, outcomes: &[Outcome]) -> Row {
    let mut times: Vec<u64> = outcomes.iter().flat_map(|o| o.times.iter().copied()).collect();
    times.sort_unstable();
    let percentile =
        |share: f64| times.get((times.len().saturating_sub(1) as f64 * share) as usize).copied().unwrap_or(0);
    let bytes: Vec<u64> = outcomes.iter().flat_map(|o| o.bytes.iter().copied()).collect();
    Row {
        controllers,
        fault: kind,
        faults: outcomes.len(),
        p50_ms: percentile(0.5),
        p99_ms: percentile(0.99),
        max_ms: percentile(1.0),
        bound_ms: kind.bound_ms(),
        failed: outcomes.iter().filter(|o| !o.passed).count(),
        bytes_a_second: bytes.iter().sum::<u64>() / (bytes.len().max(1) as u64),
        most_bytes_a_second: bytes.iter().copied().max().unwrap_or(0),
    }
}

/// Runs all faults; prints and writes a table, writes a chart, and prints how many passed. `true`: none failed.
pub async fn run(options: &Options) -> Result<bool, LabError> {
    if !options.processes.is_empty() {
        let program = sibling_program("lockpoint");
        let (passed, failed) = super::real::run(&program, &options.processes, 20, options.seed).await?;
        println!("{passed} passed, {failed} failed");
        return Ok(failed == 0);
    }
    let mut rows = Vec::new();
    println!("seeds from {}, {} faults for each size", options.seed, options.faults);
    println!(
        "{:>11} {:>17} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9}",
        "controllers", "fault", "faults", "p50 ms", "p99 ms", "max ms", "bound", "failed", "bytes/s", "most"
    );
    for &controllers in &options.controllers {
        for (n, kind) in (0u64..).zip(KINDS) {
            let seeds = (0..options.faults).filter(|fault| fault % KINDS.len() as u64 == n);
            let outcomes: Vec<Outcome> =
                seeds.map(|fault_no| run_fault(kind, controllers.max(2), options.seed + fault_no)).collect();
            let row = row(kind, controllers, &outcomes);
            println!(
                "{:>11} {:>17} {:>6} {:>7} {:>7} {:>7} {:>7} {:>7} {:>9} {:>9}",
                row.controllers,
                format!("{:?}", row.fault),
                row.faults,
                row.p50_ms,
                row.p99_ms,
                row.max_ms,
                row.bound_ms,
                row.failed,
                row.bytes_a_second,
                row.most_bytes_a_second
            );
            rows.push(row);
        }
    }
    std::fs::create_dir_all(&options.out).map_err(|e| LabError::file(&options.out, e))?;
    write_table(&rows, &options.out.join("staleness.csv"))?;
    let file = options.out.join("staleness.svg");
    write_chart(&rows, &options.controllers, &file).map_err(|why| LabError::file(&file, why))?;
    println!("{} holds staleness.csv and staleness.svg", options.out.display());
    let failed: usize = rows.iter().map(|row| row.failed).sum();
    let all: usize = rows.iter().map(|row| row.faults).sum();
    let (cold_passed, cold_failed) =
        super::cold::run(options.seed, options.faults, &options.controllers, &options.out)?;
    println!("{} passed, {} failed", all - failed + cold_passed, failed + cold_failed);
    Ok(failed + cold_failed == 0)
}

fn write_table(rows: &[Row], file: &Path) -> Result<(), LabError> {
    let mut writer = csv::Writer::from_path(file).map_err(|e| LabError::file(file, e))?;
    for row in rows {
        writer.serialize(row).map_err(|e| LabError::file(file, e))?;
    }
    writer.flush().map_err(|e| LabError::file(file, e))
}

/// Draws the 99th percentile for each fault against the size of the fleet.
fn write_chart(rows: &[Row], sizes: &[u16], file: &Path) -> Result<(), String> {
    let message = |error: &dyn std::fmt::Display| error.to_string();
    let root = SVGBackend::new(file, (900, 480)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| message(&e))?;
    let most = rows.iter().map(|row| row.p99_ms).max().unwrap_or(1).max(1) as f64 * 1.1;
    let widest = f64::from(sizes.iter().copied().max().unwrap_or(2).max(2));
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d((1.0..widest * 1.1).log_scale(), 0.0..most)
        .map_err(|e| message(&e))?;
    chart
        .configure_mesh()
        .x_desc("controllers")
        .y_desc("staleness, p99, ms")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .draw()
        .map_err(|e| message(&e))?;
    for (n, kind) in KINDS.into_iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let points = rows.iter().filter(|row| row.fault == kind);
        let points = points.map(|row| (f64::from(row.controllers), row.p99_ms as f64));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| message(&e))?
            .label(format!("{kind:?}"))
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| message(&e))?;
    root.present().map_err(|e| message(&e))
}
