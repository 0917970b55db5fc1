//! What a scale run is made of: sizes, names, times and bounds.

use std::net::SocketAddr;
use std::time::Duration;

use driftspring_types::{
    DaemonId, EngineHealth, EngineId, EngineLoad, EngineRecord, Incarnation, ModelName,
    WeightsVersion, ZoneName,
};

/// Zones over which daemons and engines are spread.
pub const ZONES: usize = 6;

/// Daemons that restart at once, of each 380.
const RESTARTS_OF_380: usize = 58;

/// Daemons whose addresses every daemon is given as seeds.
pub const SEEDS: usize = 3;

/// Worker threads that run all hollow daemons.
pub const WORKERS: usize = 6;

/// The longest wait of a daemon for a datagram, as in the daemon itself.
pub const RECEIVE_TIMEOUT: Duration = Duration::from_millis(25);

/// Time between two rounds of a daemon's own work, as in the daemon itself.
pub const ROUND_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two status calls of an engine's first owner, and of its second.
pub const POLL_INTERVALS: [Duration; 2] = [Duration::from_secs(1), Duration::from_secs(3)];

/// How long a daemon waits for its seeds before it reads the store by itself.
pub const ALONE_PATIENCE: Duration = Duration::from_secs(1);

/// How long a daemon waits for a whole view of the members, as in the daemon itself.
pub const SETTLE_PATIENCE: Duration = Duration::from_secs(2);

/// Bytes of the headers of IPv4 and UDP in front of each datagram.
pub const DATAGRAM_HEADER_BYTES: u64 = 28;

/// Bytes of the heads of an HTTP request and its answer.
pub const HTTP_HEADER_BYTES: u64 = 200;

/// The size of one run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Hollow daemons.
    pub daemons: usize,
    /// Hollow engines.
    pub engines: usize,
    /// Length of the quiet measurement.
    pub quiet: Duration,
    /// Seed of every random choice.
    pub seed: u64,
}

impl Plan {
    /// How many daemons restart at once: 58 of 380.
    pub fn restarts(&self) -> usize {
        (self.daemons * RESTARTS_OF_380).div_ceil(380)
    }
}

/// The zone of a daemon or engine by its number.
pub fn zone_of(number: usize) -> usize {
    number % ZONES
}

/// The name of a zone.
pub fn zone_name(zone: usize) -> ZoneName {
    ZoneName::new(format!("zone-{zone}"))
}

/// The name of a daemon.
pub fn daemon_id(number: usize) -> DaemonId {
    DaemonId::new(format!("daemon-{number:03}"))
}

/// The name of an engine.
pub fn engine_id(number: usize) -> EngineId {
    EngineId::new(format!("engine-{number:03}"))
}

/// The status of a hollow engine at `now`: its load changes with every report.
pub fn engine_status(number: usize, now: Duration) -> EngineRecord {
    let sequence = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
    let varying = (sequence / 100).wrapping_mul(2_654_435_761 + number as u64) >> 8;
    EngineRecord {
        id: engine_id(number),
        address: SocketAddr::from(([10, 1, (number >> 8) as u8, number as u8], 8000)).to_string(),
        zone: zone_name(zone_of(number)),
        model: ModelName::from("verdict-large"),
        weights_version: WeightsVersion(1),
        incarnation: Incarnation(1_764_000_000_000 + number as u64),
        // The time of the report, so that its age can be told anywhere.
        report_sequence: sequence,
        health: EngineHealth::Serving,
        load: EngineLoad {
            running: (varying % 32) as u32,
            queued: (varying % 7) as u32,
            pending_prefill_tokens: (varying % 100_000) as u32,
            cached_blocks: 3_000 + (varying % 1_000) as u32,
            cache_capacity_blocks: 4_096,
        },
    }
}
