//! One TCP connection: reads into a pooled buffer and writes from its queue until either side closes it.

use std::cell::RefCell;
use std::io;
use std::time::Duration;

use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::net::pool::{Buffer, BufferPool, BUFFER_BYTES};
use crate::net::queue::WriteQueue;

/// Why a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum CloseReason {
    /// The peer closed it in order.
    #[error("closed by the peer")]
    Closed,
    /// The connection was reset.
    #[error("reset")]
    Reset,
    /// This side closed it.
    #[error("closed by this side")]
    ClosedHere,
    /// The input cannot be parsed, so the start of the next message is not known.
    #[error("malformed input")]
    Malformed,
    /// A message did not arrive completely within the message timeout.
    #[error("incomplete message")]
    Incomplete,
    /// All buffers of the pool were in use, and no other connection needed its buffer less.
    #[error("no free buffer")]
    NoBuffer,
}

/// The input cannot be split into messages; the connection must be closed.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("malformed input")]
pub struct MalformedInput;

/// Parses what arrives on a connection.
pub trait MessageReader {
    /// Handles the complete messages at the start of `bytes` and returns how many bytes they took.
    fn read(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput>;
    /// The last message is overdue, or nothing more will arrive: handles messages that [`Self::read`] left because more
    /// might have belonged to them, and returns how many bytes they took.
    fn read_overdue(&mut self, _bytes: &[u8]) -> Result<usize, MalformedInput> {
        Ok(0)
    }
    /// The peer's stream has ended: it closed the connection or only its writing half. `true`: keep writing
    /// until the queue is finished.
    fn end_of_stream(&mut self) -> bool;
    /// Longest time from the first to the last byte of the message that is partly read.
    fn message_timeout(&self) -> Duration;
    /// Whether the peer waits for answers on this connection. It is then not closed because of its input.
    fn has_pending_answers(&self) -> bool {
        false
    }
    /// The input cannot be used any more, but answers are pending: from now on only what needs no answer is read,
    /// and the connection ends once they are written.
    fn stop_reading(&mut self) {}
    /// Frees a buffer of a connection that needs it less. `false`: there is none.
    fn free_buffer(&mut self) -> bool {
        false
    }
}

/// A connection's socket, with the partial message read from it.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    partial: RefCell<Option<Buffer>>,
}

impl Connection {
    /// Wraps a newly opened socket.
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, partial: RefCell::default() }
    }
    /// Restores a connection from which the old process of a takeover has read `read`; `None` if there is no
    /// buffer for it.
    pub fn resume(stream: TcpStream, read: &[u8], pool: &BufferPool) -> Option<Self> {
        let connection = Self::new(stream);
        if !read.is_empty() {
            let mut buffer = pool.take().filter(|_| read.len() <= BUFFER_BYTES)?;
            buffer.room()[..read.len()].copy_from_slice(read);
            buffer.add(read.len());
            *connection.partial.borrow_mut() = Some(buffer);
        }
        Some(connection)
    }
    /// The socket.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }
    /// Whether part of a message has been read.
    pub fn has_partial_message(&self) -> bool {
        self.partial.borrow().is_some()
    }
    /// Frees the buffer of a partial message; the connection must be closed then.
    pub fn discard_partial_message(&self) {
        self.partial.take();
    }
    /// The bytes read that do not form a complete message yet.
    pub fn partial_message(&self) -> Vec<u8> {
        self.partial.borrow().as_ref().map(|buffer| buffer.filled().to_vec()).unwrap_or_default()
    }
}

/// Read interval of a connection whose caller was turned away. Its input then costs little, and the peer's
/// departure is still noticed well within the 100 ms after which no attempt may start for it.
const THROTTLED_READ_INTERVAL: Duration = Duration::from_millis(25);
/// Longest time to read what the peer had sent before a write on the connection failed; it has already
/// arrived.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(100);

/// How often a connection whose message is overdue is checked for answers that are still pending on it.
const PENDING_ANSWERS_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Serves a connection until it ends.
pub async fn serve(
    connection: &Connection,
    queue: &WriteQueue,
    pool: &BufferPool,
    reader: &mut impl MessageReader,
) -> CloseReason {
    let stream = &connection.stream;
    let mut reading = true;
    // By when the partial message must be complete.
    let mut message_deadline: Option<Instant> = None;
    if connection.partial.borrow().is_some() {
        message_deadline = Some(Instant::now() + reader.message_timeout());
    }
    // When to read again; `None`: whenever input arrives.
    let mut next_read: Option<Instant> = None;
    loop {
        if queue.may_write() {
            if let Err(error) = queue.write_to(stream) {
                // After the end of the peer's stream there is nothing left to read.
                if reading {
                    read_remaining_input(connection, pool, reader).await;
                }
                return close_reason(&error);
            }
        }
        if queue.is_closing() {
            return CloseReason::ClosedHere;
        }
        let throttled = queue.reading_stopped();
        if throttled {
            message_deadline = None;
        }
        let paused = next_read.is_some_and(|at| Instant::now() < at);
        // After the end of the peer's stream, or between two reads, only an error event shows that the peer
        // has left while answers are still due to it.
        let mut interest = if reading && !paused { Interest::READABLE } else { Interest::ERROR };
        if queue.may_write() {
            interest |= Interest::WRITABLE;
        }
        let ready = tokio::select! {
            _ = queue.changed() => continue,
            // A message that never completes would hold a buffer, and block all that follows it, for good.
            _ = sleep_until(message_deadline) => {
                match read_overdue(connection, reader) {
                    Ok(Overdue::Handled) => {
                        message_deadline = None;
                        continue;
                    }
                    Ok(Overdue::Incomplete) => {}
                    Err(MalformedInput) => return CloseReason::Malformed,
                }
                if !reader.has_pending_answers() {
                    return CloseReason::Incomplete;
                }
                message_deadline = Some(Instant::now() + PENDING_ANSWERS_CHECK_INTERVAL);
                continue;
            }
            _ = sleep_until(next_read.filter(|_| paused)) => continue,
            ready = stream.ready(interest) => ready,
        };
        match ready {
            Ok(ready)
                if reading
                    && !paused
                    && (ready.is_readable() || ready.is_read_closed() || ready.is_error()) =>
            {
                let read = read_some(connection, pool, reader);
                next_read = queue.reading_stopped().then(|| Instant::now() + THROTTLED_READ_INTERVAL);
                match read {
                    Ok(Read::Nothing) => {}
                    Ok(Read::Complete) => message_deadline = None,
                    Ok(Read::Partial { new: true }) => {
                        message_deadline = Some(Instant::now() + reader.message_timeout())
                    }
                    Ok(Read::Partial { new: false }) => {
                        message_deadline.get_or_insert_with(|| Instant::now() + reader.message_timeout());
                    }
                    Ok(Read::End) if reader.end_of_stream() => (reading, message_deadline) = (false, None),
                    Ok(Read::End) => return CloseReason::Closed,
                    Err(CloseReason::Malformed | CloseReason::NoBuffer) if reader.has_pending_answers() => {
                        reader.stop_reading();
                        message_deadline = None;
                    }
                    Err(end) => return end,
                }
                // Otherwise a peer that sends at full speed would starve the other connections.
                tokio::task::yield_now().await;
            }
            Ok(ready) if ready.is_error() => return CloseReason::Reset,
            Ok(_) => {}
            Err(error) => return close_reason(&error),
        }
    }
}

/// Reads what the peer had sent before a write on the connection failed. Otherwise a response or the end of a
/// call that arrived in full would be lost because something was to be written at the same moment.
async fn read_remaining_input(connection: &Connection, pool: &BufferPool, reader: &mut impl MessageReader) {
    let drain = async {
        // Received data is returned first, then the end of the stream or the error.
        while connection.stream.readable().await.is_ok() {
            if matches!(read_some(connection, pool, reader), Ok(Read::End) | Err(_)) {
                return;
            }
        }
    };
    let _ = tokio::time::timeout(DRAIN_TIMEOUT, drain).await;
}

/// How long the peer may take to close a connection that this side has finished.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Closes a connection in order: shuts down the writing half, then passes what still arrives to the reader,
/// which uses what needs no answer. Closing with unread input would send a reset, which can destroy what was
/// written last, and the end of a call that crosses the close would be lost.
pub async fn close_gracefully(connection: &Connection, pool: &BufferPool, reader: &mut impl MessageReader) {
    let stream = &connection.stream;
    if rustix::net::shutdown(stream, rustix::net::Shutdown::Write).is_err() {
        return;
    }
    let drain = async {
        while stream.readable().await.is_ok() {
            if matches!(read_some(connection, pool, reader), Ok(Read::End) | Err(_)) {
                return;
            }
            tokio::task::yield_now().await;
        }
    };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, drain).await;
}

/// Like [`close_gracefully`], but discards what still arrives.
pub async fn close_discarding_input(stream: &TcpStream) {
    if rustix::net::shutdown(stream, rustix::net::Shutdown::Write).is_err() {
        return;
    }
    let mut chunk = [0; 4096];
    let drain = async {
        while stream.readable().await.is_ok() {
            match stream.try_read(&mut chunk) {
                Ok(1..) => {}
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Ok(0) | Err(_) => return,
            }
            tokio::task::yield_now().await;
        }
    };
    let _ = tokio::time::timeout(CLOSE_TIMEOUT, drain).await;
}

async fn sleep_until(when: Option<Instant>) {
    match when {
        Some(when) => tokio::time::sleep_until(when).await,
        None => std::future::pending().await,
    }
}

/// Result of one read.
enum Read {
    /// No input was available.
    Nothing,
    /// Every message read so far is complete.
    Complete,
    /// A partial message remains; `new`: its first byte came with this read.
    Partial { new: bool },
    /// The peer's stream has ended.
    End,
}

/// What became of an overdue message.
enum Overdue {
    /// It was taken for complete and handled.
    Handled,
    /// It is incomplete.
    Incomplete,
}

fn read_overdue(connection: &Connection, reader: &mut impl MessageReader) -> Result<Overdue, MalformedInput> {
    let Some(mut buffer) = connection.partial.take() else { return Ok(Overdue::Incomplete) };
    let used = reader.read_overdue(buffer.filled())?;
    buffer.used(used);
    if buffer.filled().is_empty() {
        return Ok(Overdue::Handled);
    }
    *connection.partial.borrow_mut() = Some(buffer);
    Ok(Overdue::Incomplete)
}

fn read_some(
    connection: &Connection,
    pool: &BufferPool,
    reader: &mut impl MessageReader,
) -> Result<Read, CloseReason> {
    let mut buffer = match connection.partial.take() {
        Some(buffer) => buffer,
        None => pool.take().ok_or(CloseReason::NoBuffer)?,
    };
    match connection.stream.try_read(buffer.room()) {
        Ok(0) => {
            let _ = reader.read_overdue(buffer.filled());
            return Ok(Read::End);
        }
        Ok(n) => buffer.add(n),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {
            *connection.partial.borrow_mut() = Some(buffer).filter(|buffer| !buffer.filled().is_empty());
            return Ok(Read::Nothing);
        }
        Err(e) => {
            let _ = reader.read_overdue(buffer.filled());
            return Err(close_reason(&e));
        }
    }
    let used = reader.read(buffer.filled()).map_err(|MalformedInput| CloseReason::Malformed)?;
    buffer.used(used);
    if buffer.room().is_empty() {
        return Err(CloseReason::Malformed); // longer than MAX_MESSAGE_BYTES
    }
    if buffer.filled().is_empty() {
        return Ok(Read::Complete);
    }
    let may_hold = pool.may_hold_partial()
        || reader.free_buffer()
        || (reader.has_pending_answers() && pool.may_hold_partial_beyond_limit());
    if !may_hold {
        return Err(CloseReason::NoBuffer);
    }
    *connection.partial.borrow_mut() = Some(buffer);
    Ok(Read::Partial { new: used > 0 })
}

fn close_reason(error: &io::Error) -> CloseReason {
    match error.kind() {
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionAborted => {
            CloseReason::Reset
        }
        _ => CloseReason::Closed,
    }
}
