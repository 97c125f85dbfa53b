//! A controller under test: the real program, started, signalled and measured as the platform does it.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};

use crate::under_test::{resource_usage, LabError};

/// The limits that each controller is told and held to.
pub const MEMORY_LIMIT_MB: u64 = 64;
/// The limit of its file descriptors.
pub const DESCRIPTOR_LIMIT: usize = 384;
/// A controller must be ready within this time of its start.
const READY_LIMIT: Duration = Duration::from_secs(10);
/// The time limit of one health check.
const HEALTH_CHECK_TIMEOUT: Duration = Duration::from_millis(500);

/// The phase of a controller's life.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Phase {
    /// It starts.
    Starting,
    /// It serves.
    Serving,
    /// It was sent SIGTERM at this time.
    Stopping(Instant),
    /// It was sent SIGKILL, or has ended; with the time of the SIGTERM before it.
    Ended(Option<Instant>),
}

/// A controller; it keeps its name and address across restarts.
pub struct ControllerProcess {
    /// Its number.
    pub number: usize,
    /// Where callers connect.
    pub at: SocketAddr,
    /// How often it was started.
    pub generation: Cell<u32>,
    /// Its phase.
    pub phase: Cell<Phase>,
    /// Whether its last process was stopped before it ended.
    pub ended_by_stop: Cell<bool>,
    /// What went wrong with the process itself.
    pub failures: RefCell<Vec<String>>,
    program: PathBuf,
    directory: PathBuf,
    child: RefCell<Option<Child>>,
}

impl ControllerProcess {
    /// A controller that is not started yet.
    pub fn new(number: usize, at: SocketAddr, program: &Path, directory: &Path) -> Rc<ControllerProcess> {
        Rc::new(ControllerProcess {
            number,
            at,
            generation: Cell::new(0),
            phase: Cell::new(Phase::Ended(None)),
            ended_by_stop: Cell::new(false),
            failures: RefCell::default(),
            program: program.to_owned(),
            directory: directory.to_owned(),
            child: RefCell::default(),
        })
    }

    fn config_file(&self) -> PathBuf {
        self.directory.join(format!("n{}.json", self.number))
    }

    /// Writes its configuration.
    pub fn write_config(
        &self,
        bulletin: SocketAddr,
        settings: &Value,
        memory_mb: u64,
    ) -> Result<(), LabError> {
        let file = self.config_file();
        let seed = format!("{:016x}", u64::from(self.generation.get()) + 1);
        let config = json!({"name": format!("n{}", self.number), "listen": self.at.to_string(), "seed": seed,
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": DESCRIPTOR_LIMIT},
            "bulletin": bulletin.to_string(), "settings": settings});
        std::fs::write(&file, config.to_string()).map_err(|e| LabError::file(&file, e))
    }

    /// Starts the process; its log goes to a file.
    pub fn start(&self) -> Result<(), LabError> {
        self.generation.set(self.generation.get() + 1);
        self.phase.set(Phase::Starting);
        let log = self.directory.join(format!("n{}-{}.log", self.number, self.generation.get()));
        let log = File::create(&log).map_err(|e| LabError::file(&log, e))?;
        let child = Command::new(&self.program)
            .env("ROUTER_CONFIG", self.config_file())
            .env("LOCKPOINT_LOG", "info,lockpoint::calls=debug")
            .env("TMPDIR", &self.directory)
            .env_remove("ROUTER_LISTEN")
            .env_remove("ROUTER_NAME")
            .env_remove("ROUTER_FD")
            .env_remove("ROUTER_CONSOLE")
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|why| LabError::Start { program: self.program.clone(), why })?;
        *self.child.borrow_mut() = Some(child);
        Ok(())
    }

    /// Waits until its health check passes.
    pub async fn wait_until_ready(&self) {
        let deadline = Instant::now() + READY_LIMIT;
        while !self.health_check_passes().await {
            if self.phase.get() != Phase::Starting {
                return; // stopped or killed meanwhile
            }
            if Instant::now() > deadline {
                return self.fail("not ready in time");
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        if self.phase.get() == Phase::Starting {
            self.phase.set(Phase::Serving);
        }
    }

    async fn health_check_passes(&self) -> bool {
        let check = async {
            let mut stream = BufReader::new(TcpStream::connect(self.at).await.ok()?);
            let probe = json!({"msg": "probe", "sid": "00000000000000ff", "attrs": {}, "code": 0});
            stream.write_all(format!("{probe}\n").as_bytes()).await.ok()?;
            let mut line = String::new();
            stream.read_line(&mut line).await.ok()?;
            Some(serde_json::from_str::<Value>(&line).ok()?["code"] == 1)
        };
        matches!(tokio::time::timeout(HEALTH_CHECK_TIMEOUT, check).await, Ok(Some(true)))
    }

    /// Records a failure of the process.
    pub fn fail(&self, what: &str) {
        self.failures.borrow_mut().push(format!("n{} {}: {what}", self.number, self.generation.get()));
    }

    /// Sends a signal.
    pub fn signal(&self, signal: Signal) {
        let pid = self.child.borrow().as_ref().and_then(Child::id).and_then(|id| Pid::from_raw(id as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal);
        }
    }

    /// Whether the process has ended; a failure is recorded where it should not have.
    pub fn has_ended(&self) -> bool {
        let mut child = self.child.borrow_mut();
        let Some(process) = child.as_mut() else { return true };
        let Ok(Some(status)) = process.try_wait() else { return false };
        *child = None;
        drop(child);
        match self.phase.get() {
            Phase::Starting | Phase::Serving => self.fail(&format!("crashed: {status}")),
            Phase::Stopping(_) if !status.success() => self.fail(&format!("ended with {status}")),
            Phase::Stopping(_) | Phase::Ended(_) => {}
        }
        let stopped_at = match self.phase.get() {
            Phase::Stopping(at) => Some(at),
            Phase::Ended(at) => at,
            Phase::Starting | Phase::Serving => None,
        };
        self.set_ended(stopped_at);
        true
    }

    /// Kills the process.
    pub fn kill(&self) {
        let stopped_at = match self.phase.get() {
            Phase::Stopping(at) => Some(at),
            Phase::Ended(at) => at,
            Phase::Starting | Phase::Serving => None,
        };
        self.set_ended(stopped_at);
        self.signal(Signal::KILL);
    }

    fn set_ended(&self, stopped_at: Option<Instant>) {
        self.phase.set(Phase::Ended(stopped_at));
        self.ended_by_stop.set(stopped_at.is_some());
    }

    /// Checks its memory and its descriptors against the limits.
    pub fn check_limits(&self) {
        let Some(pid) = self.child.borrow().as_ref().and_then(Child::id) else { return };
        let memory = resource_usage(pid).memory;
        if memory > MEMORY_LIMIT_MB << 20 {
            self.fail(&format!("{memory} bytes of memory"));
        }
        let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
        if descriptors > DESCRIPTOR_LIMIT {
            self.fail(&format!("{descriptors} descriptors"));
        }
    }
}
