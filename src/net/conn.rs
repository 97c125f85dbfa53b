//! One TCP connection: reads into a pooled buffer, writes from its queue, until either side ends it.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::net::pool::{Buffer, BufferPool, BUFFER_BYTES};
use crate::net::queue::WriteQueue;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The other side closed it in order.
    #[error("closed by the other side")]
    Closed,
    /// It was reset.
    #[error("reset")]
    Reset,
    /// This side ended it.
    #[error("ended here")]
    ClosedHere,
    /// What came cannot be read; the place of the next message is lost.
    #[error("unreadable bytes")]
    Malformed,
    /// A message began and did not come to its end in time.
    #[error("a message that stopped short")]
    Incomplete,
    /// All buffers were lent.
    #[error("no buffer was free")]
    NoBuffer,
}

/// The bytes are no messages: the connection must end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("unreadable bytes")]
pub struct MalformedInput;

/// What a wire does with a connection's bytes.
pub trait MessageReader {
    /// Takes the whole messages at the start of `bytes` and says how many bytes they were.
    fn read(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput>;
    /// The other side writes no more: it has closed the connection, or only its half. `true`: go on writing until the
    /// queue is told to finish.
    fn end_of_stream(&mut self) -> bool;
    /// How long a message may take from its first byte to its last.
    fn message_timeout(&self) -> Duration;
}

/// A connection's socket, and the part of a message that was read from it.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    part: RefCell<Option<Buffer>>,
}

impl Connection {
    /// One that has just been made.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, part: RefCell::default() }
    }
    /// One that another process has read from; `None`: there is no buffer for what it had read.
    pub fn resume(stream: TcpStream, read: &[u8], pool: &BufferPool) -> Option<Self> {
        let line = Self::new(stream);
        if !read.is_empty() {
            let mut buffer = pool.take().filter(|_| read.len() <= BUFFER_BYTES)?;
            buffer.room()[..read.len()].copy_from_slice(read);
            buffer.add(read.len());
            *line.part.borrow_mut() = Some(buffer);
        }
        Some(line)
    }
    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
    /// Whether a message has begun and is not whole.
    pub fn has_partial_message(&self) -> bool {
        self.part.borrow().is_some()
    }
    /// What has been read and belongs to no whole message yet.
    pub fn partial_message(&self) -> Vec<u8> {
        self.part.borrow().as_ref().map(|buffer| buffer.filled().to_vec()).unwrap_or_default()
    }
}

/// A connection that is turned away is read this seldom. What it says costs us little, and that its other side has left
/// is heard all the same, with time to spare before the 100 ms after which no attempt may begin for it.
const SELDOM: Duration = Duration::from_millis(25);
/// What was said before a connection broke under our writing is there already: it takes no longer than this to read.
const LAST_WORDS: Duration = Duration::from_millis(100);

/// Serves a connection until it ends.
pub async fn serve(
    line: &Connection,
    queue: &WriteQueue,
    pool: &BufferPool,
    reader: &mut impl MessageReader,
) -> CloseReason {
    let stream = &line.stream;
    let mut reading = true;
    // Until when the message that has begun must be whole.
    let mut whole_by: Option<Instant> = None;
    if line.part.borrow().is_some() {
        whole_by = Some(Instant::now() + reader.message_timeout());
    }
    // From when on it is read again; `None`: whenever something comes.
    let mut read_from: Option<Instant> = None;
    loop {
        if queue.may_write() {
            if let Err(error) = queue.write_to(stream) {
                // Once the other side's stream has been read to its end there is nothing left to hear.
                if reading {
                    last_words(line, pool, reader).await;
                }
                return end_of(&error);
            }
        }
        if queue.is_closing() {
            return CloseReason::ClosedHere;
        }
        let seldom = queue.reading_stopped();
        if seldom {
            whole_by = None;
        }
        let rests = read_from.is_some_and(|at| Instant::now() < at);
        // Guards against one who has left while answers are owed and is not noticed: once nothing more is read, only an
        // error tells of it.
        let mut interest = if reading && !rests { Interest::READABLE } else { Interest::ERROR };
        if queue.may_write() {
            interest |= Interest::WRITABLE;
        }
        let ready = tokio::select! {
            _ = queue.changed() => continue,
            // Guards against messages that stop short and leave what comes after them, or a buffer, waiting for good.
            _ = by(whole_by) => return CloseReason::Incomplete,
            _ = by(read_from.filter(|_| rests)) => continue,
            ready = stream.ready(interest) => ready,
        };
        match ready {
            Ok(ready)
                if reading
                    && !rests
                    && (ready.is_readable() || ready.is_read_closed() || ready.is_error()) =>
            {
                let read = read_some(line, pool, reader);
                read_from = queue.reading_stopped().then(|| Instant::now() + SELDOM);
                match read {
                    Ok(Read::Nothing) => {}
                    Ok(Read::Whole) => whole_by = None,
                    Ok(Read::Part { anew: true }) => {
                        whole_by = Some(Instant::now() + reader.message_timeout())
                    }
                    Ok(Read::Part { anew: false }) => {
                        whole_by.get_or_insert_with(|| Instant::now() + reader.message_timeout());
                    }
                    Ok(Read::End) if reader.end_of_stream() => (reading, whole_by) = (false, None),
                    Ok(Read::End) => return CloseReason::Closed,
                    Err(end) => return end,
                }
                // Guards against a connection that is written to at full speed and keeps the others waiting.
                tokio::task::yield_now().await;
            }
            Ok(ready) if ready.is_error() => return CloseReason::Reset,
            Ok(_) => {}
            Err(error) => return end_of(&error),
        }
    }
}

/// Hears what the other side had said before the connection broke. Guards against an answer, or the end of a call, that
/// came whole and is lost because something was to be written in the same moment.
async fn last_words(line: &Connection, pool: &BufferPool, reader: &mut impl MessageReader) {
    let rest = async {
        // What had come is read first, then comes the end or the error.
        while line.stream.readable().await.is_ok() {
            if matches!(read_some(line, pool, reader), Ok(Read::End) | Err(_)) {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(LAST_WORDS, rest).await;
}

/// How long the other side may take to end a connection that was ended in order here.
const PARTS_WITHIN: Duration = Duration::from_millis(500);

/// Ends a connection in order: the other side hears that nothing more comes, and what it still says goes to the reader,
/// who takes from it what needs no answer. Guards against a reset, which a close with bytes unread would be, that destroys
/// what was written last, and against the end of a call that crosses ours and is heard by nobody.
pub async fn close_gracefully(line: &Connection, pool: &BufferPool, reader: &mut impl MessageReader) {
    let stream = &line.stream;
    if rustix::net::shutdown(stream, rustix::net::Shutdown::Write).is_err() {
        return;
    }
    let rest = async {
        while stream.readable().await.is_ok() {
            if matches!(read_some(line, pool, reader), Ok(Read::End) | Err(_)) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let _ = tokio::time::timeout(PARTS_WITHIN, rest).await;
}

/// The same where what the other side still says is of no use: it is thrown away.
pub async fn close_discarding_input(stream: &TcpStream) {
    if rustix::net::shutdown(stream, rustix::net::Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; 4096];
    let rest = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut chunk) {
                Ok(1..) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
            }
            tokio::task::yield_now().await;
        }
    };
    let _ = tokio::time::timeout(PARTS_WITHIN, rest).await;
}

async fn by(when: Option<Instant>) {
    match when {
        Some(when) => tokio::time::sleep_until(when).await,
        None => std::future::pending().await,
    }
}

/// What a turn of reading left behind.
enum Read {
    /// There was nothing to be read.
    Nothing,
    /// No part of a message.
    Whole,
    /// Part of a message; `anew`: it began in this turn.
    Part { anew: bool },
    /// The other side writes no more.
    End,
}

fn read_some(
    line: &Connection,
    pool: &BufferPool,
    reader: &mut impl MessageReader,
) -> Result<Read, CloseReason> {
    let mut buffer = match line.part.take() {
        Some(buffer) => buffer,
        None => pool.take().ok_or(CloseReason::NoBuffer)?,
    };
    match line.stream.try_read(buffer.room()) {
        Ok(0) => return Ok(Read::End),
        Ok(n) => buffer.add(n),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
            *line.part.borrow_mut() = Some(buffer).filter(|buffer| !buffer.filled().is_empty());
            return Ok(Read::Nothing);
        }
        Err(e) => return Err(end_of(&e)),
    }
    let used = reader.read(buffer.filled()).map_err(|MalformedInput| CloseReason::Malformed)?;
    buffer.used(used);
    if buffer.room().is_empty() {
        return Err(CloseReason::Malformed); // a message longer than any may be
    }
    if buffer.filled().is_empty() {
        return Ok(Read::Whole);
    }
    if !pool.may_hold_partial() {
        return Err(CloseReason::NoBuffer);
    }
    *line.part.borrow_mut() = Some(buffer);
    Ok(Read::Part { anew: used > 0 })
}

fn end_of(error: &io::Error) -> CloseReason {
    match error.kind() {
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionAborted => {
            CloseReason::Reset
        }
        _ => CloseReason::Closed,
    }
}
