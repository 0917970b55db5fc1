//! Sends datagrams to other gateways.

use std::io;
use std::net::SocketAddr;

use super::message::Message;
use super::socket::PeerSocket;
use crate::state::GatewayState;

/// Sends to every other gateway of the own group.
pub(super) async fn send_to_group(state: &GatewayState, socket: &PeerSocket, message: &Message) {
    let own = state.peers.own();
    let directory = state.peers.directory();
    let others = directory.group.iter();
    let others = others.filter(|daemon| daemon.name != own.name);
    send_to_all(socket, message, others.map(|daemon| daemon.peers.as_str())).await;
}

/// Sends to several addresses in text form; the datagram is encoded once.
pub(super) async fn send_to_all<'a>(
    socket: &PeerSocket,
    message: &Message,
    addresses: impl Iterator<Item = &'a str>,
) {
    let Some(bytes) = message.encode() else {
        return;
    };
    for address in addresses {
        send_bytes(socket, &bytes, address).await;
    }
}

/// Sends to an address in text form.
pub(super) async fn send(socket: &PeerSocket, message: &Message, to: &str) {
    if let Some(bytes) = message.encode() {
        send_bytes(socket, &bytes, to).await;
    }
}

/// Sends to a socket address.
pub(super) async fn send_to(socket: &PeerSocket, message: &Message, to: SocketAddr) {
    if let Some(bytes) = message.encode() {
        send_datagram(socket, &bytes, to).await;
    }
}

/// Sends the reply to a query, without the names of the deployment and the sender. After the loss of all gateways, hundreds ask
/// one of them for all replicas, and its link carries the replies.
pub(super) async fn send_reply(socket: &PeerSocket, message: &Message, to: SocketAddr) {
    if let Some(bytes) = message.encode() {
        note_failure(socket.send_reply(&bytes, to).await, to);
    }
}

/// Sends an encoded message to an address in text form.
pub(super) async fn send_bytes(socket: &PeerSocket, bytes: &[u8], to: &str) {
    if let Ok(to) = to.parse() {
        send_datagram(socket, bytes, to).await;
    }
}

async fn send_datagram(socket: &PeerSocket, bytes: &[u8], to: SocketAddr) {
    note_failure(socket.send_to(bytes, to).await, to);
}

/// A datagram that was not sent is lost like any other: the next query compensates for it.
fn note_failure(sent: io::Result<()>, to: SocketAddr) {
    if let Err(error) = sent {
        log::debug!("datagram to {to} not sent: {error}");
    }
}
