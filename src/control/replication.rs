//! Requests about replicated configuration and membership, and the agent's replies.

use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use super::client::exchange;
use super::{Agent, RequestError};
use crate::instance::Instance;
use crate::replication::{Dot, Epoch, Replica, SourceId, Stamp, MEMBER_PREFIX};

/// Operations on replicated configuration and membership.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase", deny_unknown_fields)]
pub enum Operation {
    /// Set the value of a key.
    Set {
        /// The key.
        key: String,
        /// The value.
        value: Value,
    },
    /// Delete a key.
    Unset {
        /// The key.
        key: String,
    },
    /// Report the keys in force, the rejected ones and conflicts.
    Config,
    /// Report the members.
    Members,
    /// Report at which members a change is in force.
    Acknowledged {
        /// The change.
        change: ChangeId,
    },
}

/// A request about replication.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ReplicationRequest {
    /// The operation.
    pub replication: Operation,
    /// Name of the instance; `None`: the only instance that has replicated configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<String>,
}

/// Identifies a change, as `SOURCE:EPOCH:NUMBER`. Without an epoch, the queried controller uses the one that it knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct ChangeId {
    /// Number of the source that made it.
    pub source: u8,
    /// Epoch of the source's log.
    pub epoch: Option<u32>,
    /// Number in the source's log.
    pub number: u32,
}

/// A malformed identifier of a change.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("invalid change '{0}', expected SOURCE:NUMBER or SOURCE:EPOCH:NUMBER")]
pub struct ChangeIdError(String);

impl std::str::FromStr for ChangeId {
    type Err = ChangeIdError;

    fn from_str(text: &str) -> Result<ChangeId, ChangeIdError> {
        let invalid = || ChangeIdError(text.to_owned());
        let parts: Vec<&str> = text.split(':').collect();
        let number = |part: &str| part.parse::<u32>().map_err(|_| invalid());
        let (source, epoch, last) = match parts[..] {
            [source, last] => (source, None, last),
            [source, epoch, last] => (source, Some(number(epoch)?), last),
            _ => return Err(invalid()),
        };
        let source = source.parse().map_err(|_| invalid())?;
        Ok(ChangeId { source, epoch, number: number(last)? })
    }
}

impl TryFrom<String> for ChangeId {
    type Error = ChangeIdError;

    fn try_from(text: String) -> Result<ChangeId, ChangeIdError> {
        text.parse()
    }
}

impl std::fmt::Display for ChangeId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.epoch {
            Some(epoch) => write!(f, "{}:{epoch}:{}", self.source, self.number),
            None => write!(f, "{}:{}", self.source, self.number),
        }
    }
}

impl From<ChangeId> for String {
    fn from(change: ChangeId) -> String {
        change.to_string()
    }
}

impl From<Dot> for ChangeId {
    fn from(dot: Dot) -> ChangeId {
        ChangeId { source: dot.source.0, epoch: Some(dot.epoch.0), number: dot.number }
    }
}

/// A key whose value is in force.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct EntryView {
    /// The key.
    pub key: String,
    /// The value in force at the queried controller.
    pub value: Value,
    /// The current change of the key.
    pub change: Option<ChangeId>,
    /// When that change was made, in Unix milliseconds.
    pub at_ms: u64,
}

/// A key whose current value the queried controller has rejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RejectedView {
    /// The key.
    pub key: String,
    /// The reason.
    pub why: String,
}

/// A change that was overridden by a concurrent one.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConflictView {
    /// The key.
    pub key: String,
    /// The change that is current.
    pub winner: ChangeId,
    /// The change that was overridden.
    pub loser: ChangeId,
    /// The value of the overridden change; `null` if it deleted the key.
    pub lost_value: Option<Value>,
}

/// The replicated configuration of an instance.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct ConfigView {
    /// Name of the instance.
    pub instance: String,
    /// Whether it has caught up with the other members.
    pub caught_up: bool,
    /// Keys whose value is in force.
    pub entries: Vec<EntryView>,
    /// Keys whose current value is rejected.
    pub rejected: Vec<RejectedView>,
    /// The most recent conflicts.
    pub conflicts: Vec<ConflictView>,
    /// The last change of each source that was applied.
    pub version: Vec<ChangeId>,
    /// Hash of all entries; equal at members with equal entries.
    pub hash: String,
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names are self-explanatory
pub struct MemberView {
    pub name: String,
    pub address: String,
    pub region: String,
    pub zone: String,
    pub service: String,
    /// Number of the source to which it sends heartbeats.
    pub home: u8,
    pub incarnation: u32,
    /// Number of the source, if the member is one.
    pub source: Option<u8>,
}

/// The members at which a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AcknowledgedView {
    /// The change.
    pub change: ChangeId,
    /// Whether it is in force at all members.
    pub everywhere: bool,
    /// Number of members that have not confirmed it.
    pub missing: u32,
    /// Names of some of them.
    pub missing_names: Vec<String>,
    /// Number of members that have rejected it.
    pub rejecting: u32,
    /// Names of some of them.
    pub rejecting_names: Vec<String>,
}

/// A reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "lowercase")]
pub enum ReplicationReply {
    /// Reply to `set` and `unset`.
    Accepted {
        /// The change.
        change: ChangeId,
    },
    /// Reply to `config`.
    Config(ConfigView),
    /// Reply to `members`.
    Members {
        /// The members, sorted by name.
        members: Vec<MemberView>,
    },
    /// Reply to `acknowledged`.
    Acknowledged(AcknowledgedView),
    /// The request failed.
    Error {
        /// The reason.
        why: String,
    },
}

/// Sends a request to the agent at this socket, and returns its reply.
pub async fn send_replication_request(
    path: &Path,
    request: &ReplicationRequest,
) -> Result<ReplicationReply, RequestError> {
    exchange(path, request).await
}

impl Agent {
    /// Answers a request about replication.
    pub(super) fn answer_replication(&self, request: &ReplicationRequest) -> ReplicationReply {
        let instance = self.replicating_instance(request.instance.as_deref());
        let reply = instance.and_then(|instance| answer(&instance, &request.replication));
        reply.unwrap_or_else(|why| ReplicationReply::Error { why })
    }

    /// Returns the instance with this name, or the only one that has replicated configuration.
    fn replicating_instance(&self, name: Option<&str>) -> Result<Instance, String> {
        let running = self.running.borrow();
        let alive = running.iter().filter(|r| !r.ended.get());
        if let Some(name) = name {
            let found = alive.map(|r| &r.instance).find(|instance| instance.name() == name);
            return found.cloned().ok_or_else(|| format!("no instance is named '{name}'"));
        }
        let replicating: Vec<&Instance> = alive.map(|r| &r.instance).filter(|i| i.replicates()).collect();
        match replicating[..] {
            [] => Err("no instance has [instance.replication] in the file".to_owned()),
            [only] => Ok(only.clone()),
            _ => Err("several instances have [instance.replication]: name one of them".to_owned()),
        }
    }
}

fn answer(instance: &Instance, operation: &Operation) -> Result<ReplicationReply, String> {
    let accepted = |dot: Dot| ReplicationReply::Accepted { change: dot.into() };
    let not_configured =
        || format!("instance '{}' has no [instance.replication] in the file", instance.name());
    match operation {
        Operation::Set { key, value } => {
            instance.propose(key, Some(value.to_string().as_bytes())).map(accepted)
        }
        Operation::Unset { key } => instance.propose(key, None).map(accepted),
        Operation::Config => {
            let view = instance.replica(|replica, reasons| {
                let rejected = replica.rejected_keys().map(|key| RejectedView {
                    key: key.to_owned(),
                    why: reasons.get(key).cloned().unwrap_or_default(),
                });
                config_view(instance.name(), replica, rejected.collect())
            });
            view.map(ReplicationReply::Config).ok_or_else(not_configured)
        }
        Operation::Members => {
            let members = instance.replica(|replica, _| members_view(replica));
            members.map(|members| ReplicationReply::Members { members }).ok_or_else(not_configured)
        }
        Operation::Acknowledged { change } => {
            let view = instance.replica(|replica, _| acknowledged_view(replica, *change));
            view.map(ReplicationReply::Acknowledged).ok_or_else(not_configured)
        }
    }
}

/// Parses a stored value; one that is not JSON is shown as text.
fn json_or_text(value: &[u8]) -> Value {
    serde_json::from_slice(value).unwrap_or_else(|_| Value::from(String::from_utf8_lossy(value)))
}

fn config_view(instance: &str, replica: &Replica, rejected: Vec<RejectedView>) -> ConfigView {
    let entries = replica.values("").filter(|(key, _)| !key.starts_with(MEMBER_PREFIX));
    let entry = |(key, value): (&str, &[u8])| {
        let stamp: Option<Stamp> = replica.stamp(key);
        EntryView {
            key: key.to_owned(),
            value: json_or_text(value),
            change: stamp.map(|stamp| stamp.dot.into()),
            at_ms: stamp.map_or(0, |stamp| stamp.millis),
        }
    };
    let conflicts = replica.conflicts().map(|conflict| ConflictView {
        key: conflict.key.to_string(),
        winner: conflict.winner.dot.into(),
        loser: conflict.loser.dot.into(),
        lost_value: conflict.lost_value.as_deref().map(json_or_text),
    });
    let version = replica.version().iter().filter(|(_, version)| version.number > 0);
    let last = |(source, version): (SourceId, crate::replication::SourceVersion)| ChangeId {
        source: source.0,
        epoch: Some(version.epoch.0),
        number: version.number,
    };
    ConfigView {
        instance: instance.to_owned(),
        caught_up: replica.is_caught_up(),
        entries: entries.map(entry).collect(),
        rejected,
        conflicts: conflicts.collect(),
        version: version.map(last).collect(),
        hash: format!("{:016x}", replica.state_hash()),
    }
}

fn members_view(replica: &Replica) -> Vec<MemberView> {
    let view = |member: &crate::replication::Member| MemberView {
        name: member.name.to_string(),
        address: member.record.address.to_string(),
        region: member.record.region.to_string(),
        zone: member.record.zone.to_string(),
        service: member.record.service.to_string(),
        home: member.record.home.0,
        incarnation: member.record.incarnation,
        source: member.record.source.map(|source| source.0),
    };
    let mut members: Vec<MemberView> = replica.members().map(view).collect();
    members.sort_by(|a, b| a.name.cmp(&b.name));
    members
}

fn acknowledged_view(replica: &Replica, change: ChangeId) -> AcknowledgedView {
    let source = SourceId(change.source);
    let epoch = change.epoch.map_or_else(|| replica.version().get(source).epoch, Epoch);
    let dot = Dot { source, epoch, number: change.number };
    let acknowledgement = replica.acknowledgement(dot);
    AcknowledgedView {
        change: dot.into(),
        everywhere: acknowledgement.is_everywhere(),
        missing: acknowledgement.missing,
        missing_names: acknowledgement.missing_names,
        rejecting: acknowledgement.rejecting,
        rejecting_names: acknowledgement.rejecting_names,
    }
}
