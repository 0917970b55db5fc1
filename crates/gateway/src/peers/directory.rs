//! The known gateways, in the order in which they take roles.
//!
//! All gateways rank each other alike: those with more capacity come first, equal ones by the hash of their names.
//! Hundreds of gateways are ranked once per change of a gateway, not per datagram.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64;

use super::message::WireDaemon;

/// The maximum number of gateways that form a single group regardless of their zones; more are grouped by zone.
const MAX_SINGLE_GROUP: usize = 16;

/// The known gateways.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    /// The number of gateways, including this one.
    pub count: usize,
    /// The name of the own group: its zone if there are several groups, otherwise empty.
    pub group_name: String,
    /// The own group by rank, including this gateway.
    pub group: Vec<WireDaemon>,
    /// The other groups by zone, each by rank.
    pub other_groups: BTreeMap<String, Vec<WireDaemon>>,
}

impl Directory {
    /// Ranks `daemons` from the point of view of `own`, which may be among them.
    pub fn new(daemons: &[WireDaemon], own: &WireDaemon) -> Self {
        let others = daemons.iter().filter(|daemon| daemon.name != own.name);
        let mut ranked: Vec<WireDaemon> = others.cloned().collect();
        ranked.push(own.clone());
        ranked.sort_by_cached_key(rank);
        let count = ranked.len();
        let is_one_group = count <= MAX_SINGLE_GROUP;
        let group_name = match is_one_group {
            true => String::new(),
            false => own.zone.clone(),
        };
        let mut directory = Self {
            count,
            group_name,
            ..Self::default()
        };
        for daemon in ranked {
            match is_one_group || daemon.zone == own.zone {
                true => directory.group.push(daemon),
                false => {
                    let zone = daemon.zone.clone();
                    directory.other_groups.entry(zone).or_default().push(daemon);
                }
            }
        }
        directory
    }

    /// All gateways, including this one.
    pub fn all(&self) -> impl Iterator<Item = &WireDaemon> {
        let others = self.other_groups.values().flatten();
        self.group.iter().chain(others)
    }

    /// The gateways with the highest weights, at most `count`, the highest first.
    pub fn highest(&self, count: usize, weight: impl Fn(&WireDaemon) -> u64) -> Vec<&WireDaemon> {
        let mut highest: Vec<(u64, &WireDaemon)> = Vec::with_capacity(count + 1);
        for daemon in self.all() {
            let weight = weight(daemon);
            let position = highest.partition_point(|(known, _)| *known >= weight);
            highest.insert(position, (weight, daemon));
            highest.truncate(count);
        }
        highest.into_iter().map(|(_, daemon)| daemon).collect()
    }

    /// The first gateway of every other group, by rank.
    pub fn first_of_other_groups(&self) -> Vec<WireDaemon> {
        let groups = self.other_groups.values();
        let mut first: Vec<WireDaemon> =
            groups.filter_map(|group| group.first().cloned()).collect();
        first.sort_by_cached_key(rank);
        first
    }
}

/// Whether `one` ranks before `other`.
pub fn ranks_before(one: &WireDaemon, other: &WireDaemon) -> bool {
    rank(one) < rank(other)
}

/// The digest by which gateways identify each other in reports.
pub fn name_digest(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// A short form of [`name_digest`], for uses in which a collision does little harm.
pub fn short_digest(name: &str) -> u32 {
    name_digest(name) as u32
}

/// The sort key of the ranking.
fn rank(daemon: &WireDaemon) -> (std::cmp::Reverse<u32>, u64, String) {
    let hash = name_digest(&daemon.name);
    (
        std::cmp::Reverse(daemon.capacity),
        hash,
        daemon.name.clone(),
    )
}
