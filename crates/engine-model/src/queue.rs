//! The waiting requests: by priority, then by arrival.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use crate::request::{EngineRequest, SequenceId};

/// Position in the queue: higher priorities first, then earlier arrivals.
type QueuePosition = (Reverse<u8>, u64);

/// A queue that honours priorities.
#[derive(Debug, Default)]
pub(crate) struct PriorityQueue {
    waiting: BTreeMap<QueuePosition, EngineRequest>,
    arrivals: u64,
}

impl PriorityQueue {
    /// The number of waiting requests.
    pub(crate) fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request behind the others of its priority.
    pub(crate) fn push(&mut self, request: EngineRequest) {
        self.arrivals += 1;
        let position = (Reverse(request.priority), self.arrivals);
        self.waiting.insert(position, request);
    }

    /// Takes the next request.
    pub(crate) fn pop(&mut self) -> Option<EngineRequest> {
        self.waiting.pop_first().map(|(_, request)| request)
    }

    /// Takes the request `id` out; false where it does not wait.
    pub(crate) fn remove(&mut self, id: SequenceId) -> bool {
        let waiting = self.waiting.iter();
        let position = waiting
            .filter(|(_, request)| request.id == id)
            .map(|(position, _)| *position)
            .next();
        position.is_some_and(|position| self.waiting.remove(&position).is_some())
    }

    /// Takes all requests out.
    pub(crate) fn drain(&mut self) -> Vec<EngineRequest> {
        std::mem::take(&mut self.waiting).into_values().collect()
    }

    /// The waiting requests in the order in which they will run.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &EngineRequest> {
        self.waiting.values()
    }
}
