//! Replays generated load of several tenants against fair shares: several gateways that learn of each other's counts
//! late, and replicas as a capacity with a queue. Work and time are continuous, so nothing is drawn at random.

use std::collections::VecDeque;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::fair_share::{
    Claim, ShareController, Signals, admission_probability, over_share_retry_after, waterfill,
};

const GATEWAYS: usize = 4;
const STEP: Duration = Duration::from_millis(10);
const STEPS_PER_UPDATE: usize = 10;
/// Updates after which a gateway knows the counts of the others.
const EXCHANGE_DELAY: usize = 2;
const OBJECTIVE: Duration = Duration::from_millis(500);
const CAPACITY: f64 = 300.0;

/// Work per second, averaged over a second, as the gateways count it.
#[derive(Debug, Clone, Default)]
struct Counts {
    demand: Vec<f64>,
    run: Vec<f64>,
}

impl Counts {
    fn new(tenants: usize) -> Self {
        Self {
            demand: vec![0.0; tenants],
            run: vec![0.0; tenants],
        }
    }

    fn decay(&mut self) {
        let decay = (-STEP.as_secs_f64()).exp();
        let all = self.demand.iter_mut().chain(&mut self.run);
        all.for_each(|rate| *rate *= decay);
    }
}

#[derive(Debug)]
struct Gateway {
    controller: ShareController,
    counts: Counts,
    /// What it has told the others, the latest last.
    told: VecDeque<Counts>,
    admission: Vec<f64>,
}

/// What happens to the gateway 0.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Fault {
    None,
    /// It is cut off from the others between these seconds.
    CutOff(f64, f64),
    /// It forgets everything at this second.
    Restart(f64),
    /// It neither counts nor updates between these seconds, and serves nobody.
    Frozen(f64, f64),
    /// It tells an absurd demand of the tenant 1.
    Nonsense,
}

impl Fault {
    fn is_cut(self, at: f64) -> bool {
        matches!(self, Self::CutOff(from, until) if (from..until).contains(&at))
    }

    fn is_frozen(self, at: f64) -> bool {
        matches!(self, Self::Frozen(from, until) if (from..until).contains(&at))
    }
}

/// The work of each tenant that began in each second, and the longest wait in each second.
#[derive(Debug)]
struct Played {
    run: Vec<Vec<f64>>,
    wait: Vec<Duration>,
}

impl Played {
    /// Work per second of a tenant between two seconds.
    fn rate(&self, tenant: usize, from: usize, until: usize) -> f64 {
        let seconds = self.run[from..until].iter();
        seconds.map(|second| second[tenant]).sum::<f64>() / (until - from) as f64
    }

    /// The used share of the capacity.
    fn used(&self, from: usize, until: usize) -> f64 {
        let seconds = self.run[from..until].iter();
        let run: f64 = seconds.map(|second| second.iter().sum::<f64>()).sum();
        run / (until - from) as f64 / CAPACITY
    }

    fn longest_wait(&self, from: usize, until: usize) -> Duration {
        let waits = self.wait[from..until].iter();
        waits.copied().max().unwrap_or_default()
    }
}

/// Plays `seconds` of a load: `demand` gives the work per second of each tenant at a time.
fn play(
    seconds: usize,
    fault: Fault,
    with_shares: bool,
    capacity: &dyn Fn(f64) -> f64,
    demand: &dyn Fn(f64) -> Vec<f64>,
) -> Played {
    let tenants = demand(0.0).len();
    let new_gateway = || Gateway {
        controller: ShareController::default(),
        counts: Counts::new(tenants),
        told: VecDeque::new(),
        admission: vec![1.0; tenants],
    };
    let mut gateways: Vec<Gateway> = (0..GATEWAYS).map(|_| new_gateway()).collect();
    let began = Instant::now();
    // Work in the queue, by gateway and tenant.
    let mut queued = vec![vec![0.0; tenants]; GATEWAYS];
    let mut played = Played {
        run: vec![vec![0.0; tenants]; seconds],
        wait: vec![Duration::ZERO; seconds],
    };
    let steps = (seconds as f64 / STEP.as_secs_f64()) as usize;
    for step in 0..steps {
        let at = step as f64 * STEP.as_secs_f64();
        let (demand, capacity) = (demand(at), capacity(at));
        let length: f64 = queued.iter().flatten().sum();
        let begun_share = (capacity * STEP.as_secs_f64() / length.max(1e-9)).min(1.0);
        let wait = Duration::from_secs_f64(length / capacity);
        let second = at as usize;
        played.wait[second] = played.wait[second].max(wait);
        for (number, gateway) in gateways.iter_mut().enumerate() {
            gateway.counts.decay();
            let is_frozen = number == 0 && fault.is_frozen(at);
            for tenant in 0..tenants {
                let begun = queued[number][tenant] * begun_share;
                queued[number][tenant] -= begun;
                played.run[second][tenant] += begun;
                gateway.counts.run[tenant] += begun;
                if is_frozen {
                    continue;
                }
                // Callers are spread unevenly: the first gateway gets twice as many as the others.
                let part = if number == 0 { 2.0 } else { 1.0 } / (GATEWAYS + 1) as f64;
                let asked = demand[tenant] * part * STEP.as_secs_f64();
                gateway.counts.demand[tenant] += asked;
                queued[number][tenant] += asked * gateway.admission[tenant];
            }
        }
        if let Fault::Restart(when) = fault
            && step == (when / STEP.as_secs_f64()) as usize
        {
            gateways[0] = new_gateway();
        }
        if with_shares && step % STEPS_PER_UPDATE == 0 {
            let now = began + STEP.mul_f64(step as f64);
            update(&mut gateways, fault, at, wait, now);
        }
    }
    played
}

/// Exchanges counts, and computes the shares at every gateway.
fn update(gateways: &mut [Gateway], fault: Fault, at: f64, wait: Duration, now: Instant) {
    for (number, gateway) in gateways.iter_mut().enumerate() {
        let mut counts = gateway.counts.clone();
        if number == 0 && fault == Fault::Nonsense {
            counts.demand[1] = 1e18;
        }
        // What a silent gateway used is assumed to go on.
        if number != 0 || !(fault.is_cut(at) || fault.is_frozen(at)) {
            gateway.told.push_back(counts);
        }
        if gateway.told.len() > EXCHANGE_DELAY + 1 {
            gateway.told.pop_front();
        }
    }
    let told: Vec<Option<Counts>> = gateways
        .iter()
        .map(|gateway| gateway.told.front().cloned())
        .collect();
    for (number, gateway) in gateways.iter_mut().enumerate() {
        if number == 0 && fault.is_frozen(at) {
            continue;
        }
        let mut known = gateway.counts.clone();
        for (other, told) in told.iter().enumerate() {
            let is_known = other != number && !(number == 0 && fault.is_cut(at));
            if let Some(told) = told.as_ref().filter(|_| is_known) {
                let add = |sum: &mut f64, more: &f64| *sum += more;
                known
                    .demand
                    .iter_mut()
                    .zip(&told.demand)
                    .for_each(|(sum, more)| add(sum, more));
                known
                    .run
                    .iter_mut()
                    .zip(&told.run)
                    .for_each(|(sum, more)| add(sum, more));
            }
        }
        let signals = Signals {
            wait,
            objective: Some(OBJECTIVE),
            run: known.run.iter().sum(),
            demand: known.demand.iter().sum(),
            ..Signals::default()
        };
        gateway.controller.update(&signals, now);
        let claims = known.demand.iter().map(|demand| Claim {
            demand: *demand,
            weight: 1.0,
        });
        let level = match gateway.controller.is_overloaded() {
            true => waterfill(gateway.controller.capacity(), claims.clone()),
            false => f64::INFINITY,
        };
        gateway.admission = claims
            .map(|claim| admission_probability(level, claim))
            .collect();
    }
}

fn steady(_: f64) -> f64 {
    CAPACITY
}

const LIGHT: f64 = 0.2 * CAPACITY;
const HEAVY: f64 = 2.0 * CAPACITY;

fn light_and_heavy(_: f64) -> Vec<f64> {
    vec![LIGHT, HEAVY]
}

/// The light tenant gets all that it asks for, in time, and nothing of the capacity is wasted.
fn assert_fair(played: &Played, from: usize, until: usize) {
    let light = played.rate(0, from, until) / LIGHT;
    assert!(light >= 0.95, "light: {light}");
    let wait = played.longest_wait(from, until);
    assert!(wait <= OBJECTIVE, "wait: {wait:?}");
    let used = played.used(from, until);
    assert!(used >= 0.95, "used: {used}");
}

#[test]
fn a_light_tenant_is_served_in_time_beside_a_heavy_one() {
    assert_fair(
        &play(15, Fault::None, true, &steady, &light_and_heavy),
        1,
        15,
    );
}

/// Guards the replay itself: the same load without shares delays everybody.
#[test]
fn without_shares_the_queue_grows_for_everybody() {
    let played = play(15, Fault::None, false, &steady, &light_and_heavy);
    assert!(played.rate(0, 1, 15) / LIGHT < 0.6);
    assert!(played.longest_wait(1, 15) > 10 * OBJECTIVE);
}

#[test]
fn nobody_is_held_back_without_an_overload() {
    let demand = |at: f64| match (4.0..8.0).contains(&at) {
        true => vec![LIGHT, 0.75 * CAPACITY],
        false => vec![LIGHT, 0.1 * CAPACITY],
    };
    let played = play(12, Fault::None, true, &steady, &demand);
    let run = played.rate(1, 5, 8);
    assert!(run >= 0.999 * 0.75 * CAPACITY, "{run}");
}

#[test]
fn all_burst_together_and_get_equal_parts_of_the_whole_capacity() {
    let demand = |_: f64| (1..=16).map(|number| 10.0 * f64::from(number)).collect();
    let played = play(15, Fault::None, true, &steady, &demand);
    assert!(played.used(2, 15) >= 0.95, "{}", played.used(2, 15));
    let level = waterfill(
        CAPACITY,
        demand(0.0).into_iter().map(|demand| Claim {
            demand,
            weight: 1.0,
        }),
    );
    for (tenant, demand) in demand(0.0).into_iter().enumerate() {
        let (run, share) = (played.rate(tenant, 2, 15), f64::min(demand, level));
        assert!(
            (run / share - 1.0).abs() < 0.1,
            "tenant {tenant}: {run} of {share}"
        );
    }
}

#[test]
fn a_tenant_that_comes_and_goes_takes_its_share_and_leaves_it_to_others() {
    let demand = |at: f64| {
        let visitor = if (5.0..10.0).contains(&at) {
            HEAVY
        } else {
            0.0
        };
        vec![LIGHT, HEAVY, visitor]
    };
    let played = play(16, Fault::None, true, &steady, &demand);
    // Rates are averaged over a second: until a new tenant's demand is known, the queue grows, and the share of one that
    // has left stays unused for as long.
    assert!(played.longest_wait(5, 7) <= 2 * OBJECTIVE);
    for (from, until) in [(1, 5), (7, 10), (12, 16)] {
        assert_fair(&played, from, until);
    }
    let share = (CAPACITY - LIGHT) / 2.0;
    let (known, visitor) = (played.rate(1, 7, 10), played.rate(2, 7, 10));
    assert!((known / share - 1.0).abs() < 0.15, "{known} of {share}");
    assert!((visitor / share - 1.0).abs() < 0.15, "{visitor} of {share}");
    assert!(played.rate(1, 12, 16) >= 0.95 * (CAPACITY - LIGHT));
}

#[test]
fn nobody_is_held_back_once_the_overload_is_over() {
    let demand = |at: f64| match at < 8.0 {
        true => vec![LIGHT, HEAVY],
        false => vec![LIGHT, 0.5 * CAPACITY],
    };
    let played = play(16, Fault::None, true, &steady, &demand);
    let run = played.rate(1, 12, 16);
    assert!(run >= 0.999 * 0.5 * CAPACITY, "{run}");
}

/// The shares have to follow the capacity, which nobody tells.
#[test]
fn half_of_the_replicas_lost_and_back_changes_the_shares() {
    let capacity = |at: f64| match (5.0..12.0).contains(&at) {
        true => 0.5 * CAPACITY,
        false => CAPACITY,
    };
    let played = play(20, Fault::None, true, &capacity, &light_and_heavy);
    assert!(played.rate(0, 6, 20) >= 0.95 * LIGHT);
    assert!(played.longest_wait(8, 12) <= OBJECTIVE);
    let lost = played.used(6, 12);
    assert!(lost >= 0.95 * 0.5, "used while they were lost: {lost}");
    let back = played.used(17, 20);
    assert!(back >= 0.95, "used once they were back: {back}");
}

#[test]
fn small_tenants_among_10_000_are_not_held_back() {
    let demand = |_: f64| {
        let mut all = vec![0.01; 10_000];
        all[0] = HEAVY;
        all
    };
    let played = play(4, Fault::None, true, &steady, &demand);
    let small: f64 = (1..10_000).map(|tenant| played.rate(tenant, 2, 4)).sum();
    assert!(small >= 0.95 * 0.01 * 9_999.0, "{small}");
    assert!(played.used(2, 4) >= 0.95);
}

#[test]
fn a_gateway_cut_off_restarted_or_frozen_does_not_harm_the_light_tenant() {
    let faults = [
        Fault::CutOff(5.0, 9.0),
        Fault::Restart(5.0),
        Fault::Frozen(5.0, 7.0),
    ];
    for fault in faults {
        println!("{fault:?}");
        let played = play(16, fault, true, &steady, &light_and_heavy);
        // While it is frozen, it serves nobody: its callers are missing.
        let expected = if matches!(fault, Fault::Frozen(..)) {
            0.95 * 0.6
        } else {
            0.95
        };
        let light = played.rate(0, 5, 9) / LIGHT;
        assert!(light >= expected, "light: {light}");
        assert_fair(&played, 11, 16);
    }
}

/// A peer that tells an absurd demand of a tenant cuts that tenant, but neither starves it nor touches others.
#[test]
fn nonsense_from_a_peer_is_bounded() {
    let played = play(10, Fault::Nonsense, true, &steady, &light_and_heavy);
    assert!(played.rate(0, 2, 10) >= 0.95 * LIGHT);
    assert!(
        played.rate(1, 2, 10) >= HEAVY / 100.0,
        "{}",
        played.rate(1, 2, 10)
    );
    let absurd = [f64::NAN, f64::INFINITY, -1.0, 0.0].map(|demand| Claim {
        demand,
        weight: 1.0,
    });
    let honest = Claim {
        demand: 10.0,
        weight: 1.0,
    };
    assert_eq!(waterfill(5.0, absurd.into_iter().chain([honest])), 5.0);
}

/// A level that moves by fixed factors, without knowing the capacity: the alternative to the computed level.
fn updates_until_settled(step: impl Fn(f64, f64) -> f64, from: f64, to: f64) -> usize {
    let mut level = from;
    let settled = (0..10_000).find(|_| {
        level = step(level, to);
        (level / to - 1.0).abs() < 0.1
    });
    settled.map_or(usize::MAX, |updates| updates + 1)
}

/// When a heavy tenant leaves, the share of the others rises from 80 to 240. A computed level is right at the next
/// update; one that rises by 5% and falls by 10% needs more than a second, or overshoots by as much as its step.
#[test]
fn a_computed_level_settles_sooner_than_one_that_moves_by_factors() {
    let by_factors = |level: f64, to: f64| {
        if level < to {
            level * 1.05
        } else {
            level * 0.9
        }
    };
    let computed = |_: f64, to: f64| to;
    let slow = updates_until_settled(by_factors, 80.0, 240.0);
    assert_eq!(updates_until_settled(computed, 80.0, 240.0), 1);
    println!("by factors: {slow} updates up");
    assert!(slow > 10);
}

#[test]
fn the_level_follows_the_weights() {
    let claims =
        [(10.0, 1.0), (100.0, 1.0), (100.0, 3.0)].map(|(demand, weight)| Claim { demand, weight });
    let level = waterfill(90.0, claims.into_iter());
    assert!((level - 20.0).abs() < 1e-9, "{level}");
    assert_eq!(waterfill(300.0, claims.into_iter()), f64::INFINITY);
}

#[test]
fn refused_callers_return_spread_over_the_time_that_their_share_needs() {
    let time_left = Duration::from_secs(4);
    let times: Vec<Duration> = (0..100)
        .map(|draw| over_share_retry_after(0.5, time_left, draw))
        .collect();
    let (first, last) = (times.iter().min(), times.iter().max());
    assert!(first >= Some(&Duration::from_millis(100)), "{first:?}");
    assert!(
        last <= Some(&Duration::from_secs_f64(4.0 / 3.0)),
        "{last:?}"
    );
    assert!(last > Some(&Duration::from_secs(1)), "{last:?}");
}
