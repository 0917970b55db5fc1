//! Rollout and drain by the holder of the control lease, and the fencing of its orders.

mod configuration_support;

use std::time::Duration;

use configuration_support::{Cluster, Hearing, eventually};
use driftspring_check::{CheckSettings, Promise};
use driftspring_external::engine::{EngineClient, EngineStatus, EngineTimeouts};
use driftspring_history::{Event, History, OrderLogEntry, TimedEvent};
use driftspring_settings::{BootstrapEngine, MechanismSettings};
use driftspring_standin::FaultUpdate;
use driftspring_standin::engine::{EngineStandinOptions, RunningEngine, start};
use driftspring_types::{EngineHealth, FencingToken, WeightsVersion};
use serde_json::{Value, json};
use uuid::Uuid;

const MODEL: &str = "m";
const ENGINES: usize = 4;
const MAX_PARALLEL_LOADS: usize = 2;
const MIN_SERVING: usize = 2;
const LOAD_TIME: Duration = Duration::from_millis(150);

fn start_engines() -> Vec<RunningEngine> {
    (0..ENGINES)
        .map(|index| {
            let mut options = EngineStandinOptions::loopback(&format!("e{index}"), "z0", MODEL);
            options.load_time = LOAD_TIME;
            start(options).expect("engine starts")
        })
        .collect()
}

/// Two zones of one daemon each, so that both are candidates for the lease.
async fn start_cluster(engines: &[RunningEngine], mechanisms: MechanismSettings) -> Cluster {
    let mut cluster = Cluster::new(2, 1, mechanisms, Hearing::Gossip);
    for index in 0..cluster.len() {
        let engines = engines
            .iter()
            .enumerate()
            .map(|(number, engine)| BootstrapEngine {
                id: format!("e{number}").as_str().into(),
                address: engine.server.address,
                zone: "z0".into(),
                model: MODEL.into(),
            });
        cluster.settings_mut(index).bootstrap.engines = engines.collect();
    }
    cluster.start_all();
    assert!(eventually(|| cluster.all_met()).await, "not all met");
    cluster
}

fn want_version(cluster: &Cluster, version: u64) {
    let rollout = json!({
        "model": MODEL, "weights_version": version,
        "max_parallel_loads": MAX_PARALLEL_LOADS, "min_serving": MIN_SERVING,
    });
    cluster.store.set("models/m", rollout);
}

async fn client() -> EngineClient {
    let timeouts = EngineTimeouts {
        connect: Duration::from_secs(1),
        call: Duration::from_secs(1),
    };
    EngineClient::new(timeouts).await.expect("client")
}

async fn statuses(client: &EngineClient, engines: &[RunningEngine]) -> Vec<EngineStatus> {
    let mut statuses = Vec::new();
    for engine in engines {
        let address = engine.server.address.to_string();
        statuses.push(client.status(&address).await.expect("status"));
    }
    statuses
}

/// Looks at the engines until all have `version`; checks floor and limit at each look.
async fn watch_rollout(engines: &[RunningEngine], version: u64) {
    let client = client().await;
    let deadline = std::time::Instant::now() + configuration_support::DEADLINE;
    loop {
        let statuses = statuses(&client, engines).await;
        let count = |health| {
            statuses
                .iter()
                .filter(|status| status.health == health)
                .count()
        };
        assert!(
            count(EngineHealth::Loading) <= MAX_PARALLEL_LOADS,
            "{statuses:?}"
        );
        assert!(count(EngineHealth::Serving) >= MIN_SERVING, "{statuses:?}");
        if statuses
            .iter()
            .all(|status| status.weights_version == WeightsVersion(version))
        {
            return;
        }
        assert!(std::time::Instant::now() < deadline, "{statuses:?}");
        ntex::time::sleep(Duration::from_millis(5)).await;
    }
}

/// The engines' order logs, each order with the token of the lease under which it was given: its name
/// carries it, also where the order itself did not.
fn order_history(engines: &[RunningEngine]) -> History {
    let mut events = Vec::new();
    for (index, engine) in engines.iter().enumerate() {
        for entry in engine.state.order_log() {
            let (token, _) = Uuid::parse_str(&entry.order_id)
                .expect("order id")
                .as_u64_pair();
            events.push(TimedEvent {
                at_us: events.len() as u64,
                event: Event::EngineOrder {
                    engine: format!("e{index}").as_str().into(),
                    order: OrderLogEntry {
                        fencing_token: FencingToken(token),
                        order_id: entry.order_id,
                        accepted: entry.accepted,
                    },
                },
            });
        }
    }
    History::new(events)
}

fn tokens(history: &History) -> Vec<u64> {
    let mut tokens: Vec<u64> = history
        .iter()
        .filter_map(|(_, _, event)| match event {
            Event::EngineOrder { order, .. } => Some(order.fencing_token.0),
            _ => None,
        })
        .collect();
    tokens.sort_unstable();
    tokens.dedup();
    tokens
}

/// The daemon that holds the lease by the store's object.
fn holder(cluster: &Cluster) -> Option<usize> {
    let changes = cluster.store.history();
    let newest = changes
        .iter()
        .rfind(|change| change.key == "leases/control")?;
    let daemon = newest
        .value
        .as_ref()?
        .get("holder")?
        .get("daemon")
        .and_then(Value::as_str)?;
    (0..cluster.len()).find(|index| daemon == format!("d{index}"))
}

#[ntex::test]
async fn a_rollout_keeps_its_floor_and_limit_and_ends() {
    let engines = start_engines();
    let cluster = start_cluster(&engines, MechanismSettings::default()).await;
    want_version(&cluster, 2);
    watch_rollout(&engines, 2).await;
    assert!(
        driftspring_check::check(
            Promise::Fencing,
            &order_history(&engines),
            &CheckSettings::default()
        )
        .is_ok()
    );
}

#[ntex::test]
async fn the_next_holder_continues_a_rollout() {
    let engines = start_engines();
    let mut cluster = start_cluster(&engines, MechanismSettings::default()).await;
    assert!(eventually(|| holder(&cluster).is_some()).await);
    let first = holder(&cluster).expect("a holder");
    want_version(&cluster, 2);
    let is_under_way = || {
        engines
            .iter()
            .any(|engine| engine.state.order_log().len() > 1)
    };
    assert!(eventually(is_under_way).await);
    cluster.kill(first);
    watch_rollout(&engines, 2).await;
    assert_ne!(holder(&cluster), Some(first));
    let history = order_history(&engines);
    assert_eq!(tokens(&history).len(), 2);
    assert!(
        driftspring_check::check(Promise::Fencing, &history, &CheckSettings::default()).is_ok()
    );
}

#[ntex::test]
async fn an_engine_is_told_to_drain_and_to_serve_again() {
    let engines = start_engines();
    let cluster = start_cluster(&engines, MechanismSettings::default()).await;
    let orders = || engines[1].state.order_log().len();
    assert!(
        eventually(|| orders() == 1).await,
        "the first order tells the intent"
    );
    cluster
        .store
        .set("engines/e1", json!({"id": "e1", "intent": "drain"}));
    assert!(eventually(|| orders() == 2).await);
    cluster
        .store
        .set("engines/e1", json!({"id": "e1", "intent": "serve"}));
    assert!(eventually(|| orders() == 3).await);
    assert_eq!(engines[0].state.order_log().len(), 1);
}

/// The holder is cut off from the store but not from the engines nor from the other daemon, from which it
/// hears of ever new versions to load, and of an engine to be drained and not.
async fn run_with_two_holders(mechanisms: MechanismSettings) -> (Vec<RunningEngine>, Cluster) {
    let engines = start_engines();
    let cluster = start_cluster(&engines, mechanisms).await;
    assert!(eventually(|| holder(&cluster).is_some()).await);
    let first = holder(&cluster).expect("a holder");
    want_version(&cluster, 2);
    watch_rollout(&engines, 2).await;
    let cut = FaultUpdate {
        cut: Some(true),
        ..FaultUpdate::default()
    };
    cluster.zone_store_faults(first, &cut);
    assert!(
        eventually(|| holder(&cluster) != Some(first)).await,
        "no second holder"
    );
    for version in 3..8 {
        want_version(&cluster, version);
        // Whatever the other holder does, each one has to tell this to the engine.
        let intent = if version % 2 == 0 { "serve" } else { "drain" };
        let directive = json!({"id": "e0", "intent": intent});
        let revision = cluster.store.set("engines/e0", directive);
        let heard = eventually(|| {
            let view = cluster.state(first).config.load();
            let known = view.revisions.get("engines/e0");
            known.is_some_and(|known| known.0 >= revision)
        });
        assert!(
            heard.await,
            "the first holder did not hear of version {version}"
        );
        ntex::time::sleep(LOAD_TIME * 2).await;
    }
    (engines, cluster)
}

#[ntex::test]
async fn a_holder_whose_term_is_over_gives_no_orders() {
    let (engines, _cluster) = run_with_two_holders(MechanismSettings::default()).await;
    let history = order_history(&engines);
    assert_eq!(tokens(&history).len(), 2);
    let checked = driftspring_check::check(Promise::Fencing, &history, &CheckSettings::default());
    assert_eq!(checked, Ok(()));
}

#[ntex::test]
async fn without_fencing_two_holders_give_orders_in_turn() {
    let without_fencing = MechanismSettings {
        fencing: false,
        ..MechanismSettings::default()
    };
    let (engines, _cluster) = run_with_two_holders(without_fencing).await;
    let settings = CheckSettings::default();
    let is_broken =
        || driftspring_check::check(Promise::Fencing, &order_history(&engines), &settings).is_err();
    assert!(eventually(is_broken).await);
}
