//! All permits that one daemon issues.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use super::bucket::TokenBucket;
use crate::protocol::RequestRate;

/// The least rate at which permits are issued, in requests a second: only an answer tells that a limit has ended, so a replica
/// that takes next to nothing is asked every 5 s.
pub const MIN_RATE: f64 = 0.2;

/// Replicas for which permits are issued at the most, some 50 bytes each.
const MAX_BUCKETS: usize = 16_384;

/// After this time a bucket that nobody asks for is forgotten where there are many: it is full, and begins empty.
const IDLE_BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// The longest time after which one who is denied a permit asks again.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct IssuedBucket {
    bucket: TokenBucket,
    last_asked_at: Instant,
}

/// The buckets by the digest of the replica's life.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    by_incarnation: RefCell<HashMap<u64, IssuedBucket>>,
}

impl PermitIssuer {
    /// Issues a permit for this life at `share` of its limit, if there is one.
    ///
    /// # Errors
    ///
    /// There is none before this time has passed.
    pub fn issue(
        &self,
        incarnation: u64,
        rate: RequestRate,
        share: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut by_incarnation = self.by_incarnation.borrow_mut();
        if by_incarnation.len() >= MAX_BUCKETS && !by_incarnation.contains_key(&incarnation) {
            by_incarnation.retain(|_, issued| {
                now.saturating_duration_since(issued.last_asked_at) < IDLE_BUCKET_RETENTION
            });
            if by_incarnation.len() >= MAX_BUCKETS {
                return Err(MAX_RETRY_WAIT);
            }
        }
        let issued = by_incarnation
            .entry(incarnation)
            .or_insert_with(|| IssuedBucket {
                bucket: TokenBucket::empty(now),
                last_asked_at: now,
            });
        issued.last_asked_at = now;
        let per_second = rate.per_second().max(MIN_RATE) * share;
        let taken = issued.bucket.try_take(per_second, now);
        taken.map_err(|wait| wait.min(MAX_RETRY_WAIT))
    }
}
