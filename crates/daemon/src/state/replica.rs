//! The replica of the configuration, shared by the threads that feed it.
//!
//! It stands behind a lock, which the request path never takes: that reads the published
//! [`driftspring_types::ConfigView`].

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use arc_swap::ArcSwap;
use driftspring_replication::{Change, MergeRule, Notice, PullRequest, Replica};
use driftspring_settings::{BootstrapSettings, Settings};
use driftspring_types::{DaemonId, Incarnation, ObjectKey, ObjectKind, ObjectRecord, Revision};
use serde::Serialize;
use tokio::sync::Notify;

/// A peer whose notice says that it may know more.
#[derive(Debug, Clone)]
pub struct PullSource {
    /// The peer.
    pub peer: DaemonId,
    /// Its address for internal calls.
    pub address: SocketAddr,
    notice: Notice,
}

/// The replica and what its tasks wait for.
pub struct SharedReplica {
    replica: Mutex<Replica>,
    /// The encoded notice that rides in gossip messages.
    notice: ArcSwap<Vec<u8>>,
    /// The newest peer to copy from.
    pull_source: Mutex<Option<PullSource>>,
    unpublished: Mutex<Change>,
    spreads_between_daemons: bool,
    change_made: Notify,
    pull_wanted: Notify,
}

impl SharedReplica {
    /// A replica that holds the objects of the bootstrap settings only.
    pub fn new(settings: &Settings, life: Incarnation) -> Self {
        let rule = match settings.mechanisms.revision_order {
            true => MergeRule::HighestRevision,
            false => MergeRule::LastArrival,
        };
        let replica = Replica::new(rule, life, bootstrap_records(&settings.bootstrap));
        let shared = Self {
            replica: Mutex::new(replica),
            notice: ArcSwap::from_pointee(Vec::new()),
            pull_source: Mutex::new(None),
            unpublished: Mutex::new(Change::default()),
            spreads_between_daemons: settings.mechanisms.anti_entropy,
            change_made: Notify::new(),
            pull_wanted: Notify::new(),
        };
        shared.encode_notice(&shared.lock());
        shared
    }

    /// The notice to put into the next gossip message; empty where nothing is to be told.
    pub fn notice(&self) -> Vec<u8> {
        match self.spreads_between_daemons {
            true => self.notice.load().to_vec(),
            false => Vec::new(),
        }
    }

    /// Takes in the notice of a gossip message from `peer`; one that does not decode is dropped.
    pub fn on_notice(&self, peer: &DaemonId, address: SocketAddr, bytes: &[u8]) {
        if !self.spreads_between_daemons || bytes.is_empty() {
            return;
        }
        let Ok(notice) = musli::wire::from_slice::<Notice>(bytes) else {
            return;
        };
        if self.compare(&notice).is_none() {
            return;
        }
        let source = PullSource {
            peer: peer.clone(),
            address,
            notice,
        };
        *locked(&self.pull_source) = Some(source);
        self.pull_wanted.notify_one();
    }

    /// Waits for a peer that still may know more, with the request to send to it.
    pub async fn next_pull(&self) -> (PullSource, PullRequest) {
        loop {
            let source = locked(&self.pull_source).take();
            let wanted = source.and_then(|source| {
                let request = self.compare(&source.notice)?;
                Some((source, request))
            });
            match wanted {
                Some(wanted) => return wanted,
                None => self.pull_wanted.notified().await,
            }
        }
    }

    /// Changes the replica; the published view follows.
    pub fn update<T>(&self, change: impl FnOnce(&mut Replica) -> (Change, T)) -> T {
        let mut replica = self.lock();
        let (change, result) = change(&mut replica);
        if change.any() {
            self.encode_notice(&replica);
            *locked(&self.unpublished) |= change;
            self.change_made.notify_one();
        }
        result
    }

    /// Reads the replica.
    pub fn read<T>(&self, read: impl FnOnce(&Replica) -> T) -> T {
        read(&self.lock())
    }

    /// Waits until something is to be published.
    pub async fn changed(&self) {
        self.change_made.notified().await;
    }

    /// Whether records have changed since the last publication.
    pub fn has_unpublished_records(&self) -> bool {
        locked(&self.unpublished).records
    }

    /// Publishes what has changed. The replica stays locked meanwhile, so views come in order.
    pub fn publish(&self, publish: impl FnOnce(&Replica, Change)) {
        let replica = self.lock();
        let change = std::mem::take(&mut *locked(&self.unpublished));
        if change.any() {
            publish(&replica, change);
        }
    }

    fn compare(&self, notice: &Notice) -> Option<PullRequest> {
        self.update(|replica| replica.on_notice(notice))
    }

    fn encode_notice(&self, replica: &Replica) {
        let bytes = musli::wire::to_vec(&replica.notice()).unwrap_or_default();
        self.notice.store(bytes.into());
    }

    fn lock(&self) -> MutexGuard<'_, Replica> {
        locked(&self.replica)
    }
}

/// Locks, also where a thread panicked meanwhile: each change is whole or has not begun.
fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The tenants and routes of the bootstrap settings as records of revision 0.
fn bootstrap_records(bootstrap: &BootstrapSettings) -> Vec<ObjectRecord> {
    let tenants = bootstrap
        .tenants
        .iter()
        .filter_map(|tenant| record_of(ObjectKind::Tenants, tenant.id.as_str(), tenant));
    let routes = bootstrap
        .routes
        .iter()
        .filter_map(|route| record_of(ObjectKind::Routes, &route.name, route));
    tenants.chain(routes).collect()
}

fn record_of(kind: ObjectKind, name: &str, object: &impl Serialize) -> Option<ObjectRecord> {
    Some(ObjectRecord {
        key: ObjectKey::new(kind, name).to_string(),
        revision: Revision(0),
        value: Some(serde_json::to_string(object).ok()?),
    })
}
