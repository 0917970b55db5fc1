//! Calls to the object store and the tasks that follow it.

mod client;
mod configuration_reader;
pub mod copied_entries;
mod era;
mod follow;
mod follow_weights;
mod join;
mod known_namings;
mod outage;
pub mod own_entry;
mod parse;
mod position;
mod progress;
mod quarantine;
mod rejections;
mod software_versions;

pub use client::{CALL_TIMEOUT, StoreError, list_all, list_recent, watch, write};
pub use era::{
    AnswerEra, EraVerdict, LOWER_ERA_REJECTION_WINDOW, StoreEraTracker, adopt_peer_era, judge_era,
};
pub use follow::apply_handed_on_configuration;
pub use follow_weights::{
    initial_weights_age, note_shown_weights, record_wanted_weights, suspect_weights,
};
pub use join::register_gateway;
pub use known_namings::KnownNamings;
pub use outage::{StoreOutage, backoff_after, backoff_after_call};
pub(crate) use parse::parse;
pub use position::{StoreEra, StorePosition};
pub use progress::StoreProgress;
pub use quarantine::{QuarantineObject, delete_quarantined, list_quarantined};
pub use rejections::{Rejected, Rejections};

use std::rc::Rc;

use crate::protocol::ObjectKind;
use crate::state::GatewayState;

/// Starts the tasks that follow the store, on the current thread.
pub fn spawn_all(state: &Rc<GatewayState>) {
    ntex::rt::spawn(configuration_reader::run(Rc::clone(state)));
    ntex::rt::spawn(quarantine::run(Rc::clone(state)));
    ntex::rt::spawn(own_entry::run(Rc::clone(state)));
    ntex::rt::spawn(software_versions::serve_reads(Rc::clone(state)));
    ntex::rt::spawn(software_versions::write_records(Rc::clone(state)));
    let followed = [
        ObjectKind::Configuration,
        ObjectKind::Replicas,
        ObjectKind::Weights,
        ObjectKind::Leases,
        ObjectKind::Daemons,
        ObjectKind::Quarantine,
    ];
    for kind in followed {
        ntex::rt::spawn(follow::run(Rc::clone(state), kind));
    }
}
