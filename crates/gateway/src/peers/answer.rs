//! Receives datagrams: replies to queries of other gateways, and applies what they report.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::mpsc::{Sender, UnboundedSender};

use super::cached;
use super::change_log::{ChangeLog, LogPage};
use super::configuration;
use super::convert::to_ms;
use super::directory::short_digest;
use super::forwarding;
use super::message::{
    CachedReply, Change, ConfigurationReply, LoadStatus, Message, RECEIVE_BUFFER_BYTES, Report,
    SyncQuery, SyncReply, WireLease, WirePrompt, WireWeights,
};
use super::notices;
use super::packed::PackedReplicas;
use super::packed_pages::PAGE_BYTES;
use super::permits;
use super::records;
use super::send::{send_reply, send_to};
use super::socket::{Datagram, PeerSocket};
use super::spread::record_group_usage;
use super::spread::{self, spread};
use super::streams;
use crate::cache::PrefixKey;
use crate::protocol::{ModelVersion, UnreadableReason};
use crate::rollout::record_if_suspected;
use crate::state::GatewayState;
use crate::store::{Rejected, adopt_peer_era};
use crate::weights::Since;

const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(25);

/// Queues for the replies to own queries.
pub(super) struct ReplyQueues {
    /// Replies from the source.
    pub(super) sync_replies: UnboundedSender<SyncReply>,
    /// Pages of the contents of prompt-cache stores.
    pub(super) cached_replies: UnboundedSender<CachedReply>,
    /// Versions and pieces of configurations that others hold.
    pub(super) configuration_replies: Sender<ConfigurationReply>,
}

/// Receives datagrams in an endless loop.
pub(super) async fn listen(state: Rc<GatewayState>, socket: Rc<PeerSocket>, queues: ReplyQueues) {
    let mut buffer = [0_u8; RECEIVE_BUFFER_BYTES];
    loop {
        let Ok(datagram) = socket.receive(&mut buffer).await else {
            tokio::time::sleep(RECEIVE_RETRY_PAUSE).await;
            continue;
        };
        let Datagram { content, from, .. } = datagram;
        if let Some(sender) = datagram.foreign_sender
            && !state.peers.is_member(from, sender)
        {
            reject(&state, from, "it is of another deployment");
            continue;
        }
        match Message::decode(content) {
            Some(Message::SyncQuery(query)) => {
                adopt_peer_era(&state, query.store_era, &from.to_string());
                state.currency.note_version(query.configuration_version);
                state
                    .peers
                    .record_configuration_holder(query.configuration_version, from);
                state
                    .peers
                    .followers
                    .borrow_mut()
                    .insert(from, Instant::now());
                let answer = Message::SyncReply(Box::new(reply_to(&state, &query)));
                send_reply(&socket, &answer, from).await;
                records::reconcile(&state, &socket, query.quarantine_digest, from).await;
                notices::remind(&state, &socket, from).await;
            }
            Some(Message::SyncReply(answer)) => {
                // Sending fails only if the querying task has ended.
                let _ = queues.sync_replies.send(*answer);
            }
            Some(Message::ChangesAvailable) => state.peers.ask_now.notify_one(),
            Some(Message::StoreRecovered) => {
                state.store_outage.end();
                spread(&state, &socket, Report::StoreRecovered).await;
            }
            Some(Message::Prompts(prompts)) => {
                apply_prompts(&state, &prompts);
                for prompt in &prompts {
                    state.peers.prompt_relay.gather(prompt);
                }
            }
            Some(Message::PromptsForLeader(prompts)) => {
                apply_prompts(&state, &prompts);
                for prompt in &prompts {
                    state.peers.prompt_relay.gather(prompt);
                }
                state.peers.prompt_relay.forward_to_group(&prompts);
            }
            Some(Message::OtherGroupPrompts(batch)) => {
                state
                    .peers
                    .relays
                    .record_report(&batch.zone, from.to_string(), Instant::now());
                apply_prompts(&state, &batch.prompts);
                state.peers.prompt_relay.forward_to_group(&batch.prompts);
            }
            Some(Message::Spread(report)) => {
                spread::relay(&state, &socket, report, content).await;
            }
            Some(Message::CachedQuery(query)) => {
                if let Some(page) = cached::answer(&state, &query) {
                    send_to(&socket, &Message::CachedReply(page), from).await;
                }
            }
            Some(Message::CachedReply(page)) => {
                // Sending fails only if the querying task has ended.
                let _ = queues.cached_replies.send(page);
            }
            Some(Message::ConfigurationQuery(query)) => {
                configuration::answer(&state, &socket, &query, from).await;
            }
            Some(Message::ConfigurationReply(reply)) => {
                state.peers.record_configuration_holder(reply.version, from);
                // The queue is full: nobody is waiting, or more pieces arrive than were requested.
                if queues.configuration_replies.try_send(reply).is_err() {
                    log::debug!("configuration piece from {from} dropped: the reply queue is full");
                }
            }
            Some(Message::Usage(usage)) => match usage.shares.is_empty() {
                true => state.quotas.record_member_usage(&usage, Instant::now()),
                false => state.shares.record_member_usage(&usage, Instant::now()),
            },
            Some(Message::GroupUsage(usage)) => {
                state
                    .peers
                    .relays
                    .record_report(&usage.group, from.to_string(), Instant::now());
                record_group_usage(&state, &usage, Instant::now());
                match usage.shares.is_empty() {
                    true => state.quotas.queue_group_report(usage),
                    false => state.shares.queue_group_report(usage),
                }
            }
            Some(Message::Strikes(strikes)) => records::apply_strikes(&state, &strikes),
            Some(Message::Cleared(cleared)) => records::apply_cleared(&state, &cleared),
            Some(Message::Records(received)) => {
                let has_news = records::apply_records(&state, &received.records);
                if has_news && received.is_for_group {
                    spread(&state, &socket, Report::Records(received.records)).await;
                }
            }
            Some(Message::LoadStatus(status)) => {
                apply_load_status(&state, &status);
                spread(&state, &socket, Report::LoadStatus(status)).await;
            }
            Some(Message::Notices(notices)) => {
                notices::apply(&state, &notices);
                spread(&state, &socket, Report::Notices(notices)).await;
            }
            Some(Message::Reminder(notices)) => notices::apply(&state, &notices),
            Some(Message::PermitQuery(query)) => {
                permits::answer(&state, &socket, &query, from).await;
            }
            Some(Message::PermitReply(reply)) => permits::apply(&state, reply),
            Some(Message::ForwardQuery(query)) => {
                forwarding::answer(&state, &socket, &query, from).await;
            }
            Some(Message::ForwardOffer(offer)) => {
                crate::forwarding::apply_offer(&state, offer, from);
            }
            Some(Message::StreamsBegun(begun)) => streams::apply_begun(&state, &begun),
            Some(Message::StreamQuery(query)) => {
                streams::answer(&state, &socket, &query, from).await;
            }
            Some(Message::StreamReply(reply)) => state.streams.handle_reply(reply),
            None => reject(&state, from, "it does not decode"),
        }
    }
}

/// Records that a datagram is not used; logged once for each sender and reason.
fn reject(state: &GatewayState, from: SocketAddr, cause: &str) {
    let (name, reason) = (from.to_string(), UnreadableReason::Bytes);
    state.reject(Rejected::Datagram, &name, reason, cause.to_owned());
}

/// The reply to a query.
fn reply_to(state: &GatewayState, query: &SyncQuery) -> SyncReply {
    let log = state.peers.log.borrow();
    let (page, packed) = page(state, &log, query);
    let proof = state.currency.proof();
    // Rounded up: a proof, or newly named weights, may appear older than they are, never newer.
    let to_ms_up = |time: Duration| to_ms(time) + 1;
    let to_wire = |weights: ModelVersion, since: Since| WireWeights {
        model: weights.model,
        version: weights.version,
        age_ms: to_ms_up(since.moment().elapsed()),
        is_assumed: since.is_assumed(),
    };
    let weights = state.weights.borrow().all();
    let suspected = state.suspected_weights.borrow();
    let era = state.store_eras.known();
    // In an era learned from another gateway no position is known yet.
    let position = Some(state.store_position.get()).filter(|known| known.era == era);
    SyncReply {
        nonce: query.nonce,
        proof_age_ms: proof.map(|proof| to_ms_up(proof.started_at.elapsed())),
        view_age_ms: state.peers.view_age().map(to_ms_up),
        store_revision: position.map_or(0, |position| position.revision),
        configuration_version: state.configuration_version(),
        weights: weights
            .into_iter()
            .map(|(weights, since)| to_wire(weights, since))
            .collect(),
        lease: state
            .lease
            .borrow()
            .seen()
            .map(|(position, record)| WireLease {
                revision: position.revision,
                holder: record.holder.clone(),
                incarnation: record.life,
                token: record.token,
                renewal: record.renewal,
                era: position.era.number(),
                writer_era: record.era.number(),
            }),
        log_id: log.id(),
        sequence: page.sequence,
        is_from_start: page.is_from_start,
        has_more: page.has_more,
        changes: page.changes,
        has_same_items: page.has_same_items,
        store_down_age_ms: state
            .weights
            .borrow()
            .last_store_down_at()
            .map(|at| to_ms_up(at.elapsed())),
        quarantine_digest: Some(records::digest(state)),
        store_era: era.number(),
        proof_revision: proof
            .and_then(|proof| proof.position)
            .filter(|position| position.era == era)
            .map(|position| position.revision),
        highest_token: state.lease.borrow().highest_token(),
        packed,
        suspected_weights: suspected
            .all()
            .map(|suspicion| to_wire(suspicion.weights.clone(), suspicion.since))
            .collect(),
        view_reader_log: state.peers.view_reader_log(),
    }
}

/// The changes that the querying gateway lacks, packed if it accepts that.
fn page(
    state: &GatewayState,
    log: &ChangeLog,
    query: &SyncQuery,
) -> (LogPage, Option<Box<PackedReplicas>>) {
    if !query.accepts_packed {
        return (log.page(query, fits()), None);
    }
    match state.peers.packed_pages.borrow_mut().page(log, query) {
        Some(known) => (known.page.clone(), Some(Box::new(known.packed.clone()))),
        None => (log.empty_page(), None),
    }
}

/// A predicate that says whether one more change fits into a datagram; called for each change in turn.
fn fits() -> impl FnMut(&Change) -> bool {
    let mut left = PAGE_BYTES;
    move |change| {
        let size = change.wire_size();
        let fits = size <= left;
        left = left.saturating_sub(size);
        fits
    }
}

/// Records prompts that other gateways dispatched to replicas. Reports of this gateway's own prompts are ignored.
pub(super) fn apply_prompts(state: &GatewayState, prompts: &[WirePrompt]) {
    let now = Instant::now();
    let own = short_digest(&state.peers.own().name);
    let configuration = state.configuration.load();
    for prompt in prompts.iter().filter(|prompt| prompt.sender != own) {
        if let Some(replica) = state.registry.current(&prompt.incarnation()) {
            replica.record_prompt(prompt.tokens, now);
            let known = configuration.as_deref();
            state
                .interference
                .record_reported(known, &replica, prompt, now);
            let ready_at = now + replica.remaining_prefill(now);
            let prefixes = prompt.prefixes.iter().map(|key| PrefixKey(*key));
            state.holders.record(prefixes, &replica, ready_at, now);
        }
    }
}

/// Records the state of a replica's weight load. Suspected weights that a replica has loaded were named: the gateway
/// that ordered the load tells this to the gateways that query it, but the reader of the store doesn't know.
pub(super) fn apply_load_status(state: &GatewayState, status: &LoadStatus) {
    if status.is_done {
        record_if_suspected(state, &status.weights());
    }
    if status.is_refused {
        let mut suspected = state.suspected_weights.borrow_mut();
        suspected.note_refused(&status.weights(), Instant::now());
    }
    if let Some(replica) = state.registry.current(&status.incarnation()) {
        let has_ended = status.is_done || status.has_failed;
        replica.set_loading((!has_ended).then(Instant::now));
        if status.is_done {
            replica.record_version(&status.model, status.version);
        }
    }
}
