//! State shared by the parts of a daemon.
//!
//! The request path only loads snapshots ([`ArcSwap`]) and atomics; writers build a new snapshot and
//! swap it in. Writers: `sync` for configuration, engines and members; `pipeline` for load counters.

mod engines;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::Instant;

use arc_swap::ArcSwap;
use driftspring_settings::Settings;
use driftspring_types::{ConfigView, Incarnation, MemberRecord};

pub use engines::{EngineEntry, EngineLoadCounters, EngineTable};

/// What all threads of one daemon share.
pub struct DaemonState {
    /// The checked settings; they do not change while the process lives.
    pub settings: Settings,
    /// This life of the daemon.
    pub incarnation: Incarnation,
    /// When this life began, on the monotonic clock.
    pub started_at: Instant,
    /// The replicated configuration.
    pub config: ArcSwap<ConfigView>,
    /// The engines known.
    pub engines: ArcSwap<EngineTable>,
    /// The daemons known, this one included.
    pub members: ArcSwap<Vec<MemberRecord>>,
    /// Requests open in this daemon.
    pub open_requests: AtomicUsize,
    /// Whether a planned stop has begun.
    stopping: AtomicBool,
    /// Whether a first configuration from any source is in force.
    ready: AtomicBool,
}

impl DaemonState {
    /// The state of a daemon that has just started.
    pub fn new(settings: Settings, incarnation: Incarnation) -> Arc<Self> {
        Arc::new(Self {
            settings,
            incarnation,
            started_at: Instant::now(),
            config: ArcSwap::from_pointee(ConfigView::default()),
            engines: ArcSwap::from_pointee(EngineTable::default()),
            members: ArcSwap::from_pointee(Vec::new()),
            open_requests: AtomicUsize::new(0),
            stopping: AtomicBool::new(false),
            ready: AtomicBool::new(false),
        })
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(Ordering::Acquire)
    }

    /// Begins a planned stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, Ordering::Release);
    }

    /// Whether a first configuration from any source is in force.
    pub fn is_ready(&self) -> bool {
        self.ready.load(Ordering::Acquire)
    }

    /// Notes that a configuration is in force.
    pub fn set_ready(&self) {
        self.ready.store(true, Ordering::Release);
    }
}
