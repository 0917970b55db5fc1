//! Signals that the program receives while it starts or stops.

#[path = "support/settings.rs"]
mod settings;

use std::fs::{File, OpenOptions};
use std::io::{BufRead, BufReader, Write};
use std::process::{Command, Stdio};

use driftspring_platform_standin::store::Store;
use driftspring_system_tests::TemporaryDirectory;
use settings::write_settings;

#[test]
fn an_order_to_reload_does_not_end_a_process_that_is_reading_its_settings() {
    // Guards against a process that registers its signal handlers only after reading its settings. A restarted gateway on a
    // busy machine received SIGHUP 187 ms after its start, before it had logged anything, and was terminated by it (signal 1).
    // The settings come from a pipe here, so that the process is certain to be reading them.
    let folder = TemporaryDirectory::create().expect("a folder");
    let settings = folder.path().join("settings.toml");
    let created = Command::new("mkfifo").arg(&settings).status();
    assert!(created.expect("mkfifo").success());
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_driftspring-gateway"))
        .arg("run")
        .arg(&settings)
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    // Blocks until the process has opened the pipe for reading.
    let mut pipe: File = OpenOptions::new()
        .write(true)
        .open(&settings)
        .expect("open");
    let id = gateway.id().to_string();
    let sent = Command::new("kill").args(["-HUP", &id]).status();
    assert!(sent.expect("kill").success());
    // These settings are invalid, so the process exits with code 2.
    pipe.write_all(b"name = 1\n").expect("written");
    drop(pipe);
    let ended = gateway.wait().expect("ended");
    assert_eq!(ended.code(), Some(2), "{ended}");
}

#[test]
fn a_planned_stop_ends_the_process_as_soon_as_nothing_is_open() {
    // Guards against a process that outlives its graceful stop. A request arrived 3 ms after a gateway had logged the end of
    // its stop. It was never read, and its connection was closed only 357 ms later with the process, while the HTTP library
    // shut down its servers; to the caller, this looks like a lost answer. The library logs at `info` that it stops each accept
    // loop ("Stopping accept loop"), so the log shows whether it had the time to do so.
    let store = Store::start().expect("a store");
    let folder = TemporaryDirectory::create().expect("a folder");
    let times_and_log = "stop_grace_seconds = 1\n[log]\nlevel = \"info, ntex=info\"";
    let settings = write_settings(folder.path(), store.address(), times_and_log);
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_driftspring-gateway"))
        .arg("run")
        .arg(&settings)
        .stdout(Stdio::piped())
        .spawn()
        .expect("started");
    let log = BufReader::new(gateway.stdout.take().expect("its log"));
    let mut lines = log.lines().map_while(Result::ok);
    let mut before_start = Vec::new();
    for line in lines.by_ref() {
        let is_started = line.contains("GATEWAY_STARTED");
        before_start.push(line);
        if is_started {
            break;
        }
    }
    let is_library_line = |line: &String| line.contains("Starting");
    assert!(
        before_start.iter().any(is_library_line),
        "the log lacks the library's lines: {before_start:?}"
    );
    let id = gateway.id().to_string();
    let sent = Command::new("kill").args(["-TERM", &id]).status();
    assert!(sent.expect("kill").success());
    assert!(lines.any(|line| line.contains("GATEWAY_STOPPED")));
    let after_stop: Vec<String> = lines.collect();
    let ended = gateway.wait().expect("ended");
    assert_eq!(ended.code(), Some(0), "{ended}");
    assert_eq!(after_stop, Vec::<String>::new());
}
