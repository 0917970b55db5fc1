//! No engine obeys an order under a lower fencing token after one under a higher token, whatever the store has lost in
//! between.

use std::collections::HashMap;

use driftspring_history::{Event, History};
use driftspring_types::{EngineId, FencingToken};

use crate::violation::{Promise, Violation};

/// Checks the promise; an engine's orders must stand in the history in the order of its order log.
pub fn check(history: &History) -> Result<(), Violation> {
    let mut highest: HashMap<&EngineId, FencingToken> = HashMap::new();
    for (index, _, event) in history.iter() {
        let Event::EngineOrder { engine, order } = event else {
            continue;
        };
        if !order.accepted {
            continue;
        }
        let known = highest.entry(engine).or_insert(order.fencing_token);
        if order.fencing_token < *known {
            return Err(Violation::new(
                Promise::Fencing,
                index,
                format!(
                    "engine {engine} obeyed order {} under token {} after one under token {known}",
                    order.order_id, order.fencing_token
                ),
            ));
        }
        *known = order.fencing_token;
    }
    Ok(())
}
