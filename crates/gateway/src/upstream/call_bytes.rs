//! Limits what the answers to all calls hold together while they are read.
//!
//! Each has a limit of its own, which is meant for the largest document; one server whose answers have no end may be asked by
//! many tasks at once.

use std::cell::Cell;

/// Limit of what is held of the answers to all calls of a thread, in bytes.
const MAX_HELD_BYTES: usize = 24 * 1024 * 1024;

/// How much each answer may hold whatever the others do, in bytes.
const MIN_OWN_BYTES: usize = 1024 * 1024;

thread_local! {
    /// What is held of all answers that are being read on this thread.
    static HELD: Cell<usize> = const { Cell::new(0) };
}

/// What is held of one answer.
#[derive(Debug, Default)]
pub struct CallBytes {
    own: usize,
}

impl CallBytes {
    /// Holds this many bytes more. Returns false if there is no room for them.
    pub fn add(&mut self, bytes: usize) -> bool {
        let held = HELD.get();
        if self.own + bytes > MIN_OWN_BYTES && held + bytes > MAX_HELD_BYTES {
            return false;
        }
        HELD.set(held + bytes);
        self.own += bytes;
        true
    }
}

impl Drop for CallBytes {
    fn drop(&mut self) {
        HELD.set(HELD.get().saturating_sub(self.own));
    }
}
