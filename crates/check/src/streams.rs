//! Each token of a stream comes once and in order; the stream is marked as whole only when it is; one
//! that can't be completed ends in an explicit error, and every request ends.

use driftspring_history::{Ending, History};
use driftspring_types::RequestId;

use crate::daemon_lives::{is_gone, unavoidable_cut};
use crate::requests::{Located, RequestHistory, requests};
use crate::settings::{CheckSettings, microseconds};
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History, settings: &CheckSettings) -> Result<(), Violation> {
    let requests = requests(history);
    let violations = requests.iter().flat_map(|(request_id, request)| {
        [
            token_out_of_order(*request_id, request),
            token_after_the_end(*request_id, request),
            marked_whole_too_early(*request_id, request),
            ended_silently(*request_id, request, history),
            never_ended(*request_id, request, history, settings),
        ]
        .into_iter()
        .flatten()
    });
    first(violations)
}

/// The first token whose number, or whose place by its text, is not the next one.
fn token_out_of_order(request_id: RequestId, request: &RequestHistory<'_>) -> Option<Violation> {
    let expected = request
        .invoked
        .and_then(|invoked| invoked.value.expected_tokens.as_deref());
    for (place, token) in request.tokens.iter().enumerate() {
        let number = token.value.sequence.unwrap_or(place as u64);
        let text = &token.value.text;
        let text_elsewhere = expected
            .is_some_and(|expected| expected.get(place) != Some(text) && expected.contains(text));
        if number != place as u64 || text_elsewhere {
            return Some(Violation::new(
                Promise::Streams,
                token.index,
                format!(
                    "request {request_id} received token number {number} ({text:?}) in place {place}"
                ),
            ));
        }
    }
    None
}

fn token_after_the_end(request_id: RequestId, request: &RequestHistory<'_>) -> Option<Violation> {
    let answered = request.answered?;
    let late = request
        .tokens
        .iter()
        .find(|token| token.index > answered.index)?;
    Some(Violation::new(
        Promise::Streams,
        late.index,
        format!("request {request_id} received a token after its end"),
    ))
}

fn marked_whole_too_early(
    request_id: RequestId,
    request: &RequestHistory<'_>,
) -> Option<Violation> {
    let answered = request.answered?;
    if answered.value.ending != Ending::Whole || answered.value.text.is_some() {
        return None;
    }
    let expected = request.invoked?.value.expected_tokens.as_ref()?.len();
    let received = request.tokens.len();
    (received != expected).then(|| {
        Violation::new(
            Promise::Streams,
            answered.index,
            format!(
                "request {request_id} was marked as whole after {received} of {expected} tokens"
            ),
        )
    })
}

fn ended_silently(
    request_id: RequestId,
    request: &RequestHistory<'_>,
    history: &History,
) -> Option<Violation> {
    let answered = request.answered?;
    if answered.value.ending != Ending::Silent {
        return None;
    }
    let invoked = request.invoked?;
    let daemon = invoked.value.daemon.as_ref();
    // A request that reaches a stopping daemon's closed port never began.
    let no_daemon = daemon.is_some_and(|daemon| is_gone(history, daemon, invoked.at_us));
    if (no_daemon && request.tokens.is_empty())
        || unavoidable_cut(history, daemon, invoked.at_us, answered.at_us)
    {
        return None;
    }
    Some(Violation::new(
        Promise::Streams,
        answered.index,
        format!(
            "request {request_id} ended after {} tokens with neither a terminal marker nor an error",
            request.tokens.len()
        ),
    ))
}

fn never_ended(
    request_id: RequestId,
    request: &RequestHistory<'_>,
    history: &History,
    settings: &CheckSettings,
) -> Option<Violation> {
    let Located { index, at_us, .. } = request.invoked?;
    let last_us = history.events.last()?.at_us;
    let overdue = last_us > at_us.saturating_add(microseconds(settings.answer_bound));
    (request.answered.is_none() && overdue).then(|| {
        Violation::new(
            Promise::Streams,
            index,
            format!(
                "request {request_id} has no end, {} s on",
                (last_us - at_us) / 1_000_000
            ),
        )
    })
}
