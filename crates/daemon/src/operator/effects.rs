//! What a change means for engines and traffic, in sentences for operators.

use std::sync::atomic::Ordering;

use driftspring_types::{
    EngineHealth, EngineId, EngineIntent, EngineRecord, ModelName, ModelRollout, Route, Tenant,
    WeightsVersion,
};

use super::planner::PlanningView;

/// Sentences about a change.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Effects {
    /// What it does.
    pub effects: Vec<String>,
    /// What should be looked at before going on.
    pub warnings: Vec<String>,
}

/// A share of a route's requests, in per cent of all of them.
#[derive(Debug, Clone, Copy, PartialEq)]
struct VersionTraffic {
    version: WeightsVersion,
    percent: f64,
}

impl Effects {
    /// Of a tenant as it will be.
    pub(super) fn of_tenant(view: &PlanningView, tenant: &Tenant) -> Self {
        let routes = view.config.routes.get(&tenant.id);
        let count = routes.map_or(0, |by_model| by_model.len());
        Self {
            effects: vec![format!("it concerns {}", counted(count, "route"))],
            warnings: Vec::new(),
        }
    }

    /// Of a route as it will be: which version and upstream get which share.
    pub(super) fn of_route(view: &PlanningView, route: &Route) -> Self {
        let mut effects = Self::default();
        if let Some(legacy) = &route.legacy {
            let (address, percent) = (&legacy.address, legacy.percent);
            let share = format!("{percent}% of its requests go to the legacy upstream {address}");
            effects.effects.push(share);
        }
        for traffic in traffic_by_version(route) {
            effects.add_version(view, &route.model, traffic);
        }
        effects
    }

    fn add_version(&mut self, view: &PlanningView, model: &ModelName, traffic: VersionTraffic) {
        let VersionTraffic { version, percent } = traffic;
        let engines = serving(view, model, version).count();
        let served_by = counted(engines, "engine");
        self.effects.push(format!(
            "{percent}% of its requests go to version {version} of {model}, served by {served_by}"
        ));
        if engines == 0 && percent > 0.0 {
            self.warnings.push(format!(
                "no engine that this daemon knows serves version {version} of {model}"
            ));
        }
    }

    /// Of the removal of a route.
    pub(super) fn of_removed_route(route: &Route) -> Self {
        let (tenant, model) = (&route.tenant, &route.model);
        Self {
            effects: vec![format!(
                "requests of tenant {tenant} for {model} will be refused"
            )],
            warnings: Vec::new(),
        }
    }

    /// Of the drain of an engine.
    pub(super) fn of_drain(view: &PlanningView, engine: &EngineId) -> Self {
        let Some(entry) = view.engines.get(engine) else {
            return Self {
                effects: Vec::new(),
                warnings: vec!["this daemon does not know the engine at present".to_owned()],
            };
        };
        let record = &entry.record;
        let (model, version) = (&record.model, record.weights_version);
        let open = entry.counters.open_requests.load(Ordering::Relaxed) as usize;
        let others = serving(view, model, version).filter(|other| other.id != *engine);
        let others = others.count();
        let mut effects = Self {
            effects: vec![
                format!(
                    "{} of this daemon go on to their end",
                    counted(open, "open request")
                ),
                format!(
                    "{} left for version {version} of {model}",
                    counted(others, "engine")
                ),
            ],
            warnings: Vec::new(),
        };
        if others == 0 {
            let warning = format!("no other engine serves version {version} of {model}");
            effects.warnings.push(warning);
        }
        effects
    }

    /// Of a rollout.
    pub(super) fn of_rollout(view: &PlanningView, rollout: &ModelRollout) -> Self {
        let engines: Vec<&EngineRecord> = view
            .engines
            .iter()
            .map(|entry| &entry.record)
            .filter(|record| record.model == rollout.model)
            .collect();
        let wanted = rollout.weights_version;
        let to_load = engines
            .iter()
            .filter(|record| record.weights_version != wanted)
            .count();
        let (parallel, floor) = (rollout.max_parallel_loads, rollout.min_serving);
        let mut effects = Self {
            effects: vec![format!(
                "{to_load} of {} load version {wanted}, at most {parallel} at once, while at least {floor} serve",
                counted(engines.len(), "engine")
            )],
            warnings: Vec::new(),
        };
        if to_load > 0 && engines.len() <= floor as usize {
            effects.warnings.push(format!(
                "no engine may be taken out: {} known, and {floor} must serve",
                engines.len()
            ));
        }
        for route in routes_of(view, &rollout.model) {
            if !traffic_by_version(route)
                .iter()
                .any(|traffic| traffic.version == wanted)
            {
                effects.warnings.push(format!(
                    "route {} sends nothing to version {wanted}: shift it while engines of both versions serve",
                    route.name
                ));
            }
        }
        effects
    }
}

fn routes_of<'a>(view: &'a PlanningView, model: &'a ModelName) -> impl Iterator<Item = &'a Route> {
    let by_tenant = view.config.routes.values();
    by_tenant
        .filter_map(|by_model| by_model.get(model))
        .map(AsRef::as_ref)
}

/// The engines that serve a version and are not drained.
fn serving<'a>(
    view: &'a PlanningView,
    model: &'a ModelName,
    version: WeightsVersion,
) -> impl Iterator<Item = &'a EngineRecord> {
    let is_drained = |id: &EngineId| {
        let directive = view.config.engines.get(id);
        directive.is_some_and(|directive| directive.intent == EngineIntent::Drain)
    };
    view.engines
        .iter()
        .map(|entry| &entry.record)
        .filter(move |record| record.model == *model && record.weights_version == version)
        .filter(|record| record.health == EngineHealth::Serving)
        .filter(move |record| !is_drained(&record.id))
}

/// The shares of versions, after the legacy upstream's.
fn traffic_by_version(route: &Route) -> Vec<VersionTraffic> {
    const ALL: f64 = 100.0;
    let legacy = route.legacy.as_ref().map_or(0, |legacy| legacy.percent);
    let own = ALL - f64::from(legacy);
    let shifted = route.shift.map_or(0, |shift| shift.percent);
    let mut traffic = vec![VersionTraffic {
        version: route.weights_version,
        percent: own * (ALL - f64::from(shifted)) / ALL,
    }];
    if let Some(shift) = route.shift {
        traffic.push(VersionTraffic {
            version: shift.to_version,
            percent: own * f64::from(shifted) / ALL,
        });
    }
    traffic
}

fn counted(count: usize, noun: &str) -> String {
    match count {
        1 => format!("1 {noun}"),
        count => format!("{count} {noun}s"),
    }
}
