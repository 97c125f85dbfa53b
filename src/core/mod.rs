//! The core of a controller: sans-IO. It takes inputs with a time and yields effects; it knows requests, attempts
//! and outcomes, no wire, no runtime and no clock. A call passes the stages take in, admit, route, send, relay and
//! book, each in a file of its own.

mod admit;
mod book;
pub mod deadlines;
mod fleet;
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
use crate::interface::{CallId, Event, ServerId, ServerState, Settings, Span, Time, Token};
use crate::metrics::{Ending, Gauges, RequestMetrics};
use crate::recovery::records::Change;
use crate::rules::Controller;
use book::Book;
use deadlines::Deadlines;
pub use fleet::FleetView;
pub use relay::{CAUSE_CLEARED, CAUSE_CUT};
pub use types::*;

/// What the core has set deadlines for.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Deadline {
    /// A timer of the decision module.
    Module(Token),
    /// An attempt has been waited for long enough.
    Attempt(CallId),
    /// The caller gives up now.
    #[serde(rename = "Caller")]
    CallerTimeout(CallId),
    /// An ended call need not be remembered any more.
    #[serde(rename = "Forget")]
    ForgetCall(Sid),
    /// A caller's connection on which nothing was said yet is one for releases that wait.
    #[serde(rename = "Greets")]
    FirstMessage(Client),
    /// Releases that found no connection have waited long enough.
    #[serde(rename = "Unsaid")]
    PendingRelease(Sid),
    /// A call server that has left the list may be forgotten.
    #[serde(rename = "Gone")]
    ForgetServer(ServerId),
    /// Something of a wire's: its part and a key of its own.
    #[serde(rename = "Wire")]
    ProtocolAdapter(DeadlineOwner, u64),
    /// Something is to be told to the other controllers.
    #[serde(rename = "Fleet")]
    FleetPoll,
    /// What another said of a call server's listing may count no longer.
    #[serde(rename = "Warned")]
    ListingWarning(ServerId),
    /// A phase of the recovery ends.
    Recovery,
}

/// The wires that keep deadlines here.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum DeadlineOwner {
    /// A caller's connection that may have stayed for too long.
    #[serde(rename = "Guests")]
    ClientConnections,
    /// A new connection of a SIP call server on which nothing was heard yet.
    #[serde(rename = "SipFirstWord")]
    SipFirstMessage,
    /// Reconnecting to a SIP call server.
    #[serde(rename = "SipReach")]
    SipReconnect,
    /// The silence of a SIP call server that has calls.
    #[serde(rename = "SipWatch")]
    SipSilence,
    /// A leg of the IAX2 front.
    #[serde(rename = "IaxFront")]
    Iax2Front,
    /// A leg or a call server of the IAX2 side.
    #[serde(rename = "IaxServers")]
    Iax2Upstream,
}

/// What the core is told at its start.
#[derive(Debug, Clone, Default)]
pub struct CoreConfig {
    /// The module's settings.
    pub settings: Settings,
    /// Names of the classes, in the module's order.
    pub classes: Vec<Rc<str>>,
    /// Names of the tenants, in the module's order; calls know them at their arrival only, so a reload may change them.
    pub tenants: Vec<Rc<str>>,
    /// Calls that may be open at once.
    pub max_pending_calls: usize,
    /// Bytes that their descriptions may take together.
    pub max_pending_bytes: usize,
    /// The longest that any class lets a caller wait.
    pub max_caller_wait: Span,
    /// Seed for the module's random numbers.
    pub seed: u64,
    /// How it shares with the other controllers what it sees of the call servers; `None`: it does not.
    pub fleet: Option<FleetConfig>,
}

/// Plain counts of what the core did.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CoreCounts {
    /// Set-ups taken in.
    pub taken: u64,
    /// Set-ups that named a call already known.
    pub duplicates: u64,
    /// Set-ups that nobody could use: an unknown class, a figure out of range.
    pub unusable: u64,
    /// Attempts sent.
    pub sent: u64,
    /// Attempts withdrawn.
    pub cancelled: u64,
    /// Attempts that a guard of the send stage held back.
    pub held_back: u64,
    /// Final answers: stands.
    pub answered: u64,
    /// Final answers: refused.
    pub refused: u64,
    /// Final answers: failed.
    pub failed: u64,
    /// Set-ups that the caller gave up.
    pub given_up: u64,
    /// Releases passed on to callers.
    pub released: u64,
    /// Releases for calls not known here, passed on all the same.
    pub unknown_released: u64,
    /// Answers that came after the attempt was given up.
    pub late_answers: u64,
    /// Answers under names that nobody asked for.
    pub unknown_answers: u64,
}

/// A set-up that is out.
#[derive(Debug, Clone, Copy, Serialize, Deserialize)]
struct Out {
    server: ServerId,
    attempt: u16,
    sent: Time,
}

/// A call that is owed its final answer.
#[derive(Debug, Serialize, Deserialize)]
struct Open {
    id: CallId,
    client: Client,
    class: usize,
    number: Rc<str>,
    body: Rc<str>,
    valid_until: Time,
    attempts: u16,
    out: Option<Out>,
    /// Call servers whose attempt was given up, or broke on its way, after it may have run: the call may stand there, and
    /// its answer or its release may still come.
    #[serde(default)]
    unsettled: BTreeSet<ServerId>,
    not_before: Time,
}

impl Open {
    /// Whether an attempt is out at this call server.
    fn is_out_at(&self, server: ServerId) -> bool {
        self.out.is_some_and(|out| out.server == server)
    }

    /// Whether the call may stand at this call server although its answer has not been heard.
    fn may_stand_at(&self, server: ServerId) -> bool {
        self.is_out_at(server) || self.unsettled.contains(&server)
    }
}

/// A caller's connection or leg that is there.
#[derive(Debug, Clone, Copy, Default, Serialize, Deserialize)]
struct Caller {
    /// Calls that it is owed an answer for.
    owed: usize,
    /// Calls that it ended and that nobody here knew.
    strangers: usize,
    /// Whether a call of it ever stood.
    served: bool,
    /// Whether it only ever tested.
    tests: bool,
}

/// A call server as the directories tell of it.
#[derive(Debug, Serialize, Deserialize)]
struct Listed {
    line: DirectoryEntry,
    source: Source,
}

/// One controller's core. What it holds can be handed on to another process; its settings and counts are each
/// process's own.
#[derive(Serialize, Deserialize)]
pub struct Core {
    #[serde(skip)]
    config: CoreConfig,
    module: Controller,
    now: Time,
    next_call: u32,
    open: BTreeMap<Sid, Open>,
    held_bytes: usize,
    names: BTreeMap<CallId, Sid>,
    servers: BTreeMap<ServerId, Listed>,
    hosts: BTreeMap<(Source, String), ServerId>,
    next_server: u32,
    list_held: bool,
    /// From then on set-ups are refused: the controller is being emptied.
    closes_at: Option<Time>,
    /// Callers that are there.
    clients: BTreeMap<Client, Caller>,
    book: Book,
    /// All deadlines of the instance, the wires' too.
    pub deadlines: Deadlines<Deadline>,
    #[serde(skip)]
    events: VecDeque<Event>,
    #[serde(skip)]
    counts: CoreCounts,
    #[serde(skip)]
    metrics: RequestMetrics,
    /// What all controllers know together; each process learns it anew.
    #[serde(skip)]
    fleet: Option<Fleet>,
    /// The call servers by the keys that the others know them by.
    #[serde(skip)]
    keys: fleet::Keys,
    /// What the others' directories say before ours.
    #[serde(skip)]
    warnings: Warnings,
    /// What is kept for a life after this one, and what came back from the one before.
    #[serde(skip)]
    returns: recover::Returns,
}

impl Core {
    /// A core that knows nothing but its settings.
    pub fn new(config: CoreConfig) -> Self {
        let module = Controller::new(config.settings.clone(), config.seed);
        let metrics = RequestMetrics::for_classes(&config.classes);
        Self {
            config,
            module,
            now: Time::default(),
            next_call: 0,
            open: BTreeMap::new(),
            held_bytes: 0,
            names: BTreeMap::new(),
            servers: BTreeMap::new(),
            hosts: BTreeMap::new(),
            next_server: 0,
            list_held: false,
            closes_at: None,
            clients: BTreeMap::new(),
            book: Book::default(),
            deadlines: Deadlines::default(),
            events: VecDeque::new(),
            counts: CoreCounts::default(),
            metrics,
            fleet: None,
            keys: fleet::Keys::default(),
            warnings: Warnings::default(),
            returns: recover::Returns::default(),
        }
    }

    /// Goes on with what another process held, by settings of its own; the classes must be the same.
    pub fn resume(mut self, config: CoreConfig) -> Core {
        self.module.reconfigure(config.settings.clone());
        self.metrics = RequestMetrics::for_classes(&config.classes);
        self.config = config;
        self.servers.iter().for_each(|(server, listed)| self.keys.add(*server, &listed.line.host));
        self
    }

    /// Names of the classes, in the module's order.
    pub fn classes(&self) -> &[Rc<str>] {
        &self.config.classes
    }

    /// Takes one input and appends what is to be done, in order. A clock that steps back stands still.
    pub fn handle(&mut self, now: Time, input: Input, out: &mut Vec<Effect>) {
        self.now = self.now.max(now);
        match input {
            Input::ClientUp(client) => self.client_up(client),
            Input::ClientDown(client) => self.client_down(client, out),
            Input::HealthCheck(client) => self.client_tests(client),
            Input::SetUp(client, set_up) => {
                self.client_speaks(client, out);
                self.take_in(client, set_up, out);
            }
            Input::HangUp(client, sid, cause) => {
                self.client_speaks(client, out);
                self.client_closes(client, sid, cause, out);
            }
            Input::ReleaseConfirmed(sid) => self.book.heard(sid),
            Input::Server(server, sid, says) => self.server_says(server, sid, says, out),
            Input::Load(server, report) => self.server_reports(server, report, out),
            Input::ServerDied(server) => self.server_died(server, out),
            Input::List { source, whole, hosts } => self.news(source, whole, hosts, out),
            Input::PeerMessage(from, data) => self.mail(from, data, out),
            Input::Tick => {}
        }
        self.book_fleet();
    }

    /// Takes what has fallen due by `now`; hands back what is a wire's.
    pub fn expire_deadlines(&mut self, now: Time, out: &mut Vec<Effect>) -> Vec<(DeadlineOwner, u64)> {
        self.now = self.now.max(now);
        let mut wires = Vec::new();
        while let Some(due) = self.deadlines.pop(self.now) {
            match due {
                Deadline::Module(token) => self.feed(Event::Timer(token), out),
                Deadline::Attempt(call) => self.attempt_overdue(call, out),
                Deadline::CallerTimeout(call) => self.caller_gives_up(call, out),
                Deadline::ForgetCall(sid) => self.book.forget(sid),
                Deadline::ForgetServer(server) => self.forget_server(server, out),
                Deadline::FleetPoll => self.tell_fleet(out),
                Deadline::ListingWarning(server) => self.warning_due(server, out),
                Deadline::Recovery => self.recovery_due(out),
                Deadline::FirstMessage(client) => self.client_speaks(client, out),
                Deadline::PendingRelease(sid) => {
                    self.book.drop_unsaid(sid);
                    self.note_change(|| Change::Ends(sid));
                }
                Deadline::ProtocolAdapter(part, key) => wires.push((part, key)),
            }
        }
        self.book_fleet();
        wires
    }

    /// Takes over settings that were read anew. `false`: the classes differ, which calls that are open know by their
    /// place, so all settings stay as they were.
    pub fn reconfigure(&mut self, config: CoreConfig) -> bool {
        if config.classes != self.config.classes {
            return false;
        }
        self.module.reconfigure(config.settings.clone());
        // The seed is one start's: the module's random numbers carry on. So do its number and life among the others.
        let (seed, fleet) = (self.config.seed, self.config.fleet.take());
        self.config = CoreConfig { seed, fleet, ..config };
        true
    }

    /// Whether a configuration has it take part among the controllers as it does now.
    pub fn fleet_config_matches(&self, other: Option<&FleetConfig>) -> bool {
        let part = |fleet: &FleetConfig| {
            (fleet.me, fleet.controllers, fleet.fanout, fleet.max_bytes_per_second, fleet.max_age)
        };
        self.config.fleet.as_ref().map(part) == other.map(part)
    }

    /// From when on set-ups are refused; `None`: they are taken.
    pub fn refuse_set_ups_from(&mut self, at: Option<Time>) {
        self.closes_at = at;
    }

    /// Whether a list of call servers is held: the test that the front makes passes.
    pub fn ready(&self) -> bool {
        self.list_held
    }

    /// Calls that are owed a final answer.
    pub fn pending_calls(&self) -> usize {
        self.open.len()
    }

    /// Calls that stand.
    pub fn established_calls(&self) -> usize {
        self.book.standing.len()
    }

    /// Whether a call of this name is owed an answer.
    pub fn awaits_answer(&self, sid: Sid) -> bool {
        self.open.contains_key(&sid)
    }

    /// A call for which this connection is owed an answer.
    pub fn pending_call_on(&self, client: Client) -> Option<Sid> {
        self.open.iter().find(|(_, open)| open.client == client).map(|(sid, _)| *sid)
    }

    /// The longest that any class lets a caller wait, by the settings of now.
    pub fn max_caller_wait(&self) -> Span {
        self.config.max_caller_wait
    }

    /// Whether a call that stands was asked for on this connection.
    pub fn has_established_calls(&self, client: Client) -> bool {
        self.book.carries(client)
    }

    /// What was done so far.
    pub fn counts(&self) -> CoreCounts {
        self.counts
    }

    /// The requests that have ended.
    pub fn metrics(&self) -> &RequestMetrics {
        &self.metrics
    }

    /// What is held at `now`; whom it avoids the module alone knows.
    pub fn gauges(&self, now: Time) -> Gauges {
        let listed = self.servers.values().filter(|listed| listed.line.state != ServerState::Gone);
        Gauges {
            upstream_requests: 0,
            pending: self.open.len() + self.book.standing.len(),
            members: listed.count(),
            members_unavailable: self.module.avoided(now.max(self.now)),
        }
    }

    /// A request has ended: it is booked here and nowhere else.
    fn ends(&mut self, class: Option<usize>, how: Ending) {
        match how {
            Ending::Completed => self.counts.answered += 1,
            Ending::Rejected => self.counts.refused += 1,
            Ending::Failed => self.counts.failed += 1,
        }
        if let Some(class) = class {
            self.metrics.record(class, how);
        }
    }

    /// How a call server is spoken to.
    pub fn protocol_of(&self, server: ServerId) -> Option<Protocol> {
        self.servers.get(&server).map(|listed| listed.line.protocol)
    }

    /// The call servers known: name, address, state.
    pub fn listed_servers(&self) -> impl Iterator<Item = &DirectoryEntry> {
        self.servers.values().map(|listed| &listed.line)
    }
}
