//! The versions of weights that the operator wants, and since when.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::protocol::ModelVersion;

/// Maximum number of versions per model whose age is remembered; older ones count as wanted since the oldest of these.
const MAX_VERSIONS: usize = 16;

/// A version is dropped if its successor was named this long before the newest version; well over the time within which all
/// replicas must have new weights.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// Minimum time before the deadline at which requests are no longer sent to older weights, if no longer wait is expected there.
const MIN_SENDING_MARGIN: Duration = Duration::from_millis(1500);

/// Maximum of that time, as a share of the deadline: replicas with older weights have to carry the traffic while others load,
/// and a request that does wait too long is withdrawn.
const MAX_SENDING_MARGIN_RATIO: f64 = 0.5;

/// Time before the deadline at which a request queued at a replica with older weights is withdrawn: the close of its
/// connection has to reach the replica, over a link that may lose a packet (retransmitted after 200 ms).
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(400);

/// A request sent to older weights within this time before the weights' deadline carries that deadline as its own, also if no
/// wait is expected: a quarter more than the longest wait observed at a replica without an estimate (1.97 s, operator's
/// record).
const MIN_DEADLINE_WINDOW: Duration = Duration::from_millis(2500);

/// The same time as a multiple of the expected wait: few requests wait longer than that.
const EXPECTED_WAIT_FACTOR: u32 = 2;

/// How much earlier than the weights' deadline such a request's deadline is: on its way the request may be delayed by CPU
/// throttling (a tenth of a second, operator's pages).
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// The time since which a version is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// The version was named at this time or later.
    Known(Instant),
    /// The version was named at an unknown time before this gateway's start; it counts from this time until another gateway
    /// reports the known time.
    Assumed(Instant),
}

impl Since {
    /// The time from which the version counts.
    pub fn moment(self) -> Instant {
        match self {
            Self::Known(moment) | Self::Assumed(moment) => moment,
        }
    }

    /// Whether the time of the naming is unknown.
    pub fn is_assumed(self) -> bool {
        matches!(self, Self::Assumed(_))
    }

    /// The same, with the time limited to `moment`.
    fn no_later_than(self, moment: Instant) -> Self {
        match self {
            Self::Known(known) => Self::Known(known.min(moment)),
            Self::Assumed(assumed) => Self::Assumed(assumed.min(moment)),
        }
    }
}

/// A version that is or was wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct WantedVersion {
    version: u64,
    since: Since,
}

impl WantedVersion {
    fn moment(self) -> Instant {
        self.since.moment()
    }
}

/// The wanted weights of all models.
///
/// Each version counts from the time it was named: if the next one is named before all replicas have the first, replicas with
/// weights older than the first still go out of use by the deadline of the first.
///
/// While the store is down, no replica can be ordered to load weights, so that time does not count.
#[derive(Debug, Default)]
pub struct WantedWeights {
    by_model: HashMap<String, Vec<WantedVersion>>,
    down_until: Option<Instant>,
}

impl WantedWeights {
    /// Records that `weights` are wanted since `since`; returns whether they are new and the newest. A known time is kept, and
    /// replaces an assumed one. A version that is reported after a newer one is inserted in order.
    pub fn add(&mut self, weights: &ModelVersion, since: Since) -> bool {
        let versions = self.by_model.entry(weights.model.clone()).or_default();
        let index = versions.partition_point(|known| known.version < weights.version);
        let existing = versions
            .get(index)
            .filter(|existing| existing.version == weights.version);
        let is_known = existing.is_some();
        if existing.is_some_and(|existing| !existing.since.is_assumed() || since.is_assumed()) {
            return false;
        }
        let next = versions.get(index + usize::from(is_known));
        let since = next.map_or(since, |next| since.no_later_than(next.moment()));
        if is_known {
            versions[index].since = since;
            return false;
        }
        let version = weights.version;
        versions.insert(index, WantedVersion { version, since });
        let is_newest = index + 1 == versions.len();
        prune_versions(versions);
        is_newest
    }

    /// The newest version of a model's weights.
    pub fn newest(&self, model: &str) -> Option<u64> {
        let versions = self.by_model.get(model)?;
        versions.last().map(|last| last.version)
    }

    /// The oldest remembered version that is newer than `version`.
    pub fn next_after(&self, model: &str, version: u64) -> Option<u64> {
        let versions = self.by_model.get(model)?;
        let newer = versions.iter().find(|wanted| wanted.version > version)?;
        Some(newer.version)
    }

    /// How long a version newer than `version` has been wanted.
    pub fn outdated_for(&self, model: &str, version: u64, now: Instant) -> Option<Duration> {
        let versions = self.by_model.get(model)?;
        let newer = versions.iter().find(|wanted| wanted.version > version)?;
        Some(now.saturating_duration_since(newer.moment()))
    }

    /// The same, not counting the time up to which the store was last known to be down for all.
    pub fn overdue_for(&self, model: &str, version: u64, now: Instant) -> Option<Duration> {
        let outdated_for = self.outdated_for(model, version, now)?;
        let since_down = self
            .down_until
            .map(|down| now.saturating_duration_since(down));
        Some(since_down.map_or(outdated_for, |since| since.min(outdated_for)))
    }

    /// Whether requests may still be sent to a replica with `version`. No request may start on it later than `deadline` after the
    /// naming of a newer version; a request is expected to be queued there for `expected_wait`.
    pub fn may_serve(
        &self,
        model: &str,
        version: u64,
        now: Instant,
        deadline: Duration,
        expected_wait: Duration,
    ) -> bool {
        let longest_margin = deadline.mul_f64(MAX_SENDING_MARGIN_RATIO);
        let margin = (expected_wait + WITHDRAWAL_MARGIN).min(longest_margin);
        let margin = margin.max(MIN_SENDING_MARGIN);
        self.overdue_for(model, version, now)
            .is_none_or(|age| age + margin < deadline)
    }

    /// How much longer requests may start on `version`, which ends `deadline` after the naming of a newer version; `None` if there
    /// is no newer one.
    fn time_left(
        &self,
        model: &str,
        version: u64,
        now: Instant,
        deadline: Duration,
    ) -> Option<Duration> {
        let age = self.overdue_for(model, version, now)?;
        Some(deadline.saturating_sub(age))
    }

    /// The time limit, in addition to the caller's, of a request sent to a replica with `version`, if it may be queued there until
    /// that version is too old; `None` if that is unlikely. Replicas also abort running requests when their time is over: with the
    /// limit on all requests, 1.9 in 100 more failed on days of overload (mean of nine runs).
    pub fn replica_time_limit(
        &self,
        model: &str,
        version: u64,
        now: Instant,
        deadline: Duration,
        expected_wait: Duration,
    ) -> Option<Duration> {
        let left = self.time_left(model, version, now, deadline)?;
        let longest_wait = MIN_DEADLINE_WINDOW.max(expected_wait * EXPECTED_WAIT_FACTOR);
        (left <= longest_wait).then(|| left.saturating_sub(DEADLINE_MARGIN))
    }

    /// How much longer a request may be queued at a replica with `version` before it is withdrawn.
    pub fn waiting_time_left(
        &self,
        model: &str,
        version: u64,
        now: Instant,
        deadline: Duration,
    ) -> Option<Duration> {
        let left = self.time_left(model, version, now, deadline)?;
        Some(left.saturating_sub(WITHDRAWAL_MARGIN))
    }

    /// Records that the store was down for all gateways at `at`.
    pub fn note_store_down(&mut self, at: Instant) {
        self.down_until = self.down_until.max(Some(at));
    }

    /// When the store was last known to be down for all gateways.
    pub fn last_store_down_at(&self) -> Option<Instant> {
        self.down_until
    }

    /// All remembered versions with the times since which they are wanted, older versions of a model first.
    pub fn all(&self) -> Vec<(ModelVersion, Since)> {
        let of_model = |model: &str, wanted: &WantedVersion| {
            let weights = ModelVersion {
                model: model.to_owned(),
                version: wanted.version,
            };
            (weights, wanted.since)
        };
        self.by_model
            .iter()
            .flat_map(|(model, versions)| versions.iter().map(|wanted| of_model(model, wanted)))
            .collect()
    }
}

/// Drops versions whose successors were named long before the newest version, and the oldest one beyond the limit.
fn prune_versions(versions: &mut Vec<WantedVersion>) {
    let Some(newest) = versions.last().map(|newest| newest.moment()) else {
        return;
    };
    while versions.len() > 1
        && newest.saturating_duration_since(versions[1].moment()) > VERSION_RETENTION
    {
        versions.remove(0);
    }
    if versions.len() > MAX_VERSIONS {
        // The second oldest version is assumed to be older than it is, which is the safe side.
        let oldest = versions.remove(0);
        versions[0].since = versions[0].since.no_later_than(oldest.moment());
    }
}
