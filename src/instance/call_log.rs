//! Log lines that let a call be traced through the controller: each input and effect that concerns a call or a call
//! server, and each end of a connection with its reason. Written at level `debug` under the target [`LOG_TARGET`].

use std::fmt::Display;

use crate::core::{Effect, Input, ServerEvent};
use crate::interface::Time;

/// Target of these lines: `LOCKPOINT_LOG=info,lockpoint::calls=debug` writes them.
pub(super) const LOG_TARGET: &str = "lockpoint::calls";

/// Logs an input of the core.
pub(super) fn log_input(now: Time, input: &Input) {
    if !tracing::enabled!(target: LOG_TARGET, tracing::Level::DEBUG) {
        return;
    }
    let at = now.0;
    match input {
        Input::SetUp(client, set_up) => {
            let (client, sid, left_ms) = (client.no, set_up.sid, set_up.left.0 / 1_000);
            tracing::debug!(target: LOG_TARGET, at, %sid, client, left_ms, "set-up received");
        }
        Input::HangUp(client, sid, cause) => {
            tracing::debug!(target: LOG_TARGET, at, %sid, client = client.no, cause, "caller hung up");
        }
        Input::ReleaseConfirmed(sid) => {
            tracing::debug!(target: LOG_TARGET, at, %sid, "caller confirmed the release");
        }
        Input::Server(server, sid, event) => {
            let event = describe(event);
            tracing::debug!(target: LOG_TARGET, at, %sid, server = server.address, event, "call server");
        }
        Input::ServerDied(server) => {
            tracing::debug!(target: LOG_TARGET, at, server = server.address, "call server taken for dead");
        }
        Input::List { hosts, .. } => {
            for entry in hosts {
                let (host, state) = (&entry.host, entry.state);
                tracing::debug!(target: LOG_TARGET, at, %host, ?state, address = %entry.address, "listed");
            }
        }
        _ => {}
    }
}

fn describe(event: &ServerEvent) -> String {
    match event {
        ServerEvent::Answered(_) => "answered".to_owned(),
        ServerEvent::Refused(refusal, cause, _) => format!("refused: {refusal:?} {cause:?}"),
        ServerEvent::Released(cause, _) => format!("released: cause {cause}"),
        ServerEvent::Lost(error) => format!("lost: {error}"),
    }
}

/// Logs an effect of the core.
pub(super) fn log_effect(now: Time, effect: &Effect) {
    if !tracing::enabled!(target: LOG_TARGET, tracing::Level::DEBUG) {
        return;
    }
    let at = now.0;
    match effect {
        Effect::Answer(client, sid, _) => {
            tracing::debug!(target: LOG_TARGET, at, %sid, client = client.no, "answered to the caller");
        }
        Effect::Refuse { client, sid, retryable, reason, .. } => {
            let client = client.no;
            tracing::debug!(target: LOG_TARGET, at, %sid, client, retryable, %reason, "refused to the caller");
        }
        Effect::Release(client, sid, cause) => {
            tracing::debug!(target: LOG_TARGET, at, %sid, client = client.no, cause, "released to the caller");
        }
        Effect::Invite { server, sid, left, .. } => {
            let (server, left_ms) = (server.address, left.0 / 1_000);
            tracing::debug!(target: LOG_TARGET, at, %sid, server, left_ms, "attempt begun");
        }
        Effect::Cancel(server, sid) => {
            tracing::debug!(target: LOG_TARGET, at, %sid, server = server.address, "attempt cancelled");
        }
        Effect::Bye(server, sid, cause) => {
            tracing::debug!(target: LOG_TARGET, at, %sid, server = server.address, cause, "call ended there");
        }
        Effect::ServerRestarted(server, _) => {
            tracing::debug!(target: LOG_TARGET, at, server = server.address, "call server listed as restarted");
        }
        Effect::ServerReplaced(server) => {
            tracing::debug!(target: LOG_TARGET, at, server = server.address, "address taken by another call server");
        }
        _ => {}
    }
}

/// Logs that a connection to a call server was opened.
pub(super) fn log_link_up(now: Time, link: u64, address: Option<std::net::SocketAddr>) {
    tracing::debug!(target: LOG_TARGET, at = now.0, link, ?address, "connection to a call server opened");
}

/// Logs the end of a connection to a call server, or that it could not be opened.
pub(super) fn log_link_end(
    now: Time,
    link: u64,
    address: Option<std::net::SocketAddr>,
    reason: impl Display,
) {
    tracing::debug!(target: LOG_TARGET, at = now.0, link, ?address, %reason, "connection to a call server ended");
}

/// Logs the end of a caller's connection.
pub(super) fn log_client_end(now: Time, client: u64, reason: impl Display) {
    tracing::debug!(target: LOG_TARGET, at = now.0, client, %reason, "caller's connection ended");
}
