//! Tests of `fleet::warnings`.

use super::*;

const S: ServerId = ServerId { address: 4, port: 0 };

fn at(ms: u64) -> Time {
    Time(1_000_000 + ms * 1_000)
}

#[test]
fn a_peers_report_applies_until_the_local_directory_lists_the_call_server() {
    let mut warnings = Warnings::default();
    assert_eq!(
        warnings.record_peer_listing(at(5), S, ServerState::Draining, at(4)),
        WarningChange::Unchanged,
        "the local directory does not list the call server"
    );
    warnings.record_own_listing(at(10), S);
    assert_eq!(
        warnings.record_peer_listing(at(20), S, ServerState::Draining, at(9)),
        WarningChange::Unchanged,
        "the local directory's entry is newer"
    );
    assert_eq!(
        warnings.record_peer_listing(at(30), S, ServerState::Gone, at(25)),
        WarningChange::Raised(at(10_030))
    );
    assert!(warnings.is_active(S));
    warnings.record_own_listing(at(40), S);
    assert!(!warnings.is_active(S));
    assert_eq!(warnings.check_expiry(at(10_030), S), None);
}

#[test]
fn an_unconfirmed_warning_expires_and_a_repeated_report_extends_it() {
    let mut warnings = Warnings::default();
    warnings.record_own_listing(at(0), S);
    warnings.record_peer_listing(at(100), S, ServerState::Draining, at(90));
    assert_eq!(
        warnings.record_peer_listing(at(4_100), S, ServerState::Draining, at(4_000)),
        WarningChange::Unchanged
    );
    assert_eq!(warnings.check_expiry(at(10_100), S), Some(WarningExpiry::ActiveUntil(at(14_100))));
    assert_eq!(warnings.check_expiry(at(14_100), S), Some(WarningExpiry::Expired));
    assert!(!warnings.is_active(S));
}

#[test]
fn only_a_newer_ready_report_withdraws_the_warning() {
    let mut warnings = Warnings::default();
    warnings.record_own_listing(at(0), S);
    warnings.record_peer_listing(at(100), S, ServerState::Draining, at(90));
    assert_eq!(
        warnings.record_peer_listing(at(110), S, ServerState::Ready, at(80)),
        WarningChange::Unchanged
    );
    assert!(warnings.is_active(S));
    assert_eq!(
        warnings.record_peer_listing(at(120), S, ServerState::Ready, at(115)),
        WarningChange::Withdrawn
    );
    assert!(!warnings.is_active(S));
}
