//! The daemon's program as operators start it.

use std::io::Write;
use std::process::{Command, Output, Stdio};

const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../../docs/driftspring.example.toml"
);

fn driftspring(arguments: &[&str], input: &str) -> Output {
    let mut child = Command::new(env!("CARGO_BIN_EXE_driftspring"))
        .args(arguments)
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut pipe = child.stdin.take().expect("a pipe");
    // A program that reads no input may have ended before all of it is written.
    let _ = pipe.write_all(input.as_bytes());
    drop(pipe);
    child.wait_with_output().expect("the program ends")
}

fn text(bytes: Vec<u8>) -> String {
    String::from_utf8(bytes).expect("UTF-8")
}

#[test]
fn example_settings_are_valid() {
    let output = driftspring(&["check-config", EXAMPLE], "");
    assert_eq!(output.status.code(), Some(0));
    assert!(text(output.stdout).starts_with("valid: daemon router-12 in zone-a"));
}

#[test]
fn faulty_settings_list_every_fault_with_its_line() {
    let name = format!("driftspring-faulty-{}.toml", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, "id = \"a\"\nzone = \"b c\"\n[log]\njson = 1\n").expect("a file");
    let arguments = ["check-config", path.to_str().expect("UTF-8")];
    let output = driftspring(&arguments, "");
    std::fs::remove_file(&path).expect("the file is there");
    assert_eq!(output.status.code(), Some(2));
    let errors = text(output.stderr);
    assert!(
        errors.contains("line 2, column 8: zone: expected"),
        "{errors}"
    );
    assert!(
        errors.contains("line 4, column 8: log.json: expected true or false, found 1"),
        "{errors}"
    );
    assert!(errors.contains("listen.callers: missing"), "{errors}");
}

#[test]
fn daemon_with_faulty_flags_does_not_start() {
    let flags = ["run", "--config", EXAMPLE, "--set", "request.max_open=0"];
    let output = driftspring(&flags, "");
    assert_eq!(output.status.code(), Some(2));
    let errors = text(output.stderr);
    assert!(
        errors.starts_with("flag: request.max_open: expected a whole number"),
        "{errors}"
    );
}

#[test]
fn bearer_key_is_hashed_as_the_example_shows() {
    let output = driftspring(&["hash-key"], "example-key\n");
    let hash = text(output.stdout);
    let example = std::fs::read_to_string(EXAMPLE).expect("the example is there");
    assert!(
        example.contains(&format!("key_hash = \"{}\"", hash.trim())),
        "{hash}"
    );
}

#[test]
fn catalogue_is_printed_as_documented() {
    let output = driftspring(&["events"], "");
    assert_eq!(text(output.stdout), driftspring_telemetry::catalogue_page());
}
