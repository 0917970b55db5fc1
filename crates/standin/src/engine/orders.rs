//! Fenced orders.

use std::collections::HashSet;

use serde::{Deserialize, Serialize};

/// What is ordered.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub(crate) enum Order {
    /// Load other weights.
    LoadWeights { model: String, weights_version: u64 },
    /// Take another role.
    SetRole { role: String },
    /// Take no new requests.
    Drain,
    /// Take requests again.
    Undrain,
}

/// An order as it comes.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub(crate) struct FencedOrder {
    pub(crate) fencing_token: u64,
    pub(crate) order_id: String,
    pub(crate) order: Order,
}

/// One order that came, whether or not it was obeyed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderLogEntry {
    /// Its fencing token.
    pub fencing_token: u64,
    /// Its name.
    pub order_id: String,
    /// Whether it was obeyed.
    pub accepted: bool,
}

/// What becomes of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum OrderDecision {
    /// Obey it.
    Obey,
    /// It was obeyed before: say so again.
    Repeat,
    /// A higher token was seen.
    Fenced { highest_token: u64 },
}

/// The orders that came.
#[derive(Debug, Default)]
pub(crate) struct OrderBook {
    highest_token: u64,
    obeyed: HashSet<String>,
    log: Vec<OrderLogEntry>,
}

impl OrderBook {
    /// Decides on an order and notes it.
    pub(crate) fn decide(&mut self, order: &FencedOrder) -> OrderDecision {
        let fenced = order.fencing_token < self.highest_token;
        self.log.push(OrderLogEntry {
            fencing_token: order.fencing_token,
            order_id: order.order_id.clone(),
            accepted: !fenced,
        });
        if fenced {
            return OrderDecision::Fenced {
                highest_token: self.highest_token,
            };
        }
        self.highest_token = order.fencing_token;
        if self.obeyed.insert(order.order_id.clone()) {
            OrderDecision::Obey
        } else {
            OrderDecision::Repeat
        }
    }

    /// Forgets which orders were obeyed, as a crash undoes their effect. The highest token stays.
    pub(crate) fn forget_obeyed(&mut self) {
        self.obeyed.clear();
    }

    /// Every order that came.
    pub(crate) fn log(&self) -> &[OrderLogEntry] {
        &self.log
    }
}
