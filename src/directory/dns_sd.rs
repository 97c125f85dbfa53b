//! DNS-SD (RFC 6763): PTR, SRV and TXT records name the IAX2 call servers. Unicast queries to one resolver.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::TXT;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::core::{DirectoryEntry, Protocol};
use crate::interface::{Cell, ServerState};

/// Wait for one answer.
const PATIENCE: Duration = Duration::from_millis(500);
/// Wait after a failure, and the shortest between two rounds.
const AGAIN: Duration = Duration::from_millis(250);
/// Records are asked for again when this share of their life is over.
const RENEW_AT: f64 = 0.8;
/// No record is believed for longer without a look.
const LONGEST: Duration = Duration::from_secs(60);
/// The longest answer over UDP.
const PAYLOAD: u16 = 4_096;
/// Instances of the service at most.
const MOST: usize = 256;

/// A round that came to nothing.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum DnsError {
    /// The resolver cannot be reached.
    #[error("the resolver cannot be reached: {0}")]
    Socket(String),
    /// It did not answer in time.
    #[error("the resolver did not answer in time")]
    TimedOut,
    /// It answered with an error.
    #[error("the resolver answered {0}")]
    ResponseCode(String),
    /// A name cannot be asked for.
    #[error("'{0}' is no name")]
    Name(String),
}

/// What one query brought; no record of the kind where the name does not exist.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Response {
    /// Records of the answer, and further ones that came along.
    pub records: Vec<Record>,
}

impl Response {
    fn of<'a>(&'a self, name: &'a Name, kind: RecordType) -> impl Iterator<Item = &'a Record> {
        self.records.iter().filter(move |r| r.record_type() == kind && r.name == *name)
    }
}

/// A query's bytes.
pub fn query(id: u16, name: &Name, kind: RecordType) -> Option<Vec<u8>> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name.clone(), kind));
    let mut edns = Edns::new();
    edns.set_max_payload(PAYLOAD);
    message.set_edns(edns);
    message.to_vec().ok()
}

/// Reads an answer; `None` if it is not one to this query, or cannot be read.
pub fn parse_response(
    id: u16,
    name: &Name,
    kind: RecordType,
    bytes: &[u8],
) -> Option<Result<Response, DnsError>> {
    let message = Message::from_vec(bytes).ok()?;
    let asked = message.queries.first()?;
    let fits = message.metadata.id == id
        && message.metadata.message_type == MessageType::Response
        && asked.name() == name
        && asked.query_type() == kind;
    if !fits {
        return None;
    }
    Some(match message.metadata.response_code {
        _ if message.metadata.truncation => Err(DnsError::ResponseCode("a truncated message".to_owned())),
        ResponseCode::NoError => {
            let records = message.answers.into_iter().chain(message.additionals);
            Ok(Response { records: records.collect() })
        }
        ResponseCode::NXDomain => Ok(Response::default()),
        other => Err(DnsError::ResponseCode(other.to_string())),
    })
}

/// The line that an instance's records make, and how long it holds. `None` if they make none.
pub fn entry_from_records(
    instance: &Name,
    answer: &Response,
    zones: &[String],
) -> Option<(DirectoryEntry, Duration)> {
    let srv = answer.of(instance, RecordType::SRV).next()?;
    let RData::SRV(service) = &srv.data else { return None };
    let mut ttl = srv.ttl;
    let mut ip = None;
    for record in &answer.records {
        if record.name == service.target && ip.is_none() {
            ip = match &record.data {
                RData::A(a) => Some(IpAddr::V4(a.0)),
                RData::AAAA(aaaa) => Some(IpAddr::V6(aaaa.0)),
                _ => None,
            };
            if ip.is_some() {
                ttl = ttl.min(record.ttl);
            }
        }
    }
    let text = answer.of(instance, RecordType::TXT).next();
    let mut pairs = BTreeMap::new();
    if let Some(record) = text {
        ttl = ttl.min(record.ttl);
        if let RData::TXT(text) = &record.data {
            pairs = pairs_of(text);
        }
    }
    let state = match pairs.get("state").map(String::as_str) {
        None | Some("ready") => ServerState::Ready,
        Some("draining") => ServerState::Draining,
        Some("gone") => ServerState::Gone,
        Some(_) => return None,
    };
    let number = |key: &str| pairs.get(key).and_then(|value| value.parse::<u64>().ok()).unwrap_or(0);
    let zone = pairs.get("zone").and_then(|zone| zones.iter().position(|z| z == zone));
    let line = DirectoryEntry {
        host: instance.to_ascii(),
        address: SocketAddr::new(ip?, service.port),
        protocol: Protocol::Iax2,
        cell: Cell(u16::try_from(number("cell")).ok()?),
        zone: zone.and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX),
        started_ms: number("born_ms"),
        state,
    };
    Some((line, Duration::from_secs(u64::from(ttl))))
}

/// `key=value` strings; of a repeated key the first counts, keys ignore case (RFC 6763, 6.4).
fn pairs_of(text: &TXT) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    for string in &text.txt_data {
        let Ok(string) = std::str::from_utf8(string) else { continue };
        let (key, value) = string.split_once('=').unwrap_or((string, ""));
        pairs.entry(key.to_ascii_lowercase()).or_insert_with(|| value.to_owned());
    }
    pairs
}

/// What is held of the service: each instance's line until its records' life is over.
#[derive(Debug, Default)]
pub struct ServiceCache {
    lines: BTreeMap<Name, (DirectoryEntry, Instant)>,
}

impl ServiceCache {
    /// A round's findings: an instance that the PTR records no longer name has left.
    pub fn update(&mut self, named: &[Name], found: Vec<(Name, DirectoryEntry, Duration)>, now: Instant) {
        self.lines.retain(|name, _| named.contains(name));
        for (name, line, life) in found {
            self.lines.insert(name, (line, now + life.clamp(AGAIN * 2, LONGEST)));
        }
    }
    /// Drops what has outlived its records.
    pub fn expire(&mut self, now: Instant) {
        self.lines.retain(|_, (_, until)| *until > now);
    }
    /// All lines.
    pub fn lines(&self) -> Vec<DirectoryEntry> {
        self.lines.values().map(|(line, _)| line.clone()).collect()
    }
    /// When the first of them must be looked at again.
    pub fn refresh_in(&self, now: Instant) -> Duration {
        let first = self.lines.values().map(|(_, until)| until.saturating_duration_since(now)).min();
        first.unwrap_or(AGAIN * 4).mul_f64(RENEW_AT).max(AGAIN)
    }
}

/// What following a service has come to. It outlives a watch that ends because the configuration is read anew: what has
/// left, or outlives its records, while nobody watches is told by the next one.
#[derive(Debug, Default)]
pub struct ServiceState {
    held: ServiceCache,
    told: Option<Vec<DirectoryEntry>>,
    id: u16,
}

impl ServiceState {
    /// Nobody watches any more; whether call servers had been told, which have left with that.
    pub fn stop(&mut self) -> bool {
        std::mem::take(self).told.is_some_and(|told| !told.is_empty())
    }
}

/// Follows the service for good: `take` gets the whole list each time it changes, `heard` what
/// came of each round.
pub async fn follow(
    resolver: SocketAddr,
    service: String,
    zones: Vec<String>,
    ServiceState { held, told, id }: &mut ServiceState,
    mut take: impl FnMut(Vec<DirectoryEntry>),
    mut heard: impl FnMut(Result<(), DnsError>),
) {
    loop {
        let round = round(resolver, &service, &zones, id, held).await;
        let wait = if round.is_ok() { held.refresh_in(Instant::now()) } else { AGAIN };
        heard(round);
        held.expire(Instant::now());
        let lines = held.lines();
        // An empty list is told only once there was another: a resolver not yet there says nothing of the servers.
        if told.as_ref().map_or(!lines.is_empty(), |told| *told != lines) {
            take(lines.clone());
            *told = Some(lines);
        }
        tokio::time::sleep(wait).await;
    }
}

async fn round(
    resolver: SocketAddr,
    service: &str,
    zones: &[String],
    id: &mut u16,
    held: &mut ServiceCache,
) -> Result<(), DnsError> {
    let broken = |e: std::io::Error| DnsError::Socket(e.to_string());
    let any = if resolver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any).await.map_err(broken)?;
    socket.connect(resolver).await.map_err(broken)?;
    let service = Name::from_utf8(service).map_err(|_| DnsError::Name(service.to_owned()))?;
    let pointers = ask(&socket, id, &service, RecordType::PTR).await?;
    let mut named = Vec::new();
    for record in pointers.of(&service, RecordType::PTR).take(MOST) {
        if let RData::PTR(instance) = &record.data {
            named.push((instance.0.clone(), record.ttl));
        }
    }
    let mut found = Vec::new();
    for (instance, ptr_ttl) in &named {
        let mut all = pointers.clone();
        for kind in [RecordType::SRV, RecordType::TXT] {
            if all.of(instance, kind).next().is_none() {
                all.records.extend(ask(&socket, id, instance, kind).await?.records);
            }
        }
        let target = all.of(instance, RecordType::SRV).find_map(|r| match &r.data {
            RData::SRV(srv) => Some(srv.target.clone()),
            _ => None,
        });
        if let Some(target) = target {
            let known =
                [RecordType::A, RecordType::AAAA].iter().any(|k| all.of(&target, *k).next().is_some());
            if !known {
                all.records.extend(ask(&socket, id, &target, RecordType::A).await?.records);
            }
        }
        if let Some((line, life)) = entry_from_records(instance, &all, zones) {
            found.push((instance.clone(), line, life.min(Duration::from_secs(u64::from(*ptr_ttl)))));
        }
    }
    // An instance without a usable SRV record has left as much as one that is not named.
    let named: Vec<Name> = found.iter().map(|(name, _, _)| name.clone()).collect();
    held.update(&named, found, Instant::now());
    Ok(())
}

async fn ask(socket: &UdpSocket, id: &mut u16, name: &Name, kind: RecordType) -> Result<Response, DnsError> {
    let broken = |e: std::io::Error| DnsError::Socket(e.to_string());
    *id = id.wrapping_add(1);
    let bytes = query(*id, name, kind).ok_or_else(|| DnsError::Name(name.to_ascii()))?;
    socket.send(&bytes).await.map_err(broken)?;
    let mut buffer = vec![0; usize::from(PAYLOAD)];
    let answered = timeout(PATIENCE, async {
        loop {
            let n = socket.recv(&mut buffer).await.map_err(broken)?;
            // A datagram that is no answer to this query is passed over.
            if let Some(answer) = parse_response(*id, name, kind, &buffer[..n]) {
                return answer;
            }
        }
    });
    answered.await.map_err(|_| DnsError::TimedOut)?
}
