//! Requirements of the full-size continuous run that no other test file covers: a reload followed by a drain, a repeated full
//! list, and a call server killed right after it accepted a call.

mod support;

use std::time::{Duration, Instant};

use lockpoint::interface::ServerState;
use support::{
    in_time, list_entry, name, on_one_thread, Bulletin, Caller, Controller, EventKind, EventLog,
    ScriptedServer, ServerBehaviour,
};

fn answers(text: &str) -> ServerBehaviour {
    ServerBehaviour::Answer(text.to_owned())
}

/// No new call may go to a call server once this time has passed since its drain was published.
const DRAIN_APPLIED_WITHIN: Duration = Duration::from_millis(250);
/// A caller must get the release of an established call within this time.
const RELEASE_WITHIN: Duration = Duration::from_secs(1);

/// Guards against a drain that is published right after a reload and missed by both the old bulletin watch and the new one.
#[test]
fn a_drain_published_right_after_a_reload_takes_effect_in_time() {
    on_one_thread(async {
        let world = EventLog::default();
        let does = [answers("a"), answers("b")];
        let (controller, servers, _old) = Controller::with_servers(&world, &does).await;
        let ready = |n: usize| list_entry(&servers[n].name, servers[n].at, n as u16, "ready");
        let next = Bulletin::start(&world).await;
        next.publish(true, vec![ready(0), ready(1)]);
        assert!(controller.instance.reload(support::config(next.at)).is_empty());
        next.publish(false, vec![list_entry("s0", servers[0].at, 0, "draining")]);
        let published = Instant::now();
        let drains = |i: &lockpoint::instance::Instance| {
            i.servers().iter().any(|line| line.host == "s0" && line.state == ServerState::Draining)
        };
        controller.wait_for("the drain has taken effect", drains).await;
        assert!(published.elapsed() < DRAIN_APPLIED_WITHIN, "took effect after {:?}", published.elapsed());
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 2_000, 0, "x").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("b".into()));
    });
}

/// Guards against a repeated full list that costs connections or established or pending calls.
#[test]
fn a_repeated_full_list_changes_nothing() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, bulletin) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(connection.expect_request("INVITE").await, name(1));
        connection.answers(&name(1), "y").await;
        assert_eq!(world.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        caller.open(&name(2), 9_000, 0, "x").await;
        assert_eq!(connection.expect_request("INVITE").await, name(2));
        let before = controller.instance.counters();
        for _ in 0..3 {
            bulletin.publish(true, vec![server.host(0, "ready")]);
        }
        // Published after the full lists: once this entry is known, they have been applied.
        bulletin
            .publish(false, vec![list_entry("s1", "127.0.0.1:9".parse().expect("an address"), 1, "ready")]);
        let lists_applied =
            |i: &lockpoint::instance::Instance| i.servers().iter().any(|line| line.host == "s1");
        controller.wait_for("the lists are applied", lists_applied).await;
        let after = controller.instance.counters();
        assert_eq!((after.standing, after.open, after.cancelled), (1, 1, before.cancelled));
        assert_eq!((after.connected, after.withdrawn), (before.connected, before.withdrawn));
        connection.answers(&name(2), "z").await;
        assert_eq!(world.final_answer(&name(2)).await.kind, EventKind::Ready("z".into()));
    });
}

/// Guards against a caller that learns that its call is established but never that it is over, because the call server's
/// process was killed right after its answer.
#[test]
fn a_call_on_a_call_server_killed_after_its_answer_is_released_once() {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, _bulletin) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut connection = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        caller.open(&name(1), 9_000, 0, "x").await;
        assert_eq!(connection.expect_request("INVITE").await, name(1));
        connection.answers(&name(1), "y").await;
        connection.reset();
        drop(server);
        let killed = Instant::now();
        let release = |seen: &support::RecordedEvent| {
            seen.sid == name(1) && matches!(seen.kind, EventKind::Close(41, _))
        };
        in_time("the release", world.wait_for("the release", release)).await;
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
