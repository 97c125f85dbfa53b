//! What all stand-ins saw, in order. Tests wait for what is written here; the checker counts it.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::interface::Time;
use tokio::sync::{mpsc, Notify};
use tokio::task::LocalSet;

/// A wait of `World` that ends a test: whatever it waits for will not come any more.
const NEVER_AFTER: Duration = Duration::from_secs(30);

/// What a caller asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
#[allow(missing_docs)] // the names say it
pub struct Ask {
    pub class: String,
    pub number: String,
    pub text: String,
    /// How long the caller waits, in milliseconds.
    pub left_ms: u64,
}

/// What the list says of a call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[allow(missing_docs)] // the names say it
pub enum ListedState {
    Ready,
    Draining,
    Gone,
}

/// What a stand-in saw.
#[derive(Debug, Clone, PartialEq)]
pub enum EventKind {
    /// A set-up reached a call server: class, number, description.
    SetUp(String, String, String),
    /// A set-up was given up there.
    Cancel,
    /// A call that stood was ended there by the controller.
    Bye(u16),
    /// A call server answered with this description.
    Answered(String),
    /// A call server refused.
    Refused,
    /// A call server ended a call that stood.
    Released,
    /// A call server's process died; all its calls with it.
    Died,
    /// A cold call server was sent more than it bears.
    Tipped,
    /// A caller sent its set-up.
    Asked(Rc<Ask>),
    /// A caller stopped waiting, and said so.
    GaveUp,
    /// A caller ended its call that stood.
    HungUp,
    /// A caller got an answer: its description.
    Ready(String),
    /// A caller got a refusal, a failure or a release: cause, and the wait in milliseconds.
    Close(u16, Option<u64>),
    /// A caller got word that its release was heard.
    Closed,
    /// A caller got something else.
    Other(String),
    /// A list was put on the bulletin.
    Told(String),
    /// The list has news of a call server, `who`; a directory that is asked now and then may tell this much later.
    News(ListedState, Duration),
}

/// One thing seen.
#[derive(Debug, Clone)]
#[allow(missing_docs)] // the names say it
pub struct RecordedEvent {
    pub at: Instant,
    /// Which stand-in saw it.
    pub source: String,
    /// The call, as 16 hex digits; empty where it is about none.
    pub sid: String,
    pub kind: EventKind,
}

#[derive(Default)]
struct Inner {
    seen: RefCell<Vec<RecordedEvent>>,
    changed: Notify,
    taps: RefCell<Vec<mpsc::UnboundedSender<RecordedEvent>>>,
    forgets: Cell<bool>,
}

/// What all stand-ins saw, in order.
#[derive(Clone, Default)]
pub struct EventLog(Rc<Inner>);

impl EventLog {
    /// One that keeps nothing: what is seen goes to the taps alone, so that a long experiment does not swell.
    pub fn without_history() -> EventLog {
        let world = EventLog::default();
        world.0.forgets.set(true);
        world
    }

    /// Writes down what was seen.
    pub fn record(&self, source: &str, sid: &str, kind: EventKind) {
        let seen = RecordedEvent { at: Instant::now(), source: source.to_owned(), sid: sid.to_owned(), kind };
        self.0.taps.borrow().iter().for_each(|tap| drop(tap.send(seen.clone())));
        if !self.0.forgets.get() {
            self.0.seen.borrow_mut().push(seen);
        }
        self.0.changed.notify_waiters();
    }

    /// All that is seen from now on.
    pub fn subscribe(&self) -> mpsc::UnboundedReceiver<RecordedEvent> {
        let (tap, seen) = mpsc::unbounded_channel();
        self.0.taps.borrow_mut().push(tap);
        seen
    }

    /// All that was seen so far.
    pub fn events(&self) -> Vec<RecordedEvent> {
        self.0.seen.borrow().clone()
    }

    /// How many were seen.
    pub fn count(&self, which: impl Fn(&RecordedEvent) -> bool) -> usize {
        self.0.seen.borrow().iter().filter(|seen| which(seen)).count()
    }

    /// Waits until something was seen.
    pub async fn wait_for(&self, name: &str, which: impl Fn(&RecordedEvent) -> bool) -> RecordedEvent {
        self.wait_for_count(name, 1, which).await.remove(0)
    }

    /// Waits until so many were seen; panics, with what was seen last, where they never are.
    pub async fn wait_for_count(
        &self,
        name: &str,
        n: usize,
        which: impl Fn(&RecordedEvent) -> bool,
    ) -> Vec<RecordedEvent> {
        let wait = async {
            loop {
                let changed = self.0.changed.notified();
                let found: Vec<RecordedEvent> =
                    self.0.seen.borrow().iter().filter(|s| which(s)).cloned().collect();
                if found.len() >= n {
                    return found;
                }
                changed.await;
            }
        };
        match tokio::time::timeout(NEVER_AFTER, wait).await {
            Ok(found) => found,
            Err(_) => panic!(
                "never seen: {name}; seen: {:#?}",
                self.events().iter().rev().take(30).collect::<Vec<_>>()
            ),
        }
    }

    /// The one final answer of a call.
    pub async fn final_answer(&self, sid: &str) -> RecordedEvent {
        let final_one =
            |s: &RecordedEvent| s.sid == sid && matches!(s.kind, EventKind::Ready(_) | EventKind::Close(..));
        self.wait_for(&format!("an answer to {sid}"), final_one).await
    }
}

/// The stand-ins' clock: microseconds, of no use but to be compared.
pub fn now() -> Time {
    time_of(Instant::now())
}

/// The same for a moment in the past.
pub fn time_of(at: Instant) -> Time {
    thread_local!(static START: Instant = Instant::now());
    let passed = START.with(|start| at.saturating_duration_since(*start)).as_micros();
    Time(1_000_000 + u64::try_from(passed).unwrap_or(u64::MAX))
}

/// Sleeps until a time of that clock.
pub async fn sleep_until(at: Time) {
    let left = at.since(now());
    if left.0 > 0 {
        tokio::time::sleep(Duration::from_micros(left.0)).await;
    }
}

/// Runs a world on one thread.
pub fn on_one_thread<T>(world: impl std::future::Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().expect("a runtime");
    LocalSet::new().block_on(&runtime, world)
}
