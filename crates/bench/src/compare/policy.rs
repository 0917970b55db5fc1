//! The compared policies.

use driftspring_routing::{Baseline, SchedulerSettings};
use serde::Serialize;

/// Which parts of the full scheme are on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Parts {
    /// Cache events are read.
    pub events: bool,
    /// Answers correct the picture of what is cached.
    pub answers: bool,
    /// Hot prefixes widen.
    pub widening: bool,
    /// Kept KV cache warms engines that return empty.
    pub kept_cache: bool,
}

/// What chooses the engines in one run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Policy {
    /// A baseline.
    Baseline(Baseline),
    /// The full scheme, or a part of it.
    Scheme(Parts),
    /// The cost function on the engines' true caches and loads, without delay. No real router can
    /// know these; it chooses request by request and so is no bound, only a yardstick.
    AllKnowing,
}

/// A policy with its name in tables.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct NamedPolicy {
    /// The name.
    pub name: &'static str,
    /// The policy.
    pub policy: Policy,
}

impl Serialize for NamedPolicy {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.name)
    }
}

/// Every part on.
const ALL_PARTS: Parts = Parts {
    events: true,
    answers: true,
    widening: true,
    kept_cache: true,
};

/// The depth of the rendezvous baseline, in blocks: past the text that all requests of a tenant share.
const RENDEZVOUS_DEPTH_BLOCKS: usize = 36;

/// The usual bound of consistent hashing with bounded loads.
const RENDEZVOUS_LOAD_BOUND: f64 = 1.25;

/// All policies in the order of the table.
pub fn all_policies() -> Vec<NamedPolicy> {
    let rendezvous = Baseline::Rendezvous {
        depth_blocks: RENDEZVOUS_DEPTH_BLOCKS,
        load_bound: RENDEZVOUS_LOAD_BOUND,
    };
    let scheme = |name, parts| NamedPolicy {
        name,
        policy: Policy::Scheme(parts),
    };
    let baseline = |name, baseline| NamedPolicy {
        name,
        policy: Policy::Baseline(baseline),
    };
    let without = |change: fn(&mut Parts)| {
        let mut parts = ALL_PARTS;
        change(&mut parts);
        parts
    };
    vec![
        baseline("round robin", Baseline::RoundRobin),
        baseline("least loaded", Baseline::LeastLoaded),
        baseline("bounded rendezvous", rendezvous),
        scheme("full", ALL_PARTS),
        scheme("full - events", without(|parts| parts.events = false)),
        scheme("full - answers", without(|parts| parts.answers = false)),
        scheme(
            "full - events, answers",
            without(|parts| {
                parts.events = false;
                parts.answers = false;
            }),
        ),
        scheme("full - widening", without(|parts| parts.widening = false)),
        scheme(
            "full - kept cache",
            without(|parts| parts.kept_cache = false),
        ),
        NamedPolicy {
            name: "all-knowing greedy",
            policy: Policy::AllKnowing,
        },
    ]
}

/// The scheduler's settings for a part of the scheme.
pub fn scheduler_settings(parts: Parts, prefill_microseconds_per_token: f64) -> SchedulerSettings {
    let mut settings = SchedulerSettings::new(prefill_microseconds_per_token);
    settings.placement.widen = parts.widening;
    settings
}
