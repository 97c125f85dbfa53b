//! The command line.

pub mod fleet;
pub mod replication;
pub mod store;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Args, Parser, Subcommand};
use tokio::sync::Notify;
use tokio::task::LocalSet;

use crate::config::{self, ConfigError, InstanceConfig};
use crate::console;
use crate::control::replication::ChangeId;
use crate::control::{self, Command, ConsoleAnswer, Reply, Request};
use crate::instance::{Before, Bound, Instance};
use crate::logs::{self, LogConfig};
use crate::signals::{self, Caught};
use crate::takeover;

/// Exit code where the program could not do its work.
const FAILED: u8 = 1;
/// Exit code of a bad configuration or command line.
const BAD_CONFIG: u8 = 2;
/// Exit code where no agent answers.
const NO_AGENT: u8 = 3;

/// A session controller. Without a command it is the platform's, told by ROUTER_NAME, ROUTER_LISTEN and
/// ROUTER_CONFIG.
#[derive(Debug, Parser)]
#[command(name = "lockpoint", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Commands>,
}

#[derive(Debug, Subcommand)]
enum Commands {
    /// Run the instances that an operator's file lists.
    Agent {
        /// The operator's file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Say whether an operator's file can be used.
    Check {
        /// The operator's file.
        file: PathBuf,
        /// Answer in JSON.
        #[arg(long)]
        json: bool,
    },
    /// What the agent's instances do and which call servers they know.
    Status(Ask),
    /// The agent's counters.
    Stats(Ask),
    /// Let the agent reread its file, as SIGHUP does.
    Reload(Ask),
    /// Can a controller serve?
    Ping(Call),
    /// The figures of a controller.
    Info(Call),
    /// Send callers away from a controller; it stays, and `rejoin` brings it back.
    #[command(alias = "drain")]
    Lameduck(Call),
    /// Bring a controller back to work.
    Rejoin(Call),
    /// What controllers know together.
    #[command(subcommand)]
    Fleet(FleetCommands),
    /// The records of a controller that does not run.
    #[command(subcommand)]
    Store(StoreCommands),
    /// Let instances finish what they took and end; without an instance named, the agent ends too.
    Stop(Ask),
}

#[derive(Debug, Subcommand)]
enum StoreCommands {
    /// How much is there.
    Info(Records),
    /// Whether all checksums fit and all records can be read.
    Verify(Records),
    /// All records, one a line.
    Dump(Records),
}

#[derive(Debug, Args)]
struct Records {
    /// The file that `[instance.store]` names.
    file: PathBuf,
    /// Answer in JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum FleetCommands {
    /// The state of the call servers as known to the fleet and to this controller, and the permits it holds.
    Limits(Call),
    /// Give a replicated setting a value, at a source: KEY is all/PATH or service/SERVICE/PATH, VALUE is JSON.
    Set {
        /// The key.
        key: String,
        /// The value.
        value: String,
        #[command(flatten)]
        wait: replication::Wait,
    },
    /// Delete a replicated setting, at a source.
    Unset {
        /// The key.
        key: String,
        #[command(flatten)]
        wait: replication::Wait,
    },
    /// The replicated settings in force, what is not in force, and conflicts.
    Config(replication::Target),
    /// The members.
    Members(replication::Target),
    /// Whether a change is in force everywhere, and where not.
    Acknowledged {
        /// The change, as SOURCE:NUMBER or SOURCE:EPOCH:NUMBER.
        change: ChangeId,
        #[command(flatten)]
        target: replication::Target,
    },
}

#[derive(Debug, Args)]
struct Ask {
    /// One instance; all where none is named.
    instance: Option<String>,
    /// The agent's control socket.
    #[arg(long, env = "LOCKPOINT_CONTROL", default_value = "lockpoint.sock")]
    control: PathBuf,
    /// Answer in JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct Call {
    #[command(flatten)]
    ask: Ask,
    /// The console of one controller, such as the platform's, in place of the agent.
    #[arg(long, conflicts_with = "instance")]
    console: Option<SocketAddr>,
}

/// Does what the command line says.
pub fn main() -> ExitCode {
    let cli = match Cli::try_parse() {
        Ok(cli) => cli,
        Err(error) => {
            let _ = error.print();
            return ExitCode::from(u8::try_from(error.exit_code()).unwrap_or(BAD_CONFIG));
        }
    };
    let runtime = match tokio::runtime::Builder::new_current_thread().enable_all().build() {
        Ok(runtime) => runtime,
        Err(error) => return complain(FAILED, &format!("cannot start: {error}")),
    };
    match cli.command {
        None => runtime.block_on(platform()),
        Some(Commands::Agent { config }) => LocalSet::new().block_on(&runtime, agent(config)),
        Some(Commands::Check { file, json }) => check(&file, json),
        Some(Commands::Status(ask)) => runtime.block_on(put(Command::Status, ask)),
        Some(Commands::Stats(ask)) => runtime.block_on(put(Command::Stats, ask)),
        Some(Commands::Reload(ask)) => runtime.block_on(put(Command::Reload, ask)),
        Some(Commands::Ping(call)) => runtime.block_on(call_to(Command::Ping, call)),
        Some(Commands::Info(call)) => runtime.block_on(call_to(Command::Info, call)),
        Some(Commands::Lameduck(call)) => runtime.block_on(call_to(Command::Lameduck, call)),
        Some(Commands::Rejoin(call)) => runtime.block_on(call_to(Command::Rejoin, call)),
        Some(Commands::Fleet(command)) => runtime.block_on(about_fleet(command)),
        Some(Commands::Store(command)) => records(command),
        Some(Commands::Stop(ask)) => runtime.block_on(put(Command::Stop, ask)),
    }
}

fn complain(code: u8, what: &str) -> ExitCode {
    eprintln!("lockpoint: {}", what.replace('\n', " "));
    ExitCode::from(code)
}

/// SIGTERM and SIGINT, listened for from this call on: what was taken in the first moments is answered too.
fn told_to_stop() -> impl std::future::Future<Output = ()> {
    let caught = Caught::of(&[signals::TERMINATE, signals::INTERRUPT]);
    async move {
        match caught {
            Ok(mut caught) => caught.next().await,
            Err(_) => std::future::pending().await,
        }
    }
}

/// SIGHUP: a new configuration. It is listened for from the first moment on, or it would end the program.
struct Reloads(Option<Caught>);

impl Reloads {
    fn new() -> Reloads {
        Reloads(Caught::of(&[signals::HANG_UP]).ok())
    }
    async fn next(&mut self) {
        match &mut self.0 {
            Some(caught) => caught.next().await,
            None => std::future::pending().await,
        }
    }
}

/// Does `reload` each time that SIGHUP comes; never returns.
async fn on_reload(mut reloads: Reloads, reload: impl Fn()) {
    loop {
        reloads.next().await;
        reload();
    }
}

fn platform_config() -> Result<InstanceConfig, ConfigError> {
    config::from_platform(|name| std::env::var(name).ok())
}

/// Rereads the platform's configuration; a bad one is reported and the old one kept.
fn reload_platform(instance: &Instance) {
    match platform_config() {
        Ok(config) => {
            let kept = instance.reload(config);
            if !kept.is_empty() {
                tracing::warn!("only a restart can change {}", kept.join(", "));
            }
        }
        Err(error) => {
            instance.reload_failed();
            tracing::error!("not reloaded: {}", error.to_string().replace('\n', " "));
        }
    }
}

async fn platform() -> ExitCode {
    let (reloads, stop) = (Reloads::new(), told_to_stop());
    let config = match platform_config() {
        Ok(config) => config,
        Err(error) => return complain(BAD_CONFIG, &error.to_string()),
    };
    let _log = match logs::start(&LogConfig::default()) {
        Ok(log) => log,
        Err(why) => return complain(BAD_CONFIG, &why),
    };
    let before = match takeover_directory(&config, std::env::var_os("TMPDIR")) {
        Some(dir) => Before::at(takeover::place(&dir, &config.name)),
        None => Before::nobody(),
    };
    match Bound::open_after(before, config).await {
        Ok(bound) => {
            let instance = bound.handle();
            let counters = tokio::select! {
                counters = bound.run(stop) => counters,
                () = on_reload(reloads, || reload_platform(&instance)) => instance.counters(),
            };
            tracing::info!("{}", counters.line());
            ExitCode::SUCCESS
        }
        Err(error) => complain(BAD_CONFIG, &error.to_string()),
    }
}

/// Where predecessor and successor meet, if one may come: only where the platform holds the callers' listener
/// (`$ROUTER_FD`) and both share `$TMPDIR`. Elsewhere a restart begins from nothing, and no Unix socket is opened,
/// since a platform that does not hand the listener on starts no successor beside its predecessor.
pub fn takeover_directory(config: &InstanceConfig, tmpdir: Option<std::ffi::OsString>) -> Option<PathBuf> {
    config.inherited_fd.and(tmpdir).map(PathBuf::from)
}

async fn agent(file: PathBuf) -> ExitCode {
    let (reloads, stop) = (Reloads::new(), told_to_stop());
    let config = match config::from_file(&file) {
        Ok(config) => config,
        Err(error) => return complain(BAD_CONFIG, &error.to_string()),
    };
    let _log = match logs::start(&config.log) {
        Ok(log) => log,
        Err(why) => return complain(BAD_CONFIG, &format!("{}: {why}", file.display())),
    };
    let reload = Notify::new();
    let running = control::run(file, config, stop, &reload);
    let ended = tokio::select! {
        ended = running => ended,
        () = on_reload(reloads, || reload.notify_one()) => Ok(()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => complain(BAD_CONFIG, &error.to_string()),
    }
}

fn check(file: &std::path::Path, json: bool) -> ExitCode {
    let checked = config::from_file(file);
    if json {
        let value = match &checked {
            Ok(config) => {
                let names: Vec<&str> = config.instances.iter().map(|i| i.name.as_str()).collect();
                serde_json::json!({"ok": true, "instances": names})
            }
            Err(ConfigError::Key { key, why, .. }) => {
                serde_json::json!({"ok": false, "key": key, "why": why})
            }
            Err(error) => serde_json::json!({"ok": false, "why": error.to_string()}),
        };
        println!("{value}");
        return if checked.is_ok() { ExitCode::SUCCESS } else { ExitCode::from(BAD_CONFIG) };
    }
    match checked {
        Ok(config) => {
            println!("{}: {} instance(s), no fault found", file.display(), config.instances.len());
            ExitCode::SUCCESS
        }
        Err(error) => complain(BAD_CONFIG, &error.to_string()),
    }
}

/// Calls the instances of an agent, or the one controller whose console is named.
async fn call_to(command: Command, call: Call) -> ExitCode {
    let Some(console) = call.console else { return put(command, call.ask).await };
    match ask_console(command, console).await {
        Ok(called) => shown(&[called], call.ask.json),
        Err(code) => code,
    }
}

async fn ask_console(command: Command, console: SocketAddr) -> Result<ConsoleAnswer, ExitCode> {
    let what = match command {
        Command::Info => console::Call::Info,
        Command::Lameduck => console::Call::Lameduck,
        Command::Rejoin => console::Call::Rejoin,
        _ => console::Call::Ping,
    };
    let answer = console::ask(console, what).await;
    let answer =
        answer.map_err(|error| complain(NO_AGENT, &format!("no console answers at {console}: {error}")))?;
    Ok(ConsoleAnswer { name: console.to_string(), answer })
}

/// Looks into records.
fn records(command: StoreCommands) -> ExitCode {
    let looked = match command {
        StoreCommands::Info(Records { file, json }) => store::info(&file, json).map(|text| (true, text)),
        StoreCommands::Verify(Records { file, json }) => store::verify(&file, json),
        StoreCommands::Dump(Records { file, json }) => store::dump(&file, json).map(|text| (true, text)),
    };
    match looked {
        Ok((ok, text)) => {
            println!("{text}");
            if ok {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(FAILED)
            }
        }
        Err(error) => complain(BAD_CONFIG, &error.to_string()),
    }
}

async fn about_fleet(command: FleetCommands) -> ExitCode {
    match command {
        FleetCommands::Limits(call) => fleet_limits(call).await,
        FleetCommands::Set { key, value, wait } => replication::set(key, &value, wait).await,
        FleetCommands::Unset { key, wait } => replication::unset(key, wait).await,
        FleetCommands::Config(target) => replication::config(target).await,
        FleetCommands::Members(target) => replication::members(target).await,
        FleetCommands::Acknowledged { change, target } => replication::acknowledged(change, target).await,
    }
}

/// Prints what controllers know together, from their figures.
async fn fleet_limits(call: Call) -> ExitCode {
    let called = match call.console {
        Some(console) => ask_console(Command::Info, console).await.map(|called| vec![called]),
        None => {
            let request = Request { command: Command::Info, instance: call.ask.instance };
            match control::send_request(&call.ask.control, &request).await {
                Ok(Reply::ConsoleAnswers { instances }) => Ok(instances),
                Ok(Reply::Error { why }) => Err(complain(FAILED, &why)),
                Ok(other) => Err(complain(FAILED, &format!("the agent answered {other:?}"))),
                Err(error) => Err(complain(NO_AGENT, &error.to_string())),
            }
        }
    };
    let limits: Vec<fleet::Limits> = match called {
        Ok(called) => called.iter().map(fleet::read).collect(),
        Err(code) => return code,
    };
    if call.ask.json {
        println!("{}", serde_json::to_string(&limits).unwrap_or_default());
    } else {
        limits.iter().for_each(|limits| print!("{}", fleet::table(limits)));
    }
    ExitCode::SUCCESS
}

/// Prints what controllers answered to a call; one that said no makes the tool say so.
fn shown(answers: &[ConsoleAnswer], json: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string(answers).unwrap_or_default());
    } else {
        answers.iter().for_each(|called| println!("{}  {}", called.name, called.answer.trim_end()));
    }
    let all = !answers.is_empty() && answers.iter().all(|called| called.answer.starts_with("SUCCESS"));
    if all {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    }
}

async fn put(command: Command, ask: Ask) -> ExitCode {
    let request = Request { command, instance: ask.instance };
    let reply = match control::send_request(&ask.control, &request).await {
        Ok(reply) => reply,
        Err(error) => return complain(NO_AGENT, &error.to_string()),
    };
    if let Reply::Error { why } = &reply {
        return complain(FAILED, why);
    }
    if let Reply::ConsoleAnswers { instances } = &reply {
        return shown(instances, ask.json);
    }
    if ask.json {
        println!("{}", serde_json::to_string(&reply).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    match reply {
        Reply::Status { instances } => {
            for i in instances {
                let at = |name: &str, at: Option<String>| {
                    at.map(|at| format!("  {name} {at}")).unwrap_or_default()
                };
                let (listen, iax2) = (at("listen", i.listen), at("iax2", i.iax2));
                println!("{}  {}{listen}{iax2}{}", i.name, i.state, at("console", i.console));
                for server in i.servers {
                    println!("    {}  {}  {}", server.host, server.dial, server.state);
                }
            }
        }
        Reply::Stats { instances } => instances.iter().for_each(|i| println!("{}", control::stats_line(i))),
        Reply::ConsoleAnswers { .. } | Reply::Error { .. } => {}
    }
    ExitCode::SUCCESS
}
