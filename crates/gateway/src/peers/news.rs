//! Sends changes to other gateways without a query.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::known::{MAX_PROMPTS, Peers};
use super::message::{Message, Report};
use super::send::{send, send_to, send_to_all, send_to_group};
use super::socket::PeerSocket;
use super::spread::spread;
use crate::state::GatewayState;

/// How long after its last query a gateway is notified of changes.
const FOLLOWER_RETENTION: Duration = Duration::from_millis(1600);

/// How long changes are batched.
const BATCH_DELAY: Duration = Duration::from_millis(15);

/// The maximum size of a group in which each member sends its prompts to all others directly, which is fastest. In a
/// larger group they go through its leader: at 860 prompts per second, each of 59 members would send 170 datagrams per
/// second and receive as many.
const MAX_DIRECT_MEMBERS: usize = 32;

/// Notifies followers of changes, and reports weight loads, prompts and a recovered store, in an endless loop.
pub(super) async fn send_news(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        state.peers.outbox_changed.notified().await;
        tokio::time::sleep(BATCH_DELAY).await;
        let statuses = std::mem::take(&mut *state.peers.load_statuses.borrow_mut());
        for status in statuses {
            send_to_other_groups(&state, &socket, &Message::LoadStatus(status.clone())).await;
            spread(&state, &socket, Report::LoadStatus(status)).await;
        }
        send_prompts(&state, &socket).await;
        if state.peers.must_announce_store.replace(false) {
            send_to_other_groups(&state, &socket, &Message::StoreRecovered).await;
            spread(&state, &socket, Report::StoreRecovered).await;
        }
        if state.peers.must_announce_changes.replace(false) {
            for follower in recent_followers(&state.peers) {
                send_to(&socket, &Message::ChangesAvailable, follower).await;
            }
        }
    }
}

fn recent_followers(peers: &Peers) -> Vec<SocketAddr> {
    let mut followers = peers.followers.borrow_mut();
    followers.retain(|_, asked| asked.elapsed() < FOLLOWER_RETENTION);
    followers.keys().copied().collect()
}

/// Reports this gateway's own prompts to the group: directly if it is small, otherwise through its leader.
async fn send_prompts(state: &GatewayState, socket: &PeerSocket) {
    let prompts = std::mem::take(&mut *state.peers.prompts.borrow_mut());
    if prompts.is_empty() {
        return;
    }
    let is_direct = state.peers.directory().group.len() <= MAX_DIRECT_MEMBERS;
    if is_direct {
        for batch in prompts.chunks(MAX_PROMPTS) {
            send_to_group(state, socket, &Message::Prompts(batch.to_vec())).await;
        }
        return;
    }
    if state.peers.is_leader.get() {
        return state.peers.prompt_relay.forward_to_group(&prompts);
    }
    let leader = state.peers.leader.borrow().clone();
    if let Some(leader) = leader {
        for batch in prompts.chunks(MAX_PROMPTS) {
            let message = Message::PromptsForLeader(batch.to_vec());
            send(socket, &message, &leader).await;
        }
    }
}

/// Sends a message to one gateway of each other group, which forwards it.
pub(super) async fn send_to_other_groups(
    state: &GatewayState,
    socket: &PeerSocket,
    message: &Message,
) {
    let directory = state.peers.directory();
    let relays = state.peers.relays.targets(&directory, Instant::now());
    send_to_all(socket, message, relays.iter().map(String::as_str)).await;
}
