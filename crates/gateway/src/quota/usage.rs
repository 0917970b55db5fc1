//! The usage of tenants as running totals, which only grow: the next report makes up for a lost one.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::peers::message::{WireTotals, WireUsage};

/// How long totals are repeated after a change, since a report may be lost.
const REPORT_REPEAT_WINDOW: Duration = Duration::from_secs(1);

/// How far back a receiver counts on the first report of a leader. A new leader starts with empty sums and
/// its first report arrives within that time, so all that it has counted is included.
pub const BASELINE_LOOKBACK: Duration = Duration::from_millis(500);

/// The interval between snapshots of past totals: the interval between two reports.
const SNAPSHOT_INTERVAL: Duration = Duration::from_millis(50);

/// The maximum number of snapshots kept for one tenant; the oldest are dropped if a leader is silent for
/// longer than they cover.
const MAX_SNAPSHOTS: usize = 40;

/// The delay beyond the usual one above which a report is late. A late report of a member is useless: by then
/// the member was told that another gateway leads, which has counted that usage. A gateway whose process stood
/// still finds many such reports.
const LATE_THRESHOLD: Duration = Duration::from_millis(500);

/// How long a minimum delay is remembered: clocks drift apart by less than a millisecond in that time.
const MIN_DELAY_WINDOW: Duration = Duration::from_secs(10);

/// The usage of one tenant, in the unit of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// What its requests asked for.
    pub asked: u64,
    /// What was admitted of that.
    pub admitted: u64,
}

impl Totals {
    /// What was asked for and admitted since `earlier`.
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            asked: self.asked.saturating_sub(earlier.asked),
            admitted: self.admitted.saturating_sub(earlier.admitted),
        }
    }

    /// The larger value of each total, since totals only grow.
    pub(super) fn max_with(&self, other: &Self) -> Self {
        Self {
            asked: self.asked.max(other.asked),
            admitted: self.admitted.max(other.admitted),
        }
    }

    fn add(&mut self, more: &Self) {
        self.asked = self.asked.saturating_add(more.asked);
        self.admitted = self.admitted.saturating_add(more.admitted);
    }
}

impl WireTotals {
    /// The totals, without the baseline.
    pub fn totals(&self) -> Totals {
        Totals {
            asked: self.asked,
            admitted: self.admitted,
        }
    }

    /// The totals from which a new receiver of the reports counts.
    pub fn baseline(&self) -> Totals {
        Totals {
            asked: self.asked_before,
            admitted: self.admitted_before,
        }
    }
}

/// The running totals of one tenant.
#[derive(Debug, Default)]
struct TenantCounter {
    totals: Totals,
    changed_at: Duration,
    /// The totals from which a new receiver of the reports counts.
    baseline: Totals,
    /// Earlier totals, each with the time by which they had been reached, in order of time.
    snapshots: VecDeque<(Duration, Totals)>,
}

impl TenantCounter {
    fn add(&mut self, now: Duration, more: &Totals) {
        self.totals.add(more);
        self.changed_at = now;
        match self.snapshots.back_mut() {
            Some((at, totals)) if now < *at + SNAPSHOT_INTERVAL => *totals = self.totals,
            _ => self
                .snapshots
                .push_back((now + SNAPSHOT_INTERVAL, self.totals)),
        }
        if self.snapshots.len() > MAX_SNAPSHOTS {
            self.snapshots.pop_front();
        }
    }

    fn advance_baseline(&mut self, until: Duration) {
        while let Some((at, totals)) = self.snapshots.front()
            && *at <= until
        {
            self.baseline = *totals;
            self.snapshots.pop_front();
        }
    }
}

/// Running totals by tenant.
#[derive(Debug, Default)]
pub struct TenantTotals {
    by_tenant: HashMap<u64, TenantCounter>,
    /// Where new counters start: no dropped counter had reached more, so that receivers never see a total fall.
    floor: Totals,
}

impl TenantTotals {
    /// Adds to the totals of `tenant` at `now`.
    pub fn add(&mut self, tenant: u64, now: Duration, more: &Totals) {
        let floor = self.floor;
        let new = || TenantCounter {
            totals: floor,
            baseline: floor,
            ..TenantCounter::default()
        };
        self.by_tenant
            .entry(tenant)
            .or_insert_with(new)
            .add(now, more);
    }

    /// Drops the counters that have not changed for `age`.
    pub fn drop_idle(&mut self, now: Duration, age: Duration) {
        let floor = &mut self.floor;
        self.by_tenant.retain(|_, counter| {
            let is_recent = now < counter.changed_at + age;
            if !is_recent {
                *floor = floor.max_with(&counter.totals);
            }
            is_recent
        });
    }

    /// Moves the baseline of new receivers to the totals reached by `until`.
    pub fn advance_baseline(&mut self, until: Duration) {
        for counter in self.by_tenant.values_mut() {
            counter.advance_baseline(until);
        }
    }

    /// Returns the totals that changed recently.
    pub fn recently_changed(&self, now: Duration) -> Vec<WireTotals> {
        let all = self.by_tenant.iter();
        let recent = all.filter(|(_, counter)| now < counter.changed_at + REPORT_REPEAT_WINDOW);
        recent
            .map(|(tenant, counter)| WireTotals {
                tenant: *tenant,
                asked: counter.totals.asked,
                admitted: counter.totals.admitted,
                asked_before: counter.baseline.asked,
                admitted_before: counter.baseline.admitted,
            })
            .collect()
    }
}

/// The sums of a group, kept by its leader.
#[derive(Debug, Default)]
pub struct GroupSums {
    /// The sums since this gateway started to keep them.
    pub totals: TenantTotals,
    members: HashMap<u64, Member>,
}

/// The last report of a member.
#[derive(Debug, Default)]
struct Member {
    incarnation: u64,
    totals: HashMap<u64, Totals>,
    delay: MinDelay,
}

/// The minimum difference between another gateway's clock and this one's over its recent reports, which
/// belongs to a report that arrived without delay.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct MinDelay {
    min: Option<i128>,
    previous_min: Option<i128>,
    window_start: Duration,
}

impl MinDelay {
    /// Whether a report sent at `sent` and received at `now` arrived much later than others.
    pub(super) fn is_delayed(&mut self, sent: Duration, now: Duration) -> bool {
        let in_micros = |time: Duration| i128::try_from(time.as_micros()).unwrap_or(i128::MAX);
        let delay = in_micros(now) - in_micros(sent);
        let min = self.min.into_iter().chain(self.previous_min).min();
        if now >= self.window_start + MIN_DELAY_WINDOW {
            self.previous_min = self.min.take();
            self.window_start = now;
        }
        self.min = Some(self.min.unwrap_or(delay).min(delay));
        min.is_some_and(|min| delay > min + in_micros(LATE_THRESHOLD))
    }
}

impl GroupSums {
    /// Drops the counters that have not changed for `age`, and the members' totals if there are more than
    /// `max_totals`: their next reports are counted from their baselines.
    pub fn drop_idle(&mut self, now: Duration, age: Duration, max_totals: usize) {
        self.totals.drop_idle(now, age);
        let known: usize = self
            .members
            .values()
            .map(|member| member.totals.len())
            .sum();
        if known > max_totals {
            self.members.clear();
        }
    }

    /// Adds what a member used since its last report, or since the sums of another leader included its usage.
    pub fn record_member(&mut self, usage: &WireUsage, now: Duration) {
        let member = self.members.entry(usage.daemon).or_default();
        if member.incarnation != usage.incarnation {
            *member = Member {
                incarnation: usage.incarnation,
                ..Member::default()
            };
        }
        let sent = usage.sent_ms.map(Duration::from_millis);
        if sent.is_some_and(|sent| member.delay.is_delayed(sent, now)) {
            return;
        }
        for wire in &usage.totals {
            let reported = wire.totals();
            let known = member.totals.entry(wire.tenant).or_default();
            let earlier = known.max_with(&wire.baseline());
            *known = known.max_with(&reported);
            let more = reported.since(&earlier);
            if more != Totals::default() {
                self.totals.add(wire.tenant, now, &more);
            }
        }
    }
}
