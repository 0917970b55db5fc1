//! Which daemon of each other group is sent what the group is to know.
//!
//! The daemon of another group that sent the last report leads it. Where nobody did for a while, the first few in rank are
//! tried in turn: the first may be gone for good, and only its own group finds that out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use super::directory::Directory;
use super::message::WireDaemon;

/// For how long the sender of a report is taken for the leader of its group. Reports come several times a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long one daemon of a group is tried that sends no reports.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(500);

/// How many of a group are tried in turn.
const MAX_CANDIDATES: u128 = 4;

/// The daemons of other groups that sent reports.
#[derive(Debug)]
pub struct Relays {
    created_at: Instant,
    last_reports: RefCell<HashMap<String, LastReport>>,
}

/// A report of another group.
#[derive(Debug)]
struct LastReport {
    /// The address of its sender.
    from: String,
    at: Instant,
}

impl Relays {
    /// Nothing was heard by `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            last_reports: RefCell::default(),
        }
    }

    /// Takes in that a report of the daemons of `zone` came from the address `from`.
    pub fn note(&self, zone: &str, from: String, now: Instant) {
        let mut last_reports = self.last_reports.borrow_mut();
        last_reports.insert(zone.to_owned(), LastReport { from, at: now });
    }

    /// Whom to send to, one address of each other group.
    pub fn targets(&self, directory: &Directory, now: Instant) -> Vec<String> {
        let last_reports = self.last_reports.borrow();
        let groups = directory.other_groups.iter();
        let target = |(zone, group): (&String, &Vec<WireDaemon>)| {
            let last = last_reports.get(zone);
            let since = last.map_or(self.created_at, |last| last.at);
            let silence = now.saturating_duration_since(since);
            match last.filter(|_| silence < LEADER_TIMEOUT) {
                Some(last) => Some(last.from.clone()),
                None => candidate(group, silence),
            }
        };
        groups.filter_map(target).collect()
    }
}

/// The address of the one of `group` that is tried after so long a silence.
fn candidate(group: &[WireDaemon], silence: Duration) -> Option<String> {
    let turn = silence.as_millis() / CANDIDATE_INTERVAL.as_millis() % MAX_CANDIDATES;
    // A turn is below the few that are tried, so it always fits.
    let index = usize::try_from(turn).unwrap_or(0) % group.len().max(1);
    group.get(index).map(|daemon| daemon.peers.clone())
}
