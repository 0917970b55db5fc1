//! The results of a run: text, JSON and HTML.

use std::path::Path;

use anyhow::Context;
use serde::Serialize;

use super::RunPlan;
use crate::caller::CallRecord;
use crate::report::{
    HtmlReport, LatencyHistogram, LatencySummary, LinePlot, LineSeries, LoadSummary, Table,
    first_token_over_time,
};

#[derive(Serialize)]
struct JsonResult<'a> {
    workload: &'a str,
    seed: u64,
    seconds: f64,
    embedded: bool,
    summary: &'a LoadSummary,
}

/// Prints the figures.
pub(super) fn print(summary: &LoadSummary) {
    println!("\n{}", totals_table(summary));
    println!("{}", latency_table(summary));
    println!("{}", engine_table(summary));
}

/// Writes the figures as JSON.
pub(super) fn write_json(path: &Path, plan: &RunPlan, summary: &LoadSummary) -> anyhow::Result<()> {
    let result = JsonResult {
        workload: plan.workload.name,
        seed: plan.seed,
        seconds: plan.length.as_secs_f64(),
        embedded: plan.daemons.is_empty(),
        summary,
    };
    let json = serde_json::to_string_pretty(&result)?;
    std::fs::write(path, json).with_context(|| format!("write {}", path.display()))
}

/// Writes the figures and plots as one page.
pub(super) fn write_html(
    path: &Path,
    plan: &RunPlan,
    summary: &LoadSummary,
    records: &[CallRecord],
) -> anyhow::Result<()> {
    let mut page = HtmlReport::new(&format!("driftspring-bench run: {}", plan.workload.name));
    page.paragraph(&format!(
        "{} requests in {:.0} s, seed {}; latencies count from the intended sending. \
         Loopback: the distance between zones is not simulated.",
        summary.requests,
        plan.length.as_secs_f64(),
        plan.seed
    ));
    page.table(&totals_table(summary));
    page.heading("Latencies");
    page.table(&latency_table(summary));
    page.plot(&percentile_plot(records)?)?;
    page.plot(&time_plot(records)?)?;
    page.heading("Engines");
    page.table(&engine_table(summary));
    page.write(path)
}

fn totals_table(summary: &LoadSummary) -> Table {
    let mut table = Table::new(&["what", "count"]);
    let mut row = |name: &str, value: String| table.row([name.to_owned(), value]);
    row("requests", summary.requests.to_string());
    row("whole streams", summary.whole.to_string());
    let hit_rate = summary.prefix_hit_rate * 100.0;
    row("prefix hit rate", format!("{hit_rate:.1}%"));
    let computed = summary.computed_prompt_tokens;
    row("prompt tokens computed", computed.to_string());
    for (reason, count) in &summary.refused {
        row(&format!("refused: {reason}"), count.to_string());
    }
    for (reason, count) in &summary.broken {
        row(&format!("broken: {reason}"), count.to_string());
    }
    table
}

fn latency_table(summary: &LoadSummary) -> Table {
    let mut table = Table::new(&["ms", "p50", "p95", "p99", "max", "count"]);
    let mut row = |name: &str, latency: &LatencySummary| {
        table.row([
            name.to_owned(),
            format!("{:.2}", latency.p50_ms),
            format!("{:.2}", latency.p95_ms),
            format!("{:.2}", latency.p99_ms),
            format!("{:.2}", latency.max_ms),
            latency.count.to_string(),
        ]);
    };
    row("time to first token", &summary.time_to_first_token);
    row("between tokens", &summary.between_tokens);
    table
}

fn engine_table(summary: &LoadSummary) -> Table {
    let mut table = Table::new(&["engine", "requests", "prompt tokens", "cached", "hit rate"]);
    for (engine, share) in &summary.engines {
        let hit_rate = share.cached_tokens as f64 / share.prompt_tokens.max(1) as f64;
        table.row([
            engine.clone(),
            share.requests.to_string(),
            share.prompt_tokens.to_string(),
            share.cached_tokens.to_string(),
            format!("{:.1}%", hit_rate * 100.0),
        ]);
    }
    table
}

fn percentile_plot(records: &[CallRecord]) -> anyhow::Result<LinePlot> {
    let first_tokens = records.iter().filter_map(|record| record.first_token);
    let curve = LatencyHistogram::of(first_tokens)?.curve();
    Ok(LinePlot {
        title: "Time to first token by percentile".to_owned(),
        x_label: "percentile".to_owned(),
        y_label: "ms".to_owned(),
        lines: vec![LineSeries {
            name: "time to first token".to_owned(),
            points: curve,
        }],
    })
}

fn time_plot(records: &[CallRecord]) -> anyhow::Result<LinePlot> {
    let seconds = first_token_over_time(records)?;
    let line = |name: &str, points: Vec<(f64, f64)>| LineSeries {
        name: name.to_owned(),
        points,
    };
    let median = seconds
        .iter()
        .map(|second| (second.at_seconds, second.p50_ms));
    let tail = seconds
        .iter()
        .map(|second| (second.at_seconds, second.p95_ms));
    Ok(LinePlot {
        title: "Time to first token over the run".to_owned(),
        x_label: "s".to_owned(),
        y_label: "ms".to_owned(),
        lines: vec![line("p50", median.collect()), line("p95", tail.collect())],
    })
}
