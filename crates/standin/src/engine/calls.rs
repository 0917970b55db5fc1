//! The calls that callers make: completions, resume and cancel.

use std::sync::Arc;
use std::time::Duration;

use ntex::http::{ResponseBuilder, StatusCode};
use ntex::util::Bytes;
use ntex::web::{self, HttpRequest, HttpResponse};
use serde::Deserialize;
use serde_json::json;
use uuid::Uuid;

use super::answer::{Answer, AnswerEnd, ApiKind, Reader};
use super::chunks::whole_answer;
use super::refusal::{Refusal, RefusalKind};
use super::request::{Expectations, RequestBody, RequestHeaders};
use super::state::EngineState;
use super::stream::AnswerStream;
use crate::streaming::body_of;

type SharedEngine = web::types::State<Arc<EngineState>>;

/// Adds these calls.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/v1/completions", web::post().to(complete))
        .route("/v1/chat/completions", web::post().to(complete_chat))
        .route("/v1/requests/{id}/stream", web::get().to(resume))
        .route("/v1/requests/{id}/cancel", web::post().to(cancel));
}

async fn complete(engine: SharedEngine, request: HttpRequest, body: Bytes) -> HttpResponse {
    answer_request(&engine, ApiKind::Completion, &request, &body).await
}

async fn complete_chat(engine: SharedEngine, request: HttpRequest, body: Bytes) -> HttpResponse {
    answer_request(&engine, ApiKind::Chat, &request, &body).await
}

async fn answer_request(
    engine: &Arc<EngineState>,
    api: ApiKind,
    request: &HttpRequest,
    body: &[u8],
) -> HttpResponse {
    let (reader, streamed) = match take_request(engine, api, request, body) {
        Ok(taken) => taken,
        Err(refusal) => return refusal.response(),
    };
    let answer = Arc::clone(&reader.answer);
    let begun = answer
        .wait_for(|progress| progress.cached_tokens.is_some() || progress.end.is_some())
        .await;
    if begun.cached_tokens.is_none() {
        return cancelled_response(false);
    }
    if streamed {
        return stream_response(engine, reader, answer.start.first_sequence);
    }
    let ended = answer.wait_for(|progress| progress.end.is_some()).await;
    if ended.end == Some(AnswerEnd::Broken) {
        return cancelled_response(true);
    }
    report_headers(engine, &answer).json(&whole_answer(&answer))
}

/// Submits a request; returns its answer's reader and whether it is to be streamed.
fn take_request(
    engine: &EngineState,
    api: ApiKind,
    request: &HttpRequest,
    body: &[u8],
) -> Result<(Reader, bool), Refusal> {
    let invalid = |kind: RefusalKind| engine.core().refusal(kind);
    let headers = RequestHeaders::read(request.headers()).map_err(invalid)?;
    let body = RequestBody::read(api, body).map_err(invalid)?;
    let answer = engine.change(|core, now| core.submit(now, headers, &body))?;
    Ok((Reader::new(answer), body.stream))
}

fn stream_response(engine: &Arc<EngineState>, reader: Reader, from: u64) -> HttpResponse {
    let mut response = report_headers(engine, &reader.answer);
    let faults = Arc::clone(&engine.faults);
    let stream = AnswerStream::new(reader, Arc::clone(&faults), from);
    response
        .content_type("text/event-stream")
        .streaming(body_of(faults, stream))
}

/// A successful response with the headers that tell of the engine.
fn report_headers(engine: &EngineState, answer: &Answer) -> ResponseBuilder {
    let lag = Duration::from_millis(engine.faults.current().report_lag_ms);
    let mut core = engine.core();
    let (report_sequence, load) = core.report(lag);
    let cached_tokens = answer.progress().cached_tokens.unwrap_or(0);
    let load = format!(
        "{},{},{}",
        load.running, load.queued, load.pending_prefill_tokens
    );
    let mut response = HttpResponse::Ok();
    response
        .header("x-request-id", answer.start.request_id.to_string())
        .header("x-engine-incarnation", core.incarnation.to_string())
        .header("x-weights-version", core.weights_version.to_string())
        .header("x-cached-tokens", cached_tokens.to_string())
        .header("x-report-sequence", report_sequence.to_string())
        .header("x-load", load);
    response
}

fn cancelled_response(ran: bool) -> HttpResponse {
    HttpResponse::build(StatusCode::CONFLICT).json(&json!({"error": {
        "message": "the request was cancelled",
        "type": "cancelled",
        "ran": ran,
        "retry_after_ms": 0,
    }}))
}

#[derive(Deserialize)]
struct ResumeQuery {
    #[serde(default)]
    from: u64,
}

async fn resume(
    engine: SharedEngine,
    request: HttpRequest,
    id: web::types::Path<Uuid>,
    query: web::types::Query<ResumeQuery>,
) -> HttpResponse {
    match find_answer(&engine, &request, *id) {
        Ok(answer) => stream_response(&engine, Reader::new(answer), query.from),
        Err(refusal) => refusal.response(),
    }
}

fn find_answer(
    engine: &EngineState,
    request: &HttpRequest,
    id: Uuid,
) -> Result<Arc<Answer>, Refusal> {
    let core = engine.core();
    let expected =
        Expectations::read(request.headers()).map_err(|invalid| core.refusal(invalid))?;
    core.check_expectations(expected)?;
    core.answer(id)
        .ok_or_else(|| core.refusal(RefusalKind::Unknown))
}

/// Takes the body too: an answer before the caller has sent it would break the connection off.
async fn cancel(engine: SharedEngine, id: web::types::Path<Uuid>, _body: Bytes) -> HttpResponse {
    engine.change(|core, now| core.cancel(now, *id));
    HttpResponse::Ok().json(&json!({"cancelled": true}))
}
