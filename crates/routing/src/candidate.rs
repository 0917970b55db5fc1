//! Engines as the choice sees them, and what it decides.

use std::time::Duration;

use driftspring_directory::Overlap;
use driftspring_types::EngineId;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::cost::Cost;
use crate::load::LoadEstimate;

/// The hash of an engine's name, by which it is placed.
///
/// It covers no incarnation: an engine that returns empty takes its old prefixes back, and those of
/// the other engines stay where they are warm.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct EngineKey(pub u64);

impl EngineKey {
    /// The key of the engine `id`.
    pub fn of(id: &EngineId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// One way between the zones of a daemon and an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ZoneDistance(pub Duration);

/// An engine that may serve the request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The hash of its name.
    pub key: EngineKey,
    /// Its distance.
    pub distance: ZoneDistance,
    /// Its estimated load.
    pub load: LoadEstimate,
}

/// What decided the choice; for operators and logs.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum DecisionReason {
    /// The engine is the home of the prompt's prefix.
    Home,
    /// Another engine than the home has more of the prompt cached.
    Resident,
    /// Another engine than the home is cheaper because of its load or distance.
    Spill,
    /// A baseline policy chose it.
    Baseline,
}

/// The chosen engine.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Decision {
    /// Its position among the candidates.
    pub index: usize,
    /// What it probably has cached.
    pub overlap: Overlap,
    /// Its cost.
    pub cost: Cost,
    /// What decided.
    pub reason: DecisionReason,
    /// How many candidates were compared.
    pub compared: usize,
}
