//! The binary says which promise broke, at which event, and fails.

mod common;

use std::process::Command;

use common::{Script, invocation};
use driftspring_history::{Event, Recorder};

#[test]
fn a_bad_recording_fails_and_names_promise_and_event() {
    let path = std::env::temp_dir().join(format!("driftspring-check-{}", std::process::id()));
    let recorder = Recorder::to_file(&path).expect("recorder");
    recorder.record_at(1, Event::Invoked(invocation(1)));
    let run_check = || {
        recorder.history();
        Command::new(env!("CARGO_BIN_EXE_driftspring-check"))
            .arg(&path)
            .output()
            .expect("driftspring-check")
    };
    let good = run_check();
    for (token, place) in [(0, 0), (2, 1)] {
        let script = Script::default().token(2 + place, 1, token, token as usize);
        for timed in script.events() {
            recorder.record_at(timed.at_us, timed.event.clone());
        }
    }
    let bad = run_check();
    std::fs::remove_file(&path).expect("remove");
    assert!(good.status.success());
    assert!(!bad.status.success());
    let report = String::from_utf8_lossy(&bad.stdout);
    assert!(report.contains("BROKEN  streams at event 2"), "{report}");
    assert!(report.contains("ok      fencing"), "{report}");
}
