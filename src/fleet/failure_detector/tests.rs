//! Tests of `fleet::failure_detector`.

use super::*;

fn at(ms: u64) -> Time {
    Time(7_000_000_000 + ms * 1_000)
}

#[test]
fn heartbeats_reach_every_peer_and_the_timeout_grows_with_the_fleet() {
    for controllers in [2u16, 6, 17, 40, 300] {
        let mut detector = FailureDetector::new(controllers / 2, controllers, at(0));
        let rounds = usize::from(controllers - 1).div_ceil(usize::from(HEARTBEAT_FANOUT));
        let mut recipients: Vec<u16> = (0..rounds).flat_map(|_| detector.next_recipients()).collect();
        recipients.sort_unstable();
        recipients.dedup();
        let others: Vec<u16> = (0..controllers).filter(|no| *no != controllers / 2).collect();
        assert_eq!(recipients, others, "{controllers}");
        assert_eq!(detector.timeout(), Span(HEARTBEAT_INTERVAL.0 * 4 * rounds as u64));
    }
}

#[test]
fn the_start_and_the_end_of_a_partition_are_reported_once_each() {
    let mut detector = FailureDetector::new(0, 4, at(0));
    let mut reported = Vec::new();
    for ms in (0..20_000u64).step_by(500) {
        for from in 1..4 {
            // Two peers are cut off for 8 s.
            if from == 1 || !(4_000..12_000).contains(&ms) {
                detector.record_contact(at(ms), from);
            }
        }
        reported.extend(detector.check(at(ms)).into_iter().map(|change| (ms, change.to_string())));
    }
    let lines: Vec<&str> = reported.iter().map(|(_, line)| line.as_str()).collect();
    assert_eq!(
        lines,
        [
            "fleet: no heartbeat for 2.0 s from controllers 2, 3; 1 peers alive",
            "fleet: heartbeats received again after up to 8.5 s from controllers 2, 3; 3 peers alive"
        ]
    );
    assert_eq!((reported[0].0, reported[1].0), (5_500, 12_000));
}

#[test]
fn a_suspended_controller_does_not_report_its_peers_as_lost() {
    let mut detector = FailureDetector::new(0, 3, at(0));
    detector.record_contact(at(0), 1);
    detector.record_contact(at(0), 2);
    assert_eq!(detector.check(at(500)), []);
    assert_eq!(detector.check(at(10_500)), [], "the process was just resumed");
    detector.record_contact(at(10_600), 1);
    detector.check(at(11_000));
    detector.check(at(11_600));
    detector.record_contact(at(12_100), 1);
    detector.check(at(12_200));
    let changes = detector.check(at(12_700));
    assert!(matches!(&changes[..], [PeerChange::Lost { peers, .. }] if peers == &[2]), "{changes:?}");
    assert_eq!(detector.counts(), PeerCounts { alive: 1, lost: 1 });
}
