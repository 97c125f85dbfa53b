//! One connection to a call server: its set-ups, its held answer and when something last arrived on it.

use std::collections::{BTreeMap, VecDeque};
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::Sid;
use crate::interface::{Span, Time};
use crate::net::conn::CloseReason;
use crate::net::queue::WriteQueue;

/// A connection without any input for this long after a set-up gets no further set-ups while another can be
/// had. Otherwise calls would be lost in the open but silent connections of a machine that has vanished.
const SUSPECT_AFTER: Span = Span::from_millis(700);
/// How many cancelled set-ups are remembered on a connection; the oldest are dropped. More than one connection
/// carries within the time that a call is tried for.
const MAX_REMEMBERED: usize = 256;

/// How a connection ended, or why it could not be opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum LinkEnd {
    /// The connection was refused: no process listens.
    #[error("connection refused")]
    Refused,
    /// It could not be opened, or not in time.
    #[error("no connection established")]
    ConnectFailed,
    /// It was open and has closed.
    #[error("{0}")]
    Closed(CloseReason),
}

/// A set-up that was put on a connection.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct OutstandingSetUp {
    /// The number called.
    pub(super) number: Rc<str>,
    /// How often it was moved to another connection before it was written.
    pub(super) moves: u8,
    /// When it was queued.
    #[serde(rename = "since")]
    pub(super) queued_at: Time,
}

/// An answer whose end is not certain yet: it has been read, and is handled once something follows it or a timeout has
/// passed.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(super) struct HeldAnswer {
    pub(super) sid: Sid,
    /// The cause of the release of the same call, if it has arrived on another connection meanwhile: it follows the
    /// answer.
    pub(super) release_cause: Option<u16>,
}

/// A connection that is open or opening.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Link {
    pub(super) queue: Rc<WriteQueue>,
    /// When it was opened; `None` while it is opening.
    #[serde(rename = "up")]
    pub(super) connected_at: Option<Time>,
    /// Set-ups on it without a final response.
    #[serde(rename = "out")]
    pub(super) set_ups: BTreeMap<Sid, OutstandingSetUp>,
    /// Set-ups cancelled after they had been written, the latest last; a final response may still arrive.
    #[serde(rename = "given_up")]
    pub(super) cancelled: VecDeque<Sid>,
    /// Releases sent on it and not confirmed, in the state that older builds hand over; empty in a running process.
    #[serde(rename = "unheard", default)]
    pub(super) inherited_releases: VecDeque<(Sid, Bytes, Time)>,
    /// When the first set-up was sent since the last input.
    #[serde(rename = "asked")]
    pub(super) unanswered_since: Option<Time>,
    /// When the call server last showed life on it.
    #[serde(rename = "heard")]
    pub(super) last_seen: Time,
    /// When anything last arrived on it.
    #[serde(default)]
    pub(super) last_input: Time,
    /// When the test was sent on it that has not been answered.
    #[serde(default)]
    pub(super) tested_at: Option<Time>,
    /// An answer on it that is not handled yet.
    #[serde(default)]
    pub(super) held_answer: Option<HeldAnswer>,
    /// Whether it carries set-ups: something has arrived on it, or it has been open for long enough.
    #[serde(rename = "speaks")]
    pub(super) carries_set_ups: bool,
}

impl Link {
    /// Whether it has been silent for too long after a set-up.
    pub(super) fn is_suspect(&self, now: Time) -> bool {
        self.unanswered_since.is_some_and(|at| now.since(at) > SUSPECT_AFTER)
    }
    pub(super) fn mark_cancelled(&mut self, sid: Sid) {
        if self.cancelled.len() >= MAX_REMEMBERED {
            self.cancelled.pop_front();
        }
        self.cancelled.push_back(sid);
    }
    /// Whether a final response belongs to a set-up that was cancelled here.
    pub(super) fn take_cancelled(&mut self, sid: Sid) -> bool {
        let at = self.cancelled.iter().position(|cancelled| *cancelled == sid);
        at.and_then(|at| self.cancelled.remove(at)).is_some()
    }
}
