//! Puts the document of a configuration together from pieces.

use std::collections::BTreeMap;

use super::configuration_message::{ConfigurationReply, MAX_PIECES, PIECE_BYTES, document_digest};

/// The longest document that is taken from another daemon, in bytes: ten times the one of 41,000 tenants (3 MB).
pub const MAX_DOCUMENT_BYTES: u32 = 32 * 1024 * 1024;

/// Why a document can't be put together.
#[derive(Debug, Clone, Copy, PartialEq, Eq, thiserror::Error)]
pub enum PieceError {
    /// There is none, or it is longer than [`MAX_DOCUMENT_BYTES`].
    #[error("a document of {0} bytes is not taken")]
    Length(u32),
    /// A piece is of another document than those before.
    #[error("a piece is of another document, of version {0}")]
    OtherDocument(u64),
    /// A piece is shorter or longer than it should be, or lies beyond the end.
    #[error("piece {0} is not of the right size")]
    Size(u32),
    /// The digest of the whole is another one than was told.
    #[error("the document is not the one that was told")]
    Digest,
}

/// A document of which pieces have come. Memory is taken as pieces come, not as a length is told.
#[derive(Debug)]
pub struct ConfigurationPieces {
    version: u64,
    digest: u64,
    length: u32,
    /// All pieces before the first one that is missing.
    bytes: Vec<u8>,
    /// Pieces after that one, [`MAX_PIECES`] at the most.
    out_of_order: BTreeMap<u32, Vec<u8>>,
}

impl ConfigurationPieces {
    /// A document as the first answer tells it; none of its pieces is taken in.
    ///
    /// # Errors
    ///
    /// The document is too long, or there is none.
    pub fn begin(told: &ConfigurationReply) -> Result<Self, PieceError> {
        if told.length == 0 || told.length > MAX_DOCUMENT_BYTES {
            return Err(PieceError::Length(told.length));
        }
        Ok(Self {
            version: told.version,
            digest: told.digest,
            length: told.length,
            bytes: Vec::new(),
            out_of_order: BTreeMap::new(),
        })
    }

    /// The version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// The number of the first piece that is missing.
    pub fn first_missing(&self) -> u32 {
        u32::try_from(self.bytes.len().div_ceil(PIECE_BYTES)).unwrap_or(u32::MAX)
    }

    /// Whether no piece is missing.
    pub fn is_whole(&self) -> bool {
        self.bytes.len() == self.length as usize
    }

    /// Takes in a piece; one that has come before changes nothing.
    ///
    /// # Errors
    ///
    /// It does not fit to those before: the whole is to be dropped.
    pub fn add(&mut self, told: ConfigurationReply) -> Result<(), PieceError> {
        let is_same =
            (told.version, told.digest, told.length) == (self.version, self.digest, self.length);
        if !is_same {
            return Err(PieceError::OtherDocument(told.version));
        }
        let Some(piece) = told.piece else {
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

    /// The size of a piece, in bytes; nothing beyond the end.
    fn size_of(&self, number: u32) -> Option<usize> {
        let begin = usize::try_from(number).ok()?.checked_mul(PIECE_BYTES)?;
        let rest = (self.length as usize).checked_sub(begin)?;
        Some(rest.min(PIECE_BYTES)).filter(|size| *size > 0)
    }

    /// The document, all pieces of which have come.
    ///
    /// # Errors
    ///
    /// It is not the one that was told.
    pub fn into_document(self) -> Result<Vec<u8>, PieceError> {
        match self.is_whole() && document_digest(&self.bytes) == self.digest {
            true => Ok(self.bytes),
            false => Err(PieceError::Digest),
        }
    }
}
