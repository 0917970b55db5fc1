//! The cost function and the load estimate alone.

use std::time::Duration;

use driftspring_directory::Overlap;
use driftspring_prefix::BLOCK_TOKENS;
use driftspring_routing::{
    Cost, CostModel, CostWeights, LoadEstimate, LoadModel, LoadReport, PlacementRank, ZoneDistance,
};
use driftspring_types::EngineLoad;
use quickcheck::quickcheck;

const MODEL: CostModel = CostModel {
    prefill_microseconds_per_token: 50.0,
    microseconds_per_open_request: 3000.0,
    home_prior: 0.5,
    microseconds_per_rank: 1000.0,
    weights: CostWeights {
        waiting: 1.0,
        recompute: 1.0,
        distance: 1.0,
    },
};

fn overlap(blocks: u32) -> Overlap {
    Overlap {
        blocks,
        next_is_expired: false,
    }
}

fn pending(tokens: f64) -> LoadEstimate {
    LoadEstimate {
        pending_prefill_tokens: tokens,
        ..LoadEstimate::default()
    }
}

fn cost(prompt_tokens: u32, blocks: u32, pending_tokens: f64, distance: Duration) -> Cost {
    let distance = ZoneDistance(distance);
    MODEL.cost(
        prompt_tokens,
        overlap(blocks),
        &pending(pending_tokens),
        distance,
    )
}

#[test]
fn is_the_wait_the_missing_tokens_and_the_round_trip() {
    let one_way = Duration::from_micros(1500);
    // 100 tokens wait, 640 - 256 are missing: 484 tokens of 50 us, and 3 ms of way.
    assert_eq!(cost(640, 4, 100.0, one_way), Cost(484.0 * 50.0 + 3000.0));
    assert_eq!(cost(64, 4, 0.0, Duration::ZERO), Cost(0.0));
    let two_open = LoadEstimate {
        open_requests: 2.0,
        ..LoadEstimate::default()
    };
    let distance = ZoneDistance::default();
    let with_open = MODEL.cost(64, overlap(1), &two_open, distance);
    assert_eq!(with_open, Cost(6000.0));
}

#[test]
fn a_home_probably_has_more_than_is_known_and_ranks_cost() {
    let placed = |rank, is_home| {
        let placement = PlacementRank { rank, is_home };
        let load = LoadEstimate::default();
        MODEL.placed_cost(640, overlap(4), &load, ZoneDistance::default(), placement)
    };
    // 384 tokens are not known to be there; a home probably has half of them.
    assert_eq!(placed(0, true), Cost(192.0 * 50.0));
    assert_eq!(placed(0, false), Cost(384.0 * 50.0));
    assert_eq!(placed(3, false), Cost(384.0 * 50.0 + 3000.0));
}

quickcheck! {
    fn falls_with_overlap_and_rises_with_load_and_distance(
        blocks: u8, pending_tokens: u16, distance_ms: u8
    ) -> bool {
        let (blocks, tokens) = (u32::from(blocks), f64::from(pending_tokens));
        let distance = Duration::from_millis(distance_ms.into());
        let prompt_tokens = 300 * BLOCK_TOKENS;
        let base = cost(prompt_tokens, blocks, tokens, distance);
        cost(prompt_tokens, blocks + 1, tokens, distance) < base
            && cost(prompt_tokens, blocks, tokens + 1.0, distance) > base
            && cost(prompt_tokens, blocks, tokens, distance + Duration::from_millis(1)) > base
    }

    fn recomputation_weighs_missing_tokens_only(blocks: u8, pending_tokens: u16) -> bool {
        let weights = CostWeights { recompute: 2.0, ..MODEL.weights };
        let heavy = CostModel { weights, ..MODEL };
        let load = pending(pending_tokens.into());
        let at = |model: &CostModel| {
            model.cost(300 * BLOCK_TOKENS, overlap(blocks.into()), &load, ZoneDistance::default()).0
        };
        let missing = f64::from((300 - u32::from(blocks)) * BLOCK_TOKENS) * 50.0;
        (at(&heavy) - at(&MODEL) - missing).abs() < 1e-6
    }

    fn an_older_report_never_weighs_more(pending_prefill_tokens: u16, age_ms: u16, own: u16) -> bool {
        let report = |age_ms: u64| LoadReport {
            load: EngineLoad { pending_prefill_tokens: pending_prefill_tokens.into(), ..EngineLoad::default() },
            age: Duration::from_millis(age_ms),
            own_pending_tokens: own.into(),
            ..LoadReport::default()
        };
        let model = LoadModel::default();
        let newer = model.estimate(&report(age_ms.into())).pending_prefill_tokens;
        let older = model.estimate(&report(u64::from(age_ms) + 100)).pending_prefill_tokens;
        older <= newer && older >= f64::from(own)
    }
}
