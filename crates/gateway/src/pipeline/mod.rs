//! The path of a request: a fixed list of filters over one context per request.
//!
//! [`serve`] is the list, read from top to bottom; each filter has its own file. A filter that can't go
//! on returns a [`Refusal`], which says whether the request may have run. What must be undone at the end
//! of a request is held by its [`Account`] and by guards in its answer.

mod account;
mod admission;
mod attempts;
mod authenticate;
mod choose_backend;
mod choose_replica;
mod collect;
mod context;
mod decode;
mod dispatch;
mod event_splitter;
mod find_route;
mod judge;
mod pace;
mod prompt_sources;
mod read_body;
mod refusal;
mod relay;
mod retry_after;
mod withdrawal;

use std::rc::Rc;
use std::time::Instant;

use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};

use crate::configuration::RouteKind;
use crate::state::GatewayState;
use account::Account;
use context::RequestContext;
use refusal::Refusal;

pub use admission::{is_in_time, is_of_use, rank_behind};
pub use event_splitter::EventSplitter;
pub use retry_after::retry_after;

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
