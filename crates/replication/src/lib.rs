//! Replicated configuration objects: revisions only rise, anti-entropy between daemons.
//!
//! A [`Replica`] holds the newest known record of each object and the revision up to which it holds
//! everything ([`Replica::complete_to`]). It learns from lists and watches of the object store, from
//! other daemons ([`Notice`], [`PullRequest`], [`Delta`]) and from this daemon's own accepted writes.
//! Nothing here performs input or output.

mod gaps;
mod message;
mod pull;
mod replica;
mod watch;

pub use gaps::ListGap;
pub use message::{Delta, Notice, PullRequest};
pub use pull::{PullProgress, PullSession};
pub use replica::{Change, MergeRule, Replica};
pub use watch::WatchCursor;
