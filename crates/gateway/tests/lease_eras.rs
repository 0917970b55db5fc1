//! The order lease on a store that is restored from a copy: no token is given out twice, and no two holders may give
//! orders at the same time.

mod lease_store;

use driftspring_gateway::protocol::{ObjectContent, StoredObject, Unreadable, UnreadableReason};
use driftspring_gateway::rollout::token::{MAX_TOKEN, era_floor, next_token, token_bound};
use driftspring_gateway::rollout::{LeaseAction, OrderLease, lease_record, lease_times};
use driftspring_gateway::store::{StoreEra, StorePosition};
use lease_store::{DISTANCE, Store, acquire, at, gateway, read, step};
use quickcheck::quickcheck;

/// Time after which a gateway that knows only the copy may give orders: the holder of the lost lease has stopped by
/// then, and its last order is at least the handover gap old.
fn takeover_wait() -> std::time::Duration {
    let times = lease_times(DISTANCE);
    times.term + times.handover_gap
}

#[test]
fn a_token_that_was_lost_with_the_copy_is_not_given_out_again() {
    // A copy is made while "one" holds the lease under the first token. It stops, and "other" takes the lease under the
    // next token. The copy does not contain that, so a later holder would use the same token if it derived its token
    // from the copy.
    let mut store = Store::new();
    let mut one = gateway("one", 1, &store, at(0));
    let (_, first) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    let copy = store.revision;
    let mut other = gateway("other", 1, &store, at(6000));
    let (held_at, second) = acquire(&mut other, &mut store, at(6000), at(14_000)).expect("held");
    assert!(second > first);
    store.restore_copy(copy);
    let mut third = gateway("third", 1, &store, held_at + at(100));
    let taken = acquire(
        &mut third,
        &mut store,
        held_at + at(100),
        held_at + at(20_000),
    );
    let (_, token) = taken.expect("held");
    assert!(token > second, "{token} after {second}");
}

#[test]
fn a_machine_named_in_the_copy_waits_for_a_later_holder() {
    // The copy names a machine whose lease another one has taken since and still uses. Neither the process that wrote
    // the record nor its restarted successor may take the old lease again.
    for incarnation in [1, 2] {
        let mut store = Store::new();
        let mut one = gateway("one", 1, &store, at(0));
        acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
        let copy = store.revision;
        let mut other = gateway("other", 1, &store, at(6000));
        let (held_at, token) = acquire(&mut other, &mut store, at(6000), at(14_000)).expect("held");
        store.restore_copy(copy);
        let restored_at = held_at + at(200);
        if incarnation == 1 {
            read(&mut one, &store, restored_at);
        } else {
            one = gateway("one", incarnation, &store, restored_at);
        }
        assert_eq!(other.token_at(restored_at), Some(token));
        let taken = acquire(&mut one, &mut store, restored_at, restored_at + at(20_000));
        let (taken_at, _) = taken.expect("held");
        let earliest = restored_at + takeover_wait();
        assert!(
            taken_at >= earliest,
            "incarnation {incarnation}: {taken_at:?} before {earliest:?}"
        );
    }
}

#[test]
fn a_lease_that_was_given_back_before_the_copy_is_not_free_at_once() {
    let mut store = Store::new();
    let mut one = gateway("one", 1, &store, at(0));
    acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    let (record, position) = one.release().expect("held");
    store.write(&record, Some(position));
    let copy = store.revision;
    let mut other = gateway("other", 1, &store, at(6000));
    let (held_at, _) = acquire(&mut other, &mut store, at(6000), at(14_000)).expect("held");
    store.restore_copy(copy);
    let restored_at = held_at + at(200);
    let mut third = gateway("third", 1, &store, restored_at);
    let taken = acquire(
        &mut third,
        &mut store,
        restored_at,
        restored_at + at(20_000),
    );
    let (taken_at, _) = taken.expect("held");
    let earliest = restored_at + takeover_wait();
    assert!(taken_at >= earliest, "{taken_at:?} before {earliest:?}");
}

#[test]
fn a_lease_that_is_missing_in_a_new_era_is_not_free_at_once() {
    let mut store = Store::new();
    let mut other = gateway("other", 1, &store, at(0));
    let mut one = gateway("one", 1, &store, at(0));
    let copy = store.revision;
    let (held_at, lost) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    store.restore_copy(copy);
    let restored_at = held_at + at(200);
    read(&mut other, &store, restored_at);
    let taken = acquire(
        &mut other,
        &mut store,
        restored_at,
        restored_at + at(20_000),
    );
    let (taken_at, token) = taken.expect("held");
    let earliest = restored_at + takeover_wait();
    assert!(taken_at >= earliest, "{taken_at:?} before {earliest:?}");
    assert!(token > lost, "{token} after {lost}");
}

#[test]
fn a_lease_that_cannot_be_read_in_a_new_era_gives_no_lower_token() {
    // The tokens of a lease that can't be read are assumed to be no higher than its revision. After the restore the
    // revision is lower than tokens that have been given out since the copy.
    let mut store = Store::new();
    store.write_unrelated(10);
    let mut one = gateway("one", 1, &store, at(0));
    let (mut held_at, mut lost) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    for _ in 0..4 {
        one.on_fenced();
        let raised = acquire(&mut one, &mut store, held_at, held_at + at(1000));
        (held_at, lost) = raised.expect("held");
    }
    store.restore_copy(2);
    let broken = StoredObject {
        name: "weights".to_owned(),
        position: store.position(),
        content: Err::<ObjectContent, _>(Unreadable {
            reason: UnreadableReason::Syntax,
            detail: "broken".to_owned(),
        }),
    };
    let mut other = gateway("other", 1, &Store::new(), at(0));
    other.on_store_position(held_at, store.position());
    other.on_list(held_at, Some((store.position(), lease_record(&broken))));
    let takeover_at = held_at + takeover_wait();
    assert!(matches!(
        other.next_action(takeover_at - at(1), at(0)),
        LeaseAction::Wait(_)
    ));
    let LeaseAction::Write { record, .. } = other.next_action(takeover_at + at(400), at(0)) else {
        panic!("it is free");
    };
    assert!(record.token > lost, "{} after {lost}", record.token);
    assert!(record.token > 2, "{}", record.token);
}

#[test]
fn the_holder_goes_on_under_a_lease_that_is_written_anew_before_its_term_ends() {
    let mut store = Store::new();
    let mut one = gateway("one", 1, &store, at(0));
    store.write_unrelated(5);
    let (held_at, lost) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    store.restore_copy(3);
    let restored_at = held_at + at(400);
    read(&mut one, &store, restored_at);
    let token = step(&mut one, &mut store, restored_at).expect("it goes on");
    assert!(token > lost, "{token} after {lost}");
    let term = lease_times(DISTANCE).term;
    assert_eq!(one.token_at(restored_at + term - at(1)), Some(token));
    assert_eq!(one.token_at(restored_at + term), None);
}

#[test]
fn the_last_holder_takes_it_again_at_once_as_long_as_nobody_can_have_taken_it_since() {
    // The term of the last holder has ended, but every other gateway also has to wait for the handover gap. Otherwise
    // weights named just after the restore would wait 5 s for the lost lease.
    let times = lease_times(DISTANCE);
    let exclusive_time = times.term + times.handover_gap;
    for (elapsed, may_take) in [(exclusive_time - at(1), true), (exclusive_time, false)] {
        let mut store = Store::new();
        let mut one = gateway("one", 1, &store, at(0));
        let (held_at, lost) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
        store.restore_copy(0);
        let now = held_at + elapsed;
        one.on_idle();
        read(&mut one, &store, now);
        assert_eq!(one.token_at(now), None);
        let token = step(&mut one, &mut store, now);
        assert_eq!(token.is_some(), may_take, "{elapsed:?}");
        assert!(token.is_none_or(|token| token > lost));
    }
}

#[test]
fn a_gateway_that_released_the_lease_or_was_refused_does_not_count_as_last_holder() {
    for is_refused in [true, false] {
        let mut store = Store::new();
        let mut one = gateway("one", 1, &store, at(0));
        let (held_at, _) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
        match is_refused {
            true => one.on_fenced(),
            false => drop(one.release()),
        }
        store.restore_copy(0);
        read(&mut one, &store, held_at + at(300));
        assert_eq!(step(&mut one, &mut store, held_at + at(300)), None);
    }
}

#[test]
fn a_holder_that_cannot_reach_the_restored_store_stops_at_the_end_of_its_term() {
    let mut store = Store::new();
    let mut one = gateway("one", 1, &store, at(0));
    let (held_at, _) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    store.restore_copy(0);
    one.on_store_position(held_at + at(400), store.position());
    let term = lease_times(DISTANCE).term;
    assert!(one.token_at(held_at + term - at(1)).is_some());
    assert_eq!(one.token_at(held_at + term), None);
}

#[test]
fn a_write_of_an_earlier_era_that_takes_effect_late_gives_no_lease() {
    // A renewal is in flight when the store fails. It reaches the restored copy, where the revision that it expects has
    // been given out again, for another holder's lease.
    let mut store = Store::new();
    let mut one = gateway("one", 1, &store, at(0));
    let (first_held_at, _) = acquire(&mut one, &mut store, at(0), at(6000)).expect("held");
    let late_at = first_held_at + at(900);
    let LeaseAction::Write { record, expected } = one.next_action(late_at, at(0)) else {
        panic!("it renews");
    };
    store.restore_copy(0);
    let restored_at = first_held_at + at(1000);
    let mut other = gateway("other", 1, &store, restored_at);
    let (held_at, token) = acquire(
        &mut other,
        &mut store,
        restored_at,
        restored_at + at(20_000),
    )
    .expect("held");
    let answer = store.write(&record, expected);
    one.on_write(record, late_at, held_at + at(10), answer);
    assert_eq!(one.token_at(held_at + at(10)), None);
    // A gateway that reads the record afterwards, or starts then, does not take it for its own either.
    read(&mut one, &store, held_at + at(20));
    assert_eq!(step(&mut one, &mut store, held_at + at(20)), None);
    let mut later = gateway("one", 2, &store, held_at + at(20));
    assert_eq!(step(&mut later, &mut store, held_at + at(20)), None);
    // The holder continues.
    read(&mut other, &store, held_at + at(30));
    let renewed = step(&mut other, &mut store, held_at + at(900)).expect("it goes on");
    assert!(renewed >= token);
}

#[test]
fn only_a_first_start_of_all_takes_a_missing_lease_at_once() {
    let mut store = Store::new();
    let mut first = OrderLease::new("one", 1, lease_times(DISTANCE)).at_first_start(true);
    read(&mut first, &store, at(100));
    assert!(step(&mut first, &mut store, at(100)).is_some());

    let mut store = Store::new();
    let mut later = OrderLease::new("one", 1, lease_times(DISTANCE));
    read(&mut later, &store, at(100));
    assert_eq!(step(&mut later, &mut store, at(100)), None);

    // The first start does not apply to the next era.
    let mut first = OrderLease::new("one", 1, lease_times(DISTANCE)).at_first_start(true);
    read(&mut first, &store, at(100));
    store.restore_copy(0);
    read(&mut first, &store, at(200));
    assert_eq!(step(&mut first, &mut store, at(200)), None);
}

#[test]
fn repeated_refusals_raise_the_token_past_those_seen_by_replicas() {
    // All gateways were restarted, and the restored store names no era. No gateway knows the lost tokens, and replicas
    // only report that they have seen a higher one.
    let mut store = Store::new();
    let mut lease = gateway("one", 1, &store, at(0));
    let (mut now, mut token) = acquire(&mut lease, &mut store, at(0), at(6000)).expect("held");
    let seen_by_replicas = token + 1_000_000;
    let mut refusals = 0;
    while token < seen_by_replicas {
        lease.on_fenced();
        refusals += 1;
        let raised = acquire(&mut lease, &mut store, now, now + at(2000)).expect("held");
        assert!(raised.1 > token);
        (now, token) = raised;
    }
    assert!(refusals <= 21, "{refusals}");
}

quickcheck! {
    /// The next token in a later era is above all tokens given out in an earlier one, whatever the next holder knows,
    /// as long as no era uses up its range of tokens.
    fn tokens_of_a_later_era_are_higher(era: u16, later: u16, given_out: u16, known: u32) -> bool {
        let (era, later) = (u64::from(era), u64::from(era) + 1 + u64::from(later));
        let mut token = 0;
        for _ in 0..given_out % 50 {
            token = next_token(token, StoreEra::named(era), 0);
        }
        let known = u64::from(known);
        let next = next_token(known, StoreEra::named(later), 0);
        next > token && next > known && next <= MAX_TOKEN
    }

    /// The next token is above the known ones, and never above the largest integer that JSON readers represent exactly.
    fn the_next_token_is_above_what_is_known(highest: u64, era: Option<u64>, refusals: u32) -> bool {
        let highest = highest.min(MAX_TOKEN);
        let next = next_token(highest, StoreEra::from_number(era), refusals);
        next <= MAX_TOKEN && (next > highest || highest == MAX_TOKEN)
    }

    /// For a lease that can't be read, the bound is no lower than any token given out before, at one token per write.
    fn an_unreadable_lease_stands_for_all_tokens_before_it(era: u16, writes: u16) -> bool {
        let position = StorePosition {
            era: StoreEra::named(u64::from(era)),
            revision: u64::from(writes),
        };
        let highest = era_floor(position.era) + u64::from(writes);
        token_bound(position) >= highest
    }
}
