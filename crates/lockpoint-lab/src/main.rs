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
use lockpoint_lab::{bench, demo, relay, scale};

/// Experiments and measurements around lockpoint, on loopback addresses only.
#[derive(Debug, Parser)]
#[command(name = "lockpoint-lab", version)]
struct Cli {
    #[command(subcommand)]
    command: Commands,
}

#[derive(Debug, Subcommand)]
enum Commands {
    /// Run an experiment; leaves a table, a summary and a chart. Exit code 1: a rule was broken.
    Run {
        /// The experiment.
        file: PathBuf,
        /// Where the results go.
        #[arg(long)]
        out: PathBuf,
        /// The program under test; the one beside this one where it is not said.
        #[arg(long)]
        program: Option<PathBuf>,
        /// Another seed than the file's.
        #[arg(long)]
        seed: Option<u64>,
        /// Print a line a second.
        #[arg(long)]
        live: bool,
        /// Write down here all that the stand-ins see.
        #[arg(long)]
        trace: Option<PathBuf>,
    },
    /// Start an agent with an operator's file, put stand-ins around it and place calls on both protocols.
    Demo {
        /// The operator's file; its first instance is called.
        #[arg(long)]
        config: PathBuf,
        /// Where the results go.
        #[arg(long)]
        out: PathBuf,
        /// Seconds at 80% of what the call servers bear, then as many at 120%.
        #[arg(long, default_value_t = 20.0)]
        seconds: f64,
    },
    /// Run the controller and a bare relay in turn: set-ups a second, latency, memory of a call.
    Bench(bench::Options),
    /// Measure how stale fleet-wide verdicts are under seeded faults; ends with `N passed, N failed`.
    FleetLimits(limits::Options),
    /// Hold what the whole fleet sends a cold call server against its budget; ends with `N passed, N failed`.
    ColdBudget(cold_budget::Options),
    /// Measure the control traffic of a large fleet under faults; ends with `N passed, N failed`.
    Scale(scale::Options),
    /// Power losses of real controllers.
    #[command(subcommand)]
    Crash(crash::Crash),
    /// The bare relay that `bench` compares with: two sockets, no decisions.
    #[command(hide = true)]
    Relay(relay::Options),
}

fn main() -> ExitCode {
    let cli = Cli::parse();
    let done = on_one_thread(async {
        match cli.command {
            Commands::Run { file, out, program, seed, live, trace } => {
                let mut experiment = Experiment::from_file(&file)?;
                experiment.seed = seed.unwrap_or(experiment.seed);
                let program = program.unwrap_or_else(|| sibling_program("lockpoint"));
                let trace = trace.map(|file| File::create(&file).map_err(|e| LabError::file(&file, e)));
                let show = OutputOptions { live, trace: trace.transpose()?.map(BufWriter::new) };
                shown(&run(&experiment, &program, show).await?, &out)
            }
            Commands::Demo { config, out, seconds } => shown(&demo::run(&config, seconds).await?, &out),
            Commands::Bench(options) => bench::run(&options).await.map(|()| true),
            Commands::FleetLimits(options) => limits::run(&options).await,
            Commands::ColdBudget(options) => cold_budget::run(&options),
            Commands::Scale(options) => scale::run(&options).await,
            Commands::Crash(crash) => crash::run(&crash).await,
            Commands::Relay(options) => relay::run(&options).await.map(|()| true),
        }
    });
    match done {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("lockpoint-lab: {}", error.to_string().replace('\n', " "));
            ExitCode::from(2)
        }
    }
}

fn shown(outcome: &Outcome, out: &std::path::Path) -> Result<bool, LabError> {
    outcome.write(out)?;
    println!("{}", outcome.summary());
    println!("{} holds seconds.csv, summary.md and chart.svg", out.display());
    Ok(outcome.passed())
}
