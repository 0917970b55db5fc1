//! The registry of all replicas that the store lists.

use driftspring_clock::Instant;
use driftspring_settings::Births;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, HashSet};
use std::rc::Rc;

use super::replica::Replica;
use super::service_replicas::ServiceReplicas;
use crate::protocol::{ReplicaEntry, ReplicaIncarnation};
use crate::stream_versions::history::VersionSet;
use crate::stream_versions::service_digest;

/// Limit of the services that are remembered as reporting births. No configuration has more, but entries of
/// other writers may name any service.
const MAX_SERVICES_WITH_BIRTHS: usize = 1024;

/// Number of replicas of the first list that are logged one by one. Callers wait for the list, most machines
/// have 0.12 of a core, and at most 4,000 lines a second are written.
const MAX_FIRST_LIST_LOG_LINES: usize = 100;

/// The replicas that are listed now.
#[derive(Debug, Default)]
pub struct Registry {
    births: Births,
    /// The services of which some replica has reported when its incarnation started.
    services_with_births: RefCell<HashSet<String>>,
    by_id: RefCell<BTreeMap<String, Rc<Replica>>>,
    by_service: RefCell<HashMap<String, Rc<ServiceReplicas>>>,
    /// The ids of the replicas that have lost their entry and stay in use for a while.
    without_entry: RefCell<HashSet<String>>,
    /// Number of replicas in the first list, while that is not published yet.
    first_list_count: Cell<usize>,
}

impl Registry {
    /// An empty registry. `births` says whether entries have to report when their incarnations started.
    pub fn new(births: Births) -> Self {
        Self {
            births,
            ..Self::default()
        }
    }

    /// The replicas of a service by id, as a snapshot that later changes don't affect.
    pub fn of_service(&self, service: &str) -> Rc<ServiceReplicas> {
        let by_service = self.by_service.borrow();
        by_service.get(service).cloned().unwrap_or_default()
    }

    /// Every replica that may be used.
    pub fn all(&self) -> Vec<Rc<Replica>> {
        let by_service = self.by_service.borrow();
        let replicas = by_service.values().flat_map(|replicas| replicas.iter());
        replicas.cloned().collect()
    }

    /// The versions of the software of each service's replicas, by the digest of the service's name.
    pub fn software_by_service(&self) -> HashMap<u64, VersionSet> {
        let by_service = self.by_service.borrow();
        let versions_of = |replicas: &Rc<ServiceReplicas>| {
            let versions = replicas.iter().map(|replica| replica.software());
            versions.collect::<VersionSet>()
        };
        let services = by_service.iter();
        let services =
            services.map(|(service, replicas)| (service_digest(service), versions_of(replicas)));
        services.collect()
    }

    /// The latest incarnation of the replica with this id.
    pub fn get(&self, id: &str) -> Option<Rc<Replica>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// The replica in this incarnation, unless another incarnation of it is listed.
    pub fn current(&self, incarnation: &ReplicaIncarnation) -> Option<Rc<Replica>> {
        self.get(&incarnation.id)
            .filter(|known| known.incarnation == *incarnation)
    }

    /// Whether this incarnation is listed.
    pub fn is_current(&self, incarnation: &ReplicaIncarnation) -> bool {
        self.current(incarnation).is_some()
    }

    /// Whether another replica is listed at the same address, or a later incarnation of this one. If so, this
    /// incarnation has ended.
    pub fn is_replaced(&self, replica: &Replica) -> bool {
        let by_id = self.by_id.borrow();
        let is_successor = |other: &Rc<Replica>| {
            let is_other = other.id() != replica.id() && other.pool.peer() == replica.pool.peer();
            is_other || replica.incarnation.is_before(&other.incarnation)
        };
        by_id.values().any(is_successor)
    }

    /// Number of listed replicas.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether no replica is published. None is before the last page of the first transfer, even if some have
    /// been received.
    pub fn is_empty(&self) -> bool {
        self.by_service.borrow().is_empty()
    }

    /// Inserts or updates one entry, which takes effect with [`Registry::rebuild_index`]. An incarnation that
    /// has announced that it is leaving never stays, so an entry that says otherwise is out of date. So is an
    /// entry of an earlier incarnation.
    pub fn upsert(&self, mut entry: ReplicaEntry) {
        let known = self.get(&entry.incarnation.id);
        if known
            .as_ref()
            .is_some_and(|known| entry.incarnation.is_before(&known.incarnation))
        {
            return;
        }
        self.record_birth_reporting(&entry);
        let is_same = |known: &Rc<Replica>| {
            known.incarnation == entry.incarnation && known.pool.peer() == entry.address
        };
        match known.filter(is_same) {
            Some(known) => {
                entry.is_draining |= known.entry().is_draining;
                log_change(&known, &entry);
                known.update(entry);
            }
            None => self.insert_incarnation(entry),
        }
    }

    /// Adds the first entry of an incarnation. It inherits nothing from an earlier one of the same replica.
    fn insert_incarnation(&self, entry: ReplicaEntry) {
        self.log_new_incarnation(&entry);
        let replica = Replica::new(entry);
        let mut by_id = self.by_id.borrow_mut();
        if let Some(earlier) = by_id.insert(replica.id().to_owned(), replica) {
            earlier.pool.clear();
        }
    }

    /// Logs a new incarnation. Of a long first list only the beginning is logged, see
    /// [`Registry::log_first_list`].
    fn log_new_incarnation(&self, entry: &ReplicaEntry) {
        if self.is_empty() {
            self.first_list_count.set(self.first_list_count.get() + 1);
            if self.first_list_count.get() > MAX_FIRST_LIST_LOG_LINES {
                return;
            }
        }
        log_event!(
            gateway::REPLICA_SEEN,
            "replica={} born={:?} service={} address={} zone={} software={:?} models={:?}",
            entry.incarnation.id,
            entry.incarnation.born,
            entry.service,
            entry.address,
            entry.zone,
            entry.software.as_deref().unwrap_or_default(),
            entry.models
        );
    }

    /// Logs the size of the first list once it is published, if not every replica in it was logged.
    fn log_first_list(&self) {
        let listed = match self.is_empty() {
            true => 0,
            false => self.first_list_count.take(),
        };
        if listed > MAX_FIRST_LIST_LOG_LINES {
            log_event!(
                gateway::REPLICAS_LISTED,
                "listed={listed} told_one_by_one={MAX_FIRST_LIST_LOG_LINES}"
            );
        }
    }

    /// Removes an entry, which takes effect with [`Registry::rebuild_index`]. With `keep_until`, the entry may
    /// come back and its replica stays in use until then, unless it was leaving. Returns whether it stays in
    /// use.
    pub fn remove(&self, id: &str, keep_until: Option<Instant>) -> bool {
        let known = self.get(id).filter(|known| !known.is_leaving());
        match (known, keep_until) {
            (Some(known), Some(until)) => {
                known.keep_until(until);
                self.without_entry.borrow_mut().insert(id.to_owned());
                true
            }
            _ => {
                self.drop_replica(id, RemovalReason::Left);
                false
            }
        }
    }

    /// Removes the replicas whose entries have not come back by `now`, which takes effect with
    /// [`Registry::rebuild_index`]. Returns whether there were any.
    pub fn remove_lapsed(&self, now: Instant) -> bool {
        let mut without_entry = self.without_entry.borrow_mut();
        let mut any_removed = false;
        without_entry.retain(|id| {
            let known = self.get(id).filter(|known| known.is_without_entry());
            let has_lapsed = known.as_ref().is_some_and(|known| known.has_lapsed(now));
            if has_lapsed {
                self.drop_replica(id, RemovalReason::NotBack);
                any_removed = true;
            }
            known.is_some() && !has_lapsed
        });
        any_removed
    }

    /// When the next replica without an entry goes out of use.
    pub fn next_lapse(&self) -> Option<Instant> {
        let without_entry = self.without_entry.borrow();
        let lapses = without_entry
            .iter()
            .filter_map(|id| self.get(id)?.lapses_at());
        lapses.min()
    }

    /// Publishes all changes since the last call.
    pub fn rebuild_index(&self) {
        let by_id = self.by_id.borrow();
        let mut by_service: HashMap<String, ServiceReplicas> = HashMap::new();
        for replica in by_id.values().filter(|replica| self.may_be_used(replica)) {
            let entry = replica.entry();
            match by_service.get_mut(&entry.service) {
                Some(replicas) => replicas.push(Rc::clone(replica)),
                None => {
                    let replicas = by_service.entry(entry.service.clone()).or_default();
                    replicas.push(Rc::clone(replica));
                }
            }
        }
        let shared = by_service.into_iter();
        let shared = shared.map(|(service, replicas)| (service, Rc::new(replicas)));
        *self.by_service.borrow_mut() = shared.collect();
        self.log_first_list();
    }

    /// Remembers that the service of this entry has replicas that report births, if this entry does.
    fn record_birth_reporting(&self, entry: &ReplicaEntry) {
        let mut services = self.services_with_births.borrow_mut();
        let is_new = entry.incarnation.born.is_some() && !services.contains(&entry.service);
        if is_new && services.len() < MAX_SERVICES_WITH_BIRTHS {
            services.insert(entry.service.clone());
        }
    }

    /// Whether the entry of a replica reports its birth as far as required. An entry without it may be of
    /// another writer.
    fn may_be_used(&self, replica: &Replica) -> bool {
        let service = &replica.entry().service;
        replica.incarnation.born.is_some()
            || match self.births {
                Births::Required => false,
                Births::Optional => true,
                Births::Observed => !self.services_with_births.borrow().contains(service),
            }
    }

    fn drop_replica(&self, id: &str, reason: RemovalReason) {
        if let Some(replica) = self.by_id.borrow_mut().remove(id) {
            replica.pool.clear();
            log_event!(gateway::REPLICA_GONE, "replica={id} reason={reason:?}");
        }
    }
}

/// Why a replica was removed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemovalReason {
    /// Its entry was removed while the store was reachable.
    Left,
    /// Its entry was missing and has not come back in time.
    NotBack,
}

/// Logs a change that matters for the choice of a replica; the number of orders alone does not.
fn log_change(known: &Replica, entry: &ReplicaEntry) {
    let old = known.entry();
    let has_changed = old.is_draining != entry.is_draining || old.models != entry.models;
    if has_changed {
        log_event!(
            gateway::REPLICA_CHANGED,
            "replica={} draining={} models={:?}",
            entry.incarnation.id,
            entry.is_draining,
            entry.models
        );
    }
}
