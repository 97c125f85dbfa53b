//! Carries out the faults of a plan.

use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::process::Signal;
use serde_json::Value;
use tokio::net::TcpStream;
use tokio::task::spawn_local;

use crate::event_log::{EventKind, EventLog, ListedState};
use crate::sip::AnswerFault;
use crate::soak::controller::{ControllerProcess, Phase, MEMORY_LIMIT_MB};
use crate::soak::peers::{Peers, Server};
use crate::soak::plan::{Fault, Plan};
use crate::soak::tcp_path::ConnectionFaults;
use crate::under_test::LabError;

/// A process is killed this long after SIGTERM, beyond the longest deadline.
const KILL_MARGIN: Duration = Duration::from_millis(700);
/// The longest deadline counts as this at most.
const MAX_COUNTED_DEADLINE: Duration = Duration::from_secs(3);
/// How often an ending process is looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(2);
/// For this long after a fault of a path, what was sent before may be lost or late.
const SETTLE_TIME: Duration = Duration::from_millis(200);
/// How long new connections have faults.
const CONNECTION_FAULT_TIME: Duration = Duration::from_secs(2);
/// Discovery lists a restart this long after it.
const RESTART_LISTED_AFTER: Duration = Duration::from_millis(400);
/// The end of a call server follows its last releases at once, or after this time.
const END_AFTER_RELEASES: Duration = Duration::from_millis(3);
/// A drain is listed this long before discovery can be reached again.
const DRAIN_BEFORE_RETURN: Duration = Duration::from_millis(100);
/// The pause between two reloads in quick succession.
const RELOAD_PAUSE: Duration = Duration::from_millis(60);
/// The pause between two signals to a controller that stops.
const SIGNAL_PAUSE: Duration = Duration::from_millis(90);
/// How long a crowd stays.
const CROWD_TIME: Duration = Duration::from_secs(2);
/// At least this many call servers stay listed as ready.
const MIN_READY: usize = 2;

/// What faults act on.
pub struct Targets {
    /// The log of the trial.
    pub events: EventLog,
    /// The plan.
    pub plan: Rc<Plan>,
    /// Call servers and discovery.
    pub peers: Rc<Peers>,
    /// The controllers.
    pub controllers: Vec<Rc<ControllerProcess>>,
    /// The settings of the controllers.
    pub settings: Value,
    /// How many faults could not be applied, as too few call servers were left.
    pub skipped: Cell<u32>,
    /// What could not be applied for another reason.
    pub failures: RefCell<Vec<String>>,
}

impl Targets {
    /// Writes the configuration of a controller as it is in force now.
    pub fn write_config(&self, controller: &ControllerProcess, memory_mb: u64) -> Result<(), LabError> {
        let path = &self.peers.discovery_paths[controller.number][self.peers.discovery_path.get()];
        controller.write_config(path.at, &self.settings, memory_mb)
    }

    /// Starts a controller and waits until it serves.
    pub async fn start(&self, controller: &ControllerProcess) {
        let started = self.write_config(controller, MEMORY_LIMIT_MB).and_then(|()| controller.start());
        match started {
            Ok(()) => controller.wait_until_ready().await,
            Err(error) => controller.fail(&error.to_string()),
        }
    }

    /// Applies a fault from its begin to its end.
    pub async fn apply(self: Rc<Self>, fault: Fault) {
        match fault {
            Fault::StopController(number) => self.stop_controller(number).await,
            Fault::KillController(number) => self.kill_controller(number).await,
            Fault::Reload { times, moves_discovery } => self.reload(times, moves_discovery).await,
            Fault::ReplaceServer { server, drain_time, listed_after, sends_releases } => {
                self.replace_server(server, drain_time, listed_after, sends_releases).await
            }
            Fault::Cut(server, time) => self.cut(server, time).await,
            Fault::Vanish(server, time) => self.vanish(server, time).await,
            Fault::Hang(server, time) => self.hang(server, time).await,
            Fault::Restart(server, time) => self.restart(server, time).await,
            Fault::Reset(server) => self.reset(server),
            Fault::LateConnections(server, late_by) => {
                self.fault_connections(server, ConnectionFaults { late_by, ..self.usual_connections() }).await
            }
            Fault::ShortConnections(server, time) => {
                let faults = ConnectionFaults { closed_after: Some(time), ..self.usual_connections() };
                self.fault_connections(server, faults).await
            }
            Fault::SpoiltAnswers(server) => self.spoil_answers(server),
            Fault::SilentDiscovery(time) => self.fail_discovery(time, false).await,
            Fault::DiscoveryDown(time) => self.fail_discovery(time, true).await,
            Fault::Crowd(count) => self.crowd(count).await,
        }
    }

    /// The result of a step of a fault; an error fails the trial.
    fn expect<T>(&self, step: &str, result: io::Result<T>) -> Option<T> {
        let record = |error: io::Error| self.failures.borrow_mut().push(format!("{step}: {error}"));
        result.map_err(record).ok()
    }

    fn usual_connections(&self) -> ConnectionFaults {
        ConnectionFaults { in_pieces: self.plan.in_pieces, ..ConnectionFaults::default() }
    }

    /// A fault of the path to a call server begins, or ends; several may overlap.
    fn disturbed(&self, server: &Server, disturbed: bool) {
        let before = server.disturbances.get();
        let now = if disturbed { before + 1 } else { before - 1 };
        server.disturbances.set(now);
        if now == 0 || disturbed {
            self.events.record(&server.server.name, "", EventKind::Disturbed(disturbed));
        }
    }

    async fn stop_controller(&self, number: usize) {
        let controller = &self.controllers[number];
        if controller.phase.get() != Phase::Serving {
            return;
        }
        let stopped_at = Instant::now();
        controller.phase.set(Phase::Stopping(stopped_at));
        controller.signal(Signal::TERM);
        if self.plan.signals_in_series {
            spawn_local(signal_until_end(controller.clone()));
        }
        let kill_at = stopped_at + self.plan.deadline.min(MAX_COUNTED_DEADLINE) + KILL_MARGIN;
        while Instant::now() < kill_at && !controller.has_ended() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        controller.kill();
        self.start_again(controller).await;
    }

    async fn kill_controller(&self, number: usize) {
        let controller = &self.controllers[number];
        if controller.phase.get() == Phase::Serving {
            controller.kill();
            self.start_again(controller).await;
        }
    }

    async fn start_again(&self, controller: &ControllerProcess) {
        while !controller.has_ended() {
            tokio::time::sleep(CHECK_INTERVAL).await;
        }
        // Callers notice the end of their connections first.
        tokio::time::sleep(SETTLE_TIME).await;
        self.start(controller).await;
    }

    async fn reload(&self, times: u32, moves_discovery: bool) {
        for n in 0..times {
            if moves_discovery {
                self.peers.discovery_path.set(1 - self.peers.discovery_path.get());
                self.peers.discovery_fails_for(Duration::ZERO); // the open call is given up
            }
            for controller in &self.controllers {
                let catches_signals = matches!(controller.phase.get(), Phase::Serving | Phase::Stopping(_));
                if self.write_config(controller, MEMORY_LIMIT_MB - u64::from(n)).is_ok() && catches_signals {
                    controller.signal(Signal::HUP);
                }
            }
            tokio::time::sleep(RELOAD_PAUSE).await;
        }
    }

    /// A call server that may leave the list.
    fn dispensable(&self, number: usize) -> Option<Rc<Server>> {
        let server = self.peers.ready_server(number).filter(|_| self.peers.ready_count() > MIN_READY);
        if server.is_none() {
            self.skipped.set(self.skipped.get() + 1);
        }
        server
    }

    async fn replace_server(
        &self,
        number: usize,
        drain_time: Duration,
        listed_after: Duration,
        sends_releases: bool,
    ) {
        let Some(server) = self.dispensable(number) else { return };
        let added = self.peers.add_server(server.number(), 0).await;
        let Some(next) = self.expect("a new call server", added) else { return };
        next.mark_started();
        next.set_faults(self.usual_connections());
        self.peers.list(&next, ListedState::Ready);
        self.peers.list(&server, ListedState::Draining);
        tokio::time::sleep(drain_time).await;
        if sends_releases {
            server.server.cut_calls();
            if drain_time.subsec_micros().is_multiple_of(2) {
                tokio::time::sleep(END_AFTER_RELEASES).await;
            }
        }
        server.server.die();
        server.refuse();
        tokio::time::sleep(listed_after).await;
        self.peers.list(&server, ListedState::Gone);
    }

    async fn cut(&self, number: usize, time: Duration) {
        let Some(server) = self.peers.ready_server(number) else { return };
        self.disturbed(&server, true);
        server.cut();
        tokio::time::sleep(time).await;
        server.reset();
        tokio::time::sleep(SETTLE_TIME).await;
        self.disturbed(&server, false);
    }

    async fn vanish(&self, number: usize, time: Duration) {
        let Some(server) = self.peers.ready_server(number) else { return };
        self.disturbed(&server, true);
        server.cut();
        self.outage(&server, time).await;
        self.disturbed(&server, false);
    }

    async fn restart(&self, number: usize, time: Duration) {
        let Some(server) = self.peers.ready_server(number) else { return };
        self.disturbed(&server, true);
        server.refuse();
        self.outage(&server, time).await;
        self.disturbed(&server, false);
    }

    /// A call server's process dies and is started after a time, or after the last of several outages that overlap.
    async fn outage(&self, server: &Server, time: Duration) {
        server.outages.update(|outages| outages + 1);
        server.server.die();
        tokio::time::sleep(time).await;
        server.outages.update(|outages| outages - 1);
        if server.outages.get() == 0 {
            self.come_back(server).await;
        }
    }

    /// A call server's process starts, and its restart is listed later.
    async fn come_back(&self, server: &Server) {
        let restarted = server.server.restart().await;
        self.expect("the restart of a call server", restarted);
        server.reset();
        let accepts = server.accept().await;
        self.expect("the path to a call server", accepts);
        server.mark_started();
        tokio::time::sleep(RESTART_LISTED_AFTER).await;
        // A drain may have been listed meanwhile, and stays.
        if server.listed.get() != ListedState::Gone {
            self.peers.list(server, server.listed.get());
        }
    }

    async fn hang(&self, number: usize, time: Duration) {
        let Some(server) = self.peers.ready_server(number) else { return };
        server.model.set_silent(true);
        tokio::time::sleep(time).await;
        server.model.set_silent(false);
    }

    fn reset(&self, number: usize) {
        let Some(server) = self.peers.ready_server(number) else { return };
        server.reset();
        self.events.record(&server.server.name, "", EventKind::ConnectionsReset);
    }

    async fn fault_connections(&self, number: usize, faults: ConnectionFaults) {
        let Some(server) = self.peers.ready_server(number) else { return };
        self.disturbed(&server, true);
        server.set_faults(faults);
        server.reset();
        tokio::time::sleep(CONNECTION_FAULT_TIME).await;
        server.set_faults(self.usual_connections());
        server.reset();
        tokio::time::sleep(SETTLE_TIME).await;
        self.disturbed(&server, false);
    }

    fn spoil_answers(&self, number: usize) {
        let Some(server) = self.peers.ready_server(number) else { return };
        let faults = [
            AnswerFault::CutOff,
            AnswerFault::NotText,
            AnswerFault::WrongLength,
            AnswerFault::Twice,
            AnswerFault::Unreadable,
        ];
        server.server.answer_faults.borrow_mut().extend(faults);
    }

    async fn fail_discovery(&self, time: Duration, down: bool) {
        self.peers.discovery_fails_for(time);
        for path in self.peers.discovery_paths.iter().flatten() {
            if down {
                path.refuse();
            } else {
                path.cut();
            }
        }
        tokio::time::sleep(time.saturating_sub(DRAIN_BEFORE_RETURN)).await;
        let drained = (0..).map_while(|n| (n < crate::soak::plan::SERVERS).then_some(n));
        let drained = drained.into_iter().find_map(|n| self.peers.ready_server(n));
        if let Some(server) = drained.filter(|_| self.peers.ready_count() > MIN_READY) {
            self.peers.list(&server, ListedState::Draining);
        }
        tokio::time::sleep(DRAIN_BEFORE_RETURN).await;
        for path in self.peers.discovery_paths.iter().flatten() {
            path.reset();
            let accepts = path.accept().await;
            self.expect("the path to discovery", accepts);
        }
    }

    async fn crowd(&self, count: usize) {
        for controller in &self.controllers {
            let at = controller.at;
            for _ in 0..count {
                spawn_local(async move {
                    let stream = TcpStream::connect(at).await;
                    tokio::time::sleep(CROWD_TIME).await;
                    drop(stream);
                });
            }
        }
    }
}

/// Sends a stopping controller one signal after another until it ends.
async fn signal_until_end(controller: Rc<ControllerProcess>) {
    let series = [Signal::HUP, Signal::TERM];
    for signal in series.into_iter().cycle() {
        tokio::time::sleep(SIGNAL_PAUSE).await;
        if !matches!(controller.phase.get(), Phase::Stopping(_)) {
            return;
        }
        controller.signal(signal);
    }
}
