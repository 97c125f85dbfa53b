//! Releases owed to one call server: each is kept from the end of its call here until the call server confirms it, on
//! whatever connections it is sent meanwhile. Retransmitted by the timers of RFC 3261 for requests other than INVITE.

use std::collections::BTreeMap;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::core::Sid;
use crate::interface::{Span, Time};

/// Delay before the first retransmission (T1 of RFC 3261); doubled for each further one.
const FIRST_RETRANSMISSION: Span = Span::from_millis(500);
/// Longest delay between two retransmissions (T2 of RFC 3261).
const MAX_RETRANSMISSION_DELAY: Span = Span::from_millis(4_000);
/// A release is given up after this many retransmissions, about 32 s (timer F of RFC 3261).
const MAX_RETRANSMISSIONS: u8 = 10;
/// Largest number of releases kept for one call server. It bounds memory only.
const MAX_PENDING: usize = 4_096;

/// A release that the call server has not confirmed.
#[derive(Debug, Clone, Serialize, Deserialize)]
struct PendingRelease {
    request: Bytes,
    /// The connection on which it was last sent; `None` while it waits for one.
    link: Option<u64>,
    sent_at: Time,
    retransmissions: u8,
}

impl PendingRelease {
    fn due_at(&self) -> Time {
        let factor = 1_u64 << self.retransmissions.min(MAX_RETRANSMISSIONS);
        let delay = Span(FIRST_RETRANSMISSION.0.saturating_mul(factor));
        self.sent_at.plus(delay.min(MAX_RETRANSMISSION_DELAY))
    }
}

/// A release to be sent, and the connection that it was sent on before.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct ReleaseToSend {
    pub(super) sid: Sid,
    pub(super) request: Bytes,
    pub(super) previous_link: Option<u64>,
}

/// Where an unconfirmed release was last sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum LastSent {
    /// On this connection.
    OnLink(u64),
    /// On none that is still open.
    Nowhere,
}

/// All releases that one call server has not confirmed.
#[derive(Debug, Default, Serialize, Deserialize)]
pub(super) struct PendingReleases {
    pending: BTreeMap<Sid, PendingRelease>,
    /// Whether the call server has ever confirmed one. Confirmations are optional.
    confirms: bool,
    /// When the next retransmission is due.
    next_check: Option<Time>,
}

impl PendingReleases {
    /// Keeps a release that was sent on a connection, or waits for one. `false`: there are too many, and it is not kept.
    pub(super) fn add(&mut self, sid: Sid, request: Bytes, link: Option<u64>, now: Time) -> bool {
        if self.pending.len() >= MAX_PENDING && !self.pending.contains_key(&sid) {
            return false;
        }
        let release = PendingRelease { request, link, sent_at: now, retransmissions: 0 };
        if link.is_some() {
            self.next_check.get_or_insert(release.due_at());
        }
        self.pending.insert(sid, release);
        true
    }

    /// The call of a release is set up again: the release must not be sent any more, or it would end the new attempt.
    pub(super) fn withdraw(&mut self, sid: Sid) {
        self.pending.remove(&sid);
    }

    /// Where the release of a call was last sent, if it is not confirmed.
    pub(super) fn last_sent(&self, sid: Sid) -> Option<LastSent> {
        let release = self.pending.get(&sid)?;
        Some(release.link.map_or(LastSent::Nowhere, LastSent::OnLink))
    }

    /// The call server has confirmed a release.
    pub(super) fn confirm(&mut self, sid: Sid) {
        self.confirms |= self.pending.remove(&sid).is_some();
    }

    /// Whether releases were sent and are not confirmed.
    pub(super) fn has_unconfirmed(&self) -> bool {
        self.pending.values().any(|release| release.link.is_some())
    }

    /// When the next retransmission is due.
    pub(super) fn next_check(&self) -> Option<Time> {
        self.next_check.filter(|_| !self.pending.is_empty())
    }

    /// Takes note that a release was sent on a connection that is not the first.
    pub(super) fn mark_sent(&mut self, sid: Sid, link: u64, now: Time) {
        let Some(release) = self.pending.get_mut(&sid) else { return };
        (release.link, release.sent_at) = (Some(link), now);
        let due_at = release.due_at();
        self.next_check = Some(self.next_check.map_or(due_at, |at| at.min(due_at)));
    }

    /// A release waits for the next connection that opens.
    pub(super) fn mark_waiting(&mut self, sid: Sid) {
        if let Some(release) = self.pending.get_mut(&sid) {
            release.link = None;
        }
    }

    /// The releases to be retransmitted now. `heard_since`: whether something has arrived on a connection since a time; a
    /// call server that confirms nothing has then probably received what was sent on it before.
    pub(super) fn take_due(
        &mut self,
        now: Time,
        heard_since: impl Fn(u64, Time) -> bool,
    ) -> Vec<ReleaseToSend> {
        let confirms = self.confirms;
        let is_due = |release: &PendingRelease| release.link.is_some() && release.due_at() <= now;
        self.pending.retain(|_, release| {
            let received = !confirms && release.link.is_some_and(|link| heard_since(link, release.sent_at));
            !is_due(release) || (!received && release.retransmissions < MAX_RETRANSMISSIONS)
        });
        let mut due = Vec::new();
        for (sid, release) in &mut self.pending {
            if is_due(release) {
                release.retransmissions += 1;
                release.sent_at = now;
                due.push(release.to_send(*sid));
            }
        }
        let sent = self.pending.values().filter(|release| release.link.is_some());
        self.next_check = sent.map(PendingRelease::due_at).min();
        due
    }

    /// The releases sent on a connection that has ended; they wait for another from now on. `heard_since`: as for
    /// [`Self::take_due`].
    pub(super) fn take_from_link(
        &mut self,
        link: u64,
        heard_since: impl Fn(Time) -> bool,
    ) -> Vec<ReleaseToSend> {
        let confirms = self.confirms;
        self.pending
            .retain(|_, release| release.link != Some(link) || confirms || !heard_since(release.sent_at));
        let on_link = self.pending.iter_mut().filter(|(_, release)| release.link == Some(link));
        let waiting = on_link.map(|(sid, release)| {
            let to_send = release.to_send(*sid);
            release.link = None;
            to_send
        });
        waiting.collect()
    }

    /// The releases that wait for a connection.
    pub(super) fn waiting(&self) -> Vec<ReleaseToSend> {
        let waiting = self.pending.iter().filter(|(_, release)| release.link.is_none());
        waiting.map(|(sid, release)| release.to_send(*sid)).collect()
    }

    /// Drops the releases that wait for a connection: there will be none.
    pub(super) fn discard_waiting(&mut self) {
        self.pending.retain(|_, release| release.link.is_some());
    }

    /// Drops the releases sent on a connection: the process that had their calls is gone.
    pub(super) fn discard_on_link(&mut self, link: u64) {
        self.pending.retain(|_, release| release.link != Some(link));
    }
}

impl PendingRelease {
    fn to_send(&self, sid: Sid) -> ReleaseToSend {
        ReleaseToSend { sid, request: self.request.clone(), previous_link: self.link }
    }
}
