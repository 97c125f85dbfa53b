//! The chart of a scale run: bytes per second, propagation time of a drain and processor use against the size of the fleet.

use std::path::Path;

use plotters::coord::Shift;
use plotters::prelude::*;

use super::report::{Mode, PropagationResult, Row};
use super::scenario::FAULTS;
use crate::under_test::LabError;

type Panel<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// Returns the plotted value of a row, if it has one.
type PlottedValue = fn(&Row) -> Option<f64>;

/// Draws `scale.svg`.
pub fn write_svg(rows: &[Row], file: &Path) -> Result<(), LabError> {
    draw(rows, file).map_err(|why| LabError::file(file, why))
}

fn draw(rows: &[Row], file: &Path) -> Result<(), String> {
    let root = SVGBackend::new(file, (900, 1_000)).into_drawing_area();
    root.fill(&WHITE).map_err(|e| e.to_string())?;
    let panels = root.split_evenly((3, 1));
    draw_panel(rows, &panels[0], "bytes/s in and out, most of a controller", |row| Some(row.bytes.max))?;
    draw_panel(rows, &panels[1], "a drain is known, p99, ms", drain_p99)?;
    draw_panel(rows, &panels[2], "share of a core, mean, %", |row| Some(row.core_share.mean * 100.0))?;
    root.present().map_err(|e| e.to_string())
}

fn drain_p99(row: &Row) -> Option<f64> {
    match &row.drain {
        PropagationResult::Measured(delays) => delays.percentile_ms(0.99).map(|ms| ms as f64),
        PropagationResult::NotMeasured | PropagationResult::NoMechanism => None,
    }
}

fn draw_panel(rows: &[Row], panel: &Panel<'_>, title: &str, value: PlottedValue) -> Result<(), String> {
    let simulated: Vec<&Row> = rows.iter().filter(|row| row.mode == Mode::Simulated).collect();
    let widest = simulated.iter().map(|row| f64::from(row.controllers)).fold(2.0, f64::max);
    let highest = simulated.iter().filter_map(|row| value(row)).fold(0.001, f64::max);
    let mut chart = ChartBuilder::on(panel)
        .caption(title, ("sans-serif", 16))
        .margin(10)
        .x_label_area_size(30)
        .y_label_area_size(60)
        .build_cartesian_2d(0.0..widest * 1.05, 0.0..highest * 1.1)
        .map_err(|e| e.to_string())?;
    chart.configure_mesh().x_desc("controllers").draw().map_err(|e| e.to_string())?;
    for (number, fault) in FAULTS.into_iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let of_fault = simulated.iter().filter(|row| row.fault == fault);
        let points = of_fault.filter_map(|row| Some((f64::from(row.controllers), value(row)?)));
        chart
            .draw_series(LineSeries::new(points, color.stroke_width(2)))
            .map_err(|e| e.to_string())?
            .label(fault.name())
            .legend(move |(x, y)| PathElement::new([(x, y), (x + 16, y)], color.stroke_width(2)));
    }
    let mut labels = chart.configure_series_labels();
    labels.background_style(WHITE.mix(0.8)).border_style(BLACK).draw().map_err(|e| e.to_string())
}
