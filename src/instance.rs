//! One controller at work: its core, its wires and its sockets on one current-thread runtime.

mod callers;
mod follow;
mod handover;
mod keep;
mod links;
mod notices;
mod open;
mod operators;
mod reload;
mod replication;
mod tally;

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
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
use crate::net::conn::Line;
use crate::net::guests::Guests;
use crate::net::peers::{Peers, LONGEST};
use crate::net::pool::Pool;
use crate::net::queue::Budget;
use crate::outages::Outages;
use crate::upstream::iax2::Servers;
use crate::upstream::sip::Trunks;
use crate::upstream::Todo;
use follow::Followed;
pub use handover::Before;
use handover::{Doors, Side, Unfinished};
use keep::Keeper;
pub use keep::StoreConfig;
pub use open::{Bound, StartError};
use replication::Replication;
use tally::Tally;

/// How often the end of the last calls is looked for while stopping.
const LOOK_EVERY: Duration = Duration::from_millis(5);

/// Unix time that never steps back.
#[derive(Debug, Clone, Copy)]
struct Clock {
    base: u64,
    started: Instant,
}

impl Clock {
    /// One that is not behind `least`, which another process of this machine has seen.
    fn from(least: Time) -> Self {
        let base = SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_micros());
        Self { base: u64::try_from(base).unwrap_or(u64::MAX).max(least.0), started: Instant::now() }
    }
    fn now(&self) -> Time {
        let passed = u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX);
        Time(self.base.saturating_add(passed))
    }
    fn until(&self, at: Time) -> tokio::time::Instant {
        let after = Duration::from_micros(at.0.saturating_sub(self.base));
        tokio::time::Instant::from_std(self.started + after)
    }
}

/// Everything that is not a socket.
struct State {
    core: Core,
    guests: Guests,
    next_client: u64,
    sip: Trunks,
    callers: Callers,
    servers: Servers,
    callers_socket: Option<Rc<UdpSocket>>,
    servers_socket: Option<Rc<UdpSocket>>,
    peer_socket: Option<Rc<UdpSocket>>,
    peers: Peers,
    tally: Tally,
    drain: Drain,
    /// Who writes down what a life after this one needs; `None`: nobody.
    keeper: Option<Keeper>,
    /// The sockets of connections that stand.
    lines: BTreeMap<(Side, u64), Rc<Line>>,
}

/// What a controller is bound to until it ends.
#[derive(Debug)]
struct BoundTo {
    name: String,
    listen: Option<SocketAddr>,
    console: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    iax2: Option<Iax2Config>,
    store: Option<StoreConfig>,
    replication: Option<ReplicationConfig>,
}

struct Shared {
    bound_to: BoundTo,
    /// The directories to follow; a reload names others.
    followed: watch::Sender<Followed>,
    /// Where it stands in the bulletin's events.
    heard: RefCell<Cursor>,
    clock: Clock,
    state: RefCell<State>,
    /// The earliest deadline has changed.
    rearm: Notify,
    /// A successor that starts anew asks this process to end.
    leave: Notify,
    panics: Cell<u64>,
    /// What fails around it.
    outages: RefCell<Outages<notices::Party>>,
    /// Its tasks are about to be dropped: none may be added.
    ended: Cell<bool>,
    /// Callers' connections that are ended and wait for the other side.
    parting: Cell<usize>,
    limits: Cell<Limits>,
    pool: Pool,
    /// What may wait to be written to all callers.
    caller_bytes: Budget,
    /// What may wait to be written to all call servers.
    server_bytes: Budget,
    connect_timeout: Cell<Duration>,
    /// Replicated configuration and membership; `None`: off.
    replication: Option<Replication>,
}

/// A handle on a controller that runs.
#[derive(Clone)]
pub struct Instance(Rc<Shared>);

impl Instance {
    async fn serve(
        self,
        config: InstanceConfig,
        doors: Doors,
        left: Unfinished,
        stop: impl std::future::Future<Output = ()>,
    ) {
        self.finish(left);
        self.recover();
        let _ = self.page(config.initial_page.clone()); // what of it cannot be read, the bulletin is asked for
        self.turn(|state, todo| state.register(&config, self.0.clock.now(), todo));
        let timer = spawn_local(self.clone().keep_time());
        let listener = doors.listener.borrow().clone();
        let acceptor = listener.map(|listener| spawn_local(self.clone().accept(listener)));
        if let Some(console) = doors.console.clone() {
            spawn_local(self.clone().hear_operators(console, config.limits.console_connections()));
        }
        spawn_local(self.clone().follow(self.0.followed.subscribe()));
        let (callers, servers) = {
            let state = self.0.state.borrow();
            (state.callers_socket.clone(), state.servers_socket.clone())
        };
        if let Some(socket) = callers {
            spawn_local(self.clone().hear_iax2(socket, |state, from, bytes, now, todo| {
                state.callers.datagram(from, bytes, now, todo);
            }));
        }
        if let Some(socket) = servers {
            spawn_local(self.clone().hear_iax2(socket, |state, from, bytes, now, todo| {
                state.servers.datagram(from, bytes, now, todo);
            }));
        }
        let peer_socket = self.0.state.borrow().peer_socket.clone();
        if let Some(socket) = peer_socket {
            spawn_local(self.clone().hear_peers(socket));
        }
        if self.0.replication.is_some() {
            spawn_local(self.clone().replicate());
        }
        let stopped = async {
            tokio::select! {
                _ = stop => {}
                _ = self.0.leave.notified() => {}
            }
            self.begin_stop();
            let new_ones_until = self.0.state.borrow().drain.new_ones_until();
            tokio::time::sleep_until(self.0.clock.until(new_ones_until.unwrap_or_default())).await;
            self.close_door(&doors, acceptor, config.inherited_fd.is_some()).await;
            while !self.may_leave() {
                tokio::time::sleep(LOOK_EVERY).await;
            }
        };
        tokio::select! {
            _ = stopped => {}
            _ = self.hand_over(&doors) => {}
        }
        timer.abort();
        self.leave_replication();
        // Whoever still holds a handle must not hold the sockets: another process may want the addresses.
        self.0.ended.set(true);
        let mut state = self.0.state.borrow_mut();
        (state.callers_socket, state.servers_socket, state.peer_socket) = (None, None, None);
        state.keeper = None;
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.0.bound_to.name
    }

    /// Whether a list of call servers is held.
    pub fn ready(&self) -> bool {
        self.0.state.borrow().core.ready()
    }

    /// The counts so far.
    pub fn counters(&self) -> Counters {
        let state = self.0.state.borrow();
        let (core, sip, tally) = (state.core.counts(), state.sip.counts, &state.tally);
        let gauges = self.gauges(&state);
        Counters {
            name: self.0.bound_to.name.clone(),
            open: state.core.pending_calls(),
            standing: state.core.established_calls(),
            pending: gauges.pending,
            members: gauges.members,
            members_unavailable: gauges.members_unavailable,
            upstream_requests: gauges.upstream_requests,
            clients: state.guests.len(),
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
            not_made: sip.not_made,
            moved: sip.moved,
            spoilt: sip.spoilt,
            stale: sip.stale,
            malformed_lines: tally.lines,
            malformed_sip: sip.malformed + tally.sip,
            malformed_bulletin: tally.bulletin,
            bulletin_failures: tally.bulletin_failures,
            dns_failures: tally.dns_failures,
            iax2_callers: state.callers.live(),
            iax2_calls_in: state.callers.counts.news,
            iax2_calls_out: state.servers.counts.news,
            iax2_withdrawn: state.servers.counts.withdrawn,
            iax2_received: state.callers.counts.received + state.servers.counts.received,
            iax2_malformed: state.callers.counts.malformed + state.servers.counts.malformed,
            iax2_registered_at: state.callers.registered_at(self.0.clock.now()),
            iax2_not_let_in: state.callers.counts.not_let_in,
            iax2_tokens_asked: state.callers.counts.tokens_asked,
            iax2_tokens_refused: state.callers.counts.tokens_refused,
            mail: tally.mail,
            lost_connections: tally.lost,
            turned_away: tally.turned_away + state.callers.counts.turned_away,
            expired: tally.expired,
            unusable: core.unusable,
            reloads: tally.reloads,
            reload_failures: tally.reload_failures,
            panics: self.0.panics.get(),
        }
    }

    /// The call servers as listed.
    pub fn servers(&self) -> Vec<DirectoryEntry> {
        self.0.state.borrow().core.listed_servers().cloned().collect()
    }

    // ---- Inputs and effects ------------------------------------------------------------------

    fn input(&self, input: Input) {
        self.turn(|_, todo| todo.inputs.push(input));
    }

    /// Does something with the wires and carries out what follows, until nothing more follows.
    fn turn(&self, work: impl FnOnce(&mut State, &mut Todo)) {
        let mut todo = Todo::default();
        let mut state = self.0.state.borrow_mut();
        let before = state.core.deadlines.next_at();
        let now = self.0.clock.now();
        work(&mut state, &mut todo);
        state.settle(now, &mut todo);
        if !todo.links.is_empty() {
            state.yield_to_links(self.0.limits.get(), self.0.parting.get());
        }
        let after = state.core.deadlines.next_at();
        drop(state);
        if after != before {
            self.0.rearm.notify_one();
        }
        for (link, dial) in todo.links.into_iter().filter(|_| !self.0.ended.get()) {
            spawn_local(self.clone().link(link, dial));
        }
    }

    /// Sweeps the deadlines when the earliest falls due.
    async fn keep_time(self) {
        loop {
            let next = self.0.state.borrow().core.deadlines.next_at();
            match next {
                Some(at) => {
                    tokio::select! {
                        _ = self.0.rearm.notified() => continue,
                        _ = tokio::time::sleep_until(self.0.clock.until(at)) => {}
                    }
                    let now = self.0.clock.now();
                    self.guarded(|state, todo| state.sweep(now, todo));
                }
                None => self.0.rearm.notified().await,
            }
        }
    }

    /// The same for a task that serves many: a panic costs what caused it alone, and is counted.
    fn guarded(&self, work: impl FnOnce(&mut State, &mut Todo)) {
        let turn = std::panic::AssertUnwindSafe(|| self.turn(work));
        if std::panic::catch_unwind(turn).is_err() {
            self.0.panics.set(self.0.panics.get() + 1);
        }
    }

    // ---- Sockets -----------------------------------------------------------------------------

    async fn hear_iax2(
        self,
        socket: Rc<UdpSocket>,
        take: impl Fn(&mut State, SocketAddr, &[u8], Time, &mut Todo),
    ) {
        let mut bytes = vec![0; LONGEST_FRAME + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((n, from)) => {
                    let now = self.0.clock.now();
                    self.guarded(|state, todo| take(state, from, &bytes[..n], now, todo));
                }
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn hear_peers(self, socket: Rc<UdpSocket>) {
        let mut bytes = [0; LONGEST + 1];
        loop {
            match socket.recv_from(&mut bytes).await {
                Ok((n, from)) if n <= LONGEST => {
                    let number = self.0.state.borrow().peers.number_of(from);
                    if let Some(number) = number {
                        self.0.state.borrow_mut().tally.mail += 1;
                        let mail = Input::PeerMessage(number, bytes[..n].to_vec());
                        self.guarded(|_, todo| todo.inputs.push(mail));
                    }
                }
                Ok(_) => {}
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }
}

impl State {
    fn sweep(&mut self, now: Time, todo: &mut Todo) {
        let mut effects = Vec::new();
        let wires = self.core.expire_deadlines(now, &mut effects);
        for (part, key) in wires {
            match part {
                DeadlineOwner::ClientConnections => self.look_at(key, now, todo),
                DeadlineOwner::SipFirstMessage => self.sip.carries(key),
                DeadlineOwner::SipReconnect => self.sip.due(key, todo),
                DeadlineOwner::SipSilence => self.sip.watch(key, now, todo),
                DeadlineOwner::Iax2Front => self.callers.due(key, now, todo),
                DeadlineOwner::Iax2Upstream => self.servers.due(key, now, todo),
            }
        }
        self.carry_out(effects, now, todo);
    }

    fn settle(&mut self, now: Time, todo: &mut Todo) {
        let mut effects = Vec::new();
        loop {
            let inputs: VecDeque<Input> = std::mem::take(&mut todo.inputs).into();
            if inputs.is_empty() {
                break;
            }
            for input in inputs {
                self.core.handle(now, input, &mut effects);
                let effects = std::mem::take(&mut effects);
                self.carry_out(effects, now, todo);
            }
        }
        send_all(self.callers_socket.as_deref(), &mut todo.to_callers);
        send_all(self.servers_socket.as_deref(), &mut todo.to_servers);
        for (at, part, key) in todo.dues.drain(..) {
            self.core.deadlines.set(at, crate::core::Deadline::ProtocolAdapter(part, key));
        }
        self.keep();
    }

    fn carry_out(&mut self, effects: Vec<Effect>, now: Time, todo: &mut Todo) {
        for effect in effects {
            match effect {
                Effect::Answer(client, sid, body) => match client.front {
                    FrontKind::JsonLines => {
                        self.guests.write(client.no, jsonl::ready(sid, &body));
                        self.settled(client.no, true, now, todo);
                    }
                    FrontKind::Iax2 => self.callers.ready(client.no, &body, now, todo),
                },
                Effect::Refuse { client, sid, retryable, retry_after } => match client.front {
                    FrontKind::JsonLines => {
                        let cause = if retryable { jsonl::CAUSE_REFUSED } else { jsonl::CAUSE_FAILED };
                        self.guests.write(client.no, jsonl::close(sid, cause, retry_after));
                        self.settled(client.no, true, now, todo);
                    }
                    FrontKind::Iax2 => self.callers.refuse(client.no, retryable, retry_after, now, todo),
                },
                Effect::Release(client, sid, cause) => match client.front {
                    FrontKind::JsonLines => {
                        self.guests.write(client.no, jsonl::close(sid, cause, Default::default()));
                    }
                    FrontKind::Iax2 => self.callers.release(client.no, cause, now, todo),
                },
                Effect::ConfirmRelease(Client { front: FrontKind::JsonLines, no }, sid) => {
                    self.guests.write(no, jsonl::closed(sid));
                }
                Effect::AnswerNoLongerOwed(Client { front: FrontKind::JsonLines, no }) => {
                    self.settled(no, false, now, todo);
                }
                Effect::ProtocolViolation(Client { front: FrontKind::JsonLines, no }) => {
                    if let Some(at) = self.guests.offends(no, true, now) {
                        todo.dues.push((at, DeadlineOwner::ClientConnections, no));
                    }
                }
                Effect::ConfirmRelease(..) | Effect::AnswerNoLongerOwed(_) | Effect::ProtocolViolation(_) => {
                }
                Effect::Invite { server, sid, class, number, left, body } => match self.protocol(server) {
                    Protocol::Sip => {
                        self.sip.invite(server, sid, &class, &number, left, &body, now, todo);
                    }
                    Protocol::Iax2 => {
                        self.servers.invite(server, sid, &class, &number, left, &body, now, todo);
                    }
                },
                Effect::Cancel(server, sid) => {
                    self.sip.cancel(server, sid);
                    self.servers.hang_up(server, sid, CAUSE_CLEARED, now, todo);
                }
                Effect::Bye(server, sid, cause) => {
                    self.sip.bye(server, sid, cause, now, todo);
                    self.servers.hang_up(server, sid, cause, now, todo);
                }
                Effect::Connect { server, address, protocol: Protocol::Sip, restarted_at } => {
                    self.sip.reach(server, address, restarted_at, todo);
                }
                Effect::Connect { server, address, protocol: Protocol::Iax2, restarted_at } => {
                    self.servers.reach(server, address, restarted_at, now, todo);
                }
                Effect::CancelQueued(server) => {
                    self.sip.withdraw(server, todo);
                    self.servers.withdraw(server, now, todo);
                }
                Effect::StopConnecting(server) => self.sip.leave(server),
                Effect::ServerReplaced(server) => {
                    self.sip.replaced(server, todo);
                    self.servers.replaced(server, now, todo);
                }
                Effect::ForgetServer(server) => {
                    self.sip.forget(server);
                    self.servers.forget(server);
                }
                Effect::RestoreCall { server, sid, number } => self.sip.adopt(server, sid, number, now, todo),
                Effect::SendToPeers(to, data) => {
                    if let Some(socket) = &self.peer_socket {
                        self.peers.tell(socket, to, &data);
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

/// Sends datagrams without waiting; what cannot be sent now is sent again by its leg.
fn send_all(socket: Option<&UdpSocket>, datagrams: &mut Vec<Outgoing>) {
    for (to, bytes) in datagrams.drain(..) {
        if let Some(socket) = socket {
            let _ = socket.try_send_to(&bytes, to);
        }
    }
}
