//! Stand-ins for the cases of the second review: call servers (SIP over TCP), the bulletin (HTTP), callers (JSON lines)
//! and the platform that starts controllers by the command of the deploy file. Only the standard library is used.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---- Record -----------------------------------------------------------------------------------

struct Record {
    start: Instant,
    file: Mutex<File>,
}

static RECORD: OnceLock<Record> = OnceLock::new();

pub fn open_record() {
    let file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let file = Mutex::new(File::create(file).expect("the record can be written"));
    let _ = RECORD.set(Record { start: Instant::now(), file });
}

/// Ends the case with exit code 2 where it takes too long.
pub fn limit_time(seconds: u64) {
    thread::spawn(move || {
        thread::sleep(Duration::from_secs(seconds));
        std::process::exit(unable("it took too long"));
    });
}

/// Milliseconds since the start of the case.
pub fn now_ms() -> u64 {
    RECORD.get().expect("a record").start.elapsed().as_millis() as u64
}

pub fn note(text: &str) {
    let at = now_ms();
    let mut file = RECORD.get().expect("a record").file.lock().expect("the record");
    let _ = writeln!(file, "{:3}.{:03} {text}", at / 1000, at % 1000);
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |since| since.as_millis() as u64)
}

/// Whether the case is to be run with its disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Waits until `done`, for `ms` at most; whether it came about.
pub fn wait_until(ms: u64, mut done: impl FnMut() -> bool) -> bool {
    let end = Instant::now() + Duration::from_millis(ms);
    loop {
        if done() {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep_ms(2);
    }
}

/// Ends the case: 1 if the rule was broken, 0 if it held.
pub fn verdict(broken: &[String], held: &str) -> i32 {
    if broken.is_empty() {
        note(&format!("RESULT rule held: {held}"));
        println!("rule held: {held}");
        return 0;
    }
    for line in broken {
        note(&format!("RESULT rule broken: {line}"));
    }
    println!("rule broken, {} time(s); the first: {}", broken.len(), broken[0]);
    1
}

/// The case could not run.
pub fn unable(why: &str) -> i32 {
    note(&format!("RESULT could not run: {why}"));
    println!("could not run: {why}");
    2
}

// ---- Call servers ------------------------------------------------------------------------------

/// What a call server does, beyond the protocol.
#[derive(Clone, Default)]
pub struct Manner {
    /// It accepts this many connections at once; further ones are refused. 0: any number.
    pub most_connections: usize,
    /// From the arrival of a set-up to its answer.
    pub answer_after_ms: u64,
    /// It tells the state of its lines this often if the state has changed; 0: only on a new connection.
    pub tells_every_ms: u64,
    /// The description in its answers; `{sid}` stands for the call.
    pub description: String,
    /// Each answer is written in two pieces; the second one, of this many bytes, follows 30 ms later.
    pub second_piece: usize,
    /// The length that every eighth answer gives for its description is too small by `second_piece`.
    pub wrong_length: bool,
}

#[derive(Clone, Debug)]
pub struct Heard {
    pub at: u64,
    pub what: String,
    pub sid: String,
    pub link: u64,
}

#[derive(Default)]
struct ServerState {
    links: BTreeMap<u64, TcpStream>,
    /// Set-ups that are out, with their connection.
    out: BTreeMap<String, u64>,
    /// Calls that stand, with the connection of their set-up.
    standing: BTreeMap<String, u64>,
    /// Calls whose release this call server has sent.
    released: BTreeMap<String, u64>,
    /// Calls whose answer was sent with a wrong length.
    spoilt: BTreeSet<String>,
    heard: Vec<Heard>,
    dead: bool,
}

pub struct CallServer {
    pub name: String,
    pub addr: SocketAddr,
    manner: Manner,
    state: Mutex<ServerState>,
    next_link: AtomicU64,
    answered: AtomicU64,
    /// Links whose bytes in both directions are thrown away from now on, while they stay open.
    silent: Mutex<BTreeSet<u64>>,
}

impl CallServer {
    pub fn start(name: &str, ip: &str, manner: Manner) -> Arc<CallServer> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let server = Arc::new(CallServer {
            name: name.to_owned(),
            addr,
            manner,
            state: Mutex::default(),
            next_link: AtomicU64::new(1),
            answered: AtomicU64::new(0),
            silent: Mutex::default(),
        });
        let accepting = server.clone();
        thread::spawn(move || accepting.accept(listener));
        if server.manner.tells_every_ms > 0 {
            let telling = server.clone();
            thread::spawn(move || telling.tell());
        }
        note(&format!("call server {name} listens at {addr}"));
        server
    }

    fn full(&self) -> bool {
        let most = self.manner.most_connections;
        most > 0 && self.state.lock().expect("state").links.len() >= most
    }

    /// Accepts connections; at the maximum the listening socket is closed, so that the system refuses further ones.
    fn accept(self: Arc<Self>, listener: TcpListener) {
        let mut open = Some(listener);
        loop {
            if self.state.lock().expect("state").dead {
                return;
            }
            if self.full() {
                if open.take().is_some() {
                    note(&format!("{} has its maximum of connections and refuses further ones", self.name));
                }
                sleep_ms(1);
                continue;
            }
            if open.is_none() {
                open = TcpListener::bind(self.addr).ok();
                note(&format!("{} accepts connections again", self.name));
            }
            let Some(listener) = &open else {
                sleep_ms(5);
                continue;
            };
            let _ = listener.set_nonblocking(true);
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let no = self.next_link.fetch_add(1, Ordering::Relaxed);
                    let Ok(writer) = stream.try_clone() else { continue };
                    self.state.lock().expect("state").links.insert(no, writer);
                    note(&format!("{} link {no} opened", self.name));
                    self.send(no, &self.notify());
                    let serving = self.clone();
                    thread::spawn(move || serving.serve(no, stream));
                }
                Err(_) => sleep_ms(1),
            }
        }
    }

    fn notify(&self) -> String {
        let busy = self.state.lock().expect("state").standing.len();
        format!(
            "NOTIFY sip:state@net SIP/2.0\r\nVia: SIP/2.0/TCP server\r\nCall-ID: state\r\nCSeq: 1 NOTIFY\r\nP-Report: x0:{};x1:400;util:0.2;queue:0\r\nContent-Length: 0\r\n\r\n",
            400 - busy.min(400)
        )
    }

    /// Tells the state of its lines on the open connections, four at most, when it has changed.
    fn tell(self: Arc<Self>) {
        let mut told = 0;
        loop {
            sleep_ms(self.manner.tells_every_ms);
            let (busy, links, dead) = {
                let state = self.state.lock().expect("state");
                let links: Vec<u64> = state.links.keys().take(4).copied().collect();
                (state.standing.len(), links, state.dead)
            };
            if dead {
                return;
            }
            if busy != told {
                told = busy;
                let text = self.notify();
                links.into_iter().for_each(|no| self.send(no, &text));
            }
        }
    }

    fn send(&self, no: u64, text: &str) {
        if self.silent.lock().expect("silent").contains(&no) {
            return;
        }
        let stream = {
            let state = self.state.lock().expect("state");
            state.links.get(&no).and_then(|stream| stream.try_clone().ok())
        };
        if let Some(mut stream) = stream {
            let _ = stream.write_all(text.as_bytes());
        }
    }

    fn serve(self: Arc<Self>, no: u64, stream: TcpStream) {
        let mut reader = BufReader::new(stream);
        loop {
            let Some(message) = read_sip(&mut reader) else { break };
            if self.silent.lock().expect("silent").contains(&no) {
                note(&format!(
                    "{} link {no}: lost on the silent connection: {} {}",
                    self.name, message.method, message.sid
                ));
                continue;
            }
            self.clone().handle(no, message);
        }
        let mut state = self.state.lock().expect("state");
        state.links.remove(&no);
        let given_up: Vec<String> =
            state.out.iter().filter(|(_, on)| **on == no).map(|(sid, _)| sid.clone()).collect();
        given_up.iter().for_each(|sid| {
            state.out.remove(sid);
        });
        drop(state);
        note(&format!("{} link {no} ended; {} set-ups on it are given up", self.name, given_up.len()));
    }

    fn handle(self: Arc<Self>, no: u64, message: Sip) {
        let sid = message.sid.clone();
        {
            let mut state = self.state.lock().expect("state");
            state.heard.push(Heard {
                at: now_ms(),
                what: message.method.clone(),
                sid: sid.clone(),
                link: no,
            });
        }
        if message.method != "ACK" && message.method != "response" {
            note(&format!("{} link {no} <- {} {sid} {}", self.name, message.method, message.reason));
        }
        match message.method.as_str() {
            "INVITE" => {
                self.state.lock().expect("state").out.insert(sid.clone(), no);
                let answering = self.clone();
                let after = self.manner.answer_after_ms;
                thread::spawn(move || {
                    sleep_ms(after);
                    answering.answer(no, &sid);
                });
            }
            "CANCEL" => {
                self.state.lock().expect("state").out.remove(&sid);
            }
            "BYE" => {
                self.state.lock().expect("state").standing.remove(&sid);
                self.send(no, &format!("SIP/2.0 200 OK\r\nVia: {}\r\nCall-ID: {sid}\r\nCSeq: {}\r\nContent-Length: 0\r\n\r\n", message.via, message.cseq));
            }
            "OPTIONS" => {
                self.send(no, &format!("SIP/2.0 200 OK\r\nVia: {}\r\nCall-ID: {sid}\r\nCSeq: {}\r\nContent-Length: 0\r\n\r\n", message.via, message.cseq));
            }
            _ => {}
        }
    }

    fn answer(&self, no: u64, sid: &str) {
        {
            let mut state = self.state.lock().expect("state");
            if state.dead || state.out.get(sid) != Some(&no) {
                return;
            }
            state.out.remove(sid);
            state.standing.insert(sid.to_owned(), no);
        }
        let body = self.manner.description.replace("{sid}", sid);
        let body = if body.is_empty() { format!("{sid}\r\nc=IN IP4 127.9.9.9\r\n") } else { body };
        note(&format!(
            "{} link {no} -> 200 {sid}: the call stands ({} bytes of description)",
            self.name,
            body.len()
        ));
        let second = self.manner.second_piece.min(body.len());
        let answered = self.answered.fetch_add(1, Ordering::Relaxed);
        let wrong = self.manner.wrong_length && answered % 8 == 7;
        let length = if wrong { body.len() - second } else { body.len() };
        if wrong {
            note(&format!("{} the length of this answer is wrong: {length}", self.name));
            self.state.lock().expect("state").spoilt.insert(sid.to_owned());
        }
        let text = format!(
            "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {sid}\r\nCSeq: 1 INVITE\r\nContent-Length: {length}\r\n\r\n{body}"
        );
        let (first, rest) = text.split_at(text.len() - second);
        self.send(no, first);
        if !rest.is_empty() {
            sleep_ms(30);
            self.send(no, rest);
        }
    }

    /// Releases a call that has come to its end, on the connection of its set-up or any open one.
    pub fn release(&self, sid: &str, cause: u16) {
        let link = {
            let mut state = self.state.lock().expect("state");
            let Some(link) = state.standing.remove(sid) else { return };
            state.released.insert(sid.to_owned(), now_ms());
            if state.links.contains_key(&link) {
                Some(link)
            } else {
                state.links.keys().next().copied()
            }
        };
        note(&format!("{} -> BYE {sid} cause {cause}", self.name));
        if let Some(no) = link {
            self.send(no, &format!("BYE sip:0@net SIP/2.0\r\nVia: SIP/2.0/TCP server\r\nCall-ID: {sid}\r\nCSeq: 2 BYE\r\nReason: Q.850;cause={cause}\r\nContent-Length: 0\r\n\r\n"));
        }
    }

    /// From now on nothing gets through on this link, while it stays open.
    pub fn silence(&self, no: u64) {
        note(&format!("{} link {no} falls silent and stays open", self.name));
        self.silent.lock().expect("silent").insert(no);
    }

    pub fn links(&self) -> Vec<u64> {
        self.state.lock().expect("state").links.keys().copied().collect()
    }
    /// Other controllers of the tier hold this many connections to it; they stay open as long as the result is kept.
    pub fn held_by_others(&self, count: usize) -> Vec<TcpStream> {
        let held: Vec<TcpStream> = (0..count).filter_map(|_| TcpStream::connect(self.addr).ok()).collect();
        wait_until(1_000, || self.links().len() >= held.len());
        note(&format!("other controllers hold {} connections to {}", held.len(), self.name));
        held
    }
    pub fn standing(&self) -> Vec<String> {
        self.state.lock().expect("state").standing.keys().cloned().collect()
    }
    pub fn stands(&self, sid: &str) -> bool {
        self.state.lock().expect("state").standing.contains_key(sid)
    }
    pub fn link_of(&self, sid: &str) -> Option<u64> {
        self.state.lock().expect("state").standing.get(sid).copied()
    }
    /// When this call server has sent the release of a call.
    pub fn released_at(&self, sid: &str) -> Option<u64> {
        self.state.lock().expect("state").released.get(sid).copied()
    }
    pub fn spoilt(&self) -> BTreeSet<String> {
        self.state.lock().expect("state").spoilt.clone()
    }
    pub fn heard(&self) -> Vec<Heard> {
        self.state.lock().expect("state").heard.clone()
    }
    /// The line of this call server for the bulletin's events.
    pub fn entry(&self, block: usize, health: &str) -> String {
        format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"edinburgh\",\"class\":\"std\",\"block\":{block},\"health\":\"{health}\",\"share\":4,\"born_ms\":0}}",
            self.name, self.addr
        )
    }
}

struct Sip {
    method: String,
    sid: String,
    via: String,
    cseq: String,
    reason: String,
}

fn read_sip(reader: &mut impl BufRead) -> Option<Sip> {
    let mut first = String::new();
    while first.trim().is_empty() {
        first.clear();
        if reader.read_line(&mut first).ok()? == 0 {
            return None;
        }
    }
    let method = if first.starts_with("SIP/2.0") { "response" } else { first.split(' ').next()? };
    let mut message = Sip {
        method: method.to_owned(),
        sid: String::new(),
        via: String::new(),
        cseq: String::new(),
        reason: String::new(),
    };
    let mut length = 0;
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let Some((name, value)) = line.split_once(':') else { continue };
        let value = value.trim().to_owned();
        match name.to_ascii_lowercase().as_str() {
            "call-id" => message.sid = value,
            "via" => message.via = value,
            "cseq" => message.cseq = value,
            "reason" => message.reason = value,
            "content-length" => length = value.parse().ok()?,
            _ => {}
        }
    }
    let mut body = vec![0; length];
    std::io::Read::read_exact(reader, &mut body).ok()?;
    Some(message)
}

// ---- The bulletin -------------------------------------------------------------------------------

/// Pieces in which a slow bulletin writes an answer.
const PIECES: usize = 12;

/// The bulletin: numbered events over HTTP long polling.
pub struct Bulletin {
    pub addr: SocketAddr,
    events: Mutex<Vec<String>>,
    /// How long it takes to write an answer, in pieces, from when it is due.
    pub writes_for_ms: AtomicU64,
}

impl Bulletin {
    pub fn start(ip: &str) -> Arc<Bulletin> {
        let listener = TcpListener::bind((ip, 0)).expect("a free port");
        let addr = listener.local_addr().expect("an address");
        let bulletin =
            Arc::new(Bulletin { addr, events: Mutex::default(), writes_for_ms: AtomicU64::new(0) });
        let serving = bulletin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        note(&format!("the bulletin listens at {addr}"));
        bulletin
    }

    /// Adds an event with these lines and returns its number.
    pub fn add(&self, whole: bool, hosts: &[String]) -> usize {
        let mut events = self.events.lock().expect("events");
        let no = events.len() + 1;
        events.push(format!(
            "{{\"no\":{no},\"roster\":{{\"seq\":{no},\"whole\":{whole},\"hosts\":[{}]}}}}",
            hosts.join(",")
        ));
        note(&format!("the bulletin holds event {no}: {}", hosts.join(" ")));
        no
    }

    /// The page of the events after this one.
    pub fn page(&self, after: usize) -> String {
        let events = self.events.lock().expect("events");
        let items: Vec<&str> = events.iter().skip(after).map(String::as_str).collect();
        format!("{{\"no\":{},\"items\":[{}]}}", events.len(), items.join(","))
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        loop {
            let mut first = String::new();
            if reader.read_line(&mut first).unwrap_or(0) == 0 {
                return;
            }
            let mut line = String::from("x");
            while !line.trim().is_empty() {
                line.clear();
                if reader.read_line(&mut line).unwrap_or(0) == 0 {
                    return;
                }
            }
            let number = |key: &str| {
                let rest = first.split(key).nth(1).unwrap_or("");
                rest.chars().take_while(char::is_ascii_digit).collect::<String>().parse::<u64>().unwrap_or(0)
            };
            let (after, patience) = (number("after=") as usize, number("patience=").min(5_000));
            wait_until(patience, || self.events.lock().expect("events").len() > after);
            let body = self.page(after);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            let slow = self.writes_for_ms.load(Ordering::Relaxed);
            let has_news = self.events.lock().expect("events").len() > after;
            if slow == 0 {
                if has_news {
                    note(&format!("bulletin: answers after={after} with {} bytes", answer.len()));
                }
                if writer.write_all(answer.as_bytes()).is_err() {
                    return;
                }
                continue;
            }
            let bytes = answer.as_bytes();
            note(&format!(
                "bulletin: begins to answer after={after}, news: {has_news}, {} bytes",
                bytes.len()
            ));
            for piece in bytes.chunks(bytes.len().div_ceil(PIECES)) {
                if writer.write_all(piece).is_err() {
                    note("bulletin: the controller has closed the connection before the answer was whole");
                    return;
                }
                sleep_ms(slow / PIECES as u64);
            }
            note("bulletin: the answer is written whole");
        }
    }
}

// ---- Callers -------------------------------------------------------------------------------------

#[derive(Clone, Debug)]
pub struct Told {
    pub at: u64,
    pub msg: String,
    pub code: i64,
    pub line: String,
}

/// A caller's connection.
pub struct Caller {
    writer: Mutex<TcpStream>,
    told: Arc<Mutex<BTreeMap<String, Vec<Told>>>>,
    ended: Arc<AtomicBool>,
    silent: Arc<AtomicBool>,
}

/// The text of a field of a flat JSON object.
pub fn field(line: &str, name: &str) -> Option<String> {
    let rest = line.split(&format!("\"{name}\":")).nth(1)?.trim_start();
    match rest.strip_prefix('"') {
        Some(text) => Some(text.split('"').next()?.to_owned()),
        None => Some(rest.chars().take_while(|c| c.is_ascii_digit() || *c == '-').collect()),
    }
}

impl Caller {
    /// Connects; the caller confirms releases where `confirms`.
    pub fn connect(to: SocketAddr, confirms: bool) -> Option<Caller> {
        let stream = TcpStream::connect(to).ok()?;
        let _ = stream.set_nodelay(true);
        let told: Arc<Mutex<BTreeMap<String, Vec<Told>>>> = Arc::default();
        let ended = Arc::new(AtomicBool::new(false));
        let reader = stream.try_clone().ok()?;
        let mut back = stream.try_clone().ok()?;
        let silent = Arc::new(AtomicBool::new(false));
        let (store, over, unheard) = (told.clone(), ended.clone(), silent.clone());
        thread::spawn(move || {
            let mut reader = BufReader::new(reader);
            let mut line = String::new();
            while reader.read_line(&mut line).unwrap_or(0) > 0 {
                let msg = field(&line, "msg").unwrap_or_default();
                let sid = field(&line, "sid").unwrap_or_default();
                let code = field(&line, "code").and_then(|code| code.parse().ok()).unwrap_or(0);
                if unheard.load(Ordering::Relaxed) {
                    note(&format!("lost on the caller's silent connection: {msg} {sid} code {code}"));
                    line.clear();
                    continue;
                }
                if msg != "trying" {
                    note(&format!("caller <- {msg} {sid} code {code} ({} bytes)", line.len()));
                }
                let answered = {
                    let mut store = store.lock().expect("told");
                    let all = store.entry(sid.clone()).or_default();
                    let answered = all.iter().any(|told| told.msg == "ready");
                    all.push(Told { at: now_ms(), msg: msg.clone(), code, line: line.trim_end().to_owned() });
                    answered
                };
                if msg == "close" && answered && confirms {
                    let _ = back.write_all(
                        format!("{{\"msg\":\"closed\",\"sid\":\"{sid}\",\"attrs\":{{}}}}\n").as_bytes(),
                    );
                }
                line.clear();
            }
            over.store(true, Ordering::Relaxed);
        });
        Some(Caller { writer: Mutex::new(stream), told, ended, silent })
    }

    pub fn write(&self, line: &str) -> bool {
        self.writer.lock().expect("writer").write_all(line.as_bytes()).is_ok()
    }

    /// Sends a set-up.
    pub fn open(&self, sid: &str, class: &str, left: u64, dest: usize) -> bool {
        note(&format!("caller -> open {sid} class {class} left {left} dest {dest}"));
        self.write(&format!(
            "{{\"msg\":\"open\",\"sid\":\"{sid}\",\"attrs\":{{\"class\":\"{class}\",\"left\":\"{left}\",\"key\":\"7f3a9c21e0b4d655\",\"extras\":\"dest:{dest};width:1;via:-1\"}},\"text\":\"{sid}\\r\\nc=IN IP4 127.8.8.8\\r\\n\"}}\n"
        ))
    }

    /// Ends a call, or gives its set-up up.
    pub fn close(&self, sid: &str, cause: u16) -> bool {
        note(&format!("caller -> close {sid} cause {cause}"));
        self.write(&format!("{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{}},\"code\":{cause}}}\n"))
    }

    pub fn told(&self, sid: &str) -> Vec<Told> {
        self.told.lock().expect("told").get(sid).cloned().unwrap_or_default()
    }
    pub fn is_ready(&self, sid: &str) -> bool {
        self.told(sid).iter().any(|told| told.msg == "ready")
    }
    /// The release of a call that stood.
    pub fn release_of(&self, sid: &str) -> Option<Told> {
        let told = self.told(sid);
        let ready = told.iter().position(|told| told.msg == "ready")?;
        told[ready..].iter().find(|told| told.msg == "close").cloned()
    }
    /// From now on nothing gets through on this connection, while it stays open.
    pub fn silence(&self) {
        note("a caller's connection falls silent and stays open");
        self.silent.store(true, Ordering::Relaxed);
    }
    pub fn has_ended(&self) -> bool {
        self.ended.load(Ordering::Relaxed)
    }
    pub fn shut(&self) {
        let _ = self.writer.lock().expect("writer").shutdown(std::net::Shutdown::Both);
    }
}

pub fn sid(n: u64) -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000_u64 + n * 0x1_0001)
}

// ---- The platform ----------------------------------------------------------------------------------

/// A controller, started by the `run` line of the deploy file.
pub struct Controller {
    child: Child,
    pub listen: SocketAddr,
    dir: PathBuf,
    config: PathBuf,
    starts: u32,
}

fn free_port(ip: &str) -> SocketAddr {
    TcpListener::bind((ip, 0)).and_then(|listener| listener.local_addr()).expect("a free port")
}

/// The settings of a small deployment; `classes` is the list of classes as JSON.
pub fn settings(classes: &str, controllers: u32) -> String {
    format!(
        r#"{{"balancers":{controllers},"bounds":{{"cancel":true,"conn-idle-us":600000000,"connect-timeout-us":500000,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"max-attempts":5,"max-retry-after-us":2000000,"may-tell":true,"most-held":20000,"probing":false,"retry-after":true,"second-copies":false,"streams-per-conn":1048576}},"classes":[{classes}],"client-habits":{{"marks-retry":false}},"discovery":"push","extra":{{"class-cells":[[0,1,2]],"clear-wait-us":500000,"far-state":"inline","hints-route":false,"holding-us":[9800000],"retransmit-us":400000,"says-wait":true,"shape":"skills","this-node":-1,"widths":[1]}},"family":"trunks","flavors":["single-core"],"granularity-us":5000,"me":0,"my-zone":0,"over-share-worth":0.1,"parties":[],"report":{{"how":"inline","names":["idle","circuits","cpu_share","pending"]}},"rules":{{"answer-slack-us":20000,"ask-every-us":10000000,"cold-share":0.36,"cold-us":14000000,"overload-factor":2.5,"stop-sending-within-us":250000,"tip-after-us":1000000}},"stages":["call-servers"],"tier":0,"value-by":"request","weight-source":"off","zones":["edinburgh","glasgow","aberdeen","inverness"]}}"#
    )
}

pub const JUDGE_CALL: &str = r#"{"dedup-scope":"all","goal-time-us":2000000,"hard-limit-us":9000000,"late-worth":0.1,"name":"judge-call","semantics":"free","streamed":true,"window-us":5000000,"worth":1.0}"#;

impl Controller {
    pub fn start(bulletin: &Bulletin, settings: &str) -> Controller {
        Controller::start_with(bulletin, settings, 192)
    }

    pub fn start_with(bulletin: &Bulletin, settings: &str, memory_mb: u32) -> Controller {
        let listen = free_port("127.0.0.1");
        let dir =
            std::env::temp_dir().join(format!("lockpoint-review-{}-{}", std::process::id(), listen.port()));
        std::fs::create_dir_all(dir.join("tmp")).expect("a temporary folder");
        let config = dir.join("config.json");
        std::fs::write(
            &config,
            format!(
                "{{\"name\":\"n0\",\"listen\":\"{listen}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\"bulletin\":\"{}\",\"known\":{},\"settings\":{settings}}}",
                bulletin.addr,
                bulletin.page(0)
            ),
        )
        .expect("the configuration is written");
        let child = spawn(&dir, &config, 0);
        let controller = Controller { child, listen, dir, config, starts: 1 };
        note(&format!("controller started, listens at {listen}"));
        controller
    }

    /// Waits until a health check passes.
    pub fn ready(&self) -> bool {
        let probe = "{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n";
        wait_until(10_000, || {
            let Ok(mut stream) = TcpStream::connect(self.listen) else { return false };
            let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
            let _ = stream.write_all(probe.as_bytes());
            let mut line = String::new();
            let _ = BufReader::new(&stream).read_line(&mut line);
            line.contains("probed") && field(&line, "code").as_deref() == Some("1")
        })
    }

    /// Kills the process and starts it again with the same name, address and configuration.
    pub fn kill_and_restart(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        note("controller killed");
        let _ = std::fs::remove_dir_all(self.dir.join("tmp"));
        let _ = std::fs::create_dir_all(self.dir.join("tmp"));
        self.child = spawn(&self.dir, &self.config, self.starts);
        self.starts += 1;
        note("controller started again");
    }

    pub fn signal(&self, which: &str) {
        note(&format!("controller gets {which}"));
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill {which} {}", self.child.id())]).status();
    }

    pub fn runs(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

extern "C" {
    fn prctl(option: i32, ...) -> i32;
}

fn spawn(dir: &std::path::Path, config: &std::path::Path, start: u32) -> Child {
    spawn_command("exec target/release/lockpoint", dir, config, start)
}

fn spawn_command(line: &str, dir: &std::path::Path, config: &std::path::Path, start: u32) -> Child {
    let log = File::create(dir.join(format!("log-{start}"))).expect("a log");
    let mut command = Command::new("/bin/sh");
    // The controller ends with the case, however that ends (PR_SET_PDEATHSIG, SIGKILL).
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9_u64, 0_u64, 0_u64, 0_u64);
            Ok(())
        });
    }
    command
        .args(["-c", line])
        .current_dir(std::env::var("ROOT").expect("ROOT names the repository"))
        .env("TMPDIR", dir.join("tmp"))
        .env("ROUTER_NAME", "n0")
        .env("ROUTER_CONFIG", config)
        .env("LOCKPOINT_LOG", std::env::var("LOCKPOINT_LOG").unwrap_or_else(|_| "info".to_owned()))
        .stdin(Stdio::null())
        .stdout(log.try_clone().expect("a log"))
        .stderr(log)
        .spawn()
        .expect("the controller starts")
}

/// An agent with one instance that has an IAX2 front, started by the program of the deploy file's `run` line.
pub struct Agent {
    child: Child,
    dir: PathBuf,
    pub iax2: SocketAddr,
}

impl Agent {
    pub fn start(bulletin: &Bulletin) -> Agent {
        let iax2 = std::net::UdpSocket::bind("127.0.0.1:0")
            .and_then(|socket| socket.local_addr())
            .expect("a free port");
        let dir =
            std::env::temp_dir().join(format!("lockpoint-review-{}-{}", std::process::id(), iax2.port()));
        std::fs::create_dir_all(dir.join("tmp")).expect("a temporary folder");
        let file = dir.join("agent.toml");
        let text = format!(
            r#"control = "{}/control.sock"
[[instance]]
name = "desks"
bulletin = "{}"
[instance.iax2]
listen = "{iax2}"
from = "127.0.0.1:0"
tokens = "asked"
[instance.settings]
balancers = 1
zones = ["edinburgh", "glasgow", "aberdeen", "inverness"]
discovery = "push"
granularity-us = 5000
bounds = {{ cancel = true, connect-timeout-us = 500000, max-attempts = 5, max-retry-after-us = 2000000, most-held = 20000, retry-after = true }}
report = {{ names = ["idle", "circuits", "cpu_share", "pending"] }}
rules = {{ cold-share = 0.36, cold-us = 14000000, overload-factor = 2.5, tip-after-us = 1000000 }}
extra = {{ shape = "skills", clear-wait-us = 500000, this-node = -1 }}
[[instance.settings.classes]]
name = "judge-call"
goal-time-us = 2000000
hard-limit-us = 9000000
worth = 1.0
late-worth = 0.1
semantics = "free"
"#,
            dir.display(),
            bulletin.addr
        );
        std::fs::write(&file, text).expect("the operator's file is written");
        let child = spawn_agent(&dir, 0);
        note(&format!("agent started, IAX2 callers at {iax2}"));
        Agent { child, dir, iax2 }
    }

    /// A planned restart: SIGTERM, and a new start once the process has ended.
    pub fn stop_and_start(&mut self) -> bool {
        note("agent gets SIGTERM");
        let _ = Command::new("/bin/sh").args(["-c", &format!("kill -TERM {}", self.child.id())]).status();
        let ended = wait_until(12_000, || matches!(self.child.try_wait(), Ok(Some(_))));
        if ended {
            note("agent has ended");
            self.child = spawn_agent(&self.dir, 1);
            note("agent started again");
        }
        ended
    }
}

fn spawn_agent(dir: &std::path::Path, start: u32) -> Child {
    let file = dir.join("agent.toml");
    spawn_command(
        &format!("exec target/release/lockpoint agent --config '{}'", file.display()),
        dir,
        &file,
        start,
    )
}

impl Drop for Agent {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let text = std::fs::read_to_string(self.dir.join("log-0")).unwrap_or_default();
        text.lines().take(60).for_each(|line| note(&format!("agent's log: {line}")));
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}

impl Drop for Controller {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        for start in 0..self.starts {
            let text = std::fs::read_to_string(self.dir.join(format!("log-{start}"))).unwrap_or_default();
            for line in text.lines().take(60) {
                note(&format!("controller's log {start}: {line}"));
            }
        }
        let _ = std::fs::remove_dir_all(&self.dir);
    }
}
