//! A fleet of real controller processes that share the call servers, with a [`Mesh`] between them. Signals are sent only to
//! processes that were started here, by their ids.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use lockpoint::control::{ask, Command, Reply, Request};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};

use super::mesh::Mesh;
use super::sim::Links;
use crate::under_test::{address, Agent, Folder, LabError, Used};

/// Longest wait for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// The settings of a site with one class of calls, in the platform's words; how many controllers there are is filled in.
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
    control: PathBuf,
    /// Where its JSON-lines callers connect.
    pub at: SocketAddr,
}

impl Process {
    /// Starts a controller with one instance, its files in `folder`, and waits until it serves.
    pub async fn start(
        program: &Path,
        folder: &Path,
        me: u16,
        instance: &Value,
    ) -> Result<Process, LabError> {
        let control = folder.join(format!("c{me}.sock"));
        let config = folder.join(format!("c{me}.toml"));
        let file = json!({"control": control, "log": {"level": "warn"}, "instance": [instance]});
        let text = toml::to_string(&file).map_err(|e| LabError::file(&config, e))?;
        std::fs::write(&config, text).map_err(|e| LabError::file(&config, e))?;
        let mut agent = Agent::start(program, &config, &control, true)?;
        let status = agent.until(|i| i.state == "serving" && !i.servers.is_empty()).await?;
        let at = address(&status.first().and_then(|i| i.listen.clone()), "listen")?;
        Ok(Process { agent, control, at })
    }

    /// What its process has used.
    pub fn used(&self) -> Used {
        self.agent.used()
    }

    /// Ends it in order. `true`: it ended so.
    pub async fn stop(self) -> bool {
        self.agent.stop().await
    }

    /// Its figures by name, without their common beginning; none where it does not answer.
    pub async fn metrics(&self) -> BTreeMap<String, u64> {
        let request = Request { command: Command::Info, instance: None };
        let Ok(Reply::Called { instances }) = ask(&self.control, &request).await else {
            return BTreeMap::new();
        };
        let lines = instances.iter().flat_map(|called| called.answer.lines());
        let figure = |line: &str| {
            let (name, rest) = line.strip_prefix("controller.")?.rsplit_once(':')?;
            let value = rest.split('|').next()?.parse().ok()?;
            Some((name.to_owned(), value))
        };
        lines.filter_map(figure).collect()
    }
}

/// A fleet of processes.
pub struct Processes {
    /// The links between them.
    pub mesh: Rc<Mesh>,
    folder: Folder,
    program: PathBuf,
    controllers: u16,
    bulletin: SocketAddr,
    /// Those that follow a bulletin of their own, from their next start on.
    pub bulletins: BTreeMap<u16, SocketAddr>,
    settings: Value,
    /// The controllers form a fleet, with these keys in `[instance.fleet]`.
    pub fleet_settings: Option<Value>,
    /// They keep records, with these keys in `[instance.store]` beside the file.
    pub store_settings: Option<Value>,
    each: BTreeMap<u16, Process>,
}

impl Processes {
    /// Starts controllers that follow a bulletin and serve once it lists call servers. With `shares` they form a fleet, with
    /// these keys in `[instance.fleet]`.
    pub async fn start(
        program: &Path,
        controllers: u16,
        bulletin: SocketAddr,
        settings: &Value,
        shares: Option<Value>,
        seed: u64,
    ) -> Result<Processes, LabError> {
        let mut fleet = Processes::prepare(program, controllers, bulletin, settings, seed).await?;
        fleet.fleet_settings = shares;
        fleet.start_all().await?;
        Ok(fleet)
    }

    /// The same, but nothing is started yet.
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
            folder: Folder::new(&format!("fleet-{}-{seed}", bulletin.port()))?,
            program: program.to_owned(),
            controllers,
            bulletin,
            bulletins: BTreeMap::new(),
            settings,
            fleet_settings: None,
            store_settings: None,
            each: BTreeMap::new(),
        })
    }

    /// Starts all of them, one after the other.
    pub async fn start_all(&mut self) -> Result<(), LabError> {
        for me in 0..self.controllers {
            self.start_controller(me).await?;
        }
        Ok(())
    }

    /// The file that a controller keeps its records in.
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
        self.each.insert(me, process);
        Ok(())
    }

    /// The control socket of a controller's agent.
    pub fn control(&self, me: u16) -> Option<&Path> {
        self.each.get(&me).map(|process| process.control.as_path())
    }

    /// Where the callers of a controller connect.
    pub fn client_address(&self, me: u16) -> Option<SocketAddr> {
        self.each.get(&me).map(|process| process.at)
    }

    /// Those that are there.
    pub fn running(&self) -> Vec<u16> {
        self.each.keys().copied().collect()
    }

    /// Kills a controller outright.
    pub async fn kill(&mut self, me: u16) {
        if let Some(process) = self.each.remove(&me) {
            process.agent.kill().await;
        }
    }

    /// Stops a controller in its tracks, or lets it go on.
    pub fn suspend(&self, me: u16, stalls: bool) -> Result<(), LabError> {
        let signal = if stalls { Signal::STOP } else { Signal::CONT };
        let process = self.each.get(&me).and_then(|p| Pid::from_raw(i32::try_from(p.agent.pid).ok()?));
        let Some(pid) = process else { return Err(LabError::Serves(format!("c{me} does not run"))) };
        kill_process(pid, signal).map_err(|why| LabError::Serves(format!("c{me}: {why}")))
    }

    /// Ends all of them in order. `true`: each ended so.
    pub async fn stop(mut self) -> bool {
        let mut in_order = true;
        for (_, process) in std::mem::take(&mut self.each) {
            in_order &= process.agent.stop().await;
        }
        in_order
    }

    /// A controller's figures by name, without their common beginning; none where it does not answer.
    pub async fn metrics(&self, me: u16) -> BTreeMap<String, u64> {
        match self.each.get(&me) {
            Some(process) => process.metrics().await,
            None => BTreeMap::new(),
        }
    }

    /// The newest observation of a call server that a controller reports.
    pub async fn view(&self, me: u16, host: &str) -> Option<ReportedObservation> {
        let figures = self.metrics(me).await;
        let figure = |name: &str| figures.get(&format!("fleet.server.{host}.{name}")).copied();
        Some(ReportedObservation {
            wait_ms: figure("wait_ms")?,
            silent: figure("silent")? > 0,
            age_ms: figure("age_ms")?,
            origin: u16::try_from(figure("origin")?).ok()?,
        })
    }

    /// Waits until a controller's figures are as wanted; panics, with what they were last, where they never are.
    pub async fn wait_for_metrics(
        &self,
        what: &str,
        me: u16,
        wanted: impl Fn(&BTreeMap<String, u64>) -> bool,
    ) {
        let end = tokio::time::Instant::now() + WAIT_TIMEOUT;
        loop {
            let figures = self.metrics(me).await;
            if wanted(&figures) {
                return;
            }
            assert!(tokio::time::Instant::now() < end, "never: {what}; c{me} says {figures:?}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a controller's view of a call server is as wanted; panics, with what it held last, where it never is.
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
            assert!(tokio::time::Instant::now() < end, "never: {what}; c{me} holds {view:?} of {host}");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }
}
