//! Connections to call servers: made, served, and taken off the books however they end.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::instance::handover::Side;
use crate::instance::Instance;
use crate::net::conn::{serve, CloseReason, Connection, MalformedInput, MessageReader};
use crate::net::queue::WriteQueue;
use crate::upstream::sip::message::{parse, SipError};
use crate::upstream::sip::LinkEnd;

/// A message of a call server must be whole within this from its first byte on. Guards against answers that stop short
/// and leave all that is open on their connection waiting.
const WHOLE_WITHIN: Duration = Duration::from_millis(400);
/// What a call server says, as a party in the log: its messages may be spoilt while its connections come up.
const SAYS: &str = "call server's messages";

impl Instance {
    /// Makes a connection to a call server and serves it.
    pub(super) async fn link(self, no: u64, dial: SocketAddr) {
        let Some(queue) = self.0.state.borrow().sip.queue_of(no) else { return };
        // Guards against a panic in reading one connection's bytes that leaves its entry behind.
        let gone =
            LinkGone { instance: self.clone(), no, how: Cell::new(LinkEnd::Closed(CloseReason::Malformed)) };
        let connect = tokio::time::timeout(self.0.connect_timeout.get(), TcpStream::connect(dial));
        let how = tokio::select! {
            made = connect => match made {
                Ok(Ok(stream)) => Ok(stream),
                Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Err(LinkEnd::Refused),
                Ok(Err(_)) | Err(_) => Err(LinkEnd::ConnectFailed),
            },
            _ = aborted(&queue) => Err(LinkEnd::Closed(CloseReason::ClosedHere)),
        };
        let party = ("call server", dial);
        match &how {
            Ok(_) => self.works(party),
            Err(LinkEnd::Refused) => self.failed(party, &"the connection is refused"),
            Err(LinkEnd::ConnectFailed) => self.failed(party, &"no connection comes up"),
            Err(LinkEnd::Closed(_)) => {}
        }
        let end = match how {
            Ok(stream) => {
                let (line, now) = (Rc::new(Connection::new(stream)), self.0.clock.now());
                self.turn(|state, todo| {
                    state.lines.insert((Side::Server, no), line.clone());
                    state.sip.link_up(no, now, todo);
                });
                self.serve_link(no, &line, &queue).await
            }
            Err(end) => end,
        };
        gone.how.set(end);
    }

    async fn serve_link(&self, no: u64, line: &Connection, queue: &WriteQueue) -> LinkEnd {
        let mut reader = LinkReader { instance: self.clone(), no };
        LinkEnd::Closed(serve(line, queue, &self.0.pool, &mut reader).await)
    }

    /// Serves a connection to a call server that came along from a predecessor.
    pub(super) async fn resume_link(self, no: u64, line: Rc<Connection>) {
        let Some(queue) = self.0.state.borrow().sip.queue_of(no) else { return };
        let gone =
            LinkGone { instance: self.clone(), no, how: Cell::new(LinkEnd::Closed(CloseReason::Malformed)) };
        gone.how.set(self.serve_link(no, &line, &queue).await);
    }

    /// A connection to a call server that did not come along.
    pub(super) fn link_gone(&self, no: u64) {
        drop(LinkGone { instance: self.clone(), no, how: Cell::new(LinkEnd::Closed(CloseReason::Reset)) });
    }
}

async fn aborted(queue: &WriteQueue) {
    while !queue.is_closing() {
        queue.changed().await;
    }
}

/// Takes a call server's connection off the books when its task ends, however it ends.
struct LinkGone {
    instance: Instance,
    no: u64,
    how: Cell<LinkEnd>,
}

impl Drop for LinkGone {
    fn drop(&mut self) {
        if self.instance.0.state.try_borrow_mut().is_ok() {
            let now = self.instance.0.clock.now();
            self.instance.guarded(|state, todo| {
                state.lines.remove(&(Side::Server, self.no));
                state.sip.link_ended(self.no, self.how.get(), now, todo);
            });
        }
    }
}

struct LinkReader {
    instance: Instance,
    no: u64,
}

impl MessageReader for LinkReader {
    fn read(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput> {
        let mut used = 0;
        loop {
            // Empty lines between messages keep a connection alive and mean nothing.
            while bytes[used..].starts_with(b"\r\n") {
                used += 2;
            }
            match parse(&bytes[used..]) {
                Ok(Some((message, length))) => {
                    used += length;
                    let now = self.instance.0.clock.now();
                    let mut dial = None;
                    self.instance.turn(|state, todo| {
                        state.sip.handle_message(self.no, &message, now, todo);
                        dial = state.sip.address_of(self.no);
                    });
                    if let Some(dial) = dial {
                        self.instance.works((SAYS, dial));
                    }
                }
                Ok(None) => return Ok(used),
                // Where one answer is spoilt, those after it cannot be trusted: they may be anybody's.
                Err(error @ (SipError::Message { .. } | SipError::Framing(_))) => {
                    let dial = {
                        let mut state = self.instance.0.state.borrow_mut();
                        state.tally.sip += 1;
                        state.sip.address_of(self.no)
                    };
                    if let Some(dial) = dial {
                        self.instance.failed((SAYS, dial), &error);
                    }
                    return Err(MalformedInput);
                }
            }
        }
    }
    fn end_of_stream(&mut self) -> bool {
        false
    }
    fn message_timeout(&self) -> Duration {
        WHOLE_WITHIN
    }
}
