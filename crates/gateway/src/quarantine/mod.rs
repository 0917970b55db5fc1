//! Requests that end the replicas that run them.
//!
//! - [`fingerprint`]: what makes two tries the same request.
//! - [`ends`]: whether a replica has ended, or only broke off an answer.

pub mod ends;
pub mod fingerprint;

pub use ends::{Losses, note_loss};
pub use fingerprint::Fingerprint;
