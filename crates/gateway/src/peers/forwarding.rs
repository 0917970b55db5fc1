//! Sends queries for offers to forward requests, and replies to those of others ([`crate::forwarding`]).

use std::net::SocketAddr;
use std::rc::Rc;

use super::message::{Message, WireForwardQuery};
use super::send::{send, send_to};
use super::socket::PeerSocket;
use crate::forwarding;
use crate::state::GatewayState;

/// Sends queries in an endless loop.
pub(super) async fn send_queries(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    forwarding::send_queries(state, async |query, to: String| {
        send(&socket, &Message::ForwardQuery(query), &to).await;
    })
    .await;
}

/// Replies to a query.
pub(super) async fn answer(
    state: &Rc<GatewayState>,
    socket: &PeerSocket,
    query: &WireForwardQuery,
    from: SocketAddr,
) {
    if let Some(offer) = forwarding::answer_query(state, query, from) {
        send_to(socket, &Message::ForwardOffer(offer), from).await;
    }
}
