//! State that the parts of one gateway share. All of it lives on the worker thread that serves callers; what other
//! threads see is in [`SharedStatus`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use arc_swap::ArcSwapOption;
use driftspring_clock::Instant;
use driftspring_settings::{GatewayQuotas, GatewaySettings, GatewayTimes};
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use rand::Rng;
use tokio::sync::Notify;
use xxhash_rust::xxh3::xxh3_64;

use crate::budget::RetryBudgets;
use crate::cache::{CachedParts, PromptHolders};
use crate::callers::Lingering;
use crate::configuration::Configuration;
use crate::connections::CallerConnections;
use crate::currency::Currency;
use crate::forwarding::Forwarding;
use crate::held_bytes::HeldBytes;
use crate::interference::Interference;
use crate::listening::Listening;
use crate::notices::{BrittleServices, ChangedNotices, NoticeSurvey};
use crate::own_daemon::{machine, own_daemon, seeds};
use crate::peers::Peers;
use crate::peers::message::{Change, Item, ItemKey, WireReplica};
use crate::permits::Permits;
use crate::protocol::{Platform, ReplicaEntry, Unreadable, UnreadableReason};
use crate::quarantine::Quarantine;
use crate::quota::{Quotas, Tolerance};
use crate::reachability::Paths;
use crate::replicas::{Registry, RemovedIncarnations, RouteSpeeds};
use crate::rollout::{OrderLease, lease_times};
use crate::shares::FairShares;
use crate::status::SharedStatus;
use crate::store::{
    self, KnownNamings, Rejected, Rejections, StoreEraTracker, StoreOutage, StorePosition,
    StoreProgress,
};
use crate::stream_versions::StreamVersions;
use crate::suspected_weights::SuspectedWeights;
use crate::upstream::Pool;
use crate::weights::WantedWeights;

/// Maximum age of the proof that the configuration is current, for the gateway to report itself as ready. A gateway
/// that has not heard from the store for longer refuses requests with keys.
const READY_MAX_PROOF_AGE: Duration = Duration::from_millis(2800);

/// How long after the store has come back from a copy replicas without an entry stay in use, so that they can write
/// their entries again. It is shorter than the time for which a replica that has left may still get requests
/// (`drainMs`, 2 s), since a missing entry may also be that of such a replica.
const MISSING_ENTRY_RETENTION: Duration = Duration::from_millis(1800);

/// Time after the start within which a gateway may not have listed the replicas yet. A start with a slow store (60
/// times the normal 4 ms per answer, two pages) stays well below it.
pub(crate) const STARTUP_WINDOW: Duration = Duration::from_secs(3);

/// State of one gateway.
pub struct GatewayState {
    /// Settings as read at the start.
    pub settings: GatewaySettings,
    /// Times in force; a reload of the settings changes them.
    pub times: Cell<GatewayTimes>,
    /// Protocols of the platform: request headers, store and replicas.
    pub platform: Arc<dyn Platform>,
    /// Status visible to other threads.
    pub status: Arc<SharedStatus>,
    /// Configuration in force.
    pub configuration: ArcSwapOption<Configuration>,
    /// Store position of the configuration in force; the default if another gateway handed it on.
    pub configuration_position: Cell<StorePosition>,
    /// How recently the configuration was proved to be the newest.
    pub currency: Currency,
    /// Registry of the replicas.
    pub registry: Registry,
    /// Paths to the replicas of each service.
    pub paths: Paths,
    /// Requests that go through other gateways.
    pub forwarding: Forwarding,
    /// Wanted versions of the weights.
    pub weights: RefCell<WantedWeights>,
    /// Wakes requests that wait at replicas when a version of the weights becomes known.
    pub weights_updated: Notify,
    /// Requests that crash the replicas that run them.
    pub quarantine: Quarantine,
    /// Budgets for sending requests again.
    pub retry_budgets: RetryBudgets,
    /// How long the answers of each route take.
    pub route_speeds: RouteSpeeds,
    /// Quotas of the tenants.
    pub quotas: Quotas,
    /// Fair shares of the tenants.
    pub shares: FairShares,
    /// Permits to send to replicas that limit their request rate.
    pub permits: Permits,
    /// Notices from replicas that have to be sent to other gateways.
    pub changed_notices: ChangedNotices,
    /// Services with replicas that crash if they refuse many requests.
    pub brittle_services: BrittleServices,
    /// Which replicas have given a notice.
    pub notice_survey: NoticeSurvey,
    /// Software versions of streams that may be resumed.
    pub streams: StreamVersions,
    /// Exchange with other gateways.
    pub peers: Peers,
    /// Wakes requests that wait for the first list of replicas.
    replicas_listed: Notify,
    /// Contents of the KV stores, which keep cached prompt work.
    pub cached: CachedParts,
    /// Which replicas have which prompts cached.
    pub holders: PromptHolders,
    /// Bytes held for callers.
    pub held_bytes: Rc<HeldBytes>,
    /// Connections of the callers.
    pub callers: CallerConnections,
    /// Whether connections are accepted.
    pub listening: Listening,
    /// Connections of callers that linger after their last answer.
    pub lingering: Rc<Lingering>,
    /// Connections to the object store.
    pub store: Rc<Pool>,
    /// Outage of the store; ends waits for a store that is down.
    pub store_outage: StoreOutage,
    /// Objects and messages that could not be read.
    pub rejections: Rejections,
    /// Time up to which all namings of weights are known here.
    pub known_namings: KnownNamings,
    /// Versions of the weights that may have been named without any gateway having learned of it.
    pub suspected_weights: RefCell<SuspectedWeights>,
    /// Store positions with the time at which they were reached.
    pub store_progress: RefCell<StoreProgress>,
    /// Latest known era of the store.
    pub store_eras: StoreEraTracker,
    /// Latest known position of the store.
    pub store_position: Cell<StorePosition>,
    /// First position that was read in the store's latest era.
    pub store_era_start: Cell<StorePosition>,
    /// Incarnations of replicas whose entries were removed. A copy of the store must not bring them back.
    pub removed_incarnations: RefCell<RemovedIncarnations>,
    /// When this gateway's entry was last found in or written to the store, measured from the process start; zero
    /// before the first time.
    pub own_entry_written_at: Cell<Duration>,
    /// Lease that permits this gateway to give orders to replicas.
    pub lease: RefCell<OrderLease>,
    /// Wakes the task that rolls out new weights to replicas.
    pub rollout_wanted: Notify,
    /// Random number that identifies this incarnation of the gateway.
    pub incarnation: u64,
    /// Credits of each route's services for the weighted division of its traffic.
    pub backend_credits: RefCell<HashMap<String, Vec<f64>>>,
    /// Interference between prefills and streams at replicas.
    pub interference: Interference,
    /// Whether changes were applied that are not published yet.
    has_pending_changes: Cell<bool>,
    /// Whether some of these changes concern replicas.
    has_pending_replicas: Cell<bool>,
    /// Number of draws so far, see [`GatewayState::draw`].
    draw_count: Cell<u64>,
    /// Start of this gateway.
    started_at: Instant,
}

impl GatewayState {
    /// Creates the state of a gateway that has learned nothing yet.
    pub fn new(
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
        status: Arc<SharedStatus>,
    ) -> Rc<Self> {
        let retry_budgets = RetryBudgets::new(&settings.retries);
        let quotas = Quotas::new(tolerance(&settings.quotas), Instant::now());
        let shares = FairShares::new(settings.fair_shares.is_enabled, Instant::now());
        let store = Pool::new(settings.store);
        let incarnation = u64::from(rand::rng().random::<u32>());
        let peers = Peers::new(own_daemon(&settings), seeds(&settings), incarnation);
        let times = lease_times(settings.times.lease_term);
        let lease = OrderLease::new(&machine(&settings), incarnation, times);
        let is_first_start = settings.is_first_start;
        let lease = lease.at_first_start(is_first_start);
        let interference = Interference::new(settings.interference);
        let held_bytes = HeldBytes::new(settings.machine.held_bytes, Arc::clone(&status));
        let lingering = Lingering::new(status.metrics.linger.clone());
        let forwarding = Forwarding::new(settings.forwarding_enabled, settings.machine.cores);
        Rc::new(Self {
            times: Cell::new(settings.times),
            registry: Registry::new(settings.births),
            route_speeds: RouteSpeeds::new(settings.replica_speed_enabled),
            settings,
            platform,
            status,
            configuration: ArcSwapOption::empty(),
            configuration_position: Cell::default(),
            currency: Currency::new(),
            paths: Paths::default(),
            forwarding,
            weights: RefCell::default(),
            weights_updated: Notify::new(),
            quarantine: Quarantine::default(),
            retry_budgets,
            quotas,
            shares,
            permits: Permits::default(),
            changed_notices: ChangedNotices::default(),
            brittle_services: BrittleServices::default(),
            notice_survey: NoticeSurvey::default(),
            store,
            streams: StreamVersions::new(is_first_start, Instant::now()),
            peers,
            cached: CachedParts::default(),
            holders: PromptHolders::default(),
            held_bytes,
            callers: CallerConnections::default(),
            listening: Listening::default(),
            lingering,
            store_outage: StoreOutage::default(),
            rejections: Rejections::default(),
            known_namings: KnownNamings::default(),
            suspected_weights: RefCell::default(),
            store_progress: RefCell::default(),
            store_eras: StoreEraTracker::new(Instant::now()),
            store_position: Cell::default(),
            store_era_start: Cell::default(),
            removed_incarnations: RefCell::default(),
            own_entry_written_at: Cell::default(),
            lease: RefCell::new(lease),
            rollout_wanted: Notify::new(),
            incarnation,
            backend_credits: RefCell::new(HashMap::new()),
            interference,
            replicas_listed: Notify::new(),
            has_pending_changes: Cell::new(false),
            has_pending_replicas: Cell::new(false),
            draw_count: Cell::new(0),
            started_at: Instant::now(),
        })
    }

    /// Time since this gateway's start, on the monotonic clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Applies a change of a replica or a gateway; [`GatewayState::publish_changes`] puts it into force.
    pub fn apply(&self, change: Change) {
        if self.is_from_earlier_incarnation(&change) {
            return;
        }
        if let Change::Put(Item::Replica(replica)) = &change
            && store::copied_entries::is_held_back(self, replica)
        {
            return;
        }
        let change = self.with_known_draining(change);
        let mut log = self.peers.log.borrow_mut();
        match change {
            Change::Put(item) => {
                if !log.put(item.clone()) {
                    return;
                }
                if let Item::Replica(replica) = &item
                    && let Some(entry) = replica.to_entry()
                {
                    self.note_restart(&entry);
                    self.registry.upsert(entry);
                    self.has_pending_replicas.set(true);
                }
            }
            Change::Removed(key) => {
                let known = log.get(&key).cloned();
                log.remove(&key);
                if let ItemKey::Replica(id) = &key {
                    self.has_pending_replicas.set(true);
                    self.handle_missing_entry(id, known.as_ref());
                }
            }
        }
        self.has_pending_changes.set(true);
    }

    /// Applies a replica's entry as read from the store. An entry without a start time, where the previous one had one,
    /// was written by another writer over the replica's own entry.
    pub fn apply_stored_entry(&self, entry: &ReplicaEntry) {
        let replica = WireReplica::from(entry);
        let is_foreign = replica.born.is_none() && self.known_start_time(&replica.id).is_some();
        self.apply(match is_foreign {
            true => Change::Removed(ItemKey::Replica(replica.id)),
            false => Change::Put(Item::Replica(replica)),
        });
    }

    /// An incarnation that has announced that it is leaving never goes back to ready, as in [`Registry::put`]. Gateways
    /// that ask after a late write over that entry must be told that it is leaving, since they may not have heard it.
    fn with_known_draining(&self, change: Change) -> Change {
        let Change::Put(Item::Replica(mut replica)) = change else {
            return change;
        };
        let log = self.peers.log.borrow();
        if let Some(Item::Replica(known)) = log.get(&ItemKey::Replica(replica.id.clone())) {
            let is_same_incarnation =
                known.born == replica.born && known.address == replica.address;
            replica.is_draining |= is_same_incarnation && known.is_draining;
        }
        Change::Put(Item::Replica(replica))
    }

    /// Whether a change is about an earlier incarnation of the replica than the known one, and so outdated. A gateway
    /// of an earlier version sends no start times at all, and must not make this one forget its replicas.
    fn is_from_earlier_incarnation(&self, change: &Change) -> bool {
        match change {
            Change::Put(Item::Replica(replica)) => {
                replica.born < self.known_start_time(&replica.id)
            }
            _ => false,
        }
    }

    /// Start time of the known incarnation of a replica, if its entry gave one.
    fn known_start_time(&self, id: &str) -> Option<u64> {
        let log = self.peers.log.borrow();
        match log.get(&ItemKey::Replica(id.to_owned())) {
            Some(Item::Replica(known)) => known.born,
            _ => None,
        }
    }

    /// Tells the quarantine that a replica has restarted, if its entry says so: crashes are recorded by incarnation.
    fn note_restart(&self, entry: &ReplicaEntry) {
        let known = self.registry.get(&entry.incarnation.id);
        if let Some(before) = known.filter(|known| known.incarnation.is_before(&entry.incarnation))
        {
            let after = entry.incarnation.digest();
            self.quarantine
                .note_next_incarnation(before.incarnation_hash, after);
        }
    }

    /// Handles the removal of a replica's entry, which was `known` until then.
    fn handle_missing_entry(&self, id: &str, known: Option<&Item>) {
        let now = Instant::now();
        let failed_at = self.store_outage.list_failed_at();
        let in_touch_at = failed_at.map(|at| at + self.times.get().contact);
        let keep_until = self.peers.keep_until(now, in_touch_at);
        let keep_until = keep_until.max(self.retained_after_store_recovery(now));
        let listed = self.registry.get(id);
        let has_left = listed.as_ref().is_some_and(|replica| replica.is_leaving());
        if !self.registry.remove(id, keep_until) {
            if let Some(gone) = listed {
                self.quarantine
                    .note_removed_incarnation(gone.incarnation_hash);
            }
            // A replica that lapsed during an outage may be alive, and is not recorded as gone.
            store::copied_entries::note_gone(self, id, known);
            if has_left {
                self.removed_incarnations.borrow_mut().record_leaving(id);
            }
            return;
        }
        self.status.metrics.replicas_lapsed.inc();
        log_event!(
            gateway::REPLICA_LAPSED,
            "replica={id} kept_for={:?} view_age={:?} store_failed_ago={:?} source={:?}",
            keep_until.map(|until| until.saturating_duration_since(now)),
            self.peers.view_age(),
            failed_at.map(|at| now.saturating_duration_since(at)),
            self.peers.source_address()
        );
    }

    /// Until when a replica stays in use whose entry is found to be missing at `now`, if the store has recently come
    /// back from a copy: the copy may be older than the entry.
    fn retained_after_store_recovery(&self, now: Instant) -> Option<Instant> {
        let changed_ago = self.store_eras.changed_ago(now)?;
        let left = MISSING_ENTRY_RETENTION.checked_sub(changed_ago)?;
        Some(now + left)
    }

    /// Removes replicas whose entries have not come back after an outage of the store.
    pub fn remove_lapsed(&self) {
        if self.registry.remove_lapsed(Instant::now()) {
            self.has_pending_changes.set(true);
            self.has_pending_replicas.set(true);
            self.publish_changes();
        }
        store::copied_entries::release(self);
    }

    /// Records that the object or message called `name` can't be read.
    pub fn reject(&self, kind: Rejected, name: &str, reason: UnreadableReason, detail: String) {
        let unreadable = Unreadable { reason, detail };
        let metrics = &self.status.metrics;
        self.rejections.note(kind, name, &unreadable, metrics);
    }

    /// Puts the changes applied since the last call into force, and notifies other gateways.
    pub fn publish_changes(&self) {
        if !self.has_pending_changes.replace(false) {
            return;
        }
        // Hundreds of gateways come and go beside thousands of replicas, so the index is only rebuilt for changes of
        // replicas.
        if self.has_pending_replicas.replace(false) {
            self.publish_replicas();
        }
        self.peers.announce_changes();
    }

    /// Rebuilds the index of the replicas, and wakes what waits for them.
    fn publish_replicas(&self) {
        self.registry.rebuild_index();
        self.streams.note_listed(&self.registry, Instant::now());
        self.replicas_listed.notify_waiters();
        let count = i64::try_from(self.registry.len()).unwrap_or(i64::MAX);
        self.status.metrics.replicas.set(count);
        self.refresh_readiness();
        self.rollout_wanted.notify_one();
    }

    /// Waits up to `timeout` for a replica of `service` if this gateway has just started: callers reach it at once, and
    /// its first list of replicas arrives within milliseconds.
    pub async fn wait_for_replicas(&self, service: &str, timeout: Duration) {
        if self.now() > STARTUP_WINDOW || !self.registry.of_service(service).is_empty() {
            return;
        }
        let known = async {
            while self.registry.of_service(service).is_empty() {
                self.replicas_listed.notified().await;
            }
        };
        if tokio::time::timeout(timeout, known).await.is_err() {
            log::debug!("no replica of {service} is known after {timeout:?}");
        }
    }

    /// Version of the configuration in force; 0 if there is none.
    pub fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.load();
        configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Updates [`SharedStatus::is_synced`]: whether the configuration and the replicas are known and current.
    pub fn refresh_readiness(&self) {
        let configuration = self.configuration.load();
        let version = self.configuration_version();
        let is_synced = configuration.is_some()
            && self.currency.has_peer_answers()
            && !self.currency.is_outdated(version)
            && !self.registry.is_empty()
            && self.currency.is_within(READY_MAX_PROOF_AGE);
        let was_synced = self.status.is_synced.swap(is_synced, Ordering::AcqRel);
        let age = self.currency.age();
        match (was_synced, is_synced) {
            (true, false) => log_event!(gateway::CURRENCY_LOST, "proof_age={age:?}"),
            (false, true) => log_event!(gateway::CALLERS_WELCOME, "proof_age={age:?}"),
            _ => {}
        }
    }

    /// Puts reloaded settings into force: times, retries, quotas and the mode of interference. Listening addresses and the store's address stay
    /// as they are until the next start.
    pub fn apply_reloaded_settings(&self) {
        // If the lock is poisoned, a thread panicked while it stored new settings: the current ones stay.
        let reloaded = self.status.reloaded.lock();
        if let Some(settings) = reloaded.ok().and_then(|mut reloaded| reloaded.take()) {
            self.times.set(settings.times);
            self.retry_budgets.reload(&settings.retries);
            self.quotas.reload(tolerance(&settings.quotas));
            self.interference.set_mode(settings.interference);
            self.shares.reload(settings.fair_shares.is_enabled);
            // Requests that wait at replicas may have less time now.
            self.weights_updated.notify_waiters();
        }
    }

    /// Pseudo-random fraction from 0 to 1, which differs from call to call.
    pub fn random_fraction(&self) -> f64 {
        let hash = xxh3_64(&self.draw().to_le_bytes());
        hash as f64 / u64::MAX as f64
    }

    /// Number that differs from call to call and between gateways, as a seed for pseudo-random choices.
    pub fn draw(&self) -> u64 {
        let draw = self.draw_count.get().wrapping_add(1);
        self.draw_count.set(draw);
        draw ^ self.incarnation
    }
}

/// How far quotas may be exceeded, under the settings.
fn tolerance(settings: &GatewayQuotas) -> Tolerance {
    Tolerance {
        overshoot: settings.overshoot,
        slack: settings.slack,
    }
}
