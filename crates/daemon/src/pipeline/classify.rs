//! Filter: chooses the priority.

use driftspring_types::Route;

use super::decode::DecodedRequest;

/// The priority that the caller names, else the route's; 0 (least urgent) to 9.
pub fn classify(request: &DecodedRequest, route: &Route) -> u8 {
    request.headers.priority.unwrap_or(route.priority)
}
