//! Properties of the prefix cache.

use std::collections::HashSet;
use std::time::Duration;

use driftspring_engine_model::{Insertion, ModelTime, PrefixCache};
use driftspring_prefix::BlockHash;
use quickcheck::quickcheck;

const MAX_AGE: Duration = Duration::from_micros(50);

/// The chain of length `length` in a small tree: chains of equal `branch` share all blocks, others the
/// first two.
fn chain(branch: u8, length: u8) -> Vec<BlockHash> {
    (0..u64::from(length % 6))
        .map(|depth| match depth {
            0 | 1 => BlockHash(depth),
            _ => BlockHash(u64::from(branch % 5) * 100 + depth),
        })
        .collect()
}

/// Stores a chain the way the engine does: each block pinned as it is inserted, all released after.
fn store(
    cache: &mut PrefixCache,
    now: ModelTime,
    blocks: &[BlockHash],
    mirror: &mut HashSet<BlockHash>,
) {
    let mut parent = None;
    let mut pinned = 0;
    for block in blocks {
        match cache.insert(now, parent, *block) {
            Insertion::Present => {}
            Insertion::Stored { evicted } => {
                if let Some(evicted) = evicted {
                    assert!(mirror.remove(&evicted), "evicted a block never stored");
                }
                assert!(mirror.insert(*block), "stored a block twice");
            }
            Insertion::NoRoom => break,
        }
        cache.pin(now, std::slice::from_ref(block));
        parent = Some(*block);
        pinned += 1;
    }
    cache.unpin(now, &blocks[..pinned]);
}

quickcheck! {
    fn events_mirror_the_cache(operations: Vec<(u8, u8, u8)>, capacity: u8) -> bool {
        let capacity = usize::from(capacity % 8) + 1;
        let mut cache = PrefixCache::new(capacity, MAX_AGE);
        let mut mirror = HashSet::new();
        let mut now = ModelTime(0);
        for (branch, length, wait) in operations {
            now = now + Duration::from_micros(u64::from(wait % 20));
            for expired in cache.expire(now) {
                assert!(mirror.remove(&expired), "expired a block never stored");
            }
            let blocks = chain(branch, length);
            store(&mut cache, now, &blocks, &mut mirror);
            assert!(cache.len() <= capacity);
            assert_eq!(cache.len(), mirror.len());
            assert!(mirror.iter().all(|block| cache.contains(*block)));
        }
        true
    }

    fn a_cached_block_has_its_parent(operations: Vec<(u8, u8)>) -> bool {
        let mut cache = PrefixCache::new(7, MAX_AGE);
        let mut mirror = HashSet::new();
        for (index, (branch, length)) in operations.into_iter().enumerate() {
            store(&mut cache, ModelTime(index as u64), &chain(branch, length), &mut mirror);
            for branch in 0..5 {
                let blocks = chain(branch, 5);
                let prefix = cache.cached_prefix_blocks(&blocks);
                assert!(blocks[prefix..].iter().all(|block| !cache.contains(*block)));
            }
        }
        true
    }
}

#[test]
fn the_least_recently_used_leaf_goes_first() {
    let mut cache = PrefixCache::new(4, MAX_AGE);
    let mut mirror = HashSet::new();
    store(&mut cache, ModelTime(1), &chain(1, 3), &mut mirror);
    store(&mut cache, ModelTime(2), &chain(2, 3), &mut mirror);
    store(&mut cache, ModelTime(3), &chain(1, 3), &mut mirror);
    store(&mut cache, ModelTime(4), &chain(3, 3), &mut mirror);
    assert_eq!(cache.cached_prefix_blocks(&chain(1, 3)), 3);
    assert_eq!(cache.cached_prefix_blocks(&chain(2, 3)), 2);
    assert_eq!(cache.cached_prefix_blocks(&chain(3, 3)), 3);
}

#[test]
fn pinned_blocks_neither_expire_nor_are_evicted() {
    let mut cache = PrefixCache::new(2, MAX_AGE);
    let blocks = [BlockHash(1), BlockHash(2)];
    cache.insert(ModelTime(0), None, blocks[0]);
    cache.pin(ModelTime(0), &blocks[..1]);
    cache.insert(ModelTime(0), Some(blocks[0]), blocks[1]);
    cache.pin(ModelTime(0), &blocks[1..]);
    let no_room = cache.insert(ModelTime(1), None, BlockHash(9));
    assert_eq!(no_room, Insertion::NoRoom);
    assert!(cache.expire(ModelTime(1_000)).is_empty());
    cache.unpin(ModelTime(1_000), &blocks);
    assert_eq!(
        cache.expire(ModelTime(1_050)),
        vec![BlockHash(2), BlockHash(1)]
    );
}
