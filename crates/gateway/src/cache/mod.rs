//! What stores of cached prompt work are known to keep.
//!
//! Copying a prompt to a store takes its link for tens of milliseconds. Without knowledge of what is there,
//! every request would copy all of its parts again, and the link would have no room for those who need
//! something from it.
//!
//! In each group of daemons one, its leader, follows the events of the stores and tells the others of them
//! ([`crate::peers`]): were each to follow them itself, the same events would cross zones once for every daemon.

mod follow;
mod holders;
mod kept;

pub use follow::{configured_stores, run};
pub use holders::{Prefix, PrefixKey, PromptHolders, prefixes};
pub use kept::{CacheUpdate, CachedPartChange, CachedParts, StoreContents};
