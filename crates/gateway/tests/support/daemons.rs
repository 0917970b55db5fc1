//! Gateways in several zones with machines of equal capacity.

use driftspring_gateway::peers::message::WireDaemon;

/// A gateway in a zone.
pub fn daemon(name: &str, zone: &str) -> WireDaemon {
    WireDaemon {
        name: name.to_owned(),
        peers: "10.0.0.1:7000".to_owned(),
        zone: zone.to_owned(),
        capacity: 100,
    }
}

/// `count` gateways, assigned to the zones in turn.
pub fn in_zones(count: usize, zones: &[&str]) -> Vec<WireDaemon> {
    (0..count)
        .map(|number| daemon(&format!("d{number}"), zones[number % zones.len()]))
        .collect()
}
