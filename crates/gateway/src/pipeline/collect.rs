//! Filter: answers a request whose answer is forwarded once it is complete.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use ntex::http::ResponseBuilder;
use ntex::web::HttpResponse;

use super::account::RequestTracker;
use super::attempts::{AnswerFailure, Attempt, Attempts};
use super::check_quarantine::note_survived;
use super::context::RequestContext;
use super::decode::is_hop_by_hop;
use super::refusal::{Reason, Refusal, Step};
use crate::state::GatewayState;

/// Maximum size of a buffered answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How long a request is held beyond its deadline, so that the replica's own answer to the timeout arrives first.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(150);

/// Serves the request.
pub async fn serve(
    state: &Rc<GatewayState>,
    context: Rc<RequestContext>,
    tracker: &mut RequestTracker,
) -> Result<HttpResponse, Refusal> {
    let limit = context.time_left() + DEADLINE_GRACE;
    let served = tokio::time::timeout(limit, fetch_answer(state, &context)).await;
    let answer = served.map_err(|_| {
        Refusal::new(
            Step::Answer,
            Reason::TimedOut,
            "no whole answer in the request's time",
        )
    })??;
    note_survived(state, &context);
    tracker.record_answer_head();
    tracker.record_completion(&answer.replica, answer.status.as_u16());
    let mut builder = ResponseBuilder::new(answer.status);
    copy_headers(&answer.headers, &mut builder);
    Ok(builder.body(answer.body.to_vec()))
}

/// A complete answer.
struct CompleteAnswer {
    replica: String,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn fetch_answer(
    state: &Rc<GatewayState>,
    context: &Rc<RequestContext>,
) -> Result<CompleteAnswer, Refusal> {
    let mut attempts = Attempts::new(state, context);
    loop {
        let Attempt { mut opened, choice } = attempts.next(None).await?;
        opened.note_begun(state, context, &choice);
        match opened.answer.collect(MAX_ANSWER_BYTES).await {
            Ok(body) => {
                return Ok(CompleteAnswer {
                    replica: choice.replica.id().to_owned(),
                    status: opened.answer.status(),
                    headers: opened.answer.headers().clone(),
                    body,
                });
            }
            Err(error) => {
                let failure = AnswerFailure::BrokeOff(error.to_string());
                attempts.handle_failed_answer(&choice, &failure)?;
            }
        }
    }
}

/// Copies the headers of a replica's answer, except those of its connection.
pub fn copy_headers(headers: &HeaderMap, builder: &mut ResponseBuilder) {
    for (name, value) in headers {
        if !is_hop_by_hop(name) {
            builder.header(name.clone(), value.as_bytes());
        }
    }
}
