//! The limits of all tenants at this daemon.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::group_use::GroupReport;
use super::limit::{Refused, TOLD_AFTER, TenantLimit, Tolerance};
use super::usage::{COUNTED_BACK, GroupUsage, TenantTotals, Totals};
use crate::configuration::Tenant;
use crate::peers::message::{WireGroupUsage, WireTotals, WireUsage};
use crate::peers::to_ms;

/// Reports of other groups that are kept for the next report to the own group; more are dropped, and made up for by
/// later ones.
const MOST_INCOMING: usize = 256;

/// The limits of all tenants.
#[derive(Debug)]
pub struct Quotas {
    began: Instant,
    own_group: Cell<u64>,
    known_groups: Cell<usize>,
    /// The digest of the name of the daemon that sums up what this daemon's group uses.
    leader: Cell<u64>,
    tolerance: RefCell<Tolerance>,
    limits: RefCell<HashMap<u64, TenantLimit>>,
    /// What this daemon's requests used.
    own: RefCell<TenantTotals>,
    /// What was charged for requests that did not run, by tenant; it makes up for what is charged next.
    returned: RefCell<HashMap<u64, u64>>,
    /// What the group used, where this daemon leads it.
    group: RefCell<GroupUsage>,
    /// What other groups told since the last report to the own group.
    incoming: RefCell<Vec<WireGroupUsage>>,
}

impl Quotas {
    /// Limits that are kept with `tolerance`; nothing was used by `began`.
    pub fn new(tolerance: Tolerance, began: Instant) -> Self {
        Self {
            began,
            own_group: Cell::new(0),
            known_groups: Cell::new(0),
            leader: Cell::new(0),
            tolerance: RefCell::new(tolerance),
            limits: RefCell::default(),
            own: RefCell::default(),
            returned: RefCell::default(),
            group: RefCell::default(),
            incoming: RefCell::default(),
        }
    }

    /// Puts another tolerance into force.
    pub fn reload(&self, tolerance: Tolerance) {
        self.tolerance.replace(tolerance);
    }

    /// Takes in the name of this daemon's group, and how many groups there are.
    pub fn set_groups(&self, own: &str, known: usize) {
        self.own_group.set(xxh3_64(own.as_bytes()));
        self.known_groups.set(known);
    }

    /// Takes in who leads this daemon's group, by the digest of its name.
    pub fn set_leader(&self, leader: u64) {
        self.leader.set(leader);
    }

    /// The time of this daemon's reports, in milliseconds since the limits were set up.
    pub fn now_ms(&self, now: Instant) -> u64 {
        to_ms(self.since_begin(now))
    }

    fn since_begin(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.began)
    }

    /// Decides on a request of `tenant` whose prompt and answer are of `tokens`, where it says so; `draw` is random
    /// from 0 to 1. Returns what is to be given back where it does not run.
    ///
    /// # Errors
    ///
    /// Why it is beyond the tenant's limit, and what the logs tell of that.
    pub fn admit(
        &self,
        tenant: &Tenant,
        tokens: Option<u64>,
        draw: f64,
        now: Instant,
    ) -> Result<Option<Charge>, (Refused, String)> {
        let Some(quota) = tenant.quota else {
            return Ok(None);
        };
        let key = digest(tenant);
        let cost = quota.cost(tokens);
        let now = self.since_begin(now);
        let tolerance = *self.tolerance.borrow();
        let mut limits = self.limits.borrow_mut();
        let known_groups = self.known_groups.get();
        let limit = limits
            .entry(key)
            .or_insert_with(|| TenantLimit::new(quota, tolerance, now));
        limit.set(quota, tolerance);
        let decision = limit.admit(now, cost as f64, known_groups, draw);
        let admitted = match decision {
            Ok(()) => self.charged(key, cost),
            Err(_) => 0,
        };
        let used = Totals {
            asked: cost,
            admitted,
        };
        self.own.borrow_mut().add(key, now, &used);
        match decision {
            Ok(()) => Ok(Some(Charge { tenant: key, cost })),
            Err(refused) => Err((refused, limit.describe(now, known_groups))),
        }
    }

    /// What is told to have been admitted for a request of `cost`.
    fn charged(&self, tenant: u64, cost: u64) -> u64 {
        let mut returned = self.returned.borrow_mut();
        let Some(left) = returned.get_mut(&tenant) else {
            return cost;
        };
        let used = cost.min(*left);
        *left -= used;
        cost - used
    }

    /// Gives back what was charged for a request that has not run.
    pub fn give_back(&self, charge: Charge) {
        *self.returned.borrow_mut().entry(charge.tenant).or_default() += charge.cost;
    }

    /// Begins to count for the tenants of a configuration that have limits, before their first requests come here.
    pub fn set_tenants<'a>(&self, tenants: impl Iterator<Item = &'a Tenant>, now: Instant) {
        let now = self.since_begin(now);
        let tolerance = *self.tolerance.borrow();
        let mut limits = self.limits.borrow_mut();
        let mut limited = HashSet::new();
        for tenant in tenants {
            let Some(quota) = tenant.quota else {
                continue;
            };
            let key = digest(tenant);
            limited.insert(key);
            limits
                .entry(key)
                .or_insert_with(|| TenantLimit::new(quota, tolerance, now))
                .set(quota, tolerance);
        }
        limits.retain(|tenant, _| limited.contains(tenant));
    }

    /// Whether any tenant has a limit.
    pub fn are_in_force(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    /// Takes in what a member of the group used.
    pub fn take_member(&self, usage: &WireUsage, now: Instant) {
        let now = self.since_begin(now);
        self.group.borrow_mut().take(usage, now);
    }

    /// Takes in what a group used.
    pub fn take_group(&self, usage: &WireGroupUsage, now: Instant) {
        let now = self.since_begin(now);
        let group = xxh3_64(usage.group.as_bytes());
        let own = self.own_group.get();
        // A daemon of an earlier version does not say who it is.
        let is_from_leader = usage.leader == 0 || usage.leader == self.leader.get();
        if group == own && is_from_leader {
            // What it told before that is in these sums.
            let told_until = now.saturating_sub(TOLD_AFTER);
            self.own.borrow_mut().settle(told_until);
        }
        let told: HashMap<u64, &WireTotals> = usage
            .totals
            .iter()
            .map(|totals| (totals.tenant, totals))
            .collect();
        let report = GroupReport {
            group,
            leader: usage.life,
            sent: usage.sent_ms.map(Duration::from_millis),
        };
        for (tenant, limit) in self.limits.borrow_mut().iter_mut() {
            let totals = told.get(tenant).copied();
            limit.hear(now, own, report, totals);
        }
    }

    /// Keeps what another group told for the next report to the own group.
    pub fn pass_on(&self, usage: WireGroupUsage) {
        let mut incoming = self.incoming.borrow_mut();
        if incoming.len() < MOST_INCOMING {
            incoming.push(usage);
        }
    }

    /// What other groups told since the last call.
    pub fn take_incoming(&self) -> Vec<WireGroupUsage> {
        self.incoming.take()
    }

    /// What this daemon's tenants used lately.
    pub fn own_usage(&self, now: Instant) -> Vec<WireTotals> {
        self.own.borrow().lately_changed(self.since_begin(now))
    }

    /// What the group's tenants used lately, as its members told this daemon.
    pub fn group_usage(&self, now: Instant) -> Vec<WireTotals> {
        let now = self.since_begin(now);
        let mut group = self.group.borrow_mut();
        group.sums.settle(now.saturating_sub(COUNTED_BACK));
        group.sums.lately_changed(now)
    }
}

fn digest(tenant: &Tenant) -> u64 {
    xxh3_64(tenant.name.as_bytes())
}

/// What an admitted request was charged.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Charge {
    tenant: u64,
    cost: u64,
}
