//! Metrics of the ends of callers' connections.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// How a lingering connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LingerEnd {
    /// The caller closed its side.
    ClosedByCaller,
    /// The caller reset the connection.
    Reset,
    /// The caller sent nothing for too long.
    SilenceLimit,
    /// The caller was still sending after the longest time.
    TimeLimit,
    /// The caller sent too much.
    ByteLimit,
    /// Too many others lingered.
    CountLimit,
}

impl LingerEnd {
    const ALL: [Self; 6] = [
        Self::ClosedByCaller,
        Self::Reset,
        Self::SilenceLimit,
        Self::TimeLimit,
        Self::ByteLimit,
        Self::CountLimit,
    ];

    /// Name in metrics and logs.
    pub fn name(self) -> &'static str {
        match self {
            Self::ClosedByCaller => "closed",
            Self::Reset => "reset",
            Self::SilenceLimit => "silence",
            Self::TimeLimit => "time",
            Self::ByteLimit => "bytes",
            Self::CountLimit => "count",
        }
    }

    /// Whether a limit ended it, so that bytes which the caller sends later reset the connection.
    pub fn is_limit(self) -> bool {
        match self {
            Self::ClosedByCaller | Self::Reset => false,
            Self::SilenceLimit | Self::TimeLimit | Self::ByteLimit | Self::CountLimit => true,
        }
    }
}

/// Label of the counter of ends.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct LingerLabels {
    /// The name of a [`LingerEnd`].
    pub end: &'static str,
}

/// Metrics of lingering connections.
#[derive(Debug, Clone, Default)]
pub struct LingerMetrics {
    /// Connections that linger now.
    pub open: Gauge,
    /// Connections that have lingered, by how they ended.
    pub ended: Family<LingerLabels, Counter>,
    /// Bytes that were discarded.
    pub discarded_bytes: Counter,
}

impl LingerMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "callers_lingering",
            "Connections of callers that are closed for sending and read until their callers close them",
            self.open.clone(),
        );
        registry.register(
            "callers_lingered",
            "Connections of callers that have lingered, by how they ended; silence, time, bytes and count are limits",
            self.ended.clone(),
        );
        registry.register(
            "callers_discarded_bytes",
            "Bytes of callers that were discarded because their request was answered already",
            self.discarded_bytes.clone(),
        );
    }

    /// Shows every kind of end from the start.
    pub fn show_all_ends(&self) {
        for end in LingerEnd::ALL {
            let end = end.name();
            drop(self.ended.get_or_create(&LingerLabels { end }));
        }
    }

    /// Counts the end of a lingering connection of which `discarded` bytes were discarded.
    pub fn note_end(&self, end: LingerEnd, discarded: u64) {
        let end = LingerLabels { end: end.name() };
        self.ended.get_or_create(&end).inc();
        self.discarded_bytes.inc_by(discarded);
    }
}
