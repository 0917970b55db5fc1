//! Calls of the operators' interface that `driftctl` would not make.

mod support;

use serde_json::json;
use support::{HttpAnswer, TestSystem, post};

fn statement(system: &TestSystem, body: &str) -> HttpAnswer {
    post(system.operators(0), "/operator/statement", body)
}

#[test]
fn malformed_bodies_are_refused_with_their_place() {
    let system = TestSystem::start(1);
    for body in ["", "{", "[]", "{\"statement\": 7}", "{\"dry_run\": true}"] {
        let answer = statement(&system, body);
        assert_eq!(answer.status, 400, "{body}");
        assert!(
            answer.body.contains("malformed body"),
            "{body}: {}",
            answer.body
        );
    }
}

#[test]
fn faulty_statement_has_its_column_in_the_answer() {
    let system = TestSystem::start(1);
    let body = json!({"statement": "drain engin e"}).to_string();
    let answer = statement(&system, &body);
    assert_eq!(answer.status, 400);
    let json: serde_json::Value = serde_json::from_str(&answer.body).expect("JSON");
    assert_eq!(json["status"], "invalid");
    assert_eq!(json["error"]["column"], 7);
    assert_eq!(json["error"]["suggestion"], "engine");
}

#[test]
fn status_codes_follow_the_outcome() {
    let system = TestSystem::start(1);
    let status = |text: &str| statement(&system, &json!({"statement": text}).to_string()).status;
    assert_eq!(status("show routes"), 200);
    assert_eq!(status("remove route nothing"), 404);
    assert_eq!(status("add tenant a key k"), 200);
    assert_eq!(status("add tenant b key k"), 409);
}

#[test]
fn oversized_body_and_faulty_questions_are_refused() {
    let system = TestSystem::start(1);
    let body = json!({"statement": "x".repeat(1 << 20)}).to_string();
    let status = statement(&system, &body).status;
    assert!((400..500).contains(&status), "{status}");
    let operators = system.operators(0);
    for path in [
        "/operator/in-force",
        "/operator/in-force?key=nothing&revision=1",
        "/operator/in-force?key=routes/r&revision=x",
    ] {
        assert_eq!(support::get(operators, path).status, 400, "{path}");
    }
    assert_eq!(support::get(operators, "/operator/nothing").status, 404);
}
