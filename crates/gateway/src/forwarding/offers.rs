//! The offers of other gateways to bring requests to replicas, and the choice among them.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use crate::upstream::Pool;

/// How long an offer holds, from the moment at which it was asked for. It is renewed several times meanwhile.
pub const OFFER_LIFETIME: Duration = Duration::from_millis(1200);

/// How long a gateway that failed or declined a request gets no further ones.
pub const DECLINE_PAUSE: Duration = Duration::from_millis(500);

/// How long a gateway gets no further requests whose answer has an element without end.
pub const ENDLESS_PAUSE: Duration = Duration::from_secs(2);

/// The load of a gateway in the own zone, as a share of what it takes, up to which it is preferred over idle ones in other
/// zones.
const OTHER_ZONE_PENALTY: f64 = 0.25;

/// What another gateway offers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Offer {
    /// Its name.
    pub peer: String,
    /// Whether it is in the own zone.
    pub is_in_own_zone: bool,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Proves to it that a request comes from a gateway.
    pub token: u128,
    /// Number of further requests that it took when it answered.
    pub room: u32,
    /// The services that it reaches.
    pub reachable: Vec<String>,
    /// Whether it keeps streams to the software version that began them.
    pub binds_streams: bool,
    /// When it was asked.
    pub asked_at: Instant,
}

/// A gateway that has made an offer.
#[derive(Debug)]
pub struct UsablePeer {
    /// The latest offer.
    pub offer: Offer,
    /// Connections to it.
    pub pool: Rc<Pool>,
    open: Rc<Cell<u32>>,
    /// Kept for its next offers.
    paused_until: Rc<Cell<Option<Instant>>>,
}

impl UsablePeer {
    /// Keeps requests away from it for [`DECLINE_PAUSE`].
    pub fn pause(&self, now: Instant) {
        self.pause_until(now + DECLINE_PAUSE);
    }

    /// Keeps requests away from it for [`ENDLESS_PAUSE`].
    pub fn pause_as_endless(&self, now: Instant) {
        self.pause_until(now + ENDLESS_PAUSE);
    }

    fn pause_until(&self, until: Instant) {
        let later = self.paused_until.get().max(Some(until));
        self.paused_until.set(later);
    }

    fn is_usable(&self, service: &str, now: Instant) -> bool {
        let offer = &self.offer;
        let is_paused = self.paused_until.get().is_some_and(|until| now < until);
        let is_current = now.saturating_duration_since(offer.asked_at) < OFFER_LIFETIME;
        let reaches = offer.reachable.iter().any(|known| known == service);
        is_current && !is_paused && reaches && offer.room > 0
    }

    /// Own load after one more request, as a share of what it takes; gateways in other zones count as more loaded.
    fn cost(&self) -> f64 {
        let open = self.open.get() + 1;
        let load = f64::from(open) / f64::from(open + self.offer.room);
        match self.offer.is_in_own_zone {
            true => load,
            false => load + OTHER_ZONE_PENALTY,
        }
    }
}

/// Counts a request as open at another gateway until it is dropped.
#[derive(Debug)]
pub struct PeerUse {
    open: Rc<Cell<u32>>,
}

impl PeerUse {
    /// Counts one more request.
    pub fn begin(peer: &UsablePeer) -> Self {
        peer.open.set(peer.open.get() + 1);
        Self {
            open: Rc::clone(&peer.open),
        }
    }
}

impl Drop for PeerUse {
    fn drop(&mut self) {
        self.open.set(self.open.get().saturating_sub(1));
    }
}

/// The known offers, by gateway.
#[derive(Debug, Default)]
pub struct Offers {
    by_peer: RefCell<BTreeMap<String, Rc<UsablePeer>>>,
}

impl Offers {
    /// Records an offer; it replaces an earlier one of the same gateway.
    pub fn record(&self, offer: Offer) {
        let mut by_peer = self.by_peer.borrow_mut();
        let known = by_peer.get(&offer.peer);
        let same = known.filter(|known| known.offer.address == offer.address);
        let peer = UsablePeer {
            pool: same.map_or_else(|| Pool::new(offer.address), |known| Rc::clone(&known.pool)),
            open: same.map_or_else(Rc::default, |known| Rc::clone(&known.open)),
            paused_until: same.map_or_else(Rc::default, |known| Rc::clone(&known.paused_until)),
            offer,
        };
        by_peer.insert(peer.offer.peer.clone(), Rc::new(peer));
    }

    /// The gateway to which the next request for `service` should go. One that `is_bound` to a software version goes
    /// only to a gateway that respects this.
    pub fn choose(&self, service: &str, is_bound: bool, now: Instant) -> Option<Rc<UsablePeer>> {
        let by_peer = self.by_peer.borrow();
        let usable = by_peer
            .values()
            .filter(|peer| peer.is_usable(service, now))
            .filter(|peer| peer.offer.binds_streams || !is_bound);
        let best = usable.min_by(|one, other| one.cost().total_cmp(&other.cost()));
        best.cloned()
    }

    /// The names of the gateways that take requests for `service`.
    pub fn usable(&self, service: &str, now: Instant) -> Vec<String> {
        let by_peer = self.by_peer.borrow();
        let usable = by_peer.values().filter(|peer| peer.is_usable(service, now));
        usable.map(|peer| peer.offer.peer.clone()).collect()
    }

    /// Forgets all offers; closes idle connections.
    pub fn clear(&self) {
        self.by_peer.borrow_mut().clear();
    }
}
