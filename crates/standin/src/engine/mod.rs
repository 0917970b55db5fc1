//! The stand-in engine: the engine model run in real time behind the engine's HTTP calls.
//!
//! - `core`: the model with the books kept beside it (answers, run log, cache events, orders).
//! - `state`: the core behind a lock, and the thread that lets its time pass.
//! - `request`, `refusal`: reading and refusing requests; `answer`, `chunks`, `stream`: answering them.
//! - `calls`, `control_calls`: the HTTP calls.

mod answer;
mod calls;
mod chunks;
mod control_calls;
mod core;
mod events;
mod kept_cache;
mod load_history;
mod orders;
mod refusal;
mod request;
mod run_log;
mod state;
mod stream;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use driftspring_engine_model::EngineOptions;
use driftspring_types::{EngineId, ModelName, WeightsVersion, ZoneName};
use ntex::web;

use crate::faults::FaultSwitches;
use crate::server::{Running, end_channel, launch};

pub use orders::OrderLogEntry;
pub use run_log::{RunEnd, RunLogEntry};
pub use state::EngineState;

/// What a stand-in engine is.
#[derive(Debug, Clone)]
pub struct EngineStandinOptions {
    /// Its name.
    pub id: EngineId,
    /// Its zone.
    pub zone: ZoneName,
    /// The model that it serves.
    pub model: ModelName,
    /// The version of its weights at the start.
    pub weights_version: WeightsVersion,
    /// Where to listen.
    pub address: SocketAddr,
    /// The weight store; without one a load takes [`EngineStandinOptions::load_time`].
    pub weight_store: Option<SocketAddr>,
    /// The time of a load where there is no weight store.
    pub load_time: Duration,
    /// How long a request goes on after its last reader hung up, so that it may be resumed.
    pub hang_up_grace: Duration,
    /// How long a finished answer may be resumed after its last reader left.
    pub answer_retention: Duration,
    /// Limits and speeds.
    pub engine: EngineOptions,
}

impl EngineStandinOptions {
    /// An engine on a free loopback port with default limits and speeds.
    pub fn loopback(id: &str, zone: &str, model: &str) -> Self {
        Self {
            id: EngineId::new(id),
            zone: ZoneName::new(zone),
            model: ModelName::new(model),
            weights_version: WeightsVersion(1),
            address: SocketAddr::from(([127, 0, 0, 1], 0)),
            weight_store: None,
            load_time: Duration::from_millis(600),
            hang_up_grace: Duration::from_secs(2),
            answer_retention: Duration::from_secs(30),
            engine: EngineOptions::default(),
        }
    }
}

/// A running stand-in engine.
#[derive(Debug)]
pub struct RunningEngine {
    /// The server.
    pub server: Running,
    /// The engine itself.
    pub state: Arc<EngineState>,
}

/// Starts a stand-in engine.
///
/// # Errors
/// Where its address can't be listened on.
pub fn start(options: EngineStandinOptions) -> anyhow::Result<RunningEngine> {
    let faults = Arc::<FaultSwitches>::default();
    let (end, signal) = end_channel();
    let name = format!("engine-{}", options.id);
    let address = options.address;
    let state = EngineState::start(options, Arc::clone(&faults), end.clone())?;
    let served = Arc::clone(&state);
    let configure = move |config: &mut web::ServiceConfig| {
        config.state(Arc::clone(&served));
        calls::configure(config);
        control_calls::configure(config);
        kept_cache::configure(config);
    };
    let server = launch(&name, address, faults, (end, signal), configure)?;
    Ok(RunningEngine { server, state })
}
