//! The gossip over a simulated network: convergence, refutation, restarts, cuts, leaving, engines.

mod simulation;

use std::time::Duration;

use driftspring_membership::Membership;
use driftspring_types::{EngineHealth, EngineId, Incarnation, MemberState, Revision};
use simulation::{Simulation, engine, zone_name};

const LIMIT: Duration = Duration::from_secs(90);

fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

#[test]
fn a_herd_start_converges() {
    let mut simulation = Simulation::new(60, 3, 1);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
}

#[test]
fn a_herd_start_converges_under_heavy_loss() {
    for seed in [2, 102, 202, 302] {
        let mut simulation = Simulation::new(30, 3, seed);
        simulation.loss_percent = 25;
        // At such loss some member is suspected at any time; the point is that none is given up.
        let is_known = Simulation::none_missing_or_dead;
        simulation.run_until(LIMIT, "all known and not dead", is_known);
        for _ in 0..60 {
            simulation.run(seconds(1));
            assert!(simulation.none_missing_or_dead());
        }
        simulation.loss_percent = 0;
        simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    }
}

#[test]
fn two_daemons_in_two_zones_find_each_other_and_notice_a_loss() {
    let mut simulation = Simulation::new(2, 2, 3);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    simulation.nodes[1].running = false;
    let is_dead = |simulation: &Simulation| simulation.all_believe(1, MemberState::Dead);
    simulation.run_until(LIMIT, "dead", is_dead);
    simulation.restart(1);
    simulation.run_until(LIMIT, "alive again", Simulation::all_alive_agree);
}

#[test]
fn a_crashed_daemon_is_declared_dead_everywhere() {
    let mut simulation = Simulation::new(40, 4, 4);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    simulation.nodes[7].running = false;
    let is_dead = |simulation: &Simulation| simulation.all_believe(7, MemberState::Dead);
    simulation.run_until(LIMIT, "dead everywhere", is_dead);
    assert!(simulation.all_alive_agree());
}

#[test]
fn a_paused_daemon_refutes_after_it_goes_on_and_blames_nobody() {
    let mut simulation = Simulation::new(24, 3, 5);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    simulation.nodes[5].paused = true;
    let is_dead = |simulation: &Simulation| simulation.all_believe(5, MemberState::Dead);
    simulation.run_until(LIMIT, "dead", is_dead);
    simulation.nodes[5].paused = false;
    simulation.run_until(LIMIT, "refuted", Simulation::all_alive_agree);
    assert!(simulation.belief(0, 5).unwrap().refutation > 0);
    assert!(
        simulation
            .active()
            .all(|(node, _)| { node == 5 || simulation.belief(0, node).unwrap().refutation == 0 })
    );
}

#[test]
fn restarts_of_a_sixth_are_known_everywhere() {
    let mut simulation = Simulation::new(60, 6, 6);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    for node in 2..12 {
        simulation.restart(node);
    }
    simulation.run_until(LIMIT, "new lives known", Simulation::all_alive_agree);
}

#[test]
fn a_herd_restart_with_no_memory_converges() {
    let mut simulation = Simulation::new(40, 4, 7);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    for node in 0..40 {
        simulation.restart(node);
    }
    simulation.run_until(LIMIT, "all alive again", Simulation::all_alive_agree);
}

#[test]
fn a_lost_zone_counts_as_dead_and_comes_back_without_refutations() {
    let mut simulation = Simulation::new(40, 4, 8);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    for zone in 0..3 {
        simulation.cut_zones.insert((zone, 3));
    }
    let is_cut = |simulation: &Simulation| {
        (0..40).all(|observer| {
            let subject = if observer % 4 == 3 { 0 } else { 3 };
            simulation.belief(observer, subject).unwrap().state == MemberState::Dead
        })
    };
    simulation.run_until(LIMIT, "cut seen from both sides", is_cut);
    simulation.run(seconds(60));
    simulation.cut_zones.clear();
    simulation.run_until(LIMIT, "healed", Simulation::all_alive_agree);
    let refutations: u64 = (0..40)
        .map(|node| simulation.nodes[node].membership.own().refutation)
        .sum();
    assert_eq!(refutations, 0);
}

#[test]
fn small_zones_stay_in_contact() {
    let mut simulation = Simulation::new(12, 6, 21);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    for _ in 0..300 {
        simulation.run(seconds(1));
        assert!(simulation.all_alive_agree());
    }
}

#[test]
fn no_reachable_daemon_stays_dead_after_cuts_inside_zones() {
    for seed in 9..13 {
        let mut simulation = Simulation::new(24, 2, seed);
        simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
        simulation.cut_nodes = (0..24).filter(|node| node / 2 % 3 == 0).collect();
        simulation.run(seconds(40));
        simulation.cut_nodes.clear();
        simulation.run_until(LIMIT, "healed", Simulation::all_alive_agree);
    }
}

#[test]
fn a_planned_stop_spreads_within_seconds_and_is_final() {
    let mut simulation = Simulation::new(60, 6, 13);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    let now = simulation.now;
    let actions = simulation.nodes[9].membership.leave(now);
    simulation.perform(9, actions);
    let is_leaving = |simulation: &Simulation| simulation.all_believe(9, MemberState::Leaving);
    simulation.run_until(seconds(15), "leaving everywhere", is_leaving);
    simulation.run(seconds(10));
    assert!(is_leaving(&simulation));
}

#[test]
fn a_life_with_a_clock_set_back_still_supersedes_the_last_one() {
    let mut simulation = Simulation::new(10, 2, 14);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    let mut own = simulation.nodes[4].membership.own().clone();
    own.incarnation.0 = 0;
    let config = driftspring_membership::GossipConfig::default();
    let mut membership = driftspring_membership::Membership::new(own, config, 99);
    membership.set_contacts(vec![simulation::address(0)]);
    simulation.nodes[4].membership = membership;
    simulation.run_until(LIMIT, "life known", Simulation::all_alive_agree);
}

#[test]
fn an_engine_is_known_everywhere_and_its_leaving_too() {
    let mut simulation = Simulation::new(60, 6, 15);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    let zone = zone_name(3, 6);
    let id = EngineId::from("engine-1");
    let now = simulation.now;
    let report = engine("engine-1", &zone, 5, 1);
    simulation.nodes[3].membership.observe_engine(now, &report);
    let serves = |simulation: &Simulation| {
        simulation.all_hold_engine(&EngineId::from("engine-1"), EngineHealth::Serving)
    };
    simulation.run_until(seconds(20), "serving everywhere", serves);
    let now = simulation.now;
    let node = &mut simulation.nodes[9].membership;
    node.set_engine_health(now, &id, None, EngineHealth::Leaving);
    let leaves = |simulation: &Simulation| {
        simulation.all_hold_engine(&EngineId::from("engine-1"), EngineHealth::Leaving)
    };
    simulation.run_until(seconds(20), "leaving everywhere", leaves);
    let now = simulation.now;
    let report = engine("engine-1", &zone, 5, 50);
    simulation.nodes[3].membership.observe_engine(now, &report);
    simulation.run(seconds(10));
    assert!(leaves(&simulation), "leaving is final within a life");
    let now = simulation.now;
    let report = engine("engine-1", &zone, 6, 0);
    simulation.nodes[3].membership.observe_engine(now, &report);
    simulation.run_until(seconds(20), "the next life serves", serves);
}

#[test]
fn a_word_about_an_earlier_life_does_not_mark_the_present_one() {
    let mut simulation = Simulation::new(2, 1, 17);
    let zone = zone_name(0, 1);
    let id = EngineId::from("engine-1");
    let now = simulation.now;
    let node = &mut simulation.nodes[0].membership;
    node.observe_engine(now, &engine("engine-1", &zone, 6, 0));
    let health = |node: &Membership| node.engines().get(&id).map(|engine| engine.health);
    node.set_engine_health(now, &id, Some(Incarnation(5)), EngineHealth::Leaving);
    assert_eq!(health(node), Some(EngineHealth::Serving));
    node.set_engine_health(now, &id, Some(Incarnation(6)), EngineHealth::Leaving);
    assert_eq!(health(node), Some(EngineHealth::Leaving));
}

#[test]
fn loads_spread_within_the_zone() {
    let mut simulation = Simulation::new(40, 2, 16);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    let zone = zone_name(0, 2);
    let id = EngineId::from("engine-1");
    for sequence in 1..20 {
        let now = simulation.now;
        let report = engine("engine-1", &zone, 5, sequence);
        simulation.nodes[0].membership.observe_engine(now, &report);
        simulation.run(seconds(1));
    }
    for node in (0..40).step_by(2) {
        let record = simulation.nodes[node]
            .membership
            .engines()
            .get(&id)
            .unwrap();
        assert!(
            record.report_sequence >= 12,
            "daemon {node}: {}",
            record.report_sequence
        );
    }
}

#[test]
fn an_engine_of_which_nothing_is_heard_expires_everywhere() {
    let mut simulation = Simulation::new(12, 2, 17);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    let now = simulation.now;
    let report = engine("engine-1", &zone_name(0, 2), 5, 1);
    simulation.nodes[0].membership.observe_engine(now, &report);
    simulation.run(seconds(30));
    assert!(simulation.all_hold_engine(&report.id, EngineHealth::Serving));
    simulation.run(seconds(640));
    assert!(
        simulation
            .nodes
            .iter()
            .all(|node| node.membership.engines().iter().count() == 0)
    );
}

#[test]
fn a_peers_revision_is_noted() {
    let mut simulation = Simulation::new(2, 1, 18);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    let id = simulation.node_id(1);
    let membership = &mut simulation.nodes[0].membership;
    membership.note_complete_to(&id, Revision(9));
    membership.note_complete_to(&id, Revision(4));
    assert_eq!(
        membership.members().get(&id).unwrap().record.complete_to,
        Revision(9)
    );
}

#[test]
fn a_quiet_daemon_sends_little() {
    let mut simulation = Simulation::new(60, 6, 19);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    simulation.run(seconds(60));
    let before: usize = simulation.nodes.iter().map(|node| node.sent.total()).sum();
    simulation.run(seconds(60));
    let after: usize = simulation.nodes.iter().map(|node| node.sent.total()).sum();
    let bytes_per_second = (after - before) / 60 / 60;
    println!("{bytes_per_second} bytes/s per daemon");
    assert!(bytes_per_second < 400);
}

#[test]
fn a_new_notice_reaches_everyone_within_seconds() {
    let mut simulation = Simulation::new(60, 6, 20);
    simulation.run_until(LIMIT, "all alive", Simulation::all_alive_agree);
    simulation.run(seconds(15));
    let notice = vec![7, 7];
    simulation.nodes[8]
        .membership
        .set_notice(notice.clone(), true);
    simulation.adopt_notices = true;
    let told = |simulation: &Simulation| {
        let mut nodes = simulation.nodes.iter();
        nodes.all(|node| node.membership.notice() == [7, 7])
    };
    simulation.run_until(seconds(5), "told", told);
}
