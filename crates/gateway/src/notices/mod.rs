//! Notices: what replicas report about themselves in the headers of their answers.
//!
//! A notice holds for one incarnation of a replica. It complements the entry of the replica in the store, which
//! may lag or be unreachable, and its health, which is what this gateway observes.
//!
//! - [`brittle`]: replicas that crash if they have to refuse many requests.
//! - [`limit`]: the request rate that a replica accepts.
//! - [`replica_notices`]: everything that one incarnation has reported.
//! - [`changed_notices`]: the changes of which other gateways are to be informed.
//! - [`survey`]: the replicas that have reported something.
//! - `record`: records the notices of an answer.

pub mod brittle;
pub mod changed_notices;
pub mod limit;
mod record;
pub mod replica_notices;
pub mod survey;

pub use brittle::{BrittleServices, WindowStart};
pub use changed_notices::ChangedNotices;
pub use limit::LimitNotice;
pub use record::{
    NoticeSource, record_answer, record_brittle, record_leaving, record_limit, record_refusal,
    window_start,
};
pub use replica_notices::{Cooldown, Pause, PauseCause, ReplicaNotices};
pub use survey::NoticeSurvey;
