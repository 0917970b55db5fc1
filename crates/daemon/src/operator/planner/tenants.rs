//! Orders about tenants.

use driftspring_language::api::Refusal;
use driftspring_language::{AddTenant, TenantChange};
use driftspring_types::{KeyHash, ObjectKey, ObjectKind, Tenant, TenantId};

use super::target::Target;
use super::{PlannedChange, PlanningView};
use crate::operator::effects::Effects;

fn target(view: &PlanningView, tenant: &TenantId) -> Target {
    let key = ObjectKey::new(ObjectKind::Tenants, tenant.as_str());
    Target::new(key, view.object.as_ref())
}

pub(super) fn add(view: &PlanningView, added: &AddTenant) -> Result<PlannedChange, Refusal> {
    let target = target(view, &added.tenant);
    target.must_be_absent()?;
    let mut tenant = Tenant {
        id: added.tenant.clone(),
        key_hash: added.key_hash.clone(),
        requests_per_second: 0,
        max_concurrent: 0,
        weight: Tenant::DEFAULT_WEIGHT,
    };
    apply(&mut tenant, &added.limits);
    check_key(view, &target, &tenant)?;
    target.changed_to(None, &tenant, Effects::of_tenant(view, &tenant))
}

pub(super) fn set(
    view: &PlanningView,
    id: &TenantId,
    change: &TenantChange,
) -> Result<PlannedChange, Refusal> {
    let target = target(view, id);
    let before: Tenant = target.existing()?;
    let mut after = before.clone();
    apply(&mut after, change);
    check_key(view, &target, &after)?;
    let effects = Effects::of_tenant(view, &after);
    target.changed_to(Some(&before), &after, effects)
}

pub(super) fn remove(view: &PlanningView, id: &TenantId) -> Result<PlannedChange, Refusal> {
    let target = target(view, id);
    let before: Tenant = target.existing()?;
    let routes = view.config.routes.get(id);
    let names: Vec<&str> = routes
        .into_iter()
        .flat_map(|by_model| by_model.values())
        .map(|route| route.name.as_str())
        .collect();
    if !names.is_empty() {
        let names = names.join(", ");
        return Err(target.not_applicable(format!("remove its routes first: {names}")));
    }
    target.removed(&before, Effects::default())
}

fn apply(tenant: &mut Tenant, change: &TenantChange) {
    if let Some(key_hash) = &change.key_hash {
        tenant.key_hash = key_hash.clone();
    }
    if let Some(rate) = change.rate {
        tenant.requests_per_second = rate;
    }
    if let Some(concurrency) = change.concurrency {
        tenant.max_concurrent = concurrency;
    }
    if let Some(weight) = change.weight {
        tenant.weight = weight;
    }
}

/// Callers are told apart by their keys, so no two tenants may have the same.
fn check_key(view: &PlanningView, target: &Target, tenant: &Tenant) -> Result<(), Refusal> {
    let key_hash: &KeyHash = &tenant.key_hash;
    match view.config.tenants_by_key.get(key_hash) {
        Some(other) if other.id != tenant.id => {
            let explanation = format!("tenant {} has the same bearer key", other.id);
            Err(target.not_applicable(explanation))
        }
        _ => Ok(()),
    }
}
