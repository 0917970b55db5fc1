//! Any interleaving of lists, watches, copies and writes keeps the replica's invariants.

mod support;

use std::collections::BTreeMap;

use driftspring_replication::{MergeRule, Replica};
use driftspring_types::Revision;
use quickcheck::{QuickCheck, TestResult};
use support::{REPLICAS, Step, System};

const RUNS: u64 = 3_000;

fn check(property: fn(Vec<Step>) -> TestResult) {
    QuickCheck::new().tests(RUNS).quickcheck(property);
}

/// The revision of each key, deletions included.
fn revisions(replica: &Replica) -> BTreeMap<String, Revision> {
    let records = replica.records();
    records
        .map(|record| (record.key.clone(), record.revision))
        .collect()
}

/// What is wrong between `before` and `after` of one replica, if anything.
fn regression(before: &Replica, after: &Replica) -> Option<String> {
    if after.complete_to() < before.complete_to() {
        return Some(format!("complete_to fell from {}", before.complete_to()));
    }
    let after = revisions(after);
    let fallen = revisions(before)
        .into_iter()
        .find(|(key, revision)| after.get(key).is_none_or(|now| now < revision));
    fallen.map(|(key, revision)| format!("{key} fell from {revision}"))
}

/// What a replica claims to hold but does not, if anything.
fn false_claim(system: &System, replica: usize) -> Option<String> {
    let complete_to = system.replicas[replica].complete_to();
    let held = system.values(replica);
    let truth = system.store.newest_at(complete_to);
    for (key, newest) in truth.iter().filter(|(key, _)| !key.starts_with("leases/")) {
        let held = held.get(key);
        let is_old = held.is_some_and(|record| record.revision < newest.revision);
        let is_gone = held.is_none() && newest.value.is_some();
        let has_later_deletion = system.replicas[replica]
            .get(key)
            .is_some_and(|record| record.value.is_none() && record.revision > newest.revision);
        if is_old || (is_gone && !has_later_deletion) {
            return Some(format!(
                "complete to {complete_to}, but {key} is {held:?}, not {newest:?}"
            ));
        }
    }
    None
}

fn run(steps: &[Step], rule: MergeRule) -> Result<System, String> {
    let mut system = System::new(rule);
    for (position, step) in steps.iter().enumerate() {
        let before = system.replicas.clone();
        system.take(step);
        for (replica, before) in before.iter().enumerate() {
            let is_restarted =
                matches!(step, Step::Restart { replica: index } if *index == replica);
            let fault = regression(before, &system.replicas[replica])
                .filter(|_| !is_restarted)
                .or_else(|| false_claim(&system, replica));
            if let Some(fault) = fault {
                return Err(format!(
                    "step {position} {step:?}: replica {replica}: {fault}"
                ));
            }
        }
    }
    Ok(system)
}

#[test]
fn revisions_never_fall_and_claims_hold() {
    check(|steps| match run(&steps, MergeRule::HighestRevision) {
        Ok(_) => TestResult::passed(),
        Err(fault) => TestResult::error(fault),
    });
}

#[test]
fn replicas_that_have_exchanged_everything_agree() {
    check(|steps| {
        let Ok(mut system) = run(&steps, MergeRule::HighestRevision) else {
            return TestResult::error("broken before the exchange");
        };
        system.settle();
        for replica in 1..REPLICAS {
            let (first, other) = (system.values(0), system.values(replica));
            let claims = (
                system.replicas[0].complete_to(),
                system.replicas[replica].complete_to(),
            );
            if first != other || claims.0 != claims.1 {
                return TestResult::error(format!("{claims:?}: {first:?} and {other:?}"));
            }
            if let Some(fault) = false_claim(&system, replica) {
                return TestResult::error(fault);
            }
        }
        TestResult::passed()
    });
}

/// The proof above can fail: without the order of revisions some run breaks it.
#[test]
fn last_arrival_breaks_the_invariants() {
    let mut generator = quickcheck::Gen::from_size_and_seed(60, 7);
    let broken = (0..200).any(|_| {
        let steps: Vec<Step> = quickcheck::Arbitrary::arbitrary(&mut generator);
        run(&steps, MergeRule::LastArrival).is_err()
    });
    assert!(broken);
}
