//! Entries of the replicas of one service, and the replicas in use.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::time::Duration;

use driftspring_gateway::protocol::{ModelVersion, ReplicaEntry, ReplicaIncarnation};
use driftspring_gateway::replicas::Registry;

/// The entry of a serving replica with one model, whose incarnation started at `born`.
pub fn entry(id: &str, born: Option<u64>) -> ReplicaEntry {
    ReplicaEntry {
        incarnation: ReplicaIncarnation {
            id: id.to_owned(),
            born,
        },
        service: "service".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 4,
        is_draining: false,
        cold_remaining: Duration::ZERO,
        models: vec![ModelVersion {
            model: "model".to_owned(),
            version: 3,
        }],
        software: Some("v1".to_owned()),
    }
}

/// The ids of the replicas in use after all changes of the registry are published.
pub fn ids_in_use(registry: &Registry) -> Vec<String> {
    registry.rebuild_index();
    let replicas = registry.of_service("service");
    replicas
        .iter()
        .map(|replica| replica.id().to_owned())
        .collect()
}
