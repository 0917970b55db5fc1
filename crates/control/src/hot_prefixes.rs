//! Which prompt prefixes are worth warming a cold engine with.

use std::collections::{HashMap, HashSet, VecDeque};
use std::time::Duration;

use driftspring_prefix::BlockHash;
use driftspring_types::{EngineId, ModelName, WeightsVersion};

/// Samples remembered.
const MAX_SAMPLES: usize = 512;
/// How long a sample is remembered; engines evict unused blocks within seconds.
const SAMPLE_AGE: Duration = Duration::from_secs(30);
/// A prefix is hot where at least so many samples and this share of those of its model have it.
const MIN_SAMPLES: usize = 3;
const MIN_SHARE: f64 = 0.05;

/// The prefix of one answered request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixSample {
    /// The model.
    pub model: ModelName,
    /// The weights that answered it. Cached work of one version is worthless for another.
    pub weights_version: WeightsVersion,
    /// The engine that answered it, and so has the prefix cached.
    pub engine: EngineId,
    /// The chained block hashes of the prompt, from the first block on.
    pub blocks: Vec<BlockHash>,
}

/// A prefix that many requests share.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HotPrefix {
    /// Its last block; it names the whole chain.
    pub last_block: BlockHash,
    /// Its length in blocks.
    pub blocks: usize,
    /// Samples that have it.
    pub samples: usize,
    /// The engine that answered the newest one.
    pub engine: EngineId,
}

/// The newest samples.
#[derive(Debug, Default)]
pub struct HotPrefixes {
    samples: VecDeque<(Duration, PrefixSample)>,
}

impl HotPrefixes {
    /// Takes in a sample at `now`, the time since any fixed moment.
    pub fn observe(&mut self, now: Duration, sample: PrefixSample) {
        self.samples.push_back((now, sample));
        while self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
        while let Some((at, _)) = self.samples.front()
            && now.saturating_sub(*at) > SAMPLE_AGE
        {
            self.samples.pop_front();
        }
    }

    /// The models and weights versions of which there are samples.
    pub fn versions(&self) -> HashSet<(ModelName, WeightsVersion)> {
        let samples = self.samples.iter();
        samples
            .map(|(_, sample)| (sample.model.clone(), sample.weights_version))
            .collect()
    }

    /// Up to `limit` hot prefixes of a model's version, those that save the most work first. Of each
    /// sample the longest hot prefix counts; importing it brings its shorter ones along.
    pub fn hottest(
        &self,
        model: &ModelName,
        version: WeightsVersion,
        limit: usize,
    ) -> Vec<HotPrefix> {
        let samples: Vec<&PrefixSample> = self
            .samples
            .iter()
            .map(|(_, sample)| sample)
            .filter(|sample| sample.model == *model && sample.weights_version == version)
            .collect();
        let counts = count_blocks(&samples);
        let share = (samples.len() as f64 * MIN_SHARE).ceil() as usize;
        let threshold = share.max(MIN_SAMPLES);
        let mut hot: HashMap<BlockHash, HotPrefix> = HashMap::new();
        for sample in samples {
            if let Some(prefix) = longest_hot(sample, &counts, threshold) {
                hot.insert(prefix.last_block, prefix);
            }
        }
        let mut hot: Vec<HotPrefix> = hot.into_values().collect();
        hot.sort_by_key(|prefix| {
            let saved_blocks = prefix.samples * prefix.blocks;
            (std::cmp::Reverse(saved_blocks), prefix.last_block.0)
        });
        hot.truncate(limit);
        hot
    }
}

fn count_blocks(samples: &[&PrefixSample]) -> HashMap<BlockHash, usize> {
    let mut counts = HashMap::new();
    for block in samples.iter().flat_map(|sample| &sample.blocks) {
        *counts.entry(*block).or_default() += 1;
    }
    counts
}

/// The longest prefix of `sample` that at least `threshold` samples have.
fn longest_hot(
    sample: &PrefixSample,
    counts: &HashMap<BlockHash, usize>,
    threshold: usize,
) -> Option<HotPrefix> {
    let count_of = |block: &BlockHash| counts.get(block).copied().unwrap_or_default();
    // A chained hash stands for all blocks before it, so that counts never rise along a prompt.
    let blocks = sample
        .blocks
        .partition_point(|block| count_of(block) >= threshold);
    let last_block = *sample.blocks.get(blocks.checked_sub(1)?)?;
    Some(HotPrefix {
        last_block,
        blocks,
        samples: count_of(&last_block),
        engine: sample.engine.clone(),
    })
}
