//! A few trials of the soak (`lockpoint-lab soak`), one seed each: real controllers under seeded faults keep every rule.

use std::path::Path;

use lockpoint_lab::event_log::on_one_thread;
use lockpoint_lab::soak::run_trial;
use rstest::rstest;

/// Guards against rules that are broken only where several faults meet.
#[rstest]
fn controllers_keep_every_rule_under_the_faults_of_a_seed(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    println!("seed {seed}");
    let program = Path::new(env!("CARGO_BIN_EXE_lockpoint"));
    let out = Path::new(env!("CARGO_TARGET_TMPDIR")).join("soak");
    let verdict = on_one_thread(run_trial(seed, program, &out)).expect("the trial runs");
    let counts = &verdict.counts;
    assert!(verdict.failures.is_empty(), "seed {seed}: {:?}; traces in {}", verdict.failures, out.display());
    assert!(counts.stood > 100 && verdict.starts > 2, "seed {seed}: {counts:?}, {} starts", verdict.starts);
}
