//! Changes of the engine table by the request path.

use driftspring_settings::BootstrapEngine;
use driftspring_types::{EngineHealth, EngineLoad, EngineRecord, Incarnation, WeightsVersion};

use crate::state::{DaemonState, EngineTable, GossipCommand};

/// Stands for weights that no report has named yet.
pub const UNKNOWN_WEIGHTS: WeightsVersion = WeightsVersion(0);
/// Stands for an engine's life that no report has named yet.
pub const UNKNOWN_INCARNATION: Incarnation = Incarnation(0);

/// Adds the engines of the settings, which any report of theirs replaces.
pub fn add_bootstrap_engines(daemon: &DaemonState) {
    for engine in &daemon.settings.bootstrap.engines {
        publish_record(daemon, &bootstrap_record(engine));
    }
}

/// Puts `record` into the table, unless it is no newer than what is known, and passes it on to the
/// other daemons.
pub fn put_record(daemon: &DaemonState, record: &EngineRecord) {
    let command = GossipCommand::EngineObserved(record.clone());
    daemon.gossip.send(command);
    publish_record(daemon, record);
}

fn publish_record(daemon: &DaemonState, record: &EngineRecord) {
    daemon.engines.rcu(|table| {
        let changed: Option<EngineTable> = table.with_record(record.clone());
        changed.map_or_else(|| table.clone(), std::sync::Arc::new)
    });
}

fn bootstrap_record(engine: &BootstrapEngine) -> EngineRecord {
    EngineRecord {
        id: engine.id.clone(),
        address: engine.address.to_string(),
        zone: engine.zone.clone(),
        model: engine.model.clone(),
        weights_version: UNKNOWN_WEIGHTS,
        incarnation: UNKNOWN_INCARNATION,
        report_sequence: 0,
        health: EngineHealth::Serving,
        load: EngineLoad::default(),
    }
}
