//! The tenant, the bounds and the outcome of limit simulations.

use std::time::Duration;

use driftspring_gateway::configuration::{Quota, QuotaUnit, Tenant};
use driftspring_gateway::quota::Tolerance;
use rand::Rng;
use rand::rngs::StdRng;

/// The window over which the limit is checked.
pub const WINDOW: Duration = Duration::from_secs(8);

/// The tolerance of the platform at the site from which these tenants are taken.
pub const TOLERANCE: Tolerance = Tolerance {
    overshoot: 0.1,
    slack: 110_000.0,
};

/// The share of requests below the limit that may be refused.
pub const MAX_REFUSED_SHARE: f64 = 0.005;

/// What all gateways together may admit in a window for a tenant with this rate, which is also its burst.
pub const fn window_limit(rate: f64) -> f64 {
    (rate * WINDOW.as_secs() as f64 + rate) * (1.0 + TOLERANCE.overshoot) + TOLERANCE.slack
}

/// A tenant with this limit, in units per second.
pub fn tenant(per_second: f64) -> Tenant {
    Tenant {
        name: "tenant".to_owned(),
        priority: None,
        is_isolated: false,
        quota: Some(Quota {
            unit: QuotaUnit::Tokens { default_cost: 200 },
            per_second,
            burst: per_second,
        }),
    }
}

/// Draws the cost of one request, in units.
pub fn draw_cost(random: &mut StdRng) -> f64 {
    let cost: f64 = -9_200.0 * (1.0 - random.random::<f64>()).ln();
    cost.clamp(200.0, 60_000.0)
}

/// The outcome of a simulation.
#[derive(Default)]
pub struct Outcome {
    /// Time and cost of each admitted request.
    pub admitted: Vec<(Duration, f64)>,
    /// The number of requests.
    pub asked: usize,
    /// The number of refused requests.
    pub refused: usize,
}

impl Outcome {
    /// The maximum that was admitted in a window.
    pub fn max_admitted_in_window(&self) -> f64 {
        let mut max_admitted: f64 = 0.0;
        let mut sum = 0.0;
        let mut first = 0;
        for (at, cost) in &self.admitted {
            sum += cost;
            while self.admitted[first].0 + WINDOW <= *at {
                sum -= self.admitted[first].1;
                first += 1;
            }
            max_admitted = max_admitted.max(sum);
        }
        max_admitted
    }

    /// The share of requests that were refused.
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / self.asked as f64
    }
}
