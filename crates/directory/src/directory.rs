//! The residency of every engine known.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use arc_swap::{ArcSwap, Guard};
use driftspring_types::{EngineId, Incarnation};

use crate::engine::EngineResidency;

/// Sizes and first estimates.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DirectorySettings {
    /// Blocks remembered per engine, 8 bytes each; rounded up to a power of two.
    pub blocks_per_engine: usize,
    /// How long blocks stay after their last use, until answers say better.
    pub initial_lifetime: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self {
            blocks_per_engine: 8192,
            initial_lifetime: Duration::from_secs(5),
        }
    }
}

/// A snapshot of all engines' residency.
pub type ResidencyMap = HashMap<EngineId, Arc<EngineResidency>>;

/// The residency of every engine known, by its present incarnation.
#[derive(Debug)]
pub struct Directory {
    settings: DirectorySettings,
    engines: ArcSwap<ResidencyMap>,
}

impl Directory {
    /// A directory without engines.
    pub fn new(settings: DirectorySettings) -> Self {
        Self {
            settings,
            engines: ArcSwap::from_pointee(ResidencyMap::new()),
        }
    }

    /// The present snapshot, without a lock.
    pub fn snapshot(&self) -> Guard<Arc<ResidencyMap>> {
        self.engines.load()
    }

    /// The residency of the given life of `engine`. A life not yet known starts empty and replaces
    /// an earlier one; an earlier life than the known one has no residency.
    pub fn of_incarnation(
        &self,
        engine: &EngineId,
        incarnation: Incarnation,
    ) -> Option<Arc<EngineResidency>> {
        if let Some(known) = self.engines.load().get(engine)
            && known.incarnation() >= incarnation
        {
            return (known.incarnation() == incarnation).then(|| Arc::clone(known));
        }
        self.begin_incarnation(engine, incarnation);
        let known = self.engines.load().get(engine).cloned();
        known.filter(|known| known.incarnation() == incarnation)
    }

    /// Forgets all engines but those that `is_known`.
    pub fn retain(&self, is_known: impl Fn(&EngineId) -> bool) {
        if self.engines.load().keys().all(&is_known) {
            return;
        }
        self.engines.rcu(|engines| {
            let mut engines = ResidencyMap::clone(engines);
            engines.retain(|engine, _| is_known(engine));
            engines
        });
    }

    /// Bytes held for all engines.
    pub fn memory_bytes(&self) -> usize {
        let engines = self.engines.load();
        engines.values().map(|engine| engine.memory_bytes()).sum()
    }

    fn begin_incarnation(&self, engine: &EngineId, incarnation: Incarnation) {
        let fresh = Arc::new(EngineResidency::new(incarnation, &self.settings));
        self.engines.rcu(|engines| {
            let mut engines = ResidencyMap::clone(engines);
            let known = engines.get(engine).map(|known| known.incarnation());
            if known.is_none_or(|known| known < incarnation) {
                engines.insert(engine.clone(), Arc::clone(&fresh));
            }
            engines
        });
    }
}
