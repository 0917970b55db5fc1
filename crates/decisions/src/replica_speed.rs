//! How fast each replica answers requests without a prompt, relative to the other replicas of its service.
//!
//! Load: some replicas take several times as long as the others, for a while or permanently, or refuse requests because
//! they are full. Placement by open requests alone keeps sending them work: a slow replica gets fewer requests than the
//! others, but each of them is late.
//!
//! - [`AnswerTimes`]: how long the answers of one route take, over all replicas. Routes do different work, so a
//!   response is only compared with others of its route.
//! - [`ReplicaSpeed`]: the slowdown of one replica and its concurrency limit.
//! - [`HedgeShare`]: how many requests of a route may be hedged.
//!
//! A gateway may see one response per second, so one response that takes longer than nearly all others counts at once.
//! A wrong conclusion costs little: the slowdown is a cost in placement, no request is refused, and it decays.

use std::time::Duration;

use driftspring_clock::Instant;

/// Shortest time that the histogram tells apart from shorter ones.
const MIN_TIME_MS: f64 = 0.25;

/// Ratio of the bounds of a bucket, which is the precision of the quantiles.
const BUCKET_RATIO: f64 = 1.15;

/// Number of buckets; the last one begins at about 140 s.
const BUCKETS: usize = 96;

/// Weight of a new sample: the last hundred or so count.
const SAMPLE_WEIGHT: f64 = 0.01;

/// Number of samples before the quantiles are used.
const MIN_SAMPLES: u32 = 20;

/// Weight of a new answer in the average time of its replica: the last ten or so count.
const REPLICA_WEIGHT: f64 = 0.1;

/// Number of answers after which a replica counts for what is normal.
const MIN_REPLICA_SAMPLES: u32 = 3;

/// Number of replicas whose times are kept for a route; of more, those that answered last.
const MAX_REPLICAS: usize = 64;

/// Time after which a replica that has not answered no longer counts for what is normal.
const REPLICA_RETENTION: Duration = Duration::from_secs(60);

/// Quantile below which nearly all answers lie. It matches [`HEDGE_SHARE`].
const NEARLY_ALL: f64 = 0.95;

/// Times are compared as if all took this much longer, so that answers within a few milliseconds of each other count as
/// equally fast and a replica that answers in no time does not make the others look slow.
const COMPARISON_FLOOR: Duration = Duration::from_millis(3);

/// Ratio to the typical time from which an answer is slow. Below it, differences in the work explain the time.
const SLOW_RATIO: f64 = 2.0;

/// Largest slowdown; one late answer says no more.
const MAX_SLOWDOWN: f64 = 32.0;

/// Slowdowns below this one count as normal speed.
const MIN_SLOWDOWN: f64 = 1.25;

/// Weight of an answer that is not slow in the average of the logarithm: down quickly after a recovery, up slowly, since
/// most differences are noise.
const WEIGHT_DOWN: f64 = 0.5;
const WEIGHT_UP: f64 = 0.1;

/// Half-life of the logarithm of the slowdown. A replica that takes eight times as long is tried again after 3.2 s, and
/// then after twice that, since each trial is a late response: with four gateways and two slow replicas of eight, trials
/// are below 1% of 200 requests per second.
const MIN_HALF_LIFE: Duration = Duration::from_secs(1);

/// Longest half-life. A replica that takes eight times as long is then tried again every 13 s.
const MAX_HALF_LIFE: Duration = Duration::from_secs(4);

/// How much slower the slowdown decays for requests that can't be hedged, so that repeatable requests are the first to
/// try a replica again: if it is still slow, a hedged request answers them in time.
const CAUTION: f64 = 2.0;

/// Factor of the concurrency limit when a replica refuses because it is full.
const REFUSAL_FACTOR: f64 = 0.7;

/// Shortest time after which a request is hedged. Below it, scheduling of the gateway itself (0.12 of a core) explains
/// the delay.
const MIN_HEDGE_DELAY: Duration = Duration::from_millis(20);

/// Shortest time after which a request is hedged, relative to the typical time. Routes whose answers all take equally
/// long would otherwise hedge on noise.
const MIN_HEDGE_RATIO: f64 = 1.5;

/// Share of the requests of a route that may be hedged, so that hedging adds no more than this to the load when all
/// replicas slow down together.
const HEDGE_SHARE: f64 = 0.05;

/// Hedged requests that may be saved up: those that are open at a replica when it becomes slow.
const MAX_HEDGE_CREDIT: f64 = 3.0;

/// How long no request of a route is hedged after a replica has refused one because it is full: capacity is short, and
/// the retry budget (one or two retries at a gateway) is needed to find a replica that has room.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_secs(1);

/// A histogram in which older samples lose weight.
#[derive(Debug, Clone)]
struct Distribution {
    shares: [f32; BUCKETS],
}

impl Distribution {
    const EMPTY: Self = Self {
        shares: [0.0; BUCKETS],
    };

    fn add(&mut self, ms: f64, weight: f64) {
        let bucket = (ms / MIN_TIME_MS).ln() / BUCKET_RATIO.ln();
        let bucket = (bucket.max(0.0) as usize).min(BUCKETS - 1);
        for share in &mut self.shares {
            *share *= (1.0 - weight) as f32;
        }
        self.shares[bucket] += weight as f32;
    }

    /// The upper bound of the bucket in which the quantile lies.
    fn quantile_ms(&self, quantile: f64) -> f64 {
        let total: f64 = self.shares.iter().map(|share| f64::from(*share)).sum();
        let mut below = 0.0;
        for (bucket, share) in self.shares.iter().enumerate() {
            below += f64::from(*share);
            if below >= quantile * total {
                return MIN_TIME_MS * BUCKET_RATIO.powi(bucket as i32 + 1);
            }
        }
        MIN_TIME_MS * BUCKET_RATIO.powi(BUCKETS as i32)
    }
}

/// What one replica takes for the answers of a route.
#[derive(Debug, Clone, Copy)]
struct ReplicaTime {
    replica: u64,
    /// Average of the logarithm of the milliseconds.
    log_ms: f64,
    samples: u32,
    answered_at: Instant,
}

/// How long the answers of one route take.
#[derive(Debug, Clone)]
pub struct AnswerTimes {
    samples: u32,
    /// Times divided by the slowdown of their replicas, so that known slow replicas don't delay hedged requests.
    normalized: Distribution,
    by_replica: Vec<ReplicaTime>,
    /// What a replica of normal speed takes.
    typical_ms: Option<f64>,
}

impl Default for AnswerTimes {
    fn default() -> Self {
        Self {
            samples: 0,
            normalized: Distribution::EMPTY,
            by_replica: Vec::new(),
            typical_ms: None,
        }
    }
}

/// What the answers of a route usually take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct UsualTimes {
    /// What a replica of normal speed takes.
    pub typical: Duration,
    /// The time that nearly all answers of replicas of normal speed take at most.
    pub nearly_all: Duration,
}

impl AnswerTimes {
    /// Adds the time of a successful answer from `replica`, whose learnt slowdown was `slowdown`.
    pub fn add(&mut self, replica: u64, time: Duration, slowdown: f64, now: Instant) {
        self.samples = self.samples.saturating_add(1);
        let weight = SAMPLE_WEIGHT.max(1.0 / f64::from(self.samples));
        let ms = milliseconds(time);
        self.normalized.add(ms / slowdown.max(1.0), weight);
        self.add_to_replica(replica, ms.max(MIN_TIME_MS).ln(), now);
        self.typical_ms = self.normal_replica_ms(now);
    }

    fn add_to_replica(&mut self, replica: u64, log_ms: f64, now: Instant) {
        let mut known = self.by_replica.iter_mut();
        if let Some(known) = known.find(|known| known.replica == replica) {
            known.samples = known.samples.saturating_add(1);
            let weight = REPLICA_WEIGHT.max(1.0 / f64::from(known.samples));
            known.log_ms += weight * (log_ms - known.log_ms);
            known.answered_at = now;
            return;
        }
        if self.by_replica.len() >= MAX_REPLICAS {
            let oldest = self.by_replica.iter().enumerate();
            let oldest = oldest.min_by_key(|(_, known)| known.answered_at);
            if let Some((position, _)) = oldest {
                self.by_replica.swap_remove(position);
            }
        }
        self.by_replica.push(ReplicaTime {
            replica,
            log_ms,
            samples: 1,
            answered_at: now,
        });
    }

    /// The time of the fastest replica behind the fastest quarter, which is at least one: so neither a few replicas that
    /// answer nonsense in no time nor a majority of slow ones determine what is normal. Of two, the faster one is normal.
    fn normal_replica_ms(&self, now: Instant) -> Option<f64> {
        let is_recent = |known: &&ReplicaTime| {
            now.saturating_duration_since(known.answered_at) < REPLICA_RETENTION
        };
        let known = self.by_replica.iter().filter(is_recent);
        let known = known.filter(|known| known.samples >= MIN_REPLICA_SAMPLES);
        let mut times: Vec<f64> = known.map(|known| known.log_ms).collect();
        times.sort_unstable_by(f64::total_cmp);
        let position = match times.len() {
            0 => return None,
            1 | 2 => 0,
            count => (count / 4).max(1),
        };
        Some(times[position].exp())
    }

    /// What answers usually take, unless too few are known.
    pub fn usual(&self) -> Option<UsualTimes> {
        let typical_ms = self.typical_ms.filter(|_| self.samples >= MIN_SAMPLES)?;
        Some(UsualTimes {
            typical: from_milliseconds(typical_ms),
            nearly_all: from_milliseconds(self.normalized.quantile_ms(NEARLY_ALL)),
        })
    }
}

impl UsualTimes {
    /// How much longer than usual an answer took, at least 1.
    fn ratio(&self, time: Duration) -> f64 {
        let floor = milliseconds(COMPARISON_FLOOR);
        let ratio = (milliseconds(time) + floor) / (milliseconds(self.typical) + floor);
        ratio.clamp(1.0, MAX_SLOWDOWN)
    }

    /// The ratio of an answer that took, or has taken so far, longer than nearly all others; nothing for other ones.
    fn slow_ratio(&self, time: Duration) -> Option<f64> {
        let ratio = self.ratio(time);
        (time > self.nearly_all && ratio >= SLOW_RATIO).then_some(ratio)
    }

    /// The time after which a request is hedged that has no answer.
    pub fn hedge_delay(&self) -> Duration {
        let by_ratio = self.typical.mul_f64(MIN_HEDGE_RATIO);
        self.nearly_all.max(by_ratio).max(MIN_HEDGE_DELAY)
    }
}

/// Whether a request has a second chance if the replica turns out to be slow.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SecondChance {
    /// It can be hedged.
    Hedged,
    /// It runs at one replica.
    Without,
}

/// A request whose answer has not arrived.
#[derive(Debug, Clone, Copy)]
pub struct OpenCall {
    /// When it was sent.
    pub sent_at: Instant,
    /// What answers of its route usually take.
    pub usual: Option<UsualTimes>,
}

/// What is learnt of the speed of one replica.
#[derive(Debug, Clone, Default)]
pub struct ReplicaSpeed {
    /// Logarithm of the slowdown at `updated_at`.
    log_slowdown: f64,
    updated_at: Option<Instant>,
    half_life: Option<Duration>,
    /// The highest logarithm since the replica last answered at normal speed.
    peak: f64,
    /// The concurrency limit; none as long as the replica has been neither slow nor full.
    limit: Option<f64>,
    /// When the latest request was sent that was answered at normal speed.
    normal_sent_at: Option<Instant>,
}

impl ReplicaSpeed {
    /// Records a successful answer to `call`. `open` is the number of open requests, this one included.
    pub fn record_answer(&mut self, call: &OpenCall, open: u32, now: Instant) {
        let Some(usual) = call.usual else {
            return;
        };
        let time = now.saturating_duration_since(call.sent_at);
        if usual.slow_ratio(time).is_some() {
            return self.record_at_least(call, open, now);
        }
        let log = usual.ratio(time).ln();
        let known = self.decayed(now, 1.0);
        let weight = match log < known {
            true => WEIGHT_DOWN,
            false => WEIGHT_UP,
        };
        self.log_slowdown = known + weight * (log - known);
        self.updated_at = Some(now);
        self.half_life = None;
        self.peak = 0.0;
        self.normal_sent_at = self.normal_sent_at.max(Some(call.sent_at));
        if let Some(limit) = &mut self.limit
            && f64::from(open) >= limit.floor()
        {
            // One more per round of answers, and only if the limit was used.
            *limit += 1.0 / *limit;
        }
    }

    /// Records that `call` was answered, or given up without an answer, at `now`: it takes at least that long.
    pub fn record_at_least(&mut self, call: &OpenCall, open: u32, now: Instant) {
        let Some(ratio) = self.slow_ratio(call, now) else {
            return;
        };
        let known = self.decayed(now, 1.0);
        let log = ratio.ln().max(self.peak);
        if known < log / 2.0 && self.peak > 0.0 {
            // It was tried again and is still slow.
            let half_life = self.half_life.unwrap_or(MIN_HALF_LIFE) * 2;
            self.half_life = Some(half_life.min(MAX_HALF_LIFE));
        }
        self.log_slowdown = known.max(log);
        self.peak = self.log_slowdown;
        self.updated_at = Some(now);
        self.lower_limit(open, 1.0 / ratio);
    }

    /// Records that the replica refused a request because it is full.
    pub fn record_refusal(&mut self, open: u32) {
        self.lower_limit(open, REFUSAL_FACTOR);
    }

    fn lower_limit(&mut self, open: u32, factor: f64) {
        let used = f64::from(open);
        let used = self.limit.map_or(used, |limit| limit.min(used));
        self.limit = Some((used * factor).max(1.0));
    }

    /// The time that the replica takes, relative to normal ones, for a request that is sent at `now`; 1 if it is not
    /// known to be slow. Requests that are open for long count as well, unless a later one was answered at normal speed.
    pub fn slowdown<'a>(
        &self,
        open_calls: impl IntoIterator<Item = &'a OpenCall>,
        chance: SecondChance,
        now: Instant,
    ) -> f64 {
        let caution = match chance {
            SecondChance::Hedged => 1.0,
            SecondChance::Without => CAUTION,
        };
        let learnt = self.decayed(now, caution).exp();
        let open_ratios = open_calls
            .into_iter()
            .filter_map(|call| self.slow_ratio(call, now));
        let slowdown = open_ratios.fold(learnt, f64::max);
        if slowdown < MIN_SLOWDOWN {
            1.0
        } else {
            slowdown
        }
    }

    /// Number of open requests from which the replica is passed over while others have room.
    pub fn limit(&self) -> u32 {
        self.limit.map_or(u32::MAX, |limit| limit as u32)
    }

    /// Whether the latest answer came at normal speed.
    pub fn answered_at_normal_speed(&self) -> bool {
        self.peak == 0.0 && self.normal_sent_at.is_some()
    }

    /// How slow a request shows the replica to be that has no answer at `now`.
    fn slow_ratio(&self, call: &OpenCall, now: Instant) -> Option<f64> {
        let is_outdated = self
            .normal_sent_at
            .is_some_and(|normal| call.sent_at < normal);
        let age = now.saturating_duration_since(call.sent_at);
        let usual = call.usual.filter(|_| !is_outdated)?;
        usual.slow_ratio(age)
    }

    fn decayed(&self, now: Instant, caution: f64) -> f64 {
        let Some(updated_at) = self.updated_at else {
            return 0.0;
        };
        let half_life = self.half_life.unwrap_or(MIN_HALF_LIFE).mul_f64(caution);
        let age = now.saturating_duration_since(updated_at);
        self.log_slowdown * 0.5_f64.powf(age.as_secs_f64() / half_life.as_secs_f64())
    }
}

/// How many requests of a route may still be hedged.
#[derive(Debug, Clone, Copy, Default)]
pub struct HedgeShare {
    credit: f64,
    paused_until: Option<Instant>,
}

impl HedgeShare {
    /// Adds what one request earns.
    pub fn earn(&mut self) {
        self.credit = (self.credit + HEDGE_SHARE).min(MAX_HEDGE_CREDIT);
    }

    /// Whether one more request may be hedged at `now`.
    pub fn is_left(&self, now: Instant) -> bool {
        self.credit >= 1.0 && self.paused_until.is_none_or(|until| now >= until)
    }

    /// Records that a replica refused a request because it is full.
    pub fn record_refusal(&mut self, now: Instant) {
        self.paused_until = Some(now + PAUSE_AFTER_REFUSAL);
    }

    /// Counts a hedged request.
    pub fn spend(&mut self) {
        self.credit = (self.credit - 1.0).max(0.0);
    }
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1000.0
}

fn from_milliseconds(ms: f64) -> Duration {
    Duration::from_secs_f64(ms / 1000.0)
}
