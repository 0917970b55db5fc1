//! State shared by the parts of a daemon.
//!
//! The request path only loads snapshots ([`ArcSwap`]) and atomics; writers build a new snapshot and
//! swap it in. Writers: `sync` for configuration, engines and members; `pipeline` for load counters.

mod engines;
mod gossip;
mod prefix_samples;
mod recent;
mod replica;
mod routing;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;
use driftspring_claims::{ClaimHolder, HolderRules};
use driftspring_history::Recorder;
use driftspring_limits::{Admission, RetryBudget};
use driftspring_settings::{ClaimSettings, Settings};
use driftspring_telemetry::Metrics;
use driftspring_types::{ConfigView, Incarnation, MemberRecord};

pub use engines::{EngineEntry, EngineLoadCounters, EngineTable, OwnLoad};
pub use gossip::{GossipCommand, GossipMailbox};
pub use prefix_samples::PrefixSamples;
pub use recent::{RecentAnswer, RecentAnswers};
pub use replica::{PullSource, SharedReplica};
pub use routing::RoutingState;

/// How far a process is on its way to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[repr(u8)]
pub enum Phase {
    /// It serves.
    Running,
    /// It finishes open requests and refuses new ones.
    Stopping,
    /// Its threads return at once.
    Terminated,
}

/// The addresses that a daemon listens on, after port 0 has been replaced by the port taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct BoundAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For other daemons, UDP and TCP.
    pub peers: SocketAddr,
}

/// What all threads of one daemon share.
pub struct DaemonState {
    /// The checked settings; they do not change while the process lives.
    pub settings: Settings,
    /// This life of the daemon.
    pub incarnation: Incarnation,
    /// The addresses that this life listens on.
    pub addresses: BoundAddresses,
    /// When this life began, on the monotonic clock.
    pub started_at: Instant,
    /// What feeds `config`; never touched by the request path.
    pub replica: SharedReplica,
    /// The replicated configuration.
    pub config: ArcSwap<ConfigView>,
    /// Samples of answered prefixes, for the warming of engines.
    pub prefix_samples: PrefixSamples,
    /// Whether the view of the members is more than that of a daemon that has just started.
    membership_settled: AtomicBool,
    /// The way to the gossip thread.
    pub gossip: GossipMailbox,
    /// The engines known.
    pub engines: ArcSwap<EngineTable>,
    /// What the engine choice knows.
    pub routing: RoutingState,
    /// The daemons known, this one included.
    pub members: ArcSwap<Vec<MemberRecord>>,
    /// Records dispatches and configuration in force in test and bench runs; else drops them.
    pub recorder: Recorder,
    /// What `/metrics` shows; counted by every part.
    pub metrics: Metrics,
    /// The newest answers, for operators.
    pub recent_answers: RecentAnswers,
    /// Requests open in this daemon.
    pub open_requests: AtomicUsize,
    /// Whether requests are taken in.
    pub admission: Admission,
    /// The budget of extra attempts.
    pub retry_budget: RetryBudget,
    /// The claims that this daemon holds for the others and itself.
    pub claims: ClaimHolder,
    /// How far the process is on its way to its end; see [`Phase`].
    phase: AtomicU8,
    /// Whether a first configuration from any source is in force.
    ready: AtomicBool,
}

impl DaemonState {
    /// The state of a daemon that has just started.
    pub fn new(
        settings: Settings,
        incarnation: Incarnation,
        addresses: BoundAddresses,
        recorder: Recorder,
    ) -> Arc<Self> {
        let replica = SharedReplica::new(&settings, incarnation);
        let prefix_samples = PrefixSamples::new(&settings);
        let max_open = u32::try_from(settings.request.max_open).unwrap_or(u32::MAX);
        let admission = Admission::new(max_open);
        let retry_budget = RetryBudget::new(settings.request.retry_budget_percent);
        let rules = holder_rules(&settings.claims);
        let claims = ClaimHolder::new(settings.id.clone(), incarnation, rules);
        let routing = RoutingState::new(&settings.routing, &settings.zone);
        Arc::new(Self {
            routing,
            replica,
            prefix_samples,
            settings,
            incarnation,
            addresses,
            started_at: Instant::now(),
            config: ArcSwap::from_pointee(ConfigView::default()),
            membership_settled: AtomicBool::new(false),
            gossip: GossipMailbox::default(),
            engines: ArcSwap::from_pointee(EngineTable::default()),
            members: ArcSwap::from_pointee(Vec::new()),
            recorder,
            metrics: Metrics::new(),
            recent_answers: RecentAnswers::default(),
            open_requests: AtomicUsize::new(0),
            admission,
            retry_budget,
            claims,
            phase: AtomicU8::new(Phase::Running as u8),
            ready: AtomicBool::new(false),
        })
    }

    /// The time since this life began, in milliseconds.
    pub fn uptime_ms(&self) -> u64 {
        u64::try_from(self.started_at.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    /// The time since this life began.
    pub fn uptime(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Whether a planned stop has begun, or the process is over.
    pub fn is_stopping(&self) -> bool {
        self.phase.load(Ordering::Acquire) >= Phase::Stopping as u8
    }

    /// Whether every thread should return at once.
    pub fn is_terminated(&self) -> bool {
        self.phase.load(Ordering::Acquire) >= Phase::Terminated as u8
    }

    /// Moves on to `phase`; never back.
    pub fn enter_phase(&self, phase: Phase) {
        self.phase.fetch_max(phase as u8, Ordering::AcqRel);
    }

    /// Whether the view of the members is more than that of a daemon that has just started; before,
    /// it says little about which shared duties fall to whom.
    pub fn is_membership_settled(&self) -> bool {
        self.membership_settled.load(Ordering::Acquire)
    }

    /// Notes that the view of the members is whole, or that the time to wait for that is over.
    pub fn set_membership_settled(&self) {
        self.membership_settled.store(true, Ordering::Release);
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

fn holder_rules(settings: &ClaimSettings) -> HolderRules {
    HolderRules {
        clock_skew_bound: settings.clock_skew_bound,
        key_maximum_age: settings.key_maximum_age,
        abstain: true,
    }
}
