//! Asks other gateways for offers while a path is lost, and answers such queries.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::candidates::{WANTED_OFFERS, candidates, next_asked};
use super::offers::{OFFER_LIFETIME, Offer};
use super::state::SentQuery;
use crate::peers::message::{WireForwardOffer, WireForwardQuery};
use crate::reachability::{self, Doubt};
use crate::state::GatewayState;

/// Time between two rounds of queries while enough gateways offer to take requests.
const RENEW_INTERVAL: Duration = Duration::from_millis(400);

/// The same while too few do.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// Maximum number of services in a query, which keeps it below the size limit of a datagram.
const MAX_ASKED_SERVICES: usize = 16;

/// How recent an answer of a replica must be for its service to count as reachable.
const EVIDENCE_AGE: Duration = Duration::from_secs(2);

/// Asks for offers whenever a path is lost; runs as long as the gateway.
pub(crate) async fn run(state: Rc<GatewayState>) {
    if !state.forwarding.is_enabled {
        return;
    }
    loop {
        let changed = state.paths.changed.notified();
        if state.paths.lost().is_empty() {
            changed.await;
        }
        ask_while_lost(&state).await;
        state.forwarding.offers.clear();
        state.forwarding.sent_queries.borrow_mut().clear();
    }
}

async fn ask_while_lost(state: &GatewayState) {
    let forwarding = &state.forwarding;
    let mut cursor = 0;
    loop {
        let lost = state.paths.lost();
        if lost.is_empty() {
            return;
        }
        let now = Instant::now();
        let usable: Vec<Vec<String>> = lost
            .iter()
            .map(|service| forwarding.offers.usable(service, now))
            .collect();
        let mut in_use = usable.concat();
        in_use.sort_unstable();
        in_use.dedup();
        let others = candidates(&state.peers.directory(), state.peers.own());
        let mut services = lost;
        services.truncate(MAX_ASKED_SERVICES);
        for peer in next_asked(&others, &in_use, &mut cursor) {
            let nonce = state.peers.next_nonce();
            let query = WireForwardQuery {
                nonce,
                services: services.clone(),
            };
            let address = peer.peers.clone();
            let sent = SentQuery { peer, sent_at: now };
            forwarding.sent_queries.borrow_mut().insert(nonce, sent);
            forwarding.outbox.borrow_mut().push((query, address));
        }
        forwarding.outbox_changed.notify_one();
        let is_current =
            |sent: &SentQuery| now.saturating_duration_since(sent.sent_at) < OFFER_LIFETIME;
        forwarding
            .sent_queries
            .borrow_mut()
            .retain(|_, sent| is_current(sent));
        let wanted = WANTED_OFFERS.min(others.len());
        let has_enough = usable
            .iter()
            .all(|usable| usable.len() >= wanted.div_ceil(2));
        let pause = match has_enough {
            true => RENEW_INTERVAL,
            false => SEARCH_INTERVAL,
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.paths.changed.notified() => {}
        }
    }
}

/// Sends the queries that [`run`] has queued, in an endless loop.
pub(crate) async fn send_queries(
    state: Rc<GatewayState>,
    send: impl AsyncFn(WireForwardQuery, String),
) {
    let forwarding = &state.forwarding;
    loop {
        forwarding.outbox_changed.notified().await;
        for (query, to) in forwarding.outbox.take() {
            send(query, to).await;
        }
    }
}

/// The answer to a query from `from`; none if this gateway takes no requests, or does not know the sender.
pub(crate) fn answer_query(
    state: &Rc<GatewayState>,
    query: &WireForwardQuery,
    from: SocketAddr,
) -> Option<WireForwardOffer> {
    let forwarding = &state.forwarding;
    let port = forwarding.port.get()?;
    let address = from.to_string();
    let is_known = state
        .peers
        .directory()
        .all()
        .any(|daemon| daemon.peers == address);
    if !is_known {
        log::debug!("a query for offers from {from}, which is no known gateway");
        return None;
    }
    let services = query.services.iter().take(MAX_ASKED_SERVICES);
    let reachable = services.filter(|service| reaches(state, service)).cloned();
    let room = match state.status.is_stopping() {
        true => 0,
        false => forwarding.room(),
    };
    Some(WireForwardOffer {
        nonce: query.nonce,
        token: forwarding.token,
        port,
        room,
        reachable: reachable.collect(),
        binds_streams: true,
    })
}

/// Whether replicas of the service have answered lately. Where that is unknown, they are probed for the next query.
fn reaches(state: &Rc<GatewayState>, service: &str) -> bool {
    if state.registry.of_service(service).is_empty() {
        return false;
    }
    let path = state.paths.of(service);
    if path.is_lost() {
        return false;
    }
    let now = Instant::now();
    let is_proved = path.is_proved_within(EVIDENCE_AGE, now);
    if !is_proved {
        reachability::doubt(state, service, &path, Doubt::Question);
    }
    is_proved
}

/// Records the offer in the answer to a query of this gateway.
pub(crate) fn apply_offer(state: &GatewayState, offer: WireForwardOffer, from: SocketAddr) {
    let forwarding = &state.forwarding;
    let Some(query) = forwarding.sent_queries.borrow_mut().remove(&offer.nonce) else {
        return;
    };
    if query.peer.peers != from.to_string() {
        log::debug!("an offer of {} came from {from}", query.peer.name);
        return;
    }
    forwarding.offers.record(Offer {
        is_in_own_zone: query.peer.zone == state.settings.zone,
        peer: query.peer.name,
        address: SocketAddr::new(from.ip(), offer.port),
        token: offer.token,
        room: offer.room,
        reachable: offer.reachable,
        binds_streams: offer.binds_streams,
        asked_at: query.sent_at,
    });
    forwarding.offers_changed.notify_waiters();
}
