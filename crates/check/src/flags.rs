//! The flags of `driftspring-check`.
#![allow(missing_docs)] // `xflags` writes the items.

use std::path::PathBuf;

xflags::xflags! {
    /// Checks recorded histories and says which promise broke, at which event.
    cmd driftspring-check {
        /// Recordings (JSON lines); several are merged into one history.
        repeated file: PathBuf
        /// Seconds during which a leaving engine may still get work (default 5).
        optional --leaving-seconds seconds: u64
        /// Seconds until an accepted change must be in force everywhere (default 10).
        optional --configuration-seconds seconds: u64
        /// Kept KV cache was off in the run: engines had cached only what they ran themselves.
        optional --no-kept-cache
        /// Also print the events around each violation.
        optional --context
    }
}
