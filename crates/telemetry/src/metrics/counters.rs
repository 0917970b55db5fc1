//! Counters and gauges with one label, as an array of atomics.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use prometheus_client::encoding::{EncodeMetric, MetricEncoder, NoLabelSet};
use prometheus_client::metrics::MetricType;
use prometheus_client::metrics::exemplar::Exemplar;

use super::labels::MetricLabel;

/// How stored numbers are shown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Presentation {
    /// A counter of events or bytes.
    Counter,
    /// A counter of nanoseconds, shown in seconds.
    SecondsCounter,
    /// A gauge.
    Gauge,
}

/// One number per value of the label `L`. Clones share the numbers.
#[derive(Clone)]
pub struct LabelledCounters<L> {
    slots: Arc<[AtomicU64]>,
    presentation: Presentation,
    label: PhantomData<L>,
}

impl<L: MetricLabel> Default for LabelledCounters<L> {
    fn default() -> Self {
        Self::counters()
    }
}

impl<L: MetricLabel> LabelledCounters<L> {
    /// Counters that are all zero.
    pub fn counters() -> Self {
        Self::new(Presentation::Counter)
    }

    /// Gauges that are all zero.
    pub fn gauges() -> Self {
        Self::new(Presentation::Gauge)
    }

    /// Counters of nanoseconds that are all zero; the page shows seconds.
    pub fn nanosecond_counters() -> Self {
        Self::new(Presentation::SecondsCounter)
    }

    fn new(presentation: Presentation) -> Self {
        let slots = L::ALL.iter().map(|_| AtomicU64::new(0)).collect();
        Self {
            slots,
            presentation,
            label: PhantomData,
        }
    }

    /// Adds one to the number of `label`.
    pub fn increment(&self, label: L) {
        self.add(label, 1);
    }

    /// Adds `amount` to the number of `label`.
    pub fn add(&self, label: L, amount: u64) {
        self.slots[label.index()].fetch_add(amount, Ordering::Relaxed);
    }

    /// Sets the number of `label`.
    pub fn set(&self, label: L, value: u64) {
        self.slots[label.index()].store(value, Ordering::Relaxed);
    }

    /// The number of `label`.
    pub fn get(&self, label: L) -> u64 {
        self.slots[label.index()].load(Ordering::Relaxed)
    }

    /// The sum over all labels.
    pub fn total(&self) -> u64 {
        L::ALL.iter().map(|label| self.get(*label)).sum()
    }
}

impl<L: MetricLabel> fmt::Debug for LabelledCounters<L> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let numbers = L::ALL.iter().map(|label| (label.text(), self.get(*label)));
        formatter.debug_map().entries(numbers).finish()
    }
}

impl<L: MetricLabel> EncodeMetric for LabelledCounters<L> {
    fn encode(&self, mut encoder: MetricEncoder) -> Result<(), fmt::Error> {
        for label in L::ALL {
            let labels = [(L::NAME, label.text())];
            let mut slot = encoder.encode_family(&labels)?;
            let value = self.get(*label);
            let no_exemplar: Option<&Exemplar<NoLabelSet, u64>> = None;
            match self.presentation {
                Presentation::Counter => slot.encode_counter(&value, no_exemplar)?,
                Presentation::SecondsCounter => {
                    let seconds = std::time::Duration::from_nanos(value).as_secs_f64();
                    slot.encode_counter(&seconds, no_exemplar)?;
                }
                Presentation::Gauge => {
                    let value = i64::try_from(value).unwrap_or(i64::MAX);
                    slot.encode_gauge(&value)?;
                }
            }
        }
        Ok(())
    }

    fn metric_type(&self) -> MetricType {
        match self.presentation {
            Presentation::Counter | Presentation::SecondsCounter => MetricType::Counter,
            Presentation::Gauge => MetricType::Gauge,
        }
    }
}
