//! All that one life of a replica has said of itself.

use std::cell::Cell;

use super::limit::LimitNotice;
use crate::protocol::RequestRate;

/// All that one life of a replica has said of itself.
#[derive(Debug, Default)]
pub struct ReplicaNotices {
    limit: Cell<Option<LimitNotice>>,
}

impl ReplicaNotices {
    /// The limit in force.
    pub fn limit(&self) -> Option<RequestRate> {
        self.limit.get().and_then(|notice| notice.rate)
    }

    /// Takes in what an answer says of the limit; true where another one is in force now.
    pub fn note_limit(&self, told: LimitNotice) -> bool {
        let known = self.limit.get();
        let next = match known {
            Some(known) => known.followed_by(told),
            None if told.rate.is_none() => return false,
            None => told,
        };
        self.limit.set(Some(next));
        known.and_then(|notice| notice.rate) != next.rate
    }
}
