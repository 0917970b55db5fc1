//! What the prompt-cache stores and the replicas are known to have cached.
//!
//! Copying a prompt to a store occupies the store's link for tens of milliseconds. If its contents were not known,
//! every request would copy all of its parts again and leave no room on the link for those who need to fetch something.
//!
//! In each group of gateways only the leader follows the events of the stores and passes them on to the members
//! ([`crate::peers`]). If each gateway followed them itself, the same events would cross zones once per gateway.

mod follow;
mod holders;
mod kept;

pub use follow::{configured_stores, run};
pub use holders::{Prefix, PrefixKey, PromptHolders, prefixes};
pub use kept::{CacheUpdate, CachedPartChange, CachedParts, StoreContents};
