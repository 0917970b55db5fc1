//! What daemons tell each other, so that few of them read the store.
//!
//! In each group of daemons the one of the lowest rank reads the store: it is the group's *reader*. The
//! others ask it twice a second what is in force, how old its proof of that is, and what has changed. A
//! daemon whose source is silent or knows nothing recent asks the next in rank, and reads the store itself
//! once no other is left before it. So nobody is elected, and a daemon that the store refuses is served by
//! the others.
//!
//! A proof passed on is counted from the moment at which the question was *sent*: a datagram that lay in
//! a queue, or a process that was frozen, can only make it look older than it is.
//!
//! - [`message`]: the datagrams.
//! - [`change_log`]: replicas and daemons in the order in which they changed, so that only news are sent.
//! - [`packed`]: replicas as they fill a page of changes; [`bit_rows`]: how their rows are packed;
//!   [`packed_pages`]: pages for all who ask.
//! - [`followed_log`]: where a daemon stands in the log of the one that it asks.
//! - [`directory`]: the daemons known, by rank; [`relays`]: whom to send to in other groups.
//! - [`spread`]: passes reports on from member to member.
//! - [`source`]: whom to ask.
//! - [`view`]: how recent all that is.
//! - [`known`]: what is known through peers.
//! - [`far`]: which prompts other groups sent where.
//! - [`cached`]: what stores of cached prompt work keep.
//! - `configuration`: takes the configuration from another daemon where the store has lost it, and asks others at the start
//!   which version they hold; [`configuration_message`]: its datagrams; [`configuration_pieces`]: puts it together.
//! - `notices`: what replicas say of themselves; `permits`: permits to send to those with limits; `notice_message`: their datagrams.
//! - `records`: requests that end replicas; `quarantine_message`: its datagrams.
//! - [`task`]: does it all for ever: `ask` asks the source, `answer` answers others, `news` tells unasked.

mod answer;
mod ask;
pub mod bit_rows;
pub mod cached;
pub mod change_log;
mod configuration;
pub mod configuration_message;
pub mod configuration_pieces;
mod convert;
pub mod directory;
pub mod followed_log;
pub mod known;
pub mod message;
mod news;
mod notice_message;
mod notices;
pub mod packed;
pub mod packed_pages;
mod permits;
pub mod prompt_relay;
mod quarantine_message;
mod records;
pub mod relays;
mod send;
pub mod source;
pub mod spread;
mod task;
mod usage;
pub mod view;

pub use configuration::limit_confirmation_wait;
pub(crate) use convert::to_ms;
pub use known::Peers;
pub use task::run;
