//! Parsing and writing of SIP messages, with the headers that call servers use.

use std::fmt::Write as _;

use bytes::Bytes;

use crate::core::{LoadValues, Refusal, Sid};
use crate::interface::{Cause, LoadField, Span};
use crate::net::pool::MAX_MESSAGE_BYTES;

/// End of a line.
const LINE_END: &[u8] = b"\r\n";
/// The methods registered with IANA: a request that follows an answer is expected to have one of these.
const METHODS: [&[u8]; 14] = [
    b"ACK",
    b"BYE",
    b"CANCEL",
    b"INFO",
    b"INVITE",
    b"MESSAGE",
    b"NOTIFY",
    b"OPTIONS",
    b"PRACK",
    b"PUBLISH",
    b"REFER",
    b"REGISTER",
    b"SUBSCRIBE",
    b"UPDATE",
];
/// Start of a response's start line.
const RESPONSE_START: &[u8] = b"SIP/2.0 ";
/// Largest number of headers in a message.
const MAX_HEADERS: usize = 64;

/// A parsed message.
#[derive(Debug, Clone, PartialEq)]
pub struct Message {
    /// Its start line.
    pub start: StartLine,
    /// Of a request: the number in its request URI.
    pub number: String,
    /// `Call-ID`.
    pub call_id: String,
    /// `P-Kind`.
    pub kind: String,
    /// Number and method of `CSeq`.
    pub cseq: (u32, String),
    /// `Via`, to be repeated in a response.
    pub via: String,
    /// `P-Reason`.
    pub p_reason: String,
    /// `P-Line-Ms`.
    pub line_ms: Option<f64>,
    /// `P-Report`.
    pub report: LoadValues,
    /// The cause in `Reason`.
    pub cause: Option<u16>,
    /// The session description.
    pub body: Vec<u8>,
    /// Whether the bytes around its end agree with `Content-Length`. Otherwise the body is cut off, or contains the
    /// start of the next message.
    pub length_fits: bool,
}

impl Message {
    /// Whether this is an answer whose session description ends within a line. If nothing has been read behind it, its
    /// length may be too small, and the rest still to come.
    pub fn may_be_cut_off(&self) -> bool {
        let is_answer = matches!(self.start, StartLine::Response(200..=299));
        is_answer && !self.body.is_empty() && !self.body.ends_with(b"\n")
    }
    /// The session description; `None` if it is not text or not the whole of it.
    pub fn description(&self) -> Option<&str> {
        std::str::from_utf8(&self.body).ok().filter(|_| self.length_fits)
    }
}

/// A start line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StartLine {
    /// A request, with its method.
    Request(String),
    /// A response, with its status code.
    Response(u16),
}

/// Why a message cannot be used.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum SipError {
    /// Its end cannot be found, so the connection cannot be used any more.
    #[error("message boundary not found: {0}")]
    Framing(&'static str),
    /// Only this message is malformed.
    #[error("malformed message of {length} bytes: {what}")]
    Message {
        /// Length of the message in bytes, to skip it.
        length: usize,
        /// The malformed part.
        what: &'static str,
    },
}

/// Parses the message at the start of `bytes`. Returns it with its length, or `None` while it is incomplete.
pub fn parse(bytes: &[u8]) -> Result<Option<(Message, usize)>, SipError> {
    let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n").map(|at| at + 4) else {
        return if bytes.len() > MAX_MESSAGE_BYTES {
            Err(SipError::Framing("headers too long"))
        } else {
            Ok(None)
        };
    };
    let first = bytes.windows(2).position(|two| two == b"\r\n").unwrap_or(0);
    let mut slots = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let headers = match httparse::parse_headers(&bytes[first + 2..end.max(first + 2)], &mut slots) {
        Ok(httparse::Status::Complete((_, headers))) => headers,
        Ok(httparse::Status::Partial) if first + 4 == end => &[],
        Ok(httparse::Status::Partial) | Err(_) => return Err(SipError::Framing("malformed headers")),
    };
    let header = |long: &str, short: &str| {
        let named = headers.iter().find(|h| {
            h.name.eq_ignore_ascii_case(long) || (!short.is_empty() && h.name.eq_ignore_ascii_case(short))
        });
        named.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    let length = header("Content-Length", "l").and_then(|l| l.parse::<usize>().ok());
    let length = length.ok_or(SipError::Framing("no Content-Length"))?;
    let total = end.saturating_add(length);
    if total > MAX_MESSAGE_BYTES {
        return Err(SipError::Framing("message too long"));
    }
    if bytes.len() < total {
        return Ok(None);
    }
    let malformed = |what| SipError::Message { length: total, what };
    let line = std::str::from_utf8(&bytes[..first]).map_err(|_| malformed("start line"))?;
    let start = parse_start_line(line).ok_or(malformed("start line"))?;
    let number =
        line.split_once(" sip:").and_then(|(_, rest)| rest.split_once('@')).map(|(number, _)| number);
    let cseq = header("CSeq", "").and_then(|cseq| cseq.split_once(' '));
    let cseq = cseq.and_then(|(no, method)| Some((no.parse().ok()?, method.trim().to_owned())));
    let text = |name, short| header(name, short).unwrap_or_default().to_owned();
    let message = Message {
        start,
        number: number.unwrap_or_default().to_owned(),
        call_id: text("Call-ID", "i"),
        kind: text("P-Kind", ""),
        cseq: cseq.unwrap_or_default(),
        via: text("Via", "v"),
        p_reason: text("P-Reason", ""),
        line_ms: header("P-Line-Ms", "").and_then(|ms| ms.parse().ok()),
        report: parse_report(header("P-Report", "").unwrap_or_default()),
        cause: header("Reason", "").and_then(parse_cause),
        body: bytes[end..total].to_vec(),
        length_fits: length_fits(&bytes[end..total], &bytes[total..]),
    };
    Ok(Some((message, total)))
}

/// Whether `body` may be a whole body, given the bytes after it that have been read.
fn length_fits(body: &[u8], following: &[u8]) -> bool {
    let ends_within_line = !body.is_empty() && !body.ends_with(LINE_END);
    let line_goes_on = ends_within_line && following.starts_with(b"\r");
    !line_goes_on && may_begin_message(following) && !contains_start_line(body)
}

/// Whether these bytes may be what has been read of the next message, or nothing of it yet.
fn may_begin_message(mut bytes: &[u8]) -> bool {
    while let Some(rest) = bytes.strip_prefix(LINE_END) {
        bytes = rest;
    }
    match bytes.windows(LINE_END.len()).position(|two| two == LINE_END) {
        Some(length) => is_start_line(&bytes[..length]),
        None => may_begin_start_line(bytes.strip_suffix(b"\r").unwrap_or(bytes)),
    }
}

/// Whether these bytes may be the beginning of a start line whose end has not been read.
fn may_begin_start_line(bytes: &[u8]) -> bool {
    let agree = |expected: &[u8], found: &[u8]| expected.starts_with(found) || found.starts_with(expected);
    let begins_request = match bytes.iter().position(|byte| *byte == b' ') {
        None => METHODS.iter().any(|method| method.starts_with(bytes)),
        Some(length) => {
            let (method, uri) = bytes.split_at(length);
            METHODS.contains(&method) && (agree(b" sip:", uri) || agree(b" sips:", uri))
        }
    };
    begins_request || agree(RESPONSE_START, bytes)
}

fn contains_start_line(body: &[u8]) -> bool {
    let mut lines = body.split(|byte| *byte == b'\n').filter_map(|line| line.strip_suffix(b"\r"));
    lines.any(is_start_line)
}

fn is_start_line(line: &[u8]) -> bool {
    match std::str::from_utf8(line).ok().and_then(parse_start_line) {
        Some(StartLine::Response(_)) => true,
        Some(StartLine::Request(method)) => METHODS.contains(&method.as_bytes()),
        None => false,
    }
}

fn parse_start_line(line: &str) -> Option<StartLine> {
    if let Some(rest) = line.strip_prefix("SIP/2.0 ") {
        let code = rest.split(' ').next()?.parse().ok()?;
        return (100..700).contains(&code).then_some(StartLine::Response(code));
    }
    let mut words = line.split(' ');
    let (method, _uri, version) = (words.next()?, words.next()?, words.next()?);
    let valid = version == "SIP/2.0" && !method.is_empty() && words.next().is_none();
    valid.then(|| StartLine::Request(method.to_owned()))
}

/// Reads the cause out of `Q.850;cause=16`.
fn parse_cause(reason: &str) -> Option<u16> {
    reason.split(';').find_map(|part| part.trim().strip_prefix("cause=")?.trim().parse().ok())
}

/// Parses load values such as `x0:12;x1:40;queue:3`, leaving out what is malformed or unknown.
pub fn parse_report(text: &str) -> LoadValues {
    let pairs = text.split(';').filter_map(|pair| pair.split_once(':'));
    let values =
        pairs.filter_map(|(name, value)| Some((LoadField::named(name.trim()), value.trim().parse().ok()?)));
    values.filter(|(field, _)| *field != LoadField::Unknown).collect()
}

/// What a final response other than 2xx to an INVITE means.
pub fn refusal_from_response(message: &Message, code: u16) -> (Refusal, Cause) {
    let refusal = match code {
        503 => Refusal::Full,
        480 => Refusal::NotSent,
        504 => Refusal::Reset,
        _ => Refusal::Error,
    };
    let cause = match (message.p_reason.as_str(), message.line_ms) {
        ("no_path", _) => Cause::NoCircuit,
        ("queue_long", Some(ms)) if ms > 0.0 => Cause::ProcessorFullFor(Span::from_secs(ms / 1000.0)),
        ("queue_long", _) => Cause::ProcessorFull,
        ("line_taken", _) => Cause::NumberBusy,
        ("sent_back" | "end_queue_long", _) => Cause::TurnedBack,
        _ => Cause::None,
    };
    (refusal, cause)
}

/// Writes a request that belongs to a call.
pub fn request(method: &str, number: &str, sid: Sid, cseq: (u32, &str), extra: &str, body: &str) -> Bytes {
    let mut text = String::with_capacity(256 + body.len());
    let _ = write!(
        text,
        "{method} sip:{number}@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {sid}\r\nCSeq: {} {}\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        cseq.0, cseq.1, body.len()
    );
    text.into()
}

/// Writes the test of a connection with this number.
pub fn connection_test(link: u64) -> Bytes {
    format!(
        "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {link:016x}\r\nCSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n"
    )
    .into()
}

/// Writes the response to a request.
pub fn response(code: u16, phrase: &str, to: &Message) -> Bytes {
    let Message { via, call_id, cseq: (no, method), .. } = to;
    format!(
        "SIP/2.0 {code} {phrase}\r\nVia: {via}\r\nCall-ID: {call_id}\r\nCSeq: {no} {method}\r\nContent-Length: 0\r\n\r\n"
    )
    .into()
}
