//! The agent's control socket: one JSON request a line in, one JSON answer a line out.

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
use crate::console::{Answer, Call};
use crate::drain::Phase;
use crate::instance::{Bound, Instance, StartError};
use crate::interface::ServerState;

use replication::ReplicationRequest;

pub use client::{send_request, stats_line, RequestError};

/// The longest line taken.
const LONGEST: u64 = 64 * 1024;
/// A client that says nothing for so long is dropped.
const PATIENCE: Duration = Duration::from_secs(5);

/// What may be asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Command {
    /// The state of instances and of the call servers that they know.
    Status,
    /// Their counters.
    Stats,
    /// Reread the operator's file: instances listed in it are told of it, new ones start, others finish and end.
    Reload,
    /// Can they serve?
    Ping,
    /// Their figures.
    Info,
    /// Send callers away; the instances stay.
    Lameduck,
    /// The same by its older name.
    Drain,
    /// Back to work.
    Rejoin,
    /// Finish what was taken and end; without an instance named the agent ends too.
    Stop,
}

/// A request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// What is asked.
    pub command: Command,
    /// Of which instance; all where it is not said.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub instance: Option<String>,
}

/// A call server as an instance knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names say it
pub struct ServerStatus {
    pub host: String,
    pub dial: String,
    pub state: String,
}

/// An instance.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names say it
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

/// What an instance answers to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[allow(missing_docs)] // the names say it
pub struct ConsoleAnswer {
    pub name: String,
    /// As at its console: `SUCCESS` or `FAILURE` first.
    pub answer: String,
}

/// An answer.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "answer", rename_all = "lowercase")]
pub enum Reply {
    /// To `ping`, `info`, `lameduck`, `drain` and `rejoin`: what the console of each would answer.
    #[serde(rename = "called")]
    ConsoleAnswers {
        /// The instances asked for, by name.
        instances: Vec<ConsoleAnswer>,
    },
    /// To `status`, `reload` and `stop`.
    Status {
        /// The instances asked for.
        instances: Vec<InstanceStatus>,
    },
    /// To `stats`.
    Stats {
        /// The instances asked for, each an object of counters.
        instances: Vec<serde_json::Value>,
    },
    /// It could not be done.
    Error {
        /// Why.
        why: String,
    },
}

/// An agent that cannot run.
#[derive(Debug, thiserror::Error)]
pub enum AgentError {
    /// An instance cannot start.
    #[error("instance '{name}': {why}")]
    Start {
        /// Which.
        name: String,
        /// Why.
        why: StartError,
    },
    /// The control socket cannot be made.
    #[error("control socket {}: {why}", path.display())]
    Control {
        /// Where.
        path: PathBuf,
        /// Why.
        why: io::Error,
    },
}

struct Running {
    name: String,
    listen: Option<String>,
    iax2: Option<String>,
    console: Option<String>,
    instance: Instance,
    stop: Rc<Notify>,
    done: Rc<Cell<bool>>,
    /// Listed again while it ends: it starts anew by this once it has ended.
    again: Rc<RefCell<Option<InstanceConfig>>>,
}

struct Agent {
    file: PathBuf,
    control: PathBuf,
    running: RefCell<Vec<Running>>,
    changed: Notify,
    end: RefCell<bool>,
}

/// Runs the instances of a file, each its own controller, until they are all told to stop; rereads the file each time
/// that `reload` is notified. To be called within a `LocalSet`.
pub async fn run(
    file: PathBuf,
    config: OperatorConfig,
    stop: impl std::future::Future<Output = ()>,
    reload: &Notify,
) -> Result<(), AgentError> {
    let mut bounds = Vec::new();
    for instance in config.instances {
        let name = instance.name.clone();
        bounds.push(Bound::open(instance).await.map_err(|why| AgentError::Start { name, why })?);
    }
    let listener = listen(&config.control).await?;
    let agent = Rc::new(Agent {
        file,
        control: config.control,
        running: RefCell::default(),
        changed: Notify::new(),
        end: RefCell::new(false),
    });
    for bound in bounds {
        agent.start(bound);
    }
    let serving = spawn_local(serve(agent.clone(), listener));
    tokio::pin!(stop);
    let mut asked = false;
    loop {
        tokio::select! {
            _ = &mut stop, if !asked => {
                asked = true;
                agent.ask_to_stop(None);
                *agent.end.borrow_mut() = true;
            }
            // What is wrong with the file is in the log.
            _ = reload.notified(), if !asked => drop(agent.reload().await),
            _ = agent.changed.notified() => {}
        }
        if *agent.end.borrow() && agent.running.borrow().iter().all(|running| running.done.get()) {
            break;
        }
    }
    serving.abort();
    let _ = std::fs::remove_file(&agent.control);
    Ok(())
}

/// Takes the place of a socket that nobody answers at any more, never of a live one or of another kind of file.
async fn listen(path: &Path) -> Result<UnixListener, AgentError> {
    use std::os::unix::fs::FileTypeExt;
    let fail = |why| AgentError::Control { path: path.to_owned(), why };
    if let Ok(found) = std::fs::symlink_metadata(path) {
        if !found.file_type().is_socket() {
            return Err(fail(io::Error::new(io::ErrorKind::AlreadyExists, "another file is in the way")));
        }
        if UnixStream::connect(path).await.is_ok() {
            return Err(fail(io::Error::new(io::ErrorKind::AddrInUse, "an agent is running there")));
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
                let _ = tokio::time::timeout(PATIENCE, answer(agent, stream)).await;
            });
        }
    }
}

async fn answer(agent: Rc<Agent>, mut stream: UnixStream) -> io::Result<()> {
    let (reader, mut writer) = stream.split();
    let mut line = String::new();
    BufReader::new(reader.take(LONGEST)).read_line(&mut line).await?;
    let mut text = agent.answer_line(&line).await;
    text.push('\n');
    writer.write_all(text.as_bytes()).await?;
    writer.shutdown().await
}

impl Agent {
    fn start(self: &Rc<Self>, bound: Bound) {
        let (stop, done) = (Rc::new(Notify::new()), Rc::new(Cell::new(false)));
        let again: Rc<RefCell<Option<InstanceConfig>>> = Rc::default();
        let text = |address: Option<std::net::SocketAddr>| address.map(|a| a.to_string());
        let running = Running {
            name: bound.handle().name().to_owned(),
            listen: text(bound.listens_at()),
            iax2: text(bound.iax2_at()),
            console: text(bound.console_at()),
            instance: bound.handle(),
            stop: stop.clone(),
            done: done.clone(),
            again: again.clone(),
        };
        // Guards against an agent that never ends: this one was being opened when all were told to stop.
        if *self.end.borrow() {
            running.instance.begin_stop();
            running.stop.notify_one();
        }
        // One that has ended and is listed again takes its old place.
        let mut all = self.running.borrow_mut();
        all.retain(|other| other.name != running.name);
        all.push(running);
        let agent = self.clone();
        spawn_local(async move {
            let counters = bound.run(async move { stop.notified().await }).await;
            tracing::info!("{}", counters.line());
            done.set(true);
            let anew = again.take().filter(|_| !*agent.end.borrow());
            if let Some(config) = anew {
                agent.open(config).await.unwrap_or_else(|why| tracing::error!("{why}"));
            }
            agent.changed.notify_one();
        });
    }

    async fn open(self: &Rc<Self>, config: InstanceConfig) -> Result<(), String> {
        let name = config.name.clone();
        let bound = Bound::open(config).await;
        let bound = bound.map_err(|why| AgentError::Start { name, why }.to_string())?;
        self.start(bound);
        Ok(())
    }

    /// Rereads the operator's file. Guards against a bad file that takes the place of a good one: nothing changes then.
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
            tracing::warn!("only a restart can change control");
        }
        let unlisted = |r: &&Running| !config.instances.iter().any(|listed| listed.name == r.name);
        for running in self.running.borrow().iter().filter(unlisted) {
            running.again.take();
            running.instance.begin_stop();
            running.stop.notify_one();
        }
        let mut faults = Vec::new();
        for listed in config.instances {
            let name = listed.name.clone();
            let at_work = {
                let all = self.running.borrow();
                let found = all.iter().find(|r| r.name == name && !r.done.get());
                found.map(|r| (r.instance.clone(), r.again.clone()))
            };
            match at_work {
                Some((instance, again)) if instance.stopping() => drop(again.replace(Some(listed))),
                Some((instance, _)) => {
                    let kept = instance.reload(listed);
                    if !kept.is_empty() {
                        let keys = kept.join(", ");
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

    /// The answer to a request as it came, in JSON.
    async fn answer_line(self: &Rc<Self>, line: &str) -> String {
        let unreadable = |error| Reply::Error { why: format!("the request cannot be read: {error}") };
        let about_replication = serde_json::from_str::<serde_json::Map<String, serde_json::Value>>(line)
            .is_ok_and(|request| request.contains_key("replication"));
        if about_replication {
            return match serde_json::from_str::<ReplicationRequest>(line) {
                Ok(request) => serde_json::to_string(&self.answer_replication(&request)),
                Err(error) => serde_json::to_string(&unreadable(error)),
            }
            .unwrap_or_default();
        }
        let reply = match serde_json::from_str::<Request>(line) {
            Ok(request) => self.answer(&request).await,
            Err(error) => unreadable(error),
        };
        serde_json::to_string(&reply).unwrap_or_default()
    }

    async fn answer(self: &Rc<Self>, request: &Request) -> Reply {
        let wanted = request.instance.as_deref();
        if let Some(name) = wanted {
            if !self.running.borrow().iter().any(|running| running.name == name) {
                return Reply::Error { why: format!("no instance is named '{name}'") };
            }
        }
        match request.command {
            Command::Status => Reply::Status { instances: self.status(wanted) },
            Command::Stats => {
                let running = self.running.borrow();
                let asked = running.iter().filter(|r| wanted.is_none_or(|name| r.name == name));
                let counters = asked.map(|r| serde_json::to_value(r.instance.counters()).unwrap_or_default());
                Reply::Stats { instances: counters.collect() }
            }
            Command::Reload if wanted.is_some() => {
                Reply::Error { why: "the file is reread for all instances or none".to_owned() }
            }
            Command::Reload => match self.reload().await {
                Ok(()) => Reply::Status { instances: self.status(None) },
                Err(why) => Reply::Error { why },
            },
            Command::Ping => self.call(wanted, Call::Ping),
            Command::Info => self.call(wanted, Call::Info),
            Command::Lameduck | Command::Drain => self.call(wanted, Call::Lameduck),
            Command::Rejoin => self.call(wanted, Call::Rejoin),
            Command::Stop => {
                self.ask_to_stop(wanted);
                if wanted.is_none() {
                    *self.end.borrow_mut() = true;
                    self.changed.notify_one();
                }
                Reply::Status { instances: self.status(wanted) }
            }
        }
    }

    /// Calls instances as their consoles do. Those that have ended can do nothing any more.
    fn call(&self, wanted: Option<&str>, call: Call) -> Reply {
        let running = self.running.borrow();
        let asked = running.iter().filter(|r| wanted.is_none_or(|name| r.name == name));
        let called = |r: &Running| match r.done.get() {
            true => Answer::Failure("it has stopped".to_owned()),
            false => r.instance.called(call),
        };
        let answers = asked.map(|r| ConsoleAnswer { name: r.name.clone(), answer: called(r).to_string() });
        Reply::ConsoleAnswers { instances: answers.collect() }
    }

    fn ask_to_stop(&self, wanted: Option<&str>) {
        for running in self.running.borrow().iter().filter(|r| wanted.is_none_or(|name| r.name == name)) {
            running.instance.begin_stop();
            running.stop.notify_one();
        }
    }

    fn status(&self, wanted: Option<&str>) -> Vec<InstanceStatus> {
        let running = self.running.borrow();
        let asked = running.iter().filter(|r| wanted.is_none_or(|name| r.name == name));
        let state = |r: &Running| match r.instance.phase() {
            _ if r.done.get() => "stopped",
            Phase::Emptying { ends: true, .. } => "ending",
            Phase::Emptying { .. } if r.instance.empty() => "empty",
            Phase::Emptying { .. } => "emptying",
            Phase::Working if r.instance.ready() => "serving",
            Phase::Working => "waiting for a list",
        };
        let servers = |r: &Running| {
            r.instance.servers().into_iter().map(|line| ServerStatus {
                host: line.host,
                dial: line.address.to_string(),
                state: match line.state {
                    ServerState::Ready => "ready",
                    ServerState::Draining => "draining",
                    ServerState::Gone => "gone",
                }
                .to_owned(),
            })
        };
        asked
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
