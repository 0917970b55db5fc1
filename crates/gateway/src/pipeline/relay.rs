//! Filter: forwards a stream event by event.
//!
//! The head is held until the first complete event, so that a replica that breaks off before it can still be replaced.
//! A stream that breaks off later is resumed at another replica if the route allows it; otherwise the caller's
//! connection is closed without the end of the answer, so that the answer can't be taken for complete.
//!
//! A task reads the replica at the replica's pace and queues the events; see [`delivery`] for the caller's side.

use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use ntex::http::ResponseBuilder;
use ntex::io::IoRef;
use ntex::web::{HttpRequest, HttpResponse};

use super::account::RequestTracker;
use super::attempts::{Attempt, Attempts, Responder};
use super::check_quarantine::note_survived;
use super::collect::copy_headers;
use super::context::RequestContext;
use super::delivery::{self, Delivery, MAX_QUEUED_BYTES};
use super::dispatch::OpenAnswer;
use super::event_splitter::{EventSplitter, EventTooLong};
use super::forward::until_forwardable;
use super::outcomes::AnswerFailure;
use super::refusal::{Reason, Refusal, Step};
use super::take_stream_up;
use super::time_limits::DEADLINE_GRACE;
use super::withdrawal::until_weights_too_old;
use crate::held_bytes::Charge;
use crate::state::GatewayState;
use crate::upstream::Element;

/// Limit of the body of an answer that is no stream of events and does not announce its length, in bytes.
const MAX_FAILURE_BYTES: usize = MAX_QUEUED_BYTES;

/// A stream that is being forwarded.
struct Relay {
    state: Rc<GatewayState>,
    context: Rc<RequestContext>,
    attempts: Attempts,
    attempt: Attempt,
    splitter: EventSplitter,
    delivery: Rc<Delivery>,
    caller: Option<IoRef>,
}

/// The next piece of a stream.
enum Piece {
    /// Complete events.
    Events(Bytes),
    /// The end of a complete answer.
    End,
}

/// Serves the request.
pub async fn serve(
    state: &Rc<GatewayState>,
    context: Rc<RequestContext>,
    request: &HttpRequest,
    tracker: &mut RequestTracker,
) -> Result<HttpResponse, Refusal> {
    tracker.end_with_caller();
    let limit = context.answer_time_left();
    let opening = tokio::time::timeout(limit, open_answer(state, &context)).await;
    let (attempts, attempt, splitter, first) = opening.map_err(|_| {
        Refusal::new(
            Step::Answer,
            context.time_over(),
            "no first event in the request's time",
        )
    })??;
    if let Piece::Events(_) = &first {
        take_stream_up::note_begun(state, &context, &attempt.opened);
    }
    tracker.record_answer_head();
    let mut builder = ResponseBuilder::new(attempt.opened.answer.status());
    copy_headers(attempt.opened.answer.headers(), &mut builder);
    let caller = request.io().cloned();
    let charge = Charge::new(&state.held_bytes);
    let delivery = Delivery::new(
        &state.held_bytes,
        charge,
        tracker.hand_over(),
        caller.clone(),
    );
    let relay = Relay {
        state: Rc::clone(state),
        context,
        attempts,
        attempt,
        splitter,
        delivery: Rc::clone(&delivery),
        caller,
    };
    ntex::rt::spawn(relay.run(first));
    Ok(builder.streaming(delivery::body::<Infallible>(delivery)))
}

/// Waits for the first complete event, or for the end of an answer without events.
async fn open_answer(
    state: &Rc<GatewayState>,
    context: &Rc<RequestContext>,
) -> Result<(Attempts, Attempt, EventSplitter, Piece), Refusal> {
    let mut attempts = Attempts::new(state, context);
    loop {
        let mut attempt = attempts.next(None).await?;
        let mut splitter = EventSplitter::after(context.meta.last_event_id.clone());
        match read_or_withdraw(state, context, &attempts, &mut attempt, &mut splitter).await {
            Ok(first) => {
                return Ok((attempts, attempt, splitter, first));
            }
            Err(failure) => attempts.handle_failed_answer(&attempt.responder, &failure)?,
        }
    }
}

/// Reads the next piece. Before the first piece of an attempt the request waits at its replica, and is withdrawn once
/// the weights there are too old for it to begin. One that may be resumed leaves its replica if none can be reached from
/// here, and another gateway reaches them.
async fn read_or_withdraw(
    state: &GatewayState,
    context: &RequestContext,
    attempts: &Attempts,
    attempt: &mut Attempt,
    splitter: &mut EventSplitter,
) -> Result<Piece, AnswerFailure> {
    let Attempt { opened, responder } = attempt;
    let Responder::Replica(choice) = responder else {
        return read_piece(opened, splitter).await;
    };
    let has_begun = opened.has_begun();
    let piece = tokio::select! {
        biased;
        piece = read_piece(opened, splitter) => piece?,
        () = until_weights_too_old(state, context, choice), if !has_begun => return Err(AnswerFailure::Withdrawn),
        () = until_forwardable(state, context, &attempts.path), if attempts.may_run_again() => {
            return Err(AnswerFailure::PathLost);
        }
    };
    opened.record_activity();
    opened.note_begun(state, context, choice);
    if let Some(stream) = &mut opened.stream {
        match piece {
            Piece::Events(_) => stream.record_events(Instant::now()),
            Piece::End if context.meta.last_event_id.is_none() => stream.record_end(),
            Piece::End => {}
        }
    }
    Ok(piece)
}

/// Reads until there are complete events, or to the end.
async fn read_piece(
    opened: &mut OpenAnswer,
    splitter: &mut EventSplitter,
) -> Result<Piece, AnswerFailure> {
    let is_stream = opened.answer.status().is_success();
    loop {
        let next = opened.answer.next().await;
        match next.map_err(|error| AnswerFailure::of(&error))? {
            Some(bytes) if !is_stream => {
                opened.failure_bytes += bytes.len();
                let is_sized = opened.answer.content_length().is_some();
                if opened.failure_bytes > MAX_FAILURE_BYTES && !is_sized {
                    let error = opened
                        .answer
                        .end_endless(Element::Body, opened.failure_bytes as u64);
                    return Err(AnswerFailure::of(&error));
                }
                opened.record_part();
                return Ok(Piece::Events(bytes));
            }
            Some(bytes) => {
                let events = splitter.push(&bytes).map_err(|EventTooLong(length)| {
                    let error = opened.answer.end_endless(Element::Event, length as u64);
                    AnswerFailure::of(&error)
                })?;
                if !events.is_empty() {
                    opened.answer.note_progress();
                    return Ok(Piece::Events(events));
                }
                opened.record_part();
            }
            None if splitter.is_inside_event() => {
                return Err(AnswerFailure::BrokeOff(
                    "it ended inside an event".to_owned(),
                ));
            }
            None => return Ok(Piece::End),
        }
    }
}

impl Relay {
    /// Reads the stream to its end, or until its caller has left.
    async fn run(mut self, first: Piece) {
        let delivery = Rc::clone(&self.delivery);
        let caller = self.caller.clone();
        tokio::select! {
            biased;
            () = delivery.closed() => {}
            () = caller_disconnected(caller) => {}
            () = self.forward(first) => {}
        }
    }

    /// Queues complete events for the caller until the answer ends or is cut.
    async fn forward(&mut self, first: Piece) {
        let mut read = Ok(first);
        loop {
            match read {
                Ok(Piece::Events(events)) => {
                    let pushing = self.delivery.push(events);
                    if tokio::time::timeout(self.time_left(), pushing)
                        .await
                        .is_err()
                    {
                        self.cut("the request's time is over, and its caller has not made room");
                        return;
                    }
                }
                Ok(Piece::End) => return self.end(),
                Err(failure) => {
                    if !self.resume_elsewhere(&failure).await {
                        return;
                    }
                }
            }
            read = self.read_before_deadline().await;
        }
    }

    async fn read_before_deadline(&mut self) -> Result<Piece, AnswerFailure> {
        let left = self.time_left();
        let reading = read_or_withdraw(
            &self.state,
            &self.context,
            &self.attempts,
            &mut self.attempt,
            &mut self.splitter,
        );
        let over = || AnswerFailure::BrokeOff("the request's time is over".to_owned());
        let read = tokio::time::timeout(left, reading).await;
        read.unwrap_or_else(|_| Err(over()))
    }

    fn time_left(&self) -> Duration {
        let last = self.context.deadline + DEADLINE_GRACE;
        last.saturating_duration_since(Instant::now())
    }

    /// Resumes the stream at another replica after the last event; returns false if the stream was cut.
    async fn resume_elsewhere(&mut self, failure: &AnswerFailure) -> bool {
        let cause = failure.cause();
        if self.caller.as_ref().is_some_and(IoRef::is_closed) {
            self.cut("the caller has left");
            return false;
        }
        let is_over = self.time_left() <= DEADLINE_GRACE;
        // Events can't go on behind the head and a part of the body of a failure.
        let is_stream = self.attempt.opened.answer.status().is_success();
        if is_over
            || self
                .attempts
                .handle_failed_answer(&self.attempt.responder, failure)
                .is_err()
            || !is_stream
        {
            self.cut(&cause);
            return false;
        }
        self.attempt.opened.answer.close();
        self.splitter.discard_partial_event();
        let last_id = self.splitter.last_id().map(str::to_owned);
        match self.next_attempt(last_id.as_deref()).await {
            Ok(attempt) if attempt.opened.answer.status().is_success() => {
                log_event!(
                    gateway::STREAM_MOVED,
                    "request={} from={} to={} after={last_id:?} cause={cause:?}",
                    self.context.id,
                    self.attempt.responder.replica(),
                    attempt.responder.replica()
                );
                self.attempt = attempt;
                true
            }
            Ok(_) => {
                self.cut(&cause);
                false
            }
            Err(refusal) => {
                self.cut(&refusal.detail);
                false
            }
        }
    }

    /// Next attempt, as long as the request has time left.
    async fn next_attempt(&mut self, last_event_id: Option<&str>) -> Result<Attempt, Refusal> {
        let next = tokio::time::timeout(self.time_left(), self.attempts.next(last_event_id)).await;
        let over = |_| Refusal::new(Step::Answer, Reason::TimedOut, "the request's time is over");
        next.map_err(over)?
    }

    fn end(&self) {
        note_survived(&self.state, &self.context);
        if let Some(choice) = self.attempt.responder.choice() {
            choice.replica.health.record_whole_answer();
        }
        let status = self.attempt.opened.answer.status().as_u16();
        self.delivery
            .complete(self.attempt.responder.replica(), status);
    }

    /// Ends the caller's connection after what was queued, without the end of the answer.
    fn cut(&mut self, cause: &str) {
        self.attempt.opened.answer.close();
        self.delivery.cut(cause);
    }
}

async fn caller_disconnected(caller: Option<IoRef>) {
    match caller {
        Some(caller) => caller.on_disconnect().await,
        None => std::future::pending().await,
    }
}
