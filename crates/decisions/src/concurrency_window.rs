//! The share of a replica's concurrency that one of several gateways uses.
//!
//! The gateways don't ask each other before a request. The replica's slots are dealt out to them, by an order that all of
//! them know, and each has a window that begins with its slots. A refusal, whichever gateway got it, shrinks the windows of
//! all, and those that are used up grow again: fast up to their slots, and slowly beyond, since others may not need theirs.
//! So the sum of the windows stays close to what the replica takes, and it has to refuse a request only now and then.

use std::time::Duration;

use driftspring_clock::Instant;

/// Factor of a window after a refusal.
const SHRINK_FACTOR: f64 = 0.9;

/// Refusals that follow each other more closely count as one: gateways send on until they have heard of the first.
const REFUSAL_WINDOW: Duration = Duration::from_millis(250);

/// Growth of a window that is used up, as a share of its slots per second, as long as it is smaller than these.
const REGROWTH: f64 = 0.25;

/// The same beyond its slots, as a share of the even division per second and tolerated refusal: a replica that tolerates
/// more refusals can be probed more often.
const GROWTH_PER_REFUSAL: f64 = 0.01;

/// Limit of the tolerated refusals that speed up the growth.
const MAX_GROWTH_REFUSALS: f64 = 10.0;

/// How long a window does not grow after it has shrunk.
const GROWTH_DELAY: Duration = Duration::from_secs(1);

/// Smallest window, as a share of the even division.
const MIN_SHARE: f64 = 0.1;

/// Largest window, as a share of the even division: load may be distributed unevenly over the gateways.
const MAX_SHARE: f64 = 8.0;

/// How long a request is assumed to be open before one has ended.
const ASSUMED_DURATION: Duration = Duration::from_millis(500);

/// Lower bound of how long requests are taken to be open, in seconds.
const MIN_DURATION: f64 = 0.001;

/// Weight of one request in the moving average of how long they are open.
const DURATION_WEIGHT: f64 = 0.2;

/// Share of the slots that is used where a service has fewer slots than there are gateways. Then no gateway has a slot of
/// its own, and the number of open requests fluctuates around the sum of the windows.
const SPARSE_SHARE: f64 = 0.6;

/// What a replica's slots give each of the gateways.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Division {
    /// Slots of this gateway; a fraction where the service has fewer slots than there are gateways.
    pub slots: f64,
    /// What each would get if all slots were divided evenly.
    pub even_share: f64,
}

/// A service whose slots are divided among gateways.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DividedService {
    /// Number of its replicas.
    pub replicas: usize,
    /// Slots of the replica in question.
    pub slots: u32,
    /// Number of gateways.
    pub gateways: usize,
}

impl Division {
    /// Divides the slots of the replica at position `replica` in its service among the gateways, of which this one is at
    /// position `gateway`. What is left over goes to gateways in turn, from replica to replica, so that all get as many.
    pub fn new(service: DividedService, gateway: usize, replica: usize) -> Self {
        let gateways = u32::try_from(service.gateways.max(1)).unwrap_or(u32::MAX);
        let slots = service.slots.max(1);
        let even_share = f64::from(slots) / f64::from(gateways);
        if even_share * (service.replicas.max(1) as f64) < 1.0 {
            return Self {
                slots: even_share * SPARSE_SHARE,
                even_share,
            };
        }
        let left_over = u64::from(slots % gateways);
        let first = replica as u64 * left_over % u64::from(gateways);
        let turn = (gateway as u64 + u64::from(gateways) - first) % u64::from(gateways);
        Self {
            slots: f64::from(slots / gateways + u32::from(turn < left_over)),
            even_share,
        }
    }
}

/// The window of one gateway at one replica.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ConcurrencyWindow {
    /// Requests that may be open on average.
    size: f64,
    division: Division,
    refused_at: Option<Instant>,
    /// When the window was last used up, if it has not grown since.
    used_up_at: Option<Instant>,
    /// How long requests are open, in seconds.
    duration: f64,
    /// Saved up for requests beyond the whole part of the window; one costs 1. It grows so that, on average, as many of
    /// them are open as the fraction says.
    credit: f64,
    credited_at: Instant,
}

impl ConcurrencyWindow {
    /// A window of this share of the gateway's slots. The fractions of all gateways are not used at the same time:
    /// `random`, from 0 to 1, is what this one has saved up.
    pub fn new(division: Division, share: f64, random: f64, now: Instant) -> Self {
        Self {
            size: division.slots * share,
            division,
            refused_at: None,
            used_up_at: None,
            duration: ASSUMED_DURATION.as_secs_f64(),
            credit: random,
            credited_at: now,
        }
    }

    /// Divides the slots anew, since the number of gateways has changed. The window grows to its new slots later.
    pub fn set_division(&mut self, division: Division, now: Instant) {
        self.settle_credit(now);
        self.division = division;
        self.size = self.size.min(division.slots);
    }

    /// Requests that may be open on average.
    pub fn size(&self) -> f64 {
        self.size
    }

    /// Whether one more request may be sent at `now`, with `open` of them open. The fraction of the window allows one more
    /// for that share of the time.
    pub fn has_room(&self, open: u32, now: Instant) -> bool {
        let whole = self.size.floor();
        let open = f64::from(open);
        open < whole || (open < whole + 1.0 && self.credit_at(now) >= 1.0)
    }

    /// Records that a request is sent at `now`, with `open` others open.
    pub fn record_begin(&mut self, open: u32, now: Instant) {
        self.settle_credit(now);
        if f64::from(open) >= self.size.floor() {
            self.credit = (self.credit - 1.0).max(0.0);
        }
    }

    /// Records that a request found no room.
    pub fn record_used_up(&mut self, refusals_tolerated: u32, now: Instant) {
        let is_delayed = |at: Instant| now.saturating_duration_since(at) < GROWTH_DELAY;
        self.settle_credit(now);
        let since = self.used_up_at.replace(now);
        if self.refused_at.is_some_and(is_delayed) {
            return;
        }
        let elapsed = since.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let elapsed = elapsed.min(GROWTH_DELAY).as_secs_f64();
        let slots = self.division.slots;
        if self.size < slots {
            self.size = (self.size + slots * REGROWTH * elapsed).min(slots);
            return;
        }
        let refusals = f64::from(refusals_tolerated.max(1)).min(MAX_GROWTH_REFUSALS);
        let growth = self.division.even_share * GROWTH_PER_REFUSAL * refusals;
        let largest = self.division.even_share * MAX_SHARE;
        self.size = (self.size + growth * elapsed).min(largest.max(slots));
    }

    /// Records that a request that was open for `duration` has ended.
    pub fn record_end(&mut self, duration: Duration) {
        self.duration += DURATION_WEIGHT * (duration.as_secs_f64() - self.duration);
    }

    /// Records a refusal by the replica, to this gateway or another one. Returns whether the window has shrunk.
    pub fn record_refusal(&mut self, at: Instant) -> bool {
        let is_same = |known: Instant| at < known + REFUSAL_WINDOW;
        if self.refused_at.is_some_and(is_same) {
            return false;
        }
        // Many gateways may have saved up for a request and send it at once.
        self.credit = 0.0;
        self.credited_at = at;
        self.refused_at = Some(at);
        self.size = (self.size * SHRINK_FACTOR).max(self.division.even_share * MIN_SHARE);
        true
    }

    fn credit_at(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.credited_at);
        let fraction = self.size - self.size.floor();
        let earned = fraction * elapsed.as_secs_f64() / self.duration.max(MIN_DURATION);
        (self.credit + earned).min(1.0)
    }

    /// Adds what was earned, before the fraction changes.
    fn settle_credit(&mut self, now: Instant) {
        self.credit = self.credit_at(now);
        self.credited_at = now;
    }
}
