//! The ranking of the gateways that issue the permits for a replica.

use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::silence::SilentIssuers;
use crate::peers::directory::{Directory, name_digest};
use crate::peers::message::WireDaemon;

/// Number of gateways that may issue the permits for one replica. Two of them may be gone, cut off or frozen.
pub const ISSUERS_PER_REPLICA: usize = 3;

/// The share of the rate of the issuer ranked before it that an issuer gives out while it can't tell that the
/// others are gone. All three together give out 1.47 times the limit, where the platform tolerates 1.5 times.
const SUCCESSOR_SHARE: f64 = 0.35;

/// How long the issuers ranked before a gateway must not have answered it before it issues at the full rate.
/// Machines count as in touch after 3 s without trouble (`contactMs`).
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(4);

/// The gateways that issue the permits for the incarnation with this hash, by rank.
pub fn issuers(directory: &Directory, incarnation: u64) -> Vec<&WireDaemon> {
    let bytes = incarnation.to_le_bytes();
    directory.highest(ISSUERS_PER_REPLICA, |gateway| {
        xxh3_64_with_seed(&bytes, name_digest(&gateway.name))
    })
}

/// The digests of their names.
pub fn name_digests(issuers: &[&WireDaemon]) -> Vec<u64> {
    let names = issuers.iter().map(|issuer| name_digest(&issuer.name));
    names.collect()
}

/// The issuers that are ranked before the gateway with the name digest `own`.
pub fn higher_ranked(issuers: &[u64], own: u64) -> &[u64] {
    let position = issuers.iter().position(|issuer| *issuer == own);
    &issuers[..position.unwrap_or(issuers.len())]
}

/// The position of the first issuer that is not silent, or that is this gateway itself, with the name digest `own`.
pub fn first_responding(
    issuers: &[u64],
    own: u64,
    silent: &SilentIssuers,
    now: Instant,
) -> Option<usize> {
    let responds = |issuer: &u64| *issuer == own || !silent.is_silent(*issuer, now);
    issuers.iter().position(responds)
}

/// The share of a limit that a gateway issues that is ranked after `higher_ranked`: all of it once none of
/// these answers it.
pub fn rate_share(higher_ranked: &[u64], silent: &SilentIssuers, now: Instant) -> f64 {
    let is_gone = |issuer: &u64| {
        let silence = silent.silent_for(*issuer, now);
        silence.is_some_and(|silence| silence >= TAKEOVER_TIMEOUT)
    };
    match higher_ranked.iter().all(is_gone) {
        true => 1.0,
        false => higher_ranked.iter().map(|_| SUCCESSOR_SHARE).product(),
    }
}
