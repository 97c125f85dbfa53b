//! What a controller keeps over the end of its process, as keys and values. Calls under `call/`, lines of the list under
//! `list/`. Values are MessagePack arrays; one that cannot be read is left out and counted, and nothing else is lost.

use serde::{Deserialize, Serialize};

use crate::core::{HostLine, Sid, Source};
use crate::interface::{Span, Time};

const CALL: &[u8] = b"call/";
const LIST: &[u8] = b"list/";

/// A call that stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// The call server's host name.
    pub host: String,
    /// When that call server had started, as the list said; in Unix milliseconds, 0 for long past.
    #[serde(rename = "born_ms")]
    pub started_ms: u64,
    /// The number called, which a release from this side names.
    pub number: String,
    /// Since when it stands, in Unix milliseconds.
    pub since_ms: u64,
    /// Whether its caller is a leg of IAX2, which ends with the process.
    pub leg: bool,
}

/// What is kept of a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Kept {
    Stands(CallRecord),
    Owed(u16),
}

/// A line of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct DirectoryRecord {
    /// Who told it.
    pub source: Source,
    /// The line.
    #[serde(rename = "line")]
    pub entry: HostLine,
    /// When it was told, in Unix milliseconds.
    #[serde(rename = "told_ms")]
    pub listed_ms: u64,
}

/// A change of what is kept.
#[derive(Debug, Clone, PartialEq)]
pub enum RecordChange {
    /// A call stands.
    CallEstablished(Sid, CallRecord),
    /// A call is over, and its caller is owed the release, with this cause: nobody is there to hear it.
    ReleasePending(Sid, u16),
    /// A call is over, and its release is on its way or given up.
    CallEnded(Sid),
    /// The list says something of a call server.
    ServerListed(DirectoryRecord),
    /// A call server is forgotten.
    ServerForgotten(Source, String),
}

fn call_key(sid: Sid) -> Vec<u8> {
    [CALL, &sid.0].concat()
}

fn line_key(source: Source, host: &str) -> Vec<u8> {
    let source = match source {
        Source::Bulletin => "bulletin/",
        Source::DnsSd => "dns-sd/",
        Source::Registered => "registered/",
    };
    [LIST, source.as_bytes(), host.as_bytes()].concat()
}

impl RecordChange {
    /// The key that changes, and its new value; `None`: it has none any more.
    pub fn encoded(&self) -> (Vec<u8>, Option<Vec<u8>>) {
        match self {
            RecordChange::CallEstablished(sid, call) => {
                (call_key(*sid), rmp_serde::to_vec(&Kept::Stands(call.clone())).ok())
            }
            RecordChange::ReleasePending(sid, cause) => {
                (call_key(*sid), rmp_serde::to_vec(&Kept::Owed(*cause)).ok())
            }
            RecordChange::CallEnded(sid) => (call_key(*sid), None),
            RecordChange::ServerListed(kept) => {
                (line_key(kept.source, &kept.entry.host), rmp_serde::to_vec(kept).ok())
            }
            RecordChange::ServerForgotten(source, host) => (line_key(*source, host), None),
        }
    }
}

/// What the records hold.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Records {
    /// Calls that stood.
    pub calls: Vec<(Sid, CallRecord)>,
    /// Releases that callers were owed, with their causes.
    pub pending_releases: Vec<(Sid, u16)>,
    /// The list as last told.
    pub directory: Vec<DirectoryRecord>,
    /// Records that cannot be read.
    pub unreadable: usize,
}

impl Records {
    /// Reads the items of a store.
    pub fn read<'a>(items: impl IntoIterator<Item = (&'a [u8], &'a [u8])>) -> Records {
        let mut found = Records::default();
        for (key, value) in items {
            let read = if let Some(sid) = key.strip_prefix(CALL) {
                let sid = std::str::from_utf8(sid).ok().and_then(Sid::parse);
                sid.zip(rmp_serde::from_slice(value).ok()).map(|(sid, kept)| match kept {
                    Kept::Stands(call) => found.calls.push((sid, call)),
                    Kept::Owed(cause) => found.pending_releases.push((sid, cause)),
                })
            } else if key.starts_with(LIST) {
                rmp_serde::from_slice(value).ok().map(|kept| found.directory.push(kept))
            } else {
                None
            };
            found.unreadable += usize::from(read.is_none());
        }
        found
    }

    /// The lines that still count at `now`: a `ready` older than `age` says nothing.
    pub fn current_entries(&self, now: Time, age: Span) -> impl Iterator<Item = &DirectoryRecord> {
        use crate::interface::ServerState;
        let fresh = move |kept: &&DirectoryRecord| {
            kept.entry.state != ServerState::Ready
                || now.since(Time(kept.listed_ms.saturating_mul(1_000))) < age
        };
        self.directory.iter().filter(fresh)
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use proptest::prelude::*;

    use super::*;
    use crate::core::Protocol;
    use crate::interface::{Cell, ServerState};

    fn line(host: &str, state: ServerState, told_ms: u64) -> DirectoryRecord {
        let dial = SocketAddr::from(([127, 0, 0, 1], 7000));
        let line = HostLine {
            host: host.to_owned(),
            dial,
            protocol: Protocol::Sip,
            cell: Cell(3),
            zone: 1,
            born_ms: 5,
            state,
        };
        DirectoryRecord { source: Source::Bulletin, entry: line, listed_ms: told_ms }
    }

    #[test]
    fn what_is_kept_is_found_again_and_what_has_ended_is_not() {
        let call =
            CallRecord { host: "s0".into(), started_ms: 9, number: "7f".into(), since_ms: 1_000, leg: false };
        let (one, other, third) = (Sid::numbered(1), Sid::numbered(2), Sid::numbered(3));
        let kept = line("s0", ServerState::Ready, 77);
        let changes = [
            RecordChange::CallEstablished(one, call.clone()),
            RecordChange::CallEstablished(other, call.clone()),
            RecordChange::CallEnded(other),
            RecordChange::CallEstablished(third, call.clone()),
            RecordChange::ReleasePending(third, 41),
            RecordChange::ServerListed(line("s1", ServerState::Ready, 5)),
            RecordChange::ServerListed(kept.clone()),
            RecordChange::ServerForgotten(Source::Bulletin, "s1".into()),
        ];
        let mut items = std::collections::BTreeMap::new();
        for (key, value) in changes.iter().map(RecordChange::encoded) {
            match value {
                Some(value) => drop(items.insert(key, value)),
                None => drop(items.remove(&key)),
            }
        }
        let found = Records::read(items.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
        let (calls, owed, list) = (vec![(one, call)], vec![(third, 41)], vec![kept]);
        assert_eq!(found, Records { calls, pending_releases: owed, directory: list, unreadable: 0 });
    }

    #[test]
    fn an_old_line_says_nothing_of_who_is_ready_but_who_drained_is_known() {
        let list = vec![
            line("old", ServerState::Ready, 1_000),
            line("new", ServerState::Ready, 90_000),
            line("drains", ServerState::Draining, 1_000),
        ];
        let found = Records { directory: list, ..Records::default() };
        let hosts: Vec<&str> = found
            .current_entries(Time(100_000_000), Span::from_millis(60_000))
            .map(|kept| kept.entry.host.as_str())
            .collect();
        assert_eq!(hosts, ["new", "drains"]);
    }

    proptest! {
        #[test]
        fn any_bytes_are_read_or_left_out(items in proptest::collection::vec((any::<Vec<u8>>(), any::<Vec<u8>>()), 0..40)) {
            let keys = items.iter().enumerate().map(|(n, (key, value))| {
                let begins: &[u8] = [CALL, LIST, b""][n % 3];
                ([begins, key].concat(), value)
            });
            let keyed: Vec<(Vec<u8>, &Vec<u8>)> = keys.collect();
            let found = Records::read(keyed.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
            prop_assert_eq!(found.calls.len() + found.pending_releases.len() + found.directory.len() + found.unreadable, items.len());
        }
    }
}
