//! The shares of the tenants of one service at one gateway.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::fair_share::{
    Change, Claim, ShareController, Signals, admission_probability, waterfill,
};

use super::key::{ALL_TENANTS, SIGNAL, key};
use super::rate::{Rate, RecentWaits};
use super::reported::Reported;

/// The maximum number of tenants of which this gateway knows the demand; the smallest are dropped.
pub const MAX_TENANTS: usize = 1024;

/// Largest share of the capacity that tenants without a known demand can claim together, whatever is reported of all
/// tenants together.
const MAX_UNKNOWN_SHARE: f64 = 0.5;

/// Largest ratio between what all tenants ask for and what begins that reports can show; this gateway's own counts are
/// used instead of such reports. It is the ratio up to which requests are refused by shares (`MIN_ADMISSION`).
const MAX_DEMAND_TO_RUN: f64 = 64.0;

/// Largest ratio between the demand at all gateways and at this one. It bounds the effect of a false report.
const MAX_SCALE: f64 = 1000.0;

/// Rate below which a tenant counts as gone, in work per second: one request without a prompt in 20 s.
const MIN_RATE: f64 = 0.05;

/// Part of the difference by which the wait without load rises in each update: it follows a change of the requests in
/// about 10 s, and an overload is noticed long before.
const BASE_WAIT_RISE: f64 = 0.01;

/// Largest wait without load, as a share of the objective: at a gateway that starts in an overload, every wait that it
/// sees is that of a queue.
const MAX_BASE_WAIT_SHARE: f64 = 0.25;

/// How long a report of another gateway that the service is overloaded counts.
const REPORTED_FOR: Duration = Duration::from_secs(2);

/// Where a request's tenant stands while the service is overloaded.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Standing {
    /// The service is not overloaded, or shares are off.
    #[default]
    Unregulated,
    /// The tenant asks for less than its share.
    BelowShare,
    /// The tenant asks for more than its share; this request is within it.
    AboveShare,
}

/// Why a request is refused: what its tenant asks for, and what it gets, in work per second over all gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct OverShare {
    /// What the tenant asks for.
    pub demand: f64,
    /// Its share.
    pub share: f64,
    /// Probability with which its requests are admitted.
    pub probability: f64,
}

/// Demand and use at this gateway.
#[derive(Debug, Clone, Copy, Default)]
pub struct OwnUse {
    /// Work that was asked for.
    pub demand: Rate,
    /// Work that began.
    pub run: Rate,
    /// Requests refused because the tenant was above its share, since they were last taken.
    pub refused_above: u64,
    /// Requests of the tenant refused for other reasons while it was below its share, since they were last taken.
    pub refused_below: u64,
}

/// What is known at an update beside the counts.
#[derive(Debug, Clone, Copy, Default)]
pub struct Load {
    /// Mean time for which requests have been queued that have not begun yet; zero if there are few.
    pub queued_for: Duration,
    /// The longest objective of the service's routes.
    pub objective: Option<Duration>,
}

/// The shares of one service.
#[derive(Debug, Default)]
pub struct ServiceShares {
    /// The service's name.
    pub name: String,
    digest: u16,
    controller: ShareController,
    own: HashMap<u64, OwnUse>,
    total: OwnUse,
    sent: u64,
    refused_as_full: u64,
    arrived: u64,
    refused_for_queues: u64,
    /// The wait without load: answers that are slow by themselves are no queue.
    base_wait: Option<Duration>,
    waits: RecentWaits,
    reported_at: Option<Duration>,
    /// Tenants above their share.
    above: HashMap<u64, OverShare>,
    /// The level in force.
    pub level: f64,
}

impl ServiceShares {
    /// No demand yet.
    pub fn new(name: &str, digest: u16) -> Self {
        Self {
            name: name.to_owned(),
            digest,
            level: f64::INFINITY,
            ..Self::default()
        }
    }

    /// Whether shares are enforced.
    pub fn is_overloaded(&self) -> bool {
        self.controller.is_overloaded()
    }

    /// Work per second that is handed out.
    pub fn capacity(&self) -> f64 {
        self.controller.capacity()
    }

    /// The number of tenants above their share.
    pub fn count_above(&self) -> usize {
        self.above.len()
    }

    /// The largest tenants at this gateway by what they ask for.
    pub fn largest(&self, count: usize, now: Duration) -> Vec<(u64, OwnUse)> {
        let mut all: Vec<(u64, OwnUse)> = self
            .own
            .iter()
            .map(|(tenant, own)| (*tenant, *own))
            .collect();
        let demand = |own: &(u64, OwnUse)| own.1.demand.per_second(now);
        all.sort_unstable_by(|one, other| demand(other).total_cmp(&demand(one)));
        all.truncate(count);
        all
    }

    /// What a tenant above its share asks for and gets.
    pub fn over_share(&self, tenant: u64) -> Option<OverShare> {
        self.above.get(&tenant).copied()
    }

    /// Counts the demand of a request and decides on it; `draw` is a random number from 0 to 1.
    pub fn ask(
        &mut self,
        tenant: u64,
        work: u64,
        draw: f64,
        now: Duration,
    ) -> Result<Standing, OverShare> {
        self.arrived += 1;
        self.total.demand.add(work, now);
        if self.own.len() < 2 * MAX_TENANTS || self.own.contains_key(&tenant) {
            self.own.entry(tenant).or_default().demand.add(work, now);
        }
        if !self.is_overloaded() {
            return Ok(Standing::Unregulated);
        }
        match self.above.get(&tenant) {
            None => Ok(Standing::BelowShare),
            Some(over) if draw < over.probability => Ok(Standing::AboveShare),
            Some(over) => {
                let over = *over;
                if let Some(own) = self.own.get_mut(&tenant) {
                    own.refused_above += 1;
                }
                Err(over)
            }
        }
    }

    /// Counts a request that was refused although its tenant was below its share.
    pub fn record_refused_below(&mut self, tenant: u64) {
        if let Some(own) = self.own.get_mut(&tenant) {
            own.refused_below += 1;
        }
    }

    /// Takes the counts of refused requests above and below the share, by tenant.
    pub fn take_refused(&mut self) -> Vec<(u64, u64, u64)> {
        let refused = self
            .own
            .iter_mut()
            .filter(|(_, own)| own.refused_above + own.refused_below > 0);
        refused
            .map(|(tenant, own)| {
                let above = std::mem::take(&mut own.refused_above);
                (*tenant, above, std::mem::take(&mut own.refused_below))
            })
            .collect()
    }

    /// Whether the tenant is among the largest.
    pub fn is_tracked(&self, tenant: u64) -> bool {
        self.own.contains_key(&tenant)
    }

    /// Counts work of a tenant that began after `wait`.
    pub fn record_run(&mut self, tenant: u64, work: u64, wait: Duration, now: Duration) {
        self.waits.add(wait, now);
        self.total.run.add(work, now);
        if let Some(own) = self.own.get_mut(&tenant) {
            own.run.add(work, now);
        }
    }

    /// Counts an answer of a replica.
    pub fn record_answer(&mut self, is_full: bool) {
        self.sent += 1;
        self.refused_as_full += u64::from(is_full);
    }

    /// Counts a request that this gateway refused because the queues are too long.
    pub fn record_refused_for_queues(&mut self) {
        self.refused_for_queues += 1;
    }

    /// Records that another gateway reports an overload of the service.
    pub fn record_reported_overload(&mut self, now: Duration) {
        self.reported_at = Some(now);
    }

    /// Keeps the largest tenants.
    fn drop_small(&mut self, now: Duration) {
        self.own
            .retain(|_, own| own.demand.per_second(now) > MIN_RATE);
        if self.own.len() <= MAX_TENANTS {
            return;
        }
        let mut rates: Vec<f64> = self
            .own
            .values()
            .map(|own| own.demand.per_second(now))
            .collect();
        let (_, smallest_kept, _) =
            rates.select_nth_unstable_by(MAX_TENANTS - 1, |one, other| other.total_cmp(one));
        let smallest_kept = *smallest_kept;
        self.own
            .retain(|_, own| own.demand.per_second(now) >= smallest_kept);
    }

    /// Learns the wait without load, from the waits while there is no overload.
    fn learn_base_wait(&mut self, objective: Option<Duration>, now: Duration) -> Duration {
        if let Some(wait) = self.waits.mean(now)
            && !self.is_overloaded()
        {
            let known = self.base_wait.unwrap_or(wait);
            let rise = wait.saturating_sub(known).mul_f64(BASE_WAIT_RISE);
            self.base_wait = Some(known.min(wait) + rise);
        }
        let largest = objective.map_or(Duration::MAX, |objective| {
            objective.mul_f64(MAX_BASE_WAIT_SHARE)
        });
        self.base_wait.unwrap_or_default().min(largest)
    }

    /// Computes the shares anew. `weight_of` returns the weight of a tenant; `group` is this gateway's group.
    pub fn update(
        &mut self,
        load: &Load,
        reported: &Reported,
        group: u64,
        weight_of: impl Fn(u64) -> f64,
        now: (Duration, Instant),
    ) -> Option<Change> {
        let (now, instant) = now;
        self.drop_small(now);
        let own_demand = self.total.demand.per_second(now);
        let own_run = self.total.run.per_second(now);
        let (demand, run) = reported.rates(key(self.digest, ALL_TENANTS), now);
        let (demand, run) = (demand.max(own_demand), run.max(own_run));
        let is_live =
            reported.is_live(self.digest, group, now) && demand <= run * MAX_DEMAND_TO_RUN;
        let (demand, run) = match is_live {
            true => (demand, run),
            false => (own_demand, own_run),
        };
        let is_reported = self.reported_at.is_some_and(|at| now < at + REPORTED_FOR);
        let wait = self.waits.mean(now);
        let wait = wait.unwrap_or_default().max(load.queued_for);
        let base_wait = self.learn_base_wait(load.objective, now);
        let signals = Signals {
            wait: wait.saturating_sub(base_wait),
            objective: load.objective,
            sent: std::mem::take(&mut self.sent),
            refused_as_full: std::mem::take(&mut self.refused_as_full),
            arrived: std::mem::take(&mut self.arrived),
            refused_for_queues: std::mem::take(&mut self.refused_for_queues),
            run,
            demand,
            is_reported: is_reported && is_live,
        };
        let change = self.controller.update(&signals, instant);
        self.above.clear();
        self.level = f64::INFINITY;
        if self.is_overloaded() {
            let scale = match own_demand > 0.0 {
                true => (demand / own_demand).clamp(1.0, MAX_SCALE),
                false => 1.0,
            };
            self.share_out(demand, scale, is_live.then_some(reported), weight_of, now);
        }
        change
    }

    /// Computes the level, and which tenants are above it. `scale` is the ratio between the demand at all gateways and
    /// at this one, for tenants that no group reports.
    fn share_out(
        &mut self,
        total: f64,
        scale: f64,
        reported: Option<&Reported>,
        weight_of: impl Fn(u64) -> f64,
        now: Duration,
    ) {
        let reported = reported
            .into_iter()
            .flat_map(|reported| reported.demands(self.digest, now));
        let mut demands: HashMap<u64, f64> = reported
            .filter(|(tenant, demand)| *tenant > SIGNAL && *demand > MIN_RATE)
            .collect();
        for (tenant, own) in &self.own {
            let own = own.demand.per_second(now);
            let known = demands.entry(*tenant).or_insert(own * scale);
            *known = known.max(own);
        }
        // No tenant asks for more than all of them.
        demands
            .values_mut()
            .for_each(|demand| *demand = demand.min(total));
        let known: f64 = demands.values().sum();
        let capacity = self.controller.capacity();
        let unknown = (total - known).clamp(0.0, capacity * MAX_UNKNOWN_SHARE);
        let claim = |(tenant, demand): (&u64, &f64)| Claim {
            demand: *demand,
            weight: weight_of(*tenant),
        };
        let level = waterfill(capacity - unknown, demands.iter().map(claim));
        self.level = level;
        for (tenant, demand) in &demands {
            let claim = claim((tenant, demand));
            let probability = admission_probability(level, claim);
            if probability < 1.0 {
                let over = OverShare {
                    demand: claim.demand,
                    share: level * claim.weight,
                    probability,
                };
                self.above.insert(*tenant, over);
            }
        }
    }
}
