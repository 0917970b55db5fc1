//! Measures how long this process stood still: frozen, or on a suspended machine.
//!
//! What the process measures over such a time says nothing about others, and overdue timers may not have
//! fired yet: the runtime's timers stand still with the machine. So a task ticks, and a gap between two ticks
//! is a standstill.

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

/// The shortest gap that counts as a standstill. A machine that has used up its CPU quota waits for a tenth
/// of a second (operator's documentation), which is part of what is measured.
const MIN_STANDSTILL: Duration = Duration::from_millis(250);

/// The time from which ticks are counted.
static TICK_EPOCH: OnceLock<Instant> = OnceLock::new();

/// The time of the last tick, in nanoseconds since [`TICK_EPOCH`]; 0 before the first tick.
static LAST_TICK_NANOS: AtomicU64 = AtomicU64::new(0);

/// The total standstill, in nanoseconds.
static TOTAL_STANDSTILL_NANOS: AtomicU64 = AtomicU64::new(0);

/// The shortest standstill after which received messages count as out of date. Under load all daemons of a
/// machine may stand still for some tenths of a second at once; with a lower bound none of them would use
/// what arrived meanwhile.
const LONG_STANDSTILL: Duration = Duration::from_secs(1);

/// When the last long standstill was noticed, in nanoseconds since [`TICK_EPOCH`]; 0 if there was none.
static LAST_WAKE_NANOS: AtomicU64 = AtomicU64::new(0);

/// The longest gap between two ticks since it was last taken, in nanoseconds.
static LONGEST_GAP_NANOS: AtomicU64 = AtomicU64::new(0);

/// How long after a long standstill incoming data may have been waiting for this process: a socket's buffer
/// is read within milliseconds, after other tasks that wake up first.
const WAKE_WINDOW: Duration = Duration::from_millis(250);

/// Records that the process runs; returns the length of the standstill that just ended, if any.
pub fn tick() -> Option<Duration> {
    let now = nanos(TICK_EPOCH.get_or_init(Instant::now).elapsed()).max(1);
    let last = LAST_TICK_NANOS.fetch_max(now, Ordering::Relaxed);
    let gap = now.saturating_sub(last);
    if last > 0 {
        LONGEST_GAP_NANOS.fetch_max(gap, Ordering::Relaxed);
    }
    if last == 0 || gap < nanos(MIN_STANDSTILL) {
        return None;
    }
    TOTAL_STANDSTILL_NANOS.fetch_add(gap, Ordering::Relaxed);
    if gap >= nanos(LONG_STANDSTILL) {
        LAST_WAKE_NANOS.store(now, Ordering::Relaxed);
    }
    Some(Duration::from_nanos(gap))
}

/// The total standstill since the first tick, including one whose tick is still due. It grows with each
/// standstill, so two readings tell whether one lies between them.
pub fn total() -> Duration {
    if LAST_TICK_NANOS.load(Ordering::Relaxed) > 0 {
        log_standstill(tick());
    }
    Duration::from_nanos(TOTAL_STANDSTILL_NANOS.load(Ordering::Relaxed))
}

/// The longest time between two ticks since the last call, including the one that is still due: for so long the thread
/// that serves callers was kept from it, beside [`TICK_INTERVAL`].
pub fn take_longest_gap() -> Duration {
    let ended = LONGEST_GAP_NANOS.swap(0, Ordering::Relaxed);
    let last = LAST_TICK_NANOS.load(Ordering::Relaxed);
    let now = TICK_EPOCH.get().map_or(0, |epoch| nanos(epoch.elapsed()));
    let open = if last == 0 {
        0
    } else {
        now.saturating_sub(last)
    };
    Duration::from_nanos(ended.max(open))
}

/// Whether the process has just resumed after a long standstill, so that data it reads may have been waiting.
pub fn has_just_woken() -> bool {
    total();
    let Some(epoch) = TICK_EPOCH.get() else {
        return false;
    };
    let wake = LAST_WAKE_NANOS.load(Ordering::Relaxed);
    wake > 0 && nanos(epoch.elapsed()).saturating_sub(wake) < nanos(WAKE_WINDOW)
}

/// Ticks forever. After a standstill, requests that wait at replicas recompute their deadlines.
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
