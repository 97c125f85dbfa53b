//! The bulletin: numbered events over HTTP long polling, with one poll always open.

mod polling;

use std::net::SocketAddr;

use serde::Deserialize;
use serde_json::Value;

use crate::core::{DirectoryEntry, Protocol};
use crate::interface::{Cell, ServerState};
pub use polling::follow;

/// Longest response.
const MAX_RESPONSE_BYTES: usize = 1024 * 1024;

/// A change of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Number of its event.
    pub no: u64,
    /// Whether the list is complete, so that call servers not named in it are gone.
    pub whole: bool,
    /// Its entries.
    pub hosts: Vec<DirectoryEntry>,
}

/// A parsed response.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// Number of the last event, as the page says.
    pub no: u64,
    /// Its changes, in order.
    pub changes: Vec<Change>,
    /// Number of entries and events that could not be parsed.
    pub malformed: u64,
    /// The last event up to which everything could be parsed; 0 if there is none.
    pub parsed_to: u64,
    /// Why the first malformed part could not be parsed.
    pub first_error: Option<String>,
}

/// How often a malformed event is requested in all before it is skipped.
const MAX_REQUESTS: u8 = 3;

/// Position in the numbered events: decides which events of a page are new, and after which event the next
/// poll asks. It relies on the events, not on what the page says about them: a corrupt number must not skip
/// events still to come, nor a corrupt event hide a drain that it announced.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cursor {
    after: u64,
    /// How often the events after this position were malformed.
    requests: u8,
}

/// What is used of a page.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PageUpdate {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// What was malformed and is either requested again or skipped.
    pub malformed: Option<MalformedEvents>,
}

/// Malformed events of a page.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("what follows its event {after} cannot be read: {reason}")]
pub struct MalformedEvents {
    /// The last event before them.
    pub after: u64,
    /// Number of entries and events skipped; `None`: they are requested again.
    pub skipped: Option<u64>,
    /// What is wrong with the first of them.
    pub reason: String,
}

impl Cursor {
    /// A position right after the given event.
    pub fn at(after: u64) -> Cursor {
        Cursor { after, requests: 0 }
    }
    /// The last event taken.
    pub fn after(&self) -> u64 {
        self.after
    }
    /// Takes the events of a page that are newer than the last one taken.
    pub fn take(&mut self, mut page: Page) -> PageUpdate {
        page.changes.retain(|change| change.no > self.after);
        let last = page.changes.last().map_or(0, |change| change.no).max(page.parsed_to);
        let Some(reason) = page.first_error else {
            if last > self.after {
                *self = Cursor::at(last);
                return PageUpdate { changes: page.changes, malformed: None };
            }
            // Without new events a page repeats the number asked for, or a lower one if the bulletin is
            // behind.
            let malformed = (page.no > self.after).then(|| MalformedEvents {
                after: self.after,
                skipped: None,
                reason: format!(
                    "{} is reported as the last event, but the page has none that is new",
                    page.no
                ),
            });
            return PageUpdate { changes: Vec::new(), malformed };
        };
        if page.parsed_to > self.after {
            *self = Cursor::at(page.parsed_to);
        }
        self.requests += 1;
        let after = self.after;
        if self.requests < MAX_REQUESTS {
            page.changes.retain(|change| change.no <= page.parsed_to);
            return PageUpdate {
                changes: page.changes,
                malformed: Some(MalformedEvents { after, skipped: None, reason }),
            };
        }
        // Without any readable event only the page's own number is left; it is trusted for one event at most.
        *self = Cursor::at(if last > after { last } else { page.no.clamp(after, after + 1) });
        let malformed = Some(MalformedEvents { after, skipped: Some(page.malformed), reason });
        PageUpdate { changes: page.changes, malformed }
    }
}

/// Why a response cannot be used; the poll is repeated.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BulletinError {
    /// The connection failed.
    #[error("connection to the bulletin failed: {0}")]
    Connection(String),
    /// A response was not complete in time.
    #[error("connection to the bulletin failed: timed out")]
    TimedOut,
    /// The response is not valid HTTP.
    #[error("malformed response from the bulletin: {0}")]
    Http(String),
    /// The body is not a valid page.
    #[error("malformed page from the bulletin: {0}")]
    Page(String),
    /// Part of the page is malformed and is requested again.
    #[error("the bulletin's page: {0}")]
    Malformed(MalformedEvents),
}

#[derive(Deserialize)]
struct RawPage {
    no: u64,
    #[serde(default)]
    items: Vec<Value>,
}

#[derive(Deserialize)]
struct RawItem {
    no: u64,
    #[serde(default)]
    roster: Option<RawRoster>,
}

#[derive(Deserialize)]
struct RawRoster {
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Value>,
}

#[derive(Deserialize)]
struct RawHost {
    host: String,
    dial: SocketAddr,
    #[serde(default)]
    site: String,
    #[serde(default)]
    block: u16,
    health: String,
    #[serde(default)]
    born_ms: u64,
}

/// Parses a page; `zones` are the names of zones in the settings. A malformed entry does not affect the
/// others.
pub fn parse_page(text: &[u8], zones: &[String]) -> Result<Page, BulletinError> {
    let raw: RawPage = serde_json::from_slice(text).map_err(|e| BulletinError::Page(e.to_string()))?;
    let mut page = Page { no: raw.no, ..Page::default() };
    for item in raw.items {
        let item: RawItem = match serde_json::from_value(item) {
            Ok(item) => item,
            Err(error) => {
                page.add_malformed(format!("an event: {error}"));
                continue;
            }
        };
        let mut hosts = Vec::new();
        for host in item.roster.iter().flat_map(|roster| &roster.hosts) {
            match serde_json::from_value::<RawHost>(host.clone()) {
                Ok(raw) => match entry_from_host(raw, zones) {
                    Ok(entry) => hosts.push(entry),
                    Err(why) => page.add_malformed(format!("event {}: {why}", item.no)),
                },
                Err(error) => page.add_malformed(format!("event {}: a line: {error}", item.no)),
            }
        }
        if page.first_error.is_none() {
            page.parsed_to = page.parsed_to.max(item.no);
        }
        if let Some(roster) = item.roster {
            page.changes.push(Change { no: item.no, whole: roster.whole, hosts });
        }
    }
    Ok(page)
}

impl Page {
    fn add_malformed(&mut self, error: String) {
        self.malformed += 1;
        self.first_error.get_or_insert(error);
    }
}

fn entry_from_host(raw: RawHost, zones: &[String]) -> Result<DirectoryEntry, String> {
    let state = match raw.health.as_str() {
        "ready" => ServerState::Ready,
        "draining" => ServerState::Draining,
        "gone" => ServerState::Gone,
        other => return Err(format!("host '{}': '{other}' is no state", raw.host)),
    };
    let zone = zones.iter().position(|zone| *zone == raw.site).and_then(|at| u16::try_from(at).ok());
    Ok(DirectoryEntry {
        host: raw.host,
        address: raw.dial,
        protocol: Protocol::Sip,
        cell: Cell(raw.block),
        zone: zone.unwrap_or(u16::MAX),
        started_ms: raw.born_ms,
        state,
    })
}

/// Parses the HTTP response at the start of `bytes`. Returns its body and length, or `None` while it is
/// incomplete. `ended`: the peer's stream has ended.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<(Vec<u8>, usize)>, BulletinError> {
    let bad = |what: &str| BulletinError::Http(what.to_owned());
    let mut slots = [httparse::EMPTY_HEADER; 32];
    let mut response = httparse::Response::new(&mut slots);
    let head = match response.parse(bytes).map_err(|e| BulletinError::Http(e.to_string()))? {
        httparse::Status::Complete(n) => n,
        httparse::Status::Partial if ended => return Err(bad("truncated")),
        httparse::Status::Partial => return Ok(None),
    };
    if response.code != Some(200) {
        return Err(BulletinError::Http(format!("HTTP status {}", response.code.unwrap_or(0))));
    }
    let header = |name: &str| {
        let found = response.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if header("Transfer-Encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return parse_chunked(bytes, head);
    }
    match header("Content-Length").map(str::parse::<usize>) {
        Some(Ok(length)) if length > MAX_RESPONSE_BYTES => Err(bad("too long")),
        Some(Ok(length)) => Ok(bytes.get(head..head + length).map(|body| (body.to_vec(), head + length))),
        Some(Err(_)) => Err(bad("Content-Length is not a number")),
        None if ended => Ok(Some((bytes[head..].to_vec(), bytes.len()))),
        None => Ok(None),
    }
}

fn parse_chunked(bytes: &[u8], head: usize) -> Result<Option<(Vec<u8>, usize)>, BulletinError> {
    let bad = |what: &str| BulletinError::Http(what.to_owned());
    let (mut body, mut at) = (Vec::new(), head);
    loop {
        match httparse::parse_chunk_size(&bytes[at..]).map_err(|_| bad("malformed chunk size"))? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((start, size)) => {
                let size =
                    usize::try_from(size).ok().filter(|s| *s <= MAX_RESPONSE_BYTES).ok_or(bad("too long"))?;
                let Some(chunk) = bytes.get(at + start..at + start + size + 2) else { return Ok(None) };
                at += start + size + 2;
                if size == 0 {
                    return Ok(Some((body, at)));
                }
                body.extend_from_slice(&chunk[..size]);
            }
        }
    }
}
