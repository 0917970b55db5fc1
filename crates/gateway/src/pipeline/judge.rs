//! Interprets a replica's answer.

use http::StatusCode;
use http::header::CONTENT_ENCODING;

use super::context::RequestContext;
use crate::protocol::{AnswerMeta, RequestProtocol};
use crate::upstream::Answer;

/// Meaning of an answer's head.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Verdict {
    /// It is the replica's answer to this request.
    Final,
    /// The replica has not run the request and never will.
    NotRun,
    /// The replica ran the request and failed.
    Failed,
    /// It does not answer this request, or can't be forwarded.
    Unusable(&'static str),
}

/// Reads and interprets the head of `answer`.
pub fn judge<P: RequestProtocol + ?Sized>(
    platform: &P,
    context: &RequestContext,
    answer: &Answer,
) -> (Verdict, AnswerMeta) {
    let meta = platform.read_answer(answer.status(), answer.headers());
    let verdict = verdict(context, answer, &meta);
    (verdict, meta)
}

fn verdict(context: &RequestContext, answer: &Answer, meta: &AnswerMeta) -> Verdict {
    let names_another = |id: &String| *id != context.id;
    if meta.request_id.as_ref().is_some_and(names_another) {
        return Verdict::Unusable("it answers another request");
    }
    if meta.is_not_run {
        return Verdict::NotRun;
    }
    let status = answer.status();
    if status.is_success() && (meta.request_id.is_none() || !meta.is_signed) {
        return Verdict::Unusable("it does not name the request or its replica");
    }
    if answer.headers().contains_key(CONTENT_ENCODING) {
        return Verdict::Unusable("its body is encoded");
    }
    if promises_not_run(status) {
        return Verdict::Unusable("its status promises what it does not say");
    }
    match status.is_server_error() {
        true => Verdict::Failed,
        false => Verdict::Final,
    }
}

/// Statuses that a caller takes as a promise that its request has not run.
fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}
