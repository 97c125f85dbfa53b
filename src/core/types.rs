//! Inputs and effects of the core, independent of any wire format.

use serde::{Deserialize, Serialize};

use std::net::SocketAddr;
use std::rc::Rc;

use crate::interface::{Cause, Cell, LoadField, ServerId, ServerState, Span, Time};

/// A call's identifier on the wire: 16 characters, passed on unchanged.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sid(pub [u8; 16]);

impl Sid {
    /// Parses 16 hexadecimal digits.
    pub fn parse(text: &str) -> Option<Sid> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes.iter().all(u8::is_ascii_hexdigit).then_some(Sid(bytes))
    }
    /// The identifier for a number; used by fronts whose protocol has no such identifier.
    pub fn from_number(number: u64) -> Sid {
        let mut bytes = [b'0'; 16];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digit = (number >> (60 - 4 * at)) & 15;
            *byte = b"0123456789abcdef"[digit as usize];
        }
        Sid(bytes)
    }
    /// The identifier as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

impl std::fmt::Display for Sid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The front that a client connection belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FrontKind {
    /// JSON lines: many calls share a connection, and a message about a call may go on any connection.
    JsonLines,
    /// IAX2: each call has a call leg of its own.
    Iax2,
}

/// A client connection, or a call leg of the IAX2 front.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Client {
    /// Its front.
    pub front: FrontKind,
    /// Its number within the front; never reused.
    pub no: u64,
}

/// The protocol used with a call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Protocol {
    /// SIP over TCP.
    Sip,
    /// IAX2 over UDP.
    Iax2,
}

/// The directory that lists a call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The bulletin.
    Bulletin,
    /// DNS-SD records.
    DnsSd,
    /// Registrations by the call servers themselves.
    Registered,
}

/// A directory's entry for one call server.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The call server's host name; it stays the same across restarts.
    pub host: String,
    /// The address that it listens on.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// The protocol used with it.
    pub protocol: Protocol,
    /// The number by which calls name it as their destination.
    pub cell: Cell,
    /// Index of its zone in the settings.
    pub zone: u16,
    /// When its process started, in Unix milliseconds; 0 if that is not known or long ago.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Its state.
    pub state: ServerState,
}

/// A set-up request as parsed by a front.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// The call.
    pub sid: Sid,
    /// Name of its class.
    pub class: Rc<str>,
    /// Name of its tenant, if given.
    pub tenant: Option<Rc<str>>,
    /// How long the caller will still wait for an answer.
    pub left: Span,
    /// The number called, as received.
    pub number: Rc<str>,
    /// The preferred cell.
    pub dest: Option<Cell>,
    /// Whether the caller marks this as a repeat of an earlier set-up.
    pub redialled: bool,
    /// The call description.
    pub body: Rc<str>,
}

/// How far an attempt had got when its connection or leg failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection was established.
    NotConnected,
    /// It was queued; no byte had been written.
    Queued,
    /// At least its first byte had been written.
    Written,
    /// The call server had answered.
    Answered,
}

impl Progress {
    /// Whether the call server cannot have processed the attempt.
    pub fn never_ran(self) -> bool {
        self < Progress::Written
    }
}

/// An attempt that ended without an answer from the call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{error} ({progress:?})")]
pub struct AttemptError {
    /// The error.
    pub error: TransportError,
    /// How far the attempt had got.
    pub progress: Progress,
}

/// Errors of the transport that end an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// The connection could not be established.
    #[error("could not connect to the call server")]
    ConnectFailed,
    /// The connection was closed.
    #[error("connection closed")]
    ConnectionClosed,
    /// The call server sent something that cannot be parsed.
    #[error("malformed message from the call server")]
    Malformed,
    /// The set-up was cancelled before it was sent, or before the call server acknowledged it.
    #[error("set-up cancelled")]
    Cancelled,
    /// The call server acknowledged none of the retransmissions.
    #[error("not acknowledged by the call server")]
    NotAcknowledged,
}

/// The outcome that a call server or an adapter reports for a set-up that was not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// No capacity; the call did not run.
    Full,
    /// The call server failed, or the number is busy.
    Error,
    /// It was not sent.
    NotSent,
    /// It was lost on the way; the call may have run.
    Reset,
}

/// Load values as reported by a call server.
pub type LoadValues = Vec<(LoadField, f32)>;

/// An event of a call, reported by the adapter for its call server.
#[derive(Debug, Clone)]
pub enum ServerEvent {
    /// The call is established, with this description.
    Answered(Rc<str>),
    /// The set-up was refused.
    Refused(Refusal, Cause, LoadValues),
    /// The established call has ended, with this cause.
    Released(u16, LoadValues),
    /// The attempt's connection or leg failed.
    Lost(AttemptError),
}

/// Inputs of the core.
#[derive(Debug, Clone)]
pub enum Input {
    /// A client connection or leg was opened.
    ClientUp(Client),
    /// A client connection or leg was closed.
    ClientDown(Client),
    /// A health check arrived on this connection: its peer is the platform's health checker, not a caller.
    HealthCheck(Client),
    /// A set-up request arrived on this connection.
    SetUp(Client, SetUp),
    /// A caller cancels a set-up or ends its call, with this cause.
    HangUp(Client, Sid, u16),
    /// A caller confirms a release.
    ReleaseConfirmed(Sid),
    /// An event of a call at a call server.
    Server(ServerId, Sid, ServerEvent),
    /// A call server reports its load outside of any call.
    Load(ServerId, LoadValues),
    /// A call server's process has died, and its calls with it.
    ServerDied(ServerId),
    /// An update of a directory.
    List {
        /// The directory.
        source: Source,
        /// Whether the list is complete: call servers missing from it have left.
        whole: bool,
        /// Its entries.
        hosts: Vec<DirectoryEntry>,
    },
    /// A datagram from the peer of this number.
    PeerMessage(u16, Vec<u8>),
    /// Time has passed; nothing else happened.
    Tick,
}

/// Why a call gets a negative final answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum RefusalReason {
    /// The decision module refuses or fails it.
    #[error("decided by the policy")]
    Decided,
    /// Its caller's wait is over.
    #[error("the caller's wait is over")]
    CallerTimeout,
    /// Its call server released it before its answer arrived.
    #[error("released before its answer arrived")]
    ReleasedBeforeAnswer,
    /// Its identifier is in use or was used before.
    #[error("identifier already used")]
    DuplicateIdentifier,
    /// It has an unknown class, or a value out of range.
    #[error("invalid set-up")]
    Invalid,
    /// The controller is stopping.
    #[error("the controller is stopping")]
    Stopping,
    /// There is no capacity, or no list of call servers yet.
    #[error("no capacity, or no list of call servers")]
    NoCapacity,
}

/// Effects that the protocol adapters carry out, in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Tell the caller that its call is established, with this description.
    Answer(Client, Sid, Rc<str>),
    /// Final answer: refused (`retryable`) or failed.
    Refuse {
        /// The connection that the answer goes to.
        client: Client,
        /// The call.
        sid: Sid,
        /// Whether the caller may safely try again.
        retryable: bool,
        /// How long the caller is asked to wait before it tries again; zero: not specified.
        retry_after: Span,
        /// Why the call is refused; for the log.
        reason: RefusalReason,
    },
    /// Tell the caller that its call has ended, with this cause.
    Release(Client, Sid, u16),
    /// Confirm to the caller that its hang-up was received.
    ConfirmRelease(Client, Sid),
    /// One set-up of this connection no longer needs an answer on it.
    AnswerNoLongerOwed(Client),
    /// This client sent a request that cannot be valid.
    ProtocolViolation(Client),
    /// Send a set-up.
    Invite {
        /// The call server.
        server: ServerId,
        /// The call.
        sid: Sid,
        /// Name of its class.
        class: Rc<str>,
        /// The number called.
        number: Rc<str>,
        /// How long the core waits for an answer.
        left: Span,
        /// The call description.
        body: Rc<str>,
    },
    /// Cancel a set-up.
    Cancel(ServerId, Sid),
    /// End an established call, with this cause.
    Bye(ServerId, Sid, u16),
    /// This call server's process was started at the given time: it has no calls or connections from before.
    ServerRestarted(ServerId, Time),
    /// Keep a connection to this call server.
    Connect {
        /// The call server.
        server: ServerId,
        /// The address that it listens on.
        address: SocketAddr,
        /// The protocol used with it.
        protocol: Protocol,
    },
    /// Cancel the set-ups that have not been sent to this call server yet.
    CancelQueued(ServerId),
    /// Open no more connections to this call server.
    StopConnecting(ServerId),
    /// Another call server has taken its address: its process no longer exists.
    ServerReplaced(ServerId),
    /// It has left for good: discard all state about it.
    ForgetServer(ServerId),
    /// A call is established there, according to the records of the previous run.
    RestoreCall {
        /// The call server.
        server: ServerId,
        /// The call.
        sid: Sid,
        /// The number called.
        number: Rc<str>,
    },
    /// Send a datagram to one peer, or to all if `None`.
    SendToPeers(Option<u16>, Vec<u8>),
    /// Write a line to the log for operators.
    Log(String),
}
