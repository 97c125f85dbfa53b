//! The results of an experiment: a table by seconds (CSV), a summary (Markdown) and a chart (SVG).

use std::fmt::Write as _;
use std::path::Path;

use hdrhistogram::Histogram;
use plotters::prelude::*;
use serde::Serialize;

use crate::audit::{Counts, Rule};
use crate::under_test::{LabError, ResourceUsage};

/// The largest latency that the histograms distinguish, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// An empty histogram of latencies in microseconds.
pub fn latency_histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).unwrap_or_else(|_| unreachable!("the bounds are valid"))
}

/// A quantile of the latencies, in milliseconds.
pub fn quantile_ms(latency_histogram: &Histogram<u64>, share: f64) -> f64 {
    latency_histogram.value_at_quantile(share) as f64 / 1000.0
}

/// One second of an experiment.
#[derive(Debug, Clone, Default, PartialEq, Serialize)]
#[allow(missing_docs)] // the fields are the table's columns; times are milliseconds, memory is MiB
pub struct Second {
    pub second: u64,
    pub asked_json: u64,
    pub asked_iax2: u64,
    pub stood_json: u64,
    pub stood_iax2: u64,
    pub stood_in_aim: u64,
    pub refused: u64,
    pub given_up: u64,
    pub attempts: u64,
    pub p50_ms: f64,
    pub p99_ms: f64,
    pub standing: usize,
    pub pending: usize,
    pub cpu_share: f64,
    pub memory_mib: f64,
}

/// The results of one protocol's callers.
#[derive(Debug, Clone)]
pub struct ProtocolResults {
    /// `json` or `iax2`.
    pub name: &'static str,
    /// Set-ups requested.
    pub asked: u64,
    /// Calls established.
    pub stood: u64,
    /// Calls established within the set-up time target.
    pub in_aim: u64,
    /// The time from request to answer of the established calls.
    pub latency: Histogram<u64>,
}

impl ProtocolResults {
    /// Results without any call.
    pub fn new(name: &'static str) -> ProtocolResults {
        ProtocolResults { name, asked: 0, stood: 0, in_aim: 0, latency: latency_histogram() }
    }
}

/// The results of an experiment.
#[derive(Debug)]
pub struct Outcome {
    /// Its title.
    pub name: String,
    /// Its seed.
    pub seed: u64,
    /// The planned arrival rate per second.
    pub rate: f64,
    /// The capacity of the call servers, in calls per second.
    pub capacity: f64,
    /// The results by second.
    pub seconds: Vec<Second>,
    /// The results by the callers' protocol.
    pub sides: [ProtocolResults; 2],
    /// The checker's counts.
    pub counts: Counts,
    /// The number of forged NEWs sent beside the regular callers.
    pub forged: u64,
    /// The broken rules: the number of violations and the first case.
    pub violations: Vec<(Rule, u64, String)>,
    /// The resources that the process under test used in total.
    pub used: ResourceUsage,
    /// Whether the process under test stopped cleanly when told to.
    pub stopped_cleanly: bool,
    /// The counters that it reports, one line per instance.
    pub counter_lines: Vec<String>,
}

impl Outcome {
    /// Whether every rule was kept and the process stopped cleanly.
    pub fn passed(&self) -> bool {
        self.violations.is_empty() && self.stopped_cleanly
    }

    /// The summary, in Markdown.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        let _ = writeln!(
            text,
            "# {}\n\nSeed {}; {:.0} calls a second asked for by new callers, {:.0} a second is the planned capacity.\n",
            self.name, self.seed, self.rate, self.capacity
        );
        let _ = writeln!(text, "| callers | asked | stood | in aim | p50 ms | p99 ms | p99.9 ms |");
        let _ = writeln!(text, "| --- | ---: | ---: | ---: | ---: | ---: | ---: |");
        for side in &self.sides {
            let [p50, p99, p999] = [0.5, 0.99, 0.999].map(|share| quantile_ms(&side.latency, share));
            let ProtocolResults { name, asked, stood, in_aim, .. } = side;
            let _ =
                writeln!(text, "| {name} | {asked} | {stood} | {in_aim} | {p50:.1} | {p99:.1} | {p999:.1} |");
        }
        let Counts { asked, stood, refused, given_up, attempts, released } = self.counts;
        let _ = writeln!(
            text,
            "\nOf {asked} set-ups (redials with them) {stood} stood, {refused} were refused, {given_up} given up by \
             their callers; {attempts} attempts reached call servers, {released} releases reached callers.\n\nThe \
             controller used {:.2} s of a processor and held {:.1} MiB at the end.\n",
            self.used.cpu,
            self.used.memory as f64 / f64::from(1 << 20)
        );
        if self.forged > 0 {
            let memory = |at: f64| {
                let at = (self.seconds.len() as f64 * at) as usize;
                self.seconds.get(at).map_or(0.0, |second| second.memory_mib)
            };
            let (early, late) = (memory(0.25), memory(0.6));
            let _ = writeln!(
                text,
                "{} forged NEWs came beside; the controller held {early:.1} MiB after a quarter of the time, {late:.1} \
                 MiB after six tenths.\n",
                self.forged
            );
        }
        if self.violations.is_empty() {
            let _ = writeln!(text, "No rule was broken; every call had one final answer.");
        }
        for (rule, count, first) in &self.violations {
            let _ = writeln!(text, "- BROKEN {rule:?}: {count} times, first: {first}");
        }
        if !self.stopped_cleanly {
            let _ = writeln!(text, "- BROKEN: the controller did not end in order when told to");
        }
        for line in &self.counter_lines {
            let _ = writeln!(text, "\n    {line}");
        }
        text
    }

    /// Writes `seconds.csv`, `summary.md` and `chart.svg` to a directory.
    pub fn write(&self, out: &Path) -> Result<(), LabError> {
        std::fs::create_dir_all(out).map_err(|e| LabError::file(out, e))?;
        let file = out.join("seconds.csv");
        let mut table = csv::Writer::from_path(&file).map_err(|e| LabError::file(&file, e))?;
        for second in &self.seconds {
            table.serialize(second).map_err(|e| LabError::file(&file, e))?;
        }
        table.flush().map_err(|e| LabError::file(&file, e))?;
        let file = out.join("summary.md");
        std::fs::write(&file, self.summary()).map_err(|e| LabError::file(&file, e))?;
        let file = out.join("chart.svg");
        self.chart(&file).map_err(|why| LabError::file(&file, why))
    }

    fn chart(&self, file: &Path) -> Result<(), String> {
        let message = |e: &dyn std::fmt::Display| e.to_string();
        let root = SVGBackend::new(file, (900, 720)).into_drawing_area();
        root.fill(&WHITE).map_err(|e| message(&e))?;
        let (top, bottom) = root.split_vertically(400);
        type Line<'a> = (&'a str, RGBColor, fn(&Second) -> f64);
        let calls: [Line; 4] = [
            ("asked", BLACK, |s| (s.asked_json + s.asked_iax2) as f64),
            ("stood", GREEN, |s| (s.stood_json + s.stood_iax2) as f64),
            ("in aim", BLUE, |s| s.stood_in_aim as f64),
            ("refused", RED, |s| s.refused as f64),
        ];
        let times: [Line; 2] = [("p50", BLUE, |s| s.p50_ms), ("p99", RED, |s| s.p99_ms)];
        let end = self.seconds.last().map_or(1, |s| s.second + 1) as f64;
        for (area, title, lines) in
            [(top, "calls a second", &calls[..]), (bottom, "answer after, ms", &times[..])]
        {
            let values = self.seconds.iter().flat_map(|s| lines.iter().map(move |(_, _, value)| value(s)));
            let max = values.fold(1.0, f64::max) * 1.1;
            let mut chart = ChartBuilder::on(&area)
                .caption(format!("{}: {title}", self.name), ("sans-serif", 18))
                .margin(10)
                .x_label_area_size(30)
                .y_label_area_size(60)
                .build_cartesian_2d(0.0..end, 0.0..max)
                .map_err(|e| message(&e))?;
            chart.configure_mesh().x_desc("seconds").draw().map_err(|e| message(&e))?;
            for (name, colour, value) in lines.iter().copied() {
                let points = self.seconds.iter().map(|s| (s.second as f64 + 0.5, value(s)));
                chart
                    .draw_series(LineSeries::new(points, colour))
                    .map_err(|e| message(&e))?
                    .label(name)
                    .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], colour));
            }
            let mut labels = chart.configure_series_labels();
            labels.background_style(WHITE).border_style(BLACK).draw().map_err(|e| message(&e))?;
        }
        root.present().map_err(|e| message(&e))
    }
}
