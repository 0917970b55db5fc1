//! Unit tests of single decisions: retry budgets, the plan of weight loads, and replica health.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::budget::RetryBudgets;
use driftspring_gateway::replicas::Health;
use driftspring_gateway::rollout::plan::{PlannedReplica, next_loads, parallel_loads};
use driftspring_settings::GatewayRetries;

fn budgets(ratio: f64, slack: f64) -> RetryBudgets {
    RetryBudgets::new(&GatewayRetries {
        ratio,
        slack,
        window: Duration::from_secs(10),
    })
}

#[test]
fn all_daemons_together_keep_within_the_allowed_repeats() {
    const DAEMONS: usize = 79;
    const REQUESTS: usize = 2225;
    let (ratio, slack) = (0.2, 198.0);
    let mut repeats = 0;
    for _ in 0..DAEMONS {
        let budget = budgets(ratio, slack);
        budget.set_gateways(DAEMONS);
        for _ in 0..REQUESTS / DAEMONS {
            budget.earn("service");
            while budget.try_spend("service") {
                repeats += 1;
            }
        }
    }
    let allowed = ratio * REQUESTS as f64 + slack;
    assert!(
        f64::from(repeats) <= allowed,
        "{repeats} repeats, {allowed} allowed"
    );
}

#[test]
fn budgets_of_services_are_independent() {
    let budget = budgets(0.2, 40.0);
    while budget.try_spend("one") {}
    assert!(budget.try_spend("other"));
}

#[test]
fn a_reload_changes_the_budget() {
    let budget = budgets(0.2, 400.0);
    budget.reload(&GatewayRetries {
        ratio: 0.2,
        slack: 0.0,
        window: Duration::from_secs(10),
    });
    assert!(budget.try_spend("service"));
    assert!(
        !budget.try_spend("service"),
        "without slack only one retry is allowed"
    );
}

fn planned(id: &str, zone: &str, version: Option<u64>, is_loading: bool) -> PlannedReplica {
    PlannedReplica {
        id: id.to_owned(),
        zone: zone.to_owned(),
        outdated_version: version,
        is_loading,
        open_requests: 0,
        remaining_backoff: Duration::ZERO,
        has_expired_weights: false,
        is_unreachable: false,
    }
}

#[test]
fn an_unreachable_replica_does_not_delay_the_loads_of_others() {
    let mut replicas: Vec<PlannedReplica> = (0..10)
        .map(|number| planned(&format!("r{number}"), "a", Some(2), false))
        .collect();
    replicas[0].is_unreachable = true;
    replicas[0].outdated_version = Some(1);
    assert_eq!(next_loads(&replicas), ["r1", "r2"]);
    replicas[1..]
        .iter_mut()
        .for_each(|replica| replica.outdated_version = None);
    assert_eq!(
        next_loads(&replicas),
        ["r0"],
        "it is tried after the others have loaded"
    );
}

#[test]
fn a_fifth_of_the_replicas_load_at_once_rounded_half_up() {
    let loads = [1, 7, 8, 9, 12, 13, 90].map(parallel_loads);
    assert_eq!(loads, [1, 1, 2, 2, 2, 3, 18]);
}

#[test]
fn replicas_out_of_use_load_at_once_beyond_the_limit() {
    let mut replicas: Vec<PlannedReplica> = (0..10)
        .map(|number| planned(&format!("r{number}"), "a", Some(3), false))
        .collect();
    for number in [2, 5, 7] {
        replicas[number].outdated_version = Some(1);
        replicas[number].has_expired_weights = true;
    }
    assert_eq!(next_loads(&replicas), ["r2", "r5", "r7"]);
    replicas[5].remaining_backoff = Duration::from_millis(1);
    assert_eq!(
        next_loads(&replicas),
        ["r2", "r7"],
        "its last order has just failed"
    );
}

#[test]
fn the_oldest_weights_load_first_and_zones_take_turns() {
    let mut replicas: Vec<PlannedReplica> = (0..10)
        .map(|number| planned(&format!("r{number}"), "a", None, false))
        .collect();
    replicas[3] = planned("r3", "a", Some(2), false);
    replicas[4] = planned("r4", "a", Some(1), false);
    replicas[5] = planned("r5", "b", Some(1), false);
    assert_eq!(parallel_loads(10), 2);
    assert_eq!(next_loads(&replicas), ["r4", "r5"]);
    replicas[4].is_loading = true;
    assert_eq!(next_loads(&replicas), ["r5"]);
    replicas[5].is_loading = true;
    assert!(next_loads(&replicas).is_empty());
}

#[test]
fn the_only_replica_is_loaded() {
    assert_eq!(
        next_loads(&[planned("only", "a", Some(1), false)]),
        ["only"]
    );
}

#[test]
fn repeated_failures_increase_the_backoff_of_a_replica() {
    let health = Health::default();
    let now = Instant::now();
    let first = health.record_failure(now);
    let second = health.record_failure(now);
    assert!(second > first);
    assert!(health.is_suspect(now));
    assert!(!health.is_suspect(now + second));
    assert!(health.record_answer());
    assert!(!health.is_suspect(now));
}
