//! Requests that are at fault get a clear error that names the field, and never a hang.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::sync::OnceLock;
use std::time::Duration;

use quickcheck::quickcheck;
use serde_json::json;
use support::caller::{Answer, Caller, OpenAnswer, completion};
use support::daemon::{MODEL, TestDaemon};

fn assert_refused(answer: &Answer, status: u16, field: &str) {
    let error = &answer.json()["error"];
    assert_eq!(answer.status, status, "{error}");
    assert_eq!(error["param"], field, "{error}");
    assert_eq!(error["not_run"], true, "{error}");
    assert_eq!(error["outcome"], "not_run", "{error}");
    assert!(
        error["message"]
            .as_str()
            .is_some_and(|text| text.contains(field)),
        "{error}"
    );
}

#[test]
fn a_field_at_fault_is_named() {
    let daemon = TestDaemon::start(&[], |_| ());
    let caller = daemon.caller();
    let cases = [
        (json!({"prompt": "text"}), "model"),
        (json!({"model": 7, "prompt": "text"}), "model"),
        (json!({"model": MODEL}), "prompt"),
        (json!({"model": MODEL, "prompt": ["one", "two"]}), "prompt"),
        (
            json!({"model": MODEL, "prompt": "text", "max_tokens": -1}),
            "max_tokens",
        ),
        (
            json!({"model": MODEL, "prompt": "text", "stream": "yes"}),
            "stream",
        ),
        (json!({"model": MODEL, "prompt": "text", "n": 2}), "n"),
        (
            json!({"model": MODEL, "prompt": "text", "continue_from": [" a"]}),
            "continue_from",
        ),
    ];
    for (body, field) in cases {
        let answer = caller.post("/v1/completions", &[], body.to_string().as_bytes());
        assert_refused(&answer, 400, field);
    }
    let chat = json!({"model": MODEL, "messages": [{"role": "user"}]}).to_string();
    let answer = caller.post("/v1/chat/completions", &[], chat.as_bytes());
    assert_refused(&answer, 400, "messages");
    let repeated = format!(r#"{{"model": "{MODEL}", "prompt": "a", "prompt": "b"}}"#);
    let answer = caller.post("/v1/completions", &[], repeated.as_bytes());
    assert_refused(&answer, 400, "body");
}

#[test]
fn a_header_at_fault_is_named() {
    let daemon = TestDaemon::start(&[], |_| ());
    let caller = daemon.caller();
    let cases = [
        ("x-priority", "10"),
        ("x-priority", "high"),
        ("x-deadline-ms", "soon"),
        ("x-repeatable", "maybe"),
        ("idempotency-key", ""),
    ];
    for (name, value) in cases {
        assert_refused(&caller.complete(&[(name, value)], "text", 1), 400, name);
    }
    let once = [("x-repeatable", "false")];
    assert_refused(&caller.complete(&once, "text", 1), 400, "idempotency-key");
    let once = [("x-repeatable", "false"), ("idempotency-key", "order-7")];
    assert_refused(
        &caller.complete(&once, "text", 1),
        400,
        "x-idempotency-issued-at",
    );
}

#[test]
fn a_refusal_waits_for_the_body() {
    let daemon = TestDaemon::start(&[], |_| ());
    let body = completion("text", 1, false).to_string();
    let head = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: d\r\nconnection: close\r\nx-priority: high\r\ncontent-length: {}\r\n\r\n",
        body.len()
    );
    let mut connection = daemon.caller().connect();
    connection
        .write_all(head.as_bytes())
        .expect("the daemon reads");
    let early = Some(Duration::from_millis(200));
    connection.set_read_timeout(early).expect("a socket option");
    let answered = connection.peek(&mut [0]);
    assert!(answered.is_err(), "answered before the body was sent");
    connection.set_read_timeout(None).expect("a socket option");
    connection
        .write_all(body.as_bytes())
        .expect("the daemon reads");
    assert_refused(
        &OpenAnswer::read_head(connection).finish(),
        400,
        "x-priority",
    );
}

#[test]
fn wrong_keys_and_models_are_refused() {
    let daemon = TestDaemon::start(&[], |_| ());
    let caller = daemon.caller();
    let wrong = [("authorization", "Bearer another-key")];
    assert_refused(&caller.complete(&wrong, "text", 1), 401, "authorization");
    let basic = [("authorization", "Basic dXNlcg==")];
    assert_refused(&caller.complete(&basic, "text", 1), 401, "authorization");
    let body = json!({"model": "unheard-of", "prompt": "text"}).to_string();
    let answer = caller.post("/v1/completions", &[], body.as_bytes());
    assert_refused(&answer, 404, "model");
    let answer = caller.post("/v1/embeddings", &[], b"{}");
    assert_eq!(answer.status, 404);
    assert_eq!(answer.json()["error"]["not_run"], true);
}

#[test]
fn without_an_engine_the_answer_names_a_time_to_come_back() {
    let daemon = TestDaemon::start(&[], |_| ());
    let answer = daemon.caller().complete(&[], "text", 1);
    assert_eq!(answer.status, 503);
    assert_eq!(answer.json()["error"]["code"], "no_engine");
    assert!(answer.header("retry-after").is_some());
}

#[test]
fn an_oversized_body_is_refused_before_it_is_read() {
    let daemon = TestDaemon::start(&[], |settings| settings.request.max_body_bytes = 1000);
    let caller = daemon.caller();
    let announced = b"POST /v1/completions HTTP/1.1\r\nhost: d\r\ncontent-length: 1001\r\n\r\n";
    assert_refused(&caller.send_raw(announced), 413, "body");
    let chunk = "x".repeat(1001);
    let chunked = format!(
        "POST /v1/completions HTTP/1.1\r\nhost: d\r\ntransfer-encoding: chunked\r\n\r\n3e9\r\n{chunk}\r\n"
    );
    assert_refused(&caller.send_raw(chunked.as_bytes()), 413, "body");
}

#[test]
fn a_slow_sender_times_out() {
    let daemon = TestDaemon::start(&[], |settings| {
        settings.request.read_timeout = Duration::from_millis(50);
    });
    let mut connection = daemon.caller().connect();
    connection
        .write_all(b"POST /v1/completions HTTP/1.1\r\nhost: d\r\ncontent-length: 10\r\n\r\n{")
        .expect("the daemon reads");
    assert_refused(&OpenAnswer::read_head(connection).finish(), 408, "body");
}

#[test]
fn slow_or_oversized_headers_end_the_connection() {
    let daemon = TestDaemon::start(&[], |_| ());
    let start = "POST /v1/completions HTTP/1.1\r\nhost: d\r\n";
    let unfinished = daemon.caller().send_raw(start.as_bytes());
    assert_eq!(unfinished.status, 408);
    let oversized = format!("{start}x-padding: {}\r\n\r\n", "x".repeat(200_000));
    let mut connection = daemon.caller().connect();
    // The daemon may close, or reset the connection, before it has read everything.
    let _ = connection.write_all(oversized.as_bytes());
    let ended = connection
        .read_to_end(&mut Vec::new())
        .map_err(|error| error.kind());
    assert!(
        matches!(ended, Ok(_) | Err(ErrorKind::ConnectionReset)),
        "{ended:?}"
    );
    assert_eq!(daemon.caller().complete(&[], "text", 1).status, 503);
}

#[test]
fn extreme_numbers_in_headers_do_no_harm() {
    let daemon = TestDaemon::start(&[], |_| ());
    let largest = u64::MAX.to_string();
    for name in ["x-deadline-ms", "x-idempotency-issued-at"] {
        let headers = [(name, largest.as_str()), ("idempotency-key", "key")];
        let answer = daemon.caller().complete(&headers, "text", 1);
        assert_eq!(answer.json()["error"]["code"], "no_engine");
    }
    let passed = daemon
        .caller()
        .complete(&[("x-deadline-ms", "0")], "text", 1);
    assert_eq!(passed.json()["error"]["code"], "deadline_passed");
}

#[test]
fn models_lists_the_routes_of_the_tenant() {
    let daemon = TestDaemon::start(&[], |_| ());
    let request = "GET /v1/models HTTP/1.1\r\nhost: d\r\nconnection: close\r\n";
    let with_key = format!(
        "{request}authorization: Bearer {}\r\n\r\n",
        support::daemon::KEY
    );
    let answer = daemon.caller().send_raw(with_key.as_bytes());
    assert_eq!(answer.json()["data"][0]["id"], MODEL);
    let without_key = format!("{request}\r\n");
    assert_refused(
        &daemon.caller().send_raw(without_key.as_bytes()),
        401,
        "authorization",
    );
}

/// The daemon's address, for the property below, which can't capture it.
static CALLER: OnceLock<Caller> = OnceLock::new();

fn arbitrary_body_is_refused(mut body: Vec<u8>, as_json: bool) -> bool {
    if as_json {
        let text = String::from_utf8_lossy(&body).into_owned();
        body = json!({"model": text, "prompt": [text]})
            .to_string()
            .into_bytes();
    }
    let caller = CALLER.get().expect("the daemon was started");
    let answer = caller.post("/v1/completions", &[], &body);
    answer.status == 400 && answer.json()["error"]["not_run"] == true
}

#[test]
fn arbitrary_bodies_get_an_error() {
    let daemon = TestDaemon::start(&[], |_| ());
    CALLER.set(daemon.caller()).expect("set once");
    quickcheck(arbitrary_body_is_refused as fn(Vec<u8>, bool) -> bool);
}
