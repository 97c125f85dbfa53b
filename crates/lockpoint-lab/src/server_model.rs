//! The model of a call server: its processor, its calls and its faults. The simulated call servers of both protocols use it.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use lockpoint::interface::{Span, Time};
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::event_log::{now, sleep_until};
use crate::processor::{Admission, Processor, ProcessorConfig};

/// The number of circuits that a call server reports.
const CIRCUITS: usize = 10_000;

/// An event that the model emits for a call, at the time at which the call server would send it.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelEvent {
    /// The set-up is answered: the call is established.
    Answer,
    /// The set-up is refused because the queue is too long: the queueing delay and a load report.
    Full(Span, String),
    /// The set-up fails with an error.
    Error,
    /// The call server ends the established call; with a load report.
    Release(String),
    /// The call server has crashed: all its connections are cut.
    Down,
}

/// A call server without its protocol.
#[derive(Debug)]
pub struct ServerModel {
    processor: RefCell<Processor>,
    /// The distribution of the calls' durations and its random generator.
    hold: RefCell<(Exp<f64>, Pcg64Mcg)>,
    /// Set-ups that are neither answered nor cancelled.
    open: RefCell<BTreeSet<String>>,
    standing: RefCell<BTreeSet<String>>,
    /// It receives messages but sends nothing.
    silent: Cell<bool>,
    /// It answers with an error each set-up that it would accept.
    failing: Cell<bool>,
    changed: Notify,
}

impl ServerModel {
    /// A warm call server; the calls' durations are exponentially distributed with the mean `hold_ms`.
    pub fn new(config: ProcessorConfig, hold_ms: u64, seed: u64) -> Rc<ServerModel> {
        let rate = 1.0 / (hold_ms.max(1) as f64 / 1000.0);
        let exp = Exp::new(rate).unwrap_or_else(|_| unreachable!("the rate is above 0"));
        Rc::new(ServerModel {
            processor: RefCell::new(Processor::new(config, seed)),
            hold: RefCell::new((exp, Pcg64Mcg::seed_from_u64(seed ^ 0x686f_6c64))),
            open: RefCell::default(),
            standing: RefCell::default(),
            silent: Cell::new(false),
            failing: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Whether it receives messages but sends nothing.
    pub fn silent(&self) -> bool {
        self.silent.get()
    }

    /// Makes it silent, or ends its silence.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.changed.notify_waiters();
    }

    /// Makes it answer set-ups with errors, or normally again.
    pub fn set_failing(&self, failing: bool) {
        self.failing.set(failing);
    }

    /// Sets its speed as a share of its usual speed.
    pub fn set_speed(&self, speed: f64) {
        self.processor.borrow_mut().set_speed(speed);
    }

    /// Drops all its calls, as the death of its process does.
    pub fn clear_calls(&self) {
        self.open.borrow_mut().clear();
        self.standing.borrow_mut().clear();
    }

    /// Restarts its process: it has no calls, is cold and not silent.
    pub fn restart(&self) {
        self.clear_calls();
        self.processor.borrow_mut().start(now());
        self.set_silent(false);
    }

    /// Its established calls.
    pub fn established_calls(&self) -> Vec<String> {
        self.standing.borrow().iter().cloned().collect()
    }

    /// The number of its established calls.
    pub fn standing(&self) -> usize {
        self.standing.borrow().len()
    }

    /// The controller cancels a set-up or ends an established call. Returns whether the call was established.
    pub fn end_call(&self, sid: &str) -> bool {
        self.open.borrow_mut().remove(sid);
        self.standing.borrow_mut().remove(sid)
    }

    /// Its load report, in the form that SIP and IAX2 carry.
    pub fn report(&self) -> String {
        let (util, queue) = self.processor.borrow_mut().report(now());
        let free = CIRCUITS.saturating_sub(self.standing());
        format!("x0:{free};x1:{CIRCUITS};util:{util:.2};queue:{queue:.0}")
    }

    /// Processes a set-up. `emit` receives its events at their time, unless the controller ends the call before.
    pub fn handle_set_up(self: &Rc<Self>, sid: &str, emit: impl Fn(ModelEvent) + 'static) {
        let offer = self.processor.borrow_mut().offer(now());
        if offer == Admission::Crashed {
            return emit(ModelEvent::Down);
        }
        self.open.borrow_mut().insert(sid.to_owned());
        let (server, sid) = (self.clone(), sid.to_owned());
        spawn_local(async move { server.process_call(&sid, offer, emit).await });
    }

    async fn process_call(&self, sid: &str, offer: Admission, emit: impl Fn(ModelEvent)) {
        let (at, wait) = match offer {
            Admission::Accepted(at) => (at, None),
            Admission::Rejected(at, wait) => (at, Some(wait)),
            Admission::Crashed => return,
        };
        self.wait_to_send(at).await;
        if !self.open.borrow_mut().remove(sid) {
            return;
        }
        if let Some(wait) = wait {
            return emit(ModelEvent::Full(wait, self.report()));
        }
        if self.failing.get() {
            return emit(ModelEvent::Error);
        }
        self.standing.borrow_mut().insert(sid.to_owned());
        emit(ModelEvent::Answer);
        let hold = {
            let (exp, rng) = &mut *self.hold.borrow_mut();
            exp.sample(rng)
        };
        self.wait_to_send(now().plus(Span::from_secs(hold))).await;
        if !self.standing.borrow().contains(sid) {
            return;
        }
        let release_at = self.processor.borrow_mut().release(now());
        self.wait_to_send(release_at).await;
        if self.standing.borrow_mut().remove(sid) {
            emit(ModelEvent::Release(self.report()));
        }
    }

    /// Waits until a time, and then until it is not silent.
    async fn wait_to_send(&self, at: Time) {
        sleep_until(at).await;
        loop {
            let changed = self.changed.notified();
            if !self.silent.get() {
                return;
            }
            changed.await;
        }
    }
}
