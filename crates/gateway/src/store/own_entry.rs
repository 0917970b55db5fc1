//! Keeps this daemon's entry in a store that comes back from copies.
//!
//! A copy lacks the entries that were written after it was made, and only the daemons themselves know theirs. Each writes its
//! own again, and only where it is young: a copy is some seconds old. One call tells whether it is there and writes it where
//! it is not. A daemon that left long ago and comes back with a copy is one that doesn't answer, as one that crashed; the
//! store keeps the entries of those too.

use std::rc::Rc;
use std::time::Duration;

use super::join::write_own_entry;
use crate::peers::directory::name_digest;
use crate::state::GatewayState;

/// Entries that are older than this are in every copy: these are some seconds old.
pub const MAX_COPY_AGE: Duration = Duration::from_secs(60);

/// How long after the store's return the entries of daemons are awaited that its list lacks: until then these have written
/// them again. A daemon hears of the return from others within 0.5 s (the pause between two questions), and has
/// [`MAX_WRITE_SPREAD`] and one more try.
pub const MISSING_ENTRY_GRACE: Duration = Duration::from_secs(4);

/// The time that each daemon adds to that over which they write: 200 writes a second, half of what a store of a small site
/// allows (400).
const WRITE_SPREAD_PER_DAEMON: Duration = Duration::from_millis(5);

/// The longest such time. All are to be there again 2 s after the return.
pub const MAX_WRITE_SPREAD: Duration = Duration::from_millis(1200);

/// The pause between two tries, and between two eras for which the entry is looked after.
const RETRY_DELAY: Duration = Duration::from_millis(700);

/// Whether an entry that was written so long ago may be missing in the copy from which a store came back.
pub fn may_be_missing(written_ago: Duration) -> bool {
    written_ago < MAX_COPY_AGE
}

/// Whether a daemon that the store's list lacks is known on, where the store changed its era so long ago.
pub fn is_missing_entry_tolerated(era_changed_ago: Option<Duration>) -> bool {
    era_changed_ago.is_some_and(|ago| ago < MISSING_ENTRY_GRACE)
}

/// How long after it has heard of the new era the daemon of this name writes its entry, one of so many daemons.
pub fn write_delay(name: &str, daemons: usize) -> Duration {
    let daemons = u32::try_from(daemons).unwrap_or(u32::MAX);
    let spread = WRITE_SPREAD_PER_DAEMON
        .saturating_mul(daemons)
        .min(MAX_WRITE_SPREAD);
    let place = name_digest(name) as f64 / u64::MAX as f64;
    spread.mul_f64(place)
}

/// Writes the entry again after each return of the store that may lack it, for ever.
pub(super) async fn run(state: Rc<GatewayState>) {
    let mut changes = state.store_eras.changes();
    loop {
        state.store_eras.changed_after(changes).await;
        changes = state.store_eras.changes();
        let written_ago = state.now().saturating_sub(state.own_entry_written_at.get());
        if !may_be_missing(written_ago) {
            continue;
        }
        let daemons = state.peers.directory().count;
        tokio::time::sleep(write_delay(&state.settings.name, daemons)).await;
        while !write_own_entry(&state, None).await {
            tokio::time::sleep(RETRY_DELAY).await;
        }
        // A store that names a later era in each answer is not called without a pause.
        tokio::time::sleep(RETRY_DELAY).await;
    }
}
