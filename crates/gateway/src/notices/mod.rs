//! What replicas say of themselves in the heads of their answers.
//!
//! A notice holds for one life of a replica. It is evidence beside the replica's entry in the store, which may lag or be out of
//! reach, and beside its health, which is what this daemon observes.
//!
//! - [`limit`]: how many requests a second a replica takes.
//! - [`replica_notices`]: all that one life has said.
//! - [`news`]: what other daemons are to be told.
//! - [`survey`]: which replicas have said something.
//! - `take`: takes the notices of an answer in.

pub mod limit;
pub mod news;
pub mod replica_notices;
pub mod survey;
mod take;

pub use limit::LimitNotice;
pub use news::NoticeNews;
pub use replica_notices::{Pause, PauseCause, ReplicaNotices, Rest};
pub use survey::NoticeSurvey;
pub use take::{Teller, note_answer, note_leaving, note_limit};
