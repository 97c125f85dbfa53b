//! What the plan of `docs/CAPACITY.md` asks of a row, and whether the row keeps it.

use super::report::{Known, Row};

/// News is to be known everywhere within this, in milliseconds.
pub const KNOWN_WITHIN_MS: u64 = 10_000;
/// Bytes a second of control that a controller sends and receives, together.
pub const BYTES_A_SECOND: f64 = 14_000.0;
/// Share of a core that control takes at a controller.
pub const CORE_SHARE: f64 = 0.011;
/// Memory of a controller, in KiB.
pub const MEMORY_KIB: f64 = 32.0 * 1_024.0;

/// What a check is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Check {
    /// Bytes a second of the busiest controller.
    Bytes,
    /// A drain is known everywhere.
    Drain,
    /// A death is known everywhere.
    Death,
    /// A change of configuration is in force everywhere.
    Change,
    /// A replacement at a new address is heard everywhere.
    Replacement,
    /// Nobody suspects a controller that is there.
    FalseSuspicions,
    /// Cold call servers stay within their budget.
    ColdBudget,
    /// Processor, in the mean of all controllers.
    Processor,
    /// Memory.
    Memory,
}

impl Check {
    /// Whether it depends on the machine and its load: not the same again with the same seed.
    pub fn depends_on_machine(self) -> bool {
        matches!(self, Check::Processor | Check::Memory)
    }

    /// Its name in the table.
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
        (Check::Bytes, row.bytes.max <= BYTES_A_SECOND),
        (Check::FalseSuspicions, row.false_suspicions == 0),
        (Check::ColdBudget, row.cold_fell == 0 && row.cold_budget <= 1.0),
        (Check::Processor, row.core_share.mean <= CORE_SHARE),
    ];
    let news = [
        (Check::Drain, &row.drain),
        (Check::Death, &row.death),
        (Check::Change, &row.change),
        (Check::Replacement, &row.replacement),
    ];
    for (check, known) in news {
        match known {
            Known::NotAsked => {}
            Known::NoMechanism => checks.push((check, false)),
            Known::After(delays) => {
                let max = delays.at_share(1.0);
                checks.push((check, max.is_some_and(|ms| ms <= KNOWN_WITHIN_MS)));
            }
        }
    }
    if let Some(memory) = row.memory_kib {
        checks.push((Check::Memory, memory <= MEMORY_KIB));
    }
    checks.sort_unstable();
    checks
}
