//! Metrics by tenant, for a bounded number of tenants.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The tenants of a service that gauges show: those that ask for the most.
pub const MAX_SHOWN: usize = 16;

/// The maximum number of tenants with counters; a counter stays once it is there. Further tenants share the tenant
/// [`OTHERS`].
pub const MAX_COUNTED: usize = 64;

/// Stands for tenants without a counter of their own.
pub const OTHERS: &str = "(others)";

/// A tenant of a service; the tenant is empty for requests of public routes.
#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TenantLabels {
    /// The service.
    pub service: String,
    /// The tenant.
    pub tenant: String,
}

/// Metrics of fair shares. The families by tenant are written by one task, never on the path of a request.
#[derive(Debug, Clone, Default)]
pub struct ShareMetrics {
    /// Requests refused since they were above their tenants' shares.
    pub over_share: Counter,
    /// The same by tenant.
    pub refused_above: Family<TenantLabels, Counter>,
    /// Requests refused for other reasons during an overload although their tenants were below their shares.
    pub refused_below: Family<TenantLabels, Counter>,
    /// Work per second that a tenant may run during an overload.
    pub share: Family<TenantLabels, Gauge>,
    /// Work per second that a tenant asks for at all gateways.
    pub demand: Family<TenantLabels, Gauge>,
    /// Work per second of a tenant that began from this gateway.
    pub run: Family<TenantLabels, Gauge>,
    /// Services of which shares are enforced.
    pub overloaded_services: Gauge,
}

impl ShareMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "requests_over_share",
            "Requests refused since they were above their tenants' shares of an overloaded service",
            self.over_share.clone(),
        );
        let counters = [
            (
                "tenant_refused_above_share",
                "Requests refused since they were above their tenant's share",
                &self.refused_above,
            ),
            (
                "tenant_refused_below_share",
                "Requests refused for other reasons during an overload, of tenants below their share",
                &self.refused_below,
            ),
        ];
        for (name, help, family) in counters {
            registry.register(name, help, family.clone());
        }
        let gauges = [
            (
                "tenant_share",
                "Work per second that a tenant above its share may run at all gateways during an overload",
                &self.share,
            ),
            (
                "tenant_demand",
                "Work per second that a tenant above its share asks for at all gateways during an overload",
                &self.demand,
            ),
            (
                "tenant_run",
                "Work per second of a tenant that this gateway sent and that began, of the largest tenants during an overload",
                &self.run,
            ),
        ];
        for (name, help, family) in gauges {
            registry.register(name, help, family.clone());
        }
        registry.register(
            "services_overloaded",
            "Services of which fair shares are enforced",
            self.overloaded_services.clone(),
        );
    }
}
