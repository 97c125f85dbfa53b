//! A controller program as the platform starts it, a bulletin that lists call servers, and a caller.
#![allow(dead_code)] // each test file uses only some of the items

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde_json::{json, Value};

use super::platform::Platform;
use super::support::{
    name, settings, Bulletin, Caller, EventKind, EventLog, RecordedEvent, ServerConnection,
};

/// How long a controller may take to serve.
const START_TIMEOUT: Duration = Duration::from_secs(20);

pub struct Scene {
    pub events: EventLog,
    pub bulletin: Rc<Bulletin>,
    pub controller: Platform,
    pub caller: Caller,
}

impl Scene {
    pub async fn new(test: &str, entry: Value) -> Scene {
        Scene::listing(test, vec![entry]).await
    }

    pub async fn listing(test: &str, entries: Vec<Value>) -> Scene {
        Scene::limited(test, entries, 192).await
    }

    /// A scene whose controller has this memory limit, in MB.
    pub async fn limited(test: &str, entries: Vec<Value>, memory_mb: u64) -> Scene {
        let events = EventLog::default();
        let bulletin = Bulletin::start(&events).await;
        bulletin.publish(true, entries);
        let config = json!({"bulletin": bulletin.at.to_string(), "settings": settings(1),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": 1024}});
        let controller = Platform::start(test, &config, None);
        let deadline = Instant::now() + START_TIMEOUT;
        while !controller.call("PING").is_some_and(|answer| answer.starts_with("SUCCESS")) {
            assert!(Instant::now() < deadline, "the controller does not serve");
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let caller = Caller::connect(&events, "c", controller.at).await;
        Scene { events, bulletin, controller, caller }
    }

    pub async fn expect_answer(&self, sid: &str) {
        let answer = self.events.final_answer(sid).await;
        assert!(matches!(answer.kind, EventKind::Ready(_)), "{answer:?}");
    }

    /// Establishes a call on a connection.
    pub async fn establish(&self, connection: &mut ServerConnection, call: u64) {
        self.caller.open(&name(call), 9_000, 0, "x").await;
        assert_eq!(connection.expect_request("INVITE").await, name(call));
        connection.answers(&name(call), "y\r\n").await;
        self.expect_answer(&name(call)).await;
    }

    /// Waits for the release of a call and returns when it arrived.
    pub async fn release_of(&self, sid: &str) -> Instant {
        let released = |seen: &RecordedEvent| seen.sid == sid && matches!(seen.kind, EventKind::Close(..));
        self.events.wait_for("the release of a call", released).await.at
    }
}
