//! Drawings of reports.

use std::path::Path;

use anyhow::anyhow;
use plotters::prelude::{
    ChartBuilder, Color, IntoDrawingArea, IntoSegmentedCoord, LineSeries, RGBColor, Rectangle,
    SVGBackend, SegmentValue, WHITE,
};

use super::Report;

const SIZE: (u32, u32) = (960, 480);
const MARGIN: u32 = 16;
const LABEL_SIZE: u32 = 48;
const FONT: (&str, u32) = ("sans-serif", 18);

const RETURNS: RGBColor = RGBColor(31, 119, 180);
const ALL: RGBColor = RGBColor(255, 127, 14);

/// Draws a run's p95 over time: of returns in blue, of all prompts in orange.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn plot_run(report: &Report, path: &Path) -> anyhow::Result<()> {
    draw_run(report, path).map_err(|error| anyhow!("the drawing can't be written: {error}"))
}

/// Draws the p95 of returns of several policies as bars.
///
/// # Errors
///
/// Fails when the file can't be written.
pub fn plot_policies(reports: &[Report], path: &Path) -> anyhow::Result<()> {
    draw_policies(reports, path).map_err(|error| anyhow!("the drawing can't be written: {error}"))
}

type DrawResult = Result<(), Box<dyn std::error::Error>>;

fn draw_run(report: &Report, path: &Path) -> DrawResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let windows = &report.windows;
    let greatest = windows
        .iter()
        .map(|window| window.all_p95_ms.max(window.returns_p95_ms));
    let greatest = greatest.fold(1.0, f64::max) * 1.1;
    let caption = format!(
        "{} {} {}: p95 of the first token, ms (blue: returns, orange: all)",
        report.site, report.policy, report.fault
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d(0.0..report.duration_s as f64, 0.0..greatest)?;
    chart.configure_mesh().x_desc("s").y_desc("ms").draw()?;
    let returns = windows
        .iter()
        .map(|window| (window.from_s, window.returns_p95_ms));
    chart.draw_series(LineSeries::new(returns, &RETURNS))?;
    let all = windows
        .iter()
        .map(|window| (window.from_s, window.all_p95_ms));
    chart.draw_series(LineSeries::new(all, &ALL))?;
    root.present()?;
    Ok(())
}

fn draw_policies(reports: &[Report], path: &Path) -> DrawResult {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let greatest = reports
        .iter()
        .map(|report| report.first_token_returns.p95_ms);
    let greatest = greatest.fold(1.0, f64::max) * 1.1;
    let names: Vec<String> = reports.iter().map(|report| report.policy.clone()).collect();
    let caption = format!(
        "{}: p95 of the first token of returns, ms",
        reports
            .first()
            .map_or(String::new(), |report| report.site.to_string())
    );
    let mut chart = ChartBuilder::on(&root)
        .caption(caption, FONT)
        .margin(MARGIN)
        .x_label_area_size(LABEL_SIZE)
        .y_label_area_size(LABEL_SIZE)
        .build_cartesian_2d((0..reports.len() - 1).into_segmented(), 0.0..greatest)?;
    let label = |segment: &SegmentValue<usize>| match segment {
        SegmentValue::CenterOf(number) => names.get(*number).cloned().unwrap_or_default(),
        _ => String::new(),
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_label_formatter(&label)
        .y_desc("ms")
        .draw()?;
    chart.draw_series(reports.iter().enumerate().map(|(number, report)| {
        let bottom = (SegmentValue::Exact(number), 0.0);
        let top = (
            SegmentValue::Exact(number + 1),
            report.first_token_returns.p95_ms,
        );
        let mut bar = Rectangle::new([bottom, top], RETURNS.filled());
        bar.set_margin(0, 0, MARGIN, MARGIN);
        bar
    }))?;
    root.present()?;
    Ok(())
}
