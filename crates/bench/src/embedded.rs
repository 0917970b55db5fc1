//! A whole system on loopback within this process: daemons, engines and the platform's stand-ins.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, Instant};

use anyhow::{Context, ensure};
use driftspring::{Daemon, RunningDaemon};
use driftspring_engine_model::EngineOptions;
use driftspring_settings::{BootstrapEngine, Settings};
use driftspring_standin::engine::{self, EngineStandinOptions, EngineState, RunningEngine};
use driftspring_standin::machine_list::{
    self, Machine, MachineKind, MachineState, RunningMachineList,
};
use driftspring_standin::object_store::{self, RunningObjectStore};
use driftspring_standin::weight_store::{self, WeightStoreOptions};
use driftspring_standin::{Running, kv_store};
use driftspring_types::{
    DaemonId, EngineId, KeyHash, ModelName, Route, Tenant, TenantId, WeightsVersion, ZoneName,
};
use serde_json::json;

use crate::caller::bearer_key;
use crate::workload::Workload;

const FREE_PORT: SocketAddr = SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
const WEIGHTS_VERSION: WeightsVersion = WeightsVersion(1);
const LOAD_TIME: Duration = Duration::from_millis(600);
const RATED_LOADS: u32 = 2;

/// How long the daemons may take to serve.
const READY_DEADLINE: Duration = Duration::from_secs(20);
const READY_POLL: Duration = Duration::from_millis(10);

/// What an embedded system is made of.
#[derive(Debug, Clone)]
pub struct EmbeddedOptions {
    /// Zones, services and tenants.
    pub workload: Workload,
    /// Daemons in each zone.
    pub daemons_per_zone: usize,
    /// Worker threads of each daemon.
    pub daemon_workers: usize,
    /// Limits and speeds of every engine.
    pub engine: EngineOptions,
    /// Where the daemons record their histories: the daemon's name is added to the file's.
    pub history: Option<PathBuf>,
}

/// A daemon of the system.
pub struct EmbeddedDaemon {
    /// Its name.
    pub id: DaemonId,
    /// The index of its zone.
    pub zone: usize,
    /// Its history, if it records one.
    pub history: Option<PathBuf>,
    /// The daemon.
    pub running: RunningDaemon,
}

/// An engine of the system.
pub struct EmbeddedEngine {
    /// Its name.
    pub id: EngineId,
    /// Its books; they outlive its server.
    pub state: Arc<EngineState>,
    server: Option<Running>,
}

/// A system that runs until it is dropped.
pub struct EmbeddedSystem {
    /// The daemons.
    pub daemons: Vec<EmbeddedDaemon>,
    /// The engines.
    pub engines: Vec<EmbeddedEngine>,
    /// The object store.
    pub object_store: RunningObjectStore,
    /// The machine list.
    pub machine_list: RunningMachineList,
    /// The KV store.
    pub kv_store: Running,
    /// The weight store.
    pub weight_store: Running,
}

impl EmbeddedSystem {
    /// Starts everything and waits until every daemon serves.
    ///
    /// # Errors
    /// A part does not start, or a daemon does not serve in time.
    pub fn start(options: &EmbeddedOptions) -> anyhow::Result<Self> {
        let object_store = object_store::start(FREE_PORT)?;
        write_configuration(&object_store, &options.workload)?;
        let kv_store = kv_store::start(FREE_PORT)?;
        let weight_store = weight_store::start(WeightStoreOptions {
            address: FREE_PORT,
            load_time: LOAD_TIME,
            rated_loads: RATED_LOADS,
        })?;
        let engines = start_engines(options, weight_store.address)?;
        let machines = engines.iter().map(engine_machine).collect();
        let machine_list = machine_list::start(FREE_PORT, machines)?;
        let mut system = Self {
            daemons: Vec::new(),
            engines: engines.into_iter().map(embedded_engine).collect(),
            object_store,
            machine_list,
            kv_store,
            weight_store,
        };
        system.start_daemons(options)?;
        system.wait_until_ready()?;
        Ok(system)
    }

    /// The callers' addresses of the daemons in the zone of index `zone`.
    pub fn daemons_in(&self, zone: usize) -> Vec<SocketAddr> {
        self.daemons
            .iter()
            .filter(|daemon| daemon.zone == zone)
            .map(|daemon| daemon.running.addresses().callers)
            .collect()
    }

    /// Ends the engine `id` abruptly, as `kill -9` does; false where it does not run.
    pub fn kill_engine(&mut self, id: &str) -> bool {
        let mut engines = self.engines.iter_mut();
        let engine = engines.find(|engine| engine.id.as_str() == id);
        match engine.and_then(|engine| engine.server.take()) {
            Some(server) => {
                server.kill();
                true
            }
            None => false,
        }
    }

    fn start_daemons(&mut self, options: &EmbeddedOptions) -> anyhow::Result<()> {
        let mut seeds = Vec::new();
        for zone in 0..options.workload.zones {
            for number in 0..options.daemons_per_zone {
                let id = format!("daemon-{}-{}", zone + 1, number + 1);
                let mut settings = self.daemon_settings(&id, zone, options);
                settings.seeds.clone_from(&seeds);
                let history = settings.history_file.clone();
                let running = Daemon::start(settings).with_context(|| format!("start {id}"))?;
                seeds.push(running.addresses().peers);
                self.daemons.push(EmbeddedDaemon {
                    id: DaemonId::new(id),
                    zone,
                    history,
                    running,
                });
            }
        }
        Ok(())
    }

    fn daemon_settings(&self, id: &str, zone: usize, options: &EmbeddedOptions) -> Settings {
        let mut settings = Settings::loopback(DaemonId::new(id), zone_name(zone));
        settings.workers = options.daemon_workers;
        settings.platform.object_store = Some(self.object_store.server.address);
        settings.platform.machine_list = Some(self.machine_list.server.address);
        settings.platform.kv_store = Some(self.kv_store.address);
        settings.bootstrap.engines = self.engines.iter().filter_map(bootstrap_engine).collect();
        settings.history_file = options.history.as_ref().map(|path| {
            let mut name = path.as_os_str().to_owned();
            name.push(format!(".{id}"));
            PathBuf::from(name)
        });
        settings
    }

    fn wait_until_ready(&self) -> anyhow::Result<()> {
        let deadline = Instant::now() + READY_DEADLINE;
        let routes = |daemon: &EmbeddedDaemon| daemon.running.state.config.load().routes.len();
        let is_ready = |daemon: &EmbeddedDaemon| routes(daemon) > 0;
        while !self.daemons.iter().all(is_ready) {
            ensure!(Instant::now() < deadline, "a daemon has no routes yet");
            std::thread::sleep(READY_POLL);
        }
        Ok(())
    }
}

/// The name of the zone of index `zone`.
pub fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(format!("zone-{}", zone + 1))
}

fn embedded_engine(engine: RunningEngine) -> EmbeddedEngine {
    EmbeddedEngine {
        id: engine.state.options().id.clone(),
        state: engine.state,
        server: Some(engine.server),
    }
}

fn bootstrap_engine(engine: &EmbeddedEngine) -> Option<BootstrapEngine> {
    let options = engine.state.options();
    Some(BootstrapEngine {
        id: options.id.clone(),
        address: engine.server.as_ref()?.address,
        zone: options.zone.clone(),
        model: options.model.clone(),
    })
}

fn start_engines(
    options: &EmbeddedOptions,
    weight_store: SocketAddr,
) -> anyhow::Result<Vec<RunningEngine>> {
    let workload = &options.workload;
    let mut engines = Vec::new();
    for service in &workload.services {
        for number in 0..service.replicas {
            let id = format!("{}-{}", service.model, number + 1);
            let zone = zone_name(number % workload.zones);
            let mut standin = EngineStandinOptions::loopback(&id, zone.as_str(), service.model);
            standin.weights_version = WEIGHTS_VERSION;
            standin.weight_store = Some(weight_store);
            standin.engine = options.engine;
            engines.push(engine::start(standin)?);
        }
    }
    Ok(engines)
}

fn engine_machine(engine: &RunningEngine) -> Machine {
    let options = engine.state.options();
    Machine {
        id: options.id.to_string(),
        kind: MachineKind::Engine,
        address: engine.server.address.to_string(),
        zone: options.zone.to_string(),
        state: MachineState::Live,
    }
}

/// The name of the tenant of index `index`, as in traces.
pub fn tenant_name(index: usize) -> TenantId {
    TenantId::new(format!("tenant-{index}"))
}

/// Writes every tenant and its routes to the store.
fn write_configuration(store: &RunningObjectStore, workload: &Workload) -> anyhow::Result<()> {
    for index in 0..workload.tenant_shares.len() {
        let id = tenant_name(index);
        let tenant = Tenant {
            key_hash: KeyHash::of_bearer_key(&bearer_key(&id)),
            id: id.clone(),
            requests_per_second: 0,
            max_concurrent: 0,
            weight: 1,
        };
        put(store, &format!("tenants/{id}"), &tenant)?;
        for service in &workload.services {
            let name = format!("{id}-{}", service.model);
            let route = Route {
                name: name.clone(),
                tenant: id.clone(),
                model: ModelName::new(service.model),
                weights_version: WEIGHTS_VERSION,
                shift: None,
                legacy: None,
                priority: 4,
                use_cache: true,
            };
            put(store, &format!("routes/{name}"), &route)?;
        }
    }
    Ok(())
}

fn put<T: serde::Serialize>(
    store: &RunningObjectStore,
    key: &str,
    value: &T,
) -> anyhow::Result<()> {
    let mut value = serde_json::to_value(value)?;
    value["write_id"] = json!(uuid::Uuid::new_v4());
    store.store.set(key, value);
    Ok(())
}
