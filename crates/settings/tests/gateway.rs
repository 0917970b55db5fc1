//! The gateway's settings: every value is checked, every fault listed.

use std::time::Duration;

use driftspring_settings::{Births, InterferenceMode, check_gateway};

const WHOLE: &str = r#"
name = "front-1"
zone = "z"
store = "10.200.1.7:8784"
seeds = ["10.1.0.30:8783"]
[listen]
callers = "10.1.0.30:8782"
health = "10.1.0.30:8789"
peers = "10.1.0.30:7340"
metrics = "10.1.0.30:9464"
[times]
key_currency_seconds = 5000e-3
stop_grace_seconds = 8
[retries]
ratio = 0.2
slack = 54
window_seconds = 10
"#;

#[test]
fn whole_settings_are_taken() {
    let settings = check_gateway(WHOLE).expect("valid");
    assert_eq!(settings.times.key_currency, Some(Duration::from_secs(5)));
    assert_eq!(settings.times.stop_grace, Duration::from_secs(8));
    assert_eq!(settings.times.lease_term, Duration::from_secs(3));
    assert_eq!(settings.times.contact, Duration::from_secs(3));
    assert_eq!(settings.retries.slack, 54.0);
    assert_eq!(settings.seeds.len(), 1);
}

#[test]
fn a_scaled_deployment_has_a_fraction_of_repeats() {
    // A deployment of a fifth of the machines was given a slack of 38.07692307692307, and its gateways ended with code 2.
    let text = WHOLE.replace("slack = 54", "slack = 38.07692307692307");
    let settings = check_gateway(&text).expect("valid");
    assert!((settings.retries.slack - 38.077).abs() < 0.001);
}

#[test]
fn the_mode_of_interference_is_one_of_four_words_and_off_by_default() {
    let with = |mode: &str| check_gateway(&format!("{WHOLE}[interference]\nmode = \"{mode}\""));
    let modes = [
        ("off", InterferenceMode::Off),
        ("stall", InterferenceMode::Stall),
        ("separate", InterferenceMode::Separate),
        ("both", InterferenceMode::Both),
    ];
    for (word, mode) in modes {
        assert_eq!(with(word).expect("valid").interference, mode);
    }
    assert_eq!(
        check_gateway(WHOLE).expect("valid").interference,
        InterferenceMode::Off
    );
    assert_eq!(
        with("on").expect_err("no such word")[0].key,
        "interference.mode"
    );
}

#[test]
fn the_speed_of_replicas_is_learnt_only_where_it_is_enabled() {
    let with = |section: &str| check_gateway(&format!("{WHOLE}{section}"));
    assert!(!with("").expect("valid").replica_speed_enabled);
    let enabled = with("[replica_speed]\nenabled = true").expect("valid");
    assert!(enabled.replica_speed_enabled);
    let faults = with("[replica_speed]\nenabled = 1").expect_err("no boolean");
    assert_eq!(faults[0].key, "replica_speed.enabled");
}

#[test]
fn what_is_asked_of_the_entries_of_replicas_is_one_of_three_words() {
    let with = |births: &str| check_gateway(&format!("{WHOLE}[replicas]\nbirths = \"{births}\""));
    assert_eq!(
        check_gateway(WHOLE).expect("valid").births,
        Births::Observed
    );
    assert_eq!(with("required").expect("valid").births, Births::Required);
    assert_eq!(with("optional").expect("valid").births, Births::Optional);
    assert_eq!(
        with("always").expect_err("no such word")[0].key,
        "replicas.births"
    );
}

#[test]
fn a_missing_value_is_named() {
    let text = WHOLE.replace("store = \"10.200.1.7:8784\"", "");
    let errors = check_gateway(&text).expect_err("no store");
    assert_eq!(errors.len(), 1);
    assert_eq!(errors[0].key, "store");
}

#[test]
fn every_fault_is_listed_with_its_line() {
    let text = WHOLE
        .replace("ratio = 0.2", "ratio = \"much\"")
        .replace("slack = 54", "slack = -1")
        .replace("stop_grace_seconds", "stop_grase_seconds");
    let errors = check_gateway(&text).expect_err("three faults");
    let keys: Vec<&str> = errors.iter().map(|error| error.key.as_str()).collect();
    assert_eq!(
        keys,
        ["times.stop_grase_seconds", "retries.ratio", "retries.slack"]
    );
    assert!(errors[0].to_string().contains("line 13"), "{}", errors[0]);
}

#[test]
fn text_that_is_no_toml_is_an_error() {
    assert!(check_gateway("name = ").is_err());
}
