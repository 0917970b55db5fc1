//! The software versions of each service that were in use lately, and how far back they are known.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use driftspring_clock::Instant;

use crate::peers::view::MAX_INTERRUPTION;
use crate::protocol::{SoftwareVersion, VersionRecord};

/// How long a version counts as in use after its last replica was listed: streams that began at it may still be taken up.
/// Longer than the time limit of requests that state none.
pub const VERSION_RETENTION: Duration = Duration::from_secs(660);

/// Limit of the remembered former versions of a service.
const MAX_FORMER_VERSIONS: usize = 64;

/// The versions of a service that were in use lately.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Versions {
    /// No replica was listed.
    None,
    /// Only this one.
    One(SoftwareVersion),
    /// Several, or some whose names are unknown.
    Several,
}

/// Versions of replicas; `None` for unknown ones.
pub type VersionSet = BTreeSet<Option<SoftwareVersion>>;

/// How far back something is known.
#[derive(Debug, Clone, Copy)]
struct Reach {
    at: Instant,
    /// How far it reaches back from `at`.
    span: Duration,
}

impl Reach {
    fn whole(at: Instant) -> Self {
        Self {
            at,
            span: VERSION_RETENTION,
        }
    }

    fn span(self, now: Instant) -> Duration {
        self.span + now.saturating_duration_since(self.at)
    }
}

#[derive(Debug, Default)]
struct ServiceVersions {
    listed: VersionSet,
    /// Versions that are not listed any more, with the time until which they were, the latest last.
    former: Vec<(Option<SoftwareVersion>, Instant)>,
    /// How far back a complete record in the store reaches.
    recorded: Option<Reach>,
}

impl ServiceVersions {
    /// All versions that were in use lately.
    fn in_use(&self, now: Instant) -> VersionSet {
        let is_recent = |until: &Instant| now.saturating_duration_since(*until) < VERSION_RETENTION;
        let former = self.former.iter().filter(|(_, until)| is_recent(until));
        let mut all: VersionSet = former.map(|(version, _)| *version).collect();
        all.extend(&self.listed);
        all
    }

    fn versions(&self, now: Instant) -> Versions {
        let mut all = self.in_use(now).into_iter();
        match (all.next(), all.next()) {
            (None, _) => Versions::None,
            (Some(Some(version)), None) => Versions::One(version),
            _ => Versions::Several,
        }
    }

    fn update(&mut self, listed: VersionSet, now: Instant) {
        for gone in self.listed.difference(&listed) {
            self.former.retain(|(version, _)| version != gone);
            self.former.push((*gone, now));
        }
        self.listed = listed;
        self.drop_excess();
    }

    /// Adds a version of a record. It counts as in use until now, unless this gateway itself saw when it left and has
    /// watched the replicas since.
    fn add_recorded(
        &mut self,
        version: SoftwareVersion,
        watched_since: Option<Instant>,
        now: Instant,
    ) {
        let version = Some(version);
        let mut former = self.former.iter();
        let known = former.find(|(known, _)| *known == version);
        let was_watched =
            known.is_some_and(|(_, until)| watched_since.is_some_and(|since| since <= *until));
        if self.listed.contains(&version) || was_watched {
            return;
        }
        self.former.retain(|(known, _)| *known != version);
        self.former.push((version, now));
        self.drop_excess();
    }

    fn drop_excess(&mut self) {
        let excess = self.former.len().saturating_sub(MAX_FORMER_VERSIONS);
        self.former.drain(..excess);
    }
}

/// The versions by service.
///
/// Absence of a version proves only that it was not in use since a time: that from which on this gateway has watched the
/// replicas, or from which on a record that the store keeps is complete. See [`VersionHistory::span`].
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<u64, ServiceVersions>,
    /// The start of the whole system: no replica was in use before.
    first_start: Option<Reach>,
    /// Counts the changes of listed versions.
    changes: u64,
}

impl VersionHistory {
    /// Records that this gateway starts together with the whole system for the first time.
    pub fn set_first_start(&mut self, now: Instant) {
        self.first_start = Some(Reach::whole(now));
    }

    /// The number of changes of listed versions so far.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    /// Applies the versions of the replicas that are listed now, by the digest of their service's name. Returns the
    /// services of which a single version was in use before, and several are now.
    pub fn update(&mut self, mut listed: HashMap<u64, VersionSet>, now: Instant) -> Vec<u64> {
        for service in listed.keys() {
            self.services.entry(*service).or_default();
        }
        let mut diverged = Vec::new();
        for (service, versions) in &mut self.services {
            let before = versions.versions(now);
            let listed = listed.remove(service).unwrap_or_default();
            self.changes += u64::from(versions.listed != listed);
            versions.update(listed, now);
            if has_diverged(before, versions.versions(now)) {
                diverged.push(*service);
            }
        }
        let is_known = |versions: &ServiceVersions| versions.versions(now) != Versions::None;
        self.services.retain(|_, versions| is_known(versions));
        diverged
    }

    /// Applies the record of a service that was read at `read_at`. `is_proof` says whether the read shows the newest one.
    /// Returns whether a single version was in use before, and several are now.
    pub fn apply_record(
        &mut self,
        service: u64,
        record: &VersionRecord,
        is_proof: bool,
        watched_since: Option<Instant>,
        read_at: Instant,
    ) -> bool {
        let versions = self.services.entry(service).or_default();
        let before = versions.versions(read_at);
        for version in &record.versions {
            versions.add_recorded(*version, watched_since, read_at);
        }
        if record.is_complete && is_proof {
            versions.recorded = Some(Reach::whole(read_at));
        }
        has_diverged(before, versions.versions(read_at))
    }

    /// The versions of a service that were in use lately.
    pub fn versions(&self, service: u64, now: Instant) -> Versions {
        let known = self.services.get(&service);
        known.map_or(Versions::None, |versions| versions.versions(now))
    }

    /// The version of a service if no other one was in use lately.
    pub fn sole(&self, service: u64, now: Instant) -> Option<SoftwareVersion> {
        match self.versions(service, now) {
            Versions::One(version) => Some(version),
            Versions::None | Versions::Several => None,
        }
    }

    /// All versions of a service that were in use lately; `None` for unknown ones.
    pub fn in_use(&self, service: u64, now: Instant) -> VersionSet {
        let known = self.services.get(&service);
        known.map_or_else(VersionSet::new, |versions| versions.in_use(now))
    }

    /// How far back from `now` all versions of a service are known, up to the present view of a gateway that has watched the
    /// replicas without an interruption since `watched_since`.
    pub fn span(&self, service: u64, watched_since: Option<Instant>, now: Instant) -> Duration {
        let Some(watched_since) = watched_since else {
            return Duration::ZERO;
        };
        let watched = now.saturating_duration_since(watched_since);
        let recorded = self.services.get(&service).and_then(|known| known.recorded);
        let reaches = [recorded, self.first_start].into_iter().flatten();
        let joined = reaches.filter(|reach| watched_since <= reach.at + MAX_INTERRUPTION);
        let longest = joined.map(|reach| reach.span(now)).max();
        longest.unwrap_or_default().max(watched)
    }
}

fn has_diverged(before: Versions, after: Versions) -> bool {
    matches!(before, Versions::One(_)) && after == Versions::Several
}
