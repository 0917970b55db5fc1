//! The first request to a daemon after it began to listen is served: it is not refused for a lack of
//! configuration or of engines, nor left without an answer.

use driftspring_history::{Answer, Ending, Event, Fault, FaultTarget, History};
use driftspring_types::{DaemonId, NotRunReason, RequestId};

use crate::daemon_lives::unavoidable_cut;
use crate::requests::{Located, RequestHistory, requests};
use crate::violation::{Promise, Violation, first};

/// Checks the promise.
pub fn check(history: &History) -> Result<(), Violation> {
    let requests = requests(history);
    let engine_faults = has_engine_faults(history);
    let violations = history.iter().filter_map(|(start, _, event)| {
        let Event::DaemonStarted { daemon, .. } = event else {
            return None;
        };
        let request_id = first_request(history, start, daemon)?;
        let request: &RequestHistory<'_> = requests.get(&request_id)?;
        let answered: Located<'_, Answer> = request.answered?;
        let invoked = request.invoked?;
        let killed = unavoidable_cut(history, Some(daemon), invoked.at_us, answered.at_us);
        let is_unserved = !killed && unserved(answered.value.ending, engine_faults);
        is_unserved.then(|| {
            Violation::new(
                Promise::Restart,
                answered.index,
                format!(
                    "request {request_id}, the first to daemon {daemon} after its start (event {start}), \
                     ended as {:?}",
                    answered.value.ending
                ),
            )
        })
    });
    first(violations)
}

/// The first request to `daemon` after the event `start` and within the same life.
fn first_request(history: &History, start: usize, daemon: &DaemonId) -> Option<RequestId> {
    let later = history.events.get(start + 1..)?;
    later
        .iter()
        .take_while(|timed| !ends_life(&timed.event, daemon))
        .find_map(|timed| match &timed.event {
            Event::Invoked(invocation) if invocation.daemon.as_ref() == Some(daemon) => {
                Some(invocation.request_id)
            }
            _ => None,
        })
}

fn ends_life(event: &Event, daemon: &DaemonId) -> bool {
    match event {
        Event::DaemonStopping { daemon: ended }
        | Event::DaemonStopped { daemon: ended }
        | Event::FaultInjected {
            target: FaultTarget::Daemon(ended),
            fault: Fault::Kill,
        } => ended == daemon,
        _ => false,
    }
}

/// Whether the ending shows that the daemon was not ready. A lack of engines counts only in runs
/// that leave the engines alone.
fn unserved(ending: Ending, engine_faults: bool) -> bool {
    match ending {
        Ending::Silent => true,
        Ending::NotRun { reason } => match reason {
            Some(
                NotRunReason::Starting | NotRunReason::Unauthenticated | NotRunReason::NoRoute,
            ) => true,
            Some(NotRunReason::NoEngine) => !engine_faults,
            _ => false,
        },
        Ending::Whole | Ending::Unknown | Ending::Abandoned => false,
    }
}

fn has_engine_faults(history: &History) -> bool {
    history.iter().any(|(_, _, event)| {
        let target = match event {
            Event::FaultInjected { target, .. } => target,
            Event::EngineLeaving { .. } => return true,
            _ => return false,
        };
        matches!(target, FaultTarget::Engine(_) | FaultTarget::Zone(_))
    })
}
