//! Filter: answers a request whose answer is forwarded once it is complete.

use std::error::Error;
use std::rc::Rc;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use ntex::http::ResponseBuilder;
use ntex::http::body::{Body, SizedStream};
use ntex::web::{HttpRequest, HttpResponse};

use super::account::RequestTracker;
use super::attempts::{Attempt, Attempts};
use super::check_quarantine::note_survived;
use super::context::RequestContext;
use super::decode::is_hop_by_hop;
use super::delivery::{self, Delivery, MAX_QUEUED_BYTES};
use super::dispatch::OpenAnswer;
use super::outcomes::AnswerFailure;
use super::refusal::{Refusal, Step};
use crate::held_bytes::Charge;
use crate::state::GatewayState;
use crate::upstream::{AnswerError, WholeBody};

/// Serves the request.
pub async fn serve(
    state: &Rc<GatewayState>,
    context: Rc<RequestContext>,
    request: &HttpRequest,
    tracker: &mut RequestTracker,
) -> Result<HttpResponse, Refusal> {
    let limit = context.answer_time_left();
    let served = tokio::time::timeout(limit, fetch_answer(state, &context)).await;
    let answer = served.map_err(|_| {
        Refusal::new(
            Step::Answer,
            context.time_over(),
            "no whole answer in the request's time",
        )
    })??;
    note_survived(state, &context);
    tracker.record_answer_head();
    tracker.begin_answer();
    let status = answer.status.as_u16();
    let mut builder = ResponseBuilder::new(answer.status);
    copy_headers(&answer.headers, &mut builder);
    let length: usize = answer.pieces.iter().map(Bytes::len).sum();
    if length == 0 {
        tracker.record_completion(&answer.replica, status);
        return Ok(builder.body(answer.pieces.concat()));
    }
    let caller = request.io().cloned();
    let tracker = tracker.hand_over();
    let delivery = Delivery::new(&state.held_bytes, answer.charge, tracker, caller);
    for piece in answer.pieces {
        delivery.push_charged(piece);
    }
    delivery.complete(&answer.replica, status);
    let pieces = delivery::body::<Rc<dyn Error>>(delivery);
    Ok(builder.body(Body::from_message(SizedStream::new(length as u64, pieces))))
}

/// A complete answer.
struct CompleteAnswer {
    replica: String,
    status: StatusCode,
    headers: HeaderMap,
    pieces: Vec<Bytes>,
    charge: Charge,
}

async fn fetch_answer(
    state: &Rc<GatewayState>,
    context: &Rc<RequestContext>,
) -> Result<CompleteAnswer, Refusal> {
    let mut attempts = Attempts::new(state, context);
    loop {
        let Attempt {
            mut opened,
            responder,
        } = attempts.next(None).await?;
        if let Some(choice) = responder.choice() {
            opened.note_begun(state, context, choice);
        }
        let charge = Charge::new(&state.held_bytes);
        match collect(&mut opened, &charge).await {
            Ok(pieces) => {
                if let Some(choice) = responder.choice() {
                    choice.replica.health.record_whole_answer();
                }
                return Ok(CompleteAnswer {
                    replica: responder.replica().to_owned(),
                    status: opened.answer.status(),
                    headers: opened.answer.headers().clone(),
                    pieces,
                    charge,
                });
            }
            Err(error) => {
                let failure = AnswerFailure::of(&error);
                attempts.handle_failed_answer(&responder, &failure)?;
            }
        }
    }
}

/// Reads a whole answer once there is room for it. Where its length is known, room for all of it is reserved first:
/// answers of which each holds a part could otherwise wait for each other.
async fn collect(opened: &mut OpenAnswer, charge: &Charge) -> Result<Vec<Bytes>, AnswerError> {
    let announced = opened.answer.content_length().unwrap_or(0);
    let reserved = usize::try_from(announced).unwrap_or(usize::MAX);
    if reserved > MAX_QUEUED_BYTES {
        return Err(opened.answer.end_too_long(announced));
    }
    charge.add(reserved).await;
    let mut whole = WholeBody::new(MAX_QUEUED_BYTES);
    while let Some(piece) = opened.answer.next().await? {
        let pushed = whole.push(piece);
        pushed.map_err(|length| opened.answer.end_too_long(length))?;
        opened.record_part();
        charge.add(whole.len().saturating_sub(charge.bytes())).await;
    }
    Ok(whole.into_pieces())
}

/// Copies the headers of a replica's answer, except those of its connection.
pub fn copy_headers(headers: &HeaderMap, builder: &mut ResponseBuilder) {
    for (name, value) in headers {
        if !is_hop_by_hop(name) {
            builder.header(name.clone(), value.as_bytes());
        }
    }
}
