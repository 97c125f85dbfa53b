//! An experiment as a file: who calls how often, which call servers there are, what goes wrong and when.

use std::path::Path;

use serde::Deserialize;
use serde_json::{json, Value};

use crate::flood::FloodConfig;
use crate::load::CallersConfig;
use crate::path::PathConfig;
use crate::processor::ProcessorConfig;
use crate::under_test::LabError;

/// Records of a call server live so long, in seconds.
pub const RECORD_LIFE: u32 = 1;

/// An experiment.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Experiment {
    /// Its title.
    pub name: String,
    /// All chance comes from this.
    #[serde(default = "one")]
    pub seed: u64,
    /// How long callers ask, in seconds.
    pub seconds: f64,
    /// The rate of arrivals as a share of the planned capacity: that of all call servers together, warm.
    pub load: f64,
    /// What callers are like.
    #[serde(default)]
    pub callers: CallersConfig,
    /// The datagram path in front of every IAX2 stand-in.
    #[serde(default)]
    pub path: PathConfig,
    /// Calls stand for so long in the mean, in milliseconds.
    #[serde(default = "usual_hold")]
    pub hold_ms: u64,
    /// Those that answer later than this are late, in milliseconds.
    #[serde(default = "usual_aim")]
    pub aim_ms: u64,
    /// The call servers.
    pub server: Vec<ServerConfig>,
    /// What goes wrong.
    #[serde(default)]
    pub fault: Vec<Fault>,
    /// When more callers come.
    #[serde(default)]
    pub burst: Vec<Burst>,
    /// Forged NEWs beside the callers, for as long as they ask.
    #[serde(default)]
    pub flood: Option<FloodConfig>,
    /// Keys of the agent's `iax2` besides its addresses, such as `tokens`.
    #[serde(default)]
    pub iax2: toml::Table,
}

fn one() -> u64 {
    1
}
fn usual_hold() -> u64 {
    4_000
}
fn usual_aim() -> u64 {
    2_000
}

/// A protocol that call servers speak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
#[allow(missing_docs)] // the names say it
pub enum ServerProtocol {
    Sip,
    Iax2,
}

/// A call server; its cell is its place in the file.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerConfig {
    /// Its name in the list.
    pub name: String,
    /// What it speaks; SIP ones are listed by the bulletin, IAX2 ones by DNS-SD.
    #[serde(rename = "speaks")]
    pub protocol: ServerProtocol,
    /// Its processor.
    #[serde(default)]
    pub processor: ProcessorConfig,
}

/// What can go wrong with a call server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum FaultKind {
    /// It hears and says nothing.
    Silent,
    /// It works at a quarter of its speed.
    Slow,
    /// It answers with errors.
    #[serde(rename = "errs")]
    Errors,
    /// The list says that it drains, then that it is ready again.
    Drain,
    /// Its process dies, and starts again, cold, at the end.
    Restart,
}

/// A fault.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    /// From when on, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    pub seconds: f64,
    /// Which call server.
    pub server: String,
    /// What goes wrong.
    #[serde(rename = "what")]
    pub kind: FaultKind,
}

/// A burst.
#[derive(Debug, Clone, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Burst {
    /// From when on, in seconds.
    pub at: f64,
    /// For how long, in seconds.
    pub seconds: f64,
    /// The rate is this many times the usual one.
    pub factor: f64,
}

impl Experiment {
    /// Reads a file.
    pub fn from_file(file: &Path) -> Result<Experiment, LabError> {
        let text = std::fs::read_to_string(file).map_err(|e| LabError::file(file, e))?;
        Experiment::parse(&text).map_err(|why| LabError::file(file, why))
    }

    /// Reads a file's text; an error names the key.
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

    /// Calls a second that all call servers bear together, warm.
    pub fn capacity(&self) -> f64 {
        self.server.iter().map(|server| server.processor.capacity).sum()
    }

    /// Arrivals a second so many seconds after the start.
    pub fn rate(&self, at: f64) -> f64 {
        let bursts = self.burst.iter().filter(|b| (b.at..b.at + b.seconds).contains(&at));
        self.load * self.capacity() * bursts.map(|b| b.factor).product::<f64>()
    }

    /// The settings of the instance under test, in the platform's names and units.
    pub fn settings(&self) -> Value {
        let cells: Vec<usize> = (0..self.server.len()).collect();
        let one = &self.server[0].processor;
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
            "rules": {"cold-share": one.cold_share, "cold-us": one.cold_ms * 1000,
                "overload-factor": one.overload_factor, "tip-after-us": one.tip_ms * 1000},
            "zones": ["east"]})
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = "name = 'x'\nseconds = 2\nload = 1.2\n[[server]]\nname = 's0'\nspeaks = 'sip'\n";

    #[test]
    fn a_bad_file_is_told_by_its_key() {
        assert!(Experiment::parse(GOOD).is_ok());
        for (bad, key) in [
            (GOOD.replace("load = 1.2", "load = -1"), "'load'"),
            (GOOD.replace("seconds = 2", "seconds = 'two'"), "'seconds'"),
            (GOOD.replace("'sip'", "'h323'"), "'server[0].speaks'"),
            (format!("{GOOD}[[server]]\nname = 's0'\nspeaks = 'iax2'\n"), "'server[1].name'"),
            (
                format!("{GOOD}[[fault]]\nat = 1\nseconds = 1\nserver = 's9'\nwhat = 'slow'\n"),
                "'fault[0].server'",
            ),
            (format!("{GOOD}processor.capacity = 0.0\n"), "'server[0].processor.capacity'"),
            (GOOD.replace("load", "lode"), "lode"),
        ] {
            let why = Experiment::parse(&bad).expect_err("a bad file");
            assert!(why.contains(key) && !why.contains('\n'), "{key}: {why}");
        }
    }

    #[test]
    fn a_burst_raises_the_rate_for_its_time() {
        let text = format!("{GOOD}[[burst]]\nat = 1\nseconds = 0.5\nfactor = 3\n");
        let experiment = Experiment::parse(&text).expect("a good file");
        let rates = [0.5, 1.2, 1.6].map(|at| experiment.rate(at).round());
        assert_eq!(rates, [60.0, 180.0, 60.0]);
    }
}
