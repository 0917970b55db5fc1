//! The store of kept KV cache: which prefixes warm an engine that returns empty.

use std::collections::{HashMap, HashSet, VecDeque};

use driftspring_prefix::BlockHash;

use super::request::SimulatedRequest;

/// How many of the last requests the store's keeper remembers.
const REMEMBERED: usize = 2000;

/// A prefix that this many of the remembered requests share is kept.
const LEAST_USES: u32 = 4;

/// Blocks imported into one engine at the most.
const MOST_BLOCKS: usize = 768;

/// The shared prefixes of the last requests.
#[derive(Debug, Default)]
pub struct KeptCache {
    recent: VecDeque<(usize, Vec<BlockHash>)>,
}

impl KeptCache {
    /// Notes a request served by `engine`.
    pub fn note(&mut self, request: &SimulatedRequest, engine: usize) {
        if self.recent.len() == REMEMBERED {
            self.recent.pop_front();
        }
        let blocks = request.fingerprint.blocks.clone();
        self.recent.push_back((engine, blocks));
    }

    /// The shared prefixes that `engine` served of late, the newest first.
    pub fn chains_of(&self, engine: usize) -> Vec<Vec<BlockHash>> {
        let mut uses: HashMap<BlockHash, u32> = HashMap::new();
        for block in self.recent.iter().flat_map(|(_, blocks)| blocks) {
            *uses.entry(*block).or_default() += 1;
        }
        let mut imported = HashSet::new();
        let own = self.recent.iter().rev().filter(|(by, _)| *by == engine);
        let mut chains = Vec::new();
        for (_, blocks) in own {
            let shared = blocks.partition_point(|block| uses[block] >= LEAST_USES);
            let chain = blocks[..shared].to_vec();
            imported.extend(chain.iter().copied());
            if imported.len() > MOST_BLOCKS {
                break;
            }
            chains.push(chain);
        }
        chains
    }
}
