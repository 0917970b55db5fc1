//! Which gateways count the strikes of a request: its home gateways.
//!
//! A request may arrive at any gateway, and its strikes are seen by the gateways that had it open. If every
//! strike were sent to all gateways, a crash of a seventh of 600 replicas would be reported 380 times over. So
//! a few gateways, chosen by rendezvous hashing and thus the same at every gateway, count for each request, and
//! inform all others once there is something to know.

use std::time::Duration;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::{Fingerprint, Role};
use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::WireDaemon;

/// The number of home gateways per request: two may be down, cut off or frozen.
const HOMES: usize = 3;

/// The head start of each home gateway over the next one in rank when a record is to be written to the store:
/// a gateway that is up writes it, and informs all, within tens of milliseconds.
pub const WRITE_TURN: Duration = Duration::from_millis(700);

/// The home gateways of a request, highest rank first.
pub fn homes(directory: &Directory, fingerprint: Fingerprint) -> Vec<&WireDaemon> {
    let bytes = fingerprint.number().to_le_bytes();
    directory.highest(HOMES, |daemon| {
        xxh3_64_with_seed(&bytes, name_digest(&daemon.name))
    })
}

/// The rank of the gateway `own` among the home gateways of a request; 0 is the highest.
pub fn home_rank(
    directory: &Directory,
    fingerprint: Fingerprint,
    own: &WireDaemon,
) -> Option<usize> {
    let homes = homes(directory, fingerprint);
    homes.iter().position(|home| home.name == own.name)
}

/// Whether this gateway is to write a record that has been missing in the store for `lacking_for`; `home_rank`
/// is its rank among the home gateways.
pub fn is_write_turn(home_rank: Option<usize>, lacking_for: Duration) -> bool {
    let home_rank = home_rank.and_then(|home_rank| u32::try_from(home_rank).ok());
    home_rank.is_some_and(|home_rank| lacking_for >= WRITE_TURN * home_rank)
}

/// Whether the gateway `own` is the first home of a request, which acts for all home gateways.
pub fn is_first_home(directory: &Directory, fingerprint: Fingerprint, own: &WireDaemon) -> bool {
    home_rank(directory, fingerprint, own) == Some(0)
}

/// Whether the gateway `own` counts strikes for a request.
pub fn role(directory: &Directory, fingerprint: Fingerprint, own: &WireDaemon) -> Role {
    match home_rank(directory, fingerprint, own) {
        Some(_) => Role::Home,
        None => Role::Other,
    }
}
