//! Orders about routes.

use driftspring_language::api::Refusal;
use driftspring_language::{AddRoute, LegacyMove, RouteChange, ShiftRoute};
use driftspring_types::{LegacyUpstream, ObjectKey, ObjectKind, Route, VersionShift};

use super::target::Target;
use super::{PlannedChange, PlanningView};
use crate::operator::effects::Effects;

fn target(view: &PlanningView, route: &str) -> Target {
    let key = ObjectKey::new(ObjectKind::Routes, route);
    Target::new(key, view.object.as_ref())
}

pub(super) fn add(view: &PlanningView, added: &AddRoute) -> Result<PlannedChange, Refusal> {
    let target = target(view, &added.route);
    target.must_be_absent()?;
    check_tenant(view, added)?;
    check_match(view, &target, added)?;
    let mut route = Route {
        name: added.route.clone(),
        tenant: added.tenant.clone(),
        model: added.model.clone(),
        weights_version: added.version,
        shift: None,
        legacy: added.legacy.map(|(address, share)| LegacyUpstream {
            address: address.to_string(),
            percent: share.get(),
        }),
        priority: Route::DEFAULT_PRIORITY,
        use_cache: true,
    };
    apply(&mut route, &added.change);
    target.changed_to(None, &route, Effects::of_route(view, &route))
}

/// The tenant must exist.
fn check_tenant(view: &PlanningView, added: &AddRoute) -> Result<(), Refusal> {
    let mut tenants = view.config.tenants_by_key.values();
    if tenants.any(|tenant| tenant.id == added.tenant) {
        return Ok(());
    }
    let key = ObjectKey::new(ObjectKind::Tenants, added.tenant.as_str());
    Err(Refusal::NotFound {
        key: key.to_string(),
    })
}

/// Only one route may match a tenant's requests for a model.
fn check_match(view: &PlanningView, target: &Target, added: &AddRoute) -> Result<(), Refusal> {
    let by_model = view.config.routes.get(&added.tenant);
    match by_model.and_then(|by_model| by_model.get(&added.model)) {
        Some(other) if other.name != added.route => {
            let explanation = format!("route {} matches the same requests", other.name);
            Err(target.not_applicable(explanation))
        }
        _ => Ok(()),
    }
}

fn apply(route: &mut Route, change: &RouteChange) {
    if let Some(priority) = change.priority {
        route.priority = priority.get();
    }
    if let Some(use_cache) = change.use_cache {
        route.use_cache = use_cache;
    }
}

/// Plans a change of an existing route.
fn changed(
    view: &PlanningView,
    name: &str,
    change: impl FnOnce(&Target, &mut Route) -> Result<(), Refusal>,
) -> Result<PlannedChange, Refusal> {
    let target = target(view, name);
    let before: Route = target.existing()?;
    let mut after = before.clone();
    change(&target, &mut after)?;
    let effects = Effects::of_route(view, &after);
    target.changed_to(Some(&before), &after, effects)
}

pub(super) fn set(
    view: &PlanningView,
    name: &str,
    change: &RouteChange,
) -> Result<PlannedChange, Refusal> {
    changed(view, name, |_, route| {
        apply(route, change);
        Ok(())
    })
}

pub(super) fn remove(view: &PlanningView, name: &str) -> Result<PlannedChange, Refusal> {
    let target = target(view, name);
    let before: Route = target.existing()?;
    let effects = Effects::of_removed_route(&before);
    target.removed(&before, effects)
}

pub(super) fn shift(view: &PlanningView, shift: &ShiftRoute) -> Result<PlannedChange, Refusal> {
    changed(view, &shift.route, |target, route| {
        if route.weights_version == shift.version {
            let explanation = format!("version {} is its own version", shift.version);
            return Err(target.not_applicable(explanation));
        }
        if let Some(other) = route.shift
            && other.to_version != shift.version
        {
            return Err(target.not_applicable(format!(
                "a shift to version {} is under way: finish or cancel it first",
                other.to_version
            )));
        }
        route.shift = Some(VersionShift {
            to_version: shift.version,
            percent: shift.share.get(),
        });
        Ok(())
    })
}

pub(super) fn finish_shift(view: &PlanningView, name: &str) -> Result<PlannedChange, Refusal> {
    changed(view, name, |target, route| {
        let shift = shift_under_way(target, route)?;
        route.weights_version = shift.to_version;
        route.shift = None;
        Ok(())
    })
}

pub(super) fn cancel_shift(view: &PlanningView, name: &str) -> Result<PlannedChange, Refusal> {
    changed(view, name, |target, route| {
        shift_under_way(target, route)?;
        route.shift = None;
        Ok(())
    })
}

fn shift_under_way(target: &Target, route: &Route) -> Result<VersionShift, Refusal> {
    let no_shift = || target.not_applicable("no shift is under way");
    route.shift.ok_or_else(no_shift)
}

pub(super) fn move_off_legacy(
    view: &PlanningView,
    moved: &LegacyMove,
) -> Result<PlannedChange, Refusal> {
    changed(view, &moved.route, |target, route| {
        let Some(legacy) = &mut route.legacy else {
            return Err(target.not_applicable("it has no legacy upstream"));
        };
        legacy.percent = moved.share.rest().get();
        Ok(())
    })
}
