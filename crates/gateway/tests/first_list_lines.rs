//! Log lines of a gateway's first list of replicas.
//!
//! Each of 301 gateways that started together wrote a line of 250 bytes for each of 3,012 replicas, on machines with
//! 0.12 of a core, while its callers waited for the list. With a limit of 4,000 lines per second there was hardly room
//! for other lines.

#[path = "support/registry_scene.rs"]
mod registry_scene;

use std::sync::atomic::{AtomicUsize, Ordering};

use driftspring_gateway::replicas::Registry;
use registry_scene::{entry, ids_in_use};

const REPLICAS: usize = 3012;

/// Maximum number of log lines for a first list of any length.
const MAX_LINES: usize = 110;

static LINES: AtomicUsize = AtomicUsize::new(0);

/// Counts log lines at the level at which gateways log.
struct Counter;

impl log::Log for Counter {
    fn enabled(&self, metadata: &log::Metadata<'_>) -> bool {
        metadata.level() <= log::Level::Info
    }

    fn log(&self, record: &log::Record<'_>) {
        if self.enabled(record.metadata()) {
            LINES.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) {}
}

fn count_lines(action: impl FnOnce()) -> usize {
    let before = LINES.load(Ordering::Relaxed);
    action();
    LINES.load(Ordering::Relaxed) - before
}

#[test]
fn a_long_first_list_is_logged_in_a_bounded_number_of_lines_and_later_replicas_one_by_one() {
    log::set_logger(&Counter).expect("the only logger");
    log::set_max_level(log::LevelFilter::Info);
    let registry = Registry::default();
    let first = count_lines(|| {
        for number in 0..REPLICAS {
            registry.upsert(entry(&format!("first-{number}"), Some(1)));
        }
        assert_eq!(ids_in_use(&registry).len(), REPLICAS);
    });
    assert!(first <= MAX_LINES, "{first} lines of {REPLICAS} replicas");
    let later = count_lines(|| {
        for number in 0..MAX_LINES {
            registry.upsert(entry(&format!("later-{number}"), Some(1)));
        }
        assert_eq!(ids_in_use(&registry).len(), REPLICAS + MAX_LINES);
    });
    assert_eq!(later, MAX_LINES, "lines of replicas that were added later");
}
