//! The settings files of daemons under test.

use std::net::SocketAddr;
use std::path::PathBuf;

use driftspring_standin::ports::free_address;
use driftspring_types::{KeyHash, Route, Tenant, WeightsVersion};
use serde::Serialize;

use crate::{MODEL, TENANTS};

/// The bearer key of a tenant in tests.
pub fn bearer_key(tenant: &str) -> String {
    format!("key-of-{tenant}")
}

/// A tenant without limits.
pub fn tenant(id: &str) -> Tenant {
    Tenant {
        id: id.into(),
        key_hash: KeyHash::of_bearer_key(&bearer_key(id)),
        requests_per_second: 0,
        max_concurrent: 0,
        weight: 1,
    }
}

/// The route of a tenant to version 1 of [`MODEL`].
pub(crate) fn route(tenant: &str) -> Route {
    Route {
        name: format!("{tenant}-{MODEL}"),
        tenant: tenant.into(),
        model: MODEL.into(),
        weights_version: WeightsVersion(1),
        shift: None,
        legacy: None,
        priority: 4,
        use_cache: true,
    }
}

/// A settings file, in the order in which TOML wants it: values before tables.
#[derive(Debug, Serialize)]
pub(crate) struct SettingsFile {
    pub(crate) id: String,
    pub(crate) zone: String,
    pub(crate) seeds: Vec<SocketAddr>,
    pub(crate) history_file: PathBuf,
    pub(crate) log: LogSection,
    pub(crate) listen: ListenSection,
    pub(crate) platform: PlatformSection,
    pub(crate) bootstrap: BootstrapSection,
}

/// What the daemon logs.
#[derive(Debug, Serialize)]
pub(crate) struct LogSection {
    pub(crate) level: &'static str,
}

/// Where the daemon listens.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct ListenSection {
    pub(crate) callers: SocketAddr,
    pub(crate) operators: SocketAddr,
    pub(crate) peers: SocketAddr,
}

impl ListenSection {
    /// Free loopback ports, which no other socket takes while the daemon is down.
    ///
    /// # Errors
    ///
    /// None is free.
    pub(crate) fn free_ports() -> anyhow::Result<Self> {
        Ok(Self {
            callers: free_address()?,
            operators: free_address()?,
            peers: free_address()?,
        })
    }
}

/// The addresses of the platform's stand-ins.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub(crate) struct PlatformSection {
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) object_store: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) machine_list: Option<SocketAddr>,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(crate) kv_store: Option<SocketAddr>,
}

/// What the daemon serves before it hears of anything newer.
#[derive(Debug, Default, Serialize)]
pub(crate) struct BootstrapSection {
    pub(crate) tenants: Vec<Tenant>,
    pub(crate) routes: Vec<Route>,
    pub(crate) engines: Vec<EngineSection>,
}

impl BootstrapSection {
    /// Every tenant of [`TENANTS`] with its route, and `engines`.
    pub(crate) fn with_engines(engines: Vec<EngineSection>) -> Self {
        Self {
            tenants: TENANTS.map(tenant).into(),
            routes: TENANTS.map(route).into(),
            engines,
        }
    }
}

/// An engine known from the start.
#[derive(Debug, Serialize)]
pub(crate) struct EngineSection {
    pub(crate) id: String,
    pub(crate) address: SocketAddr,
    pub(crate) zone: String,
    pub(crate) model: String,
}
