//! Records that a controller persists for the next run of its process, as keys and values: calls under `call/`,
//! directory entries under `list/`. Values are MessagePack arrays. A value that cannot be decoded is skipped and
//! counted; all others stay usable.

use serde::{Deserialize, Serialize};

use crate::core::{DirectoryEntry, Sid, Source};
use crate::interface::{Span, Time};

const CALL_PREFIX: &[u8] = b"call/";
const DIRECTORY_PREFIX: &[u8] = b"list/";

/// An established call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call server's host name.
    pub host: String,
    /// When that call server started according to the directory, in Unix milliseconds; 0 if long ago.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// The number called; a release sent by the controller contains it.
    pub number: String,
    /// When it was established, in Unix milliseconds.
    pub since_ms: u64,
    /// Whether the caller's side is an IAX2 call leg, which ends with the process.
    pub leg: bool,
}

/// The stored value of a call. Variants are serialized under the names of earlier releases.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum StoredCall {
    #[serde(rename = "Stands")]
    Established(CallRecord),
    /// The cause of a release that is still to be sent to the caller.
    #[serde(rename = "Owed")]
    PendingRelease(u16),
}

/// A directory entry.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectoryRecord {
    /// The directory that listed it.
    pub source: Source,
    /// The entry.
    #[serde(rename = "line")]
    pub entry: DirectoryEntry,
    /// When it was received, in Unix milliseconds.
    #[serde(rename = "told_ms")]
    pub listed_ms: u64,
}

/// A change of the records.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordChange {
    /// A call was established.
    CallEstablished(Sid, CallRecord),
    /// A call has ended, and its release with this cause is pending because no client connection can take it.
    ReleasePending(Sid, u16),
    /// A call has ended, and its release was sent, was abandoned or is not needed.
    CallEnded(Sid),
    /// A directory has listed a call server.
    ServerListed(DirectoryRecord),
    /// A call server was removed.
    ServerForgotten(Source, String),
}

fn call_key(sid: Sid) -> Vec<u8> {
    [CALL_PREFIX, &sid.0].concat()
}

fn directory_key(source: Source, host: &str) -> Vec<u8> {
    let source = match source {
        Source::Bulletin => "bulletin/",
        Source::DnsSd => "dns-sd/",
        Source::Registered => "registered/",
    };
    [DIRECTORY_PREFIX, source.as_bytes(), host.as_bytes()].concat()
}

impl RecordChange {
    /// The key that changes and its new value; `None` if the key is removed.
    pub fn encoded(&self) -> (Vec<u8>, Option<Vec<u8>>) {
        match self {
            RecordChange::CallEstablished(sid, call) => {
                (call_key(*sid), rmp_serde::to_vec(&StoredCall::Established(call.clone())).ok())
            }
            RecordChange::ReleasePending(sid, cause) => {
                (call_key(*sid), rmp_serde::to_vec(&StoredCall::PendingRelease(*cause)).ok())
            }
            RecordChange::CallEnded(sid) => (call_key(*sid), None),
            RecordChange::ServerListed(record) => {
                (directory_key(record.source, &record.entry.host), rmp_serde::to_vec(record).ok())
            }
            RecordChange::ServerForgotten(source, host) => (directory_key(*source, host), None),
        }
    }
}

/// The decoded records.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Records {
    /// Calls that were established.
    pub calls: Vec<(Sid, CallRecord)>,
    /// Pending releases, with their causes.
    pub pending_releases: Vec<(Sid, u16)>,
    /// The last known directory entries.
    pub directory: Vec<DirectoryRecord>,
    /// Number of records that could not be decoded.
    pub unreadable: usize,
}

impl Records {
    /// Decodes the items of a store.
    pub fn read<'a>(items: impl IntoIterator<Item = (&'a [u8], &'a [u8])>) -> Records {
        let mut records = Records::default();
        for (key, value) in items {
            let decoded = if let Some(sid) = key.strip_prefix(CALL_PREFIX) {
                let sid = std::str::from_utf8(sid).ok().and_then(Sid::parse);
                sid.zip(rmp_serde::from_slice(value).ok()).map(|(sid, call)| match call {
                    StoredCall::Established(call) => records.calls.push((sid, call)),
                    StoredCall::PendingRelease(cause) => records.pending_releases.push((sid, cause)),
                })
            } else if key.starts_with(DIRECTORY_PREFIX) {
                rmp_serde::from_slice(value).ok().map(|record| records.directory.push(record))
            } else {
                None
            };
            records.unreadable += usize::from(decoded.is_none());
        }
        records
    }

    /// The entries still valid at `now`. Entries with the state `ready` expire at `max_age`; the others do not expire.
    pub fn current_entries(&self, now: Time, max_age: Span) -> impl Iterator<Item = &DirectoryRecord> {
        use crate::interface::ServerState;
        let is_current = move |record: &&DirectoryRecord| {
            record.entry.state != ServerState::Ready
                || now.since(Time(record.listed_ms.saturating_mul(1_000))) < max_age
        };
        self.directory.iter().filter(is_current)
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use proptest::prelude::*;

    use super::*;
    use crate::core::Protocol;
    use crate::interface::{Cell, ServerState};

    fn record(host: &str, state: ServerState, listed_ms: u64) -> DirectoryRecord {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        let entry = DirectoryEntry {
            host: host.to_owned(),
            address,
            protocol: Protocol::Sip,
            cell: Cell(3),
            zone: 1,
            started_ms: 5,
            state,
        };
        DirectoryRecord { source: Source::Bulletin, entry, listed_ms }
    }

    #[test]
    fn records_round_trip_and_those_of_ended_calls_are_removed() {
        let call =
            CallRecord { host: "s0".into(), started_ms: 9, number: "7f".into(), since_ms: 1_000, leg: false };
        let (first, second, third) = (Sid::from_number(1), Sid::from_number(2), Sid::from_number(3));
        let entry = record("s0", ServerState::Ready, 77);
        let changes = [
            RecordChange::CallEstablished(first, call.clone()),
            RecordChange::CallEstablished(second, call.clone()),
            RecordChange::CallEnded(second),
            RecordChange::CallEstablished(third, call.clone()),
            RecordChange::ReleasePending(third, 41),
            RecordChange::ServerListed(record("s1", ServerState::Ready, 5)),
            RecordChange::ServerListed(entry.clone()),
            RecordChange::ServerForgotten(Source::Bulletin, "s1".into()),
        ];
        let mut items = std::collections::BTreeMap::new();
        for (key, value) in changes.iter().map(RecordChange::encoded) {
            match value {
                Some(value) => drop(items.insert(key, value)),
                None => drop(items.remove(&key)),
            }
        }
        let records = Records::read(items.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
        let (calls, pending_releases, directory) = (vec![(first, call)], vec![(third, 41)], vec![entry]);
        assert_eq!(records, Records { calls, pending_releases, directory, unreadable: 0 });
    }

    #[test]
    fn old_entries_expire_only_if_their_state_is_ready() {
        let directory = vec![
            record("old", ServerState::Ready, 1_000),
            record("new", ServerState::Ready, 90_000),
            record("drains", ServerState::Draining, 1_000),
        ];
        let records = Records { directory, ..Records::default() };
        let hosts: Vec<&str> = records
            .current_entries(Time(100_000_000), Span::from_millis(60_000))
            .map(|record| record.entry.host.as_str())
            .collect();
        assert_eq!(hosts, ["new", "drains"]);
    }

    proptest! {
        #[test]
        fn arbitrary_bytes_are_decoded_or_counted_as_unreadable(items in proptest::collection::vec((any::<Vec<u8>>(), any::<Vec<u8>>()), 0..40)) {
            let keys = items.iter().enumerate().map(|(n, (key, value))| {
                let prefix: &[u8] = [CALL_PREFIX, DIRECTORY_PREFIX, b""][n % 3];
                ([prefix, key].concat(), value)
            });
            let keyed: Vec<(Vec<u8>, &Vec<u8>)> = keys.collect();
            let records = Records::read(keyed.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
            prop_assert_eq!(records.calls.len() + records.pending_releases.len() + records.directory.len() + records.unreadable, items.len());
        }
    }
}
