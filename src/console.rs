//! The operators' door: a TCP connection carries one line, and is answered and ended.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{timeout, timeout_at, Instant};

use crate::net::conn::close_discarding_input;

/// The longest line that is read.
const LONGEST: usize = 128;
/// Who has said no whole line by then hears so and is let go.
const PATIENCE: Duration = Duration::from_secs(5);
/// Who does not read its answer within this loses it.
const READ_WITHIN: Duration = Duration::from_secs(1);

/// The tool waits so long for an answer, and reads so much of it.
const ASKS_FOR: Duration = Duration::from_secs(3);
const MOST_ANSWERED: u64 = 1 << 20;

/// What may be called.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Call {
    /// Can this process serve?
    Ping,
    /// The figures.
    Info,
    /// Empty the controller.
    Lameduck,
    /// Back to work.
    Rejoin,
}

/// A line that is no call.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum NoCall {
    /// It names nothing that is known here.
    #[error("unknown call '{0}'; known are PING, INFO, LAMEDUCK and REJOIN")]
    Unknown(String),
    /// It is longer than any call.
    #[error("a line of more than {LONGEST} bytes")]
    TooLong,
    /// The caller ended it half-way, or took too long over it.
    #[error("the line has no end")]
    NoEnd,
}

/// An answer to a call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Answer {
    /// It is so, or it is done: a few words, and lines that end with `EOT` where some were asked for.
    Success(&'static str, Option<String>),
    /// It is not, and why.
    Failure(String),
}

impl Call {
    /// Reads a line, without its end.
    pub fn parse(line: &[u8]) -> Result<Call, NoCall> {
        let text = String::from_utf8_lossy(line);
        match text.trim() {
            "PING" => Ok(Call::Ping),
            "INFO" => Ok(Call::Info),
            "LAMEDUCK" => Ok(Call::Lameduck),
            "REJOIN" => Ok(Call::Rejoin),
            other => Err(NoCall::Unknown(other.chars().filter(|c| !c.is_control()).take(32).collect())),
        }
    }
    /// The call as it is written.
    pub fn word(self) -> &'static str {
        match self {
            Call::Ping => "PING",
            Call::Info => "INFO",
            Call::Lameduck => "LAMEDUCK",
            Call::Rejoin => "REJOIN",
        }
    }
}

impl std::fmt::Display for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            Answer::Success(what, None) => writeln!(f, "SUCCESS {what}"),
            Answer::Success(what, Some(lines)) => write!(f, "SUCCESS {what}\n{lines}EOT\n"),
            Answer::Failure(why) => writeln!(f, "FAILURE {why}"),
        }
    }
}

/// Calls the console at this address, as the tool does: its answer as it came.
pub async fn ask(address: SocketAddr, call: Call) -> io::Result<String> {
    let talk = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{}\n", call.word()).as_bytes()).await?;
        let mut text = String::new();
        stream.take(MOST_ANSWERED).read_to_string(&mut text).await?;
        Ok(text)
    };
    timeout(ASKS_FOR, talk).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Those who have said no whole line yet, oldest first. Guards against silent and half-said calls that hold all
/// descriptors that are set aside, and keep a real one from its answer.
#[derive(Debug, Default)]
struct Waiting {
    all: RefCell<BTreeMap<u64, Rc<Notify>>>,
    held: Cell<usize>,
    next: Cell<u64>,
    free: Notify,
}

impl Waiting {
    fn come(self: &Rc<Self>) -> Held {
        let (no, go) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(no + 1);
        self.held.set(self.held.get() + 1);
        self.all.borrow_mut().insert(no, go.clone());
        Held { waiting: self.clone(), no, go }
    }
    /// Sends the oldest away.
    fn make_room(&self) {
        if let Some((_, go)) = self.all.borrow_mut().pop_first() {
            go.notify_one();
        }
    }
}

/// One connection's place; given back when dropped.
struct Held {
    waiting: Rc<Waiting>,
    no: u64,
    go: Rc<Notify>,
}

impl Held {
    /// Its line is whole: it need not go any more.
    fn said(&self) {
        self.waiting.all.borrow_mut().remove(&self.no);
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.said();
        self.waiting.held.set(self.waiting.held.get() - 1);
        self.waiting.free.notify_one();
    }
}

/// Answers operators for good, at most `most` at once.
pub async fn serve(
    listener: Rc<TcpListener>,
    most: usize,
    answer: impl Fn(Call) -> Answer + Clone + 'static,
) {
    let waiting = Rc::new(Waiting::default());
    loop {
        while waiting.held.get() >= most {
            waiting.make_room();
            waiting.free.notified().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (held, answer) = (waiting.come(), answer.clone());
                spawn_local(async move {
                    let line = tokio::select! {
                        line = hear(&stream) => line,
                        _ = held.go.notified() => {
                            let _ = stream.try_write(b"FAILURE no line came, and others wait\n");
                            return;
                        }
                    };
                    held.said();
                    let told = match line.and_then(|line| Call::parse(&line)) {
                        Ok(call) => answer(call),
                        Err(error) => Answer::Failure(error.to_string()),
                    };
                    if matches!(timeout(READ_WITHIN, tell(&stream, &told.to_string())).await, Ok(Ok(()))) {
                        // Guards against a reset that destroys the answer where more had come than was read.
                        close_discarding_input(&stream).await;
                    }
                });
                // A crowd at this door must not keep callers waiting.
                tokio::task::yield_now().await;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn hear(stream: &TcpStream) -> Result<Vec<u8>, NoCall> {
    let (until, mut line) = (Instant::now() + PATIENCE, Vec::new());
    loop {
        let mut chunk = [0; LONGEST];
        match timeout_at(until, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Err(NoCall::NoEnd),
        }
        match stream.try_read(&mut chunk) {
            Ok(0) => return Err(NoCall::NoEnd),
            Ok(n) => line.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return Err(NoCall::NoEnd),
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return if line.len() > LONGEST { Err(NoCall::TooLong) } else { Ok(line) };
        }
        if line.len() > LONGEST {
            return Err(NoCall::TooLong);
        }
    }
}

async fn tell(stream: &TcpStream, text: &str) -> io::Result<()> {
    let mut left = text.as_bytes();
    while !left.is_empty() {
        stream.writable().await?;
        match stream.try_write(left) {
            Ok(n) => left = &left[n..],
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
            Err(e) => return Err(e),
        }
    }
    Ok(())
}
