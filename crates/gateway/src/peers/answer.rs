//! Answers the questions of other daemons, and takes in what they tell of replicas.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use tokio::sync::mpsc::{Sender, UnboundedSender};

use super::cached;
use super::change_log::{ChangeLog, LogPage};
use super::configuration;
use super::convert::to_ms;
use super::directory::short_digest;
use super::message::{
    Ask, Change, Loading, Message, RECEIVE_BYTES, Report, Tell, TellCached, TellConfiguration,
    WireLease, WirePrompt, WireWeights,
};
use super::notices;
use super::packed::PackedReplicas;
use super::packed_pages::PAGE_BYTES;
use super::permits;
use super::records;
use super::send::send_to;
use super::spread::{self, spread};
use crate::cache::PrefixKey;
use crate::protocol::{ModelVersion, UnreadableReason};
use crate::rollout::name_if_suspected;
use crate::state::GatewayState;
use crate::store::{Rejected, adopt_peer_era};
use crate::weights::Since;

/// The pause after a datagram could not be received.
const PAUSE_AFTER_FAILURE: Duration = Duration::from_millis(25);

/// Where answers to own questions go.
pub(super) struct AnswerQueues {
    /// What is in force and has changed.
    pub(super) tells: UnboundedSender<Tell>,
    /// What stores of cached prompt work keep.
    pub(super) cached_pages: UnboundedSender<TellCached>,
    /// Configurations that others hold.
    pub(super) configuration_pieces: Sender<TellConfiguration>,
}

/// Reads datagrams for ever.
pub(super) async fn listen(
    state: Rc<GatewayState>,
    socket: Rc<tokio::net::UdpSocket>,
    answers: AnswerQueues,
) {
    let mut buffer = [0_u8; RECEIVE_BYTES];
    loop {
        let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PAUSE_AFTER_FAILURE).await;
            continue;
        };
        match Message::decode(&buffer[..length]) {
            Some(Message::Ask(question)) => {
                adopt_peer_era(&state, question.store_era, &from.to_string());
                state.currency.note_version(question.configuration);
                state.peers.note_configuration(question.configuration, from);
                state
                    .peers
                    .followers
                    .borrow_mut()
                    .insert(from, Instant::now());
                let answer = Message::Tell(Box::new(tell(&state, &question)));
                send_to(&socket, &answer, from).await;
                records::reconcile(&state, &socket, question.quarantine, from).await;
                notices::remind(&state, &socket, from).await;
            }
            Some(Message::Tell(answer)) => {
                // The task that asked may have given up meanwhile.
                let _ = answers.tells.send(*answer);
            }
            Some(Message::Nudge) => state.peers.ask_now.notify_one(),
            Some(Message::StoreRecovered) => {
                state.store_outage.end();
                spread(&state, &socket, Report::StoreRecovered).await;
            }
            Some(Message::Prompts(prompts)) => {
                take_prompts(&state, &prompts);
                for prompt in &prompts {
                    state.peers.far.gather(prompt);
                }
            }
            Some(Message::GatherPrompts(prompts)) => {
                take_prompts(&state, &prompts);
                for prompt in &prompts {
                    state.peers.far.gather(prompt);
                }
                state.peers.far.pass_on(&prompts);
            }
            Some(Message::FarPrompts(far)) => {
                state
                    .peers
                    .relays
                    .note(&far.zone, from.to_string(), Instant::now());
                take_prompts(&state, &far.prompts);
                state.peers.far.pass_on(&far.prompts);
            }
            Some(Message::Spread(report)) => {
                spread::take(&state, &socket, report, &buffer[..length]).await;
            }
            Some(Message::AskCached(question)) => {
                if let Some(page) = cached::answer(&state, &question) {
                    send_to(&socket, &Message::TellCached(page), from).await;
                }
            }
            Some(Message::TellCached(page)) => {
                // The same holds for the task that asked for the page.
                let _ = answers.cached_pages.send(page);
            }
            Some(Message::AskConfiguration(question)) => {
                configuration::answer(&state, &socket, &question, from).await;
            }
            Some(Message::TellConfiguration(told)) => {
                state.peers.note_configuration(told.version, from);
                // Nobody waits for it, or more come than were asked for.
                if answers.configuration_pieces.try_send(told).is_err() {
                    log::debug!("a piece of a configuration from {from} is dropped");
                }
            }
            Some(Message::Usage(usage)) => state.quotas.record_member_usage(&usage, Instant::now()),
            Some(Message::GroupUsage(usage)) => {
                state
                    .peers
                    .relays
                    .note(&usage.group, from.to_string(), Instant::now());
                state.quotas.record_group_usage(&usage, Instant::now());
                state.quotas.queue_group_report(usage);
            }
            Some(Message::Strikes(strikes)) => records::take_strikes(&state, &strikes),
            Some(Message::Cleared(cleared)) => records::take_cleared(&state, &cleared),
            Some(Message::Records(told)) => {
                let has_news = records::take_records(&state, &told.records);
                if has_news && told.is_for_group {
                    spread(&state, &socket, Report::Records(told.records)).await;
                }
            }
            Some(Message::Loading(loading)) => {
                take_loading(&state, &loading);
                spread(&state, &socket, Report::Loading(loading)).await;
            }
            Some(Message::Notices(told)) => {
                notices::take(&state, &told);
                spread(&state, &socket, Report::Notices(told)).await;
            }
            Some(Message::Reminder(told)) => notices::take(&state, &told),
            Some(Message::AskPermit(question)) => {
                permits::answer(&state, &socket, &question, from).await;
            }
            Some(Message::TellPermit(told)) => permits::take(&state, told),
            None => {
                let (name, reason) = (from.to_string(), UnreadableReason::Bytes);
                state.reject(
                    Rejected::Datagram,
                    &name,
                    reason,
                    "it does not decode".to_owned(),
                );
            }
        }
    }
}

/// The answer to a question.
fn tell(state: &GatewayState, question: &Ask) -> Tell {
    let log = state.peers.log.borrow();
    let (page, packed) = page(state, &log, question);
    let proof = state.currency.proof();
    // Rounded up: a proof, or newly named weights, may look older than they are, never newer.
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
    // Of an era that another daemon told, no position is known yet.
    let position = Some(state.store_position.get()).filter(|known| known.era == era);
    Tell {
        nonce: question.nonce,
        proof_age_ms: proof.map(|proof| to_ms_up(proof.began.elapsed())),
        view_age_ms: state.peers.view_age().map(to_ms_up),
        store_revision: position.map_or(0, |position| position.revision),
        configuration: state.configuration_version(),
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
                life: record.incarnation,
                token: record.token,
                renewal: record.renewal,
                era: position.era.number(),
                written_in: record.era.number(),
            }),
        log: log.id(),
        sequence: page.sequence,
        is_from_start: page.is_from_start,
        has_more: page.has_more,
        changes: page.changes,
        is_same: page.is_same,
        store_down_age_ms: state
            .weights
            .borrow()
            .last_store_down_at()
            .map(|at| to_ms_up(at.elapsed())),
        quarantine: Some(records::digest(state)),
        store_era: era.number(),
        proof_revision: proof
            .and_then(|proof| proof.position)
            .filter(|position| position.era == era)
            .map(|position| position.revision),
        highest_token: state.lease.borrow().highest_token(),
        packed,
        suspected: suspected
            .all()
            .map(|suspicion| to_wire(suspicion.weights.clone(), suspicion.since))
            .collect(),
        view_reader: state.peers.view_reader(),
    }
}

/// The changes that the asking daemon lacks; packed where it understands that.
fn page(
    state: &GatewayState,
    log: &ChangeLog,
    question: &Ask,
) -> (LogPage, Option<Box<PackedReplicas>>) {
    if !question.takes_packed {
        return (log.page(question, fits()), None);
    }
    match state.peers.pages.borrow_mut().page(log, question) {
        Some(known) => (known.page.clone(), Some(Box::new(known.packed.clone()))),
        None => (log.no_changes(), None),
    }
}

/// Whether one more change fits into a datagram, asked for each in turn.
fn fits() -> impl FnMut(&Change) -> bool {
    let mut left = PAGE_BYTES;
    move |change| {
        let size = change.wire_size();
        let fits = size <= left;
        left = left.saturating_sub(size);
        fits
    }
}

/// Takes in which prompts other daemons sent to replicas. A daemon knows those that it sent itself.
pub(super) fn take_prompts(state: &GatewayState, prompts: &[WirePrompt]) {
    let now = Instant::now();
    let own = short_digest(&state.peers.own().name);
    for prompt in prompts.iter().filter(|prompt| prompt.sender != own) {
        if let Some(replica) = state.registry.current(&prompt.life()) {
            replica.note_prompt(prompt.tokens, now);
            let ready_at = now + replica.reading(now);
            let prefixes = prompt.prefixes.iter().map(|key| PrefixKey(*key));
            state.holders.note(prefixes, &replica, ready_at, now);
        }
    }
}

/// Takes in how a replica's loading of weights goes. Suspected weights that a replica has loaded were named: who gave the order tells
/// it to those that ask it, which the one that reads the store does not.
pub(super) fn take_loading(state: &GatewayState, loading: &Loading) {
    if loading.is_done {
        name_if_suspected(state, &loading.weights());
    }
    if loading.is_refused {
        let mut suspected = state.suspected_weights.borrow_mut();
        suspected.note_refused(&loading.weights(), Instant::now());
    }
    if let Some(replica) = state.registry.current(&loading.life()) {
        let has_ended = loading.is_done || loading.has_failed;
        replica.set_loading((!has_ended).then(Instant::now));
        if loading.is_done {
            replica.note_version(&loading.model, loading.version);
        }
    }
}
