//! A gateway's identity, and the seeds that it queries first, from its settings.

use std::net::SocketAddr;

use driftspring_settings::GatewaySettings;
use xxhash_rust::xxh3::xxh3_64;

use crate::peers::message::WireDaemon;

/// The identity under which a lease is held: a machine, regardless of the process that runs on it. A replacement at a
/// new address is another machine, even under the same name.
pub fn machine(settings: &GatewaySettings) -> String {
    format!("{}@{}", settings.name, settings.listen.peers.ip())
}

/// This gateway's entry for other gateways.
pub fn own_daemon(settings: &GatewaySettings) -> WireDaemon {
    WireDaemon {
        name: settings.name.clone(),
        peers: settings.listen.peers.to_string(),
        zone: settings.zone.clone(),
        capacity: capacity(settings),
    }
}

/// The capacity of the gateway's machine, see [`WireDaemon::capacity`].
fn capacity(settings: &GatewaySettings) -> u32 {
    let machine = settings.machine;
    (machine.cores * 1000.0).min(machine.link_megabits) as u32
}

/// The machines configured as seeds, at the port at which every gateway receives datagrams. Each gateway starts with a
/// different one: hundreds that start together would otherwise all query the first.
pub fn seeds(settings: &GatewaySettings) -> Vec<WireDaemon> {
    let own = settings.listen.peers;
    let others = settings.seeds.iter().filter(|seed| seed.ip() != own.ip());
    let mut seeds: Vec<WireDaemon> = others
        .map(|seed| WireDaemon {
            name: format!("seed {}", seed.ip()),
            peers: SocketAddr::new(seed.ip(), own.port()).to_string(),
            zone: settings.zone.clone(),
            capacity: 0,
        })
        .collect();
    let first = xxh3_64(settings.name.as_bytes()) as usize % seeds.len().max(1);
    seeds.rotate_left(first);
    seeds
}
