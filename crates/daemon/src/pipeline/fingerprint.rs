//! Filter: hashes the prompt's nested prefix within the scope of its cached work.

use driftspring_prefix::{CacheScope, Fingerprint};
use driftspring_types::{Route, Tenant, TenantId, WeightsVersion};

use super::share::{Share, share_of};
use crate::state::DaemonState;

/// The scope of the cached work that a request may use, and its prompt's place in it.
#[derive(Debug)]
pub struct ScopedPrompt {
    /// The weights that serve the request.
    pub weights_version: WeightsVersion,
    /// The salt of the scope, as engines are told.
    pub salt: String,
    /// The hashes of the prompt.
    pub fingerprint: Fingerprint,
}

/// Chooses the weights version, and hashes `prompt` in its scope.
pub fn scope(daemon: &DaemonState, tenant: &Tenant, route: &Route, prompt: &[u8]) -> ScopedPrompt {
    let weights_version = version_of(route, prompt);
    let tenant = if daemon.settings.mechanisms.tenant_scope {
        tenant.id.clone()
    } else {
        TenantId::from("all")
    };
    let scope = CacheScope {
        tenant,
        model: route.model.clone(),
        weights_version,
    };
    let salt = scope.salt();
    ScopedPrompt {
        weights_version,
        fingerprint: Fingerprint::of_prompt(&salt, prompt),
        salt,
    }
}

/// The version that serves `prompt`, while the route may be shifted to another one.
fn version_of(route: &Route, prompt: &[u8]) -> WeightsVersion {
    match route.shift {
        Some(shift) if share_of(Share::Version, &route.name, prompt) < shift.percent => {
            shift.to_version
        }
        _ => route.weights_version,
    }
}
