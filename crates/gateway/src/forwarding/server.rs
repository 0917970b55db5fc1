//! Takes requests from other gateways.

use std::convert::Infallible;
use std::net::{SocketAddr, TcpListener};
use std::pin::Pin;
use std::rc::Rc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use futures_util::Stream;
use futures_util::stream::{empty, unfold};
use http::{HeaderMap, Request, Response, StatusCode};
use http_body_util::StreamBody;
use hyper::body::{Frame, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioTimer;
use socket2::SockRef;

use super::flush::{FlushTracked, UntilFlush};
use super::hop::{DeclineReason, HopOutcome, HopRequest};
use crate::caller_limits::MAX_HEADERS;
use crate::callers::linger::linger;
use crate::pipeline::{ForwardedAnswer, ForwardedRefusal, serve_forwarded};
use crate::state::GatewayState;
use crate::upstream::{
    Messages, Meter, MeteredStream, PeerStream, UNACKNOWLEDGED_TIMEOUT, set_options,
};

/// Time limit for the head of a request, and for the next one on an idle connection; the other gateway closes idle ones
/// sooner.
const HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Maximum number of headers that the other gateway adds to those of its caller.
const HOP_HEADERS: usize = 32;

/// The pause after a connection could not be accepted, as when all descriptors are in use.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

type Pieces = Pin<Box<dyn Stream<Item = Result<Frame<Bytes>, std::io::Error>>>>;

/// Takes requests until a planned stop is over.
pub(crate) async fn run(state: Rc<GatewayState>, listener: TcpListener) {
    let listener = match tokio::net::TcpListener::from_std(listener) {
        Ok(listener) => listener,
        Err(error) => {
            log_event!(
                gateway::PEER_LOST,
                "no listener for other gateways: {error}"
            );
            return;
        }
    };
    let port = listener.local_addr().map(|address| address.port());
    state.forwarding.port.set(port.ok());
    while let Some(accepted) = state.listening.accept(&listener).await {
        match accepted {
            Ok((stream, from)) => {
                if let Err(error) =
                    set_options(&SockRef::from(&stream), Some(UNACKNOWLEDGED_TIMEOUT))
                {
                    log::debug!("options of the connection from {from}: {error}");
                }
                ntex::rt::spawn(serve_connection(Rc::clone(&state), stream, from));
            }
            Err(error) => {
                log::debug!("no connection accepted from another gateway: {error}");
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
            }
        }
    }
}

async fn serve_connection(
    state: Rc<GatewayState>,
    stream: tokio::net::TcpStream,
    from: SocketAddr,
) {
    let unsent = UntilFlush::default();
    let meter = Rc::new(Meter::new(from, Messages::Requests));
    let stall = state.times.get().caller_stall;
    let stream = MeteredStream::new(PeerStream::to_client(stream, stall), meter);
    let connection = FlushTracked::new(stream, unsent.clone());
    let served = Rc::clone(&state);
    let service = service_fn(move |request| {
        let (state, unsent) = (Rc::clone(&served), unsent.clone());
        Box::pin(async move { Ok::<_, Infallible>(respond(&state, request, from, unsent).await) })
    });
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEAD_TIMEOUT)
        .max_headers(MAX_HEADERS + HOP_HEADERS)
        .auto_date_header(false)
        .serve_connection(connection, service);
    if let Err(error) = (&mut connection).await {
        log::debug!("the connection of a gateway at {from} ended: {error}");
    }
    // A request that was declined before its body was read must not be lost to a reset.
    let stream = connection.into_parts().io.into_inner();
    Box::pin(linger(stream.socket(), &state.lingering)).await;
}

/// Counts a request of another gateway as open until it is dropped, which is when its answer was sent.
struct TakenGuard {
    state: Rc<GatewayState>,
}

impl TakenGuard {
    fn begin(state: &Rc<GatewayState>) -> Self {
        let taken = &state.forwarding.taken;
        taken.set(taken.get() + 1);
        state.status.open_requests.fetch_add(1, Ordering::AcqRel);
        state.status.metrics.forwarding.taken_open.inc();
        Self {
            state: Rc::clone(state),
        }
    }
}

impl Drop for TakenGuard {
    fn drop(&mut self) {
        let taken = &self.state.forwarding.taken;
        taken.set(taken.get().saturating_sub(1));
        let status = &self.state.status;
        status.open_requests.fetch_sub(1, Ordering::AcqRel);
        status.metrics.forwarding.taken_open.dec();
    }
}

async fn respond(
    state: &Rc<GatewayState>,
    request: Request<Incoming>,
    from: SocketAddr,
    unsent: UntilFlush<TakenGuard>,
) -> Response<StreamBody<Pieces>> {
    let (mut head, body) = request.into_parts();
    let hop = match HopRequest::take(&mut head.headers) {
        Ok(hop) if hop.token == state.forwarding.token => hop,
        Ok(_) => {
            log::debug!("a request from {from} with a wrong token");
            return forbidden();
        }
        Err(error) => {
            log::debug!("a request from {from}: {error}");
            return forbidden();
        }
    };
    if state.forwarding.room() == 0 || state.status.is_refusing_requests() {
        let outcome = HopOutcome::NotRun {
            reason: DeclineReason::NoRoom,
            retry_after: None,
        };
        state
            .status
            .metrics
            .forwarding
            .count_taken(&hop.from, "no_room");
        return without_body(&outcome);
    }
    let guard = TakenGuard::begin(state);
    let arrived_at = Instant::now();
    let peer = hop.from.clone();
    match serve_forwarded(state, head, hop, body, arrived_at).await {
        Ok(answer) => forward_answer(answer, guard, unsent, peer),
        Err(ForwardedRefusal {
            id,
            outcome,
            detail,
        }) => {
            log_event!(
                gateway::FORWARDED_ENDED,
                "request={id} from={peer} outcome={outcome:?} elapsed={:?} detail={detail:?}",
                arrived_at.elapsed()
            );
            let label = match &outcome {
                HopOutcome::NotRun { reason, .. } => reason.name(),
                HopOutcome::Answered { .. } | HopOutcome::Unknown => "unknown",
            };
            state.status.metrics.forwarding.count_taken(&peer, label);
            without_body(&outcome)
        }
    }
}

/// An answer whose pieces are read as fast as the other gateway takes them. If it leaves, the answer is dropped, which
/// closes the connection to the replica.
fn forward_answer(
    mut answer: ForwardedAnswer,
    guard: TakenGuard,
    unsent: UntilFlush<TakenGuard>,
    peer: String,
) -> Response<StreamBody<Pieces>> {
    let (status, mut headers) = answer.take_head();
    let outcome = HopOutcome::Answered {
        replica: answer.replica().to_owned(),
        software: answer.software(),
    };
    outcome.write(&mut headers);
    let metrics = &guard.state.status.metrics.forwarding;
    metrics.count_taken(&peer, "answered");
    let pieces = unfold(Some((answer, guard, unsent)), |open| async move {
        let (mut answer, guard, unsent) = open?;
        match answer.next().await {
            Ok(Some(piece)) => Some((Ok(Frame::data(piece)), Some((answer, guard, unsent)))),
            Ok(None) => {
                unsent.keep(guard);
                None
            }
            Err(cause) => Some((Err(std::io::Error::other(cause)), None)),
        }
    });
    response(status, headers, Box::pin(pieces))
}

fn without_body(outcome: &HopOutcome) -> Response<StreamBody<Pieces>> {
    let mut headers = HeaderMap::new();
    outcome.write(&mut headers);
    response(StatusCode::SERVICE_UNAVAILABLE, headers, Box::pin(empty()))
}

fn forbidden() -> Response<StreamBody<Pieces>> {
    response(StatusCode::FORBIDDEN, HeaderMap::new(), Box::pin(empty()))
}

fn response(
    status: StatusCode,
    headers: HeaderMap,
    pieces: Pieces,
) -> Response<StreamBody<Pieces>> {
    let mut response = Response::new(StreamBody::new(pieces));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}
