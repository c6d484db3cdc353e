//! Several policies' reports of the same load, side by side.

use std::path::{Path, PathBuf};

use anyhow::{Context, ensure};

use super::{Report, plot_policies};

/// One line of the table: its name, and the number of a report that it shows.
type Row = (&'static str, fn(&Report) -> f64);

const ROWS: [Row; 13] = [
    ("first token p50, returns, ms", |r| {
        r.first_token_returns.p50_ms
    }),
    ("first token p95, returns, ms", |r| {
        r.first_token_returns.p95_ms
    }),
    ("first token p99, returns, ms", |r| {
        r.first_token_returns.p99_ms
    }),
    ("first token p95, all, ms", |r| r.first_token_all.p95_ms),
    ("p95 of returns over floor", |r| r.floor.p95_ratio),
    ("between tokens p95, ms", |r| r.token_gap.p95_ms),
    ("recomputed on returns", |r| r.recomputed.returns_share),
    ("recomputed in all", |r| r.recomputed.all_share),
    ("prefill used", |r| r.prefill_used_share),
    ("in time", |r| r.requests.in_time_share),
    ("in time, prompt tokens/s", |r| {
        r.requests.in_time_tokens_per_s
    }),
    ("refused", |r| r.requests.refused as f64),
    ("broken promises", |r| {
        let promises = &r.promises;
        let answers = promises.wrong + promises.cut_off + promises.invented;
        (answers + promises.doubled + promises.falsely_refused) as f64
    }),
];

/// Prints reports of one load side by side, and ratios to the first one.
///
/// # Errors
///
/// Fails when a report can't be read, when they are not of the same load, or when the drawing can't
/// be written.
pub fn sweep(paths: &[PathBuf], plot: Option<&Path>) -> anyhow::Result<()> {
    let reports: Vec<Report> = paths
        .iter()
        .map(|path| read(path))
        .collect::<Result<_, _>>()?;
    let first = reports.first().context("no report is named")?;
    let load = |report: &Report| (report.site, report.seed, report.duration_s, report.fault);
    ensure!(
        reports.iter().all(|report| load(report) == load(first)
            && report.load_share == first.load_share
            && report.capacity == first.capacity),
        "the reports are not of the same load"
    );
    println!(
        "{} fault {} seed {}: {:.0}% of {} capacity, {} s; in brackets the first policy's over this one's",
        first.site,
        first.fault,
        first.seed,
        first.load_share * 100.0,
        first.capacity,
        first.duration_s
    );
    print!("{:<30}", "");
    reports
        .iter()
        .for_each(|report| print!(" {:>22}", report.policy));
    println!();
    for (name, number) in ROWS {
        print!("{name:<30}");
        for report in &reports {
            let (base, value) = (number(first), number(report));
            let ratio = match value != 0.0 {
                true => format!("({:.3})", base / value),
                false => String::new(),
            };
            print!(" {value:>13.3} {ratio:>8}");
        }
        println!();
    }
    match plot {
        Some(plot) => plot_policies(&reports, plot),
        None => Ok(()),
    }
}

fn read(path: &Path) -> anyhow::Result<Report> {
    let text = std::fs::read_to_string(path)
        .with_context(|| format!("{} can't be read", path.display()))?;
    serde_json::from_str(&text).with_context(|| format!("{} is no report", path.display()))
}
