//! Filter: sends a request to one replica.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use http::Request;
use http::header::HOST;
use http_body_util::Full;

use super::check_share::note_work_begun;
use super::choose_replica::Choice;
use super::confirm_software::{Confirmation, confirm_software};
use super::context::RequestContext;
use super::forward::until_forwardable;
use super::hedge::route_speed;
use super::interference_costs::InterferenceCosts;
use super::judge::Verdict;
use super::unended::UnendedGuard;
use super::withdrawal::{are_weights_too_old, replica_time_limit, until_weights_too_old};
use crate::configuration::RouteKind;
use crate::interference::OwnStream;
use crate::peers::message::WirePrompt;
use crate::protocol::{Dispatch, SoftwareVersion};
use crate::reachability::{self, PathUse};
use crate::replicas::{OpenRequestGuard, QueuedRequest, TimedCall};
use crate::state::GatewayState;
use crate::upstream::{Answer, ConnectError, Connection, Element, SendFailure};

/// Why a request is not sent although the connection is established.
const WEIGHTS_TOO_OLD: &str = "its weights have become too old";

/// How long the replica's report is waited for, on one connection after the other, before a request is sent without it. The
/// first connection may be dead; a sound replica may be silent for a second or so on the second one.
const REPORT_TIMEOUTS: [Duration; 2] = [Duration::from_millis(300), Duration::from_secs(2)];

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct OpenAnswer {
    /// The answer.
    pub answer: Answer,
    /// Counts the request as open at its replica until the answer is closed; none if another gateway sent it there.
    pub _work: Option<OpenRequestGuard>,
    /// The version of the software of the replica, if that is known for certain.
    pub software: Option<SoftwareVersion>,
    /// Counts the request as open on the path to its service until the answer is closed.
    path_use: Option<PathUse>,
    /// Counts the request as a stream at its replica until the answer is closed, if its route has a pause target.
    pub stream: Option<OwnStream>,
    /// The request's wait in the replica's queue, until it begins.
    queued: Option<QueuedRequest>,
    /// Measures the replica's time, until the answer is judged.
    timed: Option<TimedCall>,
    /// Notes an answer that has no end by its deadline.
    unended: Option<UnendedGuard>,
    /// Bytes of the body of a failure that have been passed on.
    pub failure_bytes: usize,
}

impl OpenAnswer {
    /// An answer that comes through another gateway, which measures the replica.
    pub fn of_peer(answer: Answer, software: Option<SoftwareVersion>) -> Self {
        Self {
            answer,
            software,
            _work: None,
            path_use: None,
            stream: None,
            queued: None,
            timed: None,
            unended: None,
            failure_bytes: 0,
        }
    }

    /// Records that bytes have arrived from the replica.
    pub fn record_activity(&self) {
        if let Some(path_use) = &self.path_use {
            path_use.path.record_answer(Instant::now());
        }
    }

    /// Records that bytes have arrived that neither end the answer nor an event of it.
    pub fn record_part(&self) {
        if let Some(unended) = &self.unended {
            unended.check();
        }
    }

    /// Whether the replica has begun to answer: the first event of a stream has arrived, or the head of another answer.
    pub fn has_begun(&self) -> bool {
        self.queued.is_none()
    }

    /// Records what the answer says about the replica's speed. Only successful answers are compared: failures may come at
    /// once.
    pub fn note_speed(&mut self, verdict: &Verdict) {
        let Some(timed) = self.timed.take() else {
            return;
        };
        match verdict {
            Verdict::Final if self.answer.status().is_success() => timed.record_answer(),
            Verdict::NotRun => timed.record_refusal(),
            _ => timed.ignore(),
        }
    }

    /// Records that the replica has begun to answer; later calls have no effect.
    pub fn note_begun(&mut self, state: &GatewayState, context: &RequestContext, choice: &Choice) {
        let Some(queued) = self.queued.take() else {
            return;
        };
        let now = Instant::now();
        let metrics = &state.status.metrics;
        let begun = queued.record_start(now);
        note_work_begun(
            state,
            context,
            begun.min_wait,
            choice.tokens_to_prefill,
            now,
        );
        metrics.note_begun(&begun);
        if let Some((prompt, version)) = context.prompt().zip(choice.weights_version) {
            let wanted = state.weights.borrow();
            if let Some(age) = wanted.outdated_for(&prompt.model, version, now) {
                metrics.outdated_begin.observe(age);
            }
        }
    }
}

/// Why a request gets no head of an answer from a replica.
pub enum SendError {
    /// It could not be sent, or its answer was lost.
    Failed(SendFailure),
    /// It was not sent: no connection to the replica came up in time.
    NotConnected,
    /// It waited until the replica's weights became too old.
    Withdrawn,
    /// It waited there when the path to all replicas was lost; another gateway can bring it to one.
    PathLost,
    /// It was not sent: the replica asked for a cooldown while the connection was being established.
    Resting,
    /// It was not sent: it resumes a stream, and the replica could not be shown to run the version that began it.
    VersionUnconfirmed,
}

/// Sends the request and waits for the head of the answer for as long as the request may begin there. A pooled
/// connection that turns out to be closed before a byte was sent is replaced. `may_move` says whether the request may go
/// through another gateway if the path to the replicas is lost while it waits.
pub async fn send(
    state: &Rc<GatewayState>,
    context: &RequestContext,
    choice: &Choice,
    last_event_id: Option<&str>,
    may_move: bool,
) -> Result<OpenAnswer, SendError> {
    let pool = &choice.replica.pool;
    let work = OpenRequestGuard::begin(&choice.replica);
    note_prompt(state, context, choice);
    let stream = own_stream(state, context, choice);
    let path = state.paths.of(context.service());
    let path_use = PathUse::begin(&path, Instant::now());
    reachability::watch(state, context.service(), &path);
    loop {
        let (mut connection, software) = match context.is_resumable_stream() {
            true => connect_confirmed(state, context, choice).await,
            false => connect(state, context, choice)
                .await
                .map(|connection| (connection, None)),
        }?;
        if !context.binding.get().allows(software) {
            return Err(SendError::VersionUnconfirmed);
        }
        if choice.replica.notices.is_cooling_down(Instant::now()) {
            pool.put(connection);
            return Err(SendError::Resting);
        }
        // Checked again after connecting: a request that is not sent has not run, one that is withdrawn may have.
        if are_weights_too_old(state, context, choice) {
            return Err(SendError::Failed(not_sent(choice, WEIGHTS_TOO_OLD)));
        }
        let request =
            build_request(state, context, choice, last_event_id).map_err(SendError::Failed)?;
        let waits = &choice.replica.queue_waits;
        let queued = QueuedRequest::begin(waits, choice.rank, Instant::now());
        let expected = queued.expected();
        log_sent(state, context, choice, &connection, last_event_id, expected);
        let speed = route_speed(state, context);
        let timed = speed.map(|speed| TimedCall::begin(&choice.replica, speed));
        context.was_sent.set(true);
        let body = match context.route().kind {
            RouteKind::Streaming => Element::Event,
            _ => Element::Body,
        };
        let given_up_at = context.deadline.min(context.answer_limit);
        let unended = UnendedGuard::new(&choice.replica, connection.meter(), given_up_at, body);
        let answer = tokio::select! {
            biased;
            answer = connection.send(request) => answer,
            never = unended.watch() => match never {},
            () = until_weights_too_old(state, context, choice) => return Err(SendError::Withdrawn),
            () = until_forwardable(state, context, &path), if may_move => {
                return Err(SendError::PathLost);
            }
        };
        match answer {
            Ok(response) => {
                path.record_answer(Instant::now());
                let answer = Answer::new(response, connection, Rc::clone(pool));
                return Ok(OpenAnswer {
                    answer,
                    software,
                    _work: Some(work),
                    path_use: Some(path_use),
                    stream,
                    queued: Some(queued),
                    timed,
                    unended: Some(unended),
                    failure_bytes: 0,
                });
            }
            Err(SendFailure::NotSent { .. }) if connection.is_reused => {}
            Err(failure) => return Err(SendError::Failed(failure)),
        }
    }
}

/// Records what the replica has to prefill and will have cached, and reports it to other gateways.
fn note_prompt(state: &GatewayState, context: &RequestContext, choice: &Choice) {
    let is_on = state.interference.is_on();
    let pause_target = context.route().pause_target.filter(|_| is_on);
    if choice.tokens_to_prefill == 0 && pause_target.is_none() {
        return;
    }
    let now = Instant::now();
    let replica = &choice.replica;
    let mut prefixes = Vec::new();
    if choice.tokens_to_prefill > 0 {
        prefixes.extend(choice.prefixes.iter().map(|prefix| prefix.key));
        replica.record_prompt(choice.tokens_to_prefill, now);
        InterferenceCosts::record_sent(state, context, choice.tokens_to_prefill, now);
        let ready_at = now + replica.remaining_prefill(now);
        let keys = prefixes.iter().copied();
        state.holders.record(keys, replica, ready_at, now);
    }
    let to_u32 = |number: u128| u32::try_from(number).unwrap_or(u32::MAX);
    // A target of less than a millisecond is still one.
    let to_ms = |target: Duration| to_u32(target.as_millis().max(1));
    state.peers.report_prompt(WirePrompt {
        replica: replica.id().to_owned(),
        born: replica.incarnation.born,
        tokens: choice.tokens_to_prefill,
        prefixes: prefixes.iter().map(|key| key.0).collect(),
        output_tokens: pause_target.map_or(0, |_| context.output_tokens()),
        pause_target_ms: pause_target.map_or(0, to_ms),
        whole_tokens: match is_on {
            true => to_u32(context.input_tokens().into()),
            false => 0,
        },
        sender: 0,
    });
}

/// Counts the request as a stream at its replica, if its route has a pause target.
fn own_stream(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) -> Option<OwnStream> {
    context.route().pause_target?;
    let service = state.interference.service(context.service());
    Some(OwnStream::begin(
        &choice.replica,
        service,
        context.output_tokens(),
    ))
}

/// Returns a connection to the replica with the version of its software, if that can be confirmed.
async fn connect_confirmed(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) -> Result<(Connection, Option<SoftwareVersion>), SendError> {
    for patience in REPORT_TIMEOUTS {
        let mut connection = connect(state, context, choice).await?;
        let confirmation =
            confirm_software(state, &choice.replica, &mut connection, patience).await;
        check_entry(state, context, choice)?;
        match confirmation {
            Confirmation::Confirmed(version) => return Ok((connection, version)),
            Confirmation::OtherIncarnation => return Ok((connection, None)),
            Confirmation::Failed => {}
        }
    }
    Ok((connect(state, context, choice).await?, None))
}

/// Returns a connection to the replica, unless its entry has changed while it was established.
async fn connect(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) -> Result<Connection, SendError> {
    let connection = choice.replica.pool.take().await;
    let connection = connection.map_err(|error| match error {
        ConnectError::TimedOut { .. } => SendError::NotConnected,
        ConnectError::Failed { .. } => SendError::Failed(not_sent(choice, &error.to_string())),
    })?;
    if !connection.is_reused {
        choice.replica.health.record_connection();
    }
    check_entry(state, context, choice)?;
    Ok(connection)
}

/// Checks that the replica still serves the request's service and is not leaving.
fn check_entry(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
) -> Result<(), SendError> {
    let listed = state.registry.current(&choice.replica.incarnation);
    let cause = match listed {
        Some(listed) if listed.entry().service != context.service() => "it serves another service",
        Some(_) if choice.replica.is_eligible(Instant::now()) => return Ok(()),
        _ => "it is leaving",
    };
    Err(SendError::Failed(not_sent(choice, cause)))
}

fn not_sent(choice: &Choice, cause: &str) -> SendFailure {
    SendFailure::NotSent {
        peer: choice.replica.pool.peer(),
        cause: cause.to_owned(),
    }
}

fn build_request(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
    last_event_id: Option<&str>,
) -> Result<Request<Full<Bytes>>, SendFailure> {
    let dispatch = Dispatch {
        replica: choice.replica.id().to_owned(),
        deadline: replica_time_limit(state, context, choice),
        tenant: context.tenant().map(|tenant| tenant.name.clone()),
        priority: context.prompt().map(|_| choice.rank),
        weights_version: choice.weights_version,
        cache_scope: choice.cache_scope.clone(),
        fetch_from: choice.fetch_from,
        save_to: choice.save_to,
        last_event_id: last_event_id.map(str::to_owned),
    };
    let request = Request::builder()
        .method(context.method.clone())
        .uri(context.path.as_str())
        .body(Full::new(context.body.clone()));
    let mut request = request.map_err(|error| not_sent(choice, &error.to_string()))?;
    let headers = request.headers_mut();
    *headers = context.headers.clone();
    debug_assert!(headers.contains_key(HOST));
    state.platform.write_dispatch(&dispatch, headers);
    Ok(request)
}

fn log_sent(
    state: &GatewayState,
    context: &RequestContext,
    choice: &Choice,
    connection: &Connection,
    last_event_id: Option<&str>,
    expected_wait: Duration,
) {
    let last_event_id = last_event_id.or(context.meta.last_event_id.as_deref());
    state.status.metrics.sent.inc();
    let entry = choice.replica.entry();
    log_event!(
        gateway::REQUEST_SENT,
        "request={} route={} tenant={:?} configuration={} replica={} software={:?} after={last_event_id:?} resumes={:?} address={} key={:?} home={} candidates={} open={} reading={:?} rank={} expected_wait={expected_wait:?} {} held={} tokens={} version={:?} fetch={:?} save={} proof_age={:?} left={:?} given={:?} reused={}",
        context.id,
        context.route().name,
        context.tenant_name(),
        context.configuration().version,
        choice.replica.id(),
        entry.software.as_deref().unwrap_or_default(),
        context.meta.resumes,
        connection.peer,
        context.placement_key().map(|key| key.0),
        choice.is_home,
        choice.candidates,
        choice.replica.open_requests(),
        choice.replica.remaining_prefill(Instant::now()),
        choice.rank,
        choice.interference,
        choice.cached_tokens,
        choice.tokens_to_prefill,
        choice.weights_version,
        choice.fetch_from,
        choice.save_to.is_some(),
        state.currency.age(),
        context.time_left(),
        replica_time_limit(state, context, choice),
        connection.is_reused
    );
}
