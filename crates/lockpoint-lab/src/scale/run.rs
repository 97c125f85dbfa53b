//! A scale run: first the memory of each fleet size, one at a time; then all faults for all sizes, several in parallel.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Mutex;
use std::time::{Duration, Instant};

use lockpoint::interface::Span;
use rustix::time::{clock_gettime, ClockId};

use super::bounds::Check;
use super::chart::write_svg;
use super::control_plane::MakeControlPlane;
use super::options::Options;
use super::propagation::{Delays, Propagation};
use super::real::measure_real;
use super::report::{markdown, verdict, write_csv, CentralServers, Mode, PropagationResult, Row};
use super::scenario::{script, Fault, Fleet};
use super::services;
use super::simulation::{Simulation, SimulationConfig};
use super::topology::Topology;
use super::traffic::{MeanMax, Traffic};
use crate::under_test::{resource_usage, sibling_program, LabError};

/// Time from the last start to the memory measurement: all controllers have their lists by then.
const MEMORY_AFTER: Span = Span::from_millis(1_000);

/// One simulation to run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Job {
    controllers: u16,
    fault: Fault,
}

/// Processor time of this thread.
fn thread_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(u64::try_from(time.tv_sec).unwrap_or(0), u32::try_from(time.tv_nsec).unwrap_or(0))
}

/// Configuration of the simulation of a fleet of this size.
pub fn simulation_config(
    options: &Options,
    controllers: u16,
    make_control_plane: Option<MakeControlPlane>,
) -> SimulationConfig {
    let servers = options.servers_for(controllers);
    SimulationConfig {
        controllers,
        remote: 0,
        servers,
        services: services::draw(options.services_for(controllers), servers, options.seed),
        start_window: options.start_window(),
        topology: Topology { regions: options.regions, zones: options.zones },
        calls_per_controller: options.calls_for(controllers),
        seed: options.seed,
        make_control_plane,
    }
}

fn merge_delays<'a>(propagations: impl Iterator<Item = &'a Propagation>) -> PropagationResult {
    let mut delays = Delays::default();
    propagations.for_each(|propagation| delays.merge(propagation.delays()));
    if delays.is_empty() {
        PropagationResult::NotMeasured
    } else {
        PropagationResult::Measured(delays)
    }
}

/// Runs one size with one fault and measures it.
pub fn measure(
    options: &Options,
    controllers: u16,
    fault: Fault,
    make_control_plane: Option<MakeControlPlane>,
) -> Row {
    let config = simulation_config(options, controllers, make_control_plane);
    let has_sources = config.make_control_plane.is_some();
    let fleet = Fleet {
        controllers,
        servers: config.servers,
        topology: config.topology,
        has_sources,
        start_window: config.start_window,
    };
    let seconds = options.seconds_for(controllers);
    let measured = Span::from_secs(seconds);
    let mut simulation = Simulation::new(config);
    for (offset, action) in script(fault, fleet, measured, options.seed) {
        simulation.act_at(simulation.began().plus(offset), action);
    }
    simulation.run_until(simulation.began().plus(fleet.warm_up()));
    let start = Snapshot::take(&simulation);
    let end = simulation.now.plus(measured);
    simulation.run_until(end);
    start.row(&simulation, fault, seconds, has_sources)
}

/// Counters at the start of the measurement.
struct Snapshot {
    traffic: Vec<Traffic>,
    control_time: Vec<Duration>,
    directory_bytes: Vec<u64>,
    call_time: Duration,
    calls: u64,
    members_known: Option<(usize, f64)>,
    thread_time: Duration,
    began: Instant,
}

impl Snapshot {
    fn take(simulation: &Simulation) -> Snapshot {
        Snapshot {
            traffic: simulation.traffic.clone(),
            control_time: simulation.control_time(),
            directory_bytes: simulation.directories.bytes_out.clone(),
            call_time: simulation.call_time(),
            calls: simulation.calls.0,
            members_known: simulation.members_known(),
            thread_time: thread_time(),
            began: Instant::now(),
        }
    }

    /// Share of the elapsed time in which this thread ran on a processor: other programs use the machine too.
    fn processor_share(&self) -> f64 {
        let passed = self.began.elapsed().as_secs_f64().max(1e-9);
        ((thread_time() - self.thread_time).as_secs_f64() / passed).min(1.0)
    }

    fn row(&self, simulation: &Simulation, fault: Fault, seconds: f64, has_sources: bool) -> Row {
        let controllers = usize::from(simulation.controllers());
        let processor_share = self.processor_share();
        let since: Vec<Traffic> =
            simulation.traffic.iter().zip(&self.traffic).map(|(n, e)| n.since(e)).collect();
        let rate = |value: fn(&Traffic) -> u64| {
            MeanMax::of(since.iter().take(controllers).map(|traffic| value(traffic) as f64 / seconds))
        };
        let control = simulation.control_time();
        let shares = control.iter().zip(&self.control_time);
        let shares = shares.map(|(now, earlier)| (*now - *earlier).as_secs_f64() * processor_share / seconds);
        let tracked = &simulation.tracked;
        let change = match has_sources {
            true => merge_delays(tracked.changes.values()),
            false => PropagationResult::NoMechanism,
        };
        let directory = simulation.directories.bytes_out.iter().zip(&self.directory_bytes);
        let directory = directory.map(|(now, earlier)| (now - earlier) as f64 / seconds);
        let sources = since.iter().skip(controllers).map(|traffic| traffic.bytes_out as f64 / seconds);
        Row {
            mode: Mode::Simulated,
            controllers: simulation.controllers(),
            real: 0,
            fault,
            seconds,
            call_rate: simulation.call_rate(),
            datagrams_out: rate(|traffic| traffic.datagrams_out),
            datagrams_in: rate(|traffic| traffic.datagrams_in),
            bytes_out: rate(|traffic| traffic.bytes_out),
            bytes_in: rate(|traffic| traffic.bytes_in),
            bytes: rate(|traffic| traffic.bytes_out + traffic.bytes_in),
            core_share: MeanMax::of(shares),
            call_micros: simulation.call_time().saturating_sub(self.call_time).as_secs_f64()
                * processor_share
                * 1e6
                / (simulation.calls.0 - self.calls).max(1) as f64,
            memory_kib: None,
            entries: simulation.max_entries_held(),
            members_known: self.members_known,
            drain: merge_delays(tracked.drains.values()),
            death: merge_delays(tracked.deaths.values()),
            change,
            replacement: merge_delays(tracked.replacements.values()),
            false_suspicions: simulation.false_suspicions,
            from_unknown_senders: simulation.from_unknown_senders,
            cold_set_ups: simulation.servers.cold.set_ups,
            cold_budget: simulation.servers.cold.max_budget_share,
            cold_failed: simulation.servers.cold.failed_servers,
            calls: simulation.calls,
            central_servers: CentralServers {
                connections: simulation.directories.max_connections,
                bytes_per_second: directory.chain(sources).fold(0.0, f64::max),
                entries: has_sources.then(|| simulation.source_entries_held()),
            },
        }
    }
}

/// Memory per controller of a fleet that has just started, in KiB, from the growth of this process since its start. Sizes
/// are measured in ascending order, so that memory released by an earlier one does not hide the growth.
fn memory_kib(options: &Options, controllers: u16, before: u64, make: Option<MakeControlPlane>) -> f64 {
    let mut simulation = Simulation::new(simulation_config(options, controllers, make));
    simulation.run_until(simulation.began().plus(options.start_window()).plus(MEMORY_AFTER));
    let grown = resource_usage(std::process::id()).memory.saturating_sub(before);
    grown as f64 / 1_024.0 / f64::from(controllers)
}

/// Runs the jobs on several threads, the largest first; returns the rows in the order of the jobs.
fn run_jobs(options: &Options, jobs: &[Job], make: &Option<MakeControlPlane>) -> Vec<Row> {
    let mut order: Vec<usize> = (0..jobs.len()).collect();
    order.sort_by_key(|number| std::cmp::Reverse(jobs[*number].controllers));
    let (next, done) = (AtomicUsize::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..options.threads.clamp(1, 3) {
            scope.spawn(|| loop {
                let Some(&number) = order.get(next.fetch_add(1, Ordering::Relaxed)) else { return };
                let Job { controllers, fault } = jobs[number];
                let began = Instant::now();
                let row = measure(options, controllers, fault, make.clone());
                let took = began.elapsed().as_secs_f64();
                // Printed at once, so that an interrupted run leaves its results.
                println!("{} took {took:.1} s", row.line());
                if let Ok(mut done) = done.lock() {
                    done.push((number, row));
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|(number, _)| *number);
    done.into_iter().map(|(_, row)| row).collect()
}

/// Runs all requested measurements and writes a table and a chart. `true`: no check failed.
pub async fn run(options: &Options) -> Result<bool, LabError> {
    options.check()?;
    let make = options.control_plane.make();
    std::fs::create_dir_all(&options.out).map_err(|e| LabError::file(&options.out, e))?;
    let mut sizes = options.all_sizes();
    sizes.sort_unstable();
    let before = resource_usage(std::process::id()).memory;
    let memory: Vec<f64> =
        sizes.iter().map(|size| memory_kib(options, *size, before, make.clone())).collect();
    let jobs: Vec<Job> = sizes
        .iter()
        .flat_map(|&controllers| options.faults.iter().map(move |&fault| Job { controllers, fault }))
        .collect();
    let mut rows = run_jobs(options, &jobs, &make);
    for row in &mut rows {
        let size = sizes.iter().position(|size| *size == row.controllers);
        row.memory_kib = size.filter(|_| row.fault == Fault::None).map(|at| memory[at]);
    }
    if options.real > 0 {
        println!("{} real controllers beside {} simulated ones", options.real, options.beside_real);
        rows.push(measure_real(options, &sibling_program("lockpoint")).await?);
    }
    write_results(options, &rows)
}

fn write_results(options: &Options, rows: &[Row]) -> Result<bool, LabError> {
    let plane = options.control_plane.name();
    let title = format!("Scale run, seed {}, control plane: {plane}", options.seed);
    let table = markdown(rows, &title);
    print!("{table}");
    let file = options.out.join("scale.md");
    std::fs::write(&file, table).map_err(|e| LabError::file(&file, e))?;
    write_csv(rows, &options.out.join("scale.csv"))?;
    write_svg(rows, &options.out.join("scale.svg"))?;
    println!("{} holds scale.csv, scale.md and scale.svg", options.out.display());
    let (passed, failed) = verdict(rows, |_: Check| true);
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
