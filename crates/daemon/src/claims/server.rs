//! Answers other daemons.

use std::sync::Arc;

use driftspring_claims::ClaimMessage;
use driftspring_telemetry::metrics::ControlSubsystem;
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse, ServiceConfig};

use super::{CLAIMS_PATH, now};
use crate::state::DaemonState;
use crate::sync::control_cost::answer_counted;

pub(super) fn configure(config: &mut ServiceConfig, state: &Arc<DaemonState>) {
    let state = Arc::clone(state);
    config.route(
        CLAIMS_PATH,
        web::post().to(move |body: Bytes| {
            let state = Arc::clone(&state);
            async move { answer_counted(&state, ControlSubsystem::Claims, &body, answer) }
        }),
    );
}

fn answer(state: &DaemonState, body: &[u8]) -> HttpResponse {
    let Ok(message) = musli::wire::from_slice::<ClaimMessage>(body) else {
        return HttpResponse::BadRequest().finish();
    };
    let reply = state.claims.handle(&message, now());
    match musli::wire::to_vec(&reply) {
        Ok(encoded) => HttpResponse::Ok().body(encoded),
        Err(_) => HttpResponse::InternalServerError().finish(),
    }
}
