//! The limits of the tenants seen by this daemon, in small read-copy-update maps.

use std::collections::HashMap;
use std::hash::{BuildHasher, RandomState};
use std::num::NonZeroU32;
use std::sync::Arc;

use arc_swap::ArcSwap;
use driftspring_types::{Tenant, TenantId};
use governor::clock::{Clock, Reference};
use governor::middleware::NoOpMiddleware;
use governor::state::{InMemoryState, NotKeyed};
use governor::{Quota, RateLimiter};

use crate::fairness::share_of_limit;
use crate::usage::TenantUsage;

/// Maps over which tenants are spread: adding one of 41,000 tenants copies 160 entries.
const SHARDS: usize = 256;

type TenantRate<C> = RateLimiter<NotKeyed, InMemoryState, C, NoOpMiddleware<<C as Clock>::Instant>>;

/// One daemon's share of a tenant's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Shares {
    /// Requests per second; none without a limit.
    per_second: Option<u32>,
    /// Open requests; none without a limit.
    concurrent: Option<u32>,
    weight: u32,
}

impl Shares {
    fn of(tenant: &Tenant, live_daemons: u32) -> Self {
        Self {
            per_second: share_of_limit(tenant.requests_per_second, live_daemons),
            concurrent: share_of_limit(tenant.max_concurrent, live_daemons),
            weight: tenant.weight.max(1),
        }
    }
}

/// The limits of one tenant at this daemon, and what it uses of them.
pub(crate) struct TenantLimits<C: Clock> {
    shares: Shares,
    pub(crate) rate: Option<TenantRate<C>>,
    pub(crate) usage: Arc<TenantUsage>,
}

impl<C: Clock + Clone> TenantLimits<C> {
    /// Open requests at the most; none without a limit.
    pub(crate) fn concurrent(&self) -> Option<u32> {
        self.shares.concurrent
    }

    /// Limits by `shares`, which take over what `previous` still has open.
    fn new(shares: Shares, previous: Option<&Self>, clock: &C) -> Self {
        let same_weight = previous.filter(|previous| previous.shares.weight == shares.weight);
        Self {
            shares,
            rate: rate_limiter(shares.per_second, clock),
            usage: same_weight.map_or_else(
                || Arc::new(TenantUsage::new(shares.weight)),
                |previous| Arc::clone(&previous.usage),
            ),
        }
    }
}

fn rate_limiter<C: Clock + Clone>(per_second: Option<u32>, clock: &C) -> Option<TenantRate<C>> {
    let per_second = NonZeroU32::new(per_second?)?;
    let quota = Quota::per_second(per_second);
    Some(RateLimiter::direct_with_clock(quota, clock.clone()))
}

type Shard<C> = ArcSwap<HashMap<TenantId, Arc<TenantLimits<C>>>>;

/// The limits of all tenants seen.
pub(crate) struct TenantTable<C: Clock> {
    shards: Box<[Shard<C>]>,
    hasher: RandomState,
    clock: C,
}

impl<C: Clock + Clone> TenantTable<C>
where
    C::Instant: Reference,
{
    pub(crate) fn new(clock: C) -> Self {
        Self {
            shards: (0..SHARDS).map(|_| ArcSwap::default()).collect(),
            hasher: RandomState::new(),
            clock,
        }
    }

    pub(crate) fn clock(&self) -> &C {
        &self.clock
    }

    /// The limits of `tenant`, brought up to date where its settings or the number of daemons have
    /// changed.
    pub(crate) fn limits(&self, tenant: &Tenant, live_daemons: u32) -> Arc<TenantLimits<C>> {
        let shares = Shares::of(tenant, live_daemons);
        let shard = self.shard(&tenant.id);
        if let Some(known) = shard.load().get(&tenant.id)
            && known.shares == shares
        {
            return Arc::clone(known);
        }
        self.replace(shard, &tenant.id, shares)
    }

    /// What `tenant` uses, where it has been seen.
    pub(crate) fn usage(&self, tenant: &TenantId) -> Option<Arc<TenantUsage>> {
        let shard = self.shard(tenant).load();
        let limits = shard.get(tenant)?;
        Some(Arc::clone(&limits.usage))
    }

    /// Forgets the tenants for which `is_kept` is false and that have nothing open.
    pub(crate) fn retain(&self, is_kept: impl Fn(&TenantId) -> bool) {
        for shard in &self.shards {
            let stays =
                |id: &TenantId, limits: &TenantLimits<C>| is_kept(id) || limits.usage.open() > 0;
            if shard.load().iter().all(|(id, limits)| stays(id, limits)) {
                continue;
            }
            shard.rcu(|tenants| {
                let mut kept = tenants.as_ref().clone();
                kept.retain(|id, limits| stays(id, limits));
                kept
            });
        }
    }

    fn shard(&self, id: &TenantId) -> &Shard<C> {
        &self.shards[self.hasher.hash_one(id) as usize % SHARDS]
    }

    fn replace(&self, shard: &Shard<C>, id: &TenantId, shares: Shares) -> Arc<TenantLimits<C>> {
        let mut chosen = None;
        shard.rcu(|tenants| {
            let known = tenants.get(id);
            if let Some(known) = known.filter(|known| known.shares == shares) {
                chosen = Some(Arc::clone(known));
                return Arc::clone(tenants);
            }
            let previous = known.map(Arc::as_ref);
            let made = Arc::new(TenantLimits::new(shares, previous, &self.clock));
            chosen = Some(Arc::clone(&made));
            let mut extended = tenants.as_ref().clone();
            extended.insert(id.clone(), made);
            Arc::new(extended)
        });
        chosen.unwrap_or_else(|| Arc::new(TenantLimits::new(shares, None, &self.clock)))
    }
}
