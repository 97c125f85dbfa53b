//! An hour of the laboratory's load on its own clock: what the core holds must not swell with the calls that have ended.
//! Alone in its process, so that no other test's memory counts.

use lockpoint::interface::Span;
use lockpoint_lab::fleet::core_simulation::{CoreSimulation, CoreSimulationConfig};
use lockpoint_lab::processor::ProcessorConfig;

const SEED: u64 = 19;
const SERVERS: u16 = 3;
/// Calls a second that the call servers bear together; a tenth more is asked for.
const BEARS: f64 = 30.0;
/// The first minutes fill what is held for good; what grows after them is counted.
const FILLED: Span = Span::from_millis(600_000);
const HOUR: Span = Span::from_millis(3_600_000);
/// Bytes by which the process may grow from then on.
const MAY_GROW: u64 = 2 << 20;

/// Bytes of memory that this process holds.
fn resident() -> u64 {
    let statm = std::fs::read_to_string("/proc/self/statm").expect("the kernel's count");
    let pages: u64 = statm.split(' ').nth(1).and_then(|n| n.parse().ok()).expect("pages");
    pages * 4_096
}

#[test]
fn an_hour_of_load_at_110_percent_does_not_swell_the_core() {
    println!("seed {SEED}");
    let processor = ProcessorConfig { capacity: BEARS / f64::from(SERVERS), ..ProcessorConfig::default() };
    let mut world = CoreSimulation::new(CoreSimulationConfig {
        controllers: 1,
        servers: SERVERS,
        processor,
        load: 1.1,
        seed: SEED,
        ..CoreSimulationConfig::default()
    });
    world.advance(FILLED);
    let filled = resident();
    world.advance(HOUR.saturating_sub(FILLED));
    let grew = resident().saturating_sub(filled);
    println!(
        "stood {} refused {} grew {grew} bytes from {filled}",
        world.counts.established, world.counts.refused
    );
    // The load was there: an hour of what the call servers bear, less what turning away costs.
    assert!(world.counts.established > (BEARS * 3_600.0 * 0.75) as u64, "stood {}", world.counts.established);
    assert!(world.counts.refused > 1_000, "refused {}", world.counts.refused);
    assert!(grew <= MAY_GROW, "grew {grew} bytes from {filled}");
    assert!(world.pending_calls(0) < 500, "open {}", world.pending_calls(0));
}
