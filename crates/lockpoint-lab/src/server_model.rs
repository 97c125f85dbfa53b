//! A call server as a model: a processor, the calls that it has, and what can be wrong with it. Both protocols' stand-ins
//! put the same one on a wire.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;

use lockpoint::interface::{Span, Time};
use rand_core::SeedableRng;
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::processor::{Admission, Processor, ProcessorConfig};
use crate::world::{now, sleep_until};

/// Lines that a call server says it has.
const LINES: usize = 10_000;

/// What a call server says of a call, in time.
#[derive(Debug, Clone, PartialEq)]
pub enum ModelEvent {
    /// It stands.
    Answer,
    /// The processor is full, for a wait so long; with a report.
    Full(Span, String),
    /// Something is wrong with it.
    Error,
    /// It is over; with a report.
    Release(String),
    /// The machine is down: everything on it is cut.
    Down,
}

/// A call server behind its wire.
#[derive(Debug)]
pub struct ServerModel {
    processor: RefCell<Processor>,
    hold: RefCell<(Exp<f64>, Pcg64Mcg)>,
    /// Set-ups that are neither answered nor given up.
    open: RefCell<BTreeSet<String>>,
    standing: RefCell<BTreeSet<String>>,
    /// Hears and says nothing.
    silent: Cell<bool>,
    /// Answers with an error what it would take.
    errs: Cell<bool>,
    changed: Notify,
}

impl ServerModel {
    /// A machine that has been up for long; calls stand for `hold_ms` in the mean, exponentially.
    pub fn new(config: ProcessorConfig, hold_ms: u64, seed: u64) -> Rc<ServerModel> {
        let rate = 1.0 / (hold_ms.max(1) as f64 / 1000.0);
        let exp = Exp::new(rate).unwrap_or_else(|_| unreachable!("a rate above 0"));
        Rc::new(ServerModel {
            processor: RefCell::new(Processor::new(config, seed)),
            hold: RefCell::new((exp, Pcg64Mcg::seed_from_u64(seed ^ 0x686f_6c64))),
            open: RefCell::default(),
            standing: RefCell::default(),
            silent: Cell::new(false),
            errs: Cell::new(false),
            changed: Notify::new(),
        })
    }

    /// Whether it hears and says nothing.
    pub fn silent(&self) -> bool {
        self.silent.get()
    }

    /// From now on it is silent, or speaks again.
    pub fn set_silent(&self, silent: bool) {
        self.silent.set(silent);
        self.changed.notify_waiters();
    }

    /// From now on it answers with errors, or no longer.
    pub fn set_failing(&self, errs: bool) {
        self.errs.set(errs);
    }

    /// From now on it works at this share of its usual speed.
    pub fn set_speed(&self, speed: f64) {
        self.processor.borrow_mut().set_speed(speed);
    }

    /// Its process is gone, and all its calls with it.
    pub fn clear_calls(&self) {
        self.open.borrow_mut().clear();
        self.standing.borrow_mut().clear();
    }

    /// Its process starts anew, and cold.
    pub fn restart(&self) {
        self.clear_calls();
        self.processor.borrow_mut().start(now());
        self.set_silent(false);
    }

    /// Calls that stand here.
    pub fn standing(&self) -> usize {
        self.standing.borrow().len()
    }

    /// A set-up was given up, or a call that stood ended by the controller. `true`: it stood.
    pub fn end_call(&self, sid: &str) -> bool {
        self.open.borrow_mut().remove(sid);
        self.standing.borrow_mut().remove(sid)
    }

    /// Its report, as SIP and IAX2 carry it.
    pub fn report(&self) -> String {
        let (util, queue) = self.processor.borrow_mut().report(now());
        let free = LINES.saturating_sub(self.standing());
        format!("x0:{free};x1:{LINES};util:{util:.2};queue:{queue:.0}")
    }

    /// Takes a set-up: what follows from it is said in time, unless the call ends before.
    pub fn handle_set_up(self: &Rc<Self>, sid: &str, say: impl Fn(ModelEvent) + 'static) {
        let offer = self.processor.borrow_mut().offer(now());
        if offer == Admission::Crashed {
            return say(ModelEvent::Down);
        }
        self.open.borrow_mut().insert(sid.to_owned());
        let (machine, sid) = (self.clone(), sid.to_owned());
        spawn_local(async move { machine.carry(&sid, offer, say).await });
    }

    async fn carry(&self, sid: &str, offer: Admission, say: impl Fn(ModelEvent)) {
        let (at, wait) = match offer {
            Admission::Accepted(at) => (at, None),
            Admission::Rejected(at, wait) => (at, Some(wait)),
            Admission::Crashed => return,
        };
        self.speaks_at(at).await;
        if !self.open.borrow_mut().remove(sid) {
            return;
        }
        if let Some(wait) = wait {
            return say(ModelEvent::Full(wait, self.report()));
        }
        if self.errs.get() {
            return say(ModelEvent::Error);
        }
        self.standing.borrow_mut().insert(sid.to_owned());
        say(ModelEvent::Answer);
        let hold = {
            let (exp, rng) = &mut *self.hold.borrow_mut();
            exp.sample(rng)
        };
        self.speaks_at(now().plus(Span::from_secs(hold))).await;
        if !self.standing.borrow().contains(sid) {
            return;
        }
        let said = self.processor.borrow_mut().release(now());
        self.speaks_at(said).await;
        if self.standing.borrow_mut().remove(sid) {
            say(ModelEvent::Release(self.report()));
        }
    }

    /// Waits until then, and on for as long as it is silent.
    async fn speaks_at(&self, at: Time) {
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
