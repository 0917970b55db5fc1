//! The claim group spreads over the zones and changes only where it must.

use driftspring_control::claim_group::{GroupPlan, plan_group};
use driftspring_types::{
    ClaimGroup, ClaimGroupMember, FencingToken, Incarnation, MemberRecord, MemberState, Revision,
};

fn member(id: &str, zone: &str, incarnation: u64, state: MemberState) -> MemberRecord {
    MemberRecord {
        id: id.into(),
        zone: zone.into(),
        incarnation: Incarnation(incarnation),
        refutation: 0,
        state,
        peer_address: String::new(),
        caller_address: String::new(),
        operator_address: String::new(),
        complete_to: Revision(0),
    }
}

fn six_members() -> Vec<MemberRecord> {
    ["a1", "a2", "b1", "b2", "c1", "c2"]
        .into_iter()
        .map(|id| member(id, &id[..1], 1, MemberState::Alive))
        .collect()
}

fn holders(plan: &GroupPlan) -> Vec<&str> {
    match plan {
        GroupPlan::Keep => Vec::new(),
        GroupPlan::Create(holders) | GroupPlan::Replace(holders) => holders
            .iter()
            .map(|holder| holder.daemon.as_str())
            .collect(),
    }
}

fn group_of(plan: &GroupPlan) -> ClaimGroup {
    let (GroupPlan::Create(holders) | GroupPlan::Replace(holders)) = plan else {
        panic!("no group: {plan:?}");
    };
    ClaimGroup {
        epoch: 1,
        holders: holders.clone(),
        fencing_token: FencingToken(1),
    }
}

#[test]
fn the_first_group_spreads_over_the_zones() {
    let plan = plan_group(None, &six_members());
    assert_eq!(holders(&plan), ["a1", "b1", "c1", "a2", "b2"]);
    assert!(matches!(plan, GroupPlan::Create(_)));
}

#[test]
fn an_even_number_of_daemons_makes_an_odd_group() {
    let plan = plan_group(None, &six_members()[..2]);
    assert_eq!(holders(&plan).len(), 1);
    assert_eq!(plan_group(None, &[]), GroupPlan::Keep);
}

#[test]
fn a_group_whose_holders_live_is_kept() {
    let members = six_members();
    let group = group_of(&plan_group(None, &members));
    assert_eq!(plan_group(Some(&group), &members), GroupPlan::Keep);
}

#[test]
fn one_restarted_holder_recovers_by_itself_but_a_lost_majority_is_replaced() {
    let mut members = six_members();
    let group = group_of(&plan_group(None, &members));
    members[0].incarnation = Incarnation(2);
    assert_eq!(plan_group(Some(&group), &members), GroupPlan::Keep);
    members[2].incarnation = Incarnation(2);
    members[4].incarnation = Incarnation(2);
    let plan = plan_group(Some(&group), &members);
    let GroupPlan::Replace(chosen) = &plan else {
        panic!("not replaced: {plan:?}");
    };
    let restarted = ClaimGroupMember {
        daemon: "a1".into(),
        incarnation: Incarnation(2),
    };
    assert!(chosen.contains(&restarted));
}

#[test]
fn a_holder_that_is_gone_gives_way_to_another() {
    let mut members = six_members();
    let group = group_of(&plan_group(None, &members));
    members[2].state = MemberState::Dead;
    let plan = plan_group(Some(&group), &members);
    let chosen = holders(&plan);
    assert!(
        !chosen.contains(&"b1") && chosen.contains(&"c2"),
        "{chosen:?}"
    );
    members[2].state = MemberState::Suspect;
    assert_eq!(plan_group(Some(&group), &members), GroupPlan::Keep);
}
