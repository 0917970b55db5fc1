//! `driftspring-gateway quarantine` lists the store's records and releases a single request.

#[path = "support/settings.rs"]
mod settings;

use std::path::Path;
use std::process::{Command, Output};

use driftspring_platform_standin::store::Store;
use driftspring_system_tests::TemporaryDirectory;
use serde_json::json;
use settings::write_settings;

const FINGERPRINT: &str = "93e788c57bb24113c63539ab2ca7b0e2";

fn run_program(settings: &Path, release: Option<&str>) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_driftspring-gateway"));
    command.arg("quarantine").arg(settings);
    if let Some(fingerprint) = release {
        command.args(["--release", fingerprint]);
    }
    command.output().expect("the program runs")
}

#[test]
fn the_quarantine_is_listed_and_one_request_released() {
    let store = Store::start().expect("a store");
    let record = json!({"generation": 1, "replicas": ["000000000000000a", "000000000000000b"],
        "quarantined": true, "trials": 0});
    store.state.put("quarantine", FINGERPRINT, record);
    let folder = TemporaryDirectory::create().expect("a folder");
    let settings = write_settings(folder.path(), store.address(), "");

    let listed = run_program(&settings, None);
    assert!(listed.status.success(), "{listed:?}");
    let text = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert!(
        text.contains(FINGERPRINT) && text.contains("quarantined=true ended=2"),
        "{text}"
    );

    let unknown = run_program(&settings, Some(&FINGERPRINT.replace('9', "8")));
    assert!(!unknown.status.success(), "{unknown:?}");
    let malformed = run_program(&settings, Some("93e7"));
    assert!(!malformed.status.success(), "{malformed:?}");
    assert_eq!(store.state.names("quarantine").len(), 1);

    let released = run_program(&settings, Some(FINGERPRINT));
    assert!(released.status.success(), "{released:?}");
    assert!(store.state.names("quarantine").is_empty());
}

#[test]
fn crashes_and_completions_are_listed_with_the_reason_why_a_request_is_held_or_sent() {
    let store = Store::start().expect("a store");
    let put = |name: &str,
               replicas: &[&str],
               quarantined: bool,
               completions: u32,
               isolated_trials: u32| {
        let record = json!({"generation": 2, "replicas": replicas, "quarantined": quarantined,
            "trials": 0, "goodEnds": completions, "apartTrials": isolated_trials});
        store.state.put("quarantine", &name.repeat(32), record);
    };
    let [a, b, c, d] = [
        "000000000000000a",
        "000000000000000b",
        "000000000000000c",
        "000000000000000d",
    ];
    put("1", &[a, b, c], true, 17, 0);
    put("2", &[a, b, c], true, 0, 1);
    put("3", &[d], true, 0, 0);
    put("4", &[a, b], false, 5, 0);
    let folder = TemporaryDirectory::create().expect("a folder");
    let settings = write_settings(folder.path(), store.address(), "");
    let listed = run_program(&settings, None);
    let text = String::from_utf8_lossy(&listed.stdout).into_owned();
    for (name, parts) in [
        (
            "1",
            [
                "ended=3 good_ends=17 let_go=2",
                "held until it is tried apart: 1 others",
            ],
        ),
        (
            "2",
            [
                "apart_trials=1",
                "held: tried apart 1 times without a whole answer",
            ],
        ),
        (
            "3",
            [
                "ended=1 good_ends=0",
                "held: no other request explains these ends",
            ],
        ),
        ("4", ["quarantined=false", "sent, once in each try"]),
    ] {
        let line = text.lines().find(|line| line.starts_with(&name.repeat(32)));
        let line = line.unwrap_or_else(|| panic!("{name} is missing: {text}"));
        for part in parts {
            assert!(line.contains(part), "{part:?} is missing: {line}");
        }
    }
}
