//! What replicas say of themselves in the heads of their answers.
//!
//! A notice holds for one life of a replica. It is evidence beside the replica's entry in the store, which may lag or be out of
//! reach, and beside its health, which is what this daemon observes.
//!
//! - [`limit`]: how many requests a second a replica takes.
//! - [`replica_notices`]: all that one life has said.
//! - [`changed_notices`]: what other daemons are to be told.
//! - [`survey`]: which replicas have said something.
//! - `record`: takes the notices of an answer in.

pub mod changed_notices;
pub mod limit;
mod record;
pub mod replica_notices;
pub mod survey;

pub use changed_notices::ChangedNotices;
pub use limit::LimitNotice;
pub use record::{NoticeSource, record_answer, record_leaving, record_limit};
pub use replica_notices::{Cooldown, Pause, PauseCause, ReplicaNotices};
pub use survey::NoticeSurvey;
