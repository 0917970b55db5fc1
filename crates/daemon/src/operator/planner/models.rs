//! Orders about the weights of a model.

use driftspring_language::LoadModel;
use driftspring_language::api::Refusal;
use driftspring_types::{ModelRollout, ObjectKey, ObjectKind};

use super::target::Target;
use super::{PlannedChange, PlanningView};
use crate::operator::effects::Effects;

/// Replicas that load at once where the first order for a model names no number.
const DEFAULT_PARALLEL_LOADS: u32 = 1;
/// Replicas that must serve where the first order for a model names no number.
const DEFAULT_MIN_SERVING: u32 = 1;

pub(super) fn load(view: &PlanningView, loaded: &LoadModel) -> Result<PlannedChange, Refusal> {
    let key = ObjectKey::new(ObjectKind::Models, loaded.model.as_str());
    let target = Target::new(key, view.object.as_ref());
    let before: Option<ModelRollout> = target.value()?;
    let parallel = before.as_ref().map(|before| before.max_parallel_loads);
    let floor = before.as_ref().map(|before| before.min_serving);
    let after = ModelRollout {
        model: loaded.model.clone(),
        weights_version: loaded.version,
        max_parallel_loads: loaded
            .parallel
            .or(parallel)
            .unwrap_or(DEFAULT_PARALLEL_LOADS),
        min_serving: loaded.floor.or(floor).unwrap_or(DEFAULT_MIN_SERVING),
    };
    let effects = Effects::of_rollout(view, &after);
    target.changed_to(before.as_ref(), &after, effects)
}
