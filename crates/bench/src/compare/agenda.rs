//! What will happen in virtual time.

use std::cmp::Ordering;
use std::collections::BinaryHeap;
use std::rc::Rc;

use driftspring_directory::CacheEvent;
use driftspring_engine_model::ModelTime;

use super::daemon::EngineReport;

/// Something that happens. Requests, engines and daemons are named by their positions.
#[derive(Debug)]
pub enum Happening {
    /// A request reaches its daemon.
    Arrival(usize),
    /// A request reaches its engine.
    Submit(usize),
    /// An engine's step ends.
    Wake(usize),
    /// A request's first token reaches the daemon.
    FirstToken(usize, EngineReport),
    /// The daemon learns that the engine's queue was full.
    Refused(usize),
    /// The daemon learns that the engine is gone.
    Failed(usize),
    /// The daemon learns that an answer is complete.
    Ended(usize),
    /// A cache event reaches a daemon: daemon, engine, event.
    Events(usize, usize, Rc<CacheEvent>),
    /// Engines note their load.
    Sample,
    /// Engines report.
    Report,
    /// An engine crashes.
    Crash,
    /// A crashed engine comes back.
    Return(usize),
}

/// Happenings by time; those of the same time in the order of their addition.
#[derive(Debug, Default)]
pub struct Agenda {
    entries: BinaryHeap<Entry>,
    added: u64,
}

#[derive(Debug)]
struct Entry {
    at: ModelTime,
    number: u64,
    happening: Happening,
}

impl Agenda {
    /// Adds `happening` at `at`.
    pub fn add(&mut self, at: ModelTime, happening: Happening) {
        let number = self.added;
        self.added += 1;
        self.entries.push(Entry {
            at,
            number,
            happening,
        });
    }

    /// Takes out the next one.
    pub fn take_next(&mut self) -> Option<(ModelTime, Happening)> {
        let entry = self.entries.pop()?;
        Some((entry.at, entry.happening))
    }
}

impl Entry {
    fn key(&self) -> (ModelTime, u64) {
        (self.at, self.number)
    }
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    /// The earliest is the greatest, as the heap gives the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        other.key().cmp(&self.key())
    }
}
