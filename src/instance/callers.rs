//! JSON-lines callers at the door: their connections are accepted, read, bounded and ended here.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, JoinHandle};

use crate::config::Limits;
use crate::core::{Client, DeadlineOwner, FrontKind, Input};
use crate::drain::Door;
use crate::front::jsonl::{self, Line as Said, LineError};
use crate::instance::handover::{Doors, Side};
use crate::instance::{Instance, State};
use crate::interface::{Span, Time};
use crate::net::conn::{part, serve, End, Line, Reader, Unreadable};
use crate::net::guests::Look;
use crate::net::pool::MESSAGE;
use crate::net::queue::WriteQueue;
use crate::upstream::Todo;

/// A caller's message must be whole within this from its first byte on.
const WHOLE_WITHIN: Duration = Duration::from_millis(1_500);

/// So often is looked for the rest of a message before its connection is ended.
const REST_LOOK: Span = Span::from_millis(50);

/// A door is closed when nobody has come to it for so long, and after so long at the latest.
const QUIET: Duration = Duration::from_millis(5);
const CLOSES_WITHIN: Duration = Duration::from_millis(100);

/// Connections that are ended in order, and still wait for the other side, at most; any beyond are just closed.
const MOST_PARTING: usize = 64;

fn client_of(no: u64) -> Client {
    Client { front: FrontKind::JsonLines, no }
}

impl State {
    /// Looks whether a caller's connection has stayed for too long without use.
    pub(super) fn look_at(&mut self, no: u64, now: Time, todo: &mut Todo) {
        let carries = self.core.has_established_calls(client_of(no));
        self.guests.probe(no, || self.core.pending_call_on(client_of(no)).map(jsonl::trying));
        // Guards against a set-up of which a part is read, and which is too old to be made again when our close crosses its
        // rest. One that does not become whole ends its connection by itself.
        let begun = self.lines.get(&(Side::Caller, no)).is_some_and(|line| line.has_begun());
        if begun && self.guests.waits_for_the_rest(no, now) {
            return todo.dues.push((now.plus(REST_LOOK), DeadlineOwner::ClientConnections, no));
        }
        if let Some(came) = self.guests.owed_nothing(no) {
            match self.drain.look(came, carries, now) {
                Door::Stays => {}
                Door::Again(at) => return todo.dues.push((at, DeadlineOwner::ClientConnections, no)),
                Door::Ends => return self.guests.finish(no),
            }
        }
        match self.guests.look(no, carries, now) {
            Look::Again(at) => todo.dues.push((at, DeadlineOwner::ClientConnections, no)),
            Look::Ends => self.tally.expired += 1,
        }
    }
}

impl State {
    /// How many connections callers may hold beside those to the call servers that are listed.
    pub(super) fn share_descriptors(&mut self, limits: Limits) {
        self.guests.set_most(limits.client_connections_beside(self.core.listed_servers().count()));
    }

    /// Callers' connections give way to those to call servers, the least used first. Guards against idle connections that
    /// came while no list was held, and leave a list that comes without descriptors for its call servers.
    pub(super) fn yield_to_links(&mut self, limits: Limits, parting: usize) {
        self.share_descriptors(limits);
        let State { guests, core, .. } = self;
        while !guests.fits(parting) && guests.make_room(|no| core.has_established_calls(client_of(no))) {}
    }

    /// One of a connection's set-ups needs no answer any more; while callers are sent away it may end then.
    pub(super) fn settled(&mut self, no: u64, told: bool, now: Time, todo: &mut Todo) {
        self.guests.settled(no, told, now);
        if !self.drain.works() {
            todo.dues.push((now, DeadlineOwner::ClientConnections, no));
        }
    }
}

impl Instance {
    /// Accepts callers. Where there is no room left, the connection that needs it least makes room; if all are owed an
    /// answer, the new one is turned away. Guards against callers left waiting at a door that nobody opens.
    pub(super) async fn accept(self, listener: Rc<TcpListener>) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    self.comes(stream);
                    // A burst of connections must not keep those that are there waiting.
                    tokio::task::yield_now().await;
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    /// Closes the door of a process that ends, once those who had come to it are let in. Guards against callers who come
    /// late and wait for good at a door that the system keeps open and nobody stands at: a refused connection tells them
    /// at once that nothing was taken. `shared`: the platform or a successor stands at it too, and lets them in.
    pub(super) async fn close_door(&self, doors: &Doors, acceptor: Option<JoinHandle<()>>, shared: bool) {
        if let Some(acceptor) = acceptor {
            acceptor.abort();
            let _ = acceptor.await;
        }
        let Some(listener) = doors.listener.take().filter(|_| !shared) else { return };
        let closes = tokio::time::Instant::now() + CLOSES_WITHIN;
        loop {
            let quiet = (tokio::time::Instant::now() + QUIET).min(closes);
            match tokio::time::timeout_at(quiet, listener.accept()).await {
                Ok(Ok((stream, _))) => self.comes(stream),
                Ok(Err(_)) | Err(_) => return,
            }
        }
    }

    /// A caller has connected.
    fn comes(&self, stream: TcpStream) {
        let room = {
            let mut state = self.0.state.borrow_mut();
            let parting = self.0.parting.get();
            let State { guests, core, tally, .. } = &mut *state;
            let room =
                guests.has_room(parting) || guests.make_room(|no| core.has_established_calls(client_of(no)));
            tally.turned_away += u64::from(!room);
            room
        };
        if room {
            self.client(stream);
        }
    }

    /// Puts a new connection on the books and serves it. Both at once, so that a successor finds it there.
    fn client(&self, stream: TcpStream) {
        let queue = Rc::new(WriteQueue::within(&self.0.caller_bytes));
        let line = Rc::new(Line::new(stream));
        let now = self.0.clock.now();
        let mut no = 0;
        self.turn(|state, todo| {
            state.next_client += 1;
            no = state.next_client;
            state.lines.insert((Side::Caller, no), line.clone());
            let first_look = state.guests.add(no, queue.clone(), now);
            let until = state.drain.new_ones_until().map_or(first_look, |_| now);
            todo.dues.push((until, DeadlineOwner::ClientConnections, no));
            todo.inputs.push(Input::ClientUp(client_of(no)));
        });
        self.serve_client(no, line);
    }

    /// Serves a caller's connection that is on the books.
    pub(super) fn serve_client(&self, no: u64, line: Rc<Line>) {
        // Guards against a panic in reading one connection's bytes that leaves its entry behind.
        let gone = Gone { instance: self.clone(), no };
        spawn_local(self.clone().talk(no, line, gone));
    }

    async fn talk(self, no: u64, line: Rc<Line>, gone: Gone) {
        let Some(queue) = self.0.state.borrow().guests.queue_of(no) else { return };
        let mut reader = ClientReader { instance: self.clone(), no };
        let end = serve(&line, &queue, &self.0.pool, &mut reader).await;
        if !matches!(end, End::Closed | End::Ours) {
            self.0.state.borrow_mut().tally.lost += 1;
        }
        let in_order = end == End::Ours && queue.finished() && self.0.parting.get() < MOST_PARTING;
        // Nothing more can be said on it: releases go elsewhere from here on.
        drop(gone);
        if in_order {
            self.0.parting.set(self.0.parting.get() + 1);
            part(&line, &self.0.pool, &mut reader).await;
            self.0.parting.set(self.0.parting.get() - 1);
        }
    }

    /// A caller's connection has ended.
    pub(super) fn client_gone(&self, no: u64) {
        self.guarded(|state, todo| {
            state.lines.remove(&(Side::Caller, no));
            state.guests.remove(no);
            todo.inputs.push(Input::ClientDown(client_of(no)));
        });
    }

    /// A line on a connection that is ended, or about to be: set-ups on it are made again elsewhere, or were turned away.
    /// What gives up or ends a call is heard. Guards against calls left standing at call servers, and set-ups sent on,
    /// whose callers said so in the moment when their connection was closed here.
    fn last_line(&self, no: u64, bytes: &[u8]) {
        match jsonl::parse(bytes) {
            Ok(Said::Close(sid, cause)) => self.input(Input::HangUp(client_of(no), sid, cause)),
            Ok(Said::Closed(sid)) => self.input(Input::ReleaseConfirmed(sid)),
            _ => {}
        }
    }

    fn client_line(&self, no: u64, bytes: &[u8]) {
        let client = client_of(no);
        let now = self.0.clock.now();
        match jsonl::parse(bytes) {
            Ok(Said::Open(set_up)) => self.turn(|state, todo| {
                state.guests.owes(no, now);
                todo.inputs.push(Input::SetUp(client, set_up));
            }),
            Ok(Said::Close(sid, cause)) => self.turn(|state, todo| {
                state.guests.heard(no, now);
                todo.inputs.push(Input::HangUp(client, sid, cause));
            }),
            Ok(Said::Closed(sid)) => self.input(Input::ReleaseConfirmed(sid)),
            Ok(Said::Probe(sid)) => self.turn(|state, todo| {
                let passed = state.core.ready() && state.drain.works();
                state.guests.write(no, jsonl::probed(&sid, passed));
                todo.inputs.push(Input::HealthCheck(client));
            }),
            Ok(Said::Other) => {}
            Err(error) => self.turn(|state, todo| {
                state.tally.lines += 1;
                let answerable = match &error {
                    LineError::Lacks(sid, _) => {
                        let line = jsonl::close(*sid, jsonl::CAUSE_INVALID, Span::default());
                        // One whose name is that of a call owed an answer on this connection must not look like it.
                        !state.core.awaits_answer(*sid) && state.guests.write(no, line)
                    }
                    LineError::Form(_) | LineError::Name => false,
                };
                if let Some(at) = state.guests.offends(no, answerable, now) {
                    todo.dues.push((at, DeadlineOwner::ClientConnections, no));
                }
            }),
        }
    }
}

/// Takes a caller's connection off the books when its task ends, however it ends.
struct Gone {
    instance: Instance,
    no: u64,
}

impl Drop for Gone {
    fn drop(&mut self) {
        if self.instance.0.state.try_borrow_mut().is_ok() {
            self.instance.client_gone(self.no);
        }
    }
}

struct ClientReader {
    instance: Instance,
    no: u64,
}

impl Reader for ClientReader {
    fn read(&mut self, bytes: &[u8]) -> Result<usize, Unreadable> {
        let mut used = 0;
        let ending = || self.instance.0.state.borrow().guests.is_ending(self.no);
        while let Some(length) = bytes[used..].iter().position(|byte| *byte == b'\n') {
            let line = &bytes[used..used + length];
            used += length + 1;
            match line.trim_ascii().is_empty() {
                true => {}
                false if ending() => self.instance.last_line(self.no, line),
                false => self.instance.client_line(self.no, line),
            }
        }
        if bytes.len() - used > MESSAGE {
            if ending() {
                return Ok(bytes.len()); // no end of a call is so long
            }
            self.instance.0.state.borrow_mut().tally.lines += 1;
            return Err(Unreadable);
        }
        Ok(used)
    }
    fn ended(&mut self) -> bool {
        let now = self.instance.0.clock.now();
        let mut more = false;
        self.instance.turn(|state, todo| {
            more = state.guests.half_closed(self.no);
            state.look_at(self.no, now, todo);
        });
        more
    }
    fn patience(&self) -> Duration {
        WHOLE_WITHIN
    }
}
