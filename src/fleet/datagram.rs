//! Wire format of the datagrams between controllers. All numbers are big-endian; a datagram has at most 256 bytes.
//!
//! Header, 14 bytes:
//!
//! | bytes | field |
//! | --- | --- |
//! | 0 | version: 1 for observations, 2 for credit |
//! | 1 | number of items; bit 7 (128) marks a request |
//! | 2-5 | incarnation of the sender: its clock at its start in milliseconds, lowest 32 bits |
//! | 6-9 | sequence number of the datagram within the incarnation, starting at 1, shared by all recipients |
//! | 10-13 | sender's clock at sending in milliseconds, lowest 32 bits |
//!
//! Version 1, observations: 0 to 20 items of 12 bytes. A request asks the receiver for newer observations.
//!
//! | bytes | field |
//! | --- | --- |
//! | 0-3 | key of the call server |
//! | 4-5 | wait in ms; 65535: the call server does not answer |
//! | 6-7 | age in ms at sending |
//! | 8-9 | origin: index of the controller that observed it |
//! | 10-11 | version: the origin's count of published observations |
//!
//! Version 2, credit for cold call servers: 0 to 24 items of 10 bytes. A request asks for credit, any other datagram
//! grants it. A controller that supports only version 1 drops the datagram and grants nothing.
//!
//! | bytes | field |
//! | --- | --- |
//! | 0-3 | key of the call server |
//! | 4-5 | credit, in 1/256 of a permit |
//! | 6-9 | in a grant, the sending time from the header of the request that it answers; otherwise 0 |

use super::observation::{Key, Observation, MAX_ENCODED_SPAN};
use crate::interface::{Permits, Span, Time};

/// Version of datagrams with observations.
const OBSERVATIONS: u8 = 1;
/// Version of datagrams with credit.
const CREDIT: u8 = 2;
/// Maximum datagram length, in bytes.
const MAX_DATAGRAM_LEN: usize = 256;
const HEADER_LEN: usize = 14;
const OBSERVATION_LEN: usize = 12;
const CREDIT_LEN: usize = 10;
/// Bit of the item count that marks a request.
const REQUEST_FLAG: u8 = 128;
/// Number of observations that fit into a datagram.
pub const MAX_OBSERVATIONS: usize = (MAX_DATAGRAM_LEN - HEADER_LEN) / OBSERVATION_LEN;
/// Number of credit items that fit into a datagram.
pub const MAX_CREDIT_ITEMS: usize = (MAX_DATAGRAM_LEN - HEADER_LEN) / CREDIT_LEN;
/// Encoded in place of the wait of a call server that does not answer.
pub(super) const SILENT: u16 = u16::MAX;

/// A datagram that cannot be decoded. It is dropped as a whole.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum DatagramError {
    /// An unknown version.
    #[error("unsupported datagram version {0}, expected {OBSERVATIONS} or {CREDIT}")]
    Version(u8),
    /// The length does not match the number of items.
    #[error("datagram of {got} bytes, expected {need} for {items} items")]
    Length {
        /// Bytes received.
        got: usize,
        /// Number of items according to the header.
        items: u8,
        /// Bytes that this number of items takes.
        need: usize,
    },
}

/// The header of a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Header {
    /// Incarnation of the sender.
    pub incarnation: u32,
    /// Sequence number within the incarnation.
    pub sequence: u32,
    /// Sender's clock at sending, in milliseconds.
    pub sent_ms: u32,
    /// Whether the sender requests newer observations, or credit.
    pub is_request: bool,
}

/// An observation as encoded in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ObservationItem {
    /// The call server.
    pub key: Key,
    /// The wait there.
    pub wait: Span,
    /// Whether it does not answer.
    pub silent: bool,
    /// Age at sending.
    pub age: Span,
    /// Index of the controller that observed it.
    pub origin: u16,
    /// The origin's count of published observations.
    pub version: u16,
}

impl ObservationItem {
    /// Encodes an observation to send at `now`; waits and ages above 65 s are capped.
    pub fn of(key: Key, observation: &Observation, now: Time) -> ObservationItem {
        let Observation { silent, origin, version, .. } = *observation;
        let wait = observation.wait.min(MAX_ENCODED_SPAN);
        let age = observation.age(now).min(MAX_ENCODED_SPAN);
        ObservationItem { key, wait, silent, age, origin, version }
    }
}

/// Credit requested or granted, as encoded in a datagram.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CreditItem {
    /// The call server.
    pub key: Key,
    /// The amount.
    pub permits: Permits,
    /// In a grant, the sending time of the request that it answers; otherwise 0.
    pub echo: u32,
}

/// The items of a datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Body {
    /// Observations of call servers; empty in a heartbeat.
    Observations(Vec<ObservationItem>),
    /// Credit, requested or granted depending on the header.
    Credit(Vec<CreditItem>),
}

/// Encodes a datagram; items beyond [`MAX_OBSERVATIONS`] or [`MAX_CREDIT_ITEMS`] are left out.
pub fn encode(header: Header, body: &Body) -> Vec<u8> {
    match body {
        Body::Observations(items) => encode_observations(header, &items[..items.len().min(MAX_OBSERVATIONS)]),
        Body::Credit(items) => encode_credit(header, &items[..items.len().min(MAX_CREDIT_ITEMS)]),
    }
}

fn encode_header(version: u8, items: usize, header: Header) -> Vec<u8> {
    let flag = if header.is_request { REQUEST_FLAG } else { 0 };
    let mut bytes = vec![version, items as u8 | flag];
    for field in [header.incarnation, header.sequence, header.sent_ms] {
        bytes.extend(field.to_be_bytes());
    }
    bytes
}

fn encode_observations(header: Header, items: &[ObservationItem]) -> Vec<u8> {
    let millis = |span: Span| u16::try_from(span.0 / 1_000).unwrap_or(u16::MAX);
    let mut bytes = encode_header(OBSERVATIONS, items.len(), header);
    for item in items {
        let wait = if item.silent { SILENT } else { millis(item.wait).min(SILENT - 1) };
        bytes.extend(item.key.0.to_be_bytes());
        for field in [wait, millis(item.age), item.origin, item.version] {
            bytes.extend(field.to_be_bytes());
        }
    }
    bytes
}

fn encode_credit(header: Header, items: &[CreditItem]) -> Vec<u8> {
    let mut bytes = encode_header(CREDIT, items.len(), header);
    for item in items {
        bytes.extend(item.key.0.to_be_bytes());
        bytes.extend(item.permits.0.to_be_bytes());
        bytes.extend(item.echo.to_be_bytes());
    }
    bytes
}

/// Decodes a datagram.
pub fn decode(bytes: &[u8]) -> Result<(Header, Body), DatagramError> {
    let &[version, count, ..] = bytes else {
        return Err(DatagramError::Length { got: bytes.len(), items: 0, need: HEADER_LEN });
    };
    let item_len = match version {
        OBSERVATIONS => OBSERVATION_LEN,
        CREDIT => CREDIT_LEN,
        _ => return Err(DatagramError::Version(version)),
    };
    let items = count & !REQUEST_FLAG;
    let need = HEADER_LEN + usize::from(items) * item_len;
    if bytes.len() != need {
        return Err(DatagramError::Length { got: bytes.len(), items, need });
    }
    let encoded_items = bytes[HEADER_LEN..].chunks_exact(item_len);
    let body = match version {
        CREDIT => Body::Credit(encoded_items.map(decode_credit_item).collect()),
        _ => Body::Observations(encoded_items.map(decode_observation_item).collect()),
    };
    Ok((decode_header(bytes), body))
}

fn decode_header(bytes: &[u8]) -> Header {
    Header {
        incarnation: u32_at(bytes, 2),
        sequence: u32_at(bytes, 6),
        sent_ms: u32_at(bytes, 10),
        is_request: bytes[1] & REQUEST_FLAG != 0,
    }
}

fn decode_observation_item(bytes: &[u8]) -> ObservationItem {
    let span_at = |at: usize| Span::from_millis(u64::from(u16_at(bytes, at)));
    let silent = u16_at(bytes, 4) == SILENT;
    ObservationItem {
        key: Key(u32_at(bytes, 0)),
        wait: if silent { Span::default() } else { span_at(4) },
        silent,
        age: span_at(6),
        origin: u16_at(bytes, 8),
        version: u16_at(bytes, 10),
    }
}

fn decode_credit_item(bytes: &[u8]) -> CreditItem {
    CreditItem { key: Key(u32_at(bytes, 0)), permits: Permits(u16_at(bytes, 4)), echo: u32_at(bytes, 6) }
}

fn u16_at(bytes: &[u8], at: usize) -> u16 {
    u16::from_be_bytes([bytes[at], bytes[at + 1]])
}

fn u32_at(bytes: &[u8], at: usize) -> u32 {
    u32::from_be_bytes([bytes[at], bytes[at + 1], bytes[at + 2], bytes[at + 3]])
}

#[cfg(test)]
mod tests;
