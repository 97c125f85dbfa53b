//! Transfer of permits for a cold call server between controllers.
//!
//! A controller that is short of permits sends a request to a few peers at once, among them the one that last granted
//! any. Each peer grants what it can spare. A grant is valid only for a short time after the request, measured by the
//! requester's own clock. Credit delayed for longer, in the network or by a suspended process, is discarded, so that it
//! cannot add to the load of a call server that is still cold.

use std::collections::BTreeMap;

use super::datagram::CreditItem;
use super::observation::Key;
use crate::interface::{Permits, Span, Time};

/// Time after a request within which a grant is valid. With a longer time more credit may be in transit at once
/// ([`max_consumed_within`](super::token_bucket::max_consumed_within)); with a shorter one grants of distant peers
/// arrive too late.
pub const REQUEST_TTL: Span = Span::from_millis(150);
/// Number of peers asked at once. With more, credit lies idle at the requester; with fewer, it may find none to lend.
const REQUEST_FANOUT: u16 = 2;
/// Random draws per recipient; a draw may yield a peer that was chosen already.
const DRAWS_PER_PEER: u16 = 4;
/// Smallest grant that is sent; a smaller one is not worth a datagram.
const MIN_GRANT: Permits = Permits(8);

/// A peer's message about credit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CreditMessage {
    /// The peer is short of permits.
    Requested {
        /// The peer.
        from: u16,
        /// The call server.
        key: Key,
        /// How much it needs.
        permits: Permits,
    },
    /// The peer grants credit.
    Granted {
        /// The call server.
        key: Key,
        /// How much it grants.
        permits: Permits,
    },
}

/// Counters of transferred credit, in [`Permits`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CreditCounts {
    /// Lent to peers.
    pub lent: u64,
    /// Borrowed in time.
    pub borrowed: u64,
    /// Granted by peers, but received after it had expired.
    pub too_late: u64,
}

/// When pending messages have to be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// At once: a grant is valid only for a short time.
    Immediate,
    /// In the next gossip round.
    NextRound,
}

/// A credit request to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CreditRequest {
    /// The peers to ask.
    pub recipients: Vec<u16>,
    /// The credit needed.
    pub items: Vec<CreditItem>,
}

/// A credit grant to send.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CreditGrant {
    /// The peer that requested it.
    pub to: u16,
    /// The credit granted.
    pub items: Vec<CreditItem>,
}

/// A shortage of permits that has not been sent to peers as a request yet.
#[derive(Debug)]
struct Shortfall {
    permits: Permits,
    expires_at: Time,
}

/// Credit deducted from this controller's bucket for a peer and not sent yet.
#[derive(Debug, Default)]
struct PendingGrant {
    /// Timestamp of the request that it answers.
    request_ms: u32,
    credit: Vec<(Key, Permits)>,
}

/// The credit transfers of one controller.
#[derive(Debug, Default)]
pub struct CreditTransfer {
    shortfalls: BTreeMap<Key, Shortfall>,
    pending_grants: BTreeMap<u16, PendingGrant>,
    /// Timestamp of each peer's latest request.
    last_request_ms: BTreeMap<u16, u32>,
    /// The peer that granted credit last; the next request is sent to it first.
    last_lender: Option<u16>,
    /// Counters.
    pub counts: CreditCounts,
}

impl CreditTransfer {
    /// Notes that this controller is short of permits for a call server.
    pub fn request(&mut self, now: Time, key: Key, permits: Permits) {
        self.shortfalls.insert(key, Shortfall { permits, expires_at: now.plus(REQUEST_TTL) });
    }

    /// Adds credit that was deducted from this controller's bucket for a peer. The credit is dropped if the peer has
    /// not requested any, or if it is less than the smallest grant.
    pub fn grant(&mut self, to: u16, key: Key, permits: Permits) {
        let Some(request_ms) = self.last_request_ms.get(&to).copied() else { return };
        if permits < MIN_GRANT {
            return;
        }
        self.counts.lent += u64::from(permits.0);
        let pending = self.pending_grants.entry(to).or_default();
        pending.request_ms = request_ms;
        pending.credit.push((key, permits));
    }

    /// How urgently messages have to be sent; `None` if there are none.
    pub fn urgency(&self) -> Option<Urgency> {
        match (self.pending_grants.is_empty(), self.shortfalls.is_empty()) {
            (false, _) => Some(Urgency::Immediate),
            (true, false) => Some(Urgency::NextRound),
            (true, true) => None,
        }
    }

    /// Takes the grants to send now.
    pub fn take_grants(&mut self) -> impl Iterator<Item = CreditGrant> {
        std::mem::take(&mut self.pending_grants).into_iter().map(|(to, pending)| {
            let echo = pending.request_ms;
            let items = pending.credit.into_iter().map(|(key, permits)| CreditItem { key, permits, echo });
            CreditGrant { to, items: items.collect() }
        })
    }

    /// Takes the request to send now, if any; `draw` picks a random peer out of `peers`.
    pub fn take_request(
        &mut self,
        now: Time,
        peers: u16,
        draw: impl FnMut() -> u16,
    ) -> Option<CreditRequest> {
        self.shortfalls.retain(|_, shortfall| now < shortfall.expires_at);
        if self.shortfalls.is_empty() {
            return None;
        }
        let shortfalls = std::mem::take(&mut self.shortfalls).into_iter();
        let items =
            shortfalls.map(|(key, shortfall)| CreditItem { key, permits: shortfall.permits, echo: 0 });
        Some(CreditRequest { items: items.collect(), recipients: self.recipients(peers, draw) })
    }

    /// The last lender, and random peers up to the fan-out.
    fn recipients(&mut self, peers: u16, mut draw: impl FnMut() -> u16) -> Vec<u16> {
        let mut recipients: Vec<u16> = self.last_lender.take().into_iter().collect();
        let wanted = usize::from(REQUEST_FANOUT.min(peers));
        for _ in 0..DRAWS_PER_PEER * REQUEST_FANOUT {
            if recipients.len() >= wanted {
                break;
            }
            let drawn = draw();
            if !recipients.contains(&drawn) {
                recipients.push(drawn);
            }
        }
        recipients
    }

    /// Handles a peer's request; `sent_ms` is the timestamp of its datagram.
    pub fn receive_request(&mut self, from: u16, sent_ms: u32, items: &[CreditItem]) -> Vec<CreditMessage> {
        self.last_request_ms.insert(from, sent_ms);
        let requested =
            |item: &CreditItem| CreditMessage::Requested { from, key: item.key, permits: item.permits };
        items.iter().map(requested).collect()
    }

    /// Handles a peer's grant; items that answer a request older than [`REQUEST_TTL`] are discarded.
    pub fn receive_grant(&mut self, now: Time, from: u16, items: &[CreditItem]) -> Vec<CreditMessage> {
        let mut granted = Vec::new();
        for item in items {
            let since_request = Span::from_millis(u64::from(timestamp_ms(now).wrapping_sub(item.echo)));
            if since_request >= REQUEST_TTL {
                self.counts.too_late += u64::from(item.permits.0);
                continue;
            }
            self.counts.borrowed += u64::from(item.permits.0);
            self.last_lender = Some(from);
            granted.push(CreditMessage::Granted { key: item.key, permits: item.permits });
        }
        granted
    }
}

/// The timestamp in a datagram sent at `now`: milliseconds, lowest 32 bits.
pub fn timestamp_ms(now: Time) -> u32 {
    (now.0 / 1_000) as u32
}

#[cfg(test)]
mod tests;
