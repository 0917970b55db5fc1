//! Questions that gateways ask each other for changes, and how earlier versions decode them.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use driftspring_gateway::peers::message::SyncQuery;
use musli::{Decode, Encode};

/// A question of a gateway that has the changes of `log` up to `sequence`, with the digest `content` of all
/// items, and knows nothing else.
pub fn ask(log_id: u64, sequence: u64, content_digest: u64) -> SyncQuery {
    SyncQuery {
        nonce: 1,
        log_id,
        sequence,
        content_digest,
        ..SyncQuery::default()
    }
}

/// A question as decoded by a version that knows neither eras nor packed replicas.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EarlierAsk {
    pub nonce: u64,
    pub log: u64,
    pub sequence: u64,
    #[musli(default)]
    pub content: u64,
    #[musli(default)]
    pub quarantine: Option<u64>,
}

/// A question that such a version sends.
pub fn earlier_ask() -> EarlierAsk {
    EarlierAsk {
        nonce: 1,
        log: 2,
        sequence: 3,
        content: 4,
        quarantine: Some(5),
    }
}
