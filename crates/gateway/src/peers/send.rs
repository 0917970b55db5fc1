//! Sends datagrams to other daemons.

use std::net::SocketAddr;

use super::message::{Message, WireDaemon};
use super::source::ranked_group;
use crate::state::GatewayState;

/// Sends to every other daemon of the own group.
pub(super) async fn send_to_group(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
    daemons: &[WireDaemon],
    message: &Message,
) {
    let own = &state.peers.own;
    for daemon in ranked_group(daemons, own) {
        if daemon.name != own.name {
            send(socket, message, &daemon.peers).await;
        }
    }
}

/// Sends to an address as daemons tell it.
pub(super) async fn send(socket: &tokio::net::UdpSocket, message: &Message, to: &str) {
    if let Ok(to) = to.parse() {
        send_to(socket, message, to).await;
    }
}

/// A datagram that can't be sent is lost like any other: the next question makes up for it.
pub(super) async fn send_to(socket: &tokio::net::UdpSocket, message: &Message, to: SocketAddr) {
    if let Some(bytes) = message.encode() {
        let _ = socket.send_to(&bytes, to).await;
    }
}
