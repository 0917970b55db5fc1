//! What a configuration allows a request: its route, its service, and the tenant in whose name it runs.
//!
//! All parts of a decision come from one configuration. Their types are made from a single configuration and can't be put
//! together from parts, so a request that waits while a newer one comes into force is either decided anew as a whole or keeps
//! its decision as a whole.

mod decision;

use std::sync::Arc;

use crate::configuration::{Configuration, Route, Tenant};

pub use decision::{Currentness, Decision, Missing, ProofAges, Verdict};

/// The parts of a request that decide what it is allowed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestTarget<'a> {
    /// The host that it names, without the port, in lower case.
    pub host: &'a str,
    /// Its path, without the query.
    pub path: &'a str,
    /// Its API key.
    pub key: Option<&'a str>,
}

/// The decision that a configuration allows a request.
#[derive(Debug, Clone)]
pub struct Authorization {
    configuration: Arc<Configuration>,
    route: Arc<Route>,
    tenant: Option<Arc<Tenant>>,
}

/// The decision that a configuration does not allow a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Denial {
    /// No route matches.
    NoRoute,
    /// The route needs a key, and no tenant holds the request's.
    UnknownKey(Arc<Route>),
}

/// Decides whether `configuration` allows a request.
///
/// # Errors
///
/// Why it does not.
pub fn authorize(
    configuration: &Arc<Configuration>,
    target: &RequestTarget,
) -> Result<Authorization, Denial> {
    let route = configuration.route(target.host, target.path);
    let route = Arc::clone(route.ok_or(Denial::NoRoute)?);
    let needs_key = configuration.needs_keys() && !route.is_public;
    let tenant = match needs_key {
        false => None,
        true => match target.key.and_then(|key| configuration.tenant(key)) {
            Some(tenant) => Some(Arc::clone(tenant)),
            None => return Err(Denial::UnknownKey(route)),
        },
    };
    Ok(Authorization {
        configuration: Arc::clone(configuration),
        route,
        tenant,
    })
}

impl Authorization {
    /// The configuration that allows the request.
    pub fn configuration(&self) -> &Arc<Configuration> {
        &self.configuration
    }

    /// The request's route.
    pub fn route(&self) -> &Arc<Route> {
        &self.route
    }

    /// The tenant that holds the request's key; `None` if it needs none.
    pub fn tenant(&self) -> Option<&Arc<Tenant>> {
        self.tenant.as_ref()
    }

    /// The name of the tenant; empty without one.
    pub fn tenant_name(&self) -> &str {
        self.tenant.as_ref().map_or("", |tenant| &tenant.name)
    }

    /// The request at one of the services of its route; `None` if the route does not lead to `service`, or gives it no weight.
    pub fn to_service(&self, service: &str) -> Option<Destination> {
        let weighted = self.route.backends.iter();
        let mut weighted = weighted.filter(|backend| backend.weight > 0);
        let backend = weighted.find(|backend| backend.service == service)?;
        Some(Destination {
            authorization: self.clone(),
            service: backend.service.clone(),
        })
    }
}

/// A service that a request may be sent to.
#[derive(Debug, Clone)]
pub struct Destination {
    authorization: Authorization,
    service: String,
}

impl Destination {
    /// The decision that allows the request there.
    pub fn authorization(&self) -> &Authorization {
        &self.authorization
    }

    /// The name of the service.
    pub fn service(&self) -> &str {
        &self.service
    }
}
