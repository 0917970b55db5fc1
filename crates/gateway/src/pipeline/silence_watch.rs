//! Looks whether replicas at which requests are open fall silent, and asks those that do for a connection.

use std::rc::Rc;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::choose_replica::Choice;
use crate::replicas::Replica;
use crate::state::GatewayState;
use crate::upstream::{ConnectError, Connection};

/// Watches a replica from now on, unless that is done already: as long as requests are open there, and until it is back where
/// it has gone dark.
pub fn watch(state: &Rc<GatewayState>, replica: &Rc<Replica>) {
    if !replica.is_watched.replace(true) {
        ntex::rt::spawn(watch_to_end(Rc::clone(state), Rc::clone(replica)));
    }
}

async fn watch_to_end(state: Rc<GatewayState>, replica: Rc<Replica>) {
    while state.registry.is_current(&replica.life) {
        let Some(ask_at) = next_question(&replica) else {
            break;
        };
        let left = ask_at.saturating_duration_since(Instant::now());
        match left.is_zero() {
            true => ask(&state, &replica).await,
            false => tokio::time::sleep(left).await,
        }
    }
    replica.is_watched.set(false);
}

fn next_question(replica: &Replica) -> Option<Instant> {
    replica.pool.silence().ask_at()
}

/// Asks the replica for a connection.
async fn ask(state: &Rc<GatewayState>, replica: &Rc<Replica>) {
    let asked_at = Instant::now();
    replica.pool.silence().asked(asked_at);
    if replica.loading_since().is_some() && !replica.pool.silence().is_dark() {
        return;
    }
    match Connection::open(replica.pool.peer()).await {
        Ok(connection) => {
            replica.pool.put(connection);
            note_answered(replica);
        }
        // A machine that refuses is there: what is open on it has been closed, or will be.
        Err(ConnectError::Failed { .. }) => note_answered(replica),
        Err(ConnectError::Silent { .. }) => note_silent_connection(state, replica, asked_at),
    }
}

fn note_answered(replica: &Replica) {
    if replica.pool.silence().answered() {
        replica.health.note_answer();
        log_event!(gateway::REPLICA_WELL, "replica={}", replica.id());
    }
}

/// Takes in that the replica has not answered to a connection.
pub fn note_silent_connection(state: &Rc<GatewayState>, replica: &Rc<Replica>, asked_at: Instant) {
    let now = Instant::now();
    if replica.pool.silence().unanswered(asked_at, now) {
        replica.pool.note_dark();
        watch(state, replica);
        log_event!(
            gateway::REPLICA_SUSPECT,
            "replica={} cause={:?}",
            replica.id(),
            "no byte for longer than usual, and no answer to a connection"
        );
    }
}

/// Ends where the chosen replica has gone dark and the request may leave it.
pub async fn until_dark(choice: &Choice, may_leave: impl Fn() -> bool) {
    choice.replica.pool.until_dark().await;
    if !may_leave() {
        std::future::pending::<()>().await;
    }
}
