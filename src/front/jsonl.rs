//! The platform's callers: JSON lines over TCP, many calls a connection.

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Map, Value};

use crate::core::{SetUp, Sid};
use crate::interface::{Cell, Span};

/// Refused: trying again is harmless.
pub const CAUSE_REFUSED: u16 = 42;
/// Failed.
pub const CAUSE_FAILED: u16 = 31;
/// Failed: what was asked cannot be read or used (Q.850: invalid information element contents).
pub const CAUSE_INVALID: u16 = 100;
/// The longest number that is called.
const LONGEST_NUMBER: usize = 64;

/// A line of a caller, read.
#[derive(Debug, Clone)]
pub enum Line {
    /// A set-up.
    Open(SetUp),
    /// A set-up is given up, or a call ended.
    Close(Sid, u16),
    /// A release was heard.
    Closed(Sid),
    /// A test.
    Probe(String),
    /// Means nothing here.
    Other,
}

/// A line that cannot be read. It costs itself alone.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum LineError {
    /// No JSON object of the right form.
    #[error("no message: {0}")]
    Malformed(String),
    /// The name is no 16 hex digits.
    #[error("'sid' is no name of a call")]
    InvalidCallId,
    /// A set-up lacks this, or has it out of range.
    #[error("set-up {0} lacks '{1}', or has it out of range")]
    InvalidField(Sid, &'static str),
}

#[derive(Deserialize)]
struct Form {
    msg: String,
    sid: String,
    #[serde(default)]
    attrs: Map<String, Value>,
    #[serde(default)]
    code: Option<f64>,
    #[serde(default)]
    text: Option<String>,
}

/// Reads one line.
pub fn parse(line: &[u8]) -> Result<Line, LineError> {
    let form: Form = serde_json::from_slice(line).map_err(|e| LineError::Malformed(e.to_string()))?;
    if form.msg == "probe" {
        return Ok(Line::Probe(form.sid));
    }
    let sid = || Sid::parse(&form.sid).ok_or(LineError::InvalidCallId);
    match form.msg.as_str() {
        "open" => set_up(sid()?, &form).map(Line::Open),
        "close" => Ok(Line::Close(sid()?, form.code.map_or(16, |code| code as u16))),
        "closed" => Ok(Line::Closed(sid()?)),
        _ => Ok(Line::Other),
    }
}

fn set_up(sid: Sid, form: &Form) -> Result<SetUp, LineError> {
    let lacks = |what| LineError::InvalidField(sid, what);
    let class = text_of(&form.attrs, "class").ok_or(lacks("class"))?;
    let number = text_of(&form.attrs, "key").ok_or(lacks("key"))?;
    // The number goes into the first line of an INVITE.
    let sound = |b: u8| b.is_ascii_alphanumeric() || b"-_.+".contains(&b);
    if number.is_empty() || number.len() > LONGEST_NUMBER || !number.bytes().all(sound) {
        return Err(lacks("key"));
    }
    let left = text_of(&form.attrs, "left").and_then(|left| left.trim().parse::<f64>().ok());
    let left = left.filter(|left| left.is_finite() && *left >= 0.0).ok_or(lacks("left"))?;
    let body = form.text.as_deref().ok_or(lacks("text"))?;
    let extras = text_of(&form.attrs, "extras").unwrap_or_default();
    let dest = match extra(&extras, "dest") {
        // -1 stands for none.
        None | Some(Some(-1.0)) => None,
        Some(dest) => Some(dest.and_then(cell_of).ok_or(lacks("extras"))?),
    };
    if extra(&extras, "width").is_some_and(|width| width.is_none_or(|w| !w.is_finite() || w <= 0.0)) {
        return Err(lacks("extras"));
    }
    let redialled = text_of(&form.attrs, "retry").is_some_and(|retry| retry != "0" && !retry.is_empty());
    Ok(SetUp {
        sid,
        class: class.into(),
        tenant: text_of(&form.attrs, "tenant").map(Into::into),
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

/// A figure of `dest:2;width:1`: `None` if it is not there, `Some(None)` if it is no number.
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

/// The call stands.
pub fn ready(sid: Sid, body: &str) -> Bytes {
    line(&json!({"msg": "ready", "sid": sid.as_str(), "attrs": {}, "text": body}))
}

/// Under way: means nothing to a caller who is there.
pub fn trying(sid: Sid) -> Bytes {
    line(&json!({"msg": "trying", "sid": sid.as_str(), "attrs": {}}))
}

/// Refused, failed or over.
pub fn close(sid: Sid, cause: u16, wait: Span) -> Bytes {
    let attrs = match wait.0.div_ceil(1000) {
        0 => json!({}),
        ms => json!({"wait": ms.to_string()}),
    };
    line(&json!({"msg": "close", "sid": sid.as_str(), "attrs": attrs, "code": cause}))
}

/// A release was heard.
pub fn closed(sid: Sid) -> Bytes {
    line(&json!({"msg": "closed", "sid": sid.as_str(), "attrs": {}}))
}

/// Answer to a test.
pub fn probed(sid: &str, passed: bool) -> Bytes {
    line(&json!({"msg": "probed", "sid": sid, "attrs": {}, "code": u16::from(passed)}))
}
