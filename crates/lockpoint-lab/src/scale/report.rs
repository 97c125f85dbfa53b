//! The result table of a scale run: one row for each size and fault, as CSV and as Markdown.

use std::fmt::Write as _;
use std::path::Path;

use super::bounds::{checks, Check};
use super::propagation::Delays;
use super::scenario::Fault;
use super::traffic::MeanMax;
use crate::under_test::LabError;

/// How a row was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mode {
    /// Simulated controllers in simulated time.
    Simulated,
    /// Real processes, with simulated controllers at the pace of real time.
    RealTime,
}

impl Mode {
    /// Name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Simulated => "simulated",
            Mode::RealTime => "real",
        }
    }
}

/// How long a kind of update took to reach all controllers.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum PropagationResult {
    /// Not measured in this row.
    #[default]
    NotMeasured,
    /// The fleet has no mechanism that distributes it.
    NoMechanism,
    /// The measured delays.
    Measured(Delays),
}

/// Load on the central servers: directories and control-plane sources.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct CentralServers {
    /// Highest number of connections of one central server.
    pub connections: u64,
    /// Bytes per second sent by the busiest one.
    pub bytes_per_second: f64,
    /// Highest number of entries held by a source; `None`: there are no sources.
    pub entries: Option<usize>,
}

/// One row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// How it was measured.
    pub mode: Mode,
    /// Number of controllers, simulated and real.
    pub controllers: u16,
    /// Real processes among them.
    pub real: u16,
    /// The injected fault.
    pub fault: Fault,
    /// Seconds measured.
    pub seconds: f64,
    /// Calls per second over all controllers.
    pub call_rate: f64,
    /// Datagrams a second that a controller sent.
    pub datagrams_out: MeanMax,
    /// Datagrams a second that a controller received.
    pub datagrams_in: MeanMax,
    /// Bytes a second that a controller sent.
    pub bytes_out: MeanMax,
    /// Bytes a second that a controller received.
    pub bytes_in: MeanMax,
    /// Sum of both.
    pub bytes: MeanMax,
    /// Share of a processor core used by control traffic at a controller.
    pub core_share: MeanMax,
    /// Processor time per call at a controller, in microseconds; includes its release and list updates.
    pub call_micros: f64,
    /// Memory of a controller, in KiB; `None`: not measured in this row.
    pub memory_kib: Option<f64>,
    /// Highest number of call servers of which one controller held an observation.
    pub entries: usize,
    /// Members known to a control plane at the start of the measurement, sources included: the minimum and the mean.
    pub members_known: Option<(usize, f64)>,
    /// Propagation of a drain that a single directory announced.
    pub drain: PropagationResult,
    /// Propagation of a controller's death.
    pub death: PropagationResult,
    /// Propagation of a configuration change.
    pub change: PropagationResult,
    /// Propagation of a replacement's new address.
    pub replacement: PropagationResult,
    /// Lower bound on the suspicions of controllers that were running.
    pub false_suspicions: u64,
    /// Datagrams dropped because their sender's address was unknown.
    pub from_unknown_senders: u64,
    /// Set-ups sent to cold call servers.
    pub cold_set_ups: u64,
    /// Highest load on a cold call server, as a share of N + 2 sqrt(N) + 2.
    pub cold_budget: f64,
    /// Cold call servers that failed under overload.
    pub cold_failed: u64,
    /// Calls placed, and calls established.
    pub calls: (u64, u64),
    /// The central servers.
    pub central_servers: CentralServers,
}

const HEADER: [&str; 29] = [
    "mode",
    "controllers",
    "real",
    "fault",
    "seconds",
    "calls/s",
    "datagrams/s out (mean/max)",
    "datagrams/s in (mean/max)",
    "bytes/s out (mean/max)",
    "bytes/s in (mean/max)",
    "bytes/s both (mean/max)",
    "core % (mean/max)",
    "us a call",
    "memory KiB",
    "entries",
    "members known at start (fewest/mean)",
    "drain ms (p50/p99/max)",
    "death ms (p50/p99/max)",
    "change ms (p50/p99/max)",
    "replacement ms (p50/p99/max)",
    "false suspicions",
    "from strangers",
    "cold set-ups",
    "cold budget",
    "cold fell",
    "calls stood",
    "centre connections",
    "centre bytes/s",
    "failed",
];

impl Row {
    /// The names of the checks that failed.
    pub fn failures(&self) -> Vec<&'static str> {
        checks(self).into_iter().filter(|(_, passed)| !passed).map(|(check, _)| check.name()).collect()
    }

    /// The row as a line of the Markdown table.
    pub fn line(&self) -> String {
        format!("| {} |", self.cells().join(" | "))
    }

    fn cells(&self) -> Vec<String> {
        let failures = self.failures();
        vec![
            self.mode.name().to_owned(),
            self.controllers.to_string(),
            self.real.to_string(),
            self.fault.name().to_owned(),
            format!("{:.0}", self.seconds),
            format!("{:.0}", self.call_rate),
            mean_max(self.datagrams_out),
            mean_max(self.datagrams_in),
            mean_max(self.bytes_out),
            mean_max(self.bytes_in),
            mean_max(self.bytes),
            format!("{:.2} / {:.2}", self.core_share.mean * 100.0, self.core_share.max * 100.0),
            format!("{:.0}", self.call_micros),
            self.memory_kib.map_or("-".to_owned(), |kib| format!("{kib:.0}")),
            self.entries.to_string(),
            self.members_known.map_or("-".to_owned(), |(fewest, mean)| format!("{fewest} / {mean:.0}")),
            known(&self.drain),
            known(&self.death),
            known(&self.change),
            known(&self.replacement),
            self.false_suspicions.to_string(),
            self.from_unknown_senders.to_string(),
            self.cold_set_ups.to_string(),
            format!("{:.2}", self.cold_budget),
            self.cold_failed.to_string(),
            format!("{} of {}", self.calls.1, self.calls.0),
            self.central_servers.connections.to_string(),
            format!("{:.0}", self.central_servers.bytes_per_second),
            if failures.is_empty() { "-".to_owned() } else { failures.join(", ") },
        ]
    }
}

fn mean_max(figure: MeanMax) -> String {
    format!("{:.0} / {:.0}", figure.mean, figure.max)
}

fn known(known: &PropagationResult) -> String {
    match known {
        PropagationResult::NotMeasured => "-".to_owned(),
        PropagationResult::NoMechanism => "no mechanism".to_owned(),
        PropagationResult::Measured(delays) => {
            let at = |share| delays.percentile_ms(share).map_or("not seen".to_owned(), |ms| ms.to_string());
            let unknown = match delays.unknown {
                0 => String::new(),
                unknown => format!(" ({unknown} not while watched)"),
            };
            format!("{} / {} / {}{unknown}", at(0.5), at(0.99), at(1.0))
        }
    }
}

/// Checks that passed and that failed, over all rows.
pub fn verdict(rows: &[Row], included: impl Fn(Check) -> bool) -> (usize, usize) {
    let all = rows.iter().flat_map(checks).filter(|(check, _)| included(*check));
    all.fold((0, 0), |(passed, failed), (_, ok)| (passed + usize::from(ok), failed + usize::from(!ok)))
}

/// Writes `scale.csv`.
pub fn write_csv(rows: &[Row], file: &Path) -> Result<(), LabError> {
    let mut writer = csv::Writer::from_path(file).map_err(|e| LabError::file(file, e))?;
    writer.write_record(HEADER).map_err(|e| LabError::file(file, e))?;
    for row in rows {
        writer.write_record(row.cells()).map_err(|e| LabError::file(file, e))?;
    }
    writer.flush().map_err(|e| LabError::file(file, e))
}

/// The table in Markdown, under its title.
pub fn markdown(rows: &[Row], title: &str) -> String {
    let mut text = format!("{title}\n\n");
    let _ = writeln!(text, "| {} |", HEADER.join(" | "));
    let _ = writeln!(text, "|{}", " --- |".repeat(HEADER.len()));
    for row in rows {
        let _ = writeln!(text, "{}", row.line());
    }
    text
}
