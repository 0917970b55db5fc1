//! The software versions of each service that were in use lately.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use driftspring_clock::Instant;

use crate::protocol::SoftwareVersion;

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

#[derive(Debug, Default)]
struct ServiceVersions {
    listed: VersionSet,
    /// Versions that are not listed any more, with the time until which they were, the latest last.
    former: Vec<(Option<SoftwareVersion>, Instant)>,
}

impl ServiceVersions {
    fn versions(&self, now: Instant) -> Versions {
        let is_recent = |until: &Instant| now.saturating_duration_since(*until) < VERSION_RETENTION;
        let former = self.former.iter().filter(|(_, until)| is_recent(until));
        let mut all: VersionSet = former.map(|(version, _)| *version).collect();
        all.extend(&self.listed);
        let mut all = all.into_iter();
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
        let excess = self.former.len().saturating_sub(MAX_FORMER_VERSIONS);
        self.former.drain(..excess);
        self.listed = listed;
    }
}

/// The versions by service.
#[derive(Debug, Default)]
pub struct VersionHistory {
    services: HashMap<u64, ServiceVersions>,
}

impl VersionHistory {
    /// Applies the versions of the replicas that are listed now, by the digest of their service's name. Returns the
    /// services of which a single version was in use before, and several are now.
    pub fn update(&mut self, mut listed: HashMap<u64, VersionSet>, now: Instant) -> Vec<u64> {
        for service in listed.keys() {
            self.services.entry(*service).or_default();
        }
        let mut diverged = Vec::new();
        for (service, versions) in &mut self.services {
            let before = versions.versions(now);
            versions.update(listed.remove(service).unwrap_or_default(), now);
            let is_several = versions.versions(now) == Versions::Several;
            if is_several && matches!(before, Versions::One(_)) {
                diverged.push(*service);
            }
        }
        let is_known = |versions: &ServiceVersions| versions.versions(now) != Versions::None;
        self.services.retain(|_, versions| is_known(versions));
        diverged
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
}
