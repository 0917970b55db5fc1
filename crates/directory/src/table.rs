//! A fixed-size, lock-free table from block hash to the tick of the last known use.
//!
//! It is built like a processor's cache: the hash picks a set of [`WAYS`] slots, one cache line, and
//! a new entry replaces the set's oldest. A slot is one `u64`, `tag << 28 | tick`; 0 is empty. Each
//! change is one compare-and-swap, so an entry is never seen half written. A writer that loses
//! [`ATTEMPTS`] races gives up: the table is a hint.

use crate::sync::{AtomicU64, Ordering};
use crate::tick::{TICK_BITS, Tick};

/// Slots of a set: 8 slots of 8 bytes fill one cache line.
pub const WAYS: usize = 8;

/// How often a writer tries again after it lost a race.
const ATTEMPTS: usize = 4;

/// The value of an empty slot.
const EMPTY: u64 = 0;

/// The part of a slot above the tick.
const TAG_BITS: u32 = u64::BITS - TICK_BITS;

/// Block hashes with the tick of their last known use.
#[derive(Debug)]
pub struct BlockTable {
    slots: Box<[AtomicU64]>,
    sets: usize,
}

impl BlockTable {
    /// A table of at least `capacity` slots, rounded up to a power of two of sets.
    pub fn with_capacity(capacity: usize) -> Self {
        let sets = capacity.div_ceil(WAYS).max(1).next_power_of_two();
        let slots = (0..sets * WAYS).map(|_| AtomicU64::new(EMPTY)).collect();
        Self { slots, sets }
    }

    /// The number of slots.
    pub fn capacity(&self) -> usize {
        self.slots.len()
    }

    /// The last known use of `hash`.
    pub fn last_use(&self, hash: u64) -> Option<Tick> {
        let tag = tag_of(hash);
        self.set_of(hash)
            .iter()
            .map(|slot| slot.load(Ordering::Relaxed))
            .filter(|value| value >> TICK_BITS == tag)
            .map(tick_of)
            .reduce(later)
    }

    /// The last known use of every entry, in no order.
    pub fn last_uses(&self) -> impl Iterator<Item = Tick> {
        self.slots
            .iter()
            .map(|slot| slot.load(Ordering::Relaxed))
            .filter(|value| *value != EMPTY)
            .map(tick_of)
    }

    /// Notes a use of `hash`; an older use than the known one changes nothing.
    pub fn touch(&self, hash: u64, tick: Tick) {
        for _ in 0..ATTEMPTS {
            if self.try_touch(hash, tick) {
                return;
            }
        }
    }

    /// Forgets `hash`.
    pub fn remove(&self, hash: u64) {
        let tag = tag_of(hash);
        for slot in self.set_of(hash) {
            let value = slot.load(Ordering::Relaxed);
            if value >> TICK_BITS == tag {
                // A lost race means a newer use of the slot, which stays.
                let _ = slot.compare_exchange(value, EMPTY, Ordering::Relaxed, Ordering::Relaxed);
            }
        }
    }

    /// One attempt; false where another writer changed the chosen slot meanwhile.
    fn try_touch(&self, hash: u64, tick: Tick) -> bool {
        let tag = tag_of(hash);
        let entry = tag << TICK_BITS | u64::from(tick.stored());
        let set = self.set_of(hash);
        let mut victim = &set[0];
        let mut victim_value = victim.load(Ordering::Relaxed);
        for slot in set {
            let value = slot.load(Ordering::Relaxed);
            if value >> TICK_BITS == tag {
                return !tick.is_after(tick_of(value)) || replace(slot, value, entry);
            }
            if is_better_victim(value, victim_value) {
                victim = slot;
                victim_value = value;
            }
        }
        replace(victim, victim_value, entry)
    }

    fn set_of(&self, hash: u64) -> &[AtomicU64] {
        let set = hash as usize & (self.sets - 1);
        &self.slots[set * WAYS..(set + 1) * WAYS]
    }
}

fn replace(slot: &AtomicU64, expected: u64, entry: u64) -> bool {
    slot.compare_exchange(expected, entry, Ordering::Relaxed, Ordering::Relaxed)
        .is_ok()
}

/// The hash's upper bits; the lower ones pick the set. Never 0, which marks an empty slot.
fn tag_of(hash: u64) -> u64 {
    (hash >> (u64::BITS - TAG_BITS)).max(1)
}

fn tick_of(value: u64) -> Tick {
    Tick::from_stored(value as u32)
}

fn later(one: Tick, other: Tick) -> Tick {
    if other.is_after(one) { other } else { one }
}

/// Whether a slot with `value` should rather be replaced than one with `other`.
fn is_better_victim(value: u64, other: u64) -> bool {
    if other == EMPTY {
        return false;
    }
    value == EMPTY || tick_of(other).is_after(tick_of(value))
}
