//! Planned stops of a controller by SIGTERM, while its clients go on and its call servers hang.

#[path = "support/platform.rs"]
mod platform;
#[path = "support/scene.rs"]
mod scene;
mod support;

use std::time::{Duration, Instant};

use scene::Scene;
use support::{name, on_one_thread, EventKind, RecordedEvent, ScriptedServer};
use tokio::io::AsyncWriteExt;
use tokio::task::spawn_local;

/// What came later than this after SIGTERM must be answered before the process may be killed.
const ANSWERED_FROM: Duration = Duration::from_millis(700);
/// When a process may be killed at the earliest, with the longest deadline of these settings.
const KILLED_AT: Duration = Duration::from_millis(3_700);

/// A report of a call server, and how often it comes.
const REPORT: &str =
    "NOTIFY sip:peer@net SIP/2.0\r\nCSeq: 1 NOTIFY\r\nP-Report: x0:500;x1:500\r\nContent-Length: 0\r\n\r\n";
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// The number of call servers.
const SERVERS: u16 = 4;

/// Guards against set-ups that a stopping process still takes to a hanging call server, and leaves unanswered when it is
/// killed at the earliest.
#[test]
fn set_up_that_comes_late_in_a_stop_is_answered_before_the_process_may_be_killed() {
    on_one_thread(async {
        let (mut servers, mut entries) = (Vec::new(), Vec::new());
        for cell in 0..SERVERS {
            let server = ScriptedServer::start(&format!("s{cell}")).await;
            entries.push(server.host(cell, "ready"));
            servers.push(server);
        }
        let scene = Scene::listing("stop-late", entries).await;
        // They go on to report, so that none is taken for silent; they only answer no set-up.
        servers.into_iter().for_each(|server| drop(spawn_local(report_only(server))));
        tokio::time::sleep(REPORT_INTERVAL).await;
        scene.caller.open(&name(1), 9_000, 0, "x").await; // its caller's connection stays open
        tokio::time::sleep(REPORT_INTERVAL).await;
        let stopped_at = Instant::now();
        scene.controller.signal("-TERM");
        for call in 2..12 {
            let at = ANSWERED_FROM + Duration::from_millis(10 * call);
            tokio::time::sleep_until((stopped_at + at).into()).await;
            scene.caller.open(&name(call), 9_000, 0, "x").await;
        }
        tokio::time::sleep_until((stopped_at + KILLED_AT).into()).await;
        let answered = |call| {
            let of_call =
                |seen: &RecordedEvent| seen.sid == name(call) && matches!(seen.kind, EventKind::Close(..));
            scene.events.count(of_call) == 1
        };
        let unanswered: Vec<u64> = (2..12).filter(|call| !answered(*call)).collect();
        assert!(unanswered.is_empty(), "calls {unanswered:?}");
    });
}

/// Accepts connections and reports on each, but answers nothing.
async fn report_only(server: ScriptedServer) {
    loop {
        let mut connection = server.accept().await;
        spawn_local(async move {
            while connection.stream.write_all(REPORT.as_bytes()).await.is_ok() {
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        });
    }
}
