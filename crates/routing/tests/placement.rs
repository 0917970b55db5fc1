//! Properties of heat, placement and the choice.

use std::time::Duration;

use driftspring_directory::Overlap;
use driftspring_prefix::{BLOCK_BYTES, BlockHash, Fingerprint};
use driftspring_routing::{
    Baseline, BaselineScheduler, Candidate, DecisionReason, EngineKey, HeatSettings, HeatTracker,
    LoadEstimate, Placement, PlacementSettings, Scheduler, SchedulerSettings, ZoneDistance,
};
use driftspring_types::EngineId;
use quickcheck::quickcheck;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const TRAFFIC: BlockHash = BlockHash(99);
const NOW: Duration = Duration::from_secs(1);

fn candidates(count: usize) -> Vec<Candidate> {
    let names = (0..count).map(|number| EngineId::new(format!("engine-{number}")));
    names
        .map(|id| Candidate {
            key: EngineKey::of(&id),
            distance: ZoneDistance::default(),
            load: LoadEstimate::default(),
        })
        .collect()
}

/// A prompt of one block of `root` and one of `leaf`.
fn prompt(root: u8, leaf: u8) -> Fingerprint {
    Fingerprint::of_prompt("salt", &[[root; BLOCK_BYTES], [leaf; BLOCK_BYTES]].concat())
}

fn place(heat: &HeatTracker, fingerprint: &Fingerprint, engines: &[Candidate]) -> Placement {
    let settings = PlacementSettings {
        spread: 1.0,
        ..PlacementSettings::default()
    };
    Placement::of(&settings, heat, TRAFFIC, fingerprint, engines, NOW)
}

quickcheck! {
    fn a_cold_prompt_has_one_home_for_all_daemons(root: u8, leaf: u8, engines: u8) -> bool {
        let engines = candidates(usize::from(engines % 40) + 1);
        let homes = [(); 2].map(|()| {
            let heat = HeatTracker::new(HeatSettings::default());
            place(&heat, &prompt(root, leaf), &engines).order[0]
        });
        homes[0] == homes[1]
    }

    fn losing_an_engine_moves_only_its_own_prompts(root: u8, leaf: u8, lost: u8) -> bool {
        let engines = candidates(12);
        let lost = usize::from(lost) % engines.len();
        let home_of = |engines: &[Candidate]| {
            let heat = HeatTracker::new(HeatSettings::default());
            engines[place(&heat, &prompt(root, leaf), engines).order[0]].key
        };
        let before = home_of(&engines);
        let mut rest = engines.clone();
        rest.remove(lost);
        before == engines[lost].key || home_of(&rest) == before
    }

    fn every_candidate_is_placed_once(root: u8, leaves: Vec<u8>) -> bool {
        let engines = candidates(12);
        let heat = HeatTracker::new(HeatSettings::default());
        leaves.into_iter().all(|leaf| {
            let mut order = place(&heat, &prompt(root, leaf), &engines).order;
            order.sort_unstable();
            order == (0..engines.len()).collect::<Vec<_>>()
        })
    }

    fn the_choice_is_never_costlier_than_the_home(loads: Vec<u16>, overlap: u8) -> bool {
        let mut engines = candidates(12);
        for (engine, load) in engines.iter_mut().zip(loads) {
            engine.load.pending_prefill_tokens = load.into();
        }
        let heat = HeatTracker::new(HeatSettings::default());
        let home = place(&heat, &prompt(1, 2), &engines).order[0];
        let overlap = Overlap { blocks: u32::from(overlap % 3), next_is_expired: false };
        let scheduler = Scheduler::new(SchedulerSettings::new(50.0));
        let decision = scheduler
            .choose("pool", &prompt(1, 2), &engines, |_| overlap, NOW)
            .expect("there are candidates");
        let load = |index: usize| engines[index].load.pending_prefill_tokens;
        load(decision.index) <= load(home)
            && (decision.reason == DecisionReason::Home) == (decision.index == home)
    }

    fn near_engines_come_first(root: u8, distances: Vec<bool>) -> bool {
        let mut engines = candidates(12);
        for (engine, is_far) in engines.iter_mut().zip(distances) {
            engine.distance = ZoneDistance(Duration::from_micros(if is_far { 1500 } else { 0 }));
        }
        let heat = HeatTracker::new(HeatSettings::default());
        let order = place(&heat, &prompt(root, 0), &engines).order;
        order.is_sorted_by_key(|index| engines[*index].distance)
    }

    fn bounded_rendezvous_never_picks_an_engine_above_its_bound(loads: Vec<u16>, root: u8) -> bool {
        let mut engines = candidates(12);
        for (engine, load) in engines.iter_mut().zip(loads) {
            engine.load.pending_prefill_tokens = load.into();
        }
        let total: f64 = engines.iter().map(|engine| engine.load.pending_prefill_tokens).sum();
        let policy = Baseline::Rendezvous { depth_blocks: 1, load_bound: 1.25 };
        let decision = BaselineScheduler::new(policy, 0)
            .choose(&prompt(root, 0), &engines, &mut SmallRng::seed_from_u64(7))
            .expect("there are candidates");
        engines[decision.index].load.pending_prefill_tokens <= total / 12.0 * 1.25 + 512.0
    }
}

#[test]
fn a_hot_prefix_widens_and_narrows_again() {
    let engines = candidates(12);
    let heat = HeatTracker::new(HeatSettings::default());
    let hot = prompt(1, 2);
    for _ in 0..400 {
        place(&heat, &hot, &engines);
    }
    assert_eq!(place(&heat, &hot, &engines).width, 12);
    for _ in 0..400 {
        place(&heat, &prompt(3, 4), &engines);
    }
    let width = place(&heat, &hot, &engines).width;
    assert!(
        (6..=7).contains(&width),
        "half the traffic, half the engines: {width}"
    );
}

#[test]
fn the_leaves_of_a_root_stay_within_its_engines() {
    let engines = candidates(12);
    let heat = HeatTracker::new(HeatSettings::default());
    let place_all = |leaf| [1, 2, 3].map(|root| place(&heat, &prompt(root, leaf), &engines));
    for leaf in 0..=200 {
        place_all(leaf);
    }
    let mut homes: Vec<usize> = (0..=255).map(|leaf| place_all(leaf)[0].order[0]).collect();
    homes.sort_unstable();
    homes.dedup();
    assert!(
        (4..=5).contains(&homes.len()),
        "a third of the engines: {homes:?}"
    );
}

#[test]
fn heat_halves_with_its_half_life() {
    let heat = HeatTracker::new(HeatSettings::default());
    let node = BlockHash(0x1234_5678_9abc_def0);
    for _ in 0..64 {
        heat.observe(node, NOW);
    }
    let later = NOW + HeatSettings::default().half_life;
    let count = heat.count(node, later);
    assert!((31.0..=33.0).contains(&count), "{count}");
    assert_eq!(heat.count(BlockHash(5), later), 0.0);
}
