//! The `[instance.replication]` section of an operator's file: replicated configuration and membership of an instance.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::replication::version::MAX_SOURCES;
use crate::replication::{ReplicaConfig, SourceId, MAX_DATAGRAM, MAX_KEY_LENGTH, MEMBER_PREFIX};

/// Maximum length of a cluster, region, zone or service name, in bytes: a member's record must fit into one value.
const MAX_NAME_LENGTH: usize = 64;
/// The smallest byte budget: one datagram of maximum length per second.
const MIN_BYTES_PER_SECOND: u32 = MAX_DATAGRAM as u32;

/// Replicated configuration of an instance.
#[derive(Debug, Clone, PartialEq)]
pub struct ReplicationConfig {
    /// Address at which datagrams are received and from which they are sent.
    pub listen: SocketAddr,
    /// Configuration of the replica; its incarnation and random seed are set when the instance starts.
    pub replica: ReplicaConfig,
}

/// The section as written in the file.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub(super) struct ReplicationSection {
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

impl ReplicationSection {
    /// Returns the instance's configuration. An error contains the invalid key and the reason.
    pub(super) fn validated(self, instance: &str) -> Result<ReplicationConfig, (String, String)> {
        let invalid = |key: &str, why: String| Err((format!("replication.{key}"), why));
        let max_name_length = MAX_KEY_LENGTH - MEMBER_PREFIX.len();
        if instance.is_empty() || instance.len() > max_name_length {
            let why =
                format!("a member's name must have 1 to {max_name_length} bytes, not {}", instance.len());
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
                return invalid(
                    key,
                    format!("a name must have 1 to {MAX_NAME_LENGTH} bytes, not {}", name.len()),
                );
            }
        }
        if self.service.contains('/') {
            return invalid(
                "service",
                format!("'{}' contains '/', which separates the parts of a key", self.service),
            );
        }
        let address = self.advertise.unwrap_or(self.listen);
        if address.port() == 0 || address.ip().is_unspecified() {
            let key = if self.advertise.is_some() { "advertise" } else { "listen" };
            return invalid(key, format!("{address} is not an address that other members can send to"));
        }
        if self.seeds.is_empty() {
            return invalid("seeds", "the address of at least one source is needed".to_owned());
        }
        if let Some(source) = self.source.filter(|source| usize::from(*source) >= MAX_SOURCES) {
            return invalid("source", format!("{source} is not between 0 and {}", MAX_SOURCES - 1));
        }
        let defaults = ReplicaConfig::default();
        let fanout = self.fanout.unwrap_or(defaults.fanout);
        if fanout == 0 {
            return invalid("fanout", "each change must be sent to at least one member".to_owned());
        }
        let bytes_per_second = self.bytes_per_second.unwrap_or(defaults.bytes_per_second);
        if bytes_per_second < MIN_BYTES_PER_SECOND {
            return invalid(
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
