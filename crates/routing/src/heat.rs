//! How large a share of the traffic each prefix has.
//!
//! A fixed-size, lock-free table of counters that halve with every half-life. A slot is one `u64`:
//! tag, tick and count. The coldest slot of a set gives way to a new prefix.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use driftspring_prefix::BlockHash;

/// Slots of a set: one cache line.
const WAYS: usize = 8;

/// How often a writer tries again after it lost a race.
const ATTEMPTS: usize = 4;

/// Bits of the count, in [`COUNT_UNIT`]s.
const COUNT_BITS: u32 = 22;

/// Bits of the tick.
const TICK_BITS: u32 = 20;

/// Parts into which one observation is divided, so that halved counts stay exact enough.
const COUNT_UNIT: f64 = 16.0;

/// The length of one tick; the tick wraps after 18 hours.
const TICK: Duration = Duration::from_millis(64);

/// Sizes and speed of the tracker.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HeatSettings {
    /// Prefix nodes remembered, 8 bytes each; rounded up to a power of two.
    pub capacity: usize,
    /// After this time an observation counts half.
    pub half_life: Duration,
}

impl Default for HeatSettings {
    fn default() -> Self {
        Self {
            capacity: 32_768,
            half_life: Duration::from_secs(12),
        }
    }
}

/// Decaying counts of prefix nodes.
#[derive(Debug)]
pub struct HeatTracker {
    slots: Box<[AtomicU64]>,
    sets: usize,
    half_life: Duration,
}

/// A slot's content.
#[derive(Debug, Clone, Copy)]
struct Entry {
    tag: u64,
    tick: u64,
    count: f64,
}

impl HeatTracker {
    /// A tracker that has seen nothing.
    pub fn new(settings: HeatSettings) -> Self {
        let sets = settings.capacity.div_ceil(WAYS).max(1).next_power_of_two();
        Self {
            slots: (0..sets * WAYS).map(|_| AtomicU64::new(0)).collect(),
            sets,
            half_life: settings.half_life,
        }
    }

    /// Counts one request with the prefix `node` at `now` (time since the daemon's start); returns
    /// the node's decayed count, this request included.
    pub fn observe(&self, node: BlockHash, now: Duration) -> f64 {
        let tick = tick_at(now);
        for _ in 0..ATTEMPTS {
            if let Some(count) = self.try_observe(node, tick) {
                return count;
            }
        }
        self.count(node, now)
    }

    /// The decayed count of `node`.
    pub fn count(&self, node: BlockHash, now: Duration) -> f64 {
        let tag = tag_of(node);
        let mut entries = self
            .set_of(node)
            .iter()
            .map(|slot| Entry::unpack(load(slot)));
        let found = entries.find(|entry| entry.tag == tag);
        found.map_or(0.0, |entry| self.decayed(entry, tick_at(now)))
    }

    /// Bytes of memory held.
    pub fn memory_bytes(&self) -> usize {
        size_of::<Self>() + self.slots.len() * size_of::<u64>()
    }

    fn try_observe(&self, node: BlockHash, tick: u64) -> Option<f64> {
        let tag = tag_of(node);
        let set = self.set_of(node);
        for slot in set {
            let value = load(slot);
            let entry = Entry::unpack(value);
            if entry.tag == tag {
                let count = self.decayed(entry, tick) + 1.0;
                return replace(slot, value, Entry { tag, tick, count });
            }
        }
        let (slot, value) = self.coldest(set, tick)?;
        let count = 1.0;
        replace(slot, value, Entry { tag, tick, count })
    }

    /// The slot with the lowest count, and its value.
    fn coldest<'a>(&self, set: &'a [AtomicU64], tick: u64) -> Option<(&'a AtomicU64, u64)> {
        let values = set.iter().map(|slot| (slot, load(slot)));
        let counted = values.map(|(slot, value)| {
            let count = self.decayed(Entry::unpack(value), tick);
            (slot, value, count)
        });
        let coldest = counted.min_by(|one, other| one.2.total_cmp(&other.2))?;
        Some((coldest.0, coldest.1))
    }

    fn decayed(&self, entry: Entry, tick: u64) -> f64 {
        let age = TICK.as_secs_f64() * ticks_between(entry.tick, tick) as f64;
        entry.count * (-age / self.half_life.as_secs_f64()).exp2()
    }

    fn set_of(&self, node: BlockHash) -> &[AtomicU64] {
        let set = node.0 as usize & (self.sets - 1);
        &self.slots[set * WAYS..(set + 1) * WAYS]
    }
}

impl Entry {
    fn unpack(value: u64) -> Self {
        Self {
            tag: value >> (TICK_BITS + COUNT_BITS),
            tick: (value >> COUNT_BITS) & mask(TICK_BITS),
            count: (value & mask(COUNT_BITS)) as f64 / COUNT_UNIT,
        }
    }

    fn pack(self) -> u64 {
        let count = ((self.count * COUNT_UNIT).round() as u64).min(mask(COUNT_BITS));
        self.tag << (TICK_BITS + COUNT_BITS) | self.tick << COUNT_BITS | count
    }
}

fn load(slot: &AtomicU64) -> u64 {
    slot.load(Ordering::Relaxed)
}

fn replace(slot: &AtomicU64, expected: u64, entry: Entry) -> Option<f64> {
    slot.compare_exchange(expected, entry.pack(), Ordering::Relaxed, Ordering::Relaxed)
        .ok()
        .map(|_| entry.count)
}

/// The hash's upper bits; never 0, which marks an empty slot.
fn tag_of(node: BlockHash) -> u64 {
    (node.0 >> (TICK_BITS + COUNT_BITS)).max(1)
}

fn tick_at(now: Duration) -> u64 {
    (now.as_millis() / TICK.as_millis()) as u64 & mask(TICK_BITS)
}

/// Ticks from `earlier` to `later`; 0 where another thread's clock reading was a little ahead.
fn ticks_between(earlier: u64, later: u64) -> u64 {
    let difference = later.wrapping_sub(earlier) & mask(TICK_BITS);
    let is_negative = difference > mask(TICK_BITS) / 2;
    if is_negative { 0 } else { difference }
}

fn mask(bits: u32) -> u64 {
    (1 << bits) - 1
}
