//! Tests of `fleet::observation`.

use super::*;

fn observation(wait_ms: u64, silent: bool, at: u64, origin: u16) -> Observation {
    Observation { wait: Span::from_millis(wait_ms), silent, observed_at: Time(at), origin, version: 0 }
}

#[test]
fn every_change_of_a_listed_state_is_large_enough_to_be_published() {
    for (state, wait) in LISTING_WAITS {
        assert_eq!(decode_listing(encode_listing(state)), Some(state));
        let others = LISTING_WAITS.iter().filter(|(other, _)| *other != state);
        let severity = |wait: Span| observation(wait.0 / 1_000, false, 0, 0).severity();
        assert!(
            others.into_iter().all(|(_, other)| severity(wait).distance(severity(*other)) >= 2),
            "{state:?}"
        );
    }
    assert_ne!(Key::of("s1"), Key::of_listing("s1"));
}

#[test]
fn each_severity_step_doubles_the_wait() {
    let severity = |ms| observation(ms, false, 0, 0).severity();
    assert_eq!(severity(0), severity(49));
    assert_eq!(severity(50).distance(severity(0)), 1);
    assert_eq!(severity(100).distance(severity(50)), 1);
    assert_eq!(severity(1_600).distance(severity(50)), 5);
    assert!(severity(60_000) < Severity::SILENT);
    assert_eq!(observation(0, true, 0, 0).severity(), Severity::SILENT);
}

#[test]
fn the_newer_observation_takes_precedence_and_ties_are_broken_deterministically() {
    assert!(observation(0, false, 2, 9).supersedes(&observation(900, true, 1, 0)));
    let (a, b) = (observation(900, false, 5, 3), observation(10, false, 5, 1));
    assert!(a.supersedes(&b) && !b.supersedes(&a));
    let (c, d) = (observation(10, false, 5, 1), observation(10, false, 5, 2));
    assert!(c.supersedes(&d) && !d.supersedes(&c));
    assert!(!c.supersedes(&c));
}

#[test]
fn versions_order_the_observations_of_one_origin_unless_it_has_restarted() {
    let published = |version: u16, at: u64| Observation { version, ..observation(10, false, at, 4) };
    assert!(
        published(7, 1).supersedes(&published(6, 2)),
        "the version decides, even if the estimated time is wrong"
    );
    assert!(!published(6, 2).supersedes(&published(7, 1)));
    assert!(published(0, 1).supersedes(&published(u16::MAX, 2)));
    assert!(!published(7, 9).supersedes(&published(7, 1)), "a duplicate is not newer");
    assert!(published(0, 9).supersedes(&published(30_000, 1)), "a new incarnation");
}

#[test]
fn the_weight_of_an_observation_decreases_with_its_age() {
    let (observed, max_age) = (observation(10, false, 1_000_000, 0), Span::from_millis(4_000));
    assert_eq!(observed.weight(Time(1_000_000), max_age), 1.0);
    assert_eq!(observed.weight(Time(3_000_000), max_age), 0.5);
    assert_eq!(observed.weight(Time(9_000_000), max_age), 0.0);
}
