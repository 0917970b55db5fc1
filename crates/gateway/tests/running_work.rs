//! The streams that are expected to run at a replica and its recent prefill, as a gateway learns them.

#[path = "support/registry_scene.rs"]
mod registry_scene;

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_gateway::configuration::{Backend, CallerLimits, Configuration, Route, RouteKind};
use driftspring_gateway::interference::{
    DecayedSum, Interference, OwnStream, ServiceInterference, StreamPace, TokenTime,
};
use driftspring_gateway::peers::message::WirePrompt;
use driftspring_gateway::replicas::{
    MAX_PROMPT_TOKENS, MAX_STREAM_TIME, MAX_TRACKED_STREAMS, Registry, Replica, RunningWork,
};
use driftspring_settings::InterferenceMode;
use quickcheck::quickcheck;
use registry_scene::entry;

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn route(name: &str, pause_target: Option<Duration>) -> Route {
    Route {
        name: name.to_owned(),
        host: "host".to_owned(),
        path_prefix: format!("/{name}/"),
        kind: RouteKind::Streaming,
        timeout: ms(5000),
        objective: ms(500),
        first_event_timeout: None,
        pause_target,
        priority: 1,
        max_attempts: 1,
        is_public: true,
        is_resumable: false,
        backends: vec![Backend {
            service: "service".to_owned(),
            weight: 1,
        }],
    }
}

fn configuration(targets: &[Option<Duration>]) -> Configuration {
    let routes = targets.iter().map(|target| route("route", *target));
    let limits = CallerLimits {
        max_header_bytes: 1000,
        max_body_bytes: 1000,
        ..CallerLimits::default()
    };
    Configuration::new(1, routes.collect(), Vec::new(), None, limits)
}

/// A report of a stream of so many tokens at the replica `r1`.
fn stream(output_tokens: u32) -> WirePrompt {
    WirePrompt {
        replica: "r1".to_owned(),
        born: Some(1),
        tokens: 0,
        prefixes: Vec::new(),
        sender: 7,
        output_tokens,
        pause_target_ms: 300,
        whole_tokens: 100,
    }
}

fn replica() -> Rc<Replica> {
    Replica::new(entry("r1", Some(1)))
}

fn record(interference: &Interference, replica: &Replica, prompt: &WirePrompt, now: Instant) {
    let configuration = configuration(&[Some(ms(300))]);
    replica.record_prompt(prompt.tokens, now);
    interference.record_reported(Some(&configuration), replica, prompt, now);
}

#[test]
fn the_shortest_pause_target_of_a_service_is_that_of_its_routes_that_name_one() {
    let targets = [Some(ms(600)), None, Some(ms(300))];
    let shortest = |targets| configuration(targets).shortest_pause_target("service");
    assert_eq!(shortest(&targets), Some(ms(300)));
    assert_eq!(shortest(&[None]), None);
    assert_eq!(configuration(&targets).shortest_pause_target("other"), None);
}

#[test]
fn a_reported_stream_counts_until_its_expected_end() {
    // Nobody reports the end of a stream: without an expected end the count would only grow.
    let now = Instant::now();
    let replica = replica();
    let interference = Interference::new(InterferenceMode::Both);
    let token_time = interference.service("service").token_time.get();
    record(&interference, &replica, &stream(42), now);
    let end = now + token_time * 42;
    assert_eq!(replica.load(now).running_streams, 1.0);
    assert_eq!(replica.load(end - ms(1)).running_streams, 1.0);
    assert_eq!(replica.load(end).running_streams, 0.0);
}

#[test]
fn a_stream_behind_other_prompts_ends_later() {
    let now = Instant::now();
    let replica = replica();
    let interference = Interference::new(InterferenceMode::Both);
    replica.record_prompt(36_000, now);
    record(&interference, &replica, &stream(1), now);
    assert_eq!(replica.load(now + ms(1000)).running_streams, 1.0);
    assert_eq!(replica.load(now + ms(1100)).running_streams, 0.0);
}

#[test]
fn with_the_setting_off_nothing_is_recorded() {
    let now = Instant::now();
    let replica = replica();
    let interference = Interference::new(InterferenceMode::Off);
    record(&interference, &replica, &stream(42), now);
    assert_eq!(replica.load(now).running_streams, 0.0);
    assert!(interference.services().is_empty());
}

#[test]
fn prompts_without_a_pause_target_and_those_of_the_previous_build_are_no_streams() {
    let now = Instant::now();
    let replica = replica();
    let interference = Interference::new(InterferenceMode::Both);
    let prompt = WirePrompt {
        tokens: 7200,
        output_tokens: 0,
        pause_target_ms: 0,
        whole_tokens: 0,
        ..stream(0)
    };
    record(&interference, &replica, &prompt, now);
    assert_eq!(replica.load(now).running_streams, 0.0);
    let demand = interference.service("service").demand(now);
    assert!(demand > 0.0, "it is long all the same");
}

#[test]
fn an_own_stream_counts_while_it_is_open_whatever_was_expected() {
    let replica = replica();
    let service = Rc::new(ServiceInterference::default());
    let much_later = Instant::now() + MAX_STREAM_TIME * 2;
    let long = OwnStream::begin(&replica, Rc::clone(&service), 1);
    let short = OwnStream::begin(&replica, service, 1000);
    assert_eq!(replica.work.own_streams(), 2);
    drop(short);
    assert_eq!(replica.load(Instant::now()).running_streams, 1.0);
    assert_eq!(replica.load(much_later).running_streams, 1.0);
    drop(long);
    assert_eq!(replica.load(Instant::now()).running_streams, 0.0);
}

#[test]
fn a_restarted_replica_has_neither_streams_nor_prefill() {
    let now = Instant::now();
    let registry = Registry::default();
    registry.upsert(entry("r1", Some(1)));
    let before = registry.get("r1").expect("listed");
    let interference = Interference::new(InterferenceMode::Both);
    record(&interference, &before, &stream(1000), now);
    before.record_prompt(7200, now);
    let own = OwnStream::begin(&before, interference.service("service"), 10);
    registry.upsert(entry("r1", Some(2)));
    let after = registry.get("r1").expect("listed").load(now);
    assert_eq!((after.running_streams, after.prefill_share), (0.0, 0.0));
    drop(own);
    assert_eq!(registry.get("r1").expect("listed").work.own_streams(), 0);
}

#[test]
fn nonsense_in_a_report_is_bounded() {
    let now = Instant::now();
    let replica = replica();
    let interference = Interference::new(InterferenceMode::Both);
    let nonsense = WirePrompt {
        tokens: u64::MAX,
        output_tokens: u32::MAX,
        pause_target_ms: u32::MAX,
        whole_tokens: u32::MAX,
        ..stream(0)
    };
    for _ in 0..3 {
        record(&interference, &replica, &nonsense, now);
    }
    let load = replica.load(now);
    // Three prompts of the greatest size, as the estimate counts them.
    let most = ms(MAX_PROMPT_TOKENS / 36 + 1) * 3;
    assert!(load.remaining_prefill <= most, "{load:?}");
    assert!(load.prefill_share <= most.as_secs_f64(), "{load:?}");
    assert_eq!(load.running_streams, 3.0);
    assert_eq!(replica.load(now + MAX_STREAM_TIME).running_streams, 0.0);
    let demand = interference.service("service").demand(now);
    assert!(demand.is_finite());
}

#[test]
fn the_record_of_a_replica_keeps_the_streams_that_end_last() {
    let now = Instant::now();
    let work = RunningWork::default();
    for _ in 0..1000 {
        work.record_reported_stream(ms(10), now);
    }
    assert_eq!(work.running_streams(now), MAX_TRACKED_STREAMS as f64);
    for _ in 0..5 {
        work.record_reported_stream(ms(500), now);
    }
    assert_eq!(work.running_streams(now), MAX_TRACKED_STREAMS as f64);
    assert_eq!(work.running_streams(now + ms(10)), 5.0);
}

#[test]
fn the_prefill_share_is_that_of_the_recent_second() {
    let start = Instant::now();
    let replica = replica();
    // 100 ms of prefill each 200 ms.
    for number in 0..50 {
        replica.record_prompt(3600, start + ms(200) * number);
    }
    let end = start + ms(10_000);
    let share = replica.load(end).prefill_share;
    assert!((0.4..0.6).contains(&share), "{share}");
    assert!(replica.load(end + ms(5000)).prefill_share < 0.01);
}

#[test]
fn the_demand_of_long_prompts_is_known_soon_after_a_start() {
    // A gateway that has just started would otherwise reserve too few replicas for 2 s.
    let start = Instant::now();
    let mut demand = DecayedSum::new(ms(2000));
    for number in 0..100 {
        demand.add(ms(80), start + ms(8) * number);
    }
    let soon = demand.share_since_first(start + ms(800));
    assert!((8.0..12.0).contains(&soon), "{soon}");
    let first = DecayedSum::new(ms(2000)).share_since_first(start);
    assert_eq!(first, 0.0);
}

#[test]
fn the_time_per_token_approaches_that_of_the_streams_and_ignores_outliers() {
    let time = TokenTime::default();
    for number in 0..200 {
        let sample = match number % 10 {
            0 => Duration::from_secs(3600),
            _ => ms(5),
        };
        time.record(sample);
    }
    assert!((ms(4)..ms(7)).contains(&time.get()), "{:?}", time.get());
}

#[test]
fn the_pace_of_a_stream_is_measured_from_its_first_event() {
    let start = Instant::now();
    let mut pace = StreamPace::new();
    // 42 tokens in 7 reads, 5 ms each; the first read is the seventh part.
    for read in 0..7_u32 {
        pace.record_events(start + ms(30) * read);
    }
    assert_eq!(pace.time_per_token(42), Some(ms(5)));
    assert_eq!(pace.time_per_token(0), None, "unknown length");
    let mut few = StreamPace::new();
    few.record_events(start);
    few.record_events(start + ms(30));
    assert_eq!(few.time_per_token(7), None);
}

quickcheck! {
    fn the_time_per_token_stays_within_its_bounds(samples: Vec<u64>) -> bool {
        let time = TokenTime::default();
        for sample in samples {
            time.record(Duration::from_micros(sample));
        }
        (ms(1)..=ms(200)).contains(&time.get())
    }
}
