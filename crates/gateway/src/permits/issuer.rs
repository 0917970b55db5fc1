//! All permits that one daemon issues.

use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use super::bucket::TokenBucket;
use crate::protocol::RequestRate;

/// The least rate at which permits are issued, in requests a second: only an answer tells that a limit has ended, so a replica
/// that takes next to nothing is asked every 5 s.
pub const LEAST_RATE: f64 = 0.2;

/// Replicas for which permits are issued at the most, some 50 bytes each.
const MAX_BUCKETS: usize = 16_384;

/// After this time a bucket that nobody asks for is forgotten where there are many: it is full, and begins empty.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(60);

/// The longest time after which one who is denied a permit asks again.
const LONGEST_WAIT: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct Issued {
    bucket: TokenBucket,
    asked_at: Instant,
}

/// The buckets by the digest of the replica's life.
#[derive(Debug, Default)]
pub struct PermitIssuer {
    by_life: RefCell<HashMap<u64, Issued>>,
}

impl PermitIssuer {
    /// Issues a permit for this life at `share` of its limit, if there is one.
    ///
    /// # Errors
    ///
    /// There is none before this time has passed.
    pub fn issue(
        &self,
        life: u64,
        rate: RequestRate,
        share: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        let mut by_life = self.by_life.borrow_mut();
        if by_life.len() >= MAX_BUCKETS && !by_life.contains_key(&life) {
            by_life.retain(|_, issued| {
                now.saturating_duration_since(issued.asked_at) < FORGOTTEN_AFTER
            });
            if by_life.len() >= MAX_BUCKETS {
                return Err(LONGEST_WAIT);
            }
        }
        let issued = by_life.entry(life).or_insert_with(|| Issued {
            bucket: TokenBucket::empty(now),
            asked_at: now,
        });
        issued.asked_at = now;
        let per_second = rate.per_second().max(LEAST_RATE) * share;
        let taken = issued.bucket.take(per_second, now);
        taken.map_err(|wait| wait.min(LONGEST_WAIT))
    }
}
