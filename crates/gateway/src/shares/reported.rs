//! What the groups of gateways reported of demand and use. Bounded in memory and in what a report can claim.

use std::collections::HashMap;
use std::time::Duration;

use super::key::{ALL_TENANTS, key, split};
use crate::peers::message::WireTotals;
use crate::quota::group_use::{GroupReport, ReportedUsage, SILENCE_TIMEOUT};

/// The maximum number of keys; further ones are ignored. It holds the largest tenants of several services.
const MAX_KEYS: usize = 4096;

/// Time after which a key that no report contains counts as unused. Reports repeat a total for 1 s after a change.
const ABSENT_AFTER: Duration = Duration::from_millis(1500);

/// Time after which such a key is forgotten: as for quotas, what a silent group used is assumed for 8 s.
const FORGET_AFTER: Duration = Duration::from_secs(10);

/// The largest total that a report can contain; larger ones are nonsense, and adding them up could overflow.
const MAX_TOTAL: u64 = 1 << 56;

/// Demand and use of one key, by group.
#[derive(Debug, Default)]
struct OfKey {
    groups: HashMap<u64, ReportedUsage>,
    seen_at: Duration,
}

/// All reported keys.
#[derive(Debug, Default)]
pub struct Reported {
    keys: HashMap<u64, OfKey>,
    forgotten_at: Duration,
}

/// Whether the totals can be true.
pub fn is_plausible(totals: &WireTotals) -> bool {
    totals.asked <= MAX_TOTAL && totals.admitted <= MAX_TOTAL
}

impl Reported {
    /// Applies a report of a group's leader that arrived at `now`.
    pub fn apply(&mut self, totals: &[WireTotals], report: GroupReport, now: Duration) {
        for totals in totals.iter().filter(|totals| is_plausible(totals)) {
            if self.keys.len() >= MAX_KEYS && !self.keys.contains_key(&totals.tenant) {
                continue;
            }
            let of_key = self.keys.entry(totals.tenant).or_default();
            of_key.seen_at = now;
            let group = of_key.groups.entry(report.group).or_default();
            group.apply_report(now, &report, Some(totals));
        }
        let absent = self
            .keys
            .values_mut()
            .filter(|of_key| now > of_key.seen_at + ABSENT_AFTER);
        for of_key in absent {
            if let Some(group) = of_key.groups.get_mut(&report.group) {
                group.apply_report(now, &report, None);
            }
        }
        if now > self.forgotten_at + ABSENT_AFTER {
            self.forgotten_at = now;
            self.keys
                .retain(|_, of_key| now < of_key.seen_at + FORGET_AFTER);
        }
    }

    /// Whether a group has reported anything of this service lately.
    pub fn is_live(&self, service: u16, group: u64, now: Duration) -> bool {
        let of_key = self.keys.get(&key(service, ALL_TENANTS));
        let group = of_key.and_then(|of_key| of_key.groups.get(&group));
        group.is_some_and(|group| now < group.reported_at() + SILENCE_TIMEOUT)
    }

    /// Demand and use of a key, per second.
    pub fn rates(&self, key: u64, now: Duration) -> (f64, f64) {
        self.keys
            .get(&key)
            .map_or((0.0, 0.0), |of_key| of_key.rates(now))
    }

    /// Demand of the tenants of a service.
    pub fn demands(&self, service: u16, now: Duration) -> impl Iterator<Item = (u64, f64)> {
        let of_service = self.keys.iter().filter_map(move |(key, of_key)| {
            let (of_service, tenant) = split(*key);
            (of_service == service).then_some((tenant, of_key))
        });
        of_service.map(move |(tenant, of_key)| (tenant, of_key.rates(now).0))
    }
}

impl OfKey {
    fn rates(&self, now: Duration) -> (f64, f64) {
        let sum = |rate: fn(&ReportedUsage, Duration) -> f64| {
            self.groups.values().map(|group| rate(group, now)).sum()
        };
        (
            sum(ReportedUsage::asked_rate),
            sum(ReportedUsage::admitted_rate),
        )
    }
}
