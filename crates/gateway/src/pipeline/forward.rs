//! Sends a request through another gateway while the replicas of its service can't be reached from here.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_decisions::retry_after::retry_after_pause;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::Request;
use http_body_util::Full;

use super::attempts::{Attempt, Attempts, Responder};
use super::context::RequestContext;
use super::dispatch::OpenAnswer;
use super::judge::{Verdict, judge};
use super::outcomes::AnswerFailure;
use super::refusal::{Reason, Refusal, Step};
use crate::forwarding::hop::{DeclineReason, HopOutcome, HopRequest};
use crate::forwarding::{PeerUse, UsablePeer};
use crate::protocol::SoftwareVersion;
use crate::reachability::ServicePath;
use crate::state::GatewayState;
use crate::upstream::{Answer, SendFailure};

/// Maximum number of gateways that decline a request or can't be reached before it is refused.
const MAX_PEER_FAILURES: usize = 3;

/// How long a request waits for the first offers after its path was lost; other gateways answer within milliseconds.
const FIRST_OFFER_TIMEOUT: Duration = Duration::from_millis(150);

/// How long a path must have been lost for the absence of offers to be final.
const FIRST_OFFERS_AFTER: Duration = Duration::from_millis(500);

/// When a caller should retry if no gateway reaches the service, before jitter. Paths are probed three times a second.
const UNREACHABLE_RETRY_AFTER: Duration = Duration::from_millis(700);

/// The gateway through which a request was answered.
#[derive(Debug)]
pub struct Forwarder {
    /// Its name.
    pub peer: String,
    /// The id of the replica that answered.
    pub replica: String,
    /// Its offer.
    usable: Rc<UsablePeer>,
    /// Counts the request as open there.
    _use: PeerUse,
}

/// Completes when the path is lost for open connections too, and another gateway takes requests for the service.
pub async fn until_forwardable(state: &GatewayState, context: &RequestContext, path: &ServicePath) {
    if !state.forwarding.is_enabled {
        return std::future::pending().await;
    }
    let is_forwardable = || {
        let now = Instant::now();
        path.is_cut_off(now)
            && state
                .forwarding
                .offers
                .choose(context.service(), context.is_bound(), now)
                .is_some()
    };
    while !is_forwardable() {
        state.forwarding.offers_changed.notified().await;
    }
}

impl Attempts {
    /// Whether the request is to be forwarded before a replica is chosen: open connections are of no use either.
    pub(super) fn is_cut_off(&self) -> bool {
        self.state.forwarding.is_enabled && self.path.is_cut_off(Instant::now())
    }

    /// Whether a request whose replica is chosen needs a new connection, which can't be had.
    pub(super) fn needs_new_connection(&self, pool: &crate::upstream::Pool) -> bool {
        self.state.forwarding.is_enabled && self.path.is_lost() && !pool.has_idle()
    }

    /// Sends the request to another gateway. Returns the answer; nothing if the request may be tried again, here or
    /// elsewhere.
    pub(super) async fn forward(
        &mut self,
        last_event_id: Option<&str>,
    ) -> Result<Option<Attempt>, Refusal> {
        if self.is_forwarded {
            return Err(self.unreachable("requests are forwarded once"));
        }
        let Some(peer) = self.find_peer().await else {
            return Err(self.unreachable("no other gateway reaches the service"));
        };
        if self.sends > 0 && !self.try_spend_retry() {
            return Err(self.give_up(Reason::NotRun, None, "the budget is spent"));
        }
        let peer_use = PeerUse::begin(&peer);
        self.log_forwarded(&peer);
        let sent = self.send_to_peer(&peer, last_event_id).await;
        match sent {
            Ok((answer, HopOutcome::Answered { replica, software })) => {
                let forwarder = Forwarder {
                    peer: peer.offer.peer.clone(),
                    replica,
                    usable: Rc::clone(&peer),
                    _use: peer_use,
                };
                self.handle_peer_answer(answer, software, forwarder, &peer)
            }
            Ok((
                _,
                HopOutcome::NotRun {
                    reason,
                    retry_after,
                },
            )) => self.handle_declined(&peer, reason, retry_after),
            Ok((_, HopOutcome::Unknown)) => {
                self.handle_lost_at_peer(&peer, "it may have run there")
            }
            Err(SendFailure::NotSent { cause, .. }) => {
                peer.pause(Instant::now());
                self.count_peer_failure(&peer, "not_sent", &cause)
            }
            Err(SendFailure::NoAnswer { cause, .. }) => {
                peer.pause(Instant::now());
                self.handle_lost_at_peer(&peer, &cause)
            }
            Err(SendFailure::Endless { error, .. }) => {
                peer.pause_as_endless(Instant::now());
                self.handle_lost_at_peer(&peer, &error.to_string())
            }
        }
    }

    /// The gateway to send to. Right after the loss of the path the first offers are waited for.
    async fn find_peer(&self) -> Option<Rc<UsablePeer>> {
        let service = self.context.service();
        let is_bound = self.context.is_bound();
        let offers = &self.state.forwarding.offers;
        let choose = || offers.choose(service, is_bound, Instant::now());
        if let Some(peer) = choose() {
            return Some(peer);
        }
        let lost_for = self.path.lost_for(Instant::now())?;
        if lost_for > FIRST_OFFERS_AFTER {
            return None;
        }
        let offered = async {
            loop {
                self.state.forwarding.offers_changed.notified().await;
                if let Some(peer) = choose() {
                    return peer;
                }
            }
        };
        let timeout = FIRST_OFFER_TIMEOUT.min(self.context.time_left());
        tokio::time::timeout(timeout, offered).await.ok()
    }

    /// Sends the request and waits for the head of the answer. A pooled connection that turns out to be closed before a
    /// byte was sent is replaced.
    async fn send_to_peer(
        &self,
        peer: &UsablePeer,
        last_event_id: Option<&str>,
    ) -> Result<(Answer, HopOutcome), SendFailure> {
        let not_sent = |cause: String| SendFailure::NotSent {
            peer: peer.offer.address,
            cause,
        };
        loop {
            let connection = peer.pool.take().await;
            let mut connection = connection.map_err(|error| not_sent(error.to_string()))?;
            let request = self.build_hop(peer, last_event_id).map_err(not_sent)?;
            self.context.was_sent.set(true);
            match connection.send(request).await {
                Ok(response) => {
                    let mut answer = Answer::new(response, connection, Rc::clone(&peer.pool));
                    let outcome = HopOutcome::take(answer.headers_mut());
                    return Ok((answer, outcome));
                }
                Err(SendFailure::NotSent { .. }) if connection.is_reused => {}
                Err(failure) => return Err(failure),
            }
        }
    }

    fn build_hop(
        &self,
        peer: &UsablePeer,
        last_event_id: Option<&str>,
    ) -> Result<Request<Full<Bytes>>, String> {
        let context = &self.context;
        let request = Request::builder()
            .method(context.method.clone())
            .uri(context.path.as_str())
            .body(Full::new(context.body.clone()));
        let mut request = request.map_err(|error| error.to_string())?;
        let hop = HopRequest {
            token: peer.offer.token,
            from: self.state.peers.own().name.clone(),
            service: context.service().to_owned(),
            key: context.meta.key.clone(),
            time_left: context.time_left(),
            tried: self.tried.iter().map(|life| life.id.clone()).collect(),
            last_event_id: last_event_id.map(str::to_owned),
            software: context.bound_version(),
        };
        let headers = request.headers_mut();
        *headers = context.headers.clone();
        hop.write(headers).map_err(|error| error.to_string())?;
        Ok(request)
    }

    fn handle_peer_answer(
        &mut self,
        answer: Answer,
        software: Option<SoftwareVersion>,
        forwarder: Forwarder,
        peer: &UsablePeer,
    ) -> Result<Option<Attempt>, Refusal> {
        let (verdict, _) = judge(&*self.state.platform, &self.context, &answer);
        match verdict {
            Verdict::Final | Verdict::Failed => {
                self.sends += 1;
                self.possible_runs += 1;
                self.count_forwarded(peer, "answered");
                let has_failed = verdict == Verdict::Failed;
                if has_failed && self.may_run_again() && !self.context.time_left().is_zero() {
                    self.log_hop_failure(peer, "failed", &forwarder.replica);
                    if let Some(replica) = self.state.registry.get(&forwarder.replica) {
                        self.tried.push(replica.incarnation.clone());
                    }
                    return Ok(None);
                }
                Ok(Some(Attempt {
                    opened: OpenAnswer::of_peer(answer, software),
                    responder: Responder::Peer(forwarder),
                }))
            }
            Verdict::NotRun => self.handle_declined(peer, DeclineReason::NotRun, None),
            Verdict::Unusable(why) => self.handle_lost_at_peer(peer, why),
        }
    }

    /// Handles a request that another gateway has not brought to a replica, or that no replica there has run.
    fn handle_declined(
        &mut self,
        peer: &UsablePeer,
        reason: DeclineReason,
        retry_after: Option<Duration>,
    ) -> Result<Option<Attempt>, Refusal> {
        if reason.concerns_gateway_only() {
            peer.pause(Instant::now());
            return self.count_peer_failure(peer, reason.name(), "declined");
        }
        self.count_forwarded(peer, reason.name());
        self.log_hop_failure(peer, reason.name(), "declined");
        let reason = match reason {
            DeclineReason::Overloaded => Reason::Overloaded,
            DeclineReason::Paused => Reason::Paused,
            DeclineReason::Quarantined => Reason::Quarantined,
            DeclineReason::VersionGone => Reason::VersionGone,
            DeclineReason::NoRoom
            | DeclineReason::Configuration
            | DeclineReason::Unreachable
            | DeclineReason::NotRun => Reason::NotRun,
        };
        let detail = format!("declined by gateway {}", peer.offer.peer);
        Err(self.refusal_without_replica(Refusal {
            retry_after,
            ..Refusal::new(Step::Dispatch, reason, detail)
        }))
    }

    /// Counts a gateway that could not be reached or does not serve the request; an error if there were too many.
    fn count_peer_failure(
        &mut self,
        peer: &UsablePeer,
        outcome: &'static str,
        cause: &str,
    ) -> Result<Option<Attempt>, Refusal> {
        self.count_forwarded(peer, outcome);
        self.log_hop_failure(peer, outcome, cause);
        self.peer_failures += 1;
        match self.peer_failures < MAX_PEER_FAILURES {
            true => Ok(None),
            false => Err(self.unreachable("several gateways have declined it")),
        }
    }

    /// Handles a request that may have run through another gateway without an answer here.
    fn handle_lost_at_peer(
        &mut self,
        peer: &UsablePeer,
        cause: &str,
    ) -> Result<Option<Attempt>, Refusal> {
        self.sends += 1;
        self.possible_runs += 1;
        self.count_forwarded(peer, "lost");
        self.log_hop_failure(peer, "lost", cause);
        match self.may_run_again() {
            true => Ok(None),
            false => Err(self.give_up(Reason::Unknown, Some(peer.offer.address), cause)),
        }
    }

    /// Handles an answer through another gateway that broke off after its head.
    pub(super) fn handle_broken_hop(
        &mut self,
        forwarder: &Forwarder,
        failure: &AnswerFailure,
    ) -> Result<(), Refusal> {
        self.possible_runs += 1;
        if let AnswerFailure::Endless(_) = failure {
            forwarder.usable.pause_as_endless(Instant::now());
        }
        let cause = failure.cause();
        log_event!(
            gateway::FORWARD_FAILED,
            "request={} peer={} outcome=lost elapsed={:?} detail={cause:?}",
            self.context.id,
            forwarder.peer,
            self.context.arrived_at.elapsed()
        );
        // Another replica would give the same.
        let is_too_long = matches!(failure, AnswerFailure::TooLong(_));
        match self.may_run_again() && !is_too_long {
            true => Ok(()),
            false => Err(self.give_up(Reason::Unknown, None, &cause)),
        }
    }

    /// Refusal of a request that neither this gateway nor another one can bring to a replica.
    fn unreachable(&self, detail: &str) -> Refusal {
        let time = retry_after_pause(UNREACHABLE_RETRY_AFTER, self.state.draw());
        self.refusal_without_replica(Refusal {
            retry_after: Some(time),
            ..Refusal::new(Step::Dispatch, Reason::Unreachable, detail)
        })
    }

    fn count_forwarded(&self, peer: &UsablePeer, outcome: &'static str) {
        let metrics = &self.state.status.metrics.forwarding;
        metrics.count_forwarded(&peer.offer.peer, outcome);
    }

    fn log_forwarded(&self, peer: &UsablePeer) {
        let offer = &peer.offer;
        log_event!(
            gateway::REQUEST_FORWARDED,
            "request={} peer={} address={} service={} room={} offer_age={:?} left={:?}",
            self.context.id,
            offer.peer,
            offer.address,
            self.context.service(),
            offer.room,
            offer.asked_at.elapsed(),
            self.context.time_left()
        );
    }

    fn log_hop_failure(&self, peer: &UsablePeer, outcome: &str, detail: &str) {
        log_event!(
            gateway::FORWARD_FAILED,
            "request={} peer={} outcome={outcome} elapsed={:?} detail={detail:?}",
            self.context.id,
            peer.offer.peer,
            self.context.arrived_at.elapsed()
        );
    }
}
