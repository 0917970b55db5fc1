//! One holder and its table: times of issue, bounded memory, concurrent claims, release.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use driftspring_claims::{
    Attempt, ClaimAnswer, ClaimHolder, ClaimKey, ClaimRequest, EpochState, HolderRules,
    ReleaseRequest, UnixMillis,
};
use driftspring_types::{ClaimGroup, ClaimGroupMember, DaemonId, FencingToken, Incarnation};

const RULES: HolderRules = HolderRules {
    clock_skew_bound: Duration::from_secs(1),
    key_maximum_age: Duration::from_secs(600),
    abstain: true,
};

/// When the holder began to hold.
const BEGAN: UnixMillis = UnixMillis(1_000_000_000);

fn group(epoch: u64, incarnation: u64) -> ClaimGroup {
    ClaimGroup {
        epoch,
        holders: vec![ClaimGroupMember {
            daemon: DaemonId::from("a"),
            incarnation: Incarnation(incarnation),
        }],
        fencing_token: FencingToken(1),
    }
}

fn active_holder() -> ClaimHolder {
    let holder = ClaimHolder::new(DaemonId::from("a"), Incarnation(7), RULES);
    holder.apply_group(&group(1, 7), BEGAN);
    holder
}

fn request(key: u64, issued_at: UnixMillis, attempt: u64) -> ClaimRequest {
    ClaimRequest {
        epoch: 1,
        key: ClaimKey::from_hash(key),
        issued_at,
        attempt: Attempt::from_number(attempt),
    }
}

fn after_began(millis: u64) -> UnixMillis {
    UnixMillis(BEGAN.0 + millis)
}

#[test]
fn times_of_issue_at_their_limits() {
    let holder = active_holder();
    let now = after_began(700_000);
    let cases = [
        (after_began(2_000), ClaimAnswer::KeyTooOld),
        (after_began(100_000), ClaimAnswer::Granted),
        (after_began(99_999), ClaimAnswer::KeyTooOld),
        (after_began(701_000), ClaimAnswer::Granted),
        (after_began(701_001), ClaimAnswer::KeyInFuture),
    ];
    for (key, (issued_at, expected)) in cases.into_iter().enumerate() {
        let answer = holder.claim(&request(key as u64 + 1, issued_at, 1), now);
        assert_eq!(answer, expected, "issued {issued_at:?}");
    }
    let holder = active_holder();
    let early = holder.claim(&request(1, after_began(2_000), 1), after_began(5_000));
    assert_eq!(early, ClaimAnswer::Abstained);
    let known = holder.claim(&request(1, after_began(2_001), 1), after_began(5_000));
    assert_eq!(known, ClaimAnswer::Granted);
}

#[test]
fn a_clock_set_back_does_not_revive_forgotten_keys() {
    let holder = active_holder();
    let issued_at = after_began(3_000);
    let first = holder.claim(&request(1, issued_at, 1), after_began(4_000));
    assert_eq!(first, ClaimAnswer::Granted);
    holder.forget_old_claims(after_began(900_000));
    let repeated = holder.claim(&request(1, issued_at, 2), after_began(4_000));
    assert_eq!(repeated, ClaimAnswer::KeyTooOld);
}

#[test]
fn only_the_holding_attempt_releases() {
    let holder = active_holder();
    let issued_at = after_began(5_000);
    let now = after_began(6_000);
    let release = |attempt| {
        holder.release(&ReleaseRequest {
            epoch: 1,
            key: ClaimKey::from_hash(1),
            issued_at,
            attempt: Attempt::from_number(attempt),
        });
    };
    assert_eq!(
        holder.claim(&request(1, issued_at, 1), now),
        ClaimAnswer::Granted
    );
    assert_eq!(
        holder.claim(&request(1, issued_at, 1), now),
        ClaimAnswer::HeldByOther
    );
    release(2);
    assert_eq!(
        holder.claim(&request(1, issued_at, 2), now),
        ClaimAnswer::HeldByOther
    );
    release(1);
    assert_eq!(
        holder.claim(&request(1, issued_at, 2), now),
        ClaimAnswer::Granted
    );
}

#[test]
fn a_later_life_waits_and_a_sealed_one_never_returns() {
    let holder = ClaimHolder::new(DaemonId::from("a"), Incarnation(8), RULES);
    holder.apply_group(&group(1, 7), BEGAN);
    assert_eq!(holder.status().state, EpochState::Recovering { epoch: 1 });
    let claim = request(1, after_began(9_000), 1);
    assert_eq!(
        holder.claim(&claim, after_began(9_000)),
        ClaimAnswer::NotHolding
    );
    holder.seal(1);
    assert!(!holder.recover(1, after_began(9_000)));
    holder.apply_group(&group(2, 8), after_began(9_000));
    assert_eq!(holder.status().state, EpochState::Active { epoch: 2 });
    holder.apply_group(&group(1, 8), after_began(9_000));
    assert_eq!(holder.status().state, EpochState::Active { epoch: 2 });
}

#[test]
fn memory_is_bounded_and_given_back() {
    const KEYS: u64 = 200_000;
    const WINDOW_LIMIT_BYTES: usize = 2 * 1024 * 1024;
    let holder = active_holder();
    let issued_at = after_began(60_000);
    let mut granted = 0;
    let mut full = 0;
    for key in 1..=KEYS {
        let spread = key.wrapping_mul(0x9E37_79B9_7F4A_7C15);
        match holder.claim(&request(spread, issued_at, 1), issued_at) {
            ClaimAnswer::Granted => granted += 1,
            ClaimAnswer::Full => full += 1,
            other => panic!("unexpected {other:?}"),
        }
    }
    assert!(
        granted > 60_000 && full > 0,
        "granted {granted}, full {full}"
    );
    assert!(holder.claim_bytes() <= WINDOW_LIMIT_BYTES);
    holder.forget_old_claims(after_began(60_000 + 700_000));
    assert_eq!(holder.claim_bytes(), 0);
}

#[test]
fn of_many_threads_one_gets_each_key() {
    const THREADS: u64 = 8;
    const KEYS: u64 = 20_000;
    let holder = Arc::new(active_holder());
    let granted = Arc::new(AtomicUsize::new(0));
    std::thread::scope(|scope| {
        for thread in 1..=THREADS {
            let (holder, granted) = (Arc::clone(&holder), Arc::clone(&granted));
            scope.spawn(move || {
                for key in 1..=KEYS {
                    let issued_at = after_began(60_000 + key);
                    let answer =
                        holder.claim(&request(key, issued_at, thread), after_began(80_000));
                    if answer == ClaimAnswer::Granted {
                        granted.fetch_add(1, Ordering::Relaxed);
                    }
                }
            });
        }
    });
    assert_eq!(granted.load(Ordering::Relaxed), KEYS as usize);
}
