//! Admission: limits are kept, permits given back, small tenants not starved.

use std::time::Duration;

use driftspring_limits::{Admission, Permit, RefusalReason, fairness};
use driftspring_types::{KeyHash, Tenant, TenantId};
use governor::clock::FakeRelativeClock;
use quickcheck::quickcheck;

fn tenant(name: &str, requests_per_second: u32, max_concurrent: u32, weight: u32) -> Tenant {
    Tenant {
        id: TenantId::from(name),
        key_hash: KeyHash::of_bearer_key(name),
        requests_per_second,
        max_concurrent,
        weight,
    }
}

fn admit_all(admission: &Admission, tenant: &Tenant, requests: usize) -> Vec<Permit> {
    (0..requests)
        .filter_map(|_| admission.admit(tenant).ok())
        .collect()
}

#[test]
fn rate_is_the_daemons_share_and_at_least_one() {
    let clock = FakeRelativeClock::default();
    let admission = Admission::with_clock(1000, clock.clone());
    let limited = tenant("a", 10, 0, 1);
    let admitted = || {
        (0..50)
            .filter(|_| admission.admit(&limited).is_ok())
            .count()
    };
    assert_eq!(admitted(), 10);
    clock.advance(Duration::from_secs(2));
    admission.set_live_daemons(5);
    assert_eq!(admitted(), 2);
    let refusal = admission.admit(&limited).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TenantRate);
    let half_a_second = Duration::from_millis(500);
    assert!(refusal.retry_after >= half_a_second && refusal.retry_after <= half_a_second * 3 / 2);
    admission.set_live_daemons(380);
    assert_eq!(admitted(), 1);
}

#[test]
fn concurrency_is_limited_and_given_back_on_drop() {
    let admission = Admission::new(1000);
    let limited = tenant("a", 0, 4, 1);
    let permits = admit_all(&admission, &limited, 10);
    assert_eq!(permits.len(), 4);
    let refusal = admission.admit(&limited).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::TenantConcurrency);
    assert!(admission.admit(&tenant("b", 0, 4, 1)).is_ok());
    drop(permits);
    assert_eq!(admission.usage().open(), 0);
    assert_eq!(admission.usage().active_weight(), 0);
    assert_eq!(admit_all(&admission, &limited, 10).len(), 4);
}

#[test]
fn a_flood_leaves_room_and_then_its_fair_share_to_others() {
    const MAX_OPEN: u32 = 100;
    let admission = Admission::new(MAX_OPEN);
    let large = tenant("large", 0, 0, 1);
    let small = tenant("small", 0, 0, 1);
    let mut flood = admit_all(&admission, &large, 1000);
    assert_eq!(flood.len(), 90);
    let mut held = admit_all(&admission, &small, 20);
    assert_eq!(held.len(), 10, "the reserve is free for the newcomer");
    let refusal = admission.admit(&large).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Full);
    assert!(refusal.retry_after > Duration::ZERO);
    // As the flood's requests end, its new ones are refused and the small tenant's admitted.
    flood.truncate(60);
    let refusal = admission.admit(&large).map(drop).err();
    assert_eq!(
        refusal, None,
        "below the pressure threshold nobody is held to a share"
    );
    held.extend(admit_all(&admission, &small, 40));
    assert_eq!(held.len(), 40);
    let refusal = admission.admit(&large).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::Full);
    flood.truncate(55);
    let refusal = admission.admit(&large).unwrap_err();
    assert_eq!(refusal.reason, RefusalReason::AboveFairShare);
}

#[test]
fn changed_weight_and_removed_tenants_keep_the_counts_right() {
    let admission = Admission::new(100);
    let before = admit_all(&admission, &tenant("a", 0, 0, 3), 5);
    let after = admit_all(&admission, &tenant("a", 0, 0, 7), 5);
    assert_eq!(admission.usage().active_weight(), 10);
    admission.retain_tenants(|_| false);
    drop((before, after));
    assert_eq!(admission.usage().active_weight(), 0);
    assert_eq!(admission.usage().open(), 0);
}

quickcheck! {
    /// Whatever is admitted and ended in whatever order: no limit is passed, and under overload
    /// each tenant with a weight gets in up to its share of what is not reserved.
    fn limits_hold_for_any_order(steps: Vec<(u8, bool)>, weights: Vec<u8>) -> bool {
        const MAX_OPEN: u32 = 40;
        let admission = Admission::new(MAX_OPEN);
        let tenants: Vec<Tenant> = (0..4)
            .map(|number| {
                let weight = weights.get(number).copied().unwrap_or(1);
                tenant(&number.to_string(), 0, 15, u32::from(weight))
            })
            .collect();
        let mut open: Vec<Vec<Permit>> = tenants.iter().map(|_| Vec::new()).collect();
        steps.iter().all(|(number, ends)| {
            let number = usize::from(*number) % tenants.len();
            if *ends {
                open[number].pop();
            } else if let Ok(permit) = admission.admit(&tenants[number]) {
                open[number].push(permit);
            }
            let total: usize = open.iter().map(Vec::len).sum();
            let counted = admission.usage().open() as usize;
            counted == total && total <= MAX_OPEN as usize && open[number].len() <= 15
        })
    }

    fn shares_of_all_tenants_fit(max_open: u16, weights: Vec<u8>) -> bool {
        let weights: Vec<u32> = weights.iter().map(|weight| u32::from(*weight).max(1)).collect();
        let active_weight = weights.iter().map(|weight| u64::from(*weight)).sum();
        let shares = weights
            .iter()
            .map(|weight| u64::from(fairness::fair_share(u32::from(max_open), *weight, active_weight)));
        let needed_for_ones = weights.len() as u64;
        shares.sum::<u64>() <= u64::from(max_open) + needed_for_ones
    }
}
