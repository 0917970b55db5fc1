//! Orders of two lease holders keep the handover gap, even if messages are lost or delayed, and no token is used twice.

use std::time::Duration;

use driftspring_gateway::protocol::{LeaseRecord, ObjectContent, StoredObject, WriteAnswer};
use driftspring_gateway::rollout::{LeaseAction, OrderLease, lease_times};
use driftspring_gateway::store::StorePosition;
use quickcheck::quickcheck;

const DISTANCE: Duration = Duration::from_secs(3);
const NO_JITTER: Duration = Duration::ZERO;

/// The lease object in a store.
#[derive(Default)]
struct Store {
    object: Option<(StorePosition, LeaseRecord)>,
    revision: u64,
}

impl Store {
    fn write(&mut self, record: &LeaseRecord, expected: Option<StorePosition>) -> WriteAnswer {
        if self.object.as_ref().map(|(position, _)| *position) != expected {
            return WriteAnswer::Conflict(self.object.clone().map(|(position, record)| {
                StoredObject {
                    name: "weights".to_owned(),
                    position,
                    content: Ok(ObjectContent::Lease(record)),
                }
            }));
        }
        self.revision += 1;
        let position = StorePosition::unnamed(self.revision);
        self.object = Some((position, record.clone()));
        WriteAnswer::Accepted(position)
    }
}

fn gateway(name: &str) -> OrderLease {
    let mut lease = OrderLease::new(name, 1, lease_times(DISTANCE));
    lease.on_list(Duration::ZERO, None);
    lease
}

fn acquire(lease: &mut OrderLease, store: &mut Store, now: Duration) -> Option<u64> {
    match lease.next_action(now, NO_JITTER) {
        LeaseAction::Hold(token) => Some(token),
        LeaseAction::Wait(_) => None,
        LeaseAction::Write { record, expected } => {
            let answer = store.write(&record, expected);
            lease.on_write(record, now, now, answer);
            lease.token_at(now)
        }
    }
}

fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

#[test]
fn the_first_writer_holds_the_lease_and_the_other_gets_a_conflict() {
    let (mut store, mut one, mut other) = (Store::default(), gateway("one"), gateway("other"));
    assert_eq!(acquire(&mut one, &mut store, at(10)), Some(1));
    assert_eq!(acquire(&mut other, &mut store, at(11)), None);
    assert_eq!(one.token_at(at(500)), Some(1));
}

#[test]
fn a_holder_that_does_not_renew_gives_no_order_after_its_term() {
    let (mut store, mut one) = (Store::default(), gateway("one"));
    acquire(&mut one, &mut store, at(0));
    let term = lease_times(DISTANCE).term;
    assert_eq!(one.token_at(term - at(1)), Some(1));
    assert_eq!(one.token_at(term), None);
}

#[test]
fn another_takes_it_only_after_term_and_distance_and_with_a_higher_token() {
    let (mut store, mut one, mut other) = (Store::default(), gateway("one"), gateway("other"));
    acquire(&mut one, &mut store, at(0));
    let (position, record) = store.object.clone().expect("written");
    other.on_seen(at(20), position, record);
    let times = lease_times(DISTANCE);
    let free_at = at(20) + times.term + times.handover_gap;
    assert_eq!(acquire(&mut other, &mut store, at(400)), None);
    assert_eq!(acquire(&mut other, &mut store, free_at - at(1)), None);
    assert_eq!(acquire(&mut other, &mut store, free_at), Some(2));
}

#[test]
fn a_write_that_is_seen_late_counts_from_when_the_store_had_reached_it() {
    let (mut store, mut one, mut other) = (Store::default(), gateway("one"), gateway("other"));
    acquire(&mut one, &mut store, at(0));
    other.on_store_position(at(40), StorePosition::unnamed(1));
    let (position, record) = store.object.clone().expect("written");
    other.on_seen(at(4000), position, record);
    let times = lease_times(DISTANCE);
    let free_at = at(40) + times.term + times.handover_gap;
    assert_eq!(acquire(&mut other, &mut store, at(4100)), None);
    assert_eq!(acquire(&mut other, &mut store, free_at - at(1)), None);
    assert_eq!(acquire(&mut other, &mut store, free_at), Some(2));
}

#[test]
fn one_that_was_given_back_is_free_after_the_distance() {
    let (mut store, mut one, mut other) = (Store::default(), gateway("one"), gateway("other"));
    acquire(&mut one, &mut store, at(0));
    let (record, position) = one.release().expect("held");
    assert_eq!(one.token_at(at(1)), None);
    store.write(&record, Some(position));
    let (position, record) = store.object.clone().expect("written");
    other.on_seen(at(100), position, record);
    let handover_gap = lease_times(DISTANCE).handover_gap;
    assert_eq!(
        acquire(&mut other, &mut store, at(100) + handover_gap - at(1)),
        None
    );
    assert_eq!(
        acquire(&mut other, &mut store, at(100) + handover_gap),
        Some(2)
    );
}

#[test]
fn a_process_that_was_started_again_takes_up_the_lease_of_its_machine_at_once() {
    let (mut store, mut before) = (Store::default(), gateway("one"));
    acquire(&mut before, &mut store, at(0));
    let mut after = restarted_gateway(2, &store, at(700));
    assert_eq!(acquire(&mut after, &mut store, at(700)), Some(2));
}

#[test]
fn a_fenced_holder_raises_its_token_before_it_orders_again() {
    let (mut store, mut one) = (Store::default(), gateway("one"));
    acquire(&mut one, &mut store, at(0));
    one.on_fenced();
    assert_eq!(one.token_at(at(1)), None);
    assert_eq!(acquire(&mut one, &mut store, at(100)), Some(2));
}

/// Creates a later process of the machine "one" that has read the lease.
fn restarted_gateway(incarnation: u64, store: &Store, now: Duration) -> OrderLease {
    let mut lease = OrderLease::new("one", incarnation, lease_times(DISTANCE));
    lease.on_list(now, store.object.clone());
    lease
}

#[test]
fn an_earlier_incarnation_gives_no_order_once_a_later_one_holds_the_lease() {
    let (mut store, mut before) = (Store::default(), gateway("one"));
    acquire(&mut before, &mut store, at(0));
    let LeaseAction::Write { record, expected } = before.next_action(at(900), NO_JITTER) else {
        panic!("it renews");
    };
    let mut after = restarted_gateway(2, &store, at(950));
    assert_eq!(acquire(&mut after, &mut store, at(950)), Some(2));
    let late = store.write(&record, expected);
    assert!(matches!(late, WriteAnswer::Conflict(_)), "{late:?}");
    before.on_write(record, at(900), at(1000), late);
    assert_eq!(before.token_at(at(1000)), None);
    assert_eq!(after.token_at(at(1000)), Some(2));
}

quickcheck! {
    /// However often a machine's process is restarted, and whatever happens to its writes, each incarnation that may
    /// give orders has a higher token than all earlier ones.
    fn no_later_incarnation_orders_under_a_token_of_an_earlier_one(fates: Vec<(u8, bool)>) -> bool {
        let mut store = Store::default();
        let mut lease = gateway("one");
        let mut delayed = Vec::new();
        let (mut incarnation, mut highest_before, mut highest) = (1, 0, 0);
        for (step, (fate, is_restarted)) in fates.iter().enumerate() {
            let now = at(150 * step as u64 + 10);
            if *is_restarted {
                incarnation += 1;
                highest_before = highest;
                lease = restarted_gateway(incarnation, &store, now);
            }
            write_with_fate(&mut lease, &mut store, &mut delayed, now, *fate);
            if let Some(token) = lease.token_at(now) {
                highest = highest.max(token);
                if token <= highest_before {
                    return false;
                }
            }
        }
        true
    }
}

/// Performs the next write of `lease`: `fate` decides whether it is answered, loses its answer, or takes effect two
/// seconds late.
fn write_with_fate(
    lease: &mut OrderLease,
    store: &mut Store,
    delayed: &mut Vec<(Duration, LeaseRecord, Option<StorePosition>)>,
    now: Duration,
    fate: u8,
) {
    let LeaseAction::Write { record, expected } = lease.next_action(now, NO_JITTER) else {
        return;
    };
    match fate % 4 {
        0 | 1 => {
            let answer = store.write(&record, expected);
            lease.on_write(record, now, now, answer);
        }
        2 => {
            store.write(&record, expected);
            lease.on_write(record, now, now, WriteAnswer::Unknown);
        }
        _ => {
            delayed.push((now + at(2000), record.clone(), expected));
            lease.on_write(record, now, now, WriteAnswer::Unknown);
        }
    }
}

quickcheck! {
    /// Two gateways want the lease all the time. Their writes are answered, lose their answer, or take effect two
    /// seconds late; a gateway may or may not see the object.
    fn no_two_holders_order_within_the_distance(fates: Vec<(u8, u8)>) -> bool {
        let mut store = Store::default();
        let mut gateways = [gateway("one"), gateway("other")];
        let mut delayed = Vec::new();
        let mut last_order: Option<(usize, Duration, u64)> = None;
        for (step, (fate, observation)) in fates.iter().enumerate() {
            let now = at(150 * step as u64 + 10);
            delayed.retain(|(due, record, expected)| {
                let is_due = *due <= now;
                if is_due {
                    store.write(record, *expected);
                }
                !is_due
            });
            let writer = usize::from(fate / 4 % 2);
            write_with_fate(&mut gateways[writer], &mut store, &mut delayed, now, *fate);
            if let Some((position, record)) = store.object.clone().filter(|_| observation % 3 > 0) {
                gateways[usize::from(observation % 2)].on_seen(now, position, record);
            }
            for (index, lease) in gateways.iter().enumerate() {
                let Some(token) = lease.token_at(now) else { continue };
                if let Some((holder, last_at, last_token)) = last_order
                    && holder != index
                    && (now - last_at < DISTANCE || token <= last_token)
                {
                    return false;
                }
                last_order = Some((index, now, token));
            }
        }
        true
    }
}

/// Time for which a gateway may still be behind after the store has recovered (`contactMs`).
const MAX_CATCH_UP_TIME: Duration = Duration::from_millis(3000);

#[test]
fn an_outage_of_the_store_counts_towards_the_wait_for_another_holder() {
    let (mut store, mut one, mut other) = (Store::default(), gateway("one"), gateway("other"));
    acquire(&mut one, &mut store, at(0));
    other.on_list(at(100), store.object.clone());
    // The store is unavailable from 1 s to 20 s; the list read then shows the object that was known before.
    let back = at(20_000);
    other.on_list(back, store.object.clone());
    let wait = match other.next_action(back, NO_JITTER) {
        LeaseAction::Wait(wait) => wait,
        action => panic!("it defers to the last holder first, not {action:?}"),
    };
    assert!(wait < MAX_CATCH_UP_TIME / 4, "{wait:?}");
    assert!(acquire(&mut other, &mut store, back + wait).is_some());
}

#[test]
fn writes_that_fail_again_and_again_are_tried_within_a_second() {
    let mut lease = gateway("one");
    let mut now = at(0);
    for _ in 0..12 {
        let LeaseAction::Write { record, .. } = lease.next_action(now, NO_JITTER) else {
            panic!("nobody holds it");
        };
        lease.on_write(record, now, now, WriteAnswer::Busy);
        if let LeaseAction::Wait(wait) = lease.next_action(now, NO_JITTER) {
            assert!(wait <= MAX_CATCH_UP_TIME / 3, "{wait:?}");
            now += wait;
        }
    }
}
