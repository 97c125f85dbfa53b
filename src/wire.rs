//! Codec of the simulator's binary protocol: decodes batches of events and the settings, encodes replies of
//! actions.

use std::io::{self, Read};

use serde::Deserialize;

use crate::interface::{
    Action, Attempt, AttemptEnd, CallId, Cause, Cell, ClassSettings, DedupScope, Event, ListKind, LoadField,
    LoadReport, NewCall, Number, Outcome, Repeats, ServerEntry, ServerId, ServerState, Settings, Span, Time,
    TimerToken,
};

/// Length of a batch header in bytes: clock, length, record count.
const HEADER_LEN: usize = 16;
/// Number of directories that can be held; they are numbered from 0.
const MAX_DIRECTORIES: usize = 16;
/// Length of a directory entry in bytes.
const ENTRY_LEN: usize = 25;
/// Flag of a call that was redialled.
const FLAG_REDIALLED: u8 = 2;
/// Flag of a call forwarded by another controller.
const FLAG_IN_TRANSIT: u8 = 8;

/// A malformed frame: position and reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WireError {
    /// Index of the record, from 0; `None`: the error is in the header.
    pub record: Option<u32>,
    /// Byte offset in the frame.
    pub position: usize,
    /// Description of the error.
    pub reason: String,
}

impl std::fmt::Display for WireError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self.record {
            Some(record) => write!(f, "record {record} at byte {}: {}", self.position, self.reason),
            None => write!(f, "batch header at byte {}: {}", self.position, self.reason),
        }
    }
}

impl std::error::Error for WireError {}

/// The number of a controller instance in the protocol.
pub type InstanceNo = u32;

/// A decoded record of a batch.
#[derive(Debug, Clone, PartialEq)]
pub enum Record {
    /// An instance is started.
    Begin {
        /// Its random seed.
        seed: u64,
        /// Its settings.
        settings: Box<Settings>,
    },
    /// An instance was killed.
    Killed,
    /// An event for the controller.
    Event(Event),
}

/// A decoded batch of records.
#[derive(Debug, Clone, PartialEq)]
pub struct Batch {
    /// The time of all its events.
    pub clock: Time,
    /// The records with the instance that each is for, in order of arrival.
    pub records: Vec<(InstanceNo, Record)>,
}

/// Decodes frames. Keeps the directories, which stay valid across batches.
#[derive(Debug, Default)]
pub struct Decoder {
    directories: [Option<Vec<ServerEntry>>; MAX_DIRECTORIES],
}

/// Reads the bytes of one frame; `Ok(None)` if the input ends between frames.
pub fn read_frame(input: &mut impl Read) -> io::Result<Option<Vec<u8>>> {
    let mut frame = Vec::with_capacity(HEADER_LEN);
    input.by_ref().take(HEADER_LEN as u64).read_to_end(&mut frame)?;
    if frame.is_empty() {
        return Ok(None);
    }
    let truncated = |frame: &Vec<u8>| {
        let reason = format!("batch header at byte {}: the input ends within a batch", frame.len());
        io::Error::new(io::ErrorKind::UnexpectedEof, reason)
    };
    if frame.len() < HEADER_LEN {
        return Err(truncated(&frame));
    }
    let length = u32::from_be_bytes([frame[8], frame[9], frame[10], frame[11]]);
    // The length includes the record count. The buffer grows with the bytes received, not with the announced
    // length.
    let rest = u64::from(length).checked_sub(4).ok_or_else(|| {
        io::Error::new(io::ErrorKind::InvalidData, "batch header at byte 8: the length is under 4")
    })?;
    input.take(rest).read_to_end(&mut frame)?;
    if (frame.len() - HEADER_LEN) as u64 != rest {
        return Err(truncated(&frame));
    }
    Ok(Some(frame))
}

/// Reads fields from a frame and keeps the position for error reports.
struct Cursor<'a> {
    bytes: &'a [u8],
    at: usize,
    record: Option<u32>,
}

impl<'a> Cursor<'a> {
    fn fail<T>(&self, reason: impl Into<String>) -> Result<T, WireError> {
        Err(WireError { record: self.record, position: self.at, reason: reason.into() })
    }
    fn bytes(&mut self, n: usize, field: &str) -> Result<&'a [u8], WireError> {
        match self.bytes.get(self.at..).and_then(|rest| rest.get(..n)) {
            Some(bytes) => {
                self.at += n;
                Ok(bytes)
            }
            None => self.fail(format!("{field} runs past the end of the batch")),
        }
    }
    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], WireError> {
        let bytes = self.bytes(N, field)?;
        let mut array = [0; N];
        array.copy_from_slice(bytes);
        Ok(array)
    }
    fn u8(&mut self, field: &str) -> Result<u8, WireError> {
        Ok(u8::from_be_bytes(self.array(field)?))
    }
    fn u16(&mut self, field: &str) -> Result<u16, WireError> {
        Ok(u16::from_be_bytes(self.array(field)?))
    }
    fn u32(&mut self, field: &str) -> Result<u32, WireError> {
        Ok(u32::from_be_bytes(self.array(field)?))
    }
    fn u64(&mut self, field: &str) -> Result<u64, WireError> {
        Ok(u64::from_be_bytes(self.array(field)?))
    }
    fn f32(&mut self, field: &str) -> Result<f32, WireError> {
        Ok(f32::from_be_bytes(self.array(field)?))
    }
    fn server(&mut self) -> Result<ServerId, WireError> {
        Ok(ServerId { address: self.u32("switch")?, port: self.u16("switch")? })
    }
    fn load(&mut self) -> Result<LoadReport, WireError> {
        let n = self.u8("load")?;
        (0..n).map(|_| self.f32("load")).collect::<Result<_, _>>().map(LoadReport)
    }
    fn outcome(&mut self) -> Result<Outcome, WireError> {
        Ok(match self.u16("code")? {
            0 => Outcome::Ok,
            13 => Outcome::Error,
            8 => Outcome::Full,
            4 => Outcome::TimedOut,
            14 => Outcome::ConnectFailed,
            10 => Outcome::Reset,
            1 => Outcome::Cancelled,
            9 => Outcome::NotSent,
            other => return self.fail(format!("no outcome has the code {other}")),
        })
    }
    fn call(&mut self) -> Result<CallId, WireError> {
        Ok(CallId(self.u32("tid")?))
    }
    fn span(&mut self, field: &str) -> Result<Span, WireError> {
        Ok(Span(u64::from(self.u32(field)?)))
    }
}

/// The cell that a floating-point field of the protocol names; `None` if it names none.
fn cell_from(number: f32) -> Option<Cell> {
    (number >= 0.0 && number <= f32::from(u16::MAX)).then_some(Cell(number as u16))
}

fn cause_from(code: u32) -> Cause {
    match code % 16 {
        1 => Cause::NoCircuit,
        2 => Cause::TurnedBack,
        3 if code >= 16 => Cause::ProcessorFullFor(Span::from_millis(u64::from(code / 16))),
        3 => Cause::ProcessorFull,
        4 => Cause::NumberBusy,
        _ => Cause::None,
    }
}

impl Decoder {
    /// Decodes a whole frame.
    pub fn decode(&mut self, frame: &[u8]) -> Result<Batch, WireError> {
        let mut cursor = Cursor { bytes: frame, at: 0, record: None };
        let clock = Time(cursor.u64("clock")?);
        let length = cursor.u32("length")? as usize;
        if length != frame.len() - cursor.at {
            return cursor.fail("the length does not fit the frame");
        }
        let count = cursor.u32("record count")?;
        let mut instance = None;
        let mut records = Vec::new();
        for number in 0..count {
            cursor.record = Some(number);
            if let Some(record) = self.record(&mut cursor, &mut instance)? {
                match instance {
                    Some(instance) => records.push((instance, record)),
                    None => return cursor.fail("no TO has named an instance yet"),
                }
            }
        }
        if cursor.at != frame.len() {
            return cursor.fail("bytes are left after the last record");
        }
        Ok(Batch { clock, records })
    }

    fn record(
        &mut self,
        cursor: &mut Cursor<'_>,
        instance: &mut Option<InstanceNo>,
    ) -> Result<Option<Record>, WireError> {
        let event = match cursor.u8("record code")? {
            0 => return self.begin(cursor).map(Some),
            1 => self.server_list(cursor)?,
            2 => new_call(cursor)?,
            3 => {
                let (call, took, server) = (cursor.call()?, cursor.span("rtt-us")?, cursor.server()?);
                Event::Established { call, took, server, attempt: Attempt(cursor.u16("hop")?) }
            }
            4 => attempt_end(cursor)?,
            5 => Event::HungUp(cursor.call()?),
            6 => Event::Timer(TimerToken(cursor.u32("handle")?)),
            7 => {
                let (server, outcome) = (cursor.server()?, cursor.outcome()?);
                cursor.u32("rtt-us")?;
                Event::Load { server, outcome, load: cursor.load()? }
            }
            8 => {
                let (from, n) = (cursor.u16("author")?, cursor.u16("contents")?);
                Event::PeerMessage { from, data: cursor.bytes(usize::from(n), "contents")?.to_vec() }
            }
            9 => return Ok(Some(Record::Killed)),
            10 => {
                self.directory(cursor)?;
                return Ok(None);
            }
            11 => {
                *instance = Some(cursor.u32("gateway-id")?);
                return Ok(None);
            }
            other => {
                cursor.at -= 1;
                return cursor.fail(format!("no event has the code {other}"));
            }
        };
        Ok(Some(Record::Event(event)))
    }

    fn begin(&self, cursor: &mut Cursor<'_>) -> Result<Record, WireError> {
        let seed = cursor.u64("random-seed")?;
        let n = cursor.u32("params")? as usize;
        let start = cursor.at;
        let text = cursor.bytes(n, "params")?;
        match parse_settings(text) {
            Ok(settings) => Ok(Record::Begin { seed, settings: Box::new(settings) }),
            Err(reason) => {
                cursor.at = start;
                cursor.fail(format!("the settings cannot be read: {reason}"))
            }
        }
    }

    fn directory(&mut self, cursor: &mut Cursor<'_>) -> Result<(), WireError> {
        let number = usize::from(cursor.u8("sheet")?);
        if number >= MAX_DIRECTORIES {
            return cursor.fail(format!("no list has the number {number}"));
        }
        let n = cursor.u32("members")? as usize;
        if n > (cursor.bytes.len() - cursor.at) / ENTRY_LEN {
            return cursor.fail(format!("{n} members run past the end of the batch"));
        }
        let entries = (0..n).map(|_| entry(cursor)).collect::<Result<Vec<_>, _>>()?;
        self.directories[number] = Some(entries);
        Ok(())
    }

    fn server_list(&self, cursor: &mut Cursor<'_>) -> Result<Event, WireError> {
        let number = usize::from(cursor.u8("sheet")?);
        cursor.u64("version")?;
        let kind = match cursor.u8("kind")? {
            0 => ListKind::Delta,
            1 => ListKind::Full,
            2 => ListKind::Cached,
            3 => return Ok(Event::List { kind: ListKind::Failed, entries: Vec::new() }),
            other => return cursor.fail(format!("no list kind has the code {other}")),
        };
        match self.directories.get(number) {
            Some(Some(entries)) => Ok(Event::List { kind, entries: entries.clone() }),
            Some(None) | None => cursor.fail(format!("list {number} has not been given")),
        }
    }
}

fn entry(cursor: &mut Cursor<'_>) -> Result<ServerEntry, WireError> {
    let cell = Cell(cursor.u16("node-no")?);
    cursor.u16("machine")?;
    cursor.f32("weight")?;
    let started = Time(cursor.u64("last-start-us")?);
    let state = match cursor.u8("lifecycle")? {
        0 => ServerState::Gone,
        1 => ServerState::Ready,
        2 => ServerState::Draining,
        other => return cursor.fail(format!("no lifecycle has the code {other}")),
    };
    let server = cursor.server()?;
    Ok(ServerEntry { server, cell, zone: cursor.u16("hall")?, started, state })
}

fn new_call(cursor: &mut Cursor<'_>) -> Result<Event, WireError> {
    let call = cursor.call()?;
    let class = usize::from(cursor.u8("qos")?);
    let tenant = usize::try_from(cursor.u32("customer")?).ok();
    let number = Number(cursor.u64("route-key")?);
    let valid_until = Time(cursor.u64("valid-until-us")?);
    cursor.u32("estimate-us")?;
    let first_choice = cell_from(cursor.f32("terminates-at")?);
    cursor.f32("units")?;
    cursor.f32("tandem")?;
    let flags = cursor.u8("bits")?;
    let redialled = flags & FLAG_REDIALLED != 0;
    let in_transit = flags & FLAG_IN_TRANSIT != 0;
    Ok(Event::Call(NewCall { call, class, tenant, number, valid_until, first_choice, redialled, in_transit }))
}

fn attempt_end(cursor: &mut Cursor<'_>) -> Result<Event, WireError> {
    let call = cursor.call()?;
    let cause = cause_from(cursor.u32("clear-code")?);
    let took = cursor.span("rtt-us")?;
    let attempt = Attempt(cursor.u16("hop")?);
    let outcome = cursor.outcome()?;
    let closed = cursor.u8("ended")? != 0;
    let server = cursor.server()?;
    let load = cursor.load()?;
    Ok(Event::Ended(AttemptEnd { call, attempt, server, outcome, cause, took, closed, load }))
}

/// A reply frame with the actions of several instances.
#[derive(Debug, Default)]
pub struct Reply {
    records: u32,
    bytes: Vec<u8>,
    instance: Option<InstanceNo>,
}

impl Reply {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: InstanceNo, action: &Action) {
        if matches!(action, Action::RequestPermits { .. } | Action::LendPermits { .. }) {
            return; // the simulator's protocol has no record for them: its controllers share no permits
        }
        if self.instance != Some(instance) {
            self.instance = Some(instance);
            self.record(76);
            self.bytes.extend(instance.to_be_bytes());
        }
        match action {
            Action::Send { call, server, timeout } => {
                self.record(64);
                self.bytes.extend(call.0.to_be_bytes());
                self.bytes.extend(server.address.to_be_bytes());
                self.bytes.extend(server.port.to_be_bytes());
                // In the protocol 0 means no timeout, so the shortest timeout is 1.
                self.span(timeout.map_or(Span(0), |p| p.max(Span(1))));
            }
            Action::Refuse { call, retry_after } => {
                self.record(65);
                self.bytes.extend(call.0.to_be_bytes());
                self.span(*retry_after);
            }
            Action::Fail { call } => {
                self.record(66);
                self.bytes.extend(call.0.to_be_bytes());
            }
            Action::Cancel { call, attempt } => {
                self.record(67);
                self.bytes.extend(call.0.to_be_bytes());
                self.bytes.extend(attempt.0.to_be_bytes());
            }
            Action::Timer { after, token } => {
                self.record(68);
                self.span(*after);
                self.bytes.extend(token.0.to_be_bytes());
            }
            Action::Probe { server } => {
                self.record(69);
                self.bytes.extend(server.address.to_be_bytes());
                self.bytes.extend(server.port.to_be_bytes());
            }
            Action::CloseIdle { server } => {
                self.record(70);
                self.bytes.extend(server.address.to_be_bytes());
                self.bytes.extend(server.port.to_be_bytes());
            }
            Action::SendToPeers { to, data } => {
                self.record(71);
                self.bytes.extend(to.unwrap_or(u16::MAX).to_be_bytes());
                self.text(data);
            }
            Action::Log(line) => {
                self.record(72);
                self.text(line.as_bytes());
            }
            Action::SubscribeList(on) => {
                self.record(74);
                self.bytes.push(u8::from(*on));
            }
            Action::FetchList => self.record(75),
            Action::RequestPermits { .. } | Action::LendPermits { .. } => {}
        }
    }

    /// Encodes the frame.
    pub fn finish(self) -> Vec<u8> {
        let mut frame = Vec::with_capacity(8 + self.bytes.len());
        frame.extend(self.records.to_be_bytes());
        frame.extend(u32::try_from(self.bytes.len()).unwrap_or(u32::MAX).to_be_bytes());
        frame.extend(self.bytes);
        frame
    }

    fn record(&mut self, code: u8) {
        self.records += 1;
        self.bytes.push(code);
    }

    fn span(&mut self, span: Span) {
        self.bytes.extend(u32::try_from(span.0).unwrap_or(u32::MAX).to_be_bytes());
    }

    fn text(&mut self, text: &[u8]) {
        let n = u16::try_from(text.len()).unwrap_or(u16::MAX);
        self.bytes.extend(n.to_be_bytes());
        self.bytes.extend(&text[..usize::from(n)]);
    }
}

// ---- Settings ----------------------------------------------------------------------------------------------

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Params {
    balancers: u32,
    classes: Vec<ClassParams>,
    bounds: Bounds,
    rules: Rules,
    #[serde(default)]
    report: Report,
    #[serde(default)]
    extra: Extra,
    #[serde(default)]
    discovery: String,
    #[serde(default)]
    granularity_us: u64,
    #[serde(default)]
    parties: Vec<Party>,
    #[serde(default)]
    over_share_worth: Option<f64>,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Party {
    #[serde(default)]
    quota_per_s: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct ClassParams {
    goal_time_us: u64,
    worth: f64,
    #[serde(default)]
    late_worth: f64,
    #[serde(default)]
    semantics: String,
    #[serde(default)]
    dedup_scope: String,
    #[serde(default)]
    window_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Bounds {
    max_attempts: u32,
    #[serde(default)]
    cancel: bool,
    #[serde(default)]
    retry_after: bool,
    #[serde(default)]
    max_retry_after_us: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "kebab-case")]
struct Rules {
    cold_share: f64,
    cold_us: u64,
    overload_factor: f64,
    #[serde(default)]
    tip_after_us: u64,
}

#[derive(Deserialize, Default)]
struct Report {
    #[serde(default)]
    names: Vec<String>,
}

#[derive(Deserialize, Default)]
#[serde(rename_all = "kebab-case")]
struct Extra {
    #[serde(default)]
    class_cells: Option<Vec<Vec<u16>>>,
    #[serde(default)]
    clear_wait_us: u64,
    #[serde(default)]
    shape: String,
    #[serde(default)]
    this_node: Option<f64>,
}

/// Parses the settings; the error message names the key at fault.
pub fn parse_settings(text: &[u8]) -> Result<Settings, String> {
    let reader = &mut serde_json::Deserializer::from_slice(text);
    let params: Params = serde_path_to_error::deserialize(reader).map_err(|error| {
        let path = error.path().to_string();
        format!("at key '{path}': {}", error.into_inner())
    })?;
    let by_skill = params.extra.shape == "skills";
    let cells = |index: usize| -> Option<Vec<Cell>> {
        let lists = params.extra.class_cells.as_ref().filter(|_| by_skill)?;
        lists.get(index).map(|list| list.iter().copied().map(Cell).collect())
    };
    let classes = params.classes.iter().enumerate().map(|(index, class)| ClassSettings {
        setup_target: Span(class.goal_time_us),
        worth: class.worth,
        late_worth: class.late_worth,
        repeats: match class.semantics.as_str() {
            "guarded" => Repeats::Guarded,
            "single_shot" => Repeats::SingleShot,
            _ => Repeats::Free,
        },
        dedup_scope: match class.dedup_scope.as_str() {
            "zone" => DedupScope::Zone,
            "cell" => DedupScope::Cell,
            _ => DedupScope::All,
        },
        dedup_window: Span(class.window_us),
        cells: cells(index),
    });
    Ok(Settings {
        controllers: params.balancers,
        classes: classes.collect(),
        tenant_shares: match params.over_share_worth {
            Some(worth) if worth < 1.0 => params.parties.iter().map(|party| party.quota_per_s).collect(),
            _ => Vec::new(),
        },
        load_fields: params.report.names.iter().map(|name| LoadField::named(name)).collect(),
        max_attempts: params.bounds.max_attempts,
        may_cancel: params.bounds.cancel,
        may_send_retry_after: params.bounds.retry_after,
        max_retry_after: Span(params.bounds.max_retry_after_us),
        list_needs_subscription: params.discovery == "ask",
        resend_delay: Span(params.extra.clear_wait_us),
        cold_share: params.rules.cold_share,
        warm_up: Span(params.rules.cold_us),
        overload_factor: params.rules.overload_factor,
        overload_time: Span(params.rules.tip_after_us),
        tick: Span(params.granularity_us),
        own_cell: params.extra.this_node.and_then(|node| cell_from(node as f32)),
    })
}
