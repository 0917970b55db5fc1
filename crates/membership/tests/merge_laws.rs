//! The merges are commutative, associative and idempotent, and agree with the order of records.

use driftspring_membership::{merge_engines, merge_members};
use driftspring_types::{
    DaemonId, EngineHealth, EngineId, EngineLoad, EngineRecord, Incarnation, MemberRecord,
    MemberState, ModelName, Revision, WeightsVersion, ZoneName,
};
use quickcheck::{Arbitrary, Gen, quickcheck};

/// A member record with few distinct values, so that ties are frequent.
#[derive(Debug, Clone)]
struct AnyMember(MemberRecord);

impl Arbitrary for AnyMember {
    fn arbitrary(source: &mut Gen) -> Self {
        let states = [
            MemberState::Alive,
            MemberState::Suspect,
            MemberState::Leaving,
            MemberState::Dead,
        ];
        Self(MemberRecord {
            id: DaemonId::from("daemon"),
            zone: ZoneName::from(*source.choose(&["a", "b"]).unwrap()),
            incarnation: Incarnation(u64::from(u8::arbitrary(source) % 3)),
            refutation: u64::from(u8::arbitrary(source) % 3),
            state: *source.choose(&states).unwrap(),
            peer_address: (*source.choose(&["127.0.0.1:1", "127.0.0.1:2"]).unwrap()).to_owned(),
            caller_address: String::new(),
            operator_address: String::new(),
            complete_to: Revision(u64::from(u8::arbitrary(source) % 4)),
        })
    }
}

/// An engine record with few distinct values.
#[derive(Debug, Clone)]
struct AnyEngine(EngineRecord);

impl Arbitrary for AnyEngine {
    fn arbitrary(source: &mut Gen) -> Self {
        let health = [
            EngineHealth::Loading,
            EngineHealth::Serving,
            EngineHealth::Leaving,
            EngineHealth::Unreachable,
        ];
        Self(EngineRecord {
            id: EngineId::from("engine"),
            address: "127.0.0.1:1".to_owned(),
            zone: ZoneName::from("a"),
            model: ModelName::from("model"),
            weights_version: WeightsVersion(u64::from(u8::arbitrary(source) % 2)),
            incarnation: Incarnation(u64::from(u8::arbitrary(source) % 3)),
            report_sequence: u64::from(u8::arbitrary(source) % 3),
            health: *source.choose(&health).unwrap(),
            load: EngineLoad {
                running: u32::from(u8::arbitrary(source) % 2),
                ..EngineLoad::default()
            },
        })
    }
}

quickcheck! {
    fn member_merge_is_commutative(a: AnyMember, b: AnyMember) -> bool {
        merge_members(&a.0, &b.0) == merge_members(&b.0, &a.0)
    }

    fn member_merge_is_associative(a: AnyMember, b: AnyMember, c: AnyMember) -> bool {
        let left = merge_members(&merge_members(&a.0, &b.0), &c.0);
        left == merge_members(&a.0, &merge_members(&b.0, &c.0))
    }

    fn member_merge_is_idempotent(a: AnyMember, b: AnyMember) -> bool {
        let merged = merge_members(&a.0, &b.0);
        merge_members(&merged, &a.0) == merged && merge_members(&merged, &merged) == merged
    }

    fn engine_merge_is_commutative(a: AnyEngine, b: AnyEngine) -> bool {
        merge_engines(&a.0, &b.0) == merge_engines(&b.0, &a.0)
    }

    fn engine_merge_is_associative(a: AnyEngine, b: AnyEngine, c: AnyEngine) -> bool {
        let left = merge_engines(&merge_engines(&a.0, &b.0), &c.0);
        left == merge_engines(&a.0, &merge_engines(&b.0, &c.0))
    }

    fn engine_merge_is_idempotent(a: AnyEngine, b: AnyEngine) -> bool {
        let merged = merge_engines(&a.0, &b.0);
        merge_engines(&merged, &a.0) == merged && merge_engines(&merged, &merged) == merged
    }

    fn a_later_report_wins_and_leaving_is_final(a: AnyEngine, b: AnyEngine) -> bool {
        let merged = merge_engines(&a.0, &b.0);
        let one_life = a.0.incarnation == b.0.incarnation;
        let leaving = |record: &EngineRecord| record.health == EngineHealth::Leaving;
        if one_life && (leaving(&a.0) || leaving(&b.0)) {
            return leaving(&merged);
        }
        let newest = (a.0.incarnation, a.0.report_sequence).max((b.0.incarnation, b.0.report_sequence));
        (merged.incarnation, merged.report_sequence) == newest
    }

    fn a_higher_refutation_beats_any_state(a: AnyMember) -> bool {
        let mut refuted = a.0.clone();
        refuted.refutation += 1;
        refuted.state = MemberState::Alive;
        merge_members(&a.0, &refuted).state == MemberState::Alive
    }
}
