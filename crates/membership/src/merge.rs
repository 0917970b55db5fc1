//! The merge of two records of the same member or engine.
//!
//! Both merges are commutative, associative and idempotent, so that daemons which have heard the
//! same records agree whatever the order and number of times in which they heard them.

use driftspring_types::{EngineHealth, EngineRecord, MemberRecord};

/// The merged knowledge of one member: the later life wins, within a life the higher refutation
/// number, then the worse state. The replicated revision only rises within a life.
pub fn merge_members(left: &MemberRecord, right: &MemberRecord) -> MemberRecord {
    if left.incarnation != right.incarnation {
        let later = if left.incarnation > right.incarnation {
            left
        } else {
            right
        };
        return later.clone();
    }
    let mut merged = if member_order(left) >= member_order(right) {
        left.clone()
    } else {
        right.clone()
    };
    merged.complete_to = left.complete_to.max(right.complete_to);
    merged
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
    if left.incarnation != right.incarnation {
        let later = if left.incarnation > right.incarnation {
            left
        } else {
            right
        };
        return later.clone();
    }
    let mut merged = if engine_order(left) >= engine_order(right) {
        left.clone()
    } else {
        right.clone()
    };
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
