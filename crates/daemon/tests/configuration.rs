//! An accepted configuration is in force everywhere within seconds and never reverts.
//!
//! Each run is recorded and judged by the history checker: every object is a linearizable register, no
//! daemon's revisions go down, and every daemon has each accepted change within the bound. The runs that
//! need one mechanism are shown to break without it.

mod configuration_support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use configuration_support::{
    Cluster, Hearing, accepted, eventually, propose_through, route, route_key, within,
};
use driftspring::control::config_writer::{Proposal, ProposalOutcome, members_lacking, propose};
use driftspring_settings::MechanismSettings;
use driftspring_standin::FaultUpdate;
use driftspring_types::{Revision, Route};
use futures_util::future::join_all;

/// A revision that no store of a test comes to, whatever leases it keeps.
const NOT_YET_REACHED: Revision = Revision(1_000_000);

const ALL_ON: fn() -> MechanismSettings = MechanismSettings::default;

fn without_anti_entropy() -> MechanismSettings {
    MechanismSettings {
        anti_entropy: false,
        ..MechanismSettings::default()
    }
}

fn without_revision_order() -> MechanismSettings {
    MechanismSettings {
        revision_order: false,
        ..MechanismSettings::default()
    }
}

fn store_down(is_down: bool) -> FaultUpdate {
    FaultUpdate {
        down: Some(is_down),
        ..FaultUpdate::default()
    }
}

/// Daemons that gossip, know each other, and have the store's objects in force.
async fn started(zones: usize, per_zone: usize, mechanisms: MechanismSettings) -> Cluster {
    let cluster = started_hearing(zones, per_zone, mechanisms, Hearing::Gossip).await;
    assert!(eventually(|| cluster.all_met()).await, "not all met");
    cluster
}

async fn started_hearing(
    zones: usize,
    per_zone: usize,
    mechanisms: MechanismSettings,
    hearing: Hearing,
) -> Cluster {
    let mut cluster = Cluster::new(zones, per_zone, mechanisms, hearing);
    cluster.store.set("routes/first", route("first", 1).into());
    cluster.start_all();
    let ready =
        eventually(|| (0..cluster.len()).all(|index| cluster.state(index).is_ready())).await;
    assert!(ready || mechanisms != ALL_ON(), "not ready");
    cluster
}

#[ntex::test]
async fn a_change_reaches_every_daemon_and_says_so() {
    let cluster = started(3, 3, ALL_ON()).await;
    let revision = accepted(&cluster.propose(4, "a", 0, 10).await);
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    let lacking = members_lacking(cluster.state(4), &route_key("a"), Revision(revision)).await;
    assert_eq!(lacking, []);
    let lacking = members_lacking(cluster.state(4), &route_key("a"), NOT_YET_REACHED).await;
    assert_eq!(lacking.len(), cluster.len());
    // Only two readers per zone hold a watch.
    assert!(
        cluster.store.counters().watches <= 9,
        "{:?}",
        cluster.store.counters()
    );
    cluster.check().await.expect("promise holds");
}

/// The store goes down right after it accepted a change, before its watches are read again.
async fn store_down_after_accept(mechanisms: MechanismSettings) -> (bool, Cluster) {
    let cluster = started(3, 3, mechanisms).await;
    let frozen_watches = FaultUpdate {
        cut: Some(true),
        ..FaultUpdate::default()
    };
    let others_cut = [1, 2];
    for zone in others_cut {
        cluster.zone_store_faults(zone, &frozen_watches);
    }
    let revision = accepted(&cluster.propose(0, "a", 0, 10).await);
    cluster.store_faults(&store_down(true));
    let everywhere = within(Duration::from_secs(3), || {
        cluster.is_everywhere("a", revision)
    })
    .await;
    (everywhere, cluster)
}

#[ntex::test]
async fn a_change_spreads_while_the_store_is_down() {
    let (everywhere, cluster) = store_down_after_accept(ALL_ON()).await;
    assert!(everywhere);
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn without_anti_entropy_it_does_not() {
    let (everywhere, cluster) = store_down_after_accept(without_anti_entropy()).await;
    assert!(!everywhere);
    cluster.check().await.expect_err("promise is broken");
}

#[ntex::test]
async fn a_lost_answer_is_settled_and_the_change_made_once() {
    let cluster = started(1, 2, ALL_ON()).await;
    let before = cluster.store.revision();
    let lose = FaultUpdate {
        lose_answers: Some(1),
        ..FaultUpdate::default()
    };
    cluster.store_faults(&lose);
    let revision = accepted(&cluster.propose(0, "a", 0, 10).await);
    assert_eq!(revision, before + 1);
    let writes = cluster.store.history();
    let made = writes
        .iter()
        .filter(|change| change.key == "routes/a")
        .count();
    assert_eq!(made, 1);
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn a_store_that_was_never_reached_means_not_applied() {
    let mut cluster = started(1, 1, ALL_ON()).await;
    // A privileged port: no other test's server can come to listen there.
    let closed = SocketAddr::from(([127, 0, 0, 1], 1));
    cluster.kill(0);
    cluster.settings_mut(0).platform.object_store = Some(closed);
    cluster.start(0);
    let outcome = cluster.propose(0, "a", 0, 10).await;
    assert!(
        matches!(outcome, ProposalOutcome::NotSent(_)),
        "{outcome:?}"
    );
}

/// How often watches replay old changes.
const REPLAYS: usize = 5;

/// Many changes, then watches that replay old ones, and a daemon whose first list is old and late.
async fn stale_store(mechanisms: MechanismSettings) -> Cluster {
    // By gossip, the restarted daemon would be whole before it came to list.
    let mut cluster = started_hearing(2, 2, mechanisms, Hearing::PassedNotices).await;
    let mut revision = 0;
    for percent in 1..=10 {
        revision = accepted(&cluster.propose(0, "a", revision, percent).await);
    }
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    let late_and_old = FaultUpdate {
        stale_watch: Some(true),
        delay_ms: Some(300),
        ..FaultUpdate::default()
    };
    cluster.store_faults(&late_and_old);
    // What a watch replays at once is published at once, by which a reversal may go unseen: 4 of 4 daemons on a busy machine.
    for _ in 0..REPLAYS {
        let watches = cluster.store.counters().watches;
        cluster.drop_store_connections();
        let again = eventually(|| cluster.store.counters().watches >= watches + 4).await;
        assert!(again, "the watches were not opened again");
    }
    cluster.kill(3);
    let before = cluster.store.counters();
    cluster.start(3);
    let listed = eventually(|| cluster.store.counters().lists > before.lists).await;
    assert!(listed, "the restarted daemon did not list");
    let watched = eventually(|| cluster.store.counters().watches > before.watches).await;
    assert!(watched, "the restarted daemon did not watch");
    cluster
}

#[ntex::test]
async fn a_stale_store_reverts_nothing() {
    let cluster = stale_store(ALL_ON()).await;
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn without_revision_order_a_stale_store_reverts() {
    let cluster = stale_store(without_revision_order()).await;
    cluster.check().await.expect_err("promise is broken");
}

#[ntex::test]
async fn operators_that_race_at_several_daemons_see_one_order() {
    const ROUNDS: u64 = 8;
    let cluster = started(2, 2, ALL_ON()).await;
    let lose = FaultUpdate {
        lose_answers: Some(3),
        ..FaultUpdate::default()
    };
    cluster.store_faults(&lose);
    for round in 0..ROUNDS {
        let racing = (0..cluster.len()).map(|index| {
            let state = Arc::clone(cluster.state(index));
            let recorder = cluster.recorder().clone();
            async move {
                let held = state.config.load().revisions.get("routes/a").copied();
                let expected = held.map_or(0, |revision| revision.0);
                let percent = round * 10 + index as u64;
                propose_through(&state, &recorder, "a", expected, percent).await
            }
        });
        let outcomes = join_all(racing).await;
        let is_accepted =
            |outcome: &&ProposalOutcome| matches!(outcome, ProposalOutcome::Accepted { .. });
        assert!(
            outcomes.iter().filter(is_accepted).count() >= 1,
            "{outcomes:?}"
        );
    }
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn a_zone_that_was_cut_off_catches_up_and_reverts_nothing() {
    let cluster = started_hearing(3, 2, ALL_ON(), Hearing::PassedNotices).await;
    cluster.cut_zone(2, true);
    let revision = accepted(&cluster.propose(0, "a", 0, 10).await);
    assert!(eventually(|| (0..4).all(|index| cluster.in_force(index, "a") == revision)).await);
    assert_eq!(cluster.in_force(5, "a"), 0);
    cluster.cut_zone(2, false);
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn daemons_restarted_while_the_store_is_down_learn_from_the_one_that_was_not() {
    let mut cluster = started(2, 3, ALL_ON()).await;
    let revision = accepted(&cluster.propose(0, "a", 0, 10).await);
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    cluster.store_faults(&store_down(true));
    for index in 1..cluster.len() {
        cluster.kill(index);
    }
    let reads = cluster.store.counters();
    cluster.start_all();
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    assert_eq!(cluster.store.counters().lists, reads.lists);
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn a_herd_start_reads_the_store_a_few_times_only() {
    const ZONES: usize = 3;
    let mut cluster = started(ZONES, 4, ALL_ON()).await;
    let revision = accepted(&cluster.propose(0, "a", 0, 10).await);
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    for index in 0..cluster.len() {
        cluster.kill(index);
    }
    let before = cluster.store.counters().lists;
    // While the first lists are on their way, nobody has anything to copy from.
    let slow = FaultUpdate {
        delay_ms: Some(300),
        ..FaultUpdate::default()
    };
    cluster.store_faults(&slow);
    cluster.start_all();
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    let lists = cluster.store.counters().lists - before;
    assert!(lists <= 2 * ZONES as u64, "{lists} lists");
    cluster.check().await.expect("promise holds");
}

#[ntex::test]
async fn a_herd_started_while_the_store_is_down_serves_by_its_settings_and_catches_up() {
    let mut cluster = started(2, 2, ALL_ON()).await;
    let revision = accepted(&cluster.propose(0, "a", 0, 10).await);
    for index in 0..cluster.len() {
        cluster.kill(index);
        let bootstrap = &mut cluster.settings_mut(index).bootstrap;
        bootstrap.routes = vec![bootstrap_route("a"), bootstrap_route("only-in-settings")];
    }
    cluster.store_faults(&store_down(true));
    cluster.start_all();
    let serves = || (0..cluster.len()).all(|index| cluster.state(index).is_ready());
    assert!(within(Duration::from_secs(1), serves).await);
    assert_eq!(cluster.in_force(0, "a"), 0);
    cluster.store_faults(&store_down(false));
    assert!(eventually(|| cluster.is_everywhere("a", revision)).await);
    let view = cluster.state(0).config.load_full();
    let routes = view.routes.values().next().expect("routes of the tenant");
    assert!(routes.contains_key(&"only-in-settings".into()));
    cluster.check().await.expect("promise holds");
}

fn bootstrap_route(name: &str) -> Route {
    serde_json::from_value(route(name, 1).into()).expect("a route")
}

#[ntex::test]
async fn a_deleted_object_stays_deleted() {
    let mut cluster = started(2, 2, ALL_ON()).await;
    let deletion = Proposal {
        key: route_key("first"),
        expected: Revision(1),
        value: None,
    };
    let outcome = propose(cluster.state(1), &deletion).await;
    let revision = accepted(&outcome);
    assert!(eventually(|| cluster.is_everywhere("first", revision)).await);
    cluster.kill(0);
    cluster.start(0);
    assert!(eventually(|| cluster.is_everywhere("first", revision)).await);
    let tenant = "t".into();
    let is_routed = |index: usize| {
        cluster
            .state(index)
            .config
            .load()
            .routes
            .contains_key(&tenant)
    };
    assert!(!(0..cluster.len()).any(is_routed));
    let again = cluster.propose(2, "first", 0, 7).await;
    assert!(accepted(&again) > revision);
}
