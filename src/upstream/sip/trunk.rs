//! One call server: the connections to it, its established calls and the releases that it has not confirmed.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use super::link::{HeldAnswer, Link};
use super::message::connection_test;
use super::releases::{PendingReleases, ReleaseToSend};
use super::PROBE_AFTER;
use crate::core::Sid;
use crate::interface::{Span, Time};

/// A call server.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Trunk {
    #[serde(rename = "dial")]
    pub(super) address: SocketAddr,
    pub(super) links: BTreeMap<u64, Link>,
    /// Messages for the next connection, in the state that older builds hand over; empty in a running process.
    #[serde(rename = "waiting")]
    pub(super) waiting_messages: VecDeque<Bytes>,
    /// Numbers called, of the established calls at the call server.
    #[serde(rename = "standing")]
    pub(super) established: BTreeMap<Sid, Rc<str>>,
    /// When the connections were opened on which the established calls were answered: a call belongs to the
    /// process that accepted its connection.
    #[serde(default)]
    pub(super) answered_on: BTreeMap<Sid, Time>,
    /// Releases that the call server has not confirmed.
    #[serde(default)]
    pub(super) releases: PendingReleases,
    pub(super) wanted: bool,
    /// Whether a connection was lost and the next one has not opened: releases of the call server may have been lost
    /// with it, and it sends them again on the next one only.
    #[serde(default)]
    pub(super) replacement_due: bool,
    /// When a connection was last refused.
    #[serde(default)]
    pub(super) refused_at: Option<Time>,
    #[serde(rename = "again")]
    pub(super) reconnect_delay: Span,
    /// When the call server last showed life on any connection.
    #[serde(rename = "heard")]
    pub(super) last_seen: Time,
    /// Whether a silence check is scheduled.
    #[serde(rename = "watched")]
    pub(super) silence_watched: bool,
    /// When the next silence check is due, if one is scheduled.
    #[serde(default)]
    pub(super) silence_check_at: Time,
}

impl Trunk {
    /// Whether connections to it are opened: for set-ups, or for the releases of the calls that stand there.
    pub(super) fn keeps_connecting(&self) -> bool {
        self.wanted || !self.established.is_empty()
    }
    pub(super) fn has_open_link(&self) -> bool {
        self.links.values().any(|link| link.connected_at.is_some())
    }
    pub(super) fn has_opening_link(&self) -> bool {
        self.links.values().any(|link| link.connected_at.is_none())
    }
    /// Whether a connection is to be opened now or after a delay: there is none, or one was lost.
    pub(super) fn needs_link(&self) -> bool {
        self.keeps_connecting()
            && !self.has_opening_link()
            && (self.links.is_empty() || (self.replacement_due && !self.established.is_empty()))
    }
    /// Adds a call that was answered on a connection opened at `connected_at`.
    pub(super) fn add_established(&mut self, sid: Sid, number: Rc<str>, connected_at: Time) {
        self.established.insert(sid, number);
        self.answered_on.insert(sid, connected_at);
    }
    /// Removes a call that has ended; returns its number if it was established.
    pub(super) fn remove_established(&mut self, sid: Sid) -> Option<Rc<str>> {
        self.answered_on.remove(&sid);
        self.established.remove(&sid)
    }
    /// Removes all calls and returns them with their numbers.
    pub(super) fn take_established(&mut self) -> BTreeMap<Sid, Rc<str>> {
        self.answered_on.clear();
        std::mem::take(&mut self.established)
    }
    /// Removes the calls of the processes that ran before `restarted_at`. A call of which it is not known on
    /// which connection it was answered counts as one of them.
    pub(super) fn take_established_before(&mut self, restarted_at: Time) -> Vec<Sid> {
        let is_old = |sid: &Sid| self.answered_on.get(sid).is_none_or(|opened| *opened < restarted_at);
        let old: Vec<Sid> = self.established.keys().copied().filter(is_old).collect();
        for sid in &old {
            self.remove_established(*sid);
        }
        old
    }
    /// The answer of a call that is held on one of the connections.
    pub(super) fn held_answer(&mut self, sid: Sid) -> Option<&mut HeldAnswer> {
        self.links.values_mut().filter_map(|link| link.held_answer.as_mut()).find(|held| held.sid == sid)
    }
    /// The connection for releases, other than `excluded`: an open one, preferably one with input since its last
    /// set-up, and with the latest input.
    pub(super) fn link_for_releases(&self, excluded: Option<u64>) -> Option<u64> {
        let open = self.links.iter().filter(|(no, l)| l.connected_at.is_some() && Some(**no) != excluded);
        let best = open.max_by_key(|(_, l)| (l.unanswered_since.is_none(), l.last_input));
        best.map(|(no, _)| *no)
    }
    /// Sends a release on a connection, or keeps it for the next one.
    pub(super) fn send_release(&mut self, sid: Sid, request: Bytes, link: Option<u64>, now: Time) {
        if let Some(link) = link.and_then(|no| self.links.get(&no)) {
            link.queue.push(request.clone(), None);
        }
        self.releases.add(sid, request, link, now);
    }
    /// Sends a release again, on another connection than before.
    pub(super) fn resend_release(&mut self, release: &ReleaseToSend, no: u64, now: Time) {
        let Some(link) = self.links.get(&no) else { return };
        link.queue.push(release.request.clone(), None);
        self.releases.mark_sent(release.sid, no, now);
    }
    /// Schedules the first silence check, unless one is scheduled.
    pub(super) fn watch_silence(&mut self, now: Time) {
        if !std::mem::replace(&mut self.silence_watched, true) {
            self.silence_check_at = now.plus(PROBE_AFTER);
        }
    }
    /// It gets no further set-ups; messages for a next connection are dropped.
    pub(super) fn stop_using(&mut self) {
        self.wanted = false;
        self.waiting_messages.clear();
        self.releases.discard_waiting();
    }
    /// Sends a test on each open connection without one. A sound call server answers it, also where it accepts no
    /// further connection.
    pub(super) fn test_connections(&mut self, now: Time) {
        for (no, link) in &mut self.links {
            if link.connected_at.is_some() && link.tested_at.is_none() {
                link.queue.push(connection_test(*no), None);
                link.tested_at = Some(now);
            }
        }
    }
    /// When this call server's timer is due: for a silence check or the retransmission of a release.
    pub(super) fn timer_due_at(&self) -> Option<Time> {
        let silence_check = self.silence_watched.then_some(self.silence_check_at);
        silence_check.into_iter().chain(self.releases.next_check()).min()
    }
}
