//! The state of forwarding at one gateway.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use driftspring_clock::Instant;
use rand::Rng;
use tokio::sync::Notify;

use super::offers::Offers;
use crate::peers::message::{WireDaemon, WireForwardQuery};

/// Requests of other gateways that are open at a time, per core of the machine: twenty open streams of 20 events a second
/// and two hops each cost about a twentieth of a core.
const TAKEN_PER_CORE: f64 = 400.0;

/// The same at the least.
const MIN_TAKEN: u32 = 16;

/// A query that was sent.
#[derive(Debug, Clone)]
pub(super) struct SentQuery {
    pub(super) peer: WireDaemon,
    pub(super) sent_at: Instant,
}

/// The state of forwarding at one gateway.
#[derive(Debug)]
pub struct Forwarding {
    /// Whether requests are forwarded and taken.
    pub is_enabled: bool,
    /// The offers of others.
    pub offers: Offers,
    /// Wakes what waits for an offer.
    pub offers_changed: Notify,
    /// Proves that a request comes from a gateway: only gateways are told it.
    pub(super) token: u128,
    /// The port on which requests of others are taken; none while none are.
    pub(super) port: Cell<Option<u16>>,
    /// Requests of others that are open here.
    pub(super) taken: Cell<u32>,
    max_taken: u32,
    pub(super) sent_queries: RefCell<HashMap<u64, SentQuery>>,
    pub(super) outbox: RefCell<Vec<(WireForwardQuery, String)>>,
    pub(super) outbox_changed: Notify,
}

impl Forwarding {
    /// The state of a gateway whose machine has `cores` cores.
    pub fn new(is_enabled: bool, cores: f64) -> Self {
        Self {
            is_enabled,
            offers: Offers::default(),
            offers_changed: Notify::new(),
            token: rand::rng().random(),
            port: Cell::new(None),
            taken: Cell::new(0),
            max_taken: ((cores * TAKEN_PER_CORE) as u32).max(MIN_TAKEN),
            sent_queries: RefCell::default(),
            outbox: RefCell::default(),
            outbox_changed: Notify::new(),
        }
    }

    /// Number of further requests of others that may be open here.
    pub fn room(&self) -> u32 {
        self.max_taken.saturating_sub(self.taken.get())
    }
}
