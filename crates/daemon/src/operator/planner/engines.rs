//! Orders about engines.

use driftspring_language::api::Refusal;
use driftspring_types::{EngineDirective, EngineId, EngineIntent, ObjectKey, ObjectKind};

use super::target::Target;
use super::{PlannedChange, PlanningView};
use crate::operator::effects::Effects;

pub(super) fn drain(view: &PlanningView, engine: &EngineId) -> Result<PlannedChange, Refusal> {
    let effects = Effects::of_drain(view, engine);
    direct(view, engine, EngineIntent::Drain, effects)
}

pub(super) fn undrain(view: &PlanningView, engine: &EngineId) -> Result<PlannedChange, Refusal> {
    direct(view, engine, EngineIntent::Serve, Effects::default())
}

fn direct(
    view: &PlanningView,
    engine: &EngineId,
    intent: EngineIntent,
    effects: Effects,
) -> Result<PlannedChange, Refusal> {
    let key = ObjectKey::new(ObjectKind::Engines, engine.as_str());
    let target = Target::new(key.clone(), view.object.as_ref());
    let before: Option<EngineDirective> = target.value()?;
    let is_known = view.engines.get(engine).is_some();
    if before.is_none() && !is_known {
        let key = key.to_string();
        return Err(Refusal::NotFound { key });
    }
    if before.is_none() && intent == EngineIntent::Serve {
        return Err(target.not_applicable("it is not drained"));
    }
    let after = EngineDirective {
        id: engine.clone(),
        intent,
    };
    target.changed_to(before.as_ref(), &after, effects)
}
