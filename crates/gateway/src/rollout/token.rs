//! Fencing tokens of the lease for orders: which one is next.
//!
//! Replicas refuse orders under a token lower than one they have seen, and two holders must never order under the same. A
//! store that comes back from a copy has forgotten tokens that were given out, so the next one can't follow from the store
//! alone: each era has other tokens, above those of all earlier eras. Every answer names the era, so that also holds
//! where no daemon remembers anything.

use crate::store::{StoreEra, StorePosition};

/// Tokens of one era. A lease changes hands at most once in [`super::LeaseTimes::handover_gap`] (some seconds), so they
/// last for a month in which it does nothing else; and with up to 2,000 eras tokens stay below 2^31.
const TOKENS_PER_ERA: u64 = 1 << 20;

/// The highest token: the largest whole number that every reader of JSON takes exactly.
pub const MAX_TOKEN: u64 = (1 << 53) - 1;

/// How often the step is doubled after refusals in a row.
const MAX_DOUBLINGS: u32 = 20;

/// The token below all that are given out in an era; 0 where the store names none.
pub fn era_floor(era: StoreEra) -> u64 {
    let number = era.number().unwrap_or(0);
    number.saturating_mul(TOKENS_PER_ERA).min(MAX_TOKEN / 2)
}

/// The token of a holder that follows one of the tokens up to `highest`, in `era`, after `refusals` in a row by replicas
/// that had seen a higher one. They don't say which, so the step doubles: all 2^53 are passed within 53 refusals.
pub fn next_token(highest: u64, era: StoreEra, refusals: u32) -> u64 {
    let step = 1 << refusals.saturating_sub(1).min(MAX_DOUBLINGS);
    let base = highest.max(era_floor(era));
    base.saturating_add(step).min(MAX_TOKEN)
}

/// A token no lower than all that were given out up to `position`, where the lease can't be read: each was given out by a
/// write, which raised the revision.
pub fn token_bound(position: StorePosition) -> u64 {
    if position.era == StoreEra::UNNAMED {
        return position.revision.min(MAX_TOKEN / 2);
    }
    // The other half is left for those that follow.
    let era_offset = position.revision.min(TOKENS_PER_ERA / 2);
    era_floor(position.era).saturating_add(era_offset)
}
