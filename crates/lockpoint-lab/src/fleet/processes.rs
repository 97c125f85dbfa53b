//! A fleet of real controller processes that share the call servers, with a [`Mesh`] between them. Signals are sent only to
//! processes that were started here, by their ids.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use lockpoint::control::{send_request, Command, Reply, Request};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use super::mesh::Mesh;
use super::sim::Links;
use crate::under_test::{address, Agent, LabError, ResourceUsage, TempDir};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The settings of a site with one class of calls, with the platform's keys; the number of controllers is filled in later.
pub fn settings() -> Value {
    json!({"balancers": 1,
        "bounds": {"cancel": true, "max-attempts": 5, "max-retry-after-us": 2000000, "retry-after": true},
        "classes": [{"goal-time-us": 2000000, "hard-limit-us": 9000000, "late-worth": 0.1, "name": "judge-call",
            "semantics": "free", "worth": 1.0}],
        "extra": {"clear-wait-us": 500000, "shape": "skills", "this-node": -1, "says-wait": true},
        "granularity-us": 5000,
        "report": {"how": "inline", "names": ["idle", "circuits", "cpu_share", "pending"]},
        "rules": {"cold-share": 0.36, "cold-us": 14000000, "overload-factor": 2.5, "tip-after-us": 1000000},
        "zones": ["east"]})
}

/// The newest observation of a call server as a controller reports it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReportedObservation {
    /// The wait, in milliseconds.
    pub wait_ms: u64,
    /// Whether it does not answer.
    pub silent: bool,
    /// Age of the observation, in milliseconds.
    pub age_ms: u64,
    /// Index of the controller that made it.
    pub origin: u16,
}

/// A controller's process.
pub struct Process {
    agent: Agent,
    control_socket: PathBuf,
    /// The address to which its JSON-lines callers connect.
    pub client_address: SocketAddr,
}

impl Process {
    /// Starts a controller with one instance, its files in `folder`, and waits until it serves.
    pub async fn start(
        program: &Path,
        folder: &Path,
        me: u16,
        instance: &Value,
    ) -> Result<Process, LabError> {
        let control_socket = folder.join(format!("c{me}.sock"));
        let config = folder.join(format!("c{me}.toml"));
        let file = json!({"control": control_socket, "log": {"level": "warn"}, "instance": [instance]});
        let text = toml::to_string(&file).map_err(|e| LabError::file(&config, e))?;
        std::fs::write(&config, text).map_err(|e| LabError::file(&config, e))?;
        let mut agent = Agent::start(program, &config, &control_socket, true)?;
        let status = agent.wait_until(|i| i.state == "serving" && !i.servers.is_empty()).await?;
        let client_address = address(&status.first().and_then(|i| i.listen.clone()), "listen")?;
        Ok(Process { agent, control_socket, client_address })
    }

    /// Processor time and memory that the process has used.
    pub fn used(&self) -> ResourceUsage {
        self.agent.used()
    }

    /// Stops it gracefully. `true`: it ended without an error.
    pub async fn stop(self) -> bool {
        self.agent.stop().await
    }

    /// Its metrics by name, without their common prefix; empty if it does not answer.
    pub async fn metrics(&self) -> BTreeMap<String, u64> {
        let request = Request { command: Command::Info, instance: None };
        let Ok(Reply::ConsoleAnswers { instances }) = send_request(&self.control_socket, &request).await
        else {
            return BTreeMap::new();
        };
        let lines = instances.iter().flat_map(|called| called.answer.lines());
        let metric = |line: &str| {
            let (name, rest) = line.strip_prefix("controller.")?.rsplit_once(':')?;
            let value = rest.split('|').next()?.parse().ok()?;
            Some((name.to_owned(), value))
        };
        lines.filter_map(metric).collect()
    }
}

/// A fleet of processes.
pub struct Processes {
    /// The links between them.
    pub mesh: Rc<Mesh>,
    folder: TempDir,
    program: PathBuf,
    controllers: u16,
    bulletin: SocketAddr,
    /// Controllers that follow another bulletin from their next start on.
    pub bulletins: BTreeMap<u16, SocketAddr>,
    settings: Value,
    /// If set, the controllers form a fleet, with these keys in `[instance.fleet]`.
    pub fleet_settings: Option<Value>,
    /// If set, the controllers persist records, with these keys in `[instance.store]` besides the file.
    pub store_settings: Option<Value>,
    running: BTreeMap<u16, Process>,
}

impl Processes {
    /// Starts controllers that follow a bulletin and serve once it lists call servers. With `fleet_settings` they form
    /// a fleet, with these keys in `[instance.fleet]`.
    pub async fn start(
        program: &Path,
        controllers: u16,
        bulletin: SocketAddr,
        settings: &Value,
        fleet_settings: Option<Value>,
        seed: u64,
    ) -> Result<Processes, LabError> {
        let mut fleet = Processes::prepare(program, controllers, bulletin, settings, seed).await?;
        fleet.fleet_settings = fleet_settings;
        fleet.start_all().await?;
        Ok(fleet)
    }

    /// Prepares such a fleet without starting any controller.
    pub async fn prepare(
        program: &Path,
        controllers: u16,
        bulletin: SocketAddr,
        settings: &Value,
        seed: u64,
    ) -> Result<Processes, LabError> {
        let mut settings = settings.clone();
        settings["balancers"] = json!(controllers);
        Ok(Processes {
            mesh: Mesh::new(controllers, seed, Links::default()).await?,
            folder: TempDir::new(&format!("fleet-{}-{seed}", bulletin.port()))?,
            program: program.to_owned(),
            controllers,
            bulletin,
            bulletins: BTreeMap::new(),
            settings,
            fleet_settings: None,
            store_settings: None,
            running: BTreeMap::new(),
        })
    }

    /// Starts all of them, one after the other.
    pub async fn start_all(&mut self) -> Result<(), LabError> {
        for me in 0..self.controllers {
            self.start_controller(me).await?;
        }
        Ok(())
    }

    /// The file in which a controller persists its records.
    pub fn record_file(&self, me: u16) -> PathBuf {
        self.folder.path().join(format!("c{me}.store"))
    }

    /// Starts a controller, for the first time or again, and waits until it serves.
    pub async fn start_controller(&mut self, me: u16) -> Result<(), LabError> {
        let bulletin = self.bulletins.get(&me).unwrap_or(&self.bulletin);
        let mut instance = json!({"name": format!("c{me}"), "listen": "127.0.0.1:0", "bulletin": bulletin,
            "seed": u64::from(me) + 1, "settings": self.settings});
        if let Some(keys) = &self.fleet_settings {
            instance["fleet"] = keys.clone();
            instance["fleet"]["listen"] = json!(self.mesh.listens_at(me));
            instance["fleet"]["peers"] = json!(self.mesh.peers_of(me));
            instance["fleet"]["me"] = json!(me);
        }
        if let Some(keys) = &self.store_settings {
            instance["store"] = keys.clone();
            instance["store"]["file"] = json!(self.record_file(me));
        }
        let process = Process::start(&self.program, self.folder.path(), me, &instance).await?;
        self.running.insert(me, process);
        Ok(())
    }

    /// The control socket of a controller's agent.
    pub fn control(&self, me: u16) -> Option<&Path> {
        self.running.get(&me).map(|process| process.control_socket.as_path())
    }

    /// The address to which the callers of a controller connect.
    pub fn client_address(&self, me: u16) -> Option<SocketAddr> {
        self.running.get(&me).map(|process| process.client_address)
    }

    /// The controllers that are running.
    pub fn running(&self) -> Vec<u16> {
        self.running.keys().copied().collect()
    }

    /// Kills a controller with SIGKILL.
    pub async fn kill(&mut self, me: u16) {
        if let Some(process) = self.running.remove(&me) {
            process.agent.kill().await;
        }
    }

    /// Suspends a controller with SIGSTOP, or resumes it with SIGCONT.
    pub fn suspend(&self, me: u16, suspended: bool) -> Result<(), LabError> {
        let signal = if suspended { Signal::STOP } else { Signal::CONT };
        let process = self.running.get(&me).and_then(|p| Pid::from_raw(i32::try_from(p.agent.pid).ok()?));
        let Some(pid) = process else { return Err(LabError::NotServing(format!("c{me} is not running"))) };
        kill_process(pid, signal).map_err(|why| LabError::NotServing(format!("c{me}: {why}")))
    }

    /// Stops all controllers gracefully. `true`: each ended without an error.
    pub async fn stop(mut self) -> bool {
        let mut all_graceful = true;
        for (_, process) in std::mem::take(&mut self.running) {
            all_graceful &= process.agent.stop().await;
        }
        all_graceful
    }

    /// A controller's metrics by name, without their common prefix; empty if it does not answer.
    pub async fn metrics(&self, me: u16) -> BTreeMap<String, u64> {
        match self.running.get(&me) {
            Some(process) => process.metrics().await,
            None => BTreeMap::new(),
        }
    }

    /// The newest observation of a call server that a controller reports.
    pub async fn view(&self, me: u16, host: &str) -> Option<ReportedObservation> {
        let metrics = self.metrics(me).await;
        let metric = |name: &str| metrics.get(&format!("fleet.server.{host}.{name}")).copied();
        Some(ReportedObservation {
            wait_ms: metric("wait_ms")?,
            silent: metric("silent")? > 0,
            age_ms: metric("age_ms")?,
            origin: u16::try_from(metric("origin")?).ok()?,
        })
    }

    /// Waits until a controller's metrics satisfy `wanted`; panics with the last ones if they do not in time.
    pub async fn wait_for_metrics(
        &self,
        what: &str,
        me: u16,
        wanted: impl Fn(&BTreeMap<String, u64>) -> bool,
    ) {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let metrics = self.metrics(me).await;
            if wanted(&metrics) {
                return;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "timed out waiting until {what}; last metrics of c{me}: {metrics:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a controller's observation of a call server satisfies `wanted`; panics with the last one if it does not in
    /// time.
    pub async fn wait_for_view(
        &self,
        what: &str,
        me: u16,
        host: &str,
        wanted: impl Fn(Option<ReportedObservation>) -> bool,
    ) -> Option<ReportedObservation> {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let view = self.view(me, host).await;
            if wanted(view) {
                return view;
            }
            assert!(
                tokio::time::Instant::now() < end,
                "timed out waiting until {what}; last observation of {host} by c{me}: {view:?}"
            );
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
