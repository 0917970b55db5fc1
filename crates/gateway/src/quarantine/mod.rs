//! Requests that end the replicas that run them.
//!
//! A request that crashes its replica takes all with it that the replica ran, comes again, and is sent to the next one. So what it
//! did outlives its try and its daemon: each end of a replica counts against the requests that were open there, and one
//! against which three count is sent no more, by any daemon.
//!
//! - [`fingerprint`]: what makes two tries the same request.
//! - [`lost_answers`]: whether a replica has ended, or only broke off an answer.
//! - [`record`]: what is known of one request.
//! - [`ledger`]: what is known of all; the decision.
//! - `incarnations`: which life an end is of, where it is told under the name of an earlier one.
//! - `evidence`: what ends prove against a request.
//! - [`isolated_trials`]: when one is tried apart from those that were open at the same ends.
//! - [`homes`]: which daemons count for a request.
//! - [`shared`]: the records of this daemon, and what it has to tell.
//!
//! How daemons tell each other lies in [`crate::peers`], how the store keeps it in [`crate::store`].

mod by_crash;
mod evidence;
pub mod fingerprint;
pub mod homes;
mod incarnations;
pub mod isolated_trials;
pub mod ledger;
pub mod lost_answers;
pub mod record;
pub mod shared;
pub mod stored_state;

pub use fingerprint::Fingerprint;
pub use homes::{WRITE_TURN, home_rank, homes, is_first_home, is_write_turn, role};
pub use ledger::{Role, Verdict};
pub use lost_answers::note_lost_answer;
pub use record::{Record, Stored, Strike};
pub use shared::{Quarantine, RecordSource, Removal};
