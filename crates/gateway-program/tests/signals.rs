//! Signals that come while the program starts.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::process::{Command, Stdio};

use driftspring_system_tests::TemporaryDirectory;

#[test]
fn an_order_to_reload_does_not_end_a_process_that_is_reading_its_settings() {
    // A gateway was killed and started again, and told to reload 187 ms later on a busy machine: it had logged nothing yet and ended
    // with signal 1, since it waited for signals only after its settings were read. Here the settings come from a pipe, so
    // that the process is known to be reading them.
    let folder = TemporaryDirectory::create().expect("a folder");
    let settings = folder.path().join("settings.toml");
    let made = Command::new("mkfifo").arg(&settings).status();
    assert!(made.expect("mkfifo").success());
    let mut gateway = Command::new(env!("CARGO_BIN_EXE_driftspring-gateway"))
        .arg("run")
        .arg(&settings)
        .stderr(Stdio::null())
        .spawn()
        .expect("started");
    // Opens once the process has opened it for reading.
    let mut pipe: File = OpenOptions::new()
        .write(true)
        .open(&settings)
        .expect("open");
    let id = gateway.id().to_string();
    let sent = Command::new("kill").args(["-HUP", &id]).status();
    assert!(sent.expect("kill").success());
    // The pipe is closed with nothing but this in it: faulty settings, which end the process with code 2.
    pipe.write_all(b"name = 1\n").expect("written");
    drop(pipe);
    let ended = gateway.wait().expect("ended");
    assert_eq!(ended.code(), Some(2), "{ended}");
}
