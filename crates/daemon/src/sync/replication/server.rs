//! Answers to other daemons.

use std::sync::Arc;

use driftspring_replication::PullRequest;
use driftspring_telemetry::metrics::ControlSubsystem;
use driftspring_types::Revision;
use musli::mode::Binary;
use musli::{Decode, Encode};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};

use super::{HOLDS_PATH, PULL_PATH};
use crate::state::DaemonState;
use crate::sync::control_cost::answer_counted;

/// About the size of one chunk of a copy, in bytes.
const CHUNK_BYTES: usize = 256 * 1024;

/// Asks whether a change is in force.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct HoldsRequest {
    /// The object's key.
    pub key: String,
    /// The revision of the change.
    pub revision: Revision,
}

pub(super) fn configure(config: &mut ServiceConfig, state: &Arc<DaemonState>) {
    let pull_state = Arc::clone(state);
    let holds_state = Arc::clone(state);
    config
        .route(
            PULL_PATH,
            web::post().to(move |body: Bytes| {
                let state = Arc::clone(&pull_state);
                async move { counted(&state, &body, answer_pull) }
            }),
        )
        .route(
            HOLDS_PATH,
            web::post().to(move |body: Bytes| {
                let state = Arc::clone(&holds_state);
                async move { counted(&state, &body, answer_holds) }
            }),
        );
}

fn counted(
    state: &DaemonState,
    body: &[u8],
    answer: impl FnOnce(&DaemonState, &[u8]) -> HttpResponse,
) -> HttpResponse {
    answer_counted(state, ControlSubsystem::Configuration, body, answer)
}

fn answer_pull(state: &DaemonState, body: &[u8]) -> HttpResponse {
    if !state.settings.mechanisms.anti_entropy {
        return HttpResponse::NotFound().finish();
    }
    let control = &state.metrics.control;
    let _timer = control.time(ControlSubsystem::Configuration);
    control.count_received(ControlSubsystem::Configuration, body.len());
    let Ok(request) = musli::wire::from_slice::<PullRequest>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let delta = state
        .replica
        .read(|replica| replica.changes_since(request, CHUNK_BYTES));
    encoded(state, &delta)
}

/// Answers by the published view: what is known but not yet in force does not count.
fn answer_holds(state: &DaemonState, body: &[u8]) -> HttpResponse {
    let Ok(request) = musli::wire::from_slice::<HoldsRequest>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    encoded(state, &is_in_force(state, &request))
}

/// Whether a change, or a later one of its object, is in force in this daemon.
pub fn is_in_force(state: &DaemonState, request: &HoldsRequest) -> bool {
    let view = state.config.load();
    let held = view.revisions.get(&request.key);
    view.complete_to >= request.revision || held.is_some_and(|held| *held >= request.revision)
}

fn encoded(state: &DaemonState, message: &impl Encode<Binary>) -> HttpResponse {
    match musli::wire::to_vec(message) {
        Ok(bytes) => {
            let control = &state.metrics.control;
            control.count_sent(ControlSubsystem::Configuration, bytes.len());
            HttpResponse::Ok().body(bytes)
        }
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
