//! Tests of `fleet::token_bucket`.

use proptest::prelude::*;

use super::*;

fn at(ms: u64) -> Time {
    Time(1_000_000_000 + ms * 1_000)
}

#[test]
fn lent_credit_moves_from_the_lender_to_the_borrower() {
    let (mut lender, mut other) = (TokenBucket::new(0.0, at(0)), TokenBucket::new(-0.75, at(0)));
    lender.refill(at(1_000), 4.0, 4.0, || 1.0);
    let lent = lender.lend(Permits::from_calls(0.75));
    assert_eq!((lent, lender.available()), (Permits::from_calls(0.75), 3.25));
    other.borrow(lent);
    assert_eq!(other.available(), 0.0, "enough for one call");
    other.consume(1.0);
    assert_eq!(other.available(), -1.0);
}

#[test]
fn a_lender_keeps_its_reserve_and_never_lends_more_than_it_has() {
    let mut bucket = TokenBucket::new(-0.3, at(0));
    assert_eq!(bucket.lend(Permits::from_calls(2.0)), Permits(0));
    bucket.refill(at(1_000), 0.8, 0.8, || 1.0);
    assert_eq!(
        bucket.lend(Permits::from_calls(2.0)),
        Permits::from_calls(0.1),
        "0.5 available, of which 0.4 are reserved"
    );
    bucket.refill(at(9_000), 0.8, 0.8, || 0.1);
    let all: f64 = (0..9).map(|_| bucket.lend(Permits::from_calls(2.0)).as_calls()).sum();
    assert!(all <= 0.4 && bucket.available() >= 0.4, "{all} {bucket:?}");
}

proptest! {
    /// Regardless of the order in which buckets lend, borrow and consume permits, together they never consume more than
    /// was refilled.
    #[test]
    fn permits_are_never_duplicated(steps in proptest::collection::vec((0..4usize, 0..4usize, 0..3u8, 1..60u64), 1..300)) {
        let mut buckets = [TokenBucket::new(0.0, at(0)); 4];
        let (mut now, mut consumed) = (0, 0.0);
        for (one, other, operation, ms) in steps {
            now += ms;
            buckets[one].refill(at(now), 5.0, 5.0, || 0.5);
            match operation {
                0 if buckets[one].available() >= 0.0 => {
                    buckets[one].consume(1.0);
                    consumed += 1.0;
                }
                1 if one != other => {
                    let lent = buckets[one].lend(Permits::from_calls(3.0));
                    // One grant in five is lost in transit.
                    if ms % 5 > 0 {
                        buckets[other].borrow(lent);
                    }
                }
                _ => {}
            }
        }
        let refilled = 4.0 * 5.0 * now as f64 / 1_000.0;
        // A call may be sent with 0 permits available, so each bucket may consume one permit in advance.
        prop_assert!(consumed <= refilled + 4.0, "{consumed} of {refilled}");
    }
}

#[test]
fn the_serialized_form_matches_earlier_releases() {
    let mut bucket = TokenBucket::new(-0.5, at(0));
    bucket.refill(at(1_000), 0.25, 2.0, || 1.0);
    let expected = serde_json::json!({"own": -0.25, "most": 2.0, "at": at(1_000).0});
    assert_eq!(serde_json::to_value(bucket).expect("serializable"), expected);
}
