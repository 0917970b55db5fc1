//! Configuration objects: what operators and controllers write to the object store.
//!
//! Each object is JSON under a key `<kind>/<name>`. Every daemon holds all of them and derives a
//! [`ConfigView`], an immutable snapshot with the look-ups that the request path needs.

use std::collections::HashMap;
use std::fmt;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::ids::{
    DaemonId, EngineId, FencingToken, Incarnation, ModelName, Revision, TenantId, WeightsVersion,
};
use crate::records::ObjectRecord;

/// The kinds of configuration object; also the first part of each key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ObjectKind {
    /// `tenants/<id>`: a [`Tenant`].
    Tenants,
    /// `routes/<name>`: a [`Route`].
    Routes,
    /// `engines/<id>`: an [`EngineDirective`].
    Engines,
    /// `models/<name>`: a [`ModelRollout`].
    Models,
    /// `claims/group`: the [`ClaimGroup`].
    Claims,
    /// `leases/<name>`: held by controllers, not part of the replicated configuration.
    Leases,
}

impl ObjectKind {
    /// The kinds that every daemon replicates; leases are read from the store by their holders only.
    pub const REPLICATED: [Self; 5] = [
        Self::Tenants,
        Self::Routes,
        Self::Engines,
        Self::Models,
        Self::Claims,
    ];

    /// The first part of the keys of this kind.
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Tenants => "tenants",
            Self::Routes => "routes",
            Self::Engines => "engines",
            Self::Models => "models",
            Self::Claims => "claims",
            Self::Leases => "leases",
        }
    }
}

/// The key of an object in the store, `<kind>/<name>`.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ObjectKey {
    /// The kind of the object.
    pub kind: ObjectKind,
    /// The object's name within its kind.
    pub name: String,
}

impl ObjectKey {
    /// The key of the object `name` of `kind`.
    pub fn new(kind: ObjectKind, name: impl Into<String>) -> Self {
        Self {
            kind,
            name: name.into(),
        }
    }
}

impl fmt::Display for ObjectKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}/{}", self.kind.prefix(), self.name)
    }
}

/// A text that is no object key.
#[derive(Debug, Clone, PartialEq, Eq, thiserror::Error)]
#[error("no object key of the form <kind>/<name>: {0:?}")]
pub struct InvalidObjectKey(pub String);

impl FromStr for ObjectKey {
    type Err = InvalidObjectKey;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || InvalidObjectKey(text.to_owned());
        let (prefix, name) = text.split_once('/').ok_or_else(invalid)?;
        let kind = ObjectKind::REPLICATED
            .into_iter()
            .chain([ObjectKind::Leases])
            .find(|kind| kind.prefix() == prefix)
            .ok_or_else(invalid)?;
        if name.is_empty() {
            return Err(invalid());
        }
        Ok(Self::new(kind, name))
    }
}

/// The BLAKE3 hash of a bearer key, in lower-case hexadecimal. Keys themselves are never stored.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyHash(String);

impl KeyHash {
    /// The hash of a presented bearer key.
    pub fn of_bearer_key(bearer_key: &str) -> Self {
        Self(blake3::hash(bearer_key.as_bytes()).to_hex().to_string())
    }

    /// A hash given as 64 hexadecimal digits; nothing for any other text.
    pub fn from_hex(text: &str) -> Option<Self> {
        let hash = blake3::Hash::from_hex(text).ok()?;
        Some(Self(hash.to_hex().to_string()))
    }

    /// The hash in lower-case hexadecimal.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether both hashes are equal, compared in constant time.
    pub fn matches(&self, other: &Self) -> bool {
        use subtle::ConstantTimeEq;
        self.0.as_bytes().ct_eq(other.0.as_bytes()).into()
    }
}

/// A tenant and its limits over the whole system.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct Tenant {
    /// The tenant's name.
    pub id: TenantId,
    /// The hash of its bearer key.
    pub key_hash: KeyHash,
    /// Requests per second over all daemons; 0 means no limit.
    #[serde(default)]
    pub requests_per_second: u32,
    /// Requests open at once over all daemons; 0 means no limit.
    #[serde(default)]
    pub max_concurrent: u32,
    /// The tenant's share under overload, relative to the others.
    #[serde(default = "default_weight")]
    pub weight: u32,
}

impl Tenant {
    /// The weight of a tenant for which none is given.
    pub const DEFAULT_WEIGHT: u32 = 1;
    /// The largest weight.
    pub const MAX_WEIGHT: u32 = 1000;
}

fn default_weight() -> u32 {
    Tenant::DEFAULT_WEIGHT
}

/// An upstream that serves a route's traffic until it is moved to driftspring.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LegacyUpstream {
    /// `IP:port` of its HTTP interface.
    pub address: String,
    /// The share of requests that still goes to it, in per cent (0 to 100).
    pub percent: u8,
}

/// Where the requests of one tenant for one model go.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The route's name; also its key in the store.
    pub name: String,
    /// The tenant whose requests it matches.
    pub tenant: TenantId,
    /// The model that callers name.
    pub model: ModelName,
    /// The version of the weights that serves the route, where no shift is under way.
    pub weights_version: WeightsVersion,
    /// A second version and its share, while the route is shifted.
    #[serde(default)]
    pub shift: Option<VersionShift>,
    /// The legacy upstream, while the route is being moved off it.
    #[serde(default)]
    pub legacy: Option<LegacyUpstream>,
    /// The priority of its requests where the caller names none, 0 (least urgent) to 9.
    #[serde(default = "default_priority")]
    pub priority: u8,
    /// Whether its requests may start from cached prompt work.
    #[serde(default = "default_true")]
    pub use_cache: bool,
}

impl Route {
    /// The priority of a route for which none is given.
    pub const DEFAULT_PRIORITY: u8 = 4;
    /// The highest priority.
    pub const MAX_PRIORITY: u8 = 9;
}

fn default_priority() -> u8 {
    Route::DEFAULT_PRIORITY
}

fn default_true() -> bool {
    true
}

/// A share of a route's requests that goes to another version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionShift {
    /// The version shifted to.
    pub to_version: WeightsVersion,
    /// Its share in per cent (0 to 100).
    pub percent: u8,
}

/// What operators want of an engine.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EngineIntent {
    /// It takes requests.
    #[default]
    Serve,
    /// It takes no new requests.
    Drain,
}

/// An operator's directive for one engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineDirective {
    /// The engine.
    pub id: EngineId,
    /// What is wanted of it.
    pub intent: EngineIntent,
}

/// What operators want of a model's replicas.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ModelRollout {
    /// The model.
    pub model: ModelName,
    /// The version that its replicas should load.
    pub weights_version: WeightsVersion,
    /// Replicas that load at once at the most.
    pub max_parallel_loads: u32,
    /// Replicas that must serve at all times.
    pub min_serving: u32,
}

/// One holder of a [`ClaimGroup`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroupMember {
    /// The holder's name.
    pub daemon: DaemonId,
    /// The life in which it was appointed. A later life has lost its claims, and holds again only
    /// once a majority of the group confirms that the epoch is still open.
    pub incarnation: Incarnation,
}

/// The daemons that hold at-most-once claims. Replaced only through a sealed hand-over.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimGroup {
    /// Rises with every replacement of the group.
    pub epoch: u64,
    /// The holders; a majority of them must grant a claim.
    pub holders: Vec<ClaimGroupMember>,
    /// The fencing token under which the group was written.
    pub fencing_token: FencingToken,
}

/// A configuration object, by kind.
#[derive(Debug, Clone, PartialEq)]
pub enum ConfigObject {
    /// See [`Tenant`].
    Tenant(Tenant),
    /// See [`Route`].
    Route(Route),
    /// See [`EngineDirective`].
    Engine(EngineDirective),
    /// See [`ModelRollout`].
    Model(ModelRollout),
    /// See [`ClaimGroup`].
    ClaimGroup(ClaimGroup),
}

impl ConfigObject {
    /// Reads the object of `kind` from its JSON; nothing for kinds that are not replicated.
    pub fn parse(kind: ObjectKind, json: &str) -> Result<Option<Self>, serde_json::Error> {
        Ok(Some(match kind {
            ObjectKind::Tenants => Self::Tenant(serde_json::from_str(json)?),
            ObjectKind::Routes => Self::Route(serde_json::from_str(json)?),
            ObjectKind::Engines => Self::Engine(serde_json::from_str(json)?),
            ObjectKind::Models => Self::Model(serde_json::from_str(json)?),
            ObjectKind::Claims => Self::ClaimGroup(serde_json::from_str(json)?),
            ObjectKind::Leases => return Ok(None),
        }))
    }
}

/// An immutable snapshot of the configuration with the look-ups of the request path.
#[derive(Debug, Clone, Default)]
pub struct ConfigView {
    /// Up to which revision this view holds every accepted change.
    pub complete_to: Revision,
    /// Tenants by the hash of their bearer key.
    pub tenants_by_key: HashMap<KeyHash, Arc<Tenant>>,
    /// Routes by tenant, then model.
    pub routes: HashMap<TenantId, HashMap<ModelName, Arc<Route>>>,
    /// Operators' directives by engine.
    pub engines: HashMap<EngineId, EngineDirective>,
    /// Wanted versions by model.
    pub models: HashMap<ModelName, ModelRollout>,
    /// The holders of claims, once there are any.
    pub claim_group: Option<Arc<ClaimGroup>>,
    /// Each object's revision, by key, for operators and the history recorder.
    pub revisions: HashMap<String, Revision>,
}

impl ConfigView {
    /// Builds the view of `records`; returns the keys of records that do not parse beside it, so
    /// that one bad object takes no other down.
    pub fn build<'a>(
        complete_to: Revision,
        records: impl IntoIterator<Item = &'a ObjectRecord>,
    ) -> (Self, Vec<String>) {
        let mut view = Self {
            complete_to,
            ..Self::default()
        };
        let mut rejected = Vec::new();
        for record in records {
            if !view.insert(record) {
                rejected.push(record.key.clone());
            }
        }
        (view, rejected)
    }

    /// Adds one record; false where it does not parse.
    fn insert(&mut self, record: &ObjectRecord) -> bool {
        self.revisions.insert(record.key.clone(), record.revision);
        let Some(json) = &record.value else {
            return true;
        };
        let Ok(key) = record.key.parse::<ObjectKey>() else {
            return false;
        };
        let Ok(object) = ConfigObject::parse(key.kind, json) else {
            return false;
        };
        if let Some(object) = object {
            self.insert_object(object);
        }
        true
    }

    fn insert_object(&mut self, object: ConfigObject) {
        match object {
            ConfigObject::Tenant(tenant) => {
                self.tenants_by_key
                    .insert(tenant.key_hash.clone(), Arc::new(tenant));
            }
            ConfigObject::Route(route) => {
                let by_model = self.routes.entry(route.tenant.clone()).or_default();
                by_model.insert(route.model.clone(), Arc::new(route));
            }
            ConfigObject::Engine(directive) => {
                self.engines.insert(directive.id.clone(), directive);
            }
            ConfigObject::Model(rollout) => {
                self.models.insert(rollout.model.clone(), rollout);
            }
            ConfigObject::ClaimGroup(group) => self.claim_group = Some(Arc::new(group)),
        }
    }
}
