//! Tests of `fleet::credit_transfer`.

use super::*;

const KEY: Key = Key(3);

fn at(ms: u64) -> Time {
    Time(5_000_000_000 + ms * 1_000)
}

#[test]
fn a_grant_expires_at_a_fixed_time_after_the_request() {
    let mut transfer = CreditTransfer::default();
    let grant = CreditItem { key: KEY, permits: Permits(100), echo: timestamp_ms(at(0)) };
    let granted = [CreditMessage::Granted { key: KEY, permits: Permits(100) }];
    assert_eq!(transfer.receive_grant(at(40), 1, &[grant]), granted);
    assert_eq!(transfer.receive_grant(at(149), 1, &[grant]), granted);
    assert_eq!(transfer.receive_grant(at(150), 1, &[grant]), []);
    // The grant echoes a request that this incarnation never sent, or the clock was set back.
    let later = CreditItem { echo: timestamp_ms(at(9_000)), ..grant };
    assert_eq!(transfer.receive_grant(at(200), 1, &[later]), []);
    assert_eq!(transfer.counts.too_late, 200);
}

#[test]
fn the_last_lender_is_asked_first_and_an_expired_shortfall_is_not_requested() {
    let mut transfer = CreditTransfer::default();
    transfer.request(at(0), KEY, Permits(200));
    let request = transfer.take_request(at(0), 9, || 4).expect("a request");
    assert_eq!(request.recipients, [4], "no peer is asked twice");
    let grant = CreditItem { key: KEY, permits: Permits(100), echo: timestamp_ms(at(0)) };
    transfer.receive_grant(at(10), 7, &[grant]);
    transfer.request(at(20), KEY, Permits(200));
    let request = transfer.take_request(at(20), 9, || 4);
    assert_eq!(request.map(|request| request.recipients), Some(vec![7, 4]));
    transfer.request(at(30), KEY, Permits(200));
    assert_eq!(transfer.take_request(at(30 + 150), 9, || 4), None);
    assert_eq!(transfer.urgency(), None);
}

#[test]
fn credit_is_granted_only_to_peers_that_requested_it() {
    let mut transfer = CreditTransfer::default();
    transfer.grant(2, KEY, Permits(100));
    assert_eq!(transfer.urgency(), None);
    transfer.receive_request(2, 77, &[CreditItem { key: KEY, permits: Permits(256), echo: 0 }]);
    transfer.grant(2, KEY, Permits(100));
    assert_eq!(transfer.urgency(), Some(Urgency::Immediate));
    let grants: Vec<_> = transfer.take_grants().collect();
    assert_eq!(
        grants,
        [CreditGrant { to: 2, items: vec![CreditItem { key: KEY, permits: Permits(100), echo: 77 }] }]
    );
    transfer.grant(2, KEY, Permits(2));
    assert_eq!(transfer.urgency(), None, "too small for a datagram");
}
