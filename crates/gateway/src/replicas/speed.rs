//! The speed of replicas, learnt from the requests without a prompt that this gateway sends
//! ([`driftspring_decisions::replica_speed`]).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::replica_speed::{
    AnswerTimes, HedgeShare, OpenCall, ReplicaSpeed, SecondChance, UsualTimes,
};
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::replica::Replica;
use crate::standstill;

/// Learnt slowdown from which a replica is reported as slow. Below it, differences in the work explain it.
pub const SLOW_THRESHOLD: f64 = 2.0;

/// Maximum number of routes whose answer times are kept. Configurations have some tens.
const MAX_ROUTES: usize = 512;

/// What is learnt of one replica.
#[derive(Debug, Default)]
pub struct SpeedTracker {
    speed: RefCell<ReplicaSpeed>,
    open_calls: RefCell<BTreeMap<u64, OpenCall>>,
    last_id: Cell<u64>,
    is_slow: Cell<bool>,
}

impl SpeedTracker {
    /// The time that the replica takes relative to normal ones.
    pub fn slowdown(&self, chance: SecondChance, now: Instant) -> f64 {
        let open_calls = self.open_calls.borrow();
        self.speed
            .borrow()
            .slowdown(open_calls.values(), chance, now)
    }

    /// Number of open requests from which the replica is passed over while others have room.
    pub fn limit(&self) -> u32 {
        self.speed.borrow().limit()
    }

    /// Whether it was reported as slow, and has not answered at normal speed since.
    pub fn is_slow(&self) -> bool {
        self.is_slow.get()
    }

    /// The slowdown from answers alone, without the requests that are open.
    fn learnt_slowdown(&self, now: Instant) -> f64 {
        self.speed.borrow().slowdown([], SecondChance::Hedged, now)
    }
}

/// The answers of one route, and the hedged requests that it may send.
#[derive(Debug, Default)]
pub struct RouteSpeed {
    times: RefCell<AnswerTimes>,
    share: Cell<HedgeShare>,
}

impl RouteSpeed {
    /// What answers usually take, unless too few are known.
    pub fn usual(&self) -> Option<UsualTimes> {
        self.times.borrow().usual()
    }

    /// Counts a request that could be hedged.
    pub fn earn_hedge(&self) {
        let mut share = self.share.get();
        share.earn();
        self.share.set(share);
    }

    /// Whether the share of hedged requests leaves room for one more.
    pub fn may_hedge(&self) -> bool {
        self.share.get().is_left(Instant::now())
    }

    /// Records that a replica refused a request because it is full: nothing is hedged for a while.
    fn record_refusal(&self) {
        let mut share = self.share.get();
        share.record_refusal(Instant::now());
        self.share.set(share);
    }

    /// Counts a hedged request.
    pub fn spend_hedge(&self) {
        let mut share = self.share.get();
        share.spend();
        self.share.set(share);
    }
}

/// The answers of all routes; nothing is learnt unless the settings enable it.
#[derive(Debug, Default)]
pub struct RouteSpeeds {
    is_enabled: bool,
    by_route: RefCell<HashMap<String, Rc<RouteSpeed>>>,
}

impl RouteSpeeds {
    /// No answers yet.
    pub fn new(is_enabled: bool) -> Self {
        Self {
            is_enabled,
            ..Self::default()
        }
    }

    /// The answers of a route; nothing if the speed of replicas is not learnt.
    pub fn of(&self, route: &str) -> Option<Rc<RouteSpeed>> {
        if !self.is_enabled {
            return None;
        }
        let mut by_route = self.by_route.borrow_mut();
        if let Some(known) = by_route.get(route) {
            return Some(Rc::clone(known));
        }
        // Routes of earlier configurations are forgotten with all others, which are relearnt at once.
        if by_route.len() >= MAX_ROUTES {
            by_route.clear();
        }
        let added = Rc::<RouteSpeed>::default();
        by_route.insert(route.to_owned(), Rc::clone(&added));
        Some(added)
    }
}

/// A request that is open at a replica and whose time is measured. Dropped without an answer, it counts as one that takes
/// at least as long as it was open.
#[derive(Debug)]
pub struct TimedCall {
    replica: Rc<Replica>,
    route: Rc<RouteSpeed>,
    id: u64,
    call: OpenCall,
    /// Total standstill of this process when the request was sent, see [`standstill::total`].
    standstill_before: Duration,
    has_ended: bool,
}

impl TimedCall {
    /// Registers a request of `route` that is sent to `replica` now.
    pub fn begin(replica: &Rc<Replica>, route: Rc<RouteSpeed>) -> Self {
        let tracker = &replica.speed;
        let id = tracker.last_id.get() + 1;
        tracker.last_id.set(id);
        let call = OpenCall {
            sent_at: Instant::now(),
            usual: route.usual(),
        };
        tracker.open_calls.borrow_mut().insert(id, call);
        Self {
            replica: Rc::clone(replica),
            route,
            id,
            call,
            standstill_before: standstill::total(),
            has_ended: false,
        }
    }

    /// Records that the replica answered successfully.
    pub fn record_answer(mut self) {
        self.has_ended = true;
        if self.has_stood_still() {
            return;
        }
        let now = Instant::now();
        let tracker = &self.replica.speed;
        let time = now.saturating_duration_since(self.call.sent_at);
        let mut times = self.route.times.borrow_mut();
        let slowdown = tracker.learnt_slowdown(now);
        times.add(self.replica.incarnation_hash, time, slowdown, now);
        let open = self.replica.open_requests();
        let mut speed = tracker.speed.borrow_mut();
        speed.record_answer(&self.call, open, now);
        drop(speed);
        self.report(now);
    }

    /// Records that the replica refused the request because it is full.
    pub fn record_refusal(mut self) {
        self.has_ended = true;
        let open = self.replica.open_requests();
        self.replica.speed.speed.borrow_mut().record_refusal(open);
        self.route.record_refusal();
    }

    /// Records an answer that says nothing about the speed, such as a failure.
    pub fn ignore(mut self) {
        self.has_ended = true;
    }

    /// While this process stood still, the answer may have been waiting in its socket.
    fn has_stood_still(&self) -> bool {
        standstill::total() > self.standstill_before
    }

    fn record_unanswered(&self) {
        let now = Instant::now();
        let tracker = &self.replica.speed;
        let time = now.saturating_duration_since(self.call.sent_at);
        if self.call.usual.is_some_and(|usual| time > usual.nearly_all) {
            let mut times = self.route.times.borrow_mut();
            let slowdown = tracker.learnt_slowdown(now);
            times.add(self.replica.incarnation_hash, time, slowdown, now);
        }
        let open = self.replica.open_requests();
        let mut speed = tracker.speed.borrow_mut();
        speed.record_at_least(&self.call, open, now);
        drop(speed);
        self.report(now);
    }

    /// Logs that the replica has become slow, or is of normal speed again.
    fn report(&self, now: Instant) {
        let tracker = &self.replica.speed;
        let slowdown = tracker.learnt_slowdown(now);
        let id = self.replica.id();
        if !tracker.is_slow() && slowdown >= SLOW_THRESHOLD {
            tracker.is_slow.set(true);
            log_event!(
                gateway::REPLICA_SLOW,
                "replica={id} slowdown={slowdown:.2} limit={} elapsed={:?} usual={:?}",
                tracker.limit(),
                now.saturating_duration_since(self.call.sent_at),
                self.call.usual.map(|usual| usual.typical)
            );
        }
        let is_normal = tracker.speed.borrow().answered_at_normal_speed();
        if tracker.is_slow() && is_normal && slowdown < SLOW_THRESHOLD {
            tracker.is_slow.set(false);
            log_event!(
                gateway::REPLICA_SPEED_NORMAL,
                "replica={id} slowdown={slowdown:.2} limit={}",
                tracker.limit()
            );
        }
    }
}

impl Drop for TimedCall {
    fn drop(&mut self) {
        let tracker = &self.replica.speed;
        tracker.open_calls.borrow_mut().remove(&self.id);
        if !self.has_ended && !self.has_stood_still() {
            self.record_unanswered();
        }
    }
}
