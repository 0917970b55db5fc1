//! What the parts of one gateway share. All of it lives on one thread, the worker that serves callers;
//! what other threads see is in [`SharedStatus`].

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
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
use crate::configuration::Configuration;
use crate::connections::CallerConnections;
use crate::currency::Currency;
use crate::metrics::GatewayMetrics;
use crate::notices::{NoticeNews, NoticeSurvey};
use crate::own_daemon::{machine, own_daemon, seeds};
use crate::peers::Peers;
use crate::peers::message::{Change, Item, ItemKey, WireReplica};
use crate::permits::Permits;
use crate::protocol::{Platform, ReplicaEntry, Unreadable, UnreadableReason};
use crate::quarantine::Quarantine;
use crate::quota::{Quotas, Tolerance};
use crate::replicas::{GoneLives, Registry};
use crate::rollout::{OrderLease, lease_times};
use crate::store::{
    self, KnownNamings, Rejected, Rejections, StoreEraTracker, StoreOutage, StorePosition,
    StoreProgress,
};
use crate::suspected_weights::SuspectedWeights;
use crate::upstream::Pool;
use crate::weights::WantedWeights;

/// How old the proof of the configuration may be while callers are sent here: those with keys are served
/// badly at a daemon that has not heard of the store for longer.
const READY_MAX_PROOF_AGE: Duration = Duration::from_millis(2800);

/// How long after the store's return from a copy replicas stay in use whose entries it lacks, so that they can write them
/// again. Less than the time for which one that has left may still get requests (`drainMs`, 2 s), since an entry that is
/// missing may also be that of such a one.
const MISSING_ENTRY_RETENTION: Duration = Duration::from_millis(1800);

/// For how long after its start a daemon may not have listed the replicas yet; a start while the store is slow
/// (60 times 4 ms an answer, in two pages) stays well below it.
pub(crate) const STARTUP_WINDOW: Duration = Duration::from_secs(3);

/// What the threads of a gateway share.
#[derive(Debug, Default)]
pub struct SharedStatus {
    /// Whether the configuration and the replicas are known and current.
    pub is_synced: AtomicBool,
    /// Whether a planned stop has begun.
    pub is_stopping: AtomicBool,
    /// Whether a planned stop has gone so far that new requests are refused.
    pub is_refusing_requests: AtomicBool,
    /// Requests that are open.
    pub open_requests: AtomicU32,
    /// What is counted.
    pub metrics: GatewayMetrics,
    /// Settings that were read again and are not in force yet.
    pub reloaded: Mutex<Option<GatewaySettings>>,
}

impl SharedStatus {
    /// Whether new connections should come here.
    pub fn is_ready(&self) -> bool {
        self.is_synced.load(Ordering::Acquire) && !self.is_stopping()
    }

    /// Whether a planned stop has begun.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(Ordering::Acquire)
    }

    /// Whether new requests are refused, since a planned stop is nearly over.
    pub fn is_refusing_requests(&self) -> bool {
        self.is_refusing_requests.load(Ordering::Acquire)
    }
}

/// The state of one gateway.
pub struct GatewayState {
    /// The settings.
    pub settings: GatewaySettings,
    /// The times in force; a reload of the settings changes them.
    pub times: Cell<GatewayTimes>,
    /// How the platform speaks.
    pub platform: Arc<dyn Platform>,
    /// What other threads see.
    pub status: Arc<SharedStatus>,
    /// The configuration in force.
    pub configuration: ArcSwapOption<Configuration>,
    /// Where the store had it; the default where another daemon handed it on.
    pub configuration_position: Cell<StorePosition>,
    /// Since when the configuration is known to be the newest.
    pub currency: Currency,
    /// The replicas.
    pub registry: Registry,
    /// The wanted weights.
    pub weights: RefCell<WantedWeights>,
    /// Wakes requests that wait at replicas, when a version of weights becomes known.
    pub weights_updated: Notify,
    /// Requests that end the replicas that run them.
    pub quarantine: Quarantine,
    /// How often requests may be sent again.
    pub retry_budgets: RetryBudgets,
    /// The limits of tenants.
    pub quotas: Quotas,
    /// Permits to send to replicas that limit their rate.
    pub permits: Permits,
    /// What replicas say of themselves that other daemons are to be told.
    pub notice_news: NoticeNews,
    /// Which replicas have said something of themselves.
    pub notice_survey: NoticeSurvey,
    /// What other daemons tell, and are told.
    pub peers: Peers,
    /// Wakes requests that wait for the first list of replicas.
    replicas_listed: Notify,
    /// What stores of cached prompt work keep.
    pub cached: CachedParts,
    /// Which replicas keep which prompts.
    pub holders: PromptHolders,
    /// The callers' connections.
    pub callers: CallerConnections,
    /// The connections to the store.
    pub store: Rc<Pool>,
    /// Ends the waits for a store that is down.
    pub store_outage: StoreOutage,
    /// What others say that can't be read.
    pub rejections: Rejections,
    /// Up to when all namings of weights are known here.
    pub known_namings: KnownNamings,
    /// Weights that may have been named although nobody heard of it.
    pub suspected_weights: RefCell<SuspectedWeights>,
    /// How far the store had come when.
    pub store_progress: RefCell<StoreProgress>,
    /// The latest era of the store that is known.
    pub store_eras: StoreEraTracker,
    /// The latest position of the store that is known.
    pub store_position: Cell<StorePosition>,
    /// The first position that was read of the store's latest era.
    pub store_era_start: Cell<StorePosition>,
    /// Lives of replicas whose entries are gone, and must not come back with a copy of the store.
    pub gone_lives: RefCell<GoneLives>,
    /// When this daemon's entry was last found in the store, or written there, from the start of the process; at its start
    /// where neither has been.
    pub own_entry_written_at: Cell<Duration>,
    /// The lease under which orders are given.
    pub lease: RefCell<OrderLease>,
    /// Wakes the task that brings replicas to new weights.
    pub rollout_wanted: Notify,
    /// A number that no other life of this daemon has.
    pub incarnation: u64,
    /// How the traffic of each route was divided so far.
    pub backend_credits: RefCell<HashMap<String, Vec<f64>>>,
    has_pending_changes: Cell<bool>,
    /// Whether some of these concern replicas.
    has_pending_replicas: Cell<bool>,
    draw_count: Cell<u64>,
    started_at: Instant,
}

impl GatewayState {
    /// The state of a gateway that knows nothing yet.
    pub fn new(
        settings: GatewaySettings,
        platform: Arc<dyn Platform>,
        status: Arc<SharedStatus>,
    ) -> Rc<Self> {
        let retry_budgets = RetryBudgets::new(&settings.retries);
        let quotas = Quotas::new(tolerance(&settings.quotas), Instant::now());
        let store = Pool::new(settings.store);
        let incarnation = u64::from(rand::rng().random::<u32>());
        let peers = Peers::new(own_daemon(&settings), seeds(&settings), incarnation);
        let times = lease_times(settings.times.lease_term);
        let lease = OrderLease::new(&machine(&settings), incarnation, times);
        let lease = lease.at_first_start(settings.is_first_start);
        Rc::new(Self {
            times: Cell::new(settings.times),
            registry: Registry::new(settings.births),
            settings,
            platform,
            status,
            configuration: ArcSwapOption::empty(),
            configuration_position: Cell::default(),
            currency: Currency::new(),
            weights: RefCell::default(),
            weights_updated: Notify::new(),
            quarantine: Quarantine::default(),
            retry_budgets,
            quotas,
            permits: Permits::default(),
            notice_news: NoticeNews::default(),
            notice_survey: NoticeSurvey::default(),
            store,
            peers,
            cached: CachedParts::default(),
            holders: PromptHolders::default(),
            callers: CallerConnections::default(),
            store_outage: StoreOutage::default(),
            rejections: Rejections::default(),
            known_namings: KnownNamings::default(),
            suspected_weights: RefCell::default(),
            store_progress: RefCell::default(),
            store_eras: StoreEraTracker::new(Instant::now()),
            store_position: Cell::default(),
            store_era_start: Cell::default(),
            gone_lives: RefCell::default(),
            own_entry_written_at: Cell::default(),
            lease: RefCell::new(lease),
            rollout_wanted: Notify::new(),
            incarnation,
            backend_credits: RefCell::new(HashMap::new()),
            replicas_listed: Notify::new(),
            has_pending_changes: Cell::new(false),
            has_pending_replicas: Cell::new(false),
            draw_count: Cell::new(0),
            started_at: Instant::now(),
        })
    }

    /// The time since this gateway's start, of the steady clock.
    pub fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Takes in a change of a replica or a daemon; see [`GatewayState::publish_changes`].
    pub fn apply(&self, change: Change) {
        if self.is_from_earlier_incarnation(&change) {
            return;
        }
        if let Change::Put(Item::Replica(told)) = &change
            && store::copied_entries::is_held_back(self, told)
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
                    self.registry.put(entry);
                    self.has_pending_replicas.set(true);
                }
            }
            Change::Gone(key) => {
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

    /// Takes in an entry of a replica as the store has it. One that says nothing of its life, where the one before it did,
    /// is that of another writer, who wrote over the replica's.
    pub fn apply_stored_entry(&self, entry: &ReplicaEntry) {
        let told = WireReplica::from(entry);
        let is_foreign = told.born.is_none() && self.known_start_time(&told.id).is_some();
        self.apply(match is_foreign {
            true => Change::Gone(ItemKey::Replica(told.id)),
            false => Change::Put(Item::Replica(told)),
        });
    }

    /// A life that has said that it is leaving never stays after all, as in [`Registry::put`]. Daemons that ask after a late
    /// write over that entry must be told of the leaving: they may not have heard of it.
    fn with_known_draining(&self, change: Change) -> Change {
        let Change::Put(Item::Replica(mut told)) = change else {
            return change;
        };
        let log = self.peers.log.borrow();
        if let Some(Item::Replica(known)) = log.get(&ItemKey::Replica(told.id.clone())) {
            let is_same_life = known.born == told.born && known.address == told.address;
            told.is_draining |= is_same_life && known.is_draining;
        }
        Change::Put(Item::Replica(told))
    }

    /// Whether a change tells of an earlier life than the one known of the same replica: that is old news. A daemon of an
    /// earlier version tells no births at all, and must not make this one forget its replicas.
    fn is_from_earlier_incarnation(&self, change: &Change) -> bool {
        match change {
            Change::Put(Item::Replica(told)) => told.born < self.known_start_time(&told.id),
            _ => false,
        }
    }

    /// When the life began that is known of a replica, where its entry said so.
    fn known_start_time(&self, id: &str) -> Option<u64> {
        let log = self.peers.log.borrow();
        match log.get(&ItemKey::Replica(id.to_owned())) {
            Some(Item::Replica(known)) => known.born,
            _ => None,
        }
    }

    /// Takes in that a replica has started again, where its entry says so: ends are named after lives.
    fn note_restart(&self, entry: &ReplicaEntry) {
        let known = self.registry.get(&entry.incarnation.id);
        if let Some(before) = known.filter(|known| known.life.is_before(&entry.incarnation)) {
            let after = entry.incarnation.digest();
            self.quarantine.note_next_life(before.life_hash, after);
        }
    }

    /// Takes in that the entry of a replica is gone, which was `known` until then.
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
                self.quarantine.note_gone_life(gone.life_hash);
            }
            // One that lapsed in an outage may live, and is not remembered as gone.
            store::copied_entries::note_gone(self, id, known);
            if has_left {
                self.gone_lives.borrow_mut().note_left(id);
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

    /// Until when a replica stays in use whose entry is found to be missing at `now`, in a store that came back from a copy
    /// lately: the copy may be older than the entry.
    fn retained_after_store_recovery(&self, now: Instant) -> Option<Instant> {
        let changed_ago = self.store_eras.changed_ago(now)?;
        let left = MISSING_ENTRY_RETENTION.checked_sub(changed_ago)?;
        Some(now + left)
    }

    /// Forgets replicas whose entries have not come back after an outage of the store.
    pub fn forget_lapsed(&self) {
        if self.registry.forget_lapsed(Instant::now()) {
            self.has_pending_changes.set(true);
            self.has_pending_replicas.set(true);
            self.publish_changes();
        }
        store::copied_entries::release(self);
    }

    /// Takes in that what goes by this name can't be read.
    pub fn reject(&self, kind: Rejected, name: &str, reason: UnreadableReason, detail: String) {
        let unreadable = Unreadable { reason, detail };
        let metrics = &self.status.metrics;
        self.rejections.note(kind, name, &unreadable, metrics);
    }

    /// Puts the changes taken in since the last call into force, and tells others of them.
    pub fn publish_changes(&self) {
        if !self.has_pending_changes.replace(false) {
            return;
        }
        // Hundreds of daemons come and go beside thousands of replicas.
        if self.has_pending_replicas.replace(false) {
            self.publish_replicas();
        }
        self.peers.nudge();
    }

    fn publish_replicas(&self) {
        self.registry.index();
        self.replicas_listed.notify_waiters();
        let count = i64::try_from(self.registry.len()).unwrap_or(i64::MAX);
        self.status.metrics.replicas.set(count);
        self.refresh_readiness();
        self.rollout_wanted.notify_one();
    }

    /// Waits up to `timeout` for a replica of `service` where this daemon has just started: callers come to it
    /// at once, and its first list of replicas is a few milliseconds away.
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

    /// The version of the configuration in force; 0 for none.
    pub fn configuration_version(&self) -> u64 {
        let configuration = self.configuration.load();
        configuration.as_ref().map_or(0, |known| known.version)
    }

    /// Tells other threads whether the configuration and the replicas are known and current.
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

    /// Puts settings that were read again into force: times, repeats. What listens and where the store is
    /// stay as they are until the next start.
    pub fn apply_reloaded_settings(&self) {
        // A thread that held it panicked while it put settings there: those in force stay.
        let reloaded = self.status.reloaded.lock();
        if let Some(settings) = reloaded.ok().and_then(|mut reloaded| reloaded.take()) {
            self.times.set(settings.times);
            self.retry_budgets.reload(&settings.retries);
            self.quotas.reload(tolerance(&settings.quotas));
            // Requests that wait at replicas may have less time now.
            self.weights_updated.notify_waiters();
        }
    }

    /// A share from 0 to 1 that looks random over successive calls.
    pub fn random_fraction(&self) -> f64 {
        let hash = xxh3_64(&self.draw().to_le_bytes());
        hash as f64 / u64::MAX as f64
    }

    /// A number that differs from call to call.
    pub fn draw(&self) -> u64 {
        let draw = self.draw_count.get().wrapping_add(1);
        self.draw_count.set(draw);
        draw ^ self.incarnation
    }
}

fn tolerance(settings: &GatewayQuotas) -> Tolerance {
    Tolerance {
        overshoot: settings.overshoot,
        slack: settings.slack,
    }
}
