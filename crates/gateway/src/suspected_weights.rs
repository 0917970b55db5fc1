//! Weights versions that may have been named without this gateway noticing.
//!
//! The store keeps only the last write of the object that names a model's weights. A write whose answer was
//! lost may take effect after a later one; if nobody watches at that moment, the version in between is never
//! seen. Three observations point to it. First, the object has the known version at a later position: a write
//! that changes nothing does not raise the revision, so something else must have been written in between.
//! Second, a list shows another write made while nobody watched, which may have replaced a later naming.
//! Third, the entry of a replica shows a version above all known ones: a new replica has the newest.
//!
//! None of these is proof: another part of the object may have been written, and an entry may be wrong.
//! Treating such a version as named would take all replicas that can't load it out of use. It is therefore
//! only suspected, and one replica is ordered to load it: a replica refuses versions that were not named.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use driftspring_clock::Instant;

use crate::protocol::ModelVersion;
use crate::store::{StoreEra, StorePosition};
use crate::weights::Since;

/// How long entries show a version before it is suspected: a gateway that reads the store learns of a naming
/// itself within 1.4 s, see [`crate::store::KnownNamings`].
const SUSPICION_DELAY: Duration = Duration::from_millis(1500);

/// How long a version is not tried after a replica refused it; the time doubles with each further refusal. If
/// a writer keeps changing another part of the object, or an entry stays wrong, that costs one order a
/// minute.
const REFUSAL_BACKOFF: Duration = Duration::from_secs(2);

/// The upper bound of that backoff.
const MAX_REFUSAL_BACKOFF: Duration = Duration::from_secs(60);

/// The number of refusals after which a version is no longer suspected, until there is new evidence. One
/// refusal is not enough: a replica, like the operator, may learn of a naming after the store has accepted
/// it. Three refusals cover 6 s.
const MAX_REFUSALS: u32 = 3;

/// The maximum number of refused versions remembered per model. Only broken entries show that many.
const MAX_REFUSED_VERSIONS: usize = 8;

/// A version that may have been named.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Suspicion {
    /// The model and the suspected version.
    pub weights: ModelVersion,
    /// When the version counts from if it was named: the earliest time at which that may have happened.
    pub since: Since,
}

/// What is known of one model.
#[derive(Debug, Default)]
struct ModelState {
    stored: Option<ObservedObject>,
    known_version: Option<KnownVersion>,
    shown: Option<ShownVersion>,
    suspicion: Option<Suspicion>,
    /// Each version has its own backoff, so that an entry that stays wrong does not delay the trial of a
    /// version that was overwritten.
    refused: BTreeMap<u64, Refusals>,
}

/// The refusals of one version.
#[derive(Debug, Clone, Copy)]
struct Refusals {
    count: u32,
    retry_at: Instant,
}

/// The object as last read from the store.
#[derive(Debug, Clone, Copy)]
struct ObservedObject {
    version: u64,
    position: StorePosition,
}

/// When this gateway learned of the newest version that it knows.
#[derive(Debug, Clone, Copy)]
struct KnownVersion {
    version: u64,
    at: Instant,
    era: StoreEra,
}

/// A version above all known ones, shown by entries of replicas.
#[derive(Debug, Clone, Copy)]
struct ShownVersion {
    version: u64,
    since: Instant,
}

/// Weights versions that may have been named without this gateway noticing.
#[derive(Debug, Default)]
pub struct SuspectedWeights {
    by_model: HashMap<String, ModelState>,
}

impl SuspectedWeights {
    /// Records that this gateway learned of a version, the newest known one, at `at`, in this era of the
    /// store.
    pub fn note_known(&mut self, weights: &ModelVersion, at: Instant, era: StoreEra) {
        let version = weights.version;
        let state = self.by_model.entry(weights.model.clone()).or_default();
        state.known_version = Some(KnownVersion { version, at, era });
        let is_settled = |suspicion: &Suspicion| suspicion.weights.version <= version;
        state.suspicion.take_if(|suspicion| is_settled(suspicion));
        state.refused.clear();
    }

    /// Records the object of a model as read from the store. The store had not reached its position at
    /// `not_before`, if that is known. Returns whether the same version was known before the object was
    /// written, so that something else was written in between.
    pub fn note_stored(
        &mut self,
        weights: &ModelVersion,
        position: StorePosition,
        not_before: Option<Instant>,
    ) -> bool {
        let version = weights.version;
        let state = self.by_model.entry(weights.model.clone()).or_default();
        let stored = ObservedObject { version, position };
        let is_older = |known: &ObservedObject| position.is_before_in_era(known.position);
        if state.stored.as_ref().is_some_and(is_older) {
            return false;
        }
        let before = state.stored.replace(stored);
        let same = before
            .filter(|before| before.version == version && before.position.era == position.era);
        if let Some(before) = same {
            return before.position < position;
        }
        state.was_known_by(version, position.era, not_before)
    }

    /// Whether a list that shows this object may hide a later naming. A list shows only the last write, which
    /// may have replaced another one made while nobody watched. `newest` is the version known before the
    /// list; the other arguments are those of [`Self::note_stored`], which is called after this.
    pub fn may_hide_naming(
        &self,
        listed: &ModelVersion,
        newest: Option<u64>,
        position: StorePosition,
        not_before: Option<Instant>,
    ) -> bool {
        let (Some(newest), Some(state)) = (newest, self.by_model.get(&listed.model)) else {
            return false;
        };
        if listed.version >= newest {
            return listed.version > newest;
        }
        let stored = state
            .stored
            .filter(|stored| stored.position.era == position.era);
        match stored {
            Some(stored) if stored.position >= position => false,
            Some(stored) if stored.version == newest => true,
            _ => state.was_known_by(newest, position.era, not_before),
        }
    }

    /// Records the versions above the known ones that entries of replicas show, the lowest of each model;
    /// returns those shown for long enough to be suspected.
    pub fn note_shown(&mut self, shown: &HashMap<String, u64>, now: Instant) -> Vec<ModelVersion> {
        for (model, state) in &mut self.by_model {
            if !shown.contains_key(model) {
                state.shown = None;
            }
        }
        let mut shown_long_enough = Vec::new();
        for (model, version) in shown {
            let state = self.by_model.entry(model.clone()).or_default();
            let same = state.shown.filter(|known| known.version == *version);
            let (version, since) = (*version, same.map_or(now, |same| same.since));
            state.shown = Some(ShownVersion { version, since });
            if now.saturating_duration_since(since) >= SUSPICION_DELAY {
                let model = model.clone();
                shown_long_enough.push(ModelVersion { model, version });
            }
        }
        shown_long_enough
    }

    /// Records a version that may have been named; returns whether that is new. Of several versions of a
    /// model the lowest is tried first.
    pub fn suspect(&mut self, suspicion: Suspicion) -> bool {
        let state = self
            .by_model
            .entry(suspicion.weights.model.clone())
            .or_default();
        let is_new = state
            .suspicion
            .as_ref()
            .is_none_or(|known| suspicion.weights.version < known.weights.version);
        if is_new {
            state.suspicion = Some(suspicion);
        }
        is_new
    }

    /// Records that a replica refused a version because it was not named.
    pub fn note_refused(&mut self, weights: &ModelVersion, now: Instant) {
        let Some(state) = self.by_model.get_mut(&weights.model) else {
            return;
        };
        let is_refused = |suspicion: &mut Suspicion| suspicion.weights.version == weights.version;
        if !state.suspicion.as_mut().is_some_and(is_refused) {
            return;
        }
        if state.note_refusal(weights.version, now) >= MAX_REFUSALS {
            state.suspicion = None;
        }
    }

    /// When this version counts from if it was named; `None` if it is not suspected.
    pub fn since(&self, weights: &ModelVersion) -> Option<Since> {
        let suspicion = self.by_model.get(&weights.model)?.suspicion.as_ref()?;
        (suspicion.weights == *weights).then_some(suspicion.since)
    }

    /// All suspected versions.
    pub fn all(&self) -> impl Iterator<Item = &Suspicion> {
        self.by_model
            .values()
            .filter_map(|state| state.suspicion.as_ref())
    }

    /// The versions that may be tried at `now`.
    pub fn due(&self, now: Instant) -> Vec<Suspicion> {
        let suspicions = self.by_model.values();
        let due = suspicions.filter_map(|state| state.due_suspicion(now));
        due.cloned().collect()
    }
}

impl ModelState {
    /// Whether this version was known by `moment`, in this era of the store.
    fn was_known_by(&self, version: u64, era: StoreEra, moment: Option<Instant>) -> bool {
        let known_version = self
            .known_version
            .filter(|known_version| known_version.version == version && known_version.era == era);
        known_version
            .zip(moment)
            .is_some_and(|(known_version, moment)| known_version.at <= moment)
    }

    /// Counts a refusal of a version; returns how often it was refused.
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
