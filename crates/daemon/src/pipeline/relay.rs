//! Filter: passes an answer on to its caller as a stream of server-sent events.

use std::convert::Infallible;
use std::rc::Rc;

use driftspring_external::engine::AnswerChunk;
use driftspring_types::{Outcome, RequestId};
use futures_util::stream::unfold;
use ntex::http::ResponseBuilder;
use ntex::util::{Bytes, BytesMut};
use ntex::web::HttpResponse;

use super::account::Account;
use super::answer::Answer;
use super::dispatch::deadline_passed;
use super::headers;
use super::refusal::Refusal;

/// The event that marks an answer as whole.
const TERMINAL_EVENT: &[u8] = b"data: [DONE]\n\n";

/// An answer being streamed. Dropping it before its end means that the caller hung up: the engine's
/// work is then cancelled by the answer's own guards.
struct Relay {
    answer: Answer,
    account: Account,
    has_ended: bool,
}

/// The streamed response of `answer`.
pub fn relay(answer: Answer, account: Account) -> HttpResponse {
    let mut builder = HttpResponse::Ok();
    builder.content_type("text/event-stream");
    builder.header("cache-control", "no-cache");
    add_source_headers(&mut builder, &answer);
    let (id, deadline) = (answer.context().id, answer.context().deadline);
    let deadlines = Rc::clone(answer.deadlines());
    let relay = Relay {
        answer,
        account,
        has_ended: false,
    };
    let pieces = unfold(relay, next_piece);
    builder.streaming(deadlines.body(id, deadline, overdue_event, pieces))
}

/// The last event of a stream that is open past its deadline.
fn overdue_event(id: RequestId) -> Bytes {
    deadline_passed(true).stream_event(id)
}

/// Adds the headers that say who answers.
pub fn add_source_headers(builder: &mut ResponseBuilder, answer: &Answer) {
    let source = answer.source();
    builder.header(headers::REQUEST_ID, answer.context().id.to_string());
    builder.header(headers::ENGINE, source.engine.as_str());
    if let Some(incarnation) = source.head.incarnation {
        builder.header(headers::ENGINE_INCARNATION, incarnation.to_string());
    }
    if let Some(weights_version) = source.head.weights_version {
        builder.header(headers::WEIGHTS_VERSION, weights_version.to_string());
    }
    if let Some(cached_tokens) = source.head.cached_tokens {
        builder.header(headers::CACHED_TOKENS, cached_tokens.to_string());
    }
}

/// The next bytes of the response, with every event that has come already.
async fn next_piece(mut relay: Relay) -> Option<(Result<Bytes, Infallible>, Relay)> {
    if relay.has_ended {
        return None;
    }
    let piece = match relay.answer.next().await {
        Ok(chunk) => Some(relay.gather(chunk)),
        Err(refusal) => relay.fail(refusal),
    };
    piece.map(|bytes| (Ok(bytes), relay))
}

impl Relay {
    /// The bytes of `first` and of the chunks ready behind it.
    fn gather(&mut self, first: AnswerChunk) -> Bytes {
        let mut is_last = first.finish.is_some();
        let Some(second) = self.ready_after(is_last) else {
            return if is_last {
                self.finish(BytesMut::from(first.raw))
            } else {
                first.raw
            };
        };
        let mut piece = BytesMut::from(first.raw);
        let mut following = Some(second);
        while let Some(chunk) = following {
            piece.extend_from_slice(&chunk.raw);
            is_last = chunk.finish.is_some();
            following = self.ready_after(is_last);
        }
        if is_last {
            self.finish(piece)
        } else {
            piece.freeze()
        }
    }

    fn ready_after(&mut self, is_last: bool) -> Option<AnswerChunk> {
        if is_last {
            return None;
        }
        self.answer.next_ready()
    }

    /// Ends a whole answer: only here is the terminal marker written.
    fn finish(&mut self, mut piece: BytesMut) -> Bytes {
        piece.extend_from_slice(TERMINAL_EVENT);
        self.end(&Outcome::Completed);
        piece.freeze()
    }

    /// Ends an answer that can't be completed with an explicit error.
    fn fail(&mut self, refusal: Refusal) -> Option<Bytes> {
        let refusal = refusal.classified(self.answer.mechanisms());
        let id = self.answer.context().id;
        refusal.log(id);
        self.end(&refusal.outcome);
        let explicit = self.answer.mechanisms().resume_streams;
        explicit.then(|| refusal.stream_event(id))
    }

    fn end(&mut self, outcome: &Outcome) {
        self.has_ended = true;
        self.answer.end(outcome);
        self.account.settle(outcome);
    }
}
