//! A rollout never falls below its floor, never loads too many at once, and comes to its end.

use std::collections::HashSet;

use driftspring_control::rollout::{Replica, is_complete, plan_rollout};
use driftspring_types::{
    EngineHealth, EngineId, EngineIntent, Incarnation, ModelRollout, WeightsVersion,
};
use quickcheck::{Arbitrary, Gen, TestResult, quickcheck};

const OLD: WeightsVersion = WeightsVersion(1);
const NEW: WeightsVersion = WeightsVersion(2);

/// A state of a model's replicas at which a new holder of the lease may find them.
#[derive(Debug, Clone)]
struct Situation {
    replicas: Vec<Replica>,
    rollout: ModelRollout,
}

impl Arbitrary for Situation {
    fn arbitrary(g: &mut Gen) -> Self {
        let count = usize::arbitrary(g) % 8 + 1;
        let healths = [
            EngineHealth::Serving,
            EngineHealth::Serving,
            EngineHealth::Serving,
            EngineHealth::Loading,
            EngineHealth::Leaving,
            EngineHealth::Unreachable,
        ];
        let replicas = (0..count).map(|index| Replica {
            id: EngineId::new(format!("e{index}")),
            incarnation: Incarnation(1),
            weights_version: *g.choose(&[OLD, NEW]).unwrap_or(&OLD),
            health: *g.choose(&healths).unwrap_or(&EngineHealth::Serving),
            intent: *g
                .choose(&[
                    EngineIntent::Serve,
                    EngineIntent::Serve,
                    EngineIntent::Drain,
                ])
                .unwrap_or(&EngineIntent::Serve),
            open_requests: u32::from(u8::arbitrary(g)),
        });
        Self {
            replicas: replicas.collect(),
            rollout: ModelRollout {
                model: "m".into(),
                weights_version: NEW,
                max_parallel_loads: u32::arbitrary(g) % 4,
                min_serving: u32::arbitrary(g) % 6,
            },
        }
    }
}

impl Situation {
    fn loading(&self) -> usize {
        let loading = |replica: &&Replica| replica.health == EngineHealth::Loading;
        self.replicas.iter().filter(loading).count()
    }

    fn serving(&self) -> usize {
        let serving = |replica: &&Replica| {
            replica.health == EngineHealth::Serving && replica.intent == EngineIntent::Serve
        };
        self.replicas.iter().filter(serving).count()
    }

    fn begin_loads(&mut self, plan: &[EngineId]) {
        for replica in &mut self.replicas {
            if plan.contains(&replica.id) {
                replica.health = EngineHealth::Loading;
            }
        }
    }

    /// Ends the load of one replica, the `choice`th of those that load.
    fn end_load(&mut self, choice: usize) {
        let count = self.loading();
        let loading = |replica: &&mut Replica| replica.health == EngineHealth::Loading;
        let mut loading: Vec<&mut Replica> = self.replicas.iter_mut().filter(loading).collect();
        if count > 0 {
            let replica = &mut loading[choice % count];
            replica.health = EngineHealth::Serving;
            replica.weights_version = NEW;
        }
    }
}

quickcheck! {
    fn the_floor_and_the_limit_hold_at_each_step(situation: Situation, choices: Vec<usize>) -> TestResult {
        let mut situation = situation;
        for choice in choices {
            let (loading, serving) = (situation.loading(), situation.serving());
            let plan = plan_rollout(&situation.replicas, &situation.rollout, &HashSet::new());
            situation.begin_loads(&plan);
            let limit = loading.max(situation.rollout.max_parallel_loads as usize);
            let floor = serving.min(situation.rollout.min_serving as usize);
            if situation.loading() > limit || situation.serving() < floor {
                return TestResult::error(format!("{plan:?} led to {situation:?}"));
            }
            situation.end_load(choice);
        }
        TestResult::passed()
    }

    fn a_rollout_that_may_take_a_replica_out_comes_to_its_end(situation: Situation) -> bool {
        let mut situation = situation;
        situation.rollout.max_parallel_loads = situation.rollout.max_parallel_loads.max(1);
        situation.rollout.min_serving = 0;
        for _ in 0..2 * situation.replicas.len() {
            let plan = plan_rollout(&situation.replicas, &situation.rollout, &HashSet::new());
            situation.begin_loads(&plan);
            situation.end_load(0);
        }
        is_complete(&situation.replicas, &situation.rollout)
    }

    fn what_was_ordered_counts_as_loading(situation: Situation) -> bool {
        let plan = plan_rollout(&situation.replicas, &situation.rollout, &HashSet::new());
        let ordered: HashSet<EngineId> = plan.into_iter().collect();
        plan_rollout(&situation.replicas, &situation.rollout, &ordered).is_empty()
            || situation.rollout.max_parallel_loads as usize > ordered.len() + situation.loading()
    }
}

#[test]
fn idle_replicas_load_before_busy_ones() {
    let replica = |id: &str, open_requests, intent| Replica {
        id: id.into(),
        incarnation: Incarnation(1),
        weights_version: OLD,
        health: EngineHealth::Serving,
        intent,
        open_requests,
    };
    let replicas = [
        replica("busy", 9, EngineIntent::Serve),
        replica("idle", 0, EngineIntent::Serve),
        replica("drained", 3, EngineIntent::Drain),
    ];
    let rollout = ModelRollout {
        model: "m".into(),
        weights_version: NEW,
        max_parallel_loads: 2,
        min_serving: 1,
    };
    let plan = plan_rollout(&replicas, &rollout, &HashSet::new());
    assert_eq!(plan, ["drained".into(), "idle".into()]);
}
