//! Measures the share of a cold call server's budget that all controllers together use, with and without credit transfer
//! between them, while links, controllers and directories fail: see `super::core_simulation`.

use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use lockpoint::fleet::{credit_transfer, token_bucket, FleetConfig};
use lockpoint::interface::Span;
use lockpoint::rules::{COLD_PERMIT_LIFETIME, COLD_RATE_FACTOR};
use plotters::prelude::*;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::Serialize;

use super::core_simulation::{CoreSimulation, CoreSimulationConfig, Counts};
use crate::processor::ProcessorConfig;
use crate::under_test::LabError;

/// Regular service first, so that the controllers know the usual rates; then a call server stops, and later starts cold.
const REGULAR_SERVICE: Span = Span::from_millis(12_000);
const DOWNTIME: Span = Span::from_millis(3_000);
/// Simulated time after the start: slightly longer than the warm-up.
const AFTER_START: Span = Span::from_millis(15_000);
/// Capacity of a warm call server, in calls per second.
const CAPACITY: f64 = 30.0;
const SERVERS: u16 = 4;
/// Offered load as a share of the capacity of all call servers; three tenths of it arrive at one controller.
const LOAD: f64 = 0.9;
const FIRST_SHARE: f64 = 0.3;

/// The fault that is injected while the call server is cold.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum Kind {
    Nothing,
    Loss10,
    Loss30,
    Halves,
    OneAgainstAll,
    OneWayCuts,
    OneStandsStill,
    ThirdRestarted,
}

const KINDS: [Kind; 8] = [
    Kind::Nothing,
    Kind::Loss10,
    Kind::Loss30,
    Kind::Halves,
    Kind::OneAgainstAll,
    Kind::OneWayCuts,
    Kind::OneStandsStill,
    Kind::ThirdRestarted,
];

/// Upper bound on the share of the budget used within its window. The refill rate of all controllers together follows
/// from what they usually send; see `lockpoint::fleet::token_bucket::max_consumed_within`.
pub fn bound(shares: bool) -> f64 {
    let model = ProcessorConfig::default();
    let window = Span::from_millis(model.tip_ms);
    let permit_ttl = window.max(Span::from_millis(2_000)).scale(COLD_PERMIT_LIFETIME);
    let transfer_ttl = if shares { credit_transfer::REQUEST_TTL } else { Span::default() };
    let max_consumed = token_bucket::max_consumed_within(
        window,
        LOAD * CAPACITY * COLD_RATE_FACTOR,
        permit_ttl,
        transfer_ttl,
    );
    max_consumed / (model.overload_factor * CAPACITY * window.secs())
}

/// Simulates one run; returns the counters for the time in which the call server is down or cold, and the credit borrowed,
/// in 1/256 of a permit.
fn simulate(kind: Kind, controllers: u16, shares: bool, seed: u64) -> (Counts, u64) {
    let rng = &mut Pcg64Mcg::seed_from_u64(seed);
    let mut fleet = CoreSimulation::new(CoreSimulationConfig {
        controllers,
        servers: SERVERS,
        processor: ProcessorConfig { capacity: CAPACITY, ..ProcessorConfig::default() },
        load: LOAD,
        first_share: FIRST_SHARE,
        fleet: shares.then(FleetConfig::default),
        seed,
        ..CoreSimulationConfig::default()
    });
    fleet.advance(REGULAR_SERVICE);
    let before = fleet.counts;
    fleet.kill_server(0);
    fleet.advance(DOWNTIME);
    let random_controller = |rng: &mut Pcg64Mcg| (rng.next_u32() % u32::from(controllers)) as u16;
    match kind {
        Kind::Nothing | Kind::OneStandsStill | Kind::ThirdRestarted => {}
        Kind::Loss10 => fleet.links.loss = 0.1,
        Kind::Loss30 => fleet.links.loss = 0.3,
        Kind::Halves => fleet.links.split(controllers / 2, controllers),
        Kind::OneAgainstAll => fleet.links.split(1, controllers),
        Kind::OneWayCuts => {
            for from in 0..controllers {
                fleet.links.cut.insert((from, random_controller(rng)));
            }
        }
    }
    fleet.start_server(0);
    match kind {
        Kind::OneStandsStill => {
            fleet.advance(Span::from_millis(500));
            fleet.suspend(random_controller(rng), Span::from_millis(5_000));
        }
        Kind::ThirdRestarted => {
            fleet.advance(Span::from_millis(1_500));
            (0..controllers).filter(|me| me % 3 == 1).for_each(|me| fleet.restart(me));
        }
        _ => {}
    }
    fleet.advance(AFTER_START);
    let borrowed = fleet.credit_counts().borrowed;
    let mut counts = fleet.counts;
    counts.calls -= before.calls;
    counts.established -= before.established;
    counts.in_target -= before.in_target;
    (counts, borrowed)
}

#[derive(Debug, Serialize)]
struct Row {
    controllers: u16,
    fault: Kind,
    shares: bool,
    faults: usize,
    budget_p50: f64,
    budget_p99: f64,
    budget_max: f64,
    bound: f64,
    fell: u64,
    to_cold: f64,
    in_aim: f64,
    late: f64,
    borrowed: f64,
    failed: usize,
}

fn row(kind: Kind, controllers: u16, shares: bool, runs: &[(Counts, u64)]) -> Row {
    let mut budget: Vec<f64> = runs.iter().map(|(counts, _)| counts.max_cold_load).collect();
    budget.sort_by(f64::total_cmp);
    let percentile = |share: f64| budget[((budget.len() - 1) as f64 * share) as usize];
    let mean =
        |value: &dyn Fn(&Counts) -> f64| runs.iter().map(|(t, _)| value(t)).sum::<f64>() / runs.len() as f64;
    let bound = bound(shares);
    // The calculated bound may exceed the budget; the load must stay within both.
    let within_bound = |counts: &Counts| counts.failed_servers == 0 && counts.max_cold_load <= bound.min(1.0);
    let borrowed = runs.iter().map(|(_, units)| *units as f64 / 256.0).sum::<f64>() / runs.len() as f64;
    Row {
        controllers,
        fault: kind,
        shares,
        faults: runs.len(),
        budget_p50: percentile(0.5),
        budget_p99: percentile(0.99),
        budget_max: percentile(1.0),
        bound,
        fell: runs.iter().map(|(counts, _)| counts.failed_servers).sum(),
        to_cold: mean(&|t| t.to_cold as f64),
        in_aim: mean(&|t| t.in_target as f64 / t.calls.max(1) as f64),
        late: mean(&|t| (t.established - t.in_target) as f64 / t.calls.max(1) as f64),
        borrowed,
        failed: runs.iter().filter(|(counts, _)| !within_bound(counts)).count(),
    }
}

/// Runs all faults; returns how many runs passed and failed. Writes a table and a chart to `out`.
pub fn run(seed: u64, faults: u64, sizes: &[u16], out: &Path) -> Result<(usize, usize), LabError> {
    println!("load on a cold call server, with and without credit transfer between the controllers:");
    println!(
        "{:>11} {:>17} {:>6} {:>6} {:>7} {:>7} {:>7} {:>6} {:>4} {:>8} {:>7} {:>6} {:>9} {:>6}",
        "controllers",
        "fault",
        "shares",
        "runs",
        "p50",
        "p99",
        "max",
        "bound",
        "fell",
        "to cold",
        "in aim",
        "late",
        "borrowed",
        "failed"
    );
    let mut jobs = Vec::new();
    for &controllers in sizes {
        for (n, kind) in (0u64..).zip(KINDS) {
            for shares in [false, true] {
                let seeds = (0..faults).filter(|fault| fault % KINDS.len() as u64 == n);
                jobs.extend(seeds.map(|fault| (controllers.max(2), kind, shares, seed + fault)));
            }
        }
    }
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let no = usize::try_from(next.fetch_add(1, Ordering::Relaxed)).unwrap_or(usize::MAX);
                let Some(&(controllers, kind, shares, seed)) = jobs.get(no) else { return };
                let outcome = simulate(kind, controllers, shares, seed);
                if let Ok(mut done) = done.lock() {
                    done.push((no, outcome));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(no, _)| *no);
    let mut rows = Vec::new();
    for group in done.chunk_by(|(a, _), (b, _)| {
        jobs[*a].0 == jobs[*b].0 && jobs[*a].1 == jobs[*b].1 && jobs[*a].2 == jobs[*b].2
    }) {
        let (controllers, kind, shares, _) = jobs[group[0].0];
        let runs: Vec<(Counts, u64)> = group.iter().map(|(_, outcome)| *outcome).collect();
        let row = row(kind, controllers, shares, &runs);
        println!(
            "{:>11} {:>17} {:>6} {:>6} {:>7.3} {:>7.3} {:>7.3} {:>6.3} {:>4} {:>8.1} {:>7.3} {:>6.3} {:>9.1} {:>6}",
            row.controllers,
            format!("{:?}", row.fault),
            if row.shares { "on" } else { "off" },
            row.faults,
            row.budget_p50,
            row.budget_p99,
            row.budget_max,
            row.bound,
            row.fell,
            row.to_cold,
            row.in_aim,
            row.late,
            row.borrowed,
            row.failed
        );
        rows.push(row);
    }
    let file = out.join("cold.csv");
    let mut writer = csv::Writer::from_path(&file).map_err(|e| LabError::file(&file, e))?;
    for row in &rows {
        writer.serialize(row).map_err(|e| LabError::file(&file, e))?;
    }
    writer.flush().map_err(|e| LabError::file(&file, e))?;
    let file = out.join("cold.svg");
    write_chart(&rows, sizes, &file).map_err(|why| LabError::file(&file, why))?;
    println!("{} holds cold.csv and cold.svg", out.display());
    let failed = rows.iter().map(|row| row.failed).sum();
    let all: usize = rows.iter().map(|row| row.faults).sum();
    Ok((all - failed, failed))
}

/// Draws the highest share of the budget used, over all faults, against the size of the fleet: with and without credit
/// transfer.
fn write_chart(rows: &[Row], sizes: &[u16], file: &Path) -> Result<(), String> {
    let message = |error: &dyn std::fmt::Display| error.to_string();
    let root = SVGBackend::new(file, (720, 420)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| message(&e))?;
    let widest = f64::from(sizes.iter().copied().max().unwrap_or(2).max(2));
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .x_label_area_size(36)
        .y_label_area_size(56)
        .build_cartesian_2d((1.0..widest * 1.1).log_scale(), 0.0..1.2)
        .map_err(|e| message(&e))?;
    chart
        .configure_mesh()
        .x_desc("controllers")
        .y_desc("of a cold call server's budget, most")
        .x_label_formatter(&|x| format!("{x:.0}"))
        .draw()
        .map_err(|e| message(&e))?;
    for (n, shares) in [false, true].into_iter().enumerate() {
        let color = Palette99::pick(n).to_rgba();
        let highest = |size: u16| {
            let of_size = rows.iter().filter(|row| row.controllers == size && row.shares == shares);
            of_size.map(|row| row.budget_max).fold(0.0, f64::max)
        };
        let points: Vec<(f64, f64)> = sizes.iter().map(|&size| (f64::from(size), highest(size))).collect();
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| message(&e))?
            .label(if shares { "credit transfer" } else { "each its own" })
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
        let bound = bound(shares);
        chart
            .draw_series(LineSeries::new([(1.0, bound), (widest, bound)], color.stroke_width(1)))
            .map_err(|e| message(&e))?
            .label(if shares { "its bound" } else { "its bound alone" })
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(1)));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .draw()
        .map_err(|e| message(&e))?;
    root.present().map_err(|e| message(&e))
}
