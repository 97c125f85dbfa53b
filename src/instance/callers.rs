//! Connections of JSON-lines callers: accepting, reading, limiting and ending them.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};

use crate::config::Limits;
use crate::core::{Client, DeadlineOwner, FrontKind, Input};
use crate::drain::ConnectionReview;
use crate::front::jsonl::{self, Line as Message, LineError};
use crate::instance::call_log;
use crate::instance::handover::{Listeners, Side};
use crate::instance::{Instance, State};
use crate::interface::{Span, Time};
use crate::net::client_connections::IdleCheck;
use crate::net::conn::{close_gracefully, serve, CloseReason, Connection, MalformedInput, MessageReader};
use crate::net::pool::MAX_MESSAGE_BYTES;
use crate::net::queue::WriteQueue;
use crate::upstream::AdapterOutput;

/// Time for a caller's message, from its first byte to its last.
const MESSAGE_TIMEOUT: Duration = Duration::from_millis(1_500);

/// How often a connection that is to be closed is checked for the rest of a message that has begun on it.
const REST_CHECK_INTERVAL: Span = Span::from_millis(50);

/// A listener is closed once no connection has come for this long.
const ACCEPT_QUIET_TIME: Duration = Duration::from_millis(5);
/// A listener is closed after this at the latest.
const CLOSE_LISTENER_TIMEOUT: Duration = Duration::from_millis(100);

/// Connections closed in order that may wait at once for the caller to close; further ones are closed at once.
const MAX_CLOSING_CONNECTIONS: usize = 64;

fn client_of(no: u64) -> Client {
    Client { front: FrontKind::JsonLines, no }
}

impl State {
    /// Closes a caller's connection that has been unused for too long or must end for a drain; otherwise sets the
    /// time of its next review.
    pub(super) fn review_client(&mut self, no: u64, now: Time, todo: &mut AdapterOutput) {
        let has_calls = self.core.has_established_calls(client_of(no));
        self.client_connections.probe(no, || self.core.pending_call_on(client_of(no)).map(jsonl::trying));
        // A partly read set-up is waited for: if our close crossed its rest, the caller might make it again too late.
        // One that stays incomplete ends its connection by the message timeout.
        let message_begun =
            self.connections.get(&(Side::Caller, no)).is_some_and(|line| line.has_partial_message());
        if message_begun && self.client_connections.awaits_rest_of_message(no, now) {
            return todo.deadlines.push((
                now.plus(REST_CHECK_INTERVAL),
                DeadlineOwner::ClientConnections,
                no,
            ));
        }
        if let Some(connected_at) = self.client_connections.accepted_at_if_idle(no) {
            match self.drain.review_connection(connected_at, has_calls, now) {
                ConnectionReview::Keep => {}
                ConnectionReview::ReviewAt(at) => {
                    return todo.deadlines.push((at, DeadlineOwner::ClientConnections, no))
                }
                ConnectionReview::Close => return self.client_connections.finish(no),
            }
        }
        match self.client_connections.check_idle(no, has_calls, now) {
            IdleCheck::CheckAgainAt(at) => todo.deadlines.push((at, DeadlineOwner::ClientConnections, no)),
            IdleCheck::Closed => self.counters.expired += 1,
        }
    }
}

impl State {
    /// Limits callers' connections to what is left beside those to the listed call servers.
    pub(super) fn limit_client_connections(&mut self, limits: Limits) {
        self.client_connections.set_max(limits.client_connections_beside(self.core.listed_servers().count()));
    }

    /// Closes callers' connections in favour of those to call servers, the least used first. Guards against idle
    /// connections that came before the first list and leave no descriptors for the call servers on it.
    pub(super) fn make_room_for_links(&mut self, limits: Limits, closing: usize) {
        self.limit_client_connections(limits);
        let State { client_connections, core, .. } = self;
        while !client_connections.is_within_limit(closing)
            && client_connections.make_room(|no| core.has_established_calls(client_of(no)))
        {}
    }

    /// Frees the read buffer of a caller's connection by closing it: the least used of those on which part of a message
    /// has come and no answer is pending. Guards against clients that hold all buffers with half a message each.
    fn free_client_buffer(&mut self) -> bool {
        let State { client_connections, core, connections, counters, .. } = self;
        let connection = |no| connections.get(&(Side::Caller, no));
        let holds_buffer = |no| connection(no).is_some_and(|line| line.has_partial_message());
        let has_calls = |no| core.has_established_calls(client_of(no));
        let Some(closed) = client_connections.close_least_needed(holds_buffer, has_calls) else {
            return false;
        };
        if let Some(line) = connection(closed) {
            line.discard_partial_message();
        }
        counters.turned_away += 1;
        true
    }

    /// One of a connection's set-ups needs no answer any more. During a drain the connection may now end.
    pub(super) fn answer_settled(&mut self, no: u64, told: bool, now: Time, todo: &mut AdapterOutput) {
        self.client_connections.set_up_settled(no, told, now);
        if !self.drain.is_working() {
            todo.deadlines.push((now, DeadlineOwner::ClientConnections, no));
        }
    }
}

impl Instance {
    /// Accepts callers. At the limit, the connection that needs it least is closed for the new one; if all
    /// connections wait for an answer, the new one is closed. Guards against callers left waiting in the listener's
    /// backlog.
    pub(super) async fn accept(self, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.admit(stream);
                    // A burst of new connections must not delay the existing ones.
                    tokio::task::yield_now().await;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Closes the listener of a stopping process after the connections in its backlog are accepted. Guards against
    /// late callers who wait for good in a backlog from which no process accepts: a refused connection tells them at
    /// once that nothing was accepted. `shared`: the platform or a successor accepts on the same listener, so it is
    /// left as it is.
    pub(super) async fn close_listener(
        &self,
        listeners: &Listeners,
        acceptor: Option<JoinHandle<()>>,
        shared: bool,
    ) {
        if let Some(acceptor) = acceptor {
            acceptor.abort();
            let _ = acceptor.await;
        }
        let Some(listener) = listeners.callers.take().filter(|_| !shared) else { return };
        let deadline = tokio::time::Instant::now() + CLOSE_LISTENER_TIMEOUT;
        loop {
            let quiet_until = (tokio::time::Instant::now() + ACCEPT_QUIET_TIME).min(deadline);
            match tokio::time::timeout_at(quiet_until, listener.accept()).await {
                Ok(Ok((stream, _))) => self.admit(stream),
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    /// Serves a new connection if there is room for it, and closes it otherwise.
    fn admit(&self, stream: TcpStream) {
        let room = {
            let mut state = self.0.state.borrow_mut();
            let closing = self.0.closing_connections.get();
            let State { client_connections, core, counters, .. } = &mut *state;
            let room = client_connections.has_room(closing)
                || client_connections.make_room(|no| core.has_established_calls(client_of(no)));
            counters.turned_away += u64::from(!room);
            room
        };
        if room {
            self.add_client(stream);
        }
    }

    /// Registers a new connection and serves it. Registered before anything else runs, so that a takeover includes
    /// it.
    fn add_client(&self, stream: TcpStream) {
        let queue = Rc::new(WriteQueue::with_budget(&self.0.caller_bytes));
        let line = Rc::new(Connection::new(stream));
        let now = self.0.clock.now();
        let mut no = 0;
        self.apply(|state, todo| {
            state.next_client += 1;
            no = state.next_client;
            state.connections.insert((Side::Caller, no), line.clone());
            let first_review = state.client_connections.add(no, queue.clone(), now);
            let until = state.drain.accepts_connections_until().map_or(first_review, |_| now);
            todo.deadlines.push((until, DeadlineOwner::ClientConnections, no));
            todo.inputs.push(Input::ClientUp(client_of(no)));
        });
        self.serve_client(no, line);
    }

    /// Serves a registered caller's connection.
    pub(super) fn serve_client(&self, no: u64, line: Rc<Connection>) {
        // Guards against a stale registration after a panic in reading the connection's bytes.
        let guard = ClientGuard { instance: self.clone(), no };
        spawn_local(self.clone().run_client(no, line, guard));
    }

    async fn run_client(self, no: u64, line: Rc<Connection>, guard: ClientGuard) {
        let Some(queue) = self.0.state.borrow().client_connections.queue_of(no) else { return };
        let mut reader = ClientReader { instance: self.clone(), no };
        let end = serve(&line, &queue, &self.0.client_buffers, &mut reader).await;
        call_log::log_client_end(self.0.clock.now(), no, end);
        if !matches!(end, CloseReason::Closed | CloseReason::ClosedHere) {
            self.0.state.borrow_mut().counters.lost_connections += 1;
        }
        let in_order = end == CloseReason::ClosedHere
            && queue.is_finished()
            && self.0.closing_connections.get() < MAX_CLOSING_CONNECTIONS;
        // Nothing more can be written on this connection: releases go out on others from here on.
        drop(guard);
        if in_order {
            self.0.closing_connections.set(self.0.closing_connections.get() + 1);
            close_gracefully(&line, &self.0.client_buffers, &mut reader).await;
            self.0.closing_connections.set(self.0.closing_connections.get() - 1);
        }
    }

    /// A caller's connection has ended.
    pub(super) fn client_disconnected(&self, no: u64) {
        self.apply_guarded(|state, todo| {
            state.connections.remove(&(Side::Caller, no));
            state.client_connections.remove(no);
            todo.inputs.push(Input::ClientDown(client_of(no)));
        });
    }

    /// Handles a line on a connection that has ended or is about to. Set-ups are ignored: callers make them again
    /// elsewhere, or were refused. Releases and their confirmations are still handled. Guards against calls that stay
    /// established at call servers, and set-ups sent on, although the caller ended them just as its connection was
    /// closed here.
    fn handle_line_while_ending(&self, no: u64, bytes: &[u8]) {
        match jsonl::parse(bytes) {
            Ok(Message::Close(sid, cause)) => self.input(Input::HangUp(client_of(no), sid, cause)),
            Ok(Message::Closed(sid)) => self.input(Input::ReleaseConfirmed(sid)),
            _ => {}
        }
    }

    fn handle_line(&self, no: u64, bytes: &[u8]) {
        let client = client_of(no);
        let now = self.0.clock.now();
        match jsonl::parse(bytes) {
            Ok(Message::Open(set_up)) => self.apply(|state, todo| {
                state.client_connections.set_up_received(no, now);
                todo.inputs.push(Input::SetUp(client, set_up));
            }),
            Ok(Message::Close(sid, cause)) => self.apply(|state, todo| {
                state.client_connections.message_received(no, now);
                todo.inputs.push(Input::HangUp(client, sid, cause));
            }),
            Ok(Message::Closed(sid)) => self.input(Input::ReleaseConfirmed(sid)),
            Ok(Message::Probe(sid)) => self.apply(|state, todo| {
                let passed = state.core.ready() && state.drain.is_working();
                state.client_connections.write(no, jsonl::probed(&sid, passed));
                todo.inputs.push(Input::HealthCheck(client));
            }),
            Ok(Message::Other) => {}
            Err(error) => self.apply(|state, todo| {
                state.counters.malformed_lines += 1;
                let answerable = match &error {
                    LineError::InvalidField(sid, _) => {
                        let line = jsonl::close(*sid, jsonl::CAUSE_INVALID, Span::default());
                        // The refusal must not be taken for the answer to a pending call of the same id.
                        !state.core.awaits_answer(*sid) && state.client_connections.write(no, line)
                    }
                    LineError::Malformed(_) | LineError::InvalidCallId => false,
                };
                if let Some(at) = state.client_connections.malformed_received(no, answerable, now) {
                    todo.deadlines.push((at, DeadlineOwner::ClientConnections, no));
                }
            }),
        }
    }
}

/// Removes a caller's connection when its task ends, in whatever way.
struct ClientGuard {
    instance: Instance,
    no: u64,
}

impl Drop for ClientGuard {
    fn drop(&mut self) {
        if self.instance.0.state.try_borrow_mut().is_ok() {
            self.instance.client_disconnected(self.no);
        }
    }
}

struct ClientReader {
    instance: Instance,
    no: u64,
}

impl MessageReader for ClientReader {
    fn read(&mut self, bytes: &[u8]) -> Result<usize, MalformedInput> {
        let mut used = 0;
        let ending = || self.instance.0.state.borrow().client_connections.is_ending(self.no);
        while let Some(length) = bytes[used..].iter().position(|byte| *byte == b'\n') {
            let line = &bytes[used..used + length];
            used += length + 1;
            match line.trim_ascii().is_empty() {
                true => {}
                false if ending() => self.instance.handle_line_while_ending(self.no, line),
                false => self.instance.handle_line(self.no, line),
            }
        }
        if bytes.len() - used > MAX_MESSAGE_BYTES {
            if ending() {
                return Ok(bytes.len()); // no release is this long
            }
            self.instance.0.state.borrow_mut().counters.malformed_lines += 1;
            return Err(MalformedInput);
        }
        Ok(used)
    }
    fn end_of_stream(&mut self) -> bool {
        let now = self.instance.0.clock.now();
        let mut more = false;
        self.instance.apply(|state, todo| {
            more = state.client_connections.half_closed(self.no);
            state.review_client(self.no, now, todo);
        });
        more
    }
    fn message_timeout(&self) -> Duration {
        MESSAGE_TIMEOUT
    }
    fn has_pending_answers(&self) -> bool {
        self.instance.0.state.borrow().client_connections.has_pending_answers(self.no)
    }
    fn stop_reading(&mut self) {
        let now = self.instance.0.clock.now();
        self.instance.apply(|state, todo| {
            if let Some(at) = state.client_connections.stop_reading(self.no, now) {
                todo.deadlines.push((at, DeadlineOwner::ClientConnections, self.no));
            }
        });
    }
    fn free_buffer(&mut self) -> bool {
        self.instance.0.state.borrow_mut().free_client_buffer()
    }
}
