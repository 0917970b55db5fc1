//! Chooses the gateway of each other group that receives messages for the group.
//!
//! The gateway of another group that sent the last report is its leader. If none did for a while, the first few in rank
//! are tried in turn: the first may be gone for good, and only its own group would find out.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use super::directory::Directory;
use super::message::WireDaemon;

/// How long the sender of a report is assumed to be the leader of its group. Reports arrive several times a second.
const LEADER_TIMEOUT: Duration = Duration::from_millis(1500);

/// How long one candidate of a group is tried without reports.
const CANDIDATE_INTERVAL: Duration = Duration::from_millis(500);

/// The number of candidates of a group that are tried in turn.
const MAX_CANDIDATES: u128 = 4;

/// The senders of the last reports of other groups.
#[derive(Debug)]
pub struct Relays {
    created_at: Instant,
    last_reports: RefCell<HashMap<String, LastReport>>,
}

/// The last report of another group.
#[derive(Debug)]
struct LastReport {
    /// The address of its sender.
    from: String,
    at: Instant,
}

impl Relays {
    /// No reports had arrived by `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            created_at: now,
            last_reports: RefCell::default(),
        }
    }

    /// Records that a report of the group `zone` came from the address `from`.
    pub fn record_report(&self, zone: &str, from: String, now: Instant) {
        let mut last_reports = self.last_reports.borrow_mut();
        last_reports.insert(zone.to_owned(), LastReport { from, at: now });
    }

    /// The receivers' addresses, one for each other group.
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

/// The address of the candidate of `group` after this time without reports.
fn candidate(group: &[WireDaemon], silence: Duration) -> Option<String> {
    let turn = silence.as_millis() / CANDIDATE_INTERVAL.as_millis() % MAX_CANDIDATES;
    // A turn is below [`MAX_CANDIDATES`], so it always fits.
    let index = usize::try_from(turn).unwrap_or(0) % group.len().max(1);
    group.get(index).map(|daemon| daemon.peers.clone())
}
