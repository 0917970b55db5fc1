//! Fencing tokens of the order lease.
//!
//! Replicas refuse an order whose token is lower than one they have seen, and two holders must never give orders under
//! the same token. A store that has come back from a copy has lost the tokens given out after the copy, so the next
//! token can't be derived from the stored lease alone. Each era of the store therefore has its own range of tokens,
//! above those of all earlier eras. Every answer of the store names the era, so this also holds if no gateway remembers
//! earlier tokens.

use crate::store::{StoreEra, StorePosition};

/// Number of tokens in one era. The lease changes hands at most once per [`super::LeaseTimes::handover_gap`] (a few
/// seconds), so they last for a month in which it does nothing else. With up to 2,000 eras the tokens stay below 2^31.
const TOKENS_PER_ERA: u64 = 1 << 20;

/// Highest token: the largest integer that every JSON reader represents exactly.
pub const MAX_TOKEN: u64 = (1 << 53) - 1;

/// Maximum number of times that consecutive refusals double the step.
const MAX_DOUBLINGS: u32 = 20;

/// Lower bound, exclusive, of the tokens of an era; 0 if the store names no era.
pub fn era_floor(era: StoreEra) -> u64 {
    let number = era.number().unwrap_or(0);
    number.saturating_mul(TOKENS_PER_ERA).min(MAX_TOKEN / 2)
}

/// Token of the next holder in `era`, given that tokens up to `highest` are known and that `refusals` orders in a row
/// were refused by replicas that had seen a higher token. Replicas don't say which token they have seen, so the step
/// doubles with each refusal: 53 refusals pass all 2^53 tokens.
pub fn next_token(highest: u64, era: StoreEra, refusals: u32) -> u64 {
    let step = 1 << refusals.saturating_sub(1).min(MAX_DOUBLINGS);
    let base = highest.max(era_floor(era));
    base.saturating_add(step).min(MAX_TOKEN)
}

/// Upper bound of the tokens given out up to `position`, for a lease that can't be read: each token was given out by a
/// write, which raised the revision.
pub fn token_bound(position: StorePosition) -> u64 {
    if position.era == StoreEra::UNNAMED {
        return position.revision.min(MAX_TOKEN / 2);
    }
    // The other half of the range is left for the tokens that follow.
    let era_offset = position.revision.min(TOKENS_PER_ERA / 2);
    era_floor(position.era).saturating_add(era_offset)
}
