//! `/v1/models`: the models that a tenant has routes for; and the answer for paths that do not exist.

use std::rc::Rc;
use std::time::Duration;

use anyhow::anyhow;
use driftspring_types::{ConfigView, NotRunReason, Peer, Step, StepError, Tenant};
use ntex::web::types::State;
use ntex::web::{HttpRequest, HttpResponse};
use serde::Serialize;

use super::authenticate::authenticate;
use super::headers;
use super::refusal::Refusal;
use super::worker::WorkerState;

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<Model>,
}

#[derive(Serialize)]
struct Model {
    id: String,
    object: &'static str,
    created: u64,
    owned_by: &'static str,
}

/// Lists the models of the caller's tenant.
pub async fn list(worker: State<Rc<WorkerState>>, request: HttpRequest) -> HttpResponse {
    let config = worker.daemon.config.load_full();
    match authenticate(&worker.daemon, &config, request.headers()) {
        Ok(tenant) => HttpResponse::Ok().json(&models_of(&config, &tenant)),
        Err(refusal) => refuse(&refusal, &request),
    }
}

/// Refuses a path or method that does not exist.
pub async fn no_such_path(request: HttpRequest) -> HttpResponse {
    let cause = anyhow!("no such path: {} {}", request.method(), request.path());
    let error = StepError::not_run(Step::Decode, Peer::Caller, cause);
    let refusal = Refusal::not_run(NotRunReason::BadRequest, Duration::ZERO, error)
        .with_status(ntex::http::StatusCode::NOT_FOUND);
    refuse(&refusal, &request)
}

fn refuse(refusal: &Refusal, request: &HttpRequest) -> HttpResponse {
    refusal.response(headers::request_id(request.headers()))
}

fn models_of(config: &ConfigView, tenant: &Tenant) -> ModelList {
    let routes = config.routes.get(&tenant.id);
    let mut names: Vec<_> = routes
        .into_iter()
        .flat_map(|routes| routes.keys())
        .map(|model| model.as_str().to_owned())
        .collect();
    names.sort();
    ModelList {
        object: "list",
        data: names.into_iter().map(Model::new).collect(),
    }
}

impl Model {
    fn new(id: String) -> Self {
        Self {
            id,
            object: "model",
            created: 0,
            owned_by: "driftspring",
        }
    }
}
