//! What a tenant used in one group of daemons, as the group's leaders tell.
//!
//! There may be two of them for a while: one that was silent, and wakes, and one that leads meanwhile. A member tells one of
//! them at a time, so each counts what it is told itself, and their reports are kept apart.
//!
//! Reads no clock: times are durations since any fixed moment of one steady clock.

use std::collections::HashMap;
use std::time::Duration;

use super::usage::{COUNTED_BACK, LeastDelay, Totals};
use crate::peers::message::WireTotals;

/// The time over which use is averaged, and over which what is left in the bucket is given out. It is well over the
/// time in which daemons hear of each other's use (some 100 ms), so that they don't swing.
pub(super) const AVERAGING: Duration = Duration::from_secs(1);

/// For how long a group that is not heard of is taken to use what it did. A machine that is cut off for longer can't
/// know that the keys of its tenants are still valid.
pub(super) const ASSUMED_FOR: Duration = Duration::from_secs(8);

/// The silence of a group from which on its use is assumed: its leader tells each 200 ms at the least.
pub(super) const SILENCE: Duration = Duration::from_millis(500);

/// How long after a group is heard again its reports make up for the silence: what a new leader was not told yet, or what
/// waited at this daemon while it stood still. What was assumed and is not reported by then was not used.
const MADE_UP_FOR: Duration = Duration::from_millis(250);

/// The shortest time, in seconds, over which a rate is taken: a single request in a shorter one would look like a rush.
const SHORTEST_TIME: f64 = 0.25;

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
struct LastReport {
    /// Nothing before it told of this tenant: what it has counted since it began is not known.
    totals: Option<Totals>,
    sent: Option<Duration>,
    heard_at: Duration,
    lately: Lately,
    delay: LeastDelay,
}

/// What was used lately, which counts the less the longer ago it was.
#[derive(Debug, Clone, Copy, Default)]
struct Lately {
    /// The time over which that was, in seconds.
    time: f64,
    asked: f64,
    admitted: f64,
}

impl Lately {
    /// Adds what was used in the time `passed`. It counts as if it had come evenly, so that a report that makes up for a
    /// silence is no rush.
    fn add(&mut self, passed: Duration, asked: f64, admitted: f64) {
        let passed = passed.as_secs_f64();
        let averaging = AVERAGING.as_secs_f64();
        let faded = (-passed / averaging).exp();
        let of_more = match passed > 0.0 {
            true => (1.0 - faded) * averaging / passed,
            false => 1.0,
        };
        self.time = self.time * faded + passed * of_more;
        self.asked = self.asked * faded + asked * of_more;
        self.admitted = self.admitted * faded + admitted * of_more;
    }

    /// Units a second that were asked for.
    fn asked_rate(&self) -> f64 {
        self.asked / self.time.max(SHORTEST_TIME)
    }

    /// Units a second that were admitted.
    fn admitted_rate(&self) -> f64 {
        self.admitted / self.time.max(SHORTEST_TIME)
    }
}

impl LastReport {
    /// Whether a report that was told at `sent` was told before one that is known. Reports overtake each other, and a
    /// daemon that stood still passes on old ones: their totals are lower, and would make the next ones count again.
    fn is_overtaken(&self, sent: Option<Duration>) -> bool {
        let both = sent.zip(self.sent);
        both.is_some_and(|(sent, known)| sent < known)
    }

    /// Whether a report that was told at `sent` and is taken in at `now` has waited somewhere: it says nothing of whether its
    /// leader still tells.
    fn is_late(&mut self, sent: Option<Duration>, now: Duration) -> bool {
        sent.is_some_and(|sent| self.delay.is_late(sent, now))
    }

    /// Takes in totals that were told at `sent` and heard at `now`, or that nothing more was used; what was admitted beyond
    /// those before. Rates are of the leader's time: reports that waited somewhere come together.
    fn hear(&mut self, now: Duration, sent: Option<Duration>, told: Option<&WireTotals>) -> f64 {
        let more = told.map_or_else(Totals::default, |told| {
            let earlier = self.totals.unwrap_or_else(|| told.before());
            self.totals = Some(earlier.later(&told.totals()));
            told.totals().since(&earlier)
        });
        let (asked, admitted) = (more.asked as f64, more.admitted as f64);
        let told_since = sent.zip(self.sent);
        let passed = told_since.map_or_else(
            || now.saturating_sub(self.heard_at),
            |(sent, before)| sent.saturating_sub(before),
        );
        self.lately.add(passed, asked, admitted);
        self.sent = sent;
        self.heard_at = now;
        admitted
    }

    /// One that was not heard before, as if it had told some time ago of what one counts from. It has taken over the members
    /// of another one, of whose use `lately` tells.
    fn begin(now: Duration, sent: Option<Duration>, lately: Lately) -> Self {
        Self {
            totals: None,
            sent: sent.map(|sent| sent.saturating_sub(COUNTED_BACK)),
            heard_at: now.saturating_sub(COUNTED_BACK),
            lately,
            delay: LeastDelay::default(),
        }
    }
}

/// What a tenant used in one group.
#[derive(Debug, Default)]
pub struct GroupUse {
    /// What each leader told, by its life.
    leaders: HashMap<u64, LastReport>,
    heard_at: Duration,
    /// What is taken to have been admitted while nothing was heard and was not reported since, and up to when.
    assumed: f64,
    assumed_until: Duration,
    /// When the group was heard again after a silence.
    heard_again_at: Duration,
    /// Whether the reports since then tell of all that was used in the silence: a leader that was not heard before
    /// may have begun after it.
    is_made_up_for: bool,
}

impl GroupUse {
    /// Whether nothing was heard of the group yet.
    pub fn is_unheard(&self) -> bool {
        self.leaders.is_empty()
    }

    /// When the group was last heard.
    pub fn heard_at(&self) -> Duration {
        self.heard_at
    }

    /// Takes in totals at `now`, or that nothing more was used; returns what was admitted beyond what is known or was assumed.
    pub fn hear(&mut self, now: Duration, report: &GroupReport, told: Option<&WireTotals>) -> f64 {
        let known = self.leaders.get(&report.leader).copied();
        if known.is_some_and(|leader| leader.is_overtaken(report.sent)) {
            return 0.0;
        }
        let mut leader =
            known.unwrap_or_else(|| LastReport::begin(now, report.sent, self.take_over()));
        // One that waited here while this daemon stood still does not end a silence: its leader may be gone by now.
        let is_late = leader.is_late(report.sent, now);
        let heard_at = if is_late { leader.heard_at } else { now };
        let admitted = leader.hear(now, report.sent, told);
        leader.heard_at = heard_at;
        self.leaders.insert(report.leader, leader);
        self.leaders
            .retain(|_, leader| now < leader.heard_at + ASSUMED_FOR);
        if !is_late {
            self.note_heard(now, known.is_some());
        }
        let was_assumed = admitted.min(self.assumed);
        self.assumed -= was_assumed;
        admitted - was_assumed
    }

    /// Takes in that the group is heard at `now`, by a leader that is known or by another one.
    fn note_heard(&mut self, now: Duration, is_known: bool) {
        if now > self.heard_at + SILENCE {
            self.heard_again_at = now;
            self.is_made_up_for = true;
        }
        self.is_made_up_for &= is_known;
        self.heard_at = now;
        self.assumed_until = now;
    }

    /// What the members used lately of the leader that was heard last, and that another one leads now.
    fn take_over(&mut self) -> Lately {
        let leaders = self.leaders.values_mut();
        let latest = leaders.max_by_key(|leader| leader.heard_at);
        latest.map_or_else(Lately::default, |leader| std::mem::take(&mut leader.lately))
    }

    /// What is taken to have been admitted since the last call, where the group is silent at `now`; less than nothing where
    /// it was heard again, and more was assumed than it reported.
    pub fn assume(&mut self, now: Duration) -> f64 {
        let is_heard = now < self.heard_at + SILENCE;
        if is_heard && now >= self.heard_again_at + MADE_UP_FOR {
            let unused = std::mem::take(&mut self.assumed);
            return if self.is_made_up_for { -unused } else { 0.0 };
        }
        let last = self.heard_at + ASSUMED_FOR;
        let from = self.assumed_until.max(self.heard_at + SILENCE);
        let until = now.min(last);
        if until <= from {
            return 0.0;
        }
        let rate = self.sum_of(now, Lately::admitted_rate);
        let assumed = rate * (until - from).as_secs_f64();
        self.assumed_until = until;
        self.assumed += assumed;
        assumed
    }

    /// Units a second that are asked for; while the group is silent, what was asked for before.
    pub fn asked_rate(&self, now: Duration) -> f64 {
        match now < self.heard_at + ASSUMED_FOR {
            true => self.sum_of(now, Lately::asked_rate),
            false => 0.0,
        }
    }

    /// A sum over the leaders that tell; one that fell silent before the others has no members any more.
    fn sum_of(&self, now: Duration, rate: impl Fn(&Lately) -> f64) -> f64 {
        let tells_until = now.min(self.heard_at);
        let telling = self
            .leaders
            .values()
            .filter(|leader| tells_until < leader.heard_at + SILENCE);
        telling.map(|leader| rate(&leader.lately)).sum()
    }
}
