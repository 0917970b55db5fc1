//! One gateway's copy of a tenant's token bucket, and the decision whether to admit a request.
//!
//! This module reads no clock: all times are durations since a fixed instant of one monotonic clock.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::group_use::{
    ASSUMED_USAGE_WINDOW, AVERAGING_WINDOW, GroupReport, ReportedUsage, SILENCE_TIMEOUT,
};
use super::usage::BASELINE_LOOKBACK;
use crate::configuration::Quota;
use crate::peers::message::WireTotals;

/// The time after which the sums reported to this gateway include what it admitted itself: two reports, each
/// batched for 50 ms, and the network latency.
pub const REPORT_LATENCY: Duration = Duration::from_millis(250);

/// The share of the tolerated overshoot by which the refill rate exceeds the limit; the rest covers what is
/// admitted before all gateways know that a tenant's demand has risen.
const OVERSHOOT_SHARE: f64 = 0.4;

/// The share of the tolerated slack by which the burst is raised: requests arrive in clusters, and a tenant
/// below its rate must rarely be refused.
const SLACK_SHARE: f64 = 0.4;

/// The upper bound of the retry delay of a refused caller.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// The lower bound of that delay.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// How far a tenant's usage may exceed its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Tolerance {
    /// As a share of the limit.
    pub overshoot: f64,
    /// In addition to that in each window, in the unit of the limit.
    pub slack: f64,
}

/// Why a request exceeds its tenant's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum QuotaExceeded {
    /// The limit is used up; a retry after about this time can succeed.
    RetryAfter(Duration),
    /// The request is larger than the burst and is never admitted.
    ExceedsBurst,
}

/// This gateway's copy of one tenant's token bucket.
#[derive(Debug)]
pub struct TenantLimit {
    quota: Quota,
    tolerance: Tolerance,
    level: f64,
    refilled_at: Duration,
    /// Costs of recently admitted requests, with their times, that the sums of this gateway's group may not
    /// include yet.
    unreported: VecDeque<(Duration, f64)>,
    /// What this gateway took out of the bucket itself because its group did not report.
    deducted: f64,
    own_group: u64,
    created_at: Duration,
    groups: HashMap<u64, ReportedUsage>,
}

impl TenantLimit {
    /// An empty bucket at `now`: a gateway that has just started can't know the previous usage. A tenant below
    /// its rate is admitted regardless.
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

    /// Replaces the limit.
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

    /// Applies a report of a group's leader that arrives at `now`; `totals` is `None` if it does not contain
    /// this tenant.
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
        // Usage before this bucket existed is not taken out of it.
        self.level -= if is_first && is_early { 0.0 } else { admitted };
        if report.group == own_group {
            self.level += std::mem::take(&mut self.deducted);
        }
    }

    /// Refills the bucket up to `now`, and takes out the assumed usage of silent groups.
    fn refill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = self.refilled_at.max(now);
        // Unreported costs are not taken out of the level yet, so the level may exceed the burst by them.
        let full = self.burst() + self.unreported_sum();
        // Refill and assumed usage are applied together, since they covered the same time. Otherwise a gateway
        // whose process stood still would first find the bucket full and then empty.
        let groups = self.groups.values_mut();
        let assumed: f64 = groups.map(|group| group.assume_usage(now)).sum();
        self.level = (self.level + passed * self.rate() - assumed).min(full);
        self.settle_reported(now);
    }

    fn unreported_sum(&self) -> f64 {
        self.unreported.iter().map(|(_, cost)| cost).sum()
    }

    /// Drops costs that the sums of this gateway's group include by now. If the group does not report, the
    /// costs are taken out of the bucket here.
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

    /// The share of the limit that belongs to the groups with reports, out of `known` groups: a gateway that
    /// has just started and has no report of a group can't know its usage.
    fn reporting_share(&self, now: Duration, known: usize) -> f64 {
        if now >= self.created_at + ASSUMED_USAGE_WINDOW || known == 0 {
            return 1.0;
        }
        (self.groups.len().max(1) as f64 / known as f64).min(1.0)
    }

    /// What the limit can admit at `now`, and what is requested, both in units per second.
    fn capacity_and_demand(&mut self, now: Duration, known_groups: usize) -> (f64, f64) {
        self.refill(now);
        let remaining = self.level - self.unreported_sum();
        let capacity = self.rate() + remaining / AVERAGING_WINDOW.as_secs_f64();
        let capacity = capacity * self.reporting_share(now, known_groups);
        let rates = self.groups.values().map(|group| group.asked_rate(now));
        (capacity, rates.sum())
    }

    /// Decides whether to admit a request of `cost` at `now`. `known_groups` is the number of known groups of
    /// gateways; `draw` is a random number from 0 to 1.
    ///
    /// # Errors
    ///
    /// Why the request exceeds the limit.
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

    /// The time after which the limit can admit a request again, spread by `draw` up to twice that time: at
    /// most the demand beyond the limit has to wait.
    fn retry_after(&self, capacity: f64, asked: f64, draw: f64) -> Duration {
        let excess = (asked - capacity).max(0.0) * AVERAGING_WINDOW.as_secs_f64();
        let wait = excess / self.rate().max(1e-9) * (1.0 + draw);
        Duration::from_secs_f64(wait.min(MAX_RETRY_AFTER.as_secs_f64())).max(MIN_RETRY_AFTER)
    }

    /// Describes the state at `now` for the log line of a decision.
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
