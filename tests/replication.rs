//! Replicas in simulated time, on links that lose, duplicate, delay and partition datagrams by a seed.

mod replication_support;

use std::collections::BTreeMap;

use lockpoint::interface::Span;
use lockpoint::replication::message::{cluster_tag, Message};
use lockpoint::replication::{Event, ProposeError, Stamp, MAX_DATAGRAM, TOMBSTONE_RETENTION};
use proptest::prelude::*;
use replication_support::{config, secs, Links, Net, CLUSTER, REFUSED_VALUE};
use rstest::rstest;

/// Starts `sources` sources and `others` other replicas, and runs until all are members with equal state.
fn settled(seed: u64, sources: usize, others: usize, links: Links) -> Net {
    let mut net = Net::new(seed, sources, links);
    (0..sources + others).for_each(|no| net.start(no, 1));
    net.run(secs(12));
    net.run_until(secs(60), "all are members with equal state", |net| net.all_joined() && net.agrees());
    net.take_all_events();
    net
}

/// After any partition has healed, and despite lost, duplicated and reordered datagrams, all replicas hold the same
/// entries: for each key the change with the highest stamp.
#[rstest]
fn replicas_converge_to_the_highest_stamps(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 26..(block + 1) * 26 {
        converge(seed);
    }
}

fn converge(seed: u64) {
    let mut net = Net::new(seed, 0, Links::default());
    let sources = 2 + net.random_below(5);
    let others = 3 + net.random_below(25 - sources);
    let loss = net.random_below(25) as f64 / 100.0;
    let links = Links { loss, duplicated: 0.05, delay_ms: (1, 1 + net.random_below(100) as u64) };
    let mut net = settled(seed, sources, others, links);
    let mut expected: BTreeMap<String, (Stamp, Option<Vec<u8>>)> = BTreeMap::new();
    let cut = net.random_below(3) > 0;
    if cut {
        (0..net.len()).for_each(|no| net.groups[no] = (no % 2) as u8);
    }
    for step in 0..30 {
        let source = net.random_below(sources);
        let key = format!("all/key-{}", net.random_below(8));
        let value = (net.random_below(5) > 0).then(|| format!("{step} by {source}").into_bytes());
        net.propose(source, &key, value.as_deref());
        let stamp = net.replica(source).stamp(&key).expect("the source holds the key");
        let highest = expected.entry(key).or_insert((stamp, value.clone()));
        if stamp > highest.0 {
            *highest = (stamp, value);
        }
        let pause = net.random_below(800) as u64;
        net.run(Span::from_millis(pause));
    }
    net.heal();
    net.run_until(secs(60), "all replicas have equal state after the partition heals", Net::agrees);
    for (key, (stamp, value)) in &expected {
        for no in 0..net.len() {
            assert_eq!(net.replica(no).stamp(key), Some(*stamp), "seed {seed}, replica {no}, {key}");
            assert_eq!(net.replica(no).value(key), value.as_deref(), "seed {seed}, replica {no}, {key}");
        }
    }
}

#[test]
fn concurrent_changes_are_reported_as_a_conflict_everywhere_and_sequential_changes_are_not() {
    let mut net = settled(7, 2, 6, Links::default());
    let conflicts = |net: &mut Net, no: usize| {
        let events = net.replica_mut(no).take_events();
        events.into_iter().filter(|event| matches!(event, Event::Conflict { .. })).collect::<Vec<_>>()
    };
    // Sequential changes by different sources are not a conflict.
    net.propose(0, "all/quiet", Some(b"1"));
    net.run(secs(3));
    net.propose(1, "all/quiet", Some(b"2"));
    net.propose(1, "all/quiet", Some(b"3"));
    net.run(secs(3));
    (0..net.len()).for_each(|no| assert_eq!(conflicts(&mut net, no), [], "replica {no}"));
    net.groups = (0..net.len()).map(|no| (no % 2) as u8).collect();
    net.propose(0, "all/x", Some(b"left"));
    net.run(secs(2));
    net.propose(1, "all/x", Some(b"right"));
    net.run(secs(2));
    let (left, right) = (net.replica(0).stamp("all/x"), net.replica(1).stamp("all/x"));
    net.heal();
    net.run_until(secs(20), "all replicas have equal state", Net::agrees);
    net.run(secs(2));
    let expected = Event::Conflict {
        key: "all/x".to_string(),
        winner: right.expect("source 1 holds the key"),
        loser: left.expect("source 0 holds the key"),
    };
    for no in 0..net.len() {
        assert_eq!(conflicts(&mut net, no).as_slice(), std::slice::from_ref(&expected), "replica {no}");
        assert_eq!(net.replica(no).value("all/x"), Some(&b"right"[..]), "replica {no}");
        let kept = net.replica(no).conflicts().next().expect("the conflict is recorded");
        assert_eq!(kept.lost_value.as_deref(), Some(&b"left"[..]));
    }
}

#[test]
fn an_invalid_change_keeps_the_previous_value_in_force_and_the_acknowledgement_names_the_rejecting_members() {
    let mut net = settled(3, 2, 6, Links::default());
    // Members 4 and 5 reject the value; they have different home sources.
    net.refuse(4);
    net.refuse(5);
    let first = net.propose(0, "all/y", Some(b"good"));
    net.run(secs(4));
    let progress = net.replica(0).acknowledgement(first);
    assert!(progress.is_everywhere(), "{progress:?}");
    let second = net.propose(0, "all/y", Some(REFUSED_VALUE));
    assert!(!net.replica(0).acknowledgement(second).is_everywhere());
    net.run(secs(5));
    assert_eq!(net.replica(4).value("all/y"), Some(&b"good"[..]));
    assert_eq!(net.replica(3).value("all/y"), Some(REFUSED_VALUE));
    assert!(net.agrees(), "the invalid change is held and forwarded like any other");
    for source in [0, 1] {
        let progress = net.replica(source).acknowledgement(second);
        assert_eq!((progress.missing, progress.rejecting), (0, 2), "source {source}: {progress:?}");
        assert_eq!(progress.rejecting_names.len(), 2, "source {source}: {progress:?}");
        assert!(progress.rejecting_names.iter().all(|name| ["n4", "n5"].contains(&name.as_str())));
    }
    let events = net.replica_mut(4).take_events();
    assert!(events.iter().any(|event| matches!(event, Event::Rejected { key, .. } if key == "all/y")));
    // A later valid change is in force everywhere.
    let third = net.propose(1, "all/y", Some(b"better"));
    net.run(secs(5));
    assert!(net.replica(0).acknowledgement(third).is_everywhere());
    assert_eq!(net.replica(4).value("all/y"), Some(&b"better"[..]));
    // A source does not accept a value that is invalid for itself.
    net.refuse(0);
    let now = net.now;
    let refused = net.replica_mut(0).propose(now, "all/y", Some(REFUSED_VALUE));
    assert!(matches!(refused, Err(ProposeError::Invalid(_))), "{refused:?}");
    let member = net.replica_mut(4).propose(now, "all/y", Some(b"x"));
    assert_eq!(member, Err(ProposeError::NotASource));
}

#[test]
fn a_change_is_not_acknowledged_while_a_member_is_missing_it() {
    let mut net = settled(11, 2, 6, Links::default());
    net.groups[5] = 1;
    let dot = net.propose(0, "all/z", Some(b"1"));
    net.run(secs(5));
    for source in [0, 1] {
        let progress = net.replica(source).acknowledgement(dot);
        assert_eq!(progress.missing, 1, "source {source}: {progress:?}");
        assert_eq!(progress.missing_names, ["n5"], "source {source}");
    }
    net.heal();
    net.run(secs(6));
    (0..2).for_each(|source| assert!(net.replica(source).acknowledgement(dot).is_everywhere()));
}

#[test]
fn a_replica_too_far_behind_pulls_a_snapshot() {
    let mut net = settled(5, 2, 4, Links { loss: 0.05, ..Links::default() });
    net.groups[3] = 1;
    for step in 0..900 {
        net.propose(step % 2, &format!("all/key-{}", step % 300), Some(format!("value {step}").as_bytes()));
        net.run(Span::from_millis(50));
    }
    let before = net.replica(3).counts().snapshots;
    net.heal();
    net.run_until(secs(60), "the partitioned replica has equal state", Net::agrees);
    assert!(net.replica(3).counts().snapshots > before, "replica 3 caught up without a snapshot");
    net.run_until(secs(60), "replica 3 is a member again", Net::all_joined);
}

#[test]
fn a_source_that_lost_its_state_recovers_it_and_continues() {
    for seed in 0..10 {
        let mut net = settled(seed, 3, 6, Links { loss: 0.1, ..Links::default() });
        for step in 0..20 {
            net.propose(0, &format!("all/key-{step}"), Some(b"before"));
        }
        // The last change reaches only one member before the source stops.
        net.groups[0] = 1;
        net.groups[3] = 1;
        net.propose(0, "all/last", Some(b"only there"));
        net.run_until(secs(60), "replica 3 has the change", |net| net.replica(3).value("all/last").is_some());
        net.stop(0);
        net.heal();
        net.run(secs(2));
        net.start(0, 2);
        let now = net.now;
        let early = net.replica_mut(0).propose(now, "all/early", Some(b"x"));
        assert_eq!(early, Err(ProposeError::NotCaughtUp), "seed {seed}");
        net.run_until(secs(9), "the source has caught up", |net| net.replica(0).is_caught_up());
        net.propose(0, "all/key-3", Some(b"after"));
        net.run_until(secs(30), "all replicas have equal state and are members", |net| {
            net.agrees() && net.all_joined()
        });
        for no in 0..net.len() {
            assert_eq!(net.replica(no).value("all/key-3"), Some(&b"after"[..]), "seed {seed}, {no}");
            assert_eq!(net.replica(no).value("all/last"), Some(&b"only there"[..]), "seed {seed}, {no}");
        }
    }
}

#[test]
fn sources_that_all_lost_their_state_recover_it_from_the_members() {
    let mut net = settled(23, 2, 5, Links::default());
    net.propose(1, "all/kept", Some(b"1"));
    net.run(secs(3));
    (0..2).for_each(|no| net.stop(no));
    net.run(secs(1));
    (0..2).for_each(|no| net.start(no, 2));
    net.run_until(secs(60), "all replicas have equal state and are members", |net| {
        net.agrees() && net.all_joined()
    });
    (0..net.len()).for_each(|no| assert_eq!(net.replica(no).value("all/kept"), Some(&b"1"[..]), "{no}"));
}

#[test]
fn a_replica_isolated_for_longer_than_the_tombstone_retention_resurrects_no_deleted_key() {
    let mut net = settled(2, 2, 4, Links::default());
    net.propose(0, "all/deleted", Some(b"1"));
    net.propose(0, "all/stays", Some(b"1"));
    net.run(secs(3));
    net.pause(4);
    net.propose(1, "all/deleted", None);
    net.run(secs(3));
    // The other replicas run on for the retention time; clock jumps replace simulating a whole day.
    net.jump(Span(TOMBSTONE_RETENTION.0 / 2));
    net.run(secs(62));
    net.jump(Span(TOMBSTONE_RETENTION.0 / 2));
    net.run(secs(62));
    assert_eq!(net.replica(0).stamp("all/deleted"), None, "the tombstone has expired");
    net.resume(4);
    net.run_until(secs(60), "all replicas have equal state and are members", |net| {
        net.agrees() && net.all_joined()
    });
    for no in 0..net.len() {
        assert_eq!(net.replica(no).stamp("all/deleted"), None, "replica {no}");
        assert_eq!(net.replica(no).value("all/stays"), Some(&b"1"[..]), "replica {no}");
    }
}

#[test]
fn a_replacement_takes_over_the_name_and_the_replaced_process_stops_taking_part() {
    let mut net = settled(4, 2, 5, Links::default());
    net.start_as(7, "n4", 2);
    net.run(secs(14));
    for no in [0, 1, 2, 3, 5, 6, 7] {
        let member = net.replica(no).members().find(|member| &*member.name == "n4").expect("n4 is a member");
        assert_eq!((member.record.incarnation, member.record.address), (2, net.address(7)), "replica {no}");
    }
    assert!(net.replica_mut(4).take_events().contains(&Event::Replaced));
    // A process restarted at the same address with its clock set back can still join.
    net.stop(7);
    net.start_as(7, "n4", 1);
    net.run_until(secs(20), "replica 7 is a member again", |net| net.replica(7).is_member());
    assert!(net.replica(7).incarnation() > 2);
}

#[rstest]
#[case(10)]
#[case(80)]
fn members_that_leave_or_die_are_removed_in_a_time_independent_of_the_cluster_size(#[case] others: usize) {
    let mut net = settled(6, 3, others, Links::default());
    let (leaving, dying) = (4, 5);
    net.leave(leaving);
    net.run(secs(2));
    let knows = |net: &Net, no: usize, name: &str| net.replica(no).members().any(|m| &*m.name == name);
    let alive: Vec<usize> = (0..net.len()).filter(|no| *no != leaving && *no != dying).collect();
    alive.iter().for_each(|no| assert!(!knows(&net, *no, "n4"), "replica {no} of {others}"));
    net.stop(dying);
    net.run(secs(7));
    alive
        .iter()
        .for_each(|no| assert!(knows(&net, *no, "n5"), "removed too early at replica {no} of {others}"));
    // 8.5 heartbeat intervals of silence, one interval between two checks, and two seconds to spread.
    net.run(Span::from_millis(4_500));
    alive.iter().for_each(|no| assert!(!knows(&net, *no, "n5"), "replica {no} of {others}"));
}

#[test]
fn members_of_a_dead_home_source_find_another_home_and_the_dead_source_is_removed() {
    let mut net = settled(8, 3, 9, Links::default());
    net.stop(0);
    net.run(secs(25));
    for no in 1..net.len() {
        assert!(net.replica(no).is_member(), "replica {no}");
        let names: Vec<&str> = net.replica(no).members().map(|member| &*member.name).collect();
        assert_eq!(names.len(), net.len() - 1, "replica {no}: {names:?}");
        assert!(!names.contains(&"n0"), "replica {no}");
    }
    let dot = net.propose(1, "all/after", Some(b"1"));
    net.run(secs(4));
    assert!(net.replica(2).acknowledgement(dot).is_everywhere(), "{:?}", net.replica(2).acknowledgement(dot));
}

#[test]
fn live_members_are_never_removed() {
    let mut net = settled(9, 3, 21, Links { loss: 0.1, duplicated: 0.02, ..Links::default() });
    for minute in 0..3 {
        net.run(secs(60));
        for no in 0..net.len() {
            let events = net.replica_mut(no).take_events();
            let left = events.iter().find(|event| matches!(event, Event::MemberLeft { .. } | Event::Removed));
            assert_eq!(left, None, "minute {minute}, replica {no}");
        }
    }
    // A source that was paused removes nobody when it resumes, and rejoins if it was itself removed.
    net.pause(0);
    net.run(secs(30));
    net.take_all_events();
    net.resume(0);
    net.run(secs(20));
    for no in 0..net.len() {
        let events = net.replica_mut(no).take_events();
        // The resumed source learns here that it was removed itself.
        let own = format!("n{no}");
        let left = events.iter().find(|event| matches!(event, Event::MemberLeft { name } if *name != own));
        assert_eq!(left, None, "replica {no} after the pause");
        assert_eq!(net.replica(no).members().count(), net.len(), "replica {no}");
    }
}

#[test]
fn a_removed_member_notices_it_and_rejoins() {
    let mut net = settled(10, 2, 6, Links::default());
    net.groups[4] = 1;
    net.run(secs(12));
    assert!(!net.replica(0).members().any(|member| &*member.name == "n4"));
    net.heal();
    net.run_until(secs(20), "all replicas know all members", |net| {
        (0..net.len()).all(|no| net.replica(no).members().count() == net.len())
    });
    assert!(net.replica(4).is_member());
}

#[test]
fn bytes_sent_stay_within_the_budget_and_messages_per_change_grow_logarithmically() {
    let mut per_change = Vec::new();
    for others in [7, 37, 147] {
        let mut net = settled(12, 3, others, Links::default());
        net.run(secs(10));
        let total =
            |net: &Net| (0..net.len()).map(|no| net.replica(no).counts().changes_received).sum::<u64>();
        let before = total(&net);
        for step in 0..20 {
            net.propose(step % 3, &format!("all/key-{step}"), Some(b"true"));
            net.run(Span::from_millis(500));
        }
        net.run(secs(3));
        assert!(net.agrees());
        let received = (total(&net) - before) as f64 / 20.0 / net.len() as f64;
        println!("{} replicas: each received a change {received:.1} times", net.len());
        per_change.push(received);
    }
    // 10, 40 and 150 members: 15 times as many, and log(150) / log(10) is 2.2.
    assert!(per_change[2] <= per_change[0] * 2.2, "{per_change:?}");
    // Under a flood of changes each replica stays within its byte budget, over any second and over ten seconds.
    let mut net = settled(13, 3, 17, Links::default());
    let sent = |net: &Net| -> Vec<u64> {
        let counts = (0..net.len()).map(|no| net.replica(no).counts());
        counts.map(|counts| counts.sent_bytes - counts.snapshot_bytes).collect()
    };
    let begin = sent(&net);
    for second in 0..10 {
        let before = sent(&net);
        for step in 0..50 {
            net.propose(step % 3, &format!("all/key-{second}-{step}"), Some(&[7; 200]));
            net.run(Span::from_millis(20));
        }
        let most = sent(&net).iter().zip(before).map(|(after, before)| after - before).max();
        assert!(most <= Some(2 * 8_000), "second {second}: {most:?}");
    }
    let most = sent(&net).iter().zip(begin).map(|(after, before)| after - before).max();
    assert!(most <= Some(11 * 8_000), "{most:?}");
    net.run_until(secs(60), "all replicas have equal state after the flood", Net::agrees);
}

#[test]
fn datagrams_of_unknown_senders_or_other_clusters_and_malformed_ones_are_refused_and_counted() {
    let mut net = settled(14, 2, 2, Links::default());
    let now = net.now;
    let (member, unknown) = (net.address(2), net.address(60));
    let heartbeat_of = |cluster: &str| {
        let body = lockpoint::replication::message::HeartbeatAck { incarnation: 1 };
        Message::HeartbeatAck(body).encode(cluster_tag(cluster))
    };
    let before = net.replica(0).counts();
    let replica = net.replica_mut(0);
    let refused =
        |result: Result<(), lockpoint::replication::MessageError>| result.expect_err("refused").to_string();
    assert_eq!(
        refused(replica.receive(now, member, &heartbeat_of("other"))),
        "datagram belongs to another cluster"
    );
    let why = refused(replica.receive(now, unknown, &heartbeat_of(CLUSTER)));
    assert_eq!(why, format!("sender {unknown} is neither a member nor a seed"));
    assert_eq!(
        refused(replica.receive(now, member, &[0x10])),
        "datagram of 1 bytes is shorter than its header"
    );
    assert_eq!(
        refused(replica.receive(now, member, &[0x11; 40])),
        "unsupported protocol version 0x11, expected 0x10"
    );
    assert_eq!(
        refused(replica.receive(now, member, &[0; 1_201])),
        "datagram of 1201 bytes exceeds the limit of 1200 bytes"
    );
    let mut implausible = vec![0x10, 9];
    implausible.extend(cluster_tag(CLUSTER).to_be_bytes());
    implausible.extend([0x94, 0x91, 0x93, 0x07, 0xce, 0xff, 0xff, 0xff, 0xff, 0x01, 0x00, 0xc3, 0xc2]);
    let why = refused(replica.receive(now, member, &implausible));
    assert_eq!(why, "digest: version vector: epoch 4294967295 or number 1 of source 7 is too high");
    let after = net.replica(0).counts();
    assert_eq!((after.dropped - before.dropped, after.malformed - before.malformed), (2, 4));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Arbitrary datagrams cause neither a panic nor a datagram longer than the limit.
    #[test]
    fn random_and_damaged_datagrams_are_tolerated(
        kind in 0u8..14,
        body in prop::collection::vec(any::<u8>(), 0..1_300),
        place in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let mut net = Net::new(1, 2, Links::default());
        (0..3).for_each(|no| net.start(no, 1));
        net.run(secs(1));
        let now = net.now;
        let from = net.address(1);
        let mut bytes = vec![0x10, kind];
        bytes.extend(cluster_tag(CLUSTER).to_be_bytes());
        bytes.extend(&body);
        let _ = net.replica_mut(0).receive(now, from, &bytes);
        let _ = net.replica_mut(0).receive(now, from, &body);
        for mut datagram in net.sent_samples() {
            let at = place.index(datagram.len());
            datagram[at] ^= 1 << bit;
            let _ = net.replica_mut(0).receive(now, from, &datagram);
            datagram.truncate(at);
            let _ = net.replica_mut(0).receive(now, from, &datagram);
        }
        net.run(secs(1));
        prop_assert!(net.longest_datagram() <= MAX_DATAGRAM);
    }
}

#[test]
fn runs_with_the_same_seed_are_identical() {
    let run = || {
        let mut net = settled(21, 2, 5, Links { loss: 0.1, ..Links::default() });
        net.propose(0, "all/a", Some(b"1"));
        net.run(secs(5));
        (0..net.len()).map(|no| net.replica(no).counts()).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
    assert_eq!(config(0, 1, 2).fanout, 3);
}
