//! One incarnation of a replica, as this gateway knows it.

use std::cell::{Cell, Ref, RefCell};
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_decisions::load::ReplicaLoad;
use driftspring_decisions::prefill::estimated_prefill_time;
use xxhash_rust::xxh3::xxh3_64;

use super::health::Health;
use super::queue_wait::QueueWaitEstimator;
use super::running_work::RunningWork;
use super::speed::SpeedTracker;
use crate::notices::ReplicaNotices;
use crate::protocol::{ModelVersion, ReplicaEntry, ReplicaIncarnation, SoftwareVersion};
use crate::upstream::Pool;
use crate::weights::WantedWeights;

/// How long a replica is assumed to load weights if nobody reports the end of the load.
const WEIGHT_LOAD_TIMEOUT: Duration = Duration::from_secs(4);

/// Maximum number of tokens of one prompt that is believed, whoever states it: more than the memory of any replica on
/// the operator's sheets holds (97,272). Without a bound one nonsensical number keeps requests away for hours.
pub const MAX_PROMPT_TOKENS: u64 = 1 << 18;

/// One incarnation of a replica.
#[derive(Debug)]
pub struct Replica {
    /// Identifies the incarnation.
    pub incarnation: ReplicaIncarnation,
    /// The hash of its id. It is the same for all incarnations, so that prompts keep their home across
    /// restarts.
    pub id_hash: u64,
    /// The hash of its incarnation, since an incarnation inherits neither the cache nor the record of an
    /// earlier one.
    pub incarnation_hash: u64,
    /// The connections to the replica.
    pub pool: Rc<Pool>,
    /// Whether the replica can be reached.
    pub health: Health,
    /// What the replica reports about itself in its answers.
    pub notices: ReplicaNotices,
    /// How long requests are queued there before they start.
    pub queue_waits: Rc<QueueWaitEstimator>,
    /// The streams that run there and its recent prefill.
    pub work: RunningWork,
    /// How fast it answers.
    pub speed: SpeedTracker,
    entry: RefCell<ReplicaEntry>,
    software: Cell<Option<SoftwareVersion>>,
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
            work: RunningWork::default(),
            speed: SpeedTracker::default(),
            order_sequence: Cell::new(None),
            lapses_at: Cell::new(None),
            listed_models: RefCell::new(entry.models.clone()),
            software: Cell::new(version_of_software(&entry)),
            entry: RefCell::new(entry),
            open_requests: Cell::new(0),
            prefill_until: Cell::new(None),
            assigned_prompt_tokens: Cell::new(0),
            loading_since: Cell::new(None),
        })
    }

    /// The id of the replica.
    pub fn id(&self) -> &str {
        &self.incarnation.id
    }

    /// The version of its software, if known.
    pub fn software(&self) -> Option<SoftwareVersion> {
        self.software.get()
    }

    /// Its entry in the store.
    pub fn entry(&self) -> Ref<'_, ReplicaEntry> {
        self.entry.borrow()
    }

    /// Applies a newer entry. Versions of weights never decrease, since entries lag.
    pub fn update(&self, mut entry: ReplicaEntry) {
        self.listed_models.replace(entry.models.clone());
        for model in &mut entry.models {
            if let Some(known) = self.version_of(&model.model) {
                model.version = model.version.max(known);
            }
        }
        if entry.software.is_none() {
            entry.software = self.entry().software.clone();
        }
        self.software.set(version_of_software(&entry));
        *self.entry.borrow_mut() = entry;
        self.lapses_at.set(None);
    }

    /// Records that its entry is missing, and that it stays in use until `until` or until an entry arrives.
    /// Hearing of it again, from another gateway or after another outage, does not extend the time.
    pub fn keep_until(&self, until: Instant) {
        let earlier = self.lapses_at.get().unwrap_or(until);
        self.lapses_at.set(Some(earlier.min(until)));
    }

    /// Until when it stays in use without an entry.
    pub fn lapses_at(&self) -> Option<Instant> {
        self.lapses_at.get()
    }

    /// Whether its entry is missing.
    pub fn is_without_entry(&self) -> bool {
        self.lapses_at.get().is_some()
    }

    /// Whether its entry is missing and has not come back in time.
    pub fn has_lapsed(&self, now: Instant) -> bool {
        self.lapses_at.get().is_some_and(|until| until <= now)
    }

    /// Whether it is leaving, according to its entry or to an answer. An entry that still says otherwise is out
    /// of date.
    pub fn is_leaving(&self) -> bool {
        self.entry().is_draining || self.notices.has_announced_leaving()
    }

    /// Whether it may get requests: it is not leaving, and its entry has not been missing for too long.
    pub fn is_eligible(&self, now: Instant) -> bool {
        !self.is_leaving() && !self.has_lapsed(now)
    }

    /// Whether a brittle replica has room for one more request of this gateway; any other one always has.
    pub fn has_room(&self, now: Instant) -> bool {
        let brittleness = &self.notices.brittleness;
        let has_room = brittleness.has_room(self.open_requests(), now);
        if !has_room {
            brittleness.update(|brittle| {
                let tolerated = brittle.refusals_tolerated;
                brittle.window.record_used_up(tolerated, now);
            });
        }
        has_room
    }

    /// The version of the weights of `model` that it is believed to have.
    pub fn version_of(&self, model: &str) -> Option<u64> {
        let entry = self.entry.borrow();
        let of_model = entry.models.iter().find(|known| known.model == model);
        of_model.map(|known| known.version)
    }

    /// Records that it has at least `version` of the weights of `model`. Returns whether that is new.
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

    /// Records that it does not have the weights `refused` of `model`, for which a request was sent. It is then
    /// believed to have the next version that was wanted or, if there is none, the version in its entry.
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

    /// Records the weights that it reports.
    pub fn record_models(&self, models: &[ModelVersion]) {
        for model in models {
            self.record_version(&model.model, model.version);
        }
    }

    /// The number of orders that it is believed to have accepted, if known.
    pub fn order_sequence(&self) -> Option<u64> {
        self.order_sequence.get()
    }

    /// Sets the number of orders that it has accepted.
    pub fn set_order_sequence(&self, sequence: u64) {
        self.order_sequence.set(Some(sequence));
    }

    /// Records that it has accepted one more order.
    pub fn count_order(&self) {
        let sequence = self.order_sequence.get().unwrap_or(0);
        self.order_sequence.set(Some(sequence + 1));
    }

    /// Sets since when it is loading weights, if it is.
    pub fn set_loading(&self, since: Option<Instant>) {
        self.loading_since.set(since);
    }

    /// Since when it is loading weights. A load that has taken too long is assumed to be over.
    pub fn loading_since(&self) -> Option<Instant> {
        let since = self.loading_since.get()?;
        (since.elapsed() < WEIGHT_LOAD_TIMEOUT).then_some(since)
    }

    /// Requests of this gateway that are open there.
    pub fn open_requests(&self) -> u32 {
        self.open_requests.get()
    }

    /// Records that this gateway or another one sent it a prompt with `tokens` tokens to prefill.
    pub fn record_prompt(&self, tokens: u64, now: Instant) {
        let tokens = tokens.min(MAX_PROMPT_TOKENS);
        let prefill_time = estimated_prefill_time(tokens);
        self.work.record_prefill(prefill_time, now);
        let starts_at = self.prefill_until.get().map_or(now, |until| until.max(now));
        self.prefill_until.set(Some(starts_at + prefill_time));
        self.assigned_prompt_tokens
            .set(self.assigned_prompt_tokens.get() + tokens);
    }

    /// Total number of prompt tokens sent to it by this gateway and by those that report to this one.
    pub fn assigned_prompt_tokens(&self) -> u64 {
        self.assigned_prompt_tokens.get()
    }

    /// Its load at `now`, as far as this gateway knows it.
    pub fn load(&self, now: Instant) -> ReplicaLoad {
        ReplicaLoad {
            open_requests: self.open_requests(),
            remaining_prefill: self.remaining_prefill(now),
            running_streams: self.work.running_streams(now),
            prefill_share: self.work.prefill_share(now),
            ..ReplicaLoad::default()
        }
    }

    /// How long it will still be prefilling prompts, as far as the gateways have told each other.
    pub fn remaining_prefill(&self, now: Instant) -> Duration {
        let until = self.prefill_until.get();
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}

fn version_of_software(entry: &ReplicaEntry) -> Option<SoftwareVersion> {
    entry.software.as_deref().map(SoftwareVersion::named)
}

/// Counts a request as open at a replica until it is dropped.
#[derive(Debug)]
pub struct OpenRequestGuard {
    replica: Rc<Replica>,
    began_at: Instant,
}

impl OpenRequestGuard {
    /// Counts one more open request.
    pub fn begin(replica: &Rc<Replica>) -> Self {
        let (open, now) = (replica.open_requests.get(), Instant::now());
        replica
            .notices
            .brittleness
            .update(|brittle| brittle.window.record_begin(open, now));
        replica.open_requests.set(open + 1);
        Self {
            replica: Rc::clone(replica),
            began_at: now,
        }
    }
}

impl Drop for OpenRequestGuard {
    fn drop(&mut self) {
        let open = self.replica.open_requests.get().saturating_sub(1);
        self.replica.open_requests.set(open);
        let (began_at, now) = (self.began_at, Instant::now());
        self.replica.notices.brittleness.update(|brittle| {
            let duration = now.saturating_duration_since(began_at);
            brittle.window.record_end(duration);
        });
    }
}
