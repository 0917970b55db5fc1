//! The merge of two records of the same member or engine.
//!
//! Both merges are commutative, associative and idempotent, so that daemons which have heard the
//! same records agree whatever the order and number of times in which they heard them.

use std::cmp::Ordering;

use driftspring_types::{EngineHealth, EngineRecord, MemberRecord};

/// The merged knowledge of one member: the later life wins, within a life the higher refutation
/// number, then the worse state. The replicated revision only rises within a life.
pub fn merge_members(left: &MemberRecord, right: &MemberRecord) -> MemberRecord {
    let lives = left.incarnation.cmp(&right.incarnation);
    if lives != Ordering::Equal {
        return greater(left, right, lives);
    }
    let order = member_order(left).cmp(&member_order(right));
    let mut merged = greater(left, right, order);
    merged.complete_to = left.complete_to.max(right.complete_to);
    merged
}

/// A copy of the greater of two records, where `order` is that of `left` to `right`.
fn greater<Record: Clone>(left: &Record, right: &Record, order: Ordering) -> Record {
    match order {
        Ordering::Less => right.clone(),
        Ordering::Equal | Ordering::Greater => left.clone(),
    }
}

/// The order within one life; addresses and zone only break ties between two daemons that were
/// wrongly given one name.
fn member_order(record: &MemberRecord) -> impl Ord + '_ {
    (
        record.refutation,
        record.state,
        &record.zone,
        &record.peer_address,
        &record.caller_address,
        &record.operator_address,
    )
}

/// The merged knowledge of one engine: the later life wins, within a life the higher report
/// sequence, except that leaving is final.
pub fn merge_engines(left: &EngineRecord, right: &EngineRecord) -> EngineRecord {
    let lives = left.incarnation.cmp(&right.incarnation);
    if lives != Ordering::Equal {
        return greater(left, right, lives);
    }
    let order = engine_order(left).cmp(&engine_order(right));
    let mut merged = greater(left, right, order);
    let leaving = [left, right]
        .iter()
        .any(|record| record.health == EngineHealth::Leaving);
    if leaving {
        merged.health = EngineHealth::Leaving;
    }
    merged
}

/// The order within one life. Health comes last and without `Leaving`, which is merged apart;
/// the rest only breaks ties between unequal reports of one sequence number.
fn engine_order(record: &EngineRecord) -> impl Ord + '_ {
    let load = &record.load;
    let health = Some(record.health).filter(|health| *health != EngineHealth::Leaving);
    (
        record.report_sequence,
        record.weights_version,
        (&record.address, &record.zone, &record.model),
        (load.running, load.queued, load.pending_prefill_tokens),
        (load.cached_blocks, load.cache_capacity_blocks),
        health,
    )
}
