//! The engine choice follows what is cached: by answers, by cache events, and not into an old life.

mod support;

use std::cell::Cell;

use driftspring_directory::Overlap;
use driftspring_prefix::{BLOCK_BYTES, CacheScope, Fingerprint};
use driftspring_settings::{RoutingPolicy, Settings};
use driftspring_types::EngineId;
use support::daemon::{MODEL, TestDaemon, WEIGHTS};
use support::engines::Engines;
use support::wait_until;

const TOKENS: u32 = 2;
const BLOCKS: usize = 20;

/// A prompt of whole shared blocks and the text `tail`.
fn prompt(tail: &str) -> String {
    prompt_of("band 4: 2 to 8 degrees; ", tail)
}

fn prompt_of(shared: &str, tail: &str) -> String {
    let bytes = BLOCKS * BLOCK_BYTES;
    let text = shared.repeat(bytes / shared.len() + 1);
    format!("{}{tail}", &text[..bytes])
}

fn fingerprint_of(prompt: &str) -> Fingerprint {
    let scope = CacheScope {
        tenant: "depots".into(),
        model: MODEL.into(),
        weights_version: WEIGHTS,
    };
    Fingerprint::of_prompt(&scope.salt(), prompt.as_bytes())
}

/// What the daemon believes `engine` to have of `prompt` in its present life.
fn believed(daemon: &TestDaemon, engine: &str, prompt: &str) -> Overlap {
    let state = &daemon.running.state;
    let engines = state.engines.load();
    let Some(entry) = engines.get(&EngineId::new(engine)) else {
        return Overlap::default();
    };
    let residency = state.routing.residency_of(&entry.record);
    residency.map_or(Overlap::default(), |known| {
        known.overlap(&fingerprint_of(prompt), state.uptime())
    })
}

fn with_policy(policy: RoutingPolicy) -> impl FnOnce(&mut Settings) {
    move |settings| settings.routing.policy = policy
}

fn wait_for_reports(daemon: &TestDaemon) {
    wait_until("every engine has reported", || {
        let engines = daemon.running.state.engines.load();
        let has_reported = engines.iter().all(|entry| entry.record.incarnation.0 > 0);
        has_reported && engines.iter().next().is_some()
    });
}

#[test]
fn requests_with_one_prefix_go_where_it_is_cached() {
    let engines = Engines::start(4);
    let daemon = TestDaemon::start(&engines.addresses(), with_policy(RoutingPolicy::Full));
    wait_for_reports(&daemon);
    let caller = daemon.caller();
    let first = caller.complete(&[], &prompt("first"), TOKENS);
    let home = first.header("x-engine").expect("an engine").to_owned();
    assert_eq!(
        believed(&daemon, &home, &prompt("")).blocks as usize,
        BLOCKS
    );
    for number in 0..6 {
        let answer = caller.complete(&[], &prompt(&format!("later {number}")), TOKENS);
        assert_eq!(answer.header("x-engine"), Some(home.as_str()));
        let cached: usize = answer
            .header("x-cached-tokens")
            .and_then(|count| count.parse().ok())
            .expect("a count");
        assert_eq!(cached, BLOCKS * BLOCK_BYTES / 4);
    }
}

#[test]
fn round_robin_spreads_them() {
    let engines = Engines::start(4);
    let daemon = TestDaemon::start(&engines.addresses(), with_policy(RoutingPolicy::RoundRobin));
    wait_for_reports(&daemon);
    let mut used: Vec<String> = (0..4)
        .map(|_| daemon.caller().complete(&[], &prompt("x"), TOKENS))
        .filter_map(|answer| answer.header("x-engine").map(str::to_owned))
        .collect();
    used.sort_unstable();
    used.dedup();
    assert_eq!(used.len(), 4, "{used:?}");
}

#[test]
fn nothing_is_believed_of_an_engine_after_its_crash() {
    let engines = Engines::start(1);
    let daemon = TestDaemon::start(&engines.addresses(), with_policy(RoutingPolicy::Full));
    wait_for_reports(&daemon);
    let caller = daemon.caller();
    caller.complete(&[], &prompt("first"), TOKENS);
    assert_eq!(
        believed(&daemon, "engine-0", &prompt("")).blocks as usize,
        BLOCKS
    );
    engines.0[0].state.crash();
    let answer = caller.complete(&[], &prompt("second"), TOKENS);
    assert_eq!(answer.header("x-cached-tokens"), Some("0"));
    let life = |daemon: &TestDaemon| {
        let engines = daemon.running.state.engines.load();
        engines
            .get(&"engine-0".into())
            .map(|entry| entry.record.incarnation)
    };
    let directory = &daemon.running.state.routing.directory;
    let present = life(&daemon).expect("the engine is known");
    let known = directory.of_incarnation(&"engine-0".into(), present);
    assert!(known.is_some(), "the residency is that of the new life");
}

#[test]
fn cache_events_tell_of_what_other_daemons_had_computed() {
    let engines = Engines::start(1);
    let reading = TestDaemon::start(&engines.addresses(), |settings| {
        settings.routing.use_events = true;
    });
    let other = TestDaemon::start(&engines.addresses(), |settings| {
        settings.id = "daemon-2".into();
    });
    wait_for_reports(&reading);
    wait_for_reports(&other);
    // The reader may connect after a prompt was computed, so that new ones go on until it hears one.
    let number = Cell::new(0);
    wait_until("the events are heard", || {
        number.set(number.get() + 1);
        let prompt = prompt_of(&format!("depot {}; ", number.get()), "");
        other.caller().complete(&[], &prompt, TOKENS);
        believed(&reading, "engine-0", &prompt).blocks as usize == BLOCKS
    });
}
