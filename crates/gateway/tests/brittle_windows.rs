//! The window with which a gateway begins at a replica that is assumed to be brittle.

use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::concurrency_window::{DividedService, Division};
use driftspring_gateway::notices::brittle::{BrittleServices, Brittleness, WindowStart};

const TOLERATED: u32 = 2;

const SLOTS: u32 = 8;

fn start() -> WindowStart {
    let service = DividedService {
        replicas: 2,
        slots: SLOTS,
        gateways: 1,
    };
    WindowStart {
        division: Division::new(service, 0, 0),
        gateways: 1,
        random: 0.0,
        now: Instant::now(),
    }
}

fn size(brittleness: &Brittleness) -> f64 {
    brittleness.get().map_or(0.0, |known| known.window.size())
}

#[test]
fn a_replica_listed_beside_a_brittle_one_gets_all_slots() {
    let brittleness = Brittleness::default();
    brittleness.assume(TOLERATED, start);
    assert_eq!(size(&brittleness), f64::from(SLOTS));
    brittleness.assume_returned(TOLERATED, start);
    assert_eq!(size(&brittleness), f64::from(SLOTS));
}

#[test]
fn a_replica_that_may_have_crashed_gets_half() {
    let returned = Brittleness::default();
    returned.assume_returned(TOLERATED, start);
    assert_eq!(size(&returned), f64::from(SLOTS) / 2.0);
    // Its first answer does not show that it has not crashed.
    returned.record(Some(TOLERATED), start);
    assert_eq!(size(&returned), f64::from(SLOTS) / 2.0);

    let failed = Brittleness::default();
    failed.assume(TOLERATED, start);
    failed.record_failure(start());
    assert_eq!(size(&failed), f64::from(SLOTS) / 2.0);
}

#[test]
fn a_service_turns_out_to_be_brittle_once() {
    let (services, now) = (BrittleServices::default(), Instant::now());
    assert!(services.record("a", TOLERATED, now));
    assert!(!services.record("a", TOLERATED, now + Duration::from_secs(1)));
    assert!(services.record("b", TOLERATED, now));
    // Nothing was heard of it for longer than the assumption holds.
    assert!(services.record("a", TOLERATED, now + Duration::from_secs(3600)));
}
