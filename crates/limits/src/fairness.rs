//! The share of each tenant under overload.

/// From this part of the daemon's capacity on, in per cent, a tenant is held to its fair share.
pub const PRESSURE_PERCENT: u64 = 75;

/// The part of the capacity, in per cent, that a tenant can't fill even where it is alone, so that
/// the next tenant finds room at once.
pub const RESERVED_PERCENT: u64 = 10;

/// The number of open requests from which on fair shares are enforced.
pub fn pressure_threshold(max_open: u32) -> u32 {
    percent_of(max_open, PRESSURE_PERCENT)
}

/// How many requests a tenant of `weight` may have open under overload, where the tenants with open
/// requests, it included, have `active_weight` together. At least 1.
pub fn fair_share(max_open: u32, weight: u32, active_weight: u64) -> u32 {
    let weight = u64::from(weight.max(1));
    let active_weight = active_weight.max(weight);
    let by_weight = u64::from(max_open) * weight / active_weight;
    let ceiling = percent_of(max_open, 100 - RESERVED_PERCENT);
    u32::try_from(by_weight)
        .unwrap_or(u32::MAX)
        .min(ceiling)
        .max(1)
}

/// One daemon's part of a limit that holds over all daemons: rounded up, and at least 1. A limit of
/// 0 means none.
pub fn share_of_limit(limit: u32, live_daemons: u32) -> Option<u32> {
    (limit > 0).then(|| limit.div_ceil(live_daemons.max(1)))
}

fn percent_of(number: u32, percent: u64) -> u32 {
    u32::try_from(u64::from(number) * percent / 100).unwrap_or(u32::MAX)
}
