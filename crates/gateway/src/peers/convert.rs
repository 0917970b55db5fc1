//! Conversions between entries of the store and their form in datagrams.

use std::time::Duration;

use super::message::{WireDaemon, WireReplica};
use crate::protocol::{DaemonRecord, ModelVersion, ReplicaEntry, ReplicaIncarnation};

/// A time in whole milliseconds, as used in datagrams.
pub(crate) fn to_ms(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

impl From<&ReplicaEntry> for WireReplica {
    fn from(entry: &ReplicaEntry) -> Self {
        let models = entry.models.iter();
        Self {
            id: entry.incarnation.id.clone(),
            born: entry.incarnation.born,
            service: entry.service.clone(),
            address: entry.address.to_string(),
            zone: entry.zone.clone(),
            slots: entry.slots,
            is_draining: entry.is_draining,
            models: models
                .map(|model| (model.model.clone(), model.version))
                .collect(),
            software: entry.software.clone(),
        }
    }
}

impl WireReplica {
    /// The entry, or `None` if the address is invalid.
    pub fn to_entry(&self) -> Option<ReplicaEntry> {
        let models = self.models.iter();
        Some(ReplicaEntry {
            incarnation: ReplicaIncarnation {
                id: self.id.clone(),
                born: self.born,
            },
            service: self.service.clone(),
            address: self.address.parse().ok()?,
            zone: self.zone.clone(),
            slots: self.slots,
            is_draining: self.is_draining,
            cold_remaining: Duration::ZERO,
            models: models
                .map(|(model, version)| ModelVersion {
                    model: model.clone(),
                    version: *version,
                })
                .collect(),
            software: self.software.clone(),
        })
    }
}

impl From<&DaemonRecord> for WireDaemon {
    fn from(record: &DaemonRecord) -> Self {
        Self {
            name: record.name.clone(),
            peers: record.peers.to_string(),
            zone: record.zone.clone(),
            capacity: record.capacity,
        }
    }
}
