//! Invalid input from others: each occurrence is counted, but each kind of error per object is logged only once.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use xxhash_rust::xxh3::xxh3_64;

use crate::metrics::{GatewayMetrics, RejectedLabels};
use crate::protocol::{ObjectKind, Unreadable};

/// Maximum number of logged errors that are remembered, 8 bytes each; further ones are only counted.
const MAX_LOGGED: usize = 4096;

/// Maximum number of bytes of a name or an error that are logged, since another writer may choose both.
const MAX_LOGGED_BYTES: usize = 200;

/// The source of invalid input.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// A store object of this kind.
    Object(ObjectKind),
    /// A replica's status report.
    Report,
    /// A page of the prompt cache of a replica or KV store.
    CachePage,
    /// The era of an answer of the store, also if it is missing.
    StoreEra,
    /// A configuration that another gateway handed on.
    HandedConfiguration,
    /// A notice in the headers of a replica's answer.
    AnswerHead,
    /// A datagram from another gateway or from an unknown sender.
    Datagram,
}

impl fmt::Display for Rejected {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Object(kind) => write!(formatter, "{kind:?}"),
            other => write!(formatter, "{other:?}"),
        }
    }
}

/// Counts invalid input and remembers which errors were logged.
#[derive(Debug, Default)]
pub struct Rejections {
    logged: RefCell<HashSet<u64>>,
}

impl Rejections {
    /// Counts an invalid input, and logs it if this error was not logged before for the same object.
    pub fn note(
        &self,
        kind: Rejected,
        name: &str,
        unreadable: &Unreadable,
        metrics: &GatewayMetrics,
    ) {
        let labels = RejectedLabels {
            kind: kind.to_string(),
            reason: unreadable.reason.to_string(),
        };
        metrics.rejected.get_or_create(&labels).inc();
        if self.is_first_occurrence(kind, name, unreadable) {
            log_event!(
                gateway::ENTRY_REJECTED,
                "kind={kind} object={:?} reason={} error={:?}",
                truncated(name),
                unreadable.reason,
                truncated(&unreadable.detail)
            );
        }
    }

    fn is_first_occurrence(&self, kind: Rejected, name: &str, unreadable: &Unreadable) -> bool {
        let mut logged = self.logged.borrow_mut();
        let digest = xxh3_64(format!("{kind}/{name}/{}", unreadable.reason).as_bytes());
        logged.len() < MAX_LOGGED && logged.insert(digest)
    }
}

/// Truncates a text to [`MAX_LOGGED_BYTES`] at a character boundary.
fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}
