//! A model replica with chunked prefill: each step prefills one chunk, shared by all requests that still have to be
//! prefilled, and yields one token for each of the others.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Requests that run at once.
const SLOTS: usize = 32;
/// Tokens per event.
const EVENT_TOKENS: u32 = 6;
/// A replica is slow for 15% of the time, in windows of this length, by this factor.
const SLOW_WINDOW_MS: f64 = 600.0;
const SLOW_PERCENT: u64 = 15;
const SLOW_FACTOR: f64 = 2.5;

/// How fast a replica is.
#[derive(Debug, Clone, Copy)]
pub struct Speed {
    pub step_ms: f64,
    pub prefill_tokens_per_ms: f64,
    pub chunk_tokens: f64,
}

/// A request at a replica.
#[derive(Debug, Clone)]
pub struct Work {
    pub arrived_ms: f64,
    pub ready_ms: f64,
    pub is_long: bool,
    pub gateway: usize,
    pub tokens_to_prefill: f64,
    pub output_tokens: u32,
    pub generated: u32,
    pub last_event_ms: Option<f64>,
    pub first_event_ms: Option<f64>,
    pub longest_pause_ms: f64,
}

/// A replica and its requests: the first [`SLOTS`] run, the others wait.
#[derive(Debug)]
pub struct Engine {
    id: u64,
    speed: Speed,
    now_ms: f64,
    pub requests: Vec<Work>,
    pub finished: Vec<Work>,
}

impl Engine {
    pub fn new(id: u64, speed: Speed) -> Self {
        Self {
            id,
            speed,
            now_ms: 0.0,
            requests: Vec::new(),
            finished: Vec::new(),
        }
    }

    /// Runs all steps that begin before `until_ms`.
    pub fn run_until(&mut self, until_ms: f64) {
        while self.now_ms < until_ms {
            let slots = self.requests.len().min(SLOTS);
            let ready = self.requests[..slots].iter().map(|work| work.ready_ms);
            let next_ms = ready.fold(until_ms, f64::min);
            if next_ms > self.now_ms {
                self.now_ms = next_ms;
                continue;
            }
            self.step(slots);
        }
    }

    fn step(&mut self, slots: usize) {
        let start_ms = self.now_ms;
        let prefilled = self.prefill_chunk(slots);
        let window = (start_ms / SLOW_WINDOW_MS) as u64;
        let draw = xxh3_64_with_seed(&window.to_le_bytes(), self.id) % 100;
        let factor = if draw < SLOW_PERCENT {
            SLOW_FACTOR
        } else {
            1.0
        };
        let chunk_ms = prefilled / self.speed.prefill_tokens_per_ms;
        self.now_ms = start_ms + (self.speed.step_ms + chunk_ms) * factor;
        for work in &mut self.requests[..slots] {
            if work.ready_ms > start_ms || work.tokens_to_prefill > 0.0 {
                continue;
            }
            work.generated += 1;
            if work.generated % EVENT_TOKENS == 0 || work.generated == work.output_tokens {
                let pause = work.last_event_ms.map_or(0.0, |last| self.now_ms - last);
                work.longest_pause_ms = work.longest_pause_ms.max(pause);
                work.last_event_ms = Some(self.now_ms);
                work.first_event_ms.get_or_insert(self.now_ms);
            }
        }
        let is_done = |work: &mut Work| work.generated == work.output_tokens;
        self.finished
            .extend(self.requests.extract_if(..slots, is_done));
    }

    /// Prefills one chunk in equal parts; returns its tokens.
    fn prefill_chunk(&mut self, slots: usize) -> f64 {
        let now = self.now_ms;
        let needs_prefill = |work: &&mut Work| work.ready_ms <= now && work.tokens_to_prefill > 0.0;
        let mut waiting: Vec<&mut Work> = self.requests[..slots]
            .iter_mut()
            .filter(needs_prefill)
            .collect();
        waiting.sort_by(|left, right| left.tokens_to_prefill.total_cmp(&right.tokens_to_prefill));
        let mut left = self.speed.chunk_tokens;
        let count = waiting.len();
        for (position, work) in waiting.into_iter().enumerate() {
            let tokens = work.tokens_to_prefill.min(left / (count - position) as f64);
            work.tokens_to_prefill -= tokens;
            left -= tokens;
        }
        self.speed.chunk_tokens - left
    }
}
