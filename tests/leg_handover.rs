//! Calls of IAX2 callers when the controller's process stops: the next process continues their legs, or they end in order.

mod support;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;

use lockpoint::config::Iax2Config;
use lockpoint::core::CAUSE_CUT;
use rstest::rstest;
use support::iax2::IaxCaller;
use support::{
    list_entry, name, on_one_thread, Bulletin, Controller, EventKind, EventLog, RecordedEvent,
    ServerBehaviour, SipServer,
};

fn is(sid: &str, what: EventKind) -> impl Fn(&RecordedEvent) -> bool + '_ {
    move |seen| seen.sid == sid && seen.kind == what
}

/// The file in which legs are left, in a directory of its own that is removed in the end.
struct LegFile(PathBuf);

impl LegFile {
    fn new(test: &str) -> LegFile {
        let directory = std::env::temp_dir().join(format!("lockpoint-legs-{}-{test}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("a directory");
        LegFile(directory.join("legs"))
    }
}

impl Drop for LegFile {
    fn drop(&mut self) {
        let _ = self.0.parent().map(std::fs::remove_dir_all);
    }
}

struct Deployment {
    events: EventLog,
    server: Rc<SipServer>,
    bulletin: Rc<Bulletin>,
}

impl Deployment {
    async fn start() -> Deployment {
        let events = EventLog::default();
        let bulletin = Bulletin::start(&events).await;
        let server = SipServer::start(&events, "s0", ServerBehaviour::Answer("y".to_owned())).await;
        bulletin.publish(true, vec![list_entry("s0", server.at, 0, "ready")]);
        Deployment { events, server, bulletin }
    }

    async fn controller(&self, iax2_at: SocketAddr) -> Controller {
        let mut config = support::config(self.bulletin.at);
        config.iax2 = Some(Iax2Config::new(iax2_at, SocketAddr::from(([127, 0, 0, 1], 0))));
        Controller::start(config).await
    }

    /// A controller and an IAX2 caller with an established call.
    async fn with_call(&self) -> (Controller, Rc<IaxCaller>) {
        let controller = self.controller(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        controller.wait_for_list().await;
        let caller = IaxCaller::start(&self.events, "c", controller.iax2_at.expect("a port")).await;
        caller.open(&name(1), 2_000, 0, "x");
        assert_eq!(self.events.final_answer(&name(1)).await.kind, EventKind::Ready("y".into()));
        controller.wait_for("the call is established", |i| i.counters().standing == 1).await;
        (controller, caller)
    }
}

/// Who ends the call after the restart.
#[derive(Debug, Clone, Copy)]
enum EndedBy {
    Server,
    Caller,
    /// The directory lists another process of the call server.
    Restart,
}

/// Guards against callers on IAX2 legs who are never told that their call has ended, because it was established by a
/// process that has been restarted since (review case 9).
#[rstest]
fn call_on_a_leg_continues_in_the_next_process(
    #[values(EndedBy::Server, EndedBy::Caller, EndedBy::Restart)] ended_by: EndedBy,
) {
    on_one_thread(async {
        let all = Deployment::start().await;
        let (controller, caller) = all.with_call().await;
        let file = LegFile::new(&format!("{ended_by:?}"));
        let iax2_at = controller.iax2_at.expect("a port");
        controller.instance.leave_legs_in(file.0.clone());
        controller.stop().await;
        let told = |seen: &RecordedEvent| seen.sid == name(1) && matches!(seen.kind, EventKind::Close(..));
        let ended = |seen: &RecordedEvent| seen.sid == name(1) && matches!(seen.kind, EventKind::Bye(_));
        assert_eq!((all.events.count(told), all.events.count(ended)), (0, 0), "the call goes on");
        if matches!(ended_by, EndedBy::Restart) {
            let mut entry = list_entry("s0", all.server.at, 0, "ready");
            entry["born_ms"] = serde_json::json!(1_700_000_000_000_u64);
            all.bulletin.publish(false, vec![entry]);
        }
        let next = all.controller(iax2_at).await;
        next.instance.resume_legs(&file.0);
        assert!(!file.0.exists(), "legs are continued once");
        match ended_by {
            EndedBy::Server => {
                next.wait_for("the call is established again", |i| i.counters().standing == 1).await;
                all.server.release(&name(1), 16);
                all.events.wait_for("the release", is(&name(1), EventKind::Close(16, None))).await;
            }
            EndedBy::Caller => {
                next.wait_for("the call is established again", |i| i.counters().standing == 1).await;
                caller.hang_up(&name(1));
                all.events.wait_for("the end at the call server", is(&name(1), EventKind::Bye(16))).await;
            }
            EndedBy::Restart => {
                all.events.wait_for("the release", is(&name(1), EventKind::Close(CAUSE_CUT, None))).await;
            }
        }
        next.wait_for("no call is left", |i| i.counters().standing == 0).await;
    });
}

/// A process whose legs are continued by nobody must not end without a word to either side.
#[test]
fn call_on_a_leg_that_is_left_to_nobody_ends_in_order_with_its_process() {
    on_one_thread(async {
        let all = Deployment::start().await;
        let (controller, _caller) = all.with_call().await;
        let counters = controller.stop().await;
        all.events.wait_for("the release", is(&name(1), EventKind::Close(CAUSE_CUT, None))).await;
        all.events.wait_for("the end at the call server", is(&name(1), EventKind::Bye(CAUSE_CUT))).await;
        assert_eq!(counters.standing, 0);
    });
}

/// A file that is not one of ours, or too old, must not keep a process from starting.
#[rstest]
#[case::not_json("no legs")]
#[case::another_version(r#"{"version": 99, "left_at": 0, "legs": []}"#)]
#[case::too_old(r#"{"version": 1, "left_at": 1, "legs": []}"#)]
fn unusable_file_of_legs_is_removed_and_ignored(#[case] content: &str) {
    on_one_thread(async {
        let all = Deployment::start().await;
        let controller = all.controller(SocketAddr::from(([127, 0, 0, 1], 0))).await;
        let file = LegFile::new(&format!("unusable-{}", content.len()));
        std::fs::write(&file.0, content).expect("written");
        controller.instance.resume_legs(&file.0);
        assert!(!file.0.exists());
        controller.wait_for_list().await;
        assert_eq!(controller.instance.counters().iax2_callers, 0);
    });
}
