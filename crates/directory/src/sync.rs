//! The atomics of this crate, named once so that the model checker can put its own in their place.

pub use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
