//! The memory of a holder: a lock-free table of claims, in windows of the keys' time of issue.
//!
//! Within a window, a slot once taken by a key keeps it. So the bucket in which a key is found, or
//! would be inserted, is the same for all threads, and one compare-and-swap decides who claims
//! first. Whole windows are dropped once every key in them is too old.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::key::{ClaimKey, UnixMillis};
use crate::message::Attempt;
use crate::sync::{AtomicU64, Ordering};

/// The span of times of issue that share one window.
pub const WINDOW: Duration = Duration::from_secs(60);

/// Slots of a window's first segment; each further segment has twice as many.
const FIRST_SEGMENT_SLOTS: usize = 4096;

/// Segments of a window at the most: with 16 bytes a slot, 2 MiB a window.
const MAX_SEGMENTS: u32 = 5;

/// Slots in which one key may stand within a segment.
const BUCKET_SLOTS: usize = 8;

/// A slot that no key has taken.
const EMPTY: u64 = 0;

/// The attempt of a claim that was given back.
const RELEASED: u64 = 0;

/// What became of an insertion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Insertion {
    /// The attempt holds the key now, and did not before.
    Inserted,
    /// An attempt holds the key, be it this one or another.
    Occupied,
    /// There is no room.
    Full,
}

/// One claim.
struct Slot {
    key: AtomicU64,
    attempt: AtomicU64,
}

/// Whose slot it is.
enum SlotOwner {
    SameKey,
    OtherKey,
}

impl Slot {
    fn empty() -> Self {
        Self {
            key: AtomicU64::new(EMPTY),
            attempt: AtomicU64::new(RELEASED),
        }
    }

    /// Takes the slot for `key` where it is empty, and tells whose it is.
    fn take_for(&self, key: ClaimKey) -> SlotOwner {
        let found =
            self.key
                .compare_exchange(EMPTY, key.hash(), Ordering::AcqRel, Ordering::Acquire);
        match found {
            Ok(_) => SlotOwner::SameKey,
            Err(other) if other == key.hash() => SlotOwner::SameKey,
            Err(_) => SlotOwner::OtherKey,
        }
    }

    /// Gives the slot's key to `attempt` unless an attempt holds it.
    fn claim(&self, attempt: Attempt) -> Insertion {
        let swapped = self.attempt.compare_exchange(
            RELEASED,
            attempt.number(),
            Ordering::AcqRel,
            Ordering::Acquire,
        );
        match swapped {
            Ok(_) => Insertion::Inserted,
            Err(_) => Insertion::Occupied,
        }
    }

    /// Takes the key from `attempt`, if that holds it.
    fn release(&self, attempt: Attempt) -> bool {
        self.attempt
            .compare_exchange(
                attempt.number(),
                RELEASED,
                Ordering::AcqRel,
                Ordering::Acquire,
            )
            .is_ok()
    }
}

/// A fixed number of slots, and the next segment once a bucket of this one has overflowed.
pub struct Segment {
    slots: Box<[Slot]>,
    next: OnceLock<Box<Segment>>,
    segments_left: u32,
}

impl Segment {
    /// An empty segment with `slots` slots (a power of two, at least one bucket) that may grow by
    /// `segments_left` further ones.
    pub fn new(slots: usize, segments_left: u32) -> Self {
        Self {
            slots: (0..slots).map(|_| Slot::empty()).collect(),
            next: OnceLock::new(),
            segments_left,
        }
    }

    /// The slots in which `key` may stand.
    fn bucket(&self, key: ClaimKey) -> &[Slot] {
        let buckets = self.slots.len() / BUCKET_SLOTS;
        let first = (key.hash() as usize % buckets) * BUCKET_SLOTS;
        &self.slots[first..first + BUCKET_SLOTS]
    }

    /// Gives `key` to `attempt` unless an attempt holds it.
    pub fn insert(&self, key: ClaimKey, attempt: Attempt) -> Insertion {
        for slot in self.bucket(key) {
            if let SlotOwner::SameKey = slot.take_for(key) {
                return slot.claim(attempt);
            }
        }
        if self.segments_left == 0 {
            return Insertion::Full;
        }
        self.next
            .get_or_init(|| {
                Box::new(Self::new(
                    self.slots.len().saturating_mul(2),
                    self.segments_left - 1,
                ))
            })
            .insert(key, attempt)
    }

    /// Takes `key` from `attempt`, if that holds it.
    pub fn release(&self, key: ClaimKey, attempt: Attempt) -> bool {
        let stands_here = self
            .bucket(key)
            .iter()
            .find(|slot| slot.key.load(Ordering::Acquire) == key.hash());
        match (stands_here, self.next.get()) {
            (Some(slot), _) => slot.release(attempt),
            (None, Some(next)) => next.release(key, attempt),
            (None, None) => false,
        }
    }

    /// The memory of the slots, in bytes, further segments included.
    pub fn slot_bytes(&self) -> usize {
        let own = self.slots.len() * size_of::<Slot>();
        own + self.next.get().map_or(0, |next| next.slot_bytes())
    }
}

/// The claims on keys issued within one window.
struct Window {
    index: u64,
    claims: Segment,
}

/// All claims of one epoch.
pub struct ClaimTable {
    windows: ArcSwap<Vec<Arc<Window>>>,
    /// Keys issued before this time (Unix milliseconds) are refused, for their window may be gone.
    oldest_kept: AtomicU64,
}

impl ClaimTable {
    /// A table without claims.
    pub fn new() -> Self {
        Self {
            windows: ArcSwap::from_pointee(Vec::new()),
            oldest_kept: AtomicU64::new(0),
        }
    }

    /// Gives `key` to `attempt` unless an attempt holds it; nothing where the key is too old to be
    /// kept. The caller has checked that `issued_at` is not far in the future.
    pub fn insert(
        &self,
        key: ClaimKey,
        issued_at: UnixMillis,
        attempt: Attempt,
    ) -> Option<Insertion> {
        let insertion = self.window(issued_at).claims.insert(key, attempt);
        // Looked at after the insertion: where this thread recreated a window that was dropped in
        // between, it also sees the limit that was raised before the drop.
        let is_kept = issued_at.0 >= self.oldest_kept.load(Ordering::Acquire);
        is_kept.then_some(insertion)
    }

    /// Takes `key` from `attempt`, if that holds it.
    pub fn release(&self, key: ClaimKey, issued_at: UnixMillis, attempt: Attempt) -> bool {
        let index = window_index(issued_at);
        let windows = self.windows.load();
        let window = windows.iter().find(|window| window.index == index);
        window.is_some_and(|window| window.claims.release(key, attempt))
    }

    /// Forgets every key issued before `oldest`, in whole windows; such keys are refused from now
    /// on.
    pub fn forget_before(&self, oldest: UnixMillis) {
        let first_kept = window_index(oldest);
        let window_millis = WINDOW.as_millis() as u64;
        self.oldest_kept
            .fetch_max(first_kept * window_millis, Ordering::AcqRel);
        let is_old = |window: &Arc<Window>| window.index < first_kept;
        if !self.windows.load().iter().any(is_old) {
            return;
        }
        self.windows.rcu(|windows| {
            let kept = windows.iter().filter(|window| !is_old(window));
            kept.cloned().collect::<Vec<_>>()
        });
    }

    /// The memory of all slots, in bytes.
    pub fn slot_bytes(&self) -> usize {
        let windows = self.windows.load();
        windows
            .iter()
            .map(|window| window.claims.slot_bytes())
            .sum()
    }

    /// The window of keys issued at `issued_at`, made where there is none.
    fn window(&self, issued_at: UnixMillis) -> Arc<Window> {
        let index = window_index(issued_at);
        if let Some(window) = find_window(&self.windows.load(), index) {
            return window;
        }
        let made = Arc::new(Window {
            index,
            claims: Segment::new(FIRST_SEGMENT_SLOTS, MAX_SEGMENTS - 1),
        });
        let mut chosen = Arc::clone(&made);
        self.windows
            .rcu(|windows| match find_window(windows, index) {
                Some(window) => {
                    chosen = window;
                    Arc::clone(windows)
                }
                None => {
                    chosen = Arc::clone(&made);
                    let mut extended = windows.as_ref().clone();
                    extended.push(Arc::clone(&made));
                    Arc::new(extended)
                }
            });
        chosen
    }
}

impl Default for ClaimTable {
    fn default() -> Self {
        Self::new()
    }
}

fn find_window(windows: &[Arc<Window>], index: u64) -> Option<Arc<Window>> {
    windows
        .iter()
        .find(|window| window.index == index)
        .map(Arc::clone)
}

fn window_index(issued_at: UnixMillis) -> u64 {
    issued_at.0 / WINDOW.as_millis() as u64
}
