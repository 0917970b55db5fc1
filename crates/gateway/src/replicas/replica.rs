//! One life of a replica, as this daemon knows it.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::health::Health;
use super::queue_wait::QueueWaitEstimator;
use crate::notices::ReplicaNotices;
use crate::protocol::{ModelVersion, ReplicaEntry, ReplicaIncarnation};
use crate::upstream::Pool;
use crate::weights::WantedWeights;

/// How long a replica is believed to load weights where nobody tells that it has ended.
const WEIGHT_LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// One life of a replica.
#[derive(Debug)]
pub struct Replica {
    /// Which life it is.
    pub incarnation: ReplicaIncarnation,
    /// The digest of its id, alike for all of its lives: prompts come home to the same place.
    pub id_hash: u64,
    /// The digest of its life: what an earlier life kept or did is not this one's.
    pub incarnation_hash: u64,
    /// The connections to it.
    pub pool: Rc<Pool>,
    /// Whether it can be reached.
    pub health: Health,
    /// What it says of itself in its answers.
    pub notices: ReplicaNotices,
    /// How long requests wait there before they begin.
    pub queue_waits: Rc<QueueWaitEstimator>,
    entry: RefCell<ReplicaEntry>,
    listed_models: RefCell<Vec<ModelVersion>>,
    open_requests: Cell<u32>,
    prefill_until: Cell<Option<Instant>>,
    assigned_prompt_tokens: Cell<u64>,
    loading_since: Cell<Option<Instant>>,
    order_sequence: Cell<Option<u64>>,
    lapses_at: Cell<Option<Instant>>,
}

impl Replica {
    /// The replica of a new entry.
    pub fn new(entry: ReplicaEntry) -> Rc<Self> {
        Rc::new(Self {
            id_hash: xxh3_64(entry.incarnation.id.as_bytes()),
            incarnation_hash: entry.incarnation.digest(),
            incarnation: entry.incarnation.clone(),
            pool: Pool::new(entry.address),
            health: Health::default(),
            notices: ReplicaNotices::default(),
            queue_waits: Rc::default(),
            order_sequence: Cell::new(None),
            lapses_at: Cell::new(None),
            listed_models: RefCell::new(entry.models.clone()),
            entry: RefCell::new(entry),
            open_requests: Cell::new(0),
            prefill_until: Cell::new(None),
            assigned_prompt_tokens: Cell::new(0),
            loading_since: Cell::new(None),
        })
    }

    /// Its id.
    pub fn id(&self) -> &str {
        &self.incarnation.id
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Ref<'_, ReplicaEntry> {
        self.entry.borrow()
    }

    /// Takes in a newer entry; versions of weights never go back, since entries lag.
    pub fn update(&self, mut entry: ReplicaEntry) {
        self.listed_models.replace(entry.models.clone());
        for model in &mut entry.models {
            if let Some(known) = self.version_of(&model.model) {
                model.version = model.version.max(known);
            }
        }
        *self.entry.borrow_mut() = entry;
        self.lapses_at.set(None);
    }

    /// Takes in that its entry is gone, and that it stays in use until `until`, or an entry comes. Hearing
    /// that again, from another daemon or after another outage, keeps it no longer.
    pub fn keep_until(&self, until: Instant) {
        let earlier = self.lapses_at.get().unwrap_or(until);
        self.lapses_at.set(Some(earlier.min(until)));
    }

    /// Until when it stays in use without an entry.
    pub fn lapses_at(&self) -> Option<Instant> {
        self.lapses_at.get()
    }

    /// Whether its entry is gone.
    pub fn is_without_entry(&self) -> bool {
        self.lapses_at.get().is_some()
    }

    /// Whether its entry is gone and has not come back in time.
    pub fn has_lapsed(&self, now: Instant) -> bool {
        self.lapses_at.get().is_some_and(|until| until <= now)
    }

    /// Whether it is leaving, as its entry or an answer says. An entry that still says otherwise is older.
    pub fn is_leaving(&self) -> bool {
        self.entry().is_draining || self.notices.has_announced_leaving()
    }

    /// Whether it is neither leaving nor without entry for too long.
    pub fn is_eligible(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.has_lapsed(now)
    }

    /// The version of the weights of `model` that it is believed to have.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let entry = self.entry.borrow();
        let of_model = entry.models.iter().find(|known| known.model == model);
        of_model.map(|known| known.version)
    }

    /// Takes in that it has at least `version` of the weights of `model`; true where that is news.
    pub fn record_version(&self, model: &str, version: u64) -> bool {
        let mut entry = self.entry.borrow_mut();
        let of_model = entry.models.iter_mut().find(|known| known.model == model);
        match of_model {
            Some(known) if known.version < version => {
                known.version = version;
                true
            }
            _ => false,
        }
    }

    /// Takes in that it does not have the weights `refused` of `model`, for which a request came: it is
    /// believed to have the next ones that were wanted, or, where none were, those of its entry.
    pub fn correct_version(&self, model: &str, refused: u64, wanted: &WantedWeights) {
        if self.version_of(model) != Some(refused) {
            return;
        }
        let listed = || {
            let listed_models = self.listed_models.borrow();
            let of_model = listed_models.iter().find(|listed| listed.model == model);
            of_model.map(|listed| listed.version)
        };
        let Some(version) = wanted.next_after(model, refused).or_else(listed) else {
            return;
        };
        let mut entry = self.entry.borrow_mut();
        let mut models = entry.models.iter_mut();
        if let Some(believed) = models.find(|believed| believed.model == model) {
            believed.version = version;
        }
    }

    /// Takes in the weights that it says it has.
    pub fn record_models(&self, models: &[ModelVersion]) {
        for model in models {
            self.record_version(&model.model, model.version);
        }
    }

    /// The number of orders that it is believed to have taken, where that is known.
    pub fn order_sequence(&self) -> Option<u64> {
        self.order_sequence.get()
    }

    /// Takes in the number of orders that it has taken.
    pub fn set_order_sequence(&self, sequence: u64) {
        self.order_sequence.set(Some(sequence));
    }

    /// Takes in that it has taken one more order.
    pub fn count_order(&self) {
        let sequence = self.order_sequence.get().unwrap_or(0);
        self.order_sequence.set(Some(sequence + 1));
    }

    /// Takes in whether it is loading weights.
    pub fn set_loading(&self, since: Option<Instant>) {
        self.loading_since.set(since);
    }

    /// Since when it is loading weights; what has taken too long is believed to be over.
    pub fn loading_since(&self) -> Option<Instant> {
        let since = self.loading_since.get()?;
        (since.elapsed() < WEIGHT_LOAD_TIMEOUT).then_some(since)
    }

    /// Requests of this daemon that are open there.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Takes in that it was given a prompt of which it has `tokens` to read, by this daemon or another.
    pub fn record_prompt(&self, tokens: u64, now: Instant) {
        let prefill_time = estimated_prefill_time(tokens);
        let starts_at = self.prefill_until.get().map_or(now, |until| until.max(now));
        self.prefill_until.set(Some(starts_at + prefill_time));
        self.assigned_prompt_tokens
            .set(self.assigned_prompt_tokens.get() + tokens);
    }

    /// Tokens that it was given to read so far, by this daemon and by those that report to it.
    pub fn assigned_prompt_tokens(&self) -> u64 {
        self.assigned_prompt_tokens.get()
    }

    /// How long it is still reading prompts, as far as daemons told each other.
    pub fn remaining_prefill(&self, now: Instant) -> Duration {
        let until = self.prefill_until.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

/// A request that is open at a replica; counts until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    replica: Rc<Replica>,
}

impl OpenRequestGuard {
    /// Counts a request.
    pub fn begin(replica: &Rc<Replica>) -> Self {
        replica.open_requests.set(replica.open_requests.get() + 1);
        Self {
            replica: Rc::clone(replica),
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let open = self.replica.open_requests.get();
        self.replica.open_requests.set(open.saturating_sub(1));
    }
}

/// The time in which a replica reads so many tokens of a prompt, as far as is known without asking: the
/// slowest engine of the operator's sheets.
pub fn estimated_prefill_time(tokens: u64) -> Duration {
    const TOKENS_PER_MS: u64 = 36;
    Duration::from_millis(tokens / TOKENS_PER_MS)
}
