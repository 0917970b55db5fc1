//! Requests that a replica refused because it has other weights than they were sent for.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::attempts::Attempts;
use super::choose_replica::Choice;
use super::refusal::Refusal;
use crate::protocol::ReplicaIncarnation;
use crate::replicas::Replica;

/// How long a request that every replica refused for its weights waits to learn of other weights. Its gateway queries
/// another gateway at once, which answers within milliseconds; a refused caller would retry no sooner (`Retry-After` of
/// 250 ms).
const WEIGHTS_UPDATE_TIMEOUT: Duration = Duration::from_millis(250);

/// A replica that refused a request because it has other weights.
#[derive(Debug)]
pub struct WeightsMismatch {
    replica: Rc<Replica>,
    /// Version that the request was sent for.
    requested_version: u64,
}

impl Attempts {
    /// The replica with the version that the request was sent for; nothing if the request needs no weights.
    pub(super) fn mismatch_at(&self, choice: &Choice) -> Option<WeightsMismatch> {
        self.context.prompt()?;
        Some(WeightsMismatch {
            replica: Rc::clone(&choice.replica),
            requested_version: choice.weights_version?,
        })
    }

    /// Handles an answer of the right replica that it has other weights than the request was sent for. If it is known
    /// to have newer ones, the request is sent to it once more: in a service with few replicas, all may have loaded new
    /// weights between the choice and the arrival. Otherwise it may be tried again once no other replica is left.
    pub(super) fn handle_mismatch(
        &mut self,
        choice: &Choice,
        mismatch: WeightsMismatch,
        peer: SocketAddr,
        detail: &str,
    ) -> Result<(), Refusal> {
        let is_first = !self.has_mismatched(&choice.replica.incarnation);
        let has_newer = self.has_learned_version(&mismatch)
            && self.believed_version(&mismatch) > Some(mismatch.requested_version);
        self.weights_mismatches.push(mismatch);
        if !(is_first && has_newer) {
            return self.handle_not_run(choice, peer, detail);
        }
        self.log_attempt(choice, "not_run", detail);
        self.state.holders.remove(&choice.prefixes, &choice.replica);
        self.count_not_run(peer, detail)
    }

    fn has_mismatched(&self, life: &ReplicaIncarnation) -> bool {
        let mut mismatches = self.weights_mismatches.iter();
        mismatches.any(|mismatch| mismatch.replica.incarnation == *life)
    }

    /// Version that the replica is believed to have.
    fn believed_version(&self, mismatch: &WeightsMismatch) -> Option<u64> {
        let prompt = self.context.prompt()?;
        mismatch.replica.version_of(&prompt.model)
    }

    /// Whether the replica is now believed to have another version than the one that the request was sent for.
    fn has_learned_version(&self, mismatch: &WeightsMismatch) -> bool {
        let Some(prompt) = self.context.prompt() else {
            return false;
        };
        let wanted = self.state.weights.borrow();
        let replica = &mismatch.replica;
        replica.correct_version(&prompt.model, mismatch.requested_version, &wanted);
        self.believed_version(mismatch) != Some(mismatch.requested_version)
    }

    /// Whether a replica that refused the request for its weights may be tried again with those that it is now believed
    /// to have. If nothing new is known of any, waits for an update of the weights.
    pub(super) async fn may_retry_after_mismatch(&mut self) -> bool {
        let mismatches = std::mem::take(&mut self.weights_mismatches);
        if mismatches.is_empty() {
            return false;
        }
        if !mismatches
            .iter()
            .any(|mismatch| self.has_learned_version(mismatch))
        {
            self.wait_for_weights_update(&mismatches).await;
        }
        let known = mismatches
            .iter()
            .filter(|mismatch| self.has_learned_version(mismatch));
        let known: Vec<ReplicaIncarnation> = known
            .map(|mismatch| mismatch.replica.incarnation.clone())
            .collect();
        self.tried.retain(|life| !known.contains(life));
        !known.is_empty()
    }

    /// Queries another gateway, and waits until it or the store names weights that one of these replicas may have.
    async fn wait_for_weights_update(&self, mismatches: &[WeightsMismatch]) {
        self.state.peers.ask_now();
        let timeout = WEIGHTS_UPDATE_TIMEOUT.min(self.context.time_left());
        let known = async {
            while !mismatches
                .iter()
                .any(|mismatch| self.has_learned_version(mismatch))
            {
                self.state.weights_updated.notified().await;
            }
        };
        if tokio::time::timeout(timeout, known).await.is_err() {
            log::debug!("no newer weights were heard of in {timeout:?}");
        }
    }
}
