//! Which daemons count the strikes of a request.
//!
//! A request comes to any daemon, and its strikes are seen by those that had it open. Were they told to all, a crash of
//! a seventh of 600 replicas would be told 380 times over. So a few daemons, which every daemon chooses alike, count for
//! each request, and tell all once there is something to tell.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Fingerprint, Role};
use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::WireDaemon;

/// Daemons that count for one request: two may be gone, cut off or frozen.
const HOMES: usize = 3;

/// The daemons that count for a request, the first in rank first.
pub fn homes(directory: &Directory, fingerprint: Fingerprint) -> Vec<&WireDaemon> {
    let bytes = fingerprint.number().to_le_bytes();
    let weight = |daemon: &WireDaemon| xxh3_64_with_seed(&bytes, name_digest(&daemon.name));
    let mut daemons: Vec<&WireDaemon> = directory.all().collect();
    daemons.sort_by_cached_key(|daemon| std::cmp::Reverse(weight(daemon)));
    daemons.truncate(HOMES);
    daemons
}

/// Whether the daemon `own` counts for a request.
pub fn role(directory: &Directory, fingerprint: Fingerprint, own: &WireDaemon) -> Role {
    let homes = homes(directory, fingerprint);
    match homes.iter().any(|home| home.name == own.name) {
        true => Role::Home,
        false => Role::Other,
    }
}
