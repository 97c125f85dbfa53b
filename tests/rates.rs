//! The estimate of what call servers usually accept per line, from which permits for cold call servers are bounded.

use lockpoint::interface::{Span, Time};
use lockpoint::rates::CapacityRate;
use rstest::rstest;

const SPAN: Span = Span::from_millis(10_000);

/// Accepts 20 set-ups a second for 10 s, from `from_s` on, while these lines are in service.
fn accept(rate: &mut CapacityRate, from_s: u64, in_service: &[Option<f64>]) {
    for n in 0..200 {
        rate.record_accept(Time(from_s * 1_000_000 + n * 50_000), in_service, Some(SPAN));
    }
}

/// Guards against cold call servers that are sent twice their share because half of the capacity has left meanwhile: what
/// was accepted before counts by the lines in service at that time.
#[test]
fn accepts_from_before_half_of_the_capacity_left_do_not_count_for_the_rest_alone() {
    let mut rate = CapacityRate::new(SPAN);
    rate.set_mean_lines(100.0);
    accept(&mut rate, 0, &[Some(100.0), Some(100.0)]);
    let before = rate.rate(Some(100.0)).expect("measured");
    assert!((9.9..=10.1).contains(&before), "{before}");
    // A single set-up right after one of them has left.
    rate.record_accept(Time(10_000_000), &[Some(100.0)], Some(SPAN));
    let after = rate.rate(Some(100.0)).expect("measured");
    assert!(after < before * 1.05, "{after} after {before}");
}

/// Guards against a rate per call server that is taken for one per line once the first call server reports its lines.
#[rstest]
#[case::reported(Some(300.0), 300.0)]
#[case::not_reported(None, 200.0)]
fn the_rate_is_measured_anew_when_lines_are_reported_for_the_first_time(
    #[case] lines: Option<f64>,
    #[case] counted: f64,
) {
    let mut rate = CapacityRate::new(SPAN);
    accept(&mut rate, 0, &[None, None]);
    assert!(rate.rate(lines).is_some());
    rate.set_mean_lines(200.0);
    assert_eq!(rate.rate(lines), None);
    accept(&mut rate, 10, &[Some(100.0), Some(300.0)]);
    let measured = rate.rate(lines).expect("measured");
    let expected = 20.0 / 400.0 * counted;
    assert!((measured - expected).abs() < expected * 0.01, "{measured}, expected {expected}");
}
