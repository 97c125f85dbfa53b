//! Datagram format: a version byte, a kind byte, the tag of the cluster, and a MessagePack body.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

use super::version::{Dot, SourceId, Stamp, VersionVector, MAX_SOURCES};

/// Protocol version, the first byte of every datagram.
pub const WIRE_VERSION: u8 = 0x10;
/// Maximum length of a datagram in bytes.
pub const MAX_DATAGRAM: usize = 1_200;
/// Maximum length of a key in bytes.
pub const MAX_KEY_LENGTH: usize = 128;
/// Maximum length of a value in bytes. With the longest key and vectors of all sources it still fits one datagram.
pub const MAX_VALUE_LENGTH: usize = 768;
/// Maximum length in bytes of the name of a member, region, zone or service.
pub const MAX_NAME_LENGTH: usize = 64;
/// Maximum number of names listed in a message.
pub const MAX_LISTED_NAMES: usize = 8;
/// Maximum number of rejected changes listed in a message.
pub const MAX_LISTED_REJECTIONS: usize = 4;
/// Maximum number of addresses listed in a welcome.
pub const MAX_LISTED_PEERS: usize = 8;
/// Maximum number of changes in one message.
pub const MAX_CHANGES: usize = 64;
/// Number of partitions of the key space for comparison by hash.
pub const PARTITIONS: usize = 128;

const HEADER_LENGTH: usize = 10;
/// Length of a partition's hash in bytes.
pub const HASH_LENGTH: usize = 8;

/// Reason why a datagram was not accepted.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum MessageError {
    /// Longer than [`MAX_DATAGRAM`].
    #[error("datagram of {0} bytes exceeds the limit of {MAX_DATAGRAM} bytes")]
    TooLong(usize),
    /// Shorter than the header.
    #[error("datagram of {0} bytes is shorter than its header")]
    TooShort(usize),
    /// Unsupported protocol version.
    #[error("unsupported protocol version {0:#04x}, expected {WIRE_VERSION:#04x}")]
    Version(u8),
    /// Sent by a member of another cluster.
    #[error("datagram belongs to another cluster")]
    OtherCluster,
    /// Unknown message kind.
    #[error("unknown message kind {0}")]
    Kind(u8),
    /// The body cannot be decoded as a message of its kind.
    #[error("{kind}: {why}")]
    Body {
        /// The kind of message.
        kind: &'static str,
        /// Error of the decoder.
        why: String,
    },
    /// A field holds a value out of its bounds.
    #[error("{kind}: field {field} is out of bounds")]
    Field {
        /// The kind of message.
        kind: &'static str,
        /// The name of the field.
        field: &'static str,
    },
    /// The sender is neither a member nor a seed, and the message is not a join request.
    #[error("sender {0} is neither a member nor a seed")]
    UnknownSender(SocketAddr),
}

/// A change of a key that a source accepted.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Change {
    /// The key.
    pub key: Arc<str>,
    /// The new value; `None` deletes the key.
    pub value: Option<Bytes>,
    /// Time and identity of the change.
    pub stamp: Stamp,
    /// Causal history: for each source, the latest change of this key that the writer knew of.
    pub seen: Box<[Dot]>,
}

impl Change {
    /// Returns whether the writer knew of another change of the same key.
    pub fn has_seen(&self, other: Dot) -> bool {
        self.seen.iter().any(|dot| dot.source == other.source && dot.version() >= other.version())
            || (self.stamp.dot.source == other.source && self.stamp.dot.version() >= other.version())
    }

    /// Returns the name of the first field that is out of bounds.
    fn invalid_field(&self) -> Option<&'static str> {
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

/// Request of a controller to a source to become a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Join {
    /// Name of the controller.
    pub name: String,
    /// Region of the controller.
    pub region: String,
    /// Zone of the controller.
    pub zone: String,
    /// Service of the controller.
    pub service: String,
    /// Incarnation of the process; a higher one replaces a lower one.
    pub incarnation: u32,
    /// Source number, if the controller is a source itself.
    pub source: Option<SourceId>,
}

/// Answer to a join: the controller is now a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Welcome {
    /// The incarnation that joined.
    pub incarnation: u32,
    /// The source that receives its heartbeats from now on.
    pub home: SourceId,
    /// Addresses of some members, to start gossip with.
    pub peers: Vec<SocketAddr>,
}

/// Answer to a join: another process of this name is a member already.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct JoinRefused {
    /// Incarnation of that member.
    pub known: u32,
}

/// Periodic report of a member to its home source: it is alive, and which changes it has applied.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Version vector of the changes that the sender has applied.
    pub vector: VersionVector,
    /// Changes that the sender holds but does not use, since they are not valid for it.
    pub rejected: Vec<Dot>,
}

/// Acknowledgement of a heartbeat by the home source.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeartbeatAck {
    /// Incarnation from the heartbeat.
    pub incarnation: u32,
}

/// Notice that a member leaves.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Leave {
    /// Incarnation of the sender.
    pub incarnation: u32,
}

/// A change that some members reject as invalid.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The change.
    pub dot: Dot,
    /// Number of members that reject it.
    pub count: u32,
    /// Name of one of them.
    pub name: String,
}

/// Periodic report of a source to the other sources on the progress of its members.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct Summary {
    /// The source that sends the summary.
    pub source: SourceId,
    /// Number of members whose home it is.
    pub members: u32,
    /// Greatest common version: what all of those members have applied.
    pub least: VersionVector,
    /// Number of those members that have not applied everything that the source has.
    pub behind: u32,
    /// Names of some members that are behind.
    pub names: Vec<String>,
    /// Changes that some of those members reject as invalid.
    pub rejected: Vec<Rejection>,
}

/// A batch of changes, in the order of their logs.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Changes {
    /// The changes.
    pub changes: Vec<Arc<Change>>,
    /// The sender has more changes; the receiver should send a digest to get them.
    pub more: bool,
    /// The changes are new: a replica that receives them for the first time forwards them.
    pub rumor: bool,
}

/// Summary of the sender's state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    /// Version vector of the changes that the sender has applied.
    pub vector: VersionVector,
    /// Hash of all entries.
    pub hash: u64,
    /// Whether the sender has caught up with the others.
    pub ready: bool,
    /// This answers a digest and must not be answered by another digest.
    pub reply: bool,
}

/// Hashes of all partitions; the receiver pulls the partitions whose hashes differ.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hashes {
    /// Version vector of the changes that the sender has applied.
    pub vector: VersionVector,
    /// [`PARTITIONS`] hashes of [`HASH_LENGTH`] bytes.
    pub hashes: Bytes,
    /// Whether the sender has caught up with the others.
    pub ready: bool,
    /// This answers hashes and must not be answered by further hashes.
    pub reply: bool,
}

/// Request for a piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceRequest {
    /// The partition.
    pub partition: u8,
    /// The last key that the requester has of the partition; empty to start with the first key.
    pub after: String,
}

/// A piece of a snapshot.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Piece {
    /// The partition.
    pub partition: u8,
    /// The key from the request.
    pub after: String,
    /// Version vector of the changes that the sender has applied.
    pub vector: VersionVector,
    /// Whether the sender has caught up with the others.
    pub ready: bool,
    /// The partition has more entries after the last one of this piece.
    pub more: bool,
    /// The entries, in key order.
    pub entries: Vec<Arc<Change>>,
}

/// A decoded datagram.
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

/// Returns the tag that marks the datagrams of a cluster; those with another tag are dropped.
pub fn cluster_tag(cluster: &str) -> u64 {
    u64_prefix(&Sha256::digest(cluster.as_bytes()))
}

/// Returns the first eight bytes as a big-endian number.
pub fn u64_prefix(bytes: &[u8]) -> u64 {
    bytes.iter().take(8).fold(0, |number, byte| number << 8 | u64::from(*byte))
}

impl Message {
    fn kind_byte(&self) -> u8 {
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

    /// Encodes the message as a datagram.
    pub fn encode(&self, cluster: u64) -> Vec<u8> {
        let mut out = Vec::with_capacity(256);
        out.push(WIRE_VERSION);
        out.push(self.kind_byte());
        out.extend_from_slice(&cluster.to_be_bytes());
        match self {
            Message::Join(body) => encode_body(&mut out, body),
            Message::Welcome(body) => encode_body(&mut out, body),
            Message::JoinRefused(body) => encode_body(&mut out, body),
            Message::Heartbeat(body) => encode_body(&mut out, body),
            Message::HeartbeatAck(body) => encode_body(&mut out, body),
            Message::Leave(body) => encode_body(&mut out, body),
            Message::Summary(body) => encode_body(&mut out, body),
            Message::Changes(body) => encode_body(&mut out, body),
            Message::Digest(body) => encode_body(&mut out, body),
            Message::Hashes(body) => encode_body(&mut out, body),
            Message::PieceRequest(body) => encode_body(&mut out, body),
            Message::Piece(body) => encode_body(&mut out, body),
        }
        out
    }

    /// Decodes and checks a datagram of this cluster.
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
            1 => Message::Join(decode_body("join", body)?),
            2 => Message::Welcome(decode_body("welcome", body)?),
            3 => Message::JoinRefused(decode_body("join refused", body)?),
            4 => Message::Heartbeat(decode_body("heartbeat", body)?),
            5 => Message::HeartbeatAck(decode_body("heartbeat ack", body)?),
            6 => Message::Leave(decode_body("leave", body)?),
            7 => Message::Summary(decode_body("summary", body)?),
            8 => Message::Changes(decode_body("changes", body)?),
            9 => Message::Digest(decode_body("digest", body)?),
            10 => Message::Hashes(decode_body("hashes", body)?),
            11 => Message::PieceRequest(decode_body("piece request", body)?),
            12 => Message::Piece(decode_body("piece", body)?),
            kind => return Err(MessageError::Kind(kind)),
        };
        match message.invalid_field() {
            Some((kind, field)) => Err(MessageError::Field { kind, field }),
            None => Ok(message),
        }
    }

    /// Returns the message kind and the name of the first field that is out of bounds.
    fn invalid_field(&self) -> Option<(&'static str, &'static str)> {
        match self {
            Message::Join(join) => {
                let names = [&join.region, &join.zone, &join.service];
                if !is_valid_name(&join.name) || join.name.is_empty() {
                    return Some(("join", "name"));
                }
                if join.source.is_some_and(|source| !is_valid_source(source)) {
                    return Some(("join", "source"));
                }
                (!names.iter().all(|name| is_valid_name(name))).then_some(("join", "region, zone or service"))
            }
            Message::Welcome(welcome) => {
                if !is_valid_source(welcome.home) {
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
                if !is_valid_source(summary.source) {
                    return Some(("summary", "source"));
                }
                let names = &summary.names;
                if names.len() > MAX_LISTED_NAMES || !names.iter().all(|name| is_valid_name(name)) {
                    return Some(("summary", "names"));
                }
                let rejected = &summary.rejected;
                let fits = rejected.len() <= MAX_LISTED_REJECTIONS
                    && rejected.iter().all(|r| is_valid_name(&r.name));
                (!fits).then_some(("summary", "rejected"))
            }
            Message::Changes(changes) => {
                invalid_change_field(&changes.changes).map(|field| ("changes", field))
            }
            Message::Piece(piece) => {
                if usize::from(piece.partition) >= PARTITIONS {
                    return Some(("piece", "partition"));
                }
                invalid_change_field(&piece.entries).map(|field| ("piece", field))
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

/// Returns the encoded length of a change in bytes.
pub fn encoded_length(change: &Change) -> usize {
    rmp_serde::to_vec(change).map_or(MAX_DATAGRAM, |bytes| bytes.len())
}

fn invalid_change_field(changes: &[Arc<Change>]) -> Option<&'static str> {
    if changes.len() > MAX_CHANGES {
        return Some("changes");
    }
    changes.iter().find_map(|change| change.invalid_field())
}

fn is_valid_source(source: SourceId) -> bool {
    usize::from(source.0) < MAX_SOURCES
}

fn is_valid_name(name: &str) -> bool {
    name.len() <= MAX_NAME_LENGTH && !name.chars().any(char::is_control)
}

fn encode_body<T: Serialize>(out: &mut Vec<u8>, body: &T) {
    // Cannot fail: it writes to memory, and no type has maps of unknown length.
    let _ = rmp_serde::encode::write(out, body);
}

fn decode_body<T: DeserializeOwned>(kind: &'static str, body: &[u8]) -> Result<T, MessageError> {
    rmp_serde::from_slice(body).map_err(|error| MessageError::Body { kind, why: error.to_string() })
}
