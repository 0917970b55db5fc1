//! A daemon on loopback with one tenant and one route.

use std::net::SocketAddr;
use std::sync::Arc;

use driftspring::{Daemon, RunningDaemon};
use driftspring_settings::{BootstrapEngine, Settings};
use driftspring_types::{EngineDirective, EngineIntent, KeyHash, Route, Tenant, WeightsVersion};

use super::caller::Caller;
use super::wait_until;

/// The bearer key of the tenant.
pub const KEY: &str = "key-of-depots";
/// The model of the route.
pub const MODEL: &str = "verdicts";
/// The weights of the route.
pub const WEIGHTS: WeightsVersion = WeightsVersion(1);

/// A running daemon.
pub struct TestDaemon {
    pub running: RunningDaemon,
}

impl TestDaemon {
    /// A daemon that knows `engines`, with settings changed by `change`.
    pub fn start(engines: &[SocketAddr], change: impl FnOnce(&mut Settings)) -> Self {
        let mut settings = Settings::loopback("daemon-1".into(), "zone-1".into());
        settings.bootstrap.tenants = vec![tenant()];
        settings.bootstrap.routes = vec![route()];
        settings.bootstrap.engines = engines
            .iter()
            .enumerate()
            .map(|(index, address)| bootstrap_engine(index, *address))
            .collect();
        change(&mut settings);
        let running = Daemon::start(settings).expect("the daemon starts");
        wait_until("a configuration is in force", || running.state.is_ready());
        Self { running }
    }

    /// Puts the operators' wish in force that `engine` takes no new requests.
    pub fn drain(&self, engine: &str) {
        let state = &self.running.state;
        let mut config = (*state.config.load_full()).clone();
        let directive = EngineDirective {
            id: engine.into(),
            intent: EngineIntent::Drain,
        };
        config.engines.insert(directive.id.clone(), directive);
        state.config.store(Arc::new(config));
    }

    /// A caller of this daemon.
    pub fn caller(&self) -> Caller {
        Caller::new(self.running.addresses().callers)
    }
}

/// The tenant.
pub fn tenant() -> Tenant {
    Tenant {
        id: "depots".into(),
        key_hash: KeyHash::of_bearer_key(KEY),
        requests_per_second: 0,
        max_concurrent: 0,
        weight: 1,
    }
}

/// The route.
pub fn route() -> Route {
    Route {
        name: "depot-verdicts".to_owned(),
        tenant: "depots".into(),
        model: MODEL.into(),
        weights_version: WEIGHTS,
        shift: None,
        legacy: None,
        priority: 4,
        use_cache: true,
    }
}

fn bootstrap_engine(index: usize, address: SocketAddr) -> BootstrapEngine {
    BootstrapEngine {
        id: format!("engine-{index}").as_str().into(),
        address,
        zone: "zone-1".into(),
        model: MODEL.into(),
    }
}
