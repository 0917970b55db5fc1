//! What the end of a send means for its request and its replica, and whether the request is sent again.

use std::net::SocketAddr;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::admission::Progress;
use super::attempts::{Attempt, Attempts, Responder};
use super::check_share::may_be_loading;
use super::choose_replica::{Choice, choose};
use super::dispatch::{OpenAnswer, SendError};
use super::judge::{Verdict, judge};
use super::refusal::{Reason, Refusal};
use super::unended::note_endless;
use crate::notices;
use crate::quarantine::note_lost_answer;
use crate::reachability::{self, Doubt};
use crate::upstream::{AnswerError, EndlessError, SendFailure};

/// Maximum number of replicas that answer "not run" before the request is refused.
const MAX_NOT_RUN_ANSWERS: usize = 3;

/// Maximum number of unreachable replicas before the request is refused.
const MAX_UNREACHABLE: usize = 4;

/// Why a request is withdrawn.
const WITHDRAWN_FOR_OLD_WEIGHTS: &str =
    "it had not begun when the weights of its replica became too old";

/// Why a request is not sent to a replica that may be sound.
const NOT_CONNECTED: &str = "no connection to it has come up in time";

/// Why a request leaves a replica that can't be reached any more.
const PATH_LOST: &str = "no replica can be reached from here";

/// How a send to a replica ended.
pub type SendOutcome = Result<OpenAnswer, SendError>;

/// Why an answer that has begun is not read to its end.
#[derive(Debug)]
pub enum AnswerFailure {
    /// It broke off, for this cause.
    BrokeOff(String),
    /// It is none, since an element has no end.
    Endless(EndlessError),
    /// Its head announces more than is accepted.
    TooLong(String),
    /// Its head arrived, but the request had not begun when the replica's weights became too old.
    Withdrawn,
    /// The path to all replicas was lost; another gateway can go on with it.
    PathLost,
}

impl AnswerFailure {
    /// The failure of an answer that was being read.
    pub fn of(error: &AnswerError) -> Self {
        match error {
            AnswerError::Endless(endless) => Self::Endless(*endless),
            AnswerError::BrokeOff(_) => Self::BrokeOff(error.to_string()),
            AnswerError::TooLong(_) => Self::TooLong(error.to_string()),
        }
    }

    /// Description of the cause.
    pub fn cause(&self) -> String {
        match self {
            Self::BrokeOff(cause) | Self::TooLong(cause) => cause.clone(),
            Self::Endless(endless) => endless.to_string(),
            Self::Withdrawn => WITHDRAWN_FOR_OLD_WEIGHTS.to_owned(),
            Self::PathLost => PATH_LOST.to_owned(),
        }
    }
}

impl Attempts {
    /// Handles the end of a send. Returns the answer if it is the one to forward; an error if the request can't be sent
    /// again.
    pub(super) fn handle_outcome(
        &mut self,
        choice: Choice,
        sent_at: Instant,
        outcome: SendOutcome,
    ) -> Result<Option<Attempt>, Refusal> {
        self.sent_at = sent_at;
        match outcome {
            Ok(opened) => {
                self.sends += 1;
                return self.handle_answer(opened, choice);
            }
            Err(SendError::Failed(SendFailure::NotSent { peer, cause })) => {
                self.handle_not_sent(&choice, peer, &cause)?;
            }
            Err(SendError::Failed(SendFailure::Endless { peer, error })) => {
                self.sends += 1;
                note_endless(&choice.replica, &error);
                self.handle_lost(&choice, peer, &error.to_string())?;
            }
            Err(SendError::Failed(SendFailure::NoAnswer { peer, cause })) => {
                self.sends += 1;
                self.handle_lost(&choice, peer, &cause)?;
            }
            Err(SendError::NotConnected) => self.handle_not_connected(&choice)?,
            Err(SendError::Resting) => {
                self.log_attempt(&choice, "not_sent", "it is cooling down");
            }
            Err(SendError::VersionUnconfirmed) => self.handle_unconfirmed(&choice)?,
            Err(SendError::Withdrawn) => {
                self.sends += 1;
                self.handle_withdrawn(&choice)?;
            }
            Err(SendError::PathLost) => {
                self.sends += 1;
                self.handle_path_lost(&choice)?;
            }
        }
        Ok(None)
    }

    /// Handles an answer that is not read to its end although its head has arrived; an error if the request can't be
    /// sent again.
    pub fn handle_failed_answer(
        &mut self,
        responder: &Responder,
        failure: &AnswerFailure,
    ) -> Result<(), Refusal> {
        // It was counted as a run when its head arrived.
        self.possible_runs -= 1;
        let choice = match responder {
            Responder::Replica(choice) => choice,
            Responder::Peer(forwarder) => {
                return self.handle_broken_hop(forwarder, failure);
            }
        };
        match failure {
            AnswerFailure::BrokeOff(cause) => {
                self.handle_lost(choice, choice.replica.pool.peer(), cause)
            }
            AnswerFailure::Endless(endless) => {
                note_endless(&choice.replica, endless);
                let cause = endless.to_string();
                self.handle_lost(choice, choice.replica.pool.peer(), &cause)
            }
            AnswerFailure::TooLong(cause) => Err(self.handle_too_long(choice, cause)),
            AnswerFailure::Withdrawn => self.handle_withdrawn(choice),
            AnswerFailure::PathLost => self.handle_path_lost(choice),
        }
    }

    fn handle_answer(
        &mut self,
        mut opened: OpenAnswer,
        choice: Choice,
    ) -> Result<Option<Attempt>, Refusal> {
        let (verdict, meta) = judge(&*self.state.platform, &self.context, &opened.answer);
        opened.note_speed(&verdict);
        let peer = choice.replica.pool.peer();
        notices::record_answer(
            &self.state,
            &self.context.id,
            &choice.replica,
            &meta,
            self.sent_at,
        );
        if choice.replica.health.record_answer() {
            log_event!(gateway::REPLICA_WELL, "replica={}", choice.replica.id());
        }
        if let (Some(version), Some(prompt)) = (meta.weights_version, self.context.prompt()) {
            choice.replica.record_version(&prompt.model, version);
        }
        let is_full = verdict == Verdict::NotRun
            && !meta.is_misdirected
            && !may_be_loading(&self.state, &self.context, &choice.replica);
        self.state
            .shares
            .record_answer(self.context.service(), is_full);
        match verdict {
            Verdict::Final | Verdict::Failed => {
                self.possible_runs += 1;
                let has_failed = verdict == Verdict::Failed;
                choice.replica.health.record_outcome(has_failed);
                if has_failed && self.tries_elsewhere_after_failure(&choice) {
                    return Ok(None);
                }
                Ok(Some(Attempt {
                    opened,
                    responder: Responder::Replica(Box::new(choice)),
                }))
            }
            Verdict::NotRun => {
                let status = opened.answer.status().as_u16();
                let detail = format!("status {status}, misdirected {}", meta.is_misdirected);
                let is_from_chosen_replica = meta.replica.as_deref() == Some(choice.replica.id());
                let mismatch = self
                    .mismatch_at(&choice)
                    .filter(|_| meta.is_misdirected && is_from_chosen_replica);
                match mismatch {
                    Some(mismatch) => self.handle_mismatch(&choice, mismatch, peer, &detail)?,
                    None => self.handle_not_run(&choice, peer, &detail)?,
                }
                Ok(None)
            }
            Verdict::Unusable(why) => {
                self.handle_lost(&choice, peer, why)?;
                Ok(None)
            }
        }
    }

    /// Whether a request that failed at a replica is sent to another one instead of forwarding the failure.
    fn tries_elsewhere_after_failure(&mut self, choice: &Choice) -> bool {
        let may_choose_another = || {
            let tried = self.tried_and(&choice.replica.incarnation);
            choose(&self.state, &self.context, &tried, Progress::New).is_ok()
        };
        let is_possible = self.has_other_send
            || (self.may_run_again()
                && !self.context.time_left().is_zero()
                && may_choose_another());
        if is_possible {
            self.log_attempt(choice, "failed", "the replica answered with a failure");
            self.tried.push(choice.replica.incarnation.clone());
        }
        is_possible
    }

    fn handle_not_sent(
        &mut self,
        choice: &Choice,
        peer: SocketAddr,
        cause: &str,
    ) -> Result<(), Refusal> {
        self.note_failure(choice, cause);
        self.log_attempt(choice, "not_sent", cause);
        self.tried.push(choice.replica.incarnation.clone());
        self.unreachable += 1;
        match self.unreachable >= MAX_UNREACHABLE {
            true => Err(self.give_up(Reason::NotRun, Some(peer), cause)),
            false => Ok(()),
        }
    }

    /// Handles a replica to which no connection came up in time. It may be sound and silent for a while, so nothing is held
    /// against it unless that lasts.
    fn handle_not_connected(&mut self, choice: &Choice) -> Result<(), Refusal> {
        let replica = &choice.replica;
        if replica.health.record_silence(Instant::now()) {
            return self.handle_not_sent(choice, replica.pool.peer(), NOT_CONNECTED);
        }
        let service = self.context.service();
        reachability::doubt(&self.state, service, &self.path, Doubt::Failure);
        self.log_attempt(choice, "not_sent", NOT_CONNECTED);
        self.tried.push(replica.incarnation.clone());
        self.silent.push(replica.incarnation.clone());
        Ok(())
    }

    /// Handles a replica that could not be shown to run the version that began the stream.
    fn handle_unconfirmed(&mut self, choice: &Choice) -> Result<(), Refusal> {
        let detail = "its software version could not be confirmed";
        self.log_attempt(choice, "not_sent", detail);
        self.tried.push(choice.replica.incarnation.clone());
        self.unreachable += 1;
        match self.unreachable >= MAX_UNREACHABLE {
            true => Err(self.give_up(Reason::NotRun, Some(choice.replica.pool.peer()), detail)),
            false => Ok(()),
        }
    }

    pub(super) fn handle_not_run(
        &mut self,
        choice: &Choice,
        peer: SocketAddr,
        detail: &str,
    ) -> Result<(), Refusal> {
        self.log_attempt(choice, "not_run", detail);
        choice.replica.health.record_overload(Instant::now());
        notices::record_refusal(&self.state, &choice.replica);
        self.state.holders.remove(&choice.prefixes, &choice.replica);
        self.tried.push(choice.replica.incarnation.clone());
        // Its next request goes elsewhere at once, so only the retry budget bounds the search for a replica that has
        // room.
        if choice.replica.notices.is_cooling_down(Instant::now()) {
            return Ok(());
        }
        self.count_not_run(peer, detail)
    }

    /// Counts an answer "not run"; an error if there were too many.
    pub(super) fn count_not_run(&mut self, peer: SocketAddr, detail: &str) -> Result<(), Refusal> {
        self.not_run_answers += 1;
        if self.not_run_answers < MAX_NOT_RUN_ANSWERS {
            return Ok(());
        }
        // If all other replicas are cooling down too, the caller is told when that ends.
        match choose(&self.state, &self.context, &self.tried, Progress::New) {
            Err(refusal) if refusal.reason == Reason::Paused => {
                Err(self.refusal_without_replica(refusal))
            }
            _ => Err(self.give_up(Reason::NotRun, Some(peer), detail)),
        }
    }

    fn handle_lost(
        &mut self,
        choice: &Choice,
        peer: SocketAddr,
        cause: &str,
    ) -> Result<(), Refusal> {
        self.possible_runs += 1;
        self.note_failure(choice, cause);
        choice.replica.health.record_outcome(true);
        let fingerprint = self.context.fingerprint();
        self.log_attempt(
            choice,
            "lost",
            &format!("fingerprint={fingerprint} {cause}"),
        );
        let ran = self.sent_at.elapsed();
        let parts = self.context.part_fingerprints();
        note_lost_answer(&self.state, &choice.replica, fingerprint, parts, ran);
        self.tried.push(choice.replica.incarnation.clone());
        match self.may_run_again() {
            true => Ok(()),
            false => Err(self.give_up(Reason::Unknown, Some(peer), cause)),
        }
    }

    /// Handles an answer that announces more than is accepted. Another replica would give the same, and nothing is held
    /// against this one.
    fn handle_too_long(&mut self, choice: &Choice, cause: &str) -> Refusal {
        self.possible_runs += 1;
        self.log_attempt(choice, "too_long", cause);
        self.give_up(Reason::Unknown, Some(choice.replica.pool.peer()), cause)
    }

    /// Handles the withdrawal of the request from a replica. It may have begun without an answer, so it counts as a
    /// run; this is not held against the replica.
    fn handle_withdrawn(&mut self, choice: &Choice) -> Result<(), Refusal> {
        self.possible_runs += 1;
        self.state.status.metrics.withdrawn.inc();
        log_event!(
            gateway::REQUEST_WITHDRAWN,
            "request={} replica={} version={:?} elapsed={:?}",
            self.context.id,
            choice.replica.id(),
            choice.weights_version,
            self.context.arrived_at.elapsed()
        );
        self.tried.push(choice.replica.incarnation.clone());
        match self.may_run_again() {
            true => Ok(()),
            false => {
                let peer = Some(choice.replica.pool.peer());
                Err(self.give_up(Reason::Unknown, peer, WITHDRAWN_FOR_OLD_WEIGHTS))
            }
        }
    }

    /// Handles a request that leaves its replica because none can be reached. It may have run; this is not held against
    /// the replica.
    fn handle_path_lost(&mut self, choice: &Choice) -> Result<(), Refusal> {
        self.possible_runs += 1;
        self.log_attempt(choice, "path_lost", PATH_LOST);
        self.tried.push(choice.replica.incarnation.clone());
        match self.may_run_again() {
            true => Ok(()),
            false => {
                let peer = Some(choice.replica.pool.peer());
                Err(self.give_up(Reason::Unknown, peer, PATH_LOST))
            }
        }
    }

    fn note_failure(&self, choice: &Choice, cause: &str) {
        let service = self.context.service();
        reachability::doubt(&self.state, service, &self.path, Doubt::Failure);
        let pause = choice.replica.health.record_failure(Instant::now());
        let start = notices::window_start(&self.state, &choice.replica);
        choice.replica.notices.brittleness.record_failure(start);
        log_event!(
            gateway::REPLICA_SUSPECT,
            "replica={} pause={pause:?} cause={cause:?}",
            choice.replica.id()
        );
    }
}
