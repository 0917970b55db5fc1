//! Loads that were ordered and that the engines' status does not show yet.

use std::collections::{HashMap, HashSet};
use std::time::{Duration, Instant};

use driftspring_control::rollout::Replica;
use driftspring_types::{EngineHealth, EngineId, Incarnation, WeightsVersion};

/// After this time an engine that still shows its old weights is taken not to have got the order.
const PATIENCE: Duration = Duration::from_secs(5);

#[derive(Debug)]
struct OrderedLoad {
    incarnation: Incarnation,
    weights_version: WeightsVersion,
    ordered_at: Instant,
}

/// The loads that the holder of the lease has ordered. They count as loading until the engine shows them.
#[derive(Debug, Default)]
pub struct OrderedLoads {
    loads: HashMap<EngineId, OrderedLoad>,
}

impl OrderedLoads {
    /// Notes that `replica` was told to load `weights_version`, or may have been.
    pub fn note(&mut self, replica: &Replica, weights_version: WeightsVersion, now: Instant) {
        let load = OrderedLoad {
            incarnation: replica.incarnation,
            weights_version,
            ordered_at: now,
        };
        self.loads.insert(replica.id.clone(), load);
    }

    /// Drops the loads that `replicas`, read after the orders, show to have begun or to be over.
    pub fn update(&mut self, replicas: &[Replica], now: Instant) {
        for replica in replicas {
            let Some(load) = self.loads.get(&replica.id) else {
                continue;
            };
            let shows_it = replica.health == EngineHealth::Loading
                || replica.weights_version == load.weights_version
                || replica.incarnation != load.incarnation;
            let is_overdue = now.duration_since(load.ordered_at) > PATIENCE;
            if shows_it || is_overdue {
                self.loads.remove(&replica.id);
            }
        }
    }

    /// The engines that count as loading.
    pub fn engines(&self) -> HashSet<EngineId> {
        self.loads.keys().cloned().collect()
    }

    /// Whether any of `engines` counts as loading.
    pub fn has_any(&self, mut engines: impl Iterator<Item = EngineId>) -> bool {
        engines.any(|engine| self.loads.contains_key(&engine))
    }

    /// Forgets everything, as a new holder must.
    pub fn clear(&mut self) {
        self.loads.clear();
    }
}
