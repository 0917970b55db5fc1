//! Assembles the document of a configuration from pieces.

use std::collections::BTreeMap;

use super::configuration_message::{ConfigurationReply, MAX_PIECES, PIECE_BYTES, document_digest};

/// The maximum length of a document from another gateway, in bytes: ten times that of a configuration with 41,000
/// tenants (3 MB).
pub const MAX_DOCUMENT_BYTES: u32 = 32 * 1024 * 1024;

/// Why a document can't be assembled.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PieceError {
    /// The document is empty, or longer than [`MAX_DOCUMENT_BYTES`].
    #[error("document length of {0} bytes is not between 1 and {MAX_DOCUMENT_BYTES}")]
    Length(u32),
    /// A piece belongs to another document than the earlier ones.
    #[error("a piece belongs to another document, of version {0}")]
    OtherDocument(u64),
    /// A piece is too short or too long, or lies beyond the end.
    #[error("piece {0} has the wrong size")]
    Size(u32),
    /// The digest of the document differs from that in the replies.
    #[error("the document is incomplete or its digest does not match")]
    Digest,
}

/// A partially received document. Memory is allocated as pieces arrive, not by the announced length.
#[derive(Debug)]
pub struct ConfigurationPieces {
    version: u64,
    digest: u64,
    length: u32,
    /// The contiguous pieces before the first missing one.
    bytes: Vec<u8>,
    /// Pieces after the missing one, [`MAX_PIECES`] at most.
    out_of_order: BTreeMap<u32, Vec<u8>>,
}

impl ConfigurationPieces {
    /// Starts a document with the properties in the first reply, whose piece is not added.
    ///
    /// # Errors
    ///
    /// The document is too long, or empty.
    pub fn begin(reply: &ConfigurationReply) -> Result<Self, PieceError> {
        if reply.length == 0 || reply.length > MAX_DOCUMENT_BYTES {
            return Err(PieceError::Length(reply.length));
        }
        Ok(Self {
            version: reply.version,
            digest: reply.digest,
            length: reply.length,
            bytes: Vec::new(),
            out_of_order: BTreeMap::new(),
        })
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of the first missing piece.
    pub fn first_missing(&self) -> u32 {
        u32::try_from(self.bytes.len().div_ceil(PIECE_BYTES)).unwrap_or(u32::MAX)
    }

    /// Whether all pieces have arrived.
    pub fn is_whole(&self) -> bool {
        self.bytes.len() == self.length as usize
    }

    /// Adds a piece; a duplicate has no effect.
    ///
    /// # Errors
    ///
    /// The piece doesn't match the earlier ones: the whole document must be discarded.
    pub fn add(&mut self, reply: ConfigurationReply) -> Result<(), PieceError> {
        let is_same =
            (reply.version, reply.digest, reply.length) == (self.version, self.digest, self.length);
        if !is_same {
            return Err(PieceError::OtherDocument(reply.version));
        }
        let Some(piece) = reply.piece else {
            return Ok(());
        };
        if self.size_of(piece.number) != Some(piece.bytes.len()) {
            return Err(PieceError::Size(piece.number));
        }
        let missing = self.first_missing();
        if (missing..missing.saturating_add(MAX_PIECES)).contains(&piece.number) {
            self.out_of_order.insert(piece.number, piece.bytes);
        }
        while let Some(bytes) = self.out_of_order.remove(&self.first_missing()) {
            self.bytes.extend(bytes);
        }
        Ok(())
    }

    /// The expected size of a piece, in bytes, or `None` beyond the end.
    fn size_of(&self, number: u32) -> Option<usize> {
        let begin = usize::try_from(number).ok()?.checked_mul(PIECE_BYTES)?;
        let rest = (self.length as usize).checked_sub(begin)?;
        Some(rest.min(PIECE_BYTES)).filter(|size| *size > 0)
    }

    /// The complete document.
    ///
    /// # Errors
    ///
    /// Pieces are missing, or the digest differs.
    pub fn into_document(self) -> Result<Vec<u8>, PieceError> {
        match self.is_whole() && document_digest(&self.bytes) == self.digest {
            true => Ok(self.bytes),
            false => Err(PieceError::Digest),
        }
    }
}
