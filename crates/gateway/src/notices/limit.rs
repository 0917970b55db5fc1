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
    pub received_at: Instant,
}

impl LimitNotice {
    /// What holds once `later` is heard after this one. Where the order of the two is not known, the lower limit holds.
    pub fn combine(self, later: Self) -> Self {
        match (self.rate, later.rate) {
            (Some(_), None) if later.sent_at > self.received_at => later,
            (None, Some(_)) if later.received_at >= self.sent_at => later,
            (Some(known), Some(rate)) => Self {
                received_at: self.received_at.max(later.received_at),
                ..match later.sent_at >= self.sent_at || rate < known {
                    true => later,
                    false => self,
                }
            },
            _ => self,
        }
    }
}
