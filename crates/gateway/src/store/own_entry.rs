//! Restores this gateway's entry in a store that was restored from a copy.
//!
//! A copy lacks the entries written after it was made, and only the gateways themselves know theirs. Each gateway rewrites its
//! own entry, but only if the entry is recent, since a copy is some seconds old. One conditional write checks for the entry and
//! adds it if it is missing. A gateway that left long ago and reappears with a copy is treated like a crashed one, which does
//! not answer either; the store keeps the entries of those too.

use std::rc::Rc;
use std::time::Duration;

use super::join::write_own_entry;
use crate::peers::directory::name_digest;
use crate::state::GatewayState;

/// Maximum age of a copy of the store: entries older than this are in every copy, since copies are some seconds old.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// How long after the restore of the store gateways missing from its list are still considered present: by then they have
/// rewritten their entries. A gateway learns of the restore from others within 0.5 s (the interval of its queries), and then
/// needs up to [`MAX_WRITE_SPREAD`] and one retry.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_secs(4);

/// The time by which each gateway extends the period over which the entries are rewritten: 200 writes a second, half of what
/// the store of a small site allows (400).
const WRITE_SPREAD_PER_DAEMON: Duration = Duration::from_millis(5);

/// Maximum length of that period. All entries are to be back 2 s after the restore.
pub const MAX_WRITE_SPREAD: Duration = Duration::from_millis(1200);

/// Delay between two attempts, and after a successful one.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Whether an entry that was written so long ago may be missing in the copy from which the store was restored.
pub fn may_be_missing(written_ago: Duration) -> bool {
    written_ago < MAX_COPY_AGE
}

/// Whether a gateway missing from the store's list is still considered present, given how long ago the store changed its era.
pub fn is_missing_entry_tolerated(era_changed_ago: Option<Duration>) -> bool {
    era_changed_ago.is_some_and(|ago| ago < MISSING_ENTRY_GRACE)
}

/// The delay between learning of a new era and rewriting the entry, for the gateway `name` among `gateways` gateways.
pub fn write_delay(name: &str, gateways: usize) -> Duration {
    let gateways = u32::try_from(gateways).unwrap_or(u32::MAX);
    let spread = WRITE_SPREAD_PER_DAEMON
        .saturating_mul(gateways)
        .min(MAX_WRITE_SPREAD);
    let place = name_digest(name) as f64 / u64::MAX as f64;
    spread.mul_f64(place)
}

/// Rewrites the entry after each restore of the store that may have lost it, until the process ends.
pub(super) async fn run(state: Rc<GatewayState>) {
    let mut changes = state.store_eras.changes();
    loop {
        state.store_eras.changed_after(changes).await;
        changes = state.store_eras.changes();
        let written_ago = state.now().saturating_sub(state.own_entry_written_at.get());
        if !may_be_missing(written_ago) {
            continue;
        }
        let gateways = state.peers.directory().count;
        tokio::time::sleep(write_delay(&state.settings.name, gateways)).await;
        while !write_own_entry(&state, None).await {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        // Limits the rate of calls to a store that names a later era in each answer.
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
