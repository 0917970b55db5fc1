//! Status of a gateway that its threads share, and the phases of a planned stop.

use std::sync::Mutex;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU32, Ordering};

use driftspring_settings::GatewaySettings;

use crate::metrics::GatewayMetrics;

/// Phase of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum StopPhase {
    /// No stop has begun.
    Serving,
    /// Callers are redirected; new requests are served.
    Redirecting,
    /// New requests are refused, and idle connections closed.
    RefusingRequests,
    /// The process is about to end: listeners and connections without a request are to be closed, and answers that were not
    /// taken are to be ended.
    Closing,
    /// This is done.
    Ended,
}

impl StopPhase {
    const ALL: [Self; 5] = [
        Self::Serving,
        Self::Redirecting,
        Self::RefusingRequests,
        Self::Closing,
        Self::Ended,
    ];
}

/// Status that the threads of a gateway share.
#[derive(Debug, Default)]
pub struct SharedStatus {
    /// Whether the configuration and the replicas are known and current.
    pub is_synced: AtomicBool,
    /// A [`StopPhase`].
    stop_phase: AtomicU8,
    /// Number of open requests.
    pub open_requests: AtomicU32,
    /// Number of connections with bytes that the operating system has not taken yet; counted during a planned stop.
    pub unsent_connections: AtomicU32,
    /// Number of connections that their callers have not closed after the last answer; counted during a planned stop.
    pub lingering_connections: AtomicU32,
    /// Metrics of this gateway.
    pub metrics: GatewayMetrics,
    /// Settings that were reloaded and are not in force yet.
    pub reloaded: Mutex<Option<GatewaySettings>>,
}

impl SharedStatus {
    /// Whether new connections should be sent to this gateway.
    pub fn is_ready(&self) -> bool {
        self.is_synced.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Phase of the planned stop.
    pub fn stop_phase(&self) -> StopPhase {
        let number = usize::from(self.stop_phase.load(Ordering::Acquire));
        StopPhase::ALL
            .get(number)
            .copied()
            .unwrap_or(StopPhase::Ended)
    }

    /// Sets the phase of the planned stop, unless a later one has been reached.
    pub fn raise_stop_phase(&self, phase: StopPhase) {
        self.stop_phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stop_phase() > StopPhase::Serving
    }

    /// Whether new requests are refused because a planned stop is nearly over.
    pub fn is_refusing_requests(&self) -> bool {
        self.stop_phase() >= StopPhase::RefusingRequests
    }
}
