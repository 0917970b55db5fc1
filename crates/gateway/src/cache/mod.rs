//! What stores of cached prompt work are known to keep.
//!
//! Copying a prompt to a store takes its link for tens of milliseconds. Without knowledge of what is there,
//! every request would copy all of its parts again, and the link would have no room for those who need
//! something from it.

mod follow;
mod holders;
mod kept;

pub use follow::run;
pub use holders::{Prefix, PrefixKey, PromptHolders, prefixes};
pub use kept::{CachedParts, KeptParts};
