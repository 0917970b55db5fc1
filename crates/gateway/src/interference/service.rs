//! What is known of the interference at one service.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::interference::{PromptProfile, Separation};

use super::decayed_sum::DecayedSum;
use super::token_time::TokenTime;

/// Time over which the demand of long prompts is averaged: long enough for some hundred prompts at the rates of known
/// deployments (some 100 per second), short enough to follow a burst.
const DEMAND_TIME_CONSTANT: Duration = Duration::from_secs(2);

/// Least time between two updates of the separation; the demand changes little meanwhile.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);

/// Least change of the reserved replicas that is reported.
const REPORTED_CHANGE: f64 = 1.0;

/// What is known of the interference at one service.
#[derive(Debug)]
pub struct ServiceInterference {
    /// Prefill time of the long prompts that all gateways have sent.
    demand: Cell<DecayedSum>,
    separation: RefCell<Separation>,
    updated_at: Cell<Option<Instant>>,
    /// Number of reserved replicas that was reported last.
    reported: Cell<f64>,
    /// Time per output token.
    pub token_time: TokenTime,
}

impl Default for ServiceInterference {
    fn default() -> Self {
        Self {
            demand: Cell::new(DecayedSum::new(DEMAND_TIME_CONSTANT)),
            separation: RefCell::default(),
            updated_at: Cell::new(None),
            reported: Cell::new(0.0),
            token_time: TokenTime::default(),
        }
    }
}

impl ServiceInterference {
    /// Records a prompt that some gateway sent at `now`, if it is long.
    pub fn record_prompt(&self, profile: &PromptProfile, now: Instant) {
        if profile.is_long() {
            let mut demand = self.demand.get();
            demand.add(profile.prefill_time, now);
            self.demand.set(demand);
        }
    }

    /// Share of one replica's time that the long prompts of all gateways take.
    pub fn demand(&self, now: Instant) -> f64 {
        self.demand.get().share_since_first(now)
    }

    /// Adapts the separation to the demand, at most every [`UPDATE_INTERVAL`]. Returns whether the number of reserved
    /// replicas has changed noticeably since that was last returned.
    pub fn update(&self, replicas: usize, now: Instant) -> bool {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < UPDATE_INTERVAL;
        if self.updated_at.get().is_some_and(is_recent) {
            return false;
        }
        self.updated_at.set(Some(now));
        let demand = self.demand(now);
        self.separation.borrow_mut().update(demand, replicas, now);
        let reserved = self.reserved_replicas();
        let is_changed = (reserved - self.reported.get()).abs() >= REPORTED_CHANGE;
        if is_changed {
            self.reported.set(reserved);
        }
        is_changed
    }

    /// Replicas that are reserved for long prompts.
    pub fn reserved_replicas(&self) -> f64 {
        self.separation.borrow().reserved_replicas()
    }

    /// Whether a replica is on the side that the prompt prefers.
    pub fn prefers(&self, id_hash: u64, profile: &PromptProfile) -> bool {
        self.separation.borrow().prefers(id_hash, profile)
    }

    /// Cost in milliseconds of a replica for this prompt because of the side it is on.
    pub fn separation_cost_ms(&self, id_hash: u64, profile: &PromptProfile) -> f64 {
        self.separation.borrow().cost_ms(id_hash, profile)
    }
}
