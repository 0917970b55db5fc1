//! The windows of gateways at a replica that may not be overrun.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::concurrency_window::{ConcurrencyWindow, DividedService, Division};

const TOLERATED: u32 = 2;

fn service(slots: u32, gateways: usize, replicas: usize) -> DividedService {
    DividedService {
        replicas,
        slots,
        gateways,
    }
}

fn even(slots: u32) -> Division {
    Division::new(service(slots, 1, 1), 0, 0)
}

#[test]
fn every_slot_is_dealt_to_one_gateway_and_all_get_as_many() {
    for (slots, gateways, replicas) in [(8, 4, 8), (16, 79, 90), (64, 7, 12), (8, 24, 8)] {
        let mut of_gateway = vec![0; gateways];
        for replica in 0..replicas {
            let divided = service(slots, gateways, replicas);
            let division = |gateway| Division::new(divided, gateway, replica);
            let dealt: f64 = (0..gateways).map(|gateway| division(gateway).slots).sum();
            assert_eq!(dealt as u32, slots);
            for (gateway, sum) in of_gateway.iter_mut().enumerate() {
                *sum += division(gateway).slots as u32;
            }
        }
        let (least, most) = (of_gateway.iter().min(), of_gateway.iter().max());
        let spread = most.expect("some") - least.expect("some");
        assert!(
            spread <= 1,
            "{slots} slots, {gateways} gateways: {of_gateway:?}"
        );
    }
}

#[test]
fn where_a_service_has_fewer_slots_than_gateways_all_get_the_same_part() {
    let divided = service(6, 79, 3);
    let shares: Vec<f64> = (0..79)
        .map(|gateway| Division::new(divided, gateway, 1).slots)
        .collect();
    assert!(
        shares
            .iter()
            .all(|share| *share == shares[0] && *share > 0.0)
    );
    assert!(shares.iter().sum::<f64>() < 6.0);
}

#[test]
fn a_window_has_room_for_its_slots() {
    let now = Instant::now();
    let window = ConcurrencyWindow::new(even(3), 1.0, 0.0, now);
    assert!(window.has_room(0, now) && window.has_room(2, now));
    assert!(!window.has_room(3, now + Duration::from_secs(60)));
}

#[test]
fn a_refusal_shrinks_a_window_once_and_it_grows_back_when_used_up() {
    let start = Instant::now();
    let mut window = ConcurrencyWindow::new(even(10), 1.0, 0.0, start);
    assert!(window.record_refusal(start));
    assert!(!window.record_refusal(start + Duration::from_millis(100)));
    assert!((window.size() - 9.0).abs() < 1e-9, "{window:?}");
    let mut now = start;
    for _ in 0..40 {
        now += Duration::from_millis(100);
        window.record_used_up(TOLERATED, now);
    }
    assert!(window.size() >= 10.0 && window.size() < 11.0, "{window:?}");
}

#[test]
fn a_window_that_is_not_used_up_does_not_grow() {
    let start = Instant::now();
    let mut window = ConcurrencyWindow::new(even(10), 0.5, 0.0, start);
    window.record_used_up(TOLERATED, start + Duration::from_secs(3600));
    assert!((window.size() - 5.0).abs() < 1e-9, "{window:?}");
}

#[test]
fn a_fraction_is_open_for_that_share_of_the_time() {
    let start = Instant::now();
    let work = Duration::from_millis(100);
    let mut window = ConcurrencyWindow::new(even(1), 0.25, 0.0, start);
    let (mut now, mut open_time) = (start, Duration::ZERO);
    while now < start + Duration::from_secs(100) {
        match window.has_room(0, now) {
            true => {
                window.record_begin(0, now);
                now += work;
                open_time += work;
                window.record_end(work);
            }
            false => now += Duration::from_millis(1),
        }
    }
    let share = open_time.as_secs_f64() / 100.0;
    assert!((0.2..=0.27).contains(&share), "{share}");
}

#[test]
fn fewer_slots_take_effect_at_once() {
    let now = Instant::now();
    let mut window = ConcurrencyWindow::new(even(8), 1.0, 0.0, now);
    window.set_division(Division::new(service(8, 4, 1), 1, 0), now);
    assert!(!window.has_room(2, now));
}
