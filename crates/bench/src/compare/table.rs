//! The results as tables, one per workload and scenario.

use std::path::Path;

use super::ComparedRun;
use crate::report::{HtmlReport, Table};

const HEADERS: [&str; 10] = [
    "policy",
    "hits %",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "recomputed",
    "wasted %",
    "shed",
    "busy %",
    "busiest %",
];

/// Prints all tables.
pub fn print(runs: &[ComparedRun]) {
    for group in groups(runs) {
        println!("\n{}\n{}", title(&group[0]), table(group));
    }
}

/// Writes all tables as one page.
///
/// # Errors
/// The file can't be written.
pub fn write_html(runs: &[ComparedRun], path: &Path) -> anyhow::Result<()> {
    let mut report = HtmlReport::new("Routing policies compared");
    for group in groups(runs) {
        report.heading(&title(&group[0]));
        report.table(&table(group));
    }
    report.write(path)
}

/// The runs of each workload and scenario, which follow one another.
fn groups(runs: &[ComparedRun]) -> impl Iterator<Item = &[ComparedRun]> {
    runs.chunk_by(|one, other| (one.workload, one.scenario) == (other.workload, other.scenario))
}

fn title(run: &ComparedRun) -> String {
    format!(
        "{}, {}: {} requests, hit rate bound {:.1}%",
        run.workload,
        run.scenario.name(),
        run.result.requests,
        run.result.hit_rate_bound * 100.0,
    )
}

fn table(runs: &[ComparedRun]) -> Table {
    let mut table = Table::new(&HEADERS);
    for run in runs {
        table.row(cells(run));
    }
    table
}

fn cells(run: &ComparedRun) -> [String; HEADERS.len()] {
    let result = &run.result;
    let percent = |share: f64| format!("{:.1}", share * 100.0);
    let milliseconds = |time: f64| format!("{time:.1}");
    [
        run.policy.name.to_owned(),
        percent(result.hit_rate),
        milliseconds(result.first_token_p50_ms),
        milliseconds(result.first_token_p95_ms),
        milliseconds(result.first_token_p99_ms),
        format!("{:.3}", result.recomputed_per_needed),
        format!("{:.2}", result.wasted * 100.0),
        result.shed.to_string(),
        percent(result.prefill_utilisation),
        percent(result.busiest_utilisation),
    ]
}
