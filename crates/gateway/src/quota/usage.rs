//! What tenants used, in totals that only rise: a report that is lost is made up for by the next.

use std::collections::{HashMap, VecDeque};
use std::time::Duration;

use crate::peers::message::{WireTotals, WireUsage};

/// For how long totals are told again after they have changed, since a report may be lost.
const TOLD_FOR: Duration = Duration::from_secs(1);

/// How far back one counts who hears of the sums of a leader for the first time. A leader that has just taken over began
/// with nothing, and is heard of within that time, so all that it counted counts.
pub const COUNTED_BACK: Duration = Duration::from_millis(500);

/// Totals of the past are kept apart that lie so far apart in time: the time between two reports.
const GRAIN: Duration = Duration::from_millis(50);

/// Totals of the past that are kept for one tenant; while a leader is silent for longer than they reach back, the oldest give way.
const MAX_PAST: usize = 40;

/// How much later than usual a report comes that is late. One of a member is of no use: its member was told by then that
/// another daemon leads, which has counted that. A daemon that stood still finds many such reports.
const LATE: Duration = Duration::from_millis(500);

/// For how long the usual time of reports holds: clocks drift apart by less than a millisecond in that time.
const USUAL_FOR: Duration = Duration::from_secs(10);

/// What one tenant used, in the unit of its limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Totals {
    /// What its requests asked for.
    pub asked: u64,
    /// What of that was admitted.
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

    /// The higher of both: totals only rise.
    pub(super) fn later(&self, other: &Self) -> Self {
        Self {
            asked: self.asked.max(other.asked),
            admitted: self.admitted.max(other.admitted),
        }
    }

    fn add(&mut self, more: &Self) {
        self.asked += more.asked;
        self.admitted += more.admitted;
    }
}

impl WireTotals {
    /// The totals.
    pub fn totals(&self) -> Totals {
        Totals {
            asked: self.asked,
            admitted: self.admitted,
        }
    }

    /// The totals from which one counts who was not told before.
    pub fn before(&self) -> Totals {
        Totals {
            asked: self.asked_before,
            admitted: self.admitted_before,
        }
    }
}

/// The totals of one tenant.
#[derive(Debug, Default)]
struct Counted {
    totals: Totals,
    changed_at: Duration,
    /// The totals from which one counts who was not told before.
    before: Totals,
    /// Earlier totals, each with the moment by which they had been reached, the latest last.
    past: VecDeque<(Duration, Totals)>,
}

impl Counted {
    fn add(&mut self, now: Duration, more: &Totals) {
        self.totals.add(more);
        self.changed_at = now;
        match self.past.back_mut() {
            Some((at, totals)) if now < *at + GRAIN => *totals = self.totals,
            _ => self.past.push_back((now + GRAIN, self.totals)),
        }
        if self.past.len() > MAX_PAST {
            self.past.pop_front();
        }
    }

    fn settle(&mut self, until: Duration) {
        while let Some((at, totals)) = self.past.front()
            && *at <= until
        {
            self.before = *totals;
            self.past.pop_front();
        }
    }
}

/// Totals by tenant.
#[derive(Debug, Default)]
pub struct TenantTotals {
    by_tenant: HashMap<u64, Counted>,
}

impl TenantTotals {
    /// Adds to the totals of `tenant` at `now`.
    pub fn add(&mut self, tenant: u64, now: Duration, more: &Totals) {
        self.by_tenant.entry(tenant).or_default().add(now, more);
    }

    /// From now on one who was not told before counts from what had been reached by `until`.
    pub fn settle(&mut self, until: Duration) {
        for counted in self.by_tenant.values_mut() {
            counted.settle(until);
        }
    }

    /// Those that changed lately.
    pub fn lately_changed(&self, now: Duration) -> Vec<WireTotals> {
        let all = self.by_tenant.iter();
        let lately = all.filter(|(_, counted)| now < counted.changed_at + TOLD_FOR);
        lately
            .map(|(tenant, counted)| WireTotals {
                tenant: *tenant,
                asked: counted.totals.asked,
                admitted: counted.totals.admitted,
                asked_before: counted.before.asked,
                admitted_before: counted.before.admitted,
            })
            .collect()
    }
}

/// The sums of a group, kept by its leader.
#[derive(Debug, Default)]
pub struct GroupUsage {
    /// The sums since this daemon began to keep them.
    pub sums: TenantTotals,
    members: HashMap<u64, Member>,
}

/// What a member told last.
#[derive(Debug, Default)]
struct Member {
    life: u64,
    totals: HashMap<u64, Totals>,
    delay: LeastDelay,
}

/// The least of the differences between another daemon's clock and this one's that its reports showed lately: that of a
/// report which came at once.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct LeastDelay {
    least: Option<i128>,
    least_before: Option<i128>,
    began: Duration,
}

impl LeastDelay {
    /// Whether a report that was told at `sent` and is taken in at `now` has come much later than others.
    pub(super) fn is_late(&mut self, sent: Duration, now: Duration) -> bool {
        let in_micros = |time: Duration| i128::try_from(time.as_micros()).unwrap_or(i128::MAX);
        let delay = in_micros(now) - in_micros(sent);
        let least = self.least.into_iter().chain(self.least_before).min();
        if now >= self.began + USUAL_FOR {
            self.least_before = self.least.take();
            self.began = now;
        }
        self.least = Some(self.least.unwrap_or(delay).min(delay));
        least.is_some_and(|least| delay > least + in_micros(LATE))
    }
}

impl GroupUsage {
    /// Adds what a member used since it told last, or since the sums of another leader held what it used.
    pub fn take(&mut self, usage: &WireUsage, now: Duration) {
        let member = self.members.entry(usage.daemon).or_default();
        if member.life != usage.life {
            *member = Member {
                life: usage.life,
                ..Member::default()
            };
        }
        let sent = usage.sent_ms.map(Duration::from_millis);
        if sent.is_some_and(|sent| member.delay.is_late(sent, now)) {
            return;
        }
        for wire in &usage.totals {
            let told = wire.totals();
            let known = member.totals.entry(wire.tenant).or_default();
            let earlier = known.later(&wire.before());
            *known = known.later(&told);
            let more = told.since(&earlier);
            if more != Totals::default() {
                self.sums.add(wire.tenant, now, &more);
            }
        }
    }
}
