//! The copy of one tenant's bucket at one daemon, and whether a request is admitted.
//!
//! Reads no clock: times are durations since any fixed moment of one steady clock.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::group_use::{
    ASSUMED_USAGE_WINDOW, AVERAGING_WINDOW, GroupReport, ReportedUsage, SILENCE_TIMEOUT,
};
use super::usage::BASELINE_LOOKBACK;
use crate::configuration::Quota;
use crate::peers::message::WireTotals;

/// After this time what this daemon admitted is in the sums that it is told: two reports on the way, each gathered
/// for 50 ms, and the links.
pub const REPORT_LATENCY: Duration = Duration::from_millis(250);

/// The share of the allowed overshoot by which the rate is exceeded; the rest is for what is admitted before the
/// daemons hear of a tenant that suddenly asks for more.
const OVERSHOOT_SHARE: f64 = 0.4;

/// The same for the slack, by which the burst is exceeded: requests come in lumps, and a tenant below its rate must
/// seldom be refused.
const SLACK_SHARE: f64 = 0.4;

/// The longest time after which a refused caller is told to come back.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The shortest such time.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How far a tenant's use may exceed its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// As a share of the limit.
    pub overshoot: f64,
    /// Beyond that in each window, in the unit of the limit.
    pub slack: f64,
}

/// Why a request is beyond its tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaExceeded {
    /// The limit bears it later: about after this time.
    RetryAfter(Duration),
    /// It is larger than the limit ever bears.
    ExceedsBurst,
}

/// The copy of one tenant's bucket.
#[derive(Debug)]
pub struct TenantLimit {
    quota: Quota,
    tolerance: Tolerance,
    level: f64,
    refilled_at: Duration,
    /// What this daemon admitted lately, which the sums of its group may not hold yet.
    unreported: VecDeque<(Duration, f64)>,
    /// What it took out of the bucket itself, since nothing was heard of its group.
    deducted: f64,
    own_group: u64,
    created_at: Duration,
    groups: HashMap<u64, ReportedUsage>,
}

impl TenantLimit {
    /// An empty bucket at `now`: a daemon that has just started can't know what was used before. A tenant below its
    /// rate is admitted all the same.
    pub fn new(quota: Quota, tolerance: Tolerance, now: Duration) -> Self {
        Self {
            quota,
            tolerance,
            level: 0.0,
            refilled_at: now,
            unreported: VecDeque::new(),
            deducted: 0.0,
            own_group: 0,
            created_at: now,
            groups: HashMap::new(),
        }
    }

    /// Puts another limit into force.
    pub fn set(&mut self, quota: Quota, tolerance: Tolerance) {
        self.quota = quota;
        self.tolerance = tolerance;
        self.level = self.level.min(self.burst());
    }

    fn rate(&self) -> f64 {
        self.quota.per_second * (1.0 + self.tolerance.overshoot * OVERSHOOT_SHARE)
    }

    fn burst(&self) -> f64 {
        self.quota.burst + self.tolerance.slack * SLACK_SHARE
    }

    /// Takes in what a group used, as its leader tells at `now`; nothing where it told of other tenants only.
    pub fn apply_report(
        &mut self,
        now: Duration,
        own_group: u64,
        report: GroupReport,
        totals: Option<&WireTotals>,
    ) {
        self.own_group = own_group;
        self.refill(now);
        let is_early = now < self.created_at + BASELINE_LOOKBACK;
        let group = self.groups.entry(report.group).or_default();
        let is_first = group.has_no_reports();
        let admitted = group.apply_report(now, &report, totals);
        // What was used before the bucket was there is not taken out of it.
        self.level -= if is_first && is_early { 0.0 } else { admitted };
        if report.group == own_group {
            self.level += std::mem::take(&mut self.deducted);
        }
    }

    /// Fills the bucket up to `now`, and takes out what silent groups are taken to use.
    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        // What is not told yet is not taken out yet: it does not keep the bucket from being filled.
        let full = self.burst() + self.unreported_sum();
        // Both went on at the same time: a daemon that stood still would else find the bucket full, then empty.
        let groups = self.groups.values_mut();
        let assumed: f64 = groups.map(|group| group.assume_usage(now)).sum();
        self.level = (self.level + passed * self.rate() - assumed).min(full);
        self.settle_reported(now);
    }

    fn unreported_sum(&self) -> f64 {
        self.unreported.iter().map(|(_, cost)| cost).sum()
    }

    /// Forgets what this daemon admitted and the sums of its group hold by now. Where nothing is heard of the group, it
    /// is taken out of the bucket here.
    fn settle_reported(&mut self, now: Duration) {
        let own_group = self.groups.get(&self.own_group);
        let reported_at = own_group.map_or(Duration::ZERO, ReportedUsage::reported_at);
        while let Some((at, cost)) = self.unreported.front().copied() {
            if reported_at < at + REPORT_LATENCY {
                if now < at + SILENCE_TIMEOUT {
                    break;
                }
                self.level -= cost;
                self.deducted += cost;
            }
            self.unreported.pop_front();
        }
    }

    /// The share of the limit that is for the groups heard of, where `known` are known of: a daemon that has just
    /// started and hears nothing of a group can't tell what is used there.
    fn reporting_share(&self, now: Duration, known: usize) -> f64 {
        if now >= self.created_at + ASSUMED_USAGE_WINDOW || known == 0 {
            return 1.0;
        }
        (self.groups.len().max(1) as f64 / known as f64).min(1.0)
    }

    /// What the limit bears at `now`, and what is asked for, both in units a second.
    fn capacity_and_demand(&mut self, now: Duration, known_groups: usize) -> (f64, f64) {
        self.refill(now);
        let left = self.level - self.unreported_sum();
        let capacity = self.rate() + left / AVERAGING_WINDOW.as_secs_f64();
        let capacity = capacity * self.reporting_share(now, known_groups);
        let rates = self.groups.values().map(|group| group.asked_rate(now));
        (capacity, rates.sum())
    }

    /// Decides on a request of `cost` at `now`, where so many groups of daemons are known; `draw` is random from 0
    /// to 1.
    ///
    /// # Errors
    ///
    /// Why it is beyond the limit.
    pub fn admit(
        &mut self,
        now: Duration,
        cost: f64,
        known_groups: usize,
        draw: f64,
    ) -> Result<(), QuotaExceeded> {
        if cost > self.burst() {
            return Err(QuotaExceeded::ExceedsBurst);
        }
        let (capacity, asked) = self.capacity_and_demand(now, known_groups);
        let is_within_limit = capacity > 0.0 && draw * asked < capacity;
        if !is_within_limit {
            return Err(QuotaExceeded::RetryAfter(
                self.retry_after(capacity, asked, draw),
            ));
        }
        self.unreported.push_back((now, cost));
        Ok(())
    }

    /// After which time the limit bears a request again, spread by `draw` from that to twice that: at most what
    /// is asked for beyond the limit has to wait.
    fn retry_after(&self, capacity: f64, asked: f64, draw: f64) -> Duration {
        let excess = (asked - capacity).max(0.0) * AVERAGING_WINDOW.as_secs_f64();
        let wait = excess / self.rate().max(1e-9) * (1.0 + draw);
        Duration::from_secs_f64(wait.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }

    /// What logs tell of the decision at `now`.
    pub fn describe(&mut self, now: Duration, known_groups: usize) -> String {
        let (capacity, asked) = self.capacity_and_demand(now, known_groups);
        let oldest_report_at = self.groups.values().map(ReportedUsage::reported_at).min();
        format!(
            "limit {}/s burst {}, asked {asked:.0}/s, available {capacity:.0}/s, oldest report {:?}",
            self.quota.per_second,
            self.quota.burst,
            oldest_report_at.map(|at| now.saturating_sub(at))
        )
    }
}
