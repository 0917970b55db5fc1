//! The JSON messages of the engine protocol.

use driftspring_prefix::BlockHash;
use driftspring_types::{
    EngineHealth, EngineId, EngineLoad, EngineRecord, FencingToken, Incarnation, ModelName,
    WeightsVersion, ZoneName,
};
use serde::{Deserialize, Serialize};
use uuid::Uuid;

/// What an engine says of itself (`GET /status`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineStatus {
    /// The engine's name.
    pub id: EngineId,
    /// Its zone.
    pub zone: ZoneName,
    /// The model that it serves.
    pub model: ModelName,
    /// The version of its weights.
    pub weights_version: WeightsVersion,
    /// Its present life.
    pub incarnation: Incarnation,
    /// Rises with every report within one incarnation.
    pub report_sequence: u64,
    /// What it can do.
    pub health: EngineHealth,
    /// Its load; reports lag.
    pub load: EngineLoad,
}

impl EngineStatus {
    /// The record of the engine that answers at `address` (`IP:port`).
    pub fn into_record(self, address: impl Into<String>) -> EngineRecord {
        EngineRecord {
            id: self.id,
            address: address.into(),
            zone: self.zone,
            model: self.model,
            weights_version: self.weights_version,
            incarnation: self.incarnation,
            report_sequence: self.report_sequence,
            health: self.health,
            load: self.load,
        }
    }
}

/// One line of `GET /events`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum CacheEvent {
    /// The first line of each connection.
    Hello {
        /// The engine's present life.
        incarnation: Incarnation,
        /// The sequence number of the next event.
        next_sequence: u64,
    },
    /// Blocks came into the cache.
    Stored {
        /// Rises by one with every event; a missing number is a gap.
        sequence: u64,
        /// The engine's life in which it happened.
        incarnation: Incarnation,
        /// The blocks.
        hashes: Vec<BlockHash>,
    },
    /// Blocks left the cache.
    Removed {
        /// Rises by one with every event; a missing number is a gap.
        sequence: u64,
        /// The engine's life in which it happened.
        incarnation: Incarnation,
        /// The blocks.
        hashes: Vec<BlockHash>,
    },
    /// The cache was emptied.
    Cleared {
        /// Rises by one with every event; a missing number is a gap.
        sequence: u64,
        /// The engine's life in which it happened.
        incarnation: Incarnation,
    },
}

/// What an order asks of an engine.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum EngineOrder {
    /// Load this version of this model.
    LoadWeights {
        /// The model.
        model: ModelName,
        /// The version of its weights.
        weights_version: WeightsVersion,
    },
    /// Change the engine's role.
    SetRole {
        /// The role's name.
        role: String,
    },
    /// Take no new requests.
    Drain,
    /// Take requests again.
    Undrain,
}

/// A fenced order (`POST /orders`).
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderRequest {
    /// The token of the lease under which the order is given.
    pub fencing_token: FencingToken,
    /// Makes a repeat of the order harmless.
    pub order_id: Uuid,
    /// What is asked.
    pub order: EngineOrder,
}

/// The engine's answer to an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderAnswer {
    /// The order was taken.
    Accepted,
    /// The engine has seen a higher fencing token.
    Fenced {
        /// The highest token seen.
        highest_token: FencingToken,
    },
}

/// The engine's refusal of an order with too low a token.
#[derive(Debug, Deserialize)]
pub(super) struct FencedBody {
    pub(super) highest_token: FencingToken,
}

/// The blocks of a prefix, as exported from one engine's KV cache and imported into another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvPrefix {
    /// The salt that starts the chain of hashes.
    pub salt: String,
    /// The version of the weights that computed the blocks.
    pub weights_version: WeightsVersion,
    /// The blocks, from the first to the last.
    pub hashes: Vec<BlockHash>,
}

/// The token counts of one answer.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Usage {
    /// Tokens of the prompt.
    #[serde(default)]
    pub prompt_tokens: u32,
    /// Tokens of the answer.
    #[serde(default)]
    pub completion_tokens: u32,
    /// Prompt tokens taken from the engine's cache.
    #[serde(default)]
    pub cached_tokens: u32,
}
