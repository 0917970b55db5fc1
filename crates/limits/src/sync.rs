//! The atomics of counters and breakers: those of `loom` when its model checker runs.

#[cfg(loom)]
pub(crate) use loom::sync::atomic::{AtomicU32, AtomicU64, Ordering};
#[cfg(not(loom))]
pub(crate) use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
