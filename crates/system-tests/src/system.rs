//! A whole system under test.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use anyhow::Context;
use driftspring_history::{
    Event, OrderLogEntry, Recorder, RunLogEntry, merge_histories, read_history,
};
use driftspring_standin::{kv_store, machine_list, object_store};
use driftspring_types::{DaemonId, EngineId};
use futures_util::future::try_join_all;
use serde_json::{Value, json};

use crate::caller::{Call, CallResult, Caller};
use crate::control::HttpControl;
use crate::daemon::{DaemonHost, DaemonOptions};
use crate::engine::{EngineHost, EngineOptions};
use crate::finished::FinishedRun;
use crate::process::Programs;
use crate::settings_file::{
    BootstrapSection, EngineSection, LogSection, PlatformSection, SettingsFile, route, tenant,
};
use crate::standin::Standin;
use crate::temporary::TemporaryDirectory;
use crate::{MODEL, TENANTS};

/// Where the parts of a system run.
#[derive(Debug, Clone)]
pub enum Host {
    /// As threads of the test.
    Threads,
    /// As separate processes.
    Processes(Programs),
}

/// What an engine writes down.
pub(crate) struct EngineLogs {
    runs: Vec<RunLogEntry>,
    orders: Vec<OrderLogEntry>,
}

/// A system of stand-ins and daemons with its recording.
pub struct System {
    /// Records what the test does.
    pub recorder: Recorder,
    /// For calls to stand-ins and to the daemons' operator interface.
    pub control: HttpControl,
    host: Host,
    directory: TemporaryDirectory,
    object_store: Option<Standin>,
    pub(crate) machine_list: Option<Standin>,
    kv_store: Option<Standin>,
    pub(crate) engines: BTreeMap<EngineId, EngineHost>,
    pub(crate) leaving_machines: Vec<EngineId>,
    pub(crate) daemons: BTreeMap<DaemonId, DaemonHost>,
}

impl System {
    /// A system of nothing yet; must be made on an ntex thread.
    ///
    /// # Errors
    ///
    /// The recorder, the client or the directory can't be made.
    pub async fn new(host: Host) -> anyhow::Result<Self> {
        Ok(Self {
            recorder: Recorder::in_memory()?,
            control: HttpControl::new().await?,
            host,
            directory: TemporaryDirectory::create()?,
            object_store: None,
            machine_list: None,
            kv_store: None,
            engines: BTreeMap::new(),
            leaving_machines: Vec::new(),
            daemons: BTreeMap::new(),
        })
    }

    /// Starts an object store that holds every tenant of [`TENANTS`] and its route.
    ///
    /// # Errors
    ///
    /// The stand-in does not start, or refuses an object.
    pub async fn start_object_store(&mut self) -> anyhow::Result<()> {
        let store = match &self.host {
            Host::Threads => {
                let store = object_store::start(free_port())?;
                Standin::in_threads(store.server.address, store)
            }
            Host::Processes(programs) => {
                Standin::in_process(programs, &["object-store".into()]).await?
            }
        };
        for id in TENANTS {
            let route = route(id);
            let path = format!("/objects/tenants/{id}?expect=0");
            let value = serde_json::to_value(tenant(id))?;
            self.control.put(store.address, &path, &value).await?;
            let path = format!("/objects/routes/{}?expect=0", route.name);
            let value = serde_json::to_value(route)?;
            self.control.put(store.address, &path, &value).await?;
        }
        self.object_store = Some(store);
        Ok(())
    }

    /// Starts a machine list that names the engines started so far.
    ///
    /// # Errors
    ///
    /// The stand-in does not start.
    pub async fn start_machine_list(&mut self) -> anyhow::Result<()> {
        let list = match &self.host {
            Host::Threads => {
                let list = machine_list::start(free_port(), Vec::new())?;
                Standin::in_threads(list.server.address, list)
            }
            Host::Processes(programs) => {
                Standin::in_process(programs, &["machine-list".into()]).await?
            }
        };
        self.machine_list = Some(list);
        self.publish_machines().await
    }

    /// Starts a store of kept KV cache.
    ///
    /// # Errors
    ///
    /// The stand-in does not start.
    pub async fn start_kv_store(&mut self) -> anyhow::Result<()> {
        let store = match &self.host {
            Host::Threads => {
                let store = kv_store::start(free_port())?;
                Standin::in_threads(store.address, store)
            }
            Host::Processes(programs) => {
                Standin::in_process(programs, &["kv-store".into()]).await?
            }
        };
        self.kv_store = Some(store);
        Ok(())
    }

    /// Starts an engine and puts it on the machine list.
    ///
    /// # Errors
    ///
    /// The stand-in does not start.
    pub async fn start_engine(&mut self, options: EngineOptions) -> anyhow::Result<()> {
        let id = options.id.clone();
        let engine = EngineHost::start(&self.host, options).await?;
        self.engines.insert(id.clone(), engine);
        self.record_engine_start(&id).await?;
        self.publish_machines().await
    }

    /// Starts a daemon.
    ///
    /// # Errors
    ///
    /// It does not start.
    pub async fn start_daemon(&mut self, options: DaemonOptions) -> anyhow::Result<()> {
        let id = options.id.clone();
        let daemon = DaemonHost::new(options);
        self.daemons.insert(id.clone(), daemon);
        self.begin_life(&id).await
    }

    /// Starts a daemon again that was killed or stopped, under the same addresses.
    ///
    /// # Errors
    ///
    /// It runs, or does not start.
    pub async fn restart_daemon(&mut self, id: &str) -> anyhow::Result<()> {
        self.begin_life(&id.into()).await
    }

    async fn begin_life(&mut self, id: &DaemonId) -> anyhow::Result<()> {
        let seeds = self
            .daemons
            .iter()
            .filter(|(other, _)| *other != id)
            .filter_map(|(_, daemon)| daemon.peers())
            .collect();
        let bootstrap = BootstrapSection::with_engines(self.engine_sections());
        let platform = PlatformSection {
            object_store: self.object_store.as_ref().map(|store| store.address),
            machine_list: self.machine_list.as_ref().map(|list| list.address),
            kv_store: self.kv_store.as_ref().map(|store| store.address),
        };
        let directory = self.directory.path();
        let daemon = self.daemons.get_mut(id).context("no such daemon")?;
        let file = SettingsFile {
            id: id.to_string(),
            zone: daemon.options.zone.to_string(),
            seeds,
            history_file: daemon.next_history_file(directory),
            log: LogSection { level: "error" },
            listen: daemon.listen()?,
            platform,
            bootstrap: if daemon.options.bootstrap {
                bootstrap
            } else {
                BootstrapSection::default()
            },
        };
        daemon.start(&self.host, &file, directory).await
    }

    fn engine_sections(&self) -> Vec<EngineSection> {
        self.engines
            .values()
            .map(|engine| EngineSection {
                id: engine.options.id.to_string(),
                address: engine.address(),
                zone: engine.options.zone.to_string(),
                model: MODEL.to_owned(),
            })
            .collect()
    }

    /// The daemon `id`.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn daemon(&self, id: &str) -> anyhow::Result<&DaemonHost> {
        self.daemons
            .get(&DaemonId::from(id))
            .with_context(|| format!("no daemon {id}"))
    }

    /// The engine `id`.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn engine(&self, id: &str) -> anyhow::Result<&EngineHost> {
        self.engines
            .get(&EngineId::from(id))
            .with_context(|| format!("no engine {id}"))
    }

    /// The store of kept KV cache.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn kv_store(&self) -> anyhow::Result<&Standin> {
        self.kv_store.as_ref().context("no KV store")
    }

    /// The object store.
    ///
    /// # Errors
    ///
    /// There is none.
    pub fn object_store(&self) -> anyhow::Result<&Standin> {
        self.object_store.as_ref().context("no object store")
    }

    /// A caller that records in this system's recording.
    ///
    /// # Errors
    ///
    /// The client can't be built.
    pub async fn caller(&self, name: &str) -> anyhow::Result<Caller> {
        Caller::new(name, self.recorder.clone()).await
    }

    /// Sends `call` to the daemon `id`.
    ///
    /// # Errors
    ///
    /// There is no such daemon.
    pub async fn call(&self, caller: &Caller, id: &str, call: &Call) -> anyhow::Result<CallResult> {
        let address = self.daemon(id)?.callers().context("never started")?;
        Ok(caller.call(&id.into(), address, call).await)
    }

    /// Tells the machine list which machines there are, and which of them are leaving.
    ///
    /// # Errors
    ///
    /// The list does not answer.
    pub async fn publish_machines(&self) -> anyhow::Result<()> {
        let Some(list) = &self.machine_list else {
            return Ok(());
        };
        let machines: Vec<Value> = self
            .engines
            .values()
            .map(|engine| {
                let leaving = self.leaving_machines.contains(&engine.options.id);
                json!({
                    "id": engine.options.id,
                    "kind": "engine",
                    "address": engine.address().to_string(),
                    "zone": engine.options.zone,
                    "state": if leaving { "leaving" } else { "live" },
                })
            })
            .collect();
        let body = json!({"machines": machines});
        let path = "/standin/machines";
        self.control.put(list.address, path, &body).await?;
        Ok(())
    }

    pub(crate) async fn record_engine_start(&self, id: &EngineId) -> anyhow::Result<()> {
        let engine = self.engine(id.as_str())?;
        let incarnation = engine.incarnation(&self.control).await?;
        self.recorder.record(Event::EngineStarted {
            engine: id.clone(),
            incarnation,
        });
        Ok(())
    }

    /// Reads the run log and the order log of the engine at `address`.
    pub(crate) async fn read_logs(&self, address: SocketAddr) -> anyhow::Result<EngineLogs> {
        let control = &self.control;
        Ok(EngineLogs {
            runs: control.get_lines(address, "/standin/run-log").await?,
            orders: control.get_lines(address, "/standin/order-log").await?,
        })
    }

    /// Records each run at the time when it began, and the orders in their order.
    pub(crate) fn record_logs(&self, id: &EngineId, logs: EngineLogs) {
        for run in logs.runs {
            let began_at_us = run.started_ms * 1000;
            let engine = id.clone();
            self.recorder
                .record_at(began_at_us, Event::EngineRun { engine, run });
        }
        for order in logs.orders {
            let engine = id.clone();
            self.recorder.record(Event::EngineOrder { engine, order });
        }
    }

    /// Stops every running daemon as planned, all at once.
    async fn stop_all_daemons(&mut self) -> anyhow::Result<()> {
        let recorder = &self.recorder;
        let running = self
            .daemons
            .iter_mut()
            .filter(|(_, host)| host.is_running());
        let stops = running.map(|(id, host)| async move {
            recorder.record(Event::DaemonStopping { daemon: id.clone() });
            host.stop().await?;
            recorder.record(Event::DaemonStopped { daemon: id.clone() });
            anyhow::Ok(())
        });
        try_join_all(stops).await?;
        Ok(())
    }

    /// Ends the run: reads the engines' logs, stops the daemons as planned, and puts all recordings
    /// together. Faults of engines must have been healed before.
    ///
    /// # Errors
    ///
    /// An engine does not answer, or a recording can't be read.
    pub async fn finish(mut self) -> anyhow::Result<FinishedRun> {
        for (id, engine) in &self.engines {
            let logs = self.read_logs(engine.address()).await?;
            self.record_logs(id, logs);
        }
        self.stop_all_daemons().await?;
        let mut histories = vec![self.recorder.history()];
        for file in self.daemons.values().flat_map(|d| &d.history_files) {
            histories.push(read_history(file)?);
        }
        Ok(FinishedRun::new(merge_histories(histories), self.directory))
    }
}

fn free_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}
