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
use crate::instance::{BoundInstance, Instance, Predecessor};
use crate::logs::{self, LogConfig};
use crate::signals::{self, SignalListener};
use crate::takeover;

/// Exit code if the command failed.
const FAILED: u8 = 1;
/// Exit code if the configuration or the command line is invalid.
const BAD_CONFIG: u8 = 2;
/// Exit code if no agent or console answers.
const NO_AGENT: u8 = 3;

/// A session controller. Without a command it runs as the platform's controller, configured by ROUTER_NAME,
/// ROUTER_LISTEN and ROUTER_CONFIG.
#[derive(Debug, Parser)]
#[command(name = "lockpoint", version)]
struct Cli {
    #[command(subcommand)]
    command: Option<Commands>,
}

#[derive(Debug, Subcommand)]
enum Commands {
    /// Run the instances listed in an operator's file.
    Agent {
        /// The operator's file.
        #[arg(long)]
        config: PathBuf,
    },
    /// Check whether an operator's file is valid.
    Check {
        /// The operator's file.
        file: PathBuf,
        /// Print JSON.
        #[arg(long)]
        json: bool,
    },
    /// Print the state of the agent's instances and of the call servers that they know.
    Status(AgentArgs),
    /// Print the counters of the agent's instances.
    Stats(AgentArgs),
    /// Make the agent reread its file, as SIGHUP does.
    Reload(AgentArgs),
    /// Check whether a controller can serve callers.
    Ping(ConsoleArgs),
    /// Print the metrics of a controller.
    Info(ConsoleArgs),
    /// Send callers away from a controller, which keeps running until `rejoin` or `stop`.
    #[command(alias = "drain")]
    Lameduck(ConsoleArgs),
    /// Let a controller accept callers again after `lameduck`.
    Rejoin(ConsoleArgs),
    /// Query and change the state that controllers share.
    #[command(subcommand)]
    Fleet(FleetCommands),
    /// Inspect the records of a controller that is not running.
    #[command(subcommand)]
    Store(StoreCommands),
    /// Stop instances once all their pending calls are answered; if no instance is named, the agent stops too.
    Stop(AgentArgs),
}

#[derive(Debug, Subcommand)]
enum StoreCommands {
    /// Print the number and size of the records.
    Info(StoreArgs),
    /// Verify all checksums, and that all records can be read.
    Verify(StoreArgs),
    /// Print all records, one per line.
    Dump(StoreArgs),
}

#[derive(Debug, Args)]
struct StoreArgs {
    /// The file that `[instance.store]` names.
    file: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Subcommand)]
enum FleetCommands {
    /// Print the state of the call servers as known to the fleet and to this controller, and the permits that it holds.
    Limits(ConsoleArgs),
    /// Set a replicated setting, at a source. KEY is all/PATH or service/SERVICE/PATH, VALUE is JSON.
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
    /// Print the replicated settings in force, the rejected ones and conflicts.
    Config(replication::Target),
    /// Print the members.
    Members(replication::Target),
    /// Check whether a change is in force at all members, and print those where it is not.
    Acknowledged {
        /// The change, as SOURCE:NUMBER or SOURCE:EPOCH:NUMBER.
        change: ChangeId,
        #[command(flatten)]
        target: replication::Target,
    },
}

#[derive(Debug, Args)]
struct AgentArgs {
    /// Name of an instance; all instances if it is left out.
    instance: Option<String>,
    /// The agent's control socket.
    #[arg(long, env = "LOCKPOINT_CONTROL", default_value = "lockpoint.sock")]
    control: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

#[derive(Debug, Args)]
struct ConsoleArgs {
    #[command(flatten)]
    agent: AgentArgs,
    /// Address of a controller's console, such as that of the platform's controller, to query instead of the agent.
    #[arg(long, conflicts_with = "instance")]
    console: Option<SocketAddr>,
}

/// Runs the command line.
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
        Err(error) => return report_error(FAILED, &format!("cannot start the async runtime: {error}")),
    };
    match cli.command {
        None => runtime.block_on(platform()),
        Some(Commands::Agent { config }) => LocalSet::new().block_on(&runtime, agent(config)),
        Some(Commands::Check { file, json }) => check(&file, json),
        Some(Commands::Status(args)) => runtime.block_on(run_agent_command(Command::Status, args)),
        Some(Commands::Stats(args)) => runtime.block_on(run_agent_command(Command::Stats, args)),
        Some(Commands::Reload(args)) => runtime.block_on(run_agent_command(Command::Reload, args)),
        Some(Commands::Ping(args)) => runtime.block_on(run_console_command(Command::Ping, args)),
        Some(Commands::Info(args)) => runtime.block_on(run_console_command(Command::Info, args)),
        Some(Commands::Lameduck(args)) => runtime.block_on(run_console_command(Command::Lameduck, args)),
        Some(Commands::Rejoin(args)) => runtime.block_on(run_console_command(Command::Rejoin, args)),
        Some(Commands::Fleet(command)) => runtime.block_on(fleet_command(command)),
        Some(Commands::Store(command)) => store_command(command),
        Some(Commands::Stop(args)) => runtime.block_on(run_agent_command(Command::Stop, args)),
    }
}

/// Prints an error on one line and returns the exit code.
fn report_error(code: u8, error: &str) -> ExitCode {
    eprintln!("lockpoint: {}", error.replace('\n', " "));
    ExitCode::from(code)
}

/// Completes on SIGTERM or SIGINT. The signals are caught from this call on, so that calls taken right after the start
/// are answered before the process ends.
fn stop_signal() -> impl std::future::Future<Output = ()> {
    let caught = SignalListener::new(&[signals::TERMINATE, signals::INTERRUPT]);
    async move {
        match caught {
            Ok(mut caught) => caught.next().await,
            Err(_) => std::future::pending().await,
        }
    }
}

/// SIGHUP, which reloads the configuration. It must be caught from the start of the process, since uncaught it ends the
/// process.
struct ReloadSignal(Option<SignalListener>);

impl ReloadSignal {
    fn new() -> ReloadSignal {
        ReloadSignal(SignalListener::new(&[signals::HANG_UP]).ok())
    }
    async fn next(&mut self) {
        match &mut self.0 {
            Some(caught) => caught.next().await,
            None => std::future::pending().await,
        }
    }
}

/// Calls `reload` on each SIGHUP; never returns.
async fn on_reload(mut signal: ReloadSignal, reload: impl Fn()) {
    loop {
        signal.next().await;
        reload();
    }
}

fn platform_config() -> Result<InstanceConfig, ConfigError> {
    config::from_platform(|name| std::env::var(name).ok())
}

/// Rereads the platform's configuration. An invalid one is logged, and the previous one stays in use.
fn reload_platform(instance: &Instance) {
    match platform_config() {
        Ok(config) => {
            let unchanged = instance.reload(config);
            if !unchanged.is_empty() {
                tracing::warn!("only a restart can change {}", unchanged.join(", "));
            }
        }
        Err(error) => {
            instance.reload_failed();
            tracing::error!("not reloaded: {}", error.to_string().replace('\n', " "));
        }
    }
}

async fn platform() -> ExitCode {
    let (reload_signal, stop) = (ReloadSignal::new(), stop_signal());
    let config = match platform_config() {
        Ok(config) => config,
        Err(error) => return report_error(BAD_CONFIG, &error.to_string()),
    };
    let _log = match logs::start(&LogConfig::default()) {
        Ok(log) => log,
        Err(why) => return report_error(BAD_CONFIG, &why),
    };
    let before = match takeover_directory(&config, std::env::var_os("TMPDIR")) {
        Some(dir) => Predecessor::find_at(takeover::socket_path(&dir, &config.name)),
        None => Predecessor::none(),
    };
    match BoundInstance::open_with_predecessor(before, config).await {
        Ok(bound) => {
            let instance = bound.handle();
            let counters = tokio::select! {
                counters = bound.run(stop) => counters,
                () = on_reload(reload_signal, || reload_platform(&instance)) => instance.counters(),
            };
            tracing::info!("{}", counters.line());
            ExitCode::SUCCESS
        }
        Err(error) => report_error(BAD_CONFIG, &error.to_string()),
    }
}

/// Returns the directory of the takeover socket, if a takeover is possible: only if the platform passes on the callers'
/// listener (`$ROUTER_FD`) and both processes share `$TMPDIR`. Otherwise a restart begins with empty state, and no Unix
/// socket is opened, since a platform that does not pass the listener on starts no successor beside its predecessor.
pub fn takeover_directory(config: &InstanceConfig, tmpdir: Option<std::ffi::OsString>) -> Option<PathBuf> {
    config.inherited_fd.and(tmpdir).map(PathBuf::from)
}

async fn agent(file: PathBuf) -> ExitCode {
    let (reload_signal, stop) = (ReloadSignal::new(), stop_signal());
    let config = match config::from_file(&file) {
        Ok(config) => config,
        Err(error) => return report_error(BAD_CONFIG, &error.to_string()),
    };
    let _log = match logs::start(&config.log) {
        Ok(log) => log,
        Err(why) => return report_error(BAD_CONFIG, &format!("{}: {why}", file.display())),
    };
    let reload = Notify::new();
    let running = control::run(file, config, stop, &reload);
    let ended = tokio::select! {
        ended = running => ended,
        () = on_reload(reload_signal, || reload.notify_one()) => Ok(()),
    };
    match ended {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => report_error(BAD_CONFIG, &error.to_string()),
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
        Err(error) => report_error(BAD_CONFIG, &error.to_string()),
    }
}

/// Runs a console command at instances of the agent, or at the controller whose console is given.
async fn run_console_command(command: Command, args: ConsoleArgs) -> ExitCode {
    let Some(console) = args.console else { return run_agent_command(command, args.agent).await };
    match ask_console(command, console).await {
        Ok(answer) => print_console_answers(&[answer], args.agent.json),
        Err(code) => code,
    }
}

/// Sends a command to the console at this address.
async fn ask_console(command: Command, console: SocketAddr) -> Result<ConsoleAnswer, ExitCode> {
    let console_command = match command {
        Command::Info => console::ConsoleCommand::Info,
        Command::Lameduck => console::ConsoleCommand::Lameduck,
        Command::Rejoin => console::ConsoleCommand::Rejoin,
        _ => console::ConsoleCommand::Ping,
    };
    let answer = console::send_command(console, console_command).await;
    let answer = answer
        .map_err(|error| report_error(NO_AGENT, &format!("no console answers at {console}: {error}")))?;
    Ok(ConsoleAnswer { name: console.to_string(), answer })
}

/// Inspects the records of a controller.
fn store_command(command: StoreCommands) -> ExitCode {
    let result = match command {
        StoreCommands::Info(StoreArgs { file, json }) => store::info(&file, json).map(|text| (true, text)),
        StoreCommands::Verify(StoreArgs { file, json }) => store::verify(&file, json),
        StoreCommands::Dump(StoreArgs { file, json }) => store::dump(&file, json).map(|text| (true, text)),
    };
    match result {
        Ok((ok, text)) => {
            println!("{text}");
            if ok {
                ExitCode::SUCCESS
            } else {
                ExitCode::from(FAILED)
            }
        }
        Err(error) => report_error(BAD_CONFIG, &error.to_string()),
    }
}

async fn fleet_command(command: FleetCommands) -> ExitCode {
    match command {
        FleetCommands::Limits(args) => fleet_limits(args).await,
        FleetCommands::Set { key, value, wait } => replication::set(key, &value, wait).await,
        FleetCommands::Unset { key, wait } => replication::unset(key, wait).await,
        FleetCommands::Config(target) => replication::config(target).await,
        FleetCommands::Members(target) => replication::members(target).await,
        FleetCommands::Acknowledged { change, target } => replication::acknowledged(change, target).await,
    }
}

/// Prints the state of the call servers as known to the fleet, taken from the controllers' metrics.
async fn fleet_limits(args: ConsoleArgs) -> ExitCode {
    let answers = match args.console {
        Some(console) => ask_console(Command::Info, console).await.map(|answer| vec![answer]),
        None => {
            let request = Request { command: Command::Info, instance: args.agent.instance };
            match control::send_request(&args.agent.control, &request).await {
                Ok(Reply::ConsoleAnswers { instances }) => Ok(instances),
                Ok(Reply::Error { why }) => Err(report_error(FAILED, &why)),
                Ok(other) => {
                    Err(report_error(FAILED, &format!("unexpected reply from the agent: {other:?}")))
                }
                Err(error) => Err(report_error(NO_AGENT, &error.to_string())),
            }
        }
    };
    let limits: Vec<fleet::Limits> = match answers {
        Ok(answers) => answers.iter().map(fleet::read).collect(),
        Err(code) => return code,
    };
    if args.agent.json {
        println!("{}", serde_json::to_string(&limits).unwrap_or_default());
    } else {
        limits.iter().for_each(|limits| print!("{}", fleet::table(limits)));
    }
    ExitCode::SUCCESS
}

/// Prints the controllers' answers to a console command. The exit code is that of failure if any of them failed.
fn print_console_answers(answers: &[ConsoleAnswer], json: bool) -> ExitCode {
    if json {
        println!("{}", serde_json::to_string(answers).unwrap_or_default());
    } else {
        answers.iter().for_each(|answer| println!("{}  {}", answer.name, answer.answer.trim_end()));
    }
    let succeeded = !answers.is_empty() && answers.iter().all(|answer| answer.answer.starts_with("SUCCESS"));
    if succeeded {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    }
}

/// Sends a command to the agent and prints its reply.
async fn run_agent_command(command: Command, args: AgentArgs) -> ExitCode {
    let request = Request { command, instance: args.instance };
    let reply = match control::send_request(&args.control, &request).await {
        Ok(reply) => reply,
        Err(error) => return report_error(NO_AGENT, &error.to_string()),
    };
    if let Reply::Error { why } = &reply {
        return report_error(FAILED, why);
    }
    if let Reply::ConsoleAnswers { instances } = &reply {
        return print_console_answers(instances, args.json);
    }
    if args.json {
        println!("{}", serde_json::to_string(&reply).unwrap_or_default());
        return ExitCode::SUCCESS;
    }
    match reply {
        Reply::Status { instances } => {
            for i in instances {
                let field = |name: &str, address: Option<String>| {
                    address.map(|address| format!("  {name} {address}")).unwrap_or_default()
                };
                let (listen, iax2) = (field("listen", i.listen), field("iax2", i.iax2));
                println!("{}  {}{listen}{iax2}{}", i.name, i.state, field("console", i.console));
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
