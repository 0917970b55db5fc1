//! Filter: passes a request to the legacy upstream of its route, unchanged.

use std::rc::Rc;
use std::time::{Duration, Instant};

use anyhow::anyhow;
use driftspring_external::legacy::{LegacyError, belongs_to_request};
use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::{LegacyUpstream, NotRunReason, Outcome, Peer, Step, StepError};
use futures_util::stream::unfold;
use ntex::client::ClientResponse;
use ntex::http::ResponseBuilder;
use ntex::http::error::PayloadError;
use ntex::util::{Bytes, stream_recv};
use ntex::web::{HttpRequest, HttpResponse};

use super::account::Account;
use super::decode::DecodedRequest;
use super::refusal::{DEFAULT_RETRY_AFTER, Refusal};
use super::worker::WorkerState;

/// Sends the request on, and its answer back: status, headers and body as they come.
pub async fn pass_through(
    worker: &Rc<WorkerState>,
    upstream: &LegacyUpstream,
    request: &HttpRequest,
    decoded: DecodedRequest,
    account: &mut Account,
) -> Result<HttpResponse, Refusal> {
    worker.daemon.metrics.legacy_requests.inc();
    let client = worker.legacy().await?;
    let patience = decoded.deadline.saturating_duration_since(Instant::now());
    let path = request.uri().path_and_query();
    let path = path.map_or(decoded.endpoint.path(), |path| path.as_str());
    let response = client
        .forward(
            &upstream.address,
            request.method().clone(),
            path,
            request.headers(),
            decoded.body.raw,
            patience,
        )
        .await
        .map_err(|error| failed(upstream, error))?;
    Ok(stream_back(response, account.take()))
}

fn stream_back(response: ClientResponse, account: Account) -> HttpResponse {
    let mut builder = ResponseBuilder::new(response.status());
    for (name, value) in response.headers() {
        if belongs_to_request(name.as_str()) {
            builder.header(name.clone(), value.clone());
        }
    }
    let upstream = UpstreamBody {
        response,
        account,
        has_failed: false,
    };
    builder.streaming(Box::pin(unfold(upstream, next_piece)))
}

/// The body of an upstream's answer on its way to the caller.
struct UpstreamBody {
    response: ClientResponse,
    account: Account,
    has_failed: bool,
}

async fn next_piece(mut body: UpstreamBody) -> Option<(Result<Bytes, PayloadError>, UpstreamBody)> {
    if body.has_failed {
        return None;
    }
    match stream_recv(&mut body.response).await {
        Some(Ok(bytes)) => Some((Ok(bytes), body)),
        Some(Err(error)) => {
            // Breaking the caller's connection off is the unchanged form of this failure.
            body.has_failed = true;
            body.account.settle(&Outcome::Unknown {
                retry_after: Duration::ZERO,
            });
            Some((Err(error), body))
        }
        None => {
            body.account.settle(&Outcome::Completed);
            None
        }
    }
}

fn failed(upstream: &LegacyUpstream, error: LegacyError) -> Refusal {
    let peer = Peer::Legacy(upstream.address.clone());
    log_event!(
        pipeline::PASS_THROUGH_FAILED,
        "peer=\"{peer}\" cause=\"{error}\""
    );
    match error {
        LegacyError::NotConnected(_) => Refusal::not_run(
            NotRunReason::NoEngine,
            DEFAULT_RETRY_AFTER,
            StepError::not_run(Step::PassThrough, peer, anyhow!(error)),
        ),
        LegacyError::Broken(_) | LegacyError::TimedOut(_) => Refusal::unknown(
            StepError::may_have_run(Step::PassThrough, peer, anyhow!(error)),
        ),
    }
}
