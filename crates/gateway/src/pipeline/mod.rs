//! The path of a request: a fixed list of filters over one context per request.
//!
//! [`serve`] is the list, in order; each filter has its own file. A filter that rejects a request returns a
//! [`Refusal`], which says whether the request may have run. Cleanup at the end of a request is done by its
//! [`RequestTracker`] and by guards in its answer.

mod account;
mod admission;
mod attempts;
mod authorize;
mod check_quarantine;
mod check_quota;
mod check_share;
mod check_size;
mod check_version;
mod choose_backend;
mod choose_replica;
mod collect;
mod confirm_software;
mod context;
mod decode;
mod delivery;
mod dispatch;
mod event_splitter;
mod first_list;
mod forward;
mod forwarded;
mod hedge;
mod interference_costs;
mod judge;
mod outcomes;
mod pace;
mod prompt_sources;
mod read_body;
mod refusal;
mod relay;
mod request_body;
mod take_stream_up;
mod time_limits;
mod unended;
mod weights_mismatch;
mod withdrawal;

use driftspring_clock::Instant;
use ntex::web::types::{Payload, State};
use ntex::web::{HttpRequest, HttpResponse};
use std::rc::Rc;

use crate::authorization::Authorization;
use crate::configuration::RouteKind;
use crate::held_bytes::Charge;
use crate::state::GatewayState;
use account::RequestTracker;
use check_size::RequestTimes;
use context::RequestContext;
use decode::Decoded;
use refusal::Refusal;
use request_body::RequestBody;

pub use delivery::Delivery;
pub use event_splitter::EventSplitter;
pub use first_list::first_list_timeout;
pub(crate) use forwarded::{ForwardedAnswer, ForwardedRefusal, serve_forwarded};
pub use time_limits::{CALLER_MARGIN, DEADLINE_GRACE, TimeLimits};

/// Serves one request and turns a refusal into its answer.
pub async fn respond(
    state: State<Rc<GatewayState>>,
    request: HttpRequest,
    payload: Payload,
) -> HttpResponse {
    let arrived_at = Instant::now();
    let mut tracker = RequestTracker::open(&state, request.io(), arrived_at);
    let mut body = RequestBody::new(&request, payload);
    let response = match serve(&state, &request, &mut body, &mut tracker).await {
        Ok(response) => response,
        Err(refusal) => {
            let is_drained = body.drain().await;
            if !is_drained {
                request_body::note_unread(&request);
            }
            refusal.into_response(&state, &mut tracker, is_drained)
        }
    };
    account::close_while_stopping(&state, response)
}

/// Runs the filters, in order.
async fn serve(
    state: &Rc<GatewayState>,
    request: &HttpRequest,
    body: &mut RequestBody,
    tracker: &mut RequestTracker,
) -> Result<HttpResponse, Refusal> {
    let arrived_at = tracker.arrived_at();
    let decoded = decode::decode(state, request)?;
    tracker.set_request_id(&decoded.id);
    refusal::refuse_while_stopping(state)?;
    check_size::check_head_size(state, &decoded, arrived_at).await?;
    let authorized = authorize::authorize(state, &decoded, arrived_at).await;
    let authorization = authorized.map_err(|unauthorized| {
        if let Some(route) = &unauthorized.route {
            tracker.set_route(route);
        }
        unauthorized.refusal
    })?;
    tracker.set_route(authorization.route());
    check_version::check_version(request, authorization.route())?;
    let charge = check_quota::check_quota(state, &decoded, authorization.tenant())?;
    let result = serve_admitted(state, request, body, decoded, authorization, tracker).await;
    if let (Some(charge), Err(refusal)) = (charge, &result)
        && refusal.reason.is_not_run()
    {
        state.quotas.refund(charge);
    }
    result
}

/// Runs the filters after the check of the tenant's quota.
async fn serve_admitted(
    state: &Rc<GatewayState>,
    request: &HttpRequest,
    body: &mut RequestBody,
    decoded: Decoded,
    authorization: Authorization,
    tracker: &mut RequestTracker,
) -> Result<HttpResponse, Refusal> {
    let arrived_at = tracker.arrived_at();
    let times = RequestTimes {
        arrived_at,
        deadline: arrived_at + context::time_limits(&decoded, authorization.route()).body(),
    };
    let charge = Charge::new(&state.held_bytes);
    let limits = &authorization.configuration().limits;
    let body = read_body::read_body(state, body, limits, times, &charge).await?;
    let destination = choose_backend::choose_backend(state, &authorization)?;
    let (destination, binding) = take_stream_up::bind_request(state, &decoded, destination).await?;
    let mut context = RequestContext::new(decoded, destination, body, arrived_at);
    context.body_charge = Some(charge);
    context.binding.set(binding);
    check_share::check_share(state, &context)?;
    let context = Rc::new(context);
    let result = match context.route().kind {
        RouteKind::Streaming => relay::serve(state, Rc::clone(&context), request, tracker).await,
        RouteKind::Safe | RouteKind::Unsafe => {
            collect::serve(state, Rc::clone(&context), request, tracker).await
        }
    };
    if let Err(refusal) = &result {
        check_share::note_refusal(state, &context, refusal);
    }
    result
}
