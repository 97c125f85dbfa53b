//! The core of a session controller, sans-IO: it takes inputs with a time and yields effects. It knows requests,
//! attempts and outcomes, but no wire format, runtime or clock. A call passes through six stages, each in a module of
//! its own: `take_in`, `admit`, `route`, `send`, `relay` and `call_registry`.

mod admit;
mod call_registry;
pub mod deadlines;
mod fleet;
mod leg_calls;
mod recover;
mod relay;
mod route;
mod send;
mod take_in;
#[cfg(test)]
mod tests;
pub mod types;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};

use crate::fleet::warnings::Warnings;
use crate::fleet::{Fleet, FleetConfig};
use crate::interface::{CallId, Event, ServerId, ServerState, Settings, Span, Time, TimerToken};
use crate::metrics::{Ending, Gauges, RequestMetrics};
use crate::recovery::records::RecordChange;
use crate::rules::Controller;
use call_registry::CallRegistry;
use deadlines::Deadlines;
pub use fleet::FleetView;
pub use leg_calls::LegCall;
pub use relay::{CAUSE_CLEARED, CAUSE_CUT};
pub use types::*;

/// The deadlines of an instance.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Deadline {
    /// A timer of the decision module.
    Module(TimerToken),
    /// An attempt's timeout.
    Attempt(CallId),
    /// The time until which a caller waits for its answer.
    #[serde(rename = "Caller")]
    CallerTimeout(CallId),
    /// An ended call may be forgotten.
    #[serde(rename = "Forget")]
    ForgetCall(Sid),
    /// A client connection without a message so far is assumed to be a caller's: it may get pending releases.
    #[serde(rename = "Greets")]
    FirstMessage(Client),
    /// A pending release is dropped.
    #[serde(rename = "Unsaid")]
    PendingRelease(Sid),
    /// A call server that has left its directory may be forgotten.
    #[serde(rename = "Gone")]
    ForgetServer(ServerId),
    /// A deadline of a protocol adapter: its owner, and a key that the owner chose.
    #[serde(rename = "Wire")]
    ProtocolAdapter(DeadlineOwner, u64),
    /// Datagrams to the other controllers are due.
    #[serde(rename = "Fleet")]
    FleetPoll,
    /// A peer's warning about a call server may have expired.
    #[serde(rename = "Warned")]
    ListingWarning(ServerId),
    /// A phase of the recovery ends, or undecided calls are checked again.
    Recovery,
}

/// The deadlines of the protocol adapters, by owner and purpose.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DeadlineOwner {
    /// A check whether a client connection has to be closed.
    #[serde(rename = "Guests")]
    ClientConnections,
    /// A new connection to a SIP call server on which nothing was received yet.
    #[serde(rename = "SipFirstWord")]
    SipFirstMessage,
    /// The next attempt to connect to a SIP call server.
    #[serde(rename = "SipReach")]
    SipReconnect,
    /// Silence timeout of a SIP call server that has calls.
    #[serde(rename = "SipWatch")]
    SipSilence,
    /// A call leg, a registrar or the registrations of the IAX2 front.
    #[serde(rename = "IaxFront")]
    Iax2Front,
    /// A call leg of the IAX2 upstream.
    #[serde(rename = "IaxServers")]
    Iax2Upstream,
}

/// Configuration of the core.
#[derive(Debug, Clone, Default)]
pub struct CoreConfig {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, by index.
    pub classes: Vec<Rc<str>>,
    /// Names of the tenants, by index. Calls use them only on arrival, so a reload may change them.
    pub tenants: Vec<Rc<str>>,
    /// Limit of the calls that await an answer at once.
    pub max_pending_calls: usize,
    /// Limit of the bytes of their descriptions together.
    pub max_pending_bytes: usize,
    /// The longest time that any class allows a caller to wait.
    pub max_caller_wait: Span,
    /// Seed of the decision module's random numbers.
    pub seed: u64,
    /// How it exchanges observations of call servers with the other controllers; `None`: not at all.
    pub fleet: Option<FleetConfig>,
}

/// Counters of the core.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CoreCounts {
    /// Set-ups received, except duplicates.
    pub taken: u64,
    /// Set-ups with the identifier of a call already known.
    pub duplicates: u64,
    /// Invalid set-ups: an unknown class, or a value out of range.
    pub unusable: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts cancelled.
    pub cancelled: u64,
    /// Attempts that the checks of the send stage held back.
    pub held_back: u64,
    /// Final answers: established.
    pub answered: u64,
    /// Final answers: refused.
    pub refused: u64,
    /// Final answers: failed.
    pub failed: u64,
    /// Set-ups that the caller cancelled.
    pub given_up: u64,
    /// Releases sent to callers.
    pub released: u64,
    /// Releases of calls unknown here, sent to callers all the same.
    pub unknown_released: u64,
    /// Answers that arrived after their attempt was cancelled.
    pub late_answers: u64,
    /// Answers for unknown calls.
    pub unknown_answers: u64,
}

/// An attempt that was sent and has not ended.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct OutstandingAttempt {
    server: ServerId,
    attempt: u16,
    sent: Time,
}

/// A call that awaits its final answer.
#[derive(Debug, Serialize, Deserialize)]
struct PendingCall {
    id: CallId,
    client: Client,
    class: usize,
    number: Rc<str>,
    body: Rc<str>,
    valid_until: Time,
    attempts: u16,
    #[serde(rename = "out")]
    outstanding: Option<OutstandingAttempt>,
    /// Call servers whose attempt was cancelled or lost after it may have run: the call may be established there, and
    /// its answer or its release may still arrive.
    #[serde(default)]
    unsettled: BTreeSet<ServerId>,
    /// No further attempt may be sent before this time.
    not_before: Time,
}

impl PendingCall {
    /// Whether an attempt is outstanding at this call server.
    fn has_attempt_at(&self, server: ServerId) -> bool {
        self.outstanding.is_some_and(|attempt| attempt.server == server)
    }

    /// Whether the call may be established at this call server although its answer has not arrived.
    fn may_be_established_at(&self, server: ServerId) -> bool {
        self.has_attempt_at(server) || self.unsettled.contains(&server)
    }
}

/// An open client connection or leg.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Caller {
    /// Number of its calls that await an answer.
    #[serde(rename = "owed")]
    pending: usize,
    /// Number of its hang-ups for unknown calls.
    #[serde(rename = "strangers")]
    unknown_hang_ups: usize,
    /// Whether a call was ever established on it.
    served: bool,
    /// Whether it has sent health checks and nothing else.
    #[serde(rename = "tests")]
    only_health_checks: bool,
}

/// A call server listed by a directory.
#[derive(Debug, Serialize, Deserialize)]
struct ListedServer {
    #[serde(rename = "line")]
    entry: DirectoryEntry,
    source: Source,
}

/// The core of one controller. Its state can be handed over to another process; settings and counters belong to each
/// process.
#[derive(Serialize, Deserialize)]
pub struct Core {
    #[serde(skip)]
    config: CoreConfig,
    module: Controller,
    now: Time,
    next_call: u32,
    #[serde(rename = "open")]
    pending: BTreeMap<Sid, PendingCall>,
    /// Bytes of the descriptions of all pending calls.
    #[serde(rename = "held_bytes")]
    pending_bytes: usize,
    /// Identifiers of the pending calls.
    #[serde(rename = "names")]
    sids: BTreeMap<CallId, Sid>,
    servers: BTreeMap<ServerId, ListedServer>,
    /// Ids of the known call servers by directory and host name.
    hosts: BTreeMap<(Source, String), ServerId>,
    next_server: u32,
    /// Whether a directory has listed any call server so far.
    #[serde(rename = "list_held")]
    has_list: bool,
    /// Set-ups are refused from this time on: the controller is being drained.
    #[serde(rename = "closes_at")]
    refuses_from: Option<Time>,
    /// Open client connections and legs.
    clients: BTreeMap<Client, Caller>,
    #[serde(rename = "book")]
    registry: CallRegistry,
    /// All deadlines of the instance, those of the protocol adapters included.
    pub deadlines: Deadlines<Deadline>,
    #[serde(skip)]
    events: VecDeque<Event>,
    #[serde(skip)]
    counts: CoreCounts,
    #[serde(skip)]
    metrics: RequestMetrics,
    /// Observations shared by all controllers; each process collects them anew.
    #[serde(skip)]
    fleet: Option<Fleet>,
    /// The call servers by their keys in peers' datagrams.
    #[serde(skip)]
    keys: fleet::Keys,
    /// Listings that peers' directories show and ours does not yet.
    #[serde(skip)]
    warnings: Warnings,
    /// Changes to be recorded for the next run, and the state of the recovery from the previous one.
    #[serde(skip)]
    recovery: recover::RecoveryState,
}

impl Core {
    /// A core without any state.
    pub fn new(config: CoreConfig) -> Self {
        let module = Controller::new(config.settings.clone(), config.seed);
        let metrics = RequestMetrics::for_classes(&config.classes);
        Self {
            config,
            module,
            now: Time::default(),
            next_call: 0,
            pending: BTreeMap::new(),
            pending_bytes: 0,
            sids: BTreeMap::new(),
            servers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            next_server: 0,
            has_list: false,
            refuses_from: None,
            clients: BTreeMap::new(),
            registry: CallRegistry::default(),
            deadlines: Deadlines::default(),
            events: VecDeque::new(),
            counts: CoreCounts::default(),
            metrics,
            fleet: None,
            keys: fleet::Keys::default(),
            warnings: Warnings::default(),
            recovery: recover::RecoveryState::default(),
        }
    }

    /// Continues with the state of another process under this process's own settings; the classes must be the same.
    pub fn resume(mut self, config: CoreConfig) -> Core {
        self.module.reconfigure(config.settings.clone());
        self.metrics = RequestMetrics::for_classes(&config.classes);
        self.config = config;
        self.servers.iter().for_each(|(server, listed)| self.keys.add(*server, &listed.entry.host));
        self
    }

    /// Names of the classes, by index.
    pub fn classes(&self) -> &[Rc<str>] {
        &self.config.classes
    }

    /// Handles one input and appends the effects, in order. A clock that steps back counts as standing still.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::ClientUp(client) => self.client_up(client),
            Input::ClientDown(client) => self.client_down(client, out),
            Input::HealthCheck(client) => self.health_check_received(client),
            Input::SetUp(client, set_up) => {
                self.caller_message_received(client, out);
                self.take_in(client, set_up, out);
            }
            Input::HangUp(client, sid, cause) => {
                self.caller_message_received(client, out);
                self.hang_up_received(client, sid, cause, out);
            }
            Input::ReleaseConfirmed(sid) => self.registry.confirm_release(sid),
            Input::Server(server, sid, event) => self.server_event(server, sid, event, out),
            Input::Load(server, report) => self.load_reported(server, report, out),
            Input::ServerDied(server) => self.server_died(server, out),
            Input::List { source, whole, hosts } => self.directory_update(source, whole, hosts, out),
            Input::PeerMessage(from, data) => self.peer_message(from, data, out),
            Input::Tick => {}
        }
        self.schedule_fleet_poll();
    }

    /// Handles the deadlines due by `now`; returns those of the protocol adapters.
    pub fn expire_deadlines(&mut self, now: Time, out: &mut Vec<Effect>) -> Vec<(DeadlineOwner, u64)> {
        self.now = self.now.max(now);
        let mut for_adapters = Vec::new();
        while let Some(deadline) = self.deadlines.pop(self.now) {
            match deadline {
                Deadline::Module(token) => self.feed(Event::Timer(token), out),
                Deadline::Attempt(call) => self.attempt_timed_out(call, out),
                Deadline::CallerTimeout(call) => {
                    self.fail_and_report_hang_up(call, RefusalReason::CallerTimeout, out)
                }
                Deadline::ForgetCall(sid) => self.registry.forget_ended(sid),
                Deadline::ForgetServer(server) => self.forget_server(server, out),
                Deadline::FleetPoll => self.poll_fleet(out),
                Deadline::ListingWarning(server) => self.check_warning(server, out),
                Deadline::Recovery => self.advance_recovery(out),
                Deadline::FirstMessage(client) => self.caller_message_received(client, out),
                Deadline::PendingRelease(sid) => {
                    self.registry.drop_pending_release(sid);
                    self.record_change(|| RecordChange::CallEnded(sid));
                }
                Deadline::ProtocolAdapter(owner, key) => for_adapters.push((owner, key)),
            }
        }
        self.schedule_fleet_poll();
        for_adapters
    }

    /// Applies reloaded settings. `false`: the classes differ, and all settings stay as they were, since pending calls
    /// refer to their class by index.
    pub fn reconfigure(&mut self, config: CoreConfig) -> bool {
        if config.classes != self.config.classes {
            return false;
        }
        self.module.reconfigure(config.settings.clone());
        // The decision module's random numbers continue, and so do this controller's number and incarnation in the fleet.
        let (seed, fleet) = (self.config.seed, self.config.fleet.take());
        self.config = CoreConfig { seed, fleet, ..config };
        true
    }

    /// Whether a configuration has the same membership and limits in the fleet as the present one.
    pub fn fleet_config_matches(&self, other: Option<&FleetConfig>) -> bool {
        let compared = |fleet: &FleetConfig| {
            (fleet.me, fleet.controllers, fleet.fanout, fleet.max_bytes_per_second, fleet.max_age)
        };
        self.config.fleet.as_ref().map(compared) == other.map(compared)
    }

    /// Refuses set-ups from this time on; `None`: accepts them.
    pub fn refuse_set_ups_from(&mut self, at: Option<Time>) {
        self.refuses_from = at;
    }

    /// Whether a list of call servers has arrived: health checks pass.
    pub fn ready(&self) -> bool {
        self.has_list
    }

    /// Number of calls that await a final answer.
    pub fn pending_calls(&self) -> usize {
        self.pending.len()
    }

    /// Number of established calls.
    pub fn established_calls(&self) -> usize {
        self.registry.established.len()
    }

    /// Whether a call with this identifier awaits its answer.
    pub fn awaits_answer(&self, sid: Sid) -> bool {
        self.pending.contains_key(&sid)
    }

    /// A call that awaits its answer on this connection.
    pub fn pending_call_on(&self, client: Client) -> Option<Sid> {
        self.pending.iter().find(|(_, call)| call.client == client).map(|(sid, _)| *sid)
    }

    /// The longest time that any class allows a caller to wait, by the present settings.
    pub fn max_caller_wait(&self) -> Span {
        self.config.max_caller_wait
    }

    /// Whether an established call was requested on this connection.
    pub fn has_established_calls(&self, client: Client) -> bool {
        self.registry.has_established_calls(client)
    }

    /// The counters.
    pub fn counts(&self) -> CoreCounts {
        self.counts
    }

    /// Metrics of the requests that have ended.
    pub fn metrics(&self) -> &RequestMetrics {
        &self.metrics
    }

    /// The gauges at `now`; the protocol adapters count `upstream_requests`.
    pub fn gauges(&self, now: Time) -> Gauges {
        let listed = self.servers.values().filter(|listed| listed.entry.state != ServerState::Gone);
        Gauges {
            upstream_requests: 0,
            pending: self.pending.len() + self.registry.established.len(),
            members: listed.count(),
            members_unavailable: self.module.unavailable_servers(now.max(self.now)),
        }
    }

    /// Counts a request that has ended; no other code does.
    fn record_outcome(&mut self, class: Option<usize>, ending: Ending) {
        match ending {
            Ending::Completed => self.counts.answered += 1,
            Ending::Rejected => self.counts.refused += 1,
            Ending::Failed => self.counts.failed += 1,
        }
        if let Some(class) = class {
            self.metrics.record(class, ending);
        }
    }

    /// The protocol used with a call server.
    pub fn protocol_of(&self, server: ServerId) -> Option<Protocol> {
        self.servers.get(&server).map(|listed| listed.entry.protocol)
    }

    /// The directory entries of all known call servers.
    pub fn listed_servers(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.servers.values().map(|listed| &listed.entry)
    }
}
