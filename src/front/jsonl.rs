//! Front for the platform's callers: JSON lines over TCP, many calls on one connection.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Map, Value};

use crate::core::{SetUp, Sid};
use crate::interface::{Cell, Span};

/// Refused; the caller may safely retry.
pub const CAUSE_REFUSED: u16 = 42;
/// Failed.
pub const CAUSE_FAILED: u16 = 31;
/// Failed: the request is malformed or has invalid values (Q.850: invalid information element contents).
pub const CAUSE_INVALID: u16 = 100;
/// Longest number that can be called.
const MAX_NUMBER_LENGTH: usize = 64;

/// A parsed line from a caller.
#[derive(Debug, Clone)]
pub enum Line {
    /// Sets up a call.
    Open(SetUp),
    /// Cancels a set-up or releases a call.
    Close(Sid, u16),
    /// Confirms a release.
    Closed(Sid),
    /// Health check, with the name that the reply repeats.
    Probe(String),
    /// Any other message; ignored.
    Other,
}

/// Why a line cannot be used. The connection stays usable.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// Not a JSON object of the right form.
    #[error("malformed message: {0}")]
    Malformed(String),
    /// The call's name is not 16 hex digits.
    #[error("'sid' is not 16 hex digits")]
    InvalidCallId,
    /// A field of a set-up is missing or out of range.
    #[error("set-up {0}: '{1}' is missing or out of range")]
    InvalidField(Sid, &'static str),
}

#[derive(Deserialize)]
struct RawMessage {
    msg: String,
    sid: String,
    #[serde(default)]
    attrs: Map<String, Value>,
    #[serde(default)]
    code: Option<f64>,
    #[serde(default)]
    text: Option<String>,
}

/// Parses one line.
pub fn parse(line: &[u8]) -> Result<Line, LineError> {
    let message: RawMessage =
        serde_json::from_slice(line).map_err(|e| LineError::Malformed(e.to_string()))?;
    if message.msg == "probe" {
        return Ok(Line::Probe(message.sid));
    }
    let sid = || Sid::parse(&message.sid).ok_or(LineError::InvalidCallId);
    match message.msg.as_str() {
        "open" => set_up(sid()?, &message).map(Line::Open),
        "close" => Ok(Line::Close(sid()?, message.code.map_or(16, |code| code as u16))),
        "closed" => Ok(Line::Closed(sid()?)),
        _ => Ok(Line::Other),
    }
}

fn set_up(sid: Sid, message: &RawMessage) -> Result<SetUp, LineError> {
    let invalid = |what| LineError::InvalidField(sid, what);
    let class = text_of(&message.attrs, "class").ok_or(invalid("class"))?;
    let number = text_of(&message.attrs, "key").ok_or(invalid("key"))?;
    // The number becomes part of the request line of an INVITE.
    let valid = |b: u8| b.is_ascii_alphanumeric() || b"-_.+".contains(&b);
    if number.is_empty() || number.len() > MAX_NUMBER_LENGTH || !number.bytes().all(valid) {
        return Err(invalid("key"));
    }
    let left = text_of(&message.attrs, "left").and_then(|left| left.trim().parse::<f64>().ok());
    let left = left.filter(|left| left.is_finite() && *left >= 0.0).ok_or(invalid("left"))?;
    let body = message.text.as_deref().ok_or(invalid("text"))?;
    let extras = text_of(&message.attrs, "extras").unwrap_or_default();
    let dest = match extra(&extras, "dest") {
        // -1 means none.
        None | Some(Some(-1.0)) => None,
        Some(dest) => Some(dest.and_then(cell_of).ok_or(invalid("extras"))?),
    };
    if extra(&extras, "width").is_some_and(|width| width.is_none_or(|w| !w.is_finite() || w <= 0.0)) {
        return Err(invalid("extras"));
    }
    let redialled = text_of(&message.attrs, "retry").is_some_and(|retry| retry != "0" && !retry.is_empty());
    Ok(SetUp {
        sid,
        class: class.into(),
        tenant: text_of(&message.attrs, "tenant").map(Into::into),
        left: Span::from_secs(left / 1000.0),
        number: number.into(),
        dest,
        redialled,
        body: body.into(),
    })
}

fn text_of(attrs: &Map<String, Value>, name: &str) -> Option<String> {
    match attrs.get(name)? {
        Value::String(text) => Some(text.clone()),
        Value::Number(number) => Some(number.to_string()),
        _ => None,
    }
}

/// A number out of `dest:2;width:1`: `None` if the key is absent, `Some(None)` if its value is not a number.
pub fn extra(extras: &str, name: &str) -> Option<Option<f64>> {
    let mut pairs = extras.split(';').filter_map(|pair| pair.split_once(':'));
    pairs.find(|(key, _)| key.trim() == name).map(|(_, value)| value.trim().parse().ok())
}

fn cell_of(number: f64) -> Option<Cell> {
    (number >= 0.0 && number <= f64::from(u16::MAX) && number.fract() == 0.0).then_some(Cell(number as u16))
}

fn line(value: &Value) -> Bytes {
    let mut line = value.to_string();
    line.push('\n');
    line.into()
}

/// The call is established.
pub fn ready(sid: Sid, body: &str) -> Bytes {
    line(&json!({"msg": "ready", "sid": sid.as_str(), "attrs": {}, "text": body}))
}

/// The set-up is in progress; callers ignore it.
pub fn trying(sid: Sid) -> Bytes {
    line(&json!({"msg": "trying", "sid": sid.as_str(), "attrs": {}}))
}

/// The call was refused, has failed or was released.
pub fn close(sid: Sid, cause: u16, wait: Span) -> Bytes {
    let attrs = match wait.0.div_ceil(1000) {
        0 => json!({}),
        ms => json!({"wait": ms.to_string()}),
    };
    line(&json!({"msg": "close", "sid": sid.as_str(), "attrs": attrs, "code": cause}))
}

/// Confirms a release.
pub fn closed(sid: Sid) -> Bytes {
    line(&json!({"msg": "closed", "sid": sid.as_str(), "attrs": {}}))
}

/// Reply to a health check.
pub fn probed(sid: &str, passed: bool) -> Bytes {
    line(&json!({"msg": "probed", "sid": sid, "attrs": {}, "code": u16::from(passed)}))
}
