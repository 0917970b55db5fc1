//! Weights that may have been named although nobody heard of it.
//!
//! The store keeps only the last write of the object that names a model's weights. A write whose answer was lost may take
//! effect after a later one; where nobody watches just then, the version in between is never seen. Three things give
//! it away. The object has the version that is known, at a later position: a write that changes nothing raises no
//! revision, so something else stood there in between. Or a list shows another write that was made while nobody watched, which
//! may have been made over a later naming. Or the entry of a replica shows a version above all that are known: a new replica
//! has the newest.
//!
//! None of these proves it: somebody may have written another part of the object, and an entry may be wrong. To take such a version
//! for named would put all replicas out of use that can't load it. So it is only suspected, and one replica is
//! ordered to load it: a replica refuses versions that were not named.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use driftspring_clock::Instant;

use crate::protocol::ModelVersion;
use crate::store::{StoreEra, StorePosition};
use crate::weights::Since;

/// How long entries show a version before it is suspected: within 1.4 s a daemon that reads the store knows of a naming
/// itself, see [`crate::store::KnownNamings`].
const SUSPICION_DELAY: Duration = Duration::from_millis(1500);

/// How long a version is not tried after a replica has refused it; each further time twice as long. A writer of
/// another part of the object that goes on, or an entry that is wrong, costs an order a minute.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// The longest such pause.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(60);

/// Refusals after which a version is suspected no more, until something new speaks for it. One refusal does not settle it: a
/// replica may hear of a naming after the store has taken it, as may the operator; these three cover 6 s.
const MAX_REFUSALS: u32 = 3;

/// Versions of a model of which it is remembered that they were refused. Only broken entries name that many.
const MAX_REFUSED_VERSIONS: usize = 8;

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
struct ModelState {
    stored: Option<ObservedObject>,
    known_version: Option<KnownVersion>,
    shown: Option<ShownVersion>,
    suspicion: Option<Suspicion>,
    /// Each version has its own pause, so that an entry which is wrong for long does not keep one from being tried that
    /// was written over.
    refused: BTreeMap<u64, Refusals>,
}

/// What is remembered of a version that was refused.
#[derive(Debug, Clone, Copy)]
struct Refusals {
    count: u32,
    retry_at: Instant,
}

/// The object as it was last read from the store.
#[derive(Debug, Clone, Copy)]
struct ObservedObject {
    version: u64,
    position: StorePosition,
}

/// When this daemon heard of the newest version that it knows.
#[derive(Debug, Clone, Copy)]
struct KnownVersion {
    version: u64,
    at: Instant,
    era: StoreEra,
}

/// A version above all that are known, which entries of replicas show.
#[derive(Debug, Clone, Copy)]
struct ShownVersion {
    version: u64,
    since: Instant,
}

/// Versions that may have been named although nobody heard of it.
#[derive(Debug, Default)]
pub struct SuspectedWeights {
    by_model: HashMap<String, ModelState>,
}

impl SuspectedWeights {
    /// Takes in that a version, the newest that is known now, was heard of at `at`, in this era of the store.
    pub fn note_known(&mut self, weights: &ModelVersion, at: Instant, era: StoreEra) {
        let version = weights.version;
        let known = self.by_model.entry(weights.model.clone()).or_default();
        known.known_version = Some(KnownVersion { version, at, era });
        let is_settled = |suspicion: &Suspicion| suspicion.weights.version <= version;
        known.suspicion.take_if(|suspicion| is_settled(suspicion));
        known.refused.clear();
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
        let stored = ObservedObject { version, position };
        let is_older = |known: &ObservedObject| position.is_before_in_era(known.position);
        if known.stored.as_ref().is_some_and(is_older) {
            return false;
        }
        let before = known.stored.replace(stored);
        let same = before
            .filter(|before| before.version == version && before.position.era == position.era);
        if let Some(before) = same {
            return before.position < position;
        }
        known.was_known_by(version, position.era, not_before)
    }

    /// Whether a list that shows the object of a model so may hide a later naming. It shows the last write only, so one that was
    /// made while nobody watched may have been made over another one: `newest` is what was known before the list, and the
    /// other arguments are those of [`Self::note_stored`], which is told after this.
    pub fn may_hide_naming(
        &self,
        listed: &ModelVersion,
        newest: Option<u64>,
        position: StorePosition,
        not_before: Option<Instant>,
    ) -> bool {
        let (Some(newest), Some(known)) = (newest, self.by_model.get(&listed.model)) else {
            return false;
        };
        if listed.version >= newest {
            return listed.version > newest;
        }
        let stored = known
            .stored
            .filter(|stored| stored.position.era == position.era);
        match stored {
            Some(stored) if stored.position >= position => false,
            Some(stored) if stored.version == newest => true,
            _ => known.was_known_by(newest, position.era, not_before),
        }
    }

    /// Takes in which versions above those known entries of replicas show, of each model the lowest; returns those that
    /// have been shown for long.
    pub fn note_shown(&mut self, shown: &HashMap<String, u64>, now: Instant) -> Vec<ModelVersion> {
        for (model, known) in &mut self.by_model {
            if !shown.contains_key(model) {
                known.shown = None;
            }
        }
        let mut shown_long_enough = Vec::new();
        for (model, version) in shown {
            let known = self.by_model.entry(model.clone()).or_default();
            let same = known.shown.filter(|known| known.version == *version);
            let (version, since) = (*version, same.map_or(now, |same| same.since));
            known.shown = Some(ShownVersion { version, since });
            if now.saturating_duration_since(since) >= SUSPICION_DELAY {
                let model = model.clone();
                shown_long_enough.push(ModelVersion { model, version });
            }
        }
        shown_long_enough
    }

    /// Takes in a version that may have been named; true where it was not suspected before. Of several the lowest is tried first.
    pub fn suspect(&mut self, suspicion: Suspicion) -> bool {
        let known = self
            .by_model
            .entry(suspicion.weights.model.clone())
            .or_default();
        let is_new = known
            .suspicion
            .as_ref()
            .is_none_or(|known| suspicion.weights.version < known.weights.version);
        if is_new {
            known.suspicion = Some(suspicion);
        }
        is_new
    }

    /// Takes in that a replica refused a version, as one that was not named.
    pub fn note_refused(&mut self, weights: &ModelVersion, now: Instant) {
        let Some(known) = self.by_model.get_mut(&weights.model) else {
            return;
        };
        let is_refused = |suspicion: &mut Suspicion| suspicion.weights.version == weights.version;
        if !known.suspicion.as_mut().is_some_and(is_refused) {
            return;
        }
        if known.note_refusal(weights.version, now) >= MAX_REFUSALS {
            known.suspicion = None;
        }
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
        let suspicions = self.by_model.values();
        let due = suspicions.filter_map(|known| known.due_suspicion(now));
        due.cloned().collect()
    }
}

impl ModelState {
    /// Whether this version was heard of by `moment`, in this era of the store.
    fn was_known_by(&self, version: u64, era: StoreEra, moment: Option<Instant>) -> bool {
        let known_version = self
            .known_version
            .filter(|known_version| known_version.version == version && known_version.era == era);
        known_version
            .zip(moment)
            .is_some_and(|(known_version, moment)| known_version.at <= moment)
    }

    /// Takes in that a version was refused; how often it was.
    fn note_refusal(&mut self, version: u64, now: Instant) -> u32 {
        let count = self.refused.get(&version).map_or(0, |known| known.count);
        let pause = REFUSAL_BACKOFF.saturating_mul(1 << count.min(8));
        let refused = Refusals {
            count: count + 1,
            retry_at: now + pause.min(MAX_REFUSAL_BACKOFF),
        };
        self.refused.insert(version, refused);
        if self.refused.len() > MAX_REFUSED_VERSIONS {
            self.refused.pop_last();
        }
        refused.count
    }

    fn due_suspicion(&self, now: Instant) -> Option<&Suspicion> {
        let suspicion = self.suspicion.as_ref()?;
        let refused = self.refused.get(&suspicion.weights.version);
        let is_paused = refused.is_some_and(|refused| refused.retry_at > now);
        (!is_paused).then_some(suspicion)
    }
}
