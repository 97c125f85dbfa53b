//! Failure detector: determines by heartbeats which peers are alive.
//!
//! Every half second each controller sends heartbeats, datagrams that consist of a header only, to a few peers in
//! round-robin order. The bytes per second do not depend on the size of the fleet. In a larger fleet each peer gets
//! heartbeats less often, and the timeout grows accordingly.

use std::collections::BTreeMap;

use crate::interface::{Span, Time};

/// Time between two heartbeat rounds.
pub const HEARTBEAT_INTERVAL: Span = Span::from_millis(500);
/// Maximum number of recipients in one heartbeat round.
pub const HEARTBEAT_FANOUT: u16 = 16;
/// Number of missed heartbeats after which a peer counts as lost. At 10 % datagram loss, 4 consecutive heartbeats are
/// lost with a probability of 1 in 10,000; with fewer, datagram loss would look like a failure too often. With more,
/// failures would be detected later.
const MAX_MISSED_HEARTBEATS: u64 = 4;
/// Maximum number of peers listed in a log line.
const MAX_LISTED_PEERS: usize = 8;

/// A change of the set of live peers, to be logged.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PeerChange {
    /// Peers were lost.
    Lost {
        /// Their indices.
        peers: Vec<u16>,
        /// Number of peers still alive.
        alive: usize,
        /// The timeout that expired.
        timeout: Span,
    },
    /// Lost peers are alive again.
    Recovered {
        /// Their indices.
        peers: Vec<u16>,
        /// Number of peers alive.
        alive: usize,
        /// The longest time for which one of them sent nothing.
        silent_for: Span,
    },
}

/// Formats a list of peers for a log line.
fn format_peers(peers: &[u16]) -> String {
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
                let (peers, secs) = (format_peers(peers), timeout.secs());
                write!(f, "fleet: no heartbeat for {secs:.1} s from controllers {peers}; {alive} peers alive")
            }
            PeerChange::Recovered { peers, alive, silent_for } => {
                let (peers, secs) = (format_peers(peers), silent_for.secs());
                write!(
                    f,
                    "fleet: heartbeats received again after up to {secs:.1} s from controllers {peers}; {alive} peers alive"
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
    /// Lost, after they had been alive.
    pub lost: usize,
}

/// The liveness of a controller's peers.
#[derive(Debug)]
pub struct FailureDetector {
    me: u16,
    controllers: u16,
    /// Time of the last datagram from each peer; a peer that never sent one is absent.
    last_contact: BTreeMap<u16, Time>,
    /// The lost peers, with the time of their last datagram before the loss.
    lost: BTreeMap<u16, Time>,
    /// The next recipient of a heartbeat, in round-robin order.
    next_recipient: u16,
    /// Time of the last [`FailureDetector::check`]. A long gap shows that this process was suspended, in which case its
    /// peers must not be considered lost.
    checked_at: Time,
}

impl FailureDetector {
    /// Creates a detector that has received nothing yet. A peer counts as lost only after it has sent a datagram.
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

    /// Records that a peer sent a datagram.
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

    /// Updates the set of lost peers; returns the changes since the last check.
    pub fn check(&mut self, now: Time) -> Vec<PeerChange> {
        let since_check = now.since(std::mem::replace(&mut self.checked_at, now));
        let recovered = self.take_recovered();
        // Datagrams that arrived while this process was suspended are read only after this check.
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

    /// Removes the lost peers that have sent a datagram since; returns them with the time of their last datagram before
    /// the loss.
    fn take_recovered(&mut self) -> Vec<(u16, Time)> {
        let sent_again = |peer: &u16, since: &Time| self.last_contact.get(peer).is_some_and(|at| at > since);
        let lost = self.lost.iter();
        let recovered: Vec<(u16, Time)> =
            lost.filter(|(peer, since)| sent_again(peer, since)).map(|(peer, at)| (*peer, *at)).collect();
        for (peer, _) in &recovered {
            self.lost.remove(peer);
        }
        recovered
    }

    /// Restarts the timeout of all peers that are not lost.
    fn restart_timeouts(&mut self, now: Time) {
        for (peer, last_contact) in &mut self.last_contact {
            if !self.lost.contains_key(peer) {
                *last_contact = now;
            }
        }
    }

    /// Marks the peers whose timeout has expired as lost; returns them.
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
