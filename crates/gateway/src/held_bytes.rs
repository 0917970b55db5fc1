//! Accounts for the bytes that a gateway holds for its callers: request bodies, and what callers have not yet taken
//! of their answers.
//!
//! At the limit, the answer whose caller has taken nothing for the longest time is ended, and whoever needs room waits
//! for it, except with the first bytes of each request: short requests are served in time at the limit too. The buffers of the connections themselves (at most 32 KiB each) and those of the operating system are not
//! counted.

use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::sync::Arc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use tokio::sync::Notify;

use crate::pipeline::Delivery;
use crate::status::SharedStatus;

/// How long a caller must have taken nothing before its answer may be ended at the limit. A caller that reads at all
/// seldom pauses longer on the links in use, and whoever waits for room is held up by no more than this.
const MIN_STALL: Duration = Duration::from_secs(1);

/// Bytes of each request that are counted but never wait for room. Most prompts and answers are below it, and a
/// thousand of them fit into the memory of a small gateway.
const ALWAYS_ADMITTED_BYTES: usize = 64 * 1024;

/// How often those who wait for room look for callers that have become ones to end.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// How often callers that take nothing are looked for.
const WATCH_INTERVAL: Duration = Duration::from_millis(500);

/// Bytes held for all callers of a gateway.
pub struct HeldBytes {
    limit: usize,
    total: Cell<usize>,
    deliveries: RefCell<Vec<Weak<Delivery>>>,
    room: Notify,
    status: Arc<SharedStatus>,
}

impl HeldBytes {
    /// Creates an account with a limit in bytes.
    pub fn new(limit: usize, status: Arc<SharedStatus>) -> Rc<Self> {
        Rc::new(Self {
            limit,
            total: Cell::new(0),
            deliveries: RefCell::default(),
            room: Notify::new(),
            status,
        })
    }

    /// Makes an answer one that may be ended at the limit.
    pub fn track(&self, delivery: &Rc<Delivery>) {
        self.deliveries.borrow_mut().push(Rc::downgrade(delivery));
    }

    /// Ends answers of which nothing was taken for `limit`; runs as long as the gateway.
    pub async fn end_stalled(&self, limit: impl Fn() -> Duration) {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            let now = Instant::now();
            for delivery in self.open_deliveries() {
                let stalled_for = delivery.stalled_for(now);
                if stalled_for >= limit() {
                    log_event!(
                        gateway::ANSWER_NOT_TAKEN,
                        "request={} held={} stalled={stalled_for:?}",
                        delivery.request_id(),
                        delivery.held()
                    );
                    self.status.metrics.answers_not_taken.inc();
                    delivery.abort("its caller took nothing");
                }
            }
        }
    }

    /// Ends all answers that are being delivered as the grace period of a planned stop ends.
    pub fn end_for_stop(&self) {
        for delivery in self.open_deliveries() {
            delivery.abort_for_stop();
        }
    }

    /// Answers that are being delivered; forgets the others.
    fn open_deliveries(&self) -> Vec<Rc<Delivery>> {
        let mut deliveries = self.deliveries.borrow_mut();
        deliveries.retain(|delivery| delivery.strong_count() > 0);
        deliveries.iter().filter_map(Weak::upgrade).collect()
    }

    /// Ends the answer of which nothing was taken for the longest time; false if every caller has taken something
    /// lately.
    fn end_longest_stalled(&self) -> bool {
        let now = Instant::now();
        let deliveries = self.open_deliveries().into_iter();
        let holding = deliveries.filter(|delivery| delivery.held() > 0);
        let stalls = holding.map(|delivery| (delivery.stalled_for(now), delivery));
        let longest = stalls.max_by_key(|(stalled_for, _)| *stalled_for);
        let Some((stalled_for, delivery)) = longest.filter(|(stall, _)| *stall >= MIN_STALL) else {
            return false;
        };
        log_event!(
            gateway::ANSWER_ENDED_FOR_ROOM,
            "request={} held={} stalled={stalled_for:?} total={} limit={}",
            delivery.request_id(),
            delivery.held(),
            self.total.get(),
            self.limit
        );
        self.status.metrics.answers_ended_for_room.inc();
        delivery.abort("room is needed for others");
        true
    }

    fn set_total(&self, total: usize) {
        self.total.set(total);
        let gauge = i64::try_from(total).unwrap_or(i64::MAX);
        self.status.metrics.bytes_held.set(gauge);
    }
}

/// Bytes held for one request; dropping it releases them.
pub struct Charge {
    account: Rc<HeldBytes>,
    bytes: Cell<usize>,
}

impl std::fmt::Debug for Charge {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "Charge({})", self.bytes.get())
    }
}

impl Charge {
    /// Creates an empty charge.
    pub fn new(account: &Rc<HeldBytes>) -> Self {
        Self {
            account: Rc::clone(account),
            bytes: Cell::new(0),
        }
    }

    /// Number of bytes held.
    pub fn bytes(&self) -> usize {
        self.bytes.get()
    }

    /// Adds bytes, once there is room for them.
    pub async fn add(&self, bytes: usize) {
        let account = &self.account;
        while bytes > 0 && account.total.get() + bytes > account.limit {
            if !account.end_longest_stalled() {
                if self.bytes() + bytes <= ALWAYS_ADMITTED_BYTES {
                    break;
                }
                // Without a release, another look finds callers that stall for long enough by then.
                let _ = tokio::time::timeout(RETRY_INTERVAL, account.room.notified()).await;
            }
        }
        self.bytes.set(self.bytes.get() + bytes);
        account.set_total(account.total.get() + bytes);
    }

    /// Releases bytes.
    pub fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.bytes.get());
        self.bytes.set(self.bytes.get() - bytes);
        self.account.set_total(self.account.total.get() - bytes);
        if bytes > 0 {
            self.account.room.notify_waiters();
        }
    }
}

impl Drop for Charge {
    fn drop(&mut self) {
        self.release(self.bytes.get());
    }
}
