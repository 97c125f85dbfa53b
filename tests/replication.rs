//! Replicas in driven time, on links that lose, repeat, delay and cut by a seed.

mod replication_support;

use std::collections::BTreeMap;

use lockpoint::interface::Span;
use lockpoint::replication::message::{cluster_tag, Message};
use lockpoint::replication::{Event, ProposeError, Stamp, MAX_DATAGRAM, TOMBSTONE_RETENTION};
use proptest::prelude::*;
use replication_support::{config, secs, Links, Net, CLUSTER, REFUSED_VALUE};
use rstest::rstest;

/// A fleet of `sources` and so many more, all of them members that agree.
fn settled(seed: u64, sources: usize, others: usize, links: Links) -> Net {
    let mut net = Net::new(seed, sources, links);
    (0..sources + others).for_each(|no| net.start(no, 1));
    net.run(secs(12));
    net.run_until(secs(60), "all are members and agree", |net| net.all_joined() && net.agrees());
    net.take_all_events();
    net
}

/// After the heal of any cut, whatever was lost, repeated or overtaken, all replicas hold the same, and for each key
/// that is the change with the highest stamp.
#[rstest]
fn replicas_converge(#[values(0, 1, 2, 3, 4, 5, 6, 7)] block: u64) {
    for seed in block * 26..(block + 1) * 26 {
        converge(seed);
    }
}

fn converge(seed: u64) {
    let mut net = Net::new(seed, 0, Links::default());
    let sources = 2 + net.draw(5);
    let others = 3 + net.draw(25 - sources);
    let loss = net.draw(25) as f64 / 100.0;
    let links = Links { loss, twice: 0.05, delay_ms: (1, 1 + net.draw(100) as u64) };
    let mut net = settled(seed, sources, others, links);
    let mut expected: BTreeMap<String, (Stamp, Option<Vec<u8>>)> = BTreeMap::new();
    let cut = net.draw(3) > 0;
    if cut {
        (0..net.len()).for_each(|no| net.groups[no] = (no % 2) as u8);
    }
    for step in 0..30 {
        let source = net.draw(sources);
        let key = format!("all/key-{}", net.draw(8));
        let value = (net.draw(5) > 0).then(|| format!("{step} by {source}").into_bytes());
        net.propose(source, &key, value.as_deref());
        let stamp = net.replica(source).stamp(&key).expect("held");
        let highest = expected.entry(key).or_insert((stamp, value.clone()));
        if stamp > highest.0 {
            *highest = (stamp, value);
        }
        let pause = net.draw(800) as u64;
        net.run(Span::from_millis(pause));
    }
    net.heal();
    net.run_until(secs(60), "all agree after the heal", Net::agrees);
    for (key, (stamp, value)) in &expected {
        for no in 0..net.len() {
            assert_eq!(net.replica(no).stamp(key), Some(*stamp), "seed {seed}, replica {no}, {key}");
            assert_eq!(net.replica(no).value(key), value.as_deref(), "seed {seed}, replica {no}, {key}");
        }
    }
}

#[test]
fn a_conflict_is_reported_on_both_sides_and_only_a_conflict() {
    let mut net = settled(7, 2, 6, Links::default());
    let conflicts = |net: &mut Net, no: usize| {
        let events = net.replica_mut(no).take_events();
        events.into_iter().filter(|event| matches!(event, Event::Conflict { .. })).collect::<Vec<_>>()
    };
    // One after the other, by different sources: no conflict.
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
    net.run_until(secs(20), "all agree", Net::agrees);
    net.run(secs(2));
    let expected = Event::Conflict {
        key: "all/x".to_string(),
        winner: right.expect("held"),
        loser: left.expect("held"),
    };
    for no in 0..net.len() {
        assert_eq!(conflicts(&mut net, no).as_slice(), std::slice::from_ref(&expected), "replica {no}");
        assert_eq!(net.replica(no).value("all/x"), Some(&b"right"[..]), "replica {no}");
        let kept = net.replica(no).conflicts().next().expect("kept");
        assert_eq!(kept.lost_value.as_deref(), Some(&b"left"[..]));
    }
}

#[test]
fn an_invalid_change_leaves_the_earlier_value_in_force_and_the_acknowledgement_names_who_rejects() {
    let mut net = settled(3, 2, 6, Links::default());
    // Members 4 and 5 cannot use the value; one has its home at each source.
    net.refuse(4);
    net.refuse(5);
    let first = net.propose(0, "all/y", Some(b"good"));
    net.run(secs(4));
    let everywhere = net.replica(0).acknowledgement(first);
    assert!(everywhere.is_everywhere(), "{everywhere:?}");
    let second = net.propose(0, "all/y", Some(REFUSED_VALUE));
    assert!(!net.replica(0).acknowledgement(second).is_everywhere());
    net.run(secs(5));
    assert_eq!(net.replica(4).value("all/y"), Some(&b"good"[..]));
    assert_eq!(net.replica(3).value("all/y"), Some(REFUSED_VALUE));
    assert!(net.agrees(), "the invalid change is held and told on like any other");
    for source in [0, 1] {
        let told = net.replica(source).acknowledgement(second);
        assert_eq!((told.missing, told.rejecting), (0, 2), "source {source}: {told:?}");
        assert_eq!(told.rejecting_names.len(), 2, "source {source}: {told:?}");
        assert!(told.rejecting_names.iter().all(|name| ["n4", "n5"].contains(&name.as_str())));
    }
    let events = net.replica_mut(4).take_events();
    assert!(events.iter().any(|event| matches!(event, Event::Rejected { key, .. } if key == "all/y")));
    // A valid one after it is in force everywhere.
    let third = net.propose(1, "all/y", Some(b"better"));
    net.run(secs(5));
    assert!(net.replica(0).acknowledgement(third).is_everywhere());
    assert_eq!(net.replica(4).value("all/y"), Some(&b"better"[..]));
    // What the source itself cannot use is not accepted.
    net.refuse(0);
    let now = net.now;
    let refused = net.replica_mut(0).propose(now, "all/y", Some(REFUSED_VALUE));
    assert!(matches!(refused, Err(ProposeError::Invalid(_))), "{refused:?}");
    let member = net.replica_mut(4).propose(now, "all/y", Some(b"x"));
    assert_eq!(member, Err(ProposeError::NotASource));
}

#[test]
fn a_change_is_not_acknowledged_while_a_member_lacks_it() {
    let mut net = settled(11, 2, 6, Links::default());
    net.groups[5] = 1;
    let dot = net.propose(0, "all/z", Some(b"1"));
    net.run(secs(5));
    for source in [0, 1] {
        let told = net.replica(source).acknowledgement(dot);
        assert_eq!(told.missing, 1, "source {source}: {told:?}");
        assert_eq!(told.missing_names, ["n5"], "source {source}");
    }
    net.heal();
    net.run(secs(6));
    (0..2).for_each(|source| assert!(net.replica(source).acknowledgement(dot).is_everywhere()));
}

#[test]
fn who_is_too_far_behind_pulls_a_snapshot() {
    let mut net = settled(5, 2, 4, Links { loss: 0.05, ..Links::default() });
    net.groups[3] = 1;
    for step in 0..900 {
        net.propose(step % 2, &format!("all/key-{}", step % 300), Some(format!("value {step}").as_bytes()));
        net.run(Span::from_millis(50));
    }
    let before = net.replica(3).counts().snapshots;
    net.heal();
    net.run_until(secs(60), "the one that was away agrees", Net::agrees);
    assert!(net.replica(3).counts().snapshots > before, "changes alone would not have done");
    net.run_until(secs(60), "it is a member again", Net::all_joined);
}

#[test]
fn a_source_that_lost_its_state_gets_it_back_and_goes_on() {
    for seed in 0..10 {
        let mut net = settled(seed, 3, 6, Links { loss: 0.1, ..Links::default() });
        for step in 0..20 {
            net.propose(0, &format!("all/key-{step}"), Some(b"before"));
        }
        // Some of these never get anywhere but to one member.
        net.groups[0] = 1;
        net.groups[3] = 1;
        net.propose(0, "all/last", Some(b"only there"));
        net.run_until(secs(60), "one member has it", |net| net.replica(3).value("all/last").is_some());
        net.stop(0);
        net.heal();
        net.run(secs(2));
        net.start(0, 2);
        let now = net.now;
        let early = net.replica_mut(0).propose(now, "all/early", Some(b"x"));
        assert_eq!(early, Err(ProposeError::NotCaughtUp), "seed {seed}");
        net.run_until(secs(9), "the source has caught up", |net| net.replica(0).is_caught_up());
        net.propose(0, "all/key-3", Some(b"after"));
        net.run_until(secs(30), "all agree", |net| net.agrees() && net.all_joined());
        for no in 0..net.len() {
            assert_eq!(net.replica(no).value("all/key-3"), Some(&b"after"[..]), "seed {seed}, {no}");
            assert_eq!(net.replica(no).value("all/last"), Some(&b"only there"[..]), "seed {seed}, {no}");
        }
    }
}

#[test]
fn sources_that_all_lost_their_state_get_it_back_from_the_members() {
    let mut net = settled(23, 2, 5, Links::default());
    net.propose(1, "all/kept", Some(b"1"));
    net.run(secs(3));
    (0..2).for_each(|no| net.stop(no));
    net.run(secs(1));
    (0..2).for_each(|no| net.start(no, 2));
    net.run_until(secs(60), "all agree", |net| net.agrees() && net.all_joined());
    (0..net.len()).for_each(|no| assert_eq!(net.replica(no).value("all/kept"), Some(&b"1"[..]), "{no}"));
}

#[test]
fn a_replica_away_for_longer_than_deletions_are_kept_brings_nothing_back() {
    let mut net = settled(2, 2, 4, Links::default());
    net.propose(0, "all/deleted", Some(b"1"));
    net.propose(0, "all/stays", Some(b"1"));
    net.run(secs(3));
    net.pause(4);
    net.propose(1, "all/deleted", None);
    net.run(secs(3));
    // The others go on; that they are the very same processes a day later takes a jump, not a day of driven time.
    net.jump(Span(TOMBSTONE_RETENTION.0 / 2));
    net.run(secs(62));
    net.jump(Span(TOMBSTONE_RETENTION.0 / 2));
    net.run(secs(62));
    assert_eq!(net.replica(0).stamp("all/deleted"), None, "the deletion itself is forgotten");
    net.resume(4);
    net.run_until(secs(60), "all agree", |net| net.agrees() && net.all_joined());
    for no in 0..net.len() {
        assert_eq!(net.replica(no).stamp("all/deleted"), None, "replica {no}");
        assert_eq!(net.replica(no).value("all/stays"), Some(&b"1"[..]), "replica {no}");
    }
}

#[test]
fn a_replacement_takes_the_name_over_and_the_former_process_takes_no_part_any_more() {
    let mut net = settled(4, 2, 5, Links::default());
    net.start_as(7, "n4", 2);
    net.run(secs(14));
    for no in [0, 1, 2, 3, 5, 6, 7] {
        let member = net.replica(no).members().find(|member| &*member.name == "n4").expect("a member");
        assert_eq!((member.record.incarnation, member.record.address), (2, net.address(7)), "replica {no}");
    }
    assert!(net.replica_mut(4).take_events().contains(&Event::Replaced));
    // The same process, restarted at the same address with a clock set back, still gets in.
    net.stop(7);
    net.start_as(7, "n4", 1);
    net.run_until(secs(20), "the name is a member again", |net| net.replica(7).is_member());
    assert!(net.replica(7).incarnation() > 2);
}

#[rstest]
#[case(10)]
#[case(80)]
fn leaving_and_dying_are_noticed_in_a_time_that_does_not_grow_with_the_fleet(#[case] others: usize) {
    let mut net = settled(6, 3, others, Links::default());
    let (leaving, dying) = (4, 5);
    net.leave(leaving);
    net.run(secs(2));
    let knows = |net: &Net, no: usize, name: &str| net.replica(no).members().any(|m| &*m.name == name);
    let alive: Vec<usize> = (0..net.len()).filter(|no| *no != leaving && *no != dying).collect();
    alive.iter().for_each(|no| assert!(!knows(&net, *no, "n4"), "replica {no} of {others}"));
    net.stop(dying);
    net.run(secs(7));
    alive.iter().for_each(|no| assert!(knows(&net, *no, "n5"), "too early: replica {no} of {others}"));
    // Eight heartbeats and a half, one between two looks, and two seconds to get everywhere.
    net.run(Span::from_millis(4_500));
    alive.iter().for_each(|no| assert!(!knows(&net, *no, "n5"), "replica {no} of {others}"));
}

#[test]
fn members_whose_home_dies_find_another_and_the_home_is_removed() {
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
fn nobody_is_removed_who_lives() {
    let mut net = settled(9, 3, 21, Links { loss: 0.1, twice: 0.02, ..Links::default() });
    for minute in 0..3 {
        net.run(secs(60));
        for no in 0..net.len() {
            let events = net.replica_mut(no).take_events();
            let left = events.iter().find(|event| matches!(event, Event::MemberLeft { .. } | Event::Removed));
            assert_eq!(left, None, "minute {minute}, replica {no}");
        }
    }
    // A source that stands still removes nobody when it goes on, and is itself taken in again if it was removed.
    net.pause(0);
    net.run(secs(30));
    net.take_all_events();
    net.resume(0);
    net.run(secs(20));
    for no in 0..net.len() {
        let events = net.replica_mut(no).take_events();
        // It learns here that it was removed itself.
        let own = format!("n{no}");
        let left = events.iter().find(|event| matches!(event, Event::MemberLeft { name } if *name != own));
        assert_eq!(left, None, "replica {no} after the pause");
        assert_eq!(net.replica(no).members().count(), net.len(), "replica {no}");
    }
}

#[test]
fn a_member_that_was_removed_sees_it_and_joins_again() {
    let mut net = settled(10, 2, 6, Links::default());
    net.groups[4] = 1;
    net.run(secs(12));
    assert!(!net.replica(0).members().any(|member| &*member.name == "n4"));
    net.heal();
    net.run_until(secs(20), "it is a member again", |net| {
        (0..net.len()).all(|no| net.replica(no).members().count() == net.len())
    });
    assert!(net.replica(4).is_member());
}

#[test]
fn the_bytes_sent_stay_within_the_bucket_and_messages_per_change_grow_with_the_logarithm() {
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
        println!("{} replicas: a change received {received:.1} times by each", net.len());
        per_change.push(received);
    }
    // 10 to 40 to 150 members: 15 times as many, and log(150) / log(10) is 2.2.
    assert!(per_change[2] <= per_change[0] * 2.2, "{per_change:?}");
    // Under a flood of changes each sends no more than its bucket holds, over any second and ten.
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
    net.run_until(secs(60), "all agree after the flood", Net::agrees);
}

#[test]
fn strangers_other_clusters_and_what_is_malformed_are_refused_and_counted() {
    let mut net = settled(14, 2, 2, Links::default());
    let now = net.now;
    let (member, stranger) = (net.address(2), net.address(60));
    let heartbeat_of = |cluster: &str| {
        let body = lockpoint::replication::message::HeartbeatAck { incarnation: 1 };
        Message::HeartbeatAck(body).encode(cluster_tag(cluster))
    };
    let before = net.replica(0).counts();
    let replica = net.replica_mut(0);
    let refused =
        |result: Result<(), lockpoint::replication::MessageError>| result.expect_err("refused").to_string();
    assert_eq!(refused(replica.receive(now, member, &heartbeat_of("other"))), "of another cluster");
    let strange = refused(replica.receive(now, stranger, &heartbeat_of(CLUSTER)));
    assert_eq!(strange, format!("{stranger} is neither a member nor a seed"));
    assert_eq!(refused(replica.receive(now, member, &[0x10])), "1 bytes are no datagram");
    assert_eq!(refused(replica.receive(now, member, &[0x11; 40])), "version 0x11 is not 0x10");
    assert_eq!(refused(replica.receive(now, member, &[0; 1_201])), "1201 bytes, 1200 at most");
    let mut absurd = vec![0x10, 9];
    absurd.extend(cluster_tag(CLUSTER).to_be_bytes());
    absurd.extend([0x94, 0x91, 0x93, 0x07, 0xce, 0xff, 0xff, 0xff, 0xff, 0x01, 0x00, 0xc3, 0xc2]);
    let why = refused(replica.receive(now, member, &absurd));
    assert_eq!(why, "digest: version vector: epoch 4294967295, number 1 of source 7");
    let after = net.replica(0).counts();
    assert_eq!((after.dropped - before.dropped, after.malformed - before.malformed), (2, 4));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, failure_persistence: None, ..ProptestConfig::default() })]

    /// Whatever comes: no panic, and no more bytes out than the bucket holds.
    #[test]
    fn random_and_damaged_bytes_are_survived(
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
fn the_same_seed_gives_the_same_run() {
    let run = || {
        let mut net = settled(21, 2, 5, Links { loss: 0.1, ..Links::default() });
        net.propose(0, "all/a", Some(b"1"));
        net.run(secs(5));
        (0..net.len()).map(|no| net.replica(no).counts()).collect::<Vec<_>>()
    };
    assert_eq!(run(), run());
    assert_eq!(config(0, 1, 2).fanout, 3);
}
