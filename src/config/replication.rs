//! The `[instance.replication]` section of an operator's file: how an instance takes part in replicated configuration.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::replication::version::MAX_SOURCES;
use crate::replication::{ReplicaConfig, SourceId, MAX_DATAGRAM, MAX_KEY_LENGTH, MEMBER_PREFIX};

/// The longest cluster, region, zone or service name, in bytes: a member's record must fit a value.
const MAX_NAME_LENGTH: usize = 64;
/// The smallest byte budget: one full datagram each second.
const MIN_BYTES_PER_SECOND: u32 = MAX_DATAGRAM as u32;

/// How an instance takes part in replicated configuration.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicationConfig {
    /// Where datagrams are received, and sent from.
    pub listen: SocketAddr,
    /// The replica's configuration; incarnation and random seed are chosen when the instance starts.
    pub replica: ReplicaConfig,
}

/// The section as it stands in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ReplicationForm {
    cluster: String,
    listen: SocketAddr,
    #[serde(default)]
    advertise: Option<SocketAddr>,
    seeds: Vec<SocketAddr>,
    region: String,
    zone: String,
    service: String,
    #[serde(default)]
    source: Option<u8>,
    #[serde(default)]
    fanout: Option<u16>,
    #[serde(default)]
    bytes_per_second: Option<u32>,
}

impl ReplicationForm {
    /// The instance's configuration; an error holds the key at fault and the reason.
    pub(super) fn checked(self, instance: &str) -> Result<ReplicationConfig, (String, String)> {
        let wrong = |key: &str, why: String| Err((format!("replication.{key}"), why));
        let longest_instance_name = MAX_KEY_LENGTH - MEMBER_PREFIX.len();
        if instance.is_empty() || instance.len() > longest_instance_name {
            let why =
                format!("a member's name has 1 to {longest_instance_name} bytes, not {}", instance.len());
            return Err(("name".to_owned(), why));
        }
        let names = [
            ("cluster", &self.cluster),
            ("region", &self.region),
            ("zone", &self.zone),
            ("service", &self.service),
        ];
        for (key, name) in names {
            if name.is_empty() || name.len() > MAX_NAME_LENGTH {
                return wrong(key, format!("it has 1 to {MAX_NAME_LENGTH} bytes, not {}", name.len()));
            }
        }
        if self.service.contains('/') {
            return wrong(
                "service",
                format!("'{}' contains '/', which separates the parts of a key", self.service),
            );
        }
        let address = self.advertise.unwrap_or(self.listen);
        if address.port() == 0 || address.ip().is_unspecified() {
            let key = if self.advertise.is_some() { "advertise" } else { "listen" };
            return wrong(key, format!("{address} is no address that others can send to"));
        }
        if self.seeds.is_empty() {
            return wrong("seeds", "the address of one source at least is needed".to_owned());
        }
        if let Some(source) = self.source.filter(|source| usize::from(*source) >= MAX_SOURCES) {
            return wrong("source", format!("{source} is not from 0 to {}", MAX_SOURCES - 1));
        }
        let defaults = ReplicaConfig::default();
        let fanout = self.fanout.unwrap_or(defaults.fanout);
        if fanout == 0 {
            return wrong("fanout", "one member at least must be told of a change".to_owned());
        }
        let bytes_per_second = self.bytes_per_second.unwrap_or(defaults.bytes_per_second);
        if bytes_per_second < MIN_BYTES_PER_SECOND {
            return wrong(
                "bytes_per_second",
                format!("{bytes_per_second} is less than {MIN_BYTES_PER_SECOND}"),
            );
        }
        let replica = ReplicaConfig {
            cluster: self.cluster,
            name: instance.to_owned(),
            address,
            region: self.region,
            zone: self.zone,
            service: self.service,
            source: self.source.map(SourceId),
            seeds: self.seeds,
            fanout,
            bytes_per_second,
            ..defaults
        };
        Ok(ReplicationConfig { listen: self.listen, replica })
    }
}
