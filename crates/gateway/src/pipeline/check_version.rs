//! Filter: checks whether the caller's version of HTTP can carry the answers of a route.

use http::Version;
use ntex::web::HttpRequest;

use super::refusal::{Reason, Refusal, Step};
use crate::configuration::{Route, RouteKind};

/// Refuses streams to callers that speak HTTP/1.0: without chunks an answer whose length is not known in advance looks complete
/// wherever its connection ends.
pub fn check_version(request: &HttpRequest, route: &Route) -> Result<(), Refusal> {
    match route.kind == RouteKind::Streaming && request.version() < Version::HTTP_11 {
        true => {
            let detail = format!("a stream in {:?}", request.version());
            Err(Refusal::new(
                Step::Decode,
                Reason::UnsupportedVersion,
                detail,
            ))
        }
        false => Ok(()),
    }
}
