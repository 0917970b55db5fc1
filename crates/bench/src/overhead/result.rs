//! The result as text and JSON.

use std::path::Path;

use anyhow::Context;
use serde::Serialize;

use super::closed_loop::Throughput;
use super::memory::MemoryUse;
use super::side_by_side::{SideBySide, WayLatency};
use crate::report::{LatencySummary, Table};

/// Everything measured.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub(super) struct OverheadResult {
    pub(super) seed: u64,
    pub(super) seconds: u64,
    pub(super) requests: Throughput,
    pub(super) tokens: Throughput,
    pub(super) saturation: Throughput,
    pub(super) latency: SideBySide,
    pub(super) memory: MemoryUse,
}

impl OverheadResult {
    /// Prints the tables.
    pub(super) fn print(&self) {
        println!(
            "\nRouter with one worker thread:\n{}",
            self.throughput_table()
        );
        println!(
            "Both ways at {:.0} requests/s each, in ms:\n{}",
            self.latency.requests_per_second,
            self.latency_table()
        );
        println!(
            "Memory: {:.1} KiB per open stream with a prompt of {} bytes ({} streams)",
            self.memory.bytes_per_stream / 1024.0,
            self.memory.prompt_bytes,
            self.memory.streams
        );
    }

    /// Writes everything as JSON.
    pub(super) fn write_json(&self, path: &Path) -> anyhow::Result<()> {
        let json = serde_json::to_string_pretty(self)?;
        std::fs::write(path, json).with_context(|| format!("write {}", path.display()))
    }

    fn throughput_table(&self) -> Table {
        let mut table = Table::new(&[
            "prompt bytes / tokens",
            "requests/s",
            "tokens/s",
            "busy cores",
            "requests/core",
            "tokens/core",
            "failed",
        ]);
        for part in [&self.requests, &self.tokens, &self.saturation] {
            table.row([
                format!("{} / {}", part.shape.prompt_bytes, part.shape.max_tokens),
                format!("{:.0}", part.requests_per_second),
                format!("{:.0}", part.tokens_per_second),
                format!("{:.2}", part.busy_cores),
                format!("{:.0}", part.requests_per_core),
                format!("{:.0}", part.tokens_per_core),
                part.failed.to_string(),
            ]);
        }
        table
    }

    fn latency_table(&self) -> Table {
        let mut table = Table::new(&["", "p50", "p95", "p99", "max", "whole", "failed"]);
        let ways = [
            ("direct", &self.latency.direct),
            ("routed", &self.latency.routed),
        ];
        for (name, way) in ways {
            let first = &way.time_to_first_token;
            table.row(latency_row(&format!("{name}, first token"), first, way));
            let between = &way.between_tokens;
            table.row(latency_row(
                &format!("{name}, between tokens"),
                between,
                way,
            ));
        }
        let added = |select: fn(&WayLatency) -> LatencySummary| {
            let direct = select(&self.latency.direct);
            let routed = select(&self.latency.routed);
            [
                format!("{:.3}", routed.p50_ms - direct.p50_ms),
                format!("{:.3}", routed.p95_ms - direct.p95_ms),
                format!("{:.3}", routed.p99_ms - direct.p99_ms),
            ]
        };
        let named = |name: &str, cells: [String; 3]| {
            std::iter::once(name.to_owned())
                .chain(cells)
                .collect::<Vec<_>>()
        };
        table.row(named(
            "added, first token",
            added(|way| way.time_to_first_token),
        ));
        table.row(named(
            "added, between tokens",
            added(|way| way.between_tokens),
        ));
        table
    }
}

fn latency_row(name: &str, latency: &LatencySummary, way: &WayLatency) -> [String; 7] {
    [
        name.to_owned(),
        format!("{:.3}", latency.p50_ms),
        format!("{:.3}", latency.p95_ms),
        format!("{:.3}", latency.p99_ms),
        format!("{:.3}", latency.max_ms),
        way.whole.to_string(),
        way.failed.to_string(),
    ]
}
