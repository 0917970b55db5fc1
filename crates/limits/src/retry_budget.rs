//! How many extra attempts the engines are burdened with.

use crate::sync::{AtomicU64, Ordering};

/// What one extra attempt costs; a first attempt earns as much as the budget has per cent.
const ATTEMPT_COST: u64 = 100;

/// Extra attempts saved up at the most.
const MAX_SAVED_ATTEMPTS: u64 = 100;

/// Extra attempts that are there at the start, so that a quiet daemon may retry too.
const INITIAL_ATTEMPTS: u64 = 10;

/// A token bucket that first attempts fill and extra attempts empty.
///
/// Over any time the extra attempts are at most the given per cent of the first attempts, plus what
/// was saved up: when every engine fails, retries can't multiply the load.
#[derive(Debug)]
pub struct RetryBudget {
    percent: u32,
    tokens: AtomicU64,
}

impl RetryBudget {
    /// A budget of extra attempts in per cent of first attempts; 0 allows none.
    pub fn new(percent: u32) -> Self {
        let initial = if percent == 0 { 0 } else { INITIAL_ATTEMPTS };
        Self {
            percent,
            tokens: AtomicU64::new(initial * ATTEMPT_COST),
        }
    }

    /// Counts a first attempt.
    pub fn first_attempt(&self) {
        let earn = |tokens: u64| {
            let earned = tokens.saturating_add(u64::from(self.percent));
            Some(earned.min(MAX_SAVED_ATTEMPTS * ATTEMPT_COST))
        };
        // The closure never declines, so there is no failure to handle.
        let _ = self
            .tokens
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, earn);
    }

    /// Takes the cost of one extra attempt; false where the budget is spent.
    pub fn try_retry(&self) -> bool {
        let spend = |tokens: u64| tokens.checked_sub(ATTEMPT_COST);
        self.tokens
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, spend)
            .is_ok()
    }
}
