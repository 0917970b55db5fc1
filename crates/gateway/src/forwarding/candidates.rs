//! Which gateways are asked for offers.

use xxhash_rust::xxh3::xxh3_64;

use crate::peers::directory::Directory;
use crate::peers::message::WireDaemon;

/// Number of gateways whose offers are used at a time: enough that one which fails or is full is replaced at once.
pub const WANTED_OFFERS: usize = 4;

/// All other gateways, alternating between the own zone and others. The order differs from gateway to gateway, so that
/// those that are cut off together don't all turn to the same ones.
pub fn candidates(directory: &Directory, own: &WireDaemon) -> Vec<WireDaemon> {
    let order = |daemon: &&WireDaemon| xxh3_64(format!("{}\n{}", own.name, daemon.name).as_bytes());
    let mut others: Vec<&WireDaemon> = directory
        .all()
        .filter(|daemon| daemon.name != own.name)
        .collect();
    others.sort_by_cached_key(order);
    let (near, far): (Vec<_>, Vec<_>) = others
        .into_iter()
        .partition(|daemon| daemon.zone == own.zone);
    let (mut near, mut far) = (near.into_iter(), far.into_iter());
    let mut all = Vec::new();
    loop {
        let (next_near, next_far) = (near.next(), far.next());
        if next_near.is_none() && next_far.is_none() {
            return all;
        }
        all.extend(next_near.into_iter().chain(next_far).cloned());
    }
}

/// The gateways to ask next: those whose offers are in use, and further ones of `candidates` from `cursor` on while there
/// are fewer than [`WANTED_OFFERS`]. Advances the cursor.
pub fn next_asked(
    candidates: &[WireDaemon],
    in_use: &[String],
    cursor: &mut usize,
) -> Vec<WireDaemon> {
    let is_in_use = |daemon: &&WireDaemon| in_use.contains(&daemon.name);
    let kept = candidates.iter().filter(is_in_use).take(WANTED_OFFERS);
    let mut asked: Vec<WireDaemon> = kept.cloned().collect();
    // More than are missing, since some don't answer or can't reach the replicas either.
    let wanted = 2 * WANTED_OFFERS.saturating_sub(asked.len());
    let mut added = 0;
    for _ in 0..candidates.len() {
        if added >= wanted {
            break;
        }
        let candidate = &candidates[*cursor % candidates.len()];
        *cursor = (*cursor + 1) % candidates.len();
        if !is_in_use(&candidate) {
            asked.push(candidate.clone());
            added += 1;
        }
    }
    asked
}
