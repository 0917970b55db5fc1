//! The lease object in a store that can be restored from a copy.

// Each test file uses only a part of this module.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::time::Duration;

use driftspring_gateway::protocol::{LeaseRecord, ObjectContent, StoredObject, WriteAnswer};
use driftspring_gateway::rollout::{LeaseAction, OrderLease, lease_times};
use driftspring_gateway::store::{StoreEra, StorePosition};

/// Minimum time between orders of two holders.
pub const DISTANCE: Duration = Duration::from_secs(3);

/// A store that holds only the lease object; unrelated writes raise its revision too.
#[derive(Debug, Clone)]
pub struct Store {
    /// Current era.
    pub era: u64,
    /// Current revision.
    pub revision: u64,
    object: Option<(u64, LeaseRecord)>,
    /// The object at each revision.
    history: BTreeMap<u64, Option<(u64, LeaseRecord)>>,
}

impl Store {
    /// Creates an empty store in its first era.
    pub fn new() -> Self {
        Self {
            era: 1,
            revision: 0,
            object: None,
            history: BTreeMap::from([(0, None)]),
        }
    }

    /// Current position.
    pub fn position(&self) -> StorePosition {
        self.at(self.revision)
    }

    fn at(&self, revision: u64) -> StorePosition {
        StorePosition {
            era: StoreEra::named(self.era),
            revision,
        }
    }

    /// The lease object with its position.
    pub fn lease(&self) -> Option<(StorePosition, LeaseRecord)> {
        let (revision, record) = self.object.clone()?;
        Some((self.at(revision), record))
    }

    /// Writes the lease on condition of its revision, regardless of the era of the expected position.
    pub fn write(&mut self, record: &LeaseRecord, expected: Option<StorePosition>) -> WriteAnswer {
        let known = self.object.as_ref().map(|(revision, _)| *revision);
        if known != expected.map(|expected| expected.revision) {
            let object = self.lease().map(|(position, record)| StoredObject {
                name: "weights".to_owned(),
                position,
                content: Ok(ObjectContent::Lease(record)),
            });
            return WriteAnswer::Conflict(object);
        }
        self.revision += 1;
        self.object = Some((self.revision, record.clone()));
        self.history.insert(self.revision, self.object.clone());
        WriteAnswer::Accepted(self.position())
    }

    /// Performs `times` writes of other objects.
    pub fn write_unrelated(&mut self, times: u64) {
        for _ in 0..times {
            self.revision += 1;
            self.history.insert(self.revision, self.object.clone());
        }
    }

    /// Restores the copy that was made at `revision`, in a new era.
    pub fn restore_copy(&mut self, revision: u64) {
        self.history.retain(|known, _| *known <= revision);
        self.object = self.history[&revision].clone();
        self.revision = revision;
        self.era += 1;
    }
}

/// Creates a gateway on `machine` that has read the lease at `now`.
pub fn gateway(machine: &str, incarnation: u64, store: &Store, now: Duration) -> OrderLease {
    let mut lease = OrderLease::new(machine, incarnation, lease_times(DISTANCE));
    read(&mut lease, store, now);
    lease
}

/// Lets the gateway read the lease at `now`.
pub fn read(lease: &mut OrderLease, store: &Store, now: Duration) {
    lease.on_store_position(now, store.position());
    lease.on_list(now, store.lease());
}

/// Lets the gateway take the next step to acquire the lease; returns the token if it holds the lease afterwards.
pub fn step(lease: &mut OrderLease, store: &mut Store, now: Duration) -> Option<u64> {
    match lease.next_action(now, Duration::ZERO) {
        LeaseAction::Hold(token) => Some(token),
        LeaseAction::Wait(_) => None,
        LeaseAction::Write { record, expected } => {
            let answer = store.write(&record, expected);
            lease.on_write(record, now, now, answer);
            lease.token_at(now)
        }
    }
}

/// Takes a step every 50 ms until the gateway holds the lease or `until` is reached; returns the time at which it held
/// the lease and the token.
pub fn acquire(
    lease: &mut OrderLease,
    store: &mut Store,
    mut now: Duration,
    until: Duration,
) -> Option<(Duration, u64)> {
    while now < until {
        if let Some(token) = step(lease, store, now) {
            return Some((now, token));
        }
        now += Duration::from_millis(50);
    }
    None
}

pub fn at(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}
