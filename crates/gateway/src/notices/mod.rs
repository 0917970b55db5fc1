//! What replicas say of themselves in the heads of their answers.
//!
//! A notice holds for one life of a replica. It is evidence beside the replica's entry in the store, which may lag or be out of
//! reach, and beside its health, which is what this daemon observes.
//!
//! - [`limit`]: how many requests a second a replica takes.
//! - [`replica_notices`]: all that one life has said.
//! - `take`: takes the notices of an answer in.

pub mod limit;
pub mod replica_notices;
mod take;

pub use limit::LimitNotice;
pub use replica_notices::ReplicaNotices;
pub use take::note_answer;
