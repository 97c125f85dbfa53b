//! The bounds stated in `docs/CAPACITY.md`, and the checks of a row against them.

use super::report::{PropagationResult, Row};

/// Longest time until an update has reached all controllers.
pub const MAX_PROPAGATION_MS: u64 = 10_000;
/// Limit on the control traffic of a controller, sent and received.
pub const MAX_BYTES_PER_SECOND: f64 = 14_000.0;
/// Limit on the mean share of a processor core used by control traffic.
pub const MAX_CORE_SHARE: f64 = 0.011;
/// Limit on the memory of a controller.
pub const MAX_MEMORY_KIB: f64 = 32.0 * 1_024.0;

/// The checks of a row.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// Bytes per second of the busiest controller.
    Bytes,
    /// A drain reaches all controllers in time.
    Drain,
    /// A death is detected by all controllers in time.
    Death,
    /// A configuration change is in force at all controllers in time.
    Change,
    /// A replacement's datagrams are accepted by all controllers in time.
    Replacement,
    /// No controller suspects one that is running.
    FalseSuspicions,
    /// Cold call servers stay within their budget.
    ColdBudget,
    /// Processor use, averaged over all controllers.
    Processor,
    /// Memory per controller.
    Memory,
}

impl Check {
    /// Whether the result depends on the machine and its load, and so differs between runs with the same seed.
    pub fn depends_on_machine(self) -> bool {
        matches!(self, Check::Processor | Check::Memory)
    }

    /// Name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Check::Bytes => "bytes",
            Check::Drain => "drain",
            Check::Death => "death",
            Check::Change => "change",
            Check::Replacement => "replacement",
            Check::FalseSuspicions => "false suspicions",
            Check::ColdBudget => "cold budget",
            Check::Processor => "processor",
            Check::Memory => "memory",
        }
    }
}

/// The checks that apply to a row, and whether each passed.
pub fn checks(row: &Row) -> Vec<(Check, bool)> {
    let mut checks = vec![
        (Check::Bytes, row.bytes.max <= MAX_BYTES_PER_SECOND),
        (Check::FalseSuspicions, row.false_suspicions == 0),
        (Check::ColdBudget, row.cold_failed == 0 && row.cold_budget <= 1.0),
        (Check::Processor, row.core_share.mean <= MAX_CORE_SHARE),
    ];
    let updates = [
        (Check::Drain, &row.drain),
        (Check::Death, &row.death),
        (Check::Change, &row.change),
        (Check::Replacement, &row.replacement),
    ];
    for (check, known) in updates {
        match known {
            PropagationResult::NotMeasured => {}
            PropagationResult::NoMechanism => checks.push((check, false)),
            PropagationResult::Measured(delays) => {
                let max = delays.percentile_ms(1.0);
                checks.push((check, max.is_some_and(|ms| ms <= MAX_PROPAGATION_MS)));
            }
        }
    }
    if let Some(memory) = row.memory_kib {
        checks.push((Check::Memory, memory <= MAX_MEMORY_KIB));
    }
    checks.sort_unstable();
    checks
}
