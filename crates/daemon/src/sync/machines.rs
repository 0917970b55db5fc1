//! The machine list, read by the readers of each zone only, or by a daemon that is alone.
//!
//! A reader looks up engines that nobody knows yet, so that their records spread to their owners,
//! and passes on which engines the list calls leaving. While the list is down, what is known
//! stays: owners go on observing, and an engine's own word suffices for its leaving.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use driftspring_external::ServiceTimeouts;
use driftspring_external::machines::{Machine, MachineKind, MachineListClient, MachineState};
use driftspring_telemetry::events::sync;
use driftspring_telemetry::log_event;
use driftspring_types::{EngineHealth, EngineId, Incarnation};
use ntex::time::sleep;

use super::duties::is_zone_reader;
use super::observe::Observer;
use crate::state::{DaemonState, GossipCommand};

/// Time between two reads of the list.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How often a daemon looks whether it has become a reader.
const READER_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Reads the list until the process ends.
pub async fn run(state: Arc<DaemonState>, observer: Observer) {
    let Some(address) = state.settings.platform.machine_list else {
        return;
    };
    let client = match MachineListClient::new(address, ServiceTimeouts::default()).await {
        Ok(client) => client,
        Err(error) => {
            log_event!(sync::MACHINE_LIST_UNREACHABLE, "error={error:#}");
            return;
        }
    };
    let mut marks = LeavingMarks::default();
    let mut is_down = false;
    while !state.is_terminated() {
        if !is_zone_reader(&state) {
            sleep(READER_CHECK_INTERVAL).await;
            continue;
        }
        match client.machines().await {
            Ok(machines) => {
                is_down = false;
                apply(&state, &observer, &mut marks, &machines);
            }
            Err(error) => {
                if !is_down {
                    log_event!(sync::MACHINE_LIST_UNREACHABLE, "error={error}");
                }
                is_down = true;
            }
        }
        sleep(POLL_INTERVAL).await;
    }
}

fn apply(state: &DaemonState, observer: &Observer, marks: &mut LeavingMarks, machines: &[Machine]) {
    state
        .gossip
        .send(GossipCommand::Contacts(contacts(state, machines)));
    let engines = state.engines.load();
    for machine in machines {
        if machine.kind != MachineKind::Engine {
            continue;
        }
        let id = EngineId::from(machine.id.as_str());
        let known = engines.get(&id).map(|entry| &entry.record);
        if known.is_none_or(|record| record.address != machine.address) {
            observer.observe_once(&id, &machine.address);
        }
        let life = known.map(|record| record.incarnation);
        if marks.is_leaving(&id, machine.state, life) {
            let health = EngineHealth::Leaving;
            state
                .gossip
                .send(GossipCommand::EngineHealth { id, life, health });
        }
    }
}

/// The peer addresses of the settings and of the list, without the own one.
fn contacts(state: &DaemonState, machines: &[Machine]) -> Vec<SocketAddr> {
    let listed = machines
        .iter()
        .filter(|machine| machine.kind == MachineKind::Daemon)
        .filter_map(|machine| machine.address.parse().ok());
    let seeds = state.settings.seeds.iter().copied();
    seeds
        .chain(listed)
        .filter(|address| *address != state.addresses.peers)
        .collect()
}

/// Which life of each engine the list calls leaving.
///
/// The list lags, so that a machine that was replaced may still be called leaving: the mark holds
/// only for the life that was known when the list first said so.
#[derive(Debug, Default)]
pub struct LeavingMarks {
    marked: HashMap<EngineId, Option<Incarnation>>,
}

impl LeavingMarks {
    /// Takes in what the list says of `id`, whose known life is `life`; whether that life is to be
    /// marked as leaving.
    pub fn is_leaving(
        &mut self,
        id: &EngineId,
        state: MachineState,
        life: Option<Incarnation>,
    ) -> bool {
        if state == MachineState::Live {
            self.marked.remove(id);
            return false;
        }
        let mark = self.marked.entry(id.clone()).or_insert(life);
        if mark.is_none() {
            *mark = life;
        }
        life.is_some() && *mark == life
    }
}
