//! Connects the core with the fleet: publishes this controller's observations of the call servers and passes the peers'
//! observations to the decision module. Without a fleet in the configuration, a peer's datagram goes to the decision
//! module unchanged.

use std::collections::BTreeMap;

use crate::core::{Core, Deadline, DirectoryEntry, Effect};
use crate::fleet::credit_transfer::{CreditCounts, CreditMessage};
use crate::fleet::failure_detector::PeerCounts;
use crate::fleet::observation::{decode_listing, encode_listing};
use crate::fleet::warnings::{WarningChange, WarningExpiry};
use crate::fleet::{Fleet, FleetCounts, Key, Observation, Outgoing, PeerUpdate};
use crate::interface::{Cause, Event, ListKind, Outcome, Permits, ServerId, ServerState, Span, Time};

/// A refusal as full without a wait is published as a wait too long for any call: this multiple of the shortest aim.
const FULL_WAIT_FACTOR: f64 = 1.5;

/// Hops in which most reports arrive. Each adds [`FleetConfig::min_latency`](crate::fleet::FleetConfig::min_latency), an
/// upper bound of a latency that may be much smaller, to their age.
const USUAL_HOPS: u64 = 2;

/// The state of a call server as known to this controller and the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct FleetView {
    /// Its host name.
    pub host: String,
    /// The newest observation of it by any controller; `None`: there is no recent one.
    pub newest: Option<Observation>,
    /// Age of that observation.
    pub age: Span,
    /// The last observation by this controller itself.
    pub own: Option<Observation>,
    /// Whether a peer's directory lists it as draining or gone, and ours does not yet.
    pub warned: bool,
    /// Permits held here to send calls to it, in calls, borrowed ones included; `None`: it needs none.
    pub permits: Option<f64>,
}

/// The subject of the observations under a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Subject {
    /// The call server's processor.
    Processor(ServerId),
    /// The directories' entry for it.
    Listing(ServerId),
}

/// The call servers by their keys in datagrams.
#[derive(Debug, Default)]
pub(super) struct Keys(BTreeMap<Key, Subject>);

impl Keys {
    /// Adds a call server.
    pub(super) fn add(&mut self, server: ServerId, host: &str) {
        self.0.insert(Key::of(host), Subject::Processor(server));
        self.0.insert(Key::of_listing(host), Subject::Listing(server));
    }

    /// Removes a call server that has left for good.
    pub(super) fn remove(&mut self, host: &str) {
        self.0.remove(&Key::of(host));
        self.0.remove(&Key::of_listing(host));
    }
}

impl Core {
    /// The fleet membership, created when it is first needed: the core learns the time from its inputs.
    fn fleet(&mut self) -> Option<&mut Fleet> {
        let config = self.config.fleet.as_ref()?;
        let now = self.now;
        Some(self.fleet.get_or_insert_with(|| Fleet::new(config.clone(), now)))
    }

    /// Publishes what an event shows about a call server.
    pub(super) fn publish_observation(&mut self, event: &Event) {
        if self.config.fleet.is_none() {
            return;
        }
        let full = self.shortest_aim().scale(FULL_WAIT_FACTOR);
        let (server, wait, silent) = match event {
            Event::Established { server, took, .. } => (*server, *took, false),
            Event::Ended(end) => match (end.outcome, end.cause) {
                (Outcome::Full, Cause::ProcessorFullFor(wait)) => (end.server, wait, false),
                (Outcome::Full, Cause::ProcessorFull | Cause::None) => (end.server, full, false),
                // The attempt waited in vain for this long: the wait is no shorter.
                (Outcome::TimedOut | Outcome::Cancelled, _) => (end.server, end.took, false),
                (Outcome::Error, _) => (end.server, end.took, false),
                (Outcome::ConnectFailed, _) => (end.server, Span::default(), true),
                _ => return,
            },
            _ => return,
        };
        let Some(key) = self.key_of(server) else { return };
        let now = self.now;
        if let Some(fleet) = self.fleet() {
            fleet.observe(now, key, wait, silent);
        }
    }

    /// Handles a datagram of a peer.
    pub(super) fn peer_message(&mut self, from: u16, data: Vec<u8>, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(fleet) = self.fleet() else { return self.feed(Event::PeerMessage { from, data }, out) };
        // Malformed datagrams are counted by the fleet.
        let Ok(news) = fleet.receive(now, from, &data) else { return };
        for news in news {
            match news {
                PeerUpdate::Observed(key, observation) => match self.keys.0.get(&key).copied() {
                    Some(Subject::Processor(server)) => self.feed_observation(server, observation, out),
                    Some(Subject::Listing(server)) => self.peer_listing(server, observation, out),
                    None => {}
                },
                PeerUpdate::Credit(CreditMessage::Requested { from, key, permits }) => {
                    let Some(server) = self.server_of(key) else { continue };
                    self.feed(Event::PermitsRequested { from, server, permits }, out);
                }
                PeerUpdate::Credit(CreditMessage::Granted { key, permits }) => {
                    let Some(server) = self.server_of(key) else { continue };
                    self.feed(Event::PermitsReceived { server, permits }, out);
                }
            }
        }
    }

    /// Passes a peer's observation on to the module.
    fn feed_observation(&mut self, server: ServerId, observation: Observation, out: &mut Vec<Effect>) {
        self.peer_answered();
        let Observation { wait, silent, observed_at: at, .. } = observation;
        self.feed(Event::Observation { server, wait, silent, at }, out);
    }

    /// The module is short of permits that peers may have.
    pub(super) fn request_credit(&mut self, server: ServerId, permits: Permits) {
        let (now, key) = (self.now, self.key_of(server));
        if let (Some(key), Some(fleet)) = (key, self.fleet()) {
            fleet.request_credit(now, key, permits);
        }
    }

    /// The module has taken credit off its own bucket for a peer.
    pub(super) fn grant_credit(&mut self, to: u16, server: ServerId, permits: Permits) {
        let key = self.key_of(server);
        if let (Some(key), Some(fleet)) = (key, self.fleet()) {
            fleet.credit.grant(to, key, permits);
        }
    }

    /// Our own directory lists a call server: its entry ends any warning. The entry is published if it rules out new calls,
    /// or if it differs from the fleet's latest observation.
    pub(super) fn publish_listing(&mut self, server: ServerId, entry: &DirectoryEntry) {
        let (now, state) = (self.now, entry.state);
        self.keys.add(server, &entry.host);
        self.warnings.record_own_listing(now, server);
        let key = Key::of_listing(&entry.host);
        let Some(fleet) = self.fleet() else { return };
        let differs = fleet.view(key, now).is_some_and(|known| known.wait != encode_listing(state));
        if state != ServerState::Ready || differs {
            fleet.observe(now, key, encode_listing(state), false);
        }
    }

    /// Handles a peer's listing of a call server that our own directory lists too.
    fn peer_listing(&mut self, server: ServerId, observation: Observation, out: &mut Vec<Effect>) {
        let Some(listed) = self.servers.get(&server) else { return };
        let (Some(state), ServerState::Ready) = (decode_listing(observation.wait), listed.entry.state) else {
            return;
        };
        let host = listed.entry.host.clone();
        // The latest time at which the peer's directory may have reported it: a report must not count as older than our
        // own entry, and be ignored for good, only because its age is overestimated.
        let min_latency = self.config.fleet.as_ref().map(|fleet| fleet.min_latency).unwrap_or_default();
        let overestimate = Span(min_latency.0.saturating_mul(USUAL_HOPS));
        let reported_at = observation.observed_at.plus(overestimate);
        match self.warnings.record_peer_listing(self.now, server, state, reported_at) {
            WarningChange::Unchanged => {}
            WarningChange::Raised(until) => {
                out.push(Effect::Log(format!(
                    "warning: the directory of controller {} lists {host} as taking no new calls",
                    observation.origin
                )));
                out.push(Effect::CancelQueued(server));
                self.relist(server, ServerState::Draining, out);
                self.deadlines.set(until, Deadline::ListingWarning(server));
            }
            WarningChange::Withdrawn => self.end_warning(server, "withdrawn by a peer's directory", out),
        }
    }

    /// A warning may have expired.
    pub(super) fn check_warning(&mut self, server: ServerId, out: &mut Vec<Effect>) {
        match self.warnings.check_expiry(self.now, server) {
            Some(WarningExpiry::Expired) => {
                self.end_warning(server, "not confirmed by our own directory", out)
            }
            Some(WarningExpiry::ActiveUntil(later)) => {
                self.deadlines.set(later, Deadline::ListingWarning(server))
            }
            None => {}
        }
    }

    fn end_warning(&mut self, server: ServerId, why: &str, out: &mut Vec<Effect>) {
        let Some(entry) = self.servers.get(&server).map(|listed| &listed.entry) else { return };
        let state = entry.state;
        out.push(Effect::Log(format!("warning for {} ends: {why}", entry.host)));
        self.relist(server, state, out);
    }

    /// Passes a state of a call server to the decision module as if the directory had listed it.
    pub(super) fn relist(&mut self, server: ServerId, state: ServerState, out: &mut Vec<Effect>) {
        let Some(listed) = self.servers.get(&server) else { return };
        let entry = super::route::server_entry(server, &DirectoryEntry { state, ..listed.entry.clone() });
        self.feed(Event::List { kind: ListKind::Delta, entries: vec![entry] }, out);
    }

    /// Passes the observations of call servers that arrived before these were listed here to the decision module. Guards
    /// against a controller that has just started, receives its peers' observations before its first list, and would
    /// ignore them.
    pub(super) fn replay_observations(&mut self, named: &[ServerId], out: &mut Vec<Effect>) {
        let (Some(fleet), now) = (&self.fleet, self.now) else { return };
        let observed = |server: &ServerId| Some((*server, fleet.view(self.key_of(*server)?, now)?));
        let held: Vec<(ServerId, Observation)> = named.iter().filter_map(observed).collect();
        for (server, observation) in held {
            self.feed_observation(server, observation, out);
        }
    }

    /// Sends the datagrams that are due, and logs changes of the set of live peers.
    pub(super) fn poll_fleet(&mut self, out: &mut Vec<Effect>) {
        let now = self.now;
        let Some(fleet) = self.fleet() else { return };
        let mut datagrams = Vec::new();
        fleet.poll(now, &mut datagrams);
        let changes = fleet.take_peer_changes().into_iter();
        out.extend(changes.map(|change| Effect::Log(change.to_string())));
        out.extend(datagrams.into_iter().map(|Outgoing { to, bytes }| Effect::SendToPeers(Some(to), bytes)));
    }

    /// Sets the deadline of the next [`Core::poll_fleet`].
    pub(super) fn schedule_fleet_poll(&mut self) {
        if let Some(fleet) = self.fleet() {
            let due = fleet.next_poll();
            self.deadlines.set(due, Deadline::FleetPoll);
        }
    }

    /// The state of the listed call servers, sorted by name; empty without a fleet.
    pub fn fleet_view(&self, now: Time) -> Vec<FleetView> {
        let Some(fleet) = &self.fleet else { return Vec::new() };
        let listed = self.listed_servers().filter(|entry| entry.state != ServerState::Gone);
        let mut view: Vec<FleetView> = listed
            .map(|entry| {
                let key = Key::of(&entry.host);
                let newest = fleet.view(key, now);
                let age = newest.map(|observation| observation.age(now)).unwrap_or_default();
                let server = self.server_of(key);
                FleetView {
                    host: entry.host.clone(),
                    newest,
                    age,
                    own: fleet.own_view(key, now),
                    warned: server.is_some_and(|server| self.warnings.is_active(server)),
                    permits: server.and_then(|server| self.module.permits(server)),
                }
            })
            .collect();
        view.sort_by(|a, b| a.host.cmp(&b.host));
        view
    }

    /// Number of peers alive and lost.
    pub fn fleet_peers(&self) -> PeerCounts {
        self.fleet.as_ref().map(|fleet| fleet.failure_detector.counts()).unwrap_or_default()
    }

    /// Counters of the datagrams; `None` without a fleet.
    pub fn fleet_counts(&self) -> Option<FleetCounts> {
        self.fleet.as_ref().map(|fleet| fleet.counts)
    }

    /// Counters of the credit lent and borrowed; `None` without a fleet.
    pub fn credit_counts(&self) -> Option<CreditCounts> {
        self.fleet.as_ref().map(|fleet| fleet.credit.counts)
    }

    fn key_of(&self, server: ServerId) -> Option<Key> {
        self.servers.get(&server).map(|listed| Key::of(&listed.entry.host))
    }

    fn server_of(&self, key: Key) -> Option<ServerId> {
        match self.keys.0.get(&key) {
            Some(Subject::Processor(server)) => Some(*server),
            Some(Subject::Listing(_)) | None => None,
        }
    }

    fn shortest_aim(&self) -> Span {
        self.config.settings.classes.iter().map(|class| class.setup_target).min().unwrap_or_default()
    }
}
