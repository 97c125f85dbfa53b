//! The soak: short, dense trials with a few real controllers under seeded faults, with all rules judged from outside.

mod callers;
mod controller;
mod faults;
mod peers;
pub mod plan;
mod tcp_path;
mod trial;

use std::path::{Path, PathBuf};

use clap::Args;

use crate::under_test::{sibling_program, LabError};
use plan::Plan;
pub use trial::Verdict;

/// The options of the soak.
#[derive(Debug, Clone, Args)]
pub struct Options {
    /// The seed of the first trial; each further one has the next seed.
    #[arg(long)]
    pub seed: u64,
    /// The number of trials.
    #[arg(long)]
    pub runs: u64,
    /// The directory for the traces and logs of trials that fail.
    #[arg(long)]
    pub out: PathBuf,
    /// The program under test; by default the `lockpoint` in this program's directory.
    #[arg(long)]
    pub program: Option<PathBuf>,
}

/// Runs all trials and prints a line for each; the last line is `N passed, N failed`. Returns whether all passed.
pub async fn run(options: &Options) -> Result<bool, LabError> {
    let program = options.program.clone().unwrap_or_else(|| sibling_program("lockpoint"));
    let (mut passed, mut failed) = (0, 0);
    for seed in options.seed..options.seed + options.runs {
        let verdict = run_trial(seed, &program, &options.out).await?;
        let counts = &verdict.counts;
        println!(
            "seed {seed}: {} asked, {} stood, {} refused, {} left, {} attempts, {} starts: {}",
            counts.asked,
            counts.stood,
            counts.refused,
            counts.given_up,
            counts.attempts,
            verdict.starts,
            if verdict.failures.is_empty() { "ok".to_owned() } else { verdict.failures.join("; ") }
        );
        if verdict.failures.is_empty() {
            passed += 1;
        } else {
            failed += 1;
        }
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}

/// Runs the trial of a seed; what it wrote below `out` is kept only if it failed.
pub async fn run_trial(seed: u64, program: &Path, out: &Path) -> Result<Verdict, LabError> {
    let directory = out.join(format!("seed-{seed}"));
    std::fs::create_dir_all(&directory).map_err(|e| LabError::file(&directory, e))?;
    let plan = Plan::new(seed);
    let text = format!("{plan:#?}\n");
    std::fs::write(directory.join("plan.txt"), text).map_err(|e| LabError::file(&directory, e))?;
    let verdict = trial::run(plan, program, &directory).await?;
    if verdict.failures.is_empty() {
        std::fs::remove_dir_all(&directory).map_err(|e| LabError::file(&directory, e))?;
    }
    Ok(verdict)
}
