//! Hands an answer on to its caller at the caller's pace.
//!
//! Pieces are queued as they are read from the replica, so that the replica is free however slowly the caller reads.
//! An answer is complete once the operating system has taken its last byte: until then its bytes are lost if the
//! connection is closed or the process ends. An answer that is cut off ends after the pieces that were queued, and
//! without the end of its framing.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use driftspring_clock::Instant;
use futures_util::Stream;
use futures_util::stream::unfold;
use ntex::io::IoRef;
use tokio::sync::Notify;

use super::account::RequestTracker;
use crate::connections::unsent_bytes;
use crate::held_bytes::{Charge, HeldBytes};

/// Maximum number of bytes queued for one caller: that of a buffered answer. A stream's source is not read on beyond
/// it until the caller has taken some.
pub const MAX_QUEUED_BYTES: usize = 8 * 1024 * 1024;

/// Size of the pieces that are handed to the connection, in bytes; it buffers as much again.
const PIECE_BYTES: usize = 16 * 1024;

/// Interval of the check whether a connection has no unsent bytes left; it doubles up to [`MAX_FLUSH_POLL`].
const MIN_FLUSH_POLL: Duration = Duration::from_millis(1);

/// The longest such interval.
const MAX_FLUSH_POLL: Duration = Duration::from_millis(50);

/// How an answer ends after what is queued.
#[derive(Debug)]
enum End {
    /// More is to come.
    Open,
    /// It is complete, from this replica with this status.
    Complete { replica: String, status: u16 },
    /// It was cut off.
    Cut,
}

/// Bytes of which a part may have been taken. Their memory is free once all of them are.
struct Queued {
    rest: Bytes,
    length: usize,
}

/// An answer on its way to the caller.
pub struct Delivery {
    queue: RefCell<VecDeque<Queued>>,
    charge: Charge,
    end: RefCell<End>,
    /// Set when nobody takes the answer any more.
    is_closed: Cell<bool>,
    changed: Notify,
    taken_at: Cell<Instant>,
    tracker: RefCell<RequestTracker>,
    caller: Option<IoRef>,
}

impl Delivery {
    /// Starts an answer; `charge` accounts for what will be queued first.
    pub fn new(
        account: &HeldBytes,
        charge: Charge,
        tracker: RequestTracker,
        caller: Option<IoRef>,
    ) -> Rc<Self> {
        let delivery = Rc::new(Self {
            queue: RefCell::default(),
            charge,
            end: RefCell::new(End::Open),
            is_closed: Cell::new(false),
            changed: Notify::new(),
            taken_at: Cell::new(Instant::now()),
            tracker: RefCell::new(tracker),
            caller,
        });
        account.track(&delivery);
        delivery
    }

    /// Id of the request.
    pub fn request_id(&self) -> String {
        self.tracker.borrow().id().to_owned()
    }

    /// Number of bytes queued.
    pub fn held(&self) -> usize {
        self.charge.bytes()
    }

    /// How long the caller has taken nothing although there is something to take.
    pub fn stalled_for(&self, now: Instant) -> Duration {
        match self.queue.borrow().is_empty() && self.unsent() == 0 {
            true => Duration::ZERO,
            false => now.saturating_duration_since(self.taken_at.get()),
        }
    }

    /// Number of bytes in the connection's buffer.
    fn unsent(&self) -> usize {
        self.caller.as_ref().map_or(0, unsent_bytes)
    }

    /// Queues events once there is room for them.
    pub async fn push(&self, events: Bytes) {
        self.tracker.borrow_mut().record_events();
        while self.held() > 0 && self.held() + events.len() > MAX_QUEUED_BYTES {
            self.changed.notified().await;
        }
        self.charge.add(events.len()).await;
        self.push_charged(events);
    }

    /// Queues bytes that the charge accounts for already.
    pub fn push_charged(&self, bytes: Bytes) {
        if self.is_closed.get() {
            self.charge.release(bytes.len());
            return;
        }
        let mut queue = self.queue.borrow_mut();
        if queue.is_empty() {
            self.taken_at.set(Instant::now());
        }
        queue.push_back(Queued {
            length: bytes.len(),
            rest: bytes,
        });
        self.changed.notify_waiters();
    }

    /// Completes the answer.
    pub fn complete(&self, replica: &str, status: u16) {
        let replica = replica.to_owned();
        self.set_end(End::Complete { replica, status });
    }

    /// Ends the answer after what is queued, so that it does not look complete.
    pub fn cut(&self, cause: &str) {
        self.tracker.borrow_mut().record_cut(cause);
        self.set_end(End::Cut);
    }

    fn set_end(&self, end: End) {
        *self.end.borrow_mut() = end;
        self.changed.notify_waiters();
    }

    /// Cuts the answer off at once and closes the caller's connection; what is queued is dropped.
    pub fn abort(&self, cause: &str) {
        if self.is_closed.get() {
            return;
        }
        if !matches!(*self.end.borrow(), End::Cut) {
            self.tracker.borrow_mut().record_cut(cause);
        }
        self.close();
        if let Some(caller) = &self.caller {
            caller.terminate();
        }
    }

    /// Cuts the answer off because the grace period of a planned stop is over.
    pub fn abort_for_stop(&self) {
        let is_complete = matches!(*self.end.borrow(), End::Complete { .. });
        let queue = self.queue.borrow();
        let queued: usize = queue.iter().map(|queued| queued.rest.len()).sum();
        drop(queue);
        let untaken = queued + self.unsent();
        match is_complete {
            true => self.abort(&format!(
                "its caller has not taken {untaken} bytes by the end of the grace period of a planned stop"
            )),
            false => self.abort("the grace period of a planned stop is over"),
        }
    }

    /// Waits until nobody takes the answer any more.
    pub async fn closed(&self) {
        while !self.is_closed.get() {
            self.changed.notified().await;
        }
    }

    fn close(&self) {
        self.is_closed.set(true);
        self.queue.borrow_mut().clear();
        self.charge.release(self.charge.bytes());
        self.set_end(End::Cut);
    }

    /// Takes a piece for the connection.
    fn take(&self) -> Option<ntex::util::Bytes> {
        let mut queue = self.queue.borrow_mut();
        let front = queue.front_mut()?;
        let piece = front.rest.split_to(front.rest.len().min(PIECE_BYTES));
        if front.rest.is_empty() {
            self.charge.release(front.length);
            queue.pop_front();
            self.changed.notify_waiters();
        }
        self.taken_at.set(Instant::now());
        Some(ntex::util::Bytes::copy_from_slice(&piece))
    }

    /// Next piece; `None` at the end of a complete answer, once all of it was sent. After a cut nothing more is returned:
    /// the connection is closed, and the answer must not end as if it were complete.
    async fn next(&self) -> Option<ntex::util::Bytes> {
        loop {
            if let Some(piece) = self.take() {
                return Some(piece);
            }
            if matches!(*self.end.borrow(), End::Complete { .. }) {
                self.flush().await;
            }
            match &*self.end.borrow() {
                End::Open => {}
                End::Complete { replica, status } => {
                    let mut tracker = self.tracker.borrow_mut();
                    tracker.record_completion(replica, *status);
                    return None;
                }
                End::Cut => {
                    if let Some(caller) = &self.caller {
                        caller.close();
                    }
                }
            }
            self.changed.notified().await;
        }
    }

    /// Waits until the operating system has taken all bytes of the connection.
    async fn flush(&self) {
        if let Some(caller) = &self.caller
            && let Err(error) = caller.send_buf()
        {
            log::debug!("request={} its caller has left: {error}", self.request_id());
        }
        let mut interval = MIN_FLUSH_POLL;
        while self.unsent() > 0 && !self.is_closed.get() {
            tokio::time::sleep(interval).await;
            interval = (interval * 2).min(MAX_FLUSH_POLL);
        }
    }
}

/// The taker's side of an answer; dropping it tells the source that nobody waits for the rest.
struct Taker(Rc<Delivery>);

impl Drop for Taker {
    fn drop(&mut self) {
        self.0.close();
    }
}

/// The pieces of an answer, as the body of a response. Errors do not occur.
pub fn body<E: 'static>(
    delivery: Rc<Delivery>,
) -> impl Stream<Item = Result<ntex::util::Bytes, E>> + Unpin {
    Box::pin(unfold(Taker(delivery), |taker| async move {
        let piece = taker.0.next().await?;
        Some((Ok(piece), taker))
    }))
}
