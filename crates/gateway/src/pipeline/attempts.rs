//! Tries replicas one after the other until one answers, as far as the request may be sent again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::admission::Progress;
use super::check_quarantine::check_quarantine;
use super::choose_replica::{Choice, choose, paused};
use super::context::RequestContext;
use super::dispatch::{Opened, Unanswered, send};
use super::first_list::first_list_patience;
use super::judge::{Verdict, judge};
use super::refusal::{Reason, Refusal, Step};
use crate::notices;
use crate::permits::{self, Denied};
use crate::protocol::ReplicaIncarnation;
use crate::quarantine::note_loss;
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::upstream::SendFailure;

/// Replicas that may say "not run", or can't be reached, before the request is refused.
const MAX_VAIN_SENDS: usize = 3;

/// Replicas that can't be reached before the request is refused.
const MAX_UNREACHABLE: usize = 4;

/// Replicas without room in their limits after which the request is refused: each question takes a round trip.
const MAX_DENIED: usize = 6;

/// How long a request waits to hear of weights that every replica refused it for. Its gateway asks another one at once, whose
/// answer takes milliseconds; a caller that is refused comes back no sooner (`Retry-After` of 250 ms).
const WEIGHTS_PATIENCE: Duration = Duration::from_millis(250);

/// Why a request is withdrawn.
const TOO_OLD: &str = "it had not begun when the weights of its replica became too old";

/// The attempts of one request.
pub struct Attempts {
    state: Rc<GatewayState>,
    context: Rc<RequestContext>,
    tried: Vec<ReplicaIncarnation>,
    /// Replicas that refused since they have other weights than they were sent to for.
    with_other_weights: Vec<WithOtherWeights>,
    runs: u32,
    vain_sends: usize,
    unreachable: usize,
    sends: u32,
    /// Replicas whose limits left no room.
    denied: usize,
    /// The least time after which one of them has room again.
    least_wait: Duration,
    /// When the request was last sent to a replica.
    sent_at: Instant,
}

/// A replica that refused a request since it has other weights.
#[derive(Debug)]
struct WithOtherWeights {
    replica: Rc<Replica>,
    /// The version for which the request was sent.
    sent_for: u64,
}

/// Why an answer that had begun is not read to its end.
#[derive(Debug)]
pub enum Break {
    /// It broke off, for this cause.
    BrokeOff(String),
    /// Its head had come, but the request had not begun when the replica's weights became too old.
    Withdrawn,
}

impl Break {
    /// The cause in words.
    pub fn cause(&self) -> &str {
        match self {
            Self::BrokeOff(cause) => cause,
            Self::Withdrawn => TOO_OLD,
        }
    }
}

/// A replica's answer whose head has come.
#[derive(Debug)]
pub struct Attempt {
    /// The answer.
    pub opened: Opened,
    /// The replica.
    pub choice: Choice,
}

impl Attempts {
    /// No attempt was made yet.
    pub fn new(state: &Rc<GatewayState>, context: &Rc<RequestContext>) -> Self {
        state.budgets.earn(&context.service);
        Self {
            state: Rc::clone(state),
            context: Rc::clone(context),
            tried: Vec::new(),
            with_other_weights: Vec::new(),
            runs: 0,
            vain_sends: 0,
            unreachable: 0,
            sends: 0,
            denied: 0,
            least_wait: Duration::MAX,
            sent_at: context.started,
        }
    }

    /// Sends the request until a replica's answer has begun. `last_event_id` goes on with a stream.
    pub async fn next(&mut self, last_event_id: Option<&str>) -> Result<Attempt, Refusal> {
        let patience = first_list_patience(self.state.now(), self.context.time_left());
        let service = &self.context.service;
        let progress = match last_event_id {
            Some(_) => Progress::GoingOn,
            None => Progress::New,
        };
        self.state.until_replicas_known(service, patience).await;
        loop {
            if self.context.time_left().is_zero() {
                return Err(self.give_up(Reason::TimedOut, None, "no time left"));
            }
            let may_have_run = self.runs > 0;
            if let Err(refusal) = check_quarantine(&self.state, &self.context, may_have_run) {
                return Err(self.without_replica(refusal));
            }
            let choice = match choose(&self.state, &self.context, &self.tried, progress) {
                Ok(choice) => choice,
                Err(refusal) => match refusal.reason {
                    Reason::NoReplica if self.may_return().await => continue,
                    _ => return Err(self.without_replica(refusal)),
                },
            };
            if let Err(denied) = permits::acquire(&self.state, &choice.replica).await {
                self.note_denied(&choice, denied)?;
                continue;
            }
            if self.sends > 0 && !self.spend() {
                return Err(self.give_up(Reason::NotRun, None, "the budget is spent"));
            }
            self.sent_at = Instant::now();
            match send(&self.state, &self.context, &choice, last_event_id).await {
                Ok(opened) => {
                    self.sends += 1;
                    if let Some(attempt) = self.take_answer(opened, choice)? {
                        return Ok(attempt);
                    }
                }
                Err(Unanswered::Failed(SendFailure::NotSent { peer, cause })) => {
                    self.not_sent(&choice, peer, &cause)?;
                }
                Err(Unanswered::Failed(SendFailure::Lost { peer, cause })) => {
                    self.sends += 1;
                    self.lost(&choice, peer, &cause)?;
                }
                Err(Unanswered::Resting) => {
                    self.log_attempt(&choice, "not_sent", "it rests by now");
                }
                Err(Unanswered::Withdrawn) => {
                    self.sends += 1;
                    self.withdrawn(&choice)?;
                }
            }
        }
    }

    /// Whether a request that a replica has run, or may have run, may go to another one.
    pub fn may_run_again(&self) -> bool {
        self.context.route.is_repeatable() && self.runs < self.context.route.max_attempts
    }

    /// Takes in that an answer whose head had come is not read to its end; an error where the request can't be
    /// sent again.
    pub fn broke_off(&mut self, choice: &Choice, why: &Break) -> Result<(), Refusal> {
        // It counted as a run when its head came.
        self.runs -= 1;
        match why {
            Break::BrokeOff(cause) => self.lost(choice, choice.replica.pool.peer(), cause),
            Break::Withdrawn => self.withdrawn(choice),
        }
    }

    /// Takes in that the chosen replica's limit leaves no room; it is passed over until it does. An error where too many did.
    fn note_denied(&mut self, choice: &Choice, denied: Denied) -> Result<(), Refusal> {
        self.log_attempt(choice, "no_permit", &format!("wait {:?}", denied.wait));
        self.denied += 1;
        self.least_wait = self.least_wait.min(denied.wait);
        if self.denied < MAX_DENIED {
            return Ok(());
        }
        let detail = format!("the limits of {} replicas leave no room", self.denied);
        let refusal = paused(&self.state, self.least_wait, detail);
        Err(self.without_replica(refusal))
    }

    fn take_answer(&mut self, opened: Opened, choice: Choice) -> Result<Option<Attempt>, Refusal> {
        let (verdict, meta) = judge(&*self.state.platform, &self.context, &opened.answer);
        let peer = choice.replica.pool.peer();
        notices::note_answer(
            &self.state,
            &self.context.id,
            &choice.replica,
            &meta,
            self.sent_at,
        );
        if choice.replica.health.note_answer() {
            log_event!(gateway::REPLICA_WELL, "replica={}", choice.replica.id());
        }
        if let (Some(version), Some(prompt)) = (meta.weights_version, self.context.prompt()) {
            choice.replica.note_version(&prompt.model, version);
        }
        match verdict {
            Verdict::Final | Verdict::Failed => {
                self.runs += 1;
                let has_failed = verdict == Verdict::Failed;
                choice.replica.health.note_outcome(has_failed);
                if has_failed && self.tries_failed_again(&choice) {
                    return Ok(None);
                }
                Ok(Some(Attempt { opened, choice }))
            }
            Verdict::NotRun => {
                let status = opened.answer.status().as_u16();
                let detail = format!("status {status}, misdirected {}", meta.is_misdirected);
                let is_right = meta.replica.as_deref() == Some(choice.replica.id());
                let other = self
                    .sent_for(&choice)
                    .filter(|_| meta.is_misdirected && is_right);
                match other {
                    Some(other) => self.has_other_weights(&choice, other, peer, &detail)?,
                    None => self.not_run(&choice, peer, &detail)?,
                }
                Ok(None)
            }
            Verdict::Unusable(why) => {
                self.lost(&choice, peer, why)?;
                Ok(None)
            }
        }
    }

    /// The replica with the version of the weights that the request was sent for; nothing where it needs none.
    fn sent_for(&self, choice: &Choice) -> Option<WithOtherWeights> {
        self.context.prompt()?;
        Some(WithOtherWeights {
            replica: Rc::clone(&choice.replica),
            sent_for: choice.weights_version?,
        })
    }

    /// Takes in that the right replica has other weights than it was sent to for. Where newer ones are known that it may have,
    /// the request goes back to it once: where a service has few replicas, all may have loaded between the choice and the
    /// arrival. Else it may return once no other replica is left.
    fn has_other_weights(
        &mut self,
        choice: &Choice,
        other: WithOtherWeights,
        peer: SocketAddr,
        detail: &str,
    ) -> Result<(), Refusal> {
        let is_first = !self.has_refused_for_weights(&choice.replica.life);
        let has_newer =
            self.knows_weights(&other) && self.version_at(&other) > Some(other.sent_for);
        self.with_other_weights.push(other);
        if !(is_first && has_newer) {
            return self.not_run(choice, peer, detail);
        }
        self.log_attempt(choice, "not_run", detail);
        self.state.holders.forget(&choice.prefixes, &choice.replica);
        self.sent_in_vain(peer, detail)
    }

    fn has_refused_for_weights(&self, life: &ReplicaIncarnation) -> bool {
        let mut others = self.with_other_weights.iter();
        others.any(|other| other.replica.life == *life)
    }

    /// The version that is believed of a replica.
    fn version_at(&self, other: &WithOtherWeights) -> Option<u64> {
        let prompt = self.context.prompt()?;
        other.replica.version_of(&prompt.model)
    }

    /// Whether another version is believed of a replica than the request was sent for.
    fn knows_weights(&self, other: &WithOtherWeights) -> bool {
        let Some(prompt) = self.context.prompt() else {
            return false;
        };
        let wanted = self.state.weights.borrow();
        let replica = &other.replica;
        replica.correct_version(&prompt.model, other.sent_for, &wanted);
        self.version_at(other) != Some(other.sent_for)
    }

    /// Whether a replica that refused the request for its weights may be tried again for those that it is believed to have now.
    /// Where nothing else is known of any, this gateway waits until it hears of other weights.
    async fn may_return(&mut self) -> bool {
        let others = std::mem::take(&mut self.with_other_weights);
        if others.is_empty() {
            return false;
        }
        if !others.iter().any(|other| self.knows_weights(other)) {
            self.hear_of_weights(&others).await;
        }
        let known = others.iter().filter(|other| self.knows_weights(other));
        let known: Vec<ReplicaIncarnation> =
            known.map(|other| other.replica.life.clone()).collect();
        self.tried.retain(|life| !known.contains(life));
        !known.is_empty()
    }

    /// Asks another gateway, and waits until it or the store tells of weights that one of these replicas may have.
    async fn hear_of_weights(&self, others: &[WithOtherWeights]) {
        self.state.peers.ask_now();
        let patience = WEIGHTS_PATIENCE.min(self.context.time_left());
        let known = async {
            while !others.iter().any(|other| self.knows_weights(other)) {
                self.state.weights_named.notified().await;
            }
        };
        if tokio::time::timeout(patience, known).await.is_err() {
            log::debug!("no newer weights were heard of in {patience:?}");
        }
    }

    /// Whether a request that failed at a replica goes to another one instead of passing the failure on.
    fn tries_failed_again(&mut self, choice: &Choice) -> bool {
        let is_possible = self.may_run_again()
            && !self.context.time_left().is_zero()
            && choose(
                &self.state,
                &self.context,
                &self.tried_with(choice),
                Progress::New,
            )
            .is_ok();
        if is_possible {
            self.log_attempt(choice, "failed", "the replica answered with a failure");
            self.tried.push(choice.replica.life.clone());
        }
        is_possible
    }

    fn tried_with(&self, choice: &Choice) -> Vec<ReplicaIncarnation> {
        let mut tried = self.tried.clone();
        tried.push(choice.replica.life.clone());
        tried
    }

    fn not_sent(&mut self, choice: &Choice, peer: SocketAddr, cause: &str) -> Result<(), Refusal> {
        self.note_failure(choice, cause);
        self.log_attempt(choice, "not_sent", cause);
        self.tried.push(choice.replica.life.clone());
        self.unreachable += 1;
        match self.unreachable >= MAX_UNREACHABLE {
            true => Err(self.give_up(Reason::NotRun, Some(peer), cause)),
            false => Ok(()),
        }
    }

    fn not_run(&mut self, choice: &Choice, peer: SocketAddr, detail: &str) -> Result<(), Refusal> {
        self.log_attempt(choice, "not_run", detail);
        choice.replica.health.note_full(Instant::now());
        self.state.holders.forget(&choice.prefixes, &choice.replica);
        self.tried.push(choice.replica.life.clone());
        // Its next request goes elsewhere at once, so only the budget of repeats bounds the search for one that has room.
        if choice.replica.notices.is_resting(Instant::now()) {
            return Ok(());
        }
        self.sent_in_vain(peer, detail)
    }

    /// Counts a send that a replica did not run; an error where there were too many.
    fn sent_in_vain(&mut self, peer: SocketAddr, detail: &str) -> Result<(), Refusal> {
        self.vain_sends += 1;
        if self.vain_sends < MAX_VAIN_SENDS {
            return Ok(());
        }
        // Where all others rest too, the caller is told when that ends.
        match choose(&self.state, &self.context, &self.tried, Progress::New) {
            Err(refusal) if refusal.reason == Reason::Paused => Err(self.without_replica(refusal)),
            _ => Err(self.give_up(Reason::NotRun, Some(peer), detail)),
        }
    }

    fn lost(&mut self, choice: &Choice, peer: SocketAddr, cause: &str) -> Result<(), Refusal> {
        self.runs += 1;
        self.note_failure(choice, cause);
        choice.replica.health.note_outcome(true);
        let fingerprint = self.context.fingerprint();
        self.log_attempt(
            choice,
            "lost",
            &format!("fingerprint={fingerprint} {cause}"),
        );
        let ran = self.sent_at.elapsed();
        note_loss(&self.state, &choice.replica, fingerprint, ran);
        self.tried.push(choice.replica.life.clone());
        match self.may_run_again() {
            true => Ok(()),
            false => Err(self.give_up(Reason::Unknown, Some(peer), cause)),
        }
    }

    /// Takes in that the request was withdrawn from a replica. It may have begun unseen, so it counts as a run;
    /// the replica is none the worse for it.
    fn withdrawn(&mut self, choice: &Choice) -> Result<(), Refusal> {
        self.runs += 1;
        self.state.status.metrics.withdrawn.inc();
        log_event!(
            gateway::REQUEST_WITHDRAWN,
            "request={} replica={} version={:?} elapsed={:?}",
            self.context.id,
            choice.replica.id(),
            choice.weights_version,
            self.context.started.elapsed()
        );
        self.tried.push(choice.replica.life.clone());
        match self.may_run_again() {
            true => Ok(()),
            false => {
                let peer = Some(choice.replica.pool.peer());
                Err(self.give_up(Reason::Unknown, peer, TOO_OLD))
            }
        }
    }

    fn note_failure(&self, choice: &Choice, cause: &str) {
        let pause = choice.replica.health.note_failure(Instant::now());
        log_event!(
            gateway::REPLICA_SUSPECT,
            "replica={} pause={pause:?} cause={cause:?}",
            choice.replica.id()
        );
    }

    fn spend(&self) -> bool {
        let is_left = self.state.budgets.try_spend(&self.context.service);
        match is_left {
            true => {
                self.state.status.metrics.repeated.inc();
            }
            false => log_event!(
                gateway::BUDGET_SPENT,
                "request={} service={}",
                self.context.id,
                self.context.service
            ),
        }
        is_left
    }

    fn without_replica(&self, refusal: Refusal) -> Refusal {
        match self.runs {
            0 => refusal,
            _ => self.give_up(Reason::Unknown, None, &refusal.detail),
        }
    }

    /// The refusal of a request that goes to no more replicas. Once it may have run, nothing is promised.
    fn give_up(&self, reason: Reason, peer: Option<SocketAddr>, detail: &str) -> Refusal {
        let reason = match (reason, self.runs) {
            (Reason::NotRun, 0) => Reason::NotRun,
            (Reason::NotRun, _) => Reason::Unknown,
            (Reason::TimedOut, 0) if self.sends == 0 => Reason::NotRun,
            (reason, _) => reason,
        };
        Refusal {
            step: Step::Dispatch,
            reason,
            peer,
            detail: detail.to_owned(),
            retry_after: None,
        }
    }

    fn log_attempt(&self, choice: &Choice, taken_for: &str, detail: &str) {
        log_event!(
            gateway::ATTEMPT_ENDED,
            "request={} replica={} taken_for={taken_for} elapsed={:?} detail={detail:?}",
            self.context.id,
            choice.replica.id(),
            self.context.started.elapsed()
        );
    }
}
