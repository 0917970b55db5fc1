//! The calls of the object store.

use std::sync::Arc;
use std::sync::atomic::Ordering;

use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};
use serde::Deserialize;
use serde_json::{Value, json};

use super::objects::{ObjectStore, RevisionConflict};
use super::watch::WatchSource;
use crate::faults::FaultSwitches;
use crate::streaming::body_of;

/// How many revisions old a list is while the `stale_watch` switch is on.
const STALE_REVISIONS: u64 = 5;

type SharedStore = web::types::State<Arc<ObjectStore>>;
type SharedFaults = web::types::State<Arc<FaultSwitches>>;

pub(super) fn configure(config: &mut web::ServiceConfig) {
    let object = web::resource("/objects/{kind}/{name}")
        .route(web::get().to(get_object))
        .route(web::put().to(put_object))
        .route(web::delete().to(delete_object));
    config
        .service(object)
        .route("/objects", web::get().to(list_objects))
        .route("/watch", web::get().to(watch_objects))
        .route("/standin/counters", web::get().to(show_counters))
        .route("/standin/compact", web::post().to(compact));
}

#[derive(Deserialize)]
struct ListQuery {
    #[serde(default)]
    prefix: String,
}

async fn list_objects(
    store: SharedStore,
    faults: SharedFaults,
    query: web::types::Query<ListQuery>,
) -> HttpResponse {
    store.counters.lists.fetch_add(1, Ordering::Relaxed);
    let list = if faults.current().stale_watch {
        store.old_list(&query.prefix, STALE_REVISIONS)
    } else {
        store.list(&query.prefix)
    };
    HttpResponse::Ok().json(&list)
}

type ObjectPath = web::types::Path<(String, String)>;

fn key_of(path: &ObjectPath) -> String {
    format!("{}/{}", path.0, path.1)
}

async fn get_object(store: SharedStore, path: ObjectPath) -> HttpResponse {
    store.counters.gets.fetch_add(1, Ordering::Relaxed);
    match store.get(&key_of(&path)) {
        Some(object) => HttpResponse::Ok().json(&object),
        None => HttpResponse::NotFound().finish(),
    }
}

#[derive(Deserialize)]
struct WriteQuery {
    expect: u64,
}

async fn put_object(
    store: SharedStore,
    path: ObjectPath,
    query: web::types::Query<WriteQuery>,
    value: web::types::Json<Value>,
) -> HttpResponse {
    store.counters.writes.fetch_add(1, Ordering::Relaxed);
    let value = Some(value.into_inner());
    write_response(store.write(&key_of(&path), query.expect, value))
}

/// Takes the body too: an answer before the caller has sent it would break the connection off.
async fn delete_object(
    store: SharedStore,
    path: ObjectPath,
    query: web::types::Query<WriteQuery>,
    _body: Bytes,
) -> HttpResponse {
    store.counters.writes.fetch_add(1, Ordering::Relaxed);
    write_response(store.write(&key_of(&path), query.expect, None))
}

fn write_response(result: Result<u64, RevisionConflict>) -> HttpResponse {
    match result {
        Ok(revision) => HttpResponse::Ok().json(&json!({"revision": revision})),
        Err(conflict) => HttpResponse::Conflict().json(&conflict),
    }
}

#[derive(Deserialize)]
struct WatchQuery {
    from: u64,
    #[serde(default)]
    prefix: String,
}

async fn watch_objects(
    store: SharedStore,
    faults: SharedFaults,
    query: web::types::Query<WatchQuery>,
) -> HttpResponse {
    store.counters.watches.fetch_add(1, Ordering::Relaxed);
    let WatchQuery { from, prefix } = query.into_inner();
    if store.changes_after(from, &prefix).is_err() {
        return HttpResponse::Gone().finish();
    }
    let stale = faults.current().stale_watch;
    let source = WatchSource::new(Arc::clone(&store), from, prefix, stale);
    HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .streaming(body_of(Arc::clone(&faults), source))
}

async fn show_counters(store: SharedStore) -> HttpResponse {
    HttpResponse::Ok().json(&store.counters())
}

#[derive(Deserialize)]
struct CompactBody {
    revision: u64,
}

async fn compact(store: SharedStore, body: web::types::Json<CompactBody>) -> HttpResponse {
    store.compact(body.revision);
    HttpResponse::Ok().json(&json!({"accepted": true}))
}
