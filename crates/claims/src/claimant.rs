//! The side that asks for a claim: one attempt.

use driftspring_types::{ClaimGroup, DaemonId};

use crate::message::{ClaimAnswer, ClaimRequest, ReleaseRequest};

/// Why an attempt may not dispatch.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum ClaimRefusal {
    /// Another attempt holds the key.
    #[error("another attempt holds the claim on this idempotency key")]
    HeldByOther,
    /// The holders can't know whether the key was claimed, because they began to hold later.
    #[error("the idempotency key was issued before the claim holders began to hold")]
    Abstained,
    /// The key is older than the maximum age.
    #[error("the idempotency key is too old")]
    KeyTooOld,
    /// The key's time of issue lies in the future.
    #[error("the idempotency key was issued in the future: check the caller's clock")]
    KeyInFuture,
    /// No majority of holders answered, or they do not hold.
    #[error("no majority of the claim holders granted or refused the claim")]
    NoQuorum,
}

/// What an attempt has come to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// A majority granted: the request may be dispatched, by this attempt only.
    Granted,
    /// The attempt must never dispatch; whatever was granted is to be released.
    Refused(ClaimRefusal),
}

/// The number of holders that make a majority of `holders`.
pub fn majority_of(holders: usize) -> usize {
    holders / 2 + 1
}

/// One attempt to claim a key.
#[derive(Debug)]
pub struct Claimant {
    request: ClaimRequest,
    answers: Vec<(DaemonId, Option<ClaimAnswer>)>,
    decision: Option<Decision>,
}

impl Claimant {
    /// An attempt that asks the holders of `group`; `request` names the group's epoch.
    pub fn new(group: &ClaimGroup, request: ClaimRequest) -> Self {
        let holders = group.holders.iter();
        Self {
            request,
            answers: holders
                .map(|member| (member.daemon.clone(), None))
                .collect(),
            decision: None,
        }
    }

    /// What to send to each holder, once.
    pub fn request(&self) -> ClaimRequest {
        self.request
    }

    /// Takes in a holder's answer; the decision once there is one. A second answer of one holder and
    /// answers after the decision change nothing.
    pub fn record(&mut self, holder: &DaemonId, answer: ClaimAnswer) -> Option<Decision> {
        let asked = self.answers.iter_mut().find(|(name, _)| name == holder);
        if let Some((_, known)) = asked {
            known.get_or_insert(answer);
        }
        if self.decision.is_none() {
            self.decision = self.decide();
        }
        self.decision
    }

    /// Ends the attempt: no further answer counts.
    pub fn give_up(&mut self) -> Decision {
        let refused = Decision::Refused(self.refusal());
        *self.decision.get_or_insert(refused)
    }

    /// What to send to every holder after a refusal, also to those that did not answer; after a
    /// grant only where it is known that nothing was run and that nothing will be dispatched.
    pub fn release(&self) -> ReleaseRequest {
        ReleaseRequest {
            epoch: self.request.epoch,
            key: self.request.key,
            issued_at: self.request.issued_at,
            attempt: self.request.attempt,
        }
    }

    fn decide(&self) -> Option<Decision> {
        let granted = self.count(ClaimAnswer::Granted);
        let answered = self.answers.iter().filter(|(_, a)| a.is_some()).count();
        let outstanding = self.answers.len() - answered;
        let majority = majority_of(self.answers.len());
        if granted >= majority {
            return Some(Decision::Granted);
        }
        let is_out_of_reach = granted + outstanding < majority;
        is_out_of_reach.then(|| Decision::Refused(self.refusal()))
    }

    /// The reason that tells the caller most.
    fn refusal(&self) -> ClaimRefusal {
        let by_weight = [
            (ClaimAnswer::HeldByOther, ClaimRefusal::HeldByOther),
            (ClaimAnswer::KeyTooOld, ClaimRefusal::KeyTooOld),
            (ClaimAnswer::KeyInFuture, ClaimRefusal::KeyInFuture),
            (ClaimAnswer::Abstained, ClaimRefusal::Abstained),
        ];
        by_weight
            .into_iter()
            .find(|(answer, _)| self.count(*answer) > 0)
            .map_or(ClaimRefusal::NoQuorum, |(_, refusal)| refusal)
    }

    fn count(&self, wanted: ClaimAnswer) -> usize {
        let matching = self.answers.iter();
        matching
            .filter(|(_, answer)| *answer == Some(wanted))
            .count()
    }
}
