//! The weights that the operator wants, and since when.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::protocol::ModelVersion;

/// Versions of one model whose age is remembered; older ones count as wanted since the oldest of these.
const MAX_VERSIONS: usize = 16;

/// How long before the newest version an older one must have been followed to be forgotten; well over the
/// time within which all replicas must have new weights.
const VERSION_RETENTION: Duration = Duration::from_secs(60);

/// How much sooner than allowed no request is sent to older weights, where no longer wait there is expected.
const MIN_SENDING_MARGIN: Duration = Duration::from_millis(1500);

/// The same where the longest waits are expected, as a part of the time allowed: replicas with older weights have
/// to bear the traffic while others load, and a request that does wait so long is withdrawn.
const MAX_SENDING_MARGIN_RATIO: f64 = 0.5;

/// How much sooner than allowed a request that waits at a replica with older weights is withdrawn: the close
/// of its connection has to reach the replica, over a link that may lose a packet (resent after 200 ms).
const WITHDRAWAL_MARGIN: Duration = Duration::from_millis(400);

/// How soon before the bound a request that is sent to older weights bears it as its deadline, also where no wait is expected:
/// a fourth more than the longest wait that was seen at a replica of which nothing was known (1.97 s, operator's record).
const MIN_DEADLINE_WINDOW: Duration = Duration::from_millis(2500);

/// The same as a multiple of the wait that is expected: few requests wait longer than that.
const EXPECTED_WAIT_FACTOR: u32 = 2;

/// How much sooner than the bound such a deadline passes: on its way the request may wait for a processor whose share is
/// spent (a tenth of a second, operator's pages).
const DEADLINE_MARGIN: Duration = Duration::from_millis(100);

/// Since when a version is wanted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Since {
    /// It was versions at this moment, or later.
    Known(Instant),
    /// It was versions at an unknown time before this daemon's start, and counts from this moment until somebody
    /// tells when it was.
    Assumed(Instant),
}

impl Since {
    /// The moment from which it counts.
    pub fn moment(self) -> Instant {
        match self {
            Self::Known(moment) | Self::Assumed(moment) => moment,
        }
    }

    /// Whether the time is unknown.
    pub fn is_assumed(self) -> bool {
        matches!(self, Self::Assumed(_))
    }

    /// The same as of an earlier moment, if `moment` is one.
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
/// Each version counts from the time it was versions: where one is followed by the next before it is
/// everywhere, replicas with still older weights are out of use by the time of the first.
///
/// While the store is down nobody can be ordered to load anything, so that time does not count.
#[derive(Debug, Default)]
pub struct WantedWeights {
    by_model: HashMap<String, Vec<WantedVersion>>,
    down_until: Option<Instant>,
}

impl WantedWeights {
    /// Takes in that `weights` are wanted since `since`; true where they are the newest. What is known of a
    /// version stays, and takes the place of what was assumed; one that was passed over, since a newer one was
    /// told first, takes its place.
    pub fn add(&mut self, weights: &ModelVersion, since: Since) -> bool {
        let versions = self.by_model.entry(weights.model.clone()).or_default();
        let place = versions.partition_point(|known| known.version < weights.version);
        let own = versions
            .get(place)
            .filter(|own| own.version == weights.version);
        let is_known = own.is_some();
        if own.is_some_and(|own| !own.since.is_assumed() || since.is_assumed()) {
            return false;
        }
        let next = versions.get(place + usize::from(is_known));
        let since = next.map_or(since, |next| since.no_later_than(next.moment()));
        if is_known {
            versions[place].since = since;
            return false;
        }
        let version = weights.version;
        versions.insert(place, WantedVersion { version, since });
        let is_newest = place + 1 == versions.len();
        prune_versions(versions);
        is_newest
    }

    /// The newest version of a model's weights.
    pub fn newest(&self, model: &str) -> Option<u64> {
        let versions = self.by_model.get(model)?;
        versions.last().map(|last| last.version)
    }

    /// The oldest version newer than `version` that is remembered.
    pub fn next_after(&self, model: &str, version: u64) -> Option<u64> {
        let versions = self.by_model.get(model)?;
        let newer = versions.iter().find(|wanted| wanted.version > version)?;
        Some(newer.version)
    }

    /// For how long a version newer than `version` has been wanted.
    pub fn outdated_for(&self, model: &str, version: u64, now: Instant) -> Option<Duration> {
        let versions = self.by_model.get(model)?;
        let newer = versions.iter().find(|wanted| wanted.version > version)?;
        Some(now.saturating_duration_since(newer.moment()))
    }

    /// The same, without the time up to which the store was last known to be down for all.
    pub fn overdue_for(&self, model: &str, version: u64, now: Instant) -> Option<Duration> {
        let outdated_for = self.outdated_for(model, version, now)?;
        let since_down = self
            .down_until
            .map(|down| now.saturating_duration_since(down));
        Some(since_down.map_or(outdated_for, |since| since.min(outdated_for)))
    }

    /// Whether requests may still be sent to a replica with `version`, where `deadline` after the naming of a
    /// newer one none may begin on it, and where they will wait for `expected_wait` before they begin.
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

    /// How much longer requests may begin on `version`, where `deadline` after the naming of a newer one none may;
    /// nothing where no newer one is versions.
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

    /// The time that a replica with `version` is given for a request, beside that of its caller, where the request may
    /// wait there until that version is too old; nothing where it hardly will. A replica also ends what runs when its time is
    /// over: with the bound on all requests, 1.9 in 100 more failed on days of overload (mean of nine plays).
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

    /// How much longer a request may wait at a replica with `version` before it is withdrawn.
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

    /// Takes in that the store was down for all at `at`.
    pub fn note_store_down(&mut self, at: Instant) {
        self.down_until = self.down_until.max(Some(at));
    }

    /// Up to when the store was last known to be down for all.
    pub fn last_store_down_at(&self) -> Option<Instant> {
        self.down_until
    }

    /// The versions of every model that are remembered, with since when they are wanted, older ones first.
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

/// Forgets versions that were followed long before the newest was versions, and those beyond the bound.
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
        // The second oldest is taken for older than it is, which is the safe side.
        let oldest = versions.remove(0);
        versions[0].since = versions[0].since.no_later_than(oldest.moment());
    }
}
