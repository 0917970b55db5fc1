//! Whether a request is sent to a replica now, in its own rank, behind others, or not at all.
//!
//! Load: requests arrive faster than the replicas process them, because replicas are lost or the traffic rises.

use std::time::Duration;

/// Share of a caller's timeout up to which it is assumed to wait. It is below one because a request that its caller
/// gives up shows a wait of no more than that timeout, and the estimate decays.
const USABLE_TIMEOUT_SHARE: f64 = 0.8;

/// Number of ranks by which a late request is moved back: more than the ranks in use, so that late requests of an
/// urgent kind do not go before punctual ones of another kind (operator's sheets: ranks 0 to 3).
const LATE_RANK_OFFSET: u8 = 5;

/// The last rank.
const LAST_RANK: u8 = 9;

/// Whether a request is worth sending that will typically wait for `typical_wait` before it begins, if its caller waits
/// for `first_event_time_left` more.
pub fn is_worth_sending(typical_wait: Duration, first_event_time_left: Duration) -> bool {
    typical_wait < first_event_time_left.mul_f64(USABLE_TIMEOUT_SHARE)
}

/// Whether a request that will wait for `expected_wait` begins within `objective_left`, the time left within which its
/// answer should begin.
pub fn is_in_time(expected_wait: Duration, objective_left: Duration) -> bool {
    expected_wait <= objective_left
}

/// Whether the queues of all replicas together are too long to send one more request. `service_wait` is its expected
/// wait there and `objective` the longest objective of its service's routes. Beyond that, more is sent than is
/// processed, and each further request delays later ones. The bound is the same for all kinds of requests, so that
/// those with shorter objectives are not refused for the sake of others.
pub fn are_queues_too_long(service_wait: Duration, objective: Option<Duration>) -> bool {
    objective.is_some_and(|objective| service_wait > objective)
}

/// Rank of a request that will be late, behind those that will not.
pub fn late_rank(rank: u8) -> u8 {
    rank.saturating_add(LATE_RANK_OFFSET).min(LAST_RANK)
}
