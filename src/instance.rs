//! A running controller: its core, its protocol adapters and its sockets, on one current-thread runtime.

mod call_log;
mod callers;
mod counters;
mod directories;
mod handover;
pub mod leg_handover;
mod links;
mod operators;
mod outage_log;
mod persistence;
mod reload;
mod replication;
mod startup;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use tokio::net::UdpSocket;
use tokio::sync::{watch, Notify};
use tokio::task::spawn_local;

use crate::config::{Iax2Config, InstanceConfig, Limits, ReplicationConfig};
use crate::core::{
    Client, Core, DeadlineOwner, DirectoryEntry, Effect, FrontKind, Input, Protocol, CAUSE_CLEARED,
};
use crate::counters::Counters;
use crate::directory::bulletin::Cursor;
use crate::drain::Drain;
use crate::front::iax2::Callers;
use crate::front::jsonl;
use crate::iax2::frame::MAX_DATAGRAM_BYTES as LONGEST_FRAME;
use crate::iax2::legs::Outgoing;
use crate::interface::{ServerId, Time};
use crate::net::client_connections::ClientConnections;
use crate::net::conn::Connection;
use crate::net::peers::{Peers, MAX_DATAGRAM_BYTES};
use crate::net::pool::BufferPool;
use crate::net::queue::Budget;
use crate::outages::Outages;
use crate::upstream::iax2::Servers;
use crate::upstream::sip::Trunks;
use crate::upstream::AdapterOutput;
use counters::LocalCounters;
use directories::DirectoryConfig;
pub use handover::Predecessor;
use handover::{Listeners, PendingConnections, Side};
use persistence::RecordWriter;
pub use persistence::StoreConfig;
use replication::Replication;
pub use startup::{BoundInstance, StartError};

/// How long a stopping controller waits for the confirmation of its last releases.
const RELEASES_CONFIRMED_WITHIN: Duration = Duration::from_millis(500);
/// How often a stopping controller checks whether its last calls have ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(5);

/// Unix time that never steps back.
#[derive(Debug, Clone, Copy)]
struct Clock {
    base_us: u64,
    started: Instant,
}

impl Clock {
    /// A clock that starts no earlier than `least`, the last time that a predecessor on this machine has read.
    fn not_before(least: Time) -> Self {
        let base_us = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros());
        Self { base_us: u64::try_from(base_us).unwrap_or(u64::MAX).max(least.0), started: Instant::now() }
    }
    fn now(&self) -> Time {
        let passed = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time(self.base_us.saturating_add(passed))
    }
    fn until(&self, at: Time) -> tokio::time::Instant {
        let after = Duration::from_micros(at.0.saturating_sub(self.base_us));
        tokio::time::Instant::from_std(self.started + after)
    }
}

/// Mutable state of a controller, borrowed for the length of one event loop iteration.
struct State {
    core: Core,
    client_connections: ClientConnections,
    next_client: u64,
    sip: Trunks,
    iax2_front: Callers,
    iax2_servers: Servers,
    iax2_front_socket: Option<Rc<UdpSocket>>,
    iax2_server_socket: Option<Rc<UdpSocket>>,
    peer_socket: Option<Rc<UdpSocket>>,
    peers: Peers,
    counters: LocalCounters,
    drain: Drain,
    /// Writes the records from which a later process recovers; `None`: no store is configured.
    record_writer: Option<RecordWriter>,
    /// The sockets of open TCP connections, by remote side and number.
    connections: BTreeMap<(Side, u64), Rc<Connection>>,
}

/// Configuration that only a restart can change.
#[derive(Debug)]
struct FixedConfig {
    name: String,
    listen: Option<SocketAddr>,
    console: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    iax2: Option<Iax2Config>,
    store: Option<StoreConfig>,
    replication: Option<ReplicationConfig>,
}

struct Shared {
    fixed_config: FixedConfig,
    /// The directories to follow; a reload may change them.
    directories: watch::Sender<DirectoryConfig>,
    /// Position in the bulletin's events.
    bulletin_cursor: RefCell<Cursor>,
    clock: Clock,
    state: RefCell<State>,
    /// Notified when the earliest deadline has changed.
    rearm: Notify,
    /// Notified when a successor that starts without this process's state asks it to stop.
    stop_requested: Notify,
    panics: Cell<u64>,
    /// Call servers and directories that fail at present.
    outages: RefCell<Outages<outage_log::Party>>,
    /// The controller's tasks are about to be dropped: no more may be spawned.
    stopped: Cell<bool>,
    /// Callers' connections that are closed here and wait for the caller to close.
    closing_connections: Cell<usize>,
    limits: Cell<Limits>,
    /// Read buffers of callers' connections.
    client_buffers: BufferPool,
    /// Read buffers of connections to call servers, separate so that callers cannot use them up.
    server_buffers: BufferPool,
    /// Bytes that may wait to be written to all callers.
    caller_bytes: Budget,
    /// Bytes that may wait to be written to all call servers.
    server_bytes: Budget,
    connect_timeout: Cell<Duration>,
    /// Replicated configuration and membership; `None`: off.
    replication: Option<Replication>,
    /// Where the legs of IAX2 callers are left for the next process; `None`: their calls end with this process.
    leg_file: RefCell<Option<PathBuf>>,
}

/// A handle on a running controller.
#[derive(Clone)]
pub struct Instance(Rc<Shared>);

impl Instance {
    async fn serve(
        self,
        config: InstanceConfig,
        listeners: Listeners,
        pending: PendingConnections,
        stop: impl std::future::Future<Output = ()>,
    ) {
        self.resume_connections(pending);
        self.recover();
        // Unreadable events are requested from the bulletin later.
        let _ = self.take_bulletin_page(config.initial_page.clone());
        self.apply(|state, todo| state.register(&config, self.0.clock.now(), todo));
        let timer = spawn_local(self.clone().run_timer());
        let listener = listeners.callers.borrow().clone();
        let acceptor = listener.map(|listener| spawn_local(self.clone().accept(listener)));
        if let Some(console) = listeners.console.clone() {
            spawn_local(self.clone().serve_console(console, config.limits.console_connections()));
        }
        spawn_local(self.clone().follow(self.0.directories.subscribe()));
        let (callers, servers) = {
            let state = self.0.state.borrow();
            (state.iax2_front_socket.clone(), state.iax2_server_socket.clone())
        };
        if let Some(socket) = callers {
            spawn_local(self.clone().receive_iax2(socket, |state, from, bytes, now, todo| {
                state.iax2_front.handle_datagram(from, bytes, now, todo);
            }));
        }
        if let Some(socket) = servers {
            spawn_local(self.clone().receive_iax2(socket, |state, from, bytes, now, todo| {
                state.iax2_servers.handle_datagram(from, bytes, now, todo);
            }));
        }
        let peer_socket = self.0.state.borrow().peer_socket.clone();
        if let Some(socket) = peer_socket {
            spawn_local(self.clone().receive_peer_messages(socket));
        }
        if self.0.replication.is_some() {
            spawn_local(self.clone().replicate());
        }
        let stopped = async {
            tokio::select! {
                _ = stop => {}
                _ = self.0.stop_requested.notified() => {}
            }
            self.begin_stop();
            let accepts_until = self.0.state.borrow().drain.accepts_connections_until();
            tokio::time::sleep_until(self.0.clock.until(accepts_until.unwrap_or_default())).await;
            self.close_listener(&listeners, acceptor, config.inherited_fd.is_some()).await;
            while !self.may_exit() {
                tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            }
            self.end_leg_calls();
            let confirmed_by = tokio::time::Instant::now() + RELEASES_CONFIRMED_WITHIN;
            while self.has_unconfirmed_releases() && tokio::time::Instant::now() < confirmed_by {
                tokio::time::sleep(STOP_CHECK_INTERVAL).await;
            }
            self.leave_legs();
            self.close_client_connections().await;
        };
        tokio::select! {
            _ = stopped => {}
            _ = self.hand_over(&listeners) => {}
        }
        timer.abort();
        self.stop_replication();
        // A remaining handle must not keep the sockets open: another process may need their addresses.
        self.0.stopped.set(true);
        let mut state = self.0.state.borrow_mut();
        (state.iax2_front_socket, state.iax2_server_socket, state.peer_socket) = (None, None, None);
        state.record_writer = None;
    }

    /// The controller's name.
    pub fn name(&self) -> &str {
        &self.0.fixed_config.name
    }

    /// Whether a list of call servers has been received.
    pub fn ready(&self) -> bool {
        self.0.state.borrow().core.ready()
    }

    /// The counters so far.
    pub fn counters(&self) -> Counters {
        let state = self.0.state.borrow();
        let (core, sip, counters) = (state.core.counts(), state.sip.counts, &state.counters);
        let gauges = self.gauges(&state);
        Counters {
            name: self.0.fixed_config.name.clone(),
            open: state.core.pending_calls(),
            standing: state.core.established_calls(),
            pending: gauges.pending,
            members: gauges.members,
            members_unavailable: gauges.members_unavailable,
            upstream_requests: gauges.upstream_requests,
            clients: state.client_connections.len(),
            taken: core.taken,
            duplicates: core.duplicates,
            completed: core.answered,
            rejected: core.refused,
            failed: core.failed,
            given_up: core.given_up,
            released: core.released,
            unknown_released: core.unknown_released,
            attempts: core.sent,
            cancelled: core.cancelled,
            held_back: core.held_back,
            late_answers: core.late_answers,
            unknown_answers: core.unknown_answers,
            invites: sip.invites,
            withdrawn: sip.withdrawn,
            connected: sip.connected,
            not_made: sip.connect_failures,
            moved: sip.moved,
            spoilt: sip.closed_malformed,
            stale: sip.stale,
            malformed_lines: counters.malformed_lines,
            malformed_sip: sip.malformed + counters.malformed_sip,
            malformed_bulletin: counters.malformed_bulletin,
            bulletin_failures: counters.bulletin_failures,
            dns_failures: counters.dns_failures,
            iax2_callers: state.iax2_front.live(),
            iax2_calls_in: state.iax2_front.counts.new_frames,
            iax2_calls_out: state.iax2_servers.counts.new_frames,
            iax2_withdrawn: state.iax2_servers.counts.withdrawn,
            iax2_received: state.iax2_front.counts.received + state.iax2_servers.counts.received,
            iax2_malformed: state.iax2_front.counts.malformed + state.iax2_servers.counts.malformed,
            iax2_registered_at: state.iax2_front.registered_at(self.0.clock.now()),
            iax2_not_let_in: state.iax2_front.counts.not_let_in,
            iax2_tokens_asked: state.iax2_front.counts.tokens_asked,
            iax2_tokens_refused: state.iax2_front.counts.tokens_refused,
            mail: counters.peer_messages,
            lost_connections: counters.lost_connections,
            turned_away: counters.turned_away + state.iax2_front.counts.turned_away,
            expired: counters.expired,
            unusable: core.unusable,
            reloads: counters.reloads,
            reload_failures: counters.reload_failures,
            panics: self.0.panics.get(),
        }
    }

    /// The call servers in the current list.
    pub fn servers(&self) -> Vec<DirectoryEntry> {
        self.0.state.borrow().core.listed_servers().cloned().collect()
    }

    // ---- Inputs and effects ------------------------------------------------------------------

    fn input(&self, input: Input) {
        self.apply(|_, todo| todo.inputs.push(input));
    }

    /// One event loop iteration: runs `work`, then processes the inputs and effects that follow from it until there
    /// are no more.
    fn apply(&self, work: impl FnOnce(&mut State, &mut AdapterOutput)) {
        let mut todo = AdapterOutput::default();
        let mut state = self.0.state.borrow_mut();
        let before = state.core.deadlines.next_at();
        let now = self.0.clock.now();
        work(&mut state, &mut todo);
        state.process_inputs(now, &mut todo);
        if !todo.connects.is_empty() {
            state.make_room_for_links(self.0.limits.get(), self.0.closing_connections.get());
        }
        let after = state.core.deadlines.next_at();
        drop(state);
        if after != before {
            self.0.rearm.notify_one();
        }
        for (link, dial) in todo.connects.into_iter().filter(|_| !self.0.stopped.get()) {
            spawn_local(self.clone().link(link, dial));
        }
    }

    /// Expires deadlines when the earliest is due.
    async fn run_timer(self) {
        loop {
            let next = self.0.state.borrow().core.deadlines.next_at();
            match next {
                Some(at) => {
                    tokio::select! {
                        _ = self.0.rearm.notified() => continue,
                        _ = tokio::time::sleep_until(self.0.clock.until(at)) => {}
                    }
                    let now = self.0.clock.now();
                    self.apply_guarded(|state, todo| state.expire_deadlines(now, todo));
                }
                None => self.0.rearm.notified().await,
            }
        }
    }

    /// Like `apply`, for tasks that serve many connections: a panic is counted and does not end the task.
    fn apply_guarded(&self, work: impl FnOnce(&mut State, &mut AdapterOutput)) {
        let iteration = std::panic::AssertUnwindSafe(|| self.apply(work));
        if std::panic::catch_unwind(iteration).is_err() {
            self.0.panics.set(self.0.panics.get() + 1);
        }
    }

    // ---- Sockets -----------------------------------------------------------------------------

    async fn receive_iax2(
        self,
        socket: Rc<UdpSocket>,
        handle: impl Fn(&mut State, SocketAddr, &[u8], Time, &mut AdapterOutput),
    ) {
        let mut bytes = vec![0; LONGEST_FRAME + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((n, from)) => {
                    let now = self.0.clock.now();
                    self.apply_guarded(|state, todo| handle(state, from, &bytes[..n], now, todo));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn receive_peer_messages(self, socket: Rc<UdpSocket>) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((n, from)) if n <= MAX_DATAGRAM_BYTES => {
                    let number = self.0.state.borrow().peers.number_of(from);
                    if let Some(number) = number {
                        self.0.state.borrow_mut().counters.peer_messages += 1;
                        let message = Input::PeerMessage(number, bytes[..n].to_vec());
                        self.apply_guarded(|_, todo| todo.inputs.push(message));
                    }
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
}

impl State {
    fn expire_deadlines(&mut self, now: Time, todo: &mut AdapterOutput) {
        let mut effects = Vec::new();
        let adapter_deadlines = self.core.expire_deadlines(now, &mut effects);
        for (owner, key) in adapter_deadlines {
            match owner {
                DeadlineOwner::ClientConnections => self.review_client(key, now, todo),
                DeadlineOwner::SipFirstMessage => self.sip.first_message_overdue(key),
                DeadlineOwner::SipReconnect => self.sip.reconnect(key, todo),
                DeadlineOwner::SipSilence => self.sip.run_timer(key, now, todo),
                DeadlineOwner::Iax2Front => self.iax2_front.run_timer(key, now, todo),
                DeadlineOwner::Iax2Upstream => self.iax2_servers.run_timer(key, now, todo),
            }
        }
        self.apply_effects(effects, now, todo);
    }

    fn process_inputs(&mut self, now: Time, todo: &mut AdapterOutput) {
        let mut effects = Vec::new();
        loop {
            let inputs: VecDeque<Input> = std::mem::take(&mut todo.inputs).into();
            if inputs.is_empty() {
                break;
            }
            for input in inputs {
                call_log::log_input(now, &input);
                self.core.handle(now, input, &mut effects);
                let effects = std::mem::take(&mut effects);
                self.apply_effects(effects, now, todo);
            }
        }
        send_all(self.iax2_front_socket.as_deref(), &mut todo.to_callers);
        send_all(self.iax2_server_socket.as_deref(), &mut todo.to_servers);
        for (at, owner, key) in todo.deadlines.drain(..) {
            self.core.deadlines.set(at, crate::core::Deadline::ProtocolAdapter(owner, key));
        }
        self.persist_changes();
    }

    fn apply_effects(&mut self, effects: Vec<Effect>, now: Time, todo: &mut AdapterOutput) {
        for effect in effects {
            call_log::log_effect(now, &effect);
            match effect {
                Effect::Answer(client, sid, body) => match client.front {
                    FrontKind::JsonLines => {
                        self.client_connections.write(client.no, jsonl::ready(sid, &body));
                        self.answer_settled(client.no, true, now, todo);
                    }
                    FrontKind::Iax2 => self.iax2_front.ready(client.no, &body, now, todo),
                },
                Effect::Refuse { client, sid, retryable, retry_after, reason: _ } => match client.front {
                    FrontKind::JsonLines => {
                        let cause = if retryable { jsonl::CAUSE_REFUSED } else { jsonl::CAUSE_FAILED };
                        self.client_connections.write(client.no, jsonl::close(sid, cause, retry_after));
                        self.answer_settled(client.no, true, now, todo);
                    }
                    FrontKind::Iax2 => self.iax2_front.refuse(client.no, retryable, retry_after, now, todo),
                },
                Effect::Release(client, sid, cause) => match client.front {
                    FrontKind::JsonLines => {
                        self.client_connections
                            .write(client.no, jsonl::close(sid, cause, Default::default()));
                    }
                    FrontKind::Iax2 => self.iax2_front.release(client.no, cause, now, todo),
                },
                Effect::ConfirmRelease(Client { front: FrontKind::JsonLines, no }, sid) => {
                    self.client_connections.write(no, jsonl::closed(sid));
                }
                Effect::AnswerNoLongerOwed(Client { front: FrontKind::JsonLines, no }) => {
                    self.answer_settled(no, false, now, todo);
                }
                Effect::ProtocolViolation(Client { front: FrontKind::JsonLines, no }) => {
                    if let Some(at) = self.client_connections.malformed_received(no, true, now) {
                        todo.deadlines.push((at, DeadlineOwner::ClientConnections, no));
                    }
                }
                Effect::ConfirmRelease(..) | Effect::AnswerNoLongerOwed(_) | Effect::ProtocolViolation(_) => {
                }
                Effect::Invite { server, sid, class, number, left, body } => match self.protocol(server) {
                    Protocol::Sip => {
                        self.sip.invite(server, sid, &class, &number, left, &body, now, todo);
                    }
                    Protocol::Iax2 => {
                        self.iax2_servers.set_up(server, sid, &class, &number, left, &body, now, todo);
                    }
                },
                Effect::Cancel(server, sid) => {
                    self.sip.cancel(server, sid);
                    self.iax2_servers.hang_up(server, sid, CAUSE_CLEARED, now, todo);
                }
                Effect::Bye(server, sid, cause) => {
                    self.sip.bye(server, sid, cause, now, todo);
                    self.iax2_servers.hang_up(server, sid, cause, now, todo);
                }
                Effect::ServerRestarted(server, restarted_at) => {
                    self.sip.restarted(server, restarted_at, todo);
                    self.iax2_servers.restarted(server, restarted_at, now, todo);
                }
                Effect::Connect { server, address, protocol: Protocol::Sip } => {
                    self.sip.connect(server, address, todo);
                }
                Effect::Connect { server, address, protocol: Protocol::Iax2 } => {
                    self.iax2_servers.set_address(server, address);
                }
                Effect::CancelQueued(server) => {
                    self.sip.cancel_queued(server, todo);
                    self.iax2_servers.cancel_unanswered(server, now, todo);
                }
                Effect::StopConnecting(server) => self.sip.stop_connecting(server, todo),
                Effect::ServerReplaced(server) => {
                    self.sip.replaced(server, todo);
                    self.iax2_servers.replaced(server, now, todo);
                }
                Effect::ForgetServer(server) => {
                    self.sip.forget(server);
                    self.iax2_servers.forget(server);
                }
                Effect::RestoreCall { server, sid, number } => {
                    self.sip.restore_call(server, sid, number, now, todo)
                }
                Effect::SendToPeers(to, data) => {
                    if let Some(socket) = &self.peer_socket {
                        self.peers.send(socket, to, &data);
                    }
                }
                Effect::Log(line) => tracing::info!("{line}"),
            }
        }
    }

    fn protocol(&self, server: ServerId) -> Protocol {
        self.core.protocol_of(server).unwrap_or(Protocol::Sip)
    }
}

/// Sends datagrams without waiting; one that cannot be sent now is retransmitted by its call leg.
fn send_all(socket: Option<&UdpSocket>, datagrams: &mut Vec<Outgoing>) {
    for (to, bytes) in datagrams.drain(..) {
        if let Some(socket) = socket {
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}
