//! The copy of one tenant's bucket at one daemon, and whether a request is admitted.
//!
//! Reads no clock: times are durations since any fixed moment of one steady clock.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use super::group_use::{ASSUMED_FOR, AVERAGING, GroupReport, GroupUse, SILENCE};
use super::usage::COUNTED_BACK;
use crate::configuration::Quota;
use crate::peers::message::WireTotals;

/// After this time what this daemon admitted is in the sums that it is told: two reports on the way, each gathered
/// for 50 ms, and the links.
pub const TOLD_AFTER: Duration = Duration::from_millis(250);

/// The share of the allowed overshoot by which the rate is exceeded; the rest is for what is admitted before the
/// daemons hear of a tenant that suddenly asks for more.
const OVERSHOOT_USED: f64 = 0.4;

/// The same for the slack, by which the burst is exceeded: requests come in lumps, and a tenant below its rate must
/// seldom be refused.
const SLACK_USED: f64 = 0.4;

/// The longest time after which a refused caller is told to come back.
const LATEST_RETURN: Duration = Duration::from_secs(5);

/// The shortest such time.
const EARLIEST_RETURN: Duration = Duration::from_millis(100);

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
pub enum Refused {
    /// The limit bears it later: about after this time.
    ForNow(Duration),
    /// It is larger than the limit ever bears.
    ForGood,
}

/// The copy of one tenant's bucket.
#[derive(Debug)]
pub struct TenantLimit {
    quota: Quota,
    tolerance: Tolerance,
    level: f64,
    filled_at: Duration,
    /// What this daemon admitted lately, which the sums of its group may not hold yet.
    untold: VecDeque<(Duration, f64)>,
    /// What it took out of the bucket itself, since nothing was heard of its group.
    taken: f64,
    own_group: u64,
    began: Duration,
    groups: HashMap<u64, GroupUse>,
}

impl TenantLimit {
    /// An empty bucket at `now`: a daemon that has just started can't know what was used before. A tenant below its
    /// rate is admitted all the same.
    pub fn new(quota: Quota, tolerance: Tolerance, now: Duration) -> Self {
        Self {
            quota,
            tolerance,
            level: 0.0,
            filled_at: now,
            untold: VecDeque::new(),
            taken: 0.0,
            own_group: 0,
            began: now,
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
        self.quota.per_second * (1.0 + self.tolerance.overshoot * OVERSHOOT_USED)
    }

    fn burst(&self) -> f64 {
        self.quota.burst + self.tolerance.slack * SLACK_USED
    }

    /// Takes in what a group used, as its leader tells at `now`; nothing where it told of other tenants only.
    pub fn hear(
        &mut self,
        now: Duration,
        own_group: u64,
        report: GroupReport,
        totals: Option<&WireTotals>,
    ) {
        self.own_group = own_group;
        self.fill(now);
        let is_early = now < self.began + COUNTED_BACK;
        let group = self.groups.entry(report.group).or_default();
        let is_first = group.is_unheard();
        let news = group.hear(now, &report, totals);
        // What was used before the bucket was there is not taken out of it.
        self.level -= if is_first && is_early { 0.0 } else { news };
        if report.group == own_group {
            self.level += std::mem::take(&mut self.taken);
        }
    }

    /// Fills the bucket up to `now`, and takes out what silent groups are taken to use.
    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.filled_at = self.filled_at.max(now);
        // What is not told yet is not taken out yet: it does not keep the bucket from being filled.
        let full = self.burst() + self.untold_sum();
        // Both went on at the same time: a daemon that stood still would else find the bucket full, then empty.
        let groups = self.groups.values_mut();
        let assumed: f64 = groups.map(|group| group.assume(now)).sum();
        self.level = (self.level + passed * self.rate() - assumed).min(full);
        self.forget_told(now);
    }

    fn untold_sum(&self) -> f64 {
        self.untold.iter().map(|(_, cost)| cost).sum()
    }

    /// Forgets what this daemon admitted and the sums of its group hold by now. Where nothing is heard of the group, it
    /// is taken out of the bucket here.
    fn forget_told(&mut self, now: Duration) {
        let own_group = self.groups.get(&self.own_group);
        let heard_at = own_group.map_or(Duration::ZERO, GroupUse::heard_at);
        while let Some((at, cost)) = self.untold.front().copied() {
            if heard_at < at + TOLD_AFTER {
                if now < at + SILENCE {
                    break;
                }
                self.level -= cost;
                self.taken += cost;
            }
            self.untold.pop_front();
        }
    }

    /// The share of the limit that is for the groups heard of, where `known` are known of: a daemon that has just
    /// started and hears nothing of a group can't tell what is used there.
    fn heard_share(&self, now: Duration, known: usize) -> f64 {
        if now >= self.began + ASSUMED_FOR || known == 0 {
            return 1.0;
        }
        (self.groups.len().max(1) as f64 / known as f64).min(1.0)
    }

    /// What the limit bears at `now`, and what is asked for, both in units a second.
    fn bearing(&mut self, now: Duration, known_groups: usize) -> (f64, f64) {
        self.fill(now);
        let left = self.level - self.untold_sum();
        let bearable = self.rate() + left / AVERAGING.as_secs_f64();
        let bearable = bearable * self.heard_share(now, known_groups);
        let rates = self.groups.values().map(|group| group.asked_rate(now));
        (bearable, rates.sum())
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
    ) -> Result<(), Refused> {
        if cost > self.burst() {
            return Err(Refused::ForGood);
        }
        let (bearable, asked) = self.bearing(now, known_groups);
        let is_borne = bearable > 0.0 && draw * asked < bearable;
        if !is_borne {
            return Err(Refused::ForNow(self.bears_after(bearable, asked, draw)));
        }
        self.untold.push_back((now, cost));
        Ok(())
    }

    /// After which time the limit bears a request again, spread by `draw` from that to twice that: at most what
    /// is asked for beyond the limit has to wait.
    fn bears_after(&self, bearable: f64, asked: f64, draw: f64) -> Duration {
        let beyond = (asked - bearable).max(0.0) * AVERAGING.as_secs_f64();
        let wait = beyond / self.rate().max(1e-9) * (1.0 + draw);
        Duration::from_secs_f64(wait.min(LATEST_RETURN.as_secs_f64())).max(EARLIEST_RETURN)
    }

    /// What logs tell of the decision at `now`.
    pub fn describe(&mut self, now: Duration, known_groups: usize) -> String {
        let (bearable, asked) = self.bearing(now, known_groups);
        let heard = self.groups.values().map(GroupUse::heard_at).min();
        format!(
            "limit {}/s burst {}, asked {asked:.0}/s, bearable {bearable:.0}/s, oldest report {:?}",
            self.quota.per_second,
            self.quota.burst,
            heard.map(|at| now.saturating_sub(at))
        )
    }
}
