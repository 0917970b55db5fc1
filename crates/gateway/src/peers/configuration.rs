//! Takes the configuration from another daemon where the store has lost it, and asks others at the start which version they
//! hold: a store that came back from a copy names an older one until the operator has written again.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use driftspring_telemetry::events::gateway;
use driftspring_telemetry::log_event;
use tokio::net::UdpSocket;
use tokio::sync::mpsc::Receiver;

use super::configuration_message::{MAX_PIECES, answers};
use super::configuration_pieces::{ConfigurationPieces, PieceError};
use super::message::{ConfigurationQuery, ConfigurationReply, Message};
use super::send::{send_to, send_to_all};
use crate::configuration::Configuration;
use crate::protocol::{Unreadable, UnreadableReason};
use crate::state::{GatewayState, STARTUP_WINDOW};
use crate::store::{Rejected, apply_handed_on_configuration};

/// Answers that wait to be taken in: those of two questions.
pub(super) const MAX_QUEUED_REPLIES: usize = 2 * MAX_PIECES as usize;

/// Others that are asked at the start which version they hold.
const MAX_ASKED: usize = 3;

/// How long their answers are waited for: a round trip between zones takes some ten milliseconds, and of daemons that all
/// start at once none waits longer for the others.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_millis(100);

/// How long requests with keys wait at the most for the first word of others once the configuration was read: joining the
/// other daemons takes two calls to the store.
const MAX_CONFIRMATION_WAIT: Duration = Duration::from_millis(250);

/// How long a newer version that others hold is waited for at the start: a read of the store that fails takes 1.5 s.
const NEWER_VERSION_TIMEOUT: Duration = Duration::from_secs(2);

/// How often it is looked for.
const NEWER_VERSION_POLL: Duration = Duration::from_millis(5);

/// How long the next piece is waited for.
const PIECE_TIMEOUT: Duration = Duration::from_millis(150);

/// Questions in a row that brought no piece after which the transfer is given up.
const MAX_EMPTY_ROUNDS: u32 = 4;

/// How long a whole transfer may take: the longest document at 1 MB a second, 32 kB for each round trip of 30 ms.
const TRANSFER_TIMEOUT: Duration = Duration::from_secs(32);

/// The pause after the first transfer that failed; doubled after each further one.
const INITIAL_RETRY_PAUSE: Duration = Duration::from_millis(100);

/// The longest such pause.
const MAX_RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Why no configuration was taken from another daemon.
#[derive(Debug, thiserror::Error)]
enum TransferError {
    /// No daemon is known that holds it.
    #[error("no holder is known")]
    NoHolder,
    /// The other daemon does not answer any more.
    #[error("no piece came")]
    NoPiece,
    /// It took too long.
    #[error("it took longer than {TRANSFER_TIMEOUT:?}")]
    TimedOut,
    /// The other daemon holds no newer one than this one.
    #[error("the other one holds version {0}")]
    NotNewer(u64),
    /// The pieces make no document.
    #[error(transparent)]
    Pieces(#[from] PieceError),
    /// The document is no configuration.
    #[error(transparent)]
    Unreadable(#[from] Unreadable),
    /// The document is of another version than was told.
    #[error("version {told} was told, the document is of {read}")]
    OtherVersion {
        /// The version in the answers.
        told: u64,
        /// That of the document.
        read: u64,
    },
}

/// What was heard at the start.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Confirmation {
    /// Another daemon that has run for a while told its version, or nobody has run before.
    Confirmed,
    /// No such daemon answered, of so many.
    Unconfirmed { asked: usize },
}

/// Answers a question.
pub(super) async fn answer(
    state: &GatewayState,
    socket: &UdpSocket,
    query: &ConfigurationQuery,
    from: SocketAddr,
) {
    let configuration = state.configuration.load_full();
    let is_settled = state.now() > STARTUP_WINDOW;
    for reply in answers(query, configuration.as_deref(), is_settled) {
        send_to(socket, &Message::ConfigurationReply(reply), from).await;
    }
}

/// Asks others at the start which version they hold; then, for ever, takes the configuration from another daemon whenever the
/// store has lost it.
pub(super) async fn exchange(
    state: Rc<GatewayState>,
    socket: Rc<UdpSocket>,
    mut replies: Receiver<ConfigurationReply>,
) {
    let confirmation = confirm_version(&state, &socket, &mut replies).await;
    until_newest_held(&state).await;
    allow_keyed_requests(&state);
    if let Confirmation::Unconfirmed { asked } = confirmation {
        ntex::rt::spawn(report_unconfirmed(Rc::clone(&state), asked));
    }
    loop {
        state.currency.version_lost().await;
        let mut pause = INITIAL_RETRY_PAUSE;
        while state.currency.is_outdated(state.configuration_version()) {
            if let Err(error) = transfer_configuration(&state, &socket, &mut replies).await {
                note_failure(&state, &error);
                tokio::time::sleep(pause).await;
                pause = (pause * 2).min(MAX_RETRY_PAUSE);
            }
        }
    }
}

/// Lets requests with keys through after a bounded time, though other daemons have not been heard.
pub async fn limit_confirmation_wait(state: Rc<GatewayState>) {
    state.currency.until_proved().await;
    tokio::time::sleep(MAX_CONFIRMATION_WAIT).await;
    until_newest_held(&state).await;
    allow_keyed_requests(&state);
}

fn allow_keyed_requests(state: &GatewayState) {
    state.currency.note_peer_answers();
    state.refresh_readiness();
}

/// Asks some others which version they hold, and waits for one that has run for a while or for all of them. Where all start
/// for the first time, nobody can know more than the store.
async fn confirm_version(
    state: &GatewayState,
    socket: &UdpSocket,
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
        log::debug!("not all of {others:?} told which configuration they hold");
        Confirmation::Unconfirmed { asked }
    })
}

/// Tells operators that the configuration in force may be older than the newest: it was read of a store that may have come
/// back from a copy, and nobody was there who would know. A newer one ends that.
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

/// The addresses of those who are asked: the first in rank of the own group, and others in turn from start to start.
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

/// Waits until this daemon holds the newest version that others told, or a read has shown that the store has lost that.
async fn until_newest_held(state: &GatewayState) {
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
        log::debug!("a newer configuration that others hold was not read at the start");
    }
}

/// Takes the configuration from the daemon that told the highest version.
async fn transfer_configuration(
    state: &GatewayState,
    socket: &UdpSocket,
    replies: &mut Receiver<ConfigurationReply>,
) -> Result<(), TransferError> {
    let holder = state.peers.configuration_holder();
    let holder = holder.ok_or(TransferError::NoHolder)?;
    let transfer = receive_all(state, socket, replies, holder);
    let pieces = tokio::time::timeout(TRANSFER_TIMEOUT, transfer).await;
    let pieces = pieces.map_err(|_| TransferError::TimedOut)??;
    let configuration = read(state, pieces)?;
    apply_handed_on_configuration(state, configuration, &holder.to_string());
    // A read that shows an older version proves what is held now.
    state.currency.request_proof();
    state.refresh_readiness();
    Ok(())
}

/// Receives all pieces.
async fn receive_all(
    state: &GatewayState,
    socket: &UdpSocket,
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

/// Takes in the answers to one question, until the pieces before `end` are there, or all, or no more come.
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

/// Reads the document as one that the store lists is read.
fn read(state: &GatewayState, pieces: ConfigurationPieces) -> Result<Configuration, TransferError> {
    let told = pieces.version();
    let document = pieces.into_document()?;
    let configuration = state.platform.read_configuration(&document)?;
    let read = configuration.version;
    match read == told {
        true => Ok(configuration),
        false => Err(TransferError::OtherVersion { told, read }),
    }
}

/// Logs a failure; what is wrong with what came is counted too.
fn note_failure(state: &GatewayState, error: &TransferError) {
    let reason = match error {
        TransferError::NoHolder
        | TransferError::NoPiece
        | TransferError::TimedOut
        | TransferError::NotNewer(_) => {
            return log::debug!("no configuration was taken from another daemon: {error}");
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
