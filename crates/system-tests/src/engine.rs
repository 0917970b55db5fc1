//! Engines under test.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_standin::engine::{self, EngineStandinOptions};
use driftspring_types::{EngineId, Incarnation, WeightsVersion, ZoneName};
use serde::Deserialize;
use serde_json::json;

use crate::MODEL;
use crate::control::HttpControl;
use crate::process::Programs;
use crate::standin::Standin;
use crate::system::Host;
use crate::wait::wait_until;

/// How long a crash may take.
const CRASH_PATIENCE: Duration = Duration::from_secs(5);

/// What a stand-in engine is.
#[derive(Debug, Clone)]
pub struct EngineOptions {
    /// Its name.
    pub id: EngineId,
    /// Its zone.
    pub zone: ZoneName,
    /// The version of its weights at the start.
    pub weights_version: WeightsVersion,
}

impl EngineOptions {
    /// An engine of `zone-1` with version 1 of the weights.
    pub fn new(id: &str) -> Self {
        Self {
            id: id.into(),
            zone: "zone-1".into(),
            weights_version: WeightsVersion(1),
        }
    }

    /// The same engine in another zone.
    pub fn in_zone(self, zone: &str) -> Self {
        Self {
            zone: zone.into(),
            ..self
        }
    }
}

/// A running engine.
pub struct EngineHost {
    /// What it is.
    pub options: EngineOptions,
    /// The stand-in.
    pub standin: Standin,
}

#[derive(Deserialize)]
struct Status {
    incarnation: Incarnation,
}

impl EngineHost {
    /// Starts an engine.
    pub(crate) async fn start(host: &Host, options: EngineOptions) -> anyhow::Result<Self> {
        let standin = match host {
            Host::Threads => start_in_threads(&options)?,
            Host::Processes(programs) => start_process(programs, &options).await?,
        };
        Ok(Self { options, standin })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.standin.address
    }

    /// Its present life, by its own status.
    pub(crate) async fn incarnation(&self, control: &HttpControl) -> anyhow::Result<Incarnation> {
        let text = control.get(self.address(), "/status").await?;
        let status: Status = serde_json::from_str(&text)?;
        Ok(status.incarnation)
    }

    /// Crashes it: it comes back empty under the same address, in a new life.
    pub(crate) async fn crash(&self, control: &HttpControl) -> anyhow::Result<()> {
        let before = self.incarnation(control).await?;
        let path = "/standin/crash";
        control.post(self.address(), path, &json!({})).await?;
        wait_until("the engine's new life", CRASH_PATIENCE, async || {
            let present = self.incarnation(control).await;
            present.is_ok_and(|present| present > before)
        })
        .await
    }
}

fn start_in_threads(options: &EngineOptions) -> anyhow::Result<Standin> {
    let (id, zone) = (options.id.as_str(), options.zone.as_str());
    let engine = engine::start(EngineStandinOptions {
        weights_version: options.weights_version,
        ..EngineStandinOptions::loopback(id, zone, MODEL)
    })?;
    Ok(Standin::in_threads(engine.server.address, engine))
}

async fn start_process(programs: &Programs, options: &EngineOptions) -> anyhow::Result<Standin> {
    let arguments = [
        "engine",
        "--id",
        options.id.as_str(),
        "--zone",
        options.zone.as_str(),
        "--model",
        MODEL,
        "--weights-version",
        &options.weights_version.to_string(),
    ]
    .map(str::to_owned);
    Standin::in_process(programs, &arguments).await
}
