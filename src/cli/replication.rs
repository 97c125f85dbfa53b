//! `lockpoint fleet set`, `unset`, `config`, `members` and `acknowledged`: replicated configuration and membership.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::{Duration, Instant};

use clap::Args;
use serde::Serialize;
use serde_json::Value;

use super::{report_error, BAD_CONFIG, FAILED, NO_AGENT};
use crate::control::replication::{
    send_replication_request, AcknowledgedView, ChangeId, ConfigView, MemberView, Operation,
    ReplicationReply, ReplicationRequest,
};

/// Interval between queries whether a change is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The agent and the instance that are queried.
#[derive(Debug, Args)]
pub struct Target {
    /// Name of the instance; may be left out if only one has replicated configuration.
    #[arg(long)]
    instance: Option<String>,
    /// The agent's control socket.
    #[arg(long, env = "LOCKPOINT_CONTROL", default_value = "lockpoint.sock")]
    control: PathBuf,
    /// Print JSON.
    #[arg(long)]
    json: bool,
}

/// A change of one key.
#[derive(Debug, Args)]
pub struct Wait {
    #[command(flatten)]
    target: Target,
    /// Wait up to this many seconds until the change is in force at all members.
    #[arg(long, value_name = "SECONDS")]
    wait: Option<u64>,
}

/// Sets the value of a key.
pub async fn set(key: String, value: &str, wait: Wait) -> ExitCode {
    match serde_json::from_str::<Value>(value) {
        Ok(value) => change(Operation::Set { key, value }, wait).await,
        Err(error) => report_error(BAD_CONFIG, &format!("the value is not valid JSON: {error}")),
    }
}

/// Deletes a key.
pub async fn unset(key: String, wait: Wait) -> ExitCode {
    change(Operation::Unset { key }, wait).await
}

/// Prints the replicated settings.
pub async fn config(target: Target) -> ExitCode {
    match ask(&target, Operation::Config).await {
        Ok(ReplicationReply::Config(view)) => print(&target, &view, config_table),
        other => unexpected(other),
    }
}

/// Prints the members.
pub async fn members(target: Target) -> ExitCode {
    match ask(&target, Operation::Members).await {
        Ok(ReplicationReply::Members { members }) => print(&target, &members, |all| members_table(all)),
        other => unexpected(other),
    }
}

/// Prints at which members a change is not in force; fails if there are any.
pub async fn acknowledged(change: ChangeId, target: Target) -> ExitCode {
    match ask(&target, Operation::Acknowledged { change }).await {
        Ok(ReplicationReply::Acknowledged(view)) => {
            print(&target, &view, acknowledged_line);
            exit_code(&view)
        }
        other => unexpected(other),
    }
}

async fn change(operation: Operation, wait: Wait) -> ExitCode {
    let Wait { target, wait } = wait;
    let change = match ask(&target, operation).await {
        Ok(ReplicationReply::Accepted { change }) => change,
        other => return unexpected(other),
    };
    let Some(seconds) = wait else {
        return print(&target, &ReplicationReply::Accepted { change }, |_| format!("accepted as {change}\n"));
    };
    let deadline = Instant::now() + Duration::from_secs(seconds);
    loop {
        match ask(&target, Operation::Acknowledged { change }).await {
            Ok(ReplicationReply::Acknowledged(view)) if view.everywhere || Instant::now() >= deadline => {
                print(&target, &view, acknowledged_line);
                return exit_code(&view);
            }
            Ok(ReplicationReply::Acknowledged(_)) => tokio::time::sleep(POLL_INTERVAL).await,
            other => return unexpected(other),
        }
    }
}

async fn ask(target: &Target, operation: Operation) -> Result<ReplicationReply, ExitCode> {
    let request = ReplicationRequest { replication: operation, instance: target.instance.clone() };
    let reply = send_replication_request(&target.control, &request).await;
    reply.map_err(|error| report_error(NO_AGENT, &error.to_string()))
}

/// Reports an error reply, or one of the wrong kind.
fn unexpected(reply: Result<ReplicationReply, ExitCode>) -> ExitCode {
    match reply {
        Err(code) => code,
        Ok(ReplicationReply::Error { why }) => report_error(FAILED, &why),
        Ok(other) => report_error(FAILED, &format!("unexpected reply from the agent: {other:?}")),
    }
}

fn exit_code(view: &AcknowledgedView) -> ExitCode {
    if view.everywhere {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(FAILED)
    }
}

fn print<T: Serialize>(target: &Target, view: &T, text: impl Fn(&T) -> String) -> ExitCode {
    if target.json {
        println!("{}", serde_json::to_string(view).unwrap_or_default());
    } else {
        print!("{}", text(view));
    }
    ExitCode::SUCCESS
}

fn acknowledged_line(view: &AcknowledgedView) -> String {
    if view.everywhere {
        return format!("{} is in force everywhere\n", view.change);
    }
    let (missing, rejecting) = (view.missing_names.join(", "), view.rejecting_names.join(", "));
    format!(
        "{} is missing at {} ({missing}) and rejected by {} ({rejecting})\n",
        view.change, view.missing, view.rejecting
    )
}

fn config_table(view: &ConfigView) -> String {
    let caught_up = if view.caught_up { "caught up" } else { "not caught up" };
    let mut text = format!("{}  {caught_up}  hash {}\n", view.instance, view.hash);
    for entry in &view.entries {
        let change = entry.change.map(|change| change.to_string()).unwrap_or_default();
        text += &format!("    {}  {}  change {change}  at {}\n", entry.key, entry.value, entry.at_ms);
    }
    for rejected in &view.rejected {
        text += &format!("    rejected: {}: {}\n", rejected.key, rejected.why);
    }
    for conflict in &view.conflicts {
        let lost = conflict.lost_value.as_ref().map_or_else(|| "deleted".to_owned(), Value::to_string);
        text += &format!(
            "    conflict: {}  {} overrode {} ({lost})\n",
            conflict.key, conflict.winner, conflict.loser
        );
    }
    let version: Vec<String> = view.version.iter().map(ChangeId::to_string).collect();
    text + &format!("    version {}\n", version.join(" "))
}

fn members_table(members: &[MemberView]) -> String {
    let mut text = format!(
        "{:<24} {:<22} {:<12} {:<12} {:<12} {:>4} {:>11} {:>6}\n",
        "name", "address", "region", "zone", "service", "home", "incarnation", "source"
    );
    for member in members {
        let source = member.source.map_or_else(|| "-".to_owned(), |source| source.to_string());
        text += &format!(
            "{:<24} {:<22} {:<12} {:<12} {:<12} {:>4} {:>11} {source:>6}\n",
            member.name,
            member.address,
            member.region,
            member.zone,
            member.service,
            member.home,
            member.incarnation
        );
    }
    text
}
