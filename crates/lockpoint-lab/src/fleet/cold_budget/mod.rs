//! Holds the whole fleet against a cold call server's budget: whatever all controllers together send it within the
//! settings' time stays under N + 2 x root of N + 2, N being what the settings allow it then. Skewed traffic, late
//! lists, restarts of controllers, diverted calls and repeats, all drawn from a seed.

pub mod play;
pub mod scenario;

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Mutex;

use clap::Args;

use crate::under_test::LabError;
use play::{play, RunOutcome};
use scenario::Scenario;

/// What to play.
#[derive(Debug, Args)]
pub struct Options {
    /// The first seed; each run has one of its own.
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

/// A run that was played.
#[derive(Debug, Clone)]
pub struct Played {
    /// What it was made of.
    pub scenario: Scenario,
    /// What it brought.
    pub outcome: RunOutcome,
}

impl Played {
    /// Whether the bound was kept by the controllers that had been told of the start.
    pub fn passed(&self) -> bool {
        self.outcome.told.ratio <= 1.0
    }

    /// One line: the worst ratio and the seed that gives it again.
    pub fn line(&self) -> String {
        let RunOutcome { told, all, to_cold, asked, stood } = self.outcome;
        format!(
            "controllers {} seed {}: {:.3} of the bound ({} set-ups, N {:.1}, {:.1} s after the start; \
             with those not told {:.3}); {to_cold} to cold ones, {stood} of {asked} stood",
            self.scenario.weights.len(),
            self.scenario.seed,
            told.ratio,
            told.sent,
            told.budget,
            told.age.secs(),
            all.ratio,
        )
    }
}

/// Plays so many seeds from the first on, on all cores.
pub fn play_seeds(controllers: u16, first: u64, seeds: u64) -> Vec<Played> {
    let (next, done) = (AtomicU64::new(0), Mutex::new(Vec::new()));
    std::thread::scope(|scope| {
        for _ in 0..std::thread::available_parallelism().map_or(1, usize::from) {
            scope.spawn(|| loop {
                let no = next.fetch_add(1, Ordering::Relaxed);
                if no >= seeds {
                    return;
                }
                let scenario = Scenario::draw(controllers, first + no);
                let outcome = play(&scenario);
                if let Ok(mut done) = done.lock() {
                    done.push(Played { scenario, outcome });
                }
            });
        }
    });
    let mut done = done.into_inner().unwrap_or_default();
    done.sort_by_key(|played| played.scenario.seed);
    done
}

/// Plays all and prints the worst of each size; whether all passed.
pub fn run(options: &Options) -> Result<bool, LabError> {
    println!(
        "{:>11} {:>6} {:>7} {:>7} {:>7} {:>8} {:>7}",
        "controllers", "seeds", "p50", "p99", "worst", "of seed", "failed"
    );
    let (mut passed, mut failed) = (0, 0);
    for &controllers in &options.controllers {
        let mut runs = play_seeds(controllers.max(1), options.seed, options.seeds);
        runs.sort_by(|a, b| a.outcome.told.ratio.total_cmp(&b.outcome.told.ratio));
        let Some(worst) = runs.last() else { continue };
        let at = |share: f64| runs[((runs.len() - 1) as f64 * share) as usize].outcome.told.ratio;
        let broken = runs.iter().filter(|played| !played.passed()).count();
        println!(
            "{controllers:>11} {:>6} {:>7.3} {:>7.3} {:>7.3} {:>8} {broken:>7}",
            runs.len(),
            at(0.5),
            at(0.99),
            worst.outcome.told.ratio,
            worst.scenario.seed
        );
        for played in runs.iter().filter(|played| options.verbose || !played.passed()) {
            println!("  {}", played.line());
            if options.verbose {
                println!("    {:?}", Scenario { weights: Vec::new(), ..played.scenario.clone() });
            }
        }
        passed += runs.len() - broken;
        failed += broken;
    }
    println!("{passed} passed, {failed} failed");
    Ok(failed == 0)
}
