//! The history checker: says which promise a recorded run broke, and at which event.
//!
//! One module per promise, each a pure function from a [`driftspring_history::History`] to the first
//! [`Violation`]. A checker judges only what the history holds: a promise about engine runs needs the
//! engines' run logs in it. See `docs/GUARANTEES.md` for what each promise means.

pub mod at_most_once;
pub mod cache_reliance;
pub mod configuration;
pub mod daemon_lives;
mod eras;
pub mod fencing;
pub mod leaving;
pub mod not_run;
pub mod own_answer;
pub mod planned_stop;
pub mod register;
pub mod requests;
pub mod restart;
pub mod settings;
pub mod streams;
pub mod violation;

use driftspring_history::History;

pub use settings::CheckSettings;
pub use violation::{Promise, Violation};

/// Checks one promise.
pub fn check(
    promise: Promise,
    history: &History,
    settings: &CheckSettings,
) -> Result<(), Violation> {
    match promise {
        Promise::CacheReliance => cache_reliance::check(history, settings),
        Promise::Streams => streams::check(history, settings),
        Promise::Restart => restart::check(history),
        Promise::OwnAnswer => own_answer::check(history),
        Promise::NotRun => not_run::check(history),
        Promise::AtMostOnce => at_most_once::check(history),
        Promise::Leaving => leaving::check(history, settings),
        Promise::PlannedStop => planned_stop::check(history),
        Promise::Configuration => configuration::check(history, settings),
        Promise::Fencing => fencing::check(history),
    }
}

/// Checks every promise; returns the first violation of each promise that was broken.
pub fn check_all(history: &History, settings: &CheckSettings) -> Vec<Violation> {
    Promise::ALL
        .into_iter()
        .filter_map(|promise| check(promise, history, settings).err())
        .collect()
}
