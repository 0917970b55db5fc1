//! Tells other daemons of news without being asked.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;

use super::known::Peers;
use super::message::{Message, Report};
use super::send::{send, send_to, send_to_all, send_to_group};
use super::spread::spread;
use crate::state::GatewayState;

/// For how long a daemon that asked is told of news.
const FOLLOWER_MEMORY: Duration = Duration::from_millis(1600);

/// How long news are gathered before others are told.
const NEWS_GATHERING: Duration = Duration::from_millis(15);

/// Members of a group up to which each one sends its prompts to all others, which is the soonest. In a larger group
/// they go through its leader: of 860 prompts a second, each of 59 members would send 170 datagrams a second and
/// receive as many.
const MOST_TOLD_DIRECTLY: usize = 32;

/// Tells followers that there are news, and all daemons how loads go, for ever.
pub(super) async fn tell_news(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>) {
    loop {
        state.peers.news.notified().await;
        tokio::time::sleep(NEWS_GATHERING).await;
        let loadings = std::mem::take(&mut *state.peers.outbox.borrow_mut());
        for loading in loadings {
            tell_other_groups(&state, &socket, &Message::Loading(loading.clone())).await;
            spread(&state, &socket, Report::Loading(loading)).await;
        }
        tell_prompts(&state, &socket).await;
        if state.peers.store_recovered.replace(false) {
            tell_other_groups(&state, &socket, &Message::StoreRecovered).await;
            spread(&state, &socket, Report::StoreRecovered).await;
        }
        if state.peers.nudges.replace(false) {
            for follower in recent_followers(&state.peers) {
                send_to(&socket, &Message::Nudge, follower).await;
            }
        }
    }
}

fn recent_followers(peers: &Peers) -> Vec<SocketAddr> {
    let mut followers = peers.followers.borrow_mut();
    followers.retain(|_, asked| asked.elapsed() < FOLLOWER_MEMORY);
    followers.keys().copied().collect()
}

/// Tells the group of this daemon's own prompts: directly where it is small, else through its leader.
async fn tell_prompts(state: &GatewayState, socket: &tokio::net::UdpSocket) {
    let prompts = std::mem::take(&mut *state.peers.prompts.borrow_mut());
    if prompts.is_empty() {
        return;
    }
    let is_direct = state.peers.directory().group.len() <= MOST_TOLD_DIRECTLY;
    if is_direct {
        return send_to_group(state, socket, &Message::Prompts(prompts)).await;
    }
    if state.peers.is_leader.get() {
        return state.peers.far.pass_on(&prompts);
    }
    let leader = state.peers.leader.borrow().clone();
    if let Some(leader) = leader {
        send(socket, &Message::GatherPrompts(prompts), &leader).await;
    }
}

/// Sends a message to one daemon of each other group, which passes it on.
pub(super) async fn tell_other_groups(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
    message: &Message,
) {
    let directory = state.peers.directory();
    let relays = state.peers.relays.targets(&directory, Instant::now());
    send_to_all(socket, message, relays.iter().map(String::as_str)).await;
}
