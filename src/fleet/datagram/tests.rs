//! Tests of `fleet::datagram`.

use proptest::prelude::*;

use super::*;

fn bodies() -> impl Strategy<Value = Body> {
    let item = (any::<u32>(), any::<u16>(), any::<u32>());
    let item =
        item.prop_map(|(key, permits, echo)| CreditItem { key: Key(key), permits: Permits(permits), echo });
    let credit = proptest::collection::vec(item, 0..=MAX_CREDIT_ITEMS).prop_map(Body::Credit);
    prop_oneof![items().prop_map(Body::Observations), credit]
}

fn items() -> impl Strategy<Value = Vec<ObservationItem>> {
    let item = (any::<u32>(), proptest::option::of(0..SILENT), any::<u16>(), any::<u16>(), any::<u16>());
    let item = item.prop_map(|(key, wait, age, origin, version)| ObservationItem {
        key: Key(key),
        wait: Span::from_millis(u64::from(wait.unwrap_or(0))),
        age: Span::from_millis(u64::from(age)),
        origin,
        version,
        silent: wait.is_none(),
    });
    proptest::collection::vec(item, 0..=MAX_OBSERVATIONS)
}

proptest! {
    #[test]
    fn encoded_datagrams_fit_the_length_limit_and_round_trip(body in bodies(), incarnation: u32, sequence: u32, sent_ms: u32, is_request: bool) {
        let header = Header { incarnation, sequence, sent_ms, is_request };
        let bytes = encode(header, &body);
        prop_assert!(bytes.len() <= 256);
        prop_assert_eq!(decode(&bytes), Ok((header, body)));
    }

    #[test]
    fn arbitrary_bytes_are_decoded_or_rejected_without_panicking(bytes in proptest::collection::vec(any::<u8>(), 0..300)) {
        if let Ok((header, body)) = decode(&bytes) {
            prop_assert!(encode(header, &body).len() <= bytes.len());
        }
    }
}

#[test]
fn unknown_versions_and_truncated_datagrams_are_rejected_with_an_error() {
    let header = Header { incarnation: 1, sequence: 2, sent_ms: 3, is_request: false };
    let mut bytes = encode(header, &Body::Observations(Vec::new()));
    assert_eq!(
        decode(&bytes[..13]).unwrap_err().to_string(),
        "datagram of 13 bytes, expected 14 for 0 items"
    );
    bytes[0] = 3;
    assert_eq!(decode(&bytes), Err(DatagramError::Version(3)));
}

/// Guards against a change of the wire format: controllers of different releases exchange datagrams during an upgrade.
#[test]
fn the_wire_format_matches_earlier_releases() {
    let header = Header { incarnation: 0x0102_0304, sequence: 5, sent_ms: 0x0a0b_0c0d, is_request: true };
    let observation = ObservationItem {
        key: Key(0x1122_3344),
        wait: Span::from_millis(300),
        silent: false,
        age: Span::from_millis(20),
        origin: 7,
        version: 9,
    };
    let silent = ObservationItem { wait: Span::default(), silent: true, ..observation };
    let header_fields = [1, 2, 3, 4, 0, 0, 0, 5, 0x0a, 0x0b, 0x0c, 0x0d];
    let observations = [
        [0x11, 0x22, 0x33, 0x44, 0x01, 0x2c, 0, 20, 0, 7, 0, 9],
        [0x11, 0x22, 0x33, 0x44, 0xff, 0xff, 0, 20, 0, 7, 0, 9],
    ];
    let expected = [&[1, 0x82][..], &header_fields, observations.as_flattened()].concat();
    assert_eq!(encode(header, &Body::Observations(vec![observation, silent])), expected);
    let credit = CreditItem { key: Key(0x1122_3344), permits: Permits(0x0123), echo: 0x5566_7788 };
    let credit_fields = [0x11, 0x22, 0x33, 0x44, 0x01, 0x23, 0x55, 0x66, 0x77, 0x88];
    let expected = [&[2, 0x01][..], &header_fields, &credit_fields].concat();
    let header = Header { is_request: false, ..header };
    assert_eq!(encode(header, &Body::Credit(vec![credit])), expected);
}
