//! Filter: answers a request whose answer is passed on once it is whole.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use ntex::http::ResponseBuilder;
use ntex::web::HttpResponse;

use super::account::Account;
use super::attempts::{Attempt, Attempts, Break};
use super::check_quarantine::note_survived;
use super::context::RequestContext;
use super::decode::is_hop_by_hop;
use super::refusal::{Reason, Refusal, Step};
use crate::state::GatewayState;

/// The longest answer that is held, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// How much longer than its time a request is held, so that its replica's own last word comes first.
pub const LAST_WORD: Duration = Duration::from_millis(150);

/// Serves the request.
pub async fn serve(
    state: &Rc<GatewayState>,
    context: Rc<RequestContext>,
    account: &mut Account,
) -> Result<HttpResponse, Refusal> {
    let limit = context.time_left() + LAST_WORD;
    let served = tokio::time::timeout(limit, fetch(state, &context)).await;
    let whole = served.map_err(|_| {
        Refusal::new(
            Step::Answer,
            Reason::TimedOut,
            "no whole answer in the request's time",
        )
    })??;
    note_survived(state, &context);
    account.answered();
    account.completed(&whole.replica, whole.status.as_u16());
    let mut builder = ResponseBuilder::new(whole.status);
    copy_headers(&whole.headers, &mut builder);
    Ok(builder.body(whole.body.to_vec()))
}

/// An answer that is whole.
struct Whole {
    replica: String,
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn fetch(state: &Rc<GatewayState>, context: &Rc<RequestContext>) -> Result<Whole, Refusal> {
    let mut attempts = Attempts::new(state, context);
    loop {
        let Attempt { mut opened, choice } = attempts.next(None).await?;
        opened.note_begun(state, context, &choice);
        match opened.answer.collect(MAX_ANSWER_BYTES).await {
            Ok(body) => {
                return Ok(Whole {
                    replica: choice.replica.id().to_owned(),
                    status: opened.answer.status(),
                    headers: opened.answer.headers().clone(),
                    body,
                });
            }
            Err(error) => {
                let why = Break::BrokeOff(error.to_string());
                attempts.broke_off(&choice, &why)?;
            }
        }
    }
}

/// Copies the headers of a replica's answer that concern the caller.
pub fn copy_headers(headers: &HeaderMap, builder: &mut ResponseBuilder) {
    for (name, value) in headers {
        if !is_hop_by_hop(name) {
            builder.header(name.clone(), value.as_bytes());
        }
    }
}
