//! The shares of all services at this gateway, and what is exchanged about them.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::fair_share::Change;
use xxhash_rust::xxh3::xxh3_64;

use super::key::{ALL_TENANTS, SIGNAL, key, service_digest, split, tenant_digest};
use super::metrics::{MAX_COUNTED, MAX_SHOWN, OTHERS, ShareMetrics, TenantLabels};
use super::reported::{Reported, is_plausible};
use super::service::{Load, OverShare, ServiceShares, Standing};
use crate::configuration::{QuotaUnit, Tenant};
use crate::peers::message::{WireGroupUsage, WireTotals, WireUsage};
use crate::quota::group_use::GroupReport;
use crate::quota::usage::{BASELINE_LOOKBACK, GroupSums, TenantTotals, Totals};

/// How long the exchange goes on after the last overload that this gateway knows of: as long as the shares of the next
/// one profit from it, and longer than reports repeat a total.
const EXCHANGE_FOR: Duration = Duration::from_secs(3);

/// The number of tenants of a service in one report, the largest: 6 datagrams.
const MAX_REPORTED_TENANTS: usize = 96;

/// Time after which unchanged totals are dropped; receivers forget them after 10 s.
const DROP_IDLE_AFTER: Duration = Duration::from_secs(30);

/// The maximum number of members' totals that a leader keeps.
const MAX_MEMBER_TOTALS: usize = 32_768;

/// The maximum number of other groups' reports queued for the next report to the own group.
const MAX_QUEUED_REPORTS: usize = 256;

/// The shares of all services.
#[derive(Debug)]
pub struct FairShares {
    started_at: Instant,
    is_enabled: Cell<bool>,
    has_tenants: Cell<bool>,
    own_group: Cell<u64>,
    /// Quotas by tenant, if every tenant has one in the same unit; else empty.
    weights: RefCell<HashMap<u64, f64>>,
    services: RefCell<HashMap<u16, ServiceShares>>,
    own_totals: RefCell<TenantTotals>,
    group_sums: RefCell<GroupSums>,
    reported: RefCell<Reported>,
    queued_reports: RefCell<Vec<WireGroupUsage>>,
    exchange_until: Cell<Duration>,
    names: RefCell<HashMap<u64, Box<str>>>,
    /// Tenants that have counters in the metrics.
    counted: RefCell<HashSet<TenantLabels>>,
}

impl FairShares {
    /// No demand yet; whether shares are computed at all.
    pub fn new(is_enabled: bool, started_at: Instant) -> Self {
        Self {
            started_at,
            is_enabled: Cell::new(is_enabled),
            has_tenants: Cell::new(false),
            own_group: Cell::new(0),
            weights: RefCell::default(),
            services: RefCell::default(),
            own_totals: RefCell::default(),
            group_sums: RefCell::default(),
            reported: RefCell::default(),
            queued_reports: RefCell::default(),
            exchange_until: Cell::default(),
            names: RefCell::default(),
            counted: RefCell::default(),
        }
    }

    /// Switches shares on or off.
    pub fn reload(&self, is_enabled: bool) {
        self.is_enabled.set(is_enabled);
        if !is_enabled {
            self.services.borrow_mut().clear();
        }
    }

    /// Sets the name of this gateway's group.
    pub fn set_group(&self, own: &str) {
        self.own_group.set(xxh3_64(own.as_bytes()));
    }

    /// Sets the tenants of the configuration. A tenant with several keys may be repeated.
    pub fn set_tenants<'a>(&self, tenants: impl Iterator<Item = &'a Tenant>) {
        let mut names = HashMap::new();
        let mut weights = HashMap::new();
        let mut units = HashSet::new();
        let mut all_have_quotas = true;
        for tenant in tenants {
            let digest = tenant_digest(&tenant.name);
            names.insert(digest, Box::from(tenant.name.as_str()));
            match tenant.quota {
                Some(quota) if quota.per_second.is_finite() && quota.per_second > 0.0 => {
                    units.insert(matches!(quota.unit, QuotaUnit::Tokens { .. }));
                    weights.insert(digest, quota.per_second);
                }
                _ => all_have_quotas = false,
            }
        }
        self.has_tenants.set(names.len() >= 2);
        self.names.replace(names);
        if !(all_have_quotas && units.len() == 1) {
            weights.clear();
        }
        self.weights.replace(weights);
    }

    /// Whether shares are computed: they are enabled, and there are several tenants.
    pub fn is_active(&self) -> bool {
        self.is_enabled.get() && self.has_tenants.get()
    }

    fn since_start(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    fn with_service<T>(&self, service: &str, act: impl FnOnce(&mut ServiceShares) -> T) -> T {
        let digest = service_digest(service);
        let mut services = self.services.borrow_mut();
        let new = || ServiceShares::new(service, digest);
        act(services.entry(digest).or_insert_with(new))
    }

    /// Counts the demand of a request, and decides on it; `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// What its tenant asks for and gets, if the request is above its share.
    pub fn ask(
        &self,
        service: &str,
        tenant: &str,
        work: u64,
        draw: f64,
        now: Instant,
    ) -> Result<Standing, OverShare> {
        if !self.is_active() {
            return Ok(Standing::Unregulated);
        }
        let tenant = tenant_digest(tenant);
        let asked = Totals {
            asked: work,
            admitted: 0,
        };
        let now = self.since_start(now);
        let (decision, is_tracked) = self.with_service(service, |shares| {
            let decision = shares.ask(tenant, work, draw, now);
            (decision, shares.is_tracked(tenant))
        });
        self.add_totals(service, is_tracked.then_some(tenant), asked, now);
        decision
    }

    /// Counts the work of a request that began at a replica after `wait`.
    pub fn record_run(&self, service: &str, tenant: &str, work: u64, wait: Duration, now: Instant) {
        if !self.is_active() {
            return;
        }
        let tenant = tenant_digest(tenant);
        let run = Totals {
            asked: 0,
            admitted: work,
        };
        let now = self.since_start(now);
        let is_tracked = self.with_service(service, |shares| {
            shares.record_run(tenant, work, wait, now);
            shares.is_tracked(tenant)
        });
        self.add_totals(service, is_tracked.then_some(tenant), run, now);
    }

    fn add_totals(&self, service: &str, tenant: Option<u64>, more: Totals, now: Duration) {
        let digest = service_digest(service);
        let mut totals = self.own_totals.borrow_mut();
        if let Some(tenant) = tenant {
            totals.add(key(digest, tenant), now, &more);
        }
        totals.add(key(digest, ALL_TENANTS), now, &more);
    }

    /// Counts a replica's answer; `is_full` if it refused the request because it was full.
    pub fn record_answer(&self, service: &str, is_full: bool) {
        if self.is_active() {
            self.with_service(service, |shares| shares.record_answer(is_full));
        }
    }

    /// Counts a request that this gateway refused because the service's queues are too long.
    pub fn record_refused_for_queues(&self, service: &str) {
        if self.is_active() {
            self.with_service(service, ServiceShares::record_refused_for_queues);
        }
    }

    /// Computes the shares anew; `load_of` returns the load of a service. Calls `note` for each change.
    pub fn update(
        &self,
        now: Instant,
        load_of: impl Fn(&str) -> Load,
        mut note: impl FnMut(&ServiceShares, Change),
    ) {
        let since_start = self.since_start(now);
        let weights = self.weights.borrow();
        let weight_of = |tenant: u64| weights.get(&tenant).copied();
        // Requests of public routes have no quota: they count as the smallest tenant.
        let smallest = weights.values().copied().reduce(f64::min).unwrap_or(1.0);
        let reported = self.reported.borrow();
        for (digest, shares) in self.services.borrow_mut().iter_mut() {
            let load = load_of(&shares.name);
            let weight_of = |tenant| weight_of(tenant).unwrap_or(smallest);
            let times = (since_start, now);
            let group = self.own_group.get();
            if let Some(change) = shares.update(&load, &reported, group, weight_of, times) {
                note(shares, change);
            }
            if shares.is_overloaded() {
                self.exchange_until.set(since_start + EXCHANGE_FOR);
                let signal = Totals {
                    asked: 1,
                    admitted: 0,
                };
                let mut totals = self.own_totals.borrow_mut();
                totals.add(key(*digest, SIGNAL), since_start, &signal);
            }
        }
        self.own_totals
            .borrow_mut()
            .advance_baseline(since_start.saturating_sub(BASELINE_LOOKBACK));
        let mut sums = self.group_sums.borrow_mut();
        sums.drop_idle(since_start, DROP_IDLE_AFTER, MAX_MEMBER_TOTALS);
        self.own_totals
            .borrow_mut()
            .drop_idle(since_start, DROP_IDLE_AFTER);
    }

    /// Counts a request that was refused for another reason although its tenant was below its share.
    pub fn record_refused_below(&self, service: &str, tenant: &str) {
        let tenant = tenant_digest(tenant);
        self.with_service(service, |shares| shares.record_refused_below(tenant));
    }

    /// Writes the metrics by tenant.
    pub fn publish(&self, metrics: &ShareMetrics, now: Instant) {
        let now = self.since_start(now);
        let names = self.names.borrow();
        let mut counted = self.counted.borrow_mut();
        for gauges in [&metrics.share, &metrics.demand, &metrics.run] {
            gauges.clear();
        }
        let mut overloaded = 0;
        for shares in self.services.borrow_mut().values_mut() {
            let labels = |tenant: u64| TenantLabels {
                service: shares.name.clone(),
                tenant: names.get(&tenant).map_or("", |name| name).to_owned(),
            };
            if shares.is_overloaded() {
                overloaded += 1;
                for (tenant, own) in shares.largest(MAX_SHOWN, now) {
                    let labels = labels(tenant);
                    let run = own.run.per_second(now) as i64;
                    metrics.run.get_or_create(&labels).set(run);
                    let over = shares.over_share(tenant);
                    if let Some(over) = over {
                        metrics.share.get_or_create(&labels).set(over.share as i64);
                        metrics
                            .demand
                            .get_or_create(&labels)
                            .set(over.demand as i64);
                    }
                }
            }
            let name = shares.name.clone();
            for (tenant, above, below) in shares.take_refused() {
                let mut labels = TenantLabels {
                    service: name.clone(),
                    tenant: names.get(&tenant).map_or("", |name| name).to_owned(),
                };
                if counted.len() < MAX_COUNTED {
                    counted.insert(labels.clone());
                }
                if !counted.contains(&labels) {
                    labels.tenant = OTHERS.to_owned();
                }
                metrics.refused_above.get_or_create(&labels).inc_by(above);
                metrics.refused_below.get_or_create(&labels).inc_by(below);
            }
        }
        metrics.overloaded_services.set(overloaded);
    }

    /// Whether reports are sent: a service is overloaded or was lately, here or at another gateway.
    pub fn is_exchanging(&self, now: Instant) -> bool {
        self.is_active() && self.since_start(now) < self.exchange_until.get()
    }

    /// The recent totals of this gateway, of the largest tenants.
    pub fn own_usage(&self, now: Instant) -> Vec<WireTotals> {
        let now = self.since_start(now);
        let recent = self.own_totals.borrow().recently_changed(now);
        self.largest(recent)
    }

    /// The recent totals of the group, as reported to this gateway by the members.
    pub fn group_usage(&self, now: Instant) -> Vec<WireTotals> {
        let now = self.since_start(now);
        let mut sums = self.group_sums.borrow_mut();
        sums.totals
            .advance_baseline(now.saturating_sub(BASELINE_LOOKBACK));
        self.largest(sums.totals.recently_changed(now))
    }

    /// The largest tenants of each service, by what they asked for within the last half second.
    fn largest(&self, mut totals: Vec<WireTotals>) -> Vec<WireTotals> {
        let order = |totals: &WireTotals| {
            let (service, tenant) = split(totals.tenant);
            let recent = totals.asked.saturating_sub(totals.asked_before);
            (service, tenant > SIGNAL, std::cmp::Reverse(recent))
        };
        totals.sort_unstable_by_key(order);
        let mut count = 0;
        let mut of_service = None;
        totals.retain(|totals| {
            let (service, tenant) = split(totals.tenant);
            if of_service.replace(service) != Some(service) {
                count = 0;
            }
            count += u32::from(tenant > SIGNAL) as usize;
            count <= MAX_REPORTED_TENANTS
        });
        totals
    }

    /// Records what a member of the group reports.
    pub fn record_member_usage(&self, usage: &WireUsage, now: Instant) {
        if !self.is_active() || usage.shares.is_empty() {
            return;
        }
        let mut usage = usage.clone();
        usage.totals = std::mem::take(&mut usage.shares);
        usage.totals.retain(is_plausible);
        let now = self.since_start(now);
        self.note_signals(&usage.totals, now);
        self.group_sums.borrow_mut().record_member(&usage, now);
    }

    /// Records what a group's leader reports.
    pub fn record_group_usage(&self, usage: &WireGroupUsage, now: Instant) {
        if !self.is_active() || usage.shares.is_empty() {
            return;
        }
        let now = self.since_start(now);
        self.note_signals(&usage.shares, now);
        let report = GroupReport {
            group: xxh3_64(usage.group.as_bytes()),
            leader: usage.incarnation,
            sent: usage.sent_ms.map(Duration::from_millis),
        };
        let mut reported = self.reported.borrow_mut();
        reported.apply(&usage.shares, report, now);
    }

    /// A report contains the signal of a service for a second after a gateway enforced shares of it.
    fn note_signals(&self, totals: &[WireTotals], now: Duration) {
        for totals in totals {
            let (service, tenant) = split(totals.tenant);
            if tenant != SIGNAL {
                continue;
            }
            self.exchange_until.set(now + EXCHANGE_FOR);
            if let Some(shares) = self.services.borrow_mut().get_mut(&service) {
                shares.record_reported_overload(now);
            }
        }
    }

    /// Queues a report of another group for the next report to the own group.
    pub fn queue_group_report(&self, usage: WireGroupUsage) {
        let mut queued = self.queued_reports.borrow_mut();
        if queued.len() < MAX_QUEUED_REPORTS {
            queued.push(usage);
        }
    }

    /// Returns the reports of other groups queued since the last call.
    pub fn take_queued_reports(&self) -> Vec<WireGroupUsage> {
        self.queued_reports.take()
    }
}
