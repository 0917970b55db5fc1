//! `driftspring-gateway quarantine` lists what the store keeps, and releases one request.

#[path = "support/settings.rs"]
mod settings;

use std::path::Path;
use std::process::{Command, Output};

use driftspring_platform_standin::store::Store;
use driftspring_system_tests::TemporaryDirectory;
use serde_json::json;
use settings::write_settings;

const FINGERPRINT: &str = "93e788c57bb24113c63539ab2ca7b0e2";

fn program(settings: &Path, release: Option<&str>) -> Output {
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

    let listed = program(&settings, None);
    assert!(listed.status.success(), "{listed:?}");
    let text = String::from_utf8_lossy(&listed.stdout).into_owned();
    assert!(
        text.contains(FINGERPRINT) && text.contains("quarantined=true ended=2"),
        "{text}"
    );

    let unknown = program(&settings, Some(&FINGERPRINT.replace('9', "8")));
    assert!(!unknown.status.success(), "{unknown:?}");
    let malformed = program(&settings, Some("93e7"));
    assert!(!malformed.status.success(), "{malformed:?}");
    assert_eq!(store.state.names("quarantine").len(), 1);

    let released = program(&settings, Some(FINGERPRINT));
    assert!(released.status.success(), "{released:?}");
    assert!(store.state.names("quarantine").is_empty());
}
