//! Properties of the assignment of duties.

use driftspring_membership::{OwnershipCache, engine_owners, zone_readers};
use driftspring_types::{
    DaemonId, EngineHealth, EngineId, EngineLoad, EngineRecord, Incarnation, MemberRecord,
    MemberState, ModelName, Revision, WeightsVersion, ZoneName,
};
use quickcheck::quickcheck;

fn member(number: u8, zone: u8, state: MemberState) -> MemberRecord {
    MemberRecord {
        id: DaemonId::new(format!("daemon-{number}")),
        zone: ZoneName::new(format!("zone-{zone}")),
        incarnation: Incarnation(1),
        refutation: 0,
        state,
        peer_address: "127.0.0.1:1".to_owned(),
        caller_address: String::new(),
        operator_address: String::new(),
        complete_to: Revision(0),
    }
}

fn engine(id: &str, zone: u8) -> EngineRecord {
    EngineRecord {
        id: EngineId::from(id),
        address: "127.0.0.1:1".to_owned(),
        zone: ZoneName::new(format!("zone-{zone}")),
        model: ModelName::from("model"),
        weights_version: WeightsVersion(1),
        incarnation: Incarnation(1),
        report_sequence: 1,
        health: EngineHealth::Serving,
        load: EngineLoad::default(),
    }
}

quickcheck! {
    fn readers_are_two_members_of_the_zone_whatever_the_order(numbers: Vec<u8>) -> bool {
        let mut numbers = numbers;
        numbers.sort_unstable();
        numbers.dedup();
        let members: Vec<_> = numbers.iter().map(|&number| member(number, number % 3, MemberState::Alive)).collect();
        let reversed: Vec<_> = members.iter().rev().cloned().collect();
        let zone = ZoneName::from("zone-1");
        let readers = zone_readers(&members, &zone);
        let in_zone = numbers.iter().filter(|&&number| number % 3 == 1).count();
        readers.len() == in_zone.min(2) && readers == zone_readers(&reversed, &zone)
    }

    fn a_lost_member_moves_only_its_own_engines(lost: u8) -> bool {
        let lost = lost % 20;
        let mut members: Vec<_> = (0..20).map(|number| member(number, 0, MemberState::Alive)).collect();
        let zone = ZoneName::from("zone-0");
        let engines: Vec<_> = (0..50).map(|number| EngineId::new(format!("engine-{number}"))).collect();
        let before: Vec<_> = engines.iter().map(|engine| engine_owners(&members, engine, &zone)).collect();
        let lost_id = members[usize::from(lost)].id.clone();
        members[usize::from(lost)].state = MemberState::Dead;
        engines.iter().zip(before).all(|(engine, before)| {
            let after = engine_owners(&members, engine, &zone);
            before.iter().filter(|id| **id != lost_id).all(|id| after.contains(id))
                && !after.contains(&lost_id)
        })
    }
}

#[test]
fn owners_come_from_another_zone_only_where_the_engines_own_has_none() {
    let mut members = vec![
        member(1, 0, MemberState::Alive),
        member(2, 1, MemberState::Suspect),
    ];
    let engine = EngineId::from("engine");
    let zone = ZoneName::from("zone-1");
    assert_eq!(
        engine_owners(&members, &engine, &zone),
        [DaemonId::from("daemon-2")]
    );
    members[1].state = MemberState::Leaving;
    assert_eq!(
        engine_owners(&members, &engine, &zone),
        [DaemonId::from("daemon-1")]
    );
}

#[test]
fn kept_ownership_follows_the_members() {
    let mut members: Vec<_> = (0..12)
        .map(|number| member(number, number % 3, MemberState::Alive))
        .collect();
    let engines: Vec<_> = (0..40)
        .map(|number| engine(&format!("engine-{number}"), number % 3))
        .collect();
    let mut cache = OwnershipCache::default();
    for lost in 0..12 {
        cache.update(&members);
        let own = members[0].id.clone();
        for engine in &engines {
            let owners = engine_owners(&members, &engine.id, &engine.zone);
            let expected = owners.iter().position(|owner| *owner == own);
            assert_eq!(cache.place(&members, &own, engine), expected);
        }
        members[11 - lost].state = MemberState::Dead;
    }
}
