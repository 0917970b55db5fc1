//! Orders: each changes one configuration object.

use std::net::SocketAddr;

use driftspring_types::{EngineId, KeyHash, ModelName, TenantId, WeightsVersion};

use crate::value::{Percent, Priority};

/// An order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// `add tenant`
    AddTenant(AddTenant),
    /// `set tenant`
    SetTenant {
        /// The tenant.
        tenant: TenantId,
        /// What changes.
        change: TenantChange,
    },
    /// `remove tenant`
    RemoveTenant(TenantId),
    /// `add route`
    AddRoute(AddRoute),
    /// `set route`
    SetRoute {
        /// The route's name.
        route: String,
        /// What changes.
        change: RouteChange,
    },
    /// `remove route`
    RemoveRoute(String),
    /// `shift route … to version …`
    ShiftRoute(ShiftRoute),
    /// `finish shift route`: the version shifted to becomes the route's version.
    FinishShift(String),
    /// `cancel shift route`: all requests go to the route's version again.
    CancelShift(String),
    /// `move route … off legacy …`
    MoveOffLegacy(LegacyMove),
    /// `drain engine`
    DrainEngine(EngineId),
    /// `undrain engine`
    UndrainEngine(EngineId),
    /// `load model`
    LoadModel(LoadModel),
}

/// A new tenant. A bearer key in the statement is hashed while it is read and kept nowhere.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddTenant {
    /// Its name.
    pub tenant: TenantId,
    /// The hash of its bearer key.
    pub key_hash: KeyHash,
    /// Its limits.
    pub limits: TenantChange,
}

/// Changes of a tenant; what is not given stays as it is (for a new tenant: at its default).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TenantChange {
    /// The hash of a new bearer key. Not part of `add tenant`, which names it apart.
    pub key_hash: Option<KeyHash>,
    /// Requests per second over all daemons; 0 means no limit.
    pub rate: Option<u32>,
    /// Requests open at once over all daemons; 0 means no limit.
    pub concurrency: Option<u32>,
    /// Share under overload.
    pub weight: Option<u32>,
}

/// A new route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AddRoute {
    /// Its name.
    pub route: String,
    /// The tenant whose requests it matches.
    pub tenant: TenantId,
    /// The model that callers name.
    pub model: ModelName,
    /// The version of the weights that serves it.
    pub version: WeightsVersion,
    /// Its other values.
    pub change: RouteChange,
    /// The legacy upstream with the share that goes to it.
    pub legacy: Option<(SocketAddr, Percent)>,
}

/// Changes of a route; what is not given stays as it is (for a new route: at its default).
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct RouteChange {
    /// The priority of requests that name none.
    pub priority: Option<Priority>,
    /// Whether requests may start from cached prompt work.
    pub use_cache: Option<bool>,
}

/// A share of a route's requests is to go to another version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShiftRoute {
    /// The route's name.
    pub route: String,
    /// The version shifted to.
    pub version: WeightsVersion,
    /// Its share.
    pub share: Percent,
}

/// A share of a route's requests is to go to driftspring, the rest to the legacy upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LegacyMove {
    /// The route's name.
    pub route: String,
    /// The share that driftspring serves.
    pub share: Percent,
}

/// Replicas of a model are to load a version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadModel {
    /// The model.
    pub model: ModelName,
    /// The version.
    pub version: WeightsVersion,
    /// Replicas that load at once at the most.
    pub parallel: Option<u32>,
    /// Replicas that must serve at all times.
    pub floor: Option<u32>,
}
