//! The decision module of lockpoint; its types, events and actions are in `src/interface.rs`.
//!
//! The base is the adaptive throttling of document C4-183506. Per call server a sliding window counts
//! `requests` (calls that had to be placed there, including those refused here) and `accepts` (set-ups that
//! it took). A server refuses a new call with probability max(0, (requests - K x accepts) / (requests + 1));
//! one random draw per call decides for all servers. Before a call is refused it is diverted to another
//! server that passes it, preferably the one that last took a diverted call. Each departure from the base
//! answers a fault that was observed and is explained where it is made; `docs/design.md` lists them.

#[cfg(test)]
mod in_flight;

use std::collections::BTreeMap;

use rand_core::{RngCore, SeedableRng};
use rand_pcg::Pcg32;
use serde::{Deserialize, Serialize};

use crate::fleet::token_bucket::TokenBucket;
use crate::interface::{
    Action, Attempt, AttemptEnd, CallId, Cause, ClassSettings, DedupScope, Event, ListKind, LoadField,
    LoadReport, NewCall, Number, Outcome, Permits, Repeats, ServerEntry, ServerId, ServerState, Settings,
    Span, Time, TimerToken,
};
use crate::random::Sample;
use crate::rates::{CapacityRate, UsualRate};
use crate::shares::TenantShares;
use crate::timers::{LogLimiter, Timers};
use crate::window::{DemandByRank, Window};

/// K of the adaptive throttling; the document's example has 1.5. Lower values refuse calls on noise. With 1.5
/// and 2 the equilibrium wait is longer, the reaction to waits steeper, and all controllers oscillate
/// together.
const THROTTLE_K: f64 = 1.3;
/// Window of the counts. With 4 s and 10 s, refusals from a fault that is over cause new ones, the more so as
/// refused callers redial; a much shorter window counts noise.
const THROTTLE_WINDOW: Span = Span::from_millis(2_000);
/// The window is extended, up to `LONG_WINDOW`, if it would hold fewer usual calls than this; otherwise a
/// single miss would shut off a healthy server. Higher values react slowly, lower ones to noise.
const MIN_WINDOW_CALLS: f64 = 4.0;
/// Waits up to this fraction of the shortest target set-up time are healthy. Lower values divert calls on
/// chance queues, higher ones react late.
const CONGESTED_FROM: f64 = 0.05;
/// From this fraction of the shortest target on, accepts count for nothing: a call sent now would be
/// established too late. This holds for controllers with recent observations; others react earlier, as the
/// queue may have grown for as long as they did not observe it.
const CONGESTED_TO: f64 = 0.55;
/// The wait assumed after `Outcome::Full`, in shortest targets: longer than any call can use.
const WAIT_WHEN_FULL: f64 = 1.5;
/// `Outcome::Full` multiplies the call's draw by this, so that it does not try every server in turn. Lower
/// values refuse calls that other servers would take.
const DRAW_FACTOR_AFTER_FULL: f64 = 0.7;
/// An observed wait is held for this many observation gaps (see `observation_gap`), then decays. With lower
/// values each of many controllers forgets a congestion before its next call shows it; with higher ones all
/// of them avoid a server long after it has recovered.
const WAIT_HOLD_FACTOR: f64 = 6.0;
/// Up to this many controllers there is no observation gap, however seldom each sends: one call is then much
/// of what a queue can grow by unobserved. Higher values make mid-sized fleets forget congestion, lower ones
/// make small fleets refuse calls on chance queues.
const SMALL_FLEET: f64 = 10.0;
/// Lower bound of the usual rate, in calls per second; lower rates count as this one.
const MIN_USUAL_RATE: f64 = 0.1;
/// How much a wait decays per second, after it has been held, without newer observations: a queue that gets
/// no calls drains one second per second. Lower values avoid the server for too long, higher ones return
/// before the queue has drained.
const WAIT_DECAY_PER_SECOND: f64 = 1.0;
/// A server that answers nothing for this fraction of the shortest target, with a set-up outstanding as long,
/// is silent. Lower values mistake slow servers for silent ones, higher ones lose more calls to dead servers.
const SILENCE_TIMEOUT: f64 = 0.35;
/// The same if servers of half the total size or more are silent together. Lower values shut off healthy
/// servers because of a hiccup that affects all of them, as when many controllers die; higher ones lose the
/// calls sent to a server that is cut off.
const STALL_TIMEOUT: f64 = 0.75;
/// Reserve, before the target, for the second attempt of a call cancelled at a silent server: a fraction of
/// the shortest target. Lower values establish the call too late, higher ones make slow servers look silent.
const RESEND_RESERVE: f64 = 0.125;
/// The reserve is at least this long, which a round trip takes.
const MIN_RESEND_RESERVE: Span = Span::from_millis(100);
/// Reordering of answers by network jitter, as a fraction of the shortest target; a set-up overtaken by more
/// is lost. Lower values cancel calls because of jitter, higher ones detect losses late.
const REORDER_TOLERANCE: f64 = 0.075;
/// The tolerance is at least this long.
const MIN_REORDER_TOLERANCE: Span = Span::from_millis(40);
/// A delayed set-up is rechecked after this fraction of the shortest target. Higher values detect a loss when
/// the target can no longer be met, lower ones cost work.
const RECHECK_INTERVAL: f64 = 0.125;
/// The interval is at least this long.
const MIN_RECHECK_INTERVAL: Span = Span::from_millis(20);
/// A silent or congested server is tested with one ordinary call at a time, at this fraction of the calls
/// that a server of its size usually gets from this controller, and hence from all controllers, however many
/// there are. With higher values the tests alone congest a server that is slow and not silent, with lower
/// ones its recovery is noticed late.
const TEST_CALL_RATE: f64 = 0.5;
/// While the responsive servers make up no more than this fraction of the total size, diverted calls to warm
/// servers are limited (see `WARM_DIVERSION_FACTOR`), except in fleets of up to `SMALL_FLEET` controllers.
const ALL_RESPONSIVE: f64 = 0.9;
/// A warm server then gets at most this many times its usual calls as diverted ones. With higher values all
/// controllers congest the small servers before any sees a wait, with lower ones calls are refused.
const WARM_DIVERSION_FACTOR: f64 = 8.0;
/// A cold server gets this many times its usual calls, scaled by its warmth: in a fault it gets more than its
/// share, and the throttle sees the waits. Lower values leave it idle while calls are refused, higher ones
/// flood it at once.
pub const COLD_RATE_FACTOR: f64 = 1.5;
/// All controllers together send a cold server, within the overload time, at most this fraction of the load
/// that makes it fail in that time.
const COLD_SAFETY_FACTOR: f64 = 0.75;
/// A permit to send one call to a cold server expires after this fraction of the overload time. With higher
/// values unused permits of all controllers add up to a burst, with lower ones they expire before a call
/// needs them.
pub const COLD_PERMIT_LIFETIME: f64 = 0.5;
/// The same where the bound on a cold server's load leaves no room for more.
const MIN_COLD_PERMIT_LIFETIME: f64 = 0.25;
/// The ramp of a cold server keeps room for calls of higher worth as if this fraction had to be refused,
/// lowest worth first: a call of a class that such a cut would hit needs correspondingly more permits in the
/// bucket, so permits closer to their expiry. With higher values calls of the lowest worth hardly get
/// through.
const COLD_PRIORITY_CUT: f64 = 0.5;
/// Window of the counts of a dialled number whose lines were all busy, and of the demand by rank.
const LONG_WINDOW: Span = Span::from_millis(10_000);
/// Numbers tracked at most; bounds memory.
const MAX_TRACKED_NUMBERS: usize = 1_024;
/// The final answer is due this many ticks before the caller gives up.
const FINAL_ANSWER_TICKS: u64 = 2;
/// Retry-after time of refusals: a redial so soon can still be established within its target. Longer times
/// turn redials into late calls, which displace calls that could be in time.
const RETRY_AFTER: Span = Span::from_millis(100);
/// Minimum interval between log lines of one kind.
const LOG_INTERVAL: Span = Span::from_millis(5_000);
/// Delay before a failed subscription to the server list is repeated.
const RESUBSCRIBE_DELAY: Span = Span::from_millis(1_000);

/// A set-up sent to a call server and not yet answered.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct OutstandingAttempt {
    call: CallId,
    attempt: Attempt,
    sent: Time,
}

/// What this controller knows about a call server.
#[derive(Debug, Serialize, Deserialize)]
struct Server {
    entry: ServerEntry,
    /// Requests and accepts for the throttle.
    counts: Window,
    #[serde(rename = "out")]
    outstanding: Vec<OutstandingAttempt>,
    /// The last observed wait, and when it was observed.
    #[serde(rename = "wait")]
    observed_wait: (Span, Time),
    /// When the most recently sent of the answered set-ups was sent.
    #[serde(rename = "answered")]
    latest_answered_sent_at: Time,
    /// When its processor last gave a sign of life.
    #[serde(rename = "heard")]
    last_alive_at: Time,
    /// Whether it gave no answer within the silence timeout; only test calls are sent to it.
    silent: bool,
    /// The earliest time of the next test call, if it is silent or congested.
    #[serde(rename = "test_at")]
    next_test_at: Time,
    /// Permits to send to it. While it is cold every call needs one, later only diverted calls.
    #[serde(rename = "rights")]
    permits: Option<TokenBucket>,
    /// Its lines or circuits as last reported; they are proportional to its size.
    lines: Option<f64>,
    /// By how much its answers may be out of order.
    #[serde(rename = "out_of_turn")]
    reorder_tolerance: Span,
}

impl Server {
    fn new(entry: ServerEntry, now: Time, reorder_tolerance: Span) -> Self {
        let no_wait = Span::default();
        Self {
            entry,
            counts: Window::new(THROTTLE_WINDOW),
            outstanding: Vec::new(),
            observed_wait: (no_wait, entry.started),
            latest_answered_sent_at: Time::default(),
            last_alive_at: now,
            silent: false,
            next_test_at: now,
            permits: None,
            lines: None,
            reorder_tolerance,
        }
    }

    /// Its lines; `None` if it has not reported any.
    fn reported_lines(&self) -> Option<f64> {
        self.lines.filter(|&lines| lines > 0.0)
    }

    /// Age of the oldest outstanding set-up that is not lost, so may still be in the server's queue.
    fn oldest_age(&self, now: Time) -> Span {
        let queued = self.outstanding.iter().filter(|attempt| !self.is_lost(attempt));
        queued.map(|attempt| now.since(attempt.sent)).max().unwrap_or_default()
    }

    /// A processor answers in order: a set-up sent clearly before one that was answered is lost. Guards
    /// against links or processors that drop some of the set-ups and seem alive all the while.
    fn is_lost(&self, attempt: &OutstandingAttempt) -> bool {
        self.latest_answered_sent_at.since(attempt.sent) > self.reorder_tolerance
    }

    /// The wait that a set-up sent now would meet: the last observed one, less what has drained after `hold`,
    /// or the age of the oldest outstanding set-up if that is longer. Guards against a queue that grows while
    /// the accepts still look healthy: `Outcome::Full` comes only when the wait exceeds every target.
    fn estimated_wait(&self, now: Time, hold: Span) -> Span {
        let (wait, observed_at) = self.observed_wait;
        let decay = now.since(observed_at).saturating_sub(hold).scale(WAIT_DECAY_PER_SECOND);
        let decayed = wait.saturating_sub(decay);
        decayed.max(self.oldest_age(now))
    }

    /// Whether it gave no sign of life for `timeout`, although for as long a set-up has been overdue by the
    /// last observed wait. A server that is merely slow still answers in order.
    fn is_unresponsive(&self, timeout: Span, now: Time) -> bool {
        let (wait, _) = self.observed_wait;
        now.since(self.last_alive_at) > timeout && self.oldest_age(now).saturating_sub(wait) > timeout
    }
}

/// Where the set-up of a call stands.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Stage {
    /// An attempt is outstanding.
    #[serde(rename = "Out")]
    AttemptOutstanding { server: ServerId, attempt: Attempt, sent: Time },
    /// It waits until the call server has released the resources of its last attempt.
    Releasing,
}

/// A call that has not got its final answer.
#[derive(Debug, Serialize, Deserialize)]
struct Call {
    /// The call as the caller requested it.
    #[serde(rename = "new")]
    request: NewCall,
    /// Its worth, which is compared with that of other calls.
    rank: f64,
    /// Whether it is within its tenant's share.
    #[serde(rename = "within")]
    within_share: bool,
    #[serde(rename = "came")]
    arrived_at: Time,
    stage: Stage,
    /// Number of attempts made so far.
    attempts: u32,
    /// Servers at which an attempt has failed.
    #[serde(rename = "tried")]
    tried_servers: Vec<ServerId>,
    /// Random number from 0 to 1: one for all servers, as with one for each the chances to pass somewhere
    /// would add up.
    draw: f64,
    /// Where and when the first attempt was sent that may have been executed.
    #[serde(rename = "may_have_run")]
    possibly_executed: Option<(ServerId, Time)>,
    /// Servers that answered with an error, or whose connection broke before the answer, in order.
    #[serde(rename = "erred")]
    failed_servers: Vec<ServerId>,
}

/// What to do when a timer expires.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum TimerPurpose {
    /// Give the call its final answer: the caller is about to give up.
    #[serde(rename = "LastAnswer")]
    FinalAnswer(CallId),
    /// Check whether the attempt has to be cancelled.
    #[serde(rename = "Review")]
    ReviewAttempt(CallId, Attempt),
    /// Send the call again: the resend delay after its last attempt is over.
    #[serde(rename = "Released")]
    Resend(CallId),
    /// Repeat the failed subscription to the server list.
    #[serde(rename = "Watch")]
    Resubscribe,
}

/// The decision module of one controller.
#[derive(Debug, Serialize, Deserialize)]
pub struct Controller {
    #[serde(skip)]
    settings: Settings,
    rng: Pcg32,
    /// Time of the latest event; never steps back.
    now: Time,
    /// The shortest target set-up time of all classes.
    #[serde(rename = "shortest_aim")]
    shortest_target: Span,
    servers: BTreeMap<ServerId, Server>,
    /// Calls without a final answer.
    calls: BTreeMap<CallId, Call>,
    timers: Timers<TimerPurpose>,
    /// The server that last took a diverted call.
    #[serde(rename = "kept")]
    last_taker: Option<ServerId>,
    /// Dialled numbers whose lines were all busy, with the requests and accepts of each.
    #[serde(rename = "numbers")]
    busy_numbers: BTreeMap<Number, Window>,
    /// Calls by worth, to calculate which ranks a given cut affects.
    demand: DemandByRank,
    /// The usual rate at which a server of mean size accepts calls from this controller.
    usual: UsualRate,
    /// The highest rate of accepts per line in service; it bounds the permits for cold servers.
    #[serde(default = "new_capacity_rate")]
    capacity_rate: CapacityRate,
    /// Each tenant's share of the accepted calls.
    shares: TenantShares,
    /// Permit requests to append to the actions of the current event.
    #[serde(skip)]
    permit_requests: Vec<Action>,
    #[serde(skip)]
    log_limiter: LogLimiter,
}

fn new_capacity_rate() -> CapacityRate {
    CapacityRate::new(LONG_WINDOW)
}

impl Controller {
    /// A controller that knows only its settings. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let shortest_target =
            settings.classes.iter().map(|class| class.setup_target).min().unwrap_or_default();
        let shares = TenantShares::new(&settings.tenant_shares);
        Self {
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now: Time::default(),
            shortest_target,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: Timers::default(),
            last_taker: None,
            busy_numbers: BTreeMap::new(),
            demand: DemandByRank::new(LONG_WINDOW),
            usual: UsualRate::new(LONG_WINDOW),
            capacity_rate: new_capacity_rate(),
            shares,
            permit_requests: Vec::new(),
            log_limiter: LogLimiter::default(),
        }
    }

    /// Applies new settings and keeps the state. The classes must keep their indices.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.shortest_target =
            settings.classes.iter().map(|class| class.setup_target).min().unwrap_or_default();
        self.shares.update(&settings.tenant_shares);
        self.settings = settings;
    }

    /// Processes an event and appends the actions in order. A clock that steps back counts as stopped.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.usual.start(self.now) && self.settings.list_needs_subscription {
            actions.push(Action::SubscribeList(true));
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, actions),
            Event::Call(call) => self.on_call(call, actions),
            Event::Established { call, attempt, server, took } => {
                self.on_established(call, attempt, server, took)
            }
            Event::Ended(end) => self.on_ended(end, actions),
            Event::HungUp(call) => self.on_hung_up(call, actions),
            Event::Timer(token) => self.on_timer(token, actions),
            Event::Load { server, outcome: _, load } => self.read_load(server, &load),
            Event::Observation { server, wait, silent, at } => self.on_observation(server, wait, silent, at),
            Event::PermitsRequested { from, server, permits } => {
                self.lend_permits(from, server, permits, actions)
            }
            Event::PermitsReceived { server, permits } => {
                if let Some(bucket) = self.servers.get_mut(&server).and_then(|s| s.permits.as_mut()) {
                    bucket.borrow(permits);
                }
            }
            Event::PeerMessage { from: _, data: _ } => {} // peers' observations come as `Event::Observation`
        }
        actions.append(&mut self.permit_requests);
    }

    /// Number of listed servers that get no calls at `now`: they drain, have no lines, or are silent.
    pub fn unavailable_servers(&self, now: Time) -> usize {
        let timeout = self.silence_timeout();
        let unavailable = |s: &&Server| {
            let takes_no_calls = s.entry.state == ServerState::Draining || s.lines == Some(0.0);
            s.entry.state != ServerState::Gone
                && (takes_no_calls || s.silent || s.is_unresponsive(timeout, now))
        };
        self.servers.values().filter(unavailable).count()
    }

    // ---- Server list ------------------------------------------------------------------------

    fn on_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => return self.set_timer(RESUBSCRIBE_DELAY, TimerPurpose::Resubscribe, actions),
            ListKind::Full | ListKind::Cached => {
                for known in self.servers.values_mut() {
                    if !entries.iter().any(|e| e.server == known.entry.server) {
                        known.entry.state = ServerState::Gone;
                    }
                }
            }
            ListKind::Delta => {}
        }
        let tolerance = self.shortest_target.scale(REORDER_TOLERANCE).max(MIN_REORDER_TOLERANCE);
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                // A restart of the server voids all observations of it; its outstanding set-ups stay.
                Some(known) if known.entry.started != entry.started => {
                    let outstanding = std::mem::take(&mut known.outstanding);
                    *known = Server { outstanding, ..Server::new(entry, self.now, tolerance) };
                }
                Some(known) => known.entry = entry,
                None => {
                    self.servers.insert(entry.server, Server::new(entry, self.now, tolerance));
                }
            }
        }
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || !s.outstanding.is_empty());
    }

    // ---- Incoming calls -----------------------------------------------------------------

    fn on_call(&mut self, request: NewCall, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&request.call) {
            return;
        }
        let within_share = self.shares.charge(request.tenant);
        let rank = self.current_worth(&request);
        self.demand.add(self.now, rank);
        let draw = self.rng.uniform();
        let call = Call {
            request,
            rank,
            within_share,
            arrived_at: self.now,
            stage: Stage::Releasing,
            attempts: 0,
            tried_servers: Vec::new(),
            draw,
            possibly_executed: None,
            failed_servers: Vec::new(),
        };
        if self.time_left(&call) == Span::default() || !self.number_allows(request.number) {
            return self.refuse_or_fail(&call, actions);
        }
        match self.choose_server(&call, true) {
            Some(server) => {
                let time_left = self.time_left(&call);
                self.set_timer(time_left, TimerPurpose::FinalAnswer(request.call), actions);
                self.send(call, server, actions);
            }
            None => self.refuse_or_fail(&call, actions),
        }
    }

    /// Time until the final answer is due.
    fn time_left(&self, call: &Call) -> Span {
        let margin = Span(self.settings.tick.0.saturating_mul(FINAL_ANSWER_TICKS));
        call.request.valid_until.since(self.now).saturating_sub(margin)
    }

    /// Chooses a server: the first choice unless the throttle refuses it, then the server that last took a
    /// diverted call, then any other in random order; `None` if no server passes the call.
    fn choose_server(&mut self, call: &Call, first_try: bool) -> Option<ServerId> {
        let mut order = self.candidates(call);
        let first = order.iter().position(|&server| self.is_first_choice(server, call));
        let first = first.map(|index| order.remove(index));
        if let Some(server) = first.filter(|&server| self.may_send(server, call)) {
            return Some(server);
        }
        for index in (1..order.len()).rev() {
            let other = (self.rng.next_u32() as usize) % (index + 1);
            order.swap(index, other);
        }
        // The sort is stable: the last taker comes first, the rest stays shuffled.
        order.sort_by_key(|&server| self.last_taker != Some(server));
        let taker = order.into_iter().find(|&server| self.may_send(server, call));
        if let (None, true, Some(server)) = (taker, first_try, first) {
            // A refused call counts as a request at its first choice, unless the ramp of a cold server kept
            // it away. A diverted call does not count: calls that other servers take must not shut this one
            // off.
            if self.throttle_refuses(server, call) {
                self.count(server, 1, 0);
            }
        }
        taker
    }

    /// Servers that may take the call at all, whatever their load.
    fn candidates(&self, call: &Call) -> Vec<ServerId> {
        let class = self.settings.classes.get(call.request.class);
        let allowed = |s: &Server| {
            let cell = s.entry.cell;
            s.entry.state == ServerState::Ready
                && s.lines != Some(0.0)
                && Some(cell) != self.settings.own_cell
                && (!call.request.in_transit || Some(cell) == call.request.first_choice)
                && class.and_then(|c| c.cells.as_ref()).is_none_or(|cells| cells.contains(&cell))
                && !call.tried_servers.contains(&s.entry.server)
                && self.repeat_is_safe(call, class, s)
        };
        self.servers.values().filter(|s| allowed(s)).map(|s| s.entry.server).collect()
    }

    /// Whether another attempt at this server cannot execute the call twice where its class forbids that.
    fn repeat_is_safe(&self, call: &Call, class: Option<&ClassSettings>, server: &Server) -> bool {
        let (Some((first_server, sent)), Some(class)) = (call.possibly_executed, class) else { return true };
        let same = |pick: fn(&ServerEntry) -> u16| {
            self.servers.get(&first_server).is_some_and(|first| pick(&first.entry) == pick(&server.entry))
        };
        match class.repeats {
            Repeats::Free => true,
            Repeats::SingleShot => false,
            Repeats::Guarded => {
                self.now.since(sent) < class.dedup_window
                    && match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => same(|e| e.zone),
                        DedupScope::Cell => same(|e| e.cell.0),
                    }
            }
        }
    }

    fn is_first_choice(&self, server: ServerId, call: &Call) -> bool {
        self.servers.get(&server).is_some_and(|s| Some(s.entry.cell) == call.request.first_choice)
    }

    /// Whether the call asks for another server than this one.
    fn is_diverted(&self, server: ServerId, call: &Call) -> bool {
        call.request.first_choice.is_some() && !self.is_first_choice(server, call)
    }

    /// Whether the call may be sent to this server now.
    fn may_send(&mut self, id: ServerId, call: &Call) -> bool {
        let refused = self.throttle_refuses(id, call);
        let diverted = self.is_diverted(id, call);
        let priority_cut = self.refused_share_at(COLD_PRIORITY_CUT, call.rank);
        let Some(server) = self.servers.get(&id) else { return false };
        let warm_in_large_fleet = !diverted && self.fleet_factor() > 0.0 && !self.is_cold(server);
        // Servers of half the total size are silent together: a common hiccup must not shut off healthy ones
        // (see `STALL_TIMEOUT`).
        let oldest = server.outstanding.iter().map(|attempt| self.now.since(attempt.sent)).max();
        if warm_in_large_fleet
            && oldest.is_some_and(|age| age < self.shortest_target.scale(STALL_TIMEOUT))
            && !self.responsive_exceed(0.5)
        {
            return true;
        }
        if server.silent || refused && warm_in_large_fleet {
            // Test calls only; without them many controllers would hold on to a wait long after it has
            // passed.
            return server.outstanding.is_empty() && self.now >= server.next_test_at;
        }
        !refused && self.permits_allow(id, priority_cut, diverted)
    }

    /// Whether the throttle keeps the call away from this server.
    fn throttle_refuses(&mut self, id: ServerId, call: &Call) -> bool {
        let of_all = self.refused_share(id);
        let of_rank = self.refused_share_at(of_all, call.rank);
        call.draw < self.shares.refused_fraction(of_rank, call.within_share)
    }

    /// Time of this controller's next test call; randomised, so that controllers do not test a server at the
    /// same time.
    fn next_test_time(&mut self, id: ServerId) -> Time {
        let interval = Span::from_secs(1.0 / (self.usual_rate() * self.size(id) * TEST_CALL_RATE));
        self.now.plus(interval.scale(0.5 + self.rng.uniform()))
    }

    fn mark_silent(&mut self, id: ServerId) {
        let next_test_at = self.next_test_time(id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.silent = true;
            server.next_test_at = next_test_at;
        }
    }

    // ---- Throttle --------------------------------------------------------------------

    /// The share of calls to keep away from a server: C4-183506 with accepts weighted by the current wait.
    /// Outstanding set-ups count as requests only once they are late: the counts are low, so each weighs
    /// much.
    fn refused_share(&mut self, id: ServerId) -> f64 {
        let now = self.now;
        let timeout = self.silence_timeout();
        let span =
            Span::from_secs(MIN_WINDOW_CALLS / self.usual_rate()).max(THROTTLE_WINDOW).min(LONG_WINDOW);
        let gap = self.observation_gap();
        let target = self.shortest_target;
        let hold = target.scale(gap * WAIT_HOLD_FACTOR);
        let congested_from = target.scale(CONGESTED_FROM);
        let congested_to = target.scale(CONGESTED_TO / (1.0 + gap));
        let Some(server) = self.servers.get_mut(&id) else { return 1.0 };
        if !server.silent && server.is_unresponsive(timeout, now) {
            self.mark_silent(id);
        }
        let Some(server) = self.servers.get_mut(&id) else { return 1.0 };
        server.counts.set_span(span);
        let (requests, accepts) = server.counts.counts(now);
        let is_late = |attempt: &&OutstandingAttempt| now.since(attempt.sent) > congested_from;
        let late = server.outstanding.iter().filter(is_late).count();
        let congestion = server.estimated_wait(now, hold).fraction_between(congested_from, congested_to);
        let weight = 1.0 - congestion;
        let counted = refusal_probability(f64::from(requests) + late as f64, f64::from(accepts));
        // The limit of the formula, for many calls, with accepts weighted by the wait: so the wait has an
        // effect even at low counts.
        counted.max(1.0 - THROTTLE_K * weight)
    }

    /// The share to refuse of the calls of this worth if `total` of all are refused, lowest worth first.
    fn refused_share_at(&mut self, total: f64, worth: f64) -> f64 {
        let (below, same, all) = self.demand.counts_around(self.now, worth);
        if same <= 0.0 {
            return total;
        }
        ((total * all - below) / same).clamp(0.0, 1.0)
    }

    /// The worth that a call can still earn. A caller who redials has usually used up the target time.
    fn current_worth(&self, call: &NewCall) -> f64 {
        let Some(class) = self.settings.classes.get(call.class) else { return 0.0 };
        let worth = if call.redialled { class.worth * class.late_worth } else { class.worth };
        if worth.is_finite() {
            worth
        } else {
            0.0
        }
    }

    /// The time between this controller's calls to one server beyond the silence timeout, in shortest
    /// targets: for so long it has no new observation of that server. Scaled down to 0 in small fleets.
    fn observation_gap(&mut self) -> f64 {
        let target = self.shortest_target.secs().max(f64::MIN_POSITIVE);
        (1.0 / self.usual_rate() / target - SILENCE_TIMEOUT).max(0.0) * self.fleet_factor()
    }

    /// The share of the fleet beyond `SMALL_FLEET` controllers: 0 in small fleets, near 1 in large ones.
    fn fleet_factor(&self) -> f64 {
        1.0 - (SMALL_FLEET / f64::from(self.settings.controllers.max(1))).min(1.0)
    }

    fn count(&mut self, id: ServerId, requests: u32, accepts: u32) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.counts.add(now, requests, accepts);
        }
    }

    /// The same throttle per dialled number: that all its lines are busy is no fault of the server. Guards
    /// against one number's callers filling the processors. A number is tracked only after its lines were
    /// busy.
    fn number_allows(&mut self, number: Number) -> bool {
        let now = self.now;
        let Some(window) = self.busy_numbers.get_mut(&number) else { return true };
        let (requests, accepts) = window.counts(now);
        if requests == 0 {
            self.busy_numbers.remove(&number);
            return true;
        }
        window.add(now, 1, 0);
        let probability = refusal_probability(f64::from(requests), f64::from(accepts));
        self.rng.uniform() >= probability
    }

    // ---- Permits --------------------------------------------------------------------------

    fn is_cold(&self, server: &Server) -> bool {
        let started = server.entry.started;
        started != Time::default() && self.now.since(started) < self.settings.warm_up
    }

    /// A cold server gets this controller's share of its capacity as permits (`fleet::token_bucket`), spent
    /// at exponentially distributed gaps. Guards against all controllers returning to it together: its window
    /// is empty, so the throttle would pass everything. Diverted calls to a warm server need permits too, or
    /// all controllers fill the few servers that seem healthy before any sees that they are full.
    fn permits_allow(&mut self, id: ServerId, priority_cut: f64, diverted: bool) -> bool {
        let initial_permits = -self.rng.exponential();
        let is_cold = self.servers.get(&id).is_some_and(|s| self.is_cold(s));
        if !is_cold && (!diverted || self.fleet_factor() == 0.0 || self.responsive_exceed(ALL_RESPONSIVE)) {
            return true;
        }
        let Some((bucket, rate, capacity)) = self.refill_permits(id, initial_permits) else { return false };
        let needed = if is_cold { capacity * priority_cut } else { 0.0 };
        let missing = needed - bucket.available();
        if is_cold && missing > 0.0 {
            let permits = Permits::from_calls(missing);
            self.permit_requests.push(Action::RequestPermits { server: id, permits });
        }
        rate > 0.0 && missing <= 0.0
    }

    /// Refills the permits of a server; returns the bucket, its refill rate per second and its capacity. A
    /// new bucket starts with `initial_permits`.
    fn refill_permits(&mut self, id: ServerId, initial_permits: f64) -> Option<(TokenBucket, f64, f64)> {
        let now = self.now;
        let Settings { warm_up, cold_share, overload_factor, .. } = self.settings;
        let initial_share = cold_share.clamp(0.0, 1.0);
        let overload_factor = if overload_factor > 0.0 { overload_factor } else { 1.0 };
        let safe_factor = COLD_SAFETY_FACTOR * overload_factor / (1.0 + COLD_PERMIT_LIFETIME);
        let is_cold = self.servers.get(&id).is_some_and(|s| self.is_cold(s));
        let usual =
            if is_cold { self.usual_rate_for_cold_server() } else { self.usual_rate() } * self.size(id);
        let warm_factor = WARM_DIVERSION_FACTOR / self.fleet_factor();
        let server = self.servers.get_mut(&id)?;
        let (rate, lifetime) = if is_cold {
            let warmth = now.since(server.entry.started).secs() / warm_up.secs();
            let capacity_share = initial_share + (1.0 - initial_share) * warmth;
            let measured = self.capacity_rate.rate(server.reported_lines());
            let max_load = capacity_share * measured.map_or(f64::INFINITY, |rate| rate * overload_factor);
            let rate = capacity_share * usual * COLD_RATE_FACTOR.min(safe_factor);
            // Where the bound is reached, permits expire sooner before they come more slowly.
            let rate = rate.min(max_load / (1.0 + MIN_COLD_PERMIT_LIFETIME));
            (rate, COLD_PERMIT_LIFETIME.min(max_load / rate - 1.0))
        } else {
            (usual * warm_factor, COLD_PERMIT_LIFETIME)
        };
        let overload_time = self.settings.overload_time.max(self.shortest_target);
        let capacity = rate * lifetime * overload_time.secs();
        let bucket = server.permits.get_or_insert(TokenBucket::new(initial_permits, now));
        bucket.refill(now, rate, capacity, || self.rng.exponential());
        Some((*bucket, rate, capacity))
    }

    /// Lends permits for a cold server that are not needed here to another controller.
    fn lend_permits(&mut self, to: u16, id: ServerId, wanted: Permits, actions: &mut Vec<Action>) {
        if self.servers.get(&id).is_some_and(|s| self.is_cold(s)) {
            let initial_permits = -self.rng.exponential();
            self.refill_permits(id, initial_permits);
            let bucket = self.servers.get_mut(&id).and_then(|s| s.permits.as_mut());
            actions.extend(bucket.map(|bucket| {
                let permits = bucket.lend(wanted);
                Action::LendPermits { to, server: id, permits }
            }));
        }
    }

    /// Permits available for a cold server, in calls; `None`: it needs none.
    pub fn permits(&self, id: ServerId) -> Option<f64> {
        self.servers.get(&id).filter(|s| self.is_cold(s))?.permits.map(|bucket| bucket.available())
    }

    /// Consumes a permit for a sent call and schedules the next test call.
    fn record_send(&mut self, id: ServerId, diverted: bool) {
        let permit_size = self.rng.exponential();
        let next_test_at = self.next_test_time(id);
        let needs_permit = diverted || self.servers.get(&id).is_some_and(|s| self.is_cold(s));
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.next_test_at = next_test_at;
        if let Some(bucket) = server.permits.as_mut().filter(|_| needs_permit) {
            bucket.consume(permit_size);
        }
    }

    /// The usual rate of accepts per server of mean size; estimated from incoming calls while none has been
    /// established, as after a restart.
    fn usual_rate(&mut self) -> f64 {
        let arrivals = self.demand.counts_around(self.now, 0.0).2;
        let size = if self.usual.is_known() { 0.0 } else { self.ready_size() };
        self.usual.rate(self.now, arrivals, size).max(MIN_USUAL_RATE)
    }

    /// The usual rate that permits for cold servers are derived from. Until it is known, it is estimated from
    /// accepts where warm servers take calls: a restarted controller would otherwise count refused callers
    /// who redial.
    fn usual_rate_for_cold_server(&mut self) -> f64 {
        let usual = self.usual_rate();
        if self.usual.is_known() || !self.warm_server_accepts() {
            return usual;
        }
        let size = self.ready_size();
        self.usual.recent_rate(self.now, size).clamp(MIN_USUAL_RATE, usual)
    }

    /// Whether a warm server has accepted calls lately.
    fn warm_server_accepts(&mut self) -> bool {
        let now = self.now;
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready && !self.is_cold(s));
        let warm: Vec<ServerId> = ready.map(|s| s.entry.server).collect();
        let mut warm = warm.iter().filter_map(|id| Some(self.servers.get_mut(id)?.counts.counts(now).1));
        warm.any(|accepts| accepts > 0)
    }

    fn record_accept(&mut self, size: f64) {
        self.usual.record_accept(self.now, size);
        if let Some(mean) = self.mean_reported_lines() {
            self.capacity_rate.set_mean_lines(mean);
        }
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        let in_service: Vec<Option<f64>> = ready.map(Server::reported_lines).collect();
        self.capacity_rate.record_accept(self.now, &in_service, self.usual.averaging_time(self.now));
    }

    /// Total size of the ready servers, in units of the mean size.
    fn ready_size(&self) -> f64 {
        let ready = |s: &&Server| s.entry.state == ServerState::Ready;
        self.servers.values().filter(ready).map(|s| self.size_of(s)).sum()
    }

    /// A server's size relative to the mean: by its lines, which were provisioned for its planned calls. A
    /// server that reports no lines counts as of mean size.
    fn size_of(&self, server: &Server) -> f64 {
        let mean = self.mean_reported_lines().unwrap_or(1.0);
        server.reported_lines().unwrap_or(mean) / mean
    }

    /// Mean number of lines of the servers that report any.
    fn mean_reported_lines(&self) -> Option<f64> {
        let reported: Vec<f64> = self.servers.values().filter_map(Server::reported_lines).collect();
        (!reported.is_empty()).then(|| reported.iter().sum::<f64>() / reported.len() as f64)
    }

    fn size(&self, id: ServerId) -> f64 {
        self.servers.get(&id).map_or(1.0, |s| self.size_of(s))
    }

    // ---- Attempts ------------------------------------------------------------------------

    fn send(&mut self, mut call: Call, id: ServerId, actions: &mut Vec<Action>) {
        let now = self.now;
        let call_id = call.request.call;
        let attempt = Attempt(call.attempts as u16);
        call.attempts += 1;
        call.stage = Stage::AttemptOutstanding { server: id, attempt, sent: now };
        let review_after = self.first_review_after(&call);
        if let Some(server) = self.servers.get_mut(&id) {
            server.outstanding.push(OutstandingAttempt { call: call_id, attempt, sent: now });
        }
        self.record_send(id, self.is_diverted(id, &call));
        // If attempts cannot be cancelled, the attempt timeout itself must leave time for a second attempt.
        let timeout = if self.settings.may_cancel { None } else { Some(review_after) };
        actions.push(Action::Send { call: call_id, server: id, timeout });
        self.calls.insert(call_id, call);
        if self.settings.may_cancel {
            self.set_timer(review_after, TimerPurpose::ReviewAttempt(call_id, attempt), actions);
        }
    }

    /// Time from sending an attempt to its first review: the latest that leaves room, within the target, for
    /// the resend delay and another attempt.
    fn first_review_after(&self, call: &Call) -> Span {
        let target =
            self.settings.classes.get(call.request.class).map(|c| c.setup_target).unwrap_or_default();
        let remaining = target.saturating_sub(self.now.since(call.arrived_at));
        let latest =
            remaining.saturating_sub(self.settings.resend_delay).saturating_sub(self.resend_reserve());
        latest.max(self.recheck_interval())
    }

    /// How long a server may leave a set-up unanswered before it counts as silent. If servers do not report
    /// on their processors, a queue looks the same as silence; the timeout is then the longest after which a
    /// cancelled call can still be established elsewhere within its target, less a healthy wait.
    fn silence_timeout(&self) -> Span {
        let shows_queue =
            |field: &LoadField| !matches!(field, LoadField::Idle | LoadField::Circuits | LoadField::Unknown);
        let shortest = self.shortest_target.scale(SILENCE_TIMEOUT);
        if self.settings.load_fields.iter().any(shows_queue) {
            return shortest;
        }
        let remaining = self.shortest_target.saturating_sub(self.settings.resend_delay);
        let reviewed_at = remaining.saturating_sub(self.resend_reserve());
        shortest.max(reviewed_at.saturating_sub(self.shortest_target.scale(CONGESTED_FROM)))
    }

    /// Whether the responsive servers make up more than this share of the total size.
    fn responsive_exceed(&self, share: f64) -> bool {
        let timeout = self.silence_timeout();
        let responsive = |s: &&Server| !s.silent && !s.is_unresponsive(timeout, self.now);
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        ready.filter(responsive).map(|s| self.size_of(s)).sum::<f64>() > share * self.ready_size()
    }

    fn resend_reserve(&self) -> Span {
        self.shortest_target.scale(RESEND_RESERVE).max(MIN_RESEND_RESERVE)
    }

    fn recheck_interval(&self) -> Span {
        self.shortest_target.scale(RECHECK_INTERVAL).max(MIN_RECHECK_INTERVAL)
    }

    /// Cancels an unanswered set-up while the call can still be established elsewhere. Guards against calls
    /// lost at a server that fell silent (hung, vanished, cut off). A slow server that answers others keeps
    /// the set-up.
    fn review_attempt(&mut self, id: CallId, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let Stage::AttemptOutstanding { server, attempt: current, .. } = call.stage else { return };
        if current != attempt {
            return;
        }
        let timeout = self.silence_timeout();
        let has_lost_call = |s: &Server| s.outstanding.iter().any(|o| o.call == id && s.is_lost(o));
        let unanswered = self
            .servers
            .get(&server)
            .is_none_or(|s| s.silent || has_lost_call(s) || s.is_unresponsive(timeout, self.now));
        let has_alternative = self
            .candidates(call)
            .into_iter()
            .any(|s| s != server && self.servers.get(&s).is_some_and(|s| !s.silent));
        let has_alternative = has_alternative && (self.fleet_factor() == 0.0 || self.responsive_exceed(0.5));
        let in_time = self.time_left(call) > self.settings.resend_delay.max(self.resend_reserve());
        if unanswered && has_alternative && in_time && call.attempts < self.settings.max_attempts {
            actions.push(Action::Cancel { call: id, attempt });
            if self.servers.get(&server).is_some_and(has_lost_call) {
                return self
                    .log("lost: a server answers later set-ups first; its overdue are withdrawn", actions);
            }
            self.mark_silent(server);
            self.log("silent: a server answers no set-ups; its calls are withdrawn and diverted", actions);
        } else {
            self.set_timer(self.recheck_interval(), TimerPurpose::ReviewAttempt(id, attempt), actions);
        }
    }

    fn on_established(&mut self, id: CallId, attempt: Attempt, server: ServerId, took: Span) {
        let sent = self.remove_outstanding(server, id, attempt).unwrap_or_default();
        if let Some(server) = self.servers.get_mut(&server) {
            server.latest_answered_sent_at = server.latest_answered_sent_at.max(sent);
        }
        self.record_wait(server, took, self.now);
        let fast_enough = took <= self.shortest_target.scale(CONGESTED_TO);
        self.count(server, 1, u32::from(fast_enough));
        let size = self.ready_size();
        self.record_accept(size);
        let calls_per_window = self.usual_rate() * size * THROTTLE_WINDOW.secs();
        self.shares.record_accept(calls_per_window);
        let Some(call) = self.calls.remove(&id) else { return };
        if !self.is_first_choice(server, &call) {
            self.last_taker = Some(server);
        }
        if let Some(window) = self.busy_numbers.get_mut(&call.request.number) {
            window.add(self.now, 0, 1);
        }
    }

    fn on_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let sent_at = self.remove_outstanding(end.server, end.call, end.attempt);
        self.read_load(end.server, &end.load);
        if sent_at.is_some() {
            self.update_server(&end);
        }
        let Some(call) = self.calls.get_mut(&end.call) else { return };
        if !matches!(call.stage, Stage::AttemptOutstanding { attempt, .. } if attempt == end.attempt) {
            return;
        }
        if end.closed {
            self.calls.remove(&end.call);
            return;
        }
        let Stage::AttemptOutstanding { sent, .. } = call.stage else { return };
        call.tried_servers.push(end.server);
        call.stage = Stage::Releasing;
        match end.outcome {
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent => {
                if end.outcome == Outcome::Full {
                    call.draw *= DRAW_FACTOR_AFTER_FULL;
                }
                self.retry(end.call, actions);
            }
            Outcome::Error | Outcome::Ok => {
                call.possibly_executed.get_or_insert((end.server, sent));
                if end.cause == Cause::NumberBusy {
                    self.record_number_busy(end.call);
                    if let Some(call) = self.calls.remove(&end.call) {
                        self.refuse_or_fail(&call, actions);
                    }
                } else {
                    call.failed_servers.push(end.server);
                    self.retry(end.call, actions);
                }
            }
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                call.possibly_executed.get_or_insert((end.server, sent));
                if end.outcome == Outcome::Reset {
                    call.failed_servers.push(end.server);
                }
                // One tick more than the resend delay, so that it has passed by every component's clock.
                let wait = Span(self.settings.resend_delay.0.saturating_add(self.settings.tick.0));
                self.set_timer(wait, TimerPurpose::Resend(end.call), actions);
            }
        }
    }

    /// Updates the observations of the server from the end of an attempt.
    fn update_server(&mut self, end: &AttemptEnd) {
        let reported = if let Cause::ProcessorFullFor(wait) = end.cause { wait } else { Span::default() };
        let server = self.servers.get(&end.server);
        let estimated = server.map_or(reported, |s| s.estimated_wait(self.now, Span::default()));
        match end.outcome {
            Outcome::Full => {
                match end.cause {
                    // No free line: the processor answered in order, so its wait is unchanged.
                    Cause::NoCircuit => self.record_wait(end.server, estimated, self.now),
                    _ => {
                        let when_full = reported.max(self.shortest_target.scale(WAIT_WHEN_FULL));
                        self.record_wait(end.server, when_full, self.now);
                    }
                }
                self.count(end.server, 1, 0);
                if self.last_taker == Some(end.server) {
                    self.last_taker = None; // the next one is chosen at random
                }
            }
            // The server processed the call: the number or the line was at fault.
            Outcome::Error | Outcome::Ok => {
                self.record_wait(end.server, end.took, self.now);
                self.count(end.server, 1, 1);
            }
            // A reset is the connection's fault, not the processor's: a server that has died refuses the
            // next connection.
            Outcome::Reset => {}
            Outcome::TimedOut | Outcome::Cancelled => self.count(end.server, 1, 0),
            Outcome::ConnectFailed => {
                self.count(end.server, 1, 0);
                self.mark_silent(end.server);
            }
            Outcome::NotSent => {}
        }
    }

    /// Records an observation of the server's wait, which is also a sign of life.
    fn record_wait(&mut self, id: ServerId, wait: Span, at: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            server.last_alive_at = server.last_alive_at.max(at);
            server.observed_wait = (wait, at);
            if std::mem::take(&mut server.silent) {
                // The requests without accepts of the silence would keep calls away from a healthy server.
                server.counts.clear();
            }
        }
    }

    /// Another controller's observation counts if there is no later one here.
    fn on_observation(&mut self, id: ServerId, wait: Span, silent: bool, at: Time) {
        match self.servers.get(&id).is_some_and(|s| s.observed_wait.1 < at) {
            true if silent => self.mark_silent(id),
            true => self.record_wait(id, wait, at),
            false => {}
        }
    }

    /// Takes a reported wait as an observation. A reported queue is converted to a wait by the usual rate of
    /// all controllers; as a slow server needs longer, only an empty queue shortens a longer observed wait.
    fn read_load(&mut self, id: ServerId, load: &LoadReport) {
        let now = self.now;
        let fleet_rate = self.usual_rate() * f64::from(self.settings.controllers.max(1)) * self.size(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        for (field, &value) in self.settings.load_fields.iter().zip(&load.0) {
            match field {
                LoadField::Circuits if value.is_finite() && value >= 0.0 => {
                    server.lines = Some(f64::from(value))
                }
                LoadField::Pending if value.is_finite() && value >= 0.0 => {
                    let wait = Span::from_secs(f64::from(value) / fleet_rate);
                    if wait > server.observed_wait.0 || value < 1.0 {
                        server.observed_wait = (wait, now);
                    }
                }
                LoadField::Wait if value.is_finite() && value >= 0.0 => {
                    server.observed_wait = (Span((f64::from(value) * 1e3) as u64), now);
                }
                _ => {}
            }
        }
    }

    /// Removes an outstanding attempt; returns when it was sent, or `None` if it was not outstanding.
    fn remove_outstanding(&mut self, server: ServerId, call: CallId, attempt: Attempt) -> Option<Time> {
        let server = self.servers.get_mut(&server)?;
        let index = server.outstanding.iter().position(|o| o.call == call && o.attempt == attempt)?;
        Some(server.outstanding.remove(index).sent)
    }

    fn record_number_busy(&mut self, id: CallId) {
        let Some(number) = self.calls.get(&id).map(|call| call.request.number) else { return };
        if number == Number(0) {
            return;
        }
        if self.busy_numbers.len() >= MAX_TRACKED_NUMBERS && !self.busy_numbers.contains_key(&number) {
            self.busy_numbers.pop_first();
        }
        let window = Window::starting_with(LONG_WINDOW, self.now, 1, 0);
        self.busy_numbers.entry(number).or_insert(window);
    }

    /// Sends a call whose attempt failed to another server, or gives it its final answer.
    fn retry(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        let may_retry = call.attempts < self.settings.max_attempts && self.time_left(&call) > Span::default();
        let server = if may_retry {
            self.choose_server(&call, false).or_else(|| self.retry_same_server(&call))
        } else {
            None
        };
        match server {
            Some(server) => self.send(call, server, actions),
            None => self.refuse_or_fail(&call, actions),
        }
    }

    /// The server for a second try after an error or a broken connection, if no other server takes the call.
    /// Guards against calls refused for lack of another server although a server that fails some of its calls
    /// would take them. After errors of two servers the call itself is presumed at fault and is not sent
    /// again.
    fn retry_same_server(&mut self, call: &Call) -> Option<ServerId> {
        let &[server] = call.failed_servers.as_slice() else { return None };
        let class = self.settings.classes.get(call.request.class);
        let known = self.servers.get(&server).filter(|s| s.entry.state == ServerState::Ready)?;
        (self.repeat_is_safe(call, class, known) && self.may_send(server, call)).then_some(server)
    }

    // ---- Final answers -------------------------------------------------------------------

    /// The final answer for a call that is not established: refused, or failed if the call may have been
    /// executed and its class does not allow a repeat at any server.
    fn refuse_or_fail(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let id = call.request.call;
        let class = self.settings.classes.get(call.request.class);
        let may_refuse = call.possibly_executed.is_none()
            || class.is_none_or(|c| match c.repeats {
                Repeats::Free => true,
                Repeats::Guarded => c.dedup_scope == DedupScope::All,
                Repeats::SingleShot => false,
            });
        if may_refuse {
            let delay = if self.settings.may_send_retry_after { RETRY_AFTER } else { Span::default() };
            let retry_after = delay.min(self.settings.max_retry_after);
            actions.push(Action::Refuse { call: id, retry_after });
        } else {
            actions.push(Action::Fail { call: id });
        }
    }

    fn on_hung_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.cancel_outstanding(&call, actions);
    }

    /// Cancels the outstanding attempt of a call that is over. An early hang-up says nothing about the
    /// server: only a call that was kept waiting counts as a request without an accept.
    fn cancel_outstanding(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let Stage::AttemptOutstanding { server, attempt, sent } = call.stage else { return };
        if self.remove_outstanding(server, call.request.call, attempt).is_some()
            && self.now.since(sent) > self.shortest_target.scale(SILENCE_TIMEOUT)
        {
            self.count(server, 1, 0);
        }
        if self.settings.may_cancel {
            actions.push(Action::Cancel { call: call.request.call, attempt });
        }
    }

    // ---- Timers and log ------------------------------------------------------------------

    fn on_timer(&mut self, token: TimerToken, actions: &mut Vec<Action>) {
        match self.timers.take(token) {
            Some(TimerPurpose::FinalAnswer(id)) => {
                // The final answer must be sent before the caller gives up.
                let Some(call) = self.calls.remove(&id) else { return };
                self.cancel_outstanding(&call, actions);
                actions.push(Action::Fail { call: id });
            }
            Some(TimerPurpose::ReviewAttempt(id, attempt)) => self.review_attempt(id, attempt, actions),
            Some(TimerPurpose::Resend(id)) => self.retry(id, actions),
            Some(TimerPurpose::Resubscribe) => actions.push(Action::SubscribeList(true)),
            None => {}
        }
    }

    fn set_timer(&mut self, after: Span, purpose: TimerPurpose, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { after, token: self.timers.set(purpose) });
    }

    /// Writes a line to the log, unless the same line was written within `LOG_INTERVAL`.
    fn log(&mut self, line: &'static str, actions: &mut Vec<Action>) {
        actions.extend(self.log_limiter.admit(self.now, LOG_INTERVAL, line).map(Action::Log));
    }
}

/// The refusal probability of the adaptive throttling (C4-183506).
pub fn refusal_probability(requests: f64, accepts: f64) -> f64 {
    ((requests - THROTTLE_K * accepts) / (requests + 1.0)).max(0.0)
}
