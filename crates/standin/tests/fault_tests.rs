//! The fault switches.

mod support;

use driftspring_engine_model::answer_text;
use driftspring_standin::FaultUpdate;
use driftspring_standin::engine::RunEnd;
use ntex::http::StatusCode;
use serde_json::json;
use std::time::Duration;
use support::*;
use uuid::Uuid;

#[ntex::test]
async fn a_crashed_engine_comes_back_empty_with_a_higher_incarnation() {
    let engine = start(small_engine());
    let client = client().await;
    let before = engine.state.incarnation();
    let id = Uuid::now_v7();
    let request = client
        .post(url(engine.server.address, "/v1/completions"))
        .header("x-request-id", id.to_string());
    let response = send(request, &streamed(&"x".repeat(1024), 100_000)).await;
    let crash = url(engine.server.address, "/standin/crash");
    post(&client, crash, &json!({})).await;
    assert!(!read_events(&response).await.done);
    assert!(engine.state.incarnation() > before);
    assert_eq!(engine.state.run_log()[0].ended, RunEnd::Cancelled);
    let (_, status) = get(&client, url(engine.server.address, "/status")).await;
    assert_eq!(status["load"]["cached_blocks"], 0);
    let resume = format!("/v1/requests/{id}/stream");
    let (status, _) = get(&client, url(engine.server.address, &resume)).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
}

#[test]
fn a_crash_whose_body_comes_late_is_answered() {
    let engine = start(small_engine());
    let mut connection = RawConnection::open(engine.server.address);
    for _ in 0..3 {
        let before = engine.state.incarnation();
        let status = connection.call_with_late_body("POST", "/standin/crash");
        assert_eq!(status, "HTTP/1.1 200 OK");
        assert!(engine.state.incarnation() > before);
    }
}

#[test]
fn crashes_and_cuts_spare_the_connection_that_asks_for_them() {
    let engine = start(small_engine());
    let mut connection = RawConnection::open(engine.server.address);
    for _ in 0..50 {
        let before = engine.state.incarnation();
        assert_eq!(connection.get("/status"), "HTTP/1.1 200 OK");
        let status = connection.post("/standin/crash", "{}");
        assert_eq!(status, "HTTP/1.1 200 OK");
        assert!(engine.state.incarnation() > before);
        assert_eq!(connection.get("/status"), "HTTP/1.1 200 OK");
        for cut in [r#"{"cut": true}"#, r#"{"cut": false}"#] {
            let status = connection.post("/standin/faults", cut);
            assert_eq!(status, "HTTP/1.1 200 OK");
        }
    }
}

#[ntex::test]
async fn a_frozen_engine_stalls_streams_and_calls_until_it_thaws() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/v1/completions");
    let response = send(client.post(&path), &streamed("a prompt", 50)).await;
    let freeze = |freeze| FaultUpdate {
        freeze: Some(freeze),
        ..FaultUpdate::default()
    };
    engine.server.faults.update(&freeze(true));
    eventually("the engine has produced all tokens", async || {
        tokio::time::sleep(Duration::from_millis(5)).await;
        engine.state.run_log()[0].ended == RunEnd::Completed
    })
    .await;
    let quick = client
        .get(url(engine.server.address, "/status"))
        .timeout(ntex::time::Millis(100));
    assert!(quick.send().await.is_err());
    engine.server.faults.update(&freeze(false));
    let events = read_events(&response).await;
    assert!(events.done);
    assert_eq!(events.text(), answer_text(b"a prompt", 50));
}

#[ntex::test]
async fn a_cut_drops_open_streams_and_new_connections() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/v1/completions");
    let response = send(client.post(&path), &streamed("a prompt", 100_000)).await;
    let cut = json!({"cut": true});
    let switches = url(engine.server.address, "/standin/faults");
    post(&client, switches.clone(), &cut).await;
    assert!(!read_events(&response).await.done);
    let status = url(engine.server.address, "/status");
    assert!(client.get(&status).send().await.is_err());
    post(&client, switches, &json!({"cut": false})).await;
    assert_eq!(get(&client, status).await.0, StatusCode::OK);
}

#[ntex::test]
async fn a_lost_answer_belongs_to_a_request_that_ran() {
    let engine = start(small_engine());
    let client = client().await;
    let switches = url(engine.server.address, "/standin/faults");
    post(&client, switches, &json!({"lose_answers": 1})).await;
    let path = url(engine.server.address, "/v1/completions");
    let body = json!({"prompt": "a prompt", "max_tokens": 2});
    assert!(client.post(&path).send_json(&body).await.is_err());
    assert_eq!(engine.state.run_log()[0].ended, RunEnd::Completed);
    assert_eq!(post(&client, path, &body).await.0, StatusCode::OK);
}

#[ntex::test]
async fn streams_repeat_cross_and_break_as_switched() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/v1/completions");
    let switches = url(engine.server.address, "/standin/faults");
    let faults = json!({"duplicate_tokens": 1, "cross_answers": 1});
    post(&client, switches.clone(), &faults).await;
    let events = read_events(&send(client.post(&path), &streamed("a prompt", 3)).await).await;
    assert_eq!(events.sequences(), vec![0, 0, 0, 1, 2, 3]);
    let [foreign, first, repeated] = &events.chunks[..3] else {
        panic!("too few chunks");
    };
    assert_ne!(foreign["request_id"], first["request_id"]);
    assert_eq!(first, repeated);
    post(&client, switches, &json!({"cut_after_tokens": 2})).await;
    let events = read_events(&send(client.post(&path), &streamed("a prompt", 3)).await).await;
    assert_eq!(events.sequences(), vec![0, 1]);
    assert!(!events.done);
    let events = read_events(&send(client.post(&path), &streamed("a prompt", 3)).await).await;
    assert!(events.done);
}

#[ntex::test]
async fn lost_cache_events_leave_gaps() {
    let engine = start(small_engine());
    let client = client().await;
    let loss = |percent| FaultUpdate {
        event_loss_percent: Some(percent),
        ..FaultUpdate::default()
    };
    let path = url(engine.server.address, "/v1/completions");
    for (prompt, percent) in [("a", 0), ("b", 100), ("c", 0)] {
        engine.server.faults.update(&loss(percent));
        let body = streamed(&prompt.repeat(300), 1);
        read_events(&send(client.post(&path), &body).await).await;
    }
    let events = url(engine.server.address, "/events?from=0");
    let response = client.get(events).send().await.unwrap();
    let mut lines = Lines::of(&response);
    lines.next().await.unwrap();
    let first = lines.next().await.unwrap()["sequence"].as_u64().unwrap();
    let second = lines.next().await.unwrap()["sequence"].as_u64().unwrap();
    assert_eq!(second, first + 2);
}

#[ntex::test]
async fn reported_load_lags() {
    let engine = start(small_engine());
    let client = client().await;
    let switches = url(engine.server.address, "/standin/faults");
    post(&client, switches, &json!({"report_lag_ms": 50_000})).await;
    let path = url(engine.server.address, "/v1/completions");
    let body = streamed(&"x".repeat(1024), 1);
    read_events(&send(client.post(&path), &body).await).await;
    let (_, status) = get(&client, url(engine.server.address, "/status")).await;
    assert_eq!(status["load"]["cached_blocks"], 0);
}

#[ntex::test]
async fn a_killed_stand_in_refuses_connections() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/status");
    assert_eq!(get(&client, path.clone()).await.0, StatusCode::OK);
    engine.server.kill();
    assert!(client.get(path).send().await.is_err());
}
