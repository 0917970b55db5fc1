//! The request rate that a replica accepts from all gateways together.
//!
//! Answers overtake one another, so their order of arrival is not the order in which the replica wrote them. It
//! wrote each one after the request was sent and before the answer was received.

use driftspring_clock::Instant;

use crate::protocol::RequestRate;

/// What an answer reports about the limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LimitNotice {
    /// The limit, if the answer reports one.
    pub rate: Option<RequestRate>,
    /// When the request was sent.
    pub sent_at: Instant,
    /// When the answer was received.
    pub received_at: Instant,
}

impl LimitNotice {
    /// What holds once `later` is received after this one. If the order in which they were written is not
    /// known, the lower limit holds.
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
