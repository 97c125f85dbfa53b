//! The platform's callers: JSON lines over TCP, many calls a connection.

use std::collections::BTreeMap;
use std::rc::Rc;

use bytes::Bytes;
use serde::Deserialize;
use serde_json::{json, Map, Value};

use crate::core::{SetUp, Sid};
use crate::interface::{Cell, Span};
use crate::net::queue::WriteQueue;

/// Refused: trying again is harmless.
pub const CAUSE_REFUSED: u16 = 42;
/// Failed.
pub const CAUSE_FAILED: u16 = 31;

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
    Form(String),
    /// The name is no 16 hex digits.
    #[error("'sid' is no name of a call")]
    Name,
    /// A set-up lacks this.
    #[error("a set-up without '{0}'")]
    Lacks(&'static str),
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
    let form: Form = serde_json::from_slice(line).map_err(|e| LineError::Form(e.to_string()))?;
    if form.msg == "probe" {
        return Ok(Line::Probe(form.sid));
    }
    let sid = || Sid::parse(&form.sid).ok_or(LineError::Name);
    match form.msg.as_str() {
        "open" => set_up(sid()?, &form).map(Line::Open),
        "close" => Ok(Line::Close(sid()?, form.code.map_or(16, |code| code as u16))),
        "closed" => Ok(Line::Closed(sid()?)),
        _ => Ok(Line::Other),
    }
}

fn set_up(sid: Sid, form: &Form) -> Result<SetUp, LineError> {
    let class = text_of(&form.attrs, "class").ok_or(LineError::Lacks("class"))?;
    let number = text_of(&form.attrs, "key").ok_or(LineError::Lacks("key"))?;
    // The number goes into the first line of an INVITE.
    if number.is_empty() || !number.bytes().all(|b| b.is_ascii_alphanumeric() || b"-_.+".contains(&b)) {
        return Err(LineError::Lacks("key"));
    }
    let left = text_of(&form.attrs, "left").and_then(|left| left.trim().parse::<f64>().ok());
    let left = left.filter(|left| left.is_finite()).ok_or(LineError::Lacks("left"))?;
    let body = form.text.as_deref().ok_or(LineError::Lacks("text"))?;
    let extras = text_of(&form.attrs, "extras").unwrap_or_default();
    let redialled = text_of(&form.attrs, "retry").is_some_and(|retry| retry != "0" && !retry.is_empty());
    Ok(SetUp {
        sid,
        class: class.into(),
        left: Span::from_secs(left / 1000.0),
        number: number.into(),
        dest: extra(&extras, "dest").and_then(cell_of),
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

/// A figure of `dest:2;width:1`.
pub fn extra(extras: &str, name: &str) -> Option<f64> {
    let mut pairs = extras.split(';').filter_map(|pair| pair.split_once(':'));
    pairs.find(|(key, _)| key.trim() == name).and_then(|(_, value)| value.trim().parse().ok())
}

fn cell_of(number: f64) -> Option<Cell> {
    (number >= 0.0 && number <= f64::from(u16::MAX)).then_some(Cell(number as u16))
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

/// One caller's connection.
#[derive(Debug)]
struct Connection {
    queue: Rc<WriteQueue>,
    /// Set-ups owed an answer on it.
    owed: usize,
    /// The caller writes no more.
    half: bool,
}

/// The connections of callers.
#[derive(Debug, Default)]
pub struct Clients {
    connections: BTreeMap<u64, Connection>,
}

impl Clients {
    /// A connection came.
    pub fn add(&mut self, no: u64, queue: Rc<WriteQueue>) {
        self.connections.insert(no, Connection { queue, owed: 0, half: false });
    }
    /// It is gone.
    pub fn remove(&mut self, no: u64) {
        self.connections.remove(&no);
    }
    /// How many there are.
    pub fn len(&self) -> usize {
        self.connections.len()
    }
    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }
    /// Whether all that is owed has been written.
    pub fn all_written(&self) -> bool {
        self.connections.values().all(|c| c.queue.is_empty())
    }
    /// A set-up came in on it.
    pub fn owes(&mut self, no: u64) {
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.owed += 1;
        }
    }
    /// One of its set-ups needs no answer any more.
    pub fn settled(&mut self, no: u64) {
        if let Some(connection) = self.connections.get_mut(&no) {
            connection.owed = connection.owed.saturating_sub(1);
            if connection.half && connection.owed == 0 {
                connection.queue.finish();
            }
        }
    }
    /// The caller writes no more; whether answers are still owed to it.
    pub fn half_closed(&mut self, no: u64) -> bool {
        self.connections.get_mut(&no).is_some_and(|connection| {
            connection.half = true;
            connection.owed > 0
        })
    }
    /// Writes a line on a connection. One whose caller reads nothing for too long ends.
    pub fn write(&self, no: u64, bytes: Bytes) -> bool {
        let Some(connection) = self.connections.get(&no) else { return false };
        let taken = connection.queue.push(bytes, None);
        if !taken {
            connection.queue.abort();
        }
        taken
    }
}
