//! How long this process has stood still: frozen, or on a machine that was suspended.
//!
//! What it measured over such a time says nothing of others, and timers that should have ended may still wait: those of the
//! runtime stand still with a machine. So a task ticks, and a gap between two ticks is a standstill.

use std::rc::Rc;
use std::sync::OnceLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use crate::state::GatewayState;

/// The time between two ticks, each of which wakes the process.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// The least gap that is a standstill. A machine whose share of its processors is spent waits for a tenth of a second
/// (operator's pages), which is part of what is measured.
const MIN_STANDSTILL: Duration = Duration::from_millis(250);

/// The moment from which ticks are counted.
static TICK_EPOCH: OnceLock<Instant> = OnceLock::new();

/// When the process last showed that it runs, in nanoseconds since [`TICK_EPOCH`]; 0 before the first tick.
static LAST_TICK_NANOS: AtomicU64 = AtomicU64::new(0);

/// How long it has stood still in all, in nanoseconds.
static TOTAL_STANDSTILL_NANOS: AtomicU64 = AtomicU64::new(0);

/// The least standstill over which news lose their moment. Under load all daemons of a machine may stand still for some tenths of
/// a second at once: none of them would take in what was told meanwhile.
const LONG_STANDSTILL: Duration = Duration::from_secs(1);

/// When the last long standstill was noticed, in nanoseconds since [`TICK_EPOCH`]; 0 for none.
static LAST_WAKE_NANOS: AtomicU64 = AtomicU64::new(0);

/// For how long after a long standstill what is read may have waited for this process: a socket's buffer is read within
/// milliseconds, other tasks that wake come before.
const WAKE_WINDOW: Duration = Duration::from_millis(250);

/// Shows that the process runs; returns how long it had stood still until now, where it had.
pub fn tick() -> Option<Duration> {
    let now = nanos(TICK_EPOCH.get_or_init(Instant::now).elapsed()).max(1);
    let last = LAST_TICK_NANOS.fetch_max(now, Ordering::Relaxed);
    let gap = now.saturating_sub(last);
    if last == 0 || gap < nanos(MIN_STANDSTILL) {
        return None;
    }
    TOTAL_STANDSTILL_NANOS.fetch_add(gap, Ordering::Relaxed);
    if gap >= nanos(LONG_STANDSTILL) {
        LAST_WAKE_NANOS.store(now, Ordering::Relaxed);
    }
    Some(Duration::from_nanos(gap))
}

/// How long the process has stood still in all since the first tick; also where the next tick is only due. It rises with
/// each standstill, so that two of these tell whether one lies in between.
pub fn total() -> Duration {
    if LAST_TICK_NANOS.load(Ordering::Relaxed) > 0 {
        log_standstill(tick());
    }
    Duration::from_nanos(TOTAL_STANDSTILL_NANOS.load(Ordering::Relaxed))
}

/// Whether the process has stood still for long until just now, so that what it reads may have waited meanwhile.
pub fn has_just_woken() -> bool {
    total();
    let Some(epoch) = TICK_EPOCH.get() else {
        return false;
    };
    let wake = LAST_WAKE_NANOS.load(Ordering::Relaxed);
    wake > 0 && nanos(epoch.elapsed()).saturating_sub(wake) < nanos(WAKE_WINDOW)
}

/// Ticks for ever. After a standstill the requests that wait at replicas look again at how long they may.
pub async fn watch(state: Rc<GatewayState>) {
    let mut known = total();
    loop {
        log_standstill(tick());
        let total = total();
        if total > known {
            known = total;
            state.weights_updated.notify_waiters();
        }
        tokio::time::sleep(TICK_INTERVAL).await;
    }
}

fn log_standstill(standstill: Option<Duration>) {
    if let Some(time) = standstill {
        log_event!(gateway::PROCESS_STOOD_STILL, "time={time:?}");
    }
}

fn nanos(time: Duration) -> u64 {
    u64::try_from(time.as_nanos()).unwrap_or(u64::MAX)
}
