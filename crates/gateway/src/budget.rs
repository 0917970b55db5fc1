//! Budgets for sending requests again (retries).
//!
//! All gateways together may send a service a fixed ratio of retries per request, and a few more (the slack) in each
//! window. A gateway can't ask the others before each retry, so it only spends an amount that is safe whatever the
//! others do: what its own requests earn, and its share of the slack.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use driftspring_settings::GatewayRetries;

/// Share of the allowed ratio that is spent; the rest is a margin for requests that are counted elsewhere.
const RATIO_SHARE_USED: f64 = 0.85;

/// Share of the slack that all gateways together spend.
const SLACK_SHARE_USED: f64 = 0.7;

/// Minimum number of gateways among which the slack is divided, since more may start at any time.
const MIN_GATEWAYS: f64 = 8.0;

/// Retry budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: Cell<f64>,
    slack: Cell<f64>,
    gateways: Cell<f64>,
    balances: RefCell<HashMap<String, f64>>,
}

impl RetryBudgets {
    /// Creates budgets under `settings`.
    pub fn new(settings: &GatewayRetries) -> Self {
        Self {
            ratio: Cell::new(settings.ratio * RATIO_SHARE_USED),
            slack: Cell::new(settings.slack * SLACK_SHARE_USED),
            gateways: Cell::new(MIN_GATEWAYS),
            balances: RefCell::new(HashMap::new()),
        }
    }

    /// Puts other settings into force.
    pub fn reload(&self, settings: &GatewayRetries) {
        self.ratio.set(settings.ratio * RATIO_SHARE_USED);
        self.slack.set(settings.slack * SLACK_SHARE_USED);
    }

    /// Sets the number of gateways that share the budget.
    pub fn set_gateways(&self, gateways: usize) {
        self.gateways.set((gateways as f64).max(MIN_GATEWAYS));
    }

    /// Adds what one request of `service` earns to its balance.
    pub fn earn(&self, service: &str) {
        let limit = self.limit();
        let mut balances = self.balances.borrow_mut();
        match balances.get_mut(service) {
            Some(balance) => *balance = (*balance + self.ratio.get()).min(limit),
            None => {
                balances.insert(service.to_owned(), limit);
            }
        }
    }

    /// Spends one retry for `service`; returns false if the balance does not cover it.
    pub fn try_spend(&self, service: &str) -> bool {
        let limit = self.limit();
        let mut balances = self.balances.borrow_mut();
        let balance = balances.entry(service.to_owned()).or_insert(limit);
        let is_left = *balance >= 1.0;
        if is_left {
            *balance -= 1.0;
        }
        is_left
    }

    /// Maximum balance, in retries.
    fn limit(&self) -> f64 {
        (self.slack.get() / self.gateways.get()).max(1.0)
    }
}
