//! Every decision of lockpoint. The types, events and actions stand in `src/interface.rs`.
//!
//! The ordinary path is the adaptive throttling of C4-183506. Per core server a sliding window counts
//! `requests` (calls that had to be placed there, also those refused here) and `accepts` (set-ups that
//! it took). A new call is turned away from a server with probability max(0, (requests - K x accepts) /
//! (requests + 1)); a call that this draw would refuse is first diverted to another server whose own
//! draw lets it pass, preferring the one that last took a diverted call. The departures, each for a
//! symptom, stand beside the code that makes them; `docs/design.md` lists them.

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
use crate::shares::TenantShares;
use crate::timers::{LogLimiter, Timers, UsualRate};
use crate::window::{DemandByRank, Window};

/// Cutoff factor K; the document's example has 1.5. Lower: cuts at noise. Higher (1.5 and 2 were
/// tried): the wait at the balance is longer, the answer to a growing wait steeper, and all gateways
/// swing together.
const CUTOFF: f64 = 1.3;
/// Window of the counts. Four and ten seconds let refusals of a trouble that has passed feed new ones,
/// all the more as each refused caller dials again; much less counts noise.
const WINDOW: Span = Span::from_millis(2_000);
/// The window is longer, up to the long one, where it would hold fewer than this many usual calls: one
/// miss would shut a healthy server. Higher: slow. Lower: counts noise.
const WINDOW_CALLS: f64 = 4.0;
/// Waits up to this share of the shortest aim are healthy. Lower: diverts at chance queues. Higher:
/// acts late.
const PRESSED_FROM: f64 = 0.05;
/// At waits from this share of the shortest aim on, accepts count nothing: a call sent now would stand
/// too late.
/// For a gateway with fresh news; a blind one acts earlier, since the queue may have grown as long unseen.
const PRESSED_TO: f64 = 0.55;
/// A 'full' says that the wait is past what any call can use: this many times the shortest aim.
const FULL_MEANS: f64 = 1.5;
/// A 'full' leaves so much of a call's draw, lest it try all in turn. Lower: refuses what others would take.
const FULL_LEAVES: f64 = 0.7;
/// A wait that was seen holds for this many times the time for which the gateway is blind (see `blind`),
/// and shrinks from then on. Lower: each of many gateways forgets a jam before its next call shows it.
/// Higher: all stay away for long from a server that is well again.
const HOLD: f64 = 6.0;
/// So many gateways are not blind, however seldom each calls: one call more is then much of what a queue
/// can grow by unseen. Higher: mid-sized fleets forget jams. Lower: small fleets refuse at chance queues.
const WATCHED_BY: f64 = 10.0;
/// A usual rate under this many calls a second is read as this.
const RATE_LEAST: f64 = 0.1;
/// After that a wait shrinks by this much a second while nothing newer is known: a queue that gets
/// nothing drains by one second a second. Lower: stays away for long. Higher: returns before the queue
/// is gone.
const WAIT_FADES: f64 = 1.0;
/// A server that has answered nothing for this share of the shortest aim, with a set-up of that age
/// out, is silent. Lower: slow servers look silent. Higher: more calls are lost into a dead one.
const SILENT_FROM: f64 = 0.35;
/// Servers that fall silent together are given this share of the shortest aim. Lower: healthy ones are
/// shut for a hiccup of all, as when many gateways die. Higher: calls of one that is cut off are lost.
const STALL: f64 = 0.75;
/// Kept back, before the aim, for the second attempt of a call that is withdrawn from a silent server: a
/// share of the shortest aim, but no less than the way there and back takes. Lower: it stands too late.
/// Higher: slow servers look silent.
const RESEND_SHARE: f64 = 0.125;
const RESEND_LEAST: Span = Span::from_millis(100);
/// An answer may be this share of the shortest aim out of turn by chance of the way, and no less than the
/// least; more, and the earlier set-up is lost. Lower: calls are withdrawn for jitter. Higher: losses are
/// seen late.
const OUT_OF_TURN: f64 = 0.075;
const OUT_OF_TURN_LEAST: Span = Span::from_millis(40);
/// A held-up set-up is looked at again after this share of the shortest aim. Higher: a loss is seen when
/// the aim can no longer be met. Lower: work.
const REVIEW_SHARE: f64 = 0.125;
const REVIEW_LEAST: Span = Span::from_millis(20);
/// A silent or pressed server is tested with one ordinary call at a time, with this share of the calls that
/// a server of its size usually gets from this gateway, and so from all, whatever their number. Higher: the
/// tests alone press a server that is slow, not silent. Lower: its return is seen late.
const TESTS_SHARE: f64 = 0.5;
/// While servers of less than this share of the size answer, a warm one gets so many times its usual calls as
/// diverted ones. Higher: all gateways jam the small ones before any sees a wait. Lower: calls are refused.
const CALM_FROM: f64 = 0.9;
const WARM_PUSH: f64 = 8.0;
/// A cold server gets this many times its usual calls for its warmth: a trouble brings it more than its
/// share, and the throttle sees the waits. Lower: it idles while calls are refused. Higher: it meets a
/// flood at once.
pub const COLD_RATE_FACTOR: f64 = 1.5;
/// All that the gateways may send to a cold server within the time after which it falls over is at most
/// this share of what makes it fall.
const COLD_SAFE: f64 = 0.75;
/// The right to send one call to a cold server lapses after this share of that time. Higher: unused
/// rights of all gateways add up to a burst. Lower: rights lapse before a call comes for them.
pub const COLD_PERMIT_LIFETIME: f64 = 0.5;
/// The ramp leaves room for the worthier calls as if this share were cut, least worth first: a call of
/// a class that such a cut would hit must find a right so much closer to its lapse. Higher: the least
/// worth hardly gets through.
const COLD_RESERVE: f64 = 0.5;
/// Window of the counts of a number whose lines were all busy, and of the demand by class.
const LONG_WINDOW: Span = Span::from_millis(10_000);
/// Numbers followed at once at most; memory only.
const NUMBERS: usize = 1_024;
/// The last moment for a final answer lies this many rounds before the caller gives up.
const ANSWER_ROUNDS: u64 = 2;
/// A caller who is refused is asked to come back this soon: a redial can then still stand within its aim.
/// Longer waits turn redials into late calls, which take the place of those that could be in time.
const COME_BACK: Span = Span::from_millis(100);
/// Log lines of one kind are this far apart at least.
const LOG_EVERY: Span = Span::from_millis(5_000);
/// A subscription to the list that failed is asked for again after this long.
const WATCH_AGAIN: Span = Span::from_millis(1_000);

/// A set-up that is out at a server.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Out {
    call: CallId,
    attempt: Attempt,
    sent: Time,
}

/// What this gateway knows of a core server.
#[derive(Debug, Serialize, Deserialize)]
struct Server {
    entry: ServerEntry,
    counts: Window,
    out: Vec<Out>,
    /// The wait last seen, and when.
    wait: (Span, Time),
    /// When the latest set-up that was answered was sent.
    answered: Time,
    /// The last sign of life from its processor.
    heard: Time,
    silent: bool,
    /// When a silent server may be tested next.
    test_at: Time,
    /// The rights to send to it. While it is cold all calls need one, then only diverted ones.
    rights: Option<TokenBucket>,
    /// Its lines or circuits, as last told; they go with its size.
    lines: Option<f64>,
    /// By how much its answers may be out of turn.
    out_of_turn: Span,
}

impl Server {
    fn new(entry: ServerEntry, now: Time, out_of_turn: Span) -> Self {
        let nothing = Span::default();
        Self {
            entry,
            counts: Window::new(WINDOW),
            out: Vec::new(),
            wait: (nothing, entry.started),
            answered: Time::default(),
            heard: now,
            silent: false,
            test_at: now,
            rights: None,
            lines: None,
            out_of_turn,
        }
    }

    /// Age of the oldest set-up that may still be waiting its turn.
    fn oldest_out(&self, now: Time) -> Span {
        self.out.iter().filter(|o| !self.lost(o)).map(|o| now.since(o.sent)).max().unwrap_or_default()
    }

    /// A processor has one line: a set-up sent clearly before one that was answered is lost. Guards
    /// against links or processors that drop a share of the set-ups and look alive all the while.
    fn lost(&self, out: &Out) -> bool {
        self.answered.since(out.sent) > self.out_of_turn
    }

    /// The wait that a set-up sent now would meet: the last one seen, less what has drained since, or
    /// the age of the oldest set-up still out if that is longer. Guards against a queue that grows
    /// while its accepts still look healthy ('full' comes only when the wait is past every aim).
    fn wait_now(&self, now: Time, hold: Span) -> Span {
        let (wait, at) = self.wait;
        let faded = wait.saturating_sub(now.since(at).saturating_sub(hold).scale(WAIT_FADES));
        faded.max(self.oldest_out(now))
    }

    /// Whether it has given no sign of life for `patience`, although a set-up was out all the while
    /// that should have been answered by the wait last seen. A server that is merely slow still answers
    /// in its turn.
    fn unanswered(&self, patience: Span, now: Time) -> bool {
        now.since(self.heard) > patience && self.oldest_out(now).saturating_sub(self.wait.0) > patience
    }
}

/// Where a call is.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
enum Stage {
    /// An attempt is out.
    Out { server: ServerId, attempt: Attempt, sent: Time },
    /// It waits until what its last attempt held has been released.
    Releasing,
}

/// A call that is owed its final answer.
#[derive(Debug, Serialize, Deserialize)]
struct Call {
    new: NewCall,
    /// What it is worth against the others, and whether it is within its tenant's share.
    rank: f64,
    within: bool,
    came: Time,
    stage: Stage,
    attempts: u32,
    tried: Vec<ServerId>,
    /// The draw of this call, 0 to 1: one for all servers, or the chances of passing somewhere would
    /// add up.
    draw: f64,
    /// Where and when an attempt first may have run.
    may_have_run: Option<(ServerId, Time)>,
    /// Servers that answered with an error, or whose answer was lost on its way, in order.
    erred: Vec<ServerId>,
}

/// What a timer is for.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
enum Wake {
    LastAnswer(CallId),
    Review(CallId, Attempt),
    Released(CallId),
    Watch,
}

/// The decisions of one gateway.
#[derive(Debug, Serialize, Deserialize)]
pub struct Controller {
    #[serde(skip)]
    settings: Settings,
    rng: Pcg32,
    now: Time,
    shortest_aim: Span,
    servers: BTreeMap<ServerId, Server>,
    calls: BTreeMap<CallId, Call>,
    timers: Timers<Wake>,
    /// The server that last took a diverted call.
    kept: Option<ServerId>,
    /// Numbers whose lines were all busy.
    numbers: BTreeMap<Number, Window>,
    /// Calls by rank of worth, to know what share a cut in the lowest would be.
    demand: DemandByRank,
    /// Calls a second that a server of mean size takes from this gateway in usual times.
    usual: UsualRate,
    /// What of the calls that are taken each tenant may have.
    shares: TenantShares,
    /// What others are to be asked for.
    #[serde(skip)]
    lacked: Vec<Action>,
    #[serde(skip)]
    logged: LogLimiter,
}

impl Controller {
    /// A controller that knows nothing but its settings. The same seed and events give the same actions.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let shortest_aim = settings.classes.iter().map(|c| c.setup_target).min().unwrap_or_default();
        let shares = TenantShares::new(&settings.tenant_shares);
        Self {
            settings,
            rng: Pcg32::seed_from_u64(seed),
            now: Time::default(),
            shortest_aim,
            servers: BTreeMap::new(),
            calls: BTreeMap::new(),
            timers: Timers::default(),
            kept: None,
            numbers: BTreeMap::new(),
            demand: DemandByRank::new(LONG_WINDOW),
            usual: UsualRate::new(LONG_WINDOW),
            shares,
            lacked: Vec::new(),
            logged: LogLimiter::default(),
        }
    }

    /// From now on decides by these settings; what was seen so far stays. The classes keep their places.
    pub fn reconfigure(&mut self, settings: Settings) {
        self.shortest_aim = settings.classes.iter().map(|c| c.setup_target).min().unwrap_or_default();
        self.shares.update(&settings.tenant_shares);
        self.settings = settings;
    }

    /// Takes one event and appends what is to be done, in order. A clock that steps back stands still.
    pub fn handle(&mut self, now: Time, event: Event, actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.usual.start(self.now) && self.settings.list_needs_subscription {
            actions.push(Action::SubscribeList(true));
        }
        match event {
            Event::List { kind, entries } => self.on_list(kind, entries, actions),
            Event::Call(call) => self.on_call(call, actions),
            Event::Established { call, attempt, server, took } => self.on_stands(call, attempt, server, took),
            Event::Ended(end) => self.on_ended(end, actions),
            Event::HungUp(call) => self.on_hung_up(call, actions),
            Event::Timer(token) => self.on_timer(token, actions),
            Event::Load { server, outcome: _, load } => self.read_load(server, &load),
            Event::Observation { server, wait, silent, at } => self.heard_of(server, wait, silent, at),
            Event::PermitsRequested { from, server, permits } => self.lend(from, server, permits, actions),
            Event::PermitsReceived { server, permits } => {
                if let Some(purse) = self.servers.get_mut(&server).and_then(|s| s.rights.as_mut()) {
                    purse.borrow(permits);
                }
            }
            Event::PeerMessage { from: _, data: _ } => {} // what peers see comes as `Observation`
        }
        actions.append(&mut self.lacked);
    }

    /// How many of the listed servers are avoided at `now`: they drain, have no line, or answer nothing.
    pub fn unavailable_servers(&self, now: Time) -> usize {
        let patience = self.patience();
        let shunned = |s: &&Server| {
            let off = s.entry.state == ServerState::Draining || s.lines == Some(0.0);
            s.entry.state != ServerState::Gone && (off || s.silent || s.unanswered(patience, now))
        };
        self.servers.values().filter(shunned).count()
    }

    // ---- The list ------------------------------------------------------------------------

    fn on_list(&mut self, kind: ListKind, entries: Vec<ServerEntry>, actions: &mut Vec<Action>) {
        match kind {
            ListKind::Failed => return self.wake_in(WATCH_AGAIN, Wake::Watch, actions),
            ListKind::Full | ListKind::Cached => {
                for known in self.servers.values_mut() {
                    if !entries.iter().any(|e| e.server == known.entry.server) {
                        known.entry.state = ServerState::Gone;
                    }
                }
            }
            ListKind::Delta => {}
        }
        let turn = self.shortest_aim.scale(OUT_OF_TURN).max(OUT_OF_TURN_LEAST);
        for entry in entries {
            match self.servers.get_mut(&entry.server) {
                // A new start makes old knowledge void; its set-ups still out keep their place.
                Some(known) if known.entry.started != entry.started => {
                    let out = std::mem::take(&mut known.out);
                    *known = Server { out, ..Server::new(entry, self.now, turn) };
                }
                Some(known) => known.entry = entry,
                None => {
                    self.servers.insert(entry.server, Server::new(entry, self.now, turn));
                }
            }
        }
        self.servers.retain(|_, s| s.entry.state != ServerState::Gone || !s.out.is_empty());
    }

    // ---- A call comes in -----------------------------------------------------------------

    fn on_call(&mut self, new: NewCall, actions: &mut Vec<Action>) {
        if self.calls.contains_key(&new.call) {
            return;
        }
        let within = self.shares.charge(new.tenant);
        let (now, rank) = (self.now, self.worth_now(&new));
        self.demand.add(now, rank);
        let draw = self.rng.uniform();
        let call = Call {
            new,
            rank,
            within,
            came: self.now,
            stage: Stage::Releasing,
            attempts: 0,
            tried: Vec::new(),
            draw,
            may_have_run: None,
            erred: Vec::new(),
        };
        if self.time_left(&call) == Span::default() || !self.number_passes(new.number) {
            return self.turn_away(&call, actions);
        }
        match self.place(&call, true) {
            Some(server) => {
                let last = self.time_left(&call);
                self.wake_in(last, Wake::LastAnswer(new.call), actions);
                self.send(call, server, actions);
            }
            None => self.turn_away(&call, actions),
        }
    }

    /// Time until the last moment for a final answer.
    fn time_left(&self, call: &Call) -> Span {
        call.new
            .valid_until
            .since(self.now)
            .saturating_sub(Span(self.settings.tick.0.saturating_mul(ANSWER_ROUNDS)))
    }

    /// Where the call goes: its first choice unless the draw turns it away there, then the server that
    /// last took a diverted call, then any other, in a drawn order; `None` if none passes.
    fn place(&mut self, call: &Call, first_try: bool) -> Option<ServerId> {
        let mut order = self.candidates(call);
        let first = order.iter().position(|&s| self.is_first_choice(s, call)).map(|at| order.remove(at));
        if let Some(server) = first.filter(|&server| self.passes(server, call)) {
            return Some(server);
        }
        for at in (1..order.len()).rev() {
            let other = (self.rng.next_u32() as usize) % (at + 1);
            order.swap(at, other);
        }
        order.sort_by_key(|&s| self.kept != Some(s)); // stable: the kept one first, the rest as drawn
        let taker = order.into_iter().find(|&server| self.passes(server, call));
        if let (None, true, Some(server)) = (taker, first_try, first) {
            // Refused here: a request there all the same, unless the ramp of a cold server kept it
            // away. A diverted call is none: what the others take must not shut this one.
            if self.draw_refuses(server, call) {
                self.count(server, 1, 0);
            }
        }
        taker
    }

    /// Servers that may take the call at all.
    fn candidates(&self, call: &Call) -> Vec<ServerId> {
        let class = self.settings.classes.get(call.new.class);
        let allowed = |s: &Server| {
            let cell = s.entry.cell;
            s.entry.state == ServerState::Ready
                && s.lines != Some(0.0)
                && Some(cell) != self.settings.own_cell
                && (!call.new.in_transit || Some(cell) == call.new.first_choice)
                && class.and_then(|c| c.cells.as_ref()).is_none_or(|cells| cells.contains(&cell))
                && !call.tried.contains(&s.entry.server)
                && self.repeat_is_safe(call, class, s)
        };
        self.servers.values().filter(|s| allowed(s)).map(|s| s.entry.server).collect()
    }

    /// Guards against a call that is carried out twice where its class does not bear that.
    fn repeat_is_safe(&self, call: &Call, class: Option<&ClassSettings>, server: &Server) -> bool {
        let (Some((ran_at, since)), Some(class)) = (call.may_have_run, class) else { return true };
        let same = |pick: fn(&ServerEntry) -> u16| {
            self.servers.get(&ran_at).is_some_and(|ran| pick(&ran.entry) == pick(&server.entry))
        };
        match class.repeats {
            Repeats::Free => true,
            Repeats::SingleShot => false,
            Repeats::Guarded => {
                self.now.since(since) < class.dedup_window
                    && match class.dedup_scope {
                        DedupScope::All => true,
                        DedupScope::Zone => same(|e| e.zone),
                        DedupScope::Cell => same(|e| e.cell.0),
                    }
            }
        }
    }

    fn is_first_choice(&self, server: ServerId, call: &Call) -> bool {
        self.servers.get(&server).is_some_and(|s| Some(s.entry.cell) == call.new.first_choice)
    }

    /// Whether this server is not the one that the call asks for.
    fn is_diverted(&self, server: ServerId, call: &Call) -> bool {
        call.new.first_choice.is_some() && !self.is_first_choice(server, call)
    }

    /// Whether the call may be sent to this server now.
    fn passes(&mut self, id: ServerId, call: &Call) -> bool {
        let (refused, diverted) = (self.draw_refuses(id, call), self.is_diverted(id, call));
        let spare = self.cut_of(COLD_RESERVE, call.rank);
        let Some(server) = self.servers.get(&id) else { return false };
        let open = !diverted && self.unwatched() > 0.0 && !self.is_cold(server);
        let stalls = server.out.iter().map(|o| self.now.since(o.sent)).max();
        if open && stalls.is_some_and(|age| age < self.shortest_aim.scale(STALL)) && !self.speak(0.5) {
            return true;
        }
        if server.silent || refused && open {
            // Looks: many would hold a wait against it long after it has passed.
            return server.out.is_empty() && self.now >= server.test_at;
        }
        !refused && self.rights_allow(id, spare, diverted)
    }

    /// Whether the throttle keeps the call away from this server.
    fn draw_refuses(&mut self, id: ServerId, call: &Call) -> bool {
        let cut = self.cut(id);
        let cut = self.cut_of(cut, call.rank);
        call.draw < self.shares.refused_fraction(cut, call.within)
    }

    /// When this gateway may next test a silent server; drawn, so that the gateways do not test together.
    fn next_test(&mut self, id: ServerId) -> Time {
        let gap = Span::from_secs(1.0 / (self.usual_rate() * self.size(id) * TESTS_SHARE));
        self.now.plus(gap.scale(0.5 + self.rng.uniform()))
    }

    fn mark_silent(&mut self, id: ServerId) {
        let test_at = self.next_test(id);
        if let Some(server) = self.servers.get_mut(&id) {
            server.silent = true;
            server.test_at = test_at;
        }
    }

    // ---- The throttle --------------------------------------------------------------------

    /// The share of calls to be kept away from a server: C4-183506, with accepts weighed by the present
    /// wait. Set-ups still out count as requests only once they are late, since few are counted and
    /// each would weigh.
    fn cut(&mut self, id: ServerId) -> f64 {
        let now = self.now;
        let silent_from = self.patience();
        let span = Span::from_secs(WINDOW_CALLS / self.usual_rate()).max(WINDOW).min(LONG_WINDOW);
        let (blind, aim) = (self.blind(), self.shortest_aim);
        let hold = aim.scale(blind * HOLD);
        let (from, to) = (aim.scale(PRESSED_FROM), aim.scale(PRESSED_TO / (1.0 + blind)));
        let Some(server) = self.servers.get_mut(&id) else { return 1.0 };
        if !server.silent && server.unanswered(silent_from, now) {
            self.mark_silent(id);
        }
        let Some(server) = self.servers.get_mut(&id) else { return 1.0 };
        server.counts.set_span(span);
        let (requests, accepts) = server.counts.counts(now);
        let late = server.out.iter().filter(|o| now.since(o.sent) > from).count();
        let worth = 1.0 - server.wait_now(now, hold).fraction_between(from, to);
        let counted = refusal_probability(f64::from(requests) + late as f64, f64::from(accepts));
        // What the formula tends to with accepts weighed so: the wait speaks even where few are counted.
        counted.max(1.0 - CUTOFF * worth)
    }

    /// The share of the calls of this worth to cut, when `cut` of all must go: the least worth first.
    fn cut_of(&mut self, cut: f64, worth: f64) -> f64 {
        let (below, same, all) = self.demand.counts_around(self.now, worth);
        if same <= 0.0 {
            return cut;
        }
        ((cut * all - below) / same).clamp(0.0, 1.0)
    }

    /// The worth that a call can still earn. One who dials again has mostly used the aim up by then.
    fn worth_now(&self, call: &NewCall) -> f64 {
        let Some(class) = self.settings.classes.get(call.class) else { return 0.0 };
        let worth = if call.redialled { class.worth * class.late_worth } else { class.worth };
        if worth.is_finite() {
            worth
        } else {
            0.0
        }
    }

    /// By how much more than the patience this gateway's own calls to a server are apart, in shortest
    /// aims: for so long it knows nothing new of that server.
    fn blind(&mut self) -> f64 {
        let aim = self.shortest_aim.secs().max(f64::MIN_POSITIVE);
        (1.0 / self.usual_rate() / aim - SILENT_FROM).max(0.0) * self.unwatched()
    }

    /// The share of the gateways beyond those that need no care for what the others do unseen.
    fn unwatched(&self) -> f64 {
        1.0 - (WATCHED_BY / f64::from(self.settings.controllers.max(1))).min(1.0)
    }

    fn count(&mut self, id: ServerId, requests: u32, accepts: u32) {
        let now = self.now;
        if let Some(server) = self.servers.get_mut(&id) {
            server.counts.add(now, requests, accepts);
        }
    }

    /// The same throttle per number dialled: 'all lines busy' blames the number, not the server. Guards
    /// against one number's callers filling the processors; a number is followed only after its lines
    /// were busy.
    fn number_passes(&mut self, number: Number) -> bool {
        let now = self.now;
        let Some(window) = self.numbers.get_mut(&number) else { return true };
        let (requests, accepts) = window.counts(now);
        if requests == 0 {
            self.numbers.remove(&number);
            return true;
        }
        window.add(now, 1, 0);
        let refuse = refusal_probability(f64::from(requests), f64::from(accepts));
        self.rng.uniform() >= refuse
    }

    // ---- Rights --------------------------------------------------------------------------

    fn is_cold(&self, server: &Server) -> bool {
        let started = server.entry.started;
        started != Time::default() && self.now.since(started) < self.settings.warm_up
    }

    /// A server fresh from a start gets this gateway's share of what it can do, as rights
    /// (`fleet::token_bucket`) that come at exponential gaps. Guards against all gateways falling back on it
    /// together: its window is empty, so the throttle alone would stand open. A warm one gets diverted calls
    /// by such rights too, or all gateways fill the few that seem well before any sees that they are full.
    fn rights_allow(&mut self, id: ServerId, spare: f64, diverted: bool) -> bool {
        let first = -self.rng.exponential();
        let is_cold = self.servers.get(&id).is_some_and(|s| self.is_cold(s));
        if !is_cold && (!diverted || self.unwatched() == 0.0 || self.speak(CALM_FROM)) {
            return true;
        }
        let Some((purse, rate, lapse)) = self.rights_come(id, first) else { return false };
        let short = if is_cold { lapse * spare } else { 0.0 } - purse.available();
        if is_cold && short > 0.0 {
            self.lacked.push(Action::RequestPermits { server: id, permits: Permits::from_calls(short) });
        }
        rate > 0.0 && short <= 0.0
    }

    /// The rights to a server as they stand, how many come a second, and how many are kept at most.
    fn rights_come(&mut self, id: ServerId, first: f64) -> Option<(TokenBucket, f64, f64)> {
        let now = self.now;
        let Settings { warm_up, cold_share, overload_factor: multiple, .. } = self.settings;
        let share = cold_share.clamp(0.0, 1.0);
        let safe = COLD_SAFE * if multiple > 0.0 { multiple } else { 1.0 } / (1.0 + COLD_PERMIT_LIFETIME);
        let usual = self.usual_rate() * self.size(id);
        let is_cold = self.servers.get(&id).is_some_and(|s| self.is_cold(s));
        let warm_push = WARM_PUSH / self.unwatched();
        let server = self.servers.get_mut(&id)?;
        let rate = if is_cold {
            let warmth = now.since(server.entry.started).secs() / warm_up.secs();
            usual * (share + (1.0 - share) * warmth) * COLD_RATE_FACTOR.min(safe)
        } else {
            usual * warm_push
        };
        let lapse = rate * COLD_PERMIT_LIFETIME * self.settings.overload_time.max(self.shortest_aim).secs();
        let purse = server.rights.get_or_insert(TokenBucket::new(first, now));
        purse.refill(now, rate, lapse, || self.rng.exponential());
        Some((*purse, rate, lapse))
    }

    /// Another gateway lacks rights to a cold server: it gets what is not needed here.
    fn lend(&mut self, to: u16, id: ServerId, wanted: Permits, actions: &mut Vec<Action>) {
        if self.servers.get(&id).is_some_and(|s| self.is_cold(s)) {
            let first = -self.rng.exponential();
            self.rights_come(id, first);
            let purse = self.servers.get_mut(&id).and_then(|s| s.rights.as_mut());
            actions.extend(purse.map(|p| Action::LendPermits { to, server: id, permits: p.lend(wanted) }));
        }
    }

    /// The rights held to send to a cold server, in calls; `None`: it needs none.
    pub fn permits(&self, id: ServerId) -> Option<f64> {
        self.servers.get(&id).filter(|s| self.is_cold(s))?.rights.map(|purse| purse.available())
    }

    /// A call was sent: a right, or a test of a silent server, is used up.
    fn spend_right(&mut self, id: ServerId, diverted: bool) {
        let (gap, test_at) = (self.rng.exponential(), self.next_test(id));
        let spent = diverted || self.servers.get(&id).is_some_and(|s| self.is_cold(s));
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.test_at = test_at;
        if let Some(purse) = server.rights.as_mut().filter(|_| spent) {
            purse.consume(gap);
        }
    }

    /// What is usual here; from what comes in while nothing has stood yet, as after a restart.
    fn usual_rate(&mut self) -> f64 {
        let came = self.demand.counts_around(self.now, 0.0).2;
        let size = if self.usual.is_known() { 0.0 } else { self.ready_size() };
        self.usual.rate(self.now, came, size).max(RATE_LEAST)
    }

    fn ready_size(&self) -> f64 {
        let ready = |s: &&Server| s.entry.state == ServerState::Ready;
        self.servers.values().filter(ready).map(|s| self.size_of(s)).sum()
    }

    /// A server's size against the others': its lines, which were laid out for the calls it was planned
    /// to carry; the mean of the others where it is not told.
    fn size_of(&self, server: &Server) -> f64 {
        let told: Vec<f64> = self.servers.values().filter_map(|s| s.lines).filter(|&l| l > 0.0).collect();
        let mean = if told.is_empty() { 1.0 } else { told.iter().sum::<f64>() / told.len() as f64 };
        server.lines.filter(|&l| l > 0.0).unwrap_or(mean) / mean
    }

    fn size(&self, id: ServerId) -> f64 {
        self.servers.get(&id).map_or(1.0, |s| self.size_of(s))
    }

    // ---- Attempts ------------------------------------------------------------------------

    fn send(&mut self, mut call: Call, id: ServerId, actions: &mut Vec<Action>) {
        let (now, name) = (self.now, call.new.call);
        let attempt = Attempt(call.attempts as u16);
        call.attempts += 1;
        call.stage = Stage::Out { server: id, attempt, sent: now };
        let review = self.review_after(&call);
        if let Some(server) = self.servers.get_mut(&id) {
            server.out.push(Out { call: name, attempt, sent: now });
        }
        self.spend_right(id, self.is_diverted(id, &call));
        // Without the right to cancel, the time-out itself must leave room for a second attempt.
        let timeout = if self.settings.may_cancel { None } else { Some(review) };
        actions.push(Action::Send { call: name, server: id, timeout });
        self.calls.insert(name, call);
        if self.settings.may_cancel {
            self.wake_in(review, Wake::Review(name, attempt), actions);
        }
    }

    /// How long an attempt stays out before it is looked at: the latest that still leaves room, within
    /// the aim, for the release and another attempt.
    fn review_after(&self, call: &Call) -> Span {
        let aim = self.settings.classes.get(call.new.class).map(|c| c.setup_target).unwrap_or_default();
        let room = aim
            .saturating_sub(self.now.since(call.came))
            .saturating_sub(self.settings.resend_delay)
            .saturating_sub(self.reserve());
        room.max(self.review_every())
    }

    /// For how long a server may leave a set-up unanswered before it is silent. Where servers report nothing
    /// of their processors a queue looks the same, so it is the latest from which a withdrawn call can still
    /// stand in its aim elsewhere.
    fn patience(&self) -> Span {
        let tells = |f: &LoadField| !matches!(f, LoadField::Idle | LoadField::Circuits | LoadField::Unknown);
        let least = self.shortest_aim.scale(SILENT_FROM);
        if self.settings.load_fields.iter().any(tells) {
            return least;
        }
        let reviewed =
            self.shortest_aim.saturating_sub(self.settings.resend_delay).saturating_sub(self.reserve());
        least.max(reviewed.saturating_sub(self.shortest_aim.scale(PRESSED_FROM)))
        // known then, behind a healthy wait
    }

    /// Whether the servers that answer make up more than this share of the size of all.
    fn speak(&self, share: f64) -> bool {
        let patience = self.patience();
        let speaks = |s: &&Server| !s.silent && !s.unanswered(patience, self.now);
        let ready = self.servers.values().filter(|s| s.entry.state == ServerState::Ready);
        ready.filter(speaks).map(|s| self.size_of(s)).sum::<f64>() > share * self.ready_size()
    }

    fn reserve(&self) -> Span {
        self.shortest_aim.scale(RESEND_SHARE).max(RESEND_LEAST)
    }

    fn review_every(&self) -> Span {
        self.shortest_aim.scale(REVIEW_SHARE).max(REVIEW_LEAST)
    }

    /// Guards against calls lost into a server that went silent (hung, vanished, cut off): a set-up
    /// that nobody answers is withdrawn while it can still stand elsewhere. A slow server that answers
    /// others keeps it.
    fn review(&mut self, id: CallId, attempt: Attempt, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get(&id) else { return };
        let Stage::Out { server, attempt: out, .. } = call.stage else { return };
        if out != attempt {
            return;
        }
        let silent_from = self.patience();
        let lost = |s: &Server| s.out.iter().any(|o| o.call == id && s.lost(o));
        let dead = self
            .servers
            .get(&server)
            .is_none_or(|s| s.silent || lost(s) || s.unanswered(silent_from, self.now));
        let others = self
            .candidates(call)
            .into_iter()
            .any(|s| s != server && self.servers.get(&s).is_some_and(|s| !s.silent));
        let others = others && (self.unwatched() == 0.0 || self.speak(0.5));
        let room = self.time_left(call) > self.settings.resend_delay.max(self.reserve());
        if dead && others && room && call.attempts < self.settings.max_attempts {
            actions.push(Action::Cancel { call: id, attempt });
            if self.servers.get(&server).is_some_and(lost) {
                return self
                    .log("lost: a server answers later set-ups first; its overdue are withdrawn", actions);
            }
            self.mark_silent(server);
            self.log("silent: a server answers no set-ups; its calls are withdrawn and diverted", actions);
        } else {
            self.wake_in(self.review_every(), Wake::Review(id, attempt), actions);
        }
    }

    fn on_stands(&mut self, id: CallId, attempt: Attempt, server: ServerId, took: Span) {
        let sent = self.no_longer_out(server, id, attempt).unwrap_or_default();
        if let Some(server) = self.servers.get_mut(&server) {
            server.answered = server.answered.max(sent);
        }
        self.saw_wait(server, took, self.now);
        let in_good_time = took <= self.shortest_aim.scale(PRESSED_TO);
        self.count(server, 1, u32::from(in_good_time));
        let size = self.ready_size();
        self.usual.record_accept(self.now, size);
        let in_a_window = self.usual_rate() * size * WINDOW.secs();
        self.shares.record_accept(in_a_window);
        let Some(call) = self.calls.remove(&id) else { return };
        if !self.is_first_choice(server, &call) {
            self.kept = Some(server);
        }
        if let Some(window) = self.numbers.get_mut(&call.new.number) {
            window.add(self.now, 0, 1);
        }
    }

    fn on_ended(&mut self, end: AttemptEnd, actions: &mut Vec<Action>) {
        let was_out = self.no_longer_out(end.server, end.call, end.attempt);
        self.read_load(end.server, &end.load);
        if was_out.is_some() {
            self.learn(&end);
        }
        let Some(call) = self.calls.get_mut(&end.call) else { return };
        if !matches!(call.stage, Stage::Out { attempt, .. } if attempt == end.attempt) {
            return;
        }
        if end.closed {
            self.calls.remove(&end.call);
            return;
        }
        let Stage::Out { sent, .. } = call.stage else { return };
        call.tried.push(end.server);
        call.stage = Stage::Releasing;
        match end.outcome {
            Outcome::Full | Outcome::ConnectFailed | Outcome::NotSent => {
                if end.outcome == Outcome::Full {
                    call.draw *= FULL_LEAVES;
                }
                self.send_again(end.call, actions);
            }
            Outcome::Error | Outcome::Ok => {
                call.may_have_run.get_or_insert((end.server, sent));
                if end.cause == Cause::NumberBusy {
                    self.number_was_busy(end.call);
                    if let Some(call) = self.calls.remove(&end.call) {
                        self.turn_away(&call, actions);
                    }
                } else {
                    call.erred.push(end.server);
                    self.send_again(end.call, actions);
                }
            }
            Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => {
                call.may_have_run.get_or_insert((end.server, sent));
                if end.outcome == Outcome::Reset {
                    call.erred.push(end.server);
                }
                // Rule 5, and one round more, so that the wait is over by anybody's count.
                let wait = Span(self.settings.resend_delay.0.saturating_add(self.settings.tick.0));
                self.wake_in(wait, Wake::Released(end.call), actions);
            }
        }
    }

    /// What the end of an attempt says of the server.
    fn learn(&mut self, end: &AttemptEnd) {
        let told = if let Cause::ProcessorFullFor(wait) = end.cause { wait } else { Span::default() };
        let waited = self.servers.get(&end.server).map_or(told, |s| s.wait_now(self.now, Span::default()));
        match end.outcome {
            Outcome::Full => {
                match end.cause {
                    // No free line: the processor answered in its turn, and its wait is what it was.
                    Cause::NoCircuit => self.saw_wait(end.server, waited, self.now),
                    _ => self.saw_wait(end.server, told.max(self.shortest_aim.scale(FULL_MEANS)), self.now),
                }
                self.count(end.server, 1, 0);
                if self.kept == Some(end.server) {
                    self.kept = None; // drawn anew
                }
            }
            // The server did its work: the number or the line was at fault.
            Outcome::Error | Outcome::Ok => {
                self.saw_wait(end.server, end.took, self.now);
                self.count(end.server, 1, 1);
            }
            // A reset blames the connection, not the processor: a server that has died refuses the next one.
            Outcome::Reset => {}
            Outcome::TimedOut | Outcome::Cancelled => self.count(end.server, 1, 0),
            Outcome::ConnectFailed => {
                self.count(end.server, 1, 0);
                self.mark_silent(end.server);
            }
            Outcome::NotSent => {}
        }
    }

    fn saw_wait(&mut self, id: ServerId, wait: Span, at: Time) {
        if let Some(server) = self.servers.get_mut(&id) {
            (server.heard, server.wait) = (server.heard.max(at), (wait, at));
            if std::mem::take(&mut server.silent) {
                server.counts.clear(); // the misses of the silence would keep healthy work away
            }
        }
    }

    /// What another gateway saw counts where nothing later was seen here.
    fn heard_of(&mut self, id: ServerId, wait: Span, silent: bool, at: Time) {
        match self.servers.get(&id).is_some_and(|s| s.wait.1 < at) {
            true if silent => self.mark_silent(id),
            true => self.saw_wait(id, wait, at),
            false => {}
        }
    }

    /// A reported wait is one more sight of it. A queue is read as the time that all gateways' usual calls
    /// need; a slow server needs more, so only an empty one lowers a longer wait that was seen.
    fn read_load(&mut self, id: ServerId, load: &LoadReport) {
        let now = self.now;
        let fleet = self.usual_rate() * f64::from(self.settings.controllers.max(1)) * self.size(id);
        let Some(server) = self.servers.get_mut(&id) else { return };
        for (field, &value) in self.settings.load_fields.iter().zip(&load.0) {
            match field {
                LoadField::Circuits if value.is_finite() && value >= 0.0 => {
                    server.lines = Some(f64::from(value))
                }
                LoadField::Pending if value.is_finite() && value >= 0.0 => {
                    let wait = Span::from_secs(f64::from(value) / fleet);
                    if wait > server.wait.0 || value < 1.0 {
                        server.wait = (wait, now);
                    }
                }
                LoadField::Wait if value.is_finite() && value >= 0.0 => {
                    server.wait = (Span((f64::from(value) * 1e3) as u64), now);
                }
                _ => {}
            }
        }
    }

    /// Takes an attempt off the books of its server; when it was sent, if it was there.
    fn no_longer_out(&mut self, server: ServerId, call: CallId, attempt: Attempt) -> Option<Time> {
        let server = self.servers.get_mut(&server)?;
        let at = server.out.iter().position(|o| o.call == call && o.attempt == attempt)?;
        Some(server.out.remove(at).sent)
    }

    fn number_was_busy(&mut self, id: CallId) {
        let Some(number) = self.calls.get(&id).map(|c| c.new.number) else { return };
        if number == Number(0) {
            return;
        }
        if self.numbers.len() >= NUMBERS && !self.numbers.contains_key(&number) {
            self.numbers.pop_first();
        }
        let fresh = Window::starting_with(LONG_WINDOW, self.now, 1, 0);
        self.numbers.entry(number).or_insert(fresh);
    }

    /// A call whose attempt came to nothing goes to another server, or gets its final answer.
    fn send_again(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        let room = call.attempts < self.settings.max_attempts && self.time_left(&call) > Span::default();
        match if room { self.place(&call, false).or_else(|| self.once_more(&call)) } else { None } {
            Some(server) => self.send(call, server, actions),
            None => self.turn_away(&call, actions),
        }
    }

    /// A call that no other server takes goes once more to the one that answered with an error, or whose
    /// answer was lost. Guards against calls refused for want of another server while one that fails some
    /// of its calls would take them. Errors of two servers blame the call: it is not tried on.
    fn once_more(&mut self, call: &Call) -> Option<ServerId> {
        let &[server] = call.erred.as_slice() else { return None };
        let class = self.settings.classes.get(call.new.class);
        let known = self.servers.get(&server).filter(|s| s.entry.state == ServerState::Ready)?;
        (self.repeat_is_safe(call, class, known) && self.passes(server, call)).then_some(server)
    }

    // ---- Final answers -------------------------------------------------------------------

    /// The final answer for a call that will not stand: refused, unless it may have been carried out
    /// where its class does not bear a repeat.
    fn turn_away(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let id = call.new.call;
        let class = self.settings.classes.get(call.new.class);
        let may_refuse = call.may_have_run.is_none()
            || class.is_none_or(|c| match c.repeats {
                Repeats::Free => true,
                Repeats::Guarded => c.dedup_scope == DedupScope::All,
                Repeats::SingleShot => false,
            });
        if may_refuse {
            let told = if self.settings.may_send_retry_after { COME_BACK } else { Span::default() };
            let retry_after = told.min(self.settings.max_retry_after);
            actions.push(Action::Refuse { call: id, retry_after });
        } else {
            actions.push(Action::Fail { call: id });
        }
    }

    fn on_hung_up(&mut self, id: CallId, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.remove(&id) else { return };
        self.withdraw(&call, actions);
    }

    /// Takes back what is out for a call that is over. A call that leaves early says nothing of the
    /// server: only one that was kept waiting counts as a request without an accept.
    fn withdraw(&mut self, call: &Call, actions: &mut Vec<Action>) {
        let Stage::Out { server, attempt, sent } = call.stage else { return };
        if self.no_longer_out(server, call.new.call, attempt).is_some()
            && self.now.since(sent) > self.shortest_aim.scale(SILENT_FROM)
        {
            self.count(server, 1, 0);
        }
        if self.settings.may_cancel {
            actions.push(Action::Cancel { call: call.new.call, attempt });
        }
    }

    // ---- Timers and log ------------------------------------------------------------------

    fn on_timer(&mut self, token: TimerToken, actions: &mut Vec<Action>) {
        match self.timers.take(token) {
            Some(Wake::LastAnswer(id)) => {
                // Rule 1: the caller is about to give up.
                let Some(call) = self.calls.remove(&id) else { return };
                self.withdraw(&call, actions);
                actions.push(Action::Fail { call: id });
            }
            Some(Wake::Review(id, attempt)) => self.review(id, attempt, actions),
            Some(Wake::Released(id)) => self.send_again(id, actions),
            Some(Wake::Watch) => actions.push(Action::SubscribeList(true)),
            None => {}
        }
    }

    fn wake_in(&mut self, after: Span, wake: Wake, actions: &mut Vec<Action>) {
        actions.push(Action::Timer { after, token: self.timers.set(wake) });
    }

    fn log(&mut self, line: &'static str, actions: &mut Vec<Action>) {
        actions.extend(self.logged.admit(self.now, LOG_EVERY, line).map(Action::Log));
    }
}

/// The formula of C4-183506.
pub fn refusal_probability(requests: f64, accepts: f64) -> f64 {
    ((requests - CUTOFF * accepts) / (requests + 1.0)).max(0.0)
}
