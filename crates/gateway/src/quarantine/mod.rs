//! Quarantine of requests that crash the replicas that run them.
//!
//! When a request crashes its replica, everything else that ran there is lost too; the caller retries, and
//! the request is sent to the next replica. Its effects therefore have to be remembered across attempts and
//! gateways: each crash of a replica counts as a strike against the requests that were open there, and no
//! gateway sends a request that has three strikes.
//!
//! - [`fingerprint`]: identifies all attempts of one request.
//! - [`lost_answers`]: finds out whether a replica has crashed or only broke off an answer.
//! - [`record`]: what is known of one request.
//! - [`ledger`]: the records of all requests, and the decision.
//! - `incarnations`: attributes a crash reported under an earlier incarnation of its replica.
//! - `evidence`: what crashes prove against a request.
//! - [`isolated_trials`]: when a request is tried while those with the same crashes are held back.
//! - [`homes`]: which gateways count strikes for a request.
//! - [`shared`]: the records of this gateway, and what it has to announce.
//!
//! The exchange between gateways is in [`crate::peers`], storage in [`crate::store`].

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
