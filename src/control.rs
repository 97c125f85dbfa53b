//! The agent's control socket. A connection carries one JSON request and its JSON reply, each on one line.

mod client;
pub mod replication;

use std::cell::{Cell, RefCell};
use std::io;
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

use crate::config::{self, InstanceConfig, OperatorConfig};
use crate::console::{ConsoleCommand, ConsoleReply};
use crate::drain::Phase;
use crate::instance::leg_handover::leg_file;
use crate::instance::{BoundInstance, Instance, StartError};
use crate::interface::ServerState;

use replication::ReplicationRequest;

pub use client::{send_request, stats_line, RequestError};

/// Maximum length of a request, in bytes.
const MAX_REQUEST_BYTES: u64 = 64 * 1024;
/// Timeout of a request and its reply, for both sides.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Commands of the control socket.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// Report the state of instances and of the call servers that they know.
    Status,
    /// Report the counters of instances.
    Stats,
    /// Reread the operator's file: running instances are reconfigured, new ones start, and those no longer listed stop.
    Reload,
    /// Report whether instances can serve callers.
    Ping,
    /// Report the metrics of instances.
    Info,
    /// Send callers away from instances, which keep running.
    Lameduck,
    /// Earlier name of `lameduck`.
    Drain,
    /// Accept callers again after `lameduck`.
    Rejoin,
    /// Answer all pending calls and stop; if no instance is named, the agent stops too.
    Stop,
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The command.
    pub command: Command,
    /// Name of the instance; `None`: all instances.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<String>,
}

/// A call server known to an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names are self-explanatory
pub struct ServerStatus {
    pub host: String,
    pub dial: String,
    pub state: String,
}

/// The state of an instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names are self-explanatory
pub struct InstanceStatus {
    pub name: String,
    pub state: String,
    pub listen: Option<String>,
    pub iax2: Option<String>,
    #[serde(default)]
    pub console: Option<String>,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub servers: Vec<ServerStatus>,
}

/// An instance's answer to a console command.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names are self-explanatory
pub struct ConsoleAnswer {
    pub name: String,
    /// The text that its console would send, which starts with `SUCCESS` or `FAILURE`.
    pub answer: String,
}

/// A reply.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "lowercase")]
pub enum Reply {
    /// Reply to `ping`, `info`, `lameduck`, `drain` and `rejoin`.
    #[serde(rename = "called")]
    ConsoleAnswers {
        /// The answers of the requested instances.
        instances: Vec<ConsoleAnswer>,
    },
    /// Reply to `status`, `reload` and `stop`.
    Status {
        /// The requested instances.
        instances: Vec<InstanceStatus>,
    },
    /// Reply to `stats`.
    Stats {
        /// The requested instances, each an object of counters.
        instances: Vec<serde_json::Value>,
    },
    /// The request failed.
    Error {
        /// The reason.
        why: String,
    },
}

/// Why an agent cannot run.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// An instance cannot start.
    #[error("instance '{name}': {why}")]
    Start {
        /// Name of the instance.
        name: String,
        /// The reason.
        why: StartError,
    },
    /// The control socket cannot be created.
    #[error("control socket {}: {why}", path.display())]
    Control {
        /// Path of the socket.
        path: PathBuf,
        /// The reason.
        why: io::Error,
    },
}

/// An instance and the addresses it is bound to.
struct RunningInstance {
    name: String,
    listen: Option<String>,
    iax2: Option<String>,
    console: Option<String>,
    instance: Instance,
    stop: Rc<Notify>,
    ended: Rc<Cell<bool>>,
    /// Configuration to restart with once it has ended, if the file lists it again while it stops.
    restart_config: Rc<RefCell<Option<InstanceConfig>>>,
}

struct Agent {
    file: PathBuf,
    control: PathBuf,
    running: RefCell<Vec<RunningInstance>>,
    /// Notified when an instance has ended, or the agent is to stop.
    changed: Notify,
    stopping: RefCell<bool>,
}

/// Runs the instances of a file, each of which is a controller, until the agent is told to stop and all have ended.
/// Rereads the file when `reload` is notified. Must be called within a `LocalSet`.
pub async fn run(
    file: PathBuf,
    config: OperatorConfig,
    stop: impl std::future::Future<Output = ()>,
    reload: &Notify,
) -> Result<(), AgentError> {
    let mut opened = Vec::new();
    for instance in config.instances {
        let name = instance.name.clone();
        let leg_file = leg_file(&config.control, &name);
        let bound = BoundInstance::open(instance).await.map_err(|why| AgentError::Start { name, why })?;
        opened.push((bound, leg_file));
    }
    let listener = listen(&config.control).await?;
    let agent = Rc::new(Agent {
        file,
        control: config.control,
        running: RefCell::default(),
        changed: Notify::new(),
        stopping: RefCell::new(false),
    });
    for (bound, leg_file) in opened {
        bound.handle().resume_legs(&leg_file);
        agent.start(bound);
    }
    let serving = spawn_local(serve(agent.clone(), listener));
    tokio::pin!(stop);
    let mut stop_requested = false;
    loop {
        tokio::select! {
            _ = &mut stop, if !stop_requested => {
                stop_requested = true;
                agent.leave_legs();
                agent.stop_instances(None);
                *agent.stopping.borrow_mut() = true;
            }
            // `reload` logs its errors.
            _ = reload.notified(), if !stop_requested => drop(agent.reload().await),
            _ = agent.changed.notified() => {}
        }
        if *agent.stopping.borrow() && agent.running.borrow().iter().all(|running| running.ended.get()) {
            break;
        }
    }
    serving.abort();
    let _ = std::fs::remove_file(&agent.control);
    Ok(())
}

/// Binds the control socket. A socket left behind by an agent that no longer runs is replaced; one at which an agent
/// listens, or a file of another kind, is an error.
async fn listen(path: &Path) -> Result<UnixListener, AgentError> {
    use std::os::unix::fs::FileTypeExt;
    let fail = |why| AgentError::Control { path: path.to_owned(), why };
    if let Ok(found) = std::fs::symlink_metadata(path) {
        if !found.file_type().is_socket() {
            return Err(fail(io::Error::new(
                io::ErrorKind::AlreadyExists,
                "the path exists and is not a socket",
            )));
        }
        if UnixStream::connect(path).await.is_ok() {
            return Err(fail(io::Error::new(
                io::ErrorKind::AddrInUse,
                "another agent is already listening on it",
            )));
        }
        std::fs::remove_file(path).map_err(fail)?;
    }
    let listener = UnixListener::bind(path).map_err(fail)?;
    std::fs::set_permissions(path, std::fs::Permissions::from_mode(0o600)).map_err(fail)?;
    Ok(listener)
}

async fn serve(agent: Rc<Agent>, listener: UnixListener) {
    loop {
        if let Ok((stream, _)) = listener.accept().await {
            let agent = agent.clone();
            spawn_local(async move {
                let _ = tokio::time::timeout(REQUEST_TIMEOUT, answer(agent, stream)).await;
            });
        }
    }
}

async fn answer(agent: Rc<Agent>, mut stream: UnixStream) -> io::Result<()> {
    let (reader, mut writer) = stream.split();
    let mut line = String::new();
    BufReader::new(reader.take(MAX_REQUEST_BYTES)).read_line(&mut line).await?;
    let mut text = agent.answer_line(&line).await;
    text.push('\n');
    writer.write_all(text.as_bytes()).await?;
    writer.shutdown().await
}

impl Agent {
    fn start(self: &Rc<Self>, bound: BoundInstance) {
        let (stop, ended) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
        let restart_config: Rc<RefCell<Option<InstanceConfig>>> = Rc::default();
        let text = |address: Option<std::net::SocketAddr>| address.map(|a| a.to_string());
        let running = RunningInstance {
            name: bound.handle().name().to_owned(),
            listen: text(bound.listens_at()),
            iax2: text(bound.iax2_at()),
            console: text(bound.console_at()),
            instance: bound.handle(),
            stop: stop.clone(),
            ended: ended.clone(),
            restart_config: restart_config.clone(),
        };
        // The agent may have been told to stop while this instance was being opened. If the instance kept running, the
        // agent would never end.
        if *self.stopping.borrow() {
            running.instance.begin_stop();
            running.stop.notify_one();
        }
        // An ended instance of the same name is replaced.
        let mut all = self.running.borrow_mut();
        all.retain(|other| other.name != running.name);
        all.push(running);
        let agent = self.clone();
        spawn_local(async move {
            let counters = bound.run(async move { stop.notified().await }).await;
            tracing::info!("{}", counters.line());
            ended.set(true);
            let restart = restart_config.take().filter(|_| !*agent.stopping.borrow());
            if let Some(config) = restart {
                agent.open(config).await.unwrap_or_else(|why| tracing::error!("{why}"));
            }
            agent.changed.notify_one();
        });
    }

    async fn open(self: &Rc<Self>, config: InstanceConfig) -> Result<(), String> {
        let name = config.name.clone();
        let bound = BoundInstance::open(config).await;
        let bound = bound.map_err(|why| AgentError::Start { name, why }.to_string())?;
        self.start(bound);
        Ok(())
    }

    /// Rereads the operator's file. If it is invalid, nothing changes.
    async fn reload(self: &Rc<Self>) -> Result<(), String> {
        let config = match config::from_file(&self.file) {
            Ok(config) => config,
            Err(error) => {
                let why = error.to_string().replace('\n', " ");
                self.running.borrow().iter().for_each(|r| r.instance.reload_failed());
                tracing::error!("not reloaded: {why}");
                return Err(why);
            }
        };
        if config.control != self.control {
            tracing::warn!("only a restart can change 'control'");
        }
        let unlisted = |r: &&RunningInstance| !config.instances.iter().any(|listed| listed.name == r.name);
        for running in self.running.borrow().iter().filter(unlisted) {
            running.restart_config.take();
            running.instance.begin_stop();
            running.stop.notify_one();
        }
        let mut faults = Vec::new();
        for listed in config.instances {
            let name = listed.name.clone();
            let found = {
                let all = self.running.borrow();
                let found = all.iter().find(|r| r.name == name && !r.ended.get());
                found.map(|r| (r.instance.clone(), r.restart_config.clone()))
            };
            match found {
                Some((instance, restart_config)) if instance.stopping() => {
                    drop(restart_config.replace(Some(listed)))
                }
                Some((instance, _)) => {
                    let unchanged = instance.reload(listed);
                    if !unchanged.is_empty() {
                        let keys = unchanged.join(", ");
                        tracing::warn!("instance '{name}': only a restart can change {keys}");
                    }
                }
                None => faults.extend(self.open(listed).await.err()),
            }
        }
        if faults.is_empty() {
            return Ok(());
        }
        let why = faults.join("; ");
        tracing::error!("{why}");
        Err(why)
    }

    /// Answers a request line with a reply in JSON.
    async fn answer_line(self: &Rc<Self>, line: &str) -> String {
        let malformed = |error| Reply::Error { why: format!("malformed request: {error}") };
        let concerns_replication = serde_json::from_str::<serde_json::Map<String, serde_json::Value>>(line)
            .is_ok_and(|request| request.contains_key("replication"));
        if concerns_replication {
            return match serde_json::from_str::<ReplicationRequest>(line) {
                Ok(request) => serde_json::to_string(&self.answer_replication(&request)),
                Err(error) => serde_json::to_string(&malformed(error)),
            }
            .unwrap_or_default();
        }
        let reply = match serde_json::from_str::<Request>(line) {
            Ok(request) => self.answer(&request).await,
            Err(error) => malformed(error),
        };
        serde_json::to_string(&reply).unwrap_or_default()
    }

    async fn answer(self: &Rc<Self>, request: &Request) -> Reply {
        let name_filter = request.instance.as_deref();
        if let Some(name) = name_filter {
            if !self.running.borrow().iter().any(|running| running.name == name) {
                return Reply::Error { why: format!("no instance is named '{name}'") };
            }
        }
        match request.command {
            Command::Status => Reply::Status { instances: self.status(name_filter) },
            Command::Stats => {
                let running = self.running.borrow();
                let selected = running.iter().filter(|r| name_filter.is_none_or(|name| r.name == name));
                let counters =
                    selected.map(|r| serde_json::to_value(r.instance.counters()).unwrap_or_default());
                Reply::Stats { instances: counters.collect() }
            }
            Command::Reload if name_filter.is_some() => {
                Reply::Error { why: "reload applies to all instances and takes no instance name".to_owned() }
            }
            Command::Reload => match self.reload().await {
                Ok(()) => Reply::Status { instances: self.status(None) },
                Err(why) => Reply::Error { why },
            },
            Command::Ping => self.run_console_command(name_filter, ConsoleCommand::Ping),
            Command::Info => self.run_console_command(name_filter, ConsoleCommand::Info),
            Command::Lameduck | Command::Drain => {
                self.run_console_command(name_filter, ConsoleCommand::Lameduck)
            }
            Command::Rejoin => self.run_console_command(name_filter, ConsoleCommand::Rejoin),
            Command::Stop => {
                self.stop_instances(name_filter);
                if name_filter.is_none() {
                    *self.stopping.borrow_mut() = true;
                    self.changed.notify_one();
                }
                Reply::Status { instances: self.status(name_filter) }
            }
        }
    }

    /// Runs a console command at instances. It fails at those that have ended.
    fn run_console_command(&self, name_filter: Option<&str>, call: ConsoleCommand) -> Reply {
        let running = self.running.borrow();
        let selected = running.iter().filter(|r| name_filter.is_none_or(|name| r.name == name));
        let answer = |r: &RunningInstance| match r.ended.get() {
            true => ConsoleReply::Failure("the instance has stopped".to_owned()),
            false => r.instance.execute(call),
        };
        let answers = selected.map(|r| ConsoleAnswer { name: r.name.clone(), answer: answer(r).to_string() });
        Reply::ConsoleAnswers { instances: answers.collect() }
    }

    /// The agent stops, as for a planned restart: legs of IAX2 callers are left to the next process. Those of an instance
    /// that alone is stopped are not.
    fn leave_legs(&self) {
        for running in self.running.borrow().iter() {
            running.instance.leave_legs_in(leg_file(&self.control, &running.name));
        }
    }

    fn stop_instances(&self, name_filter: Option<&str>) {
        for running in self.running.borrow().iter().filter(|r| name_filter.is_none_or(|name| r.name == name))
        {
            running.instance.begin_stop();
            running.stop.notify_one();
        }
    }

    fn status(&self, name_filter: Option<&str>) -> Vec<InstanceStatus> {
        let running = self.running.borrow();
        let selected = running.iter().filter(|r| name_filter.is_none_or(|name| r.name == name));
        let state = |r: &RunningInstance| match r.instance.phase() {
            _ if r.ended.get() => "stopped",
            Phase::Draining { stopping: true, .. } => "ending",
            Phase::Draining { .. } if r.instance.is_drained() => "empty",
            Phase::Draining { .. } => "emptying",
            Phase::Working if r.instance.ready() => "serving",
            Phase::Working => "waiting for a list",
        };
        let servers = |r: &RunningInstance| {
            r.instance.servers().into_iter().map(|entry| ServerStatus {
                host: entry.host,
                dial: entry.address.to_string(),
                state: match entry.state {
                    ServerState::Ready => "ready",
                    ServerState::Draining => "draining",
                    ServerState::Gone => "gone",
                }
                .to_owned(),
            })
        };
        selected
            .map(|r| InstanceStatus {
                name: r.name.clone(),
                state: state(r).to_owned(),
                listen: r.listen.clone(),
                iax2: r.iax2.clone(),
                console: r.console.clone(),
                servers: servers(r).collect(),
            })
            .collect()
    }
}
