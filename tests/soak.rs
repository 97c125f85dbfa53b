//! One simulated hour of load: the memory of the core must not grow with the number of ended calls. The test is alone in
//! its process, so that no other test's memory counts.

use lockpoint::interface::Span;
use lockpoint_lab::fleet::core_simulation::{CoreSimulation, CoreSimulationConfig};
use lockpoint_lab::processor::ProcessorConfig;

const SEED: u64 = 19;
const SERVERS: u16 = 3;
/// The capacity of all call servers together, in calls per second; the load is a tenth higher.
const CAPACITY: f64 = 30.0;
/// Memory is compared with its size at this time, when permanent data structures have been filled.
const WARM_UP: Span = Span::from_millis(600_000);
const HOUR: Span = Span::from_millis(3_600_000);
/// The maximum growth of the process after that, in bytes.
const MAX_GROWTH_BYTES: u64 = 2 << 20;

/// The resident memory of this process, in bytes.
fn resident_bytes() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("/proc/self/statm is readable");
    let pages: u64 = statm.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("a number of pages");
    pages * 4_096
}

#[test]
fn memory_does_not_grow_in_an_hour_of_load_at_110_percent() {
    println!("seed {SEED}");
    let processor = ProcessorConfig { capacity: CAPACITY / f64::from(SERVERS), ..ProcessorConfig::default() };
    let mut simulation = CoreSimulation::new(CoreSimulationConfig {
        controllers: 1,
        servers: SERVERS,
        processor,
        load: 1.1,
        seed: SEED,
        ..CoreSimulationConfig::default()
    });
    simulation.advance(WARM_UP);
    let bytes_before = resident_bytes();
    simulation.advance(HOUR.saturating_sub(WARM_UP));
    let growth = resident_bytes().saturating_sub(bytes_before);
    println!(
        "stood {} refused {} grew {growth} bytes from {bytes_before}",
        simulation.counts.established, simulation.counts.refused
    );
    // The load was applied: an hour at the call servers' capacity, less the work of rejections.
    assert!(
        simulation.counts.established > (CAPACITY * 3_600.0 * 0.75) as u64,
        "stood {}",
        simulation.counts.established
    );
    assert!(simulation.counts.refused > 1_000, "refused {}", simulation.counts.refused);
    assert!(growth <= MAX_GROWTH_BYTES, "grew {growth} bytes from {bytes_before}");
    assert!(simulation.pending_calls(0) < 500, "open {}", simulation.pending_calls(0));
}
