//! The events of a history.

use std::time::{SystemTime, UNIX_EPOCH};

use driftspring_types::{DaemonId, EngineId, Incarnation, RequestId};
use serde::{Deserialize, Serialize};

use crate::client::{Answer, Invocation, Token};
use crate::configuration::{ConfigProposal, ConfigSettlement, ObservedObject, StoreReturn};
use crate::engine::{Dispatch, OrderLogEntry, RunLogEntry};
use crate::fault::{Fault, FaultTarget};

/// One thing that happened in a run.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Event {
    /// A caller is about to send a request.
    Invoked(Invocation),
    /// A caller received one token of a streamed answer.
    TokenReceived(Token),
    /// A caller's request is over for the caller.
    Answered(Answer),
    /// A daemon is about to send a request to an engine.
    Dispatched(Dispatch),
    /// A line of an engine's run log, fetched at the end of the run.
    EngineRun {
        /// The engine.
        engine: EngineId,
        /// The line.
        run: RunLogEntry,
    },
    /// A line of an engine's order log, in the log's order.
    EngineOrder {
        /// The engine.
        engine: EngineId,
        /// The line.
        order: OrderLogEntry,
    },
    /// An engine's life began: at the start, or after a crash.
    EngineStarted {
        /// The engine.
        engine: EngineId,
        /// The life that began.
        incarnation: Incarnation,
    },
    /// An engine was told, or is ordered, to take no new work.
    EngineLeaving {
        /// The engine.
        engine: EngineId,
    },
    /// An engine may take work again.
    EngineReturned {
        /// The engine.
        engine: EngineId,
    },
    /// An operator or client is about to read or write a configuration object.
    ConfigProposed(ConfigProposal),
    /// The operation is over for the operator.
    ConfigAnswered(ConfigSettlement),
    /// A daemon put an object in force.
    ConfigObserved(ObservedObject),
    /// The store is about to answer again, from a copy.
    StoreReturned(StoreReturn),
    /// A daemon listens for callers.
    DaemonStarted {
        /// The daemon.
        daemon: DaemonId,
        /// The life that began.
        incarnation: Incarnation,
    },
    /// A planned stop of a daemon began.
    DaemonStopping {
        /// The daemon.
        daemon: DaemonId,
    },
    /// A daemon's process is gone, planned or not.
    DaemonStopped {
        /// The daemon.
        daemon: DaemonId,
    },
    /// The run is about to bring a fault about.
    FaultInjected {
        /// What the fault hits.
        target: FaultTarget,
        /// The fault.
        fault: Fault,
    },
    /// The run has ended a fault.
    FaultHealed {
        /// What the fault hit.
        target: FaultTarget,
        /// The fault.
        fault: Fault,
    },
}

impl Event {
    /// The request that the event is about, where it is about one.
    pub fn request_id(&self) -> Option<RequestId> {
        match self {
            Self::Invoked(invocation) => Some(invocation.request_id),
            Self::TokenReceived(token) => Some(token.request_id),
            Self::Answered(answer) => Some(answer.request_id),
            Self::Dispatched(dispatch) => Some(dispatch.request_id),
            Self::EngineRun { run, .. } => Some(run.request_id),
            _ => None,
        }
    }
}

/// An event and when it happened.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TimedEvent {
    /// Microseconds since the Unix epoch.
    pub at_us: u64,
    /// What happened.
    pub event: Event,
}

/// The present time in microseconds since the Unix epoch; 0 where the clock stands before it.
pub fn now_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since_epoch| since_epoch.as_micros() as u64)
}
