//! Weights that may have been named although nobody heard of it.
//!
//! The store keeps only the last write of the object that names a model's weights. A write whose answer was lost may take
//! effect after a later one; where nobody watches just then, the version in between is never seen. Two things give
//! it away. The object has the version that is known, at a later position: a write that changes nothing raises no
//! revision, so something else stood there in between. Or the entry of a replica shows a version above all that are known: a new
//! replica has the newest.
//!
//! Neither proves it: somebody may have written another part of the object, and an entry may be wrong. To take such a version
//! for named would put all replicas out of use that can't load it. So it is only suspected, and one replica is
//! ordered to load it: a replica refuses versions that were not named.

use std::collections::HashMap;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::protocol::ModelVersion;
use crate::store::{StoreEra, StorePosition};
use crate::weights::Since;

/// How long entries show a version before it is suspected: within 1.4 s a daemon that reads the store knows of a naming
/// itself, see [`crate::store::KnownNamings`].
const SHOWN_FOR: Duration = Duration::from_millis(1500);

/// How long no version of a model is tried after a replica has refused one; each further time twice as long. Whoever writes
/// another part of the object again and again, or an entry that is wrong, costs an order a minute.
const PAUSE_AFTER_REFUSAL: Duration = Duration::from_secs(2);

/// The longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_secs(60);

/// A version that may have been named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The version.
    pub weights: ModelVersion,
    /// Since when it counts if it was named: the earliest moment at which that can have been.
    pub since: Since,
}

/// What is known of one model.
#[derive(Debug, Default)]
struct OfModel {
    stored: Option<Stored>,
    heard: Option<Heard>,
    shown: Option<Shown>,
    suspicion: Option<Suspicion>,
    refusals_in_row: u32,
    paused_until: Option<Instant>,
}

/// The object as it was last read from the store.
#[derive(Debug, Clone, Copy)]
struct Stored {
    version: u64,
    position: StorePosition,
}

/// When this daemon heard of the newest version that it knows.
#[derive(Debug, Clone, Copy)]
struct Heard {
    version: u64,
    at: Instant,
    era: StoreEra,
}

/// A version above all that are known, which entries of replicas show.
#[derive(Debug, Clone, Copy)]
struct Shown {
    version: u64,
    since: Instant,
}

/// Versions that may have been named although nobody heard of it.
#[derive(Debug, Default)]
pub struct SuspectedWeights {
    by_model: HashMap<String, OfModel>,
}

impl SuspectedWeights {
    /// Takes in that a version, the newest that is known now, was heard of at `at`, in this era of the store.
    pub fn note_heard(&mut self, weights: &ModelVersion, at: Instant, era: StoreEra) {
        let version = weights.version;
        let known = self.by_model.entry(weights.model.clone()).or_default();
        known.heard = Some(Heard { version, at, era });
        let is_settled = |suspicion: &Suspicion| suspicion.weights.version <= version;
        known.suspicion.take_if(|suspicion| is_settled(suspicion));
        known.refusals_in_row = 0;
        known.paused_until = None;
    }

    /// Takes in the object of a model as it was read from the store, which had not reached its position at `not_before`, as
    /// far as that is known. True where the same version was known before the object was written: something else was
    /// written in between.
    pub fn note_stored(
        &mut self,
        weights: &ModelVersion,
        position: StorePosition,
        not_before: Option<Instant>,
    ) -> bool {
        let version = weights.version;
        let known = self.by_model.entry(weights.model.clone()).or_default();
        let stored = Stored { version, position };
        let is_older = |known: &Stored| position.is_before_in_era(known.position);
        if known.stored.as_ref().is_some_and(is_older) {
            return false;
        }
        let before = known.stored.replace(stored);
        let same = before
            .filter(|before| before.version == version && before.position.era == position.era);
        if let Some(before) = same {
            return before.position < position;
        }
        let heard = known
            .heard
            .filter(|heard| heard.version == version && heard.era == position.era);
        heard
            .zip(not_before)
            .is_some_and(|(heard, not_before)| heard.at <= not_before)
    }

    /// Takes in which versions above those known entries of replicas show, of each model the lowest; returns those that
    /// have been shown for long.
    pub fn note_shown(&mut self, shown: &HashMap<String, u64>, now: Instant) -> Vec<ModelVersion> {
        for (model, known) in &mut self.by_model {
            if !shown.contains_key(model) {
                known.shown = None;
            }
        }
        let mut long = Vec::new();
        for (model, version) in shown {
            let known = self.by_model.entry(model.clone()).or_default();
            let same = known.shown.filter(|known| known.version == *version);
            let (version, since) = (*version, same.map_or(now, |same| same.since));
            known.shown = Some(Shown { version, since });
            if now.saturating_duration_since(since) >= SHOWN_FOR {
                let model = model.clone();
                long.push(ModelVersion { model, version });
            }
        }
        long
    }

    /// Takes in a version that may have been named; true where it was not suspected before. Of several the lowest is tried first.
    pub fn suspect(&mut self, suspicion: Suspicion) -> bool {
        let known = self
            .by_model
            .entry(suspicion.weights.model.clone())
            .or_default();
        let is_news = known
            .suspicion
            .as_ref()
            .is_none_or(|known| suspicion.weights.version < known.weights.version);
        if is_news {
            known.suspicion = Some(suspicion);
        }
        is_news
    }

    /// Takes in that a replica refused a version, as one that was not named.
    pub fn note_refused(&mut self, weights: &ModelVersion, now: Instant) {
        let Some(known) = self.by_model.get_mut(&weights.model) else {
            return;
        };
        let is_suspected = |suspicion: &mut Suspicion| suspicion.weights.version == weights.version;
        if known.suspicion.take_if(is_suspected).is_none() {
            return;
        }
        let pause = PAUSE_AFTER_REFUSAL.saturating_mul(1 << known.refusals_in_row.min(8));
        known.refusals_in_row += 1;
        known.paused_until = Some(now + pause.min(LONGEST_PAUSE));
    }

    /// Since when this version counts if it was named; nothing where it is not suspected.
    pub fn since(&self, weights: &ModelVersion) -> Option<Since> {
        let suspicion = self.by_model.get(&weights.model)?.suspicion.as_ref()?;
        (suspicion.weights == *weights).then_some(suspicion.since)
    }

    /// All versions that are suspected.
    pub fn all(&self) -> impl Iterator<Item = &Suspicion> {
        self.by_model
            .values()
            .filter_map(|known| known.suspicion.as_ref())
    }

    /// The versions that may be tried at `now`.
    pub fn due(&self, now: Instant) -> Vec<Suspicion> {
        let may_be_tried = |known: &&OfModel| {
            known
                .paused_until
                .is_none_or(|paused_until| paused_until <= now)
        };
        let due = self.by_model.values().filter(may_be_tried);
        due.filter_map(|known| known.suspicion.clone()).collect()
    }
}
