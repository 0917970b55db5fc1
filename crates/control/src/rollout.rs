//! Which replica of a model loads the wanted weights next.

use std::collections::HashSet;

use driftspring_types::{
    EngineHealth, EngineId, EngineIntent, Incarnation, ModelRollout, WeightsVersion,
};

/// A replica as its own status shows it, and what is wanted of it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    /// The engine.
    pub id: EngineId,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Its weights.
    pub weights_version: WeightsVersion,
    /// What it can do.
    pub health: EngineHealth,
    /// What operators want of it.
    pub intent: EngineIntent,
    /// Requests that it has to finish before it can load.
    pub open_requests: u32,
}

impl Replica {
    /// Whether it takes requests.
    fn serves(&self) -> bool {
        self.health == EngineHealth::Serving && self.intent == EngineIntent::Serve
    }
}

/// The replicas that should be ordered now to load the version that `rollout` wants.
///
/// `ordered` are replicas that were told to load and whose status does not show it yet; they count as
/// loading. The plan never lets more than `max_parallel_loads` load at once, and never takes out a replica
/// that serves where fewer than `min_serving` others would be left. Replicas that serve nobody come first,
/// then those with the fewest open requests.
pub fn plan_rollout(
    replicas: &[Replica],
    rollout: &ModelRollout,
    ordered: &HashSet<EngineId>,
) -> Vec<EngineId> {
    let is_loading = |replica: &Replica| {
        replica.health == EngineHealth::Loading || ordered.contains(&replica.id)
    };
    let loading = replicas
        .iter()
        .filter(|replica| is_loading(replica))
        .count();
    let mut loads_left = (rollout.max_parallel_loads as usize).saturating_sub(loading);
    let serving = replicas
        .iter()
        .filter(|replica| replica.serves() && !is_loading(replica))
        .count();
    let mut spare = serving.saturating_sub(rollout.min_serving as usize);
    let mut plan = Vec::new();
    for replica in outdated(replicas, rollout, &is_loading) {
        if loads_left == 0 {
            break;
        }
        if replica.serves() {
            if spare == 0 {
                continue;
            }
            spare -= 1;
        }
        loads_left -= 1;
        plan.push(replica.id.clone());
    }
    plan
}

/// Whether every replica that can load has the wanted version.
pub fn is_complete(replicas: &[Replica], rollout: &ModelRollout) -> bool {
    replicas.iter().all(|replica| {
        replica.weights_version == rollout.weights_version
            || matches!(
                replica.health,
                EngineHealth::Leaving | EngineHealth::Unreachable
            )
    })
}

/// The replicas that can load and have another version, in the order in which they should.
fn outdated<'a>(
    replicas: &'a [Replica],
    rollout: &ModelRollout,
    is_loading: &impl Fn(&Replica) -> bool,
) -> Vec<&'a Replica> {
    let mut outdated: Vec<&Replica> = replicas
        .iter()
        .filter(|replica| replica.health == EngineHealth::Serving && !is_loading(replica))
        .filter(|replica| replica.weights_version != rollout.weights_version)
        .collect();
    outdated.sort_by_key(|replica| (replica.serves(), replica.open_requests, replica.id.clone()));
    outdated
}
