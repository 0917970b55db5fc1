//! The path of a request: a fixed list of filters over one context per request.
//!
//! [`serve`] is the list, read from top to bottom; each filter has its own file. A filter that can't
//! go on returns a [`Refusal`], which names the outcome, the step and the peer. Everything that must
//! be undone at the end of a request is a guard held by its [`account::Account`].
//!
//! Once an engine is chosen, [`answer::Answer`] stands between the engine's stream and the caller: it
//! gives out each token once and in order, and recovers from broken streams.

mod account;
mod admission_upkeep;
mod admit;
mod answer;
mod attempt;
mod authenticate;
mod body;
mod breaker;
mod choose_engine;
mod claim;
mod classify;
mod collect;
mod context;
mod deadline_body;
mod decode;
mod delivered;
mod dispatch;
mod engine_table;
mod feedback;
mod fingerprint;
mod headers;
mod match_route;
mod models;
mod pass_through;
mod recovery;
mod refusal;
mod relay;
mod sequence;
mod share;
mod tried_engines;
mod usage;
mod worker;

use std::rc::Rc;
use std::sync::Arc;

use driftspring_external::engine::Endpoint;
use ntex::web::types::{Payload, State};
use ntex::web::{self, HttpRequest, HttpResponse, ServiceConfig};

use crate::state::DaemonState;
use account::Account;
use context::RequestContext;
use refusal::Refusal;
use worker::WorkerState;

pub use choose_engine::EngineChoice;
pub use engine_table::add_bootstrap_engines;
pub use sequence::{SequenceGate, SequenceStep};
pub use tried_engines::TriedEngines;

/// Starts the background task on the current ntex system.
pub fn spawn_all(state: &Arc<DaemonState>) {
    ntex::rt::spawn(admission_upkeep::run(Arc::clone(state)));
}

/// Adds the callers' routes to a worker's application.
pub fn configure(config: &mut ServiceConfig, state: Arc<DaemonState>) {
    config.state(Rc::new(WorkerState::new(state)));
    config.service(web::resource(Endpoint::Completions.path()).route(web::post().to(completions)));
    config.service(
        web::resource(Endpoint::ChatCompletions.path()).route(web::post().to(chat_completions)),
    );
    config.service(web::resource("/v1/models").route(web::get().to(models::list)));
    config.service(web::resource("/{path}*").to(models::no_such_path));
}

async fn completions(
    worker: State<Rc<WorkerState>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    respond(&worker, Endpoint::Completions, &request, payload).await
}

async fn chat_completions(
    worker: State<Rc<WorkerState>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    respond(&worker, Endpoint::ChatCompletions, &request, payload).await
}

/// Serves one request and turns a refusal into its answer.
async fn respond(
    worker: &Rc<WorkerState>,
    endpoint: Endpoint,
    request: &HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let id = headers::request_id(request.headers());
    let mut account = Account::open(&worker.daemon, id);
    match serve(worker, endpoint, request, payload, &mut account).await {
        Ok(response) => response,
        Err(refusal) => {
            let refusal = refusal.classified(&worker.daemon.settings.mechanisms);
            account.settle(&refusal.outcome);
            refusal.log(id);
            refusal.response(id)
        }
    }
}

/// The filters, in order.
async fn serve(
    worker: &Rc<WorkerState>,
    endpoint: Endpoint,
    request: &HttpRequest,
    payload: Payload,
    account: &mut Account,
) -> Result<HttpResponse, Refusal> {
    let daemon = &worker.daemon;
    let decoded = decode::decode(daemon, endpoint, request, payload, account.id()).await?;
    admit::refuse_while_stopping(daemon)?;
    let config = daemon.config.load_full();
    let tenant = authenticate::authenticate(daemon, &config, request.headers())?;
    account.hold_permit(admit::admit(daemon, &tenant)?);
    let route = match_route::match_route(&config, &tenant, &decoded.body.model)?;
    if let Some(claim) = claim::claim(worker, &tenant, &decoded.headers).await? {
        account.hold_claim(claim);
    }
    if let Some(upstream) = match_route::legacy_upstream(&route, &decoded.body.prompt) {
        return pass_through::pass_through(worker, upstream, request, decoded, account).await;
    }
    let priority = classify::classify(&decoded, &route);
    let scope = fingerprint::scope(daemon, &tenant, &route, &decoded.body.prompt);
    let context = RequestContext::new(decoded, tenant, route, priority, scope);
    let context = Rc::new(context);
    let answer = answer::Answer::open(Rc::clone(worker), Rc::clone(&context)).await?;
    account.first_token();
    if context.streamed {
        Ok(relay::relay(answer, account.take()))
    } else {
        collect::collect(answer, account).await
    }
}
