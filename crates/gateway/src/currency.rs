//! Since when the configuration in force is known to be the newest.
//!
//! A read of the store that began at some moment proves that the configuration it returned was in force
//! at that moment or later. Times are of the steady clock: the time of day may jump.

use std::cell::Cell;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::Notify;

use crate::store::StorePosition;

/// A read that found a configuration to be the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// When it began.
    pub began: Instant,
    /// The store's position that it told; none where another daemon told of the read and not of that.
    pub position: Option<StorePosition>,
}

/// That another daemon holds a newer configuration.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct NewerVersion {
    /// Its version.
    pub version: u64,
    /// The read that found it to be the newest.
    pub proof: Proof,
}

/// What is proved of the configuration.
#[derive(Debug, Default)]
pub struct Currency {
    /// The highest version that this daemon, or another one, is known to hold.
    highest: Cell<u64>,
    /// The highest such version that a read did not bring which began when it was known: the store has lost it.
    lost_version: Cell<u64>,
    /// Whether other daemons were asked at the start which version they hold, and have answered or were silent for too long.
    has_peer_answers: Cell<bool>,
    version_lost: Notify,
    peer_answers_arrived: Notify,
    newer: Cell<Option<NewerVersion>>,
    proof: Cell<Option<Proof>>,
    proof_requested: Notify,
    proved: Notify,
}

impl Currency {
    /// Nothing is proved yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in that some daemon holds this version.
    pub fn note_version(&self, version: u64) {
        self.highest.set(self.highest.get().max(version));
    }

    /// The highest version that some daemon is known to hold.
    pub fn highest(&self) -> u64 {
        self.highest.get()
    }

    /// Takes in that the store, asked when `version` was known to be held by some daemon, has an older one.
    pub fn note_lost_version(&self, version: u64) {
        self.lost_version.set(self.lost_version.get().max(version));
        self.version_lost.notify_one();
    }

    /// Waits until the store was found to have lost a version.
    pub async fn version_lost(&self) {
        self.version_lost.notified().await;
    }

    /// Takes in that what other daemons knew at the start is known.
    pub fn note_peer_answers(&self) {
        self.has_peer_answers.set(true);
        self.peer_answers_arrived.notify_waiters();
    }

    /// Whether what other daemons knew at the start is known. Before, a proof by an own read says little: the store may be a
    /// copy that lacks the newest configuration.
    pub fn has_peer_answers(&self) -> bool {
        self.has_peer_answers.get()
    }

    /// Waits for that, up to `timeout`; whether it is so.
    pub async fn until_peer_answers(&self, timeout: Duration) -> bool {
        if self.has_peer_answers() {
            return true;
        }
        let arrived = self.peer_answers_arrived.notified();
        tokio::time::timeout(timeout, arrived).await.is_ok()
    }

    /// Whether a daemon that holds `version` knows less than others do, which the store can't tell it: nobody may be served
    /// by it whose key may have been taken away.
    pub fn is_outdated(&self, version: u64) -> bool {
        version < self.lost_version.get()
    }

    /// Takes in a read that returned no newer version than `version`, which is in force; false where that proves nothing:
    /// another daemon holds a newer one, which a store that came back from a copy has lost.
    pub fn prove(&self, version: u64, proof: Proof) -> bool {
        if version < self.highest.get() {
            return false;
        }
        let is_newer = |known: Proof| known.began < proof.began;
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

    /// The newest proof.
    pub fn proof(&self) -> Option<Proof> {
        self.proof.get()
    }

    /// How old the newest proof is.
    pub fn age(&self) -> Option<Duration> {
        self.proof().map(|proof| proof.began.elapsed())
    }

    /// Whether there is a proof that is not older than `age`.
    pub fn is_within(&self, age: Duration) -> bool {
        self.age().is_some_and(|known| known <= age)
    }

    /// Waits until somebody wants a new proof.
    pub async fn proof_requested(&self) {
        self.proof_requested.notified().await;
    }

    /// Asks for a proof.
    pub fn request_proof(&self) {
        self.proof_requested.notify_one();
    }

    /// Asks for a configuration that another daemon holds already.
    pub fn request_version(&self, newer: NewerVersion) {
        self.note_version(newer.version);
        self.newer.set(Some(newer));
        self.proof_requested.notify_one();
    }

    /// The configuration that was asked for, once.
    pub fn take_requested_version(&self) -> Option<NewerVersion> {
        self.newer.take()
    }

    /// Asks for a proof that is not older than `age`, and waits for it up to `timeout`.
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
