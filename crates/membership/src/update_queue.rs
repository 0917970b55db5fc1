//! News that wait to be passed on, each a bounded number of times.

use std::collections::BTreeMap;

/// One piece of news.
#[derive(Debug, Clone, Copy)]
struct Pending {
    transmissions: u32,
    arrival: u64,
}

/// News by the key of the record concerned. What is sent is read from the table at the time of
/// sending, so that a newer state replaces an older one that still waits.
#[derive(Debug, Clone)]
pub struct UpdateQueue<Key> {
    pending: BTreeMap<Key, Pending>,
    max_transmissions: u32,
    arrivals: u64,
}

impl<Key: Ord + Clone> UpdateQueue<Key> {
    /// An empty queue whose news are sent up to `max_transmissions` times each.
    pub fn new(max_transmissions: u32) -> Self {
        Self {
            pending: BTreeMap::new(),
            max_transmissions,
            arrivals: 0,
        }
    }

    /// Adds news of `key`, or starts them anew. News that replace others which were never sent keep
    /// their place, so that a record which changes often still gets its turn.
    pub fn push(&mut self, key: Key) {
        self.arrivals += 1;
        let arrival = self.arrivals;
        let pending = self.pending.entry(key).or_insert(Pending {
            transmissions: 0,
            arrival,
        });
        if pending.transmissions > 0 {
            pending.transmissions = 0;
            pending.arrival = arrival;
        }
    }

    /// Drops the news of `key`.
    pub fn remove(&mut self, key: &Key) {
        self.pending.remove(key);
    }

    /// Whether news of `key` wait.
    pub fn contains(&self, key: &Key) -> bool {
        self.pending.contains_key(key)
    }

    /// How many pieces of news wait.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no news wait.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Offers news to `write`, the least often sent and then the oldest first, until it returns
    /// false because there is no more room.
    pub fn take(&mut self, mut write: impl FnMut(&Key) -> bool) {
        if self.pending.is_empty() {
            return;
        }
        let mut order: Vec<(u32, u64, Key)> = self
            .pending
            .iter()
            .map(|(key, pending)| (pending.transmissions, pending.arrival, key.clone()))
            .collect();
        order.sort_unstable();
        for (_, _, key) in order {
            if !write(&key) {
                return;
            }
            self.count_transmission(&key);
        }
    }

    /// Counts a transmission of all news that satisfy `is_known`: a peer showed that it knows them.
    pub fn count_known_by_a_peer(&mut self, is_known: impl Fn(&Key) -> bool) {
        let max_transmissions = self.max_transmissions;
        self.pending.retain(|key, pending| {
            if is_known(key) {
                pending.transmissions += 1;
            }
            pending.transmissions < max_transmissions
        });
    }

    fn count_transmission(&mut self, key: &Key) {
        let Some(pending) = self.pending.get_mut(key) else {
            return;
        };
        pending.transmissions += 1;
        if pending.transmissions >= self.max_transmissions {
            self.pending.remove(key);
        }
    }
}
