//! A request answered "not run" appears in no engine's run log.

use driftspring_history::{Ending, History};

use crate::requests::requests;
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History) -> Result<(), Violation> {
    let requests = requests(history);
    let violations = requests.iter().filter_map(|(request_id, request)| {
        let answered = request.answered?;
        let Ending::NotRun { .. } = answered.value.ending else {
            return None;
        };
        let run = request.runs.first()?;
        Some(Violation::new(
            Promise::NotRun,
            answered.index,
            format!(
                "request {request_id} was answered \"not run\", but engine {} began it at {} ms (event {})",
                run.engine, run.run.started_ms, run.index
            ),
        ))
    });
    first(violations)
}
