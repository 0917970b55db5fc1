//! The store of kept KV cache.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};

use crate::server::{Running, end_channel, launch};

/// The cached blocks of one prefix, first to last.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvPrefix {
    /// The salt of the hash chain.
    pub salt: String,
    /// The version of the weights that computed it.
    pub weights_version: u64,
    /// The chain of block hashes.
    pub hashes: Vec<u64>,
}

#[derive(Debug, Default)]
struct KvStore {
    kept: Mutex<HashMap<u64, KvPrefix>>,
}

impl KvStore {
    fn kept(&self) -> MutexGuard<'_, HashMap<u64, KvPrefix>> {
        self.kept.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Starts an empty store.
///
/// # Errors
/// Where `address` can't be listened on.
pub fn start(address: SocketAddr) -> anyhow::Result<Running> {
    let store = Arc::new(KvStore::default());
    let configure = move |config: &mut web::ServiceConfig| {
        let kept = web::resource("/kept/{hash}")
            .route(web::get().to(get_kept))
            .route(web::put().to(put_kept))
            .route(web::delete().to(delete_kept));
        config.state(Arc::clone(&store)).service(kept);
    };
    launch(
        "kv-store",
        address,
        Arc::default(),
        end_channel(),
        configure,
    )
}

async fn get_kept(
    store: web::types::State<Arc<KvStore>>,
    hash: web::types::Path<u64>,
) -> HttpResponse {
    match store.kept().get(&hash) {
        Some(prefix) => HttpResponse::Ok().json(prefix),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn put_kept(
    store: web::types::State<Arc<KvStore>>,
    hash: web::types::Path<u64>,
    prefix: web::types::Json<KvPrefix>,
) -> HttpResponse {
    store.kept().insert(*hash, prefix.into_inner());
    HttpResponse::Ok().json(&serde_json::json!({"accepted": true}))
}

/// Takes the body too: an answer before the caller has sent it would break the connection off.
async fn delete_kept(
    store: web::types::State<Arc<KvStore>>,
    hash: web::types::Path<u64>,
    _body: Bytes,
) -> HttpResponse {
    match store.kept().remove(&hash) {
        Some(_) => HttpResponse::Ok().json(&serde_json::json!({"accepted": true})),
        None => HttpResponse::NotFound().finish(),
    }
}
