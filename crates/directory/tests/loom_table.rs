//! Every interleaving of two writers of the block table, by the loom model checker.
//!
//! The table's source is compiled again with loom's atomics in place of the standard ones.

mod sync {
    pub use loom::sync::atomic::{AtomicU64, Ordering};
}
#[path = "../src/table.rs"]
#[expect(dead_code, reason = "the checker needs only a part of the module")]
mod table;
#[path = "../src/tick.rs"]
#[expect(dead_code, reason = "the checker needs only a part of the module")]
mod tick;

use std::time::Duration;

use loom::sync::Arc;
use loom::thread;
use table::{BlockTable, WAYS};
use tick::Tick;

const ONE: u64 = 1 << 40;
const TWO: u64 = 2 << 40;

fn tick(seconds: u64) -> Tick {
    Tick::at(Duration::from_secs(seconds))
}

/// Runs `left` and `right` at the same time on a table of one set, then `check`.
fn interleave(
    prepare: fn(&BlockTable),
    left: fn(&BlockTable),
    right: fn(&BlockTable),
    check: fn(&BlockTable),
) {
    loom::model(move || {
        let table = Arc::new(BlockTable::with_capacity(WAYS));
        prepare(&table);
        let shared = Arc::clone(&table);
        let writer = thread::spawn(move || left(&shared));
        right(&table);
        writer.join().expect("the writer ends");
        check(&table);
    });
}

#[test]
fn two_new_entries_are_both_kept() {
    interleave(
        |_| {},
        |table| table.touch(ONE, tick(1)),
        |table| table.touch(TWO, tick(2)),
        |table| {
            assert_eq!(table.last_use(ONE), Some(tick(1)));
            assert_eq!(table.last_use(TWO), Some(tick(2)));
        },
    );
}

#[test]
fn the_later_use_of_one_entry_wins() {
    interleave(
        |_| {},
        |table| table.touch(ONE, tick(1)),
        |table| table.touch(ONE, tick(2)),
        |table| assert_eq!(table.last_use(ONE), Some(tick(2))),
    );
}

#[test]
fn a_removal_leaves_other_entries_alone() {
    interleave(
        |table| table.touch(ONE, tick(1)),
        |table| table.remove(ONE),
        |table| table.touch(TWO, tick(2)),
        |table| {
            assert_eq!(table.last_use(ONE), None);
            assert_eq!(table.last_use(TWO), Some(tick(2)));
        },
    );
}

#[test]
fn a_removal_after_two_racing_uses_leaves_nothing() {
    interleave(
        |table| table.touch(TWO, tick(1)),
        |table| {
            table.remove(TWO);
            table.touch(ONE, tick(2));
        },
        |table| table.touch(ONE, tick(3)),
        |table| {
            table.remove(ONE);
            assert_eq!(table.last_use(ONE), None);
        },
    );
}
