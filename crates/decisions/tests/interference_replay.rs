//! Interference: replays of the load of two customers, at normal load and with a quarter of the replicas lost.

mod replay;

use replay::engine::Speed;
use replay::{Customer, Kind, Late, Mode, replay};

const S: Customer = Customer {
    gateways: 26,
    tenants: 74,
    speed: Speed {
        step_ms: 4.39,
        prefill_tokens_per_ms: 69.8,
        chunk_tokens: 2048.0,
    },
    pause_target_ms: 300,
    long: Kind {
        per_second: 124.0,
        shared_tokens: 6300.0,
        own_tokens: 2890.0,
        output_tokens: 7,
        objective_ms: 600.0,
    },
    short: Kind {
        per_second: 181.0,
        shared_tokens: 198.0,
        own_tokens: 628.0,
        output_tokens: 42,
        objective_ms: 400.0,
    },
};

const U: Customer = Customer {
    gateways: 73,
    tenants: 16,
    speed: Speed {
        step_ms: 5.05,
        prefill_tokens_per_ms: 40.8,
        chunk_tokens: 4096.0,
    },
    pause_target_ms: 600,
    long: Kind {
        per_second: 86.5,
        shared_tokens: 6300.0,
        own_tokens: 2890.0,
        output_tokens: 9,
        objective_ms: 1500.0,
    },
    short: Kind {
        per_second: 236.0,
        shared_tokens: 198.0,
        own_tokens: 628.0,
        output_tokens: 49,
        objective_ms: 500.0,
    },
};

/// Replays per case.
const SEEDS: std::ops::RangeInclusive<u64> = 1..=6;

/// Mean of the replays of all seeds.
fn mean(customer: Customer, mode: Mode, is_overload: bool) -> Late {
    let runs: Vec<_> = SEEDS
        .map(|seed| std::thread::spawn(move || replay(&customer, mode, is_overload, seed)))
        .collect();
    let count = runs.len() as f64;
    let mut mean = Late::default();
    for run in runs {
        let late = run.join().expect("a replay");
        mean.short_by_first_event += late.short_by_first_event / count;
        mean.short_by_pause += late.short_by_pause / count;
        mean.long_by_first_event += late.long_by_first_event / count;
        mean.long_by_pause += late.long_by_pause / count;
    }
    mean
}

/// Replays the load with each mode, prints what was late, and returns the figures without any cost of interference and
/// with both costs.
fn compare(name: &str, customer: Customer, is_overload: bool) -> (Late, Late) {
    let modes = [Mode::Off, Mode::Stall, Mode::Separate, Mode::Both];
    let late = modes.map(|mode| mean(customer, mode, is_overload));
    for (mode, late) in modes.iter().zip(late) {
        println!("customer {name}, overload {is_overload}, {mode:?}: {late:.3?}, seeds {SEEDS:?}");
    }
    (late[0], late[3])
}

/// Fails if `bound` does not tell the two choices apart: without the cost the load is late, with it in time.
fn assert_only_kept_is_below(bound: f64, off: f64, kept: f64) {
    assert!(
        off > bound,
        "the replay is too easy: {off:.3} without the cost, bound {bound}"
    );
    assert!(
        kept <= bound,
        "{kept:.3} are late, bound {bound}; {off:.3} without the cost"
    );
}

// Guards against placing long prompts beside streams that can't tolerate them: streams then pause for too long, and
// short prompts start late.

#[test]
fn customer_s_at_normal_load() {
    let (off, kept) = compare("S", S, false);
    // Few are late here without the cost; it must not add to them.
    assert!(kept.short_by_pause <= off.short_by_pause, "{kept:?}");
    assert!(
        kept.short_by_first_event <= off.short_by_first_event,
        "{kept:?}"
    );
    assert!(kept.long_by_first_event <= 0.02, "{kept:?}");
}

#[test]
fn customer_s_with_a_quarter_of_the_replicas_lost() {
    let (off, kept) = compare("S", S, true);
    assert_only_kept_is_below(0.05, off.short_by_pause, kept.short_by_pause);
    assert!(
        kept.short_by_first_event <= off.short_by_first_event,
        "{kept:?}"
    );
    // Long prompts go to replicas that have to fetch their shared part.
    assert!(
        kept.long_by_first_event <= off.long_by_first_event + 0.06,
        "{kept:?}"
    );
}

#[test]
fn customer_u_at_normal_load() {
    let (off, kept) = compare("U", U, false);
    assert_only_kept_is_below(0.003, off.short_by_pause, kept.short_by_pause);
    assert_only_kept_is_below(0.015, off.short_by_first_event, kept.short_by_first_event);
    assert!(kept.long_by_first_event <= 0.01, "{kept:?}");
}

#[test]
fn customer_u_with_a_quarter_of_the_replicas_lost() {
    let (off, kept) = compare("U", U, true);
    assert_only_kept_is_below(0.03, off.short_by_pause, kept.short_by_pause);
    assert_only_kept_is_below(0.1, off.short_by_first_event, kept.short_by_first_event);
    assert!(
        kept.long_by_first_event <= off.long_by_first_event + 0.02,
        "{kept:?}"
    );
}
