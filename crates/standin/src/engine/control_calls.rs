//! The calls that daemons, controllers and tests make: status, events, orders, leave, crash, logs.

use std::sync::Arc;
use std::time::Duration;

use driftspring_types::{EngineHealth, EngineLoad};
use ntex::util::Bytes;
use ntex::web::{self, HttpResponse};
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::core::WantedWeights;
use super::events::EventSource;
use super::orders::{FencedOrder, Order, OrderDecision};
use super::state::EngineState;
use crate::streaming::{body_of, json_line};

/// The pause before a failed load of weights is tried again.
const LOAD_RETRY_PAUSE: Duration = Duration::from_millis(200);

/// How long a load of weights may take.
const LOAD_TIMEOUT: ntex::time::Millis = ntex::time::Millis(30_000);

type SharedEngine = web::types::State<Arc<EngineState>>;

/// Adds these calls.
pub(super) fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/status", web::get().to(show_status))
        .route("/events", web::get().to(stream_events))
        .route("/orders", web::post().to(take_order))
        .route("/leave", web::post().to(leave))
        .route("/standin/crash", web::post().to(crash))
        .route("/standin/run-log", web::get().to(show_run_log))
        .route("/standin/order-log", web::get().to(show_order_log));
}

#[derive(Serialize)]
struct EngineStatus<'a> {
    id: &'a str,
    zone: &'a str,
    model: &'a str,
    weights_version: u64,
    incarnation: u64,
    report_sequence: u64,
    health: EngineHealth,
    load: EngineLoad,
    role: Option<&'a str>,
}

async fn show_status(engine: SharedEngine) -> HttpResponse {
    let lag = Duration::from_millis(engine.faults.current().report_lag_ms);
    let mut core = engine.core();
    let (report_sequence, load) = core.report(lag);
    let status = EngineStatus {
        id: engine.options.id.as_str(),
        zone: engine.options.zone.as_str(),
        model: engine.options.model.as_str(),
        weights_version: core.weights_version,
        incarnation: core.incarnation,
        report_sequence,
        health: core.health,
        load,
        role: core.role.as_deref(),
    };
    HttpResponse::Ok().json(&status)
}

#[derive(Deserialize)]
struct EventsQuery {
    from: Option<u64>,
}

async fn stream_events(
    engine: SharedEngine,
    query: web::types::Query<EventsQuery>,
) -> HttpResponse {
    let source = EventSource::new(Arc::clone(&engine), query.from);
    HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .streaming(body_of(Arc::clone(&engine.faults), source))
}

async fn take_order(engine: SharedEngine, order: web::types::Json<FencedOrder>) -> HttpResponse {
    let order = order.into_inner();
    let decision = engine.core().orders.decide(&order);
    match decision {
        OrderDecision::Fenced { highest_token } => {
            return HttpResponse::Conflict().json(&json!({"highest_token": highest_token}));
        }
        OrderDecision::Obey => obey(&engine, order.order),
        OrderDecision::Repeat => {}
    }
    HttpResponse::Ok().json(&json!({"accepted": true}))
}

fn obey(engine: &Arc<EngineState>, order: Order) {
    let mut core = engine.core();
    match order {
        Order::SetRole { role } => core.role = Some(role),
        Order::Drain => core.drained = true,
        Order::Undrain => core.drained = false,
        Order::LoadWeights {
            model,
            weights_version,
        } => {
            core.wanted_weights = Some(WantedWeights {
                model,
                weights_version,
            });
            if core.health != EngineHealth::Serving {
                return;
            }
            core.health = EngineHealth::Loading;
            let life = core.incarnation;
            ntex::rt::spawn(load_weights(Arc::clone(engine), life));
        }
    }
}

/// Waits for open requests, then fetches the weights ordered last; given up where the engine crashes.
async fn load_weights(engine: Arc<EngineState>, life: u64) {
    engine
        .wait_until(|core| core.incarnation != life || !core.has_open_requests())
        .await;
    while let Some(wanted) = wanted_in(&engine, life) {
        if !fetch_weights(&engine, &wanted).await {
            tokio::time::sleep(LOAD_RETRY_PAUSE).await;
            continue;
        }
        engine.change(|core, now| core.incarnation == life && core.finish_load(now, &wanted));
    }
}

/// The weights still to be loaded in the life `life`.
fn wanted_in(engine: &EngineState, life: u64) -> Option<WantedWeights> {
    let core = engine.core();
    let wanted = core.wanted_weights.clone();
    wanted.filter(|_| core.incarnation == life)
}

/// Whether the weight store has served the weights.
async fn fetch_weights(engine: &EngineState, wanted: &WantedWeights) -> bool {
    let Some(store) = engine.options.weight_store else {
        tokio::time::sleep(engine.options.load_time).await;
        return true;
    };
    let WantedWeights {
        model,
        weights_version,
    } = wanted;
    let url = format!("http://{store}/weights/{model}/{weights_version}/load");
    let client = ntex::client::Client::new().await;
    let request = client.post(url).timeout(LOAD_TIMEOUT);
    match request.send().await {
        Ok(response) => response.status().is_success(),
        Err(error) => {
            log::warn!("engine {}: weight store: {error}", engine.options.id);
            false
        }
    }
}

/// Takes the body too: an answer before the caller has sent it would break the connection off.
async fn leave(engine: SharedEngine, _body: Bytes) -> HttpResponse {
    engine.core().health = EngineHealth::Leaving;
    let leaving = Arc::clone(&engine);
    ntex::rt::spawn(async move {
        leaving.wait_until(|core| !core.is_busy()).await;
        leaving.end.stop();
    });
    HttpResponse::Ok().json(&json!({"accepted": true}))
}

/// Takes the body too, as [`leave`] does.
async fn crash(engine: SharedEngine, _body: Bytes) -> HttpResponse {
    engine.crash();
    HttpResponse::Ok().json(&json!({"incarnation": engine.incarnation()}))
}

async fn show_run_log(engine: SharedEngine) -> HttpResponse {
    lines_response(&engine.run_log())
}

async fn show_order_log(engine: SharedEngine) -> HttpResponse {
    lines_response(&engine.order_log())
}

fn lines_response<T: Serialize>(entries: &[T]) -> HttpResponse {
    let lines: Vec<u8> = entries
        .iter()
        .flat_map(|entry| json_line(entry).to_vec())
        .collect();
    HttpResponse::Ok()
        .content_type("application/x-ndjson")
        .body(lines)
}
