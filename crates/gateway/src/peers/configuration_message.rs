//! The datagrams by which one daemon takes the configuration from another.

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;

/// Bytes of a piece: with the other fields it stays below [`super::message::MAX_DATAGRAM_BYTES`].
pub const PIECE_BYTES: usize = 1024;

/// Pieces that one question may ask for, 32 kB: a socket's buffer of usual size (212,992 bytes, in which each datagram of this
/// size takes 2,304) holds all of them, however late they are read.
pub const MAX_PIECES: u32 = 32;

/// Asks which configuration the receiver holds, and for pieces of its document.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationQuery {
    /// Returned in the answers.
    pub nonce: u64,
    /// The first piece that is wanted.
    pub first_piece: u32,
    /// How many are wanted, [`MAX_PIECES`] at the most; none where only the version is asked for.
    pub pieces: u32,
}

/// Answers that; one for each piece, or one without a piece.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationReply {
    /// The nonce of the question.
    pub nonce: u64,
    /// The version that the sender holds; 0 for none.
    pub version: u64,
    /// Whether the sender has run for a while, so that it knows what others know.
    pub is_settled: bool,
    /// The digest of the whole document.
    pub digest: u64,
    /// The length of the whole document, in bytes.
    pub length: u32,
    /// The piece.
    #[musli(default)]
    pub piece: Option<ConfigurationPiece>,
}

/// A piece of the document of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationPiece {
    /// Its number: it begins [`PIECE_BYTES`] times as many bytes after the begin of the document.
    pub number: u32,
    /// Its bytes, [`PIECE_BYTES`] but for the last piece.
    #[musli(bytes)]
    pub bytes: Vec<u8>,
}

/// The digest of a document.
pub fn document_digest(document: &[u8]) -> u64 {
    xxh3_64(document)
}

/// The answers to a question, by a daemon that holds `configuration`.
pub fn answers(
    query: &ConfigurationQuery,
    configuration: Option<&Configuration>,
    is_settled: bool,
) -> Vec<ConfigurationReply> {
    let document = configuration.map_or(&[][..], Configuration::document);
    let version = configuration.map_or(0, |known| known.version);
    let digest = match query.pieces {
        0 => 0,
        _ => document_digest(document),
    };
    let tell = |piece: Option<ConfigurationPiece>| ConfigurationReply {
        nonce: query.nonce,
        version,
        is_settled,
        digest,
        length: u32::try_from(document.len()).unwrap_or(u32::MAX),
        piece,
    };
    let count = query.pieces.min(MAX_PIECES);
    let last = query.first_piece.saturating_add(count);
    let pieces = (query.first_piece..last).map_while(|number| piece_of(document, number));
    let told: Vec<ConfigurationReply> = pieces.map(|piece| tell(Some(piece))).collect();
    match told.is_empty() {
        true => vec![tell(None)],
        false => told,
    }
}

/// One piece of a document; nothing beyond its end.
fn piece_of(document: &[u8], number: u32) -> Option<ConfigurationPiece> {
    let begin = usize::try_from(number).ok()?.checked_mul(PIECE_BYTES)?;
    let rest = document.get(begin..).filter(|rest| !rest.is_empty())?;
    let bytes = rest[..rest.len().min(PIECE_BYTES)].to_vec();
    Some(ConfigurationPiece { number, bytes })
}
