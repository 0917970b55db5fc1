//! The replicas of one service, and the selection of those that are compared for a request.
//!
//! A service may have ten thousand replicas, and a gateway 0.12 of a core. The data of the replicas is
//! scattered over memory: ranking 9,675 candidates takes 1.19 ms of a whole core, but 80 µs if the hashes by
//! which they are ranked are contiguous and only candidates that can win are looked at (medians, Criterion).

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::ops::Deref;
use std::rc::Rc;

use driftspring_decisions::placement::{PlacementKey, rendezvous_score};

use super::replica::Replica;

/// Largest number of replicas that are compared for a request. Each rank costs 1 ms, so a replica of a lower
/// rank would win only if it were less busy than all of these by that many milliseconds.
pub const MAX_COMPARED: usize = 64;

/// Least number of compared replicas that a request prefers, if there are so many in the service. The compared replicas
/// are chosen without regard to the load, so a single one may be busy.
const MIN_PREFERRED: usize = 8;

/// The replicas of one service, by id.
#[derive(Debug, Default)]
pub struct ServiceReplicas {
    replicas: Vec<Rc<Replica>>,
    id_hashes: Vec<u64>,
    incarnation_hashes: Vec<u64>,
}

impl ServiceReplicas {
    /// Adds a replica whose id is greater than all others.
    pub fn push(&mut self, replica: Rc<Replica>) {
        self.id_hashes.push(replica.id_hash);
        self.incarnation_hashes.push(replica.incarnation_hash);
        self.replicas.push(replica);
    }

    /// Selects the replicas that are compared for a request when there are more than [`MAX_COMPARED`], by id:
    /// the first in rank for `key` or, without a key, a sample that depends on `random`.
    pub fn select_for_comparison(
        &self,
        key: Option<PlacementKey>,
        random: u64,
    ) -> Vec<Rc<Replica>> {
        self.in_order(self.positions_for_comparison(key, random))
    }

    /// The same for a request that prefers the replicas whose id has a suitable hash. If few of these are selected, further
    /// ones are added, so that the cost decides.
    pub fn select_with_preferred(
        &self,
        key: Option<PlacementKey>,
        random: u64,
        is_preferred: &dyn Fn(u64) -> bool,
    ) -> Vec<Rc<Replica>> {
        let mut positions = self.positions_for_comparison(key, random);
        let is_one = |position: &&usize| is_preferred(self.id_hashes[**position]);
        if positions.iter().filter(is_one).count() < MIN_PREFERRED {
            positions.extend(match key {
                Some(key) => self.top_ranked(key, MIN_PREFERRED, is_preferred),
                None => self.next_preferred(random, is_preferred),
            });
        }
        self.in_order(positions)
    }

    fn positions_for_comparison(&self, key: Option<PlacementKey>, random: u64) -> Vec<usize> {
        match key {
            Some(key) => self.top_ranked(key, MAX_COMPARED, &|_| true),
            None => self.sample(random),
        }
    }

    /// The replicas at these positions, each once, by id.
    fn in_order(&self, mut positions: Vec<usize>) -> Vec<Rc<Replica>> {
        positions.sort_unstable();
        positions.dedup();
        let at = |position: usize| Rc::clone(&self.replicas[position]);
        positions.into_iter().map(at).collect()
    }

    /// The replicas whose incarnations have one of these hashes, which must be sorted.
    pub fn with_incarnations(&self, incarnation_hashes: &[u64]) -> Vec<Rc<Replica>> {
        let hashes = self.incarnation_hashes.iter().enumerate();
        let known = hashes.filter(|(_, hash)| incarnation_hashes.binary_search(hash).is_ok());
        known
            .map(|(position, _)| Rc::clone(&self.replicas[position]))
            .collect()
    }

    /// The first `count` in rank among those whose id has a suitable hash.
    fn top_ranked(
        &self,
        key: PlacementKey,
        count: usize,
        is_suitable: &dyn Fn(u64) -> bool,
    ) -> Vec<usize> {
        let mut top: BinaryHeap<Reverse<(u64, usize)>> = BinaryHeap::with_capacity(count + 1);
        for (position, id_hash) in self.id_hashes.iter().enumerate() {
            if !is_suitable(*id_hash) {
                continue;
            }
            let ranked = (rendezvous_score(*id_hash, key), position);
            let is_full = top.len() == count;
            if is_full && top.peek().is_some_and(|last| ranked <= last.0) {
                continue;
            }
            top.push(Reverse(ranked));
            if is_full {
                top.pop();
            }
        }
        top.into_iter().map(|ranked| ranked.0.1).collect()
    }

    /// The first preferred replicas from a random position on.
    fn next_preferred(&self, random: u64, is_preferred: &dyn Fn(u64) -> bool) -> Vec<usize> {
        let count = self.id_hashes.len();
        let start = random as usize % count.max(1);
        let positions = (start..count).chain(0..start);
        let preferred = positions.filter(|position| is_preferred(self.id_hashes[*position]));
        preferred.take(MIN_PREFERRED).collect()
    }

    /// Equally spaced positions. Ids are random, and so neighbours are as well.
    fn sample(&self, random: u64) -> Vec<usize> {
        let count = self.replicas.len();
        let compared = count.min(MAX_COMPARED);
        let start = random as usize % count.max(1);
        let at = |number: usize| (start + number * count / compared) % count;
        (0..compared).map(at).collect()
    }
}

impl Deref for ServiceReplicas {
    type Target = [Rc<Replica>];

    fn deref(&self) -> &Self::Target {
        &self.replicas
    }
}
