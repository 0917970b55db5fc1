//! Sends records of streams and queries for them, and replies to those of others ([`crate::stream_versions`]).

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use driftspring_clock::Instant;

use super::convert::to_ms;
use super::directory::name_digest;
use super::message::{Message, WireStream, WireStreamQuery, WireStreamReply};
use super::send::{send, send_to};
use super::socket::PeerSocket;
use crate::state::GatewayState;
use crate::stream_versions::history::Versions;
use crate::stream_versions::{StreamKey, homes};

/// The number of records in a datagram, which keeps it below 1,200 bytes: each takes up to 50 of them.
const MAX_STREAMS: usize = 22;

/// Sends records and queries in an endless loop.
pub(super) async fn send_updates(state: Rc<GatewayState>, socket: Rc<PeerSocket>) {
    loop {
        state.streams.outbox_changed.notified().await;
        for (home, streams) in records_by_home(&state) {
            for streams in streams.chunks(MAX_STREAMS) {
                let message = Message::StreamsBegun(streams.to_vec());
                send(&socket, &message, &home).await;
            }
        }
        for (query, to) in state.streams.take_queries() {
            send(&socket, &Message::StreamQuery(query), &to).await;
        }
    }
}

/// The records to be sent, by the address of their homes.
fn records_by_home(state: &GatewayState) -> HashMap<String, Vec<WireStream>> {
    let now = Instant::now();
    let directory = state.peers.directory();
    let own = &state.peers.own().name;
    let mut by_home: HashMap<String, Vec<WireStream>> = HashMap::new();
    for (key, record) in state.streams.take_outbox() {
        for home in homes(&directory, key) {
            if home.name != *own {
                let records = by_home.entry(home.peers.clone()).or_default();
                records.push(WireStream::new(key, &record, now));
            }
        }
    }
    by_home
}

/// Keeps records of streams that another gateway relays.
pub(super) fn apply_begun(state: &GatewayState, streams: &[WireStream]) {
    let now = Instant::now();
    for stream in streams {
        let (key, record) = stream.to_record(now);
        state.streams.record_for_peer(key, record, now);
    }
}

/// Replies to a query.
pub(super) async fn answer(
    state: &GatewayState,
    socket: &PeerSocket,
    query: &WireStreamQuery,
    from: SocketAddr,
) {
    let now = Instant::now();
    let key = StreamKey::from_number(query.key);
    let record = state.streams.get(key, now);
    let known = state.streams.known_versions(state, query.service);
    let reply = WireStreamReply {
        nonce: query.nonce,
        daemon: name_digest(&state.peers.own().name),
        record: record.map(|record| WireStream::new(key, &record, now)),
        sole_version: match known.versions {
            Versions::One(version) => Some(version.0),
            Versions::None | Versions::Several => None,
        },
        has_several_versions: known.versions == Versions::Several,
        span_ms: Some(to_ms(known.span)),
        view_age_ms: known.view_age.map(to_ms),
    };
    send_to(socket, &Message::StreamReply(reply), from).await;
}
