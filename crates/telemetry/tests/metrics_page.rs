//! docs/OPERATIONS.md and the metrics page name the same metrics.

use std::collections::BTreeSet;

use driftspring_telemetry::Metrics;

const PAGE: &str = include_str!("../../../docs/OPERATIONS.md");

/// The names of the metrics in the rows of the page, without the suffix of counters.
fn documented() -> BTreeSet<String> {
    PAGE.lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter_map(|row| row.split(" | ").next())
        .flat_map(|cell| cell.split(", "))
        .filter_map(|name| name.strip_prefix('`')?.strip_suffix('`'))
        .filter(|name| name.starts_with("driftspring_"))
        .map(|name| name.trim_end_matches("_total").to_owned())
        .collect()
}

fn rendered() -> BTreeSet<String> {
    Metrics::new()
        .render()
        .lines()
        .filter_map(|line| line.strip_prefix("# TYPE "))
        .filter_map(|rest| rest.split(' ').next())
        .map(str::to_owned)
        .collect()
}

#[test]
fn each_metric_is_documented_and_exists() {
    assert_eq!(documented(), rendered());
}
