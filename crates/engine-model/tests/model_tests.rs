//! Behaviour of the whole engine model in virtual time.

use std::time::Duration;

use driftspring_engine_model::{
    CacheChange, EndReason, EngineModel, EngineOptions, EngineOutput, EngineRequest, ModelTime,
    OutputKind, QueueFull, SequenceId,
};
use driftspring_prefix::{BLOCK_TOKENS, BlockHash, Fingerprint};
use quickcheck::quickcheck;

fn request(id: u64, salt: &str, blocks: u8) -> EngineRequest {
    let prompt = vec![b'x'; usize::from(blocks) * 256 + 10];
    let fingerprint = Fingerprint::of_prompt(salt, &prompt);
    EngineRequest {
        id: SequenceId(id),
        priority: 4,
        blocks: fingerprint.blocks,
        prompt_tokens: fingerprint.prompt_tokens,
        max_tokens: 3,
        use_cache: true,
    }
}

/// Runs the model until it has no open request left; returns all outputs.
fn run_to_end(model: &mut EngineModel, mut now: ModelTime) -> Vec<EngineOutput> {
    let mut outputs = model.advance(now);
    while model.load().running + model.load().queued > 0 {
        now = model
            .next_event_at()
            .expect("open requests, no event")
            .max(now);
        outputs.extend(model.advance(now));
    }
    outputs
}

fn started(outputs: &[EngineOutput]) -> Vec<(u64, u32)> {
    let started = |output: &EngineOutput| match output.kind {
        OutputKind::Started { id, cached_tokens } => Some((id.0, cached_tokens)),
        _ => None,
    };
    outputs.iter().filter_map(started).collect()
}

fn first_token_at(outputs: &[EngineOutput], wanted: u64) -> ModelTime {
    let is_first = |output: &&EngineOutput| matches!(output.kind, OutputKind::Token { id, index: 0 } if id.0 == wanted);
    outputs.iter().find(is_first).expect("no first token").at
}

#[test]
fn a_repeated_prompt_starts_from_the_cache_and_is_faster() {
    let mut model = EngineModel::new(EngineOptions::default());
    model.submit(ModelTime(0), request(1, "a", 40)).unwrap();
    let cold = run_to_end(&mut model, ModelTime(0));
    let begin = ModelTime(1_000_000);
    model.submit(begin, request(2, "a", 40)).unwrap();
    let warm = run_to_end(&mut model, begin);
    assert_eq!(started(&cold), vec![(1, 0)]);
    assert_eq!(started(&warm), vec![(2, 40 * BLOCK_TOKENS)]);
    let cold_wait = first_token_at(&cold, 1).since(ModelTime(0));
    let warm_wait = first_token_at(&warm, 2).since(begin);
    assert!(warm_wait * 10 < cold_wait, "{warm_wait:?} {cold_wait:?}");
}

#[test]
fn salt_and_cold_start_keep_requests_off_cached_work() {
    let mut model = EngineModel::new(EngineOptions::default());
    model.submit(ModelTime(0), request(1, "a", 4)).unwrap();
    model
        .submit(ModelTime(900_000), request(2, "b", 4))
        .unwrap();
    let mut cold = request(3, "a", 4);
    cold.use_cache = false;
    model.submit(ModelTime(1_800_000), cold).unwrap();
    let outputs = run_to_end(&mut model, ModelTime(1_800_000));
    assert_eq!(started(&outputs), vec![(1, 0), (2, 0), (3, 0)]);
}

#[test]
fn higher_priorities_leave_the_queue_first() {
    let options = EngineOptions {
        max_batch: 1,
        ..EngineOptions::default()
    };
    let mut model = EngineModel::new(options);
    for (id, priority) in [(1, 4), (2, 4), (3, 9), (4, 0), (5, 9)] {
        let mut request = request(id, "a", 2);
        request.priority = priority;
        model.submit(ModelTime(0), request).unwrap();
    }
    let outputs = run_to_end(&mut model, ModelTime(0));
    let order: Vec<u64> = started(&outputs).into_iter().map(|(id, _)| id).collect();
    assert_eq!(order, vec![1, 3, 5, 2, 4]);
}

#[test]
fn a_full_queue_refuses() {
    let options = EngineOptions {
        max_batch: 1,
        max_queue: 1,
        ..EngineOptions::default()
    };
    let mut model = EngineModel::new(options);
    model.submit(ModelTime(0), request(1, "a", 2)).unwrap();
    model.submit(ModelTime(0), request(2, "a", 2)).unwrap();
    let refused = model.submit(ModelTime(0), request(3, "a", 2));
    assert_eq!(refused, Err(QueueFull));
}

#[test]
fn a_reset_ends_every_request_and_empties_the_cache() {
    let mut model = EngineModel::new(EngineOptions::default());
    model.submit(ModelTime(0), request(1, "a", 40)).unwrap();
    model.submit(ModelTime(0), request(2, "b", 1)).unwrap();
    model.advance(ModelTime(60_000));
    model.reset(ModelTime(60_001));
    let outputs = model.advance(ModelTime(60_001));
    let ended = |output: &&EngineOutput| {
        matches!(
            output.kind,
            OutputKind::Ended {
                reason: EndReason::Reset,
                ..
            }
        )
    };
    assert_eq!(outputs.iter().filter(ended).count(), 2);
    assert_eq!(
        outputs.last().map(|output| &output.kind),
        Some(&OutputKind::Cache(CacheChange::Cleared))
    );
    assert_eq!(model.load().cached_blocks, 0);
    assert_eq!(model.next_event_at(), None);
}

#[test]
fn imported_blocks_serve_the_next_request_and_expire() {
    let mut model = EngineModel::new(EngineOptions::default());
    let imported = request(1, "a", 5);
    assert_eq!(model.import_blocks(ModelTime(0), &imported.blocks), 5);
    let expiry = model.next_event_at().expect("nothing to expire");
    assert_eq!(expiry.since(ModelTime(0)), Duration::from_secs(5));
    model.submit(ModelTime(10), imported).unwrap();
    let outputs = run_to_end(&mut model, ModelTime(10));
    assert_eq!(started(&outputs), vec![(1, 5 * BLOCK_TOKENS)]);
    model.advance(ModelTime(10_000_000));
    assert_eq!(model.load().cached_blocks, 0);
}

quickcheck! {
    /// Whatever is submitted and cancelled: every request ends once, its tokens come in order, and the
    /// cache events give exactly what is cached at the end.
    fn outputs_are_whole_and_ordered(operations: Vec<(u8, u8, u8, bool)>) -> bool {
        let options = EngineOptions {
            max_batch: 3,
            prefill_chunk_tokens: 100,
            cache_capacity_blocks: 12,
            cache_max_age: Duration::from_millis(40),
            ..EngineOptions::default()
        };
        let mut model = EngineModel::new(options);
        let mut now = ModelTime(0);
        let mut outputs = Vec::new();
        let count = operations.len();
        for (index, (salt, blocks, wait, cancel)) in operations.into_iter().enumerate() {
            now = now + Duration::from_millis(u64::from(wait % 16));
            let salt = ["a", "b", "c"][usize::from(salt % 3)];
            model.submit(now, request(index as u64, salt, blocks % 10)).unwrap();
            if cancel {
                model.cancel(now, SequenceId(index as u64 / 2));
            }
            outputs.extend(model.advance(now));
        }
        outputs.extend(run_to_end(&mut model, now));
        check_outputs(&outputs, count);
        check_cache(&model, &outputs);
        true
    }
}

fn check_outputs(outputs: &[EngineOutput], requests: usize) {
    let mut next_index = vec![0; requests];
    let mut ended = vec![0; requests];
    let mut last = ModelTime(0);
    for output in outputs {
        assert!(output.at >= last, "an output went back in time");
        last = output.at;
        match output.kind {
            OutputKind::Token { id, index } => {
                assert_eq!(ended[id.0 as usize], 0, "a token after the end");
                assert_eq!(index, next_index[id.0 as usize]);
                next_index[id.0 as usize] += 1;
            }
            OutputKind::Ended { id, reason } => {
                ended[id.0 as usize] += 1;
                let whole = next_index[id.0 as usize] == 3;
                assert_eq!(whole, reason == EndReason::Length);
            }
            _ => {}
        }
    }
    assert!(ended.iter().all(|count| *count == 1));
}

fn check_cache(model: &EngineModel, outputs: &[EngineOutput]) {
    let mut cached = std::collections::HashSet::<BlockHash>::new();
    for output in outputs {
        match &output.kind {
            OutputKind::Cache(CacheChange::Stored(blocks)) => {
                assert!(blocks.iter().all(|block| cached.insert(*block)));
            }
            OutputKind::Cache(CacheChange::Removed(blocks)) => {
                assert!(blocks.iter().all(|block| cached.remove(block)));
            }
            OutputKind::Cache(CacheChange::Cleared) => cached.clear(),
            _ => {}
        }
    }
    assert_eq!(cached.len(), model.load().cached_blocks as usize);
}
