//! What the core hears and what it asks for. No wire's form shows here.

use serde::{Deserialize, Serialize};

use std::net::SocketAddr;
use std::rc::Rc;

use crate::interface::{Cause, Cell, LoadField, ServerId, ServerState, Span, Time};

/// A call's name on the wires: 16 characters, passed on as they came.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Sid(pub [u8; 16]);

impl Sid {
    /// Reads 16 hex digits.
    pub fn parse(text: &str) -> Option<Sid> {
        let bytes: [u8; 16] = text.as_bytes().try_into().ok()?;
        bytes.iter().all(u8::is_ascii_hexdigit).then_some(Sid(bytes))
    }
    /// The name that a number stands for, for fronts whose wire has no such name.
    pub fn from_number(number: u64) -> Sid {
        let mut bytes = [b'0'; 16];
        for (at, byte) in bytes.iter_mut().enumerate() {
            let digit = (number >> (60 - 4 * at)) & 15;
            *byte = b"0123456789abcdef"[digit as usize];
        }
        Sid(bytes)
    }
    /// The name as text.
    pub fn as_str(&self) -> &str {
        std::str::from_utf8(&self.0).unwrap_or("")
    }
}

impl std::fmt::Display for Sid {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Which front a caller stands at.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum FrontKind {
    /// Many calls share a connection; what concerns a call may go on any of them.
    JsonLines,
    /// Each call has a leg of its own.
    Iax2,
}

/// A caller's connection or leg.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Client {
    /// Its front.
    pub front: FrontKind,
    /// Its number there, never used twice.
    pub no: u64,
}

/// How a call server is spoken to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Protocol {
    /// SIP over TCP.
    Sip,
    /// IAX2 over UDP.
    Iax2,
}

/// Who told of a call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Source {
    /// The bulletin.
    Bulletin,
    /// DNS-SD records.
    DnsSd,
    /// The call servers themselves.
    Registered,
}

/// A line of a directory.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectoryEntry {
    /// The call server's name; stays over restarts.
    pub host: String,
    /// Its address.
    #[serde(rename = "dial")]
    pub address: SocketAddr,
    /// How it is spoken to.
    pub protocol: Protocol,
    /// Its number as a destination.
    pub cell: Cell,
    /// Its zone, by position in the settings.
    pub zone: u16,
    /// Unix milliseconds of a late start, or 0.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// Its state.
    pub state: ServerState,
}

/// A set-up as a front took it in.
#[derive(Debug, Clone)]
pub struct SetUp {
    /// The call.
    pub sid: Sid,
    /// Name of its class.
    pub class: Rc<str>,
    /// Name of its tenant, where it names one.
    pub tenant: Option<Rc<str>>,
    /// How long the caller still waits.
    pub left: Span,
    /// The number called, as it came.
    pub number: Rc<str>,
    /// The cell of first choice.
    pub dest: Option<Cell>,
    /// Whether the caller says that it has dialled before.
    pub redialled: bool,
    /// The description.
    pub body: Rc<str>,
}

/// How far an attempt had come when its way broke.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Progress {
    /// No connection stood.
    NotConnected,
    /// It waited to be written; no byte had left.
    Queued,
    /// Its first byte had left.
    Written,
    /// The call server had answered.
    Answered,
}

impl Progress {
    /// Whether the attempt provably never ran.
    pub fn never_ran(self) -> bool {
        self < Progress::Written
    }
}

/// An attempt that ended without the call server saying so.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("{error} ({progress:?})")]
pub struct AttemptError {
    /// What broke.
    pub error: TransportError,
    /// How far it had come.
    pub progress: Progress,
}

/// What can break under an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum TransportError {
    /// The connection could not be made.
    #[error("no connection")]
    ConnectFailed,
    /// The connection ended.
    #[error("the connection ended")]
    ConnectionClosed,
    /// What came could not be read.
    #[error("unreadable bytes")]
    Malformed,
    /// Taken back before its first byte left.
    #[error("withdrawn")]
    Cancelled,
    /// Nothing was acknowledged.
    #[error("not acknowledged")]
    NotAcknowledged,
}

/// A call server's reason not to set a call up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Full; it never ran.
    Full,
    /// A fault, or the number is busy.
    Error,
    /// It never left.
    NotSent,
    /// TransportError on its way.
    Reset,
}

/// Load figures as a call server told them.
pub type LoadValues = Vec<(LoadField, f32)>;

/// What a call server's side says of a call.
#[derive(Debug, Clone)]
pub enum ServerEvent {
    /// The call stands, with this description.
    Answered(Rc<str>),
    /// The set-up was refused.
    Refused(Refusal, Cause, LoadValues),
    /// The call that stood is over, for this cause.
    Released(u16, LoadValues),
    /// The attempt's way broke.
    Lost(AttemptError),
}

/// What the core hears.
#[derive(Debug, Clone)]
pub enum Input {
    /// A caller's connection or leg is there.
    ClientUp(Client),
    /// It is gone.
    ClientDown(Client),
    /// A test came in on it: this is the front that looks after controllers, and no caller.
    HealthCheck(Client),
    /// A set-up came in on it.
    SetUp(Client, SetUp),
    /// A caller gives a set-up up or ends its call.
    HangUp(Client, Sid, u16),
    /// A caller has heard of a release.
    ReleaseConfirmed(Sid),
    /// A call server's side says this of a call.
    Server(ServerId, Sid, ServerEvent),
    /// A call server reports its load unasked.
    Load(ServerId, LoadValues),
    /// A call server's process has died; its calls are cut.
    ServerDied(ServerId),
    /// News of the call servers.
    List {
        /// Who tells.
        source: Source,
        /// Whether what is not named has left.
        whole: bool,
        /// The lines.
        hosts: Vec<DirectoryEntry>,
    },
    /// A datagram of a peer.
    PeerMessage(u16, Vec<u8>),
    /// Time has passed.
    Tick,
}

/// What the core asks of the wires, in order.
#[derive(Debug, Clone)]
pub enum Effect {
    /// Tell the caller that its call stands.
    Answer(Client, Sid, Rc<str>),
    /// Final answer: refused (`retryable`: trying again is harmless) or failed; how long to stay away.
    Refuse {
        /// Where the set-up came in.
        client: Client,
        /// The call.
        sid: Sid,
        /// Whether trying again is harmless.
        retryable: bool,
        /// Time to stay away; zero: not said.
        retry_after: Span,
    },
    /// Tell the caller that its call is over.
    Release(Client, Sid, u16),
    /// Tell the caller that its release was heard.
    ConfirmRelease(Client, Sid),
    /// No answer is owed on this connection for one of its set-ups any more.
    AnswerNoLongerOwed(Client),
    /// This caller said what cannot be meant.
    ProtocolViolation(Client),
    /// Send a set-up.
    Invite {
        /// Where to.
        server: ServerId,
        /// The call.
        sid: Sid,
        /// Name of its class.
        class: Rc<str>,
        /// The number called.
        number: Rc<str>,
        /// How long an answer is waited for.
        left: Span,
        /// The description.
        body: Rc<str>,
    },
    /// Give a set-up up.
    Cancel(ServerId, Sid),
    /// End a call that stands.
    Bye(ServerId, Sid, u16),
    /// Keep up a way to this call server; one that has started anew knows nothing of ways made before that.
    Connect {
        /// Which.
        server: ServerId,
        /// Where it listens.
        address: SocketAddr,
        /// How it is spoken to.
        protocol: Protocol,
        /// When it has started anew.
        restarted_at: Option<Time>,
    },
    /// Take back what has not left for this call server.
    CancelQueued(ServerId),
    /// Make no more ways to this call server.
    StopConnecting(ServerId),
    /// Another call server is at its address: its process is gone.
    ServerReplaced(ServerId),
    /// It has left for good: keep nothing of it.
    ForgetServer(ServerId),
    /// A call stands there, as the records of a life before tell.
    RestoreCall {
        /// Where.
        server: ServerId,
        /// The call.
        sid: Sid,
        /// The number called.
        number: Rc<str>,
    },
    /// Send a datagram to a peer, or to all.
    SendToPeers(Option<u16>, Vec<u8>),
    /// A line for the people on call.
    Log(String),
}
