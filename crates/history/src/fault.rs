//! Faults that a run brings about.

use driftspring_types::{DaemonId, EngineId, ZoneName};
use serde::{Deserialize, Serialize};

/// What a fault hits.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "target", content = "id", rename_all = "snake_case")]
pub enum FaultTarget {
    /// One engine.
    Engine(EngineId),
    /// One daemon.
    Daemon(DaemonId),
    /// All machines of a zone.
    Zone(ZoneName),
    /// The object store.
    ObjectStore,
    /// The machine list.
    MachineList,
    /// The weight store.
    WeightStore,
    /// The store of kept KV cache.
    KvStore,
}

/// The kind of a fault; the details are those of the stand-ins' fault switches.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(tag = "fault", rename_all = "snake_case")]
pub enum Fault {
    /// The process is killed without notice.
    Kill,
    /// The process is stopped, and may be continued.
    Freeze,
    /// The engine crashes and comes back empty under the same address.
    Crash,
    /// It is cut off from the rest.
    CutOff,
    /// It answers nothing but errors.
    Down,
    /// Switches of a stand-in, as sent to `POST /standin/faults`.
    Switches {
        /// The JSON body.
        body: String,
    },
}
