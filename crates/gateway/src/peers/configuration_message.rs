//! The datagrams that transfer the configuration from one gateway to another.

use musli::{Decode, Encode};
use xxhash_rust::xxh3::xxh3_64;

use crate::configuration::Configuration;

/// The size of a piece in bytes: with the other fields, the datagram stays below
/// [`super::message::MAX_DATAGRAM_BYTES`].
pub const PIECE_BYTES: usize = 1024;

/// The number of pieces that one query may ask for, 32 kB in all. A socket buffer of the usual size (212,992 bytes, of
/// which each such datagram takes 2,304) holds all of them, however late they are read.
pub const MAX_PIECES: u32 = 32;

/// Asks which version of the configuration the receiver holds, and for pieces of its document.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationQuery {
    /// Copied into the replies.
    pub nonce: u64,
    /// The number of the first requested piece.
    pub first_piece: u32,
    /// The number of requested pieces, [`MAX_PIECES`] at most; 0 asks for the version only.
    pub pieces: u32,
}

/// A reply to [`ConfigurationQuery`]: one for each piece, or a single one without a piece.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationReply {
    /// The nonce of the query.
    pub nonce: u64,
    /// The version that the sender holds; 0 for none.
    pub version: u64,
    /// Whether the sender has run long enough to know what other gateways know.
    pub is_settled: bool,
    /// The digest of the whole document; 0 if only the version was asked for.
    pub digest: u64,
    /// The length of the whole document, in bytes.
    pub length: u32,
    /// The piece; none if the reply has only the version.
    #[musli(default)]
    pub piece: Option<ConfigurationPiece>,
}

/// A piece of a configuration's document.
#[derive(Debug, Clone, PartialEq, Eq, Encode, Decode)]
pub struct ConfigurationPiece {
    /// Its number: its offset in the document is [`PIECE_BYTES`] times this.
    pub number: u32,
    /// Its bytes: [`PIECE_BYTES`] of them, fewer in the last piece.
    #[musli(bytes)]
    pub bytes: Vec<u8>,
}

/// The digest of a document.
pub fn document_digest(document: &[u8]) -> u64 {
    xxh3_64(document)
}

/// The replies of a gateway that holds `configuration` to a query.
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
    let reply_with = |piece: Option<ConfigurationPiece>| ConfigurationReply {
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
    let replies: Vec<ConfigurationReply> = pieces.map(|piece| reply_with(Some(piece))).collect();
    match replies.is_empty() {
        true => vec![reply_with(None)],
        false => replies,
    }
}

/// A piece of the document, or `None` beyond its end.
fn piece_of(document: &[u8], number: u32) -> Option<ConfigurationPiece> {
    let begin = usize::try_from(number).ok()?.checked_mul(PIECE_BYTES)?;
    let rest = document.get(begin..).filter(|rest| !rest.is_empty())?;
    let bytes = rest[..rest.len().min(PIECE_BYTES)].to_vec();
    Some(ConfigurationPiece { number, bytes })
}
