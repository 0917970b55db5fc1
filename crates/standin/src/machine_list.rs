//! The lagging list of live and leaving machines.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::faults::FaultSwitches;
use crate::server::{Running, end_channel, launch};

/// Versions of the list that are kept to serve an old one.
const KEPT_VERSIONS: usize = 64;

/// What runs on a machine.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineKind {
    /// An engine.
    Engine,
    /// A driftspring daemon.
    Daemon,
}

/// Whether a machine stays.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MachineState {
    /// It serves.
    Live,
    /// It will be taken away.
    Leaving,
}

/// One machine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Machine {
    /// The name of what runs on it.
    pub id: String,
    /// What runs on it.
    pub kind: MachineKind,
    /// `IP:port`.
    pub address: String,
    /// Its zone.
    pub zone: String,
    /// Whether it stays.
    pub state: MachineState,
}

/// The body of the list, both as served and as set.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MachineListBody {
    /// All machines.
    pub machines: Vec<Machine>,
}

/// The list with its recent versions.
#[derive(Debug)]
pub struct MachineList {
    versions: Mutex<VecDeque<(Instant, MachineListBody)>>,
}

impl MachineList {
    fn new(machines: Vec<Machine>) -> Self {
        let first = (Instant::now(), MachineListBody { machines });
        Self {
            versions: Mutex::new(VecDeque::from([first])),
        }
    }

    /// Replaces the list.
    pub fn set(&self, machines: Vec<Machine>) {
        let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        versions.push_back((Instant::now(), MachineListBody { machines }));
        if versions.len() > KEPT_VERSIONS {
            versions.pop_front();
        }
    }

    /// The list as it was `lag` ago, or the oldest one known.
    fn as_of(&self, lag: Duration) -> MachineListBody {
        let versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
        let newest_first = versions.iter().rev();
        let old_enough = newest_first
            .clone()
            .find(|(since, _)| since.elapsed() >= lag);
        let version = old_enough.or(versions.front());
        version.map(|(_, body)| body.clone()).unwrap_or_default()
    }
}

/// A running machine list.
#[derive(Debug)]
pub struct RunningMachineList {
    /// The server.
    pub server: Running,
    /// The list itself.
    pub list: Arc<MachineList>,
}

/// Starts a machine list that names `machines` at first.
///
/// # Errors
/// Where `address` can't be listened on.
pub fn start(address: SocketAddr, machines: Vec<Machine>) -> anyhow::Result<RunningMachineList> {
    let list = Arc::new(MachineList::new(machines));
    let served = Arc::clone(&list);
    let configure = move |config: &mut web::ServiceConfig| {
        config
            .state(Arc::clone(&served))
            .route("/machines", web::get().to(show_machines))
            .route("/standin/machines", web::put().to(set_machines));
    };
    let faults = Arc::default();
    let server = launch("machine-list", address, faults, end_channel(), configure)?;
    Ok(RunningMachineList { server, list })
}

async fn show_machines(
    list: web::types::State<Arc<MachineList>>,
    faults: web::types::State<Arc<FaultSwitches>>,
) -> HttpResponse {
    let lag = Duration::from_millis(faults.current().report_lag_ms);
    HttpResponse::Ok().json(&list.as_of(lag))
}

async fn set_machines(
    list: web::types::State<Arc<MachineList>>,
    body: web::types::Json<MachineListBody>,
) -> HttpResponse {
    list.set(body.into_inner().machines);
    HttpResponse::Ok().json(&serde_json::json!({"accepted": true}))
}
