//! DNS-SD (RFC 6763): PTR, SRV and TXT records name the IAX2 call servers. Sends unicast queries to one
//! resolver.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};

use hickory_proto::op::{Edns, Message, MessageType, OpCode, Query, ResponseCode};
use hickory_proto::rr::rdata::TXT;
use hickory_proto::rr::{Name, RData, Record, RecordType};
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::core::{DirectoryEntry, Protocol};
use crate::directory::response_timeout::ResponseTimeout;
use crate::interface::{Cell, ServerState};

/// Delay after a failure, and the shortest one between two rounds.
const RETRY_DELAY: Duration = Duration::from_millis(250);
/// Records are refreshed after this fraction of their TTL.
const REFRESH_AT: f64 = 0.8;
/// Upper limit on the TTL of a record.
const MAX_TTL: Duration = Duration::from_secs(60);
/// Longest response over UDP.
const MAX_PAYLOAD: u16 = 4_096;
/// Largest number of instances of the service.
const MAX_INSTANCES: usize = 256;

/// Why a round of queries failed.
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
    /// The name cannot be used in a query.
    #[error("'{0}' is not a valid name")]
    Name(String),
}

/// The records in a response; none if the name does not exist.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct Response {
    /// Answer and additional records.
    pub records: Vec<Record>,
}

impl Response {
    fn of<'a>(&'a self, name: &'a Name, kind: RecordType) -> impl Iterator<Item = &'a Record> {
        self.records.iter().filter(move |r| r.record_type() == kind && r.name == *name)
    }
}

/// Encodes a query.
pub fn query(id: u16, name: &Name, kind: RecordType) -> Option<Vec<u8>> {
    let mut message = Message::new(id, MessageType::Query, OpCode::Query);
    message.metadata.recursion_desired = true;
    message.add_query(Query::query(name.clone(), kind));
    let mut edns = Edns::new();
    edns.set_max_payload(MAX_PAYLOAD);
    message.set_edns(edns);
    message.to_vec().ok()
}

/// Parses a response; `None` if it is malformed or does not belong to this query.
pub fn parse_response(
    id: u16,
    name: &Name,
    kind: RecordType,
    bytes: &[u8],
) -> Option<Result<Response, DnsError>> {
    let message = Message::from_vec(bytes).ok()?;
    let question = message.queries.first()?;
    let matches = message.metadata.id == id
        && message.metadata.message_type == MessageType::Response
        && question.name() == name
        && question.query_type() == kind;
    if !matches {
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

/// The directory entry that an instance's records give, and its TTL; `None` if they are incomplete or
/// invalid.
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
            pairs = parse_pairs(text);
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
    let entry = DirectoryEntry {
        host: instance.to_ascii(),
        address: SocketAddr::new(ip?, service.port),
        protocol: Protocol::Iax2,
        cell: Cell(u16::try_from(number("cell")).ok()?),
        zone: zone.and_then(|at| u16::try_from(at).ok()).unwrap_or(u16::MAX),
        started_ms: number("born_ms"),
        state,
    };
    Some((entry, Duration::from_secs(u64::from(ttl))))
}

/// The `key=value` strings of a TXT record. The first of a repeated key counts, and keys ignore case (RFC
/// 6763, 6.4).
fn parse_pairs(text: &TXT) -> BTreeMap<String, String> {
    let mut pairs = BTreeMap::new();
    for string in &text.txt_data {
        let Ok(string) = std::str::from_utf8(string) else { continue };
        let (key, value) = string.split_once('=').unwrap_or((string, ""));
        pairs.entry(key.to_ascii_lowercase()).or_insert_with(|| value.to_owned());
    }
    pairs
}

/// The known instances of the service, each until its records expire.
#[derive(Debug, Default)]
pub struct ServiceCache {
    entries: BTreeMap<Name, (DirectoryEntry, Instant)>,
}

impl ServiceCache {
    /// Stores the result of a round. An instance that is not named any more is gone.
    pub fn update(&mut self, named: &[Name], found: Vec<(Name, DirectoryEntry, Duration)>, now: Instant) {
        self.entries.retain(|name, _| named.contains(name));
        for (name, entry, ttl) in found {
            self.entries.insert(name, (entry, now + ttl.clamp(RETRY_DELAY * 2, MAX_TTL)));
        }
    }
    /// Removes instances whose records have expired.
    pub fn expire(&mut self, now: Instant) {
        self.entries.retain(|_, (_, until)| *until > now);
    }
    /// The entries of all instances.
    pub fn entries(&self) -> Vec<DirectoryEntry> {
        self.entries.values().map(|(entry, _)| entry.clone()).collect()
    }
    /// Time until the first of them must be refreshed.
    pub fn refresh_in(&self, now: Instant) -> Duration {
        let first = self.entries.values().map(|(_, until)| until.saturating_duration_since(now)).min();
        first.unwrap_or(RETRY_DELAY * 4).mul_f64(REFRESH_AT).max(RETRY_DELAY)
    }
}

/// State of following a service. It is kept while nobody follows because the configuration is read again: the
/// next follower reports what has left or expired meanwhile.
#[derive(Debug, Default)]
pub struct ServiceState {
    cache: ServiceCache,
    reported: Option<Vec<DirectoryEntry>>,
    id: u16,
}

impl ServiceState {
    /// Stops following. Returns whether call servers had been reported, which are gone with that.
    pub fn stop(&mut self) -> bool {
        std::mem::take(self).reported.is_some_and(|reported| !reported.is_empty())
    }
}

/// Follows the service for good. `take` gets the whole list each time it changes, `report` the result of each
/// round.
pub async fn follow(
    resolver: SocketAddr,
    service: String,
    zones: Vec<String>,
    ServiceState { cache, reported, id }: &mut ServiceState,
    mut take: impl FnMut(Vec<DirectoryEntry>),
    mut report: impl FnMut(Result<(), DnsError>),
) {
    let mut response_timeout = ResponseTimeout::default();
    loop {
        let round = query_service(resolver, &service, &zones, id, cache, &mut response_timeout).await;
        let wait = if round.is_ok() { cache.refresh_in(Instant::now()) } else { RETRY_DELAY };
        report(round);
        cache.expire(Instant::now());
        let entries = cache.entries();
        // An empty list is reported only after another one: a resolver that has no data yet says nothing
        // about the servers.
        if reported.as_ref().map_or(!entries.is_empty(), |reported| *reported != entries) {
            take(entries.clone());
            *reported = Some(entries);
        }
        tokio::time::sleep(wait).await;
    }
}

async fn query_service(
    resolver: SocketAddr,
    service: &str,
    zones: &[String],
    id: &mut u16,
    cache: &mut ServiceCache,
    response_timeout: &mut ResponseTimeout,
) -> Result<(), DnsError> {
    let io_error = |e: std::io::Error| DnsError::Socket(e.to_string());
    let any_address = if resolver.is_ipv4() { "0.0.0.0:0" } else { "[::]:0" };
    let socket = UdpSocket::bind(any_address).await.map_err(io_error)?;
    socket.connect(resolver).await.map_err(io_error)?;
    let service = Name::from_utf8(service).map_err(|_| DnsError::Name(service.to_owned()))?;
    let pointers = send_query(&socket, id, &service, RecordType::PTR, response_timeout).await?;
    let mut named = Vec::new();
    for record in pointers.of(&service, RecordType::PTR).take(MAX_INSTANCES) {
        if let RData::PTR(instance) = &record.data {
            named.push((instance.0.clone(), record.ttl));
        }
    }
    let mut found = Vec::new();
    for (instance, ptr_ttl) in &named {
        let mut all = pointers.clone();
        for kind in [RecordType::SRV, RecordType::TXT] {
            if all.of(instance, kind).next().is_none() {
                all.records.extend(send_query(&socket, id, instance, kind, response_timeout).await?.records);
            }
        }
        let target = all.of(instance, RecordType::SRV).find_map(|r| match &r.data {
            RData::SRV(srv) => Some(srv.target.clone()),
            _ => None,
        });
        if let Some(target) = target {
            let has_address =
                [RecordType::A, RecordType::AAAA].iter().any(|k| all.of(&target, *k).next().is_some());
            if !has_address {
                all.records
                    .extend(send_query(&socket, id, &target, RecordType::A, response_timeout).await?.records);
            }
        }
        if let Some((entry, ttl)) = entry_from_records(instance, &all, zones) {
            found.push((instance.clone(), entry, ttl.min(Duration::from_secs(u64::from(*ptr_ttl)))));
        }
    }
    // An instance without a usable SRV record counts as gone, like one that is not named.
    let named: Vec<Name> = found.iter().map(|(name, _, _)| name.clone()).collect();
    cache.update(&named, found, Instant::now());
    Ok(())
}

async fn send_query(
    socket: &UdpSocket,
    id: &mut u16,
    name: &Name,
    kind: RecordType,
    response_timeout: &mut ResponseTimeout,
) -> Result<Response, DnsError> {
    let io_error = |e: std::io::Error| DnsError::Socket(e.to_string());
    *id = id.wrapping_add(1);
    let bytes = query(*id, name, kind).ok_or_else(|| DnsError::Name(name.to_ascii()))?;
    socket.send(&bytes).await.map_err(io_error)?;
    let sent_at = Instant::now();
    let mut buffer = vec![0; usize::from(MAX_PAYLOAD)];
    let answered = timeout(response_timeout.current(), async {
        loop {
            let n = socket.recv(&mut buffer).await.map_err(io_error)?;
            // Datagrams that do not answer this query are ignored.
            if let Some(answer) = parse_response(*id, name, kind, &buffer[..n]) {
                return answer;
            }
        }
    });
    match answered.await {
        Ok(response) => {
            response_timeout.record_response(sent_at.elapsed());
            response
        }
        Err(_) => {
            response_timeout.record_timeout();
            Err(DnsError::TimedOut)
        }
    }
}
