//! Properties of the lock-free block table against a plain map.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_directory::{BlockTable, TICK, Tick, WAYS};
use quickcheck::quickcheck;

fn tick(number: u32) -> Tick {
    Tick::at(TICK * number)
}

/// Spreads small numbers over the whole range, as real block hashes are.
fn hash(number: u8) -> u64 {
    u64::from(number)
        .wrapping_add(1)
        .wrapping_mul(0x9e37_79b9_7f4a_7c15)
}

quickcheck! {
    fn agrees_with_a_map_while_there_is_room(steps: Vec<(u8, u16, bool)>) -> bool {
        // Room for all 256 hashes in one set each.
        let table = BlockTable::with_capacity(256 * WAYS * 16);
        let mut model: HashMap<u8, u32> = HashMap::new();
        for (number, time, is_removal) in steps {
            if is_removal {
                table.remove(hash(number));
                model.remove(&number);
            } else {
                table.touch(hash(number), tick(time.into()));
                let last = model.entry(number).or_insert(time.into());
                *last = (*last).max(time.into());
            }
        }
        (0..=u8::MAX).all(|number| {
            table.last_use(hash(number)) == model.get(&number).map(|time| tick(*time))
        })
    }

    fn the_oldest_of_a_full_set_gives_way(extra: u8) -> bool {
        let table = BlockTable::with_capacity(WAYS);
        let count = WAYS + usize::from(extra % 32);
        for number in 0..count {
            table.touch(hash(number as u8), tick(number as u32 + 1));
        }
        (0..count).all(|number| {
            let is_known = table.last_use(hash(number as u8)).is_some();
            is_known == (number + WAYS >= count)
        })
    }
}

#[test]
fn ticks_compare_across_the_wrap() {
    let before = Tick::at(TICK * ((1 << 28) - 1));
    let after = Tick::at(TICK * (1 << 28) + TICK * 3);
    assert!(after.is_after(before));
    assert!(!before.is_after(after));
    assert_eq!(after.since(before), 4);
    assert_eq!(Tick::at(Duration::ZERO).since(before), 1);
}
