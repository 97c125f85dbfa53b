//! The log of what the simulated callers, call servers and directories observe, in order. Tests wait for its events;
//! the checker in `audit` evaluates them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::interface::Time;
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

/// After this time a wait for an event fails the test.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// A call that a caller requests. The trace file contains this type's `Debug` output.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)] // the fields are named after their content
pub struct Ask {
    pub class: String,
    pub number: String,
    pub text: String,
    /// How long the caller waits, in milliseconds.
    pub left_ms: u64,
}

/// The state of a call server in its directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)] // the variants are the directory's own terms
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// What happened at a simulated peer. The trace file contains the variants' names.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// A call server received a set-up: class, number, description.
    SetUp(String, String, String),
    /// A call server received the cancellation of a set-up.
    Cancel,
    /// A call server received the controller's end of an established call, with its cause.
    Bye(u16),
    /// A call server answered a set-up with this description.
    Answered(String),
    /// A call server sent an answer to a set-up that cannot be used.
    SpoiltAnswer,
    /// A call server refused a set-up.
    Refused,
    /// A call server ended an established call.
    Released,
    /// A call server's process died and all its calls were lost.
    Died,
    /// A cold call server crashed because it was sent more set-ups than it can process.
    Tipped,
    /// A caller sent its set-up.
    Asked(Rc<Ask>),
    /// A caller cancelled its set-up.
    GaveUp,
    /// A caller ended its established call.
    HungUp,
    /// The controller of a caller's established call has ended in order: its next process learns of the call from the call
    /// server's release.
    Orphaned,
    /// A caller received an answer: its description.
    Ready(String),
    /// A caller received a refusal, a failure or a release: cause, and the wait before a retry in milliseconds.
    Close(u16, Option<u64>),
    /// A caller received the confirmation of its release.
    Closed,
    /// A caller received another message.
    Other(String),
    /// The bulletin published this event.
    Told(String),
    /// Messages to and from the call server `source` may be lost or late from now on, or arrive again (`false`).
    Disturbed(bool),
    /// The connections of the call server `source` were reset: what was on its way is lost.
    ConnectionsReset,
    /// A directory changed the state of the call server `source`. The controller may learn it later by up to this
    /// duration, because a polled directory is queried only from time to time.
    News(ListedState, Duration),
}

/// An event with its time and origin.
#[derive(Debug, Clone)]
#[allow(missing_docs)] // the fields are named after their content
pub struct RecordedEvent {
    pub at: Instant,
    /// The simulated peer that observed it.
    pub source: String,
    /// The call, as 16 hex digits; empty for events that concern no call.
    pub sid: String,
    pub kind: EventKind,
}

#[derive(Default)]
struct Inner {
    recorded: RefCell<Vec<RecordedEvent>>,
    changed: Notify,
    subscribers: RefCell<Vec<mpsc::UnboundedSender<RecordedEvent>>>,
    discards: Cell<bool>,
}

/// The shared log of all simulated peers; clones refer to the same log.
#[derive(Clone, Default)]
pub struct EventLog(Rc<Inner>);

impl EventLog {
    /// A log that only forwards events to its subscribers and stores none, so that memory stays bounded in a long
    /// experiment.
    pub fn without_history() -> EventLog {
        let log = EventLog::default();
        log.0.discards.set(true);
        log
    }

    /// Records an event with the present time.
    pub fn record(&self, source: &str, sid: &str, kind: EventKind) {
        let recorded =
            RecordedEvent { at: Instant::now(), source: source.to_owned(), sid: sid.to_owned(), kind };
        self.0.subscribers.borrow().iter().for_each(|sender| drop(sender.send(recorded.clone())));
        if !self.0.discards.get() {
            self.0.recorded.borrow_mut().push(recorded);
        }
        self.0.changed.notify_waiters();
    }

    /// A channel that receives all later events.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<RecordedEvent> {
        let (sender, recorded) = mpsc::unbounded_channel();
        self.0.subscribers.borrow_mut().push(sender);
        recorded
    }

    /// All stored events.
    pub fn events(&self) -> Vec<RecordedEvent> {
        self.0.recorded.borrow().clone()
    }

    /// The number of stored events that match.
    pub fn count(&self, matches_event: impl Fn(&RecordedEvent) -> bool) -> usize {
        self.0.recorded.borrow().iter().filter(|recorded| matches_event(recorded)).count()
    }

    /// Waits for the first event that matches; panics on a time-out.
    pub async fn wait_for(
        &self,
        name: &str,
        matches_event: impl Fn(&RecordedEvent) -> bool,
    ) -> RecordedEvent {
        self.wait_for_count(name, 1, matches_event).await.remove(0)
    }

    /// Waits until `n` events match; panics on a time-out and prints the last events.
    pub async fn wait_for_count(
        &self,
        name: &str,
        minimum: usize,
        matches_event: impl Fn(&RecordedEvent) -> bool,
    ) -> Vec<RecordedEvent> {
        let wait = async {
            loop {
                let changed = self.0.changed.notified();
                let found: Vec<RecordedEvent> =
                    self.0.recorded.borrow().iter().filter(|s| matches_event(s)).cloned().collect();
                if found.len() >= minimum {
                    return found;
                }
                changed.await;
            }
        };
        match tokio::time::timeout(WAIT_TIMEOUT, wait).await {
            Ok(found) => found,
            Err(_) => panic!(
                "timed out waiting for {name}; last events, newest first: {:#?}",
                self.events().iter().rev().take(30).collect::<Vec<_>>()
            ),
        }
    }

    /// Waits for the final answer of a call: its answer or its refusal.
    pub async fn final_answer(&self, sid: &str) -> RecordedEvent {
        let is_final =
            |s: &RecordedEvent| s.sid == sid && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..));
        self.wait_for(&format!("an answer to {sid}"), is_final).await
    }
}

/// The laboratory's clock: microseconds from an arbitrary start.
pub fn now() -> Time {
    time_of(Instant::now())
}

/// The same clock's time of an `Instant`.
pub fn time_of(at: Instant) -> Time {
    thread_local!(static START: Instant = Instant::now());
    let passed = START.with(|start| at.saturating_duration_since(*start)).as_micros();
    Time(1_000_000 + u64::try_from(passed).unwrap_or(u64::MAX))
}

/// Sleeps until a time of the laboratory's clock.
pub async fn sleep_until(at: Time) {
    let left = at.since(now());
    if left.0 > 0 {
        tokio::time::sleep(Duration::from_micros(left.0)).await;
    }
}

/// Runs a future, and the local tasks that it spawns, on a single-threaded runtime.
pub fn on_one_thread<T>(future: impl std::future::Future<Output = T>) -> T {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().expect("the runtime starts");
    LocalSet::new().block_on(&runtime, future)
}
