//! Latencies in HDR histograms.

use std::time::Duration;

use anyhow::Context;
use hdrhistogram::Histogram;
use serde::Serialize;

const SIGNIFICANT_DIGITS: u8 = 3;
const LONGEST: Duration = Duration::from_secs(120);

/// A histogram of durations with a resolution of one microsecond and three digits.
#[derive(Debug, Clone)]
pub struct LatencyHistogram {
    histogram: Histogram<u64>,
}

/// The usual percentiles, in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Number of values.
    pub count: u64,
    /// Mean.
    pub mean_ms: f64,
    /// Median.
    pub p50_ms: f64,
    /// 95th percentile.
    pub p95_ms: f64,
    /// 99th percentile.
    pub p99_ms: f64,
    /// Largest value.
    pub max_ms: f64,
}

impl LatencyHistogram {
    /// The histogram of `durations`.
    ///
    /// # Errors
    /// The histogram can't be made.
    pub fn of(durations: impl Iterator<Item = Duration>) -> anyhow::Result<Self> {
        let longest = LONGEST.as_micros() as u64;
        let mut histogram = Histogram::new_with_bounds(1, longest, SIGNIFICANT_DIGITS)
            .context("make a histogram")?;
        for duration in durations {
            histogram.saturating_record(duration.as_micros() as u64);
        }
        Ok(Self { histogram })
    }

    /// The value below which `percentile` per cent of the values lie, in milliseconds.
    pub fn percentile_ms(&self, percentile: f64) -> f64 {
        self.histogram.value_at_percentile(percentile) as f64 / 1_000.0
    }

    /// The usual percentiles.
    pub fn summary(&self) -> LatencySummary {
        LatencySummary {
            count: self.histogram.len(),
            mean_ms: self.histogram.mean() / 1_000.0,
            p50_ms: self.percentile_ms(50.0),
            p95_ms: self.percentile_ms(95.0),
            p99_ms: self.percentile_ms(99.0),
            max_ms: self.histogram.max() as f64 / 1_000.0,
        }
    }

    /// Points of the curve of percentiles: percentile and milliseconds.
    pub fn curve(&self) -> Vec<(f64, f64)> {
        const PERCENTILES: [f64; 14] = [
            1.0, 5.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0, 70.0, 80.0, 90.0, 95.0, 99.0, 99.9,
        ];
        PERCENTILES
            .map(|percentile| (percentile, self.percentile_ms(percentile)))
            .to_vec()
    }
}
