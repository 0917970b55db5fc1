//! Probes the replicas of a service when its path is in doubt, and until it is back.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use futures_util::future::join_all;

use super::sample::random_sample;
use super::service_path::{PathChange, ProbeResults, ServicePath};
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::upstream::{Reaction, reaction};

/// Number of replicas that are probed when the path is in doubt; of a smaller service all.
const PROBED_IN_DOUBT: usize = 3;

/// Number of replicas that each round probes while the path is lost.
const PROBED_WHILE_LOST: usize = 2;

/// Time limit for the connection and the answer of a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time between two rounds while the path is lost, and the random part that is added, so that gateways that were cut off
/// together don't return together.
const LOST_INTERVAL: Duration = Duration::from_millis(250);
const LOST_JITTER: Duration = Duration::from_millis(150);

/// How often a path with open requests is checked for silence.
const WATCH_INTERVAL: Duration = Duration::from_millis(250);

/// What raised doubt about a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Doubt {
    /// A connection to a replica failed, or an answer was lost.
    Failure,
    /// All replicas were silent for [`super::service_path::SILENCE_LIMIT`] while requests were open.
    Silence,
    /// Another gateway asks, and no recent answer tells.
    Question,
}

/// Probes the path unless that is needless.
pub(crate) fn doubt(state: &Rc<GatewayState>, service: &str, path: &Rc<ServicePath>, doubt: Doubt) {
    if path.needs_round(Instant::now()) {
        begin(state, service, path, doubt);
    }
}

fn begin(state: &Rc<GatewayState>, service: &str, path: &Rc<ServicePath>, doubt: Doubt) {
    path.begin_round(Instant::now());
    ntex::rt::spawn(run_rounds(
        Rc::clone(state),
        service.to_owned(),
        Rc::clone(path),
        doubt,
    ));
}

/// Whether the path is there, as far as an answer since `since` or a round of probes shows it.
pub(crate) async fn confirm(state: &Rc<GatewayState>, service: &str, since: Instant) -> bool {
    let path = state.paths.of(service);
    if path.has_answered_since(since) || path.is_confirmed_since(since) {
        return true;
    }
    if path.needs_confirmation() {
        begin(state, service, &path, Doubt::Failure);
    }
    while path.is_probing() && !path.is_lost() {
        path.round_ended.notified().await;
    }
    !path.is_lost()
}

/// Completes once replicas of the service answer again.
pub(crate) async fn until_regained(state: &GatewayState, service: &str) {
    let path = state.paths.of(service);
    while path.is_lost() {
        state.paths.changed.notified().await;
    }
}

/// Watches a path for silence while requests are open.
pub(crate) fn watch(state: &Rc<GatewayState>, service: &str, path: &Rc<ServicePath>) {
    if path.is_watched.replace(true) {
        return;
    }
    let (state, service, path) = (Rc::clone(state), service.to_owned(), Rc::clone(path));
    ntex::rt::spawn(async move {
        while path.is_in_use() {
            tokio::time::sleep(WATCH_INTERVAL).await;
            if path.is_silent(Instant::now()) {
                doubt(&state, &service, &path, Doubt::Silence);
            }
        }
        path.is_watched.set(false);
    });
}

/// One round of probes, and further ones while the path is in doubt or lost.
async fn run_rounds(state: Rc<GatewayState>, service: String, path: Rc<ServicePath>, doubt: Doubt) {
    let results = probe(&state, &service, PROBED_IN_DOUBT).await;
    end_round(&state, &service, &path, results, doubt);
    while path.is_in_doubt() {
        // A round that leaves doubt has taken the time limit of a connection at the least.
        path.begin_round(Instant::now());
        let results = probe(&state, &service, PROBED_IN_DOUBT).await;
        end_round(&state, &service, &path, results, doubt);
    }
    while path.is_lost() {
        let jitter = LOST_JITTER.mul_f64(state.random_fraction());
        tokio::time::sleep(LOST_INTERVAL + jitter).await;
        path.begin_round(Instant::now());
        let results = probe(&state, &service, PROBED_WHILE_LOST).await;
        end_round(&state, &service, &path, results, doubt);
    }
}

fn end_round(
    state: &GatewayState,
    service: &str,
    path: &ServicePath,
    results: ProbeResults,
    doubt: Doubt,
) {
    let now = Instant::now();
    let Some(change) = path.end_round(results, now) else {
        return;
    };
    match change {
        PathChange::Lost {
            has_live_connections,
        } => {
            state.status.metrics.paths.lost.inc();
            log_event!(
                gateway::PATH_LOST,
                "service={service} doubt={doubt:?} probed={} answered=0 refused={} open_requests={} last_answer_ago={:?} open_connections_live={has_live_connections}",
                results.probed,
                results.refused,
                path.open_requests(),
                path.last_answer_age(now)
            );
        }
        PathChange::Regained { after } => log_event!(
            gateway::PATH_REGAINED,
            "service={service} lost_for={after:?} probed={} answered={}",
            results.probed,
            results.answered
        ),
    }
    let lost = state.paths.lost().len();
    let metrics = &state.status.metrics.paths;
    metrics
        .services_unreachable
        .set(i64::try_from(lost).unwrap_or(i64::MAX));
    state.paths.changed.notify_waiters();
}

/// Probes up to `count` replicas of the service on new connections.
async fn probe(state: &GatewayState, service: &str, count: usize) -> ProbeResults {
    let now = Instant::now();
    let listed = state.registry.of_service(service);
    let eligible: Vec<Rc<Replica>> = listed
        .iter()
        .filter(|replica| replica.is_eligible(now))
        .cloned()
        .collect();
    let sample = random_sample(&eligible, count, state.draw());
    let reactions = join_all(sample.iter().map(|replica| probe_one(state, replica))).await;
    let count = |wanted: Reaction| reactions.iter().filter(|one| **one == wanted).count();
    ProbeResults {
        probed: reactions.len(),
        answered: count(Reaction::Answer),
        refused: count(Reaction::End),
    }
}

/// What a replica does about a call on a new connection.
async fn probe_one(state: &GatewayState, replica: &Replica) -> Reaction {
    state.status.metrics.paths.probes.inc();
    let call = state.platform.report();
    let reaction = reaction(replica.pool.peer(), &call, PROBE_TIMEOUT).await;
    log::debug!("probe of {}: {reaction:?}", replica.id());
    reaction
}
