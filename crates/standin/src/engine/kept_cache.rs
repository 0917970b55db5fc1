//! Export and import of cached prefixes.

use std::sync::Arc;

use driftspring_prefix::BlockHash;
use ntex::web::{self, HttpResponse};
use serde::Deserialize;
use serde_json::json;

use super::refusal::RefusalKind;
use super::state::EngineState;
use crate::kv_store::KvPrefix;

type SharedEngine = web::types::State<Arc<EngineState>>;

/// Adds these calls.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/kv/export", web::get().to(export))
        .route("/kv/import", web::post().to(import));
}

#[derive(Deserialize)]
struct ExportQuery {
    hash: u64,
}

async fn export(engine: SharedEngine, query: web::types::Query<ExportQuery>) -> HttpResponse {
    let core = engine.core();
    let chain = core.model.cached_chain(BlockHash(query.hash));
    let salt = chain.first().and_then(|first| core.salts.get(first));
    let Some(salt) = salt else {
        return core.refusal(RefusalKind::Unknown).response();
    };
    HttpResponse::Ok().json(&KvPrefix {
        salt: salt.clone(),
        weights_version: core.weights_version,
        hashes: chain.into_iter().map(|block| block.0).collect(),
    })
}

async fn import(engine: SharedEngine, prefix: web::types::Json<KvPrefix>) -> HttpResponse {
    let prefix = prefix.into_inner();
    let imported = engine.change(|core, now| {
        if prefix.weights_version != core.weights_version {
            return Err(core.refusal(RefusalKind::WeightsMismatch));
        }
        let chain: Vec<BlockHash> = prefix.hashes.into_iter().map(BlockHash).collect();
        if let Some(first) = chain.first() {
            core.salts.insert(*first, prefix.salt);
        }
        Ok(core.model.import_blocks(now, &chain))
    });
    match imported {
        Ok(blocks) => HttpResponse::Ok().json(&json!({"imported_blocks": blocks})),
        Err(refusal) => refusal.response(),
    }
}
