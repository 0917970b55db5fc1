//! How many requests a second a replica takes from all daemons together.
//!
//! Answers overtake one another, so the order in which they come is not the order in which the replica wrote them. It wrote each
//! one after its request was sent and before it was heard.

use driftspring_clock::Instant;

use crate::protocol::RequestRate;

/// What an answer says of the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitNotice {
    /// The limit; none where the answer names none.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the answer came.
    pub heard_at: Instant,
}

impl LimitNotice {
    /// What holds once `told` is heard after this one. Where the order of the two is not known, the lower limit holds.
    pub fn followed_by(self, told: Self) -> Self {
        match (self.rate, told.rate) {
            (Some(_), None) if told.sent_at > self.heard_at => told,
            (None, Some(_)) if told.heard_at >= self.sent_at => told,
            (Some(known), Some(rate)) => Self {
                heard_at: self.heard_at.max(told.heard_at),
                ..match told.sent_at >= self.sent_at || rate < known {
                    true => told,
                    false => self,
                }
            },
            _ => self,
        }
    }
}
