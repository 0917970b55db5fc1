//! The object store: order of revisions, compare-and-swap, watches.

mod support;

use std::net::SocketAddr;

use driftspring_standin::object_store;
use ntex::client::Client;
use ntex::http::StatusCode;
use serde_json::{Value, json};
use support::*;

async fn put(client: &Client, address: SocketAddr, key: &str, expect: u64) -> (StatusCode, Value) {
    let path = format!("/objects/{key}?expect={expect}");
    let request = client.put(url(address, &path));
    let response = send(request, &json!({"expected": expect})).await;
    let status = response.status();
    let body = response.body().await.unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

async fn watch(client: &Client, address: SocketAddr, from: u64) -> Lines {
    let path = format!("/watch?from={from}");
    let response = client.get(url(address, &path)).send().await.unwrap();
    assert_eq!(response.status(), StatusCode::OK);
    Lines::of(&response)
}

#[test]
fn a_deletion_whose_body_comes_late_is_answered() {
    let store = object_store::start(FREE_PORT).unwrap();
    let mut connection = RawConnection::open(store.server.address);
    for _ in 0..2 {
        let status = connection.call_with_late_body("DELETE", "/objects/a/b?expect=7");
        assert_eq!(status, "HTTP/1.1 409 Conflict");
    }
}

#[ntex::test]
async fn writes_are_ordered_and_a_stale_one_is_refused() {
    let running = object_store::start(FREE_PORT).unwrap();
    let address = running.server.address;
    let client = client().await;
    assert_eq!(put(&client, address, "routes/a", 0).await.1["revision"], 1);
    assert_eq!(put(&client, address, "routes/b", 0).await.1["revision"], 2);
    assert_eq!(put(&client, address, "routes/a", 1).await.1["revision"], 3);
    let (status, conflict) = put(&client, address, "routes/a", 1).await;
    assert_eq!(status, StatusCode::CONFLICT);
    assert_eq!(conflict["revision"], 3);
    let remove = url(address, "/objects/routes/b?expect=2");
    let removed = client.delete(remove).send().await.unwrap();
    assert_eq!(removed.status(), StatusCode::OK);
    let (_, list) = get(&client, url(address, "/objects?prefix=routes/")).await;
    assert_eq!(list["revision"], 4);
    assert_eq!(list["objects"].as_array().map(Vec::len), Some(1));
    assert_eq!(running.store.counters().writes, 5);
}

#[ntex::test]
async fn a_watch_gives_old_and_new_changes_then_bookmarks() {
    let running = object_store::start(FREE_PORT).unwrap();
    let address = running.server.address;
    let client = client().await;
    put(&client, address, "routes/a", 0).await;
    put(&client, address, "routes/b", 0).await;
    let mut lines = watch(&client, address, 1).await;
    assert_eq!(lines.next().await.unwrap()["revision"], 2);
    put(&client, address, "routes/a", 1).await;
    assert_eq!(lines.next().await.unwrap()["revision"], 3);
    assert_eq!(lines.next().await.unwrap(), json!({"bookmark": 3}));
}

#[ntex::test]
async fn a_compacted_revision_can_not_be_watched() {
    let running = object_store::start(FREE_PORT).unwrap();
    let address = running.server.address;
    let client = client().await;
    put(&client, address, "routes/a", 0).await;
    put(&client, address, "routes/b", 0).await;
    running.store.compact(1);
    let (status, _) = get(&client, url(address, "/watch?from=0")).await;
    assert_eq!(status, StatusCode::GONE);
    let mut lines = watch(&client, address, 1).await;
    assert_eq!(lines.next().await.unwrap()["revision"], 2);
}

#[ntex::test]
async fn a_write_whose_answer_was_lost_took_effect() {
    let running = object_store::start(FREE_PORT).unwrap();
    let address = running.server.address;
    let client = client().await;
    let switches = url(address, "/standin/faults");
    post(&client, switches, &json!({"lose_answers": 1})).await;
    let request = client.put(url(address, "/objects/routes/a?expect=0"));
    assert!(
        request
            .send_json(&json!({"write_id": "one"}))
            .await
            .is_err()
    );
    let (status, object) = get(&client, url(address, "/objects/routes/a")).await;
    assert_eq!(status, StatusCode::OK);
    assert_eq!(object["value"]["write_id"], "one");
}

#[ntex::test]
async fn a_stale_watch_replays_and_a_store_that_is_down_answers_503() {
    let running = object_store::start(FREE_PORT).unwrap();
    let address = running.server.address;
    let client = client().await;
    put(&client, address, "routes/a", 0).await;
    put(&client, address, "routes/a", 1).await;
    let switches = url(address, "/standin/faults");
    post(&client, switches.clone(), &json!({"stale_watch": true})).await;
    let mut lines = watch(&client, address, 2).await;
    assert_eq!(lines.next().await.unwrap()["revision"], 1);
    let (_, list) = get(&client, url(address, "/objects")).await;
    assert_eq!(list["revision"], 0);
    post(&client, switches, &json!({"down": true})).await;
    let (status, _) = get(&client, url(address, "/objects")).await;
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
}
