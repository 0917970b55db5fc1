//! Warms engines that come up cold: keeps hot prefixes in the KV store, and imports them at engines that are
//! new, have returned, or have loaded other weights.
//!
//! This needs no lease: an import is no order, an engine refuses one of other weights, and each engine is
//! warmed by the first of its owners.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use driftspring_control::hot_prefixes::{HotPrefix, HotPrefixes, PrefixSample};
use driftspring_external::ServiceTimeouts;
use driftspring_external::engine::{EngineClient, EngineTimeouts, KvPrefix};
use driftspring_external::kv_store::KvStore;
use driftspring_prefix::BlockHash;
use driftspring_telemetry::events::control;
use driftspring_telemetry::log_event;
use driftspring_types::{EngineHealth, EngineId, EngineRecord, Incarnation, WeightsVersion};
use ntex::time::sleep;
use tokio::sync::mpsc::Receiver;

use crate::state::DaemonState;
use crate::sync::duties::ownership;

/// Time between two looks at the engines.
const LOOK_INTERVAL: Duration = Duration::from_millis(200);
/// Time between two looks for hot prefixes that are not kept yet.
const KEEP_INTERVAL: Duration = Duration::from_secs(2);
/// Hot prefixes kept, and imported at a cold engine, per model and version.
const MAX_HOT_PREFIXES: usize = 8;
/// A kept prefix is looked at again after this time.
const KEPT_AGE: Duration = Duration::from_secs(60);
/// Engines that are first seen in this time after the start were there before and are not cold.
const START_TIME: Duration = Duration::from_secs(10);
/// How long the calls to engines may take.
const ENGINE_TIMEOUTS: EngineTimeouts = EngineTimeouts {
    connect: Duration::from_millis(300),
    call: Duration::from_secs(2),
};

/// Works until the process ends, where there is a KV store and the settings use it.
pub async fn run(state: Arc<DaemonState>) -> anyhow::Result<()> {
    let samples = state.prefix_samples.take_receiver();
    let (Some(address), Some(samples)) = (state.settings.platform.kv_store, samples) else {
        return Ok(());
    };
    let mut warmer = Warmer::new(state, address, samples).await?;
    while !warmer.state.is_terminated() {
        warmer.take_samples();
        warmer.warm_cold_engines().await;
        warmer.keep_hot_prefixes().await;
        sleep(LOOK_INTERVAL).await;
    }
    Ok(())
}

/// One life of an engine with one version of the weights; each begins with an empty cache.
type CacheLife = (Incarnation, WeightsVersion);

struct Warmer {
    state: Arc<DaemonState>,
    store: KvStore,
    engines: EngineClient,
    samples: Receiver<PrefixSample>,
    hot: HotPrefixes,
    lives: HashMap<EngineId, CacheLife>,
    kept: HashMap<BlockHash, Instant>,
    next_keeping: Instant,
}

impl Warmer {
    async fn new(
        state: Arc<DaemonState>,
        address: SocketAddr,
        samples: Receiver<PrefixSample>,
    ) -> anyhow::Result<Self> {
        Ok(Self {
            state,
            store: KvStore::new(address, ServiceTimeouts::default()).await?,
            engines: EngineClient::new(ENGINE_TIMEOUTS).await?,
            samples,
            hot: HotPrefixes::default(),
            lives: HashMap::new(),
            kept: HashMap::new(),
            next_keeping: Instant::now(),
        })
    }

    fn take_samples(&mut self) {
        let now = self.state.started_at.elapsed();
        while let Ok(sample) = self.samples.try_recv() {
            self.hot.observe(now, sample);
        }
    }

    async fn warm_cold_engines(&mut self) {
        let engines = self.state.engines.load_full();
        self.lives.retain(|id, _| engines.get(id).is_some());
        for entry in engines.iter() {
            let record = &entry.record;
            if record.health == EngineHealth::Serving && self.is_cold(record) {
                self.warm(record).await;
            }
        }
    }

    /// Whether `engine` began a life with an empty cache since the last look, and is this daemon's to warm.
    fn is_cold(&mut self, engine: &EngineRecord) -> bool {
        let life = (engine.incarnation, engine.weights_version);
        let before = self.lives.insert(engine.id.clone(), life);
        let is_new_life = match before {
            Some(before) => before != life && before.0 != Incarnation(0),
            None => self.state.started_at.elapsed() > START_TIME,
        };
        let members = self.state.members.load();
        is_new_life && ownership(&self.state, &members, engine) == Some(0)
    }

    async fn warm(&mut self, engine: &EngineRecord) {
        let version = engine.weights_version;
        let hot = self.hot.hottest(&engine.model, version, MAX_HOT_PREFIXES);
        let mut imported_blocks = 0;
        for prefix in &hot {
            let Some(kept) = self.obtain(prefix, version).await else {
                continue;
            };
            match self.engines.import_cache(&engine.address, &kept).await {
                Ok(()) => imported_blocks += kept.hashes.len(),
                Err(error) => {
                    log_event!(
                        control::WARMING_FAILED,
                        "engine={} error={error}",
                        engine.id
                    );
                    return;
                }
            }
        }
        if !hot.is_empty() {
            log_event!(
                control::ENGINE_WARMED,
                "engine={} version={version} prefixes={} blocks={imported_blocks}",
                engine.id,
                hot.len()
            );
        }
    }

    /// The blocks of a hot prefix: as kept in the store, else from the engine that has it.
    async fn obtain(&mut self, prefix: &HotPrefix, version: WeightsVersion) -> Option<KvPrefix> {
        let kept = self.store.get(prefix.last_block).await.ok().flatten();
        match kept.filter(|kept| kept.weights_version == version) {
            Some(kept) => Some(kept),
            None => self.export(prefix).await,
        }
    }

    /// Exports a prefix from the engine that answered the newest request with it, and keeps it.
    async fn export(&mut self, prefix: &HotPrefix) -> Option<KvPrefix> {
        let engines = self.state.engines.load_full();
        let address = &engines.get(&prefix.engine)?.record.address;
        let exported = self.engines.export_cache(address, prefix.last_block).await;
        let exported = exported.ok()?;
        match self.store.put(prefix.last_block, &exported).await {
            Ok(()) => {
                self.kept.insert(prefix.last_block, Instant::now());
                log_event!(control::PREFIX_KEPT, "blocks={}", exported.hashes.len());
            }
            Err(error) => log_event!(control::WARMING_FAILED, "error={error}"),
        }
        Some(exported)
    }

    /// Keeps the hot prefixes that the store does not have yet.
    async fn keep_hot_prefixes(&mut self) {
        if Instant::now() < self.next_keeping {
            return;
        }
        self.next_keeping = Instant::now() + KEEP_INTERVAL;
        self.kept.retain(|_, kept_at| kept_at.elapsed() < KEPT_AGE);
        for (model, version) in self.hot.versions() {
            for prefix in self.hot.hottest(&model, version, MAX_HOT_PREFIXES) {
                if self.kept.contains_key(&prefix.last_block) {
                    continue;
                }
                if self.obtain(&prefix, version).await.is_some() {
                    self.kept.insert(prefix.last_block, Instant::now());
                }
            }
        }
    }
}
