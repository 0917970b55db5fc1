//! Which changes a store that came back from a copy still holds.

use driftspring_history::{Event, History, StoreEra, StorePosition, StoreReturn};

/// A return of the store, with its place in the history.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Returned {
    /// The event's index.
    pub index: usize,
    /// When it was, in microseconds since the Unix epoch.
    pub at_us: u64,
    /// What came back.
    pub told: StoreReturn,
}

/// All returns of the store in a history, in the order of time.
#[derive(Debug)]
pub(crate) struct StoreReturns(Vec<Returned>);

impl StoreReturns {
    /// The returns that `history` tells.
    pub fn of(history: &History) -> Self {
        let returned = history.iter().filter_map(|(index, at_us, event)| {
            let Event::StoreReturned(told) = event else {
                return None;
            };
            let told = *told;
            Some(Returned { index, at_us, told })
        });
        Self(returned.collect())
    }

    /// All of them.
    pub fn iter(&self) -> impl Iterator<Item = &Returned> {
        self.0.iter()
    }

    /// The return with which `era` began, where the history tells it.
    pub fn beginning_of(&self, era: StoreEra) -> Option<&Returned> {
        self.iter().find(|returned| returned.told.era == era)
    }

    /// Whether the change that was made at `position` is part of what the store holds in `era`; nothing where the history
    /// does not tell from which copy.
    pub fn keeps(&self, position: StorePosition, era: StoreEra) -> Option<bool> {
        if position.era >= era {
            return Some(position.era == era);
        }
        let copy = self.beginning_of(era)?.told.copy;
        if copy.era >= era {
            return None;
        }
        // Revisions rise from change to change, also where an era began with a copy.
        match position.revision <= copy.revision {
            true => self.keeps(position, copy.era),
            false => Some(false),
        }
    }

    /// The first return after which the store surely lacks the change that was made at `position`.
    pub fn losing(&self, position: StorePosition) -> Option<&Returned> {
        self.iter().find(|returned| {
            let era = returned.told.era;
            position.era < era && self.keeps(position, era) == Some(false)
        })
    }
}
