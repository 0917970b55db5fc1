//! The object store: one order of revisions, compare-and-swap, watches with bookmarks.

mod handlers;
mod objects;
mod watch;

use std::net::SocketAddr;
use std::sync::Arc;

use ntex::web;

use crate::server::{Running, end_channel, launch};

pub use objects::{Change, Object, ObjectStore, StoreCounters};

/// A running object store.
#[derive(Debug)]
pub struct RunningObjectStore {
    /// The server.
    pub server: Running,
    /// The objects themselves.
    pub store: Arc<ObjectStore>,
}

/// Starts an empty object store.
///
/// # Errors
/// Where `address` can't be listened on.
pub fn start(address: SocketAddr) -> anyhow::Result<RunningObjectStore> {
    serve(address, Arc::default())
}

/// Serves the objects of `store`, for example those of an earlier server after its end.
///
/// # Errors
/// Where `address` can't be listened on.
pub fn serve(address: SocketAddr, store: Arc<ObjectStore>) -> anyhow::Result<RunningObjectStore> {
    let served = Arc::clone(&store);
    let configure = move |config: &mut web::ServiceConfig| {
        config.state(Arc::clone(&served));
        handlers::configure(config);
    };
    let faults = Arc::default();
    let server = launch("object-store", address, faults, end_channel(), configure)?;
    Ok(RunningObjectStore { server, store })
}
