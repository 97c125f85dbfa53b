//! The laboratory's command line: see `lockpoint-lab --help`.

#![forbid(unsafe_code)]

use std::fs::File;
use std::io::BufWriter;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lockpoint_lab::event_log::on_one_thread;
use lockpoint_lab::experiment::Experiment;
use lockpoint_lab::fleet::{cold_budget, crash, limits};
use lockpoint_lab::results::Outcome;
use lockpoint_lab::run::{run, OutputOptions};
use lockpoint_lab::under_test::{sibling_program, LabError};
use lockpoint_lab::{bench, demo, relay, scale, soak};

/// Experiments and measurements around lockpoint, on loopback addresses only.
#[derive(Debug, Parser)]
#[command(name = "lockpoint-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Debug, Subcommand)]
enum Commands {
    /// Run an experiment and write a table, a summary and a chart. Exit code 1: a rule was broken.
    Run {
        /// The experiment file.
        file: PathBuf,
        /// The directory for the results.
        #[arg(long)]
        out: PathBuf,
        /// The program under test; by default the `lockpoint` in this program's directory.
        #[arg(long)]
        program: Option<PathBuf>,
        /// A seed that replaces the one in the file.
        #[arg(long)]
        seed: Option<u64>,
        /// Print one line per second.
        #[arg(long)]
        live: bool,
        /// Write all events at the simulated peers to this file.
        #[arg(long)]
        trace: Option<PathBuf>,
    },
    /// Start an agent with an operator's file and simulated peers, and place calls over both protocols.
    Demo {
        /// The operator's file; callers connect to its first instance.
        #[arg(long)]
        config: PathBuf,
        /// The directory for the results.
        #[arg(long)]
        out: PathBuf,
        /// Seconds at 80% of the call servers' capacity, then as many at 120%.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
    },
    /// Compare the controller with a minimal relay: set-ups per second, latency and memory per call.
    Bench(bench::Options),
    /// Measure the staleness of fleet-wide observations under seeded faults; ends with `N passed, N failed`.
    FleetLimits(limits::Options),
    /// Compare the fleet's set-ups to a cold call server with its budget; ends with `N passed, N failed`.
    ColdBudget(cold_budget::Options),
    /// Measure the control traffic of a large fleet under faults; ends with `N passed, N failed`.
    Scale(scale::Options),
    /// Run short trials of real controllers under seeded faults; ends with `N passed, N failed`.
    Soak(soak::Options),
    /// Test the recovery of real controllers from power losses.
    #[command(subcommand)]
    Crash(crash::Crash),
    /// The minimal relay that `bench` compares with: two sockets, no decisions.
    #[command(hide = true)]
    Relay(relay::Options),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let result = on_one_thread(async {
        match cli.command {
            Commands::Run { file, out, program, seed, live, trace } => {
                let mut experiment = Experiment::from_file(&file)?;
                experiment.seed = seed.unwrap_or(experiment.seed);
                let program = program.unwrap_or_else(|| sibling_program("lockpoint"));
                let trace = trace.map(|file| File::create(&file).map_err(|e| LabError::file(&file, e)));
                let output = OutputOptions { live, trace: trace.transpose()?.map(BufWriter::new) };
                write_results(&run(&experiment, &program, output).await?, &out)
            }
            Commands::Demo { config, out, seconds } => {
                write_results(&demo::run(&config, seconds).await?, &out)
            }
            Commands::Bench(options) => bench::run(&options).await.map(|()| true),
            Commands::FleetLimits(options) => limits::run(&options).await,
            Commands::ColdBudget(options) => cold_budget::run(&options),
            Commands::Scale(options) => scale::run(&options).await,
            Commands::Soak(options) => soak::run(&options).await,
            Commands::Crash(crash) => crash::run(&crash).await,
            Commands::Relay(options) => relay::run(&options).await.map(|()| true),
        }
    });
    match result {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lockpoint-lab: {}", error.to_string().replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn write_results(outcome: &Outcome, out: &std::path::Path) -> Result<bool, LabError> {
    outcome.write(out)?;
    println!("{}", outcome.summary());
    println!("{} holds seconds.csv, summary.md and chart.svg", out.display());
    Ok(outcome.passed())
}
