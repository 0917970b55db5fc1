//! Which daemons count the strikes of a request.
//!
//! A request comes to any daemon, and its strikes are seen by those that had it open. Were they told to all, a crash of
//! a seventh of 600 replicas would be told 380 times over. So a few daemons, which every daemon chooses alike, count for
//! each request, and tell all once there is something to tell.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Fingerprint, Role};
use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::WireDaemon;

/// Daemons that count for one request: two may be gone, cut off or frozen.
const HOMES: usize = 3;

/// How long after it came up a record is left to the daemons before this one in rank to be written: one of them that is
/// there writes it, and tells all, within some ten milliseconds.
pub const WRITE_TURN: Duration = Duration::from_millis(700);

/// The daemons that count for a request, the first in rank first.
pub fn homes(directory: &Directory, fingerprint: Fingerprint) -> Vec<&WireDaemon> {
    let bytes = fingerprint.number().to_le_bytes();
    directory.highest(HOMES, |daemon| {
        xxh3_64_with_seed(&bytes, name_digest(&daemon.name))
    })
}

/// The place of the daemon `own` among those that count for a request; 0 is the first.
pub fn home_rank(
    directory: &Directory,
    fingerprint: Fingerprint,
    own: &WireDaemon,
) -> Option<usize> {
    let homes = homes(directory, fingerprint);
    homes.iter().position(|home| home.name == own.name)
}

/// Whether it is this daemon's turn to write a record that the store lacks since so long; `home_rank` is its place among those
/// that count for the request.
pub fn is_write_turn(home_rank: Option<usize>, lacking_for: Duration) -> bool {
    let home_rank = home_rank.and_then(|home_rank| u32::try_from(home_rank).ok());
    home_rank.is_some_and(|home_rank| lacking_for >= WRITE_TURN * home_rank)
}

/// Whether the daemon `own` is the first that counts for a request: what one of them is to do, it does.
pub fn is_first_home(directory: &Directory, fingerprint: Fingerprint, own: &WireDaemon) -> bool {
    home_rank(directory, fingerprint, own) == Some(0)
}

/// Whether the daemon `own` counts for a request.
pub fn role(directory: &Directory, fingerprint: Fingerprint, own: &WireDaemon) -> Role {
    match home_rank(directory, fingerprint, own) {
        Some(_) => Role::Home,
        None => Role::Other,
    }
}
