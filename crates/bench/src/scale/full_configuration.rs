//! What one daemon's configuration costs at full size: memory, and the time until it is in force.
//!
//! It is measured apart from the hollow daemons, which would not fit 380 times into one machine.

use std::time::Instant;

use driftspring_replication::{PullRequest, Replica};
use driftspring_types::{
    ConfigView, KeyHash, ModelName, ObjectKey, ObjectKind, ObjectRecord, Revision, Route, Tenant,
    TenantId, WeightsVersion,
};
use serde::Serialize;

use super::resources::resident_bytes;

/// Tenants of the full size, each with one route.
const TENANTS: usize = 41_000;

/// A configuration of full size in one daemon.
#[derive(Debug, Clone, Serialize)]
pub struct FullConfiguration {
    /// Tenants; there are as many routes.
    pub tenants: usize,
    /// Memory of the replica.
    pub replica_bytes: u64,
    /// Memory of one published view; two exist while a new one replaces an old one.
    pub view_bytes: u64,
    /// Time to build a view, which each published change of a record takes, in seconds.
    pub view_build_s: f64,
    /// Bytes of a whole copy from another daemon.
    pub copy_bytes: u64,
}

/// Builds the configuration and measures it.
///
/// # Errors
/// Where an object can't be written as JSON.
pub fn measure() -> anyhow::Result<FullConfiguration> {
    let records = records()?;
    let before = resident_bytes();
    let mut replica = Replica::default();
    replica.apply_list(Revision(records.len() as u64), records.clone());
    let with_replica = resident_bytes();
    let began = Instant::now();
    let (view, _) = ConfigView::build(replica.complete_to(), replica.records());
    let view_build_s = began.elapsed().as_secs_f64();
    let with_view = resident_bytes();
    let everything = PullRequest {
        since: Revision(0),
        continues: false,
    };
    let delta = replica.changes_since(everything, usize::MAX);
    let copy = musli::wire::to_vec(&delta)?;
    Ok(FullConfiguration {
        tenants: view.tenants_by_key.len(),
        replica_bytes: with_replica.saturating_sub(before),
        view_bytes: with_view.saturating_sub(with_replica),
        view_build_s,
        copy_bytes: copy.len() as u64,
    })
}

fn records() -> anyhow::Result<Vec<ObjectRecord>> {
    let mut records = Vec::with_capacity(2 * TENANTS);
    for number in 0..TENANTS {
        let tenant = Tenant {
            id: TenantId::new(format!("tenant-{number:05}")),
            key_hash: KeyHash::of_bearer_key(&format!("key-{number}")),
            requests_per_second: 100,
            max_concurrent: 10,
            weight: 1,
        };
        let name = format!("route-{number:05}");
        let route = Route {
            name: name.clone(),
            tenant: tenant.id.clone(),
            model: ModelName::from("verdict-large"),
            weights_version: WeightsVersion(1),
            shift: None,
            legacy: None,
            priority: 4,
            use_cache: true,
        };
        let tenant_name = tenant.id.as_str().to_owned();
        let tenant_json = serde_json::to_string(&tenant)?;
        push(&mut records, ObjectKind::Tenants, tenant_name, tenant_json);
        let route_json = serde_json::to_string(&route)?;
        push(&mut records, ObjectKind::Routes, name, route_json);
    }
    Ok(records)
}

fn push(records: &mut Vec<ObjectRecord>, kind: ObjectKind, name: String, json: String) {
    records.push(ObjectRecord {
        key: ObjectKey::new(kind, name).to_string(),
        revision: Revision(records.len() as u64 + 1),
        value: Some(json),
    });
}
