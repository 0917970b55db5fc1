//! Tracks how current the configuration in force is: the latest time at which it is proved to be the newest.
//!
//! A read of the store proves that the configuration it returned was the newest when the read started. Times are those of the
//! monotonic clock, since the wall clock may jump.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

use crate::store::StorePosition;

/// A read of the store that proved a configuration to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// When the read started.
    pub started_at: Instant,
    /// The store's position that the read returned; `None` if another gateway reported the read without its position.
    pub position: Option<StorePosition>,
}

/// A newer configuration that another gateway has.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewerVersion {
    /// The configuration's version.
    pub version: u64,
    /// The read that proved it to be the newest.
    pub proof: Proof,
}

/// The proofs of the configuration in force, and the versions that other gateways have.
#[derive(Debug, Default)]
pub struct Currency {
    /// The highest version that any gateway is known to have.
    highest: Cell<u64>,
    /// The highest version that the store is known to have lost: a read that started after the version was known returned an
    /// older one.
    lost_version: Cell<u64>,
    /// Whether the query at the start for the versions of other gateways is complete, by answers or by timeout.
    has_peer_answers: Cell<bool>,
    version_lost: Notify,
    peer_answers_arrived: Notify,
    newer: Cell<Option<NewerVersion>>,
    proof: Cell<Option<Proof>>,
    proof_requested: Notify,
    proved: Notify,
}

impl Currency {
    /// Creates a state without any proof.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that some gateway has this version.
    pub fn note_version(&self, version: u64) {
        self.highest.set(self.highest.get().max(version));
    }

    /// The highest version that any gateway is known to have.
    pub fn highest(&self) -> u64 {
        self.highest.get()
    }

    /// Records that the store has lost `version`: a read that started when some gateway was known to have it returned an older one.
    pub fn note_lost_version(&self, version: u64) {
        self.lost_version.set(self.lost_version.get().max(version));
        self.version_lost.notify_one();
    }

    /// Waits until the store is found to have lost a version.
    pub async fn version_lost(&self) {
        self.version_lost.notified().await;
    }

    /// Records that the query at the start for the versions of other gateways is complete.
    pub fn note_peer_answers(&self) {
        self.has_peer_answers.set(true);
        self.peer_answers_arrived.notify_waiters();
    }

    /// Whether the query at the start for the versions of other gateways is complete. Before that, a proof by an own read is weak:
    /// the store may be a copy that lacks the newest configuration.
    pub fn has_peer_answers(&self) -> bool {
        self.has_peer_answers.get()
    }

    /// Waits up to `timeout` for the end of that query; returns whether it is complete.
    pub async fn until_peer_answers(&self, timeout: Duration) -> bool {
        if self.has_peer_answers() {
            return true;
        }
        let arrived = self.peer_answers_arrived.notified();
        tokio::time::timeout(timeout, arrived).await.is_ok()
    }

    /// Whether a gateway with `version` lacks a newer one that the store has lost. It must not serve callers whose keys may have
    /// been revoked.
    pub fn is_outdated(&self, version: u64) -> bool {
        version < self.lost_version.get()
    }

    /// Records a read that returned no newer version than `version`, the one in force. Returns false if that proves nothing because
    /// another gateway has a newer version, which a store restored from a copy has lost.
    pub fn prove(&self, version: u64, proof: Proof) -> bool {
        if version < self.highest.get() {
            return false;
        }
        let is_newer = |known: Proof| known.started_at < proof.started_at;
        if self.proof.get().is_none_or(is_newer) {
            self.proof.set(Some(proof));
        }
        self.proved.notify_waiters();
        true
    }

    /// Waits for the first proof.
    pub async fn until_proved(&self) {
        while self.proof().is_none() {
            self.proved.notified().await;
        }
    }

    /// The proof by the latest read.
    pub fn proof(&self) -> Option<Proof> {
        self.proof.get()
    }

    /// The age of the newest proof.
    pub fn age(&self) -> Option<Duration> {
        self.proof().map(|proof| proof.started_at.elapsed())
    }

    /// Whether there is a proof that is no older than `age`.
    pub fn is_within(&self, age: Duration) -> bool {
        self.age().is_some_and(|known| known <= age)
    }

    /// Waits until a new proof is requested.
    pub async fn proof_requested(&self) {
        self.proof_requested.notified().await;
    }

    /// Requests a new proof.
    pub fn request_proof(&self) {
        self.proof_requested.notify_one();
    }

    /// Requests a configuration that another gateway already has.
    pub fn request_version(&self, newer: NewerVersion) {
        self.note_version(newer.version);
        self.newer.set(Some(newer));
        self.proof_requested.notify_one();
    }

    /// Takes the requested configuration, if any; each request is returned once.
    pub fn take_requested_version(&self) -> Option<NewerVersion> {
        self.newer.take()
    }

    /// Requests a proof that is no older than `age` and waits for it up to `timeout`; returns whether there is one.
    pub async fn confirm(&self, age: Duration, timeout: Duration) -> bool {
        let confirmed = async {
            while !self.is_within(age) {
                let proved = self.proved.notified();
                self.request_proof();
                proved.await;
            }
        };
        tokio::time::timeout(timeout, confirmed).await.is_ok()
    }
}
