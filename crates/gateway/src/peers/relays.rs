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
const HEARD_FOR: Duration = Duration::from_millis(1500);

/// How long one daemon of a group is tried that sends no reports.
const TRIED_FOR: Duration = Duration::from_millis(500);

/// How many of a group are tried in turn.
const MOST_TRIED: u128 = 4;

/// The daemons of other groups that sent reports.
#[derive(Debug)]
pub struct Relays {
    began: Instant,
    heard: RefCell<HashMap<String, Heard>>,
}

/// A report of another group.
#[derive(Debug)]
struct Heard {
    /// The address of its sender.
    from: String,
    at: Instant,
}

impl Relays {
    /// Nothing was heard by `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            heard: RefCell::default(),
        }
    }

    /// Takes in that a report of the daemons of `zone` came from the address `from`.
    pub fn note(&self, zone: &str, from: String, now: Instant) {
        let mut heard = self.heard.borrow_mut();
        heard.insert(zone.to_owned(), Heard { from, at: now });
    }

    /// Whom to send to, one address of each other group.
    pub fn targets(&self, directory: &Directory, now: Instant) -> Vec<String> {
        let heard = self.heard.borrow();
        let groups = directory.other_groups.iter();
        let target = |(zone, group): (&String, &Vec<WireDaemon>)| {
            let last = heard.get(zone);
            let since = last.map_or(self.began, |last| last.at);
            let silence = now.saturating_duration_since(since);
            match last.filter(|_| silence < HEARD_FOR) {
                Some(last) => Some(last.from.clone()),
                None => tried(group, silence),
            }
        };
        groups.filter_map(target).collect()
    }
}

/// The address of the one of `group` that is tried after so long a silence.
fn tried(group: &[WireDaemon], silence: Duration) -> Option<String> {
    let turn = silence.as_millis() / TRIED_FOR.as_millis() % MOST_TRIED;
    // A turn is below the few that are tried, so it always fits.
    let place = usize::try_from(turn).unwrap_or(0) % group.len().max(1);
    group.get(place).map(|daemon| daemon.peers.clone())
}
