//! The permits that this gateway issues.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use super::bucket::TokenBucket;
use crate::protocol::RequestRate;

/// The lowest rate at which permits are issued, in requests a second. Only an answer shows that a limit has
/// ended, so even a replica that accepts next to nothing gets a request every 5 s.
pub const MIN_RATE: f64 = 0.2;

/// Limit of the replicas for which permits are issued, at some 50 bytes each.
const MAX_BUCKETS: usize = 16_384;

/// How long an unused bucket is kept once there are many. It is full by then, and a new one starts empty.
const IDLE_BUCKET_RETENTION: Duration = Duration::from_secs(60);

/// Upper limit of the time after which a requester that is denied a permit asks again.
const MAX_RETRY_WAIT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct IssuedBucket {
    bucket: TokenBucket,
    last_asked_at: Instant,
}

/// The buckets by the hash of the incarnation of the replica.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    by_incarnation: RefCell<HashMap<u64, IssuedBucket>>,
}

impl PermitIssuer {
    /// Issues a permit for this incarnation at `share` of the limit `rate`, if one is available.
    ///
    /// # Errors
    ///
    /// No permit is available before the returned time has passed.
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
