//! What `driftctl` says without any daemon: faults of statements and flags, and servers out of reach.

mod support;

use std::io::Write;
use std::process::Stdio;

use support::{TestSystem, answer_of, closed_address, command, run};

#[test]
fn faulty_statement_shows_its_column() {
    let answer = run(&["show rotues"]);
    assert_eq!(answer.exit, 2);
    assert!(
        answer
            .errors
            .starts_with("show rotues\n     ^^^^^^\ncolumn 6: "),
        "{}",
        answer.errors
    );
    assert!(answer.errors.contains("did you mean \"routes\"?"));
}

#[test]
fn faulty_statement_is_told_as_json_too() {
    let answer = run(&["--output", "json", "drain", "engine"]);
    assert_eq!(answer.exit, 2);
    let json = answer.only();
    assert_eq!(json["status"], "invalid");
    assert_eq!(json["error"]["column"], 13);
}

#[test]
fn faulty_flags_are_usage_errors() {
    assert_eq!(run(&["--output", "xml", "show routes"]).exit, 2);
    assert_eq!(run(&["--server", "nowhere", "show routes"]).exit, 2);
    assert_eq!(run(&["-f", "no-such-file.txt"]).exit, 2);
    assert_eq!(run(&["-f", "x", "show routes"]).exit, 2);
}

#[test]
fn unreachable_daemon_has_its_own_exit_code() {
    let server = closed_address().to_string();
    let answer = run(&["--server", &server, "show routes"]);
    assert_eq!(answer.exit, 4, "{answer:?}");
    let answer = run(&["--server", &server, "drain engine e"]);
    assert_eq!(answer.exit, 4, "{answer:?}");
}

#[test]
fn servers_are_tried_in_turn() {
    let system = TestSystem::start(1);
    let closed = closed_address().to_string();
    let open = system.operators(0).to_string();
    let answer = run(&["-s", &closed, "-s", &open, "show routes"]);
    assert_eq!(answer.exit, 0, "{answer:?}");
    assert!(
        answer.standard.starts_with("name  tenant"),
        "{}",
        answer.standard
    );
    assert!(answer.standard.ends_with("(0 rows)\n"));
}

#[test]
fn fault_in_a_script_names_file_and_line() {
    let file = std::env::temp_dir().join(format!("driftctl-fault-{}.txt", std::process::id()));
    std::fs::write(&file, "# first\nshow rotues\n").expect("a temporary file");
    let path = file.to_str().expect("UTF-8");
    let answer = run(&["-f", path]);
    std::fs::remove_file(&file).expect("the file is there");
    assert_eq!(answer.exit, 2);
    let expected = format!("{path}:2:\nshow rotues\n     ^^^^^^\n");
    assert!(answer.errors.starts_with(&expected), "{}", answer.errors);
}

#[test]
fn statements_are_read_from_standard_input() {
    let mut child = command(&["--output", "json"])
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .spawn()
        .expect("driftctl runs");
    let mut input = child.stdin.take().expect("a pipe");
    input
        .write_all(b"# nothing\nshow x\nshow y\n")
        .expect("driftctl reads");
    drop(input);
    let answer = answer_of(child.wait_with_output().expect("driftctl ends"));
    assert_eq!(answer.exit, 2);
    assert_eq!(answer.json().len(), 2);
}
