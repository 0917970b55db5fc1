//! What others say that can't be read: counted each time, logged once each.

use std::cell::RefCell;
use std::collections::HashSet;
use std::fmt;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use xxhash_rust::xxh3::xxh3_64;

use crate::metrics::{GatewayMetrics, RejectedLabels};
use crate::protocol::{ObjectKind, Unreadable};

/// Objects with their reasons that are remembered as logged, 8 bytes each; further ones are only counted.
const MAX_LOGGED: usize = 4096;

/// Bytes of a name or a cause that are logged: another writer may choose both.
const MAX_LOGGED_BYTES: usize = 200;

/// What can't be read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Rejected {
    /// An object of the store.
    Object(ObjectKind),
    /// A replica's report of itself.
    Report,
    /// What a store of cached prompt work says that it keeps.
    CachePage,
    /// The era that an answer of the store names, or does not name.
    StoreEra,
    /// A configuration that another daemon handed on.
    HandedConfiguration,
    /// What a replica says of itself in the head of an answer.
    AnswerHead,
    /// What another daemon, or somebody else, sent here.
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

/// What was logged.
#[derive(Debug, Default)]
pub struct Rejections {
    logged: RefCell<HashSet<u64>>,
}

impl Rejections {
    /// Takes in that what goes by this name can't be read.
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

/// The first bytes of a text, whole characters only.
fn truncated(text: &str) -> &str {
    &text[..text.floor_char_boundary(MAX_LOGGED_BYTES)]
}
