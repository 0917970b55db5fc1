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
use super::dispatch::{OpenAnswer, send};
use super::first_list::first_list_timeout;
use super::forward::Forwarder;
use super::hedge::{HedgePlan, route_speed, send_hedged};
use super::refusal::{Reason, Refusal, Step};
use super::weights_mismatch::WeightsMismatch;
use crate::permits::{self, PermitDenied};
use crate::protocol::ReplicaIncarnation;
use crate::reachability::ServicePath;
use crate::state::GatewayState;
use crate::stream_versions::VersionBinding;

/// Maximum number of replicas without room in their rate limits before the request is refused: each permit query takes
/// a round trip.
const MAX_PERMIT_DENIALS: usize = 6;

/// The attempts of one request.
pub struct Attempts {
    pub(super) state: Rc<GatewayState>,
    pub(super) context: Rc<RequestContext>,
    pub(super) tried: Vec<ReplicaIncarnation>,
    /// Those of them to which no connection came up, and which may be sound: they are tried again if no other is left.
    pub(super) silent: Vec<ReplicaIncarnation>,
    /// Replicas that refused because they have other weights than the request was sent for.
    pub(super) weights_mismatches: Vec<WeightsMismatch>,
    /// The path to the replicas of its service.
    pub(super) path: Rc<ServicePath>,
    /// Whether another gateway forwards it: that one counts its attempts, and it is not forwarded again.
    pub(super) is_forwarded: bool,
    pub(super) possible_runs: u32,
    pub(super) not_run_answers: usize,
    pub(super) unreachable: usize,
    /// Number of other gateways that declined it or could not be reached.
    pub(super) peer_failures: usize,
    pub(super) sends: u32,
    /// Number of replicas whose rate limits left no room.
    permit_denials: usize,
    /// Minimum time until one of them has room again.
    min_permit_wait: Duration,
    /// When the request was last sent to a replica.
    pub(super) sent_at: Instant,
    /// Whether the request is also open at another replica.
    pub(super) has_other_send: bool,
    /// Whether it was sent to a second replica because the first took long.
    pub(super) has_hedged: bool,
}

/// Where an answer comes from.
#[derive(Debug)]
pub enum Responder {
    /// A replica that this gateway has chosen.
    Replica(Box<Choice>),
    /// A replica that another gateway has chosen.
    Peer(Forwarder),
}

impl Responder {
    /// The id of the replica.
    pub fn replica(&self) -> &str {
        match self {
            Self::Replica(choice) => choice.replica.id(),
            Self::Peer(forwarder) => &forwarder.replica,
        }
    }

    /// The replica that this gateway has chosen.
    pub fn choice(&self) -> Option<&Choice> {
        match self {
            Self::Replica(choice) => Some(choice),
            Self::Peer(_) => None,
        }
    }
}

/// A replica's answer whose head has arrived.
#[derive(Debug)]
pub struct Attempt {
    /// The answer.
    pub opened: OpenAnswer,
    /// Where it comes from.
    pub responder: Responder,
}

impl Attempts {
    /// Starts without any attempt.
    pub fn new(state: &Rc<GatewayState>, context: &Rc<RequestContext>) -> Self {
        state.retry_budgets.earn(context.service());
        if let Some(speed) = route_speed(state, context) {
            speed.earn_hedge();
        }
        Self::without_runs(state, context)
    }

    /// Starts with a request that another gateway forwards, which has tried these replicas.
    pub fn for_forwarded(
        state: &Rc<GatewayState>,
        context: &Rc<RequestContext>,
        tried: Vec<ReplicaIncarnation>,
    ) -> Self {
        Self {
            tried,
            is_forwarded: true,
            has_hedged: true,
            ..Self::without_runs(state, context)
        }
    }

    fn without_runs(state: &Rc<GatewayState>, context: &Rc<RequestContext>) -> Self {
        Self {
            state: Rc::clone(state),
            path: state.paths.of(context.service()),
            is_forwarded: false,
            context: Rc::clone(context),
            tried: Vec::new(),
            silent: Vec::new(),
            weights_mismatches: Vec::new(),
            possible_runs: 0,
            not_run_answers: 0,
            unreachable: 0,
            peer_failures: 0,
            sends: 0,
            permit_denials: 0,
            min_permit_wait: Duration::MAX,
            sent_at: context.arrived_at,
            has_other_send: false,
            has_hedged: false,
        }
    }

    /// Sends the request until a replica's answer has begun. `last_event_id` resumes a stream after that event.
    pub async fn next(&mut self, last_event_id: Option<&str>) -> Result<Attempt, Refusal> {
        let timeout = first_list_timeout(self.state.now(), self.context.time_left());
        let service = self.context.service();
        let progress = match last_event_id.is_some() || self.context.takes_stream_up() {
            true => Progress::Resumed,
            false => Progress::New,
        };
        if self.context.binding.get() == VersionBinding::Unknown {
            let detail = "the version of the replica that began the stream is not known";
            return Err(self.give_up(Reason::VersionUnknown, None, detail));
        }
        self.state.wait_for_replicas(service, timeout).await;
        loop {
            if self.context.time_left().is_zero() {
                return Err(self.give_up(Reason::TimedOut, None, "no time left"));
            }
            let may_have_run = self.possible_runs > 0;
            if let Err(refusal) = check_quarantine(&self.state, &self.context, may_have_run) {
                return Err(self.refusal_without_replica(refusal));
            }
            if self.is_cut_off() {
                match self.forward(last_event_id).await? {
                    Some(attempt) => return Ok(attempt),
                    None => continue,
                }
            }
            let choice = match choose(&self.state, &self.context, &self.tried, progress) {
                Ok(choice) => choice,
                Err(refusal) => match refusal.reason {
                    Reason::NoReplica if self.may_retry_after_mismatch().await => continue,
                    Reason::NoReplica if self.may_retry_silent() => continue,
                    _ => return Err(self.refusal_without_replica(refusal)),
                },
            };
            if self.needs_new_connection(&choice.replica.pool) {
                match self.forward(last_event_id).await? {
                    Some(attempt) => return Ok(attempt),
                    None => continue,
                }
            }
            if let Err(denial) = permits::acquire(&self.state, &choice.replica).await {
                self.handle_permit_denial(&choice, denial)?;
                continue;
            }
            if self.sends > 0 && !self.try_spend_retry() {
                return Err(self.give_up(Reason::NotRun, None, "the budget is spent"));
            }
            let ended = match HedgePlan::new(self, self.possible_runs) {
                Some(plan) => send_hedged(self, choice, plan).await?,
                None => {
                    let sent_at = Instant::now();
                    let may_move = self.may_move();
                    let outcome =
                        send(&self.state, &self.context, &choice, last_event_id, may_move).await;
                    self.handle_outcome(choice, sent_at, outcome)?
                }
            };
            if let Some(attempt) = ended {
                return Ok(attempt);
            }
        }
    }

    /// Counts a send whose connection is closed because another replica answered first: it may have run.
    pub(super) fn count_closed_send(&mut self, replica: &ReplicaIncarnation) {
        self.sends += 1;
        self.possible_runs += 1;
        self.tried.push(replica.clone());
    }

    /// The replicas that were tried, and this one.
    pub(super) fn tried_and(&self, replica: &ReplicaIncarnation) -> Vec<ReplicaIncarnation> {
        let mut tried = self.tried.clone();
        tried.push(replica.clone());
        tried
    }

    /// Whether a request that a replica has run, or may have run, may be sent to another one.
    pub fn may_run_again(&self) -> bool {
        !self.is_forwarded
            && self.context.route().is_repeatable()
            && self.possible_runs < self.context.route().max_attempts
    }

    /// Whether a request that is sent to a replica now may be sent again after that.
    fn may_move(&self) -> bool {
        !self.is_forwarded
            && self.context.route().is_repeatable()
            && self.possible_runs + 1 < self.context.route().max_attempts
    }

    /// Handles a denied permit: the replica is passed over until its limit has room. An error if too many replicas have
    /// denied one.
    fn handle_permit_denial(
        &mut self,
        choice: &Choice,
        denial: PermitDenied,
    ) -> Result<(), Refusal> {
        self.log_attempt(choice, "no_permit", &format!("wait {:?}", denial.wait));
        self.permit_denials += 1;
        self.min_permit_wait = self.min_permit_wait.min(denial.wait);
        if self.permit_denials < MAX_PERMIT_DENIALS {
            return Ok(());
        }
        let detail = format!(
            "the limits of {} replicas leave no room",
            self.permit_denials
        );
        let refusal = paused(&self.state, self.min_permit_wait, detail);
        Err(self.refusal_without_replica(refusal))
    }

    /// Whether replicas to which no connection came up are tried again, since no other one is left.
    fn may_retry_silent(&mut self) -> bool {
        let silent = std::mem::take(&mut self.silent);
        self.tried.retain(|tried| !silent.contains(tried));
        !silent.is_empty()
    }

    pub(super) fn try_spend_retry(&self) -> bool {
        let is_left = self.state.retry_budgets.try_spend(self.context.service());
        match is_left {
            true => {
                self.state.status.metrics.repeated.inc();
            }
            false => log_event!(
                gateway::BUDGET_SPENT,
                "request={} service={}",
                self.context.id,
                self.context.service()
            ),
        }
        is_left
    }

    pub(super) fn refusal_without_replica(&self, refusal: Refusal) -> Refusal {
        match self.possible_runs {
            0 => refusal,
            _ => self.give_up(Reason::Unknown, None, &refusal.detail),
        }
    }

    /// Refusal of a request that is sent to no more replicas. If it may have run, it is not reported as not run.
    pub(super) fn give_up(
        &self,
        reason: Reason,
        peer: Option<SocketAddr>,
        detail: &str,
    ) -> Refusal {
        let reason = match (reason, self.possible_runs) {
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

    pub(super) fn log_attempt(&self, choice: &Choice, taken_for: &str, detail: &str) {
        log_event!(
            gateway::ATTEMPT_ENDED,
            "request={} replica={} taken_for={taken_for} elapsed={:?} detail={detail:?}",
            self.context.id,
            choice.replica.id(),
            self.context.arrived_at.elapsed()
        );
    }
}
