//! The choice of the gateway that another one queries, and the detection of a store that is down for all.

#[path = "support/daemons.rs"]
mod daemons;

use std::time::Duration;

use daemons::{daemon, in_zones};
use driftspring_gateway::peers::directory::Directory;
use driftspring_gateway::peers::message::WireDaemon;
use driftspring_gateway::peers::source::{Source, SourceChooser};

fn group_of(daemons: &[WireDaemon], own: &WireDaemon) -> Vec<WireDaemon> {
    Directory::new(daemons, own).group
}

#[test]
fn every_daemon_ranks_its_group_alike() {
    let daemons = in_zones(40, &["a", "b"]);
    let group = group_of(&daemons, &daemons[0]);
    assert_eq!(group.len(), 20);
    assert!(group.iter().all(|daemon| daemon.zone == "a"));
    assert_eq!(group_of(&daemons, &daemons[2]), group);
}

#[test]
fn machines_with_more_capacity_rank_first() {
    let mut daemons = in_zones(40, &["a", "b"]);
    for large in [4, 18, 33] {
        daemons[large].capacity = 400;
    }
    let group = group_of(&daemons, &daemons[0]);
    let capacities: Vec<u32> = group.iter().map(|daemon| daemon.capacity).collect();
    assert_eq!(capacities[..3], [400, 400, 100]);
}

#[test]
fn all_groups_agree_on_the_first_of_each_group() {
    let daemons = in_zones(40, &["a", "b"]);
    for own in &daemons {
        let other = daemons.iter().find(|other| other.zone != own.zone);
        let other = other.expect("one of the other zone");
        assert_eq!(
            Directory::new(&daemons, own).first_of_other_groups(),
            group_of(&daemons, other)[..1]
        );
    }
    for one_group in [in_zones(16, &["a", "b"]), in_zones(40, &["a"])] {
        let directory = Directory::new(&one_group, &one_group[0]);
        assert!(directory.first_of_other_groups().is_empty());
        assert_eq!(directory.group.len(), one_group.len());
    }
}

fn choose(
    chooser: &mut SourceChooser,
    now: u64,
    group: &[WireDaemon],
    own: usize,
) -> Option<String> {
    match chooser.choose(Duration::from_millis(now), group, &[], &group[own].name) {
        Source::Store => None,
        Source::Daemon(daemon) => Some(daemon.name),
    }
}

fn group() -> Vec<WireDaemon> {
    let daemons: Vec<WireDaemon> = ["x", "y", "z"]
        .iter()
        .map(|name| daemon(name, "a"))
        .collect();
    group_of(&daemons, &daemons[0])
}

#[test]
fn the_first_in_rank_reads_the_store_and_the_others_ask_it() {
    let group = group();
    assert_eq!(choose(&mut SourceChooser::default(), 0, &group, 0), None);
    let first = Some(group[0].name.clone());
    assert_eq!(choose(&mut SourceChooser::default(), 0, &group, 1), first);
    assert_eq!(choose(&mut SourceChooser::default(), 0, &group, 2), first);
}

#[test]
fn a_source_that_does_not_reply_is_skipped_and_retried_later() {
    let group = group();
    let mut chooser = SourceChooser::default();
    choose(&mut chooser, 0, &group, 2);
    chooser.on_timeout(Duration::from_millis(300));
    assert_eq!(
        choose(&mut chooser, 300, &group, 2),
        Some(group[0].name.clone())
    );
    chooser.on_timeout(Duration::from_millis(600));
    assert_eq!(
        choose(&mut chooser, 600, &group, 2),
        Some(group[1].name.clone())
    );
    assert_eq!(
        choose(&mut chooser, 9000, &group, 2),
        Some(group[0].name.clone())
    );
}

#[test]
fn a_source_with_an_old_view_is_passed_over() {
    let group = group();
    let mut chooser = SourceChooser::default();
    choose(&mut chooser, 0, &group, 1);
    let (recent, old) = (Some(Duration::from_secs(1)), Some(Duration::from_secs(4)));
    assert!(chooser.on_reply(Duration::ZERO, recent, recent));
    assert!(!chooser.on_reply(Duration::ZERO, old, recent));
    assert_eq!(choose(&mut chooser, 1, &group, 1), None);
}

#[test]
fn a_source_without_a_recent_proof_of_the_configuration_is_skipped() {
    let group = group();
    let mut chooser = SourceChooser::default();
    choose(&mut chooser, 0, &group, 1);
    let (recent, old) = (Some(Duration::from_secs(1)), Some(Duration::from_secs(4)));
    assert!(!chooser.on_reply(Duration::ZERO, recent, old));
    assert_eq!(choose(&mut chooser, 1, &group, 1), None);
}

#[test]
fn a_reader_that_the_store_refuses_queries_those_behind_it() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    assert_eq!(choose(&mut chooser, 10_000, &group, 0), None);
    chooser.on_store_view(
        now,
        &group[0].name,
        Duration::from_secs(9),
        Some(Duration::from_secs(3)),
    );
    assert_eq!(
        choose(&mut chooser, 10_000, &group, 0),
        Some(group[1].name.clone())
    );
    assert_eq!(choose(&mut chooser, 13_000, &group, 0), None);
}

#[test]
fn the_leader_is_the_first_that_replies() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let leader = |chooser: &SourceChooser| chooser.leader(&group).map(|leader| leader.name.clone());
    assert_eq!(leader(&chooser), Some(group[0].name.clone()));
    for now in [300, 600] {
        choose(&mut chooser, now, &group, 1);
        chooser.on_timeout(Duration::from_millis(now));
    }
    assert_eq!(leader(&chooser), Some(group[1].name.clone()));
    choose(&mut chooser, 9000, &group, 1);
    assert_eq!(
        leader(&chooser),
        Some(group[1].name.clone()),
        "it is asked again, and has not answered yet"
    );
    chooser.on_reply(
        Duration::from_secs(9),
        Some(Duration::ZERO),
        Some(Duration::ZERO),
    );
    assert_eq!(leader(&chooser), Some(group[0].name.clone()));
}

/// A group of 20 out of 40 gateways, and the first gateway of the other group.
fn large_group() -> (Vec<WireDaemon>, Vec<WireDaemon>) {
    let daemons = in_zones(40, &["a", "b"]);
    let directory = Directory::new(&daemons, &daemons[0]);
    let others = directory.first_of_other_groups();
    (directory.group, others)
}

/// The gateways that the one of rank `own` queries, none of which has a recent view, until no other is left; the last
/// element is its choice then.
fn queried_in_an_outage(own: usize) -> Vec<Option<String>> {
    let (group, others) = large_group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_secs(3));
    let mut queried = Vec::new();
    loop {
        let source = chooser.choose(now, &group, &others, &group[own].name);
        let name = match source {
            Source::Store => None,
            Source::Daemon(daemon) => Some(daemon.name),
        };
        queried.push(name.clone());
        if chooser.is_last_resort() {
            return queried;
        }
        match name {
            Some(_) => drop(chooser.on_reply(now, old, old)),
            None => chooser.on_store_view(now, &group[own].name, Duration::from_secs(9), old),
        }
    }
}

#[test]
fn only_the_first_few_of_a_large_group_call_a_store_that_is_down_for_all() {
    let (group, others) = large_group();
    let name = |place: usize| Some(group[place].name.clone());
    let other = Some(others[0].name.clone());
    // The first of the group ahead reads the store for this group too, so it is queried before the store is called.
    let reader = [name(0), other, None, name(2), name(3), None];
    assert_eq!(queried_in_an_outage(1), reader);
    let member = [name(0), name(1), name(2), name(3), name(0)];
    assert_eq!(queried_in_an_outage(4), member);
    assert_eq!(queried_in_an_outage(19), member);
}

#[test]
fn a_reader_with_an_old_view_is_queried_again_in_the_next_round() {
    let (group, others) = large_group();
    let mut chooser = SourceChooser::default();
    let old = Some(Duration::from_secs(3));
    let mut queried_at = |now: u64, ages: [Option<Duration>; 4]| {
        let now = Duration::from_millis(now);
        let queried = ages.into_iter().take_while(|age| {
            chooser.choose(now, &group, &others, &group[9].name);
            !chooser.on_reply(now, *age, *age)
        });
        queried.count()
    };
    assert_eq!(queried_at(0, [old; 4]), 4, "each of the four readers");
    let recent = Some(Duration::ZERO);
    assert_eq!(
        queried_at(500, [old, old, recent, old]),
        2,
        "the third knows by now"
    );
}

#[test]
fn a_reader_that_is_cut_off_is_skipped_in_time_to_learn_of_leaving_replicas() {
    let (large, others) = large_group();
    // (group, others, age of a recent enough view, age of one that is too old), in milliseconds.
    let cases = [
        (large, others, 1600, 1900),
        (group(), Vec::new(), 1300, 1500),
    ];
    for (group, others, recent, old) in cases {
        for (age, is_usable) in [(recent, true), (old, false)] {
            let age = Some(Duration::from_millis(age));
            let mut chooser = SourceChooser::default();
            chooser.choose(Duration::ZERO, &group, &others, &group[2].name);
            assert_eq!(chooser.on_reply(Duration::ZERO, age, age), is_usable);
        }
    }
}

#[test]
fn a_daemon_with_too_old_a_view_reads_the_store_before_it_queries_more_daemons() {
    let group = group();
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_millis(1500));
    for (own_age, is_store_next) in [(1300, false), (1500, true)] {
        let mut chooser = SourceChooser::default();
        assert!(choose(&mut chooser, 10_000, &group, 2).is_some());
        chooser.on_reply(now, old, old);
        chooser.on_unusable_reply(Some(Duration::from_millis(own_age)));
        let next = choose(&mut chooser, 10_000, &group, 2);
        assert_eq!(next.is_none(), is_store_next, "{own_age}");
    }
}

#[test]
fn a_source_with_an_older_view_is_skipped_until_the_next_round() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let first = choose(&mut chooser, 0, &group, 2);
    chooser.on_older_view(Duration::ZERO);
    assert_eq!(
        choose(&mut chooser, 25, &group, 2),
        Some(group[1].name.clone())
    );
    assert_eq!(choose(&mut chooser, 500, &group, 2), first);
}

#[test]
fn the_store_is_not_down_for_all_while_a_daemon_was_not_queried_or_may_not_have_noticed() {
    let daemons: Vec<WireDaemon> = ["w", "x", "y", "z"]
        .iter()
        .map(|name| daemon(name, "a"))
        .collect();
    let group = group_of(&daemons, &daemons[0]);
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_secs(3));
    let mut chooser = SourceChooser::default();
    choose(&mut chooser, 10_000, &group, 0);
    chooser.on_store_view(now, &group[0].name, Duration::from_secs(9), old);
    for _ in 0..2 {
        choose(&mut chooser, 10_000, &group, 0);
        chooser.on_reply(now, old, old);
    }
    assert!(
        !chooser.is_store_down_for_all(now, old),
        "one was not asked"
    );
    choose(&mut chooser, 10_000, &group, 0);
    chooser.on_reply(now, old, old);
    let recent_age = Some(Duration::from_millis(1600));
    assert!(
        !chooser.is_store_down_for_all(now, recent_age),
        "all may have learnt from this one"
    );
    assert!(chooser.is_store_down_for_all(now, old));
}

#[test]
fn daemons_that_do_not_reply_are_replaced_by_readers_behind_them() {
    let (group, others) = large_group();
    let mut chooser = SourceChooser::default();
    for step in 0..8 {
        let now = Duration::from_millis(300 * step);
        let source = chooser.choose(now, &group, &others, &group[4].name);
        assert!(matches!(source, Source::Daemon(_)));
        chooser.on_timeout(now);
    }
    for now in [2400, 2700].map(Duration::from_millis) {
        let source = chooser.choose(now, &group, &others, &group[4].name);
        assert_eq!(
            source,
            Source::Daemon(others[0].clone()),
            "the group before"
        );
        chooser.on_timeout(now);
    }
    let now = Duration::from_millis(2700);
    let source = chooser.choose(now, &group, &others, &group[4].name);
    assert_eq!(source, Source::Store);
}

#[test]
fn the_store_is_down_for_all_only_if_others_have_no_recent_view_either() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_secs(3));
    chooser.on_store_view(now, &group[0].name, Duration::from_secs(9), old);
    assert!(!chooser.is_store_down_for_all(now, old));
    for _ in 0..2 {
        assert!(choose(&mut chooser, 10_000, &group, 0).is_some());
        chooser.on_reply(now, old, old);
    }
    assert!(chooser.is_store_down_for_all(now, old));
    assert!(!chooser.is_store_down_for_all(now + Duration::from_secs(5), old));
    chooser.on_store_view(
        now,
        &group[0].name,
        Duration::from_secs(9),
        Some(Duration::ZERO),
    );
    assert!(!chooser.is_store_down_for_all(now, old));
}

#[test]
fn a_daemon_that_has_just_begun_to_read_the_store_does_not_take_it_for_down() {
    let group = group();
    let mut chooser = SourceChooser::default();
    let now = Duration::from_secs(10);
    let old = Some(Duration::from_secs(3));
    for _ in 0..2 {
        assert!(choose(&mut chooser, 10_000, &group, 2).is_some());
        chooser.on_reply(now, old, old);
    }
    chooser.on_store_view(now, &group[2].name, Duration::from_micros(19), old);
    assert!(!chooser.is_store_down_for_all(now, old));
}
