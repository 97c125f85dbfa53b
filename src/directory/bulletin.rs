//! The bulletin: numbered events over HTTP long polls, one always open.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use crate::core::{DirectoryEntry, Protocol};
use crate::interface::{Cell, ServerState};

/// How long a poll may stay unanswered, in milliseconds. Short, so that a connection that died silently is noticed.
const PATIENCE_MS: u64 = 1_000;
/// An answer must be whole so much after that, and so much after its first byte. Guards against a bulletin that stalls,
/// and against one that says a little now and then and never comes to an end.
const WHOLE_WITHIN: Duration = Duration::from_millis(500);
/// Longest wait for a connection.
const CONNECT: Duration = Duration::from_millis(500);
/// Wait after a failure: the first, and the longest.
const AGAIN: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));
/// The longest answer.
const LONGEST: usize = 1024 * 1024;

/// A change of the list.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Its number.
    pub no: u64,
    /// Whether what is not named has left.
    pub whole: bool,
    /// Its lines.
    pub hosts: Vec<DirectoryEntry>,
}

/// What an answer holds.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Page {
    /// Number of its last event.
    pub no: u64,
    /// Its changes, in order.
    pub changes: Vec<Change>,
    /// Lines and events that could not be read.
    pub malformed: u64,
    /// The last event up to which everything was read; where it holds none, what was known before.
    pub parsed_to: u64,
    /// Why the first of what could not be read could not.
    pub why: Option<String>,
}

/// An event that could not be read is asked for so often in all before it is passed over.
const ASKED: u8 = 3;

/// Where a follower stands in the numbered events: what of a page is news, and from where the bulletin is asked on. It
/// believes events, not what a page says of them: a spoilt number must not pass over what is still to come, nor a spoilt
/// event over a drain that it told of.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Cursor {
    after: u64,
    /// How often what follows could not be read.
    asked: u8,
}

/// What is taken of a page.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct PageUpdate {
    /// The changes, in order.
    pub changes: Vec<Change>,
    /// What could not be read and is asked for again, or is passed over.
    pub malformed: Option<MalformedEvents>,
}

/// Something of a page that could not be read.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("what follows its event {after} cannot be read: {why}")]
pub struct MalformedEvents {
    /// The last event before it.
    pub after: u64,
    /// Lines and events that are passed over; none: they are asked for again.
    pub skipped: Option<u64>,
    /// Why.
    pub why: String,
}

impl Cursor {
    /// One that has taken all up to this event.
    pub fn at(after: u64) -> Cursor {
        Cursor { after, asked: 0 }
    }
    /// The last event that was taken.
    pub fn after(&self) -> u64 {
        self.after
    }
    /// Takes what a page tells beyond the last event taken.
    pub fn take(&mut self, mut page: Page) -> PageUpdate {
        page.changes.retain(|change| change.no > self.after);
        let last = page.changes.last().map_or(0, |change| change.no).max(page.parsed_to);
        let Some(why) = page.why else {
            if last > self.after {
                *self = Cursor::at(last);
                return PageUpdate { changes: page.changes, malformed: None };
            }
            // One that has told everything says the number it was asked with, or one below it where it is behind.
            let malformed = (page.no > self.after).then(|| MalformedEvents {
                after: self.after,
                skipped: None,
                why: format!("{} is said to be the last, and none is told", page.no),
            });
            return PageUpdate { changes: Vec::new(), malformed };
        };
        if page.parsed_to > self.after {
            *self = Cursor::at(page.parsed_to);
        }
        self.asked += 1;
        let after = self.after;
        if self.asked < ASKED {
            page.changes.retain(|change| change.no <= page.parsed_to);
            return PageUpdate {
                changes: page.changes,
                malformed: Some(MalformedEvents { after, skipped: None, why }),
            };
        }
        // Where not one number can be read, the page's own is all there is; it holds for the next event at most.
        *self = Cursor::at(if last > after { last } else { page.no.clamp(after, after + 1) });
        let malformed = Some(MalformedEvents { after, skipped: Some(page.malformed), why });
        PageUpdate { changes: page.changes, malformed }
    }
}

/// An answer that cannot be used; the poll is made anew.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum BulletinError {
    /// The connection failed.
    #[error("the bulletin's connection failed: {0}")]
    Connection(String),
    /// The answer is no HTTP that can be read.
    #[error("the bulletin's answer cannot be read: {0}")]
    Http(String),
    /// The text is no page.
    #[error("the bulletin's page cannot be read: {0}")]
    Page(String),
    /// Part of the page cannot be read, and is asked for again.
    #[error("the bulletin's page: {0}")]
    Malformed(MalformedEvents),
}

#[derive(Deserialize)]
struct PageForm {
    no: u64,
    #[serde(default)]
    items: Vec<Value>,
}

#[derive(Deserialize)]
struct ItemForm {
    no: u64,
    #[serde(default)]
    roster: Option<RosterForm>,
}

#[derive(Deserialize)]
struct RosterForm {
    #[serde(default)]
    whole: bool,
    #[serde(default)]
    hosts: Vec<Value>,
}

#[derive(Deserialize)]
struct HostForm {
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

/// Reads a page; `zones` are the settings' names of zones. A malformed line costs itself alone.
pub fn parse_page(text: &[u8], zones: &[String]) -> Result<Page, BulletinError> {
    let form: PageForm = serde_json::from_slice(text).map_err(|e| BulletinError::Page(e.to_string()))?;
    let mut page = Page { no: form.no, ..Page::default() };
    for item in form.items {
        let item: ItemForm = match serde_json::from_value(item) {
            Ok(item) => item,
            Err(error) => {
                page.is_spoilt(format!("an event: {error}"));
                continue;
            }
        };
        let mut hosts = Vec::new();
        for host in item.roster.iter().flat_map(|roster| &roster.hosts) {
            match serde_json::from_value::<HostForm>(host.clone()) {
                Ok(form) => match line_of(form, zones) {
                    Ok(line) => hosts.push(line),
                    Err(why) => page.is_spoilt(format!("event {}: {why}", item.no)),
                },
                Err(error) => page.is_spoilt(format!("event {}: a line: {error}", item.no)),
            }
        }
        if page.why.is_none() {
            page.parsed_to = page.parsed_to.max(item.no);
        }
        if let Some(roster) = item.roster {
            page.changes.push(Change { no: item.no, whole: roster.whole, hosts });
        }
    }
    Ok(page)
}

impl Page {
    fn is_spoilt(&mut self, why: String) {
        self.malformed += 1;
        self.why.get_or_insert(why);
    }
}

fn line_of(form: HostForm, zones: &[String]) -> Result<DirectoryEntry, String> {
    let state = match form.health.as_str() {
        "ready" => ServerState::Ready,
        "draining" => ServerState::Draining,
        "gone" => ServerState::Gone,
        other => return Err(format!("host '{}': '{other}' is no state", form.host)),
    };
    let zone = zones.iter().position(|zone| *zone == form.site).and_then(|at| u16::try_from(at).ok());
    Ok(DirectoryEntry {
        host: form.host,
        address: form.dial,
        protocol: Protocol::Sip,
        cell: Cell(form.block),
        zone: zone.unwrap_or(u16::MAX),
        started_ms: form.born_ms,
        state,
    })
}

/// Takes the answer at the start of `bytes`: its body and its length, or `None` while it is not whole. `ended`: the
/// other side writes no more.
pub fn parse_response(bytes: &[u8], ended: bool) -> Result<Option<(Vec<u8>, usize)>, BulletinError> {
    let bad = |what: &str| BulletinError::Http(what.to_owned());
    let mut slots = [httparse::EMPTY_HEADER; 32];
    let mut answer = httparse::Response::new(&mut slots);
    let head = match answer.parse(bytes).map_err(|e| BulletinError::Http(e.to_string()))? {
        httparse::Status::Complete(n) => n,
        httparse::Status::Partial if ended => return Err(bad("cut short")),
        httparse::Status::Partial => return Ok(None),
    };
    if answer.code != Some(200) {
        return Err(BulletinError::Http(format!("status {}", answer.code.unwrap_or(0))));
    }
    let header = |name: &str| {
        let found = answer.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
        found.and_then(|h| std::str::from_utf8(h.value).ok()).map(str::trim)
    };
    if header("Transfer-Encoding").is_some_and(|coding| coding.eq_ignore_ascii_case("chunked")) {
        return chunked(bytes, head);
    }
    match header("Content-Length").map(str::parse::<usize>) {
        Some(Ok(length)) if length > LONGEST => Err(bad("too long")),
        Some(Ok(length)) => Ok(bytes.get(head..head + length).map(|body| (body.to_vec(), head + length))),
        Some(Err(_)) => Err(bad("Content-Length is no number")),
        None if ended => Ok(Some((bytes[head..].to_vec(), bytes.len()))),
        None => Ok(None),
    }
}

fn chunked(bytes: &[u8], head: usize) -> Result<Option<(Vec<u8>, usize)>, BulletinError> {
    let bad = |what: &str| BulletinError::Http(what.to_owned());
    let (mut body, mut at) = (Vec::new(), head);
    loop {
        match httparse::parse_chunk_size(&bytes[at..]).map_err(|_| bad("chunk size"))? {
            httparse::Status::Partial => return Ok(None),
            httparse::Status::Complete((start, size)) => {
                let size = usize::try_from(size).ok().filter(|s| *s <= LONGEST).ok_or(bad("too long"))?;
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

/// Follows the bulletin for good: `take` gets each page as it comes, moves the cursor on and says what it could not use;
/// `failed` gets each failure.
pub async fn follow(
    address: SocketAddr,
    cursor: &RefCell<Cursor>,
    zones: &[String],
    mut take: impl FnMut(Page) -> Result<(), BulletinError>,
    mut failed: impl FnMut(BulletinError),
) {
    let mut again = AGAIN.0;
    loop {
        let before = cursor.borrow().after();
        let ended = session(address, cursor, zones, &mut take).await;
        // One that was ended in order, or brought news, is no failure: what is told between two polls is heard late.
        if ended.is_ok() || cursor.borrow().after() > before {
            again = AGAIN.0;
        }
        if let Err(error) = ended {
            failed(error);
        }
        tokio::time::sleep(again).await;
        again = (again * 2).min(AGAIN.1);
    }
}

async fn session(
    address: SocketAddr,
    cursor: &RefCell<Cursor>,
    zones: &[String],
    take: &mut impl FnMut(Page) -> Result<(), BulletinError>,
) -> Result<(), BulletinError> {
    let broken = |e: std::io::Error| BulletinError::Connection(e.to_string());
    let late = |_| BulletinError::Connection("timed out".to_owned());
    let mut stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(late)?.map_err(broken)?;
    let _ = stream.set_nodelay(true);
    let mut bytes: Vec<u8> = Vec::new();
    let mut answered = false;
    loop {
        let (asked, before) = (Instant::now(), cursor.borrow().after());
        let ask = format!(
            "GET /bulletins?after={}&patience={PATIENCE_MS} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n",
            before
        );
        // A connection that has brought answers and ends between two of them has done its work.
        let over = |end: BulletinError, none: bool| if answered && none { Ok(()) } else { Err(end) };
        if let Err(error) = stream.write_all(ask.as_bytes()).await {
            return over(broken(error), true);
        }
        let mut ended = false;
        let mut whole_by = Instant::now() + Duration::from_millis(PATIENCE_MS) + WHOLE_WITHIN;
        let body = loop {
            if let Some((body, used)) = parse_response(&bytes, ended)? {
                bytes.drain(..used);
                break body;
            }
            if ended {
                return Err(BulletinError::Connection("closed".to_owned()));
            }
            if bytes.len() > LONGEST {
                return Err(BulletinError::Http("too long".to_owned()));
            }
            let first = bytes.is_empty();
            let read = timeout_at(whole_by, stream.read_buf(&mut bytes)).await;
            ended = match read.map_err(late)? {
                Ok(0) if first => return over(BulletinError::Connection("closed".to_owned()), true),
                Ok(n) => n == 0,
                Err(error) => return over(broken(error), first),
            };
            if first {
                whole_by = whole_by.min(Instant::now() + WHOLE_WITHIN);
            }
        };
        take(parse_page(&body, zones)?)?;
        answered = true;
        if ended {
            return Ok(());
        }
        // Guards against asking without a rest where the bulletin does not wait for news: it was asked to.
        if cursor.borrow().after() == before && asked.elapsed() < AGAIN.1 {
            tokio::time::sleep(AGAIN.0).await;
        }
    }
}
