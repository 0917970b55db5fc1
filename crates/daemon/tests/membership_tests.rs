//! Daemons, engines and the machine list together: who learns what, and when one is leaving.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use driftspring::{Daemon, RunningDaemon};
use driftspring_settings::Settings;
use driftspring_standin::engine::{self, EngineStandinOptions, RunningEngine};
use driftspring_standin::machine_list::{self, Machine, MachineKind, MachineState};
use driftspring_standin::ports::free_address;
use driftspring_standin::{FaultUpdate, machine_list::RunningMachineList};
use driftspring_types::{DaemonId, EngineHealth, EngineId, MemberState, ZoneName};

/// No condition may take longer than this.
const DEADLINE: Duration = Duration::from_secs(30);

const FREE_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);

fn eventually(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + DEADLINE;
    while !condition() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

fn daemon(name: &str, zone: &str, change: impl FnOnce(&mut Settings)) -> RunningDaemon {
    let mut settings = Settings::loopback(DaemonId::from(name), ZoneName::from(zone));
    settings.listen.peers = free_address().unwrap();
    change(&mut settings);
    Daemon::start(settings).unwrap()
}

fn state_of(daemon: &RunningDaemon, name: &str) -> Option<MemberState> {
    let members = daemon.state.members.load();
    let member = members.iter().find(|member| member.id.as_str() == name);
    member.map(|member| member.state)
}

fn health_of(daemon: &RunningDaemon, name: &str) -> Option<EngineHealth> {
    let engines = daemon.state.engines.load();
    engines
        .get(&EngineId::from(name))
        .map(|entry| entry.record.health)
}

fn machine(engine: &RunningEngine, state: MachineState) -> Machine {
    Machine {
        id: engine.state.options().id.to_string(),
        kind: MachineKind::Engine,
        address: engine.server.address.to_string(),
        zone: engine.state.options().zone.to_string(),
        state,
    }
}

fn listed_engine(name: &str) -> (RunningEngine, RunningMachineList) {
    let options = EngineStandinOptions::loopback(name, "zone-a", "model");
    let engine = engine::start(options).unwrap();
    let list = machine_list::start(FREE_PORT, vec![machine(&engine, MachineState::Live)]).unwrap();
    (engine, list)
}

#[test]
fn daemons_meet_through_a_seed_and_hear_of_a_planned_stop() {
    let first = daemon("first", "zone-a", |_| ());
    let seed = first.addresses().peers;
    let second = daemon("second", "zone-a", |settings| settings.seeds = vec![seed]);
    let third = daemon("third", "zone-b", |settings| settings.seeds = vec![seed]);
    for daemon in [&first, &second, &third] {
        for name in ["first", "second", "third"] {
            eventually("all alive", || {
                state_of(daemon, name) == Some(MemberState::Alive)
            });
        }
    }
    second.stop().unwrap();
    for daemon in [&first, &third] {
        eventually("leaving is known", || {
            matches!(
                state_of(daemon, "second"),
                Some(MemberState::Leaving | MemberState::Dead)
            )
        });
    }
}

/// Two clusters become one where a daemon of the one has taken an address that the other knows.
#[test]
fn daemons_of_another_cluster_join_through_a_reused_address() {
    let of = |cluster: &'static str| {
        move |settings: &mut Settings| settings.cluster = Some(cluster.to_owned())
    };
    let first = daemon("first", "zone-a", of("one"));
    let reused = first.addresses().peers;
    let [foreign, second] = [("foreign", "another"), ("second", "one")].map(|(name, cluster)| {
        daemon(name, "zone-a", |settings| {
            of(cluster)(settings);
            settings.seeds = vec![reused];
        })
    });
    eventually("the own cluster is one", || {
        state_of(&first, "second") == Some(MemberState::Alive)
            && state_of(&second, "first") == Some(MemberState::Alive)
    });
    // The foreign daemon tries its seed once in five seconds.
    let tries = Instant::now() + Duration::from_secs(6);
    while Instant::now() < tries {
        assert_eq!(state_of(&first, "foreign"), None);
        assert_eq!(state_of(&foreign, "first"), None);
        std::thread::sleep(Duration::from_millis(50));
    }
}

#[test]
fn daemons_meet_through_the_machine_list_alone() {
    let list = machine_list::start(FREE_PORT, Vec::new()).unwrap();
    let use_list =
        |settings: &mut Settings| settings.platform.machine_list = Some(list.server.address);
    let first = daemon("first", "zone-a", use_list);
    let second = daemon("second", "zone-a", use_list);
    let listed = [&first, &second].map(|daemon| Machine {
        id: daemon.state.settings.id.to_string(),
        kind: MachineKind::Daemon,
        address: daemon.addresses().peers.to_string(),
        zone: "zone-a".to_owned(),
        state: MachineState::Live,
    });
    list.list.set(listed.to_vec());
    eventually("they have met", || {
        state_of(&first, "second") == Some(MemberState::Alive)
            && state_of(&second, "first") == Some(MemberState::Alive)
    });
}

#[test]
fn an_engine_of_the_list_is_known_to_daemons_without_the_list() {
    let (engine, list) = listed_engine("engine");
    let reader = daemon("reader", "zone-a", |settings| {
        settings.platform.machine_list = Some(list.server.address);
    });
    let seed = reader.addresses().peers;
    let other = daemon("other", "zone-b", |settings| settings.seeds = vec![seed]);
    for daemon in [&reader, &other] {
        eventually("the engine serves", || {
            health_of(daemon, "engine") == Some(EngineHealth::Serving)
        });
    }
    list.list.set(vec![machine(&engine, MachineState::Leaving)]);
    for daemon in [&reader, &other] {
        eventually("the list's word is heard", || {
            health_of(daemon, "engine") == Some(EngineHealth::Leaving)
        });
    }
    engine.state.crash();
    for daemon in [&reader, &other] {
        eventually(
            "the next life serves, whatever the lagging list says",
            || health_of(daemon, "engine") == Some(EngineHealth::Serving),
        );
    }
}

#[test]
fn an_engines_own_word_suffices_while_the_list_is_down() {
    let (engine, list) = listed_engine("engine");
    let reader = daemon("reader", "zone-a", |settings| {
        settings.platform.machine_list = Some(list.server.address);
    });
    eventually("the engine serves", || {
        health_of(&reader, "engine") == Some(EngineHealth::Serving)
    });
    list.server.faults.update(&FaultUpdate {
        down: Some(true),
        ..FaultUpdate::default()
    });
    let before = reader.state.engines.load();
    let sequence = before
        .get(&EngineId::from("engine"))
        .map(|entry| entry.record.report_sequence);
    eventually("reports go on", || {
        let engines = reader.state.engines.load();
        let entry = engines.get(&EngineId::from("engine"));
        entry.map(|entry| entry.record.report_sequence) > sequence
    });
    engine.server.faults.update(&FaultUpdate {
        freeze: Some(true),
        ..FaultUpdate::default()
    });
    eventually("a frozen engine is unreachable", || {
        health_of(&reader, "engine") == Some(EngineHealth::Unreachable)
    });
    engine.server.faults.update(&FaultUpdate {
        freeze: Some(false),
        ..FaultUpdate::default()
    });
    eventually("it serves again", || {
        health_of(&reader, "engine") == Some(EngineHealth::Serving)
    });
}

#[test]
fn a_killed_daemon_is_found_dead_and_its_next_life_alive() {
    let first = daemon("first", "zone-a", |_| ());
    let seed = first.addresses().peers;
    let second = daemon("second", "zone-a", |settings| settings.seeds = vec![seed]);
    eventually("alive", || {
        state_of(&first, "second") == Some(MemberState::Alive)
    });
    second.kill();
    eventually("dead", || {
        state_of(&first, "second") == Some(MemberState::Dead)
    });
    let _second = daemon("second", "zone-a", |settings| settings.seeds = vec![seed]);
    eventually("alive again", || {
        state_of(&first, "second") == Some(MemberState::Alive)
    });
}
