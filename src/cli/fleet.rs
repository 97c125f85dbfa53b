//! `lockpoint fleet limits`: the state of the call servers as known to a controller and to the fleet. It is taken from
//! the controller's metrics, so that agents and consoles are queried in the same way.

use std::collections::BTreeMap;
use std::fmt::Write;

use serde::Serialize;

use crate::control::ConsoleAnswer;

/// Metrics of lent and borrowed permits are in units of 1/256 permit.
const UNITS_PER_PERMIT: f64 = 256.0;

/// One controller's metrics of the fleet.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Limits {
    /// Name of the controller.
    pub name: String,
    /// Whether it is a member of a fleet.
    pub shares: bool,
    /// Number of peers that are alive.
    pub peers_alive: u64,
    /// Number of peers that were alive and are lost.
    pub peers_lost: u64,
    /// Bytes sent since the controller's start.
    pub bytes: u64,
    /// Gossip rounds deferred because the byte budget was used up.
    pub rounds_deferred: u64,
    /// Permits lent to peers, in calls.
    pub lent: f64,
    /// Permits borrowed from peers and received in time, in calls.
    pub borrowed: f64,
    /// Permits granted by peers but received too late to be used, in calls.
    pub too_late: f64,
    /// The call servers, by name.
    pub servers: Vec<ServerLimits>,
}

/// A controller's metrics of one call server; `None` if it has no recent observation.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
pub struct ServerLimits {
    /// Host name.
    pub host: String,
    /// Wait according to the newest observation of any controller, in milliseconds.
    pub wait_ms: Option<u64>,
    /// Whether that observation is that the call server does not answer.
    pub silent: bool,
    /// Age of that observation, in milliseconds.
    pub age_ms: Option<u64>,
    /// Index of the controller that made it.
    pub origin: Option<u64>,
    /// Wait according to this controller's own last observation, in milliseconds.
    pub own_wait_ms: Option<u64>,
    /// Whether a peer's directory lists it as taking no new calls, while this controller's directory does not yet.
    pub warned: bool,
    /// Permits held for it, in calls; `None`: it needs none.
    pub permits: Option<f64>,
}

/// Extracts the fleet metrics from a controller's answer to `INFO`.
pub fn read(answer: &ConsoleAnswer) -> Limits {
    let parse = |line: &str| {
        let (name, rest) = line.strip_prefix("controller.fleet.")?.rsplit_once(':')?;
        Some((name.to_owned(), rest.split('|').next()?.parse::<u64>().ok()?))
    };
    let metrics: BTreeMap<String, u64> = answer.answer.lines().filter_map(parse).collect();
    let value_of = |name: &str| metrics.get(name).copied().unwrap_or(0);
    let permits = |name: &str| value_of(name) as f64 / UNITS_PER_PERMIT;
    let mut servers: BTreeMap<String, ServerLimits> = BTreeMap::new();
    for (name, value) in &metrics {
        // A host name may contain dots; the name of a metric does not.
        let Some((host, metric)) = name.strip_prefix("server.").and_then(|rest| rest.rsplit_once('.')) else {
            continue;
        };
        let entry = servers.entry(host.to_owned()).or_default();
        entry.host = host.to_owned();
        match metric {
            "wait_ms" => entry.wait_ms = Some(*value),
            "silent" => entry.silent = *value > 0,
            "age_ms" => entry.age_ms = Some(*value),
            "origin" => entry.origin = Some(*value),
            "own_wait_ms" => entry.own_wait_ms = Some(*value),
            "warned" => entry.warned = *value > 0,
            "permits_milli" => entry.permits = Some(*value as f64 / 1e3),
            _ => {}
        }
    }
    Limits {
        name: answer.name.clone(),
        shares: metrics.contains_key("sent"),
        peers_alive: value_of("peers_alive"),
        peers_lost: value_of("peers_lost"),
        bytes: value_of("bytes"),
        rounds_deferred: value_of("rounds_deferred"),
        lent: permits("permits_lent_256ths"),
        borrowed: permits("permits_borrowed_256ths"),
        too_late: permits("permits_too_late_256ths"),
        servers: servers.into_values().collect(),
    }
}

/// Formats the metrics as a table; `-` stands for a missing value.
pub fn table(limits: &Limits) -> String {
    let mut text = String::new();
    if !limits.shares {
        let _ = writeln!(text, "{}  not in a fleet: its file has no [instance.fleet]", limits.name);
        return text;
    }
    let _ = writeln!(
        text,
        "{}  peers alive {}, lost {}  bytes sent {}  rounds deferred {}  permits lent {:.1}, borrowed {:.1}, too late {:.1}",
        limits.name,
        limits.peers_alive,
        limits.peers_lost,
        limits.bytes,
        limits.rounds_deferred,
        limits.lent,
        limits.borrowed,
        limits.too_late
    );
    let _ = writeln!(
        text,
        "    {:<24} {:>10} {:>8} {:>6} {:>10} {:>7} {:>7}",
        "call server", "fleet ms", "age ms", "origin", "own ms", "permits", "warned"
    );
    let or_dash = |value: Option<u64>| value.map_or_else(|| "-".to_owned(), |value| value.to_string());
    for server in &limits.servers {
        let fleet = if server.silent { "silent".to_owned() } else { or_dash(server.wait_ms) };
        let permits = server.permits.map_or_else(|| "-".to_owned(), |permits| format!("{permits:.2}"));
        let _ = writeln!(
            text,
            "    {:<24} {:>10} {:>8} {:>6} {:>10} {:>7} {:>7}",
            server.host,
            fleet,
            or_dash(server.age_ms),
            or_dash(server.origin),
            or_dash(server.own_wait_ms),
            permits,
            if server.warned { "yes" } else { "no" }
        );
    }
    text
}

#[cfg(test)]
mod tests;
