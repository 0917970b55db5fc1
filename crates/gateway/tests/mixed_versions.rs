//! Compatibility between gateways with and without support for eras: their messages, and the lease.

mod lease_store;
#[path = "support/sync_queries.rs"]
mod sync_queries;

use driftspring_gateway::peers::message::{
    Message, SyncQuery, SyncReply, WireLease, WireNotice, WirePermitQuery, WireWeights,
};
use driftspring_gateway::protocol::LeaseRecord;
use driftspring_gateway::rollout::{OrderLease, lease_times};
use driftspring_gateway::store::{StoreEra, StorePosition};
use lease_store::{DISTANCE, Store, acquire, at, gateway, read, step};
use musli::{Decode, Encode};
use sync_queries::{EarlierSyncQuery, earlier_sync_query};

/// A lease in messages of a gateway without eras.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierLease {
    revision: u64,
    holder: String,
    life: u64,
    token: u64,
    renewal: u64,
}

/// An answer of a gateway without eras.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierReply {
    nonce: u64,
    proof_age_ms: Option<u64>,
    view_age_ms: Option<u64>,
    store_revision: u64,
    configuration: u64,
    weights: Vec<WireWeights>,
    lease: Option<EarlierLease>,
    log: u64,
    sequence: u64,
    is_from_start: bool,
    has_more: bool,
    changes: Vec<u64>,
    #[musli(default)]
    is_same: bool,
    #[musli(default)]
    store_down_age_ms: Option<u64>,
    #[musli(default)]
    quarantine: Option<u64>,
}

fn earlier_lease() -> EarlierLease {
    EarlierLease {
        revision: 7,
        holder: "earlier".to_owned(),
        life: 1,
        token: 2,
        renewal: 3,
    }
}

fn earlier_reply() -> EarlierReply {
    EarlierReply {
        nonce: 1,
        proof_age_ms: Some(20),
        view_age_ms: Some(30),
        store_revision: 500,
        configuration: 4,
        weights: vec![WireWeights {
            model: "model".to_owned(),
            version: 3,
            age_ms: 900,
            is_assumed: false,
        }],
        lease: Some(earlier_lease()),
        log: 8,
        sequence: 9,
        is_from_start: true,
        has_more: false,
        changes: Vec::new(),
        is_same: false,
        store_down_age_ms: None,
        quarantine: Some(6),
    }
}

#[test]
fn queries_and_leases_are_decoded_in_both_directions() {
    let earlier = earlier_sync_query();
    let bytes = musli::wire::to_vec(&earlier).expect("encodes");
    let mut ask: SyncQuery = musli::wire::decode(&bytes[..]).expect("decodes");
    assert_eq!(
        (ask.nonce, ask.quarantine_digest, ask.store_era),
        (1, Some(5), None)
    );
    ask.store_era = Some(9);
    let bytes = musli::wire::to_vec(&ask).expect("encodes");
    let read: Option<EarlierSyncQuery> = musli::wire::decode(&bytes[..]).ok();
    assert_eq!(read, Some(earlier));

    let earlier = earlier_lease();
    let bytes = musli::wire::to_vec(&earlier).expect("encodes");
    let mut lease: WireLease = musli::wire::decode(&bytes[..]).expect("decodes");
    assert_eq!((lease.token, lease.era), (2, None));
    lease.era = Some(9);
    let bytes = musli::wire::to_vec(&lease).expect("encodes");
    assert_eq!(musli::wire::decode(&bytes[..]).ok(), Some(earlier));
}

#[test]
fn an_answer_without_eras_decodes_with_no_era() {
    let bytes = musli::wire::to_vec(&earlier_reply()).expect("encodes");
    let reply: SyncReply = musli::wire::decode(&bytes[..]).expect("decodes");
    assert_eq!((reply.store_era, reply.proof_revision), (None, None));
    assert_eq!((reply.highest_token, reply.suspected_weights.len()), (0, 0));
    assert!(reply.packed.is_none());
    assert_eq!(
        (reply.store_revision, reply.configuration_version),
        (500, 4)
    );
    assert_eq!(reply.weights, earlier_reply().weights);
    let lease = reply.lease.expect("a lease");
    assert_eq!((lease.token, lease.era, lease.writer_era), (2, None, None));
}

#[test]
fn an_answer_with_eras_is_decoded_by_a_gateway_without_them() {
    let bytes = musli::wire::to_vec(&earlier_reply()).expect("encodes");
    let reply: SyncReply = musli::wire::decode(&bytes[..]).expect("decodes");
    let reply = SyncReply {
        store_era: Some(3),
        proof_revision: Some(480),
        highest_token: 70,
        suspected_weights: earlier_reply().weights,
        ..reply
    };
    let bytes = musli::wire::to_vec(&reply).expect("encodes");
    assert_eq!(musli::wire::decode(&bytes[..]).ok(), Some(earlier_reply()));
}

/// The record that a gateway without eras writes.
fn written_without_era(token: u64, renewal: u64) -> LeaseRecord {
    LeaseRecord {
        holder: "earlier".to_owned(),
        life: 1,
        token,
        renewal,
        era: StoreEra::UNNAMED,
    }
}

/// A store in its second era, with a lease written by a gateway without eras.
fn store_with_lease_without_era(token: u64) -> Store {
    let mut store = Store::new();
    store.restore_copy(0);
    store.write(&written_without_era(token, 0), None);
    store
}

#[test]
fn a_lease_reported_by_a_gateway_without_eras_counts_for_its_token_only() {
    let mut store = Store::new();
    store.restore_copy(0);
    let mut one = gateway("one", 1, &store, at(0));
    let (then, held) = acquire(&mut one, &mut store, at(0), at(12_000)).expect("held");
    let known = store.lease();
    let reported = StorePosition::unnamed(store.revision + 500);
    one.on_store_position(then, reported);
    one.on_list(then, Some((reported, written_without_era(held + 40, 0))));
    assert_eq!(one.token_at(then), Some(held));
    let seen = one
        .seen()
        .map(|(position, record)| (position, record.clone()));
    assert_eq!(seen, known);
    assert_eq!(one.highest_token(), held + 40);
}

#[test]
fn a_lease_renewed_by_a_gateway_without_eras_is_not_taken_over() {
    let mut store = store_with_lease_without_era(5);
    let mut one = gateway("one", 1, &store, at(0));
    let times = lease_times(DISTANCE);
    let mut renewed_at = at(0);
    for renewal in 1..20 {
        renewed_at += times.renewal_interval;
        let expected = store.lease().map(|(position, _)| position);
        store.write(&written_without_era(5, renewal), expected);
        read(&mut one, &store, renewed_at);
        assert_eq!(step(&mut one, &mut store, renewed_at), None);
    }
    let taken = acquire(&mut one, &mut store, renewed_at, renewed_at + at(20_000));
    let (taken_at, token) = taken.expect("held");
    assert!(taken_at >= renewed_at + times.term + times.handover_gap);
    assert!(token > 5, "{token}");
}

#[test]
fn a_lease_released_by_a_gateway_without_eras_still_has_to_expire() {
    // Its record does not show whether it was written in this era or came with the copy.
    let mut store = store_with_lease_without_era(5);
    let expected = store.lease().map(|(position, _)| position);
    let given_back = LeaseRecord {
        holder: String::new(),
        life: 0,
        ..written_without_era(5, 1)
    };
    store.write(&given_back, expected);
    let mut one = gateway("one", 1, &store, at(0));
    let taken = acquire(&mut one, &mut store, at(0), at(20_000));
    let (taken_at, _) = taken.expect("held");
    let times = lease_times(DISTANCE);
    assert!(taken_at >= times.term + times.handover_gap, "{taken_at:?}");
}

#[test]
fn a_holder_stops_when_it_sees_the_lease_of_a_gateway_without_eras() {
    // A gateway without eras takes over a lease from the copy without waiting, so there may be two holders for a moment.
    let mut store = Store::new();
    store.write(&written_without_era(5, 0), None);
    let copy = store.revision;
    let free_at = lease_times(DISTANCE).term + lease_times(DISTANCE).handover_gap;
    let mut one = gateway("one", 1, &store, at(0));
    let taken = acquire(&mut one, &mut store, free_at, free_at + at(2000));
    let (then, held) = taken.expect("held");
    store.restore_copy(copy);
    let expected = store.lease().map(|(position, _)| position);
    let copied = expected.expect("it came with the copy");
    store.write(&written_without_era(6, 0), Some(copied));
    assert_eq!(one.token_at(then + at(10)), Some(held));
    read(&mut one, &store, then + at(20));
    assert_eq!(one.token_at(then + at(20)), None);
    // Its token, which is lower than the one before, is not adopted: replicas that have seen the higher one refuse it.
    let taken = acquire(&mut one, &mut store, then + at(20), then + at(20_000));
    let (_, token) = taken.expect("held");
    assert!(token > held, "{token} after {held}");
}

#[test]
fn a_first_start_waits_for_the_lease_of_a_gateway_without_eras() {
    let mut store = store_with_lease_without_era(5);
    let mut first = OrderLease::new("one", 1, lease_times(DISTANCE)).at_first_start(true);
    read(&mut first, &store, at(100));
    assert_eq!(step(&mut first, &mut store, at(100)), None);
}

/// A replica's notice in messages of an earlier version, which knows fewer fields.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
struct EarlierNotice {
    replica: String,
    #[musli(default)]
    born: Option<u64>,
}

/// The messages of a version without notices and permits; their discriminants precede all others.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
enum EarlierMessage {
    SyncQuery(SyncQuery),
    SyncReply(Box<SyncReply>),
    ChangesAvailable,
    StoreRecovered,
}

#[test]
fn unknown_messages_fail_to_decode_and_known_ones_decode() {
    let unknown = Message::PermitQuery(WirePermitQuery {
        nonce: 1,
        incarnation: 2,
        limit_thousandths: Some(3),
    });
    let bytes = unknown.encode().expect("encodes");
    assert!(musli::wire::decode::<_, EarlierMessage>(&bytes[..]).is_err());
    for (known, earlier) in [
        (Message::ChangesAvailable, EarlierMessage::ChangesAvailable),
        (Message::StoreRecovered, EarlierMessage::StoreRecovered),
    ] {
        let bytes = musli::wire::to_vec(&earlier).expect("encodes");
        assert_eq!(Message::decode(&bytes), Some(known));
    }
}

#[test]
fn a_notice_with_fewer_fields_decodes() {
    let earlier = EarlierNotice {
        replica: "i-1".to_owned(),
        born: Some(7),
    };
    let bytes = musli::wire::to_vec(&earlier).expect("encodes");
    let notice: WireNotice = musli::wire::decode(&bytes[..]).expect("decodes");
    assert_eq!((notice.limit, notice.is_leaving), (None, false));
    assert_eq!(notice.incarnation().born, Some(7));
}
