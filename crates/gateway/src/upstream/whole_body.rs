//! A body that is collected in pieces, which may be small and many.

use bytes::{Bytes, BytesMut};

/// Pieces of this size or more are kept as they are, in bytes.
const LARGE_PIECE_BYTES: usize = 4 * 1024;

/// The pieces of a body up to a limit. Small ones are joined: each by itself takes several times its size.
#[derive(Debug)]
pub struct WholeBody {
    limit: usize,
    length: usize,
    pieces: Vec<Bytes>,
    small: BytesMut,
}

impl WholeBody {
    /// An empty body; `limit` is that of its length, in bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            length: 0,
            pieces: Vec::new(),
            small: BytesMut::new(),
        }
    }

    /// Its length so far, in bytes.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has no bytes so far.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Adds a piece.
    ///
    /// # Errors
    ///
    /// The body is longer than its limit: the length with this piece, in bytes.
    pub fn push(&mut self, piece: Bytes) -> Result<(), u64> {
        self.length = self.length.saturating_add(piece.len());
        if self.length > self.limit {
            return Err(self.length as u64);
        }
        if piece.len() < LARGE_PIECE_BYTES {
            self.small.extend_from_slice(&piece);
        } else {
            self.end_small();
            self.pieces.push(piece);
        }
        Ok(())
    }

    /// Its pieces.
    pub fn into_pieces(mut self) -> Vec<Bytes> {
        self.end_small();
        self.pieces
    }

    /// All of it.
    pub fn into_bytes(self) -> Bytes {
        let mut pieces = self.into_pieces();
        match pieces.len() {
            0 => Bytes::new(),
            1 => pieces.remove(0),
            _ => Bytes::from(pieces.concat()),
        }
    }

    fn end_small(&mut self) {
        if !self.small.is_empty() {
            let small = std::mem::take(&mut self.small);
            self.pieces.push(small.freeze());
        }
    }
}
