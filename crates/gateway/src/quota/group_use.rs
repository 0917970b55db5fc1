//! What a tenant used in one group of gateways, as reported by the leaders of the group.
//!
//! Two gateways may act as leader for a while: one that was frozen and has resumed, and its successor. A
//! member reports to one leader at a time, so each leader counts only what it received itself, and the
//! reports of the two are kept apart.
//!
//! This module reads no clock: all times are durations since a fixed instant of one monotonic clock.

use std::collections::HashMap;
use std::time::Duration;

use super::usage::{BASELINE_LOOKBACK, MinDelay, Totals};
use crate::peers::message::WireTotals;

/// The window over which usage rates are averaged, and over which tokens left in the bucket are spent. It is
/// well above the time that gateways need to learn of each other's usage (about 100 ms), which keeps the rates
/// from oscillating.
pub(crate) const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// How long a group that sends no reports is assumed to keep its last usage rate. A machine that is cut off
/// for longer can't verify that its tenants' keys are still valid, and so admits nothing.
pub(super) const ASSUMED_USAGE_WINDOW: Duration = Duration::from_secs(8);

/// The time without reports after which the usage of a group is assumed: its leader reports at least every
/// 200 ms.
pub(crate) const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after a silence the reports of a group may still account for usage during it: a new leader may
/// not have all members' reports yet, and reports may have waited at this gateway while its process stood
/// still. Assumed usage that is not reported by then did not happen.
const CATCH_UP_WINDOW: Duration = Duration::from_millis(250);

/// The shortest time, in seconds, over which a rate is computed: over a shorter one a single request would
/// look like a burst.
const MIN_RATE_SECONDS: f64 = 0.25;

/// The origin of a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupReport {
    /// The digest of the group's name.
    pub group: u64,
    /// The incarnation of the leader that sent the report.
    pub leader: u64,
    /// When it was sent, by the leader's clock.
    pub sent: Option<Duration>,
}

/// The last report of one leader, and when it arrived.
#[derive(Debug, Clone, Copy, Default)]
struct LeaderUsage {
    /// `None` until the leader has reported this tenant: what it counted since it started is unknown.
    totals: Option<Totals>,
    sent: Option<Duration>,
    reported_at: Duration,
    usage: DecayingUsage,
    delay: MinDelay,
}

/// Recent usage, weighted by an exponential decay over time.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingUsage {
    /// The decayed time that the usage covers, in seconds.
    seconds: f64,
    asked: f64,
    admitted: f64,
}

impl DecayingUsage {
    /// Adds what was used during `passed`. The usage counts as evenly spread over that time, so that a report
    /// that covers a silence does not look like a burst.
    fn add(&mut self, passed: Duration, asked: f64, admitted: f64) {
        let passed = passed.as_secs_f64();
        let averaging = AVERAGING_WINDOW.as_secs_f64();
        let decay = (-passed / averaging).exp();
        let gain = match passed > 0.0 {
            true => (1.0 - decay) * averaging / passed,
            false => 1.0,
        };
        self.seconds = self.seconds * decay + passed * gain;
        self.asked = self.asked * decay + asked * gain;
        self.admitted = self.admitted * decay + admitted * gain;
    }

    /// Requested units per second.
    fn asked_rate(&self) -> f64 {
        self.asked / self.seconds.max(MIN_RATE_SECONDS)
    }

    /// Admitted units per second.
    fn admitted_rate(&self) -> f64 {
        self.admitted / self.seconds.max(MIN_RATE_SECONDS)
    }
}

impl LeaderUsage {
    /// Whether a report sent at `sent` is older than one already applied. Datagrams may be reordered, and a
    /// gateway whose process stood still forwards old reports. Their totals are lower, so applying them would
    /// count the next ones again.
    fn is_out_of_order(&self, sent: Option<Duration>) -> bool {
        let both = sent.zip(self.sent);
        both.is_some_and(|(sent, known)| sent < known)
    }

    /// Whether a report sent at `sent` and received at `now` was held up on its way: it does not show that
    /// its leader still reports.
    fn is_delayed(&mut self, sent: Option<Duration>, now: Duration) -> bool {
        sent.is_some_and(|sent| self.delay.is_delayed(sent, now))
    }

    /// Applies totals sent at `sent` and received at `now`, or `None` if nothing more was used; returns what
    /// was admitted beyond the previous totals. Rates use the leader's clock, since delayed reports arrive
    /// together.
    fn apply_report(
        &mut self,
        now: Duration,
        sent: Option<Duration>,
        report_totals: Option<&WireTotals>,
    ) -> f64 {
        let increase = report_totals.map_or_else(Totals::default, |report_totals| {
            let earlier = self.totals.unwrap_or_else(|| report_totals.baseline());
            self.totals = Some(earlier.max_with(&report_totals.totals()));
            report_totals.totals().since(&earlier)
        });
        let (asked, admitted) = (increase.asked as f64, increase.admitted as f64);
        let send_times = sent.zip(self.sent);
        let passed = send_times.map_or_else(
            || now.saturating_sub(self.reported_at),
            |(sent, before)| sent.saturating_sub(before),
        );
        self.usage.add(passed, asked, admitted);
        self.sent = sent;
        self.reported_at = now;
        admitted
    }

    /// A leader without earlier reports, as if it had reported its baseline some time ago. It has taken over
    /// the members of another leader; `usage` is their recent usage.
    fn new(now: Duration, sent: Option<Duration>, usage: DecayingUsage) -> Self {
        Self {
            totals: None,
            sent: sent.map(|sent| sent.saturating_sub(BASELINE_LOOKBACK)),
            reported_at: now.saturating_sub(BASELINE_LOOKBACK),
            usage,
            delay: MinDelay::default(),
        }
    }
}

/// What a tenant used in one group.
#[derive(Debug, Default)]
pub struct ReportedUsage {
    /// The state of each leader, by its incarnation.
    leaders: HashMap<u64, LeaderUsage>,
    reported_at: Duration,
    /// What is assumed to have been admitted during a silence and not reported since; `assumed_until` is the
    /// end of the time that it covers.
    assumed: f64,
    assumed_until: Duration,
    /// When reports resumed after a silence.
    resumed_at: Duration,
    /// Whether the reports since then cover all usage during the silence. A leader without earlier reports
    /// may have started after it.
    has_complete_reports: bool,
}

impl ReportedUsage {
    /// Whether no report of the group has arrived yet.
    pub fn has_no_reports(&self) -> bool {
        self.leaders.is_empty()
    }

    /// When the last report of the group arrived.
    pub fn reported_at(&self) -> Duration {
        self.reported_at
    }

    /// Applies totals received at `now`, or `None` if nothing more was used; returns what was admitted beyond
    /// what was known or assumed.
    pub fn apply_report(
        &mut self,
        now: Duration,
        report: &GroupReport,
        report_totals: Option<&WireTotals>,
    ) -> f64 {
        let known = self.leaders.get(&report.leader).copied();
        if known.is_some_and(|leader| leader.is_out_of_order(report.sent)) {
            return 0.0;
        }
        let mut leader = known.unwrap_or_else(|| {
            LeaderUsage::new(now, report.sent, self.take_usage_of_last_leader())
        });
        // A report that waited here while this process stood still does not end a silence: its leader may be
        // gone by now.
        let is_delayed = leader.is_delayed(report.sent, now);
        let reported_at = if is_delayed { leader.reported_at } else { now };
        let admitted = leader.apply_report(now, report.sent, report_totals);
        leader.reported_at = reported_at;
        self.leaders.insert(report.leader, leader);
        self.leaders
            .retain(|_, leader| now < leader.reported_at + ASSUMED_USAGE_WINDOW);
        if !is_delayed {
            self.note_report(now, known.is_some());
        }
        let already_assumed = admitted.min(self.assumed);
        self.assumed -= already_assumed;
        admitted - already_assumed
    }

    /// Records that the group has reported at `now`; `is_known` tells whether that leader had reported
    /// before.
    fn note_report(&mut self, now: Duration, is_known: bool) {
        if now > self.reported_at + SILENCE_TIMEOUT {
            self.resumed_at = now;
            self.has_complete_reports = true;
        }
        self.has_complete_reports &= is_known;
        self.reported_at = now;
        self.assumed_until = now;
    }

    /// Takes the recent usage from the leader that reported last, whose members another leader has taken
    /// over.
    fn take_usage_of_last_leader(&mut self) -> DecayingUsage {
        let leaders = self.leaders.values_mut();
        let latest = leaders.max_by_key(|leader| leader.reported_at);
        latest.map_or_else(DecayingUsage::default, |leader| {
            std::mem::take(&mut leader.usage)
        })
    }

    /// Returns what is assumed to have been admitted since the last call if the group is silent at `now`. The
    /// result is negative once the group reports again and reported less than was assumed.
    pub fn assume_usage(&mut self, now: Duration) -> f64 {
        let is_reporting = now < self.reported_at + SILENCE_TIMEOUT;
        if is_reporting && now >= self.resumed_at + CATCH_UP_WINDOW {
            let unused = std::mem::take(&mut self.assumed);
            return if self.has_complete_reports {
                -unused
            } else {
                0.0
            };
        }
        let assumed_end = self.reported_at + ASSUMED_USAGE_WINDOW;
        let from = self.assumed_until.max(self.reported_at + SILENCE_TIMEOUT);
        let until = now.min(assumed_end);
        if until <= from {
            return 0.0;
        }
        let rate = self.sum_rates(now, DecayingUsage::admitted_rate);
        let assumed = rate * (until - from).as_secs_f64();
        self.assumed_until = until;
        self.assumed += assumed;
        assumed
    }

    /// Requested units per second; during a silence, the rate before it.
    pub fn asked_rate(&self, now: Duration) -> f64 {
        match now < self.reported_at + ASSUMED_USAGE_WINDOW {
            true => self.sum_rates(now, DecayingUsage::asked_rate),
            false => 0.0,
        }
    }

    /// Admitted units per second; during a silence, the rate before it.
    pub fn admitted_rate(&self, now: Duration) -> f64 {
        match now < self.reported_at + ASSUMED_USAGE_WINDOW {
            true => self.sum_rates(now, DecayingUsage::admitted_rate),
            false => 0.0,
        }
    }

    /// Sums a rate over the leaders that still report; a leader that fell silent before the others has no
    /// members any more.
    fn sum_rates(&self, now: Duration, rate: impl Fn(&DecayingUsage) -> f64) -> f64 {
        let latest_report = now.min(self.reported_at);
        let reporting = self
            .leaders
            .values()
            .filter(|leader| latest_report < leader.reported_at + SILENCE_TIMEOUT);
        reporting.map(|leader| rate(&leader.usage)).sum()
    }
}
