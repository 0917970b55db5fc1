//! At-most-once claims between daemons: the transport around `driftspring_claims`.
//!
//! - [`ClaimClient`]: claims a key at a majority of the group's holders.
//! - `server`: answers other daemons.
//! - `upkeep`: takes in the group, returns to it after a restart, forgets old claims.
//! - [`seal_group`]: closes an epoch before its group is replaced.

mod client;
mod sealing;
mod server;
mod upkeep;

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use driftspring_claims::UnixMillis;
use driftspring_types::{ClaimGroup, ClaimGroupMember, FencingToken};
use ntex::rt::spawn;
use ntex::web::ServiceConfig;

use crate::state::DaemonState;

pub use client::{ClaimClient, HeldClaim};
pub use sealing::{SealedGroup, first_group, seal_group};

/// The path of claims, releases, seals and questions between daemons.
const CLAIMS_PATH: &str = "/internal/claims";

/// The epoch of a daemon that holds its claims alone; below that of every written group.
const STANDALONE_EPOCH: u64 = 0;

/// Adds the route for other daemons.
pub fn configure(config: &mut ServiceConfig, state: &Arc<DaemonState>) {
    server::configure(config, state);
}

/// Starts the background task on the current ntex system.
pub fn spawn_all(state: &Arc<DaemonState>) {
    spawn(upkeep::run(Arc::clone(state)));
}

/// The present group. Without a written one there is none, except where the settings say that this
/// daemon is the only one.
fn present_group(state: &DaemonState) -> Option<Arc<ClaimGroup>> {
    let written = state.config.load().claim_group.clone();
    let is_alone = written.is_none() && state.settings.claims.standalone;
    written.or_else(|| is_alone.then(|| Arc::new(standalone_group(state))))
}

fn standalone_group(state: &DaemonState) -> ClaimGroup {
    ClaimGroup {
        epoch: STANDALONE_EPOCH,
        holders: vec![ClaimGroupMember {
            daemon: state.settings.id.clone(),
            incarnation: state.incarnation,
        }],
        fencing_token: FencingToken(0),
    }
}

/// The wall-clock time.
fn now() -> UnixMillis {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    UnixMillis(u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX))
}
