//! Tables, histograms, plots and pages.

use std::time::Duration;

use driftspring_bench::report::{HtmlReport, LatencyHistogram, LinePlot, LineSeries, Table};
use quickcheck::quickcheck;

#[test]
fn a_table_lines_up_its_columns() {
    let mut table = Table::new(&["name", "count"]);
    table.row(["a".to_owned(), "100".to_owned()]);
    table.row(["longer".to_owned()]);
    assert_eq!(
        table.to_string(),
        "name    count\na         100\nlonger       \n"
    );
}

#[test]
fn a_page_escapes_text_and_embeds_its_plots() {
    let mut page = HtmlReport::new("a < b");
    let mut table = Table::new(&["<script>"]);
    table.row(["&".to_owned()]);
    page.table(&table);
    let plot = LinePlot {
        title: "title".to_owned(),
        x_label: "x".to_owned(),
        y_label: "y".to_owned(),
        lines: vec![LineSeries {
            name: "line".to_owned(),
            points: vec![(0.0, 1.0), (1.0, 2.0)],
        }],
    };
    page.plot(&plot).unwrap();
    let page = page.page();
    assert!(page.contains("<title>a &lt; b</title>"));
    assert!(page.contains("&lt;script&gt;") && !page.contains("<script>"));
    assert!(page.contains("<svg") && page.contains("polyline"));
    assert!(!page.contains("href"));
}

#[test]
fn a_plot_without_points_can_be_drawn() {
    let plot = LinePlot {
        title: String::new(),
        x_label: String::new(),
        y_label: String::new(),
        lines: vec![LineSeries {
            name: String::new(),
            points: Vec::new(),
        }],
    };
    assert!(plot.svg().is_ok());
}

quickcheck! {
    fn percentiles_rise_and_stay_within_the_values(values: Vec<u32>) -> bool {
        let durations = values.iter().map(|value| Duration::from_micros(u64::from(*value % 1_000_000)));
        let summary = LatencyHistogram::of(durations).unwrap().summary();
        let largest = values.iter().map(|value| value % 1_000_000).max().unwrap_or(0);
        let limit = f64::from(largest) * 1.002 / 1_000.0 + 0.002;
        summary.count == values.len() as u64
            && summary.p50_ms <= summary.p95_ms
            && summary.p95_ms <= summary.p99_ms
            && summary.p99_ms <= summary.max_ms
            && summary.max_ms <= limit
    }
}
