//! Messages that are none, since an element of them has no end.

use std::net::SocketAddr;
use std::sync::LazyLock;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;

use super::framing::Element;

/// The labels of the counter of messages without end.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct ElementLabels {
    /// The element that had no end.
    pub element: &'static str,
}

/// Messages that were ended, by the element that had no end. Connections don't know whose they are, so this counts all of
/// the process.
static ENDED: LazyLock<Family<ElementLabels, Counter>> = LazyLock::new(Family::default);

/// The counter of messages that were ended, by the element that had no end.
pub fn ended_by_element() -> Family<ElementLabels, Counter> {
    ENDED.clone()
}

/// A message that is none, since an element has no end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
#[error("the {element} exceeds its limit: {bytes} bytes in {elapsed:?}")]
pub struct EndlessError {
    /// The element.
    pub element: Element,
    /// What was read of the element, in bytes.
    pub bytes: u64,
    /// The time since the message was due to begin.
    pub elapsed: Duration,
}

impl EndlessError {
    /// Logs and counts it.
    pub fn report(&self, peer: SocketAddr) {
        let element = self.element.name();
        ENDED.get_or_create(&ElementLabels { element }).inc();
        log_event!(
            gateway::ANSWER_WITHOUT_END,
            "peer={peer} element={element} bytes={} elapsed={:?}",
            self.bytes,
            self.elapsed
        );
    }
}
