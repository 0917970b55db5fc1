//! All replicas that the store lists.

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

/// Services of which it is remembered that their replicas say when their lives began; more than that a configuration
/// has. Entries of other writers may name any.
const MAX_SERVICES_WITH_BIRTHS: usize = 1024;

/// Replicas of the first list that are told one by one. Callers wait for the list, most machines have 0.12 of a
/// core, and 4,000 lines a second are all that is written.
const MAX_FIRST_LIST_LOG_LINES: usize = 100;

/// The replicas listed now.
#[derive(Debug, Default)]
pub struct Registry {
    births: Births,
    /// The services whose replicas say when their lives began, as far as that was seen.
    services_with_births: RefCell<HashSet<String>>,
    by_id: RefCell<BTreeMap<String, Rc<Replica>>>,
    by_service: RefCell<HashMap<String, Rc<ServiceReplicas>>>,
    /// The ids of those that lost their entry and are in use for a while.
    without_entry: RefCell<HashSet<String>>,
    /// Replicas of the first list, which is not in force yet.
    first_list_count: Cell<usize>,
}

impl Registry {
    /// An empty registry; `births` says what is asked of entries.
    pub fn new(births: Births) -> Self {
        Self {
            births,
            ..Self::default()
        }
    }

    /// The replicas of a service, by id; one snapshot, which later changes don't touch.
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

    /// The latest life of the replica with this id.
    pub fn get(&self, id: &str) -> Option<Rc<Replica>> {
        self.by_id.borrow().get(id).cloned()
    }

    /// The replica in this life, unless another life of it is listed.
    pub fn current(&self, incarnation: &ReplicaIncarnation) -> Option<Rc<Replica>> {
        self.get(&incarnation.id)
            .filter(|known| known.incarnation == *incarnation)
    }

    /// Whether this life is listed.
    pub fn is_current(&self, incarnation: &ReplicaIncarnation) -> bool {
        self.current(incarnation).is_some()
    }

    /// Whether another replica is listed at the address of this one, or a later life of it: it has ended.
    pub fn is_replaced(&self, replica: &Replica) -> bool {
        let by_id = self.by_id.borrow();
        let is_successor = |other: &Rc<Replica>| {
            let is_other = other.id() != replica.id() && other.pool.peer() == replica.pool.peer();
            is_other || replica.incarnation.is_before(&other.incarnation)
        };
        by_id.values().any(is_successor)
    }

    /// How many replicas are listed.
    pub fn len(&self) -> usize {
        self.by_id.borrow().len()
    }

    /// Whether no replica is in force: before the last page of the first transfer none is, though some were taken in.
    pub fn is_empty(&self) -> bool {
        self.by_service.borrow().is_empty()
    }

    /// Takes in one entry; it counts from [`Registry::rebuild_index`] on. A life that has said that it is leaving never stays
    /// after all: an entry that says otherwise is older. So is one of an earlier life.
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

    /// Takes in the first entry of a life; nothing of an earlier one of the same replica holds for it.
    fn insert_incarnation(&self, entry: ReplicaEntry) {
        self.log_new_incarnation(&entry);
        let replica = Replica::new(entry);
        let mut by_id = self.by_id.borrow_mut();
        if let Some(earlier) = by_id.insert(replica.id().to_owned(), replica) {
            earlier.pool.clear();
        }
    }

    /// Tells of a new life; of a long first list only of the beginning, see [`Registry::log_first_list`].
    fn log_new_incarnation(&self, entry: &ReplicaEntry) {
        if self.is_empty() {
            self.first_list_count.set(self.first_list_count.get() + 1);
            if self.first_list_count.get() > MAX_FIRST_LIST_LOG_LINES {
                return;
            }
        }
        log_event!(
            gateway::REPLICA_SEEN,
            "replica={} born={:?} service={} address={} zone={} models={:?}",
            entry.incarnation.id,
            entry.incarnation.born,
            entry.service,
            entry.address,
            entry.zone,
            entry.models
        );
    }

    /// Tells how many replicas the first list had, where not each has a line, once it is in force.
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

    /// Takes in that an entry is gone; it counts from [`Registry::rebuild_index`] on. Where `keep_until` is given,
    /// the entry may come back, and its replica stays in use until then, unless it was leaving. True where it stays.
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

    /// Removes the replicas whose entries have not come back by `now`; true where there are any. It counts
    /// from [`Registry::rebuild_index`] on.
    pub fn remove_lapsed(&self, now: Instant) -> bool {
        let mut without_entry = self.without_entry.borrow_mut();
        let mut has_any = false;
        without_entry.retain(|id| {
            let known = self.get(id).filter(|known| known.is_without_entry());
            let has_lapsed = known.as_ref().is_some_and(|known| known.has_lapsed(now));
            if has_lapsed {
                self.drop_replica(id, RemovalReason::NotBack);
                has_any = true;
            }
            known.is_some() && !has_lapsed
        });
        has_any
    }

    /// When the next replica goes out of use whose entry does not come back.
    pub fn next_lapse(&self) -> Option<Instant> {
        let without_entry = self.without_entry.borrow();
        let lapses = without_entry
            .iter()
            .filter_map(|id| self.get(id)?.lapses_at());
        lapses.min()
    }

    /// Puts what was taken in into force.
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

    /// Remembers that a service has replicas that say when their lives began, where this entry does.
    fn record_birth_reporting(&self, entry: &ReplicaEntry) {
        let mut services = self.services_with_births.borrow_mut();
        let is_new = entry.incarnation.born.is_some() && !services.contains(&entry.service);
        if is_new && services.len() < MAX_SERVICES_WITH_BIRTHS {
            services.insert(entry.service.clone());
        }
    }

    /// Whether the entry of a replica says of its life what is asked for; else another writer may have written it.
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

/// Why a replica is out of use for good.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RemovalReason {
    /// Its entry is gone while the store was there.
    Left,
    /// Its entry lapsed, and has not come back in time.
    NotBack,
}

/// Logs a change that matters for the choice; the count of orders alone does not.
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
