//! Tells other daemons of news without being asked.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use super::known::Peers;
use super::message::{Loading, Message, StoreRecovered};
use super::send::{send, send_to, send_to_group};
use super::source::other_groups_first;
use crate::state::GatewayState;

/// For how long a daemon that asked is told of news.
const FOLLOWER_MEMORY: Duration = Duration::from_millis(1600);

/// How long news are gathered before others are told.
const NEWS_GATHERING: Duration = Duration::from_millis(15);

/// Tells followers that there are news, and all daemons how loads go, for ever.
pub(super) async fn tell_news(state: Rc<GatewayState>, socket: Rc<tokio::net::UdpSocket>) {
    loop {
        state.peers.news.notified().await;
        tokio::time::sleep(NEWS_GATHERING).await;
        let loadings = std::mem::take(&mut *state.peers.outbox.borrow_mut());
        for loading in loadings {
            let message = |pass_on| {
                let loading = loading.clone();
                Message::Loading(Loading { pass_on, ..loading })
            };
            broadcast(&state, &socket, message).await;
        }
        let prompts = std::mem::take(&mut *state.peers.prompts.borrow_mut());
        if !prompts.is_empty() {
            let daemons = state.peers.daemons();
            send_to_group(&state, &socket, &daemons, &Message::Prompts(prompts)).await;
        }
        if state.peers.store_recovered.replace(false) {
            let message = |pass_on| Message::StoreRecovered(StoreRecovered { pass_on });
            broadcast(&state, &socket, message).await;
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

/// Sends a message to the own group, and to the first of each other group, which passes it on: `message` is
/// made with whether the receiver does that.
async fn broadcast(
    state: &GatewayState,
    socket: &tokio::net::UdpSocket,
    message: impl Fn(bool) -> Message,
) {
    let daemons = state.peers.daemons();
    send_to_group(state, socket, &daemons, &message(false)).await;
    for first in other_groups_first(&daemons, &state.peers.own) {
        send(socket, &message(true), &first.peers).await;
    }
}
