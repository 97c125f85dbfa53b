//! Gossip between controllers in virtual time: the code of `src/fleet`, with links that fail at random by a seed.

use lockpoint::fleet::{FleetConfig, Key};
use lockpoint::interface::Span;
use lockpoint_lab::fleet::sim::{staleness, Links, Sim};
use rstest::rstest;

const SERVER: Key = Key(7);

fn ms(ms: u64) -> Span {
    Span::from_millis(ms)
}

/// Time until an observation reaches each peer over some seeds: 50th and 99th percentile and maximum, in ms.
fn over_seeds(controllers: u16, links: &Links, seeds: u64) -> (u64, u64, u64) {
    let mut took = Vec::new();
    for seed in 0..seeds {
        let mut sim = Sim::new(controllers, seed, links.clone(), &FleetConfig::default());
        sim.pass(ms(3_000));
        for all in staleness(&mut sim, (seed % u64::from(controllers)) as u16, SERVER, true, ms(5_000)) {
            took.push(all.unwrap_or_else(|| panic!("seed {seed}: a peer never receives it")).0 / 1_000);
        }
    }
    took.sort_unstable();
    let at = |share: f64| took[((took.len() - 1) as f64 * share) as usize];
    (at(0.5), at(0.99), at(1.0))
}

/// The bounds of `docs/fleet-limits.md`.
#[rstest]
#[case(8, 0.0, 250, 250)]
#[case(100, 0.0, 250, 250)]
#[case(100, 0.1, 250, 1_500)]
#[case(100, 0.3, 250, 3_000)]
#[case(300, 0.0, 250, 1_500)]
fn an_observation_reaches_all_peers_in_time(
    #[case] controllers: u16,
    #[case] loss: f64,
    #[case] nearly_all: u64,
    #[case] all: u64,
) {
    let links = Links { loss, twice: 0.02, ..Links::default() };
    let (half, most, last) = over_seeds(controllers, &links, 12);
    println!("{controllers} controllers, loss {loss}: p50 {half} p99 {most} max {last} ms, seeds 0 to 11");
    assert!(most <= nearly_all, "p99 {most} ms");
    assert!(last <= all, "max {last} ms");
}

#[test]
fn bytes_per_second_stay_bounded_as_the_fleet_grows() {
    for controllers in [5, 50, 300] {
        let mut sim = Sim::new(controllers, 3, Links::default(), &FleetConfig::default());
        // Ten call servers whose state, as all controllers observe it, changes all the time.
        for step in 0..100u64 {
            for who in 0..controllers {
                let wait = ms((step + u64::from(who)) % 7 * 200);
                sim.observe(who, Key(u32::try_from(step % 10).expect("small")), wait, step % 3 == 0);
            }
            sim.pass(ms(100));
        }
        let most = sim.bytes().into_iter().max().expect("some");
        // Ten seconds at the bound, and the burst of a second that it may begin with.
        assert!(most <= 4_000 * 11, "{controllers}: {most}");
    }
}

#[test]
fn both_sides_of_a_partition_keep_their_observations_and_converge_after_it_heals() {
    for seed in 0..8 {
        let mut sim = Sim::new(20, seed, Links { twice: 0.05, ..Links::default() }, &FleetConfig::default());
        sim.links.groups = (0..20).map(|no| u8::from(no >= 10)).collect();
        sim.pass(ms(2_000));
        sim.observe(3, SERVER, ms(0), true);
        sim.pass(ms(200));
        sim.observe(15, SERVER, ms(10), false);
        sim.pass(ms(1_500));
        let silent = |sim: &Sim, no| sim.view(no, SERVER).map(|s| s.silent);
        assert!((0..10).all(|no| silent(&sim, no) == Some(true)), "seed {seed}");
        assert!((10..20).all(|no| silent(&sim, no) == Some(false)), "seed {seed}");
        sim.links.groups.clear();
        let healed = sim.now;
        let agreed = sim.until(healed.plus(ms(2_500)), |sim| {
            (0..20).all(|no| sim.view(no, SERVER).map(|s| (s.origin, s.silent)) == Some((15, false)))
        });
        assert!(agreed, "seed {seed}");
    }
}

#[test]
fn forwarded_observations_expire_and_never_look_younger() {
    for seed in 0..8 {
        let mut sim = Sim::new(30, seed, Links { twice: 0.1, ..Links::default() }, &FleetConfig::default());
        sim.observe(0, SERVER, ms(0), true);
        sim.pass(ms(60));
        sim.observe(1, SERVER, ms(0), false);
        let observed_at = sim.now;
        for _ in 0..40 {
            sim.pass(ms(100));
            for no in 0..30 {
                let dated = sim.view(no, SERVER).map(|s| s.observed_at).filter(|at| *at > observed_at);
                assert!(dated.is_none(), "seed {seed}: {no} dates it later than it was observed");
            }
        }
        sim.pass(ms(2_000));
        assert!(
            (0..30).all(|no| sim.view(no, SERVER).is_none()),
            "seed {seed}: a stale observation is ignored"
        );
    }
}

#[test]
fn a_suspended_controller_ignores_stale_observations() {
    let mut sim = Sim::new(6, 1, Links::default(), &FleetConfig::default());
    sim.pass(ms(3_000));
    // All links have carried datagrams by now, so that delay is detected.
    for who in 0..6 {
        sim.observe(who, Key(100 + u32::from(who)), ms(0), false);
        sim.pass(ms(2_500));
    }
    sim.stall(5, ms(8_000));
    sim.observe(0, SERVER, ms(0), true);
    sim.pass(ms(7_900));
    assert!(sim.view(5, SERVER).is_none());
    sim.pass(ms(300));
    assert!(sim.view(5, SERVER).is_none(), "eight seconds old: it is ignored");
}

#[rstest]
#[case::fits("me = 1\npeers = [\"127.0.0.1:7001\", \"127.0.0.1:7002\"]", None)]
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
fn fleet_keys_are_validated_and_named_in_errors(#[case] keys: &str, #[case] wrong: Option<&str>) {
    let example = include_str!("../deploy/agent.toml");
    let fleet = format!("[instance.fleet]\nlisten = \"127.0.0.1:7002\"\n{keys}\n\n[instance.limits]");
    let text = example.replacen("[instance.limits]", &fleet, 1);
    let name = keys.bytes().fold(0u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(u32::from(byte)));
    let file = std::env::temp_dir().join(format!("lockpoint-fleet-{}-{name}.toml", std::process::id()));
    std::fs::write(&file, text).expect("written");
    let read = lockpoint::config::from_file(&file);
    std::fs::remove_file(&file).expect("removed");
    match wrong {
        None => assert!(read.is_ok_and(|c| c.instances[0].core.fleet.as_ref().is_some_and(|f| f.me == 1))),
        Some(why) => {
            let said = read.err().map(|error| error.to_string()).unwrap_or_default();
            assert!(said.contains(why), "{said}");
        }
    }
}
