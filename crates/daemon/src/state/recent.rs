//! The newest answers that engines gave through this daemon: for operators who ask where a request went.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Instant;

use arc_swap::ArcSwapOption;
use driftspring_types::{EngineId, Incarnation, Outcome, RequestId, Route, WeightsVersion};

/// Answers that are kept.
const CAPACITY: usize = 512;

/// One answer, after its end.
#[derive(Debug, Clone)]
pub struct RecentAnswer {
    /// The request.
    pub request: RequestId,
    /// The route that it took, as it was then.
    pub route: Arc<Route>,
    /// The version of the weights that served it.
    pub weights_version: WeightsVersion,
    /// The engine that began the answer.
    pub engine: EngineId,
    /// That engine's life, as it said.
    pub incarnation: Option<Incarnation>,
    /// The engine that gave the end of the answer; nothing where the request had none by then.
    pub last_engine: Option<EngineId>,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Those that the first engine took from its cache, as it said.
    pub cached_tokens: Option<u32>,
    /// Tokens passed on.
    pub tokens: u64,
    /// How it ended.
    pub outcome: Outcome,
    /// When it ended.
    pub ended_at: Instant,
}

/// A ring of the newest answers. A writer replaces the oldest one without a lock.
#[derive(Debug)]
pub struct RecentAnswers {
    slots: Box<[ArcSwapOption<RecentAnswer>]>,
    next: AtomicUsize,
}

impl Default for RecentAnswers {
    fn default() -> Self {
        Self {
            slots: (0..CAPACITY).map(|_| ArcSwapOption::empty()).collect(),
            next: AtomicUsize::new(0),
        }
    }
}

impl RecentAnswers {
    /// Keeps `answer` in place of the oldest one.
    pub fn record(&self, answer: RecentAnswer) {
        let place = self.next.fetch_add(1, Ordering::Relaxed) % self.slots.len();
        self.slots[place].store(Some(Arc::new(answer)));
    }

    /// The answers kept, in no order.
    pub fn all(&self) -> Vec<Arc<RecentAnswer>> {
        self.slots
            .iter()
            .filter_map(|slot| slot.load_full())
            .collect()
    }
}
