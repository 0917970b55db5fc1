//! The path of a request: a fixed list of filters over one context per request.
//!
//! [`serve`] is the list, read from top to bottom; each filter has its own file. A filter that can't go
//! on returns a [`Refusal`], which says whether the request may have run. What must be undone at the end
//! of a request is held by its [`Account`] and by guards in its answer.

mod account;
mod admission;
mod attempts;
mod authenticate;
mod check_quarantine;
mod check_quota;
mod choose_backend;
mod choose_replica;
mod collect;
mod context;
mod decode;
mod dispatch;
mod event_splitter;
mod find_route;
mod first_list;
mod judge;
mod pace;
mod prompt_sources;
mod read_body;
mod refusal;
mod relay;
mod retry_after;
mod withdrawal;

use driftspring_clock::Instant;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use std::rc::Rc;
use std::sync::Arc;

use crate::configuration::{Configuration, Route, RouteKind, Tenant};
use crate::state::GatewayState;
use account::Account;
use context::RequestContext;
use decode::Decoded;
use refusal::Refusal;

pub use admission::{are_lines_too_long, is_in_time, is_of_use, rank_behind};
pub use event_splitter::EventSplitter;
pub use first_list::first_list_patience;
pub use retry_after::{retry_after, return_after_pause};

/// Serves one request and turns a refusal into its answer.
pub async fn respond(
    state: State<Rc<GatewayState>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let started = Instant::now();
    let mut account = Account::open(&state, request.io(), started);
    let response = match serve(&state, &request, payload, &mut account).await {
        Ok(response) => response,
        Err(refusal) => refusal.into_response(&state, &mut account),
    };
    account::close_while_stopping(&state, response)
}

/// The filters, in order.
async fn serve(
    state: &Rc<GatewayState>,
    request: &HttpRequest,
    payload: Payload,
    account: &mut Account,
) -> Result<HttpResponse, Refusal> {
    let decoded = decode::decode(state, request)?;
    account.name(&decoded.id);
    refusal::refuse_at_end_of_stop(state)?;
    let (configuration, route) = find_route::find_route(state, &decoded).await?;
    account.note_route(&route);
    let tenant = authenticate::authenticate(state, &route, decoded.meta.key.as_deref()).await?;
    let charge = check_quota::check_quota(state, &decoded, tenant.as_deref())?;
    let admitted = (decoded, configuration, route, tenant);
    let result = serve_admitted(state, request, payload, admitted, account).await;
    if let (Some(charge), Err(refusal)) = (charge, &result)
        && refusal.reason.is_not_run()
    {
        state.quotas.give_back(charge);
    }
    result
}

/// What is known of a request that is within its tenant's limit.
type AdmittedRequest = (Decoded, Arc<Configuration>, Arc<Route>, Option<Arc<Tenant>>);

/// The filters after the check of the tenant's limit.
async fn serve_admitted(
    state: &Rc<GatewayState>,
    request: &HttpRequest,
    payload: Payload,
    admitted: AdmittedRequest,
    account: &mut Account,
) -> Result<HttpResponse, Refusal> {
    let (decoded, configuration, route, tenant) = admitted;
    let body = read_body::read_body(payload, &configuration.limits).await?;
    let service = choose_backend::choose_backend(state, &route)?;
    let started = account.started();
    let context = RequestContext::new(
        decoded,
        configuration,
        route,
        tenant,
        service,
        body,
        started,
    );
    let context = Rc::new(context);
    match context.route.kind {
        RouteKind::Streaming => relay::serve(state, context, request, account).await,
        RouteKind::Safe | RouteKind::Unsafe => collect::serve(state, context, account).await,
    }
}
