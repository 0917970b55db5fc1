//! The weight store: loads take longer while more of them run than it is rated for.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};

use crate::server::{Running, end_channel, launch};

/// How the store serves.
#[derive(Debug, Clone, Copy)]
pub struct WeightStoreOptions {
    /// Where to listen.
    pub address: SocketAddr,
    /// The time of a load within the rating.
    pub load_time: Duration,
    /// Parallel loads that the store is rated for.
    pub rated_loads: u32,
}

struct WeightStore {
    options: WeightStoreOptions,
    running_loads: AtomicU32,
}

impl WeightStore {
    /// The time of a load that begins while `loads` run, itself included.
    fn load_time(&self, loads: u32) -> Duration {
        let rated = self.options.rated_loads.max(1);
        let slowdown = f64::from(loads.max(rated)) / f64::from(rated);
        self.options.load_time.mul_f64(slowdown)
    }
}

/// Counts one load for as long as it runs, also where its caller hangs up.
struct RunningLoad<'a> {
    store: &'a WeightStore,
    /// Loads that ran when this one began, itself included.
    loads: u32,
}

impl<'a> RunningLoad<'a> {
    fn begin(store: &'a WeightStore) -> Self {
        let loads = store.running_loads.fetch_add(1, Ordering::Relaxed) + 1;
        Self { store, loads }
    }
}

impl Drop for RunningLoad<'_> {
    fn drop(&mut self) {
        self.store.running_loads.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Starts a weight store.
///
/// # Errors
/// Where its address can't be listened on.
pub fn start(options: WeightStoreOptions) -> anyhow::Result<Running> {
    let store = Arc::new(WeightStore {
        options,
        running_loads: AtomicU32::new(0),
    });
    let configure = move |config: &mut web::ServiceConfig| {
        config
            .state(Arc::clone(&store))
            .route("/weights/{model}/{version}/load", web::post().to(load));
    };
    let faults = Arc::default();
    launch(
        "weight-store",
        options.address,
        faults,
        end_channel(),
        configure,
    )
}

/// Takes the body too: an answer before the caller has sent it would break the connection off.
async fn load(
    store: web::types::State<Arc<WeightStore>>,
    path: web::types::Path<(String, u64)>,
    _body: Bytes,
) -> HttpResponse {
    let (model, version) = path.into_inner();
    let running = RunningLoad::begin(&store);
    let load_time = store.load_time(running.loads);
    tokio::time::sleep(load_time).await;
    HttpResponse::Ok().json(&serde_json::json!({
        "model": model,
        "weights_version": version,
        "load_ms": load_time.as_millis() as u64,
    }))
}
