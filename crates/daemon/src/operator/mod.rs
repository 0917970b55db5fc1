//! The operators' interface: statements, where a change is in force, metrics and health checks.
//!
//! A statement goes through [`execute`]: questions are answered from the daemon's snapshots by
//! [`tables`]; orders become a plan ([`planner`], without input or output) and then one conditional
//! write to the object store.

mod effects;
mod execute;
mod health;
mod in_force;
pub mod planner;
mod tables;

use std::sync::Arc;

use driftspring_language::api::{
    IN_FORCE_PATH, Refusal, STATEMENT_PATH, StatementAnswer, StatementRequest,
};
use driftspring_telemetry::metrics::ControlSubsystem;
use ntex::http::StatusCode;
use ntex::util::Bytes;
use ntex::web::types::{Query, State};
use ntex::web::{self, HttpResponse, ServiceConfig};

use crate::state::DaemonState;

/// Adds the operators' routes.
pub fn configure(config: &mut ServiceConfig, state: Arc<DaemonState>) {
    config.state(state);
    config.service(web::resource(STATEMENT_PATH).route(web::post().to(statement)));
    config.service(web::resource(IN_FORCE_PATH).route(web::get().to(in_force)));
    config.service(web::resource("/metrics").route(web::get().to(metrics)));
    config.service(web::resource("/livez").route(web::get().to(livez)));
    config.service(web::resource("/readyz").route(web::get().to(readyz)));
}

async fn statement(state: State<Arc<DaemonState>>, body: Bytes) -> HttpResponse {
    let control = &state.metrics.control;
    control.count_received(ControlSubsystem::Operator, body.len());
    let request: StatementRequest = match serde_json::from_slice(&body) {
        Ok(request) => request,
        Err(error) => return HttpResponse::BadRequest().body(format!("malformed body: {error}")),
    };
    let answer = execute::execute(&state, &request).await;
    HttpResponse::build(status_of(&answer)).json(&answer)
}

/// The HTTP status beside the status in the body.
fn status_of(answer: &StatementAnswer) -> StatusCode {
    match answer {
        StatementAnswer::Rows { .. }
        | StatementAnswer::Planned { .. }
        | StatementAnswer::Accepted { .. } => StatusCode::OK,
        StatementAnswer::Invalid { .. } => StatusCode::BAD_REQUEST,
        StatementAnswer::Refused { refusal } => match refusal {
            Refusal::NotFound { .. } => StatusCode::NOT_FOUND,
            Refusal::StoreUnreachable { .. } => StatusCode::SERVICE_UNAVAILABLE,
            _ => StatusCode::CONFLICT,
        },
        StatementAnswer::Unknown { .. } => StatusCode::GATEWAY_TIMEOUT,
    }
}

async fn in_force(
    state: State<Arc<DaemonState>>,
    question: Query<in_force::InForceQuestion>,
) -> HttpResponse {
    match in_force::answer(&state, &question).await {
        Ok(answer) => HttpResponse::Ok().json(&answer),
        Err(error) => HttpResponse::BadRequest().body(error.to_string()),
    }
}

async fn metrics(state: State<Arc<DaemonState>>) -> HttpResponse {
    HttpResponse::Ok()
        .content_type(health::METRICS_CONTENT_TYPE)
        .body(health::metrics_page(&state))
}

async fn livez() -> HttpResponse {
    HttpResponse::Ok().body("live\n")
}

async fn readyz(state: State<Arc<DaemonState>>) -> HttpResponse {
    match health::readiness(&state) {
        health::Readiness::Ready => HttpResponse::Ok().body("ready\n"),
        health::Readiness::Starting => {
            HttpResponse::ServiceUnavailable().body("no configuration is in force yet\n")
        }
        health::Readiness::Stopping => {
            HttpResponse::ServiceUnavailable().body("a planned stop has begun\n")
        }
    }
}
