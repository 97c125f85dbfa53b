//! Tests of the gossip protocol in `src/fleet`, in virtual time and over simulated links with seeded random faults.

use lockpoint::fleet::{FleetConfig, Key};
use lockpoint::interface::Span;
use lockpoint_lab::fleet::sim::{staleness, Links, Sim};
use rstest::rstest;

const SERVER: Key = Key(7);

fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

/// Propagation time of an observation to each peer, over several seeds: 50th and 99th percentile and maximum, in ms.
fn propagation_times(controllers: u16, links: &Links, seeds: u64) -> (u64, u64, u64) {
    let mut times = Vec::new();
    for seed in 0..seeds {
        let mut sim = Sim::new(controllers, seed, links.clone(), &FleetConfig::default());
        sim.advance(ms(3_000));
        for time in staleness(&mut sim, (seed % u64::from(controllers)) as u16, SERVER, true, ms(5_000)) {
            times.push(time.unwrap_or_else(|| panic!("seed {seed}: a peer never receives it")).0 / 1_000);
        }
    }
    times.sort_unstable();
    let percentile = |share: f64| times[((times.len() - 1) as f64 * share) as usize];
    (percentile(0.5), percentile(0.99), percentile(1.0))
}

/// Checks the bounds stated in `docs/fleet-limits.md`.
#[rstest]
#[case(8, 0.0, 250, 250)]
#[case(100, 0.0, 250, 250)]
#[case(100, 0.1, 250, 1_500)]
#[case(100, 0.3, 250, 3_000)]
#[case(300, 0.0, 250, 1_500)]
fn an_observation_reaches_all_peers_within_the_bounds(
    #[case] controllers: u16,
    #[case] loss: f64,
    #[case] p99_bound_ms: u64,
    #[case] max_bound_ms: u64,
) {
    let links = Links { loss, duplication: 0.02, ..Links::default() };
    let (p50, p99, max) = propagation_times(controllers, &links, 12);
    println!("{controllers} controllers, loss {loss}: p50 {p50} p99 {p99} max {max} ms, seeds 0 to 11");
    assert!(p99 <= p99_bound_ms, "p99 {p99} ms");
    assert!(max <= max_bound_ms, "max {max} ms");
}

#[test]
fn bytes_per_second_stay_bounded_as_the_fleet_grows() {
    for controllers in [5, 50, 300] {
        let mut sim = Sim::new(controllers, 3, Links::default(), &FleetConfig::default());
        // All controllers observe continuous changes of ten call servers.
        for step in 0..100u64 {
            for controller in 0..controllers {
                let wait = ms((step + u64::from(controller)) % 7 * 200);
                sim.observe(controller, Key(u32::try_from(step % 10).expect("small")), wait, step % 3 == 0);
            }
            sim.advance(ms(100));
        }
        let max = sim.bytes().into_iter().max().expect("at least one controller");
        // Ten seconds at the limit, and an initial burst of one second's worth.
        assert!(max <= 4_000 * 11, "{controllers} controllers: {max} bytes");
    }
}

#[test]
fn both_sides_of_a_partition_keep_their_observations_and_converge_after_it_heals() {
    for seed in 0..8 {
        let mut sim =
            Sim::new(20, seed, Links { duplication: 0.05, ..Links::default() }, &FleetConfig::default());
        sim.links.groups = (0..20).map(|no| u8::from(no >= 10)).collect();
        sim.advance(ms(2_000));
        sim.observe(3, SERVER, ms(0), true);
        sim.advance(ms(200));
        sim.observe(15, SERVER, ms(10), false);
        sim.advance(ms(1_500));
        let silent = |sim: &Sim, no| sim.view(no, SERVER).map(|s| s.silent);
        assert!((0..10).all(|no| silent(&sim, no) == Some(true)), "seed {seed}");
        assert!((10..20).all(|no| silent(&sim, no) == Some(false)), "seed {seed}");
        sim.links.groups.clear();
        let healed = sim.now;
        let agreed = sim.run_until(healed.plus(ms(2_500)), |sim| {
            (0..20).all(|no| sim.view(no, SERVER).map(|s| (s.origin, s.silent)) == Some((15, false)))
        });
        assert!(agreed, "seed {seed}");
    }
}

#[test]
fn forwarded_observations_expire_and_never_appear_younger_than_they_are() {
    for seed in 0..8 {
        let mut sim =
            Sim::new(30, seed, Links { duplication: 0.1, ..Links::default() }, &FleetConfig::default());
        sim.observe(0, SERVER, ms(0), true);
        sim.advance(ms(60));
        sim.observe(1, SERVER, ms(0), false);
        let observed_at = sim.now;
        for _ in 0..40 {
            sim.advance(ms(100));
            for no in 0..30 {
                let dated = sim.view(no, SERVER).map(|s| s.observed_at).filter(|at| *at > observed_at);
                assert!(dated.is_none(), "seed {seed}: controller {no} dates it later than it was observed");
            }
        }
        sim.advance(ms(2_000));
        assert!(
            (0..30).all(|no| sim.view(no, SERVER).is_none()),
            "seed {seed}: a stale observation is still in use"
        );
    }
}

#[test]
fn a_suspended_controller_ignores_stale_observations() {
    let mut sim = Sim::new(6, 1, Links::default(), &FleetConfig::default());
    sim.advance(ms(3_000));
    // Every link has to carry datagrams first, so that delay is detected.
    for controller in 0..6 {
        sim.observe(controller, Key(100 + u32::from(controller)), ms(0), false);
        sim.advance(ms(2_500));
    }
    sim.suspend(5, ms(8_000));
    sim.observe(0, SERVER, ms(0), true);
    sim.advance(ms(7_900));
    assert!(sim.view(5, SERVER).is_none());
    sim.advance(ms(300));
    assert!(sim.view(5, SERVER).is_none(), "an observation that is 8 s old was accepted");
}

#[rstest]
#[case::valid("me = 1\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]", None)]
#[case::keys_of_earlier_releases(
    "me = 1\nbytes_a_second = 600\nstale_ms = 2000\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    None
)]
#[case::old_and_new_key(
    "me = 1\nmax_age_ms = 2000\nstale_ms = 2000\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("duplicate field `max_age_ms`")
)]
#[case::small_byte_budget(
    "me = 1\nmax_bytes_per_second = 511\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("fleet.max_bytes_per_second': 511 is less than 512")
)]
#[case::index_out_of_range(
    "me = 2\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("fleet.me': 2 is not among the 2 of 'peers'")
)]
#[case::other_port(
    "me = 0\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("fleet.listen': 127.0.0.1:7002 is not where the others send, 127.0.0.1:7001")
)]
#[case::no_fanout(
    "me = 1\nfanout = 0\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("fleet.fanout': at least one recipient is needed")
)]
#[case::small_max_age(
    "me = 1\nmax_age_ms = 5\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("fleet.max_age_ms': 5 ms is less")
)]
#[case::misspelt(
    "me = 1\npeer = []\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]",
    Some("unknown field `peer`")
)]
fn fleet_keys_are_validated_and_named_in_errors(#[case] keys: &str, #[case] expected_error: Option<&str>) {
    let example = include_str!("../deploy/agent.toml");
    let fleet = format!("[instance.fleet]\nlisten = \"127.0.0.1:7002\"\n{keys}\n\n[instance.limits]");
    let text = example.replacen("[instance.limits]", &fleet, 1);
    let hash = keys.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    let file = std::env::temp_dir().join(format!("lockpoint-fleet-{}-{hash}.toml", std::process::id()));
    std::fs::write(&file, text).expect("written");
    let config = lockpoint::config::from_file(&file);
    std::fs::remove_file(&file).expect("removed");
    match expected_error {
        None => assert!(config.is_ok_and(|c| c.instances[0].core.fleet.as_ref().is_some_and(|f| f.me == 1))),
        Some(expected) => {
            let text = config.err().map(|error| error.to_string()).unwrap_or_default();
            assert!(text.contains(expected), "{text}");
        }
    }
}
