//! Records in the compact form in which they travel.

use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4};

use driftspring_types::{
    DaemonId, EngineHealth, EngineId, EngineLoad, EngineRecord, Incarnation, MemberRecord,
    MemberState, ModelName, Revision, WeightsVersion, ZoneName,
};
use musli::{Decode, Encode};

use crate::tag::{EngineTag, MemberTag, ZoneTag};

/// An `IP:port` in 7 to 9 bytes; addresses that are not IPv4 travel as text.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct CompactAddress {
    ipv4_bits: u32,
    port: u16,
    text: String,
}

impl CompactAddress {
    /// The compact form of `text`.
    pub fn new(text: &str) -> Self {
        match text.parse::<SocketAddr>() {
            Ok(SocketAddr::V4(address)) => Self {
                ipv4_bits: address.ip().to_bits(),
                port: address.port(),
                text: String::new(),
            },
            _ => Self {
                ipv4_bits: 0,
                port: 0,
                text: text.to_owned(),
            },
        }
    }

    /// The address as text; empty where there is none.
    pub fn into_text(self) -> String {
        if !self.text.is_empty() || (self.ipv4_bits == 0 && self.port == 0) {
            return self.text;
        }
        SocketAddrV4::new(Ipv4Addr::from_bits(self.ipv4_bits), self.port).to_string()
    }
}

/// A whole member record.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct MemberRow {
    id: DaemonId,
    zone: ZoneName,
    incarnation: Incarnation,
    refutation: u64,
    state: MemberState,
    peer_address: CompactAddress,
    caller_address: CompactAddress,
    operator_address: CompactAddress,
    complete_to: Revision,
}

impl From<&MemberRecord> for MemberRow {
    fn from(record: &MemberRecord) -> Self {
        Self {
            id: record.id.clone(),
            zone: record.zone.clone(),
            incarnation: record.incarnation,
            refutation: record.refutation,
            state: record.state,
            peer_address: CompactAddress::new(&record.peer_address),
            caller_address: CompactAddress::new(&record.caller_address),
            operator_address: CompactAddress::new(&record.operator_address),
            complete_to: record.complete_to,
        }
    }
}

impl From<MemberRow> for MemberRecord {
    fn from(row: MemberRow) -> Self {
        Self {
            id: row.id,
            zone: row.zone,
            incarnation: row.incarnation,
            refutation: row.refutation,
            state: row.state,
            peer_address: row.peer_address.into_text(),
            caller_address: row.caller_address.into_text(),
            operator_address: row.operator_address.into_text(),
            complete_to: row.complete_to,
        }
    }
}

/// A new state of a member whose record the receiver holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct MemberChange {
    /// The member's life.
    pub tag: MemberTag,
    /// The refutation number to which the state belongs.
    pub refutation: u64,
    /// The state.
    pub state: MemberState,
}

/// A whole engine record.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct EngineRow {
    id: EngineId,
    address: CompactAddress,
    zone: ZoneName,
    model: ModelName,
    weights_version: WeightsVersion,
    incarnation: Incarnation,
    report_sequence: u64,
    health: EngineHealth,
    running: u32,
    queued: u32,
    pending_prefill_tokens: u32,
    cached_blocks: u32,
    cache_capacity_blocks: u32,
}

impl From<&EngineRecord> for EngineRow {
    fn from(record: &EngineRecord) -> Self {
        Self {
            id: record.id.clone(),
            address: CompactAddress::new(&record.address),
            zone: record.zone.clone(),
            model: record.model.clone(),
            weights_version: record.weights_version,
            incarnation: record.incarnation,
            report_sequence: record.report_sequence,
            health: record.health,
            running: record.load.running,
            queued: record.load.queued,
            pending_prefill_tokens: record.load.pending_prefill_tokens,
            cached_blocks: record.load.cached_blocks,
            cache_capacity_blocks: record.load.cache_capacity_blocks,
        }
    }
}

impl From<EngineRow> for EngineRecord {
    fn from(row: EngineRow) -> Self {
        Self {
            id: row.id,
            address: row.address.into_text(),
            zone: row.zone,
            model: row.model,
            weights_version: row.weights_version,
            incarnation: row.incarnation,
            report_sequence: row.report_sequence,
            health: row.health,
            load: EngineLoad {
                running: row.running,
                queued: row.queued,
                pending_prefill_tokens: row.pending_prefill_tokens,
                cached_blocks: row.cached_blocks,
                cache_capacity_blocks: row.cache_capacity_blocks,
            },
        }
    }
}

/// Prompt tokens in one unit of [`LoadReport::pending_prefill_units`].
const PREFILL_UNIT_TOKENS: u32 = 16;

/// A newer load of an engine whose record the receiver holds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct LoadReport {
    /// The engine's life, weights and health at the time of the report.
    pub tag: EngineTag,
    /// The report's sequence number.
    pub report_sequence: u64,
    /// Requests in the running batch.
    pub running: u32,
    /// Requests waiting.
    pub queued: u32,
    /// Prompt tokens not yet computed, in units of sixteen.
    pub pending_prefill_units: u32,
}

impl From<&EngineRecord> for LoadReport {
    fn from(record: &EngineRecord) -> Self {
        Self {
            tag: EngineTag::of(record),
            report_sequence: record.report_sequence,
            running: record.load.running,
            queued: record.load.queued,
            pending_prefill_units: record.load.pending_prefill_tokens / PREFILL_UNIT_TOKENS,
        }
    }
}

impl LoadReport {
    /// `record` with this report's load; how full the cache is stays as the last whole record said.
    pub fn applied_to(&self, record: &EngineRecord) -> EngineRecord {
        let mut updated = record.clone();
        updated.report_sequence = self.report_sequence;
        updated.load.running = self.running;
        updated.load.queued = self.queued;
        updated.load.pending_prefill_tokens = self
            .pending_prefill_units
            .saturating_mul(PREFILL_UNIT_TOKENS);
        updated
    }
}

/// How long ago anyone of the sender's zone heard from another zone.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Encode, Decode)]
#[musli(packed)]
pub struct ZoneContact {
    /// The other zone.
    pub zone: ZoneTag,
    /// The time since then, in tenths of a second.
    pub age_tenths: u16,
}
