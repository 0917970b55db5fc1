//! The platform's object store: versions, compare-and-swap writes, lists and watches.
//!
//! Every write carries a `write_id` and the revision that it replaces, by which a writer whose answer was
//! lost finds out what became of it ([`ObjectStore::write_settled`]). A deletion is written as a marker, so
//! that it has a revision and shows in lists.

mod client;
mod messages;
mod watch;
mod write;

pub use client::ObjectStore;
pub use messages::{CurrentObject, ObjectList, StoredObject};
pub use watch::{WatchItem, WatchStream};
pub use write::{ConditionalWrite, SettledWrite, WriteBody, WriteId, WriteOutcome};
