//! Plans orders: from the object as it is and an order to the object as it should be.
//!
//! No input or output: the daemon's snapshots are arguments, the plan is the result.

mod engines;
mod models;
mod routes;
mod target;
mod tenants;

use std::sync::Arc;

use driftspring_language::Command;
use driftspring_language::api::{Plan, Refusal};
use driftspring_types::{ConfigView, ObjectKey, ObjectKind, ObjectRecord};

use crate::control::config_writer::Proposal;
use crate::state::{DaemonState, EngineTable};

/// What a plan rests on.
#[derive(Debug, Clone)]
pub struct PlanningView {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// The engines known.
    pub engines: Arc<EngineTable>,
    /// The record of the object that the order names, also where it marks a deletion.
    pub object: Option<ObjectRecord>,
}

/// A plan with the write that carries it out.
#[derive(Debug, Clone, PartialEq)]
pub struct PlannedChange {
    /// The conditional write.
    pub proposal: Proposal,
    /// What operators are told.
    pub plan: Plan,
}

impl PlanningView {
    /// The daemon's snapshots, with the object that `command` names.
    pub fn of(state: &DaemonState, command: &Command) -> Self {
        let key = target_key(command).to_string();
        Self {
            config: state.config.load_full(),
            engines: state.engines.load_full(),
            object: state.replica.read(|replica| replica.get(&key).cloned()),
        }
    }
}

/// The key of the object that an order changes.
pub fn target_key(command: &Command) -> ObjectKey {
    let tenant =
        |id: &driftspring_types::TenantId| ObjectKey::new(ObjectKind::Tenants, id.as_str());
    let route = |name: &str| ObjectKey::new(ObjectKind::Routes, name);
    match command {
        Command::AddTenant(added) => tenant(&added.tenant),
        Command::SetTenant { tenant: id, .. } | Command::RemoveTenant(id) => tenant(id),
        Command::AddRoute(added) => route(&added.route),
        Command::ShiftRoute(shift) => route(&shift.route),
        Command::MoveOffLegacy(moved) => route(&moved.route),
        Command::SetRoute { route: name, .. }
        | Command::RemoveRoute(name)
        | Command::FinishShift(name)
        | Command::CancelShift(name) => route(name),
        Command::DrainEngine(id) | Command::UndrainEngine(id) => {
            ObjectKey::new(ObjectKind::Engines, id.as_str())
        }
        Command::LoadModel(loaded) => ObjectKey::new(ObjectKind::Models, loaded.model.as_str()),
    }
}

/// Plans `command`.
///
/// # Errors
///
/// The order makes no sense for the objects as they are.
pub fn plan(view: &PlanningView, command: &Command) -> Result<PlannedChange, Refusal> {
    match command {
        Command::AddTenant(added) => tenants::add(view, added),
        Command::SetTenant { tenant, change } => tenants::set(view, tenant, change),
        Command::RemoveTenant(tenant) => tenants::remove(view, tenant),
        Command::AddRoute(added) => routes::add(view, added),
        Command::SetRoute { route, change } => routes::set(view, route, change),
        Command::RemoveRoute(route) => routes::remove(view, route),
        Command::ShiftRoute(shift) => routes::shift(view, shift),
        Command::FinishShift(route) => routes::finish_shift(view, route),
        Command::CancelShift(route) => routes::cancel_shift(view, route),
        Command::MoveOffLegacy(moved) => routes::move_off_legacy(view, moved),
        Command::DrainEngine(engine) => engines::drain(view, engine),
        Command::UndrainEngine(engine) => engines::undrain(view, engine),
        Command::LoadModel(loaded) => models::load(view, loaded),
    }
}
