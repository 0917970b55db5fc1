//! What a tenant used in one group of daemons, as the group's leaders tell.
//!
//! There may be two of them for a while: one that was silent, and wakes, and one that leads meanwhile. A member tells one of
//! them at a time, so each counts what it is told itself, and their reports are kept apart.
//!
//! Reads no clock: times are durations since any fixed moment of one steady clock.

use std::collections::HashMap;
use std::time::Duration;

use super::usage::{BASELINE_LOOKBACK, MinDelay, Totals};
use crate::peers::message::WireTotals;

/// The time over which use is averaged, and over which what is left in the bucket is given out. It is well over the
/// time in which daemons hear of each other's use (some 100 ms), so that they don't swing.
pub(super) const AVERAGING_WINDOW: Duration = Duration::from_secs(1);

/// For how long a group that is not heard of is taken to use what it did. A machine that is cut off for longer can't
/// know that the keys of its tenants are still valid.
pub(super) const ASSUMED_USAGE_WINDOW: Duration = Duration::from_secs(8);

/// The silence of a group from which on its use is assumed: its leader tells each 200 ms at the least.
pub(super) const SILENCE_TIMEOUT: Duration = Duration::from_millis(500);

/// How long after a group is heard again its reports make up for the silence: what a new leader was not told yet, or what
/// waited at this daemon while it stood still. What was assumed and is not reported by then was not used.
const CATCH_UP_WINDOW: Duration = Duration::from_millis(250);

/// The shortest time, in seconds, over which a rate is taken: a single request in a shorter one would look like a rush.
const MIN_RATE_SECONDS: f64 = 0.25;

/// Where a report comes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GroupReport {
    /// The digest of the group's name.
    pub group: u64,
    /// The life of the leader that tells.
    pub leader: u64,
    /// When it told, by its own clock.
    pub sent: Option<Duration>,
}

/// What one leader told last, and when.
#[derive(Debug, Clone, Copy, Default)]
struct LeaderUsage {
    /// Nothing before it told of this tenant: what it has counted since it began is not known.
    totals: Option<Totals>,
    sent: Option<Duration>,
    reported_at: Duration,
    usage: DecayingUsage,
    delay: MinDelay,
}

/// What was used lately, which counts the less the longer ago it was.
#[derive(Debug, Clone, Copy, Default)]
struct DecayingUsage {
    /// The time over which that was, in seconds.
    seconds: f64,
    asked: f64,
    admitted: f64,
}

impl DecayingUsage {
    /// Adds what was used in the time `passed`. It counts as if it had come evenly, so that a report that makes up for a
    /// silence is no rush.
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

    /// Units a second that were asked for.
    fn asked_rate(&self) -> f64 {
        self.asked / self.seconds.max(MIN_RATE_SECONDS)
    }

    /// Units a second that were admitted.
    fn admitted_rate(&self) -> f64 {
        self.admitted / self.seconds.max(MIN_RATE_SECONDS)
    }
}

impl LeaderUsage {
    /// Whether a report that was told at `sent` was told before one that is known. Reports overtake each other, and a
    /// daemon that stood still passes on old ones: their totals are lower, and would make the next ones count again.
    fn is_out_of_order(&self, sent: Option<Duration>) -> bool {
        let both = sent.zip(self.sent);
        both.is_some_and(|(sent, known)| sent < known)
    }

    /// Whether a report that was told at `sent` and is taken in at `now` has waited somewhere: it says nothing of whether its
    /// leader still tells.
    fn is_delayed(&mut self, sent: Option<Duration>, now: Duration) -> bool {
        sent.is_some_and(|sent| self.delay.is_delayed(sent, now))
    }

    /// Takes in totals that were told at `sent` and heard at `now`, or that nothing more was used; what was admitted beyond
    /// those before. Rates are of the leader's time: reports that waited somewhere come together.
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
        let previous_sent = sent.zip(self.sent);
        let passed = previous_sent.map_or_else(
            || now.saturating_sub(self.reported_at),
            |(sent, before)| sent.saturating_sub(before),
        );
        self.usage.add(passed, asked, admitted);
        self.sent = sent;
        self.reported_at = now;
        admitted
    }

    /// One that was not heard before, as if it had told some time ago of what one counts from. It has taken over the members
    /// of another one, of whose use `usage` tells.
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
    /// What each leader told, by its life.
    leaders: HashMap<u64, LeaderUsage>,
    reported_at: Duration,
    /// What is taken to have been admitted while nothing was heard and was not reported since, and up to when.
    assumed: f64,
    assumed_until: Duration,
    /// When the group was heard again after a silence.
    resumed_at: Duration,
    /// Whether the reports since then tell of all that was used in the silence: a leader that was not heard before
    /// may have begun after it.
    has_complete_reports: bool,
}

impl ReportedUsage {
    /// Whether nothing was heard of the group yet.
    pub fn has_no_reports(&self) -> bool {
        self.leaders.is_empty()
    }

    /// When the group was last heard.
    pub fn reported_at(&self) -> Duration {
        self.reported_at
    }

    /// Takes in totals at `now`, or that nothing more was used; returns what was admitted beyond what is known or was assumed.
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
        // One that waited here while this daemon stood still does not end a silence: its leader may be gone by now.
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

    /// Takes in that the group is heard at `now`, by a leader that is known or by another one.
    fn note_report(&mut self, now: Duration, is_known: bool) {
        if now > self.reported_at + SILENCE_TIMEOUT {
            self.resumed_at = now;
            self.has_complete_reports = true;
        }
        self.has_complete_reports &= is_known;
        self.reported_at = now;
        self.assumed_until = now;
    }

    /// What the members used lately of the leader that was heard last, and that another one leads now.
    fn take_usage_of_last_leader(&mut self) -> DecayingUsage {
        let leaders = self.leaders.values_mut();
        let latest = leaders.max_by_key(|leader| leader.reported_at);
        latest.map_or_else(DecayingUsage::default, |leader| {
            std::mem::take(&mut leader.usage)
        })
    }

    /// What is taken to have been admitted since the last call, where the group is silent at `now`; less than nothing where
    /// it was heard again, and more was assumed than it reported.
    pub fn assume_usage(&mut self, now: Duration) -> f64 {
        let is_heard = now < self.reported_at + SILENCE_TIMEOUT;
        if is_heard && now >= self.resumed_at + CATCH_UP_WINDOW {
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

    /// Units a second that are asked for; while the group is silent, what was asked for before.
    pub fn asked_rate(&self, now: Duration) -> f64 {
        match now < self.reported_at + ASSUMED_USAGE_WINDOW {
            true => self.sum_rates(now, DecayingUsage::asked_rate),
            false => 0.0,
        }
    }

    /// A sum over the leaders that tell; one that fell silent before the others has no members any more.
    fn sum_rates(&self, now: Duration, rate: impl Fn(&DecayingUsage) -> f64) -> f64 {
        let latest_report = now.min(self.reported_at);
        let reporting = self
            .leaders
            .values()
            .filter(|leader| latest_report < leader.reported_at + SILENCE_TIMEOUT);
        reporting.map(|leader| rate(&leader.usage)).sum()
    }
}
