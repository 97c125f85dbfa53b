//! What the decisions see and say: settings, events, actions, ids and time.
//!
//! The caller hands each [`Event`] with the present [`Time`] to `Controller::handle` and carries out the
//! [`Action`]s in the order given, at that same time. Events come in the order in which they happened. A clock
//! that stands still is fine; one that steps back is read as standing still. An event for a call, attempt,
//! server or token that the controller does not know (any more) is ignored.

use serde::{Deserialize, Serialize};

/// A moment, in microseconds of the caller's own clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The time passed from `earlier` to this moment; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
    /// This moment and `span` more.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// A length of time, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// So many milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms.saturating_mul(1000))
    }
    /// So many seconds; below zero or not a number counts as zero.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs.max(0.0) * 1e6) as u64)
    }
    /// Where this length lies between `from` (0 and below) and `to` (1 and above).
    pub fn fraction_between(self, from: Span, to: Span) -> f64 {
        if self <= from {
            return 0.0;
        }
        (self.saturating_sub(from).0 as f64 / to.saturating_sub(from).0.max(1) as f64).min(1.0)
    }
    /// The length in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// A share of this length; below zero or not a number counts as zero.
    pub fn scale(self, part: f64) -> Span {
        Span((self.0 as f64 * part.max(0.0)) as u64)
    }
    /// What is left after `other` has been taken off; zero at the least.
    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// A call, as numbered by the caller; never used twice in the life of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u32);

/// The number of an attempt within its call: 0 for the first [`Action::Send`], then 1, 2 …
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Attempt(pub u16);

/// A core server's address; it stays the same when its process restarts. Carries no meaning.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// Four bytes of address, first byte highest.
    pub address: u32,
    /// Port.
    pub port: u16,
}

/// A core server's place in the numbering that calls name their destination by.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell(pub u16);

/// The number dialled; 0 is none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Number(pub u64);

/// Permits of the right to send one call: so many 256ths of it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Permits(pub u16);

impl Permits {
    /// The permits in so many calls, 255.99 at most; below zero or not a number counts as zero.
    pub fn from_calls(calls: f64) -> Permits {
        Permits((calls.max(0.0) * 256.0) as u16)
    }
    /// How many calls they are.
    pub fn as_calls(self) -> f64 {
        f64::from(self.0) / 256.0
    }
}

/// A timer's name, picked by the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimerToken(pub u32);

/// How often a call of a class may be carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Repeats {
    /// As often as it takes.
    #[default]
    Free,
    /// Repeats are recognised within a group of servers and a time.
    Guarded,
    /// Once at most.
    SingleShot,
}

/// The servers that recognise each other's repeats of a guarded call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All of them.
    #[default]
    All,
    /// Those in one zone.
    Zone,
    /// Those in one cell.
    Cell,
}

/// What is known of a class of calls.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ClassSettings {
    /// A call that stands within this earns its full worth.
    pub setup_target: Span,
    /// Worth of a call; calls are cut in this order, least first.
    pub worth: f64,
    /// Share of the worth that a call earns when it stands after the aim.
    pub late_worth: f64,
    /// How often it may be carried out.
    pub repeats: Repeats,
    /// For guarded classes: the servers among which a repeat is safe.
    pub dedup_scope: DedupScope,
    /// For guarded classes: how long a repeat is safe.
    pub dedup_window: Span,
    /// Cells that may take the class; `None`: any.
    pub cells: Option<Vec<Cell>>,
}

/// What a load report's values mean.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Free circuits or lines.
    Idle,
    /// Circuits or lines in all.
    Circuits,
    /// Messages in process at the processor.
    Busy,
    /// Set-ups waiting at the processor.
    Pending,
    /// Share of the processor occupied.
    Share,
    /// Wait at the processor, in milliseconds.
    Wait,
    /// New set-ups a second that the processor can take from all senders.
    MaxRate,
    /// Share of new set-ups that each sender is asked to keep back.
    Reduce,
    /// One that this version does not know.
    Unknown,
}

impl LoadField {
    /// The field of this name, in the words of the wire or of the deployment's files.
    pub fn named(name: &str) -> LoadField {
        match name {
            "idle" | "x0" => LoadField::Idle,
            "circuits" | "x1" => LoadField::Circuits,
            "busy_reqs" | "inflight" => LoadField::Busy,
            "pending" | "queue" => LoadField::Pending,
            "cpu_share" | "util" => LoadField::Share,
            "svc_ms" | "latency_ms" => LoadField::Wait,
            "max_rate" | "qps" => LoadField::MaxRate,
            "reduce" | "eps" => LoadField::Reduce,
            _ => LoadField::Unknown,
        }
    }
}

/// All that a controller is told at its start. Contradictions are read in the cautious sense: a share outside
/// 0 to 1 is clamped, no gateways count as one, no attempts as one.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Gateways in service, this one included.
    pub controllers: u32,
    /// Classes of calls, by index.
    pub classes: Vec<ClassSettings>,
    /// The tenants' shares by index, in calls a second of all gateways together; empty: what is beyond a share is
    /// worth as much as what is within.
    pub tenant_shares: Vec<f64>,
    /// Order of the values in load reports.
    pub load_fields: Vec<LoadField>,
    /// Attempts allowed for one call; 0 counts as no limit given, which is read as 1.
    pub max_attempts: u32,
    /// Whether [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// Whether [`Action::Refuse`] may carry a time to stay away.
    pub may_send_retry_after: bool,
    /// The longest such time that callers obey.
    pub max_retry_after: Span,
    /// Whether the list of servers must be asked for ([`Action::SubscribeList`]).
    pub list_needs_subscription: bool,
    /// Wait before a call is sent again after a time-out, reset or cancel.
    pub resend_delay: Span,
    /// Share of its usual work that a server can do just after a start.
    pub cold_share: f64,
    /// Time from a start until a server is warm.
    pub warm_up: Span,
    /// A cold server falls over when all gateways send it more than this many times what it can do for a while;
    /// 0 or less: not told, read as 1.
    pub overload_factor: f64,
    /// For how long that takes.
    pub overload_time: Span,
    /// Gap between two rounds of events.
    pub tick: Span,
    /// This gateway's own cell where gateways and servers are one mesh.
    pub own_cell: Option<Cell>,
}

/// State of a server as the list tells it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes calls.
    Ready,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// Withdrawn.
    Gone,
}

/// One line of the list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// Address.
    pub server: ServerId,
    /// Its number as a destination.
    pub cell: Cell,
    /// Index of its zone.
    pub zone: u16,
    /// Its latest start; 0: long past.
    pub started: Time,
    /// Its state.
    pub state: ServerState,
}

/// How a list relates to the one held.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed lines only.
    Delta,
    /// All lines; what is missing has left.
    Full,
    /// All lines as last held before a restart, perhaps outdated.
    Cached,
    /// The list could not be had; the one held stays in force.
    Failed,
}

/// A call that has just come in.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct NewCall {
    /// Its id.
    pub call: CallId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; `None`: it names none that there is.
    pub tenant: Option<usize>,
    /// The number dialled.
    pub number: Number,
    /// When the caller gives this try up.
    pub valid_until: Time,
    /// The server of first choice.
    pub first_choice: Option<Cell>,
    /// Whether the caller is known to have dialled before.
    pub redialled: bool,
    /// Whether another gateway routed it here; it may go to its first choice only.
    pub in_transit: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was set up and has now ended.
    Ok,
    /// A fault, or all lines of the number were busy.
    Error,
    /// Turned back; it never ran.
    Full,
    /// No answer in time; it may have run.
    TimedOut,
    /// No connection; it never ran.
    ConnectFailed,
    /// Cut.
    Reset,
    /// Withdrawn.
    Cancelled,
    /// Not sent; it never ran.
    NotSent,
}

/// Why an attempt failed, as far as told.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Nothing said.
    None,
    /// No free circuit or line at the server.
    NoCircuit,
    /// Turned back on the way.
    TurnedBack,
    /// The processor was full.
    ProcessorFull,
    /// The processor was full and says how long to wait.
    ProcessorFullFor(Span),
    /// All lines of the number are busy.
    NumberBusy,
}

/// Values in the order of [`Settings::load_fields`]; may be empty, negative or not a number.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct LoadReport(pub Vec<f32>);

/// The end of an attempt.
#[derive(Debug, Clone, PartialEq)]
pub struct AttemptEnd {
    /// The call.
    pub call: CallId,
    /// Which of its attempts.
    pub attempt: Attempt,
    /// Where it was sent.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// Why.
    pub cause: Cause,
    /// Time since it was sent.
    pub took: Span,
    /// Whether the call itself is over; if not, a final answer is still owed.
    pub closed: bool,
    /// The server's load, where told.
    pub load: LoadReport,
}

/// What the caller tells the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// News of the list of servers.
    List {
        /// How to read it.
        kind: ListKind,
        /// Its lines.
        entries: Vec<ServerEntry>,
    },
    /// A call came in.
    Call(NewCall),
    /// The call stands: its final outcome.
    Established {
        /// The call.
        call: CallId,
        /// Which of its attempts.
        attempt: Attempt,
        /// The server that took it.
        server: ServerId,
        /// Time since it was sent.
        took: Span,
    },
    /// An attempt has ended; each send gets exactly one.
    Ended(AttemptEnd),
    /// The caller hung up; the call is closed.
    HungUp(CallId),
    /// A timer has run out.
    Timer(TimerToken),
    /// A look at a server's load, asked for or not.
    Load {
        /// The server.
        server: ServerId,
        /// Whether it answered.
        outcome: Outcome,
        /// Its values; those that were not looked at are -1.
        load: LoadReport,
    },
    /// Another gateway saw a server.
    Observation {
        /// The server.
        server: ServerId,
        /// The wait at its processor.
        wait: Span,
        /// Whether it took no connection.
        silent: bool,
        /// When; never later than it was.
        at: Time,
    },
    /// Another gateway lacks rights to a cold server.
    PermitsRequested {
        /// Its number.
        from: u16,
        /// The server.
        server: ServerId,
        /// How much it lacks.
        permits: Permits,
    },
    /// Another gateway lends rights to a cold server.
    PermitsReceived {
        /// The server.
        server: ServerId,
        /// How much.
        permits: Permits,
    },
    /// A message from another gateway.
    PeerMessage {
        /// Its number.
        from: u16,
        /// Its bytes.
        data: Vec<u8>,
    },
}

/// What the controller asks the caller to do.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a set-up; the attempt ends as timed out after `timeout`, or when the caller gives up.
    Send {
        /// The call.
        call: CallId,
        /// Where to.
        server: ServerId,
        /// Time-out; `None`: until the caller gives up.
        timeout: Option<Span>,
    },
    /// Final answer: refused.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should stay away; zero: nothing said.
        retry_after: Span,
    },
    /// Final answer: failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Give up one attempt; its end is still to be reported.
    Cancel {
        /// The call.
        call: CallId,
        /// Which attempt.
        attempt: Attempt,
    },
    /// Hand back [`Event::Timer`] with this token after `after`, never in the same round.
    Timer {
        /// From now.
        after: Span,
        /// To be handed back.
        token: TimerToken,
    },
    /// Ask a server for its load; [`Event::Load`] answers.
    Probe {
        /// Which server.
        server: ServerId,
    },
    /// Close the idle connections to a server.
    CloseIdle {
        /// Which server.
        server: ServerId,
    },
    /// Send at most 256 bytes to another gateway, or to all.
    SendToPeers {
        /// The gateway's number; `None`: every one.
        to: Option<u16>,
        /// The message.
        data: Vec<u8>,
    },
    /// A call found no right to go to a cold server: others may lend so much.
    RequestPermits {
        /// The server.
        server: ServerId,
        /// How much is lacked.
        permits: Permits,
    },
    /// Rights were taken off here for another gateway.
    LendPermits {
        /// Its number.
        to: u16,
        /// The server.
        server: ServerId,
        /// How much.
        permits: Permits,
    },
    /// Subscribe to changes of the list (`true`) or end that; [`Event::List`] answers.
    SubscribeList(bool),
    /// Ask for the whole list once; [`Event::List`] answers.
    FetchList,
    /// A line for the log of the people on call.
    Log(String),
}
