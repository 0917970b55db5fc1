//! The faults and planned stops that a test brings about in its system, each of them recorded.

use std::time::Duration;

use anyhow::Context;
use driftspring_history::{Event, Fault, FaultTarget};
use driftspring_types::{DaemonId, EngineDirective, EngineId, EngineIntent, WeightsVersion};
use serde_json::{Value, json};

use crate::MODEL;
use crate::system::System;
use crate::wait::wait_until;

/// Above any token that the daemons of a test reach.
const TEST_FENCING_TOKEN: u64 = 1_000_000;

/// How long an engine's planned stop may take.
const LEAVE_PATIENCE: Duration = Duration::from_secs(30);

impl System {
    /// Names the engine's machine as leaving in the machine list; the engine itself goes on.
    ///
    /// # Errors
    ///
    /// The list does not answer.
    pub async fn announce_leaving(&mut self, id: &str) -> anyhow::Result<()> {
        let engine = EngineId::from(id);
        self.leaving_machines.push(engine.clone());
        self.publish_machines().await?;
        self.recorder.record(Event::EngineLeaving { engine });
        Ok(())
    }

    /// Writes an operator's directive to drain the engine into the object store.
    ///
    /// # Errors
    ///
    /// The store does not answer, or has a directive for the engine already.
    pub async fn drain_engine(&self, id: &str) -> anyhow::Result<()> {
        let path = format!("/objects/engines/{id}?expect=0");
        let directive = EngineDirective {
            id: id.into(),
            intent: EngineIntent::Drain,
        };
        let body = serde_json::to_value(directive)?;
        let store = self.object_store()?;
        self.control.put(store.address, &path, &body).await?;
        self.recorder
            .record(Event::EngineLeaving { engine: id.into() });
        Ok(())
    }

    /// Orders the engine to load other weights, under a fencing token of the test's own.
    ///
    /// # Errors
    ///
    /// The engine does not answer, or refuses.
    pub async fn load_weights(&self, id: &str, version: WeightsVersion) -> anyhow::Result<()> {
        let body = json!({
            "fencing_token": TEST_FENCING_TOKEN,
            "order_id": format!("load-{version}-at-{id}"),
            "order": {"kind": "load_weights", "model": MODEL, "weights_version": version},
        });
        let address = self.engine(id)?.address();
        self.control.post(address, "/orders", &body).await?;
        Ok(())
    }

    /// Asks the engine for a planned stop: it finishes what is open, refuses the rest and exits.
    /// Returns when it is gone.
    ///
    /// # Errors
    ///
    /// There is no such engine, or it does not go.
    pub async fn leave(&mut self, id: &str) -> anyhow::Result<()> {
        let id = EngineId::from(id);
        let engine = self.engines.remove(&id).context("no such engine")?;
        let leaving = Event::EngineLeaving { engine: id.clone() };
        self.recorder.record(leaving);
        let address = engine.address();
        // The log can't be read any more once the engine is gone, so the last reading counts.
        let mut logs = self.read_logs(address).await?;
        // An idle engine may exit before its answer is out; its exit is awaited below.
        let _ = self.control.post(address, "/leave", &json!({})).await;
        wait_until("the engine's exit", LEAVE_PATIENCE, async || {
            match self.read_logs(address).await {
                Ok(newer) => logs = newer,
                Err(_) => return true,
            }
            false
        })
        .await?;
        self.record_logs(&id, logs);
        Ok(())
    }

    /// Crashes the engine: it comes back at once, empty, under the same address.
    ///
    /// # Errors
    ///
    /// The engine does not answer.
    pub async fn crash_engine(&self, id: &str) -> anyhow::Result<()> {
        let target = FaultTarget::Engine(id.into());
        self.inject(target, Fault::Crash);
        self.engine(id)?.crash(&self.control).await?;
        self.record_engine_start(&id.into()).await
    }

    /// Kills the engine for good. Its logs are read just before.
    ///
    /// # Errors
    ///
    /// There is no such engine, or it does not answer.
    pub async fn kill_engine(&mut self, id: &str) -> anyhow::Result<()> {
        let id = EngineId::from(id);
        let engine = self.engines.remove(&id).context("no such engine")?;
        let logs = self.read_logs(engine.address()).await?;
        self.record_logs(&id, logs);
        let target = FaultTarget::Engine(id);
        self.inject(target, Fault::Kill);
        engine.standin.kill();
        Ok(())
    }

    /// Turns fault switches of the engine.
    ///
    /// # Errors
    ///
    /// The engine does not answer.
    pub async fn set_engine_faults(&self, id: &str, switches: &Value) -> anyhow::Result<()> {
        let target = FaultTarget::Engine(id.into());
        self.inject(target, switches_fault(switches));
        let standin = &self.engine(id)?.standin;
        standin.set_faults(&self.control, switches).await
    }

    /// Turns fault switches of the object store.
    ///
    /// # Errors
    ///
    /// The store does not answer.
    pub async fn set_store_faults(&self, switches: &Value) -> anyhow::Result<()> {
        self.inject(FaultTarget::ObjectStore, switches_fault(switches));
        let store = self.object_store()?;
        store.set_faults(&self.control, switches).await
    }

    /// Turns fault switches of the machine list.
    ///
    /// # Errors
    ///
    /// The list does not answer.
    pub async fn set_machine_list_faults(&self, switches: &Value) -> anyhow::Result<()> {
        self.inject(FaultTarget::MachineList, switches_fault(switches));
        let list = self.machine_list.as_ref().context("no machine list")?;
        list.set_faults(&self.control, switches).await
    }

    /// Kills the daemon.
    ///
    /// # Errors
    ///
    /// There is no such daemon.
    pub fn kill_daemon(&mut self, id: &str) -> anyhow::Result<()> {
        let id = DaemonId::from(id);
        self.inject(FaultTarget::Daemon(id.clone()), Fault::Kill);
        let daemon = self.daemons.get_mut(&id).context("no such daemon")?;
        daemon.kill()?;
        self.recorder.record(Event::DaemonStopped { daemon: id });
        Ok(())
    }

    /// Freezes the daemon's process.
    ///
    /// # Errors
    ///
    /// The daemon does not run in a separate process.
    pub fn freeze_daemon(&self, id: &str) -> anyhow::Result<()> {
        self.inject(FaultTarget::Daemon(id.into()), Fault::Freeze);
        self.daemon(id)?.process()?.freeze()
    }

    /// Lets the daemon's process run again.
    ///
    /// # Errors
    ///
    /// The daemon does not run in a separate process.
    pub fn thaw_daemon(&self, id: &str) -> anyhow::Result<()> {
        self.daemon(id)?.process()?.thaw()?;
        self.recorder.record(Event::FaultHealed {
            target: FaultTarget::Daemon(id.into()),
            fault: Fault::Freeze,
        });
        Ok(())
    }

    /// Stops the daemon as planned and waits for its end; callers go on meanwhile.
    ///
    /// # Errors
    ///
    /// It does not end in time, or ends with a failure.
    pub async fn stop_daemon(&mut self, id: &str) -> anyhow::Result<()> {
        let id = DaemonId::from(id);
        let daemon = self.daemons.get_mut(&id).context("no such daemon")?;
        self.recorder
            .record(Event::DaemonStopping { daemon: id.clone() });
        daemon.stop().await?;
        self.recorder.record(Event::DaemonStopped { daemon: id });
        Ok(())
    }

    fn inject(&self, target: FaultTarget, fault: Fault) {
        self.recorder.record(Event::FaultInjected { target, fault });
    }
}

fn switches_fault(switches: &Value) -> Fault {
    Fault::Switches {
        body: switches.to_string(),
    }
}
