//! Input and output types of the decision module: settings, events, actions, ids and time.
//!
//! The host program passes each [`Event`] with the current [`Time`] to `Controller::handle` and executes the
//! returned [`Action`]s in order, at that same time. Events must be passed in the order in which they
//! happened. The clock may stand still; a clock that steps back is treated as standing still. Events for a
//! call, attempt, server or timer token that the controller does not know, or no longer knows, are ignored.

use serde::{Deserialize, Serialize};

/// A point in time, in microseconds of the host program's clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Time(pub u64);

impl Time {
    /// The time elapsed since `earlier`; zero if `earlier` is later.
    pub fn since(self, earlier: Time) -> Span {
        Span(self.0.saturating_sub(earlier.0))
    }
    /// The point in time `span` after this one.
    pub fn plus(self, span: Span) -> Time {
        Time(self.0.saturating_add(span.0))
    }
}

/// A duration, in microseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Span(pub u64);

impl Span {
    /// A duration in milliseconds.
    pub const fn from_millis(ms: u64) -> Span {
        Span(ms.saturating_mul(1000))
    }
    /// A duration in seconds; a negative number or NaN counts as zero.
    pub fn from_secs(secs: f64) -> Span {
        Span((secs.max(0.0) * 1e6) as u64)
    }
    /// The position of this duration on the scale from `from` (0.0) to `to` (1.0), clamped to 0.0..=1.0.
    pub fn fraction_between(self, from: Span, to: Span) -> f64 {
        if self <= from {
            return 0.0;
        }
        (self.saturating_sub(from).0 as f64 / to.saturating_sub(from).0.max(1) as f64).min(1.0)
    }
    /// The duration in seconds.
    pub fn secs(self) -> f64 {
        self.0 as f64 / 1e6
    }
    /// This duration multiplied by `factor`; a negative factor or NaN counts as zero.
    pub fn scale(self, factor: f64) -> Span {
        Span((self.0 as f64 * factor.max(0.0)) as u64)
    }
    /// The difference to `other`; zero if `other` is longer.
    pub fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }
}

/// The id of a call, assigned by the host program; never reused during the lifetime of a controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct CallId(pub u32);

/// The index of an attempt within its call: 0 for the first [`Action::Send`], then 1, 2 …
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Attempt(pub u16);

/// A call server's address, used as an opaque id; it does not change when the server's process restarts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// Address as a four-byte number, first byte most significant.
    pub address: u32,
    /// Port.
    pub port: u16,
}

/// The number by which calls name a call server as their destination.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Cell(pub u16);

/// The dialled number; 0 means none.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Number(pub u64);

/// Permits to send calls to a cold call server, in units of 1/256 call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default, Serialize, Deserialize)]
pub struct Permits(pub u16);

impl Permits {
    /// The permits for `calls` calls, at most 255.99; a negative number or NaN counts as zero.
    pub fn from_calls(calls: f64) -> Permits {
        Permits((calls.max(0.0) * 256.0) as u16)
    }
    /// The number of calls that these permits allow.
    pub fn as_calls(self) -> f64 {
        f64::from(self.0) / 256.0
    }
}

/// Identifies a timer; chosen by the controller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct TimerToken(pub u32);

/// How often a call of a class may be executed by call servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum Repeats {
    /// Any number of times.
    #[default]
    Free,
    /// A repeat is recognised as such within [`ClassSettings::dedup_scope`] and
    /// [`ClassSettings::dedup_window`].
    Guarded,
    /// At most once.
    SingleShot,
}

/// The call servers among which repeats of a guarded call are recognised.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All call servers.
    #[default]
    All,
    /// The call servers of one zone.
    Zone,
    /// The call servers of one cell.
    Cell,
}

/// Settings of a class of calls.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct ClassSettings {
    /// Target set-up time: a call established within it earns its full worth.
    pub setup_target: Span,
    /// Worth of a call; in a shortage calls are refused in order of worth, lowest first.
    pub worth: f64,
    /// Fraction of the worth that a call earns if it is established after the target set-up time.
    pub late_worth: f64,
    /// How often a call may be executed.
    pub repeats: Repeats,
    /// For guarded classes: the call servers among which a repeat is safe.
    pub dedup_scope: DedupScope,
    /// For guarded classes: how long after the first attempt a repeat is safe.
    pub dedup_window: Span,
    /// Cells that may take calls of this class; `None`: any.
    pub cells: Option<Vec<Cell>>,
}

/// The meaning of a value in a load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadField {
    /// Free circuits or lines.
    Idle,
    /// Total circuits or lines.
    Circuits,
    /// Messages being processed.
    Busy,
    /// Set-ups queued at the processor.
    Pending,
    /// Processor utilisation.
    Share,
    /// Queueing delay at the processor, in milliseconds.
    Wait,
    /// New set-ups per second that the processor can take from all senders together.
    MaxRate,
    /// Fraction of new set-ups that each sender is asked to withhold.
    Reduce,
    /// A field that this version does not know.
    Unknown,
}

impl LoadField {
    /// The field of this name, as load reports or the deployment's files spell it.
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

/// Settings of a controller. Invalid values are replaced by safe ones: a share outside 0 to 1 is clamped,
/// zero controllers and zero attempts count as one.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Settings {
    /// Controllers in service, this one included.
    pub controllers: u32,
    /// Classes of calls, by index.
    pub classes: Vec<ClassSettings>,
    /// The tenants' shares by index, in calls per second over all controllers; empty: calls beyond a tenant's
    /// share are treated like calls within it.
    pub tenant_shares: Vec<f64>,
    /// Order of the values in load reports.
    pub load_fields: Vec<LoadField>,
    /// Attempts allowed per call; 0 means not set and is treated as 1.
    pub max_attempts: u32,
    /// Whether [`Action::Cancel`] is allowed.
    pub may_cancel: bool,
    /// Whether [`Action::Refuse`] may carry a retry-after time.
    pub may_send_retry_after: bool,
    /// The longest retry-after time that callers honour.
    pub max_retry_after: Span,
    /// Whether the server list has to be subscribed to ([`Action::SubscribeList`]).
    pub list_needs_subscription: bool,
    /// Delay before a call is sent again after a time-out, reset or cancel.
    pub resend_delay: Span,
    /// Fraction of its full capacity that a call server has just after a start.
    pub cold_share: f64,
    /// Time from the start of a call server until it is warm.
    pub warm_up: Span,
    /// A cold call server fails if all controllers together send it more than this many times its present
    /// capacity for [`Settings::overload_time`]; 0 or less means not set and is treated as 1.
    pub overload_factor: f64,
    /// How long an overload lasts until a cold call server fails.
    pub overload_time: Span,
    /// Interval between two iterations of the host's event loop.
    pub tick: Span,
    /// This controller's own cell, where controllers and call servers form one mesh.
    pub own_cell: Option<Cell>,
}

/// State of a call server according to the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ServerState {
    /// Takes new calls.
    Ready,
    /// Finishes its calls and takes no new ones.
    Draining,
    /// Withdrawn from service.
    Gone,
}

/// One entry of the server list.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerEntry {
    /// The call server.
    pub server: ServerId,
    /// Its destination number.
    pub cell: Cell,
    /// Index of its zone.
    pub zone: u16,
    /// Its latest start; 0: long ago.
    pub started: Time,
    /// Its state.
    pub state: ServerState,
}

/// How a list relates to the current one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListKind {
    /// Changed entries only.
    Delta,
    /// All entries; a server that is missing has left.
    Full,
    /// All entries as stored before a restart; may be outdated.
    Cached,
    /// The list could not be fetched; the current one stays in force.
    Failed,
}

/// An incoming call.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct NewCall {
    /// Its id.
    pub call: CallId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant; `None`: it names no known tenant.
    pub tenant: Option<usize>,
    /// The dialled number.
    pub number: Number,
    /// When the caller gives up waiting for an answer.
    pub valid_until: Time,
    /// The call server requested by the caller.
    pub first_choice: Option<Cell>,
    /// Whether the caller is known to be redialling.
    pub redialled: bool,
    /// Whether another controller forwarded it here; it may go to its first choice only.
    pub in_transit: bool,
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The call was set up and has now ended.
    Ok,
    /// An error, or all lines of the dialled number were busy.
    Error,
    /// Rejected for lack of capacity; it was not executed.
    Full,
    /// No answer in time; it may have been executed.
    TimedOut,
    /// No connection; it was not executed.
    ConnectFailed,
    /// The connection broke; it may have been executed.
    Reset,
    /// Cancelled on request; it may have been executed.
    Cancelled,
    /// Not sent; it was not executed.
    NotSent,
}

/// Why an attempt failed, as reported by the call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// Not reported.
    None,
    /// No free circuit or line at the call server.
    NoCircuit,
    /// Rejected on the way, before it was processed.
    TurnedBack,
    /// The processor's queue was full.
    ProcessorFull,
    /// The processor's queue was full; carries the wait that it reported.
    ProcessorFullFor(Span),
    /// All lines of the dialled number are busy.
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
    /// Index of the attempt.
    pub attempt: Attempt,
    /// The call server that it was sent to.
    pub server: ServerId,
    /// How it ended.
    pub outcome: Outcome,
    /// The reported cause.
    pub cause: Cause,
    /// Time since the attempt was sent.
    pub took: Span,
    /// Whether the call itself has ended; if not, the caller still needs a final answer.
    pub closed: bool,
    /// The call server's load report; empty if none was sent.
    pub load: LoadReport,
}

/// An input of the controller.
#[derive(Debug, Clone, PartialEq)]
pub enum Event {
    /// An update of the server list.
    List {
        /// How it relates to the current list.
        kind: ListKind,
        /// Its entries.
        entries: Vec<ServerEntry>,
    },
    /// A call has come in.
    Call(NewCall),
    /// The call is established; this is its final answer.
    Established {
        /// The call.
        call: CallId,
        /// Index of the attempt.
        attempt: Attempt,
        /// The call server that took it.
        server: ServerId,
        /// Time since the attempt was sent.
        took: Span,
    },
    /// An attempt has ended; reported exactly once per [`Action::Send`].
    Ended(AttemptEnd),
    /// The caller has hung up; the call is over.
    HungUp(CallId),
    /// A timer has expired.
    Timer(TimerToken),
    /// A load report, requested by [`Action::Probe`] or not.
    Load {
        /// The call server.
        server: ServerId,
        /// Whether the call server answered.
        outcome: Outcome,
        /// Its values; those that were not measured are -1.
        load: LoadReport,
    },
    /// Another controller's observation of a call server.
    Observation {
        /// The call server.
        server: ServerId,
        /// Queueing delay at its processor.
        wait: Span,
        /// Whether it accepted no connection.
        silent: bool,
        /// Time of the observation, or earlier where it is uncertain; never later.
        at: Time,
    },
    /// Another controller requests permits for a cold call server.
    PermitsRequested {
        /// Index of that controller.
        from: u16,
        /// The call server.
        server: ServerId,
        /// Permits requested.
        permits: Permits,
    },
    /// Another controller lends permits for a cold call server.
    PermitsReceived {
        /// The call server.
        server: ServerId,
        /// Permits received.
        permits: Permits,
    },
    /// A message from another controller.
    PeerMessage {
        /// Index of that controller.
        from: u16,
        /// The message bytes.
        data: Vec<u8>,
    },
}

/// An output of the controller, to be executed by the host program.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Action {
    /// Send a set-up. The attempt ends with [`Outcome::TimedOut`] after `timeout`, or when the caller gives
    /// up.
    Send {
        /// The call.
        call: CallId,
        /// The call server to send it to.
        server: ServerId,
        /// Attempt timeout; `None`: until the caller gives up.
        timeout: Option<Span>,
    },
    /// Final answer: the call is refused.
    Refuse {
        /// The call.
        call: CallId,
        /// How long the caller should wait before it retries; zero: not stated.
        retry_after: Span,
    },
    /// Final answer: the call has failed.
    Fail {
        /// The call.
        call: CallId,
    },
    /// Cancel an attempt; [`Event::Ended`] still has to report its end.
    Cancel {
        /// The call.
        call: CallId,
        /// Index of the attempt.
        attempt: Attempt,
    },
    /// Pass in [`Event::Timer`] with this token after `after`, never in the same event loop iteration.
    Timer {
        /// Delay from now.
        after: Span,
        /// Token to pass back.
        token: TimerToken,
    },
    /// Request a load report from a call server; [`Event::Load`] is the answer.
    Probe {
        /// The call server.
        server: ServerId,
    },
    /// Close the idle connections to a call server.
    CloseIdle {
        /// The call server.
        server: ServerId,
    },
    /// Send at most 256 bytes to another controller, or to all.
    SendToPeers {
        /// Index of the receiving controller; `None`: all.
        to: Option<u16>,
        /// The message bytes.
        data: Vec<u8>,
    },
    /// A call found too few permits for a cold call server: request them from other controllers.
    RequestPermits {
        /// The call server.
        server: ServerId,
        /// Permits missing.
        permits: Permits,
    },
    /// Permits were taken from the local token bucket: send them to another controller.
    LendPermits {
        /// Index of the receiving controller.
        to: u16,
        /// The call server.
        server: ServerId,
        /// Permits lent.
        permits: Permits,
    },
    /// Subscribe to changes of the server list (`true`) or unsubscribe; [`Event::List`] is the answer.
    SubscribeList(bool),
    /// Fetch the whole server list once; [`Event::List`] is the answer.
    FetchList,
    /// Write a line to the operators' log.
    Log(String),
}
