//! Stand-ins for the review's cases: callers, SIP call servers and the bulletin, on loopback addresses and the real
//! clock, with the standard library only. The controller itself is started by the deploy file's `run` line.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsRawFd;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

extern "C" {
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const u8, length: u32) -> i32;
    fn listen(fd: i32, backlog: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

/// This process ends with the one that started it (PR_SET_PDEATHSIG, SIGKILL), and after 115 s at the latest. The
/// controller ends with it in the same way.
pub fn end_with_parent() {
    unsafe { prctl(1, 9) };
    thread::spawn(|| {
        thread::sleep(Duration::from_secs(115));
        println!("could not run: not over after 115 s");
        std::process::exit(2);
    });
}

/// Ends a connection with a reset.
pub fn reset(stream: &TcpStream) {
    let linger: [i32; 2] = [1, 0];
    unsafe { setsockopt(stream.as_raw_fd(), 1, 13, linger.as_ptr().cast(), 8) };
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---- The record ------------------------------------------------------------------------------------------

#[derive(Clone)]
pub struct Log(Arc<(Instant, Mutex<File>)>);

impl Log {
    pub fn create(path: &str) -> Log {
        Log(Arc::new((Instant::now(), Mutex::new(File::create(path).expect("record.txt")))))
    }
    pub fn now(&self) -> u64 {
        self.0 .0.elapsed().as_millis() as u64
    }
    pub fn line(&self, text: &str) {
        let mut file = self.0 .1.lock().unwrap();
        let _ = writeln!(file, "{:>7} {text}", self.now());
    }
    /// Also on standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{text}");
    }
}

// ---- The bulletin ----------------------------------------------------------------------------------------

/// Spoils how a response is written; gets the stream and the whole response.
pub type Writing = Arc<dyn Fn(&mut TcpStream, &[u8]) + Send + Sync>;

#[derive(Clone)]
pub struct Bulletin {
    pub at: SocketAddr,
    events: Arc<Mutex<Vec<String>>>,
    pub writing: Arc<Mutex<Option<Writing>>>,
    log: Log,
}

pub fn host(name: &str, at: SocketAddr, cell: usize, health: &str, born_ms: u64) -> String {
    format!(
        "{{\"host\":\"{name}\",\"dial\":\"{at}\",\"site\":\"east\",\"class\":\"std\",\"block\":{cell},\"health\":\"{health}\",\"share\":1,\"born_ms\":{born_ms}}}"
    )
}

impl Bulletin {
    pub fn start(log: &Log) -> Bulletin {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let bulletin = Bulletin {
            at: listener.local_addr().unwrap(),
            events: Arc::default(),
            writing: Arc::default(),
            log: log.clone(),
        };
        let serving = bulletin.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        bulletin
    }
    pub fn publish(&self, whole: bool, hosts: &[String]) {
        let mut events = self.events.lock().unwrap();
        let no = events.len() + 1;
        let hosts = hosts.join(",");
        self.log.line(&format!("bulletin holds event {no} whole={whole} [{hosts}]"));
        events.push(format!("{{\"no\":{no},\"roster\":{{\"seq\":{no},\"whole\":{whole},\"hosts\":[{hosts}]}}}}"));
    }
    pub fn page(&self, after: usize) -> String {
        let events = self.events.lock().unwrap();
        let items = events.get(after.min(events.len())..).unwrap().join(",");
        format!("{{\"no\":{},\"items\":[{items}]}}", events.len())
    }
    fn serve(&self, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut bytes = Vec::new();
        loop {
            let end = loop {
                if let Some(at) = bytes.windows(4).position(|w| w == b"\r\n\r\n") {
                    break at + 4;
                }
                let mut chunk = [0; 2048];
                match stream.read(&mut chunk) {
                    Ok(n) if n > 0 => bytes.extend_from_slice(&chunk[..n]),
                    _ => return,
                }
            };
            let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
            bytes.drain(..end);
            let number = |key: &str| -> u64 {
                let at = head.find(key).map(|at| at + key.len());
                let digits = at.map(|at| head[at..].chars().take_while(char::is_ascii_digit).collect::<String>());
                digits.and_then(|d| d.parse().ok()).unwrap_or(0)
            };
            let (after, patience) = (number("after=") as usize, number("patience=").min(5000));
            let until = Instant::now() + Duration::from_millis(patience);
            while self.events.lock().unwrap().len() <= after && Instant::now() < until {
                sleep_ms(3);
            }
            let body = self.page(after);
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}", body.len());
            let writing = self.writing.lock().unwrap().clone();
            match writing {
                Some(writing) => writing(&mut stream, answer.as_bytes()),
                None => {
                    if stream.write_all(answer.as_bytes()).is_err() {
                        return;
                    }
                }
            }
        }
    }
}

// ---- A SIP call server -----------------------------------------------------------------------------------

pub struct Behaviour {
    /// Time from a set-up to its answer, in ms.
    pub answer_ms: u64,
    /// Time for which a call stands before the call server releases it, by its id, in ms.
    pub hold_ms: Box<dyn Fn(&str) -> u64 + Send + Sync>,
    /// Changes an answer before it is written; gets the call's id and the whole answer.
    pub spoil: Option<Box<dyn Fn(&str, String) -> String + Send + Sync>>,
}

#[derive(Clone)]
struct ServerCall {
    link: u64,
    stands: bool,
}

#[derive(Default)]
struct ServerState {
    links: BTreeMap<u64, Arc<Mutex<TcpStream>>>,
    next_link: u64,
    calls: BTreeMap<String, ServerCall>,
    /// The machine is cut off.
    lost: bool,
    /// Counts the processes that have run here.
    life: u64,
    /// Connections of earlier processes.
    dead_links: BTreeSet<u64>,
    told: usize,
    /// When each set-up came.
    invited: Vec<(u64, String)>,
    /// Releases since the last connection came up; they are also sent on the next one.
    also: Vec<String>,
}

#[derive(Clone)]
pub struct Server {
    pub name: String,
    pub at: SocketAddr,
    pub behaviour: Arc<Mutex<Behaviour>>,
    state: Arc<Mutex<ServerState>>,
    listener: Arc<TcpListener>,
    log: Log,
    fillers: Arc<Mutex<Vec<TcpStream>>>,
}

pub const LINES: usize = 400;

impl Server {
    pub fn start(log: &Log, name: &str, behaviour: Behaviour) -> Server {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        // A short queue: a machine that is cut off then lets no new connection come up.
        unsafe { listen(listener.as_raw_fd(), 8) };
        listener.set_nonblocking(true).unwrap();
        let server = Server {
            name: name.to_owned(),
            at: listener.local_addr().unwrap(),
            behaviour: Arc::new(Mutex::new(behaviour)),
            state: Arc::default(),
            listener: Arc::new(listener),
            log: log.clone(),
            fillers: Arc::default(),
        };
        let accepting = server.clone();
        thread::spawn(move || loop {
            if accepting.state.lock().unwrap().lost {
                sleep_ms(2);
                continue;
            }
            match accepting.listener.accept() {
                Ok((stream, from)) => {
                    let own = accepting.fillers.lock().unwrap().iter().any(|f| f.local_addr().ok() == Some(from));
                    if own {
                        continue;
                    }
                    let serving = accepting.clone();
                    thread::spawn(move || serving.serve(stream));
                }
                Err(_) => sleep_ms(2),
            }
        });
        let telling = server.clone();
        thread::spawn(move || loop {
            sleep_ms(1000);
            telling.tell_if_changed();
        });
        server
    }

    fn note(&self, text: &str) {
        self.log.line(&format!("{} {text}", self.name));
    }

    /// The number of calls that stand here.
    pub fn standing(&self) -> Vec<String> {
        let state = self.state.lock().unwrap();
        state.calls.iter().filter(|(_, c)| c.stands).map(|(sid, _)| sid.clone()).collect()
    }

    pub fn invited(&self) -> Vec<(u64, String)> {
        self.state.lock().unwrap().invited.clone()
    }

    pub fn links(&self) -> usize {
        let state = self.state.lock().unwrap();
        state.links.len() - state.dead_links.len()
    }

    fn report(&self, state: &ServerState) -> String {
        format!("x0:{};x1:{LINES};util:0.3;queue:0", LINES - state.calls.len().min(LINES))
    }

    /// The group's state, unasked, when its free circuits have changed; on four connections at most.
    fn tell_if_changed(&self) {
        let mut state = self.state.lock().unwrap();
        if state.lost || state.told == state.calls.len() {
            return;
        }
        state.told = state.calls.len();
        let notify = notify(&self.report(&state));
        for (no, link) in state.links.iter().filter(|(no, _)| !state.dead_links.contains(no)).take(4) {
            let _ = no;
            let _ = link.lock().unwrap().write_all(notify.as_bytes());
        }
    }

    /// The machine is cut off: its connections stay open and silent, and new ones never come up.
    pub fn cut_off(&self) -> Vec<String> {
        let standing = self.standing();
        self.state.lock().unwrap().lost = true;
        sleep_ms(5);
        unsafe { listen(self.listener.as_raw_fd(), 0) };
        // Fill the queue of connections, so that no further one comes up.
        for _ in 0..32 {
            match TcpStream::connect_timeout(&self.at, Duration::from_millis(60)) {
                Ok(stream) => self.fillers.lock().unwrap().push(stream),
                Err(_) => break,
            }
        }
        self.note(&format!("machine cut off; {} calls stood here", standing.len()));
        standing
    }

    /// The machine is back with a new process, which knows nothing of earlier calls. Returns when it started.
    pub fn back_cold(&self) -> u64 {
        let mut state = self.state.lock().unwrap();
        state.life += 1;
        state.calls.clear();
        state.also.clear();
        state.told = 0;
        let old: Vec<u64> = state.links.keys().copied().collect();
        state.dead_links.extend(old);
        state.lost = false;
        unsafe { listen(self.listener.as_raw_fd(), 64) };
        drop(state);
        self.note("machine back, cold, with a new process");
        unix_ms()
    }

    fn serve(self, stream: TcpStream) {
        let _ = stream.set_nonblocking(false);
        let _ = stream.set_nodelay(true);
        let mut reading = stream.try_clone().unwrap();
        let link = Arc::new(Mutex::new(stream));
        let no = {
            let mut state = self.state.lock().unwrap();
            let no = state.next_link;
            state.next_link += 1;
            let mut first = notify(&self.report(&state));
            for bye in std::mem::take(&mut state.also) {
                first.push_str(&bye);
            }
            let _ = link.lock().unwrap().write_all(first.as_bytes());
            state.links.insert(no, link.clone());
            self.note(&format!("connection {no} came up; {} open", state.links.len() - state.dead_links.len()));
            no
        };
        let mut bytes: Vec<u8> = Vec::new();
        'reading: loop {
            let mut chunk = [0; 8192];
            let n = match reading.read(&mut chunk) {
                Ok(n) if n > 0 => n,
                _ => break,
            };
            // What is sent to a machine that is cut off never arrives.
            {
                let state = self.state.lock().unwrap();
                if state.dead_links.contains(&no) {
                    drop(state);
                    self.note(&format!("connection {no} is of an earlier process: reset"));
                    reset(&reading);
                    break;
                }
                if state.lost {
                    continue;
                }
            }
            bytes.extend_from_slice(&chunk[..n]);
            while let Some(end) = bytes.windows(4).position(|w| w == b"\r\n\r\n").map(|at| at + 4) {
                let head = String::from_utf8_lossy(&bytes[..end]).into_owned();
                let length: usize = header(&head, "Content-Length").and_then(|l| l.parse().ok()).unwrap_or(0);
                if bytes.len() < end + length {
                    continue 'reading;
                }
                let body = String::from_utf8_lossy(&bytes[end..end + length]).into_owned();
                bytes.drain(..end + length);
                self.message(no, &link, &head, &body);
            }
        }
        self.note(&format!("connection {no} ended"));
        let mut state = self.state.lock().unwrap();
        state.links.remove(&no);
        state.dead_links.remove(&no);
        // Closing a connection gives up the set-ups open on it. No connection owns a call that stands.
        state.calls.retain(|_, call| call.link != no || call.stands);
    }

    fn message(&self, no: u64, link: &Arc<Mutex<TcpStream>>, head: &str, body: &str) {
        let sid = header(head, "Call-ID").unwrap_or_default();
        let cseq = header(head, "CSeq").unwrap_or_default();
        let method = head.split(' ').next().unwrap_or_default().to_owned();
        match method.as_str() {
            "INVITE" => {
                let left = header(head, "P-Time-Left").unwrap_or_default();
                self.note(&format!("got INVITE {sid} on connection {no}, left {left}"));
                let life = {
                    let mut state = self.state.lock().unwrap();
                    let now = self.log.now();
                    state.invited.push((now, sid.clone()));
                    state.calls.insert(sid.clone(), ServerCall { link: no, stands: false });
                    state.life
                };
                let (server, link, body) = (self.clone(), link.clone(), body.to_owned());
                thread::spawn(move || server.run_call(life, no, &link, &sid, &cseq, &body));
            }
            "CANCEL" => {
                let mut state = self.state.lock().unwrap();
                let dropped = state.calls.get(&sid).is_some_and(|call| !call.stands);
                if dropped {
                    state.calls.remove(&sid);
                }
                self.note(&format!("got CANCEL {sid}; dropped={dropped}"));
            }
            "BYE" => {
                let ended = self.state.lock().unwrap().calls.remove(&sid).is_some();
                self.note(&format!("got BYE {sid}; stood here={ended}"));
                let _ = link.lock().unwrap().write_all(ok(&sid, &cseq).as_bytes());
            }
            _ => {}
        }
    }

    fn run_call(&self, life: u64, no: u64, link: &Arc<Mutex<TcpStream>>, sid: &str, cseq: &str, offer: &str) {
        let (wait, hold) = {
            let behaviour = self.behaviour.lock().unwrap();
            (behaviour.answer_ms, (behaviour.hold_ms)(sid))
        };
        sleep_ms(wait);
        {
            let mut state = self.state.lock().unwrap();
            if state.life != life || state.lost {
                return;
            }
            let Some(call) = state.calls.get_mut(sid) else { return };
            call.stands = true;
        }
        let description = answer_text(sid, offer);
        let mut answer = format!(
            "SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {sid}\r\nCSeq: {cseq}\r\nContent-Length: {}\r\n\r\n{description}",
            description.len()
        );
        if let Some(spoil) = &self.behaviour.lock().unwrap().spoil {
            answer = spoil(sid, answer);
        }
        self.note(&format!("sends 200 {sid} on connection {no}: the call stands"));
        let _ = link.lock().unwrap().write_all(answer.as_bytes());
        sleep_ms(hold);
        let mut state = self.state.lock().unwrap();
        if state.life != life || state.lost || state.calls.remove(sid).is_none() {
            return;
        }
        let bye = format!(
            "BYE sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {sid}\r\nCSeq: 2 BYE\r\nReason: Q.850;cause=16\r\nContent-Length: 0\r\n\r\n"
        );
        let dead = state.dead_links.clone();
        let own = state.links.get(&no).cloned();
        let any = || state.links.iter().find(|(no, _)| !dead.contains(no)).map(|(_, l)| l.clone());
        self.note(&format!("releases {sid} with cause 16"));
        if let Some(link) = own.or_else(any) {
            let _ = link.lock().unwrap().write_all(bye.as_bytes());
        }
        state.also.push(bye);
    }
}

/// The calls of which a set-up has come to any of these call servers.
pub fn sent_on(servers: &[Server]) -> BTreeSet<String> {
    servers.iter().flat_map(|server| server.invited()).map(|(_, sid)| sid).collect()
}

pub fn answer_text(sid: &str, _offer: &str) -> String {
    format!("{sid}\r\nc=IN IP4 10.4.7.9\r\nm=audio 31000 RTP/AVP 0 8 101\r\n")
}

fn notify(report: &str) -> String {
    format!(
        "NOTIFY sip:peer@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 0000000000000000\r\nCSeq: 1 NOTIFY\r\nP-Report: {report}\r\nContent-Length: 0\r\n\r\n"
    )
}

fn ok(sid: &str, cseq: &str) -> String {
    format!("SIP/2.0 200 OK\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {sid}\r\nCSeq: {cseq}\r\nContent-Length: 0\r\n\r\n")
}

pub fn header(head: &str, name: &str) -> Option<String> {
    head.split("\r\n").skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

// ---- Callers ---------------------------------------------------------------------------------------------

/// What a caller has heard of a call: (ms, "ready" or "close", description, cause).
#[derive(Debug, Clone)]
pub struct Heard {
    pub at: u64,
    pub msg: String,
    pub text: String,
    pub code: i64,
}

#[derive(Clone)]
pub struct Caller {
    name: String,
    stream: Arc<Mutex<TcpStream>>,
    heard: Arc<Mutex<BTreeMap<String, Vec<Heard>>>>,
    ended: Arc<Mutex<Option<u64>>>,
    log: Log,
}

impl Caller {
    pub fn connect(log: &Log, name: &str, to: SocketAddr) -> Option<Caller> {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(2)).ok()?;
        let _ = stream.set_nodelay(true);
        let mut reading = stream.try_clone().ok()?;
        let caller = Caller {
            name: name.to_owned(),
            stream: Arc::new(Mutex::new(stream)),
            heard: Arc::default(),
            ended: Arc::default(),
            log: log.clone(),
        };
        caller.log.line(&format!("{name} connects"));
        let own = caller.clone();
        thread::spawn(move || {
            let mut bytes = Vec::new();
            let mut chunk = [0; 8192];
            while let Ok(n) = reading.read(&mut chunk) {
                if n == 0 {
                    break;
                }
                bytes.extend_from_slice(&chunk[..n]);
                while let Some(at) = bytes.iter().position(|b| *b == b'\n') {
                    let line: Vec<u8> = bytes.drain(..=at).collect();
                    own.line(&String::from_utf8_lossy(&line));
                }
            }
            own.log.line(&format!("{} connection closed by the controller or the test", own.name));
            *own.ended.lock().unwrap() = Some(own.log.now());
        });
        Some(caller)
    }
    fn line(&self, line: &str) {
        let (msg, sid) = (field(line, "msg"), field(line, "sid"));
        if msg == "trying" || msg == "probed" {
            return;
        }
        let code = number_field(line, "code");
        let text = field(line, "text");
        self.log.line(&format!("{} hears {}", self.name, line.trim()));
        let heard = Heard { at: self.log.now(), msg: msg.clone(), text, code };
        self.heard.lock().unwrap().entry(sid.clone()).or_default().push(heard);
        if msg == "close" {
            self.write(&format!("{{\"msg\":\"closed\",\"sid\":\"{sid}\",\"attrs\":{{}}}}\n"));
        }
    }
    pub fn write(&self, text: &str) {
        let _ = self.stream.lock().unwrap().write_all(text.as_bytes());
    }
    /// Writes a message in two pieces; nothing else goes out between them.
    pub fn write_in_two(&self, text: &str, at: usize, pause_ms: u64) {
        let mut stream = self.stream.lock().unwrap();
        let _ = stream.write_all(&text.as_bytes()[..at]);
        sleep_ms(pause_ms);
        let _ = stream.write_all(&text.as_bytes()[at..]);
    }
    pub fn open_line(sid: &str, dest: usize, left: u64) -> String {
        format!(
            "{{\"msg\":\"open\",\"sid\":\"{sid}\",\"attrs\":{{\"class\":\"judge-call\",\"left\":\"{left}\",\"key\":\"7f3a9c21e0b4d655\",\"extras\":\"dest:{dest};width:1;via:-1\"}},\"text\":\"{sid}\\r\\nc=IN IP4 10.4.7.8\\r\\n\"}}\n"
        )
    }
    pub fn open(&self, sid: &str, dest: usize, left: u64) {
        self.log.line(&format!("{} sends set-up {sid} dest {dest} left {left}", self.name));
        self.write(&Caller::open_line(sid, dest, left));
    }
    pub fn heard(&self, sid: &str) -> Vec<Heard> {
        self.heard.lock().unwrap().get(sid).cloned().unwrap_or_default()
    }
    pub fn stood(&self, sid: &str) -> Option<Heard> {
        self.heard(sid).into_iter().find(|h| h.msg == "ready")
    }
    pub fn released(&self, sid: &str) -> Option<Heard> {
        self.heard(sid).into_iter().find(|h| h.msg == "close")
    }
    pub fn hang_up(&self, sid: &str) {
        self.log.line(&format!("{} hangs up {sid}", self.name));
        self.write(&format!("{{\"msg\":\"close\",\"sid\":\"{sid}\",\"attrs\":{{}},\"code\":16}}\n"));
    }
    pub fn confirmed(&self, sid: &str) -> bool {
        self.heard(sid).iter().any(|h| h.msg == "closed")
    }
    pub fn ended_at(&self) -> Option<u64> {
        *self.ended.lock().unwrap()
    }
    pub fn close(&self) {
        let _ = self.stream.lock().unwrap().shutdown(std::net::Shutdown::Both);
    }
}

fn field(line: &str, name: &str) -> String {
    let key = format!("\"{name}\":\"");
    let Some(at) = line.find(&key).map(|at| at + key.len()) else { return String::new() };
    let (mut text, mut rest) = (String::new(), line[at..].chars());
    while let Some(c) = rest.next() {
        match c {
            '"' => break,
            '\\' => match rest.next() {
                Some('r') => text.push('\r'),
                Some('n') => text.push('\n'),
                Some(other) => text.push(other),
                None => break,
            },
            c => text.push(c),
        }
    }
    text
}

fn number_field(line: &str, name: &str) -> i64 {
    let key = format!("\"{name}\":");
    let Some(at) = line.find(&key).map(|at| at + key.len()) else { return -1 };
    line[at..].chars().take_while(|c| c.is_ascii_digit() || *c == '-').collect::<String>().parse().unwrap_or(-1)
}

pub fn sid(kind: u64, n: u64) -> String {
    format!("{:016x}", 0x9b1f_0000_0000_0000u64 + (kind << 24) + n)
}

// ---- The controller --------------------------------------------------------------------------------------

pub fn free_port() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

pub fn settings(cells: usize) -> String {
    let cells: Vec<String> = (0..cells).map(|c| c.to_string()).collect();
    format!(
        r#"{{"balancers":1,
"bounds":{{"cancel":true,"conn-idle-us":600000000,"connect-timeout-us":500000,"cpu-us-per-request":0.0,"cpu-us-per-s":400000,"max-attempts":5,"max-retry-after-us":2000000,"may-tell":true,"most-held":20000,"probing":false,"retry-after":true,"second-copies":false,"streams-per-conn":1048576}},
"classes":[{{"dedup-scope":"all","goal-time-us":2000000,"hard-limit-us":9000000,"late-worth":0.1,"name":"judge-call","semantics":"free","streamed":true,"window-us":5000000,"worth":1.0}}],
"client-habits":{{"marks-retry":false}},
"costs":{{"connection":0.0,"cross-zone":0.0,"discovery":0.0,"handshake":0.0,"late-fail":0.027,"moves":0.0,"origin":0.0,"peer":0.0087,"probe":0.0,"waste":0.02}},
"discovery":"push",
"extra":{{"class-cells":[[{}]],"clear-wait-us":500000,"far-state":"inline","hints-route":false,"holding-us":[9800000],"retransmit-us":400000,"says-wait":true,"shape":"skills","this-node":-1,"widths":[1]}},
"family":"trunks","flavors":["single-core"],
"goal":{{"whole":0.85,"worst-class":0.0,"worst-tenant":0.0,"worst-window":0.15}},
"granularity-us":5000,"me":0,"my-zone":0,"over-share-worth":0.1,"parties":[],
"report":{{"how":"inline","names":["idle","circuits","cpu_share","pending"]}},
"rules":{{"answer-slack-us":20000,"ask-every-us":10000000,"cold-share":0.36,"cold-us":14000000,"overload-factor":2.5,"stop-sending-within-us":250000,"tip-after-us":1000000}},
"stages":["call-servers"],"tier":0,"value-by":"request","weight-source":"off","zones":["east"]}}"#,
        cells.join(",")
    )
}

pub struct Controller {
    pub child: Child,
    pub at: SocketAddr,
    pub dir: PathBuf,
}

impl Controller {
    /// Starts the deploy file's `run` line, as the platform does.
    pub fn start(log: &Log, bulletin: &Bulletin, cells: usize) -> Controller {
        Controller::start_with(log, bulletin, cells, 192)
    }
    pub fn start_with(log: &Log, bulletin: &Bulletin, cells: usize, memory_mb: usize) -> Controller {
        let at = free_port();
        let dir = std::env::temp_dir().join(format!("review-{}-{}", std::process::id(), at.port()));
        std::fs::create_dir_all(dir.join("tmp")).unwrap();
        let config = dir.join("config.json");
        let text = format!(
            "{{\"name\":\"n1\",\"listen\":\"{at}\",\"seed\":\"8c1f30d27a5be964\",\"limits\":{{\"cores\":1.0,\"memory_mb\":{memory_mb},\"sockets\":1024}},\"bulletin\":\"{}\",\"known\":{},\"settings\":{}}}",
            bulletin.at,
            bulletin.page(0),
            settings(cells)
        );
        std::fs::write(&config, text).unwrap();
        let child = spawn(&dir, at);
        log.line(&format!("controller started, listens at {at}"));
        let mut controller = Controller { child, at, dir };
        controller.wait_until_ready(log);
        controller
    }
    fn passes_test(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.at, Duration::from_millis(300)) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_millis(500)));
        let _ = stream.write_all(b"{\"msg\":\"probe\",\"sid\":\"0000000000000001\",\"attrs\":{},\"code\":0}\n");
        let mut chunk = [0; 512];
        let n = stream.read(&mut chunk).unwrap_or(0);
        String::from_utf8_lossy(&chunk[..n]).contains("\"code\":1")
    }
    /// Kills the process and starts it again, with its name and addresses.
    pub fn restart(&mut self, log: &Log) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        log.line("controller killed outright; it starts again");
        self.child = spawn(&self.dir, self.at);
        self.wait_until_ready(log);
    }
    fn wait_until_ready(&mut self, log: &Log) {
        let until = Instant::now() + Duration::from_secs(10);
        while Instant::now() < until {
            if self.passes_test() {
                return log.line("controller passes a test");
            }
            sleep_ms(20);
        }
        println!("the controller did not become ready");
        self.stop();
        std::process::exit(2);
    }
    pub fn has_ended(&mut self) -> bool {
        !matches!(self.child.try_wait(), Ok(None))
    }
    /// The process is the controller itself, since the shell replaces itself with it.
    pub fn stop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if std::env::var("KEEP").is_ok() {
            println!("kept {}", self.dir.display());
        } else {
            let _ = std::fs::remove_dir_all(&self.dir);
        }
    }
}

fn spawn(dir: &std::path::Path, at: SocketAddr) -> Child {
    let log = File::options().create(true).append(true).open(dir.join("controller.log"));
    let mut command = Command::new("/bin/sh");
    // It ends with this process, in whatever way that ends (PR_SET_PDEATHSIG, SIGKILL).
    unsafe {
        command.pre_exec(|| {
            prctl(1, 9);
            Ok(())
        })
    };
    command
        .args(["-c", &run_line()])
        .env("ROUTER_NAME", "n1")
        .env("ROUTER_LISTEN", at.to_string())
        .env("ROUTER_CONFIG", dir.join("config.json"))
        .env("TMPDIR", dir.join("tmp"))
        .env_remove("ROUTER_FD")
        .env_remove("ROUTER_CONSOLE")
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(log.map(Stdio::from).unwrap_or_else(|_| Stdio::null()))
        .process_group(0)
        .spawn()
        .expect("the controller starts")
}

/// `run` of the deploy file.
fn run_line() -> String {
    let text = std::fs::read_to_string("deploy/balancer.toml").expect("started from the repository's root");
    let line = text.lines().find(|line| line.starts_with("run =")).expect("run");
    line.split('"').nth(1).expect("a string").to_owned()
}

pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// Ends the case: 1 where the rule was broken, 0 where it held.
pub fn finish(mut controller: Controller, log: &Log, broken: &[String], could_not_run: Option<String>) -> ! {
    let could_not_run = could_not_run.or_else(|| controller.has_ended().then(|| "the controller ended by itself".to_owned()));
    controller.stop();
    if let Some(why) = could_not_run {
        log.say(&format!("could not run: {why}"));
        std::process::exit(2);
    }
    for line in broken {
        log.say(&format!("BROKEN: {line}"));
    }
    log.say(if broken.is_empty() { "the rule held" } else { "the rule was broken" });
    std::process::exit(i32::from(!broken.is_empty()));
}
