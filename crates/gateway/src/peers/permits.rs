//! Sends permit queries, and replies to those of others ([`crate::permits`]).

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::convert::to_ms;
use super::directory::name_digest;
use super::message::{Message, WirePermitQuery, WirePermitReply};
use super::send::{send, send_to};
use super::socket::PeerSocket;
use crate::permits;
use crate::protocol::RequestRate;
use crate::state::GatewayState;

/// Sends permit queries in an endless loop.
pub(super) async fn send_queries(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    let questions = &state.permits.queries;
    loop {
        questions.outbox_changed.notified().await;
        for (query, to) in questions.take_outbox() {
            send(&socket, &Message::PermitQuery(query), &to).await;
        }
    }
}

/// Replies to a permit query.
pub(super) async fn answer(
    state: &Rc<GatewayState>,
    socket: &PeerSocket,
    query: &WirePermitQuery,
    from: SocketAddr,
) {
    let rate = query.limit_thousandths.map(RequestRate::from_thousandths);
    let issued = match rate {
        Some(rate) => permits::issue(state, query.incarnation, rate),
        None => Err(Duration::ZERO),
    };
    let wait = issued.err().unwrap_or_default();
    let reply = WirePermitReply {
        nonce: query.nonce,
        daemon: name_digest(&state.peers.own().name),
        is_granted: issued.is_ok(),
        wait_ms: to_ms(wait),
    };
    send_to(socket, &Message::PermitReply(reply), from).await;
}

/// Applies a reply.
pub(super) fn apply(state: &GatewayState, reply: WirePermitReply) {
    state.permits.record_answer(reply.daemon);
    state.permits.queries.complete(reply);
}
