//! Synchronisation queries of gateways, and how earlier versions decode them.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use driftspring_gateway::peers::message::SyncQuery;
use musli::{Decode, Encode};

/// A query of a gateway that has the changes of `log_id` up to `sequence`, with `content_digest` of all
/// items, and knows nothing else.
pub fn sync_query(log_id: u64, sequence: u64, content_digest: u64) -> SyncQuery {
    SyncQuery {
        nonce: 1,
        log_id,
        sequence,
        content_digest,
        ..SyncQuery::default()
    }
}

/// A query as decoded by a version that knows neither eras nor packed replicas.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct EarlierSyncQuery {
    pub nonce: u64,
    pub log_id: u64,
    pub sequence: u64,
    #[musli(default)]
    pub content_digest: u64,
    #[musli(default)]
    pub quarantine: Option<u64>,
}

/// A query that such a version sends.
pub fn earlier_sync_query() -> EarlierSyncQuery {
    EarlierSyncQuery {
        nonce: 1,
        log_id: 2,
        sequence: 3,
        content_digest: 4,
        quarantine: Some(5),
    }
}
