//! Checks the load of the whole fleet on a cold call server: within the overload window, all controllers together may send
//! it at most N + 2 sqrt(N) + 2 set-ups, N being the number that the settings allow at that time. Scenarios with skewed
//! traffic, late lists, restarts of controllers, rerouted calls and redials are generated from a seed.

pub mod scenario;
pub mod simulation;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use clap::Args;

use crate::under_test::LabError;
use scenario::Scenario;
use simulation::{simulate, RunOutcome};

/// What to simulate.
#[derive(Debug, Args)]
pub struct Options {
    /// The first seed; each run uses the next one.
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Runs for each size of the fleet.
    #[arg(long, default_value_t = 1_000)]
    pub seeds: u64,
    /// Sizes of the fleet.
    #[arg(long, value_delimiter = ',', default_values_t = [2, 20, 30, 300])]
    pub controllers: Vec<u16>,
    /// Print each run and its scenario.
    #[arg(long)]
    pub verbose: bool,
}

/// A completed run.
#[derive(Debug, Clone)]
pub struct SeedRun {
    /// The simulated scenario.
    pub scenario: Scenario,
    /// The result.
    pub outcome: RunOutcome,
}

impl SeedRun {
    /// Whether the controllers that had been notified of the call server's start kept the bound.
    pub fn passed(&self) -> bool {
        self.outcome.notified.ratio <= 1.0
    }

    /// One line with the highest ratio and the seed that reproduces it.
    pub fn line(&self) -> String {
        let RunOutcome { notified, all, to_cold, calls, established } = self.outcome;
        format!(
            "controllers {} seed {}: {:.3} of the bound ({} set-ups, N {:.1}, {:.1} s after the start; \
             with those not told {:.3}); {to_cold} to cold ones, {established} of {calls} stood",
            self.scenario.weights.len(),
            self.scenario.seed,
            notified.ratio,
            notified.sent,
            notified.budget,
            notified.age.secs(),
            all.ratio,
        )
    }
}

/// Runs `seeds` consecutive seeds, starting with `first`, on all processor cores.
pub fn run_seeds(controllers: u16, first: u64, seeds: u64) -> Vec<SeedRun> {
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let no = next.fetch_add(1, Ordering::Relaxed);
                if no >= seeds {
                    return;
                }
                let scenario = Scenario::draw(controllers, first + no);
                let outcome = simulate(&scenario);
                if let Ok(mut done) = done.lock() {
                    done.push(SeedRun { scenario, outcome });
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|run| run.scenario.seed);
    done
}

/// Runs all seeds and prints the highest ratio for each size. `true`: all runs passed.
pub fn run(options: &Options) -> Result<bool, LabError> {
    println!(
        "{:>11} {:>6} {:>7} {:>7} {:>7} {:>8} {:>7}",
        "controllers", "seeds", "p50", "p99", "worst", "of seed", "failed"
    );
    let (mut passed, mut failed) = (0, 0);
    for &controllers in &options.controllers {
        let mut runs = run_seeds(controllers.max(1), options.seed, options.seeds);
        runs.sort_by(|a, b| a.outcome.notified.ratio.total_cmp(&b.outcome.notified.ratio));
        let Some(worst) = runs.last() else { continue };
        let percentile = |share: f64| runs[((runs.len() - 1) as f64 * share) as usize].outcome.notified.ratio;
        let exceeded = runs.iter().filter(|run| !run.passed()).count();
        println!(
            "{controllers:>11} {:>6} {:>7.3} {:>7.3} {:>7.3} {:>8} {exceeded:>7}",
            runs.len(),
            percentile(0.5),
            percentile(0.99),
            worst.outcome.notified.ratio,
            worst.scenario.seed
        );
        for run in runs.iter().filter(|run| options.verbose || !run.passed()) {
            println!("  {}", run.line());
            if options.verbose {
                println!("    {:?}", Scenario { weights: Vec::new(), ..run.scenario.clone() });
            }
        }
        passed += runs.len() - exceeded;
        failed += exceeded;
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
