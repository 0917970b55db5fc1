//! A histogram of durations without a lock.
//!
//! `prometheus-client` has a histogram too, but it takes a lock for each observation.

use std::fmt;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;

/// Upper bounds of the buckets, in microseconds; a last bucket takes everything above.
const UPPER_BOUNDS_MICROSECONDS: [u64; 16] = [
    500, 1_000, 2_000, 5_000, 10_000, 20_000, 35_000, 50_000, 75_000, 100_000, 200_000, 500_000,
    1_000_000, 2_000_000, 5_000_000, 10_000_000,
];

/// The number of buckets, the last one included.
const BUCKETS: usize = UPPER_BOUNDS_MICROSECONDS.len() + 1;

#[derive(Debug, Default)]
struct Shared {
    buckets: [AtomicU64; BUCKETS],
    sum_microseconds: AtomicU64,
}

/// A histogram of durations. Clones share the numbers.
#[derive(Debug, Clone, Default)]
pub struct DurationHistogram {
    shared: Arc<Shared>,
}

impl DurationHistogram {
    /// Counts one duration.
    pub fn observe(&self, duration: Duration) {
        let microseconds = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        let bucket = UPPER_BOUNDS_MICROSECONDS.partition_point(|bound| *bound < microseconds);
        self.shared.buckets[bucket].fetch_add(1, Ordering::Relaxed);
        self.shared
            .sum_microseconds
            .fetch_add(microseconds, Ordering::Relaxed);
    }

    /// How many durations were counted.
    pub fn count(&self) -> u64 {
        let load = |bucket: &AtomicU64| bucket.load(Ordering::Relaxed);
        self.shared.buckets.iter().map(load).sum()
    }
}

impl EncodeMetric for DurationHistogram {
    fn encode(&self, mut encoder: MetricEncoder) -> Result<(), fmt::Error> {
        let bounds = UPPER_BOUNDS_MICROSECONDS
            .iter()
            .map(|bound| Duration::from_micros(*bound).as_secs_f64())
            .chain([f64::MAX]);
        let counts = self.shared.buckets.iter();
        let buckets: Vec<(f64, u64)> = bounds
            .zip(counts.map(|count| count.load(Ordering::Relaxed)))
            .collect();
        let total = buckets.iter().map(|(_, count)| count).sum();
        let sum = self.shared.sum_microseconds.load(Ordering::Relaxed);
        let seconds = Duration::from_micros(sum).as_secs_f64();
        encoder.encode_histogram::<NoLabelSet>(seconds, total, &buckets, None)
    }

    fn metric_type(&self) -> MetricType {
        MetricType::Histogram
    }
}
