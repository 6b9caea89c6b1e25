//! SVG plots of summaries.

use crate::terminal::{CommandError, CommandResult};
use plotters::prelude::*;
use puffinladder_trace::summary::Summary;
use std::path::Path;

/// Plots the value asked for, the value settled within the SLA time and the rate of declined txns, by interval (us).
pub fn value_by_interval(path: &Path, title: &str, summary: &Summary, interval: i64) -> CommandResult {
    let failed = |message: String| CommandError::Failed(format!("{}: {message}", path.display()));
    let seconds = interval as f64 / 1e6;
    let start_of = |name: &str| name.trim().trim_end_matches('s').parse::<f64>().unwrap_or(0.0);
    let mut rows: Vec<(f64, f64, f64, f64)> = summary
        .groups
        .iter()
        .map(|(name, sums)| {
            let declined = sums.declined as f64 / seconds;
            (start_of(name), sums.requested_value / seconds, sums.value_in_sla / seconds, declined)
        })
        .collect();
    rows.sort_by(|a, b| a.0.total_cmp(&b.0));
    let end = rows.last().map_or(1.0, |row| row.0 + seconds);
    let max = rows.iter().map(|row| row.1.max(row.3)).fold(1.0, f64::max) * 1.3;
    let mut svg = String::new();
    {
        let area = SVGBackend::with_string(&mut svg, (1000, 420)).into_drawing_area();
        let draw = || -> Result<(), Box<dyn std::error::Error>> {
            area.fill(&WHITE)?;
            let mut chart = ChartBuilder::on(&area)
                .caption(title, ("sans-serif", 18))
                .margin(12)
                .x_label_area_size(36)
                .y_label_area_size(56)
                .build_cartesian_2d(0.0..end, 0.0..max)?;
            chart
                .configure_mesh()
                .x_desc("s since the trace began")
                .y_desc("a second")
                .light_line_style(WHITE)
                .draw()?;
            // A step function: each value spans its whole interval.
            let steps = |pick: fn(&(f64, f64, f64, f64)) -> f64| -> Vec<(f64, f64)> {
                rows.iter().flat_map(|row| [(row.0, pick(row)), (row.0 + seconds, pick(row))]).collect()
            };
            let asked = RGBColor(200, 205, 212);
            let kept = RGBColor(38, 120, 178);
            let declined = RGBColor(200, 60, 40);
            chart
                .draw_series(AreaSeries::new(steps(|r| r.1), 0.0, asked.mix(0.9)))?
                .label("value asked for")
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], asked.filled()));
            chart
                .draw_series(AreaSeries::new(steps(|r| r.2), 0.0, kept.mix(0.7)))?
                .label("value settled within its SLA time")
                .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 14, y + 5)], kept.filled()));
            chart
                .draw_series(LineSeries::new(steps(|r| r.3), declined.stroke_width(2)))?
                .label("txns declined")
                .legend(move |(x, y)| PathElement::new([(x, y), (x + 14, y)], declined.stroke_width(2)));
            chart
                .configure_series_labels()
                .position(SeriesLabelPosition::UpperRight)
                .background_style(WHITE.mix(0.8))
                .border_style(BLACK.mix(0.3))
                .draw()?;
            area.present()?;
            Ok(())
        };
        draw().map_err(|e| failed(e.to_string()))?;
    }
    std::fs::write(path, svg).map_err(|e| failed(e.to_string()))
}
