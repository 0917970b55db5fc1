//! Ends a streamed response at its deadline, also while its caller reads nothing.
//!
//! A body is polled only while its caller takes what was written, so it can't keep its own deadline. One
//! task per worker thread looks after all bodies that are open, and drops what an overdue one holds:
//! the engine's work, the admission permit and the count of open requests.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::{Rc, Weak};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use driftspring_telemetry::events::pipeline;
use driftspring_telemetry::log_event;
use driftspring_types::RequestId;
use futures_util::Stream;
use ntex::util::Bytes;

/// How often overdue bodies are looked for.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);
/// How long after its deadline a body is overdue; one that is read ends by itself before that.
const GRACE: Duration = Duration::from_millis(500);

/// The bytes of a response.
type Pieces = Pin<Box<dyn Stream<Item = Result<Bytes, Infallible>>>>;

/// Makes the last piece of the overdue response to a request. Few responses need one, and an error costs
/// more to make than the rest of a relay's start.
type FinalPiece = fn(RequestId) -> Bytes;

/// A body that ends at its deadline.
pub struct DeadlineBody(Rc<TimedBody>);

/// What the body and the watch share.
struct TimedBody {
    id: RequestId,
    deadline: Instant,
    /// Nothing once the body has ended or was overdue.
    pieces: RefCell<Option<Pieces>>,
    /// Makes the last piece of an overdue body.
    final_piece: Cell<Option<FinalPiece>>,
}

/// Looks after the bodies of one worker thread.
#[derive(Default)]
pub struct DeadlineWatch {
    open: RefCell<Vec<Weak<TimedBody>>>,
    is_sweeping: Cell<bool>,
}

impl DeadlineWatch {
    /// The body of the response to `id`. Where it is still open after `deadline`, it ends in
    /// the piece that `final_piece` makes.
    pub fn body(
        self: &Rc<Self>,
        id: RequestId,
        deadline: Instant,
        final_piece: FinalPiece,
        pieces: impl Stream<Item = Result<Bytes, Infallible>> + 'static,
    ) -> DeadlineBody {
        let body = Rc::new(TimedBody {
            id,
            deadline,
            pieces: RefCell::new(Some(Box::pin(pieces))),
            final_piece: Cell::new(Some(final_piece)),
        });
        self.open.borrow_mut().push(Rc::downgrade(&body));
        self.ensure_sweeping();
        DeadlineBody(body)
    }

    fn ensure_sweeping(self: &Rc<Self>) {
        if self.is_sweeping.replace(true) {
            return;
        }
        let watch = Rc::clone(self);
        ntex::rt::spawn(async move {
            while watch.has_open_bodies() {
                ntex::time::sleep(SWEEP_INTERVAL).await;
                watch.sweep();
            }
            watch.is_sweeping.set(false);
        });
    }

    fn has_open_bodies(&self) -> bool {
        !self.open.borrow().is_empty()
    }

    /// Drops what overdue bodies hold, and forgets those that have ended.
    fn sweep(&self) {
        let now = Instant::now();
        let bodies = self.open.take();
        let open = bodies.into_iter().filter(|body| {
            let body = body.upgrade();
            body.is_some_and(|body| body.stays_open_at(now))
        });
        let open: Vec<_> = open.collect();
        self.open.borrow_mut().extend(open);
    }
}

impl TimedBody {
    /// Whether the body is open and not overdue; an overdue one is ended.
    fn stays_open_at(&self, now: Instant) -> bool {
        if now < self.deadline + GRACE {
            return self.pieces.borrow().is_some();
        }
        let overdue = self.pieces.take();
        if overdue.is_some() {
            log_event!(pipeline::CALLER_STALLED, "request={}", self.id);
        }
        false
    }
}

impl Stream for DeadlineBody {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        let mut pieces = self.0.pieces.borrow_mut();
        let Some(open) = pieces.as_mut() else {
            let final_piece = self.0.final_piece.take();
            return Poll::Ready(final_piece.map(|make| Ok(make(self.0.id))));
        };
        let next = open.as_mut().poll_next(context);
        if matches!(next, Poll::Ready(None)) {
            self.0.final_piece.take();
            *pieces = None;
        }
        next
    }
}
