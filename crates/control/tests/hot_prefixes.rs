//! Which prefixes count as hot.

use std::time::Duration;

use driftspring_control::hot_prefixes::{HotPrefixes, PrefixSample};
use driftspring_prefix::{BLOCK_BYTES, BlockHash, Fingerprint};
use driftspring_types::WeightsVersion;
use quickcheck::quickcheck;

/// Bounds of the random prompts: hashing long ones takes most of the time.
const MAX_PROMPTS: usize = 20;
const MAX_BLOCKS: usize = 6;
const VERSION: WeightsVersion = WeightsVersion(1);

/// A prompt of whole blocks, each filled with one of `letters`.
fn blocks(letters: &str) -> Vec<BlockHash> {
    let prompt: Vec<u8> = letters
        .bytes()
        .flat_map(|letter| std::iter::repeat_n(letter, BLOCK_BYTES))
        .collect();
    Fingerprint::of_prompt("salt", &prompt).blocks
}

fn sample(letters: &str, version: WeightsVersion) -> PrefixSample {
    PrefixSample {
        model: "m".into(),
        weights_version: version,
        engine: "e1".into(),
        blocks: blocks(letters),
    }
}

fn hot_after(prompts: &[&str], limit: usize) -> Vec<(BlockHash, usize)> {
    let mut hot = HotPrefixes::default();
    for prompt in prompts {
        hot.observe(Duration::ZERO, sample(prompt, VERSION));
    }
    let hottest = hot.hottest(&"m".into(), VERSION, limit);
    hottest
        .iter()
        .map(|prefix| (prefix.last_block, prefix.blocks))
        .collect()
}

#[test]
fn the_longest_shared_prefix_is_hot() {
    let shared = *blocks("aab").last().expect("a block");
    let hot = hot_after(&["aabx", "aaby", "aabz", "qqqq"], 8);
    assert_eq!(hot, [(shared, 3)]);
}

#[test]
fn prefixes_that_save_more_work_come_first() {
    let long = *blocks("aaaaaaaa").last().expect("a block");
    let prompts = ["b", "b", "b", "b", "aaaaaaaa", "aaaaaaaa", "aaaaaaaa"];
    assert_eq!(hot_after(&prompts, 1), [(long, 8)]);
}

#[test]
fn other_versions_and_old_samples_do_not_count() {
    let mut hot = HotPrefixes::default();
    for _ in 0..5 {
        hot.observe(Duration::ZERO, sample("aa", WeightsVersion(2)));
    }
    assert!(hot.hottest(&"m".into(), VERSION, 8).is_empty());
    assert_eq!(hot.hottest(&"m".into(), WeightsVersion(2), 8).len(), 1);
    hot.observe(Duration::from_secs(60), sample("bb", WeightsVersion(2)));
    assert!(hot.hottest(&"m".into(), WeightsVersion(2), 8).is_empty());
}

quickcheck! {
    fn a_hot_prefix_is_one_of_its_samples_prefixes(prompts: Vec<Vec<bool>>) -> bool {
        let prompts: Vec<String> = prompts
            .iter()
            .take(MAX_PROMPTS)
            .map(|prompt| prompt.iter().take(MAX_BLOCKS).map(|bit| if *bit { 'a' } else { 'b' }).collect())
            .collect();
        let prompts: Vec<&str> = prompts.iter().map(String::as_str).collect();
        hot_after(&prompts, usize::MAX).into_iter().all(|(last_block, length)| {
            let sharing = prompts.iter().filter(|prompt| {
                blocks(prompt).get(length - 1) == Some(&last_block)
            });
            sharing.count() >= 3
        })
    }
}
