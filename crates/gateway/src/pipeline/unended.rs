//! Notes replicas whose answers have an element without end.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use crate::replicas::Replica;
use crate::upstream::{Element, EndlessError, Meter};

/// How often an answer is looked at until its head has arrived.
const WATCH_INTERVAL: Duration = Duration::from_millis(100);

/// Keeps requests away from the replica for a while.
pub fn note_endless(replica: &Replica, error: &EndlessError) {
    keep_away(replica, &error.to_string());
}

fn keep_away(replica: &Replica, cause: &str) {
    let pause = replica.health.record_endless(Instant::now());
    log_event!(
        gateway::REPLICA_SUSPECT,
        "replica={} pause={pause:?} cause={cause:?}",
        replica.id()
    );
}

/// Watches an answer that may be given up because its request's time is over. If bytes of it still keep coming by then, a few
/// at a time, it counts as one without end. Silence does not.
#[derive(Debug)]
pub struct UnendedGuard {
    replica: Rc<Replica>,
    meter: Rc<Meter>,
    /// The earliest time at which the answer is given up.
    given_up_at: Instant,
    body: Element,
    /// Whether the replica was noted before that.
    is_noted: Cell<bool>,
}

impl UnendedGuard {
    /// Watches the answer that this meter measures; `body` names its contents.
    pub fn new(
        replica: &Rc<Replica>,
        meter: &Rc<Meter>,
        given_up_at: Instant,
        body: Element,
    ) -> Self {
        Self {
            replica: Rc::clone(replica),
            meter: Rc::clone(meter),
            given_up_at,
            body,
            is_noted: Cell::new(false),
        }
    }

    /// Checks the answer from time to time.
    pub async fn watch(&self) -> Infallible {
        loop {
            tokio::time::sleep(WATCH_INTERVAL).await;
            self.check();
        }
    }

    /// Keeps other requests away from the replica if bytes of the answer come and come. This request goes on: the replica may
    /// be slow, and its next whole answer shows that it is sound.
    pub fn check(&self) {
        if !self.is_noted.get() && self.meter.is_doubtful() {
            self.is_noted.set(true);
            keep_away(&self.replica, "its answer does not end");
        }
    }
}

impl Drop for UnendedGuard {
    fn drop(&mut self) {
        if Instant::now() < self.given_up_at {
            return;
        }
        if let Some(error) = self.meter.end_if_endless(self.body)
            && !self.is_noted.get()
        {
            note_endless(&self.replica, &error);
        }
    }
}
