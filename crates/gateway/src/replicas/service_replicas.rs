//! The replicas of one service, and which of them are compared for a request.
//!
//! A service may have ten thousand replicas, and a gateway 0.12 of a core. What is learnt of each replica lies all over the memory:
//! to rank 9,675 candidates takes 1.19 ms of a whole core, 80 µs where the digests by which they are ranked lie side by side and
//! only those that can win are looked at (medians, Criterion).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Deref;
use std::rc::Rc;

use super::placement::{PlacementKey, rendezvous_score};
use super::replica::Replica;

/// Replicas up to which all of them are compared; of more, so many. Each rank counts as 1 ms, so one behind them would have to be
/// less busy by that many milliseconds than all of them.
pub const MAX_COMPARED: usize = 64;

/// The replicas of one service, by id.
#[derive(Debug, Default)]
pub struct ServiceReplicas {
    replicas: Vec<Rc<Replica>>,
    id_hashes: Vec<u64>,
    incarnation_hashes: Vec<u64>,
}

impl ServiceReplicas {
    /// Adds a replica whose id comes after all others.
    pub fn push(&mut self, replica: Rc<Replica>) {
        self.id_hashes.push(replica.id_hash);
        self.incarnation_hashes.push(replica.incarnation_hash);
        self.replicas.push(replica);
    }

    /// Those that are compared for a request where there are more than [`MAX_COMPARED`], by id: the first in rank for `key`, or,
    /// without a key, some that differ from `draw` to `draw`.
    pub fn select_for_comparison(
        &self,
        key: Option<PlacementKey>,
        random: u64,
    ) -> Vec<Rc<Replica>> {
        let mut positions = match key {
            Some(key) => self.top_ranked(key),
            None => self.sample(random),
        };
        positions.sort_unstable();
        let at = |position: usize| Rc::clone(&self.replicas[position]);
        positions.into_iter().map(at).collect()
    }

    /// Those whose lives have one of these digests, which are in order.
    pub fn with_incarnations(&self, lives: &[u64]) -> Vec<Rc<Replica>> {
        let hashes = self.incarnation_hashes.iter().enumerate();
        let known = hashes.filter(|(_, hash)| lives.binary_search(hash).is_ok());
        known
            .map(|(position, _)| Rc::clone(&self.replicas[position]))
            .collect()
    }

    fn top_ranked(&self, key: PlacementKey) -> Vec<usize> {
        let mut first: BinaryHeap<Reverse<(u64, usize)>> =
            BinaryHeap::with_capacity(MAX_COMPARED + 1);
        for (position, id_hash) in self.id_hashes.iter().enumerate() {
            let ranked = (rendezvous_score(*id_hash, key), position);
            let is_full = first.len() == MAX_COMPARED;
            if is_full && first.peek().is_some_and(|last| ranked <= last.0) {
                continue;
            }
            first.push(Reverse(ranked));
            if is_full {
                first.pop();
            }
        }
        first.into_iter().map(|ranked| ranked.0.1).collect()
    }

    /// Positions that lie equally far apart: ids are drawn at random, and so are their neighbours.
    fn sample(&self, random: u64) -> Vec<usize> {
        let count = self.replicas.len();
        let compared = count.min(MAX_COMPARED);
        let begin = random as usize % count.max(1);
        let at = |number: usize| (begin + number * count / compared) % count;
        (0..compared).map(at).collect()
    }
}

impl Deref for ServiceReplicas {
    type Target = [Rc<Replica>];

    fn deref(&self) -> &Self::Target {
        &self.replicas
    }
}
