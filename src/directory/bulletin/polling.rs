//! Long polling of the bulletin over HTTP/1.1.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{timeout, timeout_at, Instant};

use super::{parse_page, parse_response, BulletinError, Cursor, Page, MAX_RESPONSE_BYTES};
use crate::directory::response_timeout::ResponseTimeout;

/// How long a poll may stay unanswered. Short, so that a connection that died silently is noticed.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Timeout for connecting. Fixed: a new attempt is as good as a longer wait.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Shortest and longest delay after a failure.
const RETRY_DELAY: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));

/// Follows the bulletin for good. `take` gets each page, advances the cursor and returns what it could not
/// use; `failed` gets each failure.
pub async fn follow(
    address: SocketAddr,
    cursor: &RefCell<Cursor>,
    zones: &[String],
    mut take: impl FnMut(Page) -> Result<(), BulletinError>,
    mut failed: impl FnMut(BulletinError),
) {
    let mut delay = RETRY_DELAY.0;
    let mut response_timeout = ResponseTimeout::default();
    loop {
        let before = cursor.borrow().after();
        let ended = poll_repeatedly(address, cursor, zones, &mut response_timeout, &mut take).await;
        // A session that ended in order or brought news was no failure. Events between two polls would arrive
        // late, so the next one begins soon.
        if ended.is_ok() || cursor.borrow().after() > before {
            delay = RETRY_DELAY.0;
        }
        if ended == Err(BulletinError::TimedOut) {
            response_timeout.record_timeout();
        }
        if let Err(error) = ended {
            failed(error);
        }
        tokio::time::sleep(delay).await;
        delay = (delay * 2).min(RETRY_DELAY.1);
    }
}

/// Polls on one connection until it ends.
async fn poll_repeatedly(
    address: SocketAddr,
    cursor: &RefCell<Cursor>,
    zones: &[String],
    response_timeout: &mut ResponseTimeout,
    take: &mut impl FnMut(Page) -> Result<(), BulletinError>,
) -> Result<(), BulletinError> {
    let mut connection = BulletinConnection::open(address).await?;
    loop {
        let (asked_at, before) = (Instant::now(), cursor.borrow().after());
        let response = match connection.poll(before, response_timeout).await? {
            Poll::Response(response) => response,
            Poll::Ended => return Ok(()),
        };
        take(parse_page(&response, zones)?)?;
        if connection.ended {
            return Ok(());
        }
        // The bulletin was asked to wait for news; one that does not must not be polled without a pause.
        if cursor.borrow().after() == before && asked_at.elapsed() < RETRY_DELAY.1 {
            tokio::time::sleep(RETRY_DELAY.0).await;
        }
    }
}

/// Result of one poll.
enum Poll {
    /// The body of the response.
    Response(Vec<u8>),
    /// The connection, which has brought responses, ended in order before the next one.
    Ended,
}

/// A connection to the bulletin.
struct BulletinConnection {
    address: SocketAddr,
    stream: TcpStream,
    /// What has been read of the next response.
    bytes: Vec<u8>,
    /// Whether it has brought a response.
    answered: bool,
    /// Whether the bulletin has closed it.
    ended: bool,
}

impl BulletinConnection {
    async fn open(address: SocketAddr) -> Result<Self, BulletinError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| BulletinError::Connection("timed out".to_owned()))?;
        let stream = connected.map_err(|error| BulletinError::Connection(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        Ok(BulletinConnection { address, stream, bytes: Vec::new(), answered: false, ended: false })
    }

    /// Asks for the events after a number, and waits for the response.
    async fn poll(
        &mut self,
        after: u64,
        response_timeout: &mut ResponseTimeout,
    ) -> Result<Poll, BulletinError> {
        let request = format!(
            "GET /bulletins?after={after}&patience={} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            POLL_TIMEOUT.as_millis(),
            self.address
        );
        if let Err(error) = self.stream.write_all(request.as_bytes()).await {
            return self.ended_between_responses(error.to_string());
        }
        // The response begins at the end of the poll's timeout at the latest; the bulletin may be slow to begin it, stall,
        // or send a little now and then without ever completing it.
        let asked_at = Instant::now();
        let mut due = asked_at + POLL_TIMEOUT;
        loop {
            if let Some((body, used)) = parse_response(&self.bytes, self.ended)? {
                self.bytes.drain(..used);
                self.answered = true;
                response_timeout.record_response(Instant::now().saturating_duration_since(due));
                return Ok(Poll::Response(body));
            }
            if self.ended {
                return Err(BulletinError::Connection("closed by the peer".to_owned()));
            }
            if self.bytes.len() > MAX_RESPONSE_BYTES {
                return Err(BulletinError::Http("too long".to_owned()));
            }
            let is_first = self.bytes.is_empty();
            let deadline = due + response_timeout.current();
            let read = timeout_at(deadline, self.stream.read_buf(&mut self.bytes)).await;
            match read.map_err(|_| BulletinError::TimedOut)? {
                Ok(0) if is_first => return self.ended_between_responses("closed by the peer".to_owned()),
                Ok(count) => self.ended = count == 0,
                Err(error) if is_first => return self.ended_between_responses(error.to_string()),
                Err(error) => return Err(BulletinError::Connection(error.to_string())),
            }
            if is_first {
                due = due.min(Instant::now());
            }
        }
    }

    /// A connection that has brought responses may end between two polls.
    fn ended_between_responses(&self, error: String) -> Result<Poll, BulletinError> {
        if self.answered {
            Ok(Poll::Ended)
        } else {
            Err(BulletinError::Connection(error))
        }
    }
}
