//! Experiment files: the load, the call servers, the faults and their times.

use std::path::Path;

use serde::Deserialize;
use serde_json::{json, Value};

use crate::flood::FloodConfig;
use crate::load::CallersConfig;
use crate::path::PathConfig;
use crate::processor::ProcessorConfig;
use crate::under_test::LabError;

/// The time to live of a call server's DNS records, in seconds.
pub const RECORD_LIFE: u32 = 1;

/// An experiment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its title.
    pub name: String,
    /// The seed of all random decisions.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// How long callers request calls, in seconds.
    pub seconds: f64,
    /// The arrival rate as a share of the planned capacity, which is that of all call servers together when warm.
    pub load: f64,
    /// The behaviour of the callers.
    #[serde(default)]
    pub callers: CallersConfig,
    /// The datagram path in front of each simulated IAX2 peer.
    #[serde(default)]
    pub path: PathConfig,
    /// The mean duration of a call, in milliseconds.
    #[serde(default = "default_hold_ms")]
    pub hold_ms: u64,
    /// The set-up time target, in milliseconds; later answers count as late.
    #[serde(default = "default_aim_ms")]
    pub aim_ms: u64,
    /// The call servers.
    pub server: Vec<ServerConfig>,
    /// The faults.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// The periods with a higher arrival rate.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// Forged NEWs that are sent as long as callers request calls.
    #[serde(default)]
    pub flood: Option<FloodConfig>,
    /// Further keys of the agent's `iax2` section, such as `tokens`; its addresses are set by the laboratory.
    #[serde(default)]
    pub iax2: toml::Table,
}

fn default_seed() -> u64 {
    1
}
fn default_hold_ms() -> u64 {
    4_000
}
fn default_aim_ms() -> u64 {
    2_000
}

/// A protocol of call servers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)] // the variants are the protocols' names
pub enum ServerProtocol {
    Sip,
    Iax2,
}

/// A call server; its cell is its position in the file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// Its name in its directory.
    pub name: String,
    /// Its protocol; SIP call servers are listed by the bulletin, IAX2 call servers by DNS-SD.
    #[serde(rename = "speaks")]
    pub protocol: ServerProtocol,
    /// Its processor.
    #[serde(default)]
    pub processor: ProcessorConfig,
}

/// The kind of a call server's fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// It receives messages but sends nothing.
    Silent,
    /// It works at a quarter of its usual speed.
    Slow,
    /// It answers with errors.
    #[serde(rename = "errs")]
    Errors,
    /// Its directory lists it as draining, and at the end as ready again.
    Drain,
    /// Its process dies, and restarts cold at the end.
    Restart,
}

/// A fault of one call server.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// When it begins, in seconds after the start.
    pub at: f64,
    /// Its duration, in seconds.
    pub seconds: f64,
    /// The name of the call server.
    pub server: String,
    /// The kind of the fault.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// A period with a higher arrival rate.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// When it begins, in seconds after the start.
    pub at: f64,
    /// Its duration, in seconds.
    pub seconds: f64,
    /// The factor by which the arrival rate is multiplied.
    pub factor: f64,
}

impl Experiment {
    /// Reads an experiment file.
    pub fn from_file(file: &Path) -> Result<Experiment, LabError> {
        let text = std::fs::read_to_string(file).map_err(|e| LabError::file(file, e))?;
        Experiment::parse(&text).map_err(|error| LabError::file(file, error))
    }

    /// Parses the text of an experiment file; an error names the key.
    pub fn parse(text: &str) -> Result<Experiment, String> {
        let table: toml::Table =
            text.parse().map_err(|e: toml::de::Error| e.to_string().trim().replace('\n', " "))?;
        let read: Experiment = serde_path_to_error::deserialize(table)
            .map_err(|e| format!("at key '{}': {}", e.path(), e.inner().message()))?;
        if read.server.is_empty() {
            return Err("at key 'server': an experiment needs a call server".to_owned());
        }
        for (key, value) in [("seconds", read.seconds), ("load", read.load)] {
            if !(value > 0.0 && value < 1e5) {
                return Err(format!("at key '{key}': {value} is not above 0 and below 100000"));
            }
        }
        for (n, server) in read.server.iter().enumerate() {
            if read.server[..n].iter().any(|other| other.name == server.name) {
                return Err(format!("at key 'server[{n}].name': '{}' is listed twice", server.name));
            }
            if !(server.processor.capacity > 0.0 && server.processor.capacity < 1e6) {
                return Err(format!(
                    "at key 'server[{n}].processor.capacity': not above 0 and below 1000000"
                ));
            }
        }
        for (n, fault) in read.fault.iter().enumerate() {
            if !read.server.iter().any(|server| server.name == fault.server) {
                return Err(format!(
                    "at key 'fault[{n}].server': no call server is named '{}'",
                    fault.server
                ));
            }
        }
        Ok(read)
    }

    /// The capacity of all call servers together when warm, in calls per second.
    pub fn capacity(&self) -> f64 {
        self.server.iter().map(|server| server.processor.capacity).sum()
    }

    /// The arrival rate per second, `at` seconds after the start.
    pub fn rate(&self, at: f64) -> f64 {
        let bursts = self.burst.iter().filter(|b| (b.at..b.at + b.seconds).contains(&at));
        self.load * self.capacity() * bursts.map(|b| b.factor).product::<f64>()
    }

    /// The settings of the instance under test, with the keys and units of the platform's JSON.
    pub fn settings(&self) -> Value {
        let cells: Vec<usize> = (0..self.server.len()).collect();
        let first = &self.server[0].processor;
        json!({"balancers": 1,
            "bounds": {"cancel": true, "connect-timeout-us": 500_000, "max-attempts": 5,
                "max-retry-after-us": 2_000_000, "most-held": 20_000, "retry-after": true},
            "classes": [{"name": "judge-call", "goal-time-us": self.aim_ms * 1000,
                "hard-limit-us": self.callers.patience_ms * 1000, "late-worth": 0.1, "semantics": "free",
                "streamed": true, "worth": 1.0}],
            "discovery": "push",
            "extra": {"class-cells": [cells], "clear-wait-us": 500_000, "holding-us": [self.hold_ms * 1000],
                "shape": "skills", "this-node": -1, "widths": [1], "says-wait": true},
            "granularity-us": 5_000,
            "report": {"how": "inline", "names": ["idle", "circuits", "cpu_share", "pending"]},
            "rules": {"cold-share": first.cold_share, "cold-us": first.cold_ms * 1000,
                "overload-factor": first.overload_factor, "tip-after-us": first.tip_ms * 1000},
            "zones": ["east"]})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const VALID: &str = "name = 'x'\nseconds = 2\nload = 1.2\n[[server]]\nname = 's0'\nspeaks = 'sip'\n";

    #[test]
    fn an_invalid_file_is_rejected_with_its_key() {
        assert!(Experiment::parse(VALID).is_ok());
        for (invalid, key) in [
            (VALID.replace("load = 1.2", "load = -1"), "'load'"),
            (VALID.replace("seconds = 2", "seconds = 'two'"), "'seconds'"),
            (VALID.replace("'sip'", "'h323'"), "'server[0].speaks'"),
            (format!("{VALID}[[server]]\nname = 's0'\nspeaks = 'iax2'\n"), "'server[1].name'"),
            (
                format!("{VALID}[[fault]]\nat = 1\nseconds = 1\nserver = 's9'\nwhat = 'slow'\n"),
                "'fault[0].server'",
            ),
            (format!("{VALID}processor.capacity = 0.0\n"), "'server[0].processor.capacity'"),
            (VALID.replace("load", "lode"), "lode"),
        ] {
            let error = Experiment::parse(&invalid).expect_err("an invalid file");
            assert!(error.contains(key) && !error.contains('\n'), "{key}: {error}");
        }
    }

    #[test]
    fn a_burst_raises_the_arrival_rate_while_it_lasts() {
        let text = format!("{VALID}[[burst]]\nat = 1\nseconds = 0.5\nfactor = 3\n");
        let experiment = Experiment::parse(&text).expect("a valid file");
        let rates = [0.5, 1.2, 1.6].map(|at| experiment.rate(at).round());
        assert_eq!(rates, [60.0, 180.0, 60.0]);
    }
}
