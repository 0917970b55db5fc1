//! Fair shares of tenants while a service cannot run all that its tenants send.
//!
//! Load: one tenant, or a few, send many times their usual load, and the service cannot run all of it. The shares are
//! weighted max-min fair: there is a *level* (work per second and unit of weight) such that a tenant whose demand is
//! below `level × weight` runs all of it, and every other one runs `level × weight`. A request of a tenant with demand
//! `d` is admitted with probability `min(1, level × weight / d)`. Every gateway can decide that alone if all know the
//! same demands and the same level, so no message is exchanged on the request path.
//!
//! [`ShareController`] finds the level without knowing the capacity. While a service is overloaded, it runs what it
//! can, so the work that began recently, over all gateways, is the capacity. The controller aims at this amount, less
//! what drains the queues, or a little more if they are short: the aim follows a loss of replicas and their return.
//! [`waterfill`] turns the aim into the level, so the largest tenants are cut first, and a tenant that leaves frees its
//! share at the next update. A level that falls and rises by fixed factors needs many updates for the same changes
//! (compared in `tests/fair_share.rs`).

use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// Share of the objective that the wait may take before the service counts as overloaded. The other half is left for
/// prefilling and for what arrives until the shares take effect.
const OVERLOAD_WAIT_SHARE: f64 = 0.5;

/// Share of the objective that the mean wait takes while shares are enforced: long enough that replicas seldom run out
/// of work although queues are uneven (prompts go to the replicas that have their shared parts cached), and short enough
/// that requests below their share are in time. In the scene of two tenants at the stand-in, 0.4 used no more of the slots
/// (0.93 in both cases), and fewer than 0.95 of the light tenant's requests were in time in two of four runs.
const TARGET_WAIT_SHARE: f64 = 0.35;

/// Time in which the part of the queues beyond the target is worked off. It equals the window over which rates are
/// averaged: a shorter one would act on rates that do not show the previous correction yet.
const DRAIN_TIME: Duration = Duration::from_secs(1);

/// Largest share of the capacity that is kept free to drain queues.
const MAX_DRAIN: f64 = 0.5;

/// Share by which the aim exceeds what runs while queues are empty; less if they are nearly as long as they should be.
/// This looks for free capacity: twice of it is found within five averaging windows.
const PROBE: f64 = 0.15;

/// Share by which the aim stays below what runs while replicas refuse requests because they are full.
const FULL_CUT: f64 = 0.1;

/// Share of the sends that replicas refuse as full from which on the service counts as overloaded: single replicas are
/// full in every uneven moment, and their refusals are sent elsewhere.
const FULL_SHARE: f64 = 0.05;

/// Share by which demand exceeds what runs in an overload. Queues that are long although everything runs, for example
/// behind one slow replica, are no overload.
const EXCESS_DEMAND: f64 = 0.02;

/// Updates in a row that show long waits before these count: a gateway whose process stood still sees one.
const MIN_LATE_UPDATES: u32 = 2;

/// Time without any signal, and with all demand within the aim, after which an overload has ended.
const CALM_TIME: Duration = Duration::from_secs(1);

/// Half-life of the largest amount of work that was seen to run. A signal that does not react to less load (an answer
/// that is slow by itself) must not cut the service down to nothing, but after a real loss of replicas the aim has to
/// reach what is left within seconds.
const PEAK_HALF_LIFE: Duration = Duration::from_secs(5);

/// Lowest aim, as a share of that largest amount.
const MIN_PEAK_SHARE: f64 = 0.5;

/// Lowest probability with which a request is admitted: what a peer reports of a tenant's demand must not starve it.
const MIN_ADMISSION: f64 = 1.0 / 64.0;

/// Earliest return of a refused caller: the shares are updated about that often.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Latest return, as a share of the time that the caller has left: callers obey no later one (operator's page of the
/// protocol).
const MAX_SHARE_OF_TIME_LEFT: f64 = 1.0 / 3.0;

/// What one tenant asks of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Claim {
    /// Work per second that its requests ask for, over all gateways.
    pub demand: f64,
    /// Its weight; only the ratio between tenants matters.
    pub weight: f64,
}

/// The level up to which `capacity` serves the claims: the sum over all claims of `min(demand, level × weight)` is
/// `capacity`. Infinite if everything fits. Claims that are not finite and positive are skipped.
pub fn waterfill(capacity: f64, claims: impl Iterator<Item = Claim>) -> f64 {
    let is_valid = |claim: &Claim| {
        claim.demand.is_finite()
            && claim.demand > 0.0
            && claim.weight.is_finite()
            && claim.weight > 0.0
    };
    let mut claims: Vec<Claim> = claims.filter(is_valid).collect();
    let per_weight = |claim: &Claim| claim.demand / claim.weight;
    claims.sort_unstable_by(|one, other| per_weight(one).total_cmp(&per_weight(other)));
    let mut capacity = capacity.max(0.0);
    let mut weight: f64 = claims.iter().map(|claim| claim.weight).sum();
    for claim in &claims {
        let level = capacity / weight;
        if per_weight(claim) > level {
            return level;
        }
        capacity -= claim.demand;
        weight -= claim.weight;
    }
    f64::INFINITY
}

/// Probability with which a request of a tenant is admitted.
pub fn admission_probability(level: f64, claim: Claim) -> f64 {
    let share = level * claim.weight;
    match share >= claim.demand || claim.demand <= 0.0 {
        true => 1.0,
        false => (share / claim.demand).clamp(MIN_ADMISSION, 1.0),
    }
}

/// When a caller refused for its tenant's share should retry. The tenant runs `probability` of what it sends, so its
/// refused requests of one second fit in over `1 / probability` seconds; returns are spread evenly over that time by
/// `draw`, up to what callers obey. An earlier return only competes with the tenant's own requests.
pub fn over_share_retry_after(probability: f64, time_left: Duration, draw: u64) -> Duration {
    let latest = time_left.mul_f64(MAX_SHARE_OF_TIME_LEFT);
    let spread = Duration::from_secs_f64(1.0 / probability.clamp(MIN_ADMISSION, 1.0)).min(latest);
    let earliest = MIN_RETRY_AFTER.min(latest);
    let fraction = xxh3_64(&draw.to_le_bytes()) as f64 / u64::MAX as f64;
    earliest + spread.saturating_sub(earliest).mul_f64(fraction)
}

/// What a gateway sees of the load of a service.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Signals {
    /// Wait of the requests that began recently, beyond the wait without any load.
    pub wait: Duration,
    /// The longest objective of the service's routes.
    pub objective: Option<Duration>,
    /// Requests sent since the last update.
    pub sent: u64,
    /// Those of them that a replica refused because it was full.
    pub refused_as_full: u64,
    /// Requests that arrived since the last update.
    pub arrived: u64,
    /// Those of them that this gateway refused because the service's queues are too long.
    pub refused_for_queues: u64,
    /// Work per second that began, over all gateways.
    pub run: f64,
    /// Work per second that was asked for, over all gateways.
    pub demand: f64,
    /// Whether another gateway reports that the service is overloaded.
    pub is_reported: bool,
}

impl Signals {
    fn is_full(&self) -> bool {
        self.refused_as_full > 1 && self.refused_as_full as f64 > self.sent as f64 * FULL_SHARE
    }

    /// Whether this gateway refuses requests because the queues are too long. Those would be requests of all tenants
    /// alike, so the shares have to take effect.
    fn is_refusing(&self) -> bool {
        self.refused_for_queues > 1
            && self.refused_for_queues as f64 > self.arrived as f64 * FULL_SHARE
    }

    fn is_late(&self) -> bool {
        let objective = self.objective;
        objective.is_some_and(|objective| self.wait > objective.mul_f64(OVERLOAD_WAIT_SHARE))
    }

    fn is_excess(&self) -> bool {
        self.demand > self.run * (1.0 + EXCESS_DEMAND)
    }

    /// The aim, as a share of what runs.
    fn aim(&self) -> f64 {
        let aim = match self.objective {
            Some(objective) => {
                let target = objective.mul_f64(TARGET_WAIT_SHARE).as_secs_f64();
                let excess = self.wait.as_secs_f64() - target;
                match excess > 0.0 {
                    true => 1.0 - (excess / DRAIN_TIME.as_secs_f64()).min(MAX_DRAIN),
                    false => 1.0 - PROBE * excess / target,
                }
            }
            None => 1.0 + PROBE,
        };
        match self.is_full() {
            true => aim.min(1.0 - FULL_CUT),
            false => aim,
        }
    }
}

/// A change of a service's state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// An overload has begun.
    Begun,
    /// It has ended.
    Ended,
}

/// Decides when a service is overloaded, and how much of it is handed out then.
#[derive(Debug, Default)]
pub struct ShareController {
    late_updates: u32,
    /// Since when nothing has shown an overload.
    calm_since: Option<Instant>,
    is_overloaded: bool,
    peak: f64,
    updated_at: Option<Instant>,
    capacity: f64,
}

impl ShareController {
    /// Whether shares are enforced.
    pub fn is_overloaded(&self) -> bool {
        self.is_overloaded
    }

    /// Work per second that is handed out while the service is overloaded.
    pub fn capacity(&self) -> f64 {
        self.capacity
    }

    /// Takes in what was seen since the last update.
    pub fn update(&mut self, signals: &Signals, now: Instant) -> Option<Change> {
        let passed = self
            .updated_at
            .map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        self.updated_at = Some(now);
        let decay = 0.5_f64.powf(passed.as_secs_f64() / PEAK_HALF_LIFE.as_secs_f64());
        self.peak = (self.peak * decay).max(signals.run);
        self.late_updates = match signals.is_late() {
            true => self.late_updates.saturating_add(1),
            false => 0,
        };
        let is_confirmed_late = self.late_updates >= MIN_LATE_UPDATES;
        let shows_overload = signals.is_excess()
            && (is_confirmed_late || signals.is_full() || signals.is_refusing());
        let aim = signals.aim();
        // While queues are short, what runs is limited by what is admitted, which says nothing of the capacity.
        let floor = match self.is_overloaded && aim > 1.0 {
            true => self.capacity,
            false => self.peak * MIN_PEAK_SHARE,
        };
        self.capacity = (signals.run * aim).max(floor);
        if !self.is_overloaded {
            let is_due = shows_overload || (signals.is_reported && signals.demand > self.capacity);
            self.is_overloaded = is_due;
            self.calm_since = None;
            return is_due.then_some(Change::Begun);
        }
        let is_calm = !shows_overload && signals.demand <= self.capacity;
        if !is_calm {
            self.calm_since = None;
            return None;
        }
        let calm_since = *self.calm_since.get_or_insert(now);
        let has_ended = now.saturating_duration_since(calm_since) >= CALM_TIME;
        self.is_overloaded = !has_ended;
        has_ended.then_some(Change::Ended)
    }
}
