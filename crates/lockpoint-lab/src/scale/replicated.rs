//! The control plane of `lockpoint::replication`, as used by the simulated controllers.

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;

use lockpoint::interface::{Span, Time};
use lockpoint::replication::{Event, Replica, ReplicaConfig, SourceId, Validator};

use super::address::Address;
use super::control_plane::{ChangeId, ControlPlane, ControlPlaneConfig, MakeControlPlane, Role};

/// The port of every process; the IP address identifies the process.
const PORT: u16 = 7_000;
/// A source that receives no answer accepts changes after this time. The default waits longer for an existing cluster;
/// here there is none at the start.
const BOOTSTRAP_AFTER: Span = Span::from_millis(1_000);
/// A change is proposed again after this time if the source has not caught up yet.
const PROPOSE_RETRY_INTERVAL: Span = Span::from_millis(100);

/// Accepts every value: only the propagation of changes is measured.
struct AcceptAll;

impl Validator for AcceptAll {
    fn validate(&self, _: &str, _: Option<&[u8]>) -> Result<(), String> {
        Ok(())
    }
}

struct Replicated {
    replica: Replica,
    members: HashSet<Address>,
    /// A change that its source could not accept yet, and when it is proposed again.
    retry: Option<(ChangeId, Time)>,
}

/// Makes the control plane of `lockpoint::replication`.
pub fn make() -> MakeControlPlane {
    Arc::new(|config: &ControlPlaneConfig, now| Box::new(Replicated::new(config, now)))
}

fn socket_address(address: Address) -> SocketAddr {
    let [_, high, middle, low] = address.0.to_be_bytes();
    SocketAddr::from(([127, high, middle, low], PORT))
}

fn address_of(socket: SocketAddr) -> Option<Address> {
    match socket {
        SocketAddr::V4(socket) => {
            let [_, high, middle, low] = socket.ip().octets();
            Some(Address(u32::from_be_bytes([0, high, middle, low])))
        }
        SocketAddr::V6(_) => None,
    }
}

fn name_of(address: Address) -> String {
    format!("c{}", address.0)
}

fn key_of(change: ChangeId) -> String {
    format!("all/change-{}", change.0)
}

impl Replicated {
    fn new(config: &ControlPlaneConfig, now: Time) -> Replicated {
        let source = match config.role {
            Role::Source(number) => Some(SourceId(number as u8)),
            Role::Replica => None,
        };
        let replica = ReplicaConfig {
            cluster: "scale".to_owned(),
            name: name_of(config.address),
            address: socket_address(config.address),
            region: format!("region-{}", config.region),
            zone: format!("zone-{}", config.zone),
            service: String::new(),
            incarnation: config.incarnation,
            source,
            seeds: config.sources.iter().copied().map(socket_address).collect(),
            seed: config.seed,
            bootstrap_after: BOOTSTRAP_AFTER,
            ..ReplicaConfig::default()
        };
        let replica = Replica::new(replica, Box::new(AcceptAll), now);
        Replicated { replica, members: HashSet::new(), retry: None }
    }

    fn note_events(&mut self) {
        let address = |name: &str| name.strip_prefix('c').and_then(|number| number.parse().ok()).map(Address);
        for event in self.replica.take_events() {
            match event {
                Event::MemberJoined { name } => self.members.extend(address(&name)),
                Event::MemberLeft { name } => {
                    address(&name).map(|address| self.members.remove(&address));
                }
                _ => {}
            }
        }
    }
}

impl ControlPlane for Replicated {
    fn receive(&mut self, now: Time, from: Address, bytes: &[u8]) {
        // The replica counts the datagrams that it rejects.
        let _ = self.replica.receive(now, socket_address(from), bytes);
        self.note_events();
    }

    fn poll(&mut self, now: Time, out: &mut Vec<(Address, Vec<u8>)>) {
        if let Some((change, _)) = self.retry.take_if(|(_, at)| *at <= now) {
            self.propose(now, change);
        }
        let mut datagrams = Vec::new();
        self.replica.poll(now, &mut datagrams);
        out.extend(datagrams.into_iter().filter_map(|(to, bytes)| Some((address_of(to)?, bytes))));
        self.note_events();
    }

    fn next_due(&self) -> Time {
        let due = self.replica.next_due();
        self.retry.map_or(due, |(_, at)| due.min(at))
    }

    fn propose(&mut self, now: Time, change: ChangeId) {
        if self.replica.propose(now, &key_of(change), Some(b"1")).is_err() {
            self.retry = Some((change, now.plus(PROPOSE_RETRY_INTERVAL)));
        }
    }

    fn is_in_force(&self, change: ChangeId) -> bool {
        self.replica.value(&key_of(change)).is_some()
    }

    fn knows_member(&self, address: Address) -> bool {
        self.members.contains(&address)
    }

    fn members_known(&self) -> usize {
        self.members.len()
    }

    fn entries_held(&self) -> usize {
        self.replica.values("").count()
    }
}
