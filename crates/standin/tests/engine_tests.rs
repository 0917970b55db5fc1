//! The engine's calls without faults.

mod support;

use driftspring_engine_model::answer_text;
use driftspring_prefix::Fingerprint;
use driftspring_standin::engine::RunEnd;
use driftspring_standin::weight_store::{self, WeightStoreOptions};
use ntex::http::StatusCode;
use serde_json::{Value, json};
use std::time::Duration;
use support::*;
use uuid::Uuid;

#[ntex::test]
async fn a_stream_is_whole_and_answers_its_prompt() {
    let engine = start(small_engine());
    let client = client().await;
    let request = client.post(url(engine.server.address, "/v1/completions"));
    let response = send(request, &streamed("a prompt", 5)).await;
    assert_eq!(response.status(), StatusCode::OK);
    let events = read_events(&response).await;
    assert!(events.done);
    assert_eq!(events.sequences(), vec![0, 1, 2, 3, 4, 5]);
    assert_eq!(events.text(), answer_text(b"a prompt", 5));
    let last = events.chunks.last().unwrap();
    assert_eq!(last["choices"][0]["finish_reason"], "length");
    assert_eq!(last["usage"]["completion_tokens"], 5);
}

#[ntex::test]
async fn a_chat_answers_its_messages_in_one_piece() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/v1/chat/completions");
    let body = json!({"messages": [{"role": "user", "content": "hello"}], "max_tokens": 3});
    let (status, answer) = post(&client, path, &body).await;
    assert_eq!(status, StatusCode::OK);
    let content = &answer["choices"][0]["message"]["content"];
    assert_eq!(content.as_str(), Some(&*answer_text(b"user\nhello\n", 3)));
}

#[ntex::test]
async fn a_stream_resumes_from_any_position() {
    let engine = start(small_engine());
    let client = client().await;
    let id = Uuid::now_v7();
    let request = client
        .post(url(engine.server.address, "/v1/completions"))
        .header("x-request-id", id.to_string());
    drop(read_events(&send(request, &streamed("a prompt", 6)).await).await);
    let path = format!("/v1/requests/{id}/stream?from=4");
    let response = client.get(url(engine.server.address, &path)).send().await;
    let events = read_events(&response.unwrap()).await;
    assert!(events.done);
    assert_eq!(events.sequences(), vec![4, 5, 6]);
    let path = format!("/v1/requests/{}/stream?from=0", Uuid::now_v7());
    let (status, answer) = get(&client, url(engine.server.address, &path)).await;
    assert_eq!(status, StatusCode::NOT_FOUND);
    assert_eq!(answer["error"]["type"], "unknown_request");
}

#[ntex::test]
async fn another_engine_continues_an_answer() {
    let engine = start(small_engine());
    let client = client().await;
    let given: Vec<String> = (0..3)
        .map(|sequence| driftspring_engine_model::token_text(b"a prompt", sequence))
        .collect();
    let mut body = streamed("a prompt", 2);
    body["continue_from"] = json!(given);
    let path = url(engine.server.address, "/v1/completions");
    let events = read_events(&send(client.post(&path), &body).await).await;
    assert_eq!(events.sequences(), vec![3, 4, 5]);
    let whole = given.concat() + &events.text();
    assert_eq!(whole, answer_text(b"a prompt", 5));
    body["max_tokens"] = json!(0);
    let events = read_events(&send(client.post(&path), &body).await).await;
    assert!(events.done);
    assert_eq!(events.sequences(), vec![3]);
}

#[ntex::test]
async fn a_mismatch_or_bad_body_is_refused_without_a_run() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/v1/completions");
    let mismatches = [
        ("x-expect-incarnation", "1", "incarnation_mismatch"),
        ("x-expect-weights", "9", "weights_mismatch"),
    ];
    for (header, value, kind) in mismatches {
        let request = client.post(&path).header(header, value);
        let response = send(request, &streamed("a prompt", 2)).await;
        assert_eq!(response.status(), StatusCode::CONFLICT);
        let body: Value = serde_json::from_slice(&response.body().await.unwrap()).unwrap();
        assert_eq!(body["error"]["type"], kind);
        assert_eq!(body["error"]["ran"], false);
        assert_eq!(body["error"]["incarnation"], engine.state.incarnation());
    }
    let (status, _) = post(&client, path, &json!({"max_tokens": "many"})).await;
    assert_eq!(status, StatusCode::BAD_REQUEST);
    assert!(engine.state.run_log().is_empty());
}

#[ntex::test]
async fn cached_work_is_reported_scoped_and_may_be_left_unused() {
    let engine = start(small_engine());
    let client = client().await;
    let prompt = "x".repeat(256 * 4 + 100);
    let mut cached = Vec::new();
    for (salt, use_cache) in [("a", "true"), ("a", "true"), ("b", "true"), ("a", "false")] {
        let request = client
            .post(url(engine.server.address, "/v1/completions"))
            .header("x-cache-salt", salt)
            .header("x-use-cache", use_cache)
            .header("x-tenant", "tenant-1")
            .header("x-idempotency-key", "key-1");
        let response = send(request, &streamed(&prompt, 1)).await;
        let header = response.headers().get("x-cached-tokens").cloned();
        cached.push(header.unwrap().to_str().unwrap().to_owned());
        read_events(&response).await;
    }
    assert_eq!(cached, ["0", "256", "0", "0"]);
    let run_log = engine.state.run_log();
    assert_eq!(run_log[1].cached_tokens, 256);
    assert_eq!(run_log[1].tenant.as_deref(), Some("tenant-1"));
    assert_eq!(run_log[1].idempotency_key.as_deref(), Some("key-1"));
    assert!(run_log.iter().all(|run| run.ended == RunEnd::Completed));
}

#[test]
fn a_cancel_whose_body_comes_late_is_answered() {
    let engine = start(small_engine());
    let mut connection = RawConnection::open(engine.server.address);
    let path = format!("/v1/requests/{}/cancel", Uuid::now_v7());
    for _ in 0..2 {
        let status = connection.call_with_late_body("POST", &path);
        assert_eq!(status, "HTTP/1.1 200 OK");
    }
}

#[ntex::test]
async fn a_cancelled_stream_breaks_off() {
    let engine = start(small_engine());
    let client = client().await;
    let id = Uuid::now_v7();
    let request = client
        .post(url(engine.server.address, "/v1/completions"))
        .header("x-request-id", id.to_string());
    let response = send(request, &streamed("a prompt", 100_000)).await;
    let cancel = url(engine.server.address, &format!("/v1/requests/{id}/cancel"));
    let (status, _) = post(&client, cancel, &json!({})).await;
    assert_eq!(status, StatusCode::OK);
    let events = read_events(&response).await;
    assert!(!events.done);
    assert_eq!(engine.state.run_log()[0].ended, RunEnd::Cancelled);
}

#[ntex::test]
async fn the_work_of_a_caller_that_hung_up_is_cancelled() {
    let engine = start(small_engine());
    let client = client().await;
    let request = client
        .post(url(engine.server.address, "/v1/completions"))
        .force_close();
    let response = send(request, &streamed("a prompt", 100_000)).await;
    drop(response.take_payload());
    drop(response);
    eventually("the run is cancelled", async || {
        tokio::time::sleep(Duration::from_millis(5)).await;
        engine.state.run_log()[0].ended == RunEnd::Cancelled
    })
    .await;
}

#[ntex::test]
async fn orders_with_a_lower_token_are_refused() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/orders");
    let order = |token: u64, id: &str, kind: &str| json!({"fencing_token": token, "order_id": id, "order": {"kind": kind}});
    let (status, _) = post(&client, path.clone(), &order(5, "one", "drain")).await;
    assert_eq!(status, StatusCode::OK);
    let completions = url(engine.server.address, "/v1/completions");
    let (_, refusal) = post(&client, completions.clone(), &streamed("a prompt", 1)).await;
    assert_eq!(refusal["error"]["type"], "draining");
    let (status, answer) = post(&client, path.clone(), &order(4, "two", "undrain")).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(answer["highest_token"], 5);
    let (_, refusal) = post(&client, completions, &streamed("a prompt", 1)).await;
    assert_eq!(refusal["error"]["type"], "draining");
    let accepted: Vec<bool> = engine
        .state
        .order_log()
        .iter()
        .map(|order| order.accepted)
        .collect();
    assert_eq!(accepted, [true, false]);
}

#[ntex::test]
async fn loading_weights_empties_the_cache_and_keeps_the_incarnation() {
    let store = weight_store::start(WeightStoreOptions {
        address: FREE_PORT,
        load_time: Duration::from_millis(20),
        rated_loads: 2,
    })
    .unwrap();
    let mut options = small_engine();
    options.weight_store = Some(store.address);
    let engine = start(options);
    let incarnation = engine.state.incarnation();
    let client = client().await;
    let path = url(engine.server.address, "/v1/completions");
    let prompt = "x".repeat(1024);
    read_events(&send(client.post(&path), &streamed(&prompt, 1)).await).await;
    let order = json!({"fencing_token": 1, "order_id": "load", "order":
        {"kind": "load_weights", "model": "model", "weights_version": 2}});
    post(&client, url(engine.server.address, "/orders"), &order).await;
    let (_, refusal) = post(&client, path, &streamed(&prompt, 1)).await;
    assert_eq!(refusal["error"]["type"], "loading");
    let status_path = url(engine.server.address, "/status");
    eventually("the weights are loaded", async || {
        let (_, status) = get(&client, status_path.clone()).await;
        status["health"] == "serving" && status["weights_version"] == 2
    })
    .await;
    let (_, status) = get(&client, status_path).await;
    assert_eq!(status["load"]["cached_blocks"], 0);
    assert_eq!(status["incarnation"], incarnation);
}

#[ntex::test]
async fn the_weights_ordered_last_are_served_in_the_end() {
    let engine = start(small_engine());
    let client = client().await;
    for version in [2, 3] {
        let order = json!({"fencing_token": 1, "order_id": format!("load-{version}"), "order":
            {"kind": "load_weights", "model": "model", "weights_version": version}});
        let (status, _) = post(&client, url(engine.server.address, "/orders"), &order).await;
        assert_eq!(status, StatusCode::OK);
    }
    eventually("the last weights are served", async || {
        let (_, status) = get(&client, url(engine.server.address, "/status")).await;
        status["health"] == "serving" && status["weights_version"] == 3
    })
    .await;
}

#[ntex::test]
async fn a_leaving_engine_finishes_its_streams_and_ends() {
    let engine = start(small_engine());
    let client = client().await;
    let path = url(engine.server.address, "/v1/completions");
    let response = send(client.post(&path), &streamed("a prompt", 30)).await;
    post(&client, url(engine.server.address, "/leave"), &json!({})).await;
    let (status, refusal) = post(&client, path, &streamed("a prompt", 1)).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(refusal["error"]["type"], "leaving");
    let events = read_events(&response).await;
    assert!(events.done);
    assert_eq!(events.text(), answer_text(b"a prompt", 30));
    engine.server.wait();
}

#[ntex::test]
async fn exported_blocks_warm_another_engine_with_the_same_weights() {
    let [first, second] = [start(small_engine()), start(small_engine())];
    let client = client().await;
    let prompt = "x".repeat(1024);
    let chain = Fingerprint::of_prompt("a", prompt.as_bytes()).blocks;
    let salted = |address| {
        let path = url(address, "/v1/completions");
        client.post(path).header("x-cache-salt", "a")
    };
    let request = salted(first.server.address);
    read_events(&send(request, &streamed(&prompt, 1)).await).await;
    let path = format!("/kv/export?hash={}", chain[3].0);
    let (status, mut exported) = get(&client, url(first.server.address, &path)).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(exported["hashes"].as_array().map(Vec::len), Some(4));
    let import = url(second.server.address, "/kv/import");
    let (status, _) = post(&client, import.clone(), &exported).await;
    assert_eq!(status, StatusCode::OK);
    let response = send(salted(second.server.address), &streamed(&prompt, 1)).await;
    assert_eq!(response.headers().get("x-cached-tokens").unwrap(), "256");
    exported["weights_version"] = json!(7);
    let (status, _) = post(&client, import, &exported).await;
    assert_eq!(status, StatusCode::CONFLICT);
}

#[ntex::test]
async fn cache_events_follow_the_hello_line() {
    let engine = start(small_engine());
    let client = client().await;
    let response = client
        .get(url(engine.server.address, "/events?from=0"))
        .send()
        .await
        .unwrap();
    let mut lines = Lines::of(&response);
    let hello = lines.next().await.unwrap();
    assert_eq!(hello["kind"], "hello");
    assert_eq!(hello["incarnation"], engine.state.incarnation());
    let request = client
        .post(url(engine.server.address, "/v1/completions"))
        .header("x-cache-salt", "a");
    send(request, &streamed(&"x".repeat(600), 1)).await;
    let stored = lines.next().await.unwrap();
    assert_eq!(stored["kind"], "stored");
    assert_eq!(stored["sequence"], hello["next_sequence"]);
    let blocks = Fingerprint::of_prompt("a", "x".repeat(600).as_bytes()).blocks;
    assert_eq!(stored["hashes"], json!([blocks[0].0, blocks[1].0]));
}
