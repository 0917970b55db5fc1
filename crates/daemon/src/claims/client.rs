//! Claims a key at a majority of the group's holders.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use anyhow::anyhow;
use driftspring_claims::{
    Attempt, ClaimAnswer, ClaimKey, ClaimMessage, ClaimRefusal, ClaimReply, ClaimRequest, Claimant,
    Decision, HolderStatus, ReleaseRequest, UnixMillis,
};
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::{ClaimGroup, DaemonId, MemberRecord, Peer, Step, StepError};
use futures_util::future::join_all;
use futures_util::stream::{FuturesUnordered, StreamExt};
use ntex::rt::spawn;
use ntex::time::timeout;

use super::{CLAIMS_PATH, now, present_group};
use crate::state::DaemonState;
use crate::sync::replication::PeerClient;

/// A client of claim holders; belongs to the thread that made it.
#[derive(Clone)]
pub struct ClaimClient {
    daemon: Arc<DaemonState>,
    peers: PeerClient,
    ask_timeout: Duration,
}

/// The questions that have not been answered yet.
type OpenQuestions = FuturesUnordered<Pin<Box<dyn Future<Output = Answer>>>>;

/// A holder and its answer; nothing where it did not answer.
type Answer = (DaemonId, Option<ClaimAnswer>);

impl ClaimClient {
    /// A client with its own connections. Must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The HTTP client can't be built.
    pub async fn new(daemon: &Arc<DaemonState>) -> anyhow::Result<Self> {
        Ok(Self {
            daemon: Arc::clone(daemon),
            peers: PeerClient::new(daemon, ControlSubsystem::Claims).await?,
            ask_timeout: daemon.settings.claims.ask_timeout,
        })
    }

    /// Claims `key` for a new attempt: asks all holders at once and waits for a majority.
    ///
    /// # Errors
    ///
    /// The attempt must not be dispatched. What was granted to it is being released.
    pub async fn claim(
        &self,
        daemon: &DaemonState,
        key: ClaimKey,
        issued_at: UnixMillis,
    ) -> Result<HeldClaim, ClaimRefusal> {
        let group = present_group(daemon).ok_or(ClaimRefusal::NoQuorum)?;
        let request = ClaimRequest {
            epoch: group.epoch,
            key,
            issued_at,
            attempt: Attempt::generate(),
        };
        let mut claimant = Claimant::new(&group, request);
        let mut questions = self.ask_all(&group, request);
        let deciding = decide(&mut claimant, &mut questions);
        let decided = timeout(self.ask_timeout, deciding).await;
        let held = HeldClaim {
            client: self.clone(),
            release: claimant.release(),
            group,
        };
        match decided.unwrap_or_else(|()| claimant.give_up()) {
            Decision::Granted => Ok(held),
            Decision::Refused(refusal) => {
                held.release_after(questions);
                Err(refusal)
            }
        }
    }

    fn ask_all(&self, group: &ClaimGroup, request: ClaimRequest) -> OpenQuestions {
        let holders = group.holders.iter();
        holders
            .map(|member| self.clone().ask(member.daemon.clone(), request))
            .map(|question| Box::pin(question) as Pin<Box<dyn Future<Output = Answer>>>)
            .collect()
    }

    async fn ask(self, holder: DaemonId, request: ClaimRequest) -> Answer {
        let reply = self.send(&holder, ClaimMessage::Claim(request)).await;
        match reply {
            Ok(ClaimReply::Claim(answer)) => (holder, Some(answer)),
            Ok(_) => (holder, None),
            Err(error) => {
                log_event!(pipeline::CLAIM_HOLDER_SILENT, "error=\"{error}\"");
                (holder, None)
            }
        }
    }

    /// Sends `message` to every holder of `group`; the states of those that answered.
    pub(crate) async fn statuses(
        &self,
        group: &ClaimGroup,
        message: ClaimMessage,
    ) -> Vec<HolderStatus> {
        let questions = group
            .holders
            .iter()
            .map(|member| self.send(&member.daemon, message));
        let replies = join_all(questions).await;
        replies
            .into_iter()
            .filter_map(|reply| match reply {
                Ok(ClaimReply::Status(status)) => Some(status),
                _ => None,
            })
            .collect()
    }

    /// Sends one message; to this daemon itself without the network.
    async fn send(
        &self,
        holder: &DaemonId,
        message: ClaimMessage,
    ) -> Result<ClaimReply, StepError> {
        if *holder == self.daemon.settings.id {
            return Ok(self.daemon.claims.handle(&message, now()));
        }
        let failed =
            |cause| StepError::may_have_run(Step::Claim, Peer::Daemon(holder.clone()), cause);
        let address = {
            let members = self.daemon.members.load();
            let member = members.iter().find(|member| member.id == *holder);
            member.and_then(MemberRecord::peer_socket)
        };
        let address = address.ok_or_else(|| failed(anyhow!("its address is not known")))?;
        self.peers
            .exchange(address, CLAIMS_PATH, &message, self.ask_timeout)
            .await
            .map_err(failed)
    }
}

/// Takes in answers until they decide.
async fn decide(claimant: &mut Claimant, questions: &mut OpenQuestions) -> Decision {
    while let Some((holder, answer)) = questions.next().await {
        let Some(answer) = answer else { continue };
        if let Some(decision) = claimant.record(&holder, answer) {
            return decision;
        }
    }
    claimant.give_up()
}

/// A claim that a majority has granted. It stays held when this is dropped.
pub struct HeldClaim {
    client: ClaimClient,
    group: Arc<ClaimGroup>,
    release: ReleaseRequest,
}

impl HeldClaim {
    /// Gives the claim back in the background. Only for a request of which it is certain that
    /// nothing was run and that nothing will be dispatched any more.
    pub fn release(self) {
        self.release_after(OpenQuestions::new());
    }

    /// Gives the claim back once the open questions have been answered or have timed out, so that no
    /// holder hears of the release before the claim.
    fn release_after(self, mut questions: OpenQuestions) {
        spawn(async move {
            while questions.next().await.is_some() {}
            let message = ClaimMessage::Release(self.release);
            let holders = self.group.holders.iter();
            let sending = holders.map(|member| self.client.send(&member.daemon, message));
            // A release that is lost leaves the key claimed until it is too old, which is safe.
            join_all(sending).await;
        });
    }
}

impl std::fmt::Debug for HeldClaim {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("HeldClaim")
            .field("release", &self.release)
            .finish_non_exhaustive()
    }
}
