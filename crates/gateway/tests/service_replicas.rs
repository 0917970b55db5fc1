//! The choice among the replicas of a service that has thousands of them.
//!
//! Guards against a choice that looks at every replica for each request. 985 gateways, most of them with 0.12
//! of a core, had 9,675 replicas to choose from: 2,340 of 23,096 requests took more than half of their
//! objective to reach one, and the code of the gateways used 2,164 s of processor time in 44 s.

#[path = "../../decisions/tests/support/mod.rs"]
mod candidates;
#[path = "support/registry_scene.rs"]
mod registry_scene;

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use candidates::candidate;
use driftspring_clock::Instant;
use driftspring_decisions::placement::{Candidate, PlacementKey, place};
use driftspring_gateway::cache::{PromptHolders, prefixes};
use driftspring_gateway::protocol::PromptPart;
use driftspring_gateway::replicas::{MAX_COMPARED, Registry, Replica, ServiceReplicas};
use quickcheck::quickcheck;

/// The number of replicas of the largest deployment, and about twice as many.
const COUNTS: [usize; 2] = [9_675, 20_000];

fn registry(count: usize) -> Registry {
    let registry = Registry::default();
    for number in 0..count {
        registry.upsert(registry_scene::entry(&format!("r{number}"), None));
    }
    registry.rebuild_index();
    registry
}

/// The replica that `place` chooses while the first in rank is prefilling for `home_prefill`.
fn placed(replicas: &[Rc<Replica>], key: PlacementKey, home_prefill: Duration) -> String {
    let mut candidates: Vec<Candidate> = replicas
        .iter()
        .map(|replica| candidate(replica.id_hash, 0))
        .collect();
    let (_, home) = place(&candidates, Some(key), 0).expect("there are some");
    candidates[home].load.remaining_prefill = home_prefill;
    let (chosen, _) = place(&candidates, Some(key), 0).expect("there are some");
    replicas[chosen].id().to_owned()
}

#[test]
fn the_number_of_compared_replicas_does_not_depend_on_their_total() {
    for count in COUNTS {
        let replicas = registry(count).of_service("service");
        for random in 0..50 {
            let key = Some(PlacementKey(random));
            assert_eq!(
                replicas.select_for_comparison(key, random).len(),
                MAX_COMPARED
            );
            let sample = replicas.select_for_comparison(None, random);
            let ids: HashSet<&str> = sample.iter().map(|replica| replica.id()).collect();
            assert_eq!(ids.len(), MAX_COMPARED, "each one once");
        }
    }
}

#[test]
fn a_prompt_goes_where_a_comparison_of_all_replicas_would_send_it() {
    let replicas = registry(COUNTS[0]).of_service("service");
    for key in (0..20).map(PlacementKey) {
        let compared = replicas.select_for_comparison(Some(key), 0);
        for home_prefill in [Duration::ZERO, Duration::from_millis(400)] {
            assert_eq!(
                placed(&compared, key, home_prefill),
                placed(&replicas, key, home_prefill)
            );
        }
    }
}

#[test]
fn few_preferred_replicas_of_many_are_among_the_compared() {
    // Guards against long prompts that never reach the few replicas reserved for them, since these are not compared.
    let replicas = registry(COUNTS[0]).of_service("service");
    let mut hashes: Vec<u64> = replicas.iter().map(|replica| replica.id_hash).collect();
    hashes.sort_unstable();
    for preferred in [1, 3, 8, 20] {
        let is_preferred = |id_hash: u64| hashes[..preferred].contains(&id_hash);
        for random in 0..20 {
            for key in [Some(PlacementKey(random)), None] {
                let compared = replicas.select_with_preferred(key, random, &is_preferred);
                let ids: HashSet<&str> = compared.iter().map(|replica| replica.id()).collect();
                assert_eq!(ids.len(), compared.len(), "each one once");
                let of_them = compared.iter().filter(|one| is_preferred(one.id_hash));
                assert!(of_them.count() >= preferred.min(8));
                let others = replicas.select_for_comparison(key, random);
                assert!(others.iter().all(|other| ids.contains(other.id())));
            }
        }
    }
}

#[test]
fn requests_without_a_key_reach_all_replicas() {
    let replicas = registry(323).of_service("service");
    let mut seen = HashSet::new();
    for random in 0..323 {
        let sample = replicas.select_for_comparison(None, random);
        seen.extend(sample.iter().map(|replica| replica.id().to_owned()));
    }
    assert_eq!(seen.len(), 323);
}

quickcheck! {
    fn replicas_are_found_by_their_incarnations(count: u8, wanted: Vec<u8>) -> bool {
        let replicas = registry(usize::from(count)).of_service("service");
        let wanted = wanted.into_iter().filter(|number| *number < count);
        let wanted: HashSet<String> = wanted.map(|number| format!("r{number}")).collect();
        let is_wanted = |replica: &&Rc<Replica>| wanted.contains(replica.id());
        let mut incarnation_hashes: Vec<u64> = replicas.iter().filter(is_wanted).map(|one| one.incarnation_hash).collect();
        incarnation_hashes.sort_unstable();
        let found = replicas.with_incarnations(&incarnation_hashes);
        let found: HashSet<String> = found.iter().map(|one| one.id().to_owned()).collect();
        found == wanted
    }
}

#[test]
fn a_service_without_replicas_has_none_to_compare() {
    let none = ServiceReplicas::default();
    assert!(none.select_for_comparison(None, 7).is_empty());
    assert!(
        none.select_for_comparison(Some(PlacementKey(7)), 7)
            .is_empty()
    );
    assert!(none.with_incarnations(&[1, 2]).is_empty());
}

/// Guards against scans of many users of a prefix: one with which a fourth of all prompts begin is sent to some
/// 1,200 replicas within the 20 s for which this is remembered, and each of 500 reports a second went through
/// all of them twice at every gateway.
#[test]
fn only_the_last_users_of_a_prefix_are_remembered() {
    let holders = PromptHolders::default();
    let part = PromptPart {
        id: "head".to_owned(),
        tokens: 2520,
    };
    let prefixes = prefixes("scope", &[part]);
    let replicas = registry(1_200).of_service("service");
    let start = Instant::now();
    for (number, replica) in (0_u64..).zip(replicas.iter()) {
        let now = start + Duration::from_millis(number);
        holders.record(prefixes.iter().map(|prefix| prefix.key), replica, now, now);
    }
    let known = holders.incarnations_with_any(&prefixes);
    assert!(known.len() <= MAX_COMPARED, "{}", known.len());
    let last = replicas.last().expect("there are some");
    assert!(known.contains(&last.incarnation_hash));
    assert!(!known.contains(&replicas[0].incarnation_hash));
}
