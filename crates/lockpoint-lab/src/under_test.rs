//! The program under test, as a process of its own: started, asked, measured from outside, and ended.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use lockpoint::control::{ask, Command, InstanceStatus, Reply, Request};
use lockpoint::counters::Counters;
use tokio::process::Child;

/// How long a program may take until it serves, and until it has ended.
const PATIENCE: Duration = Duration::from_secs(20);
/// How often it is asked meanwhile.
const ASK_EVERY: Duration = Duration::from_millis(20);
/// Ticks of a processor's time a second, as /proc tells them; the kernel's interface fixes it.
const TICKS: f64 = 100.0;
/// Bytes of a page, as /proc counts memory.
const PAGE: u64 = 4_096;

/// A program that cannot be tested.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// It cannot be started.
    #[error("{}: cannot be started: {why}", program.display())]
    Start {
        /// Which program.
        program: PathBuf,
        /// Why.
        why: io::Error,
    },
    /// It does not come to serve.
    #[error("the controller does not serve: {0}")]
    NotServing(String),
    /// A file of the laboratory cannot be read or written.
    #[error("{}: {why}", file.display())]
    File {
        /// Which file.
        file: PathBuf,
        /// Why, and at which key.
        why: String,
    },
    /// A socket of a stand-in fails.
    #[error("{what}: {why}")]
    Socket {
        /// Which.
        what: String,
        /// Why.
        why: io::Error,
    },
}

impl LabError {
    /// An error about a file.
    pub fn file(file: &Path, why: impl ToString) -> LabError {
        LabError::File { file: file.to_owned(), why: why.to_string() }
    }
}

/// What a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// Seconds of a processor.
    pub cpu: f64,
    /// Bytes of memory that it holds.
    pub memory: u64,
}

/// What a process has used so far, as the kernel counts it; nothing where it is gone.
pub fn resource_usage(pid: u32) -> ResourceUsage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name, in brackets, may hold anything; what follows it counts from field 3 on.
    let fields: Vec<&str> = stat.rsplit_once(") ").map_or("", |(_, rest)| rest).split(' ').collect();
    let field = |n: usize| fields.get(n - 3).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    ResourceUsage { cpu: (field(14) + field(15)) as f64 / TICKS, memory: field(24) * PAGE }
}

/// The program beside the laboratory's own.
pub fn sibling_program(name: &str) -> PathBuf {
    std::env::current_exe().ok().and_then(|me| Some(me.parent()?.join(name))).unwrap_or_else(|| name.into())
}

/// Starts a program that ends with us.
pub fn spawn(program: &Path, args: &[&str], quiet: bool) -> Result<Child, LabError> {
    let stderr = if quiet { Stdio::null() } else { Stdio::inherit() };
    tokio::process::Command::new(program)
        .args(args)
        .stdin(Stdio::null())
        .stdout(Stdio::null())
        .stderr(stderr)
        .kill_on_drop(true)
        .spawn()
        .map_err(|why| LabError::Start { program: program.to_owned(), why })
}

/// A folder of its own for one run; removed at its end.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Makes one.
    pub fn new(name: &str) -> Result<TempDir, LabError> {
        let path = std::env::temp_dir().join(format!("lockpoint-lab-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| LabError::file(&path, e))?;
        Ok(TempDir(path))
    }
    /// Where it is.
    pub fn path(&self) -> &Path {
        &self.0
    }
}

impl Drop for TempDir {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// An agent under test.
#[derive(Debug)]
pub struct Agent {
    child: Child,
    control: PathBuf,
    /// Its process.
    pub pid: u32,
}

impl Agent {
    /// Starts an agent with an operator's file whose `control` is `control`.
    pub fn start(program: &Path, config: &Path, control: &Path, quiet: bool) -> Result<Agent, LabError> {
        let child = spawn(program, &["agent", "--config", &config.to_string_lossy()], quiet)?;
        let pid = child.id().unwrap_or(0);
        Ok(Agent { child, control: control.to_owned(), pid })
    }

    async fn ask(&self, command: Command) -> Result<Reply, LabError> {
        let request = Request { command, instance: None };
        ask(&self.control, &request).await.map_err(|e| LabError::NotServing(e.to_string()))
    }

    /// Its instances, once `ready` says so of all of them.
    pub async fn wait_until(
        &mut self,
        ready: impl Fn(&InstanceStatus) -> bool,
    ) -> Result<Vec<InstanceStatus>, LabError> {
        let mut why = "it says nothing".to_owned();
        let until = tokio::time::Instant::now() + PATIENCE;
        while tokio::time::Instant::now() < until {
            if let Ok(Some(ended)) = self.child.try_wait() {
                return Err(LabError::NotServing(format!("it has ended ({ended})")));
            }
            match self.ask(Command::Status).await {
                Ok(Reply::Status { instances }) if instances.iter().all(&ready) => return Ok(instances),
                Ok(reply) => why = format!("last it said {reply:?}"),
                Err(error) => why = error.to_string(),
            }
            tokio::time::sleep(ASK_EVERY).await;
        }
        Err(LabError::NotServing(why))
    }

    /// The counters of all its instances.
    pub async fn counters(&self) -> Vec<Counters> {
        let Ok(Reply::Stats { instances }) = self.ask(Command::Stats).await else { return Vec::new() };
        instances.into_iter().filter_map(|value| serde_json::from_value(value).ok()).collect()
    }

    /// What it has used.
    pub fn used(&self) -> ResourceUsage {
        resource_usage(self.pid)
    }

    /// Ends it at once.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Tells it to finish and waits for its end. `true`: it ended in order.
    pub async fn stop(mut self) -> bool {
        let _ = self.ask(Command::Stop).await;
        let ended = tokio::time::timeout(PATIENCE, self.child.wait()).await;
        matches!(ended, Ok(Ok(status)) if status.success())
    }
}

/// The address in a status line.
pub fn address(text: &Option<String>, key: &str) -> Result<SocketAddr, LabError> {
    let parsed = text.as_deref().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| LabError::NotServing(format!("it does not listen at '{key}'")))
}
