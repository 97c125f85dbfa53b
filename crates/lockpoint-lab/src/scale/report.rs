//! The table of a scale run: one row for each size and fault, as CSV and as Markdown.

use std::fmt::Write as _;
use std::path::Path;

use super::bounds::{checks, Check};
use super::scenario::Fault;
use super::spread::Delays;
use super::traffic::MeanMax;
use crate::under_test::LabError;

/// How a row was measured.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Mode {
    /// Hollow controllers in simulated time.
    Simulated,
    /// Real processes, with hollow controllers at the pace of real time.
    RealTime,
}

impl Mode {
    /// Its name in the table.
    pub fn name(self) -> &'static str {
        match self {
            Mode::Simulated => "simulated",
            Mode::RealTime => "real",
        }
    }
}

/// When a kind of news was known everywhere.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub enum Known {
    /// No such news in this row.
    #[default]
    NotAsked,
    /// Nothing spreads it.
    NoMechanism,
    /// After these delays.
    After(Delays),
}

/// The centre.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Centre {
    /// The most connections that one machine had.
    pub connections: u64,
    /// Bytes a second that the busiest machine wrote.
    pub bytes_a_second: f64,
    /// Entries that a machine held; `None`: there is no such machine.
    pub entries: Option<usize>,
}

/// One row.
#[derive(Debug, Clone, PartialEq)]
pub struct Row {
    /// How it was measured.
    pub mode: Mode,
    /// Controllers, those in simulated time or at its pace.
    pub controllers: u16,
    /// Real processes among them.
    pub real: u16,
    /// What went wrong.
    pub fault: Fault,
    /// Seconds measured.
    pub seconds: f64,
    /// Calls a second that came to all controllers together.
    pub call_rate: f64,
    /// Datagrams a second that a controller sent.
    pub datagrams_out: MeanMax,
    /// Datagrams a second that a controller received.
    pub datagrams_in: MeanMax,
    /// Bytes a second that a controller sent.
    pub bytes_out: MeanMax,
    /// Bytes a second that a controller received.
    pub bytes_in: MeanMax,
    /// Both together.
    pub bytes: MeanMax,
    /// Share of a core that control took at a controller.
    pub core_share: MeanMax,
    /// Processor time that a controller takes for a call, with all that belongs to it, in microseconds.
    pub call_micros: f64,
    /// Memory of a controller, in KiB; `None`: not measured in this row.
    pub memory_kib: Option<f64>,
    /// The most call servers of which a controller held something.
    pub entries: usize,
    /// Members that a control plane knew when the measurement began: the fewest, and the mean; sources are members too.
    pub members_known: Option<(usize, f64)>,
    /// A drain that one directory told.
    pub drain: Known,
    /// A death.
    pub death: Known,
    /// A change of configuration.
    pub change: Known,
    /// A replacement's new address.
    pub replacement: Known,
    /// Suspicions of controllers that were there, at least.
    pub false_suspicions: u64,
    /// Datagrams that were dropped as they came from an unknown address.
    pub from_strangers: u64,
    /// Set-ups that cold call servers were sent.
    pub cold_set_ups: u64,
    /// The most of N + 2 sqrt(N) + 2 that one was sent.
    pub cold_budget: f64,
    /// Cold call servers that fell over.
    pub cold_fell: u64,
    /// Calls that came, and those that stood.
    pub calls: (u64, u64),
    /// The centre.
    pub centre: Centre,
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

    /// Its line of the table in Markdown.
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
            self.from_strangers.to_string(),
            self.cold_set_ups.to_string(),
            format!("{:.2}", self.cold_budget),
            self.cold_fell.to_string(),
            format!("{} of {}", self.calls.1, self.calls.0),
            self.centre.connections.to_string(),
            format!("{:.0}", self.centre.bytes_a_second),
            if failures.is_empty() { "-".to_owned() } else { failures.join(", ") },
        ]
    }
}

fn mean_max(figure: MeanMax) -> String {
    format!("{:.0} / {:.0}", figure.mean, figure.max)
}

fn known(known: &Known) -> String {
    match known {
        Known::NotAsked => "-".to_owned(),
        Known::NoMechanism => "no mechanism".to_owned(),
        Known::After(delays) => {
            let at = |share| delays.at_share(share).map_or("not seen".to_owned(), |ms| ms.to_string());
            let unknown = match delays.unknown {
                0 => String::new(),
                unknown => format!(" ({unknown} not while watched)"),
            };
            format!("{} / {} / {}{unknown}", at(0.5), at(0.99), at(1.0))
        }
    }
}

/// Checks that passed and that failed, over all rows.
pub fn verdict(rows: &[Row], counted: impl Fn(Check) -> bool) -> (usize, usize) {
    let all = rows.iter().flat_map(checks).filter(|(check, _)| counted(*check));
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

/// The table in Markdown, with how it is to be read.
pub fn markdown(rows: &[Row], title: &str) -> String {
    let mut text = format!("{title}\n\n");
    let _ = writeln!(text, "| {} |", HEADER.join(" | "));
    let _ = writeln!(text, "|{}", " --- |".repeat(HEADER.len()));
    for row in rows {
        let _ = writeln!(text, "{}", row.line());
    }
    text
}
