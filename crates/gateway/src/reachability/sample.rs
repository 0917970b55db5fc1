//! Which replicas of a service are probed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// At most `count` of `items`, without repetition, in an order that depends on `draw`.
pub fn random_sample<T: Clone>(items: &[T], count: usize, draw: u64) -> Vec<T> {
    let mut order: Vec<usize> = (0..items.len()).collect();
    order.sort_unstable_by_key(|index| xxh3_64_with_seed(&index.to_le_bytes(), draw));
    let chosen = order.into_iter().take(count);
    chosen.map(|index| items[index].clone()).collect()
}
