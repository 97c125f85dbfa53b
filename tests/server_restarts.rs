//! Call servers whose process is replaced by a new one at the same address. Their calls are over, and the new process never
//! releases them: the callers must get their releases from the controller.

mod support;

use std::time::{Duration, Instant};

use lockpoint::core::CAUSE_CUT;
use rstest::rstest;
use support::{
    list_entry_started_at, name, on_one_thread, Caller, Controller, EventKind, EventLog, RecordedEvent,
    ScriptedServer,
};

/// A release is due within this time of the moment at which the controller can know that the call is over.
const RELEASE_TIMEOUT: Duration = Duration::from_millis(1_050);

/// How the process that had the calls ends.
#[derive(Debug, Clone, Copy)]
enum Loss {
    /// Its machine is cut off: its connections stay open, without a word.
    Silent,
    /// It dies and is up again before the controller connects anew: its connections are reset.
    Reset,
}

fn unix_ms() -> u64 {
    let since =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).expect("a time after 1970");
    u64::try_from(since.as_millis()).expect("a time in range")
}

/// Guards against calls that stay established for good at a call server that was lost and is back cold, without ever
/// having refused a connection (review case 1). A call that the new process has taken before the list reports it stays.
#[rstest]
fn calls_of_a_process_that_was_replaced_are_released(#[values(Loss::Silent, Loss::Reset)] loss: Loss) {
    on_one_thread(async {
        let world = EventLog::default();
        let server = ScriptedServer::start("s0").await;
        let (controller, bulletin) = Controller::with_scripted_servers(&world, &[&server], |_| {}).await;
        let mut old = server.accept_ready().await;
        let caller = Caller::connect(&world, "c", controller.at).await;
        for call in [1, 2] {
            caller.open(&name(call), 9_000, 0, "x").await;
            old.expect_request("INVITE").await;
            old.answers(&name(call), "y").await;
            assert_eq!(world.final_answer(&name(call)).await.kind, EventKind::Ready("y".into()));
        }
        controller.wait_for("two calls are established", |i| i.counters().standing == 2).await;
        // The old process is gone from here on. The list reports its successor only later.
        tokio::time::sleep(Duration::from_millis(5)).await;
        let started_ms = unix_ms();
        tokio::time::sleep(Duration::from_millis(5)).await;
        let _silent = match loss {
            Loss::Silent => Some(old),
            Loss::Reset => {
                old.reset();
                None
            }
        };
        // After the reset, or once the old connection has been silent for a while.
        let mut new = server.accept_ready().await;
        caller.open(&name(3), 9_000, 0, "x").await;
        assert_eq!(new.expect_request("INVITE").await, name(3));
        new.answers(&name(3), "z").await;
        assert_eq!(world.final_answer(&name(3)).await.kind, EventKind::Ready("z".into()));
        let reported = Instant::now();
        bulletin.publish(false, vec![list_entry_started_at("s0", server.at, 0, started_ms)]);
        for call in [1, 2] {
            let released = |seen: &RecordedEvent| {
                seen.sid == name(call) && seen.kind == EventKind::Close(CAUSE_CUT, None)
            };
            world.wait_for("the release of a call of the old process", released).await;
        }
        assert!(reported.elapsed() < RELEASE_TIMEOUT, "{:?}", reported.elapsed());
        let ended = |seen: &RecordedEvent| seen.sid == name(3) && matches!(seen.kind, EventKind::Close(..));
        assert_eq!((world.count(ended), controller.instance.counters().standing), (0, 1));
    });
}
