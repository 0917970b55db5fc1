//! Queries the source periodically for the state in force and for changes.

use std::rc::Rc;
use std::time::Duration;

use driftspring_clock::Instant;
use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;

use super::directory::name_digest;
use super::message::{Message, SyncQuery, SyncReply, WireDaemon, WireWeights};
use super::records;
use super::send::send;
use super::socket::PeerSocket;
use super::source::{Source, SourceChooser};
use crate::currency::{NewerVersion, Proof};
use crate::protocol::{LeaseRecord, ModelVersion};
use crate::state::{GatewayState, STARTUP_WINDOW};
use crate::store::{
    StoreEra, StorePosition, adopt_peer_era, record_wanted_weights, suspect_weights,
};
use crate::suspected_weights::Suspicion;
use crate::weights::Since;

/// The time between two queries.
const ASK_INTERVAL: Duration = Duration::from_millis(500);

/// The same for the leader of a group: its members learn from it, so their views are older by up to this time. With a
/// reader that proves its view every 0.9 s, or every 1.4 s while the store is slow, the members' views stay recent
/// enough (1.7 s).
const LEADER_ASK_INTERVAL: Duration = Duration::from_millis(250);

/// The same for a gateway that has just started and has no view yet: the others, which may have started with it, need
/// about 100 ms to list the replicas, and nothing is served before. A group of 100 members sends 1,000 queries of 60
/// bytes a second.
const STARTING_ASK_INTERVAL: Duration = Duration::from_millis(100);

/// How long to wait for a reply.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// The age of the proof of the configuration from which a gateway without a usable source requests a proof itself. A
/// newer version must be in force 2 s after its acknowledgement on small sites, and after 3 s or more on sites with
/// several groups.
const MAX_PROOF_AGE: Duration = Duration::from_millis(2000);

/// The minimum time between two queries.
const MIN_ASK_INTERVAL: Duration = Duration::from_millis(25);

type Replies = tokio::sync::mpsc::UnboundedReceiver<SyncReply>;

/// Queries the source in an endless loop.
pub(super) async fn ask(state: Rc<GatewayState>, socket: Rc<PeerSocket>, mut replies: Replies) {
    let mut chooser = SourceChooser::default();
    loop {
        state.apply_reloaded_settings();
        state.remove_lapsed();
        let directory = state.peers.directory();
        state.retry_budgets.set_gateways(directory.count);
        state
            .quotas
            .set_groups(&directory.group_name, directory.other_groups.len() + 1);
        state.shares.set_group(&directory.group_name);
        let group = state.peers.group(&directory);
        let others = directory.first_of_other_groups();
        chooser.set_just_started(state.now() < STARTUP_WINDOW);
        if state.store_outage.is_active() && !state.peers.is_reader.get() {
            chooser.on_store_failing(state.now(), &state.peers.own.name);
        }
        let source = chooser.choose(state.now(), &group, &others, &state.peers.own.name);
        if source == Source::Store {
            set_source(&state, &source);
        }
        state.peers.set_may_read(chooser.may_read());
        let leader = chooser.leader(&group);
        state.peers.set_leader(leader);
        let leader = leader.map(|leader| name_digest(&leader.name));
        // No gateway's name has the digest 0, so 0 means that there is no leader.
        state.quotas.set_leader(leader.unwrap_or(0));
        let is_relay = state.peers.is_leader.get() && !others.is_empty();
        state.peers.prompt_relay.set_relay(is_relay);
        state.peers.source.replace(source.address());
        let has_more = match source {
            Source::Daemon(daemon) => {
                ask_daemon(&state, &socket, &daemon, &mut chooser, &mut replies).await
            }
            Source::Store => {
                let reading = state.now().saturating_sub(state.peers.reader_since.get());
                let own = &state.peers.own.name;
                chooser.on_store_view(state.now(), own, reading, state.peers.view_age());
                if chooser.is_store_down_for_all(state.now(), state.peers.view_age()) {
                    log_event!(
                        gateway::STORE_DOWN_FOR_ALL,
                        "reading={reading:?} view_age={:?}",
                        state.peers.view_age()
                    );
                    if let Some(at) = state.store_outage.last_seen_down_at() {
                        state.weights.borrow_mut().note_store_down(at);
                    }
                }
                false
            }
        };
        let pause = match has_more {
            true => Duration::ZERO,
            false => next_pause(&state, chooser.max_view_age()),
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = state.peers.ask_now.notified() => tokio::time::sleep(MIN_ASK_INTERVAL).await,
        }
    }
}

/// The time until the next query, until the view is too old, or until a replica whose entry has not come back goes out
/// of use, whichever is first.
fn next_pause(state: &GatewayState, max_view_age: Duration) -> Duration {
    let next_lapse = state.registry.next_lapse();
    let until_lapse = next_lapse.map(|at| at.saturating_duration_since(Instant::now()));
    let until_too_old = state
        .peers
        .view_age()
        .and_then(|age| max_view_age.checked_sub(age))
        .map(|left| left + MIN_ASK_INTERVAL);
    let soonest = until_lapse.into_iter().chain(until_too_old).min();
    let interval = ask_interval(state);
    soonest.map_or(interval, |until| until.min(interval))
}

fn ask_interval(state: &GatewayState) -> Duration {
    let knows_nothing = state.peers.view_age().is_none();
    if knows_nothing && state.now() < STARTUP_WINDOW {
        return STARTING_ASK_INTERVAL;
    }
    match state.peers.is_leader.get() {
        true => LEADER_ASK_INTERVAL,
        false => ASK_INTERVAL,
    }
}

/// Records the source of this gateway's state. This gateway reads the store until another gateway has replied with a recent
/// view: when many start together, the first in rank may have no view yet, and others rely on gateways that have one.
fn set_source(state: &GatewayState, source: &Source) {
    let is_reader = *source == Source::Store;
    if state.peers.is_reader.replace(is_reader) != is_reader {
        log_event!(
            gateway::SOURCE_CHANGED,
            "source={source:?} view_age={:?} store_failed_ago={:?}",
            state.peers.view_age(),
            state.store_outage.list_failed_at().map(|at| at.elapsed())
        );
        state.peers.reader_since.set(state.now());
        state.peers.reset_followed_log();
        state.peers.reader_changed.notify_waiters();
    }
}

/// Queries one gateway; true if it has more changes to send.
async fn ask_daemon(
    state: &Rc<GatewayState>,
    socket: &PeerSocket,
    daemon: &WireDaemon,
    chooser: &mut SourceChooser,
    replies: &mut Replies,
) -> bool {
    let peers = &state.peers;
    let nonce = peers.next_nonce();
    let (log_id, sequence, content_digest) = peers
        .followed
        .borrow_mut()
        .query_fields(&peers.log.borrow());
    let query = Message::SyncQuery(SyncQuery {
        nonce,
        log_id,
        sequence,
        content_digest,
        quarantine_digest: Some(records::digest(state)),
        store_era: state.store_eras.known().number(),
        configuration_version: state.configuration_version(),
        accepts_packed: true,
    });
    let sent_at = Instant::now();
    send(socket, &query, &daemon.peers).await;
    let reply = tokio::time::timeout(ANSWER_TIMEOUT, matching_reply(replies, nonce)).await;
    let Ok(Some(mut reply)) = reply else {
        chooser.on_timeout(state.now());
        chooser.on_unusable_reply(peers.view_age());
        peers.ask_now.notify_one();
        return false;
    };
    reply.unpack();
    adopt_peer_era(state, reply.store_era, &daemon.name);
    if let Ok(address) = daemon.peers.parse() {
        peers.record_configuration_holder(reply.configuration_version, address);
        records::reconcile(state, socket, reply.quarantine_digest, address).await;
    }
    let view_age = reply.view_age_ms.map(Duration::from_millis);
    if let Some(at) = moment_before(sent_at, reply.store_down_age_ms) {
        state.weights.borrow_mut().note_store_down(at);
    }
    let proof_age = reply.proof_age_ms.map(Duration::from_millis);
    if !chooser.on_reply(state.now(), view_age, proof_age) {
        chooser.on_unusable_reply(peers.view_age());
        if !chooser.is_last_resort() {
            peers.ask_now.notify_one();
        } else if !state.currency.is_within(MAX_PROOF_AGE) {
            state.currency.request_proof();
        }
        return false;
    }
    let own_log = peers.log.borrow().id();
    if reply.view_reader_log == Some(own_log) {
        log::debug!(
            "{} relays the view of this daemon; querying another one",
            daemon.name
        );
        chooser.on_own_view(state.now());
        peers.ask_now.notify_one();
        return false;
    }
    if peers
        .followed
        .borrow()
        .has_older_view(&reply, peers.view_age())
    {
        log::debug!(
            "the view of {} is {view_age:?} old, older than the own one; querying another daemon",
            daemon.name
        );
        chooser.on_older_view(state.now());
        peers.ask_now.notify_one();
        return false;
    }
    set_source(state, &Source::Daemon(daemon.clone()));
    apply_reply(state, reply, sent_at).await
}

async fn matching_reply(replies: &mut Replies, nonce: u64) -> Option<SyncReply> {
    loop {
        let reply = replies.recv().await?;
        if reply.nonce == nonce {
            return Some(reply);
        }
    }
}

/// Applies a reply; true if more changes follow.
async fn apply_reply(state: &Rc<GatewayState>, reply: SyncReply, sent_at: Instant) -> bool {
    let proof = proof_in(&reply, sent_at);
    if let Some((began, position)) =
        proof.and_then(|proof| Some((proof.started_at, proof.position?)))
    {
        let mut progress = state.store_progress.borrow_mut();
        progress.note(began, position);
    }
    apply_weights_and_lease(state, &reply, sent_at);
    apply_changes(state, &reply);
    let is_complete = state.peers.followed.borrow().is_complete();
    if is_complete {
        state.peers.set_daemons_known();
    }
    if let Some(moment) = moment_before(sent_at, reply.view_age_ms).filter(|_| is_complete) {
        state
            .peers
            .prove_relayed_view(moment, reply.view_reader_log);
    }
    let known = state.configuration_version();
    if known < reply.configuration_version {
        let version = reply.configuration_version;
        match proof {
            Some(proof) => state
                .currency
                .request_version(NewerVersion { version, proof }),
            None => {
                state.currency.note_version(version);
                state.currency.request_proof();
            }
        }
        return reply.has_more;
    }
    if known == reply.configuration_version
        && let Some(proof) = proof
    {
        state.currency.prove(known, proof);
    }
    state.refresh_readiness();
    reply.has_more
}

/// The read that proved the configuration in a reply.
fn proof_in(reply: &SyncReply, sent_at: Instant) -> Option<Proof> {
    let started_at = moment_before(sent_at, reply.proof_age_ms)?;
    let position = reply.proof_revision.map(|revision| StorePosition {
        era: StoreEra::from_number(reply.store_era),
        revision,
    });
    Some(Proof {
        started_at,
        position,
    })
}

/// The store's position according to a reply.
fn position_in(reply: &SyncReply) -> StorePosition {
    StorePosition {
        era: StoreEra::from_number(reply.store_era),
        revision: reply.store_revision,
    }
}

fn moment_before(sent_at: Instant, age_ms: Option<u64>) -> Option<Instant> {
    sent_at.checked_sub(Duration::from_millis(age_ms?))
}

/// The weights in a reply, and since when they are wanted.
fn weights_in(wire: &WireWeights, sent_at: Instant) -> (ModelVersion, Since) {
    let weights = ModelVersion {
        model: wire.model.clone(),
        version: wire.version,
    };
    // The age kept growing while the reply was in transit; the transit time of the query is added too, to be safe.
    let since = moment_before(sent_at, Some(wire.age_ms)).unwrap_or(sent_at);
    let since = match wire.is_assumed {
        true => Since::Assumed(since),
        false => Since::Known(since),
    };
    (weights, since)
}

fn apply_weights_and_lease(state: &GatewayState, reply: &SyncReply, sent_at: Instant) {
    for wire in &reply.weights {
        let (named, since) = weights_in(wire, sent_at);
        record_wanted_weights(state, &named, since);
    }
    for wire in &reply.suspected_weights {
        let (weights, since) = weights_in(wire, sent_at);
        suspect_weights(state, Suspicion { weights, since }, "told by a daemon");
    }
    if let Some(moment) = moment_before(sent_at, reply.view_age_ms) {
        state.known_namings.note_told(moment);
    }
    state.lease.borrow_mut().on_token(reply.highest_token);
    if let Some(lease) = &reply.lease {
        let record = LeaseRecord {
            holder: lease.holder.clone(),
            life: lease.incarnation,
            token: lease.token,
            renewal: lease.renewal,
            era: StoreEra::from_number(lease.writer_era),
        };
        let now = state.now();
        let mut known = state.lease.borrow_mut();
        known.on_store_position(now, position_in(reply));
        let position = StorePosition {
            era: StoreEra::from_number(lease.era),
            revision: lease.revision,
        };
        known.on_list(now, Some((position, record)));
    } else {
        state.lease.borrow_mut().on_list(state.now(), None);
    }
}

fn apply_changes(state: &GatewayState, reply: &SyncReply) {
    let changes = {
        let own = state.peers.log.borrow();
        state.peers.followed.borrow_mut().apply(reply, &own)
    };
    for change in changes {
        state.apply(change);
    }
    if !reply.has_more {
        state.publish_changes();
    }
}
