//! The engine: queue, running batch and cache put together.

use driftspring_prefix::{BLOCK_TOKENS, BlockHash};
use driftspring_types::EngineLoad;

use crate::cache::{Insertion, PrefixCache};
use crate::options::EngineOptions;
use crate::queue::PriorityQueue;
use crate::request::{
    CacheChange, EndReason, EngineOutput, EngineRequest, EngineTotals, OutputKind, QueueFull,
    SequenceId,
};
use crate::sequence::Sequence;
use crate::step::Step;
use crate::time::ModelTime;

/// A modelled engine. Times passed to its calls must not go back.
#[derive(Debug)]
pub struct EngineModel {
    options: EngineOptions,
    queue: PriorityQueue,
    running: Vec<Sequence>,
    cache: PrefixCache,
    step: Option<Step>,
    totals: EngineTotals,
    outputs: Vec<EngineOutput>,
}

impl EngineModel {
    /// An idle engine with an empty cache.
    pub fn new(options: EngineOptions) -> Self {
        Self {
            cache: PrefixCache::new(options.cache_capacity_blocks, options.cache_max_age),
            options,
            queue: PriorityQueue::default(),
            running: Vec::new(),
            step: None,
            totals: EngineTotals::default(),
            outputs: Vec::new(),
        }
    }

    /// Takes a request at `now`.
    ///
    /// # Errors
    /// [`QueueFull`] where as many requests wait as may.
    pub fn submit(&mut self, now: ModelTime, request: EngineRequest) -> Result<(), QueueFull> {
        self.run_until(now);
        if self.queue.len() >= self.options.max_queue {
            return Err(QueueFull);
        }
        self.queue.push(request);
        self.begin_step_if_idle(now);
        Ok(())
    }

    /// Ends the request `id` at `now`; false where it is not open.
    pub fn cancel(&mut self, now: ModelTime, id: SequenceId) -> bool {
        self.run_until(now);
        let found = self.queue.remove(id) || self.remove_running(now, id);
        if found {
            self.output_end(now, id, EndReason::Cancelled);
        }
        found
    }

    /// When [`EngineModel::advance`] has something to do next, if nothing else is called before.
    pub fn next_event_at(&self) -> Option<ModelTime> {
        let step_end = self.step.as_ref().map(|step| step.ends_at);
        let times = [step_end, self.cache.next_expiry()];
        times.into_iter().flatten().min()
    }

    /// Runs up to `now`; returns what happened since the last call, in the order of time.
    pub fn advance(&mut self, now: ModelTime) -> Vec<EngineOutput> {
        self.run_until(now);
        std::mem::take(&mut self.outputs)
    }

    /// The present load.
    pub fn load(&self) -> EngineLoad {
        let running_missing = self.running.iter().map(Sequence::missing_tokens);
        let queued_missing = self
            .queue
            .iter()
            .map(|request| self.tokens_missing(request));
        EngineLoad {
            running: self.running.len() as u32,
            queued: self.queue.len() as u32,
            pending_prefill_tokens: running_missing.chain(queued_missing).sum(),
            cached_blocks: self.cache.len() as u32,
            cache_capacity_blocks: self.options.cache_capacity_blocks as u32,
        }
    }

    /// How many blocks of `chain`, from its start, are cached.
    pub fn cached_prefix_blocks(&self, chain: &[BlockHash]) -> usize {
        self.cache.cached_prefix_blocks(chain)
    }

    /// The chain of cached blocks that ends in `block`, from its start; empty where it is not cached.
    pub fn cached_chain(&self, block: BlockHash) -> Vec<BlockHash> {
        self.cache.chain_to(block)
    }

    /// Sums since the model was made.
    pub fn totals(&self) -> EngineTotals {
        self.totals
    }

    /// Caches a chain computed elsewhere; returns how many of its blocks are cached then.
    pub fn import_blocks(&mut self, now: ModelTime, chain: &[BlockHash]) -> usize {
        self.run_until(now);
        let pinned = self.store_chain(now, None, chain);
        self.cache.unpin(now, &chain[..pinned]);
        pinned
    }

    /// Forgets all cached work, as a load of other weights does. Running requests go on.
    pub fn clear_cache(&mut self, now: ModelTime) {
        self.run_until(now);
        for sequence in &mut self.running {
            sequence.pinned_blocks = 0;
            sequence.caching_stopped = true;
        }
        if self.cache.clear() {
            self.output(now, OutputKind::Cache(CacheChange::Cleared));
        }
    }

    /// Loses all requests and all cached work, as a crash does.
    pub fn reset(&mut self, now: ModelTime) {
        self.run_until(now);
        self.step = None;
        let running = std::mem::take(&mut self.running);
        let running_ids = running.iter().map(Sequence::id);
        let queued = self.queue.drain();
        let queued_ids = queued.iter().map(|request| request.id);
        for id in running_ids.chain(queued_ids) {
            self.output_end(now, id, EndReason::Reset);
        }
        if self.cache.clear() {
            self.output(now, OutputKind::Cache(CacheChange::Cleared));
        }
    }

    fn run_until(&mut self, now: ModelTime) {
        while let Some(step) = self.step.take_if(|step| step.ends_at <= now) {
            self.finish_step(&step);
            self.begin_step_if_idle(step.ends_at);
        }
        self.expire(now);
    }

    fn begin_step_if_idle(&mut self, now: ModelTime) {
        if self.step.is_some() {
            return;
        }
        self.expire(now);
        self.admit(now);
        self.step = Step::plan(&self.options, &self.running, now);
    }

    /// Moves requests from the queue into the batch while there is room.
    fn admit(&mut self, now: ModelTime) {
        while self.running.len() < self.options.max_batch {
            let Some(request) = self.queue.pop() else {
                return;
            };
            self.start(now, request);
        }
    }

    fn start(&mut self, now: ModelTime, request: EngineRequest) {
        let cached_blocks = self.usable_blocks(&request);
        self.cache.pin(now, &request.blocks[..cached_blocks]);
        let sequence = Sequence::new(request, cached_blocks);
        let cached_tokens = cached_blocks as u32 * BLOCK_TOKENS;
        self.totals.started += 1;
        self.totals.cached_tokens += u64::from(cached_tokens);
        self.output(
            now,
            OutputKind::Started {
                id: sequence.id(),
                cached_tokens,
            },
        );
        self.running.push(sequence);
    }

    fn usable_blocks(&self, request: &EngineRequest) -> usize {
        if !request.use_cache {
            return 0;
        }
        self.cache.cached_prefix_blocks(&request.blocks)
    }

    fn tokens_missing(&self, request: &EngineRequest) -> u32 {
        let cached_tokens = self.usable_blocks(request) as u32 * BLOCK_TOKENS;
        request.prompt_tokens.saturating_sub(cached_tokens)
    }

    fn finish_step(&mut self, step: &Step) {
        let now = step.ends_at;
        for chunk in &step.prefill {
            self.finish_chunk(now, chunk.id, chunk.tokens);
        }
        for id in &step.decoding {
            self.produce_token(now, *id);
        }
    }

    /// Books a computed part of a prompt; the last part also produces the first token.
    fn finish_chunk(&mut self, now: ModelTime, id: SequenceId, tokens: u32) {
        let Some(position) = self.running_position(id) else {
            return;
        };
        self.totals.prefill_tokens += u64::from(tokens);
        let sequence = &mut self.running[position];
        let prompt_done = sequence.missing_tokens() <= tokens;
        let computed_tokens = sequence.computed_tokens + tokens;
        sequence.computed_tokens = computed_tokens.min(sequence.request.prompt_tokens);
        self.store_computed_blocks(now, position);
        if prompt_done {
            self.produce_token(now, id);
        }
    }

    fn store_computed_blocks(&mut self, now: ModelTime, position: usize) {
        let sequence = &self.running[position];
        if sequence.caching_stopped {
            return;
        }
        let parent = sequence.last_pinned_block();
        let blocks = sequence.unpinned_computed_blocks();
        let pinned = self.store_chain(now, parent, &blocks);
        let sequence = &mut self.running[position];
        sequence.pinned_blocks += pinned;
        sequence.caching_stopped = pinned < blocks.len();
    }

    /// Caches and pins `chain`, which follows `parent`, as far as there is room; returns how far.
    fn store_chain(
        &mut self,
        now: ModelTime,
        parent: Option<BlockHash>,
        chain: &[BlockHash],
    ) -> usize {
        let mut parent = parent;
        let mut stored = Vec::new();
        let mut removed = Vec::new();
        let mut pinned = 0;
        for block in chain {
            match self.cache.insert(now, parent, *block) {
                Insertion::Present => {}
                Insertion::Stored { evicted } => {
                    removed.extend(evicted);
                    stored.push(*block);
                }
                Insertion::NoRoom => break,
            }
            self.cache.pin(now, std::slice::from_ref(block));
            parent = Some(*block);
            pinned += 1;
        }
        self.output_removed(now, removed);
        if !stored.is_empty() {
            self.output(now, OutputKind::Cache(CacheChange::Stored(stored)));
        }
        pinned
    }

    fn produce_token(&mut self, now: ModelTime, id: SequenceId) {
        let Some(position) = self.running_position(id) else {
            return;
        };
        let sequence = &mut self.running[position];
        let index = sequence.produced_tokens;
        sequence.produced_tokens += 1;
        let finished = sequence.is_finished();
        self.totals.decoded_tokens += 1;
        self.output(now, OutputKind::Token { id, index });
        if finished {
            self.remove_running(now, id);
            self.output_end(now, id, EndReason::Length);
        }
    }

    fn remove_running(&mut self, now: ModelTime, id: SequenceId) -> bool {
        let Some(position) = self.running_position(id) else {
            return false;
        };
        let sequence = self.running.remove(position);
        self.cache.unpin(now, sequence.pinned());
        true
    }

    fn running_position(&self, id: SequenceId) -> Option<usize> {
        self.running.iter().position(|sequence| sequence.id() == id)
    }

    fn expire(&mut self, now: ModelTime) {
        let expired = self.cache.expire(now);
        self.output_removed(now, expired);
    }

    fn output_removed(&mut self, now: ModelTime, removed: Vec<BlockHash>) {
        if !removed.is_empty() {
            self.output(now, OutputKind::Cache(CacheChange::Removed(removed)));
        }
    }

    fn output_end(&mut self, now: ModelTime, id: SequenceId, reason: EndReason) {
        self.output(now, OutputKind::Ended { id, reason });
    }

    fn output(&mut self, at: ModelTime, kind: OutputKind) {
        self.outputs.push(EngineOutput { at, kind });
    }
}
