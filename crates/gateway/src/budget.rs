//! How often requests may be sent again.
//!
//! All daemons together may burden a service with so many repeats for each request and a few more in each
//! window. A daemon can't ask the others before each repeat, so it spends a part that is safe whatever
//! they do: what its own requests earn, and its share of the few more.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use driftspring_settings::GatewayRetries;

/// The share of the allowed ratio that is spent; the rest is for requests that are counted elsewhere.
const RATIO_USED: f64 = 0.85;

/// The share of the slack that is spent by all daemons together.
const SLACK_USED: f64 = 0.7;

/// Daemons that share the slack at the least, since more may come at any time.
const LEAST_DAEMONS: f64 = 8.0;

/// The budgets of all services.
#[derive(Debug)]
pub struct RetryBudgets {
    ratio: Cell<f64>,
    slack: Cell<f64>,
    daemons: Cell<f64>,
    saved: RefCell<HashMap<String, f64>>,
}

impl RetryBudgets {
    /// Budgets under `settings`.
    pub fn new(settings: &GatewayRetries) -> Self {
        Self {
            ratio: Cell::new(settings.ratio * RATIO_USED),
            slack: Cell::new(settings.slack * SLACK_USED),
            daemons: Cell::new(LEAST_DAEMONS),
            saved: RefCell::new(HashMap::new()),
        }
    }

    /// Puts other settings into force.
    pub fn reload(&self, settings: &GatewayRetries) {
        self.ratio.set(settings.ratio * RATIO_USED);
        self.slack.set(settings.slack * SLACK_USED);
    }

    /// Takes in how many daemons share the budget.
    pub fn set_daemons(&self, daemons: usize) {
        self.daemons.set((daemons as f64).max(LEAST_DAEMONS));
    }

    /// Counts a request for `service`.
    pub fn earn(&self, service: &str) {
        let limit = self.limit();
        let mut saved = self.saved.borrow_mut();
        match saved.get_mut(service) {
            Some(saved) => *saved = (*saved + self.ratio.get()).min(limit),
            None => {
                saved.insert(service.to_owned(), limit);
            }
        }
    }

    /// Spends one repeat for `service`; false where the budget is spent.
    pub fn try_spend(&self, service: &str) -> bool {
        let limit = self.limit();
        let mut saved = self.saved.borrow_mut();
        let saved = saved.entry(service.to_owned()).or_insert(limit);
        let is_left = *saved >= 1.0;
        if is_left {
            *saved -= 1.0;
        }
        is_left
    }

    /// Repeats that may be saved up.
    fn limit(&self) -> f64 {
        (self.slack.get() / self.daemons.get()).max(1.0)
    }
}
