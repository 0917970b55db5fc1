//! A history's events sorted by the request that they are about.

use std::collections::BTreeMap;

use driftspring_history::{Answer, Dispatch, Event, History, Invocation, RunLogEntry, Token};
use driftspring_types::{EngineId, RequestId};

/// An event of one kind and its place in the history.
#[derive(Debug)]
pub struct Located<'a, T> {
    /// The event's index.
    pub index: usize,
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// What the event says.
    pub value: &'a T,
}

impl<T> Clone for Located<'_, T> {
    fn clone(&self) -> Self {
        *self
    }
}

impl<T> Copy for Located<'_, T> {}

/// A line of a run log, the engine whose log it is, and its place in the history.
#[derive(Debug, Clone, Copy)]
pub struct LocatedRun<'a> {
    /// The event's index.
    pub index: usize,
    /// The engine.
    pub engine: &'a EngineId,
    /// The line.
    pub run: &'a RunLogEntry,
}

impl LocatedRun<'_> {
    /// When the run began, in microseconds since the Unix epoch, rounded down to a millisecond.
    pub fn started_us(&self) -> u64 {
        self.run.started_ms.saturating_mul(1000)
    }
}

/// What a history holds about one request.
#[derive(Debug, Default)]
pub struct RequestHistory<'a> {
    /// What the caller sent.
    pub invoked: Option<Located<'a, Invocation>>,
    /// The tokens that the caller received, in the order received.
    pub tokens: Vec<Located<'a, Token>>,
    /// How it ended for the caller.
    pub answered: Option<Located<'a, Answer>>,
    /// The times that daemons sent it to engines.
    pub dispatches: Vec<Located<'a, Dispatch>>,
    /// Its runs at engines.
    pub runs: Vec<LocatedRun<'a>>,
}

/// Sorts the events of `history` by request.
pub fn requests(history: &History) -> BTreeMap<RequestId, RequestHistory<'_>> {
    let mut requests: BTreeMap<RequestId, RequestHistory<'_>> = BTreeMap::new();
    for (index, at_us, event) in history.iter() {
        let Some(request_id) = event.request_id() else {
            continue;
        };
        let request = requests.entry(request_id).or_default();
        match event {
            Event::Invoked(value) => {
                request.invoked = Some(Located {
                    index,
                    at_us,
                    value,
                })
            }
            Event::TokenReceived(value) => request.tokens.push(Located {
                index,
                at_us,
                value,
            }),
            Event::Answered(value) => {
                request.answered = Some(Located {
                    index,
                    at_us,
                    value,
                })
            }
            Event::Dispatched(value) => request.dispatches.push(Located {
                index,
                at_us,
                value,
            }),
            Event::EngineRun { engine, run } => {
                request.runs.push(LocatedRun { index, engine, run });
            }
            _ => {}
        }
    }
    requests
}

/// Every line of every run log, in the order of the history.
pub fn runs(history: &History) -> impl Iterator<Item = LocatedRun<'_>> {
    history.iter().filter_map(|(index, _, event)| match event {
        Event::EngineRun { engine, run } => Some(LocatedRun { index, engine, run }),
        _ => None,
    })
}
