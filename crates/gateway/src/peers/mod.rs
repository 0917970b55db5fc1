//! How gateways synchronize with each other, so that few of them read the store.
//!
//! In each group of gateways the first in rank reads the store: it is the group's *reader*. The others query it twice a
//! second for what is in force, for the age of its proof of that, and for what has changed. A gateway whose source
//! doesn't answer or has no recent view queries the next in rank, and reads the store itself once nobody is left ahead
//! of it. No election takes place, and a gateway that the store refuses is served by the others.
//!
//! The age of a relayed proof is counted from the moment at which the query was *sent*: time in a queue or in a
//! suspended process can only make the proof look older than it is.
//!
//! - [`message`]: the datagrams.
//! - [`change_log`]: replicas and gateways in the order of their changes, so that only changes are sent.
//! - [`packed`]: the compact form of replicas in a page of changes; [`bit_rows`]: the packing of its rows;
//!   [`packed_pages`]: a cache of packed pages.
//! - [`followed_log`]: a gateway's position in the change log of its source.
//! - [`directory`]: the known gateways by rank; [`relays`]: the receivers in other groups.
//! - [`spread`]: forwards reports from member to member.
//! - `socket`: the socket, which keeps deployments apart.
//! - [`source`]: chooses the gateway to query.
//! - [`view`]: how recent the known state is.
//! - [`known`]: the state shared by the tasks of this module.
//! - [`prompt_relay`]: reports dispatched prompts between groups.
//! - [`cached`]: the contents of prompt-cache stores.
//! - `configuration`: transfers the configuration from another gateway if the store has lost it, and asks others at the
//!   start which version they hold; [`configuration_message`]: its datagrams; [`configuration_pieces`]: assembles the
//!   document.
//! - `notices`: limits and leave notices of replicas; `permits`: permits to send to replicas with limits;
//!   `notice_message`: their datagrams.
//! - `streams`: software versions of streams that may be resumed; `stream_message`: their datagrams.
//! - `forwarding`: offers to forward requests; `forward_message`: their datagrams.
//! - `records`: requests that terminate replicas; `quarantine_message`: its datagrams.
//! - [`task`]: starts all tasks: `ask` queries the source, `answer` replies to others, `news` sends changes unasked.

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
mod forward_message;
mod forwarding;
pub mod known;
pub mod message;
mod news;
mod notice_message;
mod notices;
pub mod packed;
pub mod packed_pages;
mod permits;
mod prompt_message;
pub mod prompt_relay;
mod quarantine_message;
mod records;
pub mod relays;
mod send;
mod shares;
mod socket;
pub mod source;
pub mod spread;
mod stream_message;
mod streams;
mod task;
mod usage;
pub mod view;

pub use configuration::limit_confirmation_wait;
pub(crate) use convert::to_ms;
pub use known::Peers;
pub use task::run;
