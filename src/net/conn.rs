//! One TCP connection: reads into a pooled buffer, writes from its queue, until either side ends it.

use std::io;

use tokio::io::Interest;
use tokio::net::TcpStream;

use crate::net::pool::{Buffer, Pool};
use crate::net::queue::WriteQueue;

/// How a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum End {
    /// The other side closed it in order.
    #[error("closed by the other side")]
    Closed,
    /// It was reset.
    #[error("reset")]
    Reset,
    /// This side ended it.
    #[error("ended here")]
    Ours,
    /// What came cannot be read; the place of the next message is lost.
    #[error("unreadable bytes")]
    Unreadable,
    /// All buffers were lent.
    #[error("no buffer was free")]
    NoBuffer,
}

/// The bytes are no messages: the connection must end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("unreadable bytes")]
pub struct Unreadable;

/// What a wire does with a connection's bytes.
pub trait Reader {
    /// Takes the whole messages at the start of `bytes` and says how many bytes they were.
    fn read(&mut self, bytes: &[u8]) -> Result<usize, Unreadable>;
    /// The other side writes no more. `true`: go on writing until the queue is told to finish.
    fn ended(&mut self) -> bool;
}

/// Serves a connection until it ends.
pub async fn serve(stream: &TcpStream, queue: &WriteQueue, pool: &Pool, reader: &mut impl Reader) -> End {
    let mut buffer: Option<Buffer> = None;
    let mut reading = true;
    loop {
        if !queue.is_empty() {
            if let Err(error) = queue.write_to(stream) {
                return end_of(&error);
            }
        }
        if queue.ends() {
            return End::Ours;
        }
        let interest = match (reading, queue.is_empty()) {
            (true, true) => Interest::READABLE,
            (true, false) => Interest::READABLE | Interest::WRITABLE,
            (false, false) => Interest::WRITABLE,
            (false, true) => {
                queue.changed().await;
                continue;
            }
        };
        let ready = tokio::select! {
            _ = queue.changed() => continue,
            ready = stream.ready(interest) => ready,
        };
        match ready {
            Ok(ready) if reading && (ready.is_readable() || ready.is_read_closed() || ready.is_error()) => {
                match read_some(stream, &mut buffer, pool, reader) {
                    Ok(true) => {}
                    Ok(false) if reader.ended() => reading = false,
                    Ok(false) => return End::Closed,
                    Err(end) => return end,
                }
            }
            Ok(_) => {}
            Err(error) => return end_of(&error),
        }
    }
}

/// `Ok(false)`: the other side writes no more.
fn read_some(
    stream: &TcpStream,
    held: &mut Option<Buffer>,
    pool: &Pool,
    reader: &mut impl Reader,
) -> Result<bool, End> {
    let mut buffer = match held.take() {
        Some(buffer) => buffer,
        None => pool.take().ok_or(End::NoBuffer)?,
    };
    match stream.try_read(buffer.room()) {
        Ok(0) => return Ok(false),
        Ok(n) => buffer.add(n),
        Err(e) if matches!(e.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
        Err(e) => return Err(end_of(&e)),
    }
    let used = reader.read(buffer.filled()).map_err(|Unreadable| End::Unreadable)?;
    buffer.used(used);
    if buffer.room().is_empty() {
        return Err(End::Unreadable); // a message longer than any may be
    }
    if !buffer.filled().is_empty() {
        *held = Some(buffer);
    }
    Ok(true)
}

fn end_of(error: &io::Error) -> End {
    match error.kind() {
        io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe | io::ErrorKind::ConnectionAborted => {
            End::Reset
        }
        _ => End::Closed,
    }
}
