//! The limits of all tenants at this gateway.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::group_use::GroupReport;
use super::limit::{QuotaExceeded, REPORT_LATENCY, TenantLimit, Tolerance};
use super::usage::{BASELINE_LOOKBACK, GroupSums, TenantTotals, Totals};
use crate::configuration::Tenant;
use crate::peers::message::{WireGroupUsage, WireTotals, WireUsage};
use crate::peers::to_ms;

/// The maximum number of other groups' reports queued for the next report to the own group. Further ones are
/// dropped; later reports make up for them.
const MAX_QUEUED_REPORTS: usize = 256;

/// The limits of all tenants.
#[derive(Debug)]
pub struct Quotas {
    started_at: Instant,
    own_group: Cell<u64>,
    known_groups: Cell<usize>,
    /// The digest of the name of the gateway that leads this gateway's group and sums up its usage.
    leader: Cell<u64>,
    tolerance: RefCell<Tolerance>,
    limits: RefCell<HashMap<u64, TenantLimit>>,
    /// The usage of this gateway's requests.
    own_totals: RefCell<TenantTotals>,
    /// What was charged for requests that did not run, by tenant; it is deducted from the next charges.
    refunds: RefCell<HashMap<u64, u64>>,
    /// The usage of the group, if this gateway leads it.
    group_sums: RefCell<GroupSums>,
    /// Reports of other groups since the last report to the own group.
    queued_reports: RefCell<Vec<WireGroupUsage>>,
}

impl Quotas {
    /// Limits enforced with `tolerance`; nothing was used before `started_at`.
    pub fn new(tolerance: Tolerance, started_at: Instant) -> Self {
        Self {
            started_at,
            own_group: Cell::new(0),
            known_groups: Cell::new(0),
            leader: Cell::new(0),
            tolerance: RefCell::new(tolerance),
            limits: RefCell::default(),
            own_totals: RefCell::default(),
            refunds: RefCell::default(),
            group_sums: RefCell::default(),
            queued_reports: RefCell::default(),
        }
    }

    /// Replaces the tolerance.
    pub fn reload(&self, tolerance: Tolerance) {
        self.tolerance.replace(tolerance);
    }

    /// Sets the name of this gateway's group and the number of known groups.
    pub fn set_groups(&self, own: &str, known: usize) {
        self.own_group.set(xxh3_64(own.as_bytes()));
        self.known_groups.set(known);
    }

    /// Sets the leader of this gateway's group, by the digest of its name.
    pub fn set_leader(&self, leader: u64) {
        self.leader.set(leader);
    }

    /// The time stamp of this gateway's reports, in milliseconds since the limits were set up.
    pub fn now_ms(&self, now: Instant) -> u64 {
        to_ms(self.since_start(now))
    }

    fn since_start(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Decides whether to admit a request of `tenant` whose prompt and answer have `tokens`, if known; `draw`
    /// is a random number from 0 to 1. Returns the charge, to be refunded if the request does not run.
    ///
    /// # Errors
    ///
    /// Why the request exceeds the tenant's limit, and a description of the limit's state for the log.
    pub fn admit(
        &self,
        tenant: &Tenant,
        tokens: Option<u64>,
        draw: f64,
        now: Instant,
    ) -> Result<Option<Charge>, (QuotaExceeded, String)> {
        let Some(quota) = tenant.quota else {
            return Ok(None);
        };
        let key = digest(tenant);
        let cost = quota.cost(tokens);
        let now = self.since_start(now);
        let tolerance = *self.tolerance.borrow();
        let mut limits = self.limits.borrow_mut();
        let known_groups = self.known_groups.get();
        let limit = limits
            .entry(key)
            .or_insert_with(|| TenantLimit::new(quota, tolerance, now));
        limit.set(quota, tolerance);
        let decision = limit.admit(now, cost as f64, known_groups, draw);
        let admitted = match decision {
            Ok(()) => self.cost_after_refunds(key, cost),
            Err(_) => 0,
        };
        let used = Totals {
            asked: cost,
            admitted,
        };
        self.own_totals.borrow_mut().add(key, now, &used);
        match decision {
            Ok(()) => Ok(Some(Charge { tenant: key, cost })),
            Err(refused) => Err((refused, limit.describe(now, known_groups))),
        }
    }

    /// The amount to report as admitted for a request of `cost`, after deducting refunds.
    fn cost_after_refunds(&self, tenant: u64, cost: u64) -> u64 {
        let mut refunds = self.refunds.borrow_mut();
        let Some(remaining) = refunds.get_mut(&tenant) else {
            return cost;
        };
        let refunded = cost.min(*remaining);
        *remaining -= refunded;
        cost - refunded
    }

    /// Refunds the charge of a request that did not run.
    pub fn refund(&self, charge: Charge) {
        *self.refunds.borrow_mut().entry(charge.tenant).or_default() += charge.cost;
    }

    /// Starts to count for the tenants of a configuration that have limits, before their first requests
    /// arrive at this gateway.
    pub fn set_tenants<'a>(&self, tenants: impl Iterator<Item = &'a Tenant>, now: Instant) {
        let now = self.since_start(now);
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
    pub fn has_limits(&self) -> bool {
        !self.limits.borrow().is_empty()
    }

    /// Records the usage reported by a member of the group.
    pub fn record_member_usage(&self, usage: &WireUsage, now: Instant) {
        let now = self.since_start(now);
        self.group_sums.borrow_mut().record_member(usage, now);
    }

    /// Records the usage reported by a group's leader.
    pub fn record_group_usage(&self, usage: &WireGroupUsage, now: Instant) {
        let now = self.since_start(now);
        let group = xxh3_64(usage.group.as_bytes());
        let own = self.own_group.get();
        // Gateways of earlier versions do not send the leader's name.
        let is_from_leader = usage.leader == 0 || usage.leader == self.leader.get();
        if group == own && is_from_leader {
            // These sums include what was reported before that time.
            let reported_until = now.saturating_sub(REPORT_LATENCY);
            self.own_totals
                .borrow_mut()
                .advance_baseline(reported_until);
        }
        let reported: HashMap<u64, &WireTotals> = usage
            .totals
            .iter()
            .map(|totals| (totals.tenant, totals))
            .collect();
        let report = GroupReport {
            group,
            leader: usage.incarnation,
            sent: usage.sent_ms.map(Duration::from_millis),
        };
        for (tenant, limit) in self.limits.borrow_mut().iter_mut() {
            let totals = reported.get(tenant).copied();
            limit.apply_report(now, own, report, totals);
        }
    }

    /// Queues a report of another group for the next report to the own group.
    pub fn queue_group_report(&self, usage: WireGroupUsage) {
        let mut queued_reports = self.queued_reports.borrow_mut();
        if queued_reports.len() < MAX_QUEUED_REPORTS {
            queued_reports.push(usage);
        }
    }

    /// Returns the reports of other groups queued since the last call.
    pub fn take_queued_reports(&self) -> Vec<WireGroupUsage> {
        self.queued_reports.take()
    }

    /// The recent usage of this gateway's tenants.
    pub fn own_usage(&self, now: Instant) -> Vec<WireTotals> {
        self.own_totals
            .borrow()
            .recently_changed(self.since_start(now))
    }

    /// The recent usage of the group's tenants, as reported to this gateway by the members.
    pub fn group_usage(&self, now: Instant) -> Vec<WireTotals> {
        let now = self.since_start(now);
        let mut sums = self.group_sums.borrow_mut();
        sums.totals
            .advance_baseline(now.saturating_sub(BASELINE_LOOKBACK));
        sums.totals.recently_changed(now)
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
