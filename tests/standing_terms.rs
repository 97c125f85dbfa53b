//! Terms of the standing test that no other file has a test for: a reload followed by a drain, a list that comes whole again,
//! and a call server killed right after it accepted a call.

mod support;

use std::time::{Duration, Instant};

use lockpoint::interface::ServerState;
use support::{
    in_time, list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog, Hand,
    ServerBehaviour,
};

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

/// Nothing new may go to a call server so long after its drain was told.
const DRAIN_HEARD_WITHIN: Duration = Duration::from_millis(250);
/// A client is owed the release of a call that stood within this.
const RELEASE_WITHIN: Duration = Duration::from_secs(1);

/// Guards against a drain that is told in the moment of a reload and heard by neither the old watch nor the new one.
#[test]
fn a_drain_told_right_after_a_reload_is_heard_in_time() {
    on_one_thread(async {
        let world = EventLog::default();
        let does = [answers("a"), answers("b")];
        let (controller, servers, _old) = Controller::with_servers(&world, &does).await;
        let ready = |n: usize| list_entry(&servers[n].name, servers[n].at, n as u16, "ready");
        let next = Bulletin::start(&world).await;
        next.publish(true, vec![ready(0), ready(1)]);
        assert!(controller.instance.reload(support::config(next.at)).is_empty());
        next.publish(false, vec![list_entry("s0", servers[0].at, 0, "draining")]);
        let told = Instant::now();
        let drains = |i: &lockpoint::instance::Instance| {
            i.servers().iter().any(|line| line.host == "s0" && line.state == ServerState::Draining)
        };
        controller.turns("the drain is heard", drains).await;
        assert!(told.elapsed() < DRAIN_HEARD_WITHIN, "heard after {:?}", told.elapsed());
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("b".into()));
    });
}

/// Guards against a list that is told whole once more and costs connections, or calls that stand or wait.
#[test]
fn a_list_that_comes_whole_again_changes_nothing() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, bulletin) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(wire.hears("INVITE").await, name(1));
        wire.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        caller.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(wire.hears("INVITE").await, name(2));
        let before = controller.instance.counters();
        for _ in 0..3 {
            bulletin.publish(true, vec![hand.host(0, "ready")]);
        }
        // Told after them, so that they have been heard once this one is.
        bulletin
            .publish(false, vec![list_entry("s1", "127.0.0.1:9".parse().expect("an address"), 1, "ready")]);
        let heard = |i: &lockpoint::instance::Instance| i.servers().iter().any(|line| line.host == "s1");
        controller.turns("the lists are heard", heard).await;
        let after = controller.instance.counters();
        assert_eq!((after.standing, after.open, after.cancelled), (1, 1, before.cancelled));
        assert_eq!((after.connected, after.withdrawn), (before.connected, before.withdrawn));
        wire.answers(&name(2), "z").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("z".into()));
    });
}

/// Guards against a caller who is told that its call stands and never that it is over: its call server's process was killed
/// in the moment of its answer.
#[test]
fn a_call_server_killed_right_after_it_accepted_a_call_owes_its_client_one_release() {
    on_one_thread(async {
        let world = EventLog::default();
        let hand = Hand::start("s0").await;
        let (controller, _bulletin) = Controller::with_hands(&world, &[&hand], |_| {}).await;
        let mut wire = hand.greets().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(wire.hears("INVITE").await, name(1));
        wire.answers(&name(1), "y").await;
        wire.reset();
        drop(hand);
        let killed = Instant::now();
        let release = |seen: &support::RecordedEvent| {
            seen.sid == name(1) && matches!(seen.kind, EventKind::Close(41, _))
        };
        in_time("the release", world.wait_for("it", release)).await;
        assert!(killed.elapsed() < RELEASE_WITHIN, "after {:?}", killed.elapsed());
        let of_call = |seen: &support::RecordedEvent| {
            seen.source == "c"
                && seen.sid == name(1)
                && matches!(seen.kind, EventKind::Ready(_) | EventKind::Close(..))
        };
        assert_eq!(world.count(of_call), 2, "one answer, one release");
        assert_eq!(controller.instance.counters().standing, 0);
    });
}
