//! Tests of `fleet::peer_clock`.

use super::*;

fn header(incarnation: u32, sequence: u32, sent_ms: u32) -> Header {
    Header { incarnation, sequence, sent_ms, is_request: false }
}

fn at(ms: u64) -> Time {
    Time(ms * 1_000)
}

#[test]
fn duplicates_reordered_datagrams_and_those_of_earlier_incarnations_are_dropped() {
    let mut clock = PeerClock::default();
    assert!(clock.receive(at(100), &header(7, 2, 0)).is_some());
    assert_eq!(clock.receive(at(101), &header(7, 2, 0)), None, "a duplicate");
    assert_eq!(clock.receive(at(102), &header(7, 1, 0)), None, "out of order");
    assert_eq!(clock.receive(at(103), &header(6, 9, 0)), None, "of the previous incarnation");
    assert!(clock.receive(at(104), &header(8, 1, 0)).is_some(), "a new incarnation");
    assert_eq!(clock.receive(at(105), &header(7, 3, 0)), None);
    assert_eq!(clock.last_received_at(), at(104));
}

#[test]
fn transit_delay_is_measured_independently_of_the_clock_offset() {
    let mut clock = PeerClock::default();
    // The sender's clock is 4,294,960,000 ms ahead, so that its 32-bit timestamps have wrapped around.
    let sent = |ms: u64| (ms as u32).wrapping_add(4_294_960_000);
    assert_eq!(clock.receive(at(10_020), &header(1, 1, sent(10_000))), Some(Span::default()));
    assert_eq!(clock.receive(at(10_120), &header(1, 2, sent(10_100))), Some(Span::default()));
    assert_eq!(clock.receive(at(10_520), &header(1, 3, sent(10_200))), Some(Span::from_millis(300)));
    assert_eq!(
        clock.receive(at(10_605), &header(1, 4, sent(10_600))),
        Some(Span::default()),
        "the fastest so far"
    );
    assert_eq!(clock.receive(at(10_720), &header(1, 5, sent(10_700))), Some(Span::from_millis(15)));
}

#[test]
fn clock_drift_is_not_mistaken_for_delay() {
    let mut clock = PeerClock::default();
    let mut delay = Span::default();
    // The clocks drift by one second per hour. After an hour only the drift of the last two windows counts.
    for no in 1..=3_600u32 {
        let now = u64::from(no) * 1_000;
        delay = clock.receive(at(now + 20), &header(1, no, (now - now / 3_600) as u32)).expect("in order");
    }
    assert!(delay < Span::from_millis(40), "{delay:?}");
}
