//! Filter: divides the traffic of a route among its services.

use super::refusal::{Reason, Refusal, Step};
use crate::authorization::{Authorization, Destination};
use crate::configuration::Route;
use crate::state::GatewayState;

/// Returns the service of the next request by weighted round-robin: the service that is furthest behind its share goes
/// next, so the division follows the weights closely.
pub fn choose_backend(
    state: &GatewayState,
    authorization: &Authorization,
) -> Result<Destination, Refusal> {
    let route = authorization.route();
    let total: f64 = route
        .backends
        .iter()
        .map(|backend| f64::from(backend.weight))
        .sum();
    let position = match route.backends.len() {
        _ if total <= 0.0 => None,
        1 => Some(0),
        _ => Some(next_position(state, route, total)),
    };
    let chosen = position.and_then(|position| {
        let service = &route.backends[position].service;
        authorization.to_service(service)
    });
    chosen.ok_or_else(|| {
        let detail = "no service has any weight";
        Refusal::new(Step::Choose, Reason::NoReplica, detail)
    })
}

/// Index of the service with the highest credit, after all credits have grown by the services' weights.
fn next_position(state: &GatewayState, route: &Route, total: f64) -> usize {
    let mut backend_credits = state.backend_credits.borrow_mut();
    let credits = backend_credits.entry(route.name.clone()).or_default();
    if credits.len() != route.backends.len() {
        // Each gateway starts with another credit, so that the gateways do not all begin with the same service.
        let start = (state.incarnation % 1000) as f64 / 1000.0;
        *credits = vec![0.0; route.backends.len()];
        credits[0] = start;
    }
    for (credit, backend) in credits.iter_mut().zip(&route.backends) {
        *credit += f64::from(backend.weight) / total;
    }
    let furthest_behind = (0..credits.len())
        .filter(|index| route.backends[*index].weight > 0)
        .max_by(|one, other| credits[*one].total_cmp(&credits[*other]))
        .unwrap_or(0);
    credits[furthest_behind] -= 1.0;
    furthest_behind
}
