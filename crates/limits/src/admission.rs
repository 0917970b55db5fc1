//! Whether a tenant's request is taken in now, or refused at once with a time to come back.

use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_types::{Tenant, TenantId};
use governor::clock::{Clock, MonotonicClock, Reference};

use crate::fairness::{fair_share, pressure_threshold};
use crate::retry_after::{time_to_drain, with_jitter};
use crate::sync::{AtomicU32, AtomicU64, Ordering};
use crate::tenants::{TenantLimits, TenantTable};
use crate::usage::{DaemonUsage, Permit};

/// Why a request was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// The tenant sends more requests per second than it may.
    TenantRate,
    /// The tenant has as many requests open as it may.
    TenantConcurrency,
    /// The daemon is near its capacity and the tenant is above its fair share.
    AboveFairShare,
    /// The daemon is at its capacity.
    Full,
}

/// A request that was not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// When the caller should come back.
    pub retry_after: Duration,
}

/// Admission of requests to one daemon.
///
/// Each daemon enforces its share of a tenant's limits: the limit divided by the number of live
/// daemons, rounded up. So over D daemons a tenant may exceed its limit by D - 1 at the most, and a
/// tenant that speaks to few daemons gets less than its limit.
pub struct Admission<C: Clock = MonotonicClock> {
    max_open: u32,
    live_daemons: AtomicU32,
    refusals: AtomicU64,
    usage: Arc<DaemonUsage>,
    tenants: TenantTable<C>,
}

impl Admission {
    /// Admission to a daemon that holds at most `max_open` requests open.
    pub fn new(max_open: u32) -> Self {
        Self::with_clock(max_open, MonotonicClock)
    }
}

impl<C: Clock + Clone> Admission<C>
where
    C::Instant: Reference,
{
    /// Admission whose rates run by the given clock.
    pub fn with_clock(max_open: u32, clock: C) -> Self {
        Self {
            max_open,
            live_daemons: AtomicU32::new(1),
            refusals: AtomicU64::new(0),
            usage: Arc::new(DaemonUsage::new()),
            tenants: TenantTable::new(clock),
        }
    }

    /// Takes in the number of live daemons, this one included. A tenant's rate begins afresh, with
    /// one second's requests at hand, where its share changes.
    pub fn set_live_daemons(&self, live_daemons: u32) {
        self.live_daemons
            .store(live_daemons.max(1), Ordering::Release);
    }

    /// Forgets tenants that `is_known` does not know; to be called when the configuration changed.
    pub fn retain_tenants(&self, is_known: impl Fn(&TenantId) -> bool) {
        self.tenants.retain(is_known);
    }

    /// What is open now.
    pub fn usage(&self) -> &DaemonUsage {
        &self.usage
    }

    /// Requests that `tenant` has open here.
    pub fn open_requests_of(&self, tenant: &TenantId) -> u32 {
        self.tenants.usage(tenant).map_or(0, |usage| usage.open())
    }

    /// Admits a request of `tenant`, or refuses it at once.
    pub fn admit(&self, tenant: &Tenant) -> Result<Permit, Refusal> {
        let live_daemons = self.live_daemons.load(Ordering::Acquire);
        let limits = self.tenants.limits(tenant, live_daemons);
        let permit = Permit::take(&self.usage, &limits.usage);
        self.check_capacity(&permit, &limits)?;
        self.check_concurrency(&permit, &limits)?;
        self.check_rate(&limits)?;
        Ok(permit.admitted(Instant::now()))
    }

    fn check_capacity(&self, permit: &Permit, limits: &TenantLimits<C>) -> Result<(), Refusal> {
        let position = permit.position();
        if position.in_daemon >= self.max_open {
            return Err(self.refuse(RefusalReason::Full, self.time_to_pressure()));
        }
        if position.in_daemon < pressure_threshold(self.max_open) {
            return Ok(());
        }
        let share = fair_share(
            self.max_open,
            limits.usage.weight(),
            self.usage.active_weight(),
        );
        if position.in_tenant >= share {
            let excess = position.in_tenant - share + 1;
            let time = time_to_drain(excess, position.in_tenant, self.usage.mean_service_time());
            return Err(self.refuse(RefusalReason::AboveFairShare, time));
        }
        Ok(())
    }

    fn check_concurrency(&self, permit: &Permit, limits: &TenantLimits<C>) -> Result<(), Refusal> {
        let open = permit.position().in_tenant;
        if limits.concurrent().is_some_and(|limit| open >= limit) {
            let time = time_to_drain(1, open, self.usage.mean_service_time());
            return Err(self.refuse(RefusalReason::TenantConcurrency, time));
        }
        Ok(())
    }

    fn check_rate(&self, limits: &TenantLimits<C>) -> Result<(), Refusal> {
        let Some(rate) = &limits.rate else {
            return Ok(());
        };
        rate.check().map_err(|not_until| {
            let now = self.tenants.clock().now();
            self.refuse(RefusalReason::TenantRate, not_until.wait_time_from(now))
        })
    }

    /// How long the open requests above the pressure threshold need to end.
    fn time_to_pressure(&self) -> Duration {
        let excess = self.max_open - pressure_threshold(self.max_open);
        time_to_drain(excess, self.max_open, self.usage.mean_service_time())
    }

    fn refuse(&self, reason: RefusalReason, time: Duration) -> Refusal {
        let refusals = self.refusals.fetch_add(1, Ordering::Relaxed);
        Refusal {
            reason,
            retry_after: with_jitter(time, refusals),
        }
    }
}
