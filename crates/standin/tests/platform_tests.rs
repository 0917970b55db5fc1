//! The machine list, the weight store, the KV store and the legacy upstream.

mod support;

use std::time::Duration;

use driftspring_engine_model::answer_text;
use driftspring_standin::machine_list::{self, Machine, MachineKind, MachineState};
use driftspring_standin::weight_store::{self, WeightStoreOptions};
use driftspring_standin::{kv_store, legacy};
use ntex::http::StatusCode;
use serde_json::json;
use support::*;

fn machine(id: &str) -> Machine {
    Machine {
        id: id.to_owned(),
        kind: MachineKind::Engine,
        address: "127.0.0.1:1".to_owned(),
        zone: "zone-1".to_owned(),
        state: MachineState::Live,
    }
}

#[ntex::test]
async fn the_machine_list_changes_and_lags() {
    let running = machine_list::start(FREE_PORT, vec![machine("one")]).unwrap();
    let address = running.server.address;
    let client = client().await;
    let body = json!({"machines": [machine("two")]});
    let set = client.put(url(address, "/standin/machines"));
    assert_eq!(send(set, &body).await.status(), StatusCode::OK);
    let path = url(address, "/machines");
    assert_eq!(get(&client, path.clone()).await.1, body);
    let switches = url(address, "/standin/faults");
    post(&client, switches, &json!({"report_lag_ms": 50_000})).await;
    assert_eq!(get(&client, path).await.1["machines"][0]["id"], "one");
}

#[ntex::test]
async fn loads_above_the_rating_take_longer() {
    let store = weight_store::start(WeightStoreOptions {
        address: FREE_PORT,
        load_time: Duration::from_millis(200),
        rated_loads: 1,
    })
    .unwrap();
    let client = client().await;
    let path = url(store.address, "/weights/model/2/load");
    let body = json!({});
    let first = post(&client, path.clone(), &body);
    let second = post(&client, path, &body);
    let (first, second) = futures_util::join!(first, second);
    let mut times = [&first.1["load_ms"], &second.1["load_ms"]].map(|time| time.as_u64());
    times.sort_unstable();
    assert_eq!(times, [Some(200), Some(400)]);
}

#[test]
fn a_load_whose_body_comes_late_is_answered() {
    let store = weight_store::start(WeightStoreOptions {
        address: FREE_PORT,
        load_time: Duration::from_millis(1),
        rated_loads: 1,
    })
    .unwrap();
    let mut connection = RawConnection::open(store.address);
    for _ in 0..2 {
        let status = connection.call_with_late_body("POST", "/weights/model/2/load");
        assert_eq!(status, "HTTP/1.1 200 OK");
    }
}

#[test]
fn a_removal_whose_body_comes_late_is_answered() {
    let store = kv_store::start(FREE_PORT).unwrap();
    let mut connection = RawConnection::open(store.address);
    for _ in 0..2 {
        let status = connection.call_with_late_body("DELETE", "/kept/1");
        assert_eq!(status, "HTTP/1.1 404 Not Found");
    }
}

#[ntex::test]
async fn kept_prefixes_come_back_until_removed() {
    let store = kv_store::start(FREE_PORT).unwrap();
    let client = client().await;
    let path = url(store.address, "/kept/18446744073709551615");
    assert_eq!(get(&client, path.clone()).await.0, StatusCode::NOT_FOUND);
    let prefix = json!({"salt": "a", "weights_version": 1, "hashes": [u64::MAX]});
    send(client.put(&path), &prefix).await;
    assert_eq!(get(&client, path.clone()).await.1, prefix);
    let removed = client.delete(&path).send().await.unwrap();
    assert_eq!(removed.status(), StatusCode::OK);
    assert_eq!(get(&client, path).await.0, StatusCode::NOT_FOUND);
}

#[ntex::test]
async fn the_legacy_upstream_answers_and_notes_requests() {
    let running = legacy::start(FREE_PORT).unwrap();
    let address = running.server.address;
    let client = client().await;
    let request = client
        .post(url(address, "/v1/completions"))
        .header("x-own-header", "kept");
    let body = streamed("a prompt", 3);
    let events = read_events(&send(request, &body).await).await;
    assert!(events.done);
    assert_eq!(events.text(), answer_text(b"a prompt", 3));
    let received = running.upstream.received();
    assert_eq!(received[0].body, body.to_string());
    let own_header = ("x-own-header".to_owned(), "kept".to_owned());
    assert!(received[0].headers.contains(&own_header));
}
