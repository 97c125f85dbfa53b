//! The program under test in its own process: starting, querying, measuring and stopping it.

use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::time::Duration;

use lockpoint::control::{send_request, Command, InstanceStatus, Reply, Request};
use lockpoint::counters::Counters;
use tokio::process::Child;

/// How long a program may take to start serving, and to stop.
const START_STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// The interval of status queries meanwhile.
const QUERY_INTERVAL: Duration = Duration::from_millis(20);
/// Clock ticks per second of processor time in /proc; the kernel's interface fixes it.
const TICKS_PER_SECOND: f64 = 100.0;
/// The page size in which /proc counts memory, in bytes.
const PAGE_BYTES: u64 = 4_096;

/// A failure of the laboratory or of the program under test.
#[derive(Debug, thiserror::Error)]
pub enum LabError {
    /// A program cannot be started.
    #[error("{}: cannot be started: {why}", program.display())]
    Start {
        /// The program.
        program: PathBuf,
        /// The cause.
        why: io::Error,
    },
    /// The controller does not start serving.
    #[error("the controller does not serve: {0}")]
    NotServing(String),
    /// A file cannot be read, parsed or written.
    #[error("{}: {why}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The cause, with the key if there is one.
        why: String,
    },
    /// A socket of a simulated peer fails.
    #[error("{what}: {why}")]
    Socket {
        /// The purpose of the socket.
        what: String,
        /// The cause.
        why: io::Error,
    },
}

impl LabError {
    /// An error about a file.
    pub fn file(file: &Path, why: impl ToString) -> LabError {
        LabError::File { file: file.to_owned(), why: why.to_string() }
    }
}

/// The resources that a process has used.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct ResourceUsage {
    /// Processor time, in seconds.
    pub cpu: f64,
    /// Resident memory, in bytes.
    pub memory: u64,
}

/// The resources that a process has used so far according to /proc; zeros if it has ended.
pub fn resource_usage(pid: u32) -> ResourceUsage {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    // The name, in parentheses, may contain any character; the text after it starts with field 3.
    let fields: Vec<&str> = stat.rsplit_once(") ").map_or("", |(_, rest)| rest).split(' ').collect();
    let field = |n: usize| fields.get(n - 3).and_then(|text| text.parse::<u64>().ok()).unwrap_or(0);
    ResourceUsage { cpu: (field(14) + field(15)) as f64 / TICKS_PER_SECOND, memory: field(24) * PAGE_BYTES }
}

/// The path of a program in the directory of the running program.
pub fn sibling_program(name: &str) -> PathBuf {
    std::env::current_exe().ok().and_then(|me| Some(me.parent()?.join(name))).unwrap_or_else(|| name.into())
}

/// Starts a program that is killed when its handle is dropped.
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

/// A temporary directory, removed on drop.
#[derive(Debug)]
pub struct TempDir(PathBuf);

impl TempDir {
    /// Creates a directory.
    pub fn new(name: &str) -> Result<TempDir, LabError> {
        let path = std::env::temp_dir().join(format!("lockpoint-lab-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&path).map_err(|e| LabError::file(&path, e))?;
        Ok(TempDir(path))
    }
    /// Its path.
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
    /// Its process id.
    pub pid: u32,
}

impl Agent {
    /// Starts an agent with the operator's file `config`, whose `control` entry is `control`.
    pub fn start(program: &Path, config: &Path, control: &Path, quiet: bool) -> Result<Agent, LabError> {
        let child = spawn(program, &["agent", "--config", &config.to_string_lossy()], quiet)?;
        let pid = child.id().unwrap_or(0);
        Ok(Agent { child, control: control.to_owned(), pid })
    }

    async fn ask(&self, command: Command) -> Result<Reply, LabError> {
        let request = Request { command, instance: None };
        send_request(&self.control, &request).await.map_err(|e| LabError::NotServing(e.to_string()))
    }

    /// Waits until `ready` holds for all instances and returns their status.
    pub async fn wait_until(
        &mut self,
        ready: impl Fn(&InstanceStatus) -> bool,
    ) -> Result<Vec<InstanceStatus>, LabError> {
        let mut why = "it did not answer".to_owned();
        let until = tokio::time::Instant::now() + START_STOP_TIMEOUT;
        while tokio::time::Instant::now() < until {
            if let Ok(Some(ended)) = self.child.try_wait() {
                return Err(LabError::NotServing(format!("it has ended ({ended})")));
            }
            match self.ask(Command::Status).await {
                Ok(Reply::Status { instances }) if instances.iter().all(&ready) => return Ok(instances),
                Ok(reply) => why = format!("its last answer was {reply:?}"),
                Err(error) => why = error.to_string(),
            }
            tokio::time::sleep(QUERY_INTERVAL).await;
        }
        Err(LabError::NotServing(why))
    }

    /// The counters of all its instances.
    pub async fn counters(&self) -> Vec<Counters> {
        let Ok(Reply::Stats { instances }) = self.ask(Command::Stats).await else { return Vec::new() };
        instances.into_iter().filter_map(|value| serde_json::from_value(value).ok()).collect()
    }

    /// The resources that it has used.
    pub fn used(&self) -> ResourceUsage {
        resource_usage(self.pid)
    }

    /// Kills it.
    pub async fn kill(mut self) {
        let _ = self.child.kill().await;
    }

    /// Stops it and waits for its end; returns whether it exited successfully.
    pub async fn stop(mut self) -> bool {
        let _ = self.ask(Command::Stop).await;
        let ended = tokio::time::timeout(START_STOP_TIMEOUT, self.child.wait()).await;
        matches!(ended, Ok(Ok(status)) if status.success())
    }
}

/// The address in a status entry.
pub fn address(text: &Option<String>, key: &str) -> Result<SocketAddr, LabError> {
    let parsed = text.as_deref().and_then(|text| text.parse().ok());
    parsed.ok_or_else(|| LabError::NotServing(format!("its status has no valid address '{key}'")))
}
