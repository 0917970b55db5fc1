//! A planned stop of a daemon or an engine cuts no request that it has begun to answer.

use driftspring_history::{Ending, Event, FaultTarget, History};
use driftspring_types::{DaemonId, EngineId, RequestId};

use crate::daemon_lives::unavoidable_cut;
use crate::requests::{RequestHistory, requests};
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History) -> Result<(), Violation> {
    let requests = requests(history);
    let violations = history.iter().flat_map(|(stop, stop_us, event)| {
        requests.iter().filter_map(move |(request_id, request)| {
            let by_stop = Stop {
                index: stop,
                at_us: stop_us,
                history,
            };
            match event {
                Event::DaemonStopping { daemon } => {
                    by_stop.cut_by_daemon(daemon, *request_id, request)
                }
                Event::EngineLeaving { engine } => {
                    by_stop.cut_by_engine(engine, *request_id, request)
                }
                _ => None,
            }
        })
    });
    first(violations)
}

/// A planned stop.
struct Stop<'a> {
    index: usize,
    at_us: u64,
    history: &'a History,
}

impl Stop<'_> {
    /// A request that the stopping daemon had taken in, open at the stop, and cut.
    fn cut_by_daemon(
        &self,
        daemon: &DaemonId,
        request_id: RequestId,
        request: &RequestHistory<'_>,
    ) -> Option<Violation> {
        let invoked = request.invoked?;
        let answered = request.answered?;
        let open = invoked.at_us < self.at_us && self.at_us < answered.at_us;
        if !open || invoked.value.daemon.as_ref() != Some(daemon) {
            return None;
        }
        if unavoidable_cut(self.history, Some(daemon), invoked.at_us, answered.at_us) {
            return None;
        }
        let begun = request
            .tokens
            .first()
            .is_some_and(|token| token.at_us < self.at_us);
        let cut = match answered.value.ending {
            Ending::Whole | Ending::Abandoned => false,
            Ending::Silent => true,
            // An explicit error may also come of the loss of the request's engine.
            Ending::NotRun { .. } | Ending::Unknown => begun && !self.lost_its_engine(request),
        };
        cut.then(|| self.violation(answered.index, request_id, &format!("daemon {daemon}")))
    }

    /// A request that the stopping engine was running, and that was not completed.
    fn cut_by_engine(
        &self,
        engine: &EngineId,
        request_id: RequestId,
        request: &RequestHistory<'_>,
    ) -> Option<Violation> {
        let answered = request.answered?;
        if answered.at_us < self.at_us || self.engine_fault(engine) {
            return None;
        }
        let run = request
            .runs
            .iter()
            .find(|run| run.engine == engine && run.started_us() < self.at_us)?;
        let daemon = request.invoked?.value.daemon.as_ref();
        if unavoidable_cut(self.history, daemon, run.started_us(), answered.at_us) {
            return None;
        }
        let cut = !matches!(answered.value.ending, Ending::Whole | Ending::Abandoned);
        cut.then(|| self.violation(answered.index, request_id, &format!("engine {engine}")))
    }

    /// Whether an engine to which the request was sent was hit by a fault while it was open.
    fn lost_its_engine(&self, request: &RequestHistory<'_>) -> bool {
        let Some((invoked, answered)) = request.invoked.zip(request.answered) else {
            return false;
        };
        let sent_to = |engine: &EngineId| {
            let mut dispatches = request.dispatches.iter();
            dispatches.any(|dispatch| dispatch.value.engine == *engine)
        };
        self.history
            .iter()
            .filter(|(_, at_us, _)| (invoked.at_us..=answered.at_us).contains(at_us))
            .any(|(_, _, event)| match event {
                Event::FaultInjected {
                    target: FaultTarget::Engine(engine),
                    ..
                } => sent_to(engine),
                _ => false,
            })
    }

    /// Whether the run also brought a fault about at the engine.
    fn engine_fault(&self, engine: &EngineId) -> bool {
        self.history.iter().any(|(_, _, event)| {
            matches!(event, Event::FaultInjected { target: FaultTarget::Engine(hit), .. } if hit == engine)
        })
    }

    fn violation(&self, index: usize, request_id: RequestId, stopped: &str) -> Violation {
        Violation::new(
            Promise::PlannedStop,
            index,
            format!(
                "request {request_id} was cut by the planned stop of {stopped} (event {})",
                self.index
            ),
        )
    }
}
