//! Tells engines to drain or to serve, and has replicas load the versions that operators want.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_control::intents::ToldIntents;
use driftspring_control::rollout::{Replica, is_complete, plan_rollout};
use driftspring_external::engine::EngineOrder;
use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use driftspring_types::{
    ConfigView, EngineHealth, EngineId, EngineIntent, EngineRecord, FencingToken, ModelName,
    ModelRollout, WeightsVersion,
};
use futures_util::stream::{self, StreamExt};
use ntex::time::sleep;

use super::lease_task::ControlLease;
use super::ordered_loads::OrderedLoads;
use super::orders::{OrderOutcome, Orders};
use crate::state::DaemonState;

/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Calls to engines that are open at once.
const PARALLEL_CALLS: usize = 32;

/// Works in rounds until the process ends; a round without the lease does nothing.
pub async fn run(state: Arc<DaemonState>, lease: ControlLease) -> anyhow::Result<()> {
    let orders = Orders::new(lease, state.settings.mechanisms.fencing).await?;
    let mut control = EngineControl {
        state,
        orders,
        told: ToldIntents::default(),
        loads: OrderedLoads::default(),
        last_token: None,
        completed: HashMap::new(),
    };
    while !control.state.is_terminated() {
        if let Some(token) = control.orders.token() {
            control.round(token).await;
        }
        sleep(ROUND_INTERVAL).await;
    }
    Ok(())
}

struct EngineControl {
    state: Arc<DaemonState>,
    orders: Orders,
    told: ToldIntents,
    loads: OrderedLoads,
    /// The token of the last round.
    last_token: Option<FencingToken>,
    /// The versions whose rollout was last reported as complete.
    completed: HashMap<ModelName, WeightsVersion>,
}

impl EngineControl {
    async fn round(&mut self, token: FencingToken) {
        if self.last_token != Some(token) {
            self.last_token = Some(token);
            self.loads.clear();
        }
        let config = self.state.config.load_full();
        let engines = self.known_engines();
        self.told
            .retain(|id| engines.iter().any(|engine| engine.id == *id));
        self.tell_intents(&config, &engines, token).await;
        for rollout in config.models.values() {
            self.roll_out(&config, &engines, rollout, token).await;
        }
    }

    fn known_engines(&self) -> Vec<EngineRecord> {
        let engines = self.state.engines.load();
        engines.iter().map(|entry| entry.record.clone()).collect()
    }

    /// Tells each engine its intent, where this holder has not yet told this life of it.
    async fn tell_intents(
        &mut self,
        config: &ConfigView,
        engines: &[EngineRecord],
        token: FencingToken,
    ) {
        let untold = engines.iter().filter(|engine| {
            let intent = intent_of(config, &engine.id);
            engine.health != EngineHealth::Unreachable
                && self
                    .told
                    .must_tell(&engine.id, engine.incarnation, intent, token)
        });
        let orders = &self.orders;
        let telling = untold.map(|engine| async move {
            let intent = intent_of(config, &engine.id);
            let outcome = orders
                .send(&engine.id, &engine.address, token, order_of(intent))
                .await;
            (engine, intent, outcome)
        });
        let told: Vec<_> = stream::iter(telling)
            .buffer_unordered(PARALLEL_CALLS)
            .collect()
            .await;
        for (engine, intent, outcome) in told {
            if outcome == OrderOutcome::Accepted {
                self.told
                    .note(engine.id.clone(), engine.incarnation, intent, token);
            }
        }
    }

    /// Orders the loads that `rollout` allows now.
    async fn roll_out(
        &mut self,
        config: &ConfigView,
        engines: &[EngineRecord],
        rollout: &ModelRollout,
        token: FencingToken,
    ) {
        let of_model = engines
            .iter()
            .filter(|engine| engine.model == rollout.model);
        let of_model: Vec<&EngineRecord> = of_model.collect();
        if !self.needs_work(&of_model, rollout) {
            return;
        }
        let replicas = self.read_replicas(config, &of_model, token).await;
        self.loads.update(&replicas, Instant::now());
        if is_complete(&replicas, rollout) {
            self.report_complete(rollout);
            return;
        }
        for id in plan_rollout(&replicas, rollout, &self.loads.engines()) {
            let replica = replicas.iter().find(|replica| replica.id == id);
            let record = of_model.iter().find(|engine| engine.id == id);
            if let (Some(replica), Some(record)) = (replica, record) {
                self.order_load(record, replica, rollout, token).await;
            }
        }
    }

    /// Logs that a rollout is complete, once.
    fn report_complete(&mut self, rollout: &ModelRollout) {
        let (model, version) = (&rollout.model, rollout.weights_version);
        if self.completed.insert(model.clone(), version) != Some(version) {
            log_event!(control::ROLLOUT_COMPLETE, "model={model} version={version}");
        }
    }

    /// Whether the records, which lag, show anything to do.
    fn needs_work(&self, engines: &[&EngineRecord], rollout: &ModelRollout) -> bool {
        let is_outdated = |engine: &&EngineRecord| {
            engine.weights_version != rollout.weights_version
                && matches!(engine.health, EngineHealth::Serving | EngineHealth::Loading)
        };
        engines.iter().any(is_outdated)
            || self
                .loads
                .has_any(engines.iter().map(|engine| engine.id.clone()))
    }

    /// Reads each replica's own status. One that can't be read, or does not yet refuse the orders of earlier
    /// holders, counts as unreachable: it neither serves nor loads.
    async fn read_replicas(
        &self,
        config: &ConfigView,
        engines: &[&EngineRecord],
        token: FencingToken,
    ) -> Vec<Replica> {
        let reading = engines.iter().map(|engine| async move {
            let status = self.orders.client().status(&engine.address).await.ok();
            let status = status.filter(|_| self.told.is_fenced(&engine.id, token));
            let record = match status {
                Some(status) => status.into_record(engine.address.clone()),
                None => EngineRecord {
                    health: EngineHealth::Unreachable,
                    ..EngineRecord::clone(engine)
                },
            };
            replica_of(config, &record)
        });
        stream::iter(reading)
            .buffer_unordered(PARALLEL_CALLS)
            .collect()
            .await
    }

    async fn order_load(
        &mut self,
        engine: &EngineRecord,
        replica: &Replica,
        rollout: &ModelRollout,
        token: FencingToken,
    ) {
        let order = EngineOrder::LoadWeights {
            model: rollout.model.clone(),
            weights_version: rollout.weights_version,
        };
        let outcome = self
            .orders
            .send(&engine.id, &engine.address, token, order)
            .await;
        if matches!(outcome, OrderOutcome::Accepted | OrderOutcome::Unknown) {
            self.loads
                .note(replica, rollout.weights_version, Instant::now());
        }
    }
}

fn intent_of(config: &ConfigView, engine: &EngineId) -> EngineIntent {
    let directive = config.engines.get(engine);
    directive
        .map(|directive| directive.intent)
        .unwrap_or_default()
}

fn order_of(intent: EngineIntent) -> EngineOrder {
    match intent {
        EngineIntent::Serve => EngineOrder::Undrain,
        EngineIntent::Drain => EngineOrder::Drain,
    }
}

fn replica_of(config: &ConfigView, record: &EngineRecord) -> Replica {
    Replica {
        id: record.id.clone(),
        incarnation: record.incarnation,
        weights_version: record.weights_version,
        health: record.health,
        intent: intent_of(config, &record.id),
        open_requests: record.load.running + record.load.queued,
    }
}
