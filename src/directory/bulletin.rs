//! The bulletin: numbered events over HTTP long polls, one always open.

use std::net::SocketAddr;
use std::time::Duration;

use serde::Deserialize;
use serde_json::Value;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use crate::core::{HostLine, Protocol};
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
    pub hosts: Vec<HostLine>,
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
        let Ok(item) = serde_json::from_value::<ItemForm>(item) else {
            page.malformed += 1;
            continue;
        };
        let Some(roster) = item.roster else { continue };
        let mut hosts = Vec::new();
        for host in roster.hosts {
            match serde_json::from_value::<HostForm>(host).ok().and_then(|form| line_of(form, zones)) {
                Some(line) => hosts.push(line),
                None => page.malformed += 1,
            }
        }
        page.changes.push(Change { no: item.no, whole: roster.whole, hosts });
    }
    Ok(page)
}

fn line_of(form: HostForm, zones: &[String]) -> Option<HostLine> {
    let state = match form.health.as_str() {
        "ready" => ServerState::Ready,
        "draining" => ServerState::Draining,
        "gone" => ServerState::Gone,
        _ => return None,
    };
    let zone = zones.iter().position(|zone| *zone == form.site).and_then(|at| u16::try_from(at).ok());
    Some(HostLine {
        host: form.host,
        dial: form.dial,
        protocol: Protocol::Sip,
        cell: Cell(form.block),
        zone: zone.unwrap_or(u16::MAX),
        born_ms: form.born_ms,
        state,
    })
}

/// Takes the answer at the start of `bytes`: its body and its length, or `None` while it is not whole. `ended`: the
/// other side writes no more.
pub fn parse_answer(bytes: &[u8], ended: bool) -> Result<Option<(Vec<u8>, usize)>, BulletinError> {
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

/// Follows the bulletin for good: `take` gets each page as it comes and moves `after` on, `failed` gets each failure.
pub async fn follow(
    address: SocketAddr,
    after: &std::cell::Cell<u64>,
    zones: &[String],
    mut take: impl FnMut(Page),
    mut failed: impl FnMut(BulletinError),
) {
    let mut again = AGAIN.0;
    loop {
        let before = after.get();
        if let Err(error) = session(address, after, zones, &mut take).await {
            failed(error);
        }
        tokio::time::sleep(again).await;
        again = if after.get() > before { AGAIN.0 } else { (again * 2).min(AGAIN.1) };
    }
}

async fn session(
    address: SocketAddr,
    after: &std::cell::Cell<u64>,
    zones: &[String],
    take: &mut impl FnMut(Page),
) -> Result<(), BulletinError> {
    let broken = |e: std::io::Error| BulletinError::Connection(e.to_string());
    let late = |_| BulletinError::Connection("timed out".to_owned());
    let mut stream = timeout(CONNECT, TcpStream::connect(address)).await.map_err(late)?.map_err(broken)?;
    let _ = stream.set_nodelay(true);
    let mut bytes: Vec<u8> = Vec::new();
    loop {
        let ask = format!(
            "GET /bulletins?after={}&patience={PATIENCE_MS} HTTP/1.1\r\nHost: {address}\r\nAccept: application/json\r\n\r\n",
            after.get()
        );
        stream.write_all(ask.as_bytes()).await.map_err(broken)?;
        let mut ended = false;
        let mut whole_by = Instant::now() + Duration::from_millis(PATIENCE_MS) + WHOLE_WITHIN;
        let body = loop {
            if let Some((body, used)) = parse_answer(&bytes, ended)? {
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
            ended = read.map_err(late)?.map_err(broken)? == 0;
            if first {
                whole_by = whole_by.min(Instant::now() + WHOLE_WITHIN);
            }
        };
        take(parse_page(&body, zones)?);
        if ended {
            return Ok(());
        }
    }
}
