//! The datagrams: a version byte, a kind byte, the tag of the cluster, and a body in MessagePack.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::version::{Dot, SourceId, Stamp, VersionVector, MAX_SOURCES};

/// The version byte that every datagram begins with.
pub const WIRE_VERSION: u8 = 0x10;
/// Bytes that a datagram holds at most.
pub const MAX_DATAGRAM: usize = 1_200;
/// Bytes of a key at most.
pub const MAX_KEY_LENGTH: usize = 128;
/// Bytes of a value at most: with the longest key and vectors of all sources it still fits one datagram.
pub const MAX_VALUE_LENGTH: usize = 768;
/// Bytes of a name (of a member, region, zone or service) at most.
pub const MAX_NAME_LENGTH: usize = 64;
/// Names that a message lists at most.
pub const MAX_LISTED_NAMES: usize = 8;
/// Rejected changes that a message lists at most.
pub const MAX_LISTED_REJECTIONS: usize = 4;
/// Addresses that a welcome lists at most.
pub const MAX_LISTED_PEERS: usize = 8;
/// Changes that one message holds at most.
pub const MAX_CHANGES: usize = 64;
/// Parts into which the keys are divided for comparison by hash.
pub const PARTITIONS: usize = 128;

const HEADER_LENGTH: usize = 10;
/// Bytes of one partition's hash.
pub const HASH_LENGTH: usize = 8;

/// Why a datagram was not taken.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than a datagram may be.
    #[error("{0} bytes, {MAX_DATAGRAM} at most")]
    TooLong(usize),
    /// Shorter than the header.
    #[error("{0} bytes are no datagram")]
    TooShort(usize),
    /// Not this version of the protocol.
    #[error("version {0:#04x} is not {WIRE_VERSION:#04x}")]
    Version(u8),
    /// Of another cluster.
    #[error("of another cluster")]
    OtherCluster,
    /// A kind of message that does not exist.
    #[error("kind {0} of message does not exist")]
    Kind(u8),
    /// The body is not what its kind says.
    #[error("{kind}: {why}")]
    Body {
        /// The kind of message.
        kind: &'static str,
        /// What is wrong.
        why: String,
    },
    /// A field holds what cannot be.
    #[error("{kind}: {field} out of bounds")]
    Field {
        /// The kind of message.
        kind: &'static str,
        /// The field.
        field: &'static str,
    },
    /// The sender is neither a member nor a seed, and this is no request to join.
    #[error("{0} is neither a member nor a seed")]
    UnknownSender(SocketAddr),
}

/// One change of a key, as a source accepted it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Arc<str>,
    /// The value; none: the key is deleted.
    pub value: Option<Bytes>,
    /// Time and identity.
    pub stamp: Stamp,
    /// The latest changes of this key, one a source, that the writer knew of.
    pub seen: Box<[Dot]>,
}

impl Change {
    /// Whether its writer knew of the other change of the same key.
    pub fn has_seen(&self, other: Dot) -> bool {
        self.seen.iter().any(|dot| dot.source == other.source && dot.version() >= other.version())
            || (self.stamp.dot.source == other.source && self.stamp.dot.version() >= other.version())
    }

    fn wrong_field(&self) -> Option<&'static str> {
        if self.key.is_empty() || self.key.len() > MAX_KEY_LENGTH {
            return Some("key");
        }
        if self.value.as_ref().is_some_and(|value| value.len() > MAX_VALUE_LENGTH) {
            return Some("value");
        }
        if !self.stamp.is_plausible() {
            return Some("stamp");
        }
        let plausible = self.seen.len() <= MAX_SOURCES && self.seen.iter().all(|dot| dot.is_plausible());
        (!plausible).then_some("seen")
    }
}

/// A controller asks a source to be a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its zone.
    pub zone: String,
    /// Its service.
    pub service: String,
    /// Its incarnation: a higher one replaces a lower one.
    pub incarnation: u32,
    /// Its number, if it is a source itself.
    pub source: Option<SourceId>,
}

/// The source has made it a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The incarnation that joined.
    pub incarnation: u32,
    /// The source that hears its heartbeats from now on.
    pub home: SourceId,
    /// Some members to begin with.
    pub peers: Vec<SocketAddr>,
}

/// Another process of this name is a member, with this incarnation.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRefused {
    /// The incarnation known.
    pub known: u32,
}

/// A member tells its home source that it lives and what is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Its incarnation.
    pub incarnation: u32,
    /// What it has applied.
    pub vector: VersionVector,
    /// Changes that it holds and does not use, since they are not valid for it.
    pub rejected: Vec<Dot>,
}

/// The home source heard a heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// The incarnation heard.
    pub incarnation: u32,
}

/// A member goes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Its incarnation.
    pub incarnation: u32,
}

/// A change that some members do not use.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The change.
    pub dot: Dot,
    /// By how many.
    pub count: u32,
    /// One of them.
    pub name: String,
}

/// A source tells the other sources how far its members are.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// The source that tells.
    pub source: SourceId,
    /// Members whose home it is.
    pub members: u32,
    /// What all of them have applied.
    pub least: VersionVector,
    /// Members that have not applied all that the source has.
    pub behind: u32,
    /// Some of those.
    pub names: Vec<String>,
    /// Changes that some of its members do not use.
    pub rejected: Vec<Rejection>,
}

/// Changes, in the order of their logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Arc<Change>>,
    /// The sender has more for the receiver, which is to ask again.
    pub more: bool,
    /// They are new, and passed on by whoever hears them first.
    pub rumor: bool,
}

/// What the sender has.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// What it has applied.
    pub vector: VersionVector,
    /// The hash of all entries.
    pub hash: u64,
    /// It has caught up with the others.
    pub ready: bool,
    /// This answers a digest and is not to be answered by another.
    pub reply: bool,
}

/// The hashes of all partitions: whoever holds others pulls those that differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hashes {
    /// What the sender has applied.
    pub vector: VersionVector,
    /// [`PARTITIONS`] hashes of [`HASH_LENGTH`] bytes.
    pub hashes: Bytes,
    /// It has caught up with the others.
    pub ready: bool,
    /// This answers hashes and is not to be answered by others.
    pub reply: bool,
}

/// Asks for a piece of the snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRequest {
    /// The partition.
    pub partition: u8,
    /// The last key that the asker has; empty: from the first on.
    pub after: String,
}

/// A piece of the snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The partition.
    pub partition: u8,
    /// As asked.
    pub after: String,
    /// What the sender has applied.
    pub vector: VersionVector,
    /// It has caught up with the others.
    pub ready: bool,
    /// There is more after the last of these.
    pub more: bool,
    /// The entries, by key.
    pub entries: Vec<Arc<Change>>,
}

/// What a datagram says.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Message {
    /// See [`Join`].
    Join(Join),
    /// See [`Welcome`].
    Welcome(Welcome),
    /// See [`JoinRefused`].
    JoinRefused(JoinRefused),
    /// See [`Heartbeat`].
    Heartbeat(Heartbeat),
    /// See [`HeartbeatAck`].
    HeartbeatAck(HeartbeatAck),
    /// See [`Leave`].
    Leave(Leave),
    /// See [`Summary`].
    Summary(Summary),
    /// See [`Changes`].
    Changes(Changes),
    /// See [`Digest`].
    Digest(Digest),
    /// See [`Hashes`].
    Hashes(Hashes),
    /// See [`PieceRequest`].
    PieceRequest(PieceRequest),
    /// See [`Piece`].
    Piece(Piece),
}

/// The tag of a cluster: datagrams of another one are dropped.
pub fn cluster_tag(cluster: &str) -> u64 {
    first_eight(&Sha256::digest(cluster.as_bytes()))
}

/// The first eight bytes as a number.
pub fn first_eight(bytes: &[u8]) -> u64 {
    bytes.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

impl Message {
    fn kind(&self) -> u8 {
        match self {
            Message::Join(_) => 1,
            Message::Welcome(_) => 2,
            Message::JoinRefused(_) => 3,
            Message::Heartbeat(_) => 4,
            Message::HeartbeatAck(_) => 5,
            Message::Leave(_) => 6,
            Message::Summary(_) => 7,
            Message::Changes(_) => 8,
            Message::Digest(_) => 9,
            Message::Hashes(_) => 10,
            Message::PieceRequest(_) => 11,
            Message::Piece(_) => 12,
        }
    }

    /// The datagram.
    pub fn encode(&self, cluster: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.push(WIRE_VERSION);
        out.push(self.kind());
        out.extend_from_slice(&cluster.to_be_bytes());
        match self {
            Message::Join(body) => write(&mut out, body),
            Message::Welcome(body) => write(&mut out, body),
            Message::JoinRefused(body) => write(&mut out, body),
            Message::Heartbeat(body) => write(&mut out, body),
            Message::HeartbeatAck(body) => write(&mut out, body),
            Message::Leave(body) => write(&mut out, body),
            Message::Summary(body) => write(&mut out, body),
            Message::Changes(body) => write(&mut out, body),
            Message::Digest(body) => write(&mut out, body),
            Message::Hashes(body) => write(&mut out, body),
            Message::PieceRequest(body) => write(&mut out, body),
            Message::Piece(body) => write(&mut out, body),
        }
        out
    }

    /// Reads a datagram of this cluster.
    pub fn decode(cluster: u64, bytes: &[u8]) -> Result<Message, MessageError> {
        if bytes.len() > MAX_DATAGRAM {
            return Err(MessageError::TooLong(bytes.len()));
        }
        if bytes.len() < HEADER_LENGTH {
            return Err(MessageError::TooShort(bytes.len()));
        }
        if bytes[0] != WIRE_VERSION {
            return Err(MessageError::Version(bytes[0]));
        }
        if bytes[2..HEADER_LENGTH] != cluster.to_be_bytes() {
            return Err(MessageError::OtherCluster);
        }
        let body = &bytes[HEADER_LENGTH..];
        let message = match bytes[1] {
            1 => Message::Join(read("join", body)?),
            2 => Message::Welcome(read("welcome", body)?),
            3 => Message::JoinRefused(read("join refused", body)?),
            4 => Message::Heartbeat(read("heartbeat", body)?),
            5 => Message::HeartbeatAck(read("heartbeat ack", body)?),
            6 => Message::Leave(read("leave", body)?),
            7 => Message::Summary(read("summary", body)?),
            8 => Message::Changes(read("changes", body)?),
            9 => Message::Digest(read("digest", body)?),
            10 => Message::Hashes(read("hashes", body)?),
            11 => Message::PieceRequest(read("piece request", body)?),
            12 => Message::Piece(read("piece", body)?),
            kind => return Err(MessageError::Kind(kind)),
        };
        match message.wrong_field() {
            Some((kind, field)) => Err(MessageError::Field { kind, field }),
            None => Ok(message),
        }
    }

    /// The field that holds what cannot be, with the kind of message.
    fn wrong_field(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Message::Join(join) => {
                let names = [&join.region, &join.zone, &join.service];
                if !is_name(&join.name) || join.name.is_empty() {
                    return Some(("join", "name"));
                }
                if join.source.is_some_and(|source| !is_source(source)) {
                    return Some(("join", "source"));
                }
                (!names.iter().all(|name| is_name(name))).then_some(("join", "region, zone or service"))
            }
            Message::Welcome(welcome) => {
                if !is_source(welcome.home) {
                    return Some(("welcome", "home"));
                }
                (welcome.peers.len() > MAX_LISTED_PEERS).then_some(("welcome", "peers"))
            }
            Message::Heartbeat(heartbeat) => {
                let rejected = &heartbeat.rejected;
                let fits =
                    rejected.len() <= MAX_LISTED_REJECTIONS && rejected.iter().all(|d| d.is_plausible());
                (!fits).then_some(("heartbeat", "rejected"))
            }
            Message::Summary(summary) => {
                if !is_source(summary.source) {
                    return Some(("summary", "source"));
                }
                let names = &summary.names;
                if names.len() > MAX_LISTED_NAMES || !names.iter().all(|name| is_name(name)) {
                    return Some(("summary", "names"));
                }
                let rejected = &summary.rejected;
                let fits =
                    rejected.len() <= MAX_LISTED_REJECTIONS && rejected.iter().all(|r| is_name(&r.name));
                (!fits).then_some(("summary", "rejected"))
            }
            Message::Changes(changes) => wrong_change(&changes.changes).map(|field| ("changes", field)),
            Message::Piece(piece) => {
                if usize::from(piece.partition) >= PARTITIONS {
                    return Some(("piece", "partition"));
                }
                wrong_change(&piece.entries).map(|field| ("piece", field))
            }
            Message::PieceRequest(request) => {
                (usize::from(request.partition) >= PARTITIONS).then_some(("piece request", "partition"))
            }
            Message::Hashes(hashes) => {
                (hashes.hashes.len() != PARTITIONS * HASH_LENGTH).then_some(("hashes", "hashes"))
            }
            Message::JoinRefused(_) | Message::HeartbeatAck(_) | Message::Leave(_) | Message::Digest(_) => {
                None
            }
        }
    }
}

/// The bytes that a change takes in a message.
pub fn encoded_length(change: &Change) -> usize {
    rmp_serde::to_vec(change).map_or(MAX_DATAGRAM, |bytes| bytes.len())
}

fn wrong_change(changes: &[Arc<Change>]) -> Option<&'static str> {
    if changes.len() > MAX_CHANGES {
        return Some("changes");
    }
    changes.iter().find_map(|change| change.wrong_field())
}

fn is_source(source: SourceId) -> bool {
    usize::from(source.0) < MAX_SOURCES
}

fn is_name(name: &str) -> bool {
    name.len() <= MAX_NAME_LENGTH && !name.chars().any(char::is_control)
}

fn write<T: Serialize>(out: &mut Vec<u8>, body: &T) {
    // Into memory, and of types without maps of unknown length: this cannot fail.
    let _ = rmp_serde::encode::write(out, body);
}

fn read<T: DeserializeOwned>(kind: &'static str, body: &[u8]) -> Result<T, MessageError> {
    rmp_serde::from_slice(body).map_err(|error| MessageError::Body { kind, why: error.to_string() })
}
