//! Tables of configuration objects.

use driftspring_language::{Cell, Row};
use driftspring_limits::Admission;
use driftspring_types::{
    ConfigView, EngineHealth, EngineRecord, ModelName, ObjectKey, ObjectKind, Route, Tenant,
};

use crate::state::EngineTable;

fn revision(config: &ConfigView, kind: ObjectKind, name: &str) -> Cell {
    let key = ObjectKey::new(kind, name).to_string();
    let revision = config.revisions.get(&key);
    revision.map(|revision| revision.0).into()
}

/// The rows of `routes`.
pub fn routes(config: &ConfigView) -> Vec<Row> {
    let by_tenant = config.routes.values();
    by_tenant
        .flat_map(|by_model| by_model.values())
        .map(|route| route_row(config, route))
        .collect()
}

fn route_row(config: &ConfigView, route: &Route) -> Row {
    let legacy = route.legacy.as_ref();
    vec![
        route.name.as_str().into(),
        route.tenant.as_str().into(),
        route.model.as_str().into(),
        route.weights_version.0.into(),
        route.shift.map(|shift| shift.to_version.0).into(),
        route.shift.map(|shift| shift.percent).into(),
        legacy.map(|legacy| legacy.address.as_str()).into(),
        legacy.map(|legacy| legacy.percent).into(),
        route.priority.into(),
        if route.use_cache { "on" } else { "off" }.into(),
        revision(config, ObjectKind::Routes, &route.name),
    ]
}

/// The rows of `tenants`.
pub fn tenants(config: &ConfigView) -> Vec<Row> {
    let row = |tenant: &Tenant| {
        let routes = config.routes.get(&tenant.id);
        let routes = routes.map_or(0, |by_model| by_model.len() as u64);
        vec![
            tenant.id.as_str().into(),
            tenant.requests_per_second.into(),
            tenant.max_concurrent.into(),
            tenant.weight.into(),
            routes.into(),
            revision(config, ObjectKind::Tenants, tenant.id.as_str()),
        ]
    };
    let tenants = config.tenants_by_key.values();
    tenants.map(|tenant| row(tenant)).collect()
}

/// The rows of `limits`.
pub fn limits(config: &ConfigView, admission: &Admission) -> Vec<Row> {
    let row = |tenant: &Tenant| {
        vec![
            tenant.id.as_str().into(),
            tenant.requests_per_second.into(),
            tenant.max_concurrent.into(),
            tenant.weight.into(),
            admission.open_requests_of(&tenant.id).into(),
            revision(config, ObjectKind::Tenants, tenant.id.as_str()),
        ]
    };
    let tenants = config.tenants_by_key.values();
    tenants.map(|tenant| row(tenant)).collect()
}

/// The rows of `models`: those with a wanted version, and those that only engines name.
pub fn models(config: &ConfigView, engines: &EngineTable) -> Vec<Row> {
    let of_engines = engines.iter().map(|entry| &entry.record.model);
    let mut names: Vec<_> = config.models.keys().chain(of_engines).collect();
    names.sort();
    names.dedup();
    names
        .into_iter()
        .map(|model| model_row(config, engines, model))
        .collect()
}

fn model_row(config: &ConfigView, engines: &EngineTable, model: &ModelName) -> Row {
    let rollout = config.models.get(model);
    let wanted = rollout.map(|rollout| rollout.weights_version);
    let records = engines.iter().map(|entry| &entry.record);
    let own: Vec<&EngineRecord> = records.filter(|record| record.model == *model).collect();
    let count = |condition: &dyn Fn(&EngineRecord) -> bool| {
        own.iter().filter(|record| condition(record)).count() as u64
    };
    vec![
        model.as_str().into(),
        wanted.map(|version| version.0).into(),
        rollout.map(|rollout| rollout.max_parallel_loads).into(),
        rollout.map(|rollout| rollout.min_serving).into(),
        count(&|record| record.health == EngineHealth::Serving).into(),
        count(&|record| Some(record.weights_version) == wanted).into(),
        revision(config, ObjectKind::Models, model.as_str()),
    ]
}
