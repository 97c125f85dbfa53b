//! The callers of one controller: sound ones that ask, leave, hang up and come again, and bad ones.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

use lockpoint::core::Sid;
use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::json;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::task::spawn_local;

use crate::callers::Caller;
use crate::event_log::{Ask, EventKind, EventLog};
use crate::path::random_fraction;
use crate::soak::controller::{ControllerProcess, Phase};
use crate::soak::plan::{Plan, SERVERS};

/// The class of all calls.
pub const CLASS: &str = "judge-call";
/// The number of connections that the callers of a controller share.
const CONNECTIONS: usize = 3;
/// New connections come for this long after SIGTERM.
const CONNECTIONS_AFTER_STOP: Duration = Duration::from_millis(300);
/// A set-up that crosses the end of its connection within this time goes again on another one, once.
const CROSSING: Duration = Duration::from_millis(50);
/// How often a caller looks whether its connection and its controller are still there.
const CHECK_INTERVAL: Duration = Duration::from_millis(5);
/// What SIGKILL finds unanswered is lost only if it came later than this after SIGTERM.
const EXCUSED_AFTER_STOP: Duration = Duration::from_millis(700);
/// The probability that callers drop one of their connections at a check, where they do.
const DROP_PROBABILITY: f64 = 0.05;
/// They have read nothing for this long then.
const UNREAD_TIME: Duration = Duration::from_millis(30);
/// How often a refused caller comes again.
const MAX_REPEATS: u32 = 3;
/// How long a bad client keeps its connection.
const BAD_CLIENT_TIME: Duration = Duration::from_millis(600);
/// The share of slow writers, where messages travel in pieces.
const SLOW_WRITERS: f64 = 0.1;
/// The pause between the pieces of a slow writer.
const SLOW_PIECE_PAUSE: Duration = Duration::from_millis(15);
/// The number of these pieces.
const SLOW_PIECES: usize = 6;

/// Passes the events of each call to its caller.
#[derive(Default)]
pub struct Dispatcher(RefCell<BTreeMap<String, mpsc::UnboundedSender<EventKind>>>);

impl Dispatcher {
    fn register(&self, sid: &str) -> mpsc::UnboundedReceiver<EventKind> {
        let (sender, receiver) = mpsc::unbounded_channel();
        self.0.borrow_mut().insert(sid.to_owned(), sender);
        receiver
    }

    /// Passes an event on.
    pub fn dispatch(&self, sid: &str, kind: &EventKind) {
        if !matches!(kind, EventKind::Ready(_) | EventKind::Close(..)) {
            return;
        }
        let closed = self.0.borrow().get(sid).is_some_and(|caller| caller.send(kind.clone()).is_err());
        if closed {
            self.0.borrow_mut().remove(sid);
        }
    }
}

/// The callers of one controller.
pub struct Callers {
    events: EventLog,
    plan: Rc<Plan>,
    controller: Rc<ControllerProcess>,
    dispatcher: Rc<Dispatcher>,
    connections: RefCell<Vec<Rc<Caller>>>,
    rng: RefCell<Pcg64Mcg>,
    placed: Cell<u64>,
}

/// How a call that waits for its answer goes on.
enum Outcome {
    Answered,
    Refused,
    Left,
}

impl Callers {
    /// The callers of a controller.
    pub fn new(
        events: &EventLog,
        plan: &Rc<Plan>,
        controller: &Rc<ControllerProcess>,
        dispatcher: &Rc<Dispatcher>,
    ) -> Rc<Callers> {
        let seed = plan.seed.wrapping_mul(31).wrapping_add(controller.number as u64);
        Rc::new(Callers {
            events: events.clone(),
            plan: plan.clone(),
            controller: controller.clone(),
            dispatcher: dispatcher.clone(),
            connections: RefCell::default(),
            rng: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            placed: Cell::new(0),
        })
    }

    fn fraction(&self) -> f64 {
        random_fraction(&mut self.rng.borrow_mut())
    }

    /// Requests calls until a time.
    pub async fn request_calls(self: Rc<Self>, until: Instant) {
        while Instant::now() < until {
            let gap = -(1.0 - self.fraction()).ln() / self.plan.rate;
            tokio::time::sleep(Duration::from_secs_f64(gap)).await;
            spawn_local(self.clone().place_call(0));
            if self.plan.bad_clients && self.fraction() < 0.05 {
                spawn_local(self.clone().be_a_bad_client());
            }
        }
    }

    /// Keeps connections open, on which releases can be told.
    pub async fn keep_connections(self: Rc<Self>) {
        loop {
            let connection = self.connection().await;
            let drops = self.plan.callers_disconnect && self.fraction() < DROP_PROBABILITY;
            // Without another connection soon nobody could be told anything.
            if let Some(caller) =
                connection.filter(|_| drops && self.controller.phase.get() == Phase::Serving)
            {
                self.drop_connection(&caller).await;
            }
            tokio::time::sleep(CHECK_INTERVAL * 4).await;
        }
    }

    /// Ends a connection with what has arrived on it last unread.
    async fn drop_connection(&self, caller: &Caller) {
        caller.stop_reading();
        tokio::time::sleep(UNREAD_TIME).await;
        if self.fraction() < 0.5 {
            caller.drop_connection();
        } else {
            caller.reset_connection();
        }
    }

    fn accepts_connections(&self) -> bool {
        match self.controller.phase.get() {
            Phase::Serving => true,
            Phase::Stopping(since) => since.elapsed() < CONNECTIONS_AFTER_STOP,
            Phase::Starting | Phase::Ended(_) => false,
        }
    }

    /// An open connection; a new one while there are few.
    async fn connection(&self) -> Option<Rc<Caller>> {
        self.connections.borrow_mut().retain(|caller| !caller.is_disconnected());
        if self.connections.borrow().len() < CONNECTIONS && self.accepts_connections() {
            if let Ok(caller) = Caller::try_connect(&self.events, "caller", self.controller.at).await {
                if self.plan.callers_confirm {
                    caller.confirm_releases();
                }
                self.connections.borrow_mut().push(Rc::new(caller));
            }
        }
        let connections = self.connections.borrow();
        let picked = (self.fraction() * connections.len() as f64) as usize;
        connections.get(picked).cloned()
    }

    /// A connection for one caller alone: a slow writer's set-up must not be mixed with another's.
    async fn own_connection(&self) -> Option<Rc<Caller>> {
        if !self.accepts_connections() {
            return None;
        }
        let connected = Caller::try_connect(&self.events, "caller", self.controller.at).await;
        connected.ok().map(Rc::new)
    }

    fn next_call(&self) -> String {
        self.placed.set(self.placed.get() + 1);
        let number = (self.plan.seed << 40) | ((self.controller.number as u64) << 32) | self.placed.get();
        Sid::from_number(number).to_string()
    }

    fn new_ask(&self) -> Rc<Ask> {
        let left = self.plan.deadline.mul_f64(0.5 + 0.5 * self.fraction());
        let number = self.rng.borrow_mut().next_u64();
        Rc::new(Ask {
            class: CLASS.to_owned(),
            number: format!("{number:016x}"),
            text: format!("{number:016x}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0\r\n"),
            left_ms: left.as_millis() as u64,
        })
    }

    fn open_line(&self, sid: &str, ask: &Ask) -> String {
        let dest = (self.fraction() * SERVERS as f64) as usize;
        let line = json!({"msg": "open", "sid": sid, "text": ask.text, "attrs": {"class": ask.class,
            "left": ask.left_ms.to_string(), "key": ask.number, "extras": format!("dest:{dest};width:1;via:-1")}});
        format!("{line}\n")
    }

    /// Writes a set-up, whole, in pieces or slowly.
    async fn write_set_up(
        &self,
        caller: &Caller,
        slow: bool,
        sid: &str,
        ask: &Rc<Ask>,
    ) -> std::io::Result<()> {
        let line = self.open_line(sid, ask);
        let asked = || self.events.record("caller", sid, EventKind::Asked(ask.clone()));
        if slow {
            let (most, last) = line.split_at(line.len() - 1);
            for piece in most.as_bytes().chunks(most.len().div_ceil(SLOW_PIECES)) {
                caller.try_send(0, piece).await?;
                tokio::time::sleep(SLOW_PIECE_PAUSE).await;
            }
            asked();
            return caller.try_send(0, last.as_bytes()).await;
        }
        asked();
        let pieces = if self.plan.in_pieces { 30 } else { 0 };
        caller.try_send(pieces, line.as_bytes()).await
    }

    async fn place_call(self: Rc<Self>, repeats: u32) {
        let slow = self.plan.in_pieces && self.fraction() < SLOW_WRITERS;
        let caller = if slow { self.own_connection().await } else { self.connection().await };
        let Some(caller) = caller else { return };
        let (sid, ask) = (self.next_call(), self.new_ask());
        let mut outcomes = self.dispatcher.register(&sid);
        if self.write_set_up(&caller, slow, &sid, &ask).await.is_err() {
            return self.events.record("caller", &sid, EventKind::GaveUp);
        }
        match self.await_answer(caller, &sid, &ask, &mut outcomes).await {
            Outcome::Answered => self.hold_call(&sid, &mut outcomes).await,
            Outcome::Refused if repeats < MAX_REPEATS && self.fraction() < self.plan.repeats => {
                spawn_local(async move { self.place_call(repeats + 1).await });
            }
            Outcome::Refused | Outcome::Left => {}
        }
    }

    async fn await_answer(
        &self,
        mut caller: Rc<Caller>,
        sid: &str,
        ask: &Ask,
        outcomes: &mut mpsc::UnboundedReceiver<EventKind>,
    ) -> Outcome {
        let mut asked_at = Instant::now();
        let leaves = self.fraction() < self.plan.impatient;
        let leaves_at = asked_at + Duration::from_secs_f64(0.4 * self.fraction());
        let mut went_again = false;
        loop {
            match tokio::time::timeout(CHECK_INTERVAL, outcomes.recv()).await {
                Ok(Some(EventKind::Ready(_))) => return Outcome::Answered,
                Ok(_) => return Outcome::Refused,
                Err(_) => {}
            }
            if leaves && Instant::now() >= leaves_at {
                self.events.record("caller", sid, EventKind::GaveUp);
                caller.close(sid, 16).await;
                return Outcome::Left;
            }
            if !caller.is_disconnected() {
                continue;
            }
            // An answer may have been read right before the end.
            if let Ok(outcome) = outcomes.try_recv() {
                return if matches!(outcome, EventKind::Ready(_)) {
                    Outcome::Answered
                } else {
                    Outcome::Refused
                };
            }
            if caller.has_dropped() || self.is_excused(asked_at) {
                self.events.record("caller", sid, EventKind::GaveUp);
                return Outcome::Left;
            }
            if went_again || asked_at.elapsed() > CROSSING + 2 * CHECK_INTERVAL {
                return Outcome::Left; // lost: the checker finds no answer
            }
            (went_again, asked_at) = (true, Instant::now());
            let line = self.open_line(sid, ask);
            let connected = Caller::try_connect(&self.events, "caller", self.controller.at).await;
            let sent = match &connected {
                Ok(next) => next.try_send(0, line.as_bytes()).await.is_ok(),
                Err(_) => false,
            };
            match connected {
                Ok(next) if sent => caller = Rc::new(next),
                _ => {
                    self.events.record("caller", sid, EventKind::GaveUp);
                    return Outcome::Left;
                }
            }
        }
    }

    /// Whether a call that has no answer is not lost: its controller was killed, without a stop or before the call had to be
    /// answered.
    fn is_excused(&self, asked_at: Instant) -> bool {
        match self.controller.phase.get() {
            Phase::Ended(None) | Phase::Starting => true,
            Phase::Ended(Some(stopped_at)) => {
                asked_at.saturating_duration_since(stopped_at) <= EXCUSED_AFTER_STOP
            }
            Phase::Serving | Phase::Stopping(_) => false,
        }
    }

    /// Waits for the release of a standing call, or hangs up.
    async fn hold_call(&self, sid: &str, outcomes: &mut mpsc::UnboundedReceiver<EventKind>) {
        let generation = self.controller.generation.get();
        let hangs_up_at =
            (self.fraction() < 0.2).then(|| Instant::now() + self.plan.hold.mul_f64(self.fraction()));
        loop {
            if tokio::time::timeout(CHECK_INTERVAL * 4, outcomes.recv()).await.is_ok() {
                return;
            }
            let phase = self.controller.phase.get();
            if self.controller.generation.get() != generation || matches!(phase, Phase::Ended(_)) {
                let planned = self.controller.ended_by_stop.get();
                let kind = if planned { EventKind::Orphaned } else { EventKind::GaveUp };
                return self.events.record("caller", sid, kind);
            }
            if hangs_up_at.is_some_and(|at| Instant::now() >= at) {
                return self.hang_up(sid, generation).await;
            }
        }
    }

    async fn hang_up(&self, sid: &str, generation: u32) {
        let Some(caller) = self.connection().await else {
            return self.events.record("caller", sid, EventKind::GaveUp); // it cannot say so, and no longer waits
        };
        if caller.try_close(sid, 16).await.is_err() {
            return self.events.record("caller", sid, EventKind::GaveUp);
        }
        self.events.record("caller", sid, EventKind::HungUp);
        // Not held on to: its client closes it when the controller does.
        let connection = Rc::downgrade(&caller);
        drop(caller);
        tokio::time::sleep(Duration::from_secs(2)).await;
        // What a controller had to pass on when it was killed is not passed on.
        let disconnected = connection.upgrade().is_none_or(|caller| caller.is_disconnected());
        if self.controller.generation.get() != generation || disconnected {
            self.events.record("caller", sid, EventKind::GaveUp);
        }
    }

    async fn be_a_bad_client(self: Rc<Self>) {
        if !self.accepts_connections() {
            return;
        }
        let Ok(mut stream) = TcpStream::connect(self.controller.at).await else { return };
        let (sid, ask) = (self.next_call(), self.new_ask());
        let line = self.open_line(&sid, &ask);
        let bytes = match (self.fraction() * 5.0) as usize {
            0 => b"{\"msg\":\"open\",\"sid\":5}\n".repeat(20),
            1 => line.as_bytes()[..line.len() / 2].to_vec(),
            2 => vec![b'x'; 20_000],
            3 => format!("{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{}},\"code\":16}}\n")
                .repeat(50)
                .into_bytes(),
            _ => {
                // Asks, and closes with its set-up unanswered.
                self.events.record("caller", &sid, EventKind::Asked(ask.clone()));
                let _ = stream.write_all(line.as_bytes()).await;
                let _ = stream.set_zero_linger();
                drop(stream);
                return self.events.record("caller", &sid, EventKind::GaveUp);
            }
        };
        let _ = stream.write_all(&bytes).await;
        tokio::time::sleep(BAD_CLIENT_TIME).await;
    }
}
