//! Starts the tasks that synchronize this gateway with its peers.

use std::net::UdpSocket;
use std::rc::Rc;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use tokio::sync::mpsc::{channel, unbounded_channel};

use super::answer::{ReplyQueues, listen};
use super::ask::ask;
use super::cached;
use super::configuration;
use super::forwarding;
use super::news::send_news;
use super::notices;
use super::permits;
use super::prompt_relay;
use super::records;
use super::shares;
use super::socket::PeerSocket;
use super::streams;
use super::usage;
use crate::state::GatewayState;
use crate::store;

/// Starts the tasks that synchronize this gateway with its peers.
pub async fn run(state: Rc<GatewayState>, socket: UdpSocket) {
    let socket = match tokio::net::UdpSocket::from_std(socket) {
        Ok(socket) => {
            let settings = &state.settings;
            let deployment = settings.deployment.as_deref();
            Rc::new(PeerSocket::new(socket, deployment, &settings.name))
        }
        Err(error) => {
            log_event!(gateway::PEER_LOST, "no socket for peers: {error}");
            return;
        }
    };
    let is_listed = store::register_gateway(&state).await;
    log::debug!("daemons listed at the start: {is_listed}");
    let (sync_replies, received_replies) = unbounded_channel();
    let (cached_replies, received_pages) = unbounded_channel();
    let (configuration_replies, received_configurations) =
        channel(configuration::MAX_QUEUED_REPLIES);
    let queues = ReplyQueues {
        sync_replies,
        cached_replies,
        configuration_replies,
    };
    ntex::rt::spawn(listen(Rc::clone(&state), Rc::clone(&socket), queues));
    ntex::rt::spawn(cached::send_updates(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(cached::catch_up(
        Rc::clone(&state),
        Rc::clone(&socket),
        received_pages,
    ));
    ntex::rt::spawn(configuration::exchange(
        Rc::clone(&state),
        Rc::clone(&socket),
        received_configurations,
    ));
    ntex::rt::spawn(send_news(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(prompt_relay::run(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(records::send_updates(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(notices::send_updates(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(permits::send_queries(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(forwarding::send_queries(
        Rc::clone(&state),
        Rc::clone(&socket),
    ));
    ntex::rt::spawn(streams::send_updates(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(usage::send_updates(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(shares::send_updates(Rc::clone(&state), Rc::clone(&socket)));
    ask(state, socket, received_replies).await;
}
