//! The operators' console: a TCP connection carries one command line, gets its reply and is closed.

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

/// The longest command line.
const MAX_LINE_BYTES: usize = 128;
/// A connection without a whole command line after this time gets an error and is closed.
const COMMAND_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for a client to read its reply.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);

/// Time that the command-line tool waits for a reply.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(3);
/// The longest reply that the command-line tool reads.
const MAX_REPLY_BYTES: u64 = 1 << 20;

/// A command on the console.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConsoleCommand {
    /// Whether this process can serve.
    Ping,
    /// The metrics.
    Info,
    /// Drain the controller.
    Lameduck,
    /// Resume normal work.
    Rejoin,
}

/// Why a line is not a command.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
pub enum CommandError {
    /// No such command.
    #[error("unknown command '{0}'; commands are PING, INFO, LAMEDUCK and REJOIN")]
    Unknown(String),
    /// The line is longer than any command.
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    TooLong,
    /// The connection ended or timed out before the end of the line.
    #[error("incomplete line")]
    Incomplete,
}

/// The reply to a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ConsoleReply {
    /// Success, with a short text. A reply of several lines ends with `EOT`.
    Success(&'static str, Option<String>),
    /// Failure, with the reason.
    Failure(String),
}

impl ConsoleCommand {
    /// Parses a line without its line end.
    pub fn parse(line: &[u8]) -> Result<ConsoleCommand, CommandError> {
        let text = String::from_utf8_lossy(line);
        match text.trim() {
            "PING" => Ok(ConsoleCommand::Ping),
            "INFO" => Ok(ConsoleCommand::Info),
            "LAMEDUCK" => Ok(ConsoleCommand::Lameduck),
            "REJOIN" => Ok(ConsoleCommand::Rejoin),
            other => Err(CommandError::Unknown(other.chars().filter(|c| !c.is_control()).take(32).collect())),
        }
    }
    /// The command as it is written on the console.
    pub fn name(self) -> &'static str {
        match self {
            ConsoleCommand::Ping => "PING",
            ConsoleCommand::Info => "INFO",
            ConsoleCommand::Lameduck => "LAMEDUCK",
            ConsoleCommand::Rejoin => "REJOIN",
        }
    }
}

impl std::fmt::Display for ConsoleReply {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            ConsoleReply::Success(text, None) => writeln!(f, "SUCCESS {text}"),
            ConsoleReply::Success(text, Some(lines)) => write!(f, "SUCCESS {text}\n{lines}EOT\n"),
            ConsoleReply::Failure(why) => writeln!(f, "FAILURE {why}"),
        }
    }
}

/// Sends a command to the console at this address, as the command-line tool does. Returns the unparsed reply.
pub async fn send_command(address: SocketAddr, command: ConsoleCommand) -> io::Result<String> {
    let exchange = async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(format!("{}\n", command.name()).as_bytes()).await?;
        let mut text = String::new();
        stream.take(MAX_REPLY_BYTES).read_to_string(&mut text).await?;
        Ok(text)
    };
    timeout(CLIENT_TIMEOUT, exchange).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
}

/// Connections that have not sent a whole line yet, oldest first. Guards against silent and half-sent commands that
/// use up the console's descriptors and keep a real command from its reply.
#[derive(Debug, Default)]
struct Waiting {
    all: RefCell<BTreeMap<u64, Rc<Notify>>>,
    open: Cell<usize>,
    next: Cell<u64>,
    closed: Notify,
}

impl Waiting {
    fn add(self: &Rc<Self>) -> WaitingConnection {
        let (no, evicted) = (self.next.get(), Rc::new(Notify::new()));
        self.next.set(no + 1);
        self.open.set(self.open.get() + 1);
        self.all.borrow_mut().insert(no, evicted.clone());
        WaitingConnection { waiting: self.clone(), no, evicted }
    }
    /// Closes the oldest waiting connection.
    fn evict_oldest(&self) {
        if let Some((_, evicted)) = self.all.borrow_mut().pop_first() {
            evicted.notify_one();
        }
    }
}

/// One connection's place among those allowed; freed when dropped.
struct WaitingConnection {
    waiting: Rc<Waiting>,
    no: u64,
    evicted: Rc<Notify>,
}

impl WaitingConnection {
    /// Its line is whole: it is not evicted any more.
    fn command_received(&self) {
        self.waiting.all.borrow_mut().remove(&self.no);
    }
}

impl Drop for WaitingConnection {
    fn drop(&mut self) {
        self.command_received();
        self.waiting.open.set(self.waiting.open.get() - 1);
        self.waiting.closed.notify_one();
    }
}

/// Serves operators, at most `max_connections` at once; never returns.
pub async fn serve(
    listener: Rc<TcpListener>,
    max_connections: usize,
    execute: impl Fn(ConsoleCommand) -> ConsoleReply + Clone + 'static,
) {
    let waiting = Rc::new(Waiting::default());
    loop {
        while waiting.open.get() >= max_connections {
            waiting.evict_oldest();
            waiting.closed.notified().await;
        }
        match listener.accept().await {
            Ok((stream, _)) => {
                let (connection, execute) = (waiting.add(), execute.clone());
                spawn_local(async move {
                    let line = tokio::select! {
                        line = read_line(&stream) => line,
                        _ = connection.evicted.notified() => {
                            let _ = stream.try_write(b"FAILURE no command received and others are waiting\n");
                            return;
                        }
                    };
                    connection.command_received();
                    let reply = match line.and_then(|line| ConsoleCommand::parse(&line)) {
                        Ok(command) => execute(command),
                        Err(error) => ConsoleReply::Failure(error.to_string()),
                    };
                    if matches!(
                        timeout(REPLY_TIMEOUT, write_reply(&stream, &reply.to_string())).await,
                        Ok(Ok(()))
                    ) {
                        // Guards against a reset that destroys the reply when the client has sent more than was read.
                        close_discarding_input(&stream).await;
                    }
                });
                // Many console connections must not delay callers.
                tokio::task::yield_now().await;
            }
            Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn read_line(stream: &TcpStream) -> Result<Vec<u8>, CommandError> {
    let (until, mut line) = (Instant::now() + COMMAND_TIMEOUT, Vec::new());
    loop {
        let mut chunk = [0; MAX_LINE_BYTES];
        match timeout_at(until, stream.readable()).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => return Err(CommandError::Incomplete),
        }
        match stream.try_read(&mut chunk) {
            Ok(0) => return Err(CommandError::Incomplete),
            Ok(n) => line.extend_from_slice(&chunk[..n]),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
            Err(_) => return Err(CommandError::Incomplete),
        }
        if let Some(end) = line.iter().position(|byte| *byte == b'\n') {
            line.truncate(end);
            return if line.len() > MAX_LINE_BYTES { Err(CommandError::TooLong) } else { Ok(line) };
        }
        if line.len() > MAX_LINE_BYTES {
            return Err(CommandError::TooLong);
        }
    }
}

async fn write_reply(stream: &TcpStream, text: &str) -> io::Result<()> {
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
