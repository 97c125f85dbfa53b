//! Connections to SIP call servers: making, serving and removing them.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::TcpStream;

use crate::instance::call_log;
use crate::instance::handover::Side;
use crate::instance::Instance;
use crate::net::conn::{serve, CloseReason, Connection, MalformedInput, MessageReader};
use crate::net::queue::WriteQueue;
use crate::upstream::sip::message::{parse, SipError};
use crate::upstream::sip::LinkEnd;

/// Time for a call server's message, from its first byte to its last. Guards against a truncated answer that keeps
/// every pending call on its connection waiting.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for the rest of an answer whose description ends within a line: peers write in pieces, and its length may be too
/// small. After this the description is taken for whole; line ends at its end are usual, not required.
const DESCRIPTION_END_TIMEOUT: Duration = Duration::from_millis(100);
/// Log party for unreadable messages of a call server; separate, since its connections may come up meanwhile.
const MESSAGES_PARTY: &str = "call server's messages";

impl Instance {
    /// Makes a connection to a call server and serves it.
    pub(super) async fn link(self, no: u64, address: SocketAddr) {
        let Some(queue) = self.0.state.borrow().sip.queue_of(no) else { return };
        // Guards against a stale entry after a panic in reading the connection's bytes.
        let guard =
            LinkGuard { instance: self.clone(), no, end: Cell::new(LinkEnd::Closed(CloseReason::Malformed)) };
        let connect = tokio::time::timeout(self.0.connect_timeout.get(), TcpStream::connect(address));
        let connected = tokio::select! {
            made = connect => match made {
                Ok(Ok(stream)) => Ok(stream),
                Ok(Err(e)) if e.kind() == io::ErrorKind::ConnectionRefused => Err(LinkEnd::Refused),
                Ok(Err(_)) | Err(_) => Err(LinkEnd::ConnectFailed),
            },
            _ = aborted(&queue) => Err(LinkEnd::Closed(CloseReason::ClosedHere)),
        };
        let party = ("call server", address);
        match &connected {
            Ok(_) => self.report_recovery(party),
            Err(LinkEnd::Refused) => self.report_failure(party, &"connection refused"),
            Err(LinkEnd::ConnectFailed) => self.report_failure(party, &"no connection established"),
            Err(LinkEnd::Closed(_)) => {}
        }
        let end = match connected {
            Ok(stream) => {
                let (line, now) = (Rc::new(Connection::new(stream)), self.0.clock.now());
                self.apply(|state, todo| {
                    state.connections.insert((Side::Server, no), line.clone());
                    state.sip.link_up(no, now, todo);
                    call_log::log_link_up(now, no, state.sip.address_of(no));
                });
                self.serve_link(no, &line, &queue).await
            }
            Err(end) => end,
        };
        guard.end.set(end);
    }

    async fn serve_link(&self, no: u64, line: &Connection, queue: &WriteQueue) -> LinkEnd {
        let mut reader = LinkReader { instance: self.clone(), no, holds_answer: false };
        LinkEnd::Closed(serve(line, queue, &self.0.server_buffers, &mut reader).await)
    }

    /// Serves a connection to a call server that was taken over from the predecessor.
    pub(super) async fn resume_link(self, no: u64, line: Rc<Connection>) {
        let Some(queue) = self.0.state.borrow().sip.queue_of(no) else { return };
        let guard =
            LinkGuard { instance: self.clone(), no, end: Cell::new(LinkEnd::Closed(CloseReason::Malformed)) };
        guard.end.set(self.serve_link(no, &line, &queue).await);
    }

    /// Removes a connection to a call server whose socket could not be taken over.
    pub(super) fn link_lost(&self, no: u64) {
        drop(LinkGuard { instance: self.clone(), no, end: Cell::new(LinkEnd::Closed(CloseReason::Reset)) });
    }
}

async fn aborted(queue: &WriteQueue) {
    while !queue.is_closing() {
        queue.changed().await;
    }
}

/// Removes a call server's connection when its task ends, in whatever way.
struct LinkGuard {
    instance: Instance,
    no: u64,
    end: Cell<LinkEnd>,
}

impl Drop for LinkGuard {
    fn drop(&mut self) {
        if self.instance.0.state.try_borrow_mut().is_ok() {
            let now = self.instance.0.clock.now();
            self.instance.apply_guarded(|state, todo| {
                call_log::log_link_end(now, self.no, state.sip.address_of(self.no), self.end.get());
                state.connections.remove(&(Side::Server, self.no));
                state.sip.link_ended(self.no, self.end.get(), now, todo);
            });
        }
    }
}

struct LinkReader {
    instance: Instance,
    no: u64,
    /// Whether what is left in the buffer is an answer that may be cut off.
    holds_answer: bool,
}

/// Whether bytes may still follow those that have been read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Following {
    Possible,
    None,
}

impl LinkReader {
    /// Reports an unreadable message. Those that follow it cannot be assigned to calls safely.
    fn unreadable(&self, error: SipError) -> MalformedInput {
        let address = {
            let mut state = self.instance.0.state.borrow_mut();
            state.counters.malformed_sip += 1;
            state.sip.address_of(self.no)
        };
        if let Some(address) = address {
            self.instance.report_failure((MESSAGES_PARTY, address), &error);
        }
        MalformedInput
    }
}

impl LinkReader {
    fn read_messages(&mut self, bytes: &[u8], following: Following) -> Result<usize, MalformedInput> {
        self.holds_answer = false;
        let mut used = 0;
        loop {
            // Empty lines between messages are keep-alives.
            while bytes[used..].starts_with(b"\r\n") {
                used += 2;
            }
            match parse(&bytes[used..]) {
                Ok(Some((message, length))) => {
                    let is_last = used + length == bytes.len();
                    if is_last && following == Following::Possible && message.may_be_cut_off() {
                        self.holds_answer = true;
                        self.instance.0.state.borrow_mut().sip.hold_answer(self.no, &message);
                        return Ok(used);
                    }
                    used += length;
                    let now = self.instance.0.clock.now();
                    let mut address = None;
                    self.instance.apply(|state, todo| {
                        state.sip.handle_message(self.no, &message, now, todo);
                        address = state.sip.address_of(self.no);
                    });
                    if !message.length_fits {
                        return Err(self.unreadable(SipError::Framing("Content-Length does not fit")));
                    }
                    if let Some(address) = address {
                        self.instance.report_recovery((MESSAGES_PARTY, address));
                    }
                }
                Ok(None) => return Ok(used),
                Err(error @ (SipError::Message { .. } | SipError::Framing(_))) => {
                    return Err(self.unreadable(error))
                }
            }
        }
    }
}

impl MessageReader for LinkReader {
    fn read(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput> {
        self.read_messages(bytes, Following::Possible)
    }
    fn read_overdue(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput> {
        self.read_messages(bytes, Following::None)
    }
    fn end_of_stream(&mut self) -> bool {
        false
    }
    fn message_timeout(&self) -> Duration {
        if self.holds_answer {
            DESCRIPTION_END_TIMEOUT
        } else {
            MESSAGE_TIMEOUT
        }
    }
}
