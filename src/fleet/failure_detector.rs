//! Failure detector: which peers are alive, judged by heartbeats.
//!
//! Every half second each controller sends heartbeats, datagrams of a header alone, to a few peers in turn. The bytes
//! per second do not depend on the size of the fleet; in a larger fleet it takes longer until a peer's turn comes, and
//! the timeout grows with it.

use std::collections::BTreeMap;

use crate::interface::{Span, Time};

/// Time between two heartbeat rounds.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);
/// Recipients of one heartbeat round at most.
pub const HEARTBEAT_FANOUT: u16 = 16;
/// A peer that has missed this many heartbeats is lost. Lower: lost datagrams look like a failure (one in 10,000 with a
/// tenth lost). Higher: failures are noticed later.
const MAX_MISSED_HEARTBEATS: u64 = 4;
/// Peers that a log line lists at most.
const MAX_LISTED_PEERS: usize = 8;

/// A change of the set of live peers, for the log.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// These peers are lost.
    Lost {
        /// Their indices.
        peers: Vec<u16>,
        /// Number of peers still alive.
        alive: usize,
        /// The timeout that they exceeded.
        timeout: Span,
    },
    /// These peers are alive again.
    Recovered {
        /// Their indices.
        peers: Vec<u16>,
        /// Number of peers alive.
        alive: usize,
        /// The longest time that one of them was silent.
        silent_for: Span,
    },
}

/// The peers as a log line lists them.
fn listed(peers: &[u16]) -> String {
    let mut names: Vec<String> = peers.iter().take(MAX_LISTED_PEERS).map(u16::to_string).collect();
    if peers.len() > MAX_LISTED_PEERS {
        names.push(format!("and {} more", peers.len() - MAX_LISTED_PEERS));
    }
    names.join(", ")
}

impl std::fmt::Display for PeerChange {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            PeerChange::Lost { peers, alive, timeout } => {
                let (peers, secs) = (listed(peers), timeout.secs());
                write!(f, "fleet: no heartbeat for {secs:.1} s: controllers {peers}; {alive} peers alive")
            }
            PeerChange::Recovered { peers, alive, silent_for } => {
                let (peers, secs) = (listed(peers), silent_for.secs());
                write!(
                    f,
                    "fleet: alive again after up to {secs:.1} s: controllers {peers}; {alive} peers alive"
                )
            }
        }
    }
}

/// Number of peers by state.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Alive.
    pub alive: usize,
    /// Were alive and are lost.
    pub lost: usize,
}

/// The liveness of a controller's peers.
#[derive(Debug)]
pub struct FailureDetector {
    me: u16,
    controllers: u16,
    /// Time of the last datagram of each peer; a peer that never sent one is absent.
    last_contact: BTreeMap<u16, Time>,
    /// The lost peers, with the time of their last datagram before the loss.
    lost: BTreeMap<u16, Time>,
    /// The peer whose turn for a heartbeat is next.
    next_recipient: u16,
    /// Time of the last [`FailureDetector::check`]. Guards against a controller that was suspended and takes its peers
    /// for lost.
    checked_at: Time,
}

impl FailureDetector {
    /// A detector that has heard of no peer; such peers cannot be lost.
    pub fn new(me: u16, controllers: u16, now: Time) -> FailureDetector {
        FailureDetector {
            me,
            controllers,
            last_contact: BTreeMap::new(),
            lost: BTreeMap::new(),
            next_recipient: 0,
            checked_at: now,
        }
    }

    /// Time without a datagram after which a peer is lost: 2 s with up to 17 controllers, 38 s with 300.
    pub fn timeout(&self) -> Span {
        let peers = u64::from(self.controllers.saturating_sub(1)).max(1);
        let heartbeat_period = HEARTBEAT_INTERVAL.0 * peers.div_ceil(u64::from(HEARTBEAT_FANOUT));
        Span(heartbeat_period.saturating_mul(MAX_MISSED_HEARTBEATS))
    }

    /// Notes a datagram of a peer.
    pub fn record_contact(&mut self, now: Time, from: u16) {
        self.last_contact.insert(from, now);
    }

    /// The recipients of the next heartbeat round.
    pub fn next_recipients(&mut self) -> Vec<u16> {
        let peers = self.controllers.saturating_sub(1);
        let mut recipients = Vec::new();
        for _ in 0..peers.min(HEARTBEAT_FANOUT) {
            self.next_recipient %= self.controllers;
            if self.next_recipient == self.me {
                self.next_recipient = (self.next_recipient + 1) % self.controllers;
            }
            recipients.push(self.next_recipient);
            self.next_recipient += 1;
        }
        recipients
    }

    /// Updates the set of lost peers; returns what has changed since the last check.
    pub fn check(&mut self, now: Time) -> Vec<PeerChange> {
        let since_check = now.since(std::mem::replace(&mut self.checked_at, now));
        let recovered = self.take_recovered();
        // Datagrams that arrived while this process was suspended are read after this check.
        if since_check > Span(HEARTBEAT_INTERVAL.0 * 2) {
            self.restart_timeouts(now);
        }
        let timed_out = self.take_timed_out(now);
        let alive = self.counts().alive;
        let mut changes = Vec::new();
        if !recovered.is_empty() {
            let silent_for = recovered.iter().map(|(_, since)| now.since(*since)).max().unwrap_or_default();
            let peers = recovered.into_iter().map(|(peer, _)| peer).collect();
            changes.push(PeerChange::Recovered { peers, alive, silent_for });
        }
        if !timed_out.is_empty() {
            changes.push(PeerChange::Lost { peers: timed_out, alive, timeout: self.timeout() });
        }
        changes
    }

    /// Removes the peers that were lost and have sent a datagram since; returns them with the start of their silence.
    fn take_recovered(&mut self) -> Vec<(u16, Time)> {
        let has_returned =
            |peer: &u16, since: &Time| self.last_contact.get(peer).is_some_and(|at| at > since);
        let lost = self.lost.iter();
        let recovered: Vec<(u16, Time)> =
            lost.filter(|(peer, since)| has_returned(peer, since)).map(|(peer, at)| (*peer, *at)).collect();
        for (peer, _) in &recovered {
            self.lost.remove(peer);
        }
        recovered
    }

    /// Gives all peers that are not lost the full timeout again.
    fn restart_timeouts(&mut self, now: Time) {
        for (peer, last_contact) in &mut self.last_contact {
            if !self.lost.contains_key(peer) {
                *last_contact = now;
            }
        }
    }

    /// Adds the peers whose timeout has passed to the lost ones; returns them.
    fn take_timed_out(&mut self, now: Time) -> Vec<u16> {
        let timeout = self.timeout();
        let timed_out: Vec<(u16, Time)> = self
            .last_contact
            .iter()
            .filter(|(peer, at)| now.since(**at) >= timeout && !self.lost.contains_key(peer))
            .map(|(peer, at)| (*peer, *at))
            .collect();
        self.lost.extend(timed_out.iter().copied());
        timed_out.into_iter().map(|(peer, _)| peer).collect()
    }

    /// Number of peers alive and lost.
    pub fn counts(&self) -> PeerCounts {
        PeerCounts { alive: self.last_contact.len() - self.lost.len(), lost: self.lost.len() }
    }
}

#[cfg(test)]
mod tests;
