//! The JSON messages of the machine list.

use driftspring_types::ZoneName;
use serde::Deserialize;

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// An engine.
    Engine,
    /// A driftspring daemon.
    Daemon,
    /// Anything that this version does not know.
    #[serde(other)]
    Other,
}

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It serves.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct Machine {
    /// The name of what runs on it.
    pub id: String,
    /// What runs on it.
    pub kind: MachineKind,
    /// `IP:port`: of an engine's HTTP interface, or of a daemon's peer interface.
    pub address: String,
    /// Its zone.
    pub zone: ZoneName,
    /// Whether it stays.
    pub state: MachineState,
}

/// The body of the list.
#[derive(Debug, Deserialize)]
pub(super) struct MachineListBody {
    pub(super) machines: Vec<Machine>,
}
