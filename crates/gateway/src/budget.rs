//! How often requests may be sent again.
//!
//! All gateways together may burden a service with so many repeats for each request and a few more in each
//! window. A daemon can't ask the others before each repeat, so it spends a part that is safe whatever
//! they do: what its own requests earn, and its share of the few more.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use driftspring_settings::GatewayRetries;

/// The share of the allowed ratio that is spent; the rest is for requests that are counted elsewhere.
const RATIO_SHARE_USED: f64 = 0.85;

/// The share of the slack that is spent by all gateways together.
const SLACK_SHARE_USED: f64 = 0.7;

/// Daemons that share the slack at the least, since more may come at any time.
const MIN_GATEWAYS: f64 = 8.0;

/// The budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: Cell<f64>,
    slack: Cell<f64>,
    gateways: Cell<f64>,
    balances: RefCell<HashMap<String, f64>>,
}

impl RetryBudgets {
    /// Budgets under `settings`.
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

    /// Takes in how many gateways share the budget.
    pub fn set_gateways(&self, gateways: usize) {
        self.gateways.set((gateways as f64).max(MIN_GATEWAYS));
    }

    /// Counts a request for `service`.
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

    /// Spends one repeat for `service`; false where the budget is spent.
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

    /// Repeats that may be balances up.
    fn limit(&self) -> f64 {
        (self.slack.get() / self.gateways.get()).max(1.0)
    }
}
