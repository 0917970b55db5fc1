//! Open requests of the daemon and of each tenant, and the permits that count them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use crate::sync::{AtomicU32, AtomicU64, Ordering};

/// What a service is taken to last before one has ended.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_secs(1);

/// A new measurement of the service time counts for one part in this many.
const SERVICE_TIME_SMOOTHING: u64 = 16;

/// Open requests of one daemon over all tenants.
#[derive(Debug)]
pub struct DaemonUsage {
    open: AtomicU32,
    /// The weights of all tenants that have requests open.
    active_weight: AtomicU64,
    mean_service_micros: AtomicU64,
}

impl DaemonUsage {
    /// No open requests.
    pub fn new() -> Self {
        Self {
            open: AtomicU32::new(0),
            active_weight: AtomicU64::new(0),
            mean_service_micros: AtomicU64::new(ASSUMED_SERVICE_TIME.as_micros() as u64),
        }
    }

    /// Requests open now.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// The weights of all tenants that have requests open.
    pub fn active_weight(&self) -> u64 {
        self.active_weight.load(Ordering::Acquire)
    }

    /// The smoothed time for which a request is open.
    pub fn mean_service_time(&self) -> Duration {
        Duration::from_micros(self.mean_service_micros.load(Ordering::Relaxed))
    }

    /// Takes in how long one request was open. Of two calls at once one may be lost.
    pub fn record_service_time(&self, service_time: Duration) {
        let newest = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX / 2);
        let mean = self.mean_service_micros.load(Ordering::Relaxed);
        let kept = mean - mean / SERVICE_TIME_SMOOTHING;
        self.mean_service_micros
            .store(kept + newest / SERVICE_TIME_SMOOTHING, Ordering::Relaxed);
    }
}

impl Default for DaemonUsage {
    fn default() -> Self {
        Self::new()
    }
}

/// Open requests of one tenant at one daemon.
#[derive(Debug)]
pub struct TenantUsage {
    open: AtomicU32,
    /// Fixed, so that what is added to the active weight is also what is taken off it.
    weight: u32,
}

impl TenantUsage {
    /// No open requests of a tenant with the given weight.
    pub fn new(weight: u32) -> Self {
        Self {
            open: AtomicU32::new(0),
            weight: weight.max(1),
        }
    }

    /// Requests open now.
    pub fn open(&self) -> u32 {
        self.open.load(Ordering::Relaxed)
    }

    /// The tenant's share under overload, relative to the others. At least 1.
    pub fn weight(&self) -> u32 {
        self.weight
    }
}

/// One open request; it is counted until the permit is dropped.
#[derive(Debug)]
pub struct Permit {
    daemon: Arc<DaemonUsage>,
    tenant: Arc<TenantUsage>,
    /// When the request was admitted; nothing before that.
    admitted_at: Option<Instant>,
    position: Position,
}

/// How many other requests were open when a permit was taken.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Position {
    /// Of all tenants.
    pub in_daemon: u32,
    /// Of the same tenant.
    pub in_tenant: u32,
}

impl Permit {
    /// Counts one more request. Whether it may stay is judged by its [`Permit::position`], which was
    /// counted in the same step; so no limit is ever passed, however many threads ask at once.
    pub fn take(daemon: &Arc<DaemonUsage>, tenant: &Arc<TenantUsage>) -> Self {
        let in_daemon = daemon.open.fetch_add(1, Ordering::AcqRel);
        let in_tenant = tenant.open.fetch_add(1, Ordering::AcqRel);
        if in_tenant == 0 {
            daemon
                .active_weight
                .fetch_add(u64::from(tenant.weight), Ordering::AcqRel);
        }
        Self {
            daemon: Arc::clone(daemon),
            tenant: Arc::clone(tenant),
            admitted_at: None,
            position: Position {
                in_daemon,
                in_tenant,
            },
        }
    }

    /// How many other requests were open when this one was counted.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Marks the request as admitted, so that its duration is measured.
    pub(crate) fn admitted(mut self, now: Instant) -> Self {
        self.admitted_at = Some(now);
        self
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        if self.tenant.open.fetch_sub(1, Ordering::AcqRel) == 1 {
            self.daemon
                .active_weight
                .fetch_sub(u64::from(self.tenant.weight), Ordering::AcqRel);
        }
        self.daemon.open.fetch_sub(1, Ordering::AcqRel);
        if let Some(admitted_at) = self.admitted_at {
            self.daemon.record_service_time(admitted_at.elapsed());
        }
    }
}
