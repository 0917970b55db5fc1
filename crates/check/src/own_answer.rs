//! Each token and answer names the request of the caller who got it, and has its content.

use driftspring_history::{Ending, History};
use driftspring_types::RequestId;

use crate::requests::{RequestHistory, requests};
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History) -> Result<(), Violation> {
    let requests = requests(history);
    let violations = requests.iter().flat_map(|(request_id, request)| {
        [
            foreign_token(*request_id, request),
            foreign_answer(*request_id, request),
            other_text(*request_id, request),
        ]
        .into_iter()
        .flatten()
    });
    first(violations)
}

/// The first token that names another request, or that stands nowhere in the right answer.
fn foreign_token(request_id: RequestId, request: &RequestHistory<'_>) -> Option<Violation> {
    let expected = request
        .invoked
        .and_then(|invoked| invoked.value.expected_tokens.as_deref());
    request.tokens.iter().find_map(|token| {
        let named = token.value.named_request_id.unwrap_or(request_id);
        let text = &token.value.text;
        let known = expected.is_none_or(|expected| expected.contains(text));
        (named != request_id || !known).then(|| {
            Violation::new(
                Promise::OwnAnswer,
                token.index,
                format!("request {request_id} received the token {text:?} of request {named}"),
            )
        })
    })
}

fn foreign_answer(request_id: RequestId, request: &RequestHistory<'_>) -> Option<Violation> {
    let answered = request.answered?;
    let named = answered.value.named_request_id.unwrap_or(request_id);
    (named != request_id).then(|| {
        Violation::new(
            Promise::OwnAnswer,
            answered.index,
            format!("request {request_id} received the answer to request {named}"),
        )
    })
}

/// An answer that was not streamed and is not the right and whole one.
fn other_text(request_id: RequestId, request: &RequestHistory<'_>) -> Option<Violation> {
    let answered = request.answered?;
    let text = answered.value.text.as_ref()?;
    let expected = request.invoked?.value.expected_tokens.as_ref()?.concat();
    let is_wrong = answered.value.ending == Ending::Whole && *text != expected;
    is_wrong.then(|| {
        Violation::new(
            Promise::OwnAnswer,
            answered.index,
            format!("request {request_id} received {text:?} instead of {expected:?}"),
        )
    })
}
