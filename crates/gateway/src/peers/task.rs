//! Asks, answers and tells for ever.

use std::net::UdpSocket;
use std::rc::Rc;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use tokio::sync::mpsc::{channel, unbounded_channel};

use super::answer::{AnswerQueues, listen};
use super::ask::ask;
use super::cached;
use super::configuration;
use super::far;
use super::news::tell_news;
use super::notices;
use super::permits;
use super::records;
use super::usage;
use crate::state::GatewayState;
use crate::store;

/// Asks, answers and tells for ever.
pub async fn run(state: Rc<GatewayState>, socket: UdpSocket) {
    let socket = match tokio::net::UdpSocket::from_std(socket) {
        Ok(socket) => Rc::new(socket),
        Err(error) => {
            log_event!(gateway::PEER_LOST, "no socket for peers: {error}");
            return;
        }
    };
    let is_listed = store::join_daemons(&state).await;
    log::debug!("daemons listed at the start: {is_listed}");
    let (tells, told) = unbounded_channel();
    let (cached_pages, pages) = unbounded_channel();
    let (configuration_pieces, told_configurations) = channel(configuration::MAX_QUEUED);
    let answers = AnswerQueues {
        tells,
        cached_pages,
        configuration_pieces,
    };
    ntex::rt::spawn(listen(Rc::clone(&state), Rc::clone(&socket), answers));
    ntex::rt::spawn(cached::tell(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(cached::catch_up(
        Rc::clone(&state),
        Rc::clone(&socket),
        pages,
    ));
    ntex::rt::spawn(configuration::exchange(
        Rc::clone(&state),
        Rc::clone(&socket),
        told_configurations,
    ));
    ntex::rt::spawn(tell_news(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(far::run(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(records::tell(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(notices::tell(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(permits::ask(Rc::clone(&state), Rc::clone(&socket)));
    ntex::rt::spawn(usage::tell(Rc::clone(&state), Rc::clone(&socket)));
    ask(state, socket, told).await;
}
