//! All attempts under one key of a request that may not be repeated have one run at most, over all
//! engines. Keys of different tenants are different keys.

use std::collections::BTreeMap;

use driftspring_history::{Event, History};
use driftspring_types::{IdempotencyKey, TenantId};

use crate::requests::{LocatedRun, requests};
use crate::violation::{Promise, Violation, first};

/// A logical request: its tenant and the key that the tenant gave it.
type LogicalRequest<'a> = (&'a TenantId, &'a IdempotencyKey);

/// Checks the promise.
pub fn check(history: &History) -> Result<(), Violation> {
    let violations = runs_by_logical_request(history)
        .into_iter()
        .filter_map(|((tenant, key), mut runs)| {
            runs.sort_by_key(|run| (run.run.started_ms, run.index));
            let [first_run, second_run, ..] = runs.as_slice() else {
                return None;
            };
            Some(Violation::new(
                Promise::AtMostOnce,
                second_run.index,
                format!(
                    "key {key} of tenant {tenant} ran {} times: request {} at engine {} from {} ms, \
                     request {} at engine {} from {} ms",
                    runs.len(),
                    first_run.run.request_id,
                    first_run.engine,
                    first_run.run.started_ms,
                    second_run.run.request_id,
                    second_run.engine,
                    second_run.run.started_ms,
                ),
            ))
        });
    first(violations)
}

/// The runs of every request that may not be repeated.
fn runs_by_logical_request(history: &History) -> BTreeMap<LogicalRequest<'_>, Vec<LocatedRun<'_>>> {
    let requests = requests(history);
    let mut runs: BTreeMap<LogicalRequest<'_>, Vec<LocatedRun<'_>>> = BTreeMap::new();
    for (_, _, event) in history.iter() {
        let Event::Invoked(invocation) = event else {
            continue;
        };
        let Some(key) = &invocation.idempotency_key else {
            continue;
        };
        if invocation.repeatable {
            continue;
        }
        if let Some(request) = requests.get(&invocation.request_id) {
            let logical_request = (&invocation.tenant, key);
            let all = runs.entry(logical_request).or_default();
            all.extend(&request.runs);
        }
    }
    runs
}
