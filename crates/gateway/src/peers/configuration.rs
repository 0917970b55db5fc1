//! Transfers the configuration from another gateway if the store has lost it, and asks others at the start which version
//! they hold: a store restored from a copy has an older one until the operator writes again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use tokio::sync::mpsc::Receiver;
use tokio::task::JoinError;

use super::configuration_message::{MAX_PIECES, answers};
use super::configuration_pieces::{ConfigurationPieces, PieceError};
use super::message::{ConfigurationQuery, ConfigurationReply, Message};
use super::send::{send_to, send_to_all};
use super::socket::PeerSocket;
use crate::configuration::Configuration;
use crate::protocol::{Unreadable, UnreadableReason};
use crate::state::{GatewayState, STARTUP_WINDOW};
use crate::store::{Rejected, apply_handed_on_configuration, parse};

/// The capacity of the reply queue: the replies to two queries.
pub(super) const MAX_QUEUED_REPLIES: usize = 2 * MAX_PIECES as usize;

/// The number of gateways that are asked at the start which version they hold.
const MAX_ASKED: usize = 3;

/// How long to wait for their replies: a round trip between zones takes some ten milliseconds, and among gateways that
/// all start at once none waits longer for the others.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// The maximum time that requests with keys wait for the replies of others after the configuration was read: joining
/// the other gateways takes two calls to the store.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(250);

/// How long to wait at the start for a newer version that others hold: a failing read of the store takes 1.5 s.
const NEWER_VERSION_TIMEOUT: Duration = Duration::from_secs(2);

/// The interval at which that version is checked for.
const NEWER_VERSION_POLL: Duration = Duration::from_millis(5);

/// How long to wait for the next piece.
const PIECE_TIMEOUT: Duration = Duration::from_millis(150);

/// The number of consecutive queries without a new piece after which the transfer fails.
const MAX_EMPTY_ROUNDS: u32 = 4;

/// The time limit of a whole transfer: the longest document at 1 MB/s, that is, 32 kB per round trip of 30 ms.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(32);

/// The pause after the first failed transfer; doubled after each further one.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(100);

const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Why a transfer of the configuration from another gateway failed.
#[derive(Debug, thiserror::Error)]
enum TransferError {
    /// No gateway is known to hold a configuration.
    #[error("no daemon is known to hold a configuration")]
    NoHolder,
    /// The holder has stopped sending pieces.
    #[error("no new piece arrived for {MAX_EMPTY_ROUNDS} queries in a row")]
    NoPiece,
    /// The transfer exceeded [`TRANSFER_TIMEOUT`].
    #[error("the transfer took longer than {TRANSFER_TIMEOUT:?}")]
    TimedOut,
    /// The holder's version is not newer than the own one.
    #[error("the holder has version {0}, which is not newer")]
    NotNewer(u64),
    /// The pieces can't be assembled.
    #[error(transparent)]
    Pieces(#[from] PieceError),
    /// The document is not a valid configuration.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// The parser ended without a result.
    #[error("parsing the document failed: {0}")]
    ParserEnded(#[from] JoinError),
    /// The document has another version than the replies.
    #[error("the replies name version {announced}, but the document has version {read}")]
    OtherVersion {
        /// The version in the replies.
        announced: u64,
        /// The version of the document.
        read: u64,
    },
}

/// Whether other gateways have confirmed at the start which version is the newest.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    /// A gateway that has run for a while reported its version, or the deployment starts for the first time.
    Confirmed,
    /// None of the `asked` gateways did so.
    Unconfirmed { asked: usize },
}

/// Replies to a query.
pub(super) async fn answer(
    state: &GatewayState,
    socket: &PeerSocket,
    query: &ConfigurationQuery,
    from: SocketAddr,
) {
    let configuration = state.configuration.load_full();
    let is_settled = state.now() > STARTUP_WINDOW;
    for reply in answers(query, configuration.as_deref(), is_settled) {
        send_to(socket, &Message::ConfigurationReply(reply), from).await;
    }
}

/// Asks others at the start which version they hold, then transfers the configuration from another gateway whenever the
/// store has lost it.
pub(super) async fn exchange(
    state: Rc<GatewayState>,
    socket: Rc<PeerSocket>,
    mut replies: Receiver<ConfigurationReply>,
) {
    let confirmation = confirm_version(&state, &socket, &mut replies).await;
    wait_for_newest_version(&state).await;
    allow_keyed_requests(&state);
    if let Confirmation::Unconfirmed { asked } = confirmation {
        ntex::rt::spawn(report_unconfirmed(Rc::clone(&state), asked));
    }
    loop {
        state.currency.version_lost().await;
        let mut pause = INITIAL_RETRY_PAUSE;
        while state.currency.is_outdated(state.configuration_version()) {
            if let Err(error) = transfer_configuration(&state, &socket, &mut replies).await {
                record_failure(&state, &error);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Admits requests with keys after a limited time even if no other gateway has replied.
pub async fn limit_confirmation_wait(state: Rc<GatewayState>) {
    state.currency.until_proved().await;
    tokio::time::sleep(MAX_CONFIRMATION_WAIT).await;
    wait_for_newest_version(&state).await;
    allow_keyed_requests(&state);
}

fn allow_keyed_requests(state: &GatewayState) {
    state.currency.note_peer_answers();
    state.refresh_readiness();
}

/// Asks some others which version they hold, and waits until one that has run for a while or all of them have replied.
/// If all start for the first time, no gateway can know more than the store.
async fn confirm_version(
    state: &GatewayState,
    socket: &PeerSocket,
    replies: &mut Receiver<ConfigurationReply>,
) -> Confirmation {
    if state.settings.is_first_start {
        return Confirmation::Confirmed;
    }
    let others = daemons_to_ask(state);
    let asked = others.len();
    let nonce = state.peers.next_nonce();
    let query = Message::ConfigurationQuery(ConfigurationQuery {
        nonce,
        first_piece: 0,
        pieces: 0,
    });
    send_to_all(socket, &query, others.iter().map(String::as_str)).await;
    let settled_reply = async {
        for _ in &others {
            let Some(answer) = matching_reply(replies, nonce).await else {
                break;
            };
            state.currency.note_version(answer.version);
            if answer.is_settled && answer.version > 0 {
                return Confirmation::Confirmed;
            }
        }
        Confirmation::Unconfirmed { asked }
    };
    let confirmation = tokio::time::timeout(CONFIRMATION_TIMEOUT, settled_reply).await;
    confirmation.unwrap_or_else(|_| {
        log::debug!(
            "configuration version not confirmed by {others:?} within {CONFIRMATION_TIMEOUT:?}"
        );
        Confirmation::Unconfirmed { asked }
    })
}

/// Warns operators that the configuration in force may not be the newest: it was read from a store that may have been
/// restored from a copy, and no other gateway could confirm it. A newer version ends this condition.
async fn report_unconfirmed(state: Rc<GatewayState>, asked: usize) {
    state.currency.until_proved().await;
    let position = state.configuration_position.get();
    log_event!(
        gateway::CONFIGURATION_UNCONFIRMED,
        "version={} position={position} store_begin={} store_position={} asked={asked}",
        state.configuration_version(),
        state.store_era_start.get(),
        state.store_position.get()
    );
    state.status.metrics.configuration_unconfirmed.set(1);
}

/// The addresses of the gateways to ask: the first in rank of the own group, and others in a random rotation.
fn daemons_to_ask(state: &GatewayState) -> Vec<String> {
    let directory = state.peers.directory();
    let own = &state.peers.own().name;
    let members = state.peers.group(&directory).into_iter();
    let others = members
        .filter(|daemon| daemon.name != *own)
        .chain(directory.first_of_other_groups());
    let mut addresses: Vec<String> = others.map(|daemon| daemon.peers).collect();
    if let Some((_, rest)) = addresses.split_first_mut() {
        let rotation = state.draw() % (rest.len() as u64).max(1);
        rest.rotate_left(rotation as usize);
    }
    addresses.truncate(MAX_ASKED);
    addresses
}

/// Waits until this gateway holds the newest version that others have reported, or a read has shown that the store has
/// lost it.
async fn wait_for_newest_version(state: &GatewayState) {
    if state.configuration_version() >= state.currency.highest() {
        return;
    }
    state.currency.request_proof();
    let known = async {
        while state.configuration_version() < state.currency.highest()
            && !state.currency.is_outdated(state.configuration_version())
        {
            tokio::time::sleep(NEWER_VERSION_POLL).await;
        }
    };
    if tokio::time::timeout(NEWER_VERSION_TIMEOUT, known)
        .await
        .is_err()
    {
        log::debug!(
            "a newer configuration that others hold was not obtained within {NEWER_VERSION_TIMEOUT:?}"
        );
    }
}

/// Transfers the configuration from the gateway that reported the highest version.
async fn transfer_configuration(
    state: &GatewayState,
    socket: &PeerSocket,
    replies: &mut Receiver<ConfigurationReply>,
) -> Result<(), TransferError> {
    let holder = state.peers.configuration_holder();
    let holder = holder.ok_or(TransferError::NoHolder)?;
    let transfer = receive_all(state, socket, replies, holder);
    let pieces = tokio::time::timeout(TRANSFER_TIMEOUT, transfer).await;
    let pieces = pieces.map_err(|_| TransferError::TimedOut)??;
    let configuration = read(state, pieces).await?;
    apply_handed_on_configuration(state, configuration, &holder.to_string());
    // A read that returns an older version proves the version that is held now.
    state.currency.request_proof();
    state.refresh_readiness();
    Ok(())
}

async fn receive_all(
    state: &GatewayState,
    socket: &PeerSocket,
    replies: &mut Receiver<ConfigurationReply>,
    holder: SocketAddr,
) -> Result<ConfigurationPieces, TransferError> {
    let mut pieces: Option<ConfigurationPieces> = None;
    let mut empty_rounds = 0;
    loop {
        let first_piece = first_missing(pieces.as_ref());
        let nonce = state.peers.next_nonce();
        let query = ConfigurationQuery {
            nonce,
            first_piece,
            pieces: MAX_PIECES,
        };
        send_to(socket, &Message::ConfigurationQuery(query), holder).await;
        let end = first_piece.saturating_add(MAX_PIECES);
        receive_until(end, nonce, state, replies, &mut pieces).await?;
        if let Some(whole) = pieces.take_if(|pieces| pieces.is_whole()) {
            return Ok(whole);
        }
        empty_rounds = match first_missing(pieces.as_ref()) > first_piece {
            true => 0,
            false => empty_rounds + 1,
        };
        if empty_rounds == MAX_EMPTY_ROUNDS {
            return Err(TransferError::NoPiece);
        }
    }
}

fn first_missing(pieces: Option<&ConfigurationPieces>) -> u32 {
    pieces.map_or(0, ConfigurationPieces::first_missing)
}

/// Collects the replies to one query until the pieces before `end` or all pieces are there, or none arrives in time.
async fn receive_until(
    end: u32,
    nonce: u64,
    state: &GatewayState,
    replies: &mut Receiver<ConfigurationReply>,
    pieces: &mut Option<ConfigurationPieces>,
) -> Result<(), TransferError> {
    loop {
        let answer = tokio::time::timeout(PIECE_TIMEOUT, matching_reply(replies, nonce)).await;
        let Ok(Some(answer)) = answer else {
            return Ok(());
        };
        if answer.version <= state.configuration_version() {
            return Err(TransferError::NotNewer(answer.version));
        }
        let known = match pieces {
            Some(known) => known,
            None => pieces.insert(ConfigurationPieces::begin(&answer)?),
        };
        known.add(answer)?;
        if known.is_whole() || known.first_missing() >= end {
            return Ok(());
        }
    }
}

/// Parses the document like one from the store.
async fn read(
    state: &GatewayState,
    pieces: ConfigurationPieces,
) -> Result<Configuration, TransferError> {
    let announced = pieces.version();
    let document = pieces.into_document()?;
    let parsed = parse(&state.platform, document.into(), |platform, document| {
        platform.read_configuration(document)
    });
    let configuration = parsed.await??;
    let read = configuration.version;
    match read == announced {
        true => Ok(configuration),
        false => Err(TransferError::OtherVersion { announced, read }),
    }
}

/// Logs a failure; invalid data from the holder is also counted.
fn record_failure(state: &GatewayState, error: &TransferError) {
    let reason = match error {
        TransferError::NoHolder
        | TransferError::NoPiece
        | TransferError::TimedOut
        | TransferError::ParserEnded(_)
        | TransferError::NotNewer(_) => {
            return log::debug!("configuration transfer from another daemon failed: {error}");
        }
        TransferError::Unreadable(unreadable) => unreadable.reason,
        TransferError::Pieces(_) | TransferError::OtherVersion { .. } => UnreadableReason::Fields,
    };
    let holder = state.peers.configuration_holder();
    let holder = holder.map_or_else(String::new, |holder| holder.to_string());
    state.reject(
        Rejected::HandedConfiguration,
        &holder,
        reason,
        error.to_string(),
    );
}

async fn matching_reply(
    replies: &mut Receiver<ConfigurationReply>,
    nonce: u64,
) -> Option<ConfigurationReply> {
    loop {
        let answer = replies.recv().await?;
        if answer.nonce == nonce {
            return Some(answer);
        }
    }
}
