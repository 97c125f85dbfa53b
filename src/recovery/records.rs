//! What a controller keeps over the end of its process, as keys and values. Calls under `call/`, lines of the list under
//! `list/`. Values are MessagePack arrays; one that cannot be read is left out and counted, and nothing else is lost.

use serde::{Deserialize, Serialize};

use crate::core::{DirectoryEntry, Sid, Source};
use crate::interface::{Span, Time};

const CALL: &[u8] = b"call/";
const LIST: &[u8] = b"list/";

/// A call that stands.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KeptCall {
    /// The call server's host name.
    pub host: String,
    /// When that call server had started, as the list said; in Unix milliseconds, 0 for long past.
    pub born_ms: u64,
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
    Stands(KeptCall),
    Owed(u16),
}

/// A line of the list.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct KeptLine {
    /// Who told it.
    pub source: Source,
    /// The line.
    pub line: DirectoryEntry,
    /// When it was told, in Unix milliseconds.
    pub told_ms: u64,
}

/// A change of what is kept.
#[derive(Debug, Clone, PartialEq)]
pub enum Change {
    /// A call stands.
    Stands(Sid, KeptCall),
    /// A call is over, and its caller is owed the release, with this cause: nobody is there to hear it.
    Owes(Sid, u16),
    /// A call is over, and its release is on its way or given up.
    Ends(Sid),
    /// The list says something of a call server.
    Listed(KeptLine),
    /// A call server is forgotten.
    Unlisted(Source, String),
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

impl Change {
    /// The key that changes, and its new value; `None`: it has none any more.
    pub fn encoded(&self) -> (Vec<u8>, Option<Vec<u8>>) {
        match self {
            Change::Stands(sid, call) => {
                (call_key(*sid), rmp_serde::to_vec(&Kept::Stands(call.clone())).ok())
            }
            Change::Owes(sid, cause) => (call_key(*sid), rmp_serde::to_vec(&Kept::Owed(*cause)).ok()),
            Change::Ends(sid) => (call_key(*sid), None),
            Change::Listed(kept) => (line_key(kept.source, &kept.line.host), rmp_serde::to_vec(kept).ok()),
            Change::Unlisted(source, host) => (line_key(*source, host), None),
        }
    }
}

/// What the records hold.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Found {
    /// Calls that stood.
    pub calls: Vec<(Sid, KeptCall)>,
    /// Releases that callers were owed, with their causes.
    pub owed: Vec<(Sid, u16)>,
    /// The list as last told.
    pub list: Vec<KeptLine>,
    /// Records that cannot be read.
    pub unreadable: usize,
}

impl Found {
    /// Reads the items of a store.
    pub fn read<'a>(items: impl IntoIterator<Item = (&'a [u8], &'a [u8])>) -> Found {
        let mut found = Found::default();
        for (key, value) in items {
            let read = if let Some(sid) = key.strip_prefix(CALL) {
                let sid = std::str::from_utf8(sid).ok().and_then(Sid::parse);
                sid.zip(rmp_serde::from_slice(value).ok()).map(|(sid, kept)| match kept {
                    Kept::Stands(call) => found.calls.push((sid, call)),
                    Kept::Owed(cause) => found.owed.push((sid, cause)),
                })
            } else if key.starts_with(LIST) {
                rmp_serde::from_slice(value).ok().map(|kept| found.list.push(kept))
            } else {
                None
            };
            found.unreadable += usize::from(read.is_none());
        }
        found
    }

    /// The lines that still count at `now`: a `ready` older than `age` says nothing.
    pub fn lines(&self, now: Time, age: Span) -> impl Iterator<Item = &KeptLine> {
        use crate::interface::ServerState;
        let fresh = move |kept: &&KeptLine| {
            kept.line.state != ServerState::Ready || now.since(Time(kept.told_ms.saturating_mul(1_000))) < age
        };
        self.list.iter().filter(fresh)
    }
}

#[cfg(test)]
mod tests {
    use std::net::SocketAddr;

    use proptest::prelude::*;

    use super::*;
    use crate::core::Protocol;
    use crate::interface::{Cell, ServerState};

    fn line(host: &str, state: ServerState, told_ms: u64) -> KeptLine {
        let address = SocketAddr::from(([127, 0, 0, 1], 7000));
        let line = DirectoryEntry {
            host: host.to_owned(),
            address,
            protocol: Protocol::Sip,
            cell: Cell(3),
            zone: 1,
            started_ms: 5,
            state,
        };
        KeptLine { source: Source::Bulletin, line, told_ms }
    }

    #[test]
    fn what_is_kept_is_found_again_and_what_has_ended_is_not() {
        let call =
            KeptCall { host: "s0".into(), born_ms: 9, number: "7f".into(), since_ms: 1_000, leg: false };
        let (one, other, third) = (Sid::from_number(1), Sid::from_number(2), Sid::from_number(3));
        let kept = line("s0", ServerState::Ready, 77);
        let changes = [
            Change::Stands(one, call.clone()),
            Change::Stands(other, call.clone()),
            Change::Ends(other),
            Change::Stands(third, call.clone()),
            Change::Owes(third, 41),
            Change::Listed(line("s1", ServerState::Ready, 5)),
            Change::Listed(kept.clone()),
            Change::Unlisted(Source::Bulletin, "s1".into()),
        ];
        let mut items = std::collections::BTreeMap::new();
        for (key, value) in changes.iter().map(Change::encoded) {
            match value {
                Some(value) => drop(items.insert(key, value)),
                None => drop(items.remove(&key)),
            }
        }
        let found = Found::read(items.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
        let (calls, owed, list) = (vec![(one, call)], vec![(third, 41)], vec![kept]);
        assert_eq!(found, Found { calls, owed, list, unreadable: 0 });
    }

    #[test]
    fn an_old_line_says_nothing_of_who_is_ready_but_who_drained_is_known() {
        let list = vec![
            line("old", ServerState::Ready, 1_000),
            line("new", ServerState::Ready, 90_000),
            line("drains", ServerState::Draining, 1_000),
        ];
        let found = Found { list, ..Found::default() };
        let hosts: Vec<&str> = found
            .lines(Time(100_000_000), Span::from_millis(60_000))
            .map(|kept| kept.line.host.as_str())
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
            let found = Found::read(keyed.iter().map(|(k, v)| (k.as_slice(), v.as_slice())));
            prop_assert_eq!(found.calls.len() + found.owed.len() + found.list.len() + found.unreadable, items.len());
        }
    }
}
